"""Stories of what the record's lines come to: permits, drains, releases, and what the leader
puts in.
"""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.fleet.messages import Line
from whinpier.fleet.rollouts import commands, model
from whinpier.fleet.rollouts.commands import (
    BACK,
    CONFIRMED,
    DRAIN,
    FAILED,
    GATE,
    HALT,
    LOST,
    OBSERVED,
    PLAN,
    PUT,
    RELEASE,
    RESUME,
    RULES,
    STRUCK,
    SWITCHED,
    UNDO,
    UNDRAIN,
    WRITTEN_OFF,
    About,
    Drain,
    Gate,
    Judged,
    Observed,
    Plan,
    Put,
    Release,
    Rule,
    Rules,
    Said,
    Seen,
)
from whinpier.fleet.rollouts.controller import Conduct, Report, Seat, chosen, split
from whinpier.fleet.rollouts.state_machine import Record, checked, hash_of
from whinpier.policy.decaying_sum import SECOND


class Book:
    """A record that is written line by line."""

    def __init__(self, *rules):
        self.record, self.at, self.ids = Record(), 1, 100
        if rules:
            self.say(RULES, Rules, list(rules))

    def line(self, kind, form):
        self.at += 1
        self.record.apply(self.at, Line(1, kind, commands.encode(form)))
        return self.at

    def say(self, kind, form, *given, based=-1, who="ann", identity=0):
        self.ids += 1
        identity = identity or self.ids
        self.line(kind, form(Said(identity, who, "why", 0, based), *given))
        return self.record.whole.results[identity][1:]

    def see(self, *seen):
        self.line(OBSERVED, Observed(0, list(seen)))

    def file(self, text):
        name = hash_of(text)
        for at in range(0, len(text), 4):
            self.line(PUT, Put(name, at, len(text), text[at : at + 4]))
        return name

    def release(self, content, *waves, hold=False, names=("m0", "m1", "m2", "m3")):
        good, text = self.say(RELEASE, Release, content, "", "all", [], Gate(hold=hold))
        assert good, text
        number = int(text.split()[1])
        left = list(names)
        for wave, size in enumerate((*waves, len(names))):
            chosen_, left = left[:size], left[size:]
            if chosen_:
                self.line(PLAN, Plan(number, wave, chosen_, [""] * len(chosen_)))
        self.line(PLAN, Plan(number, 0, [], [], True))
        return number

    def switch(self, *names):
        outs = self.record.whole.outs
        self.see(*(Seen(SWITCHED, f"b/{name}", outs[f"b/{name}"].number) for name in names))

    def out(self):
        return sorted(key[2:] for key in self.record.whole.outs)

    @property
    def on(self):
        return self.record.whole.release


ONE = Rule("all", "balancers", 1)
FEW = Rule("all", "balancers", 4)


# Permits and drains.


def test_the_last_permit_is_given_once_and_the_second_hears_who_has_it():
    book = Book(ONE)
    assert book.say(DRAIN, Drain, "m1") == (True, "permit 1")
    assert book.say(DRAIN, Drain, "m2") == (False, "all: 1 may be out; out are m1")
    assert book.record.orders("m1").drained and not book.record.orders("m2").drained


def test_what_failed_without_asking_counts_as_out_and_its_own_drain_takes_no_more():
    book = Book(ONE)
    book.see(Seen(LOST, "b/m3"))
    assert book.say(DRAIN, Drain, "m1") == (False, "all: 1 may be out; out are m3")
    assert book.say(DRAIN, Drain, "m3")[0]  # it is out already
    book.see(Seen(BACK, "b/m3"))
    assert book.say(DRAIN, Drain, "m1") == (False, "all: 1 may be out; out are m3")


def test_a_permit_is_free_only_once_its_holder_is_back_or_written_off():
    book = Book(ONE)
    book.say(DRAIN, Drain, "m1")
    book.say(UNDRAIN, Drain, "m1")
    assert not book.record.orders("m1").drained and book.out() == ["m1"]
    book.see(Seen(BACK, "b/m1", 7))  # of another permit
    assert book.out() == ["m1"]
    book.see(Seen(BACK, "b/m1", 1))
    assert book.out() == [] and book.say(DRAIN, Drain, "m2") == (True, "permit 2")
    book.see(Seen(LOST, "b/m2"), Seen(WRITTEN_OFF, "b/m2"))
    assert book.out() == []
    book.see(Seen(LOST, "b/m0"))
    assert book.say(STRUCK, About, "m9") == (False, "'m9' is not lost")
    assert book.say(STRUCK, About, "m0")[0] and book.say(DRAIN, Drain, "m1")[0]


def test_zones_and_pools_have_rules_of_their_own():
    book = Book(
        Rule("a", "balancers", 1, "", "a"),
        Rule("t", "upstreams", 1, "t"),
        Rule("u", "upstreams", 2),
    )
    assert book.say(DRAIN, Drain, "m1", "", "a")[0]
    assert not book.say(DRAIN, Drain, "m2", "", "a")[0] and book.say(DRAIN, Drain, "m3", "", "b")[0]
    assert book.say(DRAIN, Drain, "s1", "t")[0] and not book.say(DRAIN, Drain, "s2", "t")[0]
    assert book.say(DRAIN, Drain, "s1", "o")[0] and not book.say(DRAIN, Drain, "s2", "o")[0]
    assert book.record.upstreams("t") == {"s1": 3} and list(book.record.upstreams("o")) == ["s1"]


def test_a_command_counts_once_and_who_asks_again_hears_the_same():
    book = Book(ONE)
    assert book.say(DRAIN, Drain, "m1", identity=5) == (True, "permit 1")
    book.say(UNDRAIN, Drain, "m1")
    assert book.say(DRAIN, Drain, "m1", identity=5) == (True, "permit 1")
    assert book.record.whole.drains["b/m1"].state == model.UNDRAINING


def test_the_second_of_two_operators_hears_what_changed_and_who_did_it():
    book = Book(FEW)
    seen = book.record.whole.revision
    assert book.say(DRAIN, Drain, "m1", based=seen, who="ann")[0]
    assert book.say(DRAIN, Drain, "m2", based=seen, who="bob") == (
        False,
        "changed since 2: at 3 ann said drain m1",
    )
    assert book.say(DRAIN, Drain, "m2", based=book.record.whole.revision, who="bob")[0]


def test_a_drain_is_undrained_at_any_moment_and_confirmed_by_its_own_permit_only():
    book = Book(ONE)
    book.say(DRAIN, Drain, "m1")
    assert book.say(DRAIN, Drain, "m1")[1] == "m1 is draining already, since 1 by ann"
    book.see(Seen(CONFIRMED, "b/m1", 9))
    assert book.record.whole.drains["b/m1"].state == model.DRAINING
    book.see(Seen(CONFIRMED, "b/m1", 1))
    assert book.record.whole.drains["b/m1"].state == model.DONE
    book.say(UNDRAIN, Drain, "m1")
    assert book.say(UNDRAIN, Drain, "m1")[1] == "it is on its way back already"
    assert book.say(UNDRAIN, Drain, "m2")[1] == "m2 is not drained"
    assert book.say(DRAIN, Drain, "m1")[0]  # again, before it was back
    assert book.out() == ["m1"]


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 3),
    st.lists(st.tuples(st.sampled_from("dublsfwxhru"), st.integers(0, 4)), max_size=60),
)
def test_never_more_are_out_by_permit_than_may_whatever_comes(may, steps):
    """Drains, undrains, losses, releases with all that can happen to them, in any order."""
    book, names = Book(Rule("all", "balancers", may)), [f"m{n}" for n in range(5)]
    content = book.file(b"pools = 1")
    numbers = []
    for step, which in steps:
        name, outs = names[which], book.record.whole.outs
        out = outs.get(f"b/{name}")
        number = out.number if out else 0
        if step == "d":
            book.say(DRAIN, Drain, name)
        elif step == "u":
            book.say(UNDRAIN, Drain, name)
        elif step == "b":
            book.see(Seen(BACK, f"b/{name}", number), Seen(CONFIRMED, f"b/{name}", number))
        elif step == "l":
            book.see(Seen(LOST, f"b/{name}"))
        elif step == "x":
            book.see(Seen(BACK, f"b/{name}"))
        elif step == "w":
            book.see(Seen(WRITTEN_OFF, f"b/{name}"))
        elif step == "s":
            book.see(Seen(SWITCHED, f"b/{name}", number))
        elif step == "f":
            book.see(Seen(FAILED, f"b/{name}", number, "refuses"))
        elif step == "h":
            book.say(HALT if which % 2 else RESUME, About)
        elif step == "r" and not book.on:
            book.release(content, 1 + which, names=names)
        elif step == "r" and book.on.phase == model.GATED:
            book.line(GATE, Judged(book.on.number, book.on.wave, which > 1, "slow"))
        else:
            book.say(UNDO, About)
        assert len(outs) <= may, (step, name)
        numbers += [one.number for one in outs.values()]
        again = Record()
        again.thaw(book.record.freeze())
        assert again.whole == book.record.whole and checked(book.record.whole.history)
    assert len(book.record.whole.history) <= commands.MOST_HISTORY


# Releases.


def test_a_release_goes_in_waves_no_larger_than_permits_and_is_good_at_its_end():
    book = Book(Rule("all", "balancers", 2))
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    assert book.out() == ["m0"] and book.record.orders("m0").content == content
    book.switch("m0")
    assert book.on.phase == model.GATED and book.record.orders("m1").content == ""
    book.line(GATE, Judged(number, 0, True))
    assert book.out() == ["m1", "m2"]  # the third waits for a permit
    book.switch("m1")
    assert book.out() == ["m2", "m3"]
    book.switch("m2", "m3")
    book.line(GATE, Judged(number, 0, True))  # of a wave that is over
    assert book.on.phase == model.GATED
    book.line(GATE, Judged(number, 1, True))
    whole = book.record.whole
    assert book.on is None and whole.good == content and not whole.told and not whole.outs
    assert book.record.orders("m7").content == content  # whoever comes later


def test_a_gate_that_fails_undoes_it_in_order_or_holds_it():
    for hold in (False, True):
        book = Book(ONE)
        number = book.release(book.file(b"pools = 1"), 2, hold=hold)
        book.switch("m0")
        book.switch("m1")
        book.line(GATE, Judged(number, 0, False, "on time 0.5, the rest 1"))
        if hold:
            assert book.on.phase == model.HALTED and book.record.orders("m1").content
            assert book.say(UNDO, About)[0]
        assert book.on.phase == model.UNDOING and book.out() == ["m1"]  # the last first
        book.switch("m1")
        assert book.out() == ["m0"]
        book.switch("m0")
        closed = book.record.whole.closed[-1]
        assert closed.phase == model.UNDONE and not book.record.whole.told and not book.out()
        assert {book.record.orders(f"m{n}").content for n in range(4)} == {""}


def test_one_that_refuses_the_file_halts_it_and_one_that_fails_the_undo_is_named():
    book = Book(FEW)
    book.release(book.file(b"pools = 1"), 2)
    outs = book.record.whole.outs
    book.see(Seen(FAILED, "b/m1", outs["b/m1"].number, "refuses the file: pools"))
    assert book.on.phase == model.UNDOING and "m1: refuses the file" in book.on.reason
    assert {book.record.orders(name).content for name in ("m0", "m1")} == {""}
    book.switch("m0")
    book.see(Seen(FAILED, "b/m1", book.record.whole.outs["b/m1"].number, "did not come back"))
    closed = book.record.whole.closed[-1]
    assert closed.phase == model.UNDONE and closed.failed == {"m1": "did not come back"}


def test_too_many_lost_halt_a_release_and_those_that_are_out_go_back():
    book = Book(Rule("all", "balancers", 2))
    book.release(book.file(b"pools = 1"), 2)
    book.see(Seen(LOST, "b/m9"))
    assert book.on.phase == model.UNDOING and "too many are out" in book.on.reason
    book.switch("m0")
    book.switch("m1")
    assert book.record.whole.closed[-1].phase == model.UNDONE


def test_who_is_lost_when_its_turn_comes_is_named_and_takes_it_up_later():
    book = Book(FEW)
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    book.see(Seen(LOST, "b/m2"))
    book.switch("m0")
    book.line(GATE, Judged(number, 0, True))
    assert book.out() == ["m1", "m3"]
    book.switch("m1", "m3")
    book.line(GATE, Judged(number, 1, True))
    closed = book.record.whole.closed[-1]
    assert closed.phase == model.RELEASED and closed.failed == {"m2": "was lost when its turn came"}
    assert book.record.orders("m2").content == content


def test_one_that_is_drained_takes_it_as_it_is_and_nobody_waits_for_it():
    book = Book(Rule("all", "balancers", 2))
    book.say(DRAIN, Drain, "m2")
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    book.switch("m0")
    book.line(GATE, Judged(number, 0, True))
    assert book.out() == ["m1", "m2"] and book.record.orders("m2").content == content
    book.switch("m1")
    book.switch("m3")
    book.line(GATE, Judged(number, 1, False, "slow"))
    assert book.record.orders("m2").content == "" and "m2" not in book.on.met
    book.switch("m3")
    book.switch("m1")
    book.switch("m0")
    assert book.record.whole.closed[-1].phase == model.UNDONE and book.out() == ["m2"]


def test_who_has_traffic_is_the_canary():
    book, conduct, there = Book(FEW), Conduct(0, 600 * SECOND), seats("m0", "m1", "m2")
    for name, seat in there.items():
        conduct.report(name, seat.id, Report(99, ready=True, ended=100 if name == "m2" else 0), 1)
    book.say(RELEASE, Release, book.file(b"pools = 1"), "", "all", ["1"])
    put(book, conduct.turn(1, there, book.record))
    assert book.on.waves == [["m2"], ["m0", "m1"]]


def test_halt_resume_and_undo_also_during_an_undo():
    book = Book(ONE)
    assert book.say(HALT, About) == (False, "no release is on")
    number = book.release(book.file(b"pools = 1"), 2)
    book.say(HALT, About, who="bob")
    assert book.on.phase == model.HALTED and book.on.reason == "halted by bob"
    book.switch("m0")  # it was told before
    assert book.out() == [] and book.say(RESUME, About)[0] and book.out() == ["m1"]
    book.switch("m1")
    book.line(GATE, Judged(number, 0, False, "slow"))
    book.say(HALT, About)
    book.switch("m1")
    assert book.on.phase == model.HALTED and book.out() == []
    assert book.say(UNDO, About) == (False, f"release {number} is being undone")
    book.say(RESUME, About)
    assert book.out() == ["m0"]
    book.switch("m0")
    assert book.record.whole.closed[-1].phase == model.UNDONE


def test_a_release_that_is_over_is_undone_to_what_was_good_before():
    book = Book(FEW)
    contents = [book.file(text) for text in (b"pools = 1", b"pools = 2")]
    for content in contents:
        number = book.release(content, 4)
        book.switch("m0", "m1", "m2", "m3")
        book.line(GATE, Judged(number, 0, True))
        assert book.record.whole.good == content
    assert book.say(UNDO, About)[0]
    book.switch("m0", "m1", "m2", "m3")
    assert book.record.whole.good == contents[0] and not book.record.whole.told
    assert book.say(UNDO, About)[0]
    book.switch("m0", "m1", "m2", "m3")
    assert book.record.whole.good == "" and book.record.whole.closed[-1].phase == model.UNDONE
    assert book.say(UNDO, About) == (False, "no release is left that could be undone")


def test_a_release_without_its_file_or_for_nobody_is_none():
    book = Book(FEW)
    assert "is not whole in the record" in book.say(RELEASE, Release, "0badc0de")[1]
    assert book.say(RELEASE, Release, "", "")[1] == "either a file or a build is released"
    assert book.say(RELEASE, Release, "", "b2", "all", ["many"])[1].startswith("'many' is no wave")
    book.release(book.file(b"pools = 1"), names=())
    assert book.on is None and book.record.whole.closed[-1].reason == "it is for nobody who is here"


def test_tables_are_bounded_and_a_line_of_a_later_build_is_passed_over():
    book = Book(Rule("all", "balancers", 4_000))
    for number in range(commands.MOST_DRAINS + 2):
        book.say(DRAIN, Drain, f"m{number}")
    assert len(book.record.whole.drains) == commands.MOST_DRAINS
    assert len(book.record.whole.history) == commands.MOST_HISTORY and checked(
        book.record.whole.history
    )
    for number in range(commands.MOST_RESULTS + 10):
        book.say(UNDRAIN, Drain, "nobody")
    assert len(book.record.whole.results) == commands.MOST_RESULTS
    for number in range(2 * commands.MOST_CONTENTS):
        book.file(b"pools = %d" % number)
    assert len(book.record.whole.contents) <= commands.MOST_CONTENTS
    before = book.record.freeze()
    for line in (
        Line(1, 60, b"x"),
        Line(1, DRAIN, b"\xc1"),
        Line(1, OBSERVED, msgspec.msgpack.encode([1, 2])),
    ):
        book.record.apply(book.at + 1, line)
    assert book.record.unread == 3 and len(before) < 400_000


def test_a_history_that_was_changed_is_seen_to_be():
    book = Book(FEW)
    for name in ("m1", "m2", "m3"):
        book.say(DRAIN, Drain, name)
    history = list(book.record.whole.history)
    assert checked(history)
    history[2] = msgspec.structs.replace(history[2], who="eve")
    assert not checked(history)


# What the leader puts in.


def seats(*names, gone=(), unheard=(), zones=None):
    return {
        name: Seat(
            name,
            10 + n,
            (zones or {}).get(name, ""),
            name not in gone and name not in unheard,
            name in unheard,
        )
        for n, name in enumerate(names)
    }


def told(conduct, there, now, **more):
    for seat in there.values():
        if seat.here:
            conduct.report(
                seat.name, seat.id, Report(**({"applied": 99, "ready": True} | more)), now
            )


def put(book, found):
    for kind, data in found:
        book.at += 1
        book.record.apply(book.at, Line(1, kind, data))


def test_a_drain_is_done_once_its_own_run_says_that_nothing_is_out():
    book, there, conduct = Book(ONE), seats("m0", "m1"), Conduct(0, 600 * SECOND)
    book.say(DRAIN, Drain, "m1")
    told(conduct, there, 1)
    put(book, conduct.turn(1, there, book.record))
    assert book.record.whole.drains["b/m1"].state == model.DRAINING
    conduct.report(
        "m1", 77, Report(99, ready=False, draining=True, drained=True), 2
    )  # an earlier run of it
    put(book, conduct.turn(2, there, book.record))
    assert book.record.whole.drains["b/m1"].state == model.DRAINING
    conduct.report("m1", 11, Report(99, ready=False, draining=True, drained=True), 3)
    put(book, conduct.turn(3, there, book.record))
    assert book.record.whole.drains["b/m1"].state == model.DONE


def test_an_upstream_is_drained_once_each_has_said_so_and_who_is_only_unheard_is_named():
    book, conduct = Book(Rule("t", "upstreams", 1)), Conduct(0, 600 * SECOND)
    book.say(DRAIN, Drain, "s1", "t")
    there = seats("m0", "m1", "m2", unheard=("m2",))
    told(conduct, there, 1, clean=(1,))
    put(book, conduct.turn(1, there, book.record))
    put(book, conduct.turn(2 * SECOND, there, book.record))
    drain = book.record.whole.drains["u/t/s1"]
    assert drain.state == model.DRAINING and drain.left == "m2 is not heard, and may go on sending"
    gone = seats("m0", "m1", "m2", gone=("m2",))  # refused, or said goodbye: it sends nothing
    put(book, conduct.turn(3 * SECOND, gone, book.record))
    assert book.record.whole.drains["u/t/s1"].state == model.DONE


def test_who_goes_or_is_lost_counts_as_out_is_back_by_its_new_run_and_is_written_off_late():
    book, conduct = Book(ONE), Conduct(0, 60 * SECOND)
    there = seats("m0", "m1")
    told(conduct, there, 1)
    put(book, conduct.turn(1, there, book.record))
    put(book, conduct.turn(2, seats("m0", "m1", gone=("m1",)), book.record))
    assert list(book.record.whole.lost) == ["m1"]
    back = seats("m0", "m1")
    put(book, conduct.turn(3, back, book.record))  # heard, and its report is the old run's
    conduct.report("m1", 11, Report(99, ready=False), 4)
    put(book, conduct.turn(4, back, book.record))
    conduct.report("m1", 11, Report(99, ready=True), 5)
    put(book, conduct.turn(5, back, book.record))
    assert not book.record.whole.lost
    for at in (6, 59 * SECOND, 61 * SECOND):
        put(book, conduct.turn(at, seats("m0"), book.record))
        assert bool(book.record.whole.lost) == (at < 60 * SECOND)


def gate(book, there, conduct, released, rest, span=10 * SECOND):
    """Play a window: what requests came to at the released and at the rest, in figures a second."""
    number = book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    first = sorted(there)[0]
    book.switch(first)
    for at in range(0, span + 1, SECOND // 2):
        for name, seat in there.items():
            figures = dict(released if name == first else rest)
            memory = figures.pop("memory", 0)
            counts = {key: int(value * at / SECOND) for key, value in figures.items()}
            runs = hash_of(b"pools = 1") if name == first else ""
            conduct.report(name, seat.id, Report(99, runs, ready=True, memory=memory, **counts), at)
        put(book, conduct.turn(at, there, book.record))
        if book.on is None or book.on.phase != model.GATED or book.on.wave:
            return at / SECOND, number
    return None, number


GOOD = {"ended": 40, "on_time": 40}


@pytest.mark.parametrize(
    "released,said",
    [
        (GOOD, ""),
        ({"ended": 40, "on_time": 30}, "on time 0.75"),
        ({**GOOD, "scrapped": 4}, "scrapped 0.1"),
        ({**GOOD, "turned_back": 8}, "turned back 0.2"),
        ({**GOOD, "memory": 90}, "memory"),
        ({}, "nothing to judge by"),
    ],
)
def test_a_gate_holds_the_released_against_the_rest_in_the_same_seconds(released, said):
    book, conduct = Book(FEW), Conduct(0, 600 * SECOND)
    at, _ = gate(book, seats("m0", "m1", "m2"), conduct, released, {**GOOD, "memory": 40})
    assert (book.on.wave == 1 and not book.on.undoing) if not said else said in book.on.reason
    assert at is not None and (at <= 4.5 or "nothing" in said)


def test_one_that_took_it_and_is_gone_since_fails_the_gate_at_once():
    book, conduct = Book(FEW), Conduct(0, 600 * SECOND)
    there = seats("m0", "m1", "m2")
    book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    book.switch("m0")
    told(conduct, there, 1)
    put(book, conduct.turn(1, there, book.record))
    put(book, conduct.turn(2, seats("m0", "m1", "m2", gone=("m0",)), book.record))
    assert book.on.undoing and "m0 did not stay" in book.on.reason


def test_one_that_does_not_come_back_halts_it():
    book, conduct = Book(FEW), Conduct(0, 600 * SECOND)
    there = seats("m0", "m1", "m2")
    book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    put(book, conduct.turn(0, there, book.record))
    put(book, conduct.turn(21 * SECOND, there, book.record))
    assert book.on.undoing and book.on.reason == "m0: did not come back"


def test_selectors_and_waves():
    there = seats("m0", "m1", "m2", "m3", "m4", gone=("m4",), zones={"m1": "a", "m2": "a"})
    assert chosen("all", there) == ["m0", "m1", "m2", "m3"] and chosen("zone=a", there) == [
        "m1",
        "m2",
    ]
    assert chosen("m3, m0,m9", there) == ["m0", "m3"]
    names = [f"m{n}" for n in range(10)]
    assert [len(wave) for wave in split(names, ["1", "25%"])] == [1, 3, 6]
    assert [len(wave) for wave in split(names, ["50%", "50%", "3"])] == [5, 5]
    assert split([], ["1"]) == []


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1_000_000))
def test_a_leader_that_takes_over_at_any_point_brings_a_release_to_the_same_end(seed):
    """Members do as told; the one that leads forgets all that is its own at moments drawn by chance."""
    chance, names = Random(seed), [f"m{n}" for n in range(6)]
    book, there, now = Book(Rule("all", "balancers", 2)), seats(*names), 0
    content = book.file(b"pools = 1")
    book.say(RELEASE, Release, content, "", "all", ["1", "50%"])
    conduct, bad = Conduct(now, 600 * SECOND), chance.random() < 0.5
    for _ in range(400):
        now += SECOND // 4
        if chance.random() < 0.05:
            conduct = Conduct(now, 600 * SECOND)
        for name, seat in there.items():
            runs = book.record.orders(name).content
            figures = {
                "ended": 30 * now // SECOND,
                "on_time": (15 if bad and runs else 30) * now // SECOND,
            }
            conduct.report(name, seat.id, Report(book.at, runs, ready=True, **figures), now)
        found = conduct.turn(now, there, book.record)
        put(book, found[: chance.randint(0, len(found))] if chance.random() < 0.2 else found)
        assert len(book.out()) <= 2
        if book.on is None:
            break
    closed = book.record.whole.closed[-1]
    assert closed.phase == (model.UNDONE if bad else model.RELEASED) and not book.out()
    assert {book.record.orders(name).content for name in names} == ({""} if bad else {content})
