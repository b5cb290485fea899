"""Calendar quotas, the fleet's time, and approximate limits."""

import os
import socket
import time
from datetime import datetime
from random import Random, random
from zoneinfo import ZoneInfo

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.waiting import until
from whinpier.fleet.clock_offset import MARGIN, SAMPLE_LIFETIME, Clocks
from whinpier.fleet.messages import UNITS_GRANT, UNITS_REQUEST, QuotaMessage
from whinpier.fleet.quotas.calendar_quota import MAX_REMEMBERED_GRANTS, Calendar, CalendarQuota
from whinpier.fleet.quotas.fair_share import (
    DEMAND_REPORT,
    ApproximateQuota,
    compute_fill_level,
    propagation_time,
)
from whinpier.fleet.quotas.leases import COUNT, IN_FLIGHT, RATE, Limit
from whinpier.fleet.state_store import StateStore
from whinpier.model_checking.count_mutants import FAULTS
from whinpier.model_checking.count_scenarios import WALKS, WHOLE, found
from whinpier.model_checking.counts import Wishful
from whinpier.model_checking.explore import every, replay
from whinpier.policy.decaying_sum import SECOND
from whinpier.storage.append_log import AppendLogError
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

HOUR = 3600
MINUTES = Calendar("minute")


def at(zone, *when):
    return int(datetime(*when, tzinfo=ZoneInfo(zone)).timestamp())


# Calendar windows.


@pytest.mark.parametrize(
    "unit, zone, when, start, end",
    [
        ("minute", "UTC", (2026, 12, 2, 0, 14, 29), (2026, 12, 2, 0, 14), (2026, 12, 2, 0, 15)),
        ("hour", "Asia/Kathmandu", (2026, 12, 2, 5, 50), (2026, 12, 2, 5), (2026, 12, 2, 6)),
        ("day", "Asia/Ulaanbaatar", (2026, 12, 2, 23, 59), (2026, 12, 2), (2026, 12, 3)),
        ("day", "Europe/Berlin", (2026, 3, 29, 12), (2026, 3, 29), (2026, 3, 30)),  # 23 hours
        ("day", "Europe/Berlin", (2026, 10, 25, 1), (2026, 10, 25), (2026, 10, 26)),  # 25 hours
    ],
)
def test_windows_follow_local_time(unit, zone, when, start, end):
    assert Calendar(unit, zone).bounds(at(zone, *when)) == (at(zone, *start), at(zone, *end))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(10**8, 4 * 10**9),
    st.sampled_from(["minute", "hour", "day"]),
    st.sampled_from(
        ["UTC", "Asia/Kathmandu", "America/Santiago", "Australia/Lord_Howe", "Africa/Cairo"]
    ),
)
def test_each_moment_lies_in_one_window_and_windows_are_adjacent(wall, unit, zone):
    calendar = Calendar(unit, zone)
    start, end = calendar.bounds(wall)
    assert (
        start <= wall < end
        and calendar.bounds(end)[0] == end
        and calendar.bounds(end - 1) == (start, end)
    )


def test_exhaustive_exploration_of_a_small_model_keeps_the_limit():
    for scenario in WHOLE:
        result = every(scenario.make(Wishful), 5)
        assert result.deepest == 5 and not result.broken, (scenario.what, result)


@pytest.mark.parametrize("scenario", WALKS, ids=lambda scenario: scenario.what)
def test_random_walks_keep_the_limit(scenario):
    assert not scenario.gone_through(Wishful, steps=60_000).broken


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_mutant_breaks_the_limit_on_a_path_that_replays(name):
    scenario, broken, path = found(name)
    assert broken and replay(scenario.make(FAULTS[name]), path) == broken


def make_quota(
    name="a",
    amount=90,
    homes=("a", "b", "c"),
    is_persistent=False,
    clock_bounds=lambda now: (now, now),
    now=0,
):
    limit = Limit("x", COUNT, amount, homes, window="minute UTC")
    return CalendarQuota(limit, MINUTES, name, now, Random(name), clock_bounds, is_persistent)


def test_member_with_all_demand_gets_nearly_the_whole_window_and_retry_time_is_the_next_one():
    quotas, admitted = {name: make_quota(name) for name in "abc"}, 0
    for step in range(1_190):  # 59.5 s, ten requests a second at one member
        now = step * SECOND // 20
        admitted += step % 2 and quotas["a"].try_acquire(now)
        if step % 2:
            for index, quota in enumerate(quotas.values()):
                quota.on_timer(now, [other for other in range(3) if other != index])
            for _ in range(4):
                sent = [
                    (index, to, message)
                    for index, quota in enumerate(quotas.values())
                    for to, message in quota.out
                ]
                for quota in quotas.values():
                    quota.out = []
                for index, to, message in sent:
                    quotas["abc"[to]].on_message(message, index, now)
    assert 0.95 * 90 <= admitted <= 90
    assert 0.3 * SECOND < quotas["a"].retry_after(now) < 1.2 * SECOND
    assert quotas["a"].try_acquire(60 * SECOND)


def test_window_is_not_opened_again_when_clocks_are_set_back():
    wall = [61 * SECOND]
    quota = make_quota(amount=1, homes=("a",), clock_bounds=lambda now: (wall[0], wall[0]))
    for now, second in enumerate((59, 60, 59, 60, 59)):
        wall[0] = second * SECOND
        quota.windows_valid_until = 0
        assert quota.try_acquire(now) == (now < 2)


def test_repeated_request_gets_the_same_answer_and_a_flood_gets_no_more_than_the_quota():
    quota = make_quota(amount=3_000, homes=("a",))
    for nonce in range(1, 2 * MAX_REMEMBERED_GRANTS):
        quota.on_message(QuotaMessage(UNITS_REQUEST, quota.limit.wire_id, nonce, 1, 0), 7, SECOND)
    given_away = sum(message.amount for _, message in quota.out)
    assert (
        given_away == 2 * MAX_REMEMBERED_GRANTS - 1
        and quota.windows[0].total == 953
        and len(quota.grants) == MAX_REMEMBERED_GRANTS
    )
    quota.out = []
    quota.on_message(QuotaMessage(UNITS_REQUEST, quota.limit.wire_id, 1_500, 1, 0), 7, SECOND)
    assert [message.amount for _, message in quota.out] == [1] and quota.windows[0].total == 953


def test_grant_that_was_not_requested_or_comes_twice_adds_nothing():
    quota = make_quota(amount=3, homes=("a", "b", "c"))
    for _ in range(4):
        quota.try_acquire(0)
    quota.on_timer(0, [1])
    _, request = quota.out[0]
    valid = QuotaMessage(UNITS_GRANT, request.limit, request.nonce, 1, 0)
    for message, other in ((QuotaMessage(UNITS_GRANT, request.limit, 5, 1, 0), 1), (valid, 2)):
        quota.on_message(message, other, 1)
    assert quota.windows[0].total == 1
    quota.on_timer(1, [1])
    request = quota.out[-1][1]
    for _ in range(2):
        quota.on_message(QuotaMessage(UNITS_GRANT, request.limit, request.nonce, 1, 0), 1, 2)
    assert quota.windows[0].total == 2


# Records on the disk.


def test_records_survive_a_restart_torn_ones_are_ignored_and_a_changed_file_is_refused(tmp_path):
    path = str(tmp_path / "state")

    async def write_all(store, *batches):
        for records in batches:
            await store.write(records, lambda: None, lambda: None)

    store = StateStore(path)
    assert store.open() == {}
    anyio.run(
        write_all,
        store,
        {("begun",): (7,)},
        {("window", 1, 0, 60): (10, -1, 3)},
        {("window", 1, 0, 60): (10, -1, 8)},
    )
    assert store.sequence == 3
    with pytest.raises(AppendLogError, match="another process"):
        StateStore(path).open()
    store.journal.close()
    whole = (tmp_path / "state").read_bytes()
    for cut in range(len(whole)):
        (tmp_path / "state").write_bytes(whole[:cut])
        reopened = StateStore(path)
        live = reopened.open()
        assert live.get(("window", 1, 0, 60), (10, -1, 3)) in ((10, -1, 3), (10, -1, 8))
        reopened.journal.close()
    (tmp_path / "state").write_bytes(whole[:30] + b"\0" + whole[31:])
    with pytest.raises(AppendLogError, match="move it away"):
        StateStore(path).open()


def test_quota_that_cannot_be_written_is_not_used_until_the_disk_recovers(tmp_path, monkeypatch):
    store = StateStore(str(tmp_path / "state"))
    quota = make_quota(amount=30, homes=("a",), is_persistent=True)
    store.open()
    write = os.pwrite

    def disk_full(*_):
        raise OSError(28, "No space left on device")

    async def flush():
        issued, records = quota.take_records()
        await store.write(
            {("window", *record[:3]): record[3:] for record in records},
            lambda: quota.on_records_written(issued, records),
            lambda: quota.on_write_failed(records),
        )

    assert not quota.try_acquire(0) and quota.pending_records
    monkeypatch.setattr(os, "pwrite", disk_full)
    anyio.run(flush)
    assert store.last_error and not quota.try_acquire(1) and len(quota.pending_records) == 1
    monkeypatch.setattr(os, "pwrite", write)
    anyio.run(flush)
    assert not store.last_error and quota.try_acquire(2)
    store.journal.close()
    reopened = StateStore(str(tmp_path / "state"))
    (row,) = reopened.open().values()
    assert row[2] >= 8  # written ahead: what a kill loses
    reopened.journal.close()


# The fleet's time.


def test_fleet_time_follows_most_clocks_and_ignores_a_wrong_one():
    clocks = Clocks(3_600 * SECOND)  # this member's clock is an hour ahead
    for member in range(4):
        clocks.on_sample(member, -1_000_000 * member, 2_000_000, 0)
    clocks.update(SECOND, range(4))
    low, high = clocks.between(SECOND)
    assert SECOND - 4 * MARGIN < low < SECOND < high < SECOND + 4 * MARGIN
    clocks.on_sample(0, 7_200 * SECOND, 7_200 * SECOND + 1, 2 * SECOND)  # one clock steps
    clocks.update(2 * SECOND, range(4))
    low, high = clocks.between(2 * SECOND)
    assert 2 * SECOND - 4 * MARGIN < low < high < 2 * SECOND + 4 * MARGIN


def test_bounds_cover_two_clocks_that_differ_and_an_isolated_member_does_not_trust_its_own():
    clocks = Clocks(0)
    clocks.on_sample(1, 100 * SECOND, 100 * SECOND, 0)
    clocks.update(0, [1])
    low, high = clocks.between(0)
    assert low <= 0 and high >= 100 * SECOND
    three = Clocks(100 * SECOND)
    three.on_sample(1, 0, 0, 0)
    three.on_sample(2, 0, 0, 0)
    three.update(0, [1, 2])
    assert three.between(0)[1] < SECOND
    three.update(2 * SAMPLE_LIFETIME, [1, 2])  # neither was received since
    low, high = three.between(2 * SAMPLE_LIFETIME)
    assert low <= 2 * SAMPLE_LIFETIME and high >= 2 * SAMPLE_LIFETIME + 100 * SECOND


def test_request_counts_in_both_windows_while_clocks_are_uncertain():
    uncertainty = 5 * SECOND
    quota = make_quota(
        amount=2, homes=("a",), clock_bounds=lambda now: (now - uncertainty, now + uncertainty)
    )
    assert quota.try_acquire(50 * SECOND) and [window.start for window in quota.windows] == [0]
    assert quota.try_acquire(57 * SECOND) and [window.start for window in quota.windows] == [0, 60]
    assert not quota.try_acquire(62 * SECOND)  # nothing remains of the first window
    # The second window has counted one before.
    assert quota.try_acquire(66 * SECOND) and not quota.try_acquire(67 * SECOND)


# Approximate limits.


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12), st.floats(1.0, 1e6))
def test_fill_level_distributes_the_whole_amount_and_no_more(demands, amount):
    level = compute_fill_level(amount, demands)
    met = sum(min(demand, level) for demand in demands)
    assert met <= amount * 1.0001 and (met >= min(amount, sum(demands)) * 0.9999)


def moving(seed, count, in_order):
    """Check that allowances add up to the limit while demand moves and reports are delayed.

    Reports of a member may overtake each other in the network; with `in_order`, outdated ones are
    dropped, as membership does.
    """
    chance, limit = Random(seed), Limit("x", RATE, 100_000, (), 20)
    quotas = [ApproximateQuota(limit, None, 0) for _ in range(count)]
    in_transit, settled, newest = [], 3 * propagation_time(count), {}
    for step in range(400):
        now = step * SECOND // 10
        if step % 20 == 0:
            rates = [chance.choice([0, 0, 1, 5, 60]) for _ in quotas]
        for quota, rate in zip(quotas, rates):
            for _ in range(rate):
                quota.try_acquire(now)
        for index, quota in enumerate(quotas):
            reachable = {other: True for other in range(count) if other != index}
            if quota.on_timer(now, reachable, count)[0]:
                for other in reachable:
                    # Within the propagation time, so that reports may overtake each other.
                    delay = int(chance.random() * (propagation_time(count) - SECOND // 4))
                    in_transit.append((now + delay, other, index, quota.encode_report(now), now))
        for _, other, index, report, sent_at in [sent for sent in in_transit if sent[0] <= now]:
            if not in_order or sent_at >= newest.get((index, other), 0):
                newest[index, other] = sent_at
                quotas[other].on_report(index, report, now)
        in_transit = [sent for sent in in_transit if sent[0] > now]
        if now > settled:
            assert sum(quota.allowance for quota in quotas) <= limit.amount + count, seed


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(2, 6))
def test_while_words_come_in_time_parts_add_up_to_no_more_however_demand_moves(seed, count):
    moving(seed, count, False)


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_allowances_add_up_to_the_limit_when_outdated_reports_are_dropped(first):
    """Reports that overtook each other broke the limit on 11 of 300 seeds, by 12% on seed 8715."""
    for seed in (*range(first, first + 20), 8715):
        moving(seed, 2 + seed % 5 if seed < 8715 else 2, True)


def test_member_with_all_demand_gets_nearly_all_and_unreachable_ones_keep_an_even_share():
    limit = Limit("x", RATE, 100_000, (), 20)
    quota, other = ApproximateQuota(limit, None, 0), ApproximateQuota(limit, None, 0)
    for step in range(100):
        now = step * SECOND // 10
        for _ in range(30):
            quota.try_acquire(now)
        for first, second in ((quota, other), (other, quota)):
            first.on_timer(now, {1: True}, 2)
            second.on_report(1, first.encode_report(now), now)
    assert quota.allowance > 95_000
    for step in range(100, 200):
        now = step * SECOND // 10
        for _ in range(30):
            quota.try_acquire(now)
        quota.on_timer(now, {1: False}, 2)
    assert quota.allowance <= 50_000
    for contents in (b"", b"x" * DEMAND_REPORT.size, b"\1"):
        quota.on_report(1, contents, now)
    assert quota.allowance <= 50_000


def test_requests_in_flight_and_windows_are_limited_approximately():
    flight = ApproximateQuota(Limit("x", IN_FLIGHT, 3, ()), None, 0)
    admitted = 0
    for step in range(40):
        flight.on_timer(step * SECOND // 10, {}, 1)
        admitted += sum(flight.try_acquire(step * SECOND // 10) for _ in range(9))
    assert admitted == flight.in_flight == 3 and flight.retry_after(0)
    flight.release(0)
    assert flight.try_acquire(5 * SECOND)
    window = ApproximateQuota(Limit("x", COUNT, 50, ()), MINUTES, 0, lambda now: (now, now))
    admitted = 0
    for step in range(1_190):
        now = step * SECOND // 10
        window.on_timer(now, {}, 1)
        admitted += window.try_acquire(now)
    assert admitted == 100 and window.retry_after(now) <= 2 * SECOND


# Processes.


def service(upstream_fleet, **limits):
    def made(process):
        pool = files.service("t", "exclusive", upstream_fleet.addresses, 0.5, 1.0)
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    return made


def ready(fleet, *numbers):
    rows = [row for number in numbers for row in fleet.ask(number, "limits")]
    return all(row["agreed"] and not row["fenced_ms"] for row in rows)


@pytest.mark.xdist_group("fleet")
def test_three_processes_keep_a_window_despite_kill_9_its_end_and_a_wrong_clock(tmp_path):
    upstream_fleet = UpstreamFleet({f"s-{n}": Script(workers=32, work=0.005) for n in range(2)}, 1)
    limits = {
        "day": {"kind": "count", "amount": 90, "window": "minute", "homes": ["m0", "m1", "m2"]}
    }
    fleet = Fleet(3, tmp_path, service(upstream_fleet), limits=limits, relayed=False)
    loads = None
    try:
        # By their clocks a minute ends 13 s from now; one clock is an hour behind.
        shift = 47.0 - time.time() % 60.0
        closes = time.monotonic() + 13.0
        for process in fleet.processes:
            process.wall = shift - 3_600.0 * (process.number == 2)
        fleet.start()
        until(lambda: ready(fleet, 0, 1, 2))
        # No member knows what was used of this minute: only an operator can say that nothing was.
        assert all(row["home"] == 0 for number in range(3) for row in fleet.ask(number, "limits"))
        for number in range(3):
            fleet.ask(number, "begin", name="day")
        upstream_fleet.meter()
        start = time.monotonic() + 0.2
        loads = Loads(
            [
                (
                    fleet.processes[number].balancer.address,
                    Asks(f"t{number}", rate, "/t/x", host="t.example", timeout=1.0, agreed=0.5),
                )
                for number, rate in ((0, 40.0), (1, 5.0))
            ],
            1,
            start,
            closes + 3.0 - start,
        )
        time.sleep(max(0.0, start + 1.5 - time.monotonic()))
        fleet.kill(1)
        fleet.processes[1].start()
        clients = loads.results()
        times = upstream_fleet.meter()["times"]
        before = sum(arrival < closes - 0.3 for arrival in times)
        after = sum(arrival > closes + 0.3 for arrival in times)
        assert 45 <= before <= 90 and len(times) <= 180
        assert 15 <= after <= 90
        rejected = [request for request in clients[0].told if request.status == 503]
        assert rejected and all(request.retry_after for request in rejected)
        assert not upstream_fleet.ledger().twice()
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


@pytest.mark.xdist_group("fleet")
def test_old_copy_of_the_state_file_is_detected_and_allows_nothing(tmp_path):
    upstream_fleet = UpstreamFleet({"s": Script(workers=32, work=0.005)}, 1)
    limits = {"day": {"kind": "count", "amount": 1_000, "window": "day", "homes": ["m0", "m1"]}}
    fleet = Fleet(2, tmp_path, service(upstream_fleet), limits=limits, relayed=False)
    loads = None
    try:
        fleet.start()
        until(lambda: ready(fleet, 0, 1))
        fleet.ask(0, "begin", name="day")
        state = fleet.processes[0].folder / "state"
        until(lambda: fleet.ask(0, "limits")[0]["mine"] == 500)
        old = state.read_bytes()
        loads = Loads(
            [
                (
                    fleet.processes[0].balancer.address,
                    Asks("t", 100.0, "/t/x", host="t.example", timeout=1.0, agreed=0.5),
                )
            ],
            1,
            time.monotonic(),
            1.5,
        )
        loads.results()
        until(lambda: fleet.ask(1, "figures").get("bank_stamps_heard", 0) > 3)
        fleet.kill(0)
        state.write_bytes(old)
        fleet.processes[0].start()
        fleet.processes[0].balancer.wait_ready()
        until(lambda: ready(fleet, 0))
        (row,) = fleet.ask(0, "limits")
        assert row["mine"] == 0 and "event=state_store_stale" in fleet.processes[0].balancer.log()
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


@pytest.mark.xdist_group("fleet")
def test_limits_by_route_tenant_and_upstream_and_approximate_ones_hold_over_two_processes(tmp_path):
    upstream_fleet = UpstreamFleet({"s": Script(workers=64, work=0.05)}, 1)
    homes = ["m0", "m1"]
    limits = {
        "route": {"kind": "rate", "amount": 20, "burst": 5, "homes": homes, "routes": ["u"]},
        "org": {
            "kind": "rate",
            "amount": 8,
            "burst": 4,
            "homes": homes,
            "each": "tenant",
            "most": 2,
            "tenants": {"big": 40},
        },
        "wide": {"kind": "in_flight", "amount": 6, "homes": homes, "each": "upstream"},
        "links": {"kind": "connections", "amount": 8, "homes": homes, "each": "upstream"},
        "all": {"kind": "rate", "amount": 60, "burst": 10, "promise": "nearly"},
    }

    def service(process):
        pool = files.service("t", "rerunnable", upstream_fleet.addresses, 0.5, 1.0)
        routes = [files.route("t", "rerunnable", "t"), files.route("u", "rerunnable", "t")]
        return {"pools": {"t": pool}, "routes": routes}

    fleet = Fleet(2, tmp_path, service, limits=limits, relayed=False)
    loads = None
    try:
        fleet.start()
        until(lambda: ready(fleet, 0, 1))
        upstream_fleet.meter()
        start = time.monotonic() + 0.3

        def make_client(name, rate, tenant, path="t", **more):
            return Asks(
                name,
                rate,
                f"/{path}/x",
                "GET",
                f"{path}.example",
                1.0,
                0.5,
                headers={"X-Org": tenant},
                **more,
            )

        address = fleet.processes[0].balancer.address
        loads = Loads(
            [
                (address, make_client("a", 30.0, "a")),
                (address, make_client("b", 30.0, "big")),
                (address, make_client("c", 30.0, "c", "u")),
                (fleet.processes[1].balancer.address, make_client("d", 4.0, "a")),
            ],
            1,
            start,
            5.0,
        )
        clients = loads.results()
        measured = upstream_fleet.meter()
        served = {
            client.asks.name: sum(request.status == 200 for request in client.told)
            for client in clients
        }
        # Tenant a is limited over both processes, client c by its route; all are limited
        # approximately.
        assert served["a"] + served["d"] <= 8 * 5 + 4 + 8 and served["d"] >= 8
        assert served["b"] >= 60 and served["c"] <= 8 * 5 + 4 + 8
        assert measured["most"] <= 6 and len(measured["times"]) <= 60 * 5 + 10 + 30
        status = upstream_fleet.tell("s")
        assert status["most_open"] <= 8
        rows = {(row["limit"], row["of"]): row for row in fleet.ask(0, "limits")}
        assert rows["wide", "s"]["kind"] == "in_flight" and rows["all", ""]["sharing"] == 2
        assert not any(client.unanswered() or client.answered_twice() for client in clients)
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


@pytest.mark.xdist_group("fleet")
def test_limit_changes_while_serving_and_a_retry_counts_once_for_its_tenant(tmp_path):
    upstream_fleet = UpstreamFleet({"s": Script(workers=64, work=0.005)}, 1)
    limits = {"all": {"kind": "rate", "amount": 20, "burst": 5, "homes": ["m0", "m1"]}}

    def service(process):
        pool = files.service("t", "ticketed", upstream_fleet.addresses, 0.5, 1.0)
        return {"pools": {"t": pool}, "routes": [files.route("t", "ticketed", "t")]}

    fleet = Fleet(2, tmp_path, service, limits=limits, relayed=False)
    try:
        fleet.start()
        until(lambda: ready(fleet, 0, 1))
        limits["all"] |= {"amount": 200, "burst": 100}
        limits["org"] = {
            "kind": "count",
            "window": "day",
            "amount": 4,
            "homes": ["m0"],
            "each": "tenant",
        }
        for number, process in enumerate(fleet.processes):
            process.limits = limits
            process.balancer.reload(files.document(process.file()))
            if number == 0:
                until(lambda: fleet.ask(0, "limits")[0]["amount"] == 200_000)
                # The other process has not read it yet.
                assert fleet.ask(0, "limits")[0]["home"] == 10_000
        until(
            lambda: [
                row["home"]
                for number in (0, 1)
                for row in fleet.ask(number, "limits")
                if row["limit"] == "all"
            ]
            == [100_000, 100_000]
        )
        fleet.ask(0, "begin", name="org")

        def send_request(ticket, is_retry):
            head = (
                f"POST /t/x HTTP/1.1\r\nHost: t.example\r\nX-Txn: {random()}\r\nX-Remaining: 1\r\n"
            )
            head += f"Idempotency-Key: {ticket}\r\nX-Org: a\r\nContent-Length: 2\r\n"
            with socket.create_connection(fleet.processes[0].balancer.address, 5.0) as sock:
                sock.sendall((head + "X-Resent: 1\r\n" * is_retry + "\r\n{}").encode())
                return int(sock.recv(200).split()[1])

        until(lambda: send_request("first", False) == 200)
        # Retries of one request.
        assert [send_request("first", True) for _ in range(6)] == [200] * 6
        assert [send_request(f"t{number}", False) for number in range(4)].count(200) <= 3
    finally:
        fleet.end()
        upstream_fleet.stop()
