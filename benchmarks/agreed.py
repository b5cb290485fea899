"""What the fleet agrees on, on real processes: drains and releases beside faults, and a way back.

`orders` explores the record's state machine and finds each fault that is put in. `days` plays
drawn kills, pauses, cuts and losses while two operators change the fleet all the time. `release`
brings a file to all processes in one wave, and three bad ones to their canary. `leader` kills
the one that leads at counted points of its work. `learn` plays 200 members and 5 voters on
simulated time. `cost` holds what it costs an idle fleet, and a request, against a fleet without.
See docs/design/agreement.md.
"""

from __future__ import annotations

import json
import os
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from benchmarks.common import Report, main
from whinpier.fleet.consensus.node import RaftNode
from whinpier.fleet.consensus.service import compress_release, release_chunks
from whinpier.model_checking import consensus_scenarios
from whinpier.model_checking.consensus import FAULTS
from whinpier.simulation import consensus as model
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.faults import Fault, Schedule, split
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.operators import Operator, halt
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet
from whinpier.testbed.ways import Ways

AGREED, TIMEOUT, WORK = 0.25, 1.5, 0.005
SETTLED = 10.0  # seconds after the last fault within which all hold one state


class Trial:
    """A fleet that agrees, with upstreams of its own."""

    def __init__(
        self,
        folder: Path,
        count: int,
        seed: int,
        out: int = 1,
        voters: int = 3,
        relayed: bool = False,
        agreed: bool = True,
        dies: bool = False,
        script: Script = Script(workers=16, work=WORK),
        **more: Any,
    ) -> None:
        """`more`: what else the processes' files have of the fleet."""
        self.folder, self.count, self.seed = folder, count, seed
        self.upstream_fleet = UpstreamFleet({f"s-{n}": script for n in range(4)}, seed)
        agreement = {
            "voters": [f"m{n}" for n in range(voters)],
            "permits": {
                "all": {"of": "balancers", "out": out},
                "t": {"of": "upstreams", "pool": "t", "out": 1},
            },
        }
        self.fleet = Fleet(
            count,
            folder,
            self.service,
            seed,
            relayed=relayed,
            agreement=agreement if agreed else None,
            **more,
        )
        if dies:
            for one in self.fleet.processes:
                one.dies = folder / f"{one.name}.dies"
        self.agreed = agreed

    def service(
        self, process: Process | None = None, agreed: float = AGREED, **more: Any
    ) -> files.Plain:
        pool = (
            files.service("t", "exclusive", self.upstream_fleet.addresses, agreed, TIMEOUT) | more
        )
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    def text(self, **more: Any) -> bytes:
        """A file that can be released."""
        return files.document(self.service(**more)).encode()

    def start(self) -> None:
        self.fleet.start()
        self.fleet.until(self.fleet.gathered, 60.0)
        if self.agreed:
            self.fleet.until(
                lambda: all(self.status(n)["line"] >= 3 for n in range(self.count)), 30.0
            )

    def status(self, number: int) -> dict[str, Any]:
        found: dict[str, Any] = self.fleet.ask(number, "status")
        return found

    def alive(self) -> list[int]:
        return [one.number for one in self.fleet.processes if one.alive() and not one.stopped]

    def leader(self) -> int:
        found: list[int] = []

        def leads() -> bool:
            found[:] = [n for n in self.alive() if self.asked(n)["role"] == "leader"]
            return bool(found)

        self.fleet.until(leads, 20.0)
        return found[0]

    def asked(self, number: int) -> dict[str, Any]:
        """Its status; nothing of one that is just dying."""
        with suppress(OSError, ValueError, RuntimeError):
            return self.status(number)
        return {
            "role": "",
            "release": None,
            "closed": [],
            "line": 0,
            "digest": "",
            "record": "",
            "runs": "?",
            "good": "",
            "drains": [],
            "lost": [],
            "current": False,
        }

    def states(self) -> set[str]:
        """What each process that runs holds to be agreed."""
        return {
            json.dumps([self.asked(n)[key] for key in ("record", "line", "digest")])
            for n in self.alive()
        }

    def load(self, numbers: list[int], rate: float, span: float) -> Loads:
        streams = [
            (
                self.fleet.processes[n].running.address,
                Asks(f"t{n}", rate, "/t/x", "POST", "t.example", TIMEOUT, AGREED),
            )
            for n in numbers
        ]
        return Loads(streams, self.seed, time.monotonic() + 0.2, span, most=1_000)

    def command(self, number: int, what: str, **value: Any) -> dict[str, Any]:
        """One command at one process, until it is known what it came to."""
        identity = Random().getrandbits(60) | 1
        self.fleet.ask(number, "command", name=what, value=value | {"id": identity, "who": "bench"})
        found: dict[str, Any] = {}

        def known() -> bool:
            found.update(self.fleet.ask(number, "outcome", name=str(identity)))
            return bool(found["known"])

        self.fleet.until(known, 20.0)
        return found

    def put(self, number: int, text: bytes) -> str:
        content, data = compress_release(text)
        for piece in release_chunks(data):
            self.fleet.ask(number, "put", name=content, value=piece)
        self.fleet.until(lambda: bool(self.fleet.ask(number, "has", name=content)["whole"]), 20.0)
        return content

    def end(self) -> None:
        self.fleet.end()
        self.upstream_fleet.stop()


def answered(report: Report, seen: list[Gateway], upstream_fleet: UpstreamFleet, what: str) -> None:
    wrong = sum(len(one.unanswered()) + len(one.answered_twice()) for one in seen)
    report.bound(f"{what}: tasks without one answer", wrong, most=0)
    report.bound(
        f"{what}: exclusive tasks that ran twice", len(upstream_fleet.ledger().twice()), most=0
    )


# Drawn days.


def drawn(seed: int, count: int, hit: list[int], seconds: float) -> Schedule:
    """Faults over each other at some of the processes, and on all ways."""
    chance, faults = Random(f"agreed/{seed}"), list[Fault]()
    spare = list(hit)
    chance.shuffle(spare)
    for _ in range(chance.randint(3, 6)):
        at, span = round(chance.uniform(1.0, seconds - 6.0), 2), chance.choice((0.5, 1.0, 2.0, 4.0))
        kind = chance.choice(("restart", "restart", "stop", "stop", "cut", "lossy", "late"))
        if kind in ("restart", "stop") and spare:
            faults.append(Fault(at, kind, (spare.pop(),), span=span))
        elif kind == "cut":
            faults.append(Fault(at, "cut", parts=split(chance, range(count), 2), span=span))
        elif kind == "lossy":
            faults.append(Fault(at, "lossy", span=span, amount=round(chance.uniform(0.05, 0.3), 2)))
        elif kind == "late":
            faults.append(
                Fault(at, "late", span=span, amount=round(chance.choice((0.05, 0.2, 1.0)), 2))
            )
    return Schedule(count, seconds, tuple(sorted(faults, key=lambda one: one.at)), seed)


def too_many(said: list[Any]) -> tuple[int, int]:
    """The most processes that were drained at one moment, by their own events on one clock."""
    out: dict[str, str] = {}
    most = times = 0
    for one in sorted(said, key=lambda one: one.at):
        name, run = one.process
        if one.event == "drain_started":
            out[name] = run
            times += 1
        elif one.event == "drain_finished" or name in out and out[name] != run:
            out.pop(name, None)  # another run of it tells anew
        most = max(most, len(out))
    return most, times


def day(
    report: Report, folder: Path, count: int, seed: int, seconds: float, operators: int
) -> dict[str, Any]:
    """One day; with operators the properties are held, without it is what the same faults come to."""
    calm = [count - 2, count - 1]
    trial = Trial(folder, count, seed, 2, 5 if count >= 9 else 3, relayed=True)
    fleet = trial.fleet
    try:
        trial.start()
        schedule = drawn(seed, count, list(range(count - 2)), seconds)
        load = trial.load(calm, 30.0, seconds + SETTLED)
        contents = [compress_release(trial.text(agreed=AGREED + step / 1000)) for step in range(3)]
        ends = time.monotonic() + seconds
        those = [
            Operator(
                fleet, number, seed, ends, list(range(count - 2)), trial.upstream_fleet, contents
            )
            for number in range(operators)
        ]
        for one in those:
            one.start()
        fleet.play(schedule)
        halt(those)
        begun = time.monotonic()
        one_state = True
        try:
            fleet.until(lambda: len(trial.states()) == 1 and len(trial.alive()) == count, SETTLED)
        except TimeoutError:
            one_state = False
            for n in trial.alive():
                found = trial.asked(n)
                report.say(
                    f"     m{n}: {found['role']} {found['record']} {found['line']} {found['digest']}"
                )
        settled = time.monotonic() - begun
        seen = load.results()
        most, times = too_many(fleet.said)
        answers = [answer for one in those for answer in one.answers]
        return {
            "seed": seed,
            "most": most,
            "drains": times,
            "one_state": one_state,
            "settled": settled,
            "unanswered": sum(len(one.unanswered()) + len(one.answered_twice()) for one in seen),
            "twice": len(trial.upstream_fleet.ledger().twice()),
            "faults": [one.fault for one in those if one.fault],
            "untrue": [answer.untrue for answer in answers if answer.untrue],
            "said": Counter(
                f"{answer.what} {'done' if answer.good else 'refused'}" for answer in answers
            ),
            "confirmed": sum(answer.done for answer in answers),
            "on_time": sum(one.share_on_time() for one in seen) / len(seen),
            "schedule": msgspec.to_builtins(schedule),
        }
    finally:
        trial.end()


def days(report: Report, folder: Path, count: int, seed: int, number: int, seconds: float) -> None:
    """Drawn days, each beside the same faults without any operator."""
    rows = []
    lost = 0.0
    for place in range(number):
        row = day(report, folder / f"day-{place}", count, seed + place, seconds, 2)
        rows.append(row)
        other = day(report, folder / f"day-{place}-off", count, seed + place, seconds, 0)
        lost = max(lost, other["on_time"] - row["on_time"])
        report.say(
            f"     day {row['seed']}: {row['drains']} drains at processes, "
            f"most at once {row['most']}, upstreams confirmed {row['confirmed']}, "
            f"one state after {row['settled']:.1f} s, "
            f"on time {row['on_time']:.3f} ({other['on_time']:.3f} without); "
            f"{', '.join(f'{key} {value}' for key, value in sorted(row['said'].items()))}"
        )
        bad = (
            row["most"] > 2
            or not row["one_state"]
            or row["unanswered"]
            or row["twice"]
            or row["untrue"]
        )
        if bad or row["faults"]:
            report.say(
                f"     its schedule: {json.dumps(row['schedule'])} {row['untrue']} {row['faults']}"
            )
    report.bound(
        f"{number} drawn days, {count} processes: most drained at one moment",
        max(row["most"] for row in rows),
        most=2,
    )
    report.bound("and at some moment as many as may be", max(row["most"] for row in rows), least=2)
    report.bound("drains at processes in all", sum(row["drains"] for row in rows), least=2 * number)
    report.bound(
        "reports of success that were not so", sum(len(row["untrue"]) for row in rows), most=0
    )
    report.bound(
        "days that did not end in one state", sum(not row["one_state"] for row in rows), most=0
    )
    report.bound(
        "slowest to one state after the last fault, s",
        max(row["settled"] for row in rows),
        most=SETTLED,
    )
    report.bound("tasks without one answer", sum(row["unanswered"] for row in rows), most=0)
    report.bound("exclusive tasks that ran twice", sum(row["twice"] for row in rows), most=0)
    report.bound("points on time that drains and releases cost at most", 100 * lost, most=2.0)
    report.bound("operators that broke", sum(len(row["faults"]) for row in rows), most=0)


# Releases.


def release(report: Report, folder: Path, count: int, seed: int) -> None:
    """One wave to all, then bad ones: each is met by its canary alone, halted, and undone."""
    trial = Trial(folder, count, seed, out=max(2, count // 4), voters=5 if count >= 9 else 3)
    fleet, window = trial.fleet, 1.0
    ways = Ways(trial.upstream_fleet.addresses)
    try:
        ways.late(list(ways.addresses), 1.6 * AGREED)
        trial.start()
        load = trial.load(list(range(count)), 200.0 / count, 30.0)
        time.sleep(0.5)
        content = trial.put(0, trial.text(agreed=0.24))
        begun = time.monotonic()
        found = trial.command(
            1, "release", content=content, waves="100%", window_ms=int(window * 1000)
        )
        assert found["good"], found["text"]
        fleet.until(lambda: all(trial.status(n)["runs"] == content for n in range(count)), 30.0)
        took = time.monotonic() - begun
        report.bound(
            f"{count} processes, one wave: s from command to the last that runs it", took, most=10.0
        )
        fleet.until(lambda: trial.status(1)["release"] is None, 20.0)
        report.bound("and it is good", float(trial.status(1)["good"] == content), least=1)
        kinds = {
            "refused": trial.text().replace(b"exclusive", b"inclusive"),
            "erring": trial.text(upstreams=files.upstreams({"s-0": "127.0.0.1:9"})),
            "slow": trial.text(upstreams=files.upstreams(ways.addresses)),
        }
        for kind, text in kinds.items():
            bad = trial.put(2, text)
            before = ran(fleet)
            begun = time.monotonic()
            found = trial.command(
                2, "release", content=bad, waves="1", window_ms=int(window * 1000)
            )
            number = int(found["text"].split()[1])
            halted: list[float] = []

            def over() -> bool:
                told = trial.status(2)
                on = told["release"]
                if not halted and (on is None or on["phase"] in ("undoing", "halted")):
                    halted.append(time.monotonic() - begun)
                return told["release"] is None

            fleet.until(over, 30.0)
            undone = time.monotonic() - begun
            row = next(one for one in trial.status(2)["closed"] if one["number"] == number)
            met = sum(now > then for now, then in zip(ran(fleet), before))
            report.say(f"     {kind}: {row['phase']}: {row['reason'][:150]}")
            report.bound(
                f"{kind}: s from command to its halt, with the gate's window of {window:g} s",
                halted[0],
                most=3.0 + window,
            )
            report.bound(f"{kind}: s until it is undone", undone, most=10.0)
            report.bound(f"{kind}: processes that it came to", met, most=1)
            report.bound(
                f"{kind}: all run what is good",
                sum(trial.status(n)["runs"] == content for n in range(count)),
                least=count,
            )
        answered(report, load.results(), trial.upstream_fleet, "releases under traffic")
    finally:
        trial.end()
        ways.stop()


def ran(fleet: Fleet) -> list[int]:
    """How often each process has gone on by another released file."""
    return [
        one.balancer.said("event=release_applied") if one.balancer else 0 for one in fleet.processes
    ]


# The leader dies.


def leader(report: Report, folder: Path, seed: int, short: bool, each: int = 1) -> None:
    """The one that leads is killed at counted points of a release, which is carried on or undone
    by all.
    """
    trial = Trial(folder, 5, seed, dies=True)
    try:
        trial.start()
        contents = [trial.put(0, trial.text(agreed=AGREED + step / 1000)) for step in range(2)]
        total = at_point(report, trial, contents[0], 1_000_000)["points"]
        chosen = list(range(1, total + 1, each)) if not short else [1, total // 2, total - 2]
        ends, died = Counter[str](), 0
        wrong = []
        for place, point in enumerate(chosen):
            row = at_point(report, trial, contents[(place + 1) % 2], point)
            ends[row["phase"]] += 1
            died += row["died"]
            if row["wrong"]:
                wrong.append(row)
                report.say(f"     killed at point {point} of {total}: {row['wrong']}")
        report.say(f"     {total} points, of which {len(chosen)} were tried; ended {dict(ends)}")
        report.bound("of them so many at which it did die", died / len(chosen), least=0.8)
        report.bound(
            f"of {len(chosen)} points at which the leader was killed, ended otherwise than agreed",
            len(wrong),
            most=0,
        )
        report.figure("points", total)
    finally:
        trial.end()


def at_point(report: Report, trial: Trial, content: str, point: int) -> dict[str, Any]:
    """One release with the leader killed at one point of it."""
    fleet, leads = trial.fleet, trial.leader()
    fleet.until(lambda: not trial.asked(leads)["lost"], 20.0)
    process = fleet.processes[leads]
    assert process.dies
    process.dies.write_text(str(point))
    other = next(n for n in range(5) if n != leads)
    # What was said may have been lost with the leader: the process that it was said at says it
    # again.
    identity = Random().getrandbits(60) | 1
    value = {
        "content": content,
        "waves": "1",
        "window_ms": 200,
        "least": 0,
        "id": identity,
        "who": "bench",
    }
    fleet.ask(other, "command", name="release", value=value)
    died = False
    ends = time.monotonic() + 40.0
    number = 0
    while time.monotonic() < ends:
        if not process.alive() and not died:
            died = True
            process.dies.unlink()
            process.start()
        found = trial.asked(other)
        said = fleet.ask(other, "outcome", name=str(identity))
        if said["known"]:
            number = int(said["text"].split()[1]) if said["good"] else -1
        over = number > 0 and any(one["number"] == number for one in found["closed"])
        if over and len(trial.states()) == 1 and len(trial.alive()) == 5 and not found["lost"]:
            break
        time.sleep(0.05)
    counted = int(process.dies.with_suffix(".count").read_text()) if point > 999_999 else point
    with suppress(OSError):
        process.dies.unlink()
    row = next((one for one in trial.asked(other)["closed"] if one["number"] == number), None)
    good = trial.asked(other)["good"]
    runs = [trial.asked(n)["runs"] for n in range(5)]
    wrong = ""
    if row is None or len(trial.states()) != 1:
        wrong = f"not over after 40 s: {number} {trial.asked(other)['release']} {trial.states()}"
    elif set(runs) != {good} or (row["phase"] == "released") != (good == content):
        wrong = f"{row['phase']}, good is {good}, and they run {runs}"
    return {
        "points": counted,
        "phase": row["phase"] if row else "none",
        "wrong": wrong,
        "died": died,
    }


# Cost, learning, orders.


def cost(report: Report, folder: Path, seed: int, span: float, count: int = 6) -> None:
    """CPU of an idle fleet, and of a request, with the record and without, in the same seconds."""
    idle, busy = {}, {}
    trials = {on: Trial(folder / str(on), count, seed, agreed=on) for on in (True, False)}
    try:
        for trial in trials.values():
            trial.start()
        time.sleep(2.0)

        def cpu(on: bool) -> float:
            return sum(one.running.cpu() for one in trials[on].fleet.processes)

        before, begun = {on: cpu(on) for on in trials}, time.monotonic()
        time.sleep(span)
        for on in trials:
            idle[on] = (cpu(on) - before[on]) / (time.monotonic() - begun) / count
        before = {on: cpu(on) for on in trials}
        loads = {on: trial.load([0, 1], 150.0, span) for on, trial in trials.items()}
        requests = {on: sum(len(one.told) for one in load.results()) for on, load in loads.items()}
        for on in trials:
            busy[on] = (cpu(on) - before[on] - idle[on] * count * (span + 2.0)) / requests[on]
        report.bound(
            "part of a core that the record costs an idle member",
            idle[True] - idle[False],
            most=0.01,
        )
        report.bound(
            "CPU of a task with it, times that without", busy[True] / busy[False], most=1.1
        )
        held = {
            on: sum(one.balancer.memory() for one in trial.fleet.processes if one.balancer)
            / count
            / 1e6
            for on, trial in trials.items()
        }
        report.say(
            f"     memory {held[True]:.1f} MB a member with it, {held[False]:.1f} without; "
            f"CPU {1e3 * busy[True]:.3f} and {1e3 * busy[False]:.3f} ms a task"
        )
        report.figure("idle_cpu", idle[True] - idle[False])
    finally:
        for trial in trials.values():
            trial.end()


def learn(report: Report, members: int, voters: int, seed: int) -> None:
    """Many members learn what few agree on, on simulated time."""
    found = model.play(members, voters, seed)
    report.say(
        f"     {members} members, {voters} voters: a command of {found['bytes']} bytes agreed in "
        f"{1000 * found['agreed']:.0f} ms, at all in {found['all']:.2f} s; "
        f"while all learned 60 said at once the leader sent {found['leader_bytes'] / 1000:.1f} "
        f"kB a second at most, another voter {found['voter_bytes'] / 1000:.1f}, "
        f"{found['idle_bytes'] / 1000:.1f} kB at rest, others {found['other_bytes'] / 1000:.1f} kB; "
        f"{found['late']} who came late learned all in {found['late_all']:.1f} s"
    )
    report.bound("simulated s from a command to all", found["all"], most=3.0)
    report.bound("bytes a second that a voter sent at most", found["voter_bytes"], most=80_000)
    report.bound("bytes a second that the leader sent at most", found["leader_bytes"], most=256_000)
    report.bound("simulated s for those who came late to learn all", found["late_all"], most=20.0)


def orders(report: Report, short: bool, seed: int) -> None:
    """The record's state machine, gone through."""
    with ProcessPoolExecutor(max(1, len(os.sched_getaffinity(0))), get_context("spawn")) as pool:
        whole = [(index, 5 if short else 0) for index in range(len(consensus_scenarios.WHOLE))]
        for index, result in enumerate(pool.map(_whole, whole)):
            report.say(
                f"     {consensus_scenarios.WHOLE[index].what}: {result[0]} states, {result[1]} steps, "
                f"to {result[2]}"
            )
            report.bound("breaches", float(bool(result[3])), most=0)
        walked = list(
            pool.map(
                _walked,
                [
                    (index, 20_000 if short else 1_000_000, seed)
                    for index in range(len(consensus_scenarios.WALKS))
                ],
            )
        )
        for one in walked:
            if one[1]:
                report.say(f"     {one[1]}: {one[2]}")
        report.bound(
            f"of {sum(one[0] for one in walked)} random steps, walks that break a property",
            sum(bool(one[1]) for one in walked),
            most=0,
        )
        names = sorted(set(FAULTS) - consensus_scenarios.SLOW)[::3] if short else sorted(FAULTS)
        missed = [name for name, length in zip(names, pool.map(_found, names)) if not length]
        report.say(f"     put in and not found: {', '.join(missed) or 'none'}")
        report.bound(f"of {len(names)} faults put in not found", len(missed), most=0)


def _whole(given: tuple[int, int]) -> tuple[int, int, int, str]:
    from whinpier.model_checking.explore import every

    days = consensus_scenarios.WHOLE[given[0]]
    result = every(days.make(RaftNode), given[1] or days.depth, days.most)
    return result.states, result.steps, result.deepest, result.broken


def _walked(given: tuple[int, int, int]) -> tuple[int, str, list[str]]:
    result = consensus_scenarios.WALKS[given[0]].gone_through(RaftNode, given[1], given[2])
    return result.steps, result.broken, result.path


def _found(name: str) -> int:
    result = consensus_scenarios.found(name)
    return len(result[2]) if result else 0


KINDS = ("orders", "days", "release", "leader", "learn", "cost")


def bench() -> int:
    report = Report("agreed", __doc__ or "")
    report.parser.add_argument("--only", choices=KINDS, default="")
    report.parser.add_argument("--days", type=int, default=0, help="drawn days; 1 short, 200 long")
    report.parser.add_argument(
        "--each", type=int, default=1, help="of the leader's points every so many"
    )
    report.parser.add_argument(
        "--processes", type=int, default=0, help="9 short, 40 long in days; 20 in release"
    )
    given = report.options()
    short, only = given.short, given.only
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if only in ("", "orders"):
            orders(report, short, given.seed)
        if only in ("", "learn"):
            learn(report, 50 if short else 200, 3 if short else 5, given.seed)
        if only in ("", "release"):
            release(report, folder / "release", given.processes or (6 if short else 20), given.seed)
        if only == "leader" or not only and not short:
            leader(report, folder / "leader", given.seed, short, given.each)
        if only == "days" or not only and not short:
            days(
                report,
                folder / "days",
                given.processes or (9 if short else 40),
                given.seed,
                given.days or (1 if short else 200),
                10.0 if short else 20.0,
            )
        if only == "cost" or not only and not short:
            cost(report, folder / "cost", given.seed, 5.0 if short else 30.0)
    return report.close()


if __name__ == "__main__":
    main(bench)
