"""Decides which part of a limit this member may use, by what all tell of their demand: nearly kept.

Each member tells what it is asked for, and takes its max-min part of the limit over what all told:
who asks for little has that, the rest is shared evenly among those who ask for more. It goes by the
least that it told itself within the time that a word needs to reach all, and by the most that the
others told within it; so while words come in time the parts add up to no more than the limit,
however demand moves. Who is unheard counts for an even share at the least, so that parts of a fleet
that is cut do not add up to more either, once they know that they are. By how much it can go over
until then stands in docs/design/limits.md.

Free of I/O: handed time, words and how many there are. Must never count an unheard member for
nothing, or use at once what it has only just begun to ask for.
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

FORM, DEMAND_REPORT = 1, Struct("<BQQI")  # demand, used in the window, the window
TELL = SECOND // 2  # between words to all at once, while demand changes
TELL_EACH = (
    SECOND // 200
)  # and longer by so much for each member: 200 of them cost 26 kB/s while it changes
CHANGE = 0.1  # of demand that is worth a word
LOOK = SECOND // 2  # over which demand is counted
STALE_AFTER = (
    3 * SECOND
)  # without a word, after which a member counts for an even share at the least
AHEAD = 2 * SECOND  # of demand: what of a window's rest is shared out by


def spread(members: int) -> int:
    """Nanoseconds between two words of one member to all."""
    return max(TELL, members * TELL_EACH)


def propagation_time(members: int) -> int:
    """Nanoseconds after which a word has reached all: it went twice, a way takes a quarter of a second."""
    return 2 * spread(members) + SECOND // 4


def compute_fill_level(amount: float, demands: Iterable[float]) -> float:
    """The level to which all demands are met, so that together they come to `amount`; infinite
    if all fit.
    """
    order = sorted(demands)
    left = amount
    for place, demand in enumerate(order):
        if demand * (len(order) - place) >= left:
            return left / (len(order) - place)
        left -= demand
    return float("inf")


class PeerDemand:
    """What one other member said of late."""

    __slots__ = ("reports", "window_used", "window_start", "at")

    def __init__(self) -> None:
        self.reports: deque[tuple[int, int]] = deque()  # when, demand
        self.window_used, self.window_start, self.at = 0, 0, 0

    def on_report(self, demand: int, used: int, window: int, now: int) -> None:
        if window > self.window_start or window == self.window_start and used > self.window_used:
            self.window_used, self.window_start = (
                used,
                window,
            )  # words may pass each other: what is used only grows
        if not self.reports or self.reports[-1][1] != demand:
            self.reports.append((now, demand))
        self.at = now

    def most(self, since: int) -> int:
        """The most that it asked for since a time, and at it."""
        while len(self.reports) > 1 and self.reports[1][0] <= since:
            self.reports.popleft()
        return max((demand for _, demand in self.reports), default=0)


class ApproximateQuota:
    """One member's part of one limit."""

    def __init__(
        self, limit: Limit, calendar: Calendar | None, now: int, between: Any = None
    ) -> None:
        self.limit, self.calendar, self.between = limit, calendar, between
        self.peers: dict[int, PeerDemand] = {}
        self.own: deque[tuple[int, int]] = deque()  # when told, demand
        self.own.append((now, 0))
        self.members, self.expected = 1, 1
        self.allowance, self.tokens, self.level_at, self.cap = 0, 0, now, 0
        self.used, self.window_used, self.window_start, self.window_end = 0, 0, 0, 0
        self.wanted, self.refused = DecayingSum(LOOK, now), DecayingSum(LOOK, now)
        self.asks, self.refusals, self.admitted, self.rejected = 0, 0, 0, 0
        self.reported_at, self.reported_demand, self.unheard = 0, -1, 0

    # What may be used.

    def try_acquire(self, now: int, ends: int = 0) -> bool:
        self.asks += 1
        if self.limit.kind == RATE:
            self.tokens = min(self.tokens + self.allowance * (now - self.level_at), self.cap)
            self.level_at = now
            good = self.tokens >= REQUEST_TOKENS
            self.tokens -= REQUEST_TOKENS * good
        elif self.limit.kind == IN_FLIGHT:
            good = self.used < self.allowance
            self.used += good
        else:
            if now >= self.window_end:
                self.open_window(now)
            good = self.window_used < self.allowance
            self.window_used += good
        if good:
            self.admitted += 1
        else:
            self.rejected += 1
            self.refusals += 1
        return good

    def acquire(self, now: int, ends: int = 0) -> ApproximateQuota | None:
        """The same; what gives back once the request is over."""
        return self if self.try_acquire(now, ends) else None

    def release(self, now: int, ran: bool = True) -> None:
        if self.limit.kind == IN_FLIGHT:
            self.used -= 1
        elif not ran and self.limit.kind == RATE:
            self.tokens = min(self.tokens + REQUEST_TOKENS, self.cap)
        elif not ran:
            self.window_used = max(0, self.window_used - 1)

    def retry_after(self, now: int) -> int:
        if self.limit.kind == COUNT and self.left() <= 0:
            return max(SECOND // 10, self.window_end - now)
        if self.limit.kind == RATE and self.allowance:
            due = max(0, REQUEST_TOKENS - self.tokens) // self.allowance
            others = (
                self.refused.read(now) * REQUEST_TOKENS / self.allowance / 2
            )  # who asked before it, and asks again
            return int(max(SECOND // 100, min(due + others, 10 * SECOND)))
        return SECOND // 4

    def open_window(self, now: int) -> None:
        """Another window: all of it is there again."""
        assert self.calendar is not None
        low, high = self.between(now)
        start, end = self.calendar.bounds((low + high) // 2 // SECOND)
        if start != self.window_start:
            self.window_start, self.window_used = start, 0
        self.window_end = now + max(SECOND // 100, end * SECOND - (low + high) // 2)
        self.share(now)

    def left(self) -> int:
        """What all may still use of a window, as far as is known."""
        others = sum(
            told.window_used
            for told in self.peers.values()
            if told.window_start == self.window_start
        )
        return self.limit.amount - others - self.window_used

    # What is asked for, and told.

    def demand(self, now: int) -> int:
        """In the limit's unit: thousandths of a request a second, requests in flight, requests of a
        window's rest.
        """
        self.wanted.add(now, self.asks)
        self.refused.add(now, self.refusals)
        self.asks = self.refusals = 0
        asked = self.wanted.read(now)
        if asked < 0.05:
            return self.used
        if self.limit.kind == IN_FLIGHT:
            more = self.refused.read(now)
            return int(self.used + more + 2 * sqrt(self.used + more) + 1)
        rate = (asked + 2 * sqrt(asked) + 0.5) * SECOND / LOOK
        return int(rate * 1000) if self.limit.kind == RATE else int(rate * AHEAD / SECOND) + 1

    def encode_report(self, now: int) -> bytes:
        return DEMAND_REPORT.pack(
            FORM, max(0, self.reported_demand), self.window_used, self.window_start
        )

    def on_report(self, member: int, contents: bytes, now: int) -> None:
        """What another member tells of this limit; what can't be read says nothing."""
        if len(contents) != DEMAND_REPORT.size or contents[0] != FORM:
            return
        _, demand, used, window = DEMAND_REPORT.unpack(contents)
        told = self.peers.get(member)
        if told is None:
            told = self.peers[member] = PeerDemand()
        told.on_report(min(demand, self.limit.amount), min(used, self.limit.amount), window, now)

    def on_timer(self, now: int, members: Mapping[int, bool], expected: int) -> tuple[bool, bool]:
        """Look anew. `members`: those who share it, and whether they are heard; `expected`: at the least.

        Whether the word has changed, and whether it had better go to all at once.
        """
        self.peers = {who: told for who, told in self.peers.items() if who in members}
        for who, heard in members.items():
            if heard and who not in self.peers:
                self.peers[who] = PeerDemand()
        self.members, self.expected = 1 + len(members), max(expected, 1 + len(members))
        demand, age = self.demand(now), propagation_time(self.members)
        before = max(self.reported_demand, 0)
        more = abs(demand - before) > CHANGE * max(before, demand, 1)
        changed = more or self.limit.kind == COUNT or now - self.reported_at >= SECOND
        soon = more and now - self.reported_at >= spread(self.members)
        if soon or changed and not more:
            self.reported_at, self.reported_demand = now, demand
            self.own.append((now, demand))
        # The least that was told since: what has only just been asked for is not known to all.
        while len(self.own) > 1 and self.own[1][0] <= now - age:
            self.own.popleft()
        if self.calendar is not None and now >= self.window_end:
            self.open_window(now)
        self.unheard = sum(not heard for heard in members.values())
        self.share(now)
        return soon or changed and not more, soon

    def share(self, now: int) -> None:
        """Settle the part."""
        amount: float = self.limit.amount
        if self.limit.kind == COUNT:
            amount = max(0, self.left())
        even, age = amount / self.expected, propagation_time(self.members)
        mine = float(min(demand for _, demand in self.own))
        rest = []
        for told in self.peers.values():
            asks = float(told.most(now - age))
            rest.append(asks if now - told.at < STALE_AFTER + age and told.at else max(asks, even))
        rest += [even] * (self.expected - 1 - len(rest))
        level = compute_fill_level(amount, [mine, *rest])
        # What nobody asks for is there for all alike: a burst need not wait till it is known.
        slack = (
            max(0.0, amount - mine - sum(rest)) / self.expected if level == float("inf") else 0.0
        )
        part = min(mine, level) + slack
        if self.limit.kind == RATE:
            self.tokens = min(self.tokens + self.allowance * (now - self.level_at), self.cap)
            self.level_at = now
            self.allowance = int(part)
            self.cap = max(
                REQUEST_TOKENS,
                self.limit.burst * REQUEST_TOKENS * self.allowance // max(1, self.limit.amount),
            )
            self.tokens = min(self.tokens, self.cap)
        elif self.limit.kind == IN_FLIGHT:
            self.allowance = int(part)
        else:
            self.allowance = self.window_used + int(part)

    def status_row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        found = {
            "home": None,
            "mine": self.allowance,
            "need": max(0, self.reported_demand),
            "used": self.used,
            "sharing": self.members,
            "unheard": self.unheard,
        }
        if self.limit.kind == COUNT:
            found |= {"used": self.window_used, "window": self.window_start, "left": self.left()}
        return found
