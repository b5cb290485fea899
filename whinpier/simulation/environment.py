"""What everyone in a run stands on: the clock, chance, the network between places, and who watches.

Balancers, upstreams, clients and the referee know each other through this, and nothing here knows
them. What the network does to bytes is decided here and nowhere else. Must never draw from a
generator of its own seed's other parts: a trouble on the network moves no client.
"""

from __future__ import annotations

from collections import Counter
from itertools import count as numbers
from random import Random
from typing import TYPE_CHECKING, Protocol

from whinpier.simulation.clock import SECOND, Clock

if TYPE_CHECKING:
    from whinpier.simulation.balancers import Balancer, SimulatedAttempt, SimulatedRequest
    from whinpier.simulation.servers import Server

RESENT = SECOND // 5  # after which a lost packet is sent again
MOST_RESENT = 10


class Referee(Protocol):
    """Is told what happens, and what of it the rules are about."""

    def asked(self, request: SimulatedRequest) -> None: ...

    def sent(self, attempt: SimulatedAttempt, balancer: Balancer, server: Server) -> None: ...

    def ran(self, attempt: SimulatedAttempt, server: Server) -> None: ...

    def answered(self, request: SimulatedRequest, how: str) -> None: ...

    def given_up(self, request: SimulatedRequest) -> None: ...

    def fell(self, server: Server) -> None: ...


class Measure(Protocol):
    """Is told what clients see."""

    def asked(self, request: SimulatedRequest) -> None: ...

    def answered(self, request: SimulatedRequest, how: str, took: int) -> None: ...


class Network:
    """Between zones: how long a way takes, who does not reach whom, what gets lost on it."""

    def __init__(self, seed: int, near: float, far: float) -> None:
        self.near, self.far = int(near * SECOND), int((near + far) * SECOND)  # one way
        self.chance = Random(f"network/{seed}").random
        self.loss = 0.0  # part of packets that are sent again
        self.silent = 0.0  # part of answers that never come, on a connection that stays open
        self.resets = 0.0  # part of connections that are reset under a request that was written
        self.cuts: list[tuple[set[int], set[str]]] = []  # balancers, upstreams: no way between
        self.apart: Counter[int] = Counter()  # zones that are cut off from the others

    def way(self, one: int, other: int) -> int:
        """Nanoseconds one way between two zones, with what the network does to it just now."""
        span = self.near if one == other else self.far
        if self.loss:
            late = 0
            while self.chance() < self.loss and late < MOST_RESENT * RESENT:
                late += RESENT
            span += late
        return span

    def cut(self, number: int, zone: int, name: str, its_zone: int) -> bool:
        """Whether a balancer and an upstream do not reach each other."""
        if zone != its_zone and self.apart and (self.apart[zone] > 0 or self.apart[its_zone] > 0):
            return True
        return any(number in few and name in names for few, names in self.cuts)

    def drops(self, part: float) -> bool:
        """Whether what has this chance of being lost is lost."""
        return part > 0.0 and self.chance() < part


class Ground:
    """The common ground of one run."""

    def __init__(self, clock: Clock, network: Network) -> None:
        self.clock, self.network = clock, network
        self.number = numbers(1).__next__
        self.counts: Counter[str] = Counter()  # handshakes and the like, over the whole fleet
        self.referee: Referee
        self.measure: Measure
