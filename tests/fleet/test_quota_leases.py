"""Leased quotas: what all members may use never exceeds the limit, whatever is lost or killed."""

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


def make_quotas(limit, now=0):
    return {name: LeasedQuota(limit, name, now, Random(name), 0) for name in limit.homes}


def deliver_all(quotas, now, is_lost=lambda: False):
    """Deliver all messages and the answers to them, without delay, until none is left."""
    names = list(quotas)
    for _ in range(20):
        sent = [
            (index, to, message)
            for index, name in enumerate(names)
            for to, message in quotas[name].out
        ]
        for quota in quotas.values():
            quota.out = []
        for index, to, message in sent:
            if not is_lost():
                quotas[names[to]].on_message(message, index, now)
        if not sent:
            return


# Model checking.


def test_exhaustive_exploration_of_a_small_model_keeps_the_limit():
    result = every(Sharing(2, 2, 2, 9, 0, 0, requests=False).lent(), 60)
    assert result.whole and not result.broken and result.states > 1_000
    for scenario in WHOLE[1:]:
        result = every(scenario.make(Sharing().make), 4)
        assert result.deepest == 4 and not result.broken


@pytest.mark.parametrize("scenario", WALKS, ids=lambda scenario: scenario.what)
def test_random_walks_keep_the_limit(scenario):
    assert not scenario.gone_through(Sharing().make, steps=30_000).broken


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_mutant_breaks_the_limit_on_a_path_that_replays(name):
    scenario, broken, path = found(name)
    assert broken and replay(scenario.make(FAULTS[name]), path) == broken
    try:
        assert not replay(scenario.make(Sharing().make), path)  # sound code keeps the limit
    except KeyError:
        pass  # sound code does not offer one of the steps


def test_random_walk_is_deterministic_for_a_seed():
    first, second = (
        walk(lambda seed: Sharing(make=FAULTS["LendsForTooShort"]), 3, 20_000) for _ in range(2)
    )
    assert first == second and first.broken


# Home quotas, leases and rates.


def test_home_quotas_add_up_to_the_limit():
    for amount in (1, 7, 30_000):
        limit = Limit("x", IN_FLIGHT, amount, HOMES)
        assert (
            sum(limit.home_quota(name) for name in HOMES) == amount and limit.home_quota("d") == 0
        )


def test_quota_is_leased_to_the_member_with_the_demand_and_follows_it():
    quotas, admitted = make_quotas(rate()), {name: 0 for name in HOMES}
    for step in range(1_200):
        now = step * SECOND // 100
        busy = "a" if step < 600 else "b"
        admitted[busy] += (
            quotas[busy].try_acquire(now)
            if 500 <= step < 600 or step >= 800
            else (quotas[busy].try_acquire(now) and 0)
        )
        if step % 10 == 0:
            for index, quota in enumerate(quotas.values()):
                quota.on_timer(now, [other for other in range(3) if other != index])
            deliver_all(quotas, now)
    assert admitted["a"] >= 28 and admitted["b"] >= 0.95 * 30 * 4


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 40), st.integers(1, 20), st.floats(0.0, 0.6))
def test_rate_is_kept_in_every_interval_despite_lost_messages(seed, amount, burst, lost):
    chance, limit = Random(seed), rate(amount, burst)
    quotas, times = make_quotas(limit), []
    for step in range(800):
        now = step * SECOND // 100
        for name in HOMES:
            for _ in range(int(chance.random() * 3)):
                if quotas[name].try_acquire(now):
                    times.append(now)
        if chance.random() < 0.1:
            names = list(HOMES)
            index = int(chance.random() * 3)
            quotas[names[index]].on_timer(now, [other for other in range(3) if other != index])
        deliver_all(quotas, now, lambda: chance.random() < lost)
        assert sum(quota.compute_available(now) for quota in quotas.values()) <= limit.amount
    for start in range(0, len(times), 7):
        for end in range(start, len(times), 11):
            assert end - start + 1 <= burst + amount * (times[end] - times[start]) / SECOND + 1e-6


def test_request_that_never_ran_returns_its_token_and_retry_time_holds():
    quota = LeasedQuota(rate(10, 1, ("a",)), "a", 0, Random(1), 0)
    assert not quota.try_acquire(0) and quota.try_acquire(SECOND // 10)
    quota.release(SECOND // 10, ran=False)
    assert quota.try_acquire(SECOND // 10) and not quota.try_acquire(SECOND // 10)
    wait = quota.retry_after(SECOND // 10)
    assert SECOND // 20 <= wait <= SECOND // 4
    assert quota.try_acquire(SECOND // 10 + wait) and quota.tokens < REQUEST_TOKENS


def test_home_quota_is_unusable_within_the_fencing_interval():
    quota = LeasedQuota(rate(), "a", 0, Random(1), LEASE_DURATION + LEASE_GRACE)
    assert (
        quota.compute_available(LEASE_DURATION) == 0
        and quota.compute_available(LEASE_DURATION + LEASE_GRACE) == 10_000
        and quota.compute_spare(LEASE_DURATION) == 0
    )


def clock_bounds(now):
    return now, now


def make_allocation(name, *limits, stored=None, **more):
    return QuotaAllocation(
        name,
        [LimitConfig(limit, ("t",)) for limit in limits],
        0,
        Random(1),
        clock_bounds,
        stored or {},
        **more,
    )


def home_quota(allocation, name="x"):
    return allocation.tables[name].sole_quota.home_quota


def test_new_allocation_is_used_only_once_all_members_use_it():
    old, new = rate(30), rate(60, homes=("a", "b"))
    stored = {"x": StoredAllocation(old.epoch(), old.home_quota("a"), HOMES, LEASE_DURATION)}
    allocation = make_allocation("a", new, stored=stored)
    assert home_quota(allocation) == 0  # no other home member confirms the stored allocation
    assert (
        not allocation.check_agreement(TIMER_INTERVAL, set(), {"b"}, set())
        and home_quota(allocation) == 0
    )
    assert (
        not allocation.check_agreement(TIMER_INTERVAL, {"b"}, set(), set())
        and home_quota(allocation) == 10_000
        and allocation.stored_allocations() == stored
    )
    # A former home member uses the old allocation.
    assert not allocation.check_agreement(TIMER_INTERVAL, {"b"}, {"c"}, set())
    assert not allocation.check_agreement(TIMER_INTERVAL, {"b"}, set(), {"c"})  # it is unreachable
    assert not allocation.check_agreement(TIMER_INTERVAL, {"b"}, set(), set())  # it was never seen
    allocation.departed.add("c")
    assert (
        allocation.check_agreement(TIMER_INTERVAL, {"b"}, set(), set())
        and home_quota(allocation) == 30_000
    )
    assert allocation.stored_allocations() == {
        "x": StoredAllocation(new.epoch(), 30_000, ("a", "b"), LEASE_DURATION)
    }
    restarted = make_allocation("a", old, stored=stored)
    # Most home members confirm the stored allocation.
    assert (
        not restarted.check_agreement(TIMER_INTERVAL, {"b"}, {"c"}, set())
        and home_quota(restarted) == 10_000
    )


def test_superseded_allocation_is_not_used_after_a_long_absence():
    old = rate(30)
    allocation = make_allocation(
        "c",
        old,
        stored={"x": StoredAllocation(old.epoch(), old.home_quota("c"), HOMES, LEASE_DURATION)},
    )
    assert (
        not allocation.check_agreement(TIMER_INTERVAL, set(), {"a", "b"}, set())
        and home_quota(allocation) == 0
    )
    alone = make_allocation(
        "c",
        old,
        stored={"x": StoredAllocation(old.epoch(), old.home_quota("c"), HOMES, LEASE_DURATION)},
    )
    assert (
        not alone.check_agreement(TIMER_INTERVAL, set(), set(), {"a", "b"})
        and home_quota(alone) == 0
    )


def test_smaller_home_quota_holds_while_an_allocation_changes():
    old, new = rate(30), rate(60)
    allocation = make_allocation("a", old)
    assert (
        allocation.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set())
        and home_quota(allocation) == 10_000
    )
    allocation.apply_configs([LimitConfig(new, ("t",))], 2 * TIMER_INTERVAL)
    assert (
        home_quota(allocation) == 10_000
        and allocation.announce(2 * TIMER_INTERVAL)
        and not allocation.check_agreement(3 * TIMER_INTERVAL, {"b"}, {"c"}, set())
    )
    # A third allocation, before the second is agreed.
    allocation.apply_configs([LimitConfig(rate(15), ("t",))], 3 * TIMER_INTERVAL)
    assert home_quota(allocation) == 5_000
    # Back to the first: others may use the second by now.
    allocation.apply_configs([LimitConfig(old, ("t",))], 4 * TIMER_INTERVAL)
    assert home_quota(allocation) == 5_000 and allocation.announce(4 * TIMER_INTERVAL)
    assert (
        allocation.check_agreement(5 * TIMER_INTERVAL, {"b", "c"}, set(), set())
        and home_quota(allocation) == 10_000
    )


def test_lower_limit_is_announced_only_once_the_excess_is_released():
    old, new = Limit("x", IN_FLIGHT, 30, HOMES), Limit("x", IN_FLIGHT, 3, HOMES)
    allocation = make_allocation("a", old)
    allocation.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set())
    start = LEASE_DURATION + LEASE_GRACE
    admissions = [
        allocation.tables["x"].sole_quota.acquire(start, start + SECOND) for _ in range(10)
    ]
    assert all(admissions)
    allocation.apply_configs([LimitConfig(new, ("t",))], start)
    assert (
        home_quota(allocation) == 1
        and not allocation.announce(start)
        and allocation.tables["x"].sole_quota.acquire(start, start + SECOND) is None
    )
    for admission in admissions[:9]:
        admission.release(start)
    assert allocation.announce(start) and allocation.check_agreement(
        start, {"b", "c"}, set(), set()
    )


def test_borrower_uses_the_shorter_and_lender_the_longer_lease_while_an_allocation_changes():
    old, new = (
        Limit("x", IN_FLIGHT, 3, HOMES, lease_duration=LEASE_DURATION),
        Limit("x", IN_FLIGHT, 3, HOMES, lease_duration=3 * LEASE_DURATION),
    )
    allocation = make_allocation("a", old)
    allocation.check_agreement(TIMER_INTERVAL, {"b", "c"}, set(), set())
    allocation.apply_configs([LimitConfig(new, ("t",))], TIMER_INTERVAL)
    quota = allocation.tables["x"].sole_quota
    assert (quota.lend_duration, quota.borrow_duration) == (3 * LEASE_DURATION, LEASE_DURATION)
    allocation.announce(TIMER_INTERVAL)
    allocation.check_agreement(2 * TIMER_INTERVAL, {"b", "c"}, set(), set())
    assert (quota.lend_duration, quota.borrow_duration) == (3 * LEASE_DURATION, 3 * LEASE_DURATION)


def test_number_of_leases_is_bounded_under_a_flood_of_requests():
    quotas = make_quotas(Limit("x", IN_FLIGHT, 3_000, HOMES))
    from whinpier.fleet.messages import LEASE_REQUEST, QuotaMessage

    for nonce in range(2_000):
        quotas["a"].on_message(
            QuotaMessage(LEASE_REQUEST, quotas["a"].limit.wire_id, nonce + 1, 1, 0), 1, 0
        )
    assert len(quotas["a"].lent) == 256 and quotas["a"].compute_available(0) == 1_000 - 256
    assert len(quotas["a"].out) == 2_000


def test_stored_allocations_survive_a_restart_and_invalid_files_are_refused(tmp_path):
    path = str(tmp_path / "recall")
    assert peer_cache.read(path) == ([], {})
    stored = {"x": StoredAllocation(5, 6, ("a", "b"), 7)}
    peer_cache.write(path, [("127.0.0.1", 7)], stored)
    assert peer_cache.read(path) == ([("127.0.0.1", 7)], stored)
    # Written by older builds.
    first_format = '{"form":1,"members":["127.0.0.1:7"],"limits":{"x":[5,6]}}'
    (tmp_path / "recall").write_text(first_format)
    assert peer_cache.read(path) == ([("127.0.0.1", 7)], {"x": StoredAllocation(5, 6)})
    for content in (
        "",
        "{",
        '{"form":3,"members":[]}',
        '{"form":1,"members":["a:1"]}',
        "[" * 5_000,
    ):
        (tmp_path / "recall").write_text(content)
        with pytest.raises(ValueError):
            peer_cache.read(path)


# Configuration.


def operator_file(tmp_path, **limit):
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
    "key, value, expected",
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
def test_invalid_limit_is_refused_with_its_key(tmp_path, key, value, expected):
    with pytest.raises(ConfigFault) as fault:
        operator.made(operator_file(tmp_path, **{key: value}))
    assert expected in str(fault.value), str(fault.value)


def test_leases_of_requests_in_flight_outlast_any_request(tmp_path):
    (config,) = operator.made(operator_file(tmp_path, kind="in_flight")).fleet.limits
    assert (
        config.limit.lease_duration == 3 * 3 * SECOND // 2
        and config.pools == ("t",)
        and config.limit.amount == 10
    )
    with pytest.raises(ConfigFault, match="no whole number"):
        operator.made(operator_file(tmp_path, kind="in_flight", amount=1.5))


# Processes.


@pytest.mark.xdist_group("fleet")
def test_three_processes_keep_both_limits_while_one_is_killed_and_restarted(tmp_path):
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
        stored_files = [process.folder / "recall" for process in fleet.processes]
        until(
            lambda: all(
                path.exists() and json.loads(path.read_text())["limits"] for path in stored_files
            )
        )
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
        fleet.processes[2].start()  # uses its stored home quota again after the fencing interval
        clients = loads.results()
        measured = upstream_fleet.meter()
        assert measured["most"] <= 4
        times = sorted(measured["times"])
        for first in range(len(times)):
            for last in range(first, len(times), 13):
                # Arrivals bunch when a balancer or an upstream is late: half a second is ample.
                assert last - first + 1 <= 12 + 60 * (times[last] - times[first] + 0.5)
        used_share = sum(start + 3.0 <= at < start + 6.0 for at in times) / 180.0
        # A third was killed: at least the other two home quotas.
        assert 0.6 < used_share <= 1.1, used_share
        turned_back = [
            request for client in clients for request in client.told if request.status == 503
        ]
        assert turned_back and all(request.retry_after for request in turned_back)
        assert not any(client.unanswered() or client.answered_twice() for client in clients)
        assert not upstream_fleet.ledger().twice()
        row = fleet.ask(2, "limits")[0]
        assert row["agreed"] or row["home"] == 20_000
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()
