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
from whinpier.fleet.quotas.leases import COUNT, IN_FLIGHT, RATE, TASK, Limit
from whinpier.policy.decaying_sum import SECOND, DecayingSum

FORM, WORD = 1, Struct("<BQQI")  # demand, used in the window, the window
TELL = SECOND // 2  # between words to all at once, while demand changes
TELL_EACH = (
    SECOND // 200
)  # and longer by so much for each member: 200 of them cost 26 kB/s while it changes
CHANGE = 0.1  # of demand that is worth a word
LOOK = SECOND // 2  # over which demand is counted
UNHEARD = 3 * SECOND  # without a word, after which a member counts for an even share at the least
AHEAD = 2 * SECOND  # of demand: what of a window's rest is shared out by


def spread(members: int) -> int:
    """Nanoseconds between two words of one member to all."""
    return max(TELL, members * TELL_EACH)


def aged(members: int) -> int:
    """Nanoseconds after which a word has reached all: it went twice, a way takes a quarter of a second."""
    return 2 * spread(members) + SECOND // 4


def fill(amount: float, demands: Iterable[float]) -> float:
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


class Told:
    """What one other member said of late."""

    __slots__ = ("words", "used", "window", "at")

    def __init__(self) -> None:
        self.words: deque[tuple[int, int]] = deque()  # when, demand
        self.used, self.window, self.at = 0, 0, 0

    def hear(self, demand: int, used: int, window: int, now: int) -> None:
        if window > self.window or window == self.window and used > self.used:
            self.used, self.window = (
                used,
                window,
            )  # words may pass each other: what is used only grows
        if not self.words or self.words[-1][1] != demand:
            self.words.append((now, demand))
        self.at = now

    def most(self, since: int) -> int:
        """The most that it asked for since a time, and at it."""
        while len(self.words) > 1 and self.words[1][0] <= since:
            self.words.popleft()
        return max((demand for _, demand in self.words), default=0)


class Nearly:
    """One member's part of one limit."""

    def __init__(
        self, limit: Limit, calendar: Calendar | None, now: int, between: Any = None
    ) -> None:
        self.limit, self.calendar, self.between = limit, calendar, between
        self.others: dict[int, Told] = {}
        self.own: deque[tuple[int, int]] = deque()  # when told, demand
        self.own.append((now, 0))
        self.members, self.expected = 1, 1
        self.part, self.level, self.level_at, self.cap = 0, 0, now, 0
        self.used, self.spent, self.window, self.window_end = 0, 0, 0, 0
        self.wanted, self.refused = DecayingSum(LOOK, now), DecayingSum(LOOK, now)
        self.asks, self.refusals, self.passed, self.turned_back = 0, 0, 0, 0
        self.told_at, self.told_demand, self.unheard = 0, -1, 0

    # What may be used.

    def take(self, now: int, ends: int = 0) -> bool:
        self.asks += 1
        if self.limit.kind == RATE:
            self.level = min(self.level + self.part * (now - self.level_at), self.cap)
            self.level_at = now
            good = self.level >= TASK
            self.level -= TASK * good
        elif self.limit.kind == IN_FLIGHT:
            good = self.used < self.part
            self.used += good
        else:
            if now >= self.window_end:
                self.open_window(now)
            good = self.spent < self.part
            self.spent += good
        if good:
            self.passed += 1
        else:
            self.turned_back += 1
            self.refusals += 1
        return good

    def enter(self, now: int, ends: int = 0) -> Nearly | None:
        """The same; what gives back once the request is over."""
        return self if self.take(now, ends) else None

    def give(self, now: int, ran: bool = True) -> None:
        if self.limit.kind == IN_FLIGHT:
            self.used -= 1
        elif not ran and self.limit.kind == RATE:
            self.level = min(self.level + TASK, self.cap)
        elif not ran:
            self.spent = max(0, self.spent - 1)

    def wait(self, now: int) -> int:
        if self.limit.kind == COUNT and self.left() <= 0:
            return max(SECOND // 10, self.window_end - now)
        if self.limit.kind == RATE and self.part:
            due = max(0, TASK - self.level) // self.part
            others = (
                self.refused.read(now) * TASK / self.part / 2
            )  # who asked before it, and asks again
            return int(max(SECOND // 100, min(due + others, 10 * SECOND)))
        return SECOND // 4

    def open_window(self, now: int) -> None:
        """Another window: all of it is there again."""
        assert self.calendar is not None
        low, high = self.between(now)
        start, end = self.calendar.bounds((low + high) // 2 // SECOND)
        if start != self.window:
            self.window, self.spent = start, 0
        self.window_end = now + max(SECOND // 100, end * SECOND - (low + high) // 2)
        self.share(now)

    def left(self) -> int:
        """What all may still use of a window, as far as is known."""
        others = sum(told.used for told in self.others.values() if told.window == self.window)
        return self.limit.amount - others - self.spent

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

    def word(self, now: int) -> bytes:
        return WORD.pack(FORM, max(0, self.told_demand), self.spent, self.window)

    def hear(self, member: int, contents: bytes, now: int) -> None:
        """What another member tells of this limit; what can't be read says nothing."""
        if len(contents) != WORD.size or contents[0] != FORM:
            return
        _, demand, used, window = WORD.unpack(contents)
        told = self.others.get(member)
        if told is None:
            told = self.others[member] = Told()
        told.hear(min(demand, self.limit.amount), min(used, self.limit.amount), window, now)

    def turn(self, now: int, members: Mapping[int, bool], expected: int) -> tuple[bool, bool]:
        """Look anew. `members`: those who share it, and whether they are heard; `expected`: at the least.

        Whether the word has changed, and whether it had better go to all at once.
        """
        self.others = {who: told for who, told in self.others.items() if who in members}
        for who, heard in members.items():
            if heard and who not in self.others:
                self.others[who] = Told()
        self.members, self.expected = 1 + len(members), max(expected, 1 + len(members))
        demand, age = self.demand(now), aged(self.members)
        before = max(self.told_demand, 0)
        more = abs(demand - before) > CHANGE * max(before, demand, 1)
        changed = more or self.limit.kind == COUNT or now - self.told_at >= SECOND
        soon = more and now - self.told_at >= spread(self.members)
        if soon or changed and not more:
            self.told_at, self.told_demand = now, demand
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
        even, age = amount / self.expected, aged(self.members)
        mine = float(min(demand for _, demand in self.own))
        rest = []
        for told in self.others.values():
            asks = float(told.most(now - age))
            rest.append(asks if now - told.at < UNHEARD + age and told.at else max(asks, even))
        rest += [even] * (self.expected - 1 - len(rest))
        level = fill(amount, [mine, *rest])
        # What nobody asks for is there for all alike: a burst need not wait till it is known.
        slack = (
            max(0.0, amount - mine - sum(rest)) / self.expected if level == float("inf") else 0.0
        )
        part = min(mine, level) + slack
        if self.limit.kind == RATE:
            self.level = min(self.level + self.part * (now - self.level_at), self.cap)
            self.level_at = now
            self.part = int(part)
            self.cap = max(TASK, self.limit.burst * TASK * self.part // max(1, self.limit.amount))
            self.level = min(self.level, self.cap)
        elif self.limit.kind == IN_FLIGHT:
            self.part = int(part)
        else:
            self.part = self.spent + int(part)

    def row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        found = {
            "home": None,
            "mine": self.part,
            "need": max(0, self.told_demand),
            "used": self.used,
            "sharing": self.members,
            "unheard": self.unheard,
        }
        if self.limit.kind == COUNT:
            found |= {"used": self.spent, "window": self.window, "left": self.left()}
        return found
