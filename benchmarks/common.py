"""What benchmarks share: options, bounds printed one a line, the closing line, cores held apart."""

from __future__ import annotations

import argparse
import json
import os
import sys
from pathlib import Path
from typing import Any


class Report:
    """Bounds with what was measured, and what the closing line says."""

    def __init__(self, name: str, description: str) -> None:
        parser = argparse.ArgumentParser(
            prog=f"python -m benchmarks.{name}", description=description
        )
        parser.add_argument("--short", action="store_true", help="ends within 40 s on two cores")
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument("--json", type=Path, help="where the figures go as JSON")
        self.name, self.parser = name, parser
        self.holds = True
        self.figures: dict[str, Any] = {}
        self.bounds: list[dict[str, Any]] = []

    def options(self) -> argparse.Namespace:
        self.given = self.parser.parse_args()
        return self.given

    def say(self, text: str) -> None:
        print(text, flush=True)

    def figure(self, key: str, value: Any) -> None:
        self.figures[key] = round(value, 4) if isinstance(value, float) else value

    def bound(
        self, what: str, measured: float, most: float | None = None, least: float | None = None
    ) -> bool:
        """One bound: `measured` at most `most`, at least `least`."""
        good = (most is None or measured <= most) and (least is None or measured >= least)
        bounds = (("<=", most), (">=", least))
        allowed = " ".join(f"{sign} {limit:g}" for sign, limit in bounds if limit is not None)
        self.holds = self.holds and good
        self.bounds.append({"what": what, "measured": measured, "allowed": allowed, "holds": good})
        self.say(f"{'ok  ' if good else 'FAIL'} {what}: {measured:.4g} (allowed {allowed})")
        return good

    def close(self) -> int:
        figures = " ".join(f"{key}={value}" for key, value in self.figures.items())
        print(
            f"{self.name} {'holds' if self.holds else 'falls short'} {figures}".rstrip(), flush=True
        )
        if self.given.json:
            whole = {
                "name": self.name,
                "holds": self.holds,
                "seed": self.given.seed,
                "short": self.given.short,
                "bounds": self.bounds,
                "figures": self.figures,
            }
            self.given.json.write_text(json.dumps(whole, indent=1) + "\n")
        return 0 if self.holds else 1


MINE = sorted(os.sched_getaffinity(0))  # at the start, before anything is held apart


def apart() -> tuple[int, set[int]]:
    """One core for a balancer, and the others for the stand-ins; the same one where there is no other."""
    return MINE[-1], set(MINE[:-1] or MINE)


def main(run: Any) -> None:
    sys.exit(run())
