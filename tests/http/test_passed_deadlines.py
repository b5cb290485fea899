"""Tests that an upstream is told no more time than the client has left, with the platform's slack.

A client's time counts from when it has sent its request, whenever the balancer comes to read it.
"""

import signal
import time

import pytest

from example.echo_upstreams import Upstream
from tests.http.test_sockets import HEAD, ids, started
from tests.waiting import until

pytestmark = pytest.mark.xdist_group("sockets")

WAIT_S = 1.5
SLACK_S = 0.15


def slow(request):
    time.sleep(0.7)
    request.reply(200, b"done")


def message(padding=b""):
    """Return a request of a client that waits for WAIT_S."""
    pad = b"X-Pad: %s\r\n" % padding if padding else b""
    head = f"{HEAD}X-Txn: d{next(ids):x}\r\nX-Remaining: {WAIT_S}\r\n".encode()
    return head + pad + b"Content-Length: 2\r\n\r\n{}"


def told(request):
    return float(request.headers["X-Remaining"])


@pytest.mark.parametrize("padding", [b"", b"x" * 12_000], ids=["read", "unread"])
def test_request_behind_another_has_the_time_that_is_left_since_it_was_sent(tmp_path, padding):
    with started(tmp_path, Upstream(slow)) as deployment:
        sent_at = time.monotonic()
        deployment.raw(message() + message(padding) + message(padding))
        until(lambda: len(deployment.met()) == 2)
        left = WAIT_S - (time.monotonic() - sent_at)
        assert told(deployment.met()[1]) <= left + SLACK_S


def test_request_that_came_while_the_process_stood_still_has_the_time_since_it_was_sent(tmp_path):
    with started(tmp_path, Upstream(slow)) as deployment:
        clients = [deployment.raw() for _ in range(5)]  # a late process refuses a tenth
        deployment.process.send_signal(signal.SIGSTOP)
        for client in clients:
            client.sendall(message())
        sent_at = time.monotonic()
        time.sleep(0.6)  # the system holds the requests
        deployment.process.send_signal(signal.SIGCONT)
        until(lambda: len(deployment.met()) >= 3)
        left = WAIT_S - (time.monotonic() - sent_at)
        assert all(told(request) <= left + SLACK_S for request in deployment.met())


def test_request_that_came_in_time_has_nearly_all_of_its_time(tmp_path):
    with started(tmp_path, Upstream(slow)) as deployment:
        deployment.raw(message())
        until(deployment.met)
        assert told(deployment.met()[0]) > WAIT_S - SLACK_S
