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
from whinpier.fleet.quotas.calendar_quota import Calendar, CalendarQuota, WindowRecord
from whinpier.fleet.quotas.fair_share import ApproximateQuota
from whinpier.fleet.quotas.leases import CONNECTIONS, COUNT, LEASE_GRACE, RATE, LeasedQuota, Limit
from whinpier.policy.decaying_sum import SECOND

MOST_ROWS = 100  # of one limit's tenants, to people
NO_HISTORY = 1 << 40  # seconds since the epoch: of no window that has begun is anything known
POOLED = 16  # parts that strangers share once the table of tenants is full
SWEPT = 64  # parts of a table that are looked at for being idle, each turn

Between = Callable[[int], tuple[int, int]]


class Part(Protocol):
    """This member's part of one limit, or of one tenant's or upstream's."""

    limit: Limit
    admitted: int
    rejected: int

    def acquire(self, now: int, ends: int = 0) -> Any: ...

    def retry_after(self, now: int) -> int: ...

    def status_row(self, now: int) -> dict[str, Any]: ...


class Held(Part, Protocol):
    """One that is divided into homes."""

    home_quota: int
    fenced_until: int
    out: list[tuple[int, QuotaMessage]]

    def set_home_quota(self, home: int, now: int, at_once: bool) -> None: ...

    def fits_allocation(self, now: int) -> bool: ...

    def is_idle(self, now: int) -> bool: ...

    def on_timer(self, now: int, there: Iterable[int]) -> None: ...

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None: ...


class StoredAllocation(Struct, frozen=True, array_like=True):
    """Of one limit: the division that was last agreed, and what this member had in it."""

    epoch: int
    home_quota: int
    homes: tuple[str, ...] = ()
    lease_duration: int = 0  # nanoseconds, of its loans


@dataclass(frozen=True)
class LimitConfig:
    """A limit as an operator's file says it."""

    limit: Limit
    pools: tuple[str, ...]
    is_approximate: bool = False
    calendar: Calendar | None = None
    routes: tuple[str, ...] = ()  # only what comes by these; empty: all
    scope: str = ""  # "tenant" or "upstream": each has the limit by itself
    tenant_amounts: tuple[tuple[str, int], ...] = ()  # of tenants that have another
    max_tenants: int = 0  # tenants that are known at once
    connections: bool = False  # what is limited is connections to an upstream

    def with_amount(self, amount: float) -> LimitConfig:
        """The same with another amount, in requests or requests a second."""
        unit = 1000 if self.limit.kind == RATE else 1
        return replace(self, limit=replace(self.limit, amount=max(1, int(amount * unit))))

    def limit_for(self, name: str) -> Limit:
        """The limit of one tenant or upstream."""
        amount = dict(self.tenant_amounts).get(name, self.limit.amount)
        return replace(self.limit, key=hash_tenant_name(name), amount=amount)


def hash_tenant_name(name: str) -> int:
    """A tenant's or upstream's name in four bytes; the first few numbers are those of strangers."""
    data = hashlib.blake2b(name.encode(), digest_size=4, person=b"tenant").digest()
    return max(POOLED, int.from_bytes(data, "big"))


class QuotaTable:
    """All parts of one limit: one, or one for each tenant or upstream that is known."""

    def __init__(
        self, said: LimitConfig, make: Callable[[Limit], Held], keys: Iterable[str] = ()
    ) -> None:
        self.config, self.make = said, make
        self.quotas: dict[int, Held] = {}
        self.names: dict[int, str] = {}
        self.live: dict[int, None] = {}  # those in which something goes on
        self.pooled = 0  # requests of strangers that had no part of their own
        self.pinned = {
            name for name, _ in said.tenant_amounts
        }  # that stay, whether anything goes on or not
        if not said.scope:
            self.quotas[0] = make(said.limit)
        for name in (*keys, *(name for name, _ in said.tenant_amounts)):
            self.quota_for_name(name)

    @property
    def sole_quota(self) -> Held:
        """The only part of a limit over everything."""
        return self.quotas[0]

    def quota_for_name(self, name: str) -> Held:
        """Of one tenant or upstream; of a stranger, when the table is full, one that strangers share."""
        key = hash_tenant_name(name)
        part = self.quotas.get(key)
        if part is None:
            if self.config.max_tenants and len(self.quotas) >= self.config.max_tenants:
                self.pooled += 1
                return self.quota_for_key(key % POOLED, "strangers")
            part = self.quota_for_key(key, name)
        self.live[key] = None
        return part

    def quota_for_key(self, key: int, name: str = "") -> Held:
        part = self.quotas.get(key)
        if part is None:
            limit = self.config.limit_for(name) if name else self.config.limit
            part = self.quotas[key] = self.make(replace(limit, key=key))
            self.names[key] = name or f"{key:08x}"
        self.live[key] = None
        return part

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None:
        """What another says of one of them. Who asks for one that is not known here finds it unused."""
        part = self.quotas.get(deal.key)
        if part is None:
            if (
                not self.config.scope
                or self.config.max_tenants
                and len(self.quotas) >= self.config.max_tenants + POOLED
            ):
                return
            part = self.quota_for_key(deal.key)
        self.live[deal.key] = None
        part.on_message(deal, other, now)

    def on_timer(self, now: int, there: Iterable[int]) -> None:
        those = list(there)
        for key in list(self.live) if self.config.scope else [0]:
            self.quotas[key].on_timer(now, those)
        if self.config.scope:
            self.sweep(now)

    def sweep(self, now: int) -> None:
        """Let go, a few at a time, of parts that are as they would begin."""
        for key in list(self.live)[:SWEPT]:
            del self.live[key]
            if self.names[key] not in self.pinned and self.quotas[key].is_idle(now):
                del self.quotas[key], self.names[key]
            else:
                self.live[key] = None  # to the end

    def take_messages(self) -> list[tuple[int, QuotaMessage]]:
        found: list[tuple[int, QuotaMessage]] = []
        for key in self.live if self.config.scope else self.quotas:
            part = self.quotas[key]
            if part.out:
                found += part.out
                part.out = []
        return found


class QuotaAllocation:
    """All limits of one member that are divided into homes, and all that are nearly kept."""

    def __init__(
        self,
        name: str,
        those: Iterable[LimitConfig],
        now: int,
        chance: Random,
        between: Between,
        kept: Mapping[str, StoredAllocation] = MappingProxyType({}),
        lasting: bool = False,
        notes: Iterable[WindowRecord] = (),
        since: int = 0,
        known_since_by_limit: Mapping[int, int] = MappingProxyType({}),
    ) -> None:
        """`kept`: what the last run went by; `notes`: what it had of windows, of those since `since` (s).

        `sinces`: the same of single limits, by mark, of which an operator said that nothing was
        used before.
        """
        self.name, self.chance, self.between, self.lasting = name, chance, between, lasting
        self.stored = dict(kept)
        self.records, self.known_since, self.known_since_by_limit = (
            list(notes),
            since,
            dict(known_since_by_limit),
        )
        self.tables: dict[str, QuotaTable] = {}
        self.approximate_quotas: dict[str, ApproximateQuota] = {}
        self.agreed, self.sure = False, False
        self.fenced_until: dict[str, int] = {}
        self.epoch = self.announced_epoch = 0
        self.departed: set[str] = set()  # homes of the last division that are known to be gone
        self.begun = False
        self.apply_configs(those, now)
        self.begun, self.announced_epoch = True, self.epoch

    # What the file says.

    def apply_configs(self, those: Iterable[LimitConfig], now: int) -> None:
        """Go by another file; what goes on in limits that stay is kept."""
        before, self.tables = self.tables, {}
        nearly, self.approximate_quotas = self.approximate_quotas, {}
        if self.begun and not self.agreed:
            self.hold_to(before)
        for said in those:
            name, limit = said.limit.name, said.limit
            if said.is_approximate:
                old = nearly.get(name)
                same = (
                    old is not None
                    and old.limit.kind == limit.kind
                    and old.calendar == said.calendar
                )
                self.approximate_quotas[name] = (
                    old
                    if same and old
                    else ApproximateQuota(limit, said.calendar, now, self.between)
                )
                self.approximate_quotas[name].limit = limit
                continue
            table = before.get(name)
            if table is None or (
                table.config.limit.kind,
                table.config.calendar,
                table.config.scope,
            ) != (limit.kind, said.calendar, said.scope):
                table = QuotaTable(said, self.maker(said, now))
            else:
                table.config = said
                table.pinned |= {name for name, _ in said.tenant_amounts}
                for key, part in table.quotas.items():
                    part.limit = replace(
                        said.limit_for(table.names[key]) if key else limit, key=key
                    )
            self.tables[name] = table
        self.epoch = pool_hash(
            "/".join(sorted(f"{table.config.limit.epoch():x}" for table in self.tables.values()))
        )
        self.sure = self.sure or self.begun and not before
        self.agreed = not self.tables or self.agreed and self.epoch == self.announced_epoch
        self.settle(now)

    def hold_to(self, tables: Mapping[str, QuotaTable]) -> None:
        """Of what was never agreed, or is left before all go by the next, no more than the least of both."""
        for name, table in tables.items():
            kept, limit = self.stored.get(name), table.config.limit
            least = (
                min(kept.home_quota, limit.home_quota(self.name))
                if kept
                else limit.home_quota(self.name)
            )
            self.stored[name] = StoredAllocation(
                0,
                least,
                kept.homes if kept else limit.homes,
                max(kept.lease_duration if kept else 0, limit.lease_duration),
            )

    def maker(self, said: LimitConfig, now: int) -> Callable[[Limit], Held]:
        kept = self.stored.get(said.limit.name)
        extend_fence = (
            0
            if self.begun
            else max(said.limit.lease_duration, kept.lease_duration if kept else 0) + LEASE_GRACE
        )
        extend_fence *= said.limit.kind != CONNECTIONS  # those of the last run ended with it
        self.fenced_until[said.limit.name] = now + extend_fence

        def made(limit: Limit) -> Held:
            left = max(0, self.fenced_until[limit.name] - now)
            if limit.kind != COUNT:
                part: Held = LeasedQuota(limit, self.name, now, self.chance, left)
            else:
                assert said.calendar is not None
                part = CalendarQuota(
                    limit,
                    said.calendar,
                    self.name,
                    now,
                    self.chance,
                    self.between,
                    self.lasting,
                    left,
                )
                part.restore(
                    self.records, self.known_since_by_limit.get(limit.wire_id, self.known_since)
                )
            if isinstance(part, LeasedQuota):
                part.update_lease_durations(kept.lease_duration if kept else 0)
            part.set_home_quota(self.home(limit) if limit.name in self.tables else 0, now, True)
            return part

        return made

    # By which division.

    def home(self, limit: Limit) -> int:
        """What this member may count as its home now."""
        home = limit.home_quota(self.name)
        if self.agreed:
            return home
        if not self.sure:
            return 0
        kept = self.stored.get(limit.name)
        # What no division before this one had is new, and was nobody's.
        same = kept is None or kept.epoch == self.tables[limit.name].config.limit.epoch()
        return home if same or kept is None else min(home, kept.home_quota)

    def settle(self, now: int) -> None:
        for name, table in self.tables.items():
            kept = self.stored.get(name)
            # Nobody who held some of a window's count may have left it to the others, or it is
            # there twice.
            stay = set(kept.homes) if kept else set()
            at_once = bool(stay) and stay <= set(table.config.limit.homes)
            for part in table.quotas.values():
                if isinstance(part, LeasedQuota):
                    part.update_lease_durations(kept.lease_duration if kept else 0)
                if (home := self.home(part.limit)) != part.home_quota:
                    part.set_home_quota(home, now, at_once)

    def check_agreement(
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
            last = [set(kept.homes) for kept in self.stored.values() if kept.homes]
            last = last or [set(table.config.limit.homes) for table in self.tables.values()]
            timed = any(table.config.calendar for table in self.tables.values())
            if all(
                2 * len(homes & mine) > len(homes) and (not timed or 2 * voices > len(homes))
                for homes in last
            ):
                self.sure = True
                if self.known_since == NO_HISTORY:
                    self.known_since = self.between(now)[1] // SECOND + 1
                    for part in self.calendar_quotas():
                        part.unknown_before = self.known_since_by_limit.get(
                            part.limit.wire_id, self.known_since
                        )
                self.settle(now)
        homes = {home for table in self.tables.values() for home in table.config.limit.homes}
        old = {home for kept in self.stored.values() for home in kept.homes}
        in_the_way = (apart | silent) & (homes | old) or old - mine - self.departed
        if self.announced_epoch != self.epoch or not homes <= mine or in_the_way:
            return False
        self.agreed = self.sure = True
        self.stored = {
            name: StoredAllocation(
                table.config.limit.epoch(),
                table.config.limit.home_quota(self.name),
                table.config.limit.homes,
                table.config.limit.lease_duration,
            )
            for name, table in self.tables.items()
        }
        self.settle(now)
        self.departed.clear()
        return True

    def announce(self, now: int) -> bool:
        """Whether this member goes by its file by now, so that the others may hear of it."""
        # Guards against a raise elsewhere while something is still out here that the file no longer
        # allows.
        if self.announced_epoch == self.epoch or not all(
            part.fits_allocation(now)
            for table in self.tables.values()
            for part in table.quotas.values()
        ):
            return False
        # The others may raise theirs from here on: going back to the last division is a change like
        # any.
        self.hold_to(self.tables)
        self.announced_epoch = self.epoch
        return True

    def stored_allocations(self) -> dict[str, StoredAllocation]:
        """What the next run has to know."""
        return self.stored

    # What goes on.

    def extend_fence(self, now: int) -> None:
        """Hold what is held already back for as long as another process of this name may use it."""
        for table in self.tables.values():
            until = now + table.config.limit.lease_duration + LEASE_GRACE
            if now < self.fenced_until[table.config.limit.name]:
                self.fenced_until[table.config.limit.name] = until
                for part in table.quotas.values():
                    part.fenced_until = until

    def on_timer(self, now: int, there: Callable[[Limit], Iterable[int]]) -> None:
        """`there`: the members that hold a limit and can be asked."""
        for table in self.tables.values():
            if table.config.limit.kind != CONNECTIONS:
                table.on_timer(now, there(table.config.limit))

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None:
        for table in self.tables.values():
            if table.config.limit.wire_id == deal.limit:
                table.on_message(deal, other, now)

    def take_messages(self) -> list[tuple[int, QuotaMessage]]:
        """What is to be sent, and to whom."""
        return [message for table in self.tables.values() for message in table.take_messages()]

    # Windows on the disk.

    def invalidate_records(self, now: int) -> None:
        """What the disk said of windows is not to be counted on."""
        self.records, self.known_since = [], self.between(now)[1] // SECOND + 1
        self.known_since_by_limit = {}
        for part in self.calendar_quotas():
            part.invalidate_records(now)

    def calendar_quotas(self) -> list[CalendarQuota]:
        return [
            part
            for table in self.tables.values()
            for part in table.quotas.values()
            if isinstance(part, CalendarQuota)
        ]

    def mark_window_unused(self, name: str, now: int) -> bool:
        """An operator says that nothing was used of the window that is on; whether there is such a count."""
        table = self.tables.get(name)
        if table is None or table.config.calendar is None:
            return False
        self.known_since_by_limit[table.config.limit.wire_id] = table.config.calendar.bounds(
            self.between(now)[0] // SECOND
        )[0]
        for part in table.quotas.values():
            assert isinstance(part, CalendarQuota)
            part.mark_window_unused(now)
        return True

    def make_expiry_filter(self, now: int) -> Callable[[int, int], bool]:
        """Whether a window, by its limit's mark and start, is long over."""
        first = {}
        for table in self.tables.values():
            if (calendar := table.config.calendar) is not None:
                start = calendar.bounds(self.between(now)[0] // SECOND)[0]
                first[table.config.limit.wire_id] = calendar.bounds(start - 1)[0]
        return lambda mark, start: start < first.get(mark, 0)

    def status_rows(self, now: int) -> list[dict[str, Any]]:
        """How each stands, for people; of tenants and upstreams those in which something goes on."""
        found = []
        for name, table in self.tables.items():
            for key in list(table.live)[:MOST_ROWS] if table.config.scope else [0]:
                part = table.quotas[key]
                found.append(
                    {
                        "limit": name,
                        "of": table.names.get(key, ""),
                        "kind": part.limit.kind,
                        "promise": "never over",
                        "amount": part.limit.amount,
                        **part.status_row(now),
                        "passed": part.admitted,
                        "turned_back": part.rejected,
                        "agreed": self.agreed,
                        "fenced_ms": max(0, part.fenced_until - now) * 1000 // SECOND,
                        "pooled": table.pooled,
                    }
                )
        for name, one in self.approximate_quotas.items():
            found.append(
                {
                    "limit": name,
                    "of": "",
                    "kind": one.limit.kind,
                    "promise": "nearly",
                    "amount": one.limit.amount,
                    **one.status_row(now),
                    "passed": one.admitted,
                    "turned_back": one.rejected,
                    "agreed": True,
                    "fenced_ms": 0,
                }
            )
        return found
