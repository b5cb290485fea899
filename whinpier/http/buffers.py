"""Reads and writes sockets through shared buffers, and checks how HTTP/1.1 messages are framed.

Invariants: a buffer has one user at a time and few are kept; writing never blocks the event loop;
the simple form that is parsed without h11 holds nothing that h11 or the checks here would refuse.
"""

from __future__ import annotations

import asyncio
import errno
import os
import re
import select
import socket
from collections.abc import Callable
from time import perf_counter_ns

import anyio
import h11

from whinpier import log
from whinpier.config.model import Address
from whinpier.runtime.event_loop import EventLoop
from whinpier.runtime.resource_budget import PoolBudget

# The largest request body: a message seldom takes more than two reads.
BUFFER_BYTES = 64 * 1024
# A read ends before the next begins: more than one buffer is in use only where reads nest.
MAX_SPARE_BUFFERS = 8

# Lines that parsers disagree on: a line feed or carriage return alone, and a folded line.
AMBIGUOUS_LINE = re.compile(rb"(?<!\r)\n|\r(?!\n|\Z)|\r\n[ \t]")

# The simplest form of a head: visible characters and spaces, line feeds only at the end of lines.
HEADER_LINES = rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[ -~]*\r\n)+\r\n"
SIMPLE_REQUEST = re.compile(rb"([A-Z]+) (/[!-~]*) HTTP/1\.1\r\n" + HEADER_LINES)
SIMPLE_RESPONSE = re.compile(rb"HTTP/1\.1 (200|50[0-4])(?: [ -~]*)?\r\n" + HEADER_LINES)
HEADERS_NEEDING_PARSER = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer"))
# As h11's own limit, which holds for incomplete heads only.
MAX_HEAD_BYTES = 16 * 1024
# Five times what a gateway with traces and cookies sends.
MAX_HEAD_LINES = 128

# Events of a request that are parsed only to see whether it is whole.
MAX_EVENTS_AHEAD = 64

NOTHING = memoryview(b"")

# After these a call may succeed in a moment (accept(2), recv(2), send(2)); the connection is in order.
TRANSIENT_ERRORS = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))

_spare_buffers: list[bytearray] = []


def acquire_buffer() -> bytearray:
    """Take a spare buffer, or a new one."""
    return _spare_buffers.pop() if _spare_buffers else bytearray(BUFFER_BYTES)


def release_buffer(buffer: bytearray) -> None:
    """Keep a buffer for the next read, unless enough are kept."""
    if len(_spare_buffers) < MAX_SPARE_BUFFERS:
        _spare_buffers.append(buffer)


def receive(sock: socket.socket, limit: int = BUFFER_BYTES) -> bytes:
    """Return what has arrived on a socket, or no bytes at its end; raise OSError as `recv` does.

    At most `limit` bytes are read, of BUFFER_BYTES at the most.
    """
    buffer = acquire_buffer()
    try:
        count = sock.recv_into(buffer, limit)
        return bytes(memoryview(buffer)[:count])
    finally:
        release_buffer(buffer)


def parse_simple_message(
    form: re.Pattern[bytes], data: bytes
) -> tuple[re.Match[bytes], list[tuple[bytes, bytes]], bytes] | None:
    """Return start line, headers and body of one whole message in the simplest form.

    Return None for any other data, valid or not: h11 is to parse it.
    """
    # Looked for first: the pattern tries every line of a head of thousands, and goes back over them.
    end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
    if end < 0 or data.count(b"\r\n", 0, end) >= MAX_HEAD_LINES:
        return None
    start_line = form.match(data, 0, end + 4)
    if not start_line:
        return None
    lines = start_line[0].split(b"\r\n")[:-2]
    split_lines = (line.partition(b":") for line in lines[1:])
    headers = [(name.lower(), value.strip(b" ")) for name, _, value in split_lines]
    header_map, body = dict(headers), data[start_line.end() :]
    length = header_map.get(b"content-length", b"0")
    if (
        len(header_map) < len(headers)
        or not HEADERS_NEEDING_PARSER.isdisjoint(header_map)
        or header_map.get(b"connection", b"keep-alive") != b"keep-alive"
        or not length.isdigit()
        or len(length) > 9
        or int(length) != len(body)
    ):
        return None
    return start_line, headers, body


async def connect(sock: socket.socket, address: Address) -> None:
    """Connect a non-blocking socket; raise OSError if that fails."""
    # Interrupted, connecting goes on as if it were in progress (connect(2)).
    if (code := sock.connect_ex(address)) not in (0, errno.EINPROGRESS, errno.EINTR):
        raise OSError(code, os.strerror(code))
    await anyio.wait_writable(sock)
    if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(code, os.strerror(code))


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Write all of some bytes to a non-blocking socket; raise OSError if the connection breaks."""
    while data:
        try:
            data = data[sock.send(data) :]
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
        if data:
            await anyio.wait_writable(sock)


def create_tcp_socket() -> socket.socket:
    """Return a non-blocking socket that sends small writes at once; raise OSError without one."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


class HeadTooLargeError(h11.RemoteProtocolError):
    """A head, or the trailers of a chunked body, over the limit of bytes or lines."""

    def __init__(self, what: str) -> None:
        """Count the error; `what` goes to the client with status 431."""
        super().__init__(what, error_status_hint=431)
        log.counters["heads_too_large"] += 1


def has_ambiguous_line(received: bytes, bound: int) -> bool:
    """Tell whether there is a line before `bound` that parsers disagree on."""
    # Counting is several times cheaper than the pattern, which is tried on every byte.
    ends = received.count(b"\r\n", 0, bound)
    if (
        received.count(b"\n", 0, bound) == ends
        and received.count(b"\r", 0, bound) == ends
        and received.find(b"\r\n ", 0, bound) < 0
        and received.find(b"\r\n\t", 0, bound) < 0
    ):
        return False
    return AMBIGUOUS_LINE.search(received, 0, bound) is not None


def check_head(parser: h11.Connection) -> None:
    """Refuse a head that is too large or has ambiguous lines.

    Call this before h11 parses the head, since h11 limits only incomplete heads: one that arrives
    in a single read could have any size. Of several faults the first in the head decides, so that
    the result does not depend on how the head was split into reads.
    """
    received = parser.trailing_data[0]
    end = received.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
    bound = end + 2 if end >= 0 else min(len(received), MAX_HEAD_BYTES)
    has_too_many_lines = received.count(b"\r\n", 0, bound) > MAX_HEAD_LINES
    if has_too_many_lines:
        lines = received.split(b"\r\n", MAX_HEAD_LINES + 1)
        bound = len(b"\r\n".join(lines[: MAX_HEAD_LINES + 1]))
    if has_ambiguous_line(received, bound):
        raise h11.RemoteProtocolError("lines that can be read two ways")
    if has_too_many_lines:
        raise HeadTooLargeError("a head of too many lines")
    if end < 0 and len(received) > MAX_HEAD_BYTES:
        raise HeadTooLargeError("a head of too many bytes")


def check_trailers(end: h11.EndOfMessage) -> None:
    """Refuse trailers of a chunked body that are larger than a head may be."""
    if (
        len(end.headers) > MAX_HEAD_LINES
        or sum(len(name) + len(value) + 4 for name, value in end.headers) > MAX_HEAD_BYTES
    ):
        raise HeadTooLargeError("trailers of too many lines or bytes")


def check_incomplete_trailers(received: bytes) -> None:
    """Refuse trailers of too many lines before they have ended; a chunk's head is one line."""
    if received.count(b"\r\n") > MAX_HEAD_LINES:
        raise HeadTooLargeError("trailers of too many lines or bytes")


def check_framing(headers: list[tuple[bytes, bytes]], version: bytes) -> None:
    """Refuse a message whose end is ambiguous (RFC 9112, section 6.3).

    h11 refuses invalid and differing lengths itself.
    """
    names = [name for name, _ in headers]
    if version not in (b"1.1", b"1.0"):
        raise h11.RemoteProtocolError("another version of HTTP", error_status_hint=505)
    # Prevents request smuggling: one parser goes by the length, the next by the chunks.
    if b"transfer-encoding" in names and (b"content-length" in names or version == b"1.0"):
        raise h11.RemoteProtocolError("a length and chunks")


def begins_with_whole_request(data: bytes) -> bool:
    """Tell whether received bytes begin with a whole request that can be parsed."""
    if not data:
        return False  # for h11 no bytes mean the end of the connection
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    try:
        for _ in range(MAX_EVENTS_AHEAD):
            event = parser.next_event()
            if not isinstance(event, (h11.Request, h11.Data)):
                return isinstance(event, h11.EndOfMessage)
    except h11.RemoteProtocolError:
        return False
    return True  # many small chunks: whole or not, it is to be parsed in its turn


class Connection:
    """A non-blocking socket, read on events; what it does not take is written later."""

    loop: EventLoop
    sock: socket.socket
    unsent: memoryview  # written, but not taken by the socket yet
    closed: bool
    asyncio_loop: asyncio.AbstractEventLoop | None = None
    # Whether CPU time is counted. The method that is called is not kept: the connection would refer to
    # itself, and stay until a full garbage collection.
    is_metered = False
    is_deferred = False  # it is in the loop's queue of turns
    reading_paused = False  # what arrives stays with the system, which holds the peer up

    def read(self) -> None:
        """Process what has arrived."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection; further calls do nothing."""
        raise NotImplementedError

    def cpu_budget(self) -> PoolBudget | None:
        """Return the budget that the CPU time of reads counts in, if any."""
        return None

    def start_reading(self, metered: bool) -> None:
        """Call `read` whenever data arrives, until the connection is closed."""
        # anyio.wait_readable would register the socket anew and wake a task for each read, which
        # costs a fifth of all CPU time.
        self.asyncio_loop = asyncio.get_running_loop()
        self.is_metered = metered
        self.add_reader()

    def add_reader(self) -> None:
        """Have the event loop call when data arrives."""
        assert self.asyncio_loop
        self.asyncio_loop.add_reader(
            self.sock, self.on_readable_metered if self.is_metered else self.on_readable
        )

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`."""
        if not self.reading_paused and self.asyncio_loop:
            self.reading_paused = True
            self.asyncio_loop.remove_reader(self.sock)

    def resume_reading(self) -> None:
        """Read again what arrives, if that was paused."""
        if self.reading_paused and not self.closed:
            self.reading_paused = False
            self.add_reader()

    def on_readable_metered(self) -> None:
        """Read, and add the CPU time to the pool's budget."""
        self.run_metered(self.on_readable)

    def run_metered(self, call: Callable[[], None]) -> None:
        """Add the CPU time of a call to the pool's budget: several pools share the event loop."""
        started_at = perf_counter_ns()
        call()
        if budget := self.cpu_budget():
            budget.cpu_time.add(self.loop.now, perf_counter_ns() - started_at)

    def on_readable(self) -> None:
        """Read; an unexpected error closes this connection and never ends the process."""
        self.run_guarded(self.read)

    def run_guarded(self, call: Callable[[], None]) -> None:
        """Call; an unexpected error closes this connection."""
        try:
            call()
        except Exception:
            log.exception("connection_task_failed")
            self.close()

    def parse_received(self) -> None:
        """Go on parsing what has been received."""
        raise NotImplementedError

    def defer_parsing(self) -> None:
        """Let other connections run first, and read nothing more until this one goes on."""
        if not self.is_deferred:
            self.is_deferred = True
            self.pause_reading()
            self.loop.turns.defer(self.end_deferral)

    def end_deferral(self) -> None:
        """Go on parsing, unless the connection has been closed meanwhile."""
        self.is_deferred = False
        if self.closed:
            return
        if self.is_metered:
            self.run_metered(lambda: self.run_guarded(self.parse_received))
        else:
            self.run_guarded(self.parse_received)

    def receive(self, limit: int = BUFFER_BYTES) -> bytes | None:
        """Return what has arrived: None if nothing has, no bytes if the connection has ended."""
        try:
            return receive(self.sock, limit)
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRORS else b""

    def peek(self) -> bytes | None:
        """Return the first unread byte without reading it; None and no bytes as for `receive`."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRORS else b""

    def unread_size(self, limit: int) -> int:
        """Return how many bytes are unread, up to `limit` of BUFFER_BYTES at the most."""
        buffer = acquire_buffer()
        try:
            return self.sock.recv_into(buffer, limit, socket.MSG_PEEK)
        except OSError:
            return 0
        finally:
            release_buffer(buffer)

    def has_peer_closed(self) -> bool:
        """Tell whether the peer has closed its side, also where bytes before that are unread."""
        poller = select.poll()
        poller.register(self.sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    def close_socket(self) -> None:
        """Stop reading, wake the tasks that wait for the socket, and close it."""
        if self.asyncio_loop:
            self.asyncio_loop.remove_reader(self.sock)
        anyio.notify_closing(self.sock)
        self.sock.close()

    def write(self, data: bytes) -> None:
        """Write what the socket takes now, and the rest in a task."""
        self.unsent = memoryview(data)
        self.flush()
        if self.unsent and not self.closed:
            self.loop.spawn(self.flush_all, self.close)

    def flush(self) -> None:
        """Write as many of the unsent bytes as the socket takes."""
        try:
            unsent = self.unsent[self.sock.send(self.unsent) :]
            # An empty view would keep all that has been sent.
            self.unsent = unsent if unsent else NOTHING
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self.close()

    async def flush_all(self) -> None:
        """Write the unsent bytes as the socket becomes writable."""
        while self.unsent and not self.closed:
            try:
                await anyio.wait_writable(self.sock)
            except (OSError, anyio.ClosedResourceError):
                return
            self.flush()
