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
    ASK,
    DEALS,
    EXCHANGE,
    HERE,
    LEAVING,
    LEFT,
    LOST,
    PING,
    REFUSED,
    RENAMED,
    REPLACED,
    SAID,
    SILENT,
    STANDS,
    STATES,
    STRUCK,
    SUSPECT,
    WANT,
    WHY,
    Card,
    Datagram,
    Deal,
    Plainly,
    Plea,
    Seal,
    Talk,
    Unread,
    Word,
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
MOST_PROBES = 512  # out at once, own and for others: two seconds of them
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
BYTES, BURST = 64_000, 64_000  # a second, and at once: what goes beyond waits for another turn
# a second that are answered of those who are not known: a fleet of hundreds starts at once
KNOCKS = 400.0
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
    messages.LARGEST - messages.EMPTY_SIZE - messages.WORD_SIZE - 1
)  # bytes of a datagram that talks may take
MASK = 2**64 - 1
CONNECTED, UNHEARD, GONE = range(3)  # as which a member is counted


@dataclass(frozen=True)
class Times:
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
        "card",
        "id",
        "word",
        "since",
        "heard",
        "high",
        "seen",
        "told",
        "refusals",
        "refused_since",
        "disputes",
        "via",
        "direct",
        "introduced",
        "twice",
        "said",
        "mark",
        "kind",
        "register",
    )

    def __init__(self, card: Card, word: Word, now: int) -> None:
        self.card, self.id, self.word, self.since = card, card.id, word, now
        self.heard = 0  # when something fresh last came from it itself; 0: never
        self.high, self.seen = (
            -1,
            0,
        )  # the highest count, and which of the `WINDOW` below it have come
        self.told = 0  # when it was last told what is said of it
        self.refusals, self.refused_since = 0, 0
        self.disputes: dict[int, int] = {}  # who calls it lost though it is heard here: when
        self.via, self.direct = 0, 0  # who last reached it for us; when it last answered us itself
        self.introduced = 0  # times that our card went to it
        self.twice = False  # another run of its name is about
        self.said: dict[int, bytes] = {}  # by pool: what its decisions last told
        self.mark, self.kind = 0, GONE  # of its word in the digest; as which it is counted
        self.register = 0  # digest of what operators said, as it last held it

    @property
    def state(self) -> int:
        return self.word.state

    @property
    def connected(self) -> bool:
        return self.word.state <= SUSPECT

    @property
    def unheard(self) -> bool:
        """Lost by silence alone: it may go on sending to upstreams."""
        return self.word.state == LOST and self.word.why == SILENT

    def fresh(self, count: int) -> bool:
        """Whether a datagram of this count is none that has come before."""
        if count > self.high:
            ahead = count - self.high
            self.seen = (self.seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.high = count
            return True
        back = self.high - count
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Probe:
    """A ping that has no answer yet."""

    __slots__ = ("target", "address", "at", "asker", "asked", "card")

    def __init__(
        self,
        target: int,
        address: Address,
        at: int,
        asker: int = 0,
        asked: int = 0,
        card: Card | None = None,
    ) -> None:
        self.target, self.address, self.at = target, address, at
        self.asker, self.asked = asker, asked  # for whom, and the nonce of its own ping
        self.card = card  # of one that is not known yet, and has to prove that it is there


class Members:
    """One member's view of the fleet."""

    def __init__(
        self,
        card: Card,
        seeds: Iterable[Address],
        seal: Seal,
        times: Times,
        chance: Random,
        now: int,
        most: int = MOST,
        recalled: Iterable[Address] = (),
    ) -> None:
        self.card, self.seal, self.times, self.most = card, seal, times, most
        self.random, self.bits, self.shuffle = chance.random, chance.getrandbits, chance.shuffle
        self.sample = chance.sample
        self.now, self.life, self.state = now, 0, HERE
        self.members: dict[int, Member] = {}
        self.at_address: dict[Address, int] = {}  # the run that was last met there
        self.tombs: dict[int, tuple[int, int, Word]] = {}  # until when; the life that outdoes it
        self.probes: dict[int, Probe] = {}
        self.knocking: dict[int, int] = {}  # who is not known and was asked: the nonce
        self.timers: list[Alarm] = []
        self.number = 0
        self.out: list[tuple[Address, bytes]] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.news: deque[list[Any]] = deque()  # [word, times sent]
        self.fresh_news: dict[int, list[Any]] = {}
        self.cards: deque[list[Any]] = deque()  # [id, times sent]
        self.says: dict[int, bytes] = {}  # by pool: what our decisions tell
        self.said_turn = 0
        self.heard_said: list[
            tuple[int, int, bytes]
        ] = []  # member, pool, contents: for whoever hosts this
        self.heard_deals: list[tuple[int, Deal]] = []  # from whom, for whoever hosts this
        self.heard_pleas: list[tuple[int, Plea]] = []  # the same
        self.heard_talks: list[tuple[int, Talk]] = []  # the same
        self.registry = Registry()
        self.wall = 0  # the wall clock less this one's; 0: it tells none
        self.heard_walls: list[
            tuple[int, int, int, int]
        ] = []  # member, its wall, when asked, when answered
        self.digest, self.own_mark = 0, 0
        self.tally = [0, 0, 0]  # members as they are counted
        self.changes = 0  # of who is reckoned with, for whoever hosts this
        self.sent = 0
        self.tokens, self.tokens_at, self.knocks = float(BURST), now, KNOCKS
        self.turn: list[int] = []  # who is pinged next
        self.slow, self.slow_at = 0.0, now
        self.suspected: deque[int] = deque(maxlen=8)  # when members were suspected
        self.exchange_at = now
        self.joined, self.began, self.position = False, now, ""
        self.seeds: dict[Address, str] = {}  # how each is: unasked, silent, refused, met
        self.seed_turn: list[Address] = []
        self.recalled = set(recalled)  # where members were when this one's last run knew them
        self.reseed(seeds)
        self.sign()
        self.at(now, self.probe_next)
        self.at(now + RETRY, self.retry_lost)
        self.at(now, self.try_seeds)
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

    def enter(self, now: int) -> None:
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
        self.enter(now)
        while self.due() <= now:
            _, _, call, args, _ = heapq.heappop(self.timers)
            call(*args)

    def take(self) -> tuple[list[tuple[Address, bytes]], list[Event], list[tuple[int, int, bytes]]]:
        """What is to be sent, what has happened, what others' decisions told, since last asked."""
        found = self.out, self.events, self.heard_said
        self.out, self.events, self.heard_said = [], [], []
        return found

    # Who is here, as others are told.

    def word(self) -> Word:
        """This member of itself."""
        return Word(self.card.id, self.life, self.state, SAID, self.card.id)

    def sign(self) -> None:
        """This one's own word has changed: into the digest, and to all."""
        word = self.word()
        self.digest ^= self.own_mark
        self.own_mark = mark_of(word)
        self.digest ^= self.own_mark
        self.spread(word)

    def spread(self, word: Word) -> None:
        """News goes out with whatever is sent next, a few times for each doubling of the fleet."""
        old = self.fresh_news.pop(word.id, None)
        if old is not None:
            old[0] = None  # dropped when its turn comes
        item = self.fresh_news[word.id] = [word, 0]
        self.news.appendleft(item)

    def spread_card(self, card: Card) -> None:
        if len(self.cards) < self.most:
            self.cards.appendleft([card.id, 0])

    def others(self, *but: int) -> list[Member]:
        """Members that are taken to be reachable."""
        return [
            member for member in self.members.values() if member.connected and member.id not in but
        ]

    def count(self) -> int:
        return 1 + self.tally[CONNECTED]

    def lost(self) -> bool:
        """Whether anybody is lost."""
        return len(self.members) > self.tally[CONNECTED]

    # Out.

    def send(
        self,
        kind: int,
        address: Address,
        to: Member | None,
        nonce: int = 0,
        target: int = 0,
        words: list[Word] | None = None,
        cards: list[Card] | None = None,
        ids: list[int] | None = None,
        introduce: bool = False,
        deals: list[Deal] | None = None,
        pages: list[RegistryEntry] | None = None,
        pleas: list[Plea] | None = None,
        talks: list[Talk] | None = None,
    ) -> None:
        """One datagram, filled up with news."""
        words, cards = list(words or ()), list(cards or ())
        if not talks and (introduce or to is None or to.introduced < 3):
            cards.insert(0, self.card)
            if to is not None:
                to.introduced += 1
        if to is not None and to.state != HERE and len(words) < messages.MOST_WORDS:
            words.insert(0, to.word)  # it has to hear what is said of it
        ids, deals = ids or [], deals or []
        room = (
            messages.LARGEST - messages.EMPTY_SIZE - 9 * len(ids) - messages.WORD_SIZE * len(words)
        )
        room -= messages.DEAL_SIZE * len(deals) + messages.PLEA_SIZE * len(pleas or ())
        room -= sum(messages.size_of(card) for card in cards) + sum(
            map(messages.size_of, talks or ())
        )
        said, entries = [], list(pages or ())
        if to is not None and kind in (PING, ACK) and self.registry.pending:
            entries = self.registry.collect_updates(room, len(self.members), self.now)
            room -= sum(map(messages.size_of, entries))
        if self.says and kind in (PING, ACK):
            marks = list(self.says)
            for step in range(min(len(marks), 8)):
                mark = marks[(self.said_turn + step) % len(marks)]
                size = 10 + len(self.says[mark])
                if size <= room:
                    said.append((mark, self.says[mark]))
                    room -= size
            self.said_turn += len(said)
        self.tokens = min(BURST, self.tokens + BYTES * max(0, self.now - self.tokens_at) / SECOND)
        self.tokens_at = max(self.tokens_at, self.now)
        if to is not None and kind != DEALS and not pages and (kind != EXCHANGE or not words):
            # The less may be sent the less news goes with it: what is asked is answered in any
            # case.
            self.add_news(words, cards, min(room, int(self.tokens * messages.LARGEST / BURST)))
        plain = (
            kind,
            self.card.id,
            self.sent,
            nonce,
            target,
            self.digest,
            words,
            cards,
            said,
            ids,
            deals,
            self.now + self.wall if self.wall else 0,
            self.registry.digest,
            entries,
            pleas or [],
        )
        data = self.seal.seal(Datagram(*plain, talks) if talks else Plainly(*plain))
        # Guards against a seed that spends all on views and strangers, and seems dead to those who
        # know it.
        if kind == EXCHANGE:
            spared = BURST // 4 if cards else BURST // 2
        else:
            spared = 0 if kind in (WANT, ASK) else -BURST // 2 if to is None else -BURST
        if self.tokens < spared:
            self.counts["not_sent"] += 1
            return
        self.tokens -= len(data)
        self.sent += 1
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)
        self.out.append((address, data))

    def add_news(self, words: list[Word], cards: list[Card], room: int) -> None:
        """Cards and words that have not been sent often enough yet; those sent least come first."""
        times = TIMES * max(1, len(self.members).bit_length())
        for _ in range(min(len(self.cards), 4)):
            item = self.cards.popleft()
            card = self.card if item[0] == self.card.id else None
            if card is None and item[0] in self.members:
                card = self.members[item[0]].card
            if card is None:
                continue
            item[1] += 1
            if (
                size := messages.size_of(card)
            ) <= room - 2 * messages.WORD_SIZE and card not in cards:
                cards.append(card)
                room -= size
            if item[1] < TIMES:  # who gets the word without it asks for it
                self.cards.append(item)
        there = {word.id for word in words}
        for _ in range(
            min(
                len(self.news), max(0, room // messages.WORD_SIZE), messages.MOST_WORDS - len(words)
            )
        ):
            item = self.news.popleft()
            word = item[0]
            if word is None:
                continue
            if word.id not in there:
                words.append(word)
                room -= messages.WORD_SIZE
                item[1] += 1
            if item[1] < times:
                self.news.append(item)
            elif self.fresh_news.get(word.id) is item:
                del self.fresh_news[word.id]

    def ping(
        self,
        address: Address,
        to: Member | None,
        target: int = 0,
        asker: int = 0,
        asked: int = 0,
        card: Card | None = None,
    ) -> int:
        """Ask whether somebody is there; its nonce, 0 where too many are out."""
        if len(self.probes) >= MOST_PROBES:
            self.counts["probes_full"] += 1
            return 0
        nonce = self.bits(63) | 1
        self.probes[nonce] = Probe(target, address, self.now, asker, asked, card)
        self.send(PING, address, to, nonce, target, introduce=to is None)
        return nonce

    # Pings in turn.

    def probe_next(self) -> None:
        often = self.times.probe
        if len(self.suspected) >= 2 and self.now - self.suspected[-2] < 2 * SECOND:
            often //= 2  # several at once: a part is cut off, and all of it is to be looked at
        elif self.now - self.began < YOUNG and all(
            one.card.address in self.seeds for one in self.others()
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
        nonce = self.ping(member.card.address, member, member.id)
        if nonce:
            answer = self.patient(self.times.answer)
            self.unless_answered(self.now + int(ASK_FIRST * answer), self.ask_others, nonce)
            self.unless_answered(self.now + answer, self.unanswered, nonce)

    def ask_others(self, nonce: int) -> None:
        probe = self.probes.get(nonce)
        if probe is None:
            return
        helpers = self.others(probe.target)
        for helper in self.sample(helpers, min(HELPERS, len(helpers))):
            self.send(ASK, helper.card.address, helper, nonce, probe.target)

    def unanswered(self, nonce: int) -> None:
        probe = self.probes.pop(nonce, None)
        member = self.members.get(probe.target) if probe else None
        if member is None or member.state not in (HERE, LEAVING):
            return
        if member.heard or self.now - self.began >= YOUNG:
            self.suspect(member, SILENT)
        # Else it is known by others' word only, and may not know this one: with hundreds that start
        # at once its answers are bounded, and whoever has heard it would notice its death.

    def suspect(self, member: Member, why: int) -> None:
        self.adopt(member, Word(member.id, member.word.life, SUSPECT, why, self.card.id))
        self.remind(member.id, member.word.life)

    def remind(self, member_id: int, life: int) -> None:
        """Whoever suspects tells the suspect so itself, until it has refuted or its time is over."""
        # Guards against a loss by hearsay alone: in a fleet of hundreds few have heard it just now,
        # so that none of them may tell it, and by news it may hear too late.
        member = self.members.get(member_id)
        if member is not None and member.state == SUSPECT and member.word.life == life:
            self.tell(member)
            self.at(
                self.now + self.patient(self.times.suspect) // REMINDERS,
                self.remind,
                member_id,
                life,
            )

    def judge(self, member_id: int, life: int, why: int, span: int) -> None:
        """The time to refute is over."""
        member = self.members.get(member_id)
        if member is None or (member.state, member.word.life, member.word.why) != (
            SUSPECT,
            life,
            why,
        ):
            return
        if member.heard and self.now - member.heard < min(FRESH, span):
            # Heard all the same: it has not been told, or its answer has not come.
            self.tell(member)
            self.at(self.now + span // 2, self.judge, member_id, life, why, span)
            return
        self.adopt(member, Word(member.id, life, LOST, why, self.card.id))

    def tell(self, member: Member) -> None:
        """Let a member hear what is said of it, so that it can refute."""
        if self.now - member.told >= self.times.probe // 2:
            member.told = self.now
            self.ping(member.card.address, member, member.id)

    def retry_lost(self) -> None:
        """Look whether one of the lost is back: the way may have been lost, not the member."""
        self.at(self.now + RETRY, self.retry_lost)
        if self.lost():
            lost = [member for member in self.members.values() if member.state == LOST]
            member = lost[int(self.random() * len(lost))]
            self.ping(member.card.address, member, member.id)

    # Seeds.

    def reseed(self, seeds: Iterable[Address]) -> None:
        own = self.card.address
        there = dict.fromkeys((*seeds, *sorted(self.recalled)))
        self.seeds = {seed: self.seeds.get(seed, "unasked") for seed in there if seed != own}
        self.recalled -= set(seeds)
        self.seed_turn = []

    def try_seeds(self) -> None:
        """Ask the addresses of the file: some at once until somebody answers, then one now and then."""
        early = not self.joined
        # Guards against parts that each gathered round another seed, and one whose first tries met
        # a cut.
        young = self.count() == 1 or self.now - self.began < YOUNG
        if self.recalled and not young:
            self.seeds = {
                seed: how for seed, how in self.seeds.items() if seed not in self.recalled
            }
            self.recalled.clear()
        span = self.times.probe if early else SEED_SOON if young else SEED_NOW_AND_THEN
        self.at(self.now + span, self.try_seeds)
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
        if early and (not doubt or self.now - self.began >= self.times.settle):
            self.join("nobody there" if not doubt else "nobody answers")

    def met(self, seed: Address) -> bool:
        member = self.members.get(self.at_address.get(seed, 0))
        return member is not None and member.connected

    def join(self, how: str) -> None:
        self.joined = True
        self.event("fleet_joined", how=how, members=self.count(), seeds=len(self.seeds))

    def silent_seeds(self) -> int:
        """Seeds of which nothing is known: neither met nor refused."""
        return sum(state in ("silent", "unasked") for seed, state in self.seeds.items())

    # In.

    def receive(self, data: bytes, source: Address, now: int) -> None:
        """A datagram, from whoever sent it."""
        self.enter(now)
        self.counts["datagrams_in"] += 1
        self.counts["bytes_in"] += len(data)
        try:
            datagram = self.seal.open(data)
        except Unread as unread:
            self.counts[f"unread_{unread.reason}"] += 1
            return
        if datagram.sender == self.card.id:
            self.counts["unread_own"] += 1
            return
        member = self.members.get(datagram.sender)
        probe = self.probes.get(datagram.nonce) if datagram.kind == ACK else None
        if member is None:
            member = self.stranger(datagram, probe, source)
            if member is None:
                return
        elif not member.fresh(datagram.count):
            # Guards against old datagrams that are sent again, by whomever.
            self.counts["unread_again"] += 1
            return
        self.hear(member)
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
        member.register = datagram.register
        if datagram.register != self.registry.digest and self.registry.start_full_sync(self.now):
            self.send_full_registry(member)

    def stranger(self, datagram: Datagram, probe: Probe | None, source: Address) -> Member | None:
        """One that is not known has to answer a ping of this one's own before anything it says counts."""
        card = next((card for card in datagram.cards if card.id == datagram.sender), None)
        if card is None and probe is not None and probe.card and probe.card.id == datagram.sender:
            card = probe.card
        if card is not None and probe is not None:
            member = self.admit(
                card, Word(card.id, 0, HERE, SAID, self.card.id), datagram.count, True
            )
            if member is not None and probe.card is not None:
                self.present(member)
            return member
        if card is not None and (asked := self.probes.get(self.knocking.get(card.id, 0))):
            if self.now - asked.at < self.times.answer:
                self.counts["knocks_again"] += 1  # its ping and its answer are on their way
                return None
        if self.knocks < 1.0:
            self.counts["knocks_refused"] += 1
            return None
        self.knocks -= 1.0
        if card is None:
            if datagram.kind == WANT and self.card.id in datagram.ids:
                self.ping(source, None)
            else:
                self.send(WANT, source, None, ids=[datagram.sender])
            return None
        tomb = self.tombs.get(datagram.sender)
        if tomb is not None and tomb[2].state >= LEFT:
            self.send(PING, card.address, None, words=[tomb[2]])  # so that it takes a new run
            return None
        if datagram.kind == PING:
            self.send(ACK, card.address, None, datagram.nonce, introduce=True)
        self.knocking[card.id] = self.ping(card.address, None, card=card)
        return None

    def present(self, member: Member) -> None:
        """Name some others to one that has just knocked, so that it need not learn all of this one."""
        # Guards against hundreds that start at once, know their seeds alone, and all ask those.
        others = self.others(member.id)
        some = self.sample(others, min(PRESENTED, len(others)))
        if some:
            self.send(
                EXCHANGE,
                member.card.address,
                member,
                words=[one.word for one in some],
                cards=[one.card for one in some],
            )

    def admit(self, card: Card, word: Word, count: int, proved: bool) -> Member | None:
        """Take up a member that was not known; `proved` if it answered a ping of this one."""
        tomb = self.tombs.pop(card.id, None)
        if tomb is not None and tomb[2].state >= LEFT:
            self.tombs[card.id] = tomb
            return None
        if len(self.members) >= self.most:
            self.counts["table_full"] += 1
            self.event("member_table_full", name=card.name, most=self.most)
            return None
        if tomb is not None and word.life <= tomb[1]:
            word = Word(
                word.id, tomb[1], LOST, tomb[2].why, tomb[2].by
            )  # till it says more of itself
        member = Member(card, word, self.now)
        self.members[card.id] = member
        self.tally[GONE] += 1
        self.changes += 1
        if proved:
            member.fresh(count)
        self.mark(member)
        self.turn.insert(int(self.random() * (len(self.turn) + 1)), card.id)
        self.spread_card(card)
        self.spread(word)
        self.told(member, "member_" + STATES[word.state])
        for other in [other for other in self.members.values() if other.card.name == card.name]:
            if other is not member and other.state <= LOST:
                self.same_name(other, member, proved)
        if proved or card.address not in self.at_address:
            self.at_address[card.address] = card.id
        if word.state == SUSPECT:
            self.wait_for(member)
        if not self.joined and proved:
            self.join("met " + card.name)
        self.place()
        return member

    def same_name(self, old: Member, new: Member, proved: bool) -> None:
        """A new run of a name: at the same address the old one can't run any more."""
        if old.card.address == new.card.address:
            if proved:
                self.replaced(old)
        elif old.state == LOST and old.word.why == SILENT:
            self.adopt(old, Word(old.id, old.word.life, LOST, RENAMED, self.card.id))
        elif old.connected and not old.twice:
            old.twice = True
            self.suspect(old, RENAMED)
            self.tell(old)

    def replaced(self, old: Member) -> None:
        self.adopt(old, Word(old.id, old.word.life, REPLACED, RENAMED, self.card.id))

    def hear(self, member: Member) -> None:
        """Something fresh has come from a member itself."""
        member.heard, member.refusals = self.now, 0
        self.at_address[member.card.address] = member.id
        if member.card.address in self.seeds:
            self.seeds[member.card.address] = "met"
        if member.state in (SUSPECT, LOST):
            self.tell(member)

    def learn(self, datagram: Datagram, sender: Member) -> None:
        """What a member tells of others, and of itself."""
        for card in datagram.cards:
            self.meet(card, datagram.words, sender)
        unknown: list[int] = []
        for word in datagram.words:
            known = self.members.get(word.id)
            if known is None or known.word != word:  # nothing new, in most cases
                self.believe(word, sender, unknown)
        if unknown:
            self.send(WANT, sender.card.address, sender, ids=unknown[: messages.MOST_IDS])
        self.heard_deals += [(sender.id, deal) for deal in datagram.deals]
        self.heard_pleas += [(sender.id, plea) for plea in datagram.pleas]
        self.heard_talks += [(sender.id, talk) for talk in datagram.talks]
        for entry in datagram.entries:
            self.registry.merge(entry, self.now)
        if datagram.count < sender.high:
            # Guards against an older demand that stands in for a newer one, as datagrams pass each
            # other.
            self.counts["said_overtaken"] += len(datagram.said)
            return
        for mark, contents in datagram.said:
            if sender.said.get(mark) is not None or len(sender.said) < messages.MOST_POOLS:
                sender.said[mark] = contents
                self.heard_said.append((sender.id, mark, contents))

    def meet(self, card: Card, words: list[Word], sender: Member) -> None:
        """A card: of one that is not known it needs a word with it."""
        if card.id == self.card.id:
            return
        known = self.members.get(card.id)
        if known is not None:
            if card.version > known.card.version:
                known.card = card
                self.spread_card(card)
                self.told(known, "member_changed")
            return
        word = next((word for word in words if word.id == card.id and word.state <= LOST), None)
        if word is not None and not (word.state == LOST and word.why != SILENT):
            self.admit(card, word, 0, False)

    def believe(self, word: Word, sender: Member, unknown: list[int]) -> None:
        if word.id == self.card.id:
            self.answer_for(word, sender)
            return
        member = self.members.get(word.id)
        if member is None:
            tomb = self.tombs.get(word.id)
            if tomb is None and word.state >= LEFT:
                self.bury(word)
            elif word.state < LEFT and (
                tomb is None or tomb[2].state < LEFT and word.life > tomb[1]
            ):
                if not (word.state == LOST and word.why != SILENT):
                    unknown.append(word.id)
            return
        if word.rank <= member.word.rank:
            if word.state == SUSPECT and word.by != member.word.by and member.state == SUSPECT:
                self.counts["confirmed"] += 1
            return
        heard = member.heard and self.now - member.heard < FRESH
        if word.state == LOST and heard:
            # It is heard here: the way from there to it is lost, or that one does not listen.
            if word.by not in member.disputes:
                self.told(member, "member_disputed", by=self.name_of(word.by))
            member.disputes[word.by] = self.now
            while len(member.disputes) > 16:
                del member.disputes[next(iter(member.disputes))]
            self.tell(member)
            return
        if word.state == LOST and member.state in (HERE, LEAVING):
            # Guards against the verdicts of a part that was cut off: whoever it lost can refute
            # first.
            word = Word(word.id, word.life, SUSPECT, word.why, word.by)
        self.adopt(member, word)
        if word.state == SUSPECT and heard and self.random() < HELPERS / self.count():
            self.tell(member)  # a few of those who hear it, whatever the size of the fleet

    def answer_for(self, word: Word, sender: Member) -> None:
        """Something is said of this member itself."""
        if word.state >= LEFT:
            self.renew(sender)
        elif word.state >= SUSPECT and word.life >= self.life or word.life > self.life:
            self.life = word.life + 1
            self.counts["refuted"] += 1
            if word.state >= SUSPECT:
                self.event(
                    "member_refuted",
                    state=STATES[word.state],
                    why=WHY[word.why],
                    by=self.name_of(word.by),
                    life=self.life,
                )
            self.sign()
        elif word.state >= SUSPECT:
            self.spread(self.word())  # it speaks of a life that is over

    def renew(self, sender: Member) -> None:
        """Others take this run for gone for good: it goes on as another run."""
        if self.state != HERE:
            return
        before = self.card.run
        self.card = Card(
            self.card.name,
            self.bits(63),
            self.card.version,
            self.card.host,
            self.card.port,
            self.card.build,
            self.card.zone,
            self.card.revision,
            self.card.pools,
            self.card.limits,
        )
        self.life, self.sent = 0, 0
        for member in self.members.values():
            member.introduced = 0
        self.sign()
        self.spread_card(self.card)
        self.event(
            "member_renewed", run=f"{self.card.run:x}", before=f"{before:x}", by=sender.card.name
        )

    def adopt(self, member: Member, word: Word) -> None:
        """Believe a word, and pass it on."""
        before, member.word = member.word, word
        if word.state >= LEFT:
            self.spread(word)
            self.forget(member, word)
            self.told(
                member, "member_" + STATES[word.state], by=self.name_of(word.by), why=WHY[word.why]
            )
            self.place()
            return
        self.mark(member)
        self.spread(word)
        if (before.state, before.why) != (word.state, word.why):
            since, member.since = member.since, self.now
            pairs = (
                {"by": self.name_of(word.by), "why": WHY[word.why]} if word.state != HERE else {}
            )
            self.told(
                member,
                "member_" + STATES[word.state],
                after_ms=(self.now - since) // MS,
                was=STATES[before.state],
                **pairs,
            )
        if word.state == SUSPECT:
            self.suspected.append(self.now)
            self.wait_for(member)
        elif word.state == HERE:
            member.disputes.clear()
            member.refusals = 0
        self.place()

    def wait_for(self, member: Member) -> None:
        """Give a suspect its time to refute."""
        why = member.word.why
        span = self.patient(self.times.refused if why == REFUSED else self.times.suspect)
        self.at(self.now + span, self.judge, member.id, member.word.life, why, span)

    def forget(self, member: Member, word: Word) -> None:
        self.digest ^= member.mark
        self.tally[member.kind] -= 1
        self.changes += 1
        del self.members[member.id]
        if self.at_address.get(member.card.address) == member.id:
            del self.at_address[member.card.address]
        self.bury(word)

    def bury(self, word: Word) -> None:
        while len(self.tombs) >= MOST_TOMBS:
            del self.tombs[next(iter(self.tombs))]
        self.tombs[word.id] = self.now + TOMB, word.life, word

    def mark(self, member: Member) -> None:
        """Bring the digest up to date with what is believed of a member."""
        self.digest ^= member.mark
        member.mark = mark_of(member.word)
        self.digest ^= member.mark
        kind = CONNECTED if member.connected else UNHEARD if member.unheard else GONE
        if kind != member.kind:
            self.tally[member.kind] -= 1
            self.tally[kind] += 1
            member.kind, self.changes = kind, self.changes + 1

    # What each kind asks for.

    def on_ping(self, datagram: Datagram, member: Member) -> None:
        if datagram.nonce:
            other = datagram.target not in (0, self.card.id)
            self.send(ACK, member.card.address, member, datagram.nonce, introduce=other)

    def on_ack(self, datagram: Datagram, member: Member) -> None:
        probe = self.probes.pop(datagram.nonce, None)
        if probe is None:
            return
        if probe.target not in (0, member.id):
            old = self.members.get(probe.target)
            if old is not None and probe.address == old.card.address == member.card.address:
                self.replaced(old)
            return
        if probe.address in self.seeds:
            self.seeds[probe.address] = "met"
        if not self.joined:
            self.join("met " + member.card.name)
        member.direct, member.via = self.now, 0
        if datagram.wall and len(self.heard_walls) < MOST_WALLS:
            self.heard_walls.append((member.id, datagram.wall, probe.at, self.now))
        if probe.asker and (asker := self.members.get(probe.asker)):
            self.send(STANDS, asker.card.address, asker, probe.asked, member.id)

    def on_ask(self, datagram: Datagram, member: Member) -> None:
        target = self.members.get(datagram.target)
        if target is not None and len(self.probes) < MOST_PROBES // 2:
            self.ping(target.card.address, target, target.id, member.id, datagram.nonce)

    def on_stands(self, datagram: Datagram, member: Member) -> None:
        probe = self.probes.get(datagram.nonce)
        if probe is not None and probe.target == datagram.target and not probe.asker:
            del self.probes[datagram.nonce]
            if reached := self.members.get(probe.target):
                reached.via = member.id

    def on_exchange(self, datagram: Datagram, member: Member) -> None:
        if datagram.nonce and datagram.digest != self.digest:
            self.tell_all(member, False)

    def on_want(self, datagram: Datagram, member: Member) -> None:
        if self.card.id in datagram.ids:
            member.introduced = 0  # it has forgotten us, or never knew
        cards, words, room = (
            list[Card](),
            list[Word](),
            messages.LARGEST - messages.EMPTY_SIZE - 700,
        )
        for wanted in datagram.ids:
            found = self.members.get(wanted)
            card = found.card if found else self.card if wanted == self.card.id else None
            if card is None:
                continue
            room -= messages.size_of(card) + messages.WORD_SIZE
            if room < 0 or len(cards) >= messages.MOST_CARDS - 1:
                self.send(EXCHANGE, member.card.address, member, words=words, cards=cards)
                cards, words, room = [], [], messages.LARGEST - messages.EMPTY_SIZE - 700
            cards.append(card)
            words.append(found.word if found else self.word())
        if cards:
            self.send(EXCHANGE, member.card.address, member, words=words, cards=cards)

    def on_deals(self, datagram: Datagram, member: Member) -> None:
        """What is in it was heard already, as of any datagram."""

    def send_deals(
        self, deals: Iterable[tuple[int, Deal]], now: int, pleas: Iterable[tuple[int, Plea]] = ()
    ) -> None:
        """Deals and pleas to whom they are for; one that is not there gets none."""
        self.enter(now)
        each: dict[int, list[Deal]] = {}
        for other, deal in deals:
            each.setdefault(other, []).append(deal)
        for other, those in each.items():
            if member := self.members.get(other):
                for start in range(0, len(those), messages.MOST_DEALS):
                    self.send(
                        DEALS,
                        member.card.address,
                        member,
                        deals=those[start : start + messages.MOST_DEALS],
                    )
        said: dict[int, list[Plea]] = {}
        for other, plea in pleas:
            said.setdefault(other, []).append(plea)
        for other, words in said.items():
            if member := self.members.get(other):
                for start in range(0, len(words), messages.MOST_PLEAS):
                    self.send(
                        DEALS,
                        member.card.address,
                        member,
                        pleas=words[start : start + messages.MOST_PLEAS],
                    )

    def send_talks(self, talks: Iterable[tuple[int, Talk]], now: int) -> None:
        """Talks about the record, as many to one as fit into a datagram; one that is not there gets none."""
        self.enter(now)
        each: dict[int, list[Talk]] = {}
        for other, talk in talks:
            each.setdefault(other, []).append(talk)
        for other, those in each.items():
            if (member := self.members.get(other)) is None:
                continue
            page, room = list[Talk](), TALK_ROOM
            for talk in those:
                size = messages.size_of(talk)
                if page and (size > room or len(page) >= messages.MOST_TALKS):
                    self.send(DEALS, member.card.address, member, talks=page)
                    page, room = [], TALK_ROOM
                page.append(talk)
                room -= size
            self.send(DEALS, member.card.address, member, talks=page)

    def differ(self, member: Member) -> None:
        """Views differ: news on its way is the usual reason; where there is none they are exchanged."""
        lost = self.lost()
        apart = EXCHANGE_SOON if lost or self.now - self.began < 2 * SECOND else EXCHANGE_APART
        if self.now >= self.exchange_at + apart and (lost or not self.news):
            self.exchange_at = self.now + int(self.random() * apart / 2)
            self.tell_all(member, True)

    def send_full_registry(self, member: Member) -> None:
        """Tell a member all that operators have said."""
        size = messages.LARGEST - messages.EMPTY_SIZE - 100
        for page in self.registry.pages(size, messages.MOST_ENTRIES, self.now):
            self.send(EXCHANGE, member.card.address, member, pages=page)

    def tell_all(self, member: Member, answer: bool) -> None:
        """Tell a member all of this one's view, in pages; `answer`: it is to tell its own."""
        if self.tokens < BURST // 2:
            return  # it would not be sent
        words = [other.word for other in self.members.values() if other.id != member.id] + [
            self.word()
        ]
        self.shuffle(words)  # what is not sent for want of room comes another time
        self.counts["exchanges"] += 1
        page = min(
            messages.MOST_WORDS - 1,
            (messages.LARGEST - messages.EMPTY_SIZE - 700) // messages.WORD_SIZE,
        )
        for start in range(0, len(words), page):
            self.send(
                EXCHANGE,
                member.card.address,
                member,
                int(answer),
                words=words[start : start + page],
            )
            answer = False

    # Evidence from the network and from people.

    def refused(self, address: Address, now: int) -> None:
        """Nothing listens at an address: said by its machine, not by silence."""
        self.enter(now)
        if address in self.seeds:
            self.seeds[address] = "refused"
        member = self.members.get(self.at_address.get(address, 0))
        if member is None or member.card.address != address:
            member = next(
                (one for one in self.members.values() if one.card.address == address), None
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
        if member.connected and (member.state, member.word.why) != (SUSPECT, REFUSED):
            self.suspect(member, REFUSED)
        elif member.unheard:
            self.adopt(member, Word(member.id, member.word.life, LOST, REFUSED, self.card.id))

    def ask_again(self, member_id: int) -> None:
        member = self.members.get(member_id)
        if member is not None and member.refusals:
            self.ping(member.card.address, member, member.id)

    def strike(self, name: str, now: int) -> int:
        """An operator says that an unheard member is dead; how many were struck."""
        self.enter(now)
        found = [
            member
            for member in self.members.values()
            if member.card.name == name and member.unheard
        ]
        for member in found:
            self.adopt(member, Word(member.id, member.word.life, LOST, STRUCK, self.card.id))
        return len(found)

    # This member's own doings.

    def change(
        self, now: int, seeds: Iterable[Address], seal: Seal, times: Times, **card: Any
    ) -> None:
        """Go on by another configuration."""
        self.enter(now)
        self.seal, self.times = seal, times
        self.reseed(seeds)
        new = Card(**{key: getattr(self.card, key) for key in Card.__struct_fields__} | card)
        if new != self.card:
            self.card = Card(
                **{key: getattr(new, key) for key in Card.__struct_fields__}
                | {"version": self.card.version + 1}
            )
            self.spread_card(self.card)
            for member in self.members.values():
                member.introduced = 0  # each hears it from this one itself, however it was spread
            self.sign()

    def carry(self, mark: int, contents: bytes) -> None:
        """What a pool's decisions tell the others of that pool, till they say something else."""
        if len(contents) <= messages.MOST_CONTENTS and (
            mark in self.says or len(self.says) < messages.MOST_POOLS
        ):
            self.says[mark] = contents

    def tell_all_now(self, now: int) -> None:
        """What is carried goes to all who are heard at once, not only in the turn of their pings."""
        self.enter(now)
        for member in self.others():
            self.send(PING, member.card.address, member)

    def leave(self, now: int) -> None:
        """It ends soon: it goes on answering."""
        self.enter(now)
        if self.state == HERE:
            self.life, self.state = self.life + 1, LEAVING
            self.sign()
            self.event("fleet_leaving")

    def goodbye(self, now: int) -> None:
        """The last word, to as many as may be told at once; the others hear it from them."""
        self.enter(now)
        self.life, self.state = self.life + 1, LEFT
        self.sign()
        there = self.others()
        for member in self.sample(there, min(64, len(there))):
            self.send(PING, member.card.address, member, words=[self.word()])
        self.event("fleet_left", told=min(64, len(there)))

    def sweep(self) -> None:
        """Once a second: what has lasted long enough goes."""
        self.at(self.now + SECOND, self.sweep)
        self.knocks = KNOCKS
        self.registry.expire(self.now)
        for member in list(self.members.values()):
            reckon = self.times.reckon if member.unheard else min(self.times.reckon, TOMB // 10)
            if member.state == LOST and self.now - member.since >= reckon:
                self.forget(member, member.word)
                self.told(member, "member_forgotten", why=WHY[member.word.why])
            for by in [by for by, at in member.disputes.items() if self.now - at > 10 * SECOND]:
                del member.disputes[by]
        for known in [known for known, tomb in self.tombs.items() if tomb[0] <= self.now]:
            del self.tombs[known]
        old = self.now - 4 * self.patient(self.times.answer)
        for nonce in [nonce for nonce, probe in self.probes.items() if probe.at < old]:
            del self.probes[nonce]
        self.knocking = {who: nonce for who, nonce in self.knocking.items() if nonce in self.probes}
        self.place()

    # What follows from it.

    def place(self) -> None:
        """Name this member's own position when it changes."""
        position = self.where()
        if position != self.position:
            before, self.position = self.position, position
            known = self.count() + self.tally[UNHEARD]
            self.event(
                "partition_state_changed",
                position=position,
                was=before,
                here=self.count(),
                known=known,
            )

    def where(self) -> str:
        """whole: none is unheard; else larger (over half are heard), smaller (half at most), alone."""
        here = self.count()
        unheard = self.tally[UNHEARD]
        if here == 1 and (unheard or self.silent_seeds()):
            return "alone"
        if not unheard:
            return "whole"
        return "larger" if 2 * here > here + unheard else "smaller"

    def shares(self, mark: int) -> list[tuple[bytes, int]]:
        """Who has to be reckoned with in a pool, this one too, in an order that is everywhere the same.

        By a hash of the name, so that a restart keeps its place and one that comes or goes moves
        each other's place by no more than its own width.
        """
        found = [
            (place_of(member.card.name), member.id)
            for member in self.members.values()
            if (member.connected or member.unheard) and mark in member.card.pools
        ]
        return sorted([*found, (place_of(self.card.name), self.card.id)])

    def addresses(self) -> list[Address]:
        """Where members are that may be met again: what the next run of this process starts from."""
        return sorted(
            member.card.address for member in self.members.values() if member.kind != GONE
        )

    def name_of(self, member_id: int) -> str:
        if member_id == self.card.id:
            return self.card.name
        member = self.members.get(member_id)
        return member.card.name if member else f"{member_id:016x}"

    def event(self, what: str, **pairs: Any) -> None:
        self.events.append(Event(what, self.now, pairs))

    def told(self, member: Member, what: str, **pairs: Any) -> None:
        self.event(what, member=member.card.name, run=f"{member.card.run:x}", **pairs)

    def rows(self) -> Iterator[dict[str, Any]]:
        """Everybody, for people: who is where, since when, by whose word, who disagrees."""
        own = self.card
        yield {
            "name": own.name,
            "run": f"{own.run:x}",
            "state": STATES[self.state],
            "since_ms": (self.now - self.began) // MS,
            "by": own.name,
            "why": "self",
            "life": self.life,
            "address": "%s:%d" % own.address,
            "zone": own.zone,
            "build": own.build,
            "revision": own.revision,
            "heard_ms": 0,
            "way": "self",
            "disputed_by": [],
        }
        for member in sorted(self.members.values(), key=lambda one: one.card.name):
            card, word = member.card, member.word
            yield {
                "name": card.name,
                "run": f"{card.run:x}",
                "state": STATES[word.state],
                "since_ms": (self.now - member.since) // MS,
                "by": self.name_of(word.by),
                "why": WHY[word.why],
                "life": word.life,
                "address": "%s:%d" % card.address,
                "zone": card.zone,
                "build": card.build,
                "revision": card.revision,
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


def mark_of(word: Word) -> int:
    """A word's part of a digest: the same in every process, other for another life or state."""
    mixed = word.id ^ (word.life + 1) * 0x9E3779B97F4A7C15
    mixed ^= (word.state * 8 + word.why + 1) * 0xC2B2AE3D27D4EB4F
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & MASK
    return (mixed ^ mixed >> 32) & MASK


def place_of(name: str) -> bytes:
    return messages.member_id(name, 0).to_bytes(8, "big")
