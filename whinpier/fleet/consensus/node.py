"""Replicates one ordered log among a few voters of the fleet; every other member learns it.

Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
section numbers below are of Ongaro's dissertation): leader election with pre-vote (9.6), log
replication (3.5), membership changes one voter at a time (4.1), leadership transfer (3.10), log
compaction by snapshots (5) and linearizable reads by read index (6.4). Members that are not voters
are learners: they fetch committed entries from whichever member is ahead of them.

`RaftNode` does no I/O. It is given messages, the time, random numbers and the count of journal
records that are on disk; it yields messages, journal records and committed entries. Invariants: a
term or a vote is on disk before any message shows it; an entry counts as stored only once it is on
disk; a node votes at most once in a term; only committed entries are applied.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import msgspec

from whinpier.fleet.messages import (
    APPEND_ENTRIES,
    APPEND_RESPONSE,
    FETCH_ENTRIES,
    FETCHED_ENTRIES,
    FORWARD_COMMAND,
    INSTALL_SNAPSHOT,
    LOG_COMPACTED,
    MAX_CONSENSUS_BYTES,
    MAX_LOG_ENTRIES,
    MAX_LOG_ENTRY_BYTES,
    PRE_VOTE_REQUEST,
    PRE_VOTE_RESPONSE,
    READ_INDEX_REQUEST,
    READ_INDEX_RESPONSE,
    TIMEOUT_NOW,
    VOTE_REQUEST,
    VOTE_RESPONSE,
    ConsensusMessage,
    LogEntry,
)
from whinpier.policy.decaying_sum import SECOND

MS = SECOND // 1000

# Roles, and their names in the status that operators see.
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = range(4)
ROLES = ("follower", "about to ask", "candidate", "leader")

# Kinds of log entries that the log itself interprets; all higher kinds are commands.
NO_OP_ENTRY, CONFIG_ENTRY = range(2)

MAX_VOTERS = 9  # each further voter is one more disk that may delay a commit
COMPACTION_THRESHOLD = 768  # log entries beyond which the oldest are replaced by a snapshot
RETAINED_ENTRIES = 256  # entries that survive a compaction, for members that lag by fewer
MAX_UNCOMMITTED = 256  # entries: bounds a leader's memory while it is partitioned from the others
MAX_PENDING_READS = 64
MAX_SNAPSHOT_BYTES = 4 << 20  # of a snapshot that is fetched from another member
SNAPSHOT_CHUNK_BYTES = 900
MAX_MESSAGES_PER_FETCH = 12  # chunks, or messages with entries
MAX_SERVED_PER_HEARTBEAT = 12  # messages to learners: 60 kB/s however many of them fetch
MAX_PEERS_AHEAD = 4_096  # members whose commit index is remembered
# A cluster id is a random number times this, plus how often the cluster was recovered by hand.
CLUSTER_ID_STRIDE = 256
# Bytes of a message that are left free for its other fields, and that an entry takes beside its data.
MESSAGE_OVERHEAD_BYTES = 80
ENTRY_OVERHEAD_BYTES = 12

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder().decode


@dataclass(frozen=True)
class RaftTiming:
    """Time-outs in nanoseconds. With the defaults a leader is replaced within two seconds of its death."""

    heartbeat_interval: int = 200 * MS
    election_timeout: int = 900 * MS  # the shortest; each one is random, up to twice as long
    retry_interval: int = 300 * MS  # between two fetches of the same entries


DEFAULT_TIMING = RaftTiming()


@dataclass
class PersistentState:
    """What a member has on disk of the log."""

    cluster_id: int = 0  # 0: not yet part of a cluster
    disk_id: int = 0  # drawn when the journal is created; a voter is a name with its disk id
    term: int = 0
    voted_for: int = 0  # disk id that got the vote of this term; 0: none
    log_offset: int = 0  # index of the entry before `entries`
    log_offset_term: int = 0  # term of that entry
    snapshot_index: int = 0  # index of the last entry that `snapshot` covers
    snapshot: bytes = b""
    entries: list[LogEntry] = field(default_factory=list)


# A journal record is its kind and the values that `replay_journal` reads.
JournalRecord = tuple[Any, ...]
IDENTITY_RECORD, TERM_RECORD, ENTRY_RECORD, SNAPSHOT_RECORD = range(4)


def replay_journal(records: Iterable[JournalRecord]) -> PersistentState:
    """Return the state that journal records, in order, describe.

    Raises ValueError, TypeError or IndexError for records that are malformed or out of order.
    """
    state = PersistentState()
    for kind, *values in records:
        if kind == IDENTITY_RECORD:
            state = PersistentState(*values)
        elif kind == TERM_RECORD:
            state.term, state.voted_for = values
        elif kind == ENTRY_RECORD:
            _replay_entry(state, *values)
        elif kind == SNAPSHOT_RECORD:
            _replay_snapshot(state, *values)
        else:
            raise ValueError(
                f"journal record of kind {kind}; kinds {IDENTITY_RECORD} to {SNAPSHOT_RECORD} are known"
            )
    return state


def _replay_entry(state: PersistentState, index: int, term: int, kind: int, data: bytes) -> None:
    """Append an entry, in place of those from its index on."""
    last_index = state.log_offset + len(state.entries)
    if not state.log_offset < index <= last_index + 1:
        raise ValueError(
            f"log entry {index} out of order; {state.log_offset + 1} to {last_index + 1} can follow"
        )
    del state.entries[index - state.log_offset - 1 :]
    state.entries.append(LogEntry(term, kind, data))


def _replay_snapshot(
    state: PersistentState, snapshot_index: int, snapshot: bytes, offset: int, offset_term: int
) -> None:
    """Take over a snapshot and drop the log up to `offset`, or all of it where it does not match."""
    skipped = offset - state.log_offset
    is_in_log = 0 <= skipped <= len(state.entries)
    retained = state.entries[skipped:] if is_in_log else []
    if is_in_log and skipped > 0 and state.entries[skipped - 1].term != offset_term:
        retained = []
    state.snapshot_index = snapshot_index
    state.snapshot = snapshot
    state.entries = retained
    state.log_offset = offset
    state.log_offset_term = offset_term


def compact_journal(state: PersistentState) -> list[JournalRecord]:
    """Return the fewest journal records from which `replay_journal` gives this state."""
    header: list[JournalRecord] = [
        (IDENTITY_RECORD, state.cluster_id, state.disk_id),
        (TERM_RECORD, state.term, state.voted_for),
        (
            SNAPSHOT_RECORD,
            state.snapshot_index,
            state.snapshot,
            state.log_offset,
            state.log_offset_term,
        ),
    ]
    return header + [
        (ENTRY_RECORD, index, entry.term, entry.kind, entry.data)
        for index, entry in enumerate(state.entries, state.log_offset + 1)
    ]


class StateMachine(Protocol):
    """Applies the committed commands of the log."""

    def apply(self, index: int, entry: LogEntry) -> None:
        """Apply the next committed command."""

    def snapshot(self) -> bytes:
        """Return the whole state, as `restore` takes it."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; an empty one stands for the initial state."""

    def has_applied(self, data: bytes) -> bool:
        """Return whether this command was applied already."""


class RaftNode:
    """Take part in the replicated log as one member: voter or learner."""

    def __init__(
        self,
        name: str,
        state: PersistentState,
        state_machine: StateMachine,
        now: int,
        random: Random,
        timing: RaftTiming = DEFAULT_TIMING,
        vote_delay: int = 0,
        committed_index: int = 0,
    ) -> None:
        """Continue from what is on disk.

        `vote_delay`: nanoseconds during which the node neither votes nor stands for election, so
        that others can tell it first that its disk is an old copy. `committed_index`: the last entry
        that a former run knew to be committed.
        """
        self.name = name
        self.state_machine = state_machine
        self.timing = timing
        self.now = now
        self.random = random.random
        self.sample = random.sample
        # What is on disk, or will be once `pending_records` are.
        self.cluster_id = state.cluster_id
        self.disk_id = state.disk_id
        self.term = state.term
        self.voted_for = state.voted_for
        self.log_offset = state.log_offset
        self.log_offset_term = state.log_offset_term
        self.entries = list(state.entries)
        self.snapshot_index = state.snapshot_index
        self.snapshot = state.snapshot
        self.commit_index = self.last_applied = state.snapshot_index
        # Voters with their disk ids, by the index of the entry from which on they hold.
        self.configs: list[tuple[int, dict[str, int]]] = []
        # The journal. Records are numbered from 1 in the order in which they are issued.
        self.pending_records: list[JournalRecord] = []  # not yet taken for writing
        self.records_issued = 0
        self.records_synced = 0
        self.term_record = 0  # number of the record with the latest term or vote
        self.durable_index = self.last_index  # last entry that is on disk
        # Number of the record and index of the entry, for entries not yet on disk.
        self.unsynced_entries = deque[tuple[int, int]]()
        # Number of the record to wait for, recipient, message.
        self.outbox: deque[tuple[int, str, ConsensusMessage]] = deque()
        self.role = FOLLOWER
        self.leader = ""
        self.votes: set[str] = set()
        # A leader's view of the other voters, by name.
        self.next_index: dict[str, int] = {}  # first entry to send next
        self.match_index: dict[str, int] = {}  # last entry of this log on the voter's disk
        self.acked_rounds: dict[str, int] = {}  # last round of AppendEntries it answered
        self.in_flight_since: dict[str, int] = {}  # when entries were sent that it has not answered
        self.sent_commit_index: dict[str, int] = {}
        self.last_response_at: dict[str, int] = {}
        self.round = 0  # counts broadcasts of AppendEntries
        self.matched_index = 0  # a follower's last entry that is known to be in the leader's log
        self.leader_commit_index = 0  # a follower's last word from its leader
        self.leader_hint_term = 0  # term of the latest announcement from which `leader` was taken
        # Round that must be answered, requester, nonce, commit index when it was asked for.
        self.pending_reads: list[tuple[int, str, int, int]] = []
        self.read_results: list[tuple[int, int]] = []  # nonce and read index of local requests
        self.peers_ahead: dict[str, int] = {}  # commit index of members with a higher one than here
        self.last_fetch_at = now - timing.retry_interval
        self.snapshot_chunks = dict[int, bytes]()  # by offset
        self.incoming_snapshot = (0, 0, 0)  # its last index, 0, its size in bytes
        self.served_messages = 0  # sent to learners since `served_since`
        self.served_since = now
        self.leader_contact_at = now - 2 * timing.election_timeout
        self.vote_allowed_at = now + vote_delay
        self.heartbeat_due = now
        self.reset_election_timer()
        self.retained_entries = RETAINED_ENTRIES
        self.max_entries_per_append = MAX_LOG_ENTRIES
        self.counts: Counter[str] = Counter()
        self.events: list[tuple[str, dict[str, Any]]] = []  # name and fields, for the log
        if state.snapshot:
            self.load_snapshot(state.snapshot)
        self.load_configs()
        self.commit_through(committed_index)

    # Log and journal.

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self.log_offset + len(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index; up to `log_offset` that of the last dropped one."""
        if index <= self.log_offset:
            return self.log_offset_term
        return self.entry(index).term

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be above `log_offset`."""
        return self.entries[index - self.log_offset - 1]

    @property
    def config(self) -> dict[str, int]:
        """Voters with their disk ids by the latest configuration entry, committed or not (4.1)."""
        return self.configs[-1][1] if self.configs else {}

    def load_configs(self) -> None:
        """Read the configuration entries behind the snapshot."""
        for index, entry in enumerate(self.entries, self.log_offset + 1):
            if entry.kind == CONFIG_ENTRY and index > self.snapshot_index:
                self.configs.append((index, unpack(entry.data)))

    @property
    def is_voter(self) -> bool:
        """Whether this member, with this disk, is a voter."""
        return self.config.get(self.name) == self.disk_id

    def other_voters(self) -> list[str]:
        """Return the names of the voters but for this one."""
        return [name for name in self.config if name != self.name]

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Return whether the voters among these names are more than half of all voters."""
        config = self.config
        return 2 * sum(name in config for name in set(names)) > len(config)

    def add_record(self, *record: Any) -> int:
        """Issue a journal record and return its number."""
        self.pending_records.append(record)
        self.records_issued += 1
        return self.records_issued

    def append_entry(self, index: int, entry: LogEntry) -> None:
        """Store an entry as the last one; uncommitted entries from its index on are removed."""
        if index <= self.last_index:
            self.truncate_from(index)
        self.entries.append(entry)
        record = self.add_record(ENTRY_RECORD, index, entry.term, entry.kind, entry.data)
        self.unsynced_entries.append((record, index))
        if entry.kind == CONFIG_ENTRY:
            self.configs.append((index, unpack(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from an index on."""
        assert index > self.commit_index, "committed entries are never removed"
        del self.entries[index - self.log_offset - 1 :]
        self.durable_index = min(self.durable_index, index - 1)
        self.unsynced_entries = deque(
            (record, min(last, index - 1)) for record, last in self.unsynced_entries
        )
        while self.configs and self.configs[-1][0] >= index:
            self.configs.pop()

    def set_term_and_vote(self, term: int, voted_for: int) -> None:
        """Record a term and the disk id that has this node's vote in it (0: none)."""
        if term != self.term:
            self.matched_index = 0
        self.term = term
        self.voted_for = voted_for
        self.term_record = self.add_record(TERM_RECORD, term, voted_for)

    def on_records_synced(self, count: int) -> None:
        """Take note that the first `count` journal records ever issued are on disk."""
        self.records_synced = max(self.records_synced, count)
        previous_durable_index = self.durable_index
        while self.unsynced_entries and self.unsynced_entries[0][0] <= self.records_synced:
            self.durable_index = max(self.durable_index, self.unsynced_entries.popleft()[1])
        if self.role == CANDIDATE and self.term_record <= self.records_synced:
            self.votes.add(self.name)
            self.count_votes()
        if self.durable_index > previous_durable_index:
            if self.role == LEADER:
                self.advance_commit_index()
            elif self.leader and self.matched_index:
                self.send(
                    self.leader, APPEND_RESPONSE, 1, self.durable_match_index(), self.matched_index
                )

    # Sending.

    def send(
        self,
        to: str,
        kind: int,
        arg1: int = 0,
        arg2: int = 0,
        arg3: int = 0,
        arg4: int = 0,
        entries: list[LogEntry] | None = None,
        data: bytes = b"",
        term: int | None = None,
    ) -> None:
        """Queue a message; the numbers and `term` (default: the current one) depend on its kind."""
        message = ConsensusMessage(
            kind,
            self.cluster_id,
            self.disk_id,
            self.term if term is None else term,
            arg1,
            arg2,
            arg3,
            arg4,
            entries or [],
            data,
        )
        self.outbox.append((self.sync_barrier(), to, message))

    def sync_barrier(self) -> int:
        """Return the number of the journal record that must be on disk before a message is sent.

        It is that of the latest term and vote: both are durable before any other member sees them.
        """
        return self.term_record

    def take_messages(self) -> list[tuple[str, ConsensusMessage]]:
        """Remove and return the messages that may be sent now, with their recipients."""
        ready = []
        while self.outbox and self.outbox[0][0] <= self.records_synced:
            _, to, message = self.outbox.popleft()
            ready.append((to, message))
        return ready

    # Timers.

    def reset_election_timer(self) -> None:
        """Give the leader one more election time-out, randomized against split votes (3.4)."""
        timeout = int(self.timing.election_timeout * (1.0 + self.random()))
        self.election_due = self.now + timeout

    def next_deadline(self) -> int:
        """Return the time at which `tick` is to be called next."""
        if self.role == LEADER:
            return self.heartbeat_due
        retry_at = self.last_fetch_at + self.timing.retry_interval
        deadline = retry_at if self.is_behind() else self.now + SECOND
        if self.is_voter:
            deadline = min(deadline, max(self.election_due, self.vote_allowed_at))
        return deadline

    def tick(self, now: int) -> None:
        """Do what is due: heartbeats, an election, a fetch."""
        self.now = max(self.now, now)
        if self.role == LEADER:
            if now >= self.heartbeat_due:
                self.check_quorum()
            if self.role == LEADER and now >= self.heartbeat_due:
                self.broadcast(True)
        elif self.is_voter and now >= self.election_due and now >= self.vote_allowed_at:
            self.start_pre_vote()
        if self.is_behind() and now >= self.last_fetch_at + self.timing.retry_interval:
            self.fetch_missing()

    def check_quorum(self) -> None:
        """Step down unless a quorum has answered of late: it may have another leader (6.2)."""
        responsive = [
            name
            for name, at in self.last_response_at.items()
            if self.now - at <= 2 * self.timing.election_timeout
        ]
        if not self.is_quorum([self.name, *responsive]):
            self.step_down("unheard")

    # Elections.

    def start_pre_vote(self) -> None:
        """Ask whether a quorum would vote for this node before the term is raised (9.6).

        A node that was partitioned thus does not depose a working leader when it comes back.
        """
        self.reset_election_timer()
        self.role = PRE_CANDIDATE
        self.leader = ""
        self.votes = {self.name}
        self.counts["early"] += 1
        for name in self.other_voters():
            self.send(
                name,
                PRE_VOTE_REQUEST,
                self.last_index,
                self.term_at(self.last_index),
                term=self.term + 1,
            )
        if self.is_quorum(self.votes):
            self.start_election()

    def start_election(self, is_transfer: bool = False) -> None:
        """Stand for election in the next term; `is_transfer`: the leader has asked for it."""
        self.role = CANDIDATE
        self.leader = ""
        self.votes = set()  # the own vote counts once it is on disk
        self.reset_election_timer()
        self.set_term_and_vote(self.term + 1, self.disk_id)
        self.counts["elections"] += 1
        for name in self.other_voters():
            self.send(
                name, VOTE_REQUEST, self.last_index, self.term_at(self.last_index), int(is_transfer)
            )

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as up-to-date as this one (3.6.1)."""
        return (last_term, last_index) >= (self.term_at(self.last_index), self.last_index)

    def has_leader_contact(self) -> bool:
        """Return whether a leader was heard within the shortest election time-out."""
        return (
            self.role == LEADER or self.now - self.leader_contact_at < self.timing.election_timeout
        )

    def on_pre_vote_request(self, message: ConsensusMessage, sender: str) -> None:
        """Answer whether this node would vote for the sender."""
        is_granted = (
            message.term > self.term
            and self.is_up_to_date(message.arg1, message.arg2)
            and not self.has_leader_contact()
            and self.now >= self.vote_allowed_at
        )
        self.send(
            sender,
            PRE_VOTE_RESPONSE,
            int(is_granted),
            term=message.term if is_granted else self.term,
        )

    def on_pre_vote_response(self, message: ConsensusMessage, sender: str) -> None:
        """Count a pre-vote; a quorum of them starts the election."""
        is_granted = self.role == PRE_CANDIDATE and message.arg1 and message.term == self.term + 1
        if is_granted and self.is_from_voter(message, sender):
            self.votes.add(sender)
            if self.is_quorum(self.votes):
                self.start_election()

    def on_vote_request(self, message: ConsensusMessage, sender: str) -> None:
        """Answer RequestVote (3.4)."""
        if message.term == self.term and self.can_grant_vote(message):
            if not self.voted_for:
                self.role = FOLLOWER
                self.set_term_and_vote(self.term, message.disk_id)
            self.reset_election_timer()
            self.send(sender, VOTE_RESPONSE, 1)
        else:
            self.send(sender, VOTE_RESPONSE, 0)

    def can_grant_vote(self, message: ConsensusMessage) -> bool:
        """Return whether this node may vote for a candidate of the current term."""
        return (
            self.voted_for in (0, message.disk_id)
            and self.now >= self.vote_allowed_at
            and self.is_up_to_date(message.arg1, message.arg2)
        )

    def on_vote_response(self, message: ConsensusMessage, sender: str) -> None:
        """Count a vote for this node."""
        if (
            self.role == CANDIDATE
            and message.term == self.term
            and message.arg1
            and self.is_from_voter(message, sender)
        ):
            self.votes.add(sender)
            self.count_votes()

    def is_from_voter(self, message: ConsensusMessage, sender: str) -> bool:
        """Return whether a message comes from the disk that is the voter under its sender's name."""
        return self.config.get(sender) == message.disk_id

    def count_votes(self) -> None:
        """Become the leader once a quorum has voted for this node."""
        if self.role == CANDIDATE and self.is_quorum(self.votes):
            self.become_leader()

    def become_leader(self) -> None:
        """Lead, beginning with a no-op entry: only an entry of its own term commits earlier ones."""
        self.role = LEADER
        self.leader = self.name
        self.next_index = {}
        self.match_index = {}
        self.in_flight_since = {}
        self.sent_commit_index = {}
        self.acked_rounds = {}
        self.pending_reads = []
        self.last_response_at = dict.fromkeys(self.other_voters(), self.now)
        self.counts["led"] += 1
        self.events.append(("consensus_leader_elected", {"term": self.term}))
        self.append_as_leader(NO_OP_ENTRY, b"")

    def step_down(self, why: str) -> None:
        """Become a follower."""
        if self.role == LEADER:
            self.events.append(("agreement_led", {"term": self.term, "why": why}))
        if self.leader == self.name:
            self.leader = ""
        self.role = FOLLOWER
        self.votes = set()
        self.pending_reads = []
        self.reset_election_timer()

    def transfer_leadership(self) -> None:
        """Ask the voter with the longest matching log to stand for election at once (3.10)."""
        if self.role == LEADER and self.match_index:
            successor = max(self.match_index, key=lambda name: (self.match_index[name], name))
            if successor in self.config:
                self.send(successor, TIMEOUT_NOW)

    # Replication.

    def append_as_leader(self, kind: int, data: bytes) -> int:
        """Append an entry of the current term, send it to the voters and return its index."""
        index = self.last_index + 1
        self.append_entry(index, LogEntry(self.term, kind, data))
        self.broadcast(False)
        return index

    def broadcast(self, is_heartbeat: bool) -> None:
        """Begin a round of AppendEntries.

        Heartbeats go to all voters. Otherwise those that have yet to answer are left out, except
        while reads wait for a round to be answered.
        """
        self.round += 1
        if is_heartbeat:
            self.heartbeat_due = self.now + self.timing.heartbeat_interval
        for name in self.other_voters():
            if is_heartbeat or name not in self.in_flight_since or self.pending_reads:
                self.send_entries(name)

    def send_entries(self, name: str) -> None:
        """Send AppendEntries to one voter: its next entries and the commit index."""
        first = max(self.next_index.setdefault(name, self.last_index), self.log_offset + 1)
        last = min(self.last_index, first + self.max_entries_per_append - 1)
        entries = self.entries_for_message(first, last)
        if entries:
            self.in_flight_since[name] = self.now
        self.sent_commit_index[name] = self.commit_index
        self.send(
            name,
            APPEND_ENTRIES,
            first - 1,
            self.term_at(first - 1),
            self.commit_index,
            self.round,
            entries,
        )

    def entries_for_message(self, first: int, last: int) -> list[LogEntry]:
        """Return as many of the entries from `first` to `last` as fit into one message.

        The first one is returned in any case, if there is one.
        """
        entries = list[LogEntry]()
        remaining_bytes = MAX_CONSENSUS_BYTES - MESSAGE_OVERHEAD_BYTES
        for index in range(first, min(last, first + MAX_LOG_ENTRIES - 1) + 1):
            entry = self.entry(index)
            remaining_bytes -= len(entry.data) + ENTRY_OVERHEAD_BYTES
            if remaining_bytes < 0 and entries:
                break
            entries.append(entry)
        return entries

    def on_append_entries(self, message: ConsensusMessage, sender: str) -> None:
        """Follow the sender, store its entries and commit what it has committed (3.5)."""
        previous_index = message.arg1
        leader_commit = message.arg3
        round_number = message.arg4
        if message.term < self.term:
            self.send(sender, APPEND_RESPONSE, 0, 0, 0, 0)
            return
        self.leader_commit_index = leader_commit
        if self.leader != sender:
            self.leader = sender
            self.events.append(("agreement_follows", {"leader": sender, "term": self.term}))
        if self.role != FOLLOWER:
            self.role = FOLLOWER
            self.votes = set()
        self.leader_contact_at = self.now
        self.reset_election_timer()
        if not self.matches_previous_entry(message):
            self.send(
                sender, APPEND_RESPONSE, 0, self.conflict_index(previous_index), 0, round_number
            )
            return
        for index, entry in enumerate(message.entries, previous_index + 1):
            is_present = index <= self.last_index and self.term_at(index) == entry.term
            if index <= self.log_offset or is_present:
                continue
            self.append_entry(index, entry)
        last_new_index = previous_index + len(message.entries)
        self.matched_index = max(self.matched_index, last_new_index)
        self.send(
            sender, APPEND_RESPONSE, 1, self.durable_match_index(), self.matched_index, round_number
        )
        self.commit_through(min(leader_commit, last_new_index))

    def durable_match_index(self) -> int:
        """Return the last entry of the leader's log that is on this node's disk."""
        return min(self.durable_index, self.matched_index)

    def matches_previous_entry(self, message: ConsensusMessage) -> bool:
        """Return whether the entry before those of an AppendEntries is the same in both logs."""
        previous_index = message.arg1
        previous_term = message.arg2
        return previous_index <= self.last_index and (
            previous_index < self.log_offset or self.term_at(previous_index) == previous_term
        )

    def conflict_index(self, index: int) -> int:
        """Return the index from which a leader is to send after a mismatch at `index`.

        It is the first entry of the conflicting term (the optimization at the end of 3.5).
        """
        if index > self.last_index:
            return self.last_index + 1
        term = self.term_at(index)
        while index > self.commit_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return max(index, self.commit_index + 1)

    def on_append_response(self, message: ConsensusMessage, sender: str) -> None:
        """Move a voter's next and match index, and send it what it lacks."""
        if (
            self.role != LEADER
            or message.term != self.term
            or not self.is_from_voter(message, sender)
        ):
            return
        is_success = message.arg1
        if is_success and max(message.arg2, message.arg3) > self.last_index:
            return  # no voter that follows this leader has more entries than it
        self.last_response_at[sender] = self.now
        self.acked_rounds[sender] = max(self.acked_rounds.get(sender, 0), message.arg4)
        self.in_flight_since.pop(sender, None)
        if is_success:
            self.match_index[sender] = max(self.match_index.get(sender, 0), message.arg2)
            self.next_index[sender] = max(self.next_index.get(sender, 1), message.arg3 + 1)
            self.advance_commit_index()
            lacks_something = (
                self.next_index[sender] <= self.last_index
                or self.sent_commit_index.get(sender, 0) < self.commit_index
            )
            if lacks_something and sender not in self.in_flight_since:
                self.send_entries(sender)
        elif message.arg2 > self.match_index.get(sender, 0):
            self.next_index[sender] = min(message.arg2, self.last_index + 1)
            if self.next_index[sender] <= self.log_offset:
                # The entries that the voter lacks are compacted away: it has to fetch the snapshot.
                self.send(sender, LOG_COMPACTED, self.commit_index)
            else:
                self.send_entries(sender)
        self.answer_pending_reads()

    def advance_commit_index(self) -> None:
        """Commit what a quorum has on disk, up to an entry of the current term.

        Entries of earlier terms are committed only together with such an entry (3.6.2, figure 3.7).
        """
        for index in range(self.last_index, self.commit_index, -1):
            if self.term_at(index) != self.term:
                return
            holders = [name for name, match in self.match_index.items() if match >= index]
            if self.durable_index >= index:
                holders.append(self.name)
            if self.is_quorum(holders):
                self.commit_through(index)
                self.broadcast(False)
                return

    def commit_through(self, index: int) -> None:
        """Commit the entries up to an index and apply their commands."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            entry = self.entry(self.last_applied)
            if entry.kind > CONFIG_ENTRY:
                self.state_machine.apply(self.last_applied, entry)
        if self.role == LEADER and self.name not in self.config:
            self.step_down("votes no longer")
        self.peers_ahead = {
            name: commit for name, commit in self.peers_ahead.items() if commit > self.commit_index
        }
        if len(self.entries) > COMPACTION_THRESHOLD:
            self.compact()

    # Snapshots.

    def compact(self) -> None:
        """Take a snapshot and drop all applied entries but the last `retained_entries` (5.1)."""
        offset = min(self.last_applied, self.last_index - self.retained_entries)
        if offset <= self.log_offset:
            return
        covered_configs = [config for config in self.configs if config[0] <= self.last_applied]
        snapshot = pack(
            (
                self.last_applied,
                self.term_at(self.last_applied),
                covered_configs[-1] if covered_configs else (0, {}),
                self.state_machine.snapshot(),
            )
        )
        offset_term = self.term_at(offset)
        self.entries = self.entries[offset - self.log_offset :]
        self.log_offset = offset
        self.log_offset_term = offset_term
        self.snapshot_index = self.last_applied
        self.snapshot = snapshot
        self.add_record(SNAPSHOT_RECORD, self.snapshot_index, snapshot, offset, offset_term)
        self.configs = covered_configs[-1:] + [
            config for config in self.configs if config[0] > self.last_applied
        ]

    def load_snapshot(self, snapshot: bytes) -> tuple[int, int]:
        """Restore the state machine and the voters; return the snapshot's last index and its term."""
        index, term, (config_index, config), machine_state = unpack(snapshot)
        self.configs = [(config_index, config)]
        self.state_machine.restore(machine_state)
        return index, term

    # Membership changes, commands and reads.

    def change_voters(self, config: dict[str, int]) -> str:
        """Begin to add or remove one voter (4.1); return why it can't be done now, or nothing."""
        if self.role != LEADER:
            return "this member does not lead"
        if self.term_at(self.commit_index) != self.term:
            return "the leader has agreed on nothing yet"
        if self.configs and self.configs[-1][0] > self.commit_index:
            return "the last change of voters is not agreed yet"
        old_voters = set(self.config.items())
        if len(old_voters ^ set(config.items())) != 1:
            return "one voter at a time is added or taken away"
        if not config or len(config) > MAX_VOTERS:
            return f"1 to {MAX_VOTERS} members vote"
        self.append_as_leader(CONFIG_ENTRY, pack(config))
        return ""

    def bootstrap(
        self, cluster_id: int, config: dict[str, int], commands: Iterable[tuple[int, bytes]] = ()
    ) -> None:
        """Begin a new cluster with these voters and first commands; no log may exist here."""
        assert not self.cluster_id
        assert not self.entries
        self.join_cluster(cluster_id)
        self.set_term_and_vote(1, 0)
        for kind, data in [(CONFIG_ENTRY, pack(config)), *commands]:
            self.append_entry(self.last_index + 1, LogEntry(1, kind, data))
        self.election_due = self.now

    def recover(self) -> None:
        """Continue as the only voter of a new cluster, by an operator's decision.

        It is for the case that a quorum is lost for good. The whole log of this member stays and
        counts as committed: those that are lost may have committed any of it without its knowledge.
        Members of the old cluster change over to the new one, whose id is higher by one.
        """
        self.commit_through(self.last_index)
        self.cluster_id += 1
        self.peers_ahead = {}
        for record in compact_journal(self.persistent_state()):
            self.add_record(*record)
        self.step_down("recovered")
        self.set_term_and_vote(self.term + 1, 0)
        config = pack({self.name: self.disk_id})
        self.append_entry(self.last_index + 1, LogEntry(self.term, CONFIG_ENTRY, config))
        self.election_due = self.vote_allowed_at = self.now

    def propose(self, kind: int, data: bytes) -> bool:
        """Append a command unless it is in the log already.

        Returns whether this node leads, has room for one more uncommitted entry, and the command
        is small enough for one.
        """
        if (
            self.role != LEADER
            or self.last_index - self.commit_index >= MAX_UNCOMMITTED
            or len(data) > MAX_LOG_ENTRY_BYTES
        ):
            return False
        uncommitted = self.entries[self.commit_index - self.log_offset :]
        if not self.state_machine.has_applied(data) and not any(
            entry.data == data for entry in uncommitted
        ):
            self.append_as_leader(kind, data)
        return True

    def on_forwarded_command(self, message: ConsensusMessage) -> None:
        """Propose a command that another member was given."""
        for entry in message.entries[:1]:
            if entry.kind > CONFIG_ENTRY:
                self.propose(entry.kind, entry.data)

    def request_read_index(self, nonce: int) -> None:
        """Ask the leader for the read index (6.4), which comes into `read_results` with the nonce.

        Once that entry is applied here, a read sees all that was committed when it was asked for.
        """
        if self.role == LEADER:
            request = ConsensusMessage(
                READ_INDEX_REQUEST, self.cluster_id, self.disk_id, self.term, nonce
            )
            self.on_read_index_request(request, self.name)
        elif self.leader:
            self.send(self.leader, READ_INDEX_REQUEST, nonce)

    def on_read_index_request(self, message: ConsensusMessage, sender: str) -> None:
        """Note the commit index and begin a round that confirms this node's leadership.

        Without an answer the sender asks again: this node doesn't lead, has not committed an entry
        of its own term, or has too many reads waiting.
        """
        if (
            self.role != LEADER
            or self.term_at(self.commit_index) != self.term
            or len(self.pending_reads) >= MAX_PENDING_READS
        ):
            return
        self.pending_reads.append((self.round + 1, sender, message.arg1, self.commit_index))
        self.broadcast(False)
        self.answer_pending_reads()

    def answer_pending_reads(self) -> None:
        """Answer the reads for which a quorum has answered a round that began after them."""
        unanswered = []
        for read in self.pending_reads:
            required_round, sender, nonce, index = read
            confirming = [
                name for name, answered in self.acked_rounds.items() if answered >= required_round
            ]
            if not self.is_quorum([self.name, *confirming]):
                unanswered.append(read)
            elif sender == self.name:
                self.read_results.append((nonce, index))
            else:
                self.send(sender, READ_INDEX_RESPONSE, nonce, index)
        self.pending_reads = unanswered

    # Learning from other members.

    def has_latest_commit(self) -> bool:
        """Return whether a leader is in contact, and all that it has committed is committed here.

        A voter takes an entry of the leader's own term as the sign: it comes after all entries of
        earlier terms that are committed (3.6.2).
        """
        if not self.leader or not self.commit_index or self.is_behind():
            return False
        if not self.is_voter:
            return True
        return (
            self.term_at(self.commit_index) == self.term
            and self.commit_index >= self.leader_commit_index
        )

    def is_behind(self) -> bool:
        """Return whether a member is known that has committed more than is committed here."""
        return bool(self.peers_ahead) and max(self.peers_ahead.values()) > self.commit_index

    def on_commit_announced(
        self, sender: str, cluster_id: int, commit_index: int, term: int = 0, leader_disk: int = 0
    ) -> None:
        """Take note of how much a member has committed and, at a learner, which disk leads."""
        if self.is_superseded_by(cluster_id):
            self.join_cluster(cluster_id)
        if (
            cluster_id == self.cluster_id
            and commit_index > self.commit_index
            and len(self.peers_ahead) < MAX_PEERS_AHEAD
        ):
            self.peers_ahead[sender] = commit_index
        elif sender in self.peers_ahead:
            del self.peers_ahead[sender]
        if (
            cluster_id == self.cluster_id
            and not self.is_voter
            and leader_disk
            and term >= self.leader_hint_term
        ):
            self.leader_hint_term = term
            self.leader = next(
                (name for name, disk in self.config.items() if disk == leader_disk), self.leader
            )

    def is_superseded_by(self, cluster_id: int) -> bool:
        """Return whether to join that cluster: there is none here, or it is a later recovery of it."""
        return cluster_id > self.cluster_id and self.cluster_id // CLUSTER_ID_STRIDE in (
            0,
            cluster_id // CLUSTER_ID_STRIDE,
        )

    def announcement(self, disk_version: int) -> bytes:
        """Return what other members are told by gossip: cluster, disk, term, commit index, leader."""
        leader_disk = self.config.get(self.leader, 0)
        return pack(
            (self.cluster_id, self.disk_id, self.term, self.commit_index, leader_disk, disk_version)
        )

    def persistent_state(self) -> PersistentState:
        """Return the state that all journal records issued so far describe."""
        return PersistentState(
            self.cluster_id,
            self.disk_id,
            self.term,
            self.voted_for,
            self.log_offset,
            self.log_offset_term,
            self.snapshot_index,
            self.snapshot,
            list(self.entries),
        )

    def join_cluster(self, cluster_id: int) -> None:
        """Become a member of another cluster with an empty log."""
        self.events.append(("consensus_cluster_id", {"record": f"{cluster_id:x}"}))
        had_cluster = self.cluster_id != 0
        self.cluster_id = cluster_id
        self.term = 0
        self.voted_for = 0
        self.log_offset = self.log_offset_term = 0
        self.snapshot_index = self.commit_index = self.last_applied = self.durable_index = 0
        self.entries = []
        self.snapshot = b""
        self.configs = []
        self.peers_ahead = {}
        self.snapshot_chunks = {}
        self.unsynced_entries.clear()
        self.outbox.clear()
        self.role = FOLLOWER
        self.leader = ""
        self.matched_index = 0
        self.leader_commit_index = 0
        self.term_record = self.add_record(IDENTITY_RECORD, cluster_id, self.disk_id)
        if had_cluster:
            self.state_machine.restore(b"")

    def fetch_missing(self) -> None:
        """Ask a random member that is ahead for the next committed entries or snapshot chunks.

        Learners are preferred, to spare the voters.
        """
        self.last_fetch_at = self.now
        ahead = [name for name, commit in self.peers_ahead.items() if commit > self.commit_index]
        learners = [name for name in ahead if name not in self.config]
        source = self.sample(learners or ahead, 1)[0]
        missing_offset = 0
        while missing_offset in self.snapshot_chunks:
            missing_offset += SNAPSHOT_CHUNK_BYTES
        self.send(
            source, FETCH_ENTRIES, self.commit_index + 1, missing_offset, self.incoming_snapshot[0]
        )

    def may_serve_learner(self) -> bool:
        """Count one message to a learner; return whether it is within the limit of the interval."""
        if self.now - self.served_since >= self.timing.heartbeat_interval:
            self.served_messages = 0
            self.served_since = self.now
        self.served_messages += 1
        return self.served_messages <= MAX_SERVED_PER_HEARTBEAT

    def on_fetch(self, message: ConsensusMessage, sender: str) -> None:
        """Send committed entries, or chunks of the snapshot where the entries are compacted away."""
        first = message.arg1
        if first > self.commit_index:
            return
        if first <= self.log_offset:
            self.send_snapshot_chunks(message, sender)
            return
        index = first
        sent_messages = 0
        while (
            index <= self.commit_index
            and sent_messages < MAX_MESSAGES_PER_FETCH
            and self.may_serve_learner()
        ):
            entries = self.entries_for_message(index, self.commit_index)
            index += len(entries)
            sent_messages += 1
            is_last = index > self.commit_index or sent_messages == MAX_MESSAGES_PER_FETCH
            self.send(sender, FETCHED_ENTRIES, index - len(entries), int(is_last), entries=entries)

    def send_snapshot_chunks(self, message: ConsensusMessage, sender: str) -> None:
        """Send the chunks that follow those which the sender of a fetch has of this snapshot."""
        offset = message.arg2 if message.arg3 == self.snapshot_index else 0
        end = min(len(self.snapshot), offset + MAX_MESSAGES_PER_FETCH * SNAPSHOT_CHUNK_BYTES)
        for start in range(offset, end, SNAPSHOT_CHUNK_BYTES):
            if self.may_serve_learner():
                chunk = self.snapshot[start : start + SNAPSHOT_CHUNK_BYTES]
                self.send(
                    sender,
                    INSTALL_SNAPSHOT,
                    self.snapshot_index,
                    start,
                    len(self.snapshot),
                    0,
                    data=chunk,
                )

    def on_fetched_entries(self, message: ConsensusMessage) -> None:
        """Store and commit entries that another member knows to be committed."""
        first = message.arg1
        is_last = message.arg2
        if first > self.commit_index + 1:
            return
        for index, entry in enumerate(message.entries, first):
            if index <= self.commit_index:
                continue
            if index > self.last_index or self.term_at(index) != entry.term:
                self.append_entry(index, entry)
        self.adopt_term(message.entries)
        self.commit_through(first + len(message.entries) - 1)
        if is_last and self.is_behind():
            self.fetch_missing()

    def adopt_term(self, entries: Iterable[LogEntry]) -> None:
        """Raise the term to that of learned entries, so that no leader of an earlier one is followed."""
        term = max((entry.term for entry in entries), default=0)
        if term > self.term:
            self.set_term_and_vote(term, 0)
            self.step_down("has learned of a later term")
            self.leader = ""

    def on_snapshot_chunk(self, message: ConsensusMessage) -> None:
        """Collect the chunks of a snapshot and install it once it is complete."""
        snapshot_index = message.arg1
        offset = message.arg2
        size = message.arg3
        if (
            snapshot_index <= self.commit_index
            or size > MAX_SNAPSHOT_BYTES
            or offset % SNAPSHOT_CHUNK_BYTES
        ):
            return
        if snapshot_index != self.incoming_snapshot[0]:
            if snapshot_index < self.incoming_snapshot[0]:
                return
            self.snapshot_chunks = {}
            self.incoming_snapshot = (snapshot_index, 0, size)
        self.snapshot_chunks[offset] = message.data
        self.last_fetch_at = self.now
        received_bytes = sum(map(len, self.snapshot_chunks.values()))
        if received_bytes >= self.incoming_snapshot[2]:
            snapshot = b"".join(chunk for _, chunk in sorted(self.snapshot_chunks.items()))
            self.snapshot_chunks = {}
            self.incoming_snapshot = (0, 0, 0)
            self.install_snapshot(snapshot)
        elif offset // SNAPSHOT_CHUNK_BYTES % MAX_MESSAGES_PER_FETCH == MAX_MESSAGES_PER_FETCH - 1:
            self.fetch_missing()

    def install_snapshot(self, snapshot: bytes) -> None:
        """Replace the log up to the snapshot's last entry; later entries stay if the log matches it."""
        try:
            index, term = self.load_snapshot(snapshot)
        except (msgspec.DecodeError, ValueError, TypeError):
            self.counts["states_torn"] += 1
            return
        if index <= self.commit_index:
            return
        matches_log = self.log_offset <= index <= self.last_index and self.term_at(index) == term
        self.entries = self.entries[index - self.log_offset :] if matches_log else []
        self.log_offset = index
        self.log_offset_term = term
        self.snapshot_index = index
        self.snapshot = snapshot
        self.load_configs()
        self.commit_index = self.last_applied = index
        self.unsynced_entries = deque(
            (record, last) for record, last in self.unsynced_entries if matches_log and last > index
        )
        if matches_log:
            self.durable_index = max(index, min(self.durable_index, self.last_index))
        else:
            self.durable_index = index
        self.add_record(SNAPSHOT_RECORD, index, snapshot, index, term)
        self.counts["states_learned"] += 1
        self.adopt_term([LogEntry(term, NO_OP_ENTRY)])

    # Receiving.

    def receive(self, message: ConsensusMessage, sender: str, now: int) -> None:
        """Handle a message whose sender is authenticated as a member of the fleet."""
        self.now = max(self.now, now)
        if message.cluster_id != self.cluster_id:
            if self.is_superseded_by(message.cluster_id):
                self.join_cluster(message.cluster_id)
            else:
                self.counts["other_record"] += 1
                return
        kind = message.kind
        # A granted pre-vote carries the term that its sender would vote in, not the one it is in.
        carries_sender_term = kind in (
            VOTE_REQUEST,
            VOTE_RESPONSE,
            APPEND_ENTRIES,
            APPEND_RESPONSE,
            TIMEOUT_NOW,
        ) or (kind == PRE_VOTE_RESPONSE and not message.arg1)
        if (
            carries_sender_term
            and message.term > self.term
            and not self.ignores_vote_request(message)
        ):
            self.on_later_term(message)
        if kind == PRE_VOTE_REQUEST:
            self.on_pre_vote_request(message, sender)
        elif kind == PRE_VOTE_RESPONSE:
            self.on_pre_vote_response(message, sender)
        elif kind == VOTE_REQUEST:
            self.on_vote_request(message, sender)
        elif kind == VOTE_RESPONSE:
            self.on_vote_response(message, sender)
        elif kind == APPEND_ENTRIES:
            self.on_append_entries(message, sender)
        elif kind == APPEND_RESPONSE:
            self.on_append_response(message, sender)
        elif kind == LOG_COMPACTED:  # the leader no longer has the entries that this voter lacks
            self.on_commit_announced(sender, message.cluster_id, message.arg1)
            if self.is_behind():
                self.fetch_missing()
        elif kind == FETCH_ENTRIES:
            self.on_fetch(message, sender)
        elif kind == FETCHED_ENTRIES:
            self.on_fetched_entries(message)
        elif kind == INSTALL_SNAPSHOT:
            self.on_snapshot_chunk(message)
        elif kind == FORWARD_COMMAND:
            self.on_forwarded_command(message)
        elif kind == READ_INDEX_REQUEST:
            self.on_read_index_request(message, sender)
        elif kind == READ_INDEX_RESPONSE:
            self.read_results.append((message.arg1, message.arg2))
            del self.read_results[:-MAX_PENDING_READS]
        elif (
            kind == TIMEOUT_NOW
            and self.is_voter
            and message.term == self.term
            and sender == self.leader
        ):
            self.start_election(True)

    def ignores_vote_request(self, message: ConsensusMessage) -> bool:
        """Return whether to disregard the term of a vote request because a leader is in contact.

        Its sender was removed or partitioned (4.2.3), unless the leader itself asked it to stand.
        """
        return message.kind == VOTE_REQUEST and not message.arg3 and self.has_leader_contact()

    def on_later_term(self, message: ConsensusMessage) -> None:
        """Enter the later term of a message as a follower."""
        self.set_term_and_vote(message.term, 0)
        self.step_down("a later term")
        self.leader = ""
