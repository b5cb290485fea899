"""Owns the connections of clients: reads their tasks, answers each once, notices who has left.

The headers of clients are read here and nowhere else. Must never write an answer that the balancer did not
give, a second one, or a turn-back of its own for a task that the decisions have seen.
"""

from __future__ import annotations

import hashlib
import math
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import anyio
import h11

from whinpier.decay import SECOND
from whinpier.model import EXCLUSIVE, RERUNNABLE, TICKETED, Task, Workload
from whinpier.net import buffers, log
from whinpier.net.upstreams import BODY, HOP

if TYPE_CHECKING:
    from whinpier.net.balancer import Balancer

HALF = 5 * SECOND  # for one request or answer to pass whole: longer than any link needs for 64 KiB
IDLE = 120 * SECOND  # between requests; clients keep connections and take no harm from losing one
LINGER = SECOND  # for a client to take its last answer and close
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BadRequest(Exception):
    """A request that is no task; the text says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Asked(Task):
    """A task with the client that waits for it and what goes on to an upstream."""

    def __init__(self, client: Client, workload: Workload, came: int, ends: int, body: bytes) -> None:
        super().__init__(client.balancer.next_id(), workload, came, ends)
        self.client, self.body = client, body
        head = [b"%s %s HTTP/1.1\r\n" % (client.method, client.target)]
        head += [b"%s: %s\r\n" % pair for pair in client.headers if pair[0] not in HOP]
        if client.method != b"GET":
            head.append(b"content-length: %d\r\n" % len(body))
        self.head = b"".join(head)  # but for what is left of its patience


def hashed(text: bytes) -> int:
    """The same number for the same text at every balancer."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def retry_after(wait: int) -> list[tuple[bytes, bytes]]:
    """The header that tells a client when to come back."""
    return [(b"retry-after", b"%.3f" % (wait / SECOND))] if wait else []


class Client(buffers.Connection):
    """One connection of a client."""

    def __init__(self, balancer: Balancer, sock: socket.socket, turned_back: bool) -> None:
        self.balancer, self.sock = balancer, sock
        self.turned_back = turned_back  # there is no room for its tasks: they do not reach the decisions
        self.parser = h11.Connection(h11.SERVER)
        self.method, self.target, self.headers = b"", b"", list[tuple[bytes, bytes]]()
        self.parts: list[bytes] = []
        self.size, self.since = 0, balancer.clock()  # since when it is idle, is read, is answered for good
        self.task: Asked | None = None
        self.left = memoryview(b"")
        self.reading, self.begun, self.last, self.closed = False, False, False, False

    async def run(self) -> None:
        """Take in what comes until the connection ends."""
        try:
            await self.take_in()
        except (OSError, anyio.ClosedResourceError):
            pass
        finally:
            self.close()

    def read(self) -> None:
        try:
            if not (buffers.discard(self.sock) if self.last else buffers.feed(self.parser, self.sock)):
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()
        if self.closed or self.last:
            return
        if self.task is None:
            if not self.reading:
                self.reading, self.since = True, self.balancer.clock()
            self.parse()
        elif len(self.parser.trailing_data[0]) > buffers.SIZE:
            log.warn("client_floods")
            self.close()

    def parse(self) -> None:
        """Take in requests as far as they have come; one at a time is worked on."""
        try:
            while not self.closed and not self.last and self.task is None:
                event = self.parser.next_event()
                if isinstance(event, h11.Request):
                    self.begin(event)
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > BODY:
                        raise BadRequest(413, "body too large")
                    self.parts.append(bytes(event.data))
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
        self.parts, self.size, self.begun = [], 0, True

    def request(self) -> None:
        """A whole request: a question of the front, or a task."""
        if self.target == b"/up":
            ready = self.balancer.ready()
            self.answer(200 if ready else 503, b"up\n" if ready else b"starting\n")
            return
        task = self.read_task()
        if task.ends <= self.balancer.clock():
            log.counts["came_too_late"] += 1
            self.answer(504, b"too late\n")
            return
        if self.turned_back or self.balancer.overrun:
            log.counts["turned_back_at_the_door"] += 1
            self.answer(503, b"turned back\n", retry_after(task.workload.agreed_time // 4), self.turned_back)
            return
        self.task = task
        self.balancer.take(task)

    def read_task(self) -> Asked:
        """The task that a request stands for, with all that its headers say of it."""
        headers, balancer = dict(self.headers), self.balancer
        path, _, query = self.target.partition(b"?")
        lane = path.lstrip(b"/").partition(b"/")[0]
        workload = balancer.lanes.get(lane)
        if workload is None or headers.get(b"x-lane", lane) != lane:
            raise BadRequest(404, f"no such lane: {lane!r}")
        ticket, body = headers.get(b"idempotency-key"), b"".join(self.parts)
        if self.method != (b"GET" if workload.kind == RERUNNABLE else b"POST"):
            raise BadRequest(405, f"{self.method!r} does not fit the lane")
        if (workload.kind == TICKETED and not ticket or workload.kind == EXCLUSIVE and ticket
                or workload.kind == RERUNNABLE and body):
            raise BadRequest(400, "the lane's requests look otherwise")
        if not headers.get(b"x-txn"):
            raise BadRequest(400, "no X-Txn")
        try:
            remaining = float(headers[b"x-remaining"])
        except (KeyError, ValueError):
            raise BadRequest(400, "no X-Remaining that can be read") from None
        if not math.isfinite(remaining):
            raise BadRequest(400, "X-Remaining is not finite")
        came = balancer.clock()
        ends = came + min(int(remaining * SECOND), workload.patience) - balancer.margin()
        task = Asked(self, workload, came, ends, body)
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
        self.task, self.parts = None, []
        self.last = last or self.balancer.stopping or self.balancer.crowded()
        # Where the client ends its connection, or has not sent its request whole, nothing can follow.
        self.last = self.last or self.parser.their_state is not h11.DONE
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b""))]
        head += [b"%s: %s\r\n" % pair for pair in headers or []]
        head.append(b"content-length: %d\r\n%s\r\n" % (len(body), b"connection: close\r\n" * self.last))
        self.since = self.balancer.clock()
        self.put(b"".join((*head, body)))
        if self.closed or self.last:
            return
        # A parser for each request: h11 only parses, as writing by it costs over twice as much.
        ahead, self.parser = self.parser.trailing_data[0], h11.Connection(h11.SERVER)
        if ahead:
            self.parser.receive_data(ahead)
            self.balancer.enter(self.parse)  # it came ahead of its turn; from outside any decision

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
        elif waited > (LINGER if self.last else IDLE):
            self.close()

    def read_last(self) -> None:
        """Take in what may just have come, or close."""
        self.read()
        if not self.closed and self.idle():
            self.close()

    def idle(self) -> bool:
        return self.task is None and not self.reading and not self.last and not self.left

    def unused(self, since: int) -> bool:
        """Whether closing loses nothing: it had its last answer, or is idle and nothing has come unread."""
        if self.last:
            return not self.left
        if not self.idle() or self.since > since:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing there, or the connection broken
            return True

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.balancer.clients.discard(self)
        anyio.notify_closing(self.sock)
        self.sock.close()
        if task := self.task:
            self.task = None
            self.balancer.client_left(task)
        self.balancer.roomier()
