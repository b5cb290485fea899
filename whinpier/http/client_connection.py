"""Owns the connections of clients: reads their requests, answers each once, notices who has left.

The headers of clients are read here and in `routes.py`, nowhere else. Must never write an answer
that a pool did not give, a second one, or a turn-back of its own for a request that the decisions
have seen.
"""

from __future__ import annotations

import re
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import h11

from whinpier import log
from whinpier.http import buffers
from whinpier.http.platform_routes import BadRequest, Target, fits
from whinpier.http.upstream_connection import BODILESS, BODY, HOP, Answer, Http
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import RequestClass
from whinpier.runtime.pool import stable_hash
from whinpier.runtime.resource_budget import PoolBudget

if TYPE_CHECKING:
    from whinpier.http.listener import Door

HALF = (
    2 * SECOND
)  # from connecting or its first byte for a request to be whole, or for an answer to be taken
IDLE = (
    5 * SECOND // 2
)  # between requests; some keep connections for good, none is harmed by a close
LINGER = SECOND // 2  # for a client to take its last answer and close
SPILL = (
    256 * 1024
)  # bytes to let pass unread meanwhile: a body just too large, not one of many megabytes
AHEAD = 8 * 1024  # bytes behind a request that has no answer yet: some requests, not hundreds
NUMBER = re.compile(rb"[+-]?[0-9]{1,20}(\.[0-9]{0,20})?|[+-]?\.[0-9]{1,20}")
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class HttpRequest(Http):
    """A request with the client that waits for it and what goes on to an upstream."""

    __slots__ = ("client",)

    def __init__(
        self, client: Client, request_class: RequestClass, came: int, ends: int, txn: bytes
    ) -> None:
        super().__init__(client.loop.next_id(), request_class, came, ends)
        self.client, self.client_id, self.body = client, txn, b"".join(client.parts)
        head = [b"%s %s HTTP/1.1\r\n" % (client.method, client.target)]
        head += [b"%s: %s\r\n" % pair for pair in client.headers if pair[0] not in HOP]
        if client.method != b"GET":
            head.append(b"content-length: %d\r\n" % len(self.body))
        self.head = b"".join(head)

    def is_awaited(self) -> bool:
        return self.client.request is self

    def client_disconnected(self) -> bool:
        return self.client.has_left()

    def respond(self, answer: Answer) -> None:
        headers = [pair for pair in answer.headers if pair[0] not in HOP]
        self.client.answer(answer.status, b"".join(answer.parts), headers)

    def respond_rejected(self, wait: int) -> None:
        self.client.answer(503, b"turned back\n", retry_after(wait))

    def respond_failed(self) -> None:
        self.client.answer(502, b"not fulfilled\n")


def retry_after(wait: int) -> list[tuple[bytes, bytes]]:
    """The header that tells a client when to come back."""
    return [(b"retry-after", b"%.3f" % (wait / SECOND))] if wait else []


class Client(buffers.Connection):
    """One connection of a client."""

    def __init__(self, door: Door, sock: socket.socket) -> None:
        self.door, self.loop, self.sock = door, door.loop, sock
        self.parser = h11.Connection(h11.SERVER)
        self.method, self.target, self.headers = b"", b"", list[tuple[bytes, bytes]]()
        self.fields: dict[bytes, bytes] = {}  # the headers by name
        self.parts: list[bytes] = []
        self.size, self.spilt = 0, 0  # bytes of its body; of what came behind its last answer
        self.since = (
            door.loop.clock()
        )  # since when it is here, is idle, is read, is answered for good
        self.request: HttpRequest | None = None
        self.to: tuple[Target, RequestClass] | None = None  # where what is asked for goes
        self.member: PoolBudget | None = None  # of the pool it asked last
        self.lost: BadRequest | None = None  # why it goes nowhere
        self.paid: PoolBudget | None = None  # whose bodies its own counts among
        self.left = memoryview(b"")
        self.reading, self.begun, self.last, self.closed = False, False, False, False
        self.flooded = False  # what comes behind a request that is worked on is read no longer
        self.plain = False  # what is asked for did not need the parser

    def pays(self) -> PoolBudget | None:
        return self.to[0].pool.budget if self.to else None

    def read(self) -> None:
        data = self.received()
        if data is None:
            return
        if self.last:
            self.spilt += len(data)
        if not data or self.spilt > SPILL:
            self.close()
        elif self.request is None and not self.last:
            fresh, self.reading = not self.reading, True
            if fresh and self not in self.door.strangers:  # their time runs from when they came
                self.since = self.loop.clock()
            if not (fresh and self.take_plain(data)):
                self.parser.receive_data(data)
                self.parse()
        elif not self.last and not self.flooded:
            self.parser.receive_data(data)
            if len(self.parser.trailing_data[0]) > AHEAD:
                # Its request is owed an answer, behind which the connection ends; till then what
                # comes is passed over unread, so that its leaving is still seen.
                log.warning("client_flood")
                self.flooded = True

    def take_plain(self, data: bytes) -> bool:
        """Take in a request that has come whole and alone, in the plainest form; False for any other."""
        # Guards against a full core: reading a request by h11 costs as much as all decisions on it.
        found = None if self.parser.trailing_data[0] else buffers.plain(buffers.REQUEST, data)
        if found is None or not any(name == b"host" for name, _ in found[1]):
            return False
        start, self.headers, body = found
        self.method, self.target, self.parts = start[1], start[2], []
        self.reading, self.plain = False, True
        try:
            self.find_way()
            self.take_body(body)
            self.handle_request()
        except BadRequest as bad:
            self.refuse(bad)
        return True

    def find_way(self) -> None:
        """Where it goes, by its head alone: what goes nowhere is refused before its body has come."""
        self.to, self.lost, self.fields = None, None, dict(self.headers)
        if self.target != self.door.up:
            try:
                self.to = self.door.router.route(
                    self.method, self.target, self.fields, self.headers
                )
                if (part := self.to[0].pool.budget) is not self.member:
                    self.join(part)
            except BadRequest as bad:
                if bad.last:
                    raise
                self.lost = bad  # its client may go on asking, if the rest of this is here already

    def join(self, part: PoolBudget | None) -> None:
        """It counts among the clients of the pool that it asked last."""
        if self.member:
            self.member.clients -= 1
        if part:
            part.clients += 1
        self.member = part

    def take_body(self, data: bytes) -> None:
        if not data or self.lost:
            return
        if self.size + len(data) > BODY:
            raise BadRequest(413, "body too large")
        if self.paid is None and self.to:
            self.paid = self.to[0].pool.budget
        if self.paid is None or not self.paid.request_bytes.acquire(len(data)):
            raise BadRequest(503, "too many bodies at once")
        self.size += len(data)
        self.parts.append(data)

    def parse(self) -> None:
        """Take in requests as far as they have come; one at a time is worked on."""
        try:
            while not self.closed and not self.last and self.request is None:
                if not self.begun:
                    buffers.check_head(self.parser)
                event = self.parser.next_event()
                if isinstance(event, h11.Request):
                    self.begin(event)
                elif isinstance(event, h11.Data):
                    self.take_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    buffers.check_trailers(event)
                    self.reading = self.begun = False
                    self.handle_request()
                elif self.lost:
                    raise self.lost
                else:
                    self.reading = self.begun or bool(self.parser.trailing_data[0])
                    if self.parser.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.put(self.parser.send(go_on) or b"")
                    return
        except BadRequest as bad:
            self.refuse(bad)
        except h11.RemoteProtocolError as fault:
            self.refuse(BadRequest(fault.error_status_hint, str(fault)))

    def begin(self, request: h11.Request) -> None:
        self.method, self.target, self.headers = (
            request.method,
            request.target,
            list(request.headers),
        )
        self.parts, self.begun = [], True
        buffers.check_framing(self.headers, request.http_version)
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        if len(length) > 9 or int(length) > BODY:
            raise BadRequest(413, "body too large")
        self.find_way()

    def handle_request(self) -> None:
        """A whole request: a question of the front, or a request."""
        self.door.strangers.pop(self, None)
        if self.lost:
            raise self.lost
        if self.to is None:
            ready = self.door.ready()
            self.answer(200 if ready else 503, b"up\n" if ready else b"starting\n")
            return
        pool = self.to[0].pool
        request = self.read_request(*self.to)
        if request.deadline <= self.loop.clock():
            log.counters["request_expired"] += 1
            self.answer(504, b"too late\n")
            return
        if pool.request_limiters is None:
            full = self.door.rejects(pool)
        else:  # limits by route or tenant: only then is it looked who it is
            target, fields = self.to[0], self.fields
            full = self.door.rejects(
                pool,
                target.route,
                fields.get(target.fields.tenant, b""),
                fields.get(target.fields.ticket, b""),
                request.repeat,
            )
        if full:
            log.counters["rejected_on_arrival"] += 1
            self.answer(
                503,
                b"turned back\n",
                retry_after(pool.retry_after or request.request_class.latency_objective // 4),
            )
            pool.retry_after = 0
            return
        self.request = request
        pool.accept(request, pool.granted_permits)

    def read_request(self, target: Target, request_class: RequestClass) -> HttpRequest:
        """The request that a request stands for, with all that its headers say of it."""
        headers, door, fields = self.fields, self.door, target.fields
        if len(headers) < len(self.headers):
            names = [name for name, _ in self.headers]
            if any(names.count(name) > 1 for name in fields.once):
                raise BadRequest(400, "a header that may come once came twice")
        if len(self.parser.trailing_data[0]) > AHEAD:
            raise BadRequest(400, "too many requests ahead of their turn")
        fits(self.method, target, request_class, headers.get(fields.ticket), self.size)
        txn = headers.get(fields.txn, b"")
        if not txn and not fields.optional:
            raise BadRequest(400, "no " + fields.txn.decode().title())
        if txn in door.ids:
            # Guards against a second effect or another client's answer: an id is new with every
            # request.
            raise BadRequest(409, "an X-Txn that another request has")
        given = headers.get(fields.remaining)
        timeout = min(request_class.timeout, target.timeout or request_class.timeout)
        if given is not None or not fields.optional:
            if given is None or not NUMBER.fullmatch(given):
                raise BadRequest(400, f"no {fields.remaining.decode().title()} that can be read")
            timeout = min(int(float(given) * SECOND), timeout)
        came = self.loop.clock()
        request = HttpRequest(self, request_class, came, door.process.deadline(came, timeout), txn)
        query = self.target.partition(b"?")[2]
        key = parse_qs(query).get(fields.query_key, [b""])[0] if query else b""
        key = key or headers.get(fields.key, b"")
        request.key = stable_hash(key) if key else 0
        request.tenant = target.pool.tenants.get(headers.get(fields.tenant, b""), 0)
        request.repeat = headers.get(fields.repeat) == b"1"
        return request

    def refuse(self, bad: BadRequest) -> None:
        """Answer what is no request, and end the connection."""
        log.warning("bad_request", status=bad.status, why=bad)
        self.reading = False
        self.answer(bad.status, f"{bad}\n".encode("utf-8", "replace"), bad.headers, last=bad.last)

    def answer(
        self,
        status: int,
        body: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        last: bool = False,
    ) -> None:
        """Write the one answer to what was asked."""
        self.request = None
        self.release()
        self.last = last or self.flooded or self.door.closing or self.door.crowded(self.member)
        # Where the client ends its connection, or has not sent its request whole, nothing can
        # follow.
        self.last = self.last or not (self.plain or self.parser.their_state is h11.DONE)
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b""))]
        head += [b"%s: %s\r\n" % pair for pair in headers or []]
        if status not in BODILESS:
            head.append(b"content-length: %d\r\n" % len(body))
        head.append(b"connection: close\r\n\r\n" if self.last else b"\r\n")
        self.since = self.loop.clock()
        self.put(b"".join((*head, body)))
        if self.closed or self.last:
            return
        # A parser for each request: h11 only parses, as writing by it costs over twice as much.
        ahead = self.parser.trailing_data[0]
        if not self.plain:
            self.parser = h11.Connection(h11.SERVER)
            self.parser.receive_data(ahead) if ahead else None
        self.plain = False
        if ahead:
            self.loop.dispatch(
                self.loop, self.parse
            )  # it came ahead of its turn; from outside any decision

    def release(self) -> None:
        """Its body counts no longer."""
        if self.paid:
            self.paid.request_bytes.release(self.size)
        self.parts, self.size, self.paid = [], 0, None

    def put(self, data: bytes) -> None:
        if self.left:
            self.left = memoryview(bytes(self.left) + data)
            return
        self.write(data)

    def flush(self) -> None:
        super().flush()
        if self.last and not self.left and not self.closed:
            self.half_close()

    def half_close(self) -> None:
        """End this side, and read on for a moment: nothing of what comes now is taken."""
        # Guards against a close over unread bytes, which would take what is still on its way with
        # it.
        self.last, self.since = True, self.loop.clock()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def sweep(self, now: int) -> None:
        """Every wait for a client has an end."""
        if self.request is not None:
            return  # the request's own end is the limit
        waited = now - self.since
        if self.left or self.reading:
            if waited > HALF:
                log.warning("slow_client", reading=self.reading)
                self.close() if self.left else self.refuse(BadRequest(408, "half a request"))
        elif self.last and waited > LINGER:
            self.close()
        elif not self.last and waited > (HALF if self in self.door.strangers else IDLE):
            self.end()

    def end(self) -> None:
        """Take in what may just have come, or end the connection."""
        if self.read_last():
            self.half_close()

    def read_last(self) -> bool:
        """Take in what may just have come; whether it is idle all the same."""
        self.read()
        return not self.closed and self.idle()

    def idle(self) -> bool:
        return self.request is None and not self.reading and not self.last and not self.left

    def unused(self) -> bool:
        """Whether closing loses nothing: it had its last answer, or is idle and nothing has come unread."""
        if self.last or not self.idle():
            return self.last and not self.left
        return not self.peek()

    def has_left(self) -> bool:
        """Whether it has closed its connection, which a late loop may not have read yet."""
        if not self.closed and self.peek() == b"":
            self.close()
        return self.closed

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.release()
        self.join(None)
        self.door.gone(self)
        self.hang_up()
        if request := self.request:
            self.request = None
            request.pool.on_client_disconnected(request)
        self.door.on_descriptor_freed()
