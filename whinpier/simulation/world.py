"""Puts a run together: clock, upstreams, balancers, clients, troubles, referee, measures; plays it."""

from __future__ import annotations

import gc
import logging
import time
from dataclasses import replace
from random import Random
from typing import Any

from whinpier import log
from whinpier.config.model import Entry, Limits, PoolSpec
from whinpier.policy.model import Effect, RequestClass, UpstreamState
from whinpier.runtime.pool import Pool
from whinpier.simulation.balancers import Balancer
from whinpier.simulation.baselines import Sight, dressed
from whinpier.simulation.clients import Clients, Front
from whinpier.simulation.clock import SECOND, Clock
from whinpier.simulation.environment import Ground, Network
from whinpier.simulation.experiment import File, Machine
from whinpier.simulation.faults import Troubles, by_chance
from whinpier.simulation.invariants import RULES, Referee
from whinpier.simulation.metrics import Measure
from whinpier.simulation.mutations import MUTATIONS
from whinpier.simulation.servers import Server

AFTER = 2 * SECOND  # past the last request's timeout: what is late comes in


class World:
    """One run."""

    def __init__(self, experiment: File, seed: int) -> None:
        self.experiment, self.seed = experiment, seed
        upstream_fleet = experiment.upstream_fleet
        self.clock = Clock(seed)
        self.ends = self.clock.start + int(experiment.seconds * SECOND)
        self.chance = Random(f"list/{seed}")
        self.late = 1.0  # how many times later than usual the list is told
        ground = self.ground = Ground(
            self.clock, Network(seed, upstream_fleet.network, upstream_fleet.far)
        )
        self.referee = ground.referee = Referee(ground, int(experiment.policy.drain_grace * SECOND))
        self.measure = ground.measure = Measure(self.clock, experiment.warm, experiment.seconds)
        self.servers: dict[str, Server] = {}
        self.number = 0  # of the next upstream
        for machine in upstream_fleet.machines:
            for _ in range(machine.count):
                self.server(machine, self.number % upstream_fleet.zones)
        oracle = experiment.policy.name == "late_oracle"
        self.sight = Sight(self.clock, self.servers, experiment.policy.sight) if oracle else None
        self.balancers = [
            Balancer(ground, number, number % upstream_fleet.zones, self.servers, self.pool)
            for number in range(upstream_fleet.balancers)
        ]
        self.front = Front(
            ground,
            experiment.front,
            self.balancers,
            upstream_fleet.zones,
            seed,
            self.ends,
            experiment.seconds,
        )
        self.clients = [
            Clients(ground, self.front, stream, request_class)
            for stream, request_class in zip(experiment.streams, self.request_classes())
        ]
        drawn = by_chance(
            experiment.chance, experiment.seconds, experiment.warm, upstream_fleet.zones, seed
        )
        self.troubles = Troubles(self, [*experiment.troubles, *drawn], seed)

    # What it is made of.

    def server(self, machine: Machine, zone: int) -> Server:
        """A new upstream, under a name that none had."""
        server = Server(self.clock, self.number, machine, zone, self.seed, self.referee.fell)
        self.number += 1
        self.servers[server.name] = server
        return server

    def request_classes(self) -> list[RequestClass]:
        return [
            RequestClass(
                stream.name,
                Effect(stream.kind),
                int(stream.latency_objective * SECOND),
                int(stream.timeout * SECOND),
                stream.priority_weight,
                stream.late_priority_weight,
                stream.group,
                int(stream.window * SECOND),
            )
            for stream in self.experiment.streams
        ]

    def settings(self, number: int, zone: int) -> dict[str, Any]:
        upstream_fleet, policy = self.experiment.upstream_fleet, self.experiment.policy
        warm_up = max(machine.warm_up for machine in upstream_fleet.machines)
        cold = min(machine.cold_from for machine in upstream_fleet.machines)
        return {
            "balancers": upstream_fleet.balancers,
            "slot_no": number,
            "zone": zone,
            "limits.max_hand_offs": policy.attempts,
            "limits.second_copies": policy.second_copies,
            "limits.cancelling": policy.cancelling,
            "rules.cold": int(warm_up * SECOND),
            "rules.cold_from": cold if warm_up else 1.0,
            "prices.cross_zone": 0.0,
            "report.columns": [],
        }

    def pool(self, balancer: Balancer) -> Pool:
        """What one run of a balancer's process decides by."""
        experiment, number = self.experiment, balancer.number
        spec = PoolSpec(
            "lab",
            self.settings(number, balancer.zone),
            self.request_classes(),
            [f"z{place}" for place in range(experiment.upstream_fleet.zones)],
            [],
            [],
            SECOND // 4,
            int(experiment.upstream_fleet.idle * SECOND),
            limits=Limits(),
        )
        seed = Random(f"balancer/{self.seed}/{number}/{balancer.run}").getrandbits(64)
        made = dressed(
            Pool(balancer, spec, seed, balancer.counts),
            experiment.policy.name,
            self.seed * 1000 + number,
            self.sight,
        )
        if experiment.policy.mutation:
            MUTATIONS[experiment.policy.mutation](made)
        return made

    def entries(self) -> list[Entry]:
        """The list as it truly is."""
        return [
            server.entry()
            for server in self.servers.values()
            if server.state != UpstreamState.REMOVED
        ]

    # What troubles do.

    def state(self, server: Server, state: UpstreamState) -> None:
        """The list says something new of an upstream; balancers are told when they are."""
        server.state = state
        entry = server.entry()
        delay = self.experiment.upstream_fleet.list_delay * self.late * SECOND
        for balancer in self.balancers:
            at = max(self.clock.now, balancer.stale_until) + int(
                delay * (0.5 + self.chance.random())
            )
            self.clock.at(at, self.told, balancer, entry)

    def told(self, balancer: Balancer, entry: Entry) -> None:
        # What was on its way when something newer came is old by now.
        server = self.servers.get(entry.host)
        if server is None or entry.state == server.state and entry.started == server.started:
            balancer.tell([entry], False)

    def forget(self, server: Server) -> None:
        """It has gone for good, and everybody was told long ago."""
        self.servers.pop(server.name, None)
        for balancer in self.balancers:
            balancer.told_at.pop(server.name, None)

    def kill(self, balancer: Balancer) -> None:
        """Its process dies: whoever waited for it hears nothing but the end of the connection."""
        if balancer.up:
            for request in balancer.kill():
                request.stream.cut_off(request)
            self.front.lost(balancer)

    def start(self, balancer: Balancer) -> None:
        if not balancer.up:
            balancer.start([replace(entry) for entry in self.entries()])
            self.front.back(balancer)

    # The run.

    def look(self) -> None:
        """Each second: whether the balancers' picture is what is on the wire; who has gone is let go."""
        self.referee.pictures(self.balancers)
        for balancer in self.balancers:
            if balancer.up and balancer.pool.draining:
                balancer.pool.close_expired()
        if self.clock.now < self.ends:
            self.clock.after(SECOND, self.look)

    def play(self) -> dict[str, Any]:
        """Play it; its measures, the rules' breaches, what it cost."""
        logging.getLogger("whinpier").disabled = True
        log.counters.clear()
        begun = time.perf_counter()
        entries = self.entries()
        for balancer in self.balancers:
            balancer.tell(entries, True)
        for clients in self.clients:
            clients.begin()
        self.clock.after(SECOND, self.look)
        was = gc.isenabled()
        gc.disable()
        try:
            longest = max(stream.timeout for stream in self.experiment.streams)
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
        troubles = [
            {"kind": one.kind, "at": one.at, "span": one.span, "share": one.share}
            for one in self.troubles.troubles
        ]
        found |= {
            "seed": self.seed,
            "breaches": {rule: self.referee.breaches[rule] for rule in RULES},
            "told": self.referee.told,
            "servers": servers,
            "events": self.clock.events,
            "fleet": dict(self.ground.counts),
            "wall_s": took,
            "troubles": troubles,
        }
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
            why.append(
                f"on time in the last {holds.recovered:g} s {share:.4f}, below {holds.on_time_after}"
            )
    return not why, why
