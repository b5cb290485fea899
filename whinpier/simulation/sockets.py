"""The same experiment on sockets: real balancer processes, stand-in upstreams and clients in their
own.

Owns how an experiment's fleet, load and troubles are put on the wire, and which of them can't be.
Clients keep an open loop, and say so where they were themselves late: such a run is void.
"""

from __future__ import annotations

import json
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from whinpier.config.model import ConfigFault
from whinpier.simulation.experiment import File, Trouble
from whinpier.simulation.faults import USUAL, by_chance
from whinpier.simulation.invariants import ANSWER, DRAIN, EFFECT, RULES
from whinpier.simulation.world import verdict
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.ledger import Ledger, percentile
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

POSSIBLE = frozenset(("slow", "hang", "fail", "spoilt", "shrink", "surge"))
MOST_BALANCERS, MOST_UPSTREAMS = 16, 64  # processes and loops of one machine
LATE = (
    0.05  # a share of requests sent over 20 ms after they were due above which a run says nothing
)
RULE_GRACE = 0.3  # seconds beside the experiment's grace, for the reload to be read


def check(experiment: File) -> None:
    """Raises ConfigFault for what can't be played on sockets."""
    upstream_fleet = experiment.upstream_fleet
    upstreams = sum(machine.count for machine in upstream_fleet.machines)
    if upstream_fleet.balancers > MOST_BALANCERS or upstreams > MOST_UPSTREAMS:
        raise ConfigFault(
            f"fleet: on sockets {MOST_BALANCERS} balancers, {MOST_UPSTREAMS} upstreams at most"
        )
    if experiment.policy.name != "choice" or experiment.policy.mutation:
        raise ConfigFault("policy: on sockets only the project's own decisions run")
    drawn = [
        *experiment.troubles,
        *(Trouble(kind=kind, at=0.0) for kind in experiment.chance.kinds),
    ]
    if experiment.chance.count and not experiment.chance.kinds:
        raise ConfigFault(f"chance.kinds: on sockets only {', '.join(sorted(POSSIBLE))}")
    for trouble in drawn:
        if trouble.kind not in POSSIBLE:
            raise ConfigFault(
                f"troubles: {trouble.kind} is not played on sockets, only "
                f"{', '.join(sorted(POSSIBLE))}"
            )


class Wire:
    """One run on sockets."""

    def __init__(self, experiment: File, seed: int, folder: Path) -> None:
        check(experiment)
        self.experiment, self.seed = experiment, seed
        self.troubles = [
            *experiment.troubles,
            *by_chance(experiment.chance, experiment.seconds, experiment.warm, 1, seed),
        ]
        scripts: dict[str, Script] = {}
        for machine in experiment.upstream_fleet.machines:
            for _ in range(machine.count):
                scripts[f"s-{len(scripts)}"] = Script(
                    workers=machine.cores,
                    queue=machine.queue,
                    work=0.0,
                    speed=machine.speed,
                    by_header=True,
                )
        self.speeds = {name: script.speed for name, script in scripts.items()}
        self.upstream_fleet = UpstreamFleet(scripts, seed)
        self.out: set[str] = set()  # draining
        self.drained_at: dict[str, float] = {}
        self.balancers: list[Balancer] = []
        self.lock = threading.Lock()
        for number in range(experiment.upstream_fleet.balancers):
            listen = free_address()
            self.balancers.append(
                Balancer(
                    folder / str(number), operator=self.operator(number, listen), listen=listen
                )
            )

    def operator(self, number: int, listen: str) -> str:
        """The operator's file of one balancer, with the list as it now is."""
        experiment, upstream_fleet, policy = (
            self.experiment,
            self.experiment.upstream_fleet,
            self.experiment.policy,
        )
        states = {
            name: "draining" if name in self.out else "ready"
            for name in self.upstream_fleet.addresses
        }
        upstreams = [
            one | {"state": states[one["name"]]}
            for one in files.upstreams(self.upstream_fleet.addresses)
        ]
        request_classes, routes = {}, []
        for stream in experiment.streams:
            request_classes[stream.name] = {
                "kind": stream.kind,
                "agreed_time": files.ms(stream.latency_objective),
                "patience": files.ms(stream.timeout),
                "payoff": stream.priority_weight,
                "late_payoff": stream.late_priority_weight,
                **({"window": files.ms(stream.window)} if stream.kind == "ticketed" else {}),
            }
            routes.append(
                {
                    "name": stream.name,
                    "path": f"/{stream.name}",
                    "pool": "lab",
                    "workload": stream.name,
                    "methods": [files.METHODS[stream.kind]],
                }
            )
        pool = {
            "upstreams": upstreams,
            "workloads": request_classes,
            "balancers": upstream_fleet.balancers,
            "number": number,
            "hand_offs": policy.attempts,
            "second_copies": policy.second_copies,
            "cancelling": policy.cancelling,
        }
        process = {"descriptors": 4096, "memory_mb": 512, "seed": f"{self.seed * 1000 + number:x}"}
        return files.document(
            {
                "version": 1,
                "listen": [listen],
                "process": process,
                "pools": {"lab": pool},
                "routes": routes,
            }
        )

    def reload(self) -> None:
        for number, balancer in enumerate(self.balancers):
            balancer.reload(self.operator(number, balancer.listen))

    # Troubles.

    def trouble(self, trouble: Trouble, on: bool, hit: list[str]) -> None:
        amount = trouble.amount or USUAL.get(trouble.kind, 0.0)
        with self.lock:
            if trouble.kind == "shrink":
                self.out = self.out | set(hit) if on else self.out - set(hit)
                self.reload()
                for name in hit:
                    if on:
                        self.drained_at[name] = time.monotonic()
                    else:
                        self.drained_at.pop(name, None)
                return
            key, value, usual = {
                "slow": ("speed", amount, None),
                "hang": ("hang", 1.0, 0.0),
                "fail": ("error", amount, 0.0),
                "spoilt": ("spoilt", amount, 0.0),
            }[trouble.kind]
            for name in hit if trouble.kind != "spoilt" else list(self.upstream_fleet.addresses):
                back = self.speeds[name] if usual is None else usual
                with_speed = self.speeds[name] * value if key == "speed" else value
                self.upstream_fleet.tell(name, **{key: with_speed if on else back})

    def plan(self, start: float) -> list[threading.Timer]:
        """Timers that bring the troubles about and undo them."""
        timers = list[threading.Timer]()
        chance, names = Random(f"victims/{self.seed}"), list(self.upstream_fleet.addresses)
        for trouble in self.troubles:
            hit = chance.sample(names, max(1, round(trouble.share * len(names))))
            if trouble.kind == "surge":
                continue  # the clients' own
            for at, on in ((trouble.at, True), (trouble.at + trouble.span, False)):
                timers.append(
                    threading.Timer(
                        max(0.0, start + at - time.monotonic()), self.trouble, (trouble, on, hit)
                    )
                )
        for timer in timers:
            timer.daemon = True
            timer.start()
        return timers

    def surges(self) -> list[tuple[float, float, float]]:
        return [
            (trouble.at, trouble.at + trouble.span, trouble.amount or USUAL["surge"])
            for trouble in self.troubles
            if trouble.kind == "surge"
        ]

    # The run.

    def play(self) -> dict[str, Any]:
        experiment, loads = self.experiment, list[Load]()
        try:
            for balancer in self.balancers:
                balancer.wait_ready()
            start = time.monotonic() + 1.0 + 0.1 * len(self.balancers) * len(experiment.streams)
            for index, balancer in enumerate(self.balancers):
                for stream in experiment.streams:
                    asks = Asks(
                        stream.name,
                        stream.rate / len(self.balancers),
                        f"/{stream.name}",
                        files.METHODS[stream.kind],
                        "lab",
                        stream.timeout,
                        stream.latency_objective,
                        ticket=stream.kind == "ticketed",
                        retries=stream.retries,
                        surges=[*stream.surges, *self.surges()],
                        work=stream.work,
                        spread=stream.spread,
                    )
                    loads.append(
                        Load(
                            balancer.address,
                            asks,
                            self.seed * 1000 + index,
                            start,
                            experiment.seconds,
                            most=2000,
                        )
                    )
            timers = self.plan(start)
            seen = [load.result() for load in loads]
            for timer in timers:
                timer.cancel()
            return self.result(seen, self.upstream_fleet.ledger(), start)
        finally:
            for load in loads:
                load.stop()
            for balancer in self.balancers:
                balancer.stop(wait=False)
            self.upstream_fleet.stop()

    def result(self, seen: list[Gateway], ledger: Ledger, start: float) -> dict[str, Any]:
        """The same figures as the model's, from what clients and upstreams saw."""
        experiment = self.experiment
        span, first = int(experiment.seconds) + 1, int(experiment.warm)
        names = ("asked", "on_time", "fulfilled", "turned_back", "scrapped", "tries")
        by_second = {name: [0] * span for name in names}
        priority_weight, requested_priority_weight = [0.0] * span, [0.0] * span
        streams: dict[str, Any] = {}
        kinds = {stream.name: stream for stream in experiment.streams}
        total, ended = 0.0, 0
        for stream in experiment.streams:
            gateways = [gateway for gateway in seen if gateway.asks.name == stream.name]
            counts, times = Counter[str](), list[float]()
            for request in (
                request for gateway in gateways for request in gateway.told if not request.tries
            ):
                at = max(0, min(span - 1, int(request.due - start)))
                warm = request.due >= start + experiment.warm
                on_time = request.on_time(stream.latency_objective)
                how = {200: "fulfilled", 503: "turned_back"}.get(request.status, "scrapped")
                by_second["asked"][at] += 1
                by_second[how][at] += 1
                by_second["on_time"][at] += on_time
                requested_priority_weight[at] += stream.priority_weight
                priority_weight[at] += (
                    stream.priority_weight
                    if on_time
                    else stream.late_priority_weight * (request.status == 200)
                )
                if warm:
                    counts.update(("asked", how))
                    counts["on_time"] += on_time
                    if request.status == 200:
                        times.append(request.latency)
            total, ended = total + sum(times), ended + len(times)
            streams[stream.name] = dict(counts) | {
                f"p{name}": 1000 * percentile(times, part)
                for name, part in (("50", 0.5), ("90", 0.9), ("99", 0.99), ("999", 0.999))
            }
        asked, on_time_all = sum(by_second["asked"][first:]), sum(by_second["on_time"][first:])
        breaches = dict.fromkeys(RULES, 0)
        breaches[ANSWER] = sum(
            len(gateway.unanswered()) + len(gateway.answered_twice()) + gateway.surplus
            for gateway in seen
        )
        breaches[EFFECT] = sum(
            len(ledger.twice(f"{name}-"))
            for name, stream in kinds.items()
            if stream.kind == "exclusive"
        )
        grace = experiment.policy.drain_grace + RULE_GRACE
        breaches[DRAIN] = sum(
            ledger.last.get(name, 0.0) > at + grace for name, at in self.drained_at.items()
        )
        late = sum(gateway.late for gateway in seen) / max(
            1, sum(len(gateway.told) for gateway in seen)
        )
        worth = sum(requested_priority_weight[first:])
        found: dict[str, Any] = {
            "on_time": on_time_all / asked if asked else 1.0,
            "payoff": sum(priority_weight[first:]) / worth if worth else 1.0,
            "asked": asked,
            "mean_s": total / ended if ended else 0.0,
            "streams": streams,
            "by_second": by_second,
            "payoff_by_second": priority_weight,
            "asked_payoff_by_second": requested_priority_weight,
            "digest": "",
            "seed": self.seed,
            "breaches": breaches,
            "told": [],
            "servers": dict(ledger.by),
            "events": 0,
            "wall_s": experiment.seconds,
            "late": late,
            "void": late > LATE,
            "troubles": [
                {"kind": one.kind, "at": one.at, "span": one.span, "share": one.share}
                for one in self.troubles
            ],
        }
        found["holds"], found["why"] = verdict(experiment, found)
        if found["void"]:
            found["why"] = [f"void: clients sent {late:.1%} of tasks late", *found["why"]]
        return found


def play(experiment: File, seed: int) -> dict[str, Any]:
    """One run on sockets."""
    with tempfile.TemporaryDirectory() as folder:
        found = Wire(experiment, seed, Path(folder)).play()
    json.dumps(found)  # what is kept has to be plain values
    return found
