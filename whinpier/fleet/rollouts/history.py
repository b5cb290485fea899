"""The history of operators' commands and of the fleet's own actions, as a hash chain.

Owns the order and the bound of the history. Invariant: the digest of each entry covers the entry and
all entries before it, so that later changes to the history are detected.
"""

from __future__ import annotations

import hashlib
from itertools import pairwise
from typing import Any

from whinpier.fleet.rollouts.commands import MAX_HISTORY, CommandHeader, encode
from whinpier.fleet.rollouts.model import FLEET_ACTOR, HistoryEntry, ReplicatedState


def record_command(
    state: ReplicatedState, header: CommandHeader, action: str, succeeded: bool, text: str
) -> None:
    """Append an operator's command and its answer to the history."""
    _append(state, header.wall_ms, header.operator, action, header.reason, succeeded, text)


def record_fleet_action(
    state: ReplicatedState, action: str, reason: str, succeeded: bool = True, text: str = ""
) -> None:
    """Append an action that no operator commanded to the history."""
    _append(state, 0, FLEET_ACTOR, action, reason, succeeded, text)


def _append(
    state: ReplicatedState,
    wall_ms: int,
    actor: str,
    action: str,
    reason: str,
    succeeded: bool,
    text: str,
) -> None:
    """Append an entry with its digest; drop the oldest entry if the history is full."""
    history = state.history
    previous = history[-1].digest if history else b""
    fields = (state.last_applied, wall_ms, actor, action, reason, succeeded, text)
    history.append(HistoryEntry(*fields, compute_digest(previous, fields)))
    if len(history) > MAX_HISTORY:
        del history[0]


def compute_digest(previous: bytes, fields: Any) -> bytes:
    """Return the digest of an entry's fields, chained to the previous entry's digest."""
    return hashlib.blake2b(previous + encode(fields), digest_size=16, person=b"history").digest()


def is_intact(history: list[HistoryEntry]) -> bool:
    """Return whether each digest but the first matches its entry and the digest before it."""
    for previous, entry in pairwise(history):
        fields = (
            entry.index,
            entry.wall_ms,
            entry.actor,
            entry.action,
            entry.reason,
            entry.succeeded,
            entry.text,
        )
        if compute_digest(previous.digest, fields) != entry.digest:
            return False
    return True
