"""Decisions with a rule broken on purpose: what the lab must catch, and shrink."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from whinpier.policy.model import UpstreamState

if TYPE_CHECKING:
    from whinpier.policy.model import Request, Upstream
    from whinpier.runtime.pool import Pool


def repeats_exclusive(pool: Pool) -> None:
    """An exclusive request is sent again though it may have run."""
    again: Any = pool.policy.retry_policy
    again.may_have_run = lambda request: None


def ignores_drains(pool: Pool) -> None:
    """What drains goes on getting requests, as if the list had not said so."""
    split = pool.policy.selector
    listed: Callable[[list[Upstream]], None] = split.on_endpoints_updated

    def all_ready(upstreams: list[Upstream]) -> None:
        for upstream in upstreams:
            upstream.state = (
                UpstreamState.READY
                if upstream.state != UpstreamState.REMOVED
                else UpstreamState.REMOVED
            )
        listed(upstreams)

    split.on_endpoints_updated = all_ready  # type: ignore[method-assign]


def forgets_answers(pool: Pool) -> None:
    """One request in fifty gets no answer."""
    arrive = pool.policy.on_request
    count = 0

    def now_and_then(request: Request) -> None:
        nonlocal count
        count += 1
        if count % 50:
            arrive(request)
        else:
            request.ended = True

    pool.policy.on_request = now_and_then  # type: ignore[method-assign]


def floods_cold(pool: Pool) -> None:
    """Whoever has just started has the fewest out, and gets everything."""
    split: Any = pool.policy.selector
    find = split.select

    def newest(request: Request) -> Any:
        ready = [
            seen
            for seen in split.ready
            if seen.upstream.started
            and seen.upstream.state == UpstreamState.READY
            and not request.attempts
        ]
        return max(ready, key=lambda seen: seen.upstream.started, default=None) or find(request)

    split.select = newest


MUTATIONS: dict[str, Callable[[Pool], None]] = {
    "repeats_exclusive": repeats_exclusive,
    "ignores_drains": ignores_drains,
    "forgets_answers": forgets_answers,
    "floods_cold": floods_cold,
}
