"""Tests a process under clients that do harm: memory within its settings, others served in time.

The bounds are those of the settings: `limits.memory_mb`, and what each request says of its wait.
"""

import time

import anyio
import pytest

from whinpier.testbed import hostile_trial
from whinpier.testbed.hostile_clients import CROWDS, FLOODS

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("hostile")]

SECONDS = 6.0
MEMORY_MB = 64
CROWD = 600  # clients: more than 1,024 descriptors leave for clients
LARGE_RESPONSE = 1_000_000  # bytes


@pytest.fixture
def trial(tmp_path):
    """Ten upstreams and one process with the memory and descriptors of its settings."""
    with hostile_trial.started(tmp_path / "n", MEMORY_MB) as started:
        yield started


@pytest.mark.parametrize("kind", FLOODS)
async def test_others_are_served_in_time_while_six_clients_send_at_full_speed(trial, kind):
    # Guards against one turn of the event loop that processes all that a connection has sent.
    assert not (await trial.play(kind, 6, SECONDS)).faults()


@pytest.mark.parametrize("kind", CROWDS)
async def test_memory_and_service_hold_with_hundreds_of_clients_that_stop_half_way(trial, kind):
    # Guards against bytes of requests and responses that no budget counts.
    if kind == "unread_responses":
        for name in trial.upstreams.addresses:
            trial.upstreams.tell(name, size=LARGE_RESPONSE)
    assert not (await trial.play(kind, CROWD, SECONDS)).faults()


async def test_memory_holds_while_forty_clients_send_large_requests(trial):
    # Guards against requests that have ended and keep their bodies until their deadline.
    assert not (await trial.play("large", 40, SECONDS)).faults()


async def test_memory_is_given_back_after_a_crowd(trial):
    # Guards against what stays with connections, parsers and tables after their clients have left.
    before = trial.balancer.memory()
    await trial.play("short_fields", CROWD, SECONDS)
    ends = time.monotonic() + 8.0
    while trial.balancer.memory() > before + (16 << 20):
        assert time.monotonic() < ends, f"{trial.balancer.memory() >> 20} MB of {before >> 20}"
        await anyio.sleep(0.1)


async def test_others_are_served_in_time_while_an_upstream_answers_in_one_byte_chunks(trial):
    # Guards against one turn of the event loop that parses all that an upstream has sent.
    trial.upstreams.tell("s-0", size=200_000, chunk=1)
    outcome = await trial.play("unsound", 1, SECONDS)
    assert not outcome.faults()
    assert outcome.ordinary.latency(0.9) < 0.25
