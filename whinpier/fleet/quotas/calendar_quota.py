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
from whinpier.fleet.quotas.leases import MAX_LEASES, MAX_MEMBERS_ASKED, Limit
from whinpier.policy.decaying_sum import SECOND, DecayingSum

Every = Literal["minute", "hour", "day"]
# of demand that is written ahead as used: what a kill loses, and what a slow disk may take
WRITE_AHEAD_PERIOD = SECOND
MIN_WRITE_AHEAD = 8  # requests
FORESEEN = 5 * SECOND  # of demand that a member has in hand before it asks for more
RESERVED = 30 * SECOND  # of its own demand that a home keeps when it is asked
LOOK = 2 * SECOND  # over which demand is counted
SOON = SECOND  # before a window opens its first note is written
AGAIN = 3 * SECOND // 10  # until an ask without an answer goes once more, with the same number
TRIES = 4
HELD_OFF = SECOND  # that one who had nothing is not asked again
MAX_REMEMBERED_GRANTS = (
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
class WindowQuota:
    """What a member has of one window."""

    start: int
    end: int
    home_quota: int
    transferred: int = 0  # received less handed over
    used: int = 0
    durable_used: int = 0  # used, as far as the disk knows
    pending_used: int = 0  # used, as far as the disk is to know

    @property
    def total(self) -> int:
        return self.home_quota + self.transferred

    @property
    def remaining(self) -> int:
        return max(0, self.total - self.used)

    def release(self, now: int, ran: bool = True) -> None:
        """A request that was counted here is over: what never ran gives back what it took."""
        self.used -= not ran


@dataclass(slots=True)
class MultiWindowAdmission:
    """What a request took that may fall into either of two windows."""

    windows: list[WindowQuota]

    def release(self, now: int, ran: bool = True) -> None:
        for slot in self.windows:
            slot.release(now, ran)


@dataclass(slots=True)
class PendingTransfer:
    """A hand-over that was asked for."""

    member: int
    amount: int
    start: int
    sent_at: int
    attempts: int = 1


WindowRecord = tuple[int, int, int, int, int, int]  # limit's mark, key, window, home, moved, used


class CalendarQuota:
    """One member's part of one count."""

    min_write_ahead = MIN_WRITE_AHEAD

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
        self.home_quota, self.lasting = limit.home_quota(name), lasting
        self.fenced_until = now + fence
        self.windows: list[WindowQuota] = []  # which it may be now
        self.known_windows: dict[int, WindowQuota] = {}  # and those of late, should clocks go back
        self.windows_valid_from, self.windows_valid_until = (
            0,
            0,
        )  # the span of time in which the slots are as they are
        self.pending: dict[int, PendingTransfer] = {}
        self.grants: dict[int, int] = {}
        self.declined_at: dict[int, int] = {}
        self.wanted, self.counted, self.admitted, self.rejected = DecayingSum(LOOK, now), 0, 0, 0
        self.out: list[tuple[int, QuotaMessage]] = []
        self.pending_records: dict[int, WindowRecord] = {}  # to be written, by window
        self.held_grants: list[
            tuple[int, int, QuotaMessage]
        ] = []  # goes out once so many notes are written
        self.records_issued = 0  # notes, in all
        self.unknown_before = (
            0  # of windows that began sooner nothing is known: seconds since the epoch
        )
        self.apart = False  # whether clocks are so far apart that no window can be told

    # What the disk says.

    def restore(self, notes: Iterable[WindowRecord], since: int) -> None:
        """What the last runs wrote; of a window that began before `since` (s) and is not there nothing is."""
        self.unknown_before = since
        for mark, key, start, home, moved, used in notes:
            if (mark, key) == (self.limit.wire_id, self.limit.key):
                end = self.calendar.bounds(start)[1]
                self.add_window(
                    WindowQuota(start, end, min(home, self.home_quota), moved, used, used, used)
                )

    def add_window(self, slot: WindowQuota) -> None:
        self.known_windows[slot.start] = slot
        while len(self.known_windows) > MOST_KNOWN:
            del self.known_windows[min(self.known_windows)]

    def invalidate_records(self, now: int) -> None:
        """What the disk said is no longer true: nothing of windows that have begun may be used."""
        self.unknown_before = self.between(now)[1] // SECOND + 1
        for slot in self.known_windows.values():
            slot.home_quota = min(slot.home_quota, slot.used - slot.transferred)
            self.queue_record(slot)

    def mark_window_unused(self, now: int) -> None:
        """An operator says that nothing of the window that is on was used: this home may use its part."""
        self.update_windows(now)
        self.unknown_before = self.windows[0].start
        for slot in self.windows:
            slot.home_quota = max(slot.home_quota, self.home_quota)
            self.queue_record(slot)

    def queue_record(self, slot: WindowQuota) -> None:
        self.pending_records[slot.start] = (
            self.limit.wire_id,
            self.limit.key,
            slot.start,
            slot.home_quota,
            slot.transferred,
            slot.pending_used,
        )
        self.records_issued += 1
        if not self.lasting:
            self.on_records_written(*self.take_records())

    def take_records(self) -> tuple[int, list[WindowRecord]]:
        """What is to be written; once it is, both go to `written`, if it can't be to `not_written`."""
        found, self.pending_records = list(self.pending_records.values()), {}
        return self.records_issued, found

    def on_records_written(self, said: int, notes: Iterable[WindowRecord]) -> None:
        """These notes are on the disk, and all before them."""
        for _, _, start, _, _, used in notes:
            if (slot := self.known_windows.get(start)) is not None:
                slot.durable_used = used
        while self.held_grants and self.held_grants[0][0] <= said:
            _, other, deal = self.held_grants.pop(0)
            self.out.append((other, deal))

    def on_write_failed(self, notes: Iterable[WindowRecord]) -> None:
        self.pending_records = {note[2]: note for note in notes} | self.pending_records

    # Windows.

    def update_windows(self, now: int) -> None:
        """Which windows it may be now."""
        low, high = self.between(now)
        first, last = self.calendar.bounds(low // SECOND), self.calendar.bounds(high // SECOND)
        self.apart = first[1] < last[0]
        wanted = [first] if first == last else [first, last]
        self.windows = [self.get_window(start, end, now) for start, end in wanted]
        open_now = {slot.start for slot in self.windows}
        self.pending = {nonce: ask for nonce, ask in self.pending.items() if ask.start in open_now}
        # Until the earlier edge of what it may be leaves the first window, or the later one enters
        # another.
        span = min(first[1] * SECOND - low, last[1] * SECOND - high)
        self.windows_valid_from, self.windows_valid_until = (
            now,
            now + max(1, min(span, SECOND // 10)),
        )

    def get_window(self, start: int, end: int, now: int) -> WindowQuota:
        """What there is of a window."""
        slot = self.known_windows.get(start)
        if slot is None:
            slot = WindowQuota(start, end, 0 if start < self.unknown_before else self.home_quota)
            self.add_window(slot)
            self.write_ahead(slot, now)
        return slot

    def try_acquire(self, now: int, ends: int = 0) -> bool:
        """Whether one request may pass."""
        self.counted += 1
        if not self.windows_valid_from <= now < self.windows_valid_until:
            self.update_windows(now)
        slots = self.windows
        good = now >= self.fenced_until and not self.apart
        for slot in slots:
            good = good and slot.used < slot.total and slot.used < slot.durable_used
        if good:
            self.admitted += 1
            for slot in slots:
                slot.used += 1
                if slot.pending_used - slot.used < self.min_write_ahead // 2 + 1:
                    self.write_ahead(slot, now)
        else:
            self.rejected += 1
            for slot in slots:
                if slot.pending_used <= slot.used:
                    self.write_ahead(slot, now)
        return good

    def write_ahead(self, slot: WindowQuota, now: int) -> None:
        """Have some more written as used, before it is."""
        if (
            slot.pending_used > slot.durable_used
            and slot.pending_used - slot.used > self.min_write_ahead // 2
        ):
            return  # on its way
        most = min(
            slot.total,
            slot.used
            + max(self.min_write_ahead, self.estimate_rate(now) * WRITE_AHEAD_PERIOD // SECOND),
        )
        if most > slot.pending_used and now >= self.fenced_until:
            slot.pending_used = most
            self.queue_record(slot)

    def acquire(self, now: int, ends: int = 0) -> WindowQuota | MultiWindowAdmission | None:
        """The same; what gives back, if the request never runs."""
        if not self.try_acquire(now, ends):
            return None
        return self.windows[0] if len(self.windows) == 1 else MultiWindowAdmission(self.windows)

    def retry_after(self, now: int) -> int:
        """When one that was rejected may come again, as far as that is known here."""
        if self.pending or any(slot.remaining for slot in self.windows):
            return SECOND // 4  # on its way from another member, or to the disk
        if not self.windows:
            return SECOND
        return max(SECOND // 10, self.windows[-1].end * SECOND - self.between(now)[0])

    # What is needed, and who has it.

    def estimate_rate(self, now: int) -> int:
        """Requests a second that ask here."""
        self.wanted.add(now, self.counted)
        self.counted = 0
        return int(self.wanted.rate(now) + 0.999)

    def forecast_demand(self, slot: WindowQuota, now: int, span: int) -> int:
        """Requests that will ask here within a span, while the window lasts."""
        rest = slot.end * SECOND - self.between(now)[0]
        return self.estimate_rate(now) * max(0, min(span, rest)) // SECOND

    def on_timer(self, now: int, there: Iterable[int]) -> None:
        """Once in a while: ask for what will be needed, once more for what has had no answer."""
        self.update_windows(now)
        after = self.windows[-1].end
        if self.between(now)[1] + SOON > after * SECOND and self.estimate_rate(now):
            # Guards against the first requests of a window being rejected until its first note
            # is written.
            self.get_window(*self.calendar.bounds(after), now)
        for nonce, ask in list(self.pending.items()):
            if now - ask.sent_at > AGAIN and ask.attempts < TRIES:
                ask.sent_at, ask.attempts = now, ask.attempts + 1
                self.send_request(nonce, ask)
        for slot in self.windows:
            if self.estimate_rate(now):
                self.write_ahead(slot, now)
            lacking = self.forecast_demand(slot, now, FORESEEN) - slot.remaining
            lacking -= sum(
                ask.amount
                for ask in self.pending.values()
                if ask.start == slot.start and now - ask.sent_at <= AGAIN
            )
            if lacking > 0 and now >= self.fenced_until:
                self.request_from_members(slot, now, lacking, there)

    def request_from_members(
        self, slot: WindowQuota, now: int, lacking: int, there: Iterable[int]
    ) -> None:
        chosen = [one for one in there if now - self.declined_at.get(one, -HELD_OFF) >= HELD_OFF]
        self.shuffle(chosen)
        chosen = chosen[:MAX_MEMBERS_ASKED]
        for one in chosen:
            while len(self.pending) >= MAX_LEASES:
                del self.pending[next(iter(self.pending))]
            nonce, amount = self.bits(62) | 1, -(-lacking // len(chosen))
            self.pending[nonce] = PendingTransfer(one, amount, slot.start, now)
            self.send_request(nonce, self.pending[nonce])

    def send_request(self, nonce: int, ask: PendingTransfer) -> None:
        deal = QuotaMessage(
            UNITS_REQUEST, self.limit.wire_id, nonce, ask.amount, ask.start, self.limit.key
        )
        self.out.append((ask.member, deal))

    # What others say.

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None:
        if deal.kind == UNITS_REQUEST:
            self.on_request(deal, other, now)
        elif deal.kind == UNITS_GRANT:
            self.on_grant(deal, other, now)

    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        """Hand over what is not needed here: off first, on the disk, then on its way."""
        amount = self.grants.get(deal.nonce)
        if amount is None:
            self.update_windows(now)
            slot = next((slot for slot in self.windows if slot.start == deal.sequence), None)
            if slot is None or now < self.fenced_until:
                return
            full = len(self.held_grants) >= MAX_LEASES  # the disk does not take them
            spare = (
                0 if full else slot.total - slot.used - self.forecast_demand(slot, now, RESERVED)
            )
            amount = max(0, min(deal.amount, spare))
            while len(self.grants) >= MAX_REMEMBERED_GRANTS:
                del self.grants[next(iter(self.grants))]
            if amount:
                self.grants[deal.nonce] = amount
                slot.transferred -= amount
                self.queue_record(slot)
                if self.lasting:
                    self.held_grants.append((self.records_issued, other, self.answer(deal, amount)))
                    return
        elif any(one[2].nonce == deal.nonce for one in self.held_grants):
            return  # it goes once it is on the disk
        self.out.append((other, self.answer(deal, amount)))

    def answer(self, deal: QuotaMessage, amount: int) -> QuotaMessage:
        return QuotaMessage(
            UNITS_GRANT, self.limit.wire_id, deal.nonce, amount, deal.sequence, self.limit.key
        )

    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        ask = self.pending.pop(deal.nonce, None)
        if ask is None or ask.member != other or ask.start != deal.sequence:
            return  # of another window, another run, or come before
        if deal.amount <= 0:
            self.declined_at[other] = now
            while len(self.declined_at) > MAX_LEASES:
                del self.declined_at[next(iter(self.declined_at))]
            return
        for slot in self.windows:
            if slot.start == ask.start:
                slot.transferred += min(deal.amount, ask.amount)
                self.write_ahead(slot, now)

    # Another division.

    def set_home_quota(self, home: int, now: int, at_once: bool) -> None:
        """This member's part by another division; if it is larger it may hold from the next window only."""
        self.home_quota = home
        for slot in self.known_windows.values():
            if home < slot.home_quota or at_once and slot.start >= self.unknown_before:
                slot.home_quota = home
                self.queue_record(slot)

    def fits_allocation(self, now: int) -> bool:
        """Whether nothing that another division allows no longer is still out."""
        return all(slot.used <= slot.total for slot in self.windows)

    def is_idle(self, now: int) -> bool:
        """Whether nothing is lost if this one is forgotten: it is as it would begin."""
        self.update_windows(now)
        return not (
            self.pending or self.held_grants or self.pending_records or self.counted
        ) and not any(slot.used or slot.transferred for slot in self.windows)

    def status_row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        self.update_windows(now)
        slot = self.windows[-1]
        return {
            "home": slot.home_quota,
            "mine": slot.remaining,
            "need": self.forecast_demand(slot, now, FORESEEN),
            "used": slot.used,
            "moved": slot.transferred,
            "window": slot.start,
            "window_ends_s": slot.end - self.between(now)[0] // SECOND,
            "clocks_apart": self.apart,
        }
