"""Data types of drains and rollouts: the replicated state, members' orders and their reports.

Invariant: snapshots and reports are encoded by the order of fields, on the wire and on disk. Phases
are decoded as plain text, so that a snapshot of a later build with more phases can still be restored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, field

from whinpier.fleet.rollouts.commands import BudgetRule, ReleaseCommand

FLEET_ACTOR = "bank"  # actor in the history of actions that no operator commanded
BALANCER_PREFIX = "b/"
UPSTREAM_PREFIX = "u/"
PREFIX_LENGTH = 2  # of either prefix


class DrainPhase(StrEnum):
    """Progress of a drain."""

    DRAINING = "draining"
    DRAINED = "done"
    UNDRAINING = "undraining"


class RolloutPhase(StrEnum):
    """Progress of a rollout."""

    PLANNING = "planning"
    UPDATING = "waves"
    ANALYZING = "gate"
    HALTED = "halted"
    ROLLING_BACK = "undoing"
    ROLLED_BACK = "undone"
    RELEASED = "released"


class PermitPurpose(StrEnum):
    """What a permit was granted for."""

    DRAIN = "drain"
    RELEASE = "release"


class Permit(Struct, array_like=True):
    """Allow one member or upstream to be out of service."""

    number: int  # counts up from 1
    entry_index: int  # of the entry that granted it
    purpose: str  # a PermitPurpose
    zone: str = ""
    pool: str = ""


class Drain(Struct, array_like=True):
    """Hold the state of one drain."""

    permit_number: int
    phase: str  # a DrainPhase
    operator: str
    reason: str
    wall_ms: int
    changed_index: int = 0  # of the entry that last changed its phase
    pending: str = ""  # members that have not confirmed it, as the leader last reported


class Rollout(Struct, array_like=True):
    """Hold the state of one rollout."""

    number: int
    command: ReleaseCommand
    phase: str = RolloutPhase.PLANNING
    waves: list[list[str]] = field(default_factory=list)
    current_wave: int = 0
    pending: list[str] = field(default_factory=list)  # members still to be assigned in this phase
    updated: list[str] = field(default_factory=list)  # members that run the released version
    zones: dict[str, str] = field(default_factory=dict)  # by member
    previous: dict[str, str] = field(default_factory=dict)  # earlier assignment by member
    failed: dict[str, str] = field(default_factory=dict)  # reasons of members that did not switch
    reason: str = ""
    is_rollback: bool = False  # if halted: the rollback was halted
    previous_default: str = ""  # the fleet's default before this release


class HistoryEntry(Struct, frozen=True, array_like=True):
    """Record one action, for display."""

    index: int  # of the log entry that caused it
    wall_ms: int  # since the epoch; 0 for actions of the fleet itself
    actor: str
    action: str
    reason: str
    succeeded: bool
    text: str
    digest: bytes  # over this entry and all before it


class CommandResult(NamedTuple):
    """Hold the answer to a command, given again to each repetition of it."""

    entry_index: int
    succeeded: bool
    text: str


class ReplicatedState(Struct, array_like=True):
    """Hold the state that results from all log entries applied so far."""

    revision: int = 0  # index of the last entry by which an operator changed anything
    rules: list[BudgetRule] = field(default_factory=list)
    permits: dict[str, Permit] = field(default_factory=dict)
    lost: dict[str, str] = field(default_factory=dict)  # zones by lost member
    written_off: dict[str, int] = field(default_factory=dict)  # index of the entry, by member
    drains: dict[str, Drain] = field(default_factory=dict)
    # Chunks by content hash and offset.
    file_chunks: dict[str, dict[int, bytes]] = field(default_factory=dict)
    file_sizes: dict[str, int] = field(default_factory=dict)  # in bytes, by content hash
    default_content: str = ""  # run by members without an assignment; empty: their own file
    default_build: str = ""
    assigned_content: dict[str, str] = field(default_factory=dict)
    assigned_build: dict[str, str] = field(default_factory=dict)
    permits_granted: int = 0  # in total
    rollout: Rollout | None = None
    closed_rollouts: list[Rollout] = field(default_factory=list)
    history: list[HistoryEntry] = field(default_factory=list)
    results: dict[int, CommandResult] = field(default_factory=dict)  # by command id
    last_applied: int = 0


@dataclass(frozen=True)
class MemberOrders:
    """Tell one member what to run and whether to drain."""

    is_drained: bool
    content_hash: str
    build: str


Count = Annotated[int, Meta(ge=0)]


class MemberReport(Struct, frozen=True, array_like=True):
    """Report a member's state to the leader; counts are since the member's start."""

    applied_index: Count = 0
    content_hash: Annotated[str, Meta(max_length=64)] = ""  # of the released file that it runs
    build: Annotated[str, Meta(max_length=64)] = ""
    is_ready: bool = False
    is_draining: bool = False
    is_drained: bool = False  # nothing is in flight and no client waits for an answer
    refused_content: Annotated[str, Meta(max_length=64)] = ""
    refusal: Annotated[str, Meta(max_length=200)] = ""
    # Permit numbers of drained upstreams to which this member has nothing in flight.
    idle_drains: Annotated[tuple[int, ...], Meta(max_length=64)] = ()
    completed: Count = 0  # requests that have ended; the next three are subsets of these
    on_time: Count = 0
    failed: Count = 0
    rejected: Count = 0
    memory_bytes: Count = 0


@dataclass(frozen=True)
class MemberView:
    """Describe one member as the leader's process sees it."""

    name: str
    id: int
    zone: str
    is_present: bool  # reachable and not leaving
    is_unreachable: bool = False  # lost without having left: it may still send requests


def make_key(name: str, pool: str = "") -> str:
    """Return the key of a balancer or, with a pool, of one of its upstreams."""
    return f"{UPSTREAM_PREFIX}{pool}/{name}" if pool else f"{BALANCER_PREFIX}{name}"


def display_name(key: str) -> str:
    """Return a key without its prefix: a balancer's name, or an upstream as pool/name."""
    return key[PREFIX_LENGTH:]


class CommandRefusedError(Exception):
    """A command is refused; the text, which is the answer to it, says why."""
