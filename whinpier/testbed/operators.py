"""Stands in for operators who change a fleet all the time: drains, releases, halts, at any of its
processes.

Each notes what it was answered, and when, so that it can be held against what was so. Must never
take an answer for more than it said, or go on after it was told to end.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from whinpier.fleet.consensus.service import release_chunks
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.upstream_fleet import UpstreamFleet

APART = 0.03  # seconds between looks
LIMIT = 6.0  # seconds that one waits for what it said


@dataclass
class Answer:
    """What one command came to."""

    what: str
    name: str
    good: bool
    text: str
    at: float
    identity: int = 0
    done: bool = False  # it was said to be done everywhere
    untrue: str = ""  # what showed that it was not


class Operator(threading.Thread):
    """One operator, by chance."""

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        seed: int,
        ends: float,
        balancers: list[int],
        upstream_fleet: UpstreamFleet,
        contents: list[tuple[str, bytes]],
        pause: float = 0.4,
        pool: str = "t",
    ) -> None:
        super().__init__(daemon=True)
        self.fleet, self.number, self.ends, self.balancers = fleet, number, ends, balancers
        self.upstream_fleet, self.contents, self.pause = upstream_fleet, contents, pause
        self.pool = pool  # whose upstreams it drains
        self.chance = Random(f"operator/{seed}/{number}")
        self.answers: list[Answer] = []
        self.halting = threading.Event()
        self.fault = ""

    def run(self) -> None:
        try:
            while time.monotonic() < self.ends and not self.halting.wait(
                self.pause * self.chance.random()
            ):
                self.act()
        except Exception as fault:  # told to whoever looks at its answers
            self.fault = f"{type(fault).__name__}: {fault}"

    def act(self) -> None:
        draw, chance = self.chance.random(), self.chance
        if draw < 0.45:
            name = f"m{chance.choice(self.balancers)}"
            self.change("drain" if chance.random() < 0.5 else "undrain", {"name": name}, name)
        elif draw < 0.8:
            host = chance.choice(sorted(self.upstream_fleet.addresses))
            self.change(
                "drain" if chance.random() < 0.5 else "undrain",
                {"name": host, "pool": self.pool},
                f"{self.pool}/{host}",
            )
        elif draw < 0.92 and self.contents:
            content, data = chance.choice(self.contents)
            if self.put(content, data):
                self.change(
                    "release",
                    {
                        "content": content,
                        "waves": "1",
                        "window_ms": 300,
                        "least": 0,
                        "back_ms": 4_000,
                    },
                    content,
                )
        else:
            self.change(chance.choice(("halt", "resume", "undo")), {}, "")

    def ask(self, what: str, **more: Any) -> Any:
        """Ask a process that answers; None where none does in time, or it refuses."""
        for _ in range(40):
            number = self.chance.choice([one.number for one in self.fleet.processes])
            try:
                return number, self.fleet.ask(number, what, **more)
            except (OSError, ValueError):
                time.sleep(APART)
            except RuntimeError as fault:
                return number, str(fault)
            if time.monotonic() > self.ends:
                return None
        return None

    def put(self, content: str, data: bytes) -> bool:
        for piece in release_chunks(data):
            self.ask("put", name=content, value=piece)
        until = time.monotonic() + 2.0
        while time.monotonic() < min(until, self.ends):
            found = self.ask("has", name=content)
            if found and isinstance(found[1], dict) and found[1]["whole"]:
                return True
            time.sleep(APART)
        return False

    def change(self, what: str, value: dict[str, Any], name: str) -> None:
        identity = self.chance.getrandbits(60) | 1
        said = self.ask(
            "command", name=what, value=value | {"id": identity, "who": f"op-{self.number}"}
        )
        if said is None or isinstance(said[1], str):
            return
        until = time.monotonic() + LIMIT
        while time.monotonic() < min(until, self.ends):
            found = self.ask("outcome", name=str(identity))
            if found and isinstance(found[1], dict) and found[1]["known"]:
                answer = Answer(
                    what, name, found[1]["good"], found[1]["text"], self.fleet.clock(), identity
                )
                self.answers.append(answer)
                if answer.good and what == "drain" and "/" in name:
                    self.watch(answer)
                return
            time.sleep(APART)

    def watch(self, answer: Answer) -> None:
        """Once an upstream is said to be drained nothing new may come to it, for as long as it is."""
        until, host = time.monotonic() + LIMIT, answer.name.partition("/")[2]
        while time.monotonic() < min(until, self.ends):
            row = self.row(answer)
            if row is None:
                return
            if row["state"] == "done":
                met = self.upstream_fleet.tell(host)["met"]
                answer.done = True
                time.sleep(0.3)
                later = self.upstream_fleet.tell(host)["met"]
                if later != met and self.row(answer) is not None:
                    answer.untrue = (
                        f"{later - met} tasks came to {host} after it was said to be drained"
                    )
                return
            time.sleep(APART)

    def row(self, answer: Answer) -> dict[str, Any] | None:
        """The same drain, if every process that is asked still has it so."""
        for number in range(len(self.fleet.processes)):
            try:
                found = self.fleet.ask(number, "status")["drains"]
            except (OSError, ValueError, RuntimeError):
                continue
            same = [
                row
                for row in found
                if row["name"] == answer.name
                and f"permit {row['permit']}" == answer.text
                and row["state"] != "undraining"
            ]
            return same[0] if same else None
        return None


def halt(those: list[Operator]) -> None:
    """Have them end, and wait until they have."""
    for one in those:
        one.halting.set()
    for one in those:
        one.join(20.0)
