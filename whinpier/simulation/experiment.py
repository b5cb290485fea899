"""The experiment file: fleet, load, troubles, policies, what varies and what must hold. Typed,
checked whole.

Owns its keys and what is said of a faulty one. Times are seconds, rates requests a second, shares 0
to 1.
"""

from __future__ import annotations

import copy
import itertools
import json
import os
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta, Struct

from whinpier.config.fields import Strict, named, part
from whinpier.config.model import ConfigFault
from whinpier.simulation.mutations import MUTATIONS
from whinpier.testbed.work import Spread

Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
Amount = Annotated[float, Meta(ge=0.0, le=1e6)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
Kind = Literal[
    "slow",
    "hang",
    "pause",
    "fail",
    "shrink",
    "restart",
    "lost_zone",
    "stale_list",
    "lossy",
    "partition",
    "clock_step",
    "spoilt",
    "surge",
    "killed",
    "rolling",
    "moved_list",
    "late_list",
    "cut_zone",
    "replace",
    "silent_answers",
    "resets",
    "leavers",
    "eager",
    "shift",
]
KINDS: tuple[Kind, ...] = get_args(Kind)
MOST_RUNS = 100_000


class Table(Strict, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file: a key that it does not have is a fault."""


class Machine(Table, frozen=True, kw_only=True):
    """One kind of upstream, and how many there are of it."""

    count: Count
    cores: Annotated[int, Meta(ge=1, le=1024)] = 4
    speed: Positive = 1.0  # of a core
    queue: Annotated[int, Meta(ge=0, le=100_000)] = (
        64  # that wait for a core; more is turned away unseen
    )
    connections: Count = 400
    connection_work: Amount = 0.0  # seconds of a core for a new connection
    warm_up: Amount = 0.0  # seconds until it does all it can after a start
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    topple: Amount = (
        0.0  # times its present capacity, in a second, at which a cold one falls over; 0: never
    )
    keys: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # that it knows again
    known_work: Share = 1.0  # part of the work that a request with a known key takes
    overdrive: Amount = (
        0.0  # part of its speed that each further queue's length as long as its cores takes
    )


class UpstreamFleet(Table, frozen=True, kw_only=True):
    """Balancers and upstreams."""

    machines: list[Machine]
    balancers: Count = 1
    zones: Annotated[int, Meta(ge=1, le=16)] = 1
    network: Amount = 0.0002  # seconds one way within a zone
    far: Amount = 0.001  # and between zones, on top
    list_delay: Amount = 0.2  # seconds until a change of the list is told
    idle: Positive = 60.0  # after which upstreams close connections


class Front(Table, frozen=True, kw_only=True):
    """What deals requests out among the balancers."""

    busy: Share = 0.0  # part of the balancers that see more than the others
    times: Positive = 1.0  # how much more
    zones: list[Amount] = []  # what each zone's clients ask for, in any unit; empty: all alike
    notice: Amount = 1.0  # seconds until it sees that a balancer has died


class Stream(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "latency_objective": "agreed_time",
        "timeout": "patience",
        "priority_weight": "payoff",
        "late_priority_weight": "late_payoff",
    },
):
    """One request class and how it is asked for, by all balancers' clients together."""

    name: str
    rate: Amount
    kind: Literal["rerunnable", "ticketed", "exclusive"] = "exclusive"
    work: Positive = 0.01  # mean seconds of a core
    spread: Spread = "exponential"
    latency_objective: Positive = 0.25
    timeout: Positive = 1.5
    priority_weight: Amount = 1.0
    late_priority_weight: Amount = 0.0
    window: Amount = 10.0
    group: Literal["all", "zone", "cell"] = "all"
    retries: Annotated[int, Meta(ge=0, le=20)] = 0  # by the client, of what was not fulfilled
    hasty: bool = False  # retries at once, whatever it was told
    gateways: Count = 1
    keys: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # distinct ones, by a law of powers
    day: Share = 0.0  # how far the rate swings over a day of the experiment's length
    surges: list[tuple[float, float, float]] = []  # from, to, times the rate


class Trouble(Table, frozen=True, kw_only=True):
    """Something that goes wrong, on a schedule."""

    kind: Kind
    at: Amount
    span: Positive = 5.0
    share: Share = 0.0  # of upstreams (or balancers, for a stale list); 0: one
    amount: Amount = (
        0.0  # how much: speed left, part that fails, seconds of a pause or step; 0: the usual
    )
    zone: Annotated[int, Meta(ge=0, le=15)] = 0


class Chance(Table, frozen=True, kw_only=True):
    """Troubles by chance, also overlapping."""

    count: Annotated[int, Meta(ge=0, le=100)] = 0
    kinds: list[Kind] = []  # empty: all
    longest: Positive = 6.0  # seconds


class Policy(Table, frozen=True, kw_only=True):
    """How balancers decide."""

    name: Literal[
        "choice",
        "random",
        "round_robin",
        "least_out",
        "two_choices",
        "join_idle",
        "oracle",
        "late_oracle",
    ] = "choice"
    sight: Amount = 1.0  # seconds by which the late-seeing oracle sees the true state late
    attempts: Annotated[int, Meta(ge=1, le=16)] = 3
    second_copies: bool = False
    cancelling: bool = True
    drain_grace: Amount = (
        0.5  # seconds after a drain was told in which something new may still arrive
    )
    mutation: str = ""  # a rule broken on purpose, to see that it is caught


class Holds(Table, frozen=True, kw_only=True):
    """What must hold in every run, beside the rules."""

    on_time: Share = 0.0
    recovered: Amount = 0.0  # seconds before the end from which on_time_after holds; 0: not asked
    on_time_after: Share = 0.0


class File(Table, frozen=True, kw_only=True, rename={"upstream_fleet": "fleet"}):
    """One experiment."""

    name: str
    upstream_fleet: UpstreamFleet
    streams: list[Stream]
    seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 30.0
    warm: Amount = 3.0  # seconds at the start that do not count
    troubles: list[Trouble] = []
    chance: Chance = Chance()
    policy: Policy = Policy()
    front: Front = Front()
    vary: dict[str, list[Any]] = {}  # path of a key: its values; the runs are their product
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 1
    size: Amount = 0.0  # balancers; upstreams and rates grow with them; 0: as they stand
    holds: Holds = Holds()
    about: str = ""


class Run(Struct, frozen=True):
    """One run of an experiment: with which values of what varies, and which seed."""

    experiment: File
    values: dict[str, Any]
    seed: int

    @property
    def key(self) -> str:
        """The same for the same run, however it is asked for."""
        values = ",".join(
            f"{path}={json.dumps(value)}" for path, value in sorted(self.values.items())
        )
        return f"{values or 'plain'};seed={self.seed}"


def read(file: Path) -> tuple[dict[str, Any], File]:
    """An experiment file as it stands and as it is understood. Raises ConfigFault, naming file and key."""
    try:
        text = file.read_text("utf-8")
        given = tomllib.loads(text)
        found = checked(given)
        for _ in variants(given):
            pass
        return given, found
    except ConfigFault as fault:
        raise ConfigFault(f"{file}: {fault}") from None
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigFault(f"{file}: {fault}") from None


def checked(given: dict[str, Any]) -> File:
    """An experiment, all of it looked at."""
    found = part(given, File, "")
    named(found.name, "name")
    if not found.streams:
        raise ConfigFault("streams: none is described")
    names = [stream.name for stream in found.streams]
    if len(set(names)) < len(names):
        raise ConfigFault("streams: a name twice")
    if not found.upstream_fleet.machines:
        raise ConfigFault("fleet.machines: none is described")
    for index, stream in enumerate(found.streams):
        if stream.timeout < stream.latency_objective:
            raise ConfigFault(f"streams[{index}].patience: is shorter than agreed_time")
        for begins, ends, times in stream.surges:
            if not (0.0 <= begins < ends and times >= 0.0):
                raise ConfigFault(
                    f"streams[{index}].surges: {begins}, {ends}, {times}: not from, to, times"
                )
    if found.front.zones and len(found.front.zones) != found.upstream_fleet.zones:
        raise ConfigFault(
            f"front.zones: names {len(found.front.zones)} of {found.upstream_fleet.zones} zones"
        )
    if found.front.zones and not any(found.front.zones):
        raise ConfigFault("front.zones: nobody asks for anything")
    for index, trouble in enumerate(found.troubles):
        if (
            trouble.kind in ("lost_zone", "cut_zone", "shift")
            and trouble.zone >= found.upstream_fleet.zones
        ):
            raise ConfigFault(
                f"troubles[{index}].zone: {trouble.zone} is none of {found.upstream_fleet.zones} zones"
            )
    if found.policy.mutation not in ("", *MUTATIONS):
        raise ConfigFault(
            f"policy.mutation: {found.policy.mutation!r} is none of {', '.join(MUTATIONS)}"
        )
    if found.size:
        found = sized(found)
    if found.warm >= found.seconds:
        raise ConfigFault("warm: leaves nothing of seconds")
    return found


def sized(found: File) -> File:
    """The same experiment with so many balancers, and upstreams and rates in proportion."""
    times = found.size / found.upstream_fleet.balancers
    machines = [
        msgspec.structs.replace(machine, count=max(1, round(machine.count * times)))
        for machine in found.upstream_fleet.machines
    ]
    upstream_fleet = msgspec.structs.replace(
        found.upstream_fleet, balancers=max(1, round(found.size)), machines=machines
    )
    streams = [
        msgspec.structs.replace(stream, rate=stream.rate * times) for stream in found.streams
    ]
    return msgspec.structs.replace(found, upstream_fleet=upstream_fleet, streams=streams, size=0.0)


def variants(given: dict[str, Any]) -> Iterator[tuple[dict[str, Any], File]]:
    """Each combination of what varies, with its experiment. Raises ConfigFault for a faulty one."""
    whole = checked(given)
    count = whole.seeds
    for path, values in whole.vary.items():
        if not isinstance(values, list) or not values:
            raise ConfigFault(f"vary.{path}: is no list of values")
        count *= len(values)
    if count > MOST_RUNS:
        raise ConfigFault(f"vary: {count} runs, over {MOST_RUNS}")
    for combination in itertools.product(*whole.vary.values()):
        chosen: dict[str, Any] = dict(zip(whole.vary, combination))
        changed = copy.deepcopy(given)
        changed.pop("vary", None)
        for path, value in chosen.items():
            put(changed, path, value)
        try:
            experiment = checked(changed)
        except ConfigFault as fault:
            raise ConfigFault(f"vary {chosen}: {fault}") from None
        yield chosen, experiment


def runs(given: dict[str, Any], first_seed: int = 1) -> Iterator[Run]:
    """All runs of an experiment: each value of what varies with each seed, pairs of seeds side by side."""
    for chosen, experiment in variants(given):
        for seed in range(first_seed, first_seed + experiment.seeds):
            yield Run(experiment, chosen, seed)


def put(table: dict[str, Any], path: str, value: Any) -> None:
    """Set `fleet.balancers` or `streams[0].rate` or `streams[*].rate`."""
    steps = re.findall(r"[^.\[\]]+|\[(?:\d+|\*)\]", path)
    places: list[Any] = [table]
    for step in steps[:-1]:
        places = [inner for place in places for inner in stepped(place, step, path)]
    for place in places:
        last = steps[-1]
        if last.startswith("["):
            raise ConfigFault(f"vary.{path}: ends in a place, not in a key")
        if not isinstance(place, dict):
            raise ConfigFault(f"vary.{path}: leads nowhere")
        place[last] = value


def stepped(place: Any, step: str, path: str) -> list[Any]:
    if step == "[*]" and isinstance(place, list):
        return list(place)
    if step.startswith("[") and isinstance(place, list) and int(step[1:-1]) < len(place):
        return [place[int(step[1:-1])]]
    if isinstance(place, dict) and not step.startswith("["):
        return [place.setdefault(step, {})]
    raise ConfigFault(f"vary.{path}: leads nowhere at {step}")


def encoded(value: Any) -> Any:
    """Plain values, for JSON."""
    return msgspec.to_builtins(value)


def shipped() -> dict[str, Path]:
    """The experiments that come with the project; those of a folder by `folder/name`."""
    folder = Path(os.path.dirname(__file__)) / "experiments"
    return {
        file.relative_to(folder).with_suffix("").as_posix(): file
        for file in sorted(folder.rglob("*.toml"))
    }
