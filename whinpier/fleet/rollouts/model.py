"""The replicated state of drains and rollouts, and what members and their leader tell of each other.

Owns the records that a snapshot holds. Invariant: the order of fields is the form of snapshots and
reports on the wire and on disk. Phases are read as plain text, so that a snapshot of a later build
that knows more of them can still be restored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, field

from whinpier.fleet.rollouts.commands import BudgetRule, ReleaseCommand

FLEET_ACTOR = "bank"  # stands in the history for what no operator commanded
BALANCER_PREFIX = "b/"


class DrainPhase(StrEnum):
    """How far a drain is."""

    DRAINING = "draining"
    DRAINED = "done"
    UNDRAINING = "undraining"


class RolloutPhase(StrEnum):
    """How far a rollout is."""

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

    number: int  # rises from permit to permit
    entry_index: int  # of the entry that granted it
    purpose: str  # a PermitPurpose
    zone: str = ""
    pool: str = ""


class Drain(Struct, array_like=True):
    """Hold the progress of one drain."""

    permit_number: int
    phase: str  # a DrainPhase
    operator: str
    reason: str
    wall_ms: int
    changed_index: int = 0  # of the entry that last changed its phase
    pending: str = ""  # who has not confirmed it, as the leader last reported


class Rollout(Struct, array_like=True):
    """Hold the progress of one release."""

    number: int
    command: ReleaseCommand
    phase: str = RolloutPhase.PLANNING
    waves: list[list[str]] = field(default_factory=list)
    current_wave: int = 0
    pending: list[str] = field(default_factory=list)  # who is still to be assigned in this phase
    updated: list[str] = field(default_factory=list)  # who runs it
    zones: dict[str, str] = field(default_factory=dict)
    previous: dict[str, str] = field(default_factory=dict)  # each member's earlier assignment
    failed: dict[str, str] = field(default_factory=dict)  # who did not switch, and why
    reason: str = ""
    is_rollback: bool = False  # if halted: what was halted is the rollback
    previous_default: str = ""  # the fleet's default before this release


class HistoryEntry(Struct, frozen=True, array_like=True):
    """Record one action for people to read."""

    index: int
    wall_ms: int
    actor: str
    action: str
    reason: str
    succeeded: bool
    text: str
    digest: bytes  # over this entry and all before it


class CommandResult(NamedTuple):
    """Hold the answer that each repetition of a command gets."""

    entry_index: int
    succeeded: bool
    text: str


class ReplicatedState(Struct, array_like=True):
    """Hold all that the log entries so far amount to."""

    revision: int = 0  # the last entry by which an operator changed anything
    rules: list[BudgetRule] = field(default_factory=list)
    permits: dict[str, Permit] = field(default_factory=dict)
    lost: dict[str, str] = field(default_factory=dict)  # who failed without a permit: its zone
    written_off: dict[str, int] = field(default_factory=dict)  # by which entry; not seen since
    drains: dict[str, Drain] = field(default_factory=dict)
    file_chunks: dict[str, dict[int, bytes]] = field(default_factory=dict)
    file_sizes: dict[str, int] = field(default_factory=dict)
    default_content: str = ""  # what members without an assignment run; empty: their own file
    default_build: str = ""
    assigned_content: dict[str, str] = field(default_factory=dict)
    assigned_build: dict[str, str] = field(default_factory=dict)
    permits_granted: int = 0  # ever
    rollout: Rollout | None = None
    closed_rollouts: list[Rollout] = field(default_factory=list)
    history: list[HistoryEntry] = field(default_factory=list)
    results: dict[int, CommandResult] = field(default_factory=dict)
    last_applied: int = 0


@dataclass(frozen=True)
class MemberOrders:
    """Say what one member is to do."""

    is_drained: bool
    content_hash: str
    build: str


Count = Annotated[int, Meta(ge=0)]


class MemberReport(Struct, frozen=True, array_like=True):
    """Tell the leader how a member stands; counts are since its start."""

    applied_index: Count = 0
    content_hash: Annotated[str, Meta(max_length=64)] = ""  # of the released file that it runs
    build: Annotated[str, Meta(max_length=64)] = ""
    is_ready: bool = False
    is_draining: bool = False
    is_drained: bool = False  # nothing is in flight, and no client waits for an answer
    refused_content: Annotated[str, Meta(max_length=64)] = ""
    refusal: Annotated[str, Meta(max_length=200)] = ""
    # Permits of drained upstreams to which this member has nothing in flight.
    idle_drains: Annotated[tuple[int, ...], Meta(max_length=64)] = ()
    completed: Count = 0  # requests with their answer, of which the next three are parts
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
    is_present: bool  # heard from, and not leaving
    is_unreachable: bool = False  # lost by silence alone: it may go on sending


def make_key(name: str, pool: str = "") -> str:
    """Return the key of a balancer, or of an upstream of a pool."""
    return f"u/{pool}/{name}" if pool else f"{BALANCER_PREFIX}{name}"


def display_name(key: str) -> str:
    """Return a key as people read it."""
    return key[2:]


class CommandRefusedError(Exception):
    """A command can't be carried out; the text says why."""
