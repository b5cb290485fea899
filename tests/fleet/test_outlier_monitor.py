"""The monitor between pools and the ejection coordinator: names, operators' ejections, rows."""

from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest

from whinpier.fleet.messages import (
    EJECTION_NOTICE,
    EJECTION_VOTE_REPLY,
    EJECTION_VOTE_REQUEST,
    OBSERVATION_REPLY,
    OBSERVATION_REQUEST,
    EjectionMessage,
    pool_hash,
)
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.detector import MAX_LATENCY_RATIO
from whinpier.fleet.outliers.ejection import LEASE_MARGIN_NS
from whinpier.fleet.outliers.messages import decode, encode
from whinpier.fleet.outliers.monitor import NOT_OBSERVED, OutlierMonitor, upstream_key
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome

USUAL_NS = 10_000_000
CONFIG = EjectionConfig()


class FakeLoop:
    def __init__(self):
        self.now = 0

    def clock(self):
        return self.now


class FakePool:
    def __init__(self, name, hosts):
        self.name = name
        self.list_changes = 1
        self.endpoints = {host: SimpleNamespace(host=host, started=1, zone=0) for host in hosts}
        request_class = SimpleNamespace(statistics=SimpleNamespace(mean_latency=USUAL_NS))
        self.spec = SimpleNamespace(zones=(), request_classes=[request_class])
        self.attempt_observer = None
        self.ejected = Counter()

    def set_ejected(self, host, on):
        self.ejected[host] = int(on)


@pytest.fixture
def pool():
    return FakePool("web", [f"s-{number}" for number in range(10)])


@pytest.fixture
def told():
    return []


@pytest.fixture
def monitor(pool, told):
    """A fleet of this one member, after the fencing interval of its last run."""
    members = SimpleNamespace(
        metadata=SimpleNamespace(id=1), members={}, name_of=lambda member: f"m{member}"
    )
    loop = FakeLoop()
    found = OutlierMonitor(
        CONFIG, members, loop, Random(1), lambda name, fields: told.append((name, fields))
    )
    found.update_pools([pool], ("web",))
    loop.now = CONFIG.lease_ns + LEASE_MARGIN_NS
    return found


def play(monitor, duration_ns):
    end = monitor.loop.now + duration_ns
    while monitor.loop.now < end:
        monitor.loop.now += SECOND // 10
        monitor.on_timer(monitor.loop.now)


def test_an_operators_ejection_is_kept_up_till_it_is_lifted_and_then_returns(monitor, pool, told):
    monitor.operator_ejections = {("web", "s-3"): monitor.loop.now + 600 * SECOND}
    play(monitor, 2 * SECOND)
    assert pool.ejected == {"s-3": 1}
    key = f"{upstream_key(pool.endpoints['s-3']):08x}"
    assert told == [
        (
            "ejection_started",
            {"pool": "web", "key": key, "by": "m1", "times": 1, "upstream": "s-3"},
        )
    ]
    play(monitor, 30 * SECOND)
    rows = monitor.rows()
    assert [(row["upstream"], row["state"]) for row in rows] == [("s-3", "rests")]
    assert rows[0]["kept_up_here"] is True
    assert rows[0]["times"] == 1
    assert rows[0]["slots"] == 2
    monitor.operator_ejections = {}
    play(monitor, CONFIG.lease_ns + CONFIG.return_spread_ns + SECOND)
    assert pool.ejected == {"s-3": 0}
    names = [name for name, _ in told]
    assert names == ["ejection_started", "ejection_ended", "ejection_returning"]
    assert monitor.rows() == []


def test_a_pool_that_is_no_longer_shared_is_not_observed(monitor, pool):
    assert pool.attempt_observer is monitor.observers[pool_hash("web")]
    play(monitor, SECOND)
    assert len(monitor.coordinator.detector.zones) == 10
    monitor.update_pools([pool], ())
    assert pool.attempt_observer is None
    assert monitor.coordinator.detector.zones == {}


@pytest.mark.parametrize(
    ("outcome", "latency_ns", "expected"),
    [
        (Outcome.SUCCEEDED, 2 * USUAL_NS, 2.0),
        (Outcome.FAILED, USUAL_NS, MAX_LATENCY_RATIO),
        (Outcome.TIMED_OUT, USUAL_NS, MAX_LATENCY_RATIO),
        (Outcome.CANCELLED, USUAL_NS // 2, NOT_OBSERVED),
        (Outcome.CANCELLED, 3 * USUAL_NS, 3.0),
        (Outcome.NOT_SENT, USUAL_NS, NOT_OBSERVED),
    ],
)
def test_an_outcome_counts_by_its_latency(monitor, pool, outcome, latency_ns, expected):
    request_class = pool.spec.request_classes[0]
    sent = SimpleNamespace(
        outcome=outcome, duration=latency_ns, request=SimpleNamespace(request_class=request_class)
    )
    assert pool.attempt_observer.latency_ratio(sent) == expected


def test_a_message_to_all_goes_to_reachable_members_that_share_the_pool(monitor):
    mark = pool_hash("web")
    monitor.members.members = {
        member: SimpleNamespace(
            id=member,
            connected=connected,
            unreachable=not connected,
            metadata=SimpleNamespace(pools=pools),
        )
        for member, connected, pools in [(2, True, (mark,)), (3, False, (mark,)), (4, True, ())]
    }
    message = EjectionMessage(OBSERVATION_REQUEST, mark, 1, 5)
    monitor.coordinator.out = [(0, message), (9, message)]
    assert monitor.take_messages() == [(2, message), (9, message)]
    assert monitor.take_messages() == []
    assert monitor.member_counts(mark) == (3, 2)


@pytest.mark.parametrize(
    "packed",
    [
        EjectionMessage(OBSERVATION_REQUEST, 7, 23, 5),
        EjectionMessage(OBSERVATION_REPLY, 7, 23, 5, 350, 975, 1),
        EjectionMessage(EJECTION_VOTE_REQUEST, 7, 23, 5, 1, 88, 2),
        EjectionMessage(EJECTION_VOTE_REQUEST, 7, 23, 5, 1),
        EjectionMessage(EJECTION_VOTE_REPLY, 7, 23, 5, 1),
        EjectionMessage(EJECTION_NOTICE, 7, 23, 5, 1_500_000, 3),
    ],
)
def test_a_typed_message_is_packed_as_it_was_read(packed):
    assert encode(decode(packed)) == packed
