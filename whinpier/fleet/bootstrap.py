"""Start of the fleet's part of a process; imported only where a fleet is configured."""

from __future__ import annotations

import socket

from whinpier.fleet.service import Link
from whinpier.fleet.spec import FleetSpec
from whinpier.runtime.process import Process


def start(process: Process, sockets: list[socket.socket]) -> Link:
    """Return this process's membership in the fleet, on a socket that is added to `sockets`.

    The caller closes the sockets. Raises OSError where the address can't be bound.
    """
    assert isinstance(process.spec.fleet, FleetSpec)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    sockets.append(sock)
    sock.bind(process.spec.fleet.listen)
    return Link(process, process.spec.fleet, sock)
