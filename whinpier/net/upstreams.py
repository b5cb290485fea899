"""Owns the connections to upstreams: pooled, one task at a time on each, and what became of every hand-off.

An outcome hangs on whether the last byte of the task was written: before that it never ran, from then on it
may have. Must never send a hand-off twice, send on a connection that has ended, or tell two outcomes of one.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from typing import TYPE_CHECKING

import anyio
import h11

from whinpier.decay import SECOND
from whinpier.model import ERROR, FULFILLED, FULL, MOOT, NO_CONNECTION, READY, RESET, HandOff, Upstream
from whinpier.net import buffers, log
from whinpier.net.config import Address
from whinpier.settings import COLUMNS

if TYPE_CHECKING:
    from whinpier.net.balancer import Balancer
    from whinpier.net.clients import Asked

BODY = 64 * 1024  # the largest body, by the protocol
# Of an answer: upstreams have been met whose good ones are six times what the protocol says.
ANSWER = 1024 * 1024
# All that the parser needs to know of a task: that an answer is due. The task is written as it came, since
# building it by h11 costs over twice as much.
DUE = h11.Request(method="GET", target="/", headers=[("host", "upstream")])
INTERIM = 64  # interim answers to one task: more are rubbish
# A kept connection is let go at half its idle limit: the other side may close it any time from then on, and
# what is written to one just closed may have run.
KEEP = 0.5
HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
                 b"upgrade", b"expect", b"x-remaining", b"content-length"))  # not passed on


class Answer:
    """What an upstream sent for one hand-off, as far as it has come."""

    __slots__ = ("status", "headers", "parts", "size", "interim")

    def __init__(self) -> None:
        self.status, self.size, self.interim = 0, 0, 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []

    def header(self, name: bytes) -> bytes | None:
        return next((value for given, value in self.headers if given == name), None)

    def outcome(self) -> str:
        if self.status == 200:
            return FULFILLED
        turned_away = self.status in (503, 504) and self.header(b"x-turned-away") == b"1"
        return FULL if turned_away else ERROR

    def load(self, columns: list[str]) -> dict[str, float] | None:
        """The load report, where one came with it, by our names; of what the settings promise."""
        found: dict[str, float] = {}
        if not columns:
            return None
        for part in (self.header(b"x-pressure") or b"").decode("latin-1").split(","):
            name, _, text = part.strip().partition("=")
            try:
                figure = float(text)
            except ValueError:
                continue
            if 0.0 <= figure < 1e9 and COLUMNS.get(name, name) in columns:
                found[COLUMNS.get(name, name)] = figure
        return found or None


class Sending(HandOff):
    """A hand-off on its way."""

    def __init__(self, task: Asked, server: Server, now: int) -> None:
        super().__init__(task, server, len(task.hand_offs), now)
        self.asked, self.server = task, server
        self.link: Link | None = None
        self.settled = False  # its outcome is told, or about to be


class Server(Upstream):
    """An upstream with its connections."""

    def __init__(self, balancer: Balancer, host: str, number: int, state: str, started: int,
                 address: Address) -> None:
        super().__init__(number, state, 0, 0, started)
        self.balancer, self.host, self.address = balancer, host, address
        self.idle: list[Link] = []  # the one last used is used next, so that the others can go
        self.waiting: deque[Sending] = deque()  # hand-offs that wait for a connection
        self.opening = 0

    def send(self, sending: Sending) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.sound():
                link.start(sending)
                return
            link.close()
        self.waiting.append(sending)
        # What waits takes whichever comes first, a new connection or one that falls free.
        if len(self.waiting) > self.opening and not self.open():
            self.waiting.remove(sending)
            self.balancer.settle(sending, MOOT)

    def open(self) -> bool:
        """Begin a new connection, if there is a descriptor for it."""
        try:
            link = Link(self) if self.balancer.make_room() else None
        except OSError as fault:  # the system's own limit, met before ours
            log.warn("no_socket", fault=fault)
            link = None
        if link:
            self.opening += 1
            self.balancer.links.add(link)
            self.balancer.spawn(link.run, link.close)
        return link is not None

    def free(self, link: Link) -> None:
        """A connection can take a hand-off."""
        if self.state != READY or link.address != self.address:
            link.close()
            return
        link.since = self.balancer.clock()
        self.idle.append(link)
        if self.waiting:
            self.send(self.waiting.popleft())

    def not_opened(self) -> None:
        """A connection did not come up: whoever waited for it longest has its outcome."""
        if len(self.waiting) > self.opening:
            self.balancer.settle(self.waiting.popleft(), NO_CONNECTION)

    def moved(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            self.close_idle()

    def oldest(self) -> int:
        """Since when a connection may have been idle to be kept."""
        return self.balancer.clock() - int(KEEP * self.balancer.config.idle_limit)

    def close_idle(self, since: int | None = None) -> None:
        for link in [link for link in self.idle if since is None or link.since < since]:
            link.close()

    def retire(self) -> None:
        """It is to get nothing new: what still waits to be sent is not sent, and idle connections go."""
        self.close_idle()
        while self.waiting:
            self.balancer.settle(self.waiting.popleft(), MOOT)


class Link(buffers.Connection):
    """One connection to an upstream."""

    def __init__(self, server: Server) -> None:
        self.server, self.balancer, self.address = server, server.balancer, server.address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser: h11.Connection | None = None  # for answers that are in any way unusual
        self.sending: Sending | None = None
        self.answer = Answer()
        self.left = memoryview(b"")
        self.since, self.moved, self.up, self.closed = 0, 0, False, False

    async def run(self) -> None:
        """Connect; what comes from then on is read as it comes."""
        try:
            self.balancer.at(self.balancer.clock() + self.balancer.config.connect_limit, self.late)
            if self.sock.connect_ex(self.address) in (0, errno.EINPROGRESS):
                await anyio.wait_writable(self.sock)
                if not self.closed and not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.up, self.server.opening = True, self.server.opening - 1
                    self.watch()
                    self.server.free(self)
                    return
        except (OSError, anyio.ClosedResourceError):
            pass
        self.close()

    def late(self) -> None:
        if not self.up:
            self.close()

    def sound(self) -> bool:
        """Whether an idle connection still stands and holds nothing that nobody asked for."""
        if self.since < self.server.oldest():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def start(self, sending: Sending) -> None:
        """Write a hand-off; what the socket does not take at once goes out as it can."""
        log.must(self.sending is None and not self.closed, "a connection carries one task at a time")
        log.must(sending.outcome is None, "what has its outcome is not sent")
        self.sending, sending.link, self.answer, self.moved = sending, self, Answer(), 0
        asked = sending.asked
        remaining = max(0, asked.ends - self.balancer.clock()) / SECOND
        self.write(b"%sx-remaining: %.3f\r\n\r\n%s" % (asked.head, remaining, asked.body))

    def read(self) -> None:
        data = self.received()
        if data is None:
            return
        sending, parser = self.sending, self.parser
        if not data or sending is None:
            self.close()  # it has ended, or sends what nobody asked for
            return
        if parser is None:
            if self.take_plain(data):
                return
            parser = self.parser = h11.Connection(h11.CLIENT)
            parser.send(DUE)
            parser.send(h11.EndOfMessage())
        parser.receive_data(data)
        try:
            more = True
            while more:
                if parser.their_state is h11.SEND_RESPONSE:
                    buffers.check_lines(parser)
                more = self.take(parser.next_event())
        except h11.RemoteProtocolError as fault:
            self.spoilt(fault)
            return
        begun = parser.their_state is not h11.SEND_RESPONSE or parser.trailing_data[0]
        if self.sending is sending and begun:
            first, self.moved = not self.moved, self.balancer.clock()
            if first:
                self.balancer.at(self.moved + self.balancer.config.connect_limit, self.stuck, sending)

    def stuck(self, sending: Sending) -> None:
        """Guards against heads and bodies that never end: what has begun to come goes on coming."""
        if self.sending is not sending:
            return
        self.read()  # a late loop may not have come to it
        ends = self.moved + self.balancer.config.connect_limit
        if self.sending is sending and ends > self.balancer.clock():
            self.balancer.at(ends, self.stuck, sending)
        elif self.sending is sending:
            self.spoilt("an answer that does not end")

    def spoilt(self, why: object) -> None:
        """What came is no answer, yet the upstream is there: an error that may have done the task."""
        log.warn("upstream_rubbish", upstream=self.server.host, fault=why)
        sending, written = self.sending, not self.left
        self.give_up()
        if sending:
            self.balancer.settle(sending, ERROR if written else NO_CONNECTION)

    def take_plain(self, data: bytes) -> bool:
        """Take in an answer that has come whole and alone, in the plainest form; False for any other."""
        answer, found = self.answer, buffers.plain(buffers.ANSWER, data)
        if found is None:
            return False
        start, answer.headers, body = found
        if answer.header(b"content-length") is None:
            return False
        answer.status, answer.parts = int(start[1]), [body]
        self.finish(True)
        return True

    def take(self, event: object) -> bool:
        """One piece of an answer; False when there is no more for now."""
        answer = self.answer
        if isinstance(event, h11.Response):
            answer.status, answer.headers = event.status_code, list(event.headers)
            buffers.check_framing(answer.headers, event.http_version)
            framed = answer.header(b"content-length") or answer.header(b"transfer-encoding")
            if answer.status == 200 and framed is None:
                raise h11.RemoteProtocolError("a body whose end can't be told from a break")
            length = answer.header(b"content-length") or b"0"
            if len(length) > 9 or int(length) > ANSWER:
                raise h11.RemoteProtocolError("a body of %s bytes" % length.decode())
        elif isinstance(event, h11.InformationalResponse):
            answer.interim += 1
            if answer.interim > INTERIM:
                raise h11.RemoteProtocolError("too many interim answers")
        elif isinstance(event, h11.Data):
            answer.size += len(event.data)
            self.balancer.bodies += len(event.data)
            if answer.size > ANSWER or self.balancer.bodies > 2 * self.balancer.most_bodies:
                raise h11.RemoteProtocolError("body too large")
            answer.parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            parser = self.parser
            # Guards against one task's surplus bytes passing for the next one's answer.
            self.finish(parser is not None and not parser.trailing_data[0]
                        and parser.their_state is h11.DONE and parser.our_state is h11.DONE)
            return False
        else:  # nothing more yet, or the connection has ended
            if event is not h11.NEED_DATA:
                self.close()
            return False
        return True

    def finish(self, clean: bool) -> None:
        """An answer is whole: the connection, if it is clean, is free again before its outcome is told."""
        sending, answer = self.part(), self.answer
        assert sending is not None
        outcome = answer.outcome()
        if self.left and outcome != FULL:
            outcome = NO_CONNECTION  # an answer to what was not written whole
        self.parser = None
        if clean and not self.left:
            self.server.free(self)
        else:
            self.close()
        self.balancer.settle(sending, outcome, answer)

    def part(self) -> Sending | None:
        """Let go of the hand-off on it, whose answer counts no longer among the bodies."""
        sending, self.sending = self.sending, None
        if sending:
            self.balancer.bodies -= self.answer.size
            sending.link = None
        return sending

    def close(self) -> None:
        """End the connection. A hand-off on it has its outcome by whether it was written whole."""
        if self.closed:
            return
        self.closed = True
        self.balancer.links.discard(self)
        if self in self.server.idle:
            self.server.idle.remove(self)
        self.hang_up()
        if not self.up:
            self.server.opening -= 1
            self.server.not_opened()
        if sending := self.part():
            self.balancer.settle(sending, NO_CONNECTION if self.left else RESET)
        self.balancer.roomier()

    def give_up(self) -> None:
        """Close without an outcome: whoever gives up tells it."""
        self.part()
        self.close()
