"""Owns the way from RADIUS clients: which datagrams are requests, whose, met before or not; the answers.

RADIUS has no refusal for accounting: what was not fulfilled gets no answer, and the client's own timer says
when it comes back. Must never answer what is not proved, spend more than a bound on a flood, or take a
retransmission for a new task.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from whinpier import log
from whinpier.decay import SECOND
from whinpier.model import NEVER_RAN, RERUNNABLE, Workload
from whinpier.radius import keys
from whinpier.radius import packet as wire
from whinpier.radius.back import AT_ONCE, BUFFER, Record
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.spec import ClientSpec, RadiusSpec
from whinpier.radius.state import State
from whinpier.radius.table import Clients, Routes
from whinpier.runtime.pool import hashed

if TYPE_CHECKING:
    from whinpier.runtime.life import Life

STRANGERS = 200  # packets a second from unknown addresses that are counted one by one


class Asked(Record):
    """A record with whoever waits for its answer."""

    __slots__ = ("front", "client", "secret", "source", "sock", "entry", "over", "others")

    def __init__(self, number: int, workload: Workload, came: int, ends: int, front: Front, packet: Packet,
                 entry: keys.Entry[Asked], client: ClientSpec, secret: bytes, source: keys.Source,
                 sock: socket.socket) -> None:
        super().__init__(number, workload, came, ends)
        self.client, self.secret, self.source, self.sock = client, secret, source, sock
        self.front, self.packet, self.entry = front, packet, entry
        self.id_given = b""
        self.over = False
        # Who else has sent it since, in other words; each is answered in its own.
        self.others: list[tuple[socket.socket, keys.Source, Packet, bytes, bytes]] = []

    def waited_for(self) -> bool:
        return not self.over

    def fulfilled(self, answer: Packet) -> None:
        self.over = True
        self.front.reply(self, answer)

    def turned_back(self, wait: int) -> None:
        """Silence; it never ran, or may run again, so that its next try is a new task."""
        self.over = True
        self.front.silent(self, True)

    def scrapped(self) -> None:
        self.over = True
        ran = any(sent.outcome not in NEVER_RAN for sent in self.hand_offs)
        self.front.silent(self, not ran or self.workload.kind == RERUNNABLE)


class Front:
    """All RADIUS listeners of the process."""

    def __init__(self, life: Life, spec: RadiusSpec, sockets: list[socket.socket]) -> None:
        self.life, self.loop, self.spec, self.sockets = life, life.loop, spec, sockets
        self.memory: keys.Memory[Asked] = keys.Memory()
        self.follow(spec)
        self.state = State(spec.state, self.loop.clock) if spec.state else None
        if self.state:
            self.state.open(self.memory)
        self.second, self.seen = 0, dict[str, int]()  # packets of each client in this second

    def follow(self, spec: RadiusSpec) -> None:
        """Go on by another configuration: secrets, clients, routes; what is out and remembered stays."""
        self.spec, self.clients, self.routes = spec, Clients(spec.clients), Routes(spec.routes)
        self.memory.change(spec.kept, spec.most, {one.name: one.kept or spec.kept for one in spec.clients})

    def start(self, listeners: list[socket.socket]) -> None:
        for sock in self.sockets:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            asyncio.get_running_loop().add_reader(sock, self.came, sock)
            log.say("listening_radius", address="%s:%d" % sock.getsockname())
        if state := self.state:
            self.loop.spawn(lambda: state.run(self.memory), lambda: None)

    def came(self, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                data, source = sock.recvfrom(wire.MOST + 1)
            except BlockingIOError:
                return
            except OSError:
                log.counts["radius_refused"] += 1
                return
            try:
                self.take(sock, data, source)
            except BadPacket as bad:
                log.counts["radius_bad_request"] += 1
                log.note("radius_bad_request", source=source[0], why=bad)
            except Exception:  # no bytes end the loop
                log.fault("network_fault")

    def allowed(self, name: str, most: int) -> bool:
        """Whether one more packet of a client is looked at in this second."""
        # Guards against a flood of forged packets: each would cost a hash.
        second = self.loop.clock() // SECOND
        if second != self.second:
            self.second = second
            self.seen.clear()
        self.seen[name] = self.seen.get(name, 0) + 1
        return self.seen[name] <= most

    def take(self, sock: socket.socket, data: bytes, source: keys.Source) -> None:
        """One datagram."""
        client = self.clients.of(source[0])
        if client is None:
            if self.allowed("", STRANGERS):
                log.note("radius_stranger", source=source[0])
            log.counts["radius_stranger"] += 1
            return
        if not self.allowed(client.name, client.most):
            log.counts["radius_flood"] += 1
            return
        packet = wire.parse(data)
        secret = client.secrets[wire.proved_by(packet, data, client.secrets, client.signed)]
        if packet.code == wire.STATUS_SERVER:
            # RFC 5997: it asks whether this end lives.
            if self.life.ready():
                self.send(sock, wire.answer(packet, secret, True), source)
            return
        wire.check_record(packet)
        key = keys.wire_key(source, packet)
        record = keys.record_key(packet, client.name) if self.spec.records else None
        met, entry = self.memory.meet(client.name, key, record, keys.content(packet), self.loop.clock())
        if met == keys.NEW:
            assert entry is not None
            log.counts["radius_requests"] += 1
            self.enter(sock, source, packet, client, secret, entry)
            return
        log.counts["radius_" + met.replace(" ", "_")] += 1
        if entry is None:
            log.note("radius_full", client=client.name, remembered=len(self.memory),
                     raise_one_of="radius.most, or lower radius.clients.N.kept")
            return
        if met == keys.AGAIN and entry.answer is not None:
            # Another packet with the same record is answered in its own words, the same packet in the same.
            answer = entry.answer if entry.key == key else self.answer_to(
                packet, secret, client, wire.parse(entry.answer).attributes)
            self.send(sock, answer, source)
        elif met == keys.JOINS and entry.task and entry.key != key:
            others = entry.task.others
            if len(others) < 16 and all(other[4] != key for other in others):
                others.append((sock, source, packet, secret, key))

    def enter(self, sock: socket.socket, source: keys.Source, packet: Packet, client: ClientSpec,
              secret: bytes, entry: keys.Entry[Asked]) -> None:
        """A new record: a task of the pool that its route names."""
        route = self.routes.of(packet, client.name)
        pool = self.life.pools.get(route.pool) if route else None
        if route is None or pool is None:
            log.counts["no_route"] += 1
            self.memory.given_up(entry)
            return
        workload = pool.workloads[route.workload.encode()]
        if self.state and not self.state.takes():
            # Guards against a record whose next run would not know of it: its client sends it again.
            log.counts["radius_not_kept"] += 1
            self.memory.given_up(entry)
            return
        if self.life.no_room(pool):
            log.counts["turned_back_at_the_door"] += 1
            self.memory.given_up(entry)
            return
        now = self.loop.clock()
        ends = self.life.ends(now, workload.patience)
        task = Asked(self.loop.next_id(), workload, now, ends, self, packet, entry, client, secret,
                     source, sock)
        session = packet.first(wire.SESSION_ID) or b""
        task.key = hashed(session) if session else 0
        entry.task = task
        if self.state:
            self.state.once_kept(lambda: pool.take(task))
        else:
            pool.take(task)

    # The one final answer.

    def reply(self, task: Asked, answer: Packet) -> None:
        own = task.packet
        attributes = [pair for pair in answer.attributes if pair[0] != wire.PROXY_STATE]
        data = self.answer_to(own, task.secret, task.client, attributes)
        self.memory.answered(task.entry, data, self.loop.clock())
        self.send(task.sock, data, task.source)
        for sock, source, packet, secret, _ in task.others:
            self.send(sock, self.answer_to(packet, secret, task.client, attributes), source)

    @staticmethod
    def answer_to(packet: Packet, secret: bytes, client: ClientSpec,
                  attributes: list[tuple[int, bytes]]) -> bytes:
        """The answer in a packet's own words; what fits in no packet goes without the server's attributes."""
        try:
            return wire.answer(packet, secret, client.signed, attributes=attributes)
        except ValueError:
            # Proxy-States have to go back, and did fit in the request; a client needs nothing else of it.
            log.warn("radius_answer_too_large", client=client.name)
            return wire.answer(packet, secret, client.signed)

    def silent(self, task: Asked, harmless: bool) -> None:
        """No answer goes. What may have run and must not run twice is remembered; all else may come again."""
        if harmless:
            self.memory.given_up(task.entry)
        else:
            self.memory.ended(task.entry, self.loop.clock())

    def send(self, sock: socket.socket, data: bytes, source: keys.Source) -> None:
        try:
            sock.sendto(data, source)
            log.counts["radius_answers"] += 1
        except OSError:
            log.counts["radius_not_sent"] += 1  # it asks again, and is answered from memory

    # As a front of the process.

    def sweep(self) -> None:
        self.memory.forget(self.loop.clock())

    def anyone(self) -> bool:
        return False

    def close_idle(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock)

    def owes(self) -> bool:
        return False

    def figures(self) -> dict[str, int]:
        return {"radius_remembered": len(self.memory)}
