"""Accepts clients, and decides whose connection is closed when descriptors run short.

Invariants: a client whose request has arrived but is unread is not closed; no client waits in a
listener's backlog for long.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator
from itertools import takewhile

import anyio

from whinpier import log
from whinpier.http import arrival_times
from whinpier.http.client_connection import ClientConnection, CloseReason
from whinpier.http.platform_routes import RequestError, Router
from whinpier.policy.decaying_sum import SECOND
from whinpier.runtime.pool import Pool
from whinpier.runtime.process import SWEEP_INTERVAL, Process, RejectionReason
from whinpier.runtime.resource_budget import Holding, PoolBudget, ResourceShare

# Accepting these takes some 3 ms; other tasks run after them.
MAX_ACCEPTS_PER_TURN = 32
# A connection that was idle for less may be about to be used again.
MIN_IDLE_NS = SECOND // 10
# A new client sends its request at once: this is many times the network delay.
MIN_SILENCE_NS = SECOND // 20
# Seconds to wait for a free descriptor before accepting is tried again.
DESCRIPTOR_WAIT_S = 0.1
# Seconds to wait after an error.
ACCEPT_RETRY_DELAY_S = 0.01


class HttpFrontend:
    """The HTTP/1.1 listeners of the process and all clients that they accepted."""

    def __init__(self, process: Process, router: Router) -> None:
        """Register with the process's budget as the one that can close unused clients."""
        self.process = process
        self.loop = process.loop
        self.budget = process.budget
        self.router = router
        self.requests_by_id = process.ids
        self.health_path = process.spec.up
        self.clients: set[ClientConnection] = set()
        # Clients that have sent no request yet, the oldest first.
        self.new_clients: dict[ClientConnection, None] = {}
        self.descriptor_freed = anyio.Event()
        self.budget.close_unused_client = self.close_unused_client
        self.on_descriptor_freed = self.budget.on_descriptor_freed = self.notify_descriptor_freed

    @property
    def closing(self) -> bool:
        """Whether the process is stopping."""
        return self.process.closing

    def ready(self) -> bool:
        """Tell whether the process can serve requests."""
        return self.process.ready()

    def is_crowded(self, budget: PoolBudget | None = None) -> bool:
        """Tell whether clients (of a pool) should not keep their connections open."""
        return self.budget.is_crowded(len(self.clients) - len(self.new_clients), budget)

    def rejects(
        self,
        pool: Pool,
        route: str = "",
        tenant: bytes = b"",
        ticket: bytes = b"",
        again: bool = False,
    ) -> bool:
        """Tell whether a request is rejected on arrival; if not, it is counted in its pool."""
        budget = self.budget
        usual_requests = budget.total_connections - budget.max_clients
        if len(self.clients) > budget.max_clients and budget.requests.used >= usual_requests:
            return self.process.reject_because(RejectionReason.CLIENTS)
        return self.process.rejects(pool, route, tenant, ticket, again)

    def has_too_many_remembered(self, client: ClientConnection) -> bool:
        """Tell whether a client's next request is rejected, for the ids that are known of it."""
        if self.budget.may_remember(len(self.requests_by_id), client.remembered):
            return False
        return self.process.reject_because(RejectionReason.REMEMBERED)

    def remove_client(self, client: ClientConnection) -> None:
        """Forget a client whose connection is closed."""
        if client in self.clients:
            self.clients.remove(client)
            self.budget.clients -= 1
        self.new_clients.pop(client, None)

    def notify_descriptor_freed(self) -> None:
        """Resume accepting if it waits for a descriptor."""
        self.descriptor_freed.set()

    def close_unused_client(self) -> None:
        """Close one client that has had its last response, has sent no request, or is idle.

        A client whose request has arrived and is unread is left open: that request would be lost.
        """
        now = self.loop.clock()
        finished = (client for client in self.clients if client.closing)
        silent = takewhile(
            lambda client: client.state_since < now - MIN_SILENCE_NS, self.new_clients
        )
        for group in (finished, silent, self.longest_idle(now - MIN_IDLE_NS)):
            if client := next((client for client in group if client.can_be_closed()), None):
                client.close(CloseReason.SURPLUS)
                return

    def refuse_slowest_request(self, requester: ClientConnection, share: ResourceShare) -> bool:
        """Refuse the request that has been arriving for longest, to free some of a share.

        Return False if that is the requester's own.
        """
        arriving = (client for client in self.clients if client.is_arriving())
        slowest = self.slowest(arriving, requester, lambda client: client.request_bytes, share)
        if slowest is requester:
            return False
        slowest.reject_request(RequestError(503, "too many requests arriving at once"))
        return True

    def close_slowest_reader(self, requester: ClientConnection, share: ResourceShare) -> None:
        """Close the client that has been taking a response for longest, to free some of a share."""
        readers = (client for client in self.clients if client.unsent)
        slowest = self.slowest(readers, requester, lambda client: client.unsent_bytes, share)
        log.warning("slow_client", reading=False, unsent=len(slowest.unsent))
        slowest.close(CloseReason.SLOW_RESPONSE)

    @staticmethod
    def slowest(
        clients: Iterable[ClientConnection],
        requester: ClientConnection,
        holding_of: Callable[[ClientConnection], Holding],
        share: ResourceShare,
    ) -> ClientConnection:
        """Return who has been waited for longest, of those that can free some of a share.

        Clients of other pools can if their pool has borrowed. The requester is among them.
        """
        candidates = [requester]
        for client in clients:
            holder = holding_of(client).share
            if holder is share or (holder is not None and holder.borrowed()):
                candidates.append(client)
        return min(candidates, key=lambda client: client.state_since)

    def longest_idle(self, before: int) -> Iterator[ClientConnection]:
        """Yield clients that have been idle since before this time.

        Clients of pools over their share come first, then by idle time. They are sorted only once
        the first is asked for.
        """
        is_within_share = self.budget.is_within_share
        yield from sorted(
            (
                client
                for client in self.clients
                if client.is_idle()
                and client.state_since < before
                and client not in self.new_clients
            ),
            key=lambda client: (is_within_share(client.pool_budget), client.state_since),
        )

    def accept_client(self, listener: socket.socket) -> bool:
        """Accept one client; return False if no descriptor is left for one.

        Clients over the limit are still accepted within a reserve, to reject their requests: in
        the backlog they would time out unanswered.
        """
        budget = self.budget
        if len(self.clients) >= budget.max_clients:
            self.close_unused_client()
        budget.ensure_capacity()
        # The limit of clients also holds while few connections to upstreams are open, when
        # descriptors alone would admit any number.
        limit = (
            min(budget.max_clients, budget.total_connections - budget.connections.used)
            + budget.rejection_reserve
        )
        if len(self.clients) >= limit:
            return False
        sock, _ = listener.accept()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise
        client = ClientConnection(self, sock)
        self.clients.add(client)
        budget.clients += 1
        self.new_clients[client] = None
        client.start_reading(metered=len(budget.pools) > 1)
        return True

    async def accept_clients(self, listener: socket.socket) -> None:
        """Accept clients until the listener is closed; wait while no descriptor is free."""
        while True:
            try:
                await anyio.wait_readable(listener)
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    if not self.accept_client(listener):
                        break
                else:
                    # Lets timers run where clients connect faster than they are accepted.
                    await anyio.sleep(0)
                    continue
                await self.wait_for_descriptor()
            except BlockingIOError:
                pass
            except anyio.ClosedResourceError:
                return
            except OSError as error:
                # Of the connection that would have been accepted, or of a system short of something.
                log.warning("accept_failed", fault=error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            except Exception:  # without this task no client would be accepted any more
                log.exception("accept_failed")
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)

    async def wait_for_descriptor(self) -> None:
        """Wait until a client's or upstream's connection is closed, or for DESCRIPTOR_WAIT_S."""
        log.warning(
            "descriptors_used_up", clients=len(self.clients), links=self.budget.connections.used
        )
        self.descriptor_freed = anyio.Event()
        with anyio.move_on_after(DESCRIPTOR_WAIT_S):
            await self.descriptor_freed.wait()

    def start(self, listeners: list[socket.socket]) -> None:
        """Begin to accept clients on these listeners."""
        for listener in listeners:
            arrival_times.enable(listener)
            self.loop.task_group.start_soon(self.accept_clients, listener)
            host, port = listener.getsockname()
            log.info("listening", address=f"{host}:{port}", debug=__debug__)

    def close_expired(self) -> None:
        """Enforce the clients' time-outs, and close idle clients while there are too many."""
        now = self.loop.clock()
        for client in list(self.clients):
            client.enforce_timeouts(now)
        longest_idle = self.longest_idle(now - SWEEP_INTERVAL)
        while self.is_crowded() and (idle_client := next(longest_idle, None)):
            if idle_client.is_idle_after_read():
                idle_client.close(CloseReason.SURPLUS)

    def has_clients(self) -> bool:
        """Tell whether any client is connected."""
        return bool(self.clients)

    def close_idle(self) -> None:
        """Half-close idle clients, after reading what may have just arrived."""
        for client in list(self.clients):
            if client.is_idle():
                client.read_or_half_close()

    def has_pending_responses(self) -> bool:
        """Tell whether a response may still be on its way, or part of a request has arrived."""
        return any(client.unsent or client.receiving or client.closing for client in self.clients)

    def metrics(self) -> dict[str, int]:
        """Return the figures for the log."""
        return {"clients": len(self.clients)}
