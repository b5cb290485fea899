"""What one balancer has observed of a request class and of an upstream. Measures; decides nothing."""

from __future__ import annotations

from whinpier.policy.decaying_sum import SECOND, DecayingSum, Pacer
from whinpier.policy.model import RequestClass, Upstream


class RequestClassStatistics:
    """What this balancer has observed of one request class."""

    def __init__(self, request_class: RequestClass, now: int) -> None:
        # 10 s: tells the work of one from the other's, whatever single upstreams do.
        self.durations, self.answers, self.requests, self.on_time = (
            DecayingSum(10 * SECOND, now) for _ in range(4)
        )
        self.in_flight, self.mean_latency = (
            0,
            request_class.latency_objective / 4,
        )  # mean latency over the fleet; a start until known


class UpstreamStatistics:
    """What this balancer has observed of one upstream."""

    def __init__(self, upstream: Upstream, now: int, span: int, wait: int) -> None:
        self.upstream = upstream
        self.due, self.answers = DecayingSum(span, now), DecayingSum(span, now)
        self.warm_up_pacer = upstream.warm_up_pacer or Pacer(now + wait)
        (
            self.in_flight,
            self.expected_rate,
            self.overdue_answers,
            self.unaccounted_answers,
            self.at,
            self.last_answer_at,
        ) = (
            0,
            0.0,
            0.0,
            0.0,
            now,
            now,
        )
        self.share, self.capacity_share, self.capacity, self.backoff_until = 0.0, 1.0, 1.0, 0
        # Of its load reports. Room for two at first crowds not even a single core (2, 2.5 and 3
        # were alike).
        (
            self.total_capacity,
            self.reported_at,
            self.reported_in_flight,
            self.probed_at,
            self.answers_without_report,
        ) = 2.0, now, 0.0, 0, 0
        self.warming_up = False  # not warm yet, at the last solve
        self.rate: float | None = None  # its rate, smoothed as its latency is

    def watch(self, now: int) -> None:
        """Count how many answers were due since last looked at, had its attempts taken the usual time."""
        if self.expected_rate:
            missing = self.expected_rate * (now - self.at)
            self.overdue_answers += missing
            self.unaccounted_answers += missing
        self.at = now

    def ratio(self, now: int) -> float:
        """Its latency over the fleet's: answers due, with what is still out by its age, over those come."""
        self.watch(now)
        self.due.add(now, self.unaccounted_answers)
        self.unaccounted_answers = 0.0
        return (self.due.value + 1.0) / (self.answers.read(now) + 1.0)
