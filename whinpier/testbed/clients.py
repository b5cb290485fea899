"""Scripted clients: an open loop of requests on kept connections, each answer held against what was
asked.

Arrivals do not wait for answers: a request's latency counts from when it was due. A client that is
rejected with a time to come back may do so, as a request of its own. Must never count an answer
twice or lose one.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from random import Random

from whinpier.testbed.ledger import Told, percentile
from whinpier.testbed.upstream import header
from whinpier.testbed.work import Spread, draw

LATE = 0.02  # seconds: a tenth of the latency objectives that are played
# seconds past its timeout that a client still looks for an answer, to see one that is late
GRACE = 0.25


@dataclass
class Asks:
    """One stream of requests: at what rate, what each looks like, how long it waits."""

    name: str
    rate: float  # a second
    target: str
    method: str = "POST"
    host: str = "a"
    timeout: float = 1.0
    agreed: float = 0.5
    lane: str = ""
    ticket: bool = False
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)
    retries: int = 0  # further tries of what was rejected, after the time it was told
    begins: float = 0.0  # seconds after the start
    ends: float = float("inf")
    surges: list[tuple[float, float, float]] = field(
        default_factory=list
    )  # from, to, times the rate
    work: float = 0.0  # mean seconds of work that a request asks for in X-Work; 0: says nothing
    spread: Spread = "exponential"

    def rate_at(self, at: float) -> float:
        times = 1.0
        for begins, ends, more in self.surges:
            times *= more if begins <= at < ends else 1.0
        return self.rate * times


class Gateway:
    """All clients of one stream."""

    def __init__(self, address: tuple[str, int], asks: Asks, seed: int, most: int = 400) -> None:
        self.address, self.asks, self.most = address, asks, most
        self.chance = Random(f"{seed}/{asks.name}")
        self.told: list[Told] = []
        self.idle: list[Caller] = []
        self.callers: set[Caller] = set()
        self.surplus = 0  # bytes and answers that nobody asked for
        self.not_sent = 0  # no connection came up, or there were too many
        self.cut = 0  # closed by the balancer between two requests, and asked again
        self.out = 0
        self.late = (
            0  # requests that were begun well after they were due: this generator was late itself
        )

    async def run(self, span: float) -> None:
        """Ask for `span` seconds, then wait for what is out."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        at = self.asks.begins
        while at < min(span, self.asks.ends):
            if (rate := self.asks.rate_at(at)) <= 0.0:
                at += 0.05
                continue
            at += self.chance.expovariate(rate)
            if at >= min(span, self.asks.ends):
                break
            loop.call_at(start + at, self.ask, start + at, 0)
        await asyncio.sleep(max(0.0, start + span - loop.time()))
        ends = loop.time() + self.asks.timeout + GRACE + 0.5
        while self.out and loop.time() < ends:
            await asyncio.sleep(0.02)
        for caller in list(self.callers):
            caller.transport.close() if caller.transport else None

    def ask(self, due: float, tries: int) -> None:
        asks = self.asks
        self.late += not tries and asyncio.get_running_loop().time() > due + LATE
        # The id's beginning says the stream, so that the ledgers of upstreams can be held against
        # it.
        request = Told(
            f"{asks.name}-{self.chance.getrandbits(64):016x}", asks.name, due, tries=tries
        )
        self.told.append(request)
        self.out += 1
        while self.idle:
            caller = self.idle.pop()
            if not caller.over:
                caller.ask(request, tries)
                return
        if len(self.callers) >= self.most:
            self.not_sent += 1
            self.out -= 1
            return
        caller = Caller(self)
        self.callers.add(caller)
        caller.first = (request, tries)
        asyncio.get_running_loop().create_task(self.connect(caller))

    async def connect(self, caller: Caller) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.asks.timeout):
                await loop.create_connection(lambda: caller, *self.address)
        except (OSError, TimeoutError):
            self.not_sent += 1
            self.out -= 1
            self.callers.discard(caller)

    def ended(self, request: Told, tries: int) -> None:
        self.out -= 1
        back = request.retry_after
        if request.status in (429, 503) and tries < self.asks.retries and back is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(back, lambda: self.ask(loop.time(), tries + 1))

    # What became of it.

    def share_on_time(self, since: float = 0.0, until: float = float("inf")) -> float:
        """The part of requests, by when they were due, that were fulfilled within the latency objective."""
        requests = [request for request in self.told if since <= request.due < until]
        return (
            sum(request.on_time(self.asks.agreed) for request in requests) / len(requests)
            if requests
            else 1.0
        )

    def latency(self, part: float, status: int | None = 200) -> float:
        """A percentile of latency, in seconds, of answers with a status (None: of any)."""
        return percentile(
            [
                request.latency
                for request in self.told
                if request.answers and status in (None, request.status)
            ],
            part,
        )

    def unanswered(self) -> list[Told]:
        """Requests that were sent and got no final answer."""
        return [request for request in self.told if request.answers == 0 and request.latency < 0]

    def answered_twice(self) -> list[Told]:
        return [request for request in self.told if request.answers > 1]


class Caller(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.request: Told | None = None
        self.tries, self.over, self.used, self.again = 0, False, False, False
        self.first: tuple[Told, int] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.first:
            (request, tries), self.first = self.first, None
            self.ask(request, tries)

    def ask(self, request: Told, tries: int) -> None:
        asks, loop = self.gateway.asks, asyncio.get_running_loop()
        assert self.transport
        self.request, self.tries = request, tries
        left = asks.timeout - (loop.time() - request.due)
        lines = [
            f"{asks.method} {asks.target} HTTP/1.1",
            f"Host: {asks.host}",
            f"X-Txn: {request.id}",
            f"X-Remaining: {left:.3f}",
        ]
        if asks.lane:
            lines.append(f"X-Lane: {asks.lane}")
        if asks.ticket:
            lines.append(f"Idempotency-Key: {request.id}")
        if asks.work:
            lines.append(f"X-Work: {draw(asks.spread, asks.work, self.gateway.chance):.6f}")
        if tries:
            lines.append("X-Resent: 1")
        lines += [f"{name}: {value}" for name, value in asks.headers.items()]
        body = b"" if asks.method == "GET" else asks.body
        if asks.method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        wait = max(0.0, left) + GRACE
        self.timer = loop.call_later(wait, self.give_up, loop.time() + wait)

    def give_up(self, due: float) -> None:
        """No answer within its timeout, and a little more: lost."""
        loop = asyncio.get_running_loop()
        if loop.time() > due + LATE:
            # Guards against this process being late itself: what has come by now is read first.
            self.timer = loop.call_later(LATE, self.give_up, loop.time() + LATE)
            return
        if request := self.request:
            self.request, request.latency, request.how = None, -1.0, "no answer in time"
            self.gateway.ended(request, self.tries)
            if self.transport:
                self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.data += data
        while self.data:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.data[: end + 2]
            length = int(header(head, b"content-length") or 0)
            if len(self.data) < end + 4 + length:
                return
            self.data = self.data[end + 4 + length :]
            if head.startswith(b"HTTP/1.1 1"):
                continue
            self.answered(head, length)

    def answered(self, head: bytes, length: int) -> None:
        request, loop = self.request, asyncio.get_running_loop()
        if request is None:
            self.gateway.surplus += 1
            return
        self.request, self.used = None, True
        if self.timer:
            self.timer.cancel()
        request.status, request.answers, request.body = int(head[9:12]), request.answers + 1, length
        request.latency = loop.time() - request.due
        back = header(head, b"retry-after")
        request.retry_after = float(back) if back else None
        if header(head, b"connection").lower() == b"close":
            self.over = True
            if self.transport:
                self.transport.close()
        else:
            self.gateway.idle.append(self)
        self.gateway.ended(request, self.tries)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.gateway.callers.discard(self)
        if self in self.gateway.idle:
            self.gateway.idle.remove(self)
        if self.timer:
            self.timer.cancel()
        if request := self.request:
            self.request = None
            # Closed before a byte of an answer, and crossed by this one: it is sent once more on a
            # new connection, as the platform's clients do. Had it been sent on, the ledgers would
            # show it twice.
            if not self.data and not self.again:
                self.gateway.cut += 1
                caller = Caller(self.gateway)
                caller.again = True
                self.gateway.callers.add(caller)
                caller.first = (request, self.tries)
                asyncio.get_running_loop().create_task(self.gateway.connect(caller))
                return
            request.latency, request.how = (
                -1.0,
                f"closed, used {self.used}, {len(self.data)} bytes of an answer",
            )
            self.gateway.ended(request, self.tries)
