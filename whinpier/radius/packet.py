"""RADIUS packets: bytes to types and back, and the authenticators that prove them.

Owns what a packet may look like (RFC 2865, section 3) and how it is proved (RFC 2866, section 3;
RFC 2869, section 5.14, with RFC 5080, section 2.2.2). Must never raise anything but a BadPacket for
bytes from the network, or compare a proof in a time that tells how far it was right.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from contextlib import suppress
from dataclasses import dataclass, field

ACCOUNTING_REQUEST, ACCOUNTING_RESPONSE, STATUS_SERVER = 4, 5, 12
LEAST, MOST = 20, 4096  # bytes of a packet
NOTHING = bytes(16)

USER_NAME, NAS_IP, NAS_PORT, CLASS, NAS_IDENTIFIER, PROXY_STATE = 1, 4, 5, 25, 32, 33
STATUS_TYPE, DELAY_TIME, SESSION_ID, EVENT_TIMESTAMP, MESSAGE_AUTHENTICATOR = 40, 41, 44, 55, 80
NAS_IPV6 = 95
START, STOP, INTERIM, ON, OFF = 1, 2, 3, 7, 8  # values of Acct-Status-Type
STATUSES = {START: "start", STOP: "stop", INTERIM: "interim", ON: "on", OFF: "off"}
# What decides, with the bytes that it has; 0: any number but none.
LENGTHS = {
    USER_NAME: 0,
    NAS_IP: 4,
    NAS_IDENTIFIER: 0,
    STATUS_TYPE: 4,
    DELAY_TIME: 4,
    SESSION_ID: 0,
    EVENT_TIMESTAMP: 4,
    NAS_IPV6: 16,
}
MOST_PROXIES = 8  # Proxy-States in a packet: more is a loop


class BadPacket(Exception):
    """Bytes that are no packet, or one that is not proved; the text says why. They are met with
    silence.
    """


@dataclass(slots=True)
class Packet:
    """One packet; attributes in their order, as type and value."""

    code: int
    id: int
    authenticator: bytes = NOTHING
    attributes: list[tuple[int, bytes]] = field(default_factory=list)

    def first(self, kind: int) -> bytes | None:
        return next((value for given, value in self.attributes if given == kind), None)

    def all(self, kind: int) -> list[bytes]:
        return [value for given, value in self.attributes if given == kind]

    def number(self, kind: int) -> int | None:
        """The value of an integer attribute; None where it is missing or has another length."""
        value = self.first(kind)
        return int.from_bytes(value, "big") if value is not None and len(value) == 4 else None

    def pack(self) -> bytes:
        """Its bytes, with the authenticator that it has. Raises ValueError for what fits in no packet."""
        parts = []
        for kind, value in self.attributes:
            if not 0 < kind < 256 or len(value) > 253:
                raise ValueError(f"attribute {kind} of {len(value)} bytes")
            parts.append(bytes((kind, len(value) + 2)) + value)
        body = b"".join(parts)
        if LEAST + len(body) > MOST:
            raise ValueError(f"a packet of {LEAST + len(body)} bytes")
        return (
            struct.pack("!BBH16s", self.code, self.id, LEAST + len(body), self.authenticator) + body
        )


def parse(data: bytes) -> Packet:
    """The packet that a datagram holds. What stands behind its length is padding (RFC 2865, 3)."""
    if len(data) < LEAST:
        raise BadPacket("shorter than a head")
    code, number, length, authenticator = struct.unpack_from("!BBH16s", data)
    if not LEAST <= length <= MOST:
        raise BadPacket(f"a length of {length}")
    if length > len(data):
        raise BadPacket("cut short")
    attributes, at = list[tuple[int, bytes]](), LEAST
    while at < length:
        if length - at < 2:
            raise BadPacket("half an attribute")
        kind, size = data[at], data[at + 1]
        if size < 2 or at + size > length:
            raise BadPacket(f"attribute {kind} of length {size}")
        if kind == 0:
            raise BadPacket("an attribute of no type")
        attributes.append((kind, data[at + 2 : at + size]))
        at += size
    return Packet(code, number, authenticator, attributes)


def sealed(packet: Packet, secret: bytes, message: bool) -> bytes:
    """An Accounting-Request with its proof; `message`: with a Message-Authenticator at its front."""
    packet.authenticator = NOTHING
    if message:
        sign(packet, secret, NOTHING)
    data = packet.pack()
    packet.authenticator = hashlib.md5(data + secret).digest()
    return data[:4] + packet.authenticator + data[LEAST:]


def answer(
    request: Packet,
    secret: bytes,
    message: bool,
    code: int = ACCOUNTING_RESPONSE,
    attributes: list[tuple[int, bytes]] | None = None,
) -> bytes:
    """The answer to a request: its identifier, its Proxy-States in their order, and the proof."""
    states = [(PROXY_STATE, value) for value in request.all(PROXY_STATE)]
    given = [
        pair for pair in attributes or [] if pair[0] not in (PROXY_STATE, MESSAGE_AUTHENTICATOR)
    ]
    reply = Packet(code, request.id, request.authenticator, given + states)
    if message:
        sign(reply, secret, request.authenticator)
    data = reply.pack()
    return data[:4] + hashlib.md5(data + secret).digest() + data[LEAST:]


def sign(packet: Packet, secret: bytes, authenticator: bytes) -> None:
    """Put a Message-Authenticator first, so that nothing chosen stands before it, over the
    packet with it.
    """
    rest = [pair for pair in packet.attributes if pair[0] != MESSAGE_AUTHENTICATOR]
    packet.attributes = [(MESSAGE_AUTHENTICATOR, NOTHING), *rest]
    whole = Packet(packet.code, packet.id, authenticator, packet.attributes).pack()
    packet.attributes[0] = (MESSAGE_AUTHENTICATOR, hmac.new(secret, whole, "md5").digest())


def check_message(packet: Packet, secret: bytes, authenticator: bytes, needed: bool) -> None:
    """Raises BadPacket where the Message-Authenticator is wrong, there twice, or missing though needed."""
    found = packet.all(MESSAGE_AUTHENTICATOR)
    if not found:
        if needed:
            raise BadPacket("no Message-Authenticator")
        return
    if len(found) > 1 or len(found[0]) != 16:
        raise BadPacket("a Message-Authenticator that can be read two ways")
    zeroed = [
        (kind, NOTHING if kind == MESSAGE_AUTHENTICATOR else value)
        for kind, value in packet.attributes
    ]
    whole = Packet(packet.code, packet.id, authenticator, zeroed).pack()
    if not hmac.compare_digest(hmac.new(secret, whole, "md5").digest(), found[0]):
        raise BadPacket("a Message-Authenticator that is wrong")


def check_request(packet: Packet, data: bytes, secret: bytes, needed: bool) -> None:
    """Whether a request is proved. Raises BadPacket; `needed`: it must have a Message-Authenticator."""
    if packet.code == STATUS_SERVER:
        check_message(packet, secret, packet.authenticator, True)  # RFC 5997, section 4.2
        return
    if packet.code != ACCOUNTING_REQUEST:
        raise BadPacket(f"code {packet.code} is none that is asked here")
    length = int.from_bytes(data[2:4], "big")
    due = hashlib.md5(data[:4] + NOTHING + data[LEAST:length] + secret).digest()
    if not hmac.compare_digest(due, packet.authenticator):
        raise BadPacket("an authenticator that is wrong: another secret, or changed on its way")
    check_message(packet, secret, NOTHING, needed)


def proved_by(packet: Packet, data: bytes, secrets: tuple[bytes, ...], needed: bool) -> int:
    """Which of the secrets that hold just now a request is proved by. Raises BadPacket where none is."""
    for number, secret in enumerate(secrets[:-1]):
        with suppress(BadPacket):
            check_request(packet, data, secret, needed)
            return number
    check_request(packet, data, secrets[-1], needed)
    return len(secrets) - 1


def check_record(packet: Packet) -> None:
    """Raises BadPacket for a record that can be read two ways, before anything of it is remembered.

    What decides (whose record it is, of which session, what it tells) is there once, of the length
    that its type has (RFC 2866, section 5.13).
    """
    if len(packet.all(PROXY_STATE)) > MOST_PROXIES:
        raise BadPacket("more proxies than a way has: a loop")
    met: set[int] = set()
    for kind, value in packet.attributes:
        if kind in LENGTHS:
            if kind in met:
                raise BadPacket(f"attribute {kind}, which decides, comes twice")
            met.add(kind)
            if LENGTHS[kind] and len(value) != LENGTHS[kind] or not value:
                raise BadPacket(f"attribute {kind} has {len(value)} bytes")
    if STATUS_TYPE not in met:
        raise BadPacket("no Acct-Status-Type")


def check_answer(packet: Packet, data: bytes, asked: Packet, secret: bytes, needed: bool) -> None:
    """Whether an answer is proved, and is one to what was asked. Raises BadPacket."""
    if packet.code != ACCOUNTING_RESPONSE:
        raise BadPacket(f"code {packet.code} is no answer")
    if packet.id != asked.id:
        raise BadPacket("an answer to another identifier")
    length = int.from_bytes(data[2:4], "big")
    due = hashlib.md5(data[:4] + asked.authenticator + data[LEAST:length] + secret).digest()
    if not hmac.compare_digest(due, packet.authenticator):
        raise BadPacket("an answer whose authenticator is wrong")
    check_message(packet, secret, asked.authenticator, needed)
