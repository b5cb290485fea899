"""Model clients: streams of tasks with surges, day curves, gateways, keys, and tries after a turn-back.

An open loop: tasks come when they are due, whatever became of those before. A client's next try is another
task with the origin of the first; it counts as a repeat, not as new demand.
"""

from __future__ import annotations

from math import cos, pi
from random import Random
from typing import TYPE_CHECKING

from whinpier.lab.balancers import Asked, Balancer
from whinpier.lab.clock import SECOND
from whinpier.lab.experiment import Stream
from whinpier.model import EXCLUSIVE, Workload
from whinpier.standin.work import draw

if TYPE_CHECKING:
    from whinpier.lab.world import World

BACK = SECOND // 4  # until a client tries again that was told no time
POPULAR = 0.9  # exponent of the law by which keys are asked for


class Clients:
    """All clients of one stream."""

    def __init__(self, world: World, stream: Stream, workload: Workload, seed: int) -> None:
        self.world, self.stream, self.workload = world, stream, workload
        self.chance = Random(f"clients/{seed}/{stream.name}")
        self.surge = 1.0  # by a trouble, on top of the stream's own
        self.most = max([1.0, *(times for _, _, times in stream.surges)]) * (1.0 + stream.day)
        self.thinned = 0

    def rate(self, at: float) -> float:
        """Tasks a second at a time since the start."""
        stream = self.stream
        rate = stream.rate * self.surge
        if stream.day:
            rate *= 1.0 - stream.day * cos(2.0 * pi * at / self.world.experiment.seconds)
        for begins, ends, times in stream.surges:
            rate *= times if begins <= at < ends else 1.0
        return rate

    def begin(self) -> None:
        if self.stream.rate > 0.0:
            self.world.clock.after(0, self.next)

    def next(self) -> None:
        """A task comes, or a moment passes in which none does: thinned from the highest rate there is."""
        world, clock = self.world, self.world.clock
        most = self.stream.rate * self.most * max(1.0, self.surge)
        clock.after(max(1, int(self.chance.expovariate(most) * SECOND)), self.next)
        if clock.now < world.ends and self.chance.random() * most < self.rate(clock.seconds()):
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
        world, stream = self.world, self.stream
        balancer = world.balancers[int(self.chance.random() * len(world.balancers))]
        number = world.number()
        way = int(world.experiment.fleet.network * SECOND)
        ends = due + int(stream.patience * SECOND) - 2 * way
        task = Asked(number, self.workload, due, ends)
        work = draw(stream.spread, stream.work, self.chance)
        task.due, task.work, task.tries, task.origin = due, work, tries, origin or number
        task.stream, task.answered, task.repeat = self, self.answered, tries > 0
        task.key = self.key()
        task.tenant = int(self.chance.random() * stream.gateways)
        world.referee.asked(task)
        world.measure.asked(task)
        world.clock.after(way, self.arrive, task, balancer)

    def arrive(self, task: Asked, balancer: Balancer) -> None:
        task.came = balancer.loop.clock()
        task.workload = balancer.pool.workloads[self.stream.name.encode()]
        balancer.take(task)

    def answered(self, task: Asked, how: str, wait: int) -> None:
        """The balancer has written its answer; the client has it a moment later."""
        world = self.world
        world.referee.answered(task, how)
        way = int(world.experiment.fleet.network * SECOND)
        world.measure.answered(task, how, world.clock.now + way - task.due)
        # What was scrapped may have run: of exclusive tasks a client tries again only what was turned back.
        again = how == "turned back" or how == "scrapped" and self.workload.kind != EXCLUSIVE
        if again and task.tries < self.stream.retries and world.clock.now < world.ends:
            after = 0 if self.stream.hasty else int((wait or BACK) * (0.75 + 0.5 * self.chance.random()))
            world.clock.after(way + after, self.again, task)

    def again(self, task: Asked) -> None:
        self.ask(self.world.clock.now, task.tries + 1, task.origin)
