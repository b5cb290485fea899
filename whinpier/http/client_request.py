"""A request of an HTTP client, and how its final response is written.

Invariant: it writes to its client's connection only while that waits for this request's response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from whinpier.http.upstream_connection import (
    UNFORWARDED_HEADERS,
    OutboundRequest,
    UpstreamResponse,
)
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import RequestClass

if TYPE_CHECKING:
    from whinpier.http.client_connection import ClientConnection

# After that, no attempt begins for a client whose end may not have arrived. By the platform's rules one may
# begin until 0.1 s after the client has closed.
MAX_HIDDEN_NS = SECOND // 20


class HttpRequest(OutboundRequest):
    """A request and the client connection that waits for its response."""

    __slots__ = ("client", "parsed_at")

    def __init__(
        self,
        client: ClientConnection,
        request_class: RequestClass,
        arrived_at: int,
        deadline: int,
        client_id: bytes,
    ) -> None:
        """Build the head to forward from what the connection has parsed."""
        super().__init__(client.loop.next_id(), request_class, arrived_at, deadline)
        self.client = client
        self.parsed_at = client.loop.clock()
        self.client_id = client_id
        self.body = bytes(client.body)
        head = [b"%s %s HTTP/1.1\r\n" % (client.method, client.target)]
        head += [
            b"%s: %s\r\n" % pair for pair in client.headers if pair[0] not in UNFORWARDED_HEADERS
        ]
        if client.method != b"GET":
            head.append(b"content-length: %d\r\n" % len(self.body))
        self.head = b"".join(head)

    def is_awaited(self) -> bool:
        """Tell whether the client connection still waits for this request's response."""
        return self.client.request is self

    def client_disconnected(self) -> bool:
        """Tell whether the client has closed its connection."""
        return self.client.has_disconnected()

    def is_client_hidden(self, now: int) -> bool:
        """Tell whether its client may have left for some time, and that could not be seen."""
        return now > self.parsed_at + MAX_HIDDEN_NS and self.client.may_have_left_unseen()

    def on_forgotten(self) -> None:
        """Note that its id is no longer known."""
        self.client.remembered -= 1

    def respond(self, response: UpstreamResponse) -> None:
        """Forward an upstream's response to the client."""
        headers = [pair for pair in response.headers if pair[0] not in UNFORWARDED_HEADERS]
        self.client.send_response(response.status, response.body, headers)

    def respond_rejected(self, wait: int) -> None:
        """Respond 503 with `Retry-After`; `wait` is in nanoseconds, 0: without the header."""
        self.client.send_response(503, b"turned back\n", retry_after(wait))

    def respond_failed(self) -> None:
        """Respond 502: no attempt succeeded."""
        self.client.send_response(502, b"not fulfilled\n")


def retry_after(wait: int) -> list[tuple[bytes, bytes]]:
    """Return a `Retry-After` header for a wait in nanoseconds, or no header for 0."""
    return [(b"retry-after", b"%.3f" % (wait / SECOND))] if wait else []
