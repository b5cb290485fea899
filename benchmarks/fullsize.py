"""Days of a large fleet on the model: restarts, kills, lost zones, silence, replaced fleets; speed;
memory.

Every kind beside an oracle and one that sees late, rules kept on all. --short plays them at a tenth
of the size; the long form plays 200 balancers and 200 upstreams with 20 seeds of each kind, and an
hour for memory.
"""

from __future__ import annotations

import gc
import statistics
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

from benchmarks.common import MINE, Report, main
from whinpier.simulation.clock import SECOND
from whinpier.simulation.experiment import checked, read, shipped
from whinpier.simulation.world import World

KINDS = ("calm", "roll", "herd", "zone", "split", "join")
POLICIES = ("choice", "oracle", "late_oracle")
SMALL = 20  # balancers of the short form
PLACE = "fullsize/"
LOOKS = 40  # at what there is, in a run for memory
Given = dict[str, Any]


def day(kind: str, policy: str, seed: int, size: int) -> Given:
    """One run of a kind of day, in whichever process."""
    given, _ = read(shipped()[PLACE + kind])
    given |= {"policy": {"name": policy}, "size": size, "seeds": 1}
    found = World(checked(given), seed).play()
    seconds = len(found["by_second"]["asked"]) - 1
    last = slice(seconds - 6, seconds)
    share = sum(found["by_second"]["on_time"][last]) / max(
        1, sum(found["by_second"]["asked"][last])
    )
    return {
        "kind": kind,
        "policy": policy,
        "seed": seed,
        "on_time": found["on_time"],
        "after": share,
        "breaches": {rule: count for rule, count in found["breaches"].items() if count},
        "told": found["told"][:3],
        "fleet": found["fleet"],
        "asked": found["asked"],
        "speed": (seconds + 8) / found["wall_s"],
    }


def days(report: Report, short: bool, seed: int) -> None:
    size, seeds = (SMALL, 1) if short else (200, 20)
    # The oracles look at every upstream for every request: at full size a few seeds of them are
    # enough.
    runs = [
        (kind, policy, seed + turn)
        for kind in KINDS
        for policy in POLICIES
        for turn in range(seeds if policy == "choice" else min(seeds, 2))
    ]
    with ProcessPoolExecutor(max(1, len(MINE)), get_context("spawn")) as pool:
        rows = list(pool.map(day, *zip(*runs), [size] * len(runs)))
    broken = 0
    for kind in KINDS:
        of = {
            policy: [row for row in rows if (row["kind"], row["policy"]) == (kind, policy)]
            for policy in POLICIES
        }
        own, best, late = (
            statistics.mean(row["on_time"] for row in of[policy]) for policy in POLICIES
        )
        least = min(row["on_time"] for row in of["choice"])
        after = statistics.mean(row["after"] for row in of["choice"])
        hands = statistics.mean(row["fleet"]["handshakes"] / row["asked"] for row in of["choice"])
        report.say(
            f"     {kind}: on time {own:.3f} (least {least:.3f}), oracle {best:.3f}, "
            f"seen late {late:.3f}; last 6 s {after:.3f}; {hands:.2f} handshakes a task"
        )
        report.figure(kind, own)
        for row in of["choice"]:
            broken += sum(row["breaches"].values())
            if row["breaches"]:
                report.say(f"     {kind}, seed {row['seed']}: {row['breaches']} {row['told']}")
        # Half of what one reaches that sees late is what the fleet's operators ask at least.
        report.bound(
            f"{kind}: on time beside the late-seeing oracle", own / max(late, 1e-9), least=0.9
        )
    report.bound(f"rules broken in {len(runs)} days of {size} balancers", broken, most=0)


def speed(report: Report, seed: int, size: int, least: float) -> None:
    """Simulated seconds a second, one process, nothing else beside it."""
    found = day("calm", "choice", seed, size)
    report.bound(f"simulated seconds a second at {size} balancers", found["speed"], least=least)
    report.figure("speed", found["speed"])


def hour(report: Report, seconds: float, seed: int) -> None:
    """Ever new upstreams, keys and requests: what there is of each type must not grow."""
    replaced = [
        {"kind": "replace", "at": float(at), "span": 20.0, "share": 0.6}
        for at in range(10, int(seconds) - 20, 30)
    ]
    given = {
        "name": "hour",
        "seconds": seconds,
        "warm": 5.0,
        "fleet": {"balancers": 3, "machines": [{"count": 10, "cores": 4, "warm_up": 4.0}]},
        "streams": [
            {"name": "look", "kind": "rerunnable", "rate": 120.0, "work": 0.05, "keys": 1_000_000}
        ],
        "troubles": replaced,
    }
    world = World(checked(given), seed)
    seen: list[Counter[str]] = []

    def look() -> None:
        gc.collect()
        seen.append(
            Counter(
                type(one).__name__
                for one in gc.get_objects()
                if type(one).__module__.startswith("whinpier")
            )
        )

    for at in range(1, LOOKS):
        world.clock.at(world.clock.start + int(at * seconds / LOOKS * SECOND), look)
    found = world.play()
    # What is let go in lots goes up and down: the most there was of it is compared.
    most = [
        {
            name: max(
                counts[name] for counts in seen[quarter * LOOKS // 4 : (quarter + 1) * LOOKS // 4]
            )
            for name in seen[-1]
        }
        for quarter in range(4)
    ]
    report.say(
        "     most at once by quarter: " + ", ".join(str(sum(counts.values())) for counts in most)
    )
    grown = {
        name: count - most[1][name]
        for name, count in most[3].items()
        if count > 1.1 * most[1][name] + 30
    }
    for name, more in sorted(grown.items(), key=lambda pair: -pair[1])[:8]:
        report.say(f"     grows: {name} by {more} from the second to the last quarter")
    report.bound(
        f"types that grow over {seconds:.0f} s of ever new upstreams and keys", len(grown), most=0
    )
    report.bound("rules broken meanwhile", sum(found["breaches"].values()), most=0)
    report.figure("replaced", world.number)


def bench() -> int:
    report = Report("fullsize", __doc__ or "")
    options = report.options()
    speed(report, options.seed, SMALL if options.short else 200, 15.0 if options.short else 5.0)
    hour(report, 300.0 if options.short else 3600.0, options.seed)
    days(report, options.short, options.seed)
    return report.close()


if __name__ == "__main__":
    main(bench)
