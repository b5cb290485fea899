"""`whinpier`: starts a balancer, checks an operator's file, explains its routes, plays a
demonstration.

Exit codes: 0 done, 1 not done, 2 misuse or a faulty configuration, 3 done in part. A fault is one
line on standard error, without a traceback.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from whinpier.cli import rollouts
from whinpier.cli.fleet import fleet
from whinpier.cli.radius import radius
from whinpier.cli.simulation import lab
from whinpier.cli.tables import FILE, fail, show
from whinpier.config.model import ConfigFault, Spec

MS = 1_000_000  # nanoseconds


def read(file: Path) -> Spec:
    """An operator's file, or the end of the command with its fault."""
    from whinpier.config import operator

    try:
        return operator.read(str(file))
    except ConfigFault as fault:
        fail(str(fault))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="whinpier", message="%(prog)s %(version)s")
def cli() -> None:
    """A load balancer that splits requests by the min-max policy."""


@cli.command()
@click.option("--operator", type=FILE, help="An operator's file, with pools and routes.")
@click.option("--config", type=FILE, help="The platform's configuration, as JSON.")
def run(operator: Path | None, config: Path | None) -> None:
    """Run one balancer, until SIGTERM. SIGHUP has it read its file again."""
    if operator and config:
        fail("either --operator or --config, not both")
    if operator:
        os.environ["BALANCER_OPERATOR"] = str(operator)
    elif config:
        os.environ.pop("BALANCER_OPERATOR", None)
        os.environ["BALANCER_CONFIG"] = str(config)
    elif not os.environ.get("BALANCER_OPERATOR") and not os.environ.get("BALANCER_CONFIG"):
        fail("--operator or --config says what to run")
    from whinpier.__main__ import main as start

    sys.exit(start())


@cli.group()
def config() -> None:
    """Check a configuration and ask what it means."""


@config.command()
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
def platform(file: Path, as_json: bool) -> None:
    """Check FILE, the platform's JSON, as a balancer reads it at its start and at SIGHUP."""
    from whinpier.config import platform as settings

    try:
        spec = settings.read(os.environ | {"BALANCER_CONFIG": str(file)})
    except ConfigFault as fault:
        fail(str(fault))
    request_classes = [
        request_class.name for pool in spec.pools.values() for request_class in pool.request_classes
    ]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "file": str(file),
                    "name": spec.name,
                    "workloads": request_classes,
                    "not_honoured": spec.not_honoured,
                },
                indent=1,
            )
        )
        return
    click.echo(f"{file}: good; {len(request_classes)} workloads")
    for key in spec.not_honoured:
        click.echo(f"{key}: not honoured, the protocol has no way for it")


@config.command()
@click.argument("file", type=FILE)
@click.option("--routes", is_flag=True, help="Print the table of routes, the most specific first.")
@click.option("--json", "as_json", is_flag=True, help="Print all of it as JSON.")
def check(file: Path, routes: bool, as_json: bool) -> None:
    """Check FILE as a whole, without starting anything."""
    spec = read(file)
    pools, table = described_pools(spec), described_routes(spec)
    if as_json:
        whole = {"file": str(file), "name": spec.name, "pools": pools, "routes": table}
        click.echo(json.dumps(whole, indent=1))
        return
    click.echo(
        f"{file}: good; {len(pools)} pools, {len(table)} routes, {len(spec.listen)} listeners"
    )
    show(pools, "pools")
    if routes:
        show(table, "routes, the most specific first")


@config.command()
@click.argument("file", type=FILE)
@click.option("--host", default="", help="The host that is asked for.")
@click.option("--path", required=True, help="The path, with or without a query.")
@click.option("--method", default="GET", show_default=True)
@click.option("--header", "-H", "headers", multiple=True, metavar="NAME:VALUE")
@click.option("--json", "as_json", is_flag=True)
def route(
    file: Path, host: str, path: str, method: str, headers: tuple[str, ...], as_json: bool
) -> None:
    """Say which route of FILE takes a request, and why. Exits with 1 where none does."""
    from whinpier.routing import normalization
    from whinpier.routing.table import NoRoute, RouteQuery

    spec, given = read(file), {}
    for header in headers:
        name, mark, value = header.partition(":")
        if not mark or not name.strip():
            fail(f"--header {header!r} is not NAME:VALUE")
        given[name.strip().lower()] = value.strip()
    assert spec.table
    try:
        # No host at all is none that a route could name.
        asked = RouteQuery(
            method.upper(),
            normalization.normalize_host(host or "none.invalid"),
            normalization.normalize_path(path.partition("?")[0]),
            given,
            given.get("x-lane", ""),
        )
    except normalization.AmbiguousNameError as unclear:
        fail(f"refused with 400: can be read two ways: {unclear}", 1)
    found = spec.table.find(asked)
    tried = [
        {"route": one.name, "why": missing and f"{missing} does not fit" or "all conditions hold"}
        for one, missing in spec.table.explain(asked)
    ]
    if isinstance(found, NoRoute):
        status = 405 if found.methods else 404
        answer: dict[str, Any] = {
            "route": None,
            "status": status,
            "reason": found.reason,
            "tried": tried,
        }
    else:
        to = found.to
        answer = {
            "route": found.name,
            "pool": to.pool,
            "workload": to.request_class or "as X-Lane names it",
            "host": found.host or "any",
            "path": found.path + ("/..." if found.prefix else ""),
            "tried": tried,
        }
    if as_json:
        click.echo(json.dumps(answer, indent=1))
    elif isinstance(found, NoRoute):
        click.echo(f"no route: answered {answer['status']}, {found.reason} not known")
    else:
        click.echo(f"{found.name}: pool {answer['pool']}, workload {answer['workload']}")
    if not as_json:
        for one in tried:
            click.echo(f"  {one['route']}: {one['why']}")
    sys.exit(1 if isinstance(found, NoRoute) else 0)


@config.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--json", "as_json", is_flag=True)
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Say what a reload from OLD to NEW changes, and what waits for a restart."""
    from whinpier.config import operator

    before, after = read(old), read(new)
    changed, kept = operator.differences(before, after), list(operator.changes(before, after))
    if as_json:
        click.echo(json.dumps({"changed": changed, "kept_till_restart": kept}, indent=1))
        return
    for line in changed or ["nothing changes"]:
        click.echo(line)
    for key in kept:
        click.echo(f"{key}: waits for a restart")


@cli.command()
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(2.0, 600.0))
@click.option(
    "--rate",
    default=150.0,
    show_default=True,
    type=click.FloatRange(1.0, 1000.0),
    help="Tasks a second of each pool.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--bank",
    "fleet",
    is_flag=True,
    help="Several processes that know each other, drained and released.",
)
@click.option(
    "--members", default=5, show_default=True, type=click.IntRange(3, 20), help="Of the fleet."
)
@click.option(
    "--stay",
    default=0.0,
    type=click.FloatRange(0.0, 3600.0),
    help="Seconds that the fleet is left running, for trying the commands on it.",
)
@click.option("--json", "as_json", is_flag=True)
def demo(
    seconds: float, rate: float, seed: int, fleet: bool, members: int, stay: float, as_json: bool
) -> None:
    """Play three pools under load on this machine, and stop an upstream in the middle."""
    from whinpier.cli.demo import play, tell

    if fleet:
        from whinpier.cli import fleet_demo

        try:
            story = fleet_demo.play(members, 20.0, stay, lambda line: click.echo(line, err=as_json))
        except (OSError, RuntimeError, TimeoutError) as fault:
            fail(f"the demonstration did not run: {fault}", 1)
        click.echo(
            json.dumps(story, indent=1)
            if as_json
            else "; ".join(
                f"{key.replace('_', ' ')}: {value}"
                for key, value in story.items()
                if key != "exits"
            )
        )
        sys.exit(0 if story["good"] else 1)
    try:
        found = play(seconds, rate, seed)
    except (OSError, RuntimeError) as fault:
        fail(f"the demonstration did not run: {fault}", 1)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        tell(found)
    sys.exit(0 if found["good"] else 1)


def described_pools(spec: Spec) -> list[dict[str, Any]]:
    return [
        {
            "pool": pool.name,
            "guaranteed": round(pool.limits.guaranteed, 3),
            "list": "%s:%d" % pool.discovery if pool.discovery else f"{len(pool.known)} upstreams",
            "workloads": ", ".join(
                f"{one.name} ({one.kind}, {one.latency_objective // MS} of {one.timeout // MS} ms)"
                for one in pool.request_classes
            ),
            "tasks": pool.limits.requests,
            "connections": pool.limits.connections,
        }
        for pool in spec.pools.values()
    ]


def described_routes(spec: Spec) -> list[dict[str, Any]]:
    assert spec.table
    return [
        {
            "route": one.name,
            "host": one.host or "any",
            "path": one.path.rstrip("/") + "/..." if one.prefix else one.path,
            "methods": ",".join(sorted(one.methods)) or "as the workload has",
            "conditions": ", ".join(
                [f"{name}: {value}" for name, value in one.headers.items()]
                + [f"x-lane: {one.request_class}"] * bool(one.request_class)
            ),
            "pool": one.to.pool,
            "workload": one.to.request_class or "as X-Lane names it",
            "patience_ms": one.to.timeout // MS or None,
        }
        for one in sorted(spec.table.routes, key=lambda one: one.rank())
    ]


def main() -> None:
    cli(prog_name="whinpier")


rollouts.add_to(fleet)
cli.add_command(fleet)
cli.add_command(fleet, "bank")  # the name that operators' scripts know
cli.add_command(lab)
cli.add_command(radius)
