"""Stories of following the list: pieces in every form, watches that die in every way; scripted
discovery.
"""

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
TOLD_BY = (
    6.0  # seconds after which what a silent watch misses counts as told, whether or not it came
)


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


def listed(seq, *hosts, whole=True, indent=None):
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=indent).encode()


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


OPEN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Scripted:
    """A discovery whose test says, question by question, what goes out and when."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.told = []
        chance = Random(1).random
        self.client = DiscoveryClient(
            self.listener.getsockname(), None, lambda *told: self.told.append(told), chance, dict
        )

    async def asked(self):
        """The next question: its first line, and where the answer goes."""
        with anyio.fail_after(LIMIT):
            await anyio.wait_readable(self.listener)
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            await anyio.wait_readable(sock)
            return sock.recv(4096).split(b"\r\n")[0], sock

    async def watched(self, seq):
        """It is told a list of one upstream, and opens its watch: both ways."""
        _, sock = await self.asked()
        sock.send(answer(listed(seq, host("s-0"))))
        _, watch = await self.asked()
        return sock, watch

    async def heard(self, count):
        with anyio.fail_after(LIMIT):
            while len(self.told) < count:
                await anyio.sleep(0.002)
        return [
            (sorted((entry.host, entry.state) for entry in entries), whole)
            for entries, whole in self.told
        ][count - 1]


@asynccontextmanager
async def followed():
    scripted = Scripted()
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(scripted.client.run)
            scripted.client.set_watching(True)
            yield scripted
            task_group.cancel_scope.cancel()
    finally:
        scripted.listener.close()


async def dribble(sock, data):
    """A byte at a time until the other side has gone; how long that took."""
    began = time.monotonic()
    try:
        for at in range(len(data)):
            sock.send(data[at : at + 1])
            await anyio.sleep(0.05)
            if time.monotonic() > began + TOLD_BY:
                break
    except OSError:
        return time.monotonic() - began
    raise AssertionError("it went on listening to bytes that made no piece")


def taken(data, size):
    splitter = JsonStreamSplitter()
    found = [
        piece for at in range(0, len(data), size) for piece in splitter.feed(data[at : at + size])
    ]
    return found, splitter.remainder()


@pytest.mark.parametrize("size", [1, 2, 7, 64, 1 << 20])
def test_pieces_come_apart_alike_however_they_are_cut_and_indented(size):
    odd = host('a"{[\\') | {"site": "]}\\\\"}
    first, second = listed(1, odd, indent=2), listed(2, odd, whole=False)
    found, rest = taken(first + b"\n\n" + second + b"\n" + first + b"\n" + second[:9], size)
    assert [json.loads(piece) if piece else None for piece in found] == [
        json.loads(first),
        None,
        json.loads(second),
        json.loads(first),
    ]
    assert rest == second[:9]


def test_a_piece_has_a_largest_size_on_one_line_or_many():
    for text in (b"x" * 100, b"{\n" * 50):
        with pytest.raises(ConfigFault):
            taken(text * (MAX_DOCUMENT_BYTES // 100 + 1), 4096)


@pytest.mark.anyio
async def test_lists_may_come_indented_whole_and_as_changes():
    # The short days' herd: each whole list came indented after a new configuration, none was
    # understood, and for twenty seconds requests went to upstreams that were draining.
    async with followed() as scripted:
        line, sock = await scripted.asked()
        assert line == WHOLE
        sock.send(answer(listed(3, host("s-0"), host("s-1"), indent=4)))
        assert await scripted.heard(1) == ([("s-0", "ready"), ("s-1", "ready")], True)
        line, watch = await scripted.asked()
        assert line == WATCH % 3
        change = listed(4, host("s-1", "draining"), whole=False, indent="\t") + b"\n"
        watch.send(OPEN + b"".join(chunk(change[at : at + 5]) for at in range(0, len(change), 5)))
        assert await scripted.heard(2) == ([("s-1", "draining")], False)
        sock.close(), watch.close()


@pytest.mark.anyio
async def test_a_watch_of_bytes_that_never_make_a_piece_is_silent_and_opened_anew_in_time():
    async with followed() as scripted:
        sock, watch = await scripted.watched(3)
        watch.send(OPEN)
        took = await dribble(
            watch, chunk(listed(4, *[host("s-0", "draining")] * 40, whole=False))[:2000]
        )
        assert MAX_SILENCE_S <= took < TOLD_BY - MAX_SILENCE_S
        line, sock = await scripted.asked()
        assert line == WHOLE  # what was missed is not known
        sock.send(answer(listed(4, host("s-0", "draining"))))
        assert await scripted.heard(2) == ([("s-0", "draining")], True)
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
async def test_a_whole_list_that_never_ends_is_asked_for_anew_in_time(data):
    async with followed() as scripted:
        line, sock = await scripted.asked()
        assert line == WHOLE
        assert await dribble(sock, data) < TOLD_BY - MAX_SILENCE_S
        line, again = await scripted.asked()
        assert line == WHOLE
        again.send(answer(listed(3, host("s-0"))))
        await scripted.heard(1)
        sock.close(), again.close()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "end", [b"", chunk(b"\n"), chunk(listed(4, host("s-0", "draining"), whole=False))]
)
async def test_a_watch_that_ends_or_is_reset_instead_of_telling_is_opened_anew_where_it_was(end):
    async with followed() as scripted:
        sock, watch = await scripted.watched(3)
        watch.send(OPEN + end + (b"0\r\n\r\n" if end else b""))
        watch.close()
        line, again = await scripted.asked()
        assert line == WATCH % 3
        again.send(
            OPEN + chunk(listed(5, host("s-1")) + b"\n")
        )  # the first answer may be the whole list
        assert await scripted.heard(2) == ([("s-1", "ready")], True)
        sock.close(), again.close()


@pytest.mark.anyio
async def test_a_discovery_that_counts_from_the_start_again_is_believed():
    async with followed() as scripted:
        sock, watch = await scripted.watched(40)
        watch.send(
            OPEN + chunk(listed(2, host("s-1"), whole=False) + b"\n")
        )  # does not join what is known
        line, again = await scripted.asked()
        assert line == WHOLE
        again.send(answer(listed(2, host("s-1"))))
        assert await scripted.heard(2) == ([("s-1", "ready")], True)
        line, last = await scripted.asked()
        assert line == WATCH % 2
        for one in (sock, watch, again, last):
            one.close()
