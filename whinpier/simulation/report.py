"""A report of kept results: one HTML file without outside references, a PNG for each plot, and
JSON.

Owns how figures are shown. Must never smooth, leave out or scale away a bad second; what is left
out (the time before a run is warm) is marked on the axis.
"""

from __future__ import annotations

import base64
import html
import io
import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from whinpier.policy.policy import min_max_split
from whinpier.simulation.experiment import File, checked
from whinpier.simulation.results import FIGURES, Results, Row, matching

MOST_LINES = 12  # curves in one plot: more can't be told apart
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.bad{color:#b00020}pre{background:#f6f6f6;
padding:.8em;overflow:auto}"""


def label(row: Row) -> str:
    """What tells a group of runs from the others: its values."""
    told = [f"{path.rsplit('.', 1)[-1]} {shown(value)}" for path, value in row["values"].items()]
    return ", ".join(told) or "all runs"


def shown(value: Any) -> str:
    """A value that varies, short: troubles by their kinds."""
    if isinstance(value, list) and all(isinstance(one, dict) and "kind" in one for one in value):
        return "+".join(one["kind"] for one in value) or "none"
    return str(value)


class Group:
    """Runs with the same values: sums over their seeds, so that a report of thousands stays small."""

    def __init__(self, row: Row) -> None:
        self.label, self.values = label(row), row["values"]
        self.rows = 0
        self.figures: dict[str, list[float]] = {name: [] for name in FIGURES}
        self.by_second: dict[str, list[float]] = {}
        self.priority_weight: list[float] = []
        self.requested_priority_weight: list[float] = []
        self.breaches, self.servers = Counter[str](), Counter[str]()
        self.failed: list[str] = []
        self.void = 0
        self.streams: dict[str, dict[str, list[float]]] = {}
        self.troubles = row["troubles"]

    def add(self, row: Row) -> None:
        self.rows += 1
        for name, figure in FIGURES.items():
            self.figures[name].append(figure(row))
        for name, values in row["by_second"].items():
            summed(self.by_second.setdefault(name, [0.0] * len(values)), values)
        self.priority_weight = summed(
            self.priority_weight or [0.0] * len(row["payoff_by_second"]), row["payoff_by_second"]
        )
        self.requested_priority_weight = summed(
            self.requested_priority_weight or [0.0] * len(row["asked_payoff_by_second"]),
            row["asked_payoff_by_second"],
        )
        self.breaches.update({rule: count for rule, count in row["breaches"].items() if count})
        self.servers.update(row["servers"])
        self.void += bool(row.get("void"))
        if not row["holds"]:
            self.failed.append(f"seed {row['seed']}: {'; '.join(row['why'])}")
        for name, stream in row["streams"].items():
            for part in ("p50", "p90", "p99", "p999"):
                self.streams.setdefault(name, {}).setdefault(part, []).append(stream[part])

    def mean(self, name: str) -> float:
        return sum(self.figures[name]) / max(1, self.rows)


def summed(into: list[float], values: Iterable[float]) -> list[float]:
    for index, value in enumerate(values):
        into[index] += value
    return into


def groups(rows: Iterable[Row]) -> list[Group]:
    found: dict[str, Group] = {}
    for row in rows:
        key = json.dumps(row["values"], sort_keys=True)
        if key not in found:
            found[key] = Group(row)
        found[key].add(row)
    return list(found.values())


def expected(experiment: File) -> list[float]:
    """The min-max split of the whole load over the fleet as it stands: what part of requests each
    should get.
    """
    rate = sum(stream.rate for stream in experiment.streams)
    work = sum(stream.rate * stream.work for stream in experiment.streams) / max(rate, 1e-9)
    costs = [
        work / (machine.cores * machine.speed)
        for machine in experiment.upstream_fleet.machines
        for _ in range(machine.count)
    ]
    shares = min_max_split(costs, rate)
    total = sum(shares) or 1.0
    return [share / total for share in shares]


class Plots:
    """Figures, drawn without a screen."""

    def __init__(self, experiment: File, found: list[Group], folder: Path | None) -> None:
        from matplotlib import use

        use("Agg")
        self.experiment, self.groups, self.folder = experiment, found, folder
        self.images: list[tuple[str, str]] = []

    def keep(self, figure: Any, name: str, title: str) -> None:
        import matplotlib.pyplot as plt

        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=110)
        plt.close(figure)
        if self.folder:
            (self.folder / f"{name}.png").write_bytes(data.getvalue())
        self.images.append((title, base64.b64encode(data.getvalue()).decode()))

    def axis(self, title: str, ylabel: str) -> tuple[Any, Any]:
        import matplotlib.pyplot as plt

        figure, axis = plt.subplots(figsize=(9.0, 3.8))
        axis.set_title(title)
        axis.set_xlabel("second")
        axis.set_ylabel(ylabel)
        axis.grid(alpha=0.3)
        axis.axvspan(0, self.experiment.warm, color="#888888", alpha=0.15, label="not counted")
        for trouble in (
            self.groups[0].troubles if len({str(g.troubles) for g in self.groups}) == 1 else []
        ):
            axis.axvspan(
                trouble["at"], trouble["at"] + trouble["span"], color="#d62728", alpha=0.08
            )
            axis.text(
                trouble["at"],
                0.02,
                trouble["kind"],
                transform=axis.get_xaxis_transform(),
                fontsize=8,
                color="#a00000",
            )
        return figure, axis

    def by_second(self) -> None:
        for name, title, top, below in (
            ("on_time", "On time, by the second a task was due", "on_time", "asked"),
            ("turned_back", "Turned back", "turned_back", "asked"),
        ):
            figure, axis = self.axis(title, "part of first tries")
            for group in self.groups[:MOST_LINES]:
                above, under = group.by_second[top], group.by_second[below]
                axis.plot(
                    [a / b if b else float("nan") for a, b in zip(above, under)],
                    label=group.label,
                    linewidth=1.2,
                )
            axis.set_ylim(-0.02, 1.02)
            axis.legend(fontsize=8)
            self.keep(figure, name, title)
        figure, axis = self.axis("Payoff", "part of what was asked for")
        for group in self.groups[:MOST_LINES]:
            axis.plot(
                [
                    a / b if b else float("nan")
                    for a, b in zip(group.priority_weight, group.requested_priority_weight)
                ],
                label=group.label,
                linewidth=1.2,
            )
        axis.set_ylim(-0.02, 1.02)
        axis.legend(fontsize=8)
        self.keep(figure, "payoff", "Payoff")
        figure, axis = self.axis("Tasks and tries", "a second, all seeds")
        for group in self.groups[:MOST_LINES]:
            axis.plot(
                [a + b for a, b in zip(group.by_second["asked"], group.by_second["tries"])],
                label=group.label,
                linewidth=1.2,
            )
        axis.legend(fontsize=8)
        self.keep(figure, "tasks", "Tasks and tries")

    def latency(self) -> None:
        import matplotlib.pyplot as plt

        parts, names = ("p50", "p90", "p99", "p999"), ("50", "90", "99", "99.9")
        figure, axis = plt.subplots(figsize=(9.0, 3.8))
        for group in self.groups[:MOST_LINES]:
            for stream, figures in list(group.streams.items())[:3]:
                values = [sum(figures[part]) / len(figures[part]) for part in parts]
                axis.plot(
                    names, values, marker="o", linewidth=1.2, label=f"{group.label}: {stream}"
                )
        axis.set_yscale("log")
        axis.set_title("Latency of what was fulfilled (mean over seeds)")
        axis.set_xlabel("percentile")
        axis.set_ylabel("ms")
        axis.grid(alpha=0.3, which="both")
        axis.legend(fontsize=8)
        self.keep(figure, "latency", "Latency")

    def shares(self) -> None:
        import matplotlib.pyplot as plt

        figure, axis = plt.subplots(figsize=(9.0, 3.8))
        for group in self.groups[:MOST_LINES]:
            total = sum(group.servers.values()) or 1
            order = sorted(group.servers, key=lambda name: int(name.rsplit("-", 1)[-1]))
            axis.plot(
                [group.servers[name] / total for name in order],
                marker=".",
                linewidth=0.8,
                label=group.label,
            )
        axis.plot(
            expected(self.experiment),
            color="black",
            linestyle="--",
            linewidth=1.2,
            label="min-max solution, no trouble",
        )
        axis.set_title("Part of the work done, by upstream")
        axis.set_xlabel("upstream")
        axis.set_ylim(bottom=0.0)
        axis.grid(alpha=0.3)
        axis.legend(fontsize=8)
        self.keep(figure, "shares", "Shares")


def summary(found: list[Group]) -> list[dict[str, Any]]:
    """The table of a report, for machines."""
    return [
        {
            "runs": group.label,
            "count": group.rows,
            "void": group.void,
            **{name: round(group.mean(name), 4) for name in FIGURES},
            "broken": dict(group.breaches),
            "failed": len(group.failed),
        }
        for group in found
    ]


def write(results: Results, out: Path, only: dict[str, Any] | None = None) -> Path:
    """Write `report.html`, its PNGs and `report.json` into a folder, of runs with these values."""
    header = results.header()
    experiment = checked(header["experiment"])
    found = groups(matching(results.rows(), only or {}))
    out.mkdir(parents=True, exist_ok=True)
    table = summary(found)
    (out / "report.json").write_text(json.dumps(table, indent=1) + "\n")
    plots = Plots(experiment, found, out)
    if found:
        plots.by_second()
        plots.latency()
        plots.shares()
    page = out / "report.html"
    page.write_text(document(experiment, header, table, found, plots.images))
    return page


def document(
    experiment: File,
    header: dict[str, Any],
    table: list[dict[str, Any]],
    found: list[Group],
    images: list[tuple[str, str]],
) -> str:
    def cell(value: Any) -> str:
        return f"<td>{html.escape(str(value))}</td>"

    columns = ["runs", "count", *FIGURES]
    rows = "".join("<tr>" + "".join(cell(row[name]) for name in columns) + "</tr>" for row in table)
    head = "".join(f"<th>{html.escape(name.replace('_', ' '))}</th>" for name in columns)
    rules = "".join(
        f"<li class=bad>{html.escape(group.label)}: {html.escape(rule)}, {count} times</li>"
        for group in found
        for rule, count in group.breaches.items()
    )
    failed = "".join(
        f"<li>{html.escape(group.label)}: {html.escape(why)}</li>"
        for group in found
        for why in group.failed[:20]
    )
    void = sum(group.void for group in found)
    pictures = "".join(
        f'<h2>{html.escape(title)}</h2><img alt="{html.escape(title)}" '
        f'src="data:image/png;base64,{data}">'
        for title, data in images
    )
    more = f"<p>{len(found) - MOST_LINES} more groups are in the table only.</p>" * (
        len(found) > MOST_LINES
    )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(experiment.name)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(experiment.name)}</h1>"
        f"<p>{html.escape(experiment.about)}</p><p>On {html.escape(header['on'])}; "
        f"{sum(group.rows for group in found)} runs, {void} of them void. The first {experiment.warm:g} "
        f"of {experiment.seconds:g} s are not counted.</p>"
        f"<table><tr>{head}</tr>{rows}</table>{more}<h2>Rules</h2><ul>{rules or '<li>all kept</li>'}</ul>"
        f"<h2>What did not hold</h2><ul>{failed or '<li>nothing</li>'}</ul>{pictures}"
        f"<h2>The experiment</h2><pre>{html.escape(json.dumps(header['experiment'], indent=1))}</pre>"
        f"</html>\n"
    )
