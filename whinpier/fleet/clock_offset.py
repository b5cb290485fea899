"""Decides what time of day it is for the whole fleet, and how sure of it this member is.

Wall clocks may be wrong by an hour, or step. Each member tells its own with what it sends; an
answer to a ping bounds the other's clock by when the ping went and when the answer came. The
fleet's time is where a majority lies closest together, and it may be off by as far as that
majority lies apart. Free of I/O: times are nanoseconds, `now` of this process's clock, walls
since the epoch. Must never let one wrong clock move the fleet's time, or call sure what only one
clock says when others were heard before.
"""

from __future__ import annotations

from collections.abc import Iterable

from whinpier.policy.decaying_sum import SECOND

KEPT = 60 * SECOND  # that a word on a clock counts: some turns of pings in a fleet of two hundred
MARGIN = SECOND // 20  # a late loop, on either side
DRIFT = 2_000  # a clock runs wrong by a part of this at most: 0.05 %, five times what hardware does


class Clocks:
    """What this member knows of the others' clocks, as what is to be added to its own."""

    def __init__(self, own: int) -> None:
        """`own`: this machine's wall clock less the process's clock."""
        self.own = own
        self.told: dict[int, tuple[int, int, int]] = {}  # by member: lowest, highest, when
        self.low = self.high = own
        self.voices, self.at = 0, 0

    def heard(self, member: int, low: int, high: int, now: int) -> None:
        """A member's wall clock is `low` to `high` ahead of this process's clock."""
        before = self.told.get(member)
        if before is not None:
            # The narrower word of late holds; one that contradicts it tells of a step.
            wide = 2 * (now - before[2]) // DRIFT
            meet = before[0] - wide <= high and low <= before[1] + wide
            if meet and before[1] - before[0] + wide < high - low:
                return
        self.told[member] = low, high, now

    def settle(self, now: int, members: Iterable[int]) -> None:
        """Look anew, at the clocks of these members and the own one."""
        those = set(members)
        self.told = {
            who: one for who, one in self.told.items() if who in those and now - one[2] < KEPT
        }
        found = [(self.own, self.own)]
        for low, high, at in self.told.values():
            more = (now - at) // DRIFT
            found.append((low - more, high + more))
        low, high = closest(found)
        self.voices = min(self.voices, 1 + len(those))
        if len(found) <= self.voices // 2:
            # Guards against one that is cut off, and whose own clock then has the only voice: until
            # it hears the others again both what they said and what it says itself may be true.
            more = (now - self.at) // DRIFT
            low, high = min(low, self.low - more), max(high, self.high + more)
        else:
            self.voices = len(found)
        self.low, self.high, self.at = low, high, now

    def between(self, now: int) -> tuple[int, int]:
        """The earliest and the latest that it may be just now, in nanoseconds since the epoch."""
        return now + self.low - MARGIN, now + self.high + MARGIN


def closest(found: list[tuple[int, int]]) -> tuple[int, int]:
    """The narrowest span that holds a majority of these, each whole."""
    needed = len(found) // 2 + 1
    best = min(low for low, _ in found), max(high for _, high in found)
    for start in {low for low, _ in found}:
        ends = sorted(high for low, high in found if low >= start)
        if len(ends) >= needed and ends[needed - 1] - start < best[1] - best[0]:
            best = start, ends[needed - 1]
    return best
