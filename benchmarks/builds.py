"""Two builds side by side: a fleet rolled from an earlier build to this one, and back, under
traffic.

The earlier build comes from the project's own history, checked out aside by `git worktree` and
taken away again. Held: every request one answer, nothing exclusive twice, a limit of the whole
fleet never over by the upstreams' own count, one view of who is there at each step. See
docs/design/badday.md.
"""

from __future__ import annotations

import subprocess
import tempfile
import time
from pathlib import Path

from benchmarks.common import Report, main
from whinpier.testbed import files
from whinpier.testbed.fault_scenario import BURST, RATE, excess
from whinpier.testbed.fleet import Fleet, Process
from whinpier.testbed.clients import Asks
from whinpier.testbed.upstream_fleet import UpstreamFleet
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script

EARLIER = "9985b3b"  # before there was a record; a landing
AGREED, TIMEOUT, WORK = 0.25, 1.5, 0.004


class Trial:
    """A fleet of which each process may be of either build."""

    def __init__(self, folder: Path, count: int, seed: int, earlier: Path) -> None:
        self.count, self.earlier = count, earlier
        self.upstream_fleet = UpstreamFleet(
            {f"s-{n}": Script(workers=32, work=WORK) for n in range(4)}, seed
        )
        homes = [f"m{n}" for n in range(count)]
        self.fleet = Fleet(
            count,
            folder,
            self.service,
            seed,
            relayed=False,
            verdicts={},
            limits={"all": {"kind": "rate", "amount": RATE, "burst": BURST, "homes": homes}},
        )
        for one in self.fleet.processes:
            one.root = earlier

    def service(self, process: Process) -> files.Plain:
        pool = files.service("t", "exclusive", self.upstream_fleet.addresses, AGREED, TIMEOUT)
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    def roll(self, numbers: list[int], root: Path | None) -> float:
        """Each in turn ends in order and starts as the other build; the slowest to be among the others."""
        slowest = 0.0
        for number in numbers:
            self.fleet.leave(number)
            self.fleet.processes[number].root = root
            began = time.monotonic()
            self.fleet.start(number)
            self.fleet.until(self.fleet.gathered, 20.0)
            slowest = max(slowest, time.monotonic() - began)
        return slowest

    def is_earlier(self, number: int) -> bool:
        """Whether it does not know what only this build does."""
        try:
            self.fleet.ask(number, "status")
        except RuntimeError as fault:
            return "is none of" in str(fault)
        return False

    def end(self) -> None:
        self.fleet.end()
        self.upstream_fleet.stop()


def rolled(report: Report, folder: Path, count: int, seed: int, earlier: Path) -> None:
    trial = Trial(folder, count, seed, earlier)
    fleet, rolling = trial.fleet, list(range(count - 2))
    try:
        fleet.start()
        fleet.until(fleet.gathered, 60.0)
        fleet.until(
            lambda: all(
                not row["fenced_ms"] and row["agreed"]
                for n in range(count)
                for row in fleet.ask(n, "limits")
            ),
            30.0,
        )
        trial.upstream_fleet.meter()
        begun = time.monotonic() + 0.2
        # The last two stay as they are to the end of the traffic: one of the earlier build, one of
        # this.
        trial.roll([count - 1], None)
        streams = [
            (
                fleet.processes[n].balancer.address,  # type: ignore[union-attr]
                Asks(f"t{n}", 0.7 * RATE, "/t/x", "POST", "t.example", TIMEOUT, AGREED),
            )
            for n in (count - 2, count - 1)
        ]
        span = 3.0 + 2 * len(rolling) * 2.5
        loads = Loads(streams, seed, begun + 1.0, span, most=1_000)
        report.bound(
            "processes that are of the earlier build at first",
            sum(trial.is_earlier(n) for n in range(count)),
            least=count - 1,
            most=count - 1,
        )
        forward = trial.roll(rolling, None)
        builds = {row["build"] for row in fleet.ask(0, "members")["members"]}
        back = trial.roll(rolling, earlier)
        took = time.monotonic() - begun
        seen = loads.results()
        report.say(
            f"     {count} processes rolled forward and back in {took:.0f} s; builds met: {builds}; "
            f"on time {min(one.share_on_time() for one in seen):.3f}"
        )
        report.bound("slowest to be among the others again, s", max(forward, back), most=6.0)
        wrong = sum(len(one.unanswered()) + len(one.answered_twice()) for one in seen)
        report.bound("tasks without one answer", wrong, most=0)
        report.bound(
            "exclusive tasks that ran twice", len(trial.upstream_fleet.ledger().twice()), most=0
        )
        over, used = excess(trial.upstream_fleet.meter()["times"])
        report.bound("tasks over the limit of the whole bank in any window", over, most=0.0)
        report.bound("and so many times what it allows were used in some", used, least=0.3)
        unread = [fleet.ask(n, "figures") for n in range(count)]
        report.bound(
            "datagrams of the other build that were not read",
            sum(
                sum(
                    one.get(f"unread_{why}", 0)
                    for why in ("torn", "later_form", "unproved", "strange", "long")
                )
                for one in unread
            ),
            most=0,
        )
    finally:
        trial.end()


def bench() -> int:
    report = Report("builds", __doc__ or "")
    report.parser.add_argument(
        "--earlier", default=EARLIER, help="the earlier build, as git names it"
    )
    report.parser.add_argument("--processes", type=int, default=0, help="5 short, 20 long")
    given = report.options()
    with tempfile.TemporaryDirectory() as name:
        earlier = Path(name) / "earlier"
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(earlier), given.earlier], check=True
        )
        try:
            rolled(
                report,
                Path(name) / "bank",
                given.processes or (5 if given.short else 20),
                given.seed,
                earlier,
            )
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(earlier)], check=False)
    return report.close()


if __name__ == "__main__":
    main(bench)
