"""Tests of the fleet in simulated time: datagrams, membership, member counts, faults, the referee."""

import json
import time
from random import Random

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.cli.main import cli
from whinpier.fleet import messages
from whinpier.fleet.fleet_size import FleetSizes
from whinpier.fleet.membership.membership import (
    BURST_BYTES,
    JOIN_REPLIES_PER_SECOND,
    MAX_PROBES,
    SECOND,
    Membership,
    MembershipTiming,
)
from whinpier.fleet.messages import Datagram, DatagramError, MemberMetadata, MemberUpdate, Seal
from whinpier.simulation import fleet_scenarios
from whinpier.simulation.experiment import shipped
from whinpier.simulation.fleet import KEY, POOL, Fleet
from whinpier.simulation.fleet_mutants import MUTATIONS, caught, spoilt
from whinpier.testbed import faults
from whinpier.testbed.faults import Fault, Schedule
from whinpier.testbed.referee import Bounds, Fact, Referee, Said

HALVES = (tuple(range(6)), tuple(range(6, 12)))
uint64, uint32, short_text = (
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.text(max_size=20),
)
updates_drawn = st.builds(
    MemberUpdate, uint64, uint32, st.integers(0, 5), st.integers(0, 4), uint64
)
metadata_drawn = st.builds(
    MemberMetadata,
    st.text(min_size=1, max_size=20),
    uint64,
    uint32,
    st.just("127.0.0.1"),
    st.integers(1, 65535),
    short_text,
    short_text,
    short_text,
    st.lists(uint32, max_size=4).map(tuple),
)
datagrams = st.builds(
    Datagram,
    st.integers(0, 5),
    uint64,
    st.integers(0, 2**63 - 1),
    uint64,
    uint64,
    uint64,
    st.lists(updates_drawn, max_size=8),
    st.lists(metadata_drawn, max_size=2),
    st.lists(st.tuples(uint32, st.binary(max_size=64)), max_size=3),
    st.lists(uint64, max_size=5),
)


def make_metadata(name="a", run=1, port=7001, **more):
    return MemberMetadata(name, run, 1, "127.0.0.1", port, pools=(POOL,), **more)


def make_membership(name="a", port=7001, seeds=(), now=0, **more):
    return Membership(
        make_metadata(name, 1, port),
        seeds,
        KEY,
        MembershipTiming(),
        Random(f"{name}/{now}"),
        now,
        **more,
    )


def play(*events, count=12, seconds=24.0, **more):
    found = Fleet(Schedule(count, seconds, events, **more), bounds=Bounds())
    return found, found.play()


def deliver_all(*those, now):
    """Deliver the datagrams of these members to each other until none is left."""
    for _ in range(50):
        sent = [
            (one.metadata.address, *datagram) for one in those for datagram in one.take_output()[0]
        ]
        if not sent:
            return
        for source, address, data in sent:
            for one in those:
                if one.metadata.address == address:
                    one.receive(data, source, now)


# Datagrams.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(datagrams, st.integers(0, 10**6))
def test_a_datagram_is_decoded_as_it_was_encoded_and_rejected_when_a_bit_is_flipped(datagram, at):
    data = KEY.seal(datagram)
    assert KEY.open(data) == datagram
    at %= len(data)
    with pytest.raises(DatagramError):
        KEY.open(data[:at] + bytes((data[at] ^ 1 << at % 8,)) + data[at + 1 :])
    with pytest.raises(DatagramError):
        KEY.open(data[:at])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.booleans(), st.integers(0, 255))
def test_malformed_datagrams_are_only_counted(noise, sealed, form):
    """Authenticated bytes too may be malformed: from a later build, or a faulty one."""
    one = make_membership()
    if sealed:
        noise = messages.MAGIC + bytes((form,)) + noise
        noise += Seal.tag(noise, KEY.keys[0])
    one.receive(noise, ("127.0.0.1", 9), 1)
    assert (
        not one.members
        and sum(count for name, count in one.counts.items() if "unread" in name) == 1
    )
    if sealed and form != messages.FORMAT_VERSION:
        assert one.counts["unread_later_form"] == 1


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(datagrams, min_size=1, max_size=6),
    st.lists(st.integers(0, 5 * SECOND), min_size=6, max_size=6),
)
def test_well_formed_datagrams_raise_nothing_and_keep_within_bounds(those, steps):
    """Senders and subjects are known, unknown, and the receiver itself."""
    one, other = make_membership("a", 7001), make_membership("b", 7002, [("127.0.0.1", 7001)])
    other.tick(0)
    deliver_all(one, other, now=0)
    assert one.count() == 2
    now = 0
    for number, (datagram, step) in enumerate(zip(those, steps)):
        now += step
        mine = MemberUpdate(one.metadata.id, number, datagram.kind, 1, other.metadata.id)
        of_it = MemberUpdate(other.metadata.id, 3 - number % 3, datagram.kind, 1, datagram.sender)
        known = msgspec.structs.replace(
            datagram,
            sender=other.metadata.id,
            sequence=1_000 + number,
            updates=[*datagram.updates, mine, of_it],
        )
        for noise in (datagram, known):
            one.receive(KEY.seal(noise), ("127.0.0.1", 7002), now)
        one.on_port_unreachable(("127.0.0.1", 7002), now)
        one.tick(now)
        list(one.rows()), one.pool_members(POOL), one.compute_position()
        assert all(len(data) <= messages.MAX_DATAGRAM_BYTES for _, data in one.take_output()[0])
        assert one.reachability_counts[0] + one.reachability_counts[1] + one.reachability_counts[
            2
        ] == len(one.members)


@pytest.mark.xdist_group("fleet")
def test_a_hundred_members_are_listed_within_a_tenth_of_a_second():
    one = make_membership("a", 7001)
    for number in range(100):
        one.admit(
            make_metadata(f"x{number}", number, 8000 + number),
            MemberUpdate(0, 0, messages.ALIVE),
            0,
            True,
        )
    start = time.perf_counter()
    told = msgspec.json.encode(list(one.rows()))
    assert time.perf_counter() - start < 0.1 and len(msgspec.json.decode(told)) == 101


def test_the_largest_messages_fit_into_a_datagram_and_a_longer_one_is_refused():
    one = make_membership()
    large = make_metadata("n" * 63, 2**63, 7002, build="b" * 63, zone="z" * 63, revision="r" * 63)
    large = msgspec.structs.replace(
        large, pools=tuple(2**32 - 1 - n for n in range(messages.MAX_POOLS))
    )
    one.metadata = large
    for number in range(500):
        one.spread_update(MemberUpdate(2**64 - 1 - number, 2**32 - 1, 2, 1, 2**64 - 1))
    for number in range(messages.MAX_POOLS + 1):
        one.publish(number, bytes(messages.MAX_PAYLOAD_BYTES))
    known = one.admit(
        make_metadata("b", 5, 7003),
        MemberUpdate(make_metadata("b", 5, 7003).id, 0, messages.ALIVE),
        0,
        True,
    )
    for kind in range(6):
        one.send(kind, ("127.0.0.1", 1), known, 2**63, 2**63)
    sizes = [len(data) for _, data in one.take_output()[0]]
    assert (
        len(one.own_payloads) == messages.MAX_POOLS
        and max(sizes) <= messages.MAX_DATAGRAM_BYTES
        and max(sizes) > 1_100
    )
    with pytest.raises(ValueError):
        KEY.seal(Datagram(0, 1, 1, requested_ids=[2**63] * 140))


def test_two_keys_are_valid_during_a_key_rotation():
    old, new = b"o" * 32, b"n" * 32
    data = Seal((old,)).seal(Datagram(0, 1, 1))
    assert Seal((new, old)).open(data).sender == 1
    with pytest.raises(DatagramError, match="unproved"):
        Seal((new,)).open(data)


# Membership.


def test_a_killed_member_is_lost_by_all_within_three_seconds_by_evidence():
    fleet, found = play(Fault(10.0, "kill", (5, 6)))
    assert (
        found["breaches"] == []
        and found["checked"]["dead"] == 20
        and found["slowest"]["dead"] < 1.5
    )
    lost = [said for said in fleet.said if said.event == "member_lost"]
    assert {said.pairs["why"] for said in lost} == {"refused"}
    assert {node.members.position for node in fleet.nodes.values() if node.alive} == {"whole"}


def test_a_member_whose_machine_is_gone_is_lost_as_fast_but_still_counts():
    fleet, found = play(Fault(10.0, "vanish", (5,)))
    assert found["breaches"] == [] and 1.0 < found["slowest"]["dead"] < 3.0
    for node in (node for node in fleet.nodes.values() if node.alive):
        assert node.members.position == "larger" and len(node.members.pool_members(POOL)) == 12


def test_a_pause_of_a_second_is_no_loss_and_the_paused_member_suspects_nobody():
    fleet, found = play(Fault(10.0, "stop", (5, 6), span=1.0))
    assert (
        found["breaches"] == []
        and fleet.counts["member_suspect"]
        and not fleet.counts["member_lost"]
    )
    fleet, found = play(Fault(10.0, "stop", (5,), span=60.0), seconds=80.0)
    # It is lost by all others, and takes none of them for lost.
    assert found["breaches"] == [] and fleet.counts["member_lost"] == 11


THIRDS = ((0, 1, 2, 3), (4, 5, 6), (7, 8, 9, 10, 11))


@pytest.mark.parametrize("parts", [HALVES, ((0,), tuple(range(1, 12))), THIRDS])
def test_parts_of_a_partition_know_their_position_and_merge_after_it(parts):
    fleet, found = play(Fault(8.0, "cut", parts=parts, span=8.0))
    assert found["breaches"] == [] and found["checked"]["position"] >= 24


def test_a_partition_into_three_parts_of_which_two_merge_first():
    fleet, found = play(
        Fault(8.0, "cut", parts=((0, 1, 2, 3), (4, 5, 6, 7), (8, 9, 10, 11)), span=6.0),
        Fault(8.0, "cut", parts=((0, 1, 2, 3, 4, 5, 6, 7), (8, 9, 10, 11)), span=12.0),
        seconds=30.0,
    )
    assert found["breaches"] == [] and found["checked"]["position"] >= 36


def test_loss_of_a_tenth_of_all_datagrams_loses_no_member():
    fleet, found = play(Fault(5.0, "lossy", span=60.0, amount=0.1), seconds=70.0)
    assert (
        fleet.counts["member_suspect"] > 20
        and not fleet.counts["member_lost"]
        and found["breaches"] == []
    )


def connected_pair():
    """Two members that know each other, two seconds after the start."""
    one, other = make_membership("a", 7001), make_membership("b", 7002, [("127.0.0.1", 7001)])
    for step in range(20):
        for member in (one, other):
            member.tick(step * SECOND // 10)
        deliver_all(one, other, now=step * SECOND // 10)
    return one, other


def test_a_payload_is_not_replaced_by_an_older_one_that_arrives_later():
    one, other = connected_pair()
    sent = []
    for said in (b"first", b"second"):
        other.publish(POOL, said)
        other.broadcast_payloads(2 * SECOND)
        sent.append(next(data for address, data in other.take_output()[0] if address[1] == 7001))
    one.take_output()
    for data in reversed(sent):  # the first datagram is overtaken
        one.receive(data, other.metadata.address, 2 * SECOND)
    assert [contents for _, mark, contents in one.take_output()[2] if mark == POOL] == [b"second"]
    assert one.members[other.metadata.id].payloads[POOL] == b"second"


def test_a_suspect_is_notified_at_once_and_refutes():
    """In a fleet of two hundred few members have heard the suspect recently, so that by chance and
    by gossip alone it heard of the suspicion late or never, and was lost.
    """
    one, other = connected_pair()
    suspect = one.members[other.metadata.id]
    one.suspect(suspect, messages.NO_RESPONSE)
    told = [data for address, data in one.take_output()[0] if address[1] == 7002]
    assert told and suspect.state == messages.SUSPECT
    now = 2 * SECOND
    other.receive(told[0], one.metadata.address, now)
    for address, data in other.take_output()[0]:
        one.receive(data, other.metadata.address, now)
    assert suspect.state == messages.ALIVE and suspect.last_update.incarnation == 1
    one.take_output()
    one.remind_suspect(suspect.id, 0)  # of a refuted incarnation: nobody is notified
    assert not one.take_output()[0]


def test_a_link_that_works_in_one_direction_only_loses_no_member():
    fleet, _ = play(Fault(8.0, "one_way", (1,), (2,), span=10.0))
    assert not fleet.counts["member_lost"]
    fleet, found = play(Fault(8.0, "one_way", (1,), (0,), span=8.0), count=2, seconds=30.0)
    # With two members there is nobody for indirect probes.
    assert fleet.counts["member_lost"] and found["breaches"] == []


def test_two_processes_of_one_name_both_count_and_a_moved_one_counts_once():
    fleet, _ = play(Fault(8.0, "twin", (7,)))
    assert all(len(node.members.pool_members(POOL)) == 13 for node in fleet.nodes.values())
    fleet, found = play(Fault(8.0, "move", (7,), span=0.5))
    assert found["breaches"] == []
    assert all(len(node.members.pool_members(POOL)) == 12 for node in fleet.nodes.values())


def test_all_members_restart_while_the_seeds_are_down():
    fleet, found = play(
        Fault(6.0, "restart", tuple(range(3, 12)), span=2.0),
        Fault(6.0, "restart", (0, 1, 2), span=9.0),
        seconds=30.0,
    )
    assert found["breaches"] == [] and fleet.counts["fleet_joined"] == 24


def test_a_fleet_that_doubles_at_once_and_a_seed_that_dies_for_good():
    fleet, found = play(Fault(6.0, "join", tuple(range(6, 12))), Fault(10.0, "kill", (0,)), seeds=1)
    assert found["breaches"] == []


def test_an_announced_leave_is_no_loss():
    fleet, found = play(Fault(8.0, "leave", (5,)), Fault(8.0, "leave", (6,)))
    assert found["breaches"] == [] and fleet.counts["member_left"] >= 20
    assert not fleet.counts["member_lost"]


def test_replayed_datagrams_bring_no_member_back():
    """Every datagram of a member is replayed from its own address, also to a restarted receiver."""
    a, b = make_membership("a", 7001), make_membership("b", 7002, [("127.0.0.1", 7001)])
    sent = []
    for now in range(0, 3 * SECOND, SECOND // 20):
        for one, other in ((a, b), (b, a)):
            one.tick(now)
            for _, data in one.take_output()[0]:
                sent += [data] * (one is b)
                other.receive(data, one.metadata.address, now)
    assert a.count() == b.count() == 2
    high = next(iter(a.members.values())).highest_sequence
    for data in sent:
        a.receive(data, b.metadata.address, now)
    assert (
        a.counts["unread_again"] >= len(sent) - 5
        and next(iter(a.members.values())).highest_sequence == high
    )
    restarted = make_membership("a", 7001, now=now)  # knows no member, and gets no answer
    for data in sent:
        restarted.receive(data, b.metadata.address, now + 1)
    assert not restarted.members and len(restarted.take_output()[0]) <= 2 * JOIN_REPLIES_PER_SECOND


def test_every_table_is_bounded():
    one = make_membership(max_members=3)
    for number in range(6):
        other = make_membership(f"x{number}", 7100 + number, [one.metadata.address], now=SECOND)
        other.tick(SECOND)
        deliver_all(one, other, now=SECOND)
    assert len(one.members) == 3 and one.counts["table_full"]
    for number in range(2 * MAX_PROBES):
        one.ping(("127.0.0.1", 9), None)
    assert len(one.probes) == MAX_PROBES and one.counts["probes_full"]
    one.take_output()
    known = one.connected_members()[0]
    for number in range(4_000):
        one.send(messages.ACK, ("127.0.0.1", 9), known)
    assert (
        BURST_BYTES < sum(len(data) for _, data in one.take_output()[0]) <= 2 * BURST_BYTES + 1_200
        and one.counts["not_sent"]
    )
    for number in range(5_000):
        one.add_tombstone(MemberUpdate(number, 0, messages.LEFT))
    assert len(one.tombstones) == 4_096


def test_a_hundred_and_fifty_members_that_start_at_once_from_three_seeds_suspect_nobody():
    fleet, found = play(count=150, seconds=4.0)
    told = {who: set() for who in {said.process for said in fleet.said}}
    for said in fleet.said:
        if said.event == "member_here":
            told[said.process].add(said.pairs["member"])
    assert len(told) == 150 and all(len(those) == 149 for those in told.values())
    assert not found["events"].get("member_suspect") and not found["breaches"]


def test_a_member_that_was_removed_for_good_goes_on_as_another_run():
    a, b = make_membership("a", 7001), make_membership("b", 7002, [("127.0.0.1", 7001)])
    a.tick(0), b.tick(0)
    deliver_all(a, b, now=0)
    before = b.metadata.id
    a.mark_replaced(a.members[before])
    a.send(
        messages.PING,
        b.metadata.address,
        None,
        updates=[MemberUpdate(before, 0, messages.REPLACED)],
    )
    for now in range(0, SECOND, SECOND // 10):
        a.tick(now), b.tick(now)
        deliver_all(a, b, now=now)
    assert b.metadata.id != before and b.metadata.id in a.members and a.count() == b.count() == 2


# Fleet size, as pools see it.


def test_the_count_rises_at_once_falls_late_and_is_never_below_the_silent_seeds():
    seeds = [("127.0.0.1", 7001 + number) for number in range(4)]
    one = make_membership("a", 7001, seeds)
    counting = FleetSizes(one, ("all",))
    assert [(told.balancers, told.number) for told in counting.update(0)] == [(4, 0)]
    for now in range(0, 3 * SECOND, SECOND // 10):
        one.tick(now)
    assert not counting.update(now) and one.position == "alone"  # silent seeds may be alive
    for seed in seeds[1:]:
        one.on_port_unreachable(seed, now)
    assert not counting.update(now)  # a lower count is told only once it lasts
    assert [told.balancers for told in counting.update(now + 2 * SECOND)] == [1]
    assert one.compute_position() == "whole"
    other = make_membership("b", 7002, [one.metadata.address])
    other.tick(now)
    deliver_all(one, other, now=now + 2 * SECOND)
    assert [told.balancers for told in counting.update(now + 2 * SECOND + 1)] == [2]


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(st.text("abcdefgh", min_size=1, max_size=6), min_size=3, max_size=40, unique=True))
def test_a_new_member_moves_each_others_place_by_no_more_than_its_own_width(names):
    def starts(those):
        ranked = sorted(those, key=lambda name: messages.member_id(name, 0))
        return {name: place / len(ranked) for place, name in enumerate(ranked)}

    before, after = starts(names[1:]), starts(names)
    assert all(abs(before[name] - after[name]) <= 1.0 / len(before) for name in before)


# Fault schedules and the referee.


def test_a_schedule_is_drawn_alike_from_one_seed_and_a_faulty_one_is_refused_with_its_key():
    drawn = faults.draw(7, 12, 45.0)
    assert (
        drawn
        == faults.draw(7, 12, 45.0)
        == faults.read(faults.text(drawn))
        != faults.draw(8, 12, 45.0)
    )
    with pytest.raises(msgspec.ValidationError, match="faults"):
        faults.read('{"members": 3, "seconds": 5, "faults": [{"at": 1, "kind": "gone"}]}')


def test_a_failing_schedule_is_shortened_to_what_still_fails():
    whole = Schedule(
        12,
        20.0,
        (
            Fault(5.0, "lossy", span=2.0, amount=0.1),
            Fault(6.0, "kill", (4, 5, 6, 7)),
            Fault(7.0, "late", span=1.0, amount=0.1),
            Fault(8.0, "leave", (9,)),
        ),
    )
    least, tried = faults.shrink(
        whole, lambda one: any(fault.kind == "kill" for fault in one.faults)
    )
    assert [(fault.kind, fault.who) for fault in least.faults] == [
        ("kill", (4,))
    ] and least.members == 5


def history(*moments):
    """The rules that are broken where two members know each other and these things happen."""
    a, b = ("a", "1"), ("b", "2")
    facts = [Fact(0.0, "started", a), Fact(0.0, "started", b)]
    said = [
        Said(0.1, a, "member_here", {"member": "b", "run": "2"}),
        Said(0.1, b, "member_here", {"member": "a", "run": "1"}),
        Said(0.1, a, "partition_state_changed", {"position": "whole"}),
        Said(0.1, b, "partition_state_changed", {"position": "whole"}),
    ]
    facts += [one for one in moments if isinstance(one, Fact)]
    said += [one for one in moments if isinstance(one, Said)]
    return sorted({breach.rule for breach in Referee(facts, said, 30.0, Bounds()).judge()})


def test_the_referee_finds_each_property_that_breaks_and_nothing_else():
    a, b, of_b = ("a", "1"), ("b", "2"), {"member": "b", "run": "2", "by": "a"}
    apart = (frozenset({"a"}), frozenset({"b"}))
    alone = [Said(10.5, who, "partition_state_changed", {"position": "alone"}) for who in (a, b)]
    assert history() == []
    assert history(Fact(10.0, "dead", b), Said(11.0, a, "member_lost", of_b)) == []
    assert history(Fact(10.0, "dead", b), Said(14.0, a, "member_lost", of_b)) == ["agree", "dead"]
    assert history(Fact(10.0, "dead", b)) == ["agree", "dead"]
    assert history(Said(10.0, a, "member_lost", of_b)) == ["false"]
    assert history(Fact(10.0, "stopped", b), Said(12.0, a, "member_lost", of_b)) == []
    assert history(Fact(10.0, "ways", parts=apart), *alone) == []
    assert history(Fact(10.0, "ways", parts=apart)) == ["position"]
    assert history(
        Fact(10.0, "ways", parts=apart),
        *alone,
        Fact(16.0, "ways"),
        Said(15.0, a, "member_lost", of_b),
        Said(16.5, a, "partition_state_changed", {"position": "whole"}),
        Said(16.5, b, "partition_state_changed", {"position": "whole"}),
    ) == ["agree"]


@pytest.mark.parametrize("seed", range(6))
def test_drawn_faults_break_nothing(seed):
    assert Fleet(faults.draw(seed, 9, 40.0, 5)).play()["breaches"] == []


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_each_mutation_of_the_code_is_caught(name):
    assert caught(name) is not None, MUTATIONS[name].__doc__


def test_a_mutation_is_undone_after_it():
    before = Membership.on_suspicion_timeout
    with spoilt("never_loses"):
        assert Membership.on_suspicion_timeout is not before
    assert Membership.on_suspicion_timeout is before


# Experiments.


def test_fleet_scenarios_are_an_experiment_and_a_broken_one_is_shortened(tmp_path):
    file = tmp_path / "days.toml"
    file.write_text(
        'name = "x"\nseconds = 24.0\nseeds = 2\n[bank]\nmembers = 6\n'
        '[[faults]]\nat = 8.0\nkind = "vanish"\nwho = [4]\n'
        '[[faults]]\nat = 12.0\nkind = "lossy"\namount = 0.05\nspan = 2.0\n'
    )
    run = CliRunner()
    kept = ["--json", "--jobs", "1", "--out", str(tmp_path / "out")]
    found = run.invoke(cli, ["lab", "run", str(file), *kept])
    assert found.exit_code == 0 and json.loads(found.output)["broken"] == 0
    days = fleet_scenarios.read(file)
    with spoilt("never_loses"):
        assert fleet_scenarios.play(fleet_scenarios.schedule(days, 1))["broken"]
        least = fleet_scenarios.least(fleet_scenarios.schedule(days, 1))
    assert [fault.kind for fault in least.faults] == ["vanish"] and least.members <= 6
    file.write_text(file.read_text().replace("who = [4]", "who = [9]"))
    found = run.invoke(cli, ["lab", "run", str(file)])
    assert found.exit_code == 2 and "faults[0]: names a member that is none of 6" in found.output


def test_every_shipped_fleet_experiment_is_well_formed():
    found = [path for path in shipped().values() if fleet_scenarios.is_one(path)]
    assert len(found) >= 6
    for path in found:
        days = fleet_scenarios.read(path)
        assert fleet_scenarios.schedule(days, 1).members == days.fleet.members
