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
from whinpier.runtime.event_loop import MOST_LATE

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


def spare(spec: Spec) -> int:
    """Descriptors that no client and no upstream gets."""
    if not spec.routed:
        return SPARE
    listeners = len(spec.listen) + sum(beside.descriptors for beside in spec.beside.values())
    if spec.fleet:
        listeners += spec.fleet.descriptors
    return SPARE + listeners + sum(pool.discovery is not None for pool in spec.pools.values())


class Held:
    """What one pool holds of one stock."""

    __slots__ = ("stock", "guaranteed", "most", "used")

    def __init__(self, stock: Stock) -> None:
        self.stock, self.guaranteed, self.used = stock, 0, 0
        self.most: int | None = None

    def kept(self) -> int:
        """What may not be lent of it."""
        return int(KEPT * max(0, self.guaranteed - self.used))

    def borrowed(self) -> int:
        return max(0, self.used - self.guaranteed)

    def take(self, amount: int = 1, capacity: int | None = None) -> bool:
        """Take some, if there is; `capacity` where more than usual is free just now."""
        stock, after = self.stock, self.used + amount
        if self.most is not None and after > self.most:
            return False
        room = (stock.capacity if capacity is None else capacity) - stock.used - amount
        kept = self.kept()
        if room < 0 or after > self.guaranteed and room < stock.kept - kept:
            return False
        stock.used += amount
        self.used = after
        stock.kept += self.kept() - kept
        return True

    def give(self, amount: int = 1) -> None:
        kept = self.kept()
        self.used -= amount
        self.stock.used -= amount
        self.stock.kept += self.kept() - kept

    def reshare(self, share: float, most: int | None) -> None:
        """Another part for a pool that goes on; what it has above that is borrowed from now on."""
        self.stock.kept -= self.kept()
        self.guaranteed, self.most = int(share * self.stock.capacity), most
        self.stock.kept += self.kept()

    def drop(self) -> None:
        """Its pool has gone; what it still holds is given back one by one."""
        self.reshare(0.0, self.most)
        if not self.used and self in self.stock.held:
            self.stock.held.remove(self)


class Stock:
    """One resource of the process, in whatever unit it is counted."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.used, self.kept = capacity, 0, 0
        self.held: list[Held] = []

    def part(self) -> Held:
        """A part of nothing, for a pool that has just come."""
        self.held.append(Held(self))
        return self.held[-1]


class Part:
    """What one pool has of the process."""

    def __init__(self, budget: Budget, limits: Limits) -> None:
        self.budget = budget
        self.requests, self.links = budget.requests.part(), budget.links.part()
        self.bodies = budget.bodies.part()  # bytes of answers
        self.request_bytes = budget.request_bytes.part()  # bytes of what is asked
        self.change(limits)
        self.clients = 0  # connections of clients that asked it last
        self.shed = 0.0  # the part of its requests that is rejected at the door
        self.spent = DecayingSum(SPENT, 0)  # nanoseconds of the loop
        budget.parts.append(self)

    def change(self, limits: Limits) -> None:
        self.limits, share = limits, limits.guaranteed if self.budget.isolate else 0.0
        for held, most in (
            (self.requests, limits.requests),
            (self.links, limits.connections),
            (self.bodies, limits.bodies),
            (self.request_bytes, limits.bodies),
        ):
            held.reshare(share, most)

    def end(self) -> None:
        for held in (self.requests, self.links, self.bodies, self.request_bytes):
            held.drop()
        if self in self.budget.parts:
            self.budget.parts.remove(self)

    def figures(self) -> Mapping[str, object]:
        return {
            "out": self.requests.used,
            "out_guaranteed": self.requests.guaranteed,
            "clients": self.clients,
            "links": self.links.used,
            "links_guaranteed": self.links.guaranteed,
            "bodies": self.bodies.used,
            "shed": round(self.shed, 2),
        }


class Budget:
    """What the process has, and how pools and clients share it."""

    def __init__(self, sockets: int, memory: int, isolate: bool = True, spare: int = SPARE) -> None:
        self.sockets, self.memory, self.isolate = sockets, memory, isolate
        self.door = min(sockets // DOOR, MOST_DOOR)
        self.clients = 0  # connections of clients
        self.parts: list[Part] = []
        self.requests, self.links = Stock(0), Stock(0)
        self.resize(spare)
        self.bodies = Stock(memory // BODIES * 2)  # bytes of answers
        self.request_bytes = Stock(memory // BODIES)  # bytes of what is asked, whole or not
        self.judged = 0
        # Set by whoever owns them: one client that is not in use is closed; an idle connection of a
        # pool.
        self.let_go: Callable[[], None] = lambda: None
        self.idle: Callable[[], Iterable[tuple[int, Part, Callable[[], None]]]] = lambda: ()
        self.roomier: Callable[[], None] = lambda: None  # called when a descriptor has fallen free

    def resize(self, spare: int) -> None:
        """Keep back so many descriptors; the parts of pools follow."""
        self.connections = self.sockets - spare - self.door
        self.most_clients = int(PART * self.connections)
        self.requests.capacity, self.links.capacity = (
            self.most_clients,
            self.connections - self.most_clients,
        )
        for part in self.parts:
            part.change(part.limits)

    def room(self) -> int:
        """How many connections to upstreams there may be, as many clients as there are."""
        return self.connections - min(self.clients, self.most_clients)

    def full(self) -> bool:
        return self.links.used >= self.room()

    def make_room(self) -> bool:
        """Whether one more connection may be opened: the longest idle ones make way, clients' first."""
        if self.full():
            self.let_go()
        if self.full():
            self.close_idle()
        return not self.full()

    def close_idle(self, borrowed: bool = False) -> None:
        """Close the connection to an upstream that is longest idle; of the pools that have borrowed first."""
        idle = list(self.idle())
        lent = [found for found in idle if found[1].links.borrowed()]
        if lent or idle and not borrowed:
            min(lent or idle, key=lambda found: found[0])[2]()

    def link(self, part: Part) -> bool:
        """Take one more connection to an upstream for a pool, if it may have it."""
        if self.make_room() and part.links.take(1, self.room()):
            return True
        # Guards against one pool's idle connections standing in the way of another's guaranteed
        # ones.
        if part.links.used < part.links.guaranteed and len(self.parts) > 1:
            self.close_idle(borrowed=True)
            return part.links.take(1, self.room())
        return False

    def called_back(self, part: Part) -> bool:
        """Whether a pool had better not keep what has just fallen free: it is another's."""
        return part.links.borrowed() > 0 and self.links.used + self.links.kept >= self.room()

    def crowded(self, asked: int, part: Part | None = None) -> bool:
        """Whether clients (of a pool) had better not keep connections: room then comes with every answer."""
        # Guards against clients that ask once and stay: they may hold a third of the descriptors in
        # all, and while they do others have no connection left to ask on.
        return asked > self.sockets // CROWD and not self.within(part)

    def within(self, part: Part | None) -> bool:
        """Whether a pool's clients hold no more than its part: they need not go for those of others."""
        # Guards against one pool's crowd at the door: the others' clients would wait in one queue
        # with it.
        if part is None or len(self.parts) < 2 or not self.isolate:
            return False
        return part.clients <= part.limits.guaranteed * min(
            self.sockets // CROWD, self.most_clients
        )

    def judge(self, now: int, lag: int) -> None:
        """Reject a larger or smaller part of what comes, by how late the loop is."""
        if now - self.judged < JUDGED:
            return
        # Guards against a core that is full: were all rejected while the loop is late, those
        # that come again at once would keep it late, and nothing would be served.
        self.judged = now
        late = lag > MOST_LATE
        over = self.spenders(now) if late and self.isolate and len(self.parts) > 1 else self.parts
        for part in self.parts:
            if late and part in over:
                part.shed = min(part.shed + MORE, MOST_SHED)
            elif not late:
                part.shed = max(part.shed - LESS, 0.0)

    def spenders(self, now: int) -> list[Part]:
        """The pools that use more of the loop's time than their part; all where none does."""
        total = sum(part.spent.read(now) for part in self.parts) or 1.0
        over = [
            part
            for part in self.parts
            if part.spent.read(now) > OVER * part.limits.guaranteed * total
        ]
        return over or self.parts
