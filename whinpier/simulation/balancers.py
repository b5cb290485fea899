"""Model balancers: the real pool and its real decisions, on simulated time and a model of the
network.

A `Pool` of whinpier/runtime runs here unchanged; only its clock, its upstreams' wires and
whoever waits for an answer are the model's. Must never tell a pool more than a real one would
know.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping
from itertools import count as numbers
from typing import TYPE_CHECKING, Any

from whinpier.config.model import Address, Entry
from whinpier.policy.decaying_sum import Pacer
from whinpier.policy.model import Outcome, RequestClass
from whinpier.runtime.event_loop import EventLoop
from whinpier.runtime.pool import Endpoint, EndpointWatch, PendingRequest, Pool, PoolAttempt
from whinpier.runtime.resource_budget import Budget
from whinpier.simulation.clock import Clock
from whinpier.simulation.servers import CONNECTING, Server

if TYPE_CHECKING:
    from whinpier.simulation.environment import Ground


class SimLoop(EventLoop):
    """The loop of one balancer's process, on the clock of the run."""

    def __init__(self, clock: Clock) -> None:  # without what waits on a real loop
        self.sim, self.now, self.dead = clock, clock.now, False
        self.next_id = numbers(1).__next__
        self.pending_calls: deque[tuple[Any, Callable[..., None], tuple[Any, ...]]] = deque()
        self.running, self.recent_lag, self.max_lag = False, 0, 0

    def clock(self) -> int:
        return self.sim.now

    def call_at(self, at: int, host: Any, call: Callable[..., None], *args: Any) -> None:
        self.sim.at(at, self.dispatch, host, call, *args)

    def dispatch(self, host: Any, call: Callable[..., None], *args: Any) -> None:
        """As the real one, without its guards: a fault ends the run, and a process that died does nothing."""
        if self.dead:
            return
        todo = self.pending_calls
        todo.append((host, call, args))
        if self.running:
            return
        self.running = True
        try:
            while todo:
                host, call, args = todo.popleft()
                host.now = self.sim.now
                call(*args)
        finally:
            self.running = False

    def deadline_margin(self) -> int:
        return 0


class SimulatedRequest(PendingRequest):
    """A request of a model client."""

    __slots__ = ("answered", "due", "work", "stream", "tries", "origin", "balancer", "gone")
    balancer: Balancer

    def __init__(self, number: int, request_class: RequestClass, came: int, ends: int) -> None:
        super().__init__(number, request_class, came, ends)
        self.client_id = b""
        self.answered: Callable[[SimulatedRequest, str, int], None]
        self.due, self.work, self.tries, self.origin = came, 0.0, 0, number
        self.stream: Any = None
        self.gone = False  # its client has left

    def is_awaited(self) -> bool:
        return not self.gone

    def respond(self, answer: Any) -> None:
        self.answered(self, "fulfilled", 0)

    def respond_rejected(self, wait: int) -> None:
        self.answered(self, "turned back", wait)

    def respond_failed(self) -> None:
        self.answered(self, "scrapped", 0)


class SimulatedAttempt(PoolAttempt):
    """An attempt on its way to a model upstream and back."""

    def __init__(self, request: SimulatedRequest, peer: Link, now: int, fresh: bool) -> None:
        super().__init__(request, peer, now)
        self.asked, self.link = request, peer
        self.work = request.work
        self.fresh = fresh
        self.fails: Outcome | None = None  # what it will end as, where that is drawn at its start
        self.dropped = False
        self.told = False

    def __hash__(self) -> int:
        return id(self)

    def ran(self, server: Server) -> None:
        """It has come whole and was not turned away: from now on it counts as run."""
        self.link.ground.referee.ran(self, server)

    def back(self, outcome: Outcome) -> None:
        """The upstream's side is over; its sender hears of it after the way back."""
        if not self.told:
            self.told = True
            link, network = self.link, self.link.ground.network
            if network.silent and network.drops(network.silent):
                return  # nothing says so: its sender waits
            link.ground.clock.after(link.way(), link.heard, self, outcome)


class Link(Endpoint):
    """What one process of a balancer has towards one upstream."""

    def __init__(
        self, pool: Pool, entry: Entry, number: int, balancer: Balancer, server: Server
    ) -> None:
        super().__init__(number, entry.state, 0, 0, entry.started)
        self.pool, self.host, self.address = pool, entry.host, entry.dial
        self.balancer, self.server, self.ground = balancer, server, balancer.ground
        self.run = server.run
        self.attempts: dict[SimulatedAttempt, None] = {}
        self.idle = 0  # connections

    def way(self) -> int:
        return self.ground.network.way(self.balancer.zone, self.server.zone)

    def cut(self) -> bool:
        """Whether balancer and upstream do not reach each other."""
        network, here, there = self.ground.network, self.balancer, self.server
        troubled = bool(network.apart or network.cuts)
        return troubled and network.cut(here.number, here.zone, there.name, there.zone)

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        assert isinstance(request, SimulatedRequest)
        fresh, server, ground = self.idle == 0, self.server, self.ground
        attempt = SimulatedAttempt(request, self, self.pool.now, fresh)
        request.attempts.append(attempt)
        self.attempts[attempt] = None
        self.balancer.out += 1
        ground.referee.sent(attempt, self.balancer, server)
        self.idle = max(0, self.idle - 1)
        clock, way = ground.clock, self.way()
        if not server.reachable or self.cut():
            # Nothing comes up; on a connection that is open nothing comes back.
            if fresh:
                clock.after(CONNECTING, self.heard, attempt, Outcome.CONNECT_FAILED)
            return attempt
        if fresh:
            if server.connections >= server.machine.connections:
                ground.counts["no_room_for_connections"] += 1
                clock.after(2 * way, self.heard, attempt, Outcome.CONNECT_FAILED)
                return attempt
            ground.counts["handshakes"] += 1
            server.connections += 1
            way *= 3  # its handshake first
        if ground.network.resets and ground.network.drops(ground.network.resets):
            # Written whole, and then reset: it runs, and its sender cannot know.
            clock.after(way, server.arrive, attempt)
            clock.after(2 * way, self.heard, attempt, Outcome.RESET)
            return attempt
        clock.after(way, server.arrive, attempt)
        return attempt

    def heard(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """What became of an attempt has come."""
        if outcome != Outcome.CONNECT_FAILED and self.cut():
            return
        if attempt in self.attempts:
            del self.attempts[attempt]
            self.balancer.out -= 1
            if outcome in ("fulfilled", "error", Outcome.OVERLOADED) and not attempt.dropped:
                self.idle += 1
            else:
                self.server.connections = max(0, self.server.connections - 1)
        if not attempt.settled:
            self.pool.settle(attempt, outcome)

    def abandon(self, sent: PoolAttempt) -> None:
        assert isinstance(sent, SimulatedAttempt)
        if self.attempts.pop(sent, self) is None:
            self.balancer.out -= 1
            self.server.connections = max(0, self.server.connections - 1)
        self.ground.clock.after(self.way(), self.server.give_up, sent)

    def close_idle(self) -> None:
        self.server.connections = max(0, self.server.connections - self.idle)
        self.idle = 0

    def drain(self) -> None:
        self.close_idle()

    def in_flight(self) -> int:
        return len(self.attempts)


class Balancer:
    """One balancer of the run, through all runs of its process."""

    def __init__(
        self,
        ground: Ground,
        number: int,
        zone: int,
        servers: Mapping[str, Server],
        made: Callable[[Balancer], Pool],
    ) -> None:
        self.ground, self.number, self.zone, self.servers, self.made = (
            ground,
            number,
            zone,
            servers,
            made,
        )
        self.told_at: dict[
            str, tuple[str, int]
        ] = {}  # upstream: what the list last said of it, and when
        self.stale_until = 0
        self.up, self.leaving, self.run = True, False, 0
        self.out = 0  # attempts on the wire
        self.begin()

    def begin(self) -> None:
        """A process that knows nothing."""
        self.loop: EventLoop = SimLoop(self.ground.clock)
        self.budget = Budget(65_536, 1 << 34)
        self.ids: dict[bytes | int, PendingRequest] = {}
        self.counts: Counter[str] = Counter()
        self.pool = self.made(self)

    def kill(self) -> list[SimulatedRequest]:
        """Its process dies at once; the requests whose clients now hear nothing of it."""
        assert isinstance(self.loop, SimLoop)
        self.loop.dead, self.up, self.leaving, self.out = True, False, False, 0
        lost = [
            request
            for request in self.ids.values()
            if isinstance(request, SimulatedRequest) and not request.ended
        ]
        for peer in self.pool.all_endpoints():
            assert isinstance(peer, Link)
            for attempt in peer.attempts:
                attempt.settled = True
                self.ground.clock.after(peer.way(), peer.server.give_up, attempt)
            peer.server.connections = max(
                0, peer.server.connections - peer.idle - len(peer.attempts)
            )
            peer.attempts.clear()
            peer.idle = 0
        for request in lost:
            request.attempts.clear()
        return lost

    def start(self, entries: list[Entry]) -> None:
        """It is started again, under its name, from nothing but the list."""
        self.run += 1
        self.up, self.leaving = True, False
        self.told_at.clear()
        self.begin()
        self.tell(entries, True)

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        return Link(pool, entry, number, self, self.servers[entry.host])

    def create_watch(self, pool: Pool) -> EndpointWatch | None:
        return None

    def shared_warm_up_pacer(self, entry: Entry) -> Pacer | None:
        return None

    def first_seen_at(self, dial: Address) -> int:
        return 0

    def tell(self, entries: list[Entry], whole: bool) -> None:
        """The list, or a change of it, has come."""
        if not self.up:
            return
        now = self.ground.clock.now
        if whole:
            self.told_at.clear()
        for entry in entries:
            self.told_at[entry.host] = (entry.state, now)
        self.pool.update_endpoints(entries, whole)

    def take(self, request: SimulatedRequest) -> None:
        request.balancer = self
        self.pool.budget.requests.acquire()
        self.pool.accept(request)
