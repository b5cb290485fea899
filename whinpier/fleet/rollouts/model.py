"""The replicated state of drains and releases, as snapshots hold it."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from whinpier.fleet.rollouts.commands import Release, Rule

BANK = "bank"  # who did what no operator said
DRAINING, DONE, UNDRAINING = "draining", "done", "undraining"
PLANNING, WAVES, GATED, HALTED, UNDOING, UNDONE, RELEASED = (
    "planning",
    "waves",
    "gate",
    "halted",
    "undoing",
    "undone",
    "released",
)
ACTIVE = (PLANNING, WAVES, GATED, HALTED, UNDOING)


class Out(Struct, array_like=True):
    """One that is out by permit."""

    number: int  # rises from permit to permit
    line: int  # by which it was given
    why: str  # drain or release
    zone: str = ""
    pool: str = ""


class Drained(Struct, array_like=True):
    """One drain."""

    number: int  # of its permit
    state: str
    who: str
    why: str
    wall: int
    changed: int = 0  # the line that last changed its state
    left: str = ""  # who has not confirmed it, as the leader last said


class Rollout(Struct, array_like=True):
    """One release as it stands."""

    number: int
    given: Release
    phase: str = PLANNING
    waves: list[list[str]] = []
    wave: int = 0
    todo: list[str] = []  # of this wave, or of the undoing, who was not told yet
    met: list[str] = []  # who runs it
    zones: dict[str, str] = {}
    before: dict[str, str] = {}  # what each was told to run before
    failed: dict[str, str] = {}  # who did not do as told, and why
    reason: str = ""
    undoing: bool = False  # what is halted is the undoing
    good: str = ""  # what was good before


class Item(Struct, frozen=True, array_like=True):
    """One line of the history."""

    number: int
    wall: int
    who: str
    what: str
    why: str
    good: bool
    text: str
    chain: bytes  # over this and all before it


class Whole(Struct, array_like=True):
    """All that is agreed."""

    revision: int = 0  # the last line by which an operator changed anything
    rules: list[Rule] = []
    outs: dict[str, Out] = {}
    lost: dict[str, str] = {}  # who failed without asking: its zone
    gone: dict[str, int] = {}  # who was written off, by which line, and was not seen since
    drains: dict[str, Drained] = {}
    contents: dict[str, dict[int, bytes]] = {}
    sizes: dict[str, int] = {}
    good: str = ""  # what everybody runs who is told nothing else; empty: its own file as it is
    good_build: str = ""
    told: dict[str, str] = {}  # who runs another file
    told_build: dict[str, str] = {}  # who runs another build
    permits: int = 0  # that were ever given
    release: Rollout | None = None
    closed: list[Rollout] = []
    history: list[Item] = []
    results: dict[int, tuple[int, bool, str]] = {}
    applied: int = 0


@dataclass(frozen=True)
class Orders:
    """What one member is to do."""

    drained: bool
    content: str
    build: str


def key_of(name: str, pool: str = "") -> str:
    return f"u/{pool}/{name}" if pool else f"b/{name}"


def shown(key: str) -> str:
    """A key as people say it."""
    return key[2:]


class Refused(Exception):
    """A command that is not done; the text says why."""
