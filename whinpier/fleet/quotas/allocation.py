"""Decides how limits are divided among the members that hold them, and by which division this one
may go.

A division is what the operator's files say: limits, amounts, homes. Two may stand side by side
while files change; a member goes by the smaller of both until all go by the new one. What a member
held by the last division that was agreed outlives its process, and counts again once most of that
division's homes are heard to go by it or by this file: who comes back from long ago finds that they
do not. Why: docs/design/limits.md.

Free of I/O. Must never let a home count by a division that may have been left.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random
from types import MappingProxyType
from typing import Any, Protocol

from msgspec import Struct

from whinpier.fleet.messages import QuotaMessage, pool_hash
from whinpier.fleet.quotas.calendar_quota import Calendar, Note, Units
from whinpier.fleet.quotas.fair_share import Nearly
from whinpier.fleet.quotas.leases import CONNECTIONS, COUNT, RATE, SLACK, Limit, Share
from whinpier.policy.decaying_sum import SECOND

MOST_ROWS = 100  # of one limit's tenants, to people
NEVER = 1 << 40  # seconds since the epoch: of no window that has begun is anything known
POOLED = 16  # parts that strangers share once the table of tenants is full
SWEPT = 64  # parts of a table that are looked at for being idle, each turn

Between = Callable[[int], tuple[int, int]]


class Part(Protocol):
    """This member's part of one limit, or of one tenant's or upstream's."""

    limit: Limit
    passed: int
    turned_back: int

    def enter(self, now: int, ends: int = 0) -> Any: ...

    def wait(self, now: int) -> int: ...

    def row(self, now: int) -> dict[str, Any]: ...


class Held(Part, Protocol):
    """One that is divided into homes."""

    home: int
    fenced_till: int
    out: list[tuple[int, QuotaMessage]]

    def rehome(self, home: int, now: int, at_once: bool) -> None: ...

    def within(self, now: int) -> bool: ...

    def idle(self, now: int) -> bool: ...

    def turn(self, now: int, there: Iterable[int]) -> None: ...

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None: ...


class Kept(Struct, frozen=True, array_like=True):
    """Of one limit: the division that was last agreed, and what this member had in it."""

    epoch: int
    home: int
    homes: tuple[str, ...] = ()
    span: int = 0  # nanoseconds, of its loans


@dataclass(frozen=True)
class Said:
    """A limit as an operator's file says it."""

    limit: Limit
    pools: tuple[str, ...]
    nearly: bool = False
    calendar: Calendar | None = None
    routes: tuple[str, ...] = ()  # only what comes by these; empty: all
    each: str = ""  # "tenant" or "upstream": each has the limit by itself
    amounts: tuple[tuple[str, int], ...] = ()  # of tenants that have another
    most: int = 0  # tenants that are known at once
    connections: bool = False  # what is limited is connections to an upstream

    def with_amount(self, amount: float) -> Said:
        """The same with another amount, in requests or requests a second."""
        unit = 1000 if self.limit.kind == RATE else 1
        return replace(self, limit=replace(self.limit, amount=max(1, int(amount * unit))))

    def of(self, name: str) -> Limit:
        """The limit of one tenant or upstream."""
        amount = dict(self.amounts).get(name, self.limit.amount)
        return replace(self.limit, key=key_of(name), amount=amount)


def key_of(name: str) -> int:
    """A tenant's or upstream's name in four bytes; the first few numbers are those of strangers."""
    data = hashlib.blake2b(name.encode(), digest_size=4, person=b"tenant").digest()
    return max(POOLED, int.from_bytes(data, "big"))


class Table:
    """All parts of one limit: one, or one for each tenant or upstream that is known."""

    def __init__(self, said: Said, make: Callable[[Limit], Held], keys: Iterable[str] = ()) -> None:
        self.said, self.make = said, make
        self.parts: dict[int, Held] = {}
        self.names: dict[int, str] = {}
        self.live: dict[int, None] = {}  # those in which something goes on
        self.pooled = 0  # requests of strangers that had no part of their own
        self.pinned = {
            name for name, _ in said.amounts
        }  # that stay, whether anything goes on or not
        if not said.each:
            self.parts[0] = make(said.limit)
        for name in (*keys, *(name for name, _ in said.amounts)):
            self.named(name)

    @property
    def one(self) -> Held:
        """The only part of a limit over everything."""
        return self.parts[0]

    def named(self, name: str) -> Held:
        """Of one tenant or upstream; of a stranger, when the table is full, one that strangers share."""
        key = key_of(name)
        part = self.parts.get(key)
        if part is None:
            if self.said.most and len(self.parts) >= self.said.most:
                self.pooled += 1
                return self.keyed(key % POOLED, "strangers")
            part = self.keyed(key, name)
        self.live[key] = None
        return part

    def keyed(self, key: int, name: str = "") -> Held:
        part = self.parts.get(key)
        if part is None:
            limit = self.said.of(name) if name else self.said.limit
            part = self.parts[key] = self.make(replace(limit, key=key))
            self.names[key] = name or f"{key:08x}"
        self.live[key] = None
        return part

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None:
        """What another says of one of them. Who asks for one that is not known here finds it unused."""
        part = self.parts.get(deal.key)
        if part is None:
            if not self.said.each or self.said.most and len(self.parts) >= self.said.most + POOLED:
                return
            part = self.keyed(deal.key)
        self.live[deal.key] = None
        part.deal(deal, other, now)

    def turn(self, now: int, there: Iterable[int]) -> None:
        those = list(there)
        for key in list(self.live) if self.said.each else [0]:
            self.parts[key].turn(now, those)
        if self.said.each:
            self.sweep(now)

    def sweep(self, now: int) -> None:
        """Let go, a few at a time, of parts that are as they would begin."""
        for key in list(self.live)[:SWEPT]:
            del self.live[key]
            if self.names[key] not in self.pinned and self.parts[key].idle(now):
                del self.parts[key], self.names[key]
            else:
                self.live[key] = None  # to the end

    def take_out(self) -> list[tuple[int, QuotaMessage]]:
        found: list[tuple[int, QuotaMessage]] = []
        for key in self.live if self.said.each else self.parts:
            part = self.parts[key]
            if part.out:
                found += part.out
                part.out = []
        return found


class Shares:
    """All limits of one member that are divided into homes, and all that are nearly kept."""

    def __init__(
        self,
        name: str,
        those: Iterable[Said],
        now: int,
        chance: Random,
        between: Between,
        kept: Mapping[str, Kept] = MappingProxyType({}),
        lasting: bool = False,
        notes: Iterable[Note] = (),
        since: int = 0,
        sinces: Mapping[int, int] = MappingProxyType({}),
    ) -> None:
        """`kept`: what the last run went by; `notes`: what it had of windows, of those since `since` (s).

        `sinces`: the same of single limits, by mark, of which an operator said that nothing was
        used before.
        """
        self.name, self.chance, self.between, self.lasting = name, chance, between, lasting
        self.kept = dict(kept)
        self.notes, self.since, self.sinces = list(notes), since, dict(sinces)
        self.tables: dict[str, Table] = {}
        self.nearly: dict[str, Nearly] = {}
        self.agreed, self.sure = False, False
        self.fenced_till: dict[str, int] = {}
        self.epoch = self.told = 0
        self.departed: set[str] = set()  # homes of the last division that are known to be gone
        self.begun = False
        self.follow(those, now)
        self.begun, self.told = True, self.epoch

    # What the file says.

    def follow(self, those: Iterable[Said], now: int) -> None:
        """Go by another file; what goes on in limits that stay is kept."""
        before, self.tables = self.tables, {}
        nearly, self.nearly = self.nearly, {}
        if self.begun and not self.agreed:
            self.hold_to(before)
        for said in those:
            name, limit = said.limit.name, said.limit
            if said.nearly:
                old = nearly.get(name)
                same = (
                    old is not None
                    and old.limit.kind == limit.kind
                    and old.calendar == said.calendar
                )
                self.nearly[name] = (
                    old if same and old else Nearly(limit, said.calendar, now, self.between)
                )
                self.nearly[name].limit = limit
                continue
            table = before.get(name)
            if table is None or (table.said.limit.kind, table.said.calendar, table.said.each) != (
                limit.kind,
                said.calendar,
                said.each,
            ):
                table = Table(said, self.maker(said, now))
            else:
                table.said = said
                table.pinned |= {name for name, _ in said.amounts}
                for key, part in table.parts.items():
                    part.limit = replace(said.of(table.names[key]) if key else limit, key=key)
            self.tables[name] = table
        self.epoch = pool_hash(
            "/".join(sorted(f"{table.said.limit.epoch():x}" for table in self.tables.values()))
        )
        self.sure = self.sure or self.begun and not before
        self.agreed = not self.tables or self.agreed and self.epoch == self.told
        self.settle(now)

    def hold_to(self, tables: Mapping[str, Table]) -> None:
        """Of what was never agreed, or is left before all go by the next, no more than the least of both."""
        for name, table in tables.items():
            kept, limit = self.kept.get(name), table.said.limit
            least = min(kept.home, limit.home(self.name)) if kept else limit.home(self.name)
            self.kept[name] = Kept(
                0,
                least,
                kept.homes if kept else limit.homes,
                max(kept.span if kept else 0, limit.span),
            )

    def maker(self, said: Said, now: int) -> Callable[[Limit], Held]:
        kept = self.kept.get(said.limit.name)
        fence = 0 if self.begun else max(said.limit.span, kept.span if kept else 0) + SLACK
        fence *= said.limit.kind != CONNECTIONS  # those of the last run ended with it
        self.fenced_till[said.limit.name] = now + fence

        def made(limit: Limit) -> Held:
            left = max(0, self.fenced_till[limit.name] - now)
            if limit.kind != COUNT:
                part: Held = Share(limit, self.name, now, self.chance, left)
            else:
                assert said.calendar is not None
                part = Units(
                    limit,
                    said.calendar,
                    self.name,
                    now,
                    self.chance,
                    self.between,
                    self.lasting,
                    left,
                )
                part.recall(self.notes, self.sinces.get(limit.mark, self.since))
            if isinstance(part, Share):
                part.spans(kept.span if kept else 0)
            part.rehome(self.home(limit) if limit.name in self.tables else 0, now, True)
            return part

        return made

    # By which division.

    def home(self, limit: Limit) -> int:
        """What this member may count as its home now."""
        home = limit.home(self.name)
        if self.agreed:
            return home
        if not self.sure:
            return 0
        kept = self.kept.get(limit.name)
        # What no division before this one had is new, and was nobody's.
        same = kept is None or kept.epoch == self.tables[limit.name].said.limit.epoch()
        return home if same or kept is None else min(home, kept.home)

    def settle(self, now: int) -> None:
        for name, table in self.tables.items():
            kept = self.kept.get(name)
            # Nobody who held some of a window's count may have left it to the others, or it is
            # there twice.
            stay = set(kept.homes) if kept else set()
            at_once = bool(stay) and stay <= set(table.said.limit.homes)
            for part in table.parts.values():
                if isinstance(part, Share):
                    part.spans(kept.span if kept else 0)
                if (home := self.home(part.limit)) != part.home:
                    part.rehome(home, now, at_once)

    def look(
        self, now: int, there: set[str], apart: set[str], silent: set[str], voices: int = 1 << 30
    ) -> bool:
        """Who goes by this division; whether it is agreed from now on.

        `there`: members heard to go by this epoch, `apart`: heard to go by another, `silent`:
        reckoned with and not heard; this member itself is left out of all. `voices`: clocks that
        the fleet's time is from.
        """
        if self.agreed or not self.tables:
            return False
        mine = there | {self.name}
        if not self.sure:
            # Most of the homes of the last division, or, where none is known, of this one.
            last = [set(kept.homes) for kept in self.kept.values() if kept.homes]
            last = last or [set(table.said.limit.homes) for table in self.tables.values()]
            timed = any(table.said.calendar for table in self.tables.values())
            if all(
                2 * len(homes & mine) > len(homes) and (not timed or 2 * voices > len(homes))
                for homes in last
            ):
                self.sure = True
                if self.since == NEVER:
                    self.since = self.between(now)[1] // SECOND + 1
                    for part in self.units():
                        part.blind_till = self.sinces.get(part.limit.mark, self.since)
                self.settle(now)
        homes = {home for table in self.tables.values() for home in table.said.limit.homes}
        old = {home for kept in self.kept.values() for home in kept.homes}
        in_the_way = (apart | silent) & (homes | old) or old - mine - self.departed
        if self.told != self.epoch or not homes <= mine or in_the_way:
            return False
        self.agreed = self.sure = True
        self.kept = {
            name: Kept(
                table.said.limit.epoch(),
                table.said.limit.home(self.name),
                table.said.limit.homes,
                table.said.limit.span,
            )
            for name, table in self.tables.items()
        }
        self.settle(now)
        self.departed.clear()
        return True

    def tell(self, now: int) -> bool:
        """Whether this member goes by its file by now, so that the others may hear of it."""
        # Guards against a raise elsewhere while something is still out here that the file no longer
        # allows.
        if self.told == self.epoch or not all(
            part.within(now) for table in self.tables.values() for part in table.parts.values()
        ):
            return False
        # The others may raise theirs from here on: going back to the last division is a change like
        # any.
        self.hold_to(self.tables)
        self.told = self.epoch
        return True

    def keep(self) -> dict[str, Kept]:
        """What the next run has to know."""
        return self.kept

    # What goes on.

    def fence(self, now: int) -> None:
        """Hold what is held already back for as long as another process of this name may use it."""
        for table in self.tables.values():
            until = now + table.said.limit.span + SLACK
            if now < self.fenced_till[table.said.limit.name]:
                self.fenced_till[table.said.limit.name] = until
                for part in table.parts.values():
                    part.fenced_till = until

    def turn(self, now: int, there: Callable[[Limit], Iterable[int]]) -> None:
        """`there`: the members that hold a limit and can be asked."""
        for table in self.tables.values():
            if table.said.limit.kind != CONNECTIONS:
                table.turn(now, there(table.said.limit))

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None:
        for table in self.tables.values():
            if table.said.limit.mark == deal.limit:
                table.deal(deal, other, now)

    def take_out(self) -> list[tuple[int, QuotaMessage]]:
        """What is to be sent, and to whom."""
        return [message for table in self.tables.values() for message in table.take_out()]

    # Windows on the disk.

    def void(self, now: int) -> None:
        """What the disk said of windows is not to be counted on."""
        self.notes, self.since = [], self.between(now)[1] // SECOND + 1
        self.sinces = {}
        for part in self.units():
            part.void(now)

    def units(self) -> list[Units]:
        return [
            part
            for table in self.tables.values()
            for part in table.parts.values()
            if isinstance(part, Units)
        ]

    def begin(self, name: str, now: int) -> bool:
        """An operator says that nothing was used of the window that is on; whether there is such a count."""
        table = self.tables.get(name)
        if table is None or table.said.calendar is None:
            return False
        self.sinces[table.said.limit.mark] = table.said.calendar.bounds(
            self.between(now)[0] // SECOND
        )[0]
        for part in table.parts.values():
            assert isinstance(part, Units)
            part.begin(now)
        return True

    def over(self, now: int) -> Callable[[int, int], bool]:
        """Whether a window, by its limit's mark and start, is long over."""
        first = {}
        for table in self.tables.values():
            if (calendar := table.said.calendar) is not None:
                start = calendar.bounds(self.between(now)[0] // SECOND)[0]
                first[table.said.limit.mark] = calendar.bounds(start - 1)[0]
        return lambda mark, start: start < first.get(mark, 0)

    def rows(self, now: int) -> list[dict[str, Any]]:
        """How each stands, for people; of tenants and upstreams those in which something goes on."""
        found = []
        for name, table in self.tables.items():
            for key in list(table.live)[:MOST_ROWS] if table.said.each else [0]:
                part = table.parts[key]
                found.append(
                    {
                        "limit": name,
                        "of": table.names.get(key, ""),
                        "kind": part.limit.kind,
                        "promise": "never over",
                        "amount": part.limit.amount,
                        **part.row(now),
                        "passed": part.passed,
                        "turned_back": part.turned_back,
                        "agreed": self.agreed,
                        "fenced_ms": max(0, part.fenced_till - now) * 1000 // SECOND,
                        "pooled": table.pooled,
                    }
                )
        for name, one in self.nearly.items():
            found.append(
                {
                    "limit": name,
                    "of": "",
                    "kind": one.limit.kind,
                    "promise": "nearly",
                    "amount": one.limit.amount,
                    **one.row(now),
                    "passed": one.passed,
                    "turned_back": one.turned_back,
                    "agreed": True,
                    "fenced_ms": 0,
                }
            )
        return found
