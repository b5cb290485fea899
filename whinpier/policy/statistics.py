"""What one balancer has observed of a request class and of an upstream; no decisions."""

from __future__ import annotations

from whinpier.policy.decaying_sum import SECOND, DecayingSum, Pacer
from whinpier.policy.model import RequestClass, Upstream

# Long enough to tell request classes apart whatever single upstreams do.
REQUEST_CLASS_SPAN = 10 * SECOND
# Attempts in flight of all balancers, until load reports come: two do not overload even one core.
INITIAL_TOTAL_CAPACITY = 2.0


class RequestClassStatistics:
    """What this balancer has observed of one request class."""

    def __init__(self, request_class: RequestClass, now: int) -> None:
        """Start with a quarter of the latency objective as mean latency."""
        self.durations = DecayingSum(REQUEST_CLASS_SPAN, now)  # of successful attempts
        self.answers = DecayingSum(REQUEST_CLASS_SPAN, now)  # successful attempts
        self.requests = DecayingSum(REQUEST_CLASS_SPAN, now)
        self.on_time = DecayingSum(REQUEST_CLASS_SPAN, now)  # answered within the objective
        self.in_flight = 0  # attempts
        self.mean_latency = request_class.latency_objective / 4  # over all upstreams


class UpstreamStatistics:
    """What this balancer has observed of one upstream, and what it has decided on it.

    Latencies are compared across request classes by counting expected answers: an attempt in
    flight is expected to give one answer in each mean latency of its request class. An upstream
    that is k times slower than the mean has k expected answers for each real one.
    """

    def __init__(self, upstream: Upstream, now: int, span: int, wait: int) -> None:
        """Start at `now`; the upstream may get its first request while warming up after `wait`."""
        self.upstream = upstream
        self.expected_answers = DecayingSum(span, now)
        self.answers = DecayingSum(span, now)
        self.warm_up_pacer = upstream.warm_up_pacer or Pacer(now + wait)
        self.in_flight = 0  # attempts of this balancer
        self.expected_rate = 0.0  # expected answers per nanosecond, of all attempts in flight
        self.overdue_answers = 0.0  # expected answers since the last real one
        self.pending_expected = 0.0  # expected answers that are not in `expected_answers` yet
        self.updated_at = now
        self.last_answer_at = now
        self.share = 0.0  # of this balancer's requests
        self.capacity_share = 1.0  # this balancer's part of `total_capacity`
        self.capacity = 1.0  # attempts in flight at which it gets no more of this balancer
        self.backoff_until = 0  # it gets nothing before
        self.total_capacity = INITIAL_TOTAL_CAPACITY  # attempts in flight of all balancers
        self.reported_at = now  # its last load report
        self.reported_in_flight = 0.0
        self.probed_at = 0
        self.answers_without_report = 0
        self.warming_up = False  # at the last update of the shares
        self.rate: float | None = None  # requests per second of all, smoothed as latencies are

    def expect_answers(self, now: int) -> None:
        """Count the answers expected since the last call, had attempts taken the mean latency."""
        if self.expected_rate:
            expected = self.expected_rate * (now - self.updated_at)
            self.overdue_answers += expected
            self.pending_expected += expected
        self.updated_at = now

    def latency_ratio(self, now: int) -> float:
        """Return its latency over the mean of all upstreams, attempts in flight counted by age."""
        self.expect_answers(now)
        self.expected_answers.add(now, self.pending_expected)
        self.pending_expected = 0.0
        return (self.expected_answers.value + 1.0) / (self.answers.read(now) + 1.0)
