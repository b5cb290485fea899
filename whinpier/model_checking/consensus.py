"""The world of the record: voters, what is on their disks, talks in any order, crashes, pauses.

A crash loses what was not synced. A member that is simply not called has paused. Known of the world
and not to any member: which line was first applied at each number, who led in each term, what was
agreed when a read was asked for.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from whinpier.fleet.consensus.node import (
    CANDIDATE,
    LEADER,
    LINE,
    TERM,
    VOTERS,
    WHO,
    Agreement,
    Copy,
    Pace,
    pack,
    replayed,
    unpack,
)
from whinpier.fleet.messages import APPEND_ACCEPTED, VOTE_RESPONSE, ConsensusMessage, LogEntry
from whinpier.model_checking.network import Network
from whinpier.policy.decaying_sum import SECOND

STEP = SECOND
PACE = Pace(STEP, STEP, STEP)
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
        make: type[Agreement] = Agreement,
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
        first = LogEntry(1, VOTERS, pack(config))
        self.disk_notes: list[list[Any]] = [
            [
                (TERM, 1, 0),
                *([(LINE, 1, first.term, first.kind, first.data)] if place < self.voters else []),
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

    def started(self, place: int) -> Agreement:
        party = self.make(f"m{place}", self.on_disk(place), Lines(), self.now, self.chance(), PACE)
        party.most_lines = self.lines
        return party

    def on_disk(self, place: int) -> Copy:
        return replayed([(WHO, RECORD, place + 1), *self.disk_notes[place]])

    def lead_first(self) -> None:
        """The first has been voted for by all; nothing else has come yet."""
        self.now += 2 * STEP
        for party in self.parties[: self.voters]:
            party.now = self.now
            party.settle_term(2, 1)
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
            elif self.left and party.votes_here and party.doubt_at <= self.now and not full:
                found.append((f"m{place} doubts", ("doubt", place)))
            if self.reads and not full and (party.role == LEADER or party.leader):
                found.append((f"m{place} is asked what is agreed", ("read", place)))
            if party.behind() and not full:
                found.append((f"m{place} asks for what is missing", ("fetch", place)))
            found += self.own_steps(place, party)
        return found + self.usual_steps()

    def own_steps(self, place: int, party: Agreement) -> list[tuple[str, Hashable]]:
        """What may happen to a member's disk and process."""
        found: list[tuple[str, Hashable]] = []
        if self.disks and party.noted > party.synced:
            found.append((f"m{place}'s disk has it", ("sync", place)))
        if self.compacts and min(party.applied, party.last - 1) > party.start:
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
        return f"{NAMES[message.kind]} {message.term}/{message.arg1}/{message.arg2}+{len(message.lines)}"

    def deliver(self, place: int, message: ConsensusMessage, sender: int) -> None:
        self.parties[place].hear(message, f"m{(sender - 1) % 100}", self.now)
        self.after(place)

    def do_come(self, index: int) -> None:
        sender, to, message = self.network.pop(index)
        self.deliver((to - 1) % 100, message, sender)  # what was for its last run comes to the next

    def do_command(self, place: int) -> None:
        self.commands -= 1
        self.parties[place].command(COMMAND, b"c%d" % self.commands)
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
        party.beat_at = self.now
        party.tick(self.now)
        self.after(place)

    def do_doubt(self, place: int) -> None:
        self.left -= 1
        self.parties[place].tick(self.now)
        self.after(place)

    def do_fetch(self, place: int) -> None:
        party = self.parties[place]
        party.fetch()
        party.ahead.clear()
        self.after(place)

    def do_read(self, place: int) -> None:
        self.reads -= 1
        self.floors[self.reads] = max(self.chosen, default=0)
        self.parties[place].ask_read(self.reads)
        self.after(place)

    def do_compact(self, place: int) -> None:
        self.compacts -= 1
        party = self.parties[place]
        kept, party.kept = party.kept, 1
        party.compact()
        party.kept = kept
        self.after(place)

    def do_sync(self, place: int) -> None:
        self.sync(place)
        self.after(place)

    def sync(self, place: int) -> None:
        party = self.parties[place]
        notes, party.notes = party.notes, []
        self.disk_notes[place] += notes
        party.written(party.noted)

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.runs[place] += 100
        self.parties[place] = self.started(place)

    def do_time(self) -> None:
        self.left -= 1
        self.now += 2 * STEP

    def after(self, place: int) -> None:
        """Send what may go, and see what has become of it."""
        party = self.parties[place]
        if not self.disks and party.notes:
            self.sync(place)
        for to, talk in party.take():
            where = int(to[1:])
            if len(self.network) < self.messages + 2:
                self.network.append((self.runs[place], self.runs[where], talk))
        # Others tell in their pings how far they are.
        for other in self.parties:
            if other is not party and other.commit < party.commit and not other.votes_here:
                other.told(party.name, RECORD, party.commit, party.term, 0)
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
                    index > party.last
                    or index > party.start
                    and (party.line(index).term, party.line(index).data) != (term, data)
                ):
                    self.fault = (
                        f"{party.name} leads in term {party.term} without agreed line {index}"
                    )
        for index in range(max(party.start, 0) + 1, min(party.applied, party.last) + 1):
            line = party.line(index)
            self.agreed_in.setdefault(index, party.term)  # whoever led is the first to know
            if self.chosen.setdefault(index, (line.term, line.data)) != (line.term, line.data):
                self.fault = f"line {index} is one thing at {party.name} and was another"
        if party.applied > party.last:
            self.fault = f"{party.name} has applied what it does not hold"
        own = party.machine.all  # type: ignore[attr-defined]
        for index, data in own:
            if index in self.chosen and self.chosen[index][1] != data:
                self.fault = f"{party.name} acts on another line {index} than was agreed"
        numbers = [
            index
            for index, line in sorted(self.chosen.items())
            if line[1][:1] == b"c" and index <= party.applied
        ]
        if [index for index, _ in own] != numbers:
            self.fault = f"{party.name} has not acted on each agreed command once, in order"
        for nonce, index in party.read_at:
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
                    barrier - party.synced,
                    to,
                    talk.kind,
                    talk.term,
                    talk.arg1,
                    talk.arg2,
                    talk.arg3,
                    talk.arg4,
                    talk.data,
                )
                for barrier, to, talk in party.waiting
            )
            parties.append(
                (
                    party.role,
                    party.term,
                    party.voted,
                    party.leader,
                    tuple(sorted(party.votes)),
                    tuple((line.term, line.data) for line in party.lines),
                    party.start,
                    party.base,
                    party.commit,
                    party.durable,
                    party.matched,
                    party.noted - party.synced,
                    party.proof - party.synced,
                    tuple((seq - party.synced, at) for seq, at in party.marks),
                    tuple(sorted(party.next.items())),
                    tuple(sorted(party.match.items())),
                    tuple(sorted(party.rounds.items())) if self.floors else (),
                    party.round if self.floors else 0,
                    tuple(party.reads),
                    tuple(sorted(party.flying)),
                    tuple(sorted(party.hinted.items())),
                    max(0, party.doubt_at - self.now),
                    max(-PACE.timeout, party.leader_heard - self.now),
                    waiting,
                    tuple(sorted(party.ahead.items())),
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
                    tuple((line.term, line.data) for line in talk.lines),
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
                    copy.voted,
                    copy.start,
                    copy.base,
                    tuple((line.term, line.data) for line in copy.lines),
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
                if party.role != LEADER and party.votes_here and f"m{other}" in party.config:
                    found.append(
                        (f"m{place} stands, m{other} hears of it", ("elect", place, other))
                    )
                if party.role == LEADER and f"m{other}" in party.config:
                    found.append((f"m{place} copies to m{other}", ("copy_to", place, other)))
                if party.commit < self.parties[other].commit and not party.votes_here:
                    found.append((f"m{place} learns from m{other}", ("learn", place, other)))
            if party.role == LEADER and self.commands:
                found.append((f"m{place} is given a command", ("command", place)))
            if party.role == LEADER and party.match and self.left:
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
                if not self.disks and self.parties[place].notes:
                    self.sync(place)
                for to, talk in self.parties[place].take():
                    if to == f"m{other}":
                        self.parties[other].hear(talk, f"m{place}", self.now)
                        self.look(other)
                    elif len(self.network) < self.messages:
                        self.network.append((self.runs[place], self.runs[int(to[1:])], talk))
        self.look(one)
        self.look(two)

    def do_elect(self, place: int, other: int) -> None:
        self.left -= 1
        self.now += 4 * STEP
        party = self.parties[place]
        party.doubt_at = self.now
        party.tick(self.now)
        for _ in range(3):
            self.sync(place)
            self.exchange(place, other, 2)

    def do_retire(self, place: int) -> None:
        self.left -= 1
        party = self.parties[place]
        party.retire()
        for to, talk in party.take():
            self.parties[int(to[1:])].hear(talk, party.name, self.now)
            self.sync(int(to[1:]))
            self.after(int(to[1:]))

    def do_copy_to(self, place: int, other: int) -> None:
        self.left -= 1
        self.parties[place].send(f"m{other}")
        self.exchange(place, other, 1)

    def do_learn(self, place: int, other: int) -> None:
        self.left -= 1
        party, there = self.parties[place], self.parties[other]
        party.ahead = {there.name: there.commit}
        party.fetch()
        self.exchange(place, other, 2)

    def do_sync(self, place: int) -> None:
        self.sync(place)
        for to, talk in self.parties[place].take():
            if talk.kind in (APPEND_ACCEPTED, VOTE_RESPONSE):
                self.parties[int(to[1:])].hear(talk, f"m{place}", self.now)
                self.look(int(to[1:]))
            elif len(self.network) < self.messages:
                self.network.append((self.runs[place], self.runs[int(to[1:])], talk))
        self.look(place)


# Faults, put in one by one.


class ForgetsItsVote(Agreement):
    def may_vote(self, talk: ConsensusMessage) -> bool:
        self.voted = 0
        return super().may_vote(talk)


class VotesWithoutNote(Agreement):
    def on_ask_vote(self, talk: ConsensusMessage, sender: str) -> None:
        before, proof = len(self.notes), self.proof
        super().on_ask_vote(talk, sender)
        if len(self.notes) > before:
            self.notes.pop()
            self.noted -= 1
            self.proof = proof


class SaysBeforeTheDisk(Agreement):
    def barrier(self) -> int:
        return 0


class VotesForAnyLog(Agreement):
    def up_to_date(self, last: int, term: int) -> bool:
        return True


class VotesByLength(Agreement):
    def up_to_date(self, last: int, term: int) -> bool:
        return last >= self.last


class VotesByTerm(Agreement):
    def up_to_date(self, last: int, term: int) -> bool:
        return term >= self.term_at(self.last)


class CountsOlderTerms(Agreement):
    """What most hold of an earlier term is taken for agreed (figure 8 of the paper)."""

    def advance(self) -> None:
        for index in range(self.last, self.commit, -1):
            holders = [name for name, match in self.match.items() if match >= index]
            if self.most([*holders, *([self.name] if self.durable >= index else [])]):
                self.agreed(index)
                self.broadcast(False)
                return


class HalfIsMost(Agreement):
    def most(self, those: Any) -> bool:
        config = self.config
        return 2 * sum(name in config for name in set(those)) >= len(config) - 1


class TellsWhatIsNotSynced(Agreement):
    def held(self) -> int:
        return self.matched


class CountsItselfUnsynced(Agreement):
    def advance(self) -> None:
        durable, self.durable = self.durable, self.last
        super().advance()
        self.durable = min(durable, self.last)


class LooksAtNothingBefore(Agreement):
    def fits(self, talk: ConsensusMessage) -> bool:
        return talk.arg1 <= self.last


class CutsAtOldAppends(Agreement):
    """What comes late and is there already cuts off what has come since."""

    def on_append(self, talk: ConsensusMessage, sender: str) -> None:
        if talk.term == self.term and talk.lines and self.fits(talk):
            end = talk.arg1 + len(talk.lines)
            if self.commit <= end < self.last:
                self.cut(end + 1)
        super().on_append(talk, sender)


class KeepsWhatDiffers(Agreement):
    def put(self, index: int, line: LogEntry) -> None:
        if index > self.last:
            super().put(index, line)


class AgreesBeyondWhatCame(Agreement):
    def agreed(self, index: int) -> None:
        super().agreed(index)

    def on_append(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_append(talk, sender)
        if self.leader == sender:
            self.agreed(min(talk.arg3, self.last))


class LeadsOnInLaterTerms(Agreement):
    def later_term(self, talk: ConsensusMessage) -> None:
        role, leader, votes = self.role, self.leader, self.votes
        super().later_term(talk)
        if role == LEADER:
            self.role, self.leader, self.votes = role, leader, votes


class NotesNoTerm(Agreement):
    def later_term(self, talk: ConsensusMessage) -> None:
        super().later_term(talk)
        self.notes.pop()
        self.noted -= 1
        self.proof = 0


class CountsVotesOfBefore(Agreement):
    def on_voted(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role == CANDIDATE and talk.arg1:
            self.votes.add(sender)
            self.count_votes()


class CountsEarlyVotes(Agreement):
    """Who would vote has voted."""

    def campaign(self, hurried: bool = False) -> None:
        votes = set(self.votes)
        super().campaign(hurried)
        self.votes |= votes - {self.name}


class CountsAVoteAgain(Agreement):
    def on_voted(self, talk: ConsensusMessage, sender: str) -> None:
        self.again = getattr(self, "again", 0) + (
            talk.kind == VOTE_RESPONSE and talk.arg1 and sender in self.votes
        )
        super().on_voted(talk, sender)
        if self.again and self.role == CANDIDATE:
            self.lead()


class CountsRefusals(Agreement):
    def on_voted(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_voted(ConsensusMessage(talk.kind, talk.record, talk.disk, talk.term, 1), sender)


class ReadsWithoutAsking(Agreement):
    def answer_reads(self) -> None:
        self.rounds = {name: self.round for name in self.config}
        super().answer_reads()


class ReadsBeforeItsOwnLine(Agreement):
    def on_read(self, talk: ConsensusMessage, sender: str) -> None:
        if self.role == LEADER:
            self.reads.append((self.round + 1, sender, talk.arg1, self.commit))
            self.broadcast(False)
            self.answer_reads()


class ReadsByOldRounds(Agreement):
    def answer_reads(self) -> None:
        self.reads = [(min(read[0], 1), *read[1:]) for read in self.reads]
        super().answer_reads()


class TakesWordOfOtherTerms(Agreement):
    def on_taken(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_taken(
            ConsensusMessage(
                APPEND_ACCEPTED,
                talk.record,
                talk.disk,
                self.term,
                talk.arg1,
                talk.arg2,
                talk.arg3,
                talk.arg4,
            ),
            sender,
        )


class TakesOldAppends(Agreement):
    def on_append(self, talk: ConsensusMessage, sender: str) -> None:
        super().on_append(
            ConsensusMessage(
                talk.kind,
                talk.record,
                talk.disk,
                self.term,
                talk.arg1,
                talk.arg2,
                talk.arg3,
                talk.arg4,
                talk.lines,
            ),
            sender,
        )


class TeachesWhatIsNotAgreed(Agreement):
    def on_fetch(self, talk: ConsensusMessage, sender: str) -> None:
        commit, self.commit = self.commit, self.last
        super().on_fetch(talk, sender)
        self.commit = commit


class LearnsWithoutTheTerm(Agreement):
    """The code was so at first: one that had learned term 3 still followed a leader of term 2."""

    def take_term(self, lines: Any) -> None:
        pass


class ChangesVotersAtOnce(Agreement):
    """A second change begins before the first is agreed."""

    def change_voters(self, config: dict[str, int]) -> str:
        if self.role == LEADER and config:
            self.append(VOTERS, pack(config))
        return ""


class GoesByAgreedVotersOnly(Agreement):
    """A change of voters counts once it is agreed, by whoever voted before."""

    @property
    def config(self) -> dict[str, int]:
        agreed = [config for index, config in self.configs if index <= self.commit]
        return agreed[-1] if agreed else self.configs[0][1] if self.configs else {}


class ForgetsVotersWhenItCompacts(Agreement):
    def compact(self) -> None:
        super().compact()
        self.configs = self.configs[:1]


class StartsBehindItsState(Agreement):
    """A state is taken up with the lines that led to it once more."""

    def __init__(self, *given: Any, **more: Any) -> None:
        super().__init__(*given, **more)
        self.applied = self.commit = self.start


FAULTS: dict[str, type[Agreement]] = {
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
