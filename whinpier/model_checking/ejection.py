"""The scenarios of ejection slots: proposers, votes, leases; messages in any order, crashes, pauses.

Time goes by in steps of a quarter of a slot's lease. A member that is simply not called has
paused. What is known of the world and not to any member: whatever rests anywhere at one moment.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import replace
from typing import Any

from whinpier.fleet.messages import EjectionMessage
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.ejection import LEASE_MARGIN_NS, EjectionCoordinator
from whinpier.fleet.outliers.messages import EjectionNotice, VoteReply, VoteRequest
from whinpier.fleet.outliers.model import (
    EjectionProposal,
    EjectionSlot,
    GrantedVote,
    MemberCounts,
    UpstreamKey,
)
from whinpier.model_checking.network import Named, Network
from whinpier.policy.decaying_sum import SECOND

STEP = SECOND
CONFIG = EjectionConfig(
    max_ejected_fraction=0.2,
    lease_ns=4 * STEP,
    base_ejection_ns=400 * STEP,
    max_ejection_ns=400 * STEP,
    return_spread_ns=0,
)
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
        make: type[EjectionCoordinator] = EjectionCoordinator,
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
        self.coordinators: list[EjectionCoordinator] = [
            self.started(place, 0) for place in range(members)
        ]

    def party(self, place: int) -> Any:
        return self.coordinators[place]

    def started(self, place: int, fence: int) -> EjectionCoordinator:
        coordinator = self.make(CONFIG, self.runs[place], self.now, self.chance(), fence)
        coordinator.update_endpoints(POOL, dict(self.keys))
        return coordinator

    def deliver(self, place: int, message: EjectionMessage, sender: int) -> None:
        self.coordinators[place].on_message(message, sender, 1e7, self.now)

    def describe(self, message: EjectionMessage) -> str:
        return f"{NAMES[message.kind]} {message.key}/{message.arg1}"

    def narrow(self) -> Voting:
        """One has asked, one ask is lost; only judges look round: what is left is how late things come."""
        self.losing, self.looking = False, {place for place, _ in self.wishes}
        place, key = min(self.wishes)
        self.do_want(place, key)
        self.network.pop()
        return self

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        for place, coordinator in enumerate(self.coordinators):
            for who, key in sorted(self.wishes):
                if (
                    who == place
                    and (POOL, key) not in coordinator.proposals
                    and len(self.network) < self.messages
                ):
                    found.append((f"m{place} wants {key} to rest", ("want", place, key)))
            if place in self.looking:
                found.append((f"m{place} looks round", ("turn", place)))
            if self.crashes:
                found.append((f"m{place} dies and starts", ("crash", place)))
        return found + self.usual_steps()

    def do_want(self, place: int, key: int) -> None:
        self.coordinators[place].propose_ejection(POOL, key, self.now)
        self.send(place)

    def do_turn(self, place: int) -> None:
        coordinator = self.coordinators[place]
        coordinator.on_timer(
            self.now, lambda pool: 1e7, lambda pool: MemberCounts(self.count, self.count)
        )
        coordinator.events = []
        self.send(place)

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.runs[place] += 100
        self.coordinators[place] = self.started(place, CONFIG.lease_ns + LEASE_MARGIN_NS)

    def do_time(self) -> None:
        self.left -= 1
        self.now += STEP

    def broken(self) -> str:
        rest = {
            known[1]
            for coordinator in self.coordinators
            for known, until in coordinator.ejected_until.items()
            if until > self.now
        }
        most = int(CONFIG.max_ejected_fraction * len(self.keys))
        if len(rest) > most:
            return f"{len(rest)} rest where {most} may"
        for zone in set(self.keys.values()) - {0}:
            size = sum(at == zone for at in self.keys.values())
            if sum(self.keys[key] == zone for key in rest) > int(
                CONFIG.max_ejected_fraction * size
            ):
                return f"too many of zone {zone} rest"
        return ""

    def mark(self) -> Hashable:
        name = Named()
        coordinators = tuple(
            (
                max(0, coordinator.fenced_until - self.now),
                tuple(
                    sorted(
                        (
                            slot,
                            granted.key,
                            granted.expires_at - self.now,
                            granted.granted_at - self.now,
                            name(granted.nonce),
                            granted.proposer,
                        )
                        for slot, granted in coordinator.granted_votes.items()
                        if granted.expires_at > self.now
                    )
                ),
                tuple(
                    sorted(
                        (
                            known[1],
                            proposal.slot,
                            proposal.requested_at - self.now,
                            name(proposal.nonce),
                            proposal.has_quorum,
                            tuple(sorted(proposal.vote_delays.items())),
                        )
                        for known, proposal in coordinator.proposals.items()
                    )
                ),
                tuple(
                    sorted(
                        (known[1], until - self.now)
                        for known, until in coordinator.ejected_until.items()
                        if until > self.now
                    )
                ),
            )
            for coordinator in self.coordinators
        )
        network = tuple(
            sorted(
                (sender, to, plea.kind, plea.key, name(plea.nonce), plea.arg1, plea.arg2)
                for sender, to, plea in self.network
            )
        )
        return coordinators, network, tuple(self.runs), self.left, self.crashes, self.copies


# Faults, put in one by one.


class VotesForTwo(EjectionCoordinator):
    def grant_vote(self, request: VoteRequest, proposer: int, now: int) -> bool:
        self.granted_votes = {
            slot: granted
            for slot, granted in self.granted_votes.items()
            if granted.key == request.upstream.key
        }
        return super().grant_vote(request, proposer, now)


class VotesForTooShort(EjectionCoordinator):
    def grant_vote(self, request: VoteRequest, proposer: int, now: int) -> bool:
        good = super().grant_vote(request, proposer, now)
        for granted in self.granted_votes.values():
            if good:
                soon = now + self.config.lease_ns // 2
                granted.expires_at = min(granted.expires_at, soon)
        return good


class CountsFromItsVote(EjectionCoordinator):
    def on_ejection_notice(self, notice: EjectionNotice, proposer: int, now: int) -> None:
        super().on_ejection_notice(replace(notice, vote_delay_ns=0), proposer, now)


class CountsFromTheWord(EjectionCoordinator):
    def on_ejection_notice(self, notice: EjectionNotice, proposer: int, now: int) -> None:
        for granted in self.granted_votes.values():
            if granted.nonce == notice.nonce:
                granted.granted_at = now
        super().on_ejection_notice(notice, proposer, now)


class RestsWithoutItsVote(EjectionCoordinator):
    def on_ejection_notice(self, notice: EjectionNotice, proposer: int, now: int) -> None:
        until = now + self.config.lease_ns - notice.vote_delay_ns
        self.eject(notice.upstream, until, proposer, notice.ejection_count)


class RestsByAnyRound(EjectionCoordinator):
    """A notice of an earlier round counts from the vote of a later one, and what it took then."""

    def on_ejection_notice(self, notice: EjectionNotice, proposer: int, now: int) -> None:
        nonce = next(
            (
                granted.nonce
                for granted in self.granted_votes.values()
                if granted.key == notice.upstream.key
            ),
            notice.nonce,
        )
        super().on_ejection_notice(replace(notice, nonce=nonce), proposer, now)


class OneVoteIsEnough(EjectionCoordinator):
    def advance_proposal(self, proposal: EjectionProposal, now: int, members: int) -> None:
        super().advance_proposal(proposal, now, 1 if proposal.vote_delays else members)


class HalfIsEnough(EjectionCoordinator):
    def advance_proposal(self, proposal: EjectionProposal, now: int, members: int) -> None:
        super().advance_proposal(proposal, now, members - 1)


class CountsRefusals(EjectionCoordinator):
    def on_vote_reply(self, reply: VoteReply, sender: int, now: int) -> None:
        super().on_vote_reply(replace(reply, is_granted=True), sender, now)


class CountsVotesOfBefore(EjectionCoordinator):
    def on_vote_reply(self, reply: VoteReply, sender: int, now: int) -> None:
        proposal = self.proposals.get(reply.upstream)
        if proposal is not None:
            reply = replace(reply, nonce=proposal.nonce)
        super().on_vote_reply(reply, sender, now)


class CountsAVoteAgain(EjectionCoordinator):
    """One member's vote that arrives twice is two."""

    def on_vote_reply(self, reply: VoteReply, sender: int, now: int) -> None:
        proposal = self.proposals.get(reply.upstream)
        if reply.is_granted and proposal is not None and sender in proposal.vote_delays:
            sender += 50_000
        super().on_vote_reply(reply, sender, now)


class KeepsVotesOverRounds(EjectionCoordinator):
    """A new round begins with the votes of the last."""

    def request_votes(self, proposal: EjectionProposal, now: int) -> None:
        votes = dict.fromkeys(proposal.vote_delays, 0)
        super().request_votes(proposal, now)
        proposal.vote_delays |= votes


class StartsWithoutAFence(EjectionCoordinator):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.fenced_until = given[2]


class GoesOnResting(EjectionCoordinator):
    def eject(self, upstream: UpstreamKey, until: int, proposer: int, ejection_count: int) -> None:
        super().eject(upstream, until + self.config.lease_ns, proposer, ejection_count)


class TakesAnySlot(EjectionCoordinator):
    def slot_count(self, pool: int, zone: int = 0) -> int:
        return 2 if not zone else super().slot_count(pool, zone)


class ForgetsTheZone(EjectionCoordinator):
    def grant_vote(self, request: VoteRequest, proposer: int, now: int) -> bool:
        return super().grant_vote(replace(request, zone=0, zone_slot=0), proposer, now)

    def find_free_slot(self, pool: int, zone: int, key: int, now: int) -> int | None:
        return super().find_free_slot(pool, zone, key, now) if not zone else 0


class RenewsWithoutVotes(EjectionCoordinator):
    def request_votes(self, proposal: EjectionProposal, now: int) -> None:
        super().request_votes(proposal, now)
        if proposal.has_quorum:
            until = now + self.config.lease_ns
            self.eject(proposal.upstream, until, self.own_id, proposal.ejection_count)


class ReleasesWithTheTerm(EjectionCoordinator):
    """A voter is free again when its proposer has ended, though others still eject by it."""

    def end_ejection(self, upstream: UpstreamKey, now: int) -> None:
        super().end_ejection(upstream, now)
        self.granted_votes = {
            slot: granted
            for slot, granted in self.granted_votes.items()
            if granted.key != upstream.key
        }


class VotesAnew(EjectionCoordinator):
    """A vote is dated back to the first round, so that it ends too soon."""

    def grant_vote(self, request: VoteRequest, proposer: int, now: int) -> bool:
        key = request.upstream.key
        first: dict[EjectionSlot, int] = {
            slot: granted.expires_at
            for slot, granted in self.granted_votes.items()
            if granted.key == key and granted.expires_at > now
        }
        good = super().grant_vote(request, proposer, now)
        for slot, expires_at in first.items():
            if slot in self.granted_votes:
                self.granted_votes[slot] = GrantedVote(
                    key, expires_at, now, request.nonce, proposer
                )
        return good


FAULTS: dict[str, type[EjectionCoordinator]] = {
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
