"""Puts the record beside the process: its file, its talks, what the process is told to do, what it
reports.

Hands time, talks and word of the disk to `agreement`, what is agreed to pools and the process,
commands of operators to whoever leads; asks `controller` while this one leads. Must never decide
anything, act on what is not agreed, wait for a disk or a member on the request path, or call done
what the record does not.
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
from whinpier.fleet.consensus import node as raft
from whinpier.fleet.consensus.node import (
    LEADER,
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
JOURNAL_MAGIC = b"whinpier bank record 1\n"
MAX_RECORD_BYTES = 6 << 20  # bytes of a note: a whole state fits
REWRITE_MIN_BYTES, REWRITE_GROWTH_FACTOR = (
    1 << 20,
    2,
)  # bytes below which the file is not rewritten; times what is live that it may hold
WRITE_RETRY_SECONDS = 0.5  # seconds until what could not be written is tried again
PERIOD, BUSY_PERIOD = SECOND // 4, SECOND // 10  # between looks; while a drain or release is on
REPORT_INTERVAL, BUSY_REPORT_INTERVAL = 2 * SECOND, 400 * MS  # between reports that say nothing new
MAX_PENDING_COMMANDS, COMMAND_RETRY_INTERVAL, COMMAND_TIMEOUT = (
    256,
    250 * MS,
    60 * SECOND,
)  # commands on their way: how many, how often, how long
MAX_RELEASE_BYTES = 1 << 20  # bytes of a released file
RELEASE_CHUNK_BYTES = (
    560  # bytes of a file in one line of the record: with its names it fits into a control line
)
RELEASE_HEADER = re.compile(rb"# release ([0-9a-f]{1,64})\n")
MEMORY_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ReleaseReader(Protocol):
    """Reads the process's file, with what was released over it."""

    def __call__(self) -> Spec: ...

    def check(self, released: bytes | None) -> Spec:
        """What the file comes to with another release over it; raises ConfigFault."""


class PendingCommand:
    """A command on its way into the record."""

    __slots__ = ("kind", "data", "done", "since", "sent")

    def __init__(self, kind: int, data: bytes, done: Callable[[], bool], now: int) -> None:
        self.kind, self.data, self.done, self.since, self.sent = (
            kind,
            data,
            done,
            now,
            now - COMMAND_RETRY_INTERVAL,
        )


class ConsensusService:
    """This process's part in the record."""

    def __init__(self, link: Link, spec: AgreementSpec) -> None:
        self.link, self.spec, self.loop, self.process = link, spec, link.loop, link.process
        self.now = self.started_at = self.loop.clock()
        self.random = Random(
            Random().getrandbits(64)
        )  # numbers of disks and commands are nobody else's
        self.journal = AppendLog(str(Path(spec.folder) / "record"), JOURNAL_MAGIC, MAX_RECORD_BYTES)
        self.release_file = Path(spec.folder) / RELEASE_FILE_NAME
        copy = self.open_journal()
        self.disk_version = self.disk_version_at_start = disk_version_of(
            copy
        )  # how much this disk has promised
        self.state_machine = RolloutStateMachine()
        pace = raft.RaftTiming()
        self.node = RaftNode(
            link.spec.name,
            copy,
            self.state_machine,
            self.now,
            Random(self.random.random()),
            pace,
            pace.election_timeout if copy.cluster_id else 0,
        )
        if not copy.disk_id:
            self.assign_disk_id()
        self.records_pending, self.disk_error = anyio.Event(), ""
        self.known_disks: dict[
            int, tuple[int, int]
        ] = {}  # by disk: whose run told of it, how much it has promised
        self.announced_disks: dict[
            str, tuple[int, int]
        ] = {}  # by name: which disk a member has, of which record
        self.has_heard_announcement = False
        self.controller: RolloutController | None = None
        self.pending_commands: list[PendingCommand] = []
        self.read_indexes: dict[int, int] = {}  # by nonce: up to which line; 0: not known yet
        self.seen_changes, self.seen_commit = -1, -1
        self.running_content = self.read_released_content()
        self.previous_content, self.switched_at = (
            self.running_content,
            0,
        )  # what ran before the last switch, and when that was
        self.switching, self.refusal_reason = False, ""
        self.avoided_content: str | None = None  # a file that cut this process off
        self.refused_content: str | None = None  # one that it does not take
        self.first_build: str | None = None
        self.requests_finished = self.requests_on_time = self.requests_scrapped = (
            self.requests_turned_back
        ) = 0
        self.last_report, self.last_report_at = MemberReport(), self.now - REPORT_INTERVAL
        self.is_current, self.scheduled_tick, self.is_drained = False, 0, False
        self.process.out_of_rotation = True  # till it has learned what it is to do
        self.member_ids: dict[str, int] = {}
        self.member_ids_version = -1

    # The file.

    def assign_disk_id(self) -> None:
        """From now on this file is another disk than any before."""
        self.node.disk_id = self.random.getrandbits(62) | 1
        self.node.add_record(raft.IDENTITY_RECORD, 0, self.node.disk_id)

    def open_journal(self) -> PersistentState:
        """Open the log and replay it. Raises AppendLogError where it can't be used."""
        Path(self.spec.folder).mkdir(parents=True, exist_ok=True)
        notes = self.journal.open()
        try:
            copy = replay_journal(notes)
        except (ValueError, TypeError, IndexError) as fault:
            self.journal.close()
            raise AppendLogError(
                self.journal.path, f"{fault}; move it away to begin as a new voter"
            ) from None
        if self.journal.torn_bytes:
            log.warning(
                "consensus_log_torn",
                file=self.journal.path,
                kept=self.journal.size,
                cut=self.journal.torn_bytes,
            )
        log.info(
            "agreement",
            record=f"{copy.cluster_id:x}",
            disk=f"{copy.disk_id:x}",
            term=copy.term,
            lines=copy.log_offset + len(copy.entries),
        )
        return copy

    def read_released_content(self) -> str:
        """Which released file is in force, by its first line."""
        try:
            with self.release_file.open("rb") as file:
                found = RELEASE_HEADER.match(file.read(100))
        except OSError:
            return ""
        return found[1].decode() if found else ""

    async def run_journal_writer(self) -> None:
        """Notes to the disk, off the loop, as they come."""
        try:
            while True:
                await self.records_pending.wait()
                self.records_pending = anyio.Event()
                while self.node.pending_records:
                    if not await self.write_pending_records():
                        await anyio.sleep(WRITE_RETRY_SECONDS)
                    self.loop.dispatch(self, self.flush)
        finally:
            self.journal.close()

    async def write_pending_records(self) -> bool:
        """What there is now; whether it is on the disk."""
        agreement, journal = self.node, self.journal
        notes, count, stamp = (
            list(agreement.pending_records),
            agreement.records_issued,
            disk_version_of(agreement),
        )
        anew = any(note[0] in (raft.IDENTITY_RECORD, raft.SNAPSHOT_RECORD) for note in notes) or (
            journal.size > REWRITE_MIN_BYTES + REWRITE_GROWTH_FACTOR * len(agreement.snapshot)
        )
        whole = compact_journal(agreement.persistent_state()) if anew else []
        try:
            if anew:
                await anyio.to_thread.run_sync(journal.compact, whole)
            else:
                await anyio.to_thread.run_sync(journal.append, b"".join(map(encode_record, notes)))
        except OSError as fault:
            if not self.disk_error:
                log.warning("consensus_log_failed", file=journal.path, fault=fault)
            self.disk_error = str(fault)
            return False
        if self.disk_error:
            log.info("consensus_log_recovered", file=journal.path)
            self.disk_error = ""
        del agreement.pending_records[: len(notes)]
        self.disk_version = stamp
        agreement.on_records_synced(count)
        return True

    # The life of the process.

    def start(self) -> None:
        self.observe_pools()
        self.loop.spawn(self.run_journal_writer, lambda: None)
        self.loop.call_at(self.now, self, self.run_periodic_tasks)
        self.flush()

    def on_pools_changed(self) -> None:
        """Pools may be others now."""
        self.observe_pools()
        self.apply_orders()

    def observe_pools(self) -> None:
        for pool in self.process.pools.values():
            pool.on_request_finished = self.on_request_finished

    def leave(self) -> None:
        self.node.transfer_leadership()
        self.flush()

    def on_request_finished(self, request: PendingRequest, how: str) -> None:
        """A request has its final answer."""
        self.requests_finished += 1
        if how == Outcome.SUCCEEDED:
            self.requests_on_time += (
                request.pool.now - request.arrived_at <= request.request_class.latency_objective
            )
        elif how == "scrapped":
            self.requests_scrapped += 1
        else:
            self.requests_turned_back += 1

    # Talks.

    def receive(self, sender: int, talk: ConsensusMessage) -> None:
        """A talk from another member."""
        member = self.link.members.members.get(sender)
        if member is None:
            return
        name, now = member.metadata.name, self.loop.clock()
        if talk.kind == MEMBER_REPORT:
            self.on_member_report(name, sender, talk, now)
            return
        if talk.kind == STALE_DISK:
            self.on_stale_disk(talk)
            return
        self.node.receive(talk, name, now)

    def on_member_report(self, name: str, sender: int, talk: ConsensusMessage, now: int) -> None:
        if self.controller is None:
            return
        try:
            report: MemberReport = msgspec.msgpack.decode(talk.data, type=MemberReport)
        except (msgspec.DecodeError, ValueError):
            return
        self.controller.on_report(name, sender, report, now)

    def on_stale_disk(self, talk: ConsensusMessage) -> None:
        """Another knows that this disk has promised more than its file knew when this run began."""
        agreement = self.node
        if talk.arg2 != agreement.disk_id or talk.arg1 <= self.disk_version_at_start:
            return
        log.warning("consensus_log_stale", disk=f"{agreement.disk_id:x}", known=talk.arg1)
        noted, synced, waiting = (
            agreement.records_issued,
            agreement.records_synced,
            agreement.pending_records,
        )
        self.state_machine.restore(b"")
        self.node = RaftNode(
            self.link.spec.name,
            PersistentState(),
            self.state_machine,
            self.loop.clock(),
            Random(self.random.random()),
        )
        self.node.records_issued, self.node.records_synced, self.node.pending_records = (
            noted,
            synced,
            waiting,
        )
        self.assign_disk_id()
        self.disk_version_at_start = 0
        self.records_pending.set()

    def on_announcement(self, member: int, contents: bytes) -> None:
        there = self.link.members.members.get(member)
        try:
            record, disk, term, commit, leader, stamp = map(int, unpack(contents))
        except (msgspec.DecodeError, ValueError, TypeError):
            return
        if there is None or min(record, disk, term, commit, leader, stamp) < 0:
            return
        name = there.metadata.name
        self.has_heard_announcement = True
        if name in self.announced_disks or len(self.announced_disks) < 4_096:
            self.announced_disks[name] = disk, record
        run, most = self.known_disks.get(disk, (member, 0))
        if run != member and stamp < most:
            talk = ConsensusMessage(
                STALE_DISK, self.node.cluster_id, self.node.disk_id, 0, most, disk
            )
            self.link.members.send_consensus_messages([(member, talk)], self.loop.clock())
        elif disk in self.known_disks or len(self.known_disks) < 4_096:
            self.known_disks[disk] = member, max(stamp, most)
        self.node.now = max(self.node.now, self.loop.clock())
        self.node.on_commit_announced(name, record, commit, term, leader)

    def connected_members(self) -> dict[str, int]:
        members = self.link.members
        if self.member_ids_version != members.change_count:
            self.member_ids_version = members.change_count
            self.member_ids = {
                one.metadata.name: one.id for one in members.members.values() if one.connected
            }
        return self.member_ids

    def flush(self) -> None:
        """Send what may be sent, write what is to be written, act on what is agreed."""
        agreement, names = self.node, self.connected_members()
        talks = [(names[to], talk) for to, talk in agreement.take_messages() if to in names]
        if talks:
            self.link.members.send_consensus_messages(talks, self.loop.clock())
            self.link.pass_on()
        if agreement.pending_records:
            self.records_pending.set()
        for nonce, index in agreement.read_results:
            if nonce in self.read_indexes:
                self.read_indexes[nonce] = index
        agreement.read_results = []
        for name, pairs in agreement.events:
            self.emit_event(name, **pairs)
        agreement.events = []
        if agreement.commit_index != self.seen_commit:
            self.seen_commit = agreement.commit_index
            self.link.members.publish(
                LOG_PROGRESS_CHANNEL, agreement.announcement(self.disk_version)
            )
        if self.state_machine.changes != self.seen_changes:
            self.seen_changes = self.state_machine.changes
            self.apply_orders()
            self.send_report()
        self.schedule()

    def emit_event(self, name: str, **pairs: Any) -> None:
        """To the log, and to whoever watches."""
        self.link.say_event(name, pairs)

    def schedule(self) -> None:
        due = self.node.next_deadline()
        if not self.scheduled_tick or due < self.scheduled_tick:
            self.scheduled_tick = due
            self.loop.call_at(due, self, self.tick, due)

    def tick(self, due: int) -> None:
        if due == self.scheduled_tick:
            self.scheduled_tick = 0
            self.node.tick(self.now)
            self.flush()

    # Looking round.

    def run_periodic_tasks(self) -> None:
        """Once in a while: begin a record, lead, report, ask again."""
        now = self.now = self.loop.clock()
        state = self.state_machine.state
        busy = bool(state.rollout or state.drains or self.pending_commands)
        self.loop.call_at(now + (BUSY_PERIOD if busy else PERIOD), self, self.run_periodic_tasks)
        self.link.members.publish(LOG_PROGRESS_CHANNEL, self.node.announcement(self.disk_version))
        self.update_is_current(now)
        self.bootstrap_if_ready()
        if self.node.role == LEADER:
            if self.controller is None:
                self.controller = RolloutController(now, self.spec.write_off)
                self.controller.known_zones = {
                    name: seat.zone for name, seat in self.member_views().items() if seat.is_present
                }
            self.run_as_leader(now)
        else:
            self.controller = None
        self.send_report()
        self.resend_commands(now)
        self.check_release_connectivity(now)
        self.flush()

    def update_is_current(self, now: int) -> None:
        if self.is_current:
            return
        waited, agreement = now - self.started_at >= self.spec.wait, self.node
        if agreement.cluster_id:
            known = (
                bool(agreement.leader) and agreement.commit_index > 0 and not agreement.is_behind()
            )
        else:
            known = self.has_heard_announcement and all(
                record == 0 for _, record in self.announced_disks.values()
            )
        if waited or known:
            self.is_current = True
            if waited:
                log.warning(
                    "consensus_quorum_lost",
                    waited_ms=(now - self.started_at) // MS,
                    lines=self.node.commit_index,
                )
            self.apply_orders()

    def bootstrap_if_ready(self) -> None:
        """Begin a record where none is: the first voter does, once all of them are there, all blank."""
        agreement, voters = self.node, self.spec.voters
        if agreement.cluster_id or not voters or voters[0] != self.link.spec.name:
            return
        there = self.connected_members()
        disks = {self.link.spec.name: agreement.disk_id}
        for name in voters[1:]:
            disk, record = self.announced_disks.get(name, (0, 1))
            if name not in there or record or not disk:
                return
            disks[name] = disk
        said = CommandHeader(
            self.random.getrandbits(62) | 1,
            self.link.spec.name,
            "as its file has it",
            wall_clock_ms(),
        )
        number = (self.random.getrandbits(40) | 1) * raft.CLUSTER_ID_STRIDE
        agreement.bootstrap(
            number,
            disks,
            [(EntryKind.SET_BUDGET, encode(SetBudget(said, list(self.spec.permits))))],
        )
        log.info("consensus_bootstrapped", record=f"{number:x}", voters=",".join(disks))

    def run_as_leader(self, now: int) -> None:
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
        """A voter whose disk is another is taken out; one that the file names, and is there, is taken in."""
        agreement, there = self.node, self.connected_members()
        config = agreement.config
        for name, disk in config.items():
            known, record = self.announced_disks.get(name, (disk, 0))
            if name != agreement.name and name in there and known != disk:
                self.change_voters({one: at for one, at in config.items() if one != name})
                return
        for name in self.spec.voters:
            known, record = self.announced_disks.get(name, (0, 0))
            if name not in config and name in there and known and record == agreement.cluster_id:
                self.change_voters({**config, name: known})
                return

    def change_voters(self, config: dict[str, int]) -> str:
        fault = self.node.change_voters(config)
        if not fault:
            self.emit_event("consensus_voters_changed", voters=",".join(config))
        return fault

    def member_views(self) -> dict[str, MemberView]:
        """Who is there, as this process sees it."""
        members, own = self.link.members, self.link.members.metadata
        found = {own.name: MemberView(own.name, own.id, own.zone, not self.process.stopping)}
        for one in members.members.values():
            name = one.metadata.name
            here = one.state in (ALIVE, SUSPECT)
            if name not in found or here and not found[name].is_present:
                found[name] = MemberView(name, one.id, one.metadata.zone, here, one.unreachable)
        return found

    # What this process does and reports.

    @property
    def orders(self) -> MemberOrders:
        return self.state_machine.orders_for(self.link.spec.name)

    def apply_orders(self) -> None:
        """Do what is agreed, as far as it is this process's."""
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
            self.refused_content, self.refusal_reason = None, ""
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
        """End for another build: whoever keeps this process up starts that one."""
        if not self.is_current:
            return
        if self.first_build is None:
            # Guards against ending for a build that whoever starts this process does not have.
            self.first_build = orders.build
        known = orders.build in ("", self.spec.build, self.first_build)
        if not known and not self.process.stopping:
            self.emit_event("release_finished", build=self.spec.build, wanted=orders.build)
            self.process.stop()
        if orders.build == self.spec.build:
            self.first_build = orders.build

    def start_switch(self, wanted: str, data: bytes) -> None:
        self.switching = True
        self.loop.spawn(lambda: self.switch_release(wanted, data), self.on_switch_ended)

    def on_switch_ended(self) -> None:
        self.switching = False

    def refuse_release(self, wanted: str, fault: object) -> None:
        """This file is not taken, till another is wanted."""
        self.refused_content, self.refusal_reason, self.switching = wanted, str(fault)[:200], False

    async def switch_release(self, wanted: str, data: bytes) -> None:
        """Go on by another released file: all of it, or none."""
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
            held = (
                self.state_machine.read_file(self.previous_content)
                if self.previous_content
                else None
            )
            await anyio.to_thread.run_sync(
                self.write_release_file, release_file_text(self.previous_content, held or b"")
            )
        else:
            self.running_content, self.switched_at = wanted, self.loop.clock()
            self.emit_event(
                "release_applied", content=wanted or "own", before=self.previous_content or "own"
            )
        self.loop.dispatch(self, self.on_release_switched)

    def on_release_switched(self) -> None:
        self.apply_orders()
        self.send_report()
        self.flush()

    def write_release_file(self, text: bytes | None) -> None:
        """The released file in place of the old one, or none."""
        if text is None:
            self.release_file.unlink(missing_ok=True)
            return
        other = self.release_file.with_suffix(".new")
        with other.open("wb") as file:
            file.write(text)
            file.flush()
            os.fdatasync(file.fileno())
        other.replace(self.release_file)

    def check_release_connectivity(self, now: int) -> None:
        """A file that cuts this process off from the others is taken back here, as nobody can tell it to."""
        if not self.switched_at or self.switching:
            return
        if self.link.members.position in ("whole", "larger"):
            if now - self.switched_at > self.spec.cut_off:
                self.switched_at = 0  # it was tried for long enough
            return
        if now - self.switched_at > self.spec.cut_off:
            log.warning(
                "release_rolled_back",
                content=self.running_content,
                position=self.link.members.position,
            )
            self.avoided_content, self.switched_at = self.running_content, 0
            data = (
                self.state_machine.read_file(self.previous_content)
                if self.previous_content
                else b""
            )
            self.start_switch(self.previous_content, data or b"")

    def build_report(self) -> MemberReport:
        process, orders = self.process, self.orders
        idle = not process.in_flight() and not any(
            front.has_pending_responses() for front in process.frontends
        )
        clean: list[int] = []
        for pool in process.pools.values():
            clean += [
                number
                for host, number in self.state_machine.drained_upstreams(pool.name).items()
                if not pool.in_flight_at(host)
            ]
        return MemberReport(
            self.node.commit_index,
            self.running_content,
            self.spec.build,
            process.ready(),
            orders.is_drained,
            orders.is_drained and process.out_of_rotation and idle,
            self.refused_content or "",
            self.refusal_reason,
            tuple(clean[:64]),
            self.requests_finished,
            self.requests_on_time,
            self.requests_scrapped,
            self.requests_turned_back,
        )

    def send_report(self) -> None:
        """Tell the leader how this process report_signature, when something is new, and now and then."""
        agreement, now, state = self.node, self.loop.clock(), self.state_machine.state
        if not agreement.leader or agreement.leader == agreement.name or not agreement.cluster_id:
            return
        report = self.build_report()
        wait = BUSY_REPORT_INTERVAL if state.rollout or state.drains else REPORT_INTERVAL
        if (
            report_signature(report) == report_signature(self.last_report)
            and now - self.last_report_at < wait
        ):
            return
        self.last_report, self.last_report_at = report, now
        agreement.send(agreement.leader, MEMBER_REPORT, data=encode(with_memory_usage(report)))

    # Commands of operators.

    def submit_command(self, kind: int, data: bytes, done: Callable[[], bool]) -> bool:
        """Bring a command to whoever leads, until it is in the record; whether there is room."""
        if len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            return False
        self.pending_commands.append(PendingCommand(kind, data, done, self.loop.clock()))
        self.resend_commands(self.loop.clock())
        self.flush()
        return True

    def resend_commands(self, now: int) -> None:
        agreement, sent = self.node, 0
        self.pending_commands = [
            one
            for one in self.pending_commands
            if not one.done() and now - one.since < COMMAND_TIMEOUT
        ]
        for one in self.pending_commands:
            if now - one.sent < COMMAND_RETRY_INTERVAL or sent >= 16:
                continue
            if agreement.role == LEADER:
                agreement.propose(one.kind, one.data)
            elif agreement.leader:
                agreement.send(
                    agreement.leader, FORWARD_COMMAND, lines=[LogEntry(0, one.kind, one.data)]
                )
            else:
                continue
            one.sent, sent = now, sent + 1

    def request_read(self, nonce: int) -> None:
        """Ask what is agreed by now; `reads` will say up to which line."""
        if len(self.read_indexes) >= 64:
            del self.read_indexes[next(iter(self.read_indexes))]
        self.read_indexes.setdefault(nonce, 0)
        if not self.read_indexes[nonce]:
            self.node.request_read_index(nonce)
            self.flush()

    def is_read_complete(self, nonce: int) -> bool:
        """Whether all that was agreed when it was asked for is known here."""
        index = self.read_indexes.get(nonce, 0)
        return bool(index) and self.node.last_applied >= index

    def recover(self) -> None:
        """An operator says that most voters are lost for good, and that this copy is to go on."""
        log.warning("consensus_recovered", lines=self.node.commit_index, term=self.node.term)
        self.node.recover()
        self.flush()

    def status(self) -> dict[str, Any]:
        """How the record report_signature, for people."""
        agreement, state = self.node, self.state_machine.state
        return {
            "record": f"{agreement.cluster_id:x}",
            "role": raft.ROLES[agreement.role],
            "leader": agreement.leader,
            "term": agreement.term,
            "line": agreement.commit_index,
            "revision": state.revision,
            "voters": sorted(agreement.config),
            "votes": agreement.is_voter,
            "disk": self.disk_error or "well",
            "digest": hash_file(self.state_machine.snapshot()),
            "runs": self.running_content,
            "build": self.spec.build,
            "current": self.is_current,
            "aside": self.process.out_of_rotation,
        }


def disk_version_of(copy: PersistentState | RaftNode) -> int:
    """How much a disk has promised: rises with each vote, term and line; an old copy of its file
    has less.
    """
    last = copy.log_offset + len(copy.entries)
    return copy.term << 32 | min(2 * last + bool(copy.voted_for), 2**32 - 1)


def report_signature(report: MemberReport) -> tuple[Any, ...]:
    """What of a report the leader is told at once where it changes."""
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
    """A report that goes out, with what the process holds now: that is read only for it."""
    return msgspec.structs.replace(report, memory_bytes=resident_memory_bytes())


def wall_clock_ms() -> int:
    """For people to read; nothing is decided by it."""
    return int(time.time() * 1000)


def decompress_release(data: bytes) -> bytes:
    """A released file as it was. Raises ValueError for one that is too large, zlib.error for none."""
    engine = zlib.decompressobj()
    text = engine.decompress(data, MAX_RELEASE_BYTES)
    if engine.unconsumed_tail or not engine.eof:
        raise ValueError(f"the file is over {MAX_RELEASE_BYTES} bytes, or not whole")
    return text


def release_file_text(content: str, data: bytes) -> bytes | None:
    """A released file as it lies on the disk, its name in the first line; None without one. As
    `decompress_release`.
    """
    return b"# release %s\n" % content.encode() + decompress_release(data) if data else None


def compress_release(text: bytes) -> tuple[str, bytes]:
    """A file as it goes into the record, and its name there."""
    data = zlib.compress(text, 9)
    return hash_file(data), data


def release_chunks(data: bytes) -> Iterator[dict[str, str | int]]:
    """A file, as `compress_release` gives it, as a control socket takes it in: piece by piece."""
    for at in range(0, len(data), RELEASE_CHUNK_BYTES):
        yield {
            "at": at,
            "size": len(data),
            "data": base64.b64encode(data[at : at + RELEASE_CHUNK_BYTES]).decode(),
        }


def resident_memory_bytes() -> int:
    """Bytes that this process holds; 0 where the system does not say."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * MEMORY_PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
