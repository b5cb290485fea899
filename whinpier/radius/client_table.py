"""Which client a datagram is from and which route takes a record, compiled: the cost grows with
neither.

Owns the order of routes: the most specific realm first, then the client, the NAS, the status. Free
of I/O; the same answer as trying each in that order, which is what its properties are tested
against.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from ipaddress import IPv4Address

from whinpier.radius import packet as wire
from whinpier.radius.packet import Packet
from whinpier.radius.spec import ClientSpec, RouteSpec, realm_of


class Clients:
    """Clients by the networks that they send from; the narrowest that holds an address wins."""

    def __init__(self, clients: Iterable[ClientSpec]) -> None:
        found: dict[int, dict[int, ClientSpec]] = {}
        for client in clients:
            for network in client.networks:
                found.setdefault(network.prefixlen, {})[int(network.network_address)] = client
        # What is left of an address of each width, the narrowest networks first: 33 look-ups at the
        # most.
        self.widths = [
            ((1 << 32) - (1 << (32 - width)), found[width]) for width in sorted(found, reverse=True)
        ]

    def of(self, address: str) -> ClientSpec | None:
        number = int(IPv4Address(address))
        for mask, networks in self.widths:
            if (client := networks.get(number & mask)) is not None:
                return client
        return None


class Places:
    """Routes of one realm and client, by NAS: its whole name, the longest prefix, none."""

    def __init__(self) -> None:
        self.exact: dict[str, list[RouteSpec]] = {}
        self.prefixes: dict[int, dict[str, list[RouteSpec]]] = {}
        self.any: list[RouteSpec] = []

    def add(self, route: RouteSpec) -> None:
        if not route.nas:
            self.any.append(route)
        elif route.nas.endswith("*"):
            prefix = route.nas[:-1]
            self.prefixes.setdefault(len(prefix), {}).setdefault(prefix, []).append(route)
        else:
            self.exact.setdefault(route.nas, []).append(route)

    def ready(self) -> None:
        """The longest prefixes first."""
        self.prefixes = {
            length: self.prefixes[length] for length in sorted(self.prefixes, reverse=True)
        }

    def of(self, nas: str) -> Iterator[list[RouteSpec]]:
        if found := self.exact.get(nas):
            yield found
        for length, prefixes in self.prefixes.items():
            if found := prefixes.get(nas[:length]):
                yield found
        yield self.any


class Routes:
    """All routes."""

    def __init__(self, routes: Iterable[RouteSpec]) -> None:
        self.realms: dict[str, dict[str, Places]] = {}
        for route in sorted(routes, key=RouteSpec.rank):
            self.realms.setdefault(route.realm, {}).setdefault(route.client, Places()).add(route)
        for clients in self.realms.values():
            for places in clients.values():
                places.ready()

    def of(self, packet: Packet, client: str) -> RouteSpec | None:
        """The most specific route that takes a record."""
        nas = (packet.first(wire.NAS_IDENTIFIER) or b"").decode("utf-8", "replace")
        status = packet.number(wire.STATUS_TYPE)
        for name in self.names(realm_of(packet)):
            clients = self.realms.get(name)
            if clients is None:
                continue
            for whose in (client, ""):
                if (places := clients.get(whose)) is None:
                    continue
                for routes in places.of(nas):
                    for (
                        route
                    ) in routes:  # those that name statuses come first; a status has one route
                        if not route.statuses or status in route.statuses:
                            return route
        return None

    @staticmethod
    def names(realm: str) -> Iterator[str]:
        """What a realm may be found by: its name, each `*.` that holds it, nothing."""
        if realm:
            yield realm
        at = realm.find(".")
        while at >= 0:
            yield "*" + realm[at:]
            at = realm.find(".", at + 1)
        yield ""
