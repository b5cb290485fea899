"""Normalizes the hosts and paths by which routes are matched (RFC 3986, sections 3.2.2 and 6.2.2).

Invariant: a text that two readers could take differently is refused with a reason, since a request
could otherwise slip past its route.
"""

from __future__ import annotations

import re
from ipaddress import IPv6Address

MAX_HOST_LENGTH = 253  # RFC 1035
MAX_SEGMENTS = 64  # of a path; routes have 16 at most
LABEL = re.compile(r"[a-z0-9_](?:[-a-z0-9_]{0,61}[a-z0-9_])?")
PORT = re.compile(r":[0-9]{1,5}\Z")
# Most paths: already normalized, with nothing that needs checking.
SIMPLE_PATH = re.compile(r"/(?:[-A-Za-z0-9_~]+(?:/[-A-Za-z0-9_~]+)*)?\Z")
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PATH_CHARACTERS = re.compile(r"[-A-Za-z0-9._~!$&'()*+,;=:@%/]*\Z")
ESCAPE = re.compile(r"%(..?)?")
# Escaped slash, backslash and NUL, which some servers treat as a separator or as the end.
FORBIDDEN_ESCAPES = frozenset(("2F", "5C", "00"))


class AmbiguousNameError(Exception):
    """A host or path that is invalid or can be read in two ways.

    The text says why; it becomes part of the response to the client.
    """


def normalize_host(text: str) -> str:
    """Return a host in lower case, without port and final dot; an IPv6 address in its brackets.

    Raises AmbiguousNameError.
    """
    name = text.lower()
    if name.startswith("["):
        address, closing_bracket, port = name[1:].partition("]")
        try:
            if not closing_bracket or (port and not PORT.match(port)) or "%" in address:
                raise ValueError
            return f"[{IPv6Address(address).compressed}]"
        except ValueError:
            raise AmbiguousNameError(f"host {text!r} is no address") from None
    if ":" in name:
        if not (found := PORT.search(name)):
            raise AmbiguousNameError(f"host {text!r} has no port that can be read")
        name = name[: found.start()]
    name = name.removesuffix(".")
    if not name or len(name) > MAX_HOST_LENGTH or not all(map(LABEL.fullmatch, name.split("."))):
        raise AmbiguousNameError(f"host {text!r} is no name")
    return name


def normalize_path(text: str) -> str:
    """Return a path without needless escapes, and with the others in upper case.

    The text has no query. Raises AmbiguousNameError.
    """
    if SIMPLE_PATH.match(text):
        return text
    if not text.startswith("/") or not PATH_CHARACTERS.match(text):
        raise AmbiguousNameError("the path has characters that belong in no path")
    if "%" in text:
        text = ESCAPE.sub(normalize_escape, text)
    segments = text.split("/")[1:]
    if len(segments) > MAX_SEGMENTS:
        raise AmbiguousNameError(f"the path has more than {MAX_SEGMENTS} segments")
    for segment in segments[:-1]:
        if not segment:
            raise AmbiguousNameError("the path has an empty segment")
    for segment in segments:
        # Servers that support path parameters read `..;x` as `..`.
        if segment.partition(";")[0] in (".", ".."):
            raise AmbiguousNameError("the path has a dot segment")
    return text


def normalize_escape(found: re.Match[str]) -> str:
    """Decode an escape of an unreserved character, and write others in upper case.

    Raises AmbiguousNameError.
    """
    digits = (found[1] or "").upper()
    try:
        if len(digits) != 2:
            raise ValueError
        character = chr(int(digits, 16))
    except ValueError:
        raise AmbiguousNameError("the path has an escape that is none") from None
    if digits in FORBIDDEN_ESCAPES:
        raise AmbiguousNameError(f"the path hides %{digits}")
    if digits == "25":
        after = found.string[found.end() : found.end() + 2]
        if len(after) == 2 and all(mark in "0123456789abcdefABCDEF" for mark in after):
            raise AmbiguousNameError("the path is escaped twice")
    return character if character in UNRESERVED else f"%{digits}"
