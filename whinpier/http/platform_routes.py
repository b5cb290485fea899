"""Owns what a request has to say to be a request, and the platform's way to its request class: by
lane.

Must never pass on what does not look as its request class's requests do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from whinpier.config.model import Fields
from whinpier.policy.model import Effect, RequestClass
from whinpier.runtime.pool import Pool

Headers = list[tuple[bytes, bytes]]


class RequestError(Exception):
    """A request that is no request; the text says why, `headers` go with the answer."""

    def __init__(
        self, status: int, text: str, headers: Headers | None = None, last: bool = True
    ) -> None:
        super().__init__(text)
        self.status, self.headers, self.last = status, headers, last


@dataclass(slots=True, eq=False)
class RouteTarget:
    """Where a request goes: of its pool, by which rules, and which of its headers say what."""

    pool: Pool
    request_class: RequestClass | None  # None: the one that the request names
    fields: Fields
    timeout: int = 0  # nanoseconds at most; 0: the request class's
    any_method: bool = (
        False  # whether the route names its methods, so that none needs to fit the kind
    )
    route: str = ""


class Router(Protocol):
    """Says where a request goes."""

    def route(
        self, method: bytes, target: bytes, fields: dict[bytes, bytes], headers: Headers
    ) -> tuple[RouteTarget, RequestClass]:
        """Raises BadRequest for what goes nowhere. `fields` are the headers by name, the last of each."""


class RequestClassRouter:
    """The platform's way: the first part of the path names the request class, of the only pool."""

    def __init__(self, pool: Pool) -> None:
        self.target = RouteTarget(pool, None, Fields())

    def route(
        self, method: bytes, target: bytes, fields: dict[bytes, bytes], headers: Headers
    ) -> tuple[RouteTarget, RequestClass]:
        path = target.partition(b"?")[0]
        lane = path.lstrip(b"/").partition(b"/")[0]
        request_class = self.target.pool.request_classes.get(lane)  # as the pool has them now
        if request_class is None or fields.get(b"x-lane", lane) != lane:
            raise RequestError(404, f"no such lane: {lane!r}")
        return self.target, request_class


def fits(
    method: bytes, target: RouteTarget, request_class: RequestClass, ticket: bytes | None, size: int
) -> None:
    """Refuse a request that does not look as its request class's do."""
    if not target.any_method and method != (
        b"GET" if request_class.kind == Effect.IDEMPOTENT else b"POST"
    ):
        raise RequestError(405, f"{method!r} does not fit the lane")
    if (
        request_class.kind == Effect.KEYED
        and not ticket
        or request_class.kind == Effect.NON_IDEMPOTENT
        and ticket
        or method == b"GET"
        and size
    ):
        raise RequestError(400, "the lane's requests look otherwise")
