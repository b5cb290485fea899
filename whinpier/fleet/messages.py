"""Each datagram of the fleet with its form: packed, sealed by the fleet's key, opened, bounded.

A datagram is `MAGIC`, one byte of form, a MessagePack body and a keyed BLAKE2b tag over all before
it. Must never read a body whose tag does not prove that it comes from the fleet, make a datagram of
more than `LARGEST` bytes, or raise anything but `Unread` for what came in.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from whinpier.fleet.registry import RegistryEntry

MAGIC, FORMAT_VERSION = b"wB", 1
BUILD_VERSION = "0.1.0"  # as which this build is known to the others
HEADER_BYTES, TAG_BYTES = 3, 16  # bytes
MAX_DATAGRAM_BYTES = 1_200  # bytes: passes every network without being cut in pieces
MIN_KEY_BYTES, MAX_KEY_BYTES = (
    16,
    64,
)  # bytes of a key: what BLAKE2b takes, and what can't be guessed

# What a datagram is.
PING, ACK, PING_REQUEST, INDIRECT_ACK, STATE_EXCHANGE, METADATA_REQUEST, APPLICATION_DATA = range(7)
LEASE_REQUEST, LEASE_GRANT, LEASE_RETURN, UNITS_REQUEST, UNITS_GRANT, STALE_STATE = range(
    6
)  # deals about a part of a limit, and a state file
(
    OBSERVATION_REQUEST,
    OBSERVATION_REPLY,
    EJECTION_VOTE_REQUEST,
    EJECTION_VOTE_REPLY,
    EJECTION_NOTICE,
) = range(5)  # pleas about an upstream
# What keeps the fleet's record: elections, copies, learning, commands, reads, what a member
# reports.
(
    PRE_VOTE_REQUEST,
    PRE_VOTE_RESPONSE,
    VOTE_REQUEST,
    VOTE_RESPONSE,
    APPEND_ENTRIES,
    APPEND_ACCEPTED,
    APPEND_REJECTED,
    FETCH_ENTRIES,
    FETCHED_ENTRIES,
    INSTALL_SNAPSHOT,
    FORWARD_COMMAND,
    READ_INDEX_REQUEST,
    READ_INDEX_RESPONSE,
    TIMEOUT_NOW,
    STALE_DISK,
    MEMBER_REPORT,
) = range(16)
# What is believed of a member; the order in which one word of the same life outdoes another.
ALIVE, LEAVING, SUSPECT, LOST, LEFT, REPLACED = range(6)
STATE_NAMES = ("here", "leaving", "suspect", "lost", "left", "replaced")
# On what evidence.
SELF_REPORTED, NO_RESPONSE, PORT_UNREACHABLE, SUPERSEDED, DECLARED_DEAD = range(5)
REASON_NAMES = ("said", "silent", "refused", "renamed", "struck")

Id = Annotated[int, Meta(ge=0)]  # MessagePack holds no more than eight bytes
Small = Annotated[int, Meta(ge=0, lt=2**32)]
Name = Annotated[str, Meta(min_length=1, max_length=63)]
Short = Annotated[str, Meta(max_length=63)]
MAX_POOLS = 64  # of a member: with its card they still fit into one datagram
MAX_UPDATES, MAX_METADATA, MAX_PAYLOADS, MAX_REQUESTED_IDS = (
    60,
    16,
    16,
    100,
)  # what fits into a datagram, and a little more
MAX_QUOTA_MESSAGES, MAX_REGISTRY_ENTRIES, MAX_EJECTION_MESSAGES = 24, 16, 24
MAX_LOG_ENTRIES, MAX_CONSENSUS_MESSAGES = 32, 8
MAX_LOG_ENTRY_BYTES, MAX_CONSENSUS_BYTES = (
    880,
    980,
)  # bytes of one line of the record, and of all that goes with one talk
MAX_PAYLOAD_BYTES = 64  # bytes that a pool's decisions may tell at once


class DatagramError(Exception):
    """A datagram that is not taken; `reason` is one of a few words, for a counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MemberMetadata(Struct, frozen=True, array_like=True):
    """Who a member is; a later `version` of the same run takes the place of an earlier one."""

    name: Name
    run: Id  # drawn at its start: a restart is somebody else
    version: Small
    host: Annotated[str, Meta(min_length=7, max_length=15)]  # where the others reach it
    port: Annotated[int, Meta(ge=1, lt=65536)]
    build: Short = ""
    zone: Short = ""
    revision: Short = ""  # of its operator's file
    pools: Annotated[
        tuple[Small, ...], Meta(max_length=MAX_POOLS)
    ] = ()  # that it shares, by `pool_mark`
    limits_epoch: Small = 0  # how limits of the whole fleet are divided, by its file

    @property
    def id(self) -> int:
        return member_id(self.name, self.run)

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


class MemberUpdate(Struct, frozen=True, array_like=True):
    """What is believed of one member, and by whose word."""

    id: Id
    incarnation: Small  # raised by the member itself, to refute what is said of it
    state: Annotated[int, Meta(ge=ALIVE, le=REPLACED)]
    reason: Annotated[int, Meta(ge=SELF_REPORTED, le=DECLARED_DEAD)] = SELF_REPORTED
    reporter: Id = 0

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Of two words on one member the one of the higher rank holds; what is final outdoes any life."""
        final = self.state >= LEFT
        return final, 0 if final else self.incarnation, self.state, self.reason


class QuotaMessage(Struct, frozen=True, array_like=True):
    """A part of a limit is asked for, lent, given back; requests of a window are asked for, or
    handed over.
    """

    kind: Annotated[int, Meta(ge=LEASE_REQUEST, le=STALE_STATE)]
    limit: Small  # by its mark
    nonce: Id  # of the loan; of a state file that is old, how many notes the last one had
    amount: Annotated[int, Meta(ge=0, le=2**48)]
    turn: (
        Small  # how often it was asked for anew; of a window, its start in seconds since the epoch
    )
    key: Small = 0  # of which of many, where each tenant or upstream has the limit for itself


Plain = Annotated[int, Meta(ge=0, lt=2**40)]


class EjectionMessage(Struct, frozen=True, array_like=True):
    """About one upstream: what was seen of it, whether it may rest."""

    kind: Annotated[int, Meta(ge=OBSERVATION_REQUEST, le=EJECTION_NOTICE)]
    pool: Small  # by its mark
    key: Small  # of the upstream
    nonce: Id
    arg1: Plain = (
        0  # hundredths of answers; a slot; whether it is voted for; ns from asking to the vote
    )
    arg2: Plain = 0  # hundredths of the usual latency; a zone; how often it has rested
    arg3: Plain = 0  # whether whoever says it stands well; a zone's slot


class LogEntry(Struct, frozen=True, array_like=True):
    """One line of the record: which leader's, what kind, its contents."""

    term: Plain
    kind: Annotated[int, Meta(ge=0, lt=64)]
    data: Annotated[bytes, Meta(max_length=MAX_LOG_ENTRY_BYTES)] = b""


class ConsensusMessage(Struct, frozen=True, array_like=True):
    """About the record: `disk` says which copy its sender keeps; what the numbers mean hangs on
    the kind.
    """

    kind: Annotated[int, Meta(ge=PRE_VOTE_REQUEST, le=MEMBER_REPORT)]
    record: Id
    disk: Id
    term: Plain
    arg1: Id = 0
    arg2: Id = 0
    arg3: Id = 0
    arg4: Id = 0
    lines: Annotated[list[LogEntry], Meta(max_length=MAX_LOG_ENTRIES)] = []
    data: Annotated[bytes, Meta(max_length=MAX_CONSENSUS_BYTES)] = b""


class DatagramWithoutConsensus(Struct, array_like=True):
    """One message from one member to another that has no talks, as it was before there were any."""

    kind: Annotated[int, Meta(ge=PING, le=APPLICATION_DATA)]
    sender: Id
    sequence: Annotated[
        int, Meta(ge=0, le=2**63 - 1)
    ]  # of the sender's datagrams, in the order sent
    nonce: Id = 0  # of a ping, and of what answers it
    target: Id = 0  # whom a ping is meant for (0: whoever is there), whom to ask after
    digest: Id = 0  # of the sender's whole view
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []
    metadata: Annotated[list[MemberMetadata], Meta(max_length=MAX_METADATA)] = []
    payloads: Annotated[
        list[tuple[Small, Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)]]],
        Meta(max_length=MAX_PAYLOADS),
    ] = []  # by pool
    requested_ids: Annotated[
        list[Id], Meta(max_length=MAX_REQUESTED_IDS)
    ] = []  # whose cards are wanted
    quota_messages: Annotated[list[QuotaMessage], Meta(max_length=MAX_QUOTA_MESSAGES)] = []
    wall_clock_ns: Id = (
        0  # the sender's wall clock, in nanoseconds since the epoch; 0: it tells none
    )
    registry_digest: Id = 0  # digest of what operators said, as the sender holds it
    registry_entries: Annotated[list[RegistryEntry], Meta(max_length=MAX_REGISTRY_ENTRIES)] = []
    ejection_messages: Annotated[list[EjectionMessage], Meta(max_length=MAX_EJECTION_MESSAGES)] = []


class Datagram(DatagramWithoutConsensus, array_like=True):
    """One message from one member to another."""

    consensus_messages: Annotated[
        list[ConsensusMessage], Meta(max_length=MAX_CONSENSUS_MESSAGES)
    ] = []


@lru_cache(maxsize=16_384)  # four tables of the largest fleet that there may be
def member_id(name: str, run: int) -> int:
    """Which member this is, in eight bytes: a name and one of its runs."""
    text = f"{name}/{run:x}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, person=b"member").digest(), "big")


def pool_hash(name: str) -> int:
    """A pool's name in four bytes."""
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=4, person=b"pool").digest(), "big"
    )


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Datagram] = msgspec.msgpack.Decoder(Datagram).decode


def encoded_size(what: Struct) -> int:
    """Bytes that a card, or anything like it, takes of a datagram."""
    return len(_encode(what))


QUOTA_MESSAGE_BYTES = len(
    _encode(QuotaMessage(LEASE_RETURN, 2**32 - 1, 2**63, 2**48, 2**32 - 1, 2**32 - 1))
)
EJECTION_MESSAGE_BYTES = len(
    _encode(
        EjectionMessage(
            EJECTION_NOTICE, 2**32 - 1, 2**32 - 1, 2**63, 2**40 - 1, 2**40 - 1, 2**40 - 1
        )
    )
)
MEMBER_UPDATE_BYTES = len(
    _encode(MemberUpdate(2**64 - 1, 2**32 - 1, REPLACED, DECLARED_DEAD, 2**64 - 1))
)
# Of a datagram, without what it carries.
_LONG = 2**63 - 1
EMPTY_DATAGRAM_BYTES = (
    HEADER_BYTES
    + TAG_BYTES
    + 7
    + len(
        _encode(
            DatagramWithoutConsensus(
                METADATA_REQUEST,
                _LONG,
                _LONG,
                _LONG,
                _LONG,
                _LONG,
                wall_clock_ns=_LONG,
                registry_digest=_LONG,
            )
        )
    )
)


LOG_PROGRESS_CHANNEL = pool_hash(
    "record/news"
)  # under which members tell how far they know the record


class Seal:
    """Keys of the fleet: the first seals, each opens; two hold while they are changed."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def seal(self, datagram: DatagramWithoutConsensus) -> bytes:
        data = MAGIC + bytes((FORMAT_VERSION,)) + _encode(datagram)
        if len(data) + TAG_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(data) + TAG_BYTES} bytes")
        return data + self.tag(data, self.keys[0])

    @staticmethod
    def tag(data: bytes, key: bytes) -> bytes:
        return hashlib.blake2b(data, key=key, digest_size=TAG_BYTES).digest()

    def open(self, data: bytes) -> Datagram:
        """What a datagram says. Raises Unread, for a bounded price: what is no proof is not read."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("long")
        if len(data) < HEADER_BYTES + TAG_BYTES or data[:2] != MAGIC:
            raise DatagramError("strange")
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not any(hmac.compare_digest(self.tag(body, key), tag) for key in self.keys):
            raise DatagramError("unproved")
        # Only now: a form that is proved to be of the fleet's is a later build's, not noise.
        if data[2] != FORMAT_VERSION:
            raise DatagramError("later_form")
        try:
            return _decode(body[HEADER_BYTES:])
        except (msgspec.DecodeError, ValueError, RecursionError):
            raise DatagramError("torn") from None
