"""Plays three pools behind one balancer, with stand-ins; an upstream is stopped in the middle."""

from __future__ import annotations

import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from whinpier.cli.tables import show
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.ledger import percentile
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

POOLS = {"tariff": "rerunnable", "posting": "exclusive", "settlement": "ticketed"}
WORK = {"tariff": 0.008, "posting": 0.012, "settlement": 0.015}  # seconds of a worker
STOPPED = "posting-2"
AGREED, TIMEOUT = 0.25, 1.5


def operator(listen: str, addresses: dict[str, str]) -> str:
    """An operator's file for the demonstration."""
    pools = {}
    for name, kind in POOLS.items():
        own = {upstream: at for upstream, at in addresses.items() if upstream.startswith(name)}
        pools[name] = files.service(name, kind, own, AGREED, TIMEOUT)
    routes = [files.route(name, kind, name) for name, kind in POOLS.items()]
    return files.document(
        {"version": 1, "name": "demo", "listen": [listen], "pools": pools, "routes": routes}
    )


def play(seconds: float, rate: float, seed: int) -> dict[str, Any]:
    """Run it: what each pool's clients saw before and after an upstream was stopped, and where
    requests went.
    """
    scripts = {
        f"{name}-{number}": Script(work=WORK[name]) for name in POOLS for number in (1, 2, 3)
    }
    upstream_fleet = UpstreamFleet(scripts, seed)
    listen, loads = free_address("127.0.0.1"), dict[str, Load]()
    with tempfile.TemporaryDirectory() as folder:
        balancer = Balancer(
            Path(folder), operator=operator(listen, upstream_fleet.addresses), listen=listen
        )
        try:
            balancer.wait_ready()
            start = time.monotonic() + 0.7
            for name, kind in POOLS.items():
                asks = Asks(
                    name,
                    rate,
                    f"/{name}/1",
                    files.METHODS[kind],
                    f"{name}.example",
                    TIMEOUT,
                    AGREED,
                    ticket=kind == "ticketed",
                    retries=1,
                )
                loads[name] = Load(balancer.address, asks, seed, start, seconds)
            half = start + seconds / 2
            stop = threading.Timer(
                max(0.0, half - time.monotonic()), upstream_fleet.kill, (STOPPED,)
            )
            stop.start()
            seen = {name: load.result() for name, load in loads.items()}
            stop.join()
            ledger = upstream_fleet.ledger()
        finally:
            for load in loads.values():
                load.stop()
            balancer.stop()
            upstream_fleet.stop()
        log = balancer.log()
    pools = [
        row(name, part, gateway, begins, ends)
        for name, gateway in seen.items()
        for part, begins, ends in (("before", 0.0, half), ("after", half, float("inf")))
    ]
    twice = len(ledger.twice("posting"))
    unanswered = sum(len(gateway.unanswered()) for gateway in seen.values())
    broken = log.count("event=invariant_violated") + log.count("level=error")
    return {
        "stopped": STOPPED,
        "pools": pools,
        "went_to": dict(sorted(ledger.by.items())),
        "exclusive_twice": twice,
        "unanswered": unanswered,
        "broken": broken,
        "good": not (twice or unanswered or broken),
    }


def row(name: str, part: str, gateway: Gateway, begins: float, ends: float) -> dict[str, Any]:
    requests = [request for request in gateway.told if begins <= request.due < ends]
    times = [1000 * request.latency for request in requests if request.status == 200]
    return {
        "pool": name,
        "stretch": part,
        "tasks": len(requests),
        "fulfilled": len(times),
        "turned_back": sum(request.status == 503 for request in requests),
        "scrapped": sum(request.status == 502 for request in requests),
        "on_time": round(gateway.share_on_time(begins, ends), 4),
        "median_ms": round(percentile(times, 0.5), 1),
        "p99_ms": round(percentile(times, 0.99), 1),
    }


def tell(found: dict[str, Any]) -> None:
    show(
        found["pools"],
        f"what clients saw, before and after {found['stopped']} was stopped",
        naming=2,
    )
    show(
        [{"upstream": name, "tasks": count} for name, count in found["went_to"].items()],
        "where tasks ran",
    )
    print(
        f"exclusive tasks that ran twice: {found['exclusive_twice']}; "
        f"without an answer: {found['unanswered']}; rules broken: {found['broken']}"
    )
