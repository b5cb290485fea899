"""`whinpier lab`: runs experiments, keeps results, compares, replays, shrinks, reports."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, NoReturn

import click

from whinpier.cli.tables import FILE, FOLDER, fail, show
from whinpier.config.model import ConfigFault


@click.group()
def lab() -> None:
    """Experiments on a model of the fleet, or on sockets."""


def found(file: str) -> Path:
    """An experiment by its path, or by the name of one that comes with the project."""
    from whinpier.simulation.experiment import shipped

    path = Path(file)
    if path.exists():
        return path
    here = shipped()
    if file not in here:
        fail(f"{file}: is neither a file nor one of {', '.join(here)}")
    return here[file]


@lab.command(name="list")
@click.option("--json", "as_json", is_flag=True)
def list_(as_json: bool) -> None:
    """The experiments that come with the project."""
    from whinpier.simulation import fleet_scenarios
    from whinpier.simulation.experiment import read, shipped

    rows: list[dict[str, Any]] = []
    for name, path in shipped().items():
        if fleet_scenarios.is_one(path):
            days = fleet_scenarios.read(path)
            rows.append(
                {
                    "experiment": name,
                    "balancers": days.fleet.members,
                    "upstreams": None,
                    "seconds": days.seconds,
                    "about": days.about,
                }
            )
            continue
        _, experiment = read(path)
        rows.append(
            {
                "experiment": name,
                "balancers": experiment.upstream_fleet.balancers,
                "upstreams": sum(machine.count for machine in experiment.upstream_fleet.machines),
                "seconds": experiment.seconds,
                "about": experiment.about,
            }
        )
    if as_json:
        click.echo(json.dumps(rows, indent=1))
    else:
        show(rows, "experiments")


@lab.command()
@click.argument("file")
@click.option("--on", type=click.Choice(["model", "sockets"]), default="model", show_default=True)
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=None, help="Processes; as many as cores."
)
@click.option(
    "--out", type=FOLDER, default=None, help="Folder of results; taken up where it stopped."
)
@click.option(
    "--seeds", type=click.IntRange(1, 10_000), default=None, help="Instead of the file's."
)
@click.option("--json", "as_json", is_flag=True)
def run(
    file: str, on: str, jobs: int | None, out: Path | None, seeds: int | None, as_json: bool
) -> None:
    """Run the experiment FILE. Exits with 1 if a rule was broken or something did not hold."""
    from rich.progress import Progress

    from whinpier.simulation import fleet_scenarios
    from whinpier.simulation.experiment import checked, read
    from whinpier.simulation.report import groups, summary
    from whinpier.simulation.results import Results, run_all

    if fleet_scenarios.is_one(path := found(file)):
        if on == "sockets":
            fail(
                f"{file}: days of the bank are played in the model here; on processes by benchmarks.members"
            )
        run_fleet(path, jobs, out, seeds, as_json)
    try:
        given, experiment = read(path)
        if seeds:
            given["seeds"] = seeds
        checked(given)
        results = Results(out or Path("lab-results") / f"{experiment.name}-{on}")
        processes = 1 if on == "sockets" else jobs or os.cpu_count() or 1
        with Progress(disable=as_json) as progress:
            bar = progress.add_task(experiment.name, total=None)
            run_all(
                given,
                results,
                on,
                processes,
                lambda row, done, total: progress.update(bar, completed=done, total=total),
            )
        table = summary(groups(results.rows()))
    except ConfigFault as fault:
        fail(str(fault))
    if as_json:
        click.echo(json.dumps({"results": str(results.folder), "groups": table}, indent=1))
    else:
        show(table, f"{experiment.name} on {on}")
        click.echo(f"kept in {results.folder}; `whinpier lab report {results.folder}` draws it")
    raise SystemExit(1 if any(row["failed"] or row["void"] for row in table) else 0)


def run_fleet(
    path: Path, jobs: int | None, out: Path | None, seeds: int | None, as_json: bool
) -> NoReturn:
    """Days of the fleet; what broke is kept with the least that still breaks it."""
    import msgspec
    from rich.progress import Progress

    from whinpier.simulation import fleet_scenarios

    try:
        days = fleet_scenarios.read(path)
    except ConfigFault as fault:
        fail(str(fault))
    days = msgspec.structs.replace(days, seeds=seeds) if seeds else days
    folder = out or Path("lab-results") / f"bank-{days.name}"
    with Progress(disable=as_json) as progress:
        bar = progress.add_task(days.name, total=None)
        rows = fleet_scenarios.run(
            days,
            folder,
            fleet_scenarios.on_cores(jobs),
            lambda done, total: progress.update(bar, completed=done, total=total),
        )
    broken = [row for row in rows if row["broken"]]
    if as_json:
        click.echo(json.dumps({"days": rows, "broken": len(broken), "kept": str(folder)}, indent=1))
    else:
        show(
            [
                {
                    "seed": row["seed"],
                    "broken": len(row["broken"]),
                    "dead within": f"{row['dead_s']} s",
                    "bytes a second": row["bytes_s"],
                    "datagrams a second": row["datagrams_s"],
                    "first": (row["broken"] or [""])[0],
                }
                for row in rows
            ],
            f"{days.name}, {days.fleet.members} members",
        )
        if broken:
            click.echo(
                f"{len(broken)} of {len(rows)} days broke a property; their schedules are in {folder}"
            )
    raise SystemExit(1 if broken else 0)


def values(texts: tuple[str, ...]) -> dict[str, Any]:
    """PATH=VALUE as they are varied in an experiment; the value as JSON, or as text."""
    chosen: dict[str, Any] = {}
    for text in texts:
        path, mark, value = text.partition("=")
        if not mark:
            fail(f"{text!r} is not PATH=VALUE")
        try:
            chosen[path] = json.loads(value)
        except ValueError:
            chosen[path] = value
    return chosen


@lab.command()
@click.argument("a", type=FOLDER)
@click.argument("b", type=FOLDER)
@click.option("--a", "only_a", multiple=True, metavar="PATH=VALUE", help="Only these runs of A.")
@click.option("--b", "only_b", multiple=True, metavar="PATH=VALUE", help="Only these runs of B.")
@click.option("--json", "as_json", is_flag=True)
def compare(
    a: Path, b: Path, only_a: tuple[str, ...], only_b: tuple[str, ...], as_json: bool
) -> None:
    """B less A, over pairs of runs with the same values and seed, with 95% intervals."""
    from whinpier.simulation.results import Results, matching
    from whinpier.simulation.results import compare as compared

    first, second = values(only_a), values(only_b)
    try:
        differences = compared(
            matching(Results(a).rows(), first),
            matching(Results(b).rows(), second),
            {*first, *second},
        )
    except ConfigFault as fault:
        fail(str(fault))
    rows = [
        {
            "figure": one.figure,
            "pairs": one.pairs,
            "A": round(one.mean_a, 4),
            "B": round(one.mean_b, 4),
            "B less A": round(one.mean, 5),
            "from": round(one.low, 5),
            "to": round(one.high, 5),
            "B is": one.told,
        }
        for one in differences
    ]
    if as_json:
        click.echo(json.dumps(rows, indent=1))
    else:
        show(rows, f"A {a}, B {b}")


@lab.command()
@click.argument("results", type=FOLDER)
@click.option("--seed", type=int, required=True)
@click.option("--values", "chosen", multiple=True, metavar="PATH=VALUE")
def replay(results: Path, seed: int, chosen: tuple[str, ...]) -> None:
    """Play one kept run of RESULTS again; exits with 1 if it does not come out the same."""
    from whinpier.simulation.results import Results, play

    kept = Results(results)
    try:
        rows = [
            row for row in kept.rows() if row["seed"] == seed and row["values"] == values(chosen)
        ]
        if not rows:
            fail(f"{results}: no run with seed {seed} and these values")
        again = play(kept.experiment(rows[0]["values"], seed), rows[0]["on"])
    except ConfigFault as fault:
        fail(str(fault))
    same = again["digest"] == rows[0]["digest"]
    click.echo(
        f"seed {seed}: on time {again['on_time']:.4f}, kept {rows[0]['on_time']:.4f}; "
        f"{'the same, byte for byte' if same else 'NOT the same'}"
    )
    for one in again["told"]:
        click.echo(f"  {one['at']:.3f} s: {one['rule']}: {one['what']}")
    raise SystemExit(0 if same else 1)


@lab.command()
@click.argument("results", type=FOLDER)
@click.option("--seed", type=int, required=True)
@click.option("--values", "chosen", multiple=True, metavar="PATH=VALUE")
@click.option("--out", type=FILE, default=None, help="Where the smallest experiment goes.")
def shrink(results: Path, seed: int, chosen: tuple[str, ...], out: Path | None) -> None:
    """Reduce a failing run of RESULTS to the smallest that still fails the same way."""
    from whinpier.simulation.experiment import encoded
    from whinpier.simulation.minimize import shrink as smallest
    from whinpier.simulation.minimize import toml
    from whinpier.simulation.results import Results

    try:
        run = Results(results).experiment(values(chosen), seed)
        given, rule, tried = smallest(encoded(run.experiment), seed, click.echo)
    except ConfigFault as fault:
        fail(str(fault), 1)
    text = f"# Breaks: {rule}. Seed {seed}. Found in {tried} runs.\n{toml(given)}"
    if out:
        out.write_text(text)
    click.echo(text if not out else f"written to {out}: breaks {rule}")


@lab.command()
@click.argument("results", type=FOLDER)
@click.option("--out", type=FOLDER, default=None)
@click.option("--values", "chosen", multiple=True, metavar="PATH=VALUE", help="Only these runs.")
@click.option("--json", "as_json", is_flag=True)
def report(results: Path, out: Path | None, chosen: tuple[str, ...], as_json: bool) -> None:
    """Draw RESULTS: one HTML file, a PNG for each plot, a table as JSON."""
    from whinpier.simulation.report import groups, summary, write
    from whinpier.simulation.results import Results, matching

    kept = Results(results)
    try:
        if as_json:
            kept.header()
            rows = matching(kept.rows(), values(chosen))
            click.echo(json.dumps(summary(groups(rows)), indent=1))
            return
        click.echo(str(write(kept, out or results / "report", values(chosen))))
    except ConfigFault as fault:
        fail(str(fault))
    except ImportError as missing:
        fail(f"the lab's needs are not installed (requirements-dev.txt): {missing}", 1)
