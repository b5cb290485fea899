"""Limits of the whole fleet on real processes: never over by the upstreams' own count, and how much
is used.

`orders` explores the state machines: every order of small worlds, walks, and each fault put into
the code. `moves` sends all traffic to one of eight processes, then to another, and compares with
fixed parts in the same run. `days` plays drawn faults (kills, pauses, cuts, loss, restarts) on
eight processes under skewed traffic. `windows` does the same over some minutes with a count of each
minute, clocks that are wrong and state files. `nearly` moves demand, cuts the fleet, and holds the
excess against its formula. `cost` counts what ten limits, and many tenants, cost a request. See
docs/design/limits.md.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.common import Report, main
from whinpier.fleet.quotas.allocation import LimitConfig, QuotaAllocation, QuotaTable
from whinpier.fleet.quotas.fair_share import STALE_AFTER, propagation_time
from whinpier.fleet.quotas.leases import RATE as A_RATE
from whinpier.fleet.quotas.leases import LeasedQuota, Limit
from whinpier.model_checking import count_scenarios, quota_scenarios
from whinpier.model_checking.count_mutants import FAULTS as COUNT_FAULTS
from whinpier.model_checking.counts import Wishful
from whinpier.model_checking.quota_mutants import FAULTS as SHARE_FAULTS
from whinpier.model_checking.quotas import Wishing
from whinpier.policy.decaying_sum import SECOND
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fault_scenario import excess
from whinpier.testbed.faults import Fault, Schedule, split
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

AGREED, TIMEOUT = 0.25, 0.6
RATE, BURST, OUT = 240, 16, 8
BRIEF, LONG = (
    0.004,
    0.06,
)  # seconds of work: with the first the rate binds, with the second what is in flight


Stream = tuple[int, float, list[tuple[float, float, float]]]  # which process, usual rate, surges


class Trial:
    """A fleet with both kinds of limit over one pool."""

    def __init__(
        self,
        folder: Path,
        count: int,
        seed: int,
        fixed: bool = False,
        relayed: bool = True,
        work: float = BRIEF,
    ) -> None:
        self.upstream_fleet = UpstreamFleet(
            {f"s-{n}": Script(workers=64, work=work) for n in range(4)}, seed
        )
        homes = [f"m{n}" for n in range(count)]
        limits: files.Plain = {
            "all": {"kind": "rate", "amount": RATE, "burst": BURST, "homes": homes},
            "out": {"kind": "in_flight", "amount": OUT, "homes": homes},
        }
        if fixed:  # each its own limit, and nobody else's
            limits = {
                f"all-{n}": {
                    "kind": "rate",
                    "amount": RATE / count,
                    "burst": max(1, BURST // count),
                    "homes": [f"m{n}"],
                }
                for n in range(count)
            }
        self.fixed = fixed
        self.fleet = Fleet(count, folder, self.service, seed, relayed=relayed, limits=limits)
        if fixed:
            for process in self.fleet.processes:
                process.limits = {f"all-{process.number}": limits[f"all-{process.number}"]}

    def service(self, process: Process) -> files.Plain:
        pool = files.service("t", "exclusive", self.upstream_fleet.addresses, AGREED, TIMEOUT)
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    def start(self) -> None:
        self.fleet.start()
        self.fleet.until(self.fleet.gathered, 30.0)
        self.fleet.until(
            lambda: all(
                not row["fenced_ms"] and (self.fixed or row["agreed"])
                for process in self.fleet.processes
                for row in self.fleet.ask(process.number, "limits")
            ),
            30.0,
        )
        self.upstream_fleet.meter()

    def load(self, streams: list[Stream], start: float, span: float, seed: int) -> Loads:
        """Streams by process: number, usual rate, surges."""
        return Loads(
            [
                (
                    self.fleet.processes[number].running.address,
                    Asks(
                        f"t{number}",
                        rate,
                        "/t/x",
                        "POST",
                        "t.example",
                        TIMEOUT,
                        AGREED,
                        surges=surges,
                    ),
                )
                for number, rate, surges in streams
            ],
            seed,
            start,
            span,
            most=1_000,
        )

    def end(self) -> None:
        self.fleet.end()
        self.upstream_fleet.stop()


def over(times: list[float]) -> float:
    """The most by which any window held more than the limit allows, in requests; at most 0 if it
    was kept.
    """
    return excess(times, RATE, BURST)[0]


def moves(report: Report, folder: Path, seed: int, span: float) -> None:
    """All demand at one, then at another."""
    used: dict[bool, list[float]] = {}
    for fixed in (False, True):
        trial = Trial(folder / str(fixed), 8, seed, fixed, relayed=False)
        try:
            trial.start()
            start = time.monotonic() + 0.5
            half = 3.0 + span
            load = trial.load(
                [(0, 1.5 * RATE, [(half, 99.0, 0.0)]), (1, 1.5 * RATE, [(0.0, half, 0.0)])],
                start,
                2 * half,
                seed,
            )
            load.results()
            met = trial.upstream_fleet.meter()
            windows = [(start + 3.0, start + half), (start + half + 2.0, start + 2 * half)]
            used[fixed] = [
                sum(begin <= at < end for at in met["times"]) / (RATE * (end - begin))
                for begin, end in windows
            ]
            if not fixed:
                report.bound("tasks over the rate in any window", over(met["times"]), most=0.0)
                report.bound("most in flight at once", met["most"], most=OUT)
        finally:
            trial.end()
    for what, *each in zip(
        ("all demand at one", "from 2 s after it moved"), used[False], used[True]
    ):
        report.say(
            f"     {what}: {each[0]:.3f} of the limit is used, with fixed parts {each[1]:.3f}"
        )
    report.bound("of the limit used, all demand at one", used[False][0], least=0.95)
    report.bound("of the limit used from 2 s after demand moved", used[False][1], least=0.95)
    report.figure("used_fixed", round(used[True][0], 3))


def drawn(seed: int, count: int, span: float) -> Schedule:
    """Faults of a day: each member meets one at most, ways several."""
    chance = Random(f"limits/{seed}")
    faults: list[Fault] = []
    spare = list(range(2, count))
    chance.shuffle(spare)
    for kind in chance.sample(["kill", "restart", "restart", "stop", "stop"], 3):
        lasts = 0.0 if kind == "kill" else round(chance.uniform(0.3, 4.0), 2)
        faults.append(
            Fault(
                round(chance.uniform(0.5, span - 4.0), 2),
                kind,  # type: ignore[arg-type]
                (spare.pop(),),
                span=lasts,
            )
        )
    parts = split(chance, range(count), chance.choice((2, 3)))
    faults.append(
        Fault(
            round(chance.uniform(0.5, span - 4.0), 2),
            "cut",
            parts=parts,
            span=chance.choice((1.0, 3.0)),
        )
    )
    kind = chance.choice(["lossy", "late", "doubled", "stale"])
    amount = {"lossy": 0.3, "late": 1.0, "doubled": 0.3, "stale": 0.3}[kind]
    faults.append(
        Fault(
            round(chance.uniform(0.0, span - 5.0), 2),
            kind,  # type: ignore[arg-type]
            span=3.0,
            amount=amount,
        )
    )
    return Schedule(count, span, tuple(sorted(faults, key=lambda fault: fault.at)), seed)


def day(folder: Path, count: int, seed: int, span: float) -> dict[str, Any]:
    """One drawn day: what went over, what was used, which answers are missing that are nobody's fault."""
    trial = Trial(folder, count, seed, work=LONG if seed % 2 else BRIEF)
    schedule, chance = drawn(seed, count, span), Random(f"load/{seed}")
    try:
        trial.start()
        start = time.monotonic() + 0.5
        # Who has four fifths of the traffic, for two seconds each.
        hot = [chance.randrange(count) for _ in range(int(span / 2) + 1)]
        streams: list[Stream] = []
        for number in range(count):
            surges = [
                (2.0 * at, 2.0 * at + 2.0, 0.8 * count if one == number else 0.2)
                for at, one in enumerate(hot)
            ]
            streams.append((number, 2.0 * RATE / count, surges))
        load = trial.load(streams, start, span, seed)
        time.sleep(max(0.0, start - time.monotonic()))
        trial.fleet.play(schedule)
        gateways = load.results()
        met = trial.upstream_fleet.meter()
        touched = {number for fault in schedule.faults for number in fault.who}
        lost = sum(
            len(one.unanswered()) for number, one in enumerate(gateways) if number not in touched
        )
        twice = len(trial.upstream_fleet.ledger().twice()) + sum(
            len(one.answered_twice()) for one in gateways
        )
        passed = sum(start + 1.0 <= at < start + span for at in met["times"])
        return {
            "over": over(met["times"]),
            "most": met["most"],
            "lost": lost,
            "twice": twice,
            "used": passed / (RATE * (span - 1.0)),
        }
    finally:
        trial.end()


def days(report: Report, folder: Path, count: int, seeds: list[int], span: float) -> None:
    rows = []
    for seed in seeds:
        rows.append(day(folder / str(seed), count, seed, span))
        report.say(
            f"     day {seed}: {rows[-1]['over']:.1f} tasks over, most in flight {rows[-1]['most']}, "
            f"{rows[-1]['used']:.2f} used"
        )
    report.bound(
        "tasks over the rate in any window of any day", max(row["over"] for row in rows), most=0.0
    )
    report.bound("most in flight at once on any day", max(row["most"] for row in rows), most=OUT)
    report.bound(
        "and on some day as many as are allowed", max(row["most"] for row in rows), least=OUT
    )
    report.bound(
        "tasks without an answer at processes that nothing happened to",
        sum(row["lost"] for row in rows),
        most=0,
    )
    report.bound("ran twice, or answered twice", sum(row["twice"] for row in rows), most=0)
    report.bound(
        "of the rate used on the worst day on which it binds",
        min(row["used"] for row, seed in zip(rows, seeds) if not seed % 2),
        least=0.25,
    )
    report.figure("used_on_days", [round(row["used"], 2) for row in rows])


def orders(report: Report, short: bool, seed: int) -> None:
    """The state machines, gone through."""
    worlds = [
        (which, index)
        for which, (days, _, _) in enumerate(MACHINES)
        for index in range(len(days.WHOLE))
    ]
    walks = [
        (which, index, 20_000 if short else 1_000_000, seed)
        for which, (days, _, _) in enumerate(MACHINES)
        for index in range(len(days.WALKS))
    ]
    with ProcessPoolExecutor(max(1, len(os.sched_getaffinity(0))), get_context("spawn")) as pool:
        if not short:
            for (which, index), result in zip(worlds, pool.map(_whole, worlds)):
                report.say(
                    f"     {MACHINES[which][0].WHOLE[index].what}: {result[0]} states, {result[1]} "
                    f"steps, {result[2]} deep{', whole' if result[3] else ''}"
                )
                report.bound("breaches", float(bool(result[4])), most=0)
        walked = list(pool.map(_walked, walks))
        report.bound(
            f"of {sum(one[0] for one in walked)} random steps, walks that break the limit",
            sum(bool(one[1]) for one in walked),
            most=0,
        )
        names = [
            (which, name)
            for which, (_, faults, _) in enumerate(MACHINES)
            for name in (sorted(faults)[::5] if short else sorted(faults))
        ]
        missed = [name for (_, name), length in zip(names, pool.map(_found, names)) if not length]
        report.say(f"     put in and not found: {', '.join(missed) or 'none'}")
        report.bound(f"of {len(names)} faults put in not found", len(missed), most=0)


MACHINES: tuple[tuple[Any, dict[str, Any], Any], ...] = (
    (quota_scenarios, SHARE_FAULTS, Wishing),
    (count_scenarios, COUNT_FAULTS, Wishful),
)


def _whole(given: tuple[int, int]) -> tuple[int, int, int, bool, str]:
    days, _, cls = MACHINES[given[0]]
    result = days.WHOLE[given[1]].gone_through(cls)
    return result.states, result.steps, result.deepest, result.whole, result.broken


def _walked(given: tuple[int, int, int, int]) -> tuple[int, str]:
    days, _, cls = MACHINES[given[0]]
    result = days.WALKS[given[1]].gone_through(cls, given[2], given[3])
    return result.steps, result.broken


def _found(given: tuple[int, str]) -> int:
    result = MACHINES[given[0]][0].found(given[1])
    return len(result[2]) if result else 0


def service(upstream_fleet: UpstreamFleet) -> Any:
    """One pool of exclusive requests at a fleet."""

    def made(process: Process) -> files.Plain:
        pool = files.service("t", "exclusive", upstream_fleet.addresses, AGREED, TIMEOUT)
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    return made


def asked(fleet: Fleet, number: int, rate: float, surges: list[tuple[float, float, float]]) -> Any:
    return (
        fleet.processes[number].running.address,
        Asks(f"t{number}", rate, "/t/x", "POST", "t.example", TIMEOUT, AGREED, surges=surges),
    )


A_MINUTE = 900  # requests of each minute


def windows(report: Report, folder: Path, count: int, seed: int, minutes: int) -> None:
    """A count of each minute by eight processes, of which two have wrong clocks; faults all the time."""
    chance = Random(f"windows/{seed}")
    upstream_fleet = UpstreamFleet(
        {f"s-{n}": Script(workers=64, work=BRIEF) for n in range(4)}, seed
    )
    homes = [f"m{n}" for n in range(count)]
    limits: files.Plain = {
        "minute": {"kind": "count", "amount": A_MINUTE, "window": "minute", "homes": homes}
    }
    fleet = Fleet(count, folder, service(upstream_fleet), seed, limits=limits)
    loads: Loads | None = None
    try:
        for number, wrong in ((1, 3_600.0), (2, -1_234.5)):
            fleet.processes[number].wall = wrong
        fleet.start()
        fleet.until(fleet.gathered, 30.0)
        fleet.until(
            lambda: all(
                row["agreed"] and not row["fenced_ms"]
                for process in fleet.processes
                for row in fleet.ask(process.number, "limits")
            ),
            30.0,
        )
        time.sleep(
            60.0 - time.time() % 60.0
        )  # from a window's start: of the one before nothing is known
        upstream_fleet.meter()
        start, wall, span = time.monotonic(), time.time(), 60.0 * minutes
        hot = [chance.randrange(count) for _ in range(minutes * 6)]
        streams = [
            asked(
                fleet,
                number,
                3.0 * A_MINUTE / 60 / count,
                [
                    (10.0 * at, 10.0 * at + 10.0, 0.7 * count if one == number else 0.3)
                    for at, one in enumerate(hot)
                ],
            )
            for number in range(count)
        ]
        loads = Loads(streams, seed, start, span, most=1_000)
        at, killed = 4.0, 0
        while at < span - 8.0:
            time.sleep(max(0.0, start + at - time.monotonic()))
            number, kind = chance.randrange(count), chance.choice(("kill", "stop", "cut", "lossy"))
            if kind == "kill":
                fleet.kill(number)
                fleet.processes[number].start()
                killed += 1
            elif kind == "stop":
                fleet.stop(number)
                time.sleep(2.5)
                fleet.go_on(number)
            elif kind == "cut":
                fleet.cut("half", list(range(count // 2)), list(range(count // 2, count)))
                time.sleep(2.0)
                fleet.heal("half")
            else:
                fleet.weather("lossy", lost=0.3)
                time.sleep(2.0)
                fleet.weather("lossy")
            at += chance.uniform(4.0, 9.0)
        gateways = loads.results()
        met = upstream_fleet.meter()["times"]
        # Where an upstream's own moment and the fleet's may be a little apart, a request counts for
        # neither.
        inside = [at for at in met if 0.25 < (wall + at - start) % 60.0 < 59.75]
        each = Counter(int((at - start + wall) // 60.0) for at in inside)
        report.say(
            f"     tasks of each minute: {[count for _, count in sorted(each.items())]}, "
            f"{killed} processes killed and started"
        )
        report.bound("tasks of any minute over its count", max(each.values()) - A_MINUTE, most=0)
        usual = sorted(each.values())[len(each) // 2]
        report.bound("of a minute's count used, the middle one", usual / A_MINUTE, least=0.8)
        report.bound(
            "ran twice, or answered twice",
            len(upstream_fleet.ledger().twice())
            + sum(len(one.answered_twice()) for one in gateways),
            most=0,
        )
        report.figure("minutes", sorted(each.values()))
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


def most_in(times: list[float], width: float) -> int:
    """The most that came within any span of time."""
    times, first, most = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] < at - width:
            first += 1
        most = max(most, last - first + 1)
    return most


def nearly(report: Report, folder: Path, count: int, seed: int, span: float) -> None:
    """A rate that is nearly kept: demand that moves, then a fleet cut in two, whose parts both
    ask for all.
    """
    upstream_fleet = UpstreamFleet(
        {f"s-{n}": Script(workers=64, work=BRIEF) for n in range(4)}, seed
    )
    limits: files.Plain = {
        "near": {"kind": "rate", "amount": RATE, "burst": BURST, "promise": "nearly"}
    }
    fleet = Fleet(count, folder, service(upstream_fleet), seed, limits=limits)
    loads: Loads | None = None
    try:
        fleet.start()
        fleet.until(fleet.gathered, 30.0)
        fleet.until(
            lambda: all(
                fleet.ask(one.number, "limits")[0]["sharing"] == count for one in fleet.processes
            ),
            30.0,
        )
        upstream_fleet.meter()
        start, cut = time.monotonic() + 0.5, 3 * span
        half = count // 2
        # All at one; all at another; one in each half, of which the second begins when the cut
        # does.
        phases = {
            0: [(0.0, span, 1.0)],
            1: [(span, 2 * span, 1.0)],
            2: [(2 * span, 99.0, 1.0)],
            half + 1: [(cut + 0.3, 99.0, 1.0)],
        }
        streams = []
        for number, (first,) in phases.items():
            rate = 1.5 * RATE
            streams.append(
                asked(fleet, number, rate, [(0.0, first[0], 0.0), (first[1], 99.0, 0.0)])
            )
        loads = Loads(streams, seed, start, cut + 12.0, most=1_000)
        time.sleep(max(0.0, start + cut - time.monotonic()))
        fleet.cut("halves", list(range(half)), list(range(half, count)))
        loads.results()
        met = upstream_fleet.meter()["times"]
        calm = [at for at in met if at < start + cut]
        over = most_in(calm, 1.0) - RATE - BURST
        age = propagation_time(count) / 1e9
        report.say(
            f"     {count} processes, words reach all within {age:.2f} s; asked for in full "
            f"{sum(start + 2.0 <= at < start + span for at in met) / (RATE * (span - 2.0)):.3f} used"
        )
        report.bound(
            "used, all at one, from 2 s on",
            sum(start + 2.0 <= at < start + span for at in met) / (RATE * (span - 2.0)),
            least=0.9,
        )
        report.bound(
            "tasks over in any second while demand moves, of the limit", over / RATE, most=0.1
        )
        unheard = STALE_AFTER / 1e9 + age
        known = start + cut + unheard + 1.0
        wild = [at for at in met if start + cut <= at < known]
        late = [at for at in met if at >= known]
        excess = len(wild) - RATE * (known - start - cut) - BURST
        allowed = RATE * unheard * (count - half) / count + BURST
        report.say(
            f"     cut in two, both ask for all: {excess:.0f} tasks over in {unheard + 1.0:.1f} s, "
            f"{allowed:.0f} by the formula; then {most_in(late, 1.0)} in the busiest second of {RATE}"
        )
        report.bound(
            "tasks over until the parts know, by the formula's", excess / allowed, most=1.0
        )
        report.bound(
            "busiest second after that, of the limit", (most_in(late, 1.0) - BURST) / RATE, most=1.1
        )
        report.figure("nearly_excess", round(excess / allowed, 3))
    finally:
        if loads:
            loads.stop()
        fleet.end()
        upstream_fleet.stop()


def cost(report: Report) -> None:
    """What a request pays for ten limits, and for one that each tenant has, by the number of tenants."""

    def between(now: int) -> tuple[int, int]:
        return now, now

    ten = [LimitConfig(Limit(f"x{n}", A_RATE, 10**9, ("a",), 10**6), ("t",)) for n in range(10)]
    shares = QuotaAllocation("a", ten, 0, Random(1), between)
    shares.look(0, set(), set(), set())
    parts = [table.sole_quota for table in shares.tables.values()]
    now, requests = 10 * SECOND, 20_000
    for part in parts:
        part.acquire(now, now)
    begun = time.perf_counter()
    for step in range(requests):
        now += 10_000
        for part in parts:
            part.acquire(now, now + SECOND)
    each = (time.perf_counter() - begun) / requests
    report.say(f"     ten limits: {each * 1e6:.1f} us a task")
    report.bound("ten limits, of the 800 us that a task takes of a core", each / 800e-6, most=0.02)
    found = {}
    for tenants in (10, 1_000, 100_000):
        said = LimitConfig(
            Limit("x", A_RATE, 10**6, ("a",), 1_000), ("t",), scope="tenant", max_tenants=1_024
        )
        table = QuotaTable(said, lambda limit: LeasedQuota(limit, "a", 0, Random(1), 0))
        names = [f"t{n}" for n in range(tenants)]
        chance, now = Random(1), 10 * SECOND
        begun = time.perf_counter()
        for _ in range(requests):
            now += 100_000
            table.named(names[int(chance.random() * tenants)]).acquire(now, now + SECOND)
        found[tenants] = (time.perf_counter() - begun) / requests
        report.say(
            f"     {tenants} tenants: {found[tenants] * 1e6:.1f} us a task, {len(table.parts)} parts, "
            f"{table.pooled} tasks of strangers that share parts"
        )
        report.bound(f"parts held for {tenants} tenants", len(table.parts), most=1_024 + 16)
    report.bound("a task of 100,000 tenants, by one of 10", found[100_000] / found[10], most=3.0)


def bench() -> int:
    report = Report("limits", __doc__ or "")
    kinds = ("orders", "moves", "days", "windows", "nearly", "cost")
    report.parser.add_argument("--only", choices=kinds, default="")
    report.parser.add_argument(
        "--processes", type=int, default=0, help="of days and windows; 8 if not said"
    )
    report.parser.add_argument("--days", type=int, default=0, help="drawn days; 1 short, 20 long")
    given = report.options()
    short, seed = given.short, given.seed
    if given.only in ("", "orders"):
        orders(report, short, seed)
    with tempfile.TemporaryDirectory() as name:
        if given.only in ("", "moves"):
            moves(report, Path(name) / "moves", seed, 3.0 if short else 10.0)
        if given.only in ("", "days") and not (short and not given.only):
            number = given.days or (1 if short else 20)
            days(
                report,
                Path(name) / "days",
                given.processes or 8,
                [seed * 1_000 + n for n in range(number)],
                12.0,
            )
        if given.only in ("", "nearly"):
            nearly(report, Path(name) / "nearly", 8, seed, 3.0 if short else 8.0)
        if given.only == "windows" or not short and not given.only:
            windows(report, Path(name) / "windows", given.processes or 8, seed, 1 if short else 6)
    if given.only in ("", "cost"):
        cost(report)
    return report.close()


if __name__ == "__main__":
    main(bench)
