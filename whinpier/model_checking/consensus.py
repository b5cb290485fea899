"""The world of the record: voters, what is on their disks, talks in any order, crashes, pauses.

A crash loses what was not synced. A member that is simply not called has paused. Known of the world
and not to any member: which line was first applied at each number, who led in each term, what was
agreed when a read was asked for.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any

from whinpier.fleet.consensus.commit_log import CommitPoint, committed_index
from whinpier.fleet.consensus.node import (
    CANDIDATE,
    CONFIG_ENTRY,
    ENTRY_RECORD,
    IDENTITY_RECORD,
    LEADER,
    TERM_RECORD,
    PersistentState,
    RaftNode,
    RaftTiming,
    pack,
    replay_journal,
    unpack,
)
from whinpier.fleet.messages import APPEND_RESPONSE, VOTE_RESPONSE, ConsensusMessage, LogEntry
from whinpier.model_checking.network import Network
from whinpier.policy.decaying_sum import SECOND

STEP = SECOND
PACE = RaftTiming(STEP, STEP, STEP)
RECORD, COMMAND = 256, 9
NAMES = (
    "asks early",
    "early",
    "asks for votes",
    "vote",
    "append",
    "taken",
    "behind",
    "fetch",
    "lines",
    "piece",
    "forward",
    "read",
    "read at",
    "hurry",
    "stale",
    "report",
)


class Lines:
    """What lines come to: their list."""

    def __init__(self) -> None:
        self.all: list[tuple[int, bytes]] = []

    def apply(self, index: int, line: LogEntry) -> None:
        self.all.append((index, line.data))

    def snapshot(self) -> bytes:
        return pack(self.all)

    def restore(self, data: bytes) -> None:
        self.all = [(index, bytes(one)) for index, one in unpack(data)] if data else []

    def has_applied(self, data: bytes) -> bool:
        return any(one == data for _, one in self.all)


class Recording(Network):
    """Voters by place, the network between them, their disks."""

    def __init__(
        self,
        members: int = 3,
        messages: int = 4,
        times: int = 3,
        crashes: int = 1,
        copies: int = 0,
        commands: int = 2,
        reads: int = 0,
        spare: int = 0,
        changes: int = 0,
        compacts: int = 0,
        make: type[RaftNode] = RaftNode,
        led: bool = False,
        disks: bool = True,
        losing: bool = True,
        lines: int = 32,
    ) -> None:
        """`spare`: members that do not vote at first; `led`: the first leads already; `disks`: sync late."""
        super().__init__(members, messages, crashes, copies)
        self.losing, self.lines = losing, lines
        self.make, self.left, self.commands, self.reads = make, times, commands, reads
        self.changes, self.compacts, self.disks = changes, compacts, disks
        self.voters = members - spare
        config = {f"m{place}": place + 1 for place in range(self.voters)}
        first = LogEntry(1, CONFIG_ENTRY, pack(config))
        self.disk_notes: list[list[Any]] = [
            [
                (TERM_RECORD, 1, 0),
                *(
                    [(ENTRY_RECORD, 1, first.term, first.kind, first.data)]
                    if place < self.voters
                    else []
                ),
            ]
            for place in range(members)
        ]
        self.parties = [self.started(place) for place in range(members)]
        self.chosen: dict[int, tuple[int, bytes]] = {}
        self.agreed_in: dict[int, int] = {}  # in which term each of them was agreed
        self.leaders: dict[int, str] = {}
        self.floors: dict[
            int, int
        ] = {}  # of reads: what was agreed anywhere when each was asked for
        self.fault = ""
        if led:
            self.lead_first()

    def party(self, place: int) -> Any:
        return self.parties[place]

    def started(self, place: int, points: Iterable[CommitPoint] = ()) -> RaftNode:
        state = self.on_disk(place)
        committed = committed_index(state, points)
        party = self.make(
            f"m{place}", state, Lines(), self.now, self.chance(), PACE, committed_index=committed
        )
        party.max_entries_per_append = self.lines
        return party

    def on_disk(self, place: int) -> PersistentState:
        return replay_journal([(IDENTITY_RECORD, RECORD, place + 1), *self.disk_notes[place]])

    def lead_first(self) -> None:
        """The first has been voted for by all; nothing else has come yet."""
        self.now += 2 * STEP
        for party in self.parties[: self.voters]:
            party.now = self.now
            party.set_term_and_vote(2, 1)
        for place in range(len(self.parties)):
            self.sync(place)
        leader = self.parties[0]
        leader.role, leader.votes = CANDIDATE, {"m0", "m1"}
        leader.count_votes()
        self.sync(0)
        self.after(0)

    # What can happen.

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        full = len(self.network) >= self.messages
        for place, party in enumerate(self.parties):
            if party.role == LEADER:
                if self.commands and not full:
                    found.append((f"m{place} is given a command", ("command", place)))
                if self.changes and not full:
                    found += self.change_steps(place)
                if self.left and not full:
                    found.append((f"m{place} beats", ("beat", place)))
            elif self.left and party.is_voter and party.election_due <= self.now and not full:
                found.append((f"m{place} doubts", ("doubt", place)))
            if self.reads and not full and (party.role == LEADER or party.leader):
                found.append((f"m{place} is asked what is agreed", ("read", place)))
            if party.is_behind() and not full:
                found.append((f"m{place} asks for what is missing", ("fetch", place)))
            found += self.own_steps(place, party)
        return found + self.usual_steps()

    def own_steps(self, place: int, party: RaftNode) -> list[tuple[str, Hashable]]:
        """What may happen to a member's disk and process."""
        found: list[tuple[str, Hashable]] = []
        if self.disks and party.records_issued > party.records_synced:
            found.append((f"m{place}'s disk has it", ("sync", place)))
        if self.compacts and min(party.last_applied, party.last_index - 1) > party.log_offset:
            found.append((f"m{place} compacts", ("compact", place)))
        if self.crashes:
            found.append((f"m{place} dies and starts", ("crash", place)))
        return found

    def change_steps(self, place: int) -> list[tuple[str, Hashable]]:
        return [
            (f"m{place} is to change whether m{other} votes", ("change", place, other))
            for other in range(len(self.parties))
            if other != place
        ]

    def describe(self, message: ConsensusMessage) -> str:
        return f"{NAMES[message.kind]} {message.term}/{message.arg1}/{message.arg2}+{len(message.entries)}"

    def deliver(self, place: int, message: ConsensusMessage, sender: int) -> None:
        self.parties[place].receive(message, f"m{(sender - 1) % 100}", self.now)
        self.after(place)

    def do_come(self, index: int) -> None:
        sender, to, message = self.network.pop(index)
        self.deliver((to - 1) % 100, message, sender)  # what was for its last run comes to the next

    def do_command(self, place: int) -> None:
        self.commands -= 1
        self.parties[place].propose(COMMAND, b"c%d" % self.commands)
        self.after(place)

    def do_change(self, place: int, other: int) -> None:
        self.changes -= 1
        party, name = self.parties[place], f"m{other}"
        config = dict(party.config)
        if name in config:
            del config[name]
        else:
            config[name] = other + 1
        party.change_voters(config)
        self.after(place)

    def do_beat(self, place: int) -> None:
        self.left -= 1
        party = self.parties[place]
        party.heartbeat_due = self.now
        party.tick(self.now)
        self.after(place)

    def do_doubt(self, place: int) -> None:
        self.left -= 1
        self.parties[place].tick(self.now)
        self.after(place)

    def do_fetch(self, place: int) -> None:
        party = self.parties[place]
        party.fetch_missing()
        party.peers_ahead.clear()
        self.after(place)

    def do_read(self, place: int) -> None:
        self.reads -= 1
        self.floors[self.reads] = max(self.chosen, default=0)
        self.parties[place].request_read_index(self.reads)
        self.after(place)

    def do_compact(self, place: int) -> None:
        self.compacts -= 1
        party = self.parties[place]
        kept, party.retained_entries = party.retained_entries, 1
        party.compact()
        party.retained_entries = kept
        self.after(place)

    def do_sync(self, place: int) -> None:
        self.sync(place)
        self.after(place)

    def sync(self, place: int) -> None:
        party = self.parties[place]
        notes, party.pending_records = party.pending_records, []
        self.disk_notes[place] += notes
        party.on_records_synced(party.records_issued)

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.runs[place] += 100
        party = self.parties[place]
        # It was on disk at once: that the log comes later must not make more committed than was.
        point = CommitPoint(RECORD, party.commit_index, party.term_at(party.commit_index))
        self.parties[place] = self.started(place, [point])

    def do_time(self) -> None:
        self.left -= 1
        self.now += 2 * STEP

    def after(self, place: int) -> None:
        """Send what may go, and see what has become of it."""
        party = self.parties[place]
        if not self.disks and party.pending_records:
            self.sync(place)
        for to, talk in party.take_messages():
            where = int(to[1:])
            if len(self.network) < self.messages + 2:
                self.network.append((self.runs[place], self.runs[where], talk))
        # Others tell in their pings how far they are.
        for other in self.parties:
            if (
                other is not party
                and other.commit_index < party.commit_index
                and not other.is_voter
            ):
                other.on_commit_announced(party.name, RECORD, party.commit_index, party.term, 0)
        self.look(place)

    def look(self, place: int) -> None:
        party = self.parties[place]
        if party.role == LEADER:
            first = self.leaders.setdefault(party.term, party.name)
            if first != party.name:
                self.fault = f"{first} and {party.name} lead in term {party.term}"
            for index, (term, data) in self.chosen.items():
                if self.agreed_in[index] >= party.term:
                    continue  # it may lead no more and not know it
                if (
                    index > party.last_index
                    or index > party.log_offset
                    and (party.entry(index).term, party.entry(index).data) != (term, data)
                ):
                    self.fault = (
                        f"{party.name} leads in term {party.term} without agreed line {index}"
                    )
        for index in range(
            max(party.log_offset, 0) + 1, min(party.last_applied, party.last_index) + 1
        ):
            line = party.entry(index)
            self.agreed_in.setdefault(index, party.term)  # whoever led is the first to know
            if self.chosen.setdefault(index, (line.term, line.data)) != (line.term, line.data):
                self.fault = f"line {index} is one thing at {party.name} and was another"
        if party.last_applied > party.last_index:
            self.fault = f"{party.name} has applied what it does not hold"
        own = party.state_machine.all  # type: ignore[attr-defined]
        for index, data in own:
            if index in self.chosen and self.chosen[index][1] != data:
                self.fault = f"{party.name} acts on another line {index} than was agreed"
        numbers = [
            index
            for index, line in sorted(self.chosen.items())
            if line[1][:1] == b"c" and index <= party.last_applied
        ]
        if [index for index, _ in own] != numbers:
            self.fault = f"{party.name} has not acted on each agreed command once, in order"
        for nonce, index in party.read_results:
            if index < self.floors.get(nonce, 0):
                self.fault = f"a read was told line {index} when {self.floors[nonce]} was agreed"
        party.events = []

    def do(self, step: Any) -> None:
        try:
            super().do(step)
        except (AssertionError, IndexError) as fault:
            self.fault = f"it raised {type(fault).__name__} {fault}"

    def broken(self) -> str:
        return self.fault

    def mark(self) -> Hashable:
        parties = []
        for party in self.parties:
            waiting = tuple(
                (
                    sync_barrier - party.records_synced,
                    to,
                    talk.kind,
                    talk.term,
                    talk.arg1,
                    talk.arg2,
                    talk.arg3,
                    talk.arg4,
                    talk.data,
                )
                for sync_barrier, to, talk in party.outbox
            )
            parties.append(
                (
                    party.role,
                    party.term,
                    party.voted_for,
                    party.leader,
                    tuple(sorted(party.votes)),
                    tuple((line.term, line.data) for line in party.entries),
                    party.log_offset,
                    party.snapshot_index,
                    party.commit_index,
                    party.durable_index,
                    party.matched_index,
                    party.records_issued - party.records_synced,
                    party.term_record - party.records_synced,
                    tuple((seq - party.records_synced, at) for seq, at in party.unsynced_entries),
                    tuple(sorted(party.next_index.items())),
                    tuple(sorted(party.match_index.items())),
                    tuple(sorted(party.acked_rounds.items())) if self.floors else (),
                    party.round if self.floors else 0,
                    tuple(party.pending_reads),
                    tuple(sorted(party.in_flight_since)),
                    tuple(sorted(party.sent_commit_index.items())),
                    max(0, party.election_due - self.now),
                    max(-PACE.election_timeout, party.leader_contact_at - self.now),
                    waiting,
                    tuple(sorted(party.peers_ahead.items())),
                )
            )
        network = tuple(
            sorted(
                (
                    sender,
                    to,
                    talk.kind,
                    talk.term,
                    talk.arg1,
                    talk.arg2,
                    talk.arg3,
                    talk.arg4,
                    tuple((line.term, line.data) for line in talk.entries),
                    talk.data,
                )
                for sender, to, talk in self.network
            )
        )
        disks = [self.on_disk(place) for place in range(len(self.parties) if self.crashes else 0)]
        return (
            tuple(parties),
            network,
            tuple(self.runs),
            self.left,
            self.crashes,
            self.copies,
            self.commands,
            self.reads,
            self.changes,
            self.compacts,
            tuple(sorted(self.floors.items())),
            tuple(sorted(self.agreed_in.items())),
            tuple(
                (
                    copy.term,
                    copy.voted_for,
                    copy.log_offset,
                    copy.snapshot_index,
                    tuple((line.term, line.data) for line in copy.entries),
                )
                for copy in disks
            ),
        )


class Coarse(Recording):
    """The same world in larger steps: an election between two, a leader's copies to one, both ways.

    Each is some of the small steps in one of their orders, so that what breaks here can break
    there; what is sent to others meanwhile is late, or lost where the network is full. Longer days
    are reached so.
    """

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        those = range(len(self.parties))
        for place, party in enumerate(self.parties):
            for other in those:
                if other == place or not self.left:
                    continue
                if party.role != LEADER and party.is_voter and f"m{other}" in party.config:
                    found.append(
                        (f"m{place} stands, m{other} hears of it", ("elect", place, other))
                    )
                if party.role == LEADER and f"m{other}" in party.config:
                    found.append((f"m{place} copies to m{other}", ("copy_to", place, other)))
                if party.commit_index < self.parties[other].commit_index and not party.is_voter:
                    found.append((f"m{place} learns from m{other}", ("learn", place, other)))
            if party.role == LEADER and self.commands:
                found.append((f"m{place} is given a command", ("command", place)))
            if party.role == LEADER and party.match_index and self.left:
                found.append((f"m{place} ends soon", ("retire", place)))
            if party.role == LEADER and self.changes:
                found += self.change_steps(place)
            if self.reads and party.role == LEADER:
                found.append((f"m{place} is asked what is agreed", ("read", place)))
            found += self.own_steps(place, party)
        return found + self.message_steps()

    def exchange(self, one: int, two: int, rounds: int) -> None:
        """What two say to each other, so many times each."""
        for _ in range(rounds):
            for place, other in ((one, two), (two, one)):
                if not self.disks and self.parties[place].pending_records:
                    self.sync(place)
                for to, talk in self.parties[place].take_messages():
                    if to == f"m{other}":
                        self.parties[other].receive(talk, f"m{place}", self.now)
                        self.look(other)
                    elif len(self.network) < self.messages:
                        self.network.append((self.runs[place], self.runs[int(to[1:])], talk))
        self.look(one)
        self.look(two)

    def do_elect(self, place: int, other: int) -> None:
        self.left -= 1
        self.now += 4 * STEP
        party = self.parties[place]
        party.election_due = self.now
        party.tick(self.now)
        for _ in range(3):
            self.sync(place)
            self.exchange(place, other, 2)

    def do_retire(self, place: int) -> None:
        self.left -= 1
        party = self.parties[place]
        party.transfer_leadership()
        for to, talk in party.take_messages():
            self.parties[int(to[1:])].receive(talk, party.name, self.now)
            self.sync(int(to[1:]))
            self.after(int(to[1:]))

    def do_copy_to(self, place: int, other: int) -> None:
        self.left -= 1
        self.parties[place].send_entries(f"m{other}")
        self.exchange(place, other, 1)

    def do_learn(self, place: int, other: int) -> None:
        self.left -= 1
        party, there = self.parties[place], self.parties[other]
        party.peers_ahead = {there.name: there.commit_index}
        party.fetch_missing()
        self.exchange(place, other, 2)

    def do_sync(self, place: int) -> None:
        self.sync(place)
        for to, talk in self.parties[place].take_messages():
            if talk.kind in (APPEND_RESPONSE, VOTE_RESPONSE):
                self.parties[int(to[1:])].receive(talk, f"m{place}", self.now)
                self.look(int(to[1:]))
            elif len(self.network) < self.messages:
                self.network.append((self.runs[place], self.runs[int(to[1:])], talk))
        self.look(place)


# Faults, put in one by one.


class ForgetsItsVote(RaftNode):
    def can_grant_vote(self, talk: ConsensusMessage) -> bool:
        self.voted_for = 0
        return super().can_grant_vote(talk)


class VotesWithoutNote(RaftNode):
    def on_vote_request(self, talk: ConsensusMessage, sender: str) -> None:
        before, proof = len(self.pending_records), self.term_record
        super().on_vote_request(talk, sender)
        if len(self.pending_records) > before:
            self.pending_records.pop()
            self.records_issued -= 1
            self.term_record = proof


class SaysBeforeTheDisk(RaftNode):
    def sync_barrier(self) -> int:
        return 0


class VotesForAnyLog(RaftNode):
    def is_up_to_date(self, last: int, term: int) -> bool:
        return True


class VotesByLength(RaftNode):
    def is_up_to_date(self, last: int, term: int) -> bool:
        return last >= self.last_index


class VotesByTerm(RaftNode):
    def is_up_to_date(self, last: int, term: int) -> bool:
        return term >= self.term_at(self.last_index)


class CountsOlderTerms(RaftNode):
    """What most hold of an earlier term is taken for agreed (figure 8 of the paper)."""

    def advance_commit_index(self) -> None:
        for index in range(self.last_index, self.commit_index, -1):
            holders = [name for name, match in self.match_index.items() if match >= index]
            if self.is_quorum([*holders, *([self.name] if self.durable_index >= index else [])]):
                self.commit_through(index)
                self.broadcast(False)
                return


class HalfIsMost(RaftNode):
    def is_quorum(self, those: Any) -> bool:
        config = self.config
        return 2 * sum(name in config for name in set(those)) >= len(config) - 1


class TellsWhatIsNotSynced(RaftNode):
    def durable_match_index(self) -> int:
        return self.matched_index


class CountsItselfUnsynced(RaftNode):
    def advance_commit_index(self) -> None:
        durable, self.durable_index = self.durable_index, self.last_index
        super().advance_commit_index()
        self.durable_index = min(durable, self.last_index)


class LooksAtNothingBefore(RaftNode):
    def matches_previous_entry(self, talk: ConsensusMessage) -> bool:
        return talk.arg1 <= self.last_index


class CutsAtOldAppends(RaftNode):
    """What comes late and is there already cuts off what has come since."""

    def on_append_entries(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term == self.term and talk.entries and self.matches_previous_entry(talk):
            end = talk.arg1 + len(talk.entries)
            if self.commit_index <= end < self.last_index:
                self.truncate_from(end + 1)
        super().on_append_entries(talk, sender)


class KeepsWhatDiffers(RaftNode):
    def append_entry(self, index: int, line: LogEntry) -> None:
        if index > self.last_index:
            super().append_entry(index, line)


class AgreesBeyondWhatCame(RaftNode):
    def commit_through(self, index: int) -> None:
        super().commit_through(index)

    def on_append_entries(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_append_entries(talk, sender)
        if self.leader == sender:
            self.commit_through(min(talk.arg3, self.last_index))


class LeadsOnInLaterTerms(RaftNode):
    def on_later_term(self, talk: ConsensusMessage) -> None:
        role, leader, votes = self.role, self.leader, self.votes
        super().on_later_term(talk)
        if role == LEADER:
            self.role, self.leader, self.votes = role, leader, votes


class NotesNoTerm(RaftNode):
    def on_later_term(self, talk: ConsensusMessage) -> None:
        super().on_later_term(talk)
        self.pending_records.pop()
        self.records_issued -= 1
        self.term_record = 0


class CountsVotesOfBefore(RaftNode):
    def on_vote_response(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role == CANDIDATE and talk.arg1:
            self.votes.add(sender)
            self.count_votes()


class CountsEarlyVotes(RaftNode):
    """Who would vote has voted."""

    def start_election(self, hurried: bool = False) -> None:
        votes = set(self.votes)
        super().start_election(hurried)
        self.votes |= votes - {self.name}


class CountsAVoteAgain(RaftNode):
    def on_vote_response(self, talk: ConsensusMessage, sender: str) -> None:
        self.again = getattr(self, "again", 0) + (
            talk.kind == VOTE_RESPONSE and talk.arg1 and sender in self.votes
        )
        super().on_vote_response(talk, sender)
        if self.again and self.role == CANDIDATE:
            self.become_leader()


class CountsRefusals(RaftNode):
    def on_vote_response(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_vote_response(
            ConsensusMessage(talk.kind, talk.cluster_id, talk.disk_id, talk.term, 1), sender
        )


class ReadsWithoutAsking(RaftNode):
    def answer_pending_reads(self) -> None:
        self.acked_rounds = {name: self.round for name in self.config}
        super().answer_pending_reads()


class ReadsBeforeItsOwnLine(RaftNode):
    def on_read_index_request(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role == LEADER:
            self.pending_reads.append((self.round + 1, sender, talk.arg1, self.commit_index))
            self.broadcast(False)
            self.answer_pending_reads()


class ReadsByOldRounds(RaftNode):
    def answer_pending_reads(self) -> None:
        self.pending_reads = [(min(read[0], 1), *read[1:]) for read in self.pending_reads]
        super().answer_pending_reads()


class TakesWordOfOtherTerms(RaftNode):
    def on_append_response(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_append_response(
            ConsensusMessage(
                APPEND_RESPONSE,
                talk.cluster_id,
                talk.disk_id,
                self.term,
                talk.arg1,
                talk.arg2,
                talk.arg3,
                talk.arg4,
            ),
            sender,
        )


class TakesOldAppends(RaftNode):
    def on_append_entries(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_append_entries(
            ConsensusMessage(
                talk.kind,
                talk.cluster_id,
                talk.disk_id,
                self.term,
                talk.arg1,
                talk.arg2,
                talk.arg3,
                talk.arg4,
                talk.entries,
            ),
            sender,
        )


class TeachesWhatIsNotAgreed(RaftNode):
    def on_fetch(self, talk: ConsensusMessage, sender: str) -> None:
        commit, self.commit_index = self.commit_index, self.last_index
        super().on_fetch(talk, sender)
        self.commit_index = commit


class LearnsWithoutTheTerm(RaftNode):
    """The code was so at first: one that had learned term 3 still followed a leader of term 2."""

    def adopt_term(self, lines: Any) -> None:
        pass


class ChangesVotersAtOnce(RaftNode):
    """A second change begins before the first is agreed."""

    def change_voters(self, config: dict[str, int]) -> str:
        if self.role == LEADER and config:
            self.append_as_leader(CONFIG_ENTRY, pack(config))
        return ""


class GoesByAgreedVotersOnly(RaftNode):
    """A change of voters counts once it is agreed, by whoever voted before."""

    @property
    def config(self) -> dict[str, int]:
        agreed = [config for index, config in self.configs if index <= self.commit_index]
        return agreed[-1] if agreed else self.configs[0][1] if self.configs else {}


class ForgetsVotersWhenItCompacts(RaftNode):
    def compact(self) -> None:
        super().compact()
        self.configs = self.configs[:1]


class StartsBehindItsState(RaftNode):
    """A state is taken up with the lines that led to it once more."""

    def __init__(self, *given: Any, **more: Any) -> None:
        super().__init__(*given, **more)
        self.last_applied = self.commit_index = self.log_offset


FAULTS: dict[str, type[RaftNode]] = {
    fault.__name__: fault
    for fault in (
        ForgetsItsVote,
        VotesWithoutNote,
        SaysBeforeTheDisk,
        VotesForAnyLog,
        VotesByLength,
        VotesByTerm,
        CountsOlderTerms,
        HalfIsMost,
        TellsWhatIsNotSynced,
        CountsItselfUnsynced,
        LooksAtNothingBefore,
        CutsAtOldAppends,
        KeepsWhatDiffers,
        AgreesBeyondWhatCame,
        LeadsOnInLaterTerms,
        NotesNoTerm,
        CountsVotesOfBefore,
        CountsEarlyVotes,
        CountsAVoteAgain,
        CountsRefusals,
        ReadsWithoutAsking,
        ReadsBeforeItsOwnLine,
        ReadsByOldRounds,
        TakesWordOfOtherTerms,
        TakesOldAppends,
        TeachesWhatIsNotAgreed,
        LearnsWithoutTheTerm,
        ChangesVotersAtOnce,
        GoesByAgreedVotersOnly,
        ForgetsVotersWhenItCompacts,
        StartsBehindItsState,
    )
}
