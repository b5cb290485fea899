"""Sends attempts over pooled connections to upstreams, one request at a time on each connection.

The outcome of a lost attempt depends on whether the last byte of the request was written: before
that the upstream can't have run it, from then on it may have.

Invariants: an attempt is sent once; nothing is sent on a connection that has ended; an attempt has
exactly one outcome.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

import anyio
import h11

from whinpier import log
from whinpier.config.model import Address
from whinpier.http import buffers
from whinpier.http.message_parser import ResponseParser
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome, UpstreamState
from whinpier.runtime.pool import Endpoint, PendingRequest, Pool, PoolAttempt
from whinpier.runtime.resource_budget import PoolBudget
from whinpier.settings import REPORT_COLUMNS

# By the platform's protocol.
MAX_REQUEST_BODY_BYTES = 64 * 1024
# Some upstreams send valid responses six times as large as the protocol allows.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
BODILESS_STATUSES = frozenset((204, 304))
# To one request; more are taken as a protocol error.
MAX_INTERIM_RESPONSES = 64
# Of the upstream's idle limit, after which a connection is closed. Later the upstream may close it
# at any time, and a request written to a connection just closed may have run.
KEEP_ALIVE_FRACTION = 0.5
# After a response, before the connection carries the next request. A faulty upstream's second
# response comes 1 to 4 ms late; on a connection in use it would pass for the next request's.
REUSE_DELAY_NS = SECOND // 100
# Headers that are not forwarded: hop-by-hop, or written anew for each attempt.
UNFORWARDED_HEADERS = frozenset(
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
)


class UpstreamResponse:
    """The response to one attempt, as far as it has arrived."""

    __slots__ = ("body", "headers", "interim_count", "size", "status")

    def __init__(self) -> None:
        """Begin with an empty response of status 0."""
        self.status = 0
        self.size = 0  # bytes of the body that are counted in the pool's budget
        self.interim_count = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of this lower-case name."""
        return next((value for given, value in self.headers if given == name), None)

    def outcome(self, forwarded_statuses: frozenset[int]) -> Outcome:
        """Return what this response means for its attempt."""
        if self.status in forwarded_statuses:
            return Outcome.SUCCEEDED
        overloaded = self.status in (503, 504) and self.header(b"x-turned-away") == b"1"
        return Outcome.OVERLOADED if overloaded else Outcome.FAILED

    def load_report(self, columns: list[str]) -> dict[str, float] | None:
        """Return the load report of the `X-Pressure` header, for the configured columns only."""
        found: dict[str, float] = {}
        if not columns:
            return None
        for part in (self.header(b"x-pressure") or b"").decode("latin-1").split(","):
            name, _, text = part.strip().partition("=")
            try:
                value = float(text)
            except ValueError:
                continue
            if 0.0 <= value < 1e9 and REPORT_COLUMNS.get(name, name) in columns:
                found[REPORT_COLUMNS.get(name, name)] = value
        return found or None


class OutboundRequest(PendingRequest):
    """A request in the form in which it is sent to HTTP/1.1 upstreams."""

    __slots__ = ("body", "head")
    head: bytes  # without `X-Remaining`, which is written per attempt, and the final empty line
    body: bytes

    def release_payload(self) -> None:
        """Drop head and body; an attempt in flight has written or copied them."""
        self.head = self.body = b""


class HttpAttempt(PoolAttempt):
    """An attempt that waits for a connection or is in flight on one."""

    def __init__(self, request: OutboundRequest, endpoint: HttpEndpoint, now: int) -> None:
        """Create an attempt without a connection."""
        super().__init__(request, endpoint, now)
        self.outbound = request
        self.connection: UpstreamConnection | None = None


class HttpEndpoint(Endpoint):
    """An upstream with its connection pool."""

    def __init__(
        self,
        pool: Pool,
        host: str,
        number: int,
        state: UpstreamState,
        started: int,
        address: Address,
    ) -> None:
        """Create an endpoint without connections."""
        super().__init__(number, state, 0, 0, started)
        self.pool = pool
        self.loop = pool.loop
        self.host = host
        self.address = address
        self.connections: set[UpstreamConnection] = set()
        # The connection used last is used next, so that the others expire.
        self.idle: list[UpstreamConnection] = []
        self.waiting: deque[HttpAttempt] = deque()  # attempts without a connection
        self.connecting_count = 0
        self.reuse_delayed_count = 0  # connections that are available after `REUSE_DELAY_NS`

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        """Send a request on an idle connection, or queue it for one."""
        assert isinstance(request, OutboundRequest)
        attempt = HttpAttempt(request, self, self.pool.now)
        request.attempts.append(attempt)
        self.send(attempt)
        return attempt

    def abandon(self, sent: PoolAttempt) -> None:
        """Close the attempt's connection, or remove it from the queue; the caller settles it."""
        assert isinstance(sent, HttpAttempt)
        if sent.connection:
            sent.connection.abandon()
        elif sent in self.waiting:
            self.waiting.remove(sent)

    def is_unsent(self, sent: PoolAttempt) -> bool:
        """Tell whether an attempt still waits for a connection."""
        return sent in self.waiting

    def idle_connections(self) -> Iterator[tuple[int, Callable[[], None]]]:
        """Yield for each idle connection since when it is idle, and how to close it."""
        return ((connection.state_since, connection.close) for connection in self.idle)

    def in_flight(self) -> int:
        """Count the attempts on connections and in the queue."""
        sent = sum(connection.attempt is not None for connection in self.connections)
        return sent + len(self.waiting)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        expired = [
            connection for connection in self.idle if connection.state_since < self.min_idle_since()
        ]
        for connection in expired:
            connection.close()

    def send(self, attempt: HttpAttempt) -> None:
        """Send on the first usable idle connection, or queue the attempt."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                connection.start(attempt)
                return
            connection.close()
        self.waiting.append(attempt)
        self.ensure_connections()

    def ensure_connections(self) -> None:
        """Connect if more attempts wait than connections will soon be available.

        If no connection can be opened, the attempt that was queued last is not sent. A waiting
        attempt takes whichever connection is available first, a new or a reused one.
        """
        available_soon = self.connecting_count + self.reuse_delayed_count
        if len(self.waiting) > available_soon and not self.connect():
            self.pool.settle(self.waiting.pop(), Outcome.NOT_SENT)

    def connect(self) -> bool:
        """Begin to open a connection; return False if limits or descriptors don't allow one."""
        if self.max_connections is not None and len(self.connections) >= self.max_connections:
            return False
        try:
            if not self.pool.context.budget.acquire_connection(self.pool.budget):
                return False
            connection = UpstreamConnection(self)
        except OSError as error:  # the system's limit, reached before the budget's
            self.pool.budget.connections.release()
            log.warning("socket_unavailable", fault=error)
            return False
        self.connecting_count += 1
        self.connections.add(connection)
        self.loop.spawn(connection.run, connection.close)
        return True

    def on_connection_available(self, connection: UpstreamConnection) -> None:
        """Use a connection for a waiting attempt, keep it idle, or close it if it is not wanted."""
        over_limit = (
            self.max_connections is not None and len(self.connections) > self.max_connections
        )
        if (
            self.state != UpstreamState.READY
            or connection.address != self.address
            or over_limit
            or (not self.waiting and self.pool.context.budget.is_recalled(self.pool.budget))
        ):
            connection.close()
            # After a change of address, attempts that waited for this connection need a new one.
            self.ensure_connections()
            return
        connection.state_since = self.loop.clock()
        self.idle.append(connection)
        self.drop_abandoned_attempts()
        if self.waiting:
            self.send(self.waiting.popleft())

    def drop_abandoned_attempts(self) -> None:
        """Settle the attempts that have waited longest and whose clients have left, or may have."""
        while self.waiting:
            attempt = self.waiting[0]
            # A disconnect ends the request, and with it the attempt.
            if not attempt.outbound.client_disconnected():
                if not attempt.outbound.is_client_hidden(self.loop.clock()):
                    return
                self.pool.settle(self.waiting.popleft(), Outcome.NOT_SENT)

    def on_connect_failed(self) -> None:
        """Fail the attempt that has waited longest, unless other connections will serve it."""
        if len(self.waiting) > self.connecting_count + self.reuse_delayed_count:
            self.pool.settle(self.waiting.popleft(), Outcome.CONNECT_FAILED)

    def set_address(self, dial: Address) -> None:
        """Use this address from now on; idle connections to the previous one are closed."""
        if dial != self.address:
            self.address = dial
            self.close_idle()

    def min_idle_since(self) -> int:
        """Return since when, at the earliest, a connection may have been idle to be kept."""
        return self.loop.clock() - int(KEEP_ALIVE_FRACTION * self.pool.spec.idle_limit)

    def close_idle(self) -> None:
        """Close idle connections."""
        for connection in list(self.idle):
            connection.close()

    def drain(self) -> None:
        """Close idle connections, and settle waiting attempts as not sent."""
        self.close_idle()
        while self.waiting:
            self.pool.settle(self.waiting.popleft(), Outcome.NOT_SENT)


class UpstreamConnection(buffers.Connection):
    """One connection to an upstream."""

    def __init__(self, endpoint: HttpEndpoint) -> None:
        """Create the socket; raise OSError if the system has no descriptor left."""
        self.endpoint = endpoint
        self.pool = endpoint.pool
        self.loop = endpoint.loop
        self.address = endpoint.address
        self.sock = buffers.create_tcp_socket()
        self.response_parser = ResponseParser()  # for responses not in the simplest form
        self.attempt: HttpAttempt | None = None
        self.response = UpstreamResponse()
        self.unsent = buffers.NOTHING
        self.state_since = 0  # since when it is idle
        self.progress_at = 0  # when the last bytes of the response arrived; 0: none yet
        self.connected = False
        self.closed = False
        self.reuse_delayed = False  # for `REUSE_DELAY_NS` after a response

    def cpu_budget(self) -> PoolBudget:
        """Return the budget of the endpoint's pool."""
        return self.pool.budget

    async def run(self) -> None:
        """Connect, then read on events; close the connection if connecting fails."""
        try:
            self.loop.call_at(
                self.loop.clock() + self.pool.spec.connect_limit,
                self.loop,
                self.on_connect_timeout,
            )
            await buffers.connect(self.sock, self.address)
            if not self.closed:
                self.start_reading(metered=len(self.pool.context.budget.pools) > 1)
                self.connected = True
                self.endpoint.connecting_count -= 1
                self.endpoint.on_connection_available(self)
                return
        except (OSError, anyio.ClosedResourceError):
            pass
        self.close()

    def on_connect_timeout(self) -> None:
        """Close the connection unless it is established."""
        if not self.connected:
            self.close()

    def is_usable(self) -> bool:
        """Tell whether an idle connection is recent, still open and holds no unrequested bytes."""
        return self.state_since >= self.endpoint.min_idle_since() and self.peek() is None

    def delay_reuse(self) -> None:
        """Carry no request for `REUSE_DELAY_NS`, in which a second response would arrive."""
        self.reuse_delayed = True
        self.endpoint.reuse_delayed_count += 1
        self.loop.call_at(self.loop.clock() + REUSE_DELAY_NS, self.loop, self.end_reuse_delay)

    def end_reuse_delay(self) -> None:
        """Make the connection available, unless it has been closed."""
        if self.reuse_delayed:
            self.reuse_delayed = False
            self.endpoint.reuse_delayed_count -= 1
            self.endpoint.on_connection_available(self)

    def start(self, attempt: HttpAttempt) -> None:
        """Write the attempt's request; what the socket does not take at once is written later."""
        log.invariant(
            self.attempt is None and not self.closed, "a connection carries one task at a time"
        )
        log.invariant(attempt.outcome is None, "what has its outcome is not sent")
        self.attempt = attempt
        attempt.connection = self
        self.response = UpstreamResponse()
        self.progress_at = 0
        request = attempt.outbound
        remaining = max(0, request.deadline - self.loop.clock()) / SECOND
        self.write(b"%sx-remaining: %.3f\r\n\r\n%s" % (request.head, remaining, request.body))

    def read(self) -> None:
        """Parse what has arrived of the response."""
        data = self.receive()
        if data is None:
            return
        if not data or self.attempt is None:
            self.close()  # the upstream closed the connection, or sent unrequested bytes
            return
        is_first_read = self.response_parser.parser is None
        if not (is_first_read and self.finish_simple_response(data)):
            self.response_parser.receive(data)
            self.parse_received()

    def parse_received(self) -> None:
        """Parse the response as far as it has arrived, until the turn is over."""
        attempt, parser = self.attempt, self.response_parser
        turn = self.loop.turns.begin_turn()
        try:
            while self.attempt is not None and self.process_event(parser.next_event()):
                if turn.is_over() and parser.unparsed_size():
                    self.defer_parsing()
                    break
        except h11.RemoteProtocolError as error:
            self.fail_response(error)
            return
        if not self.is_deferred:
            self.resume_reading()
        if attempt and self.attempt is attempt and parser.has_begun():
            self.note_progress(attempt)

    def note_progress(self, attempt: HttpAttempt) -> None:
        """Note that bytes of the response have arrived; after the first, look whether more come."""
        is_first = not self.progress_at
        self.progress_at = self.loop.clock()
        if is_first:
            self.loop.call_at(
                self.progress_at + self.pool.spec.connect_limit,
                self.loop,
                self.check_progress,
                attempt,
            )

    def check_progress(self, attempt: HttpAttempt) -> None:
        """Fail a response that has begun and stalled for as long as connecting may take."""
        if self.attempt is not attempt:
            return
        if self.is_deferred:
            self.progress_at = self.loop.clock()  # it is not the upstream that is waited for
        self.read()  # an event loop behind its time may have unread bytes
        deadline = self.progress_at + self.pool.spec.connect_limit
        if self.attempt is attempt and deadline > self.loop.clock():
            self.loop.call_at(deadline, self.loop, self.check_progress, attempt)
        elif self.attempt is attempt:
            self.fail_response("an answer that does not end")

    def fail_response(self, why: object) -> None:
        """Close the connection after an invalid response, and fail its attempt.

        The upstream is up and may have run the request, if that was written whole.
        """
        log.warning("upstream_protocol_error", upstream=self.endpoint.host, fault=why)
        attempt, written = self.attempt, not self.unsent
        self.abandon()
        if attempt:
            self.pool.settle(attempt, Outcome.FAILED if written else Outcome.CONNECT_FAILED)

    def finish_simple_response(self, data: bytes) -> bool:
        """Take a response that arrived whole, alone and in the simplest form.

        Return False for anything else: h11 then parses it.
        """
        response = self.response
        found = buffers.parse_simple_message(buffers.SIMPLE_RESPONSE, data)
        if found is None:
            return False
        start_line, response.headers, body = found
        if response.header(b"content-length") is None:
            return False
        response.status = int(start_line[1])
        response.body = bytearray(body)
        self.finish_response(reusable=True)
        return True

    def process_event(self, event: object) -> bool:
        """Process one parsed part of a response; return False if there is no more for now."""
        response = self.response
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = list(event.headers)
            buffers.check_framing(response.headers, event.http_version)
            framing = response.header(b"content-length") or response.header(b"transfer-encoding")
            if (
                response.status in self.pool.spec.passed_on
                and response.status not in BODILESS_STATUSES
                and framing is None
            ):
                raise h11.RemoteProtocolError("a body whose end can't be told from a break")
            length = response.header(b"content-length") or b"0"
            if len(length) > 9 or int(length) > MAX_RESPONSE_BODY_BYTES:
                raise h11.RemoteProtocolError(f"a body of {length.decode()} bytes")
        elif isinstance(event, h11.InformationalResponse):
            response.interim_count += 1
            if response.interim_count > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError("too many interim answers")
        elif isinstance(event, h11.Data):
            response.size += len(event.data)
            if response.size > MAX_RESPONSE_BODY_BYTES or not self.pool.budget.bodies.acquire(
                len(event.data)
            ):
                response.size -= len(event.data)
                raise h11.RemoteProtocolError("body too large")
            response.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self.finish_response(reusable=self.response_parser.allows_reuse())
            return False
        else:  # h11 needs more data, or the connection has ended
            if event is not h11.NEED_DATA:
                self.close()
            return False
        return True

    def finish_response(self, reusable: bool) -> None:
        """Settle the attempt of a whole response; keep the connection if it is reusable."""
        response = self.response
        attempt = self.detach_attempt()
        assert attempt is not None
        outcome = response.outcome(self.pool.spec.passed_on)
        if self.unsent and outcome != Outcome.OVERLOADED:
            outcome = Outcome.CONNECT_FAILED  # the request was not written whole
        self.response_parser.clear()
        if reusable and not self.unsent:
            self.delay_reuse()
        else:
            self.close()
        self.pool.settle(attempt, outcome, response, response.load_report(self.pool.columns))

    def detach_attempt(self) -> HttpAttempt | None:
        """Separate the attempt, if any, from the connection, and release its response's bytes."""
        attempt, self.attempt = self.attempt, None
        if attempt:
            if self.response.size:
                self.pool.budget.bodies.release(self.response.size)
            attempt.connection = None
            # An idle connection would keep the response until its next one.
            self.response = UpstreamResponse()
        return attempt

    def close(self) -> None:
        """Close, and settle an attempt by whether its request was written whole."""
        if self.closed:
            return
        self.closed = True
        self.endpoint.connections.discard(self)
        self.pool.budget.connections.release()
        if self in self.endpoint.idle:
            self.endpoint.idle.remove(self)
        self.close_socket()
        if not self.connected:
            self.endpoint.connecting_count -= 1
            self.endpoint.on_connect_failed()
        elif self.reuse_delayed:
            self.reuse_delayed = False
            self.endpoint.reuse_delayed_count -= 1
            self.endpoint.ensure_connections()
        if attempt := self.detach_attempt():
            self.pool.settle(attempt, Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)
        # Timers refer to closed connections until they are due.
        self.response_parser.clear()
        self.unsent = buffers.NOTHING
        self.pool.context.budget.on_descriptor_freed()

    def abandon(self) -> None:
        """Close the connection without settling its attempt, which the caller does."""
        self.detach_attempt()
        self.close()
