"""Says what a packet is and what becomes of it under a configuration, step by step. Free of I/O.

Must judge by the same functions as the front, and show no secret.
"""

from __future__ import annotations

from typing import Any

from whinpier.radius import deduplication
from whinpier.radius import packet as wire
from whinpier.radius.client_table import Clients, Routes
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.spec import RadiusSpec, realm_of

CODES = {
    wire.ACCOUNTING_REQUEST: "Accounting-Request",
    wire.ACCOUNTING_RESPONSE: "Accounting-Response",
    wire.STATUS_SERVER: "Status-Server",
}
# Names and forms of the attributes that decide or are often seen (RFC 2865, 2866, 2869); others by
# number.
TEXT, NUMBER, ADDRESS, BYTES = "text", "number", "address", "bytes"
NAMES = {
    1: ("User-Name", TEXT),
    4: ("NAS-IP-Address", ADDRESS),
    5: ("NAS-Port", NUMBER),
    6: ("Service-Type", NUMBER),
    8: ("Framed-IP-Address", ADDRESS),
    25: ("Class", BYTES),
    30: ("Called-Station-Id", TEXT),
    31: ("Calling-Station-Id", TEXT),
    32: ("NAS-Identifier", TEXT),
    33: ("Proxy-State", BYTES),
    40: ("Acct-Status-Type", NUMBER),
    41: ("Acct-Delay-Time", NUMBER),
    42: ("Acct-Input-Octets", NUMBER),
    43: ("Acct-Output-Octets", NUMBER),
    44: ("Acct-Session-Id", TEXT),
    46: ("Acct-Session-Time", NUMBER),
    55: ("Event-Timestamp", NUMBER),
    80: ("Message-Authenticator", BYTES),
    95: ("NAS-IPv6-Address", BYTES),
}


def read(kind: int, value: bytes) -> tuple[str, str]:
    """Name and value of an attribute, as far as it is known; bytes in hexadecimal."""
    name, form = NAMES.get(kind, (f"attribute {kind}", BYTES))
    if form == NUMBER and len(value) == 4:
        number = int.from_bytes(value, "big")
        known = wire.STATUSES.get(number) if kind == wire.STATUS_TYPE else None
        return name, f"{number} ({known})" if known else str(number)
    if form == ADDRESS and len(value) == 4:
        return name, ".".join(map(str, value))
    if form == TEXT:
        text = value.decode("utf-8", "replace")
        return name, text if text.isprintable() else value.hex()
    return name, value.hex()


def explain(spec: RadiusSpec, data: bytes, source: str) -> dict[str, Any]:
    """What a datagram from an address is, each step that it passes, and its route or why it is refused."""
    found: dict[str, Any] = {
        "bytes": len(data),
        "source": source,
        "attributes": [],
        "steps": [],
        "refused": None,
        "route": None,
    }

    def step(what: str, told: str) -> None:
        found["steps"].append({"step": what, "told": told})

    try:
        client = Clients(spec.clients).of(source)
        if client is None:
            raise BadPacket(f"{source} is in no client's network")
        step("client", client.name)
        packet = wire.parse(data)
        found["attributes"] = [list(read(kind, value)) for kind, value in packet.attributes]
        step(
            "packet",
            f"{CODES.get(packet.code, f'code {packet.code}')}, identifier {packet.id}, "
            f"{len(packet.attributes)} attributes",
        )
        number = wire.proved_by(packet, data, client.secrets, client.signed)
        step(
            "proof",
            f"by secret {number + 1} of {len(client.secrets)}"
            + (", signed" if packet.first(wire.MESSAGE_AUTHENTICATOR) else ", not signed"),
        )
        if packet.code == wire.STATUS_SERVER:
            step("answer", "at once, if this end is ready")
            return found
        wire.check_record(packet)
        step(
            "record",
            recognised(packet, client.name) if spec.records else "known by its packet only",
        )
        route = Routes(spec.routes).of(packet, client.name)
        if route is None:
            raise BadPacket(
                f"no route takes realm {realm_of(packet)!r}, "
                f"status {packet.number(wire.STATUS_TYPE)}"
            )
        found["route"] = route.name
        step("route", f"{route.name}: pool {route.pool}, workload {route.request_class}")
    except BadPacket as bad:
        found["refused"] = str(bad)
    return found


def recognised(packet: Packet, client: str) -> str:
    """Whether a later try in other words is known as the same record."""
    if deduplication.record_key(packet, client) is not None:
        return "known again in other words, by NAS, session, status and moment"
    return "known by its packet only: it lacks NAS or session, or an update its Event-Timestamp"
