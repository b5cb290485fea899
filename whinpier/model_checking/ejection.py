"""The world of slots that upstreams rest in: judges, votes, leases; messages in any order, crashes,
pauses.

Time goes by in steps of a quarter of a verdict's life. A member that is simply not called has
paused. What is known of the world and not to any member: whatever rests anywhere at one moment.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from whinpier.fleet.messages import VOTE_FOR, Plea
from whinpier.fleet.outliers.ejection import SLACK, Court, Given, Rules
from whinpier.model_checking.network import Named, Network
from whinpier.policy.decaying_sum import SECOND

STEP = SECOND
RULES = Rules(part=0.2, life=4 * STEP, term=400 * STEP, most_term=400 * STEP, back=0)
POOL = 1
NAMES = ("hearing", "evidence", "asks for votes", "vote", "rests")


class Voting(Network):
    """Members, the network between them, and what rests at each."""

    def __init__(
        self,
        members: int = 3,
        upstreams: int = 2,
        listed: int = 5,
        messages: int = 4,
        times: int = 10,
        crashes: int = 1,
        copies: int = 1,
        zones: int = 0,
        make: type[Court] = Court,
        wishes: tuple[tuple[int, int], ...] = (),
    ) -> None:
        """`wishes`: which member may want which of the upstreams to rest; none: each any."""
        super().__init__(members, messages, crashes, copies)
        self.make, self.left, self.count, self.zones = make, times, members, zones
        self.keys = {100 + number: 1 + number % zones if zones else 0 for number in range(listed)}
        self.looking = set(range(members))
        tried = list(self.keys)[:upstreams] if not zones else [100, 100 + zones]
        self.wishes = {(place, tried[number]) for place, number in wishes} or {
            (place, key) for place in range(members) for key in tried
        }
        self.courts: list[Court] = [self.started(place, 0) for place in range(members)]

    def party(self, place: int) -> Any:
        return self.courts[place]

    def started(self, place: int, fence: int) -> Court:
        court = self.make(RULES, self.runs[place], self.now, self.chance(), fence)
        court.listed(POOL, dict(self.keys))
        return court

    def deliver(self, place: int, message: Plea, sender: int) -> None:
        self.courts[place].hear(message, sender, 1e7, self.now)

    def describe(self, message: Plea) -> str:
        return f"{NAMES[message.kind]} {message.key}/{message.one}"

    def narrow(self) -> Voting:
        """One has asked, one ask is lost; only judges look round: what is left is how late things come."""
        self.losing, self.looking = False, {place for place, _ in self.wishes}
        place, key = min(self.wishes)
        self.do_want(place, key)
        self.network.pop()
        return self

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        for place, court in enumerate(self.courts):
            for who, key in sorted(self.wishes):
                if (
                    who == place
                    and (POOL, key) not in court.cases
                    and len(self.network) < self.messages
                ):
                    found.append((f"m{place} wants {key} to rest", ("want", place, key)))
            if place in self.looking:
                found.append((f"m{place} looks round", ("turn", place)))
            if self.crashes:
                found.append((f"m{place} dies and starts", ("crash", place)))
        return found + self.usual_steps()

    def do_want(self, place: int, key: int) -> None:
        self.courts[place].open_case(POOL, key, self.now)
        self.send(place)

    def do_turn(self, place: int) -> None:
        court = self.courts[place]
        court.turn(self.now, lambda pool: 1e7, lambda pool: (self.count, self.count))
        court.events = []
        self.send(place)

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.runs[place] += 100
        self.courts[place] = self.started(place, RULES.life + SLACK)

    def do_time(self) -> None:
        self.left -= 1
        self.now += STEP

    def broken(self) -> str:
        rest = {
            known[1]
            for court in self.courts
            for known, until in court.rests.items()
            if until > self.now
        }
        most = int(RULES.part * len(self.keys))
        if len(rest) > most:
            return f"{len(rest)} rest where {most} may"
        for zone in set(self.keys.values()) - {0}:
            size = sum(at == zone for at in self.keys.values())
            if sum(self.keys[key] == zone for key in rest) > int(RULES.part * size):
                return f"too many of zone {zone} rest"
        return ""

    def mark(self) -> Hashable:
        name = Named()
        courts = tuple(
            (
                max(0, court.fenced_till - self.now),
                tuple(
                    sorted(
                        (
                            slot,
                            given.key,
                            given.until - self.now,
                            given.at - self.now,
                            name(given.nonce),
                            given.judge,
                        )
                        for slot, given in court.given.items()
                        if given.until > self.now
                    )
                ),
                tuple(
                    sorted(
                        (
                            known[1],
                            case.slot,
                            case.asked - self.now,
                            name(case.nonce),
                            case.holds,
                            tuple(sorted(case.votes.items())),
                        )
                        for known, case in court.cases.items()
                    )
                ),
                tuple(
                    sorted(
                        (known[1], until - self.now)
                        for known, until in court.rests.items()
                        if until > self.now
                    )
                ),
            )
            for court in self.courts
        )
        network = tuple(
            sorted(
                (sender, to, plea.kind, plea.key, name(plea.nonce), plea.one, plea.two)
                for sender, to, plea in self.network
            )
        )
        return courts, network, tuple(self.runs), self.left, self.crashes, self.copies


# Faults, put in one by one.


class VotesForTwo(Court):
    def vote(self, plea: Plea, judge: int, now: int) -> bool:
        self.given = {slot: given for slot, given in self.given.items() if given.key == plea.key}
        return super().vote(plea, judge, now)


class VotesForTooShort(Court):
    def vote(self, plea: Plea, judge: int, now: int) -> bool:
        good = super().vote(plea, judge, now)
        for given in self.given.values():
            given.until = min(given.until, now + self.rules.life // 2) if good else given.until
        return good


class CountsFromItsVote(Court):
    def told_to_rest(self, plea: Plea, judge: int, now: int) -> None:
        super().told_to_rest(
            Plea(plea.kind, plea.pool, plea.key, plea.nonce, 0, plea.two), judge, now
        )


class CountsFromTheWord(Court):
    def told_to_rest(self, plea: Plea, judge: int, now: int) -> None:
        for given in self.given.values():
            if given.nonce == plea.nonce:
                given.at = now
        super().told_to_rest(plea, judge, now)


class RestsWithoutItsVote(Court):
    def told_to_rest(self, plea: Plea, judge: int, now: int) -> None:
        self.rest((plea.pool, plea.key), now + self.rules.life - plea.one, judge, plea.two)


class RestsByAnyRound(Court):
    """The word of an earlier round counts from the vote of a later one, and what it took then."""

    def told_to_rest(self, plea: Plea, judge: int, now: int) -> None:
        nonce = next(
            (given.nonce for given in self.given.values() if given.key == plea.key), plea.nonce
        )
        super().told_to_rest(
            Plea(plea.kind, plea.pool, plea.key, nonce, plea.one, plea.two), judge, now
        )


class OneVoteIsEnough(Court):
    def go_on(self, case: Any, now: int, members: int) -> None:
        super().go_on(case, now, 1 if case.votes else members)


class HalfIsEnough(Court):
    def go_on(self, case: Any, now: int, members: int) -> None:
        super().go_on(case, now, members - 1)


class CountsRefusals(Court):
    def hear(self, plea: Plea, sender: int, usual: float, now: int) -> None:
        if plea.kind == 3:
            plea = Plea(plea.kind, plea.pool, plea.key, plea.nonce, 1)
        super().hear(plea, sender, usual, now)


class CountsVotesOfBefore(Court):
    def hear(self, plea: Plea, sender: int, usual: float, now: int) -> None:
        case = self.cases.get((plea.pool, plea.key))
        if plea.kind == 3 and case is not None:
            plea = Plea(plea.kind, plea.pool, plea.key, case.nonce, plea.one)
        super().hear(plea, sender, usual, now)


class CountsAVoteAgain(Court):
    """One member's vote that comes twice is two."""

    def hear(self, plea: Plea, sender: int, usual: float, now: int) -> None:
        case = self.cases.get((plea.pool, plea.key))
        if plea.kind == 3 and plea.one and case is not None and sender in case.votes:
            sender += 50_000
        super().hear(plea, sender, usual, now)


class KeepsVotesOverRounds(Court):
    """A new round begins with the votes of the last."""

    def ask_votes(self, case: Any, now: int) -> None:
        votes = {voter: 0 for voter in case.votes}
        super().ask_votes(case, now)
        case.votes |= votes


class StartsWithoutAFence(Court):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.fenced_till = given[2]


class GoesOnResting(Court):
    def rest(self, known: tuple[int, int], until: int, judge: int, strikes: int) -> None:
        super().rest(known, until + self.rules.life, judge, strikes)


class TakesAnySlot(Court):
    def slots(self, pool: int, zone: int = 0) -> int:
        return 2 if not zone else super().slots(pool, zone)


class ForgetsTheZone(Court):
    def vote(self, plea: Plea, judge: int, now: int) -> bool:
        return super().vote(Plea(VOTE_FOR, plea.pool, plea.key, plea.nonce, plea.one), judge, now)

    def free(self, pool: int, zone: int, key: int, now: int) -> int | None:
        return super().free(pool, zone, key, now) if not zone else 0


class RenewsWithoutVotes(Court):
    def ask_votes(self, case: Any, now: int) -> None:
        super().ask_votes(case, now)
        if case.holds:
            self.rest((case.pool, case.key), now + self.rules.life, self.own, case.strikes)


class ReleasesWithTheTerm(Court):
    """A voter is free again when its judge has ended, though others still rest by it."""

    def lift(self, known: tuple[int, int], now: int) -> None:
        super().lift(known, now)
        self.given = {slot: given for slot, given in self.given.items() if given.key != known[1]}


class VotesAnew(Court):
    """A vote is dated back to the first round, so that it ends too soon."""

    def vote(self, plea: Plea, judge: int, now: int) -> bool:
        first = {
            slot: given.until
            for slot, given in self.given.items()
            if given.key == plea.key and given.until > now
        }
        good = super().vote(plea, judge, now)
        for slot, until in first.items():
            if slot in self.given:
                self.given[slot] = Given(plea.key, until, now, plea.nonce, judge)
        return good


FAULTS: dict[str, type[Court]] = {
    fault.__name__: fault
    for fault in (
        VotesForTwo,
        VotesForTooShort,
        CountsFromItsVote,
        CountsFromTheWord,
        RestsWithoutItsVote,
        RestsByAnyRound,
        OneVoteIsEnough,
        HalfIsEnough,
        CountsRefusals,
        CountsVotesOfBefore,
        CountsAVoteAgain,
        KeepsVotesOverRounds,
        StartsWithoutAFence,
        GoesOnResting,
        TakesAnySlot,
        ForgetsTheZone,
        RenewsWithoutVotes,
        ReleasesWithTheTerm,
        VotesAnew,
    )
}
