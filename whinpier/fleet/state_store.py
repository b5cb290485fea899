"""Owns the fleet's state file: what has to be on the disk before it may be acted on.

Records of an append-only log, by key; written beside the loop, the newest of each key at once, and
compacted. Must never say that something is on the disk before it is, or hold more notes than there
are keys.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import anyio

from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

MAGIC = b"whinpier bank state 1\n"
LEAST = 1 << 16  # bytes below which a file is not compacted
LIVE = 4  # times what is live that it may hold
AGAIN = SECOND // 2  # until what could not be written is tried again
BATCH = SECOND // 200  # that notes wait for others, so that one write does for all

Batch = tuple[dict[tuple[Any, ...], tuple[Any, ...]], Callable[[], None], Callable[[], None]]


class Keeper:
    """The state file of this process."""

    def __init__(self, path: str) -> None:
        self.journal = AppendLog(path, MAGIC)
        self.live: dict[
            tuple[Any, ...], tuple[Any, ...]
        ] = {}  # the newest note of each key, as on the disk
        self.fault = ""
        self.stamp = 0  # notes that were ever written to it
        self.batches: Callable[[], Iterable[Batch]] = lambda: ()  # what there is to write now
        self.came = anyio.Event()

    def open(self) -> dict[tuple[Any, ...], tuple[Any, ...]]:
        """Open the log and return its newest records by key. Raises AppendLogError where it can't be used."""
        for note in self.journal.open():
            try:
                key, value, stamp = note
                self.live[tuple(key)] = tuple(value)
                self.stamp = int(stamp)
            except (TypeError, ValueError):
                self.journal.close()
                raise AppendLogError(
                    self.journal.path, "a note of another build; move it away to begin without"
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
        """There is something to write."""
        self.came.set()

    async def run(self) -> None:
        try:
            while True:
                await self.came.wait()
                await anyio.sleep((AGAIN if self.fault else BATCH) / SECOND)
                self.came = anyio.Event()
                for batch in list(self.batches()):
                    await self.write(*batch)
                if not self.fault and self.journal.size > LEAST + LIVE * 64 * len(self.live):
                    await self.compact()
        finally:
            self.journal.close()

    async def write(
        self,
        notes: dict[tuple[Any, ...], tuple[Any, ...]],
        done: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        """Some notes at once; each stands for itself."""
        stamp = self.stamp + 1
        data = b"".join(encode_record((key, value, stamp)) for key, value in notes.items())
        try:
            await anyio.to_thread.run_sync(self.journal.append, data)
        except OSError as fault:
            if not self.fault:
                log.warning("state_store_failed", file=self.journal.path, fault=fault)
            self.fault = str(fault)
            failed()
            self.came.set()
            return
        if self.fault:
            log.info("state_store_recovered", file=self.journal.path)
            self.fault = ""
        self.stamp = stamp
        self.live |= notes
        done()

    async def compact(self) -> None:
        """Only the newest of each key, in a new file."""
        notes = [(key, value, self.stamp) for key, value in self.live.items()]
        try:
            await anyio.to_thread.run_sync(self.journal.compact, notes)
        except OSError as fault:
            log.warning("state_store_failed", file=self.journal.path, fault=fault)

    def forget(self, over: Callable[[tuple[Any, ...]], bool]) -> None:
        """Keys that are over go with the next compaction."""
        self.live = {key: value for key, value in self.live.items() if not over(key)}
