"""The analysis between two waves, which finds a released version that does worse than the rest.

Owns the measuring windows of one leader; whoever leads next measures anew. Compares members that run
the released version with the others over the same seconds or, if too little is left of those, with
the fleet before the rollout. Invariant: an analysis never passes without enough requests to judge by.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from whinpier.fleet.rollouts.commands import MAX_TEXT, AnalysisResult, AnalysisSettings
from whinpier.fleet.rollouts.model import MemberReport, MemberView, Rollout
from whinpier.fleet.rollouts.reports import ReportPair, ReportTable
from whinpier.policy.decaying_sum import SECOND

MILLISECOND = SECOND // 1000
BASELINE_INTERVAL_NS = 5 * SECOND
MAX_WINDOWS_WITHOUT_TRAFFIC = 3  # that an analysis waits before it fails
REPORT_DELAY_NS = SECOND  # after a window, for its last reports to arrive
MAX_NAMES_SHOWN = 5


@dataclass(frozen=True)
class OutcomeShares:
    """Hold how requests of a group of members ended, as parts of all that were completed."""

    completed: int = 0
    on_time: float = 1.0
    failed: float = 0.0
    rejected: float = 0.0
    memory_bytes: float = 0.0  # mean of the members


@dataclass
class AnalysisWindow:
    """Hold what is measured of one wave."""

    release_number: int
    wave: int
    started_at: int
    length_ns: int
    first: dict[str, MemberReport] = field(default_factory=dict)

    def has_ended(self, now: int) -> bool:
        """Return whether the window and the delay of its reports are over."""
        return now - self.started_at >= self.length_ns + min(REPORT_DELAY_NS, self.length_ns // 2)

    def has_timed_out(self, now: int) -> bool:
        """Return whether no more is waited for members without reports or traffic."""
        limit = MAX_WINDOWS_WITHOUT_TRAFFIC * self.length_ns + REPORT_DELAY_NS
        return now - self.started_at >= limit


class WaveAnalysis:
    """Measure the fleet before and during a rollout, and judge each wave."""

    def __init__(self, reports: ReportTable, now: int) -> None:
        """Measure by the reports of this table, from now on."""
        self._reports = reports
        self._window: AnalysisWindow | None = None
        self._baseline = OutcomeShares()
        self._baseline_first: dict[str, MemberReport] = {}
        self._baseline_at = now

    def measure_baseline(self, now: int) -> None:
        """Measure the fleet while no rollout is active."""
        self._window = None
        if now - self._baseline_at < BASELINE_INTERVAL_NS:
            return
        shares = compute_shares(self._reports.pairs_since(self._baseline_first).values())
        if shares.completed:
            self._baseline = shares
        self._baseline_first = self._reports.latest()
        self._baseline_at = now

    def recent_requests(self, name: str) -> int:
        """Return how many requests a member has completed since the baseline was last measured."""
        received = self._reports.get(name)
        completed = received.report.completed if received else 0
        first = self._baseline_first.get(name)
        return completed - first.completed if first else completed

    def judge(
        self, now: int, views: dict[str, MemberView], rollout: Rollout
    ) -> AnalysisResult | None:
        """Return how the analysis of the current wave ended, or None while it goes on."""
        window = self._current_window(now, rollout)
        for name, received in self._reports.items():
            if received.received_at >= window.started_at and views[name].is_present:
                window.first.setdefault(name, received.report)
        departed = sorted(
            name for name in set(rollout.updated) if name not in views or not views[name].is_present
        )
        if departed:
            names = ", ".join(departed[:MAX_NAMES_SHOWN])
            return _make_result(rollout, f"{names} did not stay")
        if not window.has_ended(now):
            return None
        if self._has_late_reports(window, rollout) and not window.has_timed_out(now):
            return None
        return self._compare_groups(now, rollout, window)

    def _current_window(self, now: int, rollout: Rollout) -> AnalysisWindow:
        """Return the window of the current wave; the first call for a wave opens it."""
        window = self._window
        if (
            window is None
            or window.release_number != rollout.number
            or window.wave != rollout.current_wave
        ):
            length_ns = rollout.command.analysis.window_ms * MILLISECOND
            window = AnalysisWindow(rollout.number, rollout.current_wave, now, length_ns)
            self._window = window
        return window

    def _has_late_reports(self, window: AnalysisWindow, rollout: Rollout) -> bool:
        """Return whether an updated member has not reported since the middle of the window."""
        middle = window.started_at + window.length_ns // 2
        for name in rollout.updated:
            received = self._reports.get(name)
            if (received.received_at if received else 0) < middle:
                return True
        return False

    def _compare_groups(
        self, now: int, rollout: Rollout, window: AnalysisWindow
    ) -> AnalysisResult | None:
        settings = rollout.command.analysis
        pairs = self._reports.pairs_since(window.first)
        updated = set(rollout.updated)
        released = compute_shares([pair for name, pair in pairs.items() if name in updated])
        rest = compute_shares([pair for name, pair in pairs.items() if name not in updated])
        if released.completed < settings.min_requests:
            if not window.has_timed_out(now):
                return None
            text = f"{released.completed} tasks ended at who has it: nothing to judge by"
            return _make_result(rollout, text)
        if rest.completed < settings.min_requests:
            rest = self._baseline
        return _make_result(rollout, find_regression(released, rest, settings))


def _make_result(rollout: Rollout, failure: str) -> AnalysisResult:
    """Return a result that has passed if no failure is named."""
    return AnalysisResult(rollout.number, rollout.current_wave, not failure, failure[:MAX_TEXT])


def compute_shares(pairs: Collection[ReportPair]) -> OutcomeShares:
    """Return how requests ended between the two reports of each member."""
    if not pairs:
        return OutcomeShares()
    memory_bytes = sum(pair.last.memory_bytes for pair in pairs) / len(pairs)
    completed = _sum_growth(pairs, lambda report: report.completed)
    if not completed:
        return OutcomeShares(memory_bytes=memory_bytes)
    return OutcomeShares(
        completed,
        _sum_growth(pairs, lambda report: report.on_time) / completed,
        _sum_growth(pairs, lambda report: report.failed) / completed,
        _sum_growth(pairs, lambda report: report.rejected) / completed,
        memory_bytes,
    )


def _sum_growth(pairs: Collection[ReportPair], count_of: Callable[[MemberReport], int]) -> int:
    return sum(max(0, count_of(pair.last) - count_of(pair.first)) for pair in pairs)


def find_regression(
    released: OutcomeShares, rest: OutcomeShares, settings: AnalysisSettings
) -> str:
    """Describe what is worse by more than the settings allow; empty if nothing is.

    The texts are kept in the replicated history, so that their wording stays.
    """
    if rest.on_time - released.on_time > settings.max_on_time_drop:
        return f"on time {released.on_time:.3f}, the rest {rest.on_time:.3f}"
    if released.failed - rest.failed > settings.max_error_increase:
        return f"scrapped {released.failed:.3f}, the rest {rest.failed:.3f}"
    if released.rejected - rest.rejected > settings.max_rejected_increase:
        return f"turned back {released.rejected:.3f}, the rest {rest.rejected:.3f}"
    max_memory_bytes = settings.max_memory_ratio * rest.memory_bytes
    if rest.memory_bytes and released.memory_bytes > max_memory_bytes:
        return f"memory {released.memory_bytes / 1e6:.1f} MB, the rest {rest.memory_bytes / 1e6:.1f} MB"
    return ""
