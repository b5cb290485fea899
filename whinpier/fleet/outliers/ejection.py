"""Decides which upstreams the whole fleet lets rest, by what witnesses, and until when.

Each member measures how much slower than its own usual an upstream answers it. Who suspects one
asks the others what they have seen; where enough of those who tried it, by their own measure and in
good standing themselves, saw the same, it asks for votes. A pool has a few slots for what rests;
each slot goes to one upstream at a time, by the votes of most of all members that are reckoned
with, for a few seconds; so no two judges and no two parts of a fleet that is cut let more rest than
there are slots: docs/design/verdicts.md.

Free of I/O: handed time, chance, messages. Must never count the word of one whose own ways are bad,
let rest what all see slow, apply a verdict beyond its lease, or vote for two in one slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from whinpier.fleet.messages import EVIDENCE, HEARING, REST, VOTE, VOTE_FOR, Plea
from whinpier.policy.decaying_sum import SECOND, Sum

MS = SECOND // 1000
SPAN = (
    4 * SECOND // 5
)  # over which answers count: with longer ones good answers of before outweigh bad ones
CAP = 10.0  # times the usual: one answer says no more, however late
OVERDUE = 4.0  # times the usual, after which what has no answer counts as one by its age
DRIFT, TRIGGER = (
    1.5,
    6.0,
)  # of the sum by which one suspects: one answer ten times late, or a few slow ones
HEARD_AGAIN = SECOND // 4  # between two rounds of one hearing
HEARING_FOR = 3 * SECOND  # without a verdict
MOST_HEARINGS = 8  # at once, of one member
APART = SECOND // 3  # that somebody else's hearing of the same holds back one's own
FRESH = 0.4  # of an answer that fades: whoever has heard nothing for a second says nothing
LEAST = 5.0  # answers, over all: by chance their mean is three times the usual once in a thousand
WEIGHT = 3.0  # answers that one member's word counts for at most
WITNESS = 2.0  # times the usual: whoever saw that is a witness
STANDING = (
    1 / 3
)  # of the upstreams that one tried may look bad to it: with more it is its own trouble
VOTES_IN = SECOND // 2  # that votes are waited for
SLACK = SECOND // 4  # that a voter waits longer: a late loop, clocks that run apart
FORGET = 600 * SECOND  # after which an upstream's earlier rests count no longer
MOST_KNOWN = 4_096  # upstreams, votes and rests that are remembered


@dataclass(frozen=True)
class Rules:
    """What the operator's file says of verdicts."""

    part: float = 0.2  # of a pool, and of each of its zones, that rests at once at most
    witnesses: int = 3
    slow: float = 3.0  # times the usual, over all who saw it
    life: int = 6 * SECOND  # of a verdict that is not renewed
    term: int = 10 * SECOND  # until it is tried again; doubled each time it fails again
    most_term: int = 300 * SECOND
    back: int = 5 * SECOND  # over which members take it up again, by chance


@dataclass(slots=True)
class Seen:
    """What this member measured at one upstream."""

    answers: Sum
    ratios: Sum
    suspicion: float = 0.0
    out: dict[int, int] = field(default_factory=dict)  # attempts without an answer: since when


@dataclass(slots=True)
class Hearing:
    """One upstream that this member has asked the others about."""

    pool: int
    key: int
    began: int
    asked: int = 0
    nonce: int = 0
    words: dict[int, tuple[float, float, bool]] = field(
        default_factory=dict
    )  # answers, ratio, standing


@dataclass(slots=True)
class Case:
    """One verdict that this member asks votes for, or keeps up."""

    pool: int
    key: int
    zone: int
    slot: int
    zone_slot: int
    until: int  # the term's end
    strikes: int
    asked: int = 0
    nonce: int = 0
    votes: dict[int, int] = field(default_factory=dict)  # by member: ns from asking to its vote
    holds: bool = False
    refused: int = 0
    by_hand: bool = False


@dataclass(slots=True)
class Given:
    """A vote of this member."""

    key: int
    until: int
    at: int
    nonce: int
    judge: int


Slot = tuple[int, int, int]  # pool, zone (0: the whole pool), number


class Court:
    """One member's part in the fleet's verdicts."""

    def __init__(self, rules: Rules, own: int, now: int, chance: Random, fence: int = 0) -> None:
        """`fence`: votes of this member's last run may still hold for so long."""
        self.rules, self.own, self.random, self.bits = rules, own, chance.random, chance.getrandbits
        self.fenced_till = now + fence
        self.seen: dict[tuple[int, int], Seen] = {}
        self.zones: dict[tuple[int, int], int] = {}  # of upstreams that are listed
        self.hearings: dict[tuple[int, int], Hearing] = {}
        self.others: dict[
            tuple[int, int], int
        ] = {}  # hearings of others: until when they hold back our own
        self.cases: dict[tuple[int, int], Case] = {}
        self.given: dict[Slot, Given] = {}
        self.rests: dict[tuple[int, int], int] = {}  # what rests here: until when
        self.returns: dict[tuple[int, int], int] = {}  # what is taken up again, and when
        self.strikes: dict[tuple[int, int], tuple[int, int]] = {}  # how often it rested, when last
        self.out: list[tuple[int, Plea]] = []  # to whom (0: all who share the pool), what
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.counts: Counter[str] = Counter()

    # What this member measures.

    def listed(self, pool: int, upstreams: dict[int, int]) -> None:
        """The upstreams that a pool's list has, with their zones."""
        self.zones = {known: zone for known, zone in self.zones.items() if known[0] != pool}
        for key, zone in list(upstreams.items())[:MOST_KNOWN]:
            self.zones[pool, key] = zone
        self.seen = {known: seen for known, seen in self.seen.items() if known in self.zones}
        for known in [
            known for known in self.rests if known[0] == pool and known not in self.zones
        ]:
            self.lift(known, 0)

    def sent(self, pool: int, key: int, number: int, now: int) -> None:
        """An attempt has gone out."""
        if (seen := self.of(pool, key, now)) is not None:
            seen.out[number] = now

    def came(self, pool: int, key: int, number: int, ratio: float, now: int) -> None:
        """It has its outcome, after so many times the usual; an error is as bad as one that is late."""
        if (seen := self.of(pool, key, now)) is None:
            return
        seen.out.pop(number, None)
        if ratio < 0.0:
            return  # it was never there
        ratio = min(ratio, CAP)
        seen.answers.add(now)
        seen.ratios.add(now, ratio)
        seen.suspicion = max(0.0, seen.suspicion + ratio - DRIFT)
        if seen.suspicion >= TRIGGER:
            self.suspect(pool, key, now)

    def of(self, pool: int, key: int, now: int) -> Seen | None:
        seen = self.seen.get((pool, key))
        if seen is None and (pool, key) in self.zones:
            seen = self.seen[pool, key] = Seen(Sum(SPAN, now), Sum(SPAN, now))
        return seen

    def measured(self, pool: int, key: int, usual: float, now: int) -> tuple[float, float]:
        """Answers and their mean ratio of late, with what is overdue by its age."""
        seen = self.seen.get((pool, key))
        if seen is None:
            return 0.0, 0.0
        answers, ratios = seen.answers.read(now), seen.ratios.read(now)
        for since in seen.out.values():
            if (age := (now - since) / usual) > OVERDUE:
                answers, ratios = answers + 1.0, ratios + min(age, CAP)
        return answers, ratios / answers if answers > 0.2 else 0.0

    def stands(self, pool: int, usual: float, now: int) -> bool:
        """Whether this member's own ways are good: most that it tried does not look bad to it."""
        tried = bad = 0
        for other, key in self.zones:
            if other == pool:
                answers, ratio = self.measured(pool, key, usual, now)
                tried += answers >= 0.3
                bad += answers >= 0.3 and ratio >= WITNESS
        return tried >= 3 and bad <= max(1.0, STANDING * tried)

    def look(self, pool: int, usual: float, now: int) -> None:
        """Once in a while: whether something is out at an upstream for far too long."""
        for (other, key), seen in self.seen.items():
            if other == pool and seen.out and (pool, key) not in self.hearings:
                late = sum(now - since > OVERDUE * usual for since in seen.out.values())
                if late and (now - min(seen.out.values())) / usual > CAP:
                    self.suspect(pool, key, now)

    # Hearings.

    def suspect(self, pool: int, key: int, now: int) -> None:
        """Ask the others what they have seen."""
        known = pool, key
        if (
            known in self.hearings
            or known in self.rests
            or known in self.cases
            or known in self.returns
            or len(self.hearings) >= MOST_HEARINGS
            or self.others.get(known, 0) > now
        ):
            return
        self.counts["hearings"] += 1
        self.hearings[known] = Hearing(pool, key, now)

    def ask(self, hearing: Hearing, now: int) -> None:
        hearing.asked, hearing.nonce = now, self.bits(62) | 1
        self.out.append((0, Plea(HEARING, hearing.pool, hearing.key, hearing.nonce)))

    def word(self, pool: int, key: int, usual: float, now: int) -> tuple[float, float, bool]:
        answers, ratio = self.measured(pool, key, usual, now)
        return answers, ratio, self.stands(pool, usual, now)

    def weigh(self, words: Iterable[tuple[float, float, bool]]) -> tuple[int, int, float, float]:
        """Of what members saw: who tried it and stands well, the witnesses, their weight, the mean ratio."""
        tried = [
            (min(answers, WEIGHT), ratio)
            for answers, ratio, stands in words
            if stands and answers >= FRESH
        ]
        weight = sum(each for each, _ in tried)
        witnesses = sum(ratio >= WITNESS for _, ratio in tried)
        mean = sum(each * ratio for each, ratio in tried) / weight if weight else 0.0
        return len(tried), witnesses, weight, mean

    def convicts(self, words: Iterable[tuple[float, float, bool]]) -> bool:
        """Whether what members saw is enough."""
        tried, witnesses, weight, mean = self.weigh(words)
        return (
            weight >= LEAST
            and mean >= self.rules.slow
            and witnesses >= self.rules.witnesses
            and 2 * witnesses >= tried
        )

    # Slots.

    def slots(self, pool: int, zone: int = 0) -> int:
        """How many upstreams of a pool, or of one of its zones, may rest at once."""
        listed = sum(
            other == pool and (not zone or at == zone) for (other, _), at in self.zones.items()
        )
        return int(self.rules.part * listed) if not zone or listed > 1 else 0

    def free(self, pool: int, zone: int, key: int, now: int) -> int | None:
        """A slot that nothing is known to hold, or that this upstream holds."""
        for number in range(self.slots(pool, zone)):
            given = self.given.get((pool, zone, number))
            if given is None or given.until <= now or given.key == key:
                return number
        return None

    def open_case(
        self, pool: int, key: int, now: int, term: int = 0, by_hand: bool = False
    ) -> bool:
        """Ask for votes that an upstream may rest; whether there is a slot for it."""
        known, zone = (pool, key), self.zones.get((pool, key), 0)
        if known in self.cases:
            return True
        slot = self.free(pool, 0, key, now)
        zone_slot = self.free(pool, zone, key, now) if zone else 0
        if slot is None or zone_slot is None:
            self.counts["no_slot"] += 1
            return False
        strikes, last = self.strikes.get(known, (0, 0))
        strikes = strikes if now - last < FORGET else 0
        term = term or min(self.rules.term << min(strikes, 16), self.rules.most_term)
        self.cases[known] = Case(
            pool, key, zone, slot, zone_slot, now + term, strikes + 1, by_hand=by_hand
        )
        self.ask_votes(self.cases[known], now)
        return True

    def ask_votes(self, case: Case, now: int) -> None:
        case.asked, case.nonce, case.votes, case.refused = now, self.bits(62) | 1, {}, 0
        plea = Plea(VOTE_FOR, case.pool, case.key, case.nonce, case.slot, case.zone, case.zone_slot)
        self.out.append((0, plea))
        if self.vote(plea, self.own, now):
            case.votes[self.own] = 0

    def vote(self, plea: Plea, judge: int, now: int) -> bool:
        """Give this member's vote, for a slot of the pool and one of the zone; not for two in one slot."""
        slots = [(plea.pool, 0, plea.one)]
        if plea.two:
            slots.append((plea.pool, plea.two, plea.three))
        for slot in slots:
            given = self.given.get(slot)
            if given is not None and given.until > now and given.key != plea.key:
                return False
            if slot[2] >= self.slots(plea.pool, slot[1]):
                return False
        for slot, given in self.given.items():
            # One that holds a slot already needs no second one.
            if (
                given.key == plea.key
                and slot[0] == plea.pool
                and given.until > now
                and slot not in slots
            ):
                return False
        if now < self.fenced_till or len(self.given) >= MOST_KNOWN:
            return False
        for slot in slots:
            self.given[slot] = Given(
                plea.key, now + self.rules.life + SLACK, now, plea.nonce, judge
            )
        return True

    # What others say.

    def hear(self, plea: Plea, sender: int, usual: float, now: int) -> None:
        """A message; `usual` is the pool's latency as this member has it, in nanoseconds."""
        known = plea.pool, plea.key
        if plea.kind == HEARING:
            self.others[known] = now + APART
            answers, ratio, stands = self.word(plea.pool, plea.key, usual, now)
            self.out.append(
                (
                    sender,
                    Plea(
                        EVIDENCE,
                        plea.pool,
                        plea.key,
                        plea.nonce,
                        int(answers * 100),
                        int(ratio * 100),
                        int(stands),
                    ),
                )
            )
        elif plea.kind == EVIDENCE:
            hearing = self.hearings.get(known)
            if hearing is not None and plea.nonce == hearing.nonce:
                hearing.words[sender] = plea.one / 100, plea.two / 100, bool(plea.three)
        elif plea.kind == VOTE_FOR:
            good = self.vote(plea, sender, now)
            self.out.append((sender, Plea(VOTE, plea.pool, plea.key, plea.nonce, int(good))))
        elif plea.kind == VOTE:
            case = self.cases.get(known)
            if case is not None and plea.nonce == case.nonce:
                if plea.one:
                    case.votes[sender] = now - case.asked
                else:
                    case.refused += 1
        elif plea.kind == REST:
            self.told_to_rest(plea, sender, now)

    def told_to_rest(self, plea: Plea, judge: int, now: int) -> None:
        """Most have voted for it: it rests here too, for as long as this member's own vote lets it."""
        known = plea.pool, plea.key
        given = next(
            (
                given
                for slot, given in self.given.items()
                if slot[:2] == (plea.pool, 0)
                and given.key == plea.key
                and given.nonce == plea.nonce
                and given.judge == judge
            ),
            None,
        )
        if given is None:
            return
        # Its vote was given after it was asked for, and came back `one` after that: by so much its
        # own clock may be late at most.
        until = given.at + self.rules.life - plea.one
        self.strikes[known] = plea.two, now
        while len(self.strikes) > MOST_KNOWN:
            del self.strikes[next(iter(self.strikes))]
        self.hearings.pop(known, None)
        if until > now:
            self.rest(known, until, judge, plea.two)

    def rest(self, known: tuple[int, int], until: int, judge: int, strikes: int) -> None:
        fresh = known not in self.rests
        self.rests[known] = until
        self.returns.pop(known, None)
        if fresh:
            self.counts["rests"] += 1
            self.events.append(
                (
                    "ejection_started",
                    {"pool": known[0], "key": known[1], "by": judge, "times": strikes},
                )
            )

    def lift(self, known: tuple[int, int], now: int) -> None:
        """It rests no longer: this member takes it up at a moment of its own."""
        del self.rests[known]
        if seen := self.seen.get(known):
            seen.suspicion = 0.0
            seen.answers.value = seen.ratios.value = 0.0
        if known in self.zones:
            self.returns[known] = now + int(self.random() * self.rules.back)
        self.events.append(("ejection_ended", {"pool": known[0], "key": known[1]}))

    # Time.

    def turn(
        self, now: int, usual: Callable[[int], float], members: Callable[[int], tuple[int, int]]
    ) -> None:
        """Once in a while. `members`: of a pool, how many are reckoned with, and how many are heard."""
        for known in [known for known, until in self.rests.items() if until <= now]:
            self.lift(known, now)
        for known in [known for known, at in self.returns.items() if at <= now]:
            del self.returns[known]
            self.events.append(("ejection_returning", {"pool": known[0], "key": known[1]}))
        self.given = {slot: given for slot, given in self.given.items() if given.until > now}
        self.others = {known: until for known, until in self.others.items() if until > now}
        for pool in {pool for pool, _ in self.zones}:
            self.look(pool, usual(pool), now)
        for hearing in list(self.hearings.values()):
            self.hold(hearing, now, usual(hearing.pool), members(hearing.pool))
        for case in list(self.cases.values()):
            self.go_on(case, now, members(case.pool)[0])

    def hold(self, hearing: Hearing, now: int, usual: float, members: tuple[int, int]) -> None:
        known = hearing.pool, hearing.key
        own = self.word(hearing.pool, hearing.key, usual, now)
        if self.convicts([own, *hearing.words.values()]):
            if self.open_case(hearing.pool, hearing.key, now):
                self.events.append(
                    (
                        "ejection_proposed",
                        {
                            "pool": hearing.pool,
                            "key": hearing.key,
                            "witnesses": len(hearing.words) + 1,
                        },
                    )
                )
            del self.hearings[known]
        elif (
            now - hearing.began > HEARING_FOR
            or known not in self.zones
            or members[0] < self.rules.witnesses
        ):
            tried, witnesses, weight, mean = self.weigh([own, *hearing.words.values()])
            self.events.append(
                (
                    "ejection_not_agreed",
                    {
                        "pool": hearing.pool,
                        "key": hearing.key,
                        "tried": tried,
                        "witnesses": witnesses,
                        "answers": round(weight, 1),
                        "ratio": round(mean, 2),
                    },
                )
            )
            del self.hearings[known]
            if seen := self.seen.get(known):
                seen.suspicion = 0.0
        elif now - hearing.asked >= HEARD_AGAIN:
            self.ask(hearing, now)

    def go_on(self, case: Case, now: int, members: int) -> None:
        """Count votes, tell who voted, ask again before the lease is over, end with the term."""
        known = case.pool, case.key
        if 2 * len(case.votes) > members and not case.holds:
            case.holds = True
            case.until = max(case.until, now)
        if case.holds and 2 * len(case.votes) > members:
            for voter, took in case.votes.items():
                if took >= 0:
                    plea = Plea(REST, case.pool, case.key, case.nonce, took, case.strikes)
                    if voter == self.own:
                        self.told_to_rest(plea, self.own, now)
                    else:
                        self.out.append((voter, plea))
                    case.votes[voter] = -1  # told
        if now >= case.until or known not in self.zones:
            del self.cases[known]
        elif case.holds and now - case.asked >= self.rules.life // 3:
            self.ask_votes(case, now)
        elif not case.holds and now - case.asked >= VOTES_IN:
            # Not enough in time: another slot if this one is held, or none.
            del self.cases[known]
            self.counts["not_voted"] += 1

    def end(self, pool: int, key: int) -> bool:
        """An operator lifts what this member keeps up."""
        return self.cases.pop((pool, key), None) is not None
