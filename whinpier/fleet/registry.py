"""Decides what operators have said to the whole fleet, and for how long: a small table that all
come to hold.

Of two words on one key the later version holds, of two of one version that of the higher member.
Each has an end, so that what was said and forgotten does not stay; lifting it is a word too.
Words go with datagrams that are sent anyway, and whole tables where digests differ. It is not an
agreement: while parts of the fleet are cut off they may go by different words. Free of I/O. Must
never hold a word beyond its end by more than its way took, or more words than `MOST`.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from whinpier.policy.decaying_sum import SECOND

MS = SECOND // 1000
MOST, MOST_KEY, MOST_VALUE = 512, 160, 320  # words, characters, bytes
LONGEST = 24 * 3600 * 1000  # ms that one may last: what is to stay belongs into files
TIMES = 3  # each is sent, for each doubling of the fleet
APART = SECOND  # between two whole tables to whoever differs
FADING = 2 * SECOND  # before its end a word counts in no digest: clocks and ways differ by less


class Entry(Struct, frozen=True, array_like=True):
    """One word; without a value it says that what was said is lifted."""

    key: Annotated[str, Meta(min_length=1, max_length=MOST_KEY)]
    value: Annotated[bytes, Meta(max_length=MOST_VALUE)]
    version: Annotated[int, Meta(ge=1, lt=2**53)]
    by: Annotated[int, Meta(ge=0)]  # the member at which it was said
    left: Annotated[int, Meta(ge=0, le=LONGEST)]  # ms that it lasts

    @property
    def rank(self) -> tuple[int, int]:
        return self.version, self.by


_encode = msgspec.msgpack.Encoder().encode


class Word(NamedTuple):
    """A word as it is held."""

    entry: Entry
    until: int  # on this process's clock
    mark: int  # of the digest: the same in every process


class Register:
    """One member's table."""

    def __init__(self) -> None:
        self.words: dict[str, Word] = {}
        self.news: deque[tuple[str, int]] = deque()  # key, times sent
        self.digest = 0
        self.version = 0  # the highest that was met
        self.told_at = -APART
        self.changes = 0
        self.refused = 0  # words for which there was no room

    def say(self, key: str, value: bytes, life: int, by: int, now: int) -> Entry | None:
        """An operator's word at this member, for `life` nanoseconds; None where it has no room."""
        if len(key) > MOST_KEY or len(value) > MOST_VALUE:
            return None
        entry = Entry(key, value, self.version + 1, by, min(life // MS, LONGEST))
        return entry if self.take(entry, now) else None

    def take(self, entry: Entry, now: int) -> bool:
        """Believe a word if it is later than what is known; whether it was."""
        self.version = max(self.version, entry.version)
        known = self.words.get(entry.key)
        if known is not None and entry.rank <= known.entry.rank or not entry.left:
            return False
        if known is None and len(self.words) >= MOST:
            self.refused += 1
            return False
        self.words[entry.key] = Word(entry, now + entry.left * MS, mark_of(entry))
        self.news.append((entry.key, 0))
        self.changes += 1
        self.settle(now)
        return True

    def settle(self, now: int) -> None:
        """What is over goes."""
        for key in [key for key, word in self.words.items() if word.until <= now]:
            del self.words[key]
            self.changes += 1
        self.digest = 0
        for word in self.words.values():
            if word.until > now + FADING:
                self.digest ^= word.mark

    def values(self, prefix: str) -> dict[str, bytes]:
        """What is said by keys that begin so, without what is lifted."""
        return {
            key[len(prefix) :]: word.entry.value
            for key, word in self.words.items()
            if key.startswith(prefix) and word.entry.value
        }

    # On the way.

    def fill(self, room: int, members: int, now: int) -> list[Entry]:
        """Words that have not been sent often enough yet, as far as they fit."""
        times, found = TIMES * max(1, members.bit_length()), list[Entry]()
        for _ in range(min(len(self.news), 4)):
            key, sent = self.news.popleft()
            word = self.words.get(key)
            if word is None or any(entry.key == key for entry in found):
                continue
            entry = self.aged(word, now)
            if (size := len(_encode(entry))) <= room:
                found.append(entry)
                room -= size
                sent += 1
            if sent < times:
                self.news.append((key, sent))
        return found

    @staticmethod
    def aged(word: Word, now: int) -> Entry:
        """A word with what is left of its life."""
        return msgspec.structs.replace(word.entry, left=max(0, (word.until - now) // MS))

    def pages(self, size: int, most: int, now: int) -> Iterator[list[Entry]]:
        """All words, so many bytes, and words, at a time."""
        page, room = list[Entry](), size
        for word in self.words.values():
            entry = self.aged(word, now)
            needed = len(_encode(entry))
            if page and (needed > room or len(page) >= most):
                yield page
                page, room = [], size
            page.append(entry)
            room -= needed
        if page:
            yield page

    def due(self, now: int) -> bool:
        """Whether whoever differs may be sent all; where news is on its way that is the usual reason."""
        if self.news or now < self.told_at + APART:
            return False
        self.told_at = now
        return True


def mark_of(entry: Entry) -> int:
    """A word's part of a digest."""
    text = f"{entry.key}/{entry.version}/{entry.by}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, person=b"register").digest(), "big")
