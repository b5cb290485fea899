"""Stories of the record's voters: orders explored, faults put in, disks read back, states learned."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.fleet.consensus import node as raft
from whinpier.fleet.consensus.node import (
    COMPACTION_THRESHOLD,
    CONFIG_ENTRY,
    LEADER,
    MAX_SERVED_PER_HEARTBEAT,
    MAX_UNCOMMITTED,
    RETAINED_ENTRIES,
    SNAPSHOT_CHUNK_BYTES,
    PersistentState,
    RaftNode,
    compact_journal,
    pack,
    replay_journal,
)
from whinpier.fleet.messages import (
    APPEND_ENTRIES,
    FETCH_ENTRIES,
    FETCHED_ENTRIES,
    INSTALL_SNAPSHOT,
    MAX_CONSENSUS_BYTES,
    PRE_VOTE_REQUEST,
    READ_INDEX_REQUEST,
    ConsensusMessage,
    Datagram,
    LogEntry,
    Seal,
    encoded_size,
)
from whinpier.model_checking.consensus import COMMAND, FAULTS, Lines
from whinpier.model_checking.consensus_scenarios import SLOW, WALKS, WHOLE, found
from whinpier.model_checking.explore import every, replay
from whinpier.policy.decaying_sum import SECOND

QUICK = sorted(set(FAULTS) - SLOW)


@pytest.mark.parametrize("days", WHOLE, ids=lambda days: days.what)
def test_every_order_of_a_small_world_keeps_one_order_and_one_leader_a_term(days):
    result = every(days.make(RaftNode), 4)
    assert result.deepest == 4 and not result.broken, result


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_walks_at_random_lose_nothing_that_was_agreed(days):
    result = days.gone_through(RaftNode, steps=20_000)
    assert not result.broken, (result.broken, result.path)


@pytest.mark.parametrize("name", QUICK)
def test_each_fault_that_is_put_in_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken


# Disks.


class Voters:
    """Three voters whose talks arrive at once, and whose disks sync at once."""

    def __init__(self, count=3, spare=0, copies=None):
        config = {f"m{n}": n + 1 for n in range(count)}
        self.now = 0
        self.disks = copies or [
            [
                (raft.IDENTITY_RECORD, 256, n + 1),
                (raft.TERM_RECORD, 1, 0),
                *([(raft.ENTRY_RECORD, 1, 1, CONFIG_ENTRY, pack(config))] if n < count else []),
            ]
            for n in range(count + spare)
        ]
        self.those = {
            f"m{n}": RaftNode(f"m{n}", replay_journal(disk), Lines(), 0, Random(n))
            for n, disk in enumerate(self.disks)
        }
        self.cut = set()
        self.largest = 0

    def sync(self, one):
        self.disks[int(one.name[1:])] += one.pending_records
        one.pending_records = []
        one.on_records_synced(one.records_issued)

    def settle(self):
        for _ in range(400):
            sent = []
            for one in self.those.values():
                self.sync(one)
                sent += [(one.name, to, talk) for to, talk in one.take_messages()]
            if not sent:
                return
            for name, to, talk in sent:
                self.largest = max(self.largest, encoded_size(talk))
                if name not in self.cut and to not in self.cut and to in self.those:
                    self.those[to].receive(talk, name, self.now)
        raise AssertionError("it does not come to rest")

    def run(self, seconds):
        ends = self.now + int(seconds * SECOND)
        while self.now < ends:
            self.now += SECOND // 20
            for one in self.those.values():
                if one.name not in self.cut:
                    for other in self.those.values():
                        if (
                            other.name not in self.cut
                            and other.commit_index > one.commit_index
                            and not one.is_voter
                        ):
                            one.on_commit_announced(
                                other.name, other.cluster_id, other.commit_index, other.term, 0
                            )
                    while one.next_deadline() <= self.now:
                        one.tick(self.now)
                        self.settle()

    @property
    def leader(self):
        return next(
            one for one in self.those.values() if one.role == LEADER and one.name not in self.cut
        )


def test_a_leader_comes_within_two_patiences_and_the_next_after_it_is_cut_off():
    three = Voters()
    three.run(2.0)
    first = three.leader
    first.propose(COMMAND, b"one")
    three.settle()
    assert all(one.state_machine.all == [(3, b"one")] for one in three.those.values())
    three.cut.add(first.name)
    three.run(2.0)
    assert three.leader is not first
    first.propose(COMMAND, b"lost")  # it does not know yet
    three.leader.propose(COMMAND, b"two")
    three.settle()
    three.cut.clear()
    three.run(1.0)
    assert all(
        [data for _, data in one.state_machine.all] == [b"one", b"two"]
        for one in three.those.values()
    )


def test_a_member_that_was_cut_off_disturbs_nobody_when_it_comes_back():
    three = Voters()
    three.run(2.0)
    leader, term = three.leader, three.leader.term
    other = next(name for name in three.those if name != leader.name)
    three.cut.add(other)
    three.run(10.0)
    three.cut.clear()
    three.run(2.0)
    assert three.leader is leader and leader.term == term


def test_a_leader_that_most_do_not_answer_steps_down_and_takes_no_more_than_its_room():
    three = Voters()
    three.run(2.0)
    leader = three.leader
    three.cut |= set(three.those) - {leader.name}
    for number in range(MAX_UNCOMMITTED + 10):
        leader.propose(COMMAND, b"%d" % number)
    assert leader.last_index - leader.commit_index == MAX_UNCOMMITTED
    three.run(3.0)
    assert leader.role != LEADER and not leader.propose(COMMAND, b"more")


def test_a_disk_is_read_back_as_it_was_and_a_torn_one_up_to_its_tear():
    three = Voters()
    three.run(2.0)
    for number in range(30):
        three.leader.propose(COMMAND, b"c%d" % number)
        three.settle()
    for one, disk in zip(three.those.values(), three.disks):
        assert (
            replay_journal(disk)
            == one.persistent_state()
            == replay_journal(compact_journal(one.persistent_state()))
        )
        for end in range(3, len(disk)):
            assert (
                replay_journal(disk[:end]).entries
                == one.persistent_state().entries[: len(replay_journal(disk[:end]).entries)]
            )
    for wrong in (
        [(raft.ENTRY_RECORD, 5, 1, 2, b"")],
        [(9, 1)],
        [(raft.TERM_RECORD, 1)],
        [(raft.ENTRY_RECORD,)],
    ):
        with pytest.raises((ValueError, TypeError, IndexError)):
            replay_journal([(raft.IDENTITY_RECORD, 256, 1), *wrong])


def test_old_lines_are_kept_as_what_they_come_to_and_learned_so_by_who_was_away():
    four = Voters(3, 1)
    four.cut.add("m3")
    four.run(2.0)
    away = next(name for name in ("m0", "m1", "m2") if name != four.leader.name)
    for number in range(COMPACTION_THRESHOLD + 100):
        if number == 50:
            four.cut.add(away)
        four.leader.propose(COMMAND, b"c%d" % number)
        four.settle()
    leader = four.leader
    assert leader.log_offset > RETAINED_ENTRIES and len(leader.entries) <= COMPACTION_THRESHOLD
    four.cut.clear()
    four.run(20.0)
    for one in four.those.values():
        assert (
            len(one.state_machine.all) == COMPACTION_THRESHOLD + 100
            and one.state_machine.all == leader.state_machine.all
        )
        again = RaftNode(
            one.name, replay_journal(four.disks[int(one.name[1:])]), Lines(), 0, Random(1)
        )
        assert again.config == leader.config and again.last_index == one.last_index
        assert again.state_machine.all == one.state_machine.all[: len(again.state_machine.all)]
    assert four.those[away].counts["states_learned"] and four.those["m3"].counts["states_learned"]
    assert four.largest <= MAX_CONSENSUS_BYTES + 100


def test_a_voter_whose_disk_is_another_is_no_voter_until_it_is_taken_in():
    three = Voters()
    three.run(2.0)
    leader = three.leader
    lost = next(name for name in three.those if name != leader.name)
    three.disks[int(lost[1:])] = [(raft.IDENTITY_RECORD, 0, 77)]
    fresh = three.those[lost] = RaftNode(
        lost, PersistentState(disk_id=77), Lines(), three.now, Random(9)
    )
    three.run(1.0)
    assert leader.match_index.get(lost, 0) <= leader.last_index and not fresh.is_voter
    leader.is_from_voter = lambda talk, sender: RaftNode.is_from_voter(leader, talk, sender)
    assert not leader.is_from_voter(
        ConsensusMessage(raft.APPEND_RESPONSE, 256, 77, leader.term, 1, 99), lost
    )
    config = leader.config
    assert (
        leader.change_voters({**config, lost: 77}) == "one voter at a time is added or taken away"
    )
    assert leader.change_voters({name: disk for name, disk in config.items() if name != lost}) == ""
    three.run(0.5)
    assert leader.change_voters({**leader.config, lost: 77}) == ""
    three.run(0.5)
    assert fresh.is_voter and fresh.commit_index == leader.commit_index


def test_most_voters_lost_for_good_one_copy_goes_on_by_hand_and_the_others_take_it():
    three = Voters()
    three.run(2.0)
    three.leader.propose(COMMAND, b"kept")
    three.settle()
    for name in ("m1", "m2"):
        three.those[name] = RaftNode(
            name, PersistentState(disk_id=50 + int(name[1:])), Lines(), three.now, Random(9)
        )
        three.disks[int(name[1:])] = []
    alone = three.those["m0"]
    three.run(3.0)
    assert alone.role != LEADER
    alone.recover()
    three.run(2.0)
    assert alone.role == LEADER and alone.cluster_id == 257 and alone.config == {"m0": 1}
    alone.propose(COMMAND, b"more")
    three.run(3.0)
    for one in three.those.values():
        assert one.cluster_id == 257 and [data for _, data in one.state_machine.all] == [
            b"kept",
            b"more",
        ]
    assert replay_journal(compact_journal(alone.persistent_state())) == alone.persistent_state()


def test_a_read_is_answered_by_a_leader_that_most_have_answered_since():
    three = Voters()
    three.run(2.0)
    leader = three.leader
    follower = next(one for one in three.those.values() if one is not leader)
    follower.request_read_index(7)
    three.settle()
    assert follower.read_results == [(7, leader.commit_index)]
    three.cut |= set(three.those) - {leader.name}
    leader.request_read_index(8)
    three.settle()
    assert not leader.read_results
    for nonce in range(200):
        leader.on_read_index_request(
            ConsensusMessage(READ_INDEX_REQUEST, 256, 1, leader.term, nonce), "m9"
        )
    assert len(leader.pending_reads) <= raft.MAX_PENDING_READS


def test_learners_cannot_drown_whom_they_ask():
    three = Voters()
    three.run(2.0)
    for number in range(100):
        three.leader.propose(COMMAND, b"x" * 800 + b"%d" % number)
        three.settle()
    leader = three.leader
    for number in range(200):
        leader.receive(ConsensusMessage(FETCH_ENTRIES, 256, 9, 0, 1), f"x{number}", three.now)
    given_ = leader.take_messages()
    assert len(given_) == MAX_SERVED_PER_HEARTBEAT and all(
        talk.kind == FETCHED_ENTRIES for _, talk in given_
    )


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.builds(
            ConsensusMessage,
            st.integers(0, 15),
            st.sampled_from((0, 256, 257, 999)),
            st.integers(0, 4),
            st.integers(0, 6),
            st.integers(0, 9),
            st.integers(0, 9),
            st.integers(0, 2**40),
            st.integers(0, 9),
            st.lists(
                st.builds(LogEntry, st.integers(0, 6), st.integers(2, 9), st.binary(max_size=9)),
                max_size=3,
            ),
            st.binary(max_size=SNAPSHOT_CHUNK_BYTES),
        ),
        max_size=12,
    ),
    st.integers(0, 3),
)
def test_no_talk_makes_it_raise_or_grow(talks, which):
    three = Voters()
    three.run(2.0)
    one = three.those[f"m{which % 3}"]
    for talk in talks:
        if talk.kind == raft.APPEND_ENTRIES and one.role == LEADER and talk.term == one.term:
            continue  # only a leader of its own term sends that, and there is one
        if talk.kind in (APPEND_ENTRIES, FETCHED_ENTRIES):
            talk = ConsensusMessage(
                PRE_VOTE_REQUEST,
                *[getattr(talk, key) for key in ConsensusMessage.__struct_fields__[1:]],
            )
        if talk.kind == INSTALL_SNAPSHOT and talk.arg3 > 2**22:
            assert not one.snapshot_chunks
        one.receive(talk, "m1", three.now)
        one.next_deadline()
        data = Seal((b"0123456789abcdef",)).seal(Datagram(6, 1, 1, consensus_messages=[talk]))
        assert Seal((b"0123456789abcdef",)).open(data).consensus_messages == [talk]
    assert len(one.snapshot_chunks) <= 5 and len(one.pending_reads) <= raft.MAX_PENDING_READS
