"""Model clients: streams of requests with surges, day curves, gateways, keys, and tries after a
turn-back.

An open loop: requests come when they are due, whatever became of those before. A client's next try
is another request with the origin of the first; it counts as a repeat, not as new demand.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from math import cos, pi
from random import Random

from whinpier.policy.model import Effect, RequestClass
from whinpier.simulation.balancers import Balancer, SimulatedRequest
from whinpier.simulation.clock import SECOND
from whinpier.simulation.environment import Ground
from whinpier.simulation.experiment import Front as FrontTable
from whinpier.simulation.experiment import Stream
from whinpier.testbed.work import draw

BACK = SECOND // 4  # until a client tries again that was told no time
REFUSED = SECOND // 1000  # until a client whose connection was refused has another one
POPULAR = 0.9  # exponent of the law by which keys are asked for


class Front:
    """Deals clients' requests out among the balancers: by zone, then by each one's part of the traffic."""

    def __init__(
        self,
        ground: Ground,
        table: FrontTable,
        balancers: list[Balancer],
        zones: int,
        seed: int,
        ends: int,
        seconds: float,
    ) -> None:
        self.ground, self.table, self.balancers, self.seed = ground, table, balancers, seed
        self.ends, self.seconds = ends, seconds
        self.chance = Random(f"front/{seed}")
        # Some balancers see several times what the others do.
        busy = set(self.chance.sample(range(len(balancers)), round(table.busy * len(balancers))))
        self.parts = [table.times if number in busy else 1.0 for number in range(len(balancers))]
        self.zones = [table.zones[zone] if table.zones else 1.0 for zone in range(zones)]
        self.known = set(range(len(balancers)))  # those that it takes to be up
        self.deal()

    def deal(self) -> None:
        """Who gets which part from now on; what a zone asks for stays with it while anyone is up there."""
        of = [0.0] * len(self.zones)
        for number in self.known:
            of[self.balancers[number].zone] += self.parts[number]
        self.order = sorted(self.known) or list(range(len(self.balancers)))
        shares = [
            self.parts[number]
            * self.zones[self.balancers[number].zone]
            / max(of[self.balancers[number].zone], 1e-9)
            for number in self.order
        ]
        self.sums = list(accumulate(shares))

    def pick(self) -> Balancer:
        at = bisect(self.sums, self.chance.random() * self.sums[-1])
        return self.balancers[self.order[min(at, len(self.order) - 1)]]

    def lost(self, balancer: Balancer) -> None:
        """One has died: that is noticed after a while."""
        self.ground.clock.after(
            int(self.table.notice * SECOND), self.noticed, balancer, balancer.run
        )

    def noticed(self, balancer: Balancer, run: int) -> None:
        if balancer.run == run and (not balancer.up or balancer.leaving):
            self.known.discard(balancer.number)
            self.deal()

    def back(self, balancer: Balancer) -> None:
        self.known.add(balancer.number)
        self.deal()


class Clients:
    """All clients of one stream."""

    def __init__(
        self, ground: Ground, front: Front, stream: Stream, request_class: RequestClass
    ) -> None:
        self.ground, self.front, self.stream, self.request_class = (
            ground,
            front,
            stream,
            request_class,
        )
        self.chance = Random(f"clients/{front.seed}/{stream.name}")
        self.surge = 1.0  # by a trouble, on top of the stream's own
        self.leaving, self.eager = (
            0.0,
            0,
        )  # part of requests that are not waited for to the end; further tries
        self.most = max([1.0, *(times for _, _, times in stream.surges)]) * (1.0 + stream.day)
        self.timeout = int(stream.timeout * SECOND)

    def rate(self, at: float) -> float:
        """Requests a second at a time since the start."""
        stream = self.stream
        rate = stream.rate * self.surge
        if stream.day:
            rate *= 1.0 - stream.day * cos(2.0 * pi * at / self.front.seconds)
        for begins, ends, times in stream.surges:
            rate *= times if begins <= at < ends else 1.0
        return rate

    def begin(self) -> None:
        if self.stream.rate > 0.0:
            self.ground.clock.after(0, self.next)

    def next(self) -> None:
        """A request comes, or a moment passes in which none does: thinned from the highest rate there is."""
        clock = self.ground.clock
        most = self.stream.rate * self.most * max(1.0, self.surge)
        clock.after(max(1, int(self.chance.expovariate(most) * SECOND)), self.next)
        if clock.now < self.front.ends and self.chance.random() * most < self.rate(clock.seconds()):
            self.ask(clock.now, 0, 0)

    def key(self) -> int:
        if not self.stream.keys:
            return 0
        # By the inverse of the continuous law of powers on 1 to keys + 1.
        power = 1.0 - POPULAR
        last = (self.stream.keys + 1.0) ** power
        return int((1.0 + self.chance.random() * (last - 1.0)) ** (1.0 / power))

    def ask(self, due: int, tries: int, origin: int) -> None:
        """A request comes to one of the balancers, as the front deals them out."""
        ground, stream, chance = self.ground, self.stream, self.chance.random
        balancer = self.front.pick()
        number, way = ground.number(), ground.network.near
        request = SimulatedRequest(number, self.request_class, due, due + self.timeout - 2 * way)
        request.due, request.work = due, draw(stream.spread, stream.work, self.chance)
        request.tries, request.origin = tries, origin or number
        request.stream, request.answered, request.repeat = self, self.answered, tries > 0
        if stream.keys:
            request.key = self.key()
        if stream.gateways > 1:
            request.tenant = int(chance() * stream.gateways)
        ground.referee.asked(request)
        ground.measure.asked(request)
        if self.leaving and chance() < self.leaving:
            ground.clock.after(int((0.1 + 0.8 * chance()) * self.timeout), self.leave, request)
        ground.clock.after(way, self.arrive, request, balancer)

    def arrive(self, request: SimulatedRequest, balancer: Balancer) -> None:
        if request.gone:
            return
        if not balancer.up:
            # Refused: nobody has taken it, so that it is no other try.
            self.ground.counts["refused_by_the_dead"] += 1
            if self.ground.clock.now < request.deadline:
                self.ground.clock.after(REFUSED, self.arrive, request, self.front.pick())
            else:
                self.ground.referee.given_up(request)
            return
        request.arrived_at = balancer.loop.clock()
        if request.arrived_at >= request.deadline:
            self.ground.referee.given_up(request)
            return
        request.request_class = balancer.pool.request_classes[self.stream.name.encode()]
        balancer.take(request)

    def leave(self, request: SimulatedRequest) -> None:
        """Its client waits no longer; a new try is another request, and it may come at once."""
        if request.ended or request.gone:
            return
        request.gone = True
        self.ground.referee.given_up(request)
        if hasattr(request, "balancer") and request.balancer.up:
            request.balancer.pool.on_client_disconnected(request)

    def cut_off(self, request: SimulatedRequest) -> None:
        """Its balancer has died: the connection is reset, and its client does not know what became of it."""
        if request.gone:
            return
        request.gone = True
        self.ground.referee.given_up(request)
        self.ground.counts["lost_with_a_balancer"] += 1
        if self.request_class.kind != Effect.NON_IDEMPOTENT:
            self.next_try(request, 0)

    def answered(self, request: SimulatedRequest, how: str, wait: int) -> None:
        """The balancer has written its answer; the client has it a moment later."""
        ground = self.ground
        ground.referee.answered(request, how)
        ground.measure.answered(request, how, ground.clock.now + ground.network.near - request.due)
        # What was failed may have run: of exclusive requests a client tries again only what was
        # rejected.
        if (
            how == "turned back"
            or how == "scrapped"
            and self.request_class.kind != Effect.NON_IDEMPOTENT
        ):
            self.next_try(request, wait)

    def next_try(self, request: SimulatedRequest, wait: int) -> None:
        if (
            request.tries < self.stream.retries + self.eager
            and self.ground.clock.now < self.front.ends
        ):
            hasty = self.stream.hasty or self.eager
            after = 0 if hasty else int((wait or BACK) * (0.75 + 0.5 * self.chance.random()))
            self.ground.clock.after(self.ground.network.near + after, self.again, request)

    def again(self, request: SimulatedRequest) -> None:
        self.ask(self.ground.clock.now, request.tries + 1, request.origin)
