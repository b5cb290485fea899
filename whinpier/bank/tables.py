"""The table `bank` of an operator's file: its keys, what is said of a faulty one. Not imported without it."""

from __future__ import annotations

import os
from dataclasses import fields
from typing import Any

from whinpier.bank import forms
from whinpier.bank.members import MS, Times
from whinpier.bank.spec import BankSpec
from whinpier.spec import ConfigFault, address
from whinpier.tables import Duration, Strict, duration, kept_secret, named, part

MOST_SEEDS = 1_000
LONGEST_PATH = 100  # bytes of a Unix socket's path: what the system takes, with some to spare


class TimesTable(Strict, frozen=True):
    """How quick it is; the defaults hold a lost member to 3 s, and a pause of 1 s to none."""

    probe: Duration = "100ms"
    answer: Duration = "300ms"
    suspect: Duration = "1200ms"
    refused: Duration = "400ms"
    reckon: Duration = "10m"
    settle: Duration = "2s"


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


def bank(value: Any, name: str, pools: tuple[str, ...]) -> BankSpec:
    """What the bank's part of the process runs by, or a ConfigFault that names the key."""
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
    if "\0" in table.recall:
        raise ConfigFault("bank.recall: is no path")
    return BankSpec(named(table.name or name, "bank.name" if table.name else "name"), listen, advertise,
                    keys(table.key_files, "bank.key_files"), seeds, table.control, table.recall, table.zone,
                    times(table.times, "bank.times"), pools)
