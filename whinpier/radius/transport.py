"""Puts RADIUS beside HTTP/1.1 for the life of the process; not imported where no file has it."""

from __future__ import annotations

import socket

from whinpier.config.model import Entry
from whinpier.http.transport import Http1
from whinpier.radius.client import Server
from whinpier.radius.server import Front as RadiusFront
from whinpier.radius.spec import RadiusSpec, ServerSpec
from whinpier.runtime.pool import Peer, Pool
from whinpier.runtime.process import Front, Life


class WithRadius(Http1):
    """HTTP/1.1 and RADIUS, each with its own front; a pool's servers speak the pool's protocol."""

    def __init__(self, sockets: list[socket.socket], listeners: list[socket.socket]) -> None:
        self.sockets, self.listeners = sockets, listeners

    def fronts(self, life: Life) -> list[Front]:
        found = super().fronts(life)
        if spec := self.spec(life):
            found.append(RadiusFront(life, spec, self.sockets, self.listeners))
        return found

    def reroute(self, fronts: list[Front], life: Life) -> None:
        super().reroute(fronts, life)
        for front in fronts[1:]:
            if isinstance(front, RadiusFront) and (spec := self.spec(life)):
                front.follow(spec)

    @staticmethod
    def spec(life: Life) -> RadiusSpec | None:
        found = life.spec.beside.get("radius")
        assert found is None or isinstance(found, RadiusSpec)
        return found

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer:
        if pool.spec.protocol != "radius":
            return super().peer(pool, entry, number)
        assert isinstance(pool.spec.server, ServerSpec)
        return Server(pool, entry, number, pool.spec.server)
