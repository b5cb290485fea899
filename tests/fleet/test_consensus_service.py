"""End-to-end tests of drains, releases and voters in fleets of several processes, with faults."""

import json
import shutil
import threading
import time

import pytest
from click.testing import CliRunner

from tests.waiting import until
from whinpier.cli.main import cli
from whinpier.config import operator
from whinpier.config.model import ConfigFault
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.load import Loads
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

pytestmark = pytest.mark.xdist_group("fleet")

AGREEMENT = {
    "voters": ["m0", "m1", "m2"],
    "permits": {
        "all": {"of": "balancers", "out": 1},
        "t": {"of": "upstreams", "pool": "t", "out": 1},
    },
}


class ConsensusTestbed:
    """A fleet of processes with consensus and emulated upstreams."""

    def __init__(self, count, folder, relayed=False, **more):
        self.folder = folder
        self.upstream_fleet = UpstreamFleet({f"s-{n}": Script(work=0.004) for n in range(3)}, 1)
        self.fleet = Fleet(count, folder, self.service, relayed=relayed, agreement=AGREEMENT | more)
        self.loads = None

    def service(self, process=None, **more):
        pool = files.service("t", "exclusive", self.upstream_fleet.addresses, 0.25, 1.5) | more
        return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

    def start(self):
        self.fleet.start()
        until(self.fleet.gathered)
        until(lambda: all(self.status(n)["line"] >= 3 for n in self.alive()))
        return self

    def alive(self):
        return [one.number for one in self.fleet.processes if one.alive() and not one.stopped]

    def status(self, number):
        return self.fleet.ask(number, "status")

    def leader(self):
        return until(lambda: [n for n in self.alive() if self.status(n)["role"] == "leader"])[0]

    def load(self, span, *numbers):
        those = [self.fleet.processes[number] for number in numbers]
        self.loads = Loads(
            [
                (one.balancer.address, Asks(one.name, 40.0, "/t/x", "POST", "t.example", 1.5, 0.25))
                for one in those
            ],
            1,
            time.monotonic() + 0.1,
            span,
        )

    def run_command(self, number, *words, code=0):
        """Run one `bank` command at one process, wait for its end and return its output."""
        found = CliRunner().invoke(
            cli, ["bank", *words, "--socket", self.fleet.processes[number].control]
        )
        assert found.exit_code == code, (words, found.exit_code, found.output)
        return found.output

    def has_converged(self):
        """Return whether all running processes have the same replicated state."""
        states = {
            json.dumps([self.status(n)[key] for key in ("record", "line", "digest")])
            for n in self.alive()
        }
        return len(states) == 1

    def stop(self):
        if self.loads:
            self.loads.stop()
        self.fleet.end()
        self.upstream_fleet.stop()


@pytest.fixture
def start_testbed(tmp_path):
    made = []

    def make(count, **more):
        made.append(ConsensusTestbed(count, tmp_path, **more))
        return made[-1].start()

    yield make
    for testbed in made:
        testbed.stop()


def test_drains_lose_no_request_when_the_leader_of_five_processes_is_killed(start_testbed):
    testbed = start_testbed(5)
    testbed.load(9.0, 3, 4)
    testbed.run_command(1, "drain", "balancer", "m4")
    assert "all: 1 may be out; out are m4" in testbed.run_command(
        2, "drain", "balancer", "m3", code=1
    )
    assert testbed.status(0)["drains"][0]["state"] == "done"
    assert {one["balancers"] for one in [testbed.fleet.ask(0, "members")["shares"]["t"]]} <= {4, 5}
    testbed.run_command(3, "drain", "upstream", "t/s-0")
    until(
        lambda: testbed.upstream_fleet.tell("s-0")["met"]
        == testbed.upstream_fleet.tell("s-0")["met"]
    )
    met = testbed.upstream_fleet.tell("s-0")["met"]
    leader = testbed.leader()
    testbed.fleet.kill(leader)
    other = next(n for n in testbed.alive() if n != 4)
    until(lambda: f"m{leader}" in testbed.status(other)["lost"])
    testbed.run_command(other, "undrain", "balancer", "m4")
    # The lost member uses up the disruption budget, so no other may be drained.
    assert f"out are m{leader}" in testbed.run_command(other, "drain", "balancer", "m4", code=1)
    testbed.fleet.processes[leader].start()
    until(lambda: not testbed.status(other)["lost"])
    assert testbed.upstream_fleet.tell("s-0")["met"] == met  # it stayed drained under both leaders
    testbed.run_command(other, "undrain", "upstream", "t/s-0")
    until(testbed.has_converged)
    seen = testbed.loads.results()
    assert not any(one.unanswered() or one.answered_twice() for one in seen)
    assert (
        not testbed.upstream_fleet.ledger().twice()
        and min(one.share_on_time() for one in seen) > 0.95
    )


def test_a_release_goes_to_all_and_a_bad_one_is_met_by_its_canary_alone(start_testbed, tmp_path):
    testbed = start_testbed(4)
    good, bad, faulty = (tmp_path / name for name in ("good.toml", "bad.toml", "faulty.toml"))
    good.write_text(
        files.document(
            testbed.service(
                upstreams=files.upstreams(
                    {
                        name: address
                        for name, address in testbed.upstream_fleet.addresses.items()
                        if name != "s-2"
                    }
                )
            )
        )
    )
    bad.write_text(
        files.document(testbed.service(upstreams=files.upstreams({"s-0": "127.0.0.1:9"})))
    )
    faulty.write_text(good.read_text().replace("exclusive", "inclusive"))
    testbed.load(16.0, 0, 1, 2, 3)
    testbed.run_command(3, "release", str(good), "--waves", "1", "--window", "1s")
    until(testbed.has_converged)
    assert {testbed.status(n)["runs"] for n in range(4)} == {testbed.status(0)["good"]} != {""}
    met = testbed.upstream_fleet.tell("s-2")["met"]
    said = testbed.run_command(1, "release", str(faulty), "--waves", "1", "--window", "1s", code=3)
    assert "m0: refuses the file" in said and "is none of rerunnable" in said
    begun = time.monotonic()
    said = testbed.run_command(2, "release", str(bad), "--waves", "1", "--window", "1s", code=3)
    assert "undone" in said and "gate of wave 1" in said and time.monotonic() - begun < 8.0
    logs = [one.balancer.log() for one in testbed.fleet.processes]
    assert [log.count("event=release_applied") for log in logs] == [3, 1, 1, 1]
    assert testbed.upstream_fleet.tell("s-2")["met"] == met
    until(testbed.has_converged)
    # A restarted process applies the release before it serves.
    testbed.fleet.kill(1)
    testbed.fleet.processes[1].start()
    testbed.fleet.processes[1].balancer.wait_ready()
    assert testbed.status(1)["runs"] == testbed.status(0)["good"]
    testbed.run_command(0, "undo")
    until(lambda: {testbed.status(n)["runs"] for n in range(4)} == {""})
    assert "released" in testbed.run_command(0, "history") and testbed.run_command(
        0, "history", "--json"
    )
    seen = testbed.loads.results()
    assert not any(one.unanswered() or one.answered_twice() for one in seen)
    assert not testbed.upstream_fleet.ledger().twice()


def test_voters_recover_from_lost_and_stale_disks_a_partition_and_a_full_restart(start_testbed):
    testbed = start_testbed(4, relayed=True)
    voter = next(n for n in range(3) if n != testbed.leader())
    folder = testbed.fleet.processes[voter].folder / "agreed"
    # A voter restarts with an old copy of its journal.
    shutil.copy(folder / "record", testbed.folder / "old")
    testbed.run_command(3, "drain", "balancer", "m3")
    testbed.fleet.kill(voter)
    shutil.copy(testbed.folder / "old", folder / "record")
    testbed.fleet.processes[voter].start()
    until(lambda: "consensus_log_stale" in testbed.fleet.processes[voter].balancer.log())
    until(
        lambda: len(testbed.status(testbed.leader())["voters"]) == 3
        and testbed.status(voter)["votes"]
    )
    # A voter restarts without its journal.
    testbed.fleet.kill(voter)
    shutil.rmtree(folder)
    testbed.fleet.processes[voter].start()
    until(
        lambda: len(testbed.status(testbed.leader())["voters"]) == 3
        and testbed.status(voter)["votes"]
    )
    # The leader is partitioned from the rest.
    leader = testbed.leader()
    rest = [n for n in range(4) if n != leader]
    testbed.fleet.cut("apart", [leader], rest)
    until(lambda: [n for n in rest if testbed.status(n)["role"] == "leader"])
    until(lambda: testbed.status(leader)["role"] != "leader")
    assert "most voters are not heard" in testbed.run_command(
        leader, "undrain", "balancer", "m3", "--wait", "1", code=1
    )
    testbed.fleet.heal("apart")
    until(lambda: testbed.has_converged() and not testbed.status(0)["lost"])
    # All processes restart.
    for number in range(4):
        testbed.fleet.kill(number)
    for number in range(4):
        testbed.fleet.processes[number].start()
    for number in range(3):
        testbed.fleet.processes[number].balancer.wait_ready()
    until(lambda: testbed.status(3)["current"] and testbed.status(3)["aside"])  # still drained
    testbed.run_command(0, "undrain", "balancer", "m3")
    testbed.fleet.processes[3].balancer.wait_ready()


def test_of_two_concurrent_commands_one_wins_and_a_repeated_command_is_applied_once(start_testbed):
    testbed = start_testbed(3)
    barrier, said = threading.Barrier(2), {}

    def operate(number, name):
        found = testbed.status(number)["revision"]
        barrier.wait(10.0)
        testbed.fleet.ask(
            number,
            "command",
            name="drain",
            value={"id": 7 + number, "name": name, "who": f"op-{name}", "based": found},
        )
        said[name] = until(
            lambda: [
                one
                for one in [testbed.fleet.ask(number, "outcome", name=str(7 + number))]
                if one["known"]
            ]
        )[0]

    both = [threading.Thread(target=operate, args=given) for given in ((0, "m1"), (1, "m2"))]
    for one in both:
        one.start()
    for one in both:
        one.join(30.0)
    (won, _), (_, lost) = sorted(said.items(), key=lambda one: not one[1]["good"])
    assert not lost["good"] and f"op-{won} said drain {won}" in lost["text"]
    until(testbed.has_converged)
    testbed.run_command(0, "undrain", "balancer", won)
    testbed.run_command(0, "drain", "balancer", "m1", "--id", "4242")
    testbed.run_command(0, "undrain", "balancer", "m1")
    line = testbed.status(0)["line"]
    assert testbed.fleet.ask(1, "outcome", name="4242")["good"]
    again = testbed.run_command(1, "drain", "balancer", "m1", "--id", "4242", "--wait", "2", code=3)
    assert "was undrained meanwhile" in again
    assert testbed.status(0)["line"] == line
    assert "would" not in testbed.run_command(2, "drain", "balancer", "m2", "--dry-run")
    assert not testbed.status(0)["drains"]
    assert "one" in testbed.run_command(0, "status", "--json") or testbed.run_command(0, "permits")


def test_a_drained_upstream_stays_drained_when_it_restarts_and_unknown_names_are_refused(
    start_testbed,
):
    testbed = start_testbed(3)
    assert "'s-9' is no upstream" in testbed.run_command(0, "drain", "upstream", "t/s-9", code=1)
    assert "no member" in testbed.run_command(0, "drain", "balancer", "m9", code=1)
    testbed.run_command(0, "drain", "upstream", "t/s-1")
    testbed.load(3.0, 0, 1, 2)
    met = testbed.upstream_fleet.tell("s-1")["met"]
    for one in testbed.fleet.processes:  # listed under its name again, as restarted
        again = [
            {
                "name": name,
                "address": address,
                **({"started_ms": int(time.time() * 1000)} if name == "s-1" else {}),
            }
            for name, address in testbed.upstream_fleet.addresses.items()
        ]
        one.balancer.reload(files.document(one.file() | testbed.service(upstreams=again)))
    assert not any(one.unanswered() for one in testbed.loads.results())
    assert testbed.upstream_fleet.tell("s-1")["met"] == met


def test_invalid_consensus_settings_and_releases_are_refused_by_name(start_testbed, tmp_path):
    key = tmp_path / "key"
    key.write_text("a key for a trial, not a secret")
    key.chmod(0o600)
    whole = {
        "version": 1,
        "name": "m0",
        "listen": ["127.0.0.1:9000"],
        "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.1, 1.0)},
        "routes": [files.route("t", "rerunnable", "t")],
    }
    path = tmp_path / "operator.toml"
    for wrong, said in (
        ({"voters": [], "folder": "/x"}, "bank.agreement.voters"),
        ({"voters": ["m0", "m0"], "folder": "/x"}, "none twice"),
        ({"voters": ["m0"], "folder": "x"}, "bank.agreement.folder: 'x' is no whole path"),
        (
            {
                "voters": ["m0"],
                "folder": "/x",
                "permits": {"a": {"of": "balancers", "out": 1, "pool": "t"}},
            },
            "bank.agreement.permits.a.pool",
        ),
        ({"voters": ["m0"], "folder": "/x", "wait": "soon"}, "bank.agreement.wait"),
        ({"voters": ["m0"], "folder": "/x", "cut_off": "1s"}, "bank.agreement.cut_off: is shorter"),
    ):
        fleet = {"listen": "127.0.0.1:9001", "key_files": [str(key)], "agreement": wrong}
        path.write_text(files.document(whole | {"bank": fleet}))
        with pytest.raises(ConfigFault, match=said):
            operator.read(str(path))
    folder = tmp_path / "agreed"
    folder.mkdir()
    fleet = {
        "listen": "127.0.0.1:9001",
        "key_files": [str(key)],
        "agreement": {"voters": ["m0"], "folder": str(folder)},
    }
    path.write_text(files.document(whole | {"bank": fleet}))
    before = operator.read(str(path))
    (folder / "released.toml").write_text('# release ab\nup = "/ready"\n')
    after = operator.read(str(path))
    assert (before.up, after.up) == (b"/up", b"/ready") and before.revision != after.revision
    for text, said in (
        ('listen = ["127.0.0.1:1"]', "listen: belongs into each process's own file"),
        ('[bank]\nlisten = "127.0.0.1:1"', "only limits and verdicts are released"),
        ("up = ", "Invalid value"),
    ):
        with pytest.raises(ConfigFault, match=said):
            operator.read(str(path), text.encode(), False)


def test_a_release_that_partitions_its_process_is_rolled_back_there(start_testbed, tmp_path):
    testbed = start_testbed(3, relayed=True, cut_off="5s")
    file = tmp_path / "new.toml"
    file.write_text(files.document(testbed.service(connect_timeout="150ms")))
    testbed.load(12.0, 1, 2)
    # The canary is partitioned once it runs the release.
    content = {}

    def release():
        content["said"] = CliRunner().invoke(
            cli,
            [
                "bank",
                "release",
                str(file),
                "--waves",
                "1",
                "--window",
                "5s",
                "--back",
                "2s",
                "--socket",
                testbed.fleet.processes[2].control,
            ],
        )

    thread = threading.Thread(target=release)
    thread.start()
    until(lambda: testbed.status(0)["runs"])
    testbed.fleet.cut("off", [0], [1, 2])
    until(lambda: "event=release_rolled_back" in testbed.fleet.processes[0].balancer.log())
    until(lambda: testbed.status(0)["runs"] == "")
    thread.join(20.0)
    assert content["said"].exit_code == 3 and "m0" in content["said"].output
    testbed.fleet.heal("off")
    until(
        lambda: testbed.has_converged()
        and not testbed.status(1)["lost"]
        and not testbed.status(1)["release"]
    )
    assert {testbed.status(n)["runs"] for n in range(3)} == {""}
    assert not any(one.unanswered() or one.answered_twice() for one in testbed.loads.results())


@pytest.mark.parametrize("has_commit_file", [True, False], ids=["", "data of earlier builds"])
def test_last_voter_keeps_to_what_was_agreed_through_a_restart_and_a_recovery(
    start_testbed, tmp_path, has_commit_file
):
    """Guards against drains and releases that are forgotten where most voters are lost for good."""
    testbed = start_testbed(3, wait="1s")
    file = tmp_path / "new.toml"
    file.write_text(files.document(testbed.service(connect_timeout="150ms")))
    testbed.load(6.0, 0, 1, 2)
    testbed.run_command(1, "release", str(file), "--waves", "1", "--window", "1s")
    testbed.run_command(1, "drain", "upstream", "t/s-0")
    until(testbed.has_converged)
    testbed.loads.results()
    before = testbed.status(0)
    met = testbed.upstream_fleet.tell("s-0")["met"]
    for number in (1, 2):
        testbed.fleet.kill(number)
        shutil.rmtree(testbed.fleet.processes[number].folder / "agreed")
    testbed.fleet.kill(0)
    if not has_commit_file:
        (testbed.fleet.processes[0].folder / "agreed" / "committed").unlink()
    testbed.fleet.processes[0].start()
    testbed.fleet.processes[0].balancer.wait_ready()
    alone = testbed.status(0)
    assert alone["runs"] == before["runs"] != ""
    if has_commit_file:
        assert (alone["line"], alone["digest"]) == (before["line"], before["digest"])
        testbed.load(1.0, 0)
        assert not any(one.unanswered() for one in testbed.loads.results())
        assert testbed.upstream_fleet.tell("s-0")["met"] == met
    testbed.run_command(0, "recover", "--yes")
    for number in (1, 2):
        testbed.fleet.processes[number].start()
    until(lambda: len(testbed.status(0)["voters"]) == 3)
    for number in (1, 2):
        testbed.fleet.processes[number].balancer.wait_ready()
    until(lambda: {testbed.status(number)["runs"] for number in range(3)} == {before["runs"]})
    met = testbed.upstream_fleet.tell("s-0")["met"]
    testbed.load(1.0, 0, 1, 2)
    assert not any(one.unanswered() for one in testbed.loads.results())
    assert testbed.upstream_fleet.tell("s-0")["met"] == met
    assert "drain t/s-0" in testbed.run_command(2, "history")
