"""Shares the event loop among connections that have more work than one turn may take.

Invariant: in one iteration of the event loop deferred work takes `ROUND_NS` and one turn more at the
most, however much of it there is; whoever was deferred first continues first.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import perf_counter_ns

from whinpier.policy.decaying_sum import SECOND

# For one connection: some ten requests.
TURN_NS = SECOND // 1000
# For all deferred work in one iteration: what is read meanwhile waits for that long.
ROUND_NS = SECOND // 500


class Turn:
    """The time for which one connection may keep the event loop."""

    __slots__ = ("ends_at",)

    def __init__(self) -> None:
        """Begin now."""
        self.ends_at = perf_counter_ns() + TURN_NS

    def is_over(self) -> bool:
        """Tell whether others are to run first."""
        return perf_counter_ns() >= self.ends_at


class TurnQueue:
    """Continues deferred work in turns, a little in each iteration of the event loop."""

    def __init__(self) -> None:
        """Start with nothing deferred."""
        self.deferred: deque[Callable[[], None]] = deque()
        self.is_scheduled = False

    def defer(self, work: Callable[[], None]) -> None:
        """Call `work` in a later iteration; it must not raise."""
        self.deferred.append(work)
        self.schedule()

    def schedule(self) -> None:
        """Run a round in the next iteration, after what has arrived by then."""
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_round)

    def run_round(self) -> None:
        """Continue deferred work, each once, until the round's time is over."""
        self.is_scheduled = False
        ends_at = perf_counter_ns() + ROUND_NS
        for _ in range(len(self.deferred)):
            self.deferred.popleft()()
            if perf_counter_ns() >= ends_at:
                break
        if self.deferred:
            self.schedule()
