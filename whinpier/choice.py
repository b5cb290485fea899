"""Every decision of the balancer: which upstream gets a task, when it is sent again, when it is given up.

A host makes one `Choice` per balancer and calls it as things happen: `listed` with the upstreams it holds,
`arrive` for a task, `came_back` for a hand-off, `left` when a client goes, `bell` when an alarm falls due.
`Choice` answers by calling its `Host`; both sides are defined in whinpier/model.py, why it decides as it
does in docs/design.md. A task passes ENTRY -> AGAIN -> SPLIT, where each stage may pass it on, keep it or
end it; what comes back runs through SPLIT -> AGAIN -> ENTRY. Times are nanoseconds.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque
from math import exp
from random import Random
from typing import Any

from whinpier.model import (DRAINING, ERROR, EXCLUSIVE, FULFILLED, FULL, MOOT, NEVER_RAN, NO_CONNECTION, READY,
                            RERUNNABLE, RESET, WITHDRAWN, HandOff, Host, Task, Upstream, Workload)

PASS, KEEP, END = "pass on", "keep", "end"
SECOND = 1_000_000_000
PERIOD = SECOND  # between solves; the design page's
SOLVE, TICK = 1, 2  # alarm tokens


class Sum:
    """A sum whose parts fade with age; brought up to date when read."""

    __slots__ = ("span", "value", "at", "begun")

    def __init__(self, span: int, now: int) -> None:
        self.span, self.value, self.at, self.begun = span, 0.0, now, now

    def read(self, now: int) -> float:
        if now > self.at:
            self.value *= exp((self.at - now) / self.span)
            self.at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        self.value = self.read(now) + amount

    def rate(self, now: int) -> float:
        """Parts a second, made up for the time before the first one could come."""
        seen = max(now - self.begun, SECOND // 10)
        return self.read(now) * SECOND / (self.span * (1.0 - exp(-seen / self.span)))


class Seen:
    """What this balancer has observed of one upstream."""

    __slots__ = ("upstream", "out", "pull", "silence", "missing", "at", "due", "answers", "sends", "share",
                 "given", "reported", "room", "full_until", "salt", "heard")

    def __init__(self, upstream: Upstream, now: int, span: int) -> None:
        self.upstream, self.at = upstream, now
        self.due, self.answers, self.sends = Sum(span, now), Sum(span, now), Sum(SECOND, now)
        self.out, self.pull, self.silence, self.missing, self.share, self.room = 0, 0.0, 0.0, 0.0, 0.0, 1.0
        self.given: float | None = None  # its rate, smoothed as its latency is
        self.reported: float | None = None
        self.full_until = self.heard = 0
        self.salt = upstream.id * 0x9E3779B97F4A7C15

    def watch(self, now: int) -> None:
        """Count how many answers were due since last seen, had its hand-offs taken the usual time."""
        missing = self.pull * (now - self.at)
        self.silence += missing
        self.missing += missing
        self.at = now

    def ratio(self, now: int) -> float:
        """Its latency over what the fleet takes for the same workloads: answers due over answers come.

        What is still out counts by its age, so that latencies are not late.
        """
        self.watch(now)
        self.due.add(now, self.missing)
        self.missing = 0.0
        return (self.due.value + 1.0) / (self.answers.read(now) + 1.0)

    def doubted(self, now: int, but: HandOff | None = None) -> bool:
        # Guards against an upstream that takes tasks and answers none: the age of what is out bounds its
        # latency from below. Four answers overdue happen by chance once in e^4, about one in fifty.
        self.watch(now)
        if but is None:
            return self.silence > 4.0
        # A heavy task alone must not pass for a silent upstream: without it, one more must be overdue.
        return self.silence > 4.0 and self.silence - (now - max(but.sent, self.heard)) * but.seen > 1.0


class Known:
    """What this balancer has observed of one workload."""

    __slots__ = ("took", "answers", "asked", "kept")

    def __init__(self, now: int) -> None:
        # 10 s: tells the work of one from the other's, whatever single upstreams do.
        self.took, self.answers = Sum(10 * SECOND, now), Sum(10 * SECOND, now)
        self.asked, self.kept = Sum(10 * SECOND, now), Sum(10 * SECOND, now)


def level(costs: list[float], rate: float) -> list[float]:
    """The min-max split: rates for servers of mean service time `costs` so that all in use share one level.

    Over the K fastest the level is r = K / (sum(1/cost) - rate); past saturation rates go as 1/cost.
    """
    order = sorted(range(len(costs)), key=costs.__getitem__)
    total = sum(1.0 / cost for cost in costs)
    if rate >= total:
        return [rate / total / cost for cost in costs]
    found, capacity = [0.0] * len(costs), 0.0
    for used, index in enumerate(order, 1):
        capacity += 1.0 / costs[index]
        following = costs[order[used]] if used < len(order) else float("inf")
        if capacity > rate and used <= following * (capacity - rate):
            slack = (capacity - rate) / used  # 1/r
            for fast in order[:used]:
                found[fast] = max(0.0, 1.0 / costs[fast] - slack)
            break
    return found


class Entry:
    """First stage: takes a task in; what no upstream has room for is held a moment, then turned back."""

    # Held at most this part of the agreed time: the rest is for the upstream. Long enough to ride out a short stop.
    HOLD = 0.25

    def __init__(self, choice: Choice, settings: dict[str, Any]) -> None:
        self.choice, self.host = choice, choice.host
        self.held: dict[Workload, deque[Task]] = {workload: deque() for workload in choice.workloads}
        self.answered = Sum(2 * SECOND, self.host.now)  # 2 s: follows a fleet that turns slow, not single tasks
        self.advise = bool(settings.get("limits.retry_after", False))
        self.whole = float(settings.get("goal.whole", 1.0))
        self.worst = float(settings.get("goal.worst_class", 0.0))

    def rank(self) -> None:
        """Order the workloads by what their tasks add for the work they cost, the worst served lifted."""
        now, split = self.host.now, self.choice.split
        asked = {workload: workload.seen.asked.read(now) + 1.0 for workload in self.held}
        least = min(self.held, key=lambda workload: workload.seen.kept.read(now) / asked[workload])
        payoff = sum(workload.payoff * count for workload, count in asked.items())

        def worth(workload: Workload) -> float:
            gain = self.whole * workload.payoff / payoff + (self.worst / asked[workload] if workload is least else 0)
            return gain / split.usual(workload)

        self.held = {workload: self.held[workload] for workload in sorted(self.held, key=worth, reverse=True)}

    def waiting(self, workload: Workload | None = None) -> int:
        """How many are held, or of those how many would go before a new task of a workload."""
        count = 0
        for other, tasks in self.held.items():
            count += len(tasks)
            if other is workload:
                break
        return count

    def take(self, task: Task) -> str:
        return self.hold(task) if self.waiting(task.workload) else PASS

    def until(self, task: Task) -> int:
        """How long a task may be held; 20 ms before its end at the latest, so that its answer is timely."""
        return min(task.came + int(self.HOLD * task.workload.agreed_time), task.ends - SECOND // 50)

    def hold(self, task: Task) -> str:
        """Keep a task until there is room, unless too many wait for it to be reached in time."""
        now, before = self.host.now, self.waiting(task.workload)
        wait = self.until(task) - now
        if wait <= 0 or before > 3 + self.answered.rate(now) * wait / SECOND:
            return self.choice.finish(task)
        self.held[task.workload].append(task)
        self.choice.wake(now + SECOND // 100)
        return KEEP

    def release(self) -> None:
        """Send on what is held while there is room: the most worth first, of that the oldest."""
        for tasks in self.held.values():
            while tasks:
                if not tasks[0].ended and self.choice.split.find(tasks[0]) is None:
                    break
                task = tasks.popleft()
                if not task.ended:
                    self.choice.run(task, 1)

    def expire(self) -> None:
        """Turn back what has been held long enough."""
        now = self.host.now
        for workload, tasks in self.held.items():
            over = [task for task in tasks if not task.ended and self.until(task) <= now]
            self.held[workload] = deque(task for task in tasks if not task.ended and self.until(task) > now)
            for task in over:
                self.choice.finish(task)

    def back(self, hand_off: HandOff, first: bool) -> str:
        if hand_off.outcome == FULFILLED:
            self.answered.add(self.host.now)
            task = hand_off.task
            if first and self.host.now <= task.came + task.workload.agreed_time:
                task.workload.seen.kept.add(self.host.now)
        if self.waiting():
            self.release()
        return PASS


class Again:
    """Second stage: keeps to what each workload allows when a task is sent more than once."""

    LATE = 2.0  # an answer is late after this many mean latencies: by then an upstream in doubt shows
    COPIES = 0.1  # second copies and repeats, per task: enough for one bad upstream in ten

    def __init__(self, choice: Choice, settings: dict[str, Any]) -> None:
        self.choice, self.host = choice, choice.host
        self.most = int(settings.get("limits.max_hand_offs", 1))
        self.second_copies = bool(settings.get("limits.second_copies", False))
        self.cancelling = bool(settings.get("limits.cancelling", False))
        self.tasks, self.copies = Sum(5 * SECOND, self.host.now), Sum(5 * SECOND, self.host.now)
        self.due: list[tuple[int, int, HandOff]] = []
        self.count = 0

    def take(self, task: Task) -> str:
        if not task.hand_offs:
            self.tasks.add(self.host.now)
        elif not self.allowed(task):
            return self.choice.finish(task)
        return PASS

    def allowed(self, task: Task) -> bool:
        """Whether the rules let the task be sent once more, to whichever upstream `fits`."""
        if len(task.hand_offs) >= self.most or self.host.now >= task.ends:
            return False
        ran = self.may_have_run(task)
        if ran is None or task.workload.kind == RERUNNABLE:
            return True
        # A second effect: an exclusive task is never repeated, a ticketed one only while it is remembered.
        return task.workload.kind != EXCLUSIVE and self.host.now < ran.sent + task.workload.window

    @staticmethod
    def may_have_run(task: Task) -> HandOff | None:
        """The first hand-off that is not known not to have run."""
        return next((hand_off for hand_off in task.hand_offs if hand_off.outcome not in NEVER_RAN), None)

    def fits(self, task: Task, upstream: Upstream) -> bool:
        """Whether the upstream drops repeats of what may have run before."""
        if task.workload.kind == RERUNNABLE or not task.hand_offs:
            return True
        ran = self.may_have_run(task)
        if ran is None or task.workload.group == "all":
            return True
        if task.workload.group == "zone":
            return upstream.zone == ran.upstream.zone
        return upstream.cell == ran.upstream.cell

    def harmless(self, task: Task) -> bool:
        """Whether the client may be told that trying again does no harm."""
        if task.workload.kind == RERUNNABLE or self.may_have_run(task) is None:
            return True
        return task.workload.kind != EXCLUSIVE and task.workload.group == "all"

    def afford(self) -> bool:
        """Whether repeats are still rare enough not to feed a jam."""
        now = self.host.now
        return self.copies.read(now) < self.COPIES * self.tasks.read(now) + 1.0

    def sent(self, hand_off: HandOff) -> None:
        """Look again at a repeatable task when its answer is late."""
        task = hand_off.task
        due = self.host.now + int(self.LATE * self.choice.split.usual(task.workload))
        if task.workload.kind != EXCLUSIVE and self.second_copies and due < task.ends:
            self.count += 1
            heapq.heappush(self.due, (due, self.count, hand_off))
            self.choice.wake(due)

    def check(self) -> None:
        """Send second copies of what sits at an upstream in doubt.

        A task that is merely late elsewhere is most often a heavy one: a copy of it would double the dearest work.
        """
        while self.due and self.due[0][0] <= self.host.now:
            hand_off = heapq.heappop(self.due)[2]
            task = hand_off.task
            if task.ended or task.opened or hand_off.outcome or hand_off is not task.hand_offs[-1]:
                continue
            if not hand_off.upstream.seen.doubted(self.host.now, hand_off):
                self.sent(hand_off)
            elif self.allowed(task) and self.afford() and not self.choice.entry.waiting():
                self.copies.add(self.host.now)
                self.choice.split.take(task)

    def back(self, hand_off: HandOff, first: bool) -> str:
        task = hand_off.task
        others = [other for other in task.hand_offs if not other.outcome]
        if task.ended:
            if first and self.cancelling:
                for other in others:
                    self.host.withdraw(other)
            return PASS
        if task.opened or (others and self.host.now < task.ends):
            return PASS
        if hand_off.outcome not in NEVER_RAN:
            if not self.afford():
                self.choice.finish(task)
                return PASS
            self.copies.add(self.host.now)
        self.choice.run(task, 1)
        return PASS


class Split:
    """Last stage: draws an upstream by the shares of the min-max solve and hands the task over."""

    ROOM = 0.3  # of the agreed time, for the mean latency: the rest is for its spread and for waiting here
    TRIALS = 0.01  # of sends, to idle upstreams; the design page's

    def __init__(self, choice: Choice, settings: dict[str, Any], workloads: list[Workload], seed: int) -> None:
        self.choice, self.host = choice, choice.host
        chance = Random(seed)
        self.random, self.pick = chance.random, chance.choice
        now = self.host.now
        self.balancers = max(1, int(settings.get("balancers", 1)))
        self.cold_from = float(settings.get("rules.cold_from", 1.0))
        self.cold = int(settings.get("rules.cold", 0))
        self.pool: list[Seen] = []  # what may be sent to
        self.drawn: list[Seen] = []  # those with a share
        self.bounds: list[float] = []  # running sums of their shares
        self.arrived = Sum(3 * SECOND, now)  # as the latencies it is set against
        self.agreed = min(workload.agreed_time for workload in workloads)
        self.span = 3 * SECOND
        self.total, self.owed, self.usual_sends = 0, 0.0, 0.0

    def age(self, upstream: Upstream) -> float:
        """What part of its full weight a fresh upstream has by its age."""
        old = self.host.now - upstream.started
        if not upstream.started or old >= self.cold or not self.cold:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * max(0, old) / self.cold

    def usual(self, workload: Workload) -> float:
        """Mean latency of a workload over the whole fleet, once it is known."""
        answered = workload.seen.answers.read(self.host.now)
        return workload.seen.took.read(self.host.now) / answered if answered > 0.5 else workload.agreed_time / 4

    def listed(self, upstreams: list[Upstream]) -> None:
        """Follow the list: what drains or is missing gets nothing new from this moment on."""
        now, self.pool = self.host.now, []
        for upstream in upstreams:
            if upstream.seen is None:
                upstream.seen = Seen(upstream, now, self.span)
                self.make_room(upstream.seen)
            if upstream.state == READY:
                self.pool.append(upstream.seen)
            else:
                upstream.seen.share = 0.0
        self.solve()

    def sure(self) -> list[Seen]:
        """Those that answer. Where most seem silent at once it is no fault of theirs: then all of them."""
        now = self.host.now
        sure = [seen for seen in self.pool if not seen.doubted(now)]
        return sure if 2 * len(sure) > len(self.pool) else self.pool

    def solve(self) -> None:
        """Find the shares for the next period."""
        now, pool = self.host.now, self.pool
        rate = self.arrived.rate(now) * self.balancers
        # Latencies fade over the time it takes to hear some thirty answers of each: fewer say little where tasks
        # differ much. Bounds: three seconds, and half of what a trouble usually lasts.
        self.span = int(min(max(30.0 * len(pool) / max(self.arrived.rate(now), 1.0), 3.0), 10.0) * SECOND)
        step = 1.0 - exp(-PERIOD / self.span)  # rates are smoothed over the same time
        for seen in pool:
            seen.due.span = seen.answers.span = self.span
            self.make_room(seen)
        sure = self.sure()
        mean = self.mean_latency(now)
        warm = [seen for seen in pool if self.age(seen.upstream) >= 1.0] or pool
        # What an upstream here usually gets: the measure for a cold one.
        self.usual_sends = self.arrived.rate(now) / max(1, len(warm))
        if not mean or rate < 1.0:
            shares = [1.0] * len(sure)  # nothing measured yet: evenly
        else:
            shares = level(self.costs(sure, mean), rate)
        for seen in pool:
            seen.share = 0.0
        for seen, share in zip(sure, shares):
            seen.share = share * self.age(seen.upstream)
        total = sum(seen.share for seen in pool) or 1.0
        self.drawn, self.bounds, bound = [], [], 0.0
        for seen in pool:
            seen.share /= total
            if seen.given is not None and seen in sure:  # who is in doubt keeps what it carried before
                seen.given += (seen.share * rate - seen.given) * step
            if seen.share > 0.0:
                bound += seen.share
                self.drawn.append(seen)
                self.bounds.append(bound)

    def costs(self, sure: list[Seen], mean: float) -> list[float]:
        """Mean service time of each, from the point on its curve that its latency and rate show."""
        now, known = self.host.now, []
        for seen in sure:
            given = seen.reported if seen.reported is not None else seen.given
            known.append(None if given is None else 1.0 / (mean * seen.ratio(now)) + given)
        measured = [capacity for capacity in known if capacity is not None]
        middle = sum(measured) / len(measured) if measured else 1.0 / mean
        costs = []
        for seen, capacity in zip(sure, known):
            if capacity is None:
                seen.given = max(0.0, middle - 1.0 / mean)
                capacity = middle
            # What was measured counts against three answers at the mean: who is new or was not heard of for
            # long starts from there.
            heard = seen.answers.read(now)
            costs.append((heard + 3.0) / (heard * capacity + 3.0 * middle))
        return costs

    def mean_latency(self, now: int) -> float:
        """Seconds, over the mix of workloads as it comes; 0 while nothing is known."""
        took = answers = agreed = payoff = 0.0
        for workload in self.choice.workloads:
            took += workload.seen.took.read(now)
            answered = workload.seen.answers.read(now)
            answers += answered
            payoff += workload.payoff * answered
            agreed += workload.payoff * answered * workload.agreed_time
        if payoff > 0.0:
            self.agreed = agreed / payoff  # what is worth most sets it
        return took / answers / SECOND if answers > 0.5 else 0.0

    def open_to(self, seen: Seen, task: Task) -> bool:
        """Whether the rules and plain sense let this upstream have the task."""
        upstream = seen.upstream
        if upstream.state != READY or any(sent.upstream is upstream for sent in task.hand_offs):
            return False
        # Guards against crowding, where upstreams lose speed or turn tasks away (`make_room`), and against
        # offering task after task to one that is full.
        if seen.out >= seen.room or self.host.now < seen.full_until:
            return False
        return self.choice.again.fits(task, upstream) and self.warm_enough(seen)

    def make_room(self, seen: Seen) -> None:
        """By Little's law, no more is out at an upstream than it answers within a part of the agreed time.

        Six, over all balancers, can always be out: an idle upstream has no rate to go by.
        """
        rate = seen.answers.rate(self.host.now)
        seen.room = max(1.0, 6.0 / self.balancers, rate * self.ROOM * self.agreed / SECOND)

    def warm_enough(self, seen: Seen) -> bool:
        # Guards against pushing over a cold upstream: of what others get it takes its part by age, and half
        # as much again at most; every balancer keeps to that by itself.
        part = self.age(seen.upstream)
        if part >= 1.0:
            return True
        return seen.sends.read(self.host.now) < 1.5 * part * max(self.usual_sends, 0.5)

    def find(self, task: Task) -> Seen | None:
        """Draw an upstream by share; None where nothing may be sent to."""
        now, most = self.host.now, 2.0 * self.total / max(1, len(self.pool))
        self.owed += self.TRIALS
        # Trials rather go with tasks that may be repeated: they may meet what answers nothing.
        if self.owed >= (1.0 if task.workload.kind != EXCLUSIVE else 4.0) and not task.hand_offs:
            idle = [seen for seen in self.pool if seen.out == 0 and self.open_to(seen, task)
                    and (seen.share == 0.0 or seen.doubted(now))]
            self.owed = 0.0
            if idle:
                return self.pick(idle)
        full = None
        for _ in range(4):
            if not self.drawn:
                break
            place = bisect_right(self.bounds, self.random() * self.bounds[-1])
            seen = self.drawn[min(place, len(self.drawn) - 1)]
            if seen.doubted(now) or not self.open_to(seen, task):
                continue
            if seen.out > most and full is None:
                full = seen
                continue
            return seen
        if full is not None:
            return full
        left = [seen for seen in self.pool if self.open_to(seen, task)]
        left = [seen for seen in left if not seen.doubted(now)] or left
        return min(left, key=lambda seen: seen.out) if left else None

    def take(self, task: Task) -> str:
        seen = self.find(task)
        if seen is None:
            return PASS  # nothing may be sent to: whoever called knows what is left to do
        now = self.host.now
        hand_off = self.host.hand_off(task, seen.upstream)
        seen.watch(now)
        hand_off.seen = 1.0 / (self.usual(task.workload))
        seen.pull += hand_off.seen
        seen.out += 1
        self.total += 1
        seen.sends.add(now)
        self.choice.again.sent(hand_off)
        return KEEP

    def back(self, hand_off: HandOff, first: bool) -> str:
        seen, now, outcome = hand_off.upstream.seen, self.host.now, hand_off.outcome
        seen.watch(now)
        seen.out -= 1
        self.total -= 1
        seen.pull = seen.pull - hand_off.seen if seen.out else 0.0
        if outcome in (FULFILLED, ERROR, FULL):
            seen.silence, seen.heard = 0.0, now  # it answers
            # Guards against offering task after task to an upstream that is full: it gets time to answer some.
            seen.full_until = now + int(self.usual(hand_off.task.workload)) if outcome == FULL else 0
        elif outcome in (NO_CONNECTION, RESET):
            # Guards against an upstream that is down before the list says so.
            seen.silence = max(seen.silence, 5.0)
        if outcome == MOOT:
            return PASS
        if outcome == WITHDRAWN:
            return PASS  # its time is counted, an answer never came
        if outcome == FULFILLED:
            hand_off.task.workload.seen.took.add(now, hand_off.took)
            hand_off.task.workload.seen.answers.add(now)
        else:
            # Guards against quick failures that look fast: they count as time-outs, with the whole patience.
            seen.missing += max(0, hand_off.task.workload.patience - hand_off.took) * hand_off.seen
        seen.answers.add(now)
        self.make_room(seen)
        return PASS


class Choice:
    """One balancer's decisions."""

    def __init__(self, host: Host, settings: dict[str, Any], workloads: list[Workload], seed: int) -> None:
        self.host, self.workloads = host, workloads
        for workload in workloads:
            workload.seen = Known(host.now)
        self.entry, self.again = Entry(self, settings), Again(self, settings)
        self.split = Split(self, settings, workloads, seed)
        self.stages = (self.entry, self.again, self.split)
        self.next_wake = 0
        self.subscribe = settings.get("discovery") == "subscribe"
        host.alarm(host.now + PERIOD, SOLVE)
        if self.subscribe:
            host.follow_list(True)

    def listed(self, upstreams: list[Upstream]) -> None:
        self.split.listed(upstreams)
        self.entry.release()

    def list_failed(self) -> None:
        if self.subscribe:  # asked again at the next solve, so that a failing service is not pressed
            self.subscribe = False

    def arrive(self, task: Task) -> None:
        self.split.arrived.add(self.host.now)
        task.workload.seen.asked.add(self.host.now)
        self.run(task, 0)

    def run(self, task: Task, first: int) -> str:
        """Pass a task along the stages."""
        for stage in self.stages[first:]:
            if (verdict := stage.take(task)) != PASS:
                return verdict
        return self.entry.hold(task)  # no stage could place it

    def came_back(self, hand_off: HandOff, load: dict[str, float] | None, first: bool) -> None:
        """A hand-off has its outcome; `first` if it ended the task. Late ones still count as measured."""
        if load and "fulfilled_rate" in load:
            hand_off.upstream.seen.reported = load["fulfilled_rate"]
        for stage in reversed(self.stages):
            if stage.back(hand_off, first) != PASS:
                return

    def finish(self, task: Task) -> str:
        """The final answer to a task that was not fulfilled: turned back if that is true to say."""
        if self.again.harmless(task) and self.host.now < task.ends:
            self.host.turn_back(task, task.workload.agreed_time // 4 if self.entry.advise else 0)
        else:
            self.host.scrap(task)
        return END

    def left(self, task: Task) -> None:
        """The client is gone: what is still out is not waited for."""
        if self.again.cancelling:
            for hand_off in task.hand_offs:
                if not hand_off.outcome and not task.opened:
                    self.host.withdraw(hand_off)

    def opened(self, hand_off: HandOff) -> None:
        """Its answer has begun to stream: the upstream answers, and other copies are not needed."""
        hand_off.upstream.seen.watch(self.host.now)
        hand_off.upstream.seen.silence, hand_off.upstream.seen.heard = 0.0, self.host.now
        for other in hand_off.task.hand_offs:
            if other is not hand_off and not other.outcome and self.again.cancelling:
                self.host.withdraw(other)

    def wake(self, at: int) -> None:
        """See that `bell` rings by then."""
        if not self.next_wake or at < self.next_wake:
            self.next_wake = at
            self.host.alarm(at, TICK)

    def bell(self, token: int) -> None:
        now = self.host.now
        if token == SOLVE:
            self.host.alarm(now + PERIOD, SOLVE)
            self.split.solve()
            self.entry.rank()
        elif now >= self.next_wake:
            self.next_wake = 0
        self.again.check()
        self.entry.release()
        self.entry.expire()
        if not self.next_wake:
            if self.again.due:
                self.wake(self.again.due[0][0])
            if self.entry.waiting():
                self.wake(now + SECOND // 100)

    def probed(self, upstream: Upstream, outcome: str, took: int, load: dict[str, float] | None) -> None:
        """Nothing is probed: a probe may be answered beside the queue and then proves little."""

    def heard(self, balancer: int, contents: bytes) -> None:
        """Nothing is told among balancers."""
