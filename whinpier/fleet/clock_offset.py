"""Estimate of the fleet's wall-clock time, with bounds of its error.

Single wall clocks may be wrong by an hour, or step. Each member sends its own with its datagrams;
the answer to a ping bounds the other member's clock by the times at which the ping was sent and the
answer arrived. The fleet's time is the narrowest interval that holds a majority of the clocks
(intersection of intervals, as in Marzullo's algorithm).

Times are nanoseconds: `now` on this process's clock, wall-clock times since the epoch. An offset is
what has to be added to this process's clock to get a wall-clock time.

Invariants: one wrong clock never moves the fleet's time, and where other clocks were known before,
the time is never taken for exact by one clock alone. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from whinpier.policy.decaying_sum import SECOND

SAMPLE_LIFETIME = 60 * SECOND  # several rounds of pings in a fleet of two hundred
MARGIN = SECOND // 20  # on either side, for a late event loop
# Assumed drift of a clock: one part in this many (0.05 %), five times what hardware does.
DRIFT_DIVISOR = 2_000


class Clocks:
    """The offsets of the members' wall clocks, as far as this member knows them."""

    def __init__(self, own: int) -> None:
        """Begin with this machine's wall clock alone, whose offset is `own`."""
        self.own = own
        self.samples: dict[int, tuple[int, int, int]] = {}  # by member: lowest, highest, time
        self.low = self.high = own
        self.sample_count = 0  # clocks behind the estimate, this machine's among them
        self.updated_at = 0

    def on_sample(self, member: int, low: int, high: int, now: int) -> None:
        """Take in that the offset of a member's wall clock is between `low` and `high`."""
        previous = self.samples.get(member)
        if previous is not None:
            # The narrower interval is kept, unless the two contradict: then the clock has stepped.
            previous_low, previous_high, previous_at = previous
            widening = 2 * (now - previous_at) // DRIFT_DIVISOR
            overlap = previous_low - widening <= high and low <= previous_high + widening
            if overlap and previous_high - previous_low + widening < high - low:
                return
        self.samples[member] = low, high, now

    def update(self, now: int, members: Iterable[int]) -> None:
        """Estimate anew, from the clocks of these members and this machine's own."""
        included = set(members)
        self.samples = {
            member: sample
            for member, sample in self.samples.items()
            if member in included and now - sample[2] < SAMPLE_LIFETIME
        }
        intervals = [(self.own, self.own)]
        for low, high, at in self.samples.values():
            widening = (now - at) // DRIFT_DIVISOR
            intervals.append((low - widening, high + widening))
        low, high = narrowest_majority_interval(intervals)
        self.sample_count = min(self.sample_count, 1 + len(included))
        if len(intervals) <= self.sample_count // 2:
            # A member that is cut off would go by its own clock alone. Until it hears from the
            # others again, both the last estimate and its own clock may be right.
            widening = (now - self.updated_at) // DRIFT_DIVISOR
            low = min(low, self.low - widening)
            high = max(high, self.high + widening)
        else:
            self.sample_count = len(intervals)
        self.low = low
        self.high = high
        self.updated_at = now

    def between(self, now: int) -> tuple[int, int]:
        """Return the earliest and the latest wall-clock time that it may be at `now`."""
        return now + self.low - MARGIN, now + self.high + MARGIN


def narrowest_majority_interval(intervals: list[tuple[int, int]]) -> tuple[int, int]:
    """Return the narrowest interval that contains a majority of the given ones as a whole."""
    majority = len(intervals) // 2 + 1
    best = min(low for low, _ in intervals), max(high for _, high in intervals)
    for start in {low for low, _ in intervals}:
        ends = sorted(high for low, high in intervals if low >= start)
        if len(ends) >= majority and ends[majority - 1] - start < best[1] - best[0]:
            best = start, ends[majority - 1]
    return best
