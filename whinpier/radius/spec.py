"""Plain types of what is configured for RADIUS, and what a route takes. Reads no file."""

from __future__ import annotations

import ssl
import unicodedata
from dataclasses import dataclass, field
from ipaddress import IPv4Network

from whinpier.config.model import Address
from whinpier.policy.decaying_sum import SECOND
from whinpier.radius import packet as wire
from whinpier.radius.listeners import StreamSpec
from whinpier.radius.packet import Packet
from whinpier.radius.response_cache import StateSpec


@dataclass(frozen=True)
class ClientSpec:
    """Who may send: addresses, the secrets that hold just now (two during a change), how strictly."""

    name: str
    networks: tuple[IPv4Network, ...]
    secrets: tuple[bytes, ...]
    signed: bool = True  # a Message-Authenticator is needed, against forged packets
    most: int = 2_000  # packets a second that are looked at
    names: tuple[str, ...] = ()  # in its certificate, of which one is enough
    kept: int = 0  # nanoseconds that its answers are given again; 0: as the whole says


@dataclass(frozen=True)
class ServerSpec:
    """How a pool's servers are spoken to."""

    secret: bytes
    sign: bool = True  # packets to them have a Message-Authenticator
    signed: bool = False  # and answers need one
    retransmit: int = SECOND // 2
    retransmissions: int = 3
    sockets: int = 4  # each of 256 identifiers
    quarantine: int = 10 * SECOND


@dataclass(frozen=True)
class RouteSpec:
    """Which records go where; the first that fits, in the file's order as it was sorted by its checks."""

    name: str
    pool: str
    request_class: str
    realm: str = ""  # after the @ of the user's name; `*.x` for any below; empty: any
    statuses: frozenset[int] = frozenset()
    client: str = ""
    nas: str = ""  # `bsc-*`: any whose name begins so

    def rank(self) -> tuple[int, ...]:
        """The most specific first."""
        by_realm = 2 if not self.realm else 1 if self.realm.startswith("*.") else 0
        by_nas = 2 if not self.nas else 1 if self.nas.endswith("*") else 0
        return (
            by_realm,
            -len(self.realm),
            not self.client,
            by_nas,
            -len(self.nas),
            not self.statuses,
        )

    def takes(self, packet: Packet, client: str) -> bool:
        """What it means that a route takes a record; `table.py` finds the first that does."""
        if self.client and self.client != client:
            return False
        if self.statuses and packet.number(wire.STATUS_TYPE) not in self.statuses:
            return False
        nas = (packet.first(wire.NAS_IDENTIFIER) or b"").decode("utf-8", "replace")
        if self.nas and not (
            nas.startswith(self.nas[:-1]) if self.nas.endswith("*") else nas == self.nas
        ):
            return False
        realm = realm_of(packet)
        if not self.realm:
            return True
        return (
            realm.endswith(self.realm[1:]) if self.realm.startswith("*.") else realm == self.realm
        )


def realm_of(packet: Packet) -> str:
    """The realm of the user's name, after the last @, in one form; empty where it has none."""
    name = packet.first(wire.USER_NAME) or b""
    return normal(name.rpartition(b"@")[2].decode("utf-8", "replace")) if b"@" in name else ""


def normal(realm: str) -> str:
    """One form of a realm's name (RFC 7542, 2.3): composed, in small letters, no dot at its end."""
    return unicodedata.normalize("NFC", realm).lower().removesuffix(".")


@dataclass(frozen=True)
class RadiusSpec:
    """The RADIUS side of a process."""

    listen: tuple[Address, ...]
    clients: tuple[ClientSpec, ...]
    routes: tuple[RouteSpec, ...]  # the most specific first
    kept: int = 30 * SECOND  # how long an answer is given again
    most: int = 65_536  # requests that are remembered
    records: bool = True  # whether a record is known again by what it says
    streams: tuple[StreamSpec, ...] = ()  # listeners of TCP and TLS
    contexts: dict[Address, ssl.SSLContext] = field(
        default_factory=dict, compare=False
    )  # of those with TLS
    connections: int = 64  # on all of them together
    idle: int = 600 * SECOND  # after which a connection that says nothing ends
    state: StateSpec | None = None  # where what is remembered is kept over restarts

    @property
    def till_restart(self) -> dict[str, object]:
        return {
            "listen": self.listen,
            "state": self.state,
            "connections": self.connections,
            "streams": tuple((one.listen, one.tls is None) for one in self.streams),
        }

    @property
    def descriptors(self) -> int:
        return len(self.listen) + len(self.streams) + (self.connections if self.streams else 0)
