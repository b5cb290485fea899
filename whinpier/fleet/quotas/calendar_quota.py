"""Decide how many requests of a calendar window this member may still admit; never exceeded.

Each home member has its part of each window and transfers what it does not need. The giver
subtracts first, has that on its disk, and only then sends; the receiver adds what it had requested,
once. What is lost on the way is lost until the window is over. Use is written to the disk before it
happens, some requests ahead, so that a new run after kill -9 counts as used whatever may have been
used. While clocks are uncertain, a request that may fall into either of two windows counts in both.
The reasoning is in docs/design/limits.md.

Free of I/O: the time, randomness, messages and confirmations of writes are passed in. Must never
admit a request that is not counted on the disk, transfer what may be used here, or use a window of
which an unknown part may have been used by an earlier run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta, tzinfo
from random import Random
from typing import Any, Literal
from zoneinfo import ZoneInfo

from whinpier.fleet.messages import UNITS_GRANT, UNITS_REQUEST, QuotaMessage
from whinpier.fleet.quotas.leases import MAX_LEASES, MAX_MEMBERS_ASKED, Limit
from whinpier.policy.decaying_sum import SECOND, DecayingSum

WindowUnit = Literal["minute", "hour", "day"]
# Demand that is written ahead as used: bounds what a kill loses and how slow the disk may be.
WRITE_AHEAD_PERIOD = SECOND
MIN_WRITE_AHEAD = 8  # requests
REQUEST_HORIZON = 5 * SECOND  # of demand that a member keeps in hand, or requests
RESERVE_HORIZON = 30 * SECOND  # of its own demand that a member keeps when others ask
DEMAND_WINDOW = 2 * SECOND  # over which demand is measured
OPEN_AHEAD = SECOND  # before a window opens its first record is written
RETRY_INTERVAL = 3 * SECOND // 10  # after which an unanswered request is repeated, same nonce
MAX_ATTEMPTS = 4
DECLINE_BACKOFF = SECOND  # before a member that had nothing is asked again
MAX_REMEMBERED_GRANTS = 1_024  # answers kept, so that a repeated request gets the same one
# The window before a boundary, the one behind it, and two more should clocks be set back.
MAX_KNOWN_WINDOWS = 4
MAX_WINDOWS_AGE = SECOND // 10  # after which the open windows are determined anew
TRANSFER_RETRY_AFTER = SECOND // 4  # for a client, while quota is on its way
MIN_RETRY_AFTER = SECOND // 10


class Calendar:
    """Calendar windows in a time zone, identified by their start in seconds since the epoch."""

    def __init__(self, unit: WindowUnit, zone: str = "UTC") -> None:
        """Use windows of one `unit` in the time zone `zone`.

        Raises KeyError, ValueError or OSError if the time zone is unknown.
        """
        self.unit = unit
        self.zone_name = zone
        self.time_zone: tzinfo = UTC if zone == "UTC" else ZoneInfo(zone)

    def bounds(self, wall: int) -> tuple[int, int]:
        """Return start and end of the window that contains `wall`, in seconds since the epoch."""
        if self.unit == "minute":
            start = wall - wall % 60
            return start, start + 60
        local = datetime.fromtimestamp(wall, self.time_zone)
        if self.unit == "hour":
            # By local time, also in zones whose offset is not a whole number of hours.
            offset = local.utcoffset() or timedelta()
            start = wall - (wall + int(offset.total_seconds())) % 3600
            return start, start + 3600
        midnight = local.replace(hour=0, minute=0, second=0, microsecond=0, fold=0)
        next_day = midnight.replace(tzinfo=None) + timedelta(days=1)
        return int(midnight.timestamp()), int(next_day.replace(tzinfo=self.time_zone).timestamp())


@dataclass(slots=True)
class WindowQuota:
    """What a member has of one window, in requests."""

    start: int
    end: int
    home_quota: int
    transferred: int = 0  # received less given away
    used: int = 0
    durable_used: int = 0  # use that is on the disk
    pending_used: int = 0  # use that is on the disk or about to be written

    @property
    def total(self) -> int:
        """Return what the member may use of the window, including what it has used."""
        return self.home_quota + self.transferred

    @property
    def remaining(self) -> int:
        """Return what the member may still use."""
        return max(0, self.total - self.used)

    def release(self, now: int, ran: bool = True) -> None:
        """Release a request that was counted here; one that never ran is no longer counted."""
        self.used -= not ran


@dataclass(slots=True)
class MultiWindowAdmission:
    """A request that is counted in two windows, as it may fall into either."""

    windows: list[WindowQuota]

    def release(self, now: int, ran: bool = True) -> None:
        """Release the request in each window."""
        for window in self.windows:
            window.release(now, ran)


@dataclass(slots=True)
class PendingTransfer:
    """A requested transfer that has no answer yet."""

    member: int
    amount: int
    start: int  # of the window
    sent_at: int
    attempts: int = 1


# wire ID of the limit, key, start of the window, home quota, transferred, used
WindowRecord = tuple[int, int, int, int, int, int]


class CalendarQuota:
    """One member's part of one limit that counts requests in calendar windows."""

    min_write_ahead = MIN_WRITE_AHEAD

    def __init__(
        self,
        limit: Limit,
        calendar: Calendar,
        name: str,
        now: int,
        chance: Random,
        clock_bounds: Callable[[int], tuple[int, int]],
        is_persistent: bool,
        fence: int = 0,
    ) -> None:
        """Start without open windows; nothing may be used for the fencing interval `fence` (ns).

        `clock_bounds` returns the earliest and latest time that it may be, in nanoseconds since
        the epoch. `is_persistent` tells whether there is a disk to write records to.
        """
        self.limit = limit
        self.calendar = calendar
        self.name = name
        self.clock_bounds = clock_bounds
        self.random_bits = chance.getrandbits
        self.shuffle = chance.shuffle
        self.home_quota = limit.home_quota(name)
        self.is_persistent = is_persistent
        self.fenced_until = now + fence
        self.windows: list[WindowQuota] = []  # that it may be now: one or two
        self.known_windows: dict[int, WindowQuota] = {}  # also recent ones, by start
        # Monotonic times between which `windows` holds.
        self.windows_valid_from = 0
        self.windows_valid_until = 0
        self.pending: dict[int, PendingTransfer] = {}  # by nonce
        self.grants: dict[int, int] = {}  # by nonce: the amount given
        self.declined_at: dict[int, int] = {}  # by member: when it had nothing to give
        self.demand = DecayingSum(DEMAND_WINDOW, now)
        self.new_requests = 0  # not yet added to `demand`
        self.admitted = 0
        self.rejected = 0
        self.out: list[tuple[int, QuotaMessage]] = []  # messages to send, each with its receiver
        self.pending_records: dict[int, WindowRecord] = {}  # to be written, by window start
        # Grants that are sent once so many records are written: count, receiver, message.
        self.held_grants: list[tuple[int, int, QuotaMessage]] = []
        self.records_issued = 0
        # Seconds since the epoch: windows that began before are unknown unless there is a record.
        self.unknown_before = 0
        self.clocks_apart = False  # too uncertain to tell the window

    # Records on the disk.

    def restore(self, records: Iterable[WindowRecord], known_since: int) -> None:
        """Take over the records of earlier runs.

        A window without a record that began before `known_since` (s) is taken for used up.
        """
        self.unknown_before = known_since
        for wire_id, key, start, home_quota, transferred, used in records:
            if (wire_id, key) == (self.limit.wire_id, self.limit.key):
                end = self.calendar.bounds(start)[1]
                home_quota = min(home_quota, self.home_quota)
                self.add_window(WindowQuota(start, end, home_quota, transferred, used, used, used))

    def add_window(self, window: WindowQuota) -> None:
        """Remember a window, and forget the oldest ones beyond `MAX_KNOWN_WINDOWS`."""
        self.known_windows[window.start] = window
        while len(self.known_windows) > MAX_KNOWN_WINDOWS:
            del self.known_windows[min(self.known_windows)]

    def invalidate_records(self, now: int) -> None:
        """Allow no further use of windows that have begun: the restored records are outdated."""
        self.unknown_before = self.clock_bounds(now)[1] // SECOND + 1
        for window in self.known_windows.values():
            window.home_quota = min(window.home_quota, window.used - window.transferred)
            self.queue_record(window)

    def mark_window_unused(self, now: int) -> None:
        """Allow the home quota of the open window: an operator says that nothing was used of it."""
        self.update_windows(now)
        self.unknown_before = self.windows[0].start
        for window in self.windows:
            window.home_quota = max(window.home_quota, self.home_quota)
            self.queue_record(window)

    def queue_record(self, window: WindowQuota) -> None:
        """Queue the record of a window to be written; without a disk it counts as written."""
        self.pending_records[window.start] = (
            self.limit.wire_id,
            self.limit.key,
            window.start,
            window.home_quota,
            window.transferred,
            window.pending_used,
        )
        self.records_issued += 1
        if not self.is_persistent:
            self.on_records_written(*self.take_records())

    def take_records(self) -> tuple[int, list[WindowRecord]]:
        """Return the count of records issued, and those to be written.

        Once they are written both go to `on_records_written`; if they can't be, the records go to
        `on_write_failed`.
        """
        records = list(self.pending_records.values())
        self.pending_records = {}
        return self.records_issued, records

    def on_records_written(self, issued: int, records: Iterable[WindowRecord]) -> None:
        """Use what these records allow, and send the grants that waited for the first `issued`."""
        for _, _, start, _, _, used in records:
            if (window := self.known_windows.get(start)) is not None:
                window.durable_used = used
        while self.held_grants and self.held_grants[0][0] <= issued:
            _, member, message = self.held_grants.pop(0)
            self.out.append((member, message))

    def on_write_failed(self, records: Iterable[WindowRecord]) -> None:
        """Queue records again, except for windows that have a newer one."""
        self.pending_records = {record[2]: record for record in records} | self.pending_records

    # Windows.

    def update_windows(self, now: int) -> None:
        """Determine which windows it may be now, and until when that holds."""
        earliest, latest = self.clock_bounds(now)
        first = self.calendar.bounds(earliest // SECOND)
        last = self.calendar.bounds(latest // SECOND)
        self.clocks_apart = first[1] < last[0]
        bounds = [first] if first == last else [first, last]
        self.windows = [self.get_window(start, end, now) for start, end in bounds]
        open_now = {window.start for window in self.windows}
        self.pending = {
            nonce: transfer
            for nonce, transfer in self.pending.items()
            if transfer.start in open_now
        }
        # Until the earliest time leaves the first window, or the latest one enters another.
        span = min(first[1] * SECOND - earliest, last[1] * SECOND - latest)
        self.windows_valid_from = now
        self.windows_valid_until = now + max(1, min(span, MAX_WINDOWS_AGE))

    def get_window(self, start: int, end: int, now: int) -> WindowQuota:
        """Return a window, opened with the home quota if it is new and nothing of it was used."""
        window = self.known_windows.get(start)
        if window is None:
            window = WindowQuota(start, end, 0 if start < self.unknown_before else self.home_quota)
            self.add_window(window)
            self.write_ahead(window, now)
        return window

    def try_acquire(self, now: int, deadline: int = 0) -> bool:
        """Admit one request if each window that it may be now has quota that is on the disk."""
        self.new_requests += 1
        if not self.windows_valid_from <= now < self.windows_valid_until:
            self.update_windows(now)
        windows = self.windows
        allowed = now >= self.fenced_until and not self.clocks_apart
        for window in windows:
            allowed = allowed and window.used < window.total and window.used < window.durable_used
        if allowed:
            self.admitted += 1
            for window in windows:
                window.used += 1
                if window.pending_used - window.used < self.min_write_ahead // 2 + 1:
                    self.write_ahead(window, now)
        else:
            self.rejected += 1
            for window in windows:
                if window.pending_used <= window.used:
                    self.write_ahead(window, now)
        return allowed

    def write_ahead(self, window: WindowQuota, now: int) -> None:
        """Have more use recorded on the disk before it happens."""
        is_writing = window.pending_used > window.durable_used
        if is_writing and window.pending_used - window.used > self.min_write_ahead // 2:
            return
        demand = self.estimate_rate(now) * WRITE_AHEAD_PERIOD // SECOND
        target = min(window.total, window.used + max(self.min_write_ahead, demand))
        if target > window.pending_used and now >= self.fenced_until:
            window.pending_used = target
            self.queue_record(window)

    def acquire(self, now: int, deadline: int = 0) -> WindowQuota | MultiWindowAdmission | None:
        """Admit one request as `try_acquire` does; return what releases it, None if rejected."""
        if not self.try_acquire(now, deadline):
            return None
        return self.windows[0] if len(self.windows) == 1 else MultiWindowAdmission(self.windows)

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a rejected request may be retried, as an estimate."""
        if self.pending or any(window.remaining for window in self.windows):
            return TRANSFER_RETRY_AFTER  # on its way from another member, or to the disk
        if not self.windows:
            return SECOND
        return max(MIN_RETRY_AFTER, self.windows[-1].end * SECOND - self.clock_bounds(now)[0])

    # What is needed, and who has it.

    def estimate_rate(self, now: int) -> int:
        """Return the requests per second that arrive here, rounded up."""
        self.demand.add(now, self.new_requests)
        self.new_requests = 0
        return int(self.demand.rate(now) + 0.999)

    def forecast_demand(self, window: WindowQuota, now: int, horizon: int) -> int:
        """Return the requests expected here within `horizon` (ns), while the window lasts."""
        rest = window.end * SECOND - self.clock_bounds(now)[0]
        return self.estimate_rate(now) * max(0, min(horizon, rest)) // SECOND

    def on_timer(self, now: int, members: Iterable[int]) -> None:
        """Request what will be needed, and repeat requests that have no answer.

        Call it once in each `TIMER_INTERVAL`. `members` are those that can be asked.
        """
        self.update_windows(now)
        next_start = self.windows[-1].end
        if self.clock_bounds(now)[1] + OPEN_AHEAD > next_start * SECOND and self.estimate_rate(now):
            # Otherwise the first requests of the next window would be rejected until its first
            # record is written.
            self.get_window(*self.calendar.bounds(next_start), now)
        for nonce, transfer in list(self.pending.items()):
            if now - transfer.sent_at > RETRY_INTERVAL and transfer.attempts < MAX_ATTEMPTS:
                transfer.sent_at = now
                transfer.attempts += 1
                self.send_request(nonce, transfer)
        for window in self.windows:
            if self.estimate_rate(now):
                self.write_ahead(window, now)
            lacking = self.forecast_demand(window, now, REQUEST_HORIZON) - window.remaining
            lacking -= sum(
                transfer.amount
                for transfer in self.pending.values()
                if transfer.start == window.start and now - transfer.sent_at <= RETRY_INTERVAL
            )
            if lacking > 0 and now >= self.fenced_until:
                self.request_from_members(window, now, lacking, members)

    def request_from_members(
        self, window: WindowQuota, now: int, lacking: int, members: Iterable[int]
    ) -> None:
        """Request what is lacking in equal parts from some members, drawn at random.

        Members that have recently declined are left out.
        """
        chosen = [
            member
            for member in members
            if now - self.declined_at.get(member, -DECLINE_BACKOFF) >= DECLINE_BACKOFF
        ]
        self.shuffle(chosen)
        chosen = chosen[:MAX_MEMBERS_ASKED]
        for member in chosen:
            while len(self.pending) >= MAX_LEASES:
                del self.pending[next(iter(self.pending))]
            nonce = self.random_bits(62) | 1
            amount = -(-lacking // len(chosen))
            self.pending[nonce] = PendingTransfer(member, amount, window.start, now)
            self.send_request(nonce, self.pending[nonce])

    def send_request(self, nonce: int, transfer: PendingTransfer) -> None:
        """Queue a request for a transfer, or its repetition with the same nonce."""
        message = QuotaMessage(
            UNITS_REQUEST,
            self.limit.wire_id,
            nonce,
            transfer.amount,
            transfer.start,
            self.limit.key,
        )
        self.out.append((transfer.member, message))

    # Messages of other members.

    def on_message(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Handle a message about this limit."""
        if message.kind == UNITS_REQUEST:
            self.on_request(message, sender, now)
        elif message.kind == UNITS_GRANT:
            self.on_grant(message, sender, now)

    def on_request(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Give away what is not needed here: subtract it, record that on the disk, then send it."""
        amount = self.grants.get(message.nonce)
        if amount is None:
            self.update_windows(now)
            window = next(
                (window for window in self.windows if window.start == message.sequence), None
            )
            if window is None or now < self.fenced_until:
                return
            if len(self.held_grants) >= MAX_LEASES:  # the disk does not accept them
                spare = 0
            else:
                reserve = self.forecast_demand(window, now, RESERVE_HORIZON)
                spare = window.total - window.used - reserve
            amount = max(0, min(message.amount, spare))
            while len(self.grants) >= MAX_REMEMBERED_GRANTS:
                del self.grants[next(iter(self.grants))]
            if amount:
                self.grants[message.nonce] = amount
                window.transferred -= amount
                self.queue_record(window)
                if self.is_persistent:
                    grant = self.make_grant(message, amount)
                    self.held_grants.append((self.records_issued, sender, grant))
                    return
        elif any(grant.nonce == message.nonce for _, _, grant in self.held_grants):
            return  # sent once its record is on the disk
        self.out.append((sender, self.make_grant(message, amount)))

    def make_grant(self, message: QuotaMessage, amount: int) -> QuotaMessage:
        """Return the answer to a request."""
        return QuotaMessage(
            UNITS_GRANT, self.limit.wire_id, message.nonce, amount, message.sequence, self.limit.key
        )

    def on_grant(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Add what was transferred, if it answers a request that is pending."""
        transfer = self.pending.pop(message.nonce, None)
        if transfer is None or transfer.member != sender or transfer.start != message.sequence:
            return  # answers another window or an earlier run, or is a duplicate
        if message.amount <= 0:
            self.declined_at[sender] = now
            while len(self.declined_at) > MAX_LEASES:
                del self.declined_at[next(iter(self.declined_at))]
            return
        for window in self.windows:
            if window.start == transfer.start:
                window.transferred += min(message.amount, transfer.amount)
                self.write_ahead(window, now)

    # Another allocation.

    def set_home_quota(self, home_quota: int, now: int, at_once: bool) -> None:
        """Use the home quota of another allocation.

        A larger one holds for windows that have begun only with `at_once`.
        """
        self.home_quota = home_quota
        for window in self.known_windows.values():
            is_known = window.start >= self.unknown_before
            if home_quota < window.home_quota or (at_once and is_known):
                window.home_quota = home_quota
                self.queue_record(window)

    def fits_allocation(self, now: int) -> bool:
        """Return whether no more is used than the present home quota allows."""
        return all(window.used <= window.total for window in self.windows)

    def is_idle(self, now: int) -> bool:
        """Return whether it is in its initial state, so that nothing is lost by removing it."""
        self.update_windows(now)
        if self.pending or self.held_grants or self.pending_records or self.new_requests:
            return False
        return not any(window.used or window.transferred for window in self.windows)

    def status_row(self, now: int) -> dict[str, Any]:
        """Return its state for the operator's tables."""
        self.update_windows(now)
        window = self.windows[-1]
        return {
            "home": window.home_quota,
            "mine": window.remaining,
            "need": self.forecast_demand(window, now, REQUEST_HORIZON),
            "used": window.used,
            "moved": window.transferred,
            "window": window.start,
            "window_ends_s": window.end - self.clock_bounds(now)[0] // SECOND,
            "clocks_apart": self.clocks_apart,
        }
