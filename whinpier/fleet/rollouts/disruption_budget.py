"""The disruption budget: how many balancers and upstreams may be out of service at once.

Owns the permits, and the lists of lost and written-off members. Invariants: callers grant a permit only
if `find_violation` finds no rule that it would break, lost members included; no member or upstream
counts twice.
"""

from __future__ import annotations

from typing import NamedTuple

from whinpier.fleet.rollouts.commands import (
    MAX_MEMBERS,
    MAX_WRITTEN_OFF,
    BudgetRule,
    BudgetTarget,
    NamedCommand,
    Observation,
    SetBudget,
)
from whinpier.fleet.rollouts.history import record_fleet_action
from whinpier.fleet.rollouts.model import (
    CommandRefusedError,
    Permit,
    PermitPurpose,
    ReplicatedState,
    display_name,
    make_key,
)

MAX_NAMES_SHOWN = 6


class Location(NamedTuple):
    """Hold what decides which rules count a balancer or an upstream."""

    zone: str
    pool: str = ""  # empty: a balancer


def set_rules(state: ReplicatedState, command: SetBudget) -> str:
    """Replace the rules; raise CommandRefusedError for a duplicate name or unknown target."""
    names = [rule.name for rule in command.rules]
    if len(set(names)) < len(names):
        raise CommandRefusedError("a rule's name stands there twice")
    for rule in command.rules:
        if rule.target not in tuple(BudgetTarget):
            raise CommandRefusedError(
                f"{rule.name}: {rule.target!r} is neither "
                f"{BudgetTarget.BALANCERS} nor {BudgetTarget.UPSTREAMS}"
            )
    state.rules = command.rules
    return f"{len(names)} rules"


def find_unavailable(state: ReplicatedState) -> dict[str, Location]:
    """Return what is out of service, with a permit or without, by key."""
    unavailable = {make_key(name): Location(zone) for name, zone in state.lost.items()}
    for key, permit in state.permits.items():
        unavailable[key] = Location(permit.zone, permit.pool)
    return unavailable


def find_violation(state: ReplicatedState, key: str = "", zone: str = "", pool: str = "") -> str:
    """Describe the first rule that is broken, or return an empty text.

    With a key, this is the rule that would be broken if that balancer or upstream were out too.
    """
    unavailable = find_unavailable(state)
    if key:
        unavailable[key] = Location(zone, pool)
    for rule in state.rules:
        if key and not rule_applies(rule, Location(zone, pool)):
            continue
        counted = sorted(
            other for other, location in unavailable.items() if rule_applies(rule, location)
        )
        if len(counted) > rule.max_out:
            others = [display_name(other) for other in counted if other != key]
            names = ", ".join(others[:MAX_NAMES_SHOWN]) or "none"
            return f"{rule.name}: {rule.max_out} may be out; out are {names}"
    return ""


def rule_applies(rule: BudgetRule, location: Location) -> bool:
    """Return whether a rule counts a balancer or an upstream at this location."""
    target = BudgetTarget.UPSTREAMS if location.pool else BudgetTarget.BALANCERS
    return (
        rule.target == target
        and rule.pool in ("", location.pool)
        and rule.zone in ("", location.zone)
    )


def grant_permit(
    state: ReplicatedState, key: str, purpose: PermitPurpose, zone: str, pool: str = ""
) -> Permit:
    """Grant a permit, which replaces an earlier one of the same key; the budget is not checked."""
    state.permits_granted += 1
    permit = Permit(state.permits_granted, state.last_applied, purpose, zone, pool)
    state.permits[key] = permit
    return permit


def mark_lost(state: ReplicatedState, observation: Observation) -> None:
    """Count a member as out of service although it holds no permit."""
    name = display_name(observation.key)
    if len(state.lost) < MAX_MEMBERS and name not in state.written_off:
        state.lost[name] = observation.text


def mark_found(state: ReplicatedState, name: str) -> None:
    """Count a member that was lost as in service again."""
    state.lost.pop(name, None)
    state.written_off.pop(name, None)


def write_off_by_command(state: ReplicatedState, command: NamedCommand) -> str:
    """Write off a lost member; raise CommandRefusedError if it is not lost."""
    if command.name not in state.lost:
        raise CommandRefusedError(f"{command.name!r} is not lost")
    _write_off(state, command.name)
    return "written off"


def write_off_by_timeout(state: ReplicatedState, observation: Observation) -> None:
    """Write off a member that the leader has found lost for too long."""
    name = display_name(observation.key)
    if name in state.lost:
        _write_off(state, name)
        record_fleet_action(state, f"written off {name}", observation.text)


def _write_off(state: ReplicatedState, name: str) -> None:
    """Free the permit of a member and no longer count it as out of service."""
    state.lost.pop(name, None)
    state.permits.pop(make_key(name), None)
    state.written_off[name] = state.last_applied
    while len(state.written_off) > MAX_WRITTEN_OFF:
        del state.written_off[next(iter(state.written_off))]
