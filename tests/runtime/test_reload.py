"""Reloads of a platform's file: settings changed and changed back under load, and invalid ones."""

import asyncio
import json
from contextlib import contextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from tests.waiting import until
from whinpier.cli.main import cli
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

pytestmark = pytest.mark.xdist_group("sockets")

GIVEN = json.loads(Path("example/config.json").read_text())
# Settings of a deployment in which each client has its own balancer.
CHANGED = {
    "balancers": 12,
    "slot_no": 3,
    "discovery": "subscribe",
    "failure_domains": ["a", "b"],
    "limits": {
        "max_hand_offs": 5,
        "second_copies": False,
        "cancelling": True,
        "retry_after": False,
        "peers": True,
        "probes": True,
    },
    "report": {"source": "inline", "columns": "served_ps,cpu_share,busy_reqs"},
    "rules": {
        "cold_from": 0.17,
        "cold_us": 24000000,
        "drain_grace_us": 250000,
        "ask_within_us": 10000000,
    },
}


@pytest.fixture
def upstream_fleet():
    upstream_fleet = UpstreamFleet(
        {f"s-{number}": Script(workers=4, work=0.002) for number in range(4)}, discovery=True
    )
    upstream_fleet.tell_list(
        change=[
            {
                "host": name,
                "dial": address,
                "site": "ab"[number % 2],
                "class": "m",
                "block": number % 2,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
            }
            for number, (name, address) in enumerate(upstream_fleet.addresses.items())
        ]
    )
    yield upstream_fleet
    upstream_fleet.stop()


def file_text(balancer_address, discovery_address, **settings):
    return json.dumps(
        GIVEN
        | {
            "listen": balancer_address,
            "discovery": discovery_address,
            "settings": GIVEN["settings"] | settings,
        }
    )


@contextmanager
def started(folder, upstream_fleet):
    listen = free_address()
    given = json.loads(file_text(listen, upstream_fleet.discovery))
    running = Balancer(folder, platform=given, listen=listen, optimised=False)
    running.wait_ready()
    try:
        yield running
    finally:
        running.stop()
    assert "event=invariant_violated" not in running.log() and "level=error" not in running.log(), (
        running.log()
    )


def test_settings_switched_there_and_back_under_traffic_lose_no_answer_and_run_nothing_twice(
    tmp_path, upstream_fleet
):
    with started(tmp_path, upstream_fleet) as running:
        gateways = [
            Gateway(running.address, Asks("charge", 100, "/charge", lane="charge", timeout=2.0), 1),
            Gateway(
                running.address,
                Asks("settle", 60, "/settle", lane="settle", ticket=True, timeout=2.0),
                2,
            ),
            Gateway(
                running.address,
                Asks("look", 60, "/look", "GET", lane="look", timeout=2.0, body=b""),
                3,
            ),
        ]

        async def change_settings():
            for turn in range(8):
                await asyncio.sleep(0.25)
                settings = CHANGED if turn % 2 == 0 else {}
                await asyncio.to_thread(
                    running.reload, file_text(running.listen, upstream_fleet.discovery, **settings)
                )

        async def scenario():
            await asyncio.gather(*(gateway.run(2.5) for gateway in gateways), change_settings())

        asyncio.run(scenario())
        for gateway in gateways:
            assert len(gateway.told) > 50 and gateway.surplus == 0
            assert {request.answers for request in gateway.told} == {1}
            # Not all: a pause of the machine of 0.1 s causes some rejections.
            assert sum(request.status == 200 for request in gateway.told) > 0.5 * len(gateway.told)
        assert upstream_fleet.ledger().twice("charge") == []
        assert running.said("event=settings_changed") == 8
        assert running.said("event=settings_ignored keys=limits.peers,limits.probes") == 4
        # With the new settings the policy asks for the list: changes of it still arrive.
        probed = CHANGED | {"report": {"source": "on_probe", "columns": "busy_reqs,cpu_share"}}
        running.reload(file_text(running.listen, upstream_fleet.discovery, **probed))
        assert (
            running.said("event=settings_ignored keys=limits.peers,limits.probes,report.source")
            == 1
        )
        lists = running.said("event=endpoints_updated ")
        upstream_fleet.tell_list(
            change=[{"host": "s-3", "dial": upstream_fleet.addresses["s-3"], "health": "draining"}]
        )
        until(
            lambda: running.said("event=endpoints_updated ") > lists
            and "draining=1" in running.log()
        )


@pytest.mark.parametrize(
    "settings, key",
    [
        ({"discovery": "sometimes"}, "discovery"),
        ({"limits": {"peers": 1}}, "limits.peers"),
        ({"limits": {"retry_after": "no"}}, "limits.retry_after"),
        ({"report": {"source": "aloud"}}, "report.source"),
        ({"report": {"source": "inline", "columns": "mood"}}, "report.columns"),
        ({"rules": {"ask_within_us": 0}}, "rules.ask_within"),
        ({"weights": "heavy"}, "weights"),
        ({"balancers": 0}, "balancers"),
    ],
)
def test_faulty_settings_are_refused_as_a_whole_and_the_running_ones_stay(
    tmp_path, upstream_fleet, settings, key
):
    with started(tmp_path, upstream_fleet) as running:
        running.reload(file_text(running.listen, upstream_fleet.discovery, **(CHANGED | settings)))
        assert running.said(f'event=configuration_rejected fault="{key}:') == 1
        assert running.said("event=settings_changed") == 0


@pytest.mark.parametrize(
    "settings, code, said",
    [
        (CHANGED, 0, "limits.probes: not honoured"),
        (CHANGED | {"weights": "heavy"}, 2, "weights: 'heavy'"),
    ],
)
def test_a_platforms_file_is_checked_without_starting_anything(tmp_path, settings, code, said):
    path = tmp_path / "new.json"
    path.write_text(file_text("127.0.0.2:9000", "127.0.0.1:8500", **settings))
    ended = CliRunner().invoke(cli, ["config", "platform", str(path)])
    assert ended.exit_code == code and said in ended.output
