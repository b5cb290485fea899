"""The balancer's settings, parsed from the wire or a file, and the request classes they describe."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from whinpier.policy import model
from whinpier.policy.model import RequestClass, WireError

NS_PER_US = 1000

EFFECTS = {
    "repeatable": model.Effect.IDEMPOTENT,
    "by_key": model.Effect.KEYED,
    "once": model.Effect.NON_IDEMPOTENT,
}
# Names of load figures in settings, and the names that the policy has for them.
REPORT_COLUMNS = {
    "busy_reqs": "held",
    "pending": "waiting",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
    "served_ps": "fulfilled_rate",
    "failed_ps": "scrapped_rate",
}


def parse_settings(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """Return settings in internal units and names.

    A number whose name ends in `_us` is converted to nanoseconds and loses the ending; the value
    of `report.columns` becomes a list of the policy's names.
    """
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name.endswith("_us") and isinstance(value, (int, float)):
            found[name.removesuffix("_us")] = int(value * NS_PER_US)
        else:
            found[name] = value
    columns = str(found.get("report.columns", "") or "").split(",")
    found["report.columns"] = [REPORT_COLUMNS.get(name, name) for name in columns if name]
    return found


def required(found: dict[str, Any], name: str) -> Any:
    """Return a setting; raise WireError if it is missing."""
    if name not in found:
        raise WireError(f"setting {name} is missing")
    return found[name]


def request_classes(found: dict[str, Any]) -> list[RequestClass]:
    """Return the request classes that the settings describe, in order.

    Raise WireError if a required setting is missing or `semantics` isn't one of EFFECTS.
    """
    classes = []
    for index in range(required(found, "workloads.count")):
        prefix = f"workloads.{index}."
        semantics = required(found, prefix + "semantics")
        if semantics not in EFFECTS:
            raise WireError(f"setting {prefix}semantics: {semantics!r} is no known kind")
        classes.append(
            RequestClass(
                name=str(found.get(prefix + "name", index)),
                kind=EFFECTS[semantics],
                latency_objective=required(found, prefix + "agreed_time"),
                timeout=required(found, prefix + "patience"),
                priority_weight=float(found.get(prefix + "payoff", 1.0)),
                late_priority_weight=float(found.get(prefix + "overdue_payoff", 0.0)),
                group=str(found.get(prefix + "key_scope", "all")),
                window=found.get(prefix + "window", 0),
                streamed=bool(found.get(prefix + "stream", False)),
                stretch=float(found.get(prefix + "aim_stretch", 0.0) or 0.0),
            )
        )
    return classes
