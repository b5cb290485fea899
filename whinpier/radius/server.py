"""Owns the way from RADIUS clients: which datagrams are requests, whose, met before or not; the
answers.

RADIUS has no refusal for accounting: what was not fulfilled gets no answer, and the client's own
timer says when it comes back. Must never answer what is not proved, spend more than a bound on a
flood, or take a retransmission for a new request.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import NEVER_RAN, Effect, RequestClass
from whinpier.radius import deduplication
from whinpier.radius import packet as wire
from whinpier.radius.client import AT_ONCE, BUFFER, Record
from whinpier.radius.client_table import Clients, Routes
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.response_cache import State
from whinpier.radius.spec import ClientSpec, RadiusSpec
from whinpier.radius.stream_server import Datagrams, Streams, Way
from whinpier.runtime.pool import stable_hash

if TYPE_CHECKING:
    from whinpier.runtime.process import Process

STRANGERS = 200  # packets a second from unknown addresses that are counted one by one
MAX_REPLACED = 16  # tables of clients that reloads replaced; each is looked at for every new record


@dataclass(frozen=True)
class ReplacedClients:
    """The clients of a former configuration, while records may be remembered under their names."""

    until: int  # nanoseconds
    clients: Clients
    named: dict[str, ClientSpec]


class RadiusRequest(Record):
    """A record with whoever waits for its answer."""

    __slots__ = ("front", "client", "secret", "way", "entry", "over", "others")

    def __init__(
        self,
        number: int,
        request_class: RequestClass,
        came: int,
        ends: int,
        front: Frontend,
        packet: Packet,
        entry: deduplication.Entry[RadiusRequest],
        client: ClientSpec,
        secret: bytes,
        way: Way,
    ) -> None:
        super().__init__(number, request_class, came, ends)
        self.client, self.secret, self.way = client, secret, way
        self.front, self.packet, self.entry = front, packet, entry
        self.client_id = b""
        self.over = False
        # Who else has sent it since, in other words; each is answered in its own.
        self.others: list[tuple[Way, Packet, bytes, bytes]] = []

    def is_awaited(self) -> bool:
        return not self.over

    def respond(self, answer: Packet) -> None:
        self.over = True
        self.front.reply(self, answer)

    def respond_rejected(self, wait: int) -> None:
        """Silence; it never ran, or may run again, so that its next try is a new request."""
        self.over = True
        self.front.silent(self, True)

    def respond_failed(self) -> None:
        self.over = True
        ran = any(sent.outcome not in NEVER_RAN for sent in self.attempts)
        self.front.silent(self, not ran or self.request_class.kind == Effect.IDEMPOTENT)


class Frontend:
    """All RADIUS listeners of the process."""

    def __init__(
        self,
        process: Process,
        spec: RadiusSpec,
        sockets: list[socket.socket],
        listeners: list[socket.socket],
    ) -> None:
        self.process, self.loop, self.spec, self.sockets = process, process.loop, spec, sockets
        self.now = self.loop.clock()
        self.memory: deduplication.Memory[RadiusRequest] = deduplication.Memory()
        self.streams = Streams(self, listeners)
        self.replaced: list[ReplacedClients] = []  # the oldest first
        self.use(spec)
        self.state = State(spec.state, self.loop.clock) if spec.state else None
        if self.state:
            self.state.open(self.memory)
        self.second, self.seen = 0, dict[str, int]()  # packets of each client in this second

    def follow(self, spec: RadiusSpec) -> None:
        """Go on by another configuration: secrets, clients, routes; what is out and remembered stays."""
        if spec.clients != self.spec.clients:
            # Of a record that is out at this moment its client may send again for the time that
            # it is kept after its end.
            kept = max(client.kept or self.spec.kept for client in self.spec.clients)
            until = self.loop.clock() + 2 * kept
            self.replaced.append(ReplacedClients(until, self.clients, self.named))
            del self.replaced[:-MAX_REPLACED]
        self.use(spec)

    def use(self, spec: RadiusSpec) -> None:
        """Take over a configuration."""
        self.spec, self.clients, self.routes = spec, Clients(spec.clients), Routes(spec.routes)
        self.named = {name: client for client in spec.clients for name in client.names}
        self.streams.follow(spec.contexts)
        self.memory.change(
            spec.kept, spec.most, {one.name: one.kept or spec.kept for one in spec.clients}
        )

    def earlier_records(
        self, way: Way, packet: Packet, client: ClientSpec
    ) -> list[tuple[str, bytes]]:
        """Return each client that the source was before a reload, with the record's key under it."""
        now = self.loop.clock()
        self.replaced = [table for table in self.replaced if table.until > now]
        owners = (way.client_in(table.clients, table.named) for table in reversed(self.replaced))
        names = dict.fromkeys(owner.name for owner in owners if owner)
        names.pop(client.name, None)
        keys = ((name, deduplication.record_key(packet, name)) for name in names)
        return [(name, key) for name, key in keys if key is not None]

    def start(self, listeners: list[socket.socket]) -> None:
        for sock in self.sockets:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            asyncio.get_running_loop().add_reader(sock, self.came, sock)
            log.info("listening_radius", address="%s:%d" % sock.getsockname(), over="UDP")
        self.streams.start()
        if state := self.state:
            self.loop.spawn(lambda: state.run(self.memory), lambda: None)

    def came(self, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                data, source = sock.recvfrom(wire.MOST + 1)
            except BlockingIOError:
                return
            except OSError:
                log.counters["radius_refused"] += 1
                return
            try:
                self.take(sock, data, source)
            except BadPacket as bad:
                log.counters["radius_bad_request"] += 1
                log.warning_uncounted("radius_bad_request", source=source[0], why=bad)
            except Exception:  # no bytes end the loop
                log.exception("connection_task_failed")

    def allowed(self, name: str, most: int) -> bool:
        """Whether one more packet of a client is looked at in this second."""
        # Guards against a flood of forged packets: each would cost a hash.
        second = self.loop.clock() // SECOND
        if second != self.second:
            self.second = second
            self.seen.clear()
        self.seen[name] = self.seen.get(name, 0) + 1
        return self.seen[name] <= most

    def take(self, sock: socket.socket, data: bytes, source: deduplication.Source) -> None:
        """One datagram."""
        client = self.clients.of(source[0])
        if client is None:
            if self.allowed("", STRANGERS):
                log.warning_uncounted("radius_unknown_client", source=source[0])
            log.counters["radius_unknown_client"] += 1
            return
        if not self.allowed(client.name, client.most):
            log.counters["radius_flood"] += 1
            return
        self.on_packet(Datagrams(sock, source, client), data, client)

    def on_packet(self, way: Way, data: bytes, client: ClientSpec) -> None:
        """One packet of a client, however it came. Raises BadPacket."""
        packet = wire.parse(data)
        secret = way.secrets[wire.proved_by(packet, data, way.secrets, way.signed)]
        if packet.code == wire.STATUS_SERVER:
            # RFC 5997, and the watchdog of RFC 3539: it asks whether this end lives.
            if self.process.ready():
                self.send(way, wire.answer(packet, secret, True))
            return
        wire.check_record(packet)
        key = deduplication.wire_key(way.source, packet)
        record = deduplication.record_key(packet, client.name) if self.spec.records else None
        earlier = self.earlier_records(way, packet, client) if record and self.replaced else ()
        met, entry = self.memory.meet(
            client.name, key, record, deduplication.content(packet), self.loop.clock(), earlier
        )
        if met == deduplication.NEW:
            assert entry is not None
            log.counters["radius_requests"] += 1
            try:
                self.enter(way, packet, client, secret, entry)
            except Exception:
                # No request waits for it: remembered, it would be met with silence.
                if entry.request is None:
                    self.memory.given_up(entry)
                raise
            return
        log.counters["radius_" + met.replace(" ", "_")] += 1
        if entry is None:
            log.warning_uncounted(
                "radius_full",
                client=client.name,
                remembered=len(self.memory),
                raise_one_of="radius.most, or lower radius.clients.N.kept",
            )
            return
        if met == deduplication.AGAIN and entry.answer is not None:
            # Another packet with the same record is answered in its own words, the same packet in
            # the same.
            answer = (
                entry.answer
                if entry.key == key
                else self.answer_to(packet, secret, way, wire.parse(entry.answer).attributes)
            )
            self.send(way, answer)
        elif met == deduplication.JOINS and entry.request and entry.key != key:
            others = entry.request.others
            if len(others) < 16 and all(other[3] != key for other in others):
                others.append((way, packet, secret, key))

    def enter(
        self,
        way: Way,
        packet: Packet,
        client: ClientSpec,
        secret: bytes,
        entry: deduplication.Entry[RadiusRequest],
    ) -> None:
        """A new record: a request of the pool that its route names."""
        route = self.routes.of(packet, client.name)
        pool = self.process.pools.get(route.pool) if route else None
        if route is None or pool is None:
            log.counters["no_route"] += 1
            self.memory.given_up(entry)
            return
        request_class = pool.request_classes[route.request_class.encode()]
        if self.state and not self.state.takes():
            # Guards against a record whose next run would not know of it: its client sends it
            # again.
            log.counters["radius_not_kept"] += 1
            self.memory.given_up(entry)
            return
        if self.process.rejects(pool, route.name, client.name.encode()):
            log.counters["rejected_on_arrival"] += 1
            self.memory.given_up(entry)
            return
        now = self.loop.clock()
        ends = self.process.deadline(now, request_class.timeout)
        request = RadiusRequest(
            self.loop.next_id(), request_class, now, ends, self, packet, entry, client, secret, way
        )
        session = packet.first(wire.SESSION_ID) or b""
        request.key = stable_hash(session) if session else 0
        entry.request = request
        pool.register(request, pool.granted_permits)
        if self.state:
            self.state.once_kept(partial(pool.start_request, request))
        else:
            pool.start_request(request)

    # The one final answer.

    def reply(self, request: RadiusRequest, answer: Packet) -> None:
        own = request.packet
        attributes = [pair for pair in answer.attributes if pair[0] != wire.PROXY_STATE]
        data = self.answer_to(own, request.secret, request.way, attributes)
        self.memory.answered(request.entry, data, self.loop.clock())
        self.send(request.way, data)
        for way, packet, secret, _ in request.others:
            self.send(way, self.answer_to(packet, secret, way, attributes))

    @staticmethod
    def answer_to(
        packet: Packet, secret: bytes, way: Way, attributes: list[tuple[int, bytes]]
    ) -> bytes:
        """The answer in a packet's own words; what fits in no packet goes without the server's attributes."""
        try:
            return wire.answer(packet, secret, way.signed, attributes=attributes)
        except ValueError:
            # Proxy-States have to go back, and did fit in the request; a client needs nothing else
            # of it.
            log.warning("radius_answer_too_large", source=way.source[0])
            return wire.answer(packet, secret, way.signed)

    def silent(self, request: RadiusRequest, harmless: bool) -> None:
        """No answer goes. What may have run and must not run twice is remembered; all else may come again."""
        if harmless:
            self.memory.given_up(request.entry)
        else:
            self.memory.ended(request.entry, self.loop.clock())

    def send(self, way: Way, data: bytes) -> None:
        # What was not sent is answered from memory when it is asked for again, over whichever way.
        log.counters["radius_answers" if way.send(data) else "radius_not_sent"] += 1

    # As a front of the process.

    def close_expired(self) -> None:
        self.memory.forget(self.loop.clock())
        self.streams.sweep()

    def has_clients(self) -> bool:
        return False

    def close_idle(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock)
        self.streams.stop()

    def has_pending_responses(self) -> bool:
        # A note that is not written would be missed by the next run: a record that was turned back
        # would be met with silence.
        is_unsaved = self.state is not None and self.state.has_failed_writes()
        return is_unsaved or self.streams.has_unsent_answers()

    def metrics(self) -> dict[str, int]:
        return {"radius_remembered": len(self.memory), "radius_streams": len(self.streams.open)}
