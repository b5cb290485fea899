"""Plain policies beside the project's own, and one that sees the true state: what the decisions are held to.

They differ in which upstream is drawn; the rules on repeats and drains, and what is turned back when nothing
may be sent to, are the project's own, so that what is compared is the draw.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from whinpier.choice import Choice, Seen, Split
from whinpier.lab.clock import SECOND
from whinpier.model import READY, Task

if TYPE_CHECKING:
    from whinpier.lab.balancers import Balancer


class Plain(Split):
    """Draws without shares or room; `find` is all that differs."""

    balancer: Balancer

    def allowed(self, task: Task) -> list[Seen]:
        """Those that the rules let a task go to; none that it was at already."""
        again = self.choice.again
        return [seen for seen in self.ready if seen.upstream.state == READY
                and not any(sent.upstream is seen.upstream for sent in task.hand_offs)
                and (not task.hand_offs or again.fits(task, seen.upstream))]

    def want(self, count: int) -> int:
        return count


class Random(Plain):
    """Any of them."""

    def find(self, task: Task) -> Seen | None:
        allowed = self.allowed(task)
        return self.pick(allowed) if allowed else None


class RoundRobin(Plain):
    """One after the other."""

    turn = 0

    def find(self, task: Task) -> Seen | None:
        allowed = self.allowed(task)
        if not allowed:
            return None
        self.turn += 1
        return allowed[self.turn % len(allowed)]


class LeastOut(Plain):
    """The one with the fewest of this balancer's own out; chance among equals."""

    def find(self, task: Task) -> Seen | None:
        return min(self.allowed(task), key=lambda seen: (seen.out, self.random()), default=None)


class TwoChoices(Plain):
    """The one with fewer out of two drawn."""

    def find(self, task: Task) -> Seen | None:
        allowed = self.allowed(task)
        if not allowed:
            return None
        return min(self.pick(allowed), self.pick(allowed), key=lambda seen: seen.out)


class JoinIdle(Plain):
    """One with nothing of this balancer's out, else any."""

    def find(self, task: Task) -> Seen | None:
        allowed = self.allowed(task)
        idle = [seen for seen in allowed if not seen.out]
        return self.pick(idle or allowed) if allowed else None


class Oracle(Plain):
    """Sees every upstream as it is: the one that would be done first, if that is in time."""

    def find(self, task: Task) -> Seen | None:
        world, work = self.balancer.world, getattr(task, "work", 0.0)
        best, least = None, float("inf")
        for seen in self.allowed(task):
            server = world.servers[getattr(seen.upstream, "host")]
            capacity = server.capacity() if not world.cut(self.balancer, server) else 0.0
            if capacity <= 0.0:
                continue
            # What is ahead of it and fills the cores, then itself on one of them.
            cores = server.machine.cores
            wait = max(0.0, server.backlog() - work * (cores - 1)) / capacity + work * cores / capacity
            if server.failing:
                wait += server.failing * 10.0
            if wait < least:
                best, least = seen, wait
        # What would be late it holds or turns back: in a surge a queue of late tasks serves nobody.
        left = (task.came + task.workload.agreed_time - world.clock.now) / SECOND
        return best if least < max(left, 0.0) else None


POLICIES: dict[str, Callable[[Choice, dict[str, Any], int], Split]] = {
    "random": Random, "round_robin": RoundRobin, "least_out": LeastOut, "two_choices": TwoChoices,
    "join_idle": JoinIdle, "oracle": Oracle}


def dress(balancer: Balancer, name: str, seed: int) -> None:
    """Have a balancer draw by another policy than the project's."""
    if name == "choice":
        return
    choice, settings = balancer.pool.choice, balancer.pool.spec.settings
    split = POLICIES[name](choice, settings, seed)
    if isinstance(split, Plain):
        split.balancer = balancer
    choice.split = split
