"""The leader's controller: compares observations with the replicated state and proposes log entries.

Handed the time in nanoseconds, the members as the leader's process sees them, their reports and the
replicated state; returns contents for log entries. Its own state is not replicated: the next leader
observes everything again. Does no I/O. Invariants: a drain is never confirmed before all members have
confirmed it; a report of a member's earlier incarnation never shows that the member is back.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from whinpier.fleet.rollouts.analysis import NS_PER_MS, WaveAnalysis
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

GRACE_NS = 3 * SECOND  # before a new leader counts members that it has not met as lost
PLAN_RETRY_NS = 2 * SECOND  # after which a plan that was not committed is proposed again
PENDING_INTERVAL_NS = SECOND  # between two DRAIN_PENDING observations of one drain
MAX_ITEMS_PER_ENTRY = 24  # observations, or names of a wave plan
MAX_PENDING_SHOWN = 3  # members

Views = dict[str, MemberView]  # by member name


class ProposedEntry(NamedTuple):
    """Hold the contents of an entry that the leader is to append to the log."""

    kind: EntryKind
    data: bytes


class RolloutController:
    """Reconcile observations with the replicated state during the term of one leader."""

    def __init__(self, now: int, write_off_ns: int) -> None:
        """Start a leader's term; members that are lost for `write_off_ns` are written off."""
        self.known_zones: dict[str, str] = {}  # by member that was present in this term
        self._leading_since = now
        self._write_off_ns = write_off_ns
        self._reports = ReportTable()
        self._analysis = WaveAnalysis(self._reports, now)
        self._lost_since: dict[str, int] = {}
        self._switching_since: dict[int, int] = {}  # by permit number
        self._pending_reported_at: dict[str, int] = {}  # by key of the drain
        self._planned_release = 0
        self._planned_at = 0

    def on_report(self, name: str, member_id: int, report: MemberReport, now: int) -> None:
        """Store a member's report of itself."""
        self._reports.receive(name, member_id, report, now)

    def reconcile(
        self, now: int, views: Views, machine: RolloutStateMachine
    ) -> list[ProposedEntry]:
        """Return the entries to append to the log now."""
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
            entries.append(_make_entry(EntryKind.OBSERVATIONS, Observations(0, items)))
        return entries

    # Members that are lost or back.

    def _observe_returned(self, views: Views, state: ReplicatedState) -> list[Observation]:
        """Observe which lost or written-off members serve again."""
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
        """Observe which members are lost, and which have been lost for too long."""
        observations = []
        for name in self._expected_members(views, state):
            view = views.get(name)
            if view is not None and view.is_present:
                continue
            is_unknown = view is None and name not in self.known_zones
            if is_unknown and now - self._leading_since < GRACE_NS:
                continue  # the new leader may not have met it yet
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
        """Return the sorted names of all known members that are not written off."""
        holders = {display_name(key) for key in state.permits if key.startswith(BALANCER_PREFIX)}
        names = {*self.known_zones, *holders, *state.lost, *views}
        return sorted(names - state.written_off.keys())

    # Drains.

    def _observe_drains(
        self, now: int, views: Views, machine: RolloutStateMachine
    ) -> list[Observation]:
        """Observe which drains are confirmed or still pending, and what has returned to service."""
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
        """Return whether PENDING_INTERVAL_NS has passed since the last report, and restart it if so."""
        reported_at = self._pending_reported_at.setdefault(key, now)
        if now - reported_at < PENDING_INTERVAL_NS:
            return False
        self._pending_reported_at[key] = now
        while len(self._pending_reported_at) > MAX_DRAINS:
            del self._pending_reported_at[next(iter(self._pending_reported_at))]
        return True

    def find_unconfirmed(self, key: str, drain: Drain, views: Views) -> dict[str, str]:
        """Return the members that have not confirmed a drain yet, with the reasons."""
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
        """Return whether a balancer serves again, or all present members know an upstream's return."""
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
        """Plan the waves, or analyze the current one."""
        if rollout.phase == RolloutPhase.PLANNING:
            return self._plan_waves(now, views, rollout)
        if rollout.phase == RolloutPhase.ANALYZING:
            result = self._analysis.judge(now, views, rollout)
            if result is not None:
                return [_make_entry(EntryKind.ANALYSIS_RESULT, result)]
        return []

    def _plan_waves(self, now: int, views: Views, rollout: Rollout) -> list[ProposedEntry]:
        """Propose the division of the selected members into waves."""
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
        return [_make_entry(EntryKind.WAVE_PLAN, plan) for plan in plans]

    def _order_members(self, views: Views, rollout: Rollout) -> list[str]:
        """Return the selected members, those with traffic first.

        Without traffic on the first updated members, the analysis would lack requests to judge.
        """
        min_requests = rollout.command.analysis.min_requests

        def rank(name: str) -> tuple[bool, str]:
            return self._analysis.recent_requests(name) < min_requests, name

        return sorted(select_members(rollout.command.selector, views), key=rank)

    def _observe_switches(
        self, now: int, views: Views, machine: RolloutStateMachine, rollout: Rollout
    ) -> list[Observation]:
        """Observe which members run their assigned version, and which failed to switch."""
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
        """Return whether one member has switched or failed to, or None if there is nothing new."""
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
        return_timeout_ns = rollout.command.analysis.return_timeout_ms * NS_PER_MS
        if not failure and now - switching_since > return_timeout_ns:
            failure = "did not come back"
        if not failure or name in rollout.failed:
            return None
        return Observation(ObservationKind.FAILED, key, permit.number, failure)


def _make_entry(kind: EntryKind, contents: Any) -> ProposedEntry:
    """Return a proposed entry with encoded contents."""
    return ProposedEntry(kind, encode(contents))


def describe_pending(unconfirmed: dict[str, str]) -> str:
    """Describe which members have not confirmed a drain and why, in one line."""
    reasons = [f"{name} {reason}" for name, reason in sorted(unconfirmed.items())]
    text = "; ".join(reasons[:MAX_PENDING_SHOWN])
    if len(reasons) > MAX_PENDING_SHOWN:
        text += f"; and {len(reasons) - MAX_PENDING_SHOWN} more"
    return text[:MAX_TEXT]
