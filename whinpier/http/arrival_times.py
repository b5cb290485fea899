"""Tells when what is read from a socket has arrived, however late it is read.

The system stamps what it receives by the wall clock (SO_TIMESTAMPNS, socket(7)). Only the age at the
time of reading is used, so that steps of that clock matter for what they cross alone. Where reading
with stamps fails and reading without them does not, there are none from then on.
"""

from __future__ import annotations

import socket
import struct
import time
from collections import deque
from typing import NamedTuple

from whinpier import log
from whinpier.http import buffers
from whinpier.policy.decaying_sum import SECOND

SO_TIMESTAMPNS = 35  # of Linux; the module socket does not name it
TIMESPEC = struct.Struct("@ll")
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
# An older stamp tells of a stepped clock: no request waits for that long.
MAX_AGE_NS = 30 * SECOND
# Reads behind a request in flight that are told apart; of more, the earliest time holds.
MAX_READS = 16


# Reads in a row that failed with a stamp and not without it, after which none is asked for any more.
MAX_FAILURES = 8


class Stamps:
    """Whether the process reads with stamps, and how often in a row that failed."""

    is_enabled = False
    failures = 0


def enable(listener: socket.socket) -> None:
    """Have the system stamp what arrives on connections of a listener, if it can."""
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError:
        return  # what is read counts as just arrived
    Stamps.is_enabled = True
    Stamps.failures = 0


def receive(sock: socket.socket, limit: int) -> tuple[bytes, int]:
    """Return what has arrived, as `buffers.receive`, and for how many nanoseconds it has waited."""
    if Stamps.is_enabled and (stamped := receive_stamped(sock, limit)):
        Stamps.failures = 0
        return stamped
    data = buffers.receive(sock, limit)
    if data and Stamps.is_enabled:
        Stamps.failures += 1
        if Stamps.failures >= MAX_FAILURES:
            log.warning("stamps_unavailable")
            Stamps.is_enabled = False
    return data, 0


def receive_stamped(sock: socket.socket, limit: int) -> tuple[bytes, int] | None:
    """Return bytes that have arrived and their age; None at the end, for an error or without bytes."""
    buffer = buffers.acquire_buffer()
    try:
        view = memoryview(buffer)[:limit]
        count, ancillary, _, _ = sock.recvmsg_into([view], ANCILLARY_BYTES)
        return (bytes(view[:count]), age(ancillary)) if count else None
    except OSError:
        return None
    finally:
        buffers.release_buffer(buffer)


def age(ancillary: list[tuple[int, int, bytes]]) -> int:
    """Return the age of the stamp among ancillary data, in nanoseconds; 0 without a credible one."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            found = time.time_ns() - seconds * SECOND - nanoseconds
            return int(found) if 0 < found < MAX_AGE_NS else 0
    return 0


class Read(NamedTuple):
    """One read: up to which byte of the connection, and when its last byte had arrived."""

    end: int
    arrived_at: int


class ArrivalTimes:
    """When the bytes of one connection arrived that have been read and not parsed."""

    __slots__ = ("reads", "total")

    def __init__(self) -> None:
        """Start with nothing read."""
        self.total = 0  # bytes of the connection
        self.reads: deque[Read] = deque()

    def add(self, size: int, arrived_at: int) -> None:
        """Note a read."""
        self.total += size
        if len(self.reads) >= MAX_READS:
            arrived_at = self.reads.pop().arrived_at
        self.reads.append(Read(self.total, arrived_at))

    def at(self, unparsed: int) -> int:
        """Return when the byte arrived behind which so many are unparsed; forget those before it."""
        end = self.total - unparsed
        while len(self.reads) > 1 and self.reads[0].end < end:
            self.reads.popleft()
        return self.reads[0].arrived_at
