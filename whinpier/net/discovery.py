"""Owns the connection to discovery: the list, then a watch of its changes, taken up again when it is lost.

Must never let through anything but a whole, well-formed piece of the list: till then the last good one stays.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable

import anyio
import h11

from whinpier import log
from whinpier.net import buffers
from whinpier.spec import Address, ConfigFault, Entry, entries

SILENCE = 2.5  # seconds: a line comes at least every 2, so that one is missing
ANSWER = 1.0  # seconds to connect, and as long until an answer begins: it is on this machine
FIRST, LONGEST = 0.05, 0.5  # seconds between tries: what it tells counts as told 4 s later at the latest
LINE = 1024 * 1024  # the longest line: thousands of upstreams, and what reading it takes fits in 32 MB


class Discovery:
    """Follows the list."""

    def __init__(self, address: Address, seq: int | None, told: Callable[[list[Entry], bool], None],
                 chance: Callable[[], float], tag: Callable[[], dict[str, str]]) -> None:
        self.address, self.seq, self.told, self.chance, self.tag = address, seq, told, chance, tag
        self.ended = False
        self.wanted = anyio.Event()
        self.following, self.once = False, False
        self.wait = FIRST
        self.sock: socket.socket | None = None

    def follow(self, on: bool) -> None:
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

    def move(self, address: Address) -> None:
        """Follow the list at another address; what is known stays until that one has told its whole list."""
        # Guards against changes missed between the two: numbers of one need not be those of the other.
        self.address, self.seq, self.wait = address, None, FIRST
        self.hang_up()

    def end(self) -> None:
        """Follow it no longer, for good."""
        self.ended = True
        self.follow(False)
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
                log.fault("discovery_fault")
                why = repr(fault)
            if self.ended:
                return
            log.warn("discovery_lost", **self.tag(), why=why)
            await anyio.sleep(self.wait * (0.5 + self.chance()))
            self.wait = min(2 * self.wait, LONGEST)

    async def ask(self, query: str) -> None:
        """Take in the lines of one answer as they come; the whole list alone is one line."""
        parser, rest, begun, address = h11.Connection(h11.CLIENT), b"", False, self.address
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as self.sock:
            try:
                with anyio.fail_after(ANSWER):
                    self.sock.connect_ex(address)
                    await anyio.wait_writable(self.sock)
                asked = h11.Request(method="GET", target="/discovery/hosts" + query,
                                    headers=[("host", "discovery"), ("accept", "application/json")])
                self.sock.send((parser.send(asked) or b"") + (parser.send(h11.EndOfMessage()) or b""))
                while not isinstance(event := parser.next_event(), (h11.EndOfMessage, h11.ConnectionClosed)):
                    if event is h11.NEED_DATA:
                        with anyio.fail_after(SILENCE if begun else ANSWER):
                            await anyio.wait_readable(self.sock)
                        if self.address != address:
                            raise ConnectionAbortedError("discovery has moved")
                        parser.receive_data(buffers.receive(self.sock))
                    elif isinstance(event, h11.Response):
                        begun = True
                        if event.status_code != 200:
                            raise ConfigFault(f"status {event.status_code}")
                    elif isinstance(event, h11.Data):
                        *lines, rest = (rest + event.data).split(b"\n")
                        for line in lines:
                            self.line(line)
                        if len(rest) > LINE:
                            raise ConfigFault("a line without end")
                if not query:
                    self.line(rest)
            finally:
                self.sock = None

    def line(self, line: bytes) -> None:
        """One piece of the list; an empty line only says that the watch stands."""
        if not line.strip():
            return
        try:
            found = json.loads(line)
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
