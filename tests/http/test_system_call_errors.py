"""Tests that errors of system calls cost at most the connection they are of, and no answer.

The errors are those that accept(2), socket(2), connect(2), recv(2) and send(2) document.
"""

import errno
import os
import socket

import anyio
import pytest

from tests.http.test_endings import OK_RESPONSE, request, running_harness
from whinpier.http import buffers

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("sockets")]

TIMES = 3  # that a call fails


def failing(real, code, applies, times=TIMES):
    """Return a call that fails with an error, so many times, where it applies to its arguments."""
    left = [times]

    def call(*arguments, **options):
        if left[0] and applies(*arguments):
            left[0] -= 1
            raise OSError(code, os.strerror(code))
        return real(*arguments, **options)

    return call


def balancers_sockets(harness):
    """Return the sockets of the balancer's own connections."""
    connections = [*harness.frontend.clients]
    for endpoint in harness.pool.all_endpoints():
        connections += endpoint.connections
    return {connection.sock for connection in connections}


async def serve_one(harness):
    client = harness.client(request())
    upstream, _ = await harness.accept_attempt()
    upstream.sendall(OK_RESPONSE)
    return (await harness.read(client, b"done")).partition(b"\r\n")[0]


@pytest.mark.parametrize(
    "code",
    [
        *(errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH),
        *(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    ],
)
async def test_clients_are_accepted_after_accept_has_failed_for_a_moment(code, monkeypatch):
    async with running_harness() as harness:
        accept = failing(socket.socket.accept, code, lambda sock: sock is harness.listener)
        monkeypatch.setattr(socket.socket, "accept", accept)
        assert await serve_one(harness) == b"HTTP/1.1 200 OK"


async def test_clients_are_accepted_after_the_wait_for_them_has_failed(monkeypatch):
    # Guards against an error of the event loop's own registration that ends the process.
    wait = anyio.wait_readable
    async with running_harness() as harness:
        waited = failing(wait, errno.ENOMEM, lambda sock: sock is harness.listener)
        monkeypatch.setattr(anyio, "wait_readable", waited)
        harness.client()  # ends the wait that has begun
        await harness.until(lambda: harness.accepted == 1)
        assert await serve_one(harness) == b"HTTP/1.1 200 OK"


@pytest.mark.parametrize("code", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
async def test_request_is_answered_and_nothing_leaks_where_no_socket_can_be_made(code, monkeypatch):
    async with running_harness(2) as harness:
        create = failing(buffers.create_tcp_socket, code, lambda: True, 100)
        monkeypatch.setattr(buffers, "create_tcp_socket", create)
        client = harness.client(request())
        assert (await harness.read(client, b"turned back\n")).startswith(b"HTTP/1.1 503")
        assert harness.pool.budget.connections.used == 0 == harness.pool.count_in_flight()


@pytest.mark.parametrize(
    "code", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ETIMEDOUT, errno.EPERM]
)
async def test_request_goes_elsewhere_where_connecting_fails(code, monkeypatch):
    async with running_harness(2) as harness:
        failed = harness.upstreams[0].getsockname()
        connect = socket.socket.connect_ex
        monkeypatch.setattr(
            socket.socket,
            "connect_ex",
            lambda sock, address: code if address == failed else connect(sock, address),
        )
        clients = [harness.client(request()) for _ in range(3)]
        upstream, _ = await harness.accept_attempt(1)
        upstream.sendall(OK_RESPONSE)
        for _ in clients[1:]:
            other, _ = await harness.accept_attempt(1)
            other.sendall(OK_RESPONSE)
        for client in clients:
            assert (await harness.read(client, b"done")).startswith(b"HTTP/1.1 200")


async def test_interrupted_connecting_goes_on(monkeypatch):
    connect = socket.socket.connect_ex

    def interrupted(sock, address):
        connect(sock, address)
        return errno.EINTR

    async with running_harness() as harness:
        client = socket.create_connection(harness.listener.getsockname())
        monkeypatch.setattr(socket.socket, "connect_ex", interrupted)
        client.sendall(request())
        client.setblocking(False)
        harness.sockets.append(client)
        upstream, _ = await harness.accept_attempt()
        upstream.sendall(OK_RESPONSE)
        assert (await harness.read(client, b"done")).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("call", ["recvmsg_into", "recv_into", "send"])
@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOBUFS, errno.ENOMEM])
async def test_connection_goes_on_after_a_call_that_failed_for_a_moment(call, code, monkeypatch):
    async with running_harness() as harness:
        failed = failing(
            getattr(socket.socket, call), code, lambda sock, *_: sock in balancers_sockets(harness)
        )
        monkeypatch.setattr(socket.socket, call, failed)
        assert await serve_one(harness) == b"HTTP/1.1 200 OK"
        assert harness.attempts_started() == 1


async def test_messages_are_whole_where_each_call_takes_a_few_bytes(monkeypatch):
    send, recv_into, recvmsg_into = (
        socket.socket.send,
        socket.socket.recv_into,
        socket.socket.recvmsg_into,
    )

    async with running_harness() as harness:

        def send_few(sock, data, *flags):
            return send(sock, data[:7] if sock in balancers_sockets(harness) else data, *flags)

        def receive_few(sock, buffer, size=0, *flags):
            size = min(size, 5) if sock in balancers_sockets(harness) else size
            return recv_into(sock, buffer, size, *flags)

        def receive_few_stamped(sock, parts, *sizes):
            return recvmsg_into(sock, [parts[0][:5]], *sizes)

        monkeypatch.setattr(socket.socket, "send", send_few)
        monkeypatch.setattr(socket.socket, "recv_into", receive_few)
        monkeypatch.setattr(socket.socket, "recvmsg_into", receive_few_stamped)
        assert await serve_one(harness) == b"HTTP/1.1 200 OK"


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
async def test_broken_connection_after_an_unsafe_request_is_no_reason_to_send_it_again(
    code, monkeypatch
):
    async with running_harness() as harness:
        client = harness.client(request())
        upstream, _ = await harness.accept_attempt()
        (connection,) = harness.pool.endpoints["s-0"].connections
        broken = failing(socket.socket.recv_into, code, lambda sock, *_: sock is connection.sock)
        monkeypatch.setattr(socket.socket, "recv_into", broken)
        upstream.sendall(OK_RESPONSE)
        assert (await harness.read(client, b"not fulfilled\n")).startswith(b"HTTP/1.1 502")
        assert harness.attempts_started() == 1
