"""Stories of what the record's lines come to: permits, drains, releases, and what the leader
puts in.
"""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.fleet.messages import LogEntry
from whinpier.fleet.rollouts import commands, model
from whinpier.fleet.rollouts.commands import (
    AnalysisResult,
    AnalysisSettings,
    BudgetRule,
    CommandHeader,
    DrainCommand,
    EntryKind,
    FileChunk,
    NamedCommand,
    Observation,
    ObservationKind,
    Observations,
    ReleaseCommand,
    SetBudget,
    WavePlan,
)
from whinpier.fleet.rollouts.controller import RolloutController
from whinpier.fleet.rollouts.history import is_intact
from whinpier.fleet.rollouts.model import MemberReport, MemberView
from whinpier.fleet.rollouts.release_files import hash_file
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.fleet.rollouts.wave_planning import select_members, split_into_waves
from whinpier.policy.decaying_sum import SECOND


class Book:
    """A record that is written line by line."""

    def __init__(self, *rules):
        self.record, self.at, self.ids = RolloutStateMachine(), 1, 100
        if rules:
            self.say(EntryKind.SET_BUDGET, SetBudget, list(rules))

    def line(self, kind, form):
        self.at += 1
        self.record.apply(self.at, LogEntry(1, kind, commands.encode(form)))
        return self.at

    def say(self, kind, form, *given, based=-1, who="ann", identity=0):
        self.ids += 1
        identity = identity or self.ids
        self.line(kind, form(CommandHeader(identity, who, "why", 0, based), *given))
        return self.record.state.results[identity][1:]

    def see(self, *seen):
        self.line(EntryKind.OBSERVATIONS, Observations(0, list(seen)))

    def file(self, text):
        name = hash_file(text)
        for at in range(0, len(text), 4):
            self.line(EntryKind.FILE_CHUNK, FileChunk(name, at, len(text), text[at : at + 4]))
        return name

    def release(self, content, *waves, hold=False, names=("m0", "m1", "m2", "m3")):
        good, text = self.say(
            EntryKind.RELEASE,
            ReleaseCommand,
            content,
            "",
            "all",
            [],
            AnalysisSettings(hold_on_failure=hold),
        )
        assert good, text
        number = int(text.split()[1])
        left = list(names)
        for wave, size in enumerate((*waves, len(names))):
            chosen_, left = left[:size], left[size:]
            if chosen_:
                self.line(EntryKind.WAVE_PLAN, WavePlan(number, wave, chosen_, [""] * len(chosen_)))
        self.line(EntryKind.WAVE_PLAN, WavePlan(number, 0, [], [], True))
        return number

    def switch(self, *names):
        outs = self.record.state.permits
        self.see(
            *(
                Observation(ObservationKind.SWITCHED, f"b/{name}", outs[f"b/{name}"].number)
                for name in names
            )
        )

    def out(self):
        return sorted(key[2:] for key in self.record.state.permits)

    @property
    def on(self):
        return self.record.state.rollout


ONE = BudgetRule("all", "balancers", 1)
FEW = BudgetRule("all", "balancers", 4)


# Permits and drains.


def test_the_last_permit_is_given_once_and_the_second_hears_who_has_it():
    book = Book(ONE)
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1") == (True, "permit 1")
    assert book.say(EntryKind.DRAIN, DrainCommand, "m2") == (False, "all: 1 may be out; out are m1")
    assert book.record.orders_for("m1").is_drained and not book.record.orders_for("m2").is_drained


def test_what_failed_without_asking_counts_as_out_and_its_own_drain_takes_no_more():
    book = Book(ONE)
    book.see(Observation(ObservationKind.LOST, "b/m3"))
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1") == (False, "all: 1 may be out; out are m3")
    assert book.say(EntryKind.DRAIN, DrainCommand, "m3")[0]  # it is out already
    book.see(Observation(ObservationKind.RETURNED, "b/m3"))
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1") == (False, "all: 1 may be out; out are m3")


def test_a_permit_is_free_only_once_its_holder_is_back_or_written_off():
    book = Book(ONE)
    book.say(EntryKind.DRAIN, DrainCommand, "m1")
    book.say(EntryKind.UNDRAIN, DrainCommand, "m1")
    assert not book.record.orders_for("m1").is_drained and book.out() == ["m1"]
    book.see(Observation(ObservationKind.RETURNED, "b/m1", 7))  # of another permit
    assert book.out() == ["m1"]
    book.see(Observation(ObservationKind.RETURNED, "b/m1", 1))
    assert book.out() == [] and book.say(EntryKind.DRAIN, DrainCommand, "m2") == (True, "permit 2")
    book.see(
        Observation(ObservationKind.LOST, "b/m2"), Observation(ObservationKind.WRITTEN_OFF, "b/m2")
    )
    assert book.out() == []
    book.see(Observation(ObservationKind.LOST, "b/m0"))
    assert book.say(EntryKind.WRITE_OFF, NamedCommand, "m9") == (False, "'m9' is not lost")
    assert (
        book.say(EntryKind.WRITE_OFF, NamedCommand, "m0")[0]
        and book.say(EntryKind.DRAIN, DrainCommand, "m1")[0]
    )


def test_zones_and_pools_have_rules_of_their_own():
    book = Book(
        BudgetRule("a", "balancers", 1, "", "a"),
        BudgetRule("t", "upstreams", 1, "t"),
        BudgetRule("u", "upstreams", 2),
    )
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1", "", "a")[0]
    assert (
        not book.say(EntryKind.DRAIN, DrainCommand, "m2", "", "a")[0]
        and book.say(EntryKind.DRAIN, DrainCommand, "m3", "", "b")[0]
    )
    assert (
        book.say(EntryKind.DRAIN, DrainCommand, "s1", "t")[0]
        and not book.say(EntryKind.DRAIN, DrainCommand, "s2", "t")[0]
    )
    assert (
        book.say(EntryKind.DRAIN, DrainCommand, "s1", "o")[0]
        and not book.say(EntryKind.DRAIN, DrainCommand, "s2", "o")[0]
    )
    assert book.record.drained_upstreams("t") == {"s1": 3} and list(
        book.record.drained_upstreams("o")
    ) == ["s1"]


def test_a_command_counts_once_and_who_asks_again_hears_the_same():
    book = Book(ONE)
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1", identity=5) == (True, "permit 1")
    book.say(EntryKind.UNDRAIN, DrainCommand, "m1")
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1", identity=5) == (True, "permit 1")
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.UNDRAINING


def test_the_second_of_two_operators_hears_what_changed_and_who_did_it():
    book = Book(FEW)
    seen = book.record.state.revision
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1", based=seen, who="ann")[0]
    assert book.say(EntryKind.DRAIN, DrainCommand, "m2", based=seen, who="bob") == (
        False,
        "changed since 2: at 3 ann said drain m1",
    )
    assert book.say(
        EntryKind.DRAIN, DrainCommand, "m2", based=book.record.state.revision, who="bob"
    )[0]


def test_a_drain_is_undrained_at_any_moment_and_confirmed_by_its_own_permit_only():
    book = Book(ONE)
    book.say(EntryKind.DRAIN, DrainCommand, "m1")
    assert (
        book.say(EntryKind.DRAIN, DrainCommand, "m1")[1] == "m1 is draining already, since 1 by ann"
    )
    book.see(Observation(ObservationKind.DRAIN_CONFIRMED, "b/m1", 9))
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.DRAINING
    book.see(Observation(ObservationKind.DRAIN_CONFIRMED, "b/m1", 1))
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.DRAINED
    book.say(EntryKind.UNDRAIN, DrainCommand, "m1")
    assert book.say(EntryKind.UNDRAIN, DrainCommand, "m1")[1] == "it is on its way back already"
    assert book.say(EntryKind.UNDRAIN, DrainCommand, "m2")[1] == "m2 is not drained"
    assert book.say(EntryKind.DRAIN, DrainCommand, "m1")[0]  # again, before it was back
    assert book.out() == ["m1"]


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 3),
    st.lists(st.tuples(st.sampled_from("dublsfwxhru"), st.integers(0, 4)), max_size=60),
)
def test_never_more_are_out_by_permit_than_may_whatever_comes(may, steps):
    """Drains, undrains, losses, releases with all that can happen to them, in any order."""
    book, names = Book(BudgetRule("all", "balancers", may)), [f"m{n}" for n in range(5)]
    content = book.file(b"pools = 1")
    numbers = []
    for step, which in steps:
        name, outs = names[which], book.record.state.permits
        out = outs.get(f"b/{name}")
        number = out.number if out else 0
        if step == "d":
            book.say(EntryKind.DRAIN, DrainCommand, name)
        elif step == "u":
            book.say(EntryKind.UNDRAIN, DrainCommand, name)
        elif step == "b":
            book.see(
                Observation(ObservationKind.RETURNED, f"b/{name}", number),
                Observation(ObservationKind.DRAIN_CONFIRMED, f"b/{name}", number),
            )
        elif step == "l":
            book.see(Observation(ObservationKind.LOST, f"b/{name}"))
        elif step == "x":
            book.see(Observation(ObservationKind.RETURNED, f"b/{name}"))
        elif step == "w":
            book.see(Observation(ObservationKind.WRITTEN_OFF, f"b/{name}"))
        elif step == "s":
            book.see(Observation(ObservationKind.SWITCHED, f"b/{name}", number))
        elif step == "f":
            book.see(Observation(ObservationKind.FAILED, f"b/{name}", number, "refuses"))
        elif step == "h":
            book.say(EntryKind.HALT if which % 2 else EntryKind.RESUME, NamedCommand)
        elif step == "r" and not book.on:
            book.release(content, 1 + which, names=names)
        elif step == "r" and book.on.phase == model.RolloutPhase.ANALYZING:
            book.line(
                EntryKind.ANALYSIS_RESULT,
                AnalysisResult(book.on.number, book.on.current_wave, which > 1, "slow"),
            )
        else:
            book.say(EntryKind.ROLL_BACK, NamedCommand)
        assert len(outs) <= may, (step, name)
        numbers += [one.number for one in outs.values()]
        again = RolloutStateMachine()
        again.restore(book.record.snapshot())
        assert again.state == book.record.state and is_intact(book.record.state.history)
    assert len(book.record.state.history) <= commands.MAX_HISTORY


# Releases.


def test_a_release_goes_in_waves_no_larger_than_permits_and_is_good_at_its_end():
    book = Book(BudgetRule("all", "balancers", 2))
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    assert book.out() == ["m0"] and book.record.orders_for("m0").content_hash == content
    book.switch("m0")
    assert (
        book.on.phase == model.RolloutPhase.ANALYZING
        and book.record.orders_for("m1").content_hash == ""
    )
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, True))
    assert book.out() == ["m1", "m2"]  # the third waits for a permit
    book.switch("m1")
    assert book.out() == ["m2", "m3"]
    book.switch("m2", "m3")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, True))  # of a wave that is over
    assert book.on.phase == model.RolloutPhase.ANALYZING
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 1, True))
    state = book.record.state
    assert (
        book.on is None
        and state.default_content == content
        and not state.assigned_content
        and not state.permits
    )
    assert book.record.orders_for("m7").content_hash == content  # whoever comes later


def test_a_gate_that_fails_undoes_it_in_order_or_holds_it():
    for hold in (False, True):
        book = Book(ONE)
        number = book.release(book.file(b"pools = 1"), 2, hold=hold)
        book.switch("m0")
        book.switch("m1")
        book.line(
            EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, False, "on time 0.5, the rest 1")
        )
        if hold:
            assert (
                book.on.phase == model.RolloutPhase.HALTED
                and book.record.orders_for("m1").content_hash
            )
            assert book.say(EntryKind.ROLL_BACK, NamedCommand)[0]
        assert book.on.phase == model.RolloutPhase.ROLLING_BACK and book.out() == [
            "m1"
        ]  # the last first
        book.switch("m1")
        assert book.out() == ["m0"]
        book.switch("m0")
        closed = book.record.state.closed_rollouts[-1]
        assert (
            closed.phase == model.RolloutPhase.ROLLED_BACK
            and not book.record.state.assigned_content
            and not book.out()
        )
        assert {book.record.orders_for(f"m{n}").content_hash for n in range(4)} == {""}


def test_one_that_refuses_the_file_halts_it_and_one_that_fails_the_undo_is_named():
    book = Book(FEW)
    book.release(book.file(b"pools = 1"), 2)
    outs = book.record.state.permits
    book.see(
        Observation(ObservationKind.FAILED, "b/m1", outs["b/m1"].number, "refuses the file: pools")
    )
    assert (
        book.on.phase == model.RolloutPhase.ROLLING_BACK
        and "m1: refuses the file" in book.on.reason
    )
    assert {book.record.orders_for(name).content_hash for name in ("m0", "m1")} == {""}
    book.switch("m0")
    book.see(
        Observation(
            ObservationKind.FAILED,
            "b/m1",
            book.record.state.permits["b/m1"].number,
            "did not come back",
        )
    )
    closed = book.record.state.closed_rollouts[-1]
    assert closed.phase == model.RolloutPhase.ROLLED_BACK and closed.failed == {
        "m1": "did not come back"
    }


def test_too_many_lost_halt_a_release_and_those_that_are_out_go_back():
    book = Book(BudgetRule("all", "balancers", 2))
    book.release(book.file(b"pools = 1"), 2)
    book.see(Observation(ObservationKind.LOST, "b/m9"))
    assert book.on.phase == model.RolloutPhase.ROLLING_BACK and "too many are out" in book.on.reason
    book.switch("m0")
    book.switch("m1")
    assert book.record.state.closed_rollouts[-1].phase == model.RolloutPhase.ROLLED_BACK


def test_who_is_lost_when_its_turn_comes_is_named_and_takes_it_up_later():
    book = Book(FEW)
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    book.see(Observation(ObservationKind.LOST, "b/m2"))
    book.switch("m0")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, True))
    assert book.out() == ["m1", "m3"]
    book.switch("m1", "m3")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 1, True))
    closed = book.record.state.closed_rollouts[-1]
    assert closed.phase == model.RolloutPhase.RELEASED and closed.failed == {
        "m2": "was lost when its turn came"
    }
    assert book.record.orders_for("m2").content_hash == content


def test_one_that_is_drained_takes_it_as_it_is_and_nobody_waits_for_it():
    book = Book(BudgetRule("all", "balancers", 2))
    book.say(EntryKind.DRAIN, DrainCommand, "m2")
    content = book.file(b"pools = 1")
    number = book.release(content, 1)
    book.switch("m0")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, True))
    assert book.out() == ["m1", "m2"] and book.record.orders_for("m2").content_hash == content
    book.switch("m1")
    book.switch("m3")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 1, False, "slow"))
    assert book.record.orders_for("m2").content_hash == "" and "m2" not in book.on.updated
    book.switch("m3")
    book.switch("m1")
    book.switch("m0")
    assert book.record.state.closed_rollouts[
        -1
    ].phase == model.RolloutPhase.ROLLED_BACK and book.out() == ["m2"]


def test_who_has_traffic_is_the_canary():
    book, controller, there = Book(FEW), RolloutController(0, 600 * SECOND), seats("m0", "m1", "m2")
    for name, seat in there.items():
        controller.on_report(
            name, seat.id, MemberReport(99, is_ready=True, completed=100 if name == "m2" else 0), 1
        )
    book.say(EntryKind.RELEASE, ReleaseCommand, book.file(b"pools = 1"), "", "all", ["1"])
    put(book, controller.reconcile(1, there, book.record))
    assert book.on.waves == [["m2"], ["m0", "m1"]]


def test_halt_resume_and_undo_also_during_an_undo():
    book = Book(ONE)
    assert book.say(EntryKind.HALT, NamedCommand) == (False, "no release is on")
    number = book.release(book.file(b"pools = 1"), 2)
    book.say(EntryKind.HALT, NamedCommand, who="bob")
    assert book.on.phase == model.RolloutPhase.HALTED and book.on.reason == "halted by bob"
    book.switch("m0")  # it was told before
    assert book.out() == [] and book.say(EntryKind.RESUME, NamedCommand)[0] and book.out() == ["m1"]
    book.switch("m1")
    book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, False, "slow"))
    book.say(EntryKind.HALT, NamedCommand)
    book.switch("m1")
    assert book.on.phase == model.RolloutPhase.HALTED and book.out() == []
    assert book.say(EntryKind.ROLL_BACK, NamedCommand) == (
        False,
        f"release {number} is being undone",
    )
    book.say(EntryKind.RESUME, NamedCommand)
    assert book.out() == ["m0"]
    book.switch("m0")
    assert book.record.state.closed_rollouts[-1].phase == model.RolloutPhase.ROLLED_BACK


def test_a_release_that_is_over_is_undone_to_what_was_good_before():
    book = Book(FEW)
    contents = [book.file(text) for text in (b"pools = 1", b"pools = 2")]
    for content in contents:
        number = book.release(content, 4)
        book.switch("m0", "m1", "m2", "m3")
        book.line(EntryKind.ANALYSIS_RESULT, AnalysisResult(number, 0, True))
        assert book.record.state.default_content == content
    assert book.say(EntryKind.ROLL_BACK, NamedCommand)[0]
    book.switch("m0", "m1", "m2", "m3")
    assert (
        book.record.state.default_content == contents[0] and not book.record.state.assigned_content
    )
    assert book.say(EntryKind.ROLL_BACK, NamedCommand)[0]
    book.switch("m0", "m1", "m2", "m3")
    assert (
        book.record.state.default_content == ""
        and book.record.state.closed_rollouts[-1].phase == model.RolloutPhase.ROLLED_BACK
    )
    assert book.say(EntryKind.ROLL_BACK, NamedCommand) == (
        False,
        "no release is left that could be undone",
    )


def test_a_release_without_its_file_or_for_nobody_is_none():
    book = Book(FEW)
    assert (
        "is not whole in the record" in book.say(EntryKind.RELEASE, ReleaseCommand, "0badc0de")[1]
    )
    assert (
        book.say(EntryKind.RELEASE, ReleaseCommand, "", "")[1]
        == "either a file or a build is released"
    )
    assert book.say(EntryKind.RELEASE, ReleaseCommand, "", "b2", "all", ["many"])[1].startswith(
        "'many' is no wave"
    )
    book.release(book.file(b"pools = 1"), names=())
    assert (
        book.on is None
        and book.record.state.closed_rollouts[-1].reason == "it is for nobody who is here"
    )


def test_tables_are_bounded_and_a_line_of_a_later_build_is_passed_over():
    book = Book(BudgetRule("all", "balancers", 4_000))
    for number in range(commands.MAX_DRAINS + 2):
        book.say(EntryKind.DRAIN, DrainCommand, f"m{number}")
    assert len(book.record.state.drains) == commands.MAX_DRAINS
    assert len(book.record.state.history) == commands.MAX_HISTORY and is_intact(
        book.record.state.history
    )
    for number in range(commands.MAX_RESULTS + 10):
        book.say(EntryKind.UNDRAIN, DrainCommand, "nobody")
    assert len(book.record.state.results) == commands.MAX_RESULTS
    for number in range(2 * commands.MAX_FILES):
        book.file(b"pools = %d" % number)
    assert len(book.record.state.file_chunks) <= commands.MAX_FILES
    before = book.record.snapshot()
    for line in (
        LogEntry(1, 60, b"x"),
        LogEntry(1, EntryKind.DRAIN, b"\xc1"),
        LogEntry(1, EntryKind.OBSERVATIONS, msgspec.msgpack.encode([1, 2])),
    ):
        book.record.apply(book.at + 1, line)
    assert book.record.undecodable_entries == 3 and len(before) < 400_000


def test_a_history_that_was_changed_is_seen_to_be():
    book = Book(FEW)
    for name in ("m1", "m2", "m3"):
        book.say(EntryKind.DRAIN, DrainCommand, name)
    history = list(book.record.state.history)
    assert is_intact(history)
    history[2] = msgspec.structs.replace(history[2], actor="eve")
    assert not is_intact(history)


# What the leader puts in.


def seats(*names, gone=(), unheard=(), zones=None):
    return {
        name: MemberView(
            name,
            10 + n,
            (zones or {}).get(name, ""),
            name not in gone and name not in unheard,
            name in unheard,
        )
        for n, name in enumerate(names)
    }


def told(controller, there, now, **more):
    for seat in there.values():
        if seat.is_present:
            controller.on_report(
                seat.name,
                seat.id,
                MemberReport(**({"applied_index": 99, "is_ready": True} | more)),
                now,
            )


def put(book, found):
    for kind, data in found:
        book.at += 1
        book.record.apply(book.at, LogEntry(1, kind, data))


def test_a_drain_is_done_once_its_own_run_says_that_nothing_is_out():
    book, there, controller = Book(ONE), seats("m0", "m1"), RolloutController(0, 600 * SECOND)
    book.say(EntryKind.DRAIN, DrainCommand, "m1")
    told(controller, there, 1)
    put(book, controller.reconcile(1, there, book.record))
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.DRAINING
    controller.on_report(
        "m1", 77, MemberReport(99, is_ready=False, is_draining=True, is_drained=True), 2
    )  # an earlier run of it
    put(book, controller.reconcile(2, there, book.record))
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.DRAINING
    controller.on_report(
        "m1", 11, MemberReport(99, is_ready=False, is_draining=True, is_drained=True), 3
    )
    put(book, controller.reconcile(3, there, book.record))
    assert book.record.state.drains["b/m1"].phase == model.DrainPhase.DRAINED


def test_an_upstream_is_drained_once_each_has_said_so_and_who_is_only_unheard_is_named():
    book, controller = Book(BudgetRule("t", "upstreams", 1)), RolloutController(0, 600 * SECOND)
    book.say(EntryKind.DRAIN, DrainCommand, "s1", "t")
    there = seats("m0", "m1", "m2", unheard=("m2",))
    told(controller, there, 1, idle_drains=(1,))
    put(book, controller.reconcile(1, there, book.record))
    put(book, controller.reconcile(2 * SECOND, there, book.record))
    drain = book.record.state.drains["u/t/s1"]
    assert (
        drain.phase == model.DrainPhase.DRAINING
        and drain.pending == "m2 is not heard, and may go on sending"
    )
    gone = seats("m0", "m1", "m2", gone=("m2",))  # refused, or said goodbye: it sends nothing
    put(book, controller.reconcile(3 * SECOND, gone, book.record))
    assert book.record.state.drains["u/t/s1"].phase == model.DrainPhase.DRAINED


def test_who_goes_or_is_lost_counts_as_out_is_back_by_its_new_run_and_is_written_off_late():
    book, controller = Book(ONE), RolloutController(0, 60 * SECOND)
    there = seats("m0", "m1")
    told(controller, there, 1)
    put(book, controller.reconcile(1, there, book.record))
    put(book, controller.reconcile(2, seats("m0", "m1", gone=("m1",)), book.record))
    assert list(book.record.state.lost) == ["m1"]
    back = seats("m0", "m1")
    put(book, controller.reconcile(3, back, book.record))  # heard, and its report is the old run's
    controller.on_report("m1", 11, MemberReport(99, is_ready=False), 4)
    put(book, controller.reconcile(4, back, book.record))
    controller.on_report("m1", 11, MemberReport(99, is_ready=True), 5)
    put(book, controller.reconcile(5, back, book.record))
    assert not book.record.state.lost
    for at in (6, 59 * SECOND, 61 * SECOND):
        put(book, controller.reconcile(at, seats("m0"), book.record))
        assert bool(book.record.state.lost) == (at < 60 * SECOND)


def gate(book, there, controller, released, rest, span=10 * SECOND):
    """Play a window: what requests came to at the released and at the rest, in figures a second."""
    number = book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    first = sorted(there)[0]
    book.switch(first)
    for at in range(0, span + 1, SECOND // 2):
        for name, seat in there.items():
            figures = dict(released if name == first else rest)
            memory = figures.pop("memory_bytes", 0)
            counts = {key: int(value * at / SECOND) for key, value in figures.items()}
            runs = hash_file(b"pools = 1") if name == first else ""
            controller.on_report(
                name,
                seat.id,
                MemberReport(99, runs, is_ready=True, memory_bytes=memory, **counts),
                at,
            )
        put(book, controller.reconcile(at, there, book.record))
        if book.on is None or book.on.phase != model.RolloutPhase.ANALYZING or book.on.current_wave:
            return at / SECOND, number
    return None, number


GOOD = {"completed": 40, "on_time": 40}


@pytest.mark.parametrize(
    "released,said",
    [
        (GOOD, ""),
        ({"completed": 40, "on_time": 30}, "on time 0.75"),
        ({**GOOD, "failed": 4}, "scrapped 0.1"),
        ({**GOOD, "rejected": 8}, "turned back 0.2"),
        ({**GOOD, "memory_bytes": 90}, "memory"),
        ({}, "nothing to judge by"),
    ],
)
def test_a_gate_holds_the_released_against_the_rest_in_the_same_seconds(released, said):
    book, controller = Book(FEW), RolloutController(0, 600 * SECOND)
    at, _ = gate(book, seats("m0", "m1", "m2"), controller, released, {**GOOD, "memory_bytes": 40})
    assert (
        (book.on.current_wave == 1 and not book.on.is_rollback)
        if not said
        else said in book.on.reason
    )
    assert at is not None and (at <= 4.5 or "nothing" in said)


def test_one_that_took_it_and_is_gone_since_fails_the_gate_at_once():
    book, controller = Book(FEW), RolloutController(0, 600 * SECOND)
    there = seats("m0", "m1", "m2")
    book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    book.switch("m0")
    told(controller, there, 1)
    put(book, controller.reconcile(1, there, book.record))
    put(book, controller.reconcile(2, seats("m0", "m1", "m2", gone=("m0",)), book.record))
    assert book.on.is_rollback and "m0 did not stay" in book.on.reason


def test_one_that_does_not_come_back_halts_it():
    book, controller = Book(FEW), RolloutController(0, 600 * SECOND)
    there = seats("m0", "m1", "m2")
    book.release(book.file(b"pools = 1"), 1, names=sorted(there))
    put(book, controller.reconcile(0, there, book.record))
    put(book, controller.reconcile(21 * SECOND, there, book.record))
    assert book.on.is_rollback and book.on.reason == "m0: did not come back"


def test_selectors_and_waves():
    there = seats("m0", "m1", "m2", "m3", "m4", gone=("m4",), zones={"m1": "a", "m2": "a"})
    assert select_members("all", there) == ["m0", "m1", "m2", "m3"] and select_members(
        "zone=a", there
    ) == [
        "m1",
        "m2",
    ]
    assert select_members("m3, m0,m9", there) == ["m0", "m3"]
    names = [f"m{n}" for n in range(10)]
    assert [len(wave) for wave in split_into_waves(names, ["1", "25%"])] == [1, 3, 6]
    assert [len(wave) for wave in split_into_waves(names, ["50%", "50%", "3"])] == [5, 5]
    assert split_into_waves([], ["1"]) == []


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1_000_000))
def test_a_leader_that_takes_over_at_any_point_brings_a_release_to_the_same_end(seed):
    """Members do as told; the one that leads forgets all that is its own at moments drawn by chance."""
    chance, names = Random(seed), [f"m{n}" for n in range(6)]
    book, there, now = Book(BudgetRule("all", "balancers", 2)), seats(*names), 0
    content = book.file(b"pools = 1")
    book.say(EntryKind.RELEASE, ReleaseCommand, content, "", "all", ["1", "50%"])
    controller, bad = RolloutController(now, 600 * SECOND), chance.random() < 0.5
    for _ in range(400):
        now += SECOND // 4
        if chance.random() < 0.05:
            controller = RolloutController(now, 600 * SECOND)
        for name, seat in there.items():
            runs = book.record.orders_for(name).content_hash
            figures = {
                "completed": 30 * now // SECOND,
                "on_time": (15 if bad and runs else 30) * now // SECOND,
            }
            controller.on_report(
                name, seat.id, MemberReport(book.at, runs, is_ready=True, **figures), now
            )
        found = controller.reconcile(now, there, book.record)
        put(book, found[: chance.randint(0, len(found))] if chance.random() < 0.2 else found)
        assert len(book.out()) <= 2
        if book.on is None:
            break
    closed = book.record.state.closed_rollouts[-1]
    assert (
        closed.phase == (model.RolloutPhase.ROLLED_BACK if bad else model.RolloutPhase.RELEASED)
        and not book.out()
    )
    assert {book.record.orders_for(name).content_hash for name in names} == (
        {""} if bad else {content}
    )
