"""Last-write-wins registry of what operators set for the whole fleet, spread by gossip.

Owns one member's replica. Of two entries with one key the higher version wins, and of two with one
version the one from the member with the higher id, so that replicas converge in whatever order
entries arrive. An entry without a value is a tombstone, and each entry expires.

Updates ride on datagrams that are sent anyway; full replicas are sent where digests differ. This
is no consensus: while the fleet is partitioned, its parts may go by different entries.

Invariants: no entry is held beyond its lifetime by more than its time in transit, and there are
never more than `MAX_ENTRIES`. The module does no I/O and is handed the time.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from whinpier.policy.decaying_sum import SECOND

MILLISECOND = SECOND // 1000

MAX_ENTRIES = 512
MAX_KEY_LENGTH = 160  # characters
MAX_VALUE_SIZE = 320  # bytes
MAX_LIFETIME_MS = 24 * 3600 * 1000  # what has to last longer belongs in the configuration files

RETRANSMIT_MULTIPLIER = 3  # times that an update is sent, for each doubling of the fleet
MAX_UPDATES_PER_DATAGRAM = 4
FULL_SYNC_INTERVAL = SECOND  # at least this long between two full syncs

# An entry leaves the digest this long before it expires: clocks and transit times differ by less,
# so that replicas don't take turns at expiring it and find that their digests differ.
DIGEST_EXPIRY_MARGIN = 2 * SECOND


class RegistryEntry(Struct, frozen=True, array_like=True):
    """One entry as it is sent; an empty value is a tombstone."""

    key: Annotated[str, Meta(min_length=1, max_length=MAX_KEY_LENGTH)]
    value: Annotated[bytes, Meta(max_length=MAX_VALUE_SIZE)]
    version: Annotated[int, Meta(ge=1, lt=2**53)]
    origin: Annotated[int, Meta(ge=0)]  # id of the member at which it was set
    remaining_ms: Annotated[int, Meta(ge=0, le=MAX_LIFETIME_MS)]

    def supersedes(self, other: RegistryEntry) -> bool:
        """Tell whether this entry wins over another with the same key."""
        return (self.version, self.origin) > (other.version, other.origin)


class StoredEntry(NamedTuple):
    """An entry as a replica holds it."""

    entry: RegistryEntry
    expires_at: int  # nanoseconds on this process's clock
    digest_part: int  # the same in every process


class PendingUpdate(NamedTuple):
    """A key whose entry is still to be gossiped."""

    key: str
    transmissions: int  # how often it was sent so far


class Registry:
    """One member's replica of the registry.

    Times (`now`, `expires_at`) are nanoseconds on this process's clock.
    """

    def __init__(self) -> None:
        """Start with an empty replica."""
        self.entries: dict[str, StoredEntry] = {}
        self.pending: deque[PendingUpdate] = deque()
        self.digest = 0
        self.highest_version = 0  # of all entries that were met, also of those that lost
        self.last_full_sync_at = -FULL_SYNC_INTERVAL
        self.change_count = 0
        self.rejected_count = 0  # entries for which there was no capacity

    def put(
        self, key: str, value: bytes, lifetime_ns: int, origin: int, now: int
    ) -> RegistryEntry | None:
        """Set an entry at this member; return None where it exceeds a bound or does not last."""
        if len(key) > MAX_KEY_LENGTH or len(value) > MAX_VALUE_SIZE:
            return None
        remaining_ms = min(lifetime_ns // MILLISECOND, MAX_LIFETIME_MS)
        entry = RegistryEntry(key, value, self.highest_version + 1, origin, remaining_ms)
        return entry if self.merge(entry, now) else None

    def merge(self, entry: RegistryEntry, now: int) -> bool:
        """Take an entry over if it supersedes what is held; return whether it did."""
        self.highest_version = max(self.highest_version, entry.version)
        if entry.remaining_ms == 0:
            return False
        held = self.entries.get(entry.key)
        if held is not None and not entry.supersedes(held.entry):
            return False
        if held is None and len(self.entries) >= MAX_ENTRIES:
            self.rejected_count += 1
            return False
        expires_at = now + entry.remaining_ms * MILLISECOND
        self.entries[entry.key] = StoredEntry(entry, expires_at, digest_part(entry))
        self.pending.append(PendingUpdate(entry.key, transmissions=0))
        self.change_count += 1
        self.expire(now)
        return True

    def expire(self, now: int) -> None:
        """Remove entries that are over, and bring the digest up to date."""
        expired = [key for key, stored in self.entries.items() if stored.expires_at <= now]
        for key in expired:
            del self.entries[key]
            self.change_count += 1
        self.digest = 0
        for stored in self.entries.values():
            if stored.expires_at > now + DIGEST_EXPIRY_MARGIN:
                self.digest ^= stored.digest_part

    def values_with_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return the values of keys with this prefix, by the rest of the key, without tombstones."""
        return {
            key.removeprefix(prefix): stored.entry.value
            for key, stored in self.entries.items()
            if key.startswith(prefix) and stored.entry.value
        }

    def collect_updates(self, capacity: int, member_count: int, now: int) -> list[RegistryEntry]:
        """Return updates that are still to be gossiped, as far as `capacity` bytes hold them."""
        max_transmissions = RETRANSMIT_MULTIPLIER * max(1, member_count.bit_length())
        collected: dict[str, RegistryEntry] = {}
        for _ in range(min(len(self.pending), MAX_UPDATES_PER_DATAGRAM)):
            key, transmissions = self.pending.popleft()
            stored = self.entries.get(key)
            if stored is None or key in collected:
                continue
            entry = _with_remaining_lifetime(stored, now)
            size = _encoded_size(entry)
            if size <= capacity:
                collected[key] = entry
                capacity -= size
                transmissions += 1
            if transmissions < max_transmissions:
                self.pending.append(PendingUpdate(key, transmissions))
        return list(collected.values())

    def pages(self, max_size: int, max_entries: int, now: int) -> Iterator[list[RegistryEntry]]:
        """Yield all entries in pages of at most `max_size` bytes and `max_entries` entries."""
        page: list[RegistryEntry] = []
        capacity = max_size
        for stored in self.entries.values():
            entry = _with_remaining_lifetime(stored, now)
            size = _encoded_size(entry)
            if page and (size > capacity or len(page) >= max_entries):
                yield page
                page = []
                capacity = max_size
            page.append(entry)
            capacity -= size
        if page:
            yield page

    def start_full_sync(self, now: int) -> bool:
        """Tell whether a member whose digest differs may be sent all, and if so count it as sent.

        While updates are pending they are the usual reason why digests differ, and suffice.
        """
        if self.pending or now < self.last_full_sync_at + FULL_SYNC_INTERVAL:
            return False
        self.last_full_sync_at = now
        return True


_encode = msgspec.msgpack.Encoder().encode


def _encoded_size(entry: RegistryEntry) -> int:
    """Return how many bytes an entry takes of a datagram."""
    return len(_encode(entry))


def _with_remaining_lifetime(stored: StoredEntry, now: int) -> RegistryEntry:
    """Return the entry as it is sent at `now`, with what is left of its lifetime."""
    remaining_ms = max(0, (stored.expires_at - now) // MILLISECOND)
    return msgspec.structs.replace(stored.entry, remaining_ms=remaining_ms)


def digest_part(entry: RegistryEntry) -> int:
    """Return an entry's part of the digest, which is the exclusive or of all parts."""
    text = f"{entry.key}/{entry.version}/{entry.origin}".encode()
    # The personalization is part of the protocol: digests are compared between builds.
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, person=b"register").digest(), "big")
