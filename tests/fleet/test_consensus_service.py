"""Stories of several processes that agree on drains and releases, with faults between them."""

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


class Trial:
    """A fleet that agrees, with upstreams of its own."""

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

    def say(self, number, *words, code=0):
        """One command at one process, to its end."""
        found = CliRunner().invoke(
            cli, ["bank", *words, "--socket", self.fleet.processes[number].control]
        )
        assert found.exit_code == code, (words, found.exit_code, found.output)
        return found.output

    def one_state(self):
        """Whether all that run hold the same."""
        states = {
            json.dumps([self.status(n)[key] for key in ("record", "line", "digest")])
            for n in self.alive()
        }
        return len(states) == 1

    def end(self):
        if self.loads:
            self.loads.stop()
        self.fleet.end()
        self.upstream_fleet.stop()


@pytest.fixture
def trial(tmp_path):
    made = []

    def make(count, **more):
        made.append(Trial(count, tmp_path, **more))
        return made[-1].start()

    yield make
    for one in made:
        one.end()


def test_drains_at_five_processes_of_which_the_leader_is_killed_lose_no_request(trial):
    five = trial(5)
    five.load(9.0, 3, 4)
    five.say(1, "drain", "balancer", "m4")
    assert "all: 1 may be out; out are m4" in five.say(2, "drain", "balancer", "m3", code=1)
    assert five.status(0)["drains"][0]["state"] == "done"
    assert {one["balancers"] for one in [five.fleet.ask(0, "members")["shares"]["t"]]} <= {4, 5}
    five.say(3, "drain", "upstream", "t/s-0")
    until(lambda: five.upstream_fleet.tell("s-0")["met"] == five.upstream_fleet.tell("s-0")["met"])
    met = five.upstream_fleet.tell("s-0")["met"]
    leader = five.leader()
    five.fleet.kill(leader)
    other = next(n for n in five.alive() if n != 4)
    until(lambda: f"m{leader}" in five.status(other)["lost"])
    five.say(other, "undrain", "balancer", "m4")
    # One is lost, so that nothing else may go out.
    assert f"out are m{leader}" in five.say(other, "drain", "balancer", "m4", code=1)
    five.fleet.processes[leader].start()
    until(lambda: not five.status(other)["lost"])
    assert five.upstream_fleet.tell("s-0")["met"] == met  # drained all the time, whoever led
    five.say(other, "undrain", "upstream", "t/s-0")
    until(five.one_state)
    seen = five.loads.results()
    assert not any(one.unanswered() or one.answered_twice() for one in seen)
    assert (
        not five.upstream_fleet.ledger().twice() and min(one.share_on_time() for one in seen) > 0.95
    )


def test_a_release_goes_to_all_and_a_bad_one_is_met_by_its_canary_alone(trial, tmp_path):
    four = trial(4)
    good, bad, faulty = (tmp_path / name for name in ("good.toml", "bad.toml", "faulty.toml"))
    good.write_text(
        files.document(
            four.service(
                upstreams=files.upstreams(
                    {
                        name: address
                        for name, address in four.upstream_fleet.addresses.items()
                        if name != "s-2"
                    }
                )
            )
        )
    )
    bad.write_text(files.document(four.service(upstreams=files.upstreams({"s-0": "127.0.0.1:9"}))))
    faulty.write_text(good.read_text().replace("exclusive", "inclusive"))
    four.load(16.0, 0, 1, 2, 3)
    four.say(3, "release", str(good), "--waves", "1", "--window", "1s")
    until(four.one_state)
    assert {four.status(n)["runs"] for n in range(4)} == {four.status(0)["good"]} != {""}
    met = four.upstream_fleet.tell("s-2")["met"]
    said = four.say(1, "release", str(faulty), "--waves", "1", "--window", "1s", code=3)
    assert "m0: refuses the file" in said and "is none of rerunnable" in said
    begun = time.monotonic()
    said = four.say(2, "release", str(bad), "--waves", "1", "--window", "1s", code=3)
    assert "undone" in said and "gate of wave 1" in said and time.monotonic() - begun < 8.0
    logs = [one.balancer.log() for one in four.fleet.processes]
    assert [log.count("event=release_applied") for log in logs] == [3, 1, 1, 1]
    assert four.upstream_fleet.tell("s-2")["met"] == met
    until(four.one_state)
    # A process that starts again takes up what was released, before it serves.
    four.fleet.kill(1)
    four.fleet.processes[1].start()
    four.fleet.processes[1].balancer.wait_ready()
    assert four.status(1)["runs"] == four.status(0)["good"]
    four.say(0, "undo")
    until(lambda: {four.status(n)["runs"] for n in range(4)} == {""})
    assert "released" in four.say(0, "history") and four.say(0, "history", "--json")
    seen = four.loads.results()
    assert not any(one.unanswered() or one.answered_twice() for one in seen)
    assert not four.upstream_fleet.ledger().twice()


def test_voters_with_a_lost_disk_an_old_one_a_cut_and_a_whole_restart(trial):
    four = trial(4, relayed=True)
    voter = next(n for n in range(3) if n != four.leader())
    folder = four.fleet.processes[voter].folder / "agreed"
    shutil.copy(folder / "record", four.folder / "old")
    four.say(3, "drain", "balancer", "m3")
    four.fleet.kill(voter)
    shutil.copy(four.folder / "old", folder / "record")
    four.fleet.processes[voter].start()
    until(lambda: "consensus_log_stale" in four.fleet.processes[voter].balancer.log())
    until(lambda: len(four.status(four.leader())["voters"]) == 3 and four.status(voter)["votes"])
    four.fleet.kill(voter)
    shutil.rmtree(folder)
    four.fleet.processes[voter].start()
    until(lambda: len(four.status(four.leader())["voters"]) == 3 and four.status(voter)["votes"])
    leader = four.leader()
    rest = [n for n in range(4) if n != leader]
    four.fleet.cut("apart", [leader], rest)
    until(lambda: [n for n in rest if four.status(n)["role"] == "leader"])
    until(lambda: four.status(leader)["role"] != "leader")
    assert "most voters are not heard" in four.say(
        leader, "undrain", "balancer", "m3", "--wait", "1", code=1
    )
    four.fleet.heal("apart")
    until(lambda: four.one_state() and not four.status(0)["lost"])
    for number in range(4):
        four.fleet.kill(number)
    for number in range(4):
        four.fleet.processes[number].start()
    for number in range(3):
        four.fleet.processes[number].balancer.wait_ready()
    until(
        lambda: four.status(3)["current"] and four.status(3)["aside"]
    )  # it is drained, as the record says
    four.say(0, "undrain", "balancer", "m3")
    four.fleet.processes[3].balancer.wait_ready()


def test_two_operators_at_two_ends_and_a_command_that_is_said_again(trial):
    three = trial(3)
    ends, said = threading.Barrier(2), {}

    def operate(number, name):
        found = three.status(number)["revision"]
        ends.wait(10.0)
        three.fleet.ask(
            number,
            "command",
            name="drain",
            value={"id": 7 + number, "name": name, "who": f"op-{name}", "based": found},
        )
        said[name] = until(
            lambda: [
                one
                for one in [three.fleet.ask(number, "outcome", name=str(7 + number))]
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
    until(three.one_state)
    three.say(0, "undrain", "balancer", won)
    three.say(0, "drain", "balancer", "m1", "--id", "4242")
    three.say(0, "undrain", "balancer", "m1")
    line = three.status(0)["line"]
    assert three.fleet.ask(1, "outcome", name="4242")["good"]
    again = three.say(1, "drain", "balancer", "m1", "--id", "4242", "--wait", "2", code=3)
    assert "was undrained meanwhile" in again
    assert three.status(0)["line"] == line
    assert "would" not in three.say(2, "drain", "balancer", "m2", "--dry-run")
    assert not three.status(0)["drains"]
    assert "one" in three.say(0, "status", "--json") or three.say(0, "permits")


def test_a_drained_upstream_stays_drained_over_its_restart_and_an_unknown_one_is_refused(trial):
    three = trial(3)
    assert "'s-9' is no upstream" in three.say(0, "drain", "upstream", "t/s-9", code=1)
    assert "no member" in three.say(0, "drain", "balancer", "m9", code=1)
    three.say(0, "drain", "upstream", "t/s-1")
    three.load(3.0, 0, 1, 2)
    met = three.upstream_fleet.tell("s-1")["met"]
    for one in three.fleet.processes:  # listed anew under its name, as another run
        again = [
            {
                "name": name,
                "address": address,
                **({"started_ms": int(time.time() * 1000)} if name == "s-1" else {}),
            }
            for name, address in three.upstream_fleet.addresses.items()
        ]
        one.balancer.reload(files.document(one.file() | three.service(upstreams=again)))
    assert not any(one.unanswered() for one in three.loads.results())
    assert three.upstream_fleet.tell("s-1")["met"] == met


def test_faulty_keys_of_the_record_are_named_and_without_its_table_nothing_of_it_is_there(
    trial, tmp_path
):
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


def test_a_file_that_cuts_its_process_off_is_taken_back_there_by_itself(trial, tmp_path):
    three = trial(3, relayed=True, cut_off="5s")
    file = tmp_path / "new.toml"
    file.write_text(files.document(three.service(connect_timeout="150ms")))
    three.load(12.0, 1, 2)
    # Its canary runs it, and is not heard from then on.
    content = {}

    def say():
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
                three.fleet.processes[2].control,
            ],
        )

    thread = threading.Thread(target=say)
    thread.start()
    until(lambda: three.status(0)["runs"])
    three.fleet.cut("off", [0], [1, 2])
    until(lambda: "event=release_rolled_back" in three.fleet.processes[0].balancer.log())
    until(lambda: three.status(0)["runs"] == "")
    thread.join(20.0)
    assert content["said"].exit_code == 3 and "m0" in content["said"].output
    three.fleet.heal("off")
    until(
        lambda: three.one_state() and not three.status(1)["lost"] and not three.status(1)["release"]
    )
    assert {three.status(n)["runs"] for n in range(3)} == {""}
    assert not any(one.unanswered() or one.answered_twice() for one in three.loads.results())
