"""Local detection of outliers: what this member observed of each upstream, and what it suspects.

Owns the endpoints of each pool with their zones, and for each the answers of late as multiples of the
usual latency. Sums fade, so that an upstream that recovered is not held to what it did before. An
attempt without an answer counts by its age. Free of I/O; handed the time; tells nobody else.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.model import Observation, UpstreamKey
from whinpier.policy.decaying_sum import SECOND, DecayingSum

# Over which answers count: with longer ones good answers of before outweigh bad ones.
OBSERVATION_SPAN = 4 * SECOND // 5
MAX_LATENCY_RATIO = 10.0  # times the usual: one answer says no more, however late
OVERDUE_RATIO = 4.0  # times the usual, after which what has no answer counts as one by its age
SUSPICION_DRIFT = 1.5  # times the usual, which each answer may take without raising suspicion
SUSPICION_THRESHOLD = 6.0  # one answer ten times late, or a few slow ones
MIN_RECENT_ANSWERS = 0.4  # fading: whoever received nothing for a second observed nothing
# Over all observers: by chance their mean is three times the usual once in a thousand.
MIN_TOTAL_ANSWERS = 5.0
MAX_OBSERVER_WEIGHT = 3.0  # answers that one member's observation counts for at most
OBSERVER_RATIO = 2.0  # times the usual: whoever measured that observed an outlier
# Of the upstreams that a member tried may look bad to it: with more the fault is its own.
MAX_BAD_FRACTION = 1 / 3
MIN_TRIED_UPSTREAMS = 3  # below which a member can't tell whose fault it is
MIN_TRIED_ANSWERS = 0.3
MIN_MEAN_ANSWERS = 0.2  # below which a mean of answers says nothing
MAX_UPSTREAMS = 4_096  # of one list that are remembered


@dataclass(slots=True)
class UpstreamStatistics:
    """What this member measured at one upstream."""

    answers: DecayingSum
    latency_ratios: DecayingSum
    suspicion: float = 0.0  # a cumulative sum of how far answers exceed the drift
    outstanding: dict[int, int] = field(default_factory=dict)  # attempts: started at


class ObservationSummary(NamedTuple):
    """What all members together observed, those in good standing only."""

    tried: int  # members that tried the upstream
    observers: int  # of these, who observed an outlier
    weight: float
    latency_ratio: float

    def reaches_quorum(self, config: EjectionConfig) -> bool:
        """Return whether enough observers saw enough to propose an ejection."""
        return (
            self.weight >= MIN_TOTAL_ANSWERS
            and self.latency_ratio >= config.min_latency_ratio
            and self.observers >= config.min_observers
            and 2 * self.observers >= self.tried
        )


def summarize(observations: Iterable[Observation]) -> ObservationSummary:
    """Weigh the observations of several members against each other."""
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
        self.zones: dict[UpstreamKey, int] = {}  # of each endpoint
        self.statistics: dict[UpstreamKey, UpstreamStatistics] = {}

    def update_endpoints(self, pool: int, endpoints: dict[int, int]) -> None:
        """Take over a pool's endpoints with their zones; forget what is no endpoint any more."""
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
        """Remember an attempt that has no answer yet."""
        statistics = self.statistics_of(upstream, now)
        if statistics is not None:
            statistics.outstanding[number] = now

    def on_attempt_finished(
        self, upstream: UpstreamKey, number: int, latency_ratio: float, now: int
    ) -> bool:
        """Count an outcome; return whether the upstream is suspected now.

        `latency_ratio` is negative where the attempt never reached the upstream.
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
        """Return the statistics of an endpoint, new ones where there are none; None: no endpoint."""
        statistics = self.statistics.get(upstream)
        if statistics is None and upstream in self.zones:
            statistics = UpstreamStatistics(
                DecayingSum(OBSERVATION_SPAN, now), DecayingSum(OBSERVATION_SPAN, now)
            )
            self.statistics[upstream] = statistics
        return statistics

    def measure(self, upstream: UpstreamKey, usual_ns: float, now: int) -> tuple[float, float]:
        """Return recent answers and their mean latency ratio, with what is overdue by its age."""
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
        """Return whether most upstreams that this member tried do not look bad to it."""
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
        """Return the upstreams of a pool that left an attempt without an answer for far too long."""
        return [
            upstream
            for upstream, statistics in self.statistics.items()
            if upstream.pool == pool
            and statistics.outstanding
            and (now - min(statistics.outstanding.values())) / usual_ns > MAX_LATENCY_RATIO
        ]

    def clear_suspicion(self, upstream: UpstreamKey) -> None:
        """Suspect an upstream anew only by what follows."""
        if statistics := self.statistics.get(upstream):
            statistics.suspicion = 0.0

    def forget_answers(self, upstream: UpstreamKey) -> None:
        """Drop suspicion and the answers of before an ejection."""
        if statistics := self.statistics.get(upstream):
            statistics.suspicion = 0.0
            statistics.answers.value = 0.0
            statistics.latency_ratios.value = 0.0
