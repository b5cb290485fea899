"""What a run comes to: by second, by stream, by upstream; latencies in histograms of a fixed size.

Nothing here grows with requests. What came before the run was warm does not count, and neither do
tries of a client after its first: a first try counts as on time if it was, whatever its retries
came to.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from whinpier.simulation.clock import SECOND

if TYPE_CHECKING:
    from whinpier.simulation.balancers import SimulatedRequest
    from whinpier.simulation.clock import Clock

LONGEST = 120_000_000  # microseconds
DIGITS = 3


class Measure:
    """Counts as things happen."""

    def __init__(self, clock: Clock, warm: float, seconds: float) -> None:
        self.start, self.warm = clock.start, int(warm * SECOND)
        self.span = int(seconds) + 1
        names = ("asked", "on_time", "fulfilled", "turned_back", "scrapped", "tries")
        self.by_second: dict[str, list[int]] = {name: [0] * self.span for name in names}
        self.priority_weight, self.requested_priority_weight = [0.0] * self.span, [0.0] * self.span
        self.streams: dict[str, Counter[str]] = {}
        self.latency: dict[str, Any] = {}
        self.digest = hashlib.blake2b(digest_size=16)
        self.total_time = 0.0
        self.ended = 0

    def second(self, at: int) -> int:
        return min(self.span - 1, (at - self.start) // SECOND)

    def counts(self, request: SimulatedRequest) -> bool:
        return request.due >= self.start + self.warm

    def asked(self, request: SimulatedRequest) -> None:
        at = self.second(request.due)
        name = request.stream.stream.name
        if name not in self.streams:
            self.streams[name] = Counter()
            self.latency[name] = HdrHistogram(1, LONGEST, DIGITS)
        if request.tries:
            self.by_second["tries"][at] += 1
            self.streams[name]["tries"] += self.counts(request)
            return
        self.by_second["asked"][at] += 1
        self.requested_priority_weight[at] += request.request_class.priority_weight
        self.streams[name]["asked"] += self.counts(request)

    def answered(self, request: SimulatedRequest, how: str, took: int) -> None:
        self.digest.update(b"%d %s %d;" % (request.id, how.encode(), took))
        if request.tries:
            self.streams[request.stream.stream.name]["tries_fulfilled"] += how == "fulfilled"
            return
        at, stream = self.second(request.due), self.streams[request.stream.stream.name]
        name = how.replace(" ", "_")
        self.by_second[name][at] += 1
        counts = self.counts(request)
        stream[name] += counts
        if how != "fulfilled":
            return
        on_time = took <= request.request_class.latency_objective
        self.by_second["on_time"][at] += on_time
        self.priority_weight[at] += (
            request.request_class.priority_weight
            if on_time
            else request.request_class.late_priority_weight
        )
        stream["on_time"] += on_time and counts
        if counts:
            self.latency[request.stream.stream.name].record_value(
                max(1, min(took // 1000, LONGEST))
            )
            self.total_time += took / SECOND
            self.ended += 1

    def result(self) -> dict[str, Any]:
        """All of it, as plain values."""
        first = self.warm // SECOND
        asked, on_time = (
            sum(self.by_second["asked"][first:]),
            sum(self.by_second["on_time"][first:]),
        )
        worth = sum(self.requested_priority_weight[first:])
        streams = {
            name: dict(counts) | self.percentiles(name) for name, counts in self.streams.items()
        }
        return {
            "on_time": on_time / asked if asked else 1.0,
            "payoff": sum(self.priority_weight[first:]) / worth if worth else 1.0,
            "asked": asked,
            "mean_s": self.total_time / self.ended if self.ended else 0.0,
            "streams": streams,
            "by_second": self.by_second,
            "payoff_by_second": [round(value, 3) for value in self.priority_weight],
            "asked_payoff_by_second": [round(value, 3) for value in self.requested_priority_weight],
            "digest": self.digest.hexdigest(),
        }

    def percentiles(self, name: str) -> dict[str, float]:
        histogram = self.latency[name]
        return {
            f"p{part}": histogram.get_value_at_percentile(value) / 1000
            for part, value in (("50", 50.0), ("90", 90.0), ("99", 99.0), ("999", 99.9))
        }
