"""Typed payloads of outlier ejection, and their encoding as `EjectionMessage` on the wire.

Defines what the arguments of an `EjectionMessage` of each kind mean. `decode` reverses `encode`, but
fractions are carried in hundredths, rounded down.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from whinpier.fleet import messages
from whinpier.fleet.messages import EjectionMessage
from whinpier.fleet.outliers.model import WHOLE_POOL, EjectionSlot, Observation, UpstreamKey

HUNDREDTHS_PER_UNIT = 100


@dataclass(frozen=True, slots=True)
class ObservationRequest:
    """Asks the other members what they observed of a suspected upstream."""

    upstream: UpstreamKey
    nonce: int


@dataclass(frozen=True, slots=True)
class ObservationReply:
    """Carries what one member observed of an upstream."""

    upstream: UpstreamKey
    nonce: int
    observation: Observation


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote that leases a slot of the pool and, with a zone, a slot of that zone."""

    upstream: UpstreamKey
    nonce: int
    slot: int
    zone: int
    zone_slot: int

    def slots(self) -> list[EjectionSlot]:
        """Return the slots that a granted vote leases."""
        slots = [EjectionSlot(self.upstream.pool, WHOLE_POOL, self.slot)]
        if self.zone:
            slots.append(EjectionSlot(self.upstream.pool, self.zone, self.zone_slot))
        return slots


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Grants or refuses a vote."""

    upstream: UpstreamKey
    nonce: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """Tells a voter that a quorum voted for the ejection, and the delay of its own vote."""

    upstream: UpstreamKey
    nonce: int
    vote_delay_ns: int  # from the request to the vote's arrival, by the proposer's clock
    ejection_count: int


EjectionPayload: TypeAlias = (
    ObservationRequest | ObservationReply | VoteRequest | VoteReply | EjectionNotice
)


def encode(message: EjectionPayload) -> EjectionMessage:
    """Pack a payload into the message that datagrams carry."""
    pool, key = message.upstream
    nonce = message.nonce
    match message:
        case ObservationRequest():
            return EjectionMessage(messages.OBSERVATION_REQUEST, pool, key, nonce)
        case ObservationReply(observation=observed):
            answers = int(observed.answers * HUNDREDTHS_PER_UNIT)
            ratio = int(observed.latency_ratio * HUNDREDTHS_PER_UNIT)
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
    """Unpack a message; return None if its kind is unknown to this build."""
    upstream = UpstreamKey(packed.pool, packed.key)
    match packed.kind:
        case messages.OBSERVATION_REQUEST:
            return ObservationRequest(upstream, packed.nonce)
        case messages.OBSERVATION_REPLY:
            observation = Observation(
                packed.arg1 / HUNDREDTHS_PER_UNIT,
                packed.arg2 / HUNDREDTHS_PER_UNIT,
                bool(packed.arg3),
            )
            return ObservationReply(upstream, packed.nonce, observation)
        case messages.EJECTION_VOTE_REQUEST:
            return VoteRequest(upstream, packed.nonce, packed.arg1, packed.arg2, packed.arg3)
        case messages.EJECTION_VOTE_REPLY:
            return VoteReply(upstream, packed.nonce, bool(packed.arg1))
        case messages.EJECTION_NOTICE:
            return EjectionNotice(upstream, packed.nonce, packed.arg1, packed.arg2)
    return None
