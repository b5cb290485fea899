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

MAGIC, FORM = b"wB", 1
BUILD = "0.1.0"  # as which this build is known to the others
HEAD, TAG = 3, 16  # bytes
LARGEST = 1_200  # bytes: passes every network without being cut in pieces
KEY_LEAST, KEY_MOST = 16, 64  # bytes of a key: what BLAKE2b takes, and what can't be guessed

# What a datagram is.
PING, ACK, ASK, STANDS, EXCHANGE, WANT, DEALS = range(7)
ASK_FOR, LEND, BACK, ASK_UNITS, UNITS, OLD = range(
    6
)  # deals about a part of a limit, and a state file
HEARING, EVIDENCE, VOTE_FOR, VOTE, REST = range(5)  # pleas about an upstream
# What keeps the fleet's record: elections, copies, learning, commands, reads, what a member
# reports.
(
    ASK_EARLY,
    EARLY,
    ASK_VOTE,
    VOTED,
    APPEND,
    TAKEN,
    BEHIND,
    FETCH,
    LINES,
    PIECE,
    FORWARD,
    READ,
    READ_AT,
    HURRY,
    STALE,
    REPORT,
) = range(16)
# What is believed of a member; the order in which one word of the same life outdoes another.
HERE, LEAVING, SUSPECT, LOST, LEFT, REPLACED = range(6)
STATES = ("here", "leaving", "suspect", "lost", "left", "replaced")
# On what evidence.
SAID, SILENT, REFUSED, RENAMED, STRUCK = range(5)
WHY = ("said", "silent", "refused", "renamed", "struck")

Id = Annotated[int, Meta(ge=0)]  # MessagePack holds no more than eight bytes
Small = Annotated[int, Meta(ge=0, lt=2**32)]
Name = Annotated[str, Meta(min_length=1, max_length=63)]
Short = Annotated[str, Meta(max_length=63)]
MOST_POOLS = 64  # of a member: with its card they still fit into one datagram
MOST_WORDS, MOST_CARDS, MOST_SAID, MOST_IDS = (
    60,
    16,
    16,
    100,
)  # what fits into a datagram, and a little more
MOST_DEALS, MOST_ENTRIES, MOST_PLEAS = 24, 16, 24
MOST_LINES, MOST_TALKS = 32, 8
MOST_LINE, MOST_TALK = (
    880,
    980,
)  # bytes of one line of the record, and of all that goes with one talk
MOST_CONTENTS = 64  # bytes that a pool's decisions may tell at once


class Unread(Exception):
    """A datagram that is not taken; `reason` is one of a few words, for a counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Card(Struct, frozen=True, array_like=True):
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
        tuple[Small, ...], Meta(max_length=MOST_POOLS)
    ] = ()  # that it shares, by `pool_mark`
    limits: Small = 0  # how limits of the whole fleet are divided, by its file

    @property
    def id(self) -> int:
        return member_id(self.name, self.run)

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


class Word(Struct, frozen=True, array_like=True):
    """What is believed of one member, and by whose word."""

    id: Id
    life: Small  # raised by the member itself, to refute what is said of it
    state: Annotated[int, Meta(ge=HERE, le=REPLACED)]
    why: Annotated[int, Meta(ge=SAID, le=STRUCK)] = SAID
    by: Id = 0

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Of two words on one member the one of the higher rank holds; what is final outdoes any life."""
        final = self.state >= LEFT
        return final, 0 if final else self.life, self.state, self.why


class Deal(Struct, frozen=True, array_like=True):
    """A part of a limit is asked for, lent, given back; requests of a window are asked for, or
    handed over.
    """

    kind: Annotated[int, Meta(ge=ASK_FOR, le=OLD)]
    limit: Small  # by its mark
    nonce: Id  # of the loan; of a state file that is old, how many notes the last one had
    amount: Annotated[int, Meta(ge=0, le=2**48)]
    turn: (
        Small  # how often it was asked for anew; of a window, its start in seconds since the epoch
    )
    key: Small = 0  # of which of many, where each tenant or upstream has the limit for itself


Plain = Annotated[int, Meta(ge=0, lt=2**40)]


class Plea(Struct, frozen=True, array_like=True):
    """About one upstream: what was seen of it, whether it may rest."""

    kind: Annotated[int, Meta(ge=HEARING, le=REST)]
    pool: Small  # by its mark
    key: Small  # of the upstream
    nonce: Id
    one: Plain = (
        0  # hundredths of answers; a slot; whether it is voted for; ns from asking to the vote
    )
    two: Plain = 0  # hundredths of the usual latency; a zone; how often it has rested
    three: Plain = 0  # whether whoever says it stands well; a zone's slot


class Line(Struct, frozen=True, array_like=True):
    """One line of the record: which leader's, what kind, its contents."""

    term: Plain
    kind: Annotated[int, Meta(ge=0, lt=64)]
    data: Annotated[bytes, Meta(max_length=MOST_LINE)] = b""


class Talk(Struct, frozen=True, array_like=True):
    """About the record: `disk` says which copy its sender keeps; what the numbers mean hangs on
    the kind.
    """

    kind: Annotated[int, Meta(ge=ASK_EARLY, le=REPORT)]
    record: Id
    disk: Id
    term: Plain
    one: Id = 0
    two: Id = 0
    three: Id = 0
    four: Id = 0
    lines: Annotated[list[Line], Meta(max_length=MOST_LINES)] = []
    data: Annotated[bytes, Meta(max_length=MOST_TALK)] = b""


class Plainly(Struct, array_like=True):
    """One message from one member to another that has no talks, as it was before there were any."""

    kind: Annotated[int, Meta(ge=PING, le=DEALS)]
    sender: Id
    count: Annotated[int, Meta(ge=0, le=2**63 - 1)]  # of the sender's datagrams, in the order sent
    nonce: Id = 0  # of a ping, and of what answers it
    target: Id = 0  # whom a ping is meant for (0: whoever is there), whom to ask after
    digest: Id = 0  # of the sender's whole view
    words: Annotated[list[Word], Meta(max_length=MOST_WORDS)] = []
    cards: Annotated[list[Card], Meta(max_length=MOST_CARDS)] = []
    said: Annotated[
        list[tuple[Small, Annotated[bytes, Meta(max_length=MOST_CONTENTS)]]],
        Meta(max_length=MOST_SAID),
    ] = []  # by pool
    ids: Annotated[list[Id], Meta(max_length=MOST_IDS)] = []  # whose cards are wanted
    deals: Annotated[list[Deal], Meta(max_length=MOST_DEALS)] = []
    wall: Id = 0  # the sender's wall clock, in nanoseconds since the epoch; 0: it tells none
    register: Id = 0  # digest of what operators said, as the sender holds it
    entries: Annotated[list[RegistryEntry], Meta(max_length=MOST_ENTRIES)] = []
    pleas: Annotated[list[Plea], Meta(max_length=MOST_PLEAS)] = []


class Datagram(Plainly, array_like=True):
    """One message from one member to another."""

    talks: Annotated[list[Talk], Meta(max_length=MOST_TALKS)] = []


@lru_cache(maxsize=16_384)  # four tables of the largest fleet that there may be
def member_id(name: str, run: int) -> int:
    """Which member this is, in eight bytes: a name and one of its runs."""
    text = f"{name}/{run:x}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, person=b"member").digest(), "big")


def pool_mark(name: str) -> int:
    """A pool's name in four bytes."""
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=4, person=b"pool").digest(), "big"
    )


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Datagram] = msgspec.msgpack.Decoder(Datagram).decode


def size_of(what: Struct) -> int:
    """Bytes that a card, or anything like it, takes of a datagram."""
    return len(_encode(what))


DEAL_SIZE = len(_encode(Deal(BACK, 2**32 - 1, 2**63, 2**48, 2**32 - 1, 2**32 - 1)))
PLEA_SIZE = len(_encode(Plea(REST, 2**32 - 1, 2**32 - 1, 2**63, 2**40 - 1, 2**40 - 1, 2**40 - 1)))
WORD_SIZE = len(_encode(Word(2**64 - 1, 2**32 - 1, REPLACED, STRUCK, 2**64 - 1)))
# Of a datagram, without what it carries.
_LONG = 2**63 - 1
EMPTY_SIZE = (
    HEAD
    + TAG
    + 7
    + len(_encode(Plainly(WANT, _LONG, _LONG, _LONG, _LONG, _LONG, wall=_LONG, register=_LONG)))
)


RECORD_NEWS = pool_mark("record/news")  # under which members tell how far they know the record


class Seal:
    """Keys of the fleet: the first seals, each opens; two hold while they are changed."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def seal(self, datagram: Plainly) -> bytes:
        data = MAGIC + bytes((FORM,)) + _encode(datagram)
        if len(data) + TAG > LARGEST:
            raise ValueError(f"a datagram of {len(data) + TAG} bytes")
        return data + self.tag(data, self.keys[0])

    @staticmethod
    def tag(data: bytes, key: bytes) -> bytes:
        return hashlib.blake2b(data, key=key, digest_size=TAG).digest()

    def open(self, data: bytes) -> Datagram:
        """What a datagram says. Raises Unread, for a bounded price: what is no proof is not read."""
        if len(data) > LARGEST:
            raise Unread("long")
        if len(data) < HEAD + TAG or data[:2] != MAGIC:
            raise Unread("strange")
        body, tag = data[:-TAG], data[-TAG:]
        if not any(hmac.compare_digest(self.tag(body, key), tag) for key in self.keys):
            raise Unread("unproved")
        # Only now: a form that is proved to be of the fleet's is a later build's, not noise.
        if data[2] != FORM:
            raise Unread("later_form")
        try:
            return _decode(body[HEAD:])
        except (msgspec.DecodeError, ValueError, RecursionError):
            raise Unread("torn") from None
