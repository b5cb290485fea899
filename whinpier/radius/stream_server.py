"""Owns RADIUS over TCP and TLS from clients (RFC 6613, 6614): connections, records in a stream, and
whose.

A connection is the space of its identifiers. Whatever can't be read or isn't proved ends it, since
what comes behind can't be told apart any more (RFC 6613, section 2.6.4). Must never hold more of a
stream than a packet and one read, wait for a peer without an end, or take a peer for a client whose
certificate does not say so.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import count as numbers
from typing import TYPE_CHECKING, Any, Protocol, cast

from whinpier import log
from whinpier.config.model import Address
from whinpier.policy.decaying_sum import SECOND
from whinpier.radius import deduplication
from whinpier.radius import packet as wire
from whinpier.radius.packet import BadPacket

if TYPE_CHECKING:
    from whinpier.radius.client_table import Clients
    from whinpier.radius.server import Frontend
    from whinpier.radius.spec import ClientSpec

RADSEC = (b"radsec",)  # the secret inside TLS (RFC 6614, section 2.3)
HANDSHAKE = 5.0  # seconds for a peer to prove itself
WHOLE = 5 * SECOND  # for a packet that has begun to come to be whole
UNREAD = 64 * 1024  # bytes of answers that a peer has not taken; more ends the connection


class Way(Protocol):
    """How a request came, and its answer goes back."""

    source: deduplication.Source
    secrets: tuple[bytes, ...]
    signed: bool

    def send(self, data: bytes) -> bool:
        """Whether it went as far as can be told."""

    def client_in(self, clients: Clients, named: dict[str, ClientSpec]) -> ClientSpec | None:
        """Return the client that it comes from, by tables of addresses and of certificates' names."""


class Datagrams:
    """Over UDP."""

    __slots__ = ("sock", "source", "secrets", "signed")

    def __init__(
        self, sock: socket.socket, source: deduplication.Source, client: ClientSpec
    ) -> None:
        self.sock, self.source, self.secrets, self.signed = (
            sock,
            source,
            client.secrets,
            client.signed,
        )

    def send(self, data: bytes) -> bool:
        try:
            self.sock.sendto(data, self.source)
            return True
        except OSError:
            return False

    def client_in(self, clients: Clients, named: dict[str, ClientSpec]) -> ClientSpec | None:
        """Return the client of the source's address."""
        return clients.of(self.source[0])


class Splitter:
    """Packets out of a stream, by the length that each states. Free of I/O."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Whole packets, as they come. Raises BadPacket for a length that is none: all behind it is lost."""
        self.held += data
        at = 0
        try:
            while len(self.held) - at >= 4:
                length = int.from_bytes(self.held[at + 2 : at + 4], "big")
                if not wire.LEAST <= length <= wire.MOST:
                    raise BadPacket(f"a length of {length} in a stream")
                if len(self.held) - at < length:
                    break
                yield bytes(self.held[at : at + length])
                at += length
        finally:
            del self.held[:at]


class Stream(asyncio.Protocol):
    """One connection of a client."""

    transport: asyncio.Transport

    def __init__(
        self, streams: Streams, number: int, address: str, port: int, context: ssl.SSLContext | None
    ) -> None:
        self.streams, self.front, self.context = streams, streams.front, context
        self.number, self.address = number, address
        # Identifiers are a connection's own: two of one address and port, one after the other, are
        # two.
        self.source: deduplication.Source = (f"{address}/{number}", port)
        self.secrets: tuple[bytes, ...] = ()
        self.names: list[str] = []  # of its certificate
        self.signed = False
        self.client: ClientSpec | None = None
        self.splitter, self.waiting = Splitter(), deque[bytes]()
        self.heard, self.closed, self.held_back = self.front.loop.clock(), False, False
        self.is_deferred = False  # it is in the loop's queue of turns

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(UNREAD)
        if self.context:
            given = transport.get_extra_info("peercert") or {}
            self.names = [
                name.lower()
                for kind, name in given.get("subjectAltName", ())
                if kind in ("DNS", "URI")
            ]
            self.secrets = RADSEC
            whose = ",".join(self.names) or "a certificate without names"
        else:
            whose = self.address
        self.client = self.client_in(self.front.clients, self.front.named)
        if self.client is None:
            log.counters["radius_unknown_client"] += 1
            log.warning_uncounted("radius_unknown_client", source=self.address, names=whose)
            self.close()
            return
        if not self.context:
            self.secrets, self.signed = self.client.secrets, self.client.signed
        log.counters["radius_connections"] += 1

    def client_in(self, clients: Clients, named: dict[str, ClientSpec]) -> ClientSpec | None:
        """Return the client of the certificate's names over TLS, else of the peer's address."""
        if self.context is None:
            return clients.of(self.address)
        return next((found for name in self.names if (found := named.get(name))), None)

    def data_received(self, data: bytes) -> None:
        if self.closed or self.client is None:
            return
        self.heard = self.front.loop.clock()
        try:
            self.waiting.extend(self.splitter.feed(data))
        except BadPacket as bad:
            self.refuse(bad)
            return
        self.work()

    def work(self) -> None:
        """Take what has come, as many a second as its client may send; the rest waits, as does its peer.

        Other connections run after each turn.
        """
        turn = self.front.loop.turns.begin_turn()
        while self.waiting and not self.closed and self.client is not None:
            if turn.is_over():
                self.defer()
                return
            if not self.front.allowed(self.client.name, self.client.most):
                log.counters["radius_held_back"] += 1
                if not self.held_back:
                    self.held_back = True
                    self.transport.pause_reading()
                    now = self.front.loop.clock()
                    self.front.loop.call_at((now // SECOND + 1) * SECOND, self.front, self.go_on)
                return
            try:
                self.front.on_packet(self, self.waiting.popleft(), self.client)
            except BadPacket as bad:
                self.refuse(bad)
            except Exception:  # no bytes end the loop
                log.exception("connection_task_failed")
                self.close()

    def defer(self) -> None:
        """Let other connections run first, and read nothing more until this one goes on."""
        if not self.is_deferred:
            self.is_deferred = True
            self.transport.pause_reading()
            self.front.loop.turns.defer(self.end_deferral)

    def end_deferral(self) -> None:
        """Go on, unless the connection has ended or its client has sent enough for this second."""
        self.is_deferred = False
        if not self.closed and not self.held_back:
            self.transport.resume_reading()
            self.work()

    def go_on(self) -> None:
        self.held_back = False
        if not self.closed:
            self.transport.resume_reading()
            self.work()

    def refuse(self, bad: BadPacket) -> None:
        log.counters["radius_bad_request"] += 1
        log.warning_uncounted("radius_bad_request", source=self.address, why=bad)
        self.close()

    def send(self, data: bytes) -> bool:
        if self.closed:
            return False
        if self.transport.get_write_buffer_size() > UNREAD:
            log.warning("radius_slow_client", source=self.address)
            self.close()
            return False
        self.transport.write(data)
        return True

    def has_unsent_answers(self) -> bool:
        """Tell whether part of an answer has not been handed to the system yet."""
        is_open = self.client is not None and not self.closed
        return is_open and self.transport.get_write_buffer_size() > 0

    def connection_lost(self, fault: Exception | None) -> None:
        self.closed = True
        self.streams.gone(self)

    def close(self) -> None:
        self.closed = True
        self.transport.abort()

    def sweep(self, now: int, idle: int) -> None:
        if self.splitter.held and now - self.heard > WHOLE:
            log.warning("radius_slow_client", source=self.address)
            self.close()
        elif now - self.heard > idle:
            self.close()


class Streams:
    """The listeners, and the connections that came on them."""

    def __init__(self, front: Frontend, sockets: list[socket.socket]) -> None:
        self.front, self.sockets = front, sockets
        self.next = numbers(1).__next__
        self.open: dict[int, Stream] = {}
        self.contexts: dict[Address, ssl.SSLContext] = {}
        self.waits = False  # for a connection to end, before another is taken

    def follow(self, contexts: dict[Address, ssl.SSLContext]) -> None:
        """Certificates of new connections; those that stand go on, unless their client was taken out."""
        self.contexts = contexts
        clients = {client.name: client for client in self.front.spec.clients}
        for stream in list(self.open.values()):
            if stream.client is not None and not stream.closed:
                stream.client = clients.get(stream.client.name)
                if stream.client is None:
                    stream.close()

    def start(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().add_reader(sock, self.accept, sock)
            address = sock.getsockname()
            log.info(
                "listening_radius",
                address="%s:%d" % address,
                over="TLS" if address in self.contexts else "TCP",
            )

    def accept(self, listener: socket.socket) -> None:
        """Take connections as long as there is room; the others wait in the system's queue."""
        for _ in range(16):
            if len(self.open) >= self.front.spec.connections:
                log.counters["radius_no_connection"] += 1
                self.stop()
                self.waits = True
                return
            try:
                sock, peer = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                log.warning("socket_unavailable", fault=fault)
                return
            sock.setblocking(False)
            stream = Stream(
                self, self.next(), peer[0], peer[1], self.contexts.get(listener.getsockname())
            )
            self.open[stream.number] = stream
            self.front.loop.spawn(self.opener(sock, stream), lambda: None)

    def opener(self, sock: socket.socket, stream: Stream) -> Callable[[], Any]:
        """A connection's handshake, as a network task."""

        async def run() -> None:
            context = stream.context
            try:
                with suppress(OSError):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await asyncio.get_running_loop().connect_accepted_socket(
                    lambda: stream,
                    sock,
                    ssl=context,
                    ssl_handshake_timeout=HANDSHAKE if context else None,
                )
            except (OSError, ssl.SSLError, asyncio.TimeoutError) as fault:
                log.counters["radius_handshake"] += 1
                log.warning_uncounted(
                    "radius_handshake", source=stream.address, why=fault or type(fault).__name__
                )
                sock.close()
                self.gone(stream)

        return run

    def gone(self, stream: Stream) -> None:
        self.open.pop(stream.number, None)
        if self.waits:
            self.waits = False
            for sock in self.sockets:
                asyncio.get_running_loop().add_reader(sock, self.accept, sock)

    def sweep(self) -> None:
        now, idle = self.front.loop.clock(), self.front.spec.idle
        for stream in list(self.open.values()):
            if stream.client is not None and not stream.closed:
                stream.sweep(now, idle)

    def stop(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock)

    def has_unsent_answers(self) -> bool:
        """Tell whether an answer on any connection is not written whole."""
        return any(stream.has_unsent_answers() for stream in self.open.values())
