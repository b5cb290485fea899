"""Owns the connection to discovery: the list, then a watch of its changes, taken up again when it
is lost.

Must never let through anything but a whole, well-formed piece of the list: till then the last good
one stays.
"""

from __future__ import annotations

import json
import re
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import anyio
import h11

from whinpier import log
from whinpier.config.model import Address, ConfigFault, Entry, entries
from whinpier.http import buffers

SILENCE = 2.5  # seconds for the next whole piece: one, or an empty line, comes at least every 2
ANSWER = 1.0  # seconds to connect, and as long until an answer begins: it is on this machine
FIRST, LONGEST = (
    0.05,
    0.5,
)  # seconds between tries: what it tells counts as told 4 s later at the latest
PIECE = (
    1024 * 1024
)  # the longest piece: thousands of upstreams, and what reading it takes fits in 32 MB
TEXT = re.compile(
    rb'"(?:[^"\\]|\\.)*"'
)  # what stands in quotes in a line of JSON: no line feed can


class Pieces:
    """Puts the pieces of a list together from bytes: JSON objects on one line each, or indented
    over many.
    """

    def __init__(self) -> None:
        self.data, self.depth = bytearray(), 0
        self.line = 0  # where the one that is still coming begins

    def take(self, data: bytes) -> Iterator[bytes]:
        """The pieces that have come whole; an empty line between two is an empty one."""
        searched = len(self.data)
        self.data += data
        while (end := self.data.find(b"\n", searched)) >= 0:
            bare = TEXT.sub(b"", bytes(self.data[self.line : end]))
            self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            searched = self.line = end + 1
            if self.depth <= 0:
                piece = bytes(self.data[:end])
                del self.data[: self.line]
                searched = self.line = self.depth = 0
                yield piece
        if len(self.data) > PIECE:
            raise ConfigFault("a piece of the list without end")

    def rest(self) -> bytes:
        """What has come behind the last whole piece."""
        return bytes(self.data)


class Discovery:
    """Follows the list."""

    def __init__(
        self,
        address: Address,
        seq: int | None,
        told: Callable[[list[Entry], bool], None],
        chance: Callable[[], float],
        tag: Callable[[], dict[str, str]],
    ) -> None:
        self.address, self.seq, self.told, self.chance, self.tag = address, seq, told, chance, tag
        self.ended = False
        self.wanted = anyio.Event()
        self.following, self.once = False, False
        self.wait = FIRST
        self.sock: socket.socket | None = None

    def set_watching(self, on: bool) -> None:
        self.following = on
        self.wake() if on else self.hang_up()

    def fetch(self) -> None:
        self.once = True
        self.wake()

    def wake(self) -> None:
        self.wanted.set()

    def hang_up(self) -> None:
        if self.sock:
            anyio.notify_closing(self.sock)

    def set_address(self, address: Address) -> None:
        """Follow the list at another address; what is known stays until that one has told its whole list."""
        # Guards against changes missed between the two: numbers of one need not be those of the
        # other.
        self.address, self.seq, self.wait = address, None, FIRST
        self.hang_up()

    def close(self) -> None:
        """Follow it no longer, for good."""
        self.ended = True
        self.set_watching(False)
        self.wake()

    async def run(self) -> None:
        while not self.ended:
            if not (self.following or self.once):
                self.wanted = anyio.Event()
                await self.wanted.wait()
                continue
            why: object = "ended"
            try:
                if self.once or self.seq is None:
                    await self.ask("")
                    if self.seq is None:
                        raise ConfigFault("an answer without a list")
                    self.once = False
                    continue
                await self.ask(f"?watch=1&from={self.seq}")
            except ConfigFault as fault:
                self.seq, why = None, fault  # what was missed is not known: the whole list is
            except (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError) as lost:
                why = repr(lost)
            except Exception as fault:  # whatever it was: without the list the balancer goes blind
                log.exception("discovery_failed")
                why = repr(fault)
            if self.ended:
                return
            log.warning("discovery_disconnected", **self.tag(), why=why)
            await anyio.sleep(self.wait * (0.5 + self.chance()))
            self.wait = min(2 * self.wait, LONGEST)

    async def ask(self, query: str) -> None:
        """Take in the pieces of one answer as they come; the whole list alone is one piece."""
        parser, pieces = h11.Connection(h11.CLIENT), Pieces()
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as self.sock:
            try:
                # One limit for all that is waited for, which whole pieces alone put off: bytes that
                # never make one are silence too.
                with anyio.fail_after(ANSWER) as limit:
                    await self.connect(parser, query)
                    limit.deadline = anyio.current_time() + ANSWER
                    async for event in self.events(parser):
                        if isinstance(event, h11.Response):
                            if event.status_code != 200:
                                raise ConfigFault(f"status {event.status_code}")
                            limit.deadline = anyio.current_time() + SILENCE
                        elif isinstance(event, h11.Data):
                            for piece in pieces.take(bytes(event.data)):
                                self.piece(piece)
                                limit.deadline = anyio.current_time() + SILENCE
                if not query:
                    self.piece(pieces.rest())
            except TimeoutError:
                if pieces.rest():
                    raise ConfigFault("a piece of the list that does not end") from None
                raise
            finally:
                self.sock = None

    async def connect(self, parser: h11.Connection, query: str) -> None:
        assert self.sock
        self.sock.connect_ex(self.address)
        await anyio.wait_writable(self.sock)
        asked = h11.Request(
            method="GET",
            target="/discovery/hosts" + query,
            headers=[("host", "discovery"), ("accept", "application/json")],
        )
        self.sock.send((parser.send(asked) or b"") + (parser.send(h11.EndOfMessage()) or b""))

    async def events(self, parser: h11.Connection) -> AsyncIterator[h11.Event]:
        """What an answer consists of, up to its end."""
        assert self.sock
        address = self.address
        while not isinstance(
            event := parser.next_event(), (h11.EndOfMessage, h11.ConnectionClosed)
        ):
            if event is h11.NEED_DATA:
                await anyio.wait_readable(self.sock)
                if self.address != address:
                    raise ConnectionAbortedError("discovery has moved")
                parser.receive_data(buffers.receive(self.sock))
            elif isinstance(event, h11.Event):
                yield event

    def piece(self, piece: bytes) -> None:
        """One piece of the list; an empty one only says that the watch stands."""
        if not piece.strip():
            return
        try:
            found = json.loads(piece)
            seq, whole, hosts = found["seq"], found["whole"], found["hosts"]
        except (ValueError, KeyError, TypeError, RecursionError) as fault:
            raise ConfigFault(f"{type(fault).__name__}: {fault}") from None
        if not (isinstance(seq, int) and isinstance(whole, bool) and isinstance(hosts, list)):
            raise ConfigFault("seq, whole or hosts are of another kind")
        if not whole and (self.seq is None or seq < self.seq):
            raise ConfigFault(f"changes up to {seq} do not join what is known up to {self.seq}")
        told = entries(hosts)
        self.seq, self.wait = seq, FIRST
        self.told(told, whole)
