"""One balancer beside hostile clients: what ordinary clients get, and what memory it takes.

Owns the processes of a trial: upstreams, a balancer with the limits of its settings, and hostile
clients. Never goes by what the balancer says of itself, but for faults in its log.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.hostile_clients import HostileClients
from whinpier.testbed.process import Balancer, MemoryWatch, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

CONFIGURATION = Path("example/config.json")
UPSTREAMS = 10
SOCKETS = 1024
WAIT_S = 1.0  # of an ordinary client
FAULTS = ("event=invariant_violated", "level=error")  # in a log
# Of the ordinary requests, in time: they ask for a tenth of what a core does.
MIN_SERVED = 0.9


@dataclass
class Outcome:
    """What a trial has shown."""

    ordinary: Gateway
    memory_mb: int  # of the settings
    peak_bytes: int
    ended: int | None  # exit code of the balancer, if it has ended by itself
    log: str

    @property
    def on_time(self) -> float:
        """The part of ordinary requests that were served while their clients waited."""
        return self.ordinary.share_on_time()

    def faults(self) -> list[str]:
        """What was broken, a line each."""
        found = [f"log: {fault}" for fault in FAULTS if fault in self.log]
        if self.ended is not None:
            found.append(f"ended by itself with {self.ended}")
        if self.peak_bytes > self.memory_mb << 20:
            found.append(f"{self.peak_bytes / 2**20:.1f} MB of {self.memory_mb}")
        if lost := self.ordinary.unanswered():
            found.append(f"{len(lost)} requests unanswered, the first: {lost[0].how}")
        if self.ordinary.not_sent:
            found.append(f"{self.ordinary.not_sent} connections refused")
        if self.on_time < MIN_SERVED:
            found.append(f"{self.on_time:.3f} served in time")
        return found


class Trial:
    """A balancer with its upstreams, beside which hostile clients are played."""

    def __init__(self, balancer: Balancer, upstreams: UpstreamFleet, memory_mb: int) -> None:
        """Take over what `started` has started."""
        self.balancer = balancer
        self.upstreams = upstreams
        self.memory_mb = memory_mb

    async def play(
        self, kind: str, connections: int, seconds: float, rate: float = 40.0
    ) -> Outcome:
        """Let hostile clients and ordinary ones, so many requests a second, ask at once."""
        asks = Asks("settle", rate, "/settle", ticket=True, timeout=WAIT_S, agreed=WAIT_S)
        ordinary = Gateway(self.balancer.address, asks, seed=1, most=60)
        with (
            MemoryWatch(self.balancer) as watch,
            HostileClients(self.balancer.address, kind, seconds, connections),
        ):
            await ordinary.run(seconds)
        ended = self.balancer.process.poll()
        return Outcome(ordinary, self.memory_mb, watch.peak, ended, self.balancer.log())


def configuration(listen: str, addresses: dict[str, str], memory_mb: int) -> dict[str, Any]:
    """Return a platform's file that names the upstreams itself: its discovery is not there."""
    entry = {"site": "a", "class": "m", "block": 0, "health": "up", "share": 1.0, "born_ms": 0}
    hosts = [{"host": name, "dial": dial} | entry for name, dial in addresses.items()]
    given: dict[str, Any] = json.loads(CONFIGURATION.read_text())
    return given | {
        "listen": listen,
        "discovery": "127.0.0.1:1",
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS},
    }


@contextmanager
def started(folder: Path, memory_mb: int) -> Iterator[Trial]:
    """Start upstreams and a balancer with so much memory in its settings; end them after the block."""
    script = Script(workers=50, queue=500, work=0.005)
    upstreams = UpstreamFleet({f"s-{number}": script for number in range(UPSTREAMS)})
    try:
        listen = free_address()
        given = configuration(listen, upstreams.addresses, memory_mb)
        balancer = Balancer(folder, platform=given, listen=listen)
        try:
            balancer.wait_ready()
            yield Trial(balancer, upstreams, memory_mb)
        finally:
            balancer.stop(wait=False)
    finally:
        upstreams.stop()
