"""Keep a fleet-wide limit by leases: how much this member may use, and whom it asks for more.

A limit is divided into home quotas, one for each member that the operator's file names; they add
up to the limit. A member leases what it does not need of its home quota to others for a limited
time. The lender subtracts the amount first; the borrower's lease runs from when it sent the
request, the lender's from when it granted it, and longer. So whatever message is lost, late or
duplicated, and whichever members are partitioned or killed, the sum of what all members may use
never exceeds the limit; at worst part of it stays unused until a lease has expired. The reasoning
is in docs/design/limits.md.

Free of I/O: the time, messages and randomness are passed in. Amounts are integers: requests in
flight, or thousandths of a request per second. Must never use, or lend, what may be in use
elsewhere.
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
# A lost message leaves the leased amount unused for this long.
LEASE_DURATION = 2 * SECOND
# How much longer the lender waits: covers a late event loop and clocks that drift apart by 1%.
LEASE_GRACE = SECOND // 4
# Tokens of one request; a bucket counts thousandths of a request per second times nanoseconds.
REQUEST_TOKENS = 10**12
TIMER_INTERVAL = SECOND // 10  # between calls of `on_timer`
MAX_MEMBERS_ASKED = 6  # in one call of `on_timer`
MAX_LEASES = 256  # of one limit, in each direction
DEMAND_WINDOW = SECOND * 4 // 10  # short enough that a burst of one second shows
# A pause of so many mean distances between requests means that demand has moved elsewhere: by
# chance it happens once in 3,000 requests.
IDLE_GAP = 8.0
MIN_DEMAND = 0.05  # requests in the demand window below which there is no demand
LEASE_REQUEST_TIMEOUT = SECOND // 2
DECLINE_BACKOFF = 2 * TIMER_INTERVAL  # before a member that had nothing to lend is asked again
IN_FLIGHT_RETRY_AFTER = SECOND // 4
MIN_RETRY_AFTER = 10 * MS
MAX_RETRY_AFTER = 10 * SECOND
RATE, IN_FLIGHT, COUNT, CONNECTIONS = "rate", "in_flight", "count", "connections"


@dataclass(frozen=True)
class Limit:
    """A limit of the whole fleet that is never exceeded."""

    name: str
    kind: str  # RATE, IN_FLIGHT, COUNT or CONNECTIONS; connections count as in flight, unleased
    amount: int  # thousandths of a request per second, or requests
    homes: tuple[str, ...]  # names of the members that hold a home quota
    burst: int = 0  # of a rate: most requests that may pass at once
    # Nanoseconds. For requests in flight it is over twice the longest timeout.
    lease_duration: int = LEASE_DURATION
    window: str = ""  # of a count: the unit and time zone of its calendar windows
    key: int = 0  # identifies the tenant or upstream, where each has the limit for itself

    @property
    def wire_id(self) -> int:
        """Return the number by which messages refer to this limit."""
        return pool_hash("limit/" + self.name)

    def home_quota(self, name: str) -> int:
        """Return the part of a member, 0 if it holds none; all parts add up to the amount."""
        if name not in self.homes:
            return 0
        whole, rest = divmod(self.amount, len(self.homes))
        return whole + (self.homes.index(name) < rest)

    def epoch(self) -> int:
        """Return a number that is the same for the same division into home quotas."""
        window = f"/{self.window}" * bool(self.window)
        duration = f"/{self.lease_duration}" * (self.lease_duration != LEASE_DURATION)
        return pool_hash(
            f"{self.name}/{self.kind}/{self.amount}/{self.burst}/{','.join(self.homes)}{window}{duration}"
        )


@dataclass(slots=True)
class Lease:
    """An amount that one member has leased to another."""

    member: int  # the other side
    amount: int
    expires_at: int  # by this side's own account
    renewal: int = 0  # number of the last renewal


@dataclass(slots=True)
class PendingLease:
    """A requested lease, or a requested renewal, that has no answer yet."""

    member: int
    amount: int
    requested_at: int
    renewal: int


class LeasedQuota:
    """One member's part of one limit: its home quota, less what it lent, plus what it borrowed."""

    def __init__(self, limit: Limit, name: str, now: int, chance: Random, fence: int) -> None:
        """Start without leases; the home quota is unusable for the fencing interval `fence` (ns).

        The fence waits for leases that a previous run of this member granted, and for its requests
        that are still being served by upstreams.
        """
        self.limit = limit
        self.name = name
        self.random_bits = chance.getrandbits
        self.shuffle = chance.shuffle
        self.home_quota = limit.home_quota(name)
        self.fenced_until = now + fence
        self.lend_duration = limit.lease_duration
        self.borrow_duration = limit.lease_duration
        self.lent: dict[int, Lease] = {}  # by nonce, as are the next two
        self.borrowed: dict[int, Lease] = {}
        self.pending: dict[int, PendingLease] = {}
        self.in_flight = 0  # requests
        self.last_deadline = 0  # of the requests in flight
        self.tokens = 0  # of a rate's token bucket
        self.tokens_updated_at = now
        self.bucket_capacity = 0
        self.available = 0  # what may be used until `available_until`
        self.available_until = now
        self.demand = DecayingSum(DEMAND_WINDOW, now)
        self.rejections = DecayingSum(DEMAND_WINDOW, now)
        self.last_request_at = now
        # Not yet added to the two sums above: adding to a decaying sum at each request costs more.
        self.new_requests = 0
        self.new_rejections = 0
        # Of requests in flight: what stays available over `horizon`, and until when that holds.
        self.stable_available = 0
        self.stable_until = now
        self.horizon = limit.lease_duration // 3  # covers the timeouts of usual requests
        self.declined_at: dict[int, int] = {}  # by member: when it had nothing to lend
        self.admitted = 0
        self.rejected = 0
        self.out: list[tuple[int, QuotaMessage]] = []  # messages to send, each with its receiver

    @property
    def renewal_threshold(self) -> int:
        """Return the remaining time of a lease below which it is renewed."""
        if self.limit.kind == RATE:
            return self.borrow_duration // 2
        return 3 * self.borrow_duration // 4

    # What may be used.

    def compute_available(self, now: int, deadline: int = 0) -> int:
        """Return what may be used now, of borrowed leases only those that last past `deadline`."""
        home = self.home_quota if now >= self.fenced_until else 0
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        borrowed = sum(
            lease.amount
            for lease in self.borrowed.values()
            if lease.expires_at > max(now, deadline)
        )
        return max(0, home - lent) + borrowed

    def get_available(self, now: int) -> int:
        """Return what may be used now, computed anew only after a lease or the fence has ended."""
        if now >= self.available_until:
            self.refill(now)
        return self.available

    def refill(self, now: int) -> None:
        """Refill the token bucket, step by step as leases expire, and remove expired leases."""
        while True:
            step = min(now, self.available_until)
            if step > self.tokens_updated_at:
                self.tokens = min(
                    self.tokens + self.available * (step - self.tokens_updated_at),
                    self.bucket_capacity,
                )
                self.tokens_updated_at = step
            if self.available_until > now:
                return
            at = self.available_until
            self.available = self.compute_available(at)
            self.bucket_capacity = self.compute_bucket_capacity(self.available)
            self.tokens = min(self.tokens, self.bucket_capacity)
            changes = [
                lease.expires_at
                for lease in (*self.lent.values(), *self.borrowed.values())
                if lease.expires_at > at
            ]
            if self.fenced_until > at:
                changes.append(self.fenced_until)
            self.available_until = min(changes, default=at + LEASE_DURATION)
            for leases in (self.lent, self.borrowed):
                for nonce in [nonce for nonce, lease in leases.items() if lease.expires_at <= at]:
                    del leases[nonce]

    def on_leases_changed(self, now: int) -> None:
        """Recompute what is available after something was lent, borrowed or returned."""
        self.refill(now)
        self.available_until = now
        self.stable_until = now
        self.refill(now)

    def compute_bucket_capacity(self, available: int) -> int:
        """Return the tokens that the bucket may hold: the member's part of the burst."""
        return self.limit.burst * REQUEST_TOKENS * available // max(1, self.limit.amount)

    def try_acquire(self, now: int, deadline: int = 0) -> bool:
        """Admit one request if the quota allows it; one in flight is over by `deadline`."""
        self.new_requests += 1
        self.last_request_at = now
        if self.limit.kind == RATE:
            if now >= self.available_until:
                self.refill(now)
            else:
                self.tokens = min(
                    self.tokens + self.available * (now - self.tokens_updated_at),
                    self.bucket_capacity,
                )
                self.tokens_updated_at = now
            allowed = self.tokens >= REQUEST_TOKENS
            self.tokens -= REQUEST_TOKENS * allowed
        else:
            # All requests in flight and this one fit into what is available when this one ends,
            # and so at each moment until then.
            allowed = self.in_flight < self.available_through(now, deadline)
            self.in_flight += allowed
            self.last_deadline = (
                max(self.last_deadline, deadline) if allowed else self.last_deadline
            )
        if allowed:
            self.admitted += 1
        else:
            self.rejected += 1
            self.new_rejections += 1
        return allowed

    def available_through(self, now: int, deadline: int) -> int:
        """Return what stays available until `deadline`, cached for deadlines within the horizon."""
        if deadline - now > self.horizon:
            return self.compute_available(now, deadline)
        if now >= self.stable_until:
            later = now + self.horizon
            self.stable_available = self.compute_available(now, later)
            changes = [
                lease.expires_at - self.horizon
                for lease in self.borrowed.values()
                if lease.expires_at > later
            ]
            changes += [lease.expires_at for lease in self.lent.values() if lease.expires_at > now]
            if self.fenced_until > now:
                changes.append(self.fenced_until)
            self.stable_until = min(changes, default=now + LEASE_DURATION)
        return self.stable_available

    def release(self, now: int, ran: bool = True) -> None:
        """Release a request that is over; one of a rate that never ran returns its token."""
        if self.limit.kind == IN_FLIGHT:
            self.in_flight -= 1
            self.last_deadline = self.last_deadline if self.in_flight else 0
        elif not ran:
            self.refill(now)
            self.tokens = min(self.tokens + REQUEST_TOKENS, self.bucket_capacity)

    def acquire(self, now: int, deadline: int = 0) -> LeasedQuota | None:
        """Admit one request as `try_acquire` does; return what releases it, None if rejected."""
        return self if self.try_acquire(now, deadline) else None

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a rejected request may be retried, as an estimate."""
        if self.limit.kind == IN_FLIGHT:
            return IN_FLIGHT_RETRY_AFTER
        available = self.get_available(now)
        due = (
            (REQUEST_TOKENS - self.tokens) // available
            if available and self.tokens < REQUEST_TOKENS
            else 0
        )
        # Half of the recently rejected requests pass first: they are expected to be retried too.
        self.flush_counters(now)
        rejected = int(self.rejections.read(now))
        others = (
            rejected * REQUEST_TOKENS // max(1, available) // 2 if available else LEASE_DURATION
        )
        return max(MIN_RETRY_AFTER, min(due + others, MAX_RETRY_AFTER))

    # What is needed, and who has it.

    def flush_counters(self, now: int) -> None:
        """Add the requests counted since the last call to the decaying sums."""
        self.demand.add(now, self.new_requests)
        self.rejections.add(now, self.new_rejections)
        self.new_requests = 0
        self.new_rejections = 0

    def compute_need(self, now: int) -> int:
        """Return what this member should hold: its demand and a margin of two deviations."""
        self.flush_counters(now)
        demand = self.demand.read(now)
        if (now - self.last_request_at) * demand > IDLE_GAP * DEMAND_WINDOW:
            return self.in_flight
        if self.limit.kind == IN_FLIGHT:
            wanted = self.in_flight + self.rejections.read(now)
            if demand <= MIN_DEMAND:
                return 0
            return int(wanted + 2 * sqrt(wanted) + 1)
        if demand < MIN_DEMAND:
            return 0
        rate = int((demand + 2 * sqrt(demand) + 0.5) * 1000 * SECOND / DEMAND_WINDOW)
        # A bucket that can't hold the tokens of one request never admits any.
        least = -(-self.limit.amount // max(1, self.limit.burst))
        return min(self.limit.amount, max(rate, least))

    def compute_spare(self, now: int) -> int:
        """Return what may be lent: the home quota beyond own need and requests in flight.

        What is borrowed is never lent on.
        """
        if now < self.fenced_until:
            return 0
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return max(0, self.home_quota - lent - max(self.compute_need(now), self.in_flight))

    def on_timer(self, now: int, members: Iterable[int]) -> None:
        """Return leases that are not needed, renew the others, and request what is lacking.

        Call it once in each `TIMER_INTERVAL`. `members` are those that can be asked.
        """
        self.on_leases_changed(now)
        timed_out = [
            nonce
            for nonce, request in self.pending.items()
            if now - request.requested_at > LEASE_REQUEST_TIMEOUT
        ]
        for nonce in timed_out:
            del self.pending[nonce]
        need = self.compute_need(now)
        surplus = self.get_available(now) - need
        for nonce, lease in sorted(self.borrowed.items(), key=lambda item: item[1].amount):
            if 0 < lease.amount <= surplus and self.fits_without(lease, now):
                surplus -= lease.amount
                del self.borrowed[nonce]
                self.pending.pop(nonce, None)
                self.send(lease.member, LEASE_RETURN, nonce, lease.amount, 0)
            elif lease.expires_at - now < self.renewal_threshold and nonce not in self.pending:
                # Each request has a new renewal number, whether the last one was answered or not:
                # a late answer to an earlier request must not count from the time of this one.
                lease.renewal += 1
                self.send_request(now, lease.member, lease.amount, nonce, lease.renewal)
        self.on_leases_changed(now)
        requested = sum(
            request.amount for nonce, request in self.pending.items() if nonce not in self.borrowed
        )
        lacking = need - self.get_available(now) - requested
        if lacking > 0:
            self.request_from_members(now, lacking, members)

    def fits_without(self, lease: Lease, now: int) -> bool:
        """Return whether all requests in flight fit, until they end, without a borrowed lease."""
        if self.limit.kind == RATE:
            return True
        lasting = self.compute_available(now, self.last_deadline)
        lasting -= lease.amount * (lease.expires_at > self.last_deadline)
        return self.in_flight <= min(lasting, self.compute_available(now) - lease.amount)

    def request_from_members(self, now: int, lacking: int, members: Iterable[int]) -> None:
        """Request what is lacking in equal parts from some members, drawn at random.

        Members that have recently declined are left out.
        """
        chosen = [
            member
            for member in members
            if now - self.declined_at.get(member, -SECOND) > DECLINE_BACKOFF
        ]
        self.shuffle(chosen)
        chosen = chosen[:MAX_MEMBERS_ASKED]
        for member in chosen:
            if len(self.pending) + len(self.borrowed) < MAX_LEASES:
                amount = -(-lacking // len(chosen))
                self.send_request(now, member, amount, self.random_bits(62) | 1, 0)

    def send_request(self, now: int, member: int, amount: int, nonce: int, renewal: int) -> None:
        """Request a lease, or its renewal with the lease's nonce."""
        self.pending[nonce] = PendingLease(member, amount, now, renewal)
        self.send(member, LEASE_REQUEST, nonce, amount, renewal)

    def send(self, member: int, kind: int, nonce: int, amount: int, renewal: int) -> None:
        """Queue a message for a member."""
        message = QuotaMessage(kind, self.limit.wire_id, nonce, amount, renewal, self.limit.key)
        self.out.append((member, message))

    # Messages of other members.

    def on_message(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Handle a message about this limit."""
        if message.kind == LEASE_REQUEST:
            self.on_request(message, sender, now)
        elif message.kind == LEASE_GRANT:
            self.on_grant(message, sender, now)
        else:
            lease = self.lent.get(message.nonce)
            if lease is not None and lease.member == sender:
                del self.lent[message.nonce]
                self.on_leases_changed(now)

    def on_request(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Grant a lease as far as there is spare quota; renew one that is not needed here.

        A request that is declined is answered with the amount 0.
        """
        lease = self.lent.get(message.nonce)
        if lease is not None and (lease.member != sender or lease.expires_at <= now):
            return
        amount = lease.amount if lease else min(message.amount, self.compute_spare(now))
        if lease is not None and (
            message.sequence <= lease.renewal or self.compute_need(now) > self.get_available(now)
        ):
            return  # an outdated message, or the lease is needed here and is left to expire
        if amount > 0 and (lease or len(self.lent) < MAX_LEASES):
            # Subtracted here before the borrower adds it, and for longer than it holds there.
            expires_at = now + self.lend_duration + LEASE_GRACE
            self.lent[message.nonce] = Lease(sender, amount, expires_at, message.sequence)
            self.on_leases_changed(now)
        else:
            amount = 0
        self.send(sender, LEASE_GRANT, message.nonce, amount, message.sequence)

    def on_grant(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Add a lease if it answers the last request; it runs from when that was sent."""
        request = self.pending.get(message.nonce)
        if request is None or request.member != sender or request.renewal != message.sequence:
            return  # answers an earlier renewal, an earlier run, or a lease returned since
        del self.pending[message.nonce]
        if message.amount <= 0:
            self.declined_at[sender] = now
            while len(self.declined_at) > MAX_LEASES:
                del self.declined_at[next(iter(self.declined_at))]
            return
        expires_at = request.requested_at + self.borrow_duration
        held = self.borrowed.get(message.nonce)
        if expires_at > now and (held or not request.renewal):
            amount = min(message.amount, request.amount)
            self.borrowed[message.nonce] = Lease(sender, amount, expires_at, message.sequence)
            self.on_leases_changed(now)

    # Another allocation.

    def set_home_quota(self, home_quota: int, now: int, at_once: bool = True) -> None:
        """Use the home quota of another allocation."""
        if home_quota != self.home_quota:
            self.home_quota = home_quota
            self.on_leases_changed(now)

    def update_lease_durations(self, previous: int) -> None:
        """Lend for the longer and borrow for the shorter of the previous and the new duration.

        While an allocation changes some members may still use the previous duration (0: none).
        """
        self.lend_duration = max(previous, self.limit.lease_duration)
        self.borrow_duration = min(previous or self.limit.lease_duration, self.limit.lease_duration)

    def fits_allocation(self, now: int) -> bool:
        """Return whether what is lent and in flight fits into the present home quota.

        If not, part of a larger home quota is still in use.
        """
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return lent <= self.home_quota and self.in_flight <= max(self.compute_available(now), 0)

    def is_idle(self, now: int) -> bool:
        """Return whether it is in its initial state, so that nothing is lost by removing it."""
        if self.lent or self.borrowed or self.pending or self.in_flight:
            return False
        if now < self.fenced_until or now - self.last_request_at <= LEASE_DURATION:
            return False
        tokens = self.tokens + self.available * (now - self.tokens_updated_at)
        return self.limit.kind != RATE or tokens >= self.bucket_capacity

    def status_row(self, now: int) -> dict[str, Any]:
        """Return its state for the operator's tables."""
        return {
            "home": self.home_quota,
            "mine": self.get_available(now),
            "need": self.compute_need(now),
            "used": self.in_flight,
            "lent": sum(lease.amount for lease in self.lent.values()),
            "borrowed": sum(lease.amount for lease in self.borrowed.values()),
        }
