"""Stories of what operators say to the whole fleet: it reaches all, and it ends."""

import json
import signal

import pytest
from click.testing import CliRunner

from tests.fleet.test_membership import members, pass_on
from tests.waiting import until
from whinpier.cli.main import cli
from whinpier.config import operator
from whinpier.fleet.limit_bounds import explained
from whinpier.fleet.registry import FADING, MOST, MS, Entry, Register
from whinpier.policy.decaying_sum import SECOND
from whinpier.testbed import files
from whinpier.testbed.fleet import Fleet


def test_of_two_words_the_later_holds_everywhere_whatever_order_they_come_in():
    one, other = Register(), Register()
    first = one.say("k", b"1", 60 * SECOND, 1, 0)
    second = other.say("k", b"2", 60 * SECOND, 2, 0)
    for entries in ((first, second), (second, first)):
        both = Register()
        for entry in entries:
            both.take(entry, SECOND)
        assert both.values("k") == {"": b"2"}
    one.take(second, 0), other.take(first, 0)
    assert one.digest == other.digest != 0
    lifted = one.say("k", b"", 60 * SECOND, 1, SECOND)
    other.take(lifted, SECOND)
    assert not other.values("k") and one.digest == other.digest
    assert not other.take(second, SECOND)  # an old word brings nothing back


def test_a_word_ends_by_itself_and_the_table_is_bounded_and_was_full():
    one = Register()
    one.say("k", b"1", 10 * SECOND, 1, 0)
    one.settle(10 * SECOND - FADING)
    assert one.digest == 0 and one.values("k")
    one.settle(10 * SECOND)
    assert not one.values("k") and not one.words
    for number in range(2 * MOST):
        one.take(Entry(f"k{number}", b"v", 1, 1, 60_000), 0)
    assert len(one.words) == MOST and one.refused == MOST
    assert (
        one.say("x" * 161, b"", SECOND, 1, 0) is None
        and one.say("x", b"v" * 321, SECOND, 1, 0) is None
    )
    for page in one.pages(900, 16, 0):
        assert 1 <= len(page) <= 16


def test_words_go_with_pings_and_whole_tables_to_whoever_has_missed_them():
    a, b = members("a", 7001), members("b", 7002, [("127.0.0.1", 7001)])
    for now in range(0, 2 * SECOND, SECOND // 10):
        a.tick(now), b.tick(now)
        pass_on(a, b, now=now)
    a.register.say("k", b"1", 60 * SECOND, a.card.id, now)
    a.register.news.clear()  # all that was sent of it got lost
    for now in range(2 * SECOND, 4 * SECOND, SECOND // 10):
        a.tick(now), b.tick(now)
        pass_on(a, b, now=now)
    assert b.register.values("k") == {"": b"1"}
    assert (
        57_000 <= b.register.words["k"].entry.left <= 60_000
        and b.register.words["k"].until <= 62 * SECOND
    )
    assert a.members[b.card.id].register == a.register.digest and MS


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
