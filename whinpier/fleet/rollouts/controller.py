"""The reconciliation by the leader: what it adds to the log of its own accord.

Handed the time, the members as its process sees them, their reports and the replicated state; gives
back contents for log entries. Whoever leads next measures all of it anew. Free of I/O. Invariants: a
drain is never confirmed while a member has not confirmed it, and a member is never taken to be back
by what an earlier run of it said.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from whinpier.fleet.rollouts.analysis import MILLISECOND, WaveAnalysis
from whinpier.fleet.rollouts.commands import (
    MAX_DRAINS,
    MAX_TEXT,
    EntryKind,
    Observation,
    ObservationKind,
    Observations,
    WavePlan,
    encode,
)
from whinpier.fleet.rollouts.model import (
    BALANCER_PREFIX,
    Drain,
    DrainPhase,
    MemberReport,
    MemberView,
    Permit,
    PermitPurpose,
    ReplicatedState,
    Rollout,
    RolloutPhase,
    display_name,
    make_key,
)
from whinpier.fleet.rollouts.reports import ReportTable
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.fleet.rollouts.wave_planning import select_members, split_into_waves
from whinpier.policy.decaying_sum import SECOND

GRACE_NS = 3 * SECOND  # of a new leader, until members it has not heard from count as lost
PLAN_RETRY_NS = 2 * SECOND  # until a plan that was not committed is proposed again
PENDING_INTERVAL_NS = SECOND  # between two reports of who has not confirmed a drain
MAX_ITEMS_PER_ENTRY = 24  # observations, or names of a plan
MAX_PENDING_SHOWN = 3

Views = dict[str, MemberView]


class ProposedEntry(NamedTuple):
    """Hold the contents of an entry that the leader is to add to the log."""

    kind: EntryKind
    data: bytes


class RolloutController:
    """Reconcile what is observed with the replicated state, for as long as one leader leads."""

    def __init__(self, now: int, write_off_ns: int) -> None:
        """Lead from now on; members lost for `write_off_ns` are written off."""
        self.known_zones: dict[str, str] = {}  # of all that were present under this leader
        self._leading_since = now
        self._write_off_ns = write_off_ns
        self._reports = ReportTable()
        self._analysis = WaveAnalysis(self._reports, now)
        self._lost_since: dict[str, int] = {}
        self._switching_since: dict[int, int] = {}  # by permit
        self._pending_reported_at: dict[str, int] = {}  # by key of a drain
        self._planned_release = 0
        self._planned_at = 0

    def on_report(self, name: str, member_id: int, report: MemberReport, now: int) -> None:
        """Take in what a member reports of itself."""
        self._reports.receive(name, member_id, report, now)

    def reconcile(
        self, now: int, views: Views, machine: RolloutStateMachine
    ) -> list[ProposedEntry]:
        """Return the entries that are to be added to the log now."""
        self._reports.retain(views)
        state = machine.state
        observations = [
            *self._observe_returned(views, state),
            *self._observe_lost(now, views, state),
            *self._observe_drains(now, views, machine),
        ]
        entries: list[ProposedEntry] = []
        rollout = state.rollout
        if rollout is None:
            self._switching_since = {}
            self._analysis.measure_baseline(now)
        else:
            observations += self._observe_switches(now, views, machine, rollout)
            entries += self._drive_rollout(now, views, rollout)
        for start in range(0, len(observations), MAX_ITEMS_PER_ENTRY):
            items = observations[start : start + MAX_ITEMS_PER_ENTRY]
            entries.append(_propose(EntryKind.OBSERVATIONS, Observations(0, items)))
        return entries

    # Members that are lost and come back.

    def _observe_returned(self, views: Views, state: ReplicatedState) -> list[Observation]:
        """Observe which members that were lost or written off serve again."""
        observations = []
        for name, view in views.items():
            if not view.is_present:
                continue
            self.known_zones[name] = view.zone
            self._lost_since.pop(name, None)
            report = self._reports.of_present_run(view)
            was_lost = name in state.lost or name in state.written_off
            if was_lost and report is not None and (report.is_ready or report.is_draining):
                observations.append(Observation(ObservationKind.RETURNED, make_key(name)))
        return observations

    def _observe_lost(self, now: int, views: Views, state: ReplicatedState) -> list[Observation]:
        """Observe which members are lost, and which for so long that they are written off."""
        observations = []
        for name in self._expected_members(views, state):
            view = views.get(name)
            if view is not None and view.is_present:
                continue
            is_unknown = view is None and name not in self.known_zones
            if is_unknown and now - self._leading_since < GRACE_NS:
                continue  # this leader may not have met it yet
            lost_since = self._lost_since.setdefault(name, now)
            key = make_key(name)
            if name not in state.lost:
                zone = view.zone if view else self.known_zones.get(name, "")
                observations.append(Observation(ObservationKind.LOST, key, 0, zone))
            elif now - lost_since >= self._write_off_ns:
                text = f"lost for {self._write_off_ns // SECOND} s"
                observations.append(Observation(ObservationKind.WRITTEN_OFF, key, 0, text))
                self.known_zones.pop(name, None)
        return observations

    def _expected_members(self, views: Views, state: ReplicatedState) -> list[str]:
        """Return all that are known from anywhere and not written off, sorted."""
        holders = {display_name(key) for key in state.permits if key.startswith(BALANCER_PREFIX)}
        names = {*self.known_zones, *holders, *state.lost, *views}
        return sorted(names - state.written_off.keys())

    # Drains.

    def _observe_drains(
        self, now: int, views: Views, machine: RolloutStateMachine
    ) -> list[Observation]:
        """Observe which drains are confirmed, and what has returned from one."""
        observations = []
        for key, drain in machine.unfinished_drains():
            number = drain.permit_number
            if drain.phase == DrainPhase.DRAINING:
                unconfirmed = self.find_unconfirmed(key, drain, views)
                text = describe_pending(unconfirmed)
                if not unconfirmed:
                    observations.append(Observation(ObservationKind.DRAIN_CONFIRMED, key, number))
                elif text != drain.pending and self._may_report_pending(key, now):
                    kind = ObservationKind.DRAIN_PENDING
                    observations.append(Observation(kind, key, number, text))
            elif drain.phase == DrainPhase.UNDRAINING and self._has_returned(key, drain, views):
                observations.append(Observation(ObservationKind.RETURNED, key, number))
        return observations

    def _may_report_pending(self, key: str, now: int) -> bool:
        """Return whether the interval since the last report of who is pending is over."""
        reported_at = self._pending_reported_at.setdefault(key, now)
        if now - reported_at < PENDING_INTERVAL_NS:
            return False
        self._pending_reported_at[key] = now
        while len(self._pending_reported_at) > MAX_DRAINS:
            del self._pending_reported_at[next(iter(self._pending_reported_at))]
        return True

    def find_unconfirmed(self, key: str, drain: Drain, views: Views) -> dict[str, str]:
        """Return who has not confirmed a drain yet, with the reasons."""
        if key.startswith(BALANCER_PREFIX):
            name = display_name(key)
            reason = self._why_balancer_unconfirmed(drain, views.get(name))
            return {name: reason} if reason else {}
        reasons = {
            name: self._why_upstream_unconfirmed(drain, view) for name, view in views.items()
        }
        return {name: reason for name, reason in reasons.items() if reason}

    def _why_balancer_unconfirmed(self, drain: Drain, view: MemberView | None) -> str:
        """Return why a balancer has not confirmed its own drain; empty if it has."""
        report = self._reports.of_present_run(view)
        if report is None:
            return "is not heard" if view is not None and not view.is_present else "has not said"
        if report.applied_index < drain.changed_index or not report.is_drained:
            return "still has something out"
        return ""

    def _why_upstream_unconfirmed(self, drain: Drain, view: MemberView) -> str:
        """Return why a member has not confirmed an upstream's drain; empty if it has."""
        report = self._reports.of_present_run(view)
        if view.is_unreachable:
            return "is not heard, and may go on sending"
        if report is None:
            return "has not said" if view.is_present else ""
        is_idle = drain.permit_number in report.idle_drains
        if report.applied_index < drain.changed_index or not is_idle:
            return "still has something out"
        return ""

    def _has_returned(self, key: str, drain: Drain, views: Views) -> bool:
        """Return whether a balancer serves again, or all present members use an upstream again."""
        if key.startswith(BALANCER_PREFIX):
            report = self._reports.of_present_run(views.get(display_name(key)))
            return (
                report is not None
                and report.applied_index >= drain.changed_index
                and report.is_ready
                and not report.is_draining
            )
        reports = [self._reports.of_present_run(view) for view in views.values() if view.is_present]
        return all(
            report is not None and report.applied_index >= drain.changed_index for report in reports
        )

    # Rollouts.

    def _drive_rollout(self, now: int, views: Views, rollout: Rollout) -> list[ProposedEntry]:
        """Plan the waves, or judge the current one."""
        if rollout.phase == RolloutPhase.PLANNING:
            return self._plan_waves(now, views, rollout)
        if rollout.phase == RolloutPhase.ANALYZING:
            result = self._analysis.judge(now, views, rollout)
            if result is not None:
                return [_propose(EntryKind.ANALYSIS_RESULT, result)]
        return []

    def _plan_waves(self, now: int, views: Views, rollout: Rollout) -> list[ProposedEntry]:
        """Propose who of the present members is in which wave."""
        was_planned = self._planned_release == rollout.number
        if was_planned and now - self._planned_at < PLAN_RETRY_NS:
            return []
        self._planned_release = rollout.number
        self._planned_at = now
        waves = split_into_waves(self._order_members(views, rollout), rollout.command.waves)
        plans = []
        for wave, names in enumerate(waves):
            for start in range(0, len(names), MAX_ITEMS_PER_ENTRY):
                part = names[start : start + MAX_ITEMS_PER_ENTRY]
                zones = [views[name].zone for name in part]
                plans.append(WavePlan(rollout.number, wave, part, zones))
        plans.append(WavePlan(rollout.number, max(0, len(waves) - 1), [], [], True))
        return [_propose(EntryKind.WAVE_PLAN, plan) for plan in plans]

    def _order_members(self, views: Views, rollout: Rollout) -> list[str]:
        """Return the selected members, those with traffic first.

        A canary without traffic would give the analysis nothing to judge by.
        """
        min_requests = rollout.command.analysis.min_requests

        def rank(name: str) -> tuple[bool, str]:
            return self._analysis.recent_requests(name) < min_requests, name

        return sorted(select_members(rollout.command.selector, views), key=rank)

    def _observe_switches(
        self, now: int, views: Views, machine: RolloutStateMachine, rollout: Rollout
    ) -> list[Observation]:
        """Observe who runs what it was assigned, and who fails to."""
        observations = []
        for key, permit in machine.state.permits.items():
            if permit.purpose != PermitPurpose.RELEASE:
                continue
            observation = self._observe_switch(now, key, permit, views, machine, rollout)
            if observation is not None:
                observations.append(observation)
        return observations

    def _observe_switch(
        self,
        now: int,
        key: str,
        permit: Permit,
        views: Views,
        machine: RolloutStateMachine,
        rollout: Rollout,
    ) -> Observation | None:
        """Observe whether one member has switched, has failed to, or neither yet."""
        name = display_name(key)
        switching_since = self._switching_since.setdefault(permit.number, now)
        report = self._reports.of_present_run(views.get(name))
        failure = ""
        if report is not None and report.applied_index >= permit.entry_index:
            orders = machine.orders_for(name)
            is_file = bool(rollout.command.content_hash)
            if is_file:
                runs_version = report.content_hash == orders.content_hash
            else:
                runs_version = report.build == orders.build
            if runs_version and (report.is_ready or report.is_draining):
                return Observation(ObservationKind.SWITCHED, key, permit.number)
            if is_file and orders.content_hash and report.refused_content == orders.content_hash:
                failure = f"refuses the file: {report.refusal}"[:MAX_TEXT]
        return_timeout_ns = rollout.command.analysis.return_timeout_ms * MILLISECOND
        if not failure and now - switching_since > return_timeout_ns:
            failure = "did not come back"
        if not failure or name in rollout.failed:
            return None
        return Observation(ObservationKind.FAILED, key, permit.number, failure)


def _propose(kind: EntryKind, contents: Any) -> ProposedEntry:
    return ProposedEntry(kind, encode(contents))


def describe_pending(unconfirmed: dict[str, str]) -> str:
    """Return who has not confirmed a drain and why, in one line."""
    reasons = [f"{name} {reason}" for name, reason in sorted(unconfirmed.items())]
    text = "; ".join(reasons[:MAX_PENDING_SHOWN])
    if len(reasons) > MAX_PENDING_SHOWN:
        text += f"; and {len(reasons) - MAX_PENDING_SHOWN} more"
    return text[:MAX_TEXT]
