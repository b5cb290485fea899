"""Runs this process's Raft node and carries out what the fleet has committed.

Connects `RaftNode` to the clock, the journal on disk and the fleet's messages. Applies committed
orders (drains, releases, builds) to this process, reports its state to the leader, forwards
operators' commands and, while this process leads, runs the rollout controller.

Invariants: it acts only on committed entries, decides nothing by itself, reports nothing as done
before it is committed, and the request path never waits for the disk or for another member.
"""

from __future__ import annotations

import base64
import os
import re
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, cast

import anyio
import msgspec

from whinpier import log
from whinpier.config.model import ConfigFault, Spec
from whinpier.fleet.consensus.commit_log import CommitLog, CommitPoint, committed_index
from whinpier.fleet.consensus.node import (
    CLUSTER_ID_STRIDE,
    DEFAULT_TIMING,
    IDENTITY_RECORD,
    LEADER,
    ROLES,
    SNAPSHOT_RECORD,
    PersistentState,
    RaftNode,
    compact_journal,
    replay_journal,
    unpack,
)
from whinpier.fleet.messages import (
    ALIVE,
    FORWARD_COMMAND,
    LOG_PROGRESS_CHANNEL,
    MEMBER_REPORT,
    STALE_DISK,
    SUSPECT,
    ConsensusMessage,
    LogEntry,
)
from whinpier.fleet.rollouts.commands import CommandHeader, EntryKind, SetBudget, encode
from whinpier.fleet.rollouts.controller import RolloutController
from whinpier.fleet.rollouts.model import MemberOrders, MemberReport, MemberView
from whinpier.fleet.rollouts.release_files import hash_file
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.fleet.spec import RELEASE_FILE_NAME, AgreementSpec
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome
from whinpier.runtime.pool import PendingRequest
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

if TYPE_CHECKING:
    from whinpier.fleet.service import Link

MS = SECOND // 1000

# The journal.
JOURNAL_MAGIC = b"whinpier bank record 1\n"
MAX_RECORD_BYTES = 6 << 20  # fits the largest snapshot
# The journal is rewritten once it is larger than the minimum plus so many times the snapshot.
REWRITE_MIN_BYTES = 1 << 20
REWRITE_GROWTH_FACTOR = 2
WRITE_RETRY_SECONDS = 0.5

# Periodic tasks and reports to the leader; the busy ones hold during a drain or a rollout.
PERIOD = SECOND // 4
BUSY_PERIOD = SECOND // 10
REPORT_INTERVAL = 2 * SECOND  # between reports without news
BUSY_REPORT_INTERVAL = 400 * MS

# Commands that are not applied here yet.
MAX_PENDING_COMMANDS = 256
MAX_COMMANDS_PER_RESEND = 16
COMMAND_RETRY_INTERVAL = 250 * MS
COMMAND_TIMEOUT = 60 * SECOND

MAX_PENDING_READS = 64
MAX_KNOWN_MEMBERS = 4_096  # whose announcements are remembered
MAX_REPORTED_DRAINS = 64  # in one report

# Release files.
MAX_RELEASE_BYTES = 1 << 20  # uncompressed
RELEASE_CHUNK_BYTES = 560  # with its names a chunk fits into one line of the control socket
RELEASE_HEADER = re.compile(rb"# release ([0-9a-f]{1,64})\n")
RELEASE_HEADER_BYTES = 100  # at least the longest header
MAX_REFUSAL_LENGTH = 200  # characters

MEMORY_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ReleaseReader(Protocol):
    """Reads the process's configuration file together with the release over it."""

    def __call__(self) -> Spec:
        """Return the configuration with the release that is on disk."""

    def check(self, released: bytes | None) -> Spec:
        """Return the configuration as it would be with another release; raises ConfigFault."""


class PendingCommand:
    """A command that is sent to the leader until `done` says that it is applied here."""

    __slots__ = ("data", "done", "kind", "sent", "since")

    def __init__(self, kind: int, data: bytes, done: Callable[[], bool], now: int) -> None:
        """Make a command that is due to be sent at once."""
        self.kind = kind
        self.data = data
        self.done = done
        self.since = now
        self.sent = now - COMMAND_RETRY_INTERVAL


class ConsensusService:
    """Run this process's Raft node and carry out committed orders."""

    def __init__(self, link: Link, spec: AgreementSpec) -> None:
        """Open the journal and continue from it; raises AppendLogError."""
        self.link = link
        self.spec = spec
        self.loop = link.loop
        self.process = link.process
        self.now = self.started_at = self.loop.clock()
        # Seeded by the operating system: ids of disks and commands must be unique.
        self.random = Random(Random().getrandbits(64))
        self.journal = AppendLog(str(Path(spec.folder) / "record"), JOURNAL_MAGIC, MAX_RECORD_BYTES)
        self.release_file = Path(spec.folder) / RELEASE_FILE_NAME
        self.commit_log = CommitLog(str(Path(spec.folder) / "committed"))
        state = self.open_journal()
        points = self.open_commit_log()
        # `disk_version_of` what is on disk now, and of what was there at the start.
        self.disk_version = self.disk_version_at_start = disk_version_of(state)
        self.state_machine = RolloutStateMachine()
        self.node = RaftNode(
            link.spec.name,
            state,
            self.state_machine,
            self.now,
            Random(self.random.random()),
            DEFAULT_TIMING,
            DEFAULT_TIMING.election_timeout if state.cluster_id else 0,
            committed_index(state, points),
        )
        log.info(
            "agreement",
            record=f"{state.cluster_id:x}",
            disk=f"{state.disk_id:x}",
            term=state.term,
            lines=self.node.last_index,
            committed=self.node.commit_index,
        )
        if not state.disk_id:
            self.assign_disk_id()
        self.records_pending = anyio.Event()
        self.disk_error = ""
        # By disk id: the member that announced it, and its highest disk version.
        self.known_disks: dict[int, tuple[int, int]] = {}
        self.announced_disks: dict[str, tuple[int, int]] = {}  # by name: disk id, cluster id
        self.has_heard_announcement = False
        self.controller: RolloutController | None = None  # while this process leads
        self.pending_commands: list[PendingCommand] = []
        self.read_indexes: dict[int, int] = {}  # by nonce; 0 until the leader answers
        self.seen_changes = -1
        self.seen_commit = -1
        self.seen_cluster_id = self.node.cluster_id
        self.is_relearning = False  # the log, from the start, while earlier orders are in force
        self.running_content = self.read_released_content()  # hash of the release; empty: none
        self.previous_content = self.running_content  # before the last switch
        self.switched_at = 0  # 0: no switch that may still be rolled back
        self.switching = False
        self.refusal_reason = ""
        self.avoided_content: str | None = None  # partitioned this process from the fleet
        self.refused_content: str | None = None  # invalid here
        self.first_build: str | None = None  # that was ordered when this process became current
        self.requests_finished = 0
        self.requests_on_time = 0
        self.requests_scrapped = 0
        self.requests_turned_back = 0
        self.last_report = MemberReport()
        self.last_report_at = self.now - REPORT_INTERVAL
        self.is_current = False  # whether the orders that are known here may be acted on
        self.scheduled_tick = 0  # 0: none
        self.is_drained = False
        self.process.out_of_rotation = True  # until the orders are known
        self.member_ids: dict[str, int] = {}
        self.member_ids_version = -1

    # Journal and release file.

    def assign_disk_id(self) -> None:
        """Give this disk a new id: for the others it is a new voter or learner."""
        self.node.disk_id = self.random.getrandbits(62) | 1
        self.node.add_record(IDENTITY_RECORD, 0, self.node.disk_id)

    def open_journal(self) -> PersistentState:
        """Open the journal and replay it; raises AppendLogError if it can't be used."""
        Path(self.spec.folder).mkdir(parents=True, exist_ok=True)
        records = self.journal.open()
        try:
            state = replay_journal(records)
        except (ValueError, TypeError, IndexError) as fault:
            self.journal.close()
            raise AppendLogError(
                self.journal.path, f"{fault}; move it away to begin as a new voter"
            ) from None
        warn_if_torn(self.journal.path, self.journal.torn_bytes, self.journal.size)
        return state

    def open_commit_log(self) -> list[CommitPoint]:
        """Open the file of what is committed; raises AppendLogError, with the journal closed."""
        try:
            points = self.commit_log.open()
        except AppendLogError:
            self.journal.close()
            raise
        warn_if_torn(self.commit_log.path, self.commit_log.torn_bytes, self.commit_log.size)
        return points

    def read_released_content(self) -> str:
        """Return the hash in the first line of the release file, or an empty text without one."""
        try:
            with self.release_file.open("rb") as file:
                header = RELEASE_HEADER.match(file.read(RELEASE_HEADER_BYTES))
        except OSError:
            return ""
        return header[1].decode() if header else ""

    async def run_journal_writer(self) -> None:
        """Write what is to be on disk in a thread as it comes; close the files at the end."""
        try:
            while True:
                await self.records_pending.wait()
                self.records_pending = anyio.Event()
                while self.node.pending_records or self.has_unsaved_commit():
                    if not await self.write_to_disk():
                        await anyio.sleep(WRITE_RETRY_SECONDS)
                    self.loop.dispatch(self, self.flush)
        finally:
            self.journal.close()
            self.commit_log.close()

    async def write_to_disk(self) -> bool:
        """Write the pending records, if there are any, and what is committed; return whether it is done."""
        if self.node.pending_records:
            return await self.write_pending_records()
        return await self.save_commit()

    async def write_pending_records(self) -> bool:
        """Append the pending records, or rewrite the journal, and save what is committed by that.

        Return whether all of it is on disk.
        """
        node = self.node
        journal = self.journal
        records = list(node.pending_records)
        issued = node.records_issued
        disk_version = disk_version_of(node)
        replaces_state = any(record[0] in (IDENTITY_RECORD, SNAPSHOT_RECORD) for record in records)
        max_size = REWRITE_MIN_BYTES + REWRITE_GROWTH_FACTOR * len(node.snapshot)
        is_rewrite = replaces_state or journal.size > max_size
        compacted = compact_journal(node.persistent_state()) if is_rewrite else []
        try:
            if is_rewrite:
                await anyio.to_thread.run_sync(journal.compact, compacted)
            else:
                appended = b"".join(map(encode_record, records))
                await anyio.to_thread.run_sync(journal.append, appended)
        except OSError as fault:
            self.on_write_failed(journal.path, fault)
            return False
        del node.pending_records[: len(records)]
        self.disk_version = disk_version
        node.on_records_synced(issued)
        if self.has_unsaved_commit():
            self.loop.dispatch(self, self.flush)  # others need not wait for this to be on disk
            return await self.save_commit()
        self.on_write_succeeded(journal.path)
        return True

    def commit_point(self) -> CommitPoint:
        """Return the last entry that is known to be committed."""
        node = self.node
        return CommitPoint(node.cluster_id, node.commit_index, node.term_at(node.commit_index))

    def has_unsaved_commit(self) -> bool:
        """Return whether more is committed than the disk says."""
        return self.node.commit_index > 0 and self.commit_point() != self.commit_log.saved

    def saved_commit_index(self) -> int:
        """Return the last entry that is committed and would be known to be after a restart."""
        saved = self.commit_log.saved
        return saved.entry_index if saved.cluster_id == self.node.cluster_id else 0

    async def save_commit(self) -> bool:
        """Save what is committed, and report it; return whether it is on disk."""
        try:
            await anyio.to_thread.run_sync(self.commit_log.save, self.commit_point())
        except OSError as fault:
            self.on_write_failed(self.commit_log.path, fault)
            return False
        self.on_write_succeeded(self.commit_log.path)
        self.loop.dispatch(self, self.send_report)
        return True

    def on_write_failed(self, path: str, fault: OSError) -> None:
        """Log the first of several failures of the disk."""
        if not self.disk_error:
            log.warning("consensus_log_failed", file=path, fault=fault)
        self.disk_error = str(fault)

    def on_write_succeeded(self, path: str) -> None:
        """Log that the disk takes records again, if it had failed."""
        if self.disk_error:
            log.info("consensus_log_recovered", file=path)
            self.disk_error = ""

    # Life cycle of the process.

    def start(self) -> None:
        """Start the journal's writer, the periodic tasks and the node's timers."""
        self.observe_pools()
        self.loop.spawn(self.run_journal_writer, lambda: None)
        self.loop.call_at(self.now, self, self.run_periodic_tasks)
        self.flush()

    def on_pools_changed(self) -> None:
        """Observe the pools of a new configuration and drain their upstreams as ordered."""
        self.observe_pools()
        self.apply_orders()

    def observe_pools(self) -> None:
        """Count the finished requests of all pools."""
        for pool in self.process.pools.values():
            pool.on_request_finished = self.on_request_finished

    def leave(self) -> None:
        """Hand over leadership before the process ends."""
        self.node.transfer_leadership()
        self.flush()

    def on_request_finished(self, request: PendingRequest, how: str) -> None:
        """Count a request that has its final answer."""
        self.requests_finished += 1
        if how == Outcome.SUCCEEDED:
            self.requests_on_time += (
                request.pool.now - request.arrived_at <= request.request_class.latency_objective
            )
        elif how == "scrapped":
            self.requests_scrapped += 1
        else:
            self.requests_turned_back += 1

    # Messages.

    def receive(self, sender: int, message: ConsensusMessage) -> None:
        """Handle a consensus message of another member; unknown senders are ignored."""
        member = self.link.members.members.get(sender)
        if member is None:
            return
        name = member.metadata.name
        now = self.loop.clock()
        if message.kind == MEMBER_REPORT:
            self.on_member_report(name, sender, message, now)
            return
        if message.kind == STALE_DISK:
            self.on_stale_disk(message)
            return
        self.node.receive(message, name, now)

    def on_member_report(self, name: str, sender: int, message: ConsensusMessage, now: int) -> None:
        """Hand a member's report to the rollout controller, while this process leads."""
        if self.controller is None:
            return
        try:
            report: MemberReport = msgspec.msgpack.decode(message.data, type=MemberReport)
        except (msgspec.DecodeError, ValueError):
            return
        self.controller.on_report(name, sender, report, now)

    def on_stale_disk(self, message: ConsensusMessage) -> None:
        """Start over with a new disk id if this disk is an old copy.

        Another member has heard a higher version of this disk than it had when this process
        started. An old copy could vote a second time in a term or lack entries that it confirmed.
        """
        known_version = message.arg1
        disk_id = message.arg2
        old = self.node
        if disk_id != old.disk_id or known_version <= self.disk_version_at_start:
            return
        log.warning("consensus_log_stale", disk=f"{old.disk_id:x}", known=known_version)
        self.state_machine.restore(b"")
        self.node = RaftNode(
            self.link.spec.name,
            PersistentState(),
            self.state_machine,
            self.loop.clock(),
            Random(self.random.random()),
        )
        # The journal goes on: records that are being written keep their numbers.
        self.node.records_issued = old.records_issued
        self.node.records_synced = old.records_synced
        self.node.pending_records = old.pending_records
        self.assign_disk_id()
        self.disk_version_at_start = 0
        self.records_pending.set()

    def on_announcement(self, member: int, contents: bytes) -> None:
        """Take note of another member's cluster, disk and commit index; tell it if its disk is old."""
        sender = self.link.members.members.get(member)
        try:
            cluster_id, disk_id, term, commit_index, leader_disk, disk_version = map(
                int, unpack(contents)
            )
        except (msgspec.DecodeError, ValueError, TypeError):
            return
        if (
            sender is None
            or min(cluster_id, disk_id, term, commit_index, leader_disk, disk_version) < 0
        ):
            return
        name = sender.metadata.name
        self.has_heard_announcement = True
        if name in self.announced_disks or len(self.announced_disks) < MAX_KNOWN_MEMBERS:
            self.announced_disks[name] = disk_id, cluster_id
        last_member, highest_version = self.known_disks.get(disk_id, (member, 0))
        if last_member != member and disk_version < highest_version:
            message = ConsensusMessage(
                STALE_DISK, self.node.cluster_id, self.node.disk_id, 0, highest_version, disk_id
            )
            self.link.members.send_consensus_messages([(member, message)], self.loop.clock())
        elif disk_id in self.known_disks or len(self.known_disks) < MAX_KNOWN_MEMBERS:
            self.known_disks[disk_id] = member, max(disk_version, highest_version)
        self.node.now = max(self.node.now, self.loop.clock())
        self.node.on_commit_announced(name, cluster_id, commit_index, term, leader_disk)

    def connected_members(self) -> dict[str, int]:
        """Return the ids of the members that are connected, by name."""
        members = self.link.members
        if self.member_ids_version != members.change_count:
            self.member_ids_version = members.change_count
            self.member_ids = {
                member.metadata.name: member.id
                for member in members.members.values()
                if member.connected
            }
        return self.member_ids

    def flush(self) -> None:
        """Send messages, wake the journal's writer and act on what is committed."""
        node = self.node
        member_ids = self.connected_members()
        messages = [
            (member_ids[to], message) for to, message in node.take_messages() if to in member_ids
        ]
        if messages:
            self.link.members.send_consensus_messages(messages, self.loop.clock())
            self.link.pass_on()
        if node.pending_records:
            self.records_pending.set()
        for nonce, index in node.read_results:
            if nonce in self.read_indexes:
                self.read_indexes[nonce] = index
        node.read_results = []
        for name, fields in node.events:
            self.emit_event(name, **fields)
        node.events = []
        if self.has_unsaved_commit():
            self.records_pending.set()
        if node.commit_index != self.seen_commit:
            self.seen_commit = node.commit_index
            self.link.members.publish(LOG_PROGRESS_CHANNEL, node.announcement(self.disk_version))
        if self.state_machine.changes != self.seen_changes or self.is_relearning:
            self.seen_changes = self.state_machine.changes
            self.apply_orders()
        self.schedule()

    def emit_event(self, name: str, **fields: Any) -> None:
        """Write an event to the log and to those who watch the control socket."""
        self.link.say_event(name, fields)

    def schedule(self) -> None:
        """Schedule the node's next tick unless an earlier one is scheduled."""
        deadline = self.node.next_deadline()
        if not self.scheduled_tick or deadline < self.scheduled_tick:
            self.scheduled_tick = deadline
            self.loop.call_at(deadline, self, self.tick, deadline)

    def tick(self, deadline: int) -> None:
        """Let the node do what is due; a tick that an earlier one has replaced does nothing."""
        if deadline == self.scheduled_tick:
            self.scheduled_tick = 0
            self.node.tick(self.now)
            self.flush()

    # Periodic tasks.

    def run_periodic_tasks(self) -> None:
        """Announce, bootstrap, lead, report and resend, and schedule the next run."""
        now = self.now = self.loop.clock()
        state = self.state_machine.state
        is_busy = bool(state.rollout or state.drains or self.pending_commands)
        self.loop.call_at(now + (BUSY_PERIOD if is_busy else PERIOD), self, self.run_periodic_tasks)
        self.link.members.publish(LOG_PROGRESS_CHANNEL, self.node.announcement(self.disk_version))
        self.update_is_current(now)
        self.bootstrap_if_ready()
        if self.node.role == LEADER:
            if self.controller is None:
                self.controller = RolloutController(now, self.spec.write_off)
                self.controller.known_zones = {
                    name: view.zone for name, view in self.member_views().items() if view.is_present
                }
            self.run_as_leader(now)
        else:
            self.controller = None
        self.send_report()
        self.resend_commands(now)
        self.check_release_connectivity(now)
        self.flush()

    def update_is_current(self, now: int) -> None:
        """Decide whether this process knows its orders, or has waited for them long enough."""
        if self.is_current:
            return
        has_waited = now - self.started_at >= self.spec.wait
        node = self.node
        is_up_to_date = node.has_latest_commit() if node.cluster_id else self.is_fleet_new()
        if has_waited or is_up_to_date:
            self.is_current = True
            if has_waited:
                log.warning(
                    "consensus_quorum_lost",
                    waited_ms=(now - self.started_at) // MS,
                    lines=self.node.commit_index,
                )
            self.apply_orders()

    def is_fleet_new(self) -> bool:
        """Return whether no other member that is heard is part of a cluster, so that there are no orders."""
        return self.has_heard_announcement and all(
            cluster_id == 0 for _, cluster_id in self.announced_disks.values()
        )

    def bootstrap_if_ready(self) -> None:
        """Begin a cluster if this is the first voter and all voters are connected without one."""
        node = self.node
        voters = self.spec.voters
        if node.cluster_id or not voters or voters[0] != self.link.spec.name:
            return
        connected = self.connected_members()
        disks = {self.link.spec.name: node.disk_id}
        for name in voters[1:]:
            disk_id, cluster_id = self.announced_disks.get(name, (0, 1))
            if name not in connected or cluster_id or not disk_id:
                return
            disks[name] = disk_id
        header = CommandHeader(
            self.random.getrandbits(62) | 1,
            self.link.spec.name,
            "as its file has it",
            wall_clock_ms(),
        )
        cluster_id = (self.random.getrandbits(40) | 1) * CLUSTER_ID_STRIDE
        set_budget = encode(SetBudget(header, list(self.spec.permits)))
        node.bootstrap(cluster_id, disks, [(EntryKind.SET_BUDGET, set_budget)])
        log.info("consensus_bootstrapped", record=f"{cluster_id:x}", voters=",".join(disks))

    def run_as_leader(self, now: int) -> None:
        """Let the rollout controller propose entries, and repair the set of voters."""
        assert self.controller
        self.controller.on_report(
            self.link.spec.name,
            self.link.members.metadata.id,
            with_memory_usage(self.build_report()),
            now,
        )
        for kind, data in self.controller.reconcile(now, self.member_views(), self.state_machine):
            self.node.propose(kind, data)
        self.reconcile_voters()

    def reconcile_voters(self) -> None:
        """Remove a voter whose disk was replaced; add a configured one that has joined the cluster."""
        node = self.node
        connected = self.connected_members()
        config = node.config
        for name, disk_id in config.items():
            announced_disk, _ = self.announced_disks.get(name, (disk_id, 0))
            if name != node.name and name in connected and announced_disk != disk_id:
                self.change_voters({one: disk for one, disk in config.items() if one != name})
                return
        for name in self.spec.voters:
            announced_disk, cluster_id = self.announced_disks.get(name, (0, 0))
            if (
                name not in config
                and name in connected
                and announced_disk
                and cluster_id == node.cluster_id
            ):
                self.change_voters({**config, name: announced_disk})
                return

    def change_voters(self, config: dict[str, int]) -> str:
        """Begin to add or remove one voter; return why it can't be done now, or nothing."""
        refusal = self.node.change_voters(config)
        if not refusal:
            self.emit_event("consensus_voters_changed", voters=",".join(config))
        return refusal

    def member_views(self) -> dict[str, MemberView]:
        """Return the fleet's members by name, as this process sees them."""
        members = self.link.members
        own = members.metadata
        views = {own.name: MemberView(own.name, own.id, own.zone, not self.process.stopping)}
        for member in members.members.values():
            name = member.metadata.name
            is_present = member.state in (ALIVE, SUSPECT)
            # A name may have several runs: the one that is present counts.
            if name not in views or (is_present and not views[name].is_present):
                views[name] = MemberView(
                    name, member.id, member.metadata.zone, is_present, member.unreachable
                )
        return views

    # Orders and reports.

    @property
    def orders(self) -> MemberOrders:
        """What the fleet has committed for this process."""
        return self.state_machine.orders_for(self.link.spec.name)

    def knows_orders(self) -> bool:
        """Return whether what is committed here, or that there is nothing, is known at all."""
        if self.is_relearning:
            return False
        return self.node.commit_index > 0 or (not self.node.cluster_id and self.is_fleet_new())

    def update_is_relearning(self) -> None:
        """Begin to relearn the log where another one replaces it, until it is known to its end."""
        node = self.node
        if node.cluster_id != self.seen_cluster_id:
            self.is_relearning = self.is_relearning or self.seen_cluster_id != 0
            self.seen_cluster_id = node.cluster_id
        if self.is_relearning:
            self.is_relearning = not node.commit_index or node.is_behind()

    def apply_orders(self) -> None:
        """Carry out the committed drains, release and build of this process.

        Where they are not known, this process goes on by what it has.
        """
        self.update_is_relearning()
        if not self.knows_orders():
            self.process.out_of_rotation = self.is_drained or not self.is_current
            return
        orders = self.orders
        self.process.out_of_rotation = orders.is_drained or not self.is_current
        if self.is_current and orders.is_drained != self.is_drained:
            self.is_drained = orders.is_drained
            self.emit_event(
                "drain_started" if self.is_drained else "drain_finished",
                revision=self.state_machine.state.revision,
            )
            self.link.share(not self.is_drained)
        for pool in self.process.pools.values():
            pool.set_drained(frozenset(self.state_machine.drained_upstreams(pool.name)))
        if self.avoided_content is not None and orders.content_hash != self.avoided_content:
            self.avoided_content = None
        if self.refused_content is not None and orders.content_hash != self.refused_content:
            self.refused_content = None
            self.refusal_reason = ""
        wanted = orders.content_hash
        if (
            self.is_current
            and not self.switching
            and wanted not in (self.running_content, self.avoided_content, self.refused_content)
        ):
            data = self.state_machine.read_file(wanted) if wanted else b""
            if data is not None:
                self.start_switch(wanted, data)
        self.apply_build_order(orders)

    def apply_build_order(self, orders: MemberOrders) -> None:
        """Stop this process if another build is ordered: its supervisor starts that build."""
        if not self.is_current:
            return
        if self.first_build is None:
            # The supervisor may not have the build that was ordered before this process started;
            # stopping for it would only restart this one again and again.
            self.first_build = orders.build
        is_expected = orders.build in ("", self.spec.build, self.first_build)
        if not is_expected and not self.process.stopping:
            self.emit_event("release_finished", build=self.spec.build, wanted=orders.build)
            self.process.stop()
        if orders.build == self.spec.build:
            self.first_build = orders.build

    def start_switch(self, wanted: str, data: bytes) -> None:
        """Start to switch to another release in the background."""
        self.switching = True
        self.loop.spawn(lambda: self.switch_release(wanted, data), self.on_switch_ended)

    def on_switch_ended(self) -> None:
        """Allow the next switch."""
        self.switching = False

    def refuse_release(self, wanted: str, fault: object) -> None:
        """Remember that a release can't be applied, until another one is wanted."""
        self.refused_content = wanted
        self.refusal_reason = str(fault)[:MAX_REFUSAL_LENGTH]
        self.switching = False

    async def switch_release(self, wanted: str, data: bytes) -> None:
        """Apply a release (compressed; empty: the process's own file) entirely or not at all."""
        try:
            text = release_file_text(wanted, data)
            reader = cast(ReleaseReader, self.process.read_config)
            spec = await anyio.to_thread.run_sync(reader.check, text)
        except (ConfigFault, ValueError, zlib.error) as fault:
            self.refuse_release(wanted, fault)
            self.emit_event("release_refused", content=wanted, fault=self.refusal_reason)
            self.loop.dispatch(self, self.send_report)
            return
        try:
            await anyio.to_thread.run_sync(self.write_release_file, text)
        except OSError as fault:
            self.refuse_release(wanted, fault)
            log.warning("release_file_failed", file=self.release_file, fault=fault)
            return
        self.previous_content = self.running_content
        await self.process.reload()
        self.switching = False
        if self.process.spec.revision != spec.revision:
            self.refuse_release(wanted, "could not be applied")
            previous = (
                self.state_machine.read_file(self.previous_content)
                if self.previous_content
                else None
            )
            previous_text = release_file_text(self.previous_content, previous or b"")
            await anyio.to_thread.run_sync(self.write_release_file, previous_text)
        else:
            self.running_content = wanted
            self.switched_at = self.loop.clock()
            self.emit_event(
                "release_applied", content=wanted or "own", before=self.previous_content or "own"
            )
        self.loop.dispatch(self, self.on_release_switched)

    def on_release_switched(self) -> None:
        """Apply orders that came during the switch, and report it."""
        self.apply_orders()
        self.send_report()
        self.flush()

    def write_release_file(self, text: bytes | None) -> None:
        """Replace the release file atomically, or remove it (None)."""
        if text is None:
            self.release_file.unlink(missing_ok=True)
            return
        temporary = self.release_file.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(text)
            file.flush()
            os.fdatasync(file.fileno())
        temporary.replace(self.release_file)

    def check_release_connectivity(self, now: int) -> None:
        """Roll a release back here if this process lost the majority of the fleet with it.

        A process that is partitioned by its release can't be ordered to roll it back. After
        `cut_off` a release with which the process is still connected counts as good.
        """
        if not self.switched_at or self.switching:
            return
        is_trial_over = now - self.switched_at > self.spec.cut_off
        if self.link.members.position in ("whole", "larger"):
            if is_trial_over:
                self.switched_at = 0
            return
        if is_trial_over:
            log.warning(
                "release_rolled_back",
                content=self.running_content,
                position=self.link.members.position,
            )
            self.avoided_content = self.running_content
            self.switched_at = 0
            data = (
                self.state_machine.read_file(self.previous_content)
                if self.previous_content
                else b""
            )
            self.start_switch(self.previous_content, data or b"")

    def build_report(self) -> MemberReport:
        """Return this process's state as the leader needs it."""
        process = self.process
        orders = self.orders
        is_idle = not process.in_flight() and not any(
            front.has_pending_responses() for front in process.frontends
        )
        idle_drains: list[int] = []  # permits of drained upstreams without requests from here
        for pool in process.pools.values():
            idle_drains += [
                permit
                for host, permit in self.state_machine.drained_upstreams(pool.name).items()
                if not pool.in_flight_at(host)
            ]
        return MemberReport(
            self.saved_commit_index(),  # no drain is done that a restart would forget
            self.running_content,
            self.spec.build,
            process.ready(),
            orders.is_drained,
            orders.is_drained and process.out_of_rotation and is_idle,
            self.refused_content or "",
            self.refusal_reason,
            tuple(idle_drains[:MAX_REPORTED_DRAINS]),
            self.requests_finished,
            self.requests_on_time,
            self.requests_scrapped,
            self.requests_turned_back,
        )

    def send_report(self) -> None:
        """Report to the leader if something important changed, else once an interval."""
        node = self.node
        now = self.loop.clock()
        state = self.state_machine.state
        if not node.leader or node.leader == node.name or not node.cluster_id:
            return
        report = self.build_report()
        interval = BUSY_REPORT_INTERVAL if state.rollout or state.drains else REPORT_INTERVAL
        if (
            report_signature(report) == report_signature(self.last_report)
            and now - self.last_report_at < interval
        ):
            return
        self.last_report = report
        self.last_report_at = now
        node.send(node.leader, MEMBER_REPORT, data=encode(with_memory_usage(report)))

    # Operators' commands and questions.

    def submit_command(self, kind: int, data: bytes, done: Callable[[], bool]) -> bool:
        """Send a command to the leader until it is applied here; return whether there is room."""
        if len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            return False
        self.pending_commands.append(PendingCommand(kind, data, done, self.loop.clock()))
        self.resend_commands(self.loop.clock())
        self.flush()
        return True

    def resend_commands(self, now: int) -> None:
        """Send pending commands that are due to the leader; drop the applied and expired ones."""
        node = self.node
        sent = 0
        self.pending_commands = [
            command
            for command in self.pending_commands
            if not command.done() and now - command.since < COMMAND_TIMEOUT
        ]
        for command in self.pending_commands:
            if now - command.sent < COMMAND_RETRY_INTERVAL or sent >= MAX_COMMANDS_PER_RESEND:
                continue
            if node.role == LEADER:
                node.propose(command.kind, command.data)
            elif node.leader:
                node.send(
                    node.leader, FORWARD_COMMAND, entries=[LogEntry(0, command.kind, command.data)]
                )
            else:
                continue
            command.sent = now
            sent += 1

    def request_read(self, nonce: int) -> None:
        """Ask the leader for the read index, unless it has answered this nonce already."""
        if len(self.read_indexes) >= MAX_PENDING_READS:
            del self.read_indexes[next(iter(self.read_indexes))]
        self.read_indexes.setdefault(nonce, 0)
        if not self.read_indexes[nonce]:
            self.node.request_read_index(nonce)
            self.flush()

    def is_read_complete(self, nonce: int) -> bool:
        """Return whether all that was committed when the read was requested is applied here."""
        index = self.read_indexes.get(nonce, 0)
        return bool(index) and self.node.last_applied >= index

    def recover(self) -> None:
        """Continue as the only voter, by an operator's decision after a quorum is lost for good."""
        log.warning("consensus_recovered", lines=self.node.last_index, term=self.node.term)
        self.node.recover()
        self.flush()

    def status(self) -> dict[str, Any]:
        """Return the node's and this process's state, for the control socket."""
        node = self.node
        state = self.state_machine.state
        return {
            "record": f"{node.cluster_id:x}",
            "role": ROLES[node.role],
            "leader": node.leader,
            "term": node.term,
            "line": node.commit_index,
            "revision": state.revision,
            "voters": sorted(node.config),
            "votes": node.is_voter,
            "disk": self.disk_error or "well",
            "digest": hash_file(self.state_machine.snapshot()),
            "runs": self.running_content,
            "build": self.spec.build,
            "current": self.is_current,
            "aside": self.process.out_of_rotation,
        }


def disk_version_of(state: PersistentState | RaftNode) -> int:
    """Return a number that rises with each vote, term and entry; an old copy of a disk has a lower one."""
    last_index = state.log_offset + len(state.entries)
    return state.term << 32 | min(2 * last_index + bool(state.voted_for), 2**32 - 1)


def warn_if_torn(path: str, torn_bytes: int, kept_bytes: int) -> None:
    """Log that the last record of a file was cut short by a kill, if it was."""
    if torn_bytes:
        log.warning("consensus_log_torn", file=path, kept=kept_bytes, cut=torn_bytes)


def report_signature(report: MemberReport) -> tuple[Any, ...]:
    """Return the parts of a report whose change the leader is told at once."""
    return (
        report.applied_index,
        report.content_hash,
        report.build,
        report.is_ready,
        report.is_drained,
        report.refused_content,
        report.idle_drains,
    )


def with_memory_usage(report: MemberReport) -> MemberReport:
    """Return a report with this process's memory, which is read only for reports that are sent."""
    return msgspec.structs.replace(report, memory_bytes=resident_memory_bytes())


def wall_clock_ms() -> int:
    """Return milliseconds since the epoch, for people to read; nothing is decided by them."""
    return int(time.time() * 1000)


def decompress_release(data: bytes) -> bytes:
    """Return the text of a release.

    Raises ValueError for one that is too large or truncated, zlib.error for corrupt data.
    """
    engine = zlib.decompressobj()
    text = engine.decompress(data, MAX_RELEASE_BYTES)
    if engine.unconsumed_tail or not engine.eof:
        raise ValueError(f"release file is truncated or larger than {MAX_RELEASE_BYTES} bytes")
    return text


def release_file_text(content: str, data: bytes) -> bytes | None:
    """Return the text of the release file, with the release's hash in its first line.

    None stands for no release. Raises as `decompress_release` does.
    """
    return b"# release %s\n" % content.encode() + decompress_release(data) if data else None


def compress_release(text: bytes) -> tuple[str, bytes]:
    """Return the hash by which the log refers to a release, and its compressed text."""
    data = zlib.compress(text, 9)
    return hash_file(data), data


def release_chunks(data: bytes) -> Iterator[dict[str, str | int]]:
    """Yield a compressed release in chunks, as the control socket takes them."""
    for offset in range(0, len(data), RELEASE_CHUNK_BYTES):
        yield {
            "at": offset,
            "size": len(data),
            "data": base64.b64encode(data[offset : offset + RELEASE_CHUNK_BYTES]).decode(),
        }


def resident_memory_bytes() -> int:
    """Return the resident memory of this process; 0 where the system does not tell it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * MEMORY_PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
