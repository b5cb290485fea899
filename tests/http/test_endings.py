"""Stories of the instant in which something ends while something is still owed.

The balancer runs in the test's own loop, its clients and upstreams are bare sockets: between two
awaits of the test nothing else happens, so that each crossing is forced and none depends on luck.
"""

import json
import socket
import struct
from contextlib import asynccontextmanager
from itertools import count as numbers
from pathlib import Path
from tempfile import NamedTemporaryFile

import anyio
import pytest

from tests.fake_host import MS, FakeHost
from tests.waiting import LIMIT
from whinpier.config.model import kept_till_restart
from whinpier.config.platform import read
from whinpier.http import upstream_connection
from whinpier.http.client_connection import IDLE_TIMEOUT_NS, LINGER_TIMEOUT_NS, MAX_PIPELINED_BYTES
from whinpier.http.transport import Http1Transport
from whinpier.http.upstream_connection import UpstreamConnection
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Effect, Outcome
from whinpier.runtime.process import Process

GIVEN = json.loads(Path("example/config.json").read_text())
FULL = b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
ids = numbers(1)

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]


@pytest.fixture
def anyio_backend():
    return "asyncio"


def request(lane="charge", remaining=2.0, key=""):
    """The bytes of a request: `charge` is non-idempotent, `settle` keyed."""
    key = f"Idempotency-Key: {key or next(ids)}\r\n" if lane == "settle" else ""
    return (
        f"POST /{lane} HTTP/1.1\r\nHost: a\r\nX-Txn: {next(ids):x}\r\nX-Remaining: "
        f"{remaining}\r\n{key}Content-Length: 2\r\n\r\n{{}}"
    ).encode()


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Stage:
    """One balancer, and all that it meets."""

    def __init__(self, count, sockets=1024, **limits):
        self.upstreams = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        self.nobody = socket.create_server(
            ("127.0.0.1", 0)
        )  # where discovery is asked, and says nothing
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.sockets = [*self.upstreams, self.nobody, self.listener]
        for listener in self.sockets:
            listener.setblocking(False)
        hosts = [
            {
                "host": f"s-{number}",
                "dial": "%s:%d" % up.getsockname(),
                "site": "a",
                "class": "m",
                "block": 0,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
            }
            for number, up in enumerate(self.upstreams)
        ]
        self.given = json.loads(json.dumps(GIVEN)) | {
            "listen": "%s:%d" % self.listener.getsockname(),
            "discovery": "%s:%d" % self.nobody.getsockname(),
            "known": {"seq": 1, "whole": True, "hosts": hosts},
        }
        self.given["limits"]["sockets"] = sockets
        self.given["settings"]["limits"] |= limits
        spec = self.spec()
        self.process = Process(spec, Http1Transport(), lambda: spec, kept_till_restart)
        self.pool = self.process.pools["all"]
        self.frontend, self.accepted = self.process.frontends[0], 0
        self.accept_client, self.frontend.accept_client = self.frontend.accept_client, self.counted

    def counted(self, listener):
        taken = self.accept_client(listener)
        self.accepted += taken
        return taken

    def spec(self):
        with NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.given, file)
            file.flush()
            return read({"BALANCER_CONFIG": file.name})

    def client(self, data=b""):
        """A client that has connected and sent something; the balancer has seen nothing of it yet."""
        sock = socket.create_connection(self.listener.getsockname(), LIMIT)
        sock.sendall(data)
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    async def met(self, number=0):
        """The next connection that comes to an upstream, with the request on it."""
        with anyio.fail_after(LIMIT):
            await anyio.wait_readable(self.upstreams[number])
            sock, _ = self.upstreams[number].accept()
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock, await self.read(sock, b"{}")

    async def read(self, sock, end):
        """What comes on a socket up to some bytes."""
        data = b""
        with anyio.fail_after(LIMIT):
            while not data.endswith(end) or not data:
                await anyio.wait_readable(sock)
                data += (piece := sock.recv(65536))
                if not piece:
                    break
        return data

    async def until(self, holds):
        with anyio.fail_after(LIMIT):
            while not holds():
                await anyio.sleep(0)

    async def turns(self, count=50):
        """Let the loop turn: whatever is ready is done."""
        for _ in range(count):
            await anyio.sleep(0)

    def begun(self):
        """How many attempts have begun."""
        return self.pool.counts["attempts"]


@asynccontextmanager
async def staged(count=1, **limits):
    stage = Stage(count, **limits)
    stage.pool.counts.clear()
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(stage.process.serve, [stage.listener])
            await stage.turns()
            yield stage
            task_group.cancel_scope.cancel()
    finally:
        for sock in stage.sockets:
            sock.close()


# The client leaves.


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
async def test_who_has_left_before_the_request_is_read_has_no_attempt_begun(leave):
    async with staged() as stage:
        client = stage.client(request())
        leave(client)  # all of this has come before the balancer looks
        await stage.until(lambda: stage.accepted and not stage.frontend.clients)
        await stage.turns()
        assert stage.begun() == 0 and stage.pool.in_flight == 0


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
async def test_who_leaves_as_an_attempt_comes_back_unrun_has_no_further_one_begun(leave):
    async with staged(2, cancelling=False) as stage:
        client = stage.client(request())
        await stage.until(lambda: stage.begun() == 1)
        at = next(
            number for number, peer in enumerate(stage.pool.endpoints.values()) if peer.in_flight()
        )
        upstream, _ = await stage.met(at)
        link = next(iter(list(stage.pool.endpoints.values())[at].connections))
        upstream.sendall(FULL)
        leave(client)
        link.on_readable()  # the answer is read first, the client's leaving waits
        await stage.until(lambda: stage.pool.counts["clients_left"] == 1)
        await stage.turns()
        assert stage.begun() == 1


@pytest.mark.parametrize("cancelling", [True, False])
async def test_who_leaves_while_an_attempt_waits_to_be_sent_has_it_never_sent(
    cancelling, monkeypatch
):
    up, run = anyio.Event(), UpstreamConnection.run

    async def late(link):
        await up.wait()
        await run(link)

    monkeypatch.setattr(UpstreamConnection, "run", late)
    async with staged(cancelling=cancelling) as stage:
        server = stage.pool.endpoints["s-0"]
        client = stage.client(request())
        await stage.until(lambda: server.waiting)
        client.close()
        await stage.until(lambda: stage.pool.counts["clients_left"] == 1)
        assert not server.waiting and stage.pool.count_in_flight() == 0
        up.set()  # the connection comes up, for nobody
        await stage.until(lambda: server.idle)
        await stage.turns()
        sock, _ = stage.upstreams[0].accept()
        sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        sock.close()


async def test_an_attempt_that_waits_for_a_connection_to_where_its_upstream_was_goes_elsewhere(
    monkeypatch,
):
    up, run = anyio.Event(), UpstreamConnection.run

    async def late(link):
        await up.wait()
        await run(link)

    monkeypatch.setattr(UpstreamConnection, "run", late)
    async with staged(2) as stage:
        client = stage.client(request())
        await stage.until(lambda: stage.begun() == 1)
        peers = list(stage.pool.endpoints.values())
        at = next(number for number, peer in enumerate(peers) if peer.in_flight())
        peers[at].set_address(
            peers[1 - at].address
        )  # as the list says; the connection to the old address comes up
        up.set()
        with anyio.fail_after(1.0):  # well before its time is up
            upstream, _ = await stage.met(1 - at)
        upstream.sendall(GOOD)
        assert (await stage.read(client, b"done")).startswith(b"HTTP/1.1 200")


async def test_an_attempt_that_is_out_is_called_off_when_its_client_leaves_with_requests_unread_behind():
    async with staged() as stage:
        client = stage.client(request() + request() + request())
        upstream, _ = await stage.met()
        client.close()
        assert await stage.read(upstream, b"never") == b""  # the attempt's connection is ended
        await stage.turns()
        assert stage.begun() == 1 and not stage.frontend.clients


async def test_who_leaves_in_the_middle_of_a_body_has_no_attempt_begun():
    async with staged() as stage:
        client = stage.client(request()[:-1])
        await stage.until(lambda: any(client.receiving for client in stage.frontend.clients))
        client.close()
        await stage.until(lambda: not stage.frontend.clients)
        assert stage.begun() == 0 and stage.pool.budget.request_bytes.used == 0


async def test_who_leaves_while_held_for_room_is_not_sent_when_there_is():
    async with staged() as stage:
        server = stage.pool.endpoints["s-0"]
        server.spare = 0  # no room, as a limit at the upstream has it
        client = stage.client(request())
        await stage.until(lambda: stage.pool.policy.admission_queue.waiting())
        client.close()
        server.spare = 10
        stage.pool.loop.dispatch(
            stage.pool, stage.pool.policy.admission_queue.release
        )  # before its leaving is read
        await stage.until(lambda: stage.pool.counts["clients_left"] == 1)
        await stage.turns()
        assert stage.begun() == 0 and stage.pool.policy.selector.in_flight == 0


# Told to stop.


async def ended(stage):
    with anyio.fail_after(LIMIT):
        while not stage.process.loop.task_group.cancel_scope.cancel_called:
            await anyio.sleep(0.01)


async def test_told_to_stop_twice_and_to_reload_between_it_answers_what_is_out_half_read_and_behind():
    async with staged() as stage:
        out, half = stage.client(request() + request()), stage.client(request()[:-1])
        upstream, _ = await stage.met()
        await stage.until(
            lambda: len([client for client in stage.frontend.clients if client.receiving]) == 1
        )
        stage.process.stop()
        await stage.turns()
        await stage.process.reload()
        stage.process.stop()
        upstream.sendall(GOOD)
        assert (await stage.read(out, b"done")).startswith(b"HTTP/1.1 200")
        await stage.read(upstream, b"{}")  # the one behind it goes on too
        half.sendall(b"}")
        other, _ = await stage.met()
        for sock in (upstream, other):
            sock.sendall(GOOD)
        for sock in (out, half):
            assert (await stage.read(sock, b"done")).startswith(b"HTTP/1.1 200")
            sock.close()
        await ended(stage)


async def test_who_goes_on_sending_to_the_end_is_refused_cleanly_and_nothing_is_sent_on():
    async with staged() as stage:
        client = stage.client(request())
        upstream, _ = await stage.met()
        upstream.sendall(GOOD)
        await stage.read(client, b"done")
        stage.process.closing = True
        client.sendall(request() + request())  # the second is read behind the last answer
        answer = await stage.read(client, b"never")
        assert answer.startswith(b"HTTP/1.1 503") and answer.count(b"HTTP/1.1") == 1
        assert b"connection: close" in answer
        client.sendall(request())
        await stage.turns()
        assert stage.begun() == 1


async def test_an_upstream_that_hangs_through_the_end_leaves_nobody_without_an_answer():
    async with staged() as stage:
        client = stage.client(request(remaining=30))
        await stage.met()
        stage.process.stop()
        await stage.turns()
        stage.process.stop_deadline = stage.process.loop.clock() + SECOND // 5  # soon
        for pending in list(stage.process.ids.values()):
            stage.pool.shorten_deadline(pending, stage.process.stop_deadline)
        assert (await stage.read(client, b"\n")).startswith(b"HTTP/1.1 502")
        client.close()
        await ended(stage)


# Descriptors.


async def test_idle_clients_that_fill_the_descriptors_leave_room_for_discovery_and_for_who_asks():
    async with staged(sockets=64) as stage:
        idle = [stage.client() for _ in range(80)]
        await stage.until(lambda: len(stage.frontend.clients) >= stage.process.budget.max_clients)
        for _ in range(2):  # it is asked again, though it says nothing
            with anyio.fail_after(LIMIT):
                await anyio.wait_readable(stage.nobody)
                stage.sockets.append(stage.nobody.accept()[0])
        idle[-1].sendall(request())
        upstream, _ = await stage.met()
        upstream.sendall(GOOD)
        assert (await stage.read(idle[-1], b"done")).startswith(b"HTTP/1.1 200")


# Closing.


async def test_who_sends_too_much_ahead_is_answered_what_is_owed_before_the_connection_ends():
    async with staged() as stage:
        client = stage.client(request())
        upstream, _ = await stage.met()
        client.sendall(request() * (2 * MAX_PIPELINED_BYTES // len(request())))
        await stage.until(lambda: next(iter(stage.frontend.clients)).pipeline_overflow)
        upstream.sendall(GOOD)
        answer = await stage.read(client, b"never")  # up to the end of the connection
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\ndone")
        assert b"connection: close" in answer and stage.begun() == 1


async def test_who_sends_too_much_ahead_and_leaves_is_seen_to_leave():
    async with staged() as stage:
        client = stage.client(request())
        upstream, _ = await stage.met()
        client.sendall(b"x" * (2 * MAX_PIPELINED_BYTES))
        await stage.until(lambda: next(iter(stage.frontend.clients)).pipeline_overflow)
        client.close()
        assert await stage.read(upstream, b"never") == b""
        assert stage.pool.counts["clients_left"] == 1


async def rested(stage):
    """A client that has had an answer and has been idle for long, as the balancer has it."""
    client = stage.client(request())
    upstream, _ = await stage.met()
    upstream.sendall(GOOD)
    await stage.read(client, b"done")
    inner = next(iter(stage.frontend.clients))
    inner.state_since -= IDLE_TIMEOUT_NS + 1
    return client, upstream, inner


async def test_a_request_that_arrives_as_a_resting_connection_is_to_be_closed_is_served():
    async with staged() as stage:
        client, upstream, inner = await rested(stage)
        client.sendall(request())
        inner.enforce_timeouts(stage.process.loop.clock())  # it has come, and is not read
        await stage.read(upstream, b"{}")
        upstream.sendall(GOOD)
        assert (await stage.read(client, b"done")).startswith(b"HTTP/1.1 200")


async def test_a_request_that_arrives_after_the_shutdown_is_not_sent_on_and_resets_nothing_at_once():
    async with staged() as stage:
        client, upstream, inner = await rested(stage)
        inner.enforce_timeouts(stage.process.loop.clock())
        assert await stage.read(client, b"never") == b""
        client.sendall(request())
        await stage.turns()
        assert not inner.closed and client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        assert stage.begun() == 1
        inner.state_since -= LINGER_TIMEOUT_NS + 1
        inner.enforce_timeouts(stage.process.loop.clock())
        assert inner.closed and stage.begun() == 1


async def test_the_end_waits_for_answers_that_may_still_be_on_their_way():
    async with staged() as stage:
        client = stage.client(
            request() + b"POST"
        )  # a close over what is unread would reset the connection
        upstream, _ = await stage.met()
        stage.process.closing = True
        upstream.sendall(GOOD)
        await stage.until(lambda: not stage.pool.in_flight)
        assert stage.frontend.has_pending_responses()
        assert (await stage.read(client, b"never")).endswith(b"done")
        client.close()
        await stage.until(lambda: not stage.frontend.has_pending_responses())


# Answers that break off.


@pytest.mark.parametrize("how", [socket.socket.close, reset])
@pytest.mark.parametrize(
    "part",
    [
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n\r\nwithout a length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
async def test_what_breaks_off_is_no_answer_and_a_non_idempotent_request_is_not_sent_again(
    part, how
):
    async with staged(2) as stage:
        client = stage.client(request())
        await stage.until(lambda: stage.begun() == 1)
        at = next(
            number for number, peer in enumerate(stage.pool.endpoints.values()) if peer.in_flight()
        )
        upstream, _ = await stage.met(at)
        upstream.sendall(part)
        await stage.turns()
        how(upstream)
        answer = await stage.read(client, b"fulfilled\n")
        assert answer.startswith(b"HTTP/1.1 502") and b"half" not in answer and stage.begun() == 1


@pytest.mark.parametrize("how", [socket.socket.close, reset])
async def test_a_connection_closed_as_it_is_to_be_used_carries_nothing_and_the_request_goes_on_another(
    how,
):
    async with staged() as stage:
        client, upstream, _ = await rested(stage)
        server = stage.pool.endpoints["s-0"]
        with anyio.fail_after(LIMIT):
            while not server.idle:
                await anyio.sleep(0.001)
        how(upstream)  # not read yet as the request is
        client.sendall(request())
        next(iter(stage.frontend.clients)).on_readable()
        anew, _ = await stage.met()
        anew.sendall(GOOD)
        assert (await stage.read(client, b"done")).startswith(b"HTTP/1.1 200")
        assert stage.begun() == 2 and stage.pool.counts["came_back_reset"] == 0


# A second answer.


@pytest.mark.parametrize("second", [GOOD.replace(b"done", b"evil"), b"HTTP/1.1 2"])
async def test_a_second_answer_that_comes_late_reaches_nobody_else(second, monkeypatch):
    monkeypatch.setattr(
        upstream_connection, "REUSE_DELAY_NS", 100 * SECOND
    )  # the moment lasts until the second answer has come
    async with staged() as stage:
        first = stage.client(request())
        upstream, _ = await stage.met()
        upstream.sendall(GOOD)
        await stage.read(first, b"done")
        other = stage.client(request())
        await stage.until(lambda: stage.begun() == 2)
        upstream.sendall(second)
        anew, _ = await stage.met()  # on another connection
        anew.sendall(GOOD.replace(b"done", b"mine"))
        assert (await stage.read(other, b"e")).endswith(b"mine")
        assert await stage.read(upstream, b"never") == b""


async def test_after_its_rest_a_connection_carries_the_next_request_also_one_that_waits():
    async with staged() as stage:
        client = stage.client(request())
        upstream, _ = await stage.met()
        for _ in range(3):
            upstream.sendall(GOOD)
            await stage.read(client, b"done")
            client.sendall(request())
            assert (await stage.read(upstream, b"{}")).startswith(b"POST /charge")
        assert stage.pool.budget.connections.used == 1


# One revision of the settings.


def reloaded(stage, lane, **request_class):
    """The balancer goes on by other settings of a request class."""
    for given in stage.given["settings"]["workloads"]:
        if given["name"] == lane:
            given |= request_class
    stage.process.apply_platform_settings(stage.spec())


async def test_a_request_keeps_the_settings_it_came_with_and_one_behind_it_has_the_new_ones():
    async with staged(2, cancelling=True) as stage:
        client = stage.client(request("settle") + request("settle"))
        await stage.until(lambda: stage.begun() == 1)
        at = next(
            number for number, peer in enumerate(stage.pool.endpoints.values()) if peer.in_flight()
        )
        upstream, _ = await stage.met(at)
        stage.given["settings"]["limits"]["max_hand_offs"] = 1
        reloaded(stage, "settle", window_us=1000, patience_us=900_000)
        reset(upstream)  # it may have run: under the new settings it could not be sent again
        again, head = await stage.met(1 - at)
        assert 1.0 < float(head.split(b"x-remaining: ")[1].split(b"\r\n")[0]) < 2.0
        again.sendall(GOOD)
        assert (await stage.read(client, b"done")).startswith(b"HTTP/1.1 200")
        await stage.until(lambda: stage.begun() == 3)
        links = [link for peer in stage.pool.endpoints.values() for link in peer.connections]
        await stage.until(lambda: any(link.attempt for link in links))
        link = next(link for link in links if link.attempt)
        pending = link.attempt.request
        assert (
            pending.request_class.max_attempts == 1
            and pending.deadline - pending.arrived_at < SECOND
        )
        link.close()  # as a reset: it may have run
        await stage.turns()
        assert stage.begun() == 3


@pytest.mark.parametrize("before, after", [("once", "by_key"), ("once", "repeatable")])
async def test_what_came_as_non_idempotent_is_not_resent_because_a_new_file_says_otherwise(
    before, after
):
    async with staged(2) as stage:
        client = stage.client(request("charge"))
        await stage.until(lambda: stage.begun() == 1)
        at = next(
            number for number, peer in enumerate(stage.pool.endpoints.values()) if peer.in_flight()
        )
        upstream, _ = await stage.met(at)
        reloaded(stage, "charge", semantics=after, window_us=9_000_000)
        reset(upstream)
        assert (await stage.read(client, b"\n")).startswith(b"HTTP/1.1 502")
        assert stage.begun() == 1


# Windows for repeats.


@pytest.mark.parametrize("after, attempts", [(1500, 2), (1800, 1)])
def test_a_keyed_request_is_not_resent_when_it_could_arrive_outside_its_window(after, attempts):
    host = FakeHost(
        Effect.KEYED
    )  # a window of 2 s; a connection may take a quarter of one to come up
    host.policy.retry_policy.configure({"limits.max_hand_offs": 3})
    host.request()
    host.wait(after * MS)
    host.finish_attempt(host.sent[0], Outcome.FAILED)
    assert len(host.sent) == attempts
