"""What is measured over time: sums that fade. Plain arithmetic, no decisions."""

from __future__ import annotations

from math import exp

SECOND = 1_000_000_000  # in nanoseconds, as all times are


class Sum:
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
