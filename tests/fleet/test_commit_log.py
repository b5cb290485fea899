"""Tests of what a start knows to be agreed, and of what a member alone goes by."""

from pathlib import Path
from random import Random

import pytest

from tests.kept_control_stage import Stage
from whinpier.fleet.consensus.commit_log import (
    COMMIT_MAGIC,
    MAX_BYTES,
    CommitLog,
    CommitPoint,
    committed_index,
)
from whinpier.fleet.consensus.node import (
    CONFIG_ENTRY,
    LEADER,
    PersistentState,
    RaftNode,
    compact_journal,
    pack,
    replay_journal,
)
from whinpier.fleet.messages import (
    APPEND_ENTRIES,
    FETCHED_ENTRIES,
    ConsensusMessage,
    LogEntry,
)
from whinpier.model_checking.consensus import COMMAND, Lines
from whinpier.policy.decaying_sum import SECOND
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

CLUSTER = 256
VOTERS = {"m0": 1, "m1": 2, "m2": 3}


def log_of(*terms):
    """Return a voter's disk with one command of each term behind the voters."""
    entries = [LogEntry(1, CONFIG_ENTRY, pack(VOTERS))]
    entries += [LogEntry(term, COMMAND, b"%d" % number) for number, term in enumerate(terms)]
    return PersistentState(CLUSTER, 1, max(terms), entries=entries)


def start_voter(state, committed=0):
    return RaftNode("m0", state, Lines(), 0, Random(1), committed_index=committed)


@pytest.mark.parametrize(
    "points, expected",
    [
        ([], 0),
        ([CommitPoint(CLUSTER, 3, 2)], 3),
        ([CommitPoint(CLUSTER, 3, 2), CommitPoint(CLUSTER, 4, 3)], 4),
        ([CommitPoint(CLUSTER, 3, 2), CommitPoint(CLUSTER, 4, 9)], 3),
        ([CommitPoint(CLUSTER, 3, 2), CommitPoint(CLUSTER, 5, 3)], 3),
        ([CommitPoint(CLUSTER + 1, 4, 3)], 0),
    ],
    ids=["none", "known", "last", "another entry", "beyond the log", "another cluster"],
)
def test_only_an_entry_that_the_log_has_is_committed(points, expected):
    """Guards against orders of an entry that was never agreed, where log and file are not of one age."""
    assert committed_index(log_of(1, 2, 3), points) == expected


def test_what_the_snapshot_covers_is_committed_without_the_file():
    """Guards against data of earlier builds that is read otherwise than before."""
    state = log_of(1, 2, 3)
    state.snapshot_index = 2
    assert committed_index(state, []) == 2
    assert committed_index(state, [CommitPoint(CLUSTER, 4, 3)]) == 4


def test_file_that_is_cut_short_at_any_byte_has_the_points_before_it(tmp_path):
    """Guards against a kill at any moment of a write."""
    path = tmp_path / "committed"
    points = [CommitPoint(CLUSTER, index, 1) for index in range(1, 6)]
    ends = []
    commits = CommitLog(str(path))
    assert commits.open() == []
    for point in points:
        commits.save(point)
        ends.append(commits.size)
    commits.close()
    whole = path.read_bytes()
    for size in range(len(whole) + 1):
        path.write_bytes(whole[:size])
        commits = CommitLog(str(path))
        assert commits.open() == points[: sum(end <= size for end in ends)]
        commits.save(points[-1])
        commits.close()


def test_form_of_the_file_is_kept(tmp_path):
    """Guards against a build that can't read what this one has written."""
    commits = CommitLog(str(tmp_path / "committed"))
    commits.open()
    commits.save(CommitPoint(CLUSTER, 3, 2))
    commits.close()
    head = bytes.fromhex("00000006462abcae")
    body = bytes.fromhex("93cd01000302")
    written = (tmp_path / "committed").read_bytes()
    assert written == b"whinpier bank committed 1\n" + head + body


def test_file_is_bounded_and_keeps_the_last_point(tmp_path):
    """Guards against a file that grows with each entry."""
    commits = CommitLog(str(tmp_path / "committed"))
    commits.open()
    commits._log.append(
        b"".join(encode_record(CommitPoint(CLUSTER, 1, 1)) for _ in range(MAX_BYTES // 12))
    )
    assert commits.size > MAX_BYTES
    commits.save(CommitPoint(CLUSTER, 7, 2))
    assert commits.size < 100
    commits.close()
    assert CommitLog(str(tmp_path / "committed")).open() == [CommitPoint(CLUSTER, 7, 2)]


def test_file_with_another_record_is_refused_by_name(tmp_path):
    """Guards against a start that goes by something else than it was told."""
    other = AppendLog(str(tmp_path / "committed"), COMMIT_MAGIC)
    other.open()
    other.append(encode_record([1, 2]))
    other.close()
    commits = CommitLog(str(tmp_path / "committed"))
    with pytest.raises(AppendLogError, match="committed: has a record that is no commit"):
        commits.open()


def test_voter_alone_after_a_restart_knows_what_was_agreed():
    """Guards against a start that goes by nothing until it hears a leader, who may never come."""
    voter = start_voter(log_of(1, 2, 3), committed=3)
    assert voter.commit_index == 3 and [data for _, data in voter.state_machine.all] == [b"0", b"1"]


def test_recovery_after_a_restart_goes_on_from_the_whole_log():
    """Guards against a recovery by hand that drops what was agreed, first of all on the disk."""
    voter = start_voter(log_of(1, 2, 3))
    voter.recover()
    voter.tick(SECOND)
    disk = replay_journal(voter.pending_records)
    voter.on_records_synced(voter.records_issued)
    assert voter.role == LEADER and voter.config == {"m0": 1}
    assert [data for _, data in voter.state_machine.all] == [b"0", b"1", b"2"]
    assert [entry.data for entry in disk.entries[1:4]] == [b"0", b"1", b"2"]
    assert replay_journal(compact_journal(voter.persistent_state())) == voter.persistent_state()


def test_restarted_voter_is_up_to_date_only_once_its_leaders_commit_is_its_own():
    """Guards against a start that takes what it knew before for all that there is."""
    voter = start_voter(log_of(1, 1, 1), committed=2)

    def hear(commit):
        leader = ConsensusMessage(APPEND_ENTRIES, CLUSTER, 2, 1, 4, 1, commit, 1)
        voter.receive(leader, "m1", SECOND)
        return voter.has_latest_commit()

    assert not voter.has_latest_commit()
    assert [hear(5), hear(4)] == [False, True]


# One process, on a clock that stands still.


@pytest.fixture
def stage(monkeypatch, tmp_path):
    """A process that leads alone and has drained an upstream."""
    stage = Stage(monkeypatch, tmp_path)
    stage.advance(3_000)
    stage.ask(
        b'{"ask":"command","id":1,"name":"drain","value":{"id":7,"who":"a","name":"s-0","pool":"t"}}\n'
    )
    stage.advance(3_000)
    assert stage.process.pools["t"].drained_hosts == {"s-0"}
    return stage


def test_drain_stays_in_force_while_the_log_of_a_recovered_cluster_is_learned(stage):
    """Guards against work for a drained upstream from members that change over to a recovered cluster."""
    agreed = stage.link.agreed
    pool = stage.process.pools["t"]
    entries = list(agreed.node.entries)
    agreed.node.step_down("recovered elsewhere")
    agreed.node.on_commit_announced("m1", agreed.node.cluster_id + 1, len(entries))

    def learn(first, last):
        message = ConsensusMessage(
            FETCHED_ENTRIES, agreed.node.cluster_id, 9, 0, first, entries=entries[first - 1 : last]
        )
        agreed.node.receive(message, "m1", agreed.node.now)
        agreed.flush()
        assert pool.drained_hosts == {"s-0"}

    agreed.flush()
    assert pool.drained_hosts == {"s-0"} and not agreed.state_machine.state.drains
    learn(1, 2)
    assert agreed.is_relearning and not agreed.state_machine.state.drains
    learn(3, len(entries))
    assert not agreed.is_relearning and agreed.state_machine.state.drains


def test_member_reports_only_what_a_restart_would_know(stage, monkeypatch):
    """Guards against a drain that is said to be done everywhere and is forgotten by a kill."""
    agreed = stage.link.agreed
    before = agreed.node.commit_index
    save = agreed.commit_log.save

    def fail(point):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(agreed.commit_log, "save", fail)
    agreed.node.propose(COMMAND, b"x")
    stage.write()
    assert agreed.node.commit_index > before == agreed.build_report().applied_index
    assert agreed.disk_error and agreed.has_unsaved_commit()
    monkeypatch.setattr(agreed.commit_log, "save", save)
    agreed.node.propose(COMMAND, b"y")
    stage.write()
    assert agreed.build_report().applied_index == agreed.node.commit_index
    assert not agreed.disk_error


def test_release_stays_in_force_where_nothing_agreed_is_known(stage):
    """Guards against a member alone that drops its released file for want of any order."""
    agreed = stage.link.agreed
    agreed.running_content = "ab"
    agreed.node.join_cluster(agreed.node.cluster_id + 1)
    agreed.flush()
    assert not agreed.switching and not agreed.knows_orders()
    assert Path(agreed.commit_log.path).exists()
