"""Three pools behind one process, one of them driven to twice its capacity, then shrunk to a third.

The other two are held against a run with the same seed in which nothing happens to the third, and
against one with isolation turned off. Real processes over loopback; every request and every
execution is counted by the stand-ins. See docs/design/pools.md.
"""

from __future__ import annotations

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.common import Report, apart, main
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.ledger import Ledger, percentile
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

KINDS = {"tariff": "rerunnable", "posting": "exclusive", "settlement": "ticketed"}
PER_POOL = 3
WORK = 0.012  # seconds of a worker for a request: four workers at three upstreams do 1,000 a second
USUAL = {"tariff": 150.0, "posting": 150.0, "settlement": 100.0}  # requests a second
CAPACITY = {"tariff": 300.0, "posting": 300.0, "settlement": 200.0}
AGREED, TIMEOUT = 0.25, 1.5
DESCRIPTORS, MEMORY = 256, 96
HUGE = 300_000  # bytes of an answer that goes out slowly


@dataclass
class Phase:
    """What happens to the posting pool in one stretch of the run."""

    name: str
    rate: float  # times its usual
    script: dict[str, object]  # of its first two upstreams
    third: dict[str, object]  # of its last


CALM = Phase("calm", 1.0, {}, {})


def phases(short: bool) -> list[Phase]:
    twice = 2.0 * CAPACITY["posting"] / USUAL["posting"]
    found = [
        CALM,
        Phase("twice its capacity", twice, {}, {}),
        Phase("a third left, the others hang", twice, {"hang": 1.0}, {}),
    ]
    if not short:
        found += [
            Phase("all of it hangs", twice, {"hang": 1.0}, {"hang": 1.0}),
            Phase(
                "large slow answers",
                1.0,
                {"size": HUGE, "pace": 400_000.0},
                {"size": HUGE, "pace": 400_000.0},
            ),
            Phase("twice its capacity, all reset", twice, {"reset": 1.0}, {"reset": 1.0}),
        ]
    return [*found, CALM]


def operator(listen: str, fleets: dict[str, UpstreamFleet], isolate: bool) -> files.Plain:
    """The operator's file as a table."""
    pools = {
        name: files.service(name, kind, fleets[name].addresses, AGREED, TIMEOUT)
        for name, kind in KINDS.items()
    }
    return {
        "version": 1,
        "listen": [listen],
        "process": {"descriptors": DESCRIPTORS, "memory_mb": MEMORY, "isolate": isolate},
        "pools": pools,
        "routes": [files.route(name, kind, name) for name, kind in KINDS.items()],
    }


def fleets_of(seed: int, **script: int) -> dict[str, UpstreamFleet]:
    """Three upstreams for each pool, which together do what its capacity says."""
    return {
        name: UpstreamFleet(
            {
                f"{name}-{n}": Script(work=PER_POOL * 4 / CAPACITY[name], **script)
                for n in range(PER_POOL)
            },
            seed,
        )
        for name in KINDS
    }


def usual(name: str, **more: object) -> Asks:
    """What a pool is asked for."""
    kind = KINDS[name]
    return Asks(
        name,
        USUAL[name],
        f"/{name}/x",
        files.METHODS[kind],
        f"{name}.example",
        TIMEOUT,
        AGREED,
        ticket=kind == "ticketed",
        **more,
    )  # type: ignore[arg-type]


@dataclass
class Seen:
    """One run."""

    gateways: dict[str, Gateway]
    lost: Gateway
    ledgers: dict[str, Ledger]
    memory: int
    descriptors: int
    log: str
    start: float
    cpu: float


def drive(
    plan: list[Phase], start: float, span: float, upstream_fleet: UpstreamFleet, balancer: Balancer
) -> tuple[int, int]:
    """Lead the upstreams through the phases; the most memory and descriptors met."""
    most, held = 0, 0
    for index, phase in enumerate(plan):
        time.sleep(max(0.0, start + span * index - time.monotonic()))
        for name in upstream_fleet.addresses:
            script = phase.third if name.endswith("2") else phase.script
            usual: dict[str, object] = {"hang": 0.0, "reset": 0.0, "size": 2, "pace": 0.0}
            upstream_fleet.tell(name, **(usual | script))
        while time.monotonic() < start + span * (index + 1):
            time.sleep(0.2)
            most, held = max(most, balancer.memory()), max(held, balancer.descriptors())
    return most, held


def run(seed: int, plan: list[Phase], span: float, isolate: bool, folder: Path) -> Seen:
    """One run of all phases."""
    fleets, listen = fleets_of(seed, queue=16), free_address()
    balancer = Balancer(
        folder,
        operator=files.document(operator(listen, fleets, isolate)),
        listen=listen,
        cores={apart()[0]},
    )
    loads = {}
    try:
        balancer.wait_ready()
        start = time.monotonic() + 1.0
        surges = [
            (index * span, (index + 1) * span, phase.rate) for index, phase in enumerate(plan)
        ]
        for name in KINDS:
            asks = usual(name, retries=3, surges=surges) if name == "posting" else usual(name)
            loads[name] = Load(balancer.address, asks, seed, start, span * len(plan), most=2000)
        loads["lost"] = Load(
            balancer.address,
            Asks("lost", 20.0, "/nowhere", host="nowhere.example", timeout=TIMEOUT),
            seed,
            start,
            span * len(plan),
        )
        most, held = drive(plan, start, span, fleets["posting"], balancer)
        gateways = {name: load.result() for name, load in loads.items()}
        return Seen(
            gateways,
            gateways.pop("lost"),
            {name: upstream_fleet.ledger() for name, upstream_fleet in fleets.items()},
            most,
            held,
            balancer.log(),
            start,
            balancer.cpu(),
        )
    finally:
        for load in loads.values():
            load.stop()
        balancer.stop()
        for upstream_fleet in fleets.values():
            upstream_fleet.stop()


def late(gateway: Gateway, begins: float, ends: float, part: float) -> float:
    """A percentile of latency, in milliseconds, of what was fulfilled of a stretch."""
    return 1000 * percentile(
        [
            request.latency
            for request in gateway.told
            if request.status == 200 and begins <= request.due < ends
        ],
        part,
    )


def compare(
    report: Report,
    plan: list[Phase],
    span: float,
    calm: Seen,
    seen: Seen,
    label: str,
    binding: bool,
) -> float:
    """The other pools beside the calm run, phase by phase; the most that one lost, in points."""
    worst = 0.0
    for index, phase in enumerate(plan):
        if phase is CALM:
            continue
        for name in ("tariff", "settlement"):
            shares = [
                run.gateways[name].share_on_time(
                    run.start + index * span, run.start + (index + 1) * span
                )
                for run in (calm, seen)
            ]
            lost = 100 * (shares[0] - shares[1])
            worst = max(worst, lost)
            times = [
                late(
                    run.gateways[name],
                    run.start + index * span,
                    run.start + (index + 1) * span,
                    part,
                )
                for part in (0.5, 0.99)
                for run in (calm, seen)
            ]
            report.say(
                f"     {label}: {name}, {phase.name}: on time {shares[1]:.4f} (calm {shares[0]:.4f}), "
                f"median {times[1]:.1f} ms ({times[0]:.1f}), 99th {times[3]:.0f} ms ({times[2]:.0f})"
            )
            if binding:
                report.bound(f"{name}, {phase.name}: points lost on time", lost, most=2.0)
    return worst


def rules(report: Report, seen: Seen) -> None:
    """Every request one answer, no exclusive request twice, all within the file's limits."""
    gateways = [*seen.gateways.values(), seen.lost]
    report.bound(
        "tasks sent without a final answer", sum(len(g.unanswered()) for g in gateways), most=0
    )
    for gateway in gateways:
        for request in gateway.unanswered()[:5]:
            report.say(
                f"     {request.id} at {request.due - seen.start:.3f} s, try {request.tries}: {request.how}"
            )
    report.bound(
        "tasks answered twice, answers nobody asked for",
        sum(len(g.answered_twice()) + g.surplus for g in gateways),
        most=0,
    )
    report.bound("exclusive tasks that ran twice", len(seen.ledgers["posting"].twice()), most=0)
    strangers = sum(
        1
        for name, ledger in seen.ledgers.items()
        for ran in ledger.ran
        if not ran.startswith(f"{name}-")
    )
    report.bound("tasks that ran in another pool", strangers, most=0)
    others = sum(request.status != 404 for request in seen.lost.told if request.answers)
    report.bound("no route: other answers than 404", others, most=0)
    report.bound("no route: 99th of the answer, ms", 1000 * seen.lost.latency(0.99, None), most=20)
    report.bound("descriptors", seen.descriptors, most=DESCRIPTORS)
    report.bound("memory, MB", seen.memory / 2**20, most=MEMORY)
    report.bound(
        "lines that say a rule or the program is broken",
        seen.log.count("event=invariant_violated") + seen.log.count("level=error"),
        most=0,
    )


def reloads(report: Report, seed: int, span: float, folder: Path) -> None:
    """Pools added, moved and taken out under load, many times; no answer is lost, nothing runs twice."""
    fleets, listen, loads = fleets_of(seed), free_address(), dict[str, Load]()
    whole = operator(listen, fleets, True)
    plain = files.document(whole)
    # Another pool in the place of the posting pool, with the same upstreams; its route leads there.
    moved = files.document(
        whole
        | {
            "pools": {
                name.replace("posting", "replacement"): pool
                for name, pool in whole["pools"].items()
            },
            "routes": [
                route | {"pool": "replacement"} if route["pool"] == "posting" else route
                for route in whole["routes"]
            ],
        }
    )
    added = [f"more-{number}" for number in range(5)]
    more = files.document(
        whole
        | {
            "pools": whole["pools"]
            | {
                name: files.service(name, "rerunnable", fleets["tariff"].addresses, 0.1, 1.0)
                for name in added
            },
            "routes": [
                *whole["routes"],
                *(files.route(name, "rerunnable", name) for name in added),
            ],
        }
    )
    faulty = plain.replace('kind = "exclusive"', 'kind = "sometimes"')
    balancer = Balancer(folder, operator=plain, listen=listen, cores={apart()[0]})
    turns = 0
    try:
        balancer.wait_ready()
        start = time.monotonic() + 1.0
        for name in KINDS:
            loads[name] = Load(balancer.address, usual(name), seed, start, span, most=1000)
        time.sleep(max(0.0, start - time.monotonic()))
        while time.monotonic() < start + span - 0.5:
            balancer.reload((moved, more, faulty, plain)[turns % 4])
            turns += 1
            time.sleep(0.2)
        seen = [load.result() for load in loads.values()]
        ledgers = {name: upstream_fleet.ledger() for name, upstream_fleet in fleets.items()}
        report.bound(
            "reloads: tasks without a final answer", sum(len(g.unanswered()) for g in seen), most=0
        )
        twice = sum(len(g.answered_twice()) + g.surplus for g in seen)
        report.bound("reloads: tasks answered twice", twice, most=0)
        report.bound(
            "reloads: exclusive tasks that ran twice", len(ledgers["posting"].twice()), most=0
        )
        report.bound(
            "reloads: least on time of a pool", min(g.share_on_time() for g in seen), least=0.95
        )
        report.bound(
            "reloads: lines that say a rule or the program is broken",
            balancer.said("event=invariant_violated") + balancer.said("level=error"),
            most=0,
        )
        report.figure("reloads", turns)
    finally:
        for load in loads.values():
            load.stop()
        balancer.stop()
        for upstream_fleet in fleets.values():
            upstream_fleet.stop()


def bench() -> int:
    report = Report("pools", __doc__ or "")
    given = report.options()
    os.sched_setaffinity(0, apart()[1])  # stand-ins keep off the core of the balancer
    span = 2.0 if given.short else 10.0
    plan = phases(given.short)
    with tempfile.TemporaryDirectory() as folder:
        where = Path(folder)
        calm = run(given.seed, [CALM] * len(plan), span, True, where / "calm")
        seen = run(given.seed, plan, span, True, where / "isolated")
        off = run(given.seed, plan, span, False, where / "off")
        reloads(report, given.seed, 3.0 if given.short else 20.0, where / "reloads")
    worst = compare(report, plan, span, calm, seen, "isolated", True)
    rules(report, seen)
    worst_off = compare(report, plan, span, calm, off, "isolation off", False)
    posting = seen.gateways["posting"]
    report.figure("points_lost", worst)
    report.figure("points_lost_isolation_off", worst_off)
    report.figure("posting_tasks", len(posting.told))
    report.figure("posting_on_time", posting.share_on_time())
    report.figure("memory_mb", seen.memory >> 20)
    report.figure("descriptors", seen.descriptors)
    report.figure("cpu_s", seen.cpu)
    report.figure("not_sent", sum(g.not_sent for g in seen.gateways.values()))
    return report.close()


if __name__ == "__main__":
    main(bench)
