"""The simulator's wire: frames, records, settings. Wire words and microseconds stop here."""

from __future__ import annotations

import math
from collections.abc import Iterator
from struct import Struct
from typing import Any, BinaryIO

from whinpier.policy import model
from whinpier.policy.model import WireError
from whinpier.settings import NS_PER_US, parse_settings

BATCH = Struct("<IIIQ")
REPLY = Struct("<III")
RECORD = Struct("<BI")
FLOATS = [Struct(f"<{n}f") for n in range(256)]

# Event codes.
UP, ROSTER, TARGETS, INGRESS, DESTROY, CLIENT_LEFT = 90, 10, 100, 50, 80, 40
DATAGRAM, BELL, RESOLVED, SAMPLED, OPENED = 20, 60, 70, 30, 110

# The fixed fields of each event, in order.
FIELDS = {
    UP: Struct("<IQI"),
    ROSTER: Struct("<II"),
    TARGETS: Struct("<IBII"),
    INGRESS: Struct("<IIBQIQBI"),
    DESTROY: Struct("<I"),
    CLIENT_LEFT: Struct("<II"),
    DATAGRAM: Struct("<IHH"),
    BELL: Struct("<IQ"),
    RESOLVED: Struct("<IIHIHIBB"),
    SAMPLED: Struct("<IHIIB"),
    OPENED: Struct("<IIIHI"),
}
ENTRY = Struct("<BIHQfHH")

# Actions, each with its record header in front.
ISSUE, PUSH_BACK, SET_ALARM = Struct("<BIIIIQ"), Struct("<BIIII"), Struct("<BIIQQ")
STREAM_CHANGES, DROP_CONNS, SNAPSHOT = Struct("<BIIB"), Struct("<BIII"), Struct("<BII")
SOUND_OUT, WITHDRAW, GIVE_UP = Struct("<BIII"), Struct("<BIIIH"), Struct("<BIII")
TEXT, SIGNAL = Struct("<BIIH"), Struct("<BIIIH")
EMIT_CODE, FATAL_CODE = 90, 50

SCOPE_DELTA, SCOPE_FAILED, SCOPE_FULL, SCOPE_CACHED = 0, 1, 2, 3
STATES = {
    0: model.UpstreamState.REMOVED,
    1: model.UpstreamState.READY,
    2: model.UpstreamState.DRAINING,
}
OUTCOMES = {
    0: model.Outcome.SUCCEEDED,
    5: model.Outcome.FAILED,
    11: model.Outcome.OVERLOADED,
    104: model.Outcome.RESET,
    110: model.Outcome.TIMED_OUT,
    111: model.Outcome.CONNECT_FAILED,
    114: model.Outcome.NOT_SENT,
    125: model.Outcome.CANCELLED,
}


def read_batch(source: BinaryIO) -> tuple[int, int, int, bytes] | None:
    """Number, record count, clock and records of the next batch; None at the end of input."""
    head = source.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise WireError(f"batch header of {len(head)} bytes, {BATCH.size} expected")
    number, count, length, clock = BATCH.unpack(head)
    if length < 8:
        raise WireError(f"batch {number}: length {length} does not even hold the clock")
    body = source.read(length - 8)
    if len(body) < length - 8:
        raise WireError(f"batch {number}: {len(body)} bytes of records, {length - 8} announced")
    return number, count, clock * NS_PER_US, body


def records(number: int, count: int, body: bytes) -> Iterator[tuple[int, tuple[Any, ...], bytes]]:
    """Each known record of a batch as (code, fields, rest of its bytes)."""
    at, size = 0, len(body)
    for index in range(count):
        if at + RECORD.size > size:
            raise WireError(f"batch {number}: record {index} of {count} is missing")
        code, length = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + length > size:
            raise WireError(f"batch {number}: record {index} (code {code}) runs past the end")
        shape = FIELDS.get(code)
        if shape is not None:  # an event this page does not know is skipped
            if length < shape.size:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) has {length} bytes,"
                    f" {shape.size} expected"
                )
            yield code, shape.unpack_from(body, at), body[at + shape.size : at + length]
        at += length
    if at != size:
        raise WireError(f"batch {number}: {size - at} bytes after the last record")


def counted(rest: bytes, count: int) -> bytes:
    """The `count` bytes that a field announced."""
    if len(rest) < count:
        raise WireError(f"a field of {count} bytes holds {len(rest)}")
    return rest[:count]


def entries(rest: bytes, count: int) -> list[tuple[Any, ...]]:
    """The entries of a roster."""
    return list(ENTRY.iter_unpack(counted(rest, count * ENTRY.size)))


def report(rest: bytes, count: int, columns: list[str]) -> dict[str, float] | None:
    """A load report by our column names; what is absent, negative or no number is left out."""
    if not count:
        return None
    values = FLOATS[count].unpack(counted(rest, 4 * count))
    return {
        name: value for name, value in zip(columns, values) if value >= 0 and math.isfinite(value)
    }


def value(text: str) -> Any:
    """A setting's text as the plain value it stands for."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def settings(text: str) -> dict[str, Any]:
    """The settings map of a text with one path=value on each line."""
    split = (line.partition("=") for line in text.splitlines())
    return parse_settings((name, value(content)) for name, mark, content in split if mark)
