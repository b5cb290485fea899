"""What goes wrong in a run: on a schedule or by chance, also at once, each undone when its time is
over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, TypeVar

from whinpier.policy.model import UpstreamState
from whinpier.simulation.clock import SECOND
from whinpier.simulation.experiment import KINDS, Chance, Trouble

if TYPE_CHECKING:
    from whinpier.simulation.balancers import Balancer
    from whinpier.simulation.servers import Server
    from whinpier.simulation.world import World

One = TypeVar("One")

# What a trouble's amount is where a file does not say: a part, seconds, or times.
USUAL = {
    "slow": 0.2,
    "fail": 0.5,
    "spoilt": 0.3,
    "lossy": 0.1,
    "pause": 0.5,
    "clock_step": 5.0,
    "surge": 3.0,
    "late_list": 10.0,
    "silent_answers": 0.02,
    "resets": 0.02,
    "leavers": 0.1,
    "eager": 1.0,
    "shift": 3.0,
}
BACK = 1  # seconds that a restart takes
STEPS = 10  # of what goes step by step
LEFT = 2.0  # and that an upstream which is replaced has after it drains


def by_chance(chance: Chance, seconds: float, warm: float, zones: int, seed: int) -> list[Trouble]:
    """Troubles of a run, drawn from its seed; in the middle of it, so that it is seen to recover."""
    draw, found = Random(f"troubles/{seed}"), []
    kinds = list(chance.kinds or KINDS)
    for _ in range(chance.count):
        kind = draw.choice(kinds)
        span = draw.uniform(0.2, 1.0) * chance.longest
        latest = max(warm, seconds * 0.75 - span)
        found.append(
            Trouble(
                kind=kind,
                at=round(draw.uniform(warm, latest), 3),
                span=round(span, 3),
                share=round(draw.uniform(0.05, 0.5), 3),
                zone=draw.randrange(zones),
            )
        )
    return sorted(found, key=lambda trouble: trouble.at)


class Troubles:
    """Brings them about."""

    def __init__(self, world: World, troubles: list[Trouble], seed: int) -> None:
        self.world, self.troubles, self.chance = world, troubles, Random(f"victims/{seed}")
        for trouble in troubles:
            world.clock.at(world.clock.start + int(trouble.at * SECOND), self.begin, trouble)

    def victims(self, trouble: Trouble) -> list[Server]:
        servers = [
            server for server in self.world.servers.values() if server.state == UpstreamState.READY
        ]
        return self.some(servers, trouble.share)

    def some(self, of: Sequence[One], share: float) -> list[One]:
        """So many of them by chance, one at least."""
        return self.chance.sample(of, min(max(1, round(share * len(of))), len(of)))

    def in_steps(self, of: Sequence[One], span: float, act: Callable[[One], None]) -> None:
        """Something that befalls a tenth of them after the other, over a span."""
        clock = self.world.clock
        for index, one in enumerate(of):
            step = index * STEPS // max(1, len(of))
            clock.after(int(span * step / STEPS * SECOND), act, one)

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
            world.state(server, UpstreamState.DRAINING)

        def gone() -> None:
            for server in hit:
                if server.state == UpstreamState.DRAINING:
                    world.state(server, UpstreamState.REMOVED)
                    server.stop()

        def back() -> None:
            for server in hit:
                server.start()
                world.state(server, UpstreamState.READY)

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
        ends = self.world.clock.now + int(trouble.span * SECOND)
        for balancer in self.some(self.world.balancers, trouble.share):
            balancer.stale_until = max(balancer.stale_until, ends)
        return lambda: None

    def cut_zone(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A zone and the others do not reach each other, whichever way; the list does not know."""
        apart = self.world.ground.network.apart
        apart[trouble.zone] += 1

        def back() -> None:
            apart[trouble.zone] -= 1
            if not any(apart.values()):
                apart.clear()

        return back

    def replace(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A part of the fleet is replaced in steps by new upstreams, cold and under new names."""
        world = self.world

        def one(old: Server) -> None:
            if old.state != UpstreamState.READY:
                return
            new = world.server(old.machine, old.zone)
            new.start()
            world.state(new, UpstreamState.READY)
            world.state(old, UpstreamState.DRAINING)
            world.clock.after(int(LEFT * SECOND), gone, old)

        def gone(old: Server) -> None:
            world.state(old, UpstreamState.REMOVED)
            old.stop()
            world.clock.after(int(60 * SECOND), world.forget, old)

        self.in_steps(self.victims(trouble), trouble.span, one)
        return lambda: None

    def killed(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Balancers die at once; they are started again when the trouble is over, knowing nothing."""
        hit = self.some(self.world.balancers, trouble.share)
        for balancer in hit:
            self.world.kill(balancer)

        def back() -> None:
            for balancer in hit:
                self.world.start(balancer)

        return back

    def rolling(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Balancers are restarted a tenth at a time: each serves what it has, ends, and begins anew."""
        world = self.world

        def leave(balancer: Balancer) -> None:
            if balancer.up and not balancer.leaving:
                balancer.leaving = True
                world.front.noticed(balancer, balancer.run)
                longest = max(stream.timeout for stream in world.experiment.streams)
                ends = world.clock.now + int(longest * SECOND)
                world.clock.after(SECOND // 10, end, balancer, balancer.run, ends)

        def end(balancer: Balancer, run: int, ends: int) -> None:
            if balancer.run != run:
                return
            if balancer.pool.in_flight and world.clock.now < ends:
                world.clock.after(SECOND // 10, end, balancer, run, ends)
            else:
                world.kill(balancer)
                world.clock.after(BACK * SECOND, world.start, balancer)

        self.in_steps(self.some(world.balancers, trouble.share or 1.0), trouble.span, leave)
        return lambda: None

    def moved_list(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Each balancer is told the whole list anew, some time in the span."""
        world = self.world

        def anew(balancer: Balancer) -> None:
            balancer.tell(world.entries(), True)

        for balancer in world.balancers:
            world.clock.after(int(self.chance.random() * trouble.span * SECOND), anew, balancer)
        return lambda: None

    def late_list(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """What the list has to say comes so many times later than usual."""
        self.world.late *= amount

        def back() -> None:
            self.world.late /= amount

        return back

    def lossy(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        return raised([self.world.ground.network], "loss", amount)

    def silent_answers(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A part of all answers never comes, and nothing says so."""
        return raised([self.world.ground.network], "silent", amount)

    def resets(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A part of all connections is reset under a request that was written: it runs unknown."""
        return raised([self.world.ground.network], "resets", amount)

    def leavers(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A part of the clients leaves before its time."""
        return raised(self.world.clients, "leaving", amount)

    def eager(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Clients come again at once, whatever they are told, and more often."""

        def more(by: int) -> None:
            for clients in self.world.clients:
                clients.eager += by

        more(round(amount))
        return lambda: more(-round(amount))

    def shift(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """A zone's clients ask for so many times as much of the whole."""
        front = self.world.front

        def times(by: float) -> None:
            front.zones[trouble.zone] *= by
            front.deal()

        times(amount)
        return lambda: times(1.0 / amount)

    def partition(self, trouble: Trouble, amount: float) -> Callable[[], None]:
        """Some balancers and some upstreams do not reach each other; the list does not know."""
        few = {balancer.number for balancer in self.some(self.world.balancers, trouble.share)}
        cut, cuts = (
            (few, {server.name for server in self.victims(trouble)}),
            self.world.ground.network.cuts,
        )
        cuts.append(cut)
        return lambda: cuts.remove(cut)

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


def raised(hit: Sequence[object], share: str, amount: float) -> Callable[[], None]:
    """Raise a share of some things, within 0 and 1; what is given back lowers it again."""

    def more(by: float) -> None:
        for one in hit:
            setattr(one, share, max(0.0, min(1.0, round(getattr(one, share) + by, 12))))

    more(amount)
    return lambda: more(-amount)
