"""What makes two requests one: retransmissions by what is on the wire, records by what they say.

Owns the memory of requests and of their answers, bounded in number and time. A retransmission has the same
source, identifier and authenticator (RFC 5080, section 2.2.2); the same identifier with another authenticator
is a new request. Must never take two different records for one, or answer one request in two ways.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from whinpier.decay import SECOND
from whinpier.radius import packet as wire
from whinpier.radius.packet import Packet

Source = tuple[str, int]
Key = tuple[Source, int, bytes]
T = TypeVar("T")

NEW, JOINS, AGAIN, FULL = "new", "joins", "answered again", "full"


def wire_key(source: Source, packet: Packet) -> Key:
    """What a retransmission has in common with the first."""
    return source, packet.id, packet.authenticator


def record_key(packet: Packet, client: str) -> bytes | None:
    """What a record has in common with a later try of it, whose Acct-Delay-Time makes it look another.

    16 bytes of a hash over client, NAS, session, status, and the moment that it tells of where there is one;
    None where the record does not say enough to be known again. Interim updates of a session are told apart
    by their Event-Timestamp; without one they are not known again.
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


@dataclass(slots=True)
class Entry(Generic[T]):
    """A request that was met: who waits for its answer, or the answer that it had."""

    record: bytes | None
    until: int
    task: T | None = None
    answer: bytes | None = None
    content: bytes = b""  # a hash of what the record says, beside its delay


@dataclass
class Memory(Generic[T]):
    """Requests by key, the oldest first out once their time is over.

    `kept` is nanoseconds that an answer is kept; `most` bounds the entries. Where it is full of requests that
    are still out nothing new is taken: forgetting one of them could charge it twice.
    """

    kept: int = 30 * SECOND
    most: int = 65_536
    entries: OrderedDict[Key, Entry[T]] = field(default_factory=OrderedDict)
    records: dict[bytes, Key] = field(default_factory=dict)

    def meet(self, key: Key, record: bytes | None, content: bytes, now: int) -> tuple[str, Entry[T] | None]:
        """A request has come: whether it is new, joins one that is out, or is answered as it was before."""
        self.forget(now)
        entry = self.entries.get(key)
        if entry is None and record is not None and (other := self.records.get(record)) is not None:
            known = self.entries[other]
            # Guards against two records that look alike to the key: a difference in content makes them two.
            if known.content == content:
                entry = known
        if entry is not None:
            return (AGAIN, entry) if entry.answer is not None else (JOINS, entry)
        if len(self.entries) >= self.most and not self.make_room():
            return FULL, None
        entry = self.entries[key] = Entry(record, now + self.kept, content=content)
        if record is not None:
            self.records.setdefault(record, key)
        return NEW, entry

    def answered(self, key: Key, answer: bytes, now: int) -> None:
        """A request has its final answer, which its retransmissions are given for a while."""
        if (entry := self.entries.get(key)) is not None:
            entry.answer, entry.task, entry.until = answer, None, now + self.kept
            self.entries.move_to_end(key)

    def given_up(self, key: Key) -> None:
        """A request ended without an answer, and never ran: its next try may be taken as new."""
        self.drop(key)

    def ended(self, key: Key, now: int) -> None:
        """A request ended without an answer, and may have run: for a while its tries are met with silence."""
        if (entry := self.entries.get(key)) is not None:
            entry.task, entry.until = None, now + self.kept
            self.entries.move_to_end(key)

    def make_room(self) -> bool:
        """Let go of the oldest whose answer is known."""
        for key, entry in self.entries.items():
            if entry.answer is not None:
                self.drop(key)
                return True
        return False

    def forget(self, now: int) -> None:
        """Let go of what is old. What is still out stays: its end says what becomes of it."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.until > now:
                return
            if entry.task is not None:
                entry.until = now + self.kept
                self.entries.move_to_end(key)
                continue
            self.drop(key)

    def drop(self, key: Key) -> None:
        entry = self.entries.pop(key, None)
        if entry is not None and entry.record is not None and self.records.get(entry.record) == key:
            del self.records[entry.record]


def content(packet: Packet) -> bytes:
    """A hash of what a record says: all but its delay, its proof and what proxies added."""
    left_out = (wire.DELAY_TIME, wire.MESSAGE_AUTHENTICATOR, wire.PROXY_STATE)
    text = b"".join(bytes((kind, len(value))) + value for kind, value in packet.attributes
                    if kind not in left_out)
    return hashlib.blake2b(text, digest_size=16).digest()
