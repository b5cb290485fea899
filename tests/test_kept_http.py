"""HTTP to the byte: what the balancer answers of itself, what it asks of upstreams and discovery.

The balancer runs in the test's own loop; clients, upstreams and discovery are bare sockets.
Responses and request heads are kept as text; only what is left of a request's timeout, which is a
matter of time, is replaced by a mark before it is compared.
"""

import json
import re
import socket
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from tests.waiting import LIMIT
from whinpier.config import operator, platform
from whinpier.config.model import kept_till_restart
from whinpier.http.transport import Http1Transport
from whinpier.runtime.process import Process

KEPT = Path("tests/data/kept").resolve()
LATER = 3_000_000_000  # nanoseconds: after the time that half a request may take

pytestmark = pytest.mark.anyio


# What the tests know of the code.


def read_platform(path):
    return platform.read({"BALANCER_CONFIG": str(path)})


def read_operator(path):
    return operator.read(str(path))


def new_process(spec):
    return Process(spec, Http1Transport(), lambda: spec, kept_till_restart)


def clients_of(process):
    return list(process.frontends[0].clients)


def requests_of(process):
    return [client.request for client in clients_of(process) if client.request]


def reject(process, wait):
    """The final response to the one request that is out: try again after `wait`."""
    requests_of(process)[0].respond_rejected(wait)


def fail(process):
    requests_of(process)[0].respond_failed()


def sweep(process):
    """As if time had passed."""
    for client in clients_of(process):
        client.enforce_timeouts(process.loop.clock() + LATER)


def half_read(process):
    return any(client.receiving for client in clients_of(process))


# Helpers.


def kept(name):
    return json.loads((KEPT / name).read_text())


def response(status="200 OK", body=b"done", *headers):
    lines = ["HTTP/1.1 " + status, f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


GOOD = response(
    "200 OK",
    b"done",
    "Content-Type: text/plain",
    "X-Any: 1",
    "Keep-Alive: timeout=5",
    "Connection: keep-alive",
)
HEAD = "POST /charge HTTP/1.1\r\nHost: a\r\nX-Txn: t1\r\nX-Remaining: 2.0\r\n"
POST = HEAD + "Content-Length: 2\r\n\r\n{}"
GET = "GET /look?obj=k&x=1 HTTP/1.1\r\nHost: a\r\nX-Txn: t1\r\nX-Remaining: 1.5\r\n\r\n"
SETTLE = (
    "POST /settle HTTP/1.1\r\nHost: a\r\nX-Txn: t1\r\nX-Remaining: 2.0\r\n"
    "Idempotency-Key: 5c\r\nContent-Length: 2\r\n\r\n{}"
)


class Stage:
    """One balancer, its upstream and its discovery."""

    def __init__(self, folder, kind, listed, seq):
        self.listener, self.upstream, self.discovery = (
            socket.create_server(("127.0.0.1", 0)) for _ in range(3)
        )
        self.sockets = [self.listener, self.upstream, self.discovery]
        for one in self.sockets:
            one.setblocking(False)
        address = ["%s:%d" % one.getsockname() for one in self.sockets]
        if kind == "platform":
            given = kept("config.json")
            given["listen"], given["discovery"] = address[0], address[2]
            given["known"] = {
                "seq": seq,
                "whole": True,
                "hosts": [
                    {"host": "s-0", "dial": address[1], "site": "a", "class": "m", "health": "up"}
                ]
                * listed,
            }
            (folder / "config.json").write_text(json.dumps(given))
            spec = read_platform(folder / "config.json")
        else:
            text = (KEPT / "operator.http.toml").read_text()
            for mark, one in zip(("127.0.0.1:9000", "127.0.0.1:9101"), address):
                text = text.replace(mark, one)
            assert tomllib.loads(text)
            (folder / "operator.toml").write_text(text)
            spec = read_operator(folder / "operator.toml")
        self.process = new_process(spec)

    def client(self, data):
        sock = socket.create_connection(self.listener.getsockname(), LIMIT)
        self.sockets.append(sock)
        sock.setblocking(False)
        sock.send(data)
        return sock

    async def accepted(self, listener):
        with anyio.fail_after(LIMIT):
            await anyio.wait_readable(listener)
        sock, _ = listener.accept()
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    async def until(self, holds):
        with anyio.fail_after(LIMIT):
            while not holds():
                await anyio.sleep(0)

    async def message(self, sock):
        """One whole message, or what comes before the end."""
        data = b""
        with anyio.fail_after(LIMIT):
            while not whole(data):
                await anyio.wait_readable(sock)
                data += (piece := sock.recv(65536))
                if not piece:
                    break
        return data

    async def exchange(self, data, reply=GOOD):
        """What a client is answered; an upstream that is asked replies with this."""
        client, asked = self.client(data), []

        async def serve():
            sock = await self.accepted(self.upstream)
            asked.append(await self.message(sock))
            sock.send(reply)

        async with anyio.create_task_group() as requests:
            requests.start_soon(serve)
            found = await self.message(client)
            requests.cancel_scope.cancel()
        return client, found, asked

    async def ended(self, sock):
        """Whether the balancer ends this connection."""
        with anyio.fail_after(LIMIT):
            await anyio.wait_readable(sock)
        return sock.recv(1) == b""


def whole(data):
    head, mark, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    return bool(mark) and len(body) >= (int(length[1]) if length else 0)


def text(data):
    """As it is kept: time replaced by a mark."""
    found = re.sub(rb"(?m)^x-remaining: [0-2]\.[0-9]{3}\r$", b"x-remaining: (time)\r", data)
    return found.decode("latin-1")


@asynccontextmanager
async def staged(folder, kind="platform", listed=1, seq=1):
    stage = Stage(folder, kind, listed, seq)
    try:
        async with anyio.create_task_group() as requests:
            requests.start_soon(stage.process.serve, [stage.listener])
            yield stage
            requests.cancel_scope.cancel()
    finally:
        for sock in stage.sockets:
            sock.close()


# Responses to a single request that no upstream has to see.


def post(
    path="/charge", *headers, body="{}", version="HTTP/1.1", method="POST", host="a", ids=True
):
    given = [f"Host: {host}", *(["X-Txn: t1", "X-Remaining: 2.0"] if ids else []), *headers]
    given.append(f"Content-Length: {len(body)}")
    return "\r\n".join([f"{method} {path} {version}", *given, "", body])


REQUESTS = {
    "platform": {
        "no such lane": post("/odd"),
        "no such lane, body to come": HEAD.replace("charge", "odd") + "\r\n",
        "another lane in a header": post("/charge", "X-Lane: settle"),
        "a method that does not fit": post(method="PUT"),
        "no ticket": post("/settle"),
        "a ticket too many": post("/charge", "Idempotency-Key: 5c"),
        "no id": post("/charge", "X-Remaining: 2.0", ids=False),
        "no patience": post("/charge", "X-Txn: t1", ids=False),
        "a patience that is no number": post(
            "/charge", "X-Txn: t1", "X-Remaining: soon", ids=False
        ),
        "a header twice": post("/charge", "X-Txn: t2"),
        "too late": post("/charge", "X-Txn: t1", "X-Remaining: 0", ids=False),
        "a body too large": HEAD + "Content-Length: 65537\r\n\r\n",
        "a body too large in chunks": HEAD
        + "Transfer-Encoding: chunked\r\n\r\n"
        + ("8000\r\n" + "x" * 0x8000 + "\r\n") * 3,
        "a head of too many bytes": HEAD + "X-Any: " + "x" * 16384 + "\r\n\r\n",
        "a head of too many lines": HEAD + "X-Any: x\r\n" * 128 + "\r\n",
        "trailers too large": (
            HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + "X-A: x\r\n" * 129 + "\r\n"
        ),
        "lines that can be read two ways": HEAD + "X-Any: x\nX-Other: x\r\n\r\n",
        "a length and chunks": HEAD + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "another version": post(version="HTTP/1.2"),
    },
    "operator": {
        "up": "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
        "up, connection ended": "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "no method of a task": post("/any", method="OPTIONS"),
        "no host known": post("/any", host="odd.example"),
        "no path known": post("/odd", host="a.example"),
        "no header known": post("/headed", host="a.example"),
        "another method allowed": post("/any", host="a.example", method="DELETE"),
        "no such workload": post("/choose", "X-Lane: odd", host="a.example"),
        "a path that can be read two ways": post("/any/%2e%2e/x", host="a.example"),
        "a target that is no path": post("any", host="a.example"),
        "a target of another host": post("http://b.example/any", host="a.example"),
        "a target with a user": post("http://u@a.example/any", host="a.example"),
        "a header that its route looks at twice": post(
            "/headed", "X-Part: p", "X-Part: p", host="a.example"
        ),
        "too many bodies": post("/any", host="a.example", body="x" * 2048),
        "no id of another name": post("/other", host="a.example"),
    },
}


@pytest.mark.parametrize(
    "kind, name", [(kind, name) for kind in REQUESTS for name in REQUESTS[kind]]
)
async def test_a_response_that_needs_no_upstream_has_the_kept_bytes(tmp_path, kind, name):
    async with staged(tmp_path, kind) as stage:
        client, found, asked = await stage.exchange(REQUESTS[kind][name].encode())
        assert text(found) == kept("http.responses.json")[f"{kind}: {name}"]
        assert not asked
        if b"connection: close\r\n" in found:
            assert await stage.ended(client)


def test_every_response_is_kept():
    names = [f"{kind}: {name}" for kind in REQUESTS for name in REQUESTS[kind]]
    assert names == list(kept("http.responses.json"))


REJECTED = b"HTTP/1.1 503 Service Unavailable\r\n%scontent-length: 12\r\n\r\nturned back\n"


@pytest.mark.parametrize(
    "wait, header",
    [
        (0, b""),
        (250_000_000, b"retry-after: 0.250\r\n"),
        (1_234_567_890, b"retry-after: 1.235\r\n"),
    ],
)
async def test_a_rejected_request_is_told_a_wait_that_is_known(tmp_path, wait, header):
    async with staged(tmp_path) as stage:
        client = stage.client(POST.encode())
        await stage.until(lambda: requests_of(stage.process))
        reject(stage.process, wait)
        assert await stage.message(client) == REJECTED % header


async def test_a_request_too_many_is_rejected_for_a_quarter_of_its_agreed_time(tmp_path):
    async with staged(tmp_path, "operator") as stage:
        stage.client(post("/any", host="a.example").encode())
        await stage.until(lambda: requests_of(stage.process))
        client = stage.client(post("/any", host="a.example").replace("t1", "t2").encode())
        assert await stage.message(client) == REJECTED % b"retry-after: 0.200\r\n"


async def test_a_failed_request_is_answered_with_the_kept_bytes(tmp_path):
    said = b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 14\r\n\r\nnot fulfilled\n"
    async with staged(tmp_path) as stage:
        client = stage.client(POST.encode())
        await stage.until(lambda: requests_of(stage.process))
        fail(stage.process)
        assert await stage.message(client) == said
    async with staged(tmp_path) as stage:
        _, found, asked = await stage.exchange(POST.encode(), response("500 x", b"no"))
        assert found == said and len(asked) == 1


async def test_an_id_that_another_request_has_is_refused_with_the_kept_bytes(tmp_path):
    async with staged(tmp_path) as stage:
        stage.client(POST.encode())
        await stage.until(lambda: requests_of(stage.process))
        assert await stage.message(stage.client(POST.encode())) == (
            b"HTTP/1.1 409 Conflict\r\ncontent-length: 34\r\nconnection: close\r\n\r\n"
            b"an X-Txn that another request has\n"
        )


async def test_half_a_request_is_answered_in_time_with_the_kept_bytes(tmp_path):
    async with staged(tmp_path) as stage:
        client = stage.client(HEAD.encode())
        await stage.until(lambda: half_read(stage.process))
        sweep(stage.process)
        assert await stage.message(client) == (
            b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 15\r\nconnection: close\r\n\r\n"
            b"half a request\n"
        )


async def test_with_no_upstream_it_says_that_it_starts(tmp_path):
    async with staged(tmp_path, listed=0) as stage:
        assert await stage.message(stage.client(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")) == (
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\nstarting\n"
        )


async def test_who_waits_to_be_told_to_send_its_body_is_told(tmp_path):
    async with staged(tmp_path) as stage:
        client = stage.client((HEAD + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n").encode())
        assert await stage.message(client) == b"HTTP/1.1 100 \r\n\r\n"


# Requests to upstreams, and what comes back from them.

PASSED_ON = {
    "a request": ("platform", POST, GOOD),
    "a request without a body": ("platform", GET, GOOD),
    "a request with a ticket": ("platform", SETTLE, GOOD),
    "a request in chunks": (
        "platform",
        HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        GOOD,
    ),
    "a request with headers of each kind": (
        "platform",
        POST.replace(
            "Host: a",
            "\r\n".join(
                [
                    "Host: a",
                    "Connection: keep-alive",
                    "Keep-Alive: 5",
                    "Proxy-Connection: x",
                    "TE: trailers",
                    "Upgrade: x",
                    "X-Org: o1",
                    "X-Entity: e",
                    "X-Resent: 1",
                    "Accept: */*",
                    "Traceparent: 00-1",
                ]
            ),
        ),
        GOOD,
    ),
    "a request that ends its connection": (
        "platform",
        POST.replace("Host: a", "Host: a\r\nConnection: close"),
        GOOD,
    ),
    "a response in chunks": (
        "platform",
        POST,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        b"X-Any: 1\r\nServer: s\r\nTrailer: x\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ),
    "a response after an interim one": ("platform", POST, b"HTTP/1.1 103 x\r\n\r\n" + GOOD),
    "a request of a route": ("operator", post("/any", host="a.example"), GOOD),
    "a request of a route with other headers": (
        "operator",
        post("/other", "X-Req: r1", "X-Time: 1.0", host="a.example", ids=False),
        GOOD,
    ),
    "a response without a body": (
        "operator",
        post("/any", host="a.example"),
        b"HTTP/1.1 204 No Content\r\nX-Any: 1\r\n\r\n",
    ),
    "a response of another status": (
        "operator",
        post("/any", host="a.example"),
        response("404 Gone Away", b"none"),
    ),
}


@pytest.mark.parametrize("name", PASSED_ON)
async def test_what_is_passed_on_both_ways_has_the_kept_bytes(tmp_path, name):
    kind, data, reply = PASSED_ON[name]
    async with staged(tmp_path, kind) as stage:
        _, found, asked = await stage.exchange(data.encode(), reply)
        assert [text(one) for one in (*asked, found)] == kept("http.passed_on.json")[name]


def test_everything_passed_on_is_kept():
    assert list(PASSED_ON) == list(kept("http.passed_on.json"))


# Requests to discovery.


@pytest.mark.parametrize(
    "seq, target", [(None, b"/discovery/hosts"), (7, b"/discovery/hosts?watch=1&from=7")]
)
async def test_discovery_is_asked_with_the_kept_bytes(tmp_path, seq, target):
    async with staged(tmp_path, seq=seq) as stage:
        found = await stage.message(await stage.accepted(stage.discovery))
        assert found == (
            b"GET " + target + b" HTTP/1.1\r\nhost: discovery\r\naccept: application/json\r\n\r\n"
        )


async def test_the_whole_list_is_followed_by_a_watch_from_its_number(tmp_path):
    body = json.dumps({"seq": 41, "whole": True, "hosts": []}).encode()
    async with staged(tmp_path, seq=None) as stage:
        sock = await stage.accepted(stage.discovery)
        await stage.message(sock)
        sock.send(response("200 OK", body))
        found = await stage.message(await stage.accepted(stage.discovery))
        assert found.startswith(b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\n")
