"""Stands in for the network between processes of a fleet: every way, each direction by itself, can
go wrong.

Each member advertises an address of this relay. What is sent there is known by its source, treated
as the way from that member to this one is just now, and passed on from the sender's own advertised
address. When nothing listens at a member's real address the relay lets go of its own for a moment,
so that senders are refused as they would be without it. Must never lose or change what no rule
says, and ends with its standard input.

`python -m whinpier.testbed.links` reads one JSON line (`seed`, `members`: name to [advertised,
real] address), then one line for each change, and answers each with its counts.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from whinpier.testbed.child import Child

Address = tuple[str, int]
REFUSING = 0.25  # seconds that a relayed address stays closed once the real one has refused
MOST_QUEUED = 4_096  # datagrams that a way with a bound on bytes holds back


@dataclass
class Way:
    """What happens on the way from one member to another. Shares are of datagrams, times seconds."""

    lost: float = 0.0
    late: float = 0.0  # delayed by up to so much, by chance, so that others pass
    delay: float = 0.0  # and by so much in any case
    doubled: float = 0.0
    torn: float = 0.0
    flipped: float = 0.0
    stale: float = 0.0  # comes again 2 s later
    rate: float = 0.0  # bytes a second; 0: no bound

    @property
    def sound(self) -> bool:
        return self == Way()


@dataclass
class Rule:
    """How ways are: from whom, to whom (empty: anybody)."""

    way: Way
    sources: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()
    parts: tuple[frozenset[str], ...] = ()  # instead: nothing passes between parts

    def takes(self, source: str, target: str) -> bool:
        if self.parts:
            return not any(source in part and target in part for part in self.parts)
        return (not self.sources or source in self.sources) and (
            not self.targets or target in self.targets
        )


@dataclass
class Ways:
    """All rules; the way between two is the worst of each that holds for it."""

    rules: dict[str, Rule] = field(default_factory=dict)
    known: dict[tuple[str, str], Way] = field(default_factory=dict)

    def between(self, source: str, target: str) -> Way:
        found = self.known.get((source, target))
        if found is None:
            found = Way()
            for rule in self.rules.values():
                if rule.takes(source, target):
                    for key, value in asdict(rule.way).items():
                        before = getattr(found, key)
                        tighter = key == "rate" and before and value
                        setattr(found, key, min(before, value) if tighter else max(before, value))
            self.known[source, target] = found
        return found

    def set(self, name: str, rule: Rule | None) -> None:
        self.known.clear()
        self.rules.pop(name, None)
        if rule is not None:
            self.rules[name] = rule


class Relay:
    """All ways. Runs on the asyncio loop it is started on."""

    def __init__(self, members: dict[str, tuple[Address, Address]], seed: int) -> None:
        self.chance, self.ways = Random(f"links/{seed}"), Ways()
        self.advertised = {name: one[0] for name, one in members.items()}
        self.real = {name: one[1] for name, one in members.items()}
        self.by_real = {one[1]: name for name, one in members.items()}
        self.sockets: dict[str, socket.socket] = {}
        self.counts: Counter[str] = Counter()
        self.silent: set[str] = set()  # whose machine is gone: nothing refuses there
        self.free_at: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        for name in self.advertised:
            self.open(name)

    def open(self, name: str) -> None:
        if name in self.sockets:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setsockopt(socket.IPPROTO_IP, 11, 1)  # IP_RECVERR: who refuses is told
        sock.bind(self.advertised[name])
        self.sockets[name] = sock
        asyncio.get_running_loop().add_reader(sock, self.read, name, sock)

    def close(self, name: str) -> None:
        sock = self.sockets.pop(name, None)
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def read(self, name: str, sock: socket.socket) -> None:
        for _ in range(256):
            try:
                data, source = sock.recvfrom(4096)
            except BlockingIOError:
                break
            except OSError:
                continue
            sender = self.by_real.get(source)
            if sender is None:
                self.counts["strange"] += 1
            else:
                self.pass_on(sender, name, data)
        self.errors(sock)

    def errors(self, sock: socket.socket) -> None:
        """A real address that refuses: its stand-in refuses for a while."""
        for _ in range(64):
            try:
                _, _, _, address = sock.recvmsg(512, 256, 0x2000)
            except OSError:
                return
            target = self.by_real.get((address[0], address[1]))
            if target is not None and target in self.sockets and target not in self.silent:
                self.counts["refused"] += 1
                self.close(target)
                asyncio.get_running_loop().call_later(REFUSING, self.open, target)

    def pass_on(self, sender: str, target: str, data: bytes) -> None:
        way, chance, loop = (
            self.ways.between(sender, target),
            self.chance.random,
            asyncio.get_running_loop(),
        )
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        if way.sound:
            self.send(sender, target, data)
            return
        if chance() < way.lost:
            self.counts["lost"] += 1
            return
        wait = way.delay + chance() * way.late
        if way.rate:
            at = max(loop.time(), self.free_at.get((sender, target), 0.0))
            if (at - loop.time()) * way.rate > MOST_QUEUED * 300:
                self.counts["lost"] += 1
                return
            self.free_at[sender, target] = at + len(data) / way.rate
            wait += self.free_at[sender, target] - loop.time()
        if chance() < way.torn:
            data = data[: int(chance() * len(data))]
        if chance() < way.flipped and data:
            at_byte = int(chance() * len(data))
            data = (
                data[:at_byte]
                + bytes((data[at_byte] ^ 1 << int(chance() * 8),))
                + data[at_byte + 1 :]
            )
        for _ in range(1 + (chance() < way.doubled)):
            if wait > 0.0:
                loop.call_later(wait, self.send, sender, target, data)
            else:
                self.send(sender, target, data)
        if chance() < way.stale:
            loop.call_later(wait + 2.0, self.send, sender, target, data)

    def send(self, sender: str, target: str, data: bytes) -> None:
        sock = self.sockets.get(sender)
        if sock is None:
            self.open(sender)  # it sends, so that it is there again
            sock = self.sockets[sender]
        try:
            sock.sendto(data, self.real[target])
        except OSError:
            self.counts["not_sent"] += 1
            self.errors(sock)

    def told(self, line: dict[str, Any]) -> dict[str, Any]:
        """One change: a rule by its name (`way` null takes it away), or a member's other address."""
        if "rule" in line:
            way = line.get("way")
            self.ways.set(
                line["rule"],
                None
                if way is None
                else Rule(
                    Way(**way),
                    frozenset(line.get("sources", ())),
                    frozenset(line.get("targets", ())),
                    tuple(frozenset(part) for part in line.get("parts", ())),
                ),
            )
        if "silent" in line:
            self.silent.add(line["silent"])
        if "member" in line:
            name, advertised, real = line["member"]
            self.close(name)
            self.by_real.pop(self.real.get(name, ("", 0)), None)
            self.advertised[name], self.real[name] = tuple(advertised), tuple(real)
            self.by_real[self.real[name]] = name
            self.open(name)
        return dict(self.counts)


async def serve(first: dict[str, Any]) -> None:
    members = {name: (tuple(one[0]), tuple(one[1])) for name, one in first["members"].items()}
    relay = Relay(members, first.get("seed", 0))
    relay.start()
    print(json.dumps({"ready": True}), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(relay.told(json.loads(line))), flush=True)


class Links(Child):
    """The relay in a process of its own."""

    def __init__(self, members: dict[str, tuple[Address, Address]], seed: int) -> None:
        super().__init__("whinpier.testbed.links", {"seed": seed, "members": members})

    def rule(
        self,
        name: str,
        sources: list[str] | None,
        targets: list[str] | None,
        parts: list[list[str]] | None,
        **way: float,
    ) -> None:
        """From now on ways are so; `lift` ends it."""
        self.ask(
            {
                "rule": name,
                "way": way,
                "sources": sources or [],
                "targets": targets or [],
                "parts": parts or [],
            }
        )

    def cut(self, name: str, parts: list[list[str]]) -> None:
        self.rule(name, None, None, parts, lost=1.0)

    def lift(self, name: str) -> None:
        self.ask({"rule": name, "way": None})

    def counts(self) -> dict[str, Any]:
        return self.ask({})


def main() -> int:
    asyncio.run(serve(json.loads(sys.stdin.readline())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
