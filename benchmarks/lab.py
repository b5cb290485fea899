"""The lab held against theory, against sockets and against itself.

The model beside M/M/1 and M/M/n mean times; one experiment on the model and on sockets, calm and
troubled; two runs of a seed; rules broken on purpose; simulated seconds a second at two sizes, with
a profile.
"""

from __future__ import annotations

import cProfile
import io
import pstats
import statistics
from typing import Any

from benchmarks.common import Report, main
from whinpier.config.model import ConfigFault
from whinpier.simulation.experiment import checked
from whinpier.simulation.invariants import ANSWER, DRAIN, EFFECT
from whinpier.simulation.minimize import shrink
from whinpier.simulation.sockets import play as on_sockets
from whinpier.simulation.theory import mean_time
from whinpier.simulation.world import World

Given = dict[str, Any]


def given(**more: Any) -> Given:
    return {
        "name": "bench",
        "seconds": 12.0,
        "warm": 3.0,
        "fleet": {
            "balancers": 2,
            "network": 0.0005,
            "machines": [{"count": 4, "cores": 4, "queue": 64}],
        },
        "streams": [
            {"name": "charge", "rate": 300.0, "work": 0.03, "agreed_time": 0.15, "patience": 1.0},
            {
                "name": "look",
                "kind": "rerunnable",
                "rate": 100.0,
                "work": 0.01,
                "agreed_time": 0.1,
                "patience": 0.8,
            },
        ],
    } | more


def theory(report: Report, short: bool, seed: int) -> None:
    """One upstream, exponential work, no limit that binds: what the books say of it."""
    work, seconds, seeds = 0.01, (40.0 if short else 1000.0), (3 if short else 8)
    for cores in (1, 4) if short else (1, 2, 4, 16):
        for use in (0.5, 0.8):
            rate = use * cores / work
            table = given(
                seconds=seconds * 4 / cores if cores < 4 else seconds,
                warm=5.0,
                policy={"name": "random", "hand_offs": 1},
                fleet={
                    "balancers": 1,
                    "network": 0.0,
                    "machines": [
                        {"count": 1, "cores": cores, "queue": 100_000, "connections": 10_000}
                    ],
                },
                streams=[
                    {
                        "name": "plain",
                        "rate": rate,
                        "work": work,
                        "agreed_time": 60.0,
                        "patience": 60.0,
                    }
                ],
            )
            means = [World(checked(table), seed + turn).play()["mean_s"] for turn in range(seeds)]
            due = mean_time(cores, rate, work)
            mean = sum(means) / seeds
            # What chance alone makes of so few runs is not the model's fault: two standard errors
            # beside.
            noise = 2.0 * statistics.stdev(means) / seeds**0.5
            report.say(
                f"     M/M/{cores} at {use:g}: {1000 * mean:.3f} ms, by theory {1000 * due:.3f} ms, "
                f"chance {100 * noise / due:.1f}%"
            )
            report.bound(
                f"M/M/{cores} at {use:g}: off by, %",
                100 * max(0.0, abs(mean - due) - noise) / due,
                most=3.0,
            )


def both(report: Report, short: bool, seed: int) -> None:
    """The same experiment on the model and on sockets."""
    worst = 0.0
    kinds = ["", "slow"] if short else ["", "slow", "hang", "fail", "spoilt", "shrink", "surge"]
    for kind in kinds:
        table = given(seconds=5.0 if short else 20.0, warm=2.0)
        if kind:
            table["troubles"] = [
                {"kind": kind, "at": 2.5, "span": 1.5 if short else 8.0, "share": 0.25}
            ]
        experiment = checked(table)
        model, wire = World(experiment, seed).play(), on_sockets(experiment, seed)
        apart = 100 * abs(model["on_time"] - wire["on_time"])
        worst = max(worst, apart)
        report.say(
            f"     {kind or 'calm'}: model {model['on_time']:.4f}, sockets {wire['on_time']:.4f}, "
            f"99th of charges {model['streams']['charge']['p99']:.0f} and "
            f"{wire['streams']['charge']['p99']:.0f} ms"
            + (" (clients late: void)" if wire["void"] else "")
        )
        if not wire["void"]:
            report.bound(
                f"{kind or 'calm'}: points on time between model and sockets", apart, most=5.0
            )
        report.bound(
            f"{kind or 'calm'}: rules broken on either",
            sum(model["breaches"].values()) + sum(wire["breaches"].values()),
            most=0,
        )
    report.figure("apart_points", worst)


def itself(report: Report, seed: int) -> None:
    table = given(seconds=6.0, chance={"count": 3})
    digests = {World(checked(table), seed).play()["digest"] for _ in range(2)}
    report.bound("different results of two runs of a seed", len(digests) - 1, most=0)
    caught = 0
    for mutation, breaks, trouble in (
        ("repeats_exclusive", EFFECT, {"kind": "fail", "at": 1.0, "span": 3.0, "share": 1.0}),
        ("ignores_drains", DRAIN, {"kind": "shrink", "at": 1.0, "span": 4.0, "share": 0.5}),
        ("forgets_answers", ANSWER, {"kind": "slow", "at": 1.0}),
    ):
        try:
            table = given(
                seconds=5.0,
                warm=1.0,
                policy={"mutation": mutation},
                troubles=[trouble, {"kind": "pause", "at": 2.0}],
            )
            small, rule, tried = shrink(table, seed, most=15)
        except ConfigFault as fault:
            report.say(f"     {mutation}: {fault}")
            continue
        caught += rule == breaks
        report.say(
            f"     {mutation}: caught ({rule}), in {tried} runs down to "
            f"{small['fleet']['balancers']} balancers, "
            f"{sum(machine['count'] for machine in small['fleet']['machines'])} upstreams, "
            f"{len(small['troubles'])} troubles, {small['seconds']:g} s"
        )
    report.bound("rules broken on purpose and caught", caught, least=3)


def speed(report: Report, short: bool, seed: int) -> None:
    """Simulated seconds a second, and where the time goes."""
    for balancers, upstreams, rate, seconds in (
        (10, 10, 500.0, 10.0),
        (300, 80, 4000.0, 2.0 if short else 10.0),
    ):
        table = given(
            seconds=seconds,
            warm=0.5,
            fleet={"balancers": balancers, "machines": [{"count": upstreams, "cores": 4}]},
            streams=[{"name": "charge", "rate": rate, "work": 0.02}],
        )
        profile = cProfile.Profile()
        found = World(checked(table), seed).play()
        ratio = (seconds + 4.0) / found["wall_s"]
        report.say(
            f"     {balancers}x{upstreams} at {rate:g} a second: {ratio:.2f} simulated s a second, "
            f"{found['events'] / found['wall_s']:.0f} events"
        )
        report.figure(f"seconds_{balancers}x{upstreams}", ratio)
        if not short:
            profile.runcall(World(checked(table | {"seconds": 3.0}), seed).play)
            text = io.StringIO()
            pstats.Stats(profile, stream=text).sort_stats("tottime").print_stats(8)
            report.say(
                "\n".join(f"       {line}" for line in text.getvalue().splitlines()[6:18] if line)
            )


def bench() -> int:
    report = Report("lab", __doc__ or "")
    options = report.options()
    theory(report, options.short, options.seed)
    itself(report, options.seed)
    both(report, options.short, options.seed)
    speed(report, options.short, options.seed)
    return report.close()


if __name__ == "__main__":
    main(bench)
