"""Puts a run together: clock, upstreams, balancers, clients, troubles, referee, measures; plays it."""

from __future__ import annotations

import gc
import logging
import time
from itertools import count as numbers
from random import Random
from typing import Any

from whinpier import log
from whinpier.lab.balancers import Balancer
from whinpier.lab.baselines import dress
from whinpier.lab.clients import Clients
from whinpier.lab.clock import SECOND, Clock
from whinpier.lab.experiment import File
from whinpier.lab.measure import Measure
from whinpier.lab.mutations import MUTATIONS
from whinpier.lab.rules import RULES, Referee
from whinpier.lab.servers import Server
from whinpier.lab.troubles import Troubles, by_chance
from whinpier.model import Workload
from whinpier.spec import Limits, PoolSpec

AFTER = 2 * SECOND  # past the last task's patience: what is late comes in


class World:
    """One run."""

    def __init__(self, experiment: File, seed: int) -> None:
        self.experiment, self.seed = experiment, seed
        self.clock, self.number = Clock(seed), numbers(1).__next__
        self.ends = self.clock.start + int(experiment.seconds * SECOND)
        self.chance = Random(f"network/{seed}")
        self.loss = 0.0
        self.cuts: list[tuple[set[int], set[str]]] = []
        self.referee = Referee(self, int(experiment.policy.drain_grace * SECOND))
        self.measure = Measure(self, experiment.warm, experiment.seconds)
        self.servers: dict[str, Server] = {}
        for machine in experiment.fleet.machines:
            for _ in range(machine.count):
                number = len(self.servers)
                zone = number % experiment.fleet.zones
                server = Server(self.clock, number, machine, zone, seed, self.referee.fell)
                self.servers[server.name] = server
        self.balancers = [self.balancer(number) for number in range(experiment.fleet.balancers)]
        workloads = self.workloads()
        self.clients = [Clients(self, stream, workload, seed)
                        for stream, workload in zip(experiment.streams, workloads)]
        zones = experiment.fleet.zones
        drawn = by_chance(experiment.chance, experiment.seconds, experiment.warm, zones, seed)
        self.troubles = Troubles(self, [*experiment.troubles, *drawn], seed)

    # What it is made of.

    def workloads(self) -> list[Workload]:
        return [Workload(stream.name, stream.kind, int(stream.agreed_time * SECOND),
                         int(stream.patience * SECOND), stream.payoff, stream.late_payoff, stream.group,
                         int(stream.window * SECOND)) for stream in self.experiment.streams]

    def settings(self, number: int, zone: int) -> dict[str, Any]:
        fleet, policy = self.experiment.fleet, self.experiment.policy
        warm_up = max(machine.warm_up for machine in fleet.machines)
        cold = min(machine.cold_from for machine in fleet.machines)
        return {"balancers": fleet.balancers, "slot_no": number, "zone": zone,
                "limits.max_hand_offs": policy.hand_offs, "limits.second_copies": policy.second_copies,
                "limits.cancelling": policy.cancelling, "family_info.warm_keys": policy.warm_keys,
                "rules.cold": int(warm_up * SECOND), "rules.cold_from": cold if warm_up else 1.0,
                "prices.cross_zone": 0.0, "report.columns": []}

    def balancer(self, number: int) -> Balancer:
        experiment, zone = self.experiment, number % self.experiment.fleet.zones
        spec = PoolSpec("lab", self.settings(number, zone), self.workloads(),
                        [f"z{place}" for place in range(experiment.fleet.zones)], [], [], SECOND // 4,
                        int(experiment.fleet.idle * SECOND), limits=Limits())
        made = Balancer(self, number, zone, spec, Random(f"balancer/{self.seed}/{number}").getrandbits(64))
        dress(made, experiment.policy.name, self.seed * 1000 + number)
        if experiment.policy.mutation:
            MUTATIONS[experiment.policy.mutation](made)
        return made

    # What troubles do.

    def cut(self, balancer: Balancer, server: Server) -> bool:
        """Whether the two do not reach each other."""
        return any(balancer.number in few and server.name in names for few, names in self.cuts)

    def state(self, server: Server, state: str) -> None:
        """The list says something new of an upstream; balancers are told when they are."""
        server.state = state
        entry = server.entry()
        delay = int(self.experiment.fleet.list_delay * SECOND)
        for balancer in self.balancers:
            at = max(self.clock.now, balancer.stale_until) + int(delay * (0.5 + self.chance.random()))
            self.clock.at(at, self.told, balancer, entry)

    def told(self, balancer: Balancer, entry: Any) -> None:
        # What was on its way when something newer came is old by now.
        server = self.servers[entry.host]
        if entry.state == server.state and entry.started == server.started:
            balancer.tell([entry], False)

    # The run.

    def look(self) -> None:
        """Each second: whether the balancers' picture is what is on the wire."""
        self.referee.pictures()
        if self.clock.now < self.ends:
            self.clock.after(SECOND, self.look)

    def play(self) -> dict[str, Any]:
        """Play it; its measures, the rules' breaches, what it cost."""
        logging.getLogger("whinpier").disabled = True
        log.counts.clear()
        begun = time.perf_counter()
        entries = [server.entry() for server in self.servers.values()]
        for balancer in self.balancers:
            balancer.tell(entries, True)
        for clients in self.clients:
            clients.begin()
        self.clock.after(SECOND, self.look)
        was = gc.isenabled()
        gc.disable()
        try:
            longest = max(stream.patience for stream in self.experiment.streams)
            step = self.clock.start
            while step < self.ends + int(longest * SECOND) + AFTER:
                step += SECOND
                self.clock.run(step)
                if self.clock.events > 200_000 and int(self.clock.seconds()) % 10 == 0:
                    gc.collect(1)
        finally:
            gc.enable() if was else None
            logging.getLogger("whinpier").disabled = False
        took = time.perf_counter() - begun
        found = self.measure.result()
        servers = {server.name: server.done for server in self.servers.values()}
        troubles = [{"kind": one.kind, "at": one.at, "span": one.span, "share": one.share}
                    for one in self.troubles.troubles]
        found |= {"seed": self.seed, "breaches": {rule: self.referee.breaches[rule] for rule in RULES},
                  "told": self.referee.told, "servers": servers, "events": self.clock.events,
                  "wall_s": took, "troubles": troubles}
        found["holds"], found["why"] = verdict(self.experiment, found)
        return found


def verdict(experiment: File, found: dict[str, Any]) -> tuple[bool, list[str]]:
    """Whether the rules were kept and what must hold held."""
    why = [f"rule broken: {rule} ({count})" for rule, count in found["breaches"].items() if count]
    holds = experiment.holds
    if found["on_time"] < holds.on_time:
        why.append(f"on time {found['on_time']:.4f}, below {holds.on_time}")
    if holds.recovered:
        first = max(0, int(experiment.seconds - holds.recovered))
        asked = sum(found["by_second"]["asked"][first:])
        share = sum(found["by_second"]["on_time"][first:]) / asked if asked else 1.0
        if share < holds.on_time_after:
            why.append(f"on time in the last {holds.recovered:g} s {share:.4f}, below {holds.on_time_after}")
    return not why, why
