"""Divides the process's descriptors, requests, bodies and CPU among its pools.

Each pool has a guaranteed share. What it does not use is lent to others, except for a fraction kept
for its return; lent units go back to their owner as they are released.

Invariant: a pool within its guaranteed share never waits for one that has borrowed, beyond the
requests already in flight. This module does no I/O: the owner of a connection closes it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from whinpier.config.model import Limits, Spec
from whinpier.policy.decaying_sum import SECOND, DecayingSum
from whinpier.runtime.event_loop import MAX_LAG

# Standard streams, listener, discovery and the event loop's own take a dozen.
RESERVED_DESCRIPTORS = 24
# One descriptor in so many is for accepting clients only to reject them, in short bursts.
REJECTION_DIVISOR = 8
MAX_REJECTION_RESERVE = 64
# Of the descriptors for clients and upstreams: each request needs one for its client, and one more
# while it is in flight.
CLIENT_FRACTION = 0.6
# Above one descriptor in so many, clients with a request behind them are closed early.
CROWDED_DIVISOR = 4
# One part in so many of the memory is for bodies; usual bodies need a hundredth of that.
BODY_DIVISOR = 16
# One part in so many of the memory is for requests that have ended and whose ids are known until their
# deadline, of which each takes about a kilobyte with its timer.
REMEMBERED_DIVISOR = 8
REMEMBERED_BYTES = 1024
# Above half of them, one client may have one in so many.
REMEMBERED_CLIENT_DIVISOR = 16
# Read at once from a client but for bodies, which have a budget: all clients together may have as much
# waiting. The most is the largest head.
MIN_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 16 * 1024
# Of a pool's unused guarantee: not lent, so that the pool has capacity at once when load returns.
RESERVED_FRACTION = 0.25
# Between adjustments of shedding; a loop that is later than this adjusts on each round of timers.
SHEDDING_INTERVAL = SECOND // 20
# The fraction of requests that is shed rises faster than it falls.
SHEDDING_STEP_UP = 0.1
SHEDDING_STEP_DOWN = 0.02
MAX_SHED_RATIO = 0.95
# A pool above so many times its share of the CPU sheds first when the loop is late.
CPU_TOLERANCE = 1.1
# Some hundred requests: the period over which pools' CPU time is compared.
CPU_WINDOW = 2 * SECOND


def reserved_descriptors(spec: Spec) -> int:
    """Count the descriptors that neither clients nor upstreams may use."""
    if not spec.routed:
        return RESERVED_DESCRIPTORS
    listeners = len(spec.listen) + sum(beside.descriptors for beside in spec.beside.values())
    if spec.fleet:
        listeners += spec.fleet.descriptors
    watches = sum(pool.discovery is not None for pool in spec.pools.values())
    return RESERVED_DESCRIPTORS + listeners + watches


class ResourceShare:
    """What one pool uses of one resource, and what it is guaranteed."""

    __slots__ = ("guaranteed", "limit", "resource", "used")

    def __init__(self, resource: SharedResource) -> None:
        """Start with no guarantee and no limit."""
        self.resource = resource
        self.guaranteed = 0
        self.used = 0
        self.limit: int | None = None

    def reserved(self) -> int:
        """Return how much of the unused guarantee may not be lent."""
        return int(RESERVED_FRACTION * max(0, self.guaranteed - self.used))

    def borrowed(self) -> int:
        """Return how much is used above the guarantee."""
        return max(0, self.used - self.guaranteed)

    def acquire(self, amount: int = 1, capacity: int | None = None) -> bool:
        """Take `amount` if it is free; `capacity` replaces the resource's own for this call."""
        resource = self.resource
        used_after = self.used + amount
        if self.limit is not None and used_after > self.limit:
            return False
        free_after = (resource.capacity if capacity is None else capacity) - resource.used - amount
        reserved = self.reserved()
        borrows = used_after > self.guaranteed
        if free_after < 0 or (borrows and free_after < resource.reserved - reserved):
            return False
        resource.used += amount
        self.used = used_after
        resource.reserved += self.reserved() - reserved
        return True

    def release(self, amount: int = 1) -> None:
        """Give back what was acquired."""
        reserved = self.reserved()
        self.used -= amount
        self.resource.used -= amount
        self.resource.reserved += self.reserved() - reserved

    def resize(self, share: float, limit: int | None) -> None:
        """Change guarantee and limit; what is used above the new guarantee counts as borrowed."""
        self.resource.reserved -= self.reserved()
        self.guaranteed = int(share * self.resource.capacity)
        self.limit = limit
        self.resource.reserved += self.reserved()

    def close(self) -> None:
        """Give up the guarantee of a removed pool; what it still uses is released one by one."""
        self.resize(0.0, self.limit)
        if not self.used and self in self.resource.shares:
            self.resource.shares.remove(self)


class Holding:
    """What one owner has taken of a share, changed and given back as a whole."""

    __slots__ = ("amount", "share")

    def __init__(self) -> None:
        """Start with nothing."""
        self.share: ResourceShare | None = None
        self.amount = 0

    def resize(self, share: ResourceShare, amount: int) -> bool:
        """Hold `amount` of this share, and nothing of another; False, with no change, if too much."""
        if share is not self.share:
            if not share.acquire(amount):
                return False
            self.release()
            self.share = share
        elif amount > self.amount and not share.acquire(amount - self.amount):
            return False
        elif amount < self.amount:
            share.release(self.amount - amount)
        self.amount = amount
        return True

    def release(self) -> None:
        """Give back all of it."""
        if self.share:
            self.share.release(self.amount)
        self.share = None
        self.amount = 0


class SharedResource:
    """One resource of the process, in any unit."""

    def __init__(self, capacity: int) -> None:
        """Start with nothing used."""
        self.capacity = capacity
        self.used = 0
        self.reserved = 0  # by all shares together
        self.shares: list[ResourceShare] = []

    def create_share(self) -> ResourceShare:
        """Add a share without a guarantee, for a new pool."""
        self.shares.append(ResourceShare(self))
        return self.shares[-1]


class PoolBudget:
    """One pool's shares of all resources of the process."""

    def __init__(self, budget: Budget, limits: Limits) -> None:
        """Add a pool to the budget."""
        self.budget = budget
        self.requests = budget.requests.create_share()
        self.connections = budget.connections.create_share()
        self.bodies = budget.bodies.create_share()  # bytes of response bodies
        self.request_bytes = budget.request_bytes.create_share()  # bytes of request bodies
        self.reconfigure(limits)
        self.clients = 0  # client connections whose last request was for this pool
        self.shed_ratio = 0.0  # fraction of its requests that is rejected on arrival
        self.cpu_time = DecayingSum(CPU_WINDOW, 0)  # nanoseconds of the event loop
        budget.pools.append(self)

    def reconfigure(self, limits: Limits) -> None:
        """Apply other limits."""
        self.limits = limits
        share = limits.guaranteed if self.budget.isolate else 0.0
        for resource_share, limit in (
            (self.requests, limits.requests),
            (self.connections, limits.connections),
            (self.bodies, limits.bodies),
            (self.request_bytes, limits.bodies),
        ):
            resource_share.resize(share, limit)

    def close(self) -> None:
        """Remove the pool from the budget."""
        for resource_share in (self.requests, self.connections, self.bodies, self.request_bytes):
            resource_share.close()
        if self in self.budget.pools:
            self.budget.pools.remove(self)

    def metrics(self) -> Mapping[str, object]:
        """Return the fields of this pool's line of metrics in the log."""
        return {
            "out": self.requests.used,
            "out_guaranteed": self.requests.guaranteed,
            "clients": self.clients,
            "links": self.connections.used,
            "links_guaranteed": self.connections.guaranteed,
            "bodies": self.bodies.used,
            "shed": round(self.shed_ratio, 2),
        }


class Budget:
    """The resources of the process, shared by its pools and clients."""

    def __init__(
        self,
        sockets: int,
        memory: int,
        isolate: bool = True,
        reserved_descriptors: int = RESERVED_DESCRIPTORS,
    ) -> None:
        """Start with no pools; `memory` is in bytes, without `isolate` no pool has a guarantee."""
        self.sockets = sockets
        self.memory = memory
        self.isolate = isolate
        self.rejection_reserve = min(sockets // REJECTION_DIVISOR, MAX_REJECTION_RESERVE)
        self.clients = 0  # client connections
        self.pools: list[PoolBudget] = []
        self.requests = SharedResource(0)
        self.connections = SharedResource(0)  # to upstreams
        self.resize(reserved_descriptors)
        self.bodies = SharedResource(memory // BODY_DIVISOR * 2)  # bytes of response bodies
        # Bytes of request bodies, also of those still being received.
        self.request_bytes = SharedResource(memory // BODY_DIVISOR)
        # Of clients that no request has brought to a pool yet.
        self.unrouted_bodies = self.bodies.create_share()
        self.unrouted_request_bytes = self.request_bytes.create_share()
        self.max_remembered = memory // REMEMBERED_DIVISOR // REMEMBERED_BYTES
        self.shedding_updated_at = 0
        # The owners of connections replace these three.
        self.close_unused_client: Callable[[], None] = lambda: None
        # Yields for each idle upstream connection: since when, its pool, and how to close it.
        self.list_idle: Callable[[], Iterable[tuple[int, PoolBudget, Callable[[], None]]]] = (
            lambda: ()
        )
        self.on_descriptor_freed: Callable[[], None] = lambda: None

    def resize(self, reserved_descriptors: int) -> None:
        """Reserve so many descriptors and recompute the pools' shares."""
        self.total_connections = self.sockets - reserved_descriptors - self.rejection_reserve
        self.max_clients = int(CLIENT_FRACTION * self.total_connections)
        self.requests.capacity = self.max_clients
        per_client = self.memory // BODY_DIVISOR // max(1, self.max_clients)
        self.read_bytes = max(MIN_READ_BYTES, min(per_client, MAX_READ_BYTES))
        self.connections.capacity = self.total_connections - self.max_clients
        for pool in self.pools:
            pool.reconfigure(pool.limits)

    def upstream_capacity(self) -> int:
        """Return how many upstream connections fit beside the present number of clients."""
        return self.total_connections - min(self.clients, self.max_clients)

    def is_full(self) -> bool:
        """Tell whether no further upstream connection fits."""
        return self.connections.used >= self.upstream_capacity()

    def ensure_capacity(self) -> bool:
        """Free one connection if needed, of an unused client first; return whether one is free."""
        if self.is_full():
            self.close_unused_client()
        if self.is_full():
            self.close_idle()
        return not self.is_full()

    def close_idle(self, borrowed: bool = False) -> None:
        """Close the longest idle upstream connection, of pools that have borrowed first.

        With `borrowed`, only of those.
        """
        idle = list(self.list_idle())
        lent = [found for found in idle if found[1].connections.borrowed()]
        if lent or (idle and not borrowed):
            min(lent or idle, key=lambda found: found[0])[2]()

    def acquire_connection(self, pool: PoolBudget) -> bool:
        """Take one more upstream connection for a pool; return whether it may be opened."""
        if self.ensure_capacity() and pool.connections.acquire(1, self.upstream_capacity()):
            return True
        # Idle connections of one pool must not block the guaranteed ones of another.
        if pool.connections.used < pool.connections.guaranteed and len(self.pools) > 1:
            self.close_idle(borrowed=True)
            return pool.connections.acquire(1, self.upstream_capacity())
        return False

    def is_recalled(self, pool: PoolBudget) -> bool:
        """Tell whether a pool should close a connection it has finished with: it is borrowed."""
        return (
            pool.connections.borrowed() > 0
            and self.connections.used + self.connections.reserved >= self.upstream_capacity()
        )

    def is_crowded(self, active_clients: int, pool: PoolBudget | None = None) -> bool:
        """Tell whether clients (of a pool) should be closed after their response."""
        # Clients that send one request and stay may hold a third of all descriptors; meanwhile
        # others find no connection to send a request on.
        return active_clients > self.sockets // CROWDED_DIVISOR and not self.is_within_share(pool)

    def is_within_share(self, pool: PoolBudget | None) -> bool:
        """Tell whether a pool's clients hold at most their share, so that they need not close."""
        # Otherwise one pool's many clients would put those of others into the same queue.
        if pool is None or len(self.pools) < 2 or not self.isolate:
            return False
        return pool.clients <= pool.limits.guaranteed * min(
            self.sockets // CROWDED_DIVISOR, self.max_clients
        )

    def may_remember(self, remembered: int, of_client: int) -> bool:
        """Tell whether a client may send one more request, with so many remembered in all and of it."""
        if remembered <= self.max_remembered // 2:
            return True
        is_within_share = of_client <= self.max_remembered // REMEMBERED_CLIENT_DIVISOR
        return is_within_share and remembered < self.max_remembered

    def update_shedding(self, now: int, lag: int) -> None:
        """Raise or lower the fraction of requests that is rejected, by how late the loop is."""
        if now - self.shedding_updated_at < SHEDDING_INTERVAL:
            return
        # A fraction, since rejecting all would serve nothing on a saturated core: clients that
        # retry at once would keep the loop late.
        self.shedding_updated_at = now
        late = lag > MAX_LAG
        isolated = self.isolate and len(self.pools) > 1
        shedding = self.cpu_overusers(now) if late and isolated else self.pools
        for pool in self.pools:
            if late and pool in shedding:
                pool.shed_ratio = min(pool.shed_ratio + SHEDDING_STEP_UP, MAX_SHED_RATIO)
            elif not late:
                pool.shed_ratio = max(pool.shed_ratio - SHEDDING_STEP_DOWN, 0.0)

    def cpu_overusers(self, now: int) -> list[PoolBudget]:
        """Return the pools that use more than their share of the loop's time, or all if none."""
        total = sum(pool.cpu_time.read(now) for pool in self.pools) or 1.0
        overusers = [
            pool
            for pool in self.pools
            if pool.cpu_time.read(now) > CPU_TOLERANCE * pool.limits.guaranteed * total
        ]
        return overusers or self.pools
