"""All decisions of a balancer: where a request is sent, when it is sent again, when it is rejected.

A host makes one `Policy` per balancer, calls its `on_...` methods as things happen and carries out
the calls that `Policy` makes on its `Host` (whinpier/policy/model.py). A request passes three
stages: AdmissionQueue, RetryPolicy and UpstreamSelector. Each passes it on, accepts it (it is
queued or sent) or finishes it (it has its final answer); outcomes of attempts pass the stages in
the opposite order. Times are in nanoseconds unless a comment says otherwise. The reasons for the
design are in docs/design.md.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque
from enum import Enum
from itertools import accumulate, chain, islice
from itertools import count as sequence_numbers
from math import exp
from random import Random
from typing import Any

from whinpier.policy.decaying_sum import SECOND, DecayingSum
from whinpier.policy.model import (
    NEVER_RAN,
    Attempt,
    Effect,
    Host,
    Outcome,
    Request,
    RequestClass,
    Upstream,
    UpstreamState,
)
from whinpier.policy.rate_gossip import PeerRates
from whinpier.policy.statistics import RequestClassStatistics, UpstreamStatistics

SHARE_UPDATE_INTERVAL = SECOND
QUEUE_CHECK_INTERVAL = SECOND // 100

# Tokens of timers.
UPDATE_SHARES = 1
CHECK_QUEUES = 2  # and hedges that are due
FOLLOW_ENDPOINT_LIST = 3


class StageResult(Enum):
    """What a stage has done with a request."""

    PASSED_ON = "passed on"
    ACCEPTED = "accepted"  # queued or sent
    FINISHED = "finished"  # given its final answer


def min_max_split(costs: list[float], rate: float) -> list[float]:
    """Return each server's part of `rate` that minimises the highest mean latency over those used.

    `costs` are the servers' mean service times in seconds. All servers in use come to the same
    level of mean latency; those whose service time is above it get nothing. A rate that is at least
    the capacity of all is split in proportion to capacity.
    """
    total = sum(1.0 / cost for cost in costs)
    if rate >= total:
        return [rate / total / cost for cost in costs]
    capacity = 0.0
    slack = 0.0
    order = sorted(costs)
    for used, cost in enumerate(order, 1):
        capacity += 1.0 / cost
        slack = (capacity - rate) / used  # 1/level with the `used` fastest servers
        if slack > 0.0 and (used == len(order) or order[used] * slack >= 1.0):
            break
    return [max(0.0, 1.0 / cost - slack) for cost in costs]


class AdmissionQueue:
    """First stage: queues requests for a moment when upstreams have no capacity, then rejects them.

    Each request class has a queue of its own; queues are served in the order of their value.
    """

    # Of the latency objective: outlasts a short stop and leaves most of the time to the upstream.
    MAX_WAIT_PART = 0.25
    # A rejected request is answered this long before its client gives up, so that it is in time.
    ANSWER_MARGIN = SECOND // 50
    # Requests that may be queued whatever the rate of answers.
    MIN_LENGTH = 3
    # Follows a fleet that turns slow, not single requests.
    ANSWER_RATE_SPAN = 2 * SECOND

    def __init__(self, policy: Policy, settings: dict[str, Any]) -> None:
        """Start with empty queues."""
        self.policy = policy
        self.host = policy.host
        self.queues: dict[RequestClass, deque[Request]] = {
            request_class: deque() for request_class in policy.request_classes
        }
        self.answers = DecayingSum(self.ANSWER_RATE_SPAN, self.host.now)
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        """Apply settings; what is queued stays queued."""
        self.total_weight = float(settings.get("goal.whole", 1.0))
        self.worst_class_weight = float(settings.get("goal.worst_class", 0.0))
        self.max_queued = int(settings.get("limits.held", 1 << 30))
        self.queues |= {
            request_class: self.queues.get(request_class, deque())
            for request_class in self.policy.request_classes
        }

    def rank(self) -> None:
        """Order the queues by value per latency; the class that is served worst is lifted."""
        classes = [
            request_class
            for request_class, requests in self.queues.items()
            if requests or request_class in self.policy.request_classes
        ]
        counts = {
            request_class: request_class.statistics.requests.read(self.host.now) + 1.0
            for request_class in classes
        }
        worst = min(
            counts,
            key=lambda request_class: request_class.statistics.on_time.read(self.host.now)
            / counts[request_class],
        )
        priority_weight = sum(
            request_class.priority_weight * count for request_class, count in counts.items()
        )

        def value(request_class: RequestClass) -> float:
            lift = (
                self.worst_class_weight / counts[request_class] if request_class is worst else 0.0
            )
            return float(
                (self.total_weight * request_class.priority_weight / priority_weight + lift)
                / request_class.statistics.mean_latency
            )

        self.queues = {
            request_class: self.queues[request_class]
            for request_class in sorted(classes, key=value, reverse=True)
        }

    def waiting(self, request_class: RequestClass | None = None) -> int:
        """Return how many are queued, or how many of them go before a new one of a class."""
        ahead = list(self.queues)
        if request_class in self.queues:
            ahead = ahead[: ahead.index(request_class) + 1]
        return sum(len(self.queues[other]) for other in ahead)

    def process(self, request: Request) -> StageResult:
        """Queue a new request if others go before it, else pass it on."""
        if self.waiting(request.request_class):
            return self.enqueue(request)
        return StageResult.PASSED_ON

    def enqueue(self, request: Request) -> StageResult:
        """Queue a request until there is capacity, or finish it if its turn would come too late."""
        now = self.host.now
        request_class = request.request_class
        request.queued_until = min(
            request.arrived_at + int(self.MAX_WAIT_PART * request_class.latency_objective),
            request.deadline - self.ANSWER_MARGIN,
        )
        wait = request.queued_until - now
        if (
            wait <= 0
            or self.waiting(request_class)
            > self.MIN_LENGTH + self.answers.rate(now) * wait / SECOND
            or self.waiting() >= self.max_queued
        ):
            return self.policy.finish(request)
        self.queues.setdefault(request_class, deque()).append(request)
        self.policy.wake(now + QUEUE_CHECK_INTERVAL)
        return StageResult.ACCEPTED

    def release(self) -> None:
        """Send queued requests on while there is capacity: best class first, oldest first."""
        for requests in self.queues.values():
            while requests and (
                requests[0].ended or self.policy.send(requests[0]) is not StageResult.PASSED_ON
            ):
                requests.popleft()

    def expire(self) -> None:
        """Finish requests that have been queued for long enough."""
        for requests in self.queues.values():
            expired = [
                request
                for request in requests
                if request.queued_until <= self.host.now or request.ended
            ]
            for request in expired:
                requests.remove(request)
                if not request.ended:
                    self.policy.finish(request)

    def on_attempt_finished(self, attempt: Attempt, first: bool) -> None:
        """Count a success, and use the capacity that has become free."""
        now = self.host.now
        request = attempt.request
        if attempt.outcome == Outcome.SUCCEEDED:
            self.answers.add(now)
            objective = request.request_class.latency_objective
            on_time = first and now <= request.arrived_at + objective
            request.request_class.statistics.on_time.add(now, float(on_time))
        if attempt.upstream.statistics.in_flight < attempt.upstream.statistics.capacity:
            self.release()


class RetryPolicy:
    """Second stage: keeps to what each request class allows when a request is sent again."""

    # Mean latencies after which an answer is late: by then an upstream that is silent is suspected.
    HEDGE_DELAY = 2.0
    # Hedges and retries per request: enough for one bad upstream in ten.
    BUDGET = 0.1
    BUDGET_SPAN = 5 * SECOND
    # Added to the connect timeout: an attempt has reached its upstream by then.
    SEND_MARGIN = SECOND // 20

    def __init__(self, policy: Policy, settings: dict[str, Any]) -> None:
        """Start with nothing to hedge."""
        self.policy = policy
        self.host = policy.host
        self.requests = DecayingSum(self.BUDGET_SPAN, self.host.now)
        self.repeats = DecayingSum(self.BUDGET_SPAN, self.host.now)  # hedges and retries
        # A heap of time, sequence number and the attempt that is late then.
        self.due: list[tuple[int, int, Attempt]] = []
        self.sequence = sequence_numbers()
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        """Apply settings; a request keeps those that were in force when it arrived."""
        self.hedging = settings.get("limits.second_copies", False)
        self.send_timeout = settings.get("limits.connect_timeout", SECOND // 4) + self.SEND_MARGIN
        for request_class in self.policy.request_classes:
            request_class.max_attempts = int(settings.get("limits.max_hand_offs", 1))
            request_class.hedging = self.hedging
            request_class.cancellation = settings.get("limits.cancelling", False)
        if not self.hedging:
            self.due = []  # nor is a hedge sent that earlier settings allowed

    def process(self, request: Request) -> StageResult:
        """Finish a request that may not be sent again, else pass it on."""
        if not request.attempts or self.allowed(request):
            return StageResult.PASSED_ON
        return self.policy.finish(request)

    @staticmethod
    def may_have_run(request: Request) -> Attempt | None:
        """Return the first attempt of a request that may have run, if any."""
        return next(
            (attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN), None
        )

    def allowed(self, request: Request) -> bool:
        """Return whether the request may be sent once more, to an upstream that is allowed."""
        now = self.host.now
        ran = self.may_have_run(request)
        request_class = request.request_class
        # Guards against a second effect: a non-idempotent request is never repeated, a keyed one
        # only while upstreams remember its key.
        runs_once = (
            ran is None
            or request_class.kind == Effect.IDEMPOTENT
            or (
                request_class.kind != Effect.NON_IDEMPOTENT
                and now + self.send_timeout < ran.sent_at + request_class.window
            )
        )
        return (
            runs_once
            and len(request.attempts) < request_class.max_attempts
            and now < request.deadline
        )

    def allows_upstream(self, request: Request, upstream: Upstream) -> bool:
        """Return whether the upstream drops repeats of what may have run before."""
        ran = self.may_have_run(request)
        group = request.request_class.group
        if ran is None or request.request_class.kind == Effect.IDEMPOTENT or group == "all":
            return True
        if group == "zone":
            return upstream.zone == ran.upstream.zone
        return upstream.cell == ran.upstream.cell

    def harmless(self, request: Request) -> bool:
        """Return whether the client may be told that a retry does no harm."""
        kind = request.request_class.kind
        everywhere = request.request_class.group == "all"
        return (
            kind == Effect.IDEMPOTENT
            or self.may_have_run(request) is None
            or (kind != Effect.NON_IDEMPOTENT and everywhere)
        )

    def afford(self) -> bool:
        """Take a repeat from the budget, which keeps repeats from feeding an overload, if it can."""
        now = self.host.now
        affordable = self.repeats.read(now) < self.BUDGET * self.requests.read(now) + 1.0
        self.repeats.add(now, float(affordable))
        return affordable

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Schedule a check of an attempt for when its answer is late, if it may be hedged."""
        request_class = attempt.request.request_class
        due = self.host.now + int(self.HEDGE_DELAY * request_class.statistics.mean_latency)
        if (
            request_class.kind != Effect.NON_IDEMPOTENT
            and request_class.hedging
            and self.hedging
            and due < attempt.request.deadline
        ):
            heapq.heappush(self.due, (due, next(self.sequence), attempt))
            self.policy.wake(due)

    def send_hedges(self) -> None:
        """Hedge late attempts at suspected upstreams.

        Others are only heavy, and hedges of these would overload a fleet.
        """
        while self.due and self.due[0][0] <= self.host.now:
            attempt = heapq.heappop(self.due)[2]
            request = attempt.request
            if request.ended or attempt.outcome or attempt is not request.attempts[-1]:
                continue
            if not self.policy.selector.is_suspected(attempt.upstream.statistics, attempt):
                self.on_attempt_started(attempt)
            elif (
                self.allowed(request)
                and not self.policy.admission_queue.waiting()
                and self.afford()
            ):
                self.policy.selector.process(request)

    def on_attempt_finished(self, attempt: Attempt, first: bool) -> None:
        """Cancel the other attempts of an ended request, or retry one that has no other."""
        request = attempt.request
        others = [other for other in request.attempts if not other.outcome]
        if request.ended or (others and self.host.now < request.deadline):
            self.cancel(others if first else [])
        elif attempt.outcome not in NEVER_RAN and not self.afford():
            self.policy.finish(request)
        elif self.policy.send(request) is StageResult.PASSED_ON:
            self.policy.admission_queue.enqueue(request)

    def cancel(self, attempts: list[Attempt]) -> None:
        """Cancel those that are in flight, where this is allowed."""
        for attempt in attempts:
            if not attempt.outcome and attempt.request.request_class.cancellation:
                self.host.cancel(attempt)


class UpstreamSelector:
    """Last stage: draws an upstream by the shares of the min-max split and sends the request.

    The balancer uses a subset of the ready upstreams only, so that it hears enough of each. All
    attempts in flight at an upstream are bounded: each balancer has a share of this capacity.
    """

    # Overdue answers above which an upstream is suspected: by chance once in e^4, about fifty.
    MAX_OVERDUE = 4.0
    # Overdue answers of one that could not be connected to.
    OVERDUE_UNCONNECTED = 5.0
    # Trials per attempt: requests to idle upstreams that have no share or are suspected.
    TRIALS = 0.01
    # Trials due before one is made with a request that must not run twice: others are preferred,
    # as an upstream on trial may not answer.
    NON_IDEMPOTENT_TRIAL_COST = 4.0
    # Upstreams in a subset: if one is bad there is another.
    MIN_SUBSET = 2
    # Bounds of the attempts in flight at an upstream from all balancers: the highest is enough
    # for one with a few cores to stay busy.
    MIN_TOTAL_CAPACITY = 1.5
    MAX_TOTAL_CAPACITY = 6.0
    # Part in use that upstreams are kept to whose load reports are seconds old.
    TARGET_USE = 0.85
    # Part in use of upstreams that are probed: a request that waits there beyond it is late.
    TARGET_USE_PROBED = 0.95
    # Answers without a load report, after which an upstream counts as one that sends none.
    MAX_ANSWERS_WITHOUT_REPORT = 20
    # Probes per request: each upstream of the subset a few times a second, and 0.3 % of the work
    # of a request.
    PROBES = 0.5
    PROBE_LIFETIME = SECOND // 2  # a few service times
    # Messages a second that each balancer receives, however many balancers there are.
    PEER_MESSAGE_RATE = 20.0
    # Answers of each upstream that a latency is taken from: fewer say little where requests differ
    # much.
    ANSWERS_PER_SPAN = 30.0
    # Bounds of this span in seconds: the longest is half of what a fault usually lasts.
    MIN_SPAN = 3.0
    MAX_SPAN = 10.0
    # Answers that the baseline latency counts for when it is compared with new ones.
    BASELINE_WEIGHT = 50.0
    # Growth of the baseline in each update of the shares: slower than a fault lasts.
    BASELINE_GROWTH = 1.01
    # The baseline stays as it is at first: the quickest answers come first, and a restarted
    # balancer must not take them as usual.
    BASELINE_DELAY = 3 * SECOND
    # Answers at the mean latency that the latency of an upstream is smoothed with: one that is
    # seldom heard of stays near the mean.
    PRIOR_ANSWERS = 3.0
    # Baseline latencies whose answers may be in flight at an upstream that has the highest total
    # capacity.
    CAPACITY_MARGIN = 1.2
    # Part of what fells an upstream that is warming up, which it gets at most.
    OVERLOAD_MARGIN = 0.8
    # Mean latency over the baseline above which the fleet is congested.
    CONGESTION_RATIO = 2.0
    # Draws by share for a request: enough to skip the few upstreams that can't have it.
    DRAWS = 4

    def __init__(self, policy: Policy, settings: dict[str, Any], seed: int) -> None:
        """Start without upstreams; `seed` determines all draws."""
        self.policy = policy
        self.host = policy.host
        generator = Random(seed)
        self.random = generator.random
        self.random_choice = generator.choice
        self.ready: list[UpstreamStatistics] = []  # by the endpoint list, sorted by id
        self.subset: list[UpstreamStatistics] = []  # of `ready`, that this balancer uses
        self.drawn: list[UpstreamStatistics] = []  # those of the subset with a share
        self.cumulative_shares: list[float] = []  # of `drawn`
        self.warming_up: list[UpstreamStatistics] = []  # of the subset
        self.span = int(self.MIN_SPAN) * SECOND  # of the sums of latencies
        self.baseline_latency = 0.0  # lowest mean latency of late, in seconds
        self.arrived = DecayingSum(self.span, self.host.now)
        self.configure(settings)
        self.traffic_part = 1.0 / self.balancers  # this balancer's part of all traffic
        self.probe_count = float(self.number)
        self.in_flight = 0  # attempts of this balancer
        self.trial_credit = 0.0
        self.warm_answers = 0.0  # of a warm upstream to this balancer, in `overload_span`
        self.balancers_per_upstream = 1.0
        self.congested = False  # the mean latency is far over the baseline

    def configure(self, settings: dict[str, Any]) -> None:
        """Apply settings; rates of peers are forgotten, as their number may differ."""
        self.peer_rates = PeerRates()
        self.balancers = max(1, int(settings.get("balancers", 1)))
        self.reports = "busy" in settings.get("report.columns", [])
        self.probes = (
            settings.get("limits.probes", False) and settings.get("report.source") == "on_probe"
        )
        self.sends_rate = bool(settings.get("limits.peers", False)) and self.balancers > 1
        self.number = int(settings.get("slot_no", 0))
        self.zone = settings.get("zone", 0)
        self.initial_speed: float = settings.get(
            "rules.cold_from", 1.0
        )  # part of a warm upstream's
        self.warm_up_time: int = settings.get("rules.cold", 0)
        # An upstream that is warming up falls over if, over this span, it gets this many times
        # what it can answer.
        self.overload_span = settings.get("rules.fall", SECOND)
        self.overload_multiple = settings.get("rules.fall_multiple", 2.0)
        objectives = [
            request_class.latency_objective / SECOND
            for request_class in self.policy.request_classes
        ]
        if not self.baseline_latency:
            self.baseline_latency = min(objectives) / 5
        # The price of another zone as a time, in seconds.
        self.cross_zone_latency = float(settings.get("prices.cross_zone", 0.0)) * max(objectives)

    def on_endpoints_updated(self, upstreams: list[Upstream]) -> None:
        """Follow the endpoint list: one that drains or is missing gets nothing new from now on."""
        for upstream in upstreams:
            if upstream.statistics is None:
                wait = int(self.overload_span * self.random()) if self.ready else 0
                upstream.statistics = UpstreamStatistics(upstream, self.host.now, self.span, wait)
        ready = sorted(
            (
                upstream.statistics
                for upstream in upstreams
                if upstream.state == UpstreamState.READY
            ),
            key=lambda statistics: statistics.upstream.id,
        )
        # A new upstream joins the subset by chance, so that as many balancers use it as others.
        part = self.subset_size(len(ready)) / max(1, len(ready)) if self.ready else 0.0
        used = set(self.subset)
        known = set(self.ready)
        self.ready = ready
        self.subset = [
            statistics
            for statistics in ready
            if statistics in used or (statistics not in known and self.random() < part)
        ]
        self.update_shares()

    def subset_size(self, count: int) -> int:
        """Return how many of `count` ready upstreams to use."""
        # Guards against hearing little of many, and against more balancers at an upstream than its
        # capacity, as each may send it one request: a subset in proportion to the balancer's part
        # of all traffic has no more.
        if self.subset:
            capacity = sum(statistics.total_capacity for statistics in self.subset)
            capacity /= len(self.subset)
        else:
            capacity = self.MAX_TOTAL_CAPACITY
        return min(count, max(self.MIN_SUBSET, int(capacity * count * self.traffic_part + 0.5)))

    def update_subset(self) -> None:
        """Grow or shrink the subset to its size, and keep what is connected where possible.

        It grows by every n-th upstream of the sorted list, from a start that differs between
        balancers. If most of it is suspected, others are added.
        """
        subset = self.subset
        count = len(self.ready)
        size = self.subset_size(count)
        sound = sum(not self.is_suspected(statistics) for statistics in subset)
        if size == count:
            subset = list(self.ready)
        elif 4 * min(len(subset), 2 * sound) <= 3 * size:  # with a margin, so that it seldom grows
            step = count // size
            start = self.number * count // self.balancers
            used = set(subset)
            walk = (
                self.ready[(start + at) % count]
                for at in sorted(range(count), key=lambda at: at % step)
            )
            subset += islice(
                (statistics for statistics in walk if statistics not in used),
                max(1, size - sound),
            )
        while len(subset) > 1.5 * size:
            removed = subset.pop(int(self.random() * len(subset)))
            self.host.close_idle(removed.upstream)
        self.subset = subset

    def send_rate(self) -> None:
        """Send this balancer's request rate to all peers, as often as their number allows."""
        now = self.host.now
        # Not before there is a rate: on a rate of zero, others would think that they are alone.
        if (
            self.sends_rate
            and now >= self.arrived.started_at + SHARE_UPDATE_INTERVAL
            and self.random() < self.PEER_MESSAGE_RATE / self.balancers
        ):
            self.host.send_peer_message(None, self.peer_rates.pack(self.arrived.rate(now)))

    def on_request(self) -> None:
        """Count a request, and probe the upstreams of the subset in turn at half that rate."""
        self.arrived.add(self.host.now)
        self.probe_count += self.PROBES
        if self.probes and self.probe_count % 1.0 < self.PROBES and self.subset:
            self.host.probe(self.subset[int(self.probe_count) % len(self.subset)].upstream)

    def on_load_report(self, statistics: UpstreamStatistics, load: dict[str, float]) -> None:
        """Take in a load report of an upstream."""
        now = self.host.now
        statistics.rate = load.get("fulfilled_rate", statistics.rate)
        if self.probes and "held" in load:
            statistics.reported_in_flight = load["held"]
            statistics.probed_at = now
        if "busy" in load:
            # Guards against six attempts in flight at an upstream with a single core: capacity
            # grows or shrinks by a factor of e per second for each whole part in use that is
            # missing or too much, and so settles where the upstream is just kept in use.
            target = self.TARGET_USE_PROBED if self.probes else self.TARGET_USE
            seconds = min(now - statistics.reported_at, SECOND) / SECOND
            capacity = statistics.total_capacity * exp((target - load["busy"]) * seconds)
            statistics.total_capacity = min(
                max(capacity, self.MIN_TOTAL_CAPACITY), self.MAX_TOTAL_CAPACITY
            )
            statistics.reported_at = now
            statistics.answers_without_report = 0

    def speed(self, upstream: Upstream) -> float:
        """Return the speed of an upstream as a part of its speed when it is warm."""
        age = self.host.now - upstream.started if upstream.started else self.warm_up_time
        if age >= self.warm_up_time:
            return 1.0
        return self.initial_speed + (1.0 - self.initial_speed) * max(0, age) / self.warm_up_time

    def is_suspected(self, statistics: UpstreamStatistics, but: Attempt | None = None) -> bool:
        """Return whether an upstream seems to have stopped answering.

        With `but`, one more answer must be overdue without this attempt: a heavy request doesn't
        make its upstream suspected.
        """
        # Guards against an upstream that accepts requests and answers none: the age of what is in
        # flight counts as latency.
        now = self.host.now
        statistics.expect_answers(now)
        if statistics.overdue_answers <= self.MAX_OVERDUE:
            return False
        if not but:
            return True
        since = max(but.sent_at, statistics.last_answer_at)
        return statistics.overdue_answers - (now - since) * but.expected_rate > 1.0

    def responsive(self) -> list[UpstreamStatistics]:
        """Return those of the subset that aren't suspected, or all of it if most are.

        Where most seem to have stopped at once the cause isn't theirs.
        """
        sound = [statistics for statistics in self.subset if not self.is_suspected(statistics)]
        return sound if 2 * len(sound) >= len(self.subset) else self.subset

    def update_shares(self) -> None:
        """Compute the subset and the shares of its upstreams for the next interval."""
        now = self.host.now
        own_rate = self.arrived.rate(now)
        mean_latency = self.update_latencies(now)
        fleet_rate = self.peer_rates.fleet_rate(own_rate, self.balancers, now)
        # One request a second each is added: before any arrive all balancers count the same.
        self.traffic_part = (own_rate + 1.0) / (fleet_rate + self.balancers)
        self.update_subset()
        subset = self.subset
        responsive = self.responsive()
        part = len(subset) / max(1, len(self.ready))
        rate = fleet_rate * part  # of all balancers, at the subset
        self.balancers_per_upstream = max(1.0, part / self.traffic_part)
        seconds = self.ANSWERS_PER_SPAN * len(subset) / max(own_rate, 1.0)
        self.span = int(min(max(seconds, self.MIN_SPAN), self.MAX_SPAN) * SECOND)
        for statistics in subset:
            statistics.share = 0.0
            statistics.expected_answers.span = self.span
            statistics.answers.span = self.span
            statistics.warming_up = self.speed(statistics.upstream) < 1.0
            self.update_capacity(statistics)
        self.warming_up = [statistics for statistics in subset if statistics.warming_up]
        self.warm_answers = self.answers_of_warm(own_rate) * self.overload_span / SECOND
        # The split is even until there are latencies and a rate.
        if mean_latency and rate >= 1.0:
            rates = min_max_split(self.service_times(responsive, mean_latency), rate)
        else:
            rates = [1.0] * len(responsive)
        for statistics, upstream_rate in zip(responsive, rates, strict=True):
            statistics.share = upstream_rate * self.speed(statistics.upstream)
        total = sum(statistics.share for statistics in responsive) or 1.0
        # Rates are smoothed over the same time as latencies; a suspected upstream keeps its rate.
        step = 1.0 - exp(-SHARE_UPDATE_INTERVAL / self.span)
        for statistics in responsive:
            statistics.share /= total
            if statistics.rate is not None:
                statistics.rate += (statistics.share * rate - statistics.rate) * step
        self.drawn = [
            statistics
            for statistics in responsive
            if statistics.share > 0.0 and not statistics.warming_up
        ]
        self.cumulative_shares = list(accumulate(statistics.share for statistics in self.drawn))

    def answers_of_warm(self, own_rate: float) -> float:
        """Return the answers a second that a warm upstream of the subset gives to this balancer."""
        now = self.host.now
        even_rate = own_rate / max(1, len(self.subset))
        warm = len(self.subset) - len(self.warming_up)
        answers = [
            request_class.statistics.answers.rate(now)
            for request_class in self.policy.request_classes
        ]
        return max(sum(answers) / warm, even_rate / 4) if warm else even_rate

    def update_latencies(self, now: int) -> float:
        """Update the mean latency of each request class and the baseline.

        Return the mean latency in seconds over all requests as they come; 0 if there are no
        answers.
        """
        durations = answers = 0.0
        for request_class in self.policy.request_classes:
            statistics = request_class.statistics
            answered = statistics.answers.read(now)
            if answered > 0.5:
                statistics.mean_latency = max(statistics.durations.read(now) / answered, 1e3)
            answers += answered
            durations += statistics.durations.value
        mean = durations / answers / SECOND if answers > 0.5 else 0.0
        if now >= self.arrived.started_at + self.BASELINE_DELAY:
            self.baseline_latency = min(
                self.baseline_latency * self.BASELINE_GROWTH,
                (durations / SECOND + self.BASELINE_WEIGHT * self.baseline_latency)
                / (answers + self.BASELINE_WEIGHT),
            )
        self.congested = mean > self.CONGESTION_RATIO * self.baseline_latency
        return mean

    def service_times(self, responsive: list[UpstreamStatistics], mean: float) -> list[float]:
        """Return the mean service time of each, in seconds, from its latency and its rate.

        On the latency curve of `min_max_split`, 1 / latency = 1 / service time - rate.
        """
        now = self.host.now
        capacities: dict[UpstreamStatistics, float] = {}  # 1 / service time
        for statistics in responsive:
            if statistics.rate is not None:
                is_far = statistics.upstream.zone != self.zone
                extra = self.cross_zone_latency if is_far else 0.0
                latency = mean * statistics.latency_ratio(now) + extra
                capacities[statistics] = 1.0 / latency + statistics.rate
        mean_capacity = sum(capacities.values()) / len(capacities) if capacities else 1.0 / mean
        service_times = []
        for statistics in responsive:
            if statistics.rate is None:
                statistics.rate = max(0.0, mean_capacity - 1.0 / mean)
            answers = statistics.answers.read(now)
            capacity = capacities.get(statistics, mean_capacity)
            service_times.append(
                (answers + self.PRIOR_ANSWERS)
                / (answers * capacity + self.PRIOR_ANSWERS * mean_capacity)
            )
        return service_times

    def update_capacity(self, statistics: UpstreamStatistics) -> None:
        """Set how many attempts of this balancer may be in flight at an upstream.

        Guards against overload, where upstreams lose speed or reject requests. An upstream gets
        this balancer's part of its total capacity. At the highest total capacity, as
        without load reports, it may also get by Little's law what it answers in a little more than
        the baseline latency.
        """
        if not self.reports or statistics.answers_without_report > self.MAX_ANSWERS_WITHOUT_REPORT:
            statistics.total_capacity = self.MAX_TOTAL_CAPACITY
        statistics.capacity_share = statistics.total_capacity / self.balancers_per_upstream
        if statistics.total_capacity == self.MAX_TOTAL_CAPACITY:
            statistics.capacity_share = max(
                statistics.capacity_share,
                statistics.answers.rate(self.host.now)
                * self.CAPACITY_MARGIN
                * self.baseline_latency,
            )
        # A half less, so that a comparison with whole numbers rounds to the nearest.
        statistics.capacity = max(1.0, statistics.capacity_share) - 0.5

    def can_take(self, statistics: UpstreamStatistics, request: Request) -> bool:
        """Return whether an upstream has capacity for a request and may get it."""
        upstream = statistics.upstream
        now = self.host.now
        if (
            statistics.reported_in_flight >= statistics.total_capacity
            and now < statistics.probed_at + self.PROBE_LIFETIME
        ):
            return False
        if (
            statistics.in_flight >= statistics.capacity
            or now < statistics.backoff_until
            or upstream.state != UpstreamState.READY
            or upstream.spare < 1
            or any(attempt.upstream is upstream for attempt in request.attempts)
            or (
                request.attempts and not self.policy.retry_policy.allows_upstream(request, upstream)
            )
        ):
            return False
        speed = self.speed(upstream)
        if speed >= 1.0:
            return True
        # Guards against a cold upstream that all balancers together overload, each by rounding up:
        # it gets its part, by speed, of what a warm one answers, and more, up to a part of what
        # fells it, only where requests are queued.
        queued = self.policy.admission_queue.waiting()
        multiple = self.OVERLOAD_MARGIN * self.overload_multiple if queued else 1.0
        number = speed * self.warm_answers * multiple
        return statistics.warm_up_pacer.poll(now, self.overload_span, number, self.random)

    def has_capacity(self, request: Request) -> bool:
        """Return whether the subset as a whole has capacity for a request.

        Guards against many upstreams whose capacities are each rounded up to one: all that is in
        flight is bounded by the sum of the capacity shares. Upstreams with overdue answers count
        only while the fleet isn't congested.
        """
        in_flight = 0
        capacity = 0.0
        max_overdue = self.MAX_OVERDUE if self.congested else 1.0
        for statistics in self.subset:
            if statistics.overdue_answers <= max_overdue:
                in_flight += statistics.in_flight
                capacity += statistics.capacity_share
        # Requests of the best class aren't kept out by those of others.
        best_class = next(iter(self.policy.admission_queue.queues))
        if request.request_class.statistics is best_class.statistics:
            in_flight = min(in_flight, request.request_class.statistics.in_flight)
        return in_flight < max(1.0, capacity) - 0.5 * self.congested

    def select_trial(self, request: Request) -> UpstreamStatistics | None:
        """Return an idle upstream without a share, or a suspected one, if a trial is due."""
        repeatable = request.request_class.kind != Effect.NON_IDEMPOTENT
        cost = 1.0 if repeatable else self.NON_IDEMPOTENT_TRIAL_COST
        if self.trial_credit < cost or request.attempts:
            return None
        self.trial_credit = 0.0
        idle = [
            statistics
            for statistics in self.subset
            if statistics.in_flight == 0
            and self.can_take(statistics, request)
            and (statistics.share == 0.0 or self.is_suspected(statistics))
        ]
        return self.random_choice(idle) if idle else None

    def select(self, request: Request) -> UpstreamStatistics | None:
        """Return the upstream for a request; None if none may get it now."""
        if not self.has_capacity(request):
            return None
        trial = self.select_trial(request)
        if trial is not None:
            return trial
        # Upstreams that are warming up and have a permit come first, then draws by share.
        draws = self.DRAWS if self.drawn else 0
        points = (self.random() * self.cumulative_shares[-1] for _ in range(draws))
        warm = (
            self.drawn[bisect_right(self.cumulative_shares, point, 0, len(self.drawn) - 1)]
            for point in points
        )
        candidates = (
            statistics
            for statistics in chain(self.warming_up, warm)
            if not self.is_suspected(statistics) and self.can_take(statistics, request)
        )
        selected = next(candidates, None)
        # One with over twice the mean in flight is passed over for the next draw.
        if selected is not None and selected.in_flight > 2.0 * self.in_flight / len(self.subset):
            selected = next(candidates, selected)
        return selected or min(
            (statistics for statistics in self.responsive() if self.can_take(statistics, request)),
            key=lambda statistics: statistics.in_flight,
            default=None,
        )

    def process(self, request: Request) -> StageResult:
        """Send a request to an upstream, or pass it on if none may get it now."""
        statistics = self.select(request)
        if statistics is None:
            return StageResult.PASSED_ON
        attempt = self.host.start_attempt(request, statistics.upstream)
        statistics.expect_answers(self.host.now)
        attempt.expected_rate = 1.0 / request.request_class.statistics.mean_latency
        statistics.expected_rate += attempt.expected_rate
        statistics.in_flight += 1
        self.in_flight += 1
        self.trial_credit += self.TRIALS
        statistics.warm_up_pacer.has_permit = False
        request.request_class.statistics.in_flight += 1
        self.policy.retry_policy.on_attempt_started(attempt)
        return StageResult.ACCEPTED

    def on_attempt_finished(self, attempt: Attempt) -> None:
        """Count the outcome of an attempt for its upstream and its request class."""
        statistics = attempt.upstream.statistics
        request_class = attempt.request.request_class
        outcome = attempt.outcome
        now = self.host.now
        statistics.expect_answers(now)
        statistics.in_flight -= 1
        self.in_flight -= 1
        request_class.statistics.in_flight -= 1
        # Set to 0 with nothing in flight, as differences leave rounding errors.
        statistics.expected_rate = (
            statistics.expected_rate - attempt.expected_rate if statistics.in_flight else 0.0
        )
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.OVERLOADED):
            statistics.overdue_answers = 0.0
            statistics.last_answer_at = now
        elif outcome == Outcome.CONNECT_FAILED:
            # Guards against an upstream that is down before the list says so. A reset alone is no
            # sign: if the upstream is down the next connection shows it, which harms no request,
            # and one that is up would get trials only.
            statistics.overdue_answers = max(statistics.overdue_answers, self.OVERDUE_UNCONNECTED)
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return  # no answer, but the time that it took is counted
        if outcome == Outcome.SUCCEEDED:
            request_class.statistics.durations.add(now, attempt.duration)
            request_class.statistics.answers.add(now)
            statistics.backoff_until = 0
        else:
            # Guards against quick failures that look like a fast upstream: they count as if they
            # had taken the whole timeout.
            remaining = max(0, request_class.timeout - attempt.duration)
            statistics.pending_expected += remaining * attempt.expected_rate
            if outcome != Outcome.TIMED_OUT:
                # Guards against an upstream that is overloaded, down or fails quickly, and so
                # seems to have capacity: it gets nothing for as long as its latency now is.
                latency = request_class.statistics.mean_latency * statistics.latency_ratio(now)
                statistics.backoff_until = now + int(latency)
        statistics.answers.add(now)
        statistics.answers_without_report += 1
        self.update_capacity(statistics)


class Policy:
    """The decisions of one balancer; its host calls the `on_...` methods."""

    # Longest random delay until the endpoint list is first asked for.
    FIRST_FOLLOW_DELAY = 2 * SECOND
    MAX_BACKOFF_DOUBLINGS = 9

    def __init__(
        self, host: Host, settings: dict[str, Any], request_classes: list[RequestClass], seed: int
    ) -> None:
        """Start without upstreams; `seed` determines all draws."""
        self.host = host
        self.request_classes = request_classes
        self.next_wake = 0  # 0: no timer is set
        for request_class in request_classes:
            request_class.statistics = RequestClassStatistics(request_class, host.now)
        self.admission_queue = AdmissionQueue(self, settings)
        self.retry_policy = RetryPolicy(self, settings)
        self.selector = UpstreamSelector(self, settings, seed)
        self.following = False  # the endpoint list
        self.follow_attempts = 0  # since the list was last received
        self.follow_at = 0
        self.configure(settings)
        host.set_timer(host.now, UPDATE_SHARES)

    def configure(self, settings: dict[str, Any]) -> None:
        """Apply the settings that no stage has."""
        self.sends_retry_after = bool(settings.get("limits.retry_after", True))
        self.subscribes = settings.get("discovery") == "subscribe"
        # Half of what is allowed, to have time to spare.
        self.max_follow_delay = int(settings.get("rules.ask_within", 10 * SECOND)) // 2
        self.schedule_follow()

    def schedule_follow(self) -> None:
        """Ask for the endpoint list after a random delay, unless it is being followed."""
        # Guards against a fleet that asks in step for a list that can answer only so many: the
        # delay is random, and doubles with each attempt in vain, which may itself take half of it.
        if self.subscribes and not self.following:
            delay = min(
                self.FIRST_FOLLOW_DELAY << min(self.follow_attempts, self.MAX_BACKOFF_DOUBLINGS),
                self.max_follow_delay,
            )
            random = self.selector.random()
            part = 0.5 + random / 2 if self.follow_attempts else random
            self.follow_at = self.host.now + int(delay * part) + 1
            self.host.set_timer(self.follow_at, FOLLOW_ENDPOINT_LIST)

    def on_endpoint_list_lost(self) -> None:
        """Ask for the endpoint list again; upstreams that were listed stay until it says otherwise."""
        self.following = False
        self.schedule_follow()

    def reconfigure(self, settings: dict[str, Any], request_classes: list[RequestClass]) -> None:
        """Apply other settings; statistics of upstreams and of classes that stay are kept."""
        self.request_classes = request_classes
        for request_class in request_classes:
            request_class.statistics = request_class.statistics or RequestClassStatistics(
                request_class, self.host.now
            )
        for stage in (self.admission_queue, self.retry_policy, self.selector):
            stage.configure(settings)
        self.configure(settings)
        self.selector.update_shares()
        self.admission_queue.rank()

    def on_endpoints_updated(self, upstreams: list[Upstream]) -> None:
        """Use the upstreams of the endpoint list that are ready, and no others."""
        self.following = self.following or self.follow_attempts > 0
        self.follow_attempts = 0
        self.selector.on_endpoints_updated(upstreams)
        self.admission_queue.release()

    def on_request(self, request: Request) -> None:
        """Send, queue or finish a request that has arrived."""
        self.selector.on_request()
        self.retry_policy.requests.add(self.host.now)
        request.request_class.statistics.requests.add(self.host.now)
        result = self.admission_queue.process(request)
        if result is StageResult.PASSED_ON:
            result = self.send(request)
        if result is StageResult.PASSED_ON:
            self.admission_queue.enqueue(request)

    def send(self, request: Request) -> StageResult:
        """Pass a new, queued or failed request through the stages after the queue."""
        result = self.retry_policy.process(request)
        if result is StageResult.PASSED_ON:
            result = self.selector.process(request)
        return result

    def on_attempt_finished(
        self, attempt: Attempt, load: dict[str, float] | None, first: bool
    ) -> None:
        """Take in the outcome of an attempt, with the load report that came with its answer.

        `first`: it ended its request. Attempts of requests that have ended still count in the
        statistics.
        """
        self.on_load_report(attempt.upstream, load)
        self.selector.on_attempt_finished(attempt)
        self.retry_policy.on_attempt_finished(attempt, first)
        self.admission_queue.on_attempt_finished(attempt, first)

    def on_load_report(self, upstream: Upstream, load: dict[str, float] | None) -> None:
        """Take in an upstream's load report, of an answer or a probe; ignore unknown upstreams."""
        if load and upstream.statistics:
            self.selector.on_load_report(upstream.statistics, load)

    def finish(self, request: Request) -> StageResult:
        """Give the final answer to a request that failed: rejected if a retry is harmless."""
        if self.retry_policy.harmless(request) and self.host.now < request.deadline:
            # A quarter of the latency objective: congestion has eased by then, and a retry can
            # still be in time.
            wait = request.request_class.latency_objective // 4 if self.sends_retry_after else 0
            self.host.reject(request, wait)
        else:
            self.host.fail(request)
        return StageResult.FINISHED

    def on_client_disconnected(self, request: Request) -> None:
        """Cancel the attempts of a request whose client has left."""
        self.retry_policy.cancel(request.attempts)

    def on_peer_message(self, balancer: int, contents: bytes) -> None:
        """Take in a message of another balancer, by its number."""
        self.selector.peer_rates.receive(balancer, contents, self.selector.balancers, self.host.now)

    def wake(self, at: int) -> None:
        """Check queues and hedges at `at`, or earlier."""
        if not self.next_wake or at < self.next_wake:
            self.next_wake = at
            self.host.set_timer(at, CHECK_QUEUES)

    def on_timer(self, token: int) -> None:
        """Do what is due when a timer with this token has expired."""
        now = self.host.now
        if token == UPDATE_SHARES:
            self.host.set_timer(now + SHARE_UPDATE_INTERVAL, UPDATE_SHARES)
            self.selector.update_shares()
            self.selector.send_rate()
            self.admission_queue.rank()
        elif token == FOLLOW_ENDPOINT_LIST:
            if self.subscribes and not self.following and now >= self.follow_at:
                self.host.follow_endpoint_list(True)
                self.follow_attempts += 1
                self.schedule_follow()  # asks again unless the list comes
        elif token == CHECK_QUEUES and now >= self.next_wake:
            self.next_wake = 0
        self.retry_policy.send_hedges()
        self.admission_queue.release()
        self.admission_queue.expire()
        if self.retry_policy.due:
            self.wake(self.retry_policy.due[0][0])
        if self.admission_queue.waiting():
            self.wake(now + QUEUE_CHECK_INTERVAL)
