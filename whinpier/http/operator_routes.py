"""Owns the operator's way from a request to its pool and request class: by the table of routes.

Not imported without an operator's file. Must never pass on what can be read two ways, or let a
request past its route.
"""

from __future__ import annotations

from collections.abc import Mapping

from whinpier import log
from whinpier.http.platform_routes import BadRequest, Headers, Target
from whinpier.policy.model import RequestClass
from whinpier.routing import normalization
from whinpier.routing.table import NoRoute, RouteQuery, RoutingTable
from whinpier.runtime.pool import Pool

METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))  # whose answers end as they say


class Routed:
    """The operator's way: a table of routes. What matches none is answered at once."""

    def __init__(self, table: RoutingTable, pools: Mapping[str, Pool]) -> None:
        self.table, self.targets = table, dict[str, Target]()
        # What routes look at; no other header is decoded for them.
        looked_at = {"host", "x-lane", *(name for route in table.routes for name in route.headers)}
        self.looked_at = [(name.encode(), name) for name in sorted(looked_at)]
        for route in table.routes:
            to, pool = route.to, pools[route.to.pool]
            self.targets[route.name] = Target(
                pool,
                pool.request_classes.get(to.request_class.encode()),
                to.fields,
                to.timeout,
                bool(route.methods),
                route.name,
            )

    def route(
        self, method: bytes, target: bytes, fields: dict[bytes, bytes], headers: Headers
    ) -> tuple[Target, RequestClass]:
        if method not in METHODS:
            raise BadRequest(405, f"{method!r} is no method of a task")
        found = {
            name: fields[key].decode("latin-1") for key, name in self.looked_at if key in fields
        }
        names = [name for name, _ in headers] if len(fields) < len(headers) else []
        if names.count(b"host") > 1:
            raise BadRequest(400, "a Host twice")
        try:
            host, path = found.get("host", ""), target.partition(b"?")[0].decode("ascii")
            if not path.startswith("/"):
                host, path = self.absolute(host, path)
            host, path = normalization.normalize_host(host), normalization.normalize_path(path)
        except (normalization.AmbiguousNameError, UnicodeDecodeError) as unclear:
            raise BadRequest(400, f"can be read two ways: {unclear}") from None
        asked = RouteQuery(method.decode(), host, path, found, found.get("x-lane", ""))
        route = self.table.find(asked)
        if isinstance(route, NoRoute):
            log.counters["no_route"] += 1
            if route.methods:
                allow = ", ".join(sorted(route.methods)).encode()
                raise BadRequest(405, "no route takes this method", [(b"allow", allow)], last=False)
            raise BadRequest(404, f"no route: {route.reason} not known", last=False)
        for name in route.headers:
            if names.count(name.encode()) > 1:
                raise BadRequest(400, f"{name}, which its route looks at, came twice")
        to = self.targets[route.name]
        request_class = to.request_class
        if request_class is None:
            lane = asked.request_class.encode("latin-1")
            request_class = to.pool.request_classes.get(lane)
            if request_class is None:
                raise BadRequest(404, f"no such workload: {asked.request_class!r}", last=False)
        return to, request_class

    @staticmethod
    def absolute(host: str, target: str) -> tuple[str, str]:
        """Host and path of a target in absolute form, which has to name the host that `Host` names."""
        scheme, mark, rest = target.partition("://")
        if not mark or scheme.lower() not in ("http", "https"):
            raise normalization.AmbiguousNameError("a target that is neither a path nor a URL")
        named, slash, path = rest.partition("/")
        if "@" in named or normalization.normalize_host(named) != normalization.normalize_host(
            host
        ):
            raise normalization.AmbiguousNameError("a target that names another host than Host")
        return host, slash + path or "/"
