"""Kept results: a folder with the experiment as it was and one line for each run; resumed, read,
compared.

A run's line is written whole and flushed before the next begins, so that an interruption costs only
what was being played. Must never mix the runs of two experiments in one folder.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

from whinpier.config.model import ConfigFault
from whinpier.simulation.experiment import Run, runs

AHEAD = 2  # runs handed to each process ahead of time: a grid of thousands is not held in memory
RESAMPLES = 2_000  # for confidence intervals: steady to a tenth of their width

Row = dict[str, Any]


def play(run: Run, on: str) -> Row:
    """One run, in whichever process."""
    if on == "sockets":
        from whinpier.simulation.sockets import play as on_sockets

        found = on_sockets(run.experiment, run.seed)
    else:
        from whinpier.simulation.world import World

        found = World(run.experiment, run.seed).play()
    return found | {"key": run.key, "values": run.values, "on": on}


class Results:
    """One folder of results."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.header_file, self.file = (
            folder,
            folder / "header.json",
            folder / "runs.jsonl",
        )

    def begin(self, given: dict[str, Any], on: str) -> None:
        """Take up the folder for an experiment; one that holds another is a fault."""
        mark = hashlib.blake2b(
            json.dumps([given, on], sort_keys=True).encode(), digest_size=8
        ).hexdigest()
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.header_file.exists():
            if self.header()["mark"] != mark:
                raise ConfigFault(f"{self.folder}: holds the results of another experiment")
            self.mend()
            return
        whole = {"format": 1, "mark": mark, "on": on, "experiment": given}
        other = self.header_file.with_suffix(".new")
        other.write_text(json.dumps(whole, indent=1) + "\n")
        other.replace(self.header_file)

    def mend(self) -> None:
        """Guards against a line that an interruption cut short."""
        if self.file.exists():
            data = self.file.read_bytes()
            if data and not data.endswith(b"\n"):
                self.file.write_bytes(data[: data.rfind(b"\n") + 1])

    def header(self) -> dict[str, Any]:
        try:
            found: dict[str, Any] = json.loads(self.header_file.read_text())
        except (OSError, ValueError) as fault:
            raise ConfigFault(f"{self.folder}: no results are kept there: {fault}") from None
        if found.get("format") != 1:
            raise ConfigFault(f"{self.header_file}: format {found.get('format')!r}, and 1 is known")
        return found

    def rows(self) -> Iterator[Row]:
        """The runs that are kept, one at a time."""
        if not self.file.exists():
            return
        with self.file.open() as lines:
            for number, line in enumerate(lines, 1):
                try:
                    yield json.loads(line)
                except ValueError:
                    raise ConfigFault(f"{self.file}:{number}: is cut short or damaged") from None

    def add(self, row: Row) -> None:
        with self.file.open("a") as lines:
            lines.write(json.dumps(row, separators=(",", ":")) + "\n")
            lines.flush()
            os.fsync(lines.fileno())

    def experiment(self, values: dict[str, Any], seed: int) -> Run:
        """A run of this experiment again."""
        for run in runs(self.header()["experiment"] | {"seeds": 1}, seed):
            if run.values == values:
                return run
        raise ConfigFault(f"{self.folder}: no run with {values}")


def run_all(
    given: dict[str, Any],
    results: Results,
    on: str,
    jobs: int,
    tell: Callable[[Row, int, int], None],
) -> list[Row]:
    """Play what is not there yet, with so many processes; the rows that were played, as they came."""
    results.begin(given, on)
    there = {row["key"] for row in results.rows()}
    todo = [run for run in runs(given) if run.key not in there]
    total, played = len(todo) + len(there), list[Row]()

    def keep(row: Row) -> None:
        results.add(row)
        played.append(row)
        tell(row, len(there) + len(played), total)

    if jobs <= 1 or len(todo) <= 1:
        for run in todo:
            keep(play(run, on))
        return played
    # Spawned, not forked: each starts from nothing, as a run by itself does.
    with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        left, out = iter(todo), set[Future[Row]]()
        while True:
            for run in left:
                out.add(pool.submit(play, run, on))
                if len(out) >= jobs * AHEAD:
                    break
            if not out:
                return played
            done, out = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                keep(future.result())


@dataclass(frozen=True)
class Difference:
    """B less A over pairs of runs with the same seed, with the interval that holds it 95 times in 100."""

    figure: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    low: float
    high: float

    @property
    def told(self) -> str:
        if self.low > 0.0:
            return "higher"
        return "lower" if self.high < 0.0 else "no difference shown"


FIGURES: dict[str, Callable[[Row], float]] = {
    "on_time": lambda row: float(row["on_time"]),
    "payoff": lambda row: float(row["payoff"]),
    "p50_ms": lambda row: max(stream["p50"] for stream in row["streams"].values()),
    "p99_ms": lambda row: max(stream["p99"] for stream in row["streams"].values()),
    "turned_back": lambda row: sum(row["by_second"]["turned_back"]) / max(1, row["asked"]),
    "breaches": lambda row: float(sum(row["breaches"].values())),
}


def matching(rows: Iterable[Row], chosen: dict[str, Any]) -> Iterator[Row]:
    """The rows whose values are these, one at a time."""
    return (
        row
        for row in rows
        if all(row["values"].get(path) == value for path, value in chosen.items())
    )


def compare(
    first: Iterable[Row], second: Iterable[Row], apart: Iterable[str] = ()
) -> list[Difference]:
    """Pairs of runs with the same values (but for those of `apart`) and seed, figure by figure."""

    def sorted_out(rows: Iterable[Row]) -> dict[str, Row]:
        return {
            json.dumps(
                [
                    {path: value for path, value in row["values"].items() if path not in apart},
                    row["seed"],
                ],
                sort_keys=True,
            ): row
            for row in rows
        }

    left, right = sorted_out(first), sorted_out(second)
    both = sorted(left.keys() & right.keys())
    if not both:
        raise ConfigFault("compare: no two runs have the same values and seed")
    found = []
    for name, figure in FIGURES.items():
        ours, theirs = [figure(left[key]) for key in both], [figure(right[key]) for key in both]
        pairs = [b - a for a, b in zip(ours, theirs)]
        low, high = interval(pairs)
        count = len(pairs)
        found.append(
            Difference(
                name, count, sum(ours) / count, sum(theirs) / count, sum(pairs) / count, low, high
            )
        )
    return found


def interval(values: list[float]) -> tuple[float, float]:
    """The middle 95% of means of samples drawn again from these (percentile bootstrap); seeded."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    chance, count = Random(1), len(values)
    means = sorted(sum(chance.choices(values, k=count)) / count for _ in range(RESAMPLES))
    return means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES) - 1]
