"""Data types of the configuration: the process, its pools and their upstream lists.

This module reads no files and makes no balancing decisions.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from ipaddress import AddressValueError, IPv4Address
from math import isfinite
from typing import TYPE_CHECKING, Any, Protocol

from whinpier.policy.model import RequestClass, UpstreamState

if TYPE_CHECKING:
    from whinpier.routing.table import RoutingTable

Address = tuple[str, int]
STATES = {
    "up": UpstreamState.READY,
    "draining": UpstreamState.DRAINING,
    "removed": UpstreamState.REMOVED,
}
# The largest integer that JSON numbers hold exactly. Start times (milliseconds) and cells above it
# are rejected because arithmetic on them would be inexact.
MAX_JSON_INTEGER = 2**53
# The fields of a request class that come from the configuration; the policy sets the others.
CONFIGURED_FIELDS = (
    "name",
    "kind",
    "latency_objective",
    "timeout",
    "priority_weight",
    "late_priority_weight",
    "group",
    "window",
    "streamed",
    "stretch",
)
# The fields of Spec that a reload leaves unchanged.
KEPT_TILL_RESTART = ("name", "listen", "seed", "sockets", "memory", "isolate")
PLATFORM_POOL = "all"  # the only pool of a process without an operator's file


class ConfigFault(Exception):
    """Report an invalid configuration; the text names the key."""


@dataclass(frozen=True, slots=True)
class Entry:
    """Describe one upstream of a list from discovery, `known` or the operator's file.

    `started` is in nanoseconds.
    """

    host: str
    dial: Address
    state: UpstreamState
    zone: str
    shape: str
    cell: int
    size: float
    started: int


@dataclass(frozen=True)
class Limits:
    """Hold the limits of one pool within the process; None means no limit of its own."""

    guaranteed: float = 1.0  # the fraction of descriptors, bodies and CPU reserved for the pool
    requests: int | None = None  # not yet answered
    connections: int | None = None  # to upstreams
    bodies: int | None = None  # bytes of buffered requests and responses


@dataclass(frozen=True, slots=True)
class Fields:
    """Name the request headers that carry each value, in lower case; empty means no header does."""

    txn: bytes = b"x-txn"
    remaining: bytes = b"x-remaining"
    ticket: bytes = b"idempotency-key"
    key: bytes = b"x-entity"
    tenant: bytes = b"x-org"
    repeat: bytes = b"x-resent"
    query_key: bytes = b"obj"  # the query parameter that gives the key; it precedes the header
    optional: bool = False  # whether a request may omit its id and its timeout

    @property
    def once(self) -> frozenset[bytes]:
        """Return the headers that may occur only once, since two values would be ambiguous."""
        return frozenset((self.txn, self.remaining, self.ticket, b"x-lane", b"host")) - {b""}


@dataclass(frozen=True)
class PoolSpec:
    """Configure one pool: its policy settings, the source of its upstream list and its limits.

    `connect_limit` and `idle_limit` are in nanoseconds.
    """

    name: str
    settings: dict[str, Any]
    request_classes: list[RequestClass]
    zones: list[str]
    kinds: list[str]
    tenants: list[str]
    connect_limit: int
    idle_limit: int
    discovery: Address | None = None  # None: `known` is the whole list
    known: list[Entry] = field(default_factory=list)
    seq: int | None = None
    limits: Limits = Limits()
    passed_on: frozenset[int] = frozenset((200,))  # statuses of successful responses
    protocol: str = "http"
    server: object = None  # options of its protocol for the upstreams, if it has any


def kept_till_restart(old: Spec, new: Spec) -> list[str]:
    """Return the fields of the process that differ and take effect only after a restart.

    The seed is left out: without a configured one, each read draws another.
    """
    return [
        key for key in KEPT_TILL_RESTART if key != "seed" and getattr(old, key) != getattr(new, key)
    ]


def differs(old: PoolSpec, new: PoolSpec) -> list[str]:
    """Return the keys of a pool that differ.

    Request classes are compared by their configured fields, not by their statistics.
    """
    changed = [
        key.name
        for key in fields(PoolSpec)
        if key.name != "request_classes" and getattr(old, key.name) != getattr(new, key.name)
    ]
    configured = [
        [
            tuple(getattr(request_class, key) for key in CONFIGURED_FIELDS)
            for request_class in spec.request_classes
        ]
        for spec in (old, new)
    ]
    return changed + ["workloads"] * (configured[0] != configured[1])


class Listener(Protocol):
    """Describe a stream listener by its address."""

    @property
    def listen(self) -> Address:
        """Return the address that it listens on."""


class ProtocolConfig(Protocol):
    """Describe what the process needs to know of a non-HTTP protocol's configuration."""

    @property
    def listen(self) -> tuple[Address, ...]:
        """Return the addresses that receive datagrams from clients."""

    @property
    def streams(self) -> Sequence[Listener]:
        """Return the stream listeners that clients connect to."""

    @property
    def descriptors(self) -> int:
        """Return how many file descriptors its clients and listeners may hold."""

    @property
    def till_restart(self) -> dict[str, object]:
        """Return the values that a reload leaves unchanged, by key."""


class FleetConfig(Protocol):
    """Describe what the process needs to know of the fleet configuration."""

    @property
    def descriptors(self) -> int:
        """Return how many file descriptors it may hold."""

    @property
    def till_restart(self) -> dict[str, object]:
        """Return the values that a reload leaves unchanged, by key."""

    def kept(self, old: object) -> FleetConfig:
        """Return this configuration with the values that need a restart taken from `old`."""


@dataclass(frozen=True)
class Spec:
    """Configure the process."""

    name: str
    listen: list[Address]
    seed: int
    sockets: int
    memory: int  # bytes
    pools: dict[str, PoolSpec]
    table: RoutingTable | None = None  # the operator's routes; None on the platform
    beside: dict[str, ProtocolConfig] = field(default_factory=dict)  # non-HTTP protocols, by name
    up: bytes = b"/up"  # the path of the readiness check
    isolate: bool = True  # whether resources are reserved for each pool
    # Settings that were ignored because the protocol cannot do what they ask for.
    not_honoured: list[str] = field(default_factory=list)
    fleet: FleetConfig | None = None  # None: the process is not a member of a fleet
    revision: str = ""  # a hash of the operator's file

    @property
    def routed(self) -> bool:
        """Return whether requests are routed by an operator's file."""
        return self.table is not None


def address(text: Any, key: str) -> Address:
    """Parse `HOST:PORT` with an IPv4 host; raise ConfigFault that names `key` otherwise."""
    host, separator, port = str(text).rpartition(":")
    if not (
        isinstance(text, str)
        and separator
        and host
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65536
    ):
        raise ConfigFault(f"{key}: {text!r} is not HOST:PORT")
    try:
        # Host names are refused: resolving one would block the event loop at each connection.
        return str(IPv4Address(host)), int(port)
    except AddressValueError:
        raise ConfigFault(f"{key}: {text!r} is no IPv4 address") from None


def entries(hosts: Any) -> list[Entry]:
    """Parse an upstream list in the form that discovery sends.

    Raise ConfigFault if any entry is invalid.
    """
    try:
        found = [
            Entry(
                str(host["host"]),
                address(host["dial"], "dial"),
                STATES[host["health"]],
                str(host.get("site", "")),
                str(host.get("class", "")),
                int(host.get("block", 0)),
                float(host.get("share", 1.0)),
                int(host.get("born_ms", 0)) * 1_000_000,
            )
            for host in hosts
        ]
        max_started = MAX_JSON_INTEGER * 1_000_000
        for entry in found:
            if not (
                isfinite(entry.size)
                and 0 <= entry.started < max_started
                and abs(entry.cell) < MAX_JSON_INTEGER
            ):
                raise ValueError(f"a figure of {entry.host!r} is out of bounds")
        return found
    except (ConfigFault, AttributeError, KeyError, TypeError, ValueError, OverflowError) as fault:
        raise ConfigFault(f"hosts: {type(fault).__name__}: {fault}") from None
