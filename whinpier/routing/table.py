"""Finds the route of a request, and validates a set of routes.

Of all routes whose conditions hold, the most specific one is chosen. Compared in this order:

1. the host: an exact name, then the longest suffix, then any host;
2. the path, segment by segment from the left: a literal, then a parameter, then the end of a prefix;
3. a route with methods before one without;
4. more headers before fewer;
5. a route with a request class before one without.

Invariant: the order of routes in the file never matters. Two routes that may match the same request
and are equally specific are an error.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from whinpier.routing import normalization

MAX_ROUTE_SEGMENTS = 16
# Of a host, counted from its end, that are compared with suffixes: real names have up to six.
MAX_LABELS = 16
ANY_VALUE = "*"  # a route's header that may have any value

Rank = tuple[Any, ...]


class RouteError(Exception):
    """Invalid or ambiguous routes; the text says why."""

    def __init__(self, text: str, *routes: str) -> None:
        """Name the routes at fault."""
        super().__init__(text)
        self.routes = routes


@dataclass(frozen=True, slots=True, eq=False)
class Route:
    """One route: its conditions, all of which must hold, and its target `to`.

    `host` is a name, `*.suffix` (which needs at least one more label) or empty for any host. `path`
    is `/a/b`, with `{name}` for any one segment; with `prefix`, more whole segments may follow.
    `headers` maps names in lower case to a value, or to `*` for any value. The table does not use
    `to`.
    """

    name: str
    host: str = ""
    path: str = "/"
    prefix: bool = True
    methods: frozenset[str] = frozenset()
    headers: Mapping[str, str] = field(default_factory=dict)
    request_class: str = ""
    to: Any = None

    def segments(self) -> list[str]:
        """Return the segments of the path; none for the prefix `/`."""
        return split_path(self.path) if not (self.prefix and self.path == "/") else []

    def rank(self) -> Rank:
        """Return a sort key that puts the most specific route first."""
        by_host = (0, 0)
        if not self.host:
            by_host = (2, 0)
        elif self.host.startswith("*."):
            by_host = (1, -len(self.host))
        by_path = (*(int(is_parameter(part)) for part in self.segments()), 2 if self.prefix else 0)
        return by_host, by_path, *self.condition_rank()

    def condition_rank(self) -> Rank:
        """Return the part of the sort key that compares routes of the same host and path."""
        return not self.methods, -len(self.headers), not self.request_class

    def matches(self, query: RouteQuery) -> bool:
        """Check all conditions one by one; the table must give the same result."""
        if self.host.startswith("*."):
            if not query.host.endswith(self.host[1:]):
                return False
        elif self.host and query.host != self.host:
            return False
        own, parts = self.segments(), split_path(query.path)
        if len(parts) < len(own) or (len(parts) > len(own) and not self.prefix):
            return False
        return all(
            (is_parameter(a) and b) or a == b for a, b in zip(own, parts, strict=False)
        ) and not self.failed_condition(query)

    def failed_condition(self, query: RouteQuery) -> str:
        """Return the first condition beside host and path that fails; empty if none does."""
        if self.methods and query.method not in self.methods:
            return "method"
        for name, value in self.headers.items():
            given = query.headers.get(name)
            if given is None or value not in (ANY_VALUE, given):
                return f"header {name}"
        return (
            "workload" if self.request_class and query.request_class != self.request_class else ""
        )

    def overlaps(self, other: Route) -> bool:
        """Tell whether a request with the same host and path can match both routes."""
        if self.methods and other.methods and not self.methods & other.methods:
            return False
        if self.request_class and other.request_class and self.request_class != other.request_class:
            return False
        both = self.headers.keys() & other.headers.keys()
        return all(
            len({self.headers[name], other.headers[name]} - {ANY_VALUE}) < 2 for name in both
        )


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """The parts of a request that routes match: host and path normalized, header names lower case."""

    method: str
    host: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    request_class: str = ""


@dataclass(slots=True)
class NoRoute:
    """No route matches: the condition that failed last, and the methods that would have matched."""

    reason: str
    methods: frozenset[str] = frozenset()


def is_parameter(segment: str) -> bool:
    """Tell whether a segment of a route is `{name}`."""
    return segment.startswith("{") and segment.endswith("}")


def split_path(path: str) -> list[str]:
    """Split a path into segments; a slash at the end gives an empty last one, as does `/`."""
    return path.split("/")[1:]


class Node:
    """A node in the tree of path segments of one host."""

    __slots__ = ("exact", "literal", "prefixes", "wildcard")

    def __init__(self) -> None:
        """Start without children and routes."""
        self.literal: dict[str, Node] = {}
        self.wildcard: Node | None = None
        # Routes whose path or prefix ends here, the most specific first.
        self.exact: list[Route] = []
        self.prefixes: list[Route] = []

    def routes_at(self, route: Route) -> list[Route]:
        """Return the list of routes with the same path as `route`, adding nodes as needed."""
        node = self
        for segment in route.segments():
            if is_parameter(segment):
                node.wildcard = node.wildcard or Node()
                node = node.wildcard
            else:
                node = node.literal.setdefault(segment, Node())
        return node.prefixes if route.prefix else node.exact

    def matching(self, parts: list[str], at: int = 0) -> Iterator[Route]:
        """Yield the routes whose path matches, the most specific first."""
        if at == len(parts):
            yield from self.exact
        else:
            if (node := self.literal.get(parts[at])) is not None:
                yield from node.matching(parts, at + 1)
            if self.wildcard is not None and parts[at]:
                yield from self.wildcard.matching(parts, at + 1)
        yield from self.prefixes


class RoutingTable:
    """The compiled routes: the cost of a look-up depends only on the routes of its host."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Compile the routes; raises RouteError for invalid, ambiguous or unreachable ones."""
        self.exact: dict[str, Node] = {}
        self.suffixes: dict[str, Node] = {}
        self.any_host = Node()
        self.routes = list(routes)
        names: set[str] = set()
        for route in self.routes:
            if route.name in names:
                raise RouteError("two routes have the same name", route.name)
            names.add(route.name)
            self.check(route)
            same = self.host_tree(route.host).routes_at(route)
            for other in same:
                if other.condition_rank() == route.condition_rank() and other.overlaps(route):
                    raise RouteError(
                        "two routes are as specific as each other and may take the same request",
                        other.name,
                        route.name,
                    )
            same.append(route)
            same.sort(key=Route.condition_rank)

    def host_tree(self, host: str) -> Node:
        """Return the tree for a route's host, adding it if needed."""
        if not host:
            return self.any_host
        if host.startswith("*."):
            return self.suffixes.setdefault(host[1:], Node())
        return self.exact.setdefault(host, Node())

    @staticmethod
    def check(route: Route) -> None:
        """Raise RouteError for a route that no normalized request could match."""
        try:
            bare = route.host.removeprefix("*.")
            if route.host and normalization.normalize_host(bare) != bare:
                raise RouteError(
                    f"host: {route.host!r} must be written {normalization.normalize_host(bare)!r}",
                    route.name,
                )
            segments = route.segments()
            plain = "/" + "/".join(
                "x" if is_parameter(segment) else segment for segment in segments
            )
            if not route.path.startswith("/"):
                raise RouteError(f"path: {route.path!r} does not begin with /", route.name)
            if normalization.normalize_path(plain) != plain:
                raise RouteError(
                    f"path: {route.path!r} must be written {normalization.normalize_path(plain)!r}",
                    route.name,
                )
        except normalization.AmbiguousNameError as unclear:
            raise RouteError(f"host or path: {unclear}", route.name) from None
        if len(segments) > MAX_ROUTE_SEGMENTS:
            raise RouteError(
                f"path: {len(segments)} segments, at most {MAX_ROUTE_SEGMENTS} are allowed",
                route.name,
            )
        if route.prefix and segments and not segments[-1]:
            raise RouteError(
                "prefix: matches whole segments and may not end with a slash", route.name
            )
        labels = route.host.split(".")
        if len(labels) > MAX_LABELS:
            raise RouteError(
                f"host: {len(labels)} labels, at most {MAX_LABELS} are allowed", route.name
            )
        for name in route.headers:
            if name != name.lower():
                raise RouteError(f"headers: {name!r} must be in lower case", route.name)

    def host_trees(self, host: str) -> Iterator[Node]:
        """Yield the trees that may have a route for a host, the most specific first."""
        if (node := self.exact.get(host)) is not None:
            yield node
        if self.suffixes:
            labels = host.split(".")
            for first in range(max(1, len(labels) - MAX_LABELS), len(labels)):
                if (node := self.suffixes.get("." + ".".join(labels[first:]))) is not None:
                    yield node
        yield self.any_host

    def matching(self, query: RouteQuery) -> Iterator[Route]:
        """Yield the routes whose host and path match, the most specific first."""
        parts = split_path(query.path)
        for node in self.host_trees(query.host):
            yield from node.matching(parts)

    def find(self, query: RouteQuery) -> Route | NoRoute:
        """Return the route of a request, or why there is none."""
        methods, reason = set[str](), "host or path"
        for route in self.matching(query):
            missing = route.failed_condition(query)
            if not missing:
                return route
            if missing == "method":
                methods |= route.methods
            reason = missing
        return NoRoute("method" if methods else reason, frozenset(methods))

    def explain(self, query: RouteQuery) -> Iterator[tuple[Route, str]]:
        """Yield each route whose host and path match, with the condition that fails ("" if none)."""
        for route in self.matching(query):
            yield route, route.failed_condition(query)


def find_by_scan(routes: Iterable[Route], query: RouteQuery) -> Route | None:
    """Find the route of a request by checking every route; tests compare the table with it."""
    return min((route for route in routes if route.matches(query)), key=Route.rank, default=None)
