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
MARGIN = SECOND // 200  # a way to the client, five times over, where the loop is in time
MOST_LATE = SECOND // 10  # a fifth of the latency objectives that deployments have had
FORGET = 5 * SECOND  # a burst of work comes back within seconds, or is over


class Timed(Protocol):
    """Whoever is called by the loop, and is told the time before."""

    now: int


class Loop:
    """One clock, one heap of timers, one queue of calls."""

    def __init__(self, judge: Callable[[int, int], None] = lambda now, lag: None) -> None:
        # One clock on the scale of born_ms: set by the wall clock once, so that no step of that
        # disturbs it.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.now = self.clock()
        self.judge = judge  # told how late an timer rang, once a turn
        self.next_id, self.next_timer = numbers(1).__next__, numbers().__next__
        self.timers: list[tuple[int, int, Timed, Callable[..., None], tuple[Any, ...]]] = []
        self.sooner, self.ring_at = anyio.Event(), 0
        self.todo: deque[tuple[Timed, Callable[..., None], tuple[Any, ...]]] = deque()
        self.inside = False
        self.lag, self.late, self.late_at = 0, 0, self.now  # since the last figures; of late
        self.task_group: anyio.abc.TaskGroup

    def clock(self) -> int:
        return time.monotonic_ns() + self.offset

    def enter(self, host: Timed, call: Callable[..., None], *args: Any) -> None:
        """Call the decisions of a host, or have them called when the call that is on has ended."""
        self.todo.append((host, call, args))
        if self.inside:
            return
        self.inside = True
        try:
            while self.todo:
                host, call, args = self.todo.popleft()
                host.now = self.clock()
                try:
                    call(*args)
                except Exception:
                    self.faulty(call)
        finally:
            self.inside = False

    def faulty(self, call: Callable[..., None]) -> None:
        """A call has raised. One fault must not end the process: the request's end answers it."""
        log.exception("policy_call_failed", call=getattr(call, "__name__", call))

    def at(self, at: int, host: Timed, call: Callable[..., None], *args: Any) -> None:
        """Have something of a host called at a time."""
        heapq.heappush(self.timers, (at, self.next_timer(), host, call, args))
        if at < self.ring_at:
            self.ring_at = at
            self.sooner.set()

    async def ring(self) -> None:
        """Call what falls due."""
        begun = self.clock()  # what was due before is late by the start, not by the loop
        while True:
            now = self.clock()
            self.behind(max(0, now - max(begun, self.timers[0][0])) if self.timers else 0)
            while self.timers and self.timers[0][0] <= now:
                _, _, host, call, args = heapq.heappop(self.timers)
                self.enter(host, call, *args)
            self.sooner = anyio.Event()
            self.ring_at = self.timers[0][0] if self.timers else now + SECOND
            with anyio.move_on_after((self.ring_at - self.clock()) / SECOND):
                await self.sooner.wait()

    def behind(self, lag: int) -> None:
        """Note how late the loop is: the most of it, forgotten over some seconds."""
        self.lag = max(self.lag, lag)
        now = self.clock()
        self.late = max(lag, self.late * max(0, FORGET - (now - self.late_at)) // FORGET)
        self.late_at = now
        self.judge(now, lag)

    def margin(self) -> int:
        """How long before its client gives up a request is over here."""
        # Guards against a loop that is late under load: it has read the request late, and rings its
        # end late.
        return MARGIN + 2 * min(self.late, 2 * MOST_LATE)

    def spawn(self, run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        """Run a network task; its fault ends what it served, never the process."""
        self.task_group.start_soon(self.guarded, run, end)

    @staticmethod
    async def guarded(run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        try:
            await run()
        except Exception:
            log.exception("connection_task_failed")
            end()
