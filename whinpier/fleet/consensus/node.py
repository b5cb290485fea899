"""Decides one ordered record that a few voters of the fleet keep and all members learn.

After Raft (Ongaro, Ousterhout 2014): terms, votes asked for before an election is begun, a log that
a leader copies to voters, what most of them hold for good is agreed, voters are changed one at a
time. Who does not vote learns what is agreed from whoever is ahead. Why so, what was weighed:
docs/design/agreement.md.

A state machine without I/O: it is handed talks, time, chance and word of what is on the disk; it
gives talks, notes for the disk and lines that are agreed. Must never let a vote or a term out
before it is on the disk, count a line as held before it is there, vote twice in a term, or let a
member act on what is not agreed.
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
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = range(4)
ROLES = ("follower", "about to ask", "candidate", "leader")
NO_OP_ENTRY, CONFIG_ENTRY = range(
    2
)  # kinds of lines that mean something to the record itself; others are commands
MAX_VOTERS = 9  # more only make each line wait for more disks
COMPACTION_THRESHOLD = (
    768  # lines after which what they come to is kept instead, but for the last `RETAINED_ENTRIES`
)
RETAINED_ENTRIES = (
    256  # lines that whoever is behind by less than that may still be given one by one
)
MAX_UNCOMMITTED = 256  # lines that are not agreed yet: a cut must not fill memory
MAX_PENDING_READS = 64
MAX_SNAPSHOT_BYTES = 4 << 20  # bytes of a state that is learned as a whole
SNAPSHOT_CHUNK_BYTES, MAX_MESSAGES_PER_FETCH = (
    900,
    12,
)  # bytes of one, and how many are sent for each that is asked for
# talks with lines that a member gives learners in one beat: 60 kB a second, however many ask
MAX_SERVED_PER_HEARTBEAT = 12
CLUSTER_ID_STRIDE = (
    256  # a record's number is what it was at first, times this, and how often it was recovered
)

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder().decode


@dataclass(frozen=True)
class RaftTiming:
    """How quick it is. A leader that is killed is followed by the next within two seconds."""

    heartbeat_interval: int = 200 * MS  # between a leader's talks
    election_timeout: int = (
        900 * MS
    )  # without a leader till one asks for votes; up to twice that, by chance
    retry_interval: int = 300 * MS  # until what was asked for is asked for again


@dataclass
class PersistentState:
    """What one member has on its disk of the record."""

    cluster_id: int = 0  # which; 0: none yet
    disk_id: int = 0  # drawn with the file: another disk is another voter
    term: int = 0
    voted_for: int = 0  # for whose disk in this term; 0: for nobody
    log_offset: int = 0  # the number of the line before `lines`
    log_offset_term: int = 0
    snapshot_index: int = 0  # the number of the last line that `state` holds
    snapshot: bytes = b""
    entries: list[LogEntry] = field(default_factory=list)


JournalRecord = tuple[Any, ...]
IDENTITY_RECORD, TERM_RECORD, ENTRY_RECORD, SNAPSHOT_RECORD = range(4)


def replay_journal(notes: Iterable[JournalRecord]) -> PersistentState:
    """A disk's notes in order come to this. Raises ValueError, TypeError, IndexError for what is none."""
    copy = PersistentState()
    for kind, *rest in notes:
        if kind == IDENTITY_RECORD:
            copy = PersistentState(*rest)
        elif kind == TERM_RECORD:
            copy.term, copy.voted_for = rest
        elif kind == ENTRY_RECORD:
            index, term, what, data = rest
            if not copy.log_offset < index <= copy.log_offset + len(copy.entries) + 1:
                raise ValueError(f"line {index} behind line {copy.log_offset + len(copy.entries)}")
            del copy.entries[index - copy.log_offset - 1 :]
            copy.entries.append(LogEntry(term, what, data))
        elif kind == SNAPSHOT_RECORD:
            base, state, start, start_term = rest
            there = 0 <= start - copy.log_offset <= len(copy.entries) and start >= copy.log_offset
            held = copy.entries[start - copy.log_offset :] if there else []
            if (
                start > copy.log_offset
                and there
                and copy.entries[start - copy.log_offset - 1].term != start_term
            ):
                held = []
            copy.snapshot_index, copy.snapshot, copy.entries = base, state, held
            copy.log_offset, copy.log_offset_term = start, start_term
        else:
            raise ValueError(f"a note of kind {kind}")
    return copy


def compact_journal(copy: PersistentState) -> list[JournalRecord]:
    """The fewest notes that come to the same."""
    found: list[JournalRecord] = [
        (IDENTITY_RECORD, copy.cluster_id, copy.disk_id),
        (TERM_RECORD, copy.term, copy.voted_for),
        (
            SNAPSHOT_RECORD,
            copy.snapshot_index,
            copy.snapshot,
            copy.log_offset,
            copy.log_offset_term,
        ),
    ]
    return found + [
        (ENTRY_RECORD, copy.log_offset + number, line.term, line.kind, line.data)
        for number, line in enumerate(copy.entries, 1)
    ]


class StateMachine(Protocol):
    """What the lines of the record come to."""

    def apply(self, index: int, line: LogEntry) -> None:
        """One more line is agreed."""

    def snapshot(self) -> bytes:
        """All of it, from which another can go on."""

    def restore(self, data: bytes) -> None:
        """Go on from what another has frozen; empty: from the beginning."""

    def has_applied(self, data: bytes) -> bool:
        """Whether this command was applied already."""


class RaftNode:
    """One member's part in the record."""

    def __init__(
        self,
        name: str,
        copy: PersistentState,
        machine: StateMachine,
        now: int,
        chance: Random,
        pace: RaftTiming = RaftTiming(),
        fence: int = 0,
    ) -> None:
        """`fence`: till then it neither votes nor asks: others may say that its disk is old."""
        self.name, self.state_machine, self.timing, self.now = name, machine, pace, now
        self.random, self.sample = chance.random, chance.sample
        self.cluster_id, self.disk_id, self.term, self.voted_for = (
            copy.cluster_id,
            copy.disk_id,
            copy.term,
            copy.voted_for,
        )
        self.log_offset, self.log_offset_term, self.entries = (
            copy.log_offset,
            copy.log_offset_term,
            list(copy.entries),
        )
        self.snapshot_index, self.snapshot = copy.snapshot_index, copy.snapshot
        self.commit_index = self.last_applied = copy.snapshot_index
        self.configs: list[
            tuple[int, dict[str, int]]
        ] = []  # from which line on who votes, with disk
        self.pending_records: list[JournalRecord] = []  # for the disk, in order
        self.records_issued = self.records_synced = self.term_record = (
            0  # notes given, on the disk; with which terms and votes are
        )
        self.durable_index, self.unsynced_entries = (
            self.last_index,
            deque[tuple[int, int]](),
        )  # lines on the disk; notes to lines
        self.outbox: deque[tuple[int, str, ConsensusMessage]] = (
            deque()
        )  # behind which note, to whom, what
        self.role, self.leader = FOLLOWER, ""
        self.votes: set[str] = set()
        self.next_index: dict[str, int] = {}  # of each voter: the line that it is sent next
        self.match_index: dict[str, int] = {}  # up to which it holds ours on its disk
        self.acked_rounds: dict[str, int] = {}  # of which of our rounds it has last answered
        self.in_flight_since: dict[str, int] = {}  # since when an answer is owed
        self.sent_commit_index: dict[
            str, int
        ] = {}  # up to which line it was told that all is agreed
        self.last_response_at: dict[str, int] = {}
        self.round, self.matched_index, self.leader_hint_term = 0, 0, 0
        self.pending_reads: list[
            tuple[int, str, int, int]
        ] = []  # by which round, whose, its nonce, which line
        self.read_results: list[tuple[int, int]] = []  # nonce and line of what was asked for here
        self.peers_ahead: dict[str, int] = {}  # who tells of more agreed lines than are here
        self.last_fetch_at, self.snapshot_chunks = now - pace.retry_interval, dict[int, bytes]()
        self.incoming_snapshot = (0, 0, 0)  # line, its term, bytes
        self.served_messages, self.served_since = 0, now
        self.leader_contact_at = now - 2 * pace.election_timeout
        self.vote_allowed_at = now + fence
        self.heartbeat_due = now
        self.reset_election_timer()
        self.retained_entries, self.max_entries_per_append = RETAINED_ENTRIES, MAX_LOG_ENTRIES
        self.counts: Counter[str] = Counter()
        self.events: list[tuple[str, dict[str, Any]]] = []
        if copy.snapshot:
            self.load_snapshot(copy.snapshot)
        self.load_configs()

    # Lines.

    @property
    def last_index(self) -> int:
        return self.log_offset + len(self.entries)

    def term_at(self, index: int) -> int:
        return (
            self.log_offset_term
            if index <= self.log_offset
            else self.entries[index - self.log_offset - 1].term
        )

    def entry(self, index: int) -> LogEntry:
        return self.entries[index - self.log_offset - 1]

    @property
    def config(self) -> dict[str, int]:
        """Who votes: by the latest line that says so, agreed or not."""
        return self.configs[-1][1] if self.configs else {}

    def load_configs(self) -> None:
        """Who votes by lines that are behind the state."""
        for index, line in enumerate(self.entries, self.log_offset + 1):
            if line.kind == CONFIG_ENTRY and index > self.snapshot_index:
                self.configs.append((index, unpack(line.data)))

    @property
    def is_voter(self) -> bool:
        return self.config.get(self.name) == self.disk_id

    def other_voters(self) -> list[str]:
        return [name for name in self.config if name != self.name]

    def is_quorum(self, those: Iterable[str]) -> bool:
        """Whether these are more than half of the voters."""
        config = self.config
        return 2 * sum(name in config for name in set(those)) > len(config)

    def add_record(self, *note: Any) -> int:
        self.pending_records.append(note)
        self.records_issued += 1
        return self.records_issued

    def append_entry(self, index: int, line: LogEntry) -> None:
        """A line becomes the last one; what was there from it on was never agreed."""
        if index <= self.last_index:
            self.truncate_from(index)
        self.entries.append(line)
        self.unsynced_entries.append(
            (self.add_record(ENTRY_RECORD, index, line.term, line.kind, line.data), index)
        )
        if line.kind == CONFIG_ENTRY:
            self.configs.append((index, unpack(line.data)))

    def truncate_from(self, index: int) -> None:
        assert index > self.commit_index, "what is agreed stays"
        del self.entries[index - self.log_offset - 1 :]
        self.durable_index = min(self.durable_index, index - 1)
        self.unsynced_entries = deque(
            (seq, min(at, index - 1)) for seq, at in self.unsynced_entries
        )
        while self.configs and self.configs[-1][0] >= index:
            self.configs.pop()

    def set_term_and_vote(self, term: int, voted: int) -> None:
        if term != self.term:
            self.matched_index = 0
        self.term, self.voted_for = term, voted
        self.term_record = self.add_record(TERM_RECORD, term, voted)

    def on_records_synced(self, count: int) -> None:
        """So many notes, of all that were ever given, are on the disk."""
        self.records_synced = max(self.records_synced, count)
        before = self.durable_index
        while self.unsynced_entries and self.unsynced_entries[0][0] <= self.records_synced:
            self.durable_index = max(self.durable_index, self.unsynced_entries.popleft()[1])
        if self.role == CANDIDATE and self.term_record <= self.records_synced:
            self.votes.add(self.name)
            self.count_votes()
        if self.durable_index > before:
            if self.role == LEADER:
                self.advance_commit_index()
            elif self.leader and self.matched_index:
                self.send(
                    self.leader, APPEND_RESPONSE, 1, self.durable_match_index(), self.matched_index
                )

    # Out.

    def send(
        self,
        to: str,
        kind: int,
        one: int = 0,
        two: int = 0,
        three: int = 0,
        four: int = 0,
        lines: list[LogEntry] | None = None,
        data: bytes = b"",
        term: int | None = None,
    ) -> None:
        talk = ConsensusMessage(
            kind,
            self.cluster_id,
            self.disk_id,
            self.term if term is None else term,
            one,
            two,
            three,
            four,
            lines or [],
            data,
        )
        self.outbox.append((self.sync_barrier(), to, talk))

    def sync_barrier(self) -> int:
        """Behind which note a talk waits: terms and votes are on the disk before anybody hears of them."""
        return self.term_record

    def take_messages(self) -> list[tuple[str, ConsensusMessage]]:
        """What may be sent now: to whom, what."""
        found = []
        while self.outbox and self.outbox[0][0] <= self.records_synced:
            _, to, talk = self.outbox.popleft()
            found.append((to, talk))
        return found

    # Time.

    def reset_election_timer(self) -> None:
        """From now a leader has to be heard of within a while of its own."""
        self.election_due = self.now + int(self.timing.election_timeout * (1.0 + self.random()))

    def next_deadline(self) -> int:
        """When `tick` wants to be called."""
        if self.role == LEADER:
            return self.heartbeat_due
        found = (
            self.last_fetch_at + self.timing.retry_interval
            if self.is_behind()
            else self.now + SECOND
        )
        return min(found, max(self.election_due, self.vote_allowed_at)) if self.is_voter else found

    def tick(self, now: int) -> None:
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
        """A leader that most voters do not answer is none: it steps down, as another may be there."""
        heard = [
            name
            for name, at in self.last_response_at.items()
            if self.now - at <= 2 * self.timing.election_timeout
        ]
        if not self.is_quorum([self.name, *heard]):
            self.step_down("unheard")

    # Elections.

    def start_pre_vote(self) -> None:
        """Would most vote for this one? Only then it stands: one that was cut off disturbs nobody."""
        self.reset_election_timer()
        self.role, self.leader, self.votes = PRE_CANDIDATE, "", {self.name}
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

    def start_election(self, hurried: bool = False) -> None:
        self.role, self.leader, self.votes = CANDIDATE, "", set()
        self.reset_election_timer()
        self.set_term_and_vote(self.term + 1, self.disk_id)
        self.counts["elections"] += 1
        for name in self.other_voters():
            self.send(
                name, VOTE_REQUEST, self.last_index, self.term_at(self.last_index), int(hurried)
            )

    def is_up_to_date(self, last: int, term: int) -> bool:
        """Whether a log that ends so holds all that this one may know to be agreed."""
        return (term, last) >= (self.term_at(self.last_index), self.last_index)

    def has_leader_contact(self) -> bool:
        """Whether a leader was heard of late, so that nobody need ask for votes."""
        return (
            self.role == LEADER or self.now - self.leader_contact_at < self.timing.election_timeout
        )

    def on_pre_vote_request(self, talk: ConsensusMessage, sender: str) -> None:
        good = (
            talk.term > self.term
            and self.is_up_to_date(talk.arg1, talk.arg2)
            and not self.has_leader_contact()
            and self.now >= self.vote_allowed_at
        )
        self.send(sender, PRE_VOTE_RESPONSE, int(good), term=talk.term if good else self.term)

    def on_pre_vote_response(self, talk: ConsensusMessage, sender: str) -> None:
        wanted = self.role == PRE_CANDIDATE and talk.arg1 and talk.term == self.term + 1
        if wanted and self.is_from_voter(talk, sender):
            self.votes.add(sender)
            if self.is_quorum(self.votes):
                self.start_election()

    def on_vote_request(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term == self.term and self.can_grant_vote(talk):
            if not self.voted_for:
                self.role = FOLLOWER
                self.set_term_and_vote(self.term, talk.disk_id)
            self.reset_election_timer()
            self.send(sender, VOTE_RESPONSE, 1)
        else:
            self.send(sender, VOTE_RESPONSE, 0)

    def can_grant_vote(self, talk: ConsensusMessage) -> bool:
        return (
            self.voted_for in (0, talk.disk_id)
            and self.now >= self.vote_allowed_at
            and self.is_up_to_date(talk.arg1, talk.arg2)
        )

    def on_vote_response(self, talk: ConsensusMessage, sender: str) -> None:
        if (
            self.role == CANDIDATE
            and talk.term == self.term
            and talk.arg1
            and self.is_from_voter(talk, sender)
        ):
            self.votes.add(sender)
            self.count_votes()

    def is_from_voter(self, talk: ConsensusMessage, sender: str) -> bool:
        """Whether a voter's word is that of the disk that votes under its name."""
        return self.config.get(sender) == talk.disk_id

    def count_votes(self) -> None:
        if self.role == CANDIDATE and self.is_quorum(self.votes):
            self.become_leader()

    def become_leader(self) -> None:
        self.role, self.leader = LEADER, self.name
        self.next_index, self.match_index, self.in_flight_since, self.sent_commit_index = (
            {},
            {},
            {},
            {},
        )
        self.acked_rounds, self.pending_reads = {}, []
        self.last_response_at = {name: self.now for name in self.other_voters()}
        self.counts["led"] += 1
        self.events.append(("consensus_leader_elected", {"term": self.term}))
        self.append_as_leader(NO_OP_ENTRY, b"")

    def step_down(self, why: str) -> None:
        if self.role == LEADER:
            self.events.append(("agreement_led", {"term": self.term, "why": why}))
        if self.leader == self.name:
            self.leader = ""
        self.role, self.votes, self.pending_reads = FOLLOWER, set(), []
        self.reset_election_timer()

    def transfer_leadership(self) -> None:
        """It ends soon: whoever holds most is asked to take over at once."""
        if self.role == LEADER and self.match_index:
            best = max(self.match_index, key=lambda name: (self.match_index[name], name))
            if best in self.config:
                self.send(best, TIMEOUT_NOW)

    # Copies.

    def append_as_leader(self, kind: int, data: bytes) -> int:
        """A leader's new line; its number."""
        index = self.last_index + 1
        self.append_entry(index, LogEntry(self.term, kind, data))
        self.broadcast(False)
        return index

    def broadcast(self, beat: bool) -> None:
        self.round += 1
        if beat:
            self.heartbeat_due = self.now + self.timing.heartbeat_interval
        for name in self.other_voters():
            if beat or name not in self.in_flight_since or self.pending_reads:
                self.send_entries(name)

    def send_entries(self, name: str) -> None:
        """To one voter: its next lines, and what is agreed."""
        first = max(self.next_index.setdefault(name, self.last_index), self.log_offset + 1)
        lines = self.entries_for_message(
            first, min(self.last_index, first + self.max_entries_per_append - 1)
        )
        if lines:
            self.in_flight_since[name] = self.now
        self.sent_commit_index[name] = self.commit_index
        self.send(
            name,
            APPEND_ENTRIES,
            first - 1,
            self.term_at(first - 1),
            self.commit_index,
            self.round,
            lines,
        )

    def entries_for_message(self, first: int, last: int) -> list[LogEntry]:
        """Lines from the first on, as many as fit into one talk: one at least, if there is one."""
        lines, room = list[LogEntry](), MAX_CONSENSUS_BYTES - 80
        for index in range(first, min(last, first + MAX_LOG_ENTRIES - 1) + 1):
            line = self.entry(index)
            room -= len(line.data) + 12
            if room < 0 and lines:
                break
            lines.append(line)
        return lines

    def on_append_entries(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term < self.term:
            self.send(sender, APPEND_RESPONSE, 0, 0, 0, 0)
            return
        if self.leader != sender:
            self.leader = sender
            self.events.append(("agreement_follows", {"leader": sender, "term": self.term}))
        if self.role != FOLLOWER:
            self.role, self.votes = FOLLOWER, set()
        self.leader_contact_at = self.now
        self.reset_election_timer()
        if not self.matches_previous_entry(talk):
            self.send(sender, APPEND_RESPONSE, 0, self.conflict_index(talk.arg1), 0, talk.arg4)
            return
        for index, line in enumerate(talk.entries, talk.arg1 + 1):
            if (
                index <= self.log_offset
                or index <= self.last_index
                and self.term_at(index) == line.term
            ):
                continue
            self.append_entry(index, line)
        self.matched_index = max(self.matched_index, talk.arg1 + len(talk.entries))
        self.send(
            sender, APPEND_RESPONSE, 1, self.durable_match_index(), self.matched_index, talk.arg4
        )
        self.commit_through(min(talk.arg3, talk.arg1 + len(talk.entries)))

    def durable_match_index(self) -> int:
        """Up to which line of the leader's is on the disk here."""
        return min(self.durable_index, self.matched_index)

    def matches_previous_entry(self, talk: ConsensusMessage) -> bool:
        """Whether the line before those that come is the one that the leader has."""
        return talk.arg1 <= self.last_index and (
            talk.arg1 < self.log_offset or self.term_at(talk.arg1) == talk.arg2
        )

    def conflict_index(self, index: int) -> int:
        """From which line on a leader had better send: the first of the term that differs."""
        if index > self.last_index:
            return self.last_index + 1
        term = self.term_at(index)
        while index > self.commit_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return max(index, self.commit_index + 1)

    def on_append_response(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role != LEADER or talk.term != self.term or not self.is_from_voter(talk, sender):
            return
        self.last_response_at[sender] = self.now
        self.acked_rounds[sender] = max(self.acked_rounds.get(sender, 0), talk.arg4)
        self.in_flight_since.pop(sender, None)
        if talk.arg1:
            self.match_index[sender] = max(self.match_index.get(sender, 0), talk.arg2)
            self.next_index[sender] = max(self.next_index.get(sender, 1), talk.arg3 + 1)
            self.advance_commit_index()
            behind = (
                self.next_index[sender] <= self.last_index
                or self.sent_commit_index.get(sender, 0) < self.commit_index
            )
            if behind and sender not in self.in_flight_since:
                self.send_entries(sender)
        elif talk.arg2 > self.match_index.get(sender, 0):
            self.next_index[sender] = min(talk.arg2, self.last_index + 1)
            if self.next_index[sender] <= self.log_offset:
                self.send(sender, LOG_COMPACTED, self.commit_index)
            else:
                self.send_entries(sender)
        self.answer_pending_reads()

    def advance_commit_index(self) -> None:
        """What most voters have on their disks is agreed, once a line of this leader's own is among it."""
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
        """Lines up to this one are agreed."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            line = self.entry(self.last_applied)
            if line.kind > CONFIG_ENTRY:
                self.state_machine.apply(self.last_applied, line)
        if self.role == LEADER and self.name not in self.config:
            self.step_down("votes no longer")
        self.peers_ahead = {
            name: line for name, line in self.peers_ahead.items() if line > self.commit_index
        }
        if len(self.entries) > COMPACTION_THRESHOLD:
            self.compact()

    def compact(self) -> None:
        """What the lines come to is kept instead of the oldest."""
        start = min(self.last_applied, self.last_index - self.retained_entries)
        if start <= self.log_offset:
            return
        known = [config for config in self.configs if config[0] <= self.last_applied]
        state = pack(
            (
                self.last_applied,
                self.term_at(self.last_applied),
                known[-1] if known else (0, {}),
                self.state_machine.snapshot(),
            )
        )
        start_term = self.term_at(start)
        self.entries = self.entries[start - self.log_offset :]
        self.log_offset, self.log_offset_term, self.snapshot_index, self.snapshot = (
            start,
            start_term,
            self.last_applied,
            state,
        )
        self.add_record(SNAPSHOT_RECORD, self.snapshot_index, state, start, start_term)
        self.configs = known[-1:] + [
            config for config in self.configs if config[0] > self.last_applied
        ]

    def load_snapshot(self, state: bytes) -> tuple[int, int]:
        """Take up what another's lines came to; the last of them, and its term."""
        index, term, (since, config), inner = unpack(state)
        self.configs = [(since, config)]
        self.state_machine.restore(inner)
        return index, term

    # Voters, commands, reads.

    def change_voters(self, config: dict[str, int]) -> str:
        """Begin to change who votes, by one; why it can't be now, if it can't."""
        if self.role != LEADER:
            return "this member does not lead"
        if self.term_at(self.commit_index) != self.term:
            return "the leader has agreed on nothing yet"
        if self.configs and self.configs[-1][0] > self.commit_index:
            return "the last change of voters is not agreed yet"
        before = {(name, disk) for name, disk in self.config.items()}
        if len(before ^ set(config.items())) != 1:
            return "one voter at a time is added or taken away"
        if not config or len(config) > MAX_VOTERS:
            return f"1 to {MAX_VOTERS} members vote"
        self.append_as_leader(CONFIG_ENTRY, pack(config))
        return ""

    def bootstrap(
        self, record: int, config: dict[str, int], first: Iterable[tuple[int, bytes]] = ()
    ) -> None:
        """A record begins, with these voters and lines."""
        assert not self.cluster_id and not self.entries
        self.join_cluster(record)
        self.set_term_and_vote(1, 0)
        for kind, data in [(CONFIG_ENTRY, pack(config)), *first]:
            self.append_entry(self.last_index + 1, LogEntry(1, kind, data))
        self.election_due = self.now

    def recover(self) -> None:
        """By an operator's word, where most voters are lost for good: this member's copy goes on alone.

        All that is agreed here stays; who goes by the record as it was takes this one instead.
        """
        self.cluster_id += 1
        if self.last_index > self.commit_index:
            self.truncate_from(self.commit_index + 1)
        for note in compact_journal(self.persistent_state()):
            self.add_record(*note)
        self.step_down("recovered")
        self.set_term_and_vote(self.term + 1, 0)
        self.append_entry(
            self.last_index + 1, LogEntry(self.term, CONFIG_ENTRY, pack({self.name: self.disk_id}))
        )
        self.election_due = self.vote_allowed_at = self.now

    def propose(self, kind: int, data: bytes) -> bool:
        """A command of a member; whether this one leads and has room for it."""
        if (
            self.role != LEADER
            or self.last_index - self.commit_index >= MAX_UNCOMMITTED
            or len(data) > MAX_LOG_ENTRY_BYTES
        ):
            return False
        if not self.state_machine.has_applied(data) and not any(
            line.data == data for line in self.entries[self.commit_index - self.log_offset :]
        ):
            self.append_as_leader(kind, data)
        return True

    def on_forwarded_command(self, talk: ConsensusMessage, sender: str) -> None:
        for line in talk.entries[:1]:
            if line.kind > CONFIG_ENTRY:
                self.propose(line.kind, line.data)

    def request_read_index(self, nonce: int) -> None:
        """Up to which line one has to have learned to know all that is agreed by now: `read_at` will say."""
        if self.role == LEADER:
            self.on_read_index_request(
                ConsensusMessage(
                    READ_INDEX_REQUEST, self.cluster_id, self.disk_id, self.term, nonce
                ),
                self.name,
            )
        elif self.leader:
            self.send(self.leader, READ_INDEX_REQUEST, nonce)

    def on_read_index_request(self, talk: ConsensusMessage, sender: str) -> None:
        if (
            self.role != LEADER
            or self.term_at(self.commit_index) != self.term
            or len(self.pending_reads) >= MAX_PENDING_READS
        ):
            return  # it asks again
        self.pending_reads.append((self.round + 1, sender, talk.arg1, self.commit_index))
        self.broadcast(False)
        self.answer_pending_reads()

    def answer_pending_reads(self) -> None:
        """A read is answered once most voters have answered a round that began after it."""
        left = []
        for read in self.pending_reads:
            by, sender, nonce, index = read
            if not self.is_quorum(
                [self.name, *(name for name, done in self.acked_rounds.items() if done >= by)]
            ):
                left.append(read)
            elif sender == self.name:
                self.read_results.append((nonce, index))
            else:
                self.send(sender, READ_INDEX_RESPONSE, nonce, index)
        self.pending_reads = left

    # Learning.

    def is_behind(self) -> bool:
        return bool(self.peers_ahead) and max(self.peers_ahead.values()) > self.commit_index

    def on_commit_announced(
        self, sender: str, record: int, commit: int, term: int = 0, leader: int = 0
    ) -> None:
        """Another tells up to which line it has learned the record, and whose disk leads."""
        if self.is_superseded_by(record):
            self.join_cluster(record)
        if (
            record == self.cluster_id
            and commit > self.commit_index
            and len(self.peers_ahead) < 4_096
        ):
            self.peers_ahead[sender] = commit
        elif sender in self.peers_ahead:
            del self.peers_ahead[sender]
        if (
            record == self.cluster_id
            and not self.is_voter
            and leader
            and term >= self.leader_hint_term
        ):
            self.leader_hint_term = term
            self.leader = next(
                (name for name, disk in self.config.items() if disk == leader), self.leader
            )

    def is_superseded_by(self, record: int) -> bool:
        """Whether another record is to be gone by: any where there is none, or one recovered since."""
        return record > self.cluster_id and self.cluster_id // CLUSTER_ID_STRIDE in (
            0,
            record // CLUSTER_ID_STRIDE,
        )

    def announcement(self, stamp: int) -> bytes:
        """What others are told in passing: which record and disk, how far, who leads, what is promised."""
        return pack(
            (
                self.cluster_id,
                self.disk_id,
                self.term,
                self.commit_index,
                self.config.get(self.leader, 0),
                stamp,
            )
        )

    def persistent_state(self) -> PersistentState:
        """What all notes that were given come to."""
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

    def join_cluster(self, record: int) -> None:
        """Go by another record, of which nothing is known here."""
        self.events.append(("consensus_cluster_id", {"record": f"{record:x}"}))
        fresh = self.cluster_id != 0
        self.cluster_id, self.term, self.voted_for = record, 0, 0
        self.log_offset = self.log_offset_term = self.snapshot_index = self.commit_index = (
            self.last_applied
        ) = self.durable_index = 0
        self.entries, self.snapshot, self.configs, self.peers_ahead, self.snapshot_chunks = (
            [],
            b"",
            [],
            {},
            {},
        )
        self.unsynced_entries.clear()
        self.outbox.clear()
        self.role, self.leader, self.matched_index = FOLLOWER, "", 0
        self.term_record = self.add_record(IDENTITY_RECORD, record, self.disk_id)
        if fresh:
            self.state_machine.restore(b"")

    def fetch_missing(self) -> None:
        """Ask one that is ahead for what is missing here."""
        self.last_fetch_at = self.now
        those = [one for one, line in self.peers_ahead.items() if line > self.commit_index]
        # Who votes has enough to do: another learner is asked where one is ahead.
        name = self.sample([one for one in those if one not in self.config] or those, 1)[0]
        missing = 0
        while missing in self.snapshot_chunks:
            missing += SNAPSHOT_CHUNK_BYTES
        self.send(name, FETCH_ENTRIES, self.commit_index + 1, missing, self.incoming_snapshot[0])

    def may_serve_learner(self) -> bool:
        if self.now - self.served_since >= self.timing.heartbeat_interval:
            self.served_messages, self.served_since = 0, self.now
        self.served_messages += 1
        return self.served_messages <= MAX_SERVED_PER_HEARTBEAT

    def on_fetch(self, talk: ConsensusMessage, sender: str) -> None:
        """Give what is agreed here: lines, or the whole state in pieces where the lines are gone."""
        if talk.arg1 > self.commit_index:
            return
        if talk.arg1 <= self.log_offset:
            offset = talk.arg2 if talk.arg3 == self.snapshot_index else 0
            for at in range(
                offset,
                min(len(self.snapshot), offset + MAX_MESSAGES_PER_FETCH * SNAPSHOT_CHUNK_BYTES),
                SNAPSHOT_CHUNK_BYTES,
            ):
                if self.may_serve_learner():
                    self.send(
                        sender,
                        INSTALL_SNAPSHOT,
                        self.snapshot_index,
                        at,
                        len(self.snapshot),
                        0,
                        data=self.snapshot[at : at + SNAPSHOT_CHUNK_BYTES],
                    )
            return
        index, talks = talk.arg1, 0
        while (
            index <= self.commit_index
            and talks < MAX_MESSAGES_PER_FETCH
            and self.may_serve_learner()
        ):
            lines = self.entries_for_message(index, self.commit_index)
            index, talks = index + len(lines), talks + 1
            self.send(
                sender,
                FETCHED_ENTRIES,
                index - len(lines),
                int(index > self.commit_index or talks == MAX_MESSAGES_PER_FETCH),
                lines=lines,
            )

    def on_fetched_entries(self, talk: ConsensusMessage, sender: str) -> None:
        """Lines that are agreed."""
        if talk.arg1 > self.commit_index + 1:
            return
        for index, line in enumerate(talk.entries, talk.arg1):
            if index <= self.commit_index:
                continue
            if index > self.last_index or self.term_at(index) != line.term:
                self.append_entry(index, line)
        self.adopt_term(talk.entries)
        self.commit_through(talk.arg1 + len(talk.entries) - 1)
        if talk.arg2 and self.is_behind():
            self.fetch_missing()

    def adopt_term(self, lines: Iterable[LogEntry]) -> None:
        """Whoever has learned a later term's lines follows no leader of an earlier one."""
        term = max((line.term for line in lines), default=0)
        if term > self.term:
            self.set_term_and_vote(term, 0)
            self.step_down("has learned of a later term")
            self.leader = ""

    def on_snapshot_chunk(self, talk: ConsensusMessage, sender: str) -> None:
        """A piece of a state whose lines are gone everywhere."""
        if (
            talk.arg1 <= self.commit_index
            or talk.arg3 > MAX_SNAPSHOT_BYTES
            or talk.arg2 % SNAPSHOT_CHUNK_BYTES
        ):
            return
        if talk.arg1 != self.incoming_snapshot[0]:
            if talk.arg1 < self.incoming_snapshot[0]:
                return
            self.snapshot_chunks, self.incoming_snapshot = {}, (talk.arg1, 0, talk.arg3)
        self.snapshot_chunks[talk.arg2] = talk.data
        self.last_fetch_at = self.now
        size = sum(map(len, self.snapshot_chunks.values()))
        if size >= self.incoming_snapshot[2]:
            state = b"".join(data for _, data in sorted(self.snapshot_chunks.items()))
            self.snapshot_chunks, self.incoming_snapshot = {}, (0, 0, 0)
            self.install_snapshot(state)
        elif (
            talk.arg2 // SNAPSHOT_CHUNK_BYTES % MAX_MESSAGES_PER_FETCH == MAX_MESSAGES_PER_FETCH - 1
        ):
            self.fetch_missing()

    def install_snapshot(self, state: bytes) -> None:
        try:
            index, term = self.load_snapshot(state)
        except (msgspec.DecodeError, ValueError, TypeError):
            self.counts["states_torn"] += 1
            return
        if index <= self.commit_index:
            return
        fits = self.log_offset <= index <= self.last_index and self.term_at(index) == term
        self.entries = self.entries[index - self.log_offset :] if fits else []
        self.log_offset, self.log_offset_term, self.snapshot_index, self.snapshot = (
            index,
            term,
            index,
            state,
        )
        self.load_configs()
        self.commit_index = self.last_applied = index
        self.unsynced_entries = deque(
            (seq, at) for seq, at in self.unsynced_entries if fits and at > index
        )
        self.durable_index = max(index, min(self.durable_index, self.last_index)) if fits else index
        self.add_record(SNAPSHOT_RECORD, index, state, index, term)
        self.counts["states_learned"] += 1
        self.adopt_term([LogEntry(term, NO_OP_ENTRY)])

    # What comes.

    def receive(self, talk: ConsensusMessage, sender: str, now: int) -> None:
        """A talk of a member that is proved to be of the fleet."""
        self.now = max(self.now, now)
        if talk.cluster_id != self.cluster_id:
            if self.is_superseded_by(talk.cluster_id):
                self.join_cluster(talk.cluster_id)
            else:
                self.counts["other_record"] += 1
                return
        if (
            talk.kind in (VOTE_REQUEST, VOTE_RESPONSE, APPEND_ENTRIES, APPEND_RESPONSE, TIMEOUT_NOW)
            or talk.kind == PRE_VOTE_RESPONSE
            and not talk.arg1
        ):
            if talk.term > self.term and not self.ignores_vote_request(talk):
                self.on_later_term(talk)
        kind = talk.kind
        if kind == PRE_VOTE_REQUEST:
            self.on_pre_vote_request(talk, sender)
        elif kind == PRE_VOTE_RESPONSE:
            self.on_pre_vote_response(talk, sender)
        elif kind == VOTE_REQUEST:
            self.on_vote_request(talk, sender)
        elif kind == VOTE_RESPONSE:
            self.on_vote_response(talk, sender)
        elif kind == APPEND_ENTRIES:
            self.on_append_entries(talk, sender)
        elif kind == APPEND_RESPONSE:
            self.on_append_response(talk, sender)
        elif kind == LOG_COMPACTED:
            self.on_commit_announced(sender, talk.cluster_id, talk.arg1)
            if self.is_behind():
                self.fetch_missing()
        elif kind == FETCH_ENTRIES:
            self.on_fetch(talk, sender)
        elif kind == FETCHED_ENTRIES:
            self.on_fetched_entries(talk, sender)
        elif kind == INSTALL_SNAPSHOT:
            self.on_snapshot_chunk(talk, sender)
        elif kind == FORWARD_COMMAND:
            self.on_forwarded_command(talk, sender)
        elif kind == READ_INDEX_REQUEST:
            self.on_read_index_request(talk, sender)
        elif kind == READ_INDEX_RESPONSE:
            self.read_results.append((talk.arg1, talk.arg2))
            del self.read_results[:-MAX_PENDING_READS]
        elif (
            kind == TIMEOUT_NOW
            and self.is_voter
            and talk.term == self.term
            and sender == self.leader
        ):
            self.start_election(True)

    def ignores_vote_request(self, talk: ConsensusMessage) -> bool:
        """One that asks for votes though a leader is there, and does not say so, was taken out or cut off."""
        return talk.kind == VOTE_REQUEST and not talk.arg3 and self.has_leader_contact()

    def on_later_term(self, talk: ConsensusMessage) -> None:
        self.set_term_and_vote(talk.term, 0)
        self.step_down("a later term")
        self.leader = ""
