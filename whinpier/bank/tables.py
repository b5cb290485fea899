"""The table `bank` of an operator's file: its keys, what is said of a faulty one. Not imported without it."""

from __future__ import annotations

import os
from dataclasses import fields
from math import ceil
from typing import Annotated, Any, Literal

from msgspec import Meta

from whinpier.bank import forms
from whinpier.bank.limits import IN_FLIGHT, RATE, SPAN, Limit
from whinpier.bank.members import MS, Times
from whinpier.bank.spec import BankSpec, Held
from whinpier.spec import ConfigFault, address
from whinpier.tables import Duration, Strict, duration, kept_secret, named, part

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
    """A limit of the whole bank."""

    kind: Literal["rate", "in_flight"]
    amount: Annotated[float, Meta(gt=0.0, le=1e9)]
    homes: list[str]
    burst: Annotated[int, Meta(ge=1, le=2**31)] | None = None
    pools: list[str] = []


class BankTable(Strict, frozen=True):
    """How this process takes part in the bank."""

    listen: str
    key_files: list[str]
    name: str = ""
    advertise: str = ""
    seeds: list[str] = []
    control: str = ""
    recall: str = ""
    zone: str = ""
    times: TimesTable = TimesTable()
    limits: dict[str, Any] = {}


def times(table: TimesTable, at: str) -> Times:
    found = {one.name: duration(getattr(table, one.name), f"{at}.{one.name}", 10 * MS)
             for one in fields(Times)}
    if found["answer"] < found["probe"]:
        raise ConfigFault(f"{at}.answer: is shorter than probe")
    if found["suspect"] < found["answer"]:
        raise ConfigFault(f"{at}.suspect: is shorter than answer; who is suspected needs time to refute")
    if found["reckon"] < 10 * found["suspect"]:
        raise ConfigFault(f"{at}.reckon: is shorter than ten times suspect")
    return Times(**found)


def keys(paths: list[str], at: str) -> tuple[bytes, ...]:
    if not 1 <= len(paths) <= 2:
        raise ConfigFault(f"{at}: {len(paths)} of them; one, or two while they are changed")
    found = []
    for index, path in enumerate(paths):
        key = kept_secret(path, f"{at}[{index}]")
        if not forms.KEY_LEAST <= len(key) <= forms.KEY_MOST:
            raise ConfigFault(f"{at}[{index}]: {path} holds {len(key)} bytes; {forms.KEY_LEAST} to "
                              f"{forms.KEY_MOST} are a key")
        found.append(key)
    return tuple(found)


def held(name: str, value: Any, pools: dict[str, int]) -> Held:
    """One limit; `pools` are all that there are, with the longest patience of each."""
    at = f"bank.limits.{named(name, 'bank.limits')}"
    table = part(value, LimitTable, at)
    if not 1 <= len(table.homes) <= MOST_HOMES:
        raise ConfigFault(f"{at}.homes: {len(table.homes)} of them; 1 to {MOST_HOMES} members hold a limit")
    for index, home in enumerate(table.homes):
        named(home, f"{at}.homes[{index}]")
    if len(set(table.homes)) < len(table.homes):
        raise ConfigFault(f"{at}.homes: a member twice")
    for index, pool in enumerate(table.pools):
        if pool not in pools:
            raise ConfigFault(f"{at}.pools[{index}]: {pool!r} is none of {', '.join(pools)}")
    chosen = tuple(table.pools) or tuple(pools)
    if table.kind == RATE:
        amount, burst = round(table.amount * 1000), table.burst or max(1, ceil(table.amount))
        if amount < 1:
            raise ConfigFault(f"{at}.amount: {table.amount!r} is less than a task in 1,000 s")
        return Held(Limit(name, RATE, amount, tuple(table.homes), burst), chosen)
    if table.amount != int(table.amount):
        raise ConfigFault(f"{at}.amount: {table.amount!r} is no whole number of tasks")
    if table.burst is not None:
        raise ConfigFault(f"{at}.burst: only a rate has one")
    span = max(SPAN, 3 * max(pools[pool] for pool in chosen))
    return Held(Limit(name, IN_FLIGHT, int(table.amount), tuple(table.homes), 0, span), chosen)


def bank(value: Any, name: str, pools: tuple[str, ...], every: dict[str, int]) -> BankSpec:
    """What the bank's part of the process runs by, or a ConfigFault that names the key.

    `pools` are shared by as many as the bank says; `every` pool has its longest patience, in nanoseconds.
    """
    table = part(value, BankTable, "bank")
    if len(table.seeds) > MOST_SEEDS:
        raise ConfigFault(f"bank.seeds: {len(table.seeds)} of them; {MOST_SEEDS} at most")
    if len(pools) > forms.MOST_POOLS:
        raise ConfigFault(f"bank: {len(pools)} pools would be shared by it, {forms.MOST_POOLS} at most; "
                          "say balancers in the others")
    if len(os.fsencode(table.control)) > LONGEST_PATH or "\0" in table.control:
        raise ConfigFault(f"bank.control: {table.control!r} is no path of {LONGEST_PATH} bytes at most")
    listen = address(table.listen, "bank.listen")
    advertise = address(table.advertise, "bank.advertise") if table.advertise else listen
    if advertise[0] == "0.0.0.0":
        raise ConfigFault(f"bank.{'advertise' if table.advertise else 'listen'}: 0.0.0.0 is where nobody is "
                          "reached; say an address in bank.advertise")
    if len(table.zone) > 63:
        raise ConfigFault("bank.zone: has over 63 characters")
    seeds = tuple(dict.fromkeys(address(text, f"bank.seeds[{index}]")
                                for index, text in enumerate(table.seeds)))
    if len(table.limits) > MOST_LIMITS:
        raise ConfigFault(f"bank.limits: {len(table.limits)} of them; {MOST_LIMITS} at most")
    if "\0" in table.recall:
        raise ConfigFault("bank.recall: is no path")
    return BankSpec(named(table.name or name, "bank.name" if table.name else "name"), listen, advertise,
                    keys(table.key_files, "bank.key_files"), seeds, table.control, table.recall, table.zone,
                    times(table.times, "bank.times"), pools,
                    tuple(held(key, inner, every) for key, inner in table.limits.items()))
