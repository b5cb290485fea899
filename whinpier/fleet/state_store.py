"""State store: what has to be on the disk before the fleet's part of this process may act on it.

Owns the state file, a journal of records by key. Records are written beside the event loop, in
batches, and the file is compacted to the newest record of each key.

Invariants: nothing is reported as written before it is on the disk, and no more than one record a
key is kept in memory. What keys and values mean is up to the users of the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

import anyio

from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

MAGIC = b"whinpier bank state 1\n"
COMPACTION_MIN_SIZE = 1 << 16  # bytes; a smaller file is never compacted
COMPACTION_RATIO = 4  # the file may hold this many times what is live
TYPICAL_RECORD_SIZE = 64  # bytes; an estimate, for the size of what is live
RETRY_DELAY = SECOND // 2  # until a failed write is tried again
BATCH_DELAY = SECOND // 200  # that records wait for others, so that one write does for all

# Whatever msgpack can hold: the store looks into neither.
RecordKey: TypeAlias = tuple[Any, ...]
RecordValue: TypeAlias = tuple[Any, ...]
Records: TypeAlias = dict[RecordKey, RecordValue]


class StoredRecord(NamedTuple):
    """A record as the file holds it; the order of the fields is the file's format."""

    key: RecordKey
    value: RecordValue
    sequence: int  # of the batch that it was written with


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to be written at once, and whom to tell how it went."""

    records: Records
    on_written: Callable[[], None]
    on_failed: Callable[[], None]


def _no_batches() -> Iterable[Batch]:
    """Stand in for the source of batches until the owner of the store sets its own."""
    return ()


class StateStore:
    """The state file of this process."""

    def __init__(self, path: str) -> None:
        """Name the file; `open` reads and locks it."""
        self.journal = AppendLog(path, MAGIC)
        self.live: Records = {}  # the newest record of each key, as on the disk
        self.last_error = ""  # why the last write failed; empty after a good one
        # Number of the last batch that was ever written to the file. Its owner may raise it where
        # other members know of a later one, which a stale copy of the file has lost.
        self.sequence = 0
        self.collect_batches: Callable[[], Iterable[Batch]] = _no_batches
        self._wakeup = anyio.Event()

    def open(self) -> Records:
        """Read and lock the file, and return its live records.

        Raises AppendLogError where it can't be used.
        """
        for content in self.journal.open():
            try:
                key, value, sequence = content
                self.live[tuple(key)] = tuple(value)
                self.sequence = int(sequence)
            except (TypeError, ValueError):
                path = self.journal.path
                self.journal.close()
                raise AppendLogError(
                    path,
                    "holds a record in an unknown format; move the file away to begin without it",
                ) from None
        if self.journal.torn_bytes:
            log.warning(
                "state_store_torn",
                file=self.journal.path,
                kept=self.journal.size,
                cut=self.journal.torn_bytes,
            )
        return self.live

    def wake(self) -> None:
        """Tell the store that there are records to write."""
        self._wakeup.set()

    async def run(self) -> None:
        """Write batches as they come, until cancelled; then close the file."""
        try:
            while True:
                await self._wakeup.wait()
                delay = RETRY_DELAY if self.last_error else BATCH_DELAY
                await anyio.sleep(delay / SECOND)
                # Renewed before the batches are collected: what comes later wakes the store again.
                self._wakeup = anyio.Event()
                for batch in list(self.collect_batches()):
                    await self.write(batch.records, batch.on_written, batch.on_failed)
                if not self.last_error and self._is_compaction_due():
                    await self.compact()
        finally:
            self.journal.close()

    async def write(
        self, records: Records, on_written: Callable[[], None], on_failed: Callable[[], None]
    ) -> None:
        """Append records to the file at once, then call back; each record stands for itself."""
        sequence = self.sequence + 1
        data = b"".join(
            encode_record(StoredRecord(key, value, sequence)) for key, value in records.items()
        )
        try:
            await anyio.to_thread.run_sync(self.journal.append, data)
        except OSError as error:
            self._on_write_failed(error)
            on_failed()
            self.wake()
            return
        if self.last_error:
            log.info("state_store_recovered", file=self.journal.path)
            self.last_error = ""
        self.sequence = sequence
        self.live |= records
        on_written()

    def _on_write_failed(self, error: OSError) -> None:
        """Remember why a write failed, and log the first failure of a row of them."""
        if not self.last_error:
            log.warning("state_store_failed", file=self.journal.path, fault=error)
        self.last_error = str(error)

    def _is_compaction_due(self) -> bool:
        """Tell whether the file holds far more than what is live."""
        live_size = TYPICAL_RECORD_SIZE * len(self.live)
        return self.journal.size > COMPACTION_MIN_SIZE + COMPACTION_RATIO * live_size

    async def compact(self) -> None:
        """Put a new file with only the newest record of each key in place of the old one."""
        records = [StoredRecord(key, value, self.sequence) for key, value in self.live.items()]
        try:
            await anyio.to_thread.run_sync(self.journal.compact, records)
        except OSError as error:
            log.warning("state_store_failed", file=self.journal.path, fault=error)

    def discard(self, is_over: Callable[[RecordKey], bool]) -> None:
        """Drop records whose keys are over; the file loses them with the next compaction."""
        self.live = {key: value for key, value in self.live.items() if not is_over(key)}
