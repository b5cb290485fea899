"""Owns the connections to upstreams: pooled, one request at a time on each, and what became of
every attempt.

An outcome hangs on whether the last byte of the request was written: before that it never ran, from
then on it may have. Must never send an attempt twice, send on a connection that has ended, or tell
two outcomes of one.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable, Iterator

import anyio
import h11

from whinpier import log
from whinpier.config.model import Address
from whinpier.http import buffers
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome, UpstreamState
from whinpier.runtime.pool import Endpoint, PendingRequest, Pool, PoolAttempt
from whinpier.runtime.resource_budget import PoolBudget
from whinpier.settings import REPORT_COLUMNS

BODY = 64 * 1024  # the largest body, by the protocol
# Of an answer: upstreams have been met whose good ones are six times what the protocol says.
ANSWER = 1024 * 1024
# All that the parser needs to know of a request: that an answer is due. The request is written as
# it came, since building it by h11 costs over twice as much.
DUE = h11.Request(method="GET", target="/", headers=[("host", "upstream")])
BODILESS = frozenset((204, 304))
INTERIM = 64  # interim answers to one request: more are rubbish
# A kept connection is let go at half its idle limit: the other side may close it any time from then
# on, and what is written to one just closed may have run.
KEEP = 0.5
# After an answer a connection rests for so long before it carries the next request: a second answer
# comes some milliseconds late (1 to 4 were seen), and on a connection in use it would pass for the
# next request's.
REST = SECOND // 100
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"x-remaining",
        b"content-length",
    )
)  # not passed on


class Answer:
    """What an upstream sent for one attempt, as far as it has come."""

    __slots__ = ("status", "headers", "parts", "size", "interim")

    def __init__(self) -> None:
        self.status, self.size, self.interim = 0, 0, 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []

    def header(self, name: bytes) -> bytes | None:
        return next((value for given, value in self.headers if given == name), None)

    def outcome(self, passed_on: frozenset[int]) -> Outcome:
        if self.status in passed_on:
            return Outcome.SUCCEEDED
        turned_away = self.status in (503, 504) and self.header(b"x-turned-away") == b"1"
        return Outcome.OVERLOADED if turned_away else Outcome.FAILED

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
            if 0.0 <= figure < 1e9 and REPORT_COLUMNS.get(name, name) in columns:
                found[REPORT_COLUMNS.get(name, name)] = figure
        return found or None


class Http(PendingRequest):
    """A request as it goes on to an upstream that speaks HTTP/1.1."""

    __slots__ = ("head", "body")
    head: bytes  # but for what is left of its timeout
    body: bytes


class Sending(PoolAttempt):
    """An attempt on its way."""

    def __init__(self, request: Http, server: Server, now: int) -> None:
        super().__init__(request, server, now)
        self.asked = request
        self.link: Link | None = None


class Server(Endpoint):
    """An upstream with its connections."""

    def __init__(
        self,
        pool: Pool,
        host: str,
        number: int,
        state: UpstreamState,
        started: int,
        address: Address,
    ) -> None:
        super().__init__(number, state, 0, 0, started)
        self.pool, self.loop, self.host, self.address = pool, pool.loop, host, address
        self.links: set[Link] = set()
        self.idle: list[Link] = []  # the one last used is used next, so that the others can go
        self.waiting: deque[Sending] = deque()  # attempts that wait for a connection
        self.opening, self.resting = 0, 0

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        assert isinstance(request, Http)
        sending = Sending(request, self, self.pool.now)
        request.attempts.append(sending)
        self.send(sending)
        return sending

    def abandon(self, sent: PoolAttempt) -> None:
        assert isinstance(sent, Sending)
        if sent.link:
            sent.link.give_up()
        elif sent in self.waiting:
            self.waiting.remove(sent)

    def is_unsent(self, sent: PoolAttempt) -> bool:
        return sent in self.waiting

    def idle_connections(self) -> Iterator[tuple[int, Callable[[], None]]]:
        return ((link.since, link.close) for link in self.idle)

    def in_flight(self) -> int:
        return sum(link.sending is not None for link in self.links) + len(self.waiting)

    def close_expired(self) -> None:
        for link in [link for link in self.idle if link.since < self.oldest()]:
            link.close()

    def send(self, sending: Sending) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.sound():
                link.start(sending)
                return
            link.close()
        self.waiting.append(sending)
        self.lacking()

    def lacking(self) -> None:
        """Begin a connection where more wait than will have one soon; the last gives up if there is none."""
        # What waits takes whichever comes first, a new connection or one that falls free.
        if len(self.waiting) > self.opening + self.resting and not self.open():
            self.pool.settle(self.waiting.pop(), Outcome.NOT_SENT)

    def open(self) -> bool:
        """Begin a new connection, if there is a descriptor for it."""
        if self.max_connections is not None and len(self.links) >= self.max_connections:
            return False
        try:
            if not self.pool.context.budget.acquire_connection(self.pool.budget):
                return False
            link = Link(self)
        except OSError as fault:  # the system's own limit, met before ours
            self.pool.budget.connections.release()
            log.warning("socket_unavailable", fault=fault)
            return False
        self.opening += 1
        self.links.add(link)
        self.loop.spawn(link.run, link.close)
        return True

    def free(self, link: Link) -> None:
        """A connection can take an attempt."""
        many = self.max_connections is not None and len(self.links) > self.max_connections
        if (
            self.state != UpstreamState.READY
            or link.address != self.address
            or many
            or (not self.waiting and self.pool.context.budget.is_recalled(self.pool.budget))
        ):
            link.close()
            self.lacking()  # what waited for it waits for nothing now, where the upstream has moved
            return
        link.since = self.loop.clock()
        self.idle.append(link)
        if self.waiting:
            self.send(self.waiting.popleft())

    def not_opened(self) -> None:
        """A connection did not come up: whoever waited for it longest has its outcome."""
        if len(self.waiting) > self.opening + self.resting:
            self.pool.settle(self.waiting.popleft(), Outcome.CONNECT_FAILED)

    def set_address(self, dial: Address) -> None:
        if dial != self.address:
            self.address = dial
            self.close_idle()

    def oldest(self) -> int:
        """Since when a connection may have been idle to be kept."""
        return self.loop.clock() - int(KEEP * self.pool.spec.idle_limit)

    def close_idle(self) -> None:
        for link in list(self.idle):
            link.close()

    def drain(self) -> None:
        """It is to get nothing new: what still waits to be sent is not sent, and idle connections go."""
        self.close_idle()
        while self.waiting:
            self.pool.settle(self.waiting.popleft(), Outcome.NOT_SENT)


class Link(buffers.Connection):
    """One connection to an upstream."""

    def __init__(self, server: Server) -> None:
        self.server, self.pool, self.loop, self.address = (
            server,
            server.pool,
            server.loop,
            server.address,
        )
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser: h11.Connection | None = None  # for answers that are in any way unusual
        self.sending: Sending | None = None
        self.answer = Answer()
        self.left = memoryview(b"")
        self.since, self.moved, self.up, self.closed = 0, 0, False, False
        self.resting = False  # it has carried an answer just now

    def pays(self) -> PoolBudget:
        return self.pool.budget

    async def run(self) -> None:
        """Connect; what comes from then on is read as it comes."""
        try:
            self.loop.call_at(
                self.loop.clock() + self.pool.spec.connect_limit, self.loop, self.late
            )
            if self.sock.connect_ex(self.address) in (0, errno.EINPROGRESS):
                await anyio.wait_writable(self.sock)
                if not self.closed and not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.up, self.server.opening = True, self.server.opening - 1
                    self.watch(len(self.pool.context.budget.pools) > 1)
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
        return self.since >= self.server.oldest() and self.peek() is None

    def rest(self) -> None:
        """Carry nothing for a moment, in which a second answer would come."""
        self.resting = True
        self.server.resting += 1
        self.loop.call_at(self.loop.clock() + REST, self.loop, self.rested)

    def rested(self) -> None:
        if self.resting:
            self.resting = False
            self.server.resting -= 1
            self.server.free(self)

    def start(self, sending: Sending) -> None:
        """Write an attempt; what the socket does not take at once goes out as it can."""
        log.invariant(
            self.sending is None and not self.closed, "a connection carries one task at a time"
        )
        log.invariant(sending.outcome is None, "what has its outcome is not sent")
        self.sending, sending.link, self.answer, self.moved = sending, self, Answer(), 0
        asked = sending.asked
        remaining = max(0, asked.deadline - self.loop.clock()) / SECOND
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
                    buffers.check_head(parser)
                more = self.take(parser.next_event())
        except h11.RemoteProtocolError as fault:
            self.spoilt(fault)
            return
        begun = parser.their_state is not h11.SEND_RESPONSE or parser.trailing_data[0]
        if self.sending is sending and begun:
            first, self.moved = not self.moved, self.loop.clock()
            if first:
                self.loop.call_at(
                    self.moved + self.pool.spec.connect_limit, self.loop, self.stuck, sending
                )

    def stuck(self, sending: Sending) -> None:
        """Guards against heads and bodies that never end: what has begun to come goes on coming."""
        if self.sending is not sending:
            return
        self.read()  # a late loop may not have come to it
        ends = self.moved + self.pool.spec.connect_limit
        if self.sending is sending and ends > self.loop.clock():
            self.loop.call_at(ends, self.loop, self.stuck, sending)
        elif self.sending is sending:
            self.spoilt("an answer that does not end")

    def spoilt(self, why: object) -> None:
        """What came is no answer, yet the upstream is there: an error that may have done the request."""
        log.warning("upstream_protocol_error", upstream=self.server.host, fault=why)
        sending, written = self.sending, not self.left
        self.give_up()
        if sending:
            self.pool.settle(sending, Outcome.FAILED if written else Outcome.CONNECT_FAILED)

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
            if (
                answer.status in self.pool.spec.passed_on
                and answer.status not in BODILESS
                and framed is None
            ):
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
            if answer.size > ANSWER or not self.pool.budget.bodies.acquire(len(event.data)):
                answer.size -= len(event.data)
                raise h11.RemoteProtocolError("body too large")
            answer.parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            buffers.check_trailers(event)
            parser = self.parser
            # Guards against one request's surplus bytes passing for the next one's answer.
            self.finish(
                parser is not None
                and not parser.trailing_data[0]
                and parser.their_state is h11.DONE
                and parser.our_state is h11.DONE
            )
            return False
        else:  # nothing more yet, or the connection has ended
            if event is not h11.NEED_DATA:
                self.close()
            return False
        return True

    def finish(self, clean: bool) -> None:
        """An answer is whole: the connection, if it is clean, is kept for the next request."""
        sending, answer = self.part(), self.answer
        assert sending is not None
        outcome = answer.outcome(self.pool.spec.passed_on)
        if self.left and outcome != Outcome.OVERLOADED:
            outcome = Outcome.CONNECT_FAILED  # an answer to what was not written whole
        self.parser = None
        if clean and not self.left:
            self.rest()
        else:
            self.close()
        self.pool.settle(sending, outcome, answer, answer.load(self.pool.columns))

    def part(self) -> Sending | None:
        """Let go of the attempt on it, whose answer counts no longer among the bodies."""
        sending, self.sending = self.sending, None
        if sending:
            if self.answer.size:
                self.pool.budget.bodies.release(self.answer.size)
            sending.link = None
        return sending

    def close(self) -> None:
        """End the connection. An attempt on it has its outcome by whether it was written whole."""
        if self.closed:
            return
        self.closed = True
        self.server.links.discard(self)
        self.pool.budget.connections.release()
        if self in self.server.idle:
            self.server.idle.remove(self)
        self.hang_up()
        if not self.up:
            self.server.opening -= 1
            self.server.not_opened()
        elif self.resting:
            self.resting = False
            self.server.resting -= 1
            self.server.lacking()
        if sending := self.part():
            self.pool.settle(sending, Outcome.CONNECT_FAILED if self.left else Outcome.RESET)
        self.pool.context.budget.on_descriptor_freed()

    def give_up(self) -> None:
        """Close without an outcome: whoever gives up tells it."""
        self.part()
        self.close()
