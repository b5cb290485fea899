"""Tests of the start on the platform: configuration errors, log lines and the deployed command."""

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

EXAMPLE_CONFIG = json.loads(Path("example/config.json").read_text())


def run(path, *options):
    environment = os.environ | {"BALANCER_CONFIG": str(path)}
    return subprocess.run(
        [sys.executable, *options, "-m", "whinpier"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=20,
    )


def put(table, key, value):
    """Set the value at a path such as `settings/workloads/0/payoff`."""
    *path, last = key.split("/")
    for step in path:
        table = table[int(step) if step.isdigit() else step]
    table[last] = value


@pytest.mark.parametrize(
    "key, value, expected_key",
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
def test_an_invalid_configuration_is_logged_in_one_line_that_names_the_key(
    tmp_path, key, value, expected_key
):
    config = json.loads(json.dumps(EXAMPLE_CONFIG))
    put(config, key, value)
    (tmp_path / "c.json").write_text(json.dumps(config))
    result = run(tmp_path / "c.json")
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1
    assert "event=configuration_rejected" in result.stderr and f"{expected_key}:" in result.stderr


@pytest.mark.parametrize("text", [None, "", "[]", "{", "\0"])
def test_an_unreadable_configuration_is_logged(tmp_path, text):
    if text is not None:
        (tmp_path / "c.json").write_text(text)
    result = run(tmp_path / "c.json")
    assert result.returncode == 2 and "BALANCER_CONFIG: " in result.stderr


def test_an_address_in_use_is_logged_in_one_line(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.2", 0))
        taken.listen()
        (tmp_path / "c.json").write_text(
            json.dumps(EXAMPLE_CONFIG | {"listen": "%s:%d" % taken.getsockname()})
        )
        result = run(tmp_path / "c.json")
    assert result.returncode == 1 and "event=listen_failed" in result.stderr
    assert len(result.stderr.splitlines()) == 1


@pytest.mark.parametrize("options, exit_code", [([], 1), (["-O"], 0)])
def test_a_violated_invariant_is_an_assertion_error_or_with_optimisation_a_counter(
    options, exit_code
):
    code = "from whinpier import log; log.invariant(False, 'x'); print(log.counters['invariant_violated'])"
    result = subprocess.run(
        [sys.executable, *options, "-c", code], capture_output=True, text=True, timeout=20
    )
    assert result.returncode == exit_code and result.stdout == ("" if exit_code else "1\n")


def test_log_lines_are_key_value_pairs_and_repeated_events_are_rate_limited(capsys):
    log.set_up()
    for _ in range(1000):
        log.info("again", why='a "b"\n')
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) <= 2 * log.MAX_LINES_PER_SECOND  # the calls may span two seconds
    assert lines[0].endswith(' level=info event=again why="a \\"b\\"\\n"')
    logging.getLogger("whinpier").handlers.clear()


DEPLOYMENT = tomllib.loads(Path("deploy/balancer.toml").read_text())


def test_the_deployed_command_ends_in_one_process_linked_against_the_c_library(tmp_path):
    """Guards against a shell that remains the parent of the balancer, and against a child process."""
    address = free(socket.SOCK_STREAM, "127.0.0.2")
    (tmp_path / "c.json").write_text(
        json.dumps(EXAMPLE_CONFIG | {"listen": "%s:%d" % address, "discovery": "127.0.0.2:1"})
    )
    command = DEPLOYMENT["run"].replace(".venv/bin/python", sys.executable)
    balancer = subprocess.Popen(
        command,
        shell=True,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "c.json")},
    )
    try:
        until(lambda: is_reachable(address))
        process_directory = Path("/proc", str(balancer.pid))
        assert process_directory.joinpath("cmdline").read_bytes().endswith(b"-O\0-m\0whinpier\0")
        assert not [
            text
            for children in process_directory.glob("task/*/children")
            if (text := children.read_text())
        ]
        assert "/libc.so" in process_directory.joinpath("maps").read_text()
    finally:
        balancer.terminate()
        assert balancer.wait(20) == 0


def is_reachable(address):
    try:
        with socket.create_connection(address, 5) as client:
            client.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return client.recv(99).startswith(b"HTTP/1.1 ")
    except ConnectionRefusedError:
        return False


def test_the_build_compiles_every_module_that_the_start_imports():
    """Guards against 200 balancers each compiling a package on a file system that is not persistent."""
    packages = sysconfig.get_path("purelib")
    step = next(step for step in DEPLOYMENT["build"].split("&&") if "-O -m compileall" in step)
    compiled = [
        Path(name.replace(".venv/lib/python3*/site-packages", packages)).resolve()
        for name in step.split("compileall")[1].split()
        if not name.startswith("-")
    ]
    code = (
        "import sys, anyio._backends._asyncio, whinpier.__main__\n"
        "print(*(m.__file__ for m in list(sys.modules.values()) if getattr(m, '__cached__', None)))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=20
    )
    files = [Path(name) for name in result.stdout.split()]
    outside_standard_library = [
        file
        for file in files
        if file.is_relative_to(packages) or not file.is_relative_to(sysconfig.get_path("stdlib"))
    ]
    assert len(outside_standard_library) > 20
    assert not [
        file
        for file in outside_standard_library
        if not any(file.is_relative_to(folder) for folder in compiled)
    ]
