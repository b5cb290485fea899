"""Decide which fleet-wide limits a request passes, and install them at the pools.

Limits apply by the pools, routes and tenants that the file names. Limits at upstreams reach the
policy as a plain number: how many more requests each upstream may be sent. Must never count a
request twice in one limit, or count a client's retry of a request that a tenant's limit has counted
already.
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

MAX_TICKETS = 65_536  # remembered tickets of requests that tenants' limits have counted
TICKET_LIFETIME = 30 * SECOND  # no client waits longer before it retries
NO_TENANT = "none"  # stands for requests without a tenant
MIN_RETRY_AFTER = SECOND // 100


class LimitChain:
    """The limits that requests of one pool pass, by their route and tenant."""

    def __init__(self, enforcer: LimitEnforcer, configs: list[LimitConfig]) -> None:
        """Collect the limits of the pool; each is kept with its routes, none meaning any route."""
        self.enforcer = enforcer
        self.limiters: list[tuple[frozenset[str], Limiter]] = []
        self.tenant_tables: list[tuple[frozenset[str], QuotaTable]] = []
        allocation = enforcer.quota_allocation
        for config in configs:
            routes = frozenset(config.routes)
            name = config.limit.name
            if config.is_approximate:
                self.limiters.append((routes, allocation.approximate_quotas[name]))
            elif config.scope:
                self.tenant_tables.append((routes, allocation.tables[name]))
            else:
                self.limiters.append((routes, allocation.tables[name].sole_quota))

    def common_limiters(self) -> tuple[Limiter, ...]:
        """Return the limits that every request passes."""
        return tuple(limiter for routes, limiter in self.limiters if not routes)

    def depends_on_request(self) -> bool:
        """Return whether a request's route or tenant matters."""
        if self.tenant_tables or self.enforcer.closed_until:
            return True
        return any(routes for routes, _ in self.limiters)

    def limiters_for(
        self, route: str, tenant: bytes, ticket: bytes, is_retry: bool
    ) -> list[Limiter]:
        """Return the limits that one request passes in addition to the common ones.

        `is_retry` tells that its client has sent it before, with the same ticket.
        """
        if closed := self.enforcer.find_closed(route, tenant):
            return [closed]
        found = [limiter for routes, limiter in self.limiters if routes and route in routes]
        tables = [table for routes, table in self.tenant_tables if not routes or route in routes]
        if tables:
            name = tenant.decode("latin-1") or NO_TENANT
            ticket_limiter = None
            if ticket:
                ticket_limiter = TicketLimiter(self.enforcer, stable_hash(tenant + b"\0" + ticket))
            if ticket_limiter and is_retry and ticket_limiter.is_counted():
                return found
            found += [table.quota_for_name(name) for table in tables]
            if ticket_limiter:
                found.append(ticket_limiter)
        return found


class ClosedLimiter:
    """Rejects all requests of a route or tenant that an operator has closed for a while."""

    def __init__(self, until: int) -> None:
        """Reject requests until this time."""
        self.until = until

    def acquire(self, now: int, deadline: int) -> Permit | None:
        """Reject the request."""
        return None

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds until it opens."""
        return max(MIN_RETRY_AFTER, self.until - now)


class TicketLimiter:
    """Remembers the ticket of a request that has passed all limits of its tenant.

    It admits every request, and comes last so that a rejected one leaves no ticket.
    """

    def __init__(self, enforcer: LimitEnforcer, key: int) -> None:
        """Use `key`, the hash of tenant and ticket."""
        self.tickets = enforcer.tickets
        self.key = key
        self.clock = enforcer.loop.clock

    def is_counted(self) -> bool:
        """Return whether a request with this ticket was counted recently."""
        return self.tickets.get(self.key, 0) > self.clock()

    def acquire(self, now: int, deadline: int) -> Permit:
        """Remember the ticket, as the newest one."""
        self.tickets.pop(self.key, None)
        self.tickets[self.key] = now + TICKET_LIFETIME
        while len(self.tickets) > MAX_TICKETS:
            del self.tickets[next(iter(self.tickets))]
        return self

    def release(self, now: int, ran: bool) -> None:
        """Forget the ticket of a request that never ran: its quota was returned."""
        if not ran:
            self.tickets.pop(self.key, None)

    def retry_after(self, now: int) -> int:
        """Return 0, as it rejects nothing."""
        return 0


class LimitEnforcer:
    """Installs all limits of the process at its pools."""

    def __init__(self, quota_allocation: QuotaAllocation, loop: EventLoop) -> None:
        """Start without pools; `attach_pools` installs the limits."""
        self.quota_allocation = quota_allocation
        self.loop = loop
        self.tickets: dict[int, int] = {}  # by hash of tenant and ticket: when it expires
        self.upstream_tables: dict[str, list[QuotaTable]] = {}  # by pool
        # Closed by an operator: ("route" or "tenant", name) and until when.
        self.closed_until: dict[tuple[str, str], int] = {}

    def attach_pools(self, pools: Iterable[Pool], configs: Iterable[LimitConfig]) -> None:
        """Install these limits at these pools, in place of earlier ones."""
        all_configs = list(configs)
        for pool in pools:
            own = [config for config in all_configs if pool.name in config.pools]
            chain = LimitChain(self, [config for config in own if config.scope != "upstream"])
            pool.limiters = chain.common_limiters()
            pool.request_limiters = chain.limiters_for if chain.depends_on_request() else None
            tables = [
                self.quota_allocation.tables[config.limit.name]
                for config in own
                if config.scope == "upstream"
            ]
            self.upstream_tables[pool.name] = tables
            pool.on_endpoint_added = self.upstream_attacher(tables) if tables else None
            for endpoint in pool.all_endpoints():
                self.attach_upstream(endpoint, tables)

    def find_closed(self, route: str, tenant: bytes) -> ClosedLimiter | None:
        """Return what rejects a request whose route or tenant is closed, else None."""
        if not self.closed_until:
            return None
        until = max(
            self.closed_until.get(("route", route), 0),
            self.closed_until.get(("tenant", tenant.decode("latin-1") or NO_TENANT), 0),
        )
        return ClosedLimiter(until) if until > self.loop.clock() else None

    # Upstreams.

    def upstream_attacher(self, tables: list[QuotaTable]) -> Callable[[Endpoint], None]:
        """Return what a pool calls with each new upstream."""
        return lambda endpoint: self.attach_upstream(endpoint, tables)

    def attach_upstream(self, endpoint: Endpoint, tables: list[QuotaTable]) -> None:
        """Install the limits of an upstream that is new, or whose limits have changed."""
        endpoint.limiters = tuple(
            UpstreamLimit(endpoint, table.quota_for_name(endpoint.host))  # type: ignore[arg-type]
            for table in tables
            if table.config.limit.kind != CONNECTIONS
        )
        connection_quotas = [
            table.quota_for_name(endpoint.host)
            for table in tables
            if table.config.limit.kind == CONNECTIONS
        ]
        endpoint.max_connections = min(
            (quota.home_quota for quota in connection_quotas), default=None
        )
        self.update_spare(endpoint, self.loop.clock())

    def update_spare(self, endpoint: Endpoint, now: int) -> None:
        """Set how many more requests the upstream may be sent now."""
        spare = float("inf")
        for upstream_limit in endpoint.limiters:
            assert isinstance(upstream_limit, UpstreamLimit)
            spare = min(spare, upstream_limit.compute_spare(now))
        if endpoint.max_connections is not None:
            spare = min(spare, endpoint.max_connections - endpoint.in_flight())
        endpoint.spare = spare

    def on_timer(self, now: int, pools: Iterable[Pool]) -> None:
        """Update the limits at upstreams, as leases are granted and expire."""
        all_pools = list(pools)
        for tables in self.upstream_tables.values():
            for table in tables:
                # Quotas of upstreams that are no longer listed are removed once they are idle.
                table.pinned = {
                    endpoint.host
                    for pool in all_pools
                    if table in self.upstream_tables.get(pool.name, ())
                    for endpoint in pool.all_endpoints()
                }
        for pool in all_pools:
            for table in self.upstream_tables.get(pool.name, ()):
                if table.config.limit.kind == CONNECTIONS:
                    for endpoint in pool.all_endpoints():
                        endpoint.max_connections = table.quota_for_name(endpoint.host).home_quota
            for endpoint in pool.all_endpoints() if self.upstream_tables.get(pool.name) else ():
                if (
                    endpoint.spare <= 0
                    and endpoint.statistics is not None
                    and endpoint.statistics.share > 0.0
                ):
                    for upstream_limit in endpoint.limiters:
                        assert isinstance(upstream_limit, UpstreamLimit)
                        upstream_limit.count_rejection()
                self.update_spare(endpoint, now)


class UpstreamLimit:
    """A limit of the requests in flight at one upstream, from all members together."""

    def __init__(self, endpoint: Endpoint, quota: LeasedQuota) -> None:
        """Limit the upstream `endpoint` by this member's quota of it."""
        self.endpoint = endpoint
        self.quota = quota

    def compute_spare(self, now: int) -> int:
        """Return how many more requests may be sent, whichever class they are of."""
        longest_timeout = max(
            request_class.timeout for request_class in self.endpoint.pool.spec.request_classes
        )
        available = self.quota.available_through(now, now + longest_timeout)
        return available - self.quota.in_flight

    def acquire(self, now: int, deadline: int) -> Permit | None:
        """Admit one request; return what releases it, None if rejected."""
        if not self.quota.try_acquire(now, deadline):
            return None
        self.endpoint.spare -= 1
        return self

    def release(self, now: int, ran: bool) -> None:
        """Release a request that is over."""
        self.quota.release(now, ran)
        self.endpoint.spare += 1

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a rejected request may be retried."""
        return self.quota.retry_after(now)

    def count_rejection(self) -> None:
        """Count a request that the policy would have sent here, so that more is requested."""
        self.quota.new_requests += 1
        self.quota.new_rejections += 1
