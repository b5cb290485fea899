"""Tests of the Raft node: model checking, mutants, elections, journals, snapshots and reads."""

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
def test_exhaustive_search_finds_one_log_and_one_leader_per_term(days):
    result = every(days.make(RaftNode), 4)
    assert result.deepest == 4 and not result.broken, result


@pytest.mark.parametrize("days", WALKS, ids=lambda days: days.what)
def test_random_walks_never_lose_a_committed_entry(days):
    result = days.gone_through(RaftNode, steps=20_000)
    assert not result.broken, (result.broken, result.path)


@pytest.mark.parametrize("name", QUICK)
def test_each_mutant_is_found_and_its_path_replays(name):
    days, broken, path = found(name)
    assert broken and replay(days.make(FAULTS[name]), path) == broken


# A cluster whose messages and disks are instantaneous.


class Cluster:
    """Voters and learners whose messages arrive at once and whose disks sync at once."""

    def __init__(self, count=3, learners=0, disks=None):
        config = {f"m{n}": n + 1 for n in range(count)}
        self.now = 0
        self.disks = disks or [
            [
                (raft.IDENTITY_RECORD, 256, n + 1),
                (raft.TERM_RECORD, 1, 0),
                *([(raft.ENTRY_RECORD, 1, 1, CONFIG_ENTRY, pack(config))] if n < count else []),
            ]
            for n in range(count + learners)
        ]
        self.nodes = {
            f"m{n}": RaftNode(f"m{n}", replay_journal(disk), Lines(), 0, Random(n))
            for n, disk in enumerate(self.disks)
        }
        self.partitioned = set()
        self.largest_message = 0

    def sync(self, node):
        self.disks[int(node.name[1:])] += node.pending_records
        node.pending_records = []
        node.on_records_synced(node.records_issued)

    def settle(self):
        """Sync disks and deliver messages until there are none."""
        for _ in range(400):
            sent = []
            for node in self.nodes.values():
                self.sync(node)
                sent += [(node.name, to, message) for to, message in node.take_messages()]
            if not sent:
                return
            for name, to, message in sent:
                self.largest_message = max(self.largest_message, encoded_size(message))
                if name not in self.partitioned and to not in self.partitioned and to in self.nodes:
                    self.nodes[to].receive(message, name, self.now)
        raise AssertionError("messages are still sent after 400 rounds")

    def run(self, seconds):
        """Let time pass; learners hear at once how far the others have committed."""
        deadline = self.now + int(seconds * SECOND)
        while self.now < deadline:
            self.now += SECOND // 20
            for node in self.nodes.values():
                if node.name not in self.partitioned:
                    for other in self.nodes.values():
                        if (
                            other.name not in self.partitioned
                            and other.commit_index > node.commit_index
                            and not node.is_voter
                        ):
                            node.on_commit_announced(
                                other.name, other.cluster_id, other.commit_index, other.term, 0
                            )
                    while node.next_deadline() <= self.now:
                        node.tick(self.now)
                        self.settle()

    @property
    def leader(self):
        return next(
            node
            for node in self.nodes.values()
            if node.role == LEADER and node.name not in self.partitioned
        )


def test_a_leader_is_elected_within_two_seconds_and_replaced_when_partitioned():
    cluster = Cluster()
    cluster.run(2.0)
    first = cluster.leader
    first.propose(COMMAND, b"one")
    cluster.settle()
    assert all(node.state_machine.all == [(3, b"one")] for node in cluster.nodes.values())
    cluster.partitioned.add(first.name)
    cluster.run(2.0)
    assert cluster.leader is not first
    first.propose(COMMAND, b"lost")  # it still believes that it leads
    cluster.leader.propose(COMMAND, b"two")
    cluster.settle()
    cluster.partitioned.clear()
    cluster.run(1.0)
    assert all(
        [data for _, data in node.state_machine.all] == [b"one", b"two"]
        for node in cluster.nodes.values()
    )


def test_a_partitioned_member_does_not_depose_the_leader_when_it_comes_back():
    cluster = Cluster()
    cluster.run(2.0)
    leader, term = cluster.leader, cluster.leader.term
    other = next(name for name in cluster.nodes if name != leader.name)
    cluster.partitioned.add(other)
    cluster.run(10.0)
    cluster.partitioned.clear()
    cluster.run(2.0)
    assert cluster.leader is leader and leader.term == term


def test_a_leader_without_a_quorum_bounds_its_uncommitted_entries_and_steps_down():
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.leader
    cluster.partitioned |= set(cluster.nodes) - {leader.name}
    for number in range(MAX_UNCOMMITTED + 10):
        leader.propose(COMMAND, b"%d" % number)
    assert leader.last_index - leader.commit_index == MAX_UNCOMMITTED
    cluster.run(3.0)
    assert leader.role != LEADER and not leader.propose(COMMAND, b"more")


def test_a_journal_replays_to_the_same_state_and_a_torn_one_to_a_prefix_of_it():
    cluster = Cluster()
    cluster.run(2.0)
    for number in range(30):
        cluster.leader.propose(COMMAND, b"c%d" % number)
        cluster.settle()
    for node, disk in zip(cluster.nodes.values(), cluster.disks):
        assert (
            replay_journal(disk)
            == node.persistent_state()
            == replay_journal(compact_journal(node.persistent_state()))
        )
        for end in range(3, len(disk)):
            assert (
                replay_journal(disk[:end]).entries
                == node.persistent_state().entries[: len(replay_journal(disk[:end]).entries)]
            )
    for wrong in (
        [(raft.ENTRY_RECORD, 5, 1, 2, b"")],
        [(9, 1)],
        [(raft.TERM_RECORD, 1)],
        [(raft.ENTRY_RECORD,)],
    ):
        with pytest.raises((ValueError, TypeError, IndexError)):
            replay_journal([(raft.IDENTITY_RECORD, 256, 1), *wrong])


def test_old_entries_are_compacted_and_lagging_members_learn_the_snapshot():
    cluster = Cluster(3, 1)
    cluster.partitioned.add("m3")
    cluster.run(2.0)
    away = next(name for name in ("m0", "m1", "m2") if name != cluster.leader.name)
    for number in range(COMPACTION_THRESHOLD + 100):
        if number == 50:
            cluster.partitioned.add(away)
        cluster.leader.propose(COMMAND, b"c%d" % number)
        cluster.settle()
    leader = cluster.leader
    assert leader.log_offset > RETAINED_ENTRIES and len(leader.entries) <= COMPACTION_THRESHOLD
    cluster.partitioned.clear()
    cluster.run(20.0)
    for node in cluster.nodes.values():
        assert (
            len(node.state_machine.all) == COMPACTION_THRESHOLD + 100
            and node.state_machine.all == leader.state_machine.all
        )
        restarted = RaftNode(
            node.name, replay_journal(cluster.disks[int(node.name[1:])]), Lines(), 0, Random(1)
        )
        assert restarted.config == leader.config and restarted.last_index == node.last_index
        assert (
            restarted.state_machine.all
            == node.state_machine.all[: len(restarted.state_machine.all)]
        )
    assert (
        cluster.nodes[away].counts["states_learned"]
        and cluster.nodes["m3"].counts["states_learned"]
    )
    assert cluster.largest_message <= MAX_CONSENSUS_BYTES + 100


def test_a_voter_with_a_replaced_disk_does_not_vote_until_it_is_added_again():
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.leader
    replaced = next(name for name in cluster.nodes if name != leader.name)
    cluster.disks[int(replaced[1:])] = [(raft.IDENTITY_RECORD, 0, 77)]
    replacement = cluster.nodes[replaced] = RaftNode(
        replaced, PersistentState(disk_id=77), Lines(), cluster.now, Random(9)
    )
    cluster.run(1.0)
    assert leader.match_index.get(replaced, 0) <= leader.last_index and not replacement.is_voter
    leader.is_from_voter = lambda message, sender: RaftNode.is_from_voter(leader, message, sender)
    assert not leader.is_from_voter(
        ConsensusMessage(raft.APPEND_RESPONSE, 256, 77, leader.term, 1, 99), replaced
    )
    config = leader.config
    assert (
        leader.change_voters({**config, replaced: 77})
        == "one voter at a time is added or taken away"
    )
    assert (
        leader.change_voters({name: disk for name, disk in config.items() if name != replaced})
        == ""
    )
    cluster.run(0.5)
    assert leader.change_voters({**leader.config, replaced: 77}) == ""
    cluster.run(0.5)
    assert replacement.is_voter and replacement.commit_index == leader.commit_index


def test_after_a_manual_recovery_the_others_join_the_survivors_cluster():
    cluster = Cluster()
    cluster.run(2.0)
    cluster.leader.propose(COMMAND, b"kept")
    cluster.settle()
    for name in ("m1", "m2"):
        cluster.nodes[name] = RaftNode(
            name, PersistentState(disk_id=50 + int(name[1:])), Lines(), cluster.now, Random(9)
        )
        cluster.disks[int(name[1:])] = []
    survivor = cluster.nodes["m0"]
    cluster.run(3.0)
    assert survivor.role != LEADER
    survivor.recover()
    cluster.run(2.0)
    assert survivor.role == LEADER and survivor.cluster_id == 257 and survivor.config == {"m0": 1}
    survivor.propose(COMMAND, b"more")
    cluster.run(3.0)
    for node in cluster.nodes.values():
        assert node.cluster_id == 257 and [data for _, data in node.state_machine.all] == [
            b"kept",
            b"more",
        ]
    assert (
        replay_journal(compact_journal(survivor.persistent_state())) == survivor.persistent_state()
    )


def test_a_read_index_is_answered_only_after_a_quorum_confirms_the_leader():
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.leader
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    follower.request_read_index(7)
    cluster.settle()
    assert follower.read_results == [(7, leader.commit_index)]
    cluster.partitioned |= set(cluster.nodes) - {leader.name}
    leader.request_read_index(8)
    cluster.settle()
    assert not leader.read_results
    for nonce in range(200):
        leader.on_read_index_request(
            ConsensusMessage(READ_INDEX_REQUEST, 256, 1, leader.term, nonce), "m9"
        )
    assert len(leader.pending_reads) <= raft.MAX_PENDING_READS


def test_response_with_more_entries_than_the_leader_has_is_ignored():
    """Guards against a leader that looks behind the end of its log for what to send next."""
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.leader
    voter = next(name for name in leader.config if name != leader.name)
    before = dict(leader.match_index), dict(leader.next_index), leader.commit_index
    for durable, matched in ((3, 0), (0, 3), (1, 1)):
        leader.on_append_response(
            ConsensusMessage(
                raft.APPEND_RESPONSE,
                leader.cluster_id,
                leader.config[voter],
                leader.term,
                1,
                leader.last_index + durable,
                leader.last_index + matched,
            ),
            voter,
        )
    assert (leader.match_index, leader.next_index, leader.commit_index) == before
    leader.propose(COMMAND, b"x")
    cluster.run(1.0)
    assert all(node.commit_index == leader.last_index for node in cluster.nodes.values())


def test_learners_cannot_overload_the_member_they_fetch_from():
    cluster = Cluster()
    cluster.run(2.0)
    for number in range(100):
        cluster.leader.propose(COMMAND, b"x" * 800 + b"%d" % number)
        cluster.settle()
    leader = cluster.leader
    for number in range(200):
        leader.receive(ConsensusMessage(FETCH_ENTRIES, 256, 9, 0, 1), f"x{number}", cluster.now)
    messages = leader.take_messages()
    assert len(messages) == MAX_SERVED_PER_HEARTBEAT and all(
        message.kind == FETCHED_ENTRIES for _, message in messages
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
def test_arbitrary_messages_neither_raise_nor_use_unbounded_memory(messages, which):
    cluster = Cluster()
    cluster.run(2.0)
    node = cluster.nodes[f"m{which % 3}"]
    for message in messages:
        if (
            message.kind == raft.APPEND_ENTRIES
            and node.role == LEADER
            and message.term == node.term
        ):
            continue  # a term has only one leader, which is this node
        if message.kind in (APPEND_ENTRIES, FETCHED_ENTRIES):
            message = ConsensusMessage(
                PRE_VOTE_REQUEST,
                *[getattr(message, key) for key in ConsensusMessage.__struct_fields__[1:]],
            )
        chunks = dict(node.snapshot_chunks)
        node.receive(message, "m1", cluster.now)
        if message.kind == INSTALL_SNAPSHOT and message.arg3 > 2**22:
            assert node.snapshot_chunks == chunks  # nothing is taken of a snapshot that large
        node.next_deadline()
        data = Seal((b"0123456789abcdef",)).seal(Datagram(6, 1, 1, consensus_messages=[message]))
        assert Seal((b"0123456789abcdef",)).open(data).consensus_messages == [message]
    assert len(node.snapshot_chunks) <= 5 and len(node.pending_reads) <= raft.MAX_PENDING_READS
