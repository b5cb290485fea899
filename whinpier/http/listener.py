"""Owns the listeners, the clients taken in by them, and who of them has to go when descriptors are
short.

Must never close a client whose request is here and not read, or leave what waits at a listener
unseen for long.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from itertools import takewhile

import anyio

from whinpier import log
from whinpier.http.client_connection import Client
from whinpier.http.platform_routes import Router
from whinpier.policy.decaying_sum import SECOND
from whinpier.runtime.pool import Pool
from whinpier.runtime.process import SWEEP_INTERVAL, Process
from whinpier.runtime.resource_budget import PoolBudget

AT_ONCE = 32  # clients taken in before others have their turn: some 3 ms
UNUSED = SECOND // 10  # a connection idle for less may be about to be used again
SILENT = SECOND // 20  # who has come asks at once: the way from a client, many times over


class Door:
    """All clients of the process that speak HTTP/1.1."""

    def __init__(self, process: Process, router: Router) -> None:
        self.process, self.loop, self.budget, self.router = (
            process,
            process.loop,
            process.budget,
            router,
        )
        self.ids, self.up = process.ids, process.spec.up
        self.clients: set[Client] = set()
        self.strangers: dict[
            Client, None
        ] = {}  # those that have asked for nothing yet, the oldest first
        self.space = anyio.Event()
        self.budget.close_unused_client = self.close_unused_client
        self.on_descriptor_freed = self.budget.on_descriptor_freed = self.make_known

    @property
    def closing(self) -> bool:
        return self.process.closing

    def ready(self) -> bool:
        return self.process.ready()

    def crowded(self, part: PoolBudget | None = None) -> bool:
        """Whether clients (of a pool) had better not keep their connections."""
        return self.budget.is_crowded(len(self.clients) - len(self.strangers), part)

    def rejects(
        self,
        pool: Pool,
        route: str = "",
        tenant: bytes = b"",
        ticket: bytes = b"",
        again: bool = False,
    ) -> bool:
        """Whether a request is rejected at the door; if not it counts among its pool's from now on."""
        budget = self.budget
        usual = budget.total_connections - budget.max_clients
        if len(self.clients) > budget.max_clients and budget.requests.used >= usual:
            return True
        return self.process.rejects(pool, route, tenant, ticket, again)

    def gone(self, client: Client) -> None:
        if client in self.clients:
            self.clients.remove(client)
            self.budget.clients -= 1
        self.strangers.pop(client, None)

    def make_known(self) -> None:
        self.space.set()

    def close_unused_client(self) -> None:
        """Close a client that is not in use: one that has had its last answer, has asked
        nothing, or is idle.

        Guards against ending one whose request is here already and only not read yet: that
        request would be lost.
        """
        now = self.loop.clock()
        done = (client for client in self.clients if client.last)
        silent = takewhile(lambda client: client.since < now - SILENT, self.strangers)
        for group in (done, silent, self.longest_idle(now - UNUSED)):
            if client := next((client for client in group if client.unused()), None):
                client.close()
                return

    def longest_idle(self, since: int) -> Iterator[Client]:
        """Clients that have asked before and are idle since then or longer; sorted once one is wanted."""
        within = self.budget.is_within_share
        yield from sorted(
            (
                client
                for client in self.clients
                if client.idle() and client.since < since and client not in self.strangers
            ),
            key=lambda client: (within(client.member), client.since),
        )

    def welcome(self, listener: socket.socket) -> bool:
        """Take one client in. One too many is only rejected: what waits unseen is lost in time."""
        budget = self.budget
        if len(self.clients) >= budget.max_clients:
            self.close_unused_client()
        budget.ensure_capacity()
        # Guards against clients without end where few connections to upstreams are open, so that
        # the whole never seems full.
        most = (
            min(budget.max_clients, budget.total_connections - budget.connections.used)
            + budget.rejection_reserve
        )
        if len(self.clients) >= most:
            return False
        sock, _ = listener.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(self, sock)
        self.clients.add(client)
        budget.clients += 1
        self.strangers[client] = None
        client.watch(len(budget.pools) > 1)
        return True

    async def accept(self, listener: socket.socket) -> None:
        """Take clients in while there are descriptors; at the limit accepting waits."""
        while True:
            await anyio.wait_readable(listener)
            try:
                for _ in range(AT_ONCE):
                    if not self.welcome(listener):
                        break
                else:
                    # Guards against clients that come faster than they are taken in: timers would
                    # never ring.
                    await anyio.sleep(0)
                    continue
                log.warning(
                    "descriptors_used_up",
                    clients=len(self.clients),
                    links=self.budget.connections.used,
                )
                self.space = anyio.Event()
                with anyio.move_on_after(0.1):
                    await self.space.wait()
            except BlockingIOError:
                pass
            except anyio.ClosedResourceError:
                return
            except Exception:  # whatever it was: nobody else takes clients in
                log.exception("accept_failed")
                await anyio.sleep(0.01)

    def start(self, listeners: list[socket.socket]) -> None:
        for listener in listeners:
            self.loop.task_group.start_soon(self.accept, listener)
            log.info("listening", address="%s:%d" % listener.getsockname(), debug=__debug__)

    def close_expired(self) -> None:
        """Every wait has an end."""
        now = self.loop.clock()
        for client in list(self.clients):
            client.sweep(now)
        longest = self.longest_idle(now - SWEEP_INTERVAL)
        while self.crowded() and (idle := next(longest, None)):
            if idle.read_last():
                idle.close()

    # The end.

    def has_clients(self) -> bool:
        return bool(self.clients)

    def close_idle(self) -> None:
        """No more is taken: what is idle goes, once what may just have come is read."""
        for client in list(self.clients):
            if client.idle():
                client.end()

    def has_pending_responses(self) -> bool:
        """Whether an answer is not written whole or may be on its way, or a request has begun to come."""
        return any(client.left or client.reading or client.last for client in self.clients)

    def metrics(self) -> dict[str, int]:
        return {"clients": len(self.clients)}
