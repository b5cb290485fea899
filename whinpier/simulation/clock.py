"""Simulated time: an event queue with a stated, seeded order of what falls on the same nanosecond.

Owns the order of everything in a run. Must never read a real clock or draw from a generator that is
not its own: the same seed gives the same run, on any machine.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

SECOND = 1_000_000_000
MS = SECOND // 1000

Call = Callable[..., None]


class Clock:
    """Events by time; of those at one time a seeded draw says which is first: no order is relied on."""

    def __init__(self, seed: int, start: int = 1_000 * SECOND) -> None:
        self.now, self.start = start, start
        self.queue: list[tuple[int, float, int, Call, tuple[Any, ...]]] = []
        self.order = Random(f"order/{seed}").random
        self.number = 0
        self.events = 0

    def at(self, at: int, call: Call, *args: Any) -> None:
        """Have something happen at a time; what is past happens now."""
        self.number += 1
        heapq.heappush(self.queue, (max(at, self.now), self.order(), self.number, call, args))

    def after(self, span: int, call: Call, *args: Any) -> None:
        self.at(self.now + span, call, *args)

    def run(self, until: int) -> None:
        """Let everything happen up to a time, and no further."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, _, call, args = pop(queue)
            self.events += 1
            call(*args)
        self.now = max(self.now, until)

    def seconds(self) -> float:
        """Since the start."""
        return (self.now - self.start) / SECOND
