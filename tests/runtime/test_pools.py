"""Several pools in one process: routing, isolation, reloads and budgets.

Most tests start a process with an operator's file and send requests to it.
"""

import asyncio
import socket
import time
from contextlib import contextmanager
from http.client import HTTPConnection
from itertools import count as numbers

import pytest

from tests.fake_host import MS, FakeHost
from tests.waiting import LIMIT, until
from whinpier.config.model import Limits
from whinpier.policy.decaying_sum import SECOND, Pacer
from whinpier.policy.model import RequestClass, Upstream, UpstreamState
from whinpier.runtime.resource_budget import Budget, PoolBudget
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

pytestmark = pytest.mark.xdist_group("sockets")

DEFAULT_SCRIPT = Script(workers=4, work=0.002)
ids = numbers(1)


@pytest.fixture(scope="module")
def upstream_fleet():
    upstream_fleet = UpstreamFleet({name: DEFAULT_SCRIPT for name in ("a-1", "a-2", "b-1", "b-2")})
    yield upstream_fleet
    upstream_fleet.stop()


class Deployment:
    """An operator's file that a test changes, a process that runs by it, and clients of that."""

    def __init__(self, folder, upstream_fleet, latency_objective="500ms", **process):
        self.upstream_fleet, self.listen, self.latency_objective = (
            upstream_fleet,
            free_address(),
            latency_objective,
        )
        for name in upstream_fleet.addresses:
            upstream_fleet.tell(name, hang=0.0, error=0.0, size=2, work=0.002, workers=4)
        self.process = {"descriptors": 256} | process
        self.pools = {name: self.pool([f"{name}-1", f"{name}-2"]) for name in ("a", "b")}
        self.routes = [{"name": name, "host": name, "pool": name} for name in self.pools]
        self.balancer = Balancer(folder, operator=self.text(), listen=self.listen, optimised=False)
        self.balancer.wait_ready()

    def pool(self, names, states=(), kind="exclusive", **more):
        upstreams = [
            {
                "name": name,
                "address": self.upstream_fleet.addresses[name],
                "state": dict(states).get(name, "ready"),
            }
            for name in names
        ]
        request_class = {"kind": kind, "agreed_time": self.latency_objective, "patience": "2s"}
        return {"upstreams": upstreams, "workloads": {"w": request_class}} | more

    def text(self):
        return files.document(
            {
                "version": 1,
                "listen": [self.listen],
                "process": self.process,
                "pools": self.pools,
                "routes": self.routes,
            }
        )

    def reload(self):
        self.balancer.reload(self.text())

    def client(self):
        return HTTPConnection(*self.balancer.address, timeout=LIMIT)

    def ask(self, host, path="/x", method="POST", client=None, body=b"{}", **headers):
        client = client or self.client()
        given = {"Host": host, "X-Txn": f"t{next(ids)}", "X-Remaining": "1.5"} | headers
        client.request(
            method,
            path,
            body if method != "GET" else None,
            {name: value for name, value in given.items() if value is not None},
        )
        answer = client.getresponse()
        answer.body = answer.read()
        return answer

    def ran(self, name):
        """Return the ids of the requests that an upstream has executed."""
        return self.upstream_fleet.tell(name)["ran"]

    def answered_by(self, host, **more):
        return self.ask(host, **more).headers["X-By"][0]


@contextmanager
def deployed(folder, upstream_fleet, **process):
    deployment = Deployment(folder, upstream_fleet, **process)
    try:
        yield deployment
    finally:
        deployment.balancer.stop(wait=False)
    log = deployment.balancer.log()
    assert "event=invariant_violated" not in log and "level=error" not in log, log


def test_each_pool_gets_what_its_route_says_and_what_has_none_is_answered_at_once(
    tmp_path, upstream_fleet
):
    with deployed(tmp_path, upstream_fleet) as deployment:
        assert [
            deployment.answered_by("a"),
            deployment.answered_by("B:80"),
            deployment.answered_by("a."),
        ] == ["a", "b", "a"]
        client = deployment.client()  # one connection, two hosts
        assert [deployment.answered_by(host, client=client) for host in "abab"] == list("abab")
        began, lost = time.monotonic(), deployment.ask("c", client=client)
        assert (lost.status, lost.body) == (404, b"no route: host or path not known\n")
        # The connection stays open.
        assert time.monotonic() - began < 0.2 and deployment.answered_by("a", client=client) == "a"
        for path in ("/a/../b", "/%2e%2e/b", "//b", "/a%2fb"):
            assert deployment.ask("a", path).status == 400
        assert (
            deployment.ask("a, b").status == 400
            and deployment.ask("a", method="HEAD").status == 405
        )


def test_requests_of_two_pools_sent_at_once_on_one_connection_are_answered_in_turn(
    tmp_path, upstream_fleet
):
    request = "POST /x HTTP/1.1\r\nHost: %s\r\nX-Txn: p%d\r\nX-Remaining: 1\r\nContent-Length: 0\r\n%s\r\n"
    with (
        deployed(tmp_path, upstream_fleet) as deployment,
        socket.create_connection(deployment.balancer.address, LIMIT) as sock,
    ):
        upstream_fleet.tell("a-1", work=0.1, workers=1)
        upstream_fleet.tell("a-2", work=0.1, workers=1)
        sock.sendall(
            (
                request % ("a", 1, "")
                + request % ("b", 2, "")
                + request % ("none", 3, "")
                + request % ("a", 4, "Connection: close\r\n")
            ).encode()
        )
        response = sock.makefile("rb").read().decode()
    statuses = [line.split()[1] for line in response.splitlines() if "HTTP/1.1" in line]
    assert statuses == ["200", "200", "404", "200"]
    assert [line[6] for line in response.lower().splitlines() if line.startswith("x-by: ")] == [
        "a",
        "b",
        "a",
    ]


def test_a_route_says_which_headers_say_what_how_long_is_waited_and_which_statuses_pass(
    tmp_path, upstream_fleet
):
    with deployed(tmp_path, upstream_fleet) as deployment:
        deployment.pools["a"] |= {"statuses": [200, 500][:1]}
        says = {"id": "x-request-id", "patience": "x-timeout", "ticket": "", "optional": True}
        deployment.routes[0] |= {"says": says, "patience": "300ms", "headers": {"x-partner": "*"}}
        deployment.reload()
        assert deployment.ask("a").status == 404
        partner = {"x-partner": "p", "X-Txn": None, "X-Remaining": None}
        assert deployment.ask("a", **partner).status == 200
        assert (
            deployment.ask("a", **partner, **{"x-request-id": "r1", "x-timeout": "1"}).status == 200
        )
        assert deployment.ask("a", **partner, **{"x-request-id": "r1"}).status == 409
        assert deployment.ask("a", **partner, **{"x-timeout": "soon"}).status == 400
        upstream_fleet.tell("a-1", hang=1.0)
        upstream_fleet.tell("a-2", hang=1.0)
        began = time.monotonic()
        assert deployment.ask("a", **partner).status == 502 and time.monotonic() - began < 0.8


def test_a_pool_whose_upstreams_hang_with_all_it_may_have_in_use_keeps_no_other_waiting(
    tmp_path, upstream_fleet
):
    with deployed(tmp_path, upstream_fleet, descriptors=96) as deployment:
        upstream_fleet.tell("a-1", hang=1.0)
        upstream_fleet.tell("a-2", hang=1.0)
        hangs = Asks(f"hung{next(ids)}", 150, "/x", host="a", timeout=1.5)
        works = Asks(f"well{next(ids)}", 60, "/x", host="b")
        gateways = [Gateway(deployment.balancer.address, asks, 1) for asks in (hangs, works)]

        async def both():
            await asyncio.gather(*(gateway.run(2.0) for gateway in gateways))

        asyncio.run(both())
        hung, well = gateways
        assert well.share_on_time() > 0.97 and hung.share_on_time() < 0.2
        assert not hung.unanswered() and not hung.answered_twice() and hung.surplus == 0
        assert all(
            request.status in (502, 503) or request.on_time(0.5)
            for request in hung.told
            if request.answers
        )


def test_a_pool_that_is_taken_out_finishes_its_requests_while_its_route_leads_elsewhere(
    tmp_path, upstream_fleet
):
    with deployed(tmp_path, upstream_fleet) as deployment:
        upstream_fleet.tell("a-1", work=0.6, workers=1, spread="constant")
        upstream_fleet.tell("a-2", work=0.6, workers=1, spread="constant")
        client, before = (
            deployment.client(),
            sum(upstream_fleet.tell(name)["met"] for name in ("a-1", "a-2")),
        )
        client.request(
            "POST", "/x", b"{}", {"Host": "a", "X-Txn": f"out{before}", "X-Remaining": "2"}
        )
        until(lambda: sum(upstream_fleet.tell(name)["met"] for name in ("a-1", "a-2")) > before)
        del deployment.pools["a"]
        deployment.routes[0]["pool"] = "b"
        deployment.reload()
        assert [deployment.answered_by("a") for _ in range(5)] == ["b"] * 5
        answer = client.getresponse()
        assert (answer.status, answer.read(), answer.headers["X-By"][0]) == (200, b"ok", "a")
        until(lambda: deployment.balancer.said("event=pool_removed pool=a"))
        assert upstream_fleet.ledger().twice("out") == []
        deployment.pools["a"] = deployment.pool(["a-1"])
        deployment.routes[0]["pool"] = "a"
        deployment.reload()
        assert deployment.answered_by("a") == "a"
        upstream_fleet.tell("a-1", spread="exponential")
        upstream_fleet.tell("a-2", spread="exponential")


def test_reloads_under_load_lose_no_answer_and_run_nothing_twice(tmp_path, upstream_fleet):
    # Requests may queue for up to half a second: a pause of the machine of 0.1 s must not cause
    # rejections.
    with deployed(tmp_path, upstream_fleet, latency_objective="2s") as deployment:
        names = [f"moved{next(ids)}", f"stays{next(ids)}"]
        address = deployment.balancer.address
        gateways = [
            Gateway(address, Asks(name, 150, "/x", host=host), 1) for name, host in zip(names, "ab")
        ]

        async def reload():
            for turn in range(8):
                await asyncio.sleep(0.25)
                deployment.routes[0]["pool"] = "ab"[turn % 2]
                deployment.pools["c"] = deployment.pool(["a-1"], kind="ticketed")
                deployment.pools["a"] = deployment.pool(
                    ["a-1", "a-2"][: 1 + turn % 2], hand_offs=1 + turn % 3
                )
                if turn % 3 == 2:
                    del deployment.pools["c"]
                await asyncio.to_thread(deployment.reload)

        async def scenario():
            await asyncio.gather(*(gateway.run(2.5) for gateway in gateways), reload())

        asyncio.run(scenario())
        ledger = upstream_fleet.ledger()
        for gateway in gateways:
            # A longer pause of the machine causes a few rejections, which are safe to retry.
            assert {request.status for request in gateway.told} <= {
                200,
                503,
            } and gateway.surplus == 0
            assert sum(request.status == 503 for request in gateway.told) <= 0.02 * len(
                gateway.told
            )
            assert all(request.answers == 1 for request in gateway.told)
        assert ledger.twice(names[0]) == ledger.twice(names[1]) == []
        assert deployment.balancer.said("event=configuration_applied") == 8


def test_a_faulty_file_changes_nothing_and_is_said_with_its_key(tmp_path, upstream_fleet):
    with deployed(tmp_path, upstream_fleet) as deployment:
        deployment.routes[0]["pool"] = "nowhere"
        deployment.pools["b"]["upstreams"] = deployment.pools["a"]["upstreams"]
        deployment.reload()
        assert deployment.balancer.said("routes.a.pool: 'nowhere' is none of a, b") == 1
        assert [deployment.answered_by("a"), deployment.answered_by("b")] == ["a", "b"]


def test_an_upstream_of_two_pools_may_drain_in_one_and_not_in_the_other(tmp_path, upstream_fleet):
    with deployed(tmp_path, upstream_fleet) as deployment:
        deployment.pools["b"] = deployment.pool(["a-1", "b-1"])
        deployment.pools["a"] = deployment.pool(["a-1", "a-2"], states={"a-1": "draining"})
        deployment.reload()
        before = len(deployment.ran("a-1"))
        assert {deployment.ask("a").headers["X-By"] for _ in range(20)} == {"a-2"}
        assert len(deployment.ran("a-1")) == before
        assert "a-1" in {deployment.ask("b").headers["X-By"] for _ in range(40)}


def test_fifty_pools_and_a_thousand_routes_fit_in_64_mb(tmp_path, upstream_fleet):
    with deployed(tmp_path, upstream_fleet, descriptors=1024, memory_mb=64) as deployment:
        deployment.pools = {f"p{number}": deployment.pool(["a-1", "b-1"]) for number in range(50)}
        deployment.routes = [
            {
                "name": f"r{number}",
                "host": f"h{number}.example",
                "prefix": "/x/{n}",
                "pool": f"p{number % 50}",
            }
            for number in range(1000)
        ]
        deployment.reload()
        some = [f"h{number}.example" for number in range(0, 1000, 99)]
        assert {deployment.ask(host, "/x/1/y").status for host in some} == {200}
        assert deployment.balancer.memory() < 64 << 20


def pool_budgets(budget, *limits):
    return [PoolBudget(budget, limit) for limit in limits]


def test_a_pool_always_gets_its_part_and_what_is_unused_is_lent_but_for_a_quarter():
    budget = Budget(1024, 64 << 20)
    budget.clients = budget.max_clients
    first, second = pool_budgets(budget, Limits(0.5), Limits(0.5))
    whole, half = budget.connections.capacity, first.connections.guaranteed
    lent = 0
    while first.connections.acquire():
        lent += 1
    assert lent == whole - int(0.25 * half) and first.connections.borrowed() == lent - half
    taken = 0
    while second.connections.acquire():
        taken += 1
    assert taken == whole - lent  # the reserved quarter at once, the rest as it is released
    assert budget.is_recalled(first) and not budget.is_recalled(second)
    for _ in range(lent - half):
        first.connections.release()
        assert second.connections.acquire() and not first.connections.acquire()
    assert not first.connections.borrowed() and (
        first.connections.used,
        second.connections.used,
    ) == (half, whole - half)


def test_a_pool_keeps_to_its_own_limit_and_one_that_ends_gives_its_part_back():
    budget = Budget(1024, 64 << 20)
    first, second = pool_budgets(budget, Limits(0.5, requests=7), Limits(0.5))
    assert [first.requests.acquire() for _ in range(8)] == [True] * 7 + [False]
    second.close()
    assert budget.requests.reserved == first.requests.reserved() and budget.pools == [first]
    for _ in range(7):
        first.requests.release()
    first.close()
    assert budget.requests.reserved == budget.requests.used == 0 and not budget.requests.shares


def test_when_the_core_is_full_who_uses_more_than_its_part_is_rejected_first():
    budget = Budget(1024, 64 << 20)
    small, large = pool_budgets(budget, Limits(0.5), Limits(0.5))
    now = SECOND
    for turn in range(20):
        now += SECOND // 10
        small.cpu_time.add(now, 1e6)
        large.cpu_time.add(now, 9e6)
        budget.update_shedding(now, SECOND // 5)
    assert small.shed_ratio == 0.0 and large.shed_ratio > 0.9
    for turn in range(100):
        now += SECOND // 10
        budget.update_shedding(now, 0)
    assert large.shed_ratio == 0.0


def test_what_goes_to_a_cold_upstream_counts_over_all_pools_that_list_it():
    hosts = [FakeHost(count=4, seed=seed) for seed in (1, 2)]
    for host in hosts:
        host.traffic(8 * SECOND)
    alone, both = [], []
    for shared, found in ((False, alone), (True, both)):
        for number, host in enumerate(hosts):
            fresh = Upstream(100 + shared, UpstreamState.READY, 0, 0, host.now)
            fresh.warm_up_pacer = both[0] if shared and number else Pacer(host.now)
            found.append(fresh.warm_up_pacer)
            host.policy.on_endpoints_updated([*host.upstreams, fresh])
        for _ in range(100):  # both pools in turn, as in one process
            for host in hosts:
                host.traffic(10 * MS)
        sent = sum(handed.upstream.id == 100 + shared for host in hosts for handed in host.sent)
        found.append(sent)
    assert 0 < both[-1] < 0.75 * alone[-1]


def test_settings_that_change_keep_what_is_known_and_a_request_keeps_the_rules_it_came_under():
    host = FakeHost("exclusive", 3)
    host.traffic(4 * SECOND)
    known, request = [up.statistics for up in host.upstreams], host.request()
    other = RequestClass("other", "rerunnable", 400 * MS, 2000 * MS, 1.0)
    host.policy.reconfigure({"limits.max_hand_offs": 1, "limits.held": 0}, [other])
    assert [up.statistics for up in host.upstreams] == known and all(
        seen.answers.value > 1 for seen in known
    )
    host.finish_attempt(request.attempts[0], "reset")
    assert host.answers[request.id] == "scrapped"  # it arrived as exclusive
    host.request_class = other
    again = host.request()
    host.finish_attempt(again.attempts[0], "full")
    # One attempt, and no queue.
    assert len(again.attempts) == 1 and host.answers[again.id] == "turned back"
    host.traffic(2 * SECOND)
    assert list(host.policy.admission_queue.queues) == [other]
