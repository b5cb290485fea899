"""Writes the files that stand-ins are played with: TOML of plain values, operators' files of usual
form.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

Plain = dict[str, Any]
BARE = re.compile(r"[A-Za-z0-9_-]+\Z")
METHODS = {"rerunnable": "GET", "ticketed": "POST", "exclusive": "POST"}


def key(name: str) -> str:
    return name if BARE.match(name) else json.dumps(name)


def inline(value: Any) -> str:
    """A value on one line."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, Mapping):
        return "{ %s }" % ", ".join(
            f"{key(name)} = {inline(inner)}" for name, inner in value.items()
        )
    if isinstance(value, (list, tuple)):
        return "[%s]" % ", ".join(map(inline, value))
    return repr(value)


def document(table: Mapping[str, Any], at: str = "") -> str:
    """A table as TOML, with headers for the tables in it and for lists of tables."""
    lines, below = [], []
    for name, value in table.items():
        path = f"{at}.{key(name)}" if at else key(name)
        if value and isinstance(value, Mapping):
            below.append(f"\n[{path}]\n{document(value, path)}")
        elif value and isinstance(value, list) and all(isinstance(one, Mapping) for one in value):
            below += [f"\n[[{path}]]\n{document(one, path)}" for one in value]
        else:
            lines.append(f"{key(name)} = {inline(value)}\n")
    return "".join([*lines, *below])


def ms(seconds: float) -> str:
    """A duration as the operator's file has it."""
    return f"{seconds * 1000:g}ms"


def upstreams(addresses: Mapping[str, str]) -> list[Plain]:
    return [{"name": name, "address": address} for name, address in addresses.items()]


def service(
    name: str, kind: str, addresses: Mapping[str, str], agreed: float, timeout: float
) -> Plain:
    """A pool of one request class, both with this name. Times are seconds."""
    request_class = {"kind": kind, "agreed_time": ms(agreed), "patience": ms(timeout)}
    if kind == "ticketed":
        request_class["window"] = "8s"
    return {"upstreams": upstreams(addresses), "workloads": {name: request_class}}


def route(name: str, kind: str, pool: str) -> Plain:
    """A route of its own host and path to a pool, by the method that fits the kind."""
    return {
        "name": name,
        "host": f"{name}.example",
        "prefix": f"/{name}",
        "methods": [METHODS[kind]],
        "pool": pool,
    }


def records(
    radius: str,
    servers: Mapping[str, str],
    secrets: list[str],
    kind: str = "exclusive",
    agreed: float = 0.5,
    timeout: float = 3.0,
    retransmit: float = 0.15,
    **more: Any,
) -> Plain:
    """The RADIUS side of an operator's file, and the pool `acct` that all records go to."""
    pool = service("record", kind, servers, agreed, timeout) | {
        "protocol": "radius",
        "radius": {"secret": "server", "retransmit": ms(retransmit)},
    }
    return {
        "pools": {"acct": pool},
        "radius": {
            "listen": [radius],
            "clients": {"partner": {"networks": ["127.0.0.0/8"], "secrets": secrets}},
        }
        | more
        | {"routes": [{"name": "all", "pool": "acct"}]},
    }
