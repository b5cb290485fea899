"""Decides what pools are told of the fleet: how many balancers share each, and which this one is.

Too few is by far the dearer mistake: those who think they are alone together push everything over.
So the number rises at once and falls only for good reason, and late. Free of I/O. Must never tell a
pool fewer than have to be reckoned with, or change its number more than once a second.
"""

from __future__ import annotations

from whinpier.fleet.membership.membership import Membership
from whinpier.fleet.messages import pool_hash
from whinpier.policy.decaying_sum import SECOND

LASTING = (
    2 * SECOND
)  # that there have been fewer before a pool hears of it: a restart is over by then
APART = SECOND  # between two changes of one pool


class Counted:
    """What one pool was last told."""

    __slots__ = ("name", "mark", "balancers", "number", "told_at", "fewer_since", "ids")

    def __init__(self, name: str) -> None:
        self.name, self.mark = name, pool_hash(name)
        self.balancers, self.number = 0, 0
        self.told_at, self.fewer_since = -APART, 0
        self.ids: dict[int, int] = {}  # members by their number


class Counting:
    """Of all pools that the fleet shares."""

    def __init__(self, members: Membership, pools: tuple[str, ...]) -> None:
        self.members = members
        self.pools: dict[str, Counted] = {}
        self.follow(pools)

    def follow(self, pools: tuple[str, ...]) -> None:
        """Other pools, by a new file; what is known of those that stay is kept."""
        self.pools = {name: self.pools.get(name) or Counted(name) for name in pools}

    def floor(self, now: int) -> int:
        """How many there may be at least, while this one has not heard from all whom it should."""
        members = self.members
        young = now - members.started_at < members.timing.settle
        if not young and (members.count() > 1 or now - members.started_at >= members.timing.reckon):
            return 1
        return 1 + (
            len(members.seeds) if young and not members.joined else members.unresponsive_seeds()
        )

    def update(self, now: int) -> list[Counted]:
        """The pools whose numbers change now."""
        found, floor = [], self.floor(now)
        for pool in self.pools.values():
            shares = self.members.pool_members(pool.mark)
            number = next(
                place for place, (_, one) in enumerate(shares) if one == self.members.metadata.id
            )
            balancers = max(len(shares), floor)
            pool.ids = {one: place for place, (_, one) in enumerate(shares)}
            if (balancers, number) == (pool.balancers, pool.number):
                pool.fewer_since = 0
                continue
            if balancers < pool.balancers:
                pool.fewer_since = pool.fewer_since or now
                if now - pool.fewer_since < LASTING:
                    continue
            elif balancers > pool.balancers:
                pool.fewer_since = 0
            if now - pool.told_at < APART and balancers <= pool.balancers:
                continue
            pool.balancers, pool.number = balancers, number
            pool.told_at, pool.fewer_since = now, 0
            found.append(pool)
        return found
