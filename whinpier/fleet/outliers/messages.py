"""Typed messages of outlier ejection, and their place in the `Plea` that carries each on the wire.

Owns the meaning of the numbers in a `Plea`. Whatever `encode` packs, `decode` gives back; fractions
are carried in hundredths, rounded down.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from whinpier.fleet import messages
from whinpier.fleet.messages import Plea
from whinpier.fleet.outliers.model import WHOLE_POOL, EjectionSlot, Observation, UpstreamKey

HUNDREDTHS = 100


@dataclass(frozen=True, slots=True)
class ObservationRequest:
    """A member that suspects an upstream asks what the others observed of it."""

    upstream: UpstreamKey
    nonce: int


@dataclass(frozen=True, slots=True)
class ObservationReply:
    """What one member observed of an upstream."""

    upstream: UpstreamKey
    nonce: int
    observation: Observation


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A proposer asks for a vote for one slot of a pool and, with a zone, one slot of that zone."""

    upstream: UpstreamKey
    nonce: int
    slot: int
    zone: int
    zone_slot: int

    def slots(self) -> list[EjectionSlot]:
        """Return the slots that the vote is asked for."""
        found = [EjectionSlot(self.upstream.pool, WHOLE_POOL, self.slot)]
        if self.zone:
            found.append(EjectionSlot(self.upstream.pool, self.zone, self.zone_slot))
        return found


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Whether a member gave its vote."""

    upstream: UpstreamKey
    nonce: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """A quorum voted for the ejection; sent to each voter with the delay of its own vote."""

    upstream: UpstreamKey
    nonce: int
    vote_delay_ns: int  # from the request to the vote's arrival, by the proposer's clock
    ejection_count: int


EjectionMessage: TypeAlias = (
    ObservationRequest | ObservationReply | VoteRequest | VoteReply | EjectionNotice
)


def encode(message: EjectionMessage) -> Plea:
    """Pack a message into the form that datagrams carry."""
    pool, key = message.upstream
    nonce = message.nonce
    match message:
        case ObservationRequest():
            return Plea(messages.HEARING, pool, key, nonce)
        case ObservationReply(observation=observed):
            answers = int(observed.answers * HUNDREDTHS)
            ratio = int(observed.latency_ratio * HUNDREDTHS)
            return Plea(
                messages.EVIDENCE, pool, key, nonce, answers, ratio, int(observed.in_good_standing)
            )
        case VoteRequest():
            return Plea(
                messages.VOTE_FOR, pool, key, nonce, message.slot, message.zone, message.zone_slot
            )
        case VoteReply():
            return Plea(messages.VOTE, pool, key, nonce, int(message.is_granted))
        case EjectionNotice():
            return Plea(
                messages.REST, pool, key, nonce, message.vote_delay_ns, message.ejection_count
            )


def decode(packed: Plea) -> EjectionMessage | None:
    """Read a message; None: its kind is unknown here."""
    upstream = UpstreamKey(packed.pool, packed.key)
    match packed.kind:
        case messages.HEARING:
            return ObservationRequest(upstream, packed.nonce)
        case messages.EVIDENCE:
            observation = Observation(
                packed.one / HUNDREDTHS, packed.two / HUNDREDTHS, bool(packed.three)
            )
            return ObservationReply(upstream, packed.nonce, observation)
        case messages.VOTE_FOR:
            return VoteRequest(upstream, packed.nonce, packed.one, packed.two, packed.three)
        case messages.VOTE:
            return VoteReply(upstream, packed.nonce, bool(packed.one))
        case messages.REST:
            return EjectionNotice(upstream, packed.nonce, packed.one, packed.two)
    return None
