"""One balancer beside hostile clients of each kind: what it holds, and what others wait for.

Six connections of each kind that sends at full speed, and 600 of each that sends a part and stays.
Ordinary clients ask 40 times a second, with a second to wait. `--memory-mb` is the limit in the
settings; `--only` keeps to some kinds, separated by commas. See
docs/incidents/floods-and-slow-clients.md.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from benchmarks.common import Report, main
from whinpier.testbed import hostile_trial
from whinpier.testbed.hostile_clients import CROWDS, FLOODS, KINDS
from whinpier.testbed.hostile_trial import MIN_SERVED, Outcome

FLOOD = 6
CROWD = 600
SECONDS = 10.0
SHORT_SECONDS = 4.0
SHORT_KINDS = ("health", "large", "one_byte_chunks", "short_fields", "many_chunks", "half_bodies")


def played(kind: str, seconds: float, memory_mb: int) -> Outcome:
    """Play one kind beside a balancer of its own."""
    connections = FLOOD if KINDS[kind].pipelines else CROWD
    with (
        tempfile.TemporaryDirectory() as folder,
        hostile_trial.started(Path(folder), memory_mb) as trial,
    ):
        return asyncio.run(trial.play(kind, connections, seconds))


def bench() -> int:
    report = Report("hostile", __doc__ or "")
    report.parser.add_argument("--memory-mb", type=int, default=64)
    report.parser.add_argument("--only", default="")
    options = report.options()
    seconds = SHORT_SECONDS if options.short else SECONDS
    usual = SHORT_KINDS if options.short else (*FLOODS, *CROWDS)
    worst_wait = 0.0
    most_memory = 0.0
    for kind in options.only.split(",") if options.only else usual:
        outcome = played(kind, seconds, options.memory_mb)
        wait = outcome.ordinary.latency(0.99, None)
        memory = outcome.peak_bytes / 2**20
        worst_wait = max(worst_wait, wait)
        most_memory = max(most_memory, memory)
        asked = len(outcome.ordinary.told)
        report.say(f"     {kind}: {asked} requests, 99th {wait * 1e3:.0f} ms, {memory:.0f} MB")
        report.bound(f"{kind}: unanswered", len(outcome.ordinary.unanswered()), most=0)
        report.bound(f"{kind}: served in time", outcome.on_time, least=MIN_SERVED)
        report.bound(f"{kind}: memory, MB", memory, most=options.memory_mb)
        report.bound(f"{kind}: faults in the log", len(outcome.faults()), most=0)
    report.figure("wait_99th_s", worst_wait)
    report.figure("memory_mb", most_memory)
    return report.close()


if __name__ == "__main__":
    main(bench)
