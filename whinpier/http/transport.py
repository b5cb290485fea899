"""Puts HTTP/1.1 together for the life of the process: its door, its upstreams, its watch of the
list.
"""

from __future__ import annotations

from whinpier.config.model import Entry
from whinpier.http.discovery import Discovery
from whinpier.http.listener import Door
from whinpier.http.platform_routes import Lanes, Router
from whinpier.http.upstream_connection import Server
from whinpier.runtime.pool import Endpoint, EndpointWatch, Pool
from whinpier.runtime.process import Frontend, Process


class Http1:
    """HTTP/1.1 on both sides."""

    def create_frontends(self, process: Process) -> list[Frontend]:
        return [Door(process, self.router(process))]

    def update_routes(self, frontends: list[Frontend], process: Process) -> None:
        """Follow the routes that now hold; what has its pool already goes on there."""
        frontend = frontends[0]
        assert isinstance(frontend, Door)
        frontend.router, frontend.up = self.router(process), process.spec.up

    @staticmethod
    def router(process: Process) -> Router:
        if process.spec.table is None:
            return Lanes(next(iter(process.pools.values())))
        from whinpier.http.operator_routes import Routed  # only where there is an operator's file

        return Routed(process.spec.table, process.pools)

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        return Server(pool, entry.host, number, entry.state, entry.started, entry.dial)

    def create_watch(self, pool: Pool) -> EndpointWatch:
        assert pool.spec.discovery
        chance = pool.policy.selector.random
        return Discovery(
            pool.spec.discovery, pool.spec.seq, pool.update_endpoints, chance, pool.log_fields
        )
