"""Peer cache: a file of where members were last, and which quota allocation was agreed.

With it a fleet whose members are all restarted at once finds itself without its seeds. It is an
optimization and no promise: a process that can't read or write the file goes on with its seeds.

Invariants: the file is never read or written on the request path, it is replaced in one step, and
what is read is bounded by `MAX_ADDRESSES` and `MAX_FILE_SIZE`.
"""

from __future__ import annotations

import os
from typing import NamedTuple

import msgspec

from whinpier.config.model import Address, ConfigFault, address
from whinpier.fleet.quotas.allocation import StoredAllocation
from whinpier.storage.bounded_files import read_bounded

MAX_ADDRESSES = 1_000
MAX_FILE_SIZE = 2_000_000  # bytes: 64 limits of 1,000 homes fit
FORMAT_VERSION = 2  # version 1 had no homes
OLDEST_FORMAT_VERSION = 1


class CachedPeers(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file, as JSON."""

    format_version: int = msgspec.field(name="form")
    members: list[str]  # HOST:PORT
    # By name: the allocation that was agreed, this member's home in it, and whose homes it had
    # (not in version 1).
    limits: dict[str, StoredAllocation] = {}


class PeerCache(NamedTuple):
    """What the last run of this process knew of its fleet."""

    addresses: list[Address]
    allocations: dict[str, StoredAllocation]  # by name of the limit


def read(path: str) -> PeerCache:
    """Return what the last run wrote, empty without a file.

    Raises OSError where the file can't be read, and ValueError where it is no peer cache.
    """
    try:
        cached: CachedPeers = msgspec.json.decode(
            read_bounded(path, MAX_FILE_SIZE), type=CachedPeers
        )
        _check_bounds(path, cached)
        addresses = [address(text, "members") for text in cached.members]
    except FileNotFoundError:
        return PeerCache([], {})
    except (msgspec.DecodeError, ConfigFault) as error:
        raise ValueError(f"{path}: {error}") from None
    return PeerCache(addresses, cached.limits)


def _check_bounds(path: str, cached: CachedPeers) -> None:
    """Raise ValueError for an unknown version or too many members."""
    is_known_version = OLDEST_FORMAT_VERSION <= cached.format_version <= FORMAT_VERSION
    if not is_known_version or len(cached.members) > MAX_ADDRESSES:
        raise ValueError(
            f"{path}: format version {cached.format_version} with {len(cached.members)} members; "
            f"versions {OLDEST_FORMAT_VERSION} to {FORMAT_VERSION} with up to {MAX_ADDRESSES} "
            "members are allowed"
        )


def write(path: str, addresses: list[Address], allocations: dict[str, StoredAllocation]) -> None:
    """Replace the file in one step. Raises OSError."""
    members = [f"{host}:{port}" for host, port in addresses[:MAX_ADDRESSES]]
    data = msgspec.json.encode(CachedPeers(FORMAT_VERSION, members, allocations))
    temporary_path = path + ".new"
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(temporary_path, flags, 0o600)
    with open(descriptor, "wb") as file:
        file.write(data)
    os.replace(temporary_path, path)
