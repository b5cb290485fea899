"""RADIUS accounting servers and clients for the cases, written from RFC 2866 and RFC 5080.

A server knows a packet again by source, identifier and authenticator for as long as its process lives
(RFC 5080, section 2.2.2). A client sends a packet again until it is answered; where it has an
Acct-Delay-Time to raise, the packet gets a new identifier (RFC 2866, section 5.2).
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any

REQUEST, RESPONSE = 4, 5
NAS, PROXY, STATUS, DELAY, OCTETS, SESSION, MOMENT, SIGNED = 32, 33, 40, 41, 42, 44, 55, 80
START, STOP, INTERIM = 1, 2, 3
Pairs = list[tuple[int, bytes]]


def pack(code: int, ident: int, proof: bytes, pairs: Pairs) -> bytes:
    body = b"".join(bytes((kind, len(value) + 2)) + value for kind, value in pairs)
    return struct.pack("!BBH", code, ident, 20 + len(body)) + proof + body


def pairs_of(data: bytes) -> Pairs:
    found, at = [], 20
    while at < len(data):
        found.append((data[at], data[at + 2 : at + data[at + 1]]))
        at += data[at + 1]
    return found


def request(ident: int, pairs: Pairs, secret: bytes) -> bytes:
    """An Accounting-Request with a Message-Authenticator and its proof."""
    whole = pack(REQUEST, ident, bytes(16), [(SIGNED, bytes(16)), *pairs])
    signature = hmac.new(secret, whole, "md5").digest()
    data = pack(REQUEST, ident, bytes(16), [(SIGNED, signature), *pairs])
    return data[:4] + hashlib.md5(data + secret).digest() + data[20:]


def response(asked: bytes, secret: bytes) -> bytes:
    data = pack(
        RESPONSE, asked[1], asked[4:20], [pair for pair in pairs_of(asked) if pair[0] == PROXY]
    )
    return data[:4] + hashlib.md5(data + secret).digest() + data[20:]


def is_answer(data: bytes, asked: bytes, secret: bytes) -> bool:
    proof = hashlib.md5(data[:4] + asked[4:20] + data[20:] + secret).digest()
    return data[0] == RESPONSE and data[1] == asked[1] and data[4:20] == proof


class Server(asyncio.DatagramProtocol):
    """One accounting server. It does a record's work when it comes and answers after `work` seconds."""

    def __init__(
        self,
        name: str,
        port: int,
        secret: bytes,
        work: float,
        say: Callable[[str], None],
        ran: Counter[str],
    ) -> None:
        self.name, self.port, self.secret, self.work, self.say = name, port, secret, work, say
        self.ran = ran  # by record, over all servers
        self.runs = 0
        self.known: dict[tuple[Any, int, bytes], bytes | None] = {}
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """A run of its process: it knows no packet yet."""
        self.runs += 1
        self.known = {}
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, ("127.0.0.1", self.port)
        )

    def crash(self) -> None:
        """Its process dies: its port is closed, and what it had not answered stays unanswered."""
        if self.transport:
            self.transport.abort()
            self.transport = None

    def error_received(self, fault: Exception) -> None:
        pass

    def datagram_received(self, data: bytes, source: Any) -> None:
        key = (source, data[1], data[4:20])
        if key in self.known:
            if answer := self.known[key]:
                self.send(answer, source)
            return
        zeroed = data[:4] + bytes(16) + data[20:]
        if data[0] != REQUEST or hashlib.md5(zeroed + self.secret).digest() != data[4:20]:
            self.say(f"{self.name}: a packet that is not proved")
            return
        pairs = dict(pairs_of(data))
        record = pairs[SESSION].decode() + f"/{int.from_bytes(pairs[STATUS], 'big')}"
        if OCTETS in pairs:
            record += f"/{int.from_bytes(pairs[OCTETS], 'big')} octets"
        self.ran[record] += 1
        self.known[key] = None
        self.say(f"{self.name} run {self.runs}: ran {record}" + " AGAIN" * (self.ran[record] > 1))
        asyncio.get_running_loop().call_later(self.work, self.answer, self.runs, key, data, source)

    def answer(self, run: int, key: Any, data: bytes, source: Any) -> None:
        if run == self.runs and self.transport:
            self.known[key] = response(data, self.secret)
            self.send(self.known[key] or b"", source)

    def send(self, data: bytes, source: Any) -> None:
        if self.transport:
            self.transport.sendto(data, source)


class Client(asyncio.DatagramProtocol):
    """A NAS on one socket: records, each sent again until it is answered or `tries` are used up."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        secret: bytes,
        say: Callable[[str], None],
        wait: float = 1.0,
        tries: int = 3,
        raises_delay: bool = False,
    ) -> None:
        self.name, self.address, self.secret, self.say = name, address, secret, say
        self.wait, self.tries, self.raises_delay = wait, tries, raises_delay
        self.next = 0
        self.out: dict[int, tuple[bytes, asyncio.Event]] = {}
        self.answered, self.sent = Counter[str](), Counter[str]()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=self.address
        )

    def error_received(self, fault: Exception) -> None:
        pass

    def datagram_received(self, data: bytes, source: Any) -> None:
        asked = self.out.get(data[1])
        if asked and is_answer(data, asked[0], self.secret):
            asked[1].set()

    def take(self, pairs: Pairs, done: asyncio.Event) -> tuple[int, bytes]:
        while self.next % 256 in self.out:
            self.next += 1
        ident = self.next % 256
        self.next += 1
        data = request(ident, pairs, self.secret)
        self.out[ident] = (data, done)
        return ident, data

    async def report(self, record: str, pairs: Pairs) -> bool:
        """Send one record until it is answered; whether it was."""
        done, mine, start = asyncio.Event(), list[int](), asyncio.get_running_loop().time()
        data = b""
        for attempt in range(self.tries):
            if self.raises_delay or not data:
                waited = round(asyncio.get_running_loop().time() - start)
                delay = [(DELAY, waited.to_bytes(4, "big"))]
                ident, data = self.take(pairs + delay, done)
                mine.append(ident)
            self.sent[record] += 1
            self.say(f"{self.name}: sent {record}, try {attempt + 1}")
            self.transport.sendto(data)
            try:
                async with asyncio.timeout(self.wait):
                    await done.wait()
                    break
            except TimeoutError:
                pass
        for ident in mine:
            self.out.pop(ident, None)
        if done.is_set():
            self.answered[record] += 1
            self.say(f"{self.name}: answered {record}")
        return done.is_set()

    def close(self) -> None:
        self.transport.close()
