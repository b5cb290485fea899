"""The policy on a fake host: each rule, and each failure that has been met."""

from bisect import bisect_right
from collections import Counter
from math import sqrt
from random import Random

import pytest

from tests.fake_host import MS, SETTINGS, FakeHost
from whinpier.policy.model import Effect, Outcome, Upstream, UpstreamState
from whinpier.policy.policy import SECOND, min_max_split
from whinpier.policy.rate_gossip import PeerRates


@pytest.mark.parametrize(
    "costs, rate, split",
    [
        ([], 5.0, []),
        ([0.1], 4.0, [4.0]),
        ([0.1, 0.1], 4.0, [2.0, 2.0]),
        ([0.1, 1.0], 0.001, [0.001, 0.0]),
        ([0.1, 0.2], 7.0, [6.0, 1.0]),
        ([0.1, 0.2], 30.0, [20.0, 10.0]),
    ],
)
def test_split_minimises_the_highest_mean_latency(costs, rate, split):
    assert min_max_split(costs, rate) == pytest.approx(split, abs=1e-9)


@pytest.mark.parametrize(
    "kind, group, outcome, sent, answer",
    [
        (Effect.NON_IDEMPOTENT, "all", Outcome.OVERLOADED, 2, None),
        (Effect.NON_IDEMPOTENT, "all", Outcome.CONNECT_FAILED, 2, None),
        (Effect.NON_IDEMPOTENT, "all", Outcome.FAILED, 1, "scrapped"),
        (Effect.NON_IDEMPOTENT, "all", Outcome.RESET, 1, "scrapped"),
        (Effect.KEYED, "all", Outcome.RESET, 2, None),
        (Effect.KEYED, "cell", Outcome.RESET, 2, None),
        (Effect.KEYED, "zone", Outcome.RESET, 1, "scrapped"),
        (Effect.IDEMPOTENT, "all", Outcome.FAILED, 2, None),
    ],
)
def test_request_that_may_have_run_is_retried_only_as_its_class_allows(
    kind, group, outcome, sent, answer
):
    host = FakeHost(kind, 2, group=group)  # the two upstreams are in different zones
    request = host.request()
    host.finish_attempt(host.sent[0], outcome)
    host.wait(SECOND // 4)
    assert (len(request.attempts), host.answers.get(request.id)) == (sent, answer)


def test_keyed_request_is_not_retried_once_upstreams_may_have_forgotten_its_key():
    host = FakeHost(Effect.KEYED, 1)
    request = host.request()
    host.wait(2100 * MS)
    host.policy.on_endpoints_updated(host.upstreams + [Upstream(9, UpstreamState.READY, 0, 0, 0)])
    host.finish_attempt(request.attempts[0], Outcome.RESET)
    assert len(request.attempts) == 1 and host.answers[request.id] == "turned back"


@pytest.mark.parametrize("kind", [Effect.NON_IDEMPOTENT, Effect.KEYED, Effect.IDEMPOTENT])
def test_timeout_at_the_deadline_is_answered_at_once(kind):
    host = FakeHost(kind, 1)
    request = host.request()
    host.wait(3000 * MS)
    host.finish_attempt(request.attempts[0], Outcome.TIMED_OUT)
    assert host.answers[request.id] == "scrapped"


@pytest.mark.parametrize("timeout", [5 * MS, 60 * MS, 3000 * MS])
def test_without_upstreams_a_request_is_queued_briefly_then_rejected(timeout):
    host = FakeHost(count=0)
    request = host.request(timeout)
    host.wait(min(timeout, 200 * MS))
    assert host.answers[request.id] == "turned back" and not host.sent


def test_queued_request_is_sent_when_an_upstream_appears():
    host = FakeHost(count=0)
    request = host.request()
    host.wait(20 * MS)
    host.policy.on_endpoints_updated([Upstream(1, UpstreamState.READY, 0, 0, 0)])
    assert len(request.attempts) == 1


def test_draining_or_missing_upstream_gets_no_new_requests():
    host = FakeHost(count=3)
    host.upstreams[0].state = UpstreamState.DRAINING
    host.policy.on_endpoints_updated(host.upstreams[:2])  # the third is missing
    host.traffic(2 * SECOND)
    assert {sent.upstream.id for sent in host.sent} == {1}


def test_upstream_that_is_warming_up_gets_its_part_by_age():
    host = FakeHost(count=4)
    host.traffic(4 * SECOND)
    cold = Upstream(9, UpstreamState.READY, 0, 0, host.now)
    host.policy.on_endpoints_updated(host.upstreams + [cold])
    before = len(host.sent)
    host.traffic(SECOND)
    fresh = sum(sent.upstream is cold for sent in host.sent[before:])
    assert 1 <= fresh <= 0.6 * (len(host.sent) - before) / 4


def test_slow_upstream_gets_less():
    host = FakeHost(count=3)
    host.traffic(8 * SECOND, latency=lambda upstream: (400 if upstream.id == 0 else 50) * MS)
    late = [sent for sent in host.sent if sent.sent_at > host.now - 3 * SECOND]
    assert sum(sent.upstream.id == 0 for sent in late) < 0.1 * len(late)


def test_upstream_that_never_answers_loses_its_share_before_a_timeout_and_regains_it():
    host = FakeHost(Effect.KEYED, 3)
    host.traffic(3 * SECOND)
    before = len(host.sent)
    host.traffic(SECOND, latency=lambda upstream: None if upstream.id == 0 else 50 * MS)
    assert sum(sent.upstream.id == 0 for sent in host.sent[before:]) < 15
    host.traffic(12 * SECOND)
    assert sum(sent.upstream.id == 0 for sent in host.sent[-50:]) > 5


def test_quick_failures_do_not_count_as_fast_answers():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    for _ in range(30):
        host.request()
        for attempt in host.in_flight():
            host.finish_attempt(
                attempt, Outcome.FAILED if attempt.upstream.id == 0 else "fulfilled"
            )
        host.wait(100 * MS)
    assert host.upstreams[0].statistics.share < 0.1


@pytest.mark.parametrize("silent, hedges", [(True, 1), (False, 0)])
def test_only_a_request_at_a_silent_upstream_is_hedged_and_the_slower_attempt_cancelled(
    silent, hedges
):
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    request, upstream = host.request(), host.sent[-1].upstream
    for _ in range(100):  # the request is heavy; its upstream answers others, or does not
        host.request()
        for attempt in host.in_flight():
            if attempt.request is not request and not (silent and attempt.upstream is upstream):
                host.finish_attempt(attempt)
        host.wait(5 * MS)
    assert len(request.attempts) == 1 + hedges
    if silent:
        host.finish_attempt(request.attempts[1])
        assert host.answers[request.id] == "fulfilled" and request.attempts[0] in host.cancelled


def test_fleet_without_capacity_rejects_requests_on_arrival():
    host = FakeHost(count=3)
    host.traffic(3 * SECOND)
    host.traffic(3 * SECOND, every=5 * MS, latency=lambda upstream: 1200 * MS)
    assert "turned back" in host.answers.values() and len(host.in_flight()) < 60


def test_queued_request_with_a_short_timeout_is_answered_behind_one_with_a_long_timeout():
    host = FakeHost(count=0)
    host.request()
    short = host.request(60 * MS)
    host.wait(60 * MS)
    assert host.answers[short.id] == "turned back"


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
def test_upstream_that_fails_quickly_gets_few_requests_while_others_have_no_capacity(outcome):
    host = FakeHost(Effect.NON_IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    failed = 0
    for _ in range(100):  # two upstreams answer nothing in this second, one fails every attempt
        host.request()
        for attempt in host.in_flight():
            if attempt.upstream.id == 0:
                host.finish_attempt(attempt, outcome)
                failed += 1
        host.wait(10 * MS)
    assert failed < 15


@pytest.mark.parametrize("balancers, most", [(1, 8 * 6), (12, 8 * 6 // 12)])
def test_each_balancer_keeps_to_its_part_of_the_capacity_of_an_idle_fleet(balancers, most):
    host = FakeHost(Effect.NON_IDEMPOTENT, 8, balancers=balancers)
    for _ in range(100):
        host.request()
    assert len(host.sent) == most


@pytest.mark.parametrize(
    "balancers, count", [(400, 80), (400, 3), (30, 80), (1, 80), (0, 80), (400, 1)]
)
def test_subsets_of_many_balancers_cover_the_upstreams_evenly(balancers, count):
    users = Counter()  # balancers of each upstream
    for number in range(max(1, balancers)):
        host = FakeHost(Effect.NON_IDEMPOTENT, count, balancers=balancers, slot_no=number)
        users.update(statistics.upstream.id for statistics in host.policy.selector.subset)
    assert len(users) == count
    assert max(users.values()) <= min(max(1, balancers), 2 * min(users.values()))
    assert balancers < 400 or count < 80 or max(users.values()) < 40


def test_balancer_whose_whole_subset_stops_answering_adds_other_upstreams():
    host = FakeHost(Effect.NON_IDEMPOTENT, 80, balancers=400, slot_no=399)
    first = list(host.policy.selector.subset)
    host.traffic(
        6 * SECOND, 200 * MS, lambda upstream: None if upstream.statistics in first else 50 * MS
    )
    assert {sent.upstream.statistics for sent in host.sent[-4:]}.isdisjoint(first)


def test_subset_keeps_listed_upstreams_and_takes_up_new_ones_as_the_list_changes():
    host = FakeHost(Effect.NON_IDEMPOTENT, 80, balancers=100)
    before = set(host.policy.selector.subset)
    host.policy.on_endpoints_updated(host.upstreams[40:])
    assert before & {up.statistics for up in host.upstreams[40:]} <= set(
        host.policy.selector.subset
    )
    host.policy.on_endpoints_updated(
        host.upstreams[40:] + [Upstream(n, UpstreamState.READY, 0, 0, 0) for n in range(200, 300)]
    )
    assert any(statistics.upstream.id >= 200 for statistics in host.policy.selector.subset)


def test_a_hundred_balancers_together_send_a_cold_upstream_no_more_than_its_part():
    to_cold = 0
    for number in range(100):
        host = FakeHost(Effect.NON_IDEMPOTENT, 10, balancers=100, seed=number, slot_no=number)
        host.traffic(3 * SECOND, every=100 * MS)
        cold = Upstream(99, UpstreamState.READY, 0, 0, host.now)
        host.policy.on_endpoints_updated(host.upstreams + [cold])
        host.traffic(1500 * MS, every=100 * MS)
        to_cold += sum(sent.upstream is cold for sent in host.sent)
    # A warm upstream gets 100 a second; a cold one starts at a fifth of its speed.
    assert 0 < to_cold < 0.2 * 2.5 * 1.5 * 100


def ages_at_attempts(number, count, rate, burst, kind):
    """Two upstreams restart cold: what one of `count` balancers sends them, and at what age.

    All balancers together get `rate` requests a second at random times, and `burst` times as many
    once the two are back; upstreams reject what is beyond their capacity, a third above their
    usual rate.
    """
    random = Random(number)
    host = FakeHost(
        kind,
        12,
        balancers=count,
        seed=number,
        slot_no=number,
        **{"rules.fall": 1500 * MS, "rules.fall_multiple": 2.5},
    )
    own_rate, sent = rate / count * random.uniform(0.4, 1.6), []

    def run(span, own_rate, rejected_part):
        until, due = host.now + span, host.now + int(random.expovariate(own_rate) * SECOND)
        while host.now < until:
            while due <= host.now:
                host.request()
                due += int(random.expovariate(own_rate) * SECOND)
            for attempt in host.in_flight():
                latency = (120 if attempt.upstream.id >= 100 else 50) * MS
                if attempt.sent_at + latency <= host.now:
                    rejected = random.random() < rejected_part
                    host.finish_attempt(
                        attempt, Outcome.OVERLOADED if rejected else Outcome.SUCCEEDED
                    )
            host.sent[:] = host.in_flight()
            host.wait(10 * MS)

    def start_counted(request, upstream, stop_at=0, start=host.start_attempt):
        if upstream.started:
            sent.append((upstream.id, host.now - upstream.started))
        return start(request, upstream)

    host.start_attempt = start_counted
    run(5 * SECOND, own_rate, 0.0)
    host.policy.on_endpoints_updated(
        host.upstreams[2:]
        + [Upstream(100 + n, UpstreamState.READY, 0, 0, host.now) for n in range(2)]
    )
    run(5 * SECOND, own_rate * burst, max(0.0, 1.0 - 1.0 / (0.75 * burst)))
    return sent


@pytest.mark.parametrize("kind", [Effect.NON_IDEMPOTENT, Effect.IDEMPOTENT])
@pytest.mark.parametrize(
    "count, rate", [(1, 300.0), (20, 300.0), (30, 300.0), (30, 60.0), (200, 300.0)]
)
@pytest.mark.parametrize("burst", [1.0, 2.0])
def test_all_balancers_together_warm_up_a_cold_upstream_without_overloading_it(
    count, rate, burst, kind
):
    """Guards against balancers that each round a bound of their own up.

    Thirty of them sent 57 requests in 1.5 s where 37 made the upstream fall over.
    """
    sent = [
        one for number in range(count) for one in ages_at_attempts(number, count, rate, burst, kind)
    ]
    capacity, span = rate / 12 / 0.75, 1500 * MS  # requests a second of a warm upstream
    for upstream in (100, 101):
        ages = sorted(age for at, age in sent if at == upstream)
        assert len(ages) > 0.2 * rate / 12 * 5 / 2  # half of what it can answer while it is coldest
        for last, age in enumerate(ages):
            first = bisect_right(ages, age - span)
            speed = 0.2 + 0.8 * max(0, age - span) / (10 * SECOND)  # at the start of the window
            limit = 2.5 * speed * capacity * span / SECOND
            assert last + 1 - first <= limit + 2 * sqrt(limit) + 2, (upstream, age / SECOND)


def test_quick_first_answers_after_a_restart_do_not_lower_the_baseline_latency():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    before = host.policy.selector.baseline_latency
    host.traffic(2 * SECOND, latency=lambda upstream: 5 * MS)
    assert host.policy.selector.baseline_latency == before
    host.traffic(4 * SECOND, latency=lambda upstream: 50 * MS)
    assert host.policy.selector.baseline_latency < before


def test_upstream_is_suspected_after_a_failed_connect_and_not_after_a_reset():
    """Guards against a fleet with a reset now and then that uses a third of its sound upstreams for
    trials only.
    """
    host = FakeHost(count=4)
    host.traffic(6 * SECOND)
    bad = host.upstreams[0]

    def part(outcome):
        """Its part of the requests, from two seconds after an attempt with this outcome."""
        while not (
            attempts := [attempt for attempt in host.in_flight() if attempt.upstream is bad]
        ):
            host.traffic(20 * MS)
        host.finish_attempt(attempts[0], outcome)
        host.traffic(2 * SECOND)
        before = len(host.sent)
        host.traffic(8 * SECOND)
        sent = host.sent[before:]
        return sum(attempt.upstream is bad for attempt in sent) / len(sent)

    assert part(Outcome.RESET) > 0.1
    assert part(Outcome.CONNECT_FAILED) < 0.1


def test_upstream_that_resets_every_connection_is_backed_off_from_longer_each_time():
    """A reset makes no upstream suspected, but counts as a timeout in the latency that it backs off
    for.
    """
    host = FakeHost(count=4)
    host.traffic(6 * SECOND)
    bad, resets = host.upstreams[0], []
    until = host.now + 10 * SECOND
    while host.now < until:
        host.traffic(20 * MS)
        for attempt in host.in_flight():
            if attempt.upstream is bad:
                resets.append(host.now)
                host.finish_attempt(attempt, Outcome.RESET)
    assert len(resets) < 0.02 * 500  # of 50 requests a second; a sound upstream gets a quarter


REPORTED = {"report.source": "inline", "report.columns": ["fulfilled_rate", "busy", "held"]}
PROBED = REPORTED | {"report.source": "on_probe", "limits.probes": True}


@pytest.mark.parametrize("busy, least, most", [(1.0, 1.5, 1.7), (0.2, 5.0, 6.0)])
def test_capacity_follows_the_part_in_use_that_an_upstream_reports(busy, least, most):
    """Guards against six requests in flight at upstreams with a single core, which overloaded nearly
    a whole fleet within two seconds.
    """
    host = FakeHost(count=3, balancers=2, **REPORTED)
    host.traffic(5 * SECOND, load={"fulfilled_rate": 20.0, "busy": busy, "held": 3.0})
    assert all(least <= upstream.statistics.total_capacity <= most for upstream in host.upstreams)


def test_upstream_without_the_configured_load_reports_gets_the_highest_capacity():
    host = FakeHost(count=3, **REPORTED)
    host.traffic(5 * SECOND)
    assert all(upstream.statistics.total_capacity == 6.0 for upstream in host.upstreams)


@pytest.mark.parametrize(
    "load", [{}, {"busy": 1e9}, {"held": 1e9}, {"fulfilled_rate": 1e9, "busy": 0.0}]
)
def test_requests_are_answered_whatever_load_reports_say(load):
    host = FakeHost(count=3, **PROBED)
    host.traffic(3 * SECOND, load=load)
    never_listed = Upstream(99, UpstreamState.READY, 0, 0, 0)
    host.policy.on_load_report(never_listed, {"busy": 1.0})
    host.policy.on_endpoints_updated([])
    host.wait(2 * SECOND)
    assert "fulfilled" in host.answers.values()


def test_upstreams_are_probed_in_turn_and_one_that_reports_no_capacity_gets_no_requests():
    """Guards against a balancer's own count of attempts in flight: requests that have timed out go
    on running at the upstream, so that it is too low.
    """
    host = FakeHost(count=3, **PROBED)
    for _ in range(100):
        host.request()
        host.policy.on_load_report(host.upstreams[0], {"held": 9.0, "busy": 1.0})
        for attempt in host.in_flight():
            host.finish_attempt(attempt)
        host.wait(20 * MS)
    assert len(host.probed) == 50 and set(host.probed) == set(host.upstreams)
    assert not any(sent.upstream is host.upstreams[0] for sent in host.sent[1:])


def test_size_of_the_subset_follows_the_part_of_all_traffic():
    def subset_size(every):
        host = FakeHost(count=60, balancers=60, **{"limits.peers": True})
        for balancer in range(1, 60):
            host.policy.on_peer_message(balancer, PeerRates.pack(20.0))
        host.traffic(3 * SECOND, every=every)
        assert len(host.peer_messages) <= 3  # in a third of the seconds, as there are sixty
        return len(host.policy.selector.subset)

    assert subset_size(500 * MS) <= 3 and subset_size(5 * MS) >= 30


def test_balancer_sends_no_rate_in_its_first_second():
    """Guards against rates of zero, on which each balancer of a fleet used all capacity itself."""
    host = FakeHost(count=6, balancers=6, **{"limits.peers": True})
    host.wait(900 * MS)
    assert host.peer_messages == []
    host.traffic(2 * SECOND)
    assert host.peer_messages and all(len(contents) == 5 for contents in host.peer_messages)


@pytest.mark.parametrize(
    "balancer, contents",
    [
        (1, b""),
        (1, b"\x02" + PeerRates.pack(1.0)[1:]),
        (1, PeerRates.pack(1.0) + b"more"),
        (9, PeerRates.pack(1.0)),
        (1, PeerRates.pack(float("nan"))),
        (1, PeerRates.pack(-1.0)),
        (1, PeerRates.pack(float("inf"))),
        (1, b"x" * 256),
    ],
)
def test_invalid_peer_message_is_counted_and_ignored(balancer, contents):
    host = FakeHost(count=3, balancers=4, **{"limits.peers": True})
    host.policy.on_peer_message(balancer, contents)
    host.traffic(2 * SECOND)
    assert (
        host.policy.selector.peer_rates.received == {}
        and host.policy.selector.peer_rates.invalid_messages == 1
    )


def test_endpoint_list_is_asked_for_after_random_delays_that_grow_with_each_failure():
    first = []
    for seed in range(20):
        host = FakeHost(
            count=0, seed=seed, discovery="subscribe", **{"rules.ask_within": 10 * SECOND}
        )
        start = host.now
        while len(host.list_requests) < 6:
            host.wait(SECOND // 10)
        first.append(host.list_requests[0] - start)
        gaps = [after - before for before, after in zip(host.list_requests, host.list_requests[1:])]
        assert max(gaps) <= 5 * SECOND and min(gaps[1:]) >= 2 * SECOND
        host.policy.on_endpoints_updated([Upstream(1, UpstreamState.READY, 0, 0, 0)])
        host.wait(20 * SECOND)
        assert len(host.list_requests) == 6  # none once the list has come
        host.policy.on_endpoint_list_lost()
        host.wait(2 * SECOND)
        assert len(host.list_requests) == 7
    assert max(first) > SECOND and len(set(first)) == 20


@pytest.mark.parametrize("sent, wait", [(True, 200 * MS), (False, 0)])
def test_rejection_has_a_wait_only_where_settings_have_it_sent(sent, wait):
    host = FakeHost(count=0, **{"limits.retry_after": sent})
    host.request()
    host.wait(SECOND)
    assert host.waits == [wait]


def test_no_hedge_is_sent_once_settings_forbid_hedges():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    bad = host.upstreams[0]
    host.traffic(300 * MS, latency=lambda upstream: None if upstream is bad else 50 * MS)
    host.policy.reconfigure(SETTINGS | {"limits.second_copies": False}, [host.request_class])
    before = {
        request.id: len(request.attempts) for request in {sent.request for sent in host.in_flight()}
    }
    host.traffic(2 * SECOND, latency=lambda upstream: None if upstream is bad else 50 * MS)
    assert before and all(
        len(sent.request.attempts) == before[sent.request.id]
        for sent in host.sent
        if sent.request.id in before
    )
