"""Short stories: one for each rule and each failure met."""

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
def test_level_is_the_papers(costs, rate, split):
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
def test_what_may_have_run_is_sent_again_only_as_its_request_class_allows(
    kind, group, outcome, sent, answer
):
    host = FakeHost(kind, 2, group=group)  # the two upstreams stand in different zones
    request = host.request()
    host.finish_attempt(host.sent[0], outcome)
    host.wait(SECOND // 4)
    assert (len(request.attempts), host.answers.get(request.id)) == (sent, answer)


def test_a_ticketed_request_is_not_sent_again_once_its_upstreams_may_have_forgotten_it():
    host = FakeHost(Effect.KEYED, 1)
    request = host.request()
    host.wait(2100 * MS)
    host.policy.on_endpoints_updated(host.upstreams + [Upstream(9, UpstreamState.READY, 0, 0, 0)])
    host.finish_attempt(request.attempts[0], Outcome.RESET)
    assert len(request.attempts) == 1 and host.answers[request.id] == "turned back"


@pytest.mark.parametrize("kind", [Effect.NON_IDEMPOTENT, Effect.KEYED, Effect.IDEMPOTENT])
def test_a_time_out_at_the_end_is_answered_at_once(kind):
    host = FakeHost(kind, 1)
    request = host.request()
    host.wait(3000 * MS)
    host.finish_attempt(request.attempts[0], Outcome.TIMED_OUT)
    assert host.answers[request.id] == "scrapped"


@pytest.mark.parametrize("timeout", [5 * MS, 60 * MS, 3000 * MS])
def test_with_nothing_to_send_to_a_request_is_held_briefly_then_rejected(timeout):
    host = FakeHost(count=0)
    request = host.request(timeout)
    host.wait(min(timeout, 200 * MS))
    assert host.answers[request.id] == "turned back" and not host.sent


def test_a_held_request_goes_out_when_an_upstream_appears():
    host = FakeHost(count=0)
    request = host.request()
    host.wait(20 * MS)
    host.policy.on_endpoints_updated([Upstream(1, UpstreamState.READY, 0, 0, 0)])
    assert len(request.attempts) == 1


def test_a_draining_or_missing_upstream_gets_nothing_new():
    host = FakeHost(count=3)
    host.upstreams[0].state = UpstreamState.DRAINING
    host.policy.on_endpoints_updated(host.upstreams[:2])  # the third is missing
    host.traffic(2 * SECOND)
    assert {sent.upstream.id for sent in host.sent} == {1}


def test_a_cold_upstream_gets_its_part_by_age():
    host = FakeHost(count=4)
    host.traffic(4 * SECOND)
    cold = Upstream(9, UpstreamState.READY, 0, 0, host.now)
    host.policy.on_endpoints_updated(host.upstreams + [cold])
    before = len(host.sent)
    host.traffic(SECOND)
    fresh = sum(sent.upstream is cold for sent in host.sent[before:])
    assert 1 <= fresh <= 0.6 * (len(host.sent) - before) / 4


def test_a_slow_upstream_gets_less():
    host = FakeHost(count=3)
    host.traffic(8 * SECOND, takes=lambda upstream: (400 if upstream.id == 0 else 50) * MS)
    late = [sent for sent in host.sent if sent.sent_at > host.now - 3 * SECOND]
    assert sum(sent.upstream.id == 0 for sent in late) < 0.1 * len(late)


def test_an_upstream_that_swallows_requests_loses_its_share_before_a_time_out_and_wins_it_back():
    host = FakeHost(Effect.KEYED, 3)
    host.traffic(3 * SECOND)
    before = len(host.sent)
    host.traffic(SECOND, takes=lambda upstream: None if upstream.id == 0 else 50 * MS)
    assert sum(sent.upstream.id == 0 for sent in host.sent[before:]) < 15
    host.traffic(12 * SECOND)
    assert sum(sent.upstream.id == 0 for sent in host.sent[-50:]) > 5


def test_quick_failures_do_not_look_fast():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    for _ in range(30):
        host.request()
        for attempt in host.out():
            host.finish_attempt(
                attempt, Outcome.FAILED if attempt.upstream.id == 0 else "fulfilled"
            )
        host.wait(100 * MS)
    assert host.upstreams[0].statistics.share < 0.1


@pytest.mark.parametrize("silent, copies", [(True, 1), (False, 0)])
def test_only_a_request_at_a_silent_upstream_gets_a_second_copy_and_the_loser_is_withdrawn(
    silent, copies
):
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    request, upstream = host.request(), host.sent[-1].upstream
    for _ in range(100):  # the request is heavy; its upstream answers others, or does not
        host.request()
        for attempt in host.out():
            if attempt.request is not request and not (silent and attempt.upstream is upstream):
                host.finish_attempt(attempt)
        host.wait(5 * MS)
    assert len(request.attempts) == 1 + copies
    if silent:
        host.finish_attempt(request.attempts[1])
        assert host.answers[request.id] == "fulfilled" and request.attempts[0] in host.withdrawn


def test_a_full_fleet_rejects_at_the_door():
    host = FakeHost(count=3)
    host.traffic(3 * SECOND)
    host.traffic(3 * SECOND, every=5 * MS, takes=lambda upstream: 1200 * MS)
    assert "turned back" in host.answers.values() and len(host.out()) < 60


def test_a_held_request_with_little_timeout_is_not_lost_behind_one_with_more():
    host = FakeHost(count=0)
    host.request()
    hasty = host.request(60 * MS)
    host.wait(60 * MS)
    assert host.answers[hasty.id] == "turned back"


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
def test_while_others_are_full_one_that_fails_quickly_does_not_draw_what_finds_no_room(outcome):
    host = FakeHost(Effect.NON_IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    failed = 0
    for _ in range(100):  # two answer none in this second, one fails whatever it gets
        host.request()
        for attempt in host.out():
            if attempt.upstream.id == 0:
                host.finish_attempt(attempt, outcome)
                failed += 1
        host.wait(10 * MS)
    assert failed < 15


@pytest.mark.parametrize("balancers, most", [(1, 8 * 6), (12, 8 * 6 // 12)])
def test_many_balancers_each_keep_to_their_part_of_an_idle_fleet(balancers, most):
    host = FakeHost(Effect.NON_IDEMPOTENT, 8, balancers=balancers)
    for _ in range(100):
        host.request()
    assert len(host.sent) == most


@pytest.mark.parametrize(
    "balancers, count", [(400, 80), (400, 3), (30, 80), (1, 80), (0, 80), (400, 1)]
)
def test_a_large_fleet_spreads_its_connections_evenly_over_a_large_fleet(balancers, count):
    met = Counter()
    for number in range(max(1, balancers)):
        host = FakeHost(Effect.NON_IDEMPOTENT, count, balancers=balancers, slot_no=number)
        met.update(seen.upstream.id for seen in host.policy.selector.subset)
    assert len(met) == count and max(met.values()) <= min(max(1, balancers), 2 * min(met.values()))
    assert balancers < 400 or count < 80 or max(met.values()) < 40


def test_a_balancer_whose_upstreams_all_fall_silent_takes_others_besides():
    host = FakeHost(Effect.NON_IDEMPOTENT, 80, balancers=400, slot_no=399)
    first = list(host.policy.selector.subset)
    host.traffic(
        6 * SECOND, 200 * MS, lambda upstream: None if upstream.statistics in first else 50 * MS
    )
    assert {sent.upstream.statistics for sent in host.sent[-4:]}.isdisjoint(first)


def test_a_list_that_shrinks_and_grows_keeps_what_is_connected_and_meets_who_is_new():
    host = FakeHost(Effect.NON_IDEMPOTENT, 80, balancers=100)
    before = set(host.policy.selector.subset)
    host.policy.on_endpoints_updated(host.upstreams[40:])
    assert before & {up.statistics for up in host.upstreams[40:]} <= set(
        host.policy.selector.subset
    )
    host.policy.on_endpoints_updated(
        host.upstreams[40:] + [Upstream(n, UpstreamState.READY, 0, 0, 0) for n in range(200, 300)]
    )
    assert any(seen.upstream.id >= 200 for seen in host.policy.selector.subset)


def test_hundreds_of_balancers_together_send_a_cold_upstream_less_than_its_part():
    first = 0
    for number in range(100):
        host = FakeHost(Effect.NON_IDEMPOTENT, 10, balancers=100, seed=number, slot_no=number)
        host.traffic(3 * SECOND, every=100 * MS)
        cold = Upstream(99, UpstreamState.READY, 0, 0, host.now)
        host.policy.on_endpoints_updated(host.upstreams + [cold])
        host.traffic(1500 * MS, every=100 * MS)
        first += sum(sent.upstream is cold for sent in host.sent)
    assert (
        0 < first < 0.2 * 2.5 * 1.5 * 100
    )  # 100 a second is what a warm one gets; cold from a fifth of it


def cold_fleet(number, count, rate, burst, kind):
    """When each of two upstreams that come back cold is sent what by one of `count` balancers,
    by its age.

    `rate` requests a second come to all together, at random, and `burst` times as many once the
    two are back; upstreams turn away what is beyond their capacity, a third above what they
    usually get.
    """
    chance = Random(number)
    host = FakeHost(
        kind,
        12,
        balancers=count,
        seed=number,
        slot_no=number,
        **{"rules.fall": 1500 * MS, "rules.fall_multiple": 2.5},
    )
    each, sent = rate / count * chance.uniform(0.4, 1.6), []

    def go(span, each, full):
        until, due = host.now + span, host.now + int(chance.expovariate(each) * SECOND)
        while host.now < until:
            while due <= host.now:
                host.request()
                due += int(chance.expovariate(each) * SECOND)
            for out in host.out():
                if out.sent_at + (120 if out.upstream.id >= 100 else 50) * MS <= host.now:
                    host.finish_attempt(
                        out, Outcome.OVERLOADED if chance.random() < full else Outcome.SUCCEEDED
                    )
            host.sent[:] = host.out()
            host.wait(10 * MS)

    def counted(request, upstream, stop_at=0, send=host.start_attempt):
        if upstream.started:
            sent.append((upstream.id, host.now - upstream.started))
        return send(request, upstream)

    host.start_attempt = counted
    go(5 * SECOND, each, 0.0)
    host.policy.on_endpoints_updated(
        host.upstreams[2:]
        + [Upstream(100 + n, UpstreamState.READY, 0, 0, host.now) for n in range(2)]
    )
    go(5 * SECOND, each * burst, max(0.0, 1.0 - 1.0 / (0.75 * burst)))
    return sent


@pytest.mark.parametrize("kind", [Effect.NON_IDEMPOTENT, Effect.IDEMPOTENT])
@pytest.mark.parametrize(
    "count, rate", [(1, 300.0), (20, 300.0), (30, 300.0), (30, 60.0), (200, 300.0)]
)
@pytest.mark.parametrize("burst", [1.0, 2.0])
def test_all_balancers_together_never_send_a_cold_upstream_more_than_it_bears_and_bring_it_on(
    count, rate, burst, kind
):
    """Each kept a bound of its own and rounded up: thirty sent 57 in a second and a half where
    37 fell it.
    """
    sent = [one for number in range(count) for one in cold_fleet(number, count, rate, burst, kind)]
    capacity, span = rate / 12 / 0.75, 1500 * MS  # a second, of a warm one
    for upstream in (100, 101):
        ages = sorted(age for at, age in sent if at == upstream)
        assert len(ages) > 0.2 * rate / 12 * 5 / 2  # half of what it can do while it is coldest
        for last, age in enumerate(ages):
            first = bisect_right(ages, age - span)
            speed = 0.2 + 0.8 * max(0, age - span) / (10 * SECOND)  # at the window's start
            bears = 2.5 * speed * capacity * span / SECOND
            assert last + 1 - first <= bears + 2 * sqrt(bears) + 2, (upstream, age / SECOND)


def test_the_quick_answers_of_a_restarted_balancers_first_seconds_do_not_narrow_its_room():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    before = host.policy.selector.baseline_latency
    host.traffic(2 * SECOND, takes=lambda upstream: 5 * MS)
    assert host.policy.selector.baseline_latency == before
    host.traffic(4 * SECOND, takes=lambda upstream: 50 * MS)
    assert host.policy.selector.baseline_latency < before


def test_a_connection_that_is_reset_puts_no_upstream_in_doubt_and_one_that_never_came_up_does():
    """A fleet with a reset now and then kept a third of its sound upstreams for trials only."""
    host = FakeHost(count=4)
    host.traffic(6 * SECOND)
    bad = host.upstreams[0]

    def part(outcome):
        """What share of the requests it gets from two seconds after an attempt that came back so."""
        while not (out := [attempt for attempt in host.out() if attempt.upstream is bad]):
            host.traffic(20 * MS)
        host.finish_attempt(out[0], outcome)
        host.traffic(2 * SECOND)
        before = len(host.sent)
        host.traffic(8 * SECOND)
        sent = host.sent[before:]
        return sum(attempt.upstream is bad for attempt in sent) / len(sent)

    assert part(Outcome.RESET) > 0.1
    assert part(Outcome.CONNECT_FAILED) < 0.1


def test_an_upstream_that_resets_every_connection_is_left_alone_for_longer_each_time():
    """A reset is no doubt, but it counts as a time-out and shuts for as long as its latency then says."""
    host = FakeHost(count=4)
    host.traffic(6 * SECOND)
    bad, met = host.upstreams[0], []
    until = host.now + 10 * SECOND
    while host.now < until:
        host.traffic(20 * MS)
        for attempt in host.out():
            if attempt.upstream is bad:
                met.append(host.now)
                host.finish_attempt(attempt, Outcome.RESET)
    assert len(met) < 0.02 * 500  # of 50 requests a second, where a sound one gets a quarter


REPORTED = {"report.source": "inline", "report.columns": ["fulfilled_rate", "busy", "held"]}
PROBED = REPORTED | {"report.source": "on_probe", "limits.probes": True}


@pytest.mark.parametrize("busy, least, most", [(1.0, 1.5, 1.7), (0.2, 5.0, 6.0)])
def test_room_follows_the_part_in_use_that_an_upstream_reports(busy, least, most):
    """Room for six requests at an upstream of one core had nearly a whole fleet choke within two
    seconds.
    """
    host = FakeHost(count=3, balancers=2, **REPORTED)
    host.traffic(5 * SECOND, load={"fulfilled_rate": 20.0, "busy": busy, "held": 3.0})
    assert all(least <= upstream.statistics.total_capacity <= most for upstream in host.upstreams)


def test_an_upstream_that_does_not_send_the_reports_it_promised_counts_as_one_that_gives_none():
    host = FakeHost(count=3, **REPORTED)
    host.traffic(5 * SECOND)
    assert all(upstream.statistics.total_capacity == 6.0 for upstream in host.upstreams)


@pytest.mark.parametrize(
    "load", [{}, {"busy": 1e9}, {"held": 1e9}, {"fulfilled_rate": 1e9, "busy": 0.0}]
)
def test_no_report_upsets_the_decisions(load):
    host = FakeHost(count=3, **PROBED)
    host.traffic(3 * SECOND, load=load)
    host.policy.on_load_report(
        Upstream(99, UpstreamState.READY, 0, 0, 0), {"busy": 1.0}
    )  # one that was never listed
    host.policy.on_endpoints_updated([])
    host.wait(2 * SECOND)
    assert "fulfilled" in host.answers.values()


def test_probes_come_with_requests_to_all_upstreams_in_turn_and_one_that_is_said_to_be_full_gets_nothing():
    """What has timed out goes on running at an upstream: a balancer's own count of what is out
    is too low.
    """
    host = FakeHost(count=3, **PROBED)
    for _ in range(100):
        host.request()
        host.policy.on_load_report(host.upstreams[0], {"held": 9.0, "busy": 1.0})
        for attempt in host.out():
            host.finish_attempt(attempt)
        host.wait(20 * MS)
    assert len(host.probed) == 50 and set(host.probed) == set(host.upstreams)
    assert not any(sent.upstream is host.upstreams[0] for sent in host.sent[1:])


def test_a_balancer_with_little_of_all_traffic_keeps_to_few_upstreams_and_one_with_much_to_many():
    def part(every):
        host = FakeHost(count=60, balancers=60, **{"limits.peers": True})
        for who in range(1, 60):
            host.policy.on_peer_message(who, PeerRates.pack(20.0))
        host.traffic(3 * SECOND, every=every)
        assert len(host.peer_messages) <= 3  # in a third of the seconds, as sixty speak
        return len(host.policy.selector.subset)

    assert part(500 * MS) <= 3 and part(5 * MS) >= 30


def test_in_its_first_second_a_balancer_does_not_say_that_it_has_no_traffic():
    """Told rates of nothing had each of a fleet take all room for its own."""
    host = FakeHost(count=6, balancers=6, **{"limits.peers": True})
    host.wait(900 * MS)
    assert host.peer_messages == []
    host.traffic(2 * SECOND)
    assert host.peer_messages and all(len(contents) == 5 for contents in host.peer_messages)


@pytest.mark.parametrize(
    "who, contents",
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
def test_a_message_that_cannot_be_read_is_counted_and_passed_over(who, contents):
    host = FakeHost(count=3, balancers=4, **{"limits.peers": True})
    host.policy.on_peer_message(who, contents)
    host.traffic(2 * SECOND)
    assert (
        host.policy.selector.peer_rates.received == {}
        and host.policy.selector.peer_rates.invalid_messages == 1
    )


def test_the_list_is_asked_for_at_times_spread_by_chance_and_later_after_each_call_in_vain():
    first = []
    for seed in range(20):
        host = FakeHost(
            count=0, seed=seed, discovery="subscribe", **{"rules.ask_within": 10 * SECOND}
        )
        start = host.now
        while len(host.asked) < 6:
            host.wait(SECOND // 10)
        first.append(host.asked[0] - start)
        gaps = [after - before for before, after in zip(host.asked, host.asked[1:])]
        assert max(gaps) <= 5 * SECOND and min(gaps[1:]) >= 2 * SECOND
        host.policy.on_endpoints_updated([Upstream(1, UpstreamState.READY, 0, 0, 0)])
        host.wait(20 * SECOND)
        assert len(host.asked) == 6  # it has come: nothing more is asked
        host.policy.on_endpoint_list_lost()
        host.wait(2 * SECOND)
        assert len(host.asked) == 7
    assert max(first) > SECOND and len(set(first)) == 20


@pytest.mark.parametrize("told, wait", [(True, 200 * MS), (False, 0)])
def test_a_rejection_says_when_to_come_back_where_clients_are_told(told, wait):
    host = FakeHost(count=0, **{"limits.retry_after": told})
    host.request()
    host.wait(SECOND)
    assert host.waits == [wait]


def test_after_a_switch_to_settings_without_second_copies_none_is_sent():
    host = FakeHost(Effect.IDEMPOTENT, 3)
    host.traffic(3 * SECOND)
    bad = host.upstreams[0]
    host.traffic(300 * MS, takes=lambda upstream: None if upstream is bad else 50 * MS)
    host.policy.reconfigure(SETTINGS | {"limits.second_copies": False}, [host.request_class])
    before = {
        request.id: len(request.attempts) for request in {sent.request for sent in host.out()}
    }
    host.traffic(2 * SECOND, takes=lambda upstream: None if upstream is bad else 50 * MS)
    assert before and all(
        len(sent.request.attempts) == before[sent.request.id]
        for sent in host.sent
        if sent.request.id in before
    )
