"""How worlds are gone through, whole or by walks, and where a fault that is put in shows first."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from whinpier.model_checking.explore import Found, World, every, replay, shorter, walk

Make = Callable[[Any], World]  # of the class of the party that is looked at


@dataclass(frozen=True)
class Days:
    """One kind of world, and how it is gone through."""

    what: str
    make: Make
    depth: int = 0  # every order up to so many steps; 0: walks
    most: int = 400_000
    length: int = 500  # of a walk
    fair: bool = False  # whether a walk draws the kind of a step first

    def gone_through(self, cls: Any, steps: int = 100_000, seed: int = 1) -> Found:
        if self.depth:
            return every(self.make(cls), self.depth, self.most)
        return walk(lambda _: self.make(cls), seed, steps, self.length, self.fair)


def found(those: Iterable[Days], cls: Any, steps: int) -> tuple[Days, str, list[str]] | None:
    """Where a fault shows first, what breaks, and the shortest path found to it."""
    for days in those:
        result = days.gone_through(cls, steps)
        if result.broken:
            path = shorter(lambda: days.make(cls), result.path)
            return days, replay(days.make(cls), path), path
    return None
