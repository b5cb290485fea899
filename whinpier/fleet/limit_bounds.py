"""The bounds of each configured limit, for operators.

They say by how much a limit may be exceeded and how much of it may stay unused, when and for how
long, by the formulas of docs/design/limits.md. The keys and texts of the report are read by
operators' tools.
"""

from __future__ import annotations

from typing import Any

from whinpier.fleet.quotas.allocation import LimitConfig
from whinpier.fleet.quotas.calendar_quota import MIN_WRITE_AHEAD, WRITE_AHEAD_PERIOD
from whinpier.fleet.quotas.fair_share import STALE_AFTER, propagation_time
from whinpier.fleet.quotas.leases import CONNECTIONS, COUNT, IN_FLIGHT, LEASE_GRACE, RATE
from whinpier.policy.decaying_sum import SECOND

_UNITS = {COUNT: "tasks", IN_FLIGHT: "tasks in flight", CONNECTIONS: "connections"}


def format_amount(amount: float, kind: str) -> str:
    """Return an amount with its unit; that of a rate is given in thousandths a second."""
    return f"{amount / 1000:g} tasks a second" if kind == RATE else f"{amount:g} {_UNITS[kind]}"


def explained(config: LimitConfig, members: int) -> dict[str, Any]:
    """Return the report on one limit; an approximate one is shared by this many members."""
    limit = config.limit
    report: dict[str, Any] = {
        "limit": limit.name,
        "promise": "nearly" if config.is_approximate else "never over",
        "amount": format_amount(limit.amount, limit.kind),
    }
    if config.scope:
        report["of"] = f"each {config.scope}"
    if limit.window:
        report["window"] = limit.window.partition("/")[0]
    if config.is_approximate:
        report |= _approximate_bounds(config, members)
    else:
        report |= _strict_bounds(config)
    if config.scope == "tenant":
        report["pooled"] = (
            f"strangers beyond {config.max_tenants} tenants share 16 parts, each of one tenant's amount"
        )
    return report


def _approximate_bounds(config: LimitConfig, members: int) -> dict[str, Any]:
    """Return the bounds of a limit that is kept by exchanged reports of demand."""
    limit = config.limit
    propagation_seconds = propagation_time(members) / SECOND
    # Until the members of one part of a partition no longer count on those of the other.
    stale_seconds = STALE_AFTER / SECOND + propagation_seconds
    report = {"over, words in time": "0"}
    if limit.kind == RATE:
        excess = limit.amount / 1000 * stale_seconds / 2 + limit.burst
        report["over, cut into halves"] = (
            f"{excess:.0f} tasks at most in the {stale_seconds:.1f} s until the parts "
            "know of it, none from then on"
        )
    elif limit.kind == IN_FLIGHT:
        report["over, cut into halves"] = f"{limit.amount // 2} at most for {stale_seconds:.1f} s"
    else:
        report["over, words in time"] = f"what is asked for in {propagation_seconds:.1f} s"
        report["over, cut into halves"] = (
            "what the other part passes from then on, at most its even share"
        )
    return report | {
        "a part grows": f"{propagation_seconds:.1f} s after it is asked for ({members} members)",
        "cut off": "an even share for each that is unheard stays unused",
    }


def _strict_bounds(config: LimitConfig) -> dict[str, Any]:
    """Return the bounds of a limit that is divided among its homes and is never exceeded."""
    limit = config.limit
    homes = len(limit.homes)
    lease_seconds = (limit.lease_duration + LEASE_GRACE) / SECOND
    home_amount = limit.amount / homes if limit.kind == RATE else limit.amount // homes
    home = format_amount(home_amount, limit.kind)
    report: dict[str, Any] = {"over": "0"}
    if limit.kind == RATE:
        report["in any window W"] = f"{limit.amount / 1000:g} x W + {limit.burst} tasks"
    report["homes"] = f"{homes}, {home} each"
    if limit.kind == CONNECTIONS:
        return report | {"unused": "what a home does not open: its part is lent to nobody"}
    if limit.kind == COUNT:
        return report | {
            "unused, a home away": f"what it has left of each window; {home} at most",
            "unused, a kill": f"what was written ahead: {WRITE_AHEAD_PERIOD / SECOND:g} s of its tasks, "
            f"{MIN_WRITE_AHEAD} at least",
            "unused, a hand-over lost": "what was handed over, till the window ends",
            "unused, without bank.state": "a home's part of the window in which it starts",
            "at a close": "a task counts in both windows while clocks are not sure, 0.1 s at least",
        }
    return report | {
        "unused, a home away": f"{home}, while it is away and {lease_seconds:.2f} s after it is back",
        "unused, a borrower dead": f"what it had borrowed, for {lease_seconds:.2f} s",
        "unused, a message lost": f"what it lent, for {lease_seconds:.2f} s",
        "demand moves": "found by whoever asks after about a second",
    }
