"""Schedules of faults for a fleet, as data: drawn from a seed, kept with a failure, replayed,
shortened.

Owns what a fault is and how schedules are drawn and made smaller; who plays them is somebody
else's business (`standin/fleet.py` on processes, `lab/fleet.py` on simulated time). Times are
seconds after the start.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from random import Random
from typing import Annotated, Literal, TypeVar, get_args

import msgspec
from msgspec import Meta, Struct

Kind = Literal[
    "kill",
    "vanish",
    "stop",
    "restart",
    "move",
    "leave",
    "join",
    "twin",
    "slow",
    "cut",
    "one_way",
    "lossy",
    "late",
    "doubled",
    "torn",
    "flipped",
    "stale",
]
KINDS: tuple[Kind, ...] = get_args(Kind)
OF_MEMBERS = frozenset(KINDS[:9])  # what happens to those it names, not to ways between them
Seconds = Annotated[float, Meta(ge=0.0, le=7200.0)]

# What a fault means for the members it names (`who`, by number): kill      the process dies; its
# port is refused from then on vanish    its machine dies: silence, and no refusal stop      it
# stands still for `span` and goes on with its old belief restart   it dies and comes back after
# `span`, as another run of its name move      the same, at another address leave     it ends in
# order join      it starts only now twin      a second process of its name starts, at another
# address slow      its core is taken: all it does is late by up to `amount` seconds and for ways
# between members, for `span`: cut       `parts` do not reach each other; who is in no part reaches
# nobody one_way   what `who` sends to `to` is lost lossy     `amount` of all datagrams is lost;
# late: delayed by up to `amount` seconds, and so reordered; doubled, torn, flipped: this part of
# them comes twice, cut short, with a bit turned; stale     this part comes again 2 s later


class Fault(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One fault."""

    at: Seconds
    kind: Kind
    who: tuple[int, ...] = ()
    to: tuple[int, ...] = ()
    parts: tuple[tuple[int, ...], ...] = ()
    span: Seconds = 0.0
    amount: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.0

    @property
    def ends(self) -> float:
        return self.at + self.span


class Schedule(Struct, frozen=True, forbid_unknown_fields=True):
    """One run: how many members, for how long, and what happens to them."""

    members: Annotated[int, Meta(ge=1, le=4096)]
    seconds: Seconds
    faults: tuple[Fault, ...] = ()
    seed: int = 0
    seeds: int = 3  # of the members, that everybody's file names
    refusing: bool = True  # whether a machine says so when nothing listens

    def quiet_from(self) -> float:
        """When the last fault has ended."""
        return max((fault.ends for fault in self.faults), default=0.0)


def read(text: str) -> Schedule:
    """A schedule from JSON. Raises msgspec.ValidationError that names the key."""
    return msgspec.json.decode(text, type=Schedule)


def text(schedule: Schedule) -> str:
    return json.dumps(msgspec.to_builtins(schedule), indent=1)


def split(chance: Random, members: range, count: int) -> tuple[tuple[int, ...], ...]:
    """Members in so many parts of any size, none empty."""
    order = list(members)
    chance.shuffle(order)
    bounds = sorted(chance.sample(range(1, len(order)), count - 1))
    return tuple(
        tuple(sorted(order[start:end])) for start, end in zip([0, *bounds], [*bounds, len(order)])
    )


def draw(
    seed: int,
    members: int,
    seconds: float,
    count: int = 4,
    after: float = 5.0,
    refusing: bool = True,
) -> Schedule:
    """Faults by chance, also over each other, between `after` and 12 s before the end."""
    chance = Random(f"faults/{seed}")
    faults: list[Fault] = []
    spare, everyone = list(range(3, members)), range(members)
    chance.shuffle(spare)

    def some(share: float) -> tuple[int, ...]:
        """Members that nothing else happens to: a fault of its own for each."""
        wanted = max(1, int(chance.random() * share * members))
        return tuple(spare.pop() for _ in range(min(wanted, len(spare))))

    for _ in range(count):
        kind = chance.choice(KINDS)
        at = round(chance.uniform(after, max(after, seconds - 18.0)), 2)
        span = round(chance.choice((0.5, 1.0, 2.0, 4.0, 6.0)), 2)
        if kind in ("kill", "vanish", "leave", "join", "twin"):
            fault = Fault(at, kind, some(0.3 if kind != "twin" else 0.0))
        elif kind in ("stop", "restart", "move", "slow"):
            amount = round(chance.uniform(0.05, 0.4), 2) if kind == "slow" else 0.0
            fault = Fault(at, kind, some(0.3), span=span, amount=amount)
        elif kind == "cut":
            parts = split(chance, everyone, chance.choice((2, 2, 3)) if members > 2 else 2)
            fault = Fault(at, kind, parts=parts, span=span)
        elif kind == "one_way":
            fault = Fault(
                at, kind, (chance.randrange(members),), (chance.randrange(members),), span=span
            )
        elif kind == "late":
            fault = Fault(at, kind, span=span, amount=round(chance.choice((0.05, 0.2, 3.0)), 2))
        else:
            fault = Fault(at, kind, span=span, amount=round(chance.uniform(0.02, 0.2), 2))
        if fault.who or kind not in OF_MEMBERS:
            faults.append(fault)
    ordered = tuple(sorted(faults, key=lambda fault: fault.at))
    return Schedule(members, seconds, ordered, seed, refusing=refusing)


def smaller(schedule: Schedule) -> Iterator[Schedule]:
    """Schedules that are a step smaller, the largest steps first."""
    faults = schedule.faults
    if len(faults) > 2:
        half = len(faults) // 2
        yield msgspec.structs.replace(schedule, faults=faults[:half])
        yield msgspec.structs.replace(schedule, faults=faults[half:])
    for index, fault in enumerate(faults):
        rest = faults[:index] + faults[index + 1 :]
        yield msgspec.structs.replace(schedule, faults=rest)
        for count in {1, len(fault.who) // 2} if len(fault.who) > 1 else ():
            fewer = msgspec.structs.replace(fault, who=fault.who[:count])
            yield msgspec.structs.replace(
                schedule, faults=(*faults[:index], fewer, *faults[index + 1 :])
            )
    named = [number for fault in faults for number in (*fault.who, *fault.to)]
    least = max([schedule.seeds, 2, *(number + 1 for number in named)])
    for members in sorted({least, schedule.members // 2, schedule.members - 1}):
        if least <= members < schedule.members:
            yield msgspec.structs.replace(
                schedule, members=members, faults=tuple(without(fault, members) for fault in faults)
            )


def without(fault: Fault, members: int) -> Fault:
    """The same fault in a fleet that has fewer members."""
    parts = (tuple(one for one in part if one < members) for part in fault.parts)
    return msgspec.structs.replace(fault, parts=tuple(part for part in parts if part))


def shrink(
    schedule: Schedule, fails: Callable[[Schedule], bool], most: int = 200
) -> tuple[Schedule, int]:
    """The smallest schedule found that still fails, and how many were tried."""
    return least(schedule, smaller, fails, most)


One = TypeVar("One")


def least(
    one: One, steps: Callable[[One], Iterator[One]], fails: Callable[[One], bool], most: int
) -> tuple[One, int]:
    """The smallest found by such steps that still fails, and how many were tried."""
    tried, again = 0, True
    while again and tried < most:
        again = False
        for other in steps(one):
            tried += 1
            if fails(other):
                one, again = other, True
                break
            if tried >= most:
                break
    return one, tried
