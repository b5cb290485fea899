"""Model balancers: the real pool and its real decisions, on simulated time and a model of the network.

A `Pool` of whinpier/runtime runs here unchanged; only its clock, its upstreams' wires and whoever waits for
an answer are the model's. Must never tell a pool more than a real one would know.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from itertools import count as numbers
from typing import TYPE_CHECKING, Any

from whinpier.decay import Sum
from whinpier.lab.clock import SECOND, Clock
from whinpier.lab.servers import CONNECTING, Server
from whinpier.model import FULL, NO_CONNECTION, Workload
from whinpier.runtime.budget import Budget
from whinpier.runtime.loop import Loop
from whinpier.runtime.pool import Peer, Pool, Sent, Taken, Watch
from whinpier.spec import Address, Entry, PoolSpec

if TYPE_CHECKING:
    from whinpier.lab.world import World

LOST = SECOND // 5  # after which a lost packet is sent again


class SimLoop(Loop):
    """The loop of one balancer, on the clock of the run."""

    def __init__(self, clock: Clock) -> None:  # without what waits on a real loop
        self.sim, self.now = clock, clock.now
        self.next_id = numbers(1).__next__
        self.todo: deque[tuple[Any, Callable[..., None], tuple[Any, ...]]] = deque()
        self.inside, self.late, self.lag = False, 0, 0

    def clock(self) -> int:
        return self.sim.now

    def at(self, at: int, host: Any, call: Callable[..., None], *args: Any) -> None:
        self.sim.at(at, self.enter, host, call, *args)

    def faulty(self, call: Callable[..., None]) -> None:
        """A fault ends the run: here it is to be found."""
        raise

    def margin(self) -> int:
        return 0


class Asked(Taken):
    """A task of a model client."""

    __slots__ = ("answered", "due", "work", "stream", "tries", "origin", "balancer")
    balancer: Balancer

    def __init__(self, number: int, workload: Workload, came: int, ends: int) -> None:
        super().__init__(number, workload, came, ends)
        self.id_given = b""
        self.answered: Callable[[Asked, str, int], None]
        self.due, self.work, self.tries, self.origin = came, 0.0, 0, number
        self.stream: Any = None

    def waited_for(self) -> bool:
        return True

    def fulfilled(self, answer: Any) -> None:
        self.answered(self, "fulfilled", 0)

    def turned_back(self, wait: int) -> None:
        self.answered(self, "turned back", wait)

    def scrapped(self) -> None:
        self.answered(self, "scrapped", 0)


class Attempt(Sent):
    """A hand-off on its way to a model upstream and back."""

    def __init__(self, task: Asked, peer: Link, now: int, world: World, fresh: bool) -> None:
        super().__init__(task, peer, now)
        self.asked, self.link, self.world = task, peer, world
        self.work, self.fresh, self.fails, self.dropped, self.told = task.work, fresh, "", False, False

    def __hash__(self) -> int:
        return id(self)

    def ran(self, server: Server) -> None:
        """It has come whole and was not turned away: from now on it counts as run."""
        self.world.referee.ran(self, server)

    def back(self, outcome: str) -> None:
        """The upstream's side is over; its sender hears of it after the way back."""
        if not self.told:
            self.told = True
            self.world.clock.after(self.link.way(), self.link.heard, self, outcome)


class Link(Peer):
    """What one balancer has towards one upstream."""

    def __init__(self, pool: Pool, entry: Entry, number: int, balancer: Balancer, server: Server) -> None:
        super().__init__(number, entry.state, 0, 0, entry.started)
        self.pool, self.host, self.address = pool, entry.host, entry.dial
        self.balancer, self.server, self.world = balancer, server, balancer.world
        self.run = server.run
        self.attempts: dict[Attempt, None] = {}
        self.idle = 0  # connections

    def way(self) -> int:
        """Nanoseconds one way, with what the network does to it just now."""
        fleet = self.world.experiment.fleet
        span = fleet.network + (fleet.far if self.server.zone != self.balancer.zone else 0.0)
        lost, late = self.world.loss, 0
        while lost and self.world.chance.random() < lost and late < 10 * LOST:
            late += LOST
        return int(span * SECOND) + late

    def hand(self, task: Taken) -> Sent:
        assert isinstance(task, Asked)
        fresh = self.idle == 0
        attempt = Attempt(task, self, self.pool.now, self.world, fresh)
        task.hand_offs.append(attempt)
        self.attempts[attempt] = None
        self.world.referee.sent(attempt, self.balancer, self.server)
        self.idle = max(0, self.idle - 1)
        clock, way = self.world.clock, self.way()
        if self.world.cut(self.balancer, self.server) or not self.server.reachable:
            # Nothing comes up; on a connection that is open nothing comes back.
            if fresh:
                clock.after(CONNECTING, self.heard, attempt, NO_CONNECTION)
            return attempt
        if fresh:
            if self.server.connections >= self.server.machine.connections:
                clock.after(2 * way, self.heard, attempt, NO_CONNECTION)
                return attempt
            self.server.connections += 1
            way *= 3  # its handshake first
        clock.after(way, self.server.arrive, attempt)
        return attempt

    def heard(self, attempt: Attempt, outcome: str) -> None:
        """What became of a hand-off has come."""
        if self.world.cut(self.balancer, self.server) and outcome != NO_CONNECTION:
            return
        if attempt in self.attempts:
            del self.attempts[attempt]
            if outcome in ("fulfilled", "error", FULL) and not attempt.dropped:
                self.idle += 1
            else:
                self.server.connections = max(0, self.server.connections - 1)
        if not attempt.settled:
            self.pool.settle(attempt, outcome)

    def stop(self, sent: Sent) -> None:
        assert isinstance(sent, Attempt)
        if self.attempts.pop(sent, self) is None:
            self.server.connections = max(0, self.server.connections - 1)
        self.world.clock.after(self.way(), self.server.give_up, sent)

    def close_idle(self) -> None:
        self.server.connections = max(0, self.server.connections - self.idle)
        self.idle = 0

    def retire(self) -> None:
        self.close_idle()

    def out(self) -> int:
        return len(self.attempts)


class Balancer:
    """One balancer of the run."""

    def __init__(self, world: World, number: int, zone: int, spec: PoolSpec, seed: int) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.loop: Loop = SimLoop(world.clock)
        self.budget = Budget(65_536, 1 << 34)
        self.ids: dict[bytes | int, Taken] = {}
        self.counts: Counter[str] = Counter()
        self.told_at: dict[str, tuple[str, int]] = {}  # upstream: what the list last said of it, and when
        self.stale_until = 0
        self.listed: dict[str, Entry] = {}
        self.pool = Pool(self, spec, seed, self.counts)

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer:
        return Link(pool, entry, number, self, self.world.servers[entry.host])

    def watch(self, pool: Pool) -> Watch | None:
        return None

    def shared(self, entry: Entry) -> Sum | None:
        return None

    def since(self, dial: Address) -> int:
        return 0

    def tell(self, entries: list[Entry], whole: bool) -> None:
        """The list, or a change of it, has come."""
        now = self.world.clock.now
        if whole:
            self.told_at.clear()
        for entry in entries:
            self.told_at[entry.host] = (entry.state, now)
        self.pool.told(entries, whole)

    def take(self, task: Asked) -> None:
        task.balancer = self
        self.pool.part.tasks.take()
        self.pool.take(task)

