"""Scripted RADIUS clients and servers, with ledgers of what ran and was answered, on a network that
errs.

Written from RFC 2865, 2866 and 5080, without the balancer's codec: what both get wrong the same way
would not show. Clients send a record again until it is answered; servers know a packet again by its
source, identifier and authenticator, and by Acct-Session-Id and status, unless told otherwise.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import struct
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

REQUEST, RESPONSE = 4, 5
STATUS, DELAY, SESSION, USER, NAS, PROXY, SIGNED, MOMENT = 40, 41, 44, 1, 32, 33, 80, 55
LATEST = 8192  # packets that a server knows again


@dataclass
class Weather:
    """What a network does to datagrams on their way, either way. Shares of them."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # held back by up to `by` seconds, so that others pass it
    by: float = 0.05

    def send(self, chance: Random, send: Any, data: bytes, *address: Any) -> None:
        if chance.random() < self.lost:
            return
        copies = 1 + (chance.random() < self.doubled)
        for _ in range(copies):
            if chance.random() < self.late:
                asyncio.get_running_loop().call_later(
                    chance.random() * self.by, send, data, *address
                )
            else:
                send(data, *address)


def attributes(data: bytes) -> list[tuple[int, bytes]]:
    found, at = [], 20
    while at < len(data):
        size = data[at + 1]
        found.append((data[at], data[at + 2 : at + size]))
        at += size
    return found


def packed(code: int, ident: int, proof: bytes, pairs: list[tuple[int, bytes]]) -> bytes:
    body = b"".join(bytes((kind, len(value) + 2)) + value for kind, value in pairs)
    return struct.pack("!BBH", code, ident, 20 + len(body)) + proof + body


def request_packet(
    ident: int, pairs: list[tuple[int, bytes]], secret: bytes, sign: bool = True
) -> bytes:
    """An Accounting-Request with its proof."""
    nothing = bytes(16)
    if sign:
        pairs = [(SIGNED, nothing), *pairs]
        whole = packed(REQUEST, ident, nothing, pairs)
        pairs[0] = (SIGNED, hmac.new(secret, whole, "md5").digest())
    data = packed(REQUEST, ident, nothing, pairs)
    return data[:4] + hashlib.md5(data + secret).digest() + data[20:]


def response(
    asked: bytes, secret: bytes, pairs: list[tuple[int, bytes]], sign: bool = False
) -> bytes:
    """The answer to a request."""
    pairs = pairs + [(kind, value) for kind, value in attributes(asked) if kind == PROXY]
    if sign:
        pairs = [(SIGNED, bytes(16)), *pairs]
        whole = packed(RESPONSE, asked[1], asked[4:20], pairs)
        pairs[0] = (SIGNED, hmac.new(secret, whole, "md5").digest())
    data = packed(RESPONSE, asked[1], asked[4:20], pairs)
    return data[:4] + hashlib.md5(data + secret).digest() + data[20:]


def proved(answer: bytes, asked: bytes, secret: bytes) -> bool:
    due = hashlib.md5(answer[:4] + asked[4:20] + answer[20:] + secret).digest()
    return answer[0] == RESPONSE and answer[1] == asked[1] and due == answer[4:20]


@dataclass
class Behaviour:
    """How a server behaves. Shares are of new packets."""

    delay: float = 0.005
    silent: float = 0.0  # does the work and says nothing, also to later copies
    deaf: bool = False  # takes datagrams and does nothing
    late: float = 0.0  # answers after `late_by`
    late_by: float = 2.0
    twice: float = 0.0  # answers a second time
    wrong: float = 0.0  # answers with a wrong proof
    stranger: float = 0.0  # answers from another address
    forgets: bool = False  # does not know packets again: each copy runs


class Server(asyncio.DatagramProtocol):
    """One RADIUS server on a port of its own."""

    def __init__(
        self,
        name: str,
        secret: bytes,
        behaviour: Behaviour | None = None,
        weather: Weather | None = None,
        seed: int = 0,
    ) -> None:
        self.name, self.secret, self.behaviour = name, secret, behaviour or Behaviour()
        self.weather, self.chance = weather or Weather(), Random(f"{seed}/{name}")
        self.known: dict[tuple[Any, int, bytes], bytes | None] = {}
        self.order: deque[tuple[Any, int, bytes]] = deque()
        self.ran: Counter[str] = Counter()  # record: how often it was done here
        self.met, self.copies, self.bad = 0, 0, 0
        self.delays: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", port))
        self.port: int = self.transport.get_extra_info("sockname")[1]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # which it is, and does not say

    def error_received(self, exc: Exception) -> None:
        pass

    def stop(self) -> None:
        self.transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.met += 1
        if self.behaviour.deaf:
            return
        key = (addr, data[1], data[4:20])
        if key in self.known and not self.behaviour.forgets:
            self.copies += 1
            if (answer := self.known[key]) is not None:
                self.send(answer, addr)
            return
        zeroed = data[:4] + bytes(16) + data[20:]
        if data[0] != REQUEST or hashlib.md5(zeroed + self.secret).digest() != data[4:20]:
            self.bad += 1
            return
        pairs = dict(attributes(data))
        record = (
            f"{pairs.get(SESSION, b'').decode()}/{int.from_bytes(pairs.get(STATUS, b''), 'big')}"
        )
        self.ran[record] += 1
        self.delays[record] = int.from_bytes(pairs.get(DELAY, b""), "big")
        self.known[key] = None
        self.order.append(key)
        if len(self.order) > LATEST:
            self.known.pop(self.order.popleft(), None)
        chance, how = self.chance.random(), self.behaviour
        if chance < how.silent:
            return
        chance -= how.silent
        delay = (
            how.late_by
            if chance < how.late
            else self.chance.expovariate(1.0 / max(how.delay, 1e-6))
        )
        asyncio.get_running_loop().call_later(delay, self.answer, key, data, addr)

    def answer(self, key: Any, data: bytes, addr: Any) -> None:
        how, secret = self.behaviour, self.secret
        if self.chance.random() < how.wrong:
            self.send(response(data, secret + b"!", []), addr)
            return
        answer = response(data, secret, [(25, self.name.encode())])
        self.known[key] = answer
        self.send(answer, addr)
        if self.chance.random() < how.twice:
            self.send(answer, addr)

    def send(self, data: bytes, addr: Any) -> None:
        if not self.transport.is_closing():
            self.weather.send(self.chance, self.transport.sendto, data, addr)


class Burst:
    """Sends packets as they are given and keeps what was answered, by identifier and proof of
    the request.
    """

    def __init__(self, address: tuple[str, int], secret: bytes) -> None:
        self.address, self.secret = address, secret
        self.sent: dict[
            int, bytes
        ] = {}  # by their number; identifiers are used again by other sockets
        self.answers: dict[int, list[bytes]] = {}
        self.transports: list[asyncio.DatagramTransport] = []

    async def send(self, packets: list[bytes], rate: float, first: int = 0) -> None:
        """Send packets at a rate, each 256 of them from a socket of their own."""
        loop = asyncio.get_running_loop()
        while len(self.transports) * 256 < first + len(packets):
            number = len(self.transports)
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Ear(self, number), remote_addr=self.address
            )  # noqa: B023 (called before the loop goes on)
            self.transports.append(transport)
        begun = loop.time()
        for index, data in enumerate(packets):
            number = first + index
            self.sent[number] = data
            await asyncio.sleep(max(0.0, begun + index / rate - loop.time()))
            self.transports[number // 256].sendto(data)

    def close(self) -> None:
        for transport in self.transports:
            transport.close()


class Caller:
    """A client over TCP or TLS: sends packets on one connection, keeps what comes back by identifier."""

    def __init__(self, address: tuple[str, int], secret: bytes, context: Any = None) -> None:
        self.address, self.secret, self.context = address, secret, context
        self.sent: dict[int, bytes] = {}
        self.answers: dict[int, list[bytes]] = {}
        self.ended = asyncio.Event()

    async def open(self, name: str = "server") -> None:
        self.reader, self.writer = await asyncio.open_connection(
            *self.address, ssl=self.context, server_hostname=name if self.context else None
        )
        self.reading = asyncio.create_task(self.read())

    async def read(self) -> None:
        try:
            while True:
                head = await self.reader.readexactly(4)
                data = head + await self.reader.readexactly(int.from_bytes(head[2:4], "big") - 4)
                if data[1] in self.sent and proved(data, self.sent[data[1]], self.secret):
                    self.answers.setdefault(data[1], []).append(data)
        except (OSError, asyncio.IncompleteReadError):
            self.ended.set()

    def send(self, data: bytes) -> None:
        self.sent[data[1]] = data
        self.writer.write(data)

    def close(self) -> None:
        self.reading.cancel()
        self.writer.transport.abort()


class Ear(asyncio.DatagramProtocol):
    """One socket of a burst."""

    def __init__(self, burst: Burst, number: int) -> None:
        self.burst, self.number = burst, number

    def datagram_received(self, data: bytes, addr: Any) -> None:
        number = self.number * 256 + data[1]
        asked = self.burst.sent.get(number)
        if asked is not None and proved(data, asked, self.burst.secret):
            self.burst.answers.setdefault(number, []).append(data)


def record(number: int, secret: bytes, nas: str = "nas", status: int = 1) -> bytes:
    """A record of a session of its own."""
    pairs = [
        (NAS, nas.encode()),
        (SESSION, b"%s-%d" % (nas.encode(), number)),
        (STATUS, status.to_bytes(4, "big")),
    ]
    return request_packet(number % 256, pairs, secret)


@dataclass
class Told:
    """One record as its client saw it."""

    record: str
    due: float
    answers: list[bytes] = field(
        default_factory=list
    )  # contents of answers, beside what differs by packet
    latency: float = -1.0
    sent: int = 0
    end: bool = False


class Client(asyncio.DatagramProtocol):
    """A RADIUS client: records at a rate, each sent again until it is answered (RFC 5080, 2.2.1)."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        secret: bytes,
        rate: float,
        seed: int = 0,
        weather: Weather | None = None,
        first: float = 0.5,
        tries: int = 4,
        delay_time: bool = True,
        realm: str = "home.example",
        statuses: tuple[int, ...] = (1, 2),
        bind: str = "127.0.0.1",
    ) -> None:
        self.name, self.address, self.secret, self.rate = name, address, secret, rate
        self.chance, self.weather = Random(f"{seed}/{name}"), weather or Weather()
        self.first, self.tries, self.delay_time = first, tries, delay_time
        self.realm, self.statuses, self.bind = realm, statuses, bind
        self.idents = deque(range(256))
        self.out: dict[int, tuple[bytes, Told]] = {}
        self.last: dict[int, tuple[bytes, Told]] = {}  # of identifiers that are free again
        self.told: list[Told] = []
        self.not_sent, self.strange = 0, 0
        self.transport: asyncio.DatagramTransport

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (self.bind, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # which it is, and does not say

    def error_received(self, exc: Exception) -> None:
        pass

    async def run(self, span: float) -> None:
        """Send records for a while, then wait until all are answered or given up."""
        loop, start, at = asyncio.get_running_loop(), asyncio.get_running_loop().time(), 0.0
        while (at := at + self.chance.expovariate(self.rate)) < span:
            loop.call_at(start + at, self.ask, start + at)
        await asyncio.sleep(max(0.0, start + span - loop.time()))
        ends = loop.time() + self.first * 2**self.tries + 1.0
        while self.out and loop.time() < ends:
            await asyncio.sleep(0.02)

    def ask(self, due: float) -> None:
        if not self.idents:
            self.not_sent += 1
            return
        ident = self.idents.popleft()
        status = self.chance.choice(self.statuses)
        session = f"{self.name}-{self.chance.getrandbits(48):012x}"
        told = Told(f"{session}/{status}", due)
        self.told.append(told)
        self.send(ident, self.pairs(session, status, 0), told)

    def pairs(self, session: str, status: int, delay: int) -> list[tuple[int, bytes]]:
        found = [
            (USER, f"u@{self.realm}".encode()),
            (STATUS, struct.pack("!I", status)),
            (SESSION, session.encode()),
            (NAS, self.name.encode()),
        ]
        return found + [(DELAY, struct.pack("!I", delay))] * self.delay_time

    def send(self, ident: int, pairs: list[tuple[int, bytes]], told: Told) -> None:
        data = request_packet(ident, pairs, self.secret)
        self.out[ident] = (data, told)
        self.transmit(ident, data, told, 0)

    def transmit(self, ident: int, data: bytes, told: Told, tries: int) -> None:
        if self.out.get(ident, (b"", None))[0] is not data or self.transport.is_closing():
            return
        if tries > self.tries:
            del self.out[ident]
            self.idents.append(ident)
            self.last[ident] = (data, told)
            told.end = True
            return
        told.sent += 1
        self.weather.send(self.chance, self.transport.sendto, data, self.address)
        wait = self.first * 2**tries * (0.9 + 0.2 * self.chance.random())
        asyncio.get_running_loop().call_later(wait, self.transmit, ident, data, told, tries + 1)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        asked = self.out.get(data[1]) or self.last.get(data[1])
        if asked is None or not proved(data, asked[0], self.secret):
            asked = self.last.get(data[1])
            if asked is None or not proved(data, asked[0], self.secret):
                self.strange += 1
                return
        told = asked[1]
        content = b"".join(value for kind, value in attributes(data) if kind not in (PROXY, SIGNED))
        told.answers.append(content)
        if told.latency < 0:
            told.latency = asyncio.get_running_loop().time() - told.due
        if data[1] in self.out and self.out[data[1]][1] is told:
            self.last[data[1]] = self.out.pop(data[1])
            self.idents.append(data[1])
