"""Scripted upstreams that speak HTTP/1.1: workers, a queue, delays by distribution, and faults on
purpose.

Owns how they behave and the ledger of what they did. A request has run once its last byte has come
and it was not turned away, whatever becomes of its answer.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, fields
from random import Random
from typing import Any

from whinpier.testbed.ledger import Ledger
from whinpier.testbed.work import Spread, draw

CONTROL = b"/_standin"  # path where a running upstream is told otherwise, and its ledger is read
MOST_TIMES = 200_000  # of requests that a meter remembers
LINGER = b"\1\0\0\0\0\0\0\0"  # SO_LINGER that resets at close


@dataclass
class Script:
    """How an upstream behaves. Shares are of requests, drawn by chance; what is left over is good."""

    workers: int = 4
    queue: int = 64  # that wait for a worker; what comes beyond is turned away unseen
    work: float = 0.010  # mean seconds a request takes a worker
    spread: Spread = "exponential"
    speed: float = 1.0  # of the usual
    cold: float = 0.0  # seconds until it is warm
    cold_from: float = 0.2  # part of its speed at first
    hang: float = 0.0  # takes the request, does it and says nothing
    error: float = 0.0  # 500
    reset: float = 0.0  # breaks the connection after the work
    spoilt: float = 0.0  # noise instead of an answer
    away: float = 0.0  # turned away, never ran
    interim: bool = False  # 1xx ahead of the answer
    size: int = 2  # bytes of an answer's body
    pace: float = 0.0  # bytes a second at which bodies go out; 0: at once
    chunk: int = 0  # bytes of a chunk of an answer's body; 0: it has a length
    accept: bool = True  # False: it takes connections and never reads
    by_header: bool = False  # the client says, in X-Work, how many seconds a request takes
    closes: float = 0.0  # closes the connection behind the answer

    @property
    def capacity(self) -> float:
        """Requests a second."""
        return self.workers * self.speed / self.work if self.work else float("inf")


class Meter:
    """What all upstreams of this process have at once, and when each request came."""

    def __init__(self) -> None:
        self.now, self.most = 0, 0
        self.times: deque[float] = deque(maxlen=MOST_TIMES)

    def begin(self) -> None:
        self.now += 1
        self.most = max(self.most, self.now)
        self.times.append(time.monotonic())


METER = Meter()


class Upstream:
    """One upstream on a port of its own. Runs on the asyncio loop it is started on."""

    def __init__(self, name: str, script: Script | None = None, seed: int = 0) -> None:
        self.name, self.script, self.chance = name, script or Script(), Random(f"{seed}/{name}")
        self.ledger = Ledger()
        self.connections: set[Connection] = set()
        self.opened, self.most_open = 0, 0
        self.queue: deque[Connection] = deque()
        self.busy, self.began = 0, time.monotonic()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), host, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.began = time.monotonic()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """As a process that dies: nobody listens, and every connection is reset."""
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.reset()
        self.queue.clear()
        self.busy = 0

    def entry(self, health: str = "up", born_ms: int = 0, **more: Any) -> dict[str, Any]:
        """Its entry in the platform's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        } | more

    def speed(self) -> float:
        script, age = self.script, time.monotonic() - self.began
        if age >= script.cold:
            return script.speed
        return script.speed * (script.cold_from + (1.0 - script.cold_from) * age / script.cold)

    def take(self, connection: Connection) -> None:
        """A whole request has come."""
        self.ledger.met += 1
        self.ledger.last[self.name] = time.monotonic()
        full = self.busy >= self.script.workers and len(self.queue) >= self.script.queue
        if full or self.chance.random() < self.script.away:
            self.ledger.turned_away += 1
            connection.reply(503, b"", (("X-Turned-Away", "1"),))
            return
        self.ledger.ran[connection.id] += 1
        self.ledger.by[self.name] += 1
        connection.counts = True
        METER.begin()
        self.queue.append(connection)
        self.work()

    def work(self) -> None:
        while self.queue and self.busy < self.script.workers:
            connection = self.queue.popleft()
            self.busy += 1
            script = self.script
            work = (
                connection.work
                if script.by_header
                else draw(script.spread, script.work, self.chance)
            )
            span = work / max(self.speed(), 1e-6)
            asyncio.get_running_loop().call_later(span, self.done, connection, connection.number)

    def done(self, connection: Connection, number: int) -> None:
        self.busy = max(0, self.busy - 1)
        if number == connection.number and not connection.over:
            self.answer(connection)
        self.work()

    def answer(self, connection: Connection) -> None:
        script, point = self.script, self.chance.random()
        faults: tuple[tuple[float, Callable[[], None]], ...] = (
            (script.hang, lambda: None),
            (script.error, lambda: connection.reply(500, b"")),
            (script.reset, connection.reset),
            (script.spoilt, lambda: connection.send(b"\0\1noise, and no answer\r\n\r\n")),
        )
        for share, act in faults:
            if point < share:
                act()
                return
            point -= share
        if script.interim:
            connection.send(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        body = b"x" * script.size if script.size > 2 else b"ok"
        if script.chunk:
            connection.reply_in_chunks(body, script.chunk)
            return
        connection.reply(
            200, body, (("X-By", self.name),), script.pace, self.chance.random() < script.closes
        )

    def control(self, connection: Connection, body: bytes) -> None:
        """Told otherwise while it runs: a JSON object of the script's fields; answered with the ledger."""
        if body:
            given = json.loads(body)
            if given == {"meter": True}:
                connection.reply(
                    200, json.dumps({"most": METER.most, "times": list(METER.times)}).encode()
                )
                METER.most = METER.now
                METER.times.clear()
                return
            if given == {"stop": True}:
                self.stop()
                return
            known = {field.name for field in fields(Script)}
            if unknown := set(given) - known:
                connection.reply(400, f"unknown: {sorted(unknown)}".encode())
                return
            for key, value in given.items():
                setattr(self.script, key, value)
            if "cold" in given:
                self.began = time.monotonic()
        told = {
            "script": asdict(self.script),
            "opened": self.opened,
            "open": len(self.connections),
            "most_open": self.most_open,
            "busy": self.busy,
            "waiting": len(self.queue),
            "met": self.ledger.met,
            "turned_away": self.ledger.turned_away,
            "last": self.ledger.last,
            "ran": self.ledger.ran,
        }
        connection.reply(200, json.dumps(told).encode())


class Connection(asyncio.Protocol):
    """One connection to an upstream: one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport
        self.data = b""
        self.id, self.work = "", 0.0  # of its request
        self.number = 0  # of its requests
        self.over, self.answering = False, False
        self.counts = False  # among what is in flight

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upstream = self.upstream
        upstream.opened += 1
        upstream.connections.add(self)
        upstream.most_open = max(upstream.most_open, len(upstream.connections))
        if not upstream.script.accept:
            transport.pause_reading()

    def ended(self) -> None:
        """Its request is no longer in flight."""
        METER.now -= self.counts
        self.counts = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.ended()
        self.upstream.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while not self.answering and (found := whole(self.data)):
            head, body, self.data = found
            self.answering, self.number = True, self.number + 1
            if head.split(b" ", 2)[1] == CONTROL:
                self.upstream.control(self, body)
                continue
            self.id = header(head, b"x-txn").decode("latin-1") or f"{id(self)}-{self.number}"
            if self.upstream.script.by_header:
                self.work = float(header(head, b"x-work") or 0.0)
            self.upstream.take(self)

    def send(self, data: bytes) -> None:
        if not self.over:
            self.transport.write(data)

    def reply(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        pace: float = 0.0,
        close: bool = False,
    ) -> None:
        lines = (
            "".join(f"{name}: {value}\r\n" for name, value in headers)
            + "Connection: close\r\n" * close
        )
        head = f"HTTP/1.1 {status} x\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
        self.answering = False
        self.ended()
        if pace and len(body) > 1:
            self.answering = True
            self.send(head)
            self.drip(body, pace)
            return
        self.send(head + body)
        if close:
            self.transport.close()

    def reply_in_chunks(self, body: bytes, size: int) -> None:
        """Answer with a body in chunks of `size` bytes, the last of which may be shorter."""
        self.answering = False
        self.ended()
        pieces = (body[start : start + size] for start in range(0, len(body), size))
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
        head = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.send(head + chunks + b"0\r\n\r\n")

    def drip(self, body: bytes, pace: float) -> None:
        if self.over:
            return
        piece = max(1, int(pace / 20))
        self.send(body[:piece])
        if rest := body[piece:]:
            asyncio.get_running_loop().call_later(0.05, self.drip, rest, pace)
        else:
            self.answering = False
            self.data_received(b"")

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        with suppress(OSError, AttributeError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        self.transport.abort()


def whole(data: bytes) -> tuple[bytes, bytes, bytes] | None:
    """Head, body and the rest, once a request has come whole. Bodies have a length: no chunks here."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    length = int(header(data[: end + 2], b"content-length") or 0)
    if len(data) < end + 4 + length:
        return None
    return data[: end + 2], data[end + 4 : end + 4 + length], data[end + 4 + length :]


def header(head: bytes, name: bytes) -> bytes:
    """The value of a header; empty where there is none."""
    at = head.lower().find(b"\r\n" + name + b":")
    if at < 0:
        return b""
    begin = at + len(name) + 3
    return head[begin : head.find(b"\r\n", begin)].strip()
