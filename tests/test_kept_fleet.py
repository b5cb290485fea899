"""Kept bytes of the fleet: datagrams, log entries, snapshots, and each file on disk.

Every example is read and must give the stated values, and these values must give the kept bytes
again. Values are compared field by field, by each field's meaning and not only by its place, so
that two fields of one type cannot change places unseen. Builds of two versions talk to each other
and read each other's files: what fails here is a break between versions, not a detail of a test.
"""

import asyncio
import json
from pathlib import Path

import msgspec
import pytest

from whinpier.fleet import messages, peer_cache, registry, service, state_store
from whinpier.fleet.consensus import node as agreement
from whinpier.fleet.consensus import service as consensus_service
from whinpier.fleet.membership import membership
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.ejection import EjectionCoordinator
from whinpier.fleet.quotas import allocation, calendar_quota, fair_share, leases
from whinpier.fleet.rollouts import commands, model
from whinpier.fleet.rollouts.history import compute_digest, is_intact
from whinpier.fleet.rollouts.model import MemberReport
from whinpier.fleet.rollouts.release_files import hash_file
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record, read_records

DATA = Path(__file__).parent / "data" / "kept"
KEPT = json.loads((DATA / "fleet.json").read_text())
SEAL = messages.Seal((b"0123456789abcdef",))
SECOND = 1_000_000_000

# What each typed message says, field by field in the order of its bytes.
READERS = {
    messages.MemberMetadata: lambda it: [
        it.name,
        it.run,
        it.version,
        it.host,
        it.port,
        it.build,
        it.zone,
        it.revision,
        it.pools,
        it.limits_epoch,
    ],
    messages.MemberUpdate: lambda it: [it.id, it.incarnation, it.state, it.reason, it.reporter],
    messages.QuotaMessage: lambda it: [it.kind, it.limit, it.nonce, it.amount, it.sequence, it.key],
    messages.EjectionMessage: lambda it: [
        it.kind,
        it.pool,
        it.key,
        it.nonce,
        it.arg1,
        it.arg2,
        it.arg3,
    ],
    messages.LogEntry: lambda it: [it.term, it.kind, it.data],
    messages.ConsensusMessage: lambda it: [
        it.kind,
        it.cluster_id,
        it.disk_id,
        it.term,
        it.arg1,
        it.arg2,
        it.arg3,
        it.arg4,
        it.entries,
        it.data,
    ],
    messages.DatagramWithoutConsensus: lambda it: [
        it.kind,
        it.sender,
        it.sequence,
        it.nonce,
        it.target,
        it.digest,
        it.updates,
        it.metadata,
        it.payloads,
        it.requested_ids,
        it.quota_messages,
        it.wall_clock_ns,
        it.registry_digest,
        it.registry_entries,
        it.ejection_messages,
    ],
    messages.Datagram: lambda it: [
        *READERS[messages.DatagramWithoutConsensus](it),
        it.consensus_messages,
    ],
    registry.RegistryEntry: lambda it: [it.key, it.value, it.version, it.origin, it.remaining_ms],
    MemberReport: lambda it: [
        it.applied_index,
        it.content_hash,
        it.build,
        it.is_ready,
        it.is_draining,
        it.is_drained,
        it.refused_content,
        it.refusal,
        it.idle_drains,
        it.completed,
        it.on_time,
        it.failed,
        it.rejected,
        it.memory_bytes,
    ],
    allocation.StoredAllocation: lambda it: [it.epoch, it.home_quota, it.homes, it.lease_duration],
    commands.CommandHeader: lambda it: [
        it.id,
        it.operator,
        it.reason,
        it.wall_ms,
        it.base_revision,
    ],
    commands.BudgetRule: lambda it: [it.name, it.target, it.max_out, it.pool, it.zone],
    commands.SetBudget: lambda it: [it.header, it.rules],
    commands.DrainCommand: lambda it: [it.header, it.name, it.pool, it.zone],
    commands.Observation: lambda it: [it.kind, it.key, it.number, it.text],
    commands.Observations: lambda it: [it.id, it.items],
    commands.FileChunk: lambda it: [it.content_hash, it.offset, it.file_size, it.data],
    commands.AnalysisSettings: lambda it: [
        it.window_ms,
        it.max_on_time_drop,
        it.max_error_increase,
        it.max_rejected_increase,
        it.max_memory_ratio,
        it.min_requests,
        it.return_timeout_ms,
        it.hold_on_failure,
    ],
    commands.ReleaseCommand: lambda it: [
        it.header,
        it.content_hash,
        it.build,
        it.selector,
        it.waves,
        it.analysis,
        it.previous_build,
    ],
    commands.WavePlan: lambda it: [it.release_number, it.wave, it.names, it.zones, it.is_last],
    commands.AnalysisResult: lambda it: [it.release_number, it.wave, it.passed, it.text],
    commands.NamedCommand: lambda it: [it.header, it.name],
    model.Permit: lambda it: [it.number, it.entry_index, it.purpose, it.zone, it.pool],
    model.Drain: lambda it: [
        it.permit_number,
        it.phase,
        it.operator,
        it.reason,
        it.wall_ms,
        it.changed_index,
        it.pending,
    ],
    model.Rollout: lambda it: [
        it.number,
        it.command,
        it.phase,
        it.waves,
        it.current_wave,
        it.pending,
        it.updated,
        it.zones,
        it.previous,
        it.failed,
        it.reason,
        it.is_rollback,
        it.previous_default,
    ],
    model.HistoryEntry: lambda it: [
        it.index,
        it.wall_ms,
        it.actor,
        it.action,
        it.reason,
        it.succeeded,
        it.text,
        it.digest,
    ],
    model.ReplicatedState: lambda it: [
        it.revision,
        it.rules,
        it.permits,
        it.lost,
        it.written_off,
        it.drains,
        it.file_chunks,
        it.file_sizes,
        it.default_content,
        it.default_build,
        it.assigned_content,
        it.assigned_build,
        it.permits_granted,
        it.rollout,
        it.closed_rollouts,
        it.history,
        it.results,
        it.last_applied,
    ],
    agreement.PersistentState: lambda it: [
        it.cluster_id,
        it.disk_id,
        it.term,
        it.voted_for,
        it.log_offset,
        it.log_offset_term,
        it.snapshot_index,
        it.snapshot,
        it.entries,
    ],
}
# Which typed message a kept group holds, and which log entry kind carries which.
TYPES = {"datagram": messages.Datagram, "report": MemberReport, "snapshot": model.ReplicatedState}
ENTRY_KINDS = {
    2: (commands.EntryKind.SET_BUDGET, commands.SetBudget),
    3: (commands.EntryKind.DRAIN, commands.DrainCommand),
    4: (commands.EntryKind.UNDRAIN, commands.DrainCommand),
    5: (commands.EntryKind.OBSERVATIONS, commands.Observations),
    6: (commands.EntryKind.FILE_CHUNK, commands.FileChunk),
    7: (commands.EntryKind.RELEASE, commands.ReleaseCommand),
    8: (commands.EntryKind.WAVE_PLAN, commands.WavePlan),
    9: (commands.EntryKind.ANALYSIS_RESULT, commands.AnalysisResult),
    10: (commands.EntryKind.HALT, commands.NamedCommand),
    11: (commands.EntryKind.RESUME, commands.NamedCommand),
    12: (commands.EntryKind.ROLL_BACK, commands.NamedCommand),
    13: (commands.EntryKind.WRITE_OFF, commands.NamedCommand),
}


def plain(value):
    """A typed message as JSON has it: fields in order, bytes in hex, a mapping as pairs."""
    if type(value) in READERS:
        return [plain(one) for one in READERS[type(value)](value)]
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {"pairs": [[plain(key), plain(one)] for key, one in value.items()]}
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def natural(value):
    """What `plain` began with, but for the types."""
    if isinstance(value, list):
        return [natural(one) for one in value]
    if isinstance(value, dict):
        if "hex" in value:
            return bytes.fromhex(value["hex"])
        return {natural(key): natural(one) for key, one in value["pairs"]}
    return value


def typed(type_, values):
    """The typed message with these values, by position."""
    return msgspec.convert(natural(values), type_)


def encoded(message):
    return msgspec.msgpack.encode(message)


def decoded(type_, data):
    return msgspec.msgpack.decode(data, type=type_)


def sealed(values):
    """A datagram as it is sent: without consensus messages it has the shorter form."""
    form = messages.Datagram if len(values) == 16 else messages.DatagramWithoutConsensus
    return SEAL.seal(typed(form, values))


def applied(entries):
    """What log entries, from the first on, come to."""
    machine = RolloutStateMachine()
    for index, (kind, data) in enumerate(entries, 1):
        machine.apply(index, messages.LogEntry(1, kind, data))
    return machine


def kept(group):
    return [pytest.param(*row, id=title) for title, row in KEPT[group].items()]


def file_of(name):
    return (DATA / name).read_bytes()


# Numbers.


KINDS = {
    "datagram": (
        [
            messages.PING,
            messages.ACK,
            messages.PING_REQUEST,
            messages.INDIRECT_ACK,
            messages.STATE_EXCHANGE,
            messages.METADATA_REQUEST,
            messages.APPLICATION_DATA,
        ],
        0,
    ),
    "lease": (
        [
            messages.LEASE_REQUEST,
            messages.LEASE_GRANT,
            messages.LEASE_RETURN,
            messages.UNITS_REQUEST,
            messages.UNITS_GRANT,
            messages.STALE_STATE,
        ],
        0,
    ),
    "ejection": (
        [
            messages.OBSERVATION_REQUEST,
            messages.OBSERVATION_REPLY,
            messages.EJECTION_VOTE_REQUEST,
            messages.EJECTION_VOTE_REPLY,
            messages.EJECTION_NOTICE,
        ],
        0,
    ),
    "consensus": (
        [
            messages.PRE_VOTE_REQUEST,
            messages.PRE_VOTE_RESPONSE,
            messages.VOTE_REQUEST,
            messages.VOTE_RESPONSE,
            messages.APPEND_ENTRIES,
            messages.APPEND_RESPONSE,
            messages.LOG_COMPACTED,
            messages.FETCH_ENTRIES,
            messages.FETCHED_ENTRIES,
            messages.INSTALL_SNAPSHOT,
            messages.FORWARD_COMMAND,
            messages.READ_INDEX_REQUEST,
            messages.READ_INDEX_RESPONSE,
            messages.TIMEOUT_NOW,
            messages.STALE_DISK,
            messages.MEMBER_REPORT,
        ],
        0,
    ),
    "member_state": (
        [
            messages.ALIVE,
            messages.LEAVING,
            messages.SUSPECT,
            messages.LOST,
            messages.LEFT,
            messages.REPLACED,
        ],
        0,
    ),
    "member_evidence": (
        [
            messages.SELF_REPORTED,
            messages.NO_RESPONSE,
            messages.PORT_UNREACHABLE,
            messages.SUPERSEDED,
            messages.DECLARED_DEAD,
        ],
        0,
    ),
    "log_note": (
        [
            agreement.IDENTITY_RECORD,
            agreement.TERM_RECORD,
            agreement.ENTRY_RECORD,
            agreement.SNAPSHOT_RECORD,
        ],
        0,
    ),
    "log_entry_of_the_log_itself": ([agreement.NO_OP_ENTRY, agreement.CONFIG_ENTRY], 0),
    "log_entry": (
        [
            commands.EntryKind.SET_BUDGET,
            commands.EntryKind.DRAIN,
            commands.EntryKind.UNDRAIN,
            commands.EntryKind.OBSERVATIONS,
            commands.EntryKind.FILE_CHUNK,
            commands.EntryKind.RELEASE,
            commands.EntryKind.WAVE_PLAN,
            commands.EntryKind.ANALYSIS_RESULT,
            commands.EntryKind.HALT,
            commands.EntryKind.RESUME,
            commands.EntryKind.ROLL_BACK,
            commands.EntryKind.WRITE_OFF,
        ],
        2,
    ),
    "observation": (
        [
            commands.ObservationKind.LOST,
            commands.ObservationKind.RETURNED,
            commands.ObservationKind.DRAIN_CONFIRMED,
            commands.ObservationKind.SWITCHED,
            commands.ObservationKind.FAILED,
            commands.ObservationKind.WRITTEN_OFF,
            commands.ObservationKind.DRAIN_PENDING,
        ],
        0,
    ),
}


@pytest.mark.parametrize("numbers, first", KINDS.values(), ids=KINDS)
def test_kinds_keep_their_numbers(numbers, first):
    assert numbers == list(range(first, first + len(numbers)))


def test_words_in_snapshots_and_states_keep_their_spelling():
    assert messages.STATE_NAMES == ("here", "leaving", "suspect", "lost", "left", "replaced")
    assert messages.REASON_NAMES == ("said", "silent", "refused", "renamed", "struck")
    assert (
        commands.BudgetTarget.BALANCERS,
        commands.BudgetTarget.UPSTREAMS,
        model.FLEET_ACTOR,
    ) == ("balancers", "upstreams", "bank")
    assert (model.DrainPhase.DRAINING, model.DrainPhase.DRAINED, model.DrainPhase.UNDRAINING) == (
        "draining",
        "done",
        "undraining",
    )
    assert (
        model.RolloutPhase.PLANNING,
        model.RolloutPhase.UPDATING,
        model.RolloutPhase.ANALYZING,
        model.RolloutPhase.HALTED,
        model.RolloutPhase.ROLLING_BACK,
        model.RolloutPhase.ROLLED_BACK,
        model.RolloutPhase.RELEASED,
    ) == ("planning", "waves", "gate", "halted", "undoing", "undone", "released")
    assert (leases.RATE, leases.IN_FLIGHT, leases.COUNT, leases.CONNECTIONS) == (
        "rate",
        "in_flight",
        "count",
        "connections",
    )
    assert (service.BEGUN, service.WINDOW) == ("begun", "window")
    assert model.make_key("m1") == "b/m1" and model.make_key("u1", "web") == "u/web/u1"


def test_marks_keep_their_digests():
    limit = leases.Limit("all", leases.RATE, 10_000, ("m1", "m2"), 5)
    window = leases.Limit("day", leases.COUNT, 700, ("m1", "m2"), 0, 9 * SECOND, "day/UTC", 3)
    entry = registry.RegistryEntry("limit/all", b"{}", 7, 99, 1_000)
    found = [
        messages.member_id("m1", 0xABC),
        messages.pool_hash("web"),
        messages.LOG_PROGRESS_CHANNEL,
        service.STAMP,
        limit.wire_id,
        limit.epoch(),
        window.wire_id,
        window.epoch(),
        allocation.hash_tenant_name("tenant-a"),
        registry.digest_part(entry),
        hash_file(b"file"),
        compute_digest(b"before", (1, 2, "who", "what", "why", True, "text")).hex(),
        consensus_service.disk_version_of(
            agreement.PersistentState(256, 7, 3, 8, 20, 2, 20, b"", [messages.LogEntry(3, 0)])
        ),
    ]
    assert found == KEPT["marks"]


def test_a_datagram_keeps_its_frame():
    assert (
        messages.MAGIC,
        messages.FORMAT_VERSION,
        messages.HEADER_BYTES,
        messages.TAG_BYTES,
        messages.MAX_DATAGRAM_BYTES,
    ) == (b"wB", 1, 3, 16, 1_200)
    assert (
        messages.QUOTA_MESSAGE_BYTES,
        messages.EJECTION_MESSAGE_BYTES,
        messages.MEMBER_UPDATE_BYTES,
        messages.EMPTY_DATAGRAM_BYTES,
    ) == tuple(KEPT["sizes"])


# Datagrams.


@pytest.mark.parametrize("data, values", kept("datagrams"))
def test_a_datagram_is_read_and_written_as_it_was(data, values):
    data = bytes.fromhex(data)
    found = SEAL.open(data)
    assert plain(found) == (values if len(values) == 16 else [*values, []])
    assert sealed(values) == data
    again = messages.Datagram if len(values) == 16 else messages.DatagramWithoutConsensus
    assert SEAL.seal(typed(again, plain(found)[: len(values)])) == data


def test_datagrams_of_every_kind_are_kept():
    rows = [values for _, values in KEPT["datagrams"].values()]
    assert {row[0] for row in rows} == set(range(7))
    assert {one[0] for row in rows for one in row[10]} == set(range(6))
    assert {one[0] for row in rows for one in row[14]} == set(range(5))
    assert {one[0] for row in rows for one in (row[15] if len(row) == 16 else [])} == set(range(16))
    assert {one[2] for row in rows for one in row[6]} == set(range(6))
    assert {one[3] for row in rows for one in row[6]} == set(range(5))


@pytest.mark.parametrize("data, values", kept("short_datagrams"))
def test_a_datagram_without_its_optional_fields_is_read(data, values):
    data = bytes.fromhex(data)
    found = SEAL.open(data)
    assert plain(found) == values
    assert len(SEAL.seal(found)) > len(data)


@pytest.mark.parametrize("data, reason", kept("refused_datagrams"))
def test_a_datagram_that_is_not_taken_says_why(data, reason):
    with pytest.raises(messages.DatagramError) as fault:
        SEAL.open(bytes.fromhex(data))
    assert fault.value.reason == reason


@pytest.mark.parametrize("data, values", kept("reports"))
def test_a_report_inside_a_consensus_message_is_read_and_written_as_it_was(data, values):
    data = bytes.fromhex(data)
    assert plain(decoded(MemberReport, data)) == values
    assert encoded(typed(MemberReport, values)) == data


# Payloads announced under a mark.


def test_an_announced_demand_of_a_limit_keeps_its_bytes():
    calendar = calendar_quota.Calendar("minute")
    limit = leases.Limit("near", leases.COUNT, 1_000, (), 0, window="minute/UTC")
    here = fair_share.ApproximateQuota(limit, calendar, 0, lambda now: (now, now))
    here.reported_demand, here.window_used, here.window_start = 300, 21, 60
    assert here.encode_report(0).hex() == KEPT["announced"]["demand"]
    here.on_report(5, bytes.fromhex(KEPT["announced"]["demand"]), 0)
    other = here.peers[5]
    assert (other.window_used, other.window_start) == (21, 60) and 300 in [
        one for _, one in other.reports
    ]


def test_an_announced_place_in_the_log_keeps_its_bytes():
    raft = voter("a", 1)
    raft.cluster_id, raft.term, raft.commit_index, raft.leader = 256, 3, 17, "b"
    assert raft.announcement(99).hex() == KEPT["announced"]["news"]


# Log entries and their snapshot.


@pytest.mark.parametrize("kind, data, values", kept("entries"))
def test_a_log_entry_is_read_and_written_as_it_was(kind, data, values):
    number, type_ = ENTRY_KINDS[kind]
    data = bytes.fromhex(data)
    assert number == kind and commands.ENTRY_TYPES[kind] is type_
    assert plain(decoded(type_, data)) == values
    assert commands.encode(typed(type_, values)) == data


def test_log_entries_of_every_kind_are_kept():
    assert {row[0] for row in KEPT["entries"].values()} == set(ENTRY_KINDS)
    assert len(commands.ENTRY_TYPES) == len(ENTRY_KINDS)


@pytest.mark.parametrize("entries, data, values", kept("snapshots"))
def test_log_entries_come_to_the_kept_snapshot(entries, data, values):
    data = bytes.fromhex(data)
    machine = applied([(kind, bytes.fromhex(one)) for kind, one in entries])
    assert machine.undecodable_entries == 0
    assert plain(machine.state) == values
    assert machine.snapshot() == data


@pytest.mark.parametrize("entries, data, values", kept("snapshots"))
def test_a_snapshot_is_read_and_written_as_it_was(entries, data, values):
    data = bytes.fromhex(data)
    machine = RolloutStateMachine()
    machine.restore(data)
    assert plain(machine.state) == values and machine.snapshot() == data
    assert encoded(typed(model.ReplicatedState, values)) == data
    assert is_intact(machine.state.history)


# The replicated log on disk.


def log_of(data):
    return agreement.replay_journal(
        note
        for _, note in read_records(
            "record", data, consensus_service.JOURNAL_MAGIC, consensus_service.MAX_RECORD_BYTES
        )
    )


def log_written(values):
    copy = agreement.PersistentState(
        *natural(values)[:-1], [messages.LogEntry(*natural(line)) for line in values[-1]]
    )
    return consensus_service.JOURNAL_MAGIC + b"".join(
        map(encode_record, agreement.compact_journal(copy))
    )


def test_a_log_file_begins_with_its_magic():
    assert (
        consensus_service.JOURNAL_MAGIC == b"whinpier bank record 1\n"
        and consensus_service.MAX_RECORD_BYTES == 6 << 20
    )
    assert file_of("log").startswith(consensus_service.JOURNAL_MAGIC)


def test_a_log_file_with_a_snapshot_is_read_and_written_as_it_was():
    values = KEPT["log"]
    assert plain(log_of(file_of("log"))) == values
    assert log_written(values) == file_of("log")


def test_a_log_file_as_it_was_appended_to_is_read():
    assert plain(log_of(file_of("log_appended"))) == KEPT["log_appended"]


def test_the_state_of_a_log_file_is_taken_up():
    found = log_of(file_of("log"))
    raft = agreement.RaftNode(
        "a", found, RolloutStateMachine(), 0, Chance(), agreement.RaftTiming()
    )
    applied_to, term, (since, voters), inner = msgspec.msgpack.decode(found.snapshot)
    assert [applied_to, term, since, voters] == [14, 2, 1, {"a": 11, "b": 12, "c": 13}]
    assert inner.hex() == KEPT["snapshots"]["files, gates and drains"][1]
    assert (raft.commit_index, raft.last_index, raft.config) == (14, 16, {"a": 11, "b": 12})
    assert plain(raft.persistent_state()) == KEPT["log"]
    assert raft.state_machine.state.last_applied == 14


@pytest.mark.parametrize("cut", [1, 7, 14])
def test_a_torn_tail_of_a_log_file_is_left_out(tmp_path, cut):
    path = tmp_path / "record"
    path.write_bytes(file_of("log")[:-cut])
    journal = AppendLog(
        str(path), consensus_service.JOURNAL_MAGIC, consensus_service.MAX_RECORD_BYTES
    )
    found = plain(agreement.replay_journal(journal.open()))
    journal.close()
    assert found == [*KEPT["log"][:-1], KEPT["log"][-1][:-1]]
    assert path.read_bytes() == file_of("log")[: journal.size] and journal.torn_bytes > 0


def test_a_kept_torn_log_file_is_read_up_to_its_tear(tmp_path):
    path = tmp_path / "record"
    path.write_bytes(file_of("log_torn"))
    journal = AppendLog(
        str(path), consensus_service.JOURNAL_MAGIC, consensus_service.MAX_RECORD_BYTES
    )
    found = plain(agreement.replay_journal(journal.open()))
    journal.close()
    assert found == KEPT["log_torn"] and (journal.size, journal.torn_bytes) == tuple(
        KEPT["log_tear"]
    )


# The state store.


def store_of(path):
    store = state_store.StateStore(str(path))
    store.open()
    store.journal.close()
    return store


def store_values(store):
    return plain(store.live), store.sequence


def test_a_state_store_is_read_as_it_was(tmp_path):
    path = tmp_path / "state"
    path.write_bytes(file_of("store"))
    store = store_of(path)
    assert state_store.MAGIC == b"whinpier bank state 1\n"
    assert list(store_values(store)) == KEPT["store"] and store.journal.torn_bytes == 0


def test_a_state_store_is_written_as_it_was(tmp_path):
    async def write():
        store = state_store.StateStore(str(tmp_path / "state"))
        store.open()
        for batch in natural(KEPT["store_batches"]):
            pairs = {tuple(key): tuple(value) for key, value in batch}
            await store.write(pairs, lambda: None, lambda: None)
        store.journal.close()
        return store

    store = asyncio.run(write())
    assert (tmp_path / "state").read_bytes() == file_of("store")
    assert list(store_values(store)) == KEPT["store"]


def test_a_state_store_is_compacted_as_it_was(tmp_path):
    async def compact():
        store = state_store.StateStore(str(tmp_path / "state"))
        (tmp_path / "state").write_bytes(file_of("store"))
        store.open()
        await store.compact()
        store.journal.close()

    asyncio.run(compact())
    assert (tmp_path / "state").read_bytes() == file_of("store_compacted")
    assert list(store_values(store_of(tmp_path / "state"))) == KEPT["store"]


def test_a_torn_state_store_is_read_up_to_its_tear(tmp_path):
    path = tmp_path / "state"
    path.write_bytes(file_of("store_torn"))
    store = store_of(path)
    assert list(store_values(store)) == KEPT["store_torn"]
    assert (store.journal.size, store.journal.torn_bytes) == tuple(KEPT["store_tear"])


def test_a_state_store_that_was_changed_in_its_middle_is_refused(tmp_path):
    data = bytearray(file_of("store"))
    data[len(state_store.MAGIC) + 9] ^= 1
    (tmp_path / "state").write_bytes(data)
    with pytest.raises(AppendLogError):
        store_of(tmp_path / "state")


def test_a_note_of_a_window_keeps_its_order():
    limit = leases.Limit("day", leases.COUNT, 700, ("m1", "m2"), window="day/UTC", key=3)
    calendar = calendar_quota.Calendar("day")
    units = calendar_quota.CalendarQuota(
        limit, calendar, "m1", 0, Chance(), lambda now: (now, now), True
    )
    units.add_window(calendar_quota.WindowQuota(86_400, 172_800, 350, -40, 25, 20, 60))
    units.queue_record(units.known_windows[86_400])
    assert units.take_records() == (1, [(limit.wire_id, 3, 86_400, 350, -40, 60)])
    units.restore([(limit.wire_id, 3, 172_800, 340, 8, 70)], 90)
    slot = units.known_windows[172_800]
    assert (slot.start, slot.end, slot.home_quota, slot.transferred) == (172_800, 259_200, 340, 8)
    assert (slot.used, slot.durable_used, slot.pending_used, units.unknown_before) == (
        70,
        70,
        70,
        90,
    )


# The peer cache.


def test_a_peer_cache_is_read_and_written_as_it_was(tmp_path):
    path = tmp_path / "peers"
    path.write_bytes(file_of("peers.json"))
    addresses, homes = peer_cache.read(str(path))
    assert addresses == [("10.0.0.1", 7001), ("10.0.0.2", 7002)]
    assert plain(homes) == {
        "pairs": [["all", [4_000_000_000, 17, ["m1", "m2"], 9 * SECOND]], ["day", [12, 0, [], 0]]]
    }
    peer_cache.write(str(tmp_path / "other"), addresses, homes)
    assert (tmp_path / "other").read_bytes() == file_of("peers.json")


def test_a_peer_cache_of_the_first_form_is_read():
    addresses, homes = peer_cache.read(str(DATA / "peers_form_1.json"))
    assert (addresses, homes) == ([("10.0.0.1", 7001)], {})


def test_a_torn_peer_cache_is_refused(tmp_path):
    with pytest.raises(ValueError):
        peer_cache.read(str(DATA / "peers_torn.json"))
    assert peer_cache.read(str(tmp_path / "none")) == ([], {})


# What each part of a process sends.


class Chance:
    """Draws the same each time."""

    def __init__(self, number=0.0):
        self.number, self.drawn = number, 0

    def random(self):
        return self.number

    def sample(self, those, count):
        return list(those)[:count]

    def shuffle(self, those):
        pass

    def getrandbits(self, bits):
        self.drawn += 1
        return 1_000 + 2 * self.drawn


def rounds(busy):
    """Rounds of hand-overs while there are any: messages that never end are a fault, not a wait."""
    for number in range(100):
        if not busy():
            return
        yield number
    raise AssertionError("messages without end")


def voter(name, disk):
    copy = agreement.PersistentState(disk_id=disk)
    return agreement.RaftNode(
        name, copy, RolloutStateMachine(), 0, Chance(disk / 100), agreement.RaftTiming()
    )


class Cluster:
    """Three voters and a learner that hand each other messages, and what was sent."""

    def __init__(self):
        self.nodes = {
            name: voter(name, disk) for name, disk in [("a", 11), ("b", 12), ("c", 13), ("d", 14)]
        }
        self.sent, self.cut_off, self.now = [], set(), 0
        for name in "abc":
            self.nodes[name].bootstrap(256, {"a": 11, "b": 12, "c": 13})

    def settle(self):
        busy = True
        for _ in rounds(lambda: busy):
            busy = False
            for name, node in self.nodes.items():
                node.on_records_synced(node.records_issued)
                for to, message in node.take_messages():
                    busy = True
                    self.sent.append([name, to, plain(message), encoded(message).hex()])
                    if not {name, to} & self.cut_off:
                        self.nodes[to].receive(message, name, self.now)

    def run(self, until):
        while self.now < until:
            self.now += SECOND // 10
            for name, node in self.nodes.items():
                if name not in self.cut_off:
                    node.tick(self.now)
            self.settle()


def consensus_run():
    """An election, entries, a read, a learner by entries and by snapshot, a hand-over."""
    cluster = Cluster()
    nodes = cluster.nodes
    cluster.run(SECOND)
    leader = next(node for node in nodes.values() if node.role == agreement.LEADER)
    other = next(node for node in nodes.values() if node is not leader and node.name != "d")
    third = next(name for name in "abc" if name not in (leader.name, other.name))
    data = bytes.fromhex(KEPT["entries"]["drain of an upstream"][1])
    other.send(
        leader.name,
        messages.FORWARD_COMMAND,
        entries=[messages.LogEntry(0, commands.EntryKind.DRAIN, data)],
    )
    cluster.settle()
    other.request_read_index(77)
    cluster.settle()
    nodes["d"].on_commit_announced(
        leader.name, 256, leader.commit_index, leader.term, leader.disk_id
    )
    cluster.run(2 * SECOND)
    cluster.cut_off = {third, "d"}
    for number in range(3):
        leader.propose(commands.EntryKind.HALT, bytes.fromhex(KEPT["halts"][number]))
    cluster.settle()
    for node in (leader, other):
        node.retained_entries = 1
        node.compact()
    cluster.cut_off = set()
    cluster.run(2 * SECOND + SECOND // 2)
    nodes["d"].on_commit_announced(
        leader.name, 256, leader.commit_index, leader.term, leader.disk_id
    )
    cluster.run(3 * SECOND)
    leader.transfer_leadership()
    cluster.run(3 * SECOND + SECOND // 2)
    leader = next(node for node in nodes.values() if node.role == agreement.LEADER)
    nodes["d"].on_commit_announced(
        leader.name, 256, leader.commit_index, leader.term, leader.disk_id
    )
    cluster.run(4 * SECOND)
    return cluster


def first_of_each(sent):
    """Without the beats that say nothing new."""
    found = {}
    for sender, to, values, data in sent:
        beat = values[0] in (messages.APPEND_ENTRIES, messages.APPEND_RESPONSE) and not values[8]
        found.setdefault((sender, to, str(values[:7]) if beat else data), [sender, to, data])
    return list(found.values())


def test_a_run_of_consensus_sends_the_kept_messages():
    cluster = consensus_run()
    assert {row[2][0] for row in cluster.sent} == set(range(14))
    assert first_of_each(cluster.sent) == KEPT["consensus_run"]
    assert len({node.commit_index for node in cluster.nodes.values()}) == 1
    assert {encoded(node.state_machine.state).hex() for node in cluster.nodes.values()} == {
        KEPT["consensus_end"]
    }


def lease_run():
    """A share that is asked for, lent and given back; units of a window that are handed over."""
    limit = leases.Limit("flight", leases.IN_FLIGHT, 100, ("m1", "m2"))
    sent, now = [], 10 * SECOND
    share = leases.LeasedQuota(limit, "m1", now, Chance(), 0)
    share.send_request(now, 2, 9, 1_001, 0)
    share.on_message(
        messages.QuotaMessage(messages.LEASE_GRANT, limit.wire_id, 1_001, 9, 0, 0), 2, now
    )
    share.on_message(
        messages.QuotaMessage(messages.LEASE_REQUEST, limit.wire_id, 55, 7, 0, 0), 3, now
    )
    share.on_timer(now + SECOND // 10, [])
    sent += share.out
    window = leases.Limit("day", leases.COUNT, 700, ("m1", "m2"), window="day/UTC", key=3)
    units = calendar_quota.CalendarQuota(
        window, calendar_quota.Calendar("day"), "m1", now, Chance(), lambda now: (now, now), False
    )
    units.update_windows(now)
    units.request_from_members(units.windows[0], now, 12, [4])
    units.on_message(
        messages.QuotaMessage(messages.UNITS_REQUEST, window.wire_id, 66, 11, 0, 3), 5, now
    )
    sent += units.out
    return [[other, plain(lease), encoded(lease).hex()] for other, lease in sent]


def test_lease_transfers_send_the_kept_messages():
    sent = lease_run()
    assert {row[1][0] for row in sent} == set(range(5))
    assert sent == KEPT["lease_run"]


def ejection_run():
    """An observation round, its replies, a proposal with votes, and the ejection that follows."""
    config = EjectionConfig(0.5, 1, 3.0, 6 * SECOND)
    proposer, voting = (EjectionCoordinator(config, own, 0, Chance()) for own in (1, 2))
    for coordinator in (proposer, voting):
        coordinator.update_endpoints(9, {41: 5, 42: 5, 43: 5, 44: 6})
    for key, ratio in [(41, 9.5), (42, 1.0), (43, 1.0)]:
        voting.on_attempt_started(9, key, 1, 0)
        voting.on_attempt_finished(9, key, 1, ratio, 0)
    sent = []

    def settle():
        for _ in rounds(lambda: proposer.out or voting.out):
            for coordinator, own, other in [(proposer, 1, voting), (voting, 2, proposer)]:
                found, coordinator.out = coordinator.out, []
                for to, message in found:
                    sent.append([own, to, plain(message), encoded(message).hex()])
                    other.on_message(message, own, SECOND / 1_000, 0)

    proposer.suspect(9, 41, 0)
    proposer.request_observations(proposer.observation_rounds[9, 41], 0)
    settle()
    assert proposer.observation_rounds[9, 41].observations == {2: (1.0, 9.5, True)}
    assert proposer.propose_ejection(9, 41, 0)
    settle()
    proposer.on_timer(0, lambda pool: SECOND / 1_000, lambda pool: (2, 2))
    settle()
    assert (9, 41) in voting.ejected_until and voting.granted_votes[9, 5, 0].proposer == 1
    return sent


def test_an_ejection_sends_the_kept_messages():
    sent = ejection_run()
    assert {row[2][0] for row in sent} == set(range(5))
    assert sent == KEPT["ejection_run"]


def member(name, run, port):
    card = messages.MemberMetadata(name, run, 1, "10.0.0.1", port, "0.1.0", "z1", "rev", (7, 8), 9)
    found = membership.Membership(
        card, [("10.0.0.1", 7001)], SEAL, membership.MembershipTiming(), Chance(), 0
    )
    found.publish(7, b"ways")
    found.wall_offset = 1_700_000_000 * SECOND
    found.registry.put("limit/all", b"{}", 60 * SECOND, card.id, 0)
    return found


def membership_run():
    """Three members meet, one falls silent; the first two of a kind on each way are kept."""
    nodes = {
        ("10.0.0.1", 7000 + number): member(f"m{number}", 0xA0 + number, 7000 + number)
        for number in (1, 2, 3)
    }
    sent, counts, now = [], {}, 0
    while now < 20 * SECOND:
        for address, one in nodes.items():
            if now < 3 * SECOND or address[1] != 7003:
                one.tick(now)
        busy = True
        for _ in rounds(lambda: busy):
            busy = False
            for address, one in nodes.items():
                for to, data in one.take_output()[0]:
                    busy = True
                    way = address[1], to[1], SEAL.open(data).kind
                    counts[way] = counts.get(way, 0) + 1
                    if counts[way] <= 2:
                        sent.append([address[1], to[1], data.hex()])
                    if now < 3 * SECOND or to[1] != 7003:
                        nodes[to].receive(data, address, now)
        now += SECOND // 10
    return sent, nodes


def test_members_that_meet_send_the_kept_datagrams():
    sent, nodes = membership_run()
    assert sent == KEPT["membership_run"]
    kinds = {SEAL.open(bytes.fromhex(data)).kind for _, _, data in sent}
    assert {messages.PING, messages.ACK, messages.PING_REQUEST, messages.STATE_EXCHANGE} <= kinds
    first, second, _ = nodes.values()
    third = messages.member_id("m3", 0xA3)
    assert first.members[third].state == second.members[third].state == messages.LOST
