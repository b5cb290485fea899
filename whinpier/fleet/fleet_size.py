"""The number of balancers that share each pool, and this balancer's number among them.

Too low a number is by far the worse mistake: balancers that each believe they are alone overload
the upstreams together. So the number rises at once, and falls only once the lower one has lasted.

Invariants: a pool is never told fewer balancers than have to be reckoned with, and what it is told
changes at most once a second unless there are more. The module does no I/O; times are nanoseconds.
"""

from __future__ import annotations

from whinpier.fleet.membership.membership import Membership
from whinpier.fleet.messages import pool_hash
from whinpier.policy.decaying_sum import SECOND

DECREASE_DELAY = 2 * SECOND  # that a lower number has to last: a restart is over by then
MIN_CHANGE_INTERVAL = SECOND  # between two changes of a pool that are no increase


class PoolFleetSize:
    """The numbers that one pool was last given."""

    __slots__ = (
        "balancers",
        "changed_at",
        "decreased_since",
        "ids",
        "name",
        "number",
        "pool_hash",
    )

    def __init__(self, name: str) -> None:
        """Begin without balancers, so that the first update is a change."""
        self.name = name
        self.pool_hash = pool_hash(name)
        self.balancers = 0
        self.number = 0  # of this balancer, from 0
        self.changed_at = -MIN_CHANGE_INTERVAL
        self.decreased_since = 0  # 0: there are no fewer balancers than the pool was told
        self.ids: dict[int, int] = {}  # numbers of the balancers, by member id


class FleetSizes:
    """The sizes of all pools that the fleet shares."""

    def __init__(self, members: Membership, pools: tuple[str, ...]) -> None:
        """Follow the membership for the pools of these names."""
        self.members = members
        self.pools: dict[str, PoolFleetSize] = {}
        self.set_pools(pools)

    def set_pools(self, pools: tuple[str, ...]) -> None:
        """Replace the pools; those that stay keep their numbers."""
        self.pools = {name: self.pools.get(name) or PoolFleetSize(name) for name in pools}

    def min_balancers(self, now: int) -> int:
        """Return how many balancers there may be while not all seeds were heard from.

        A seed that does not answer may run on the other side of a partition.
        """
        members = self.members
        age = now - members.started_at
        is_settling = age < members.timing.settle
        if not is_settling and (members.count() > 1 or age >= members.timing.reckon):
            return 1
        if is_settling and not members.joined:
            return 1 + len(members.seeds)
        return 1 + members.unresponsive_seeds()

    def update(self, now: int) -> list[PoolFleetSize]:
        """Update the numbers, and return the pools whose numbers have changed."""
        changed = []
        min_balancers = self.min_balancers(now)
        for pool in self.pools.values():
            sharing = self.members.pool_members(pool.pool_hash)
            number = next(
                index
                for index, (_, member_id) in enumerate(sharing)
                if member_id == self.members.metadata.id
            )
            balancers = max(len(sharing), min_balancers)
            pool.ids = {member_id: index for index, (_, member_id) in enumerate(sharing)}
            if (balancers, number) == (pool.balancers, pool.number):
                pool.decreased_since = 0
                continue
            if balancers < pool.balancers:
                pool.decreased_since = pool.decreased_since or now
                if now - pool.decreased_since < DECREASE_DELAY:
                    continue
            elif balancers > pool.balancers:
                pool.decreased_since = 0
            if now - pool.changed_at < MIN_CHANGE_INTERVAL and balancers <= pool.balancers:
                continue
            pool.balancers = balancers
            pool.number = number
            pool.changed_at = now
            pool.decreased_since = 0
            changed.append(pool)
        return changed
