"""Data types of outlier ejection: upstreams, slots, rounds, proposals and votes.

Holds no logic. Times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

WHOLE_POOL = 0  # stands in a zone field for the pool itself


class UpstreamKey(NamedTuple):
    """One incarnation of an upstream in one pool, named alike by all members."""

    pool: int  # hash of the pool's name
    key: int  # hash of the host and its start time


class EjectionSlot(NamedTuple):
    """A slot that an ejected upstream occupies; their number bounds the ejections of a pool or zone."""

    pool: int
    zone: int  # WHOLE_POOL for the slots of the pool itself
    number: int


class MemberCounts(NamedTuple):
    """Number of members that share a pool, this one included."""

    expected: int  # reachable or not; a quorum is more than half of these
    reachable: int


class Observation(NamedTuple):
    """What one member recently observed of an upstream."""

    answers: float  # decayed number of recent answers
    latency_ratio: float  # mean, in multiples of the usual latency
    in_good_standing: bool  # few of the upstreams that the member tried look bad to it


class Event(NamedTuple):
    """A change of an upstream's ejection, for the log and for pools."""

    name: str
    fields: dict[str, Any]


class EjectionCount(NamedTuple):
    """Number of ejections of an upstream, and the time of the last."""

    times: int
    last_at: int


@dataclass(slots=True)
class ObservationRound:
    """A suspected upstream for which this member collects the observations of the others."""

    upstream: UpstreamKey
    started_at: int
    requested_at: int = 0
    nonce: int = 0
    observations: dict[int, Observation] = field(default_factory=dict)  # by member


@dataclass(slots=True)
class EjectionProposal:
    """An ejection for which this member requests votes, or which it renews."""

    upstream: UpstreamKey
    zone: int
    slot: int
    zone_slot: int
    ends_at: int
    ejection_count: int
    is_operator_request: bool = False
    requested_at: int = 0
    nonce: int = 0
    vote_delays: dict[int, int] = field(default_factory=dict)  # in ns, by voter
    has_quorum: bool = False


@dataclass(slots=True)
class GrantedVote:
    """A vote of this member, which leases one slot to an upstream."""

    key: int  # of the upstream
    expires_at: int
    granted_at: int
    nonce: int
    proposer: int
