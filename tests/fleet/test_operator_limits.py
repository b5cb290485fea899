"""Stories of what operators say to the whole fleet: it reaches all, and it ends."""

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


def test_a_limit_is_set_for_all_and_who_did_not_confirm_is_named(tmp_path):
    limits = {"all": {"kind": "rate", "amount": 30, "homes": ["m0", "m1", "m2"]}}

    def service(process):
        return {
            "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.25, 1.5)},
            "routes": [files.route("t", "rerunnable", "t")],
        }

    fleet, run = Fleet(3, tmp_path, service, limits=limits, relayed=False), CliRunner()

    def limit(*arguments, number=0):
        return run.invoke(
            cli, ["bank", "limits", *arguments, "--socket", fleet.processes[number].control]
        )

    try:
        fleet.start()
        until(
            lambda: all(row["agreed"] for number in range(3) for row in fleet.ask(number, "limits"))
        )
        found = limit("set", "all", "90", "--for", "30m", "--who", "night", "--why", "a surge")
        assert found.exit_code == 0 and "confirmed by 3 members" in found.output, found.output
        # All go by it; what is larger counts from when each knows that all do.
        until(
            lambda: [fleet.ask(number, "limits")[0]["home"] for number in range(3)] == [30_000] * 3
        )
        (word,) = fleet.ask(2, "register")["words"]
        assert (word["who"], word["why"], word["at"]) == ("night", "a surge", "m0")
        assert 1_700_000 < word["left_ms"] <= 1_800_000
        fleet.stop(2)
        found = limit("lift", "all", "--wait", "0.4", "--json", number=1)
        assert (
            found.exit_code == 3 and "m2" in found.output and '"confirmed": false' in found.output
        )
        # Lower at once for who has heard it, whoever has not.
        until(lambda: fleet.ask(0, "limits")[0]["home"] == 10_000)
        fleet.go_on(2)
        until(
            lambda: [fleet.ask(number, "limits")[0]["amount"] for number in range(3)]
            == [30_000] * 3
        )
        for arguments, said in (
            (("set", "none", "5"), "no limit of this file"),
            (("set", "all", "5", "--for", "48h"), "is not between"),
            (("set", "all", "5", "--for", "x"), "no span"),
            (("begin", "all"), "no count"),
        ):
            found = limit(*arguments)
            assert found.exit_code in (1, 2) and said in found.output, found.output
        assert limit("show", "--json").exit_code == 0 and limit().exit_code == 0
        until(
            lambda: "held by all"
            in run.invoke(cli, ["bank", "said", "--socket", fleet.processes[0].control]).output
        )
    finally:
        fleet.processes[2].signal(signal.SIGCONT)
        fleet.end()


@pytest.mark.parametrize(
    "limit, said",
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
def test_what_a_limit_promises_is_said_in_figures(tmp_path, limit, said):
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    given = {
        "version": 1,
        "listen": ["127.0.0.1:9000"],
        "pools": {"t": files.service("t", "rerunnable", {"s": "127.0.0.1:9"}, 0.25, 1.5)},
        "bank": {"listen": "127.0.0.1:7000", "key_files": [str(key)], "limits": {"x": limit}},
        "routes": [files.route("t", "rerunnable", "t")],
    }
    found = explained(operator.made(given).fleet.limits[0], 10)
    assert all(found[key].startswith(value) for key, value in said.items()), found
    file = tmp_path / "operator.toml"
    file.write_text(files.document(given))
    told = CliRunner().invoke(cli, ["bank", "limits", "explain", str(file), "--json"])
    assert told.exit_code == 0 and json.loads(told.output)[0]["limit"] == "x"
