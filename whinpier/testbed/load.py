"""`python -m whinpier.testbed.load`: streams of requests from a process of its own, which no other
slows.

Reads one JSON object from standard input, writes what became of each request of each stream as one
JSON list.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import asdict
from typing import Any

from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.ledger import Told


class Loads:
    """Streams in one process of their own. `start` is a time of the monotonic clock, which all share."""

    def __init__(
        self,
        streams: list[tuple[tuple[str, int], Asks]],
        seed: int,
        start: float,
        span: float,
        most: int = 400,
    ) -> None:
        self.asks = [asks for _, asks in streams]
        told = [
            {
                "address": address,
                "asks": asdict(asks)
                | {"body": asks.body.decode("latin-1"), "ends": min(asks.ends, span)},
            }
            for address, asks in streams
        ]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "whinpier.testbed.load"],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdin
        json.dump(
            {"streams": told, "seed": seed, "start": start, "span": span, "most": most},
            self.process.stdin,
        )
        self.process.stdin.close()

    def results(self) -> list[Gateway]:
        """What the clients of each stream saw, once all have ended."""
        assert self.process.stdout
        text = self.process.stdout.read()
        self.process.wait()
        gateways = []
        for asks, found in zip(self.asks, json.loads(text)):
            gateway = Gateway(("", 0), asks, 0)
            gateway.told = [Told(*row) for row in found.pop("told")]
            gateway.__dict__.update(found)
            gateways.append(gateway)
        return gateways

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Load(Loads):
    """One stream."""

    def __init__(
        self,
        address: tuple[str, int],
        asks: Asks,
        seed: int,
        start: float,
        span: float,
        most: int = 400,
    ) -> None:
        super().__init__([(address, asks)], seed, start, span, most)

    def result(self) -> Gateway:
        """What its clients saw, once it has ended."""
        return self.results()[0]


async def play(given: dict[str, Any]) -> list[Gateway]:
    gateways = []
    for stream in given["streams"]:
        told = stream["asks"]
        asks = Asks(
            **(
                told
                | {
                    "body": told["body"].encode("latin-1"),
                    "surges": [tuple(surge) for surge in told["surges"]],
                }
            )
        )
        gateways.append(Gateway(tuple(stream["address"]), asks, given["seed"], given["most"]))
    await asyncio.sleep(max(0.0, given["start"] - time.monotonic()))
    await asyncio.gather(*(gateway.run(given["span"]) for gateway in gateways))
    return gateways


def main() -> int:
    found = []
    for gateway in asyncio.run(play(json.loads(sys.stdin.read()))):
        rows = [
            [
                request.id,
                request.kind,
                request.due,
                request.status,
                request.latency,
                request.answers,
                request.retry_after,
                request.body,
                request.tries,
                request.how,
            ]
            for request in gateway.told
        ]
        found.append(
            {
                "told": rows,
                "surplus": gateway.surplus,
                "not_sent": gateway.not_sent,
                "cut": gateway.cut,
                "late": gateway.late,
            }
        )
    json.dump(found, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
