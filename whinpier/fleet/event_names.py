"""Names of events and counters on the control socket, where they differ from those in the log.

Operators' scripts read `watch` and `figures`, so the control socket keeps its older names.
"""

from __future__ import annotations

# Names on the control socket, by the names in the log and the code.
CONTROL_NAMES = {
    "fleet_joined": "bank_joined",
    "fleet_leaving": "bank_leaving",
    "fleet_left": "bank_left",
    "partition_state_changed": "bank_position",
    "fleet_send_failed": "bank_send_fault",
    "process_paused": "bank_stood_still",
    "member_table_full": "bank_table_full",
    "fleet_receive_limit": "bank_flood",
    "fleet_not_sent": "bank_not_sent",
    "state_stamps_received": "bank_stamps_heard",
    "members_reachable": "bank_here",
    "members_unreachable": "bank_unheard",
    "consensus_quorum_lost": "agreement_not_heard",
    "consensus_voters_changed": "agreement_voters",
    "consensus_cluster_id": "agreement_record",
    "consensus_leader_elected": "agreement_leads",
    "ejection_started": "verdict_rests",
    "ejection_ended": "verdict_over",
    "ejection_returning": "verdict_back",
    "ejection_not_agreed": "verdict_none",
    "ejection_proposed": "verdict_asked",
    "release_applied": "release_runs",
    "drain_started": "drain_begins",
    "drain_finished": "drain_ends",
    "release_finished": "release_ends",
}
EVENT_NAMES = {control: event for event, control in CONTROL_NAMES.items()}


def control_name(event: str) -> str:
    """Return the name of an event or a counter on the control socket."""
    return CONTROL_NAMES.get(event, event)


def event_name(control: str) -> str:
    """Return the name in the log of an event that the control socket sent."""
    return EVENT_NAMES.get(control, control)
