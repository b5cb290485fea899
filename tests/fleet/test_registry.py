"""The last-write-wins registry: replicas converge, entries expire, and bounds hold."""

from tests.fleet.test_membership import deliver_all, make_membership
from whinpier.fleet.registry import (
    DIGEST_EXPIRY_MARGIN,
    MAX_ENTRIES,
    MAX_KEY_LENGTH,
    MAX_VALUE_SIZE,
    Registry,
    RegistryEntry,
)
from whinpier.policy.decaying_sum import SECOND


def test_the_later_of_two_entries_wins_in_whatever_order_they_arrive():
    left, right = Registry(), Registry()
    first = left.put("k", b"1", 60 * SECOND, 1, 0)
    second = right.put("k", b"2", 60 * SECOND, 2, 0)
    for entries in ((first, second), (second, first)):
        replica = Registry()
        for entry in entries:
            replica.merge(entry, SECOND)
        assert replica.values_with_prefix("k") == {"": b"2"}
    left.merge(second, 0)
    right.merge(first, 0)
    assert left.digest == right.digest != 0
    tombstone = left.put("k", b"", 60 * SECOND, 1, SECOND)
    right.merge(tombstone, SECOND)
    assert not right.values_with_prefix("k") and left.digest == right.digest
    assert not right.merge(second, SECOND)  # an old entry brings nothing back


def test_an_entry_expires_and_leaves_the_digest_before():
    registry = Registry()
    registry.put("k", b"1", 10 * SECOND, 1, 0)
    registry.expire(10 * SECOND - DIGEST_EXPIRY_MARGIN)
    assert registry.digest == 0 and registry.values_with_prefix("k")
    registry.expire(10 * SECOND)
    assert not registry.values_with_prefix("k") and not registry.entries


def test_the_registry_is_bounded_once_full_and_is_paged():
    registry = Registry()
    registry.put("k", b"1", 10 * SECOND, 1, 0)
    registry.expire(10 * SECOND)
    for number in range(2 * MAX_ENTRIES):
        registry.merge(RegistryEntry(f"k{number}", b"v", 1, 1, 60_000), 0)
    assert len(registry.entries) == MAX_ENTRIES and registry.rejected_count == MAX_ENTRIES
    assert (MAX_KEY_LENGTH, MAX_VALUE_SIZE) == (160, 320)
    assert registry.put("x" * 161, b"", SECOND, 1, 0) is None
    assert registry.put("x", b"v" * 321, SECOND, 1, 0) is None
    for page in registry.pages(900, 16, 0):
        assert 1 <= len(page) <= 16


def test_entries_go_with_pings_and_full_syncs_to_members_that_missed_them():
    a, b = make_membership("a", 7001), make_membership("b", 7002, [("127.0.0.1", 7001)])
    for now in range(0, 2 * SECOND, SECOND // 10):
        a.tick(now)
        b.tick(now)
        deliver_all(a, b, now=now)
    a.registry.put("k", b"1", 60 * SECOND, a.metadata.id, now)
    a.registry.pending.clear()  # all that was sent of it got lost
    for now in range(2 * SECOND, 4 * SECOND, SECOND // 10):
        a.tick(now)
        b.tick(now)
        deliver_all(a, b, now=now)
    assert b.registry.values_with_prefix("k") == {"": b"1"}
    assert 57_000 <= b.registry.entries["k"].entry.remaining_ms <= 60_000
    assert b.registry.entries["k"].expires_at <= 62 * SECOND
    assert a.members[b.metadata.id].registry_digest == a.registry.digest
