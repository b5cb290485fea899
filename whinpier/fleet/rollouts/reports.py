"""The last report of each member, as the leader received it.

Invariant: a report of an earlier incarnation of a member is never taken for one of its present
incarnation.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from whinpier.fleet.rollouts.commands import MAX_MEMBERS
from whinpier.fleet.rollouts.model import MemberReport, MemberView


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """Hold a report with its sender's incarnation and the time of its arrival."""

    member_id: int  # differs between incarnations of a member
    received_at: int  # in nanoseconds
    report: MemberReport


class ReportPair(NamedTuple):
    """Hold two reports of one member; its requests are counted between them."""

    first: MemberReport
    last: MemberReport


class ReportTable:
    """Keep the last report of each member."""

    def __init__(self) -> None:
        """Start without reports."""
        self._received: dict[str, ReceivedReport] = {}

    def receive(self, name: str, member_id: int, report: MemberReport, now: int) -> None:
        """Store a report, unless the table is full and the member is new to it."""
        if len(self._received) < MAX_MEMBERS or name in self._received:
            self._received[name] = ReceivedReport(member_id, now, report)

    def retain(self, names: Container[str]) -> None:
        """Drop the reports of members that are not in `names`."""
        self._received = {
            name: received for name, received in self._received.items() if name in names
        }

    def get(self, name: str) -> ReceivedReport | None:
        """Return the last report of a member, of whichever incarnation."""
        return self._received.get(name)

    def of_present_run(self, view: MemberView | None) -> MemberReport | None:
        """Return the last report of a member's present incarnation, or None."""
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
        """Pair earlier reports with the last ones, leaving out members whose counts were reset."""
        pairs = {}
        for name, report in first.items():
            received = self._received.get(name)
            if received is not None and received.report.completed >= report.completed:
                pairs[name] = ReportPair(report, received.report)
        return pairs
