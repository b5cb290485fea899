"""Plain types of what is configured: the process, its pools, their lists. Reads no file, decides
nothing.
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
LATEST = (
    2**53
)  # milliseconds: what JSON numbers hold exactly; later times would only upset arithmetic
CONFIGURED = (
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
)  # of a request class
KEPT_TILL_RESTART = ("name", "listen", "seed", "sockets", "memory", "isolate")  # of a process
PLATFORM = "all"  # the one pool of a process without an operator's file


class ConfigFault(Exception):
    """What is configured cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One upstream of a list, as discovery, `known` or the operator's file give it."""

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
    """What one pool may have of the process; None: no limit of its own."""

    guaranteed: float = 1.0  # the part of descriptors, bodies and CPU that it always has
    requests: int | None = None  # without an answer
    connections: int | None = None  # to upstreams
    bodies: int | None = None  # bytes of requests and answers held


@dataclass(frozen=True, slots=True)
class Fields:
    """Which headers of a request say what; empty: none does. Names are in lower case."""

    txn: bytes = b"x-txn"
    remaining: bytes = b"x-remaining"
    ticket: bytes = b"idempotency-key"
    key: bytes = b"x-entity"
    tenant: bytes = b"x-org"
    repeat: bytes = b"x-resent"
    query_key: bytes = b"obj"  # a part of the query that gives the key, before the header
    optional: bool = False  # whether a request may leave out its id and its timeout

    @property
    def once(self) -> frozenset[bytes]:
        """Of two, which would hold?"""
        return frozenset((self.txn, self.remaining, self.ticket, b"x-lane", b"host")) - {b""}


@dataclass(frozen=True)
class PoolSpec:
    """One pool: its decisions' settings, where its list comes from, what it may use."""

    name: str
    settings: dict[str, Any]
    request_classes: list[RequestClass]
    zones: list[str]
    kinds: list[str]
    tenants: list[str]
    connect_limit: int
    idle_limit: int
    discovery: Address | None = None  # None: the list is `known`
    known: list[Entry] = field(default_factory=list)
    seq: int | None = None
    limits: Limits = Limits()
    passed_on: frozenset[int] = frozenset((200,))  # statuses that are an answer, not an error
    protocol: str = "http"
    server: object = None  # how its servers are spoken to, where its protocol has more to say


def kept_till_restart(old: Spec, new: Spec) -> list[str]:
    """Which keys of the process differ and wait for a restart. A seed that is not given is no change."""
    return [
        key for key in KEPT_TILL_RESTART if key != "seed" and getattr(old, key) != getattr(new, key)
    ]


def differs(old: PoolSpec, new: PoolSpec) -> list[str]:
    """Which keys of a pool differ; request classes by what is configured of them, not by what is known."""
    found = [
        key.name
        for key in fields(PoolSpec)
        if key.name != "request_classes" and getattr(old, key.name) != getattr(new, key.name)
    ]
    told = [
        [
            tuple(getattr(request_class, key) for key in CONFIGURED)
            for request_class in spec.request_classes
        ]
        for spec in (old, new)
    ]
    return found + ["workloads"] * (told[0] != told[1])


class Listener(Protocol):
    """A listener of streams, whatever else it has."""

    @property
    def listen(self) -> Address: ...


class Beside(Protocol):
    """What a protocol beside HTTP is configured by; only that protocol knows more of it."""

    @property
    def listen(self) -> tuple[Address, ...]:
        """Where its clients send datagrams."""

    @property
    def streams(self) -> Sequence[Listener]:
        """Where its clients connect."""

    @property
    def descriptors(self) -> int:
        """What its clients and listeners may hold."""

    @property
    def till_restart(self) -> dict[str, object]:
        """What of it a reload leaves as it is, by key."""


class Together(Protocol):
    """What the part of a process that knows other processes is configured by; only that part
    knows more.
    """

    @property
    def descriptors(self) -> int:
        """What it may hold."""

    @property
    def till_restart(self) -> dict[str, object]:
        """What of it a reload leaves as it is, by key."""

    def kept(self, old: object) -> Together:
        """This one as a process can be run by it that was started by an old one."""


@dataclass(frozen=True)
class Spec:
    """The process."""

    name: str
    listen: list[Address]
    seed: int
    sockets: int
    memory: int  # bytes
    pools: dict[str, PoolSpec]
    table: RoutingTable | None = None  # of the operator's routes; None on the platform
    beside: dict[str, Beside] = field(default_factory=dict)  # by the protocol's name
    up: bytes = b"/up"  # where a front asks whether this balancer is ready
    isolate: bool = True  # whether pools have guaranteed parts
    not_honoured: list[str] = field(
        default_factory=list
    )  # settings that the protocol has no way for
    fleet: Together | None = None  # how it knows the other processes; None: not at all
    revision: str = ""  # of the operator's file, by its content

    @property
    def routed(self) -> bool:
        """Whether an operator's file says what goes where."""
        return self.table is not None


def address(text: Any, key: str) -> Address:
    host, mark, port = str(text).rpartition(":")
    if not (
        isinstance(text, str)
        and mark
        and host
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65536
    ):
        raise ConfigFault(f"{key}: {text!r} is not HOST:PORT")
    try:
        # Guards against a name: looking it up would stop the loop at every connection.
        return str(IPv4Address(host)), int(port)
    except AddressValueError:
        raise ConfigFault(f"{key}: {text!r} is no IPv4 address") from None


def entries(hosts: Any) -> list[Entry]:
    """The entries of a list in discovery's form, all or none."""
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
        for entry in found:
            latest = LATEST * 1_000_000
            if not (
                isfinite(entry.size) and 0 <= entry.started < latest and abs(entry.cell) < LATEST
            ):
                raise ValueError(f"a figure of {entry.host!r} is out of bounds")
        return found
    except (ConfigFault, AttributeError, KeyError, TypeError, ValueError, OverflowError) as fault:
        raise ConfigFault(f"hosts: {type(fault).__name__}: {fault}") from None
