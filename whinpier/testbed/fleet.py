"""A fleet of real processes with the stand-in network between them, and schedules of faults played
on it.

Owns the processes, their files, what they say on their control sockets, and the facts of what was
done to them. Ends all that it has started. Must never tell the referee what a process says of
itself as a fact.
"""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from whinpier.fleet.event_names import event_name
from whinpier.testbed import files
from whinpier.testbed.faults import Fault, Schedule
from whinpier.testbed.links import Address, Links
from whinpier.testbed.process import Balancer, free
from whinpier.testbed.referee import Fact, Said

LIMIT = 15.0  # seconds for whatever is waited for


class Process:
    """One process of the fleet, over all its runs."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"m{number}"
        self.folder = fleet.folder / self.name
        self.advertised, self.real = free(), free()
        self.http = "%s:%d" % free(socket.SOCK_STREAM)
        self.balancer: Balancer | None = None
        self.runs, self.run = 0, ""
        self.stopped = False
        self.limits = fleet.limits
        self.agreement: files.Plain = {}  # what its file has of the record beside the fleet's
        self.wall = 0.0  # seconds by which its wall clock is wrong
        self.dies: Path | None = (
            None  # a file that says at which point of its work on the record it dies
        )
        self.root: Path | None = None  # a checkout whose build it runs; None: this one

    @property
    def id(self) -> tuple[str, str]:
        return self.name, self.run

    @property
    def running(self) -> Balancer:
        """The run that is on. Raises RuntimeError where there is none."""
        if self.balancer is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.balancer

    @property
    def control(self) -> str:
        return str(self.folder / "bank.sock")

    def file(self) -> files.Plain:
        """Its operator's file."""
        given: files.Plain = {"version": 1, "name": self.name, "listen": [self.http]}
        given |= self.fleet.service(self)
        given["bank"] = {
            "listen": "%s:%d" % self.real,
            "key_files": [str(self.fleet.key)],
            "control": self.control,
            "recall": str(self.folder / "recall"),
            "state": str(self.folder / "state"),
            "advertise": "%s:%d" % (self.advertised if self.fleet.links else self.real),
            "seeds": ["%s:%d" % address for address in self.fleet.seeds()],
            **({"times": self.fleet.times} if self.fleet.times else {}),
            **({"limits": self.limits} if self.limits else {}),
            **({"verdicts": self.fleet.verdicts} if self.fleet.verdicts is not None else {}),
            **(
                {
                    "agreement": {"folder": str(self.folder / "agreed")}
                    | self.fleet.agreement
                    | self.agreement
                }
                if self.fleet.agreement is not None
                else {}
            ),
        }
        return given

    def start(self) -> None:
        self.runs += 1
        self.balancer = Balancer(
            self.folder / str(self.runs),
            files.document(self.file()),
            listen=self.http,
            cores=self.fleet.cores,
            wall=self.wall,
            dies=self.dies,
            fault=self.fleet.fault_put_in,
            root=self.root,
        )
        self.fleet.watch(self)

    def alive(self) -> bool:
        return self.balancer is not None and self.balancer.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.balancer and self.alive():
            self.balancer.process.send_signal(number)


class Fleet:
    """All of them."""

    def __init__(
        self,
        count: int,
        folder: Path,
        service: Callable[[Process], files.Plain],
        seed: int = 0,
        seeds: int = 3,
        relayed: bool = True,
        times: dict[str, str] | None = None,
        cores: set[int] | None = None,
        limits: files.Plain | None = None,
        verdicts: files.Plain | None = None,
        agreement: files.Plain | None = None,
        fault: str = "",
    ) -> None:
        """`service` gives each process what its file has beside the fleet: pools, routes, limits."""
        self.folder, self.service, self.times, self.cores = folder, service, times or {}, cores
        self.limits, self.verdicts, self.agreement = limits or {}, verdicts, agreement
        self.fault_put_in = fault  # into each process's code
        folder.mkdir(parents=True, exist_ok=True)
        self.key = folder / "bank.key"
        self.key.write_text("a key for a trial, not a secret")
        self.key.chmod(0o600)
        self.links: Links | None = None
        self.begun = time.monotonic()
        self.facts: list[Fact] = []
        self.said: list[Said] = []
        self.lock = threading.Lock()
        self.watchers: list[threading.Thread] = []
        self.processes = [Process(self, number) for number in range(count)]
        self.seed_count = seeds
        self.cuts: dict[str, list[list[str]]] = {}
        if relayed:
            self.links = Links(
                {one.name: (one.advertised, one.real) for one in self.processes}, seed
            )

    def seeds(self) -> list[Address]:
        return [
            one.advertised if self.links else one.real for one in self.processes[: self.seed_count]
        ]

    def clock(self) -> float:
        """Seconds since the start, on the clock that events are told by."""
        return time.monotonic() - self.begun

    def fact(self, kind: str, process: Process | None = None, **more: Any) -> None:
        with self.lock:
            self.facts.append(Fact(self.clock(), kind, process.id if process else ("", ""), **more))

    def start(self, *numbers: int) -> None:
        """Start these, or all, and wait until each can serve."""
        chosen = [self.processes[number] for number in numbers] if numbers else self.processes
        for one in chosen:
            one.start()
        for one in chosen:
            assert one.balancer
            one.balancer.wait_ready()

    def watch(self, process: Process) -> None:
        """Follow what a new run says, on a thread that ends with it."""
        known = threading.Event()
        thread = threading.Thread(
            target=self.follow, args=(process, process.runs, known), daemon=True
        )
        thread.start()
        self.watchers.append(thread)
        if not known.wait(LIMIT):
            raise RuntimeError(
                f"{process.name} does not say who it is: "
                f"{process.balancer.log() if process.balancer else ''}"
            )

    def follow(self, process: Process, run: int, known: threading.Event) -> None:
        ends = time.monotonic() + LIMIT
        while time.monotonic() < ends and process.runs == run:
            try:
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(LIMIT)
                    sock.connect(process.control)
                    sock.sendall(b'{"ask":"members","id":1}\n{"ask":"watch","id":2}\n')
                    sock.settimeout(None)
                    with sock.makefile("rb") as lines:
                        self.hear(process, lines, known)
                        return
            except (OSError, ValueError):
                time.sleep(0.02)

    def hear(self, process: Process, lines: Any, known: threading.Event) -> None:
        first = json.loads(lines.readline())["result"]
        own = first["members"][0]
        who = (process.name, own["run"])
        process.run = own["run"]
        self.fact("started", process)
        now = self.clock()
        with self.lock:
            # What it had found out before it could be asked.
            self.said.append(
                Said(now, who, "partition_state_changed", {"position": first["position"]})
            )
            for row in first["members"][1:]:
                pairs = {
                    "member": row["name"],
                    "run": row["run"],
                    "by": row["by"],
                    "why": row["why"],
                }
                self.said.append(Said(now, who, "member_" + row["state"], pairs))
        known.set()
        with suppress(OSError, ValueError):
            for line in lines:
                told = json.loads(line)
                event = told.get("event")
                if event is None:
                    continue
                at = event.pop("mono_ns") / 1e9 - self.begun
                with self.lock:
                    self.said.append(
                        Said(
                            at,
                            (event.pop("process"), event.pop("process_run")),
                            event_name(event.pop("event")),
                            event,
                        )
                    )

    def ask(self, number: int, what: str, **more: Any) -> Any:
        """Ask one process by its control socket."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(LIMIT)
            sock.connect(self.processes[number].control)
            sock.sendall(json.dumps({"ask": what, "id": 1} | more).encode() + b"\n")
            with sock.makefile("rb") as lines:
                answer = json.loads(lines.readline())
        if not answer["ok"]:
            raise RuntimeError(answer["fault"])
        return answer["result"]

    def view(self, number: int, *states: str) -> set[str]:
        """Names of members that are in these states, as one process has it."""
        return {
            row["name"] for row in self.ask(number, "members")["members"] if row["state"] in states
        }

    def until(self, holds: Callable[[], bool], limit: float = LIMIT) -> float:
        """Wait for something that the fleet does in its own time; seconds that it took."""
        start = time.monotonic()
        while not holds():
            if time.monotonic() - start > limit:
                raise TimeoutError("it did not come")
            time.sleep(0.01)
        return time.monotonic() - start

    def gathered(self, *numbers: int) -> bool:
        """Whether these, or all that run, hold each other to be here."""
        there = [
            one for one in self.processes if one.number in numbers or not numbers and one.alive()
        ]
        names = {one.name for one in there}
        return all(self.view(one.number, "here") == names for one in there)

    # Faults.

    def kill(self, number: int, silently: bool = False) -> None:
        """End a process; `silently`: as if its machine had died, so that nothing refuses."""
        process = self.processes[number]
        if silently and self.links:
            self.links.ask({"silent": process.name})
        self.fact("dead", process, bad=silently)
        process.signal(signal.SIGKILL)
        if process.balancer:
            process.balancer.process.wait(LIMIT)

    def stop(self, number: int) -> None:
        process = self.processes[number]
        self.fact("stopped", process)
        process.stopped = True
        process.signal(signal.SIGSTOP)

    def go_on(self, number: int) -> None:
        process = self.processes[number]
        process.signal(signal.SIGCONT)
        process.stopped = False
        self.fact("goes_on", process)

    def leave(self, number: int) -> None:
        process = self.processes[number]
        process.signal(signal.SIGTERM)
        if process.balancer:
            process.balancer.process.wait(LIMIT)
        self.fact("left", process)

    def move(self, number: int) -> None:
        """Its next run is elsewhere."""
        process = self.processes[number]
        process.advertised, process.real = free(), free()
        if self.links:
            self.links.ask({"member": [process.name, process.advertised, process.real]})

    def cut(self, name: str, *parts: list[int]) -> None:
        assert self.links
        named = [[self.processes[number].name for number in part] for part in parts]
        self.cuts[name] = named
        self.links.cut(name, named)
        self.tell_ways()

    def heal(self, name: str) -> None:
        assert self.links
        self.cuts.pop(name)
        self.links.lift(name)
        self.tell_ways()

    def tell_ways(self) -> None:
        groups: dict[tuple[int, ...], set[str]] = {}
        for process in self.processes:
            which = tuple(
                next(
                    (place for place, part in enumerate(parts) if process.name in part),
                    -1 - process.number,
                )
                for parts in self.cuts.values()
            )
            groups.setdefault(which, set()).add(process.name)
        self.fact(
            "ways", parts=tuple(frozenset(one) for one in groups.values()) if self.cuts else ()
        )

    def weather(
        self,
        name: str,
        sources: list[int] | None = None,
        targets: list[int] | None = None,
        **way: float,
    ) -> None:
        """Ways are so from now on; nothing said: they are sound again."""
        assert self.links
        if way:
            named = [
                [self.processes[number].name for number in some or ()]
                for some in (sources, targets)
            ]
            self.links.rule(name, named[0], named[1], None, **way)
        else:
            self.links.lift(name)
        self.fact("weather", bad=bool(way))

    def play(self, schedule: Schedule) -> None:
        """Play a schedule of faults in real time, from now."""
        steps: list[tuple[float, Callable[[], None]]] = []
        for index, fault in enumerate(schedule.faults):
            steps += self.steps(fault, f"fault-{index}")
        start = time.monotonic()
        for at, step in sorted(steps, key=lambda one: one[0]):
            time.sleep(max(0.0, start + at - time.monotonic()))
            step()
        time.sleep(max(0.0, start + schedule.seconds - time.monotonic()))

    def steps(self, fault: Fault, name: str) -> list[tuple[float, Callable[[], None]]]:
        """What a fault does, and when."""
        kind, found = fault.kind, list[tuple[float, Callable[[], None]]]()
        if kind == "cut":
            found.append((fault.at, lambda: self.cut(name, *map(list, fault.parts))))
            found.append((fault.ends, lambda: self.heal(name)))
        elif kind == "one_way":
            found.append(
                (fault.at, lambda: self.weather(name, list(fault.who), list(fault.to), lost=1.0))
            )
            found.append((fault.ends, lambda: self.weather(name)))
        elif kind in ("lossy", "late", "doubled", "torn", "flipped", "stale"):
            key = "lost" if kind == "lossy" else kind
            found.append((fault.at, lambda: self.weather(name, None, None, **{key: fault.amount})))
            found.append(
                (fault.ends + (2.0 if kind == "stale" else 0.0), lambda: self.weather(name))
            )
        else:
            for number in fault.who:
                found += self.steps_of(fault, number)
        return found

    def steps_of(self, fault: Fault, number: int) -> list[tuple[float, Callable[[], None]]]:
        kind = fault.kind
        if kind == "stop":
            return [(fault.at, lambda: self.stop(number)), (fault.ends, lambda: self.go_on(number))]
        if kind in ("kill", "vanish", "restart", "move"):
            found: list[tuple[float, Callable[[], None]]] = [
                (fault.at, lambda: self.kill(number, kind == "vanish"))
            ]
            if kind == "move":
                found.append((fault.ends, lambda: self.move(number)))
            if kind in ("restart", "move"):
                found.append((fault.ends, lambda: self.processes[number].start()))
            return found
        if kind == "leave":
            return [(fault.at, lambda: self.leave(number))]
        if kind == "join":
            return [(fault.at, lambda: self.processes[number].start())]
        raise ValueError(f"{kind} is not played on processes")

    def end(self) -> None:
        """Stop everything."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.balancer:
                process.balancer.process.wait(LIMIT)
        for thread in self.watchers:
            thread.join(LIMIT)
        if self.links:
            self.links.stop()
