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
from whinpier.radius.spec import ClientSpec, RadiusSpec, client_of
from whinpier.runtime.pool import hashed

if TYPE_CHECKING:
    from whinpier.runtime.life import Life

STRANGERS = 200  # packets a second from unknown addresses that are counted one by one


class Asked(Record):
    """A record with whoever waits for its answer."""

    __slots__ = ("front", "client", "secret", "source", "sock", "key_on_wire", "over", "others")

    def __init__(self, number: int, workload: Workload, came: int, ends: int, front: Front, packet: Packet,
                 key: keys.Key, client: ClientSpec, secret: bytes, source: keys.Source,
                 sock: socket.socket) -> None:
        super().__init__(number, workload, came, ends)
        self.client, self.secret, self.source, self.sock = client, secret, source, sock
        self.front, self.packet, self.key_on_wire = front, packet, key
        self.id_given = b""
        self.over = False
        # Who else has sent it since, in other words; each is answered in its own.
        self.others: list[tuple[socket.socket, keys.Source, Packet, bytes, keys.Key]] = []

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
        self.memory: keys.Memory[Asked] = keys.Memory(spec.kept, spec.most)
        self.second, self.seen = 0, dict[str, int]()  # packets of each client in this second

    def follow(self, spec: RadiusSpec) -> None:
        """Go on by another configuration: secrets, clients, routes; what is out and remembered stays."""
        self.spec = spec
        self.memory.kept, self.memory.most = spec.kept, spec.most

    def start(self, listeners: list[socket.socket]) -> None:
        for sock in self.sockets:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            asyncio.get_running_loop().add_reader(sock, self.came, sock)
            log.say("listening_radius", address="%s:%d" % sock.getsockname())

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
        client = client_of(self.spec.clients, source[0])
        if client is None:
            if self.allowed("", STRANGERS):
                log.note("radius_stranger", source=source[0])
            log.counts["radius_stranger"] += 1
            return
        if not self.allowed(client.name, client.most):
            log.counts["radius_flood"] += 1
            return
        packet = wire.parse(data)
        secret = self.proved(packet, data, client)
        if packet.code == wire.STATUS_SERVER:
            # RFC 5997: it asks whether this end lives.
            if self.life.ready():
                self.send(sock, wire.answer(packet, secret, True), source)
            return
        key = keys.wire_key(source, packet)
        record = keys.record_key(packet, client.name) if self.spec.records else None
        met, entry = self.memory.meet(key, record, keys.content(packet), self.loop.clock())
        if met == keys.NEW:
            log.counts["radius_requests"] += 1
            self.enter(sock, source, packet, client, secret, key)
            return
        log.counts["radius_" + met.replace(" ", "_")] += 1
        if entry is None:
            return
        if met == keys.AGAIN and entry.answer is not None:
            # Another packet with the same record is answered in its own words, the same packet in the same.
            same = self.memory.entries.get(key) is entry
            answer = entry.answer if same else wire.answer(packet, secret, client.signed,
                                                           attributes=wire.parse(entry.answer).attributes)
            self.send(sock, answer, source)
        elif met == keys.JOINS and entry.task and self.memory.entries.get(key) is not entry:
            others = entry.task.others
            if len(others) < 16 and all(other[4] != key for other in others):
                others.append((sock, source, packet, secret, key))

    def proved(self, packet: Packet, data: bytes, client: ClientSpec) -> bytes:
        """The secret of a client that a packet is proved by. Raises BadPacket where none is."""
        for secret in client.secrets[:-1]:
            with suppress(BadPacket):
                wire.check_request(packet, data, secret, client.signed)
                return secret
        wire.check_request(packet, data, client.secrets[-1], client.signed)
        return client.secrets[-1]

    def enter(self, sock: socket.socket, source: keys.Source, packet: Packet, client: ClientSpec,
              secret: bytes, key: keys.Key) -> None:
        """A new record: a task of the pool that its route names."""
        if len(packet.all(wire.PROXY_STATE)) > wire.MOST_PROXIES:
            self.memory.given_up(key)
            raise BadPacket("more proxies than a way has: a loop")
        if packet.first(wire.STATUS_TYPE) is None or len(packet.all(wire.STATUS_TYPE)) > 1:
            self.memory.given_up(key)
            raise BadPacket("no Acct-Status-Type, or two")
        route = next((route for route in self.spec.routes if route.takes(packet, client.name)), None)
        pool = self.life.pools.get(route.pool) if route else None
        if route is None or pool is None:
            log.counts["no_route"] += 1
            self.memory.given_up(key)
            return
        workload = pool.workloads[route.workload.encode()]
        if self.life.no_room(pool):
            log.counts["turned_back_at_the_door"] += 1
            self.memory.given_up(key)
            return
        now = self.loop.clock()
        ends = self.life.ends(now, workload.patience)
        task = Asked(self.loop.next_id(), workload, now, ends, self, packet, key, client, secret, source,
                     sock)
        session = packet.first(wire.SESSION_ID) or b""
        task.key = hashed(session) if session else 0
        self.memory.entries[key].task = task
        pool.take(task)

    # The one final answer.

    def reply(self, task: Asked, answer: Packet) -> None:
        own = task.packet
        attributes = [pair for pair in answer.attributes if pair[0] != wire.PROXY_STATE]
        data = wire.answer(own, task.secret, task.client.signed, attributes=attributes)
        self.memory.answered(task.key_on_wire, data, self.loop.clock())
        self.send(task.sock, data, task.source)
        for sock, source, packet, secret, _ in task.others:
            self.send(sock, wire.answer(packet, secret, task.client.signed, attributes=attributes), source)

    def silent(self, task: Asked, harmless: bool) -> None:
        """No answer goes. What may have run and must not run twice is remembered; all else may come again."""
        if harmless:
            self.memory.given_up(task.key_on_wire)
        else:
            self.memory.ended(task.key_on_wire, self.loop.clock())

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
        return {"radius_remembered": len(self.memory.entries)}
