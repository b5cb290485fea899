"""Tests of the operator's file and of the commands that read it.

Errors name the file, the key and the allowed values.
"""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from whinpier.cli.main import cli
from whinpier.config import operator
from whinpier.config.model import ConfigFault, differs
from whinpier.config.platform import read as read_platform

EXAMPLE_FILE = "deploy/operator.example.toml"


def example():
    return tomllib.loads(Path(EXAMPLE_FILE).read_text())


def put(table, key, value):
    """Set the value at a path such as `routes/0/pool`; None deletes it, a last step `+` appends."""
    *path, last = key.split("/")
    for step in path:
        table = table[int(step) if step.isdigit() else step]
    if value is None:
        del table[int(last) if last.isdigit() else last]
    elif last == "+":
        table.append(value)
    else:
        table[int(last) if last.isdigit() else last] = value


@pytest.mark.parametrize(
    "key, value, expected",
    [
        ("version", 2, "version: "),
        ("version", None, "version: is missing"),
        ("lisen", [], "lisen: is no key here (meant: listen); allowed: "),
        ("listen", [], "listen: names no address"),
        ("listen/0", "localhost:1", "listen[0]: 'localhost:1'"),
        ("listen/0", "127.0.0.1:9001", "listen: an address twice"),
        ("up", "up", "up: "),
        ("process/descriptors", 10, "process.descriptors: expected `int` >= 64"),
        ("process/descriptors", 64, "process.descriptors: 64 leave 29 for 3 pools, which need 48"),
        ("process/seed", "xyz", "process.seed: "),
        ("pools", {}, "pools: 0 of them"),
        ("pools/Tariff", {}, "pools: 'Tariff' is no name"),
        ("pools/tariff/workload", {}, "pools.tariff.workload: is no key here (meant: workloads)"),
        ("pools/tariff/workloads", {}, "pools.tariff.workloads: none"),
        (
            "pools/tariff/workloads/enquiry/kind",
            "safe",
            "pools.tariff.workloads.enquiry.kind: 'safe' is none of rerunnable, ticketed, exclusive",
        ),
        (
            "pools/tariff/workloads/enquiry/agreed_time",
            "0.5",
            "enquiry.agreed_time: '0.5' is no duration",
        ),
        ("pools/tariff/workloads/enquiry/patience", "1ms", "patience: is shorter than agreed_time"),
        ("pools/tariff/workloads/enquiry/window", "1s", "window: only a ticketed"),
        ("pools/tariff/workloads/enquiry/payoff", -1, "pools.tariff.workloads.enquiry.payoff: "),
        ("pools/tariff/discovery", "127.0.0.1:1", "pools.tariff: either upstreams or discovery"),
        ("pools/tariff/upstreams", None, "pools.tariff: either upstreams or discovery"),
        ("pools/tariff/upstreams/0/address", "a:1", "pools.tariff.upstreams[0].address: "),
        ("pools/tariff/upstreams/1/name", "tariff-1", "pools.tariff.upstreams[1].name: "),
        ("pools/tariff/upstreams/1/weight", 1, "pools.tariff.upstreams[1].weight: is no key here"),
        (
            "pools/tariff/upstreams/1/zone",
            "x",
            "pools.tariff.upstreams[1].zone: 'x' is not in zones",
        ),
        ("pools/tariff/limits/guaranteed", 0.4, "pools: guaranteed parts come to 1.1, over 1"),
        ("pools/tariff/limits/tasks", 0, "pools.tariff.limits.tasks: expected `int` >= 1"),
        ("pools/tariff/number", 1, "pools.tariff.number: 1 is not below balancers"),
        ("pools/tariff/cold_from", 0.0, "pools.tariff.cold_from: "),
        ("pools/tariff/statuses", [503], "pools.tariff.statuses[0]: expected `int` <= 499"),
        ("pools/tariff/says", {"id": "X-Id"}, "pools.tariff.says.id: 'X-Id'"),
        ("pools/tariff/says", {"id": ""}, "pools.tariff.says: without headers"),
        (
            "pools/tariff/says",
            {"id": "x-remaining"},
            "pools.tariff.says: one header says two things",
        ),
        (
            "routes/0/pool",
            "none",
            "routes.enquiry.pool: 'none' is none of tariff, posting, settlement",
        ),
        ("routes/0/workload", "none", "routes.enquiry.workload: 'none' is none of enquiry"),
        ("routes/0/path", "/", "routes.enquiry: either path or prefix"),
        (
            "routes/0/methods",
            ["HEAD"],
            "routes[0].methods[0]: 'HEAD' is none of GET, POST, PUT, PATCH, DELETE",
        ),
        ("routes/1/methods", ["GET"], "routes.charge.methods: GET is for what may be repeated"),
        ("routes/0/host", "Tariff.example", "routes.enquiry: host: "),
        (
            "routes/+",
            {"name": "twin", "host": "tariff.example", "pool": "tariff", "methods": ["GET", "PUT"]},
            "routes.enquiry, routes.twin: two routes are as specific as each other",
        ),
        ("routes/0", 7, "routes[0]: expected `object`"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_key_and_the_allowed_values(key, value, expected):
    table = example()
    put(table, key, value)
    with pytest.raises(ConfigFault) as fault:
        operator.made(table)
    assert expected in str(fault.value), str(fault.value)


@pytest.mark.parametrize(
    "text", [None, "", "version = ", "version = 1", "\0", "\xff".encode("latin-1")]
)
def test_an_unreadable_file_is_named_in_the_error(tmp_path, text):
    file = tmp_path / "o.toml"
    if text is not None:
        file.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(ConfigFault) as fault:
        operator.read(str(file))
    assert str(fault.value).startswith(f"{file}: ") and "\n" not in str(fault.value)


def test_pools_without_a_guaranteed_share_divide_the_rest_evenly():
    table = example()
    del table["pools"]["tariff"]["limits"], table["pools"]["posting"]["limits"]
    pools = operator.made(table).pools
    assert [pools[name].limits.guaranteed for name in pools] == pytest.approx([0.4, 0.4, 0.2])


def test_differences_are_listed_by_key_and_a_file_equals_itself():
    table = example()
    old = operator.made(example())
    assert operator.differences(old, operator.made(example())) == []
    table["pools"]["tariff"]["workloads"]["enquiry"]["patience"] = "3s"
    table["pools"]["new"] = table["pools"].pop("settlement")
    table["routes"][3]["pool"] = "new"
    table["routes"][4]["name"] = "other"
    table["process"]["descriptors"] = 512
    new = operator.made(table)
    assert operator.differences(old, new) == [
        "pools.settlement: removed",
        "pools.tariff.workloads: changed",
        "pools.new: added",
        "routes.partner: removed",
        "routes.settle: changed",
        "routes.other: added",
    ]
    assert list(operator.changes(old, new)) == ["sockets"]
    assert not differs(old.pools["posting"], new.pools["posting"])


def run(*arguments):
    return CliRunner().invoke(cli, [str(argument) for argument in arguments])


def test_config_check_exits_with_2_for_an_invalid_file(tmp_path):
    result = run("config", "check", EXAMPLE_FILE, "--json")
    found = json.loads(result.output)
    assert result.exit_code == 0 and [pool["pool"] for pool in found["pools"]] == list(
        example()["pools"]
    )
    order = ["partner", "enquiry", "charge", "reserve", "settle"]
    assert [route["route"] for route in found["routes"]] == order
    assert "routes" in run("config", "check", EXAMPLE_FILE, "--routes").output
    invalid_file = tmp_path / "o.toml"
    invalid_file.write_text(
        Path(EXAMPLE_FILE).read_text().replace('kind = "exclusive"', 'kind = "often"')
    )
    result = run("config", "check", invalid_file)
    assert (
        result.exit_code == 2
        and f"{invalid_file}: pools.posting.workloads.charge.kind: " in result.output
    )
    assert run("config", "diff", EXAMPLE_FILE, EXAMPLE_FILE).output == "nothing changes\n"
    assert run("run").exit_code == 2


@pytest.mark.parametrize(
    "arguments, exit_code, expected",
    [
        (
            ["--host", "x.charge.example", "--path", "/networks/7/charges", "--method", "post"],
            0,
            "charge: pool",
        ),
        (
            ["--host", "x.charge.example", "--path", "/networks/7/charges"],
            1,
            "answered 405, method",
        ),
        (["--host", "x.charge.example", "--path", "/networks/7/charges/1"], 1, "answered 404"),
        (["--path", "/settle/1?x=/.."], 0, "settle: pool settlement, workload settle"),
        (["--path", "/settle/../charge"], 1, "refused with 400"),
        (
            ["--host", "partner.example", "--path", "/charge", "-H", "X-Partner: p"],
            0,
            "partner: pool posting",
        ),
        (["--host", "partner.example", "--path", "/charge"], 1, "header x-partner does not fit"),
        (["--path", "/settle", "-H", "nonsense"], 2, "is not NAME:VALUE"),
    ],
)
def test_config_route_shows_which_route_matches_a_request_and_why(arguments, exit_code, expected):
    result = run("config", "route", EXAMPLE_FILE, *arguments)
    assert result.exit_code == exit_code and expected in result.output, result.output


def test_the_platform_start_imports_no_operator_modules():
    operator_modules = ("routing", "standin", "cli", "config.operator", "net.routed")
    code = "import sys, whinpier.__main__; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=20
    )
    found = result.stdout.split()
    assert "whinpier.runtime.process" in found and not {
        "msgspec",
        "click",
        "rich",
        "tomllib",
    } & set(found)
    assert not any(
        name.startswith(tuple(f"whinpier.{part}" for part in operator_modules)) for name in found
    )
    assert not read_platform({"BALANCER_CONFIG": "example/config.json"}).routed


@pytest.mark.parametrize("file", sorted(Path("deploy").glob("operator*.toml")), ids=str)
def test_the_example_files_are_valid(file):
    spec = operator.read(str(file))
    assert spec.pools and (spec.table.routes or spec.beside["radius"].routes)
