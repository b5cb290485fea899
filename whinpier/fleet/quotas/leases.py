"""Decides what part of a limit of the whole fleet this member may use just now, and whom it asks
for more.

A limit is cut into homes, one for each member that the operator's file names; they add up to the
limit. A member lends what it does not need of its home for a span, by the borrower's word and at
once; the lender takes off first, the borrower's span runs from when it asked and the lender's
from when it lent, and longer. So whatever is lost, late, doubled, cut or killed, all that may be
used adds up to no more than the limit; what can happen is that some of it lies unused till a
span is over. Why so: docs/design/limits.md.

Free of I/O: handed time, messages and chance. Amounts are whole: slots of requests in flight, or
thousandths of a request a second. Must never use, or lend, what may be in use elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt
from random import Random
from typing import Any

from whinpier.fleet.messages import (
    LEASE_GRANT,
    LEASE_REQUEST,
    LEASE_RETURN,
    QuotaMessage,
    pool_hash,
)
from whinpier.policy.decaying_sum import SECOND, Sum

MS = SECOND // 1000
SPAN = 2 * SECOND  # of a loan: what is lost with a message lies unused for so long
SLACK = SECOND // 4  # that a lender waits longer: a late loop, clocks that run apart by a hundredth
TASK = 10**12  # levels of a bucket count in thousandths of a request a second times nanoseconds
TURN = SECOND // 10  # between looks at what is needed
ASKED = 6  # members asked in one turn
MOST_LOANS = 256  # of one limit, each way
LOOK = SECOND * 4 // 10  # over which what is asked for is counted: a burst of a second shows as one
GAP = 8.0  # mean distances between requests that none comes: by chance once in 3,000 requests
ANSWER = SECOND // 2  # an ask that has no answer by then is over
RATE, IN_FLIGHT, COUNT, CONNECTIONS = "rate", "in_flight", "count", "connections"


@dataclass(frozen=True)
class Limit:
    """A limit of the whole fleet that is never exceeded."""

    name: str
    kind: str  # RATE, IN_FLIGHT, COUNT or CONNECTIONS, which are in flight and lent to nobody
    amount: int  # thousandths of a request a second, or requests
    homes: tuple[str, ...]  # members that hold it
    burst: int = 0  # of a rate: requests at once, beyond which nothing is saved up
    span: int = SPAN  # of its loans: of those in flight over twice the longest timeout
    window: str = ""  # of a count: which windows, in which time zone
    key: int = 0  # of which of many, where each has the limit for itself

    @property
    def mark(self) -> int:
        return pool_hash("limit/" + self.name)

    def home(self, name: str) -> int:
        """This member's own part; they add up to the whole."""
        if name not in self.homes:
            return 0
        whole, rest = divmod(self.amount, len(self.homes))
        return whole + (self.homes.index(name) < rest)

    def epoch(self) -> int:
        """The same number for the same division."""
        window = f"/{self.window}" * bool(self.window)
        span = f"/{self.span}" * (self.span != SPAN)
        return pool_hash(
            f"{self.name}/{self.kind}/{self.amount}/{self.burst}/{','.join(self.homes)}"
            f"{window}{span}"
        )


@dataclass(slots=True)
class Loan:
    """What one member lent another: `until` is this side's own end of it."""

    other: int
    amount: int
    until: int
    turn: int = 0


@dataclass(slots=True)
class Asked:
    """A loan that was asked for, or asked for anew."""

    other: int
    amount: int
    at: int
    turn: int


class Share:
    """One member's part of one limit."""

    def __init__(self, limit: Limit, name: str, now: int, chance: Random, fence: int) -> None:
        self.limit, self.name, self.bits = limit, name, chance.getrandbits
        self.shuffle = chance.shuffle
        # Of a run before this one loans may be out, and requests that go on at upstreams.
        self.home, self.fenced_till = limit.home(name), now + fence
        self.lends_for = self.borrows_for = limit.span
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[int, Loan] = {}
        self.asked: dict[int, Asked] = {}
        self.used, self.last_end = 0, 0  # requests in flight, and when the last of them is over
        self.level, self.level_at = 0, now
        self.mine, self.mine_till = 0, now  # what may be used, and till when that is known
        self.wanted, self.refused, self.wanted_at = Sum(LOOK, now), Sum(LOOK, now), now
        self.asks, self.refusals = 0, 0  # since last added: sums that fade cost more
        self.cap = 0  # of the bucket
        self.sure, self.sure_till = (
            0,
            now,
        )  # in flight: what lasts over `horizon`, till when that holds
        self.horizon = limit.span // 3  # of timeout: requests of usual length
        self.nothing: dict[int, int] = {}  # who had nothing to lend: when
        self.passed, self.turned_back = 0, 0
        self.out: list[tuple[int, QuotaMessage]] = []  # to whom, what

    @property
    def renew(self) -> int:
        """When the rest of a loan is so short the borrower asks anew."""
        return self.borrows_for // 2 if self.limit.kind == RATE else 3 * self.borrows_for // 4

    # What may be used.

    def count(self, now: int, ends: int = 0) -> int:
        """What may be used now, and, of loans, still at `ends`."""
        home = self.home if now >= self.fenced_till else 0
        lent = sum(loan.amount for loan in self.lent.values() if loan.until > now)
        borrowed = sum(
            loan.amount for loan in self.borrowed.values() if loan.until > max(now, ends)
        )
        return max(0, home - lent) + borrowed

    def known(self, now: int) -> int:
        """The same for now, remembered while nothing ends."""
        if now >= self.mine_till:
            self.settle(now)
        return self.mine

    def settle(self, now: int) -> None:
        """Bring the bucket up to date, step by step as loans end; forget what has ended."""
        while True:
            step = min(now, self.mine_till)
            if step > self.level_at:
                self.level = min(self.level + self.mine * (step - self.level_at), self.cap)
                self.level_at = step
            if self.mine_till > now:
                return
            at = self.mine_till
            self.mine = self.count(at)
            self.cap = self.capacity(self.mine)
            self.level = min(self.level, self.cap)
            ends = [
                loan.until
                for loan in (*self.lent.values(), *self.borrowed.values())
                if loan.until > at
            ]
            if self.fenced_till > at:
                ends.append(self.fenced_till)
            self.mine_till = min(ends, default=at + SPAN)
            for loans in (self.lent, self.borrowed):
                for nonce in [nonce for nonce, loan in loans.items() if loan.until <= at]:
                    del loans[nonce]

    def changed(self, now: int) -> None:
        """Something was lent, borrowed or given back at this moment."""
        self.settle(now)
        self.mine_till = self.sure_till = now
        self.settle(now)

    def capacity(self, mine: int) -> int:
        """How much a bucket may hold: its part of the burst."""
        return self.limit.burst * TASK * mine // max(1, self.limit.amount)

    def take(self, now: int, ends: int = 0) -> bool:
        """Whether one request may pass; `ends` is when it is over at the latest, of those in flight."""
        self.asks += 1
        self.wanted_at = now
        if self.limit.kind == RATE:
            if now >= self.mine_till:
                self.settle(now)
            else:
                self.level = min(self.level + self.mine * (now - self.level_at), self.cap)
                self.level_at = now
            good = self.level >= TASK
            self.level -= TASK * good
        else:
            # All that is out now and this one fit into what is there till this one ends, so at each
            # moment till then as well.
            good = self.used < self.lasting(now, ends)
            self.used += good
            self.last_end = max(self.last_end, ends) if good else self.last_end
        if good:
            self.passed += 1
        else:
            self.turned_back += 1
            self.refusals += 1
        return good

    def lasting(self, now: int, ends: int) -> int:
        """What is there now and at `ends`, remembered for requests of usual length."""
        if ends - now > self.horizon:
            return self.count(now, ends)
        if now >= self.sure_till:
            later = now + self.horizon
            self.sure = self.count(now, later)
            changes = [
                loan.until - self.horizon for loan in self.borrowed.values() if loan.until > later
            ]
            changes += [loan.until for loan in self.lent.values() if loan.until > now]
            if self.fenced_till > now:
                changes.append(self.fenced_till)
            self.sure_till = min(changes, default=now + SPAN)
        return self.sure

    def give(self, now: int, ran: bool = True) -> None:
        """A request is over; of a rate, what never ran gives back what it took."""
        if self.limit.kind == IN_FLIGHT:
            self.used -= 1
            self.last_end = self.last_end if self.used else 0
        elif not ran:
            self.settle(now)
            self.level = min(self.level + TASK, self.cap)

    def enter(self, now: int, ends: int = 0) -> Share | None:
        """The same; what gives back once the request is over."""
        return self if self.take(now, ends) else None

    def wait(self, now: int) -> int:
        """When one that was rejected may come again, as far as that is known here."""
        if self.limit.kind == IN_FLIGHT:
            return SECOND // 4
        mine = self.known(now)
        # Its turn in the queue of those who ask: not sooner than all that was rejected of late
        # would pass.
        due = (TASK - self.level) // mine if mine and self.level < TASK else 0
        self.fold(now)
        others = int(self.refused.read(now)) * TASK // max(1, mine) // 2 if mine else SPAN
        return max(10 * MS, min(due + others, 10 * SECOND))

    # What is needed, and who has it.

    def fold(self, now: int) -> None:
        """Add what was counted since to the sums that fade."""
        self.wanted.add(now, self.asks)
        self.refused.add(now, self.refusals)
        self.asks = self.refusals = 0

    def need(self, now: int) -> int:
        """What this member had better have: what is asked for, and what chance may add."""
        self.fold(now)
        asked = self.wanted.read(now)
        if (now - self.wanted_at) * asked > GAP * LOOK:
            return (
                self.used
            )  # a pause that chance does not make: whoever asked here now asks elsewhere
        if self.limit.kind == IN_FLIGHT:
            more = self.refused.read(now)
            return (
                int(self.used + more + 2 * sqrt(self.used + more) + (asked > 0.05))
                if asked > 0.05
                else 0
            )
        if asked < 0.05:
            return 0
        rate = int((asked + 2 * sqrt(asked) + 0.5) * 1000 * SECOND / LOOK)
        # A bucket has to hold a whole request, or none ever passes.
        whole = -(-self.limit.amount // max(1, self.limit.burst))
        return min(self.limit.amount, max(rate, whole))

    def spare(self, now: int) -> int:
        """What may be lent: of its own home alone, beyond its own need and what is in flight."""
        if now < self.fenced_till:
            return 0
        lent = sum(loan.amount for loan in self.lent.values() if loan.until > now)
        return max(0, self.home - lent - max(self.need(now), self.used))

    def turn(self, now: int, there: Iterable[int]) -> None:
        """Once in a while: ask for more, ask anew for what is needed, give back what is not."""
        self.changed(now)
        for nonce in [nonce for nonce, asked in self.asked.items() if now - asked.at > ANSWER]:
            del self.asked[nonce]
        need, mine = self.need(now), self.known(now)
        surplus = mine - need
        for nonce, loan in sorted(self.borrowed.items(), key=lambda one: one[1].amount):
            if 0 < loan.amount <= surplus and self.fits_without(loan, now):
                surplus -= loan.amount
                del self.borrowed[nonce]
                self.asked.pop(nonce, None)
                self.say(loan.other, LEASE_RETURN, nonce, loan.amount, 0)
            elif loan.until - now < self.renew and nonce not in self.asked:
                # Each time another turn, answered or not: an answer that comes late must not count
                # from now.
                loan.turn += 1
                self.ask(now, loan.other, loan.amount, nonce, loan.turn)
        self.changed(now)
        lacking = (
            need
            - self.known(now)
            - sum(asked.amount for nonce, asked in self.asked.items() if nonce not in self.borrowed)
        )
        if lacking > 0:
            self.look_for(now, lacking, there)

    def fits_without(self, loan: Loan, now: int) -> bool:
        """Whether all that is out fits, to its end, into what is left without a loan."""
        if self.limit.kind == RATE:
            return True
        left = self.count(now, self.last_end) - loan.amount * (loan.until > self.last_end)
        return self.used <= min(left, self.count(now) - loan.amount)

    def look_for(self, now: int, lacking: int, there: Iterable[int]) -> None:
        """Ask some of the others, each for a part; who has just had nothing comes later."""
        chosen = [one for one in there if now - self.nothing.get(one, -SECOND) > 2 * TURN]
        self.shuffle(chosen)
        chosen = chosen[:ASKED]
        for one in chosen:
            if len(self.asked) + len(self.borrowed) < MOST_LOANS:
                self.ask(now, one, -(-lacking // len(chosen)), self.bits(62) | 1, 0)

    def ask(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        self.asked[nonce] = Asked(other, amount, now, turn)
        self.say(other, LEASE_REQUEST, nonce, amount, turn)

    def say(self, other: int, kind: int, nonce: int, amount: int, turn: int) -> None:
        self.out.append(
            (other, QuotaMessage(kind, self.limit.mark, nonce, amount, turn, self.limit.key))
        )

    # What others say.

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None:
        """A message about this limit."""
        if deal.kind == LEASE_REQUEST:
            self.asked_for(deal, other, now)
        elif deal.kind == LEASE_GRANT:
            self.lent_to_us(deal, other, now)
        else:
            loan = self.lent.get(deal.nonce)
            if loan is not None and loan.other == other:
                del self.lent[deal.nonce]
                self.changed(now)

    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        """Lend what can be spared; asked anew, for longer, as far as it is not needed here."""
        loan = self.lent.get(deal.nonce)
        if loan is not None and (loan.other != other or loan.until <= now):
            return
        amount = loan.amount if loan else min(deal.amount, self.spare(now))
        if loan is not None and (deal.turn <= loan.turn or self.need(now) > self.known(now)):
            return  # an old message, or it is needed here: the loan ends by itself
        if amount > 0 and (loan or len(self.lent) < MOST_LOANS):
            # Off here first, and for longer than there.
            self.lent[deal.nonce] = Loan(other, amount, now + self.lends_for + SLACK, deal.turn)
            self.changed(now)
        else:
            amount = 0
        self.say(other, LEASE_GRANT, deal.nonce, amount, deal.turn)

    def lent_to_us(self, deal: QuotaMessage, other: int, now: int) -> None:
        """A loan, if it is the one that was asked for last: its span runs from when it was asked for."""
        asked = self.asked.get(deal.nonce)
        if asked is None or asked.other != other or asked.turn != deal.turn:
            return  # of another turn, another run, or given back since
        del self.asked[deal.nonce]
        if deal.amount <= 0:
            self.nothing[other] = now
            while len(self.nothing) > MOST_LOANS:
                del self.nothing[next(iter(self.nothing))]
            return
        until = asked.at + self.borrows_for
        held = self.borrowed.get(deal.nonce)
        if until > now and (held or not asked.turn):
            self.borrowed[deal.nonce] = Loan(
                other, min(deal.amount, asked.amount), until, deal.turn
            )
            self.changed(now)

    # Another division.

    def rehome(self, home: int, now: int, at_once: bool = True) -> None:
        """This member's part by another division."""
        if home != self.home:
            self.home = home
            self.changed(now)

    def spans(self, before: int) -> None:
        """While some may go by another span lend for the longer of both, and borrow for the shorter."""
        self.lends_for = max(before, self.limit.span)
        self.borrows_for = min(before or self.limit.span, self.limit.span)

    def within(self, now: int) -> bool:
        """Whether what is lent and in flight fits into what there is: what was more before is over."""
        lent = sum(loan.amount for loan in self.lent.values() if loan.until > now)
        return lent <= self.home and self.used <= max(self.count(now), 0)

    def idle(self, now: int) -> bool:
        """Whether nothing is lost if this one is forgotten: it is as it would begin."""
        quiet = (
            not (self.lent or self.borrowed or self.asked or self.used) and now >= self.fenced_till
        )
        return (
            quiet
            and now - self.wanted_at > SPAN
            and (
                self.limit.kind != RATE
                or self.level + self.mine * (now - self.level_at) >= self.cap
            )
        )

    def row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        return {
            "home": self.home,
            "mine": self.known(now),
            "need": self.need(now),
            "used": self.used,
            "lent": sum(one.amount for one in self.lent.values()),
            "borrowed": sum(one.amount for one in self.borrowed.values()),
        }
