"""Decisions with a rule broken on purpose: what the lab must catch, and shrink."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from whinpier.model import GONE

if TYPE_CHECKING:
    from whinpier.lab.balancers import Balancer
    from whinpier.model import Task, Upstream


def repeats_exclusive(balancer: Balancer) -> None:
    """An exclusive task is sent again though it may have run."""
    again: Any = balancer.pool.choice.again
    again.may_have_run = lambda task: None


def ignores_drains(balancer: Balancer) -> None:
    """What drains goes on getting tasks, as if the list had not said so."""
    split = balancer.pool.choice.split
    listed: Callable[[list[Upstream]], None] = split.listed

    def all_ready(upstreams: list[Upstream]) -> None:
        for upstream in upstreams:
            upstream.state = "ready" if upstream.state != GONE else GONE
        listed(upstreams)

    split.listed = all_ready  # type: ignore[method-assign]


def forgets_answers(balancer: Balancer) -> None:
    """One task in fifty gets no answer."""
    pool = balancer.pool
    arrive = pool.choice.arrive
    count = 0

    def now_and_then(task: Task) -> None:
        nonlocal count
        count += 1
        if count % 50:
            arrive(task)
        else:
            task.ended = True

    pool.choice.arrive = now_and_then  # type: ignore[method-assign]


def floods_cold(balancer: Balancer) -> None:
    """Whoever has just started has the fewest out, and gets everything."""
    split: Any = balancer.pool.choice.split
    find = split.find

    def newest(task: Task) -> Any:
        ready = [seen for seen in split.ready if seen.upstream.started and seen.upstream.state == "ready"
                 and not task.hand_offs]
        return max(ready, key=lambda seen: seen.upstream.started, default=None) or find(task)

    split.find = newest


MUTATIONS: dict[str, Callable[[Balancer], None]] = {
    "repeats_exclusive": repeats_exclusive, "ignores_drains": ignores_drains,
    "forgets_answers": forgets_answers, "floods_cold": floods_cold}
