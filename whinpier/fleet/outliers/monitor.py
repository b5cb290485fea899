"""Puts the fleet's verdicts where pools look: what answers say goes in, what rests comes out.

Knows both sides' names for an upstream: its host in a pool, a number in the fleet, which a restart
changes. Must never let an upstream rest that the court has not said, or tell it of answers that no
upstream gave.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from whinpier.fleet.membership.membership import Members
from whinpier.fleet.messages import Plea, pool_mark
from whinpier.fleet.outliers.ejection import CAP, SLACK, Court, Rules
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome
from whinpier.runtime.pool import Peer, Pool, Sent

if TYPE_CHECKING:
    from whinpier.runtime.event_loop import Loop

BAD = frozenset(
    (Outcome.FAILED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT)
)  # as bad as one that is very late


def key_of(peer: Peer) -> int:
    """One run of an upstream in four bytes, the same at every member."""
    text = f"{peer.host}/{peer.started}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4, person=b"upstream").digest(), "big")


class Watcher:
    """Watches one pool for the court."""

    def __init__(self, watching: Watching, pool: Pool) -> None:
        self.court, self.pool, self.loop = watching.court, pool, watching.loop
        self.mark = pool_mark(pool.name)
        self.keys: dict[str, int] = {}
        self.hosts: dict[int, str] = {}
        self.listing = -1

    def follow(self) -> None:
        """The list has changed."""
        if self.listing != self.pool.listings:
            self.listing = self.pool.listings
            self.keys = {host: key_of(peer) for host, peer in self.pool.held.items()}
            self.hosts = {key: host for host, key in self.keys.items()}
            names = self.pool.spec.zones
            zones = {
                self.keys[host]: pool_mark("zone/" + names[peer.zone])
                if peer.zone < len(names)
                else 0
                for host, peer in self.pool.held.items()
            }
            self.court.listed(self.mark, zones)

    def usual(self) -> float:
        """What a request usually takes here, over its request classes, in nanoseconds."""
        known = [request_class.known.usual for request_class in self.pool.spec.request_classes]
        return float(max(known))

    def sent(self, sent: Sent) -> None:
        if (key := self.keys.get(sent.peer.host)) is not None:
            self.court.sent(self.mark, key, id(sent), self.loop.clock())

    def came(self, sent: Sent) -> None:
        key, ratio = (
            self.keys.get(sent.peer.host),
            sent.took / sent.request.request_class.known.usual,
        )
        if key is None:
            return
        if sent.outcome in BAD:
            ratio = CAP
        elif sent.outcome != Outcome.SUCCEEDED and not (
            sent.outcome == Outcome.CANCELLED and ratio > 1.0
        ):
            ratio = -1.0  # it was never there: it says nothing
        self.court.came(self.mark, key, id(sent), ratio, self.loop.clock())


class Watching:
    """All pools."""

    def __init__(
        self,
        rules: Rules,
        members: Members,
        loop: Loop,
        chance: Any,
        tell: Callable[[str, dict[str, Any]], None],
    ) -> None:
        """`tell`: what has happened, to the log and to whoever watches."""
        self.members, self.loop, self.tell = members, loop, tell
        self.court = Court(rules, members.card.id, loop.clock(), chance, rules.life + SLACK)
        self.watchers: dict[int, Watcher] = {}
        self.by_hand: dict[
            tuple[str, ...], int
        ] = {}  # pool and upstream that operators let rest: until when
        self.missed: dict[tuple[str, ...], int] = {}  # of those: since when one does not rest here

    def put(self, pools: Iterable[Pool], shared: tuple[str, ...]) -> None:
        """Watch these, as far as the fleet shares them."""
        found = {}
        for pool in pools:
            mark = pool_mark(pool.name)
            if pool.name in shared:
                watcher = self.watchers.get(mark)
                found[mark] = watcher if watcher and watcher.pool is pool else Watcher(self, pool)
                pool.witness = found[mark]
            else:
                pool.witness = None
        for mark in self.watchers.keys() - found.keys():
            self.court.listed(mark, {})
        self.watchers = found

    def sharing(self, pool: int) -> tuple[int, int]:
        """How many are reckoned with in a pool, and how many of them are heard; this member is one."""
        there = [one for one in self.members.members.values() if pool in one.card.pools]
        heard = sum(one.connected for one in there)
        return 1 + heard + sum(one.unheard for one in there), 1 + heard

    def usual(self, pool: int) -> float:
        return self.watchers[pool].usual()

    def hear(self, sender: int, plea: Plea) -> None:
        watcher = self.watchers.get(plea.pool)
        if watcher is not None:
            watcher.follow()
            self.court.hear(plea, sender, watcher.usual(), self.loop.clock())
            self.heed()

    def turn(self, now: int) -> None:
        self.court.own = self.members.card.id
        for watcher in self.watchers.values():
            watcher.follow()
        self.look_by_hand(now)
        self.court.turn(now, self.usual, self.sharing)
        self.heed()

    def look_by_hand(self, now: int) -> None:
        """What operators let rest is kept up by somebody: whoever sees first that nobody does."""
        self.missed = {name: since for name, since in self.missed.items() if name in self.by_hand}
        for name, until in self.by_hand.items():
            watcher = self.watchers.get(pool_mark(name[0]))
            key = watcher.keys.get(name[1]) if watcher else None
            if watcher is None or key is None or (known := (watcher.mark, key)) in self.court.cases:
                continue
            if known in self.court.rests:
                self.missed.pop(name, None)
                continue
            # By chance within a second, so that not all ask at once.
            since = self.missed.setdefault(name, now + int(self.court.random() * SECOND))
            if now >= since and not self.court.open_case(watcher.mark, key, now, until - now, True):
                self.missed[name] = now + SECOND
        for known, case in list(self.court.cases.items()):
            watcher = self.watchers.get(known[0])
            host = watcher.hosts.get(known[1], "") if watcher else ""
            if case.by_hand and watcher and (watcher.pool.name, host) not in self.by_hand:
                self.court.end(*known)  # it was lifted

    def heed(self) -> None:
        """What the court has said: to pools, and to the log."""
        events, self.court.events = self.court.events, []
        for name, pairs in events:
            watcher = self.watchers.get(pairs["pool"])
            host = watcher.hosts.get(pairs["key"], "") if watcher else ""
            if watcher and host and name in ("ejection_started", "ejection_returning"):
                watcher.pool.rest(host, name == "ejection_started")
            by = {"by": self.members.name_of(pairs["by"])} if "by" in pairs else {}
            self.tell(
                name,
                pairs
                | by
                | {
                    "pool": watcher.pool.name if watcher else "",
                    "upstream": host,
                    "key": f"{pairs['key']:08x}",
                },
            )

    def take_out(self) -> list[tuple[int, Plea]]:
        """What is to be sent, and to whom."""
        out, self.court.out = self.court.out, []
        found = []
        for other, plea in out:
            if other:
                found.append((other, plea))
            else:
                found += [
                    (one.id, plea)
                    for one in self.members.members.values()
                    if one.connected and plea.pool in one.card.pools
                ]
        return found

    def rows(self) -> list[dict[str, Any]]:
        """What rests, or is about to, for people."""
        now, court, found = self.loop.clock(), self.court, []
        for known in {*court.rests, *court.returns, *court.cases, *court.hearings}:
            watcher = self.watchers.get(known[0])
            until = court.rests.get(known) or court.returns.get(known) or 0
            state = (
                "rests"
                if known in court.rests
                else "comes back"
                if known in court.returns
                else "voted on"
                if known in court.cases
                else "heard"
            )
            found.append(
                {
                    "pool": watcher.pool.name if watcher else "",
                    "upstream": watcher.hosts.get(known[1], "") if watcher else "",
                    "state": state,
                    "left_ms": max(0, until - now) // 1_000_000,
                    "kept_up_here": known in court.cases,
                    "times": court.strikes.get(known, (0, 0))[0],
                    "slots": court.slots(known[0]),
                }
            )
        return sorted(found, key=lambda row: (row["pool"], row["upstream"]))
