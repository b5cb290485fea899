"""Owns the buffers that bytes are received into: all of one size, taken for one read and given back after it.

Must never hand out a buffer twice, or keep more of them than a few reads need.
"""

from __future__ import annotations

import socket
from typing import cast

import h11

SIZE = 64 * 1024  # the largest body in one read; a body and its head seldom come in more than two
KEPT = 8  # a read ends before the next begins: more than one is in use only where reads nest

_spare: list[bytearray] = []


def take() -> bytearray:
    return _spare.pop() if _spare else bytearray(SIZE)


def give(buffer: bytearray) -> None:
    if len(_spare) < KEPT:
        _spare.append(buffer)


def feed(parser: h11.Connection, sock: socket.socket) -> int:
    """Give a parser what has come on a socket, and say how much; 0 at its end."""
    buffer = take()
    try:
        count = sock.recv_into(buffer)
        # The parser copies what it is given, so the buffer can go back at once.
        parser.receive_data(cast(bytes, memoryview(buffer)[:count]))
        return count
    finally:
        give(buffer)


def discard(sock: socket.socket) -> int:
    """Take what has come on a socket for nobody, and say how much; 0 at its end."""
    buffer = take()
    try:
        return sock.recv_into(buffer)
    finally:
        give(buffer)
