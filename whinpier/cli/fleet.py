"""`whinpier fleet`: asks a running process what it knows of the others, by its control socket."""

from __future__ import annotations

import getpass
import json
import re
import socket
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

from whinpier.cli.tables import FILE, fail, show
from whinpier.config.model import ConfigFault

WAIT = 5.0  # seconds for an answer
SHOWN = ("name", "state", "since", "by", "why", "address", "zone", "way", "heard", "disputed by")


@click.group()
def fleet() -> None:
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
    control: str = getattr(spec.fleet, "control", "")
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
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print it as JSON."),
        click.option(
            "--operator",
            type=FILE,
            envvar="BALANCER_OPERATOR",
            help="The process's operator's file; its bank.control is asked.",
        ),
        click.option("--socket", "path", type=FILE, help="The control socket itself."),
    ):
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


@fleet.command()
@options
def members(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Who is here, suspect, lost or leaving, since when, by whose word; this one's own position."""
    if (found := asked("members", path, operator, as_json)) is None:
        return
    click.echo(
        f"{found['self']}: {found['position']}; {found['here']} here, {found['unheard']} unheard"
    )
    for name, one in found["shares"].items():
        click.echo(f"pool {name}: {one['balancers']} balancers, this one is number {one['number']}")
    rows = [
        row
        | {
            "since": ago(row["since_ms"]),
            "heard": ago(row["heard_ms"]),
            "disputed by": ", ".join(row["disputed_by"]),
        }
        for row in found["members"]
    ]
    show([{key: row[key] for key in SHOWN} for row in rows], "members")


@fleet.command()
@options
def links(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """How this process reaches each of the others: itself, by way of another, or not."""
    if (found := asked("links", path, operator, as_json)) is None:
        return
    rows = [
        row | {"heard": ago(row["heard_ms"]), "disputed by": ", ".join(row["disputed_by"])}
        for row in found
    ]
    shown = ("to", "state", "way", "heard", "address", "disputed by")
    show([{key: row[key] for key in shown} for row in rows], "links")


@fleet.command()
@options
def figures(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What it has sent, received, refused and seen since its start."""
    if (found := asked("figures", path, operator, as_json)) is None:
        return
    show([{"figure": name, "count": count} for name, count in sorted(found.items())], "figures")


@fleet.group(invoke_without_command=True)
@options
@click.pass_context
def limits(context: click.Context, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What this process holds, uses, has lent and borrowed of each limit of the whole fleet."""
    if context.invoked_subcommand is None:
        show_limits(path, operator, as_json)


def show_limits(path: Path | None, operator: Path | None, as_json: bool) -> None:
    if (found := asked("limits", path, operator, as_json)) is None:
        return
    shown = (
        "limit",
        "of",
        "kind",
        "promise",
        "amount",
        "home",
        "mine",
        "need",
        "used",
        "passed",
        "turned_back",
        "agreed",
    )
    show(
        [{key: row.get(key) for key in shown} for row in found],
        "limits; of a rate in thousandths of a task a second",
        2,
    )


@limits.command("show")
@options
def limits_show(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """The same."""
    show_limits(path, operator, as_json)


@limits.command("explain")
@click.argument("file", type=FILE)
@click.option(
    "--members",
    default=10,
    show_default=True,
    type=click.IntRange(1, 4096),
    help="How many share what is nearly kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
def limits_explain(file: Path, members: int, as_json: bool) -> None:
    """Say what each limit of FILE promises, in figures, without starting anything."""
    from whinpier.config import operator as files
    from whinpier.fleet.limit_bounds import explained

    try:
        spec = files.read(str(file))
    except ConfigFault as fault:
        fail(str(fault))
    found = [explained(said, members) for said in getattr(spec.fleet, "limits", ())]
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    for one in found or [{"limit": "none"}]:
        click.echo(f"{one['limit']}:")
        for key, value in list(one.items())[1:]:
            click.echo(f"  {key}: {value}")


SPAN = re.compile(r"([0-9]{1,6})(s|m|h)\Z")


def span_of(context: Any, parameter: Any, text: str) -> int:
    """Milliseconds of `30s`, `10m`, `2h`."""
    found = SPAN.match(text)
    if not found:
        raise click.BadParameter(f"{text!r} is no span such as 30s, 10m or 2h")
    return int(found[1]) * {"s": 1_000, "m": 60_000, "h": 3_600_000}[found[2]]


def saying(command: Any) -> Any:
    """What each command has that says something to the whole fleet."""
    for option in (
        click.option(
            "--wait",
            default=5.0,
            show_default=True,
            type=click.FloatRange(0.0, 600.0),
            help="Seconds for all members to confirm.",
        ),
        click.option("--who", default=getpass.getuser, help="Who says so; the user's name."),
        click.option("--why", default="", help="Kept beside it."),
    ):
        command = option(command)
    return options(command)


def confirmed(
    call: Call, wait: float, done: Callable[[Any, Any], bool], found: Any, as_json: bool, what: str
) -> None:
    """Wait until all who are there hold what was said; 3 with those who did not say so."""
    ends = time.monotonic() + wait
    while True:
        left = [row["name"] for row in found["members"] if not done(found, row)]
        if not left or time.monotonic() > ends:
            break
        time.sleep(0.05)
        found = call.one("register")
    if as_json:
        click.echo(
            json.dumps({"said": what, "confirmed": not left, "not_confirmed": left}, indent=1)
        )
    elif not left:
        click.echo(f"{what}: confirmed by {len(found['members']) + 1} members")
    if left:
        fail(f"{what}: not confirmed within {wait:g} s by {', '.join(sorted(left))}", 3)


def holds(found: Any, row: Any) -> bool:
    return bool(row["holds"])


def goes_by(found: Any, row: Any) -> bool:
    return bool(row["holds"] and row["limits"] and found["agreed"])


@limits.command("set")
@click.argument("name")
@click.argument("amount", type=click.FloatRange(0.0, 1e9, min_open=True))
@click.option(
    "--for", "life", default="1h", show_default=True, callback=span_of, help="How long it holds."
)
@saying
def limits_set(
    name: str,
    amount: float,
    life: int,
    wait: float,
    who: str,
    why: str,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
) -> None:
    """Have the whole fleet go by another AMOUNT of limit NAME for a while; 3 where some did not
    confirm.
    """
    call = Call(socket_of(path, operator))
    value = {"amount": amount, "who": who} | ({"why": why} if why else {})
    found = call.one("say", name=f"limit/{name}", value=value, life_ms=life)
    confirmed(call, wait, goes_by, found, as_json, f"limit {name}: {amount:g}")


@limits.command("lift")
@click.argument("name")
@saying
def limits_lift(
    name: str,
    wait: float,
    who: str,
    why: str,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
) -> None:
    """Have the whole fleet go by the files' amount of limit NAME again."""
    call = Call(socket_of(path, operator))
    found = call.one("say", name=f"limit/{name}", life_ms=3_600_000)
    confirmed(call, wait, goes_by, found, as_json, f"limit {name}: lifted")


@limits.command("begin")
@click.argument("name")
@options
def limits_begin(name: str, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Say to one process that nothing was used of the window of count NAME that is on: its home counts."""
    found = Call(socket_of(path, operator)).one("begin", name=name)
    click.echo(json.dumps(found) if as_json else f"{name}: begun")


@fleet.group(invoke_without_command=True)
@options
@click.pass_context
def verdicts(
    context: click.Context, path: Path | None, operator: Path | None, as_json: bool
) -> None:
    """Which upstreams rest over the whole fleet, or are about to, as one process has it."""
    if context.invoked_subcommand is None:
        show_verdicts(path, operator, as_json)


def show_verdicts(path: Path | None, operator: Path | None, as_json: bool) -> None:
    if (found := asked("verdicts", path, operator, as_json)) is None:
        return
    show([row | {"left_ms": ago(row["left_ms"])} for row in found], "verdicts", 2)


@verdicts.command("show")
@options
def verdicts_show(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """The same."""
    show_verdicts(path, operator, as_json)


KINDS = click.Choice(("upstream", "tenant", "route"))


def key_of(kind: str, name: str) -> str:
    """The word for what is meant: POOL/UPSTREAM, a tenant, a route."""
    if kind == "upstream" and not all(name.partition("/")[::2]):
        fail(f"{name!r} is not POOL/UPSTREAM")
    return ("rest" if kind == "upstream" else kind) + "/" + name


@verdicts.command("set")
@click.argument("kind", type=KINDS)
@click.argument("name")
@click.option(
    "--for", "life", default="10m", show_default=True, callback=span_of, help="How long it holds."
)
@saying
def verdicts_set(
    kind: str,
    name: str,
    life: int,
    wait: float,
    who: str,
    why: str,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
) -> None:
    """Let an upstream (POOL/UPSTREAM) rest, or reject a tenant or route, at the whole fleet
    for a while.
    """
    call, key = Call(socket_of(path, operator)), key_of(kind, name)
    found = call.one(
        "say", name=key, value={"who": who} | ({"why": why} if why else {}), life_ms=life
    )
    if kind == "upstream":
        ends, resting = time.monotonic() + wait, False
        while not resting and time.monotonic() < ends:
            resting = any(
                f"{row['pool']}/{row['upstream']}" == name and row["state"] == "rests"
                for row in call.one("verdicts")
            )
            time.sleep(0.05)
        if not resting:
            fail(
                f"{name}: does not rest: no slot is free, or most members are not heard; it is tried again "
                "while the word holds",
                3,
            )
    confirmed(call, wait, holds, found, as_json, f"{kind} {name}")


@verdicts.command("lift")
@click.argument("kind", type=KINDS)
@click.argument("name")
@saying
def verdicts_lift(
    kind: str,
    name: str,
    wait: float,
    who: str,
    why: str,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
) -> None:
    """Take back what an operator said; what rests ends with its lease."""
    call = Call(socket_of(path, operator))
    found = call.one("say", name=key_of(kind, name), life_ms=3_600_000)
    confirmed(call, wait, holds, found, as_json, f"{kind} {name}: lifted")


@fleet.command()
@options
def said(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What operators have said to the whole fleet, till when, and which members hold it."""
    if (found := asked("register", path, operator, as_json)) is None:
        return
    show([row | {"left_ms": ago(row["left_ms"])} for row in found["words"]], "said")
    missing = [row["name"] for row in found["members"] if not row["holds"]]
    click.echo(f"not held by {', '.join(missing)}" if missing else "held by all who are there")


@fleet.command()
@click.argument("name")
@options
def strike(name: str, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Say that NAME, lost by silence, is dead: it is reckoned with no longer. Exits with 1 if it
    is none.
    """
    found = Call(socket_of(path, operator)).one("strike", name=name)
    click.echo(json.dumps(found) if as_json else f"{name}: struck, {found['struck']} of its runs")


@fleet.command()
@click.option("--most", type=click.IntRange(1), default=None, help="Lines after which it ends.")
@options
def watch(path: Path | None, operator: Path | None, as_json: bool, most: int | None) -> None:
    """Tell what happens as it happens, until it is interrupted."""
    for number, told in enumerate(Call(socket_of(path, operator), None).ask("watch"), 1):
        if as_json:
            click.echo(json.dumps(told))
        elif event := told.get("event"):
            rest = " ".join(
                f"{key}={value}" for key, value in event.items() if key not in ("event", "mono_ns")
            )
            click.echo(f"{event['mono_ns'] / 1e9:.3f} {event['event']} {rest}")
        elif "missed" in told:
            click.echo(f"missed {told['missed']} events: this reader was too slow")
        sys.stdout.flush()
        if most and number >= most:
            return
