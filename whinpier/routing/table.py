"""Owns the table of routes: which of them takes a request, and which faults a set of routes has.

Of all routes whose every condition holds the most specific one takes the request. In order of
weight:

1. the host: an exact name, then the longest suffix, then any;
2. the path, segment by segment from the left: a literal, then a parameter, and last the end of a prefix;
3. a named method before any; 4. more headers before fewer; 5. a named request class before any.

Must never let the order in the file decide: two routes that this order cannot tell apart are a
fault.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from whinpier.routing import normalization

MAX_ROUTE_SEGMENTS = 16  # segments of a route
MAX_LABELS = 16  # of a host that are looked at as suffixes: real names have up to six
ANY_VALUE = "*"

Rank = tuple[Any, ...]


class RouteError(Exception):
    """Routes that cannot be used; `routes` names those at fault, the text says why."""

    def __init__(self, text: str, *routes: str) -> None:
        super().__init__(text)
        self.routes = routes


@dataclass(frozen=True, slots=True, eq=False)
class Route:
    """One route: conditions, all of which must hold, and where it leads.

    `host` is a name, `*.suffix` (one label more at least) or empty for any. `path` is `/a/b`, with
    `{name}` for any one segment; with `prefix` further whole segments may follow. `headers` asks
    for a value, or by `*` for any. `to` is not looked at here.
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
        return split_path(self.path) if not (self.prefix and self.path == "/") else []

    def rank(self) -> Rank:
        """What sorts routes, the most specific first."""
        if not self.host:
            by_host = (2, 0)
        else:
            by_host = (1, -len(self.host)) if self.host.startswith("*.") else (0, 0)
        by_path = (*(int(is_parameter(part)) for part in self.segments()), 2 if self.prefix else 0)
        return by_host, by_path, *self.condition_rank()

    def condition_rank(self) -> Rank:
        """What sorts routes of one host and path."""
        return not self.methods, -len(self.headers), not self.request_class

    def matches(self, asked: RouteQuery) -> bool:
        """Whether all conditions hold; the plain way, which the table must agree with."""
        if self.host.startswith("*."):
            if not asked.host.endswith(self.host[1:]):
                return False
        elif self.host and asked.host != self.host:
            return False
        own, parts = self.segments(), split_path(asked.path)
        if len(parts) < len(own) or (len(parts) > len(own) and not self.prefix):
            return False
        return all(
            is_parameter(a) and b or a == b for a, b in zip(own, parts)
        ) and not self.failed_condition(asked)

    def failed_condition(self, asked: RouteQuery) -> str:
        """The condition beside host and path that does not hold; empty where all do."""
        if self.methods and asked.method not in self.methods:
            return "method"
        for name, value in self.headers.items():
            given = asked.headers.get(name)
            if given is None or value not in (ANY_VALUE, given):
                return f"header {name}"
        return (
            "workload" if self.request_class and asked.request_class != self.request_class else ""
        )

    def overlaps(self, other: Route) -> bool:
        """Whether some request of their common host and path fulfils both."""
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
    """What routes look at of a request: host and path in their one form, names of headers in
    lower case.
    """

    method: str
    host: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    request_class: str = ""


@dataclass(slots=True)
class NoRoute:
    """Why no route takes a request: how far the nearest came, and which methods would have done."""

    reason: str
    methods: frozenset[str] = frozenset()


def is_parameter(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}")


def split_path(path: str) -> list[str]:
    """The segments of a path; one slash at the end makes an empty last one, but for `/` itself."""
    return path.split("/")[1:]


class Node:
    """A place in the tree of paths of one host."""

    __slots__ = ("literal", "wildcard", "exact", "prefixes")

    def __init__(self) -> None:
        self.literal: dict[str, Node] = {}
        self.wildcard: Node | None = None
        self.exact: list[Route] = []  # of paths that end here, the most specific first
        self.prefixes: list[Route] = []  # of prefixes that end here

    def routes_at(self, route: Route) -> list[Route]:
        node = self
        for segment in route.segments():
            if is_parameter(segment):
                node.wildcard = node.wildcard or Node()
                node = node.wildcard
            else:
                node = node.literal.setdefault(segment, Node())
        return node.prefixes if route.prefix else node.exact

    def matching(self, parts: list[str], at: int = 0) -> Iterator[Route]:
        """The routes whose path fits, the most specific first."""
        if at == len(parts):
            yield from self.exact
        else:
            if (node := self.literal.get(parts[at])) is not None:
                yield from node.matching(parts, at + 1)
            if self.wildcard is not None and parts[at]:
                yield from self.wildcard.matching(parts, at + 1)
        yield from self.prefixes


class RoutingTable:
    """Routes compiled: a look-up costs what the routes of its own host ask for, not what others do."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Raises RouteFault for routes that are faulty, ambiguous or can take nothing."""
        self.exact: dict[str, Node] = {}
        self.suffixes: dict[str, Node] = {}
        self.any_host = Node()
        self.routes = list(routes)
        names: set[str] = set()
        for route in self.routes:
            if route.name in names:
                raise RouteError("two routes have this name", route.name)
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
        if not host:
            return self.any_host
        if host.startswith("*."):
            return self.suffixes.setdefault(host[1:], Node())
        return self.exact.setdefault(host, Node())

    @staticmethod
    def check(route: Route) -> None:
        """What makes a route one that no request could fulfil."""
        try:
            bare = route.host.removeprefix("*.")
            if route.host and normalization.normalize_host(bare) != bare:
                raise RouteError(
                    f"host: {route.host!r} is written {normalization.normalize_host(bare)!r}",
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
                    f"path: {route.path!r} is written {normalization.normalize_path(plain)!r}",
                    route.name,
                )
        except normalization.AmbiguousNameError as unclear:
            raise RouteError(f"host or path: {unclear}", route.name) from None
        if len(segments) > MAX_ROUTE_SEGMENTS:
            raise RouteError(f"path: more than {MAX_ROUTE_SEGMENTS} segments", route.name)
        if route.prefix and segments and not segments[-1]:
            raise RouteError(
                "prefix: whole segments; the slash at its end belongs away", route.name
            )
        if len(route.host.split(".")) > MAX_LABELS:
            raise RouteError(f"host: more than {MAX_LABELS} labels", route.name)
        for name in route.headers:
            if name != name.lower():
                raise RouteError(f"headers: {name!r} is written in lower case", route.name)

    def host_trees(self, host: str) -> Iterator[Node]:
        """The trees that may hold a route of a host, the most specific first."""
        if (node := self.exact.get(host)) is not None:
            yield node
        if self.suffixes:
            labels = host.split(".")
            for first in range(max(1, len(labels) - MAX_LABELS), len(labels)):
                if (node := self.suffixes.get("." + ".".join(labels[first:]))) is not None:
                    yield node
        yield self.any_host

    def matching(self, asked: RouteQuery) -> Iterator[Route]:
        """The routes whose host and path fit, the most specific first."""
        parts = split_path(asked.path)
        for node in self.host_trees(asked.host):
            yield from node.matching(parts)

    def find(self, asked: RouteQuery) -> Route | NoRoute:
        """The route that takes a request, or why there is none."""
        methods, reason = set[str](), "host or path"
        for route in self.matching(asked):
            missing = route.failed_condition(asked)
            if not missing:
                return route
            if missing == "method":
                methods |= route.methods
            reason = missing
        return NoRoute("method" if methods else reason, frozenset(methods))

    def explain(self, asked: RouteQuery) -> Iterator[tuple[Route, str]]:
        """Each route whose host and path fit, the most specific first, with the condition that fails."""
        for route in self.matching(asked):
            yield route, route.failed_condition(asked)


def find_by_scan(routes: Iterable[Route], asked: RouteQuery) -> Route | None:
    """The route that takes a request, by looking at all of them: what the table is held against."""
    return min((route for route in routes if route.matches(asked)), key=Route.rank, default=None)
