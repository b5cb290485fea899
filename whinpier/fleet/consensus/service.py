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
from whinpier.fleet.consensus.node import LEADER, Agreement, Copy, compacted, replayed, unpack
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
from whinpier.fleet.spec import RELEASED, AgreementSpec
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome
from whinpier.runtime.pool import PendingRequest
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

if TYPE_CHECKING:
    from whinpier.fleet.service import Link

MS = SECOND // 1000
MAGIC = b"whinpier bank record 1\n"
LONGEST = 6 << 20  # bytes of a note: a whole state fits
LEAST, LIVE = (
    1 << 20,
    2,
)  # bytes below which the file is not rewritten; times what is live that it may hold
AGAIN = 0.5  # seconds until what could not be written is tried again
TURN, BUSY = SECOND // 4, SECOND // 10  # between looks; while a drain or release is on
TELL, TELL_BUSY = 2 * SECOND, 400 * MS  # between reports that say nothing new
ASKED, ASK_AGAIN, LEASE_REQUEST = (
    256,
    250 * MS,
    60 * SECOND,
)  # commands on their way: how many, how often, how long
MOST_FILE = 1 << 20  # bytes of a released file
PIECE = 560  # bytes of a file in one line of the record: with its names it fits into a control line
FIRST = re.compile(rb"# release ([0-9a-f]{1,64})\n")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Reader(Protocol):
    """Reads the process's file, with what was released over it."""

    def __call__(self) -> Spec: ...

    def check(self, released: bytes | None) -> Spec:
        """What the file comes to with another release over it; raises ConfigFault."""


class Asked:
    """A command on its way into the record."""

    __slots__ = ("kind", "data", "done", "since", "sent")

    def __init__(self, kind: int, data: bytes, done: Callable[[], bool], now: int) -> None:
        self.kind, self.data, self.done, self.since, self.sent = (
            kind,
            data,
            done,
            now,
            now - ASK_AGAIN,
        )


class Agreed:
    """This process's part in the record."""

    def __init__(self, link: Link, spec: AgreementSpec) -> None:
        self.link, self.spec, self.loop, self.life = link, spec, link.loop, link.life
        self.now = self.begun = self.loop.clock()
        self.chance = Random(
            Random().getrandbits(64)
        )  # numbers of disks and commands are nobody else's
        self.journal = AppendLog(str(Path(spec.folder) / "record"), MAGIC, LONGEST)
        self.file = Path(spec.folder) / RELEASED
        copy = self.opened()
        self.stamp = self.begun_stamp = stamp_of(copy)  # how much this disk has promised
        self.record = RolloutStateMachine()
        pace = raft.Pace()
        self.agreement = Agreement(
            link.spec.name,
            copy,
            self.record,
            self.now,
            Random(self.chance.random()),
            pace,
            pace.timeout if copy.record else 0,
        )
        if not copy.disk:
            self.draw_disk()
        self.came, self.fault = anyio.Event(), ""
        self.disks: dict[
            int, tuple[int, int]
        ] = {}  # by disk: whose run told of it, how much it has promised
        self.told: dict[
            str, tuple[int, int]
        ] = {}  # by name: which disk a member has, of which record
        self.heard_any = False
        self.controller: RolloutController | None = None
        self.asks: list[Asked] = []
        self.reads: dict[int, int] = {}  # by nonce: up to which line; 0: not known yet
        self.seen_changes, self.seen_commit = -1, -1
        self.running = self.released()
        self.before, self.switched_at = (
            self.running,
            0,
        )  # what ran before the last switch, and when that was
        self.switching, self.refusal = False, ""
        self.avoid: str | None = None  # a file that cut this process off
        self.refused: str | None = None  # one that it does not take
        self.first_build: str | None = None
        self.ended = self.on_time = self.scrapped = self.turned_back = 0
        self.reported, self.reported_at = MemberReport(), self.now - TELL
        self.current, self.called_at, self.drained = False, 0, False
        self.life.aside = True  # till it has learned what it is to do
        self.names: dict[str, int] = {}
        self.names_at = -1

    # The file.

    def draw_disk(self) -> None:
        """From now on this file is another disk than any before."""
        self.agreement.disk = self.chance.getrandbits(62) | 1
        self.agreement.note(raft.WHO, 0, self.agreement.disk)

    def opened(self) -> Copy:
        """Open the log and replay it. Raises AppendLogError where it can't be used."""
        Path(self.spec.folder).mkdir(parents=True, exist_ok=True)
        notes = self.journal.open()
        try:
            copy = replayed(notes)
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
            record=f"{copy.record:x}",
            disk=f"{copy.disk:x}",
            term=copy.term,
            lines=copy.start + len(copy.lines),
        )
        return copy

    def released(self) -> str:
        """Which released file is in force, by its first line."""
        try:
            with self.file.open("rb") as file:
                found = FIRST.match(file.read(100))
        except OSError:
            return ""
        return found[1].decode() if found else ""

    async def write(self) -> None:
        """Notes to the disk, off the loop, as they come."""
        try:
            while True:
                await self.came.wait()
                self.came = anyio.Event()
                while self.agreement.notes:
                    if not await self.write_once():
                        await anyio.sleep(AGAIN)
                    self.loop.enter(self, self.pass_on)
        finally:
            self.journal.close()

    async def write_once(self) -> bool:
        """What there is now; whether it is on the disk."""
        agreement, journal = self.agreement, self.journal
        notes, count, stamp = list(agreement.notes), agreement.noted, stamp_of(agreement)
        anew = any(note[0] in (raft.WHO, raft.BASE) for note in notes) or (
            journal.size > LEAST + LIVE * len(agreement.state)
        )
        whole = compacted(agreement.copy()) if anew else []
        try:
            if anew:
                await anyio.to_thread.run_sync(journal.compact, whole)
            else:
                await anyio.to_thread.run_sync(journal.append, b"".join(map(encode_record, notes)))
        except OSError as fault:
            if not self.fault:
                log.warning("consensus_log_failed", file=journal.path, fault=fault)
            self.fault = str(fault)
            return False
        if self.fault:
            log.info("consensus_log_recovered", file=journal.path)
            self.fault = ""
        del agreement.notes[: len(notes)]
        self.stamp = stamp
        agreement.written(count)
        return True

    # The life of the process.

    def start(self) -> None:
        self.judge_pools()
        self.loop.spawn(self.write, lambda: None)
        self.loop.at(self.now, self, self.turn)
        self.pass_on()

    def follow(self) -> None:
        """Pools may be others now."""
        self.judge_pools()
        self.obey()

    def judge_pools(self) -> None:
        for pool in self.life.pools.values():
            pool.judge = self.judge

    def leave(self) -> None:
        self.agreement.retire()
        self.pass_on()

    def judge(self, request: PendingRequest, how: str) -> None:
        """A request has its final answer."""
        self.ended += 1
        if how == Outcome.SUCCEEDED:
            self.on_time += (
                request.pool.now - request.arrived_at <= request.request_class.latency_objective
            )
        elif how == "scrapped":
            self.scrapped += 1
        else:
            self.turned_back += 1

    # Talks.

    def hear(self, sender: int, talk: ConsensusMessage) -> None:
        """A talk from another member."""
        member = self.link.members.members.get(sender)
        if member is None:
            return
        name, now = member.metadata.name, self.loop.clock()
        if talk.kind == MEMBER_REPORT:
            self.reported_by(name, sender, talk, now)
            return
        if talk.kind == STALE_DISK:
            self.told_stale(talk)
            return
        self.agreement.hear(talk, name, now)

    def reported_by(self, name: str, sender: int, talk: ConsensusMessage, now: int) -> None:
        if self.controller is None:
            return
        try:
            report: MemberReport = msgspec.msgpack.decode(talk.data, type=MemberReport)
        except (msgspec.DecodeError, ValueError):
            return
        self.controller.on_report(name, sender, report, now)

    def told_stale(self, talk: ConsensusMessage) -> None:
        """Another knows that this disk has promised more than its file knew when this run began."""
        agreement = self.agreement
        if talk.arg2 != agreement.disk or talk.arg1 <= self.begun_stamp:
            return
        log.warning("consensus_log_stale", disk=f"{agreement.disk:x}", known=talk.arg1)
        noted, synced, waiting = agreement.noted, agreement.synced, agreement.notes
        self.record.restore(b"")
        self.agreement = Agreement(
            self.link.spec.name,
            Copy(),
            self.record,
            self.loop.clock(),
            Random(self.chance.random()),
        )
        self.agreement.noted, self.agreement.synced, self.agreement.notes = noted, synced, waiting
        self.draw_disk()
        self.begun_stamp = 0
        self.came.set()

    def told_news(self, member: int, contents: bytes) -> None:
        there = self.link.members.members.get(member)
        try:
            record, disk, term, commit, leader, stamp = map(int, unpack(contents))
        except (msgspec.DecodeError, ValueError, TypeError):
            return
        if there is None or min(record, disk, term, commit, leader, stamp) < 0:
            return
        name = there.metadata.name
        self.heard_any = True
        if name in self.told or len(self.told) < 4_096:
            self.told[name] = disk, record
        run, most = self.disks.get(disk, (member, 0))
        if run != member and stamp < most:
            talk = ConsensusMessage(
                STALE_DISK, self.agreement.record, self.agreement.disk, 0, most, disk
            )
            self.link.members.send_consensus_messages([(member, talk)], self.loop.clock())
        elif disk in self.disks or len(self.disks) < 4_096:
            self.disks[disk] = member, max(stamp, most)
        self.agreement.now = max(self.agreement.now, self.loop.clock())
        self.agreement.told(name, record, commit, term, leader)

    def by_name(self) -> dict[str, int]:
        members = self.link.members
        if self.names_at != members.change_count:
            self.names_at = members.change_count
            self.names = {
                one.metadata.name: one.id for one in members.members.values() if one.connected
            }
        return self.names

    def pass_on(self) -> None:
        """Send what may be sent, write what is to be written, act on what is agreed."""
        agreement, names = self.agreement, self.by_name()
        talks = [(names[to], talk) for to, talk in agreement.take() if to in names]
        if talks:
            self.link.members.send_consensus_messages(talks, self.loop.clock())
            self.link.pass_on()
        if agreement.notes:
            self.came.set()
        for nonce, index in agreement.read_at:
            if nonce in self.reads:
                self.reads[nonce] = index
        agreement.read_at = []
        for name, pairs in agreement.events:
            self.tell(name, **pairs)
        agreement.events = []
        if agreement.commit != self.seen_commit:
            self.seen_commit = agreement.commit
            self.link.members.publish(LOG_PROGRESS_CHANNEL, agreement.news(self.stamp))
        if self.record.changes != self.seen_changes:
            self.seen_changes = self.record.changes
            self.obey()
            self.report()
        self.schedule()

    def tell(self, name: str, **pairs: Any) -> None:
        """To the log, and to whoever watches."""
        self.link.say_event(name, pairs)

    def schedule(self) -> None:
        due = self.agreement.due()
        if not self.called_at or due < self.called_at:
            self.called_at = due
            self.loop.at(due, self, self.tick, due)

    def tick(self, due: int) -> None:
        if due == self.called_at:
            self.called_at = 0
            self.agreement.tick(self.now)
            self.pass_on()

    # Looking round.

    def turn(self) -> None:
        """Once in a while: begin a record, lead, report, ask again."""
        now = self.now = self.loop.clock()
        state = self.record.state
        busy = bool(state.rollout or state.drains or self.asks)
        self.loop.at(now + (BUSY if busy else TURN), self, self.turn)
        self.link.members.publish(LOG_PROGRESS_CHANNEL, self.agreement.news(self.stamp))
        self.look_whether_current(now)
        self.begin()
        if self.agreement.role == LEADER:
            if self.controller is None:
                self.controller = RolloutController(now, self.spec.write_off)
                self.controller.known_zones = {
                    name: seat.zone for name, seat in self.seats().items() if seat.is_present
                }
            self.lead(now)
        else:
            self.controller = None
        self.report()
        self.ask_again(now)
        self.watch_the_release(now)
        self.pass_on()

    def look_whether_current(self, now: int) -> None:
        if self.current:
            return
        waited, agreement = now - self.begun >= self.spec.wait, self.agreement
        if agreement.record:
            known = bool(agreement.leader) and agreement.commit > 0 and not agreement.behind()
        else:
            known = self.heard_any and all(record == 0 for _, record in self.told.values())
        if waited or known:
            self.current = True
            if waited:
                log.warning(
                    "consensus_quorum_lost",
                    waited_ms=(now - self.begun) // MS,
                    lines=self.agreement.commit,
                )
            self.obey()

    def begin(self) -> None:
        """Begin a record where none is: the first voter does, once all of them are there, all blank."""
        agreement, voters = self.agreement, self.spec.voters
        if agreement.record or not voters or voters[0] != self.link.spec.name:
            return
        there = self.by_name()
        disks = {self.link.spec.name: agreement.disk}
        for name in voters[1:]:
            disk, record = self.told.get(name, (0, 1))
            if name not in there or record or not disk:
                return
            disks[name] = disk
        said = CommandHeader(
            self.chance.getrandbits(62) | 1, self.link.spec.name, "as its file has it", wall_ms()
        )
        number = (self.chance.getrandbits(40) | 1) * raft.GENERATIONS
        agreement.begin(
            number,
            disks,
            [(EntryKind.SET_BUDGET, encode(SetBudget(said, list(self.spec.permits))))],
        )
        log.info("consensus_bootstrapped", record=f"{number:x}", voters=",".join(disks))

    def lead(self, now: int) -> None:
        assert self.controller
        self.controller.on_report(
            self.link.spec.name, self.link.members.metadata.id, weighed(self.own_report()), now
        )
        for kind, data in self.controller.reconcile(now, self.seats(), self.record):
            self.agreement.command(kind, data)
        self.mend_voters()

    def mend_voters(self) -> None:
        """A voter whose disk is another is taken out; one that the file names, and is there, is taken in."""
        agreement, there = self.agreement, self.by_name()
        config = agreement.config
        for name, disk in config.items():
            known, record = self.told.get(name, (disk, 0))
            if name != agreement.name and name in there and known != disk:
                self.change_voters({one: at for one, at in config.items() if one != name})
                return
        for name in self.spec.voters:
            known, record = self.told.get(name, (0, 0))
            if name not in config and name in there and known and record == agreement.record:
                self.change_voters({**config, name: known})
                return

    def change_voters(self, config: dict[str, int]) -> str:
        fault = self.agreement.change_voters(config)
        if not fault:
            self.tell("consensus_voters_changed", voters=",".join(config))
        return fault

    def seats(self) -> dict[str, MemberView]:
        """Who is there, as this process sees it."""
        members, own = self.link.members, self.link.members.metadata
        found = {own.name: MemberView(own.name, own.id, own.zone, not self.life.stopping)}
        for one in members.members.values():
            name = one.metadata.name
            here = one.state in (ALIVE, SUSPECT)
            if name not in found or here and not found[name].is_present:
                found[name] = MemberView(name, one.id, one.metadata.zone, here, one.unreachable)
        return found

    # What this process does and reports.

    @property
    def orders(self) -> MemberOrders:
        return self.record.orders_for(self.link.spec.name)

    def obey(self) -> None:
        """Do what is agreed, as far as it is this process's."""
        orders = self.orders
        self.life.aside = orders.is_drained or not self.current
        if self.current and orders.is_drained != self.drained:
            self.drained = orders.is_drained
            self.tell(
                "drain_started" if self.drained else "drain_finished",
                revision=self.record.state.revision,
            )
            self.link.share(not self.drained)
        for pool in self.life.pools.values():
            pool.drain(frozenset(self.record.drained_upstreams(pool.name)))
        if self.avoid is not None and orders.content_hash != self.avoid:
            self.avoid = None
        if self.refused is not None and orders.content_hash != self.refused:
            self.refused, self.refusal = None, ""
        wanted = orders.content_hash
        if (
            self.current
            and not self.switching
            and wanted not in (self.running, self.avoid, self.refused)
        ):
            data = self.record.read_file(wanted) if wanted else b""
            if data is not None:
                self.begin_switch(wanted, data)
        self.obey_build(orders)

    def obey_build(self, orders: MemberOrders) -> None:
        """End for another build: whoever keeps this process up starts that one."""
        if not self.current:
            return
        if self.first_build is None:
            # Guards against ending for a build that whoever starts this process does not have.
            self.first_build = orders.build
        known = orders.build in ("", self.spec.build, self.first_build)
        if not known and not self.life.stopping:
            self.tell("release_finished", build=self.spec.build, wanted=orders.build)
            self.life.stop()
        if orders.build == self.spec.build:
            self.first_build = orders.build

    def begin_switch(self, wanted: str, data: bytes) -> None:
        self.switching = True
        self.loop.spawn(lambda: self.switch(wanted, data), self.switch_ended)

    def switch_ended(self) -> None:
        self.switching = False

    def refuse(self, wanted: str, fault: object) -> None:
        """This file is not taken, till another is wanted."""
        self.refused, self.refusal, self.switching = wanted, str(fault)[:200], False

    async def switch(self, wanted: str, data: bytes) -> None:
        """Go on by another released file: all of it, or none."""
        try:
            text = file_of(wanted, data)
            reader = cast(Reader, self.life.reread)
            spec = await anyio.to_thread.run_sync(reader.check, text)
        except (ConfigFault, ValueError, zlib.error) as fault:
            self.refuse(wanted, fault)
            self.tell("release_refused", content=wanted, fault=self.refusal)
            self.loop.enter(self, self.report)
            return
        try:
            await anyio.to_thread.run_sync(self.put_file, text)
        except OSError as fault:
            self.refuse(wanted, fault)
            log.warning("release_file_failed", file=self.file, fault=fault)
            return
        self.before = self.running
        await self.life.configure()
        self.switching = False
        if self.life.spec.revision != spec.revision:
            self.refuse(wanted, "could not be applied")
            held = self.record.read_file(self.before) if self.before else None
            await anyio.to_thread.run_sync(self.put_file, file_of(self.before, held or b""))
        else:
            self.running, self.switched_at = wanted, self.loop.clock()
            self.tell("release_applied", content=wanted or "own", before=self.before or "own")
        self.loop.enter(self, self.after_switch)

    def after_switch(self) -> None:
        self.obey()
        self.report()
        self.pass_on()

    def put_file(self, text: bytes | None) -> None:
        """The released file in place of the old one, or none."""
        if text is None:
            self.file.unlink(missing_ok=True)
            return
        other = self.file.with_suffix(".new")
        with other.open("wb") as file:
            file.write(text)
            file.flush()
            os.fdatasync(file.fileno())
        other.replace(self.file)

    def watch_the_release(self, now: int) -> None:
        """A file that cuts this process off from the others is taken back here, as nobody can tell it to."""
        if not self.switched_at or self.switching:
            return
        if self.link.members.position in ("whole", "larger"):
            if now - self.switched_at > self.spec.cut_off:
                self.switched_at = 0  # it was tried for long enough
            return
        if now - self.switched_at > self.spec.cut_off:
            log.warning(
                "release_rolled_back", content=self.running, position=self.link.members.position
            )
            self.avoid, self.switched_at = self.running, 0
            data = self.record.read_file(self.before) if self.before else b""
            self.begin_switch(self.before, data or b"")

    def own_report(self) -> MemberReport:
        life, orders = self.life, self.orders
        idle = not life.out() and not any(front.has_pending_responses() for front in life.fronts)
        clean: list[int] = []
        for pool in life.pools.values():
            clean += [
                number
                for host, number in self.record.drained_upstreams(pool.name).items()
                if not pool.out_at(host)
            ]
        return MemberReport(
            self.agreement.commit,
            self.running,
            self.spec.build,
            life.ready(),
            orders.is_drained,
            orders.is_drained and life.aside and idle,
            self.refused or "",
            self.refusal,
            tuple(clean[:64]),
            self.ended,
            self.on_time,
            self.scrapped,
            self.turned_back,
        )

    def report(self) -> None:
        """Tell the leader how this process stands, when something is new, and now and then."""
        agreement, now, state = self.agreement, self.loop.clock(), self.record.state
        if not agreement.leader or agreement.leader == agreement.name or not agreement.record:
            return
        report = self.own_report()
        wait = TELL_BUSY if state.rollout or state.drains else TELL
        if stands(report) == stands(self.reported) and now - self.reported_at < wait:
            return
        self.reported, self.reported_at = report, now
        agreement.say(agreement.leader, MEMBER_REPORT, data=encode(weighed(report)))

    # Commands of operators.

    def ask(self, kind: int, data: bytes, done: Callable[[], bool]) -> bool:
        """Bring a command to whoever leads, until it is in the record; whether there is room."""
        if len(self.asks) >= ASKED:
            return False
        self.asks.append(Asked(kind, data, done, self.loop.clock()))
        self.ask_again(self.loop.clock())
        self.pass_on()
        return True

    def ask_again(self, now: int) -> None:
        agreement, sent = self.agreement, 0
        self.asks = [one for one in self.asks if not one.done() and now - one.since < LEASE_REQUEST]
        for one in self.asks:
            if now - one.sent < ASK_AGAIN or sent >= 16:
                continue
            if agreement.role == LEADER:
                agreement.command(one.kind, one.data)
            elif agreement.leader:
                agreement.say(
                    agreement.leader, FORWARD_COMMAND, lines=[LogEntry(0, one.kind, one.data)]
                )
            else:
                continue
            one.sent, sent = now, sent + 1

    def read(self, nonce: int) -> None:
        """Ask what is agreed by now; `reads` will say up to which line."""
        if len(self.reads) >= 64:
            del self.reads[next(iter(self.reads))]
        self.reads.setdefault(nonce, 0)
        if not self.reads[nonce]:
            self.agreement.ask_read(nonce)
            self.pass_on()

    def is_read(self, nonce: int) -> bool:
        """Whether all that was agreed when it was asked for is known here."""
        index = self.reads.get(nonce, 0)
        return bool(index) and self.agreement.applied >= index

    def recover(self) -> None:
        """An operator says that most voters are lost for good, and that this copy is to go on."""
        log.warning("consensus_recovered", lines=self.agreement.commit, term=self.agreement.term)
        self.agreement.recover()
        self.pass_on()

    def standing(self) -> dict[str, Any]:
        """How the record stands, for people."""
        agreement, state = self.agreement, self.record.state
        return {
            "record": f"{agreement.record:x}",
            "role": raft.ROLES[agreement.role],
            "leader": agreement.leader,
            "term": agreement.term,
            "line": agreement.commit,
            "revision": state.revision,
            "voters": sorted(agreement.config),
            "votes": agreement.votes_here,
            "disk": self.fault or "well",
            "digest": hash_file(self.record.snapshot()),
            "runs": self.running,
            "build": self.spec.build,
            "current": self.current,
            "aside": self.life.aside,
        }


def stamp_of(copy: Copy | Agreement) -> int:
    """How much a disk has promised: rises with each vote, term and line; an old copy of its file
    has less.
    """
    last = copy.start + len(copy.lines)
    return copy.term << 32 | min(2 * last + bool(copy.voted), 2**32 - 1)


def stands(report: MemberReport) -> tuple[Any, ...]:
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


def weighed(report: MemberReport) -> MemberReport:
    """A report that goes out, with what the process holds now: that is read only for it."""
    return msgspec.structs.replace(report, memory_bytes=memory())


def wall_ms() -> int:
    """For people to read; nothing is decided by it."""
    return int(time.time() * 1000)


def inflated(data: bytes) -> bytes:
    """A released file as it was. Raises ValueError for one that is too large, zlib.error for none."""
    engine = zlib.decompressobj()
    text = engine.decompress(data, MOST_FILE)
    if engine.unconsumed_tail or not engine.eof:
        raise ValueError(f"the file is over {MOST_FILE} bytes, or not whole")
    return text


def file_of(content: str, data: bytes) -> bytes | None:
    """A released file as it lies on the disk, its name in the first line; None without one. As
    `inflated`.
    """
    return b"# release %s\n" % content.encode() + inflated(data) if data else None


def deflated(text: bytes) -> tuple[str, bytes]:
    """A file as it goes into the record, and its name there."""
    data = zlib.compress(text, 9)
    return hash_file(data), data


def pieces(data: bytes) -> Iterator[dict[str, str | int]]:
    """A file, as `deflated` gives it, as a control socket takes it in: piece by piece."""
    for at in range(0, len(data), PIECE):
        yield {
            "at": at,
            "size": len(data),
            "data": base64.b64encode(data[at : at + PIECE]).decode(),
        }


def memory() -> int:
    """Bytes that this process holds; 0 where the system does not say."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE
    except (OSError, IndexError, ValueError):
        return 0
