"""Tests that a request that was read is answered, whatever its bytes and whatever fails on the way.

The balancer runs in the test's event loop, as in `test_endings.py`.
"""

import pytest

from tests.harness import fail
from tests.http.test_endings import OK_RESPONSE, request, running_harness
from whinpier import log
from whinpier.http.client_connection import ClientConnection
from whinpier.http.client_request import HttpRequest

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"


def chunked(data):
    """Return the request in a form that only h11 parses."""
    return data.replace(b"Content-Length: 2\r\n\r\n{}", CHUNKED)


async def answer_attempt(harness):
    """Answer one request at the one upstream, and return what was read of it."""
    upstream, read = await harness.accept_attempt()
    upstream.sendall(OK_RESPONSE)
    return read


@pytest.mark.parametrize("form", [bytes, chunked])
@pytest.mark.parametrize("query", [b"obj=Gas%C3%B3leo", b"note=%E2%82%AC", b"%FF=%00%80"])
async def test_query_with_escaped_octets_beyond_ascii_is_forwarded_unchanged(form, query):
    """Guards against a connection closed with no answer over the octets of a query."""
    data = form(request().replace(b"/charge", b"/charge?" + query))
    async with running_harness() as harness:
        client = harness.client(data)
        assert b"POST /charge?%s HTTP/1.1" % query in await answer_attempt(harness)
        assert (await harness.read(client, b"done")).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("form", [bytes, chunked])
@pytest.mark.parametrize("step", ["find_route", "append_body", "create_request"])
async def test_unexpected_error_before_the_pool_has_a_request_is_answered(monkeypatch, step, form):
    """Guards against a connection closed with no answer after an exception of the balancer's own."""
    async with running_harness() as harness:
        failures = log.counters["connection_task_failed"]
        client = harness.client(form(request()))
        upstream, _ = await harness.accept_attempt()
        other = harness.client(form(request()))
        with monkeypatch.context() as patch:
            patch.setattr(ClientConnection, step, fail)
            client.sendall(form(request()))  # read behind the request that is in flight
            upstream.sendall(OK_RESPONSE)
            response = await harness.read(client, b"internal error\n")
            assert response.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 500" in response
            response = await harness.read(other, b"internal error\n")
            assert response.startswith(b"HTTP/1.1 500")
        assert log.counters["connection_task_failed"] == failures + 2
        if b"connection: close" in response:  # its body was not read
            assert form is chunked and step != "create_request"
            assert await harness.read(other, b"never") == b""
        else:
            other.sendall(form(request()))
            await harness.read(upstream, b"{}")
            upstream.sendall(OK_RESPONSE)
            assert (await harness.read(other, b"done")).startswith(b"HTTP/1.1 200")
        assert harness.pool.in_flight == harness.pool.budget.request_bytes.used == 0


async def test_unexpected_error_in_a_decision_is_answered_at_the_deadline(monkeypatch):
    """Guards against a request that waits for ever since the policy raised an exception."""
    async with running_harness() as harness:
        monkeypatch.setattr(harness.pool.policy, "on_request", fail)
        client = harness.client(request(remaining=0.1))
        response = await harness.read(client, b"not fulfilled\n")
        assert response.startswith(b"HTTP/1.1 502") and harness.pool.in_flight == 0


async def test_response_that_cannot_be_written_is_replaced_by_a_failure(monkeypatch):
    """Guards against a request that waits for ever behind a response that raised an exception."""
    async with running_harness() as harness:
        client = harness.client(request())
        monkeypatch.setattr(HttpRequest, "respond", fail)
        await answer_attempt(harness)
        response = await harness.read(client, b"not fulfilled\n")
        assert response.startswith(b"HTTP/1.1 502")
        assert harness.pool.in_flight == harness.pool.policy.selector.in_flight == 0


async def test_fault_in_what_counts_finished_requests_keeps_no_response_back():
    """Guards against a response that is never written since an observer raised an exception."""
    async with running_harness() as harness:
        harness.pool.on_request_finished = fail
        client = harness.client(request())
        await answer_attempt(harness)
        assert (await harness.read(client, b"done")).startswith(b"HTTP/1.1 200")
