"""`python -m whinpier.standin.load`: one stream of tasks from a process of its own, which no other slows.

Reads one JSON object from standard input, writes what became of each task as one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import asdict
from typing import Any

from whinpier.standin.clients import Asks, Gateway
from whinpier.standin.ledger import Told


class Load:
    """A stream in a process of its own. `start` is a time of the monotonic clock, which processes share."""

    def __init__(self, address: tuple[str, int], asks: Asks, seed: int, start: float, span: float,
                 most: int = 400) -> None:
        self.asks = asks
        told = asdict(asks) | {"body": asks.body.decode("latin-1"), "ends": min(asks.ends, span)}
        self.process = subprocess.Popen([sys.executable, "-m", "whinpier.standin.load"], text=True,
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self.process.stdin
        json.dump({"address": address, "asks": told, "seed": seed, "start": start, "span": span,
                   "most": most}, self.process.stdin)
        self.process.stdin.close()

    def result(self) -> Gateway:
        """What its clients saw, once it has ended."""
        assert self.process.stdout
        text = self.process.stdout.read()
        self.process.wait()
        found: dict[str, Any] = json.loads(text)
        gateway = Gateway(("", 0), self.asks, 0)
        gateway.told = [Told(*row) for row in found.pop("told")]
        gateway.__dict__.update(found)
        return gateway

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def play(given: dict[str, Any]) -> Gateway:
    asks = Asks(**(given["asks"] | {"body": given["asks"]["body"].encode("latin-1"),
                                    "surges": [tuple(surge) for surge in given["asks"]["surges"]]}))
    gateway = Gateway(tuple(given["address"]), asks, given["seed"], given["most"])
    await asyncio.sleep(max(0.0, given["start"] - time.monotonic()))
    await gateway.run(given["span"])
    return gateway


def main() -> int:
    gateway = asyncio.run(play(json.loads(sys.stdin.read())))
    rows = [[task.id, task.kind, task.due, task.status, task.latency, task.answers, task.retry_after,
             task.body, task.tries, task.how] for task in gateway.told]
    json.dump({"told": rows, "surplus": gateway.surplus, "not_sent": gateway.not_sent, "cut": gateway.cut,
               "late": gateway.late},
              sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
