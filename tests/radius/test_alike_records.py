"""Tests of records that are alike in client, session, status and moment, and differ in what they count."""

import pytest

from tests.radius.test_endings import ANY, RELOADS, SERVER_SECRET, entry, running
from tests.radius.test_radius import SECRET, kept_in, meet, record, reopened
from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.radius import deduplication
from whinpier.testbed.radius import request_packet, response

MOMENT = b"\0\0\0\1"
COUNTS = [b"one", b"two", b"three"]
INTERIM = 3


def alike(count, delay=0):
    """Return a try of the interim record with this count."""
    return record(status=INTERIM, moment=MOMENT, extra=count, delay=delay)


def met_in_other_words(memory, now=0):
    """Return how a later try of each of the records is met; the attempt leaves nothing new behind."""
    found = []
    for count in COUNTS:
        met, known = meet(memory, alike(count, delay=5), now=now)
        if met == deduplication.NEW:
            memory.given_up(known)
        found.append(met)
    return found


def test_each_of_several_records_alike_is_known_again():
    """Guards against a second run of all but the first of them."""
    memory = deduplication.Memory()
    entries = [meet(memory, alike(count))[1] for count in COUNTS]
    assert met_in_other_words(memory) == [deduplication.JOINS] * 3
    assert [meet(memory, alike(count, delay=6))[1] for count in COUNTS] == entries


@pytest.mark.parametrize("gone", range(3))
def test_records_alike_are_known_when_another_of_them_is_let_go(gone):
    """Guards against records that are forgotten together with one that may come again."""
    memory = deduplication.Memory(kept=10 * SECOND, most=64, clients=["c"])
    entries = [meet(memory, alike(count))[1] for count in COUNTS]
    for known in entries:
        known.request = "out"
    memory.given_up(entries[gone])
    expected = [deduplication.JOINS] * 3
    expected[gone] = deduplication.NEW
    assert met_in_other_words(memory) == expected
    for known in entries:
        memory.ended(known, 0)
    memory.forget(11 * SECOND)
    assert not len(memory) and not memory.parts["c"].records


def test_records_alike_are_known_after_a_restart(tmp_path):
    """Guards against a second run of all but the first of them by the next process."""
    memory, state = kept_in(tmp_path)
    entries = [meet(memory, alike(count))[1] for count in COUNTS]
    memory.given_up(entries[0])
    memory.answered(entries[2], b"answer", 0)
    state.close()
    expected = [deduplication.NEW, deduplication.JOINS, deduplication.AGAIN]
    assert met_in_other_words(reopened(tmp_path)) == expected


def packet(count, delay):
    """Return a try of a record as its client sends it."""
    pairs = [
        (32, b"nas"),
        (44, b"session"),
        (40, INTERIM.to_bytes(4, "big")),
        (42, count.to_bytes(4, "big")),
        (55, MOMENT),
        (41, delay.to_bytes(4, "big")),
    ]
    return request_packet(10 * count + delay, pairs, SECRET)


@pytest.mark.anyio
@pytest.mark.xdist_group("radius")
@pytest.mark.parametrize("over", ["udp", "tcp"])
@pytest.mark.parametrize("how", [None, *RELOADS])
async def test_records_alike_that_are_out_run_once(tmp_path, how, over):
    """Guards against a second run by a client's repeats, also after a reload of its entry."""
    before, after = RELOADS[how] if how else ({"all": entry(ANY)}, None)
    counts = [1, 2, 3]
    async with running(tmp_path, clients=before, timeout=8.0) as harness:
        client = harness.client(over)
        for count in counts:
            client.send(packet(count, 0))
        sent = [await harness.receive(harness.server) for _ in counts]
        if after:
            harness.tables["radius"]["clients"] = after
            await harness.process.reload()
        requests = log.counters["radius_requests"]
        joined = log.counters["radius_joins"]
        client = harness.client(over)
        for count in counts:
            client.send(packet(count, 5))
        await harness.until(
            lambda: log.counters["radius_joins"] + log.counters["radius_requests"]
            == joined + requests + len(counts)
        )
        assert log.counters["radius_requests"] == requests and harness.server_has_nothing()
        harness.server.sendto(response(sent[0][0], SERVER_SECRET, []), sent[0][1])
        await harness.receive(client)
        for count in counts:
            client.send(packet(count, 7))
        await harness.until(
            lambda: log.counters["radius_joins"] == joined + len(counts) + 2
            or log.counters["radius_requests"] > requests
        )
        assert log.counters["radius_requests"] == requests and harness.server_has_nothing()
