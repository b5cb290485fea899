"""Limits that operators change for the whole fleet: a change reaches all members, and expires."""

import json
import signal

import pytest
from click.testing import CliRunner

from tests.waiting import until
from whinpier.cli.main import cli
from whinpier.config import operator
from whinpier.fleet.limit_bounds import explained
from whinpier.testbed import files
from whinpier.testbed.fleet import Fleet


def test_limit_is_set_for_all_and_members_without_confirmation_are_named(tmp_path):
    limits = {"all": {"kind": "rate", "amount": 30, "homes": ["m0", "m1", "m2"]}}

    def service(process):
        return {
            "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.25, 1.5)},
            "routes": [files.route("t", "rerunnable", "t")],
        }

    fleet, runner = Fleet(3, tmp_path, service, limits=limits, relayed=False), CliRunner()

    def run_limits(*arguments, number=0):
        return runner.invoke(
            cli, ["bank", "limits", *arguments, "--socket", fleet.processes[number].control]
        )

    try:
        fleet.start()
        until(
            lambda: all(row["agreed"] for number in range(3) for row in fleet.ask(number, "limits"))
        )
        result = run_limits(
            "set", "all", "90", "--for", "30m", "--who", "night", "--why", "a surge"
        )
        assert result.exit_code == 0 and "confirmed by 3 members" in result.output, result.output
        # A larger limit counts for each member once it knows that all use it.
        until(
            lambda: [fleet.ask(number, "limits")[0]["home"] for number in range(3)] == [30_000] * 3
        )
        (entry,) = fleet.ask(2, "register")["words"]
        assert (entry["who"], entry["why"], entry["at"]) == ("night", "a surge", "m0")
        assert 1_700_000 < entry["left_ms"] <= 1_800_000
        fleet.stop(2)
        result = run_limits("lift", "all", "--wait", "0.4", "--json", number=1)
        assert (
            result.exit_code == 3
            and "m2" in result.output
            and '"confirmed": false' in result.output
        )
        # A lower limit counts at once for each member that has received it.
        until(lambda: fleet.ask(0, "limits")[0]["home"] == 10_000)
        fleet.go_on(2)
        until(
            lambda: [fleet.ask(number, "limits")[0]["amount"] for number in range(3)]
            == [30_000] * 3
        )
        for arguments, expected in (
            (("set", "none", "5"), "no limit of this file"),
            (("set", "all", "5", "--for", "48h"), "is not between"),
            (("set", "all", "5", "--for", "x"), "no span"),
            (("begin", "all"), "no count"),
        ):
            result = run_limits(*arguments)
            assert result.exit_code in (1, 2) and expected in result.output, result.output
        assert run_limits("show", "--json").exit_code == 0 and run_limits().exit_code == 0
        until(
            lambda: "held by all"
            in runner.invoke(cli, ["bank", "said", "--socket", fleet.processes[0].control]).output
        )
    finally:
        fleet.processes[2].signal(signal.SIGCONT)
        fleet.end()


@pytest.mark.parametrize(
    "limit, expected",
    [
        (
            {"kind": "rate", "amount": 10, "homes": ["a", "b"]},
            {"over": "0", "homes": "2, 5 tasks a second each"},
        ),
        (
            {"kind": "count", "amount": 9, "window": "day", "homes": ["a"]},
            {"over": "0", "window": "day UTC"},
        ),
        (
            {"kind": "rate", "amount": 10, "promise": "nearly"},
            {"a part grows": "1.2 s after it is asked"},
        ),
        (
            {"kind": "in_flight", "amount": 4, "promise": "nearly"},
            {"over, cut into halves": "2 at most for 4.2"},
        ),
        (
            {"kind": "connections", "amount": 4, "homes": ["a", "b"], "each": "upstream"},
            {"of": "each upstream"},
        ),
        (
            {"kind": "rate", "amount": 4, "homes": ["a"], "each": "tenant"},
            {"pooled": "strangers beyond 1024"},
        ),
    ],
)
def test_explain_states_the_guarantees_of_a_limit_in_figures(tmp_path, limit, expected):
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    document = {
        "version": 1,
        "listen": ["127.0.0.1:9000"],
        "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.25, 1.5)},
        "bank": {"listen": "127.0.0.1:7000", "key_files": [str(key)], "limits": {"x": limit}},
        "routes": [files.route("t", "rerunnable", "t")],
    }
    promises = explained(operator.made(document).fleet.limits[0], 10)
    assert all(promises[key].startswith(value) for key, value in expected.items()), promises
    path = tmp_path / "operator.toml"
    path.write_text(files.document(document))
    result = CliRunner().invoke(cli, ["bank", "limits", "explain", str(path), "--json"])
    assert result.exit_code == 0 and json.loads(result.output)[0]["limit"] == "x"
