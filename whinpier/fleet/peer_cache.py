"""Where members were, kept in a file, so that a fleet that was all restarted finds itself without
its seeds.

A help, not a promise: what can't be read or written is said once, and the process goes on by its
seeds. Must never be read or written on the request path, or hold more than a bound.
"""

from __future__ import annotations

import os

import msgspec

from whinpier.config.model import ConfigFault, address
from whinpier.fleet.membership.membership import Address
from whinpier.fleet.quotas.allocation import Kept
from whinpier.storage.bounded_files import read_bounded

MOST, LARGEST = 1_000, 2_000_000  # addresses, bytes: with 64 limits of 1,000 homes


FORM = 2  # 1 had no homes


class Recalled(msgspec.Struct, forbid_unknown_fields=True):
    """What the file holds."""

    form: int
    members: list[str]
    # By name: the division that was agreed, this one's home in it, and whose homes it had (not in
    # form 1).
    limits: dict[str, Kept] = {}


def read(path: str) -> tuple[list[Address], dict[str, Kept]]:
    """What the last run kept, nothing without a file. Raises OSError, and ValueError for another file."""
    try:
        found: Recalled = msgspec.json.decode(read_bounded(path, LARGEST), type=Recalled)
        if not 1 <= found.form <= FORM or len(found.members) > MOST:
            raise ValueError(f"{path}: form {found.form} with {len(found.members)} members")
        return [address(text, "members") for text in found.members], found.limits
    except FileNotFoundError:
        return [], {}
    except (msgspec.DecodeError, ConfigFault) as fault:
        raise ValueError(f"{path}: {fault}") from None


def write(path: str, addresses: list[Address], limits: dict[str, Kept]) -> None:
    """Put these in the file's place, in one step. Raises OSError."""
    data = msgspec.json.encode(Recalled(FORM, ["%s:%d" % one for one in addresses[:MOST]], limits))
    other = path + ".new"
    new = os.open(other, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    with open(new, "wb") as file:
        file.write(data)
    os.replace(other, path)
