"""Shares the event loop among connections that have more work than one turn may take.

Invariant: in one iteration of the event loop all turns together take `ITERATION_NS`, and one step each
beyond that, however many connections have work; who was deferred first continues first.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import perf_counter_ns

from whinpier.policy.decaying_sum import SECOND

# For one connection: some ten requests.
TURN_NS = SECOND // 1000
# For deferred work in one iteration of the event loop.
ROUND_NS = SECOND // 500
# For all turns in one iteration: what arrives meanwhile waits for that long.
ITERATION_NS = SECOND // 250


class Turn:
    """The time for which one connection may keep the event loop."""

    __slots__ = ("ends_at",)

    def __init__(self, ends_at: int) -> None:
        """End at this time of `perf_counter_ns`."""
        self.ends_at = ends_at

    def is_over(self) -> bool:
        """Tell whether others are to run first."""
        return perf_counter_ns() >= self.ends_at


class TurnQueue:
    """Hands out turns, and continues deferred work a little in each iteration of the event loop."""

    def __init__(self) -> None:
        """Start with nothing deferred."""
        self.deferred: deque[Callable[[], None]] = deque()
        self.is_scheduled = False
        self.iteration_ends_at = 0  # 0: no turn has begun in this iteration of the event loop

    def begin_turn(self) -> Turn:
        """Return a turn that begins now; it is over at once where this iteration's time is used up."""
        now = perf_counter_ns()
        if not self.iteration_ends_at:
            self.iteration_ends_at = now + ITERATION_NS
            self.schedule()
        return Turn(min(now + TURN_NS, self.iteration_ends_at))

    def defer(self, work: Callable[[], None]) -> None:
        """Call `work` in a later iteration; it must not raise."""
        self.deferred.append(work)
        self.schedule()

    def schedule(self) -> None:
        """Begin the next iteration with a round, after what has arrived by then was looked up."""
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_round)

    def run_round(self) -> None:
        """Continue deferred work, each once, until the round's time is over."""
        self.is_scheduled = False
        self.iteration_ends_at = 0
        ends_at = perf_counter_ns() + ROUND_NS
        for _ in range(len(self.deferred)):
            self.deferred.popleft()()
            if perf_counter_ns() >= ends_at:
                break
        if self.deferred:
            self.schedule()
