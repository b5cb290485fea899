"""Typed payloads of outlier ejection, and the `EjectionMessage` that carries each on the wire.

Owns the meaning of the arguments in an `EjectionMessage`. Whatever `encode` packs, `decode` gives
back; fractions are carried in hundredths, rounded down.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from whinpier.fleet import messages
from whinpier.fleet.messages import EjectionMessage
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


EjectionPayload: TypeAlias = (
    ObservationRequest | ObservationReply | VoteRequest | VoteReply | EjectionNotice
)


def encode(message: EjectionPayload) -> EjectionMessage:
    """Pack a message into the form that datagrams carry."""
    pool, key = message.upstream
    nonce = message.nonce
    match message:
        case ObservationRequest():
            return EjectionMessage(messages.OBSERVATION_REQUEST, pool, key, nonce)
        case ObservationReply(observation=observed):
            answers = int(observed.answers * HUNDREDTHS)
            ratio = int(observed.latency_ratio * HUNDREDTHS)
            return EjectionMessage(
                messages.OBSERVATION_REPLY,
                pool,
                key,
                nonce,
                answers,
                ratio,
                int(observed.in_good_standing),
            )
        case VoteRequest():
            return EjectionMessage(
                messages.EJECTION_VOTE_REQUEST,
                pool,
                key,
                nonce,
                message.slot,
                message.zone,
                message.zone_slot,
            )
        case VoteReply():
            return EjectionMessage(
                messages.EJECTION_VOTE_REPLY, pool, key, nonce, int(message.is_granted)
            )
        case EjectionNotice():
            return EjectionMessage(
                messages.EJECTION_NOTICE,
                pool,
                key,
                nonce,
                message.vote_delay_ns,
                message.ejection_count,
            )


def decode(packed: EjectionMessage) -> EjectionPayload | None:
    """Read a message; None: its kind is unknown here."""
    upstream = UpstreamKey(packed.pool, packed.key)
    match packed.kind:
        case messages.OBSERVATION_REQUEST:
            return ObservationRequest(upstream, packed.nonce)
        case messages.OBSERVATION_REPLY:
            observation = Observation(
                packed.arg1 / HUNDREDTHS, packed.arg2 / HUNDREDTHS, bool(packed.arg3)
            )
            return ObservationReply(upstream, packed.nonce, observation)
        case messages.EJECTION_VOTE_REQUEST:
            return VoteRequest(upstream, packed.nonce, packed.arg1, packed.arg2, packed.arg3)
        case messages.EJECTION_VOTE_REPLY:
            return VoteReply(upstream, packed.nonce, bool(packed.arg1))
        case messages.EJECTION_NOTICE:
            return EjectionNotice(upstream, packed.nonce, packed.arg1, packed.arg2)
    return None
