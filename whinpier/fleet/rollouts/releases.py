"""Rollouts of a file or a build to members, wave by wave, and their rollback.

Owns the active rollout, the closed ones and each member's assigned version. Invariants: a member is
assigned another version only with a permit, or while it is drained; a wave starts only after the
analysis of the one before has passed; a member that failed to switch keeps its permit until it runs
its assigned version, is written off, or the rollback ends.
"""

from __future__ import annotations

from collections.abc import Container

from whinpier.fleet.rollouts import disruption_budget
from whinpier.fleet.rollouts.commands import (
    MAX_CLOSED_ROLLOUTS,
    MAX_MEMBERS,
    MAX_TEXT,
    AnalysisResult,
    NamedCommand,
    Observation,
    ObservationKind,
    ReleaseCommand,
    WavePlan,
)
from whinpier.fleet.rollouts.history import record_fleet_action
from whinpier.fleet.rollouts.model import (
    CommandRefusedError,
    PermitPurpose,
    ReplicatedState,
    Rollout,
    RolloutPhase,
    display_name,
    make_key,
)
from whinpier.fleet.rollouts.release_files import hash_file, read_file

ALL_MEMBERS = "all"  # selector

# Commands of operators.


def start_release(state: ReplicatedState, command: ReleaseCommand) -> str:
    """Start a rollout; the leader plans its waves next."""
    if state.rollout is not None:
        raise CommandRefusedError(f"release {state.rollout.number} is {state.rollout.phase}")
    if bool(command.content_hash) == bool(command.build):
        raise CommandRefusedError("either a file or a build is released")
    if command.content_hash:
        data = read_file(state, command.content_hash)
        if data is None or hash_file(data) != command.content_hash:
            raise CommandRefusedError(f"the file {command.content_hash} is not whole in the record")
    for wave in command.waves:
        _check_wave_size(wave)
    number = state.last_applied
    previous_build = state.default_build or command.previous_build
    previous_default = state.default_content if command.content_hash else previous_build
    state.rollout = Rollout(number, command, previous_default=previous_default)
    return f"release {number}"


def _check_wave_size(wave: str) -> None:
    """Raise CommandRefusedError unless it is a positive number, with or without a % sign."""
    size = wave.removesuffix("%")
    if not size.isdigit() or not 0 < int(size) <= MAX_MEMBERS:
        raise CommandRefusedError(f"{wave!r} is no wave: a number, or a part of all as 25%")


def halt(state: ReplicatedState, command: NamedCommand) -> str:
    """Halt the active rollout, or its rollback, without changing any assignment."""
    rollout = state.rollout
    if rollout is None:
        raise CommandRefusedError("no release is on")
    if rollout.phase == RolloutPhase.HALTED:
        raise CommandRefusedError(f"release {rollout.number} is halted already: {rollout.reason}")
    rollout.is_rollback = rollout.phase == RolloutPhase.ROLLING_BACK
    rollout.reason = f"halted by {command.header.operator}"
    rollout.phase = RolloutPhase.HALTED
    return f"release {rollout.number} is halted"


def resume(state: ReplicatedState, _command: NamedCommand) -> str:
    """Resume a halted rollout, or a halted rollback."""
    rollout = state.rollout
    if rollout is None or rollout.phase != RolloutPhase.HALTED:
        raise CommandRefusedError("no release is halted")
    if rollout.is_rollback:
        rollout.phase = RolloutPhase.ROLLING_BACK
    elif rollout.waves:
        rollout.phase = RolloutPhase.UPDATING
    else:
        rollout.phase = RolloutPhase.PLANNING
    rollout.reason = ""
    return f"release {rollout.number} goes on"


def roll_back(state: ReplicatedState, _command: NamedCommand) -> str:
    """Roll back the active rollout or, if there is none, the last released one."""
    rollout = state.rollout
    if rollout is None:
        rollout = _reopen_last_released(state)
    elif rollout.is_rollback or rollout.phase == RolloutPhase.ROLLING_BACK:
        raise CommandRefusedError(f"release {rollout.number} is being undone")
    _start_rollback(state, rollout)
    return f"release {rollout.number} is undone"


def _reopen_last_released(state: ReplicatedState) -> Rollout:
    """Make the last released rollout the active one again, and restore the earlier default."""
    for rollout in reversed(state.closed_rollouts):
        if rollout.phase == RolloutPhase.RELEASED:
            break
    else:
        raise CommandRefusedError("no release is left that could be undone")
    state.closed_rollouts.remove(rollout)
    state.rollout = rollout
    assigned = _assignments(state, rollout)
    for name in rollout.updated:
        assigned.setdefault(name, rollout.command.version)
    if rollout.command.selector == ALL_MEMBERS:
        _set_default(state, rollout, rollout.previous_default)
    return rollout


# Entries that the leader appends to the log.


def plan_wave(state: ReplicatedState, plan: WavePlan) -> None:
    """Add members to a wave; the plan with `is_last` starts the first wave."""
    rollout = state.rollout
    if rollout is None or rollout.number != plan.release_number:
        return
    if rollout.phase != RolloutPhase.PLANNING:
        return
    while len(rollout.waves) <= plan.wave:
        rollout.waves.append([])
    rollout.waves[plan.wave] += [
        name for name in plan.names if not any(name in wave for wave in rollout.waves)
    ]
    rollout.zones.update(zip(plan.names, plan.zones, strict=False))
    if plan.is_last:
        _finish_planning(state, rollout)


def _finish_planning(state: ReplicatedState, rollout: Rollout) -> None:
    """Start the first wave, or close a rollout that no present member is selected for."""
    rollout.waves = [wave for wave in rollout.waves if wave]
    if rollout.waves:
        _start_wave(rollout)
    else:
        rollout.reason = "it is for nobody who is here"
        _close(state, rollout, RolloutPhase.ROLLED_BACK)


def _start_wave(rollout: Rollout) -> None:
    """Queue the members of the current wave for assignment."""
    rollout.phase = RolloutPhase.UPDATING
    rollout.pending = list(rollout.waves[rollout.current_wave])


def apply_analysis(state: ReplicatedState, result: AnalysisResult) -> None:
    """Start the next wave, finish the rollout, or stop it, depending on an analysis."""
    rollout = state.rollout
    if rollout is None or rollout.number != result.release_number:
        return
    if rollout.phase != RolloutPhase.ANALYZING or rollout.current_wave != result.wave:
        return
    if not result.passed:
        _stop(state, rollout, f"gate of wave {result.wave + 1}: {result.text}")
        return
    rollout.current_wave += 1
    if rollout.current_wave < len(rollout.waves):
        _start_wave(rollout)
    else:
        _close(state, rollout, RolloutPhase.RELEASED)


def apply_switch(state: ReplicatedState, observation: Observation) -> None:
    """Record that a member runs its assigned version, or that it failed to switch."""
    rollout = state.rollout
    permit = state.permits.get(observation.key)
    if rollout is None or permit is None or permit.number != observation.number:
        return
    if permit.purpose != PermitPurpose.RELEASE:
        return
    name = display_name(observation.key)
    if observation.kind == ObservationKind.FAILED:
        _mark_failed(state, rollout, name, observation.text)
        return
    del state.permits[observation.key]
    rollout.failed.pop(name, None)
    is_reverting = rollout.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK)
    if is_reverting or rollout.is_rollback:
        rollout.updated = _without(rollout.updated, name)
    elif name not in rollout.updated:
        rollout.updated.append(name)


def _mark_failed(state: ReplicatedState, rollout: Rollout, name: str, reason: str) -> None:
    """Record that a member failed to switch; stop a rollout, but go on with a rollback."""
    rollout.failed[name] = reason
    if rollout.phase == RolloutPhase.UPDATING:
        _stop(state, rollout, f"{name}: {reason}")
    elif rollout.phase == RolloutPhase.ROLLING_BACK:
        # It is not known to be back, so it still counts as out: by a drain, as lost or by this permit.
        rollout.pending = _without(rollout.pending, name)


# Progress of the rollout, after each applied entry.


def advance(state: ReplicatedState) -> None:
    """Assign as many members as the budget allows, and finish a wave or rollback that is complete."""
    rollout = state.rollout
    if rollout is None:
        return
    if rollout.phase in (RolloutPhase.UPDATING, RolloutPhase.ANALYZING):
        violation = disruption_budget.find_violation(state)
        if violation:
            _stop(state, rollout, f"too many are out: {violation}")
    if rollout.phase == RolloutPhase.UPDATING:
        _assign_pending(state, rollout, rollout.command.version)
        if not rollout.pending and not _find_switching(state):
            rollout.phase = RolloutPhase.ANALYZING
    elif rollout.phase == RolloutPhase.ROLLING_BACK:
        _assign_pending(state, rollout, None)
        if not rollout.pending and not _find_switching(state, rollout.failed):
            _close(state, rollout, RolloutPhase.ROLLED_BACK)


def _find_switching(state: ReplicatedState, excluded: Container[str] = ()) -> list[str]:
    """Return the keys of members that hold a permit to switch to their assigned version."""
    return [
        key
        for key, permit in state.permits.items()
        if permit.purpose == PermitPurpose.RELEASE and display_name(key) not in excluded
    ]


def _assign_pending(state: ReplicatedState, rollout: Rollout, version: str | None) -> None:
    """Assign a version to pending members within the budget; None: each one's previous version."""
    still_pending = []
    for name in rollout.pending:
        if version is not None and name in state.lost:
            rollout.failed[name] = "was lost when its turn came"
        elif not _assign(state, rollout, name, version):
            still_pending.append(name)
    rollout.pending = still_pending


def _assign(state: ReplicatedState, rollout: Rollout, name: str, version: str | None) -> bool:
    """Assign a version to one member, None: its previous one; return False if over budget."""
    key = make_key(name)
    zone = rollout.zones.get(name, "")
    permit = state.permits.get(key)
    assigned = _assignments(state, rollout)
    if version is not None:
        rollout.previous.setdefault(name, assigned.get(name, rollout.previous_default))
    if permit is not None and permit.purpose == PermitPurpose.DRAIN:
        # A drained member is out already: it needs no second permit, and the wave does not wait.
        rollout.updated = _without(rollout.updated, name)
        if version is not None:
            rollout.updated.append(name)
    elif permit is None and disruption_budget.find_violation(state, key, zone):
        return False
    else:
        disruption_budget.grant_permit(state, key, PermitPurpose.RELEASE, zone)
    if version is None:
        version = rollout.previous.get(name, rollout.previous_default)
    assigned[name] = version
    return True


def _stop(state: ReplicatedState, rollout: Rollout, reason: str) -> None:
    """Stop the rollout for a failure: halt it or roll it back, as its settings say."""
    rollout.reason = reason[:MAX_TEXT]
    record_fleet_action(state, f"halted {rollout.number}", rollout.reason)
    if rollout.command.analysis.hold_on_failure:
        rollout.phase = RolloutPhase.HALTED
        rollout.is_rollback = False
    else:
        _start_rollback(state, rollout)


def _start_rollback(state: ReplicatedState, rollout: Rollout) -> None:
    """Start to give members back their previous version, the last updated first."""
    rollout.phase = RolloutPhase.ROLLING_BACK
    rollout.is_rollback = True
    rollout.failed = {}
    # Members that are switching hold a permit already, so they come first.
    switching = [display_name(key) for key in _find_switching(state)]
    updated = [name for name in reversed(rollout.updated) if name not in switching]
    rollout.pending = switching + updated


def _close(state: ReplicatedState, rollout: Rollout, phase: RolloutPhase) -> None:
    """End the active rollout and move it to the closed ones."""
    rollout.phase = phase
    if phase == RolloutPhase.RELEASED and rollout.command.selector == ALL_MEMBERS:
        _set_default(state, rollout, rollout.command.version)
    if phase == RolloutPhase.ROLLED_BACK:
        # A member that was lost meanwhile takes over the default when it comes back.
        for key in _find_switching(state):
            del state.permits[key]
    _drop_default_assignments(state, rollout)
    state.rollout = None
    state.closed_rollouts = [*state.closed_rollouts[1 - MAX_CLOSED_ROLLOUTS :], rollout]
    failures = ", ".join(f"{name}: {reason}" for name, reason in rollout.failed.items())
    record_fleet_action(
        state,
        f"{phase} {rollout.number}",
        rollout.reason,
        not rollout.failed,
        failures[:MAX_TEXT],
    )


def _drop_default_assignments(state: ReplicatedState, rollout: Rollout) -> None:
    """Drop the assignments of this rollout that equal the default."""
    assigned = _assignments(state, rollout)
    default = state.default_content if rollout.command.content_hash else state.default_build
    for name in rollout.previous:
        if assigned.get(name) == default:
            del assigned[name]


def _assignments(state: ReplicatedState, rollout: Rollout) -> dict[str, str]:
    """Return the assignments of the kind that this rollout releases, files or builds."""
    return state.assigned_content if rollout.command.content_hash else state.assigned_build


def _set_default(state: ReplicatedState, rollout: Rollout, version: str) -> None:
    """Set the fleet's default file or build, whichever this rollout releases."""
    if rollout.command.content_hash:
        state.default_content = version
    else:
        state.default_build = version


def _without(names: list[str], removed: str) -> list[str]:
    """Return a copy of a list without one name."""
    return [name for name in names if name != removed]
