"""The worlds in which sharing a limit is explored, whole or by walks, and each fault has to be found."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from whinpier.check.explore import Found, every, replay, shorter, walk
from whinpier.check.sharefaults import FAULTS
from whinpier.check.shares import Sharing, Wishing

Make = Callable[[type[Wishing]], Sharing]


@dataclass(frozen=True)
class Days:
    """One kind of world, and how it is gone through."""

    what: str
    make: Make
    depth: int = 0  # every order up to so many steps; 0: walks
    most: int = 400_000


WHOLE = (
    Days("renewing: 2 members, limit 2, every order of messages, losses and times",
         lambda cls: Sharing(2, 2, 2, 18, 0, 0, cls, tasks=False).lent(), 60),
    Days("messages: 2 members, limit 2, needs that change, to 9 steps",
         lambda cls: Sharing(2, 2, 2, 4, 0, 1, cls, tasks=False), 9),
    Days("2 members, limit 2, tasks, a crash, to 7 steps", lambda cls: Sharing(2, 2, 2, 3, 1, 0, cls), 7),
)
WALKS = (
    Days("2 members, limit 2, tasks, crashes", lambda cls: Sharing(2, 2, 4, 160, 2, 20, cls)),
    Days("3 members, limit 3, tasks, crashes", lambda cls: Sharing(3, 3, 6, 160, 2, 20, cls)),
    Days("2 members, limit 4, messages alone", lambda cls: Sharing(2, 4, 5, 200, 0, 40, cls, tasks=False)),
    Days("3 members, limit 3, messages alone", lambda cls: Sharing(3, 3, 6, 200, 0, 40, cls, tasks=False)),
)


def gone_through(days: Days, cls: type[Wishing] = Wishing, steps: int = 100_000, seed: int = 1) -> Found:
    if days.depth:
        return every(days.make(cls), days.depth, days.most)
    return walk(lambda _: days.make(cls), seed, steps, 500)


def found(name: str, steps: int = 100_000) -> tuple[Days, str, list[str]] | None:
    """Where a fault shows first, what breaks, and the shortest path found to it."""
    cls = FAULTS[name]
    # Walks find most of them sooner; what hangs on one order of many is left to the whole exploration.
    for days in (WALKS[0], WALKS[3], WALKS[2], WALKS[1], WHOLE[0]):
        result = gone_through(days, cls, steps)
        if result.broken:
            path = shorter(lambda: days.make(cls), result.path)
            return days, replay(days.make(cls), path), path
    return None
