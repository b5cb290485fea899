"""Stories of counts in calendar windows, of the fleet's time, and of limits that are nearly kept."""

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


# Windows.


@pytest.mark.parametrize(
    "every_, zone, when, start, end",
    [
        ("minute", "UTC", (2026, 12, 2, 0, 14, 29), (2026, 12, 2, 0, 14), (2026, 12, 2, 0, 15)),
        ("hour", "Asia/Kathmandu", (2026, 12, 2, 5, 50), (2026, 12, 2, 5), (2026, 12, 2, 6)),
        ("day", "Asia/Ulaanbaatar", (2026, 12, 2, 23, 59), (2026, 12, 2), (2026, 12, 3)),
        ("day", "Europe/Berlin", (2026, 3, 29, 12), (2026, 3, 29), (2026, 3, 30)),  # 23 hours
        ("day", "Europe/Berlin", (2026, 10, 25, 1), (2026, 10, 25), (2026, 10, 26)),  # 25 hours
    ],
)
def test_windows_are_those_of_the_clock_on_the_wall_there(every_, zone, when, start, end):
    assert Calendar(every_, zone).bounds(at(zone, *when)) == (at(zone, *start), at(zone, *end))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(10**8, 4 * 10**9),
    st.sampled_from(["minute", "hour", "day"]),
    st.sampled_from(
        ["UTC", "Asia/Kathmandu", "America/Santiago", "Australia/Lord_Howe", "Africa/Cairo"]
    ),
)
def test_each_moment_lies_in_one_window_and_windows_meet(wall, every_, zone):
    calendar = Calendar(every_, zone)
    start, end = calendar.bounds(wall)
    assert (
        start <= wall < end
        and calendar.bounds(end)[0] == end
        and calendar.bounds(end - 1) == (start, end)
    )


def test_every_order_of_a_small_world_keeps_the_count():
    for days in WHOLE:
        result = every(days.make(Wishful), 5)
        assert result.deepest == 5 and not result.broken, (days.what, result)


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_walks_at_random_keep_it(days):
    assert not days.gone_through(Wishful, steps=60_000).broken


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_that_is_put_in_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken


def units(
    name="a", amount=90, homes=("a", "b", "c"), lasting=False, between=lambda now: (now, now), now=0
):
    limit = Limit("x", COUNT, amount, homes, window="minute UTC")
    return CalendarQuota(limit, MINUTES, name, now, Random(name), between, lasting)


def test_all_demand_at_one_brings_it_nearly_all_of_a_window_and_a_rejection_says_when_the_next_begins():
    those, passed = {name: units(name) for name in "abc"}, 0
    for step in range(1_190):  # 59.5 s, ten requests a second at one
        now = step * SECOND // 20
        passed += step % 2 and those["a"].try_acquire(now)
        if step % 2:
            for place, one in enumerate(those.values()):
                one.on_timer(now, [other for other in range(3) if other != place])
            for _ in range(4):
                sent = [
                    (place, to, deal)
                    for place, one in enumerate(those.values())
                    for to, deal in one.out
                ]
                for one in those.values():
                    one.out = []
                for place, to, deal in sent:
                    those["abc"[to]].on_message(deal, place, now)
    assert 0.95 * 90 <= passed <= 90
    assert 0.3 * SECOND < those["a"].retry_after(now) < 1.2 * SECOND
    assert those["a"].try_acquire(60 * SECOND)


def test_clocks_that_go_back_open_no_window_anew():
    wall = [61 * SECOND]
    one = units(amount=1, homes=("a",), between=lambda now: (wall[0], wall[0]))
    for now, at_ in enumerate((59, 60, 59, 60, 59)):
        wall[0] = at_ * SECOND
        one.windows_valid_until = 0
        assert one.try_acquire(now) == (now < 2)


def test_an_ask_that_comes_again_is_answered_as_it_was_and_a_flood_of_them_gets_no_more_than_there_is():
    one = units(amount=3_000, homes=("a",))
    for nonce in range(1, 2 * MAX_REMEMBERED_GRANTS):
        one.on_message(QuotaMessage(UNITS_REQUEST, one.limit.wire_id, nonce, 1, 0), 7, SECOND)
    given_away = sum(deal.amount for _, deal in one.out)
    assert (
        given_away == 2 * MAX_REMEMBERED_GRANTS - 1
        and one.windows[0].total == 953
        and len(one.grants) == MAX_REMEMBERED_GRANTS
    )
    one.out = []
    one.on_message(QuotaMessage(UNITS_REQUEST, one.limit.wire_id, 1_500, 1, 0), 7, SECOND)
    assert [deal.amount for _, deal in one.out] == [1] and one.windows[0].total == 953


def test_what_was_not_asked_for_or_is_of_another_window_or_comes_twice_adds_nothing():
    one = units(amount=3, homes=("a", "b", "c"))
    for _ in range(4):
        one.try_acquire(0)
    one.on_timer(0, [1])
    _, ask = one.out[0]
    good = QuotaMessage(UNITS_GRANT, ask.limit, ask.nonce, 1, 0)
    for deal, other in ((QuotaMessage(UNITS_GRANT, ask.limit, 5, 1, 0), 1), (good, 2)):
        one.on_message(deal, other, 1)
    assert one.windows[0].total == 1
    one.on_timer(1, [1])
    ask = one.out[-1][1]
    for _ in range(2):
        one.on_message(QuotaMessage(UNITS_GRANT, ask.limit, ask.nonce, 1, 0), 1, 2)
    assert one.windows[0].total == 2


# What the disk holds.


def test_notes_outlive_the_process_torn_ones_do_not_count_and_a_changed_file_is_refused(tmp_path):
    path = str(tmp_path / "state")

    async def story(store, *those):
        for notes in those:
            await store.write(notes, lambda: None, lambda: None)

    store = StateStore(path)
    assert store.open() == {}
    anyio.run(
        story,
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
        again = StateStore(path)
        live = again.open()
        assert live.get(("window", 1, 0, 60), (10, -1, 3)) in ((10, -1, 3), (10, -1, 8))
        again.journal.close()
    (tmp_path / "state").write_bytes(whole[:30] + b"\0" + whole[31:])
    with pytest.raises(AppendLogError, match="move it away"):
        StateStore(path).open()


def test_a_full_disk_keeps_what_is_not_written_from_being_used_and_a_well_one_lets_it(
    tmp_path, monkeypatch
):
    store, one = StateStore(str(tmp_path / "state")), units(amount=30, homes=("a",), lasting=True)
    store.open()
    write = os.pwrite

    def full(*_):
        raise OSError(28, "No space left on device")

    async def flush():
        said, notes = one.take_records()
        await store.write(
            {("window", *note[:3]): note[3:] for note in notes},
            lambda: one.on_records_written(said, notes),
            lambda: one.on_write_failed(notes),
        )

    assert not one.try_acquire(0) and one.pending_records
    monkeypatch.setattr(os, "pwrite", full)
    anyio.run(flush)
    assert store.last_error and not one.try_acquire(1) and len(one.pending_records) == 1
    monkeypatch.setattr(os, "pwrite", write)
    anyio.run(flush)
    assert not store.last_error and one.try_acquire(2)
    store.journal.close()
    again = StateStore(str(tmp_path / "state"))
    (row,) = again.open().values()
    assert row[2] >= 8  # written ahead as used: what a kill loses
    again.journal.close()


# The fleet's time.


def test_the_fleets_time_is_where_most_clocks_lie_and_one_that_is_wrong_moves_nothing():
    clocks = Clocks(3_600 * SECOND)  # the own one, an hour ahead
    for member in range(4):
        clocks.on_sample(member, -1_000_000 * member, 2_000_000, 0)
    clocks.update(SECOND, range(4))
    low, high = clocks.between(SECOND)
    assert SECOND - 4 * MARGIN < low < SECOND < high < SECOND + 4 * MARGIN
    clocks.on_sample(0, 7_200 * SECOND, 7_200 * SECOND + 1, 2 * SECOND)  # one steps
    clocks.update(2 * SECOND, range(4))
    low, high = clocks.between(2 * SECOND)
    assert 2 * SECOND - 4 * MARGIN < low < high < 2 * SECOND + 4 * MARGIN


def test_of_two_clocks_that_differ_either_may_be_right_and_one_cut_off_trusts_not_its_own_alone():
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
    three.update(2 * SAMPLE_LIFETIME, [1, 2])  # neither has been heard since
    low, high = three.between(2 * SAMPLE_LIFETIME)
    assert low <= 2 * SAMPLE_LIFETIME and high >= 2 * SAMPLE_LIFETIME + 100 * SECOND


def test_where_clocks_are_unsure_a_request_counts_in_both_windows():
    apart = 5 * SECOND
    one = units(amount=2, homes=("a",), between=lambda now: (now - apart, now + apart))
    assert one.try_acquire(50 * SECOND) and [slot.start for slot in one.windows] == [0]
    assert one.try_acquire(57 * SECOND) and [slot.start for slot in one.windows] == [0, 60]
    assert not one.try_acquire(62 * SECOND)  # of the first nothing is left
    assert one.try_acquire(66 * SECOND) and not one.try_acquire(
        67 * SECOND
    )  # of the second one was counted before


# Nearly.


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12), st.floats(1.0, 1e6))
def test_the_level_shares_out_all_there_is_and_no_more(demands, amount):
    level = compute_fill_level(amount, demands)
    given_ = sum(min(demand, level) for demand in demands)
    assert given_ <= amount * 1.0001 and (given_ >= min(amount, sum(demands)) * 0.9999)


def moving(seed, count, in_order):
    """Words on their way while demand moves; in order, as members keep them, or as the network
    has them.
    """
    chance, limit = Random(seed), Limit("x", RATE, 100_000, (), 20)
    those = [ApproximateQuota(limit, None, 0) for _ in range(count)]
    on_way, settled, newest = [], 3 * propagation_time(count), {}
    for step in range(400):
        now = step * SECOND // 10
        if step % 20 == 0:
            rates = [chance.choice([0, 0, 1, 5, 60]) for _ in those]
        for one, rate in zip(those, rates):
            for _ in range(rate):
                one.try_acquire(now)
        for place, one in enumerate(those):
            heard = {other: True for other in range(count) if other != place}
            if one.on_timer(now, heard, count)[0]:
                for other in heard:
                    # Any time before it is stale; words may pass each other.
                    late = int(chance.random() * (propagation_time(count) - SECOND // 4))
                    on_way.append((now + late, other, place, one.encode_report(now), now))
        for _, other, place, word, told in [one for one in on_way if one[0] <= now]:
            if not in_order or told >= newest.get((place, other), 0):
                newest[place, other] = told
                those[other].on_report(place, word, now)
        on_way = [one for one in on_way if one[0] > now]
        if now > settled:
            assert sum(one.allowance for one in those) <= limit.amount + count, seed


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(2, 6))
def test_while_words_come_in_time_parts_add_up_to_no_more_however_demand_moves(seed, count):
    moving(seed, count, False)


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_parts_add_up_to_no_more_on_many_days_as_members_pass_words_on(first):
    """Words that overtook each other broke this on 11 of 300 seeds, on 8715 by 12%."""
    for seed in (*range(first, first + 20), 8715):
        moving(seed, 2 + seed % 5 if seed < 8715 else 2, True)


def test_one_that_asks_for_all_gets_nearly_all_and_unheard_ones_keep_an_even_share():
    limit = Limit("x", RATE, 100_000, (), 20)
    one, other = ApproximateQuota(limit, None, 0), ApproximateQuota(limit, None, 0)
    for step in range(100):
        now = step * SECOND // 10
        for _ in range(30):
            one.try_acquire(now)
        for first, second in ((one, other), (other, one)):
            first.on_timer(now, {1: True}, 2)
            second.on_report(1, first.encode_report(now), now)
    assert one.allowance > 95_000
    for step in range(100, 200):
        now = step * SECOND // 10
        for _ in range(30):
            one.try_acquire(now)
        one.on_timer(now, {1: False}, 2)
    assert one.allowance <= 50_000
    for noise in (b"", b"x" * DEMAND_REPORT.size, b"\1"):
        one.on_report(1, noise, now)
    assert one.allowance <= 50_000


def test_requests_in_flight_and_windows_are_nearly_kept_too():
    flight = ApproximateQuota(Limit("x", IN_FLIGHT, 3, ()), None, 0)
    passed = 0
    for step in range(40):
        flight.on_timer(step * SECOND // 10, {}, 1)
        passed += sum(flight.try_acquire(step * SECOND // 10) for _ in range(9))
    assert passed == flight.used == 3 and flight.retry_after(0)
    flight.release(0)
    assert flight.try_acquire(5 * SECOND)
    window = ApproximateQuota(Limit("x", COUNT, 50, ()), MINUTES, 0, lambda now: (now, now))
    passed = 0
    for step in range(1_190):
        now = step * SECOND // 10
        window.on_timer(now, {}, 1)
        passed += window.try_acquire(now)
    assert passed == 100 and window.retry_after(now) <= 2 * SECOND


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
def test_a_window_of_three_processes_is_kept_over_kill_9_its_close_and_a_clock_that_is_wrong(
    tmp_path,
):
    upstream_fleet = UpstreamFleet({f"s-{n}": Script(workers=32, work=0.005) for n in range(2)}, 1)
    limits = {
        "day": {"kind": "count", "amount": 90, "window": "minute", "homes": ["m0", "m1", "m2"]}
    }
    fleet = Fleet(3, tmp_path, service(upstream_fleet), limits=limits, relayed=False)
    loads = None
    try:
        # By their clocks a minute ends 13 s from now; that of one is an hour behind.
        shift = 47.0 - time.time() % 60.0
        closes = time.monotonic() + 13.0
        for process in fleet.processes:
            process.wall = shift - 3_600.0 * (process.number == 2)
        fleet.start()
        until(lambda: ready(fleet, 0, 1, 2))
        # Nobody knows of this minute what was used before: only an operator can say that nothing
        # was.
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
        seen = loads.results()
        times = upstream_fleet.meter()["times"]
        before = sum(one < closes - 0.3 for one in times)
        after = sum(one > closes + 0.3 for one in times)
        assert 45 <= before <= 90 and len(times) <= 180
        assert 15 <= after <= 90
        told = [request for request in seen[0].told if request.status == 503]
        assert told and all(request.retry_after for request in told)
        assert not upstream_fleet.ledger().twice()
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


@pytest.mark.xdist_group("fleet")
def test_an_old_copy_of_the_state_file_is_found_out_and_counts_for_nothing(tmp_path):
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
def test_limits_by_route_by_tenant_at_upstreams_and_nearly_hold_over_two_processes(tmp_path):
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

        def asks(name, rate, tenant, path="t", **more):
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
                (address, asks("a", 30.0, "a")),
                (address, asks("b", 30.0, "big")),
                (address, asks("c", 30.0, "c", "u")),
                (fleet.processes[1].balancer.address, asks("d", 4.0, "a")),
            ],
            1,
            start,
            5.0,
        )
        seen = loads.results()
        met = upstream_fleet.meter()
        served = {one.asks.name: sum(request.status == 200 for request in one.told) for one in seen}
        # Of tenant a both processes together, of the third only its route's; the whole is nearly
        # kept.
        assert served["a"] + served["d"] <= 8 * 5 + 4 + 8 and served["d"] >= 8
        assert served["b"] >= 60 and served["c"] <= 8 * 5 + 4 + 8
        assert met["most"] <= 6 and len(met["times"]) <= 60 * 5 + 10 + 30
        told = upstream_fleet.tell("s")
        assert told["most_open"] <= 8
        rows = {(row["limit"], row["of"]): row for row in fleet.ask(0, "limits")}
        assert rows["wide", "s"]["kind"] == "in_flight" and rows["all", ""]["sharing"] == 2
        assert not any(one.unanswered() or one.answered_twice() for one in seen)
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


@pytest.mark.xdist_group("fleet")
def test_a_limit_changes_while_it_serves_and_a_repeat_of_a_request_counts_once_for_its_tenant(
    tmp_path,
):
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
                assert fleet.ask(0, "limits")[0]["home"] == 10_000  # the other has not read it yet
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

        def ask(ticket, repeat):
            head = (
                f"POST /t/x HTTP/1.1\r\nHost: t.example\r\nX-Txn: {random()}\r\nX-Remaining: 1\r\n"
            )
            head += f"Idempotency-Key: {ticket}\r\nX-Org: a\r\nContent-Length: 2\r\n"
            with socket.create_connection(fleet.processes[0].balancer.address, 5.0) as sock:
                sock.sendall((head + "X-Resent: 1\r\n" * repeat + "\r\n{}").encode())
                return int(sock.recv(200).split()[1])

        until(lambda: ask("first", False) == 200)
        assert [ask("first", True) for _ in range(6)] == [200] * 6  # one request, asked for again
        assert [ask(f"t{number}", False) for number in range(4)].count(200) <= 3
    finally:
        fleet.end()
        upstream_fleet.stop()
