"""Plain policies beside the project's own, and one that sees the true state: what the decisions are
held to.

They differ in which upstream is drawn; the rules on repeats and drains, and what is rejected
when nothing may be sent to, are the project's own, so that what is compared is the draw.
"""

from __future__ import annotations

from bisect import bisect
from collections import deque
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import TYPE_CHECKING, Any

from whinpier.policy.model import Request, UpstreamState
from whinpier.policy.policy import Policy, UpstreamSelector
from whinpier.policy.statistics import UpstreamStatistics
from whinpier.simulation.clock import SECOND

if TYPE_CHECKING:
    from whinpier.runtime.pool import Pool
    from whinpier.simulation.clock import Clock
    from whinpier.simulation.servers import Server


class Plain(UpstreamSelector):
    """Draws without shares or room; `select` is all that differs."""

    def allowed(self, request: Request) -> list[UpstreamStatistics]:
        """Those that the rules let a request go to; none that it was at already."""
        again = self.policy.retry_policy
        return [
            seen
            for seen in self.ready
            if seen.upstream.state == UpstreamState.READY
            and not any(sent.upstream is seen.upstream for sent in request.attempts)
            and (not request.attempts or again.allows_upstream(request, seen.upstream))
        ]

    def subset_size(self, count: int) -> int:
        return count


class Random(Plain):
    """Any of them."""

    def select(self, request: Request) -> UpstreamStatistics | None:
        allowed = self.allowed(request)
        return self.random_choice(allowed) if allowed else None


class RoundRobin(Plain):
    """One after the other."""

    turn = 0

    def select(self, request: Request) -> UpstreamStatistics | None:
        allowed = self.allowed(request)
        if not allowed:
            return None
        self.turn += 1
        return allowed[self.turn % len(allowed)]


class LeastOut(Plain):
    """The one with the fewest of this balancer's own out; chance among equals."""

    def select(self, request: Request) -> UpstreamStatistics | None:
        return min(
            self.allowed(request), key=lambda seen: (seen.in_flight, self.random()), default=None
        )


class TwoChoices(Plain):
    """The one with fewer out of two drawn."""

    def select(self, request: Request) -> UpstreamStatistics | None:
        allowed = self.allowed(request)
        if not allowed:
            return None
        return min(
            self.random_choice(allowed),
            self.random_choice(allowed),
            key=lambda seen: seen.in_flight,
        )


class JoinIdle(Plain):
    """One with nothing of this balancer's out, else any."""

    def select(self, request: Request) -> UpstreamStatistics | None:
        allowed = self.allowed(request)
        idle = [seen for seen in allowed if not seen.in_flight]
        return self.random_choice(idle or allowed) if allowed else None


def done_after(work: float, backlog: float, capacity: float, cores: int) -> float:
    """Seconds until a request is done: what is ahead of it and fills the cores, then itself on one
    of them.
    """
    return max(0.0, backlog - work * (cores - 1)) / capacity + work * cores / capacity


class Oracle(Plain):
    """Sees every upstream as it is: the one that would be done first, if that is in time."""

    def select(self, request: Request) -> UpstreamStatistics | None:
        work = getattr(request, "work", 0.0)
        best, least = None, float("inf")
        for seen in self.allowed(request):
            link: Any = seen.upstream
            server = link.server
            capacity = server.capacity() if not link.cut() else 0.0
            if capacity <= 0.0:
                continue
            wait = done_after(work, server.backlog(), capacity, server.machine.cores)
            if server.failing:
                wait += server.failing * 10.0
            if wait < least:
                best, least = seen, wait
        # What would be late it holds or rejects: in a surge a queue of late requests serves
        # nobody.
        left = (
            request.arrived_at + request.request_class.latency_objective - self.host.now
        ) / SECOND
        return best if least < max(left, 0.0) else None


class LateOracle(Plain):
    """Sees every upstream as it was a while ago: of three drawn by what they could do, the
    soonest done.
    """

    sight: Sight

    def select(self, request: Request) -> UpstreamStatistics | None:
        allowed, seen_then = self.allowed(request), self.sight.then()
        work = getattr(request, "work", 0.0)
        sums = list(
            accumulate(
                seen_then.get(getattr(seen.upstream, "host"), NOTHING)[0] for seen in allowed
            )
        )
        if not sums or sums[-1] <= 0.0:
            return None
        best, least = None, float("inf")
        for _ in range(3):
            seen = allowed[min(bisect(sums, self.random() * sums[-1]), len(allowed) - 1)]
            capacity, backlog, cores = seen_then.get(getattr(seen.upstream, "host"), NOTHING)
            if capacity > 0.0:
                # Of what was sent since then it knows its own only.
                own = seen.in_flight * work
                wait = done_after(work, backlog + own, capacity, cores)
                if wait < least:
                    best, least = seen, wait
        left = (
            request.arrived_at + request.request_class.latency_objective - self.host.now
        ) / SECOND
        return best if least < max(left, 0.0) else None


NOTHING = (0.0, 0.0, 1)


class Sight:
    """The true state of all upstreams as it was `late` seconds ago, looked at four times a second."""

    def __init__(self, clock: Clock, servers: Mapping[str, Server], late: float) -> None:
        self.clock, self.servers, self.late = clock, servers, int(late * SECOND)
        self.kept: deque[tuple[int, dict[str, tuple[float, float, int]]]] = deque()
        self.look()

    def look(self) -> None:
        now = self.clock.now
        self.kept.append(
            (
                now,
                {
                    name: (
                        server.capacity() * (1.0 - server.failing),
                        server.backlog(),
                        server.machine.cores,
                    )
                    for name, server in self.servers.items()
                },
            )
        )
        while len(self.kept) > 1 and self.kept[1][0] <= now - self.late:
            self.kept.popleft()
        self.clock.after(SECOND // 4, self.look)

    def then(self) -> dict[str, tuple[float, float, int]]:
        return self.kept[0][1]


POLICIES: dict[str, Callable[[Policy, dict[str, Any], int], UpstreamSelector]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_out": LeastOut,
    "two_choices": TwoChoices,
    "join_idle": JoinIdle,
    "oracle": Oracle,
    "late_oracle": LateOracle,
}


def dressed(pool: Pool, name: str, seed: int, sight: Sight | None) -> Pool:
    """A pool that draws by another policy than the project's."""
    if name != "choice":
        split = POLICIES[name](pool.policy, pool.spec.settings, seed)
        if isinstance(split, LateOracle) and sight:
            split.sight = sight
        pool.policy.selector = split
    return pool
