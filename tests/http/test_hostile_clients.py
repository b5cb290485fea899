"""Tests a process under clients that do harm: memory within its settings, others served in time.

The bounds are those of the settings: `limits.memory_mb`, and what each request says of its wait.
"""

import json
import threading
import time
from pathlib import Path

import anyio
import pytest

from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.hostile_clients import CROWDS, FLOODS, HostileClients
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("hostile")]

GIVEN = json.loads(Path("example/config.json").read_text())
UPSTREAMS = 10
SECONDS = 6.0
MEMORY_MB = 64
SOCKETS = 1024
CROWD = 600  # clients: more than 1,024 descriptors leave for clients
LARGE_RESPONSE = 1_000_000  # bytes
SERVED = (
    0.9  # of the ordinary requests, in time: what they ask for is a tenth of what the core does
)


class Watch(threading.Thread):
    """Reads a process's memory until it is told to stop."""

    def __init__(self, balancer):
        super().__init__(daemon=True)
        self.balancer, self.over, self.peak = balancer, threading.Event(), 0

    def run(self):
        while not self.over.wait(0.02) and self.balancer.process.poll() is None:
            self.peak = max(self.peak, self.balancer.memory())


@pytest.fixture
def upstreams():
    """Ten upstreams in a process of their own."""
    fleet = UpstreamFleet(
        {f"s-{number}": Script(workers=50, queue=500, work=0.005) for number in range(UPSTREAMS)}
    )
    yield fleet
    fleet.stop()


@pytest.fixture
def balancer(tmp_path, upstreams):
    """One process with the memory and descriptors of its settings."""
    hosts = [
        {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "up"}
        | {"share": 1.0, "born_ms": 0}
        for name, dial in upstreams.addresses.items()
    ]
    listen = free_address()
    given = json.loads(json.dumps(GIVEN)) | {
        "listen": listen,
        "discovery": "127.0.0.1:1",
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    }
    process = Balancer(tmp_path / "n", platform=given, listen=listen)
    process.wait_ready()
    yield process
    process.stop(wait=False)


async def play(balancer, kind, connections):
    """Let hostile clients and ordinary ones ask at once; return the latter and the peak of memory."""
    ordinary = Gateway(
        balancer.address,
        Asks("settle", rate=40.0, target="/settle", ticket=True, timeout=1.0, agreed=1.0),
        seed=1,
        most=60,
    )
    watch = Watch(balancer)
    watch.start()
    with HostileClients(balancer.address, kind, SECONDS, connections):
        await ordinary.run(SECONDS)
    watch.over.set()
    watch.join()
    return ordinary, watch.peak


def check(balancer, ordinary, peak):
    assert balancer.process.poll() is None, balancer.log()[-2000:]
    log = balancer.log()
    assert "event=invariant_violated" not in log
    assert "level=error" not in log, log
    assert peak <= MEMORY_MB << 20, f"{peak >> 20} MB"
    assert not ordinary.unanswered(), [(told.how, told.due) for told in ordinary.unanswered()]
    assert ordinary.not_sent == 0
    assert ordinary.share_on_time() >= SERVED, ordinary.latency(0.99, None)


@pytest.mark.parametrize("kind", FLOODS)
async def test_others_are_served_in_time_while_six_clients_send_at_full_speed(balancer, kind):
    # Guards against one turn of the event loop that processes all that a connection has sent.
    check(balancer, *await play(balancer, kind, 6))


@pytest.mark.parametrize("kind", CROWDS)
async def test_memory_and_service_hold_with_hundreds_of_clients_that_stop_half_way(
    balancer, upstreams, kind
):
    # Guards against bytes of requests and responses that no budget counts.
    if kind == "unread_responses":
        for name in upstreams.addresses:
            upstreams.tell(name, size=LARGE_RESPONSE)
    check(balancer, *await play(balancer, kind, CROWD))


async def test_memory_holds_while_forty_clients_send_large_requests(balancer):
    # Guards against requests that have ended and keep their bodies until their deadline.
    ordinary, peak = await play(balancer, "large", 40)
    check(balancer, ordinary, peak)


async def test_memory_is_given_back_after_a_crowd(balancer):
    # Guards against what stays with connections, parsers and tables after their clients have left.
    before = balancer.memory()
    await play(balancer, "short_fields", CROWD)
    ends = time.monotonic() + 8.0
    while balancer.memory() > before + (16 << 20):
        assert time.monotonic() < ends, f"{balancer.memory() >> 20} MB of {before >> 20}"
        await anyio.sleep(0.1)


async def test_others_are_served_in_time_while_an_upstream_answers_in_one_byte_chunks(
    balancer, upstreams
):
    # Guards against one turn of the event loop that parses all that an upstream has sent.
    upstreams.tell("s-0", size=200_000, chunk=1)
    ordinary, peak = await play(balancer, "unsound", 1)
    check(balancer, ordinary, peak)
    assert ordinary.latency(0.9) < 0.25
