"""What one balancer has observed of a request class and of an upstream. Measures; decides nothing."""

from __future__ import annotations

from whinpier.policy.decaying_sum import SECOND, Sum, Turn
from whinpier.policy.model import RequestClass, Upstream


class Known:
    """What this balancer has observed of one request class."""

    def __init__(self, request_class: RequestClass, now: int) -> None:
        # 10 s: tells the work of one from the other's, whatever single upstreams do.
        self.took, self.answers, self.asked, self.kept = (Sum(10 * SECOND, now) for _ in range(4))
        self.out, self.usual = (
            0,
            request_class.latency_objective / 4,
        )  # mean latency over the fleet; a start until known


class Seen:
    """What this balancer has observed of one upstream."""

    def __init__(self, upstream: Upstream, now: int, span: int, wait: int) -> None:
        self.upstream = upstream
        self.due, self.answers = Sum(span, now), Sum(span, now)
        self.turn = upstream.turn or Turn(now + wait)
        self.out, self.pull, self.silence, self.missing, self.at, self.heard = (
            0,
            0.0,
            0.0,
            0.0,
            now,
            now,
        )
        self.share, self.part, self.room, self.shut_until = 0.0, 1.0, 1.0, 0
        # Of its load reports. Room for two at first crowds not even a single core (2, 2.5 and 3
        # were alike).
        self.wide, self.told, self.held, self.probed, self.mute = 2.0, now, 0.0, 0, 0
        self.cold = False  # not warm yet, at the last solve
        self.given: float | None = None  # its rate, smoothed as its latency is

    def watch(self, now: int) -> None:
        """Count how many answers were due since last looked at, had its attempts taken the usual time."""
        if self.pull:
            missing = self.pull * (now - self.at)
            self.silence += missing
            self.missing += missing
        self.at = now

    def ratio(self, now: int) -> float:
        """Its latency over the fleet's: answers due, with what is still out by its age, over those come."""
        self.watch(now)
        self.due.add(now, self.missing)
        self.missing = 0.0
        return (self.due.value + 1.0) / (self.answers.read(now) + 1.0)
