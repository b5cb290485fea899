"""Reads which datagrams a server's host has refused, from the error queue of their socket.

A host without a process at a port answers a datagram with ICMP "port unreachable", which quotes how
the datagram begins (RFC 1122, section 3.2.2.1; ip(7), IP_RECVERR). Must never take a datagram for
refused that the error does not quote.
"""

from __future__ import annotations

import errno
import socket
import struct
from contextlib import suppress

from whinpier.radius import packet as wire

IP_RECVERR = 11  # of Linux's <linux/in.h>; the module socket has no name for it
# What sock_extended_err of <linux/errqueue.h> begins with: errno, where the error is from.
ERROR_HEAD = struct.Struct("=IB")
FROM_ICMP = 2
ANCILLARY_BYTES = 256  # one error with the address of the host that sent it
MAX_ERRORS = 256  # read in one call; the others have their turn then


def queue_errors(sock: socket.socket) -> None:
    """Have the system keep the errors of a socket's datagrams apart, where it can."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)


def read_refused(sock: socket.socket) -> list[bytes]:
    """Return the RADIUS headers that refused datagrams began with; shorter where less was quoted."""
    refused = []
    for _ in range(MAX_ERRORS):
        try:
            quoted, ancillary, _, _ = sock.recvmsg(
                wire.LEAST, ANCILLARY_BYTES, socket.MSG_ERRQUEUE | socket.MSG_DONTWAIT
            )
        except OSError:
            break
        if any(_is_refusal(level, kind, data) for level, kind, data in ancillary):
            refused.append(quoted)
    return refused


def _is_refusal(level: int, kind: int, data: bytes) -> bool:
    """Tell whether ancillary data is word of a host that nobody has the port."""
    if (level, kind) != (socket.IPPROTO_IP, IP_RECVERR) or len(data) < ERROR_HEAD.size:
        return False
    return ERROR_HEAD.unpack_from(data) == (errno.ECONNREFUSED, FROM_ICMP)
