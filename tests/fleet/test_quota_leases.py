"""Stories of limits of the whole fleet: what may be used never adds up to more, whatever is lost or
killed.
"""

import json
import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.waiting import until
from whinpier.config import operator
from whinpier.config.model import ConfigFault
from whinpier.fleet import peer_cache
from whinpier.fleet.quotas.allocation import LimitConfig, QuotaAllocation, StoredAllocation
from whinpier.fleet.quotas.leases import (
    IN_FLIGHT,
    LEASE_DURATION,
    LEASE_GRACE,
    RATE,
    REQUEST_TOKENS,
    TIMER_INTERVAL,
    LeasedQuota,
    Limit,
)
from whinpier.model_checking.explore import every, replay, walk
from whinpier.model_checking.quota_mutants import FAULTS
from whinpier.model_checking.quota_scenarios import WALKS, WHOLE, found
from whinpier.model_checking.quotas import Sharing
from whinpier.policy.decaying_sum import SECOND
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

HOMES = ("a", "b", "c")


def rate(amount=30, burst=10, homes=HOMES):
    return Limit("x", RATE, 1000 * amount, homes, burst)


def shares(limit, now=0):
    return {name: LeasedQuota(limit, name, now, Random(name), 0) for name in limit.homes}


def pass_on(those, now, lost=lambda: False):
    """Deliver what is out, at once, until all is quiet."""
    names = list(those)
    for _ in range(20):
        sent = [
            (place, to, deal) for place, name in enumerate(names) for to, deal in those[name].out
        ]
        for one in those.values():
            one.out = []
        for place, to, deal in sent:
            if not lost():
                those[names[to]].on_message(deal, place, now)
        if not sent:
            return


# Orders.


def test_every_order_of_a_small_world_keeps_the_limit():
    result = every(Sharing(2, 2, 2, 9, 0, 0, requests=False).lent(), 60)
    assert result.whole and not result.broken and result.states > 1_000
    for days in WHOLE[1:]:
        result = every(days.make(Sharing().make), 4)
        assert result.deepest == 4 and not result.broken


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_walks_at_random_keep_it(days):
    assert not days.gone_through(Sharing().make, steps=30_000).broken


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_that_is_put_in_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken
    try:
        assert not replay(days.make(Sharing().make), path)  # it is the fault, not the path
    except KeyError:
        pass  # the sound code does not even come there


def test_a_walk_is_the_same_from_the_same_seed():
    one, two = (
        walk(lambda seed: Sharing(make=FAULTS["LendsForTooShort"]), 3, 20_000) for _ in range(2)
    )
    assert one == two and one.broken


# What may be used.


def test_homes_add_up_and_one_who_has_none_holds_nothing():
    for amount in (1, 7, 30_000):
        limit = Limit("x", IN_FLIGHT, amount, HOMES)
        assert (
            sum(limit.home_quota(name) for name in HOMES) == amount and limit.home_quota("d") == 0
        )


def test_what_all_ask_for_at_one_is_lent_to_it_and_moves_when_they_ask_another():
    those, passed = shares(rate()), {name: 0 for name in HOMES}
    for step in range(1_200):
        now = step * SECOND // 100
        asked = "a" if step < 600 else "b"
        passed[asked] += (
            those[asked].try_acquire(now)
            if 500 <= step < 600 or step >= 800
            else (those[asked].try_acquire(now) and 0)
        )
        if step % 10 == 0:
            for place, one in enumerate(those.values()):
                one.on_timer(now, [other for other in range(3) if other != place])
            pass_on(those, now)
    assert passed["a"] >= 28 and passed["b"] >= 0.95 * 30 * 4


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 40), st.integers(1, 20), st.floats(0.0, 0.6))
def test_a_rate_is_kept_in_every_window_whatever_is_lost(seed, amount, burst, lost):
    chance, limit = Random(seed), rate(amount, burst)
    those, times = shares(limit), []
    for step in range(800):
        now = step * SECOND // 100
        for name in HOMES:
            for _ in range(int(chance.random() * 3)):
                if those[name].try_acquire(now):
                    times.append(now)
        if chance.random() < 0.1:
            names = list(HOMES)
            place = int(chance.random() * 3)
            those[names[place]].on_timer(now, [other for other in range(3) if other != place])
        pass_on(those, now, lambda: chance.random() < lost)
        assert sum(one.compute_available(now) for one in those.values()) <= limit.amount
    for start in range(0, len(times), 7):
        for end in range(start, len(times), 11):
            assert end - start + 1 <= burst + amount * (times[end] - times[start]) / SECOND + 1e-6


def test_what_never_ran_is_given_back_and_a_rejection_says_a_true_time():
    one = LeasedQuota(rate(10, 1, ("a",)), "a", 0, Random(1), 0)
    assert not one.try_acquire(0) and one.try_acquire(SECOND // 10)
    one.release(SECOND // 10, ran=False)
    assert one.try_acquire(SECOND // 10) and not one.try_acquire(SECOND // 10)
    wait = one.retry_after(SECOND // 10)
    assert SECOND // 20 <= wait <= SECOND // 4
    assert one.try_acquire(SECOND // 10 + wait) and one.tokens < REQUEST_TOKENS


def test_a_start_waits_until_what_its_last_run_lent_is_over():
    one = LeasedQuota(rate(), "a", 0, Random(1), LEASE_DURATION + LEASE_GRACE)
    assert (
        one.compute_available(LEASE_DURATION) == 0
        and one.compute_available(LEASE_DURATION + LEASE_GRACE) == 10_000
        and one.compute_spare(LEASE_DURATION) == 0
    )


def between(now):
    return now, now


def division(name, *limits, kept=None, **more):
    return QuotaAllocation(
        name,
        [LimitConfig(limit, ("t",)) for limit in limits],
        0,
        Random(1),
        between,
        kept or {},
        **more,
    )


def home(one, name="x"):
    return one.tables[name].sole_quota.home_quota


def test_another_division_holds_for_a_member_only_when_all_go_by_it():
    old, new = rate(30), rate(60, homes=("a", "b"))
    kept = {"x": StoredAllocation(old.epoch(), old.home_quota("a"), HOMES, LEASE_DURATION)}
    one = division("a", new, kept=kept)
    assert home(one) == 0  # not before it is heard that the last one stands
    assert not one.check_agreement(TIMER_INTERVAL, set(), {"b"}, set()) and home(one) == 0
    assert (
        not one.check_agreement(TIMER_INTERVAL, {"b"}, set(), set())
        and home(one) == 10_000
        and one.stored_allocations() == kept
    )
    assert not one.check_agreement(
        TIMER_INTERVAL, {"b"}, {"c"}, set()
    )  # one that held a part goes by the old one still
    assert not one.check_agreement(TIMER_INTERVAL, {"b"}, set(), {"c"})  # or is unheard
    assert not one.check_agreement(TIMER_INTERVAL, {"b"}, set(), set())  # or was never met
    one.departed.add("c")
    assert one.check_agreement(TIMER_INTERVAL, {"b"}, set(), set()) and home(one) == 30_000
    assert one.stored_allocations() == {
        "x": StoredAllocation(new.epoch(), 30_000, ("a", "b"), LEASE_DURATION)
    }
    again = division("a", old, kept=kept)
    assert (
        not again.check_agreement(TIMER_INTERVAL, {"b"}, {"c"}, set()) and home(again) == 10_000
    )  # two of three stand by it


def test_who_comes_back_from_long_ago_finds_that_its_division_was_left():
    old = rate(30)
    one = division(
        "c",
        old,
        kept={"x": StoredAllocation(old.epoch(), old.home_quota("c"), HOMES, LEASE_DURATION)},
    )
    assert not one.check_agreement(TIMER_INTERVAL, set(), {"a", "b"}, set()) and home(one) == 0
    alone = division(
        "c",
        old,
        kept={"x": StoredAllocation(old.epoch(), old.home_quota("c"), HOMES, LEASE_DURATION)},
    )
    assert not alone.check_agreement(TIMER_INTERVAL, set(), set(), {"a", "b"}) and home(alone) == 0


def test_a_limit_that_changes_while_it_runs_is_the_smaller_of_both_until_all_go_by_it():
    old, new = rate(30), rate(60)
    one = division("a", old)
    assert one.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set()) and home(one) == 10_000
    one.apply_configs([LimitConfig(new, ("t",))], 2 * TIMER_INTERVAL)
    assert (
        home(one) == 10_000
        and one.announce(2 * TIMER_INTERVAL)
        and not one.check_agreement(3 * TIMER_INTERVAL, {"b"}, {"c"}, set())
    )
    one.apply_configs(
        [LimitConfig(rate(15), ("t",))], 3 * TIMER_INTERVAL
    )  # a third one, before the second was agreed
    assert home(one) == 5_000
    one.apply_configs(
        [LimitConfig(old, ("t",))], 4 * TIMER_INTERVAL
    )  # and back: the others may have gone on meanwhile
    assert home(one) == 5_000 and one.announce(4 * TIMER_INTERVAL)
    assert one.check_agreement(5 * TIMER_INTERVAL, {"b", "c"}, set(), set()) and home(one) == 10_000


def test_a_lower_limit_is_told_only_when_what_was_more_is_over():
    old, new = Limit("x", IN_FLIGHT, 30, HOMES), Limit("x", IN_FLIGHT, 3, HOMES)
    one = division("a", old)
    one.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set())
    start = LEASE_DURATION + LEASE_GRACE
    taken = [one.tables["x"].sole_quota.acquire(start, start + SECOND) for _ in range(10)]
    assert all(taken)
    one.apply_configs([LimitConfig(new, ("t",))], start)
    assert (
        home(one) == 1
        and not one.announce(start)
        and one.tables["x"].sole_quota.acquire(start, start + SECOND) is None
    )
    for passed in taken[:9]:
        passed.release(start)
    assert one.announce(start) and one.check_agreement(start, {"b", "c"}, set(), set())


def test_loans_end_by_the_shorter_span_and_come_back_by_the_longer_while_two_stand_side_by_side():
    old, new = (
        Limit("x", IN_FLIGHT, 3, HOMES, lease_duration=LEASE_DURATION),
        Limit("x", IN_FLIGHT, 3, HOMES, lease_duration=3 * LEASE_DURATION),
    )
    one = division("a", old)
    one.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set())
    one.apply_configs([LimitConfig(new, ("t",))], TIMER_INTERVAL)
    part = one.tables["x"].sole_quota
    assert (part.lend_duration, part.borrow_duration) == (3 * LEASE_DURATION, LEASE_DURATION)
    one.announce(TIMER_INTERVAL)
    one.check_agreement(2 * TIMER_INTERVAL, {"b", "c"}, set(), set())
    assert (part.lend_duration, part.borrow_duration) == (3 * LEASE_DURATION, 3 * LEASE_DURATION)


def test_tables_of_loans_are_bounded_and_a_flood_of_asks_lends_no_more_than_there_is():
    those = shares(Limit("x", IN_FLIGHT, 3_000, HOMES))
    from whinpier.fleet.messages import LEASE_REQUEST, QuotaMessage

    for nonce in range(2_000):
        those["a"].on_message(
            QuotaMessage(LEASE_REQUEST, those["a"].limit.wire_id, nonce + 1, 1, 0), 1, 0
        )
    assert len(those["a"].lent) == 256 and those["a"].compute_available(0) == 1_000 - 256
    assert len(those["a"].out) == 2_000


def test_what_was_agreed_is_kept_in_a_file_and_another_file_is_refused(tmp_path):
    path = str(tmp_path / "recall")
    assert peer_cache.read(path) == ([], {})
    kept = {"x": StoredAllocation(5, 6, ("a", "b"), 7)}
    peer_cache.write(path, [("127.0.0.1", 7)], kept)
    assert peer_cache.read(path) == ([("127.0.0.1", 7)], kept)
    before = (
        '{"form":1,"members":["127.0.0.1:7"],"limits":{"x":[5,6]}}'  # of the build before this one
    )
    (tmp_path / "recall").write_text(before)
    assert peer_cache.read(path) == ([("127.0.0.1", 7)], {"x": StoredAllocation(5, 6)})
    for noise in ("", "{", '{"form":3,"members":[]}', '{"form":1,"members":["a:1"]}', "[" * 5_000):
        (tmp_path / "recall").write_text(noise)
        with pytest.raises(ValueError):
            peer_cache.read(path)


# The file.


def table(tmp_path, **limit):
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    pool = files.service("t", "exclusive", {"s": "127.0.0.1:9"}, 0.25, 1.5)
    limit = {"kind": "rate", "amount": 10, "homes": ["a", "b"]} | limit
    return {
        "version": 1,
        "listen": ["127.0.0.1:9000"],
        "pools": {"t": pool},
        "bank": {"listen": "127.0.0.1:7000", "key_files": [str(key)], "limits": {"x": limit}},
        "routes": [files.route("t", "exclusive", "t")],
    }


@pytest.mark.parametrize(
    "key, value, said",
    [
        ("kind", "day", "'day' is none of rate, in_flight"),
        ("amount", 0, "bank.limits.x.amount: "),
        ("amount", 0.0001, "is less than a task in 1,000 s"),
        ("homes", [], "bank.limits.x.homes: 0 of them"),
        ("homes", ["a", "a"], "bank.limits.x.homes: a member twice"),
        ("homes", ["A"], "bank.limits.x.homes[0]: "),
        ("pools", ["u"], "bank.limits.x.pools[0]: 'u' is none of t"),
        ("burst", 0, "bank.limits.x.burst: "),
        ("brust", 1, "bank.limits.x.brust: is no key here (meant: burst)"),
    ],
)
def test_a_faulty_limit_is_refused_with_its_key(tmp_path, key, value, said):
    with pytest.raises(ConfigFault) as fault:
        operator.made(table(tmp_path, **{key: value}))
    assert said in str(fault.value), str(fault.value)


def test_loans_of_requests_in_flight_last_longer_than_any_request(tmp_path):
    (held,) = operator.made(table(tmp_path, kind="in_flight")).fleet.limits
    assert (
        held.limit.lease_duration == 3 * 3 * SECOND // 2
        and held.pools == ("t",)
        and held.limit.amount == 10
    )
    with pytest.raises(ConfigFault, match="no whole number"):
        operator.made(table(tmp_path, kind="in_flight", amount=1.5))


# Processes.


@pytest.mark.xdist_group("fleet")
def test_three_processes_keep_both_kinds_while_one_is_killed_and_comes_back(tmp_path):
    upstream_fleet = UpstreamFleet({f"s-{n}": Script(workers=32, work=0.02) for n in range(2)}, 1)

    def service(process):
        pool = files.service("t", "exclusive", upstream_fleet.addresses, 0.5, 1.0)
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    limits = {
        "all": {"kind": "rate", "amount": 60, "burst": 12, "homes": ["m0", "m1", "m2"]},
        "out": {"kind": "in_flight", "amount": 4, "homes": ["m0", "m1", "m2"]},
    }
    fleet = Fleet(3, tmp_path, service, limits=limits)
    loads = None
    try:
        fleet.start()
        until(
            lambda: all(
                row["agreed"] and not row["fenced_ms"]
                for number in range(3)
                for row in fleet.ask(number, "limits")
            )
        )
        kept = [one.folder / "recall" for one in fleet.processes]
        until(lambda: all(one.exists() and json.loads(one.read_text())["limits"] for one in kept))
        upstream_fleet.meter()
        start = time.monotonic() + 0.3
        loads = Loads(
            [
                (
                    fleet.processes[number].balancer.address,
                    Asks(f"t{number}", 150.0, "/t/x", host="t.example", timeout=1.0, agreed=0.5),
                )
                for number in (0, 1)
            ],
            1,
            start,
            7.0,
        )
        time.sleep(max(0.0, start + 2.0 - time.monotonic()))
        fleet.kill(2)
        fleet.processes[
            2
        ].start()  # its disk says that it may go by its home, after what may be lent is over
        seen = loads.results()
        met = upstream_fleet.meter()
        assert met["most"] <= 4
        times = sorted(met["times"])
        for begin in range(len(times)):
            for end in range(begin, len(times), 13):
                # Arrivals are bunched by what a balancer or an upstream was late by: half a second
                # is ample.
                assert end - begin + 1 <= 12 + 60 * (times[end] - times[begin] + 0.5)
        used = sum(start + 3.0 <= at < start + 6.0 for at in times) / 180.0
        assert 0.6 < used <= 1.1, used  # a third was killed; at the least the other two homes
        turned_back = [request for one in seen for request in one.told if request.status == 503]
        assert turned_back and all(request.retry_after for request in turned_back)
        assert not any(one.unanswered() or one.answered_twice() for one in seen)
        assert not upstream_fleet.ledger().twice()
        row = fleet.ask(2, "limits")[0]
        assert row["agreed"] or row["home"] == 20_000
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()
