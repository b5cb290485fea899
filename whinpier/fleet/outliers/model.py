"""Records of outlier ejection: how upstreams, slots, rounds, proposals and votes are represented.

Owns no state and takes no decision. Times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

WHOLE_POOL = 0  # in the place of a zone


class UpstreamKey(NamedTuple):
    """One run of an upstream in one pool, as the whole fleet names it."""

    pool: int
    key: int


class EjectionSlot(NamedTuple):
    """One of the places in which an upstream of a pool, or of a zone, may be ejected."""

    pool: int
    zone: int  # WHOLE_POOL for the slots of the pool itself
    number: int


class MemberCounts(NamedTuple):
    """How many members share a pool, this one among them."""

    expected: int  # reachable or not: a quorum is more than half of these
    reachable: int


class Observation(NamedTuple):
    """What one member observed of an upstream of late."""

    answers: float
    latency_ratio: float  # mean, in multiples of the usual latency
    in_good_standing: bool  # few of the upstreams that the member tried look bad to it


class Event(NamedTuple):
    """Something that happened to an upstream, for the log and for pools."""

    name: str
    fields: dict[str, Any]


class EjectionCount(NamedTuple):
    """How often an upstream was ejected, and when for the last time."""

    times: int
    last_at: int


@dataclass(slots=True)
class ObservationRound:
    """An upstream that this member suspects and has asked the others about."""

    upstream: UpstreamKey
    started_at: int
    requested_at: int = 0
    nonce: int = 0
    observations: dict[int, Observation] = field(default_factory=dict)  # by member


@dataclass(slots=True)
class EjectionProposal:
    """An ejection that this member asks votes for, or renews."""

    upstream: UpstreamKey
    zone: int
    slot: int
    zone_slot: int
    ends_at: int
    ejection_count: int
    is_operator_request: bool = False
    requested_at: int = 0
    nonce: int = 0
    vote_delays: dict[int, int] = field(default_factory=dict)  # by voter, in ns
    has_quorum: bool = False


@dataclass(slots=True)
class GrantedVote:
    """A vote of this member, which leases one slot to an upstream."""

    key: int
    expires_at: int
    granted_at: int
    nonce: int
    proposer: int
