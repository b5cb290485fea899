"""Read and validate the environment and the platform's configuration file, and apply defaults.

This module defines the keys, their units and the error texts. The same code runs at the start and
at each SIGHUP. Each error is a ConfigFault that names its key, and reading never blocks on a path
that is not a regular file.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any

from whinpier import settings as common
from whinpier.config.model import PLATFORM_POOL, ConfigFault, PoolSpec, Spec, address, entries
from whinpier.policy.model import RequestClass, WireError
from whinpier.storage.bounded_files import read_bounded

CHOICES = {
    "discovery": ("automatic", "subscribe"),
    "report.source": ("off", "inline", "on_probe"),
    "weights": ("off", "nominal", "rough", "live"),
}


def flatten(value: Any, at: str = "") -> Iterator[tuple[str, Any]]:
    """Yield nested settings as dotted paths with scalar values.

    A list of objects also gives `PATH.count`; a list of scalars is joined by commas. This is the
    form of the simulator's first message.
    """
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{at}.{name}" if at else name)
    elif isinstance(value, list) and any(isinstance(inner, (dict, list)) for inner in value):
        yield f"{at}.count", len(value)
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{at}.{index}")
    elif isinstance(value, list):
        yield at, ",".join(str(inner) for inner in value)
    else:
        yield at, value


def parse_names(found: dict[str, Any], key: str) -> list[str]:
    """Return the names in a list of names or of objects with a `name`."""
    if f"{key}.count" in found:
        return [
            str(found.get(f"{key}.{index}.name", index)) for index in range(found[f"{key}.count"])
        ]
    return [name for name in str(found.get(key) or "").split(",") if name]


def validate(
    found: dict[str, Any], key: str, kind: type, default: Any, least: float | None = None
) -> Any:
    """Return a value of type `kind`, not below `least`; raise ConfigFault otherwise.

    Integers are valid where a float is expected; infinity, NaN and `True` as an integer are not.
    """
    value = found.get(key, default)
    valid = isinstance(value, (int, float) if kind is float else kind)
    valid = valid and not (kind is int and value is True)
    valid = valid and (not isinstance(value, float) or isfinite(value))
    if not valid or (least is not None and value < least):
        minimum = f" of at least {least}" if least is not None else ""
        raise ConfigFault(f"{key}: {value!r} is not {kind.__name__}{minimum}")
    return value


def validate_choice(found: dict[str, Any], key: str, allowed: tuple[str, ...]) -> None:
    """Raise ConfigFault if a value is not one of `allowed`, the first of which is the default."""
    if found.get(key, allowed[0]) not in allowed:
        raise ConfigFault(f"{key}: {found[key]!r} is none of {', '.join(allowed)}")


def disable_unsupported(found: dict[str, Any]) -> list[str]:
    """Turn off the settings that the protocol cannot support and return their keys."""
    # With these left on, capacity estimates would wait for load reports that only a probe brings.
    unsupported = [key for key in ("limits.peers", "limits.probes") if found.get(key)]
    found.update(dict.fromkeys(unsupported, False))
    if found.get("report.source") == "on_probe":
        unsupported.append("report.source")
        found["report.source"] = "off"
        found["report.columns"] = []
    return unsupported


def check_settings(found: dict[str, Any]) -> list[RequestClass]:
    """Validate the settings that the balancer and its policy use; return the request classes.

    Raise ConfigFault that names the first invalid key.
    """
    validate(found, "workloads.count", int, None, 1)
    for index in range(found["workloads.count"]):
        for name in ("agreed_time", "patience"):
            validate(found, f"workloads.{index}.{name}", int, None, 1)
        validate(found, f"workloads.{index}.payoff", float, 1.0, 0)
        validate(found, f"workloads.{index}.window", int, 0, 0)
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
        validate(found, key, int, least, least)
    for key in (
        "goal.whole",
        "goal.worst_class",
        "rules.cold_from",
        "rules.fall_multiple",
        "prices.cross_zone",
    ):
        validate(found, key, float, 0.0, 0)
    for key in (
        "limits.cancelling",
        "limits.second_copies",
        "limits.peers",
        "limits.probes",
        "limits.retry_after",
    ):
        validate(found, key, bool, False)
    for key, allowed in CHOICES.items():
        validate_choice(found, key, allowed)
    for name in found["report.columns"]:
        if name not in common.REPORT_COLUMNS.values():
            raise ConfigFault(
                f"report.columns: {name!r} is none of {', '.join(common.REPORT_COLUMNS)}"
            )
    for index in range(found["workloads.count"]):
        validate_choice(found, f"workloads.{index}.key_scope", ("all", "zone", "cell"))
    try:
        return common.request_classes(found)
    except (WireError, TypeError, ValueError) as fault:
        raise ConfigFault(f"settings: {fault}") from None


def read(environment: Mapping[str, str]) -> Spec:
    """Read the configuration from the file that `BALANCER_CONFIG` names and from the environment.

    The file takes precedence because only it can be replaced while the balancer runs: the discovery
    address in the environment may be outdated. Raise ConfigFault for any error.
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
        return build_spec(given, environment)
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
    ) as fault:
        # A fault that no check covers must not end a running balancer at a reload.
        raise ConfigFault(f"settings: {type(fault).__name__}: {fault}") from None


def build_spec(given: dict[str, Any], environment: Mapping[str, str]) -> Spec:
    """Build the configuration from the file's content, with defaults from the environment."""
    for key, variable in (
        ("name", "BALANCER_NAME"),
        ("listen", "BALANCER_LISTEN"),
        ("discovery", "BALANCER_DISCOVERY"),
    ):
        given[key] = given.get(key) or environment.get(variable)
    limits = validate(given, "limits", dict, {})
    known = validate(given, "known", dict, {})
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
    found = common.parse_settings(flatten(validate(given, "settings", dict, {})))
    request_classes = check_settings(found)
    unsupported = disable_unsupported(found)
    pool = PoolSpec(
        name=PLATFORM_POOL,
        settings=found,
        request_classes=request_classes,
        zones=parse_names(found, "failure_domains"),
        kinds=parse_names(found, "kinds"),
        tenants=parse_names(found, "orgs"),
        # The defaults are the values in the simulator's settings: 250 ms and 60 s.
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
        # 1,024 is the usual limit of a process; fewer than 64 are too few to serve requests.
        sockets=validate(
            {"limits.sockets": limits.get("sockets", 1024)}, "limits.sockets", int, 1024, 64
        ),
        # 192 MB is the share of a small deployment; with less than 16 MB the balancer cannot start.
        memory=validate(
            {"limits.memory_mb": limits.get("memory_mb", 192)}, "limits.memory_mb", int, 192, 16
        )
        << 20,
        pools={PLATFORM_POOL: pool},
        not_honoured=unsupported,
    )
