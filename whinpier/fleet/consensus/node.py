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
    APPEND_ACCEPTED,
    APPEND_ENTRIES,
    APPEND_REJECTED,
    FETCH_ENTRIES,
    FETCHED_ENTRIES,
    FORWARD_COMMAND,
    INSTALL_SNAPSHOT,
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
FOLLOWER, EARLY_ASKED, CANDIDATE, LEADER = range(4)
ROLES = ("follower", "about to ask", "candidate", "leader")
NOTHING, VOTERS = range(
    2
)  # kinds of lines that mean something to the record itself; others are commands
MOST_VOTERS = 9  # more only make each line wait for more disks
COMPACT = 768  # lines after which what they come to is kept instead, but for the last `KEPT`
KEPT = 256  # lines that whoever is behind by less than that may still be given one by one
MOST_OPEN = 256  # lines that are not agreed yet: a cut must not fill memory
MOST_READS = 64
MOST_STATE = 4 << 20  # bytes of a state that is learned as a whole
PIECE_SIZE, PIECES = 900, 12  # bytes of one, and how many are sent for each that is asked for
# talks with lines that a member gives learners in one beat: 60 kB a second, however many ask
SERVED = 12
GENERATIONS = (
    256  # a record's number is what it was at first, times this, and how often it was recovered
)

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder().decode


@dataclass(frozen=True)
class Pace:
    """How quick it is. A leader that is killed is followed by the next within two seconds."""

    beat: int = 200 * MS  # between a leader's talks
    timeout: int = 900 * MS  # without a leader till one asks for votes; up to twice that, by chance
    again: int = 300 * MS  # until what was asked for is asked for again


@dataclass
class Copy:
    """What one member has on its disk of the record."""

    record: int = 0  # which; 0: none yet
    disk: int = 0  # drawn with the file: another disk is another voter
    term: int = 0
    voted: int = 0  # for whose disk in this term; 0: for nobody
    start: int = 0  # the number of the line before `lines`
    start_term: int = 0
    base: int = 0  # the number of the last line that `state` holds
    state: bytes = b""
    lines: list[LogEntry] = field(default_factory=list)


Note = tuple[Any, ...]
WHO, TERM, LINE, BASE = range(4)


def replayed(notes: Iterable[Note]) -> Copy:
    """A disk's notes in order come to this. Raises ValueError, TypeError, IndexError for what is none."""
    copy = Copy()
    for kind, *rest in notes:
        if kind == WHO:
            copy = Copy(*rest)
        elif kind == TERM:
            copy.term, copy.voted = rest
        elif kind == LINE:
            index, term, what, data = rest
            if not copy.start < index <= copy.start + len(copy.lines) + 1:
                raise ValueError(f"line {index} behind line {copy.start + len(copy.lines)}")
            del copy.lines[index - copy.start - 1 :]
            copy.lines.append(LogEntry(term, what, data))
        elif kind == BASE:
            base, state, start, start_term = rest
            there = 0 <= start - copy.start <= len(copy.lines) and start >= copy.start
            held = copy.lines[start - copy.start :] if there else []
            if (
                start > copy.start
                and there
                and copy.lines[start - copy.start - 1].term != start_term
            ):
                held = []
            copy.base, copy.state, copy.lines = base, state, held
            copy.start, copy.start_term = start, start_term
        else:
            raise ValueError(f"a note of kind {kind}")
    return copy


def compacted(copy: Copy) -> list[Note]:
    """The fewest notes that come to the same."""
    found: list[Note] = [
        (WHO, copy.record, copy.disk),
        (TERM, copy.term, copy.voted),
        (BASE, copy.base, copy.state, copy.start, copy.start_term),
    ]
    return found + [
        (LINE, copy.start + number, line.term, line.kind, line.data)
        for number, line in enumerate(copy.lines, 1)
    ]


class Machine(Protocol):
    """What the lines of the record come to."""

    def apply(self, index: int, line: LogEntry) -> None:
        """One more line is agreed."""

    def snapshot(self) -> bytes:
        """All of it, from which another can go on."""

    def restore(self, data: bytes) -> None:
        """Go on from what another has frozen; empty: from the beginning."""

    def has_applied(self, data: bytes) -> bool:
        """Whether this command was applied already."""


class Agreement:
    """One member's part in the record."""

    def __init__(
        self,
        name: str,
        copy: Copy,
        machine: Machine,
        now: int,
        chance: Random,
        pace: Pace = Pace(),
        fence: int = 0,
    ) -> None:
        """`fence`: till then it neither votes nor asks: others may say that its disk is old."""
        self.name, self.machine, self.pace, self.now = name, machine, pace, now
        self.random, self.sample = chance.random, chance.sample
        self.record, self.disk, self.term, self.voted = (
            copy.record,
            copy.disk,
            copy.term,
            copy.voted,
        )
        self.start, self.start_term, self.lines = copy.start, copy.start_term, list(copy.lines)
        self.base, self.state = copy.base, copy.state
        self.commit = self.applied = copy.base
        self.configs: list[
            tuple[int, dict[str, int]]
        ] = []  # from which line on who votes, with disk
        self.notes: list[Note] = []  # for the disk, in order
        self.noted = self.synced = self.proof = (
            0  # notes given, on the disk; with which terms and votes are
        )
        self.durable, self.marks = (
            self.last,
            deque[tuple[int, int]](),
        )  # lines on the disk; notes to lines
        self.waiting: deque[tuple[int, str, ConsensusMessage]] = (
            deque()
        )  # behind which note, to whom, what
        self.role, self.leader = FOLLOWER, ""
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}  # of each voter: the line that it is sent next
        self.match: dict[str, int] = {}  # up to which it holds ours on its disk
        self.rounds: dict[str, int] = {}  # of which of our rounds it has last answered
        self.flying: dict[str, int] = {}  # since when an answer is owed
        self.hinted: dict[str, int] = {}  # up to which line it was told that all is agreed
        self.heard: dict[str, int] = {}
        self.round, self.matched, self.told_term = 0, 0, 0
        self.reads: list[
            tuple[int, str, int, int]
        ] = []  # by which round, whose, its nonce, which line
        self.read_at: list[tuple[int, int]] = []  # nonce and line of what was asked for here
        self.ahead: dict[str, int] = {}  # who tells of more agreed lines than are here
        self.fetched_at, self.parts = now - pace.again, dict[int, bytes]()
        self.parts_of = (0, 0, 0)  # line, its term, bytes
        self.served, self.served_at = 0, now
        self.leader_heard = now - 2 * pace.timeout
        self.awake_at = now + fence
        self.beat_at = now
        self.doubt()
        self.kept, self.most_lines = KEPT, MAX_LOG_ENTRIES
        self.counts: Counter[str] = Counter()
        self.events: list[tuple[str, dict[str, Any]]] = []
        if copy.state:
            self.thaw(copy.state)
        self.read_configs()

    # Lines.

    @property
    def last(self) -> int:
        return self.start + len(self.lines)

    def term_at(self, index: int) -> int:
        return self.start_term if index <= self.start else self.lines[index - self.start - 1].term

    def line(self, index: int) -> LogEntry:
        return self.lines[index - self.start - 1]

    @property
    def config(self) -> dict[str, int]:
        """Who votes: by the latest line that says so, agreed or not."""
        return self.configs[-1][1] if self.configs else {}

    def read_configs(self) -> None:
        """Who votes by lines that are behind the state."""
        for index, line in enumerate(self.lines, self.start + 1):
            if line.kind == VOTERS and index > self.base:
                self.configs.append((index, unpack(line.data)))

    @property
    def votes_here(self) -> bool:
        return self.config.get(self.name) == self.disk

    def others(self) -> list[str]:
        return [name for name in self.config if name != self.name]

    def most(self, those: Iterable[str]) -> bool:
        """Whether these are more than half of the voters."""
        config = self.config
        return 2 * sum(name in config for name in set(those)) > len(config)

    def note(self, *note: Any) -> int:
        self.notes.append(note)
        self.noted += 1
        return self.noted

    def put(self, index: int, line: LogEntry) -> None:
        """A line becomes the last one; what was there from it on was never agreed."""
        if index <= self.last:
            self.cut(index)
        self.lines.append(line)
        self.marks.append((self.note(LINE, index, line.term, line.kind, line.data), index))
        if line.kind == VOTERS:
            self.configs.append((index, unpack(line.data)))

    def cut(self, index: int) -> None:
        assert index > self.commit, "what is agreed stays"
        del self.lines[index - self.start - 1 :]
        self.durable = min(self.durable, index - 1)
        self.marks = deque((seq, min(at, index - 1)) for seq, at in self.marks)
        while self.configs and self.configs[-1][0] >= index:
            self.configs.pop()

    def settle_term(self, term: int, voted: int) -> None:
        if term != self.term:
            self.matched = 0
        self.term, self.voted = term, voted
        self.proof = self.note(TERM, term, voted)

    def written(self, count: int) -> None:
        """So many notes, of all that were ever given, are on the disk."""
        self.synced = max(self.synced, count)
        before = self.durable
        while self.marks and self.marks[0][0] <= self.synced:
            self.durable = max(self.durable, self.marks.popleft()[1])
        if self.role == CANDIDATE and self.proof <= self.synced:
            self.votes.add(self.name)
            self.count_votes()
        if self.durable > before:
            if self.role == LEADER:
                self.advance()
            elif self.leader and self.matched:
                self.say(self.leader, APPEND_ACCEPTED, 1, self.held(), self.matched)

    # Out.

    def say(
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
            self.record,
            self.disk,
            self.term if term is None else term,
            one,
            two,
            three,
            four,
            lines or [],
            data,
        )
        self.waiting.append((self.barrier(), to, talk))

    def barrier(self) -> int:
        """Behind which note a talk waits: terms and votes are on the disk before anybody hears of them."""
        return self.proof

    def take(self) -> list[tuple[str, ConsensusMessage]]:
        """What may be sent now: to whom, what."""
        found = []
        while self.waiting and self.waiting[0][0] <= self.synced:
            _, to, talk = self.waiting.popleft()
            found.append((to, talk))
        return found

    # Time.

    def doubt(self) -> None:
        """From now a leader has to be heard of within a while of its own."""
        self.doubt_at = self.now + int(self.pace.timeout * (1.0 + self.random()))

    def due(self) -> int:
        """When `tick` wants to be called."""
        if self.role == LEADER:
            return self.beat_at
        found = self.fetched_at + self.pace.again if self.behind() else self.now + SECOND
        return min(found, max(self.doubt_at, self.awake_at)) if self.votes_here else found

    def tick(self, now: int) -> None:
        self.now = max(self.now, now)
        if self.role == LEADER:
            if now >= self.beat_at:
                self.check_most()
            if self.role == LEADER and now >= self.beat_at:
                self.broadcast(True)
        elif self.votes_here and now >= self.doubt_at and now >= self.awake_at:
            self.ask_early()
        if self.behind() and now >= self.fetched_at + self.pace.again:
            self.fetch()

    def check_most(self) -> None:
        """A leader that most voters do not answer is none: it steps down, as another may be there."""
        heard = [name for name, at in self.heard.items() if self.now - at <= 2 * self.pace.timeout]
        if not self.most([self.name, *heard]):
            self.step_down("unheard")

    # Elections.

    def ask_early(self) -> None:
        """Would most vote for this one? Only then it stands: one that was cut off disturbs nobody."""
        self.doubt()
        self.role, self.leader, self.votes = EARLY_ASKED, "", {self.name}
        self.counts["early"] += 1
        for name in self.others():
            self.say(name, PRE_VOTE_REQUEST, self.last, self.term_at(self.last), term=self.term + 1)
        if self.most(self.votes):
            self.campaign()

    def campaign(self, hurried: bool = False) -> None:
        self.role, self.leader, self.votes = CANDIDATE, "", set()
        self.doubt()
        self.settle_term(self.term + 1, self.disk)
        self.counts["elections"] += 1
        for name in self.others():
            self.say(name, VOTE_REQUEST, self.last, self.term_at(self.last), int(hurried))

    def up_to_date(self, last: int, term: int) -> bool:
        """Whether a log that ends so holds all that this one may know to be agreed."""
        return (term, last) >= (self.term_at(self.last), self.last)

    def led(self) -> bool:
        """Whether a leader was heard of late, so that nobody need ask for votes."""
        return self.role == LEADER or self.now - self.leader_heard < self.pace.timeout

    def on_ask_early(self, talk: ConsensusMessage, sender: str) -> None:
        good = (
            talk.term > self.term
            and self.up_to_date(talk.arg1, talk.arg2)
            and not self.led()
            and self.now >= self.awake_at
        )
        self.say(sender, PRE_VOTE_RESPONSE, int(good), term=talk.term if good else self.term)

    def on_early(self, talk: ConsensusMessage, sender: str) -> None:
        wanted = self.role == EARLY_ASKED and talk.arg1 and talk.term == self.term + 1
        if wanted and self.counts_as(talk, sender):
            self.votes.add(sender)
            if self.most(self.votes):
                self.campaign()

    def on_ask_vote(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term == self.term and self.may_vote(talk):
            if not self.voted:
                self.role = FOLLOWER
                self.settle_term(self.term, talk.disk)
            self.doubt()
            self.say(sender, VOTE_RESPONSE, 1)
        else:
            self.say(sender, VOTE_RESPONSE, 0)

    def may_vote(self, talk: ConsensusMessage) -> bool:
        return (
            self.voted in (0, talk.disk)
            and self.now >= self.awake_at
            and self.up_to_date(talk.arg1, talk.arg2)
        )

    def on_voted(self, talk: ConsensusMessage, sender: str) -> None:
        if (
            self.role == CANDIDATE
            and talk.term == self.term
            and talk.arg1
            and self.counts_as(talk, sender)
        ):
            self.votes.add(sender)
            self.count_votes()

    def counts_as(self, talk: ConsensusMessage, sender: str) -> bool:
        """Whether a voter's word is that of the disk that votes under its name."""
        return self.config.get(sender) == talk.disk

    def count_votes(self) -> None:
        if self.role == CANDIDATE and self.most(self.votes):
            self.lead()

    def lead(self) -> None:
        self.role, self.leader = LEADER, self.name
        self.next, self.match, self.flying, self.hinted = {}, {}, {}, {}
        self.rounds, self.reads = {}, []
        self.heard = {name: self.now for name in self.others()}
        self.counts["led"] += 1
        self.events.append(("consensus_leader_elected", {"term": self.term}))
        self.append(NOTHING, b"")

    def step_down(self, why: str) -> None:
        if self.role == LEADER:
            self.events.append(("agreement_led", {"term": self.term, "why": why}))
        if self.leader == self.name:
            self.leader = ""
        self.role, self.votes, self.reads = FOLLOWER, set(), []
        self.doubt()

    def retire(self) -> None:
        """It ends soon: whoever holds most is asked to take over at once."""
        if self.role == LEADER and self.match:
            best = max(self.match, key=lambda name: (self.match[name], name))
            if best in self.config:
                self.say(best, TIMEOUT_NOW)

    # Copies.

    def append(self, kind: int, data: bytes) -> int:
        """A leader's new line; its number."""
        index = self.last + 1
        self.put(index, LogEntry(self.term, kind, data))
        self.broadcast(False)
        return index

    def broadcast(self, beat: bool) -> None:
        self.round += 1
        if beat:
            self.beat_at = self.now + self.pace.beat
        for name in self.others():
            if beat or name not in self.flying or self.reads:
                self.send(name)

    def send(self, name: str) -> None:
        """To one voter: its next lines, and what is agreed."""
        first = max(self.next.setdefault(name, self.last), self.start + 1)
        lines = self.page(first, min(self.last, first + self.most_lines - 1))
        if lines:
            self.flying[name] = self.now
        self.hinted[name] = self.commit
        self.say(
            name, APPEND_ENTRIES, first - 1, self.term_at(first - 1), self.commit, self.round, lines
        )

    def page(self, first: int, last: int) -> list[LogEntry]:
        """Lines from the first on, as many as fit into one talk: one at least, if there is one."""
        lines, room = list[LogEntry](), MAX_CONSENSUS_BYTES - 80
        for index in range(first, min(last, first + MAX_LOG_ENTRIES - 1) + 1):
            line = self.line(index)
            room -= len(line.data) + 12
            if room < 0 and lines:
                break
            lines.append(line)
        return lines

    def on_append(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term < self.term:
            self.say(sender, APPEND_ACCEPTED, 0, 0, 0, 0)
            return
        if self.leader != sender:
            self.leader = sender
            self.events.append(("agreement_follows", {"leader": sender, "term": self.term}))
        if self.role != FOLLOWER:
            self.role, self.votes = FOLLOWER, set()
        self.leader_heard = self.now
        self.doubt()
        if not self.fits(talk):
            self.say(sender, APPEND_ACCEPTED, 0, self.hint(talk.arg1), 0, talk.arg4)
            return
        for index, line in enumerate(talk.lines, talk.arg1 + 1):
            if index <= self.start or index <= self.last and self.term_at(index) == line.term:
                continue
            self.put(index, line)
        self.matched = max(self.matched, talk.arg1 + len(talk.lines))
        self.say(sender, APPEND_ACCEPTED, 1, self.held(), self.matched, talk.arg4)
        self.agreed(min(talk.arg3, talk.arg1 + len(talk.lines)))

    def held(self) -> int:
        """Up to which line of the leader's is on the disk here."""
        return min(self.durable, self.matched)

    def fits(self, talk: ConsensusMessage) -> bool:
        """Whether the line before those that come is the one that the leader has."""
        return talk.arg1 <= self.last and (
            talk.arg1 < self.start or self.term_at(talk.arg1) == talk.arg2
        )

    def hint(self, index: int) -> int:
        """From which line on a leader had better send: the first of the term that differs."""
        if index > self.last:
            return self.last + 1
        term = self.term_at(index)
        while index > self.commit + 1 and self.term_at(index - 1) == term:
            index -= 1
        return max(index, self.commit + 1)

    def on_taken(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role != LEADER or talk.term != self.term or not self.counts_as(talk, sender):
            return
        self.heard[sender] = self.now
        self.rounds[sender] = max(self.rounds.get(sender, 0), talk.arg4)
        self.flying.pop(sender, None)
        if talk.arg1:
            self.match[sender] = max(self.match.get(sender, 0), talk.arg2)
            self.next[sender] = max(self.next.get(sender, 1), talk.arg3 + 1)
            self.advance()
            behind = self.next[sender] <= self.last or self.hinted.get(sender, 0) < self.commit
            if behind and sender not in self.flying:
                self.send(sender)
        elif talk.arg2 > self.match.get(sender, 0):
            self.next[sender] = min(talk.arg2, self.last + 1)
            if self.next[sender] <= self.start:
                self.say(sender, APPEND_REJECTED, self.commit)
            else:
                self.send(sender)
        self.answer_reads()

    def advance(self) -> None:
        """What most voters have on their disks is agreed, once a line of this leader's own is among it."""
        for index in range(self.last, self.commit, -1):
            if self.term_at(index) != self.term:
                return
            holders = [name for name, match in self.match.items() if match >= index]
            if self.durable >= index:
                holders.append(self.name)
            if self.most(holders):
                self.agreed(index)
                self.broadcast(False)
                return

    def agreed(self, index: int) -> None:
        """Lines up to this one are agreed."""
        if index <= self.commit:
            return
        self.commit = index
        while self.applied < self.commit:
            self.applied += 1
            line = self.line(self.applied)
            if line.kind > VOTERS:
                self.machine.apply(self.applied, line)
        if self.role == LEADER and self.name not in self.config:
            self.step_down("votes no longer")
        self.ahead = {name: line for name, line in self.ahead.items() if line > self.commit}
        if len(self.lines) > COMPACT:
            self.compact()

    def compact(self) -> None:
        """What the lines come to is kept instead of the oldest."""
        start = min(self.applied, self.last - self.kept)
        if start <= self.start:
            return
        known = [config for config in self.configs if config[0] <= self.applied]
        state = pack(
            (
                self.applied,
                self.term_at(self.applied),
                known[-1] if known else (0, {}),
                self.machine.snapshot(),
            )
        )
        start_term = self.term_at(start)
        self.lines = self.lines[start - self.start :]
        self.start, self.start_term, self.base, self.state = start, start_term, self.applied, state
        self.note(BASE, self.base, state, start, start_term)
        self.configs = known[-1:] + [config for config in self.configs if config[0] > self.applied]

    def thaw(self, state: bytes) -> tuple[int, int]:
        """Take up what another's lines came to; the last of them, and its term."""
        index, term, (since, config), inner = unpack(state)
        self.configs = [(since, config)]
        self.machine.restore(inner)
        return index, term

    # Voters, commands, reads.

    def change_voters(self, config: dict[str, int]) -> str:
        """Begin to change who votes, by one; why it can't be now, if it can't."""
        if self.role != LEADER:
            return "this member does not lead"
        if self.term_at(self.commit) != self.term:
            return "the leader has agreed on nothing yet"
        if self.configs and self.configs[-1][0] > self.commit:
            return "the last change of voters is not agreed yet"
        before = {(name, disk) for name, disk in self.config.items()}
        if len(before ^ set(config.items())) != 1:
            return "one voter at a time is added or taken away"
        if not config or len(config) > MOST_VOTERS:
            return f"1 to {MOST_VOTERS} members vote"
        self.append(VOTERS, pack(config))
        return ""

    def begin(
        self, record: int, config: dict[str, int], first: Iterable[tuple[int, bytes]] = ()
    ) -> None:
        """A record begins, with these voters and lines."""
        assert not self.record and not self.lines
        self.start_anew(record)
        self.settle_term(1, 0)
        for kind, data in [(VOTERS, pack(config)), *first]:
            self.put(self.last + 1, LogEntry(1, kind, data))
        self.doubt_at = self.now

    def recover(self) -> None:
        """By an operator's word, where most voters are lost for good: this member's copy goes on alone.

        All that is agreed here stays; who goes by the record as it was takes this one instead.
        """
        self.record += 1
        if self.last > self.commit:
            self.cut(self.commit + 1)
        for note in compacted(self.copy()):
            self.note(*note)
        self.step_down("recovered")
        self.settle_term(self.term + 1, 0)
        self.put(self.last + 1, LogEntry(self.term, VOTERS, pack({self.name: self.disk})))
        self.doubt_at = self.awake_at = self.now

    def command(self, kind: int, data: bytes) -> bool:
        """A command of a member; whether this one leads and has room for it."""
        if (
            self.role != LEADER
            or self.last - self.commit >= MOST_OPEN
            or len(data) > MAX_LOG_ENTRY_BYTES
        ):
            return False
        if not self.machine.has_applied(data) and not any(
            line.data == data for line in self.lines[self.commit - self.start :]
        ):
            self.append(kind, data)
        return True

    def on_forward(self, talk: ConsensusMessage, sender: str) -> None:
        for line in talk.lines[:1]:
            if line.kind > VOTERS:
                self.command(line.kind, line.data)

    def ask_read(self, nonce: int) -> None:
        """Up to which line one has to have learned to know all that is agreed by now: `read_at` will say."""
        if self.role == LEADER:
            self.on_read(
                ConsensusMessage(READ_INDEX_REQUEST, self.record, self.disk, self.term, nonce),
                self.name,
            )
        elif self.leader:
            self.say(self.leader, READ_INDEX_REQUEST, nonce)

    def on_read(self, talk: ConsensusMessage, sender: str) -> None:
        if (
            self.role != LEADER
            or self.term_at(self.commit) != self.term
            or len(self.reads) >= MOST_READS
        ):
            return  # it asks again
        self.reads.append((self.round + 1, sender, talk.arg1, self.commit))
        self.broadcast(False)
        self.answer_reads()

    def answer_reads(self) -> None:
        """A read is answered once most voters have answered a round that began after it."""
        left = []
        for read in self.reads:
            by, sender, nonce, index = read
            if not self.most(
                [self.name, *(name for name, done in self.rounds.items() if done >= by)]
            ):
                left.append(read)
            elif sender == self.name:
                self.read_at.append((nonce, index))
            else:
                self.say(sender, READ_INDEX_RESPONSE, nonce, index)
        self.reads = left

    # Learning.

    def behind(self) -> bool:
        return bool(self.ahead) and max(self.ahead.values()) > self.commit

    def told(self, sender: str, record: int, commit: int, term: int = 0, leader: int = 0) -> None:
        """Another tells up to which line it has learned the record, and whose disk leads."""
        if self.outdone(record):
            self.start_anew(record)
        if record == self.record and commit > self.commit and len(self.ahead) < 4_096:
            self.ahead[sender] = commit
        elif sender in self.ahead:
            del self.ahead[sender]
        if record == self.record and not self.votes_here and leader and term >= self.told_term:
            self.told_term = term
            self.leader = next(
                (name for name, disk in self.config.items() if disk == leader), self.leader
            )

    def outdone(self, record: int) -> bool:
        """Whether another record is to be gone by: any where there is none, or one recovered since."""
        return record > self.record and self.record // GENERATIONS in (0, record // GENERATIONS)

    def news(self, stamp: int) -> bytes:
        """What others are told in passing: which record and disk, how far, who leads, what is promised."""
        return pack(
            (self.record, self.disk, self.term, self.commit, self.config.get(self.leader, 0), stamp)
        )

    def copy(self) -> Copy:
        """What all notes that were given come to."""
        return Copy(
            self.record,
            self.disk,
            self.term,
            self.voted,
            self.start,
            self.start_term,
            self.base,
            self.state,
            list(self.lines),
        )

    def start_anew(self, record: int) -> None:
        """Go by another record, of which nothing is known here."""
        self.events.append(("consensus_cluster_id", {"record": f"{record:x}"}))
        fresh = self.record != 0
        self.record, self.term, self.voted = record, 0, 0
        self.start = self.start_term = self.base = self.commit = self.applied = self.durable = 0
        self.lines, self.state, self.configs, self.ahead, self.parts = [], b"", [], {}, {}
        self.marks.clear()
        self.waiting.clear()
        self.role, self.leader, self.matched = FOLLOWER, "", 0
        self.proof = self.note(WHO, record, self.disk)
        if fresh:
            self.machine.restore(b"")

    def fetch(self) -> None:
        """Ask one that is ahead for what is missing here."""
        self.fetched_at = self.now
        those = [one for one, line in self.ahead.items() if line > self.commit]
        # Who votes has enough to do: another learner is asked where one is ahead.
        name = self.sample([one for one in those if one not in self.config] or those, 1)[0]
        missing = 0
        while missing in self.parts:
            missing += PIECE_SIZE
        self.say(name, FETCH_ENTRIES, self.commit + 1, missing, self.parts_of[0])

    def may_serve(self) -> bool:
        if self.now - self.served_at >= self.pace.beat:
            self.served, self.served_at = 0, self.now
        self.served += 1
        return self.served <= SERVED

    def on_fetch(self, talk: ConsensusMessage, sender: str) -> None:
        """Give what is agreed here: lines, or the whole state in pieces where the lines are gone."""
        if talk.arg1 > self.commit:
            return
        if talk.arg1 <= self.start:
            offset = talk.arg2 if talk.arg3 == self.base else 0
            for at in range(offset, min(len(self.state), offset + PIECES * PIECE_SIZE), PIECE_SIZE):
                if self.may_serve():
                    self.say(
                        sender,
                        INSTALL_SNAPSHOT,
                        self.base,
                        at,
                        len(self.state),
                        0,
                        data=self.state[at : at + PIECE_SIZE],
                    )
            return
        index, talks = talk.arg1, 0
        while index <= self.commit and talks < PIECES and self.may_serve():
            lines = self.page(index, self.commit)
            index, talks = index + len(lines), talks + 1
            self.say(
                sender,
                FETCHED_ENTRIES,
                index - len(lines),
                int(index > self.commit or talks == PIECES),
                lines=lines,
            )

    def on_lines(self, talk: ConsensusMessage, sender: str) -> None:
        """Lines that are agreed."""
        if talk.arg1 > self.commit + 1:
            return
        for index, line in enumerate(talk.lines, talk.arg1):
            if index <= self.commit:
                continue
            if index > self.last or self.term_at(index) != line.term:
                self.put(index, line)
        self.take_term(talk.lines)
        self.agreed(talk.arg1 + len(talk.lines) - 1)
        if talk.arg2 and self.behind():
            self.fetch()

    def take_term(self, lines: Iterable[LogEntry]) -> None:
        """Whoever has learned a later term's lines follows no leader of an earlier one."""
        term = max((line.term for line in lines), default=0)
        if term > self.term:
            self.settle_term(term, 0)
            self.step_down("has learned of a later term")
            self.leader = ""

    def on_piece(self, talk: ConsensusMessage, sender: str) -> None:
        """A piece of a state whose lines are gone everywhere."""
        if talk.arg1 <= self.commit or talk.arg3 > MOST_STATE or talk.arg2 % PIECE_SIZE:
            return
        if talk.arg1 != self.parts_of[0]:
            if talk.arg1 < self.parts_of[0]:
                return
            self.parts, self.parts_of = {}, (talk.arg1, 0, talk.arg3)
        self.parts[talk.arg2] = talk.data
        self.fetched_at = self.now
        size = sum(map(len, self.parts.values()))
        if size >= self.parts_of[2]:
            state = b"".join(data for _, data in sorted(self.parts.items()))
            self.parts, self.parts_of = {}, (0, 0, 0)
            self.install(state)
        elif talk.arg2 // PIECE_SIZE % PIECES == PIECES - 1:
            self.fetch()

    def install(self, state: bytes) -> None:
        try:
            index, term = self.thaw(state)
        except (msgspec.DecodeError, ValueError, TypeError):
            self.counts["states_torn"] += 1
            return
        if index <= self.commit:
            return
        fits = self.start <= index <= self.last and self.term_at(index) == term
        self.lines = self.lines[index - self.start :] if fits else []
        self.start, self.start_term, self.base, self.state = index, term, index, state
        self.read_configs()
        self.commit = self.applied = index
        self.marks = deque((seq, at) for seq, at in self.marks if fits and at > index)
        self.durable = max(index, min(self.durable, self.last)) if fits else index
        self.note(BASE, index, state, index, term)
        self.counts["states_learned"] += 1
        self.take_term([LogEntry(term, NOTHING)])

    # What comes.

    def hear(self, talk: ConsensusMessage, sender: str, now: int) -> None:
        """A talk of a member that is proved to be of the fleet."""
        self.now = max(self.now, now)
        if talk.record != self.record:
            if self.outdone(talk.record):
                self.start_anew(talk.record)
            else:
                self.counts["other_record"] += 1
                return
        if (
            talk.kind in (VOTE_REQUEST, VOTE_RESPONSE, APPEND_ENTRIES, APPEND_ACCEPTED, TIMEOUT_NOW)
            or talk.kind == PRE_VOTE_RESPONSE
            and not talk.arg1
        ):
            if talk.term > self.term and not self.ignores(talk):
                self.later_term(talk)
        kind = talk.kind
        if kind == PRE_VOTE_REQUEST:
            self.on_ask_early(talk, sender)
        elif kind == PRE_VOTE_RESPONSE:
            self.on_early(talk, sender)
        elif kind == VOTE_REQUEST:
            self.on_ask_vote(talk, sender)
        elif kind == VOTE_RESPONSE:
            self.on_voted(talk, sender)
        elif kind == APPEND_ENTRIES:
            self.on_append(talk, sender)
        elif kind == APPEND_ACCEPTED:
            self.on_taken(talk, sender)
        elif kind == APPEND_REJECTED:
            self.told(sender, talk.record, talk.arg1)
            if self.behind():
                self.fetch()
        elif kind == FETCH_ENTRIES:
            self.on_fetch(talk, sender)
        elif kind == FETCHED_ENTRIES:
            self.on_lines(talk, sender)
        elif kind == INSTALL_SNAPSHOT:
            self.on_piece(talk, sender)
        elif kind == FORWARD_COMMAND:
            self.on_forward(talk, sender)
        elif kind == READ_INDEX_REQUEST:
            self.on_read(talk, sender)
        elif kind == READ_INDEX_RESPONSE:
            self.read_at.append((talk.arg1, talk.arg2))
            del self.read_at[:-MOST_READS]
        elif (
            kind == TIMEOUT_NOW
            and self.votes_here
            and talk.term == self.term
            and sender == self.leader
        ):
            self.campaign(True)

    def ignores(self, talk: ConsensusMessage) -> bool:
        """One that asks for votes though a leader is there, and does not say so, was taken out or cut off."""
        return talk.kind == VOTE_REQUEST and not talk.arg3 and self.led()

    def later_term(self, talk: ConsensusMessage) -> None:
        self.settle_term(talk.term, 0)
        self.step_down("a later term")
        self.leader = ""
