"""The settings map and the request classes it describes, in our words: one code for the wire and
the sockets.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from whinpier.policy import model
from whinpier.policy.model import RequestClass, WireError

NS_PER_US = 1000  # nanoseconds in one microsecond of the settings

KINDS = {
    "repeatable": model.Effect.IDEMPOTENT,
    "by_key": model.Effect.KEYED,
    "once": model.Effect.NON_IDEMPOTENT,
}
REPORT_COLUMNS = {
    "busy_reqs": "held",
    "pending": "waiting",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
    "served_ps": "fulfilled_rate",
    "failed_ps": "scrapped_rate",
}


def settings(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """The settings map in our words: names without `_us`, their values in nanoseconds."""
    found: dict[str, Any] = {}
    for name, plain in pairs:
        if name.endswith("_us") and isinstance(plain, (int, float)):
            name, plain = name[:-3], int(plain * NS_PER_US)
        found[name] = plain
    columns = str(found.get("report.columns", "") or "").split(",")
    found["report.columns"] = [REPORT_COLUMNS.get(name, name) for name in columns if name]
    return found


def needed(found: dict[str, Any], name: str) -> Any:
    """A setting that there is no doing without."""
    if name not in found:
        raise WireError(f"setting {name} is missing")
    return found[name]


def request_classes(found: dict[str, Any]) -> list[RequestClass]:
    """The request classes that the settings describe, in order."""
    made = []
    for index in range(needed(found, "workloads.count")):
        at = f"workloads.{index}."
        kind = needed(found, at + "semantics")
        if kind not in KINDS:
            raise WireError(f"setting {at}semantics: {kind!r} is no known kind")
        made.append(
            RequestClass(
                name=str(found.get(at + "name", index)),
                kind=KINDS[kind],
                latency_objective=needed(found, at + "agreed_time"),
                timeout=needed(found, at + "patience"),
                priority_weight=float(found.get(at + "payoff", 1.0)),
                late_priority_weight=float(found.get(at + "overdue_payoff", 0.0)),
                group=str(found.get(at + "key_scope", "all")),
                window=found.get(at + "window", 0),
                streamed=bool(found.get(at + "stream", False)),
                stretch=float(found.get(at + "aim_stretch", 0.0) or 0.0),
            )
        )
    return made
