"""Decides how many requests of a calendar window this member may still pass: a count that is never
exceeded.

Each home has its part of each window, and what it does not need it hands over: the giver takes off
first, has that on its disk, and only then sends; the receiver adds what it had asked for, once.
What is lost on the way is lost until the window is over. What is used is on the disk before it is
used, some requests ahead, so that a new run after kill -9 counts as used what may have been. A
request that may fall into either of two windows, as clocks are not sure, is counted in both. Why
so: docs/design/limits.md.

Free of I/O: handed time, chance, messages and word of what is on the disk. Must never pass a
request that is not counted on the disk, hand over what may be used here, or count a window of which
an earlier run may have used what is not known.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone, tzinfo
from random import Random
from typing import Any, Literal
from zoneinfo import ZoneInfo

from whinpier.fleet.messages import UNITS_GRANT, UNITS_REQUEST, QuotaMessage
from whinpier.fleet.quotas.leases import ASKED, MOST_LOANS, Limit
from whinpier.policy.decaying_sum import SECOND, Sum

Every = Literal["minute", "hour", "day"]
# of demand that is written ahead as used: what a kill loses, and what a slow disk may take
AHEAD = SECOND
LEAST_AHEAD = 8  # requests
FORESEEN = 5 * SECOND  # of demand that a member has in hand before it asks for more
RESERVED = 30 * SECOND  # of its own demand that a home keeps when it is asked
LOOK = 2 * SECOND  # over which demand is counted
SOON = SECOND  # before a window opens its first note is written
AGAIN = 3 * SECOND // 10  # until an ask without an answer goes once more, with the same number
TRIES = 4
HELD_OFF = SECOND  # that one who had nothing is not asked again
MOST_GRANTED = (
    1_024  # hand-overs that are remembered, to answer an ask that comes again as it was answered
)
MOST_KNOWN = 4  # windows: that before a close, that behind it, and two more should clocks go back


class Calendar:
    """Windows of the calendar in a time zone, by their start in seconds since the epoch."""

    def __init__(self, every: Every, zone: str = "UTC") -> None:
        self.every, self.zone = every, zone
        self.place: tzinfo = timezone.utc if zone == "UTC" else ZoneInfo(zone)

    def bounds(self, wall: int) -> tuple[int, int]:
        """Start and end of the window that a time lies in, all in seconds since the epoch."""
        if self.every == "minute":
            start = wall - wall % 60
            return start, start + 60
        here = datetime.fromtimestamp(wall, self.place)
        if self.every == "hour":
            # By the clock on the wall there: of zones with half an hour as well.
            offset = here.utcoffset() or timedelta()
            start = wall - (wall + int(offset.total_seconds())) % 3600
            return start, start + 3600
        midnight = here.replace(hour=0, minute=0, second=0, microsecond=0, fold=0)
        after = (midnight.replace(tzinfo=None) + timedelta(days=1)).replace(tzinfo=self.place)
        return int(midnight.timestamp()), int(after.timestamp())


@dataclass(slots=True)
class Slot:
    """What a member has of one window."""

    start: int
    end: int
    home: int
    moved: int = 0  # received less handed over
    used: int = 0
    kept: int = 0  # used, as far as the disk knows
    asked: int = 0  # used, as far as the disk is to know

    @property
    def own(self) -> int:
        return self.home + self.moved

    @property
    def left(self) -> int:
        return max(0, self.own - self.used)

    def give(self, now: int, ran: bool = True) -> None:
        """A request that was counted here is over: what never ran gives back what it took."""
        self.used -= not ran


@dataclass(slots=True)
class Both:
    """What a request took that may fall into either of two windows."""

    slots: list[Slot]

    def give(self, now: int, ran: bool = True) -> None:
        for slot in self.slots:
            slot.give(now, ran)


@dataclass(slots=True)
class Ask:
    """A hand-over that was asked for."""

    other: int
    amount: int
    start: int
    at: int
    tries: int = 1


Note = tuple[int, int, int, int, int, int]  # limit's mark, key, window, home, moved, used


class Units:
    """One member's part of one count."""

    least_ahead = LEAST_AHEAD

    def __init__(
        self,
        limit: Limit,
        calendar: Calendar,
        name: str,
        now: int,
        chance: Random,
        between: Callable[[int], tuple[int, int]],
        lasting: bool,
        fence: int = 0,
    ) -> None:
        """`between`: the earliest and latest that it may be, in ns since the epoch; `lasting`: has a disk."""
        self.limit, self.calendar, self.name, self.between = limit, calendar, name, between
        self.bits, self.shuffle = chance.getrandbits, chance.shuffle
        self.home, self.lasting = limit.home(name), lasting
        self.fenced_till = now + fence
        self.slots: list[Slot] = []  # which it may be now
        self.known: dict[int, Slot] = {}  # and those of late, should clocks go back
        self.edge_low, self.edge_high = 0, 0  # the span of time in which the slots are as they are
        self.asks: dict[int, Ask] = {}
        self.granted: dict[int, int] = {}
        self.nothing: dict[int, int] = {}
        self.wanted, self.counted, self.passed, self.turned_back = Sum(LOOK, now), 0, 0, 0
        self.out: list[tuple[int, QuotaMessage]] = []
        self.notes: dict[int, Note] = {}  # to be written, by window
        self.held: list[
            tuple[int, int, QuotaMessage]
        ] = []  # goes out once so many notes are written
        self.said = 0  # notes, in all
        self.blind_till = (
            0  # of windows that began sooner nothing is known: seconds since the epoch
        )
        self.apart = False  # whether clocks are so far apart that no window can be told

    # What the disk says.

    def recall(self, notes: Iterable[Note], since: int) -> None:
        """What the last runs wrote; of a window that began before `since` (s) and is not there nothing is."""
        self.blind_till = since
        for mark, key, start, home, moved, used in notes:
            if (mark, key) == (self.limit.mark, self.limit.key):
                end = self.calendar.bounds(start)[1]
                self.remember(Slot(start, end, min(home, self.home), moved, used, used, used))

    def remember(self, slot: Slot) -> None:
        self.known[slot.start] = slot
        while len(self.known) > MOST_KNOWN:
            del self.known[min(self.known)]

    def void(self, now: int) -> None:
        """What the disk said is no longer true: nothing of windows that have begun may be used."""
        self.blind_till = self.between(now)[1] // SECOND + 1
        for slot in self.known.values():
            slot.home = min(slot.home, slot.used - slot.moved)
            self.write(slot)

    def begin(self, now: int) -> None:
        """An operator says that nothing of the window that is on was used: this home may use its part."""
        self.settle(now)
        self.blind_till = self.slots[0].start
        for slot in self.slots:
            slot.home = max(slot.home, self.home)
            self.write(slot)

    def write(self, slot: Slot) -> None:
        self.notes[slot.start] = (
            self.limit.mark,
            self.limit.key,
            slot.start,
            slot.home,
            slot.moved,
            slot.asked,
        )
        self.said += 1
        if not self.lasting:
            self.written(*self.take_notes())

    def take_notes(self) -> tuple[int, list[Note]]:
        """What is to be written; once it is, both go to `written`, if it can't be to `not_written`."""
        found, self.notes = list(self.notes.values()), {}
        return self.said, found

    def written(self, said: int, notes: Iterable[Note]) -> None:
        """These notes are on the disk, and all before them."""
        for _, _, start, _, _, used in notes:
            if (slot := self.known.get(start)) is not None:
                slot.kept = used
        while self.held and self.held[0][0] <= said:
            _, other, deal = self.held.pop(0)
            self.out.append((other, deal))

    def not_written(self, notes: Iterable[Note]) -> None:
        self.notes = {note[2]: note for note in notes} | self.notes

    # Windows.

    def settle(self, now: int) -> None:
        """Which windows it may be now."""
        low, high = self.between(now)
        first, last = self.calendar.bounds(low // SECOND), self.calendar.bounds(high // SECOND)
        self.apart = first[1] < last[0]
        wanted = [first] if first == last else [first, last]
        self.slots = [self.opened(start, end, now) for start, end in wanted]
        open_now = {slot.start for slot in self.slots}
        self.asks = {nonce: ask for nonce, ask in self.asks.items() if ask.start in open_now}
        # Until the earlier edge of what it may be leaves the first window, or the later one enters
        # another.
        span = min(first[1] * SECOND - low, last[1] * SECOND - high)
        self.edge_low, self.edge_high = now, now + max(1, min(span, SECOND // 10))

    def opened(self, start: int, end: int, now: int) -> Slot:
        """What there is of a window."""
        slot = self.known.get(start)
        if slot is None:
            slot = Slot(start, end, 0 if start < self.blind_till else self.home)
            self.remember(slot)
            self.ahead(slot, now)
        return slot

    def take(self, now: int, ends: int = 0) -> bool:
        """Whether one request may pass."""
        self.counted += 1
        if not self.edge_low <= now < self.edge_high:
            self.settle(now)
        slots = self.slots
        good = now >= self.fenced_till and not self.apart
        for slot in slots:
            good = good and slot.used < slot.own and slot.used < slot.kept
        if good:
            self.passed += 1
            for slot in slots:
                slot.used += 1
                if slot.asked - slot.used < self.least_ahead // 2 + 1:
                    self.ahead(slot, now)
        else:
            self.turned_back += 1
            for slot in slots:
                if slot.asked <= slot.used:
                    self.ahead(slot, now)
        return good

    def ahead(self, slot: Slot, now: int) -> None:
        """Have some more written as used, before it is."""
        if slot.asked > slot.kept and slot.asked - slot.used > self.least_ahead // 2:
            return  # on its way
        most = min(slot.own, slot.used + max(self.least_ahead, self.rate(now) * AHEAD // SECOND))
        if most > slot.asked and now >= self.fenced_till:
            slot.asked = most
            self.write(slot)

    def enter(self, now: int, ends: int = 0) -> Slot | Both | None:
        """The same; what gives back, if the request never runs."""
        if not self.take(now, ends):
            return None
        return self.slots[0] if len(self.slots) == 1 else Both(self.slots)

    def wait(self, now: int) -> int:
        """When one that was rejected may come again, as far as that is known here."""
        if self.asks or any(slot.left for slot in self.slots):
            return SECOND // 4  # on its way from another member, or to the disk
        if not self.slots:
            return SECOND
        return max(SECOND // 10, self.slots[-1].end * SECOND - self.between(now)[0])

    # What is needed, and who has it.

    def rate(self, now: int) -> int:
        """Requests a second that ask here."""
        self.wanted.add(now, self.counted)
        self.counted = 0
        return int(self.wanted.rate(now) + 0.999)

    def foreseen(self, slot: Slot, now: int, span: int) -> int:
        """Requests that will ask here within a span, while the window lasts."""
        rest = slot.end * SECOND - self.between(now)[0]
        return self.rate(now) * max(0, min(span, rest)) // SECOND

    def turn(self, now: int, there: Iterable[int]) -> None:
        """Once in a while: ask for what will be needed, once more for what has had no answer."""
        self.settle(now)
        after = self.slots[-1].end
        if self.between(now)[1] + SOON > after * SECOND and self.rate(now):
            # Guards against the first requests of a window being rejected until its first note
            # is written.
            self.opened(*self.calendar.bounds(after), now)
        for nonce, ask in list(self.asks.items()):
            if now - ask.at > AGAIN and ask.tries < TRIES:
                ask.at, ask.tries = now, ask.tries + 1
                self.ask(nonce, ask)
        for slot in self.slots:
            if self.rate(now):
                self.ahead(slot, now)
            lacking = self.foreseen(slot, now, FORESEEN) - slot.left
            lacking -= sum(
                ask.amount
                for ask in self.asks.values()
                if ask.start == slot.start and now - ask.at <= AGAIN
            )
            if lacking > 0 and now >= self.fenced_till:
                self.look_for(slot, now, lacking, there)

    def look_for(self, slot: Slot, now: int, lacking: int, there: Iterable[int]) -> None:
        chosen = [one for one in there if now - self.nothing.get(one, -HELD_OFF) >= HELD_OFF]
        self.shuffle(chosen)
        chosen = chosen[:ASKED]
        for one in chosen:
            while len(self.asks) >= MOST_LOANS:
                del self.asks[next(iter(self.asks))]
            nonce, amount = self.bits(62) | 1, -(-lacking // len(chosen))
            self.asks[nonce] = Ask(one, amount, slot.start, now)
            self.ask(nonce, self.asks[nonce])

    def ask(self, nonce: int, ask: Ask) -> None:
        deal = QuotaMessage(
            UNITS_REQUEST, self.limit.mark, nonce, ask.amount, ask.start, self.limit.key
        )
        self.out.append((ask.other, deal))

    # What others say.

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None:
        if deal.kind == UNITS_REQUEST:
            self.asked_for(deal, other, now)
        elif deal.kind == UNITS_GRANT:
            self.received(deal, other, now)

    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        """Hand over what is not needed here: off first, on the disk, then on its way."""
        amount = self.granted.get(deal.nonce)
        if amount is None:
            self.settle(now)
            slot = next((slot for slot in self.slots if slot.start == deal.turn), None)
            if slot is None or now < self.fenced_till:
                return
            full = len(self.held) >= MOST_LOANS  # the disk does not take them
            spare = 0 if full else slot.own - slot.used - self.foreseen(slot, now, RESERVED)
            amount = max(0, min(deal.amount, spare))
            while len(self.granted) >= MOST_GRANTED:
                del self.granted[next(iter(self.granted))]
            if amount:
                self.granted[deal.nonce] = amount
                slot.moved -= amount
                self.write(slot)
                if self.lasting:
                    self.held.append((self.said, other, self.answer(deal, amount)))
                    return
        elif any(one[2].nonce == deal.nonce for one in self.held):
            return  # it goes once it is on the disk
        self.out.append((other, self.answer(deal, amount)))

    def answer(self, deal: QuotaMessage, amount: int) -> QuotaMessage:
        return QuotaMessage(
            UNITS_GRANT, self.limit.mark, deal.nonce, amount, deal.turn, self.limit.key
        )

    def received(self, deal: QuotaMessage, other: int, now: int) -> None:
        ask = self.asks.pop(deal.nonce, None)
        if ask is None or ask.other != other or ask.start != deal.turn:
            return  # of another window, another run, or come before
        if deal.amount <= 0:
            self.nothing[other] = now
            while len(self.nothing) > MOST_LOANS:
                del self.nothing[next(iter(self.nothing))]
            return
        for slot in self.slots:
            if slot.start == ask.start:
                slot.moved += min(deal.amount, ask.amount)
                self.ahead(slot, now)

    # Another division.

    def rehome(self, home: int, now: int, at_once: bool) -> None:
        """This member's part by another division; if it is larger it may hold from the next window only."""
        self.home = home
        for slot in self.known.values():
            if home < slot.home or at_once and slot.start >= self.blind_till:
                slot.home = home
                self.write(slot)

    def within(self, now: int) -> bool:
        """Whether nothing that another division allows no longer is still out."""
        return all(slot.used <= slot.own for slot in self.slots)

    def idle(self, now: int) -> bool:
        """Whether nothing is lost if this one is forgotten: it is as it would begin."""
        self.settle(now)
        return not (self.asks or self.held or self.notes or self.counted) and not any(
            slot.used or slot.moved for slot in self.slots
        )

    def row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        self.settle(now)
        slot = self.slots[-1]
        return {
            "home": slot.home,
            "mine": slot.left,
            "need": self.foreseen(slot, now, FORESEEN),
            "used": slot.used,
            "moved": slot.moved,
            "window": slot.start,
            "window_ends_s": slot.end - self.between(now)[0] // SECOND,
            "clocks_apart": self.apart,
        }
