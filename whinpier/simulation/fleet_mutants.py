"""Faults put back into the fleet's real code, one by one: what the referee must catch, and on which
days.

Each replaces methods of the state machine for as long as a run lasts. Must never leave a class
changed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from whinpier.fleet import messages
from whinpier.fleet.fleet_size import FleetSizes
from whinpier.fleet.membership.membership import Member, Membership
from whinpier.fleet.messages import ALIVE, LOST, NO_RESPONSE, MemberUpdate
from whinpier.simulation.fleet import POOL, Fleet
from whinpier.testbed.faults import Fault, Schedule, draw
from whinpier.testbed.referee import Breach

Change = tuple[type, str, Any]
TWELVE = tuple(range(12))
# Days that together show every one of them; drawn ones follow.
DAYS = (
    Schedule(
        12,
        24.0,
        (
            Fault(8.0, "vanish", (5,)),
            Fault(13.4, "stop", (6,), span=1.1),
            Fault(14.0, "stop", (7, 8, 9, 10), span=2.5),
        ),
    ),
    Schedule(12, 24.0, (Fault(8.0, "cut", parts=(TWELVE[:6], TWELVE[6:]), span=8.0),)),
    Schedule(12, 40.0, (Fault(6.0, "lossy", span=26.0, amount=0.1),)),
    Schedule(12, 20.0, (Fault(8.0, "restart", (6, 7), span=0.1),)),
    Schedule(
        12, 24.0, (Fault(6.0, "one_way", (1,), (2,), span=8.0), Fault(16.0, "move", (9,), span=0.5))
    ),
    Schedule(12, 20.0, (Fault(8.0, "restart", (6, 7), span=0.1),), refusing=False),
    Schedule(
        12,
        44.0,
        tuple(
            Fault(6.0 + 6.0 * turn, "stop", (3 + turn, *range(8, 12)), span=2.5)
            for turn in range(5)
        ),
    ),
)
BORNE = 0.1  # of all datagrams lost, by which nobody is to be taken for lost
# suspicions that a member begins itself in a second: 0.1 with a tenth of all datagrams lost
ACCUSED = 0.3


def nothing(*_: Any, **__: Any) -> None:
    return None


def never_refutes() -> list[Change]:
    """A member does not answer for itself."""
    return [(Membership, "refute", nothing)]


def never_loses() -> list[Change]:
    """The time to refute never ends."""
    return [(Membership, "on_suspicion_timeout", nothing)]


def loses_at_once() -> list[Change]:
    """One ping without an answer, and it is lost."""

    def on_probe_timeout(self: Membership, nonce: int) -> None:
        probe = self.probes.pop(nonce, None)
        member = self.members.get(probe.target) if probe else None
        if member is not None and member.connected:
            self.adopt_update(
                member,
                MemberUpdate(
                    member.id, member.last_update.incarnation, LOST, NO_RESPONSE, self.metadata.id
                ),
            )

    return [(Membership, "on_probe_timeout", on_probe_timeout)]


def gives_up() -> list[Change]:
    """Who is lost is never looked for again."""
    return [
        (Membership, "probe_lost_member", nothing),
        (Membership, "probe_seeds", once(Membership.probe_seeds)),
    ]


def once(real: Callable[[Membership], None]) -> Callable[[Membership], None]:
    def early(self: Membership) -> None:
        if not self.joined or self.now < self.started_at + 5_000_000_000:
            real(self)

    return early


def silence_is_death() -> list[Change]:
    """An unheard member is taken for dead, without evidence."""
    return [(Member, "unreachable", property(lambda self: False))]


def life_is_ignored() -> list[Change]:
    """A word is not outdone by what its member said since."""

    def rank(self: MemberUpdate) -> tuple[int, int, int, int]:
        return self.state >= messages.LEFT, 0, self.state, self.reason

    return [(MemberUpdate, "rank", property(rank))]


def asks_nobody() -> list[Change]:
    """Nobody else is asked to ping."""
    return [(Membership, "send_indirect_probes", nothing)]


def goes_on_as_if_awake() -> list[Change]:
    """One that stood still believes its own timers, and loses whom it did not hear."""

    def advance_clock(self: Membership, now: int) -> None:
        self.now = max(self.now, now)

    return [(Membership, "advance_clock", advance_clock), (Membership, "mark_heard", silently)]


def silently(self: Membership, member: Member) -> None:
    member.refusals = 0


def tells_no_news() -> list[Change]:
    """Nothing is passed on, and views are not exchanged."""

    def add_gossip(self: Membership, updates: Any, metadata: Any, capacity: int) -> int:
        return capacity

    return [(Membership, "add_gossip", add_gossip), (Membership, "send_full_state", nothing)]


def keeps_the_old_run() -> list[Change]:
    """A new run at the same address does not take the old one's place."""
    return [(Membership, "mark_replaced", nothing)]


def half_is_larger() -> list[Change]:
    """Of two halves each takes itself for the larger part."""

    def compute_position(self: Membership) -> str:
        here, unheard = self.count(), self.reachability_counts[1]
        if here == 1 and unheard:
            return "alone"
        return "whole" if not unheard else "larger" if 2 * here >= here + unheard else "smaller"

    return [(Membership, "compute_position", compute_position)]


def believes_anybody() -> list[Change]:
    """Who is not known is taken up on its own word, also a replayed one."""

    def on_unknown_sender(self: Membership, datagram: Any, probe: Any, source: Any) -> Any:
        card = next((card for card in datagram.metadata if card.id == datagram.sender), None)
        return (
            self.admit(card, MemberUpdate(card.id, 0, ALIVE), datagram.sequence, True)
            if card
            else None
        )

    return [(Membership, "on_unknown_sender", on_unknown_sender)]


def counts_the_heard() -> list[Change]:
    """Pools are told of those who are heard only."""

    def pool_members(self: Membership, pool: int) -> list[tuple[bytes, int]]:
        found = [
            (b"", one.id)
            for one in self.members.values()
            if one.connected and pool in one.metadata.pools
        ]
        return sorted([*found, (b"", self.metadata.id)])

    return [(Membership, "pool_members", pool_members)]


MUTATIONS: dict[str, Callable[[], list[Change]]] = {
    change.__name__: change
    for change in (
        never_refutes,
        never_loses,
        loses_at_once,
        gives_up,
        silence_is_death,
        life_is_ignored,
        asks_nobody,
        goes_on_as_if_awake,
        tells_no_news,
        keeps_the_old_run,
        half_is_larger,
        believes_anybody,
        counts_the_heard,
    )
}


@contextmanager
def spoilt(name: str) -> Iterator[None]:
    """The real code with one fault in it."""
    changes = MUTATIONS[name]()
    before = [(owner, key, owner.__dict__[key]) for owner, key, _ in changes]
    try:
        for owner, key, value in changes:
            setattr(owner, key, value)
        yield
    finally:
        for owner, key, value in before:
            setattr(owner, key, value)


def holds(schedule: Schedule) -> list[Breach]:
    """What breaks on a day: the referee's properties, and what pools are told (each half second)."""
    fleet = Fleet(schedule)
    counted: dict[int, FleetSizes] = {}
    broken: list[Breach] = []

    def look() -> None:
        fleet.clock.after(500_000_000, look)
        now = (fleet.clock.now - fleet.clock.start) / 1e9
        alive = sum(node.alive for node in fleet.nodes.values())
        for number, node in fleet.nodes.items():
            counting = counted.get(number)
            if counting is None or counting.members is not node.members:
                counting = counted[number] = FleetSizes(node.members, ("all",))
            counting.update(fleet.clock.now)
            told = counting.pools["all"].balancers
            settled = fleet.clock.now - node.members.started_at > 5_000_000_000
            if node.alive and node.awake and settled and told < alive and not broken:
                broken.append(
                    Breach(
                        "count",
                        now,
                        node.name,
                        f"tells pools of {told} balancers, and {alive} are there",
                    )
                )

    assert POOL
    fleet.clock.after(0, look)
    found: list[Breach] = fleet.play()["breaches"]
    accused = Counter(
        said.process[0]
        for said in fleet.said
        if said.event == "member_suspect" and said.pairs.get("by") == said.process[0]
    )
    broken += [
        Breach("accused", schedule.seconds, name, f"suspects others {count} times by itself")
        for name, count in accused.items()
        if count > ACCUSED * schedule.seconds + 6
    ]
    if all(fault.kind == "lossy" and fault.amount <= BORNE for fault in schedule.faults):
        # The referee asks nothing of bad weather, as it may be any; so much of it is promised to
        # lose nobody.
        broken += [
            Breach("false", said.at, said.process[0], f"loses {said.pairs.get('member')}")
            for said in fleet.said
            if said.event == "member_lost"
        ]
    return found + broken


def caught(name: str, drawn: int = 20) -> Schedule | None:
    """The first day on which a fault shows; None where it never does."""
    with spoilt(name):
        for schedule in (*DAYS, *(draw(seed, 9, 40.0, 5) for seed in range(drawn))):
            if holds(schedule):
                return schedule
    return None
