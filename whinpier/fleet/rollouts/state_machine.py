"""The replicated state machine of drains and rollouts: applies log entries in order.

Deterministic: all members that have applied the same entries hold the same state, from which each
reads its own orders. Uses no I/O, clock or random numbers; wall-clock times are carried for display
only. Answers are part of the state, so their wording must not differ between builds. Invariants: no
permit is granted beyond the budget; a permit is freed only once its holder is known to be back, is
written off, or a rollback has ended; a command takes effect once, and repetitions get the same answer;
every table is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

import msgspec

from whinpier.fleet.messages import LogEntry
from whinpier.fleet.rollouts import disruption_budget, drains, release_files, releases
from whinpier.fleet.rollouts.commands import (
    COMMAND_WORDS,
    MAX_RESULTS,
    MAX_TEXT,
    EntryDecodeError,
    EntryKind,
    Observation,
    ObservationKind,
    decode,
    encode,
)
from whinpier.fleet.rollouts.history import record_command
from whinpier.fleet.rollouts.model import (
    FLEET_ACTOR,
    CommandRefusedError,
    CommandResult,
    Drain,
    MemberOrders,
    ReplicatedState,
    display_name,
    make_key,
)

CommandHandler: TypeAlias = Callable[[ReplicatedState, Any], str]
EntryHandler: TypeAlias = Callable[[ReplicatedState, Any], None]

COMMAND_HANDLERS: dict[int, CommandHandler] = {
    EntryKind.SET_BUDGET: disruption_budget.set_rules,
    EntryKind.DRAIN: drains.start_drain,
    EntryKind.UNDRAIN: drains.start_undrain,
    EntryKind.RELEASE: releases.start_release,
    EntryKind.HALT: releases.halt,
    EntryKind.RESUME: releases.resume,
    EntryKind.ROLL_BACK: releases.roll_back,
    EntryKind.WRITE_OFF: disruption_budget.write_off_by_command,
}


class RolloutStateMachine:
    """Hold the replicated state and apply log entries to it."""

    def __init__(self) -> None:
        """Start with an empty state."""
        self.state = ReplicatedState()
        self.changes = 0  # counts entries and restores, so that readers notice a change
        self.undecodable_entries = 0  # skipped: malformed, or of a later build

    # Called by the consensus module.

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; empty data stands for the initial state."""
        if data:
            self.state = msgspec.msgpack.decode(data, type=ReplicatedState)
        else:
            self.state = ReplicatedState()
        self.changes += 1

    def has_applied(self, data: bytes) -> bool:
        """Return whether the command in an entry's contents has been answered already."""
        try:
            header = msgspec.msgpack.decode(data)[0]
            return isinstance(header, list) and header[0] in self.state.results
        except (msgspec.DecodeError, IndexError, TypeError, KeyError):
            return False

    def apply(self, index: int, entry: LogEntry) -> None:
        """Apply the next committed entry; skip and count one that does not decode."""
        self.changes += 1
        self.state.last_applied = index
        try:
            contents = decode(entry.kind, entry.data)
        except EntryDecodeError:
            self.undecodable_entries += 1
            return
        if entry.kind in COMMAND_HANDLERS:
            _apply_command(self.state, entry.kind, contents)
        else:
            ENTRY_HANDLERS[entry.kind](self.state, contents)
        releases.advance(self.state)

    def dry_run(self, index: int, kind: int, data: bytes) -> CommandResult:
        """Return what a command would answer if it were the next entry, without applying it."""
        trial = RolloutStateMachine()
        trial.restore(self.snapshot())
        known_ids = set(trial.state.results)
        trial.apply(index, LogEntry(0, kind, data))
        for command_id, result in trial.state.results.items():
            if command_id not in known_ids:
                return result
        return CommandResult(index, False, "it was said before, or can't be read")

    # Read by members.

    def orders_for(self, name: str) -> MemberOrders:
        """Return what one member is to run and whether it is to drain."""
        state = self.state
        return MemberOrders(
            drains.is_drained(state, name),
            state.assigned_content.get(name, state.default_content),
            state.assigned_build.get(name, state.default_build),
        )

    def drained_upstreams(self, pool: str) -> dict[str, int]:
        """Return the permit numbers of a pool's drained upstreams, which get no new requests."""
        return drains.find_drained_upstreams(self.state, pool)

    def unfinished_drains(self) -> Iterator[tuple[str, Drain]]:
        """Yield the drains that are still draining or undraining, with their keys."""
        return drains.iterate_unfinished(self.state)

    def read_file(self, content_hash: str) -> bytes | None:
        """Return a released file, still compressed, or None while chunks of it are missing."""
        return release_files.read_file(self.state, content_hash)


def _apply_command(state: ReplicatedState, kind: int, command: Any) -> None:
    """Carry out an operator's command unless its id is known, and store its answer."""
    header = command.header
    if header.id in state.results:
        return
    try:
        if 0 <= header.base_revision < state.revision:
            raise CommandRefusedError(_describe_conflict(state, header.base_revision))
        text = COMMAND_HANDLERS[kind](state, command)
        state.revision = state.last_applied
        succeeded = True
    except CommandRefusedError as error:
        text = str(error)
        succeeded = False
    state.results[header.id] = CommandResult(state.last_applied, succeeded, text[:MAX_TEXT])
    while len(state.results) > MAX_RESULTS:
        del state.results[next(iter(state.results))]
    action = f"{COMMAND_WORDS[kind]} {_describe_subject(kind, command)}".strip()
    record_command(state, header, action, succeeded, text)


def _describe_subject(kind: int, command: Any) -> str:
    """Return the subject of a command, for the history."""
    if kind in (EntryKind.DRAIN, EntryKind.UNDRAIN):
        return display_name(make_key(command.name, command.pool))
    if kind == EntryKind.SET_BUDGET:
        rules = ", ".join(f"{rule.name}={rule.max_out}" for rule in command.rules)
        return rules[:MAX_TEXT]
    if kind == EntryKind.RELEASE:
        return f"{command.version} to {command.selector}"
    return str(command.name)


def _describe_conflict(state: ReplicatedState, base_revision: int) -> str:
    """Describe what has changed since the revision that a command is based on."""
    for entry in reversed(state.history):
        if entry.index > base_revision and entry.succeeded and entry.actor != FLEET_ACTOR:
            return (
                f"changed since {base_revision}: at {entry.index} {entry.actor} said {entry.action}"
            )
    return f"it has changed since {base_revision}: it is at {state.revision} now"


def _apply_observations(state: ReplicatedState, observations: Any) -> None:
    """Apply the leader's observations in order."""
    for observation in observations.items:
        OBSERVATION_HANDLERS[observation.kind](state, observation)


def _apply_return(state: ReplicatedState, observation: Observation) -> None:
    """Apply that a lost member is back, or that what was drained serves again."""
    if observation.number == 0:
        disruption_budget.mark_found(state, display_name(observation.key))
    else:
        drains.finish_undrain(state, observation)


OBSERVATION_HANDLERS: dict[ObservationKind, Callable[[ReplicatedState, Observation], None]] = {
    ObservationKind.LOST: disruption_budget.mark_lost,
    ObservationKind.RETURNED: _apply_return,
    ObservationKind.DRAIN_CONFIRMED: drains.confirm_drain,
    ObservationKind.SWITCHED: releases.apply_switch,
    ObservationKind.FAILED: releases.apply_switch,
    ObservationKind.WRITTEN_OFF: disruption_budget.write_off_by_timeout,
    ObservationKind.DRAIN_PENDING: drains.update_pending,
}

ENTRY_HANDLERS: dict[int, EntryHandler] = {
    EntryKind.OBSERVATIONS: _apply_observations,
    EntryKind.FILE_CHUNK: release_files.store_chunk,
    EntryKind.WAVE_PLAN: releases.plan_wave,
    EntryKind.ANALYSIS_RESULT: releases.apply_analysis,
}
