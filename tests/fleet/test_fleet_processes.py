"""Stories of several processes of the program that know each other, with faults between them."""

import json
import os
import signal
import socket
import stat
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from tests.waiting import until
from whinpier.cli.main import cli
from whinpier.config import operator
from whinpier.config.model import ConfigFault
from whinpier.fleet.spec import MAX_CONTROL_CALLERS
from whinpier.testbed import files
from whinpier.testbed.clients import Asks
from whinpier.testbed.faults import Fault, Schedule
from whinpier.testbed.fleet import Fleet
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.referee import Bounds, Referee
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

pytestmark = pytest.mark.xdist_group("fleet")

UPSTREAMS = {"s-0": "127.0.0.1:9"}


def service(process):
    return {
        "pools": {"t": files.service("t", "rerunnable", UPSTREAMS, 0.25, 1.5)},
        "routes": [files.route("t", "rerunnable", "t")],
    }


@pytest.fixture
def fleet(tmp_path):
    made = []

    def make(count, **more):
        made.append(Fleet(count, tmp_path, more.pop("service", service), **more))
        return made[-1]

    yield make
    for one in made:
        one.end()


def shares(fleet, *numbers):
    return [fleet.ask(number, "members")["shares"]["t"] for number in numbers]


def test_five_processes_gather_lose_a_killed_one_pause_and_are_cut_in_two(fleet):
    five = fleet(5, seeds=2)
    five.start()
    until(five.gathered)
    five.play(
        Schedule(
            5,
            17.0,
            (
                Fault(1.2, "kill", (4,)),
                Fault(4.6, "stop", (1,), span=1.0),
                Fault(7.0, "cut", parts=((0, 1), (2, 3)), span=4.0),
            ),
        )
    )
    # Wider than what the benchmark holds them to: a test's verdict must not hang on the machine.
    referee = Referee(
        five.facts, five.said, five.clock(), Bounds(dead=5.0, position=3.5, agree=5.0)
    )
    assert (
        referee.judge() == [] and referee.checked["dead"] == 4 and referee.checked["position"] >= 8
    )
    # The dead one was refused, so it is reckoned with no longer; those across the cut were all the
    # time.
    told = [
        line
        for line in five.processes[0].balancer.log().splitlines()
        if "pool_fleet_size_changed" in line
    ]
    assert [line.split("balancers=")[1].split()[0] for line in told][-2:] == ["5", "4"]
    numbers = [one["number"] for one in shares(five, 0, 1, 2, 3)]
    assert sorted(numbers) == [0, 1, 2, 3]


def test_processes_with_radius_in_their_files_hear_each_other_to_their_end(fleet):
    """Guards against a RADIUS frontend that reads the fleet's socket, or no longer lets it be read."""

    def service_with_radius(process):
        records = files.records(free_address(), {"r0": "127.0.0.1:9"}, ["partner"])
        http = service(process)
        return http | records | {"pools": http["pools"] | records["pools"]}

    two = fleet(2, service=service_with_radius)
    two.start()
    until(two.gathered)
    # A process that stops serves for a while; it hears the others until it has ended.
    two.processes[1].balancer.process.send_signal(signal.SIGTERM)
    until(lambda: "event=stopped" in two.processes[1].balancer.log())
    logs = [one.balancer.log() for one in two.processes]
    assert not any("radius_bad_request" in log or "member_lost" in log for log in logs)


def test_a_goodbye_a_restart_and_all_killed_at_once_without_their_seeds(fleet):
    four = fleet(4, seeds=1)
    four.start()
    until(four.gathered)
    four.leave(3)
    until(
        lambda: all(
            four.view(number, "here", "suspect", "lost", "leaving") == {"m0", "m1", "m2"}
            for number in range(3)
        )
    )
    four.processes[3].start()
    until(four.gathered)
    before = four.processes[1].run
    until(lambda: all((one.folder / "recall").exists() for one in four.processes))
    until(
        lambda: all(
            len(json.loads((one.folder / "recall").read_text())["members"]) == 3
            for one in four.processes
        )
    )
    for number in range(4):
        four.kill(number)
    four.start(1, 2, 3)  # the seed stays down
    until(lambda: four.gathered(1, 2, 3))
    assert four.processes[1].run != before
    until(lambda: {one["balancers"] for one in shares(four, 1, 2, 3)} == {3})


def test_every_answer_is_given_once_while_members_come_and_go(fleet):
    upstream_fleet = UpstreamFleet({f"s-{number}": Script(work=0.005) for number in range(3)}, 1)
    try:

        def charges(process):
            pool = files.service("t", "exclusive", upstream_fleet.addresses, 0.25, 1.5)
            return {"pools": {"t": pool}, "routes": [files.route("t", "exclusive", "t")]}

        three = fleet(3, service=charges, relayed=False)
        three.start()
        until(three.gathered)
        asks = Asks("t", 100.0, "/t/x", host="t.example", timeout=1.5)
        load = Load(three.processes[0].balancer.address, asks, 1, three.begun, three.clock() + 4.0)
        three.kill(2)
        until(lambda: "m2" in three.view(0, "lost"))
        three.processes[2].start()
        until(three.gathered)
        seen = load.result()
        assert (
            not seen.unanswered()
            and not seen.answered_twice()
            and not upstream_fleet.ledger().twice()
        )
        assert seen.share_on_time() > 0.9
    finally:
        upstream_fleet.stop()


def test_one_that_is_told_to_end_while_it_joins_ends_in_order(fleet):
    one = fleet(2, seeds=2, relayed=False)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(one.processes[1].real)  # a seed that is there and says nothing
        one.processes[0].start()
        process = one.processes[0].balancer
        process.process.send_signal(signal.SIGTERM)
        assert process.process.wait(10.0) == 0
        assert "event=fleet_left" in process.log() and "connection_task_failed" not in process.log()


def is_open(sock):
    """Tell whether the other end has not closed a connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except ConnectionError:
        return False


def test_the_control_socket_is_its_owners_and_no_caller_holds_the_process(fleet):
    one = fleet(2, relayed=False)
    one.start()
    until(one.gathered)
    path = one.processes[0].control
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600

    def ask(data):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(10.0)
            sock.connect(path)
            sock.sendall(data)
            with sock.makefile("rb") as lines:
                return json.loads(lines.readline())

    assert ask(b'{"ask":"members","id":"x"}\n')["id"] == "x"
    for noise in (
        b"\0\n",
        b"{}\n",
        b"[" * 3000 + b"\n",
        b'{"ask":"none"}\n',
        b"\xff\xfe\n",
        b'{"ask":"strike","name":"m1"}\n',
        b"x" * 9000,
    ):
        assert ask(noise)["ok"] is False
    silent, refused = [], []
    for _ in range(40):  # more than are served, none of which reads
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(path)
        try:
            sock.send(b'{"ask":"watch"}\n')
        except ConnectionError:  # the process has closed it already
            refused.append(sock)
        silent.append(sock)
    until(lambda: sum(map(is_open, silent)) <= MAX_CONTROL_CALLERS)
    assert any(map(is_open, silent)) and not any(map(is_open, refused))
    assert one.ask(1, "members")["here"] == 2
    for sock in silent:
        sock.close()

    def answers():
        try:
            return ask(b'{"ask":"links"}\n')["ok"]
        except (OSError, ValueError):
            return False  # turned away while those who went are not yet noticed

    until(answers)
    process = one.processes[0].balancer
    listen = free_address()
    given = process.file.read_text().replace(process.listen, listen)
    given = given.replace('"%s:%d"' % one.processes[0].real, f'"{free_address()}"')
    with pytest.raises(RuntimeError, match="another process has it"):
        Balancer(
            one.folder / "same", given, listen=listen
        ).wait_ready()  # nor does it share its state file
    again = Balancer(one.folder / "again", given.replace('/state"', '/other"'))
    try:
        until(
            lambda: again.said("control_socket_failed")
        )  # it goes on without, and does not take the path away
        assert one.ask(0, "members")["here"] >= 2
    finally:
        again.stop()


def test_what_people_ask_is_answered_as_text_and_as_data(fleet):
    one = fleet(2, relayed=False)
    one.start()
    until(one.gathered)
    run = CliRunner()
    found = run.invoke(cli, ["bank", "members", "--socket", one.processes[0].control, "--json"])
    assert found.exit_code == 0 and {
        row["state"] for row in json.loads(found.output)["members"]
    } == {"here"}
    found = run.invoke(cli, ["bank", "links", "--operator", str(one.processes[0].balancer.file)])
    assert found.exit_code == 0 and "m1" in found.output and "direct" in found.output
    found = run.invoke(cli, ["bank", "strike", "m1", "--socket", one.processes[0].control])
    assert found.exit_code == 1 and "lost by silence" in found.output
    found = run.invoke(cli, ["bank", "members", "--socket", str(one.folder / "none")])
    assert found.exit_code == 1 and found.output.count("\n") == 1
    found = run.invoke(
        cli, ["bank", "watch", "--socket", one.processes[0].control, "--json", "--most", "1"]
    )
    assert found.exit_code == 0 and "watching" in found.output


def test_keys_and_seeds_change_by_a_reload_and_what_waits_is_said(fleet):
    two = fleet(2, relayed=False, seeds=1)
    two.start()
    until(two.gathered)
    new = two.folder / "new.key"
    new.write_text("another key for a trial")
    new.chmod(0o600)
    old = str(two.key)
    for keys in ([old, str(new)], [str(new), old], [str(new)]):
        for process in two.processes:
            given = tomllib.loads(process.balancer.file.read_text())
            given["bank"] |= {"key_files": keys, "zone": "z", "name": "other"}
            process.balancer.reload(files.document(given))
    until(two.gathered)
    until(
        lambda: {row["zone"] for row in two.ask(0, "members")["members"]} == {"z"}
    )  # news needs its time
    log = two.processes[0].balancer.log()
    assert (
        "kept_till_restart=bank.name" in log
        and "event=fleet_configuration_changed keys=keys" in log
    )
    assert "member_lost" not in log and {
        row["zone"] for row in two.ask(0, "members")["members"]
    } == {"z"}


def given(tmp_path, **fleet):
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    table = {"listen": "127.0.0.1:7000", "key_files": [str(key)]} | fleet
    return {"version": 1, "listen": ["127.0.0.1:9000"], "bank": table} | service(None)


@pytest.mark.parametrize(
    "key, value, said",
    [
        ("listen", "here", "bank.listen: 'here' is not HOST:PORT"),
        ("lisen", 1, "bank.lisen: is no key here (meant: listen)"),
        ("seeds", ["a:1"], "bank.seeds[0]: 'a:1' is no IPv4"),
        ("listen", "0.0.0.0:1", "bank.listen: 0.0.0.0 is where"),
        ("advertise", "0.0.0.0:1", "bank.advertise: 0.0.0.0"),
        ("key_files", [], "bank.key_files: 0 of them"),
        ("key_files", ["/none"], "bank.key_files[0]: "),
        ("name", "A b", "bank.name: 'A b' is no name"),
        ("times", {"probe": "1ms"}, "bank.times.probe: '1ms' is not between 10ms"),
        ("times", {"answer": "50ms"}, "bank.times.answer: is shorter than probe"),
        ("times", {"suspect": "200ms"}, "bank.times.suspect: is shorter"),
        ("times", {"reckon": "5s"}, "bank.times.reckon: is shorter"),
        ("control", "x" * 200, "bank.control: "),
        ("seeds", ["127.0.0.1:1"] * 1001, "bank.seeds: 1001 of them"),
    ],
)
def test_a_faulty_table_is_refused_with_its_key(tmp_path, key, value, said):
    with pytest.raises(ConfigFault) as fault:
        operator.made(given(tmp_path, **{key: value}))
    assert str(fault.value).startswith(said), str(fault.value)


def test_a_key_that_others_can_read_or_that_is_too_short_is_refused(tmp_path):
    table = given(tmp_path)
    (tmp_path / "key").chmod(0o644)
    with pytest.raises(ConfigFault, match="may be read by others"):
        operator.made(table)
    (tmp_path / "key").chmod(0o600)
    (tmp_path / "key").write_text("short")
    with pytest.raises(ConfigFault, match="holds 5 bytes; 16 to 64"):
        operator.made(table)


def test_a_pool_that_says_how_many_share_it_is_not_the_fleets(tmp_path):
    table = given(tmp_path)
    assert operator.made(table).fleet.pools == ("t",)
    table["pools"]["t"] |= {"balancers": 4, "number": 2}
    made = operator.made(table)
    assert made.fleet.pools == () and made.pools["t"].settings["balancers"] == 4


def test_the_platforms_way_imports_nothing_of_it(tmp_path):
    """As deploy/balancer.toml starts it: no table, so no module, no socket."""
    platform = json.loads(Path("example/config.json").read_text()) | {"listen": free_address()}
    (tmp_path / "c.json").write_text(json.dumps(platform))
    environment = {
        key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")
    }
    environment["BALANCER_CONFIG"] = str(tmp_path / "c.json")
    process = subprocess.Popen(
        [sys.executable, "-O", "-X", "importtime", "-m", "whinpier"],
        text=True,
        stderr=subprocess.PIPE,
        env=environment,
    )
    lines = []
    try:
        for line in process.stderr:
            lines.append(line)
            if "event=listening" in line or len(lines) > 5000:
                break
        inodes = {os.readlink(one) for one in Path(f"/proc/{process.pid}/fd").iterdir()}
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
        process.stderr.close()
    assert any("whinpier.runtime.process" in line for line in lines)
    assert not any("whinpier.fleet" in line or "msgspec" in line for line in lines)
    udp = {line.split()[9] for line in Path("/proc/net/udp").read_text().splitlines()[1:]}
    assert not any(f"socket:[{inode}]" in inodes for inode in udp)
