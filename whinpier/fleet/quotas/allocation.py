"""Decide how limits are divided among their home members, and which allocation this member may use.

An allocation follows from the operator's files: limits, amounts and home members. While files
change two allocations may be in use at once; a member uses the smaller of both home quotas until
all members use the new one. The home quotas of the last agreed allocation outlive the process. They
count again once most of that allocation's home members are known to use it or the present file; a
member that returns after a long absence finds that they do not. The reasoning is in
docs/design/limits.md.

Free of I/O. Must never let a home quota count by an allocation that may have been superseded.
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

MAX_STATUS_ROWS = 100  # of one limit's tenants or upstreams
# Seconds since the epoch, later than any window: of no window that has begun is the use known.
NO_HISTORY = 1 << 40
OVERFLOW_QUOTAS = 16  # shared by the tenants that find the table full
SWEEP_BATCH = 64  # quotas of a table that are checked for being idle in each call of `on_timer`

ClockBounds = Callable[[int], tuple[int, int]]


class Quota(Protocol):
    """This member's part of one limit, or of one tenant's or upstream's."""

    limit: Limit
    admitted: int
    rejected: int

    def acquire(self, now: int, deadline: int = 0) -> Any:
        """Admit one request; return what releases it, None if rejected."""

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a rejected request may be retried."""

    def status_row(self, now: int) -> dict[str, Any]:
        """Return its state for the operator's tables."""


class DividedQuota(Quota, Protocol):
    """A quota of a limit that is divided into home quotas."""

    home_quota: int
    fenced_until: int
    out: list[tuple[int, QuotaMessage]]

    def set_home_quota(self, home_quota: int, now: int, at_once: bool) -> None:
        """Use the home quota of another allocation."""

    def fits_allocation(self, now: int) -> bool:
        """Return whether no more is in use than the present home quota allows."""

    def is_idle(self, now: int) -> bool:
        """Return whether nothing is lost by removing it."""

    def on_timer(self, now: int, members: Iterable[int]) -> None:
        """Request what is lacking from these members."""

    def on_message(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Handle a message of another member."""


class StoredAllocation(Struct, frozen=True, array_like=True):
    """The last agreed allocation of one limit, and this member's home quota in it."""

    epoch: int
    home_quota: int
    homes: tuple[str, ...] = ()
    lease_duration: int = 0  # nanoseconds


@dataclass(frozen=True)
class LimitConfig:
    """A limit as the operator's file states it."""

    limit: Limit
    pools: tuple[str, ...]
    is_approximate: bool = False
    calendar: Calendar | None = None
    routes: tuple[str, ...] = ()  # whose requests are limited; empty: of all
    scope: str = ""  # "tenant" or "upstream": each has the limit for itself
    tenant_amounts: tuple[tuple[str, int], ...] = ()  # of tenants with an amount of their own
    max_tenants: int = 0  # tenants that have a quota at once
    connections: bool = False  # whether it limits connections to an upstream

    def with_amount(self, amount: float) -> LimitConfig:
        """Return it with another amount, in requests or requests per second."""
        unit = 1000 if self.limit.kind == RATE else 1
        return replace(self, limit=replace(self.limit, amount=max(1, int(amount * unit))))

    def limit_for(self, name: str) -> Limit:
        """Return the limit of one tenant or upstream."""
        amount = dict(self.tenant_amounts).get(name, self.limit.amount)
        return replace(self.limit, key=hash_tenant_name(name), amount=amount)


def hash_tenant_name(name: str) -> int:
    """Return the four-byte key of a tenant or upstream; the lowest keys are for overflow quotas."""
    data = hashlib.blake2b(name.encode(), digest_size=4, person=b"tenant").digest()
    return max(OVERFLOW_QUOTAS, int.from_bytes(data, "big"))


class QuotaTable:
    """All quotas of one limit: a single one, or one for each known tenant or upstream."""

    def __init__(
        self,
        config: LimitConfig,
        create_quota: Callable[[Limit], DividedQuota],
        names: Iterable[str] = (),
    ) -> None:
        """Create the single quota, or those of `names` and of tenants with their own amounts."""
        self.config = config
        self.create_quota = create_quota
        self.quotas: dict[int, DividedQuota] = {}  # by key
        self.names: dict[int, str] = {}  # by key
        self.active: dict[int, None] = {}  # keys of quotas that may not be idle, in order
        self.overflow_requests = 0  # of tenants without a quota of their own
        # Names whose quotas stay even when idle.
        self.pinned = {name for name, _ in config.tenant_amounts}
        if not config.scope:
            self.quotas[0] = create_quota(config.limit)
        for name in (*names, *(name for name, _ in config.tenant_amounts)):
            self.quota_for_name(name)

    @property
    def sole_quota(self) -> DividedQuota:
        """Return the quota of a limit that is not per tenant or upstream."""
        return self.quotas[0]

    def quota_for_name(self, name: str) -> DividedQuota:
        """Return the quota of a tenant or upstream; an overflow quota when the table is full."""
        key = hash_tenant_name(name)
        quota = self.quotas.get(key)
        if quota is None:
            if self.config.max_tenants and len(self.quotas) >= self.config.max_tenants:
                self.overflow_requests += 1
                return self.quota_for_key(key % OVERFLOW_QUOTAS, "strangers")
            quota = self.quota_for_key(key, name)
        self.active[key] = None
        return quota

    def quota_for_key(self, key: int, name: str = "") -> DividedQuota:
        """Return the quota of a key, created if it is new."""
        quota = self.quotas.get(key)
        if quota is None:
            limit = self.config.limit_for(name) if name else self.config.limit
            quota = self.quotas[key] = self.create_quota(replace(limit, key=key))
            self.names[key] = name or f"{key:08x}"
        self.active[key] = None
        return quota

    def on_message(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Pass a message on to its quota, created if it is new: nothing of it is used here yet."""
        quota = self.quotas.get(message.key)
        if quota is None:
            most = self.config.max_tenants
            if not self.config.scope or (most and len(self.quotas) >= most + OVERFLOW_QUOTAS):
                return
            quota = self.quota_for_key(message.key)
        self.active[message.key] = None
        quota.on_message(message, sender, now)

    def on_timer(self, now: int, members: Iterable[int]) -> None:
        """Call the timer of the single or of each active quota, and remove idle ones."""
        askable = list(members)
        for key in list(self.active) if self.config.scope else [0]:
            self.quotas[key].on_timer(now, askable)
        if self.config.scope:
            self.sweep(now)

    def sweep(self, now: int) -> None:
        """Remove idle quotas, a batch at a time."""
        for key in list(self.active)[:SWEEP_BATCH]:
            del self.active[key]
            if self.names[key] not in self.pinned and self.quotas[key].is_idle(now):
                del self.quotas[key], self.names[key]
            else:
                self.active[key] = None  # moves it to the end

    def take_messages(self) -> list[tuple[int, QuotaMessage]]:
        """Return the messages to send, each with its receiver, and forget them."""
        found: list[tuple[int, QuotaMessage]] = []
        for key in self.active if self.config.scope else self.quotas:
            quota = self.quotas[key]
            if quota.out:
                found += quota.out
                quota.out = []
        return found


class QuotaAllocation:
    """All limits of one member: those divided into home quotas, and the approximate ones."""

    def __init__(
        self,
        name: str,
        configs: Iterable[LimitConfig],
        now: int,
        chance: Random,
        clock_bounds: ClockBounds,
        stored: Mapping[str, StoredAllocation] = MappingProxyType({}),
        is_persistent: bool = False,
        records: Iterable[WindowRecord] = (),
        known_since: int = 0,
        known_since_by_limit: Mapping[int, int] = MappingProxyType({}),
    ) -> None:
        """Start with what the last run has stored.

        `stored` are the allocations that it used, `records` its records of calendar windows, which
        are complete for windows that begin at `known_since` (s since the epoch) or later.
        `known_since_by_limit` is the same for single limits, by wire ID, of which an operator said
        that nothing was used before.
        """
        self.name = name
        self.chance = chance
        self.clock_bounds = clock_bounds
        self.is_persistent = is_persistent
        self.stored = dict(stored)
        self.records = list(records)
        self.known_since = known_since
        self.known_since_by_limit = dict(known_since_by_limit)
        self.tables: dict[str, QuotaTable] = {}  # by name of the limit
        self.approximate_quotas: dict[str, ApproximateQuota] = {}
        self.agreed = False  # whether all members use the present allocation
        # Whether most home members are known not to have left the last agreed allocation.
        self.base_confirmed = False
        self.fenced_until: dict[str, int] = {}
        self.epoch = 0
        self.announced_epoch = 0
        self.departed: set[str] = set()  # home members of the last allocation, known to be gone
        self.started = False
        self.apply_configs(configs, now)
        self.started = True
        self.announced_epoch = self.epoch

    # The operator's file.

    def apply_configs(self, configs: Iterable[LimitConfig], now: int) -> None:
        """Use the limits of another file; limits that are in both keep their state."""
        tables_before = self.tables
        self.tables = {}
        approximate_before = self.approximate_quotas
        self.approximate_quotas = {}
        if self.started and not self.agreed:
            self.cap_home_quotas(tables_before)
        for config in configs:
            name = config.limit.name
            if config.is_approximate:
                quota = self.keep_or_create_approximate(config, approximate_before.get(name), now)
                self.approximate_quotas[name] = quota
            else:
                self.tables[name] = self.keep_or_create_table(config, tables_before.get(name), now)
        self.epoch = pool_hash(
            "/".join(sorted(f"{table.config.limit.epoch():x}" for table in self.tables.values()))
        )
        self.base_confirmed = self.base_confirmed or (self.started and not tables_before)
        is_announced = self.epoch == self.announced_epoch
        self.agreed = not self.tables or (self.agreed and is_announced)
        self.update_home_quotas(now)

    def keep_or_create_approximate(
        self, config: LimitConfig, quota: ApproximateQuota | None, now: int
    ) -> ApproximateQuota:
        """Return the quota of an approximate limit, with its state if the kind stays the same."""
        same = (
            quota is not None
            and quota.limit.kind == config.limit.kind
            and quota.calendar == config.calendar
        )
        if quota is None or not same:
            quota = ApproximateQuota(config.limit, config.calendar, now, self.clock_bounds)
        quota.limit = config.limit
        return quota

    def keep_or_create_table(
        self, config: LimitConfig, table: QuotaTable | None, now: int
    ) -> QuotaTable:
        """Return the table of a limit, with its state if kind, calendar and scope stay the same."""
        kept = (config.limit.kind, config.calendar, config.scope)
        if table is None or kept != (
            table.config.limit.kind,
            table.config.calendar,
            table.config.scope,
        ):
            return QuotaTable(config, self.quota_factory(config, now))
        table.config = config
        table.pinned |= {name for name, _ in config.tenant_amounts}
        for key, quota in table.quotas.items():
            limit = config.limit_for(table.names[key]) if key else config.limit
            quota.limit = replace(limit, key=key)
        return table

    def cap_home_quotas(self, tables: Mapping[str, QuotaTable]) -> None:
        """Store the smaller of the stored and the given home quotas.

        For an allocation that was never agreed, or is replaced before all members use it.
        """
        for name, table in tables.items():
            stored = self.stored.get(name)
            limit = table.config.limit
            home_quota = limit.home_quota(self.name)
            self.stored[name] = StoredAllocation(
                0,
                min(stored.home_quota, home_quota) if stored else home_quota,
                stored.homes if stored else limit.homes,
                max(stored.lease_duration if stored else 0, limit.lease_duration),
            )

    def quota_factory(self, config: LimitConfig, now: int) -> Callable[[Limit], DividedQuota]:
        """Return what creates the quotas of a limit, and start its fencing interval."""
        stored = self.stored.get(config.limit.name)
        stored_duration = stored.lease_duration if stored else 0
        fence = 0
        # Connections of the last run ended with it.
        if not self.started and config.limit.kind != CONNECTIONS:
            fence = max(config.limit.lease_duration, stored_duration) + LEASE_GRACE
        self.fenced_until[config.limit.name] = now + fence

        def create_quota(limit: Limit) -> DividedQuota:
            remaining_fence = max(0, self.fenced_until[limit.name] - now)
            quota: DividedQuota
            if limit.kind != COUNT:
                quota = LeasedQuota(limit, self.name, now, self.chance, remaining_fence)
            else:
                assert config.calendar is not None
                quota = CalendarQuota(
                    limit,
                    config.calendar,
                    self.name,
                    now,
                    self.chance,
                    self.clock_bounds,
                    self.is_persistent,
                    remaining_fence,
                )
                known_since = self.known_since_by_limit.get(limit.wire_id, self.known_since)
                quota.restore(self.records, known_since)
            if isinstance(quota, LeasedQuota):
                quota.update_lease_durations(stored_duration)
            is_table_ready = limit.name in self.tables
            quota.set_home_quota(self.usable_home_quota(limit) if is_table_ready else 0, now, True)
            return quota

        return create_quota

    # Which allocation is in use.

    def usable_home_quota(self, limit: Limit) -> int:
        """Return what this member may use as its home quota of a limit now."""
        home_quota = limit.home_quota(self.name)
        if self.agreed:
            return home_quota
        if not self.base_confirmed:
            return 0
        stored = self.stored.get(limit.name)
        # A limit without a stored allocation is new: nobody held any of it.
        if stored is None or stored.epoch == self.tables[limit.name].config.limit.epoch():
            return home_quota
        return min(home_quota, stored.home_quota)

    def update_home_quotas(self, now: int) -> None:
        """Set the home quotas that may be used now."""
        for name, table in self.tables.items():
            stored = self.stored.get(name)
            # A larger home quota counts for the open calendar window only if all former home
            # members still are: one that left may have used or transferred part of the window.
            former_homes = set(stored.homes) if stored else set()
            at_once = bool(former_homes) and former_homes <= set(table.config.limit.homes)
            for quota in table.quotas.values():
                if isinstance(quota, LeasedQuota):
                    quota.update_lease_durations(stored.lease_duration if stored else 0)
                home_quota = self.usable_home_quota(quota.limit)
                if home_quota != quota.home_quota:
                    quota.set_home_quota(home_quota, now, at_once)

    def check_agreement(
        self,
        now: int,
        same_epoch: set[str],
        other_epoch: set[str],
        unreachable: set[str],
        clock_votes: int = 1 << 30,
    ) -> bool:
        """Return whether all members have just come to use this allocation.

        The sets are names of the other members: that announced this epoch, that announced another,
        and that are unreachable. `clock_votes` is the number of clocks behind the fleet's time.
        """
        if self.agreed or not self.tables:
            return False
        agreeing = same_epoch | {self.name}
        if not self.base_confirmed:
            self.confirm_base(now, agreeing, clock_votes)
        homes = {home for table in self.tables.values() for home in table.config.limit.homes}
        former_homes = {home for stored in self.stored.values() for home in stored.homes}
        blocking = (other_epoch | unreachable) & (homes | former_homes)
        blocking = blocking or former_homes - agreeing - self.departed
        if self.announced_epoch != self.epoch or not homes <= agreeing or blocking:
            return False
        self.agreed = True
        self.base_confirmed = True
        self.stored = {
            name: StoredAllocation(
                table.config.limit.epoch(),
                table.config.limit.home_quota(self.name),
                table.config.limit.homes,
                table.config.limit.lease_duration,
            )
            for name, table in self.tables.items()
        }
        self.update_home_quotas(now)
        self.departed.clear()
        return True

    def confirm_base(self, now: int, agreeing: set[str], clock_votes: int) -> None:
        """Use stored home quotas once most of each allocation's home members agree.

        Where no allocation is stored the present one's home members count. For calendar windows
        the fleet's time must come from the clocks of most of them, too.
        """
        former_homes = [set(stored.homes) for stored in self.stored.values() if stored.homes]
        if not former_homes:
            former_homes = [set(table.config.limit.homes) for table in self.tables.values()]
        needs_clocks = any(table.config.calendar for table in self.tables.values())
        for homes in former_homes:
            if 2 * len(homes & agreeing) <= len(homes):
                return
            if needs_clocks and 2 * clock_votes <= len(homes):
                return
        self.base_confirmed = True
        if self.known_since == NO_HISTORY:
            self.known_since = self.clock_bounds(now)[1] // SECOND + 1
            for quota in self.calendar_quotas():
                quota.unknown_before = self.known_since_by_limit.get(
                    quota.limit.wire_id, self.known_since
                )
        self.update_home_quotas(now)

    def announce(self, now: int) -> bool:
        """Return whether this member has just come to use its file, so that others may be told.

        Not before all that the file no longer allows is released: others may then raise their home
        quotas.
        """
        if self.announced_epoch == self.epoch or not all(
            quota.fits_allocation(now)
            for table in self.tables.values()
            for quota in table.quotas.values()
        ):
            return False
        # Others may raise their home quotas from now on, so a return to the last allocation is a
        # change like any other.
        self.cap_home_quotas(self.tables)
        self.announced_epoch = self.epoch
        return True

    def stored_allocations(self) -> dict[str, StoredAllocation]:
        """Return what the next run has to know."""
        return self.stored

    # Operation.

    def extend_fence(self, now: int) -> None:
        """Restart the fencing intervals that last: another process with this name is alive."""
        for table in self.tables.values():
            until = now + table.config.limit.lease_duration + LEASE_GRACE
            if now < self.fenced_until[table.config.limit.name]:
                self.fenced_until[table.config.limit.name] = until
                for quota in table.quotas.values():
                    quota.fenced_until = until

    def on_timer(self, now: int, members: Callable[[Limit], Iterable[int]]) -> None:
        """Call the timers of all tables; `members` returns the home members that can be asked."""
        for table in self.tables.values():
            if table.config.limit.kind != CONNECTIONS:
                table.on_timer(now, members(table.config.limit))

    def on_message(self, message: QuotaMessage, sender: int, now: int) -> None:
        """Pass a message of another member on to the table of its limit."""
        for table in self.tables.values():
            if table.config.limit.wire_id == message.limit:
                table.on_message(message, sender, now)

    def take_messages(self) -> list[tuple[int, QuotaMessage]]:
        """Return the messages to send, each with its receiver, and forget them."""
        return [message for table in self.tables.values() for message in table.take_messages()]

    # Records of calendar windows on the disk.

    def invalidate_records(self, now: int) -> None:
        """Discard what the disk said of windows: it is outdated."""
        self.records = []
        self.known_since = self.clock_bounds(now)[1] // SECOND + 1
        self.known_since_by_limit = {}
        for quota in self.calendar_quotas():
            quota.invalidate_records(now)

    def calendar_quotas(self) -> list[CalendarQuota]:
        """Return the quotas of all limits that count requests in calendar windows."""
        return [
            quota
            for table in self.tables.values()
            for quota in table.quotas.values()
            if isinstance(quota, CalendarQuota)
        ]

    def mark_window_unused(self, name: str, now: int) -> bool:
        """Allow the home quota of the open window: an operator says that nothing was used of it.

        Return whether there is a limit of this name that counts in calendar windows.
        """
        table = self.tables.get(name)
        if table is None or table.config.calendar is None:
            return False
        earliest = self.clock_bounds(now)[0] // SECOND
        start = table.config.calendar.bounds(earliest)[0]
        self.known_since_by_limit[table.config.limit.wire_id] = start
        for quota in table.quotas.values():
            assert isinstance(quota, CalendarQuota)
            quota.mark_window_unused(now)
        return True

    def make_expiry_filter(self, now: int) -> Callable[[int, int], bool]:
        """Return a test of whether a window, by its limit's wire ID and start, is long over.

        Long over is what began before the previous window.
        """
        previous_start = {}
        for table in self.tables.values():
            if (calendar := table.config.calendar) is not None:
                start = calendar.bounds(self.clock_bounds(now)[0] // SECOND)[0]
                previous_start[table.config.limit.wire_id] = calendar.bounds(start - 1)[0]
        return lambda wire_id, start: start < previous_start.get(wire_id, 0)

    def status_rows(self, now: int) -> list[dict[str, Any]]:
        """Return the state of each limit for the operator's tables, of tenants the active ones."""
        found = []
        for name, table in self.tables.items():
            for key in list(table.active)[:MAX_STATUS_ROWS] if table.config.scope else [0]:
                quota = table.quotas[key]
                found.append(
                    {
                        "limit": name,
                        "of": table.names.get(key, ""),
                        "kind": quota.limit.kind,
                        "promise": "never over",
                        "amount": quota.limit.amount,
                        **quota.status_row(now),
                        "passed": quota.admitted,
                        "turned_back": quota.rejected,
                        "agreed": self.agreed,
                        "fenced_ms": max(0, quota.fenced_until - now) * 1000 // SECOND,
                        "pooled": table.overflow_requests,
                    }
                )
        for name, approximate in self.approximate_quotas.items():
            found.append(
                {
                    "limit": name,
                    "of": "",
                    "kind": approximate.limit.kind,
                    "promise": "nearly",
                    "amount": approximate.limit.amount,
                    **approximate.status_row(now),
                    "passed": approximate.admitted,
                    "turned_back": approximate.rejected,
                    "agreed": True,
                    "fenced_ms": 0,
                }
            )
        return found
