"""Bad days of a whole fleet on processes: all that it promises held at once, under all faults at
once.

Owns what a day is (data, drawn from a seed, played, made smaller) and what is held against what
was done: the members' view, limits by the upstreams' own count, what rests, what is out by
permit, one answer to each request, one record in the end. Must never hold a process to what was
done to itself, or call a bound kept that was not looked at.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from msgspec import Struct

from whinpier.fleet.consensus.service import compress_release
from whinpier.testbed import faults as faults_
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.faults import Fault, Kind, Schedule, split
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.operators import Operator, halt
from whinpier.testbed.referee import Bounds, Referee, Said
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

AGREED, TIMEOUT, WORK = 0.25, 1.5, 0.005
CHARGES, READS = 4, 5  # upstreams of the exclusive pool, and of the rerunnable one
RATE, BURST = 120, 16  # requests a second of the rerunnable pool, over the whole fleet
BUNCHED = (
    0.1  # seconds by which what passed a limit may come to an upstream sooner or later than another
)
OUT = 2  # balancers that may be out at once
WARM = 7.0  # seconds till verdicts are given: their votes count from a life after the start
SETTLED = 10.0  # after the last fault, for one state
WAKING = 0.6  # seconds after which one that stood still has done what it should have long ago


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream behaves otherwise for a while."""

    at: float
    span: float
    upstream: str
    script: dict[str, float]


class Surge(Struct, frozen=True, forbid_unknown_fields=True):
    """A stream asks for more for a while."""

    at: float
    span: float
    stream: int
    times: float


class Day(Struct, frozen=True, forbid_unknown_fields=True):
    """One day, as data."""

    schedule: Schedule
    troubles: tuple[Trouble, ...] = ()
    surges: tuple[Surge, ...] = ()
    operators: int = 2
    whole: float = 0.0  # when all processes are killed at once and started again; 0: never

    @property
    def seed(self) -> int:
        return self.schedule.seed


DRAWN: tuple[Kind, ...] = (
    "restart",
    "restart",
    "stop",
    "kill",
    "cut",
    "cut",
    "cut",
    "one_way",
    "lossy",
    "late",
    "doubled",
    "flipped",
    "stale",
)
SCRIPTS: tuple[dict[str, float], ...] = (
    {"speed": 0.08},
    {"error": 0.5},
    {"reset": 0.4},
    {"away": 0.6},
    {"spoilt": 0.3},
    {"hang": 0.2},
)


def draw(seed: int, members: int, seconds: float) -> Day:
    """Faults of all kinds over each other; the last two processes are left alone, for what is
    seen there.
    """
    chance, faults = Random(f"badday/{seed}"), list[Fault]()
    spare = list(range(members - 2))
    chance.shuffle(spare)
    last = seconds - 6.0
    for _ in range(chance.randint(3, 6)):
        at, span = round(chance.uniform(WARM, last), 2), chance.choice((0.5, 1.0, 2.0, 4.0))
        kind = chance.choice(DRAWN)
        if kind in ("restart", "stop", "kill"):
            if spare and (kind != "kill" or not any(one.kind == "kill" for one in faults)):
                faults.append(Fault(at, kind, (spare.pop(),), span=span if kind != "kill" else 0.0))
        elif kind == "cut":
            parts = split(chance, range(members), chance.choice((2, 2, 3)))
            faults.append(
                Fault(at, kind, parts=parts, span=max(2.0, 1.5 * span))
            )  # an election takes two
        elif kind == "one_way":
            one, other = chance.randrange(members), chance.randrange(members)
            faults.append(Fault(at, kind, (one,), (other,), span=span))
        elif kind == "late":
            faults.append(Fault(at, kind, span=span, amount=chance.choice((0.05, 0.2, 1.0))))
        else:
            faults.append(Fault(at, kind, span=span, amount=round(chance.uniform(0.02, 0.2), 2)))
    names = [f"c-{n}" for n in range(CHARGES)] + [f"r-{n}" for n in range(READS)]
    troubles = [
        Trouble(
            round(chance.uniform(WARM, last), 2),
            chance.choice((2.0, 4.0, 6.0)),
            chance.choice(names),
            chance.choice(SCRIPTS),
        )
        for _ in range(chance.randint(1, 4))
    ]
    # Connections with charges on them break; one of the shared ones is slow for long enough to be
    # let rest.
    troubles.append(
        Trouble(
            round(chance.uniform(WARM - 5.0, last - 6.0), 2),
            5.0,
            names[chance.randrange(CHARGES)],
            {"reset": 0.5},
        )
    )
    troubles.append(
        Trouble(
            round(chance.uniform(WARM, last - 3.0), 2),
            6.0,
            names[CHARGES + chance.randrange(READS)],
            SCRIPTS[0],
        )
    )
    surges = [
        Surge(
            round(chance.uniform(WARM, last), 2),
            chance.choice((1.0, 3.0)),
            chance.randrange(members),
            chance.choice((2.0, 4.0)),
        )
        for _ in range(chance.randint(0, 2))
    ]
    whole = round(chance.uniform(WARM, last - 3.0), 2) if chance.random() < 0.15 else 0.0
    ordered = tuple(sorted(faults, key=lambda one: one.at))
    if whole:  # what follows it would hit processes that are just starting
        ordered = tuple(one for one in ordered if one.ends < whole - 1.0)
    return Day(Schedule(members, seconds, ordered, seed), tuple(troubles), tuple(surges), 2, whole)


def smaller(day: Day) -> Iterator[Day]:
    """Days that are a step smaller, the largest steps first."""
    schedule = day.schedule
    if day.operators:
        yield msgspec.structs.replace(day, operators=0)
    if day.whole:
        yield msgspec.structs.replace(day, whole=0.0)
    if day.troubles:
        yield msgspec.structs.replace(day, troubles=())
    if day.surges:
        yield msgspec.structs.replace(day, surges=())
    faults = schedule.faults
    half = len(faults) // 2
    for some in [faults[:half], faults[half:]] if half else []:
        yield msgspec.structs.replace(day, schedule=msgspec.structs.replace(schedule, faults=some))
    for index in range(len(faults)):
        rest = faults[:index] + faults[index + 1 :]
        yield msgspec.structs.replace(day, schedule=msgspec.structs.replace(schedule, faults=rest))
    for index in range(len(day.troubles)):
        yield msgspec.structs.replace(
            day, troubles=day.troubles[:index] + day.troubles[index + 1 :]
        )


def shrink(day: Day, fails: Callable[[Day], bool], most: int = 12) -> tuple[Day, int]:
    """The smallest day found that still fails, and how many were played."""
    return faults_.least(day, smaller, fails, most)


def text(day: Day) -> str:
    return json.dumps(msgspec.to_builtins(day), indent=1)


def read(data: str) -> Day:
    """A day from JSON. Raises msgspec.ValidationError that names the key."""
    return msgspec.json.decode(data, type=Day)


@dataclass
class Outcome:
    """What a day came to: what broke, and how near each bound came."""

    seed: int
    broken: list[str] = field(default_factory=list)
    near: dict[str, float] = field(default_factory=dict)  # measured, as a part of what is allowed
    said: Counter[str] = field(default_factory=Counter)


class Player:
    """Plays one day."""

    def __init__(self, day: Day, folder: Path, fault: str = "") -> None:
        self.day, self.count = day, day.schedule.members
        self.calm = [self.count - 2, self.count - 1]
        self.charges = UpstreamFleet(
            {f"c-{n}": Script(workers=16, work=WORK) for n in range(CHARGES)}, day.seed
        )
        self.reads = UpstreamFleet(
            {f"r-{n}": Script(workers=16, work=WORK) for n in range(READS)}, day.seed
        )
        homes = [f"m{n}" for n in range(self.count)]
        self.fleet = Fleet(
            self.count,
            folder,
            self.service,
            day.seed,
            relayed=True,
            fault=fault,
            limits={
                "reads": {
                    "kind": "rate",
                    "amount": RATE,
                    "burst": BURST,
                    "homes": homes,
                    "pools": ["r"],
                }
            },
            verdicts={"life": "4s", "term": "5s", "back": "1s"},
            agreement={
                "voters": homes[: 5 if self.count >= 8 else 3],
                "wait": "5s",
                "permits": {
                    "all": {"of": "balancers", "out": OUT},
                    "c": {"of": "upstreams", "pool": "c", "out": 1},
                },
            },
        )
        self.outcome = Outcome(day.seed)
        self.killed: set[str] = set()

    def service(self, process: Process | None = None, agreed: float = AGREED) -> files.Plain:
        return {
            "pools": {
                "c": files.service("c", "exclusive", self.charges.addresses, agreed, TIMEOUT),
                "r": files.service("r", "rerunnable", self.reads.addresses, agreed, TIMEOUT),
            },
            "routes": [files.route("c", "exclusive", "c"), files.route("r", "rerunnable", "r")],
        }

    def end(self) -> None:
        self.fleet.end()
        self.charges.stop()
        self.reads.stop()

    def play(self) -> Outcome:
        """All of it."""
        fleet, day = self.fleet, self.day
        fleet.start()
        fleet.until(fleet.gathered, 40.0)
        fleet.until(
            lambda: all(fleet.ask(n, "status")["line"] >= 3 for n in range(self.count)), 30.0
        )
        fleet.until(
            lambda: all(
                not row["fenced_ms"] and row["agreed"]
                for n in range(self.count)
                for row in fleet.ask(n, "limits")
            ),
            30.0,
        )
        self.reads.meter()
        begun = time.monotonic()
        loads = self.load(begun)
        contents = [
            compress_release(files.document(self.service(agreed=AGREED + step / 1000)).encode())
            for step in range(3)
        ]
        ends = begun + day.schedule.seconds
        operators = [
            Operator(fleet, number, day.seed, ends, self.hit(), self.charges, contents, 0.8, "c")
            for number in range(day.operators)
        ]
        for one in operators:
            one.start()
        self.faults(begun)
        halt(operators)
        self.settle()
        seen = loads.results()
        self.judge(seen, operators)
        return self.outcome

    def hit(self) -> list[int]:
        return list(range(self.count - 2))

    def load(self, begun: float) -> Loads:
        day, streams = self.day, []
        for number, process in enumerate(self.fleet.processes):
            surges = [
                (one.at, one.at + one.span, one.times) for one in day.surges if one.stream == number
            ]
            calm = number in self.calm
            ends = float("inf") if calm else self.first_fault(number)
            assert process.balancer
            for name, method, rate in (("c", "POST", 20.0), ("r", "GET", 24.0)):
                streams.append(
                    (
                        process.balancer.address,
                        Asks(
                            f"{name}{number}",
                            rate,
                            f"/{name}/x",
                            method,
                            f"{name}.example",
                            TIMEOUT,
                            AGREED,
                            surges=surges,
                            ends=ends if name == "c" else float("inf"),
                        ),
                    )
                )
        return Loads(streams, day.seed, begun, day.schedule.seconds, most=1_000)

    def first_fault(self, number: int) -> float:
        """Charges end before their process is hit: a client that asks again would count as a second run."""
        hits = [
            one.at
            for one in self.day.schedule.faults
            if number in one.who and one.kind != "one_way"
        ]
        if self.day.whole:
            hits.append(self.day.whole)
        return max(0.0, min(hits, default=1e9) - TIMEOUT - 0.5)

    def faults(self, begun: float) -> None:
        """What happens, when it does."""
        fleet, steps = self.fleet, list[tuple[float, Callable[[], Any]]]()
        for index, fault in enumerate(self.day.schedule.faults):
            steps += fleet.steps(fault, f"fault-{index}")
        for trouble in self.day.troubles:
            upstreams = self.charges if trouble.upstream in self.charges.addresses else self.reads
            usual = {key: getattr(Script(), key) for key in trouble.script}
            begin = partial(upstreams.tell, trouble.upstream, **trouble.script)
            end = partial(upstreams.tell, trouble.upstream, **usual)
            steps.append((trouble.at, begin))
            steps.append((trouble.at + trouble.span, end))
        if self.day.whole:
            steps.append((self.day.whole, self.restart_all))
        for at, step in sorted(steps, key=lambda one: one[0]):
            time.sleep(max(0.0, begun + at - time.monotonic()))
            step()
        time.sleep(max(0.0, begun + self.day.schedule.seconds - time.monotonic()))

    def restart_all(self) -> None:
        alive = [one.number for one in self.fleet.processes if one.alive()]
        for number in alive:
            self.fleet.kill(number)
        begun = time.monotonic()
        chance = Random(f"whole/{self.day.seed}")
        chance.shuffle(alive)
        for number in alive:
            self.fleet.processes[number].start()
        for number in alive:
            with suppress(RuntimeError):
                self.wait_served(number)
        self.near("whole restart, s until served", time.monotonic() - begun, 8.0)

    def wait_served(self, number: int) -> None:
        """Until it says that it can serve, or that it is drained."""

        def served() -> bool:
            found = self.asked(number)
            return bool(found["current"])

        with suppress(TimeoutError):
            self.fleet.until(served, 15.0)

    def asked(self, number: int) -> dict[str, Any]:
        with suppress(OSError, ValueError, RuntimeError):
            found: dict[str, Any] = self.fleet.ask(number, "status")
            return found
        return {
            "record": "?",
            "line": number,
            "digest": "",
            "current": False,
            "release": None,
            "drains": [],
            "runs": "?",
            "role": "?",
            "lost": [],
        }

    def settle(self) -> None:
        """All that run hold one record, and each other, soon after the last fault."""
        fleet, begun = self.fleet, time.monotonic()
        alive = [one.number for one in fleet.processes if one.alive()]

        def one_state() -> bool:
            found = [self.asked(n) for n in alive]
            return len(
                {(one["record"], one["line"], one["digest"]) for one in found}
            ) == 1 and fleet.gathered(*alive)

        try:
            fleet.until(one_state, SETTLED)
        except (TimeoutError, OSError, RuntimeError):
            states = [
                (n, *(self.asked(n)[key] for key in ("role", "record", "line", "digest")))
                for n in alive
            ]
            self.broke("one state", f"not within {SETTLED:g} s: {states}")
        self.near("one state, s", time.monotonic() - begun, SETTLED)

        def through() -> bool:
            return self.asked(alive[0])["release"] is not None or self.all_run_what_is_good(alive)

        with suppress(TimeoutError, OSError, RuntimeError):
            fleet.until(through, SETTLED)
        found = self.asked(alive[0])
        if found["release"] is None and not self.all_run_what_is_good(alive):
            runs = {n: self.asked(n)["runs"] for n in alive}
            self.broke("runs", f"{found['good']!r} is good, and they run {runs}")

    def all_run_what_is_good(self, alive: list[int]) -> bool:
        found = [self.asked(n) for n in alive]
        return all(one["runs"] == one.get("good") for one in found)

    def judge_said(self, operators: list[Operator]) -> None:
        """What was answered as done is still known in the end."""
        answers = [answer for one in operators for answer in one.answers if answer.good]
        alive = next(one.number for one in self.fleet.processes if one.alive())
        lost = []
        for answer in answers[-400:]:
            with suppress(OSError, ValueError, RuntimeError):
                found = self.fleet.ask(alive, "outcome", name=str(answer.identity))
                if not found["known"] or not found["good"] or found["text"] != answer.text:
                    lost.append(f"{answer.what} {answer.name} at {answer.at:.1f} s")
        if lost:
            self.broke("lost", f"{len(lost)} of {len(answers)} commands that were done: {lost[:3]}")

    # What is held.

    def near(self, what: str, measured: float, allowed: float) -> None:
        self.outcome.near[what] = max(self.outcome.near.get(what, 0.0), measured / allowed)

    def broke(self, what: str, how: str) -> None:
        self.outcome.broken.append(f"{what}: {how}")

    def judge(self, seen: list[Gateway], operators: list[Operator]) -> None:
        self.judge_members()
        self.judge_answers(seen)
        self.judge_limit()
        self.judge_rests()
        self.judge_drains()
        self.judge_processes()
        self.judge_said(operators)
        for one in operators:
            if one.fault:
                self.broke("operator", one.fault)
            for answer in one.answers:
                self.outcome.said[f"{answer.what} {'done' if answer.good else 'refused'}"] += 1
                if answer.untrue:
                    self.broke("untrue", answer.untrue)
        self.outcome.said["drains confirmed"] = sum(
            answer.done for one in operators for answer in one.answers
        )

    def judge_members(self) -> None:
        bounds = Bounds(dead=5.0, position=4.5, agree=6.0)
        referee = Referee(self.fleet.facts, self.fleet.said, self.fleet.clock(), bounds)
        for breach in referee.judge()[:3]:
            self.broke("members", str(breach))
        if referee.checked["dead"]:
            self.near("dead member known, s", referee.slowest["dead"], bounds.dead)

    def judge_answers(self, seen: list[Gateway]) -> None:
        wrong = [
            (one.asks.name, request.id, request.how)
            for one in seen
            if self.whole_day(one)
            for request in (*one.unanswered(), *one.answered_twice())
        ]
        if wrong:
            self.broke("answers", f"{len(wrong)} tasks without one answer: {wrong[:3]}")
        if twice := self.charges.ledger().twice():
            self.broke("twice", f"{len(twice)} exclusive tasks ran twice: {twice[:3]}")
        calm = [
            one for one in seen if int(one.asks.name[1:]) in self.calm and one.asks.name[0] == "c"
        ]
        self.outcome.near["late or lost, at processes that were left alone"] = 1.0 - sum(
            one.share_on_time() for one in calm
        ) / len(calm)

    def whole_day(self, one: Gateway) -> bool:
        """Whether its process was never hit while it asked."""
        return one.asks.name[0] == "c" or self.first_fault(int(one.asks.name[1:])) > 1e6

    def judge_limit(self) -> None:
        times = self.reads.meter()["times"]
        over, most = excess(times)
        if over > 0.0:
            self.broke("limit", f"{over:.1f} tasks more than the rate allows in some window")
        self.near("tasks of a window, of what the rate allows", most, 1.0)

    def intervals(
        self, begins: str, ends: str, name: str = ""
    ) -> list[tuple[float, float, str, str]]:
        """From when to when each process was in some state, by its own events; dead ones are in none."""
        found: list[tuple[float, float, str, str]] = []
        on: dict[tuple[str, str], float] = {}
        events = [(one.at, 1, one) for one in self.fleet.said if one.event in (begins, ends)]
        events += [
            (one.at, 0, one)  # type: ignore[misc]
            for one in self.fleet.facts
            if one.kind in ("dead", "left", "stopped")
        ]
        for at, _, one in sorted(events, key=lambda row: row[:2]):
            if isinstance(one, Said):
                key = one.process[0], str(one.pairs.get(name, "")) if name else ""
                if one.event == begins:
                    on.setdefault(key, at)
                elif key in on:
                    found.append((on.pop(key), at, *key))
            else:
                for key in [key for key in on if key[0] == one.member[0]]:
                    found.append((on.pop(key), at, *key))
        return found + [(since, self.fleet.clock(), *key) for key, since in on.items()]

    def judge_rests(self) -> None:
        """Never more upstreams of a pool at rest, over the whole fleet, than may be."""
        rests = [one for one in self.intervals("ejection_started", "ejection_ended", "upstream")]
        may = READS // 5
        most = at_once(
            [(since, until, what) for since, until, _, what in rests if what.startswith("r-")]
        )
        if most > may:
            self.broke("rests", f"{most} of pool r at rest at once, {may} may")
        if any(what.startswith("c-") for _, _, _, what in rests):
            self.broke("rests", "one of pool c rests, none may")
        self.near("upstreams at rest at once", most, may)

    def judge_drains(self) -> None:
        """Never more balancers drained at once than permits allow."""
        drained = [
            (since, until, who)
            for since, until, who, _ in self.intervals("drain_started", "drain_finished")
        ]
        most = at_once(drained)
        if most > OUT:
            self.broke("permits", f"{most} balancers drained at once, {OUT} may be")
        self.near("balancers drained at once", most, OUT)

    def judge_processes(self) -> None:
        """None ended by itself, none met a fault of its own, none holds too much."""
        dead = {one.member[0] for one in self.fleet.facts if one.kind in ("dead", "left")}
        for one in self.fleet.processes:
            if one.balancer and not one.alive() and one.name not in dead:
                self.broke("process", f"{one.name} ended by itself: {one.balancer.log()[-300:]}")
            for log in sorted(one.folder.glob("*/log")):
                for line in log.read_text(errors="replace").splitlines():
                    if "level=error" in line or "Traceback" in line:
                        self.broke("process", f"{one.name}: {line[:400]}")
                        break
            if one.alive() and one.balancer:
                self.near("descriptors", one.balancer.descriptors(), 400.0)
                self.near("memory, MB", one.balancer.memory() / 1e6, 80.0)


def at_once(spans: list[tuple[float, float, str]]) -> int:
    """The most different names that were in some span at one moment."""
    most = 0
    for moment in {since for since, _, _ in spans}:
        most = max(most, len({name for since, until, name in spans if since <= moment < until}))
    return most


def excess(times: list[float], rate: float = RATE, burst: float = BURST) -> tuple[float, float]:
    """The most requests by which a window held more than the rate allows, and the most of what
    it allows.
    """
    times, worst, most = sorted(times), float("-inf"), 0.0
    # For each end the start that leaves most: least of (i - rate * t_i) so far, as in the largest
    # sum.
    least = float("inf")
    for number, at in enumerate(times):
        least = min(least, number - rate * at)
        over = number + 1 - rate * at - least - burst - rate * BUNCHED
        worst = max(worst, over)
        most = max(most, 1.0 + over / (burst + rate))
    return worst, most


def play(day: Day, folder: Path, fault: str = "") -> Outcome:
    """One day, from its processes' start to their end; a day that can't be played is broken."""
    player = Player(day, folder, fault)
    try:
        return player.play()
    except (OSError, RuntimeError, TimeoutError, KeyError) as wrong:
        player.broke("played", f"{type(wrong).__name__}: {str(wrong)[-400:]}")
        return player.outcome
    finally:
        player.end()
