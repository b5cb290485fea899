"""The last report of each member, as the leader received it.

Owns who reported what and when. Invariant: what an earlier run of a member said is never taken for
what its present run says.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from whinpier.fleet.rollouts.commands import MAX_MEMBERS
from whinpier.fleet.rollouts.model import MemberReport, MemberView


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """Hold a report with its sender's run and the time of its arrival."""

    member_id: int
    received_at: int
    report: MemberReport


class ReportPair(NamedTuple):
    """Hold two reports of one member, between which its requests are counted."""

    first: MemberReport
    last: MemberReport


class ReportTable:
    """Keep the last report of each member."""

    def __init__(self) -> None:
        """Begin without reports."""
        self._received: dict[str, ReceivedReport] = {}

    def receive(self, name: str, member_id: int, report: MemberReport, now: int) -> None:
        """Keep a report, unless the table is full."""
        if len(self._received) < MAX_MEMBERS or name in self._received:
            self._received[name] = ReceivedReport(member_id, now, report)

    def retain(self, names: Container[str]) -> None:
        """Drop the reports of all others."""
        self._received = {
            name: received for name, received in self._received.items() if name in names
        }

    def get(self, name: str) -> ReceivedReport | None:
        """Return the last report under a name, of whichever run."""
        return self._received.get(name)

    def of_present_run(self, view: MemberView | None) -> MemberReport | None:
        """Return what the present run of a member last reported."""
        if view is None or not view.is_present:
            return None
        received = self._received.get(view.name)
        if received is None or received.member_id != view.id:
            return None
        return received.report

    def items(self) -> Iterator[tuple[str, ReceivedReport]]:
        """Yield names with their last reports."""
        yield from self._received.items()

    def latest(self) -> dict[str, MemberReport]:
        """Return the last report of each member."""
        return {name: received.report for name, received in self._received.items()}

    def pairs_since(self, first: dict[str, MemberReport]) -> dict[str, ReportPair]:
        """Pair earlier reports with the last ones, without members that have restarted since."""
        pairs = {}
        for name, report in first.items():
            received = self._received.get(name)
            if received is not None and received.report.completed >= report.completed:
                pairs[name] = ReportPair(report, received.report)
        return pairs
