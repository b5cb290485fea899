"""Owns the bank's datagrams: their socket, the clock, the log lines, what pools are told.

Hands bytes and times to `members` and sends what it gives back. Must never decide anything, let a flood take
the loop's time beyond a bound, or end the process for anything that comes or fails to go.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import sys
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from whinpier import log
from whinpier.bank import recall
from whinpier.bank.control import Control
from whinpier.bank.counting import Counting
from whinpier.bank.forms import Card, Seal, pool_mark
from whinpier.bank.limits import SLACK, TURN, Shares
from whinpier.bank.members import GONE, MS, UNHEARD, Address, Event, Members
from whinpier.bank.spec import BankSpec
from whinpier.decay import SECOND

if TYPE_CHECKING:
    from whinpier.runtime.life import Life
    from whinpier.runtime.pool import Pool

IP_RECVERR, MSG_ERRQUEUE = 11, 0x2000  # Linux: errors come with the address they are about
AT_ONCE = 64  # datagrams read in one go, before others have their turn
OPENED = 2_000  # a second of unknown addresses that are looked at; 5 us each
COUNT = SECOND // 4  # between looks at how many share each pool: what lasts is seen then
REMEMBER = 2.0  # seconds between looks at whether where members are has changed
BUILD = "0.1.0"


class Link:
    """This process as a member of the bank."""

    def __init__(self, life: Life, spec: BankSpec, sock: socket.socket) -> None:
        self.life, self.spec, self.sock, self.loop = life, spec, sock, life.loop
        self.now = self.loop.clock()
        chance = Random(life.chance.getrandbits(64))
        card = Card(spec.name, Random().getrandbits(63), 1, *spec.advertise, BUILD, spec.zone,
                    life.spec.revision, tuple(pool_mark(name) for name in spec.pools))
        recalled, kept = self.recalled()
        self.shares = Shares(spec.name, [held.limit for held in spec.limits], self.now, chance, kept)
        card = msgspec.structs.replace(card, limits=self.shares.epoch if spec.limits else 0)
        self.members = Members(card, spec.seeds, Seal(spec.keys), spec.times, chance, self.now,
                               recalled=recalled)
        self.counting = Counting(self.members, spec.pools)
        self.control = Control(self) if spec.control else None
        self.called_at = 0
        self.second, self.opened = 0, 0
        self.seen_changes = -1
        self.watchers: list[Callable[[dict[str, Any]], None]] = []
        self.by_mark: dict[int, str] = {}
        self.said: dict[tuple[int, int], bytes] = {}
        self.counts: Counter[str] = Counter()
        self.attach()
        if sys.platform == "linux":
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)

    def recalled(self) -> tuple[list[Address], dict[str, tuple[int, int]]]:
        try:
            return recall.read(self.spec.recall) if self.spec.recall else ([], {})
        except (OSError, ValueError) as fault:
            log.warn("bank_recall_fault", fault=fault)
            return [], {}

    async def remember(self) -> None:
        """Keep where members are, when it has changed, off the loop."""
        kept, well = None, True
        while True:
            await anyio.sleep(REMEMBER)
            now = self.members.addresses(), self.shares.keep()
            if now == kept or not any(now):
                continue
            try:
                await anyio.to_thread.run_sync(recall.write, self.spec.recall, *now)
                kept, well = now, True
            except OSError as fault:
                if well:
                    log.warn("bank_recall_fault", fault=fault)
                well = False

    def attach(self) -> None:
        """Connect the pools that the bank shares."""
        self.by_mark = {pool_mark(name): name for name in self.spec.pools}
        for name, pool in self.life.pools.items():
            pool.speaks = self.speaker(name) if name in self.spec.pools else None
            if name not in self.spec.pools:
                pool.alone()
            pool.gates = tuple(self.shares.by_name[held.limit.name] for held in self.spec.limits
                               if name in held.pools)
        # Before the first task: until it knows better, as many as the file lets it expect.
        self.count(self.now)

    def speaker(self, name: str) -> Callable[[bytes], None]:
        mark = pool_mark(name)
        return lambda contents: self.members.carry(mark, contents)

    # The life of the process.

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self.sock, self.came)
        if self.control:
            self.loop.spawn(self.control.run, lambda: None)
        if self.spec.recall:
            self.loop.spawn(self.remember, lambda: None)
        self.loop.at(self.loop.clock() + COUNT, self, self.recount)
        if self.spec.limits:
            self.loop.at(self.loop.clock() + TURN, self, self.deal)
        self.schedule()

    def follow(self, spec: BankSpec) -> None:
        """Go on by a new file."""
        keys, self.spec = spec.differs(self.spec), spec
        self.counting.follow(spec.pools)
        self.attach()
        self.members.change(self.loop.clock(), spec.seeds, Seal(spec.keys), spec.times, zone=spec.zone,
                            revision=self.life.spec.revision,
                            pools=tuple(pool_mark(name) for name in spec.pools))
        if keys:
            log.say("bank_changed", keys=",".join(keys))
        self.pass_on()

    def leave(self) -> None:
        self.members.leave(self.loop.clock())
        self.pass_on()

    def goodbye(self) -> None:
        self.members.goodbye(self.loop.clock())
        self.pass_on()

    def figures(self) -> dict[str, int]:
        members = self.members
        return {"bank_here": members.count(), "bank_unheard": members.tally[UNHEARD],
                **members.counts, **self.counts}

    # In and out.

    def came(self) -> None:
        """Something can be read. Registered once: to ask anew for each datagram costs more than reading."""
        for _ in range(AT_ONCE):
            try:
                data, source = self.sock.recvfrom(2_048)
            except BlockingIOError:
                break
            except OSError:
                continue  # what the error queue tells with its address
            if self.wanted(source):
                self.loop.enter(self, self.received, data, source)
        self.read_errors()

    def wanted(self, source: Address) -> bool:
        """Whether there is time for one more of an unknown address in this second."""
        if source in self.members.at_address:
            return True
        if (second := self.loop.clock() // SECOND) != self.second:
            self.second, self.opened = second, 0
        self.opened += 1
        if self.opened > OPENED:
            self.counts["bank_flood"] += 1
            return False
        return True

    def read_errors(self) -> None:
        for _ in range(AT_ONCE):
            try:
                _, extra, _, address = self.sock.recvmsg(512, 256, MSG_ERRQUEUE)
            except OSError:
                return
            for level, kind, data in extra:
                if (level, kind) == (socket.IPPROTO_IP, IP_RECVERR) and len(data) >= 4:
                    if int.from_bytes(data[:4], sys.byteorder) == errno.ECONNREFUSED:
                        self.loop.enter(self, self.refused, (address[0], address[1]))

    def received(self, data: bytes, source: Address) -> None:
        self.members.receive(data, source, self.now)
        self.pass_on()

    def refused(self, address: Address) -> None:
        self.members.refused(address, self.now)
        self.pass_on()

    def tick(self, called_at: int) -> None:
        if called_at == self.called_at:
            self.called_at = 0
            self.members.tick(self.now)
            self.pass_on()

    def schedule(self) -> None:
        due = self.members.due()
        if not self.called_at or due < self.called_at:
            self.called_at = due
            self.loop.at(due, self, self.tick, due)

    def pass_on(self) -> None:
        """Send what is to be sent, say what has happened, tell pools what others tell."""
        out, events, said = self.members.take()
        for address, data in out:
            try:
                self.sock.sendto(data, address)
            except BlockingIOError:
                self.counts["bank_not_sent"] += 1
            except OSError as fault:
                self.counts["bank_send_fault"] += 1
                if fault.errno != errno.ECONNREFUSED:
                    log.note("bank_send_fault", address="%s:%d" % address, fault=fault)
        for event in events:
            self.happened(event)
        for member, mark, contents in said:
            self.hear(member, mark, contents)
        if self.members.heard_deals:
            deals, self.members.heard_deals = self.members.heard_deals, []
            for sender, one in deals:
                self.shares.deal(one, sender, self.loop.clock())
            self.send_deals()
        if self.members.changes != self.seen_changes:
            self.seen_changes = self.members.changes
            self.count(self.loop.clock())
        self.schedule()

    def happened(self, event: Event) -> None:
        self.counts[event.name] += 1
        at = event.at - self.loop.offset  # on the machine's monotonic clock, as every process has it
        run = f"{self.members.card.run:x}"
        pairs = {"process": self.spec.name, "process_run": run, "mono_ns": at} | event.pairs
        log.say(event.name, **pairs)
        for watcher in list(self.watchers):
            watcher({"event": event.name} | pairs)

    # Limits.

    def deal(self) -> None:
        """Look what is needed of each limit, and whether all go by one division of it."""
        self.loop.at(self.now + TURN, self, self.deal)
        members, homes = self.members, {home for held in self.spec.limits for home in held.limit.homes}
        others = [one for one in members.members.values() if one.kind != GONE]
        twin = any(one.card.name == self.spec.name for one in others)
        if not self.shares.agreed:
            there = {one.card.name for one in others if one.card.limits == self.shares.epoch}
            apart = any(one.card.limits != self.shares.epoch and one.card.name in homes for one in others)
            if homes <= there | {self.spec.name} and not apart:
                self.shares.agree(self.now, True)
                log.say("bank_limits_agreed", limits=",".join(self.shares.by_name))
        for share in self.shares.by_name.values():
            if twin and self.now < share.fenced_till:
                # Guards against a second process of this name that holds the same home.
                share.fenced_till = self.now + share.limit.span + SLACK
        by_name = {one.card.name: one.id for one in others if one.connected}
        self.shares.turn(self.now, lambda limit: [by_name[home] for home in limit.homes if home in by_name])
        self.send_deals()

    def send_deals(self) -> None:
        if deals := self.shares.take_out():
            self.members.send_deals(deals, self.loop.clock())
            self.pass_on()

    def limits(self) -> list[dict[str, Any]]:
        """How each limit stands here."""
        now, found = self.loop.clock(), []
        for held in self.spec.limits:
            limit, share = held.limit, self.shares.by_name[held.limit.name]
            found.append({
                "limit": limit.name, "kind": limit.kind, "amount": limit.amount, "home": share.home,
                "mine": share.known(now), "need": share.need(now), "used": share.used,
                "lent": sum(one.amount for one in share.lent.values()),
                "borrowed": sum(one.amount for one in share.borrowed.values()), "passed": share.passed,
                "turned_back": share.turned_back, "agreed": self.shares.agreed,
                "fenced_ms": max(0, share.fenced_till - now) // MS})
        return found

    # Pools.

    def hear(self, member: int, mark: int, contents: bytes) -> None:
        """What another balancer's decisions tell those of the same pool here."""
        name = self.by_mark.get(mark)
        counted = self.counting.pools.get(name) if name else None
        pool = self.life.pools.get(name) if name else None
        if counted is None or pool is None or (number := counted.ids.get(member)) is None:
            return
        if len(self.said) > 4 * self.members.most:
            self.said.clear()
        if self.said.get((member, mark)) != contents:
            self.said[member, mark] = contents
            pool.hears(number, contents)

    def recount(self) -> None:
        self.loop.at(self.now + COUNT, self, self.recount)
        self.count(self.now)

    def count(self, now: int) -> None:
        """Tell pools how many share them, and which this one is."""
        for counted in self.counting.update(now):
            pool: Pool | None = self.life.pools.get(counted.name)
            if pool is not None:
                pool.shared(counted.balancers, counted.number)
                self.said.clear()  # by other numbers now
                log.say("bank_shares", pool=counted.name, balancers=counted.balancers, number=counted.number)
