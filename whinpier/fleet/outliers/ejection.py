"""Ejects outliers by a quorum of observers, within a bounded number of leased slots.

A member that suspects an upstream asks the others what they observed (an observation round). If
enough observers saw an outlier, it proposes the ejection and requests votes from all members. A pool,
and each of its zones, has a few ejection slots; a slot is leased to one upstream at a time by the
votes of more than half of all members, and the lease is renewed until the ejection's term ends.

Invariants: a member never votes for two upstreams in one slot while an earlier vote of its own may
still be valid; an ejection at a member ends no later than that member's vote. Therefore several
proposers, or the parts of a partitioned fleet, never eject more upstreams than there are slots.
Observations of a member that is not in good standing never count. Does no I/O: it is handed the time
in nanoseconds, random numbers and messages. See docs/design/verdicts.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

from whinpier.fleet.messages import EjectionMessage
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.detector import OutlierDetector, summarize
from whinpier.fleet.outliers.messages import (
    EjectionNotice,
    EjectionPayload,
    ObservationReply,
    ObservationRequest,
    VoteReply,
    VoteRequest,
    decode,
    encode,
)
from whinpier.fleet.outliers.model import (
    WHOLE_POOL,
    EjectionCount,
    EjectionProposal,
    EjectionSlot,
    Event,
    GrantedVote,
    MemberCounts,
    Observation,
    ObservationRound,
    UpstreamKey,
)
from whinpier.policy.decaying_sum import SECOND

ALL_MEMBERS = 0  # recipient that stands for all members that share the pool
OBSERVATION_INTERVAL_NS = SECOND // 4  # between two requests of one round
MAX_ROUND_DURATION_NS = 3 * SECOND  # after which a round without a proposal is given up
MAX_OBSERVATION_ROUNDS = 8  # at once at one member
ROUND_DEFERRAL_NS = SECOND // 3  # wait of a member whose peer has a round on the upstream
VOTE_TIMEOUT_NS = SECOND // 2
LEASE_MARGIN_NS = SECOND // 4  # by which votes outlast ejections, for late timers and clock drift
EJECTION_COUNT_TTL_NS = 600 * SECOND  # after which earlier ejections no longer count
MAX_DOUBLINGS = 16  # of an ejection's term; bounds the shift for any configuration
MAX_ENTRIES = 4_096  # of the tables of votes and of ejection counts
NONCE_BITS = 62
VOTER_NOTIFIED = -1  # replaces a vote's delay once its voter was notified


class EjectionCoordinator:
    """Detects outliers, proposes ejections and votes on them for one member."""

    def __init__(
        self,
        config: EjectionConfig,
        own_id: int,
        now: int,
        rng: Random,
        fencing_interval_ns: int = 0,
    ) -> None:
        """Grant no vote for `fencing_interval_ns`: votes of an earlier run may still be valid."""
        self.config = config
        self.own_id = own_id
        self.random = rng.random
        self.getrandbits = rng.getrandbits
        self.fenced_until = now + fencing_interval_ns
        self.detector = OutlierDetector()
        self.observation_rounds: dict[UpstreamKey, ObservationRound] = {}
        self.deferred_until: dict[UpstreamKey, int] = {}  # because of rounds of other members
        self.proposals: dict[UpstreamKey, EjectionProposal] = {}
        self.granted_votes: dict[EjectionSlot, GrantedVote] = {}
        self.ejected_until: dict[UpstreamKey, int] = {}
        self.returning_at: dict[UpstreamKey, int] = {}
        self.ejection_counts: dict[UpstreamKey, EjectionCount] = {}
        self.out: list[
            tuple[int, EjectionMessage]
        ] = []  # messages to send, each after its recipient
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()

    # Endpoints and attempts.

    def update_endpoints(self, pool: int, endpoints: dict[int, int]) -> None:
        """Replace a pool's endpoints, given with their zones; end ejections of removed ones."""
        self.detector.update_endpoints(pool, endpoints)
        removed = [
            upstream
            for upstream in self.ejected_until
            if upstream.pool == pool and upstream not in self.detector.zones
        ]
        for upstream in removed:
            self.end_ejection(upstream, 0)

    def on_attempt_started(self, pool: int, key: int, number: int, now: int) -> None:
        """Record an attempt that was sent to an upstream."""
        self.detector.on_attempt_started(UpstreamKey(pool, key), number, now)

    def on_attempt_finished(
        self, pool: int, key: int, number: int, latency_ratio: float, now: int
    ) -> None:
        """Record an attempt's latency in multiples of the usual one; negative: not to be counted."""
        upstream = UpstreamKey(pool, key)
        if self.detector.on_attempt_finished(upstream, number, latency_ratio, now):
            self.suspect(pool, key, now)

    # Observation rounds.

    def suspect(self, pool: int, key: int, now: int) -> None:
        """Start an observation round, unless one can't start or the upstream is handled already."""
        upstream = UpstreamKey(pool, key)
        if (
            upstream in self.observation_rounds
            or upstream in self.ejected_until
            or upstream in self.proposals
            or upstream in self.returning_at
            or len(self.observation_rounds) >= MAX_OBSERVATION_ROUNDS
            or self.deferred_until.get(upstream, 0) > now
        ):
            return
        self.counts["observation_rounds"] += 1
        self.observation_rounds[upstream] = ObservationRound(upstream, now)

    def request_observations(self, observation_round: ObservationRound, now: int) -> None:
        """Ask all members what they observed; replies to earlier requests no longer count."""
        observation_round.requested_at = now
        observation_round.nonce = self.new_nonce()
        request = ObservationRequest(observation_round.upstream, observation_round.nonce)
        self.send(ALL_MEMBERS, request)

    def reaches_quorum(self, observations: Iterable[Observation]) -> bool:
        """Return whether these observations suffice to propose an ejection."""
        return summarize(observations).reaches_quorum(self.config)

    def advance_round(
        self, observation_round: ObservationRound, now: int, usual_ns: float, members: int
    ) -> None:
        """Propose an ejection, give the round up, or request observations again."""
        upstream = observation_round.upstream
        own = self.detector.observe(upstream, usual_ns, now)
        observations = [own, *observation_round.observations.values()]
        if self.reaches_quorum(observations):
            if self.propose_ejection(upstream.pool, upstream.key, now):
                observers = {"witnesses": len(observations)}
                self.events.append(Event("ejection_proposed", upstream._asdict() | observers))
            del self.observation_rounds[upstream]
        elif (
            now - observation_round.started_at > MAX_ROUND_DURATION_NS
            or upstream not in self.detector.zones
            or members < self.config.min_observers
        ):
            self.give_up_round(upstream, observations)
        elif now - observation_round.requested_at >= OBSERVATION_INTERVAL_NS:
            self.request_observations(observation_round, now)

    def give_up_round(self, upstream: UpstreamKey, observations: list[Observation]) -> None:
        """End a round without a proposal and log what was observed."""
        summary = summarize(observations)
        fields = {
            "tried": summary.tried,
            "witnesses": summary.observers,
            "answers": round(summary.weight, 1),
            "ratio": round(summary.latency_ratio, 2),
        }
        self.events.append(Event("ejection_not_agreed", upstream._asdict() | fields))
        del self.observation_rounds[upstream]
        self.detector.clear_suspicion(upstream)

    # Slots and votes.

    def slot_count(self, pool: int, zone: int = WHOLE_POOL) -> int:
        """Return how many upstreams of a pool, or of one of its zones, may be ejected at once."""
        endpoints = sum(
            upstream.pool == pool and (not zone or endpoint_zone == zone)
            for upstream, endpoint_zone in self.detector.zones.items()
        )
        if zone and endpoints <= 1:
            return 0
        return int(self.config.max_ejected_fraction * endpoints)

    def find_free_slot(self, pool: int, zone: int, key: int, now: int) -> int | None:
        """Return a slot that this upstream holds or that is not known to be leased, or None."""
        for number in range(self.slot_count(pool, zone)):
            granted = self.granted_votes.get(EjectionSlot(pool, zone, number))
            if granted is None or granted.expires_at <= now or granted.key == key:
                return number
        return None

    def propose_ejection(
        self, pool: int, key: int, now: int, term_ns: int = 0, is_operator_request: bool = False
    ) -> bool:
        """Request votes for an ejection; return False if no slot is free.

        `term_ns` is how long the ejection lasts; 0: by the number of earlier ejections.
        """
        upstream = UpstreamKey(pool, key)
        if upstream in self.proposals:
            return True
        zone = self.detector.zones.get(upstream, WHOLE_POOL)
        slot = self.find_free_slot(pool, WHOLE_POOL, key, now)
        zone_slot = self.find_free_slot(pool, zone, key, now) if zone else 0
        if slot is None or zone_slot is None:
            self.counts["no_slot"] += 1
            return False
        earlier = self.ejection_count(upstream, now)
        proposal = EjectionProposal(
            upstream,
            zone,
            slot,
            zone_slot,
            ends_at=now + (term_ns or self.ejection_term(earlier)),
            ejection_count=earlier + 1,
            is_operator_request=is_operator_request,
        )
        self.proposals[upstream] = proposal
        self.request_votes(proposal, now)
        return True

    def ejection_count(self, upstream: UpstreamKey, now: int) -> int:
        """Return how often an upstream was ejected, or 0 if the last time is too long ago."""
        times, last_at = self.ejection_counts.get(upstream, EjectionCount(0, 0))
        return times if now - last_at < EJECTION_COUNT_TTL_NS else 0

    def ejection_term(self, earlier: int) -> int:
        """Return how long an ejection lasts after `earlier` others, in nanoseconds."""
        doubled = self.config.base_ejection_ns << min(earlier, MAX_DOUBLINGS)
        return min(doubled, self.config.max_ejection_ns)

    def request_votes(self, proposal: EjectionProposal, now: int) -> None:
        """Start a round of votes; votes of earlier rounds no longer count."""
        proposal.requested_at = now
        proposal.nonce = self.new_nonce()
        proposal.vote_delays = {}
        request = VoteRequest(
            proposal.upstream, proposal.nonce, proposal.slot, proposal.zone, proposal.zone_slot
        )
        self.send(ALL_MEMBERS, request)
        if self.grant_vote(request, self.own_id, now):
            proposal.vote_delays[self.own_id] = 0

    def grant_vote(self, request: VoteRequest, proposer: int, now: int) -> bool:
        """Vote for leasing the requested slots to an upstream; return False if it is refused."""
        slots = request.slots()
        if not all(self.may_lease(slot, request.upstream.key, now) for slot in slots):
            return False
        if self.holds_other_slot(request.upstream, slots, now):
            return False
        if now < self.fenced_until or len(self.granted_votes) >= MAX_ENTRIES:
            return False
        expires_at = now + self.config.lease_ns + LEASE_MARGIN_NS
        for slot in slots:
            self.granted_votes[slot] = GrantedVote(
                request.upstream.key, expires_at, now, request.nonce, proposer
            )
        return True

    def may_lease(self, slot: EjectionSlot, key: int, now: int) -> bool:
        """Return whether a slot exists and is not leased to another upstream."""
        granted = self.granted_votes.get(slot)
        if granted is not None and granted.expires_at > now and granted.key != key:
            return False
        return slot.number < self.slot_count(slot.pool, slot.zone)

    def holds_other_slot(self, upstream: UpstreamKey, slots: list[EjectionSlot], now: int) -> bool:
        """Return whether an upstream holds a slot that is not among `slots`."""
        return any(
            granted.key == upstream.key
            and slot.pool == upstream.pool
            and granted.expires_at > now
            and slot not in slots
            for slot, granted in self.granted_votes.items()
        )

    def advance_proposal(self, proposal: EjectionProposal, now: int, members: int) -> None:
        """Count votes, notify voters and renew the lease; end the proposal with its term."""
        upstream = proposal.upstream
        if 2 * len(proposal.vote_delays) > members:
            if not proposal.has_quorum:
                proposal.has_quorum = True
                proposal.ends_at = max(proposal.ends_at, now)
            self.notify_voters(proposal, now)
        if now >= proposal.ends_at or upstream not in self.detector.zones:
            del self.proposals[upstream]
        elif proposal.has_quorum and now - proposal.requested_at >= self.config.lease_ns // 3:
            self.request_votes(proposal, now)
        elif not proposal.has_quorum and now - proposal.requested_at >= VOTE_TIMEOUT_NS:
            # The next proposal chooses another slot if this one turns out to be leased.
            del self.proposals[upstream]
            self.counts["not_voted"] += 1

    def notify_voters(self, proposal: EjectionProposal, now: int) -> None:
        """Tell each voter once that a quorum was reached, and how long its vote took."""
        for voter, delay in proposal.vote_delays.items():
            if delay == VOTER_NOTIFIED:
                continue
            notice = EjectionNotice(
                proposal.upstream, proposal.nonce, delay, proposal.ejection_count
            )
            if voter == self.own_id:
                self.on_ejection_notice(notice, self.own_id, now)
            else:
                self.send(voter, notice)
            proposal.vote_delays[voter] = VOTER_NOTIFIED

    def cancel_proposal(self, pool: int, key: int) -> bool:
        """Stop renewing an ejection; return whether this member had proposed it."""
        return self.proposals.pop(UpstreamKey(pool, key), None) is not None

    # Messages.

    def new_nonce(self) -> int:
        """Draw a random number that is never 0."""
        return self.getrandbits(NONCE_BITS) | 1

    def send(self, recipient: int, message: EjectionPayload) -> None:
        """Queue a message."""
        self.out.append((recipient, encode(message)))

    def on_message(self, packed: EjectionMessage, sender: int, usual_ns: float, now: int) -> None:
        """Handle a message; `usual_ns` is the pool's usual latency as measured by this member."""
        message = decode(packed)
        match message:
            case ObservationRequest():
                self.on_observation_request(message, sender, usual_ns, now)
            case ObservationReply():
                self.on_observation_reply(message, sender)
            case VoteRequest():
                is_granted = self.grant_vote(message, sender, now)
                self.send(sender, VoteReply(message.upstream, message.nonce, is_granted))
            case VoteReply():
                self.on_vote_reply(message, sender, now)
            case EjectionNotice():
                self.on_ejection_notice(message, sender, now)

    def on_observation_request(
        self, request: ObservationRequest, sender: int, usual_ns: float, now: int
    ) -> None:
        """Reply with this member's observation, and defer a round of its own."""
        self.deferred_until[request.upstream] = now + ROUND_DEFERRAL_NS
        observation = self.detector.observe(request.upstream, usual_ns, now)
        self.send(sender, ObservationReply(request.upstream, request.nonce, observation))

    def on_observation_reply(self, reply: ObservationReply, sender: int) -> None:
        """Store an observation, if it answers the last request."""
        observation_round = self.observation_rounds.get(reply.upstream)
        if observation_round is not None and reply.nonce == observation_round.nonce:
            observation_round.observations[sender] = reply.observation

    def on_vote_reply(self, reply: VoteReply, sender: int, now: int) -> None:
        """Count a vote, if it answers the last request."""
        proposal = self.proposals.get(reply.upstream)
        if proposal is not None and reply.nonce == proposal.nonce and reply.is_granted:
            proposal.vote_delays[sender] = now - proposal.requested_at

    def on_ejection_notice(self, notice: EjectionNotice, proposer: int, now: int) -> None:
        """Eject an upstream until the lease that this member voted for ends."""
        upstream = notice.upstream
        granted = self.vote_for(notice, proposer)
        if granted is None:
            return
        # The lease runs from the proposer's request. The vote was granted after the request and
        # arrived `vote_delay_ns` after it, so `granted_at` is at most that much later.
        until = granted.granted_at + self.config.lease_ns - notice.vote_delay_ns
        self.ejection_counts[upstream] = EjectionCount(notice.ejection_count, now)
        while len(self.ejection_counts) > MAX_ENTRIES:
            del self.ejection_counts[next(iter(self.ejection_counts))]
        self.observation_rounds.pop(upstream, None)
        if until > now:
            self.eject(upstream, until, proposer, notice.ejection_count)

    def vote_for(self, notice: EjectionNotice, proposer: int) -> GrantedVote | None:
        """Return this member's vote in the round that a notice is about, or None."""
        for slot, granted in self.granted_votes.items():
            if (
                slot.pool == notice.upstream.pool
                and slot.zone == WHOLE_POOL
                and granted.key == notice.upstream.key
                and granted.nonce == notice.nonce
                and granted.proposer == proposer
            ):
                return granted
        return None

    # Ejections.

    def eject(self, upstream: UpstreamKey, until: int, proposer: int, ejection_count: int) -> None:
        """Eject an upstream at this member, or extend its ejection."""
        is_new = upstream not in self.ejected_until
        self.ejected_until[upstream] = until
        self.returning_at.pop(upstream, None)
        if is_new:
            self.counts["ejections"] += 1
            fields = {"by": proposer, "times": ejection_count}
            self.events.append(Event("ejection_started", upstream._asdict() | fields))

    def end_ejection(self, upstream: UpstreamKey, now: int) -> None:
        """End an ejection; this member takes the upstream back after a random delay."""
        del self.ejected_until[upstream]
        self.detector.forget_answers(upstream)
        if upstream in self.detector.zones:
            spread = int(self.random() * self.config.return_spread_ns)
            self.returning_at[upstream] = now + spread
        self.events.append(Event("ejection_ended", upstream._asdict()))

    # Timers.

    def on_timer(
        self,
        now: int,
        usual_ns: Callable[[int], float],
        member_counts: Callable[[int], MemberCounts],
    ) -> None:
        """Expire entries, suspect overdue upstreams, advance rounds and proposals."""
        self.expire(now)
        for pool in {upstream.pool for upstream in self.detector.zones}:
            for upstream in self.detector.overdue(pool, usual_ns(pool), now):
                self.suspect(pool, upstream.key, now)
        for observation_round in list(self.observation_rounds.values()):
            pool = observation_round.upstream.pool
            expected, _reachable = member_counts(pool)
            self.advance_round(observation_round, now, usual_ns(pool), expected)
        for proposal in list(self.proposals.values()):
            expected, _reachable = member_counts(proposal.upstream.pool)
            self.advance_proposal(proposal, now, expected)

    def expire(self, now: int) -> None:
        """Remove ejections, return delays, votes and deferrals that have expired."""
        for upstream in [known for known, until in self.ejected_until.items() if until <= now]:
            self.end_ejection(upstream, now)
        for upstream in [known for known, at in self.returning_at.items() if at <= now]:
            del self.returning_at[upstream]
            self.events.append(Event("ejection_returning", upstream._asdict()))
        self.granted_votes = {
            slot: granted
            for slot, granted in self.granted_votes.items()
            if granted.expires_at > now
        }
        self.deferred_until = {
            upstream: until for upstream, until in self.deferred_until.items() if until > now
        }
