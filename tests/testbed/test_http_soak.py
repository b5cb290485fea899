"""Soaks of one balancer over HTTP, short and seeded; the long run is started by hand."""

import subprocess
import sys

import pytest

from whinpier.testbed.http_soak import SCRIPTS, draw

SEEDS = 6
LIMIT_S = 300


def test_runs_are_drawn_alike_from_one_seed_and_hold_all_kinds_of_faults():
    runs = [draw(seed) for seed in range(300)]
    assert runs == [draw(seed) for seed in range(300)]
    assert {number for run in runs for _, _, number in run.scripts} == set(range(len(SCRIPTS)))
    assert any(run.drains for run in runs)
    assert any(len(run.signals) > 2 for run in runs)
    assert any(not run.hostile for run in runs)
    assert any(number > 100 for run in runs for _, number in run.hostile)


@pytest.mark.xdist_group("hostile")
def test_rules_hold_in_soaks_of_all_faults_at_once():
    # Guards against faults that show only where several meet: floods, crowds, upstreams, signals.
    command = [sys.executable, "-m", "whinpier.testbed.http_soak", "1", str(SEEDS), "2"]
    played = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, check=False)
    assert played.returncode == 0, played.stdout + played.stderr
    assert played.stdout.count("broken=-") == SEEDS
