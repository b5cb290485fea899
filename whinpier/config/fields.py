"""Shared building blocks for the tables of an operator's file.

Provides typed structs, names, durations, secrets and the error texts for invalid keys: the path of
the key, the allowed values and the closest valid key. It knows no keys itself; each package defines
its own tables. Only imported when there is an operator's file.
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

MAX_SECRET_BYTES = 4096  # of a secret's file, with surrounding white space
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}\Z")
DURATION_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(us|ms|s|m|h)\Z")
# Nanoseconds per unit.
UNITS = {"us": 1_000, "ms": 1_000_000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}

Whole = Annotated[int, Meta(ge=0, le=2**40)]
Count = Annotated[int, Meta(ge=1, le=2**31)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Duration = str


class Strict(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the file's tables; unknown keys are rejected."""


T = TypeVar("T", bound=Strict)


def part(value: Any, kind: type[T], at: str) -> T:
    """Convert one table of the file to `kind`.

    `at` is the path of the table, empty for the file. Raise ConfigFault with the full path of the
    key.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as fault:
        message, _, location = str(fault).partition(" - at `$")
        path = location.rstrip("`")
        key = (at + path if at else path.lstrip(".")) or "file"
        if unknown := re.search(r"unknown field `(.*)`", message):
            allowed = [field.encode_name for field in msgspec.structs.fields(type_at(kind, path))]
            closest = difflib.get_close_matches(unknown[1], allowed, 1)
            hint = f" (meant: {closest[0]})" if closest else ""
            joined = f"{key}.{unknown[1]}" if key != "file" else unknown[1]
            raise ConfigFault(
                f"{joined}: is no key here{hint}; allowed: {', '.join(allowed)}"
            ) from None
        if missing := re.search(r"missing required field `(.*)`", message):
            joined = f"{key}.{missing[1]}" if key != "file" else missing[1]
            raise ConfigFault(f"{joined}: is missing") from None
        if wrong := re.search(r"[Ii]nvalid enum value (.*)", message):
            allowed = literals(type_at(kind, path))
            raise ConfigFault(f"{key}: {wrong[1]} is none of {', '.join(allowed)}") from None
        raise ConfigFault(f"{key}: {message[:1].lower()}{message[1:]}") from None


def type_at(kind: Any, path: str) -> Any:
    """Return the type at a path such as `.limits.requests` or `.streams[0]`."""
    for step in re.findall(r"\.(\w+)", path):
        kind = next(
            field.type
            for field in msgspec.structs.fields(element_type(kind))
            if field.encode_name == step
        )
    return element_type(kind)


def element_type(kind: Any) -> Any:
    """Return the type inside a list, a dict (of its values), an optional or an annotated type."""
    while get_origin(kind) not in (None, Literal):
        arguments = [argument for argument in get_args(kind) if argument is not type(None)]
        kind = arguments[-1] if get_origin(kind) is dict else arguments[0]
    return kind


def literals(kind: Any) -> list[str]:
    """Return the values of all Literal types within a type."""
    if get_origin(kind) is Literal:
        return [str(value) for value in get_args(kind)]
    return [value for inner in get_args(kind) for value in literals(inner)]


def duration(text: str, at: str, least: int = 0) -> int:
    """Parse a duration such as `250ms`, `1.5s` or `2m` to nanoseconds.

    Raise ConfigFault if it is malformed, below `least` (nanoseconds) or above 24 hours.
    """
    match = DURATION_PATTERN.match(text)
    if not match:
        raise ConfigFault(f"{at}: {text!r} is no duration such as 250ms, 1.5s or 2m")
    nanoseconds = int(float(match[1]) * UNITS[match[2]])
    if not least <= nanoseconds <= 24 * UNITS["h"]:
        raise ConfigFault(f"{at}: {text!r} is not between {least / UNITS['ms']:g}ms and 24h")
    return nanoseconds


def named(name: str, at: str) -> str:
    """Return the name if it is valid; raise ConfigFault otherwise."""
    if not NAME_PATTERN.match(name):
        raise ConfigFault(f"{at}: {name!r} is no name: small letters, digits, - and _, 63 at most")
    return name


def kept_secret(path: str, at: str) -> bytes:
    """Read a secret from a file that only its owner may read.

    Raise ConfigFault if the file is unreadable, too large, accessible to others or empty.
    """
    try:
        secret = read_bounded(path, MAX_SECRET_BYTES, private=True).strip()
    except OSError as fault:
        raise ConfigFault(f"{at}: {fault}") from None
    except ValueError as fault:
        raise ConfigFault(f"{at}: {path} {fault}") from None
    if not secret:
        raise ConfigFault(f"{at}: {path} is empty")
    return secret
