"""Encode and decode the simulator's wire format: batches, records and settings.

Integers are little-endian and times are in microseconds. The numeric codes of the wire are mapped to
the policy's enums here.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from struct import Struct
from typing import Any, BinaryIO

from whinpier.policy import model
from whinpier.policy.model import WireError
from whinpier.settings import NS_PER_US, parse_settings

# Batch number, record count, length (of the clock and the records), clock.
BATCH = Struct("<IIIQ")
CLOCK_BYTES = 8
# Batch number, action count, length of the actions.
REPLY = Struct("<III")
# Code, length of the fields.
RECORD = Struct("<BI")
# Load reports by their number of columns, which is one byte on the wire.
FLOATS = [Struct(f"<{count}f") for count in range(256)]

# Event codes.
UP = 90
ROSTER = 10
TARGETS = 100
INGRESS = 50
DESTROY = 80
CLIENT_LEFT = 40
DATAGRAM = 20
BELL = 60
RESOLVED = 70
SAMPLED = 30
OPENED = 110

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
# An endpoint of a roster: state, id, zone, start time, size, cell, shape.
ENTRY = Struct("<BIHQfHH")

# Layouts of the actions, including the record header and the instance id.
ISSUE = Struct("<BIIIIQ")
PUSH_BACK = Struct("<BIIII")
SET_ALARM = Struct("<BIIQQ")
STREAM_CHANGES = Struct("<BIIB")
DROP_CONNS = Struct("<BIII")
SNAPSHOT = Struct("<BII")
SOUND_OUT = Struct("<BIII")
WITHDRAW = Struct("<BIIIH")
GIVE_UP = Struct("<BIII")
TEXT = Struct("<BIIH")
SIGNAL = Struct("<BIIIH")
EMIT_CODE = 90
FATAL_CODE = 50

# Scopes of an endpoint list (TARGETS).
SCOPE_DELTA = 0
SCOPE_FAILED = 1
SCOPE_FULL = 2
SCOPE_CACHED = 3
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
    """Return number, record count, clock (ns) and records of the next batch; None at the end of input.

    Raises WireError if the batch is truncated.
    """
    head = source.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise WireError(f"batch header of {len(head)} bytes, {BATCH.size} expected")
    number, count, length, clock = BATCH.unpack(head)
    if length < CLOCK_BYTES:
        raise WireError(f"batch {number}: length {length} does not even hold the clock")
    body = source.read(length - CLOCK_BYTES)
    if len(body) < length - CLOCK_BYTES:
        raise WireError(
            f"batch {number}: {len(body)} bytes of records, {length - CLOCK_BYTES} announced"
        )
    return number, count, clock * NS_PER_US, body


def records(number: int, count: int, body: bytes) -> Iterator[tuple[int, tuple[Any, ...], bytes]]:
    """Yield each record of a known code as (code, fields, remaining bytes).

    Raises WireError if the body does not hold exactly `count` records.
    """
    at = 0
    size = len(body)
    for index in range(count):
        if at + RECORD.size > size:
            raise WireError(f"batch {number}: record {index} of {count} is missing")
        code, length = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + length > size:
            raise WireError(f"batch {number}: record {index} (code {code}) runs past the end")
        layout = FIELDS.get(code)
        if layout is not None:  # records of unknown codes are skipped
            if length < layout.size:
                raise WireError(
                    f"batch {number}: record {index} (code {code}) has {length} bytes,"
                    f" {layout.size} expected"
                )
            yield code, layout.unpack_from(body, at), body[at + layout.size : at + length]
        at += length
    if at != size:
        raise WireError(f"batch {number}: {size - at} bytes after the last record")


def counted(rest: bytes, count: int) -> bytes:
    """Return the first `count` bytes of `rest`; raise WireError if there are fewer."""
    if len(rest) < count:
        raise WireError(f"a field of {count} bytes holds {len(rest)}")
    return rest[:count]


def entries(rest: bytes, count: int) -> list[tuple[Any, ...]]:
    """Return the `count` endpoints of a roster as tuples of the fields of `ENTRY`."""
    return list(ENTRY.iter_unpack(counted(rest, count * ENTRY.size)))


def report(rest: bytes, count: int, columns: list[str]) -> dict[str, float] | None:
    """Return a load report by column name, or None if it is empty.

    Values that are negative or not finite are left out.
    """
    if not count:
        return None
    values = FLOATS[count].unpack(counted(rest, 4 * count))
    return {
        name: value
        for name, value in zip(columns, values, strict=False)
        if value >= 0 and math.isfinite(value)
    }


def value(text: str) -> Any:
    """Parse the text of a setting as a bool, int or float; return other text unchanged."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def settings(text: str) -> dict[str, Any]:
    """Parse settings from text with one path=value on each line; lines without `=` are ignored."""
    lines = (line.partition("=") for line in text.splitlines())
    return parse_settings((name, value(content)) for name, mark, content in lines if mark)
