"""The I/O of this process as a member of the fleet: its UDP socket, timers, log events and pools.

`Link` hands received datagrams and the time to the state machines of the fleet (membership,
quotas, outlier ejection, consensus), sends what they return and tells the pools what concerns them.

Invariants: the module takes no decisions itself, a flood of datagrams takes a bounded share of the
event loop's time, and no datagram that arrives or can't be sent ends the process.
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
from whinpier.fleet.control_socket import ControlSocket
from whinpier.fleet.event_names import control_name
from whinpier.fleet.fleet_size import FleetSizes
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

# Linux: the socket's error queue holds ICMP errors with the address that they are about.
IP_RECVERR = 11
MSG_ERRQUEUE = 0x2000
MAX_DATAGRAMS_PER_READ = 64  # then other events of the loop have their turn
MAX_UNKNOWN_DATAGRAMS_PER_SECOND = 2_000  # from unknown addresses; each takes 5 us to verify
RECEIVE_BUFFER_BYTES = 2_048  # more than the longest datagram, so that a longer one is recognized
FLEET_SIZE_INTERVAL = SECOND // 4  # between checks of how many balancers share each pool
EXPIRY_INTERVAL = 10 * SECOND  # between removals of records of windows that are over
PEER_CACHE_INTERVAL_SECONDS = 2.0  # between checks whether the peer cache has to be rewritten
# Members publish the sequence number of their state files under this channel.
STATE_SEQUENCE_CHANNEL = pool_hash("state/stamp")
STATE_SEQUENCE_BYTES = 8
# Kinds of records in the state file, the first item of their keys: from when on the file knows all
# that was used, and what was used of one window.
HISTORY_START = "begun"
WINDOW = "window"


class Link:
    """This process as a member of the fleet."""

    def __init__(self, process: Process, spec: FleetSpec, sock: socket.socket) -> None:
        """Load what earlier runs stored and connect the pools; `start` begins the I/O.

        Raises AppendLogError where the state file can't be used.
        """
        self.process = process
        self.spec = spec
        self.sock = sock
        self.loop = process.loop
        self.now = self.loop.clock()
        self.pending_history_starts: Records = {}  # to be written to the state file
        self.initial_state_sequence = 0  # the state file's sequence number when this run began
        # The highest sequence number of each other member's state file, by the member's name, with
        # the id of the run that published it.
        self.peer_state_sequences: dict[str, tuple[int, int]] = {}
        random = Random(process.seed_source.getrandbits(64))
        build = spec.agreement.build if spec.agreement else BUILD_VERSION
        metadata = MemberMetadata(
            spec.name,
            Random().getrandbits(63),
            1,
            *spec.advertise,
            build,
            spec.zone,
            process.spec.revision,
            tuple(pool_hash(name) for name in spec.pools),
        )
        cached_addresses, cached_allocations = self.read_peer_cache()
        self.clocks = Clocks(time.time_ns() - self.now)
        self.state_store = StateStore(spec.state) if spec.state else None
        window_records, known_since, known_since_by_limit = self.load_state()
        self.quota_allocation = QuotaAllocation(
            spec.name,
            spec.limits,
            self.now,
            random,
            self.clocks.between,
            cached_allocations,
            self.state_store is not None,
            window_records,
            known_since,
            known_since_by_limit,
        )
        self.limit_enforcer = LimitEnforcer(self.quota_allocation, self.loop)
        self.outlier_monitor: OutlierMonitor | None = None
        metadata = msgspec.structs.replace(
            metadata,
            limits_epoch=self.quota_allocation.epoch if self.quota_allocation.tables else 0,
        )
        self.members = Membership(
            metadata,
            spec.seeds,
            Seal(spec.keys),
            spec.times,
            random,
            self.now,
            cached_addresses=cached_addresses,
        )
        self.fleet_sizes = FleetSizes(self.members, spec.pools)
        if spec.verdicts:
            self.outlier_monitor = OutlierMonitor(
                spec.verdicts, self.members, self.loop, random, self.say_event
            )
        self.agreed: ConsensusService | None = None
        self.shared = True  # whether other members count this one as a balancer of its pools
        if spec.agreement:
            # Imported only where consensus is configured.
            from whinpier.fleet.consensus.service import ConsensusService

            self.agreed = ConsensusService(self, spec.agreement)
        self.control = ControlSocket(self) if spec.control else None
        self.tick_at = 0  # when the membership's next timer is set for; 0: none is set
        # Datagrams from unknown addresses in the current second of the clock.
        self.unknown_datagrams_second = 0
        self.unknown_datagrams = 0
        self.seen_membership_changes = -1
        self.seen_registry_changes = 0
        self.amount_overrides: dict[str, float] = {}  # set by operators, by name of the limit
        self.watchers: list[Callable[[dict[str, Any]], None]] = []
        self.pool_names: dict[int, str] = {}  # by channel
        self.last_peer_messages: dict[tuple[int, int], bytes] = {}  # by member and channel
        self.counts: Counter[str] = Counter()
        self.approximate_quotas: dict[int, ApproximateQuota] = {}  # by channel
        self.periodic_tasks_running = False
        self.next_expiry_at = 0
        self.attach()
        if sys.platform == "linux":
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)

    def load_state(self) -> tuple[list[WindowRecord], int, dict[int, int]]:
        """Return the state file's records of windows, and from when on it knows all that was used.

        That is one time for all limits, and the later times of single limits by their hash. Raises
        AppendLogError.
        """
        if self.state_store is None:
            return [], NO_HISTORY, {}
        self.state_store.collect_batches = self.collect_state_batches
        live = self.state_store.open()
        history_start = live.get((HISTORY_START,), (NO_HISTORY,))
        log.info(
            "state_store_loaded",
            file=self.state_store.journal.path,
            notes=len(live),
            stamp=self.state_store.sequence,
        )
        self.initial_state_sequence = self.state_store.sequence
        return (
            [(*key[1:], *value) for key, value in live.items() if key[0] == WINDOW],
            history_start[0],
            {
                key[1]: value[0]
                for key, value in live.items()
                if key[0] == HISTORY_START and len(key) == 2
            },
        )

    def collect_state_batches(self) -> list[Batch]:
        """Return the records that the state file lacks, in batches with their callbacks."""
        history_starts = self.pending_history_starts
        self.pending_history_starts = {}
        batches: list[Batch] = []
        if history_starts:
            batches.append(
                Batch(
                    history_starts,
                    on_written=lambda: None,
                    on_failed=lambda: self.pending_history_starts.update(history_starts),
                )
            )
        for quota in self.quota_allocation.calendar_quotas():
            if quota.pending_records:
                revision, records = quota.take_records()
                batches.append(
                    Batch(
                        {(WINDOW, *record[:3]): record[3:] for record in records},
                        partial(self.on_records_written, quota, revision, records),
                        partial(quota.on_write_failed, records),
                    )
                )
        return batches

    def on_records_written(
        self, quota: CalendarQuota, revision: int, records: list[WindowRecord]
    ) -> None:
        """Tell a quota that its records are on the disk, and send what it held back until then."""
        quota.on_records_written(revision, records)
        self.send_application_messages()

    def read_peer_cache(self) -> tuple[list[Address], dict[str, StoredAllocation]]:
        """Return what the last run cached; empty where there is no cache or it can't be read."""
        try:
            return peer_cache.read(self.spec.recall) if self.spec.recall else ([], {})
        except (OSError, ValueError) as error:
            log.warning("peer_cache_failed", fault=error)
            return [], {}

    async def keep_peer_cache(self) -> None:
        """Write the peer cache when its content has changed, in a thread beside the event loop.

        Of several failures in a row only the first one is logged.
        """
        written = None
        succeeded = True
        while True:
            await anyio.sleep(PEER_CACHE_INTERVAL_SECONDS)
            content = self.members.known_addresses(), self.quota_allocation.stored_allocations()
            if content == written or not any(content):
                continue
            try:
                await anyio.to_thread.run_sync(peer_cache.write, self.spec.recall, *content)
                written = content
                succeeded = True
            except OSError as error:
                if succeeded:
                    log.warning("peer_cache_failed", fault=error)
                succeeded = False

    def attach(self) -> None:
        """Connect the pools that the fleet shares, and disconnect the others."""
        self.pool_names = {pool_hash(name): name for name in self.spec.pools}
        self.approximate_quotas = {
            quota.limit.wire_id: quota
            for quota in self.quota_allocation.approximate_quotas.values()
        }
        for name, pool in self.process.pools.items():
            pool.broadcast = self.pool_publisher(name) if name in self.spec.pools else None
            if name not in self.spec.pools:
                pool.clear_fleet_size()
        self.limit_enforcer.attach_pools(self.process.pools.values(), self.spec.limits)
        if self.outlier_monitor:
            self.outlier_monitor.update_pools(self.process.pools.values(), self.spec.pools)
        # Before the first request: as many balancers as the configured seeds let one expect.
        self.update_fleet_size(self.now)

    def pool_publisher(self, name: str) -> Callable[[bytes], None]:
        """Return the function by which a pool publishes payloads to its peers."""
        channel = pool_hash(name)
        return lambda payload: self.members.publish(channel, payload)

    def start(self) -> None:
        """Begin to receive datagrams, and start the timers and background tasks."""
        asyncio.get_running_loop().add_reader(self.sock, self.on_readable)
        if self.control:
            self.loop.spawn(self.control.run, lambda: None)
        if self.spec.recall:
            self.loop.spawn(self.keep_peer_cache, lambda: None)
        self.loop.call_at(
            self.loop.clock() + FLEET_SIZE_INTERVAL, self, self.update_fleet_size_periodically
        )
        if self.state_store:
            self.loop.spawn(self.state_store.run, lambda: None)
        self.loop.dispatch(self, self.run_periodic_tasks)
        if self.agreed:
            self.agreed.start()
        self.schedule()

    def reconfigure(self, spec: FleetSpec) -> None:
        """Apply a new configuration."""
        keys = spec.differs(self.spec)
        self.spec = spec
        self.fleet_sizes.set_pools(spec.pools)
        if "limits" in keys:
            self.quota_allocation.apply_configs(self.limits_with_overrides(), self.loop.clock())
        self.attach()
        self.members.reconfigure(
            self.loop.clock(),
            spec.seeds,
            Seal(spec.keys),
            spec.times,
            zone=spec.zone,
            revision=self.process.spec.revision,
            pools=self.shared_pool_hashes(),
        )
        if keys:
            log.info("fleet_configuration_changed", keys=",".join(keys))
        if not self.periodic_tasks_running:
            self.loop.dispatch(self, self.run_periodic_tasks)
        self.pass_on()
        if self.agreed:
            self.agreed.on_pools_changed()

    def shared_pool_hashes(self) -> tuple[int, ...]:
        """Return the pools for which other members are to count this one as a balancer."""
        return tuple(pool_hash(name) for name in self.spec.pools) if self.shared else ()

    def share(self, on: bool) -> None:
        """Announce whether other members are to count this one as a balancer of its pools."""
        self.shared = on
        self.members.reconfigure(
            self.loop.clock(),
            self.spec.seeds,
            Seal(self.spec.keys),
            self.spec.times,
            pools=self.shared_pool_hashes(),
        )

    def say_event(self, name: str, pairs: dict[str, Any]) -> None:
        """Report an event of another part of the fleet to the log and to watchers."""
        self.on_event(Event(name, self.loop.clock(), pairs))

    def leave(self) -> None:
        """Begin to leave the fleet: give up leadership, and tell the others."""
        if self.agreed:
            self.agreed.leave()
        self.members.leave(self.loop.clock())
        self.pass_on()

    def announce_leave(self) -> None:
        """Announce to the fleet that this member has left."""
        self.members.announce_leave(self.loop.clock())
        self.pass_on()

    def figures(self) -> dict[str, int]:
        """Return the counters under the names that the control socket uses."""
        members = self.members
        counters = {
            "members_reachable": members.count(),
            "members_unreachable": members.reachability_counts[UNREACHABLE],
            **members.counts,
            **self.counts,
        }
        return {control_name(name): count for name, count in counters.items()}

    def on_readable(self) -> None:
        """Read waiting datagrams and errors.

        Stays registered with the event loop: registering anew for each datagram costs more than
        reading it.
        """
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, source = self.sock.recvfrom(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                break
            except OSError:
                continue  # the error queue has it too, with the address
            if self.is_within_receive_limit(source):
                self.loop.dispatch(self, self.on_datagram, data, source)
        self.read_errors()

    def is_within_receive_limit(self, source: Address) -> bool:
        """Count a datagram, and tell whether it is to be verified.

        Datagrams from known addresses always are, those from unknown ones up to
        MAX_UNKNOWN_DATAGRAMS_PER_SECOND.
        """
        if source in self.members.ids_by_address:
            return True
        second = self.loop.clock() // SECOND
        if second != self.unknown_datagrams_second:
            self.unknown_datagrams_second = second
            self.unknown_datagrams = 0
        self.unknown_datagrams += 1
        if self.unknown_datagrams > MAX_UNKNOWN_DATAGRAMS_PER_SECOND:
            self.counts["fleet_receive_limit"] += 1
            return False
        return True

    def read_errors(self) -> None:
        """Read the socket's error queue, and report closed ports to the membership."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                _, extra, _, address = self.sock.recvmsg(512, 256, MSG_ERRQUEUE)
            except OSError:
                return
            for level, kind, data in extra:
                if (level, kind) != (socket.IPPROTO_IP, IP_RECVERR) or len(data) < 4:
                    continue
                error_number = int.from_bytes(data[:4], sys.byteorder)  # of sock_extended_err
                if error_number == errno.ECONNREFUSED:
                    self.loop.dispatch(self, self.on_port_unreachable, (address[0], address[1]))

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Process one received datagram."""
        self.members.receive(data, source, self.now)
        self.pass_on()

    def on_port_unreachable(self, address: Address) -> None:
        """Process an ICMP error: no process listens at the address."""
        self.members.on_port_unreachable(address, self.now)
        self.pass_on()

    def tick(self, scheduled_at: int) -> None:
        """Run the membership's timers, unless an earlier tick has taken this one's place."""
        if scheduled_at == self.tick_at:
            self.tick_at = 0
            self.members.tick(self.now)
            self.pass_on()

    def schedule(self) -> None:
        """Set a timer for when the membership is due next, unless an earlier one is set."""
        due = self.members.due()
        if not self.tick_at or due < self.tick_at:
            self.tick_at = due
            self.loop.call_at(due, self, self.tick, due)

    def pass_on(self) -> None:
        """Send pending datagrams, and hand events and received messages to those they concern."""
        datagrams, events, payloads = self.members.take_output()
        for address, data in datagrams:
            self.send_datagram(address, data)
        for event in events:
            self.on_event(event)
        for member, channel, payload in payloads:
            self.on_payload(member, channel, payload)
        self.process_ejection_messages()
        self.process_quota_messages()
        self.process_consensus_messages()
        if self.members.change_count != self.seen_membership_changes:
            self.seen_membership_changes = self.members.change_count
            self.update_fleet_size(self.loop.clock())
        if self.members.registry.change_count != self.seen_registry_changes:
            self.seen_registry_changes = self.members.registry.change_count
            self.apply_registry()
        self.schedule()

    def send_datagram(self, address: Address, data: bytes) -> None:
        """Send one datagram; count and log a failure, which the protocols treat as a loss."""
        try:
            self.sock.sendto(data, address)
        except BlockingIOError:
            self.counts["fleet_not_sent"] += 1
        except OSError as error:
            self.counts["fleet_send_failed"] += 1
            if error.errno != errno.ECONNREFUSED:
                host, port = address
                log.warning_uncounted("fleet_send_failed", address=f"{host}:{port}", fault=error)

    def process_ejection_messages(self) -> None:
        """Hand received messages on ejections to the outlier monitor."""
        messages = self.members.received_ejection_messages
        if not messages:
            return
        self.members.received_ejection_messages = []
        for sender, message in messages:
            if self.outlier_monitor:
                self.outlier_monitor.on_message(sender, message)
        self.send_application_messages()

    def process_quota_messages(self) -> None:
        """Hand received messages on limits to the quota allocation."""
        messages = self.members.received_quota_messages
        if not messages:
            return
        self.members.received_quota_messages = []
        for sender, message in messages:
            if message.kind == STALE_STATE:
                self.on_stale_state(message, sender)
            else:
                self.quota_allocation.on_message(message, sender, self.loop.clock())
        self.send_application_messages()

    def process_consensus_messages(self) -> None:
        """Hand received consensus messages to the consensus service."""
        messages = self.members.received_consensus_messages
        if not messages:
            return
        self.members.received_consensus_messages = []
        if self.agreed:
            for sender, message in messages:
                self.agreed.receive(sender, message)
            self.agreed.flush()

    def on_event(self, event: Event) -> None:
        """Count and log an event, and tell it to watchers and to the quota allocation."""
        self.counts[event.name] += 1
        at = event.at - self.loop.offset  # on the monotonic clock, which processes have in common
        run = f"{self.members.metadata.run:x}"
        fields = {"process": self.spec.name, "process_run": run, "mono_ns": at} | event.pairs
        log.info(event.name, **fields)
        name = event.pairs.get("member", "")
        if event.name in ("member_left", "member_lost"):
            if event.pairs.get("why") != REASON_NAMES[NO_RESPONSE]:
                self.quota_allocation.departed.add(name)
        elif event.name == "member_here":
            self.quota_allocation.departed.discard(name)
        for watcher in list(self.watchers):
            watcher({"event": control_name(event.name)} | fields)

    def strike(self, name: str) -> int:
        """Declare a member dead for an operator; return how many runs of it were.

        Only a member that is unreachable can be, or a home of a limit that was never met.
        """
        declared_dead = self.members.declare_dead(name, self.loop.clock())
        is_gone = not any(
            member.metadata.name == name and member.connected
            for member in self.members.members.values()
        )
        if is_gone and any(
            name in allocation.homes for allocation in self.quota_allocation.stored.values()
        ):
            self.quota_allocation.departed.add(name)
            declared_dead = max(declared_dead, 1)
        self.pass_on()
        return declared_dead

    def say(self, key: str, value: dict[str, Any], lifetime_ns: int) -> bool:
        """Set a registry entry for the whole fleet, or delete it if `value` is empty.

        Return whether the registry had capacity for it.
        """
        data = msgspec.json.encode(value) if value else b""
        entry = self.members.registry.put(
            key, data, lifetime_ns, self.members.metadata.id, self.loop.clock()
        )
        if entry is not None:
            log.info("registry_entry_changed", key=key, **value)
            self.members.broadcast_payloads(self.loop.clock())
            self.pass_on()
        return entry is not None

    def apply_registry(self) -> None:
        """Apply what operators have set in the registry: amounts, closed routes, ejections."""
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
        if amounts != self.amount_overrides:
            self.amount_overrides = amounts
            self.quota_allocation.apply_configs(self.limits_with_overrides(), self.loop.clock())
            self.attach()
            description = ",".join(f"{name}={amount:g}" for name, amount in amounts.items())
            log.info("quota_overrides_changed", limits=description)

    def limits_with_overrides(self) -> tuple[LimitConfig, ...]:
        """Return the configured limits, with the amounts that operators have set for a while."""
        amounts = self.amount_overrides
        return tuple(
            config.with_amount(amounts[config.limit.name])
            if config.limit.name in amounts
            else config
            for config in self.spec.limits
        )

    def register(self) -> dict[str, Any]:
        """Return the registry's entries, and which connected members hold the same entries.

        Also whether each member divides the limits in the same way.
        """
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
                    "name": member.metadata.name,
                    "run": f"{member.metadata.run:x}",
                    "holds": member.registry_digest == registry.digest,
                    "limits": member.metadata.limits_epoch == self.quota_allocation.epoch
                    or not self.quota_allocation.tables,
                }
                for member in self.members.members.values()
                if member.connected
            ],
            "agreed": self.quota_allocation.agreed,
        }

    def begin(self, name: str) -> bool:
        """Record for an operator that nothing was used of a limit's current window.

        Return whether the limit exists and counts requests of calendar windows.
        """
        if not self.quota_allocation.mark_window_unused(name, self.loop.clock()):
            return False
        limit_hash = self.quota_allocation.tables[name].config.limit.wire_id
        known_since = self.quota_allocation.known_since_by_limit[limit_hash]
        self.pending_history_starts[HISTORY_START, limit_hash] = (known_since,)
        return True

    def run_periodic_tasks(self) -> None:
        """Run the timers of limits and ejections, and call again after TIMER_INTERVAL."""
        self.periodic_tasks_running = bool(self.spec.limits or self.outlier_monitor)
        if not self.periodic_tasks_running:
            return
        now = self.now = self.loop.clock()
        self.loop.call_at(now + TIMER_INTERVAL, self, self.run_periodic_tasks)
        members = self.members
        allocation = self.quota_allocation
        others = [member for member in members.members.values() if member.reachability != GONE]
        self.update_clocks(now)
        self.update_allocation_agreement(now, others)
        if any(member.metadata.name == self.spec.name for member in others):
            allocation.extend_fence(now)  # a second process of this name holds the same homes
        ids_by_name = {member.metadata.name: member.id for member in others if member.connected}
        allocation.on_timer(
            now, lambda limit: [ids_by_name[home] for home in limit.homes if home in ids_by_name]
        )
        self.publish_approximate_quotas(now, others)
        self.limit_enforcer.on_timer(now, self.process.pools.values())
        if self.outlier_monitor:
            self.outlier_monitor.on_timer(now)
        if self.state_store:
            self.maintain_state_store(self.state_store, now)
        self.send_application_messages()

    def maintain_state_store(self, store: StateStore, now: int) -> None:
        """Have pending records written, publish the sequence number, drop expired records."""
        quotas = self.quota_allocation.calendar_quotas()
        if self.pending_history_starts or any(quota.pending_records for quota in quotas):
            store.wake()
        sequence = store.sequence.to_bytes(STATE_SEQUENCE_BYTES, "big")
        self.members.publish(STATE_SEQUENCE_CHANNEL, sequence)
        if now >= self.next_expiry_at:
            is_expired = self.quota_allocation.make_expiry_filter(now)
            self.next_expiry_at = now + EXPIRY_INTERVAL
            store.discard(lambda key: key[0] == WINDOW and is_expired(key[1], key[3]))

    def update_clocks(self, now: int) -> None:
        """Estimate the fleet's wall-clock time anew from the samples since the last call."""
        self.clocks.own = time.time_ns() - now
        for member, wall, sent, at in self.members.clock_samples:
            self.clocks.on_sample(member, wall - at, wall - sent, now)
        self.members.clock_samples.clear()
        has_calendar_limit = any(config.calendar for config in self.spec.limits)
        self.members.wall_offset = self.clocks.own if has_calendar_limit else 0
        self.clocks.update(
            now,
            [member.id for member in self.members.members.values() if member.reachability != GONE],
        )

    def update_allocation_agreement(self, now: int, others: list[Member]) -> None:
        """Announce how this member divides the limits, and check whether the others agree."""
        allocation = self.quota_allocation
        if allocation.agreed and allocation.announced_epoch == allocation.epoch:
            return
        if allocation.announce(now):
            self.members.reconfigure(
                now,
                self.spec.seeds,
                Seal(self.spec.keys),
                self.spec.times,
                limits_epoch=allocation.epoch if allocation.tables else 0,
            )
        agreeing: set[str] = set()
        disagreeing: set[str] = set()
        for member in others:
            if not member.connected:
                continue
            agrees = member.metadata.limits_epoch == allocation.epoch
            (agreeing if agrees else disagreeing).add(member.metadata.name)
        unreachable = {member.metadata.name for member in others if member.unreachable}
        known_since = allocation.known_since
        agreed = allocation.check_agreement(
            now, agreeing, disagreeing, unreachable, self.clocks.sample_count
        )
        if self.state_store and allocation.known_since != known_since:
            # The file knows all that is used from here on, but not what was used before.
            self.pending_history_starts[HISTORY_START,] = (allocation.known_since,)
        if agreed:
            log.info(
                "quota_allocation_agreed",
                limits=",".join(allocation.tables),
                epoch=f"{allocation.epoch:x}",
            )

    def publish_approximate_quotas(self, now: int, others: list[Member]) -> None:
        """Run the timers of approximate limits, and publish what this member asks for of them."""
        quotas = self.quota_allocation.approximate_quotas
        if not quotas:
            return
        connected_by_id = {member.id: member.connected for member in others}
        broadcast = False
        for quota in quotas.values():
            changed, urgent = quota.on_timer(
                now, connected_by_id, self.fleet_sizes.min_balancers(now)
            )
            if changed:
                self.members.publish(quota.limit.wire_id, quota.encode_report(now))
            broadcast = broadcast or urgent
        if broadcast:
            self.members.broadcast_payloads(now)

    def send_application_messages(self) -> None:
        """Send the pending messages of limits and ejections."""
        quota_messages = self.quota_allocation.take_messages()
        ejection_messages = self.outlier_monitor.take_messages() if self.outlier_monitor else []
        if quota_messages or ejection_messages:
            self.members.send_application_messages(
                quota_messages, self.loop.clock(), ejection_messages
            )
            self.pass_on()

    def limits(self) -> list[dict[str, Any]]:
        """Return the state of each limit at this member."""
        return self.quota_allocation.status_rows(self.loop.clock())

    def on_state_sequence(self, member_id: int, payload: bytes) -> None:
        """Warn a restarted member whose state file is older than its last run's.

        Its file has a lower sequence number then: it is an old copy, or was lost.
        """
        member = self.members.members.get(member_id)
        if member is None or len(payload) != STATE_SEQUENCE_BYTES:
            return
        name = member.metadata.name
        sequence = int.from_bytes(payload, "big")
        self.counts["state_stamps_received"] += 1
        previous_id, highest = self.peer_state_sequences.pop(name, (member_id, 0))
        if previous_id != member_id and sequence < highest:
            self.members.send_application_messages(
                [(member_id, QuotaMessage(STALE_STATE, 0, highest, 0, 0))], self.loop.clock()
            )
        # Inserted anew, so that the first entry is the one that was updated longest ago.
        self.peer_state_sequences[name] = member_id, max(sequence, highest)
        while len(self.peer_state_sequences) > self.members.max_members:
            del self.peer_state_sequences[next(iter(self.peer_state_sequences))]

    def on_stale_state(self, message: QuotaMessage, sender: int) -> None:
        """Distrust the state file: another member knows of later records of the last run."""
        if self.state_store is None or message.nonce <= self.initial_state_sequence:
            return
        log.warning(
            "state_store_stale",
            file=self.state_store.journal.path,
            notes=self.initial_state_sequence,
            known=message.nonce,
            by=self.members.name_of(sender),
        )
        self.initial_state_sequence = message.nonce
        self.state_store.sequence = max(self.state_store.sequence, message.nonce)
        self.quota_allocation.invalidate_records(self.loop.clock())
        self.pending_history_starts[HISTORY_START,] = (self.quota_allocation.known_since,)

    def on_payload(self, member_id: int, channel: int, payload: bytes) -> None:
        """Hand a payload that another member published to whom its channel belongs."""
        if channel == STATE_SEQUENCE_CHANNEL:
            self.on_state_sequence(member_id, payload)
            return
        if channel == LOG_PROGRESS_CHANNEL:
            if self.agreed:
                self.agreed.on_announcement(member_id, payload)
            return
        if channel in self.approximate_quotas:
            self.approximate_quotas[channel].on_report(member_id, payload, self.loop.clock())
            return
        name = self.pool_names.get(channel)
        fleet_size = self.fleet_sizes.pools.get(name) if name else None
        pool = self.process.pools.get(name) if name else None
        if fleet_size is None or pool is None:
            return
        number = fleet_size.ids.get(member_id)
        if number is None:
            return
        if len(self.last_peer_messages) > 4 * self.members.max_members:
            self.last_peer_messages.clear()
        if self.last_peer_messages.get((member_id, channel)) != payload:
            self.last_peer_messages[member_id, channel] = payload
            pool.receive_peer_message(number, payload)

    def update_fleet_size_periodically(self) -> None:
        """Update the fleet size, and call again after FLEET_SIZE_INTERVAL."""
        self.loop.call_at(self.now + FLEET_SIZE_INTERVAL, self, self.update_fleet_size_periodically)
        self.update_fleet_size(self.now)

    def update_fleet_size(self, now: int) -> None:
        """Tell pools how many balancers share them, and which of these this one is."""
        for fleet_size in self.fleet_sizes.update(now):
            pool: Pool | None = self.process.pools.get(fleet_size.name)
            if pool is not None:
                pool.set_fleet_size(fleet_size.balancers, fleet_size.number)
                self.last_peer_messages.clear()  # messages come under other numbers from now on
                log.info(
                    "pool_fleet_size_changed",
                    pool=fleet_size.name,
                    balancers=fleet_size.balancers,
                    number=fleet_size.number,
                )
