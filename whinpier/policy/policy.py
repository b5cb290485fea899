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

from whinpier.policy.decaying_sum import SECOND, Sum
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
from whinpier.policy.rate_gossip import Peers
from whinpier.policy.statistics import Known, Seen

PASS, KEEP, END = "pass on", "keep", "end"
PERIOD = SECOND  # between solves; the design page's
SOLVE, TICK, ASK = 1, 2, 3  # timer tokens


def level(costs: list[float], rate: float) -> list[float]:
    """The min-max split: rates for servers of mean service time `costs`, all in use at one level r."""
    total, capacity = sum(1.0 / cost for cost in costs), 0.0
    if rate >= total:
        return [rate / total / cost for cost in costs]
    slack, order = 0.0, sorted(costs)
    for used, cost in enumerate(order, 1):
        capacity += 1.0 / cost
        slack = (capacity - rate) / used  # 1/r over the fastest used so far
        if slack > 0.0 and (used == len(order) or 1.0 <= order[used] * slack):
            break
    return [max(0.0, 1.0 / cost - slack) for cost in costs]


class Entry:
    """First stage: takes a request in; what no upstream has room for is held a moment, then
    rejected.
    """

    # of the latency objective at most: rides out a short stop and leaves the rest for the upstream
    HOLD = 0.25

    def __init__(self, choice: Choice, settings: dict[str, Any]) -> None:
        self.choice, self.host = choice, choice.host
        self.held: dict[RequestClass, deque[Request]] = {
            request_class: deque() for request_class in choice.request_classes
        }
        self.answered = Sum(
            2 * SECOND, self.host.now
        )  # follows a fleet that turns slow, not single requests
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        self.whole = float(settings.get("goal.whole", 1.0))
        self.worst = float(settings.get("goal.worst_class", 0.0))
        self.most = int(settings.get("limits.held", 1 << 30))
        self.held |= {
            request_class: self.held.get(request_class, deque())
            for request_class in self.choice.request_classes
        }

    def rank(self) -> None:
        """Order the request classes by what their requests add for the work they cost, the worst
        served lifted.
        """
        here = [
            kind
            for kind, requests in self.held.items()
            if requests or kind in self.choice.request_classes
        ]
        asked = {
            request_class: request_class.known.asked.read(self.host.now) + 1.0
            for request_class in here
        }
        least = min(
            asked,
            key=lambda request_class: request_class.known.kept.read(self.host.now)
            / asked[request_class],
        )
        priority_weight = sum(
            request_class.priority_weight * count for request_class, count in asked.items()
        )

        def worth(request_class: RequestClass) -> float:
            lift = self.worst / asked[request_class] if request_class is least else 0.0
            return float(
                (self.whole * request_class.priority_weight / priority_weight + lift)
                / request_class.known.usual
            )

        self.held = {
            request_class: self.held[request_class]
            for request_class in sorted(here, key=worth, reverse=True)
        }

    def waiting(self, request_class: RequestClass | None = None) -> int:
        """How many are held, or of those how many would go before a new request of a request class."""
        first = list(self.held)
        first = first[: first.index(request_class) + 1] if request_class in self.held else first
        return sum(len(self.held[other]) for other in first)

    def take(self, request: Request) -> str:
        return self.hold(request) if self.waiting(request.request_class) else PASS

    def hold(self, request: Request) -> str:
        """Keep a request until there is room, unless too many wait for it to be reached in time."""
        now, request_class = self.host.now, request.request_class
        # 20 ms before its client gives up at the latest, so that its answer is timely.
        request.held_until = min(
            request.came + int(self.HOLD * request_class.latency_objective),
            request.ends - SECOND // 50,
        )
        wait = request.held_until - now
        if (
            wait <= 0
            or self.waiting(request_class) > 3 + self.answered.rate(now) * wait / SECOND
            or self.waiting() >= self.most
        ):
            return self.choice.finish(request)
        self.held.setdefault(request_class, deque()).append(request)
        self.choice.wake(now + SECOND // 100)
        return KEEP

    def release(self) -> None:
        """Send on what is held while there is room: the most worth first, of that the oldest."""
        for requests in self.held.values():
            while requests and (requests[0].ended or self.choice.run(requests[0], 1) != PASS):
                requests.popleft()

    def expire(self) -> None:
        """Reject what has been held long enough."""
        for requests in self.held.values():
            for request in [
                request
                for request in requests
                if request.held_until <= self.host.now or request.ended
            ]:
                requests.remove(request)
                if not request.ended:
                    self.choice.finish(request)

    def back(self, attempt: Attempt, first: bool) -> None:
        now, request = self.host.now, attempt.request
        if attempt.outcome == Outcome.SUCCEEDED:
            self.answered.add(now)
            request.request_class.known.kept.add(
                now, float(first and now <= request.came + request.request_class.latency_objective)
            )
        if attempt.upstream.seen.out < attempt.upstream.seen.room:
            self.release()


class Again:
    """Second stage: keeps to what each request class allows when a request is sent more than once."""

    LATE = (
        2.0  # an answer is late after this many mean latencies: by then an upstream in doubt shows
    )
    COPIES = 0.1  # second copies and repeats, per request: enough for one bad upstream in ten

    def __init__(self, choice: Choice, settings: dict[str, Any]) -> None:
        self.choice, self.host = choice, choice.host
        self.requests, self.copies = Sum(5 * SECOND, self.host.now), Sum(5 * SECOND, self.host.now)
        self.due: list[tuple[int, int, Attempt]] = []
        self.number = numbers()
        self.configure(settings)

    def configure(self, settings: dict[str, Any]) -> None:
        self.second_copies = settings.get("limits.second_copies", False)
        self.setup = (
            settings.get("limits.connect_timeout", SECOND // 4) + SECOND // 20
        )  # till it has come
        for request_class in self.choice.request_classes:  # a request keeps what held when it came
            request_class.most, request_class.copies = (
                int(settings.get("limits.max_hand_offs", 1)),
                self.second_copies,
            )
            request_class.cancelling = settings.get("limits.cancelling", False)
        self.due = self.due if self.second_copies else []  # no copy is sent by settings of before

    def take(self, request: Request) -> str:
        return (
            PASS if not request.attempts or self.allowed(request) else self.choice.finish(request)
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
            and now + self.setup < ran.sent + request_class.window
        )
        return once and len(request.attempts) < request_class.most and now < request.ends

    def fits(self, request: Request, upstream: Upstream) -> bool:
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
        due = self.host.now + int(self.LATE * request_class.known.usual)
        if (
            request_class.kind != Effect.NON_IDEMPOTENT
            and request_class.copies
            and self.second_copies
            and due < attempt.request.ends
        ):
            heapq.heappush(self.due, (due, next(self.number), attempt))
            self.choice.wake(due)

    def check(self) -> None:
        """Send second copies of what an upstream in doubt holds: copies of what is only heavy tip a fleet."""
        while self.due and self.due[0][0] <= self.host.now:
            attempt = heapq.heappop(self.due)[2]
            request = attempt.request
            if request.ended or attempt.outcome or attempt is not request.attempts[-1]:
                continue
            if not self.choice.split.doubted(attempt.upstream.seen, attempt):
                self.sent(attempt)
            elif self.allowed(request) and not self.choice.entry.waiting() and self.afford():
                self.choice.split.take(request)

    def back(self, attempt: Attempt, first: bool) -> None:
        request = attempt.request
        others = [other for other in request.attempts if not other.outcome]
        if request.ended or (others and self.host.now < request.ends):
            self.call_off(others if first else [])
        elif attempt.outcome not in NEVER_RAN and not self.afford():
            self.choice.finish(request)
        elif self.choice.run(request, 1) == PASS:
            self.choice.entry.hold(request)

    def call_off(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            if not attempt.outcome and attempt.request.request_class.cancelling:
                self.host.cancel(attempt)


class Split:
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

    def __init__(self, choice: Choice, settings: dict[str, Any], seed: int) -> None:
        self.choice, self.host = choice, choice.host
        chance = Random(seed)
        self.random, self.pick = chance.random, chance.choice
        self.ready: list[Seen] = []  # what is listed as ready, sorted
        self.pool: list[Seen] = []  # the part of it that this balancer keeps to
        self.drawn: list[Seen] = []  # those with a share
        self.bounds: list[float] = []  # running sums of their shares
        self.span, self.ease = 3 * SECOND, 0.0  # ease: the least mean latency of late, in seconds
        self.cold: list[Seen] = []  # those of the pool that are not warm yet
        self.arrived = Sum(self.span, self.host.now)
        self.configure(settings)
        self.traffic, self.asking = 1.0 / self.balancers, float(self.number)
        self.total, self.owed, self.usual, self.sharing, self.crowded = 0, 0.0, 0.0, 1.0, False

    def configure(self, settings: dict[str, Any]) -> None:
        self.peers, self.balancers = (
            Peers(),
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
            for request_class in self.choice.request_classes
        ]
        self.ease = self.ease or min(agreed) / 5  # a start until it is known
        self.crossing = float(settings.get("prices.cross_zone", 0.0)) * max(
            agreed
        )  # its price as time

    def listed(self, upstreams: list[Upstream]) -> None:
        """Follow the list: what drains or is missing gets nothing new from this moment on."""
        for upstream in upstreams:
            if upstream.seen is None:
                wait = int(self.fall * self.random()) if self.ready else 0
                upstream.seen = Seen(upstream, self.host.now, self.span, wait)
        ready = sorted(
            (up.seen for up in upstreams if up.state == UpstreamState.READY),
            key=lambda seen: seen.upstream.id,
        )
        # Who joins a list is taken up by chance, so that it meets as many balancers as the others.
        part = self.want(len(ready)) / max(1, len(ready)) if self.ready else 0.0
        pool, known, self.ready = set(self.pool), set(self.ready), ready
        self.pool = [
            seen for seen in ready if seen in pool or seen not in known and self.random() < part
        ]
        self.solve()

    def want(self, count: int) -> int:
        """How many upstreams of a list to keep to."""
        # Guards against knowing little of many, and against more balancers at an upstream than
        # there is room for requests, as each may send one: with so many by its part of all traffic
        # they are no more.
        wide = sum(seen.wide for seen in self.pool) / len(self.pool) if self.pool else self.MOST
        return min(count, max(self.LEAST, int(wide * count * self.traffic + 0.5)))

    def choose(self) -> None:
        """Keep to every n-th upstream of the sorted list, from a start of this balancer's own."""
        pool, count = self.pool, len(self.ready)
        want, sound = self.want(count), sum(not self.doubted(seen) for seen in pool)
        if want == count:
            pool = list(self.ready)
        # In steps, with what is connected kept. If most of them are in doubt others are taken
        # besides.
        elif 4 * min(len(pool), 2 * sound) <= 3 * want:
            step, start, held = count // want, self.number * count // self.balancers, set(pool)
            walk = (
                self.ready[(start + at) % count]
                for at in sorted(range(count), key=lambda at: at % step)
            )
            pool += islice((seen for seen in walk if seen not in held), max(1, want - sound))
        while len(pool) > 1.5 * want:
            self.host.close_idle(pool.pop(int(self.random() * len(pool))).upstream)
        self.pool = pool

    def tell(self) -> None:
        now = (
            self.host.now
        )  # once there is a rate: of nothing, others would think that they are alone
        if (
            self.tells
            and now >= self.arrived.begun + PERIOD
            and self.random() < self.SPEAK / self.balancers
        ):
            self.host.tell(None, self.peers.pack(self.arrived.rate(now)))

    def came(self) -> None:
        """Count a request; as often as they come upstreams are asked for their load, in turn."""
        self.arrived.add(self.host.now)
        self.asking += self.PROBES
        if self.probes and self.asking % 1.0 < self.PROBES and self.pool:
            self.host.probe(self.pool[int(self.asking) % len(self.pool)].upstream)

    def reported(self, seen: Seen, load: dict[str, float]) -> None:
        """Take in what an upstream says of its load."""
        now = self.host.now
        seen.given = load.get("fulfilled_rate", seen.given)
        if self.probes and "held" in load:
            seen.held, seen.probed = load["held"], now
        if "busy" in load:
            # Guards against room for six at one of a single core: its room grows and shrinks by e a
            # second for each whole part in use that is missing or too many, to what just keeps it
            # in use.
            use, span = (
                self.IN_USE if self.probes else self.LATE_USE,
                min(now - seen.told, SECOND) / SECOND,
            )
            seen.wide = min(max(seen.wide * exp((use - load["busy"]) * span), 1.5), self.MOST)
            seen.told, seen.mute = now, 0

    def age(self, upstream: Upstream) -> float:
        old, most = (
            self.host.now - upstream.started if upstream.started else self.warm_up,
            self.warm_up,
        )
        return 1.0 if old >= most else self.cold_from + (1.0 - self.cold_from) * max(0, old) / most

    def doubted(self, seen: Seen, but: Attempt | None = None) -> bool:
        # Guards against one that takes requests and answers none: what is out bounds its latency by
        # its age.
        seen.watch(now := self.host.now)
        # For `but`, a heavy request must not pass for a silent upstream: without it, one more must
        # be overdue.
        return seen.silence > self.DOUBT and (
            not but or seen.silence - (now - max(but.sent, seen.heard)) * but.pull > 1.0
        )

    def sure(self) -> list[Seen]:
        """Those that answer. Where most seem silent at once it is no fault of theirs: then all of them."""
        sure = [seen for seen in self.pool if not self.doubted(seen)]
        return sure if 2 * len(sure) >= len(self.pool) else self.pool

    def solve(self) -> None:
        """Find the shares for the next period."""
        now = self.host.now
        own, mean = self.arrived.rate(now), self.measure(now)
        fleet = self.peers.rate(own, self.balancers, now)
        # Its part of all traffic. One request a second each as a start: before anything came all
        # are alike.
        self.traffic = (own + 1.0) / (fleet + self.balancers)
        self.choose()
        pool, sure, part = self.pool, self.sure(), len(self.pool) / max(1, len(self.ready))
        rate, self.sharing = (
            fleet * part,
            max(1.0, part / self.traffic),
        )  # of all, at these upstreams
        # Latencies fade over the time it takes to hear some thirty answers of each: fewer say
        # little where requests differ much. Bounds: three seconds, and half of what a trouble
        # usually lasts.
        self.span = int(min(max(30.0 * len(pool) / max(own, 1.0), 3.0), 10.0) * SECOND)
        for seen in pool:
            seen.share, seen.due.span, seen.answers.span = 0.0, self.span, self.span
            seen.cold = self.age(seen.upstream) < 1.0
            self.make_room(seen)
        # What a warm one answers from here in the time that lets a cold one fall is the measure for
        # that one.
        self.cold, even = [seen for seen in pool if seen.cold], own / max(1, len(pool))
        warm, answers = (
            len(pool) - len(self.cold),
            [w.known.answers.rate(now) for w in self.choice.request_classes],
        )
        self.usual = (max(sum(answers) / warm, even / 4) if warm else even) * self.fall / SECOND
        # Until latencies and a rate exist the draw is even.
        shares = level(self.costs(sure, mean), rate) if mean and rate >= 1.0 else [1.0] * len(sure)
        for seen, share in zip(sure, shares):
            seen.share = share * self.age(seen.upstream)
        # Rates are smoothed over the same time as latencies.
        total, step = sum(seen.share for seen in sure) or 1.0, 1.0 - exp(-PERIOD / self.span)
        for seen in sure:  # who is in doubt keeps the rate it carried before
            seen.share /= total
            if seen.given is not None:
                seen.given += (seen.share * rate - seen.given) * step
        self.drawn = [seen for seen in sure if seen.share > 0.0 and not seen.cold]
        self.bounds = list(accumulate(seen.share for seen in self.drawn))

    def measure(self, now: int) -> float:
        """Mean latency in seconds over the mix of request classes as it comes; 0 while nothing is known."""
        took = answers = 0.0
        for request_class in self.choice.request_classes:
            known, answered = request_class.known, request_class.known.answers.read(now)
            known.usual = (
                max(known.took.read(now) / answered, 1e3) if answered > 0.5 else known.usual
            )
            answers, took = answers + answered, took + known.took.value
        mean = took / answers / SECOND if answers > 0.5 else 0.0
        # Against fifty answers, and after three seconds: the quickest come first, and a restarted
        # balancer must not think them usual. Forgotten slower than a trouble lasts.
        if now >= self.arrived.begun + 3 * SECOND:
            self.ease = min(self.ease * 1.01, (took / SECOND + 50.0 * self.ease) / (answers + 50.0))
        self.crowded = mean > 2.0 * self.ease
        return mean

    def costs(self, sure: list[Seen], mean: float) -> list[float]:
        """Mean service time of each, from the point on its curve that its latency and rate show."""
        now, known = self.host.now, {}
        for seen in sure:
            if seen.given is not None:
                far = self.crossing if seen.upstream.zone != self.zone else 0.0
                known[seen] = 1.0 / (mean * seen.ratio(now) + far) + seen.given
        middle = sum(known.values()) / len(known) if known else 1.0 / mean
        costs = []
        for seen in sure:
            seen.given = max(0.0, middle - 1.0 / mean) if seen.given is None else seen.given
            # What was measured counts against three answers at the mean: who is little heard of is
            # near it.
            heard = seen.answers.read(now)
            costs.append((heard + 3.0) / (heard * known.get(seen, middle) + 3.0 * middle))
        return costs

    def make_room(self, seen: Seen) -> None:
        # Guards against crowding, where upstreams lose speed or turn requests away: its part of
        # what all may have out, or, by Little's law, what is answered in a fifth more than the
        # latency at ease.
        if not self.reports or seen.mute > self.MUTE:
            seen.wide = self.MOST
        seen.part = seen.wide / self.sharing
        if seen.wide == self.MOST:
            seen.part = max(seen.part, seen.answers.rate(self.host.now) * 1.2 * self.ease)
        seen.room = max(1.0, seen.part) - 0.5  # rounded to whole requests

    def open_to(self, seen: Seen, request: Request) -> bool:
        """Whether the rules and plain sense let this upstream have the request."""
        upstream, now = seen.upstream, self.host.now
        if seen.held >= seen.wide and now < seen.probed + self.FRESH:
            return False  # a probe has just said that it holds what all may have out
        if (
            seen.out >= seen.room
            or now < seen.shut_until
            or upstream.state != UpstreamState.READY
            or upstream.spare < 1
            or any(sent.upstream is upstream for sent in request.attempts)
            or request.attempts
            and not self.choice.again.fits(request, upstream)
        ):
            return False
        if (age := self.age(upstream)) >= 1.0:
            return True
        # Guards against a cold one that all balancers push over together, each by rounding up: it
        # is due its part by age of what a warm one answers; more, by what it bears, only where
        # requests wait for room.
        part = age * self.usual * (0.8 * self.bears if self.choice.entry.waiting() else 1.0)
        return seen.turn.due(now, self.fall, part, self.random)

    def find(self, request: Request) -> Seen | None:
        """The upstream for a request; None where nothing may be sent to."""
        # Guards against many that each round up to one: all parts bound what is out, at ease if not
        # overdue.
        out, parts, sound = 0, 0.0, self.DOUBT if self.crowded else 1.0
        for seen in self.pool:
            if seen.silence <= sound:
                out, parts = out + seen.out, parts + seen.part
        if request.request_class.known is next(iter(self.choice.entry.held)).known:
            out = min(
                out, request.request_class.known.out
            )  # what adds most for its work is not kept out by the rest
        if out >= max(1.0, parts) - 0.5 * self.crowded:
            return None
        # Trials rather go with requests that may be repeated: they may meet what answers nothing.
        if (
            self.owed >= (1.0 if request.request_class.kind != Effect.NON_IDEMPOTENT else 4.0)
            and not request.attempts
        ):
            self.owed = 0.0
            if idle := [
                seen
                for seen in self.pool
                if seen.out == 0
                and self.open_to(seen, request)
                and (seen.share == 0.0 or self.doubted(seen))
            ]:
                return self.pick(idle)
        # After cold ones that are due one, four draws by share: enough to pass by the few that
        # can't have it.
        points = (self.random() * self.bounds[-1] for _ in range(4 if self.drawn else 0))
        warm = (self.drawn[bisect_right(self.bounds, at, 0, len(self.drawn) - 1)] for at in points)
        fit = (
            seen
            for seen in chain(self.cold, warm)
            if not self.doubted(seen) and self.open_to(seen, request)
        )
        found = next(fit, None)
        if found is not None and found.out > 2.0 * self.total / len(self.pool):
            found = next(fit, found)  # over twice the mean is out there: drawn once more
        return found or min(
            (seen for seen in self.sure() if self.open_to(seen, request)),
            key=lambda seen: seen.out,
            default=None,
        )

    def take(self, request: Request) -> str:
        if (seen := self.find(request)) is None:
            return PASS  # nothing may be sent to: whoever called knows what is left to do
        attempt = self.host.start_attempt(request, seen.upstream)
        seen.watch(self.host.now)
        attempt.pull = (
            1.0 / request.request_class.known.usual
        )  # the answers due of it in a nanosecond
        seen.pull += attempt.pull
        seen.out, self.total, self.owed = seen.out + 1, self.total + 1, self.owed + self.TRIALS
        seen.turn.open = False
        request.request_class.known.out += 1
        self.choice.again.sent(attempt)
        return KEEP

    def back(self, attempt: Attempt, first: bool) -> None:
        seen, request_class, outcome = (
            attempt.upstream.seen,
            attempt.request.request_class,
            attempt.outcome,
        )
        seen.watch(now := self.host.now)
        seen.out, self.total, request_class.known.out = (
            seen.out - 1,
            self.total - 1,
            request_class.known.out - 1,
        )
        seen.pull = seen.pull - attempt.pull if seen.out else 0.0
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.OVERLOADED):
            seen.silence, seen.heard = 0.0, now
        elif outcome == Outcome.CONNECT_FAILED:
            # Guards against one that is down before the list says so. A reset alone is no reason:
            # of one that died the next connection tells, which harms no request, and one that lives
            # would get trials only.
            seen.silence = max(seen.silence, 5.0)
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return  # its time is counted, an answer never came
        if outcome == Outcome.SUCCEEDED:
            request_class.known.took.add(now, attempt.took)
            request_class.known.answers.add(now)
            seen.shut_until = 0
        else:
            # Guards against quick failures that look fast: they count as time-outs, with the whole
            # timeout.
            seen.missing += max(0, request_class.timeout - attempt.took) * attempt.pull
            if outcome != Outcome.TIMED_OUT:
                # Guards against request after request for an upstream that is full, down or fails
                # quickly, and so seems to have room: it gets none for as long as its latency now
                # says.
                seen.shut_until = now + int(request_class.known.usual * seen.ratio(now))
        seen.answers.add(now)
        seen.mute += 1
        self.make_room(seen)


class Choice:
    """One balancer's decisions."""

    def __init__(
        self, host: Host, settings: dict[str, Any], request_classes: list[RequestClass], seed: int
    ) -> None:
        self.host, self.request_classes, self.next_wake = host, request_classes, 0
        for request_class in request_classes:
            request_class.known = Known(request_class, host.now)
        self.entry, self.again = Entry(self, settings), Again(self, settings)
        self.split = Split(self, settings, seed)
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
                self.split.random(),
            )
            self.ask_at = (
                self.host.now + int(within * (0.5 + chance / 2 if self.tries else chance)) + 1
            )
            self.host.set_timer(self.ask_at, ASK)

    def list_lost(self) -> None:
        """A call for the list was in vain, or it is followed no longer; what was listed stays till told."""
        self.following = False
        self.ask_later()

    def change(self, settings: dict[str, Any], request_classes: list[RequestClass]) -> None:
        """Go on by other settings; what is known of upstreams, and of request classes that stay, is kept."""
        self.request_classes = request_classes
        for request_class in request_classes:
            request_class.known = request_class.known or Known(request_class, self.host.now)
        for stage in (self.entry, self.again, self.split):
            stage.configure(settings)
        self.configure(settings)
        self.split.solve()
        self.entry.rank()

    def listed(self, upstreams: list[Upstream]) -> None:
        self.following, self.tries = self.following or self.tries > 0, 0
        self.split.listed(upstreams)
        self.entry.release()

    def arrive(self, request: Request) -> None:
        self.split.came()
        self.again.requests.add(self.host.now)
        request.request_class.known.asked.add(self.host.now)
        if self.run(request, 0) == PASS:
            self.entry.hold(request)

    def run(self, request: Request, first: int) -> str:
        """Pass a request along the stages; it comes out again if none could place it."""
        for stage in (self.entry, self.again, self.split)[first:]:
            if (verdict := stage.take(request)) != PASS:
                return verdict
        return PASS

    def came_back(self, attempt: Attempt, load: dict[str, float] | None, first: bool) -> None:
        """An attempt has its outcome; `first` if it ended the request. Late ones still count as measured."""
        self.reported(attempt.upstream, load)
        for stage in (self.split, self.again, self.entry):
            stage.back(attempt, first)

    def reported(self, upstream: Upstream, load: dict[str, float] | None) -> None:
        """What an upstream says of its load, with an answer or when probed."""
        if load and upstream.seen:
            self.split.reported(upstream.seen, load)

    def finish(self, request: Request) -> str:
        """The final answer to a request that was not fulfilled: rejected if that is true to say."""
        if self.again.harmless(request) and self.host.now < request.ends:
            # A quarter of the latency objective: a jam has moved on, and the next try can still be
            # in time.
            self.host.reject(
                request, request.request_class.latency_objective // 4 if self.retry_after else 0
            )
        else:
            self.host.fail(request)
        return END

    def left(self, request: Request) -> None:
        self.again.call_off(request.attempts)

    def told(self, balancer: int, contents: bytes) -> None:
        self.split.peers.hear(balancer, contents, self.split.balancers, self.host.now)

    def wake(self, at: int) -> None:
        """See that `bell` rings by then."""
        if not self.next_wake or at < self.next_wake:
            self.next_wake = at
            self.host.set_timer(at, TICK)

    def on_timer(self, token: int) -> None:
        now = self.host.now
        if token == SOLVE:
            self.host.set_timer(now + PERIOD, SOLVE)
            self.split.solve()
            self.split.tell()
            self.entry.rank()
        elif token == ASK and self.asks and not self.following and now >= self.ask_at:
            self.host.follow_list(True)
            self.tries += 1
            self.ask_later()  # unless the list comes
        elif token == TICK and now >= self.next_wake:
            self.next_wake = 0
        self.again.check()
        self.entry.release()
        self.entry.expire()
        if self.again.due:
            self.wake(self.again.due[0][0])
        if self.entry.waiting():
            self.wake(now + SECOND // 100)
