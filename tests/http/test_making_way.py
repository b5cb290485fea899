"""Tests whose request or response makes way where memory is short."""

from types import SimpleNamespace

import pytest

from whinpier.config.model import Limits
from whinpier.http.listener import HttpFrontend
from whinpier.runtime.resource_budget import Budget, Holding, PoolBudget


def client(since, share, amount=10):
    holding = Holding()
    assert holding.resize(share, amount)
    return SimpleNamespace(state_since=since, holding=holding)


def slowest(clients, requester, share):
    return HttpFrontend.slowest(clients, requester, lambda found: found.holding, share)


@pytest.fixture
def shares():
    """Two pools with half of 2,000 bytes each."""
    budget = Budget(1024, 16 * 2000)
    pools = [PoolBudget(budget, Limits(guaranteed=0.5)) for _ in range(2)]
    return [pool.request_bytes for pool in pools]


def test_the_slowest_of_the_same_pool_makes_way(shares):
    own, _ = shares
    requester = client(30, own)
    clients = [client(20, own), client(10, own), requester]
    assert slowest(clients, requester, own).state_since == 10


def test_clients_of_a_pool_within_its_guarantee_do_not_make_way_for_another(shares):
    # Guards against one pool's crowd that ends the slower requests of the others.
    own, other = shares
    requester = client(30, own)
    assert slowest([client(10, other), client(20, own)], requester, own).state_since == 20
    assert slowest([client(10, other)], requester, own) is requester


def test_clients_of_a_pool_that_has_borrowed_make_way(shares):
    own, other = shares
    borrower = client(10, other, 1100)
    requester = client(30, own)
    assert slowest([borrower, client(20, own)], requester, own) is borrower
