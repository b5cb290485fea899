"""One process of the fleet inside the test, on a clock that stands still, asked as by its socket."""

import heapq
import json
import time
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace

import anyio
import anyio.lowlevel

import whinpier.fleet.consensus.service as agreed_module
import whinpier.fleet.service as link_module
from whinpier.config import operator
from whinpier.fleet.control_socket import Control
from whinpier.fleet.messages import (
    ALIVE,
    LOST,
    NO_RESPONSE,
    SUSPECT,
    MemberMetadata,
    MemberUpdate,
    pool_hash,
)
from whinpier.fleet.service import Link
from whinpier.http.transport import Http1Transport
from whinpier.runtime.process import Process
from whinpier.testbed import files

DATA = Path(__file__).parent / "data" / "kept"
START = 1_700_000_000 * 10**9  # of the wall clock, in ns; the other clock begins at 1,000 s
MS = 10**6
UPSTREAMS = {f"s-{number}": f"127.0.0.1:{10 + number}" for number in range(6)}
STATES = {"here": (ALIVE, 0), "suspect": (SUSPECT, 0), "lost": (LOST, NO_RESPONSE)}
AGREEMENT = {
    "voters": ["m0"],
    "build": "b0",
    "permits": {
        "all": {"of": "balancers", "out": 1},
        "t": {"of": "upstreams", "pool": "t", "out": 1},
    },
}
LIMITS = {
    "rate": {"kind": "rate", "amount": 30, "burst": 10, "homes": ["m0"]},
    "jobs": {"kind": "in_flight", "amount": 4, "homes": ["m0"]},
    "day": {"kind": "count", "amount": 100, "homes": ["m0"], "window": "day"},
    "most": {"kind": "rate", "amount": 20, "promise": "nearly"},
}


class Seeded(Random):
    """Where the process draws a seed from the machine it draws this one."""

    def __init__(self, seed=1):
        super().__init__(seed)


class Clock:
    """The machine's clocks, which go on only when they are told to."""

    def __init__(self, patch):
        self.passed = 0
        patch.setattr(time, "monotonic_ns", lambda: 1_000 * 10**9 + self.passed)
        patch.setattr(time, "time_ns", lambda: START + self.passed)
        patch.setattr(time, "time", lambda: (START + self.passed) / 10**9)


class Datagrams:
    """A socket on which nothing comes and everything goes."""

    def setsockopt(self, *given):
        pass

    def sendto(self, data, address):
        return len(data)


class Caller:
    """One connection to the control socket: what it asks, and what it was told."""

    def __init__(self, asked, after=lambda: None):
        self.asked, self.after, self.told = asked, after, b""

    async def __aenter__(self):
        return self

    async def __aexit__(self, *given):
        pass

    async def receive(self, most):
        if not self.asked:
            self.after()
            for _ in range(10):
                await anyio.lowlevel.checkpoint()
            raise anyio.EndOfStream
        data, self.asked = self.asked[:most], self.asked[most:]
        return data

    async def send(self, data):
        self.told += data


def spec_of(folder, **fleet):
    """What the process goes by."""
    key = folder / "key"
    key.write_text("a key for a trial, not a secret")
    key.chmod(0o600)
    (folder / "agreed").mkdir(exist_ok=True)
    pool = files.service("t", "exclusive", UPSTREAMS, 0.25, 1.5)
    whole = {
        "version": 1,
        "name": "m0",
        "listen": ["127.0.0.1:9000"],
        "pools": {"t": pool},
        "routes": [files.route("t", "exclusive", "t")],
        "bank": {"listen": "127.0.0.1:7000", "key_files": [str(key)], "zone": "a"} | fleet,
    }
    return replace(operator.made(whole), revision="0123456789ab", seed=7)


class Stage:
    """The process."""

    def __init__(self, patch, folder, whole=True):
        fleet = (
            {
                "agreement": AGREEMENT | {"folder": str(folder / "agreed")},
                "limits": LIMITS,
                "verdicts": {},
            }
            if whole
            else {}
        )
        self.clock = Clock(patch)
        patch.setattr(link_module, "Random", Seeded)
        patch.setattr(agreed_module, "Random", Seeded)
        spec = spec_of(folder, **fleet)
        self.process = Process(spec, Http1Transport(), lambda: spec, operator.changes)
        self.process.loop.requests = SimpleNamespace(start_soon=lambda *given: None)
        for pool in self.process.pools.values():
            pool.start()
        self.link = self.process.fleet = Link(self.process, spec.fleet, Datagrams())
        self.link.loop.call_at(self.link.loop.clock(), self.link, self.link.deal)
        if self.link.agreed:
            self.link.agreed.observe_pools()
            self.link.loop.call_at(
                self.link.loop.clock(), self.link.agreed, self.link.agreed.run_periodic_tasks
            )
        self.link.schedule()
        self.control = Control(self.link)

    def meet(self, name, state, port):
        """Another member, in a state, by this one's own word."""
        members = self.link.members
        card = MemberMetadata(name, port, 1, "127.0.0.1", port, "b1", "z", "rev", (pool_hash("t"),))
        number, why = STATES[state]
        members.admit(card, MemberUpdate(card.id, 0, number, why, members.metadata.id), 0, True)
        self.link.pass_on()

    def advance(self, span):
        """Let so many milliseconds go by, with all that falls due in them."""
        loop, end = self.link.loop, self.clock.passed + span * MS
        while loop.timers and loop.timers[0][0] <= START + end:
            at, _, host, call, given = heapq.heappop(loop.timers)
            self.clock.passed = max(self.clock.passed, at - START)
            loop.dispatch(host, call, *given)
            self.write()
        self.clock.passed = end

    def write(self):
        """What the record has for its disk goes there at once."""
        agreed = self.link.agreed
        while agreed and agreed.node.pending_records:
            anyio.run(agreed.write_pending_records)
            self.link.loop.dispatch(agreed, agreed.flush)

    def ask(self, line, after=lambda: None):
        """All lines that are answered, as they come."""
        caller = Caller(line, after)
        anyio.run(self.control.serve, caller)
        self.write()
        return caller.told.decode().splitlines()

    def happens(self, name, **pairs):
        self.link.say_event(name, pairs)

    def play(self, steps, begun=True):
        """What each request of a story is answered. Without `begun` nothing falls due in it."""
        found = []
        for step in steps:
            if "meet" in step:
                self.meet(*step["meet"])
            if begun:
                self.advance(step.get("after_ms", 0))
            found.append(self.ask(step["asked"].encode() + b"\n"))
        return found


def kept(name):
    return json.loads((DATA / name).read_text("utf-8"))
