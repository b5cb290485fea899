"""Two builds side by side: a fleet rolled from an earlier build to this one, and back, under
traffic.

The earlier build comes from the project's own history, checked out aside by `git worktree` and
taken away again. Held: every request one answer, nothing exclusive twice, a limit of the whole
fleet never over by the upstreams' own count, one view of who is there at each step. What
operators brought about and what was used of a limit, as the earlier build wrote it, is known to
this one and to the earlier one again: once rolled, and once with all ended by force, so that
only the files can tell. See docs/design/badday.md.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from benchmarks import agreed
from benchmarks.agreed import SETTLED, answered
from benchmarks.common import Report, main
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fault_scenario import BURST, RATE, excess
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script

# The commit before the rewording; "9985b3b" is the one before consensus was added.
EARLIER = "5db2e33"
AGREED, TIMEOUT, WORK = 0.25, 1.5, 0.004
DRAINED = "s-3"  # the upstream that operators have drained
MINE = 90  # requests of a day that are each process's own part
NOISE = b"no datagram of these processes"


class Trial(agreed.Trial):
    """A fleet of which each process may be of either build."""

    def __init__(
        self, folder: Path, count: int, seed: int, earlier: Path, limits: files.Plain
    ) -> None:
        self.earlier = earlier
        self.missed = 0  # datagrams that runs which have ended did not read
        super().__init__(
            folder,
            count,
            seed,
            voters=5 if count >= 9 else 3,
            agreed=any(earlier.glob("whinpier/*/agreement.py")),
            script=Script(workers=32, work=WORK),
            verdicts={},
            limits={
                name: {"homes": [f"m{n}" for n in range(count)]} | limit
                for name, limit in limits.items()
            },
        )
        for number in range(count):
            self.be(number, earlier)

    def be(self, number: int, root: Path | None) -> None:
        """The next run of a process is of this build, and tells the others so."""
        process = self.fleet.processes[number]
        process.root, process.agreement = root, {"build": "earlier" if root else "this"}

    def divided(self) -> bool:
        """Whether all go by one division of each limit, and may use their parts."""
        return all(
            not row["fenced_ms"] and row["agreed"]
            for n in range(self.count)
            for row in self.fleet.ask(n, "limits")
        )

    def roll(self, numbers: list[int], root: Path | None) -> float:
        """Each in turn ends in order and starts as the other build; the slowest to be among the others."""
        slowest = 0.0
        for number in numbers:
            self.missed += self.unread(number)
            self.fleet.leave(number)
            self.be(number, root)
            began = time.monotonic()
            self.fleet.start(number)
            self.fleet.until(self.fleet.gathered, 20.0)
            slowest = max(slowest, time.monotonic() - began)
        return slowest

    def is_earlier(self, number: int) -> bool:
        """Whether it runs in the checkout of the earlier build: by the system's word, not its own."""
        balancer = self.fleet.processes[number].balancer
        assert balancer and self.fleet.processes[number].alive()
        return Path(f"/proc/{balancer.process.pid}/cwd").resolve() == self.earlier.resolve()

    def earlier_ones(self) -> int:
        return sum(self.is_earlier(n) for n in range(self.count))

    def misnamed(self) -> int:
        """How often, over all that each is told, a process is known as of a build that it does not run."""
        runs = {
            one.name: "earlier" if self.is_earlier(one.number) else "this"
            for one in self.fleet.processes
        }
        return sum(
            row["build"] != runs[row["name"]]
            for n in range(self.count)
            for row in self.fleet.ask(n, "members")["members"]
            if row["state"] == "here"
        )

    # What is written.

    def write(self) -> dict[str, Any]:
        """Operators change a rule, have an upstream drained and release a file; what is known then."""
        if not self.agreed:
            return {}
        rules = self.rule(3)
        drain = self.command(1, "drain", name=DRAINED, pool="t", why="benchmark")
        content = self.put(0, self.text(agreed=0.24))
        found = self.command(
            2, "release", content=content, waves="100%", window_ms=300, least=0, back_ms=4_000
        )
        for answer in (rules, drain, found):
            assert answer["good"], answer["text"]

        def done() -> bool:
            those = [self.status(n) for n in range(self.count)]
            return all(
                one["good"] == one["runs"] == content
                and one["release"] is None
                and [row["state"] for row in one["drains"]] == ["done"]
                for one in those
            )

        self.fleet.until(done, 20.0)
        return self.written(0)

    def rule(self, out: int) -> dict[str, Any]:
        """Operators say how many may be out, otherwise than any file does."""
        rules = f"all|balancers|2;t|upstreams|1|t;more|balancers|{out}"
        return self.command(0, "permits", rules=rules)

    def written(self, number: int) -> dict[str, Any]:
        """What one knows that operators brought about, by its control socket."""
        ask, status = self.fleet.ask, self.status(number)
        history = ask(number, "history")
        return {
            "record": status["record"],
            "disk": status["disk"],
            "disks": {row["name"]: row["disk"] for row in ask(number, "voters")["voters"]},
            "drains": [
                {key: row[key] for key in ("name", "of", "state", "permit", "who", "why")}
                for row in status["drains"]
            ],
            "releases": [[row["number"], row["what"], row["phase"]] for row in status["closed"]],
            "good": status["good"],
            "runs": status["runs"],
            "file": ask(number, "file"),
            "rules": [
                [row[key] for key in ("name", "of", "pool", "zone", "may")]
                for row in ask(number, "permits")["rules"]
            ],
            "checked": history["checked"],
            "history": history["items"],
        }

    def held(self, report: Report, when: str, before: dict[str, Any]) -> None:
        """All hold one state, and in it all that was there before; of the history as its beginning."""
        if not self.agreed:
            return
        begun, one_state = time.monotonic(), True
        try:
            self.fleet.until(lambda: len(self.states()) == 1, SETTLED)
        except TimeoutError:
            one_state = False
        took = time.monotonic() - begun
        report.bound(f"{when}: processes of both builds hold one state", one_state, least=1)
        wrong = 0
        for number in range(self.count):
            now = self.written(number)
            now["history"] = now["history"][: len(before["history"])]
            differs = [key for key in before if now[key] != before[key]]
            for key in differs:
                report.say(
                    f"     m{number}: {key}: {str(now[key])[:120]}, not {str(before[key])[:120]}"
                )
            wrong += bool(differs)
        report.bound(
            f"{when}: processes that know less of {len(before['history'])} acts of operators",
            wrong,
            most=0,
        )
        report.say(f"     one state after {took:.2f} s")

    def complaints(self) -> list[str]:
        """Lines of the logs of all runs, other than plain news, that name one of the process's own files."""
        return [
            line
            for one in self.fleet.processes
            for log in sorted(one.folder.glob("*/log"))
            for line in log.read_text().splitlines()
            if f"{one.folder}/" in line and " level=info " not in line
        ]

    def unread(self, number: int) -> int:
        """Datagrams that its present run has not read."""
        figures = self.fleet.ask(number, "figures")
        reasons = ("torn", "later_form", "unproved", "strange", "long")
        return sum(figures.get(f"unread_{why}", 0) for why in reasons)

    def drained_is_left_alone(self, report: Report, before: int) -> None:
        """Bound the tasks that came to the drained upstream since it had met `before` of them."""
        after = self.upstream_fleet.tell(DRAINED)["met"]
        report.bound("tasks that came to the drained upstream", after - before, most=0)

    def read_all(self, report: Report, when: str) -> None:
        """Nothing of the other build was left unread: of its files, of its datagrams."""
        complaints = self.complaints()
        for line in complaints[:5]:
            report.say(f"     {line}")
        report.bound(f"{when}: state files torn, old or not read", len(complaints), most=0)
        report.bound(
            f"{when}: datagrams of the other build that were not read",
            self.missed + sum(map(self.unread, range(self.count))),
            most=0,
        )
        # Guards against a count that has another name in one of the builds: noise has to show in
        # it.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for one in self.fleet.processes:
                sock.sendto(NOISE, one.real)
        with suppress(TimeoutError):
            self.fleet.until(lambda: all(map(self.unread, range(self.count))), 2.0)
        counting = sum(bool(self.unread(n)) for n in range(self.count))
        report.bound("and processes that count noise as not read", counting, least=self.count)


def rolled(report: Report, folder: Path, count: int, seed: int, earlier: Path) -> None:
    limits = {"all": {"kind": "rate", "amount": RATE, "burst": BURST}}
    trial = Trial(folder, count, seed, earlier, limits)
    fleet, rolling = trial.fleet, list(range(count - 2))
    try:
        trial.start()
        fleet.until(trial.divided, 30.0)
        report.bound("processes of the earlier build", trial.earlier_ones(), least=count)
        before = trial.write()
        met = trial.upstream_fleet.tell(DRAINED)["met"]
        trial.upstream_fleet.meter()
        begun = time.monotonic() + 0.2
        # The last two stay as they are to the end of the traffic: one of the earlier build, one of
        # this.
        trial.roll([count - 1], None)
        streams = [
            (
                fleet.processes[n].running.address,
                Asks(f"t{n}", 0.7 * RATE, "/t/x", "POST", "t.example", TIMEOUT, AGREED),
            )
            for n in (count - 2, count - 1)
        ]
        span = 3.0 + 2 * len(rolling) * 2.5
        loads = Loads(streams, seed, begun + 1.0, span, most=1_000)
        report.bound(
            "processes that are of the earlier build at first",
            trial.earlier_ones(),
            least=count - 1,
            most=count - 1,
        )
        forward = trial.roll(rolling, None)
        report.bound("and rolled forward", trial.earlier_ones(), least=1, most=1)
        builds = {row["build"] for row in fleet.ask(0, "members")["members"]}
        named = trial.misnamed() if trial.agreed else 0
        trial.held(report, "rolled forward", before)
        back = trial.roll(rolling, earlier)
        took = time.monotonic() - begun
        report.bound("and rolled back", trial.earlier_ones(), least=count - 1, most=count - 1)
        named += trial.misnamed() if trial.agreed else 0
        report.bound("processes known as of another build than they run", named, most=0)
        trial.held(report, "rolled back", before)
        seen = loads.results()
        report.say(
            f"     {count} processes rolled forward and back in {took:.0f} s; builds met: {builds}; "
            f"on time {min(one.share_on_time() for one in seen):.3f}"
        )
        report.bound("seconds of rolling without traffic", max(0.0, took - 1.0 - span), most=0.0)
        report.bound("slowest to be among the others again, s", max(forward, back), most=6.0)
        wrong = sum(len(one.unanswered()) + len(one.answered_twice()) for one in seen)
        report.bound("tasks without one answer", wrong, most=0)
        report.bound(
            "exclusive tasks that ran twice", len(trial.upstream_fleet.ledger().twice()), most=0
        )
        over, used = excess(trial.upstream_fleet.meter()["times"])
        report.bound("tasks over the limit of the whole bank in any window", over, most=0.0)
        report.bound("and so many times what it allows were used in some", used, least=0.3)
        if trial.agreed:
            trial.drained_is_left_alone(report, met)
        trial.read_all(report, "rolled")
    finally:
        trial.end()


def ended(report: Report, folder: Path, count: int, seed: int, earlier: Path) -> None:
    """All killed and started as the other build, and back: only their files can tell what was."""
    limits = {"day": {"kind": "count", "amount": MINE * count, "window": "day"}}
    trial = Trial(folder, count, seed, earlier, limits)
    fleet, everyone = trial.fleet, list(range(count))
    left = 86_400 - time.time() % 86_400
    if left < 120.0:
        time.sleep(left + 2.0)  # all of it is to be in one day

    def ask(when: str, rate: float) -> int:
        """Requests at all of them; how many the upstreams have run so far."""
        trial.seed += 1  # for other names of requests
        answered(report, trial.load(everyone, rate, 1.0).results(), trial.upstream_fleet, when)
        return trial.upstream_fleet.ledger().ran.total()

    def remembered() -> bool:
        """Whether the file of each, written since its start, says where all the others are."""
        ports = {one.name: f":{one.real[1]}".encode() for one in fleet.processes}
        kept = {one.name: one.folder / "recall" for one in fleet.processes}
        return all(
            path.exists()
            and path.stat().st_mtime > began
            and all(port in path.read_bytes() for other, port in ports.items() if other != name)
            for name, path in kept.items()
        )

    try:
        began = time.time()
        trial.start()
        fleet.until(trial.divided, 30.0)
        for number in everyone:
            fleet.ask(number, "begin", name="day")
        fleet.until(
            lambda: all(row["mine"] == MINE for n in everyone for row in fleet.ask(n, "limits"))
        )
        before = trial.write()
        met, ran = trial.upstream_fleet.tell(DRAINED)["met"], ask("earlier build", 10.0)
        fleet.seed_count = 0  # from now on only their files say where the others are
        for when, root, rate in (
            ("this build", None, 10.0),
            ("earlier build again", earlier, 2.0 * MINE),
        ):
            fleet.until(remembered)
            for number in everyone:
                trial.missed += trial.unread(number)
            for number in everyone:
                fleet.kill(number)
                trial.be(number, root)
            began = time.time()
            fleet.start()
            fleet.until(fleet.gathered, 30.0)
            fleet.until(trial.divided, 30.0)
            report.bound(
                f"{when}: so many of the earlier one",
                trial.earlier_ones(),
                least=count * bool(root),
                most=count * bool(root),
            )
            trial.held(report, when, before)
            rows = [row for n in everyone for row in fleet.ask(n, "limits")]
            parts, used = (sum(row[key] for row in rows) for key in ("home", "used"))
            report.bound(
                f"{when}: parts of the day's count that are held",
                parts,
                least=MINE * count,
                most=MINE * count,
            )
            report.bound(f"{when}: tasks of {ran} that are not counted", max(0, ran - used), most=0)
            more = ask(when, rate) - ran
            report.bound(f"{when}: further tasks that passed", more, least=count)
            ran += more
            if trial.agreed and root is None:
                assert trial.rule(4)["good"]
                before = trial.written(0)  # with what this build wrote behind it
        report.bound("tasks over the count of the day", ran - MINE * count, most=0)
        report.bound("of the day's count used", ran / (MINE * count), least=0.6)
        if trial.agreed:
            trial.drained_is_left_alone(report, met)
        trial.read_all(report, "ended and started")
    finally:
        trial.end()


def untouched(checkout: Path, commit: str) -> bool:
    """Whether this is the commit with nothing changed, and its package what Python takes there."""

    def said(*command: str) -> str:
        found = subprocess.run(command, cwd=checkout, check=True, capture_output=True, text=True)
        return found.stdout.strip()

    place = said(sys.executable, "-O", "-c", "import whinpier; print(whinpier.__file__)")
    return (
        said("git", "rev-parse", "HEAD") == commit
        and not said("git", "status", "--porcelain")
        and Path(place).resolve().is_relative_to(checkout.resolve())
    )


def bench() -> int:
    report = Report("builds", __doc__ or "")
    report.parser.add_argument(
        "--earlier", default=EARLIER, help="the earlier build, as git names it"
    )
    report.parser.add_argument("--processes", type=int, default=0, help="5 short, 20 long")
    given = report.options()
    commit = subprocess.run(
        ["git", "rev-parse", given.earlier + "^{commit}"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    with tempfile.TemporaryDirectory() as name:
        earlier = Path(name) / "earlier"
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(earlier), commit], check=True
        )
        try:
            rolled(
                report,
                Path(name) / "bank",
                given.processes or (5 if given.short else 20),
                given.seed,
                earlier,
            )
            ended(report, Path(name) / "ended", 4, given.seed, earlier)
            report.bound(
                "the earlier build is as its commit has it", untouched(earlier, commit), least=1
            )
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(earlier)], check=False)
    return report.close()


if __name__ == "__main__":
    main(bench)
