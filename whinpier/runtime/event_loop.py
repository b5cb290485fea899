"""Runs the process's timers and dispatches calls into the policies, on one clock.

Measures how late the loop is, so that requests end early enough and load is shed.

Invariants: the policy is never called from inside one of its own calls, and an exception in one
call never ends the process.
"""

from __future__ import annotations

import heapq
import time
from collections import deque
from collections.abc import Awaitable, Callable
from itertools import count as numbers
from typing import Any, Protocol

import anyio
import anyio.abc

from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.runtime.turn_queue import TurnQueue

# All times and durations are in nanoseconds.
MS = SECOND // 1000
# Five times the network delay to a client.
BASE_DEADLINE_MARGIN = SECOND // 200
# A fifth of the latency objectives that deployments have had.
MAX_LAG = SECOND // 10
# Long enough that bursts that recur within seconds are still remembered.
LAG_MEMORY = 5 * SECOND


class TimerHost(Protocol):
    """An object whose methods the loop calls, after setting its `now`."""

    now: int


class EventLoop:
    """One clock, one heap of timers and one queue of calls."""

    def __init__(self, on_lag: Callable[[int, int], None] = lambda _now, _lag: None) -> None:
        """Start with no timers; `on_lag(now, lag)` is called on each round of the timers."""
        # Read the wall clock once: later steps of it must not move the loop's time, which is on the
        # scale of the discovery field born_ms.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.now = self.clock()
        self.on_lag = on_lag
        self.next_id = numbers(1).__next__
        self.next_timer = numbers().__next__
        self.timers: list[tuple[int, int, TimerHost, Callable[..., None], tuple[Any, ...]]] = []
        self.wakeup = anyio.Event()
        self.wakeup_at = 0
        self.pending_calls: deque[tuple[TimerHost, Callable[..., None], tuple[Any, ...]]] = deque()
        self.running = False
        self.turns = TurnQueue()
        self.timers_run_at = self.now  # last
        self.max_lag = 0  # since the last line of metrics
        self.recent_lag = 0  # decays over LAG_MEMORY
        self.recent_lag_at = self.now
        self.task_group: anyio.abc.TaskGroup

    def clock(self) -> int:
        """Return the time in nanoseconds since the epoch; never runs backwards."""
        return time.monotonic_ns() + self.offset

    def dispatch(self, host: TimerHost, call: Callable[..., None], *args: Any) -> None:
        """Call a method of `host`, now or after the call that is running."""
        self.pending_calls.append((host, call, args))
        if self.running:
            return
        self.running = True
        try:
            while self.pending_calls:
                host, call, args = self.pending_calls.popleft()
                host.now = self.clock()
                try:
                    call(*args)
                except Exception:
                    self.on_call_failed(call)
        finally:
            self.running = False

    def on_call_failed(self, call: Callable[..., None]) -> None:
        """Log an exception of a call; a request that it leaves open is answered at its deadline."""
        log.exception("policy_call_failed", call=getattr(call, "__name__", call))

    def call_at(self, at: int, host: TimerHost, call: Callable[..., None], *args: Any) -> None:
        """Dispatch a call at the time `at`, or soon after."""
        heapq.heappush(self.timers, (at, self.next_timer(), host, call, args))
        if at < self.wakeup_at:
            self.wakeup_at = at
            self.wakeup.set()

    async def run_timers(self) -> None:
        """Dispatch timers as they fall due, until cancelled."""
        # Timers that fell due before the loop ran count as late from this point on.
        started_at = self.clock()
        while True:
            now = self.clock()
            self.record_lag(max(0, now - max(started_at, self.timers[0][0])) if self.timers else 0)
            while self.timers and self.timers[0][0] <= now:
                _, _, host, call, args = heapq.heappop(self.timers)
                self.dispatch(host, call, *args)
            self.timers_run_at = self.clock()
            self.wakeup = anyio.Event()
            self.wakeup_at = self.timers[0][0] if self.timers else now + SECOND
            with anyio.move_on_after((self.wakeup_at - self.clock()) / SECOND):
                await self.wakeup.wait()

    def record_lag(self, lag: int) -> None:
        """Record how late a timer fired: the maximum, which decays over LAG_MEMORY."""
        self.max_lag = max(self.max_lag, lag)
        now = self.clock()
        self.recent_lag = max(
            lag, self.recent_lag * max(0, LAG_MEMORY - (now - self.recent_lag_at)) // LAG_MEMORY
        )
        self.recent_lag_at = now
        self.on_lag(now, lag)

    def deadline_margin(self) -> int:
        """Return how long before its client's deadline a request ends here."""
        # A late loop has read the request late and fires its deadline late.
        return BASE_DEADLINE_MARGIN + 2 * min(self.recent_lag, 2 * MAX_LAG)

    def spawn(self, run: Callable[[], Awaitable[None]], on_failure: Callable[[], None]) -> None:
        """Run a task; an exception in it calls `on_failure` and never ends the process."""
        self.task_group.start_soon(self.run_guarded, run, on_failure)

    @staticmethod
    async def run_guarded(
        run: Callable[[], Awaitable[None]], on_failure: Callable[[], None]
    ) -> None:
        """Run a task, log an exception of it and call `on_failure` then."""
        try:
            await run()
        except Exception:
            log.exception("connection_task_failed")
            on_failure()
