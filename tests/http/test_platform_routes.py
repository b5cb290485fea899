"""Tests how parts of a request's target are read."""

from hypothesis import given, settings
from hypothesis import strategies as st

from whinpier.http.platform_routes import query_parameter


def escaped(octets):
    return b"".join(b"%%%02X" % octet for octet in octets)


@settings(derandomize=True, deadline=None)
@given(st.binary(min_size=1, max_size=40), st.binary(min_size=1, max_size=8))
def test_query_parameter_returns_any_octets_that_were_escaped(value, name):
    """Guards against a query parser that fails for octets beyond ASCII."""
    target = b"/look?a=1&%s=%s&b=2" % (escaped(name), escaped(value))
    assert query_parameter(target, name) == (b"1" if name == b"a" else value)


def test_query_parameter_is_the_first_of_its_name_and_empty_without_one():
    assert query_parameter(b"/look?obj=a+b&obj=c", b"obj") == b"a b"
    assert query_parameter(b"/look?other=1", b"obj") == b""
    assert query_parameter(b"/look", b"obj") == b""
