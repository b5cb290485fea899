"""Tests the discovery client against a scripted service: document forms, and watches that fail."""

import json
import socket
import time
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from tests.waiting import LIMIT
from whinpier.config.model import ConfigFault
from whinpier.http.discovery import (
    MAX_DOCUMENT_BYTES,
    MAX_SILENCE_S,
    DiscoveryClient,
    JsonStreamSplitter,
)

pytestmark = pytest.mark.xdist_group("sockets")

WHOLE, WATCH = b"GET /discovery/hosts HTTP/1.1", b"GET /discovery/hosts?watch=1&from=%d HTTP/1.1"
# Seconds after which a change is in force, whether or not a silent watch has delivered it.
CHANGE_DEADLINE_S = 6.0


def host(name, health="up"):
    return {
        "host": name,
        "dial": "127.0.0.1:9",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def endpoint_list(seq, *hosts, whole=True, indent=None):
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=indent).encode()


def ok_response(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


OPEN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedDiscovery:
    """A discovery service whose test sends each response itself."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.updates = []
        chance = Random(1).random
        self.client = DiscoveryClient(
            self.listener.getsockname(),
            None,
            lambda *updates: self.updates.append(updates),
            chance,
            dict,
        )

    async def next_request(self):
        """Return the next request's first line, and the socket for the response."""
        with anyio.fail_after(LIMIT):
            await anyio.wait_readable(self.listener)
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            await anyio.wait_readable(sock)
            return sock.recv(4096).split(b"\r\n")[0], sock

    async def start_watch(self, seq):
        """Send a list of one upstream, and return the sockets of that request and of the watch."""
        _, sock = await self.next_request()
        sock.send(ok_response(endpoint_list(seq, host("s-0"))))
        _, watch = await self.next_request()
        return sock, watch

    async def nth_update(self, count):
        with anyio.fail_after(LIMIT):
            while len(self.updates) < count:
                await anyio.sleep(0.002)
        return [
            (sorted((entry.host, entry.state) for entry in entries), whole)
            for entries, whole in self.updates
        ][count - 1]


@asynccontextmanager
async def following_client():
    scripted = ScriptedDiscovery()
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(scripted.client.run)
            scripted.client.set_watching(True)
            yield scripted
            task_group.cancel_scope.cancel()
    finally:
        scripted.listener.close()


async def send_slowly(sock, data):
    """Send a byte at a time until the client disconnects; return the seconds that took."""
    began = time.monotonic()
    try:
        for at in range(len(data)):
            sock.send(data[at : at + 1])
            await anyio.sleep(0.05)
            if time.monotonic() > began + CHANGE_DEADLINE_S:
                break
    except OSError:
        return time.monotonic() - began
    raise AssertionError("the client kept a watch whose bytes never completed a document")


def split_documents(data, size):
    splitter = JsonStreamSplitter()
    found = [
        piece for at in range(0, len(data), size) for piece in splitter.feed(data[at : at + size])
    ]
    return found, splitter.remainder()


@pytest.mark.parametrize("size", [1, 2, 7, 64, 1 << 20])
def test_documents_are_split_however_they_arrive_and_are_indented(size):
    odd = host('a"{[\\') | {"site": "]}\\\\"}
    first, second = endpoint_list(1, odd, indent=2), endpoint_list(2, odd, whole=False)
    found, rest = split_documents(
        first + b"\n\n" + second + b"\n" + first + b"\n" + second[:9], size
    )
    assert [json.loads(piece) if piece else None for piece in found] == [
        json.loads(first),
        None,
        json.loads(second),
        json.loads(first),
    ]
    assert rest == second[:9]


def test_document_size_is_limited_on_one_line_or_many():
    for text in (b"x" * 100, b"{\n" * 50):
        with pytest.raises(ConfigFault):
            split_documents(text * (MAX_DOCUMENT_BYTES // 100 + 1), 4096)


@pytest.mark.anyio
async def test_indented_lists_and_changes_are_understood():
    # Guards against indented lists that are not understood: requests then went on to draining
    # upstreams for twenty seconds.
    async with following_client() as scripted:
        line, sock = await scripted.next_request()
        assert line == WHOLE
        sock.send(ok_response(endpoint_list(3, host("s-0"), host("s-1"), indent=4)))
        assert await scripted.nth_update(1) == ([("s-0", "ready"), ("s-1", "ready")], True)
        line, watch = await scripted.next_request()
        assert line == WATCH % 3
        change = endpoint_list(4, host("s-1", "draining"), whole=False, indent="\t") + b"\n"
        watch.send(OPEN + b"".join(chunk(change[at : at + 5]) for at in range(0, len(change), 5)))
        assert await scripted.nth_update(2) == ([("s-1", "draining")], False)
        sock.close(), watch.close()


@pytest.mark.anyio
async def test_watch_without_a_complete_document_times_out_and_is_reopened():
    async with following_client() as scripted:
        sock, watch = await scripted.start_watch(3)
        watch.send(OPEN)
        duration = await send_slowly(
            watch, chunk(endpoint_list(4, *[host("s-0", "draining")] * 40, whole=False))[:2000]
        )
        assert MAX_SILENCE_S <= duration < CHANGE_DEADLINE_S - MAX_SILENCE_S
        line, sock = await scripted.next_request()
        assert line == WHOLE  # changes may have been missed
        sock.send(ok_response(endpoint_list(4, host("s-0", "draining"))))
        assert await scripted.nth_update(2) == ([("s-0", "draining")], True)
        sock.close(), watch.close()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "data",
    [
        OPEN + b"fff\r\n" + b" " * 4000,
        b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 4000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{" + b" " * 3999,
    ],
)
async def test_whole_list_that_never_ends_times_out_and_is_fetched_again(data):
    async with following_client() as scripted:
        line, sock = await scripted.next_request()
        assert line == WHOLE
        assert await send_slowly(sock, data) < CHANGE_DEADLINE_S - MAX_SILENCE_S
        line, retry = await scripted.next_request()
        assert line == WHOLE
        retry.send(ok_response(endpoint_list(3, host("s-0"))))
        await scripted.nth_update(1)
        sock.close(), retry.close()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "end", [b"", chunk(b"\n"), chunk(endpoint_list(4, host("s-0", "draining"), whole=False))]
)
async def test_watch_that_ends_is_reopened_from_the_last_sequence_number(end):
    async with following_client() as scripted:
        sock, watch = await scripted.start_watch(3)
        watch.send(OPEN + end + (b"0\r\n\r\n" if end else b""))
        watch.close()
        line, retry = await scripted.next_request()
        assert line == WATCH % 3
        # The first document may be the whole list.
        retry.send(OPEN + chunk(endpoint_list(5, host("s-1")) + b"\n"))
        assert await scripted.nth_update(2) == ([("s-1", "ready")], True)
        sock.close(), retry.close()


@pytest.mark.anyio
async def test_discovery_whose_sequence_numbers_restart_is_followed():
    async with following_client() as scripted:
        sock, watch = await scripted.start_watch(40)
        # Older than the known sequence number.
        watch.send(OPEN + chunk(endpoint_list(2, host("s-1"), whole=False) + b"\n"))
        line, retry = await scripted.next_request()
        assert line == WHOLE
        retry.send(ok_response(endpoint_list(2, host("s-1"))))
        assert await scripted.nth_update(2) == ([("s-1", "ready")], True)
        line, last = await scripted.next_request()
        assert line == WATCH % 2
        for one in (sock, watch, retry, last):
            one.close()
