"""Decides which limits of the whole fleet a request passes, and puts them where pools look.

By the pools, routes and tenants that the file names; what is limited at upstreams comes to the
decisions as a plain number, how many more each may be sent. Must never count a request in a limit
twice, or a client's repeat of a request that a tenant's limit has counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from whinpier.fleet.quotas.allocation import LimitConfig, QuotaAllocation, QuotaTable
from whinpier.fleet.quotas.leases import CONNECTIONS, LeasedQuota
from whinpier.policy.decaying_sum import SECOND
from whinpier.runtime.pool import Endpoint, Limiter, Permit, Pool, stable_hash

if TYPE_CHECKING:
    from whinpier.runtime.event_loop import EventLoop

MOST_TICKETS = (
    65_536  # of requests that tenants' limits have counted, remembered to know their repeats
)
REMEMBERED = 30 * SECOND  # for longer no client waits and asks again
NOBODY = "none"  # whose requests name no tenant


class LimitChain:
    """What requests of one pool pass, by the route they came and the tenant they are of."""

    def __init__(self, gates: LimitEnforcer, those: list[LimitConfig]) -> None:
        self.gates = gates
        self.plain: list[tuple[frozenset[str], Limiter]] = []  # by which routes (empty: any)
        self.tenants: list[tuple[frozenset[str], QuotaTable]] = []
        for said in those:
            routes = frozenset(said.routes)
            if said.is_approximate:
                self.plain.append(
                    (routes, gates.quota_allocation.approximate_quotas[said.limit.name])
                )
            elif said.scope:
                self.tenants.append((routes, gates.quota_allocation.tables[said.limit.name]))
            else:
                self.plain.append(
                    (routes, gates.quota_allocation.tables[said.limit.name].sole_quota)
                )

    def everywhere(self) -> tuple[Limiter, ...]:
        """Those that every request passes."""
        return tuple(gate for routes, gate in self.plain if not routes)

    def asks(self) -> bool:
        """Whether route or tenant matter."""
        return bool(self.tenants or self.gates.closed_until) or any(
            routes for routes, _ in self.plain
        )

    def gates_for(self, route: str, tenant: bytes, ticket: bytes, again: bool) -> list[Limiter]:
        """What one request passes beside that; `again`: its client says that it asked for it before."""
        if shut := self.gates.shut(route, tenant):
            return [shut]
        found = [gate for routes, gate in self.plain if routes and route in routes]
        those = [table for routes, table in self.tenants if not routes or route in routes]
        if those:
            name = tenant.decode("latin-1") or NOBODY
            once = TicketGate(self.gates, stable_hash(tenant + b"\0" + ticket)) if ticket else None
            if once and again and once.counted():
                return found
            found += [table.quota_for_name(name) for table in those]
            if once:
                found.append(once)
        return found


class ClosedGate:
    """What an operator has closed for a while: nothing passes."""

    def __init__(self, until: int) -> None:
        self.until = until

    def acquire(self, now: int, ends: int) -> Permit | None:
        return None

    def retry_after(self, now: int) -> int:
        return max(SECOND // 100, self.until - now)


class TicketGate:
    """Remembers a ticket that tenants' limits have counted, once it has passed them all."""

    def __init__(self, gates: LimitEnforcer, key: int) -> None:
        self.tickets, self.key, self.clock = gates.tickets, key, gates.loop.clock

    def counted(self) -> bool:
        return self.tickets.get(self.key, 0) > self.clock()

    def acquire(self, now: int, ends: int) -> Permit:
        self.tickets.pop(self.key, None)
        self.tickets[self.key] = now + REMEMBERED
        while len(self.tickets) > MOST_TICKETS:
            del self.tickets[next(iter(self.tickets))]
        return self

    def release(self, now: int, ran: bool) -> None:
        if not ran:  # it was given back, so that its repeat counts
            self.tickets.pop(self.key, None)

    def retry_after(self, now: int) -> int:
        return 0


class LimitEnforcer:
    """All limits of the process, at its pools."""

    def __init__(self, shares: QuotaAllocation, loop: EventLoop) -> None:
        self.quota_allocation, self.loop = shares, loop
        self.tickets: dict[int, int] = {}  # hashed: until when
        self.at_upstreams: dict[str, list[QuotaTable]] = {}  # by pool
        self.closed_until: dict[
            tuple[str, str], int
        ] = {}  # routes and tenants, by an operator's word: until when

    def attach_pools(self, pools: Iterable[Pool], those: Iterable[LimitConfig]) -> None:
        """Where pools look from now on."""
        listed = list(those)
        for pool in pools:
            own = [said for said in listed if pool.name in said.pools]
            door = LimitChain(self, [said for said in own if said.scope != "upstream"])
            pool.limiters, pool.request_limiters = (
                door.everywhere(),
                door.gates_for if door.asks() else None,
            )
            tables = [
                self.quota_allocation.tables[said.limit.name]
                for said in own
                if said.scope == "upstream"
            ]
            self.at_upstreams[pool.name] = tables
            pool.on_endpoint_added = self.meeter(tables) if tables else None
            for peer in pool.all_endpoints():
                self.meet(peer, tables)

    def shut(self, route: str, tenant: bytes) -> ClosedGate | None:
        """What stands before a request whose route or tenant is closed."""
        if not self.closed_until:
            return None
        until = max(
            self.closed_until.get(("route", route), 0),
            self.closed_until.get(("tenant", tenant.decode("latin-1") or NOBODY), 0),
        )
        return ClosedGate(until) if until > self.loop.clock() else None

    # Upstreams.

    def meeter(self, tables: list[QuotaTable]) -> Callable[[Endpoint], None]:
        return lambda peer: self.meet(peer, tables)

    def meet(self, peer: Endpoint, tables: list[QuotaTable]) -> None:
        """An upstream is there, or its limits are others."""
        peer.limiters = tuple(
            UpstreamLimit(peer, table.quota_for_name(peer.host))  # type: ignore[arg-type]
            for table in tables
            if table.config.limit.kind != CONNECTIONS
        )
        parts = [
            table.quota_for_name(peer.host)
            for table in tables
            if table.config.limit.kind == CONNECTIONS
        ]
        peer.max_connections = min((part.home_quota for part in parts), default=None)
        self.settle(peer, self.loop.clock())

    def settle(self, peer: Endpoint, now: int) -> None:
        """How many more it may be sent just now."""
        spare = float("inf")
        for narrow in peer.limiters:
            assert isinstance(narrow, UpstreamLimit)
            spare = min(spare, narrow.spare(now))
        if peer.max_connections is not None:
            spare = min(spare, peer.max_connections - peer.in_flight())
        peer.spare = spare

    def on_timer(self, now: int, pools: Iterable[Pool]) -> None:
        """Once in a while, as loans come and end: look anew."""
        listed = list(pools)
        for tables in self.at_upstreams.values():
            for table in tables:
                # What is no longer listed goes once nothing of it is out.
                table.pinned = {
                    peer.host
                    for pool in listed
                    if table in self.at_upstreams.get(pool.name, ())
                    for peer in pool.all_endpoints()
                }
        for pool in listed:
            for table in self.at_upstreams.get(pool.name, ()):
                if table.config.limit.kind == CONNECTIONS:
                    for peer in pool.all_endpoints():
                        peer.max_connections = table.quota_for_name(peer.host).home_quota
            for peer in pool.all_endpoints() if self.at_upstreams.get(pool.name) else ():
                if peer.spare <= 0 and peer.statistics is not None and peer.statistics.share > 0.0:
                    for narrow in peer.limiters:
                        assert isinstance(narrow, UpstreamLimit)
                        narrow.lacking()
                self.settle(peer, now)


class UpstreamLimit:
    """A limit at one upstream: requests in flight, from all members together."""

    def __init__(self, peer: Endpoint, part: LeasedQuota) -> None:
        self.peer, self.part = peer, part

    def spare(self, now: int) -> int:
        timeout = max(
            request_class.timeout for request_class in self.peer.pool.spec.request_classes
        )
        return self.part.lasting(now, now + timeout) - self.part.in_flight

    def acquire(self, now: int, ends: int) -> Permit | None:
        if not self.part.try_acquire(now, ends):
            return None
        self.peer.spare -= 1
        return self

    def release(self, now: int, ran: bool) -> None:
        self.part.release(now, ran)
        self.peer.spare += 1

    def retry_after(self, now: int) -> int:
        return self.part.retry_after(now)

    def lacking(self) -> None:
        """More would be sent there if it might."""
        self.part.asks += 1
        self.part.refusals += 1
