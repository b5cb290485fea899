"""What every part's tables in an operator's file share: typed structs, names, durations, secrets,
faults.

Owns what is said of a faulty key: its place, what is allowed, what may have been meant. Knows no
part's keys, so that each part brings its own. Not imported without such a file.
"""

from __future__ import annotations

import difflib
import re
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import msgspec
from msgspec import Meta, Struct

from whinpier.config.model import ConfigFault
from whinpier.policy.decaying_sum import SECOND
from whinpier.storage.bounded_files import read_bounded

SECRET = 4096  # bytes of a secret with what stands round it
NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}\Z")
DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(us|ms|s|m|h)\Z")
UNITS = {"us": 1_000, "ms": 1_000_000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}

Whole = Annotated[int, Meta(ge=0, le=2**40)]
Count = Annotated[int, Meta(ge=1, le=2**31)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Duration = str


class Strict(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file: a key that it does not have is a fault."""


T = TypeVar("T", bound=Strict)


def part(value: Any, kind: type[T], at: str) -> T:
    """One table of the file, with its place in what is said about a fault."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as fault:
        what, _, inner = str(fault).partition(" - at `$")
        path = inner.rstrip("`")
        key = (at + path if at else path.lstrip(".")) or "file"
        if unknown := re.search(r"unknown field `(.*)`", what):
            allowed = [field.encode_name for field in msgspec.structs.fields(type_at(kind, path))]
            near = difflib.get_close_matches(unknown[1], allowed, 1)
            hint = f" (meant: {near[0]})" if near else ""
            joined = f"{key}.{unknown[1]}" if key != "file" else unknown[1]
            raise ConfigFault(
                f"{joined}: is no key here{hint}; allowed: {', '.join(allowed)}"
            ) from None
        if missing := re.search(r"missing required field `(.*)`", what):
            joined = f"{key}.{missing[1]}" if key != "file" else missing[1]
            raise ConfigFault(f"{joined}: is missing") from None
        if wrong := re.search(r"[Ii]nvalid enum value (.*)", what):
            allowed = literals(type_at(kind, path))
            raise ConfigFault(f"{key}: {wrong[1]} is none of {', '.join(allowed)}") from None
        raise ConfigFault(f"{key}: {what[:1].lower()}{what[1:]}") from None


def type_at(kind: Any, path: str) -> Any:
    """The type that a path such as `.limits.requests` or `.streams[0]` leads to."""
    for step in re.findall(r"\.(\w+)", path):
        kind = next(
            field.type for field in msgspec.structs.fields(bare(kind)) if field.encode_name == step
        )
    return bare(kind)


def bare(kind: Any) -> Any:
    """What a list, a table of anything or a type that may be none holds."""
    while get_origin(kind) not in (None, Literal):
        inner = [one for one in get_args(kind) if one is not type(None)]
        kind = inner[-1] if get_origin(kind) is dict else inner[0]
    return kind


def literals(kind: Any) -> list[str]:
    """The values that a type allows, wherever in it they are named."""
    if get_origin(kind) is Literal:
        return [str(value) for value in get_args(kind)]
    return [value for inner in get_args(kind) for value in literals(inner)]


def duration(text: str, at: str, least: int = 0) -> int:
    """Nanoseconds of `250ms`, `1.5s`, `2m`. Raises ConfigFault below `least`."""
    found = DURATION.match(text)
    if not found:
        raise ConfigFault(f"{at}: {text!r} is no duration such as 250ms, 1.5s or 2m")
    span = int(float(found[1]) * UNITS[found[2]])
    if not least <= span <= 24 * UNITS["h"]:
        raise ConfigFault(f"{at}: {text!r} is not between {least / UNITS['ms']:g}ms and 24h")
    return span


def named(name: str, at: str) -> str:
    if not NAME.match(name):
        raise ConfigFault(f"{at}: {name!r} is no name: small letters, digits, - and _, 63 at most")
    return name


def kept_secret(path: str, at: str) -> bytes:
    """A secret from a file that only its owner may read."""
    try:
        secret = read_bounded(path, SECRET, private=True).strip()
    except OSError as fault:
        raise ConfigFault(f"{at}: {fault}") from None
    except ValueError as fault:
        raise ConfigFault(f"{at}: {path} {fault}") from None
    if not secret:
        raise ConfigFault(f"{at}: {path} is empty")
    return secret
