"""Tests that a process at the address of one that has gone is not taken for the old one."""

import pytest

from tests.http.test_endings import OK_RESPONSE, request, running_harness
from whinpier.config.model import Entry
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import UpstreamState

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]


def entry(harness, host, started=0, state=UpstreamState.READY, number=0):
    """Return an entry of the list for a process at the address of an upstream of the harness."""
    return Entry(host, harness.upstreams[number].getsockname(), state, "a", "m", 0, 1.0, started)


def started(harness, seconds_ago):
    return harness.process.loop.clock() - seconds_ago * SECOND


async def serve_one(harness):
    """Have one request served at the only address; return the hosts that it was sent to."""
    client = harness.client(request())
    upstream, _ = await harness.accept_attempt()
    hosts = {endpoint.host for endpoint in harness.pool.all_endpoints() if endpoint.in_flight()}
    upstream.sendall(OK_RESPONSE)
    assert (await harness.read(client, b"done")).startswith(b"HTTP/1.1 200")
    return hosts


@pytest.mark.parametrize("is_listed_by", ["change", "whole list"])
async def test_work_goes_to_the_new_process_at_an_address_while_the_old_one_is_listed(is_listed_by):
    # Guards against a cold process that gets the share of the warm one whose address it has.
    async with running_harness() as harness:
        assert await serve_one(harness) == {"s-0"}
        entries = [entry(harness, "s-new", started(harness, 20))]
        if is_listed_by == "whole list":
            entries = [*entries, entry(harness, "s-0")]
        harness.pool.update_endpoints(entries, is_listed_by == "whole list")
        old, new = harness.pool.endpoints["s-0"], harness.pool.endpoints["s-new"]
        assert (old.state, new.state) == (UpstreamState.REMOVED, UpstreamState.READY)
        assert await serve_one(harness) == {"s-new"}


async def test_process_that_started_last_has_the_address_whatever_the_order_of_the_list():
    async with running_harness() as harness:
        harness.pool.update_endpoints(
            [
                entry(harness, "s-new", started(harness, 20)),
                entry(harness, "s-old", started(harness, 100)),
            ],
            True,
        )
        # A list from a lagging replica names the old one anew.
        harness.pool.update_endpoints([entry(harness, "s-old", started(harness, 100))], False)
        assert await serve_one(harness) == {"s-new"}


async def test_endpoint_is_used_again_once_it_is_listed_at_an_address_of_its_own():
    async with running_harness(2) as harness:
        harness.pool.update_endpoints([entry(harness, "s-new", started(harness, 20))], False)
        assert harness.pool.endpoints["s-0"].state == UpstreamState.REMOVED
        harness.pool.update_endpoints([entry(harness, "s-0", number=1)], False)
        assert harness.pool.endpoints["s-0"].state == UpstreamState.READY


async def test_endpoints_that_one_list_names_at_one_address_are_all_used():
    # Without a start or an order nothing says that one has replaced the other.
    async with running_harness() as harness:
        harness.pool.update_endpoints([entry(harness, "s-a"), entry(harness, "s-b")], True)
        states = {endpoint.state for endpoint in harness.pool.endpoints.values()}
        assert states == {UpstreamState.READY}
