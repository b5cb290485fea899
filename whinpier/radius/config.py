"""The tables of an operator's file that are about RADIUS: their keys, checks and defaults."""

from __future__ import annotations

import ssl
from ipaddress import IPv4Network
from typing import Annotated, Any, Literal

from msgspec import Meta

from whinpier.config.fields import (
    UNITS,
    Count,
    Duration,
    Strict,
    duration,
    kept_secret,
    named,
    part,
)
from whinpier.config.model import ConfigFault, PoolSpec, address
from whinpier.radius.listeners import StreamSpec, TlsSpec
from whinpier.radius.packet import STATUSES
from whinpier.radius.response_cache import StateSpec
from whinpier.radius.spec import ClientSpec, RadiusSpec, RouteSpec, ServerSpec, normal


class ServersTable(Strict, frozen=True):
    """How the RADIUS servers of a pool are spoken to."""

    secret: str = ""
    secret_file: str = ""
    sign: bool = True
    signed: bool = False
    retransmit: Duration = "500ms"
    retransmissions: Annotated[int, Meta(ge=0, le=10)] = 3
    sockets: Annotated[int, Meta(ge=1, le=64)] = 4
    quarantine: Duration = "10s"


class ClientTable(Strict, frozen=True):
    """Who may send RADIUS packets."""

    networks: list[str] = []
    names: list[str] = []
    secrets: list[str] = []
    secret_files: list[str] = []
    signed: bool = True
    most: Count = 2_000
    kept: Duration | None = None


class RecordRouteTable(Strict, frozen=True, rename={"request_class": "workload"}):
    """Which records go where."""

    name: str
    pool: str
    request_class: str = ""
    realm: str = ""
    statuses: list[Literal["start", "stop", "interim", "on", "off"]] = []
    client: str = ""
    nas: str = ""


class StateTable(Strict, frozen=True):
    """Where what is remembered is kept over restarts."""

    file: str
    sync: Duration = "5ms"
    first: bool = True
    on_fault: Literal["refuse", "go_on"] = "refuse"


class StreamTable(Strict, frozen=True):
    """A listener of TCP, or of TLS where it has a certificate."""

    listen: str
    certificate: str = ""
    key: str = ""
    authorities: str = ""


class RadiusTable(Strict, frozen=True):
    """The RADIUS side."""

    clients: dict[str, Any]
    routes: list[Any]
    listen: list[str] = []
    streams: list[StreamTable] = []
    connections: Annotated[int, Meta(ge=1, le=65_536)] = 64
    idle: Duration = "10m"
    kept: Duration = "30s"
    most: Annotated[int, Meta(ge=256, le=4_000_000)] = 65_536
    records: bool = True
    state: StateTable | None = None


def servers(value: Any, at: str) -> ServerSpec:
    """How a pool's servers are spoken to."""
    given = part(value, ServersTable, at)
    if bool(given.secret) == bool(given.secret_file):
        raise ConfigFault(f"{at}: either secret or secret_file")
    secret = (
        given.secret.encode()
        if given.secret
        else kept_secret(given.secret_file, f"{at}.secret_file")
    )
    return ServerSpec(
        secret,
        given.sign,
        given.signed,
        duration(given.retransmit, f"{at}.retransmit", 10 * UNITS["ms"]),
        given.retransmissions,
        given.sockets,
        duration(given.quarantine, f"{at}.quarantine"),
    )


def front(value: Any, pools: dict[str, PoolSpec]) -> RadiusSpec:
    """The RADIUS side of the process."""
    table = part(value, RadiusTable, "radius")
    listen = [address(text, f"radius.listen[{index}]") for index, text in enumerate(table.listen)]
    given_streams = [
        stream(one, f"radius.streams[{index}]") for index, one in enumerate(table.streams)
    ]
    streams = tuple(spec for spec, _ in given_streams)
    on = [one.listen for one in streams]
    if not listen and not streams or len(set(listen)) < len(listen) or len(set(on)) < len(on):
        raise ConfigFault("radius.listen: names no address, or one twice")
    clients, taken, whose = list[ClientSpec](), dict[IPv4Network, str](), dict[str, str]()
    for name, inner in table.clients.items():
        at = f"radius.clients.{named(name, 'radius.clients')}"
        client = part(inner, ClientTable, at)
        networks = list[IPv4Network]()
        for text in client.networks:
            try:
                network = IPv4Network(text)
            except ValueError as fault:
                raise ConfigFault(f"{at}.networks: {text!r}: {fault}") from None
            if network in taken:
                raise ConfigFault(f"{at}.networks: {text} is {taken[network]}'s")
            taken[network] = name
            networks.append(network)
        secrets = [secret.encode() for secret in client.secrets]
        secrets += [kept_secret(path, f"{at}.secret_files") for path in client.secret_files]
        by_secret = bool(networks or secrets)
        if by_secret and not (networks and secrets and all(secrets) and len(secrets) <= 4):
            raise ConfigFault(f"{at}: needs networks, and one to four secrets that are not empty")
        if not by_secret and not client.names:
            raise ConfigFault(f"{at}: needs networks and secrets, or names in its certificate")
        names = tuple(text.lower() for text in client.names)
        for text in names:
            if text in whose:
                raise ConfigFault(f"{at}.names: {text} is {whose[text]}'s")
            whose[text] = name
        clients.append(
            ClientSpec(
                name,
                tuple(networks),
                tuple(secrets),
                client.signed,
                client.most,
                names,
                duration(client.kept, f"{at}.kept", UNITS["s"]) if client.kept else 0,
            )
        )
    if not clients:
        raise ConfigFault("radius.clients: none is named")
    numbers = {text: number for number, text in STATUSES.items()}
    routes = list[RouteSpec]()
    met, named_so = dict[tuple[str, str, str], list[RouteSpec]](), dict[str, list[RouteSpec]]()
    for index, inner in enumerate(table.routes):
        one = part(inner, RecordRouteTable, f"radius.routes[{index}]")
        at = f"radius.routes.{named(one.name, f'radius.routes[{index}].name')}"
        spec = pools.get(one.pool)
        if spec is None or spec.protocol != "radius":
            raise ConfigFault(f"{at}.pool: {one.pool!r} is no pool that speaks RADIUS")
        kinds = [request_class.name for request_class in spec.request_classes]
        name = one.request_class or (kinds[0] if len(kinds) == 1 else "")
        if name not in kinds:
            raise ConfigFault(f"{at}.workload: {name!r} is none of {', '.join(kinds)}")
        if one.client and one.client not in table.clients:
            raise ConfigFault(f"{at}.client: {one.client!r} is none of {', '.join(table.clients)}")
        found = RouteSpec(
            one.name,
            one.pool,
            name,
            normal(one.realm),
            frozenset(numbers[text] for text in one.statuses),
            one.client,
            one.nas,
        )
        if "*" in found.nas[:-1]:
            raise ConfigFault(f"{at}.nas: {found.nas!r}: a * stands at the end only")
        alike = met.setdefault((found.realm, found.client, found.nas), [])
        for other in [*alike, *named_so.get(found.name, [])]:
            both = found.statuses & other.statuses or found.statuses == other.statuses
            if other.name == found.name or both:
                raise ConfigFault(f"{at}: takes the same records as {other.name}, or has its name")
        alike.append(found)
        named_so[found.name] = [found]
        routes.append(found)
    if not routes:
        raise ConfigFault("radius.routes: none is named")
    return RadiusSpec(
        tuple(listen),
        tuple(clients),
        tuple(sorted(routes, key=RouteSpec.rank)),
        duration(table.kept, "radius.kept", UNITS["s"]),
        table.most,
        table.records,
        streams,
        {spec.listen: context for spec, context in given_streams if context},
        table.connections,
        duration(table.idle, "radius.idle", UNITS["s"]),
        state(table.state),
    )


def stream(table: StreamTable, at: str) -> tuple[StreamSpec, ssl.SSLContext | None]:
    """A listener, with its certificate and key as they are now."""
    listen, files = (
        address(table.listen, f"{at}.listen"),
        (table.certificate, table.key, table.authorities),
    )
    if not any(files):
        return StreamSpec(listen), None
    if not all(files):
        raise ConfigFault(f"{at}: TLS needs certificate, key and authorities")
    tls = TlsSpec(*files)
    return StreamSpec(listen, tls), tls.context(at)


def state(table: StateTable | None) -> StateSpec | None:
    if table is None:
        return None
    if not table.file.startswith("/"):
        raise ConfigFault(f"radius.state.file: {table.file!r} is no whole path, from /")
    return StateSpec(
        table.file,
        duration(table.sync, "radius.state.sync", UNITS["ms"]),
        table.first,
        table.on_fault == "refuse",
    )
