"""Configuration of outlier ejection. Reads no file; times are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from whinpier.policy.decaying_sum import SECOND


@dataclass(frozen=True)
class EjectionConfig:
    """What the operator's file says of outlier ejection."""

    max_ejected_fraction: float = 0.2  # of a pool, and of each of its zones
    min_observers: int = 3
    min_latency_ratio: float = 3.0  # times the usual latency, over all observers
    lease_ns: int = 6 * SECOND  # of an ejection that is not renewed
    base_ejection_ns: int = 10 * SECOND  # doubled each time the upstream is ejected again
    max_ejection_ns: int = 300 * SECOND
    return_spread_ns: int = 5 * SECOND  # over which members take the upstream back, by chance
