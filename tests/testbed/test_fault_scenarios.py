"""Stories of bad days: days are data, become smaller, and what is held of them can break."""

from whinpier.testbed import fault_scenario
from whinpier.testbed.fault_scenario import (
    BURST,
    RATE,
    Day,
    Player,
    at_once,
    draw,
    excess,
    read,
    shrink,
    smaller,
    text,
)
from whinpier.testbed.faults import Schedule
from whinpier.testbed.faulty import FAULTS
from whinpier.testbed.referee import Fact, Said


def test_days_are_drawn_alike_from_one_seed_and_are_read_as_they_were_written():
    days = [draw(seed, 8, 25.0) for seed in range(200)]
    assert (
        days == [draw(seed, 8, 25.0) for seed in range(200)]
        and len({text(day) for day in days}) == 200
    )
    assert all(read(text(day)) == day for day in days)
    kinds = {fault.kind for day in days for fault in day.schedule.faults}
    assert kinds == set(fault_scenario.DRAWN) and any(day.whole for day in days)
    # The last two are never hit by name, and all has ended well before the end.
    assert all(
        number < 6
        for day in days
        for fault in day.schedule.faults
        if fault.kind != "one_way"
        for number in fault.who
    )
    assert all(day.schedule.quiet_from() < 25.0 for day in days)


def test_a_day_that_fails_is_made_as_small_as_it_still_fails():
    day = next(day for seed in range(100) if len((day := draw(seed, 8, 25.0)).schedule.faults) > 3)
    wanted = day.schedule.faults[1]
    small, played = shrink(day, lambda other: wanted in other.schedule.faults, 60)
    assert (
        small.schedule.faults == (wanted,)
        and not small.operators
        and not small.troubles
        and played <= 60
    )
    assert all(other != small for other in smaller(small))


def test_names_at_once_and_what_a_rate_allows():
    assert at_once([(0.0, 2.0, "a"), (1.0, 3.0, "b"), (1.0, 1.5, "a"), (3.0, 4.0, "c")]) == 2
    assert at_once([]) == 0
    kept = [number / RATE for number in range(600)]
    assert excess(kept)[0] <= 0.0
    assert excess([*kept, *[2.0] * (BURST + int(RATE * fault_scenario.BUNCHED) + 2)])[0] > 0.0


def judged(said, facts=()):
    """What is held of events that were made up."""
    player = Player.__new__(Player)
    player.day, player.count, player.outcome = Day(Schedule(4, 25.0)), 4, fault_scenario.Outcome(0)

    class History:
        processes = []

        def clock(self):
            return 25.0

    player.fleet = History()
    player.fleet.said, player.fleet.facts = list(said), list(facts)
    player.judge_rests()
    player.judge_drains()
    return [line.partition(":")[0] for line in player.outcome.broken]


def test_too_many_at_rest_or_drained_at_one_moment_are_seen():
    def rests(at, who, what):
        return Said(at, (who, "1"), "ejection_started", {"upstream": what})

    def drains(at, who, event="drain_started"):
        return Said(at, (who, "1"), event)

    assert judged([rests(1.0, "m0", "r-1"), rests(2.0, "m1", "r-1")]) == []
    assert judged([rests(1.0, "m0", "r-1"), rests(2.0, "m1", "r-2")]) == ["rests"]
    assert judged([rests(1.0, "m0", "c-1")]) == ["rests"]
    three = [drains(1.0, "m0"), drains(2.0, "m1"), drains(3.0, "m2")]
    assert judged(three) == ["permits"]
    assert judged([three[0], drains(1.5, "m0", "drain_finished"), *three[1:]]) == []
    assert judged(three, [Fact(1.5, "dead", ("m0", "1"))]) == []


def test_each_known_fault_can_be_put_in():
    assert len(FAULTS) >= 12 and all(callable(fault) for fault in FAULTS.values())
