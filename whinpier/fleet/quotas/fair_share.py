"""Decide which part of a limit this member may use by the demand that all report; approximate.

Each member reports its demand and takes its max-min fair share of the limit over all reports: a
member with little demand gets all of it, the rest is divided evenly among those with more. It
counts for itself the least demand that it reported within the time that a report needs to reach
all, and for others the most that they reported within it. So while reports arrive in time the
shares add up to no more than the limit, however demand moves. A member without reports counts for
an even share at least, so that the shares of a partitioned fleet add up to no more either, once
each side knows of the partition. By how much the limit may be exceeded until then is stated in
docs/design/limits.md.

Free of I/O: the time, reports and numbers of members are passed in. Must never count an unreachable
member for nothing, or use at once what it has only just begun to demand.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from math import sqrt
from struct import Struct
from typing import Any

from whinpier.fleet.quotas.calendar_quota import Calendar
from whinpier.fleet.quotas.leases import COUNT, IN_FLIGHT, RATE, REQUEST_TOKENS, Limit
from whinpier.policy.decaying_sum import SECOND, DecayingSum

FORMAT_VERSION = 1
DEMAND_REPORT = Struct("<BQQI")  # version, demand, used in the window, start of the window
MIN_REPORT_INTERVAL = SECOND // 2  # between reports sent at once while demand changes
# Added to the interval for each member: reports of 200 members cost 26 kB/s while demand changes.
REPORT_INTERVAL_PER_MEMBER = SECOND // 200
MAX_REPORT_INTERVAL = SECOND  # between reports while demand stays the same
MAX_HOP_DELAY = SECOND // 4  # of a report on its way to all members
REPORTED_CHANGE = 0.1  # of demand, relative: smaller ones are not reported at once
DEMAND_WINDOW = SECOND // 2  # over which demand is measured
MIN_DEMAND = 0.05  # requests in the demand window below which there is no demand
STALE_AFTER = 3 * SECOND  # without a report a member counts for an even share at least
COUNT_HORIZON = 2 * SECOND  # of demand, by which the rest of a calendar window is shared
DEFAULT_RETRY_AFTER = SECOND // 4
MIN_RETRY_AFTER = SECOND // 100
MAX_RETRY_AFTER = 10 * SECOND
MIN_WINDOW_RETRY_AFTER = SECOND // 10


def report_interval(members: int) -> int:
    """Return the nanoseconds between two reports of one member to all."""
    return max(MIN_REPORT_INTERVAL, members * REPORT_INTERVAL_PER_MEMBER)


def propagation_time(members: int) -> int:
    """Return the nanoseconds after which a report has reached all.

    By then it was sent twice, and was on its way for up to `MAX_HOP_DELAY`.
    """
    return 2 * report_interval(members) + MAX_HOP_DELAY


def compute_fill_level(amount: float, demands: Iterable[float]) -> float:
    """Return the level to which all demands are met so that they use up `amount` (water filling).

    The level is infinite if all demands fit.
    """
    order = sorted(demands)
    left = amount
    for index, demand in enumerate(order):
        if demand * (len(order) - index) >= left:
            return left / (len(order) - index)
        left -= demand
    return float("inf")


class PeerDemand:
    """What one other member has reported recently."""

    __slots__ = ("received_at", "reports", "window_start", "window_used")

    def __init__(self) -> None:
        """Start without reports."""
        self.reports: deque[tuple[int, int]] = deque()  # time of arrival, demand
        self.window_used = 0
        self.window_start = 0
        self.received_at = 0

    def on_report(self, demand: int, window_used: int, window_start: int, now: int) -> None:
        """Take over a report.

        Reports may overtake each other, so the use of a window never decreases.
        """
        is_newer_window = window_start > self.window_start
        if is_newer_window or (
            window_start == self.window_start and window_used > self.window_used
        ):
            self.window_used = window_used
            self.window_start = window_start
        if not self.reports or self.reports[-1][1] != demand:
            self.reports.append((now, demand))
        self.received_at = now

    def max_demand(self, since: int) -> int:
        """Return the highest demand that was in force at some time from `since` on."""
        while len(self.reports) > 1 and self.reports[1][0] <= since:
            self.reports.popleft()
        return max((demand for _, demand in self.reports), default=0)


class ApproximateQuota:
    """One member's part of one limit that is kept approximately."""

    def __init__(
        self, limit: Limit, calendar: Calendar | None, now: int, clock_bounds: Any = None
    ) -> None:
        """Start with no allowance, until the first call of `on_timer`.

        `calendar` and `clock_bounds` (see `CalendarQuota`) are needed for a count only.
        """
        self.limit = limit
        self.calendar = calendar
        self.clock_bounds = clock_bounds
        self.peers: dict[int, PeerDemand] = {}  # by member
        self.own_reports: deque[tuple[int, int]] = deque()  # time sent, demand
        self.own_reports.append((now, 0))
        self.member_count = 1
        self.expected_members = 1
        self.allowance = 0  # in the limit's unit; of a count, for the whole window
        self.tokens = 0  # of a rate's token bucket
        self.tokens_updated_at = now
        self.bucket_capacity = 0
        self.in_flight = 0  # requests
        self.window_used = 0
        self.window_start = 0  # seconds since the epoch
        self.window_end = 0  # monotonic
        self.demand = DecayingSum(DEMAND_WINDOW, now)
        self.rejections = DecayingSum(DEMAND_WINDOW, now)
        self.new_requests = 0  # not yet added to `demand`
        self.new_rejections = 0  # not yet added to `rejections`
        self.admitted = 0
        self.rejected = 0
        self.reported_at = 0
        self.reported_demand = -1  # none yet
        self.unreachable_members = 0

    # What may be used.

    def try_acquire(self, now: int, deadline: int = 0) -> bool:
        """Admit one request if the allowance permits it."""
        self.new_requests += 1
        if self.limit.kind == RATE:
            self.tokens = min(
                self.tokens + self.allowance * (now - self.tokens_updated_at),
                self.bucket_capacity,
            )
            self.tokens_updated_at = now
            allowed = self.tokens >= REQUEST_TOKENS
            self.tokens -= REQUEST_TOKENS * allowed
        elif self.limit.kind == IN_FLIGHT:
            allowed = self.in_flight < self.allowance
            self.in_flight += allowed
        else:
            if now >= self.window_end:
                self.open_window(now)
            allowed = self.window_used < self.allowance
            self.window_used += allowed
        if allowed:
            self.admitted += 1
        else:
            self.rejected += 1
            self.new_rejections += 1
        return allowed

    def acquire(self, now: int, deadline: int = 0) -> ApproximateQuota | None:
        """Admit one request as `try_acquire` does; return what releases it, None if rejected."""
        return self if self.try_acquire(now, deadline) else None

    def release(self, now: int, ran: bool = True) -> None:
        """Release a request that is over; one that never ran returns what it used."""
        if self.limit.kind == IN_FLIGHT:
            self.in_flight -= 1
        elif not ran and self.limit.kind == RATE:
            self.tokens = min(self.tokens + REQUEST_TOKENS, self.bucket_capacity)
        elif not ran:
            self.window_used = max(0, self.window_used - 1)

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a rejected request may be retried, as an estimate."""
        if self.limit.kind == COUNT and self.remaining() <= 0:
            return max(MIN_WINDOW_RETRY_AFTER, self.window_end - now)
        if self.limit.kind == RATE and self.allowance:
            due = max(0, REQUEST_TOKENS - self.tokens) // self.allowance
            # Half of the recently rejected requests pass first: they are expected to be retried.
            others = self.rejections.read(now) * REQUEST_TOKENS / self.allowance / 2
            return int(max(MIN_RETRY_AFTER, min(due + others, MAX_RETRY_AFTER)))
        return DEFAULT_RETRY_AFTER

    def open_window(self, now: int) -> None:
        """Determine the calendar window; if it is another one, nothing of it is used yet."""
        assert self.calendar is not None
        earliest, latest = self.clock_bounds(now)
        start, end = self.calendar.bounds((earliest + latest) // 2 // SECOND)
        if start != self.window_start:
            self.window_start = start
            self.window_used = 0
        remaining_time = end * SECOND - (earliest + latest) // 2
        self.window_end = now + max(SECOND // 100, remaining_time)
        self.update_allowance(now)

    def remaining(self) -> int:
        """Return what all members may still use of the window, as far as it is known."""
        others = sum(
            peer.window_used
            for peer in self.peers.values()
            if peer.window_start == self.window_start
        )
        return self.limit.amount - others - self.window_used

    # Demand and reports.

    def measure_demand(self, now: int) -> int:
        """Return the demand here, with a margin of two deviations, in the limit's unit.

        Of a rate in thousandths of a request per second, of a count in requests of the window's
        rest.
        """
        self.demand.add(now, self.new_requests)
        self.rejections.add(now, self.new_rejections)
        self.new_requests = 0
        self.new_rejections = 0
        arrived = self.demand.read(now)
        if arrived < MIN_DEMAND:
            return self.in_flight
        if self.limit.kind == IN_FLIGHT:
            wanted = self.in_flight + self.rejections.read(now)
            return int(wanted + 2 * sqrt(wanted) + 1)
        rate = (arrived + 2 * sqrt(arrived) + 0.5) * SECOND / DEMAND_WINDOW
        if self.limit.kind == RATE:
            return int(rate * 1000)
        return int(rate * COUNT_HORIZON / SECOND) + 1

    def encode_report(self, now: int) -> bytes:
        """Return this member's report to the others."""
        return DEMAND_REPORT.pack(
            FORMAT_VERSION, max(0, self.reported_demand), self.window_used, self.window_start
        )

    def on_report(self, member: int, contents: bytes, now: int) -> None:
        """Handle the report of another member; ignore one that can't be read."""
        if len(contents) != DEMAND_REPORT.size or contents[0] != FORMAT_VERSION:
            return
        _, demand, window_used, window_start = DEMAND_REPORT.unpack(contents)
        peer = self.peers.get(member)
        if peer is None:
            peer = self.peers[member] = PeerDemand()
        amount = self.limit.amount
        peer.on_report(min(demand, amount), min(window_used, amount), window_start, now)

    def on_timer(self, now: int, members: Mapping[int, bool], expected: int) -> tuple[bool, bool]:
        """Update the demand and the allowance.

        `members` are the others that share the limit, each with whether it is reachable; `expected`
        is how many share it at least. Return whether the report has changed, and whether it should
        go to all at once.
        """
        self.peers = {member: peer for member, peer in self.peers.items() if member in members}
        for member, reachable in members.items():
            if reachable and member not in self.peers:
                self.peers[member] = PeerDemand()
        self.member_count = 1 + len(members)
        self.expected_members = max(expected, 1 + len(members))
        demand = self.measure_demand(now)
        before = max(self.reported_demand, 0)
        is_large_change = abs(demand - before) > REPORTED_CHANGE * max(before, demand, 1)
        is_due = self.limit.kind == COUNT or now - self.reported_at >= MAX_REPORT_INTERVAL
        interval = report_interval(self.member_count)
        at_once = is_large_change and now - self.reported_at >= interval
        changed = at_once or (is_due and not is_large_change)
        if changed:
            self.reported_at = now
            self.reported_demand = demand
            self.own_reports.append((now, demand))
        # The least demand in force within the propagation time counts: not all know a later one.
        oldest = now - propagation_time(self.member_count)
        while len(self.own_reports) > 1 and self.own_reports[1][0] <= oldest:
            self.own_reports.popleft()
        if self.calendar is not None and now >= self.window_end:
            self.open_window(now)
        self.unreachable_members = sum(not reachable for reachable in members.values())
        self.update_allowance(now)
        return changed, at_once

    def update_allowance(self, now: int) -> None:
        """Compute this member's max-min fair share."""
        amount: float = self.limit.amount
        if self.limit.kind == COUNT:
            amount = max(0, self.remaining())
        even_share = amount / self.expected_members
        delay = propagation_time(self.member_count)
        own = float(min(demand for _, demand in self.own_reports))
        others = []
        for peer in self.peers.values():
            demand = float(peer.max_demand(now - delay))
            is_fresh = now - peer.received_at < STALE_AFTER + delay and peer.received_at
            others.append(demand if is_fresh else max(demand, even_share))
        others += [even_share] * (self.expected_members - 1 - len(others))
        level = compute_fill_level(amount, [own, *others])
        # What nobody demands is divided evenly: a burst need not wait until its demand is known.
        slack = 0.0
        if level == float("inf"):
            slack = max(0.0, amount - own - sum(others)) / self.expected_members
        share = int(min(own, level) + slack)
        if self.limit.kind == RATE:
            self.tokens = min(
                self.tokens + self.allowance * (now - self.tokens_updated_at),
                self.bucket_capacity,
            )
            self.tokens_updated_at = now
            self.allowance = share
            burst = self.limit.burst * REQUEST_TOKENS * share // max(1, self.limit.amount)
            self.bucket_capacity = max(REQUEST_TOKENS, burst)
            self.tokens = min(self.tokens, self.bucket_capacity)
        elif self.limit.kind == IN_FLIGHT:
            self.allowance = share
        else:
            self.allowance = self.window_used + share

    def status_row(self, now: int) -> dict[str, Any]:
        """Return its state for the operator's tables."""
        found = {
            "home": None,
            "mine": self.allowance,
            "need": max(0, self.reported_demand),
            "used": self.in_flight,
            "sharing": self.member_count,
            "unheard": self.unreachable_members,
        }
        if self.limit.kind == COUNT:
            found |= {
                "used": self.window_used,
                "window": self.window_start,
                "left": self.remaining(),
            }
        return found
