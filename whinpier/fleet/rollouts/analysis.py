"""Canary analysis after each wave: detects a released version that does worse than the rest.

Owns the measurement windows of one leader; the next leader measures again. Compares the members that
run the released version with the other members over the same window or, if those completed too few
requests, with the fleet before the rollout. Invariant: an analysis never passes if the updated members
completed fewer than `min_requests`. Times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from whinpier.fleet.rollouts.commands import MAX_TEXT, AnalysisResult, AnalysisSettings
from whinpier.fleet.rollouts.model import MemberReport, MemberView, Rollout
from whinpier.fleet.rollouts.reports import ReportPair, ReportTable
from whinpier.policy.decaying_sum import SECOND

NS_PER_MS = SECOND // 1000
BASELINE_INTERVAL_NS = 5 * SECOND  # length of a baseline measurement
# Window lengths for which an analysis waits for missing reports or requests.
MAX_WINDOWS_WITHOUT_TRAFFIC = 3
REPORT_DELAY_NS = SECOND  # wait after a window for its last reports
MAX_NAMES_SHOWN = 5


@dataclass(frozen=True)
class OutcomeShares:
    """Hold the outcomes of a group's requests, as fractions of those completed."""

    completed: int = 0
    on_time: float = 1.0
    failed: float = 0.0
    rejected: float = 0.0
    memory_bytes: float = 0.0  # mean over the members


@dataclass
class AnalysisWindow:
    """Hold the measurement of one wave."""

    release_number: int
    wave: int
    started_at: int
    length_ns: int
    # The first report of each member in this window.
    first: dict[str, MemberReport] = field(default_factory=dict)

    def has_ended(self, now: int) -> bool:
        """Return whether the window and the wait for its last reports are over."""
        return now - self.started_at >= self.length_ns + min(REPORT_DELAY_NS, self.length_ns // 2)

    def has_timed_out(self, now: int) -> bool:
        """Return whether the wait for missing reports or requests is over."""
        limit = MAX_WINDOWS_WITHOUT_TRAFFIC * self.length_ns + REPORT_DELAY_NS
        return now - self.started_at >= limit


class WaveAnalysis:
    """Measure the fleet before and during a rollout, and judge each wave."""

    def __init__(self, reports: ReportTable, now: int) -> None:
        """Start the first baseline measurement, from the reports in `reports`."""
        self._reports = reports
        self._window: AnalysisWindow | None = None
        self._baseline = OutcomeShares()
        self._baseline_first: dict[str, MemberReport] = {}
        self._baseline_at = now

    def measure_baseline(self, now: int) -> None:
        """Measure the fleet's baseline; called while no rollout is active."""
        self._window = None
        if now - self._baseline_at < BASELINE_INTERVAL_NS:
            return
        shares = compute_shares(self._reports.pairs_since(self._baseline_first).values())
        if shares.completed:
            self._baseline = shares
        self._baseline_first = self._reports.latest()
        self._baseline_at = now

    def recent_requests(self, name: str) -> int:
        """Return how many requests a member has completed since the last baseline measurement."""
        received = self._reports.get(name)
        completed = received.report.completed if received else 0
        first = self._baseline_first.get(name)
        return completed - first.completed if first else completed

    def judge(
        self, now: int, views: dict[str, MemberView], rollout: Rollout
    ) -> AnalysisResult | None:
        """Return the result of the current wave's analysis, or None while it is still running."""
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
        """Return the window of the current wave, opened by the first call for the wave."""
        window = self._window
        if (
            window is None
            or window.release_number != rollout.number
            or window.wave != rollout.current_wave
        ):
            length_ns = rollout.command.analysis.window_ms * NS_PER_MS
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
        """Compare updated members with the rest; return None to wait for more requests."""
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
    """Return the result of the current wave, which has passed if `failure` is empty."""
    return AnalysisResult(rollout.number, rollout.current_wave, not failure, failure[:MAX_TEXT])


def compute_shares(pairs: Collection[ReportPair]) -> OutcomeShares:
    """Return the outcomes of the requests completed between the two reports of each member."""
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
    """Return by how much a counter grew over all pairs; a counter that fell counts as 0."""
    return sum(max(0, count_of(pair.last) - count_of(pair.first)) for pair in pairs)


def find_regression(
    released: OutcomeShares, rest: OutcomeShares, settings: AnalysisSettings
) -> str:
    """Describe the first measure that is worse than the settings allow, or return an empty text.

    The texts are stored in the replicated history, so their wording is kept.
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
