"""Drains of balancers and upstreams, from the command to the return to service.

Owns the state of drains. Invariants: a drain holds its permit until what was drained is known to serve
again; an observation counts only for the drain whose permit number it names.
"""

from __future__ import annotations

from collections.abc import Iterator

from whinpier.fleet.rollouts import disruption_budget
from whinpier.fleet.rollouts.commands import MAX_DRAINS, DrainCommand, Observation
from whinpier.fleet.rollouts.model import (
    UPSTREAM_PREFIX,
    CommandRefusedError,
    Drain,
    DrainPhase,
    PermitPurpose,
    ReplicatedState,
    display_name,
    make_key,
)


def start_drain(state: ReplicatedState, command: DrainCommand) -> str:
    """Start to drain a balancer or an upstream; raise CommandRefusedError if it may not be."""
    key = make_key(command.name, command.pool)
    _check_drainable(state, key)
    # What is out already because it is lost counts once, so it can be drained within the budget.
    violation = disruption_budget.find_violation(state, key, command.zone, command.pool)
    if violation:
        raise CommandRefusedError(violation)
    permit = disruption_budget.grant_permit(
        state, key, PermitPurpose.DRAIN, command.zone, command.pool
    )
    header = command.header
    state.drains[key] = Drain(
        permit.number,
        DrainPhase.DRAINING,
        header.operator,
        header.reason,
        header.wall_ms,
        state.last_applied,
    )
    return f"permit {permit.number}"


def _check_drainable(state: ReplicatedState, key: str) -> None:
    """Raise CommandRefusedError if it is drained or switching already, or too many drains exist."""
    drain = state.drains.get(key)
    if drain is not None:
        if drain.phase != DrainPhase.UNDRAINING:
            raise CommandRefusedError(
                f"{display_name(key)} is {drain.phase} already, "
                f"since {drain.permit_number} by {drain.operator}"
            )
    elif len(state.drains) >= MAX_DRAINS:
        raise CommandRefusedError(f"{MAX_DRAINS} are drained already")
    permit = state.permits.get(key)
    if permit is not None and permit.purpose == PermitPurpose.RELEASE:
        number = state.rollout.number if state.rollout else 0
        raise CommandRefusedError(f"{display_name(key)} is being switched by release {number}")


def start_undrain(state: ReplicatedState, command: DrainCommand) -> str:
    """Start to return a balancer or an upstream to service; its permit is freed once it is back."""
    key = make_key(command.name, command.pool)
    drain = state.drains.get(key)
    if drain is None:
        raise CommandRefusedError(f"{display_name(key)} is not drained")
    if drain.phase == DrainPhase.UNDRAINING:
        raise CommandRefusedError("it is on its way back already")
    drain.phase = DrainPhase.UNDRAINING
    drain.changed_index = state.last_applied
    return f"permit {drain.permit_number} is free once it is back"


def confirm_drain(state: ReplicatedState, observation: Observation) -> None:
    """Mark a drain as confirmed by all members."""
    drain = _find_drain(state, observation)
    if drain is not None and drain.phase == DrainPhase.DRAINING:
        drain.phase = DrainPhase.DRAINED
        drain.changed_index = state.last_applied
        drain.pending = ""


def update_pending(state: ReplicatedState, observation: Observation) -> None:
    """Store the text that names the members that have not confirmed a drain yet."""
    drain = _find_drain(state, observation)
    if drain is not None:
        drain.pending = observation.text


def finish_undrain(state: ReplicatedState, observation: Observation) -> None:
    """Remove a drain whose balancer or upstream serves again, and free its permit."""
    drain = _find_drain(state, observation)
    if drain is None or drain.phase != DrainPhase.UNDRAINING:
        return
    del state.drains[observation.key]
    permit = state.permits.get(observation.key)
    if permit is not None and permit.number == observation.number:
        del state.permits[observation.key]


def _find_drain(state: ReplicatedState, observation: Observation) -> Drain | None:
    """Return the drain whose permit an observation names, or None."""
    drain = state.drains.get(observation.key)
    return drain if drain is not None and drain.permit_number == observation.number else None


def is_drained(state: ReplicatedState, name: str) -> bool:
    """Return whether a balancer is to get no new requests."""
    drain = state.drains.get(make_key(name))
    return drain is not None and drain.phase != DrainPhase.UNDRAINING


def find_drained_upstreams(state: ReplicatedState, pool: str) -> dict[str, int]:
    """Return the permit numbers of a pool's drained upstreams, which get no new requests."""
    prefix = f"{UPSTREAM_PREFIX}{pool}/"
    return {
        key.removeprefix(prefix): drain.permit_number
        for key, drain in state.drains.items()
        if key.startswith(prefix) and drain.phase != DrainPhase.UNDRAINING
    }


def iterate_unfinished(state: ReplicatedState) -> Iterator[tuple[str, Drain]]:
    """Yield the drains that are still draining or undraining, with their keys."""
    return (
        (key, drain) for key, drain in state.drains.items() if drain.phase != DrainPhase.DRAINED
    )
