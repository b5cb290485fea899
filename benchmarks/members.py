"""A fleet of real processes under traffic and faults: who is lost when, who names which position,
its worth.

`faults` plays a schedule on the fleet with the stand-in network between its processes and holds
what each said against what was done (whinpier/testbed/referee.py). `table` compares on-time
shares of fleets that know each other with fleets that are told the truth in their files, over
the same seconds. `cost` compares CPU with the fleet on and off. `model` plays drawn faults on
simulated time, and every fault that is put back into the code. See docs/design/members.md.
"""

from __future__ import annotations

import os
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from benchmarks.common import Report, main
from whinpier.fleet.messages import member_id
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Effect, RequestClass, Upstream, UpstreamState
from whinpier.policy.policy import Policy
from whinpier.simulation.fleet import Fleet as Model
from whinpier.simulation.fleet_mutants import MUTATIONS, caught
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.faults import Fault, Schedule, draw
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.referee import Bounds, Referee
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

AGREED, TIMEOUT = 0.25, 1.5
WORK = 0.01  # seconds of an upstream's one worker: 100 requests a second each


class Trial:
    """One fleet with upstreams of its own, and streams to each of its processes."""

    def __init__(
        self,
        folder: Path,
        count: int,
        upstreams: int,
        seed: int,
        kind: str = "exclusive",
        known: bool = True,
        workers: int = 1,
        relayed: bool = True,
    ) -> None:
        self.kind, self.known, self.told = kind, known, count
        self.upstream_fleet = UpstreamFleet(
            {f"s-{n}": Script(workers=workers, work=WORK) for n in range(upstreams)}, seed
        )
        self.capacity = upstreams * workers / WORK
        self.fleet = Fleet(count, folder, self.service, seed, relayed=relayed)
        self.seed = seed
        self.loads: list[Loads] = []

    def service(self, process: Process) -> files.Plain:
        pool = files.service("t", self.kind, self.upstream_fleet.addresses, AGREED, TIMEOUT)
        if not self.known:
            pool |= {"balancers": self.told, "number": min(process.number, self.told - 1)}
        return {
            "pools": {"t": pool},
            "routes": [files.route("t", self.kind, "t")],
            "process": {"seed": f"{self.seed * 1000 + process.number:x}"},
        }

    def retell(self, balancers: int) -> None:
        """The files say another number, and those who are left read them again."""
        self.told = balancers
        for process in self.fleet.processes:
            if process.alive() and process.balancer:
                process.balancer.reload(files.document(process.file()))

    def load(self, streams: list[tuple[int, Asks]], start: float, span: float) -> None:
        addresses = [
            (self.fleet.processes[number].running.address, asks) for number, asks in streams
        ]
        self.loads.append(Loads(addresses, self.seed, start, span, most=2_000))

    def asks(self, number: int, rate: float, **more: Any) -> tuple[int, Asks]:
        method = files.METHODS[self.kind]
        return number, Asks(
            f"t{number}", rate, "/t/x", method, "t.example", TIMEOUT, AGREED, **more
        )

    def end(self) -> None:
        for load in self.loads:
            load.stop()
        self.fleet.end()
        self.upstream_fleet.stop()


def faults(report: Report, folder: Path, count: int, seed: int, lossy: float) -> None:
    """Kill, silence, pause, a cut, loss: each within its bound, and every answer once."""
    half = tuple(range(count // 2)), tuple(range(count // 2, count))
    schedule = Schedule(
        count,
        15.0 + lossy,
        (
            Fault(0.5, "kill", (count - 1,)),
            Fault(0.5, "vanish", (count - 2,)),
            Fault(4.5, "stop", (3, 4), span=1.0),
            Fault(6.5, "cut", parts=half, span=3.8),
            Fault(14.5, "lossy", span=lossy, amount=0.1),
        ),
        seed,
    )
    trial = Trial(folder, count, 4, seed, workers=8)
    fleet = trial.fleet
    try:
        fleet.start()
        fleet.until(fleet.gathered, 30.0)
        begun, before = time.monotonic(), [fleet.ask(n, "figures")["bytes_out"] for n in range(3)]
        time.sleep(1.5)
        quiet = [
            (fleet.ask(n, "figures")["bytes_out"] - one) / (time.monotonic() - begun)
            for n, one in enumerate(before)
        ]
        start = time.monotonic() + 0.5
        dying = {count - 1, count - 2}
        trial.load(
            [trial.asks(n, 15.0, ends=0.3 if n in dying else float("inf")) for n in range(count)],
            start,
            schedule.seconds + 0.4,
        )
        time.sleep(max(0.0, start + 0.4 - time.monotonic()))
        played = fleet.clock()
        fleet.play(schedule)
        ends = fleet.clock()
        gateways = trial.loads[0].results()
        referee = Referee(fleet.facts, fleet.said, ends, Bounds())
        breaches = referee.judge()
        for breach in breaches[:10]:
            report.say(f"     {breach}")
        report.bound(f"{count} processes: properties broken", len(breaches), most=0)
        report.bound(
            "deaths held against the bound", referee.checked["dead"], least=2 * (count - 3)
        )
        report.bound("slowest to lose a dead member, s", referee.slowest["dead"], most=3.0)
        cut_at = played + 6.5
        asked = time.monotonic()
        fleet.ask(0, "members")
        report.bound("answer of the control socket, s", time.monotonic() - asked, most=0.1)
        positions: dict[str, tuple[float, str]] = {}
        for said in fleet.said:
            if said.event == "partition_state_changed" and cut_at <= said.at <= cut_at + 3.8:
                positions[said.process[0]] = (said.at - cut_at, said.pairs["position"])
        # With one vanished of those known, neither half has over half of all that are reckoned
        # with.
        report.bound(
            "slowest to name its position in a cut, s",
            max(at for at, _ in positions.values()),
            most=3.0,
        )
        report.bound(
            "names of positions that were right, after 3 s of a cut",
            referee.checked["position"],
            least=2 * (count - 2),
        )
        healed = [
            said.at - cut_at - 3.8
            for said in fleet.said
            if said.event == "member_here" and cut_at + 3.8 <= said.at <= cut_at + 7.5
        ]
        report.bound("slowest to be one again, s", max(healed), most=3.0)
        lost = [
            said for said in fleet.said if said.event == "member_lost" and said.at > played + 14.4
        ]
        report.bound(f"lost by {lossy:g} s of a tenth lost on all ways", len(lost), most=0)
        suspected = sum(
            said.event == "member_suspect" and said.at > played + 14.4 for said in fleet.said
        )
        answers(report, trial, gateways, dying)
        report.figure("suspected_by_loss", suspected)
        report.figure("bytes_s_quiet", max(quiet))
        report.bound("bytes a second and member at rest", max(quiet), most=10_000)
    finally:
        trial.end()


def answers(report: Report, trial: Trial, gateways: list[Gateway], dying: set[int]) -> None:
    requests = [request for gateway in gateways for request in gateway.told]
    unanswered = sum(len(gateway.unanswered()) for gateway in gateways)
    twice = sum(len(gateway.answered_twice()) + gateway.surplus for gateway in gateways)
    report.bound(f"of {len(requests)} tasks without an answer", unanswered, most=0)
    report.bound("answered twice", twice, most=0)
    report.bound(
        "exclusive tasks that ran twice", len(trial.upstream_fleet.ledger().twice()), most=0
    )


ROWS = ("8 balancers, 1.2 times capacity", "2 of them left, the same", "1 left, 0.7 of it")


def row_streams(
    trial: Trial, phases: list[tuple[float, list[int], float]]
) -> list[tuple[int, Asks]]:
    """Streams of one pass: in each phase so many a second, shared by whom it names. From, who, rate."""
    ends = [phase[0] for phase in phases[1:]] + [float("inf")]
    found = []
    for number in sorted({one for _, who, _ in phases for one in who}):
        surges, last = [], 0.0
        for (begins, who, rate), until in zip(phases, ends):
            surges.append((begins, until, rate / len(who) if number in who else 0.0))
            last = until if number in who else last
        found.append(trial.asks(number, 1.0, surges=surges, ends=last))
    return found


def shares(
    gateways: list[Gateway], start: float, windows: list[tuple[float, float]]
) -> list[float]:
    found = []
    for begins, ends in windows:
        requests = [
            request
            for gateway in gateways
            for request in gateway.told
            if begins <= request.due - start < ends
        ]
        found.append(sum(request.on_time(AGREED) for request in requests) / max(1, len(requests)))
    return found


def eight_two_one(folder: Path, upstreams: int, seed: int, span: float, known: bool) -> list[float]:
    """On-time shares of eight, and of the two and the one left of them, from 5 s after each change."""
    first = 2.0 + span
    second, third = first + 5.0 + span, first + 10.0 + 2 * span
    trial = Trial(folder, 8, upstreams, seed, "rerunnable", known, relayed=False)
    try:
        trial.fleet.start()
        if known:
            trial.fleet.until(trial.fleet.gathered, 30.0)
        start, heavy = time.monotonic() + 1.0, 1.2 * trial.capacity
        trial.load(
            row_streams(
                trial,
                [
                    (0.0, list(range(8)), heavy),
                    (first, [0, 1], heavy),
                    (second, [0], 0.7 * trial.capacity),
                ],
            ),
            start,
            third,
        )
        for at, gone, left in ((first, range(2, 8), 2), (second, range(1, 2), 1)):
            time.sleep(max(0.0, start + at - time.monotonic()))
            for number in gone:
                trial.fleet.kill(number)
            if not known:
                trial.retell(left)
        return shares(
            trial.loads[0].results(),
            start,
            [(2.0, first), (first + 5.0, second), (second + 5.0, third)],
        )
    finally:
        trial.end()


def table(report: Report, folder: Path, upstreams: int, seed: int, span: float, pairs: int) -> None:
    """Eight that become two and one, under load, against the same told the truth by their files,
    in turn.
    """
    found: dict[bool, list[list[float]]] = {True: [], False: []}
    for pair in range(pairs):
        for known in (True, False):
            found[known].append(
                eight_two_one(folder / f"{pair}-{known}", upstreams, seed + pair, span, known)
            )
    for place, row in enumerate(ROWS):
        each = {known: [one[place] for one in rows] for known, rows in found.items()}
        mean = {known: sum(one) / pairs for known, one in each.items()}
        report.say(
            f"     {row}: on time {mean[True]:.3f}, told the truth {mean[False]:.3f}; "
            f"{', '.join(f'{a:.3f}/{b:.3f}' for a, b in zip(each[True], each[False]))}"
        )
        report.bound(f"{row}: on time below the told", mean[False] - mean[True], most=0.03)
        report.figure(f"row_{place}", [round(mean[True], 3), round(mean[False], 3)])


def wrong(report: Report, folder: Path, upstreams: int, seed: int, span: float) -> None:
    """What it is worth: eight whose files say one, and a fleet cut into halves, at 1.2 times capacity."""
    trial = Trial(folder / "cut", 8, upstreams, seed, "rerunnable")
    found: dict[str, float] = {}
    try:
        trial.fleet.start()
        trial.fleet.until(trial.fleet.gathered, 30.0)
        start = time.monotonic() + 1.0
        trial.load(
            [trial.asks(number, 1.2 * trial.capacity / 8) for number in range(8)],
            start,
            5.0 + 2 * span,
        )
        time.sleep(max(0.0, start + 2.0 + span - time.monotonic()))
        trial.fleet.cut("halves", [0, 1, 2, 3], [4, 5, 6, 7])
        found["uncut"], found["cut"] = shares(
            trial.loads[0].results(), start, [(2.0, 2.0 + span), (5.0 + span, 5.0 + 2 * span)]
        )
    finally:
        trial.end()
    trial = Trial(folder / "one", 8, upstreams, seed, "rerunnable", known=False)
    trial.told = 1
    try:
        trial.fleet.start()
        start = time.monotonic() + 1.0
        trial.load(
            [trial.asks(number, 1.2 * trial.capacity / 8) for number in range(8)], start, 2.0 + span
        )
        (found["files say one"],) = shares(trial.loads[0].results(), start, [(2.0, 2.0 + span)])
    finally:
        trial.end()
    for name, share in found.items():
        report.say(f"     8 balancers, 1.2 times capacity, {name}: {share:.3f} on time")
    report.bound(
        "cut into halves: on time below the uncut", found["uncut"] - found["cut"], most=0.05
    )
    report.figure("files_say_one", found["files say one"])


def spent(process: Process) -> float:
    """Seconds of CPU, to the nanosecond."""
    assert process.balancer
    return int(Path(f"/proc/{process.balancer.process.pid}/schedstat").read_text().split()[0]) / 1e9


def cost(report: Report, folder: Path, count: int, seed: int, span: float) -> None:
    """CPU of the fleet's own work at rest: processes that know each other less one that knows nobody."""
    trial = Trial(folder, count, 1, seed)
    alone = Trial(folder / "alone", 1, 1, seed)
    alone.fleet.seed_count = 0
    try:
        trial.fleet.start()
        trial.fleet.until(trial.fleet.gathered, 30.0)
        alone.fleet.start()
        time.sleep(1.0)
        those = [*trial.fleet.processes, *alone.fleet.processes]
        before, at = [spent(one) for one in those], time.monotonic()
        time.sleep(span)
        shares = [(spent(one) - then) / (time.monotonic() - at) for one, then in zip(those, before)]
        mine = sum(shares[:count]) / count
        report.say(
            f"     {count} at rest: {100 * mine:.2f}% of a core each, alone {100 * shares[-1]:.2f}%"
        )
        report.bound("CPU of the bank's own work, of a core", mine - shares[-1], most=0.02)
        report.figure("cpu_of_a_core", mine - shares[-1])
    finally:
        trial.end()
        alone.end()


class Still:
    """A host in which nothing happens but time: for the parts of the list that decisions keep to."""

    def __init__(self) -> None:
        self.now = SECOND

    def set_timer(self, at: int, token: int = 0) -> None:
        """Solves are called by hand."""

    def close_idle(self, upstream: Upstream) -> None:
        """There are no connections."""

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """Nobody listens."""


def parts(report: Report, balancers: int, upstreams: int, seed: int) -> None:
    """How much of their parts of the list balancers change when one joins or is lost, and when
    one flaps.
    """
    request_class = RequestClass("t", Effect.IDEMPOTENT, SECOND // 4, SECOND, 1.0)
    names = sorted(
        (f"m{number}" for number in range(balancers + 1)), key=lambda name: member_id(name, 0)
    )
    listed = [Upstream(number, UpstreamState.READY, 0, 0, 0) for number in range(upstreams)]
    those: dict[str, Policy] = {}

    def settings(name: str, there: list[str]) -> dict[str, Any]:
        return {"balancers": len(there), "slot_no": there.index(name), "report.columns": []}

    def go_by(there: list[str], seconds: int = 5) -> float:
        """The part of what was held that is held no longer, over all that stay."""
        before = {
            name: {seen.upstream.id for seen in choice.selector.subset}
            for name, choice in those.items()
        }
        for name in there:
            if name in those:
                those[name].reconfigure(settings(name, there), [request_class])
            else:
                own = RequestClass("t", Effect.IDEMPOTENT, SECOND // 4, SECOND, 1.0)
                host: Any = Still()  # has of a host only what a solve asks for
                those[name] = Policy(host, settings(name, there), [own], seed + len(those))
                fresh = [Upstream(one.id, UpstreamState.READY, 0, 0, 0) for one in listed]
                those[name].on_endpoints_updated(fresh)
            for _ in range(seconds):
                those[name].host.now += SECOND
                those[name].selector.update_shares()
        moved = held = 0
        for name, old in before.items():
            if name in there and old:
                now = {seen.upstream.id for seen in those[name].selector.subset}
                moved, held = moved + len(old - now) + len(now - old), held + len(old)
        return moved / max(1, held)

    go_by(names[:-1], 60)
    joins = go_by(names)
    flaps = sum(go_by(names if turn % 2 else names[:-1], 1) for turn in range(20))
    half = go_by(names[: balancers // 2], 30)
    report.say(
        f"     {balancers} balancers, {upstreams} upstreams: of their parts {joins:.3f} moves as one "
        f"joins, {flaps:.3f} as one flaps 20 times, {half:.2f} when half are gone for good"
    )
    report.bound(
        "of parts that move as one joins, times the balancers", joins * balancers, most=1.0
    )
    report.bound("of parts that move as one flaps 20 times", flaps, most=0.05)
    report.figure("parts_half", half)


def one_day(given: tuple[int, int, float, int]) -> tuple[int, list[str], dict[str, float], float]:
    seed, members, seconds, count = given
    found = Model(draw(seed, members, seconds, count)).play()
    return (
        seed,
        [str(breach) for breach in found["breaches"]],
        found["slowest"],
        found["bytes_each"],
    )


def model(report: Report, days: list[tuple[int, int, float, int]], mutations: bool) -> None:
    """Drawn faults on simulated time, several processes at once."""
    broken, slowest, sizes = 0, 0.0, dict[int, float]()
    with ProcessPoolExecutor(max(1, len(os.sched_getaffinity(0))), get_context("spawn")) as pool:
        for (seed, breaches, near, size), day in zip(pool.map(one_day, days), days):
            broken += bool(breaches)
            slowest = max(slowest, near.get("dead", 0.0))
            sizes[day[1]] = max(size, sizes.get(day[1], 0.0))
            for breach in breaches[:3]:
                report.say(f"     seed {seed}, {day[1]} members: {breach}")
        report.bound(
            f"of {len(days)} drawn days in the model that break a property", broken, most=0
        )
        report.figure("model_slowest_s", slowest)
        for members, size in sorted(sizes.items()):
            report.say(
                f"     model, {members} members: {size:.0f} bytes a second and member, busiest day"
            )
            report.figure(f"bytes_s_{members}", size)
        if mutations:
            names = sorted(MUTATIONS)
            missed = [name for name, day in zip(names, pool.map(caught, names)) if day is None]
            report.say(f"     put back and not caught: {', '.join(missed) or 'none'}")
            report.bound(
                f"of {len(names)} faults put back into the code not caught", len(missed), most=0
            )


def bench() -> int:
    report = Report("members", __doc__ or "")
    report.parser.add_argument(
        "--only", choices=("faults", "table", "parts", "cost", "model"), default=""
    )
    report.parser.add_argument(
        "--processes", type=int, default=0, help="in `faults`; 12 short, 60 long"
    )
    report.parser.add_argument(
        "--lossy", type=float, default=0.0, help="seconds of loss; 2 short, 600 long"
    )
    given = report.options()
    short, seed = given.short, given.seed
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if given.only in ("", "faults"):
            faults(
                report,
                folder / "faults",
                given.processes or (12 if short else 60),
                seed,
                given.lossy or (2.0 if short else 600.0),
            )
        if given.only in ("", "table") and not (short and not given.only):
            table(
                report,
                folder / "table",
                3 if short else 8,
                seed,
                3.0 if short else 6.0,
                1 if short else 4,
            )
            if not short:
                wrong(report, folder / "wrong", 8, seed, 10.0)
        if given.only in ("", "parts"):
            parts(report, 40, 200, seed)
        if given.only in ("", "cost"):
            cost(report, folder / "cost", 12, seed, 3.0 if short else 20.0)
    if given.only in ("", "model"):
        days = (
            [(seed * 100 + n, 12, 30.0, 4) for n in range(6)]
            if short
            else (
                [(n, 200, 45.0, 6) for n in range(200)] + [(n, 1_000, 30.0, 4) for n in range(10)]
            )
        )
        model(report, days, not short or bool(given.only))
    return report.close()


if __name__ == "__main__":
    main(bench)
