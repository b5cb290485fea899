"""Tests that nothing begins for a client that has closed its connection, wherever its end is hidden.

The end of a connection lies behind all that the client has sent: it shows only once that is read.
"""

from contextlib import suppress

import anyio
import pytest

from tests.http.test_endings import (
    OK_RESPONSE,
    OVERLOADED_RESPONSE,
    request,
    running_harness,
)

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]

MUCH = 2_000_000  # bytes: many times what the system takes for a socket that is not read
UNREAD = [16_000, 60_000, MUCH]
LEFT_S = 0.11  # an attempt may begin until 0.1 s after its client has closed


def send_what_goes(client, data):
    """Send until the system takes no more."""
    with suppress(BlockingIOError):
        while data:
            data = data[client.send(data) :]


async def client_with_much_unread(harness, first, behind, size):
    """Have a client send a request, and `size` bytes of others that are not read; return its upstream too."""
    client = harness.client(first)
    await harness.until(lambda: harness.attempts_started() == 1)
    endpoints = list(harness.pool.endpoints.values())
    (number,) = [index for index, endpoint in enumerate(endpoints) if endpoint.in_flight()]
    upstream, _ = await harness.accept_attempt(number)
    send_what_goes(client, behind * (size // len(behind)))
    connection = next(iter(harness.frontend.clients))
    await harness.until(lambda: connection.reading_paused)
    return client, upstream


@pytest.mark.parametrize("size", UNREAD)
async def test_requests_behind_the_one_in_flight_are_not_sent_after_their_client_left(size):
    # Guards against requests that are parsed and run though their client has closed its connection.
    async with running_harness() as harness:
        first = request(remaining=3.0)
        client, upstream = await client_with_much_unread(harness, first, request(), size)
        client.close()
        with suppress(OSError):  # the attempt may have been cancelled already
            upstream.sendall(OK_RESPONSE)
        await harness.until(lambda: not harness.frontend.clients)
        await harness.run_loop()
        assert harness.attempts_started() == 1


@pytest.mark.parametrize("size", UNREAD)
async def test_no_further_attempt_begins_after_a_client_with_much_unread_left(size):
    # Guards against a retry for a client whose end can't be seen.
    async with running_harness(2, cancelling=False) as harness:
        first = request(lane="settle", remaining=3.0)
        client, upstream = await client_with_much_unread(harness, first, request(), size)
        client.close()
        await anyio.sleep(LEFT_S)
        upstream.sendall(OVERLOADED_RESPONSE)
        await harness.until(lambda: not harness.pool.in_flight)
        await harness.run_loop()
        assert harness.attempts_started() == 1


async def test_a_client_with_much_unread_is_answered_where_no_further_attempt_may_begin():
    # Guards against a request that is dropped since its client can't be seen, and is there.
    async with running_harness(2) as harness:
        first = request(lane="settle", remaining=3.0)
        client, upstream = await client_with_much_unread(harness, first, request(), MUCH)
        await anyio.sleep(LEFT_S)
        upstream.sendall(OVERLOADED_RESPONSE)
        response = await harness.read(client, b"turned back\n")
        assert response.startswith(b"HTTP/1.1 503")


async def test_request_sent_again_after_its_client_left_runs_once():
    # Guards against an id that runs on its new connection, and on the old one as that is read.
    async with running_harness() as harness:
        again = request()
        client, upstream = await client_with_much_unread(harness, request(), again, 60_000)
        client.close()
        returned = harness.client(again)
        second, _ = await harness.accept_attempt()
        second.sendall(OK_RESPONSE)
        assert (await harness.read(returned, b"done")).startswith(b"HTTP/1.1 200")
        with suppress(OSError):
            upstream.sendall(OK_RESPONSE)
        await harness.until(lambda: len(harness.frontend.clients) == 1)
        await harness.run_loop()
        assert harness.attempts_started() == 2


async def test_id_of_a_request_that_may_have_run_is_known_for_as_long_as_its_class_waits():
    # Guards against a second run after the short wait of a client that left is over.
    async with running_harness() as harness:
        again = request(remaining=0.1)
        client = harness.client(again)
        await harness.accept_attempt()
        client.close()
        await harness.until(lambda: not harness.frontend.clients)
        await anyio.sleep(0.15)  # the request's deadline
        returned = harness.client(again)
        assert (await harness.read(returned, b"has\n")).startswith(b"HTTP/1.1 409")
        assert harness.attempts_started() == 1


async def test_id_of_a_request_that_never_ran_is_free_once_its_client_has_left():
    # Guards against a refusal of what a client sends again, as it may, after nothing was sent on.
    async with running_harness() as harness:
        harness.pool.endpoints["s-0"].spare = 0  # no capacity, as with a limit at the upstream
        again = request()
        client = harness.client(again)
        await harness.until(lambda: harness.pool.policy.admission_queue.waiting())
        client.close()
        await harness.until(lambda: not harness.frontend.clients)
        harness.pool.endpoints["s-0"].spare = 10
        returned = harness.client(again)
        upstream, _ = await harness.accept_attempt()
        upstream.sendall(OK_RESPONSE)
        assert (await harness.read(returned, b"done")).startswith(b"HTTP/1.1 200")
