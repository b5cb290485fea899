"""Outlier ejection: what is ejected, by whose votes, for how long, and never more than may be."""

import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.waiting import until
from whinpier.config import operator
from whinpier.config.model import ConfigFault
from whinpier.fleet.messages import (
    EJECTION_NOTICE,
    EJECTION_VOTE_REPLY,
    EJECTION_VOTE_REQUEST,
    OBSERVATION_REPLY,
    OBSERVATION_REQUEST,
    EjectionMessage,
)
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.detector import MAX_LATENCY_RATIO
from whinpier.fleet.outliers.ejection import (
    LEASE_MARGIN_NS,
    MAX_OBSERVATION_ROUNDS,
    EjectionCoordinator,
)
from whinpier.model_checking.ejection import FAULTS
from whinpier.model_checking.ejection_scenarios import SLOW, WALKS, WHOLE, found
from whinpier.model_checking.explore import every, replay
from whinpier.policy.decaying_sum import SECOND
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

POOL, USUAL, MS = 7, 1e7, 1_000_000


# Orders.


def test_every_order_of_a_small_scenario_ejects_no_more_than_allowed():
    for days in WHOLE:
        result = every(days.make(EjectionCoordinator), 5)
        assert result.deepest == 5 and not result.broken, (days.what, result)


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_random_walks_eject_no_more_than_allowed(days):
    assert not days.gone_through(EjectionCoordinator, steps=60_000).broken


@pytest.mark.parametrize("name", sorted(set(FAULTS) - SLOW))
def test_each_fault_that_is_put_in_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken


# What is ejected.


def make_coordinators(count=6, upstreams=10, **config):
    found = [
        EjectionCoordinator(EjectionConfig(**config), number + 1, 0, Random(number))
        for number in range(count)
    ]
    for coordinator in found:
        coordinator.update_endpoints(POOL, {key: 0 for key in range(20, 20 + upstreams)})
    return found


def answers(coordinator, key, ratio, count, now):
    for number in range(count):
        coordinator.on_attempt_started(POOL, key, number, now)
        coordinator.on_attempt_finished(POOL, key, number, ratio, now)


def pass_on(coordinators, now, but=()):
    """Deliver all that is out, at once, until all is quiet; `but` hear and say nothing."""
    for _ in range(10):
        sent = [
            (coordinator.own_id, to, plea)
            for coordinator in coordinators
            for to, plea in coordinator.out
            if coordinator.own_id not in but
        ]
        for coordinator in coordinators:
            coordinator.out = []
        for sender, to, plea in sent:
            for coordinator in coordinators:
                if coordinator.own_id not in but and (
                    to == coordinator.own_id or not to and coordinator.own_id != sender
                ):
                    coordinator.on_message(plea, sender, USUAL, now)


def turn(coordinators, now, but=(), members=None):
    for coordinator in coordinators:
        if coordinator.own_id not in but:
            coordinator.on_timer(
                now,
                lambda pool: USUAL,
                lambda pool: (members or len(coordinators), len(coordinators)),
            )
    pass_on(coordinators, now, but)


def play(coordinators, seconds, start=0, **more):
    for step in range(int(seconds * 10)):
        turn(coordinators, start + step * SECOND // 10, **more)
    return start + int(seconds * SECOND)


def rest(coordinators, key):
    return [
        coordinator.own_id
        for coordinator in coordinators
        if (POOL, key) in coordinator.ejected_until
    ]


def good(coordinators, now, upstreams=range(20, 30)):
    for coordinator in coordinators:
        for key in upstreams:
            answers(coordinator, key, 1.0, 1, now)


def test_what_most_observed_slow_is_ejected_by_all_for_its_term_and_returns_a_little_at_a_time():
    coordinators = make_coordinators(
        base_ejection_ns=4 * SECOND, lease_ns=3 * SECOND, return_spread_ns=2 * SECOND
    )
    good(coordinators, 0)
    for coordinator in coordinators[:4]:
        answers(coordinator, 23, 9.0, 2, 0)
    now = play(coordinators, 0.6)
    assert rest(coordinators, 23) == [1, 2, 3, 4, 5, 6] and not rest(coordinators, 24)
    now = play(coordinators, 3.0, now)
    assert len(rest(coordinators, 23)) == 6  # kept up
    now = play(coordinators, 4.0, now)
    assert not rest(coordinators, 23)
    at = {coordinator.returning_at.get((POOL, 23)) for coordinator in coordinators}
    assert len(at - {None}) > 1 or not any(
        coordinator.returning_at for coordinator in coordinators
    )  # each at a moment of its own
    play(coordinators, 2.5, now)
    assert not any(coordinator.returning_at for coordinator in coordinators)
    assert {coordinator.ejection_counts[POOL, 23][0] for coordinator in coordinators} == {1}


def test_an_upstream_that_fails_again_is_ejected_for_longer():
    coordinators = make_coordinators(
        base_ejection_ns=2 * SECOND, lease_ns=2 * SECOND, return_spread_ns=0
    )
    terms = []
    now = 0
    for _ in range(3):
        good(coordinators, now)
        for coordinator in coordinators[:4]:
            answers(coordinator, 23, 9.0, 2, now)
        begun = now = play(coordinators, 0.6, now)
        assert rest(coordinators, 23)
        while rest(coordinators, 23):
            now = play(coordinators, 0.1, now)
        terms.append((now - begun) / SECOND)
    assert terms[0] < terms[1] < terms[2] and terms[2] > 7.0


def test_one_member_with_a_bad_network_ejects_nothing_and_a_lying_one_reaches_no_quorum():
    coordinators = make_coordinators()
    good(coordinators, 0)
    for key in range(20, 26):
        answers(coordinators[0], key, MAX_LATENCY_RATIO, 3, 0)
    play(coordinators, 2.0)
    assert (
        not any(coordinator.ejected_until for coordinator in coordinators)
        and coordinators[0].counts["observation_rounds"]
    )
    observations = [(3.0, MAX_LATENCY_RATIO, True), *[(3.0, 1.0, True)] * 5]
    assert not coordinators[0].reaches_quorum(observations) and not coordinators[0].reaches_quorum(
        [(1000.0, MAX_LATENCY_RATIO, True), *observations[1:]]
    )
    assert not coordinators[0].reaches_quorum(
        [(3.0, MAX_LATENCY_RATIO, False)] * 6
    )  # none of them is in good standing
    assert coordinators[0].reaches_quorum(
        [(3.0, MAX_LATENCY_RATIO, True)] * 3 + [(3.0, 1.0, True)] * 3
    )


def test_what_all_members_observe_slow_is_not_ejected():
    coordinators = make_coordinators()
    for coordinator in coordinators:
        for key in range(20, 30):
            answers(coordinator, key, 8.0, 2, 0)
    play(coordinators, 2.0)
    assert not any(coordinator.ejected_until for coordinator in coordinators)
    assert all(
        len(coordinator.observation_rounds) <= MAX_OBSERVATION_ROUNDS
        for coordinator in coordinators
    )


def test_an_upstream_that_never_answers_is_found_by_its_outstanding_attempts():
    coordinators = make_coordinators()
    for step in range(20):
        now = step * SECOND // 10
        for coordinator in coordinators:
            for key in range(20, 30):
                if key == 25:
                    coordinator.on_attempt_started(POOL, key, step, now)
                else:
                    answers(coordinator, key, 1.0, 1, now)
        turn(coordinators, now)
    assert len(rest(coordinators, 25)) == 6 and not rest(coordinators, 24)


def test_a_partition_without_a_majority_ejects_nothing_new_and_its_ejections_end():
    coordinators = make_coordinators(lease_ns=3 * SECOND)
    good(coordinators, 0)
    for coordinator in coordinators:
        answers(coordinator, 23, 9.0, 2, 0)
    now = play(coordinators, 0.6)
    assert len(rest(coordinators, 23)) == 6
    cut = (4, 5, 6)  # half: neither part has most
    good(coordinators, now)
    for coordinator in coordinators:
        answers(coordinator, 27, 9.0, 2, now)
    half = [coordinator for coordinator in coordinators if coordinator.own_id not in cut]
    for step in range(45):
        for part in (
            half,
            [coordinator for coordinator in coordinators if coordinator.own_id in cut],
        ):
            turn(part, now + step * SECOND // 10, members=6)
    assert not any(coordinator.ejected_until for coordinator in coordinators)


def test_never_more_than_the_fraction_is_ejected_and_a_new_list_ends_what_is_gone():
    coordinators = make_coordinators(
        count=5, max_ejected_fraction=0.2, base_ejection_ns=60 * SECOND
    )
    good(coordinators, 0)
    for coordinator in coordinators:
        for key in (21, 22, 23):
            answers(coordinator, key, 9.0, 2, 0)
    now = play(coordinators, 1.5)
    resting = [key for key in (21, 22, 23) if rest(coordinators, key)]
    assert len(resting) == 2 and sum(coordinator.counts["no_slot"] for coordinator in coordinators)
    for coordinator in coordinators:
        coordinator.update_endpoints(POOL, {key: 0 for key in range(20, 30) if key not in resting})
    assert not any(
        coordinator.ejected_until or coordinator.returning_at for coordinator in coordinators
    )
    play(coordinators, 1.0, now)
    assert not any(coordinator.proposals for coordinator in coordinators)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.integers(0, 2**32 - 1),
            *[st.integers(0, 2**40 - 1)] * 3,
            st.integers(0, 5),
        ),
        max_size=40,
    )
)
def test_no_message_raises_or_fills_a_table(messages):
    coordinator = make_coordinators(1)[0]
    for number, (kind, key, first, second, third, sender) in enumerate(messages):
        coordinator.on_message(
            EjectionMessage(kind, POOL, 20 + key % 12, number, first, second, third),
            sender,
            USUAL,
            number * MS,
        )
        coordinator.on_timer(number * MS, lambda pool: USUAL, lambda pool: (5, 5))
    assert len(coordinator.granted_votes) <= 4 and not coordinator.ejected_until


def test_late_messages_and_messages_of_another_round_do_nothing():
    proposer, voter = make_coordinators(2)
    voter.on_message(EjectionMessage(EJECTION_VOTE_REQUEST, POOL, 23, 5, 0), 1, USUAL, 0)
    assert voter.out[-1][1].kind == EJECTION_VOTE_REPLY and voter.out[-1][1].arg1 == 1
    voter.on_message(
        EjectionMessage(EJECTION_NOTICE, POOL, 23, 4, 0, 1), 1, USUAL, 0
    )  # another round
    voter.on_message(
        EjectionMessage(EJECTION_NOTICE, POOL, 23, 5, 0, 1), 3, USUAL, 0
    )  # another proposer
    assert not voter.ejected_until
    voter.on_message(EjectionMessage(EJECTION_NOTICE, POOL, 23, 5, 2 * SECOND, 1), 1, USUAL, SECOND)
    assert voter.ejected_until[POOL, 23] == EjectionConfig().lease_ns - 2 * SECOND
    proposer.on_message(EjectionMessage(EJECTION_VOTE_REPLY, POOL, 23, 9, 1), 2, USUAL, 0)
    proposer.on_message(EjectionMessage(OBSERVATION_REPLY, POOL, 23, 9, 900, 900, 1), 2, USUAL, 0)
    proposer.on_message(EjectionMessage(OBSERVATION_REQUEST, 99, 23, 9), 2, USUAL, 0)
    assert not proposer.proposals and not proposer.observation_rounds
    fresh = EjectionCoordinator(
        EjectionConfig(), 9, 0, Random(1), EjectionConfig().lease_ns + LEASE_MARGIN_NS
    )
    fresh.update_endpoints(POOL, {key: 0 for key in range(20, 30)})
    fresh.on_message(
        EjectionMessage(EJECTION_VOTE_REQUEST, POOL, 23, 5, 0), 1, USUAL, EjectionConfig().lease_ns
    )
    assert fresh.out[-1][1].arg1 == 0  # what its last run voted for may still hold


@pytest.mark.parametrize(
    "key, value, said",
    [
        ("part", 0.9, "bank.verdicts.part: "),
        ("witnesses", 1, "bank.verdicts.witnesses: "),
        ("life", "1s", "bank.verdicts.life: is shorter"),
        ("most_term", "1s", "bank.verdicts.most_term: is shorter"),
        ("slwo", 1, "bank.verdicts.slwo: is no key here (meant: slow)"),
    ],
)
def test_a_faulty_table_is_refused_with_its_key(tmp_path, key, value, said):
    secret = tmp_path / "key"
    secret.write_text("k" * 20)
    secret.chmod(0o600)
    fleet = {"listen": "127.0.0.1:7000", "key_files": [str(secret)], "verdicts": {key: value}}
    with pytest.raises(ConfigFault) as fault:
        operator.made(
            {
                "version": 1,
                "listen": ["127.0.0.1:9000"],
                "bank": fleet,
                "routes": [],
                "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.25, 1.5)},
            }
        )
    assert str(fault.value).startswith(said), str(fault.value)


# Processes.


@pytest.mark.xdist_group("fleet")
def test_six_processes_let_a_slow_upstream_rest_and_take_up_its_next_run_at_once(tmp_path):
    upstream_fleet = UpstreamFleet({f"s-{n}": Script(workers=8, work=0.01) for n in range(6)}, 1)

    def service(process):
        pool = files.service("t", "rerunnable", upstream_fleet.addresses, 0.1, 1.0)
        return {"pools": {"t": pool}, "routes": [files.route("t", "rerunnable", "t")]}

    fleet = Fleet(6, tmp_path, service, relayed=False, verdicts={"life": "3s", "term": "60s"})
    loads = None

    def states():
        return [
            {row["upstream"]: row["state"] for row in fleet.ask(number, "verdicts")}
            for number in range(6)
        ]

    try:
        fleet.start()
        until(fleet.gathered)
        start = time.monotonic() + 0.2
        loads = Loads(
            [
                (
                    process.balancer.address,
                    Asks(f"t{process.number}", 40.0, "/t/x", "GET", "t.example", 1.0, 0.1),
                )
                for process in fleet.processes
            ],
            1,
            start,
            14.0,
        )
        time.sleep(
            max(0.0, start + 4.5 - time.monotonic())
        )  # votes count from a life after the start
        upstream_fleet.tell("s-2", speed=0.08)
        until(lambda: all(one.get("s-2") == "rests" for one in states()))
        assert all(
            {name for name, state in one.items() if state == "rests"} == {"s-2"} for one in states()
        )
        rested = time.monotonic()
        upstream_fleet.tell("s-2", speed=1.0)
        # Its next run is another upstream, of which nothing is known.
        for entry in (process for process in fleet.processes):
            given_ = files.document(
                entry.file()
                | {
                    "pools": {
                        "t": files.service("t", "rerunnable", upstream_fleet.addresses, 0.1, 1.0)
                        | {
                            "upstreams": [
                                {"name": name, "address": address}
                                | ({"started_ms": int(time.time() * 1000)} if name == "s-2" else {})
                                for name, address in upstream_fleet.addresses.items()
                            ]
                        }
                    }
                }
            )
            entry.balancer.reload(given_)
        until(lambda: upstream_fleet.tell("s-2")["last"]["s-2"] > rested + 0.5)
        seen = loads.results()
        assert not any(one.unanswered() or one.answered_twice() for one in seen)
        assert "event=ejection_started" in fleet.processes[0].balancer.log()
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()
