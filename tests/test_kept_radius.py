"""RADIUS packets and the RADIUS state file, to the byte.

Packets are made with a fixed secret and fixed authenticators and compared with kept bytes; a kept
state file, whole and with its end torn off, is read to stated values, and the same notes are
written to the same bytes.
"""

import hashlib
import hmac
import json
import socket
import struct
import zlib
from pathlib import Path

import anyio
import pytest

from tests.waiting import LIMIT
from whinpier.config import operator
from whinpier.radius import deduplication, packet
from whinpier.radius.client import delayed
from whinpier.radius.packet import BadPacket, Packet
from whinpier.radius.response_cache import State, StateSpec
from whinpier.radius.server import Frontend
from whinpier.radius.spec import ClientSpec
from whinpier.radius.stream_server import Datagrams
from whinpier.radius.transport import WithRadius
from whinpier.runtime.process import Process
from whinpier.storage.append_log import AppendLogError

KEPT = Path("tests/data/kept").resolve()
SECRET = b"kept secret"
AUTHENTICATOR = bytes(range(16))
ATTRIBUTES = [
    (40, b"\0\0\0\1"),
    (44, b"session"),
    (33, b"one"),
    (1, b"user"),
    (33, b"two"),
    (80, bytes(16)),
    (25, b"class"),
]
SOURCE = ("192.0.2.1", 1646)


# What the tests know of the code.


def packed(code, number, attributes, authenticator=AUTHENTICATOR):
    return Packet(code, number, authenticator, list(attributes)).pack()


def parsed(data):
    found = packet.parse(data)
    return [
        found.code,
        found.id,
        found.authenticator.hex(),
        [[kind, value.hex()] for kind, value in found.attributes],
    ]


def request(number, signed, attributes=ATTRIBUTES):
    return packet.sealed(Packet(4, number, AUTHENTICATOR, list(attributes)), SECRET, signed)


def response(data, signed, attributes):
    return packet.answer(packet.parse(data), SECRET, signed, attributes=attributes)


def front_response(data, signed, attributes):
    client = ClientSpec("c", (), (SECRET,), signed)
    return Frontend.answer_to(
        packet.parse(data), SECRET, Datagrams(None, SOURCE, client), attributes
    )


def fault_of(call, *given):
    with pytest.raises(BadPacket) as caught:
        call(*given)
    return str(caught.value)


def request_fault(data, needed):
    return fault_of(packet.check_request, packet.parse(data), data, SECRET, needed)


def response_fault(data, asked):
    found, asked = packet.parse(data), packet.parse(asked)
    return fault_of(packet.check_answer, found, data, asked, SECRET, False)


def record_fault(attributes):
    return fault_of(packet.check_record, Packet(4, 1, AUTHENTICATOR, attributes))


def cache_keys(data, client):
    found = packet.parse(data)
    record = deduplication.record_key(found, client)
    return [
        deduplication.wire_key(SOURCE, found).hex(),
        record and record.hex(),
        deduplication.content(found).hex(),
    ]


def opened(path):
    """A cache with its file."""
    memory = deduplication.Memory(10**10, 64, ["c"])
    state = State(StateSpec(str(path)), lambda: 0)
    state.open(memory)
    return memory, state


def entries(memory):
    return [
        [
            name,
            key.hex(),
            entry.record and entry.record.hex(),
            entry.content.hex(),
            entry.answer and entry.answer.hex(),
        ]
        for name, part in memory.parts.items()
        for key, entry in part.entries.items()
    ]


def write_notes(path):
    """One note of each kind: two requests without an answer, one with, one given up, one ended."""
    memory, state = opened(path)
    met = [
        memory.meet("c", b"key %d" % number, record, b"content %d" % number, 0)[1]
        for number, record in enumerate([b"record 0", None, b"record 2", b"record 3"])
    ]
    memory.answered(met[0], b"response", 0)
    memory.given_up(met[1])
    memory.ended(met[2], 0)
    state.close()


def rewrite_notes(path):
    memory, state = opened(path)
    anyio.run(state.compact, memory)
    state.close()


def new_process(path, datagrams):
    spec = operator.read(str(path))
    return Process(spec, WithRadius([datagrams], []), lambda: spec, operator.changes)


def is_ready(process):
    return process.ready()


# Packets.


def kept(name):
    return json.loads((KEPT / name).read_text())


def packets():
    """Each packet that is made, by what it is."""
    plain, signed = request(7, False), request(7, True)
    status = packed(12, 9, [(80, bytes(16))])
    proof = hmac.new(SECRET, status, "md5").digest()
    status = packed(12, 9, [(80, proof)])
    back = [(25, b"of the server"), (33, b"not ours"), (80, bytes(16)), (18, b"hello")]
    large = request(8, True, [(40, b"\0\0\0\1"), *[(33, bytes(253))] * 8])
    return {
        "a packet": packed(4, 7, ATTRIBUTES),
        "an accounting request": plain,
        "an accounting request with a message authenticator": signed,
        "a status request": status,
        "an accounting response": response(plain, False, None),
        "an accounting response with attributes": response(plain, False, back),
        "an accounting response with a message authenticator": response(signed, True, back),
        "a status response": response(status, True, None),
        "a response of the front": front_response(signed, False, back),
        "a response of the front with a message authenticator": front_response(signed, True, back),
        "a response of the front that is too large": front_response(
            large, True, [(25, bytes(253))] * 9
        ),
    }


@pytest.mark.parametrize("name", kept("radius.packets.json"))
def test_a_packet_has_the_kept_bytes_and_is_read_to_the_kept_values(name):
    data, values = kept("radius.packets.json")[name]
    assert packets()[name].hex() == data
    assert parsed(bytes.fromhex(data)) == values


def test_every_packet_that_is_made_is_kept():
    assert list(packets()) == list(kept("radius.packets.json"))


def test_a_request_and_its_response_are_proved_as_the_standards_say():
    found = kept("radius.packets.json")
    data = bytes.fromhex(found["an accounting request"][0])
    proof = hashlib.md5(data[:4] + bytes(16) + data[20:] + SECRET).digest()
    assert data[4:20] == proof and struct.unpack("!BBH", data[:4]) == (4, 7, len(data))
    reply = bytes.fromhex(found["an accounting response"][0])
    assert reply == (
        b"\x05\x07\x00\x1e"
        + hashlib.md5(b"\x05\x07\x00\x1e" + proof + reply[20:] + SECRET).digest()
        + b"\x21\x05one\x21\x05two"
    )


@pytest.mark.parametrize(
    "before, waited, after",
    [
        (b"\0\0\0\5", 3, b"\0\0\0\x08"),
        (b"\xff\xff\xff\xfe", 9, b"\xff\xff\xff\xff"),
        (b"\0", 3, b"\0"),
    ],
)
def test_a_delay_time_is_told_with_what_was_waited(before, waited, after):
    assert delayed(before, waited) == after


HEAD = b"\x04\x01\x00\x14" + bytes(16)


@pytest.mark.parametrize(
    "data, said",
    [
        (HEAD[:19], "shorter than a head"),
        (b"\x04\x01\x00\x13" + bytes(16), "a length of 19"),
        (b"\x04\x01\x10\x01" + bytes(16), "a length of 4097"),
        (b"\x04\x01\x00\x15" + bytes(16), "cut short"),
        (b"\x04\x01\x00\x15" + bytes(17), "half an attribute"),
        (b"\x04\x01\x00\x16" + bytes(16) + b"\x28\x01", "attribute 40 of length 1"),
        (b"\x04\x01\x00\x16" + bytes(16) + b"\0\2", "an attribute of no type"),
    ],
)
def test_bytes_that_are_no_packet_are_refused_with_the_kept_words(data, said):
    assert fault_of(packet.parse, data) == said


@pytest.mark.parametrize(
    "attributes, said",
    [
        ([], "no Acct-Status-Type"),
        ([(40, b"\1")], "attribute 40 has 1 bytes"),
        ([(40, b"\0\0\0\1")] * 2, "attribute 40, which decides, comes twice"),
        ([(33, b"p")] * 9, "more proxies than a way has: a loop"),
        *[
            ([(40, b"\0\0\0\1"), (kind, b"")], f"attribute {kind} has 0 bytes")
            for kind in (1, 4, 32, 41, 44, 55, 95)
        ],
    ],
)
def test_a_record_that_can_be_read_two_ways_is_refused_with_the_kept_words(attributes, said):
    assert record_fault(attributes) == said


def test_what_is_not_proved_is_refused_with_the_kept_words():
    wrong = "an authenticator that is wrong: another secret, or changed on its way"
    plain, signed = request(7, False, [(40, b"\0\0\0\1")]), request(7, True)
    assert request_fault(plain[:-1] + b"\2", False) == wrong
    assert request_fault(plain, True) == "no Message-Authenticator"
    assert request_fault(packed(1, 1, []), False) == "code 1 is none that is asked here"
    reply = response(signed, True, None)
    assert response_fault(plain, signed) == "code 4 is no answer"
    assert response_fault(reply, request(8, True)) == "an answer to another identifier"
    assert response_fault(reply[:-1] + b"x", signed) == "an answer whose authenticator is wrong"


@pytest.mark.parametrize(
    "name, attributes",
    [
        ("start", [(40, b"\0\0\0\1"), (44, b"s"), (32, b"nas"), (41, b"\0\0\0\5")]),
        ("start, sent later", [(40, b"\0\0\0\1"), (44, b"s"), (32, b"nas"), (41, b"\0\0\0\6")]),
        ("stop", [(40, b"\0\0\0\2"), (44, b"s"), (4, b"\xc0\0\2\1"), (95, bytes(16))]),
        ("interim", [(40, b"\0\0\0\3"), (44, b"s"), (32, b"nas"), (55, b"\x60\0\0\0")]),
        ("interim without a moment", [(40, b"\0\0\0\3"), (44, b"s"), (32, b"nas")]),
        ("on", [(40, b"\0\0\0\7"), (32, b"nas"), (55, b"\x60\0\0\0")]),
        ("off", [(40, b"\0\0\0\x08"), (32, b"nas"), (55, b"\x60\0\0\0"), (33, b"state")]),
    ],
)
def test_what_a_request_is_remembered_by_has_the_kept_bytes(name, attributes):
    # They lie in the state file: another run has to find a request by the same bytes.
    assert cache_keys(packed(4, 3, attributes), "c") == kept("radius.keys.json")[name]


# Packets on their way through the balancer.


def bound():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


async def received(sock):
    with anyio.fail_after(LIMIT):
        await anyio.wait_readable(sock)
    return sock.recvfrom(5000)


def sealed_by_hand(code, number, body, secret, signed, authenticator=bytes(16)):
    """A packet made without the code, its Message-Authenticator first."""
    length = 20 + 18 * signed + len(body)
    head = struct.pack("!BBH", code, number, length)
    if signed:
        blank = b"\x50\x12" + bytes(16) + body
        body = b"\x50\x12" + hmac.new(secret, head + authenticator + blank, "md5").digest() + body
    return head + hashlib.md5(head + authenticator + body + secret).digest() + body


def attribute(kind, value):
    return bytes((kind, len(value) + 2)) + value


def test_a_record_goes_on_and_its_response_comes_back_with_the_stated_bytes(tmp_path):
    async def story():
        front, server, client = bound(), bound(), bound()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        text = (KEPT / "operator.radius.example.toml").read_text()
        for mark, one in (
            ("127.0.0.1:9000", listener),
            ("127.0.0.1:1813", front),
            ("127.0.0.1:11813", server),
        ):
            text = text.replace(mark, "%s:%d" % one.getsockname())
        text = "\n".join(line for line in text.splitlines() if "acct-2" not in line)
        (tmp_path / "operator.toml").write_text(text)
        process = new_process(tmp_path / "operator.toml", front)
        own, theirs = b"only-for-a-trial-too", b"only-for-a-trial"
        given = [(40, b"\0\0\0\1"), (44, b"session"), (33, b"one"), (41, b"\0\0\0\5"), (33, b"two")]
        body = b"".join(attribute(*pair) for pair in given)
        async with anyio.create_task_group() as requests:
            requests.start_soon(process.serve, [listener])
            with anyio.fail_after(LIMIT):
                while not is_ready(process):
                    await anyio.sleep(0)
            asked = sealed_by_hand(4, 77, body, own, True)
            client.sendto(asked, front.getsockname())
            data, source = await received(server)
            state = data[-8:]  # drawn anew for each packet
            assert data == sealed_by_hand(4, 0, body + attribute(33, state), theirs, True)
            reply = attribute(25, b"class") + attribute(33, state)
            server.sendto(sealed_by_hand(5, 0, reply, theirs, False, data[4:20]), source)
            back = attribute(25, b"class") + attribute(33, b"one") + attribute(33, b"two")
            found, _ = await received(client)
            assert found == sealed_by_hand(5, 77, back, own, True, asked[4:20])
            client.sendto(asked, front.getsockname())  # the same packet is answered from memory
            assert (await received(client))[0] == found
            status = bytes((12, 78, 0, 38)) + AUTHENTICATOR + b"\x50\x12"
            status += hmac.new(own, status + bytes(16), "md5").digest()
            client.sendto(status, front.getsockname())
            found, _ = await received(client)
            assert found == sealed_by_hand(5, 78, b"", own, True, AUTHENTICATOR)
            requests.cancel_scope.cancel()
        for sock in (front, server, client, listener):
            sock.close()

    anyio.run(story)


# The state file.

STATE = KEPT / "radius.state"
TORN = 179  # bytes of it before the note that is torn
STATE_VALUES = [
    ["c", b"key 0".hex(), b"record 0".hex(), b"content 0".hex(), b"response".hex()],
    ["c", b"key 2".hex(), b"record 2".hex(), b"content 2".hex(), None],
    ["c", b"key 3".hex(), b"record 3".hex(), b"content 3".hex(), None],
]


def test_a_state_file_is_written_with_the_kept_bytes(tmp_path):
    write_notes(tmp_path / "state")
    assert (tmp_path / "state").read_bytes() == STATE.read_bytes()


def test_a_state_file_that_is_rewritten_has_the_kept_bytes(tmp_path):
    (tmp_path / "state").write_bytes(STATE.read_bytes())
    rewrite_notes(tmp_path / "state")
    assert (tmp_path / "state").read_bytes() == (KEPT / "radius.rewritten.state").read_bytes()


@pytest.mark.parametrize("file", ["radius.state", "radius.rewritten.state"])
def test_a_kept_state_file_is_read_to_the_stated_values(tmp_path, file):
    (tmp_path / "state").write_bytes((KEPT / file).read_bytes())
    memory, state = opened(tmp_path / "state")
    state.close()
    assert entries(memory) == STATE_VALUES


def test_a_kept_state_file_with_a_torn_end_is_read_up_to_the_tear(tmp_path):
    # It ends within the note that the first request was answered; what came behind it is gone.
    (tmp_path / "state").write_bytes((KEPT / "radius.torn.state").read_bytes())
    memory, state = opened(tmp_path / "state")
    state.close()
    assert entries(memory) == [
        [STATE_VALUES[0][0], *STATE_VALUES[0][1:4], None],
        ["c", b"key 1".hex(), None, b"content 1".hex(), None],
        *STATE_VALUES[1:],
    ]
    whole = STATE.read_bytes()
    assert (tmp_path / "state").read_bytes() == whole[:TORN] and whole.count(b"response", TORN) == 1
    assert (KEPT / "radius.torn.state").read_bytes() == whole[: TORN + 14]


def note(*values):
    """A note as it lies in the file, made without the code: length, CRC-32, MessagePack."""
    body = bytes((0x90 + len(values),))
    for value in values:
        if value is None:
            body += b"\xc0"
        elif isinstance(value, bytes):
            body += b"\xc4" + bytes((len(value),)) + value
        else:
            body += bytes((0xA0 + len(value),)) + value.encode()
    return struct.pack("!II", len(body), zlib.crc32(body)) + body


def test_the_kept_state_file_is_a_magic_line_and_framed_notes_in_order():
    assert STATE.read_bytes() == b"whinpier radius state 1\n" + b"".join(
        [
            note("n", "c", b"key 0", b"record 0", b"content 0"),
            note("n", "c", b"key 1", None, b"content 1"),
            note("n", "c", b"key 2", b"record 2", b"content 2"),
            note("n", "c", b"key 3", b"record 3", b"content 3"),
            note("a", "c", b"key 0", b"response"),
            note("g", "c", b"key 1"),
            note("e", "c", b"key 2"),
        ]
    )


def test_a_note_of_another_kind_or_a_file_of_another_magic_is_refused_with_the_kept_words(tmp_path):
    path = tmp_path / "state"
    path.write_bytes(STATE.read_bytes() + note("z", "c", b"key 0"))
    with pytest.raises(AppendLogError) as caught:
        opened(path)
    assert str(caught.value) == f"{path}: a note of kind 'z', which this version does not know"
    path.write_bytes(b"whinpier radius state 2\n" + STATE.read_bytes()[24:])
    with pytest.raises(AppendLogError) as caught:
        opened(path)
    assert str(caught.value) == (
        f"{path}: is no state file of this version; move it away to begin without"
    )
