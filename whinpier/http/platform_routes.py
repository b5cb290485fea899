"""Checks requests against their request class, and routes them by the platform's rule: by path.

A request that does not have the form of its request class's requests is never forwarded.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qs

from whinpier.config.model import Fields
from whinpier.policy.model import Effect, RequestClass
from whinpier.runtime.pool import Pool

Headers = list[tuple[bytes, bytes]]


class RequestError(Exception):
    """A request that gets an error response; the text becomes the response's body."""

    def __init__(
        self,
        status: int,
        text: str,
        headers: Headers | None = None,
        close_connection: bool = True,
    ) -> None:
        """Take the status, the extra headers, and whether the client's connection is closed."""
        super().__init__(text)
        self.status = status
        self.headers = headers
        self.close_connection = close_connection


@dataclass(slots=True, eq=False)
class RouteTarget:
    """Where a route sends requests, and which headers it reads."""

    pool: Pool
    request_class: RequestClass | None  # None: the one that the request names
    fields: Fields
    timeout: int = 0  # the longest, in nanoseconds; 0: the request class's
    any_method: bool = False  # the route lists its methods, so the request class's does not matter
    route: str = ""


class Router(Protocol):
    """Chooses the pool and the request class of a request."""

    def route(
        self, method: bytes, target: bytes, header_map: dict[bytes, bytes], headers: Headers
    ) -> tuple[RouteTarget, RequestClass]:
        """Route a request; raise RequestError if no route matches.

        `header_map` holds the last header of each name.
        """


class RequestClassRouter:
    """Routes all requests to one pool; the first path segment names the request class."""

    def __init__(self, pool: Pool) -> None:
        """Route all requests to this pool."""
        self.target = RouteTarget(pool, None, Fields())

    def route(
        self, method: bytes, target: bytes, header_map: dict[bytes, bytes], headers: Headers
    ) -> tuple[RouteTarget, RequestClass]:
        """Route a request by its path; an `X-Lane` header has to name the same request class."""
        path = target.partition(b"?")[0]
        name = path.lstrip(b"/").partition(b"/")[0]
        # Looked up for each request, since a reload replaces the pool's request classes.
        request_class = self.target.pool.request_classes.get(name)
        if request_class is None or header_map.get(b"x-lane", name) != name:
            raise RequestError(404, f"no such lane: {name!r}")
        return self.target, request_class


def check_request(
    method: bytes,
    target: RouteTarget,
    request_class: RequestClass,
    ticket: bytes | None,
    body_size: int,
) -> None:
    """Refuse a request whose method, idempotency key or body its request class does not allow."""
    if not target.any_method and method != (
        b"GET" if request_class.kind == Effect.IDEMPOTENT else b"POST"
    ):
        raise RequestError(405, f"{method!r} does not fit the lane")
    if (
        (request_class.kind == Effect.KEYED and not ticket)
        or (request_class.kind == Effect.NON_IDEMPOTENT and ticket)
        or (method == b"GET" and body_size)
    ):
        raise RequestError(400, "the lane's requests look otherwise")


def query_parameter(target: bytes, name: bytes) -> bytes:
    """Return the first value of a query parameter with its escapes decoded; empty without one.

    An escape stands for an octet, in no particular character encoding (RFC 3986, section 2.1).
    """
    query = target.partition(b"?")[2]
    if not query:
        return b""
    # Latin-1 maps each octet to a character and back.
    values = parse_qs(query.decode("latin-1"), encoding="latin-1").get(name.decode("latin-1"))
    return values[0].encode("latin-1") if values else b""
