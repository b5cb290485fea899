"""Model clients: streams of tasks with surges, day curves, gateways, keys, and tries after a turn-back.

An open loop: tasks come when they are due, whatever became of those before. A client's next try is another
task with the origin of the first; it counts as a repeat, not as new demand.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from math import cos, pi
from random import Random

from whinpier.simulation.balancers import Asked, Balancer
from whinpier.simulation.clock import SECOND
from whinpier.simulation.experiment import Front as FrontTable
from whinpier.simulation.experiment import Stream
from whinpier.simulation.environment import Ground
from whinpier.policy.model import EXCLUSIVE, Workload
from whinpier.testbed.work import draw

BACK = SECOND // 4  # until a client tries again that was told no time
REFUSED = SECOND // 1000  # until a client whose connection was refused has another one
POPULAR = 0.9  # exponent of the law by which keys are asked for


class Front:
    """Deals clients' tasks out among the balancers: by zone, then by each one's part of the traffic."""

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

    def __init__(self, ground: Ground, front: Front, stream: Stream, workload: Workload) -> None:
        self.ground, self.front, self.stream, self.workload = ground, front, stream, workload
        self.chance = Random(f"clients/{front.seed}/{stream.name}")
        self.surge = 1.0  # by a trouble, on top of the stream's own
        self.leaving, self.eager = (
            0.0,
            0,
        )  # part of tasks that are not waited for to the end; further tries
        self.most = max([1.0, *(times for _, _, times in stream.surges)]) * (1.0 + stream.day)
        self.patience = int(stream.patience * SECOND)

    def rate(self, at: float) -> float:
        """Tasks a second at a time since the start."""
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
        """A task comes, or a moment passes in which none does: thinned from the highest rate there is."""
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
        """A task comes to one of the balancers, as the front deals them out."""
        ground, stream, chance = self.ground, self.stream, self.chance.random
        balancer = self.front.pick()
        number, way = ground.number(), ground.network.near
        task = Asked(number, self.workload, due, due + self.patience - 2 * way)
        task.due, task.work = due, draw(stream.spread, stream.work, self.chance)
        task.tries, task.origin = tries, origin or number
        task.stream, task.answered, task.repeat = self, self.answered, tries > 0
        if stream.keys:
            task.key = self.key()
        if stream.gateways > 1:
            task.tenant = int(chance() * stream.gateways)
        ground.referee.asked(task)
        ground.measure.asked(task)
        if self.leaving and chance() < self.leaving:
            ground.clock.after(int((0.1 + 0.8 * chance()) * self.patience), self.leave, task)
        ground.clock.after(way, self.arrive, task, balancer)

    def arrive(self, task: Asked, balancer: Balancer) -> None:
        if task.gone:
            return
        if not balancer.up:
            # Refused: nobody has taken it, so that it is no other try.
            self.ground.counts["refused_by_the_dead"] += 1
            if self.ground.clock.now < task.ends:
                self.ground.clock.after(REFUSED, self.arrive, task, self.front.pick())
            else:
                self.ground.referee.given_up(task)
            return
        task.came = balancer.loop.clock()
        if task.came >= task.ends:
            self.ground.referee.given_up(task)
            return
        task.workload = balancer.pool.workloads[self.stream.name.encode()]
        balancer.take(task)

    def leave(self, task: Asked) -> None:
        """Its client waits no longer; a new try is another task, and it may come at once."""
        if task.ended or task.gone:
            return
        task.gone = True
        self.ground.referee.given_up(task)
        if hasattr(task, "balancer") and task.balancer.up:
            task.balancer.pool.client_left(task)

    def cut_off(self, task: Asked) -> None:
        """Its balancer has died: the connection is reset, and its client does not know what became of it."""
        if task.gone:
            return
        task.gone = True
        self.ground.referee.given_up(task)
        self.ground.counts["lost_with_a_balancer"] += 1
        if self.workload.kind != EXCLUSIVE:
            self.next_try(task, 0)

    def answered(self, task: Asked, how: str, wait: int) -> None:
        """The balancer has written its answer; the client has it a moment later."""
        ground = self.ground
        ground.referee.answered(task, how)
        ground.measure.answered(task, how, ground.clock.now + ground.network.near - task.due)
        # What was scrapped may have run: of exclusive tasks a client tries again only what was turned back.
        if how == "turned back" or how == "scrapped" and self.workload.kind != EXCLUSIVE:
            self.next_try(task, wait)

    def next_try(self, task: Asked, wait: int) -> None:
        if (
            task.tries < self.stream.retries + self.eager
            and self.ground.clock.now < self.front.ends
        ):
            hasty = self.stream.hasty or self.eager
            after = 0 if hasty else int((wait or BACK) * (0.75 + 0.5 * self.chance.random()))
            self.ground.clock.after(self.ground.network.near + after, self.again, task)

    def again(self, task: Asked) -> None:
        self.ask(self.ground.clock.now, task.tries + 1, task.origin)
