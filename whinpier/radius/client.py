"""Owns the way to RADIUS servers: sockets, identifiers, retransmissions, and which answer is one.

An attempt is one packet, sent again unchanged to the same server until it is answered or given up
(RFC 2866, section 2): servers know it again. A datagram that was sent may have run, whatever comes
back. Must never take for an answer what is not proved by the server's secret, or what answers
another packet.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from os import urandom

from whinpier import log
from whinpier.config.model import Address, Entry
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome, UpstreamState
from whinpier.radius import packet as wire
from whinpier.radius.identifiers import Idents
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.spec import ServerSpec
from whinpier.runtime.pool import Endpoint, PendingRequest, Pool, PoolAttempt

AT_ONCE = 64  # datagrams read before others have their turn
BUFFER = 1 << 20  # bytes that the system keeps of what has come: some thousand answers


class Record(PendingRequest):
    """An accounting record on its way."""

    __slots__ = ("packet",)
    packet: Packet


class Sending(PoolAttempt):
    """An attempt with its packet as it was sent."""

    def __init__(self, request: Record, peer: Server, now: int, slot: tuple[int, int]) -> None:
        super().__init__(request, peer, now)
        self.slot, self.tries = slot, 0
        # What it was sent with, whatever becomes of its server's address and secret meanwhile.
        self.asked: Packet
        self.sock: socket.socket
        self.secret, self.data = peer.spec.secret, b""
        self.state = urandom(8)  # its Proxy-State, which nobody else's can be


class Server(Endpoint):
    """One RADIUS server."""

    def __init__(self, pool: Pool, entry: Entry, number: int, spec: ServerSpec) -> None:
        super().__init__(number, entry.state, 0, 0, entry.started)
        self.pool, self.loop, self.host, self.address = pool, pool.loop, entry.host, entry.dial
        self.spec = spec
        self.idents = Idents(spec.sockets, spec.quarantine)
        self.sockets: dict[int, socket.socket] = {}
        self.waiting: dict[tuple[int, int], Sending] = {}

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        assert isinstance(request, Record)
        now = self.pool.now
        slot = self.idents.take(now)
        sending = Sending(request, self, now, slot or (-1, -1))
        request.attempts.append(sending)
        if slot is None or not self.open(slot[0]):
            log.counters["radius_no_identifier"] += 1
            if slot:
                self.idents.give(*slot, True, now)
            self.pool.settle(sending, Outcome.NOT_SENT)
            return sending
        self.waiting[slot] = sending
        asked = Packet(
            wire.ACCOUNTING_REQUEST,
            slot[1],
            attributes=[
                pair for pair in request.packet.attributes if pair[0] != wire.MESSAGE_AUTHENTICATOR
            ],
        )
        # What it waited here is told, so that the record's time stays true (RFC 2866, section 5.2).
        waited = max(0, now - request.arrived_at) // SECOND
        asked.attributes = [
            (kind, delayed(value, waited)) if kind == wire.DELAY_TIME else (kind, value)
            for kind, value in asked.attributes
        ]
        asked.attributes.append((wire.PROXY_STATE, sending.state))
        try:
            sending.data = wire.sealed(asked, sending.secret, self.spec.sign)
        except ValueError:
            log.counters["radius_too_large"] += 1
            self.release(sending, True)
            self.pool.settle(sending, Outcome.NOT_SENT)
            return sending
        sending.asked, sending.sock = asked, self.sockets[slot[0]]
        self.transmit(sending)
        return sending

    def open(self, number: int) -> bool:
        """Whether there is a socket of this number; each holds a descriptor of the pool's part."""
        if number in self.sockets:
            return True
        if not self.pool.context.budget.acquire_connection(self.pool.budget):
            return False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            # Connected: what comes from another address is dropped by the system.
            sock.connect(self.address)
        except OSError as fault:
            self.pool.budget.connections.release()
            log.warning("socket_unavailable", fault=fault)
            return False
        self.sockets[number] = sock
        asyncio.get_running_loop().add_reader(sock, self.came, number)
        return True

    def transmit(self, sending: Sending) -> None:
        """Send the packet, now and again, until it is answered or given up."""
        # Guards against a second run: from another socket, or at another address, it would be a new
        # request.
        moved = self.sockets.get(sending.slot[0]) is not sending.sock
        if moved or self.waiting.get(sending.slot) is not sending:
            return
        sending.tries += 1
        try:
            sending.sock.send(sending.data)
            log.counters["radius_sent"] += 1
        except (BlockingIOError, ConnectionRefusedError):
            log.counters["radius_not_sent"] += (
                1  # a full buffer, or word of an earlier one: sent again later
            )
        except OSError as fault:
            log.warning("radius_not_sent", upstream=self.host, fault=fault)
        if sending.tries <= self.spec.retransmissions:
            # Twice as long each time, and spread a little (RFC 5080, section 2.2.1).
            wait = int(
                self.spec.retransmit
                * 2 ** (sending.tries - 1)
                * (0.9 + 0.2 * self.pool.policy.selector.random())
            )
            self.loop.call_at(self.loop.clock() + wait, self.loop, self.transmit, sending)

    def came(self, number: int) -> None:
        for _ in range(AT_ONCE):
            try:
                data = self.sockets[number].recv(wire.MOST + 1)
            except BlockingIOError:
                return
            except OSError:
                # Its port is closed, or was a moment ago. What was sent before may have run: it is
                # silent.
                log.counters["radius_refused"] += 1
                return
            except KeyError:
                return
            try:
                self.answered(number, data)
            except BadPacket as bad:
                log.counters["radius_bad_answer"] += 1
                log.warning_uncounted("radius_bad_answer", upstream=self.host, why=bad)
            except Exception:  # no bytes end the loop
                log.exception("connection_task_failed")

    def answered(self, number: int, data: bytes) -> None:
        packet = wire.parse(data)
        sending = self.waiting.get((number, packet.id))
        if sending is None:
            log.counters["radius_late_answer"] += (
                1  # to one that was given up, or the second to one
            )
            return
        wire.check_answer(packet, data, sending.asked, sending.secret, self.spec.signed)
        states = packet.all(wire.PROXY_STATE)
        if states and sending.state not in states:
            raise BadPacket("an answer without our Proxy-State")
        self.release(sending, True)
        self.pool.settle(sending, Outcome.SUCCEEDED, packet)

    def release(self, sending: Sending, answered: bool) -> None:
        if self.waiting.get(sending.slot) is sending:
            del self.waiting[sending.slot]
            self.idents.give(*sending.slot, answered, self.loop.clock())
            if self.state != UpstreamState.READY:
                self.drain()  # it finished what it had

    def abandon(self, sent: PoolAttempt) -> None:
        assert isinstance(sent, Sending)
        self.release(sent, False)

    def on_configuration_changed(self) -> None:
        if isinstance(self.pool.spec.server, ServerSpec):
            self.spec = self.pool.spec.server

    def set_address(self, dial: Address) -> None:
        if dial != self.address:
            self.address = dial
            self.close()

    def close(self) -> None:
        """Let go of all sockets. What is out on them is not answered any more, and keeps its identifier."""
        for sock in self.sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
            self.pool.budget.connections.release()
        self.sockets.clear()

    def drain(self) -> None:
        if not self.waiting:
            self.close()

    def in_flight(self) -> int:
        return len(self.waiting)


def delayed(value: bytes, waited: int) -> bytes:
    """An Acct-Delay-Time with some seconds more."""
    if len(value) != 4:
        return value
    return min(int.from_bytes(value, "big") + waited, 2**32 - 1).to_bytes(4, "big")
