"""What is measured and dealt out over time: sums that fade, turns. Plain arithmetic, no decisions."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

SECOND = 1_000_000_000  # in nanoseconds, as all times are


class DecayingSum:
    """A sum whose parts fade with age; brought up to date when read."""

    __slots__ = ("span", "value", "at", "begun")

    def __init__(self, span: int, now: int) -> None:
        self.span, self.value, self.at, self.begun = span, 0.0, now, now

    def read(self, now: int) -> float:
        if now > self.at:
            self.value *= exp((self.at - now) / self.span)
            self.at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        if now > self.at:
            self.value = self.value * exp((self.at - now) / self.span) + amount
            self.at = now
        else:
            self.value += amount

    def rate(self, now: int) -> float:
        """Parts a second, made up for the time before the first one could come."""
        seen = max(now - self.begun, SECOND // 10)
        return self.read(now) * SECOND / (self.span * (1.0 - exp(-seen / self.span)))


class Pacer:
    """Deals out a stated number over each span of time, one by one; of a part of one, one comes
    by chance.

    Many that deal out parts of one number independently keep their sum, which each rounding up
    would not. What is not used by the next turn lapses: no store is left to be used by all at
    once.
    """

    __slots__ = ("open", "ends")

    def __init__(self, ends: int) -> None:
        self.open, self.ends = False, ends

    def due(self, now: int, span: int, number: float, chance: Callable[[], float]) -> bool:
        """Whether one may be taken now; whoever takes it closes the turn."""
        if now >= self.ends:
            self.open, self.ends = chance() < number, now + int(span / max(1.0, number))
        return self.open
