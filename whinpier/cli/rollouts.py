"""`whinpier fleet drain|undrain|release|halt|resume|undo|status|...`: what operators say to the
fleet's record.

Each command has an id, by which it counts once, and states the revision that it rests on. Must
never call done what the record does not: 0 done, 1 refused, 3 done in part, with the names of those
that are left.
"""

from __future__ import annotations

import difflib
import getpass
import json
import time
from pathlib import Path
from random import SystemRandom
from typing import Any

import click

from whinpier.cli.fleet import Call, options, socket_of, span_of
from whinpier.cli.tables import FILE, fail, show

APART = 0.05  # seconds between looks
SETTLED = ("released", "undone")


def commanding(command: Any) -> Any:
    """What each command has that changes what is agreed."""
    for option in (
        click.option(
            "--wait",
            default=30.0,
            show_default=True,
            type=click.FloatRange(0.0, 3600.0),
            help="Seconds for it to be done; it goes on after that.",
        ),
        click.option("--who", default=getpass.getuser, help="Who says so; the user's name."),
        click.option("--why", default="", help="Kept beside it."),
        click.option(
            "--based-on",
            "based",
            type=int,
            default=None,
            help="The revision that it rests on; the one that is agreed now.",
        ),
        click.option(
            "--id",
            "identity",
            type=click.IntRange(1, 2**62 - 1),
            default=None,
            help="Say again what was said by this id.",
        ),
        click.option("--dry-run", "dry", is_flag=True, help="Say what it would come to."),
    ):
        command = option(command)
    return options(command)


class Saying:
    """One command, from its socket to its end."""

    def __init__(
        self, path: Path | None, operator: Path | None, as_json: bool, wait: float
    ) -> None:
        self.call, self.as_json = Call(socket_of(path, operator)), as_json
        self.ends = time.monotonic() + wait

    def over(self) -> bool:
        return time.monotonic() > self.ends

    def current(self) -> int:
        """The revision that is agreed by now, proved by most voters."""
        nonce, ends = (
            str(SystemRandom().getrandbits(60) | 1),
            time.monotonic() + max(2.0, min(10.0, self.ends - time.monotonic())),
        )
        while time.monotonic() < ends:
            found = self.call.one("read", name=nonce)
            if found["read"]:
                return int(found["revision"])
            time.sleep(APART)
        fail(
            "most voters are not heard from here: what is agreed now is not known, nothing can be said",
            1,
        )

    def say(self, what: str, common: dict[str, Any], **value: Any) -> dict[str, Any]:
        """Bring it into the record; exits with 1 where it is refused, 3 where nobody took it in time.

        `common` are the options that each command has.
        """
        dry, who, why = common["dry"], common["who"], common["why"]
        based, identity = common["based"], common["identity"]
        if based is None:
            based = -1 if identity else self.current()
        identity = identity or SystemRandom().getrandbits(61) | 1
        given = {
            "id": identity,
            "who": who,
            "why": why,
            "wall": int(time.time() * 1000),
            "based": based,
        } | value
        if dry:
            found = self.call.one("command", name=what, value=given | {"dry": 1})
            self.show({"dry_run": True, "good": found["good"], "text": found["text"]})
            raise SystemExit(0 if found["good"] else 1)
        self.call.one("command", name=what, value=given)
        while True:
            found = self.call.one("outcome", name=str(identity))
            if found["known"]:
                break
            if self.over():
                fail(
                    f"{what}: not agreed in time; it may still be: ask again with --id {identity}",
                    3,
                )
            time.sleep(APART)
        if not found["good"]:
            fail(f"{what}: {found['text']}", 1)
        return dict(found) | {"id": identity}

    def show(self, found: dict[str, Any]) -> None:
        if self.as_json:
            click.echo(json.dumps(found, indent=1))
        else:
            click.echo(
                "; ".join(
                    f"{key.replace('_', ' ')}: {value}"
                    for key, value in found.items()
                    if value not in ("", None, [], {})
                )
            )

    def drained(self, name: str, gone: bool) -> None:
        """Wait until a drain is done, or over; 3 with who is left."""
        while True:
            row = next(
                (one for one in self.call.one("status")["drains"] if one["name"] == name), None
            )
            if row is None or row["state"] == "done" and not gone:
                break
            if self.over():
                self.show({"name": name, "state": row["state"], "left": row["left"]})
                fail(f"{name}: {row['state']}, not done; left: {row['left'] or 'not known yet'}", 3)
            time.sleep(APART)
        state = "serves" if row is None else row["state"]
        self.show({"name": name, "state": state})
        if row is None and not gone:
            fail(f"{name}: was undrained meanwhile", 3)

    def released(self, number: int, wanted: str) -> None:
        """Wait until a release is through; 3 where it came to another end, or some did not take it."""
        told = ""
        while True:
            found = self.call.one("status")
            row = next(
                (
                    one
                    for one in [found["release"], *reversed(found["closed"])]
                    if one and one["number"] == number
                ),
                None,
            )
            if row is None:
                fail(f"release {number} is not known any more; see history", 3)
            progress = f"{row['phase']}, wave {row['wave']} of {len(row['waves'])}, {len(row['runs'])} run it"
            if progress != told and not self.as_json:
                click.echo(progress, err=True)
            told = progress
            if row["phase"] in SETTLED or row["phase"] == "halted":
                break
            if self.over():
                fail(f"release {number}: {progress}; it goes on: whinpier bank wait", 3)
            time.sleep(APART)
        self.show({key: row[key] for key in ("number", "phase", "reason", "runs", "failed")})
        if row["phase"] != wanted or row["failed"]:
            names = ", ".join(f"{name} {why}" for name, why in sorted(row["failed"].items()))
            fail(f"release {number}: {row['phase']}: {row['reason'] or names}", 3)


def parted(name: str, kind: str) -> dict[str, str]:
    """A balancer's name, or POOL/UPSTREAM."""
    if kind == "balancer":
        return {"name": name}
    pool, _, host = name.partition("/")
    if not pool or not host:
        fail(f"{name!r} is not POOL/UPSTREAM")
    return {"name": host, "pool": pool}


KIND = click.Choice(("balancer", "upstream"))


@click.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@commanding
def drain(
    kind: str,
    name: str,
    wait: float,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
    **more: Any,
) -> None:
    """Let a balancer, or an upstream (POOL/UPSTREAM) at all balancers, get nothing new.

    It is done once nothing is out there any more.
    """
    saying = Saying(path, operator, as_json, wait)
    saying.say("drain", more, **parted(name, kind))
    saying.drained(name, False)


@click.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@commanding
def undrain(
    kind: str,
    name: str,
    wait: float,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
    **more: Any,
) -> None:
    """Have it serve again, at any moment; done once it is back."""
    saying = Saying(path, operator, as_json, wait)
    saying.say("undrain", more, **parted(name, kind))
    saying.drained(name, True)


@click.command()
@click.argument("file", type=FILE, required=False)
@click.option(
    "--build", default="", help="Instead of a file: the build that each is to restart into."
)
@click.option(
    "--to", "selector", default="all", show_default=True, help="all, zone=ZONE, or names: m1,m2."
)
@click.option(
    "--waves", default="1,25%", show_default=True, help="Sizes of waves; the rest is the last."
)
@click.option(
    "--window", default="3s", show_default=True, callback=span_of, help="Measured after each wave."
)
@click.option(
    "--on-time", "on_time", default=0.05, show_default=True, help="How much less may be on time."
)
@click.option("--errors", default=0.02, show_default=True, help="How much more may be scrapped.")
@click.option(
    "--turned-back",
    "turned_back",
    default=0.05,
    show_default=True,
    help="How much more may be turned back.",
)
@click.option("--memory", default=1.5, show_default=True, help="Times what the rest holds.")
@click.option(
    "--least", default=20, show_default=True, help="Tasks that a gate judges by at least."
)
@click.option(
    "--back",
    "back_ms",
    default="20s",
    show_default=True,
    callback=span_of,
    help="For each member to do as told.",
)
@click.option(
    "--hold", is_flag=True, help="Hold what fails where it is; it is undone without this."
)
@commanding
def release(
    file: Path | None,
    build: str,
    selector: str,
    waves: str,
    window: int,
    on_time: float,
    errors: float,
    turned_back: float,
    memory: float,
    least: int,
    back_ms: int,
    hold: bool,
    wait: float,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
    **more: Any,
) -> None:
    """Release FILE (pools, routes, limits of an operator's file), or a build, in waves, a gate
    after each.
    """
    from whinpier.fleet.consensus.service import compress_release

    if (file is None) == (not build):
        fail("either FILE or --build is released")
    saying, content = Saying(path, operator, as_json, wait), ""
    if file is not None:
        try:
            content, data = compress_release(file.read_bytes())
        except OSError as fault:
            fail(f"{file}: {fault.strerror or fault}")
        put(saying, content, data)
    found = saying.say(
        "release",
        more,
        content=content,
        build=build,
        selector=selector,
        waves=waves,
        window_ms=window,
        on_time=on_time,
        errors=errors,
        turned_back=turned_back,
        memory=memory,
        least=least,
        back_ms=back_ms,
        hold=int(hold),
    )
    saying.released(int(found["text"].split()[1]), "released")


def put(saying: Saying, content: str, data: bytes) -> None:
    """A file into the record, in pieces, till it is whole there."""
    from whinpier.fleet.consensus.service import release_chunks

    for piece in release_chunks(data):
        saying.call.one("put", name=content, value=piece)
    while not saying.call.one("has", name=content)["whole"]:
        if saying.over():
            fail("the file did not come into the record in time; nothing was released", 3)
        time.sleep(APART)


def about_release(what: str, wanted: str) -> Any:
    @commanding
    def run(
        wait: float, path: Path | None, operator: Path | None, as_json: bool, **more: Any
    ) -> None:
        saying = Saying(path, operator, as_json, wait)
        found = saying.say(what, more)
        if wanted:
            saying.released(int(found["text"].split()[1]), wanted)
        else:
            saying.show({"said": what, "text": found["text"]})

    return run


halt = click.command("halt", help="Stop the release that is on where it is.")(
    about_release("halt", "")
)
resume = click.command("resume", help="Go on with a release that is halted.")(
    about_release("resume", "released")
)
undo = click.command("undo", help="Take a release back, the one that is on or the last.")(
    about_release("undo", "undone")
)


@click.command("write-off")
@click.argument("name")
@commanding
def write_off(
    name: str, wait: float, path: Path | None, operator: Path | None, as_json: bool, **more: Any
) -> None:
    """Say that NAME, which is lost, is gone for good: its permit is free."""
    saying = Saying(path, operator, as_json, wait)
    saying.show(saying.say("strike", more, name=name))


@click.command()
@options
def status(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What is agreed: who leads, what is drained, which release is on, who is lost."""
    found = Call(socket_of(path, operator)).one("status")
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    for keys in (
        ("record", "leader", "term", "line", "revision"),
        ("role", "voters", "disk", "current", "aside"),
        ("runs", "build", "good", "good_build", "lost"),
    ):
        click.echo(
            "; ".join(
                f"{key.replace('_', ' ')} {found[key]}"
                for key in keys
                if found[key] not in ("", [])
            )
        )
    if found["drains"]:
        show(
            [
                {key: row[key] for key in ("name", "of", "state", "permit", "who", "why", "left")}
                for row in found["drains"]
            ],
            "drains",
        )
    rows = [*([found["release"]] if found["release"] else []), *reversed(found["closed"])]
    if rows:
        show(
            [
                {
                    key: row[key]
                    for key in ("number", "what", "selector", "phase", "reason", "wave", "who")
                }
                | {"run it": len(row["runs"]), "failed": ", ".join(row["failed"])}
                for row in rows
            ],
            "releases",
        )


@click.command()
@click.option(
    "--wait", default=60.0, show_default=True, type=click.FloatRange(0.0, 3600.0), help="Seconds."
)
@options
def wait(wait: float, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Wait until no drain and no release is on its way; 3 with what still is."""
    saying = Saying(path, operator, as_json, wait)
    while True:
        found = saying.call.one("status")
        left = [
            f"{row['name']} is {row['state']}: {row['left']}"
            for row in found["drains"]
            if row["state"] != "done"
        ]
        if found["release"]:
            left.append(f"release {found['release']['number']} is {found['release']['phase']}")
        if not left:
            saying.show({"settled": True, "revision": found["revision"]})
            return
        if saying.over():
            fail("; ".join(left), 3)
        time.sleep(APART)


@click.command()
@options
def permits(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """How many may be out, who is, and why."""
    found = Call(socket_of(path, operator)).one("permits")
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    show([row | {"out": ", ".join(row["out"])} for row in found["rules"]], "rules")
    show(found["out"], "out")


@click.command("set-permits")
@click.argument("rules", nargs=-1, required=True)
@commanding
def set_permits(
    rules: tuple[str, ...],
    wait: float,
    path: Path | None,
    operator: Path | None,
    as_json: bool,
    **more: Any,
) -> None:
    """Put RULES in place of all: NAME:balancers:OUT[:ZONE] or NAME:upstreams:OUT:POOL[:ZONE]."""
    made = []
    for rule in rules:
        parts = rule.split(":")
        if len(parts) < 3 or not parts[2].isdigit() or parts[1] not in ("balancers", "upstreams"):
            fail(f"{rule!r} is not NAME:balancers:OUT[:ZONE] or NAME:upstreams:OUT:POOL[:ZONE]")
        if parts[1] == "balancers":
            parts.insert(3, "")
        made.append("|".join(parts))
    saying = Saying(path, operator, as_json, wait)
    saying.show(saying.say("permits", more, rules=";".join(made)))


@click.command()
@options
def history(path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Each change with who, when and why; 1 where a line does not follow from the one before it."""
    found = Call(socket_of(path, operator)).one("history")
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        rows = [
            {key: row[key] for key in ("line", "who", "what", "why", "good", "text")}
            | {
                "when": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["wall"] / 1000))
                if row["wall"]
                else ""
            }
            for row in found["items"]
        ]
        show(rows, "history")
    if not found["checked"]:
        fail("a line of the history does not follow from the one before it", 1)


@click.command()
@click.argument("file", type=FILE)
@options
def diff(file: Path, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """What FILE changes against the released one, line by line."""
    call = Call(socket_of(path, operator))
    good = call.one("status")["good"]
    before = call.one("file", name=good)["text"] if good else ""
    try:
        after = file.read_text("utf-8")
    except (OSError, ValueError) as fault:
        fail(f"{file}: {fault}")
    lines = list(
        difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            good or "nothing released",
            str(file),
            lineterm="",
        )
    )
    click.echo(json.dumps(lines) if as_json else "\n".join(lines))


@click.command()
@click.argument("what", type=click.Choice(("show", "add", "remove")), default="show")
@click.argument("name", default="")
@options
def voters(what: str, name: str, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """Who keeps the record; add or remove NAME, at the member that leads."""
    value = {} if what == "show" else {"do": what}
    if value and not name:
        fail(f"{what} whom?")
    found = Call(socket_of(path, operator)).one("voters", name=name, value=value)
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    click.echo(f"leader: {found['leader'] or 'none is known'}")
    show(found["voters"], "voters")


@click.command()
@click.option(
    "--yes", is_flag=True, help="Most voters are lost for good; this copy is the best there is."
)
@options
def recover(yes: bool, path: Path | None, operator: Path | None, as_json: bool) -> None:
    """By hand, where most voters are lost for good: this process's copy of the record goes on alone.

    Lines that only the lost had agreed on are lost. All others take this copy instead of theirs.
    """
    if not yes:
        fail("say --yes: what only the lost voters had agreed on is given up")
    found = Call(socket_of(path, operator)).one("recover")
    click.echo(
        json.dumps(found, indent=1)
        if as_json
        else f"record {found['record']} goes on from {found['line']}"
    )


COMMANDS = (
    drain,
    undrain,
    release,
    halt,
    resume,
    undo,
    write_off,
    status,
    wait,
    permits,
    set_permits,
    history,
    diff,
    voters,
    recover,
)


def add_to(group: click.Group) -> None:
    """These are commands of `whinpier fleet`."""
    for command in COMMANDS:
        group.add_command(command)
