"""Owns how bytes pass a socket: buffers of one size, for one read each; what is left to write.

Must never hand out a buffer twice, keep more of them than a few reads need, or stop the loop to write.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, cast

import anyio
import h11

if TYPE_CHECKING:
    from whinpier.net.balancer import Balancer

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


class Connection:
    """What both sides do with a socket: take in what comes, write what it takes, and the rest as it can."""

    balancer: Balancer
    sock: socket.socket
    left: memoryview  # of what is written, what the socket has not taken yet
    closed: bool

    def read(self) -> None:
        raise NotImplementedError

    def close(self) -> None:
        raise NotImplementedError

    async def take_in(self) -> None:
        while not self.closed:
            await anyio.wait_readable(self.sock)
            self.read()

    def write(self, data: bytes) -> None:
        self.left = memoryview(data)
        self.flush()
        if self.left and not self.closed:
            self.balancer.spawn(self.drain, self.close)

    def flush(self) -> None:
        try:
            self.left = self.left[self.sock.send(self.left):]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    async def drain(self) -> None:
        while self.left and not self.closed:
            try:
                await anyio.wait_writable(self.sock)
            except (OSError, anyio.ClosedResourceError):
                return
            self.flush()
