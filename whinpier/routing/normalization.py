"""Owns the one form of a host and of a path in which routes are matched (RFC 3986, sections 3.2.2
and 6.2.2).

Must never guess: what one reader would take for this and the next for that is refused with a
reason, since a request could otherwise slip past its route.
"""

from __future__ import annotations

import re
from ipaddress import IPv6Address

MAX_HOST_LENGTH = 253  # RFC 1035
MAX_SEGMENTS = 64  # of a path; routes have 16 at most
LABEL = re.compile(r"[a-z0-9_](?:[-a-z0-9_]{0,61}[a-z0-9_])?")
PORT = re.compile(r":[0-9]{1,5}\Z")
PLAIN = re.compile(
    r"/(?:[-A-Za-z0-9_~]+(?:/[-A-Za-z0-9_~]+)*)?\Z"
)  # most paths: nothing in them to look at
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
ALLOWED = re.compile(r"[-A-Za-z0-9._~!$&'()*+,;=:@%/]*\Z")  # of a path
ESCAPE = re.compile(r"%(..?)?")
HIDDEN = frozenset(("2F", "5C", "00"))  # escapes that some servers take for an end


class AmbiguousNameError(Exception):
    """What can be read two ways, or not at all; the text says why."""


def normalize_host(text: str) -> str:
    """A host in lower case, without port and final dot. An address of version 6 keeps its brackets."""
    name = text.lower()
    if name.startswith("["):
        address, mark, port = name[1:].partition("]")
        try:
            if not mark or port and not PORT.match(port) or "%" in address:
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
    """A path, without its query, with needless escapes undone and the others in capitals."""
    if PLAIN.match(text):
        return text
    if not text.startswith("/") or not ALLOWED.match(text):
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
        # `..;x` is `..` to servers that know parameters of segments.
        if segment.partition(";")[0] in (".", ".."):
            raise AmbiguousNameError("the path has a dot segment")
    return text


def normalize_escape(found: re.Match[str]) -> str:
    digits = (found[1] or "").upper()
    try:
        if len(digits) != 2:
            raise ValueError
        character = chr(int(digits, 16))
    except ValueError:
        raise AmbiguousNameError("the path has an escape that is none") from None
    if digits in HIDDEN:
        raise AmbiguousNameError(f"the path hides %{digits}")
    if digits == "25":
        after = found.string[found.end() : found.end() + 2]
        if len(after) == 2 and all(mark in "0123456789abcdefABCDEF" for mark in after):
            raise AmbiguousNameError("the path is escaped twice")
    return character if character in UNRESERVED else f"%{digits}"
