"""The table `bank` of an operator's file, which configures the fleet: its keys and their checks.

Imported only where a file has the table. Each ConfigFault names the key.
"""

from __future__ import annotations

import os
from dataclasses import fields
from math import ceil
from typing import Annotated, Any, Literal

from msgspec import Meta

from whinpier.config.fields import Duration, Strict, duration, kept_secret, named, part
from whinpier.config.model import ConfigFault, address
from whinpier.fleet import messages
from whinpier.fleet.consensus.node import MAX_VOTERS
from whinpier.fleet.membership.membership import MS, MembershipTiming
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.quotas.allocation import LimitConfig
from whinpier.fleet.quotas.calendar_quota import Calendar
from whinpier.fleet.quotas.leases import CONNECTIONS, COUNT, IN_FLIGHT, LEASE_DURATION, RATE, Limit
from whinpier.fleet.rollouts.commands import MAX_RULES, BudgetRule, BudgetTarget
from whinpier.fleet.spec import AgreementSpec, FleetSpec
from whinpier.policy.decaying_sum import SECOND

MAX_SEEDS = 1_000
MAX_LIMITS = 64
MAX_HOMES = 1_000  # of one limit
MAX_SOCKET_PATH_BYTES = 100  # some less than the 104 to 108 that systems take
MAX_ZONE_LENGTH = 63  # characters
MIN_TIMING = 10 * MS
MIN_DURATION = SECOND // 10  # of ejections and of consensus
MIN_EJECTION_LEASE = 2 * SECOND  # votes take some time to arrive
MIN_CUT_OFF = 5 * SECOND  # it takes 3 s to find out that a member is lost
MIN_LEASE_TIMEOUTS = 3  # a lease of requests in flight outlives this many of the longest timeouts


class TimesTable(Strict, frozen=True):
    """Timing of the membership.

    By default a lost member is found within 3 s, and a pause of 1 s does not count as a loss.
    """

    probe: Duration = "100ms"
    answer: Duration = "300ms"
    suspect: Duration = "1200ms"
    refused: Duration = "400ms"
    reckon: Duration = "10m"
    settle: Duration = "2s"


class LimitTable(Strict, frozen=True):
    """A limit of the whole fleet."""

    kind: Literal["rate", "in_flight", "count", "connections"]
    amount: Annotated[float, Meta(gt=0.0, le=1e9)]
    promise: Literal["never_over", "nearly"] = "never_over"
    homes: list[str] = []
    burst: Annotated[int, Meta(ge=1, le=2**31)] | None = None
    window: Literal["minute", "hour", "day"] | None = None
    time_zone: str = "UTC"
    pools: list[str] = []
    routes: list[str] = []
    each: Literal["tenant", "upstream"] | None = None
    tenants: dict[str, Annotated[float, Meta(gt=0.0, le=1e9)]] = {}
    most: Annotated[int, Meta(ge=1, le=100_000)] = 1_024


class VerdictsTable(Strict, frozen=True):
    """When the fleet ejects an upstream for all its members."""

    part: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.2
    witnesses: Annotated[int, Meta(ge=2, le=100)] = 3
    slow: Annotated[float, Meta(ge=1.5, le=9.0)] = 3.0
    life: Duration = "6s"
    term: Duration = "10s"
    most_term: Duration = "5m"
    back: Duration = "5s"


class PermitTable(Strict, frozen=True):
    """A disruption budget: how many balancers or upstreams may be out at once."""

    of: Literal["balancers", "upstreams"]
    out: Annotated[int, Meta(ge=0, le=4096)]
    pool: str = ""
    zone: str = ""


class AgreementTable(Strict, frozen=True):
    """Consensus of the fleet, which decides on drains and releases."""

    voters: list[str]
    folder: str
    permits: dict[str, PermitTable] = {}
    wait: Duration = "5s"
    write_off: Duration = "10m"
    cut_off: Duration = "15s"
    build: Annotated[str, Meta(max_length=63)] = messages.BUILD_VERSION


class FleetTable(Strict, frozen=True):
    """How this process takes part in the fleet."""

    listen: str
    key_files: list[str]
    name: str = ""
    advertise: str = ""
    seeds: list[str] = []
    control: str = ""
    recall: str = ""
    state: str = ""
    zone: str = ""
    times: TimesTable = TimesTable()
    limits: dict[str, Any] = {}
    verdicts: VerdictsTable | None = None
    agreement: AgreementTable | None = None


def read_timing(table: TimesTable, at: str) -> MembershipTiming:
    """Return the timing of the membership. Raises ConfigFault."""
    timing = {
        field.name: duration(getattr(table, field.name), f"{at}.{field.name}", MIN_TIMING)
        for field in fields(MembershipTiming)
    }
    if timing["answer"] < timing["probe"]:
        raise ConfigFault(f"{at}.answer: is shorter than probe")
    if timing["suspect"] < timing["answer"]:
        raise ConfigFault(
            f"{at}.suspect: is shorter than answer; who is suspected needs time to refute"
        )
    if timing["reckon"] < 10 * timing["suspect"]:
        raise ConfigFault(f"{at}.reckon: is shorter than ten times suspect")
    return MembershipTiming(**timing)


def read_keys(paths: list[str], at: str) -> tuple[bytes, ...]:
    """Read the keys of the fleet from their files. Raises ConfigFault."""
    if not 1 <= len(paths) <= 2:
        raise ConfigFault(f"{at}: {len(paths)} of them; one, or two while they are changed")
    keys = []
    for index, path in enumerate(paths):
        key = kept_secret(path, f"{at}[{index}]")
        if not messages.MIN_KEY_BYTES <= len(key) <= messages.MAX_KEY_BYTES:
            raise ConfigFault(
                f"{at}[{index}]: {path} holds {len(key)} bytes; "
                f"{messages.MIN_KEY_BYTES} to {messages.MAX_KEY_BYTES} are a key"
            )
        keys.append(key)
    return tuple(keys)


def read_limit(name: str, value: Any, pools: dict[str, int], routes: dict[str, str]) -> LimitConfig:
    """Return the configuration of one limit. Raises ConfigFault.

    `pools` are all pools with their longest timeouts in nanoseconds, `routes` all routes with their
    pools.
    """
    at = f"bank.limits.{named(name, 'bank.limits')}"
    table = part(value, LimitTable, at)
    is_approximate = table.promise == "nearly"
    _check_homes(table, at)
    for key, given, known in (("pools", table.pools, pools), ("routes", table.routes, routes)):
        for index, item in enumerate(given):
            if item not in known:
                raise ConfigFault(
                    f"{at}.{key}[{index}]: {item!r} is none of {', '.join(known) or 'none'}"
                )
    limited_pools = tuple(table.pools) or tuple(pools)
    for index, route in enumerate(table.routes):
        if routes[route] not in limited_pools:
            raise ConfigFault(
                f"{at}.routes[{index}]: {route!r} leads to {routes[route]}, which is not in pools"
            )
    _check_scope(table, at)
    calendar = None
    if table.window is not None:
        try:
            calendar = Calendar(table.window, table.time_zone)
        except (KeyError, ValueError, OSError):
            raise ConfigFault(
                f"{at}.time_zone: {table.time_zone!r} is no time zone that this machine knows"
            ) from None
    amount = read_amount(table.amount, table.kind, f"{at}.amount")
    burst = 0
    lease_duration = LEASE_DURATION
    if table.kind == RATE:
        burst = table.burst or max(1, ceil(table.amount))
    elif table.burst is not None:
        raise ConfigFault(f"{at}.burst: only a rate has one")
    elif table.kind == IN_FLIGHT:
        longest_timeout = max(pools[pool] for pool in limited_pools)
        lease_duration = max(LEASE_DURATION, MIN_LEASE_TIMEOUTS * longest_timeout)
    tenant_amounts = tuple(
        (tenant, read_amount(tenant_amount, table.kind, f"{at}.tenants.{tenant}"))
        for tenant, tenant_amount in sorted(table.tenants.items())
    )
    return LimitConfig(
        Limit(
            name,
            table.kind,
            amount,
            tuple(table.homes),
            burst,
            lease_duration,
            _window_identity(table, tenant_amounts),
        ),
        limited_pools,
        is_approximate,
        calendar,
        tuple(table.routes),
        table.each or "",
        tenant_amounts,
        table.most if table.each == "tenant" else 0,
    )


def _check_homes(table: LimitTable, at: str) -> None:
    """Raise ConfigFault for homes that do not fit the limit's promise, or are invalid."""
    is_approximate = table.promise == "nearly"
    if is_approximate and table.homes:
        raise ConfigFault(
            f"{at}.homes: only what is never over has homes; nearly goes by what all tell"
        )
    if not is_approximate and not 1 <= len(table.homes) <= MAX_HOMES:
        raise ConfigFault(
            f"{at}.homes: {len(table.homes)} of them; 1 to {MAX_HOMES} members hold a limit"
        )
    for index, home in enumerate(table.homes):
        named(home, f"{at}.homes[{index}]")
    if len(set(table.homes)) < len(table.homes):
        raise ConfigFault(f"{at}.homes: a member twice")


def _check_scope(table: LimitTable, at: str) -> None:
    """Raise ConfigFault where window, scope or tenants do not fit the limit's kind or promise."""
    if (table.kind == COUNT) != (table.window is not None):
        raise ConfigFault(f"{at}.window: a count has one, and nothing else")
    if table.kind == CONNECTIONS and table.each != "upstream":
        raise ConfigFault(f"{at}.each: connections are limited at each upstream")
    if table.each == "upstream" and (table.kind not in (IN_FLIGHT, CONNECTIONS) or table.routes):
        raise ConfigFault(
            f"{at}.each: at each upstream what is in flight and connections are limited, "
            "whatever route they come by"
        )
    if table.each and table.promise == "nearly":
        raise ConfigFault(
            f"{at}.promise: each tenant's and upstream's limit is never_over; nearly is for all together"
        )
    if table.tenants and table.each != "tenant":
        raise ConfigFault(f'{at}.tenants: only with each = "tenant"')


def _window_identity(table: LimitTable, tenant_amounts: tuple[tuple[str, int], ...]) -> str:
    """Return the text by which members compare a limit's window, scope and tenants.

    It is part of the limit's epoch on the wire.
    """
    identity = f"{table.window} {table.time_zone}" if table.window else ""
    scope = "/".join(("", *sorted(table.pools), "", *sorted(table.routes), "", table.each or ""))
    if scope.strip("/"):
        identity += scope
    if tenant_amounts:
        identity += str(tenant_amounts)
    return identity


def read_amount(amount: float, kind: str, at: str) -> int:
    """Return an amount in the limit's unit: thousandths of a request a second, or requests.

    Raises ConfigFault.
    """
    if kind == RATE:
        if round(amount * 1000) < 1:
            raise ConfigFault(f"{at}: {amount!r} is less than a task in 1,000 s")
        return round(amount * 1000)
    if amount != int(amount):
        raise ConfigFault(f"{at}: {amount!r} is no whole number of tasks")
    return int(amount)


def read_ejection(table: VerdictsTable | None) -> EjectionConfig | None:
    """Return how the fleet ejects upstreams, if it does. Raises ConfigFault."""
    if table is None:
        return None
    durations = {
        key: duration(getattr(table, key), f"bank.verdicts.{key}", MIN_DURATION)
        for key in ("life", "term", "most_term", "back")
    }
    if durations["most_term"] < durations["term"]:
        raise ConfigFault("bank.verdicts.most_term: is shorter than term")
    if durations["life"] < MIN_EJECTION_LEASE:
        raise ConfigFault("bank.verdicts.life: is shorter than 2s; votes need some time to come")
    return EjectionConfig(
        max_ejected_fraction=table.part,
        min_observers=table.witnesses,
        min_latency_ratio=table.slow,
        lease_ns=durations["life"],
        base_ejection_ns=durations["term"],
        max_ejection_ns=durations["most_term"],
        return_spread_ns=durations["back"],
    )


def read_consensus(table: AgreementTable | None) -> AgreementSpec | None:
    """Return how this process takes part in the consensus, if it does. Raises ConfigFault."""
    if table is None:
        return None
    at = "bank.agreement"
    if not 1 <= len(table.voters) <= MAX_VOTERS or len(set(table.voters)) < len(table.voters):
        raise ConfigFault(f"{at}.voters: 1 to {MAX_VOTERS} members, none twice")
    for index, voter in enumerate(table.voters):
        named(voter, f"{at}.voters[{index}]")
    if not table.folder.startswith("/") or "\0" in table.folder:
        raise ConfigFault(f"{at}.folder: {table.folder!r} is no whole path")
    if len(table.permits) > MAX_RULES:
        raise ConfigFault(f"{at}.permits: {len(table.permits)} rules, {MAX_RULES} at most")
    rules = []
    for key, rule in table.permits.items():
        if rule.pool and rule.of == BudgetTarget.BALANCERS.value:
            raise ConfigFault(f"{at}.permits.{key}.pool: balancers are of no pool")
        rules.append(
            BudgetRule(named(key, f"{at}.permits"), rule.of, rule.out, rule.pool, rule.zone)
        )
    durations = {
        key: duration(getattr(table, key), f"{at}.{key}", MIN_DURATION)
        for key in ("wait", "write_off", "cut_off")
    }
    if durations["cut_off"] < MIN_CUT_OFF:
        raise ConfigFault(f"{at}.cut_off: is shorter than 5s; it takes 3 s to know who is lost")
    return AgreementSpec(
        tuple(table.voters), table.folder, tuple(rules), build=table.build, **durations
    )


def fleet(
    value: Any, name: str, pools: tuple[str, ...], every: dict[str, int], routes: dict[str, str]
) -> FleetSpec:
    """Return the configuration of the fleet from its table. Raises ConfigFault.

    `pools` are those whose number of balancers the fleet finds out; `every` has the longest timeout
    of each pool, in nanoseconds; `routes` has the pool of each route.
    """
    table = part(value, FleetTable, "bank")
    if len(table.seeds) > MAX_SEEDS:
        raise ConfigFault(f"bank.seeds: {len(table.seeds)} of them; {MAX_SEEDS} at most")
    if len(pools) > messages.MAX_POOLS:
        raise ConfigFault(
            f"bank: {len(pools)} pools would be shared by it, {messages.MAX_POOLS} at most; "
            "say balancers in the others"
        )
    if len(os.fsencode(table.control)) > MAX_SOCKET_PATH_BYTES or "\0" in table.control:
        raise ConfigFault(
            f"bank.control: {table.control!r} is no path of {MAX_SOCKET_PATH_BYTES} bytes at most"
        )
    listen = address(table.listen, "bank.listen")
    advertise = address(table.advertise, "bank.advertise") if table.advertise else listen
    if advertise[0] == "0.0.0.0":
        raise ConfigFault(
            f"bank.{'advertise' if table.advertise else 'listen'}: 0.0.0.0 is where "
            "nobody is reached; say an address in bank.advertise"
        )
    if len(table.zone) > MAX_ZONE_LENGTH:
        raise ConfigFault(f"bank.zone: has {len(table.zone)} characters, {MAX_ZONE_LENGTH} at most")
    seeds = tuple(
        dict.fromkeys(
            address(text, f"bank.seeds[{index}]") for index, text in enumerate(table.seeds)
        )
    )
    if len(table.limits) > MAX_LIMITS:
        raise ConfigFault(f"bank.limits: {len(table.limits)} limits, {MAX_LIMITS} at most")
    for key in ("recall", "state"):
        if "\0" in getattr(table, key):
            raise ConfigFault(f"bank.{key}: is no path")
    if table.state and not table.state.startswith("/"):
        raise ConfigFault(f"bank.state: {table.state!r} is no whole path")
    return FleetSpec(
        named(table.name or name, "bank.name" if table.name else "name"),
        listen,
        advertise,
        read_keys(table.key_files, "bank.key_files"),
        seeds,
        table.control,
        table.recall,
        table.state,
        table.zone,
        read_timing(table.times, "bank.times"),
        pools,
        tuple(read_limit(key, inner, every, routes) for key, inner in table.limits.items()),
        read_ejection(table.verdicts),
        read_consensus(table.agreement),
    )
