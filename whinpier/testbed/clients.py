"""Scripted clients: an open loop of tasks on kept connections, each answer held against what was asked.

Arrivals do not wait for answers: a task's latency counts from when it was due. A client that is turned back
with a time to come back may do so, as a task of its own. Must never count an answer twice or lose one.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from random import Random

from whinpier.testbed.ledger import Told, percentile
from whinpier.testbed.upstream import header
from whinpier.testbed.work import Spread, draw

LATE = 0.02  # seconds: a tenth of the agreed times that are played
GRACE = 0.25  # seconds past its patience that a client still looks for an answer, to see one that is late


@dataclass
class Asks:
    """One stream of tasks: at what rate, what each looks like, how long it waits."""

    name: str
    rate: float  # a second
    target: str
    method: str = "POST"
    host: str = "a"
    patience: float = 1.0
    agreed: float = 0.5
    lane: str = ""
    ticket: bool = False
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)
    retries: int = 0  # further tries of what was turned back, after the time it was told
    begins: float = 0.0  # seconds after the start
    ends: float = float("inf")
    surges: list[tuple[float, float, float]] = field(
        default_factory=list
    )  # from, to, times the rate
    work: float = 0.0  # mean seconds of work that a task asks for in X-Work; 0: says nothing
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
            0  # tasks that were begun well after they were due: this generator was late itself
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
        ends = loop.time() + self.asks.patience + GRACE + 0.5
        while self.out and loop.time() < ends:
            await asyncio.sleep(0.02)
        for caller in list(self.callers):
            caller.transport.close() if caller.transport else None

    def ask(self, due: float, tries: int) -> None:
        asks = self.asks
        self.late += not tries and asyncio.get_running_loop().time() > due + LATE
        # The id's beginning says the stream, so that the ledgers of upstreams can be held against it.
        task = Told(f"{asks.name}-{self.chance.getrandbits(64):016x}", asks.name, due, tries=tries)
        self.told.append(task)
        self.out += 1
        while self.idle:
            caller = self.idle.pop()
            if not caller.over:
                caller.ask(task, tries)
                return
        if len(self.callers) >= self.most:
            self.not_sent += 1
            self.out -= 1
            return
        caller = Caller(self)
        self.callers.add(caller)
        caller.first = (task, tries)
        asyncio.get_running_loop().create_task(self.connect(caller))

    async def connect(self, caller: Caller) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.asks.patience):
                await loop.create_connection(lambda: caller, *self.address)
        except (OSError, TimeoutError):
            self.not_sent += 1
            self.out -= 1
            self.callers.discard(caller)

    def ended(self, task: Told, tries: int) -> None:
        self.out -= 1
        back = task.retry_after
        if task.status in (429, 503) and tries < self.asks.retries and back is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(back, lambda: self.ask(loop.time(), tries + 1))

    # What became of it.

    def share_on_time(self, since: float = 0.0, until: float = float("inf")) -> float:
        """The part of tasks, by when they were due, that were fulfilled within the agreed time."""
        tasks = [task for task in self.told if since <= task.due < until]
        return sum(task.on_time(self.asks.agreed) for task in tasks) / len(tasks) if tasks else 1.0

    def latency(self, part: float, status: int | None = 200) -> float:
        """A percentile of latency, in seconds, of answers with a status (None: of any)."""
        return percentile(
            [task.latency for task in self.told if task.answers and status in (None, task.status)],
            part,
        )

    def unanswered(self) -> list[Told]:
        """Tasks that were sent and got no final answer."""
        return [task for task in self.told if task.answers == 0 and task.latency < 0]

    def answered_twice(self) -> list[Told]:
        return [task for task in self.told if task.answers > 1]


class Caller(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.task: Told | None = None
        self.tries, self.over, self.used, self.again = 0, False, False, False
        self.first: tuple[Told, int] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.first:
            (task, tries), self.first = self.first, None
            self.ask(task, tries)

    def ask(self, task: Told, tries: int) -> None:
        asks, loop = self.gateway.asks, asyncio.get_running_loop()
        assert self.transport
        self.task, self.tries = task, tries
        left = asks.patience - (loop.time() - task.due)
        lines = [
            f"{asks.method} {asks.target} HTTP/1.1",
            f"Host: {asks.host}",
            f"X-Txn: {task.id}",
            f"X-Remaining: {left:.3f}",
        ]
        if asks.lane:
            lines.append(f"X-Lane: {asks.lane}")
        if asks.ticket:
            lines.append(f"Idempotency-Key: {task.id}")
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
        """No answer within its patience, and a little more: lost."""
        loop = asyncio.get_running_loop()
        if loop.time() > due + LATE:
            # Guards against this process being late itself: what has come by now is read first.
            self.timer = loop.call_later(LATE, self.give_up, loop.time() + LATE)
            return
        if task := self.task:
            self.task, task.latency, task.how = None, -1.0, "no answer in time"
            self.gateway.ended(task, self.tries)
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
        task, loop = self.task, asyncio.get_running_loop()
        if task is None:
            self.gateway.surplus += 1
            return
        self.task, self.used = None, True
        if self.timer:
            self.timer.cancel()
        task.status, task.answers, task.body = int(head[9:12]), task.answers + 1, length
        task.latency = loop.time() - task.due
        back = header(head, b"retry-after")
        task.retry_after = float(back) if back else None
        if header(head, b"connection").lower() == b"close":
            self.over = True
            if self.transport:
                self.transport.close()
        else:
            self.gateway.idle.append(self)
        self.gateway.ended(task, self.tries)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.gateway.callers.discard(self)
        if self in self.gateway.idle:
            self.gateway.idle.remove(self)
        if self.timer:
            self.timer.cancel()
        if task := self.task:
            self.task = None
            # Closed before a byte of an answer, and crossed by this one: it is sent once more on a new
            # connection, as the platform's clients do. Had it been sent on, the ledgers would show it twice.
            if not self.data and not self.again:
                self.gateway.cut += 1
                caller = Caller(self.gateway)
                caller.again = True
                self.gateway.callers.add(caller)
                caller.first = (task, self.tries)
                asyncio.get_running_loop().create_task(self.gateway.connect(caller))
                return
            task.latency, task.how = (
                -1.0,
                f"closed, used {self.used}, {len(self.data)} bytes of an answer",
            )
            self.gateway.ended(task, self.tries)
