"""The one place where the environment and the platform's file are read, checked and given defaults.

Owns the names of keys, the units they come in and what is said about a faulty one. It is asked at
the start and at each SIGHUP, by the same code. Must never let a fault through without the name of
its key, wait for a file that is none, or raise anything but a ConfigFault.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any

from whinpier import settings as common
from whinpier.config.model import PLATFORM, ConfigFault, PoolSpec, Spec, address, entries
from whinpier.policy.model import RequestClass, WireError
from whinpier.storage.bounded_files import read_bounded

CHOICES = {
    "discovery": ("automatic", "subscribe"),
    "report.source": ("off", "inline", "on_probe"),
    "weights": ("off", "nominal", "rough", "live"),
}


def flat(value: Any, at: str = "") -> Iterator[tuple[str, Any]]:
    """Nested settings as path and plain value, in the form of the simulator's first message."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flat(inner, f"{at}.{name}" if at else name)
    elif isinstance(value, list) and any(isinstance(inner, (dict, list)) for inner in value):
        yield f"{at}.count", len(value)
        for index, inner in enumerate(value):
            yield from flat(inner, f"{at}.{index}")
    elif isinstance(value, list):
        yield at, ",".join(str(inner) for inner in value)
    else:
        yield at, value


def names(found: dict[str, Any], key: str) -> list[str]:
    """A list of names, or of objects that have one."""
    if f"{key}.count" in found:
        return [
            str(found.get(f"{key}.{index}.name", index)) for index in range(found[f"{key}.count"])
        ]
    return [name for name in str(found.get(key) or "").split(",") if name]


def checked(
    found: dict[str, Any], key: str, kind: type, default: Any, least: float | None = None
) -> Any:
    value = found.get(key, default)
    good = isinstance(value, (int, float) if kind is float else kind)
    good = good and not (kind is int and value is True)
    good = good and (not isinstance(value, float) or isfinite(value))
    if not good or (least is not None and value < least):
        floor = f" of at least {least}" if least is not None else ""
        raise ConfigFault(f"{key}: {value!r} is not {kind.__name__}{floor}")
    return value


def one_of(found: dict[str, Any], key: str, known: tuple[str, ...]) -> None:
    if found.get(key, known[0]) not in known:
        raise ConfigFault(f"{key}: {found[key]!r} is none of {', '.join(known)}")


def honoured(found: dict[str, Any]) -> list[str]:
    """Take back what the protocol has no way for, so that no decision waits for it; the keys of
    what was.
    """
    # Guards against rooms that wait for reports which only a probe would bring.
    refused = [key for key in ("limits.peers", "limits.probes") if found.get(key)]
    found.update(dict.fromkeys(refused, False))
    if found.get("report.source") == "on_probe":
        refused.append("report.source")
        found["report.source"], found["report.columns"] = "off", []
    return refused


def check_settings(found: dict[str, Any]) -> list[RequestClass]:
    """The request classes, after every figure that the balancer or its decisions rely on has been
    looked at.
    """
    checked(found, "workloads.count", int, None, 1)
    for index in range(found["workloads.count"]):
        for name in ("agreed_time", "patience"):
            checked(found, f"workloads.{index}.{name}", int, None, 1)
        checked(found, f"workloads.{index}.payoff", float, 1.0, 0)
        checked(found, f"workloads.{index}.window", int, 0, 0)
    for key, least in {
        "balancers": 1,
        "slot_no": 0,
        "zone": 0,
        "limits.max_hand_offs": 1,
        "rules.cold": 0,
        "limits.connect_timeout": 1,
        "limits.keepalive": 1,
        "rules.ask_within": 1,
        "rules.fall": 1,
    }.items():
        checked(found, key, int, least, least)
    for key in (
        "goal.whole",
        "goal.worst_class",
        "rules.cold_from",
        "rules.fall_multiple",
        "prices.cross_zone",
    ):
        checked(found, key, float, 0.0, 0)
    for key in (
        "limits.cancelling",
        "limits.second_copies",
        "limits.peers",
        "limits.probes",
        "limits.retry_after",
    ):
        checked(found, key, bool, False)
    for key, known in CHOICES.items():
        one_of(found, key, known)
    for name in found["report.columns"]:
        if name not in common.REPORT_COLUMNS.values():
            raise ConfigFault(
                f"report.columns: {name!r} is none of {', '.join(common.REPORT_COLUMNS)}"
            )
    for index in range(found["workloads.count"]):
        one_of(found, f"workloads.{index}.key_scope", ("all", "zone", "cell"))
    try:
        return common.request_classes(found)
    except (WireError, TypeError, ValueError) as fault:
        raise ConfigFault(f"settings: {fault}") from None


def read(environment: Mapping[str, str]) -> Spec:
    """The configuration; the environment says what the file does not.

    The file goes first since it alone can be replaced under a running balancer: an address of
    discovery that the environment gave at the start may be an old one.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigFault("BALANCER_CONFIG: is not set")
    try:
        given = json.loads(read_bounded(path))
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigFault(f"BALANCER_CONFIG: {path}: {fault}") from None
    if not isinstance(given, dict):
        raise ConfigFault(f"BALANCER_CONFIG: {path}: holds no object")
    try:
        return made(given, environment)
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
    ) as fault:
        # Guards against a kind of fault that no check has thought of: it must not end a running
        # balancer.
        raise ConfigFault(f"settings: {type(fault).__name__}: {fault}") from None


def made(given: dict[str, Any], environment: Mapping[str, str]) -> Spec:
    for key, variable in (
        ("name", "BALANCER_NAME"),
        ("listen", "BALANCER_LISTEN"),
        ("discovery", "BALANCER_DISCOVERY"),
    ):
        given[key] = given.get(key) or environment.get(variable)
    limits, known = checked(given, "limits", dict, {}), checked(given, "known", dict, {})
    try:
        seed = (
            int(given.get("seed", ""), 16)
            if isinstance(given.get("seed"), str)
            else int(given["seed"])
        )
    except (KeyError, TypeError, ValueError):
        raise ConfigFault(f"seed: {given.get('seed')!r} is not a hexadecimal number") from None
    if "settings" not in given:
        raise ConfigFault("settings: is missing")
    found = common.parse_settings(flat(checked(given, "settings", dict, {})))
    request_classes = check_settings(found)
    refused = honoured(found)
    pool = PoolSpec(
        name=PLATFORM,
        settings=found,
        request_classes=request_classes,
        zones=names(found, "failure_domains"),
        kinds=names(found, "kinds"),
        tenants=names(found, "orgs"),
        # A quarter of a second and a minute are what the simulator's settings say where they are
        # given.
        connect_limit=found.get("limits.connect_timeout", 250_000_000),
        idle_limit=found.get("limits.keepalive", 60_000_000_000),
        discovery=address(given["discovery"], "discovery"),
        known=entries(known.get("hosts", [])),
        seq=known.get("seq") if isinstance(known.get("seq"), int) else None,
    )
    return Spec(
        name=str(given["name"] or "balancer"),
        listen=[address(given["listen"], "listen")],
        seed=seed,
        # 1,024 is what a process may usually hold; fewer than 64 leave nothing to work with.
        sockets=checked(
            {"limits.sockets": limits.get("sockets", 1024)}, "limits.sockets", int, 1024, 64
        ),
        # A lean deployment's share, where none is told; below 16 MB nothing like this starts.
        memory=checked(
            {"limits.memory_mb": limits.get("memory_mb", 192)}, "limits.memory_mb", int, 192, 16
        )
        << 20,
        pools={PLATFORM: pool},
        not_honoured=refused,
    )
