"""Owns what pools share: descriptors, requests in the house, bodies and CPU, in guaranteed parts.

What one pool does not use is lent to others, but for a part of it that is kept for its return; what
is lent is called back as it falls free. Must never let a pool that stays within its guaranteed part
wait for one that does not, beyond the requests that are out already. Free of I/O: who owns a
connection closes it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from whinpier.config.model import Limits, Spec
from whinpier.policy.decaying_sum import SECOND, DecayingSum
from whinpier.runtime.event_loop import MAX_LAG

# descriptors kept back: the standard ones, listener, discovery, the loop's own; a dozen in all
SPARE = 24
DOOR, MOST_DOOR = (
    8,
    64,
)  # one in so many, and the most, for clients rejected at the door: short bursts
PART = (
    0.6  # of the rest for clients: each request needs one descriptor, and one more while it is out
)
# clients that asked hold one descriptor in so many before they are let go early; they get a third
CROWD = 4
BODIES = 16  # one part in so many of the memory is for bodies; usual ones are a hundredth of that
KEPT = 0.25  # of what a pool has unused: not lent, so that its return finds room at once
JUDGED = SECOND // 20  # between looks at the lag; a late loop looks once a turn
MORE, LESS, MOST_SHED = (
    0.1,
    0.02,
    0.95,
)  # steps of the part rejected at the door: down slower than up
OVER = 1.1  # times its part of the CPU: a pool above that pays for a late loop first
SPENT = 2 * SECOND  # over which the CPU of pools is compared: some hundred requests


def reserved_descriptors(spec: Spec) -> int:
    """Descriptors that no client and no upstream gets."""
    if not spec.routed:
        return SPARE
    listeners = len(spec.listen) + sum(beside.descriptors for beside in spec.beside.values())
    if spec.fleet:
        listeners += spec.fleet.descriptors
    return SPARE + listeners + sum(pool.discovery is not None for pool in spec.pools.values())


class ResourceShare:
    """What one pool holds of one stock."""

    __slots__ = ("resource", "guaranteed", "limit", "used")

    def __init__(self, stock: SharedResource) -> None:
        self.resource, self.guaranteed, self.used = stock, 0, 0
        self.limit: int | None = None

    def reserved(self) -> int:
        """What may not be lent of it."""
        return int(KEPT * max(0, self.guaranteed - self.used))

    def borrowed(self) -> int:
        return max(0, self.used - self.guaranteed)

    def acquire(self, amount: int = 1, capacity: int | None = None) -> bool:
        """Take some, if there is; `capacity` where more than usual is free just now."""
        stock, after = self.resource, self.used + amount
        if self.limit is not None and after > self.limit:
            return False
        room = (stock.capacity if capacity is None else capacity) - stock.used - amount
        kept = self.reserved()
        if room < 0 or after > self.guaranteed and room < stock.reserved - kept:
            return False
        stock.used += amount
        self.used = after
        stock.reserved += self.reserved() - kept
        return True

    def release(self, amount: int = 1) -> None:
        kept = self.reserved()
        self.used -= amount
        self.resource.used -= amount
        self.resource.reserved += self.reserved() - kept

    def resize(self, share: float, most: int | None) -> None:
        """Another part for a pool that goes on; what it has above that is borrowed from now on."""
        self.resource.reserved -= self.reserved()
        self.guaranteed, self.limit = int(share * self.resource.capacity), most
        self.resource.reserved += self.reserved()

    def close(self) -> None:
        """Its pool has gone; what it still holds is given back one by one."""
        self.resize(0.0, self.limit)
        if not self.used and self in self.resource.shares:
            self.resource.shares.remove(self)


class SharedResource:
    """One resource of the process, in whatever unit it is counted."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.used, self.reserved = capacity, 0, 0
        self.shares: list[ResourceShare] = []

    def create_share(self) -> ResourceShare:
        """A part of nothing, for a pool that has just come."""
        self.shares.append(ResourceShare(self))
        return self.shares[-1]


class PoolBudget:
    """What one pool has of the process."""

    def __init__(self, budget: Budget, limits: Limits) -> None:
        self.budget = budget
        self.requests, self.connections = (
            budget.requests.create_share(),
            budget.connections.create_share(),
        )
        self.bodies = budget.bodies.create_share()  # bytes of answers
        self.request_bytes = budget.request_bytes.create_share()  # bytes of what is asked
        self.reconfigure(limits)
        self.clients = 0  # connections of clients that asked it last
        self.shed_ratio = 0.0  # the part of its requests that is rejected at the door
        self.cpu_time = DecayingSum(SPENT, 0)  # nanoseconds of the loop
        budget.pools.append(self)

    def reconfigure(self, limits: Limits) -> None:
        self.limits, share = limits, limits.guaranteed if self.budget.isolate else 0.0
        for held, most in (
            (self.requests, limits.requests),
            (self.connections, limits.connections),
            (self.bodies, limits.bodies),
            (self.request_bytes, limits.bodies),
        ):
            held.resize(share, most)

    def close(self) -> None:
        for held in (self.requests, self.connections, self.bodies, self.request_bytes):
            held.close()
        if self in self.budget.pools:
            self.budget.pools.remove(self)

    def metrics(self) -> Mapping[str, object]:
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
    """What the process has, and how pools and clients share it."""

    def __init__(
        self, sockets: int, memory: int, isolate: bool = True, reserved_descriptors: int = SPARE
    ) -> None:
        self.sockets, self.memory, self.isolate = sockets, memory, isolate
        self.rejection_reserve = min(sockets // DOOR, MOST_DOOR)
        self.clients = 0  # connections of clients
        self.pools: list[PoolBudget] = []
        self.requests, self.connections = SharedResource(0), SharedResource(0)
        self.resize(reserved_descriptors)
        self.bodies = SharedResource(memory // BODIES * 2)  # bytes of answers
        self.request_bytes = SharedResource(
            memory // BODIES
        )  # bytes of what is asked, whole or not
        self.shedding_updated_at = 0
        # Set by whoever owns them: one client that is not in use is closed; an idle connection of a
        # pool.
        self.close_unused_client: Callable[[], None] = lambda: None
        self.list_idle: Callable[[], Iterable[tuple[int, PoolBudget, Callable[[], None]]]] = (
            lambda: ()
        )
        self.on_descriptor_freed: Callable[[], None] = (
            lambda: None
        )  # called when a descriptor has fallen free

    def resize(self, reserved_descriptors: int) -> None:
        """Keep back so many descriptors; the parts of pools follow."""
        self.total_connections = self.sockets - reserved_descriptors - self.rejection_reserve
        self.max_clients = int(PART * self.total_connections)
        self.requests.capacity, self.connections.capacity = (
            self.max_clients,
            self.total_connections - self.max_clients,
        )
        for part in self.pools:
            part.reconfigure(part.limits)

    def upstream_capacity(self) -> int:
        """How many connections to upstreams there may be, as many clients as there are."""
        return self.total_connections - min(self.clients, self.max_clients)

    def is_full(self) -> bool:
        return self.connections.used >= self.upstream_capacity()

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened: the longest idle ones make way, clients' first."""
        if self.is_full():
            self.close_unused_client()
        if self.is_full():
            self.close_idle()
        return not self.is_full()

    def close_idle(self, borrowed: bool = False) -> None:
        """Close the connection to an upstream that is longest idle; of the pools that have borrowed first."""
        idle = list(self.list_idle())
        lent = [found for found in idle if found[1].connections.borrowed()]
        if lent or idle and not borrowed:
            min(lent or idle, key=lambda found: found[0])[2]()

    def acquire_connection(self, part: PoolBudget) -> bool:
        """Take one more connection to an upstream for a pool, if it may have it."""
        if self.ensure_capacity() and part.connections.acquire(1, self.upstream_capacity()):
            return True
        # Guards against one pool's idle connections standing in the way of another's guaranteed
        # ones.
        if part.connections.used < part.connections.guaranteed and len(self.pools) > 1:
            self.close_idle(borrowed=True)
            return part.connections.acquire(1, self.upstream_capacity())
        return False

    def is_recalled(self, part: PoolBudget) -> bool:
        """Whether a pool had better not keep what has just fallen free: it is another's."""
        return (
            part.connections.borrowed() > 0
            and self.connections.used + self.connections.reserved >= self.upstream_capacity()
        )

    def is_crowded(self, asked: int, part: PoolBudget | None = None) -> bool:
        """Whether clients (of a pool) had better not keep connections: room then comes with every answer."""
        # Guards against clients that ask once and stay: they may hold a third of the descriptors in
        # all, and while they do others have no connection left to ask on.
        return asked > self.sockets // CROWD and not self.is_within_share(part)

    def is_within_share(self, part: PoolBudget | None) -> bool:
        """Whether a pool's clients hold no more than its part: they need not go for those of others."""
        # Guards against one pool's crowd at the door: the others' clients would wait in one queue
        # with it.
        if part is None or len(self.pools) < 2 or not self.isolate:
            return False
        return part.clients <= part.limits.guaranteed * min(self.sockets // CROWD, self.max_clients)

    def update_shedding(self, now: int, lag: int) -> None:
        """Reject a larger or smaller part of what comes, by how late the loop is."""
        if now - self.shedding_updated_at < JUDGED:
            return
        # Guards against a core that is full: were all rejected while the loop is late, those
        # that come again at once would keep it late, and nothing would be served.
        self.shedding_updated_at = now
        late = lag > MAX_LAG
        over = (
            self.cpu_overusers(now) if late and self.isolate and len(self.pools) > 1 else self.pools
        )
        for part in self.pools:
            if late and part in over:
                part.shed_ratio = min(part.shed_ratio + MORE, MOST_SHED)
            elif not late:
                part.shed_ratio = max(part.shed_ratio - LESS, 0.0)

    def cpu_overusers(self, now: int) -> list[PoolBudget]:
        """The pools that use more of the loop's time than their part; all where none does."""
        total = sum(part.cpu_time.read(now) for part in self.pools) or 1.0
        over = [
            part
            for part in self.pools
            if part.cpu_time.read(now) > OVER * part.limits.guaranteed * total
        ]
        return over or self.pools
