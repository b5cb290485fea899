"""The one place where the operator's file is read, checked as a whole and made into what the
process runs by.

Owns its keys and what is said about a faulty one: the file, the key and what is allowed. Not
imported without such a file. Must never let through a part of a faulty file, or raise anything but
a ConfigFault for it.
"""

from __future__ import annotations

import hashlib
import os
import re
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import fields as fields_of
from dataclasses import replace
from random import SystemRandom
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from whinpier.config.fields import (
    UNITS,
    Amount,
    Count,
    Duration,
    Part,
    Strict,
    Whole,
    duration,
    named,
    part,
)
from whinpier.config.model import (
    Beside,
    ConfigFault,
    Entry,
    Fields,
    Limits,
    PoolSpec,
    Spec,
    Together,
    address,
    differs,
    kept_till_restart,
)
from whinpier.policy import model
from whinpier.routing.table import Route, RouteError, RoutingTable
from whinpier.runtime.resource_budget import (
    MAX_REJECTION_RESERVE,
    REJECTION_DIVISOR,
    reserved_descriptors,
)
from whinpier.storage.bounded_files import read_bounded

MOST_POOLS, MOST_ROUTES = 256, 20_000  # what is still checked within a second or two
LEAST = 16  # connections for each pool: with fewer nothing can be held apart
TOKEN = re.compile(r"[-!#$%&'*+.^_`|~0-9a-z]+\Z")  # a header's name, in lower case


class Says(Strict, frozen=True):
    """Which headers say what; an empty name: none does."""

    id: str = "x-txn"
    patience: str = "x-remaining"
    ticket: str = "idempotency-key"
    key: str = "x-entity"
    tenant: str = "x-org"
    repeat: str = "x-resent"
    query_key: str = "obj"
    optional: bool = False


class WorkloadTable(
    Strict,
    frozen=True,
    rename={
        "latency_objective": "agreed_time",
        "timeout": "patience",
        "priority_weight": "payoff",
        "late_priority_weight": "late_payoff",
    },
):
    """One kind of request."""

    kind: Literal["rerunnable", "ticketed", "exclusive"]
    latency_objective: Duration
    timeout: Duration
    priority_weight: Amount = 1.0
    late_priority_weight: Amount = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Duration = "0s"


class UpstreamTable(Strict, frozen=True):
    """One upstream of a static list."""

    name: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: Whole = 0
    size: Annotated[float, Meta(gt=0.0, le=1e6)] = 1.0
    state: Literal["ready", "draining"] = "ready"
    started_ms: Annotated[int, Meta(ge=0, le=2**53)] = 0


class LimitsTable(Strict, frozen=True, rename={"requests": "tasks"}):
    """What a pool may have of the process."""

    guaranteed: Part | None = None
    requests: Count | None = None
    held: Whole | None = None
    connections: Count | None = None
    bodies_kb: Count | None = None


class PoolTable(
    Strict, frozen=True, rename={"request_classes": "workloads", "attempts": "hand_offs"}
):
    """One pool."""

    request_classes: dict[str, Any]
    protocol: Literal["http", "radius"] = "http"
    radius: Any = None
    upstreams: list[Any] | None = None
    discovery: str | None = None
    limits: LimitsTable = LimitsTable()
    says: Says = Says()
    balancers: Count | None = None  # said: so many, whatever the fleet knows
    number: Whole = 0
    zone: str = ""
    zones: list[str] = []
    kinds: list[str] = []
    tenants: list[str] = []
    attempts: Annotated[int, Meta(ge=1, le=16)] = 3
    second_copies: bool = False
    cancelling: bool = True
    warm_keys: bool = False  # no longer there: said, not passed over
    warm_up: Duration = "0s"
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0
    connect_timeout: Duration = "250ms"
    keepalive: Duration = "60s"
    statuses: tuple[Annotated[int, Meta(ge=200, le=499)], ...] = (200,)
    whole: Amount = 1.0
    worst: Amount = 0.0
    crossing: Amount = 0.0


class RouteTable(Strict, frozen=True, rename={"request_class": "workload", "timeout": "patience"}):
    """One route."""

    name: str
    pool: str
    host: str = ""
    path: str | None = None
    prefix: str | None = None
    methods: list[Literal["GET", "POST", "PUT", "PATCH", "DELETE"]] = []
    headers: dict[str, str] = {}
    lane: str = ""
    request_class: str = ""
    timeout: Duration | None = None
    says: Says | None = None


class ProcessTable(Strict, frozen=True):
    """What the process has, and shares out among its pools."""

    descriptors: Annotated[int, Meta(ge=64, le=2**20)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=2**20)] = 192
    isolate: bool = True
    seed: str = ""


class FileTable(Strict, frozen=True, rename={"fleet": "bank"}):
    """The whole file."""

    version: Literal[1]
    listen: list[str]
    pools: dict[str, Any]
    routes: list[Any] = []
    radius: Any = None
    fleet: Any = None
    name: str = "balancer"
    up: str = "/up"
    process: ProcessTable = ProcessTable()


def header(name: str, at: str) -> str:
    if name and not TOKEN.match(name):
        raise ConfigFault(f"{at}: {name!r} is no header's name in lower case")
    return name


def says(table: Says, at: str) -> Fields:
    names = {
        key: header(getattr(table, key), f"{at}.{key}").encode()
        for key in ("id", "patience", "ticket", "key", "tenant", "repeat")
    }
    given = [name for name in names.values() if name]
    if len(set(given)) < len(given):
        raise ConfigFault(f"{at}: one header says two things")
    if not table.optional and not (names["id"] and names["patience"]):
        raise ConfigFault(f"{at}: without headers for id and patience, optional has to be true")
    return Fields(
        names["id"],
        names["patience"],
        names["ticket"],
        names["key"],
        names["tenant"],
        names["repeat"],
        table.query_key.encode(),
        table.optional,
    )


def request_class(name: str, value: Any, at: str) -> model.RequestClass:
    table = part(value, WorkloadTable, at)
    agreed = duration(table.latency_objective, f"{at}.agreed_time", UNITS["ms"])
    timeout = duration(table.timeout, f"{at}.patience", UNITS["ms"])
    if timeout < agreed:
        raise ConfigFault(f"{at}.patience: is shorter than agreed_time")
    window = duration(table.window, f"{at}.window")
    effect = model.Effect(table.kind)
    if window and effect is not model.Effect.KEYED:
        raise ConfigFault(f"{at}.window: only a ticketed workload has one")
    return model.RequestClass(
        name,
        effect,
        agreed,
        timeout,
        table.priority_weight,
        table.late_priority_weight,
        table.group,
        window,
    )


def entries(values: list[Any], table: PoolTable, at: str) -> list[Entry]:
    found: dict[str, Entry] = {}
    for index, value in enumerate(values):
        here = f"{at}[{index}]"
        given = part(value, UpstreamTable, here)
        if not given.name or given.name in found:
            raise ConfigFault(f"{here}.name: {given.name!r} is empty or taken")
        for key, names in (("zone", table.zones), ("kind", table.kinds)):
            name = getattr(given, key)
            if name and name not in names:
                raise ConfigFault(f"{here}.{key}: {name!r} is not in {key}s of its pool")
        dial = address(given.address, f"{here}.address")
        found[given.name] = Entry(
            given.name,
            dial,
            model.UpstreamState(given.state),
            given.zone,
            given.kind,
            given.cell,
            given.size,
            given.started_ms * 1_000_000,
        )
    return list(found.values())


def pool(name: str, table: PoolTable, guaranteed: float) -> PoolSpec:
    """What one pool runs by."""
    at = f"pools.{name}"
    if (table.upstreams is None) == (table.discovery is None):
        raise ConfigFault(f"{at}: either upstreams or discovery says where its list comes from")
    if not table.request_classes:
        raise ConfigFault(f"{at}.workloads: none is named")
    if table.zone and table.zone not in table.zones:
        raise ConfigFault(f"{at}.zone: {table.zone!r} is not in zones")
    if table.warm_keys:
        raise ConfigFault(f"{at}.warm_keys: keys no longer steer tasks; take it out")
    if table.number >= (table.balancers or 1):
        raise ConfigFault(
            f"{at}.number: {table.number} is not below balancers, {table.balancers or 1}"
        )
    request_classes = [
        request_class(named(key, f"{at}.workloads"), inner, f"{at}.workloads.{key}")
        for key, inner in table.request_classes.items()
    ]
    settings: dict[str, Any] = {
        "balancers": table.balancers or 1,
        "slot_no": table.number,
        "zone": table.zones.index(table.zone) if table.zone else 0,
        "limits.max_hand_offs": table.attempts,
        "limits.second_copies": table.second_copies,
        "limits.cancelling": table.cancelling,
        "rules.cold": duration(table.warm_up, f"{at}.warm_up"),
        "rules.cold_from": table.cold_from,
        "goal.whole": table.whole,
        "goal.worst_class": table.worst,
        "prices.cross_zone": table.crossing,
        "report.columns": [],
    }
    limits = table.limits
    if limits.held is not None:
        settings["limits.held"] = limits.held
    return PoolSpec(
        name,
        settings,
        request_classes,
        list(table.zones),
        list(table.kinds),
        list(table.tenants),
        connect_limit=duration(table.connect_timeout, f"{at}.connect_timeout", UNITS["ms"]),
        idle_limit=duration(table.keepalive, f"{at}.keepalive", 100 * UNITS["ms"]),
        discovery=address(table.discovery, f"{at}.discovery")
        if table.discovery is not None
        else None,
        known=entries(table.upstreams or [], table, f"{at}.upstreams"),
        limits=Limits(
            guaranteed,
            limits.requests,
            limits.connections,
            limits.bodies_kb * 1024 if limits.bodies_kb else None,
        ),
        passed_on=frozenset(table.statuses),
        protocol=table.protocol,
        server=servers(table, at),
    )


def servers(table: PoolTable, at: str) -> object:
    """How a pool's servers are spoken to, by its protocol; None of a pool that speaks HTTP."""
    if (table.protocol == "radius") != (table.radius is not None):
        raise ConfigFault(f'{at}.radius: belongs to protocol = "radius", and such a pool needs it')
    if table.radius is None:
        return None
    from whinpier.radius import config

    return config.servers(table.radius, f"{at}.radius")


def beside(table: FileTable, pools: dict[str, PoolSpec]) -> dict[str, Beside]:
    """The protocols beside HTTP that the file has clients for."""
    if table.radius is None:
        return {}
    from whinpier.radius import config

    return {"radius": config.front(table.radius, pools)}


def together(
    table: FileTable, config: dict[str, PoolTable], pools: dict[str, PoolSpec], routes: list[Route]
) -> Together | None:
    """How the process knows the others, if the file says so."""
    if table.fleet is None:
        return None
    from whinpier.fleet.config import fleet

    timeout = {
        name: max(one.timeout for one in spec.request_classes) for name, spec in pools.items()
    }
    shared = tuple(name for name, one in config.items() if one.balancers is None)
    return fleet(
        table.fleet, table.name, shared, timeout, {one.name: one.to.pool for one in routes}
    )


class To(Struct, frozen=True):
    """Where a route leads."""

    pool: str
    request_class: str
    timeout: int
    fields: Fields


def route(value: Any, at: str, pools: dict[str, PoolSpec], usual: dict[str, Fields]) -> Route:
    table = part(value, RouteTable, at)
    at = f"routes.{named(table.name, f'{at}.name')}"
    if table.pool not in pools:
        raise ConfigFault(f"{at}.pool: {table.pool!r} is none of {', '.join(pools)}")
    if table.path is not None and table.prefix is not None:
        raise ConfigFault(f"{at}: either path or prefix, not both")
    kinds = {
        request_class.name: request_class.kind
        for request_class in pools[table.pool].request_classes
    }
    name = table.request_class or (next(iter(kinds)) if len(kinds) == 1 else "")
    name = name or (table.lane if table.lane in kinds else "")
    if name and name not in kinds:
        raise ConfigFault(f"{at}.workload: {name!r} is none of {', '.join(kinds)}")
    if name and kinds[name] == model.Effect.NON_IDEMPOTENT and table.methods == ["GET"]:
        raise ConfigFault(f"{at}.methods: GET is for what may be repeated, and {name} is exclusive")
    fields = says(table.says, f"{at}.says") if table.says else usual[table.pool]
    if name and kinds[name] == model.Effect.KEYED and not fields.ticket:
        raise ConfigFault(f"{at}.says.ticket: {name} is ticketed and no header holds its ticket")
    for key in table.headers:
        if not header(key, f"{at}.headers"):
            raise ConfigFault(f"{at}.headers: a header without a name")
    timeout = (
        duration(table.timeout, f"{at}.patience", UNITS["ms"]) if table.timeout is not None else 0
    )
    return Route(
        table.name,
        table.host,
        table.path if table.path is not None else table.prefix or "/",
        table.path is None,
        frozenset(table.methods),
        dict(table.headers),
        table.lane,
        To(table.pool, name, timeout, fields),
    )


def parts(config: dict[str, PoolTable]) -> dict[str, float]:
    """The guaranteed part of each pool: what is said, or an even share of what the others leave."""
    found = {name: table.limits.guaranteed for name, table in config.items()}
    said = [share for share in found.values() if share is not None]
    rest = 1.0 - sum(said)
    if rest < -1e-9:
        raise ConfigFault(f"pools: guaranteed parts come to {sum(said):g}, over 1")
    even = max(0.0, rest) / max(1, len(found) - len(said))
    return {name: even if share is None else share for name, share in found.items()}


def made(given: Any) -> Spec:
    """What the process runs by, or a ConfigFault that names the key."""
    table = part(given, FileTable, "")
    if not table.pools or len(table.pools) > MOST_POOLS:
        raise ConfigFault(f"pools: {len(table.pools)} of them; 1 to {MOST_POOLS} are allowed")
    if len(table.routes) > MOST_ROUTES:
        raise ConfigFault(f"routes: {len(table.routes)} of them; {MOST_ROUTES} at most are allowed")
    if not table.listen:
        raise ConfigFault("listen: names no address")
    listen = [address(text, f"listen[{index}]") for index, text in enumerate(table.listen)]
    if len(set(listen)) < len(listen):
        raise ConfigFault("listen: an address twice")
    if not re.match(r"/[!-~]*\Z", table.up):
        raise ConfigFault(f"up: {table.up!r} is no path")
    try:
        seed = int(table.process.seed, 16) if table.process.seed else SystemRandom().getrandbits(64)
    except ValueError:
        raise ConfigFault(
            f"process.seed: {table.process.seed!r} is not a hexadecimal number"
        ) from None
    config = {
        named(name, "pools"): part(value, PoolTable, f"pools.{name}")
        for name, value in table.pools.items()
    }
    shares = parts(config)
    pools = {name: pool(name, one, shares[name]) for name, one in config.items()}
    usual = {name: says(one.says, f"pools.{name}.says") for name, one in config.items()}
    routes = [
        route(value, f"routes[{index}]", pools, usual) for index, value in enumerate(table.routes)
    ]
    try:
        compiled = RoutingTable(routes)
    except RouteError as fault:
        raise ConfigFault(
            f"{', '.join(f'routes.{name}' for name in fault.routes)}: {fault}"
        ) from None
    for one in routes:
        if pools[one.to.pool].protocol != "http":
            raise ConfigFault(
                f"routes.{one.name}.pool: {one.to.pool!r} speaks {pools[one.to.pool].protocol}"
            )
    spec = Spec(
        table.name,
        listen,
        seed,
        table.process.descriptors,
        table.process.memory_mb << 20,
        pools,
        compiled,
        beside(table, pools),
        table.up.encode(),
        table.process.isolate,
        fleet=together(table, config, pools, routes),
    )
    check_room(spec)
    return spec


def check_room(spec: Spec) -> None:
    """Whether the descriptors come to something for each pool."""
    left = (
        spec.sockets
        - reserved_descriptors(spec)
        - min(spec.sockets // REJECTION_DIVISOR, MAX_REJECTION_RESERVE)
    )
    need = LEAST * len(spec.pools)
    if left < need:
        raise ConfigFault(
            f"process.descriptors: {spec.sockets} leave {left} for {len(spec.pools)} pools, "
            f"which need {need}"
        )


RELEASED = frozenset(
    ("pools", "routes", "up")
)  # keys that a released file may have, and takes the place of
RELEASED_BANK = frozenset(("limits", "verdicts"))


def overlaid(given: Any, released: Any) -> Any:
    """A process's own file with what was released over it: pools, routes, limits are everybody's."""
    for key in released:
        if key not in RELEASED and key != "bank":
            raise ConfigFault(f"released: {key}: belongs into each process's own file")
    fleet = released.get("bank", {})
    if not isinstance(fleet, dict) or not fleet.keys() <= RELEASED_BANK:
        raise ConfigFault(
            f"released: bank: only {' and '.join(sorted(RELEASED_BANK))} are released"
        )
    whole = given | {key: value for key, value in released.items() if key != "bank"}
    return whole | ({"bank": given.get("bank", {}) | fleet} if fleet else {})


def released_to(given: Any) -> bytes | None:
    """What was released to the process of this file, if anything was."""
    fleet = given.get("bank")
    agreement = fleet.get("agreement") if isinstance(fleet, dict) else None
    folder = agreement.get("folder") if isinstance(agreement, dict) else None
    if not isinstance(folder, str):
        return None
    from whinpier.fleet.spec import RELEASE_FILE_NAME  # only where a file has it

    path = os.path.join(folder, RELEASE_FILE_NAME)
    return read_bounded(path) if os.path.exists(path) else None


def read(path: str, released: bytes | None = None, own: bool = True) -> Spec:
    """What an operator's file says; a ConfigFault names the file and the key.

    `own`: with what was released to it so far, else with `released`.
    """
    try:
        text = read_bounded(path)
        given = tomllib.loads(text.decode("utf-8"))
        released = released_to(given) if own else released
        if released is not None:
            given = overlaid(given, tomllib.loads(released.decode("utf-8")))
            text += released
        revision = hashlib.blake2b(text, digest_size=6).hexdigest()
        return replace(made(given), revision=revision)
    except ConfigFault as fault:
        raise ConfigFault(f"{path}: {fault}") from None
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigFault(f"{path}: {fault}") from None
    except (ArithmeticError, AttributeError, KeyError, TypeError) as fault:
        # Guards against a kind of fault that no check has thought of: it must not end a running
        # balancer.
        raise ConfigFault(f"{path}: {type(fault).__name__}: {fault}") from None


class Reader:
    """Reads one operator's file, now and whenever it has changed."""

    def __init__(self, path: str) -> None:
        self.path = path

    def __call__(self) -> Spec:
        return read(self.path)

    def check(self, released: bytes | None) -> Spec:
        """What it comes to with another release over it."""
        return read(self.path, released, False)


def reader(path: str) -> Callable[[], Spec]:
    return Reader(path)


def changes(old: Spec, new: Spec) -> Iterable[str]:
    """Which keys of the process, and of what runs beside HTTP, differ and wait for a restart."""
    found: list[str] = kept_till_restart(old, new)
    names = sorted(old.beside.keys() | new.beside.keys())
    for name in names:
        before, after = (
            spec.beside[name].till_restart if name in spec.beside else {} for spec in (old, new)
        )
        found += [
            f"{name}.{key}" for key in {**before, **after} if before.get(key) != after.get(key)
        ]
    before, after = (spec.fleet.till_restart if spec.fleet else {} for spec in (old, new))
    found += [f"bank.{key}" for key in {**before, **after} if before.get(key) != after.get(key)]
    return found


def differences(old: Spec, new: Spec) -> list[str]:
    """What a new file changes, by key, for the log and for `config diff`."""
    lines = [f"pools.{name}: removed" for name in old.pools if name not in new.pools]
    for name, spec in new.pools.items():
        if name not in old.pools:
            lines.append(f"pools.{name}: added")
            continue
        lines += [f"pools.{name}.{key}: changed" for key in differs(old.pools[name], spec)]
    before = {route.name: route for route in (old.table.routes if old.table else [])}
    after = {route.name: route for route in (new.table.routes if new.table else [])}
    lines += [f"routes.{name}: removed" for name in before if name not in after]
    for name, found in after.items():
        if name not in before:
            lines.append(f"routes.{name}: added")
        elif any(
            getattr(found, key.name) != getattr(before[name], key.name) for key in fields_of(Route)
        ):
            lines.append(f"routes.{name}: changed")
    return lines
