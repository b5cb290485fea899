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

from whinpier.routing import normal

DEEPEST = 16  # segments of a route
LABELS = 16  # of a host that are looked at as suffixes: real names have up to six
ANY = "*"

Rank = tuple[Any, ...]


class RouteFault(Exception):
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
        return split(self.path) if not (self.prefix and self.path == "/") else []

    def rank(self) -> Rank:
        """What sorts routes, the most specific first."""
        if not self.host:
            by_host = (2, 0)
        else:
            by_host = (1, -len(self.host)) if self.host.startswith("*.") else (0, 0)
        by_path = (*(int(parameter(part)) for part in self.segments()), 2 if self.prefix else 0)
        return by_host, by_path, *self.finer()

    def finer(self) -> Rank:
        """What sorts routes of one host and path."""
        return not self.methods, -len(self.headers), not self.request_class

    def takes(self, asked: RouteQuery) -> bool:
        """Whether all conditions hold; the plain way, which the table must agree with."""
        if self.host.startswith("*."):
            if not asked.host.endswith(self.host[1:]):
                return False
        elif self.host and asked.host != self.host:
            return False
        own, parts = self.segments(), split(asked.path)
        if len(parts) < len(own) or (len(parts) > len(own) and not self.prefix):
            return False
        return all(parameter(a) and b or a == b for a, b in zip(own, parts)) and not self.missing(
            asked
        )

    def missing(self, asked: RouteQuery) -> str:
        """The condition beside host and path that does not hold; empty where all do."""
        if self.methods and asked.method not in self.methods:
            return "method"
        for name, value in self.headers.items():
            given = asked.headers.get(name)
            if given is None or value not in (ANY, given):
                return f"header {name}"
        return (
            "workload" if self.request_class and asked.request_class != self.request_class else ""
        )

    def meets(self, other: Route) -> bool:
        """Whether some request of their common host and path fulfils both."""
        if self.methods and other.methods and not self.methods & other.methods:
            return False
        if self.request_class and other.request_class and self.request_class != other.request_class:
            return False
        both = self.headers.keys() & other.headers.keys()
        return all(len({self.headers[name], other.headers[name]} - {ANY}) < 2 for name in both)


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
class Missed:
    """Why no route takes a request: how far the nearest came, and which methods would have done."""

    reason: str
    methods: frozenset[str] = frozenset()


def parameter(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}")


def split(path: str) -> list[str]:
    """The segments of a path; one slash at the end makes an empty last one, but for `/` itself."""
    return path.split("/")[1:]


class Node:
    """A place in the tree of paths of one host."""

    __slots__ = ("literal", "any", "ends", "goes_on")

    def __init__(self) -> None:
        self.literal: dict[str, Node] = {}
        self.any: Node | None = None
        self.ends: list[Route] = []  # of paths that end here, the most specific first
        self.goes_on: list[Route] = []  # of prefixes that end here

    def place(self, route: Route) -> list[Route]:
        node = self
        for segment in route.segments():
            if parameter(segment):
                node.any = node.any or Node()
                node = node.any
            else:
                node = node.literal.setdefault(segment, Node())
        return node.goes_on if route.prefix else node.ends

    def matching(self, parts: list[str], at: int = 0) -> Iterator[Route]:
        """The routes whose path fits, the most specific first."""
        if at == len(parts):
            yield from self.ends
        else:
            if (node := self.literal.get(parts[at])) is not None:
                yield from node.matching(parts, at + 1)
            if self.any is not None and parts[at]:
                yield from self.any.matching(parts, at + 1)
        yield from self.goes_on


class Table:
    """Routes compiled: a look-up costs what the routes of its own host ask for, not what others do."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Raises RouteFault for routes that are faulty, ambiguous or can take nothing."""
        self.exact: dict[str, Node] = {}
        self.suffixes: dict[str, Node] = {}
        self.others = Node()
        self.routes = list(routes)
        names: set[str] = set()
        for route in self.routes:
            if route.name in names:
                raise RouteFault("two routes have this name", route.name)
            names.add(route.name)
            self.check(route)
            same = self.tree(route.host).place(route)
            for other in same:
                if other.finer() == route.finer() and other.meets(route):
                    raise RouteFault(
                        "two routes are as specific as each other and may take the same request",
                        other.name,
                        route.name,
                    )
            same.append(route)
            same.sort(key=Route.finer)

    def tree(self, host: str) -> Node:
        if not host:
            return self.others
        if host.startswith("*."):
            return self.suffixes.setdefault(host[1:], Node())
        return self.exact.setdefault(host, Node())

    @staticmethod
    def check(route: Route) -> None:
        """What makes a route one that no request could fulfil."""
        try:
            bare = route.host.removeprefix("*.")
            if route.host and normal.host(bare) != bare:
                raise RouteFault(
                    f"host: {route.host!r} is written {normal.host(bare)!r}", route.name
                )
            segments = route.segments()
            plain = "/" + "/".join("x" if parameter(segment) else segment for segment in segments)
            if not route.path.startswith("/"):
                raise RouteFault(f"path: {route.path!r} does not begin with /", route.name)
            if normal.path(plain) != plain:
                raise RouteFault(
                    f"path: {route.path!r} is written {normal.path(plain)!r}", route.name
                )
        except normal.Unclear as unclear:
            raise RouteFault(f"host or path: {unclear}", route.name) from None
        if len(segments) > DEEPEST:
            raise RouteFault(f"path: more than {DEEPEST} segments", route.name)
        if route.prefix and segments and not segments[-1]:
            raise RouteFault(
                "prefix: whole segments; the slash at its end belongs away", route.name
            )
        if len(route.host.split(".")) > LABELS:
            raise RouteFault(f"host: more than {LABELS} labels", route.name)
        for name in route.headers:
            if name != name.lower():
                raise RouteFault(f"headers: {name!r} is written in lower case", route.name)

    def hosts(self, host: str) -> Iterator[Node]:
        """The trees that may hold a route of a host, the most specific first."""
        if (node := self.exact.get(host)) is not None:
            yield node
        if self.suffixes:
            labels = host.split(".")
            for first in range(max(1, len(labels) - LABELS), len(labels)):
                if (node := self.suffixes.get("." + ".".join(labels[first:]))) is not None:
                    yield node
        yield self.others

    def matching(self, asked: RouteQuery) -> Iterator[Route]:
        """The routes whose host and path fit, the most specific first."""
        parts = split(asked.path)
        for node in self.hosts(asked.host):
            yield from node.matching(parts)

    def find(self, asked: RouteQuery) -> Route | Missed:
        """The route that takes a request, or why there is none."""
        methods, reason = set[str](), "host or path"
        for route in self.matching(asked):
            missing = route.missing(asked)
            if not missing:
                return route
            if missing == "method":
                methods |= route.methods
            reason = missing
        return Missed("method" if methods else reason, frozenset(methods))

    def explain(self, asked: RouteQuery) -> Iterator[tuple[Route, str]]:
        """Each route whose host and path fit, the most specific first, with the condition that fails."""
        for route in self.matching(asked):
            yield route, route.missing(asked)


def scan(routes: Iterable[Route], asked: RouteQuery) -> Route | None:
    """The route that takes a request, by looking at all of them: what the table is held against."""
    return min((route for route in routes if route.takes(asked)), key=Route.rank, default=None)
