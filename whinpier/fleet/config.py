"""The table `fleet` of an operator's file: its keys, what is said of a faulty one. Not imported
without it.
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

MOST_SEEDS = 1_000
MOST_LIMITS, MOST_HOMES = 64, 1_000
LONGEST_PATH = 100  # bytes of a Unix socket's path: what the system takes, with some to spare


class TimesTable(Strict, frozen=True):
    """How quick it is; the defaults hold a lost member to 3 s, and a pause of 1 s to none."""

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
    """By what upstreams rest over the whole fleet."""

    part: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.2
    witnesses: Annotated[int, Meta(ge=2, le=100)] = 3
    slow: Annotated[float, Meta(ge=1.5, le=9.0)] = 3.0
    life: Duration = "6s"
    term: Duration = "10s"
    most_term: Duration = "5m"
    back: Duration = "5s"


class PermitTable(Strict, frozen=True):
    """How many may be out at once."""

    of: Literal["balancers", "upstreams"]
    out: Annotated[int, Meta(ge=0, le=4096)]
    pool: str = ""
    zone: str = ""


class AgreementTable(Strict, frozen=True):
    """The fleet's record: drains and releases that all agree on."""

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


def times(table: TimesTable, at: str) -> MembershipTiming:
    found = {
        one.name: duration(getattr(table, one.name), f"{at}.{one.name}", 10 * MS)
        for one in fields(MembershipTiming)
    }
    if found["answer"] < found["probe"]:
        raise ConfigFault(f"{at}.answer: is shorter than probe")
    if found["suspect"] < found["answer"]:
        raise ConfigFault(
            f"{at}.suspect: is shorter than answer; who is suspected needs time to refute"
        )
    if found["reckon"] < 10 * found["suspect"]:
        raise ConfigFault(f"{at}.reckon: is shorter than ten times suspect")
    return MembershipTiming(**found)


def keys(paths: list[str], at: str) -> tuple[bytes, ...]:
    if not 1 <= len(paths) <= 2:
        raise ConfigFault(f"{at}: {len(paths)} of them; one, or two while they are changed")
    found = []
    for index, path in enumerate(paths):
        key = kept_secret(path, f"{at}[{index}]")
        if not messages.MIN_KEY_BYTES <= len(key) <= messages.MAX_KEY_BYTES:
            raise ConfigFault(
                f"{at}[{index}]: {path} holds {len(key)} bytes; {messages.MIN_KEY_BYTES} to "
                f"{messages.MAX_KEY_BYTES} are a key"
            )
        found.append(key)
    return tuple(found)


def limit(name: str, value: Any, pools: dict[str, int], routes: dict[str, str]) -> LimitConfig:
    """One limit; `pools` are all there are, with the longest timeout of each, `routes` with
    their pool.
    """
    at = f"bank.limits.{named(name, 'bank.limits')}"
    table = part(value, LimitTable, at)
    nearly = table.promise == "nearly"
    if nearly and table.homes:
        raise ConfigFault(
            f"{at}.homes: only what is never over has homes; nearly goes by what all tell"
        )
    if not nearly and not 1 <= len(table.homes) <= MOST_HOMES:
        raise ConfigFault(
            f"{at}.homes: {len(table.homes)} of them; 1 to {MOST_HOMES} members hold a limit"
        )
    for index, home in enumerate(table.homes):
        named(home, f"{at}.homes[{index}]")
    if len(set(table.homes)) < len(table.homes):
        raise ConfigFault(f"{at}.homes: a member twice")
    for key, those, known in (("pools", table.pools, pools), ("routes", table.routes, routes)):
        for index, one in enumerate(those):
            if one not in known:
                raise ConfigFault(
                    f"{at}.{key}[{index}]: {one!r} is none of {', '.join(known) or 'none'}"
                )
    chosen = tuple(table.pools) or tuple(pools)
    for index, one in enumerate(table.routes):
        if routes[one] not in chosen:
            raise ConfigFault(
                f"{at}.routes[{index}]: {one!r} leads to {routes[one]}, which is not in pools"
            )
    if (table.kind == COUNT) != (table.window is not None):
        raise ConfigFault(f"{at}.window: a count has one, and nothing else")
    if table.kind == CONNECTIONS and table.each != "upstream":
        raise ConfigFault(f"{at}.each: connections are limited at each upstream")
    if table.each == "upstream" and (table.kind not in (IN_FLIGHT, CONNECTIONS) or table.routes):
        raise ConfigFault(
            f"{at}.each: at each upstream what is in flight and connections are limited, "
            "whatever route they come by"
        )
    if table.each and nearly:
        raise ConfigFault(
            f"{at}.promise: each tenant's and upstream's limit is never_over; nearly is for all together"
        )
    if table.tenants and table.each != "tenant":
        raise ConfigFault(f'{at}.tenants: only with each = "tenant"')
    calendar = None
    if table.window is not None:
        try:
            calendar = Calendar(table.window, table.time_zone)
        except (KeyError, ValueError, OSError):
            raise ConfigFault(
                f"{at}.time_zone: {table.time_zone!r} is no time zone that this machine knows"
            ) from None
    amount, burst, span = whole(table.amount, table.kind, f"{at}.amount"), 0, LEASE_DURATION
    if table.kind == RATE:
        burst = table.burst or max(1, ceil(table.amount))
    elif table.burst is not None:
        raise ConfigFault(f"{at}.burst: only a rate has one")
    elif table.kind == IN_FLIGHT:
        span = max(LEASE_DURATION, 3 * max(pools[pool] for pool in chosen))
    window = f"{table.window} {table.time_zone}" if table.window else ""
    scope = "/".join(("", *sorted(table.pools), "", *sorted(table.routes), "", table.each or ""))
    amounts = tuple(
        (tenant, whole(one, table.kind, f"{at}.tenants.{tenant}"))
        for tenant, one in sorted(table.tenants.items())
    )
    window += scope * bool(scope.strip("/")) + str(amounts) * bool(amounts)
    return LimitConfig(
        Limit(name, table.kind, amount, tuple(table.homes), burst, span, window),
        chosen,
        nearly,
        calendar,
        tuple(table.routes),
        table.each or "",
        amounts,
        table.most if table.each == "tenant" else 0,
    )


def whole(amount: float, kind: str, at: str) -> int:
    """An amount in the limit's own unit: thousandths of a request a second, or requests."""
    if kind == RATE:
        if round(amount * 1000) < 1:
            raise ConfigFault(f"{at}: {amount!r} is less than a task in 1,000 s")
        return round(amount * 1000)
    if amount != int(amount):
        raise ConfigFault(f"{at}: {amount!r} is no whole number of tasks")
    return int(amount)


def verdicts(table: VerdictsTable | None) -> EjectionConfig | None:
    if table is None:
        return None
    spans = {
        key: duration(getattr(table, key), f"bank.verdicts.{key}", SECOND // 10)
        for key in ("life", "term", "most_term", "back")
    }
    if spans["most_term"] < spans["term"]:
        raise ConfigFault("bank.verdicts.most_term: is shorter than term")
    if spans["life"] < 2 * SECOND:
        raise ConfigFault("bank.verdicts.life: is shorter than 2s; votes need some time to come")
    return EjectionConfig(
        max_ejected_fraction=table.part,
        min_observers=table.witnesses,
        min_latency_ratio=table.slow,
        lease_ns=spans["life"],
        base_ejection_ns=spans["term"],
        max_ejection_ns=spans["most_term"],
        return_spread_ns=spans["back"],
    )


def agreement(table: AgreementTable | None) -> AgreementSpec | None:
    if table is None:
        return None
    at = "bank.agreement"
    if not 1 <= len(table.voters) <= MAX_VOTERS or len(set(table.voters)) < len(table.voters):
        raise ConfigFault(f"{at}.voters: 1 to {MAX_VOTERS} members, none twice")
    for index, one in enumerate(table.voters):
        named(one, f"{at}.voters[{index}]")
    if not table.folder.startswith("/") or "\0" in table.folder:
        raise ConfigFault(f"{at}.folder: {table.folder!r} is no whole path")
    if len(table.permits) > MAX_RULES:
        raise ConfigFault(f"{at}.permits: {len(table.permits)} of them; {MAX_RULES} at most")
    rules = []
    for key, rule in table.permits.items():
        if rule.pool and rule.of == BudgetTarget.BALANCERS.value:
            raise ConfigFault(f"{at}.permits.{key}.pool: balancers are of no pool")
        rules.append(
            BudgetRule(named(key, f"{at}.permits"), rule.of, rule.out, rule.pool, rule.zone)
        )
    spans = {
        key: duration(getattr(table, key), f"{at}.{key}", SECOND // 10)
        for key in ("wait", "write_off", "cut_off")
    }
    if spans["cut_off"] < 5 * SECOND:
        raise ConfigFault(f"{at}.cut_off: is shorter than 5s; it takes 3 s to know who is lost")
    return AgreementSpec(
        tuple(table.voters), table.folder, tuple(rules), build=table.build, **spans
    )


def fleet(
    value: Any, name: str, pools: tuple[str, ...], every: dict[str, int], routes: dict[str, str]
) -> FleetSpec:
    """What the fleet's part of the process runs by, or a ConfigFault that names the key.

    `pools` are shared by as many as the fleet says; `every` pool has its longest timeout, in
    nanoseconds; `routes` have their pool.
    """
    table = part(value, FleetTable, "bank")
    if len(table.seeds) > MOST_SEEDS:
        raise ConfigFault(f"bank.seeds: {len(table.seeds)} of them; {MOST_SEEDS} at most")
    if len(pools) > messages.MAX_POOLS:
        raise ConfigFault(
            f"bank: {len(pools)} pools would be shared by it, {messages.MAX_POOLS} at most; "
            "say balancers in the others"
        )
    if len(os.fsencode(table.control)) > LONGEST_PATH or "\0" in table.control:
        raise ConfigFault(
            f"bank.control: {table.control!r} is no path of {LONGEST_PATH} bytes at most"
        )
    listen = address(table.listen, "bank.listen")
    advertise = address(table.advertise, "bank.advertise") if table.advertise else listen
    if advertise[0] == "0.0.0.0":
        raise ConfigFault(
            f"bank.{'advertise' if table.advertise else 'listen'}: 0.0.0.0 is where nobody "
            "is reached; say an address in bank.advertise"
        )
    if len(table.zone) > 63:
        raise ConfigFault("bank.zone: has over 63 characters")
    seeds = tuple(
        dict.fromkeys(
            address(text, f"bank.seeds[{index}]") for index, text in enumerate(table.seeds)
        )
    )
    if len(table.limits) > MOST_LIMITS:
        raise ConfigFault(f"bank.limits: {len(table.limits)} of them; {MOST_LIMITS} at most")
    for key in ("recall", "state"):
        if "\0" in getattr(table, key):
            raise ConfigFault(f"bank.{key}: is no path")
    if table.state and not table.state.startswith("/"):
        raise ConfigFault(f"bank.state: {table.state!r} is no whole path")
    return FleetSpec(
        named(table.name or name, "bank.name" if table.name else "name"),
        listen,
        advertise,
        keys(table.key_files, "bank.key_files"),
        seeds,
        table.control,
        table.recall,
        table.state,
        table.zone,
        times(table.times, "bank.times"),
        pools,
        tuple(limit(key, inner, every, routes) for key, inner in table.limits.items()),
        verdicts(table.verdicts),
        agreement(table.agreement),
    )
