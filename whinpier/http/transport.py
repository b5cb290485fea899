"""Puts HTTP/1.1 together for the life of the process: its door, its upstreams, its watch of the
list.
"""

from __future__ import annotations

from whinpier.config.model import Entry
from whinpier.http.discovery import Discovery
from whinpier.http.listener import Door
from whinpier.http.platform_routes import Lanes, Router
from whinpier.http.upstream_connection import Server
from whinpier.runtime.pool import Peer, Pool, Watch
from whinpier.runtime.process import Front, Life


class Http1:
    """HTTP/1.1 on both sides."""

    def fronts(self, life: Life) -> list[Front]:
        return [Door(life, self.router(life))]

    def reroute(self, fronts: list[Front], life: Life) -> None:
        """Follow the routes that now hold; what has its pool already goes on there."""
        front = fronts[0]
        assert isinstance(front, Door)
        front.router, front.up = self.router(life), life.spec.up

    @staticmethod
    def router(life: Life) -> Router:
        if life.spec.table is None:
            return Lanes(next(iter(life.pools.values())))
        from whinpier.http.operator_routes import Routed  # only where there is an operator's file

        return Routed(life.spec.table, life.pools)

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer:
        return Server(pool, entry.host, number, entry.state, entry.started, entry.dial)

    def watch(self, pool: Pool) -> Watch:
        assert pool.spec.discovery
        chance = pool.policy.selector.random
        return Discovery(pool.spec.discovery, pool.spec.seq, pool.told, chance, pool.tag)
