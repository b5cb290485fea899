"""Checks that a message head is accepted or refused however it is split into reads."""

import h11
import pytest

from whinpier import log
from whinpier.http import buffers
from whinpier.http.buffers import MAX_HEAD_BYTES, MAX_HEAD_LINES

STARTS = {
    h11.SERVER: b"GET /a HTTP/1.1\r\nhost: a\r\n",
    h11.CLIENT: b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
}


def parse_status(side, *parts):
    """Parse a head that arrives in these parts: 200 if it is accepted, else the error's status."""
    form = buffers.SIMPLE_REQUEST if side is h11.SERVER else buffers.SIMPLE_RESPONSE
    if buffers.parse_simple_message(form, parts[0]):
        assert len(parts) == 1 or not parts[1]
        return 200
    parser = h11.Connection(side)
    if side is h11.CLIENT:
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "u")]))
        parser.send(h11.EndOfMessage())
    try:
        for part in parts:
            if part:
                parser.receive_data(part)
            buffers.check_head(parser)
            if parser.next_event() is not h11.NEED_DATA:
                return 200
    except h11.RemoteProtocolError as refused:
        return refused.error_status_hint
    return None


def head_of_bytes(side, size):
    """Return a valid head of this many bytes."""
    start = STARTS[side] + b"x-fill: "
    return start + b"y" * (size - len(start) - 4) + b"\r\n\r\n"


def head_of_lines(side, count):
    """Return a valid head of this many lines, the start line included."""
    return STARTS[side] + b"a: b\r\n" * (count - 2) + b"\r\n"


@pytest.mark.parametrize("side", STARTS, ids=["request", "answer"])
@pytest.mark.parametrize(
    "build, amount, expected_status",
    [
        (head_of_bytes, MAX_HEAD_BYTES, 200),
        (head_of_bytes, MAX_HEAD_BYTES + 1, 431),
        (head_of_bytes, 55_000, 431),
        (head_of_lines, MAX_HEAD_LINES, 200),
        (head_of_lines, MAX_HEAD_LINES + 1, 431),
        (head_of_lines, 5_000, 431),
    ],
)
def test_head_limits_do_not_depend_on_how_the_head_is_split(side, build, amount, expected_status):
    """Guard against a head of 5,000 lines that is forwarded if it arrives in a single read."""
    head, before = build(side, amount), log.counters["heads_too_large"]
    assert parse_status(side, head) == expected_status
    cuts = sorted(
        {
            *range(1, len(head), 211),
            *range(1, 60),
            *range(len(head) - 60, len(head)),
            *(at for at in range(MAX_HEAD_BYTES - 4, MAX_HEAD_BYTES + 5) if at < len(head)),
        }
    )
    assert {parse_status(side, head[:cut], head[cut:]) for cut in cuts} == {expected_status}
    assert (log.counters["heads_too_large"] > before) == (expected_status == 431)


@pytest.mark.parametrize("side", STARTS, ids=["request", "answer"])
@pytest.mark.parametrize("first, expected_status", [(40, 400), (MAX_HEAD_BYTES + 90, 431)])
def test_first_fault_in_a_head_decides_however_the_head_is_split(side, first, expected_status):
    head = bytearray(head_of_bytes(side, MAX_HEAD_BYTES + 200))
    head[first] = ord("\n")
    statuses = {
        parse_status(side, bytes(head[:cut]), bytes(head[cut:]))
        for cut in (*range(1, 80), *range(MAX_HEAD_BYTES - 3, len(head)))
    }
    assert statuses | {parse_status(side, bytes(head))} == {expected_status}


@pytest.mark.parametrize(
    "count, expected_status", [(MAX_HEAD_LINES, 200), (MAX_HEAD_LINES + 1, 431)]
)
def test_trailers_are_limited_as_a_head_is(count, expected_status):
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    data = head + b"a: b\r\n" * count + b"\r\n"
    for cut in range(len(head), len(data), 7):
        parser, status = h11.Connection(h11.SERVER), 200
        try:
            for part in (data[:cut], data[cut:]):
                parser.receive_data(part)
                while (
                    event := parser.next_event()
                ) is not h11.NEED_DATA and event is not h11.PAUSED:
                    if isinstance(event, h11.EndOfMessage):
                        buffers.check_trailers(event)
                        break
        except h11.RemoteProtocolError as refused:
            status = refused.error_status_hint
        assert status == expected_status


def test_begins_with_whole_request_needs_all_of_one_valid_request():
    """Guards against a search that does not end without any bytes, which mean an end to h11."""
    whole = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
    assert buffers.begins_with_whole_request(whole)
    assert buffers.begins_with_whole_request(whole + b"POST")
    for cut in range(len(whole)):
        assert not buffers.begins_with_whole_request(whole[:cut])
    assert not buffers.begins_with_whole_request(b"no request\r\n\r\n")
