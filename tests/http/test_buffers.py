"""Stories of how a head's bytes are judged: by what they are, not by how they were cut on their
way.
"""

import h11
import pytest

from whinpier import log
from whinpier.http import buffers
from whinpier.http.buffers import MAX_HEAD_BYTES, MAX_HEAD_LINES

STARTS = {
    h11.SERVER: b"GET /a HTTP/1.1\r\nhost: a\r\n",
    h11.CLIENT: b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
}


def verdict(side, *parts):
    """What becomes of a head that comes in these parts: 200 where it is taken, or its refusal's status."""
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


def filled(side, size):
    """A head of so many bytes."""
    start = STARTS[side] + b"x-fill: "
    return start + b"y" * (size - len(start) - 4) + b"\r\n\r\n"


def lined(side, count):
    """A head of so many lines, the first among them."""
    return STARTS[side] + b"a: b\r\n" * (count - 2) + b"\r\n"


@pytest.mark.parametrize("side", STARTS, ids=["request", "answer"])
@pytest.mark.parametrize(
    "kind, of, wanted",
    [
        (filled, MAX_HEAD_BYTES, 200),
        (filled, MAX_HEAD_BYTES + 1, 431),
        (filled, 55_000, 431),
        (lined, MAX_HEAD_LINES, 200),
        (lined, MAX_HEAD_LINES + 1, 431),
        (lined, 5_000, 431),
    ],
)
def test_a_head_is_taken_or_refused_the_same_however_it_is_cut(side, kind, of, wanted):
    """A request of 5,000 lines that came in one read was passed on, while in two it was refused."""
    head, before = kind(side, of), log.counters["heads_too_large"]
    assert verdict(side, head) == wanted
    near = sorted(
        {
            *range(1, len(head), 211),
            *range(1, 60),
            *range(len(head) - 60, len(head)),
            *(at for at in range(MAX_HEAD_BYTES - 4, MAX_HEAD_BYTES + 5) if at < len(head)),
        }
    )
    assert {verdict(side, head[:cut], head[cut:]) for cut in near} == {wanted}
    assert (log.counters["heads_too_large"] > before) == (wanted == 431)


@pytest.mark.parametrize("side", STARTS, ids=["request", "answer"])
@pytest.mark.parametrize("first, wanted", [(40, 400), (MAX_HEAD_BYTES + 90, 431)])
def test_of_two_faults_the_one_that_stands_first_decides_however_it_is_cut(side, first, wanted):
    head = bytearray(filled(side, MAX_HEAD_BYTES + 200))
    head[first] = ord("\n")
    told = {
        verdict(side, bytes(head[:cut]), bytes(head[cut:]))
        for cut in (*range(1, 80), *range(MAX_HEAD_BYTES - 3, len(head)))
    }
    assert told | {verdict(side, bytes(head))} == {wanted}


@pytest.mark.parametrize("count, wanted", [(MAX_HEAD_LINES, 200), (MAX_HEAD_LINES + 1, 431)])
def test_what_follows_a_body_in_chunks_is_bounded_as_a_head_is(count, wanted):
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    data = head + b"a: b\r\n" * count + b"\r\n"
    for cut in range(len(head), len(data), 7):
        parser, told = h11.Connection(h11.SERVER), 200
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
            told = refused.error_status_hint
        assert told == wanted
