"""Owns the fleet's datagrams: their socket, the clock, the log lines, what pools are told.

Hands bytes and times to `members` and sends what it gives back. Must never decide anything, let a
flood take the loop's time beyond a bound, or end the process for anything that comes or fails to
go.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from whinpier import log
from whinpier.fleet import peer_cache
from whinpier.fleet.clock_offset import Clocks
from whinpier.fleet.control_socket import Control
from whinpier.fleet.event_names import control_name
from whinpier.fleet.fleet_size import Counting
from whinpier.fleet.membership.membership import (
    GONE,
    MS,
    UNREACHABLE,
    Address,
    Event,
    Member,
    Membership,
)
from whinpier.fleet.messages import (
    BUILD_VERSION,
    LOG_PROGRESS_CHANNEL,
    NO_RESPONSE,
    REASON_NAMES,
    STALE_STATE,
    MemberMetadata,
    QuotaMessage,
    Seal,
    pool_hash,
)
from whinpier.fleet.outliers.monitor import OutlierMonitor
from whinpier.fleet.quotas.allocation import (
    NO_HISTORY,
    LimitConfig,
    QuotaAllocation,
    StoredAllocation,
)
from whinpier.fleet.quotas.calendar_quota import CalendarQuota, WindowRecord
from whinpier.fleet.quotas.enforcement import LimitEnforcer
from whinpier.fleet.quotas.fair_share import ApproximateQuota
from whinpier.fleet.quotas.leases import TIMER_INTERVAL
from whinpier.fleet.spec import FleetSpec
from whinpier.fleet.state_store import Batch, Records, StateStore
from whinpier.policy.decaying_sum import SECOND

if TYPE_CHECKING:
    from whinpier.fleet.consensus.service import ConsensusService
    from whinpier.runtime.pool import Pool
    from whinpier.runtime.process import Process

IP_RECVERR, MSG_ERRQUEUE = 11, 0x2000  # Linux: errors come with the address they are about
AT_ONCE = 64  # datagrams read in one go, before others have their turn
OPENED = 2_000  # a second of unknown addresses that are looked at; 5 us each
COUNT = SECOND // 4  # between looks at how many share each pool: what lasts is seen then
FORGET = 10 * SECOND  # between looks at notes of windows that are over
REMEMBER = 2.0  # seconds between looks at whether where members are has changed
STAMP = pool_hash(
    "state/stamp"
)  # under which members tell how many notes their state files have had
BEGUN, WINDOW = "begun", "window"  # notes of the state file: since when it knows all; of one window


class Link:
    """This process as a member of the fleet."""

    def __init__(self, process: Process, spec: FleetSpec, sock: socket.socket) -> None:
        self.process, self.spec, self.sock, self.loop = process, spec, sock, process.loop
        self.now = self.loop.clock()
        self.first_notes: Records = {}
        self.begun_stamp = 0  # notes that the state file had ever held when this run began
        self.stamps: dict[
            str, tuple[int, int]
        ] = {}  # of the others' files, by name: whose run, how many
        chance = Random(process.seed_source.getrandbits(64))
        build = spec.agreement.build if spec.agreement else BUILD_VERSION
        card = MemberMetadata(
            spec.name,
            Random().getrandbits(63),
            1,
            *spec.advertise,
            build,
            spec.zone,
            process.spec.revision,
            tuple(pool_hash(name) for name in spec.pools),
        )
        recalled, kept = self.recalled()
        self.clocks = Clocks(time.time_ns() - self.now)
        self.state_store = StateStore(spec.state) if spec.state else None
        notes, since, known_since_by_limit = self.taken_up()
        self.quota_allocation = QuotaAllocation(
            spec.name,
            spec.limits,
            self.now,
            chance,
            self.clocks.between,
            kept,
            self.state_store is not None,
            notes,
            since,
            known_since_by_limit,
        )
        self.limit_enforcer = LimitEnforcer(self.quota_allocation, self.loop)
        self.outlier_monitor: OutlierMonitor | None = None
        card = msgspec.structs.replace(
            card, limits_epoch=self.quota_allocation.epoch if self.quota_allocation.tables else 0
        )
        self.members = Membership(
            card,
            spec.seeds,
            Seal(spec.keys),
            spec.times,
            chance,
            self.now,
            cached_addresses=recalled,
        )
        self.counting = Counting(self.members, spec.pools)
        if spec.verdicts:
            self.outlier_monitor = OutlierMonitor(
                spec.verdicts, self.members, self.loop, chance, self.say_event
            )
        self.agreed: ConsensusService | None = None
        self.shared = True  # whether others count this one among those who share the pools
        if spec.agreement:
            from whinpier.fleet.consensus.service import (
                ConsensusService,
            )  # only where a file has it

            self.agreed = ConsensusService(self, spec.agreement)
        self.control = Control(self) if spec.control else None
        self.called_at = 0
        self.second, self.opened = 0, 0
        self.seen_changes = -1
        self.seen_registry_changes = 0
        self.amounts: dict[str, float] = {}  # of limits, as operators have said them for a while
        self.watchers: list[Callable[[dict[str, Any]], None]] = []
        self.by_mark: dict[int, str] = {}
        self.said: dict[tuple[int, int], bytes] = {}
        self.counts: Counter[str] = Counter()
        self.nearly_marks: dict[int, ApproximateQuota] = {}
        self.dealing, self.forget_at = False, 0
        self.attach()
        if sys.platform == "linux":
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)

    def taken_up(self) -> tuple[list[WindowRecord], int, dict[int, int]]:
        """What the state file holds of windows, and since when it has known of all. Raises AppendLogError."""
        if self.state_store is None:
            return [], NO_HISTORY, {}
        self.state_store.collect_batches = self.to_write
        live = self.state_store.open()
        begun = live.get((BEGUN,), (NO_HISTORY,))
        log.info(
            "state_store_loaded",
            file=self.state_store.journal.path,
            notes=len(live),
            stamp=self.state_store.sequence,
        )
        self.begun_stamp = self.state_store.sequence
        return (
            [(*key[1:], *value) for key, value in live.items() if key[0] == WINDOW],
            begun[0],
            {key[1]: value[0] for key, value in live.items() if key[0] == BEGUN and len(key) == 2},
        )

    def to_write(self) -> list[Batch]:
        """What is to be on the disk, each with whom to tell."""
        first, self.first_notes = self.first_notes, {}
        found: list[Batch] = []
        if first:
            found.append(Batch(first, lambda: None, lambda: self.first_notes.update(first)))
        for part in self.quota_allocation.calendar_quotas():
            if part.pending_records:
                said, notes = part.take_records()
                found.append(
                    Batch(
                        {(WINDOW, *note[:3]): note[3:] for note in notes},
                        partial(self.written, part, said, notes),
                        partial(part.on_write_failed, notes),
                    )
                )
        return found

    def written(self, part: CalendarQuota, said: int, notes: list[WindowRecord]) -> None:
        part.on_records_written(said, notes)
        self.send_application_messages()

    def recalled(self) -> tuple[list[Address], dict[str, StoredAllocation]]:
        try:
            return peer_cache.read(self.spec.recall) if self.spec.recall else ([], {})
        except (OSError, ValueError) as fault:
            log.warning("peer_cache_failed", fault=fault)
            return [], {}

    async def remember(self) -> None:
        """Keep where members are, when it has changed, off the loop."""
        kept, well = None, True
        while True:
            await anyio.sleep(REMEMBER)
            now = self.members.known_addresses(), self.quota_allocation.stored_allocations()
            if now == kept or not any(now):
                continue
            try:
                await anyio.to_thread.run_sync(peer_cache.write, self.spec.recall, *now)
                kept, well = now, True
            except OSError as fault:
                if well:
                    log.warning("peer_cache_failed", fault=fault)
                well = False

    def attach(self) -> None:
        """Connect the pools that the fleet shares."""
        self.by_mark = {pool_hash(name): name for name in self.spec.pools}
        self.nearly_marks = {
            one.limit.wire_id: one for one in self.quota_allocation.approximate_quotas.values()
        }
        for name, pool in self.process.pools.items():
            pool.broadcast = self.speaker(name) if name in self.spec.pools else None
            if name not in self.spec.pools:
                pool.clear_fleet_size()
        self.limit_enforcer.attach_pools(self.process.pools.values(), self.spec.limits)
        if self.outlier_monitor:
            self.outlier_monitor.update_pools(self.process.pools.values(), self.spec.pools)
        # Before the first request: until it knows better, as many as the file lets it expect.
        self.count(self.now)

    def speaker(self, name: str) -> Callable[[bytes], None]:
        mark = pool_hash(name)
        return lambda contents: self.members.publish(mark, contents)

    # The life of the process.

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self.sock, self.came)
        if self.control:
            self.loop.spawn(self.control.run, lambda: None)
        if self.spec.recall:
            self.loop.spawn(self.remember, lambda: None)
        self.loop.call_at(self.loop.clock() + COUNT, self, self.recount)
        if self.state_store:
            self.loop.spawn(self.state_store.run, lambda: None)
        self.loop.dispatch(self, self.deal)
        if self.agreed:
            self.agreed.start()
        self.schedule()

    def reconfigure(self, spec: FleetSpec) -> None:
        """Go on by a new file."""
        keys, self.spec = spec.differs(self.spec), spec
        self.counting.follow(spec.pools)
        if "limits" in keys:
            self.quota_allocation.apply_configs(self.said_limits(), self.loop.clock())
        self.attach()
        self.members.reconfigure(
            self.loop.clock(),
            spec.seeds,
            Seal(spec.keys),
            spec.times,
            zone=spec.zone,
            revision=self.process.spec.revision,
            pools=self.marks(),
        )
        if keys:
            log.info("fleet_configuration_changed", keys=",".join(keys))
        if not self.dealing:
            self.loop.dispatch(self, self.deal)
        self.pass_on()
        if self.agreed:
            self.agreed.on_pools_changed()

    def marks(self) -> tuple[int, ...]:
        """The pools that others are to count this one among."""
        return tuple(pool_hash(name) for name in self.spec.pools) if self.shared else ()

    def share(self, on: bool) -> None:
        """Others count this one among those who share its pools, or no longer."""
        self.shared = on
        self.members.reconfigure(
            self.loop.clock(),
            self.spec.seeds,
            Seal(self.spec.keys),
            self.spec.times,
            pools=self.marks(),
        )

    def say_event(self, name: str, pairs: dict[str, Any]) -> None:
        """Something that has happened beside membership, to the log and to watchers."""
        self.happened(Event(name, self.loop.clock(), pairs))

    def leave(self) -> None:
        if self.agreed:
            self.agreed.leave()
        self.members.leave(self.loop.clock())
        self.pass_on()

    def announce_leave(self) -> None:
        self.members.announce_leave(self.loop.clock())
        self.pass_on()

    def figures(self) -> dict[str, int]:
        """Return the counters by the names that the control socket tells."""
        members = self.members
        found = {
            "members_reachable": members.count(),
            "members_unreachable": members.reachability_counts[UNREACHABLE],
            **members.counts,
            **self.counts,
        }
        return {control_name(name): count for name, count in found.items()}

    # In and out.

    def came(self) -> None:
        """Something can be read. Registered once: to ask anew for each datagram costs more than reading."""
        for _ in range(AT_ONCE):
            try:
                data, source = self.sock.recvfrom(2_048)
            except BlockingIOError:
                break
            except OSError:
                continue  # what the error queue tells with its address
            if self.wanted(source):
                self.loop.dispatch(self, self.received, data, source)
        self.read_errors()

    def wanted(self, source: Address) -> bool:
        """Whether there is time for one more of an unknown address in this second."""
        if source in self.members.ids_by_address:
            return True
        if (second := self.loop.clock() // SECOND) != self.second:
            self.second, self.opened = second, 0
        self.opened += 1
        if self.opened > OPENED:
            self.counts["fleet_receive_limit"] += 1
            return False
        return True

    def read_errors(self) -> None:
        for _ in range(AT_ONCE):
            try:
                _, extra, _, address = self.sock.recvmsg(512, 256, MSG_ERRQUEUE)
            except OSError:
                return
            for level, kind, data in extra:
                if (level, kind) == (socket.IPPROTO_IP, IP_RECVERR) and len(data) >= 4:
                    if int.from_bytes(data[:4], sys.byteorder) == errno.ECONNREFUSED:
                        self.loop.dispatch(self, self.refused, (address[0], address[1]))

    def received(self, data: bytes, source: Address) -> None:
        self.members.receive(data, source, self.now)
        self.pass_on()

    def refused(self, address: Address) -> None:
        self.members.on_port_unreachable(address, self.now)
        self.pass_on()

    def tick(self, called_at: int) -> None:
        if called_at == self.called_at:
            self.called_at = 0
            self.members.tick(self.now)
            self.pass_on()

    def schedule(self) -> None:
        due = self.members.due()
        if not self.called_at or due < self.called_at:
            self.called_at = due
            self.loop.call_at(due, self, self.tick, due)

    def pass_on(self) -> None:
        """Send what is to be sent, say what has happened, tell pools what others tell."""
        out, events, said = self.members.take_output()
        for address, data in out:
            try:
                self.sock.sendto(data, address)
            except BlockingIOError:
                self.counts["fleet_not_sent"] += 1
            except OSError as fault:
                self.counts["fleet_send_failed"] += 1
                if fault.errno != errno.ECONNREFUSED:
                    log.warning_uncounted(
                        "fleet_send_failed", address="%s:%d" % address, fault=fault
                    )
        for event in events:
            self.happened(event)
        for member, mark, contents in said:
            self.hear(member, mark, contents)
        if self.members.received_ejection_messages:
            pleas, self.members.received_ejection_messages = (
                self.members.received_ejection_messages,
                [],
            )
            for sender, plea in pleas:
                if self.outlier_monitor:
                    self.outlier_monitor.on_message(sender, plea)
            self.send_application_messages()
        if self.members.received_quota_messages:
            deals, self.members.received_quota_messages = self.members.received_quota_messages, []
            for sender, one in deals:
                if one.kind == STALE_STATE:
                    self.told_old(one, sender)
                else:
                    self.quota_allocation.on_message(one, sender, self.loop.clock())
            self.send_application_messages()
        if self.members.received_consensus_messages:
            talks, self.members.received_consensus_messages = (
                self.members.received_consensus_messages,
                [],
            )
            if self.agreed:
                for sender, talk in talks:
                    self.agreed.receive(sender, talk)
                self.agreed.flush()
        if self.members.change_count != self.seen_changes:
            self.seen_changes = self.members.change_count
            self.count(self.loop.clock())
        if self.members.registry.change_count != self.seen_registry_changes:
            self.seen_registry_changes = self.members.registry.change_count
            self.heed()
        self.schedule()

    def happened(self, event: Event) -> None:
        self.counts[event.name] += 1
        at = (
            event.at - self.loop.offset
        )  # on the machine's monotonic clock, as every process has it
        run = f"{self.members.metadata.run:x}"
        pairs = {"process": self.spec.name, "process_run": run, "mono_ns": at} | event.pairs
        log.info(event.name, **pairs)
        name = event.pairs.get("member", "")
        if event.name in ("member_left", "member_lost"):
            if event.pairs.get("why") != REASON_NAMES[NO_RESPONSE]:
                self.quota_allocation.departed.add(name)
        elif event.name == "member_here":
            self.quota_allocation.departed.discard(name)
        for watcher in list(self.watchers):
            watcher({"event": control_name(event.name)} | pairs)

    def strike(self, name: str) -> int:
        """An operator says that a member is dead: one that is unheard, or a home that was never met."""
        struck = self.members.declare_dead(name, self.loop.clock())
        gone = not any(
            one.metadata.name == name and one.connected for one in self.members.members.values()
        )
        if gone and any(name in kept.homes for kept in self.quota_allocation.stored.values()):
            self.quota_allocation.departed.add(name)
            struck = max(struck, 1)
        self.pass_on()
        return struck

    # What operators say.

    def say(self, key: str, value: dict[str, Any], life: int) -> bool:
        """One word to the whole fleet; without a value it lifts what was said. Whether there was room."""
        data = msgspec.json.encode(value) if value else b""
        said = self.members.registry.put(
            key, data, life, self.members.metadata.id, self.loop.clock()
        )
        if said is not None:
            log.info("registry_entry_changed", key=key, **value)
            self.members.broadcast_payloads(self.loop.clock())
            self.pass_on()
        return said is not None

    def heed(self) -> None:
        """Go by what operators say now."""
        amounts = {}
        for name, value in self.members.registry.values_with_prefix("limit/").items():
            try:
                amounts[name] = float(msgspec.json.decode(value)["amount"])
            except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                log.warning("registry_entry_invalid", key=f"limit/{name}")
        entries = self.members.registry.entries
        closed = {
            (kind, name): entries[f"{kind}/{name}"].expires_at
            for kind in ("route", "tenant")
            for name in self.members.registry.values_with_prefix(kind + "/")
        }
        if closed != self.limit_enforcer.closed_until:
            self.limit_enforcer.closed_until = closed
            self.attach()
        if self.outlier_monitor:
            self.outlier_monitor.operator_ejections = {
                tuple(name.partition("/")[::2]): entries["rest/" + name].expires_at
                for name in self.members.registry.values_with_prefix("rest/")
            }
        if amounts != self.amounts:
            self.amounts = amounts
            self.quota_allocation.apply_configs(self.said_limits(), self.loop.clock())
            self.attach()
            told = ",".join(f"{name}={amount:g}" for name, amount in amounts.items())
            log.info("quota_overrides_changed", limits=told)

    def said_limits(self) -> tuple[LimitConfig, ...]:
        """The limits of the file, with the amounts that operators have said for a while."""
        amounts = self.amounts
        return tuple(
            said.with_amount(amounts[said.limit.name]) if said.limit.name in amounts else said
            for said in self.spec.limits
        )

    def register(self) -> dict[str, Any]:
        """What operators have said, and who of those who are there holds it."""
        now = self.loop.clock()
        registry = self.members.registry
        rows = []
        for key, stored in registry.entries.items():
            try:
                value = (
                    msgspec.json.decode(stored.entry.value)
                    if stored.entry.value
                    else {"lifted": True}
                )
            except msgspec.DecodeError:
                value = {}
            rows.append(
                {
                    "key": key,
                    **(value if isinstance(value, dict) else {}),
                    "at": self.members.name_of(stored.entry.origin),
                    "left_ms": (stored.expires_at - now) // MS,
                }
            )
        return {
            "words": rows,
            "members": [
                {
                    "name": one.metadata.name,
                    "run": f"{one.metadata.run:x}",
                    "holds": one.registry_digest == registry.digest,
                    "limits": one.metadata.limits_epoch == self.quota_allocation.epoch
                    or not self.quota_allocation.tables,
                }
                for one in self.members.members.values()
                if one.connected
            ],
            "agreed": self.quota_allocation.agreed,
        }

    def begin(self, name: str) -> bool:
        """An operator says that nothing was used of the window of a count that is on."""
        if not self.quota_allocation.mark_window_unused(name, self.loop.clock()):
            return False
        mark = self.quota_allocation.tables[name].config.limit.wire_id
        self.first_notes[BEGUN, mark] = (self.quota_allocation.known_since_by_limit[mark],)
        return True

    # Limits.

    def deal(self) -> None:
        """Look what is needed of each limit, and whether all go by one division of it."""
        self.dealing = bool(self.spec.limits or self.outlier_monitor)
        if not self.dealing:
            return
        now = self.now = self.loop.clock()
        self.loop.call_at(now + TIMER_INTERVAL, self, self.deal)
        members, shares = self.members, self.quota_allocation
        others = [one for one in members.members.values() if one.reachability != GONE]
        self.look_at_clocks(now)
        self.look_at_division(now, others)
        if any(one.metadata.name == self.spec.name for one in others):
            shares.extend_fence(now)  # a second process of this name holds the same homes
        by_name = {one.metadata.name: one.id for one in others if one.connected}
        shares.on_timer(
            now, lambda limit: [by_name[home] for home in limit.homes if home in by_name]
        )
        self.tell_nearly(now, others)
        self.limit_enforcer.on_timer(now, self.process.pools.values())
        if self.outlier_monitor:
            self.outlier_monitor.on_timer(now)
        if self.state_store:
            if self.first_notes or any(part.pending_records for part in shares.calendar_quotas()):
                self.state_store.wake()
            self.members.publish(STAMP, self.state_store.sequence.to_bytes(8, "big"))
            if now >= self.forget_at:
                over, self.forget_at = self.quota_allocation.make_expiry_filter(now), now + FORGET
                self.state_store.discard(lambda key: key[0] == WINDOW and over(key[1], key[3]))
        self.send_application_messages()

    def look_at_clocks(self, now: int) -> None:
        self.clocks.own = time.time_ns() - now
        for member, wall, sent, at in self.members.clock_samples:
            self.clocks.heard(member, wall - at, wall - sent, now)
        self.members.clock_samples.clear()
        self.members.wall_offset = (
            self.clocks.own if any(said.calendar for said in self.spec.limits) else 0
        )
        self.clocks.settle(
            now, [one.id for one in self.members.members.values() if one.reachability != GONE]
        )

    def look_at_division(self, now: int, others: list[Member]) -> None:
        shares = self.quota_allocation
        if shares.agreed and shares.announced_epoch == shares.epoch:
            return
        if shares.announce(now):
            self.members.reconfigure(
                now,
                self.spec.seeds,
                Seal(self.spec.keys),
                self.spec.times,
                limits_epoch=shares.epoch if shares.tables else 0,
            )
        heard = [one for one in others if one.connected]
        there = {one.metadata.name for one in heard if one.metadata.limits_epoch == shares.epoch}
        apart = {one.metadata.name for one in heard if one.metadata.limits_epoch != shares.epoch}
        since, silent = shares.known_since, {one.metadata.name for one in others if one.unreachable}
        agreed = shares.check_agreement(now, there, apart, silent, self.clocks.voices)
        if self.state_store and shares.known_since != since:
            # From here on the file knows of all that is used; what was before it does not say.
            self.first_notes[BEGUN,] = (shares.known_since,)
        if agreed:
            log.info(
                "quota_allocation_agreed", limits=",".join(shares.tables), epoch=f"{shares.epoch:x}"
            )

    def tell_nearly(self, now: int, others: list[Member]) -> None:
        """Tell what is asked for of limits that are nearly kept, and hear what the others tell."""
        nearly = self.quota_allocation.approximate_quotas
        if not nearly:
            return
        heard, soon = {one.id: one.connected for one in others}, False
        for one in nearly.values():
            changed, at_once = one.on_timer(now, heard, self.counting.floor(now))
            if changed:
                self.members.publish(one.limit.wire_id, one.encode_report(now))
            soon = soon or at_once
        if soon:
            self.members.broadcast_payloads(now)

    def send_application_messages(self) -> None:
        deals = self.quota_allocation.take_messages()
        pleas = self.outlier_monitor.take_messages() if self.outlier_monitor else []
        if deals or pleas:
            self.members.send_application_messages(deals, self.loop.clock(), pleas)
            self.pass_on()

    def limits(self) -> list[dict[str, Any]]:
        """How each limit stands here."""
        return self.quota_allocation.status_rows(self.loop.clock())

    def compare(self, member: int, contents: bytes) -> None:
        """A new run whose state file has fewer notes than the last one's: an old copy, or none."""
        there = self.members.members.get(member)
        if there is None or len(contents) != 8:
            return
        name, stamp = there.metadata.name, int.from_bytes(contents, "big")
        self.counts["state_stamps_received"] += 1
        run, most = self.stamps.pop(name, (member, 0))
        if run != member and stamp < most:
            self.members.send_application_messages(
                [(member, QuotaMessage(STALE_STATE, 0, most, 0, 0))], self.loop.clock()
            )
        self.stamps[name] = member, max(stamp, most)
        while len(self.stamps) > self.members.max_members:
            del self.stamps[next(iter(self.stamps))]

    def told_old(self, deal: QuotaMessage, sender: int) -> None:
        """Another knows that this process's last run had written more than its state file holds."""
        if self.state_store is None or deal.nonce <= self.begun_stamp:
            return
        log.warning(
            "state_store_stale",
            file=self.state_store.journal.path,
            notes=self.begun_stamp,
            known=deal.nonce,
            by=self.members.name_of(sender),
        )
        self.begun_stamp = deal.nonce
        self.state_store.sequence = max(self.state_store.sequence, deal.nonce)
        self.quota_allocation.invalidate_records(self.loop.clock())
        self.first_notes[BEGUN,] = (self.quota_allocation.known_since,)

    # Pools.

    def hear(self, member: int, mark: int, contents: bytes) -> None:
        """What another balancer's decisions tell those of the same pool here, and what it says of limits."""
        if mark == STAMP:
            self.compare(member, contents)
            return
        if mark == LOG_PROGRESS_CHANNEL:
            if self.agreed:
                self.agreed.on_announcement(member, contents)
            return
        if mark in self.nearly_marks:
            self.nearly_marks[mark].on_report(member, contents, self.loop.clock())
            return
        name = self.by_mark.get(mark)
        counted = self.counting.pools.get(name) if name else None
        pool = self.process.pools.get(name) if name else None
        if counted is None or pool is None or (number := counted.ids.get(member)) is None:
            return
        if len(self.said) > 4 * self.members.max_members:
            self.said.clear()
        if self.said.get((member, mark)) != contents:
            self.said[member, mark] = contents
            pool.receive_peer_message(number, contents)

    def recount(self) -> None:
        self.loop.call_at(self.now + COUNT, self, self.recount)
        self.count(self.now)

    def count(self, now: int) -> None:
        """Tell pools how many share them, and which this one is."""
        for counted in self.counting.update(now):
            pool: Pool | None = self.process.pools.get(counted.name)
            if pool is not None:
                pool.set_fleet_size(counted.balancers, counted.number)
                self.said.clear()  # by other numbers now
                log.info(
                    "pool_fleet_size_changed",
                    pool=counted.name,
                    balancers=counted.balancers,
                    number=counted.number,
                )
