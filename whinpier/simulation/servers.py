"""Model upstreams: cores, a queue, speed, connections, warm-up, known keys, and what troubles do to
them.

Owns the true state of the fleet, which no policy but the oracle may look at. Work is seconds of a
core at speed 1; a request that has begun keeps the speed it began with, but a pause stops it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from whinpier.config.model import Entry
from whinpier.policy.model import Outcome, UpstreamState
from whinpier.simulation.clock import SECOND, Clock
from whinpier.simulation.experiment import Machine

if TYPE_CHECKING:
    from whinpier.simulation.balancers import SimulatedAttempt

CONNECTING = SECOND // 4  # that a connection which never comes up is waited for


class Server:
    """One run after the other of an upstream at one address."""

    def __init__(
        self,
        clock: Clock,
        number: int,
        machine: Machine,
        zone: int,
        seed: int,
        fell: Callable[[Server], None],
    ) -> None:
        self.clock, self.number, self.machine, self.zone = clock, number, machine, zone
        self.name, self.chance = f"s-{number}", Random(f"server/{seed}/{number}")
        self.fell = fell  # told when it is pushed over while cold
        self.started = 0  # as the list has it; 0: long ago
        self.born = 0  # when it did, whatever its clock says
        self.run = 0  # restarts
        self.up, self.reachable = True, True
        self.state = UpstreamState.READY
        self.slow, self.failing, self.spoilt, self.hanging, self.paused_until = 1.0, 0.0, 0.0, 0, 0
        self.queue: deque[SimulatedAttempt] = deque()
        self.busy: dict[SimulatedAttempt, None] = {}
        self.connections = 0
        self.keys: OrderedDict[int, None] = OrderedDict()
        self.recent: deque[tuple[int, float]] = deque()  # work sent while cold, by steps
        self.done = 0

    # What it can do.

    def warmth(self) -> float:
        """The part of its capacity that it has."""
        machine = self.machine
        if not self.born or not machine.warm_up:
            return 1.0
        age = (self.clock.now - self.born) / SECOND
        return min(1.0, machine.cold_from + (1.0 - machine.cold_from) * age / machine.warm_up)

    def speed(self) -> float:
        crowd = len(self.queue) / self.machine.cores
        return (
            self.machine.speed * self.slow * self.warmth() / (1.0 + self.machine.overdrive * crowd)
        )

    def capacity(self) -> float:
        """Seconds of work that it does in a second, now; 0 while it hangs, pauses or can't be reached."""
        if not self.up or not self.reachable or self.hanging or self.paused_until > self.clock.now:
            return 0.0
        return self.machine.cores * self.speed()

    def backlog(self) -> float:
        """Seconds of work that are in it."""
        return (
            sum(attempt.work for attempt in self.queue)
            + sum(attempt.work for attempt in self.busy) / 2
        )

    def entry(self) -> Entry:
        """What the list says of it."""
        return Entry(
            self.name,
            ("127.0.0.1", self.number + 1),  # each has an address of its own
            self.state,
            f"z{self.zone}",
            "",
            self.zone,
            1.0,
            self.started,
        )

    # What comes.

    def arrive(self, attempt: SimulatedAttempt) -> None:
        """A whole request has come."""
        if not self.up:
            attempt.back(Outcome.CONNECT_FAILED)
            return
        if not self.reachable:
            return  # it vanishes: nothing comes back
        if len(self.queue) >= self.machine.queue and len(self.busy) >= self.machine.cores:
            attempt.back(Outcome.OVERLOADED)
            return
        attempt.ran(self)
        key, work = attempt.request.key, attempt.work
        if key and self.machine.keys:
            if key in self.keys:
                work *= self.machine.known_work
            self.keys[key] = None
            self.keys.move_to_end(key)
            if len(self.keys) > self.machine.keys:
                self.keys.popitem(last=False)
        attempt.work = work + (self.machine.connection_work if attempt.fresh else 0.0)
        self.press(attempt.work)
        self.queue.append(attempt)
        self.work()

    def press(self, work: float) -> None:
        """Whether what is sent to a cold one pushes it over (the fourth rule)."""
        topple = self.machine.topple
        if not topple or self.warmth() >= 1.0:
            self.recent.clear()
            return
        now = self.clock.now
        self.recent.append((now, work))
        while self.recent[0][0] < now - SECOND:
            self.recent.popleft()
        sent = sum(amount for _, amount in self.recent)
        # Some slack for chance: three requests' work beside what a second of its capacity does.
        most = topple * self.machine.cores * self.machine.speed * self.warmth() + 3.0 * work
        if sent > most:
            self.fell(self)
            self.stop()

    def work(self) -> None:
        if self.hanging or not self.up:
            return
        while self.queue and len(self.busy) < self.machine.cores:
            attempt = self.queue.popleft()
            if attempt.dropped:
                continue
            self.busy[attempt] = None
            begins = max(self.clock.now, self.paused_until)
            span = int(attempt.work / max(self.speed(), 1e-4) * SECOND)
            if self.failing and self.chance.random() < self.failing:
                attempt.fails, span = Outcome.FAILED, span // 20
            self.clock.at(begins + span, self.finish, attempt, self.run)

    def finish(self, attempt: SimulatedAttempt, run: int) -> None:
        if run != self.run or attempt not in self.busy:
            return
        if self.paused_until > self.clock.now:
            self.clock.at(
                self.paused_until + (self.clock.now - attempt.sent_at) // 4,
                self.finish,
                attempt,
                run,
            )
            return
        del self.busy[attempt]
        self.done += 1
        if not self.reachable or self.hanging:
            self.work()
            return  # done, and nobody hears of it
        if attempt.fails:
            attempt.back(attempt.fails)
        elif self.spoilt and self.chance.random() < self.spoilt:
            attempt.back(Outcome.FAILED)
        else:
            attempt.back(Outcome.SUCCEEDED)
        self.work()

    def give_up(self, attempt: SimulatedAttempt) -> None:
        """Whoever sent it waits no longer: what has not begun is left out."""
        attempt.dropped = True

    # What befalls it.

    def stop(self) -> None:
        """Its process dies: everything in it is reset."""
        self.run += 1
        self.up = False
        lost = [*self.queue, *self.busy]
        self.queue.clear()
        self.busy.clear()
        self.keys.clear()
        self.recent.clear()
        for attempt in lost:
            attempt.back(Outcome.RESET)

    def start(self) -> None:
        """A new run of it, cold."""
        self.run += 1
        self.up, self.reachable, self.hanging = True, True, 0
        self.started = self.born = self.clock.now

    def pause(self, span: int) -> None:
        self.paused_until = max(self.paused_until, self.clock.now + span)

    def hang(self, on: bool) -> None:
        self.hanging = max(0, self.hanging + (1 if on else -1))
        if not self.hanging:
            self.work()
