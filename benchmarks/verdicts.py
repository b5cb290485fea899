"""Verdicts of the whole fleet on real processes: how soon a slow upstream is out, and who is never
wronged.

`slow` has twenty processes with little traffic each and makes one upstream of ten ten times
slower, with verdicts and without, in the same run. `ways` gives one process bad ways to six of
ten upstreams, `all_slow` slows them all: nothing may rest. `parts` cuts the fleet in two while
upstreams fail, and counts what rests anywhere. `stale` cuts off a process that goes by a
verdict. `orders` explores the votes: every order of small worlds, walks, each fault put into the
code. See docs/design/verdicts.md.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.common import Report, main
from whinpier.fleet.outliers.ejection import EjectionCoordinator
from whinpier.model_checking import ejection_scenarios
from whinpier.model_checking.ejection import FAULTS
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet
from whinpier.testbed.ways import Ways

AGREED, TIMEOUT, WORK = 0.05, 1.0, 0.01
RATE = 10.0  # requests a second of each process: one a second at each of ten upstreams
WARM = 6.0  # seconds of traffic before anything is done


class Trial:
    """A fleet over one pool of ten upstreams, each process with a stream of its own."""

    def __init__(
        self,
        folder: Path,
        count: int,
        seed: int,
        verdicts: bool,
        relayed: bool = False,
        upstreams: int = 10,
        **rules: Any,
    ) -> None:
        self.upstream_fleet = UpstreamFleet(
            {
                f"s-{n}": Script(workers=8, work=WORK, spread="exponential")
                for n in range(upstreams)
            },
            seed,
        )
        self.fleet = Fleet(
            count,
            folder,
            self.service,
            seed,
            relayed=relayed,
            verdicts={"part": 0.2, "life": "3s", "term": "30s"} | rules if verdicts else None,
        )
        self.seed, self.loads = seed, list[Loads]()

    def service(self, process: Process) -> files.Plain:
        pool = files.service("t", "rerunnable", self.upstream_fleet.addresses, AGREED, TIMEOUT)
        return {"pools": {"t": pool}, "routes": [files.route("t", "rerunnable", "t")]}

    def start(self, span: float) -> float:
        """Start all and their streams; when the streams begin, on the monotonic clock."""
        self.fleet.start()
        self.fleet.until(self.fleet.gathered, 30.0)
        begun = time.monotonic() + 0.5
        streams = [
            (
                process.balancer.address,
                Asks(f"t{process.number}", RATE, "/t/x", "GET", "t.example", TIMEOUT, AGREED),
            )
            for process in self.fleet.processes
            if process.balancer
        ]
        self.loads.append(Loads(streams, self.seed, begun, span))
        return begun

    def slow(self, names: Iterable[str], speed: float) -> float:
        for name in names:
            self.upstream_fleet.tell(name, speed=speed)
        return time.monotonic()

    def last(self, name: str) -> float:
        """When it was last sent something new."""
        return float(self.upstream_fleet.tell(name)["last"].get(name, 0.0))

    def resting(self) -> dict[int, set[str]]:
        """What rests at each process."""
        return {
            process.number: {
                row["upstream"]
                for row in self.fleet.ask(process.number, "verdicts")
                if row["state"] == "rests"
            }
            for process in self.fleet.processes
            if process.alive() and not process.stopped
        }

    def shares(self, begun: float, windows: list[tuple[float, float]]) -> list[float]:
        found = []
        gateways = [gateway for load in self.loads for gateway in load.results()]
        for first, last in windows:
            requests = [
                request
                for one in gateways
                for request in one.told
                if first <= request.due - begun < last
            ]
            found.append(
                sum(request.on_time(AGREED) for request in requests) / max(1, len(requests))
            )
        return found

    def end(self) -> None:
        for load in self.loads:
            load.stop()
        self.fleet.end()
        self.upstream_fleet.stop()


def until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def slow(report: Report, folder: Path, count: int, seed: int) -> None:
    """One upstream of ten ten times slower."""
    found: dict[bool, tuple[float, list[float]]] = {}
    for verdicts in (True, False):
        trial = Trial(folder / str(verdicts), count, seed, verdicts)
        try:
            begun = trial.start(WARM + 12.0)
            until(begun + WARM)
            at = trial.slow(["s-3"], 0.1)
            until(at + 5.0)
            last = trial.last("s-3") - at
            found[verdicts] = last, trial.shares(begun, [(2.0, WARM), (WARM + 1.0, WARM + 5.0)])
            if verdicts:
                told = [
                    line
                    for process in trial.fleet.processes
                    if process.balancer
                    for line in process.balancer.log().splitlines()
                    if "ejection_started" in line
                ]
                report.bound("processes at which it rested", len(told), least=count)
                report.bound(
                    "that rested and was not slow", sum("s-3" not in line for line in told), most=0
                )
        finally:
            trial.end()
    for verdicts, (last, shares) in found.items():
        report.say(
            f"     {'with' if verdicts else 'without'} verdicts: sent to for {last:.2f} s, on time "
            f"{shares[0]:.3f} before, {shares[1]:.3f} from 1 to 5 s after"
        )
    report.bound("out of the draw everywhere within, s", found[True][0], most=2.0)
    report.bound(
        "on time with verdicts less without", found[True][1][1] - found[False][1][1], least=0.0
    )
    report.figure("out_s", [round(found[True][0], 2), round(found[False][0], 2)])
    report.figure("on_time", [round(found[True][1][1], 3), round(found[False][1][1], 3)])


def all_slow(report: Report, folder: Path, count: int, seed: int) -> None:
    """All upstreams slow at once: a dependency that they share."""
    trial = Trial(folder, count, seed, True)
    try:
        begun = trial.start(WARM + 6.0)
        until(begun + WARM)
        trial.slow(trial.upstream_fleet.addresses, 0.1)
        until(begun + WARM + 6.0)
        report.bound(
            "that rested while all were slow", sum(map(len, trial.resting().values())), most=0
        )
        said = sum(
            process.balancer.said("ejection_started")
            for process in trial.fleet.processes
            if process.balancer
        )
        report.bound("verdicts while all were slow", said, most=0)
    finally:
        trial.end()


def ways(report: Report, folder: Path, count: int, seed: int) -> None:
    """One process has bad ways to six of ten upstreams: that is its own trouble."""
    trial = Trial(folder, count, seed, True)
    bad = Ways(dict(list(trial.upstream_fleet.addresses.items())[:6]))
    usual = trial.service

    def service(process: Process) -> files.Plain:
        given = usual(process)
        if process.number == 0:
            for row in given["pools"]["t"]["upstreams"]:
                row["address"] = bad.addresses.get(row["name"], row["address"])
        return given

    trial.fleet.service = service
    try:
        begun = trial.start(WARM + 8.0)
        until(begun + WARM)
        bad.late(list(bad.addresses), 10 * WORK)
        until(begun + WARM + 8.0)
        process = trial.fleet.processes[0].balancer
        assert process
        hearings = process.said("event=ejection_not_agreed")
        said = sum(
            one.balancer.said("ejection_started") for one in trial.fleet.processes if one.balancer
        )
        report.say(
            f"     one of {count} with bad ways to six of ten: {hearings} hearings of it in vain"
        )
        report.bound("verdicts by one process with bad ways", said, most=0)
    finally:
        trial.end()
        bad.stop()


def parts(report: Report, folder: Path, count: int, seed: int, rounds: int) -> None:
    """A fleet that is cut, unevenly and in halves, while upstreams turn slow: what rests anywhere."""
    trial = Trial(
        folder, count, seed, True, relayed=True, part=0.2, term="4s", life="2s", back="1s"
    )
    chance, most, worst, some = Random(f"parts/{seed}"), 2, 0, 0
    try:
        begun = trial.start(WARM + 6.0 * rounds)
        until(begun + WARM)
        for turn in range(rounds):
            names = chance.sample(sorted(trial.upstream_fleet.addresses), 3)
            at = chance.choice((count // 2, count // 3))
            order = list(range(count))
            chance.shuffle(order)
            trial.slow(trial.upstream_fleet.addresses, 1.0)
            trial.fleet.cut("parts", order[:at], order[at:])
            trial.slow(names, 0.1)
            ends = begun + WARM + 6.0 * turn + 5.8
            while time.monotonic() < ends:
                # As each says, one after the other: what ended meanwhile would count as at one
                # moment.
                each = trial.resting()
                again = trial.resting()
                there = set().union(*(one & two for one, two in zip(each.values(), again.values())))
                worst, some = max(worst, len(there)), max(some, max(map(len, again.values())))
                if time.monotonic() > ends - 2.9 and "parts" in trial.fleet.cuts:
                    trial.fleet.heal("parts")
        report.bound("upstreams at rest at once, over the whole bank", worst, most=most)
        report.bound("and at some moment as many as may", some, least=most)
    finally:
        trial.end()


def stale(report: Report, folder: Path, count: int, seed: int) -> None:
    """One that is cut off drops what it goes by within its life."""
    trial = Trial(folder, count, seed, True, relayed=True, life="3s", term="60s")
    try:
        begun = trial.start(WARM + 12.0)
        until(begun + WARM)
        trial.slow(["s-3"], 0.1)
        trial.fleet.until(lambda: all("s-3" in one for one in trial.resting().values()), 10.0)
        trial.fleet.cut("one", [0], list(range(1, count)))
        took = trial.fleet.until(lambda: not trial.resting()[0], 10.0)
        report.bound("a verdict at a member that was cut off lasted, s", took, most=3.5)
        report.bound(
            "members that go on by it",
            sum("s-3" in one for one in trial.resting().values()),
            least=count - 1,
        )
        trial.fleet.heal("one")
        trial.fleet.until(lambda: all("s-3" in one for one in trial.resting().values()), 10.0)
    finally:
        trial.end()


def orders(report: Report, short: bool, seed: int) -> None:
    """Votes, gone through."""
    with ProcessPoolExecutor(max(1, len(os.sched_getaffinity(0))), get_context("spawn")) as pool:
        if not short:
            for index, result in enumerate(pool.map(_whole, range(len(ejection_scenarios.WHOLE)))):
                report.say(
                    f"     {ejection_scenarios.WHOLE[index].what}: {result[0]} states, {result[1]} steps"
                )
                report.bound("breaches", float(bool(result[2])), most=0)
        walked = list(
            pool.map(
                _walked,
                [
                    (index, 20_000 if short else 1_000_000, seed)
                    for index in range(len(ejection_scenarios.WALKS))
                ],
            )
        )
        report.bound(
            f"of {sum(one[0] for one in walked)} random steps, walks in which too many rest",
            sum(bool(one[1]) for one in walked),
            most=0,
        )
        names = sorted(FAULTS)[::4] if short else sorted(FAULTS)
        missed = [name for name, length in zip(names, pool.map(_found, names)) if not length]
        report.say(f"     put in and not found: {', '.join(missed) or 'none'}")
        report.bound(f"of {len(names)} faults put in not found", len(missed), most=0)


def _whole(index: int) -> tuple[int, int, str]:
    result = ejection_scenarios.WHOLE[index].gone_through(EjectionCoordinator)
    return result.states, result.steps, result.broken


def _walked(given: tuple[int, int, int]) -> tuple[int, str]:
    result = ejection_scenarios.WALKS[given[0]].gone_through(
        EjectionCoordinator, given[1], given[2]
    )
    return result.steps, result.broken


def _found(name: str) -> int:
    result = ejection_scenarios.found(name)
    return len(result[2]) if result else 0


def bench() -> int:
    report = Report("verdicts", __doc__ or "")
    kinds = ("orders", "slow", "all_slow", "ways", "parts", "stale")
    report.parser.add_argument("--only", choices=kinds, default="")
    report.parser.add_argument("--processes", type=int, default=0, help="20 if not said")
    given = report.options()
    count, short = given.processes or (10 if given.short else 20), given.short
    if given.only in ("", "orders"):
        orders(report, short, given.seed)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if given.only in ("", "slow"):
            slow(report, folder / "slow", count, given.seed)
        if given.only == "all_slow" or not short and not given.only:
            all_slow(report, folder / "all", count, given.seed)
        if given.only == "ways" or not short and not given.only:
            ways(report, folder / "ways", count, given.seed)
        if given.only == "parts" or not short and not given.only:
            parts(report, folder / "parts", given.processes or 9, given.seed, 2 if short else 6)
        if given.only == "stale" or not short and not given.only:
            stale(report, folder / "stale", given.processes or 8, given.seed)
    return report.close()


if __name__ == "__main__":
    main(bench)
