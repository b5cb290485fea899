"""`whinpier bank`: asks a running process what it knows of the others, by its control socket."""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from whinpier.cli.shown import FILE, fail, show
from whinpier.spec import ConfigFault

WAIT = 5.0  # seconds for an answer
SHOWN = ("name", "state", "since", "by", "why", "address", "zone", "way", "heard", "disputed by")


@click.group()
def bank() -> None:
    """The processes that know each other."""


def socket_of(path: Path | None, operator: Path | None) -> str:
    """The control socket that is meant."""
    if path is not None:
        return str(path)
    if operator is None:
        fail("--socket or --operator says which process to ask")
    from whinpier.config import operator as files

    try:
        spec = files.read(str(operator))
    except ConfigFault as fault:
        fail(str(fault))
    control: str = getattr(spec.bank, "control", "")
    if not control:
        fail(f"{operator}: bank.control: is not set, so that nobody can ask")
    return control


class Call:
    """One connection to a process."""

    def __init__(self, path: str, wait: float | None = WAIT) -> None:
        self.path = path
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(wait)
        try:
            self.sock.connect(path)
        except OSError as fault:
            fail(f"{path}: {fault.strerror or fault}", 1)
        self.lines = self.sock.makefile("rb")

    def ask(self, what: str, **more: Any) -> Iterator[Any]:
        """All that is answered, for as long as it goes on."""
        try:
            self.sock.sendall(json.dumps({"ask": what, "id": 1} | more).encode() + b"\n")
            for line in self.lines:
                yield json.loads(line)
        except (OSError, ValueError) as fault:
            fail(f"{self.path}: {fault}", 1)

    def one(self, what: str, **more: Any) -> Any:
        for answer in self.ask(what, **more):
            if not answer["ok"]:
                fail(answer["fault"], 1)
            return answer["result"]
        fail(f"{self.path}: no answer", 1)


def options(command: Any) -> Any:
    """What each command has."""
    for option in (click.option("--json", "as_json", is_flag=True, help="Print it as JSON."),
                   click.option("--operator", type=FILE, envvar="BALANCER_OPERATOR",
                                help="The process's operator's file; its bank.control is asked."),
                   click.option("--socket", "path", type=FILE, help="The control socket itself.")):
        command = option(command)
    return command


def asked(what: str, path: Path | None, operator: Path | None, as_json: bool) -> Any:
    """What a process answers; None where it was printed as JSON already."""
    found = Call(socket_of(path, operator)).one(what)
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return None
    return found


def ago(span: int | None) -> str:
    """Milliseconds as people say it."""
    if span is None:
        return "never"
    if span >= 120_000:
        return f"{span // 60_000} min"
    return f"{span} ms" if span < 1_000 else f"{span / 1000:.1f} s"


@bank.command()
@options
def members(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Who is here, suspect, lost or leaving, since when, by whose word; this one's own position."""
    if (found := asked("members", path, operator, as_json)) is None:
        return
    click.echo(f"{found['self']}: {found['position']}; {found['here']} here, {found['unheard']} unheard")
    for name, one in found["shares"].items():
        click.echo(f"pool {name}: {one['balancers']} balancers, this one is number {one['number']}")
    rows = [row | {"since": ago(row["since_ms"]), "heard": ago(row["heard_ms"]),
                   "disputed by": ", ".join(row["disputed_by"])} for row in found["members"]]
    show([{key: row[key] for key in SHOWN} for row in rows], "members")


@bank.command()
@options
def links(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """How this process reaches each of the others: itself, by way of another, or not."""
    if (found := asked("links", path, operator, as_json)) is None:
        return
    rows = [row | {"heard": ago(row["heard_ms"]), "disputed by": ", ".join(row["disputed_by"])}
            for row in found]
    shown = ("to", "state", "way", "heard", "address", "disputed by")
    show([{key: row[key] for key in shown} for row in rows], "links")


@bank.command()
@options
def figures(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What it has sent, received, refused and seen since its start."""
    if (found := asked("figures", path, operator, as_json)) is None:
        return
    show([{"figure": name, "count": count} for name, count in sorted(found.items())], "figures")


@bank.command()
@options
def limits(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What this process holds, uses, has lent and borrowed of each limit of the whole bank."""
    if (found := asked("limits", path, operator, as_json)) is None:
        return
    show(found, "limits; of a rate in thousandths of a task a second")


@bank.command()
@click.argument("name")
@options
def strike(name: str, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Say that NAME, lost by silence, is dead: it is reckoned with no longer. Exits with 1 if it is none."""
    found = Call(socket_of(path, operator)).one("strike", name=name)
    click.echo(json.dumps(found) if as_json else f"{name}: struck, {found['struck']} of its runs")


@bank.command()
@click.option("--most", type=click.IntRange(1), default=None, help="Lines after which it ends.")
@options
def watch(path: Path | None, operator: Path | None, as_json: bool, most: int | None) -> None:
    """Tell what happens as it happens, until it is interrupted."""
    for number, told in enumerate(Call(socket_of(path, operator), None).ask("watch"), 1):
        if as_json:
            click.echo(json.dumps(told))
        elif event := told.get("event"):
            rest = " ".join(f"{key}={value}" for key, value in event.items()
                            if key not in ("event", "mono_ns"))
            click.echo(f"{event['mono_ns'] / 1e9:.3f} {event['event']} {rest}")
        elif "missed" in told:
            click.echo(f"missed {told['missed']} events: this reader was too slow")
        sys.stdout.flush()
        if most and number >= most:
            return
