"""Local outlier detection: measures each upstream from this member's own attempts.

Owns the endpoints of each pool with their zones and, for each endpoint, the latency of its recent
answers as a multiple of the usual latency. The sums decay, so that earlier answers do not count
against an upstream that has recovered. An attempt that is long overdue counts as an answer as late as
its age. Does no I/O, sends no messages and is handed the time, in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.model import Observation, UpstreamKey
from whinpier.policy.decaying_sum import SECOND, DecayingSum

# Time constant of the decaying sums. With a longer one, earlier good answers outweigh bad ones.
OBSERVATION_SPAN_NS = 4 * SECOND // 5
# Ratios are multiples of the pool's usual latency; numbers of answers are decayed sums.
MAX_LATENCY_RATIO = 10.0  # upper bound of the ratio that one attempt contributes
OVERDUE_RATIO = 4.0  # an attempt that waits for longer counts as an answer as late as its age
SUSPICION_DRIFT = 1.5  # ratio up to which an answer does not raise suspicion
SUSPICION_THRESHOLD = 6.0  # reached by one answer ten times as late as usual, or by a few slow ones
MIN_RECENT_ANSWERS = 0.4  # less is left of one answer after a second: the member observed nothing
# Over all observers. With this many answers, a healthy upstream's mean reaches three times the usual
# latency with a probability of one in a thousand.
MIN_TOTAL_ANSWERS = 5.0
MAX_OBSERVER_WEIGHT = 3.0  # upper bound of the answers for which one member's observation counts
OBSERVER_RATIO = 2.0  # a member that measured at least this has observed an outlier
# A member to which a larger part of the upstreams that it tried looks bad is at fault itself.
MAX_BAD_FRACTION = 1 / 3
MIN_TRIED_UPSTREAMS = 3  # with fewer, a member can't tell its own fault from an upstream's
MIN_TRIED_ANSWERS = 0.3  # with fewer, an upstream does not count as tried
MIN_MEAN_ANSWERS = 0.2  # with fewer, the mean ratio is not computed
MAX_UPSTREAMS = 4_096  # endpoints that are remembered of one update


@dataclass(slots=True)
class UpstreamStatistics:
    """What this member measured at one upstream."""

    answers: DecayingSum
    latency_ratios: DecayingSum
    suspicion: float = 0.0  # CUSUM statistic: sum of ratio - SUSPICION_DRIFT, never below 0
    outstanding: dict[int, int] = field(default_factory=dict)  # start times by attempt number


class ObservationSummary(NamedTuple):
    """Combined observations of all members that are in good standing."""

    tried: int  # members that tried the upstream
    observers: int  # of these, members that observed an outlier
    weight: float  # answers that the mean is over, with MAX_OBSERVER_WEIGHT applied
    latency_ratio: float  # weighted mean

    def reaches_quorum(self, config: EjectionConfig) -> bool:
        """Return whether answers, latency and observers suffice to propose an ejection."""
        return (
            self.weight >= MIN_TOTAL_ANSWERS
            and self.latency_ratio >= config.min_latency_ratio
            and self.observers >= config.min_observers
            and 2 * self.observers >= self.tried
        )


def summarize(observations: Iterable[Observation]) -> ObservationSummary:
    """Combine the observations of several members, weighted by their answers."""
    tried = [
        (min(answers, MAX_OBSERVER_WEIGHT), ratio)
        for answers, ratio, in_good_standing in observations
        if in_good_standing and answers >= MIN_RECENT_ANSWERS
    ]
    weight = sum(answers for answers, _ in tried)
    observers = sum(ratio >= OBSERVER_RATIO for _, ratio in tried)
    mean = sum(answers * ratio for answers, ratio in tried) / weight if weight else 0.0
    return ObservationSummary(len(tried), observers, weight, mean)


class OutlierDetector:
    """One member's measurements of the upstreams of all pools."""

    def __init__(self) -> None:
        """Start with no endpoints."""
        self.zones: dict[UpstreamKey, int] = {}  # by endpoint; 0: in no zone
        self.statistics: dict[UpstreamKey, UpstreamStatistics] = {}

    def update_endpoints(self, pool: int, endpoints: dict[int, int]) -> None:
        """Replace a pool's endpoints, given with their zones; forget statistics of removed ones."""
        self.zones = {
            upstream: zone for upstream, zone in self.zones.items() if upstream.pool != pool
        }
        for key, zone in list(endpoints.items())[:MAX_UPSTREAMS]:
            self.zones[UpstreamKey(pool, key)] = zone
        self.statistics = {
            upstream: statistics
            for upstream, statistics in self.statistics.items()
            if upstream in self.zones
        }

    def on_attempt_started(self, upstream: UpstreamKey, number: int, now: int) -> None:
        """Record an attempt that has no answer yet."""
        statistics = self.statistics_of(upstream, now)
        if statistics is not None:
            statistics.outstanding[number] = now

    def on_attempt_finished(
        self, upstream: UpstreamKey, number: int, latency_ratio: float, now: int
    ) -> bool:
        """Count an outcome; return whether the upstream is suspected now.

        A negative `latency_ratio` means that the attempt says nothing about the upstream.
        """
        statistics = self.statistics_of(upstream, now)
        if statistics is None:
            return False
        statistics.outstanding.pop(number, None)
        if latency_ratio < 0.0:
            return False
        ratio = min(latency_ratio, MAX_LATENCY_RATIO)
        statistics.answers.add(now)
        statistics.latency_ratios.add(now, ratio)
        statistics.suspicion = max(0.0, statistics.suspicion + ratio - SUSPICION_DRIFT)
        return statistics.suspicion >= SUSPICION_THRESHOLD

    def statistics_of(self, upstream: UpstreamKey, now: int) -> UpstreamStatistics | None:
        """Return an endpoint's statistics, created if missing, or None if it is no endpoint."""
        statistics = self.statistics.get(upstream)
        if statistics is None and upstream in self.zones:
            statistics = UpstreamStatistics(
                DecayingSum(OBSERVATION_SPAN_NS, now), DecayingSum(OBSERVATION_SPAN_NS, now)
            )
            self.statistics[upstream] = statistics
        return statistics

    def measure(self, upstream: UpstreamKey, usual_ns: float, now: int) -> tuple[float, float]:
        """Return the number of recent answers, overdue attempts included, and their mean ratio."""
        statistics = self.statistics.get(upstream)
        if statistics is None:
            return 0.0, 0.0
        answers = statistics.answers.read(now)
        ratios = statistics.latency_ratios.read(now)
        for started_at in statistics.outstanding.values():
            age = (now - started_at) / usual_ns
            if age > OVERDUE_RATIO:
                answers += 1.0
                ratios += min(age, MAX_LATENCY_RATIO)
        return answers, ratios / answers if answers > MIN_MEAN_ANSWERS else 0.0

    def is_in_good_standing(self, pool: int, usual_ns: float, now: int) -> bool:
        """Return whether few of the upstreams that this member tried look bad to it."""
        tried = 0
        bad = 0
        for upstream in self.zones:
            if upstream.pool == pool:
                answers, ratio = self.measure(upstream, usual_ns, now)
                tried += answers >= MIN_TRIED_ANSWERS
                bad += answers >= MIN_TRIED_ANSWERS and ratio >= OBSERVER_RATIO
        return tried >= MIN_TRIED_UPSTREAMS and bad <= max(1.0, MAX_BAD_FRACTION * tried)

    def observe(self, upstream: UpstreamKey, usual_ns: float, now: int) -> Observation:
        """Return this member's own observation of an upstream."""
        answers, ratio = self.measure(upstream, usual_ns, now)
        return Observation(answers, ratio, self.is_in_good_standing(upstream.pool, usual_ns, now))

    def overdue(self, pool: int, usual_ns: float, now: int) -> list[UpstreamKey]:
        """Return the pool's upstreams whose oldest open attempt exceeds MAX_LATENCY_RATIO."""
        return [
            upstream
            for upstream, statistics in self.statistics.items()
            if upstream.pool == pool
            and statistics.outstanding
            and (now - min(statistics.outstanding.values())) / usual_ns > MAX_LATENCY_RATIO
        ]

    def clear_suspicion(self, upstream: UpstreamKey) -> None:
        """Reset the suspicion of an upstream; its answers are kept."""
        if statistics := self.statistics.get(upstream):
            statistics.suspicion = 0.0

    def forget_answers(self, upstream: UpstreamKey) -> None:
        """Reset the suspicion of an upstream and drop its answers."""
        if statistics := self.statistics.get(upstream):
            statistics.suspicion = 0.0
            statistics.answers.value = 0.0
            statistics.latency_ratios.value = 0.0
