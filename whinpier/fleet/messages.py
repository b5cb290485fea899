"""Datagrams of the fleet: their typed messages, encoding, authentication and size bounds.

A datagram is `MAGIC`, one byte of format version, a MessagePack body and a keyed BLAKE2b tag over
everything before it. Invariants: no body is decoded before its tag is verified, no datagram is
longer than `MAX_DATAGRAM_BYTES`, and incoming bytes raise nothing but `DatagramError`.

All structs are encoded as arrays: their fields may be renamed but never reordered, and the numbers
of kinds, states and reasons never change.
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

MAGIC = b"wB"
FORMAT_VERSION = 1
BUILD_VERSION = "0.1.0"  # announced to the other members
HEADER_BYTES = 3  # MAGIC and the format version
TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1_200  # small enough to pass every network without IP fragmentation
MIN_KEY_BYTES = 16  # shorter keys can be guessed
MAX_KEY_BYTES = 64  # the limit of BLAKE2b

# Kinds of datagrams.
(
    PING,
    ACK,
    PING_REQUEST,
    INDIRECT_ACK,
    STATE_EXCHANGE,
    METADATA_REQUEST,
    APPLICATION_DATA,
) = range(7)

# Kinds of `QuotaMessage`.
(
    LEASE_REQUEST,
    LEASE_GRANT,
    LEASE_RETURN,
    UNITS_REQUEST,
    UNITS_GRANT,
    STALE_STATE,
) = range(6)

# Kinds of `EjectionMessage`.
(
    OBSERVATION_REQUEST,
    OBSERVATION_REPLY,
    EJECTION_VOTE_REQUEST,
    EJECTION_VOTE_REPLY,
    EJECTION_NOTICE,
) = range(5)

# Kinds of `ConsensusMessage`.
(
    PRE_VOTE_REQUEST,
    PRE_VOTE_RESPONSE,
    VOTE_REQUEST,
    VOTE_RESPONSE,
    APPEND_ENTRIES,
    APPEND_RESPONSE,
    LOG_COMPACTED,
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

# States of a member. Of two updates with one incarnation the one with the later state wins.
ALIVE, LEAVING, SUSPECT, LOST, LEFT, REPLACED = range(6)
STATE_NAMES = ("here", "leaving", "suspect", "lost", "left", "replaced")

# Reasons for a state: the member announced it, does not answer, its port is closed, another run
# has its name, or an operator declared it dead.
SELF_REPORTED, NO_RESPONSE, PORT_UNREACHABLE, SUPERSEDED, DECLARED_DEAD = range(5)
REASON_NAMES = ("said", "silent", "refused", "renamed", "struck")

Uint = Annotated[int, Meta(ge=0)]  # up to 64 bits, the limit of MessagePack
Uint32 = Annotated[int, Meta(ge=0, lt=2**32)]
Uint40 = Annotated[int, Meta(ge=0, lt=2**40)]
MemberName = Annotated[str, Meta(min_length=1, max_length=63)]
ShortText = Annotated[str, Meta(max_length=63)]

# Bounds of what one datagram carries: somewhat more than fits into it.
MAX_POOLS = 64  # of a member, so that its metadata fits into one datagram
MAX_UPDATES = 60
MAX_METADATA = 16
MAX_PAYLOADS = 16
MAX_REQUESTED_IDS = 100
MAX_QUOTA_MESSAGES = 24
MAX_REGISTRY_ENTRIES = 16
MAX_EJECTION_MESSAGES = 24
MAX_LOG_ENTRIES = 32
MAX_CONSENSUS_MESSAGES = 8
MAX_LOG_ENTRY_BYTES = 880  # data of one log entry
MAX_CONSENSUS_BYTES = 980  # log entries and data of one consensus message
MAX_PAYLOAD_BYTES = 64  # of one published payload


class DatagramError(Exception):
    """A datagram that is rejected; `reason` is one of a few words and names a counter."""

    def __init__(self, reason: str) -> None:
        """Name the reason: `long`, `strange`, `unproved`, `later_form` or `torn`."""
        super().__init__(reason)
        self.reason = reason


class MemberMetadata(Struct, frozen=True, array_like=True):
    """Who a member is; a higher `version` replaces a lower one of the same run."""

    name: MemberName
    run: Uint  # random number drawn at the start: a restarted process is another member
    version: Uint32
    host: Annotated[str, Meta(min_length=7, max_length=15)]  # IPv4 address for the other members
    port: Annotated[int, Meta(ge=1, lt=65536)]
    build: ShortText = ""
    zone: ShortText = ""
    revision: ShortText = ""  # of its operator's configuration file
    pools: Annotated[tuple[Uint32, ...], Meta(max_length=MAX_POOLS)] = ()  # shared, by `pool_hash`
    limits_epoch: Uint32 = 0  # hash of how its file divides the limits of the whole fleet

    @property
    def id(self) -> int:
        """Return the id of this run of the member."""
        return member_id(self.name, self.run)

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port at which the other members reach it."""
        return self.host, self.port


class MemberUpdate(Struct, frozen=True, array_like=True):
    """The state that one member reports of another, or of itself."""

    id: Uint
    incarnation: Uint32  # raised by the member itself to refute a suspicion (SWIM, section 4.2)
    state: Annotated[int, Meta(ge=ALIVE, le=REPLACED)]
    reason: Annotated[int, Meta(ge=SELF_REPORTED, le=DECLARED_DEAD)] = SELF_REPORTED
    reporter: Uint = 0  # id of the member that reports it

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Return what orders updates on one member: the higher rank wins.

        LEFT and REPLACED are final and win over any incarnation.
        """
        final = self.state >= LEFT
        return final, 0 if final else self.incarnation, self.state, self.reason


class QuotaMessage(Struct, frozen=True, array_like=True):
    """A message about a leased part of a limit, or about units of a calendar window.

    - LEASE_REQUEST, LEASE_GRANT, LEASE_RETURN: `nonce` names the lease, `amount` is asked for,
      granted or given back, `sequence` counts the requests under this nonce.
    - UNITS_REQUEST, UNITS_GRANT: `amount` units of the window that starts at `sequence`, in seconds
      since the epoch.
    - STALE_STATE: the receiver's state file is older than its last run's, which had `nonce`
      records.
    """

    kind: Annotated[int, Meta(ge=LEASE_REQUEST, le=STALE_STATE)]
    limit: Uint32  # hash of the limit
    nonce: Uint
    amount: Annotated[int, Meta(ge=0, le=2**48)]
    sequence: Uint32
    key: Uint32 = 0  # of the tenant or upstream, where each has the limit for itself


class EjectionMessage(Struct, frozen=True, array_like=True):
    """A message about the ejection of one upstream, as whinpier.fleet.outliers.messages packs it.

    - OBSERVATION_REQUEST: no arguments.
    - OBSERVATION_REPLY: `arg1` answers and `arg2` latency ratio, both in hundredths, `arg3` 1 if
      the sender itself is in good standing.
    - EJECTION_VOTE_REQUEST: `arg1` slot of the pool, `arg2` zone or 0, `arg3` slot of the zone.
    - EJECTION_VOTE_REPLY: `arg1` 1 if the vote is granted.
    - EJECTION_NOTICE: `arg1` nanoseconds from the request to the vote's arrival, `arg2` how often
      the upstream was ejected.
    """

    kind: Annotated[int, Meta(ge=OBSERVATION_REQUEST, le=EJECTION_NOTICE)]
    pool: Uint32  # by `pool_hash`
    key: Uint32  # of the upstream
    nonce: Uint
    arg1: Uint40 = 0
    arg2: Uint40 = 0
    arg3: Uint40 = 0


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log, with the term of the leader that appended it."""

    term: Uint40
    kind: Annotated[int, Meta(ge=0, lt=64)]
    data: Annotated[bytes, Meta(max_length=MAX_LOG_ENTRY_BYTES)] = b""


class ConsensusMessage(Struct, frozen=True, array_like=True):
    """A message of the consensus protocol (Raft), about the replicated log `cluster_id`.

    - PRE_VOTE_REQUEST: `arg1` index and `arg2` term of the last entry; `term` is the term that the
      sender would campaign for. PRE_VOTE_RESPONSE: `arg1` 1 if granted.
    - VOTE_REQUEST: `arg1` index and `arg2` term of the last entry, `arg3` 1 if the leader asked for
      the election. VOTE_RESPONSE: `arg1` 1 if granted.
    - APPEND_ENTRIES: `arg1` index and `arg2` term of the entry before `entries`, `arg3` commit index,
      `arg4` round.
    - APPEND_RESPONSE: `arg1` 1 if the entries fit, 0 if not; `arg2` index up to which they are on
      the follower's disk, else the index to continue from, `arg3` index up to which they match,
      `arg4` round.
    - LOG_COMPACTED: the leader's log no longer holds the entries that the follower needs; `arg1`
      commit index.
    - FETCH_ENTRIES: `arg1` first index wanted, `arg2` bytes already received of the snapshot that
      ends at index `arg3`.
    - FETCHED_ENTRIES: `arg1` index of the first of `entries`, `arg2` 1 on the last message.
    - INSTALL_SNAPSHOT: `arg1` last index in the snapshot, `arg2` offset of `data`, `arg3` size of
      the snapshot.
    - FORWARD_COMMAND: commands for the leader, in `entries`.
    - READ_INDEX_REQUEST: `arg1` nonce. READ_INDEX_RESPONSE: `arg1` nonce, `arg2` index.
    - TIMEOUT_NOW: no arguments; the receiver is to campaign at once.
    - STALE_DISK: the disk with id `arg2` had `arg1` journal records before its last restart.
    - MEMBER_REPORT: the sender's report, in `data`.
    """

    kind: Annotated[int, Meta(ge=PRE_VOTE_REQUEST, le=MEMBER_REPORT)]
    cluster_id: Uint  # of the replicated log
    disk_id: Uint  # of the sender's persistent state
    term: Uint40
    arg1: Uint = 0
    arg2: Uint = 0
    arg3: Uint = 0
    arg4: Uint = 0
    entries: Annotated[list[LogEntry], Meta(max_length=MAX_LOG_ENTRIES)] = []
    data: Annotated[bytes, Meta(max_length=MAX_CONSENSUS_BYTES)] = b""


class DatagramWithoutConsensus(Struct, array_like=True):
    """A datagram without consensus messages, as builds without consensus send and read it."""

    kind: Annotated[int, Meta(ge=PING, le=APPLICATION_DATA)]
    sender: Uint
    sequence: Annotated[int, Meta(ge=0, le=2**63 - 1)]  # number among the sender's datagrams
    nonce: Uint = 0  # of a ping, repeated in its answers; not 0 in an exchange that wants an answer
    target: Uint = 0  # whom a ping is meant for, 0 for anyone; whom a ping request is about
    digest: Uint = 0  # of the sender's whole view
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []
    metadata: Annotated[list[MemberMetadata], Meta(max_length=MAX_METADATA)] = []
    payloads: Annotated[
        list[tuple[Uint32, Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)]]],
        Meta(max_length=MAX_PAYLOADS),
    ] = []  # by channel: the hash of a pool or limit, or a fixed one
    requested_ids: Annotated[list[Uint], Meta(max_length=MAX_REQUESTED_IDS)] = []
    quota_messages: Annotated[list[QuotaMessage], Meta(max_length=MAX_QUOTA_MESSAGES)] = []
    wall_clock_ns: Uint = 0  # the sender's, since the epoch; 0: not told
    registry_digest: Uint = 0
    registry_entries: Annotated[list[RegistryEntry], Meta(max_length=MAX_REGISTRY_ENTRIES)] = []
    ejection_messages: Annotated[list[EjectionMessage], Meta(max_length=MAX_EJECTION_MESSAGES)] = []


class Datagram(DatagramWithoutConsensus, array_like=True):
    """One datagram from one member to another."""

    consensus_messages: Annotated[
        list[ConsensusMessage], Meta(max_length=MAX_CONSENSUS_MESSAGES)
    ] = []


@lru_cache(maxsize=16_384)  # four times the members that a table holds
def member_id(name: str, run: int) -> int:
    """Return the 64-bit id of one run of a member."""
    text = f"{name}/{run:x}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, person=b"member").digest(), "big")


def pool_hash(name: str) -> int:
    """Return the 32-bit hash that stands for a pool's name, or a limit's or channel's."""
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=4, person=b"pool").digest(), "big"
    )


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Datagram] = msgspec.msgpack.Decoder(Datagram).decode


def encoded_size(message: Struct) -> int:
    """Return the bytes that a message takes in a datagram."""
    return len(_encode(message))


# The largest encoding of each message of bounded size.
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
_MAX_INT64 = 2**63 - 1
_LIST_LENGTH_BYTES = 7  # reserve: lists of more than 15 items have longer length prefixes
EMPTY_DATAGRAM_BYTES = (
    HEADER_BYTES
    + TAG_BYTES
    + _LIST_LENGTH_BYTES
    + len(
        _encode(
            DatagramWithoutConsensus(
                METADATA_REQUEST,
                _MAX_INT64,
                _MAX_INT64,
                _MAX_INT64,
                _MAX_INT64,
                _MAX_INT64,
                wall_clock_ns=_MAX_INT64,
                registry_digest=_MAX_INT64,
            )
        )
    )
)


LOG_PROGRESS_CHANNEL = pool_hash("record/news")  # members publish how far they know the log


class Seal:
    """Authenticates datagrams with the keys of the fleet.

    The first key signs, each one verifies: two keys are valid while the key is rotated.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Take one or two keys of MIN_KEY_BYTES to MAX_KEY_BYTES each."""
        self.keys = keys

    def seal(self, datagram: DatagramWithoutConsensus) -> bytes:
        """Encode and sign a datagram. Raises ValueError if it would be too long."""
        data = MAGIC + bytes((FORMAT_VERSION,)) + _encode(datagram)
        size = len(data) + TAG_BYTES
        if size > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {size} bytes, at most {MAX_DATAGRAM_BYTES} are allowed")
        return data + self.tag(data, self.keys[0])

    @staticmethod
    def tag(data: bytes, key: bytes) -> bytes:
        """Return the authentication tag of some data."""
        return hashlib.blake2b(data, key=key, digest_size=TAG_BYTES).digest()

    def open(self, data: bytes) -> Datagram:
        """Verify and decode a datagram. Raises DatagramError.

        The cost is bounded: an unauthenticated body is never decoded.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("long")
        if len(data) < HEADER_BYTES + TAG_BYTES or data[:2] != MAGIC:
            raise DatagramError("strange")
        body = data[:-TAG_BYTES]
        tag = data[-TAG_BYTES:]
        if not any(hmac.compare_digest(self.tag(body, key), tag) for key in self.keys):
            raise DatagramError("unproved")
        # Checked after the tag: an authenticated datagram of another version comes from a later
        # build, and is not noise.
        if data[2] != FORMAT_VERSION:
            raise DatagramError("later_form")
        try:
            return _decode(body[HEADER_BYTES:])
        except (msgspec.DecodeError, ValueError, RecursionError):
            raise DatagramError("torn") from None
