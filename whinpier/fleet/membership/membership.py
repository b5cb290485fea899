"""Decides who is in the fleet: who is here, suspect, lost or left, by whose word, and one's own
position.

After SWIM (Das, Gupta, Motivala 2002): pings in turn, others asked to ping, news carried by what is
sent anyway, suspicion that the suspect can refute; with Lifeguard's care for one's own slowness and
whole views exchanged where digests differ. Why so, and what was weighed, stands in
docs/design/members.md.

A state machine without I/O: it is handed datagrams, refused addresses, time and chance, and gives
datagrams, events and the time to be called next. Times are nanoseconds of one monotonic clock. Must
never take an unheard member for dead without evidence, believe what may be an old datagram, or hold
more than its bounds.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

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
Alarm = tuple[
    int, int, Callable[..., None], tuple[Any, ...], int
]  # at, number, call, arguments, nonce

MOST = 4_096  # members of a table: four times the largest fleet that was tried
MOST_TOMBS = 4_096  # of those that have gone for good
TOMB = 600 * SECOND  # longer than a process is stopped, or a network cut, and old beliefs come back
MOST_WALLS = 1_024  # clocks that were heard and not looked at yet
MAX_PROBES = 512  # out at once, own and for others: two seconds of them
REMINDERS = 4  # to a suspect within its time: of such rounds, 10% lost each way, one in 800 fails
# asked to ping whom this one can't reach: with 10% loss four in a hundred such rounds still fail
HELPERS = 3
ASK_FIRST = 0.4  # of the time to answer, after which others are asked as well
FRESH = SECOND  # for so long having heard it oneself outweighs a word that it is lost
STOPPED = (
    SECOND // 2
)  # a call that comes so late: this process stood still, and its timers say nothing
SLOW = SECOND // 4  # of lateness that doubles this one's timers, up to `MOST_SLOW` times
MOST_SLOW, SLOW_FOR = 4.0, 5 * SECOND
WINDOW = 1_024  # datagrams of one sender that may come out of order: 3 s late at 300 a second
TIMES = 3  # each piece of news is sent, for each doubling of the fleet
BYTES, BURST_BYTES = (
    64_000,
    64_000,
)  # a second, and at once: what goes beyond waits for another turn
# a second that are answered of those who are not known: a fleet of hundreds starts at once
JOIN_REPLIES_PER_SECOND = 400.0
RETRY = SECOND // 4  # between pings to one of those that are lost
PRESENTED = (
    6  # members that a new one is told of: three hundred met so learn of each other within a second
)
SEEDS_AT_ONCE = 3  # pinged each period while nobody has answered yet
SEED_SOON, YOUNG = (
    SECOND // 2,
    10 * SECOND,
)  # so often while nobody is there, and in the first seconds
SEED_NOW_AND_THEN = (
    5 * SECOND
)  # and one by one for good: a part of the fleet that only the file knows
EXCHANGE_APART, EXCHANGE_SOON = SECOND, SECOND // 4  # between exchanges; where somebody is lost
TALK_ROOM = (
    messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - messages.MEMBER_UPDATE_BYTES - 1
)  # bytes of a datagram that talks may take
MASK = 2**64 - 1
CONNECTED, UNREACHABLE, GONE = range(3)  # as which a member is counted


@dataclass(frozen=True)
class MembershipTiming:
    """How quick the fleet is. The defaults lose a killed member within 3 s, and none for a pause
    of 1 s.
    """

    probe: int = 100 * MS  # between pings of this member
    answer: int = 300 * MS  # from a ping to suspicion, others asked in between
    suspect: int = 1_200 * MS  # to refute in; a pause of a second with its answer fits in
    refused: int = 400 * MS  # the same where the port is refused: who only pauses has its port
    reckon: int = 600 * SECOND  # an unheard member goes on counting, as it may go on sending
    settle: int = 2 * SECOND  # until one that nobody answers goes on alone


@dataclass(frozen=True, slots=True)
class Event:
    """Something that has happened, for log, `watch` and referee."""

    name: str
    at: int
    pairs: dict[str, Any] = field(default_factory=dict)


class Member:
    """What is known of one other member."""

    __slots__ = (
        "metadata",
        "id",
        "last_update",
        "since",
        "heard",
        "highest_sequence",
        "seen",
        "told",
        "refusals",
        "refused_since",
        "disputes",
        "via",
        "direct",
        "introduced",
        "twice",
        "payloads",
        "mark",
        "reachability",
        "registry_digest",
    )

    def __init__(self, metadata: MemberMetadata, update: MemberUpdate, now: int) -> None:
        self.metadata, self.id, self.last_update, self.since = metadata, metadata.id, update, now
        self.heard = 0  # when something fresh last came from it itself; 0: never
        self.highest_sequence, self.seen = (
            -1,
            0,
        )  # the highest count, and which of the `WINDOW` below it have come
        self.told = 0  # when it was last told what is said of it
        self.refusals, self.refused_since = 0, 0
        self.disputes: dict[int, int] = {}  # who calls it lost though it is heard here: when
        self.via, self.direct = 0, 0  # who last reached it for us; when it last answered us itself
        self.introduced = 0  # times that our card went to it
        self.twice = False  # another run of its name is about
        self.payloads: dict[int, bytes] = {}  # by pool: what its decisions last told
        self.mark, self.reachability = 0, GONE  # of its word in the digest; as which it is counted
        self.registry_digest = 0  # digest of what operators said, as it last held it

    @property
    def state(self) -> int:
        return self.last_update.state

    @property
    def connected(self) -> bool:
        return self.last_update.state <= SUSPECT

    @property
    def unreachable(self) -> bool:
        """Lost by silence alone: it may go on sending to upstreams."""
        return self.last_update.state == LOST and self.last_update.reason == NO_RESPONSE

    def is_new(self, count: int) -> bool:
        """Whether a datagram of this count is none that has come before."""
        if count > self.highest_sequence:
            ahead = count - self.highest_sequence
            self.seen = (self.seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest_sequence = count
            return True
        back = self.highest_sequence - count
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Probe:
    """A ping that has no answer yet."""

    __slots__ = ("target", "address", "at", "asker", "asked", "metadata")

    def __init__(
        self,
        target: int,
        address: Address,
        at: int,
        asker: int = 0,
        asked: int = 0,
        metadata: MemberMetadata | None = None,
    ) -> None:
        self.target, self.address, self.at = target, address, at
        self.asker, self.asked = asker, asked  # for whom, and the nonce of its own ping
        self.metadata = metadata  # of one that is not known yet, and has to prove that it is there


class Membership:
    """One member's view of the fleet."""

    def __init__(
        self,
        metadata: MemberMetadata,
        seeds: Iterable[Address],
        seal: Seal,
        times: MembershipTiming,
        chance: Random,
        now: int,
        max_members: int = MOST,
        recalled: Iterable[Address] = (),
    ) -> None:
        self.metadata, self.seal, self.times, self.max_members = metadata, seal, times, max_members
        self.random, self.bits, self.shuffle = chance.random, chance.getrandbits, chance.shuffle
        self.sample = chance.sample
        self.now, self.incarnation, self.state = now, 0, ALIVE
        self.members: dict[int, Member] = {}
        self.ids_by_address: dict[Address, int] = {}  # the run that was last met there
        self.tombstones: dict[
            int, tuple[int, int, MemberUpdate]
        ] = {}  # until when; the life that outdoes it
        self.probes: dict[int, Probe] = {}
        self.knocking: dict[int, int] = {}  # who is not known and was asked: the nonce
        self.timers: list[Alarm] = []
        self.number = 0
        self.out: list[tuple[Address, bytes]] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.news: deque[list[Any]] = deque()  # [word, times sent]
        self.fresh_news: dict[int, list[Any]] = {}
        self.metadata_list: deque[list[Any]] = deque()  # [id, times sent]
        self.own_payloads: dict[int, bytes] = {}  # by pool: what our decisions tell
        self.said_turn = 0
        self.received_payloads: list[
            tuple[int, int, bytes]
        ] = []  # member, pool, contents: for whoever hosts this
        self.received_quota_messages: list[
            tuple[int, QuotaMessage]
        ] = []  # from whom, for whoever hosts this
        self.received_ejection_messages: list[tuple[int, EjectionMessage]] = []  # the same
        self.received_consensus_messages: list[tuple[int, ConsensusMessage]] = []  # the same
        self.registry = Registry()
        self.wall_offset = 0  # the wall clock less this one's; 0: it tells none
        self.clock_samples: list[
            tuple[int, int, int, int]
        ] = []  # member, its wall, when asked, when answered
        self.digest, self.own_mark = 0, 0
        self.reachability_counts = [0, 0, 0]  # members as they are counted
        self.change_count = 0  # of who is reckoned with, for whoever hosts this
        self.sent = 0
        self.tokens, self.tokens_at, self.knocks = float(BURST_BYTES), now, JOIN_REPLIES_PER_SECOND
        self.turn: list[int] = []  # who is pinged next
        self.slow, self.slow_at = 0.0, now
        self.suspected: deque[int] = deque(maxlen=8)  # when members were suspected
        self.exchange_at = now
        self.joined, self.started_at, self.position = False, now, ""
        self.seeds: dict[Address, str] = {}  # how each is: unasked, silent, refused, met
        self.seed_turn: list[Address] = []
        self.recalled = set(recalled)  # where members were when this one's last run knew them
        self.reseed(seeds)
        self.sign()
        self.at(now, self.probe_next)
        self.at(now + RETRY, self.probe_lost_member)
        self.at(now, self.probe_seeds)
        self.at(now + SECOND, self.sweep)

    # Time.

    def due(self) -> int:
        """When `tick` wants to be called."""
        # Most pings are answered at once; what was to be done had they not been is no reason to
        # wake.
        while self.timers[0][4] and self.timers[0][4] not in self.probes:
            heapq.heappop(self.timers)
        return self.timers[0][0]

    def at(self, at: int, call: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.timers, (at, self.number, call, args, 0))

    def unless_answered(self, at: int, call: Callable[[int], None], nonce: int) -> None:
        self.number += 1
        set_timer: Alarm = (at, self.number, call, (nonce,), nonce)
        heapq.heappush(self.timers, set_timer)

    def advance_clock(self, now: int) -> None:
        """Note the time; a call that is long overdue tells that this process stood still."""
        late = now - self.due()
        self.now = max(self.now, now)
        if late > STOPPED:
            # Guards against taking the others for silent when it was this one that did not listen.
            self.timers = [(set_timer[0] + late, *set_timer[1:]) for set_timer in self.timers]
            self.event("process_paused", for_ms=late // MS)
        if late > SLOW // 4:
            self.slow, self.slow_at = (
                max(self.slowness(), min(late / SLOW, MOST_SLOW - 1.0)),
                self.now,
            )

    def slowness(self) -> float:
        """How late this process was of late; fades in a straight line."""
        return self.slow * max(0.0, 1.0 - (self.now - self.slow_at) / SLOW_FOR)

    def patient(self, span: int) -> int:
        """A span of waiting for others, longer while this one is itself slow (Lifeguard)."""
        return int(span * (1.0 + self.slowness()))

    def tick(self, now: int) -> None:
        """Do what falls due."""
        self.advance_clock(now)
        while self.due() <= now:
            _, _, call, args, _ = heapq.heappop(self.timers)
            call(*args)

    def take_output(
        self,
    ) -> tuple[list[tuple[Address, bytes]], list[Event], list[tuple[int, int, bytes]]]:
        """What is to be sent, what has happened, what others' decisions told, since last asked."""
        found = self.out, self.events, self.received_payloads
        self.out, self.events, self.received_payloads = [], [], []
        return found

    # Who is here, as others are told.

    def own_update(self) -> MemberUpdate:
        """This member of itself."""
        return MemberUpdate(
            self.metadata.id, self.incarnation, self.state, SELF_REPORTED, self.metadata.id
        )

    def sign(self) -> None:
        """This one's own word has changed: into the digest, and to all."""
        update = self.own_update()
        self.digest ^= self.own_mark
        self.own_mark = digest_part(update)
        self.digest ^= self.own_mark
        self.spread_update(update)

    def spread_update(self, update: MemberUpdate) -> None:
        """News goes out with whatever is sent next, a few times for each doubling of the fleet."""
        old = self.fresh_news.pop(update.id, None)
        if old is not None:
            old[0] = None  # dropped when its turn comes
        item = self.fresh_news[update.id] = [update, 0]
        self.news.appendleft(item)

    def spread_metadata(self, metadata: MemberMetadata) -> None:
        if len(self.metadata_list) < self.max_members:
            self.metadata_list.appendleft([metadata.id, 0])

    def others(self, *but: int) -> list[Member]:
        """Members that are taken to be reachable."""
        return [
            member for member in self.members.values() if member.connected and member.id not in but
        ]

    def count(self) -> int:
        return 1 + self.reachability_counts[CONNECTED]

    def lost(self) -> bool:
        """Whether anybody is lost."""
        return len(self.members) > self.reachability_counts[CONNECTED]

    # Out.

    def send(
        self,
        kind: int,
        address: Address,
        to: Member | None,
        nonce: int = 0,
        target: int = 0,
        updates: list[MemberUpdate] | None = None,
        metadata_list: list[MemberMetadata] | None = None,
        ids: list[int] | None = None,
        introduce: bool = False,
        quota_messages: list[QuotaMessage] | None = None,
        pages: list[RegistryEntry] | None = None,
        ejection_messages: list[EjectionMessage] | None = None,
        consensus_messages: list[ConsensusMessage] | None = None,
    ) -> None:
        """One datagram, filled up with news."""
        updates, metadata_list = list(updates or ()), list(metadata_list or ())
        if not consensus_messages and (introduce or to is None or to.introduced < 3):
            metadata_list.insert(0, self.metadata)
            if to is not None:
                to.introduced += 1
        if to is not None and to.state != ALIVE and len(updates) < messages.MAX_UPDATES:
            updates.insert(0, to.last_update)  # it has to hear what is said of it
        ids, quota_messages = ids or [], quota_messages or []
        room = (
            messages.MAX_DATAGRAM_BYTES
            - messages.EMPTY_DATAGRAM_BYTES
            - 9 * len(ids)
            - messages.MEMBER_UPDATE_BYTES * len(updates)
        )
        room -= messages.QUOTA_MESSAGE_BYTES * len(
            quota_messages
        ) + messages.EJECTION_MESSAGE_BYTES * len(ejection_messages or ())
        room -= sum(messages.encoded_size(metadata) for metadata in metadata_list) + sum(
            map(messages.encoded_size, consensus_messages or ())
        )
        payloads, entries = [], list(pages or ())
        if to is not None and kind in (PING, ACK) and self.registry.pending:
            entries = self.registry.collect_updates(room, len(self.members), self.now)
            room -= sum(map(messages.encoded_size, entries))
        if self.own_payloads and kind in (PING, ACK):
            marks = list(self.own_payloads)
            for step in range(min(len(marks), 8)):
                mark = marks[(self.said_turn + step) % len(marks)]
                size = 10 + len(self.own_payloads[mark])
                if size <= room:
                    payloads.append((mark, self.own_payloads[mark]))
                    room -= size
            self.said_turn += len(payloads)
        self.tokens = min(
            BURST_BYTES, self.tokens + BYTES * max(0, self.now - self.tokens_at) / SECOND
        )
        self.tokens_at = max(self.tokens_at, self.now)
        if (
            to is not None
            and kind != APPLICATION_DATA
            and not pages
            and (kind != STATE_EXCHANGE or not updates)
        ):
            # The less may be sent the less news goes with it: what is asked is answered in any
            # case.
            self.add_gossip(
                updates,
                metadata_list,
                min(room, int(self.tokens * messages.MAX_DATAGRAM_BYTES / BURST_BYTES)),
            )
        plain = (
            kind,
            self.metadata.id,
            self.sent,
            nonce,
            target,
            self.digest,
            updates,
            metadata_list,
            payloads,
            ids,
            quota_messages,
            self.now + self.wall_offset if self.wall_offset else 0,
            self.registry.digest,
            entries,
            ejection_messages or [],
        )
        data = self.seal.seal(
            Datagram(*plain, consensus_messages)
            if consensus_messages
            else DatagramWithoutConsensus(*plain)
        )
        # Guards against a seed that spends all on views and strangers, and seems dead to those who
        # know it.
        if kind == STATE_EXCHANGE:
            spared = BURST_BYTES // 4 if metadata_list else BURST_BYTES // 2
        else:
            spared = (
                0
                if kind in (METADATA_REQUEST, PING_REQUEST)
                else -BURST_BYTES // 2
                if to is None
                else -BURST_BYTES
            )
        if self.tokens < spared:
            self.counts["not_sent"] += 1
            return
        self.tokens -= len(data)
        self.sent += 1
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)
        self.out.append((address, data))

    def add_gossip(
        self, updates: list[MemberUpdate], metadata_list: list[MemberMetadata], room: int
    ) -> None:
        """Cards and words that have not been sent often enough yet; those sent least come first."""
        times = TIMES * max(1, len(self.members).bit_length())
        for _ in range(min(len(self.metadata_list), 4)):
            item = self.metadata_list.popleft()
            metadata = self.metadata if item[0] == self.metadata.id else None
            if metadata is None and item[0] in self.members:
                metadata = self.members[item[0]].metadata
            if metadata is None:
                continue
            item[1] += 1
            if (
                size := messages.encoded_size(metadata)
            ) <= room - 2 * messages.MEMBER_UPDATE_BYTES and metadata not in metadata_list:
                metadata_list.append(metadata)
                room -= size
            if item[1] < TIMES:  # who gets the word without it asks for it
                self.metadata_list.append(item)
        there = {update.id for update in updates}
        for _ in range(
            min(
                len(self.news),
                max(0, room // messages.MEMBER_UPDATE_BYTES),
                messages.MAX_UPDATES - len(updates),
            )
        ):
            item = self.news.popleft()
            update = item[0]
            if update is None:
                continue
            if update.id not in there:
                updates.append(update)
                room -= messages.MEMBER_UPDATE_BYTES
                item[1] += 1
            if item[1] < times:
                self.news.append(item)
            elif self.fresh_news.get(update.id) is item:
                del self.fresh_news[update.id]

    def ping(
        self,
        address: Address,
        to: Member | None,
        target: int = 0,
        asker: int = 0,
        asked: int = 0,
        metadata: MemberMetadata | None = None,
    ) -> int:
        """Ask whether somebody is there; its nonce, 0 where too many are out."""
        if len(self.probes) >= MAX_PROBES:
            self.counts["probes_full"] += 1
            return 0
        nonce = self.bits(63) | 1
        self.probes[nonce] = Probe(target, address, self.now, asker, asked, metadata)
        self.send(PING, address, to, nonce, target, introduce=to is None)
        return nonce

    # Pings in turn.

    def probe_next(self) -> None:
        often = self.times.probe
        if len(self.suspected) >= 2 and self.now - self.suspected[-2] < 2 * SECOND:
            often //= 2  # several at once: a part is cut off, and all of it is to be looked at
        elif self.now - self.started_at < YOUNG and all(
            one.metadata.address in self.seeds for one in self.others()
        ):
            # hundreds may have started at once that know the same seeds and nobody else
            often = SEED_SOON
        self.at(self.now + often, self.probe_next)
        for _ in range(len(self.turn) + 1):
            if not self.turn:
                self.turn = [member.id for member in self.others()]
                self.shuffle(self.turn)
                if not self.turn:
                    return
            member = self.members.get(self.turn.pop())
            if member is not None and member.connected:
                self.probe(member)
                return

    def probe(self, member: Member) -> None:
        nonce = self.ping(member.metadata.address, member, member.id)
        if nonce:
            answer = self.patient(self.times.answer)
            self.unless_answered(
                self.now + int(ASK_FIRST * answer), self.send_indirect_probes, nonce
            )
            self.unless_answered(self.now + answer, self.on_probe_timeout, nonce)

    def send_indirect_probes(self, nonce: int) -> None:
        probe = self.probes.get(nonce)
        if probe is None:
            return
        helpers = self.others(probe.target)
        for helper in self.sample(helpers, min(HELPERS, len(helpers))):
            self.send(PING_REQUEST, helper.metadata.address, helper, nonce, probe.target)

    def on_probe_timeout(self, nonce: int) -> None:
        probe = self.probes.pop(nonce, None)
        member = self.members.get(probe.target) if probe else None
        if member is None or member.state not in (ALIVE, LEAVING):
            return
        if member.heard or self.now - self.started_at >= YOUNG:
            self.suspect(member, NO_RESPONSE)
        # Else it is known by others' word only, and may not know this one: with hundreds that start
        # at once its answers are bounded, and whoever has heard it would notice its death.

    def suspect(self, member: Member, why: int) -> None:
        self.adopt(
            member,
            MemberUpdate(member.id, member.last_update.incarnation, SUSPECT, why, self.metadata.id),
        )
        self.remind(member.id, member.last_update.incarnation)

    def remind(self, member_id: int, incarnation: int) -> None:
        """Whoever suspects tells the suspect so itself, until it has refuted or its time is over."""
        # Guards against a loss by hearsay alone: in a fleet of hundreds few have heard it just now,
        # so that none of them may tell it, and by news it may hear too late.
        member = self.members.get(member_id)
        if (
            member is not None
            and member.state == SUSPECT
            and member.last_update.incarnation == incarnation
        ):
            self.tell(member)
            self.at(
                self.now + self.patient(self.times.suspect) // REMINDERS,
                self.remind,
                member_id,
                incarnation,
            )

    def on_suspicion_timeout(self, member_id: int, incarnation: int, why: int, span: int) -> None:
        """The time to refute is over."""
        member = self.members.get(member_id)
        if member is None or (
            member.state,
            member.last_update.incarnation,
            member.last_update.reason,
        ) != (
            SUSPECT,
            incarnation,
            why,
        ):
            return
        if member.heard and self.now - member.heard < min(FRESH, span):
            # Heard all the same: it has not been told, or its answer has not come.
            self.tell(member)
            self.at(
                self.now + span // 2, self.on_suspicion_timeout, member_id, incarnation, why, span
            )
            return
        self.adopt(member, MemberUpdate(member.id, incarnation, LOST, why, self.metadata.id))

    def tell(self, member: Member) -> None:
        """Let a member hear what is said of it, so that it can refute."""
        if self.now - member.told >= self.times.probe // 2:
            member.told = self.now
            self.ping(member.metadata.address, member, member.id)

    def probe_lost_member(self) -> None:
        """Look whether one of the lost is back: the way may have been lost, not the member."""
        self.at(self.now + RETRY, self.probe_lost_member)
        if self.lost():
            lost = [member for member in self.members.values() if member.state == LOST]
            member = lost[int(self.random() * len(lost))]
            self.ping(member.metadata.address, member, member.id)

    # Seeds.

    def reseed(self, seeds: Iterable[Address]) -> None:
        own = self.metadata.address
        there = dict.fromkeys((*seeds, *sorted(self.recalled)))
        self.seeds = {seed: self.seeds.get(seed, "unasked") for seed in there if seed != own}
        self.recalled -= set(seeds)
        self.seed_turn = []

    def probe_seeds(self) -> None:
        """Ask the addresses of the file: some at once until somebody answers, then one now and then."""
        early = not self.joined
        # Guards against parts that each gathered round another seed, and one whose first tries met
        # a cut.
        young = self.count() == 1 or self.now - self.started_at < YOUNG
        if self.recalled and not young:
            self.seeds = {
                seed: how for seed, how in self.seeds.items() if seed not in self.recalled
            }
            self.recalled.clear()
        span = self.times.probe if early else SEED_SOON if young else SEED_NOW_AND_THEN
        self.at(self.now + span, self.probe_seeds)
        for _ in range(SEEDS_AT_ONCE if early or young else 1):
            if not self.seed_turn:
                self.seed_turn = [seed for seed in self.seeds if not self.met(seed)]
                self.shuffle(self.seed_turn)
                if not self.seed_turn:
                    break
            seed = self.seed_turn.pop()
            if self.seeds.get(seed) == "unasked":
                self.seeds[seed] = "silent"
            self.ping(seed, None)
        doubt = any(state != "refused" for state in self.seeds.values())
        if early and (not doubt or self.now - self.started_at >= self.times.settle):
            self.join("nobody there" if not doubt else "nobody answers")

    def met(self, seed: Address) -> bool:
        member = self.members.get(self.ids_by_address.get(seed, 0))
        return member is not None and member.connected

    def join(self, how: str) -> None:
        self.joined = True
        self.event("fleet_joined", how=how, members=self.count(), seeds=len(self.seeds))

    def unresponsive_seeds(self) -> int:
        """Seeds of which nothing is known: neither met nor refused."""
        return sum(state in ("silent", "unasked") for seed, state in self.seeds.items())

    # In.

    def receive(self, data: bytes, source: Address, now: int) -> None:
        """A datagram, from whoever sent it."""
        self.advance_clock(now)
        self.counts["datagrams_in"] += 1
        self.counts["bytes_in"] += len(data)
        try:
            datagram = self.seal.open(data)
        except DatagramError as unread:
            self.counts[f"unread_{unread.reason}"] += 1
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
            # Guards against old datagrams that are sent again, by whomever.
            self.counts["unread_again"] += 1
            return
        self.mark_heard(member)
        self.learn(datagram, member)
        handler = (
            self.on_ping,
            self.on_ack,
            self.on_ask,
            self.on_stands,
            self.on_exchange,
            self.on_want,
            self.on_deals,
        )[datagram.kind]
        handler(datagram, member)
        if datagram.digest != self.digest:
            self.differ(member)
        member.registry_digest = datagram.registry_digest
        if datagram.registry_digest != self.registry.digest and self.registry.start_full_sync(
            self.now
        ):
            self.send_full_registry(member)

    def on_unknown_sender(
        self, datagram: Datagram, probe: Probe | None, source: Address
    ) -> Member | None:
        """One that is not known has to answer a ping of this one's own before anything it says counts."""
        metadata = next(
            (metadata for metadata in datagram.metadata if metadata.id == datagram.sender),
            None,
        )
        if (
            metadata is None
            and probe is not None
            and probe.metadata
            and probe.metadata.id == datagram.sender
        ):
            metadata = probe.metadata
        if metadata is not None and probe is not None:
            member = self.admit(
                metadata,
                MemberUpdate(metadata.id, 0, ALIVE, SELF_REPORTED, self.metadata.id),
                datagram.sequence,
                True,
            )
            if member is not None and probe.metadata is not None:
                self.present(member)
            return member
        if metadata is not None and (asked := self.probes.get(self.knocking.get(metadata.id, 0))):
            if self.now - asked.at < self.times.answer:
                self.counts["knocks_again"] += 1  # its ping and its answer are on their way
                return None
        if self.knocks < 1.0:
            self.counts["knocks_refused"] += 1
            return None
        self.knocks -= 1.0
        if metadata is None:
            if datagram.kind == METADATA_REQUEST and self.metadata.id in datagram.requested_ids:
                self.ping(source, None)
            else:
                self.send(METADATA_REQUEST, source, None, ids=[datagram.sender])
            return None
        tombstone = self.tombstones.get(datagram.sender)
        if tombstone is not None and tombstone[2].state >= LEFT:
            self.send(
                PING, metadata.address, None, updates=[tombstone[2]]
            )  # so that it takes a new run
            return None
        if datagram.kind == PING:
            self.send(ACK, metadata.address, None, datagram.nonce, introduce=True)
        self.knocking[metadata.id] = self.ping(metadata.address, None, metadata=metadata)
        return None

    def present(self, member: Member) -> None:
        """Name some others to one that has just knocked, so that it need not learn all of this one."""
        # Guards against hundreds that start at once, know their seeds alone, and all ask those.
        others = self.others(member.id)
        some = self.sample(others, min(PRESENTED, len(others)))
        if some:
            self.send(
                STATE_EXCHANGE,
                member.metadata.address,
                member,
                updates=[one.last_update for one in some],
                metadata_list=[one.metadata for one in some],
            )

    def admit(
        self, metadata: MemberMetadata, update: MemberUpdate, count: int, proved: bool
    ) -> Member | None:
        """Take up a member that was not known; `proved` if it answered a ping of this one."""
        tombstone = self.tombstones.pop(metadata.id, None)
        if tombstone is not None and tombstone[2].state >= LEFT:
            self.tombstones[metadata.id] = tombstone
            return None
        if len(self.members) >= self.max_members:
            self.counts["table_full"] += 1
            self.event("member_table_full", name=metadata.name, most=self.max_members)
            return None
        if tombstone is not None and update.incarnation <= tombstone[1]:
            update = MemberUpdate(
                update.id, tombstone[1], LOST, tombstone[2].reason, tombstone[2].reporter
            )  # till it says more of itself
        member = Member(metadata, update, self.now)
        self.members[metadata.id] = member
        self.reachability_counts[GONE] += 1
        self.change_count += 1
        if proved:
            member.is_new(count)
        self.mark(member)
        self.turn.insert(int(self.random() * (len(self.turn) + 1)), metadata.id)
        self.spread_metadata(metadata)
        self.spread_update(update)
        self.told(member, "member_" + STATE_NAMES[update.state])
        for other in [
            other for other in self.members.values() if other.metadata.name == metadata.name
        ]:
            if other is not member and other.state <= LOST:
                self.same_name(other, member, proved)
        if proved or metadata.address not in self.ids_by_address:
            self.ids_by_address[metadata.address] = metadata.id
        if update.state == SUSPECT:
            self.wait_for(member)
        if not self.joined and proved:
            self.join("met " + metadata.name)
        self.update_position()
        return member

    def same_name(self, old: Member, new: Member, proved: bool) -> None:
        """A new run of a name: at the same address the old one can't run any more."""
        if old.metadata.address == new.metadata.address:
            if proved:
                self.mark_replaced(old)
        elif old.state == LOST and old.last_update.reason == NO_RESPONSE:
            self.adopt(
                old,
                MemberUpdate(
                    old.id, old.last_update.incarnation, LOST, SUPERSEDED, self.metadata.id
                ),
            )
        elif old.connected and not old.twice:
            old.twice = True
            self.suspect(old, SUPERSEDED)
            self.tell(old)

    def mark_replaced(self, old: Member) -> None:
        self.adopt(
            old,
            MemberUpdate(
                old.id, old.last_update.incarnation, REPLACED, SUPERSEDED, self.metadata.id
            ),
        )

    def mark_heard(self, member: Member) -> None:
        """Something fresh has come from a member itself."""
        member.heard, member.refusals = self.now, 0
        self.ids_by_address[member.metadata.address] = member.id
        if member.metadata.address in self.seeds:
            self.seeds[member.metadata.address] = "met"
        if member.state in (SUSPECT, LOST):
            self.tell(member)

    def learn(self, datagram: Datagram, sender: Member) -> None:
        """What a member tells of others, and of itself."""
        for metadata in datagram.metadata:
            self.meet(metadata, datagram.updates, sender)
        unknown: list[int] = []
        for update in datagram.updates:
            known = self.members.get(update.id)
            if known is None or known.last_update != update:  # nothing new, in most cases
                self.believe(update, sender, unknown)
        if unknown:
            self.send(
                METADATA_REQUEST,
                sender.metadata.address,
                sender,
                ids=unknown[: messages.MAX_REQUESTED_IDS],
            )
        self.received_quota_messages += [(sender.id, deal) for deal in datagram.quota_messages]
        self.received_ejection_messages += [
            (sender.id, plea) for plea in datagram.ejection_messages
        ]
        self.received_consensus_messages += [
            (sender.id, talk) for talk in datagram.consensus_messages
        ]
        for entry in datagram.registry_entries:
            self.registry.merge(entry, self.now)
        if datagram.sequence < sender.highest_sequence:
            # Guards against an older demand that stands in for a newer one, as datagrams pass each
            # other.
            self.counts["said_overtaken"] += len(datagram.payloads)
            return
        for mark, contents in datagram.payloads:
            if sender.payloads.get(mark) is not None or len(sender.payloads) < messages.MAX_POOLS:
                sender.payloads[mark] = contents
                self.received_payloads.append((sender.id, mark, contents))

    def meet(self, metadata: MemberMetadata, updates: list[MemberUpdate], sender: Member) -> None:
        """A card: of one that is not known it needs a word with it."""
        if metadata.id == self.metadata.id:
            return
        known = self.members.get(metadata.id)
        if known is not None:
            if metadata.version > known.metadata.version:
                known.metadata = metadata
                self.spread_metadata(metadata)
                self.told(known, "member_changed")
            return
        update = next(
            (update for update in updates if update.id == metadata.id and update.state <= LOST),
            None,
        )
        if update is not None and not (update.state == LOST and update.reason != NO_RESPONSE):
            self.admit(metadata, update, 0, False)

    def believe(self, update: MemberUpdate, sender: Member, unknown: list[int]) -> None:
        if update.id == self.metadata.id:
            self.refute(update, sender)
            return
        member = self.members.get(update.id)
        if member is None:
            tombstone = self.tombstones.get(update.id)
            if tombstone is None and update.state >= LEFT:
                self.add_tombstone(update)
            elif update.state < LEFT and (
                tombstone is None or tombstone[2].state < LEFT and update.incarnation > tombstone[1]
            ):
                if not (update.state == LOST and update.reason != NO_RESPONSE):
                    unknown.append(update.id)
            return
        if update.rank <= member.last_update.rank:
            if (
                update.state == SUSPECT
                and update.reporter != member.last_update.reporter
                and member.state == SUSPECT
            ):
                self.counts["confirmed"] += 1
            return
        heard = member.heard and self.now - member.heard < FRESH
        if update.state == LOST and heard:
            # It is heard here: the way from there to it is lost, or that one does not listen.
            if update.reporter not in member.disputes:
                self.told(member, "member_disputed", by=self.name_of(update.reporter))
            member.disputes[update.reporter] = self.now
            while len(member.disputes) > 16:
                del member.disputes[next(iter(member.disputes))]
            self.tell(member)
            return
        if update.state == LOST and member.state in (ALIVE, LEAVING):
            # Guards against the verdicts of a part that was cut off: whoever it lost can refute
            # first.
            update = MemberUpdate(
                update.id, update.incarnation, SUSPECT, update.reason, update.reporter
            )
        self.adopt(member, update)
        if update.state == SUSPECT and heard and self.random() < HELPERS / self.count():
            self.tell(member)  # a few of those who hear it, whatever the size of the fleet

    def refute(self, update: MemberUpdate, sender: Member) -> None:
        """Something is said of this member itself."""
        if update.state >= LEFT:
            self.renew(sender)
        elif (
            update.state >= SUSPECT
            and update.incarnation >= self.incarnation
            or update.incarnation > self.incarnation
        ):
            self.incarnation = update.incarnation + 1
            self.counts["refuted"] += 1
            if update.state >= SUSPECT:
                self.event(
                    "member_refuted",
                    state=STATE_NAMES[update.state],
                    why=REASON_NAMES[update.reason],
                    by=self.name_of(update.reporter),
                    life=self.incarnation,
                )
            self.sign()
        elif update.state >= SUSPECT:
            self.spread_update(self.own_update())  # it speaks of a life that is over

    def renew(self, sender: Member) -> None:
        """Others take this run for gone for good: it goes on as another run."""
        if self.state != ALIVE:
            return
        before = self.metadata.run
        self.metadata = MemberMetadata(
            self.metadata.name,
            self.bits(63),
            self.metadata.version,
            self.metadata.host,
            self.metadata.port,
            self.metadata.build,
            self.metadata.zone,
            self.metadata.revision,
            self.metadata.pools,
            self.metadata.limits_epoch,
        )
        self.incarnation, self.sent = 0, 0
        for member in self.members.values():
            member.introduced = 0
        self.sign()
        self.spread_metadata(self.metadata)
        self.event(
            "member_renewed",
            run=f"{self.metadata.run:x}",
            before=f"{before:x}",
            by=sender.metadata.name,
        )

    def adopt(self, member: Member, update: MemberUpdate) -> None:
        """Believe a word, and pass it on."""
        before, member.last_update = member.last_update, update
        if update.state >= LEFT:
            self.spread_update(update)
            self.forget(member, update)
            self.told(
                member,
                "member_" + STATE_NAMES[update.state],
                by=self.name_of(update.reporter),
                why=REASON_NAMES[update.reason],
            )
            self.update_position()
            return
        self.mark(member)
        self.spread_update(update)
        if (before.state, before.reason) != (update.state, update.reason):
            since, member.since = member.since, self.now
            pairs = (
                {"by": self.name_of(update.reporter), "why": REASON_NAMES[update.reason]}
                if update.state != ALIVE
                else {}
            )
            self.told(
                member,
                "member_" + STATE_NAMES[update.state],
                after_ms=(self.now - since) // MS,
                was=STATE_NAMES[before.state],
                **pairs,
            )
        if update.state == SUSPECT:
            self.suspected.append(self.now)
            self.wait_for(member)
        elif update.state == ALIVE:
            member.disputes.clear()
            member.refusals = 0
        self.update_position()

    def wait_for(self, member: Member) -> None:
        """Give a suspect its time to refute."""
        why = member.last_update.reason
        span = self.patient(self.times.refused if why == PORT_UNREACHABLE else self.times.suspect)
        self.at(
            self.now + span,
            self.on_suspicion_timeout,
            member.id,
            member.last_update.incarnation,
            why,
            span,
        )

    def forget(self, member: Member, update: MemberUpdate) -> None:
        self.digest ^= member.mark
        self.reachability_counts[member.reachability] -= 1
        self.change_count += 1
        del self.members[member.id]
        if self.ids_by_address.get(member.metadata.address) == member.id:
            del self.ids_by_address[member.metadata.address]
        self.add_tombstone(update)

    def add_tombstone(self, update: MemberUpdate) -> None:
        while len(self.tombstones) >= MOST_TOMBS:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[update.id] = self.now + TOMB, update.incarnation, update

    def mark(self, member: Member) -> None:
        """Bring the digest up to date with what is believed of a member."""
        self.digest ^= member.mark
        member.mark = digest_part(member.last_update)
        self.digest ^= member.mark
        kind = CONNECTED if member.connected else UNREACHABLE if member.unreachable else GONE
        if kind != member.reachability:
            self.reachability_counts[member.reachability] -= 1
            self.reachability_counts[kind] += 1
            member.reachability, self.change_count = kind, self.change_count + 1

    # What each kind asks for.

    def on_ping(self, datagram: Datagram, member: Member) -> None:
        if datagram.nonce:
            other = datagram.target not in (0, self.metadata.id)
            self.send(ACK, member.metadata.address, member, datagram.nonce, introduce=other)

    def on_ack(self, datagram: Datagram, member: Member) -> None:
        probe = self.probes.pop(datagram.nonce, None)
        if probe is None:
            return
        if probe.target not in (0, member.id):
            old = self.members.get(probe.target)
            if old is not None and probe.address == old.metadata.address == member.metadata.address:
                self.mark_replaced(old)
            return
        if probe.address in self.seeds:
            self.seeds[probe.address] = "met"
        if not self.joined:
            self.join("met " + member.metadata.name)
        member.direct, member.via = self.now, 0
        if datagram.wall_clock_ns and len(self.clock_samples) < MOST_WALLS:
            self.clock_samples.append((member.id, datagram.wall_clock_ns, probe.at, self.now))
        if probe.asker and (asker := self.members.get(probe.asker)):
            self.send(INDIRECT_ACK, asker.metadata.address, asker, probe.asked, member.id)

    def on_ask(self, datagram: Datagram, member: Member) -> None:
        target = self.members.get(datagram.target)
        if target is not None and len(self.probes) < MAX_PROBES // 2:
            self.ping(target.metadata.address, target, target.id, member.id, datagram.nonce)

    def on_stands(self, datagram: Datagram, member: Member) -> None:
        probe = self.probes.get(datagram.nonce)
        if probe is not None and probe.target == datagram.target and not probe.asker:
            del self.probes[datagram.nonce]
            if reached := self.members.get(probe.target):
                reached.via = member.id

    def on_exchange(self, datagram: Datagram, member: Member) -> None:
        if datagram.nonce and datagram.digest != self.digest:
            self.send_full_state(member, False)

    def on_want(self, datagram: Datagram, member: Member) -> None:
        if self.metadata.id in datagram.requested_ids:
            member.introduced = 0  # it has forgotten us, or never knew
        metadata_list, updates, room = (
            list[MemberMetadata](),
            list[MemberUpdate](),
            messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - 700,
        )
        for wanted in datagram.requested_ids:
            found = self.members.get(wanted)
            metadata = (
                found.metadata if found else self.metadata if wanted == self.metadata.id else None
            )
            if metadata is None:
                continue
            room -= messages.encoded_size(metadata) + messages.MEMBER_UPDATE_BYTES
            if room < 0 or len(metadata_list) >= messages.MAX_METADATA - 1:
                self.send(
                    STATE_EXCHANGE,
                    member.metadata.address,
                    member,
                    updates=updates,
                    metadata_list=metadata_list,
                )
                metadata_list, updates, room = (
                    [],
                    [],
                    messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - 700,
                )
            metadata_list.append(metadata)
            updates.append(found.last_update if found else self.own_update())
        if metadata_list:
            self.send(
                STATE_EXCHANGE,
                member.metadata.address,
                member,
                updates=updates,
                metadata_list=metadata_list,
            )

    def on_deals(self, datagram: Datagram, member: Member) -> None:
        """What is in it was heard already, as of any datagram."""

    def send_application_messages(
        self,
        quota_messages: Iterable[tuple[int, QuotaMessage]],
        now: int,
        ejection_messages: Iterable[tuple[int, EjectionMessage]] = (),
    ) -> None:
        """Deals and pleas to whom they are for; one that is not there gets none."""
        self.advance_clock(now)
        each: dict[int, list[QuotaMessage]] = {}
        for other, deal in quota_messages:
            each.setdefault(other, []).append(deal)
        for other, those in each.items():
            if member := self.members.get(other):
                for start in range(0, len(those), messages.MAX_QUOTA_MESSAGES):
                    self.send(
                        APPLICATION_DATA,
                        member.metadata.address,
                        member,
                        quota_messages=those[start : start + messages.MAX_QUOTA_MESSAGES],
                    )
        payloads: dict[int, list[EjectionMessage]] = {}
        for other, plea in ejection_messages:
            payloads.setdefault(other, []).append(plea)
        for other, updates in payloads.items():
            if member := self.members.get(other):
                for start in range(0, len(updates), messages.MAX_EJECTION_MESSAGES):
                    self.send(
                        APPLICATION_DATA,
                        member.metadata.address,
                        member,
                        ejection_messages=updates[start : start + messages.MAX_EJECTION_MESSAGES],
                    )

    def send_consensus_messages(
        self, consensus_messages: Iterable[tuple[int, ConsensusMessage]], now: int
    ) -> None:
        """Talks about the record, as many to one as fit into a datagram; one that is not there gets none."""
        self.advance_clock(now)
        each: dict[int, list[ConsensusMessage]] = {}
        for other, talk in consensus_messages:
            each.setdefault(other, []).append(talk)
        for other, those in each.items():
            if (member := self.members.get(other)) is None:
                continue
            page, room = list[ConsensusMessage](), TALK_ROOM
            for talk in those:
                size = messages.encoded_size(talk)
                if page and (size > room or len(page) >= messages.MAX_CONSENSUS_MESSAGES):
                    self.send(
                        APPLICATION_DATA, member.metadata.address, member, consensus_messages=page
                    )
                    page, room = [], TALK_ROOM
                page.append(talk)
                room -= size
            self.send(APPLICATION_DATA, member.metadata.address, member, consensus_messages=page)

    def differ(self, member: Member) -> None:
        """Views differ: news on its way is the usual reason; where there is none they are exchanged."""
        lost = self.lost()
        apart = EXCHANGE_SOON if lost or self.now - self.started_at < 2 * SECOND else EXCHANGE_APART
        if self.now >= self.exchange_at + apart and (lost or not self.news):
            self.exchange_at = self.now + int(self.random() * apart / 2)
            self.send_full_state(member, True)

    def send_full_registry(self, member: Member) -> None:
        """Tell a member all that operators have said."""
        size = messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - 100
        for page in self.registry.pages(size, messages.MAX_REGISTRY_ENTRIES, self.now):
            self.send(STATE_EXCHANGE, member.metadata.address, member, pages=page)

    def send_full_state(self, member: Member, answer: bool) -> None:
        """Tell a member all of this one's view, in pages; `answer`: it is to tell its own."""
        if self.tokens < BURST_BYTES // 2:
            return  # it would not be sent
        updates = [
            other.last_update for other in self.members.values() if other.id != member.id
        ] + [self.own_update()]
        self.shuffle(updates)  # what is not sent for want of room comes another time
        self.counts["exchanges"] += 1
        page = min(
            messages.MAX_UPDATES - 1,
            (messages.MAX_DATAGRAM_BYTES - messages.EMPTY_DATAGRAM_BYTES - 700)
            // messages.MEMBER_UPDATE_BYTES,
        )
        for start in range(0, len(updates), page):
            self.send(
                STATE_EXCHANGE,
                member.metadata.address,
                member,
                int(answer),
                updates=updates[start : start + page],
            )
            answer = False

    # Evidence from the network and from people.

    def on_port_unreachable(self, address: Address, now: int) -> None:
        """Nothing listens at an address: said by its machine, not by silence."""
        self.advance_clock(now)
        if address in self.seeds:
            self.seeds[address] = "refused"
        member = self.members.get(self.ids_by_address.get(address, 0))
        if member is None or member.metadata.address != address:
            member = next(
                (one for one in self.members.values() if one.metadata.address == address), None
            )
        if member is None or member.state > LOST:
            return
        # Guards against one answer that was late on its way: twice, apart, with nothing heard
        # between.
        if not member.refusals:
            member.refused_since = now
            self.at(now + self.times.probe // 2, self.ask_again, member.id)
        member.refusals += 1
        if member.refusals < 2 or now - member.refused_since < self.times.probe // 3:
            return
        if member.connected and (member.state, member.last_update.reason) != (
            SUSPECT,
            PORT_UNREACHABLE,
        ):
            self.suspect(member, PORT_UNREACHABLE)
        elif member.unreachable:
            self.adopt(
                member,
                MemberUpdate(
                    member.id,
                    member.last_update.incarnation,
                    LOST,
                    PORT_UNREACHABLE,
                    self.metadata.id,
                ),
            )

    def ask_again(self, member_id: int) -> None:
        member = self.members.get(member_id)
        if member is not None and member.refusals:
            self.ping(member.metadata.address, member, member.id)

    def declare_dead(self, name: str, now: int) -> int:
        """An operator says that an unheard member is dead; how many were struck."""
        self.advance_clock(now)
        found = [
            member
            for member in self.members.values()
            if member.metadata.name == name and member.unreachable
        ]
        for member in found:
            self.adopt(
                member,
                MemberUpdate(
                    member.id, member.last_update.incarnation, LOST, DECLARED_DEAD, self.metadata.id
                ),
            )
        return len(found)

    # This member's own doings.

    def reconfigure(
        self,
        now: int,
        seeds: Iterable[Address],
        seal: Seal,
        times: MembershipTiming,
        **metadata: Any,
    ) -> None:
        """Go on by another configuration."""
        self.advance_clock(now)
        self.seal, self.times = seal, times
        self.reseed(seeds)
        new = MemberMetadata(
            **{key: getattr(self.metadata, key) for key in MemberMetadata.__struct_fields__}
            | metadata
        )
        if new != self.metadata:
            self.metadata = MemberMetadata(
                **{key: getattr(new, key) for key in MemberMetadata.__struct_fields__}
                | {"version": self.metadata.version + 1}
            )
            self.spread_metadata(self.metadata)
            for member in self.members.values():
                member.introduced = 0  # each hears it from this one itself, however it was spread
            self.sign()

    def publish(self, mark: int, contents: bytes) -> None:
        """What a pool's decisions tell the others of that pool, till they say something else."""
        if len(contents) <= messages.MAX_PAYLOAD_BYTES and (
            mark in self.own_payloads or len(self.own_payloads) < messages.MAX_POOLS
        ):
            self.own_payloads[mark] = contents

    def broadcast_payloads(self, now: int) -> None:
        """What is carried goes to all who are heard at once, not only in the turn of their pings."""
        self.advance_clock(now)
        for member in self.others():
            self.send(PING, member.metadata.address, member)

    def leave(self, now: int) -> None:
        """It ends soon: it goes on answering."""
        self.advance_clock(now)
        if self.state == ALIVE:
            self.incarnation, self.state = self.incarnation + 1, LEAVING
            self.sign()
            self.event("fleet_leaving")

    def announce_leave(self, now: int) -> None:
        """The last word, to as many as may be told at once; the others hear it from them."""
        self.advance_clock(now)
        self.incarnation, self.state = self.incarnation + 1, LEFT
        self.sign()
        there = self.others()
        for member in self.sample(there, min(64, len(there))):
            self.send(PING, member.metadata.address, member, updates=[self.own_update()])
        self.event("fleet_left", told=min(64, len(there)))

    def sweep(self) -> None:
        """Once a second: what has lasted long enough goes."""
        self.at(self.now + SECOND, self.sweep)
        self.knocks = JOIN_REPLIES_PER_SECOND
        self.registry.expire(self.now)
        for member in list(self.members.values()):
            reckon = self.times.reckon if member.unreachable else min(self.times.reckon, TOMB // 10)
            if member.state == LOST and self.now - member.since >= reckon:
                self.forget(member, member.last_update)
                self.told(member, "member_forgotten", why=REASON_NAMES[member.last_update.reason])
            for by in [by for by, at in member.disputes.items() if self.now - at > 10 * SECOND]:
                del member.disputes[by]
        for known in [
            known for known, tombstone in self.tombstones.items() if tombstone[0] <= self.now
        ]:
            del self.tombstones[known]
        old = self.now - 4 * self.patient(self.times.answer)
        for nonce in [nonce for nonce, probe in self.probes.items() if probe.at < old]:
            del self.probes[nonce]
        self.knocking = {who: nonce for who, nonce in self.knocking.items() if nonce in self.probes}
        self.update_position()

    # What follows from it.

    def update_position(self) -> None:
        """Name this member's own position when it changes."""
        position = self.compute_position()
        if position != self.position:
            before, self.position = self.position, position
            known = self.count() + self.reachability_counts[UNREACHABLE]
            self.event(
                "partition_state_changed",
                position=position,
                was=before,
                here=self.count(),
                known=known,
            )

    def compute_position(self) -> str:
        """whole: none is unheard; else larger (over half are heard), smaller (half at most), alone."""
        here = self.count()
        unheard = self.reachability_counts[UNREACHABLE]
        if here == 1 and (unheard or self.unresponsive_seeds()):
            return "alone"
        if not unheard:
            return "whole"
        return "larger" if 2 * here > here + unheard else "smaller"

    def pool_members(self, mark: int) -> list[tuple[bytes, int]]:
        """Who has to be reckoned with in a pool, this one too, in an order that is everywhere the same.

        By a hash of the name, so that a restart keeps its place and one that comes or goes moves
        each other's place by no more than its own width.
        """
        found = [
            (ring_position(member.metadata.name), member.id)
            for member in self.members.values()
            if (member.connected or member.unreachable) and mark in member.metadata.pools
        ]
        return sorted([*found, (ring_position(self.metadata.name), self.metadata.id)])

    def known_addresses(self) -> list[Address]:
        """Where members are that may be met again: what the next run of this process starts from."""
        return sorted(
            member.metadata.address
            for member in self.members.values()
            if member.reachability != GONE
        )

    def name_of(self, member_id: int) -> str:
        if member_id == self.metadata.id:
            return self.metadata.name
        member = self.members.get(member_id)
        return member.metadata.name if member else f"{member_id:016x}"

    def event(self, what: str, **pairs: Any) -> None:
        self.events.append(Event(what, self.now, pairs))

    def told(self, member: Member, what: str, **pairs: Any) -> None:
        self.event(what, member=member.metadata.name, run=f"{member.metadata.run:x}", **pairs)

    def rows(self) -> Iterator[dict[str, Any]]:
        """Everybody, for people: who is where, since when, by whose word, who disagrees."""
        own = self.metadata
        yield {
            "name": own.name,
            "run": f"{own.run:x}",
            "state": STATE_NAMES[self.state],
            "since_ms": (self.now - self.started_at) // MS,
            "by": own.name,
            "why": "self",
            "life": self.incarnation,
            "address": "%s:%d" % own.address,
            "zone": own.zone,
            "build": own.build,
            "revision": own.revision,
            "heard_ms": 0,
            "way": "self",
            "disputed_by": [],
        }
        for member in sorted(self.members.values(), key=lambda one: one.metadata.name):
            metadata, update = member.metadata, member.last_update
            yield {
                "name": metadata.name,
                "run": f"{metadata.run:x}",
                "state": STATE_NAMES[update.state],
                "since_ms": (self.now - member.since) // MS,
                "by": self.name_of(update.reporter),
                "why": REASON_NAMES[update.reason],
                "life": update.incarnation,
                "address": "%s:%d" % metadata.address,
                "zone": metadata.zone,
                "build": metadata.build,
                "revision": metadata.revision,
                "heard_ms": (self.now - member.heard) // MS if member.heard else None,
                "way": self.way(member),
                "disputed_by": sorted(self.name_of(by) for by in member.disputes),
            }

    def way(self, member: Member) -> str:
        """How this one reaches it: direct, via another, or not."""
        if member.via:
            return f"via {self.name_of(member.via)}"
        if not member.connected:
            return "none"
        return "direct" if member.direct else "unproved"


def digest_part(update: MemberUpdate) -> int:
    """A word's part of a digest: the same in every process, other for another life or state."""
    mixed = update.id ^ (update.incarnation + 1) * 0x9E3779B97F4A7C15
    mixed ^= (update.state * 8 + update.reason + 1) * 0xC2B2AE3D27D4EB4F
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & MASK
    return (mixed ^ mixed >> 32) & MASK


def ring_position(name: str) -> bytes:
    return messages.member_id(name, 0).to_bytes(8, "big")
