"""Tests the whole program over sockets, with the upstreams and discovery of the example."""

import gc
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, HTTPException, HTTPResponse
from itertools import count as numbers
from itertools import cycle
from pathlib import Path

import anyio
import pytest

from example.echo_upstreams import Discovery, Upstream
from tests.waiting import LIMIT, until
from whinpier import log
from whinpier.config.model import kept_till_restart
from whinpier.config.platform import read
from whinpier.http.client_request import HttpRequest
from whinpier.http.transport import Http1Transport
from whinpier.http.upstream_connection import HttpAttempt
from whinpier.policy.decaying_sum import SECOND
from whinpier.runtime.process import Process
from whinpier.testbed.process import free

pytestmark = pytest.mark.xdist_group("sockets")

GIVEN = json.loads(Path("example/config.json").read_text())
HEAD = "POST /charge HTTP/1.1\r\nHost: a\r\n"
ids = numbers()  # unique per request


class Deployment:
    """A balancer process, its upstreams and the discovery service that lists them."""

    def __init__(self, folder, *upstreams, known=(), **settings):
        self.upstreams = upstreams
        self.discovery = Discovery(
            *(up.entry(f"s-{number}") for number, up in enumerate(upstreams)),
            port=free(socket.SOCK_STREAM)[1],  # stays reserved after a stop
        )
        self.address = free(socket.SOCK_STREAM, "127.0.0.2")
        given = json.loads(json.dumps(GIVEN)) | {
            "listen": "%s:%d" % self.address,
            "discovery": self.discovery.dial,
            "known": {"seq": 1 if known else 0, "whole": True, "hosts": list(known)},
        }
        given["limits"] |= settings.pop("sockets", {})
        if patience_us := settings.pop("patience_us", 0):
            for workload in given["settings"]["workloads"]:
                workload["patience_us"] = patience_us
        given["settings"]["limits"] |= settings
        self.given, self.file = given, folder / "config.json"
        self.file.write_text(json.dumps(given))
        self.environment = os.environ | {
            "BALANCER_CONFIG": str(self.file),
            "BALANCER_DISCOVERY": self.discovery.dial,
        }
        self.log = folder / "log"
        with self.log.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "whinpier"], env=self.environment, stderr=errors
            )
        self.clients = []
        until(self.up)

    def up(self):
        assert self.process.poll() is None, self.log.read_text()
        try:
            return self.ask("GET", "/up").status == 200
        except ConnectionRefusedError:
            return False

    def client(self):
        self.clients.append(HTTPConnection(*self.address, timeout=LIMIT))
        return self.clients[-1]

    def raw(self, data=b""):
        sock = socket.create_connection(self.address, LIMIT)
        self.clients.append(sock)
        sock.sendall(data)
        return sock

    def ask(self, method, path, body=None, client=None, **headers):
        client = client or self.client()
        given = {"X-Txn": f"f{next(ids):x}", "X-Remaining": "1.5"}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        client.request(method, path, body, {name: value for name, value in given.items() if value})
        response = client.getresponse()
        response.body = response.read()
        return response

    def charge(self, **more):
        """Send a non-idempotent request."""
        return self.ask("POST", "/charge", b"{}", **more)

    def settle(self, **more):
        """Send a keyed request."""
        return self.ask("POST", "/settle", b"{}", Idempotency_Key="5c", **more)

    def met(self):
        return [request for upstream in self.upstreams for request in upstream.met]

    def log_contains(self, text):
        return text in self.log.read_text()

    def list_update_count(self):
        """Return how many lists or changes the balancer has received."""
        return self.log.read_text().count("event=endpoints_updated ")

    def end(self):
        for client in self.clients:
            client.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for server in (*self.upstreams, self.discovery):
            server.stop()
        assert not self.log_contains("event=invariant_violated") and not self.log_contains(
            "level=error"
        ), self.log.read_text()


@contextmanager
def started(folder, *upstreams, **settings):
    deployment = Deployment(folder, *upstreams, **settings)
    try:
        yield deployment
    finally:
        deployment.end()


def good(request):
    request.reply(200, b"done")


def silent(request):
    """Send no response until the client has disconnected."""
    request.connection.settimeout(LIMIT)
    request.gone = request.connection.recv(1) == b""
    request.close_connection = True


def raw(data):
    """Return a behaviour that sends these bytes and closes the connection."""

    def behave(request):
        request.wfile.write(data)
        request.close_connection = True

    return behave


def error(request):
    request.reply(500, b"")


def turned_away(request):
    request.reply(503, b"", X_Turned_Away="1")


def reset(request):
    request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    request.close_connection = True
    request.rfile.close()
    request.connection.close()


def test_request_and_response_are_forwarded_unchanged(tmp_path):
    body, sent = os.urandom(64 * 1024), os.urandom(64 * 1024)
    with started(
        tmp_path, Upstream(lambda request: request.reply(200, body, X_Note="n"))
    ) as deployment:
        response = deployment.ask(
            "POST", "/charge/some?a=b", sent, X_Lane="charge", X_Txn="9b", X_Labels="w=1"
        )
        assert (response.status, response.body, response.headers["X-Note"]) == (200, body, "n")
        (met,) = deployment.met()
        assert (met.command, met.path, met.body) == ("POST", "/charge/some?a=b", sent)
        assert (met.headers["X-Txn"], met.headers["X-Labels"]) == ("9b", "w=1")
        assert 1.3 < float(met.headers["X-Remaining"]) < 1.5


def test_response_larger_than_the_protocol_allows_is_forwarded(tmp_path):
    sent = os.urandom(400_000)
    with started(tmp_path, Upstream(lambda request: request.reply(200, sent))) as deployment:
        assert [deployment.charge().body == sent for _ in range(3)] == [True] * 3


def test_connections_are_kept_alive_and_chunked_bodies_are_forwarded(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        client = deployment.client()
        assert [deployment.charge(client=client).status for _ in range(5)] == [200] * 5
        response = deployment.ask(
            "POST", "/settle", iter([b"a", b"bc"]), client, Idempotency_Key="5c"
        )
        assert response.status == 200 and deployment.met()[-1].body == b"abc"
        assert (
            deployment.met()[-1].headers["Idempotency-Key"] == "5c"
            and deployment.upstreams[0].opened == 1
        )


def test_pipelined_requests_are_answered_in_order(tmp_path):
    request = b"GET /look/%d HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\nX-Remaining: 1\r\n%s\r\n"
    echo = Upstream(lambda request: request.reply(200, request.path.encode()))
    with started(tmp_path, echo) as deployment:
        sock = deployment.raw(request % (1, 1, b"") + request % (2, 2, b"Connection: close\r\n"))
        received = sock.makefile("rb").read()
        assert (
            received.index(b"/look/1") < received.index(b"/look/2")
            and received.count(b"200 OK") == 2
        )


@pytest.mark.parametrize("count, size", [(4, 4096), (64, 1200), (200, 0), (3, 60_000)])
def test_requests_sent_at_once_are_all_answered_in_order(tmp_path, count, size):
    """Guards against requests that are dropped since more lies ahead than is read at once."""
    # They are sent on one after the other, and the time of all counts from here.
    form = b"POST /charge HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\nX-Remaining: 9\r\n%s"
    requests = [
        form % (number, b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
        for number in range(count)
    ]
    last = form % (count, b"Connection: close\r\nContent-Length: 0\r\n\r\n")
    echo = Upstream(lambda request: request.reply(200, b"<%s>" % request.headers["X-Txn"].encode()))
    with started(tmp_path, echo, patience_us=9_000_000) as deployment:
        sock = deployment.raw(b"".join(requests) + last)
        received = sock.makefile("rb").read()
        assert re.findall(rb"<(\d+)>", received) == [b"%d" % number for number in range(count + 1)]
        assert received.count(b"HTTP/1.1 200 OK") == len(deployment.met()) == count + 1


@pytest.mark.parametrize("kind", ["charge", "settle"])
@pytest.mark.parametrize(
    "bad",
    [
        error,
        reset,
        turned_away,
        raw(b""),
        raw(b"HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n"),
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        raw(b"\x16\x03rubbish\r\n\r\n"),
        raw(b"HTTP/1.1 200 OK\r\n\r\nno length: cut or whole?"),
        raw(b"HTTP/1.1 102 x\r\n\r\n" * 50),
        raw(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"8000\r\n%s\r\n" % (b"x" * 0x8000) * 40
        ),
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        raw(b"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"),
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + b"X-Many: 1\r\n" * 5000 + b"\r\n"),
        # From here on the connection is left open and nothing more is sent.
        lambda request: request.wfile.write(b"HTTP/1.1 200 OK\r\nX-Never: e"),
        lambda request: request.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        lambda request: request.wfile.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"
        ),
        lambda request: request.wfile.write(b"\0\1noise" * 10),
    ],
)
def test_attempt_that_may_have_run_is_retried_only_for_a_keyed_request(tmp_path, bad, kind):
    turns = iter([bad, good])
    with started(
        tmp_path, *(Upstream(lambda request: next(turns)(request)) for _ in range(2))
    ) as deployment:
        again = kind == "settle" or bad is turned_away
        assert getattr(deployment, kind)().status == (200 if again else 502)
        assert len(deployment.met()) == 1 + again


def test_interim_responses_are_skipped(tmp_path):
    both = raw(b"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    with started(tmp_path, Upstream(both)) as deployment:
        assert deployment.charge().body == b"ok"


def test_refused_connection_is_retried_at_another_upstream(tmp_path):
    gone, works = Upstream(good, free(socket.SOCK_STREAM)[1]), Upstream(good)
    gone.stop()  # its port refuses connections and stays reserved
    with started(tmp_path, works) as deployment:
        deployment.discovery.change(gone.entry("s-gone"))
        until(lambda: deployment.log_contains("ready=2"))
        assert [deployment.charge().status for _ in range(10)] == [200] * 10


def test_connect_timeout_is_retried_at_another_upstream(tmp_path):
    with socket.socket() as vanished, started(tmp_path, Upstream(good)) as deployment:
        vanished.bind(("127.0.0.1", 0))
        vanished.listen(0)
        # Fills the backlog.
        deployment.clients.append(socket.create_connection(vanished.getsockname()))
        deployment.discovery.change(
            deployment.upstreams[0].entry("s-1") | {"dial": "%s:%d" % vanished.getsockname()}
        )
        until(lambda: deployment.list_update_count() == 2)
        assert [deployment.charge().status for _ in range(6)] == [200] * 6


@pytest.mark.parametrize("pressure", ["", "x", "served_ps=nan", "served_ps=1e999,,=", "\x01;\xff"])
def test_invalid_load_report_is_ignored(tmp_path, pressure):
    with started(
        tmp_path, Upstream(lambda request: request.reply(200, b"ok", X_Pressure=pressure))
    ) as deployment:
        assert [deployment.charge().body for _ in range(3)] == [b"ok"] * 3


def test_surplus_bytes_are_not_taken_for_the_next_response(tmp_path):
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
    two = Upstream(lambda request: request.wfile.write(response + b"mine" + response + b"none"))
    with started(tmp_path, two) as deployment:
        assert [deployment.charge().body for _ in range(3)] == [
            b"mine"
        ] * 3 and deployment.upstreams[0].opened == 3


def test_silent_upstream_is_awaited_until_the_deadline(tmp_path):
    with started(tmp_path, Upstream(silent)) as deployment:
        began = time.monotonic()
        assert deployment.charge(X_Remaining="1").status == 502
        assert 0.7 < time.monotonic() - began < 1.2  # with a lagging event loop up to 0.2 s early
        assert len(deployment.met()) == 1 and until(lambda: deployment.met()[0].gone)


@pytest.mark.parametrize("remaining, status", [("0", 504), ("-1.5", 504), ("0.004", 504)])
def test_expired_request_is_rejected_and_not_sent(tmp_path, remaining, status):
    with started(tmp_path, Upstream(good)) as deployment:
        assert deployment.charge(X_Remaining=remaining).status == status and not deployment.met()


def test_request_without_a_ready_upstream_is_rejected_with_retry_after(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        deployment.discovery.change(deployment.upstreams[0].entry("s-0", "draining"))
        until(lambda: deployment.log_contains("draining=1"))
        began, response = time.monotonic(), deployment.charge()
        assert response.status == 503 and float(response.headers["Retry-After"]) > 0
        assert time.monotonic() - began < 1.0 and not deployment.met()


def test_attempt_is_cancelled_when_its_client_leaves(tmp_path):
    with started(tmp_path, Upstream(silent)) as deployment:
        deployment.raw(f"{HEAD}X-Txn: 1\r\nX-Remaining: 3\r\nContent-Length: 0\r\n\r\n".encode())
        until(deployment.met)
        deployment.clients[-1].close()
        until(lambda: deployment.met()[0].gone)


def test_draining_upstream_finishes_its_requests_and_gets_no_new_ones(tmp_path):
    held = []
    slow, other = Upstream(held.append), Upstream(good)

    def wait(request):
        held.append(request)
        until(lambda: request in slow.let_go)
        good(request)

    slow.behave, slow.let_go = wait, []
    with started(tmp_path, slow) as deployment:
        client = deployment.client()
        client.request("POST", "/charge", b"{}", {"X-Txn": "1", "X-Remaining": "3"})
        until(lambda: held)
        deployment.discovery.change(slow.entry("s-0", "draining"), other.entry("s-1"))
        until(lambda: deployment.log_contains("draining=1"))
        assert [deployment.charge().status for _ in range(5)] == [200] * 5 and len(other.met) == 5
        slow.let_go.append(held[0])
        assert client.getresponse().status == 200 and len(held) == 1
        deployment.discovery.change(slow.entry("s-0", "removed"))
        until(lambda: deployment.list_update_count() == 3)
        assert deployment.charge().status == 200 and len(other.met) == 6
        other.stop()


def test_restarted_upstream_gets_new_connections(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        deployment.charge()
        deployment.discovery.change(deployment.upstreams[0].entry("s-0", born_ms=1_000))
        until(lambda: deployment.list_update_count() == 2)
        assert deployment.charge().status == 200 and deployment.upstreams[0].opened == 2


def test_upstream_with_a_new_address_is_reached_there(tmp_path):
    new = Upstream(good)
    with started(tmp_path, Upstream(good)) as deployment:
        deployment.charge()
        deployment.discovery.change(new.entry("s-0"))
        until(lambda: deployment.list_update_count() == 2)
        assert deployment.charge().status == 200 and len(new.met) == 1
    new.stop()


def test_known_list_is_used_while_discovery_is_down(tmp_path):
    upstream, down = Upstream(good), Upstream(silent)
    with started(tmp_path, upstream, known=[upstream.entry("s-0")]) as deployment:
        deployment.discovery.stop()
        deployment.discovery.hang_up()
        until(lambda: deployment.log_contains("discovery_disconnected"))
        assert deployment.charge().status == 200
    down.stop()


def test_lost_watch_is_reopened_from_the_last_sequence_number(tmp_path):
    other = Upstream(good)
    with started(tmp_path, Upstream(good)) as deployment:
        deployment.discovery.change(deployment.upstreams[0].entry("s-0"))
        until(lambda: deployment.list_update_count() == 2)
        deployment.discovery.hang_up()
        until(lambda: deployment.discovery.asked[-1] == "/discovery/hosts?watch=1&from=2")
        deployment.discovery.change(other.entry("s-1"))
        until(lambda: deployment.log_contains("ready=2"))
    other.stop()


def test_reload_changes_the_discovery_address_and_keeps_requests_and_connections(
    tmp_path,
):
    told, other = [], Upstream(good)
    slow = Upstream(lambda request: until(lambda: told) and good(request))
    moved = Discovery(slow.entry("s-0"))
    with started(tmp_path, slow) as deployment:
        client = deployment.client()
        client.request("POST", "/charge", b"{}", {"X-Txn": "1", "X-Remaining": "3"})
        until(deployment.met)
        for text in [
            None,
            "{",
            json.dumps(deployment.given | {"discovery": "nowhere"}),
            json.dumps(deployment.given | {"discovery": moved.dial}),
        ]:
            deployment.file.unlink(missing_ok=True)
            if text is not None:
                deployment.file.write_text(text)
            lines = deployment.log.read_text().count("event=configur")
            deployment.process.send_signal(signal.SIGHUP)
            until(lambda: deployment.log.read_text().count("event=configur") > lines)
        until(lambda: "/discovery/hosts?watch=1&from=1" in moved.asked)
        deployment.discovery.hang_up()
        moved.change(other.entry("s-1"))
        until(lambda: deployment.log_contains("ready=2"))
        told.append("go on")
        assert (
            client.getresponse().status == 200 and len(deployment.met()) == 1 and slow.opened == 1
        )
        assert deployment.log.read_text().count(
            "configuration_rejected"
        ) == 3 and deployment.log_contains("discovery: 'nowhere'")
        deployment.process.send_signal(signal.SIGTERM)
        until(lambda: deployment.log_contains("event=stopping"))
        deployment.process.send_signal(signal.SIGHUP)
        assert deployment.process.wait(LIMIT) == 0
    moved.stop()
    other.stop()


def test_silent_watch_is_reopened(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        deployment.discovery.beat = 60.0
        until(lambda: len(deployment.discovery.asked) == 2)
        deployment.discovery.hang_up()


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b'{"seq":9,"whole":true}',
        b'{"seq":9,"whole":true,"hosts":[{}]}',
        b'{"seq":9,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"odd"}]}',
        b'{"seq":9,"whole":true,"hosts":[{"host":"s-0","dial":"nowhere","health":"up"}]}',
        b'{"seq":0,"whole":false,"hosts":[]}',
        b"\xff\xfe",
    ],
)
def test_invalid_document_keeps_the_last_list_and_the_whole_list_is_fetched(tmp_path, line):
    with started(tmp_path, Upstream(good)) as deployment:
        until(lambda: "/discovery/hosts?watch=1&from=0" in deployment.discovery.asked)
        asked = len(deployment.discovery.asked)
        deployment.discovery.say(line)
        until(lambda: "/discovery/hosts" in deployment.discovery.asked[asked:])
        assert deployment.charge().status == 200


@pytest.mark.parametrize(
    "data, status",
    [
        ("rubbish\r\n\r\n", 400),
        ("POST /charge HTTP/1.1\r\n\r\n", 400),
        (HEAD + "X-Remaining: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Remaining: soon\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Remaining: inf\r\nContent-Length: 0\r\n\r\n", 400),
        (
            HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nIdempotency-Key: 2\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nX-Lane: settle\r\nContent-Length: 0\r\n\r\n", 404),
        (
            HEAD.replace("charge", "settle")
            + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (
            HEAD.replace("charge", "none")
            + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n",
            404,
        ),
        (HEAD.replace("POST", "GET") + "X-Txn: 1\r\nX-Remaining: 1\r\n\r\n", 405),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 70000\r\n\r\n" + "x" * 70000, 413),
        (HEAD + "X-Txn: 1\r\nX-Long: " + "x" * 70000 + "\r\n\r\n", 431),
        (
            HEAD
            + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 0\r\n"
            + "X-Many: 1\r\n" * 5000
            + "\r\n",
            431,
        ),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1_0\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Txn: 2\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (
            HEAD
            + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + HEAD
            + "X-Txn: 2\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (
            HEAD.replace("1.1", "1.0")
            + "X-Txn: 1\r\nX-Remaining: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            HEAD.replace("1.1", "3.0") + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n",
            505,
        ),
        (HEAD + "X-Txn: 1\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\n 2\r\nX-Remaining: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: -1\r\n\r\n", 400),
        (HEAD + "X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: " + "9" * 12 + "\r\n\r\n", 413),
        ("CONNECT charge HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n", 405),
    ],
)
def test_invalid_request_is_rejected_and_not_sent(tmp_path, data, status):
    with started(tmp_path, Upstream(good)) as deployment:
        response = HTTPResponse(deployment.raw(data.encode()))
        response.begin()
        assert (
            response.status == status
            and deployment.charge().status == 200
            and len(deployment.met()) == 1
        )


def test_client_that_stalls_within_a_request_gets_a_408(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        for sock in [
            deployment.raw(b"POST /charge HT"),
            deployment.raw(f"{HEAD}Content-Length: 9\r\n\r\nx".encode()),
        ]:
            assert sock.makefile("rb").read().startswith(b"HTTP/1.1 408")
        assert not deployment.met()


def test_duplicate_request_id_is_rejected(tmp_path):
    let_go = []
    with started(
        tmp_path, Upstream(lambda request: until(lambda: let_go) and good(request))
    ) as deployment:
        client = deployment.client()
        client.request("POST", "/charge", b"{}", {"X-Txn": "7", "X-Remaining": "3"})
        until(deployment.met)
        assert deployment.charge(X_Txn="7").status == 409
        let_go.append("all")
        assert client.getresponse().status == 200 and deployment.charge(X_Txn="7").status == 409
        assert len(deployment.met()) == 1


def test_silent_and_flooding_clients_are_closed_and_others_are_served(tmp_path):
    with started(tmp_path, Upstream(good), sockets={"sockets": 64}) as deployment:
        began = time.monotonic()
        silent = [deployment.raw() for _ in range(60)]  # more than the limit
        assert [deployment.charge().status for _ in range(5)] == [200] * 5
        sock = deployment.raw(
            f"{HEAD}X-Txn: 1\r\nX-Remaining: 1\r\nContent-Length: 60000000\r\n\r\n".encode()
        )
        with pytest.raises(OSError):
            for _ in range(1000):
                sock.sendall(b"x" * 60_000)
        assert all(sock.recv(1) == b"" for sock in silent) and time.monotonic() - began < 3


def test_idle_clients_are_closed_before_they_exhaust_the_descriptors(tmp_path):
    with started(tmp_path, Upstream(good), sockets={"sockets": 256}) as deployment:
        stay = [deployment.client() for _ in range(80)]  # they may hold 85
        responses = [deployment.charge(client=client) for client in stay]
        assert {response.status for response in responses} == {200}
        assert sum(response.headers["Connection"] == "close" for response in responses) > 10
        began = time.monotonic()
        assert all(client.sock is None or client.sock.recv(1) == b"" for client in stay)
        assert time.monotonic() - began < 4


def test_more_clients_than_descriptors_are_served_in_turn(tmp_path):
    with started(tmp_path, Upstream(good), sockets={"sockets": 64}) as deployment:
        # Each on a connection that the client keeps open.
        responses = [deployment.charge() for _ in range(100)]
        assert {response.status for response in responses} <= {200, 503} and responses[
            0
        ].status == 200
        assert all(
            float(response.headers["Retry-After"]) > 0
            for response in responses
            if response.status == 503
        )
        until(lambda: deployment.charge().status == 200)


def test_clients_with_a_request_get_a_response_at_the_descriptor_limit(tmp_path):
    let_go = []
    request = HEAD + "X-Txn: %d\r\nX-Remaining: 3\r\nContent-Length: 0\r\n\r\n"
    slow = Upstream(lambda request: until(lambda: let_go) and good(request))
    with started(tmp_path, slow, sockets={"sockets": 64}) as deployment:
        # More than the limit.
        asked = [deployment.raw((request % n).encode()).makefile("rb") for n in range(40)]
        turned_back = until(lambda: deployment.met()) and [file.readline() for file in asked[-5:]]
        let_go.append("all")
        lines = turned_back + [file.readline() for file in asked[:-5]]
        assert {line.split()[1] for line in lines} == {b"200", b"503"}


def test_stopping_process_serves_connected_clients_and_exits_in_time(
    tmp_path,
):
    told = []
    with started(
        tmp_path, Upstream(lambda request: until(lambda: told) and good(request))
    ) as deployment:
        first, stays = deployment.client(), deployment.client()
        first.request("POST", "/charge", b"{}", {"X-Txn": "1", "X-Remaining": "3"})
        until(deployment.met)
        deployment.process.send_signal(signal.SIGTERM)
        until(lambda: deployment.log_contains("event=stopping"))
        began, served = time.monotonic(), 0
        told.append("to stop")
        assert first.getresponse().status == 200 and deployment.ask("GET", "/up").status == 503
        with suppress(OSError, HTTPException):  # closed between two requests at last
            while deployment.charge(client=stays, X_Remaining="3").status == 200:
                served += 1
        # The longest timeout is 4 s, which counts for 3: it may be killed 3.7 s after the signal.
        assert served > 50 and time.monotonic() - began > 2.5
        assert deployment.process.wait(LIMIT) == 0 and time.monotonic() - began < 3.7


def test_stopping_process_without_clients_exits_soon(tmp_path):
    with started(tmp_path, Upstream(good)) as deployment:
        for client in deployment.clients:
            client.close()
        deployment.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        assert deployment.process.wait(LIMIT) == 0 and time.monotonic() - began < 2


def new_process(spec):
    """Create a balancer that runs in the test's process."""
    return Process(spec, Http1Transport(), lambda: spec, kept_till_restart)


def only_pool(process):
    """Return the process's only pool."""
    return process.pools["all"]


@contextmanager
def stopped_deployment(folder, *upstreams):
    """Yield a configuration and a listener for a balancer that runs in the test's process."""
    with started(folder, *upstreams) as deployment:
        config = read(deployment.environment)
        deployment.process.kill()
        deployment.process.wait()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(config.listen[0])
            listener.listen()
            listener.setblocking(False)
            yield config, listener


def test_finished_requests_are_freed_without_the_garbage_collector(tmp_path):
    request = f"{HEAD}X-Txn: 1\r\nX-Remaining: 0.5\r\nContent-Length: 0\r\n\r\n".encode()

    async def scenario(config, listener):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(new_process(config).serve, [listener])
            async with await anyio.connect_tcp(*config.listen[0]) as client:
                gc.disable()
                try:
                    with anyio.fail_after(LIMIT):
                        await client.send(request)
                        assert (await client.receive()).startswith(b"HTTP/1.1 200")
                        while any(
                            isinstance(thing, (HttpRequest, HttpAttempt))
                            for thing in gc.get_objects()
                        ):
                            await anyio.sleep(0.02)
                finally:
                    gc.enable()
            task_group.cancel_scope.cancel()

    with stopped_deployment(tmp_path, Upstream(good)) as (config, listener):
        anyio.run(scenario, config, listener)


def test_counts_of_attempts_agree_with_the_sockets_and_return_to_zero(tmp_path):
    ways = cycle([good, silent, error, reset, raw(b"noise\r\n\r\n"), turned_away, silent])
    banks = [Upstream(lambda request: next(ways)(request)) for _ in range(3)]

    async def scenario(config, listener):
        balancer, pictures = new_process(config), []
        pool = only_pool(balancer)

        async def client(number):
            kind = ("charge", "settle")[number % 2]
            key = f"Idempotency-Key: {number}\r\n" * (number % 2)
            request = HEAD.replace("charge", kind) + f"X-Txn: {number}\r\nX-Remaining: 0.6\r\n{key}"
            async with await anyio.connect_tcp(*config.listen[0]) as stream:
                await stream.send(f"{request}Content-Length: 2\r\n\r\n{{}}".encode())
                if number % 5:  # each fifth disconnects at once
                    await stream.receive()
            split = pool.policy.selector
            pictures.append(
                (
                    sum(seen.in_flight for seen in split.ready),
                    split.in_flight,
                    pool.count_in_flight(),
                )
            )

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(balancer.serve, [listener])
            with anyio.fail_after(LIMIT):
                while not balancer.ready():
                    await anyio.sleep(0.01)
                async with anyio.create_task_group() as clients:
                    for number in range(40):
                        clients.start_soon(client, number)
                while (
                    balancer.ids or balancer.frontends[0].clients or pool.policy.selector.in_flight
                ):
                    await anyio.sleep(0.01)
            assert all(seen == total == sockets for seen, total, sockets in pictures)
            assert (pool.in_flight, len(balancer.frontends[0].new_clients)) == (0, 0)
            budget = pool.budget
            assert (budget.requests.used, budget.bodies.used, budget.request_bytes.used) == (
                0,
                0,
                0,
            )
            assert pool.count_in_flight() == 0 and all(
                seen.in_flight == 0 for seen in pool.policy.selector.ready
            )
            task_group.cancel_scope.cancel()

    with stopped_deployment(tmp_path, *banks) as (config, listener):
        anyio.run(scenario, config, listener)


def test_event_loop_lag_shortens_deadlines_and_sheds_requests():
    process = new_process(read({"BALANCER_CONFIG": "example/config.json"}))
    balancer, pool = process.loop, only_pool(process)

    def turned_back():
        return process.frontends[0].rejects(pool) or pool.budget.requests.release()

    at, at_ease = balancer.clock(), balancer.deadline_margin()
    balancer.clock = lambda: at
    balancer.record_lag(SECOND // 25)
    assert balancer.deadline_margin() == at_ease + 2 * SECOND // 25 and not turned_back()
    for _ in range(100):
        at += SECOND // 5
        balancer.record_lag(SECOND)
    part = sum(bool(turned_back()) for _ in range(1000))
    # Never all: rejected requests are retried at once.
    assert balancer.deadline_margin() < SECOND // 2 and 800 < part < 1000
    for _ in range(100):
        at += SECOND // 5
        balancer.record_lag(0)
    at += 5 * SECOND
    balancer.record_lag(0)
    assert balancer.deadline_margin() == at_ease and not any(turned_back() for _ in range(100))


def test_exception_in_the_policy_fails_only_its_request(tmp_path, monkeypatch):
    monkeypatch.setattr(log, "invariant", lambda holds, what: None)  # as in release builds

    async def scenario(config, listener):
        balancer = new_process(config)
        only_pool(balancer).policy.on_request = lambda request: 1 / 0
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(balancer.serve, [listener])
            async with await anyio.connect_tcp(*config.listen[0]) as client:
                for number in range(2):
                    request = (
                        f"{HEAD}X-Txn: {number}\r\nX-Remaining: 0.5\r\nContent-Length: 0\r\n\r\n"
                    )
                    await client.send(request.encode())
                    with anyio.fail_after(LIMIT):
                        assert (await client.receive()).startswith(b"HTTP/1.1 502")
            task_group.cancel_scope.cancel()

    with stopped_deployment(tmp_path, Upstream(good)) as (config, listener):
        anyio.run(scenario, config, listener)
