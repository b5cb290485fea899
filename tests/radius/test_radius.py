"""Stories of RADIUS: the codec beside another one, records and retransmissions, a bad network."""

import asyncio
import json
import os
import re
import time
import tomllib
from collections import Counter, OrderedDict
from contextlib import contextmanager
from ipaddress import IPv4Address, IPv4Network
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from pyrad import packet as other
from pyrad.dictionary import Dictionary

from tests.waiting import LIMIT, until
from whinpier.cli.main import cli
from whinpier.config import fields, operator
from whinpier.config.model import ConfigFault
from whinpier.policy.decaying_sum import SECOND
from whinpier.radius import deduplication, response_cache
from whinpier.radius import packet as wire
from whinpier.radius.client_table import Clients, Routes
from whinpier.radius.identifiers import EACH, Idents
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.response_cache import MAGIC, MOST, State, StateSpec
from whinpier.radius.server import Frontend
from whinpier.radius.spec import ClientSpec, RouteSpec
from whinpier.radius.stream_server import Datagrams
from whinpier.storage.append_log import AppendLogError, read_records
from whinpier.testbed import files
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.radius import (
    Behaviour,
    Burst,
    Client,
    Server,
    Weather,
    attributes,
    proved,
    request_packet,
)
from whinpier.testbed.radius import record as record_packet

pytestmark = pytest.mark.xdist_group("radius")

SECRET = b"partner"
attribute = st.tuples(
    st.integers(1, 255).filter(lambda kind: kind != wire.MESSAGE_AUTHENTICATOR),
    st.binary(max_size=253),
)
many = st.lists(attribute, max_size=12)


# The codec.


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 255), many, st.booleans())
def test_what_is_sealed_is_proved_and_read_as_it_was(ident, pairs, sign):
    data = wire.sealed(Packet(wire.ACCOUNTING_REQUEST, ident, attributes=list(pairs)), SECRET, sign)
    packet = wire.parse(data)
    wire.check_request(packet, data, SECRET, sign)
    assert packet.id == ident and [pair for pair in packet.attributes if pair[0] != 80] == pairs
    reply = wire.answer(packet, SECRET, sign)
    wire.check_answer(wire.parse(reply), reply, packet, SECRET, sign)
    states = [pair for pair in pairs if pair[0] == wire.PROXY_STATE]
    assert [pair for pair in wire.parse(reply).attributes if pair[0] != 80] == states
    for broken in (b"other", SECRET + b"!"):
        with pytest.raises(BadPacket):
            wire.check_request(packet, data, broken, sign)
        with pytest.raises(BadPacket):
            wire.check_answer(wire.parse(reply), reply, packet, broken, sign)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.one_of(
        st.binary(max_size=64),
        st.binary(min_size=16, max_size=80).map(
            lambda tail: bytes((4, 1, 0, 4 + len(tail))) + tail
        ),
    ),
    st.integers(0, 80),
    st.integers(0, 255),
)
def test_no_bytes_do_more_than_be_refused(data, at, byte):
    good = wire.sealed(
        Packet(wire.ACCOUNTING_REQUEST, 1, attributes=[(40, b"\0\0\0\1")]), SECRET, True
    )
    changed = bytearray(good + b"padding")
    changed[at % len(good)] = byte
    for text in (data, bytes(changed)):
        try:
            packet = wire.parse(text)
            wire.check_request(packet, text, SECRET, True)
        except BadPacket:
            continue
        assert packet.code == wire.STATUS_SERVER or bytes(changed[: len(good)]) == good


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\4\1\0\x14" + bytes(15),
        b"\4\1\0\x13" + bytes(16),
        b"\4\1\0\x15" + bytes(16) + b"\1",
        b"\4\1\0\x16" + bytes(16) + b"\1\1",
        b"\4\1\0\x16" + bytes(16) + b"\1\3",
        b"\4\1\0\x16" + bytes(16) + b"\0\2",
        b"\4\1\x10\x01" + bytes(4093),
        b"\4\1\xff\xff" + bytes(70000),
    ],
)
def test_lengths_that_lie_are_refused(data):
    with pytest.raises(BadPacket):
        wire.parse(data)


def test_a_message_authenticator_that_is_missing_wrong_or_there_twice_is_refused():
    plain = wire.sealed(Packet(4, 1, attributes=[(40, b"\0\0\0\1")]), SECRET, False)
    wire.check_request(wire.parse(plain), plain, SECRET, False)
    with pytest.raises(BadPacket, match="no Message"):
        wire.check_request(wire.parse(plain), plain, SECRET, True)
    for pairs in ([(80, bytes(16))], [(80, bytes(16))] * 2, [(80, bytes(5))]):
        data = wire.sealed(Packet(4, 1, attributes=pairs), SECRET, False)
        with pytest.raises(BadPacket, match="Message"):
            wire.check_request(wire.parse(data), data, SECRET, False)


def test_another_implementation_reads_what_is_written_here_and_the_other_way(tmp_path):
    text = (
        "ATTRIBUTE User-Name 1 string\nATTRIBUTE Class 25 octets\nATTRIBUTE Proxy-State 33 octets\n"
        "ATTRIBUTE Acct-Status-Type 40 integer\nATTRIBUTE Acct-Session-Id 44 string\n"
        "ATTRIBUTE Message-Authenticator 80 octets\n"
    )
    (tmp_path / "dictionary").write_text(text)
    names = Dictionary(str(tmp_path / "dictionary"))
    theirs = other.AcctPacket(id=7, secret=SECRET, dict=names)
    theirs["User-Name"], theirs["Acct-Status-Type"], theirs["Acct-Session-Id"] = "u@home", 1, "s1"
    theirs["Proxy-State"] = b"\1\2"
    data = theirs.RequestPacket()
    packet = wire.parse(data)
    wire.check_request(packet, data, SECRET, False)
    assert (packet.first(wire.USER_NAME), packet.number(wire.STATUS_TYPE)) == (b"u@home", 1)
    reply = wire.answer(packet, SECRET, False, attributes=[(wire.CLASS, b"c")])
    assert theirs.VerifyReply(theirs.CreateReply(packet=reply), reply)
    ours = wire.sealed(Packet(4, 9, attributes=[(1, b"u"), (40, b"\0\0\0\2")]), SECRET, True)
    read = other.AcctPacket(packet=ours, secret=SECRET, dict=names)
    assert (
        read.VerifyAcctRequest() and read["User-Name"] == ["u"] and read["Acct-Status-Type"] == [2]
    )
    back = read.CreateReply()
    back.source = None
    answer = back.ReplyPacket()
    wire.check_answer(wire.parse(answer), answer, wire.parse(ours), SECRET, False)
    standin = request_packet(3, [(40, b"\0\0\0\1")], SECRET)  # and the stand-in's own
    wire.check_request(wire.parse(standin), standin, SECRET, True)


# What is one request.


def record(session=b"s1", status=1, delay=0, moment=None, nas=b"n", extra=b""):
    pairs = [
        (32, nas),
        (44, session),
        (40, status.to_bytes(4, "big")),
        (41, delay.to_bytes(4, "big")),
    ]
    pairs += [(55, moment)] * (moment is not None) + [(25, extra)] * bool(extra)
    return wire.parse(wire.sealed(Packet(4, delay, attributes=pairs), SECRET, True))


def meet(memory, packet, source=("1.1.1.1", 1), now=0, name="c"):
    key, record = deduplication.wire_key(source, packet), deduplication.record_key(packet, name)
    return memory.meet(name, key, record, deduplication.content(packet), now)


def test_a_retransmission_joins_what_is_out_and_is_given_the_same_answer_again_for_a_while():
    memory, packet = deduplication.Memory(kept=10 * SECOND), record()
    met, entry = meet(memory, packet)
    entry.request = "out"
    assert met == deduplication.NEW and meet(memory, packet) == (deduplication.JOINS, entry)
    assert (
        meet(memory, record(session=b"s2"))[0] == deduplication.NEW
    )  # same identifier, another authenticator
    assert meet(memory, packet, source=("1.1.1.1", 2))[1] is entry  # by its record
    memory.answered(entry, b"answer", SECOND)
    assert meet(memory, packet, now=5 * SECOND)[0] == deduplication.AGAIN
    assert meet(memory, packet, now=12 * SECOND)[0] == deduplication.NEW


def test_a_later_try_of_a_record_is_known_by_what_it_says_and_a_record_that_differs_is_another():
    memory, first = deduplication.Memory(), record()
    meet(memory, first)
    assert meet(memory, record(delay=5))[0] == deduplication.JOINS
    assert meet(memory, record(delay=6, extra=b"more"))[0] == deduplication.NEW
    assert meet(memory, record(delay=7, status=2))[0] == deduplication.NEW
    assert deduplication.record_key(record(status=3), "c") is None  # interim updates look alike ...
    moments = [
        deduplication.record_key(record(status=3, moment=bytes((0, 0, 0, n))), "c") for n in (1, 2)
    ]
    assert None not in moments and moments[0] != moments[1]  # ... but for their moment
    assert deduplication.record_key(record(nas=b""), "c") is None and deduplication.record_key(
        first, "d"
    ) != deduplication.record_key(first, "c")


def test_memory_is_bounded_and_nothing_is_let_go_before_its_time():
    """With answers let go to make room, 600 of 600 retransmissions ran a second time."""
    memory = deduplication.Memory(kept=10 * SECOND, most=4, clients=["c"])
    packets = [record(session=b"%d" % number) for number in range(6)]
    entries = [meet(memory, packet)[1] for packet in packets[:4]]
    for entry in entries:
        entry.request = "out"
    memory.answered(entries[1], b"a", 0)
    assert (
        meet(memory, packets[4]) == (deduplication.FULL, None)
        and meet(memory, packets[1])[0] == deduplication.AGAIN
    )
    memory.forget(9 * SECOND)
    assert meet(memory, packets[1], now=9 * SECOND)[0] == deduplication.AGAIN
    assert (
        meet(memory, packets[4], now=11 * SECOND)[0] == deduplication.NEW
    )  # the answer's time is over
    memory.forget(100 * SECOND)
    assert len(memory) == 3  # those out, not the one that nobody took up
    for entry in (entries[0], *entries[2:]):
        memory.given_up(entry)
    assert not len(memory) and not memory.parts["c"].records


def test_one_clients_flood_takes_the_common_part_and_no_other_clients():
    memory = deduplication.Memory(kept=10 * SECOND, most=80, clients=["flood", "quiet"])
    met = [meet(memory, record(session=b"%d" % number), name="flood")[0] for number in range(100)]
    assert (
        met.count(deduplication.NEW) == 60 and met[60:] == [deduplication.FULL] * 40
    )  # its own 20 and the 40 common ones
    source = ("1.1.1.2", 1)  # an address belongs to one client
    met = [
        meet(memory, record(session=b"%d" % number), source, name="quiet")[0]
        for number in range(30)
    ]
    assert met == [deduplication.NEW] * 20 + [deduplication.FULL] * 10
    memory.change(
        10 * SECOND, 80, {"quiet": SECOND}
    )  # the other was taken out: it is remembered to its end
    assert meet(memory, record(session=b"0"), name="flood")[0] == deduplication.JOINS
    memory.forget(11 * SECOND)
    assert list(memory.parts) == ["quiet"] and not len(memory)


def test_a_full_memory_costs_each_packet_the_same():
    """Every packet walked the whole table for one that was answered."""
    memory = deduplication.Memory(kept=SECOND, most=20_000, clients=["c"])
    for number in range(20_000):
        meet(memory, record_of(number))[1].request = "out"
    looked = Looked(memory.parts["c"].entries)
    memory.parts["c"].entries = looked
    for number in range(20_000, 20_200):
        assert meet(memory, record_of(number), now=5 * SECOND) == (deduplication.FULL, None)
    assert looked.moved <= 200 * deduplication.AT_ONCE


def record_of(number):
    return Packet(4, number % 256, number.to_bytes(16, "big"), [(40, b"\0\0\0\1")])


class Looked(OrderedDict):
    moved = 0

    def move_to_end(self, key, last=True):
        self.moved += 1
        super().move_to_end(key, last)


def test_a_packet_is_read_aloud_with_each_step_or_why_it_is_refused(tmp_path):
    (tmp_path / "o.toml").write_text(
        text("127.0.0.1:9000", "127.0.0.1:1813", []).replace(
            "upstreams = []", 'upstreams = [{ name = "a", address = "127.0.0.1:1" }]'
        )
    )
    good = record_packet(7, SECRET, "bsc")

    def told(data, *words):
        asked = ["radius", "explain", str(tmp_path / "o.toml"), data, "--json", *words]
        ended = CliRunner().invoke(cli, asked)
        return ended.exit_code, json.loads(ended.stdout) if ended.exit_code < 2 else ended.stderr

    code, found = told(good.hex())
    assert (
        code == 0
        and found["route"] == "all"
        and ["Acct-Session-Id", "bsc-7"] in found["attributes"]
    )
    assert [one["step"] for one in found["steps"]] == [
        "client",
        "packet",
        "proof",
        "record",
        "route",
    ]
    assert "secret 2 of 2" in found["steps"][2]["told"]
    (tmp_path / "p").write_bytes(good[:-1] + b"!")
    assert told("@" + str(tmp_path / "p"))[1]["refused"].startswith(
        "an authenticator that is wrong"
    )
    assert "in no client" in told(good.hex(), "--source", "10.1.1.1")[1]["refused"]
    assert told("04")[1]["refused"] == "shorter than a head"
    assert told("xyz")[0] == 2 and told(good.hex(), "--source", "x")[0] == 2


def test_the_command_line_sends_records_and_says_what_was_answered(tmp_path):
    (tmp_path / "secret").write_text("partner\n")
    (tmp_path / "secret").chmod(0o600)

    async def story(servers, balancer, address, _):
        target, words = "%s:%d" % address, ["--secret-file", str(tmp_path / "secret"), "--json"]
        sent = await asyncio.to_thread(
            CliRunner().invoke,
            cli,
            [
                "radius",
                "send",
                target,
                "--rate",
                "100",
                "--seconds",
                "0.5",
                "--bind",
                "127.0.0.1",
                *words,
            ],
        )
        found = json.loads(sent.output)
        assert (
            sent.exit_code == 0
            and found["answered"] == found["records"] > 20
            and found["two_ways"] == 0
        )
        sent = await asyncio.to_thread(
            CliRunner().invoke,
            cli,
            ["radius", "flood", target, "--records", "50", "--copies", "2", *words],
        )
        found = json.loads(sent.output)
        assert sent.exit_code == 0 and (found["answered"], found["answers"]) == (50, 100)
        assert max(ran(servers).values()) == 1

    play(tmp_path, [Behaviour(delay=0.001, forgets=True)], story)


@pytest.mark.parametrize(
    "pairs, why",
    [
        ([(40, b"\0\0\1")], "attribute 40 has 3 bytes"),
        ([(40, b"\0\0\0\1")] * 2, "attribute 40, which decides"),
        ([(44, b"s"), (40, b"\0\0\0\1"), (44, b"t")], "attribute 44, which decides"),
        ([(40, b"\0\0\0\1"), (44, b"")], "attribute 44 has 0"),
        ([(44, b"s")], "no Acct-Status-Type"),
        ([(40, b"\0\0\0\1"), (55, b"\1")], "attribute 55"),
        ([(40, b"\0\0\0\1"), (95, bytes(4))], "attribute 95"),
        ([(33, b"p")] * 9, "a loop"),
    ],
)
def test_a_record_that_can_be_read_two_ways_is_refused(pairs, why):
    with pytest.raises(BadPacket, match=why):
        wire.check_record(Packet(4, 1, attributes=pairs))


def test_an_answer_that_fits_in_no_packet_goes_without_what_the_server_said():
    way = Datagrams(None, ("127.0.0.1", 1), ClientSpec("c", (), (SECRET,)))
    states = [(33, bytes(253))] * 8
    asked = wire.parse(
        wire.sealed(Packet(4, 1, attributes=[(40, b"\0\0\0\1"), *states]), SECRET, True)
    )
    data = Frontend.answer_to(asked, SECRET, way, [(25, bytes(253))] * 9)
    reply = wire.parse(data)
    wire.check_answer(reply, data, asked, SECRET, True)
    assert [pair for pair in reply.attributes if pair[0] != 80] == states
    small = wire.parse(Frontend.answer_to(asked, SECRET, way, [(25, b"c")]))
    assert (25, b"c") in small.attributes


def test_identifiers_rest_after_a_time_out_and_none_is_given_twice():
    idents = Idents(most=2, quarantine=SECOND)
    taken = [idents.take(0) for _ in range(2 * EACH)]
    assert len(set(taken)) == 2 * EACH and idents.take(0) is None
    idents.give(*taken[0], True, 0)
    idents.give(*taken[1], False, 0)
    idents.give(*taken[1], False, 0)
    assert idents.take(0) == taken[0] and idents.take(SECOND - 1) is None
    assert idents.take(SECOND) == taken[1] and idents.take(SECOND) is None


def test_the_narrowest_network_and_the_most_specific_route_win():
    clients = (
        ClientSpec("wide", (IPv4Network("127.0.0.0/8"),), (b"a",)),
        ClientSpec("one", (IPv4Network("127.0.0.1/32"),), (b"b",)),
    )
    assert [Clients(clients).of(at).name for at in ("127.0.0.1", "127.9.9.9")] == ["one", "wide"]
    assert Clients(clients).of("10.0.0.1") is None
    routes = sorted(
        [
            RouteSpec("any", "p", "w"),
            RouteSpec("below", "p", "w", "*.example"),
            RouteSpec("realm", "p", "w", "home.example"),
            RouteSpec("stops", "p", "w", "home.example", frozenset((2,))),
        ],
        key=RouteSpec.rank,
    )

    def taken(name, status):
        asked = Packet(4, 1, attributes=[(1, name), (40, status.to_bytes(4, "big"))])
        return next(route.name for route in routes if route.takes(asked, "c"))

    asked = [(b"u@home.example", 1), (b"u@HOME.example", 2), (b"u@x.example", 1), (b"u", 1)]
    assert [taken(*one) for one in asked] == ["realm", "stops", "below", "any"]


realms = st.sampled_from(
    ["", "home.example", "*.example", "*.home.example", "a.home.example", "other"]
)
places = st.sampled_from(["", "bsc-1", "bsc-*", "bsc-1*", "*", "msc"])
routes_made = st.lists(
    st.builds(
        lambda realm, client, nas, statuses: (realm, client, nas, frozenset(statuses)),
        realms,
        st.sampled_from(["", "c", "d"]),
        places,
        st.lists(st.sampled_from([1, 2, 3]), max_size=2),
    ),
    max_size=25,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    routes_made,
    st.sampled_from(
        [
            b"u",
            b"u@home.example",
            b"u@A.Home.Example.",
            b"u@x.a.home.example",
            b"u@other",
            b"@",
            b"u@example",
            b"u@.example",
        ]
    ),
    st.sampled_from([b"bsc-1", b"bsc-12", b"bsc-2", b"msc", b"x"]),
    st.sampled_from([1, 2, 8]),
)
def test_the_compiled_table_finds_what_trying_each_route_in_order_finds(
    given_routes, user, nas, status
):
    met, made = {}, []
    for number, (realm, client, nas_name, statuses) in enumerate(given_routes):
        alike = met.setdefault((realm, client, nas_name), [])
        if not any(
            other & statuses or other == statuses for other in alike
        ):  # as the file is checked
            alike.append(statuses)
            made.append(RouteSpec(f"r{number}", "p", "w", realm, statuses, client, nas_name))
    packet = Packet(4, 1, attributes=[(1, user), (32, nas), (40, status.to_bytes(4, "big"))])
    first = next((one for one in sorted(made, key=RouteSpec.rank) if one.takes(packet, "c")), None)
    assert Routes(made).of(packet, "c") is first


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)), max_size=20),
    st.integers(0, 2**32 - 1),
)
def test_the_narrowest_network_is_found_whatever_networks_there_are(made, address):
    networks = {
        IPv4Network((number >> (32 - width) << (32 - width), width)) for number, width in made
    }
    clients = [ClientSpec(str(network), (network,), (b"s",)) for network in networks]
    holds = [network for network in networks if IPv4Address(address) in network]
    found = Clients(clients).of(str(IPv4Address(address)))
    assert (found and found.name) == (
        str(max(holds, key=lambda one: one.prefixlen)) if holds else None
    )


# The state file.


def kept_in(tmp_path, **more):
    """A memory with its state file, which is flushed by hand."""
    memory = deduplication.Memory(kept=10 * SECOND, most=64, clients=["c"])
    state = State(StateSpec(str(tmp_path / "state"), **more), lambda: 0)
    state.open(memory)
    return memory, state


def reopened(tmp_path):
    memory, state = kept_in(tmp_path)
    state.close()
    return memory


def test_what_may_have_run_and_what_was_answered_is_known_after_a_restart(tmp_path):
    memory, state = kept_in(tmp_path)
    packets = [record(session=b"%d" % number) for number in range(4)]
    entries = [meet(memory, packet)[1] for packet in packets]
    entries[0].request = "out"
    memory.answered(entries[1], b"answer", 0)
    memory.ended(entries[2], 0)
    memory.given_up(entries[3])
    state.close()
    memory, state = kept_in(tmp_path)
    assert [meet(memory, packet)[0] for packet in packets] == [
        deduplication.JOINS,
        deduplication.AGAIN,
        deduplication.JOINS,
        deduplication.NEW,
    ]
    known = meet(memory, record(session=b"1", delay=7))  # by its record, in other words
    assert known[0] == deduplication.AGAIN and known[1].answer == b"answer"
    assert meet(memory, packets[0])[1].request is None
    with pytest.raises(AppendLogError, match="another process"):
        kept_in(tmp_path)
    state.close()
    assert len(reopened(tmp_path)) == 4


def test_killed_at_any_byte_of_a_write_the_notes_before_it_are_known(tmp_path):
    memory, state = kept_in(tmp_path)
    for number in range(4):
        memory.answered(meet(memory, record(session=b"%d" % number))[1], b"answer %d" % number, 0)
    state.close()
    whole = (tmp_path / "state").read_bytes()
    ends = [end for end, _ in read_records("f", whole, MAGIC)]
    assert len(ends) == 8 and ends[-1] == len(whole)
    for cut in range(len(whole)):
        (tmp_path / "state").write_bytes(whole[:cut])
        memory, state = kept_in(tmp_path)
        state.close()
        # Each request has two notes, the second its answer.
        assert len(memory) == (sum(end <= cut for end in ends) + 1) // 2, cut
        assert (tmp_path / "state").stat().st_size == max(
            [24, *(end for end in ends if end <= cut)]
        )
    (tmp_path / "state").write_bytes(whole + bytes(300))  # as a file system may leave it
    assert len(reopened(tmp_path)) == 4


def test_a_byte_that_was_changed_is_a_tear_at_the_end_or_refuses_the_file_never_another_record(
    tmp_path,
):
    memory, state = kept_in(tmp_path)
    for number in range(3):
        memory.answered(meet(memory, record(session=b"%d" % number))[1], b"answer", 0)
    state.close()
    whole, refused = (tmp_path / "state").read_bytes(), 0
    good = list(read_records("f", whole, MAGIC))
    for at in range(len(whole)):
        changed = bytearray(whole)
        changed[at] ^= 0x41
        try:
            found = list(read_records("f", bytes(changed), MAGIC))
        except AppendLogError:
            refused += 1
            continue
        assert found == good[: len(found)] and len(found) < len(good)
    assert refused > len(whole) * 2 // 3
    (tmp_path / "state").write_bytes(b"something else altogether, of another program")
    with pytest.raises(AppendLogError, match="move it away"):
        kept_in(tmp_path)


def test_where_notes_cannot_be_written_nothing_new_is_taken_and_all_are_written_later(
    tmp_path, monkeypatch
):
    memory, state = kept_in(tmp_path, first=True)
    write, told = os.pwrite, []

    def full(file, data, at):
        write(file, data[:5], at)
        raise OSError(28, "No space left on device")

    async def story():
        meet(memory, record(session=b"a"))
        state.once_kept(lambda: told.append("a"))
        monkeypatch.setattr(os, "pwrite", full)
        await state.flush()
        assert not told and not state.takes() and state.size == 24
        monkeypatch.setattr(os, "pwrite", write)
        await state.flush()
        assert told == ["a"] and state.takes()

    anyio.run(story)
    state.close()
    assert len(reopened(tmp_path)) == 1


def test_told_to_go_on_with_a_full_disk_it_waits_for_nothing_and_holds_no_more_than_a_bound(
    tmp_path, monkeypatch
):
    memory, state = kept_in(tmp_path, refuse=False)
    write, told = os.pwrite, []

    def full(file, data, at):
        raise OSError(28, "No space left on device")

    async def story():
        monkeypatch.setattr(os, "pwrite", full)
        entry = meet(memory, record(session=b"a"))[1]
        state.once_kept(lambda: told.append("a"))
        await state.flush()
        state.once_kept(lambda: told.append("b"))
        assert told == ["a", "b"] and state.takes()
        for _ in range(2 * MOST):
            state.note("e", "c", entry)
        assert len(state.queue) <= MOST and state.anew
        monkeypatch.setattr(os, "pwrite", write)
        await state.flush()
        await state.compact(memory)

    anyio.run(story)
    state.close()
    assert len(reopened(tmp_path)) == 1


def test_a_state_file_is_written_anew_before_it_holds_many_times_what_is_live(tmp_path):
    memory, state = kept_in(tmp_path)

    async def story():
        for number in range(300):
            entry = meet(memory, record(session=b"%d" % number))[1]
            memory.answered(entry, bytes(100), 0)
            if number < 290:
                memory.given_up(entry)
            await state.flush()
        before = state.size
        await state.compact(memory)
        meet(memory, record(session=b"last"))
        assert state.size < before / 20

    anyio.run(story)
    state.close()
    assert len(reopened(tmp_path)) == 11 and not (tmp_path / "state.new").exists()


def test_a_request_whose_note_is_in_the_file_twice_is_answered_in_other_words_too(tmp_path):
    """Guards against silence for a record that was answered, after a compaction and a restart."""
    memory, state = kept_in(tmp_path)

    async def story():
        entry = meet(memory, record())[1]
        await state.compact(memory)  # with its note still in the queue
        await state.flush()
        memory.answered(entry, b"answer", 0)

    anyio.run(story)
    state.close()
    assert meet(reopened(tmp_path), record(delay=7))[0] == deduplication.AGAIN


# Over sockets.


def text(listen, radius, servers, kind="exclusive", timeout=2.0, **more):
    addresses = {one.name: f"127.0.0.1:{one.port}" for one in servers}
    whole = files.records(
        radius, addresses, ["old", "partner"], kind, timeout=timeout, retransmit=0.1, **more
    )
    return files.document({"version": 1, "listen": [listen], **whole})


@contextmanager
def running(folder, servers, **more):
    listen, radius = free_address(), free_address()
    file = text(listen, radius, servers, **more)
    balancer = Balancer(folder, operator=file, listen=listen, optimised=False)
    try:
        balancer.wait_ready()
        host, _, port = radius.rpartition(":")
        yield (
            balancer,
            (host, int(port)),
            lambda to=servers, **other: text(listen, radius, to, **other),
        )
    finally:
        balancer.stop(wait=False)
    assert not balancer.said("event=invariant_violated") and not balancer.said("level=error"), (
        balancer.log()
    )


def play(tmp_path, behaviours, story, weather=None, **more):
    """Servers with these behaviours, a balancer, and a story told with them."""

    async def whole():
        servers = [
            Server(f"r{number}", b"server", how, weather, number)
            for number, how in enumerate(behaviours)
        ]
        for server in servers:
            await server.start()
        loop = asyncio.get_running_loop()
        context = running(tmp_path, servers, **more)
        balancer, address, other = await loop.run_in_executor(None, context.__enter__)
        try:
            await story(servers, balancer, address, other)
        finally:
            await loop.run_in_executor(None, context.__exit__, None, None, None)
            for server in servers:
                server.stop()

    asyncio.run(whole())


async def client(address, secret=SECRET, rate=100.0, seed=1, **more):
    made = Client(f"nas{seed}", address, secret, rate, seed, **more)
    await made.start()
    return made


def ran(servers):
    whole = Counter()
    for server in servers:
        whole.update(server.ran)
    return whole


@pytest.mark.parametrize(
    "behaviours",
    [
        [Behaviour(), Behaviour(), Behaviour()],
        [Behaviour(late=0.3, late_by=0.4), Behaviour(twice=0.5), Behaviour(wrong=0.3)],
    ],
)
def test_on_a_bad_network_nothing_runs_twice_and_each_record_has_one_answers_content(
    tmp_path, behaviours
):
    async def story(servers, balancer, address, _):
        weather = Weather(lost=0.05, doubled=0.05, late=0.1)
        nas = [await client(address, seed=seed, weather=weather, first=0.3) for seed in range(3)]
        await asyncio.gather(*(one.run(2.0) for one in nas))
        told = [record for one in nas for record in one.told]
        counts = ran(servers)
        assert max(counts.values()) == 1 and sum(server.bad for server in servers) == 0
        assert all(len(set(one.answers)) <= 1 for one in told) and not any(
            one.strange for one in nas
        )
        assert all(counts[one.record] for one in told if one.answers)
        least = 0.95 if behaviours[1].twice == 0 else 0.75
        assert sum(bool(one.answers) for one in told) > least * len(told)

    play(tmp_path, behaviours, story, Weather(lost=0.05, doubled=0.05, late=0.1))


def test_a_full_memory_takes_nothing_new_and_nothing_that_was_answered_runs_again(tmp_path):
    async def story(servers, balancer, address, _):
        burst = Burst(address, SECRET)
        packets = [record_packet(number, SECRET) for number in range(400)]
        await burst.send(packets, 800.0)
        await anyio.sleep(0.3)
        taken = set(burst.answers)
        assert len(taken) == 256
        await burst.send(packets, 800.0)  # each byte for byte, within the time that it is kept
        await anyio.sleep(0.3)
        counts = ran(servers)
        assert len(counts) == 256 and max(counts.values()) == 1
        assert set(burst.answers) == taken and all(
            len(set(got)) == 1 for got in burst.answers.values()
        )
        burst.close()
        await asyncio.to_thread(until, lambda: balancer.said("event=radius_full"))

    play(tmp_path, [Behaviour(delay=0.001, forgets=True)], story, most=256, kept="30s")


def answers_noted(state):
    """Count the answers that a state file holds."""
    notes = read_records("f", state.read_bytes(), MAGIC)
    return sum(note[0] == response_cache.ANSWERED for _, note in notes)


def counted(text, name):
    """Return a counter of the line by which a process says that it has stopped."""
    [line] = [line for line in text.splitlines() if "event=stopped " in line]
    found = re.search(rf" {name}=([0-9]+)", line)
    return int(found[1]) if found else 0


def test_after_kill_9_the_next_run_repeats_nothing_and_a_damaged_file_starts_nothing(tmp_path):
    async def story(servers, balancer, address, other):
        burst = Burst(address, SECRET)
        packets = [record_packet(number, SECRET) for number in range(70)]
        for number in range(45):  # one by one: a new server is not trusted with all at once
            await burst.send(packets[number : number + 1], 600.0, number)
            await asyncio.to_thread(until, lambda: len(burst.answers) > number)
        await asyncio.to_thread(until, lambda: answers_noted(tmp_path / "state") == 45)
        servers[0].behaviour = Behaviour(silent=1.0)
        await burst.send(packets[45:60], 600.0, 45)
        await asyncio.to_thread(until, lambda: len(ran(servers)) > 45)
        await burst.send(packets[60:], 10_000.0, 60)
        await asyncio.to_thread(balancer.stop, False)  # with these anywhere, and some out
        out = len(ran(servers)) - 45
        servers[0].behaviour = Behaviour(delay=0.02)
        again = Balancer(
            tmp_path / "again", operator=balancer.file.read_text(), listen=balancer.listen
        )
        await asyncio.to_thread(again.wait_ready)
        await burst.send(packets, 600.0)
        await asyncio.to_thread(
            until, lambda: sum(len(burst.answers[number]) == 2 for number in range(45)) == 45
        )
        await asyncio.to_thread(again.stop)
        burst.close()
        assert max(ran(servers).values()) == 1
        assert again.process.returncode == 0 and "event=radius_cache_loaded " in again.log()
        assert counted(again.log(), "radius_answered_again") == 45
        silent, new = (counted(again.log(), f"radius_{name}") for name in ("joins", "requests"))
        assert silent >= out > 0 and silent + new == 25
        state = tmp_path / "state"
        data = bytearray(state.read_bytes())
        data[200] ^= 1
        state.write_bytes(data)
        third = Balancer(
            tmp_path / "third", operator=balancer.file.read_text(), listen=balancer.listen
        )
        assert await asyncio.to_thread(third.process.wait, LIMIT) == 2
        assert len(third.log().splitlines()) == 1 and "is damaged at byte" in third.log()

    play(
        tmp_path,
        [Behaviour(delay=0.02)],
        story,
        state={"file": str(tmp_path / "state")},
    )


def test_a_server_that_takes_datagrams_and_never_answers_is_left_to_trials(tmp_path):
    async def story(servers, balancer, address, _):
        nas = await client(address, rate=150.0, first=2.5, tries=0)
        await nas.run(5.0)
        late = [one for one in nas.told if one.due > nas.told[0].due + 2.5]
        assert sum(bool(one.answers) for one in late) > 0.95 * len(late) and servers[0].met > 5
        assert all(count == 1 for count in ran(servers[1:]).values())
        assert balancer.said('outcome="timed out"')

    play(tmp_path, [Behaviour(deaf=True), Behaviour(), Behaviour()], story, timeout=1.0)


def test_silence_is_the_answer_where_nothing_can_be_done_and_what_may_have_run_stays_so(tmp_path):
    async def story(servers, balancer, address, _):
        nas = await client(address, rate=20.0, first=0.4, tries=4)
        await nas.run(0.5)
        assert nas.told and not any(one.answers for one in nas.told)
        assert all(one.sent == 5 for one in nas.told)
        assert max(ran(servers).values()) == 1

    play(tmp_path, [Behaviour(silent=1.0), Behaviour(silent=1.0)], story, timeout=1.0)


def test_forged_strange_and_flooding_packets_get_no_answer_and_cost_no_record(tmp_path):
    async def story(servers, balancer, address, other):
        forger = await client(address, secret=b"guess", rate=300.0, first=0.2, tries=0)
        plain = await client(address, rate=50.0, seed=2)
        loop = asyncio.get_running_loop()
        noise, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        for size in (0, 1, 19, 20, 64, 4096, 4097, 9000):
            noise.sendto(os.urandom(size), address)
        looped = request_packet(1, [(40, b"\0\0\0\1"), *[(33, b"p")] * 9], SECRET)
        noise.sendto(looped, address)
        noise.sendto(request_packet(2, [(44, b"no status")], SECRET), address)
        await asyncio.gather(forger.run(1.0), plain.run(1.0))
        noise.close()
        assert not any(one.answers for one in forger.told) and all(
            one.answers for one in plain.told
        )
        assert sum(ran(servers).values()) == len(plain.told)
        assert balancer.said("event=radius_bad_request")

    play(tmp_path, [Behaviour()], story)


def test_secrets_change_under_load_and_two_hold_meanwhile(tmp_path):
    async def story(servers, balancer, address, other):
        both = [
            await client(address, secret=secret, seed=seed, rate=60.0)
            for seed, secret in enumerate((b"old", b"partner"))
        ]
        new = other().replace('secrets = ["old", "partner"]', 'secrets = ["partner", "new"]')

        async def change():
            await asyncio.sleep(1.2)
            await asyncio.to_thread(balancer.reload, new)
            begun = asyncio.get_running_loop().time()
            third = await client(address, secret=b"new", seed=9, rate=60.0)
            await third.run(0.6)
            return begun, third

        _, _, (begun, third) = await asyncio.gather(both[0].run(1.0), both[1].run(2.0), change())
        assert all(one.answers for made in (*both, third) for one in made.told)
        old = await client(address, secret=b"old", seed=10, rate=60.0, first=0.1, tries=1)
        await old.run(0.3)
        assert not any(one.answers for one in old.told)

    play(tmp_path, [Behaviour(), Behaviour()], story)


def test_the_same_record_sent_again_in_other_words_is_answered_in_each(tmp_path):
    async def story(servers, balancer, address, _):
        got = []

        class Listener(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                got.append(data)

        loop = asyncio.get_running_loop()
        noise, _ = await loop.create_datagram_endpoint(Listener, ("127.0.0.1", 0))
        same = [(32, b"n"), (44, b"s"), (40, b"\0\0\0\1")]
        asked = [
            request_packet(ident, [*same, (41, bytes((0, 0, 0, ident)))], SECRET)
            for ident in range(3)
        ]
        for data in asked:  # the server takes its time
            noise.sendto(data, address)
            noise.sendto(data, address)
        ends = time.monotonic() + 5.0
        while len(got) < 3 and time.monotonic() < ends:
            await asyncio.sleep(0.01)
        noise.sendto(asked[2], address)
        while len(got) < 4 and time.monotonic() < ends:
            await asyncio.sleep(0.01)
        noise.close()
        assert all(any(proved(reply, data, SECRET) for reply in got) for data in asked)
        assert {value for reply in got for kind, value in attributes(reply) if kind == 25} == {
            b"r0"
        }
        assert list(ran(servers).values()) == [1]

    play(tmp_path, [Behaviour(delay=0.3)], story)


def datagram_sockets(process):
    """How many a process holds, as the system counts them."""
    held = {os.readlink(file) for file in Path(f"/proc/{process.pid}/fd").iterdir()}
    lines = Path("/proc/net/udp").read_text().splitlines()[1:]
    return sum(f"socket:[{line.split()[9]}]" in held for line in lines)


async def met_by_all(servers):
    with anyio.fail_after(LIMIT):
        while not all(server.ran for server in servers):
            await asyncio.sleep(0.01)


def test_a_server_that_is_taken_out_answers_what_it_has_and_then_holds_no_descriptor(tmp_path):
    async def story(servers, balancer, address, other):
        nas = await client(address, first=1.5)
        asking = asyncio.create_task(nas.run(0.8))
        await met_by_all(servers)
        await asyncio.to_thread(balancer.reload, other(servers[1:]))
        await asking
        assert all(one.answers for one in nas.told) and max(ran(servers).values()) == 1
        # The listener's, and one towards the server that is left.
        assert await asyncio.to_thread(until, lambda: datagram_sockets(balancer.process) == 2)

    play(tmp_path, [Behaviour(delay=0.3), Behaviour(delay=0.3)], story)


def test_servers_that_change_addresses_get_nothing_of_what_is_out_at_the_old_ones(tmp_path):
    async def story(servers, balancer, address, other):
        nas = await client(address, first=0.3, tries=1)
        asking = asyncio.create_task(nas.run(0.8))
        await met_by_all(servers)
        swapped = [
            SimpleNamespace(name=one.name, port=two.port)
            for one, two in zip(servers, servers[::-1])
        ]
        await asyncio.to_thread(balancer.reload, other(swapped))
        await asking
        assert max(ran(servers).values()) == 1 and nas.told[-1].answers
        assert await asyncio.to_thread(until, lambda: datagram_sockets(balancer.process) == 3)

    play(tmp_path, [Behaviour(delay=0.1), Behaviour(delay=0.1)], story, timeout=1.0)


def test_a_servers_secret_may_change_while_it_has_records(tmp_path):
    async def story(servers, balancer, address, other):
        nas = await client(address, rate=60.0, first=1.5, tries=0)
        asking = asyncio.create_task(nas.run(0.3))
        await met_by_all(servers)
        await asyncio.to_thread(
            balancer.reload, other().replace('secret = "server"', 'secret = "new"')
        )
        await asking
        sealed_before = [one for one in nas.told if ran(servers)[one.record]]
        assert sealed_before and all(one.answers for one in sealed_before)

    play(tmp_path, [Behaviour(delay=0.4)], story)


@pytest.mark.parametrize(
    "old, new, said",
    [
        ('secret = "server"', "", "pools.acct.radius: either secret or secret_file"),
        ('secret = "server"', 'secret_file = "/nowhere"', "pools.acct.radius.secret_file: "),
        ('protocol = "radius"', "", "pools.acct.radius: belongs to protocol"),
        (
            'networks = ["127.0.0.0/8"]',
            'networks = ["127.0.0.1/8"]',
            "radius.clients.partner.networks: ",
        ),
        ('secrets = ["old", "partner"]', "secrets = []", "radius.clients.partner: needs networks"),
        ('pool = "acct"', 'pool = "none"', "radius.routes.all.pool: 'none' is no pool"),
        (
            'name = "all"',
            'name = "all"\nstatuses = ["begin"]',
            "radius.routes[0].statuses[0]: 'begin' is none",
        ),
        (
            'name = "all"',
            'name = "all"\nclient = "x"',
            "radius.routes.all.client: 'x' is none of partner",
        ),
        ("[radius]\n", "[radius]\nport = 1\n", "radius.port: is no key here"),
        (
            "[radius]\n",
            '[radius]\nstate = { file = "here" }\n',
            "radius.state.file: 'here' is no whole path",
        ),
        (
            "[radius]\n",
            '[radius]\nstate = { file = "/x", sync = "0s" }\n',
            "radius.state.sync: '0s' is not",
        ),
        (
            "[[radius.routes]]",
            '[[radius.routes]]\nname = "a"\npool = "acct"\n[[radius.routes]]',
            "radius.routes.all: takes",
        ),
    ],
)
def test_a_faulty_radius_part_is_named_by_its_key(tmp_path, old, new, said):
    server = type("Server", (), {"name": "r", "port": 1})
    table = text("127.0.0.1:1", "127.0.0.1:2", [server])
    operator.made(tomllib.loads(table))
    assert old in table
    with pytest.raises(ConfigFault) as fault:
        operator.made(tomllib.loads(table.replace(old, new)))
    assert said in str(fault.value), str(fault.value)


def test_a_secret_in_a_file_that_others_may_read_is_refused(tmp_path):
    file = tmp_path / "secret"
    file.write_bytes(b"s3cret\n")
    file.chmod(0o644)
    with pytest.raises(ConfigFault, match="may be read by others"):
        fields.kept_secret(str(file), "at")
    file.chmod(0o600)
    assert fields.kept_secret(str(file), "at") == b"s3cret"
