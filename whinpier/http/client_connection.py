"""Reads requests from client connections and writes one response to each.

Headers of clients are interpreted here and by the routers only.

Invariants: each request gets one response; a request that the policy has accepted gets the pool's
response and no other; a client that has disconnected is noticed while its request is in flight.
"""

from __future__ import annotations

import re
import socket
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from whinpier import log
from whinpier.http import arrival_times, buffers
from whinpier.http.arrival_times import ArrivalTimes
from whinpier.http.client_request import HttpRequest, retry_after
from whinpier.http.message_parser import RequestParser
from whinpier.http.platform_routes import (
    RequestError,
    RouteTarget,
    check_request,
    query_parameter,
)
from whinpier.http.upstream_connection import (
    BODILESS_STATUSES,
    MAX_REQUEST_BODY_BYTES,
)
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import RequestClass
from whinpier.runtime.pool import stable_hash
from whinpier.runtime.resource_budget import Holding, PoolBudget

if TYPE_CHECKING:
    from whinpier.http.listener import HttpFrontend

# For a request to arrive whole, counted from its first byte or, for the first request, from the
# accept; also for the client to take a response.
MESSAGE_TIMEOUT_NS = 2 * SECOND
# Between requests. Some clients never close their connections, and closing an idle one harms none.
IDLE_TIMEOUT_NS = 5 * SECOND // 2
# For the client to take its last response and close.
LINGER_TIMEOUT_NS = SECOND // 2
# Read and dropped while lingering: enough for a body just over the limit, not for many megabytes.
MAX_DISCARDED_BYTES = 256 * 1024
# Pipelined behind a request without a response; beyond that nothing is read until it has one.
MAX_PIPELINED_BYTES = 8 * 1024
# Unread bytes, above which the end of a connection may not have arrived: a quarter of what Linux
# takes for a connection at first.
HIDING_BYTES = 16 * 1024
# That a parsed header field takes beside its bytes: objects in a list and in a map.
FIELD_OVERHEAD_BYTES = 300
# Responses that the client has not taken; beyond that no further request of it is processed.
MAX_UNSENT_BYTES = 64 * 1024
DECIMAL_NUMBER = re.compile(rb"[+-]?[0-9]{1,20}(\.[0-9]{0,20})?|[+-]?\.[0-9]{1,20}")
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class CloseReason(StrEnum):
    """Why a client's connection is closed; part of a counter's name and a field of the log."""

    PEER = "peer"  # the client closed or reset it
    ERROR_RESPONSE = "error_response"  # an invalid request, or one after which none can follow
    IDLE = "idle"
    SLOW_REQUEST = "slow_request"
    SLOW_RESPONSE = "slow_response"  # the client did not take its response in time
    SURPLUS = "surplus"  # descriptors run short
    STOPPING = "stopping"
    FAILURE = "failure"  # an error of the balancer itself


class ClientConnection(buffers.Connection):
    """One connection of a client; its requests are processed one at a time."""

    def __init__(self, frontend: HttpFrontend, sock: socket.socket) -> None:
        """Wrap an accepted non-blocking socket."""
        self.frontend = frontend
        self.loop = frontend.loop
        self.sock = sock
        self.request_parser = RequestParser()
        # Of the current request:
        self.method = b""
        self.target = b""
        self.headers = list[tuple[bytes, bytes]]()
        self.header_map: dict[bytes, bytes] = {}  # the last header of each name
        self.body = bytearray()
        self.destination: tuple[RouteTarget, RequestClass] | None = None
        # Why no route was found, if the client may go on using the connection.
        self.routing_error: RequestError | None = None
        self.request: HttpRequest | None = None  # accepted by the pool and without a response
        self.body_length = 0  # as its head says, without chunks
        self.head_bytes = 0  # that the parsed head takes
        self.request_bytes = Holding()
        self.parsed_simply = False  # without h11
        # Of the connection:
        self.state_since = frontend.loop.clock()  # when its current wait began
        self.pool_budget: PoolBudget | None = None  # of the pool that got its last request
        self.remembered = 0  # requests of it whose ids are known
        self.unsent = buffers.NOTHING
        self.unsent_bytes = Holding()
        self.arrivals = ArrivalTimes()
        self.unread_since = 0  # since when bytes may be unread as reading was paused; 0: none are
        self.receiving = False  # part of a request has arrived
        self.is_parsing = False  # a response that is written now is followed by the next request
        self.closing = False  # no further request is processed
        self.closed = False
        self.close_reason = CloseReason.PEER
        self.discarded_bytes = 0  # received while closing

    def cpu_budget(self) -> PoolBudget | None:
        """Return the budget of the current request's pool, if it has a route."""
        return self.destination[0].pool.budget if self.destination else None

    def read(self) -> None:
        """Process what has arrived on the socket."""
        data = self.receive(self.read_limit())
        if data is None:
            return
        if self.closing:
            self.discarded_bytes += len(data)
        if not data or self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.close()
        elif self.closing:
            return
        elif self.is_held_up():
            self.request_parser.receive(data)
            self.limit_pipelining()
        else:
            self.process_data(data)

    def receive(self, limit: int = buffers.BUFFER_BYTES) -> bytes | None:
        """Return what has arrived, as `Connection.receive`, and note when it had."""
        try:
            data, age = arrival_times.receive(self.sock, limit)
        except OSError as error:
            return None if error.errno in buffers.TRANSIENT_ERRORS else b""
        now = self.loop.clock()
        # What is older has been read before: a stamp that says so is of another clock.
        oldest = min(self.loop.timers_run_at, self.unread_since or now)
        self.arrivals.add(len(data), max(now - age, oldest))
        if len(data) < limit:
            self.unread_since = 0
        return data

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`."""
        self.unread_since = self.unread_since or self.loop.clock()
        super().pause_reading()

    def read_limit(self) -> int:
        """Return how many bytes may be read now: few behind a request without a response."""
        if self.closing:
            return buffers.BUFFER_BYTES
        if self.is_held_up():
            return max(1, MAX_PIPELINED_BYTES + 1 - self.request_parser.unparsed_size())
        limit = self.frontend.budget.read_bytes + max(0, self.missing_body_bytes())
        return min(limit, buffers.BUFFER_BYTES)

    def missing_body_bytes(self) -> int:
        """Return how much of the current request's body has not arrived; 0 of one in chunks."""
        parser = self.request_parser
        if not parser.is_in_body() or parser.is_chunked:
            return 0
        return self.body_length - len(self.body) - parser.unparsed_size()

    def process_data(self, data: bytes) -> None:
        """Process received bytes of a connection that waits for no response."""
        is_first_read = not self.receiving
        self.receiving = True
        # The time-out of a new client's first request runs from the accept.
        if is_first_read and self not in self.frontend.new_clients:
            self.state_since = self.loop.clock()
        if not (is_first_read and self.process_simple_request(data)):
            self.request_parser.receive(data)
            self.process_requests()

    def is_held_up(self) -> bool:
        """Tell whether the next request has to wait: for a response, or for the client to take some."""
        return self.request is not None or len(self.unsent) > MAX_UNSENT_BYTES

    def limit_pipelining(self) -> None:
        """Read on only while little waits behind a request without a response, or for a turn."""
        if self.is_deferred and not self.closing:
            return  # reading is paused, and goes on when the turn has ended
        is_full = self.request_parser.unparsed_size() > MAX_PIPELINED_BYTES
        if self.closing or not (is_full and self.is_held_up()):
            self.resume_reading()
        elif not self.reading_paused:
            log.counters["client_flood"] += 1
            self.pause_reading()

    def process_simple_request(self, data: bytes) -> bool:
        """Process a request that arrived whole, alone and in the simplest form.

        Return False, with nothing changed, for anything else: h11 then parses it. Parsing by h11
        costs as much CPU as all of the policy's work on a request.
        """
        found = (
            None
            if self.request_parser.unparsed_size()
            else buffers.parse_simple_message(buffers.SIMPLE_REQUEST, data)
        )
        if found is None or not any(name == b"host" for name, _ in found[1]):
            return False
        start_line, self.headers, body = found
        self.method = start_line[1]
        self.target = start_line[2]
        self.body = bytearray()
        self.receiving = False
        self.parsed_simply = True
        try:
            self.find_route()
            self.append_body(body)
            self.handle_request()
        except Exception as error:
            self.respond_to_error(error)
        return True

    def find_route(self) -> None:
        """Route the request by its head, so that one without a route is refused before its body."""
        self.destination = None
        self.routing_error = None
        self.header_map = dict(self.headers)
        if self.target != self.frontend.health_path:
            try:
                self.destination = self.frontend.router.route(
                    self.method, self.target, self.header_map, self.headers
                )
                if (budget := self.destination[0].pool.budget) is not self.pool_budget:
                    self.count_in_pool(budget)
            except RequestError as error:
                if error.close_connection:
                    raise
                # Raised once the body has been read, if that has arrived already: the connection
                # can then be kept.
                self.routing_error = error

    def count_in_pool(self, budget: PoolBudget | None) -> None:
        """Count this client in this pool's clients instead of the previous pool's."""
        if self.pool_budget:
            self.pool_budget.clients -= 1
        if budget:
            budget.clients += 1
        self.pool_budget = budget

    def append_body(self, data: bytes | bytearray) -> None:
        """Add to the request's body, within its largest size and the pool's budget for bodies."""
        if not data or self.routing_error:
            return
        if len(self.body) + len(data) > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "body too large")
        if self.destination is None:
            raise RequestError(503, "too many bodies at once")
        if not self.hold_request_bytes(len(data)):
            # Raised once the body has been read, if it has arrived: whole requests may follow.
            is_last = not self.request_parser.unparsed_size()
            self.routing_error = RequestError(
                503, "too many bodies at once", close_connection=is_last
            )
            self.release_request()
            return
        self.body += data

    def hold_request_bytes(self, more: int) -> bool:
        """Count what this client's request takes, and `more`; return False if that is too much.

        What waits behind the request is bounded by what is read at once.

        Where the budget is used up, requests that have been arriving for longest are refused first.
        """
        if self.destination:
            share = self.destination[0].pool.budget.request_bytes
        else:
            share = self.frontend.budget.unrouted_request_bytes
        size = self.head_bytes + len(self.body) + more
        while not self.request_bytes.resize(share, size):
            if not self.frontend.refuse_slowest_request(self, share):
                return False
        return True

    def process_requests(self) -> None:
        """Process what has arrived, until a request waits for its response or the turn is over."""
        turn = self.loop.turns.begin_turn()
        while not (self.closed or self.closing or self.is_held_up()):
            if turn.is_over() and self.request_parser.unparsed_size():
                self.defer_parsing()
                break
            if not self.process_next_event():
                break
        if self.is_arriving() and not self.hold_request_bytes(self.request_parser.unparsed_size()):
            self.reject_request(RequestError(503, "too many requests arriving at once"))
        self.limit_pipelining()

    def is_arriving(self) -> bool:
        """Tell whether a request has arrived in part, and can be refused.

        Whole requests that wait for their turn are owed their responses.
        """
        if not self.receiving or self.closing:
            return False
        return not self.is_deferred or self.has_incomplete_body()

    def has_incomplete_body(self) -> bool:
        """Tell whether more of the current request's body has to arrive."""
        parser = self.request_parser
        return self.missing_body_bytes() > 0 or (parser.is_in_body() and parser.is_chunked)

    def parse_received(self) -> None:
        """Go on where the last turn ended."""
        self.process_requests()

    def process_next_event(self) -> bool:
        """Process the next part of a request; return False if more has to arrive first."""
        self.is_parsing = True
        try:
            event = self.request_parser.next_event()
            if isinstance(event, h11.Request):
                self.start_request(event)
            elif isinstance(event, h11.Data):
                self.append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.receiving = False
                self.handle_request()
            elif self.routing_error:
                raise self.routing_error
            else:
                self.receiving = self.request_parser.is_in_body() or bool(
                    self.request_parser.unparsed_size()
                )
                if interim := self.request_parser.continue_response():
                    self.enqueue(interim)
                return False
        except Exception as error:
            self.respond_to_error(error)
        finally:
            self.is_parsing = False
        return True

    def start_request(self, request: h11.Request) -> None:
        """Check and route a request whose head h11 has parsed."""
        self.method = request.method
        self.target = request.target
        self.headers = list(request.headers)
        self.body = bytearray()
        buffers.check_framing(self.headers, request.http_version)
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        if len(length) > 9 or int(length) > MAX_REQUEST_BODY_BYTES:
            raise RequestError(413, "body too large")
        self.body_length = int(length)
        self.head_bytes = sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in self.headers
        )
        self.find_route()

    def handle_request(self) -> None:
        """Process a whole request: a health check, or a request for a pool."""
        self.frontend.new_clients.pop(self, None)
        # Behind earlier requests, the end of the connection may have come long ago.
        if not self.parsed_simply and self.has_disconnected():
            return
        if self.routing_error:
            raise self.routing_error
        if self.destination is None:
            ready = self.frontend.ready()
            self.send_response(200 if ready else 503, b"up\n" if ready else b"starting\n")
            return
        pool = self.destination[0].pool
        request = self.create_request(*self.destination)
        if request.deadline <= self.loop.clock():
            log.counters["request_expired"] += 1
            self.send_response(504, b"too late\n")
            return
        if self.frontend.has_too_many_remembered(self):
            rejected = True
        elif pool.request_limiters is None:
            rejected = self.frontend.rejects(pool)
        else:  # limits by route or tenant need the headers that name them
            target, header_map = self.destination[0], self.header_map
            rejected = self.frontend.rejects(
                pool,
                target.route,
                header_map.get(target.fields.tenant, b""),
                header_map.get(target.fields.ticket, b""),
                request.repeat,
            )
        if rejected:
            log.counters["rejected_on_arrival"] += 1
            log.info(
                "request_rejected",
                id=request.client_id.decode("latin-1"),
                lane=request.request_class.name,
                why=self.frontend.process.rejection_reason,
            )
            self.send_response(
                503,
                b"turned back\n",
                retry_after(pool.retry_after or request.request_class.latency_objective // 4),
            )
            pool.retry_after = 0
            return
        self.request = request
        self.remembered += 1
        self.drop_parsed_request()
        pool.accept(request, pool.granted_permits)

    def create_request(self, target: RouteTarget, request_class: RequestClass) -> HttpRequest:
        """Build the pool's request from the headers; raise RequestError where they are invalid."""
        headers, frontend, fields = self.header_map, self.frontend, target.fields
        if len(headers) < len(self.headers):
            names = [name for name, _ in self.headers]
            if any(names.count(name) > 1 for name in fields.once):
                raise RequestError(400, "a header that may come once came twice")
        check_request(
            self.method, target, request_class, headers.get(fields.ticket), len(self.body)
        )
        client_id = headers.get(fields.txn, b"")
        if not client_id and not fields.optional:
            raise RequestError(400, "no " + fields.txn.decode().title())
        if client_id in frontend.requests_by_id:
            # Ids are unique per request. With a duplicate, a request could take effect twice or
            # get another client's response.
            raise RequestError(409, "an X-Txn that another request has")
        remaining = headers.get(fields.remaining)
        timeout = min(request_class.timeout, target.timeout or request_class.timeout)
        if remaining is not None or not fields.optional:
            if remaining is None or not DECIMAL_NUMBER.fullmatch(remaining):
                raise RequestError(400, f"no {fields.remaining.decode().title()} that can be read")
            timeout = min(int(float(remaining) * SECOND), timeout)
        arrived_at = self.arrivals.at(self.request_parser.unparsed_size())
        deadline = frontend.process.deadline(arrived_at, timeout)
        request = HttpRequest(self, request_class, arrived_at, deadline, client_id)
        key = query_parameter(self.target, fields.query_key) or headers.get(fields.key, b"")
        request.key = stable_hash(key) if key else 0
        request.tenant = target.pool.tenants.get(headers.get(fields.tenant, b""), 0)
        request.repeat = headers.get(fields.repeat) == b"1"
        return request

    def respond_to_error(self, error: Exception) -> None:
        """Respond to a request that failed before the pool accepted it; call this in the handler.

        A request that was read is owed a response even where the balancer itself is at fault.
        """
        if isinstance(error, RequestError):
            self.reject_request(error)
        elif isinstance(error, h11.RemoteProtocolError):
            self.reject_request(RequestError(error.error_status_hint, str(error)))
        else:
            log.exception("connection_task_failed")
            if self.request is None and not self.closed:  # else the pool responds
                self.receiving = False
                self.send_response(500, b"internal error\n")

    def client_request_id(self) -> str:
        """Return the id that the client gave the current request, for the log; empty if unknown."""
        if self.destination is None:
            return ""
        return self.header_map.get(self.destination[0].fields.txn, b"").decode("latin-1")

    def reject_request(self, error: RequestError) -> None:
        """Respond to an invalid request, and close the connection where the error says so."""
        log.warning("bad_request", status=error.status, why=error, id=self.client_request_id())
        self.receiving = False
        if error.close_connection:
            self.close_reason = CloseReason.ERROR_RESPONSE
        self.send_response(
            error.status,
            f"{error}\n".encode("utf-8", "replace"),
            error.headers,
            close=error.close_connection,
        )

    def send_response(
        self,
        status: int,
        body: bytes | bytearray,
        headers: list[tuple[bytes, bytes]] | None = None,
        close: bool = False,
    ) -> None:
        """Write the response to the current request; `close` ends the connection after it."""
        self.request = None
        self.release_request()
        # Requests behind this one are owed their responses first.
        is_surplus = self.is_unwanted() and not self.has_further_request()
        if is_surplus:
            self.close_reason = (
                CloseReason.STOPPING if self.frontend.closing else CloseReason.SURPLUS
            )
        self.closing = close or is_surplus
        # After a request that is incomplete, or with which the client ends the connection, no
        # further request can follow.
        self.closing = self.closing or not (self.parsed_simply or self.request_parser.is_whole())
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b""))]
        head += [b"%s: %s\r\n" % pair for pair in headers or []]
        if status not in BODILESS_STATUSES:
            head.append(b"content-length: %d\r\n" % len(body))
        head.append(b"connection: close\r\n\r\n" if self.closing else b"\r\n")
        self.state_since = self.loop.clock()
        self.enqueue(b"".join((*head, body)))
        if self.closed or self.closing:
            self.request_parser.clear()
            self.resume_reading()  # to read and drop
            return
        # h11 only parses here: writing with it costs over twice as much CPU.
        if not self.parsed_simply:
            self.request_parser.start_next()
        self.parsed_simply = False
        if self.request_parser.unparsed_size() and not self.is_parsing:
            # Dispatched, since a response may be written in the middle of a policy decision.
            self.loop.dispatch(self.loop, self.process_requests)

    def has_further_request(self) -> bool:
        """Tell whether a request has arrived behind the present one: whole, or with part of it unread."""
        if buffers.begins_with_whole_request(self.request_parser.unparsed()):
            return True
        return self.reading_paused and bool(self.peek())

    def is_unwanted(self) -> bool:
        """Tell whether the connection should not be kept, as the process stops or is crowded."""
        return self.frontend.closing or self.frontend.is_crowded(self.pool_budget)

    def release_request(self) -> None:
        """Drop the request's head and body, and release their bytes."""
        self.drop_parsed_request()
        self.request_bytes.release()

    def drop_parsed_request(self) -> None:
        """Drop the request's head and body; those that go to an upstream count as before."""
        self.headers = []
        self.header_map = {}
        self.head_bytes = 0
        self.body = bytearray()

    def enqueue(self, data: bytes) -> None:
        """Write now, or after what the socket has not taken yet."""
        if self.unsent:
            self.unsent = memoryview(bytes(self.unsent) + data)
        else:
            self.write(data)
        if self.unsent and not self.closed:
            self.hold_unsent_bytes()

    def hold_unsent_bytes(self) -> None:
        """Count the response in its pool's budget while the client has not taken all of it.

        If the budget is used up, the client that has been taking its response for longest is
        closed, which may be this one.
        """
        budget = self.frontend.budget
        share = self.pool_budget.bodies if self.pool_budget else budget.unrouted_bodies
        # A view keeps all of its bytes, also those that the socket has taken.
        size = memoryview(self.unsent.obj).nbytes
        if share.limit is not None:
            size = min(size, share.limit)  # a body as large as the limit comes with its head
        while not self.closed and not self.unsent_bytes.resize(share, size):
            self.frontend.close_slowest_reader(self, share)

    def flush(self) -> None:
        """Write what the socket takes; then half-close after the last response, or go on."""
        was_held_up = self.is_held_up()
        super().flush()
        if not self.unsent:
            self.unsent_bytes.release()
        if self.closing and not self.unsent and not self.closed:
            self.half_close()
        elif was_held_up and not (self.is_held_up() or self.closed or self.is_parsing):
            self.loop.dispatch(self.loop, self.process_requests)

    def half_close(self) -> None:
        """Shut down the sending side, then read and drop for a moment.

        Closing a socket with unread bytes resets the connection, and a response that is still on
        its way would be lost.
        """
        self.closing = True
        self.state_since = self.loop.clock()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def enforce_timeouts(self, now: int) -> None:
        """Close or half-close the connection if its current wait is over."""
        if self.request is not None:
            if self.reading_paused:
                self.has_disconnected()  # which is no event while nothing is read
            return  # the request's deadline limits the wait
        waited = now - self.state_since
        if self.is_deferred:
            self.has_disconnected()  # it is not the client that is waited for
        elif self.unsent or self.receiving:
            if waited > MESSAGE_TIMEOUT_NS:
                log.warning(
                    "slow_client",
                    reading=self.receiving,
                    unsent=len(self.unsent),
                    body=len(self.body),
                )
                if self.unsent:
                    self.close(CloseReason.SLOW_RESPONSE)
                else:
                    self.reject_request(RequestError(408, "half a request"))
                    self.close_reason = CloseReason.SLOW_REQUEST
        elif self.closing and waited > LINGER_TIMEOUT_NS:
            self.close()
        elif not self.closing and waited > (
            MESSAGE_TIMEOUT_NS if self in self.frontend.new_clients else IDLE_TIMEOUT_NS
        ):
            self.read_or_half_close()

    def read_or_half_close(self) -> None:
        """Process what may have just arrived; half-close if the connection is still idle."""
        if self.is_idle_after_read():
            self.close_reason = CloseReason.STOPPING if self.frontend.closing else CloseReason.IDLE
            self.half_close()

    def is_idle_after_read(self) -> bool:
        """Process what may have just arrived, and tell whether the connection is still idle."""
        self.read()
        return not self.closed and self.is_idle()

    def is_idle(self) -> bool:
        """Tell whether the connection is open for requests and has none, whole or in part."""
        return self.request is None and not self.receiving and not self.closing and not self.unsent

    def can_be_closed(self) -> bool:
        """Tell whether closing loses nothing.

        That holds after the last response, and for an idle connection with no unread bytes.
        """
        if self.closing or not self.is_idle():
            return self.closing and not self.unsent
        return not self.peek()

    def has_disconnected(self) -> bool:
        """Tell whether the client has closed its connection, even if that was not read yet."""
        if not self.closed and self.has_peer_left():
            self.close(CloseReason.PEER)
        return self.closed

    def has_peer_left(self) -> bool:
        """Tell whether the client's end has arrived, also behind bytes that are unread."""
        unread = self.peek()
        return unread == b"" or (unread is not None and self.has_peer_closed())

    def may_have_left_unseen(self) -> bool:
        """Tell whether so much is unread that the client's end may not have arrived.

        The system takes no more than fits its buffer, and the end comes behind all that was sent.
        """
        return self.reading_paused and self.unread_size(HIDING_BYTES) >= HIDING_BYTES

    def close(self, reason: CloseReason | None = None) -> None:
        """Close the connection, and tell the pool of a request in flight.

        Without a `reason`, it is that for which the last response ended the connection, if any.
        """
        if self.closed:
            return
        self.closed = True
        reason = reason or self.close_reason
        log.counters[f"closed_{reason}"] += 1
        if self.request or self.unsent or self.receiving:
            log.info(
                "client_closed",
                reason=reason,
                id=self.request.client_id.decode("latin-1") if self.request else "",
                unsent=len(self.unsent),
                receiving=self.receiving,
            )
        self.release_request()
        self.unsent = buffers.NOTHING
        self.unsent_bytes.release()
        self.request_parser.clear()
        self.count_in_pool(None)
        self.frontend.remove_client(self)
        self.close_socket()
        if request := self.request:
            self.request = None
            request.pool.on_client_disconnected(request)
        self.frontend.on_descriptor_freed()
