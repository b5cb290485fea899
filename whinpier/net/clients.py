"""Owns the connections of clients: reads their tasks, answers each once, notices who has left.

The headers of clients are read here and nowhere else. Must never write an answer that the balancer did not
give, a second one, or a turn-back of its own for a task that the decisions have seen.
"""

from __future__ import annotations

import hashlib
import re
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import h11

from whinpier.decay import SECOND
from whinpier.model import EXCLUSIVE, RERUNNABLE, TICKETED, Task, Workload
from whinpier.net import buffers, log
from whinpier.net.upstreams import BODY, HOP

if TYPE_CHECKING:
    from whinpier.net.balancer import Balancer

HALF = 2 * SECOND  # from connecting or its first byte for a request to be whole, or for an answer to be taken
IDLE = 5 * SECOND // 2  # between requests; some keep connections for good, none is harmed by a close
LINGER = SECOND // 2  # for a client to take its last answer and close
SPILL = 256 * 1024  # bytes to let pass unread meanwhile: a body just too large, not one of many megabytes
AHEAD = 8 * 1024  # bytes behind a request that has no answer yet: some requests, not hundreds
NUMBER = re.compile(rb"[+-]?[0-9]{1,20}(\.[0-9]{0,20})?|[+-]?\.[0-9]{1,20}")
ONCE = frozenset((b"x-txn", b"x-lane", b"x-remaining", b"idempotency-key", b"host"))  # of two, which holds?
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BadRequest(Exception):
    """A request that is no task; the text says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Asked(Task):
    """A task with the client that waits for it and what goes on to an upstream."""

    __slots__ = ("client", "txn", "body", "head")

    def __init__(self, client: Client, workload: Workload, came: int, ends: int, txn: bytes) -> None:
        super().__init__(client.balancer.next_id(), workload, came, ends)
        self.client, self.txn, self.body = client, txn, b"".join(client.parts)
        head = [b"%s %s HTTP/1.1\r\n" % (client.method, client.target)]
        head += [b"%s: %s\r\n" % pair for pair in client.headers if pair[0] not in HOP]
        if client.method != b"GET":
            head.append(b"content-length: %d\r\n" % len(self.body))
        self.head = b"".join(head)  # but for what is left of its patience


def hashed(text: bytes) -> int:
    """The same number for the same text at every balancer."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def retry_after(wait: int) -> list[tuple[bytes, bytes]]:
    """The header that tells a client when to come back."""
    return [(b"retry-after", b"%.3f" % (wait / SECOND))] if wait else []


class Client(buffers.Connection):
    """One connection of a client."""

    def __init__(self, balancer: Balancer, sock: socket.socket) -> None:
        self.balancer, self.sock = balancer, sock
        self.parser = h11.Connection(h11.SERVER)
        self.method, self.target, self.headers = b"", b"", list[tuple[bytes, bytes]]()
        self.parts: list[bytes] = []
        self.size, self.spilt = 0, 0  # bytes of its body; of what came behind its last answer
        self.since = balancer.clock()  # since when it is here, is idle, is read, is answered for good
        self.task: Asked | None = None
        self.left = memoryview(b"")
        self.reading, self.begun, self.last, self.closed = False, False, False, False
        self.plain = False  # what is asked for did not need the parser

    def read(self) -> None:
        data = self.received()
        if data is None:
            return
        if self.last:
            self.spilt += len(data)
        if not data or self.spilt > SPILL:
            self.close()
        elif self.task is None and not self.last:
            fresh, self.reading = not self.reading, True
            if fresh and self not in self.balancer.strangers:  # their time runs from when they came
                self.since = self.balancer.clock()
            if not (fresh and self.take_plain(data)):
                self.parser.receive_data(data)
                self.parse()
        elif not self.last:
            self.parser.receive_data(data)
            if len(self.parser.trailing_data[0]) > AHEAD:
                log.warn("client_floods")
                self.close()

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
            self.take_body(body)
            self.request()
        except BadRequest as bad:
            self.refuse(bad)
        return True

    def take_body(self, data: bytes) -> None:
        self.size += len(data)
        self.balancer.bodies += len(data)
        if self.size > BODY:
            raise BadRequest(413, "body too large")
        if self.balancer.bodies > self.balancer.most_bodies:
            raise BadRequest(503, "too many bodies at once")
        self.parts.append(data)

    def parse(self) -> None:
        """Take in requests as far as they have come; one at a time is worked on."""
        try:
            while not self.closed and not self.last and self.task is None:
                if not self.begun:
                    buffers.check_lines(self.parser)
                event = self.parser.next_event()
                if isinstance(event, h11.Request):
                    self.begin(event)
                elif isinstance(event, h11.Data):
                    self.take_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self.reading = self.begun = False
                    self.request()
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
        self.method, self.target, self.headers = request.method, request.target, list(request.headers)
        self.parts, self.begun = [], True
        buffers.check_framing(self.headers, request.http_version)
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        if len(length) > 9 or int(length) > BODY:
            raise BadRequest(413, "body too large")

    def request(self) -> None:
        """A whole request: a question of the front, or a task."""
        self.balancer.strangers.pop(self, None)
        if self.target == b"/up":
            ready = self.balancer.ready()
            self.answer(200 if ready else 503, b"up\n" if ready else b"starting\n")
            return
        task = self.read_task()
        if task.ends <= self.balancer.clock():
            log.counts["came_too_late"] += 1
            self.answer(504, b"too late\n")
            return
        if self.balancer.no_room():
            log.counts["turned_back_at_the_door"] += 1
            self.answer(503, b"turned back\n", retry_after(task.workload.agreed_time // 4))
            return
        self.task = task
        self.balancer.take(task)

    def read_task(self) -> Asked:
        """The task that a request stands for, with all that its headers say of it."""
        headers, balancer = dict(self.headers), self.balancer
        if len(headers) < len(self.headers):
            names = [name for name, _ in self.headers]
            if any(names.count(name) > 1 for name in ONCE):
                raise BadRequest(400, "a header that may come once came twice")
        if len(self.parser.trailing_data[0]) > AHEAD:
            raise BadRequest(400, "too many requests ahead of their turn")
        path, _, query = self.target.partition(b"?")
        lane = path.lstrip(b"/").partition(b"/")[0]
        workload = balancer.lanes.get(lane)
        if workload is None or headers.get(b"x-lane", lane) != lane:
            raise BadRequest(404, f"no such lane: {lane!r}")
        ticket = headers.get(b"idempotency-key")
        if self.method != (b"GET" if workload.kind == RERUNNABLE else b"POST"):
            raise BadRequest(405, f"{self.method!r} does not fit the lane")
        if (workload.kind == TICKETED and not ticket or workload.kind == EXCLUSIVE and ticket
                or workload.kind == RERUNNABLE and self.size):
            raise BadRequest(400, "the lane's requests look otherwise")
        txn = headers.get(b"x-txn")
        if not txn:
            raise BadRequest(400, "no X-Txn")
        if txn in balancer.ids:
            # Guards against a second effect or another client's answer: an id is new with every request.
            raise BadRequest(409, "an X-Txn that another request has")
        given = headers.get(b"x-remaining", b"")
        if not NUMBER.fullmatch(given):
            raise BadRequest(400, "no X-Remaining that can be read")
        remaining = float(given)
        came = balancer.clock()
        ends = came + min(int(remaining * SECOND), workload.patience) - balancer.margin()
        if balancer.stop_by:
            ends = min(ends, balancer.stop_by - balancer.margin())
        task = Asked(self, workload, came, ends, txn)
        key = parse_qs(query).get(b"obj", [b""])[0] if query else b""
        key = key or headers.get(b"x-entity", b"")
        task.key = hashed(key) if key else 0
        task.tenant = balancer.tenants.get(headers.get(b"x-org", b""), 0)
        task.repeat = headers.get(b"x-resent") == b"1"
        return task

    def refuse(self, bad: BadRequest) -> None:
        """Answer what is no task, and end the connection."""
        log.warn("bad_request", status=bad.status, why=bad)
        self.reading = False
        self.answer(bad.status, f"{bad}\n".encode("utf-8", "replace"), last=True)

    def answer(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]] | None = None,
               last: bool = False) -> None:
        """Write the one answer to what was asked."""
        self.task = None
        self.release()
        self.last = last or self.balancer.closing or self.balancer.crowded()
        # Where the client ends its connection, or has not sent its request whole, nothing can follow.
        self.last = self.last or not (self.plain or self.parser.their_state is h11.DONE)
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b""))]
        head += [b"%s: %s\r\n" % pair for pair in headers or []]
        head.append(b"content-length: %d\r\n%s\r\n" % (len(body), b"connection: close\r\n" * self.last))
        self.since = self.balancer.clock()
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
            self.balancer.enter(self.parse)  # it came ahead of its turn; from outside any decision

    def release(self) -> None:
        """Its body counts no longer."""
        self.balancer.bodies -= self.size
        self.parts, self.size = [], 0

    def put(self, data: bytes) -> None:
        if self.left:
            self.left = memoryview(bytes(self.left) + data)
            return
        self.write(data)

    def flush(self) -> None:
        super().flush()
        if self.last and not self.left and not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)  # closing at once could cut off what is still on its way
            except OSError:
                self.close()

    def sweep(self, now: int) -> None:
        """Every wait for a client has an end."""
        if self.task is not None:
            return  # the task's own end is the limit
        waited = now - self.since
        if self.left or self.reading:
            if waited > HALF:
                log.warn("slow_client", reading=self.reading)
                self.close() if self.left else self.refuse(BadRequest(408, "half a request"))
        elif waited > (LINGER if self.last else HALF if self in self.balancer.strangers else IDLE):
            self.close()

    def read_last(self) -> None:
        """Take in what may just have come, or close."""
        self.read()
        if not self.closed and self.idle():
            self.close()

    def idle(self) -> bool:
        return self.task is None and not self.reading and not self.last and not self.left

    def unused(self) -> bool:
        """Whether closing loses nothing: it had its last answer, or is idle and nothing has come unread."""
        if self.last or not self.idle():
            return self.last and not self.left
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing there, or the connection broken
            return True

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.release()
        self.balancer.clients.discard(self)
        self.balancer.strangers.pop(self, None)
        self.hang_up()
        if task := self.task:
            self.task = None
            self.balancer.client_left(task)
        self.balancer.roomier()
