"""How much work requests are: one set of distributions for scripted upstreams, clients and the
model.
"""

from __future__ import annotations

from math import exp
from random import Random
from typing import Literal

Spread = Literal["constant", "exponential", "uniform", "lognormal", "heavy"]
LARGEST = 100.0  # times the mean of a heavy one: the cut takes 6% of it


def draw(spread: Spread, mean: float, chance: Random) -> float:
    """Seconds of work of one request, of this mean; `uniform` goes from nought to twice the mean."""
    if spread == "constant" or not mean:
        return mean
    if spread == "uniform":
        return chance.uniform(0.0, 2.0 * mean)
    if spread == "lognormal":
        return chance.lognormvariate(0.0, 1.0) * mean / exp(0.5)
    if spread == "heavy":
        return min(chance.paretovariate(1.5) * mean / 3.0, LARGEST * mean)
    return chance.expovariate(1.0 / mean)
