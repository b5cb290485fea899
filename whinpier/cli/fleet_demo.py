"""Plays a fleet of some processes on this machine: a drain, a killed leader, a release, a bad one.

Starts and ends all of it itself. With `stay` the fleet is left running for a while, for whoever
wants to try the commands on it.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

AGREED, TIMEOUT, WORK, RATE = 0.25, 1.5, 0.008, 40.0
Tell = Callable[[str], None]


class Demo:
    """One fleet with upstreams of its own."""

    def __init__(self, folder: Path, count: int, tell: Tell) -> None:
        self.folder, self.count, self.tell = folder, count, tell
        self.upstream_fleet = UpstreamFleet(
            {f"s-{n}": Script(workers=8, work=WORK) for n in range(4)}, 1
        )
        self.fleet = Fleet(
            count,
            folder,
            self.service,
            relayed=False,
            agreement={
                "voters": [f"m{n}" for n in range(min(3, count))],
                "permits": {
                    "balancers": {"of": "balancers", "out": 1},
                    "t": {"of": "upstreams", "pool": "t", "out": 1},
                },
            },
        )

    def service(self, process: Process | None = None, **more: Any) -> files.Plain:
        pool = (
            files.service("t", "exclusive", self.upstream_fleet.addresses, AGREED, TIMEOUT) | more
        )
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    def status(self, number: int) -> dict[str, Any]:
        found: dict[str, Any] = self.fleet.ask(number, "status")
        return found

    def start(self) -> None:
        self.fleet.start()
        self.fleet.until(self.fleet.gathered, 30.0)
        self.fleet.until(lambda: all(self.status(n)["line"] >= 3 for n in range(self.count)), 30.0)

    def command(self, number: int, *words: str) -> int:
        """One command of `whinpier fleet`, as somebody types it."""
        self.tell(
            f"$ whinpier bank {' '.join(words)} --socket {self.fleet.processes[number].control}"
        )
        found = subprocess.run(
            [
                sys.executable,
                "-m",
                "whinpier.cli",
                "bank",
                *words,
                "--socket",
                self.fleet.processes[number].control,
            ],
            capture_output=True,
            text=True,
        )
        for line in (found.stdout + found.stderr).splitlines():
            self.tell(f"    {line}")
        self.tell(f"    exit {found.returncode}")
        return found.returncode

    def leader(self) -> int:
        return next(
            one.number
            for one in self.fleet.processes
            if one.alive() and self.status(one.number)["role"] == "leader"
        )

    def play(self, seconds: float) -> dict[str, Any]:
        """The whole story; what each command came to, and what clients saw."""
        last = self.count - 1
        loads = Loads(
            [
                (
                    self.fleet.processes[n].running.address,
                    Asks(f"t{n}", RATE, "/t/x", "POST", "t.example", TIMEOUT, AGREED),
                )
                for n in (last - 1, last)
            ],
            1,
            time.monotonic() + 0.2,
            seconds,
        )
        good, bad = self.folder / "good.toml", self.folder / "bad.toml"
        good.write_text(files.document(self.service(connect_timeout="200ms")))
        bad.write_text(
            files.document(self.service(upstreams=files.upstreams({"s-0": "127.0.0.1:9"})))
        )
        codes = {
            "drain": self.command(0, "drain", "balancer", f"m{last}", "--why", "a new disk"),
            "second drain": self.command(1, "drain", "balancer", f"m{last - 1}"),
            "undrain": self.command(0, "undrain", "balancer", f"m{last}"),
        }
        leads = self.leader()
        self.tell(f"    m{leads}, which leads, is killed")
        self.fleet.kill(leads)
        other = next(n for n in range(self.count) if n != leads)
        self.fleet.until(lambda: f"m{leads}" in self.status(other)["lost"], 20.0)
        codes["drain while one is lost"] = self.command(other, "drain", "balancer", f"m{last}")
        self.fleet.processes[leads].start()
        self.fleet.until(lambda: not self.status(other)["lost"], 20.0)
        self.tell(f"    m{leads} is there again")
        codes["release"] = self.command(
            other, "release", str(good), "--waves", "1", "--window", "1s"
        )
        codes["bad release"] = self.command(
            other, "release", str(bad), "--waves", "1", "--window", "1s"
        )
        codes["undo"] = self.command(other, "undo")
        self.command(other, "history")
        seen = loads.results()
        wrong = sum(len(one.unanswered()) + len(one.answered_twice()) for one in seen)
        twice = len(self.upstream_fleet.ledger().twice())
        wanted = {
            "drain": 0,
            "second drain": 1,
            "undrain": 0,
            "drain while one is lost": 1,
            "release": 0,
            "bad release": 3,
            "undo": 0,
        }
        return {
            "exits": codes,
            "tasks": sum(len(one.told) for one in seen),
            "without_one_answer": wrong,
            "exclusive_twice": twice,
            "on_time": round(min(one.share_on_time() for one in seen), 4),
            "good": codes == wanted and not wrong and not twice,
        }

    def stay(self, seconds: float) -> None:
        """Leave it running, and say how it is asked."""
        self.tell(f"the bank goes on for {seconds:g} s; ask any of its processes, for instance:")
        for one in self.fleet.processes:
            self.tell(f"    whinpier bank status --socket {one.control}")
        time.sleep(seconds)

    def end(self) -> None:
        self.fleet.end()
        self.upstream_fleet.stop()


def play(count: int, seconds: float, stay: float, tell: Tell) -> dict[str, Any]:
    """Start a fleet, play its story, leave it for a while, end it."""
    with tempfile.TemporaryDirectory(prefix="whinpier-") as name:
        demo = Demo(Path(name), count, tell)
        try:
            demo.start()
            found = demo.play(seconds)
            if stay:
                demo.stay(stay)
            return found
        finally:
            demo.end()
