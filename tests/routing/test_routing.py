"""Routes: which one matches, what is refused, and the table compared with a check of all routes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.routing import normalization
from whinpier.routing.table import (
    NoRoute,
    Route,
    RouteError,
    RouteQuery,
    RoutingTable,
    find_by_scan,
)


def found(routes, **asked):
    route = RoutingTable(routes).find(
        RouteQuery(**{"method": "GET", "host": "a.b.c", "path": "/x"} | asked)
    )
    return route.reason if isinstance(route, NoRoute) else route.name


@pytest.mark.parametrize(
    "text, host",
    [
        ("A.Example", "a.example"),
        ("a.example:8080", "a.example"),
        ("a.example.", "a.example"),
        ("127.0.0.1:1", "127.0.0.1"),
        ("[::1]:90", "[::1]"),
        ("[0:0::1]", "[::1]"),
        ("a_b", "a_b"),
    ],
)
def test_a_host_has_one_form(text, host):
    assert normalization.normalize_host(text) == host


@pytest.mark.parametrize(
    "text",
    [
        "",
        ".",
        "a..b",
        "a b",
        "a/b",
        "a@b",
        "a:",
        "a:x",
        "a:123456",
        "[::1",
        "[::g]",
        "[fe80::1%eth0]",
        "-a",
        "a" * 64,
        "a." * 130,
        "\xe4",
        "a\r\nb",
        "a,b",
    ],
)
def test_a_host_that_can_be_read_two_ways_is_refused(text):
    with pytest.raises(normalization.AmbiguousNameError):
        normalization.normalize_host(text)


@pytest.mark.parametrize(
    "text, path",
    [
        ("/", "/"),
        ("/a/b", "/a/b"),
        ("/%61/b", "/a/b"),
        ("/a%3fb", "/a%3Fb"),
        ("/a%7Eb", "/a~b"),
        ("/a/", "/a/"),
        ("/a;v=1", "/a;v=1"),
        ("/100%25", "/100%25"),
        ("/a.b", "/a.b"),
        ("/...", "/..."),
    ],
)
def test_a_path_has_one_form(text, path):
    assert normalization.normalize_path(text) == path and normalization.normalize_path(path) == path


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a",
        "//",
        "//a",
        "/a//b",
        "/.",
        "/..",
        "/a/../b",
        "/a/./b",
        "/%2e%2e/b",
        "/.%2e",
        "/a/..;x/b",
        "/a%2Fb",
        "/a%5cb",
        "/a\\b",
        "/a%00",
        "/a%",
        "/a%4",
        "/a%zz",
        "/a%252e",
        "/a b",
        "/\xe4",
        "/a\n",
        "/a#b",
        "/" + "a/" * 70,
    ],
)
def test_a_path_that_can_be_read_two_ways_is_refused(text):
    with pytest.raises(normalization.AmbiguousNameError):
        normalization.normalize_path(text)


@pytest.mark.parametrize(
    "asked, name",
    [
        ({}, "host"),
        ({"host": "z.b.c"}, "longer"),
        ({"host": "z.c"}, "shorter"),
        ({"host": "z"}, "any"),
        ({"host": "b.c"}, "shorter"),
        ({"path": "/x/y"}, "host"),
        ({"path": "/x/1/end"}, "template"),
        ({"path": "/x/lit/end"}, "literal"),
        ({"path": "/x/lit/other"}, "host"),
        ({"path": "/xy"}, "longer"),
        ({"path": "/only"}, "exact"),
        ({"path": "/only/more"}, "longer"),
        ({"path": "/p", "method": "POST"}, "post"),
        ({"path": "/p"}, "longer"),
        ({"path": "/p", "method": "POST", "headers": {"x-a": "1"}}, "valued"),
        ({"path": "/p", "method": "POST", "headers": {"x-a": "2"}}, "post"),
        ({"path": "/p", "method": "POST", "request_class": "w"}, "laned"),
    ],
)
def test_the_most_specific_route_takes_a_request_wherever_it_stands(asked, name):
    routes = [
        Route("any"),
        Route("shorter", "*.c"),
        Route("longer", "*.b.c"),
        Route("host", "a.b.c", "/x"),
        Route("template", "a.b.c", "/x/{n}/end", False),
        Route("literal", "a.b.c", "/x/lit/end", False),
        Route("exact", "a.b.c", "/only", False),
        Route("post", "a.b.c", "/p", methods=frozenset(["POST"])),
        Route("valued", "a.b.c", "/p", methods=frozenset(["POST"]), headers={"x-a": "1"}),
        Route("laned", "a.b.c", "/p", methods=frozenset(["POST"]), request_class="w"),
    ]
    assert found(routes, **asked) == found(routes[::-1], **asked) == name


@pytest.mark.parametrize(
    "asked, why",
    [
        ({"host": "other"}, "host or path"),
        ({"method": "PUT"}, "method"),
        ({"path": "/y"}, "header x-a"),
        ({"path": "/z"}, "workload"),
    ],
)
def test_what_no_route_takes_is_told_why(asked, why):
    routes = [
        Route("a", "a.b.c", "/x", methods=frozenset(["POST", "GET"][:1])),
        Route("b", "a.b.c", "/y", headers={"x-a": "*"}),
        Route("c", "a.b.c", "/z", request_class="w"),
    ]
    assert found(routes, **{"method": "POST"} | asked) == why


@pytest.mark.parametrize(
    "routes",
    [
        [Route("a", path="/x"), Route("b", path="/x")],
        [Route("a", path="/x/{n}", prefix=False), Route("b", path="/x/{m}", prefix=False)],
        [Route("a", headers={"x-a": "*"}), Route("b", headers={"x-b": "1"})],
        [Route("a", methods=frozenset(["GET", "PUT"])), Route("b", methods=frozenset(["GET"]))],
        [Route("a"), Route("a", path="/other")],
        [Route("a", host="A.b")],
        [Route("a", host="a..b")],
        [Route("a", host="*.")],
        [Route("a", host="a.*")],
        [Route("a", path="x")],
        [Route("a", path="/x/")],
        [Route("a", path="/a/../b")],
        [Route("a", path="/a//b")],
        [Route("a", path="/%61", prefix=False)],
        [Route("a", headers={"X-A": "1"})],
        [Route("a", path="/x" * 17)],
    ],
)
def test_routes_that_are_ambiguous_or_take_nothing_are_faults_that_name_them(routes):
    with pytest.raises(RouteError) as fault:
        RoutingTable(routes)
    assert set(fault.value.routes) == {route.name for route in routes}


def test_routes_that_cannot_take_the_same_request_are_no_fault():
    RoutingTable(
        [
            Route("a", headers={"x-a": "1"}),
            Route("b", headers={"x-a": "2"}),
            Route("c", path="/p", methods=frozenset(["GET"])),
            Route("d", path="/p", methods=frozenset(["PUT"])),
            Route("e", path="/q", request_class="v"),
            Route("f", path="/q", request_class="w"),
        ]
    )


words = st.sampled_from(["a", "b", "c"])
hosts = st.sampled_from(["", "a", "a.b", "b.b", "*.b", "*.a.b", "x.a.b", "c.a.b"])
segments = st.lists(st.one_of(words, st.sampled_from(["{n}", "{m}"])), max_size=4)
methods = st.frozensets(st.sampled_from(["GET", "POST"]), max_size=2)
headers = st.dictionaries(
    st.sampled_from(["x-a", "x-b"]), st.sampled_from(["1", "2", "*"]), max_size=2
)
route = st.builds(
    lambda host, path, prefix, method, header, request_class: Route(
        "", host, "/" + "/".join(path), prefix, method, header, request_class
    ),
    hosts,
    segments,
    st.booleans(),
    methods,
    headers,
    st.sampled_from(["", "v"]),
)
query = st.builds(
    RouteQuery,
    st.sampled_from(["GET", "POST"]),
    st.sampled_from(["a", "a.b", "b.b", "x.a.b", "q"]),
    st.lists(words, max_size=5).map(lambda parts: "/" + "/".join(parts)),
    st.dictionaries(st.sampled_from(["x-a", "x-b"]), st.sampled_from(["1", "2"])),
    st.sampled_from(["", "v", "w"]),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(route, max_size=25), st.lists(query, min_size=1, max_size=20))
def test_the_table_finds_what_a_plain_scan_finds(routes, queries):
    kept = []
    for number, one in enumerate(routes):  # as many as are valid together
        one = Route(
            f"r{number}",
            one.host,
            one.path,
            one.prefix,
            one.methods,
            one.headers,
            one.request_class,
        )
        try:
            RoutingTable([*kept, one])
            kept.append(one)
        except RouteError:
            pass
    table = RoutingTable(kept)
    for query in queries:
        got = table.find(query)
        assert (None if isinstance(got, NoRoute) else got) is find_by_scan(kept, query)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet="/.%2eE5cCfF0a;\\ab", max_size=12).map(lambda text: "/" + text))
def test_a_path_that_passes_stays_itself_and_hides_nothing(text):
    try:
        path = normalization.normalize_path(text)
    except normalization.AmbiguousNameError:
        return
    assert normalization.normalize_path(path) == path
    assert not {".", ".."} & {part.partition(";")[0] for part in path.split("/")}
    assert "//" not in path and "\\" not in path and "%2F" not in path.upper()
