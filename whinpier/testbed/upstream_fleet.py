"""Upstreams in processes of their own, and how to tell them otherwise from a test or a benchmark."""

from __future__ import annotations

import json
import subprocess
import sys
import urllib.request
from collections import Counter
from contextlib import suppress
from dataclasses import asdict
from http.client import HTTPException
from typing import Any

from whinpier.testbed.ledger import Ledger
from whinpier.testbed.upstream import CONTROL, Script


class UpstreamFleet:
    """One process with some upstreams."""

    def __init__(self, scripts: dict[str, Script], seed: int = 0, discovery: bool = False) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "whinpier.testbed"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdin and self.process.stdout
        given = {
            "seed": seed,
            "discovery": discovery,
            "upstreams": {name: asdict(script) for name, script in scripts.items()},
        }
        self.process.stdin.write(json.dumps(given) + "\n")
        self.process.stdin.flush()
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError("the stand-in upstreams did not start")
        self.killed: dict[str, dict[str, Any]] = {}
        self.addresses: dict[str, str] = json.loads(line)
        self.discovery = self.addresses.pop("discovery", "")

    def tell(self, name: str, **script: Any) -> dict[str, Any]:
        """Have one behave otherwise; what it has done so far comes back."""
        return self.control(self.addresses[name], script)

    def tell_list(self, **what: Any) -> dict[str, Any]:
        """Have the discovery tell something: `change`, `say`, `hang_up`, `beat`."""
        return self.control(self.discovery, what)

    @staticmethod
    def control(address: str, told: dict[str, Any]) -> dict[str, Any]:
        request = urllib.request.Request(
            f"http://{address}{CONTROL.decode()}", json.dumps(told).encode() if told else None
        )
        with urllib.request.urlopen(request, timeout=10.0) as answer:
            found: dict[str, Any] = json.load(answer)
        return found

    def meter(self) -> dict[str, Any]:
        """The most that all of them had at once, and when each request came, since last asked."""
        return self.control(next(iter(self.addresses.values())), {"meter": True})

    def kill(self, name: str) -> None:
        """Stop one as if its process had died: its connections are reset, new ones refused."""
        self.killed[name] = self.tell(name)
        with suppress(OSError, HTTPException):
            self.tell(name, stop=True)

    def ledger(self) -> Ledger:
        """What all of them did, added up; of one that was killed, until just before."""
        whole = Ledger()
        for name in self.addresses:
            told = self.killed.get(name) or self.tell(name)
            ran = Counter(told["ran"])
            whole.add(
                Ledger(
                    ran,
                    told["met"],
                    told["turned_away"],
                    told["last"],
                    Counter({name: ran.total()}),
                )
            )
        return whole

    def stop(self) -> None:
        if self.process.stdin:
            self.process.stdin.close()
        self.process.wait(10.0)
