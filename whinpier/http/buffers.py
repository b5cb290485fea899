"""Owns how bytes pass a socket: buffers of one size, one read each, how messages are framed, what
is written.

Must never hand out a buffer twice, keep more of them than a few reads need, stop the loop to write,
or take for plain what the parser or the checks here would refuse.
"""

from __future__ import annotations

import asyncio
import re
import socket
from time import perf_counter_ns

import anyio
import h11

from whinpier import log
from whinpier.runtime.event_loop import EventLoop
from whinpier.runtime.resource_budget import PoolBudget

SIZE = 64 * 1024  # the largest body in one read; a body and its head seldom come in more than two
KEPT = 8  # a read ends before the next begins: more than one is in use only where reads nest

# What makes the lines of a head others for one reader than for the next: a line feed or a carriage
# return that stands alone, and a line folded onto the one before.
TWO_WAYS = re.compile(rb"(?<!\r)\n|\r(?!\n|\Z)|\r\n[ \t]")

# A head in its plainest form: visible characters and spaces, and no line feed but at a line's end.
FIELDS = rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[ -~]*\r\n)+\r\n"
REQUEST = re.compile(rb"([A-Z]+) (/[!-~]*) HTTP/1\.1\r\n" + FIELDS)
ANSWER = re.compile(rb"HTTP/1\.1 (200|50[0-4])(?: [ -~]*)?\r\n" + FIELDS)
UNUSUAL = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer"))
HEAD = (
    16 * 1024
)  # bytes of a head at most, however they are cut: as the parser's for one that is incomplete
LINES = 128  # lines of a head at most: five times what a gateway with traces and cookies adds

_spare: list[bytearray] = []


def take() -> bytearray:
    return _spare.pop() if _spare else bytearray(SIZE)


def give(buffer: bytearray) -> None:
    if len(_spare) < KEPT:
        _spare.append(buffer)


def receive(sock: socket.socket) -> bytes:
    """What has come on a socket; nothing at its end."""
    buffer = take()
    try:
        count = sock.recv_into(buffer)
        return bytes(memoryview(buffer)[:count])
    finally:
        give(buffer)


def plain(
    form: re.Pattern[bytes], data: bytes
) -> tuple[re.Match[bytes], list[tuple[bytes, bytes]], bytes] | None:
    """Start line, headers and body of a message in its plainest form, whole and alone; None of
    any other.

    Nothing is refused here: what is in any way unusual is for the parser to judge.
    """
    found = form.match(data)
    if not found or found.end() > HEAD:
        return None
    lines = found[0].split(b"\r\n")[:-2]
    if len(lines) > LINES:
        return None
    parted = (line.partition(b":") for line in lines[1:])
    headers = [(name.lower(), value.strip(b" ")) for name, _, value in parted]
    fields, body = dict(headers), data[found.end() :]
    length = fields.get(b"content-length", b"0")
    if (
        len(fields) < len(headers)
        or not UNUSUAL.isdisjoint(fields)
        or fields.get(b"connection", b"keep-alive") != b"keep-alive"
        or not length.isdigit()
        or len(length) > 9
        or int(length) != len(body)
    ):
        return None
    return found, headers, body


class TooLarge(h11.RemoteProtocolError):
    """A head, or what follows a body in chunks, of more bytes or lines than any reader has to take."""

    def __init__(self, what: str) -> None:
        super().__init__(what, error_status_hint=431)
        log.counters["heads_too_large"] += 1


def check_head(parser: h11.Connection) -> None:
    """Refuse a head that is too large, or whose lines can be read two ways.

    To be asked before the parser takes the head, which bounds only what it cannot take yet: one
    that came in a single read could have any size. What stands first in it decides, so that its
    cuts make no difference.
    """
    ahead = parser.trailing_data[0]
    end = ahead.find(b"\r\n\r\n", 0, HEAD)
    bound = end + 2 if end >= 0 else min(len(ahead), HEAD)
    many = ahead.count(b"\r\n", 0, bound) > LINES
    if many:
        bound = len(b"\r\n".join(ahead.split(b"\r\n", LINES + 1)[: LINES + 1]))
    if TWO_WAYS.search(ahead, 0, bound):
        raise h11.RemoteProtocolError("lines that can be read two ways")
    if many:
        raise TooLarge("a head of too many lines")
    if end < 0 and len(ahead) > HEAD:
        raise TooLarge("a head of too many bytes")


def check_trailers(end: h11.EndOfMessage) -> None:
    """Refuse what follows a body in chunks where it is larger than a head may be."""
    if (
        len(end.headers) > LINES
        or sum(len(name) + len(value) + 4 for name, value in end.headers) > HEAD
    ):
        raise TooLarge("trailers of too many lines or bytes")


def check_framing(headers: list[tuple[bytes, bytes]], version: bytes) -> None:
    """Refuse a message whose end can be read two ways. The parser sees to lengths that differ or
    are none.
    """
    names = [name for name, _ in headers]
    if version not in (b"1.1", b"1.0"):
        raise h11.RemoteProtocolError("another version of HTTP", error_status_hint=505)
    # Guards against a request hidden in the body of another: one reader goes by the length, the
    # next by chunks.
    if b"transfer-encoding" in names and (b"content-length" in names or version == b"1.0"):
        raise h11.RemoteProtocolError("a length and chunks")


class Connection:
    """What both sides do with a socket: take in what comes, write what it takes, and the rest as
    it can.
    """

    loop: EventLoop
    sock: socket.socket
    left: memoryview  # of what is written, what the socket has not taken yet
    closed: bool
    events: asyncio.AbstractEventLoop | None = None

    def read(self) -> None:
        raise NotImplementedError

    def close(self) -> None:
        raise NotImplementedError

    def pays(self) -> PoolBudget | None:
        """Whose part of the CPU what it does counts for."""
        return None

    def watch(self, metered: bool) -> None:
        """Have what comes read as it comes, until the connection ends."""
        # anyio.wait_readable tells the system anew for each read, and wakes a request: a fifth of
        # all work.
        self.events = asyncio.get_running_loop()
        self.events.add_reader(self.sock, self.came_metered if metered else self.came)

    def came_metered(self) -> None:
        """Several pools share the loop: count what each takes of it."""
        begun = perf_counter_ns()
        self.came()
        if part := self.pays():
            part.cpu_time.add(self.loop.now, perf_counter_ns() - begun)

    def came(self) -> None:
        try:
            self.read()
        except Exception:  # a fault ends the connection, never the process
            log.exception("connection_task_failed")
            self.close()

    def received(self) -> bytes | None:
        """What has come: None where nothing has, no bytes where the connection has ended or is broken."""
        try:
            return receive(self.sock)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def peek(self) -> bytes | None:
        """The first byte of what waits unread: None and no bytes as of `received`."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def hang_up(self) -> None:
        """Let go of the socket."""
        if self.events:
            self.events.remove_reader(self.sock)
        anyio.notify_closing(self.sock)
        self.sock.close()

    def write(self, data: bytes) -> None:
        self.left = memoryview(data)
        self.flush()
        if self.left and not self.closed:
            self.loop.spawn(self.drain, self.close)

    def flush(self) -> None:
        try:
            self.left = self.left[self.sock.send(self.left) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def drain(self) -> None:
        while self.left and not self.closed:
            try:
                await anyio.wait_writable(self.sock)
            except (OSError, anyio.ClosedResourceError):
                return
            self.flush()
