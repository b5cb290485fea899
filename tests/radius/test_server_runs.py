"""Tests what becomes of records that are out at a RADIUS server when its process ends.

The balancer runs in the test's event loop, and the test says when a packet is due to be sent again.
"""

import dataclasses
import socket

import pytest

from tests.radius.test_endings import SERVER_SECRET, running
from tests.radius.test_radius import SECRET
from whinpier import log
from whinpier.__main__ import bind_socket
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome, UpstreamState
from whinpier.radius import client as radius_client
from whinpier.radius import identifiers
from whinpier.radius.refused_datagrams import read_refused
from whinpier.testbed import files
from whinpier.testbed.radius import record as record_packet
from whinpier.testbed.radius import response

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("radius")]

STARTED = 1_700_000_000 * SECOND


class Story:
    """One record that is out at the server, and the run of the server that has it."""

    def __init__(self, harness):
        self.harness = harness
        self.pool = harness.process.pools["acct"]
        self.endpoint = self.pool.endpoints["r0"]

    async def send(self, over="udp", pool="acct"):
        """Have a record reach the server, and keep the attempt."""
        self.client = self.harness.client(over)
        self.packet = self.harness.send(self.client)
        self.data, self.source = await self.harness.receive(self.harness.server)
        self.endpoint = self.harness.process.pools[pool].endpoints["r0"]
        [self.sending] = self.endpoint.waiting.values()

    def end_server(self):
        """End the server's process: its port is closed."""
        self.address = self.harness.server.getsockname()
        self.harness.server.close()

    def start_server(self):
        """Start a new process at the address of the one that ended."""
        self.harness.server = bind_socket(socket.SOCK_DGRAM, self.address)
        self.harness.sockets.append(self.harness.server)

    def listed(self, **changed):
        """Return the server as a list has it."""
        return dataclasses.replace(self.pool.spec.known[0], **changed)

    async def refuse(self):
        """Have the port refuse another record."""
        refused = log.counters["radius_refused"]
        self.harness.send(self.harness.client("udp"))
        await self.harness.until(lambda: log.counters["radius_refused"] > refused)

    async def list_new_start(self):
        """Have the list tell a new start."""
        self.pool.update_endpoints([self.listed(started=STARTED)], False)

    async def list_drops_it(self):
        """Have the list drop the server."""
        self.pool.update_endpoints([self.listed(state=UpstreamState.REMOVED)], False)

    async def list_drops_it_and_brings_it_back(self):
        """Have the list drop the server and name it again, without a time of its start."""
        await self.list_drops_it()
        self.pool.update_endpoints([self.listed()], False)

    async def file_has_new_start(self):
        """Have a reload tell a new start."""
        [upstream] = self.harness.tables["pools"]["acct"]["upstreams"]
        upstream["started_ms"] = STARTED // 10**6
        await self.harness.process.reload()

    async def repeat(self):
        """Have the packet be due again; return whether the server got it."""
        self.endpoint.transmit(self.sending)
        return not self.harness.server_has_nothing()


SIGNS = [
    Story.refuse,
    Story.list_new_start,
    Story.list_drops_it,
    Story.list_drops_it_and_brings_it_back,
    Story.file_has_new_start,
]


@pytest.mark.parametrize("over", ["udp", "tcp"])
@pytest.mark.parametrize("sign", SIGNS, ids=lambda sign: sign.__name__)
async def test_record_is_not_sent_to_the_next_run_of_its_server(tmp_path, sign, over):
    """Guards against a second run of a record at a server that was started anew."""
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send(over)
        story.end_server()
        await sign(story)
        story.start_server()
        assert not await story.repeat()


async def test_record_lost_on_the_way_is_sent_again_to_the_same_run(tmp_path):
    """Guards against a mend that sends nothing again."""
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        assert await story.repeat()
        assert await harness.receive(harness.server) == (story.data, story.source)
        harness.server.sendto(response(story.data, SERVER_SECRET, []), story.source)
        await harness.receive(story.client)


async def test_refusal_that_is_not_read_yet_ends_the_run_too(tmp_path):
    """Guards against a packet that is due in the same round of the loop as the refusal."""
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        story.end_server()
        story.sending.sock.send(b"refused")
        story.start_server()
        assert not await story.repeat()


async def test_refusal_on_one_socket_ends_the_run_for_all_of_them(tmp_path, monkeypatch):
    """Guards against records that are out on another socket than the one that was refused."""
    monkeypatch.setattr(identifiers, "EACH", 1)
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        story.end_server()
        await story.refuse()
        story.start_server()
        assert len(story.endpoint.sockets) > 1 and not await story.repeat()


@pytest.mark.parametrize("sign", [Story.refuse, Story.list_new_start], ids=lambda s: s.__name__)
async def test_sign_in_one_pool_holds_for_the_other_pools_of_the_server(tmp_path, sign):
    """Guards against records that another pool has out at the same process."""
    async with running(tmp_path, retransmit=9.0) as harness:
        harness.tables["pools"]["other"] = harness.tables["pools"]["acct"]
        harness.tables["radius"]["routes"] = [{"name": "all", "pool": "other"}]
        await harness.process.reload()
        story = Story(harness)
        await story.send(pool="other")
        harness.tables["radius"]["routes"] = [{"name": "all", "pool": "acct"}]
        await harness.process.reload()
        story.end_server()
        await sign(story)
        story.start_server()
        assert not await story.repeat()


async def test_rerunnable_record_is_sent_to_the_next_run(tmp_path):
    """Guards against a loss of records that may run twice."""
    async with running(tmp_path, kind="rerunnable", retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        story.end_server()
        await story.refuse()
        story.start_server()
        assert await story.repeat()


async def test_record_that_a_closed_port_refused_is_served_by_another_server(tmp_path):
    """Guards against silence for records that no process can have got."""
    async with running(tmp_path, retransmit=9.0) as harness:
        other = bind_socket(socket.SOCK_DGRAM, ("127.0.0.1", 0))
        harness.sockets.append(other)
        story = Story(harness)
        story.end_server()
        harness.tables["pools"]["acct"]["upstreams"] += files.upstreams(
            {"r1": harness.address(other)}
        )
        await harness.process.reload()
        harness.server = other
        for _ in range(8):
            client = harness.client("udp")
            await harness.serve(client, harness.send(client))
        assert not story.endpoint.waiting


async def test_refusal_that_quotes_too_little_leaves_no_record_to_another_server(
    tmp_path, monkeypatch
):
    """Guards against a second run where it is not known which datagram was refused."""
    monkeypatch.setattr(
        radius_client, "read_refused", lambda sock: [one[:8] for one in read_refused(sock)]
    )
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        story.end_server()
        await story.refuse()
        assert len(story.endpoint.waiting) == 2
        assert all(one.run_has_ended for one in story.endpoint.waiting.values())


async def test_packet_that_a_full_buffer_held_up_does_not_go_to_a_server_that_drains(tmp_path):
    """Guards against new work for a server that the list has taken out meanwhile."""
    async with running(tmp_path, retransmit=9.0) as harness:
        story = Story(harness)
        await story.send()
        story.sending.sent_count = 0  # as if the system had not taken it
        story.pool.update_endpoints([story.listed(state=UpstreamState.DRAINING)], False)
        assert not await story.repeat()
        assert not story.endpoint.waiting and story.sending.outcome == Outcome.NOT_SENT


def test_the_error_queue_names_the_datagram_that_was_refused():
    """Guards against a refusal that is taken for one of another packet."""
    server = bind_socket(socket.SOCK_DGRAM, ("127.0.0.1", 0))
    address = server.getsockname()
    packets = [record_packet(number, SECRET) for number in range(2)]
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        radius_client.queue_errors(sock)
        sock.connect(address)
        sock.send(packets[0])
        server.close()
        sock.send(packets[1])
        assert read_refused(sock) == [packets[1][:20]] and read_refused(sock) == []
