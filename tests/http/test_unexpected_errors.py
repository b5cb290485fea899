"""Tests that a request that was read is answered, whatever its bytes and whatever fails on the way.

The balancer runs in the test's event loop, as in `test_endings.py`.
"""

import pytest

from tests.http.test_endings import OK_RESPONSE, request, running_harness

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


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
