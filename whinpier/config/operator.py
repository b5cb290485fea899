"""Read and validate an operator's file and build the process configuration from it.

This module defines the keys of the file and the error texts, which name the file, the key and the
allowed values. A file with any error is rejected as a whole with a ConfigFault. Only imported when
there is an operator's file.
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
    ConfigFault,
    Entry,
    Fields,
    FleetConfig,
    Limits,
    PoolSpec,
    ProtocolConfig,
    Spec,
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

# A file with this many pools and routes is validated within a second or two.
MAX_POOLS = 256
MAX_ROUTES = 20_000
MIN_POOL_DESCRIPTORS = 16  # with fewer the pools cannot be isolated from each other
HEADER_NAME_PATTERN = re.compile(r"[-!#$%&'*+.^_`|~0-9a-z]+\Z")  # in lower case
ROUNDING_TOLERANCE = 1e-9  # of a sum of shares
# The keys that a release may set; they replace those of the process's own file.
RELEASED_KEYS = frozenset(("pools", "routes", "up"))
RELEASED_FLEET_KEYS = frozenset(("limits", "verdicts"))


class HeadersTable(Strict, frozen=True):
    """Name the header that carries each value; with an empty name no header does."""

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
    """Describe one request class."""

    kind: Literal["rerunnable", "ticketed", "exclusive"]
    latency_objective: Duration
    timeout: Duration
    priority_weight: Amount = 1.0
    late_priority_weight: Amount = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Duration = "0s"


class UpstreamTable(Strict, frozen=True):
    """Describe one upstream of a static list."""

    name: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: Whole = 0
    size: Annotated[float, Meta(gt=0.0, le=1e6)] = 1.0
    state: Literal["ready", "draining"] = "ready"
    started_ms: Annotated[int, Meta(ge=0, le=2**53)] = 0


class LimitsTable(Strict, frozen=True, rename={"requests": "tasks"}):
    """Hold the limits of a pool within the process."""

    guaranteed: Part | None = None
    requests: Count | None = None
    held: Whole | None = None
    connections: Count | None = None
    bodies_kb: Count | None = None


class PoolTable(
    Strict, frozen=True, rename={"request_classes": "workloads", "attempts": "hand_offs"}
):
    """Describe one pool."""

    request_classes: dict[str, Any]
    protocol: Literal["http", "radius"] = "http"
    radius: Any = None
    upstreams: list[Any] | None = None
    discovery: str | None = None
    limits: LimitsTable = LimitsTable()
    says: HeadersTable = HeadersTable()
    balancers: Count | None = None  # if set, overrides the fleet's count
    number: Whole = 0
    zone: str = ""
    zones: list[str] = []
    kinds: list[str] = []
    tenants: list[str] = []
    attempts: Annotated[int, Meta(ge=1, le=16)] = 3
    second_copies: bool = False
    cancelling: bool = True
    warm_keys: bool = False  # removed; still parsed so that its use is reported
    warm_up: Duration = "0s"
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0
    connect_timeout: Duration = "250ms"
    keepalive: Duration = "60s"
    statuses: tuple[Annotated[int, Meta(ge=200, le=499)], ...] = (200,)
    whole: Amount = 1.0
    worst: Amount = 0.0
    crossing: Amount = 0.0


class RouteTable(Strict, frozen=True, rename={"request_class": "workload", "timeout": "patience"}):
    """Describe one route."""

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
    says: HeadersTable | None = None


class ProcessTable(Strict, frozen=True):
    """Hold the resources of the process, which its pools share."""

    descriptors: Annotated[int, Meta(ge=64, le=2**20)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=2**20)] = 192
    isolate: bool = True
    seed: str = ""


class FileTable(Strict, frozen=True, rename={"fleet": "bank"}):
    """Describe the whole file."""

    version: Literal[1]
    listen: list[str]
    pools: dict[str, Any]
    routes: list[Any] = []
    radius: Any = None
    fleet: Any = None
    name: str = "balancer"
    up: str = "/up"
    process: ProcessTable = ProcessTable()


def validate_header_name(name: str, at: str) -> str:
    """Return a header's name if it is empty or valid; raise ConfigFault otherwise."""
    if name and not HEADER_NAME_PATTERN.match(name):
        raise ConfigFault(f"{at}: {name!r} is not a valid header name in lower case")
    return name


def request_fields(table: HeadersTable, at: str) -> Fields:
    """Return the headers that carry each value.

    Raise ConfigFault if a header is named twice, or if there is none for the id or the timeout and
    these are not optional.
    """
    names = {
        key: validate_header_name(getattr(table, key), f"{at}.{key}").encode()
        for key in ("id", "patience", "ticket", "key", "tenant", "repeat")
    }
    given = [name for name in names.values() if name]
    if len(set(given)) < len(given):
        raise ConfigFault(f"{at}: one header says two things")
    if not table.optional and not (names["id"] and names["patience"]):
        raise ConfigFault(f"{at}: without headers for id and patience, optional must be true")
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


def build_request_class(name: str, value: Any, at: str) -> model.RequestClass:
    """Build one request class; raise ConfigFault if its durations or its kind do not fit."""
    table = part(value, WorkloadTable, at)
    latency_objective = duration(table.latency_objective, f"{at}.agreed_time", UNITS["ms"])
    timeout = duration(table.timeout, f"{at}.patience", UNITS["ms"])
    if timeout < latency_objective:
        raise ConfigFault(f"{at}.patience: is shorter than agreed_time")
    window = duration(table.window, f"{at}.window")
    effect = model.Effect(table.kind)
    if window and effect is not model.Effect.KEYED:
        raise ConfigFault(f"{at}.window: only a ticketed workload has one")
    return model.RequestClass(
        name,
        effect,
        latency_objective,
        timeout,
        table.priority_weight,
        table.late_priority_weight,
        table.group,
        window,
    )


def build_upstreams(values: list[Any], table: PoolTable, at: str) -> list[Entry]:
    """Build the static upstream list of a pool.

    Raise ConfigFault for a duplicate name or for a zone or kind that the pool does not have.
    """
    found: dict[str, Entry] = {}
    for index, value in enumerate(values):
        here = f"{at}[{index}]"
        given = part(value, UpstreamTable, here)
        if not given.name or given.name in found:
            raise ConfigFault(
                f"{here}.name: {given.name!r} is empty or already used by another upstream"
            )
        for key, names in (("zone", table.zones), ("kind", table.kinds)):
            name = getattr(given, key)
            if name and name not in names:
                raise ConfigFault(f"{here}.{key}: {name!r} is not in {key}s of its pool")
        upstream_address = address(given.address, f"{here}.address")
        found[given.name] = Entry(
            given.name,
            upstream_address,
            model.UpstreamState(given.state),
            given.zone,
            given.kind,
            given.cell,
            given.size,
            given.started_ms * 1_000_000,
        )
    return list(found.values())


def build_pool(name: str, table: PoolTable, guaranteed: float) -> PoolSpec:
    """Build the configuration of one pool; raise ConfigFault for conflicting values."""
    at = f"pools.{name}"
    if (table.upstreams is None) == (table.discovery is None):
        raise ConfigFault(f"{at}: either upstreams or discovery is required, not both")
    if not table.request_classes:
        raise ConfigFault(f"{at}.workloads: none is named")
    if table.zone and table.zone not in table.zones:
        raise ConfigFault(f"{at}.zone: {table.zone!r} is not in zones")
    if table.warm_keys:
        raise ConfigFault(f"{at}.warm_keys: is no longer supported; remove it")
    if table.number >= (table.balancers or 1):
        raise ConfigFault(
            f"{at}.number: {table.number} is not below balancers, {table.balancers or 1}"
        )
    request_classes = [
        build_request_class(named(key, f"{at}.workloads"), inner, f"{at}.workloads.{key}")
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
        known=build_upstreams(table.upstreams or [], table, f"{at}.upstreams"),
        limits=Limits(
            guaranteed,
            limits.requests,
            limits.connections,
            limits.bodies_kb * 1024 if limits.bodies_kb else None,
        ),
        passed_on=frozenset(table.statuses),
        protocol=table.protocol,
        server=upstream_options(table, at),
    )


def upstream_options(table: PoolTable, at: str) -> object:
    """Return the protocol's options for a pool's upstreams; None for HTTP."""
    if (table.protocol == "radius") != (table.radius is not None):
        raise ConfigFault(f'{at}.radius: belongs to protocol = "radius", and such a pool needs it')
    if table.radius is None:
        return None
    from whinpier.radius import config

    return config.servers(table.radius, f"{at}.radius")


def build_protocols(table: FileTable, pools: dict[str, PoolSpec]) -> dict[str, ProtocolConfig]:
    """Build the configuration of the non-HTTP protocols that the file has clients for, by name."""
    if table.radius is None:
        return {}
    from whinpier.radius import config

    return {"radius": config.front(table.radius, pools)}


def build_fleet(
    table: FileTable,
    pool_tables: dict[str, PoolTable],
    pools: dict[str, PoolSpec],
    routes: list[Route],
) -> FleetConfig | None:
    """Build the fleet configuration; None without a `bank` table."""
    if table.fleet is None:
        return None
    from whinpier.fleet.config import fleet

    longest_timeouts = {
        name: max(request_class.timeout for request_class in spec.request_classes)
        for name, spec in pools.items()
    }
    # Pools whose number of balancers the fleet determines.
    shared = tuple(name for name, pool in pool_tables.items() if pool.balancers is None)
    route_pools = {route.name: route.to.pool for route in routes}
    return fleet(table.fleet, table.name, shared, longest_timeouts, route_pools)


class RouteTarget(Struct, frozen=True):
    """Hold the target of a route; a `timeout` of 0 ns means that the route sets none."""

    pool: str
    request_class: str
    timeout: int
    fields: Fields


def build_route(
    value: Any, at: str, pools: dict[str, PoolSpec], default_fields: dict[str, Fields]
) -> Route:
    """Build one route to one of `pools`, with the pool's headers unless the route names its own.

    Raise ConfigFault if its pool, request class, methods or headers do not fit together.
    """
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
        raise ConfigFault(
            f"{at}.methods: GET is for what may be repeated; workload {name} is exclusive"
        )
    fields = request_fields(table.says, f"{at}.says") if table.says else default_fields[table.pool]
    if name and kinds[name] == model.Effect.KEYED and not fields.ticket:
        raise ConfigFault(
            f"{at}.says.ticket: workload {name} is ticketed and needs a ticket header"
        )
    for key in table.headers:
        if not validate_header_name(key, f"{at}.headers"):
            raise ConfigFault(f"{at}.headers: a header name is empty")
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
        RouteTarget(table.pool, name, timeout, fields),
    )


def guaranteed_shares(pool_tables: dict[str, PoolTable]) -> dict[str, float]:
    """Return the guaranteed share of each pool.

    Pools without a configured share divide the rest evenly. Raise ConfigFault if the configured
    shares exceed 1.
    """
    shares = {name: table.limits.guaranteed for name, table in pool_tables.items()}
    configured = [share for share in shares.values() if share is not None]
    rest = 1.0 - sum(configured)
    if rest < -ROUNDING_TOLERANCE:
        raise ConfigFault(f"pools: guaranteed parts come to {sum(configured):g}, over 1")
    even_share = max(0.0, rest) / max(1, len(shares) - len(configured))
    return {name: even_share if share is None else share for name, share in shares.items()}


def made(given: Any) -> Spec:
    """Build the process configuration from a parsed file; raise ConfigFault that names the key."""
    table = part(given, FileTable, "")
    if not table.pools or len(table.pools) > MAX_POOLS:
        raise ConfigFault(f"pools: {len(table.pools)} of them; 1 to {MAX_POOLS} are allowed")
    if len(table.routes) > MAX_ROUTES:
        raise ConfigFault(f"routes: {len(table.routes)} of them; {MAX_ROUTES} at most are allowed")
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
    pool_tables = {
        named(name, "pools"): part(value, PoolTable, f"pools.{name}")
        for name, value in table.pools.items()
    }
    shares = guaranteed_shares(pool_tables)
    pools = {name: build_pool(name, pool, shares[name]) for name, pool in pool_tables.items()}
    default_fields = {
        name: request_fields(pool.says, f"pools.{name}.says") for name, pool in pool_tables.items()
    }
    routes = [
        build_route(value, f"routes[{index}]", pools, default_fields)
        for index, value in enumerate(table.routes)
    ]
    try:
        compiled = RoutingTable(routes)
    except RouteError as fault:
        raise ConfigFault(
            f"{', '.join(f'routes.{name}' for name in fault.routes)}: {fault}"
        ) from None
    for route in routes:
        protocol = pools[route.to.pool].protocol
        if protocol != "http":
            raise ConfigFault(
                f"routes.{route.name}.pool: {route.to.pool!r} is a {protocol} pool; "
                "routes are allowed only to http pools"
            )
    spec = Spec(
        table.name,
        listen,
        seed,
        table.process.descriptors,
        table.process.memory_mb << 20,
        pools,
        compiled,
        build_protocols(table, pools),
        table.up.encode(),
        table.process.isolate,
        fleet=build_fleet(table, pool_tables, pools, routes),
    )
    check_descriptors(spec)
    return spec


def check_descriptors(spec: Spec) -> None:
    """Raise ConfigFault if the descriptors left after reservations are too few for the pools."""
    left = (
        spec.sockets
        - reserved_descriptors(spec)
        - min(spec.sockets // REJECTION_DIVISOR, MAX_REJECTION_RESERVE)
    )
    need = MIN_POOL_DESCRIPTORS * len(spec.pools)
    if left < need:
        raise ConfigFault(
            f"process.descriptors: {spec.sockets} leave {left} for {len(spec.pools)} pools, "
            f"which need {need}"
        )


def apply_release(given: Any, released: Any) -> Any:
    """Return a process's own file with the released keys in place of its own.

    Only keys that are the same for the whole fleet may be released; raise ConfigFault otherwise.
    """
    for key in released:
        if key not in RELEASED_KEYS and key != "bank":
            raise ConfigFault(f"released: {key}: belongs into each process's own file")
    fleet = released.get("bank", {})
    if not isinstance(fleet, dict) or not fleet.keys() <= RELEASED_FLEET_KEYS:
        raise ConfigFault(
            f"released: bank: only {' and '.join(sorted(RELEASED_FLEET_KEYS))} are released"
        )
    merged = given | {key: value for key, value in released.items() if key != "bank"}
    return merged | ({"bank": given.get("bank", {}) | fleet} if fleet else {})


def read_release(given: Any) -> bytes | None:
    """Read the release stored in the consensus folder of this file's process; None without one."""
    fleet = given.get("bank")
    agreement = fleet.get("agreement") if isinstance(fleet, dict) else None
    folder = agreement.get("folder") if isinstance(agreement, dict) else None
    if not isinstance(folder, str):
        return None
    from whinpier.fleet.spec import RELEASE_FILE_NAME  # imported only if the fleet is configured

    path = os.path.join(folder, RELEASE_FILE_NAME)
    return read_bounded(path) if os.path.exists(path) else None


def read(path: str, released: bytes | None = None, own: bool = True) -> Spec:
    """Read an operator's file; raise ConfigFault that names the file and the key.

    With `own`, apply the release that the process has stored; otherwise apply `released`, if any.
    """
    try:
        text = read_bounded(path)
        given = tomllib.loads(text.decode("utf-8"))
        released = read_release(given) if own else released
        if released is not None:
            given = apply_release(given, tomllib.loads(released.decode("utf-8")))
            text += released
        revision = hashlib.blake2b(text, digest_size=6).hexdigest()
        return replace(made(given), revision=revision)
    except ConfigFault as fault:
        raise ConfigFault(f"{path}: {fault}") from None
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigFault(f"{path}: {fault}") from None
    except (ArithmeticError, AttributeError, KeyError, TypeError) as fault:
        # A fault that no check covers must not end a running balancer at a reload.
        raise ConfigFault(f"{path}: {type(fault).__name__}: {fault}") from None


class Reader:
    """Read one operator's file, at the start and at each reload."""

    def __init__(self, path: str) -> None:
        """Take the path of the file; nothing is read yet."""
        self.path = path

    def __call__(self) -> Spec:
        """Read the file with the release that the process has stored."""
        return read(self.path)

    def check(self, released: bytes | None) -> Spec:
        """Read the file with another release, or with none."""
        return read(self.path, released, False)


def reader(path: str) -> Callable[[], Spec]:
    """Return a callable that reads the file."""
    return Reader(path)


def changes(old: Spec, new: Spec) -> Iterable[str]:
    """Return the keys that differ and take effect only after a restart.

    These are keys of the process, of its non-HTTP protocols and of the fleet.
    """
    changed: list[str] = kept_till_restart(old, new)
    names = sorted(old.beside.keys() | new.beside.keys())
    for name in names:
        before, after = (
            spec.beside[name].till_restart if name in spec.beside else {} for spec in (old, new)
        )
        changed += [
            f"{name}.{key}" for key in {**before, **after} if before.get(key) != after.get(key)
        ]
    before, after = (spec.fleet.till_restart if spec.fleet else {} for spec in (old, new))
    changed += [f"bank.{key}" for key in {**before, **after} if before.get(key) != after.get(key)]
    return changed


def differences(old: Spec, new: Spec) -> list[str]:
    """Return a line per changed pool key or route, for the log and for `config diff`."""
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
