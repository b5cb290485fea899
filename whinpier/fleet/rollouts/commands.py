"""Typed contents of the log entries for drains and releases, and their codec.

Defines the fields of each kind of entry and their bounds. Invariants: the numbers of kinds and the
order of fields are on the wire and on disk, so new ones are only appended; an entry that does not
decode changes no member's state.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated, Any, TypeAlias

import msgspec
from msgspec import Meta, Struct

MAX_RULES = 64
MAX_DRAINS = 256
MAX_MEMBERS = 4_096
MAX_FILE_BYTES = 96 << 10  # of a released file, compressed
MAX_CHUNK_BYTES = 600  # of a released file in one entry
MAX_FILES = 8  # files that are held; of those not in use the oldest are dropped
MAX_HISTORY = 256  # entries
MAX_RESULTS = 512  # answers to commands that are kept
MAX_WRITTEN_OFF = 512  # members
MAX_TEXT = 200  # characters
MAX_CLOSED_ROLLOUTS = 8  # ended rollouts that are kept
MAX_WAVES = 16
MAX_NAMES_PER_ENTRY = 64

Text: TypeAlias = Annotated[str, Meta(max_length=MAX_TEXT)]
Name: TypeAlias = Annotated[str, Meta(max_length=160)]


class EntryKind(IntEnum):
    """Kinds of log entries; 0 and 1 are reserved for the consensus module."""

    SET_BUDGET = 2
    DRAIN = 3
    UNDRAIN = 4
    OBSERVATIONS = 5
    FILE_CHUNK = 6
    RELEASE = 7
    WAVE_PLAN = 8
    ANALYSIS_RESULT = 9
    HALT = 10
    RESUME = 11
    ROLL_BACK = 12
    WRITE_OFF = 13


# Names of the operators' commands on the control socket and in the history.
COMMAND_WORDS: dict[int, str] = {
    EntryKind.SET_BUDGET: "permits",
    EntryKind.DRAIN: "drain",
    EntryKind.UNDRAIN: "undrain",
    EntryKind.RELEASE: "release",
    EntryKind.HALT: "halt",
    EntryKind.RESUME: "resume",
    EntryKind.ROLL_BACK: "undo",
    EntryKind.WRITE_OFF: "strike",
}


class BudgetTarget(StrEnum):
    """What a rule of the disruption budget counts."""

    BALANCERS = "balancers"
    UPSTREAMS = "upstreams"


class ObservationKind(IntEnum):
    """What the leader observes of a member or an upstream."""

    LOST = 0  # it went out of service without a permit
    RETURNED = 1  # it serves again
    DRAIN_CONFIRMED = 2
    SWITCHED = 3  # it runs the version that it was assigned
    FAILED = 4  # it refused its assigned version, or did not come back
    WRITTEN_OFF = 5  # lost for too long: it no longer counts as out of service
    DRAIN_PENDING = 6  # members that have not confirmed a drain yet, as text


class CommandHeader(Struct, frozen=True, array_like=True):
    """Identify an operator's command; commands with the same id take effect once."""

    id: Annotated[int, Meta(ge=1)]
    operator: Text
    reason: Text = ""
    wall_ms: int = 0  # since the epoch; for display only
    base_revision: int = -1  # the command is refused if the state has changed since; -1: any


class BudgetRule(Struct, frozen=True, array_like=True):
    """Limit how many balancers or upstreams of a scope may be out of service at once."""

    name: Name
    target: str  # a BudgetTarget; other text is refused when the command is applied
    max_out: Annotated[int, Meta(ge=0, le=MAX_MEMBERS)]
    pool: Name = ""  # of the upstreams; empty: any
    zone: Name = ""  # empty: any


class SetBudget(Struct, frozen=True, array_like=True):
    """Replace all rules of the disruption budget."""

    header: CommandHeader
    rules: Annotated[list[BudgetRule], Meta(max_length=MAX_RULES)]


class DrainCommand(Struct, frozen=True, array_like=True):
    """Drain or undrain a balancer, or an upstream of a pool."""

    header: CommandHeader
    name: Name
    pool: Name = ""  # empty: a balancer
    zone: Name = ""


class Observation(Struct, frozen=True, array_like=True):
    """Report one thing that the leader observed of a member or an upstream."""

    kind: ObservationKind
    key: Name  # as returned by make_key
    number: int = 0  # of the permit that it refers to; 0: none
    text: Text = ""  # depends on the kind: a zone, the reason, or who is pending


class Observations(Struct, frozen=True, array_like=True):
    """Carry what the leader observed since its last entry."""

    id: int
    items: Annotated[list[Observation], Meta(max_length=64)]


class FileChunk(Struct, frozen=True, array_like=True):
    """Carry one chunk of a released file."""

    content_hash: Name
    offset: Annotated[int, Meta(ge=0, le=MAX_FILE_BYTES)]
    file_size: Annotated[int, Meta(ge=1, le=MAX_FILE_BYTES)]
    data: Annotated[bytes, Meta(max_length=MAX_CHUNK_BYTES)]


class AnalysisSettings(Struct, frozen=True, array_like=True):
    """Limit by how much updated members may do worse than the rest of the fleet."""

    window_ms: Annotated[int, Meta(ge=200, le=3_600_000)] = 3_000
    max_on_time_drop: float = 0.05  # fraction of completed requests, like the next two
    max_error_increase: float = 0.02
    max_rejected_increase: float = 0.05
    max_memory_ratio: float = 1.5
    min_requests: int = 20  # with fewer, a group can't be judged
    return_timeout_ms: int = 20_000  # within which a member must run its assigned version
    hold_on_failure: bool = False  # halt a failed rollout instead of rolling it back


class ReleaseCommand(Struct, frozen=True, array_like=True):
    """Release a file or a build to selected members in waves."""

    header: CommandHeader
    content_hash: Name = ""  # of a file; empty: a build is released
    build: Name = ""
    selector: Name = "all"  # all, zone=Z, or comma-separated names
    # Numbers of members, or percentages such as 25%; the members left over form the last wave.
    waves: Annotated[list[str], Meta(max_length=MAX_WAVES)] = msgspec.field(default_factory=list)
    analysis: AnalysisSettings = AnalysisSettings()
    previous_build: Name = ""  # of the process that received the command

    @property
    def version(self) -> str:
        """Return the version to run: the hash of a file, or a build."""
        return self.content_hash or self.build


class WavePlan(Struct, frozen=True, array_like=True):
    """Assign members to a wave of a rollout."""

    release_number: int
    wave: Annotated[int, Meta(ge=0, le=MAX_WAVES)]
    names: Annotated[list[Name], Meta(max_length=MAX_NAMES_PER_ENTRY)]
    zones: Annotated[list[Name], Meta(max_length=MAX_NAMES_PER_ENTRY)]  # one for each name
    is_last: bool = False


class AnalysisResult(Struct, frozen=True, array_like=True):
    """Carry the outcome of a wave's analysis."""

    release_number: int
    wave: int
    passed: bool
    text: Text = ""


class NamedCommand(Struct, frozen=True, array_like=True):
    """Halt, resume or roll back the active rollout, or write off the named member."""

    header: CommandHeader
    name: Name = ""


ENTRY_TYPES: dict[int, type[Struct]] = {
    EntryKind.SET_BUDGET: SetBudget,
    EntryKind.DRAIN: DrainCommand,
    EntryKind.UNDRAIN: DrainCommand,
    EntryKind.OBSERVATIONS: Observations,
    EntryKind.FILE_CHUNK: FileChunk,
    EntryKind.RELEASE: ReleaseCommand,
    EntryKind.WAVE_PLAN: WavePlan,
    EntryKind.ANALYSIS_RESULT: AnalysisResult,
    EntryKind.HALT: NamedCommand,
    EntryKind.RESUME: NamedCommand,
    EntryKind.ROLL_BACK: NamedCommand,
    EntryKind.WRITE_OFF: NamedCommand,
}

encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, Any] = {
    kind: msgspec.msgpack.Decoder(entry_type) for kind, entry_type in ENTRY_TYPES.items()
}


class EntryDecodeError(ValueError):
    """The contents of a log entry are malformed, or of a kind unknown to this build."""


def decode(kind: int, data: bytes) -> Any:
    """Decode the contents of a log entry.

    Raises EntryDecodeError.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        raise EntryDecodeError(f"unknown kind of log entry: {kind}")
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise EntryDecodeError(f"malformed log entry of kind {kind}: {error}") from error
