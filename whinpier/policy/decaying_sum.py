"""Exponentially decaying sums and a pacer: plain arithmetic over time, no decisions."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

SECOND = 1_000_000_000  # nanoseconds, the unit of all times


class DecayingSum:
    """A sum whose parts decay exponentially with age, by 1/e in each `span` nanoseconds."""

    __slots__ = ("span", "started_at", "updated_at", "value")

    def __init__(self, span: int, now: int) -> None:
        """Start an empty sum at `now`."""
        self.span = span
        self.value = 0.0
        self.updated_at = now
        self.started_at = now

    def read(self, now: int) -> float:
        """Return the sum, decayed up to `now`."""
        if now > self.updated_at:
            self.value *= exp((self.updated_at - now) / self.span)
            self.updated_at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        """Add a part that is as old as `now`; parts from the past count as new."""
        if now > self.updated_at:
            self.value = self.value * exp((self.updated_at - now) / self.span) + amount
            self.updated_at = now
        else:
            self.value += amount

    def rate(self, now: int) -> float:
        """Return the parts per second, corrected for the sum having started empty."""
        # At least 100 ms: a first part right after the start is no high rate.
        elapsed = max(now - self.started_at, SECOND // 10)
        return self.read(now) * SECOND / (self.span * (1.0 - exp(-elapsed / self.span)))


class Pacer:
    """Issues permits one by one, a given number in each span of time.

    Of a number below one, a permit is issued with that probability, so that many pacers that
    share a number independently keep to their total; rounding up at each would not. A permit that
    isn't used by the time of the next one lapses: they can't be saved up for a burst.
    """

    __slots__ = ("has_permit", "next_at")

    def __init__(self, next_at: int) -> None:
        """Issue the first permit at `next_at`."""
        self.has_permit = False
        self.next_at = next_at

    def poll(self, now: int, span: int, number: float, random: Callable[[], float]) -> bool:
        """Return whether there is a permit at `now`; whoever uses it sets `has_permit` to False."""
        if now >= self.next_at:
            self.has_permit = random() < number
            self.next_at = now + int(span / max(1.0, number))
        return self.has_permit
