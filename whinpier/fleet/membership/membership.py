"""Decides which processes are members of the fleet, and which part of a partition this one is in.

The protocol is SWIM (Das, Gupta, Motivala 2002): members are probed in random order, indirectly
through other members where that fails, updates are piggybacked on datagrams that are sent anyway,
and a suspect can refute a suspicion by raising its incarnation. From Lifeguard (Dadgar, Phillips,
Currey 2018) come timeouts that grow while this process is itself slow. Members whose digests differ
exchange their full state.

The state machine does no I/O: it is handed datagrams, refused addresses, the time and a source of
random numbers, and yields datagrams, events and the time of its next call. Times are nanoseconds on
one monotonic clock. Invariants: an unreachable member is never taken for dead without evidence, a
datagram that may be a replay changes nothing, and every table is bounded.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from whinpier.fleet import messages
from whinpier.fleet.messages import (
    ACK,
    ALIVE,
    APPLICATION_DATA,
    DECLARED_DEAD,
    INDIRECT_ACK,
    LEAVING,
    LEFT,
    LOST,
    METADATA_REQUEST,
    NO_RESPONSE,
    PING,
    PING_REQUEST,
    PORT_UNREACHABLE,
    REASON_NAMES,
    REPLACED,
    SELF_REPORTED,
    STATE_EXCHANGE,
    STATE_NAMES,
    SUPERSEDED,
    SUSPECT,
    ConsensusMessage,
    Datagram,
    DatagramError,
    DatagramWithoutConsensus,
    EjectionMessage,
    MemberMetadata,
    MemberUpdate,
    QuotaMessage,
    Seal,
)
from whinpier.fleet.registry import Registry, RegistryEntry
from whinpier.policy.decaying_sum import SECOND

MS = SECOND // 1000
Address = tuple[str, int]
# Due time, sequence number, callback, arguments, nonce of the probe whose answer cancels it or 0.
Timer = tuple[int, int, Callable[..., None], tuple[Any, ...], int]

# Bounds of tables.
MAX_MEMBERS = 4_096  # four times the largest fleet that was tested
MAX_TOMBSTONES = 4_096
MAX_CLOCK_SAMPLES = 1_024  # not taken by the host yet
MAX_PROBES = 512  # unanswered, for this member and for others: those of two seconds
MAX_DISPUTES = 16  # reporters of one member's loss that are remembered
MAX_RECENT_SUSPICIONS = 8
# Datagrams of one sender that may arrive out of order: 3 s of them at 300 a second.
REPLAY_WINDOW = 1_024

# Failure detection.
INDIRECT_PROBES = 3  # members asked; with 10% loss four in a hundred such rounds still fail
INDIRECT_PROBE_FRACTION = 0.4  # of the time to answer, after which indirect probes are sent
# To a suspect while it may refute. With 10% loss each way, all of them fail once in 800 times.
SUSPECT_REMINDERS = 4
# A member heard this recently is not taken for lost on another member's word.
RECENTLY_HEARD_NS = SECOND
SUSPICION_BURST_NS = 2 * SECOND  # two suspicions within it double the probe rate
LOST_PROBE_INTERVAL_NS = SECOND // 4  # between pings to one of the lost members
DISPUTE_LIFETIME_NS = 10 * SECOND
# Longer than a process is stopped or a network is partitioned, after which old updates return.
TOMBSTONE_LIFETIME_NS = 600 * SECOND

# This process's own slowness (Lifeguard's local health).
PAUSE_NS = SECOND // 2  # a call this late: the process was stopped, its timers prove nothing
SLOWNESS_UNIT_NS = SECOND // 4  # of lateness that adds one to the factor of timeouts
MAX_TIMEOUT_FACTOR = 4.0
SLOWNESS_DECAY_NS = 5 * SECOND

# Dissemination.
RETRANSMIT_MULTIPLIER = 3  # times that an update is sent, for each doubling of the fleet
BYTES_PER_SECOND = 64_000  # sent on average; what exceeds it is dropped, and repeated later
BURST_BYTES = 64_000
EXCHANGE_INTERVAL_NS = SECOND  # between full state exchanges
EXCHANGE_INTERVAL_AFTER_LOSS_NS = SECOND // 4  # the same while a member is lost
EXCHANGE_INTERVAL_AT_START_NS = 2 * SECOND  # after the start, in which the shorter interval holds
MAX_INTRODUCTIONS = 3  # times that this member's metadata is sent to a member unasked
MAX_METADATA_PER_DATAGRAM = 4
MAX_PAYLOADS_PER_DATAGRAM = 8
MAX_LEAVE_NOTICES = 64  # sent at once; other members hear of the leave from their receivers

# Joining.
JOIN_REPLIES_PER_SECOND = 400.0  # to unknown senders: a fleet of hundreds may start at once
# Enough for three hundred that join at once to learn of each other within a second.
MEMBERS_PRESENTED = 6
SEEDS_PER_PERIOD = 3  # pinged until the first answer, and while the fleet may be starting
STARTUP_NS = 10 * SECOND  # in which the fleet may be starting
STARTUP_PROBE_INTERVAL_NS = SECOND // 2  # of seeds after the first answer, and of members
# Seeds are tried for good: a part of the fleet may be known from the configuration alone.
SEED_PROBE_INTERVAL_NS = 5 * SECOND

# Sizes in a datagram.
REQUESTED_ID_BYTES = 9
PAYLOAD_OVERHEAD_BYTES = 10  # channel and lengths of one payload
METADATA_RESERVE_BYTES = 700  # for this member's metadata and gossip beside a page of updates
REGISTRY_PAGE_RESERVE_BYTES = 100
CONSENSUS_BYTES_PER_DATAGRAM = (
    messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - messages.MEMBER_UPDATE_BYTES - 1
)

UINT64_MASK = 2**64 - 1

# Reachability, by which members are counted: connected; lost by silence alone; certainly gone.
CONNECTED, UNREACHABLE, GONE = range(3)

# What is known of a seed.
SEED_UNASKED = "unasked"
SEED_SILENT = "silent"
SEED_REFUSED = "refused"
SEED_MET = "met"


@dataclass(frozen=True)
class MembershipTiming:
    """Intervals and timeouts of failure detection, in nanoseconds.

    The defaults find a killed member within 3 s, and lose none that pauses for 1 s.
    """

    probe: int = 100 * MS  # between pings of this member
    answer: int = 300 * MS  # from a ping to suspicion, with indirect probes in between
    suspect: int = 1_200 * MS  # to refute a suspicion; a pause of 1 s and its answer fit in
    refused: int = 400 * MS  # the same for a closed port: a paused process keeps its port open
    reckon: int = 600 * SECOND  # that an unreachable member still counts, as it may be sending
    settle: int = 2 * SECOND  # until a member that gets no answer goes on alone


@dataclass(frozen=True, slots=True)
class Event:
    """An event for the log, for watchers on the control socket and for the tests' referee."""

    name: str
    at: int
    pairs: dict[str, Any] = field(default_factory=dict)


class Tombstone(NamedTuple):
    """What is remembered of a removed member."""

    expires_at: int
    incarnation: int  # a later one brings the member back, unless its last state is final
    update: MemberUpdate  # the last one


class QueuedUpdate:
    """An update that is still to be gossiped."""

    __slots__ = ("transmissions", "update")

    def __init__(self, update: MemberUpdate) -> None:
        """Queue an update that was not sent yet."""
        self.update: MemberUpdate | None = update  # None: a later update has replaced it
        self.transmissions = 0


class QueuedMetadata:
    """A member whose metadata is still to be gossiped."""

    __slots__ = ("member_id", "transmissions")

    def __init__(self, member_id: int) -> None:
        """Queue metadata that was not sent yet."""
        self.member_id = member_id
        self.transmissions = 0


class Member:
    """What is known of one other member."""

    __slots__ = (
        "digest_part",
        "direct",
        "disputes",
        "has_duplicate",
        "heard",
        "highest_sequence",
        "id",
        "introduced",
        "last_update",
        "metadata",
        "notified_at",
        "payloads",
        "reachability",
        "refusals",
        "refused_since",
        "registry_digest",
        "seen",
        "since",
        "via",
    )

    def __init__(self, metadata: MemberMetadata, update: MemberUpdate, now: int) -> None:
        """Start with the first update on a member."""
        self.metadata = metadata
        self.id = metadata.id
        self.last_update = update
        self.since = now  # when its state or the reason for it last changed
        self.heard = 0  # when it last sent a datagram that was no replay; 0: never
        self.highest_sequence = -1
        self.seen = 0  # bit set of the `REPLAY_WINDOW` sequence numbers up to the highest
        self.notified_at = 0  # when it was last told what is reported of it
        self.refusals = 0  # of its port, since it was last heard
        self.refused_since = 0
        self.disputes: dict[int, int] = {}  # who reports it lost though it is heard here: when
        self.via = 0  # id of the member through which it was last reached
        self.direct = 0  # when it last answered this member itself
        self.introduced = 0  # times that this member's metadata was sent to it
        self.has_duplicate = False  # another run has its name
        self.payloads: dict[int, bytes] = {}  # by channel: what it last published
        self.digest_part = 0  # of its update
        self.reachability = GONE  # as which it is counted
        self.registry_digest = 0  # as it last told

    @property
    def state(self) -> int:
        """Return its state, as last reported."""
        return self.last_update.state

    @property
    def connected(self) -> bool:
        """Tell whether it is taken to be reachable."""
        return self.last_update.state <= SUSPECT

    @property
    def unreachable(self) -> bool:
        """Tell whether it is lost by silence alone: it may still be sending to upstreams."""
        return self.last_update.state == LOST and self.last_update.reason == NO_RESPONSE

    def is_new(self, sequence: int) -> bool:
        """Record a datagram's sequence number; return False for a replay, or one too old to tell."""
        if sequence > self.highest_sequence:
            ahead = sequence - self.highest_sequence
            if ahead < REPLAY_WINDOW:
                self.seen = (self.seen << ahead | 1) & ((1 << REPLAY_WINDOW) - 1)
            else:
                self.seen = 1
            self.highest_sequence = sequence
            return True
        back = self.highest_sequence - sequence
        if back >= REPLAY_WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Probe:
    """A ping that has no answer yet."""

    __slots__ = ("address", "metadata", "requester", "requester_nonce", "sent_at", "target")

    def __init__(
        self,
        target: int,
        address: Address,
        sent_at: int,
        requester: int = 0,
        requester_nonce: int = 0,
        metadata: MemberMetadata | None = None,
    ) -> None:
        """Record a ping to a member, or to an address where `target` is 0."""
        self.target = target
        self.address = address
        self.sent_at = sent_at
        self.requester = requester  # of an indirect probe: the member that asked for it
        self.requester_nonce = requester_nonce  # of that member's own ping
        self.metadata = metadata  # of an unknown sender that has to prove its address


class Membership:
    """One member's view of the fleet.

    Whoever hosts it calls `tick` when `due` says so, `receive` and `on_port_unreachable` as they
    happen, and takes what came of it by `take_output` and from the lists `received_...`.
    """

    def __init__(
        self,
        metadata: MemberMetadata,
        seeds: Iterable[Address],
        seal: Seal,
        timing: MembershipTiming,
        rng: Random,
        now: int,
        max_members: int = MAX_MEMBERS,
        cached_addresses: Iterable[Address] = (),
    ) -> None:
        """Start to join through the seeds, and through addresses of members from the last run."""
        self.metadata = metadata
        self.seal = seal
        self.timing = timing
        self.max_members = max_members
        self.random = rng.random
        self.random_bits = rng.getrandbits
        self.shuffle = rng.shuffle
        self.sample = rng.sample
        self.now = now
        self.incarnation = 0
        self.state = ALIVE
        self.members: dict[int, Member] = {}
        self.ids_by_address: dict[Address, int] = {}  # the run that was last heard there
        self.tombstones: dict[int, Tombstone] = {}
        self.probes: dict[int, Probe] = {}  # by nonce
        self.join_probes: dict[int, int] = {}  # nonces of pings to unknown senders, by their ids
        self.timers: list[Timer] = []
        self.timers_set = 0
        self.outgoing: list[tuple[Address, bytes]] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.update_queue: deque[QueuedUpdate] = deque()
        self.queued_updates: dict[int, QueuedUpdate] = {}  # the latest one of each member
        self.metadata_queue: deque[QueuedMetadata] = deque()
        self.own_payloads: dict[int, bytes] = {}  # by channel
        self.payload_turn = 0
        # What datagrams brought for the host, with the sender first.
        self.received_payloads: list[tuple[int, int, bytes]] = []  # channel, payload
        self.received_quota_messages: list[tuple[int, QuotaMessage]] = []
        self.received_ejection_messages: list[tuple[int, EjectionMessage]] = []
        self.received_consensus_messages: list[tuple[int, ConsensusMessage]] = []
        self.clock_samples: list[tuple[int, int, int, int]] = []  # wall clock, ping, answer
        self.registry = Registry()
        self.wall_offset = 0  # wall clock minus this clock; 0: it is not told
        self.digest = 0
        self.own_digest_part = 0
        self.reachability_counts = [0, 0, 0]
        self.change_count = 0  # of members that come, go or change their reachability
        self.sequence = 0
        self.tokens = float(BURST_BYTES)  # bytes that may be sent
        self.tokens_at = now
        self.join_tokens = JOIN_REPLIES_PER_SECOND
        self.probe_order: list[int] = []  # members still to be probed in this round
        self.slowness = 0.0
        self.slowness_at = now
        self.suspicion_times: deque[int] = deque(maxlen=MAX_RECENT_SUSPICIONS)
        self.exchanged_at = now
        self.joined = False
        self.started_at = now
        self.position = ""
        self.seeds: dict[Address, str] = {}
        self.seed_order: list[Address] = []
        self.cached_addresses = set(cached_addresses)
        self.set_seeds(seeds)
        self.announce_own_update()
        self.schedule(now, self.probe_next)
        self.schedule(now + LOST_PROBE_INTERVAL_NS, self.probe_lost_member)
        self.schedule(now, self.probe_seeds)
        self.schedule(now + SECOND, self.sweep)

    # Time.

    def due(self) -> int:
        """Return when `tick` is to be called."""
        # Most pings are answered at once: timers of answered ones are dropped without a wake-up.
        while self.timers[0][4] and self.timers[0][4] not in self.probes:
            heapq.heappop(self.timers)
        return self.timers[0][0]

    def schedule(self, at: int, call: Callable[..., None], *args: Any) -> None:
        """Call a method at a time."""
        self.timers_set += 1
        heapq.heappush(self.timers, (at, self.timers_set, call, args, 0))

    def schedule_unless_answered(self, at: int, call: Callable[[int], None], nonce: int) -> None:
        """Call a method with a ping's nonce at a time, unless the ping is answered by then."""
        self.timers_set += 1
        timer: Timer = (at, self.timers_set, call, (nonce,), nonce)
        heapq.heappush(self.timers, timer)

    def advance_clock(self, now: int) -> None:
        """Take over the time; a call that is long overdue shows that this process was stopped."""
        late = now - self.due()
        self.now = max(self.now, now)
        if late > PAUSE_NS:
            # Without this, others would be taken for silent while this process was not listening.
            self.timers = [(timer[0] + late, *timer[1:]) for timer in self.timers]
            self.add_event("process_paused", for_ms=late // MS)
        if late > SLOWNESS_UNIT_NS // 4:
            added = min(late / SLOWNESS_UNIT_NS, MAX_TIMEOUT_FACTOR - 1.0)
            self.slowness = max(self.current_slowness(), added)
            self.slowness_at = self.now

    def current_slowness(self) -> float:
        """Return how slow this process was recently; the value decays linearly."""
        return self.slowness * max(0.0, 1.0 - (self.now - self.slowness_at) / SLOWNESS_DECAY_NS)

    def scale_timeout(self, timeout: int) -> int:
        """Return a timeout for others, longer while this process is itself slow (Lifeguard)."""
        return int(timeout * (1.0 + self.current_slowness()))

    def tick(self, now: int) -> None:
        """Run the timers that are due."""
        self.advance_clock(now)
        while self.due() <= now:
            _, _, call, args, _ = heapq.heappop(self.timers)
            call(*args)

    def take_output(
        self,
    ) -> tuple[list[tuple[Address, bytes]], list[Event], list[tuple[int, int, bytes]]]:
        """Return the datagrams to send, the events and the received payloads since the last call."""
        output = self.outgoing, self.events, self.received_payloads
        self.outgoing = []
        self.events = []
        self.received_payloads = []
        return output

    # Gossip queues.

    def own_update(self) -> MemberUpdate:
        """Return this member's update on itself."""
        return MemberUpdate(
            self.metadata.id, self.incarnation, self.state, SELF_REPORTED, self.metadata.id
        )

    def announce_own_update(self) -> None:
        """Take this member's changed update into the digest and gossip it."""
        update = self.own_update()
        self.digest ^= self.own_digest_part
        self.own_digest_part = digest_part(update)
        self.digest ^= self.own_digest_part
        self.spread_update(update)

    def spread_update(self, update: MemberUpdate) -> None:
        """Gossip an update, a few times for each doubling of the fleet."""
        old = self.queued_updates.pop(update.id, None)
        if old is not None:
            old.update = None  # leaves the queue when its turn comes
        queued = self.queued_updates[update.id] = QueuedUpdate(update)
        self.update_queue.appendleft(queued)

    def spread_metadata(self, metadata: MemberMetadata) -> None:
        """Gossip a member's metadata."""
        if len(self.metadata_queue) < self.max_members:
            self.metadata_queue.appendleft(QueuedMetadata(metadata.id))

    def connected_members(self, *excluded: int) -> list[Member]:
        """Return the members that are taken to be reachable, but for some ids."""
        return [
            member
            for member in self.members.values()
            if member.connected and member.id not in excluded
        ]

    def count(self) -> int:
        """Return how many members are connected, with this one."""
        return 1 + self.reachability_counts[CONNECTED]

    def any_lost(self) -> bool:
        """Tell whether any member is lost."""
        return len(self.members) > self.reachability_counts[CONNECTED]

    # Sending.

    def send(
        self,
        kind: int,
        address: Address,
        recipient: Member | None,
        nonce: int = 0,
        target: int = 0,
        updates: list[MemberUpdate] | None = None,
        metadata: list[MemberMetadata] | None = None,
        requested_ids: list[int] | None = None,
        introduce: bool = False,
        quota_messages: list[QuotaMessage] | None = None,
        registry_page: list[RegistryEntry] | None = None,
        ejection_messages: list[EjectionMessage] | None = None,
        consensus_messages: list[ConsensusMessage] | None = None,
    ) -> None:
        """Send one datagram, filled up with gossip; `recipient` is None for an unknown one.

        It is dropped where too much was sent of late.
        """
        updates = list(updates or ())
        metadata = list(metadata or ())
        if not consensus_messages and (
            introduce or recipient is None or recipient.introduced < MAX_INTRODUCTIONS
        ):
            metadata.insert(0, self.metadata)
            if recipient is not None:
                recipient.introduced += 1
        if (
            recipient is not None
            and recipient.state != ALIVE
            and len(updates) < messages.MAX_UPDATES
        ):
            updates.insert(0, recipient.last_update)  # so that it can refute
        requested_ids = requested_ids or []
        quota_messages = quota_messages or []
        capacity = (
            messages.MAX_DATAGRAM_BYTES
            - messages.EMPTY_DATAGRAM_BYTES
            - REQUESTED_ID_BYTES * len(requested_ids)
            - messages.MEMBER_UPDATE_BYTES * len(updates)
            - messages.QUOTA_MESSAGE_BYTES * len(quota_messages)
            - messages.EJECTION_MESSAGE_BYTES * len(ejection_messages or ())
            - sum(map(messages.encoded_size, metadata))
            - sum(map(messages.encoded_size, consensus_messages or ()))
        )
        registry_entries = list(registry_page or ())
        if recipient is not None and kind in (PING, ACK) and self.registry.pending:
            registry_entries = self.registry.collect_updates(capacity, len(self.members), self.now)
            capacity -= sum(map(messages.encoded_size, registry_entries))
        payloads: list[tuple[int, bytes]] = []
        if self.own_payloads and kind in (PING, ACK):
            payloads, capacity = self.collect_payloads(capacity)
        self.refill_tokens()
        if (
            recipient is not None
            and kind != APPLICATION_DATA
            and not registry_page
            and (kind != STATE_EXCHANGE or not updates)
        ):
            # The fewer bytes may be sent, the less gossip is added: answers go out in any case.
            allowed = int(self.tokens * messages.MAX_DATAGRAM_BYTES / BURST_BYTES)
            self.add_gossip(updates, metadata, min(capacity, allowed))
        common = (
            kind,
            self.metadata.id,
            self.sequence,
            nonce,
            target,
            self.digest,
            updates,
            metadata,
            payloads,
            requested_ids,
            quota_messages,
            self.now + self.wall_offset if self.wall_offset else 0,
            self.registry.digest,
            registry_entries,
            ejection_messages or [],
        )
        data = self.seal.seal(
            Datagram(*common, consensus_messages)
            if consensus_messages
            else DatagramWithoutConsensus(*common)
        )
        if self.tokens < required_tokens(kind, bool(metadata), recipient is not None):
            self.counts["not_sent"] += 1
            return
        self.tokens -= len(data)
        self.sequence += 1
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)
        self.outgoing.append((address, data))

    def collect_payloads(self, capacity: int) -> tuple[list[tuple[int, bytes]], int]:
        """Return the published payloads whose turn it is, and the capacity that is left."""
        payloads: list[tuple[int, bytes]] = []
        channels = list(self.own_payloads)
        for step in range(min(len(channels), MAX_PAYLOADS_PER_DATAGRAM)):
            channel = channels[(self.payload_turn + step) % len(channels)]
            payload = self.own_payloads[channel]
            size = PAYLOAD_OVERHEAD_BYTES + len(payload)
            if size <= capacity:
                payloads.append((channel, payload))
                capacity -= size
        self.payload_turn += len(payloads)
        return payloads, capacity

    def refill_tokens(self) -> None:
        """Add the bytes that may be sent for the time since the last call."""
        earned = BYTES_PER_SECOND * max(0, self.now - self.tokens_at) / SECOND
        self.tokens = min(BURST_BYTES, self.tokens + earned)
        self.tokens_at = max(self.tokens_at, self.now)

    def add_gossip(
        self, updates: list[MemberUpdate], metadata: list[MemberMetadata], capacity: int
    ) -> None:
        """Add queued metadata and updates within the capacity, those sent least often first."""
        for _ in range(min(len(self.metadata_queue), MAX_METADATA_PER_DATAGRAM)):
            entry = self.metadata_queue.popleft()
            found = self.metadata_of(entry.member_id)
            if found is None:
                continue
            entry.transmissions += 1
            size = messages.encoded_size(found)
            if size <= capacity - 2 * messages.MEMBER_UPDATE_BYTES and found not in metadata:
                metadata.append(found)
                capacity -= size
            # Members that get an update without metadata request it, so few transmissions do.
            if entry.transmissions < RETRANSMIT_MULTIPLIER:
                self.metadata_queue.append(entry)
        transmissions = RETRANSMIT_MULTIPLIER * max(1, len(self.members).bit_length())
        included = {update.id for update in updates}
        limit = min(
            len(self.update_queue),
            max(0, capacity // messages.MEMBER_UPDATE_BYTES),
            messages.MAX_UPDATES - len(updates),
        )
        for _ in range(limit):
            queued = self.update_queue.popleft()
            update = queued.update
            if update is None:
                continue
            if update.id not in included:
                updates.append(update)
                queued.transmissions += 1
            if queued.transmissions < transmissions:
                self.update_queue.append(queued)
            elif self.queued_updates.get(update.id) is queued:
                del self.queued_updates[update.id]

    def metadata_of(self, member_id: int) -> MemberMetadata | None:
        """Return the metadata of a member or of this one; None: it is not known."""
        if member_id == self.metadata.id:
            return self.metadata
        member = self.members.get(member_id)
        return member.metadata if member else None

    def ping(
        self,
        address: Address,
        recipient: Member | None,
        target: int = 0,
        requester: int = 0,
        requester_nonce: int = 0,
        metadata: MemberMetadata | None = None,
    ) -> int:
        """Ping an address; return the nonce, or 0 where too many pings are unanswered."""
        if len(self.probes) >= MAX_PROBES:
            self.counts["probes_full"] += 1
            return 0
        nonce = self.random_bits(63) | 1
        self.probes[nonce] = Probe(target, address, self.now, requester, requester_nonce, metadata)
        self.send(PING, address, recipient, nonce, target, introduce=recipient is None)
        return nonce

    # Probing.

    def probe_next(self) -> None:
        """Probe the next member of a round in random order (SWIM, section 4.3)."""
        self.schedule(self.now + self.probe_interval(), self.probe_next)
        for _ in range(len(self.probe_order) + 1):
            if not self.probe_order:
                self.probe_order = [member.id for member in self.connected_members()]
                self.shuffle(self.probe_order)
                if not self.probe_order:
                    return
            member = self.members.get(self.probe_order.pop())
            if member is not None and member.connected:
                self.probe(member)
                return

    def probe_interval(self) -> int:
        """Return the time until the next probe."""
        recent = self.suspicion_times
        if len(recent) >= 2 and self.now - recent[-2] < SUSPICION_BURST_NS:
            # Several suspicions at once hint at a partition: all members of it are to be probed.
            return self.timing.probe // 2
        if self.now - self.started_at < STARTUP_NS and all(
            member.metadata.address in self.seeds for member in self.connected_members()
        ):
            # Hundreds may have started at once that know the same seeds and nobody else.
            return STARTUP_PROBE_INTERVAL_NS
        return self.timing.probe

    def probe(self, member: Member) -> None:
        """Ping a member, then probe it indirectly, then suspect it."""
        nonce = self.ping(member.metadata.address, member, member.id)
        if nonce:
            timeout = self.scale_timeout(self.timing.answer)
            indirect_at = self.now + int(INDIRECT_PROBE_FRACTION * timeout)
            self.schedule_unless_answered(indirect_at, self.send_indirect_probes, nonce)
            self.schedule_unless_answered(self.now + timeout, self.on_probe_timeout, nonce)

    def send_indirect_probes(self, nonce: int) -> None:
        """Ask some other members to ping the target of an unanswered probe."""
        probe = self.probes.get(nonce)
        if probe is None:
            return
        others = self.connected_members(probe.target)
        for helper in self.sample(others, min(INDIRECT_PROBES, len(others))):
            self.send(PING_REQUEST, helper.metadata.address, helper, nonce, probe.target)

    def on_probe_timeout(self, nonce: int) -> None:
        """Suspect a member that answered neither a ping nor an indirect probe."""
        probe = self.probes.pop(nonce, None)
        member = self.members.get(probe.target) if probe else None
        if member is None or member.state not in (ALIVE, LEAVING):
            return
        # A member that is known from others alone may not know this one: where hundreds start at
        # once its answers are limited, and members that have heard it will notice its death.
        if member.heard or self.now - self.started_at >= STARTUP_NS:
            self.suspect(member, NO_RESPONSE)

    def suspect(self, member: Member, reason: int) -> None:
        """Suspect a member, and let it know so that it can refute."""
        incarnation = member.last_update.incarnation
        self.adopt_update(
            member, MemberUpdate(member.id, incarnation, SUSPECT, reason, self.metadata.id)
        )
        self.remind_suspect(member.id, member.last_update.incarnation)

    def remind_suspect(self, member_id: int, incarnation: int) -> None:
        """Notify a suspect repeatedly, until it has refuted or its time is over."""
        # In a fleet of hundreds few members have heard the suspect recently and may notify it, and
        # by gossip alone it may hear of the suspicion too late.
        member = self.members.get(member_id)
        if (
            member is not None
            and member.state == SUSPECT
            and member.last_update.incarnation == incarnation
        ):
            self.notify_member(member)
            interval = self.scale_timeout(self.timing.suspect) // SUSPECT_REMINDERS
            self.schedule(self.now + interval, self.remind_suspect, member_id, incarnation)

    def on_suspicion_timeout(
        self, member_id: int, incarnation: int, reason: int, timeout: int
    ) -> None:
        """Take a member for lost that has not refuted a suspicion in time."""
        member = self.members.get(member_id)
        if member is None or (
            member.state,
            member.last_update.incarnation,
            member.last_update.reason,
        ) != (SUSPECT, incarnation, reason):
            return
        if member.heard and self.now - member.heard < min(RECENTLY_HEARD_NS, timeout):
            # It is alive: it was not notified, or its refutation has not arrived.
            self.notify_member(member)
            self.schedule(
                self.now + timeout // 2,
                self.on_suspicion_timeout,
                member_id,
                incarnation,
                reason,
                timeout,
            )
            return
        self.adopt_update(
            member, MemberUpdate(member.id, incarnation, LOST, reason, self.metadata.id)
        )

    def notify_member(self, member: Member) -> None:
        """Ping a member with what is reported of it, so that it can refute."""
        if self.now - member.notified_at >= self.timing.probe // 2:
            member.notified_at = self.now
            self.ping(member.metadata.address, member, member.id)

    def probe_lost_member(self) -> None:
        """Ping one lost member: the network may have failed, not the member."""
        self.schedule(self.now + LOST_PROBE_INTERVAL_NS, self.probe_lost_member)
        if self.any_lost():
            lost = [member for member in self.members.values() if member.state == LOST]
            member = lost[int(self.random() * len(lost))]
            self.ping(member.metadata.address, member, member.id)

    # Seeds.

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Take over the seeds of a configuration; what is known of those that stay is kept."""
        own = self.metadata.address
        addresses = dict.fromkeys((*seeds, *sorted(self.cached_addresses)))
        self.seeds = {
            address: self.seeds.get(address, SEED_UNASKED)
            for address in addresses
            if address != own
        }
        self.cached_addresses -= set(seeds)
        self.seed_order = []

    def probe_seeds(self) -> None:
        """Ping some seeds: several at once until one answers, later one now and then."""
        joining = not self.joined
        # Without these pings, parts that each joined through another seed, or a member whose first
        # pings met a partition, would stay apart.
        starting = self.count() == 1 or self.now - self.started_at < STARTUP_NS
        if self.cached_addresses and not starting:
            self.seeds = {
                seed: status
                for seed, status in self.seeds.items()
                if seed not in self.cached_addresses
            }
            self.cached_addresses.clear()
        if joining:
            interval = self.timing.probe
        elif starting:
            interval = STARTUP_PROBE_INTERVAL_NS
        else:
            interval = SEED_PROBE_INTERVAL_NS
        self.schedule(self.now + interval, self.probe_seeds)
        for _ in range(SEEDS_PER_PERIOD if joining or starting else 1):
            if not self.seed_order:
                self.seed_order = [seed for seed in self.seeds if not self.is_connected(seed)]
                self.shuffle(self.seed_order)
                if not self.seed_order:
                    break
            seed = self.seed_order.pop()
            if self.seeds.get(seed) == SEED_UNASKED:
                self.seeds[seed] = SEED_SILENT
            self.ping(seed, None)
        may_answer = any(status != SEED_REFUSED for status in self.seeds.values())
        if joining and (not may_answer or self.now - self.started_at >= self.timing.settle):
            self.join("nobody there" if not may_answer else "nobody answers")

    def is_connected(self, address: Address) -> bool:
        """Tell whether a connected member was last heard at an address."""
        member = self.members.get(self.ids_by_address.get(address, 0))
        return member is not None and member.connected

    def join(self, how: str) -> None:
        """Count as joined from now on."""
        self.joined = True
        self.add_event("fleet_joined", how=how, members=self.count(), seeds=len(self.seeds))

    def unresponsive_seeds(self) -> int:
        """Return how many seeds have neither answered nor refused."""
        return sum(status in (SEED_SILENT, SEED_UNASKED) for status in self.seeds.values())

    # Receiving.

    def receive(self, data: bytes, source: Address, now: int) -> None:
        """Handle a datagram from anyone; raise nothing."""
        self.advance_clock(now)
        self.counts["datagrams_in"] += 1
        self.counts["bytes_in"] += len(data)
        try:
            datagram = self.seal.open(data)
        except DatagramError as error:
            self.counts[f"unread_{error.reason}"] += 1
            return
        if datagram.sender == self.metadata.id:
            self.counts["unread_own"] += 1
            return
        member = self.members.get(datagram.sender)
        probe = self.probes.get(datagram.nonce) if datagram.kind == ACK else None
        if member is None:
            member = self.on_unknown_sender(datagram, probe, source)
            if member is None:
                return
        elif not member.is_new(datagram.sequence):
            # A replay, by whomever.
            self.counts["unread_again"] += 1
            return
        self.mark_heard(member)
        self.apply_datagram(datagram, member)
        handler = (
            self.on_ping,
            self.on_ack,
            self.on_ping_request,
            self.on_indirect_ack,
            self.on_state_exchange,
            self.on_metadata_request,
            self.on_application_data,
        )[datagram.kind]
        handler(datagram, member)
        if datagram.digest != self.digest:
            self.on_digest_mismatch(member)
        member.registry_digest = datagram.registry_digest
        if datagram.registry_digest != self.registry.digest and self.registry.start_full_sync(
            self.now
        ):
            self.send_full_registry(member)

    def on_unknown_sender(
        self, datagram: Datagram, probe: Probe | None, source: Address
    ) -> Member | None:
        """Admit an unknown sender only when it answers a ping of this member.

        Until then nothing that it says counts, as its datagrams may be replays.
        """
        metadata = next((one for one in datagram.metadata if one.id == datagram.sender), None)
        if (
            metadata is None
            and probe is not None
            and probe.metadata
            and probe.metadata.id == datagram.sender
        ):
            metadata = probe.metadata
        if metadata is not None and probe is not None:
            update = MemberUpdate(metadata.id, 0, ALIVE, SELF_REPORTED, self.metadata.id)
            member = self.admit(metadata, update, datagram.sequence, True)
            if member is not None and probe.metadata is not None:
                self.present_members(member)
            return member
        if metadata is not None:
            pending = self.probes.get(self.join_probes.get(metadata.id, 0))
            if pending and self.now - pending.sent_at < self.timing.answer:
                self.counts["knocks_again"] += 1  # a ping to it is still to be answered
                return None
        if self.join_tokens < 1.0:
            self.counts["knocks_refused"] += 1
            return None
        self.join_tokens -= 1.0
        if metadata is None:
            if datagram.kind == METADATA_REQUEST and self.metadata.id in datagram.requested_ids:
                self.ping(source, None)
            else:
                self.send(METADATA_REQUEST, source, None, requested_ids=[datagram.sender])
            return None
        tombstone = self.tombstones.get(datagram.sender)
        if tombstone is not None and tombstone.update.state >= LEFT:
            # It learns that its run is over, and starts another.
            self.send(PING, metadata.address, None, updates=[tombstone.update])
            return None
        if datagram.kind == PING:
            self.send(ACK, metadata.address, None, datagram.nonce, introduce=True)
        self.join_probes[metadata.id] = self.ping(metadata.address, None, metadata=metadata)
        return None

    def present_members(self, member: Member) -> None:
        """Tell a new member of some others, so that it need not learn all from this one."""
        # Where hundreds start at once and know the seeds alone, all would ask the seeds.
        others = self.connected_members(member.id)
        presented = self.sample(others, min(MEMBERS_PRESENTED, len(others)))
        if presented:
            self.send(
                STATE_EXCHANGE,
                member.metadata.address,
                member,
                updates=[other.last_update for other in presented],
                metadata=[other.metadata for other in presented],
            )

    def admit(
        self, metadata: MemberMetadata, update: MemberUpdate, sequence: int, proved: bool
    ) -> Member | None:
        """Add an unknown member; `proved`: it answered a ping. Return None where it may not be."""
        tombstone = self.tombstones.pop(metadata.id, None)
        if tombstone is not None and tombstone.update.state >= LEFT:
            self.tombstones[metadata.id] = tombstone
            return None
        if len(self.members) >= self.max_members:
            self.counts["table_full"] += 1
            self.add_event("member_table_full", name=metadata.name, most=self.max_members)
            return None
        if tombstone is not None and update.incarnation <= tombstone.incarnation:
            # It stays lost until it raises its incarnation.
            last = tombstone.update
            update = MemberUpdate(
                update.id, tombstone.incarnation, LOST, last.reason, last.reporter
            )
        member = Member(metadata, update, self.now)
        self.members[metadata.id] = member
        self.reachability_counts[GONE] += 1
        self.change_count += 1
        if proved:
            member.is_new(sequence)
        self.update_digest(member)
        position = int(self.random() * (len(self.probe_order) + 1))
        self.probe_order.insert(position, metadata.id)
        self.spread_metadata(metadata)
        self.spread_update(update)
        self.add_member_event(member, "member_" + STATE_NAMES[update.state])
        namesakes = [
            other for other in self.members.values() if other.metadata.name == metadata.name
        ]
        for other in namesakes:
            if other is not member and other.state <= LOST:
                self.resolve_same_name(other, member, proved)
        if proved or metadata.address not in self.ids_by_address:
            self.ids_by_address[metadata.address] = metadata.id
        if update.state == SUSPECT:
            self.start_suspicion_timer(member)
        if not self.joined and proved:
            self.join("met " + metadata.name)
        self.update_position()
        return member

    def resolve_same_name(self, old: Member, new: Member, proved: bool) -> None:
        """Handle a new run of a name; the old one can't still run at the same address."""
        if old.metadata.address == new.metadata.address:
            if proved:
                self.mark_replaced(old)
        elif old.state == LOST and old.last_update.reason == NO_RESPONSE:
            self.adopt_update(
                old,
                MemberUpdate(
                    old.id, old.last_update.incarnation, LOST, SUPERSEDED, self.metadata.id
                ),
            )
        elif old.connected and not old.has_duplicate:
            old.has_duplicate = True
            self.suspect(old, SUPERSEDED)
            self.notify_member(old)

    def mark_replaced(self, old: Member) -> None:
        """Remove a run for good whose address another run has taken over."""
        self.adopt_update(
            old,
            MemberUpdate(
                old.id, old.last_update.incarnation, REPLACED, SUPERSEDED, self.metadata.id
            ),
        )

    def mark_heard(self, member: Member) -> None:
        """Record that a member itself has sent something new."""
        member.heard = self.now
        member.refusals = 0
        self.ids_by_address[member.metadata.address] = member.id
        if member.metadata.address in self.seeds:
            self.seeds[member.metadata.address] = SEED_MET
        if member.state in (SUSPECT, LOST):
            self.notify_member(member)

    def apply_datagram(self, datagram: Datagram, sender: Member) -> None:
        """Take over what a member tells of others and of itself."""
        for metadata in datagram.metadata:
            self.apply_metadata(metadata, datagram.updates)
        unknown_ids: list[int] = []
        for update in datagram.updates:
            known = self.members.get(update.id)
            if known is None or known.last_update != update:  # most updates are known
                self.apply_update(update, sender, unknown_ids)
        if unknown_ids:
            self.send(
                METADATA_REQUEST,
                sender.metadata.address,
                sender,
                requested_ids=unknown_ids[: messages.MAX_REQUESTED_IDS],
            )
        self.received_quota_messages += [
            (sender.id, message) for message in datagram.quota_messages
        ]
        self.received_ejection_messages += [
            (sender.id, message) for message in datagram.ejection_messages
        ]
        self.received_consensus_messages += [
            (sender.id, message) for message in datagram.consensus_messages
        ]
        for entry in datagram.registry_entries:
            self.registry.merge(entry, self.now)
        if datagram.sequence < sender.highest_sequence:
            # A newer datagram has overtaken this one: its payloads are not to be undone.
            self.counts["said_overtaken"] += len(datagram.payloads)
            return
        for channel, payload in datagram.payloads:
            known_channel = sender.payloads.get(channel) is not None
            if known_channel or len(sender.payloads) < messages.MAX_POOLS:
                sender.payloads[channel] = payload
                self.received_payloads.append((sender.id, channel, payload))

    def apply_metadata(self, metadata: MemberMetadata, updates: list[MemberUpdate]) -> None:
        """Take over a member's metadata; one that is not known needs an update beside it."""
        if metadata.id == self.metadata.id:
            return
        known = self.members.get(metadata.id)
        if known is not None:
            if metadata.version > known.metadata.version:
                known.metadata = metadata
                self.spread_metadata(metadata)
                self.add_member_event(known, "member_changed")
            return
        update = next((one for one in updates if one.id == metadata.id and one.state <= LOST), None)
        if update is not None and not is_certainly_lost(update):
            self.admit(metadata, update, 0, False)

    def apply_update(self, update: MemberUpdate, sender: Member, unknown_ids: list[int]) -> None:
        """Take over an update if it outranks what is known; collect ids without metadata."""
        if update.id == self.metadata.id:
            self.refute(update, sender)
            return
        member = self.members.get(update.id)
        if member is None:
            self.apply_update_on_unknown(update, unknown_ids)
            return
        if update.rank <= member.last_update.rank:
            if (
                update.state == SUSPECT
                and update.reporter != member.last_update.reporter
                and member.state == SUSPECT
            ):
                self.counts["confirmed"] += 1
            return
        recently_heard = member.heard and self.now - member.heard < RECENTLY_HEARD_NS
        if update.state == LOST and recently_heard:
            # It is heard here: the network between it and the reporter has failed, or the reporter
            # does not listen.
            if update.reporter not in member.disputes:
                self.add_member_event(member, "member_disputed", by=self.name_of(update.reporter))
            member.disputes[update.reporter] = self.now
            while len(member.disputes) > MAX_DISPUTES:
                del member.disputes[next(iter(member.disputes))]
            self.notify_member(member)
            return
        if update.state == LOST and member.state in (ALIVE, LEAVING):
            # It may come from a part of the fleet that was cut off, so that the member is
            # suspected first and can refute.
            update = MemberUpdate(
                update.id, update.incarnation, SUSPECT, update.reason, update.reporter
            )
        self.adopt_update(member, update)
        if (
            update.state == SUSPECT
            and recently_heard
            and self.random() < INDIRECT_PROBES / self.count()
        ):
            # A few of those that hear it notify it, whatever the size of the fleet.
            self.notify_member(member)

    def apply_update_on_unknown(self, update: MemberUpdate, unknown_ids: list[int]) -> None:
        """Remember that an unknown member is gone for good, or ask for its metadata."""
        tombstone = self.tombstones.get(update.id)
        if tombstone is None and update.state >= LEFT:
            self.add_tombstone(update)
        elif (
            update.state < LEFT
            and (
                tombstone is None
                or (tombstone.update.state < LEFT and update.incarnation > tombstone.incarnation)
            )
            and not is_certainly_lost(update)
        ):
            unknown_ids.append(update.id)

    def refute(self, update: MemberUpdate, sender: Member) -> None:
        """Answer an update on this member itself (SWIM, section 4.2)."""
        suspected = update.state >= SUSPECT
        if update.state >= LEFT:
            self.start_new_run(sender)
        elif (
            suspected and update.incarnation >= self.incarnation
        ) or update.incarnation > self.incarnation:
            self.incarnation = update.incarnation + 1
            self.counts["refuted"] += 1
            if suspected:
                self.add_event(
                    "member_refuted",
                    state=STATE_NAMES[update.state],
                    why=REASON_NAMES[update.reason],
                    by=self.name_of(update.reporter),
                    life=self.incarnation,
                )
            self.announce_own_update()
        elif suspected:
            self.spread_update(self.own_update())  # the incarnation was refuted before

    def start_new_run(self, sender: Member) -> None:
        """Go on as another run, as others take this one for gone for good."""
        if self.state != ALIVE:
            return
        before = self.metadata.run
        self.metadata = MemberMetadata(
            self.metadata.name,
            self.random_bits(63),
            self.metadata.version,
            self.metadata.host,
            self.metadata.port,
            self.metadata.build,
            self.metadata.zone,
            self.metadata.revision,
            self.metadata.pools,
            self.metadata.limits_epoch,
        )
        self.incarnation = 0
        self.sequence = 0
        for member in self.members.values():
            member.introduced = 0
        self.announce_own_update()
        self.spread_metadata(self.metadata)
        self.add_event(
            "member_renewed",
            run=f"{self.metadata.run:x}",
            before=f"{before:x}",
            by=sender.metadata.name,
        )

    def adopt_update(self, member: Member, update: MemberUpdate) -> None:
        """Take over an update on a member, gossip it, and remove the member if it is final."""
        before = member.last_update
        member.last_update = update
        if update.state >= LEFT:
            self.spread_update(update)
            self.remove_member(member, update)
            self.add_member_event(
                member,
                "member_" + STATE_NAMES[update.state],
                by=self.name_of(update.reporter),
                why=REASON_NAMES[update.reason],
            )
            self.update_position()
            return
        self.update_digest(member)
        self.spread_update(update)
        if (before.state, before.reason) != (update.state, update.reason):
            since = member.since
            member.since = self.now
            pairs = {}
            if update.state != ALIVE:
                pairs = {"by": self.name_of(update.reporter), "why": REASON_NAMES[update.reason]}
            self.add_member_event(
                member,
                "member_" + STATE_NAMES[update.state],
                after_ms=(self.now - since) // MS,
                was=STATE_NAMES[before.state],
                **pairs,
            )
        if update.state == SUSPECT:
            self.suspicion_times.append(self.now)
            self.start_suspicion_timer(member)
        elif update.state == ALIVE:
            member.disputes.clear()
            member.refusals = 0
        self.update_position()

    def start_suspicion_timer(self, member: Member) -> None:
        """Give a suspect its time to refute."""
        reason = member.last_update.reason
        timing = self.timing
        timeout = self.scale_timeout(
            timing.refused if reason == PORT_UNREACHABLE else timing.suspect
        )
        self.schedule(
            self.now + timeout,
            self.on_suspicion_timeout,
            member.id,
            member.last_update.incarnation,
            reason,
            timeout,
        )

    def remove_member(self, member: Member, update: MemberUpdate) -> None:
        """Remove a member and leave a tombstone."""
        self.digest ^= member.digest_part
        self.reachability_counts[member.reachability] -= 1
        self.change_count += 1
        del self.members[member.id]
        if self.ids_by_address.get(member.metadata.address) == member.id:
            del self.ids_by_address[member.metadata.address]
        self.add_tombstone(update)

    def add_tombstone(self, update: MemberUpdate) -> None:
        """Remember the last update on a removed member; the oldest tombstone makes way."""
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[update.id] = Tombstone(
            self.now + TOMBSTONE_LIFETIME_NS, update.incarnation, update
        )

    def update_digest(self, member: Member) -> None:
        """Bring the digest and the counts up to date with a member's update."""
        self.digest ^= member.digest_part
        member.digest_part = digest_part(member.last_update)
        self.digest ^= member.digest_part
        if member.connected:
            reachability = CONNECTED
        elif member.unreachable:
            reachability = UNREACHABLE
        else:
            reachability = GONE
        if reachability != member.reachability:
            self.reachability_counts[member.reachability] -= 1
            self.reachability_counts[reachability] += 1
            member.reachability = reachability
            self.change_count += 1

    # Handlers of the kinds of datagrams.

    def on_ping(self, datagram: Datagram, member: Member) -> None:
        """Answer a ping, also one meant for another run at this address."""
        if datagram.nonce:
            other_run = datagram.target not in (0, self.metadata.id)
            self.send(ACK, member.metadata.address, member, datagram.nonce, introduce=other_run)

    def on_ack(self, datagram: Datagram, member: Member) -> None:
        """Close a probe, and pass the answer on if another member asked for it."""
        probe = self.probes.pop(datagram.nonce, None)
        if probe is None:
            return
        if probe.target not in (0, member.id):
            old = self.members.get(probe.target)
            if old is not None and probe.address == old.metadata.address == member.metadata.address:
                self.mark_replaced(old)
            return
        if probe.address in self.seeds:
            self.seeds[probe.address] = SEED_MET
        if not self.joined:
            self.join("met " + member.metadata.name)
        member.direct = self.now
        member.via = 0
        if datagram.wall_clock_ns and len(self.clock_samples) < MAX_CLOCK_SAMPLES:
            self.clock_samples.append((member.id, datagram.wall_clock_ns, probe.sent_at, self.now))
        if probe.requester and (requester := self.members.get(probe.requester)):
            self.send(
                INDIRECT_ACK,
                requester.metadata.address,
                requester,
                probe.requester_nonce,
                member.id,
            )

    def on_ping_request(self, datagram: Datagram, member: Member) -> None:
        """Ping a member for another one."""
        target = self.members.get(datagram.target)
        if target is not None and len(self.probes) < MAX_PROBES // 2:
            self.ping(target.metadata.address, target, target.id, member.id, datagram.nonce)

    def on_indirect_ack(self, datagram: Datagram, member: Member) -> None:
        """Close a probe that another member got an answer to."""
        probe = self.probes.get(datagram.nonce)
        if probe is not None and probe.target == datagram.target and not probe.requester:
            del self.probes[datagram.nonce]
            if reached := self.members.get(probe.target):
                reached.via = member.id

    def on_state_exchange(self, datagram: Datagram, member: Member) -> None:
        """Answer a full state with this member's own, if it is asked for and differs."""
        if datagram.nonce and datagram.digest != self.digest:
            self.send_full_state(member, False)

    def on_metadata_request(self, datagram: Datagram, member: Member) -> None:
        """Send the requested metadata, with an update on each."""
        if self.metadata.id in datagram.requested_ids:
            member.introduced = 0  # it has removed this member, or never knew it
        full_capacity = (
            messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - METADATA_RESERVE_BYTES
        )
        page: list[MemberMetadata] = []
        updates: list[MemberUpdate] = []
        capacity = full_capacity
        for member_id in datagram.requested_ids:
            found = self.members.get(member_id)
            metadata = self.metadata_of(member_id)
            if metadata is None:
                continue
            capacity -= messages.encoded_size(metadata) + messages.MEMBER_UPDATE_BYTES
            if capacity < 0 or len(page) >= messages.MAX_METADATA - 1:
                self.send(
                    STATE_EXCHANGE,
                    member.metadata.address,
                    member,
                    updates=updates,
                    metadata=page,
                )
                page = []
                updates = []
                capacity = full_capacity
            page.append(metadata)
            updates.append(found.last_update if found else self.own_update())
        if page:
            self.send(
                STATE_EXCHANGE, member.metadata.address, member, updates=updates, metadata=page
            )

    def on_application_data(self, _datagram: Datagram, _member: Member) -> None:
        """Do nothing more: `apply_datagram` takes the messages of any datagram."""

    def send_application_messages(
        self,
        quota_messages: Iterable[tuple[int, QuotaMessage]],
        now: int,
        ejection_messages: Iterable[tuple[int, EjectionMessage]] = (),
    ) -> None:
        """Send messages to the members with these ids; those for unknown members are dropped."""
        self.advance_clock(now)
        quota_by_recipient: dict[int, list[QuotaMessage]] = {}
        for recipient, quota_message in quota_messages:
            quota_by_recipient.setdefault(recipient, []).append(quota_message)
        for recipient, quota_batch in quota_by_recipient.items():
            if member := self.members.get(recipient):
                for start in range(0, len(quota_batch), messages.MAX_QUOTA_MESSAGES):
                    self.send(
                        APPLICATION_DATA,
                        member.metadata.address,
                        member,
                        quota_messages=quota_batch[start : start + messages.MAX_QUOTA_MESSAGES],
                    )
        ejections_by_recipient: dict[int, list[EjectionMessage]] = {}
        for recipient, ejection_message in ejection_messages:
            ejections_by_recipient.setdefault(recipient, []).append(ejection_message)
        for recipient, ejections in ejections_by_recipient.items():
            if member := self.members.get(recipient):
                for start in range(0, len(ejections), messages.MAX_EJECTION_MESSAGES):
                    self.send(
                        APPLICATION_DATA,
                        member.metadata.address,
                        member,
                        ejection_messages=ejections[start : start + messages.MAX_EJECTION_MESSAGES],
                    )

    def send_consensus_messages(
        self, consensus_messages: Iterable[tuple[int, ConsensusMessage]], now: int
    ) -> None:
        """Send messages to the members with these ids, as many in a datagram as fit.

        Those for unknown members are dropped.
        """
        self.advance_clock(now)
        by_recipient: dict[int, list[ConsensusMessage]] = {}
        for recipient, message in consensus_messages:
            by_recipient.setdefault(recipient, []).append(message)
        for recipient, batch in by_recipient.items():
            member = self.members.get(recipient)
            if member is None:
                continue
            page: list[ConsensusMessage] = []
            capacity = CONSENSUS_BYTES_PER_DATAGRAM
            for message in batch:
                size = messages.encoded_size(message)
                if page and (size > capacity or len(page) >= messages.MAX_CONSENSUS_MESSAGES):
                    self.send(
                        APPLICATION_DATA,
                        member.metadata.address,
                        member,
                        consensus_messages=page,
                    )
                    page = []
                    capacity = CONSENSUS_BYTES_PER_DATAGRAM
                page.append(message)
                capacity -= size
            self.send(APPLICATION_DATA, member.metadata.address, member, consensus_messages=page)

    # Anti-entropy.

    def on_digest_mismatch(self, member: Member) -> None:
        """Exchange full states with a member whose view differs, unless gossip may explain it."""
        lost = self.any_lost()
        if lost or self.now - self.started_at < EXCHANGE_INTERVAL_AT_START_NS:
            interval = EXCHANGE_INTERVAL_AFTER_LOSS_NS
        else:
            interval = EXCHANGE_INTERVAL_NS
        if self.now >= self.exchanged_at + interval and (lost or not self.update_queue):
            self.exchanged_at = self.now + int(self.random() * interval / 2)
            self.send_full_state(member, True)

    def send_full_registry(self, member: Member) -> None:
        """Send a member all entries of the registry."""
        size = (
            messages.MAX_DATAGRAM_BYTES
            - messages.EMPTY_DATAGRAM_BYTES
            - REGISTRY_PAGE_RESERVE_BYTES
        )
        for page in self.registry.pages(size, messages.MAX_REGISTRY_ENTRIES, self.now):
            self.send(STATE_EXCHANGE, member.metadata.address, member, registry_page=page)

    def send_full_state(self, member: Member, wants_answer: bool) -> None:
        """Send a member this one's whole view, in pages; the first one may ask for an answer."""
        if self.tokens < BURST_BYTES // 2:
            return  # it would not be sent
        updates = [other.last_update for other in self.members.values() if other.id != member.id]
        updates.append(self.own_update())
        self.shuffle(updates)  # pages that don't go out now have their chance another time
        self.counts["exchanges"] += 1
        capacity = (
            messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - METADATA_RESERVE_BYTES
        )
        page = min(messages.MAX_UPDATES - 1, capacity // messages.MEMBER_UPDATE_BYTES)
        for start in range(0, len(updates), page):
            self.send(
                STATE_EXCHANGE,
                member.metadata.address,
                member,
                int(wants_answer),
                updates=updates[start : start + page],
            )
            wants_answer = False

    # Evidence from the network and from operators.

    def on_port_unreachable(self, address: Address, now: int) -> None:
        """Count that a machine reports a closed port: evidence of death, unlike silence."""
        self.advance_clock(now)
        if address in self.seeds:
            self.seeds[address] = SEED_REFUSED
        member = self.members.get(self.ids_by_address.get(address, 0))
        if member is None or member.metadata.address != address:
            member = next(
                (one for one in self.members.values() if one.metadata.address == address), None
            )
        if member is None or member.state > LOST:
            return
        # One report may have been delayed on its way: two are needed, some time apart, with nothing
        # heard in between.
        if not member.refusals:
            member.refused_since = now
            self.schedule(now + self.timing.probe // 2, self.probe_refused, member.id)
        member.refusals += 1
        if member.refusals < 2 or now - member.refused_since < self.timing.probe // 3:
            return
        if member.connected and (member.state, member.last_update.reason) != (
            SUSPECT,
            PORT_UNREACHABLE,
        ):
            self.suspect(member, PORT_UNREACHABLE)
        elif member.unreachable:
            self.adopt_update(
                member,
                MemberUpdate(
                    member.id,
                    member.last_update.incarnation,
                    LOST,
                    PORT_UNREACHABLE,
                    self.metadata.id,
                ),
            )

    def probe_refused(self, member_id: int) -> None:
        """Ping a member whose port was closed, for a second report."""
        member = self.members.get(member_id)
        if member is not None and member.refusals:
            self.ping(member.metadata.address, member, member.id)

    def declare_dead(self, name: str, now: int) -> int:
        """Take unreachable members of a name for dead, by an operator; return how many."""
        self.advance_clock(now)
        found = [
            member
            for member in self.members.values()
            if member.metadata.name == name and member.unreachable
        ]
        for member in found:
            self.adopt_update(
                member,
                MemberUpdate(
                    member.id,
                    member.last_update.incarnation,
                    LOST,
                    DECLARED_DEAD,
                    self.metadata.id,
                ),
            )
        return len(found)

    # This member itself.

    def reconfigure(
        self,
        now: int,
        seeds: Iterable[Address],
        seal: Seal,
        timing: MembershipTiming,
        **changed: Any,
    ) -> None:
        """Take over another configuration; `changed` names fields of this member's metadata."""
        self.advance_clock(now)
        self.seal = seal
        self.timing = timing
        self.set_seeds(seeds)
        fields = {key: getattr(self.metadata, key) for key in MemberMetadata.__struct_fields__}
        new = MemberMetadata(**fields | changed)
        if new != self.metadata:
            fields = {key: getattr(new, key) for key in MemberMetadata.__struct_fields__}
            self.metadata = MemberMetadata(**fields | {"version": self.metadata.version + 1})
            self.spread_metadata(self.metadata)
            for member in self.members.values():
                member.introduced = 0  # each gets it from this member itself beside the gossip
            self.announce_own_update()

    def publish(self, channel: int, payload: bytes) -> None:
        """Send a payload with pings and their answers, until another one replaces it.

        A payload of more than MAX_PAYLOAD_BYTES, or beyond MAX_POOLS channels, is dropped.
        """
        if len(payload) <= messages.MAX_PAYLOAD_BYTES and (
            channel in self.own_payloads or len(self.own_payloads) < messages.MAX_POOLS
        ):
            self.own_payloads[channel] = payload

    def broadcast_payloads(self, now: int) -> None:
        """Send the published payloads to all connected members at once."""
        self.advance_clock(now)
        for member in self.connected_members():
            self.send(PING, member.metadata.address, member)

    def leave(self, now: int) -> None:
        """Announce that this member will end soon; it still answers."""
        self.advance_clock(now)
        if self.state == ALIVE:
            self.incarnation += 1
            self.state = LEAVING
            self.announce_own_update()
            self.add_event("fleet_leaving")

    def announce_leave(self, now: int) -> None:
        """Announce that this member ends now, to a bounded sample; gossip tells the others."""
        self.advance_clock(now)
        self.incarnation += 1
        self.state = LEFT
        self.announce_own_update()
        others = self.connected_members()
        for member in self.sample(others, min(MAX_LEAVE_NOTICES, len(others))):
            self.send(PING, member.metadata.address, member, updates=[self.own_update()])
        self.add_event("fleet_left", told=min(MAX_LEAVE_NOTICES, len(others)))

    def sweep(self) -> None:
        """Remove what has expired; called once a second."""
        self.schedule(self.now + SECOND, self.sweep)
        self.join_tokens = JOIN_REPLIES_PER_SECOND
        self.registry.expire(self.now)
        for member in list(self.members.values()):
            lifetime = self.timing.reckon
            if not member.unreachable:
                lifetime = min(lifetime, TOMBSTONE_LIFETIME_NS // 10)
            if member.state == LOST and self.now - member.since >= lifetime:
                self.remove_member(member, member.last_update)
                self.add_member_event(
                    member, "member_forgotten", why=REASON_NAMES[member.last_update.reason]
                )
            expired_reporters = [
                reporter
                for reporter, at in member.disputes.items()
                if self.now - at > DISPUTE_LIFETIME_NS
            ]
            for reporter in expired_reporters:
                del member.disputes[reporter]
        expired_ids = [
            member_id
            for member_id, tombstone in self.tombstones.items()
            if tombstone.expires_at <= self.now
        ]
        for member_id in expired_ids:
            del self.tombstones[member_id]
        oldest = self.now - 4 * self.scale_timeout(self.timing.answer)
        expired_nonces = [nonce for nonce, probe in self.probes.items() if probe.sent_at < oldest]
        for nonce in expired_nonces:
            del self.probes[nonce]
        self.join_probes = {
            sender: nonce for sender, nonce in self.join_probes.items() if nonce in self.probes
        }
        self.update_position()

    # What follows from the view.

    def update_position(self) -> None:
        """Tell of this member's position in a partition when it changes."""
        position = self.compute_position()
        if position != self.position:
            before = self.position
            self.position = position
            known = self.count() + self.reachability_counts[UNREACHABLE]
            self.add_event(
                "partition_state_changed",
                position=position,
                was=before,
                here=self.count(),
                known=known,
            )

    def compute_position(self) -> str:
        """Return the position of this member's part of the fleet.

        "whole": no member is unreachable; "larger": over half of the members are connected;
        "smaller": at most half; "alone": this one is.
        """
        connected = self.count()
        unreachable = self.reachability_counts[UNREACHABLE]
        if connected == 1 and (unreachable or self.unresponsive_seeds()):
            return "alone"
        if not unreachable:
            return "whole"
        return "larger" if 2 * connected > connected + unreachable else "smaller"

    def pool_members(self, pool: int) -> list[tuple[bytes, int]]:
        """Return sort keys and ids of members that count in a pool, this one too.

        The order is the same in every process and follows a hash of the name, so that a restarted
        member keeps its place, and one that comes or goes moves each other member's place by no
        more than its own width.
        """
        found = [
            (sort_key(member.metadata.name), member.id)
            for member in self.members.values()
            if (member.connected or member.unreachable) and pool in member.metadata.pools
        ]
        return sorted([*found, (sort_key(self.metadata.name), self.metadata.id)])

    def known_addresses(self) -> list[Address]:
        """Return the addresses of members, for the next run of this process to start from."""
        return sorted(
            member.metadata.address
            for member in self.members.values()
            if member.reachability != GONE
        )

    def name_of(self, member_id: int) -> str:
        """Return a member's name, or its id in hex if it is not known."""
        if member_id == self.metadata.id:
            return self.metadata.name
        member = self.members.get(member_id)
        return member.metadata.name if member else f"{member_id:016x}"

    def add_event(self, event_name: str, /, **pairs: Any) -> None:
        """Add an event to the output."""
        self.events.append(Event(event_name, self.now, pairs))

    def add_member_event(self, member: Member, event_name: str, /, **pairs: Any) -> None:
        """Add an event about a member to the output."""
        self.add_event(
            event_name, member=member.metadata.name, run=f"{member.metadata.run:x}", **pairs
        )

    def rows(self) -> Iterator[dict[str, Any]]:
        """Yield what operators are shown of each member, this one first."""
        own = self.metadata
        yield {
            "name": own.name,
            "run": f"{own.run:x}",
            "state": STATE_NAMES[self.state],
            "since_ms": (self.now - self.started_at) // MS,
            "by": own.name,
            "why": "self",
            "life": self.incarnation,
            "address": f"{own.host}:{own.port}",
            "zone": own.zone,
            "build": own.build,
            "revision": own.revision,
            "heard_ms": 0,
            "way": "self",
            "disputed_by": [],
        }
        for member in sorted(self.members.values(), key=lambda one: one.metadata.name):
            metadata = member.metadata
            update = member.last_update
            yield {
                "name": metadata.name,
                "run": f"{metadata.run:x}",
                "state": STATE_NAMES[update.state],
                "since_ms": (self.now - member.since) // MS,
                "by": self.name_of(update.reporter),
                "why": REASON_NAMES[update.reason],
                "life": update.incarnation,
                "address": f"{metadata.host}:{metadata.port}",
                "zone": metadata.zone,
                "build": metadata.build,
                "revision": metadata.revision,
                "heard_ms": (self.now - member.heard) // MS if member.heard else None,
                "way": self.describe_path(member),
                "disputed_by": sorted(self.name_of(reporter) for reporter in member.disputes),
            }

    def describe_path(self, member: Member) -> str:
        """Tell how this member reaches another: direct, via a third, or not at all."""
        if member.via:
            return f"via {self.name_of(member.via)}"
        if not member.connected:
            return "none"
        return "direct" if member.direct else "unproved"


def required_tokens(kind: int, has_metadata: bool, is_known: bool) -> int:
    """Return the bytes of the send budget that must be left for a datagram to go out.

    Pings and answers may overdraw the budget, full states may not use it up: otherwise a busy seed
    would spend all on full states and unknown senders, and seem dead to members that know it.
    """
    if kind == STATE_EXCHANGE:
        return BURST_BYTES // 4 if has_metadata else BURST_BYTES // 2
    if kind in (METADATA_REQUEST, PING_REQUEST):
        return 0
    return -BURST_BYTES if is_known else -BURST_BYTES // 2


def is_certainly_lost(update: MemberUpdate) -> bool:
    """Tell whether an update reports a loss by evidence, not by silence alone."""
    return update.state == LOST and update.reason != NO_RESPONSE


def digest_part(update: MemberUpdate) -> int:
    """Return an update's part of the digest, which is the same in every process."""
    mixed = update.id ^ (update.incarnation + 1) * 0x9E3779B97F4A7C15
    mixed ^= (update.state * 8 + update.reason + 1) * 0xC2B2AE3D27D4EB4F
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & UINT64_MASK
    return (mixed ^ mixed >> 32) & UINT64_MASK


def sort_key(name: str) -> bytes:
    """Return the hash of a name by which the members of a pool are ordered."""
    return messages.member_id(name, 0).to_bytes(8, "big")
