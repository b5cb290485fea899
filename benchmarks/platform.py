"""What the platform's way costs beside an earlier version, in one run: CPU a request, memory at the
start.

`--before REV` names the earlier version, a commit of this repository, laid out in a temporary
folder. Both run in turn, several times, on a core of their own, under the same load; the medians
are compared.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import tempfile
import time
from pathlib import Path

from benchmarks.common import MINE, Report, apart, main
from whinpier.testbed.clients import Asks
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

RATE = 400.0  # requests a second: some way below a full core
SETTINGS = json.loads(Path("example/config.json").read_text())


def once(root: Path, folder: Path, seed: int, span: float) -> tuple[float, float, int]:
    """CPU a request in ms, memory at the start and at the end in MB, of one run of a version."""
    upstream_fleet = UpstreamFleet(
        {f"s-{number}": Script(work=0.01) for number in range(4)}, seed, discovery=True
    )
    listen = free_address()
    given = SETTINGS | {"listen": listen, "discovery": upstream_fleet.discovery}
    balancer = Balancer(folder, platform=given, listen=listen, root=root, cores={apart()[0]})
    try:
        balancer.wait_ready()
        memory, before = balancer.memory() / 2**20, balancer.cpu()
        start = time.monotonic() + 0.5
        os.sched_setaffinity(0, apart()[1])
        loads = [
            Load(balancer.address, Asks("charge", RATE / 2, "/charge"), seed, start, span),
            Load(balancer.address, Asks("look", RATE / 2, "/look/1", "GET"), seed, start, span),
        ]
        seen = [load.result() for load in loads]
        requests = sum(len(gateway.told) for gateway in seen)
        fulfilled = sum(request.status == 200 for gateway in seen for request in gateway.told)
        if fulfilled < 0.99 * requests:
            raise RuntimeError(
                f"only {fulfilled} of {requests} tasks fulfilled: {balancer.log()[-2000:]}"
            )
        return 1000 * (balancer.cpu() - before) / requests, memory, requests
    finally:
        balancer.stop()
        upstream_fleet.stop()
        os.sched_setaffinity(0, MINE)


def bench() -> int:
    report = Report("platform", __doc__ or "")
    report.parser.add_argument(
        "--before", default="", help="the version to compare with; none: only measure"
    )
    given = report.options()
    rounds, span = (3, 3.0) if given.short else (7, 10.0)
    with tempfile.TemporaryDirectory() as folder:
        versions = {"now": Path.cwd()}
        if given.before:
            tree = versions["before"] = Path(folder) / "tree"
            tree.mkdir()
            packed = subprocess.run(
                ["git", "archive", given.before], capture_output=True, check=True
            ).stdout
            subprocess.run(["tar", "-x", "-C", str(tree)], input=packed, check=True)
        found: dict[str, list[tuple[float, float, int]]] = {name: [] for name in versions}
        for turn in range(rounds):
            for name, root in versions.items():
                found[name].append(
                    once(root, Path(folder) / f"{name}{turn}", given.seed + turn, span)
                )
    cpu = {name: statistics.median(run[0] for run in runs) for name, runs in found.items()}
    memory = {name: statistics.median(run[1] for run in runs) for name, runs in found.items()}
    for name, runs in found.items():
        each = ", ".join(f"{run[0]:.3f}" for run in runs)
        report.say(
            f"     {name}: CPU {cpu[name]:.3f} ms a task ({each}), "
            f"memory at the start {memory[name]:.1f} MB"
        )
        report.figure(f"cpu_ms_{name}", cpu[name])
        report.figure(f"memory_mb_{name}", memory[name])
    if given.before:
        report.bound("CPU a task over the earlier version's", cpu["now"] / cpu["before"], most=1.05)
        more = memory["now"] / memory["before"]
        report.bound("memory at the start over the earlier version's", more, most=1.05)
    return report.close()


if __name__ == "__main__":
    main(bench)
