"""The world of one limit that members share: messages in any order, lost, doubled, late; crashes,
pauses.

Time goes by in steps of an eighth of a loan's span. A member that is simply not called has paused:
it wakes with what it believed. What is out when a process dies goes on running at its upstream till
its end.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from whinpier.fleet.quotas.leases import IN_FLIGHT, LEASE_DURATION, LEASE_GRACE, LeasedQuota, Limit
from whinpier.model_checking.network import Named, Network

STEP = LEASE_DURATION // 8
LENGTHS = (2, 6)  # steps that a request takes: the longest is its timeout
FENCE = LEASE_DURATION + LEASE_GRACE


class Wishing(LeasedQuota):
    """The real share, but for what is needed: that is the world's choice."""

    wish = 0

    def compute_need(self, now: int) -> int:
        return max(self.wish, self.in_flight)


class Sharing(Network):
    """Members, the network between them, and what runs at upstreams."""

    def __init__(
        self,
        members: int = 2,
        amount: int = 2,
        messages: int = 3,
        times: int = 12,
        crashes: int = 1,
        copies: int = 1,
        make: type[Wishing] = Wishing,
        requests: bool = True,
    ) -> None:
        super().__init__(members, messages, crashes, copies)
        self.limit = Limit("x", IN_FLIGHT, amount, tuple(f"m{n}" for n in range(members)))
        self.make, self.left = make, times
        self.lengths = LENGTHS if requests else ()  # without any only the messages are gone through
        self.wishing = True
        self.shares: list[Wishing] = [self.started(place, 0) for place in range(members)]
        self.requests: list[list[int]] = [
            [] for _ in range(members)
        ]  # ends of what is out, by place
        self.orphans: list[int] = []  # of members that died

    def party(self, place: int) -> Wishing:
        return self.shares[place]

    def deliver(self, place: int, message: Any, sender: int) -> None:
        self.shares[place].on_message(message, sender, self.now)

    def started(self, place: int, fence: int) -> Wishing:
        return self.make(self.limit, f"m{place}", self.now, self.chance(), fence)

    def lent(self) -> Sharing:
        """The same with a loan out, and needs that stay: what is left is renewing it."""
        self.do_wish(0, self.limit.amount)
        self.do_turn(0)
        self.do_come(0)
        self.do_come(0)
        self.wishing = False
        return self

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        for place, share in enumerate(self.shares):
            for length in self.lengths:
                if share.in_flight < self.limit.amount:
                    found.append((f"m{place} takes a task of {length}", ("take", place, length)))
            if self.requests[place]:
                found.append((f"m{place} ends a task", ("end", place)))
            for wish in (0, self.limit.amount) if self.wishing else ():
                if wish != share.wish:
                    found.append((f"m{place} needs {wish}", ("wish", place, wish)))
            if len(self.network) < self.messages:
                found.append((f"m{place} looks round", ("turn", place)))
            if self.crashes:
                found.append((f"m{place} dies and starts", ("crash", place)))
        return found + self.usual_steps()

    def do_take(self, place: int, length: int) -> None:
        ends = self.now + length * STEP
        if self.shares[place].try_acquire(self.now, ends):
            self.requests[place].append(ends)

    def do_end(self, place: int) -> None:
        self.requests[place].remove(min(self.requests[place]))
        self.shares[place].release(self.now)

    def do_wish(self, place: int, wish: int) -> None:
        self.shares[place].wish = wish

    def do_turn(self, place: int) -> None:
        self.shares[place].on_timer(self.now, self.others(place))
        self.send(place)

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.orphans += self.requests[place]
        self.requests[place] = []
        self.runs[place] += 100
        self.shares[place] = self.started(place, FENCE)

    def do_time(self) -> None:
        self.left -= 1
        self.now += STEP
        # Whatever is out has its end, also where its member is paused or dead.
        for place, requests in enumerate(self.requests):
            for ends in [ends for ends in requests if ends <= self.now]:
                requests.remove(ends)
                self.shares[place].release(self.now)
        self.orphans = [ends for ends in self.orphans if ends > self.now]

    def broken(self) -> str:
        out = sum(map(len, self.requests)) + len(self.orphans)
        if out > self.limit.amount:
            return f"{out} in flight of {self.limit.amount}"
        may = sum(max(share.compute_available(self.now), share.in_flight) for share in self.shares)
        if may > self.limit.amount:
            return f"{may} may be used of {self.limit.amount}"
        return ""

    def mark(self) -> Hashable:
        """Times as they lie from now, numbers of loans in the order in which they are met."""
        name = Named()
        shares = tuple(
            (
                share.in_flight,
                share.wish,
                max(0, share.fenced_until - self.now),
                max(0, share.last_deadline - self.now),
                tuple(
                    (
                        name(nonce),
                        lease.member,
                        lease.amount,
                        lease.expires_at - self.now,
                        lease.renewal,
                    )
                    for nonce, lease in share.lent.items()
                    if lease.expires_at > self.now
                ),
                tuple(
                    (
                        name(nonce),
                        lease.member,
                        lease.amount,
                        lease.expires_at - self.now,
                        lease.renewal,
                    )
                    for nonce, lease in share.borrowed.items()
                    if lease.expires_at > self.now
                ),
                tuple(
                    (
                        name(nonce),
                        asked.member,
                        asked.amount,
                        asked.requested_at - self.now,
                        asked.renewal,
                    )
                    for nonce, asked in share.pending.items()
                ),
                tuple(
                    (who, at - self.now)
                    for who, at in share.declined_at.items()
                    if self.now - at <= STEP
                ),
            )
            for share in self.shares
        )
        network = tuple(
            sorted(
                (sender, to, deal.kind, name(deal.nonce), deal.amount, deal.sequence)
                for sender, to, deal in self.network
            )
        )
        requests = tuple(
            tuple(sorted(ends - self.now for ends in those))
            for those in (*self.requests, self.orphans)
        )
        return shares, network, requests, tuple(self.runs), self.left, self.crashes, self.copies
