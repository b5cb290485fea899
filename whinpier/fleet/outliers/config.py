"""Settings of outlier ejection. Times are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from whinpier.policy.decaying_sum import SECOND


@dataclass(frozen=True)
class EjectionConfig:
    """Settings of outlier ejection, as the operator's file gives them."""

    max_ejected_fraction: float = 0.2  # of a pool, and of each of its zones
    min_observers: int = 3
    min_latency_ratio: float = 3.0  # mean of all observers, in multiples of the usual latency
    lease_ns: int = 6 * SECOND  # after which an ejection ends unless it is renewed
    base_ejection_ns: int = 10 * SECOND  # doubled each time the upstream is ejected again
    max_ejection_ns: int = 300 * SECOND
    return_spread_ns: int = 5 * SECOND  # within which each member takes it back at a random time
