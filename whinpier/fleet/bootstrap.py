"""Puts the fleet beside the life of the process; not imported where no file has it."""

from __future__ import annotations

import socket

from whinpier.fleet.service import Link
from whinpier.fleet.spec import FleetSpec
from whinpier.runtime.process import Process


def start(process: Process, sockets: list[socket.socket]) -> Link:
    """The link, on a socket that is closed with the others. Raises OSError if its address can't be had."""
    assert isinstance(process.spec.fleet, FleetSpec)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    sockets.append(sock)
    sock.bind(process.spec.fleet.listen)
    return Link(process, process.spec.fleet, sock)
