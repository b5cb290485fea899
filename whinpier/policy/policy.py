"""Every decision of the balancer: which upstream gets a request, when it is sent again, when it is
given up.

A host makes one `Choice` per balancer and calls it as things happen: `listed` with the upstreams it
holds, `arrive` for a request, `came_back` for an attempt, `left` when a client goes, `bell` when an
timer falls due, `reported` for a probe, `told` for a message of another balancer, `list_lost` when
the list can't be had. `Choice` calls its `Host`, defined in whinpier/policy/model.py; why it
decides so stands in docs/design.md. A request passes Entry, Again and Split: each passes it on,
keeps or ends it; what comes back runs the other way.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque
from itertools import accumulate, chain, islice
from itertools import count as numbers
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

PASS, KEEP, END = "pass on", "keep", "end"
PERIOD = SECOND  # between solves; the design page's
SOLVE, TICK, ASK = 1, 2, 3  # timer tokens


def min_max_split(costs: list[float], rate: float) -> list[float]:
    """The min-max split: rates for servers of mean service time `costs`, all in use at one level r."""
    in_flight, capacity = sum(1.0 / cost for cost in costs), 0.0
    if rate >= in_flight:
        return [rate / in_flight / cost for cost in costs]
    slack, order = 0.0, sorted(costs)
    for used, cost in enumerate(order, 1):
        capacity += 1.0 / cost
        slack = (capacity - rate) / used  # 1/r over the fastest used so far
        if slack > 0.0 and (used == len(order) or 1.0 <= order[used] * slack):
            break
    return [max(0.0, 1.0 / cost - slack) for cost in costs]


class AdmissionQueue:
    """First stage: takes a request in; what no upstream has room for is held a moment, then
    rejected.
    """

    # of the latency objective at most: rides out a short stop and leaves the rest for the upstream
    HOLD = 0.25

    def __init__(self, policy: Policy, settings: dict[str, Any]) -> None:
        self.policy, self.host = policy, policy.host
        self.queues: dict[RequestClass, deque[Request]] = {
            request_class: deque() for request_class in policy.request_classes
        }
        self.answered = DecayingSum(
            2 * SECOND, self.host.now
        )  # follows a fleet that turns slow, not single requests
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        self.whole = float(settings.get("goal.whole", 1.0))
        self.worst = float(settings.get("goal.worst_class", 0.0))
        self.most = int(settings.get("limits.held", 1 << 30))
        self.queues |= {
            request_class: self.queues.get(request_class, deque())
            for request_class in self.policy.request_classes
        }

    def rank(self) -> None:
        """Order the request classes by what their requests add for the work they cost, the worst
        served lifted.
        """
        here = [
            kind
            for kind, requests in self.queues.items()
            if requests or kind in self.policy.request_classes
        ]
        asked = {
            request_class: request_class.statistics.requests.read(self.host.now) + 1.0
            for request_class in here
        }
        least = min(
            asked,
            key=lambda request_class: request_class.statistics.on_time.read(self.host.now)
            / asked[request_class],
        )
        priority_weight = sum(
            request_class.priority_weight * count for request_class, count in asked.items()
        )

        def worth(request_class: RequestClass) -> float:
            lift = self.worst / asked[request_class] if request_class is least else 0.0
            return float(
                (self.whole * request_class.priority_weight / priority_weight + lift)
                / request_class.statistics.mean_latency
            )

        self.queues = {
            request_class: self.queues[request_class]
            for request_class in sorted(here, key=worth, reverse=True)
        }

    def waiting(self, request_class: RequestClass | None = None) -> int:
        """How many are held, or of those how many would go before a new request of a request class."""
        first = list(self.queues)
        first = first[: first.index(request_class) + 1] if request_class in self.queues else first
        return sum(len(self.queues[other]) for other in first)

    def take(self, request: Request) -> str:
        return self.hold(request) if self.waiting(request.request_class) else PASS

    def hold(self, request: Request) -> str:
        """Keep a request until there is room, unless too many wait for it to be reached in time."""
        now, request_class = self.host.now, request.request_class
        # 20 ms before its client gives up at the latest, so that its answer is timely.
        request.queued_until = min(
            request.arrived_at + int(self.HOLD * request_class.latency_objective),
            request.deadline - SECOND // 50,
        )
        wait = request.queued_until - now
        if (
            wait <= 0
            or self.waiting(request_class) > 3 + self.answered.rate(now) * wait / SECOND
            or self.waiting() >= self.most
        ):
            return self.policy.finish(request)
        self.queues.setdefault(request_class, deque()).append(request)
        self.policy.wake(now + SECOND // 100)
        return KEEP

    def release(self) -> None:
        """Send on what is held while there is room: the most worth first, of that the oldest."""
        for requests in self.queues.values():
            while requests and (requests[0].ended or self.policy.run(requests[0], 1) != PASS):
                requests.popleft()

    def expire(self) -> None:
        """Reject what has been held long enough."""
        for requests in self.queues.values():
            for request in [
                request
                for request in requests
                if request.queued_until <= self.host.now or request.ended
            ]:
                requests.remove(request)
                if not request.ended:
                    self.policy.finish(request)

    def on_attempt_finished(self, attempt: Attempt, first: bool) -> None:
        now, request = self.host.now, attempt.request
        if attempt.outcome == Outcome.SUCCEEDED:
            self.answered.add(now)
            request.request_class.statistics.on_time.add(
                now,
                float(
                    first and now <= request.arrived_at + request.request_class.latency_objective
                ),
            )
        if attempt.upstream.statistics.in_flight < attempt.upstream.statistics.capacity:
            self.release()


class RetryPolicy:
    """Second stage: keeps to what each request class allows when a request is sent more than once."""

    LATE = (
        2.0  # an answer is late after this many mean latencies: by then an upstream in doubt shows
    )
    COPIES = 0.1  # second copies and repeats, per request: enough for one bad upstream in ten

    def __init__(self, policy: Policy, settings: dict[str, Any]) -> None:
        self.policy, self.host = policy, policy.host
        self.requests, self.copies = (
            DecayingSum(5 * SECOND, self.host.now),
            DecayingSum(5 * SECOND, self.host.now),
        )
        self.due: list[tuple[int, int, Attempt]] = []
        self.number = numbers()
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        self.second_copies = settings.get("limits.second_copies", False)
        self.setup = (
            settings.get("limits.connect_timeout", SECOND // 4) + SECOND // 20
        )  # till it has come
        for request_class in self.policy.request_classes:  # a request keeps what held when it came
            request_class.max_attempts, request_class.hedging = (
                int(settings.get("limits.max_hand_offs", 1)),
                self.second_copies,
            )
            request_class.cancellation = settings.get("limits.cancelling", False)
        self.due = self.due if self.second_copies else []  # no copy is sent by settings of before

    def take(self, request: Request) -> str:
        return (
            PASS if not request.attempts or self.allowed(request) else self.policy.finish(request)
        )

    @staticmethod
    def may_have_run(request: Request) -> Attempt | None:
        return next(
            (attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN), None
        )

    def allowed(self, request: Request) -> bool:
        """Whether the rules let the request be sent once more, to whichever upstream `fits`."""
        now, ran, request_class = self.host.now, self.may_have_run(request), request.request_class
        # A second effect: an exclusive request is never repeated, a ticketed one only while it is
        # remembered.
        once = (
            ran is None
            or request_class.kind == Effect.IDEMPOTENT
            or request_class.kind != Effect.NON_IDEMPOTENT
            and now + self.setup < ran.sent_at + request_class.window
        )
        return (
            once and len(request.attempts) < request_class.max_attempts and now < request.deadline
        )

    def allows_upstream(self, request: Request, upstream: Upstream) -> bool:
        """Whether the upstream drops repeats of what may have run before."""
        ran, group = self.may_have_run(request), request.request_class.group
        if ran is None or request.request_class.kind == Effect.IDEMPOTENT or group == "all":
            return True
        return (
            upstream.zone == ran.upstream.zone
            if group == "zone"
            else upstream.cell == ran.upstream.cell
        )

    def harmless(self, request: Request) -> bool:
        """Whether the client may be told that trying again does no harm."""
        kind, everywhere = request.request_class.kind, request.request_class.group == "all"
        return (
            kind == Effect.IDEMPOTENT
            or self.may_have_run(request) is None
            or kind != Effect.NON_IDEMPOTENT
            and everywhere
        )

    def afford(self) -> bool:
        """Count one repeat, if they are still rare enough not to feed a jam."""
        rare = self.copies.read(now := self.host.now) < self.COPIES * self.requests.read(now) + 1.0
        self.copies.add(now, float(rare))
        return rare

    def sent(self, attempt: Attempt) -> None:
        """Look again at a repeatable request when its answer is late."""
        request_class = attempt.request.request_class
        due = self.host.now + int(self.LATE * request_class.statistics.mean_latency)
        if (
            request_class.kind != Effect.NON_IDEMPOTENT
            and request_class.hedging
            and self.second_copies
            and due < attempt.request.deadline
        ):
            heapq.heappush(self.due, (due, next(self.number), attempt))
            self.policy.wake(due)

    def check(self) -> None:
        """Send second copies of what an upstream in doubt holds: copies of what is only heavy tip a fleet."""
        while self.due and self.due[0][0] <= self.host.now:
            attempt = heapq.heappop(self.due)[2]
            request = attempt.request
            if request.ended or attempt.outcome or attempt is not request.attempts[-1]:
                continue
            if not self.policy.selector.is_suspected(attempt.upstream.statistics, attempt):
                self.sent(attempt)
            elif (
                self.allowed(request)
                and not self.policy.admission_queue.waiting()
                and self.afford()
            ):
                self.policy.selector.take(request)

    def on_attempt_finished(self, attempt: Attempt, first: bool) -> None:
        request = attempt.request
        others = [other for other in request.attempts if not other.outcome]
        if request.ended or (others and self.host.now < request.deadline):
            self.call_off(others if first else [])
        elif attempt.outcome not in NEVER_RAN and not self.afford():
            self.policy.finish(request)
        elif self.policy.run(request, 1) == PASS:
            self.policy.admission_queue.hold(request)

    def call_off(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            if not attempt.outcome and attempt.request.request_class.cancellation:
                self.host.cancel(attempt)


class UpstreamSelector:
    """Last stage: draws an upstream by the shares of the min-max solve and hands the request over."""

    DOUBT = 4.0  # answers overdue: by chance once in e^4, about one in fifty
    TRIALS = 0.01  # of sends, to idle upstreams; the design page's
    LEAST = 2  # upstreams to choose from: with one bad there is still one
    # out at an upstream from all balancers: room for one with a few cores, busy and kept so
    MOST = 6.0
    LATE_USE = 0.85  # the part in use that an upstream is kept to whose reports are seconds old
    IN_USE = 0.95  # and one that was asked just now: what waits there beyond it is late
    MUTE = (
        20  # answers without a load report, after which an upstream counts as one that gives none
    )
    PROBES = (
        0.5  # a request: each upstream of a part some times a second, and 0.3 % of a request's work
    )
    FRESH = SECOND // 2  # a probe's word holds: a few turns of what is in work
    SPEAK = 20.0  # messages a second that each balancer gets at most, however many there are

    def __init__(self, policy: Policy, settings: dict[str, Any], seed: int) -> None:
        self.policy, self.host = policy, policy.host
        chance = Random(seed)
        self.random, self.random_choice = chance.random, chance.choice
        self.ready: list[UpstreamStatistics] = []  # what is listed as ready, sorted
        self.subset: list[UpstreamStatistics] = []  # the part of it that this balancer keeps to
        self.drawn: list[UpstreamStatistics] = []  # those with a share
        self.bounds: list[float] = []  # running sums of their shares
        self.span, self.baseline_latency = (
            3 * SECOND,
            0.0,
        )  # ease: the least mean latency of late, in seconds
        self.warming_up: list[UpstreamStatistics] = []  # those of the pool that are not warm yet
        self.arrived = DecayingSum(self.span, self.host.now)
        self.configure(settings)
        self.traffic, self.asking = 1.0 / self.balancers, float(self.number)
        self.in_flight, self.owed, self.mean_latency, self.sharing, self.crowded = (
            0,
            0.0,
            0.0,
            1.0,
            False,
        )

    def configure(self, settings: dict[str, Any]) -> None:
        self.peer_rates, self.balancers = (
            PeerRates(),
            max(1, int(settings.get("balancers", 1))),
        )  # others, other rates
        self.reports = "busy" in settings.get("report.columns", [])
        self.probes = (
            settings.get("limits.probes", False) and settings.get("report.source") == "on_probe"
        )
        self.tells = bool(settings.get("limits.peers", False)) and self.balancers > 1
        self.number, self.zone = int(settings.get("slot_no", 0)), settings.get("zone", 0)
        self.cold_from, self.warm_up = (
            settings.get("rules.cold_from", 1.0),
            settings.get("rules.cold", 0),
        )
        self.bears, self.fall = (
            settings.get("rules.fall_multiple", 2.0),
            settings.get("rules.fall", SECOND),
        )
        agreed = [
            request_class.latency_objective / SECOND
            for request_class in self.policy.request_classes
        ]
        self.baseline_latency = (
            self.baseline_latency or min(agreed) / 5
        )  # a start until it is known
        self.crossing = float(settings.get("prices.cross_zone", 0.0)) * max(
            agreed
        )  # its price as time

    def on_endpoints_updated(self, upstreams: list[Upstream]) -> None:
        """Follow the list: what drains or is missing gets nothing new from this moment on."""
        for upstream in upstreams:
            if upstream.statistics is None:
                wait = int(self.fall * self.random()) if self.ready else 0
                upstream.statistics = UpstreamStatistics(upstream, self.host.now, self.span, wait)
        ready = sorted(
            (up.statistics for up in upstreams if up.state == UpstreamState.READY),
            key=lambda seen: seen.upstream.id,
        )
        # Who joins a list is taken up by chance, so that it meets as many balancers as the others.
        part = self.subset_size(len(ready)) / max(1, len(ready)) if self.ready else 0.0
        subset, known, self.ready = set(self.subset), set(self.ready), ready
        self.subset = [
            seen for seen in ready if seen in subset or seen not in known and self.random() < part
        ]
        self.update_shares()

    def subset_size(self, count: int) -> int:
        """How many upstreams of a list to keep to."""
        # Guards against knowing little of many, and against more balancers at an upstream than
        # there is room for requests, as each may send one: with so many by its part of all traffic
        # they are no more.
        wide = (
            sum(seen.total_capacity for seen in self.subset) / len(self.subset)
            if self.subset
            else self.MOST
        )
        return min(count, max(self.LEAST, int(wide * count * self.traffic + 0.5)))

    def choose(self) -> None:
        """Keep to every n-th upstream of the sorted list, from a start of this balancer's own."""
        subset, count = self.subset, len(self.ready)
        subset_size, sound = (
            self.subset_size(count),
            sum(not self.is_suspected(seen) for seen in subset),
        )
        if subset_size == count:
            subset = list(self.ready)
        # In steps, with what is connected kept. If most of them are in doubt others are taken
        # besides.
        elif 4 * min(len(subset), 2 * sound) <= 3 * subset_size:
            step, start, held = (
                count // subset_size,
                self.number * count // self.balancers,
                set(subset),
            )
            walk = (
                self.ready[(start + at) % count]
                for at in sorted(range(count), key=lambda at: at % step)
            )
            subset += islice(
                (seen for seen in walk if seen not in held), max(1, subset_size - sound)
            )
        while len(subset) > 1.5 * subset_size:
            self.host.close_idle(subset.pop(int(self.random() * len(subset))).upstream)
        self.subset = subset

    def send_rate(self) -> None:
        now = (
            self.host.now
        )  # once there is a rate: of nothing, others would think that they are alone
        if (
            self.tells
            and now >= self.arrived.begun + PERIOD
            and self.random() < self.SPEAK / self.balancers
        ):
            self.host.send_peer_message(None, self.peer_rates.pack(self.arrived.rate(now)))

    def on_request(self) -> None:
        """Count a request; as often as they come upstreams are asked for their load, in turn."""
        self.arrived.add(self.host.now)
        self.asking += self.PROBES
        if self.probes and self.asking % 1.0 < self.PROBES and self.subset:
            self.host.probe(self.subset[int(self.asking) % len(self.subset)].upstream)

    def on_load_report(self, seen: UpstreamStatistics, load: dict[str, float]) -> None:
        """Take in what an upstream says of its load."""
        now = self.host.now
        seen.rate = load.get("fulfilled_rate", seen.rate)
        if self.probes and "held" in load:
            seen.reported_in_flight, seen.probed_at = load["held"], now
        if "busy" in load:
            # Guards against room for six at one of a single core: its room grows and shrinks by e a
            # second for each whole part in use that is missing or too many, to what just keeps it
            # in use.
            use, span = (
                self.IN_USE if self.probes else self.LATE_USE,
                min(now - seen.reported_at, SECOND) / SECOND,
            )
            seen.total_capacity = min(
                max(seen.total_capacity * exp((use - load["busy"]) * span), 1.5), self.MOST
            )
            seen.reported_at, seen.answers_without_report = now, 0

    def age(self, upstream: Upstream) -> float:
        old, most = (
            self.host.now - upstream.started if upstream.started else self.warm_up,
            self.warm_up,
        )
        return 1.0 if old >= most else self.cold_from + (1.0 - self.cold_from) * max(0, old) / most

    def is_suspected(self, seen: UpstreamStatistics, but: Attempt | None = None) -> bool:
        # Guards against one that takes requests and answers none: what is out bounds its latency by
        # its age.
        seen.watch(now := self.host.now)
        # For `but`, a heavy request must not pass for a silent upstream: without it, one more must
        # be overdue.
        return seen.overdue_answers > self.DOUBT and (
            not but
            or seen.overdue_answers
            - (now - max(but.sent_at, seen.last_answer_at)) * but.expected_rate
            > 1.0
        )

    def sure(self) -> list[UpstreamStatistics]:
        """Those that answer. Where most seem silent at once it is no fault of theirs: then all of them."""
        sure = [seen for seen in self.subset if not self.is_suspected(seen)]
        return sure if 2 * len(sure) >= len(self.subset) else self.subset

    def update_shares(self) -> None:
        """Find the shares for the next period."""
        now = self.host.now
        own, mean = self.arrived.rate(now), self.measure(now)
        fleet = self.peer_rates.rate(own, self.balancers, now)
        # Its part of all traffic. One request a second each as a start: before anything came all
        # are alike.
        self.traffic = (own + 1.0) / (fleet + self.balancers)
        self.choose()
        subset, sure, part = self.subset, self.sure(), len(self.subset) / max(1, len(self.ready))
        rate, self.sharing = (
            fleet * part,
            max(1.0, part / self.traffic),
        )  # of all, at these upstreams
        # Latencies fade over the time it takes to hear some thirty answers of each: fewer say
        # little where requests differ much. Bounds: three seconds, and half of what a trouble
        # usually lasts.
        self.span = int(min(max(30.0 * len(subset) / max(own, 1.0), 3.0), 10.0) * SECOND)
        for seen in subset:
            seen.share, seen.due.span, seen.answers.span = 0.0, self.span, self.span
            seen.warming_up = self.age(seen.upstream) < 1.0
            self.update_capacity(seen)
        # What a warm one answers from here in the time that lets a cold one fall is the measure for
        # that one.
        self.warming_up, even = (
            [seen for seen in subset if seen.warming_up],
            own / max(1, len(subset)),
        )
        warm, answers = (
            len(subset) - len(self.warming_up),
            [w.statistics.answers.rate(now) for w in self.policy.request_classes],
        )
        self.mean_latency = (
            (max(sum(answers) / warm, even / 4) if warm else even) * self.fall / SECOND
        )
        # Until latencies and a rate exist the draw is even.
        shares = (
            min_max_split(self.costs(sure, mean), rate)
            if mean and rate >= 1.0
            else [1.0] * len(sure)
        )
        for seen, share in zip(sure, shares):
            seen.share = share * self.age(seen.upstream)
        # Rates are smoothed over the same time as latencies.
        in_flight, step = sum(seen.share for seen in sure) or 1.0, 1.0 - exp(-PERIOD / self.span)
        for seen in sure:  # who is in doubt keeps the rate it carried before
            seen.share /= in_flight
            if seen.rate is not None:
                seen.rate += (seen.share * rate - seen.rate) * step
        self.drawn = [seen for seen in sure if seen.share > 0.0 and not seen.warming_up]
        self.bounds = list(accumulate(seen.share for seen in self.drawn))

    def measure(self, now: int) -> float:
        """Mean latency in seconds over the mix of request classes as it comes; 0 while nothing is known."""
        took = answers = 0.0
        for request_class in self.policy.request_classes:
            known, answered = request_class.statistics, request_class.statistics.answers.read(now)
            known.mean_latency = (
                max(known.durations.read(now) / answered, 1e3)
                if answered > 0.5
                else known.mean_latency
            )
            answers, took = answers + answered, took + known.durations.value
        mean = took / answers / SECOND if answers > 0.5 else 0.0
        # Against fifty answers, and after three seconds: the quickest come first, and a restarted
        # balancer must not think them usual. Forgotten slower than a trouble lasts.
        if now >= self.arrived.begun + 3 * SECOND:
            self.baseline_latency = min(
                self.baseline_latency * 1.01,
                (took / SECOND + 50.0 * self.baseline_latency) / (answers + 50.0),
            )
        self.crowded = mean > 2.0 * self.baseline_latency
        return mean

    def costs(self, sure: list[UpstreamStatistics], mean: float) -> list[float]:
        """Mean service time of each, from the point on its curve that its latency and rate show."""
        now, known = self.host.now, {}
        for seen in sure:
            if seen.rate is not None:
                far = self.crossing if seen.upstream.zone != self.zone else 0.0
                known[seen] = 1.0 / (mean * seen.ratio(now) + far) + seen.rate
        middle = sum(known.values()) / len(known) if known else 1.0 / mean
        costs = []
        for seen in sure:
            seen.rate = max(0.0, middle - 1.0 / mean) if seen.rate is None else seen.rate
            # What was measured counts against three answers at the mean: who is little heard of is
            # near it.
            heard = seen.answers.read(now)
            costs.append((heard + 3.0) / (heard * known.get(seen, middle) + 3.0 * middle))
        return costs

    def update_capacity(self, seen: UpstreamStatistics) -> None:
        # Guards against crowding, where upstreams lose speed or turn requests away: its part of
        # what all may have out, or, by Little's law, what is answered in a fifth more than the
        # latency at ease.
        if not self.reports or seen.answers_without_report > self.MUTE:
            seen.total_capacity = self.MOST
        seen.capacity_share = seen.total_capacity / self.sharing
        if seen.total_capacity == self.MOST:
            seen.capacity_share = max(
                seen.capacity_share, seen.answers.rate(self.host.now) * 1.2 * self.baseline_latency
            )
        seen.capacity = max(1.0, seen.capacity_share) - 0.5  # rounded to whole requests

    def open_to(self, seen: UpstreamStatistics, request: Request) -> bool:
        """Whether the rules and plain sense let this upstream have the request."""
        upstream, now = seen.upstream, self.host.now
        if seen.reported_in_flight >= seen.total_capacity and now < seen.probed_at + self.FRESH:
            return False  # a probe has just said that it holds what all may have out
        if (
            seen.in_flight >= seen.capacity
            or now < seen.backoff_until
            or upstream.state != UpstreamState.READY
            or upstream.spare < 1
            or any(sent.upstream is upstream for sent in request.attempts)
            or request.attempts
            and not self.policy.retry_policy.allows_upstream(request, upstream)
        ):
            return False
        if (age := self.age(upstream)) >= 1.0:
            return True
        # Guards against a cold one that all balancers push over together, each by rounding up: it
        # is due its part by age of what a warm one answers; more, by what it bears, only where
        # requests wait for room.
        part = (
            age
            * self.mean_latency
            * (0.8 * self.bears if self.policy.admission_queue.waiting() else 1.0)
        )
        return seen.warm_up_pacer.due(now, self.fall, part, self.random)

    def select(self, request: Request) -> UpstreamStatistics | None:
        """The upstream for a request; None where nothing may be sent to."""
        # Guards against many that each round up to one: all parts bound what is out, at ease if not
        # overdue.
        in_flight, parts, sound = 0, 0.0, self.DOUBT if self.crowded else 1.0
        for seen in self.subset:
            if seen.overdue_answers <= sound:
                in_flight, parts = in_flight + seen.in_flight, parts + seen.capacity_share
        if (
            request.request_class.statistics
            is next(iter(self.policy.admission_queue.queues)).statistics
        ):
            in_flight = min(
                in_flight, request.request_class.statistics.in_flight
            )  # what adds most for its work is not kept out by the rest
        if in_flight >= max(1.0, parts) - 0.5 * self.crowded:
            return None
        # Trials rather go with requests that may be repeated: they may meet what answers nothing.
        if (
            self.owed >= (1.0 if request.request_class.kind != Effect.NON_IDEMPOTENT else 4.0)
            and not request.attempts
        ):
            self.owed = 0.0
            if idle := [
                seen
                for seen in self.subset
                if seen.in_flight == 0
                and self.open_to(seen, request)
                and (seen.share == 0.0 or self.is_suspected(seen))
            ]:
                return self.random_choice(idle)
        # After cold ones that are due one, four draws by share: enough to pass by the few that
        # can't have it.
        points = (self.random() * self.bounds[-1] for _ in range(4 if self.drawn else 0))
        warm = (self.drawn[bisect_right(self.bounds, at, 0, len(self.drawn) - 1)] for at in points)
        fit = (
            seen
            for seen in chain(self.warming_up, warm)
            if not self.is_suspected(seen) and self.open_to(seen, request)
        )
        found = next(fit, None)
        if found is not None and found.in_flight > 2.0 * self.in_flight / len(self.subset):
            found = next(fit, found)  # over twice the mean is out there: drawn once more
        return found or min(
            (seen for seen in self.sure() if self.open_to(seen, request)),
            key=lambda seen: seen.in_flight,
            default=None,
        )

    def take(self, request: Request) -> str:
        if (seen := self.select(request)) is None:
            return PASS  # nothing may be sent to: whoever called knows what is left to do
        attempt = self.host.start_attempt(request, seen.upstream)
        seen.watch(self.host.now)
        attempt.expected_rate = (
            1.0 / request.request_class.statistics.mean_latency
        )  # the answers due of it in a nanosecond
        seen.expected_rate += attempt.expected_rate
        seen.in_flight, self.in_flight, self.owed = (
            seen.in_flight + 1,
            self.in_flight + 1,
            self.owed + self.TRIALS,
        )
        seen.warm_up_pacer.open = False
        request.request_class.statistics.in_flight += 1
        self.policy.retry_policy.sent(attempt)
        return KEEP

    def on_attempt_finished(self, attempt: Attempt, first: bool) -> None:
        seen, request_class, outcome = (
            attempt.upstream.statistics,
            attempt.request.request_class,
            attempt.outcome,
        )
        seen.watch(now := self.host.now)
        seen.in_flight, self.in_flight, request_class.statistics.in_flight = (
            seen.in_flight - 1,
            self.in_flight - 1,
            request_class.statistics.in_flight - 1,
        )
        seen.expected_rate = seen.expected_rate - attempt.expected_rate if seen.in_flight else 0.0
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.OVERLOADED):
            seen.overdue_answers, seen.last_answer_at = 0.0, now
        elif outcome == Outcome.CONNECT_FAILED:
            # Guards against one that is down before the list says so. A reset alone is no reason:
            # of one that died the next connection tells, which harms no request, and one that lives
            # would get trials only.
            seen.overdue_answers = max(seen.overdue_answers, 5.0)
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return  # its time is counted, an answer never came
        if outcome == Outcome.SUCCEEDED:
            request_class.statistics.durations.add(now, attempt.duration)
            request_class.statistics.answers.add(now)
            seen.backoff_until = 0
        else:
            # Guards against quick failures that look fast: they count as time-outs, with the whole
            # timeout.
            seen.unaccounted_answers += (
                max(0, request_class.timeout - attempt.duration) * attempt.expected_rate
            )
            if outcome != Outcome.TIMED_OUT:
                # Guards against request after request for an upstream that is full, down or fails
                # quickly, and so seems to have room: it gets none for as long as its latency now
                # says.
                seen.backoff_until = now + int(
                    request_class.statistics.mean_latency * seen.ratio(now)
                )
        seen.answers.add(now)
        seen.answers_without_report += 1
        self.update_capacity(seen)


class Policy:
    """One balancer's decisions."""

    def __init__(
        self, host: Host, settings: dict[str, Any], request_classes: list[RequestClass], seed: int
    ) -> None:
        self.host, self.request_classes, self.next_wake = host, request_classes, 0
        for request_class in request_classes:
            request_class.statistics = RequestClassStatistics(request_class, host.now)
        self.admission_queue, self.retry_policy = (
            AdmissionQueue(self, settings),
            RetryPolicy(self, settings),
        )
        self.selector = UpstreamSelector(self, settings, seed)
        self.following, self.tries, self.ask_at = False, 0, 0
        self.configure(settings)
        host.set_timer(host.now, SOLVE)

    def configure(self, settings: dict[str, Any]) -> None:
        self.retry_after = bool(
            settings.get("limits.retry_after", True)
        )  # whether clients are told a wait
        self.asks = settings.get("discovery") == "subscribe"
        self.ask_within = (
            int(settings.get("rules.ask_within", 10 * SECOND)) // 2
        )  # with time to spare
        self.ask_later()

    def ask_later(self) -> None:
        # Guards against a fleet that asks in step for a list that can answer only so many: by
        # chance within two seconds, and within twice as long after each call in vain, which may
        # itself take half of that.
        if self.asks and not self.following:
            within, chance = (
                min(2 * SECOND << min(self.tries, 9), self.ask_within),
                self.selector.random(),
            )
            self.ask_at = (
                self.host.now + int(within * (0.5 + chance / 2 if self.tries else chance)) + 1
            )
            self.host.set_timer(self.ask_at, ASK)

    def on_endpoint_list_lost(self) -> None:
        """A call for the list was in vain, or it is followed no longer; what was listed stays till told."""
        self.following = False
        self.ask_later()

    def reconfigure(self, settings: dict[str, Any], request_classes: list[RequestClass]) -> None:
        """Go on by other settings; what is known of upstreams, and of request classes that stay, is kept."""
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
        self.following, self.tries = self.following or self.tries > 0, 0
        self.selector.on_endpoints_updated(upstreams)
        self.admission_queue.release()

    def on_request(self, request: Request) -> None:
        self.selector.on_request()
        self.retry_policy.requests.add(self.host.now)
        request.request_class.statistics.requests.add(self.host.now)
        if self.run(request, 0) == PASS:
            self.admission_queue.hold(request)

    def run(self, request: Request, first: int) -> str:
        """Pass a request along the stages; it comes out again if none could place it."""
        for stage in (self.admission_queue, self.retry_policy, self.selector)[first:]:
            if (verdict := stage.take(request)) != PASS:
                return verdict
        return PASS

    def on_attempt_finished(
        self, attempt: Attempt, load: dict[str, float] | None, first: bool
    ) -> None:
        """An attempt has its outcome; `first` if it ended the request. Late ones still count as measured."""
        self.on_load_report(attempt.upstream, load)
        for stage in (self.selector, self.retry_policy, self.admission_queue):
            stage.on_attempt_finished(attempt, first)

    def on_load_report(self, upstream: Upstream, load: dict[str, float] | None) -> None:
        """What an upstream says of its load, with an answer or when probed."""
        if load and upstream.statistics:
            self.selector.on_load_report(upstream.statistics, load)

    def finish(self, request: Request) -> str:
        """The final answer to a request that was not fulfilled: rejected if that is true to say."""
        if self.retry_policy.harmless(request) and self.host.now < request.deadline:
            # A quarter of the latency objective: a jam has moved on, and the next try can still be
            # in time.
            self.host.reject(
                request, request.request_class.latency_objective // 4 if self.retry_after else 0
            )
        else:
            self.host.fail(request)
        return END

    def on_client_disconnected(self, request: Request) -> None:
        self.retry_policy.call_off(request.attempts)

    def on_peer_message(self, balancer: int, contents: bytes) -> None:
        self.selector.peer_rates.receive(balancer, contents, self.selector.balancers, self.host.now)

    def wake(self, at: int) -> None:
        """See that `bell` rings by then."""
        if not self.next_wake or at < self.next_wake:
            self.next_wake = at
            self.host.set_timer(at, TICK)

    def on_timer(self, token: int) -> None:
        now = self.host.now
        if token == SOLVE:
            self.host.set_timer(now + PERIOD, SOLVE)
            self.selector.update_shares()
            self.selector.send_rate()
            self.admission_queue.rank()
        elif token == ASK and self.asks and not self.following and now >= self.ask_at:
            self.host.follow_endpoint_list(True)
            self.tries += 1
            self.ask_later()  # unless the list comes
        elif token == TICK and now >= self.next_wake:
            self.next_wake = 0
        self.retry_policy.check()
        self.admission_queue.release()
        self.admission_queue.expire()
        if self.retry_policy.due:
            self.wake(self.retry_policy.due[0][0])
        if self.admission_queue.waiting():
            self.wake(now + SECOND // 100)
