"""Routes requests by the routing table of the operator's file; not imported without such a file.

A request whose host, path or headers are ambiguous is refused, and none is forwarded without a
route.
"""

from __future__ import annotations

from collections.abc import Mapping

from whinpier import log
from whinpier.http.platform_routes import Headers, RequestError, RouteTarget
from whinpier.policy.model import RequestClass
from whinpier.routing import normalization
from whinpier.routing.table import NoRoute, RouteQuery, RoutingTable
from whinpier.runtime.pool import Pool

# Methods whose responses end as their headers say; that of HEAD, for one, has a length and no body.
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))


class TableRouter:
    """Routes requests by a table; a request that matches no route gets an error response."""

    def __init__(self, table: RoutingTable, pools: Mapping[str, Pool]) -> None:
        """Resolve the pool and the request class of each route."""
        self.table = table
        self.targets = dict[str, RouteTarget]()
        # The headers that routes match on; no others are decoded.
        matched = {"host", "x-lane", *(name for route in table.routes for name in route.headers)}
        self.matched_headers = [(name.encode(), name) for name in sorted(matched)]
        for route in table.routes:
            target, pool = route.to, pools[route.to.pool]
            self.targets[route.name] = RouteTarget(
                pool,
                pool.request_classes.get(target.request_class.encode()),
                target.fields,
                target.timeout,
                bool(route.methods),
                route.name,
            )

    def route(
        self, method: bytes, target: bytes, header_map: dict[bytes, bytes], headers: Headers
    ) -> tuple[RouteTarget, RequestClass]:
        """Route a request by method, host, path and headers; raise RequestError if none matches."""
        if method not in METHODS:
            raise RequestError(405, f"{method!r} is no method of a task")
        matched = {
            name: header_map[key].decode("latin-1")
            for key, name in self.matched_headers
            if key in header_map
        }
        names = [name for name, _ in headers] if len(header_map) < len(headers) else []
        if names.count(b"host") > 1:
            raise RequestError(400, "a Host twice")
        try:
            host, path = matched.get("host", ""), target.partition(b"?")[0].decode("ascii")
            if not path.startswith("/"):
                host, path = self.split_absolute(host, path)
            host, path = normalization.normalize_host(host), normalization.normalize_path(path)
        except (normalization.AmbiguousNameError, UnicodeDecodeError) as error:
            raise RequestError(400, f"can be read two ways: {error}") from None
        query = RouteQuery(method.decode(), host, path, matched, matched.get("x-lane", ""))
        route = self.table.find(query)
        if isinstance(route, NoRoute):
            log.counters["no_route"] += 1
            if route.methods:
                allow = ", ".join(sorted(route.methods)).encode()
                raise RequestError(
                    405, "no route takes this method", [(b"allow", allow)], close_connection=False
                )
            raise RequestError(404, f"no route: {route.reason} not known", close_connection=False)
        for name in route.headers:
            if names.count(name.encode()) > 1:
                raise RequestError(400, f"{name}, which its route looks at, came twice")
        destination = self.targets[route.name]
        request_class = destination.request_class
        if request_class is None:
            key = query.request_class.encode("latin-1")
            request_class = destination.pool.request_classes.get(key)
            if request_class is None:
                raise RequestError(
                    404, f"no such workload: {query.request_class!r}", close_connection=False
                )
        return destination, request_class

    @staticmethod
    def split_absolute(host: str, target: str) -> tuple[str, str]:
        """Return host and path of a target in absolute form.

        Raise AmbiguousNameError unless it names the same host as the `Host` header.
        """
        scheme, separator, rest = target.partition("://")
        if not separator or scheme.lower() not in ("http", "https"):
            raise normalization.AmbiguousNameError("a target that is neither a path nor a URL")
        authority, slash, path = rest.partition("/")
        if "@" in authority or normalization.normalize_host(
            authority
        ) != normalization.normalize_host(host):
            raise normalization.AmbiguousNameError("a target that names another host than Host")
        return host, slash + path or "/"
