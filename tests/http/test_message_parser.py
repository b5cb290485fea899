"""Tests that requests are parsed alike however they are cut, in steps of bounded cost."""

import h11
import pytest

from whinpier.http.buffers import MAX_HEAD_LINES, HeadTooLargeError
from whinpier.http.message_parser import FEED_BYTES, RequestParser

CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
LENGTH = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n" + b"x" * 60_000


def events(parser):
    """Return the kinds of events that can be parsed now, and the body's bytes."""
    kinds, body = [], b""
    while isinstance(event := parser.next_event(), h11.Event):
        kinds.append(type(event).__name__)
        body += getattr(event, "data", b"")
        if isinstance(event, h11.EndOfMessage):
            parser.start_next()
    return [kind for kind in kinds if kind != "Data"], bytes(body)


def parsed(data, size):
    parser, kinds, body = RequestParser(), [], b""
    for start in range(0, len(data), size):
        parser.receive(data[start : start + size])
        found, more = events(parser)
        kinds += found
        body += more
    assert parser.unparsed_size() == 0
    return kinds, body


@pytest.mark.parametrize("size", [1, 7, 1000, FEED_BYTES, FEED_BYTES + 1, 1 << 20])
def test_requests_sent_at_once_are_the_same_however_they_are_cut(size):
    data = LENGTH
    chunks = CHUNKED + b"5\r\nhello\r\n1\r\n!\r\n0\r\na: b\r\n\r\n"
    kinds, body = parsed(chunks + data + chunks, size)
    assert kinds == ["Request", "EndOfMessage"] * 3
    assert body == b"hello!" + b"x" * 60_000 + b"hello!"


@pytest.mark.parametrize("size", [1, 50, 1 << 20])
@pytest.mark.parametrize("count, is_refused", [(MAX_HEAD_LINES, False), (MAX_HEAD_LINES + 2, True)])
def test_trailers_over_the_limit_are_refused_however_they_are_cut(size, count, is_refused):
    data = CHUNKED + b"0\r\n" + b"a:\r\n" * count + b"\r\n"
    if is_refused:
        with pytest.raises(HeadTooLargeError):
            parsed(data, size)
    else:
        assert parsed(data, size)[0] == ["Request", "EndOfMessage"]


def test_trailers_of_thousands_of_lines_are_refused_before_h11_parses_them():
    # Guards against one step that parses 64 KiB of short trailers.
    parser = RequestParser()
    parser.receive(CHUNKED + b"0\r\n" + b"a:\r\n" * 16_000 + b"\r\n")
    with pytest.raises(HeadTooLargeError):
        events(parser)
    assert len(parser.received) > 60_000 - FEED_BYTES
