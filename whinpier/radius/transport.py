"""Puts RADIUS beside HTTP/1.1 for the life of the process; not imported where no file has it."""

from __future__ import annotations

import socket

from whinpier.config.model import Entry
from whinpier.http.transport import Http1Transport
from whinpier.radius.client import Server
from whinpier.radius.server import Frontend as RadiusFrontend
from whinpier.radius.server_runs import ServerRuns
from whinpier.radius.spec import RadiusSpec, ServerSpec
from whinpier.runtime.pool import Endpoint, Pool
from whinpier.runtime.process import Frontend, Process


class WithRadius(Http1Transport):
    """HTTP/1.1 and RADIUS, each with its own front; a pool's servers speak the pool's protocol."""

    def __init__(self, sockets: list[socket.socket], listeners: list[socket.socket]) -> None:
        self.sockets, self.listeners = sockets, listeners
        self.server_runs = ServerRuns()

    def create_frontends(self, process: Process) -> list[Frontend]:
        found = super().create_frontends(process)
        if spec := self.spec(process):
            found.append(RadiusFrontend(process, spec, self.sockets, self.listeners))
        return found

    def update_routes(self, frontends: list[Frontend], process: Process) -> None:
        super().update_routes(frontends, process)
        for frontend in frontends[1:]:
            if isinstance(frontend, RadiusFrontend) and (spec := self.spec(process)):
                frontend.follow(spec)

    @staticmethod
    def spec(process: Process) -> RadiusSpec | None:
        found = process.spec.beside.get("radius")
        assert found is None or isinstance(found, RadiusSpec)
        return found

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        if pool.spec.protocol != "radius":
            return super().create_endpoint(pool, entry, number)
        assert isinstance(pool.spec.server, ServerSpec)
        return Server(pool, entry, number, pool.spec.server, self.server_runs)
