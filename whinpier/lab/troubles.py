"""What goes wrong in a run: on a schedule or by chance, also at once, each undone when its time is over."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from whinpier.lab.clock import SECOND
from whinpier.lab.experiment import KINDS, Chance, Trouble

if TYPE_CHECKING:
    from whinpier.lab.servers import Server
    from whinpier.lab.world import World

USUAL = {"slow": 0.2, "fail": 0.5, "spoilt": 0.3, "lossy": 0.1, "pause": 0.5, "clock_step": 5.0, "surge": 3.0}
BACK = 1  # seconds that a restart takes


def by_chance(chance: Chance, seconds: float, warm: float, zones: int, seed: int) -> list[Trouble]:
    """Troubles of a run, drawn from its seed; in the middle of it, so that it is seen to recover."""
    draw, found = Random(f"troubles/{seed}"), []
    kinds = list(chance.kinds or KINDS)
    for _ in range(chance.count):
        kind = draw.choice(kinds)
        span = draw.uniform(0.2, 1.0) * chance.longest
        latest = max(warm, seconds * 0.75 - span)
        found.append(Trouble(kind=kind, at=round(draw.uniform(warm, latest), 3), span=round(span, 3),
                             share=round(draw.uniform(0.05, 0.5), 3), zone=draw.randrange(zones)))
    return sorted(found, key=lambda trouble: trouble.at)


class Troubles:
    """Brings them about."""

    def __init__(self, world: World, troubles: list[Trouble], seed: int) -> None:
        self.world, self.troubles, self.chance = world, troubles, Random(f"victims/{seed}")
        for trouble in troubles:
            world.clock.at(world.clock.start + int(trouble.at * SECOND), self.begin, trouble)

    def victims(self, trouble: Trouble) -> list[Server]:
        servers = [server for server in self.world.servers.values() if server.state == "ready"]
        count = max(1, round(trouble.share * len(servers)))
        return self.chance.sample(servers, min(count, len(servers)))

    def begin(self, trouble: Trouble) -> None:
        act: Callable[[Trouble, float], Callable[[], None]] = getattr(self, trouble.kind)
        undo = act(trouble, trouble.amount or USUAL.get(trouble.kind, 0.0))
        self.world.clock.after(int(trouble.span * SECOND), undo)

    # Each returns how it is undone.

    def slow(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        hit = self.victims(trouble)

        def scale(times: float) -> None:
            for server in hit:
                server.slow *= times

        scale(amount)
        return lambda: scale(1.0 / amount)

    def hang(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        hit = self.victims(trouble)

        def switch(on: bool) -> None:
            for server in hit:
                server.hang(on)

        switch(True)
        return lambda: switch(False)

    def pause(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Stops of `amount` seconds, one after the other with as long between."""
        hit, clock = self.victims(trouble), self.world.clock
        ends = clock.now + int(trouble.span * SECOND)

        def stop() -> None:
            if clock.now < ends:
                for server in hit:
                    server.pause(int(amount * SECOND))
                clock.after(int(2 * amount * SECOND), stop)

        stop()
        return lambda: None

    def fail(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        return raised(self.victims(trouble), "failing", amount)

    def spoilt(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Answers of all upstreams alike."""
        return raised(list(self.world.servers.values()), "spoilt", amount)

    def shrink(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A part of the fleet drains, is taken out of the list, and comes back as new runs."""
        hit = self.victims(trouble)
        world, half = self.world, int(trouble.span * SECOND / 2)
        for server in hit:
            world.state(server, "draining")

        def gone() -> None:
            for server in hit:
                if server.state == "draining":
                    world.state(server, "gone")
                    server.stop()

        def back() -> None:
            for server in hit:
                server.start()
                world.state(server, "ready")

        world.clock.after(half, gone)
        return back

    def restart(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """They die without a word, and come back cold."""
        hit = self.victims(trouble)
        for server in hit:
            server.stop()

        def back() -> None:
            for server in hit:
                if not server.up:
                    server.start()
                    self.world.state(server, server.state)

        self.world.clock.after(BACK * SECOND, back)
        return lambda: None

    def lost_zone(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A zone vanishes: nothing comes back from it; it returns with all its upstreams cold."""
        hit = [server for server in self.world.servers.values() if server.zone == trouble.zone]
        for server in hit:
            server.reachable = False

        def back() -> None:
            for server in hit:
                server.stop()
                server.start()
                self.world.state(server, server.state)

        return back

    def stale_list(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Some balancers are told nothing for a while, then all of it."""
        balancers = self.world.balancers
        count = max(1, round(trouble.share * len(balancers)))
        ends = self.world.clock.now + int(trouble.span * SECOND)
        for balancer in self.chance.sample(balancers, count):
            balancer.stale_until = max(balancer.stale_until, ends)
        return lambda: None

    def lossy(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        self.world.loss += amount

        def less() -> None:
            self.world.loss = max(0.0, self.world.loss - amount)

        return less

    def partition(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Some balancers and some upstreams do not reach each other; the list does not know."""
        balancers = self.world.balancers
        few = {balancer.number for balancer in
               self.chance.sample(balancers, max(1, round(trouble.share * len(balancers))))}
        cut = (few, {server.name for server in self.victims(trouble)})
        self.world.cuts.append(cut)
        return lambda: self.world.cuts.remove(cut)

    def clock_step(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """The wall clock of some upstreams is wrong: they say that they started later or sooner."""
        hit = self.victims(trouble)
        for server in hit:
            if server.started:
                server.started += int(amount * SECOND)
        return lambda: None

    def surge(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        def times(by: float) -> None:
            for clients in self.world.clients:
                clients.surge *= by

        times(amount)
        return lambda: times(1.0 / amount)


def raised(hit: list[Server], share: str, amount: float) -> Callable[[], None]:
    """Raise a share of some servers, within 0 and 1; what is given back lowers it again."""
    def more(by: float) -> None:
        for server in hit:
            setattr(server, share, max(0.0, min(1.0, getattr(server, share) + by)))

    more(amount)
    return lambda: more(-amount)
