"""Event names and counters as the control socket tells them, which are older than those of the log.

Scripts of operators read `watch` and `figures`, so that their names stay; the log and the code use
the names on the left.
"""

from __future__ import annotations

CONTROL_NAMES = {
    "fleet_configuration_changed": "bank_changed",
    "control_call_failed": "bank_control_call_fault",
    "control_socket_failed": "bank_control_fault",
    "control_socket_full": "bank_control_full",
    "fleet_joined": "bank_joined",
    "fleet_leaving": "bank_leaving",
    "fleet_left": "bank_left",
    "quota_window_opened": "bank_limit_begun",
    "quota_allocation_agreed": "bank_limits_agreed",
    "quota_overrides_changed": "bank_limits_said",
    "partition_state_changed": "bank_position",
    "peer_cache_failed": "bank_recall_fault",
    "registry_entry_changed": "bank_said",
    "registry_entry_invalid": "bank_said_fault",
    "fleet_send_failed": "bank_send_fault",
    "pool_fleet_size_changed": "bank_shares",
    "state_store_loaded": "bank_state",
    "state_store_failed": "bank_state_fault",
    "state_store_stale": "bank_state_old",
    "state_store_torn": "bank_state_torn",
    "state_store_recovered": "bank_state_well",
    "process_paused": "bank_stood_still",
    "member_removed_by_operator": "bank_struck",
    "member_table_full": "bank_table_full",
    "fleet_receive_limit": "bank_flood",
    "fleet_not_sent": "bank_not_sent",
    "state_stamps_received": "bank_stamps_heard",
    "members_reachable": "bank_here",
    "members_unreachable": "bank_unheard",
    "consensus_bootstrapped": "agreement_begun",
    "consensus_log_failed": "agreement_disk_fault",
    "consensus_log_recovered": "agreement_disk_well",
    "consensus_quorum_lost": "agreement_not_heard",
    "consensus_log_stale": "agreement_old_disk",
    "consensus_recovered": "agreement_recovered",
    "consensus_log_torn": "agreement_torn",
    "consensus_voters_changed": "agreement_voters",
    "consensus_cluster_id": "agreement_record",
    "consensus_leader_elected": "agreement_leads",
    "ejection_started": "verdict_rests",
    "ejection_ended": "verdict_over",
    "ejection_returning": "verdict_back",
    "ejection_not_agreed": "verdict_none",
    "ejection_proposed": "verdict_asked",
    "release_rolled_back": "release_taken_back",
    "release_applied": "release_runs",
    "drain_started": "drain_begins",
    "drain_finished": "drain_ends",
    "release_finished": "release_ends",
    "clocks_apart": "clocks_apart",
}
EVENT_NAMES = {old: new for new, old in CONTROL_NAMES.items()}


def control_name(event: str) -> str:
    """Return the name by which the control socket tells an event or a counter."""
    return CONTROL_NAMES.get(event, event)


def event_name(told: str) -> str:
    """Return the event's name in the log for one that the control socket told."""
    return EVENT_NAMES.get(told, told)
