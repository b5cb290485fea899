"""The fleet on simulated time: each member's real state machine, a model of the network, faults by
schedule.

Owns the order of everything in a run, and the facts that the referee holds the members' events
against. Must never hand a member anything that a real network and machine would not.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from whinpier.fleet.event_names import control_name
from whinpier.fleet.membership.membership import Address, Membership, MembershipTiming
from whinpier.fleet.messages import MemberMetadata, Seal, pool_hash
from whinpier.simulation.clock import MS, SECOND, Clock
from whinpier.testbed.faults import Fault, Schedule
from whinpier.testbed.referee import Bounds, Breach, Fact, Referee, Said

KEY = Seal((b"only for simulated time, 32 bytes",))
POOL = pool_hash("all")
Spoil = Callable[[Membership], None]


class Node:
    """One process: a member and what its machine does to it."""

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        name: str,
        address: Address,
        recalled: list[Address] | None = None,
    ) -> None:
        self.fleet, self.number, self.name, self.address = fleet, number, name, address
        self.alive, self.awake, self.slow = True, True, 0.0
        self.box: list[tuple[bytes, Address]] = []  # what has come while it stood still
        chance = Random(f"member/{fleet.schedule.seed}/{name}/{fleet.clock.now}")
        self.run = chance.getrandbits(63)
        seeds = fleet.seeds()
        card = MemberMetadata(name, self.run, 1, *address, build="model", pools=(POOL,))
        self.members = Membership(
            card, seeds, KEY, fleet.times, chance, fleet.clock.now, cached_addresses=recalled or ()
        )
        fleet.spoil(self.members)
        self.called_at = 0
        self.done = 0  # when its core has done what it has
        self.dues = 0
        fleet.fact("started", self)
        self.schedule()

    @property
    def id(self) -> tuple[str, str]:
        return self.name, f"{self.members.metadata.run:x}"

    def schedule(self) -> None:
        """Have `tick` called when it wants to be, or later if its core is taken."""
        if not (self.alive and self.awake):
            return
        due = self.members.due()
        if not self.called_at or due < self.called_at:
            self.called_at = max(due, self.fleet.clock.now)
            self.fleet.clock.at(self.called_at + self.late(), self.tick, self.called_at)

    def late(self) -> int:
        return int(self.fleet.chance.random() * self.slow * SECOND) if self.slow else 0

    def tick(self, called_at: int) -> None:
        if called_at != self.called_at or not (self.alive and self.awake):
            return
        self.called_at = 0
        if self.members.due() <= self.fleet.clock.now:
            self.members.tick(self.fleet.clock.now)
        self.pass_on()

    def receive(self, data: bytes, source: Address) -> None:
        if not self.alive:
            return
        if not self.awake:
            if len(self.box) < 2_000:  # as much as a socket holds
                self.box.append((data, source))
            return
        if self.slow:
            self.fleet.clock.after(self.late(), self.read, data, source)
        else:
            self.read(data, source)

    def read(self, data: bytes, source: Address) -> None:
        if not (self.alive and self.awake):
            return
        self.members.receive(data, source, self.fleet.clock.now)
        self.pass_on()

    def refused(self, address: Address) -> None:
        if self.alive and self.awake:
            self.members.on_port_unreachable(address, self.fleet.clock.now)
            self.pass_on()

    def pass_on(self) -> None:
        out, events, _ = self.members.take_output()
        for address, data in out:
            self.fleet.carry(self, address, data)
        for event in events:
            self.fleet.said.append(
                Said((event.at - self.fleet.clock.start) / SECOND, self.id, event.name, event.pairs)
            )
            self.fleet.counts[event.name] += 1
        self.schedule()

    def stop(self) -> None:
        self.awake, self.called_at = False, 0
        self.fleet.fact("stopped", self)

    def go_on(self) -> None:
        if not self.alive or self.awake:
            return
        self.awake = True
        self.fleet.fact("goes_on", self)
        # What it should have done long ago first, or what has come: as it falls out.
        if self.fleet.chance.random() < 0.5 and self.members.due() <= self.fleet.clock.now:
            self.members.tick(self.fleet.clock.now)
            self.pass_on()
        box, self.box = self.box, []
        for data, source in box:
            self.read(data, source)
        self.schedule()


class Fleet:
    """One run."""

    def __init__(
        self,
        schedule: Schedule,
        times: MembershipTiming = MembershipTiming(),
        bounds: Bounds | None = None,
        spoil: Spoil = lambda members: None,
    ) -> None:
        self.schedule, self.times, self.spoil = schedule, times, spoil
        self.bounds = bounds or Bounds(agree=5.0)
        self.clock = Clock(schedule.seed)
        self.chance = Random(f"network/{schedule.seed}")
        self.facts: list[Fact] = []
        self.said: list[Said] = []
        self.counts: Counter[str] = Counter()
        self.at_address: dict[Address, Node] = {}
        self.silent: set[Address] = set()  # machines that are gone: nothing is refused there
        self.cuts: list[
            tuple[tuple[frozenset[int], ...], frozenset[int] | None, frozenset[int]]
        ] = []
        self.weather: list[Fault] = []
        self.ports = 7000
        late = {number for fault in schedule.faults if fault.kind == "join" for number in fault.who}
        self.nodes: dict[int, Node] = {}
        self.gone: set[int] = set()
        self.first: dict[int, Address] = {
            number: self.place(number) for number in range(schedule.members)
        }
        for number in range(schedule.members):
            if number not in late:
                # Nobody starts all processes in the same millisecond.
                self.clock.after(
                    int(self.chance.random() * SECOND),
                    self.begin_process,
                    number,
                    self.first[number],
                )
        for fault in schedule.faults:
            self.clock.at(self.clock.start + int(fault.at * SECOND), self.begin, fault)

    def place(self, number: int) -> Address:
        self.ports += 1
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", self.ports

    def seeds(self) -> list[Address]:
        return [
            self.first[number] for number in range(min(self.schedule.seeds, self.schedule.members))
        ]

    def start(self, number: int, address: Address, name: str = "") -> Node:
        before = self.nodes.get(number)
        recalled = before.members.known_addresses() if before and not name else None
        node = self.made(number, name or f"m{number}", address, recalled)
        self.at_address[address] = node
        if not name or number not in self.nodes:
            self.nodes[number] = node
        if self.cuts:
            self.tell_ways()
        return node

    def made(
        self, number: int, name: str, address: Address, recalled: list[Address] | None
    ) -> Node:
        return Node(self, number, name, address, recalled)

    def begin_process(self, number: int, address: Address) -> None:
        self.start(number, address)

    def fact(self, kind: str, node: Node | None = None, **more: Any) -> None:
        at = (self.clock.now - self.clock.start) / SECOND
        self.facts.append(Fact(at, kind, node.id if node else ("", ""), **more))

    # The network.

    def carry(self, node: Node, address: Address, data: bytes) -> None:
        """One datagram on its way, if it arrives."""
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        there = self.at_address.get(address)
        chance = self.chance
        if (
            there is not None
            and there.number != node.number
            and self.cut(node.number, there.number)
        ):
            return
        delay, copies = MS // 5 + int(chance.random() * MS), 1
        for fault in self.weather:
            kind = fault.kind
            if kind == "late":
                delay += int(chance.random() * fault.amount * SECOND)
            elif chance.random() < fault.amount:
                if kind == "lossy":
                    return
                if kind == "doubled":
                    copies += 1
                elif kind == "torn":
                    data = data[: int(chance.random() * len(data))]
                elif kind == "flipped" and data:
                    at = int(chance.random() * len(data))
                    data = (
                        data[:at]
                        + bytes((data[at] ^ 1 << int(chance.random() * 8),))
                        + data[at + 1 :]
                    )
                elif kind == "stale":
                    self.clock.after(2 * SECOND, self.arrive, node, address, data)
        for _ in range(copies):
            self.clock.after(delay, self.arrive, node, address, data)

    def arrive(self, node: Node, address: Address, data: bytes) -> None:
        there = self.at_address.get(address)
        if there is not None and there.alive:
            there.receive(data, node.address)
        elif there is not None and self.schedule.refusing and address not in self.silent:
            self.clock.after(MS // 5, node.refused, address)

    def cut(self, here: int, there: int) -> bool:
        for parts, some, others in self.cuts:
            if some is not None:
                if here in some and there in others:
                    return True
            elif not any(here in part and there in part for part in parts):
                return True
        return False

    # Faults.

    def begin(self, fault: Fault) -> None:
        kind, after = fault.kind, int(fault.span * SECOND)
        if kind == "cut":
            cut = tuple(frozenset(part) for part in fault.parts), None, frozenset[int]()
            self.cuts.append(cut)
            self.tell_ways()
            self.clock.after(after, self.heal, cut)
        elif kind == "one_way":
            way = (), frozenset(fault.who), frozenset(fault.to)
            self.cuts.append(way)
            self.tell_ways()
            self.clock.after(after, self.heal, way)
        elif kind in ("lossy", "late", "doubled", "torn", "flipped", "stale"):
            self.weather.append(fault)
            self.fact("weather", bad=True)
            self.clock.after(
                after + (2 * SECOND if kind == "stale" else int(fault.amount * SECOND)),
                self.clear,
                fault,
            )
        else:
            for number in fault.who:
                self.hit(fault, number, after)

    def heal(self, cut: Any) -> None:
        self.cuts.remove(cut)
        self.tell_ways()

    def clear(self, fault: Fault) -> None:
        self.weather.remove(fault)
        self.fact(
            "weather", bad=bool(self.weather) or any(some is not None for _, some, _ in self.cuts)
        )

    def tell_ways(self) -> None:
        """The facts: who reaches whom. What is no division into parts counts as weather."""
        whole = [parts for parts, some, _ in self.cuts if some is None]
        one_way = any(some is not None for _, some, _ in self.cuts)
        names: list[frozenset[str]] = []
        if whole:
            groups: dict[tuple[int, ...], set[str]] = {}
            for number, node in self.nodes.items():
                which = tuple(
                    next((place for place, part in enumerate(parts) if number in part), -1 - number)
                    for parts in whole
                )
                groups.setdefault(which, set()).add(node.name)
            names = [frozenset(group) for group in groups.values()]
        self.fact("weather", bad=bool(self.weather) or one_way)
        self.fact("ways", parts=tuple(names))

    def hit(self, fault: Fault, number: int, after: int) -> None:
        node, kind = self.nodes.get(number), fault.kind
        if kind == "join":
            self.start(number, self.first[number])
            return
        if node is None or not node.alive:
            return
        if kind in ("kill", "vanish", "restart", "move"):
            self.end(node, kind == "vanish")
            if kind in ("restart", "move"):
                address = node.address if kind == "restart" else self.place(number)
                self.clock.after(after, self.begin_process, number, address)
        elif kind == "leave":
            node.members.leave(self.clock.now)
            node.pass_on()
            self.clock.after(SECOND, self.announce_leave, node)
        elif kind == "stop":
            node.stop()
            self.clock.after(after, node.go_on)
        elif kind == "slow":
            node.slow = fault.amount
            self.fact("weather", bad=True)
            self.clock.after(after, self.quick, node)
        elif kind == "twin":
            self.start(number, self.place(number), node.name)

    def quick(self, node: Node) -> None:
        node.slow = 0.0
        self.fact(
            "weather", bad=bool(self.weather) or any(some is not None for _, some, _ in self.cuts)
        )

    def end(self, node: Node, silently: bool, kind: str = "dead") -> None:
        node.alive = False
        if silently or not self.schedule.refusing:
            self.silent.add(node.address)
        self.fact(kind, node, bad=kind == "dead" and (silently or not self.schedule.refusing))

    def announce_leave(self, node: Node) -> None:
        if node.alive:
            node.members.announce_leave(self.clock.now)
            node.pass_on()
            self.end(node, False, "left")

    # A run.

    def play(self) -> dict[str, Any]:
        """Play it all; what broke, how near each bound came, what it cost."""
        self.clock.run(self.clock.start + int(self.schedule.seconds * SECOND))
        referee = Referee(self.facts, self.said, self.schedule.seconds, self.bounds)
        breaches = referee.judge()
        each = max(1, len(self.nodes)) * self.schedule.seconds
        return {
            "breaches": breaches,
            "slowest": dict(referee.slowest),
            "checked": dict(referee.checked),
            "events": {control_name(name): count for name, count in self.counts.items()},
            "bytes_each": self.counts["bytes"] / each,
            "datagrams_each": self.counts["datagrams"] / each,
        }


def breaches(schedule: Schedule, spoil: Spoil = lambda members: None) -> list[Breach]:
    found: list[Breach] = Fleet(schedule, spoil=spoil).play()["breaches"]
    return found
