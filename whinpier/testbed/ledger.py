"""Counts what the rules are about: how often each request ran, and how many final answers it got.

Must never forget a request, and never count by what the balancer says of itself.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Ledger:
    """What upstreams did, by the ids of requests."""

    ran: Counter[str] = field(
        default_factory=Counter
    )  # id: how often it came whole and was not turned away
    met: int = 0  # requests, also those turned away
    turned_away: int = 0
    last: dict[str, float] = field(
        default_factory=dict
    )  # upstream: when it was last sent something new
    by: Counter[str] = field(default_factory=Counter)  # upstream: how many ran there

    def twice(self, exclusive: str = "") -> list[str]:
        """Ids that ran more than once; only those that begin with `exclusive`."""
        return [
            name for name, count in self.ran.items() if count > 1 and name.startswith(exclusive)
        ]

    def add(self, other: Ledger) -> None:
        self.ran.update(other.ran)
        self.by.update(other.by)
        self.met += other.met
        self.turned_away += other.turned_away
        for name, at in other.last.items():
            self.last[name] = max(at, self.last.get(name, 0.0))


@dataclass(slots=True)
class Told:
    """One request as its client saw it. Times are seconds; latency counts from when it was due,
    not sent.
    """

    id: str
    kind: str
    due: float
    status: int = 0  # 0: no answer
    latency: float = 0.0
    answers: int = 0
    retry_after: float | None = None
    body: int = 0  # bytes
    tries: int = 0  # of its client before this one
    how: str = ""  # why there was no answer

    def on_time(self, agreed: float) -> bool:
        return self.status == 200 and self.latency <= agreed


def percentile(values: list[float], part: float) -> float:
    """The value that `part` of all lie at or below; 0.0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, int(part * len(ordered) + 0.999999) - 1))]
