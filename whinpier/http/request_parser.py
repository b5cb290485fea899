"""Parses the requests of one connection with h11, in steps whose cost is bounded.

h11 parses heads and trailers of any size in one step and limits incomplete ones only, so that it is
given a few kilobytes at a time; what it has not been given yet is kept here.
"""

from __future__ import annotations

import h11

from whinpier.http import buffers

# A step parses this at the most, and what is left of a head.
FEED_BYTES = 4 * 1024


class RequestParser:
    """Parses one request after the other from the bytes that a client has sent."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.received = bytearray()  # what h11 has not been given
        self.parser: h11.Connection | None = None  # once there is a request to parse
        self.head_parsed = False
        self.is_chunked = False

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

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event, or h11's NEED_DATA.

        Raise `h11.RemoteProtocolError` for an invalid request, and `HeadTooLargeError` for a head
        or trailers over the limits.
        """
        parser = self.parser = self.parser or h11.Connection(h11.SERVER)
        while True:
            if not self.head_parsed:
                buffers.check_head(parser)
            event = parser.next_event()
            if isinstance(event, h11.Request):
                self.head_parsed = True
                self.is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
            elif isinstance(event, h11.EndOfMessage):
                buffers.check_trailers(event)
                self.head_parsed = False
            if event is not h11.NEED_DATA:
                return event
            if self.is_chunked:
                buffers.check_incomplete_trailers(parser.trailing_data[0])
            if not self.received:
                return event
            self.feed(parser)

    def feed(self, parser: h11.Connection) -> None:
        """Give h11 more of what has been received; all of it within a body of known length."""
        size = len(self.received) if self.head_parsed and not self.is_chunked else FEED_BYTES
        parser.receive_data(bytes(self.received[:size]))
        del self.received[:size]

    def is_whole(self) -> bool:
        """Tell whether the current request has been parsed to its end and another may follow."""
        return self.parser is not None and self.parser.their_state is h11.DONE

    def start_next(self) -> None:
        """Begin with the next request, of which a part may have been received."""
        # h11 does not see the response, so that each request needs a new parser.
        self.received[:0] = self.given_unparsed()
        self.parser = None
        self.head_parsed = False
        self.is_chunked = False

    def clear(self) -> None:
        """Drop what has been received."""
        self.received = bytearray()
        self.parser = None

    def continue_response(self) -> bytes:
        """Return the interim response that the client waits for, if it does."""
        if self.parser is None or not self.parser.they_are_waiting_for_100_continue:
            return b""
        return self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
