"""Stories of RADIUS over TCP and TLS: records in a stream, peers that lie, certificates,
duplicates.
"""

import asyncio
import datetime
import ssl
import time
from types import SimpleNamespace

import anyio
import pytest
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.radius.test_radius import SECRET, play, ran
from tests.waiting import until
from whinpier.config.model import ConfigFault
from whinpier.radius import packet as wire
from whinpier.radius.listeners import TlsSpec
from whinpier.radius.packet import BadPacket
from whinpier.radius.stream_server import Splitter, Stream
from whinpier.runtime.event_loop import EventLoop
from whinpier.testbed import files
from whinpier.testbed.process import free_address
from whinpier.testbed.radius import Behaviour, Burst, Caller, proved, record, request_packet

pytestmark = pytest.mark.xdist_group("radius")

WORK = Behaviour(delay=0.005, forgets=True)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 400), max_size=8), st.lists(st.integers(1, 300), max_size=40))
def test_packets_come_out_of_a_stream_as_they_went_in_however_it_is_cut(sizes, cuts):
    packets = [
        request_packet(number, [(40, b"\0\0\0\1"), (25, bytes(size % 250))], SECRET)
        for number, size in enumerate(sizes)
    ]
    whole, splitter, found, at = b"".join(packets), Splitter(), [], 0
    for cut in [*cuts, len(whole)]:
        found += splitter.feed(whole[at : at + cut])
        at += cut
        assert len(splitter.held) < wire.MOST
    assert found == packets and not splitter.held


@pytest.mark.parametrize("length", [0, 19, 4097, 65535])
def test_a_length_that_lies_ends_the_stream_behind_what_was_whole(length):
    splitter, good = Splitter(), record(1, SECRET)
    stream = splitter.feed(good + b"\4\1" + length.to_bytes(2, "big") + bytes(40))
    assert next(stream) == good
    with pytest.raises(BadPacket, match="a length of"):
        next(stream)


class SlowFront:
    """Takes a packet in half a millisecond, and lets a client send any number."""

    def __init__(self):
        self.loop, self.taken = EventLoop(), 0

    def allowed(self, name, most):
        return True

    def on_packet(self, stream, packet, client):
        self.taken += 1
        time.sleep(0.0005)


@pytest.mark.anyio
async def test_a_stream_of_many_packets_lets_others_run_between():
    # Guards against one turn of the event loop that takes all that a client may send in a second.
    front = SlowFront()
    stream = Stream(SimpleNamespace(front=front), 1, "127.0.0.1", 1812, None)
    stream.client = SimpleNamespace(name="a", most=2000)
    stream.transport = SimpleNamespace(pause_reading=lambda: None, resume_reading=lambda: None)
    stream.data_received(b"".join(record(number, SECRET) for number in range(100)))
    assert 0 < front.taken < 20
    with anyio.fail_after(10.0):
        while front.taken < 100:
            before = front.taken
            await anyio.sleep(0)
            assert front.taken < before + 20


def streams(tmp_path, story, *, certificates=None, **more):
    """A story with a listener of TCP, and one of TLS where there are certificates."""
    tcp, tls = free_address(), free_address()
    listeners = [{"listen": tcp}]
    if certificates:
        listeners.append({"listen": tls, **certificates})

    def place(text):
        host, _, port = text.rpartition(":")
        return host, int(port)

    async def told(servers, balancer, address, other):
        await story(
            servers, balancer, {"udp": address, "tcp": place(tcp), "tls": place(tls)}, other
        )

    play(tmp_path, [WORK], told, streams=listeners, **more)


async def paced(caller, packets):
    """Each sent once the one before is answered: more than a new server is trusted with meets silence."""
    for count, data in enumerate(packets, 1):
        caller.send(data)
        await answered(caller, count)


async def answered(caller, count):
    with anyio.fail_after(5):
        while len(caller.answers) < count:
            await anyio.sleep(0.005)


def test_a_record_over_tcp_is_answered_and_is_the_same_record_over_udp(tmp_path):
    async def story(servers, balancer, at, _):
        caller = Caller(at["tcp"], SECRET)
        await caller.open()
        await paced(caller, [record(number, SECRET) for number in range(40)])
        burst = Burst(at["udp"], SECRET)
        await burst.send([record(number, SECRET) for number in range(40)], 1000.0)
        await anyio.sleep(0.2)
        assert (
            len(burst.answers) == 40 and len(ran(servers)) == 40 and max(ran(servers).values()) == 1
        )
        caller.send(
            request_packet(200, [], SECRET).replace(b"\4", b"\x0c", 1)
        )  # a Status-Server's proof is another
        await asyncio.wait_for(caller.ended.wait(), 5)
        burst.close()

    streams(tmp_path, story)


def test_a_connection_that_dies_with_records_out_leaves_them_known_and_what_is_not_proved_ends_one(
    tmp_path,
):
    async def story(servers, balancer, at, _):
        servers[0].behaviour = Behaviour(delay=0.3)  # it knows the balancer's own retransmissions
        caller = Caller(at["tcp"], SECRET)
        await caller.open()
        caller.send(record(1, SECRET))
        with anyio.fail_after(5):
            while not servers[0].met:
                await anyio.sleep(0.005)
        caller.close()
        again = Caller(at["tcp"], SECRET)
        await again.open()
        again.send(
            record(1, SECRET)
        )  # in time to join, or to be given the answer: never a second run
        await answered(again, 1)
        assert ran(servers) == {"nas-1/1": 1}
        wrong = record(2, b"other")
        again.send(wrong)
        await asyncio.wait_for(again.ended.wait(), 5)
        half = Caller(at["tcp"], SECRET)
        await half.open()
        half.writer.write(record(3, SECRET)[:10])
        await asyncio.wait_for(half.ended.wait(), 8)
        await asyncio.to_thread(until, lambda: balancer.said("event=radius_slow_client"))

    streams(tmp_path, story, timeout=3.0)


def test_more_connections_than_may_be_wait_and_are_served_when_one_ends(tmp_path):
    async def story(servers, balancer, at, _):
        first = [Caller(at["tcp"], SECRET) for _ in range(3)]
        for caller in first:
            await caller.open()
            caller.send(record(1, SECRET))
            await answered(caller, 1)
        late = Caller(at["tcp"], SECRET)
        await late.open()  # by the system: nobody reads it yet
        late.send(record(2, SECRET))
        await anyio.sleep(0.2)
        assert not late.answers
        first[0].close()
        await answered(late, 1)
        for caller in (*first[1:], late):
            caller.close()

    streams(tmp_path, story, connections=3)


# TLS.


class Certificates:
    """An authority, and what it has issued, in files as an operator would have them."""

    def __init__(self, folder):
        self.folder, self.authority = folder, trustme.CA()
        self.authority.cert_pem.write_to_path(str(folder / "ca.pem"))

    def issue(self, name, **more):
        made = self.authority.issue_cert(name, **more)
        (self.folder / f"{name}.pem").write_bytes(
            b"".join(part.bytes() for part in made.cert_chain_pems)
        )
        key = self.folder / f"{name}.key"
        key.write_bytes(made.private_key_pem.bytes())
        key.chmod(0o600)
        return {
            "certificate": str(self.folder / f"{name}.pem"),
            "key": str(key),
            "authorities": str(self.folder / "ca.pem"),
        }

    def client(self, name=None):
        context = ssl.create_default_context(cafile=str(self.folder / "ca.pem"))
        if name:
            files_of = self.issue(name)
            context.load_cert_chain(files_of["certificate"], files_of["key"])
        return context


def test_over_tls_a_client_is_who_its_certificate_says_and_nobody_else_is_heard(tmp_path):
    made = Certificates(tmp_path)

    async def story(servers, balancer, at, _):
        caller = Caller(at["tls"], b"radsec", made.client("nas.partner.example"))
        await caller.open()
        await paced(
            caller,
            [
                request_packet(
                    number, [(32, b"n"), (44, b"%d" % number), (40, b"\0\0\0\1")], b"radsec", False
                )
                for number in range(20)
            ],
        )
        assert max(ran(servers).values()) == 1
        stranger = Caller(at["tls"], b"radsec", made.client("other.example"))
        await stranger.open()
        stranger.send(record(99, b"radsec"))
        await asyncio.wait_for(stranger.ended.wait(), 5)
        nobody = Caller(at["tls"], b"radsec", made.client())
        with pytest.raises((OSError, asyncio.TimeoutError, ssl.SSLError)):
            await nobody.open()
            nobody.send(record(98, b"radsec"))
            await asyncio.wait_for(nobody.ended.wait(), 5)
            raise OSError("ended")
        plain = Caller(at["tls"], b"radsec")
        await plain.open()
        plain.send(record(97, b"radsec"))
        await asyncio.wait_for(plain.ended.wait(), 8)
        assert "nas-99/1" not in ran(servers) and len(ran(servers)) == 20
        caller.close()

    streams(
        tmp_path,
        story,
        certificates=made.issue("server"),
        clients={
            "partner": {"names": ["nas.partner.example"]},
            "near": {"networks": ["127.0.0.0/8"], "secrets": ["partner"]},
        },
    )


def test_a_certificate_is_changed_under_load_and_connections_that_stand_go_on(tmp_path):
    made = Certificates(tmp_path)
    first = made.issue("server")

    async def story(servers, balancer, at, other):
        context = made.client("nas.partner.example")
        caller = Caller(at["tls"], b"radsec", context)
        await caller.open()
        serial = caller.writer.get_extra_info("peercert")["serialNumber"]
        made.issue("server")  # the same files, another certificate
        await asyncio.to_thread(balancer.reload, balancer.file.read_text())
        caller.send(record(1, b"radsec"))
        await answered(caller, 1)
        new = Caller(at["tls"], b"radsec", context)
        await new.open()
        assert new.writer.get_extra_info("peercert")["serialNumber"] != serial
        (tmp_path / "server.key").chmod(0o644)
        await asyncio.to_thread(balancer.reload, balancer.file.read_text())
        await asyncio.to_thread(until, lambda: balancer.said("radius.streams[1].key"))
        new.send(record(2, b"radsec"))
        await answered(new, 1)
        caller.close()
        new.close()

    streams(
        tmp_path, story, certificates=first, clients={"partner": {"names": ["nas.partner.example"]}}
    )


def test_files_of_tls_are_looked_at_when_they_are_read(tmp_path):
    made = Certificates(tmp_path)
    good = made.issue("server")
    TlsSpec(**good).context("at")
    yesterday = datetime.datetime.now(datetime.timezone.utc) - datetime.timedelta(days=1)
    for faulty, said in (
        (made.issue("old", not_after=yesterday), "at.certificate: .* is valid from"),
        (good | {"authorities": "/nowhere"}, "at.authorities: "),
        (good | {"key": made.issue("other")["key"]}, "at: .*"),
        (good | {"certificate": good["key"]}, "at.certificate: "),
    ):
        with pytest.raises(ConfigFault, match=said):
            TlsSpec(**faulty).context("at")
    (tmp_path / "server.key").chmod(0o640)
    with pytest.raises(ConfigFault, match="its mode must be 600"):
        TlsSpec(**good).context("at")


def test_the_stand_in_proves_what_it_is_told():
    data = record(5, SECRET)
    packet = wire.parse(data)
    assert proved(wire.answer(packet, SECRET, True), data, SECRET)
    assert not proved(wire.answer(packet, b"other", True), data, SECRET) and files.Plain
