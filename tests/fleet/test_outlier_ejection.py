"""Stories of verdicts: who is convicted by whom, for how long, and that never more rests than may."""

import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.waiting import until
from whinpier.config import operator
from whinpier.config.model import ConfigFault
from whinpier.fleet.messages import EVIDENCE, HEARING, REST, VOTE, VOTE_FOR, Plea
from whinpier.fleet.outliers.ejection import CAP, MOST_HEARINGS, SLACK, Court, Rules
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


def test_every_order_of_a_small_world_lets_no_more_rest():
    for days in WHOLE:
        result = every(days.make(Court), 5)
        assert result.deepest == 5 and not result.broken, (days.what, result)


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_walks_at_random_let_no_more_rest(days):
    assert not days.gone_through(Court, steps=60_000).broken


@pytest.mark.parametrize("name", sorted(set(FAULTS) - SLOW))
def test_each_fault_that_is_put_in_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken


# Who is convicted.


def courts(count=6, upstreams=10, **rules):
    found = [Court(Rules(**rules), number + 1, 0, Random(number)) for number in range(count)]
    for court in found:
        court.listed(POOL, {key: 0 for key in range(20, 20 + upstreams)})
    return found


def answers(court, key, ratio, count, now):
    for number in range(count):
        court.sent(POOL, key, number, now)
        court.came(POOL, key, number, ratio, now)


def pass_on(those, now, but=()):
    """Deliver all that is out, at once, until all is quiet; `but` hear and say nothing."""
    for _ in range(10):
        sent = [
            (court.own, to, plea)
            for court in those
            for to, plea in court.out
            if court.own not in but
        ]
        for court in those:
            court.out = []
        for sender, to, plea in sent:
            for court in those:
                if court.own not in but and (to == court.own or not to and court.own != sender):
                    court.hear(plea, sender, USUAL, now)


def turn(those, now, but=(), members=None):
    for court in those:
        if court.own not in but:
            court.turn(now, lambda pool: USUAL, lambda pool: (members or len(those), len(those)))
    pass_on(those, now, but)


def play(those, seconds, start=0, **more):
    for step in range(int(seconds * 10)):
        turn(those, start + step * SECOND // 10, **more)
    return start + int(seconds * SECOND)


def rest(those, key):
    return [court.own for court in those if (POOL, key) in court.rests]


def good(those, now, upstreams=range(20, 30)):
    for court in those:
        for key in upstreams:
            answers(court, key, 1.0, 1, now)


def test_what_most_saw_slow_rests_at_all_till_its_term_and_comes_back_a_little_at_a_time():
    those = courts(term=4 * SECOND, life=3 * SECOND, back=2 * SECOND)
    good(those, 0)
    for court in those[:4]:
        answers(court, 23, 9.0, 2, 0)
    now = play(those, 0.6)
    assert rest(those, 23) == [1, 2, 3, 4, 5, 6] and not rest(those, 24)
    now = play(those, 3.0, now)
    assert len(rest(those, 23)) == 6  # kept up
    now = play(those, 4.0, now)
    assert not rest(those, 23)
    at = {court.returns.get((POOL, 23)) for court in those}
    assert len(at - {None}) > 1 or not any(
        court.returns for court in those
    )  # each at a moment of its own
    play(those, 2.5, now)
    assert not any(court.returns for court in those)
    assert {court.strikes[POOL, 23][0] for court in those} == {1}


def test_one_that_fails_again_rests_for_longer():
    those = courts(term=2 * SECOND, life=2 * SECOND, back=0)
    terms = []
    now = 0
    for _ in range(3):
        good(those, now)
        for court in those[:4]:
            answers(court, 23, 9.0, 2, now)
        begun = now = play(those, 0.6, now)
        assert rest(those, 23)
        while rest(those, 23):
            now = play(those, 0.1, now)
        terms.append((now - begun) / SECOND)
    assert terms[0] < terms[1] < terms[2] and terms[2] > 7.0


def test_one_member_with_bad_ways_takes_nothing_from_the_others_and_a_lying_one_convicts_nobody():
    those = courts()
    good(those, 0)
    for key in range(20, 26):
        answers(those[0], key, CAP, 3, 0)
    play(those, 2.0)
    assert not any(court.rests for court in those) and those[0].counts["hearings"]
    words = [(3.0, CAP, True), *[(3.0, 1.0, True)] * 5]
    assert not those[0].convicts(words) and not those[0].convicts([(1000.0, CAP, True), *words[1:]])
    assert not those[0].convicts([(3.0, CAP, False)] * 6)  # none of them stands well
    assert those[0].convicts([(3.0, CAP, True)] * 3 + [(3.0, 1.0, True)] * 3)


def test_what_all_see_slow_is_nobodys_fault():
    those = courts()
    for court in those:
        for key in range(20, 30):
            answers(court, key, 8.0, 2, 0)
    play(those, 2.0)
    assert not any(court.rests for court in those)
    assert all(len(court.hearings) <= MOST_HEARINGS for court in those)


def test_one_that_answers_nothing_at_all_is_found_by_what_is_out():
    those = courts()
    for step in range(20):
        now = step * SECOND // 10
        for court in those:
            for key in range(20, 30):
                if key == 25:
                    court.sent(POOL, key, step, now)
                else:
                    answers(court, key, 1.0, 1, now)
        turn(those, now)
    assert len(rest(those, 25)) == 6 and not rest(those, 24)


def test_in_a_part_that_is_not_most_of_the_fleet_nothing_new_rests_and_what_rests_ends():
    those = courts(life=3 * SECOND)
    good(those, 0)
    for court in those:
        answers(court, 23, 9.0, 2, 0)
    now = play(those, 0.6)
    assert len(rest(those, 23)) == 6
    cut = (4, 5, 6)  # half: neither part has most
    good(those, now)
    for court in those:
        answers(court, 27, 9.0, 2, now)
    half = [court for court in those if court.own not in cut]
    for step in range(45):
        for part in (half, [court for court in those if court.own in cut]):
            turn(part, now + step * SECOND // 10, members=6)
    assert not any(court.rests for court in those)


def test_never_more_than_the_part_rests_and_a_new_list_lets_go_of_what_is_gone():
    those = courts(count=5, part=0.2, term=60 * SECOND)
    good(those, 0)
    for court in those:
        for key in (21, 22, 23):
            answers(court, key, 9.0, 2, 0)
    now = play(those, 1.5)
    resting = [key for key in (21, 22, 23) if rest(those, key)]
    assert len(resting) == 2 and sum(court.counts["no_slot"] for court in those)
    for court in those:
        court.listed(POOL, {key: 0 for key in range(20, 30) if key not in resting})
    assert not any(court.rests or court.returns for court in those)
    play(those, 1.0, now)
    assert not any(court.cases for court in those)


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
    one = courts(1)[0]
    for number, (kind, key, first, second, third, sender) in enumerate(messages):
        one.hear(
            Plea(kind, POOL, 20 + key % 12, number, first, second, third),
            sender,
            USUAL,
            number * MS,
        )
        one.turn(number * MS, lambda pool: USUAL, lambda pool: (5, 5))
    assert len(one.given) <= 4 and not one.rests


def test_old_words_and_those_of_another_round_do_nothing():
    judge, voter = courts(2)
    voter.hear(Plea(VOTE_FOR, POOL, 23, 5, 0), 1, USUAL, 0)
    assert voter.out[-1][1].kind == VOTE and voter.out[-1][1].one == 1
    voter.hear(Plea(REST, POOL, 23, 4, 0, 1), 1, USUAL, 0)  # another round
    voter.hear(Plea(REST, POOL, 23, 5, 0, 1), 3, USUAL, 0)  # another judge
    assert not voter.rests
    voter.hear(Plea(REST, POOL, 23, 5, 2 * SECOND, 1), 1, USUAL, SECOND)
    assert voter.rests[POOL, 23] == Rules().life - 2 * SECOND
    judge.hear(Plea(VOTE, POOL, 23, 9, 1), 2, USUAL, 0)
    judge.hear(Plea(EVIDENCE, POOL, 23, 9, 900, 900, 1), 2, USUAL, 0)
    judge.hear(Plea(HEARING, 99, 23, 9), 2, USUAL, 0)
    assert not judge.cases and not judge.hearings
    fresh = Court(Rules(), 9, 0, Random(1), Rules().life + SLACK)
    fresh.listed(POOL, {key: 0 for key in range(20, 30)})
    fresh.hear(Plea(VOTE_FOR, POOL, 23, 5, 0), 1, USUAL, Rules().life)
    assert fresh.out[-1][1].one == 0  # what its last run voted for may still hold


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
