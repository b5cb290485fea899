"""The file in which a member keeps how far it knows the replicated log to be committed.

The log itself doesn't say: Raft has a new run learn it from the leader (Ongaro's dissertation, section
3.8). A member whose quorum is lost has none to learn it from, and would forget what was agreed.

Invariant: an entry counts as committed only if the log has one of the same index and term as the
file. Logs with such an entry in common are the same up to it (section 3.5), so that a log or a file
that is an older copy, or was cut short, never makes anything committed that was not. The file stands
beside the log, in a form of its own, so that builds that don't know it read the log as before.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from whinpier.fleet.consensus.node import PersistentState
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

COMMIT_MAGIC = b"whinpier bank committed 1\n"
MAX_BYTES = 1 << 16  # beyond which the file is replaced by one with the last record


class CommitPoint(NamedTuple):
    """An entry that is committed, and with it all before it; a record of the file."""

    cluster_id: int
    entry_index: int
    entry_term: int


def committed_index(state: PersistentState, points: Iterable[CommitPoint]) -> int:
    """Return the last entry of a log that these points say is committed, at least the snapshot's."""
    found = state.snapshot_index
    for point in points:
        position = point.entry_index - state.log_offset - 1
        is_same_cluster = point.cluster_id == state.cluster_id
        if (
            is_same_cluster
            and 0 <= position < len(state.entries)
            and state.entries[position].term == point.entry_term
        ):
            found = max(found, point.entry_index)
    return found


class CommitLog:
    """The file, open and locked by this process from `open` to `close`; methods may wait for the disk."""

    def __init__(self, path: str) -> None:
        """Name the file; nothing is opened yet."""
        self._log = AppendLog(path, COMMIT_MAGIC)
        self.saved = CommitPoint(0, 0, 0)  # the last that is on disk

    @property
    def path(self) -> str:
        """Name of the file."""
        return self._log.path

    @property
    def size(self) -> int:
        """Bytes of the intact records."""
        return self._log.size

    @property
    def torn_bytes(self) -> int:
        """Bytes of a record that was cut short, which `open` has cut off."""
        return self._log.torn_bytes

    def open(self) -> list[CommitPoint]:
        """Open the file and return its points, oldest first; raises AppendLogError."""
        values = self._log.open()
        try:
            points = [CommitPoint(*map(int, value)) for value in values]
        except (TypeError, ValueError):
            self._log.close()
            raise AppendLogError(
                self.path, "has a record that is no commit; move it away to begin without"
            ) from None
        if points:
            self.saved = points[-1]
        return points

    def save(self, point: CommitPoint) -> None:
        """Put a point on the disk; raises OSError."""
        if self._log.size > MAX_BYTES:
            self._log.compact([point])
        else:
            self._log.append(encode_record(point))
        self.saved = point

    def close(self) -> None:
        """Close the file and release its lock."""
        self._log.close()
