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
from whinpier.policy.decaying_sum import SECOND, DecayingSum

MS = SECOND // 1000
LEASE_DURATION = 2 * SECOND  # of a loan: what is lost with a message lies unused for so long
LEASE_GRACE = (
    SECOND // 4
)  # that a lender waits longer: a late loop, clocks that run apart by a hundredth
REQUEST_TOKENS = (
    10**12
)  # levels of a bucket count in thousandths of a request a second times nanoseconds
TIMER_INTERVAL = SECOND // 10  # between looks at what is needed
MAX_MEMBERS_ASKED = 6  # members asked in one turn
MAX_LEASES = 256  # of one limit, each way
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
    lease_duration: int = (
        LEASE_DURATION  # of its loans: of those in flight over twice the longest timeout
    )
    window: str = ""  # of a count: which windows, in which time zone
    key: int = 0  # of which of many, where each has the limit for itself

    @property
    def wire_id(self) -> int:
        return pool_hash("limit/" + self.name)

    def home_quota(self, name: str) -> int:
        """This member's own part; they add up to the whole."""
        if name not in self.homes:
            return 0
        whole, rest = divmod(self.amount, len(self.homes))
        return whole + (self.homes.index(name) < rest)

    def epoch(self) -> int:
        """The same number for the same division."""
        window = f"/{self.window}" * bool(self.window)
        span = f"/{self.lease_duration}" * (self.lease_duration != LEASE_DURATION)
        return pool_hash(
            f"{self.name}/{self.kind}/{self.amount}/{self.burst}/{','.join(self.homes)}{window}{span}"
        )


@dataclass(slots=True)
class Lease:
    """What one member lent another: `until` is this side's own end of it."""

    member: int
    amount: int
    expires_at: int
    renewal: int = 0


@dataclass(slots=True)
class PendingLease:
    """A loan that was asked for, or asked for anew."""

    member: int
    amount: int
    requested_at: int
    renewal: int


class LeasedQuota:
    """One member's part of one limit."""

    def __init__(self, limit: Limit, name: str, now: int, chance: Random, fence: int) -> None:
        self.limit, self.name, self.bits = limit, name, chance.getrandbits
        self.shuffle = chance.shuffle
        # Of a run before this one loans may be out, and requests that go on at upstreams.
        self.home_quota, self.fenced_until = limit.home_quota(name), now + fence
        self.lend_duration = self.borrow_duration = limit.lease_duration
        self.lent: dict[int, Lease] = {}
        self.borrowed: dict[int, Lease] = {}
        self.pending: dict[int, PendingLease] = {}
        self.in_flight, self.last_deadline = (
            0,
            0,
        )  # requests in flight, and when the last of them is over
        self.tokens, self.level_at = 0, now
        self.mine, self.mine_till = 0, now  # what may be used, and till when that is known
        self.wanted, self.refused, self.wanted_at = (
            DecayingSum(LOOK, now),
            DecayingSum(LOOK, now),
            now,
        )
        self.asks, self.refusals = 0, 0  # since last added: sums that fade cost more
        self.cap = 0  # of the bucket
        self.sure, self.sure_till = (
            0,
            now,
        )  # in flight: what lasts over `horizon`, till when that holds
        self.horizon = limit.lease_duration // 3  # of timeout: requests of usual length
        self.declined_at: dict[int, int] = {}  # who had nothing to lend: when
        self.admitted, self.rejected = 0, 0
        self.out: list[tuple[int, QuotaMessage]] = []  # to whom, what

    @property
    def renewal_threshold(self) -> int:
        """When the rest of a loan is so short the borrower asks anew."""
        return (
            self.borrow_duration // 2 if self.limit.kind == RATE else 3 * self.borrow_duration // 4
        )

    # What may be used.

    def compute_available(self, now: int, ends: int = 0) -> int:
        """What may be used now, and, of loans, still at `ends`."""
        home = self.home_quota if now >= self.fenced_until else 0
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        borrowed = sum(
            lease.amount for lease in self.borrowed.values() if lease.expires_at > max(now, ends)
        )
        return max(0, home - lent) + borrowed

    def known(self, now: int) -> int:
        """The same for now, remembered while nothing ends."""
        if now >= self.mine_till:
            self.refill(now)
        return self.mine

    def refill(self, now: int) -> None:
        """Bring the bucket up to date, step by step as loans end; forget what has ended."""
        while True:
            step = min(now, self.mine_till)
            if step > self.level_at:
                self.tokens = min(self.tokens + self.mine * (step - self.level_at), self.cap)
                self.level_at = step
            if self.mine_till > now:
                return
            at = self.mine_till
            self.mine = self.compute_available(at)
            self.cap = self.capacity(self.mine)
            self.tokens = min(self.tokens, self.cap)
            ends = [
                lease.expires_at
                for lease in (*self.lent.values(), *self.borrowed.values())
                if lease.expires_at > at
            ]
            if self.fenced_until > at:
                ends.append(self.fenced_until)
            self.mine_till = min(ends, default=at + LEASE_DURATION)
            for leases in (self.lent, self.borrowed):
                for nonce in [nonce for nonce, lease in leases.items() if lease.expires_at <= at]:
                    del leases[nonce]

    def on_leases_changed(self, now: int) -> None:
        """Something was lent, borrowed or given back at this moment."""
        self.refill(now)
        self.mine_till = self.sure_till = now
        self.refill(now)

    def capacity(self, mine: int) -> int:
        """How much a bucket may hold: its part of the burst."""
        return self.limit.burst * REQUEST_TOKENS * mine // max(1, self.limit.amount)

    def try_acquire(self, now: int, ends: int = 0) -> bool:
        """Whether one request may pass; `ends` is when it is over at the latest, of those in flight."""
        self.asks += 1
        self.wanted_at = now
        if self.limit.kind == RATE:
            if now >= self.mine_till:
                self.refill(now)
            else:
                self.tokens = min(self.tokens + self.mine * (now - self.level_at), self.cap)
                self.level_at = now
            good = self.tokens >= REQUEST_TOKENS
            self.tokens -= REQUEST_TOKENS * good
        else:
            # All that is out now and this one fit into what is there till this one ends, so at each
            # moment till then as well.
            good = self.in_flight < self.lasting(now, ends)
            self.in_flight += good
            self.last_deadline = max(self.last_deadline, ends) if good else self.last_deadline
        if good:
            self.admitted += 1
        else:
            self.rejected += 1
            self.refusals += 1
        return good

    def lasting(self, now: int, ends: int) -> int:
        """What is there now and at `ends`, remembered for requests of usual length."""
        if ends - now > self.horizon:
            return self.compute_available(now, ends)
        if now >= self.sure_till:
            later = now + self.horizon
            self.sure = self.compute_available(now, later)
            changes = [
                lease.expires_at - self.horizon
                for lease in self.borrowed.values()
                if lease.expires_at > later
            ]
            changes += [lease.expires_at for lease in self.lent.values() if lease.expires_at > now]
            if self.fenced_until > now:
                changes.append(self.fenced_until)
            self.sure_till = min(changes, default=now + LEASE_DURATION)
        return self.sure

    def release(self, now: int, ran: bool = True) -> None:
        """A request is over; of a rate, what never ran gives back what it took."""
        if self.limit.kind == IN_FLIGHT:
            self.in_flight -= 1
            self.last_deadline = self.last_deadline if self.in_flight else 0
        elif not ran:
            self.refill(now)
            self.tokens = min(self.tokens + REQUEST_TOKENS, self.cap)

    def acquire(self, now: int, ends: int = 0) -> LeasedQuota | None:
        """The same; what gives back once the request is over."""
        return self if self.try_acquire(now, ends) else None

    def retry_after(self, now: int) -> int:
        """When one that was rejected may come again, as far as that is known here."""
        if self.limit.kind == IN_FLIGHT:
            return SECOND // 4
        mine = self.known(now)
        # Its turn in the queue of those who ask: not sooner than all that was rejected of late
        # would pass.
        due = (REQUEST_TOKENS - self.tokens) // mine if mine and self.tokens < REQUEST_TOKENS else 0
        self.fold(now)
        others = (
            int(self.refused.read(now)) * REQUEST_TOKENS // max(1, mine) // 2
            if mine
            else LEASE_DURATION
        )
        return max(10 * MS, min(due + others, 10 * SECOND))

    # What is needed, and who has it.

    def fold(self, now: int) -> None:
        """Add what was counted since to the sums that fade."""
        self.wanted.add(now, self.asks)
        self.refused.add(now, self.refusals)
        self.asks = self.refusals = 0

    def compute_need(self, now: int) -> int:
        """What this member had better have: what is asked for, and what chance may add."""
        self.fold(now)
        asked = self.wanted.read(now)
        if (now - self.wanted_at) * asked > GAP * LOOK:
            return (
                self.in_flight
            )  # a pause that chance does not make: whoever asked here now asks elsewhere
        if self.limit.kind == IN_FLIGHT:
            more = self.refused.read(now)
            return (
                int(self.in_flight + more + 2 * sqrt(self.in_flight + more) + (asked > 0.05))
                if asked > 0.05
                else 0
            )
        if asked < 0.05:
            return 0
        rate = int((asked + 2 * sqrt(asked) + 0.5) * 1000 * SECOND / LOOK)
        # A bucket has to hold a whole request, or none ever passes.
        whole = -(-self.limit.amount // max(1, self.limit.burst))
        return min(self.limit.amount, max(rate, whole))

    def compute_spare(self, now: int) -> int:
        """What may be lent: of its own home alone, beyond its own need and what is in flight."""
        if now < self.fenced_until:
            return 0
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return max(0, self.home_quota - lent - max(self.compute_need(now), self.in_flight))

    def on_timer(self, now: int, there: Iterable[int]) -> None:
        """Once in a while: ask for more, ask anew for what is needed, give back what is not."""
        self.on_leases_changed(now)
        for nonce in [
            nonce for nonce, asked in self.pending.items() if now - asked.requested_at > ANSWER
        ]:
            del self.pending[nonce]
        compute_need, mine = self.compute_need(now), self.known(now)
        surplus = mine - compute_need
        for nonce, lease in sorted(self.borrowed.items(), key=lambda one: one[1].amount):
            if 0 < lease.amount <= surplus and self.fits_without(lease, now):
                surplus -= lease.amount
                del self.borrowed[nonce]
                self.pending.pop(nonce, None)
                self.say(lease.member, LEASE_RETURN, nonce, lease.amount, 0)
            elif lease.expires_at - now < self.renewal_threshold and nonce not in self.pending:
                # Each time another turn, answered or not: an answer that comes late must not count
                # from now.
                lease.renewal += 1
                self.send_request(now, lease.member, lease.amount, nonce, lease.renewal)
        self.on_leases_changed(now)
        lacking = (
            compute_need
            - self.known(now)
            - sum(
                asked.amount for nonce, asked in self.pending.items() if nonce not in self.borrowed
            )
        )
        if lacking > 0:
            self.request_from_members(now, lacking, there)

    def fits_without(self, lease: Lease, now: int) -> bool:
        """Whether all that is out fits, to its end, into what is left without a loan."""
        if self.limit.kind == RATE:
            return True
        left = self.compute_available(now, self.last_deadline) - lease.amount * (
            lease.expires_at > self.last_deadline
        )
        return self.in_flight <= min(left, self.compute_available(now) - lease.amount)

    def request_from_members(self, now: int, lacking: int, there: Iterable[int]) -> None:
        """Ask some of the others, each for a part; who has just had nothing comes later."""
        chosen = [
            one for one in there if now - self.declined_at.get(one, -SECOND) > 2 * TIMER_INTERVAL
        ]
        self.shuffle(chosen)
        chosen = chosen[:MAX_MEMBERS_ASKED]
        for one in chosen:
            if len(self.pending) + len(self.borrowed) < MAX_LEASES:
                self.send_request(now, one, -(-lacking // len(chosen)), self.bits(62) | 1, 0)

    def send_request(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        self.pending[nonce] = PendingLease(other, amount, now, turn)
        self.say(other, LEASE_REQUEST, nonce, amount, turn)

    def say(self, other: int, kind: int, nonce: int, amount: int, turn: int) -> None:
        self.out.append(
            (other, QuotaMessage(kind, self.limit.wire_id, nonce, amount, turn, self.limit.key))
        )

    # What others say.

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None:
        """A message about this limit."""
        if deal.kind == LEASE_REQUEST:
            self.on_request(deal, other, now)
        elif deal.kind == LEASE_GRANT:
            self.on_grant(deal, other, now)
        else:
            lease = self.lent.get(deal.nonce)
            if lease is not None and lease.member == other:
                del self.lent[deal.nonce]
                self.on_leases_changed(now)

    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        """Lend what can be spared; asked anew, for longer, as far as it is not needed here."""
        lease = self.lent.get(deal.nonce)
        if lease is not None and (lease.member != other or lease.expires_at <= now):
            return
        amount = lease.amount if lease else min(deal.amount, self.compute_spare(now))
        if lease is not None and (
            deal.sequence <= lease.renewal or self.compute_need(now) > self.known(now)
        ):
            return  # an old message, or it is needed here: the loan ends by itself
        if amount > 0 and (lease or len(self.lent) < MAX_LEASES):
            # Off here first, and for longer than there.
            self.lent[deal.nonce] = Lease(
                other, amount, now + self.lend_duration + LEASE_GRACE, deal.sequence
            )
            self.on_leases_changed(now)
        else:
            amount = 0
        self.say(other, LEASE_GRANT, deal.nonce, amount, deal.sequence)

    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        """A loan, if it is the one that was asked for last: its span runs from when it was asked for."""
        asked = self.pending.get(deal.nonce)
        if asked is None or asked.member != other or asked.renewal != deal.sequence:
            return  # of another turn, another run, or given back since
        del self.pending[deal.nonce]
        if deal.amount <= 0:
            self.declined_at[other] = now
            while len(self.declined_at) > MAX_LEASES:
                del self.declined_at[next(iter(self.declined_at))]
            return
        until = asked.requested_at + self.borrow_duration
        held = self.borrowed.get(deal.nonce)
        if until > now and (held or not asked.renewal):
            self.borrowed[deal.nonce] = Lease(
                other, min(deal.amount, asked.amount), until, deal.sequence
            )
            self.on_leases_changed(now)

    # Another division.

    def set_home_quota(self, home: int, now: int, at_once: bool = True) -> None:
        """This member's part by another division."""
        if home != self.home_quota:
            self.home_quota = home
            self.on_leases_changed(now)

    def update_lease_durations(self, before: int) -> None:
        """While some may go by another span lend for the longer of both, and borrow for the shorter."""
        self.lend_duration = max(before, self.limit.lease_duration)
        self.borrow_duration = min(before or self.limit.lease_duration, self.limit.lease_duration)

    def fits_allocation(self, now: int) -> bool:
        """Whether what is lent and in flight fits into what there is: what was more before is over."""
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return lent <= self.home_quota and self.in_flight <= max(self.compute_available(now), 0)

    def is_idle(self, now: int) -> bool:
        """Whether nothing is lost if this one is forgotten: it is as it would begin."""
        quiet = (
            not (self.lent or self.borrowed or self.pending or self.in_flight)
            and now >= self.fenced_until
        )
        return (
            quiet
            and now - self.wanted_at > LEASE_DURATION
            and (
                self.limit.kind != RATE
                or self.tokens + self.mine * (now - self.level_at) >= self.cap
            )
        )

    def status_row(self, now: int) -> dict[str, Any]:
        """How it stands, for people."""
        return {
            "home": self.home_quota,
            "mine": self.known(now),
            "need": self.compute_need(now),
            "used": self.in_flight,
            "lent": sum(one.amount for one in self.lent.values()),
            "borrowed": sum(one.amount for one in self.borrowed.values()),
        }
