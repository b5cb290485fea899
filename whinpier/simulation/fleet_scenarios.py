"""Experiments on the fleet: a file of members and faults, its days played on simulated time,
side by side.

Owns the keys of such a file and what is kept of a day that broke a property: its schedule, and
the least of it that still breaks one.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from whinpier.config.fields import part
from whinpier.config.model import ConfigFault
from whinpier.simulation.experiment import Table
from whinpier.simulation.fleet import Fleet
from whinpier.simulation.fleet import breaches as broken
from whinpier.testbed import faults
from whinpier.testbed.faults import Fault, Schedule

Seconds = Annotated[float, Meta(ge=0.0, le=7200.0)]


class Rolling(Table, frozen=True, kw_only=True):
    """All members restarted, so many at a time."""

    at: Seconds
    each: Annotated[int, Meta(ge=1, le=4096)] = 1
    apart: Annotated[float, Meta(gt=0.0, le=600.0)] = 1.0
    down: Seconds = 0.5


class Size(Table, frozen=True, kw_only=True):
    """The fleet."""

    members: Annotated[int, Meta(ge=2, le=4096)]
    seeds: Annotated[int, Meta(ge=1, le=64)] = 3
    refusing: bool = True  # whether a machine says so when nothing listens


class Days(Table, frozen=True, kw_only=True, rename={"fleet": "bank"}):
    """The whole file."""

    name: str
    fleet: Size
    about: str = ""
    seconds: Annotated[float, Meta(ge=10.0, le=7200.0)] = 40.0
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 1  # days, each with another
    drawn: Annotated[int, Meta(ge=0, le=100)] = 0  # faults by chance on each day
    rolling: Rolling | None = None
    faults: list[Any] = []


def is_one(path: Path) -> bool:
    """Whether a file is of this kind; what can't be read is somebody else's to say."""
    try:
        return "bank" in tomllib.loads(path.read_text())
    except (OSError, ValueError):
        return False


def read(path: Path) -> Days:
    """The experiment, all of it looked at. Raises ConfigFault with file and key."""
    try:
        days = part(tomllib.loads(path.read_text()), Days, "")
        for index, given in enumerate(days.faults):
            fault(given, index, days.fleet.members)
        return days
    except ConfigFault as wrong:
        raise ConfigFault(f"{path}: {wrong}") from None
    except (OSError, ValueError) as wrong:
        raise ConfigFault(f"{path}: {wrong}") from None


def fault(given: Any, index: int, members: int) -> Fault:
    try:
        found = msgspec.convert(given, Fault)
    except msgspec.ValidationError as wrong:
        raise ConfigFault(f"faults[{index}]: {wrong}") from None
    named = (*found.who, *found.to, *(one for part in found.parts for one in part))
    if any(not 0 <= number < members for number in named):
        raise ConfigFault(f"faults[{index}]: names a member that is none of {members}")
    return found


def schedule(days: Days, seed: int) -> Schedule:
    """What happens on one day."""
    members = days.fleet.members
    found = [fault(given, index, members) for index, given in enumerate(days.faults)]
    if days.rolling:
        order = range(0, members, days.rolling.each)
        found += [
            Fault(
                days.rolling.at + place * days.rolling.apart,
                "restart",
                tuple(range(first, min(first + days.rolling.each, members))),
                span=days.rolling.down,
            )
            for place, first in enumerate(order)
        ]
    if days.drawn:
        found += faults.draw(seed, members, days.seconds, days.drawn).faults
    ordered = tuple(sorted(found, key=lambda one: one.at))
    return Schedule(members, days.seconds, ordered, seed, days.fleet.seeds, days.fleet.refusing)


def play(given: Schedule) -> dict[str, Any]:
    """One day, in whichever process."""
    found = Fleet(given).play()
    return {
        "seed": given.seed,
        "broken": [str(breach) for breach in found["breaches"]],
        "dead_s": round(found["slowest"].get("dead", 0.0), 2),
        "checked": found["checked"],
        "bytes_s": round(found["bytes_each"]),
        "datagrams_s": round(found["datagrams_each"], 1),
        "events": found["events"],
    }


def least(given: Schedule) -> Schedule:
    """The smallest schedule that still breaks something."""
    return faults.shrink(given, lambda one: bool(broken(one)))[0]


def run(days: Days, out: Path, jobs: int, tell: Callable[[int, int], None]) -> list[dict[str, Any]]:
    """All days; of each that breaks a property the schedule and the least of it are kept in `out`."""
    todo = [schedule(days, seed) for seed in range(1, days.seeds + 1)]
    rows = []
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(min(jobs, len(todo)), get_context("spawn")) as pool:
        for number, (one, row) in enumerate(zip(todo, pool.map(play, todo)), 1):
            rows.append(row)
            tell(number, len(todo))
            if row["broken"]:
                (out / f"seed-{one.seed}.json").write_text(faults.text(one) + "\n")
        failed = [one for one, row in zip(todo, rows) if row["broken"]][:4]
        for one, small in zip(failed, pool.map(least, failed)):
            (out / f"seed-{one.seed}-least.json").write_text(faults.text(small) + "\n")
    return rows


def on_cores(jobs: int | None) -> int:
    return jobs or len(os.sched_getaffinity(0))
