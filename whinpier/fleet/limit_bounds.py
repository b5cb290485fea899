"""Says what each limit of a file promises, in figures: how far over, how much may lie unused, how
long.

By the formulas of docs/design/limits.md, for the file at hand. Reads nothing, decides nothing.
"""

from __future__ import annotations

from typing import Any

from whinpier.fleet.quotas.allocation import LimitConfig
from whinpier.fleet.quotas.calendar_quota import MIN_WRITE_AHEAD, WRITE_AHEAD_PERIOD
from whinpier.fleet.quotas.fair_share import STALE_AFTER, propagation_time
from whinpier.fleet.quotas.leases import CONNECTIONS, COUNT, IN_FLIGHT, LEASE_GRACE, RATE
from whinpier.policy.decaying_sum import SECOND


def shown(amount: float, kind: str) -> str:
    """An amount in the limit's own unit as people say it."""
    return f"{amount / 1000:g} tasks a second" if kind == RATE else f"{amount:g} {UNITS[kind]}"


UNITS = {COUNT: "tasks", IN_FLIGHT: "tasks in flight", CONNECTIONS: "connections"}


def explained(said: LimitConfig, members: int) -> dict[str, Any]:
    """One limit: over, unused, when. `members`: how many share it, where it has no homes."""
    limit, found = said.limit, dict[str, Any]()
    found |= {
        "limit": limit.name,
        "promise": "nearly" if said.is_approximate else "never over",
        "amount": shown(limit.amount, limit.kind),
    }
    if said.scope:
        found["of"] = f"each {said.scope}"
    if limit.window:
        found["window"] = limit.window.partition("/")[0]
    found |= nearly(said, members) if said.is_approximate else never_over(said)
    if said.scope == "tenant":
        found["pooled"] = (
            f"strangers beyond {said.max_tenants} tenants share 16 parts, each of one tenant's amount"
        )
    return found


def nearly(said: LimitConfig, members: int) -> dict[str, Any]:
    limit, age = said.limit, propagation_time(members) / SECOND
    unheard = STALE_AFTER / SECOND + age
    found = {"over, words in time": "0"}
    if limit.kind == RATE:
        over = limit.amount / 1000 * unheard / 2 + limit.burst
        found["over, cut into halves"] = (
            f"{over:.0f} tasks at most in the {unheard:.1f} s until the parts "
            "know of it, none from then on"
        )
    elif limit.kind == IN_FLIGHT:
        found["over, cut into halves"] = f"{limit.amount // 2} at most for {unheard:.1f} s"
    else:
        found["over, words in time"] = f"what is asked for in {age:.1f} s"
        found["over, cut into halves"] = (
            "what the other part passes from then on, at most its even share"
        )
    return found | {
        "a part grows": f"{age:.1f} s after it is asked for ({members} members)",
        "cut off": "an even share for each that is unheard stays unused",
    }


def never_over(said: LimitConfig) -> dict[str, Any]:
    limit = said.limit
    homes, span = len(limit.homes), (limit.lease_duration + LEASE_GRACE) / SECOND
    home = shown(limit.amount // homes if limit.kind != RATE else limit.amount / homes, limit.kind)
    found: dict[str, Any] = {"over": "0"}
    if limit.kind == RATE:
        found["in any window W"] = f"{limit.amount / 1000:g} x W + {limit.burst} tasks"
    found["homes"] = f"{homes}, {home} each"
    if limit.kind == CONNECTIONS:
        return found | {"unused": "what a home does not open: its part is lent to nobody"}
    away = f"{home}, while it is away"
    if limit.kind == COUNT:
        return found | {
            "unused, a home away": f"what it has left of each window; {home} at most",
            "unused, a kill": f"what was written ahead: {WRITE_AHEAD_PERIOD / SECOND:g} s of its tasks, "
            f"{MIN_WRITE_AHEAD} at least",
            "unused, a hand-over lost": "what was handed over, till the window ends",
            "unused, without bank.state": "a home's part of the window in which it starts",
            "at a close": "a task counts in both windows while clocks are not sure, 0.1 s at least",
        }
    return found | {
        "unused, a home away": f"{away} and {span:.2f} s after it is back",
        "unused, a borrower dead": f"what it had borrowed, for {span:.2f} s",
        "unused, a message lost": f"what it lent, for {span:.2f} s",
        "demand moves": "found by whoever asks after about a second",
    }
