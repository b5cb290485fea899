"""What makes two requests one: retransmissions by what is on the wire, records by what they say.

Owns the memory of requests and of their answers, bounded in number and time. A retransmission has
the same source, identifier and authenticator (RFC 5080, section 2.2.2); the same identifier with
another authenticator is a new request. Must never take two different records for one, answer one
request in two ways, or forget before its time what may come again: what there is no room for is not
taken.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, Generic, NamedTuple, TypeVar

from whinpier.policy.decaying_sum import SECOND
from whinpier.radius import packet as wire
from whinpier.radius.packet import Packet

Source = tuple[str, int]
T = TypeVar("T")

NEW, JOINS, AGAIN, FULL = "new", "joins", "answered again", "full"
# of the memory, for whoever comes; the rest is dealt out evenly, so that each has some of both
COMMON = 0.5
AT_ONCE = 64  # entries looked at for their age with each packet: many times what one packet adds


def wire_key(source: Source, packet: Packet) -> bytes:
    """What a retransmission has in common with the first: 16 bytes of a hash over it."""
    text = b"%s %d %d " % (source[0].encode(), source[1], packet.id)
    return hashlib.blake2b(text + packet.authenticator, digest_size=16).digest()


def record_key(packet: Packet, client: str) -> bytes | None:
    """What a record has in common with a later try of it, whose Acct-Delay-Time makes it look another.

    16 bytes of a hash over client, NAS, session, status, and the moment that it tells of where
    there is one; None where the record does not say enough to be known again. Interim updates of
    a session are told apart by their Event-Timestamp; without one they are not known again.
    """
    session, status = packet.first(wire.SESSION_ID), packet.first(wire.STATUS_TYPE)
    nas = [packet.first(kind) or b"" for kind in (wire.NAS_IDENTIFIER, wire.NAS_IP, wire.NAS_IPV6)]
    moment = packet.first(wire.EVENT_TIMESTAMP)
    number = packet.number(wire.STATUS_TYPE)
    if status is None or not any(nas) or not (session or number in (wire.ON, wire.OFF)):
        return None
    if number not in (wire.START, wire.STOP) and moment is None:
        return None
    parts = [client.encode(), *nas, session or b"", status, moment or b""]
    text = b"".join(len(part).to_bytes(2, "big") + part for part in parts)
    return hashlib.blake2b(text, digest_size=16).digest()


class RecordIdentity(NamedTuple):
    """What each try of one record has in common, and no other record of its client has."""

    key: bytes  # of `record_key`
    content: bytes  # of `content`: records alike in their key may differ in what they count


class Entry(Generic[T]):
    """A request that was met: who waits for its answer, or the answer that it had."""

    __slots__ = ("part", "key", "record", "content", "until", "request", "answer")

    def __init__(
        self, part: Part[T], key: bytes, record: bytes | None, content: bytes, until: int
    ) -> None:
        self.part, self.key, self.record, self.content = part, key, record, content
        self.until = until
        self.request: T | None = None
        self.answer: bytes | None = None

    @property
    def identity(self) -> RecordIdentity | None:
        """What the record is known again by; None if it does not say enough for that."""
        return None if self.record is None else RecordIdentity(self.record, self.content)


class Part(Generic[T]):
    """What is remembered of one client, in the order in which its time is over."""

    def __init__(self, name: str, kept: int) -> None:
        self.name, self.kept, self.guaranteed = name, kept, 0
        self.entries: OrderedDict[bytes, Entry[T]] = OrderedDict()
        self.records: dict[RecordIdentity, Entry[T]] = {}


class Memory(Generic[T]):
    """Requests by client and key; what is kept of one client is not touched by what another sends.

    `kept` is nanoseconds that an answer is kept, `most` bounds the entries of all clients together.
    Each client always has an even share of half of them; the other half is for whoever comes.
    Nothing is let go to make room, answered or not: a retransmission of it would run again.
    """

    def __init__(
        self, kept: int = 30 * SECOND, most: int = 65_536, clients: Iterable[str] = ()
    ) -> None:
        self.parts: dict[str, Part[T]] = {}
        # Of all clients: a source may belong to another client after a reload.
        self.entries: dict[bytes, Entry[T]] = {}
        self.note: Callable[[str, str, Entry[Any]], None] = lambda kind, client, entry: None
        self.change(kept, most, {name: kept for name in clients})

    def __len__(self) -> int:
        return sum(len(part.entries) for part in self.parts.values())

    def change(self, kept: int, most: int, clients: dict[str, int]) -> None:
        """Go on by other bounds; `clients` are names with how long each one's answers are kept.

        A client that is no longer there keeps what is remembered of it until its time is over.
        """
        self.kept = kept
        even = int((1.0 - COMMON) * most / max(1, len(clients)))
        for name, own in clients.items():
            part = self.parts.setdefault(name, Part(name, own))
            part.kept, part.guaranteed = own, even
        for name, part in self.parts.items():
            part.guaranteed = part.guaranteed if name in clients else 0
        self.common = most - even * len(clients)
        self.lent = sum(max(0, len(part.entries) - part.guaranteed) for part in self.parts.values())

    def meet(
        self,
        client: str,
        key: bytes,
        record: bytes | None,
        content: bytes,
        now: int,
        earlier: Iterable[tuple[str, bytes]] = (),
    ) -> tuple[str, Entry[T] | None]:
        """A request has come: whether it is new, joins one that is out, or is answered as it was before.

        `earlier` has the names of clients that its source belonged to before a reload, each with
        the record's key under it.
        """
        part = self.part(client)
        self.forget_of(part, now, AT_ONCE)
        entry = self.entries.get(key)
        if entry is None and record is not None:
            entry = self.find_record([(client, record), *earlier], content)
        if entry is not None:
            return (AGAIN, entry) if entry.answer is not None else (JOINS, entry)
        if len(part.entries) >= part.guaranteed:
            if self.lent >= self.common:
                return FULL, None
            self.lent += 1
        entry = self.add(part, key, record, content, now)
        self.note("n", client, entry)
        return NEW, entry

    def find_record(self, records: Iterable[tuple[str, bytes]], content: bytes) -> Entry[T] | None:
        """Return the entry of a record by the names of its client, the present one first."""
        for client, record in records:
            part = self.parts.get(client)
            known = part.records.get(RecordIdentity(record, content)) if part else None
            if known is not None:
                return known
        return None

    def part(self, client: str) -> Part[T]:
        if client not in self.parts:
            self.parts[client] = Part(client, self.kept)
        return self.parts[client]

    def add(
        self, part: Part[T], key: bytes, record: bytes | None, content: bytes, now: int
    ) -> Entry[T]:
        entry = part.entries[key] = Entry(part, key, record, content, now + part.kept)
        self.entries[key] = entry
        if identity := entry.identity:
            part.records.setdefault(identity, entry)
        return entry

    def recall(
        self, client: str, key: bytes, record: bytes | None, content: bytes, now: int
    ) -> None:
        """A request that an earlier run met, whatever room there is: it may have run."""
        part = self.part(client)
        if key in part.entries:
            return  # a compaction took it up before its own note was written
        self.lent += len(part.entries) >= part.guaranteed
        self.add(part, key, record, content, now)

    def find(self, client: str, key: bytes) -> Entry[T] | None:
        part = self.parts.get(client)
        return part.entries.get(key) if part else None

    def answered(self, entry: Entry[T], answer: bytes, now: int) -> None:
        """A request has its final answer, which its retransmissions are given for a while."""
        entry.answer = answer
        self.note("a", entry.part.name, entry)
        self.put_last(entry, now)

    def ended(self, entry: Entry[T], now: int) -> None:
        """A request ended; without an answer it may have run: its tries are met with silence for a while."""
        self.note("e", entry.part.name, entry)
        self.put_last(entry, now)

    def put_last(self, entry: Entry[T], now: int) -> None:
        entry.request = None
        if entry.key in entry.part.entries:
            entry.until = now + entry.part.kept
            entry.part.entries.move_to_end(entry.key)

    def given_up(self, entry: Entry[T]) -> None:
        """A request ended without an answer, and never ran: its next try may be taken as new."""
        part = entry.part
        if part.entries.pop(entry.key, None) is not None:
            if self.entries.get(entry.key) is entry:
                del self.entries[entry.key]
            self.lent -= len(part.entries) >= part.guaranteed
            self.note("g", part.name, entry)
        identity = entry.identity
        if identity and part.records.get(identity) is entry:
            del part.records[identity]

    def forget(self, now: int, most: int = 4096) -> None:
        """Let go of what is old, so many of each client at once at the most."""
        for name, part in list(self.parts.items()):
            self.forget_of(part, now, most)
            if not part.entries and not part.guaranteed:
                del self.parts[name]

    def forget_of(self, part: Part[T], now: int, most: int) -> None:
        """What is still out stays, and is looked at again later: its end says what becomes of it."""
        entries = part.entries
        for _ in range(min(most, len(entries))):
            entry = next(iter(entries.values()))
            if entry.until > now:
                return
            if entry.request is not None:
                entry.until = now + part.kept
                entries.move_to_end(entry.key)
            else:
                self.given_up(entry)


def content(packet: Packet) -> bytes:
    """A hash of what a record says: all but its delay, its proof and what proxies added."""
    left_out = (wire.DELAY_TIME, wire.MESSAGE_AUTHENTICATOR, wire.PROXY_STATE)
    text = b"".join(
        bytes((kind, len(value))) + value
        for kind, value in packet.attributes
        if kind not in left_out
    )
    return hashlib.blake2b(text, digest_size=16).digest()
