"""Parses requests and responses with h11, in steps whose cost is bounded.

h11 parses heads and trailers of any size in one step and limits incomplete ones only, so that it is
given a few kilobytes at a time; what it has not been given yet is kept here.
"""

from __future__ import annotations

import h11

from whinpier.http import buffers

# A step parses this at the most, and what is left of a head.
FEED_BYTES = 4 * 1024
# Tells h11 that a response is due. The request itself is written as it arrived, since building it
# with h11 costs over twice as much CPU.
PLACEHOLDER_REQUEST = h11.Request(method="GET", target="/", headers=[("host", "upstream")])

Step = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class MessageParser:
    """Parses the messages of one peer from the bytes that it has sent."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.received = bytearray()  # what h11 has not been given
        self.parser: h11.Connection | None = None  # once there is a message to parse
        self.is_chunked = False

    def create_parser(self) -> h11.Connection:
        """Return a parser for the next message."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Take bytes that have arrived."""
        self.received += data

    def given_unparsed(self) -> bytes:
        """Return the bytes that h11 has been given and that belong to no event yet."""
        return self.parser.trailing_data[0] if self.parser else b""

    def unparsed(self) -> bytes:
        """Return the bytes that belong to no event yet."""
        return self.given_unparsed() + bytes(self.received)

    def unparsed_size(self) -> int:
        """Return the number of bytes that belong to no event yet."""
        return len(self.given_unparsed()) + len(self.received)

    def is_in_body(self) -> bool:
        """Tell whether a head has been parsed, and its message is not whole yet."""
        return self.parser is not None and self.parser.their_state is h11.SEND_BODY

    def is_whole(self) -> bool:
        """Tell whether the current message has been parsed to its end and another may follow."""
        return self.parser is not None and self.parser.their_state is h11.DONE

    def next_event(self) -> Step:
        """Return the next event, or h11's NEED_DATA.

        Raise `h11.RemoteProtocolError` for an invalid message, and `HeadTooLargeError` for a head
        or trailers over the limits.
        """
        parser = self.parser = self.parser or self.create_parser()
        while True:
            if parser.their_state in (h11.IDLE, h11.SEND_RESPONSE):
                buffers.check_head(parser)
            event = parser.next_event()
            if isinstance(event, (h11.Request, h11.Response)):
                self.is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
            elif isinstance(event, h11.EndOfMessage):
                buffers.check_trailers(event)
            if event is not h11.NEED_DATA:
                return event
            if self.is_chunked:
                buffers.check_incomplete_trailers(parser.trailing_data[0])
            if not self.received:
                return event
            self.feed(parser)

    def feed(self, parser: h11.Connection) -> None:
        """Give h11 more of what has been received; all of it within a body without chunks."""
        size = len(self.received) if self.is_in_body() and not self.is_chunked else FEED_BYTES
        parser.receive_data(bytes(self.received[:size]))
        del self.received[:size]

    def start_next(self) -> None:
        """Begin with the next message, of which a part may have been received."""
        # h11 does not see what is written to the peer, so that each message needs a new parser.
        self.received[:0] = self.given_unparsed()
        self.parser = None
        self.is_chunked = False

    def clear(self) -> None:
        """Drop what has been received."""
        self.received = bytearray()
        self.parser = None
        self.is_chunked = False


class RequestParser(MessageParser):
    """Parses one request after the other."""

    def create_parser(self) -> h11.Connection:
        """Return a parser for the next request."""
        return h11.Connection(h11.SERVER)

    def continue_response(self) -> bytes:
        """Return the interim response that the client waits for, if it does."""
        if self.parser is None or not self.parser.they_are_waiting_for_100_continue:
            return b""
        return self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""


class ResponseParser(MessageParser):
    """Parses the response to a request that has been written."""

    def create_parser(self) -> h11.Connection:
        """Return a parser for the response to a request."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(PLACEHOLDER_REQUEST)
        parser.send(h11.EndOfMessage())
        return parser

    def has_begun(self) -> bool:
        """Tell whether a part of the response has arrived."""
        parser = self.parser
        return parser is not None and (
            parser.their_state is not h11.SEND_RESPONSE or bool(self.unparsed_size())
        )

    def allows_reuse(self) -> bool:
        """Tell whether the response is whole, with nothing behind it, and the upstream goes on."""
        # Surplus bytes would pass for the next request's response.
        return (
            self.is_whole()
            and not self.unparsed_size()
            and self.parser is not None
            and self.parser.our_state is h11.DONE
        )
