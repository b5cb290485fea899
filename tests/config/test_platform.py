"""Stories of the start: what is wrong with a configuration is said in one line; what log lines look
like.
"""

import json
import logging
import os
import socket
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

from tests.waiting import until
from whinpier import log
from whinpier.testbed.process import free

GIVEN = json.loads(Path("example/config.json").read_text())


def run(path, *options):
    environment = os.environ | {"BALANCER_CONFIG": str(path)}
    return subprocess.run(
        [sys.executable, *options, "-m", "whinpier"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=20,
    )


def put(given, key, value):
    *path, last = key.split("/")
    for step in path:
        given = given[int(step) if step.isdigit() else step]
    given[last] = value


@pytest.mark.parametrize(
    "key, value, said",
    [
        ("listen", "nowhere", "listen"),
        ("listen", "127.0.0.1:99999", "listen"),
        ("listen", "localhost:9000", "listen"),
        ("settings/goal/whole", float("nan"), "goal.whole"),
        ("settings/limits/keepalive_us", float("inf"), "settings"),
        (
            "known/hosts",
            [{"host": "a", "dial": "127.0.0.1:1", "health": "up", "born_ms": 1e300}],
            "hosts",
        ),
        ("discovery", None, "discovery"),
        ("seed", "xyz", "seed"),
        ("limits", 7, "limits"),
        ("limits/sockets", 10, "limits.sockets"),
        ("limits/sockets", "many", "limits.sockets"),
        ("known", [], "known"),
        ("known/hosts", [{"host": "a", "dial": "a:1"}], "hosts"),
        ("settings", [], "settings"),
        ("settings/workloads", [], "workloads.count"),
        ("settings/workloads/0/semantics", "sometimes", "workloads.0.semantics"),
        ("settings/workloads/1/patience_us", "long", "workloads.1.patience"),
        ("settings/workloads/1/agreed_time_us", 0, "workloads.1.agreed_time"),
        ("settings/workloads/0/payoff", "much", "workloads.0.payoff"),
        ("settings/balancers", 0, "balancers"),
        ("settings/rules/cold_from", "cold", "rules.cold_from"),
        ("settings/limits/max_hand_offs", True, "limits.max_hand_offs"),
        ("settings/limits/cancelling", "perhaps", "limits.cancelling"),
    ],
)
def test_a_faulty_configuration_is_said_in_one_line_that_names_the_key(tmp_path, key, value, said):
    given = json.loads(json.dumps(GIVEN))
    put(given, key, value)
    (tmp_path / "c.json").write_text(json.dumps(given))
    ended = run(tmp_path / "c.json")
    assert ended.returncode == 2 and len(ended.stderr.splitlines()) == 1
    assert "event=configuration_rejected" in ended.stderr and f"{said}:" in ended.stderr


@pytest.mark.parametrize("text", [None, "", "[]", "{", "\0"])
def test_a_configuration_that_cannot_be_read_is_said_too(tmp_path, text):
    if text is not None:
        (tmp_path / "c.json").write_text(text)
    ended = run(tmp_path / "c.json")
    assert ended.returncode == 2 and "BALANCER_CONFIG: " in ended.stderr


def test_an_address_in_use_ends_the_start_with_one_line(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.2", 0))
        taken.listen()
        (tmp_path / "c.json").write_text(
            json.dumps(GIVEN | {"listen": "%s:%d" % taken.getsockname()})
        )
        ended = run(tmp_path / "c.json")
    assert ended.returncode == 1 and "event=listen_failed" in ended.stderr
    assert len(ended.stderr.splitlines()) == 1


@pytest.mark.parametrize("options, code", [([], 1), (["-O"], 0)])
def test_what_must_hold_is_asserted_in_debug_builds_and_counted_in_release_builds(options, code):
    text = "from whinpier import log; log.invariant(False, 'x'); print(log.counters['invariant_violated'])"
    ended = subprocess.run(
        [sys.executable, *options, "-c", text], capture_output=True, text=True, timeout=20
    )
    assert ended.returncode == code and ended.stdout == ("" if code else "1\n")


def test_a_line_is_key_value_and_a_repeated_event_is_bounded(capsys):
    log.set_up()
    for _ in range(1000):
        log.info("again", why='a "b"\n')
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) <= 2 * log.MAX_LINES_PER_SECOND  # a second may end in between
    assert lines[0].endswith(' level=info event=again why="a \\"b\\"\\n"')
    logging.getLogger("whinpier").handlers.clear()


DEPLOYED = tomllib.loads(Path("deploy/balancer.toml").read_text())


def test_the_deployed_line_ends_in_one_process_linked_against_the_c_library(tmp_path):
    """Guards against a shell that stays before the balancer, and against a second program beside it."""
    address = free(socket.SOCK_STREAM, "127.0.0.2")
    (tmp_path / "c.json").write_text(
        json.dumps(GIVEN | {"listen": "%s:%d" % address, "discovery": "127.0.0.2:1"})
    )
    line = DEPLOYED["run"].replace(".venv/bin/python", sys.executable)
    balancer = subprocess.Popen(
        line,
        shell=True,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "c.json")},
    )
    try:
        until(lambda: answers_up(address))
        own = Path("/proc", str(balancer.pid))
        assert own.joinpath("cmdline").read_bytes().endswith(b"-O\0-m\0whinpier\0")
        assert not [
            text for request in own.glob("task/*/children") if (text := request.read_text())
        ]
        assert "/libc.so" in own.joinpath("maps").read_text()
    finally:
        balancer.terminate()
        assert balancer.wait(20) == 0


def answers_up(address):
    try:
        with socket.create_connection(address, 5) as client:
            client.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return client.recv(99).startswith(b"HTTP/1.1 ")
    except ConnectionRefusedError:
        return False


def test_all_that_a_start_imports_is_compiled_by_the_build():
    """Guards against 200 balancers that each compile a package on a file system that keeps nothing."""
    packages = sysconfig.get_path("purelib")
    step = next(step for step in DEPLOYED["build"].split("&&") if "-O -m compileall" in step)
    compiled = [
        Path(name.replace(".venv/lib/python3*/site-packages", packages)).resolve()
        for name in step.split("compileall")[1].split()
        if not name.startswith("-")
    ]
    code = (
        "import sys, anyio._backends._asyncio, whinpier.__main__\n"
        "print(*(m.__file__ for m in list(sys.modules.values()) if getattr(m, '__cached__', None)))"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20)
    files = [Path(name) for name in ended.stdout.split()]
    beside = [
        file
        for file in files
        if file.is_relative_to(packages) or not file.is_relative_to(sysconfig.get_path("stdlib"))
    ]
    assert len(beside) > 20
    assert not [
        file for file in beside if not any(file.is_relative_to(folder) for folder in compiled)
    ]
