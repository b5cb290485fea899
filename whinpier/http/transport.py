"""Creates the HTTP/1.1 parts of a process: its frontend, its endpoints and its endpoint watch."""

from __future__ import annotations

from whinpier.config.model import Entry
from whinpier.http.discovery import DiscoveryClient
from whinpier.http.listener import HttpFrontend
from whinpier.http.platform_routes import RequestClassRouter, Router
from whinpier.http.upstream_connection import HttpEndpoint
from whinpier.runtime.pool import Endpoint, EndpointWatch, Pool
from whinpier.runtime.process import Frontend, Process


class Http1Transport:
    """HTTP/1.1 to clients and to upstreams."""

    def create_frontends(self, process: Process) -> list[Frontend]:
        """Create the frontend that accepts HTTP/1.1 clients."""
        return [HttpFrontend(process, self.create_router(process))]

    def update_routes(self, frontends: list[Frontend], process: Process) -> None:
        """Use the process's current routes for new requests; pending ones stay in their pools."""
        frontend = frontends[0]
        assert isinstance(frontend, HttpFrontend)
        frontend.router = self.create_router(process)
        frontend.health_path = process.spec.up

    @staticmethod
    def create_router(process: Process) -> Router:
        """Create the router of the operator's table, or the platform's if there is none."""
        if process.spec.table is None:
            return RequestClassRouter(next(iter(process.pools.values())))
        from whinpier.http.operator_routes import TableRouter  # only with an operator's file

        return TableRouter(process.spec.table, process.pools)

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        """Create the endpoint of an entry of the endpoint list."""
        return HttpEndpoint(pool, entry.host, number, entry.state, entry.started, entry.dial)

    def create_watch(self, pool: Pool) -> EndpointWatch:
        """Create the client that follows the pool's endpoint list."""
        assert pool.spec.discovery
        random = pool.policy.selector.random
        return DiscoveryClient(
            pool.spec.discovery, pool.spec.seq, pool.update_endpoints, random, pool.log_fields
        )
