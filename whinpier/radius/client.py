"""Owns the way to RADIUS servers: sockets, identifiers, retransmissions, and which answer is one.

An attempt is one packet, sent again unchanged to the same run of a server until it is answered or
given up (RFC 2866, section 2): that run knows it again, a later one does not. A datagram that was
sent may have run, unless the server's host says that it refused this one. Must never take for an
answer what is not proved by the server's secret, or what answers another packet.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from os import urandom

from whinpier import log
from whinpier.config.model import Address, Entry
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Effect, Outcome, UpstreamState
from whinpier.radius import packet as wire
from whinpier.radius.identifiers import Idents
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.refused_datagrams import queue_errors, read_refused
from whinpier.radius.server_runs import ServerRuns
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
        self.sent_count = 0  # datagrams that have left
        self.refused_count = 0  # of these, which the server's host has refused
        self.run_has_ended = False  # of the process that may have it
        # What it was sent with, whatever becomes of its server's address and secret meanwhile.
        self.asked: Packet
        self.sock: socket.socket
        self.secret, self.data = peer.spec.secret, b""
        self.state = urandom(8)  # its Proxy-State, which nobody else's can be

    def was_all_refused(self) -> bool:
        """Tell whether datagrams have left, and no process can have got any of them."""
        return 0 < self.sent_count == self.refused_count


class Server(Endpoint):
    """One RADIUS server."""

    def __init__(
        self, pool: Pool, entry: Entry, number: int, spec: ServerSpec, runs: ServerRuns
    ) -> None:
        super().__init__(number, entry.state, 0, 0, entry.started)
        self.pool, self.loop, self.host, self.address = pool, pool.loop, entry.host, entry.dial
        self.spec = spec
        self.idents = Idents(spec.sockets, spec.quarantine)
        self.sockets: dict[int, socket.socket] = {}
        self.waiting: dict[tuple[int, int], Sending] = {}
        self.runs = runs
        self.was_refused = False  # a datagram, whose error is to be read
        if entry.started:
            runs.begin(entry.dial, entry.started)

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
            queue_errors(sock)
            # Connected: what comes from another address is dropped by the system.
            sock.connect(self.address)
        except OSError as fault:
            self.pool.budget.connections.release()
            log.warning("socket_unavailable", fault=fault)
            return False
        self.sockets[number] = sock
        self.runs.add(self.address, self)
        asyncio.get_running_loop().add_reader(sock, self.on_readable, number)
        return True

    def transmit(self, sending: Sending) -> None:
        """Send the packet, now and again, until it is answered or given up."""
        # Guards against a second run: from another socket, or at another address, it would be a new
        # request.
        moved = self.sockets.get(sending.slot[0]) is not sending.sock
        if moved or self.waiting.get(sending.slot) is not sending:
            return
        if sending.sent_count and not self.may_repeat(sending):
            return
        if not sending.sent_count and self.state != UpstreamState.READY:
            self.settle_unsent(sending, Outcome.NOT_SENT)  # a full buffer held it up until now
            return
        sending.tries += 1
        if not self.send_datagram(sending):
            return
        if sending.tries <= self.spec.retransmissions:
            # Twice as long each time, and spread a little (RFC 5080, section 2.2.1).
            wait = int(
                self.spec.retransmit
                * 2 ** (sending.tries - 1)
                * (0.9 + 0.2 * self.pool.policy.selector.random())
            )
            self.loop.call_at(self.loop.clock() + wait, self.loop, self.transmit, sending)

    def may_repeat(self, sending: Sending) -> bool:
        """Tell whether a packet may be sent again: only the run that may have it knows it again."""
        # Answers and refusals that the loop has not read yet count too.
        for number in tuple(self.sockets):
            self.receive(number)
        self.read_errors()
        if self.waiting.get(sending.slot) is not sending:
            return False
        if sending.request.request_class.kind == Effect.IDEMPOTENT:
            return True
        return not sending.run_has_ended and self.state != UpstreamState.REMOVED

    def send_datagram(self, sending: Sending) -> bool:
        """Send a packet once; return whether it is to be sent again later."""
        try:
            sending.sock.send(sending.data)
            sending.sent_count += 1
            log.counters["radius_sent"] += 1
        except BlockingIOError:
            log.counters["radius_not_sent"] += 1  # a full buffer
        except ConnectionRefusedError:
            # Word of an earlier datagram, in place of which this one was not sent.
            log.counters["radius_not_sent"] += 1
            self.was_refused = True
            self.read_errors()
            if not sending.sent_count:
                self.settle_unsent(sending, Outcome.CONNECT_FAILED)
                return False
        except OSError as fault:
            log.warning("radius_not_sent", upstream=self.host, fault=fault)
            self.read_errors()
        return True

    def read_errors(self) -> None:
        """End the run if the server's port has refused a datagram on any of the sockets."""
        is_refused = self.was_refused
        self.was_refused = False
        for number, sock in self.sockets.items():
            for header in read_refused(sock):
                is_refused = True
                sending = self.waiting.get((number, header[1])) if len(header) > 1 else None
                # The authenticator is in it, so that an earlier packet is not taken for this one.
                if sending and len(header) == wire.LEAST and sending.data.startswith(header):
                    sending.refused_count += 1
        if is_refused:
            log.counters["radius_refused"] += 1
            self.runs.end(self.address)

    def end_run(self) -> None:
        """Send nothing again that may be at a process that has ended: the next would run it anew."""
        for sending in tuple(self.waiting.values()):
            if sending.was_all_refused():
                self.settle_unsent(sending, Outcome.CONNECT_FAILED)
            elif sending.sent_count:
                sending.run_has_ended = True

    def settle_unsent(self, sending: Sending, outcome: Outcome) -> None:
        """Settle an attempt that has reached no process."""
        self.release(sending, True)
        self.pool.settle(sending, outcome)

    def on_readable(self, number: int) -> None:
        """Read what has come on a socket."""
        # An error is read after the answers: what was answered was not refused.
        if self.receive(number):
            self.read_errors()

    def receive(self, number: int) -> bool:
        """Read the answers on a socket; return whether there may be errors to read."""
        has_error = False
        for turn in range(AT_ONCE):
            try:
                data = self.sockets[number].recv(wire.MOST + 1)
            except BlockingIOError:
                return has_error or not turn
            except ConnectionRefusedError:
                has_error = self.was_refused = True
                continue
            except OSError:
                has_error = True  # of the way there, which says nothing of the process
                continue
            except KeyError:
                return has_error
            try:
                self.answered(number, data)
            except BadPacket as bad:
                log.counters["radius_bad_answer"] += 1
                log.warning_uncounted("radius_bad_answer", upstream=self.host, why=bad)
            except Exception:  # no bytes end the loop
                log.exception("connection_task_failed")
        return has_error

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
            self.close()
            self.address = dial

    def close(self) -> None:
        """Let go of all sockets. What is out on them is not answered any more, and keeps its identifier."""
        for sock in self.sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
            self.pool.budget.connections.release()
        self.sockets.clear()
        self.runs.remove(self.address, self)

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
