"""The typed commands and observations that log entries carry, and their codec."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

# Kinds of lines; the first two are the record's own.
RULES, DRAIN, UNDRAIN, OBSERVED, PUT, RELEASE, PLAN, GATE, HALT, RESUME, UNDO, STRUCK = range(2, 14)
SAID = {
    RULES: "permits",
    DRAIN: "drain",
    UNDRAIN: "undrain",
    RELEASE: "release",
    HALT: "halt",
    RESUME: "resume",
    UNDO: "undo",
    STRUCK: "strike",
}  # what operators say
BALANCERS, UPSTREAMS = "balancers", "upstreams"
# What a leader has seen. LOST: without asking. BACK: it serves again. CONFIRMED: a drain is done.
# SWITCHED: it runs what it was told to. FAILED: it refuses, or did not come back. WRITTEN_OFF: lost
# for so long that it is reckoned with no more. LEFT: who has not confirmed a drain yet, for people.
LOST, BACK, CONFIRMED, SWITCHED, FAILED, WRITTEN_OFF, LEFT = range(7)
MOST_RULES, MOST_DRAINS, MOST_MEMBERS = 64, 256, 4_096
MOST_CONTENT, MOST_PIECE = 96 << 10, 600  # bytes of a release's file, compressed; of one line of it
MOST_CONTENTS = 8  # files that are held: older ones that nobody is told to run go
MOST_HISTORY, MOST_RESULTS = 256, 512
MOST_GONE = 512
MOST_TEXT = 200
CLOSED = 8  # releases that are over and still shown

Text = Annotated[str, Meta(max_length=MOST_TEXT)]
Name = Annotated[str, Meta(max_length=160)]


class Said(Struct, frozen=True, array_like=True):
    """What every operator's command has: an id by which it counts once, who, why, when, what it
    rests on.
    """

    id: Annotated[int, Meta(ge=1)]
    who: Text
    why: Text = ""
    wall: int = 0  # ms since the epoch, for people
    based: int = -1  # the revision that its operator had seen; -1: whatever it is


class Rule(Struct, frozen=True, array_like=True):
    """How many may be out at once of what a scope names."""

    name: Name
    of: str  # BALANCERS or UPSTREAMS
    out: Annotated[int, Meta(ge=0, le=MOST_MEMBERS)]
    pool: Name = ""  # of upstreams; empty: any
    zone: Name = ""  # empty: any


class Rules(Struct, frozen=True, array_like=True):
    said: Said
    rules: Annotated[list[Rule], Meta(max_length=MOST_RULES)]


class Drain(Struct, frozen=True, array_like=True):
    """Let a balancer, or an upstream of a pool, get nothing new until it is undrained; or undrain it."""

    said: Said
    name: Name  # a balancer's, an upstream's
    pool: Name = ""  # empty: a balancer
    zone: Name = ""


class Seen(Struct, frozen=True, array_like=True):
    """One thing that the leader has seen of a member or an upstream."""

    what: Annotated[int, Meta(ge=LOST, le=LEFT)]
    key: Name
    number: int = 0  # of the permit or drain that is meant
    text: Text = ""  # a zone; why it failed


class Observed(Struct, frozen=True, array_like=True):
    id: int
    seen: Annotated[list[Seen], Meta(max_length=64)]


class Put(Struct, frozen=True, array_like=True):
    """A piece of a release's file."""

    content: Name  # its hash
    at: Annotated[int, Meta(ge=0, le=MOST_CONTENT)]
    size: Annotated[int, Meta(ge=1, le=MOST_CONTENT)]
    data: Annotated[bytes, Meta(max_length=MOST_PIECE)]


class Gate(Struct, frozen=True, array_like=True):
    """What has to hold between two waves, measured beside the rest of the fleet in the same seconds."""

    window_ms: Annotated[int, Meta(ge=200, le=3_600_000)] = 3_000
    on_time: float = 0.05  # by how much less may be on time
    errors: float = 0.02  # and more failed
    turned_back: float = 0.05  # and more rejected
    memory: float = 1.5  # times what the rest holds
    least: int = 20  # requests, without which there is nothing to judge by
    back_ms: int = 20_000  # for a member to come back
    hold: bool = False  # what fails is held where it is, and not undone


class Release(Struct, frozen=True, array_like=True):
    """A file's content or a build, to whom, in which waves."""

    said: Said
    content: Name = ""  # a file by its hash; empty: a build
    build: Name = ""
    selector: Name = "all"  # all, zone=Z, or names with commas between
    waves: Annotated[
        list[str], Meta(max_length=16)
    ] = []  # numbers, or parts of all as 25%; then the rest
    gate: Gate = Gate()
    before: Name = ""  # the build that its operator's process is


class Plan(Struct, frozen=True, array_like=True):
    """Who is in which wave of a release; the last says so."""

    number: int
    wave: Annotated[int, Meta(ge=0, le=16)]
    names: Annotated[list[Name], Meta(max_length=64)]
    zones: Annotated[list[Name], Meta(max_length=64)]  # of each of them
    last: bool = False


class Judged(Struct, frozen=True, array_like=True):
    """How a gate was found."""

    number: int
    wave: int
    good: bool
    text: Text = ""


class About(Struct, frozen=True, array_like=True):
    """Halt, resume or undo the release that is on; undo one that is over; strike a member."""

    said: Said
    name: Name = ""


FORMS: dict[int, type[Struct]] = {
    RULES: Rules,
    DRAIN: Drain,
    UNDRAIN: Drain,
    OBSERVED: Observed,
    PUT: Put,
    RELEASE: Release,
    PLAN: Plan,
    GATE: Judged,
    HALT: About,
    RESUME: About,
    UNDO: About,
    STRUCK: About,
}
encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, Any] = {kind: msgspec.msgpack.Decoder(form) for kind, form in FORMS.items()}
