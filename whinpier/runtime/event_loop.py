"""Owns the clock, the timer heap, the one way into the decisions, and how late all of it is.

Must never call the decisions from inside one of their calls, nor let a fault in one call end the
process.
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

MS = SECOND // 1000
BASE_DEADLINE_MARGIN = (
    SECOND // 200
)  # a way to the client, five times over, where the loop is in time
MAX_LAG = SECOND // 10  # a fifth of the latency objectives that deployments have had
LAG_MEMORY = 5 * SECOND  # a burst of work comes back within seconds, or is over


class TimerHost(Protocol):
    """Whoever is called by the loop, and is told the time before."""

    now: int


class EventLoop:
    """One clock, one heap of timers, one queue of calls."""

    def __init__(self, judge: Callable[[int, int], None] = lambda now, lag: None) -> None:
        # One clock on the scale of born_ms: set by the wall clock once, so that no step of that
        # disturbs it.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.now = self.clock()
        self.on_lag = judge  # told how late an timer rang, once a turn
        self.next_id, self.next_timer = numbers(1).__next__, numbers().__next__
        self.timers: list[tuple[int, int, TimerHost, Callable[..., None], tuple[Any, ...]]] = []
        self.wakeup, self.wakeup_at = anyio.Event(), 0
        self.pending_calls: deque[tuple[TimerHost, Callable[..., None], tuple[Any, ...]]] = deque()
        self.running = False
        self.max_lag, self.recent_lag, self.recent_lag_at = (
            0,
            0,
            self.now,
        )  # since the last figures; of late
        self.task_group: anyio.abc.TaskGroup

    def clock(self) -> int:
        return time.monotonic_ns() + self.offset

    def dispatch(self, host: TimerHost, call: Callable[..., None], *args: Any) -> None:
        """Call the decisions of a host, or have them called when the call that is on has ended."""
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
        """A call has raised. One fault must not end the process: the request's end answers it."""
        log.exception("policy_call_failed", call=getattr(call, "__name__", call))

    def call_at(self, at: int, host: TimerHost, call: Callable[..., None], *args: Any) -> None:
        """Have something of a host called at a time."""
        heapq.heappush(self.timers, (at, self.next_timer(), host, call, args))
        if at < self.wakeup_at:
            self.wakeup_at = at
            self.wakeup.set()

    async def run_timers(self) -> None:
        """Call what falls due."""
        begun = self.clock()  # what was due before is late by the start, not by the loop
        while True:
            now = self.clock()
            self.record_lag(max(0, now - max(begun, self.timers[0][0])) if self.timers else 0)
            while self.timers and self.timers[0][0] <= now:
                _, _, host, call, args = heapq.heappop(self.timers)
                self.dispatch(host, call, *args)
            self.wakeup = anyio.Event()
            self.wakeup_at = self.timers[0][0] if self.timers else now + SECOND
            with anyio.move_on_after((self.wakeup_at - self.clock()) / SECOND):
                await self.wakeup.wait()

    def record_lag(self, lag: int) -> None:
        """Note how late the loop is: the most of it, forgotten over some seconds."""
        self.max_lag = max(self.max_lag, lag)
        now = self.clock()
        self.recent_lag = max(
            lag, self.recent_lag * max(0, LAG_MEMORY - (now - self.recent_lag_at)) // LAG_MEMORY
        )
        self.recent_lag_at = now
        self.on_lag(now, lag)

    def deadline_margin(self) -> int:
        """How long before its client gives up a request is over here."""
        # Guards against a loop that is late under load: it has read the request late, and rings its
        # end late.
        return BASE_DEADLINE_MARGIN + 2 * min(self.recent_lag, 2 * MAX_LAG)

    def spawn(self, run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        """Run a network task; its fault ends what it served, never the process."""
        self.task_group.start_soon(self.run_guarded, run, end)

    @staticmethod
    async def run_guarded(run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        try:
            await run()
        except Exception:
            log.exception("connection_task_failed")
            end()
