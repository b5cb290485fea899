"""Stories of the lab: theory is met, the same seed is the same run, broken rules are caught and
shrunk.
"""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from whinpier.cli.main import cli
from whinpier.cli.tables import show
from whinpier.config.model import ConfigFault
from whinpier.simulation import fleet_scenarios
from whinpier.simulation.clock import SECOND, Clock
from whinpier.simulation.environment import Network
from whinpier.simulation.experiment import KINDS, checked, encoded, put, read, runs, shipped
from whinpier.simulation.minimize import failing, shrink, toml
from whinpier.simulation.results import Results, compare, interval, run_all
from whinpier.simulation.theory import erlang_c, mean_time
from whinpier.simulation.world import World


def given(**more):
    return {
        "name": "story",
        "seconds": 6.0,
        "warm": 1.0,
        "fleet": {"balancers": 2, "machines": [{"count": 4, "cores": 2, "queue": 16}]},
        "streams": [{"name": "charge", "rate": 80.0, "work": 0.03, "patience": 1.0}],
    } | more


def play(table, seed=1):
    return World(checked(table), seed).play()


def test_erlangs_formula_is_the_books():
    assert erlang_c(1, 0.5) == pytest.approx(0.5)
    assert erlang_c(2, 1.0) == pytest.approx(1 / 3)
    assert mean_time(1, 5.0, 0.1) == pytest.approx(0.2)
    with pytest.raises(ValueError):
        erlang_c(2, 2.0)


def test_of_events_at_one_time_a_seeded_draw_says_which_is_first():
    def order(seed):
        clock, seen = Clock(seed), []
        for number in range(20):
            clock.at(clock.now + SECOND, seen.append, number)
        clock.run(clock.now + 2 * SECOND)
        return seen

    assert order(1) == order(1) != order(2) and sorted(order(1)) == list(range(20))


def test_the_same_seed_is_the_same_run_and_another_is_another():
    table = given(
        troubles=[{"kind": "hang", "at": 2.0, "span": 1.0, "share": 0.5}], chance={"count": 2}
    )
    first, again, other = play(table), play(table), play(table, 2)
    assert (
        first["digest"] == again["digest"] != other["digest"] and first["events"] == again["events"]
    )


@pytest.mark.parametrize(
    "name",
    [
        "choice",
        "random",
        "round_robin",
        "least_out",
        "two_choices",
        "join_idle",
        "oracle",
        "late_oracle",
    ],
)
def test_every_policy_keeps_the_rules_on_answers_and_effects(name):
    troubles = [
        {"kind": "fail", "at": 1.5, "span": 1.0, "share": 0.5},
        {"kind": "restart", "at": 2.0},
        {"kind": "hang", "at": 3.0, "span": 1.0, "share": 0.5},
    ]
    found = play(given(policy={"name": name}, troubles=troubles))
    assert not any(found["breaches"].values()) and 0.2 < found["on_time"] < 1.0


@pytest.mark.parametrize("kind", KINDS)
def test_every_trouble_is_felt_or_harmless_and_passes(kind):
    table = given(seconds=8.0, troubles=[{"kind": kind, "at": 2.0, "span": 2.0, "share": 0.5}])
    table["fleet"]["zones"] = 2
    found = play(table)
    assert not any(found["breaches"].values()), found["told"]
    last = found["by_second"]["on_time"][6:8], found["by_second"]["asked"][6:8]
    assert sum(last[0]) > 0.9 * sum(last[1])


@pytest.mark.parametrize(
    "mutation, rule, troubles",
    [
        (
            "repeats_exclusive",
            "no second effect",
            [{"kind": "fail", "at": 1.0, "span": 3.0, "share": 1.0}],
        ),
        ("ignores_drains", "drain", [{"kind": "shrink", "at": 1.0, "span": 4.0, "share": 0.5}]),
        ("forgets_answers", "one answer", []),
        ("floods_cold", "cold", [{"kind": "restart", "at": 2.0, "share": 0.5}]),
    ],
)
def test_a_rule_that_is_broken_on_purpose_is_caught_and_shrunk(mutation, rule, troubles):
    machines = [
        {"count": 6, "cores": 2, "queue": 16, "warm_up": 10.0, "cold_from": 0.1, "topple": 1.5}
    ]
    table = given(
        policy={"mutation": mutation},
        troubles=[*troubles, {"kind": "slow", "at": 2.0}],
        fleet={"balancers": 2, "machines": machines},
    )
    table["streams"][0]["rate"] = 200.0
    small, broken, tried = shrink(table, 3, most=12)
    assert broken == rule and tried <= 12
    assert (
        sum(machine["count"] for machine in small["fleet"]["machines"]) < 6
        or small["seconds"] < 6.0
    )
    again = checked(__import__("tomllib").loads(toml(small)))
    assert rule in failing(encoded(again), 3)


@pytest.mark.parametrize(
    "path, value, said",
    [
        ("fleet.machines", [], "fleet.machines: none"),
        ("streams", [], "streams: none"),
        ("fleet.balancer", 3, "fleet.balancer: is no key here (meant: balancers)"),
        ("streams[0].kind", "safe", "streams[0].kind: 'safe' is none of"),
        ("streams[0].patience", 0.01, "streams[0].patience: is shorter"),
        ("streams[0].surges", [[5.0, 1.0, 2.0]], "streams[0].surges"),
        ("policy", {"name": "best"}, "policy.name: 'best' is none of choice, random"),
        ("troubles", [{"kind": "flood", "at": 1.0}], "troubles[0].kind: 'flood' is none of"),
        (
            "troubles",
            [{"kind": "lost_zone", "at": 1.0, "zone": 3}],
            "troubles[0].zone: 3 is none of 1 zones",
        ),
        (
            "streams[0].knd",
            "exclusive",
            "streams[0].knd: is no key here (meant: kind); allowed: name, rate",
        ),
        ("fleet.machines[0].cors", 2, "fleet.machines[0].cors: is no key here (meant: cores)"),
        ("troubles", [{"kind": "slow", "att": 1.0}], "troubles[0].att: is no key here (meant: at)"),
        ("front", {"zones": [1.0, 2.0]}, "front.zones: names 2 of 1 zones"),
        ("warm", 6.0, "warm: leaves nothing"),
        ("name", "A b", "name: "),
        ("seeds", 0, "seeds: "),
    ],
)
def test_a_faulty_experiment_is_named_by_its_key(path, value, said):
    table = given()
    put(table, path, value)
    with pytest.raises(ConfigFault) as fault:
        checked(table)
    assert said in str(fault.value), str(fault.value)


def test_what_varies_is_played_in_all_combinations_and_a_path_that_leads_nowhere_is_named():
    table = given(
        seeds=2, vary={"policy.name": ["choice", "random"], "streams[*].rate": [10.0, 20.0]}
    )
    found = list(runs(table))
    assert len(found) == 8 and len({run.key for run in found}) == 8
    assert {run.experiment.streams[0].rate for run in found} == {10.0, 20.0}
    for path in ("streams[7].rate", "streams[0]", "fleet.machines.count.x"):
        with pytest.raises(ConfigFault, match="vary"):
            list(runs(given(vary={path: [1.0]})))


def fleet(*troubles, **more):
    """Ten balancers before twelve upstreams in two zones that start cold."""
    machines = [{"count": 12, "cores": 2, "queue": 16, "warm_up": 3.0}]
    upstream_fleet = {"balancers": 10, "zones": 2, "machines": machines}
    return play(given(fleet=upstream_fleet, troubles=list(troubles), **more))


def test_balancers_that_are_killed_lose_what_they_had_and_the_front_finds_the_others():
    found = fleet({"kind": "killed", "at": 2.0, "span": 1.0, "share": 0.7})
    assert found["holds"], found["why"]
    lost, asked = found["fleet"]["lost_with_a_balancer"], sum(found["by_second"]["asked"])
    unanswered = asked - sum(
        sum(found["by_second"][how]) for how in ("fulfilled", "turned_back", "scrapped")
    )
    assert 0 < unanswered <= lost < 30 and found["fleet"]["refused_by_the_dead"] > 0
    assert sum(found["by_second"]["on_time"][4:6]) > 0.9 * sum(found["by_second"]["asked"][4:6])


def test_a_rolling_restart_loses_nothing_and_a_list_that_moves_is_taken_up():
    found = fleet(
        {"kind": "rolling", "at": 1.0, "span": 8.0},
        {"kind": "moved_list", "at": 1.5, "span": 1.0},
        seconds=14.0,
    )
    assert found["holds"] and "lost_with_a_balancer" not in found["fleet"], found["why"]
    assert found["on_time"] > 0.95


def test_a_fleet_that_is_replaced_by_new_names_gets_nothing_new_at_the_old_ones():
    found = fleet({"kind": "replace", "at": 1.5, "span": 2.0, "share": 0.6}, seconds=8.0)
    assert found["holds"], found["why"]
    new = [name for name in found["servers"] if int(name.partition("-")[2]) >= 12]
    assert len(new) == 7 and all(found["servers"][name] > 0 for name in new)


def test_answers_that_never_come_and_resets_under_requests_run_nothing_twice_and_clients_may_leave():
    found = fleet(
        {"kind": "silent_answers", "at": 1.0, "span": 4.0, "amount": 0.1},
        {"kind": "resets", "at": 1.0, "span": 4.0, "amount": 0.1},
        {"kind": "leavers", "at": 1.0, "span": 4.0, "amount": 0.3},
        {"kind": "eager", "at": 1.0, "span": 4.0},
        {"kind": "late_list", "at": 1.0, "span": 4.0},
        streams=[
            {"name": name, "kind": kind, "rate": 60.0, "work": 0.03, "patience": 1.0}
            for name, kind in (("charge", "exclusive"), ("settle", "ticketed"))
        ],
    )
    assert found["holds"], found["why"]
    assert found["streams"]["charge"]["scrapped"] > 5 < found["streams"]["settle"]["tries"]


def test_a_zone_that_is_cut_off_is_reached_from_within_and_the_front_follows_who_asks():
    found = fleet(
        {"kind": "cut_zone", "at": 2.0, "span": 1.5, "zone": 1},
        {"kind": "shift", "at": 2.0, "span": 2.0, "zone": 1, "amount": 5.0},
        front={"busy": 0.2, "times": 4.0, "zones": [1.0, 1.0]},
    )
    assert found["holds"] and found["on_time"] > 0.5, found["why"]
    network = Network(1, 0.001, 0.002)
    network.apart[1] += 1
    assert (
        network.cut(0, 0, "s-1", 1)
        and network.cut(0, 1, "s-0", 0)
        and not network.cut(0, 1, "s-1", 1)
    )
    assert (network.way(0, 0), network.way(0, 1)) == (1_000_000, 3_000_000)


def test_a_fault_in_what_varies_is_one_line_with_file_key_and_what_is_allowed(tmp_path):
    file = tmp_path / "e.toml"
    varied = {"troubles": [[], [{"kind": "slow", "att": 1.0}]]}
    table = encoded(checked(given(seconds=2.0))) | {"vary": varied}
    file.write_text(toml(table))
    ended = CliRunner().invoke(cli, ["lab", "run", str(file), "--out", str(tmp_path / "out")])
    assert ended.exit_code == 2 and len(ended.stderr.splitlines()) == 1
    assert f"{file}: vary" in ended.stderr
    assert "troubles[0].att: is no key here (meant: at); allowed" in ended.stderr
    assert not (tmp_path / "out").exists()


def test_a_table_wider_than_the_screen_breaks_no_word_and_names_each_row_in_full(
    capsys, monkeypatch
):
    monkeypatch.setenv("COLUMNS", "60")
    rows = [
        {
            "runs": "streams[0].rate 3000.0",
            "kind": "as the workload has",
            **{f"a_figure_{number}": 1234.5678 + number for number in range(6)},
        }
        for _ in range(3)
    ]
    show(rows, "a title")
    lines = capsys.readouterr().out.splitlines()
    assert (
        max(map(len, lines)) <= 60 and sum("streams[0].rate 3000.0" in line for line in lines) >= 6
    )
    text = " ".join(lines).split()
    assert {"workload", "figure", *(str(1234.5678 + number) for number in range(6))} <= set(text)


def test_shipped_experiments_are_good():
    assert {"charges", "lookups", "partners", "festival", "storm", "overlap", "scale"} <= set(
        shipped()
    )
    for path in (path for path in shipped().values() if not fleet_scenarios.is_one(path)):
        table, experiment = read(path)
        assert experiment.about and next(iter(runs(table)))


def test_results_are_taken_up_where_they_stopped_and_hold_one_experiment(tmp_path):
    table = given(seconds=2.0, seeds=3)
    results, told = Results(tmp_path / "r"), []
    run_all(table, results, "model", 1, lambda row, done, total: told.append((done, total)))
    whole = results.file.read_text()
    first = whole.splitlines(keepends=True)[0]
    results.file.write_text(first + '{"cut sho')
    assert len(run_all(table, results, "model", 2, lambda row, done, total: None)) == 2
    kept = {row["seed"]: row["digest"] for row in results.rows()}
    assert kept == {row["seed"]: row["digest"] for row in map(json.loads, whole.splitlines())}
    assert told == [(1, 3), (2, 3), (3, 3)]
    with pytest.raises(ConfigFault, match="another experiment"):
        results.begin(given(seconds=3.0), "model")
    results.file.write_text(first + "{\n")
    with pytest.raises(ConfigFault, match="runs.jsonl:2"):
        list(results.rows())


def test_pairs_are_compared_by_seed_with_an_interval(tmp_path):
    rows = {
        name: [
            play(
                given(
                    seconds=3.0,
                    policy={"name": name},
                    troubles=[
                        {"kind": "slow", "at": 1.0, "span": 2.0, "share": 0.5, "amount": 0.05}
                    ],
                ),
                seed,
            )
            | {"values": {}}
            for seed in (1, 2, 3)
        ]
        for name in ("random", "oracle")
    }
    found = {one.figure: one for one in compare(rows["random"], rows["oracle"])}
    assert (
        found["on_time"].told == "higher"
        and found["on_time"].low > 0
        and found["on_time"].pairs == 3
    )
    assert found["p99_ms"].told == "lower" and interval([1.0]) == (float("-inf"), float("inf"))
    with pytest.raises(ConfigFault):
        compare(rows["random"], [])


def test_the_command_line_runs_replays_and_reports(tmp_path):
    file, out = tmp_path / "e.toml", tmp_path / "out"
    file.write_text(toml(encoded(checked(given(seconds=2.0, seeds=2)))))

    def run(*words):
        return CliRunner().invoke(cli, ["lab", *map(str, words)])

    ended = run("run", file, "--out", out, "--jobs", 1, "--json")
    assert ended.exit_code == 0 and json.loads(ended.output)["groups"][0]["count"] == 2, (
        ended.output
    )
    assert "byte for byte" in run("replay", out, "--seed", 1).output
    assert run("replay", out, "--seed", 9).exit_code == 2
    page = Path(run("report", out).output.strip())
    text = page.read_text()
    assert "http://" not in text and "https://" not in text and text.count("data:image/png") == 6
    assert (page.parent / "on_time.png").stat().st_size > 5000
    assert json.loads(run("compare", out, out, "--json").output)[0]["B less A"] == 0.0
    assert run("run", "nowhere").exit_code == 2 and run("shrink", out, "--seed", 1).exit_code == 1
