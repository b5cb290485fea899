"""Clients that do harm over HTTP: floods on a few connections, and hundreds that stop half way.

`python -m whinpier.testbed.hostile_clients HOST:PORT KIND SECONDS CONNECTIONS` plays one kind from a
process of its own, so that its load does not slow down who measures. It ends by itself, and sends to
the one address it was given.
"""

from __future__ import annotations

import os
import select
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

READ_BYTES = 1 << 20
FLOOD_BUFFER_BYTES = 200_000  # that a flooding client has ready to send
CONNECT_TIMEOUT_S = 1.0
ROUND_S = 0.01  # between two looks at the connections that are held
CHUNKS = 30_000  # of a request in chunks of one byte: within the largest body
FIELDS = 110  # fewer than the lines a head may have
LINES = 20_000  # many more

_numbers = count(1)


class Kind(NamedTuple):
    """What one kind of client sends, and how."""

    make: Callable[[str], bytes]  # a request, from an id that nobody else has
    pipelines: bool  # sends request after request without waiting; otherwise one, and stays
    reads: bool = True  # takes what is answered
    bytes_a_round: int = READ_BYTES  # of a client that sends one request


def request(
    name: str, lane: str = "settle", wait: float = 2.0, more: str = "", size: int = 2
) -> bytes:
    """Return a keyed request that is whole; `size` is that of its body."""
    head = (
        f"POST /{lane} HTTP/1.1\r\nHost: a\r\nX-Txn: {name}\r\nX-Remaining: {wait}\r\n"
        f"Idempotency-Key: {name}\r\n{more}Content-Length: {size}\r\n\r\n"
    )
    return head.encode() + b"x" * size


def chunked(name: str, chunk: bytes, chunks: int) -> bytes:
    """Return a keyed request in chunks, without its last one."""
    head = request(name).partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n" % (len(chunk), chunk) * chunks


def half(data: bytes) -> bytes:
    """Return all but the last bytes of a request."""
    return data[:-1000]


KINDS = {
    # Floods, of small or unsound requests.
    "health": Kind(lambda _: b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n", True),
    "expired": Kind(lambda name: request(name, wait=0.0), True),
    "new_names": Kind(request, True),
    "large": Kind(lambda name: request(name, wait=4.0, size=60_000), True),
    "unsound": Kind(lambda name: request(name, lane=name), True),
    "one_byte_chunks": Kind(lambda name: chunked(name, b"a", CHUNKS) + b"0\r\n\r\n", True),
    "garbage": Kind(lambda _: b"\0\1\2 no request\r\n\r\n", True),
    # Hundreds of clients that send a part and stay.
    "half_bodies": Kind(lambda name: half(request(name, size=65_000)), False),
    "half_heads": Kind(lambda name: half(request(name, more="A: " + "b" * 16_000 + "\r\n")), False),
    "short_fields": Kind(
        lambda name: half(request(name, more="a:\r\n" * FIELDS, size=65_000)), False
    ),
    "many_lines": Kind(lambda name: request(name, more="a:\r\n" * LINES), False),
    "many_trailers": Kind(
        lambda name: chunked(name, b"a", 1) + b"0\r\n" + b"a:\r\n" * LINES, False
    ),
    "many_chunks": Kind(lambda name: chunked(name, b"ab", CHUNKS), False),
    "slow_chunks": Kind(lambda name: chunked(name, b"ab", CHUNKS), False, bytes_a_round=200),
    "slow_bodies": Kind(lambda name: request(name, size=65_000), False, bytes_a_round=300),
    "unread_responses": Kind(request, False, reads=False),
    "unread_pipelined": Kind(lambda name: request(name, size=8_000) * 20, False, reads=False),
}
FLOODS = [name for name, kind in KINDS.items() if kind.pipelines]
CROWDS = [name for name, kind in KINDS.items() if not kind.pipelines]


@dataclass(slots=True)
class Client:
    """One connection, and what it has still to send."""

    sock: socket.socket
    data: bytes


def new_name() -> str:
    """Return an id that no other request of any process has."""
    return f"hostile-{os.getpid()}-{next(_numbers)}"


def connect(address: tuple[str, int]) -> socket.socket | None:
    """Return a connected non-blocking socket, or None if none came up."""
    try:
        sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
    except OSError:
        return None
    sock.setblocking(False)
    return sock


def exchange(client: Client, kind: Kind) -> bool:
    """Send and read what goes now; return whether the connection is still open."""
    try:
        if client.data:
            client.data = client.data[client.sock.send(client.data[: kind.bytes_a_round]) :]
    except BlockingIOError:
        pass
    except OSError:
        return False
    if not kind.reads:
        return True
    try:
        return bool(client.sock.recv(READ_BYTES))
    except BlockingIOError:
        return True
    except OSError:
        return False


def refill(client: Client, kind: Kind) -> None:
    """Give a flooding client more to send."""
    while len(client.data) < FLOOD_BUFFER_BYTES:
        client.data += b"".join(kind.make(new_name()) for _ in range(50 if kind.reads else 1))


def play(address: tuple[str, int], kind: Kind, seconds: float, connections: int) -> None:
    """Keep so many connections of one kind busy; connect anew where one has ended."""
    ends = time.monotonic() + seconds
    clients: list[Client] = []
    while time.monotonic() < ends:
        while len(clients) < connections and (sock := connect(address)):
            clients.append(Client(sock, b"" if kind.pipelines else kind.make(new_name())))
        if kind.pipelines:
            for client in clients:
                refill(client, kind)
            sockets = [client.sock for client in clients]
            select.select(sockets, sockets, [], ROUND_S)
        else:
            time.sleep(ROUND_S)
        for client in list(clients):
            if not exchange(client, kind):
                client.sock.close()
                clients.remove(client)
    for client in clients:
        client.sock.close()


class HostileClients:
    """Such clients in a process of their own, for as long as the block lasts."""

    def __init__(
        self, address: tuple[str, int], kind: str, seconds: float, connections: int
    ) -> None:
        """Name the kind, one of KINDS, and for how long it plays."""
        self.command = [
            sys.executable,
            "-m",
            "whinpier.testbed.hostile_clients",
            "%s:%d" % address,
            kind,
            str(seconds),
            str(connections),
        ]

    def __enter__(self) -> HostileClients:
        """Start them."""
        self.process = subprocess.Popen(self.command)
        return self

    def __exit__(self, *_: object) -> None:
        """End them."""
        self.process.kill()
        self.process.wait()


def main() -> None:
    """Play one kind until its time is over."""
    host, _, port = sys.argv[1].rpartition(":")
    with suppress(KeyboardInterrupt):
        play((host, int(port)), KINDS[sys.argv[2]], float(sys.argv[3]), int(sys.argv[4]))


if __name__ == "__main__":
    main()
