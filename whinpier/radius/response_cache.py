"""Owns the state file of RADIUS: which records may have run and how they were answered, over
restarts.

Records of an append-only log, written in batches beside the loop and compacted once it holds much that
is over. Must never grow without bound, or say that something is on the disk before it is.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import anyio

from whinpier import log
from whinpier.policy.decaying_sum import SECOND
from whinpier.radius.deduplication import Entry, Memory
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record

MAGIC = b"whinpier radius state 1\n"
LEAST = 1 << 20  # bytes below which a file is not compacted
# times what is live that a file may hold: it is written anew once in so many times its size
LIVE = 3.0
USUAL = 200  # bytes of the notes on one request, with its answer
AGAIN = SECOND // 2  # until what could not be written is tried again
MOST = 65_536  # notes that wait to be written: some 10 MB, or 30 s of two thousand a second
BEHIND = 2 * SECOND  # after which notes that are on no disk count as a fault
NEW, ANSWERED, ENDED, GONE = "n", "a", "e", "g"


@dataclass(frozen=True)
class StateSpec:
    """What the operator's file says of it; times in nanoseconds."""

    path: str
    sync: int = 5_000_000
    first: bool = True  # a record goes out only once its note is on the disk
    refuse: bool = True  # where notes can't be written, nothing new is taken


@dataclass
class State:
    """One state file, open and locked."""

    spec: StateSpec
    clock: Callable[[], int]
    queue: list[bytes] = field(default_factory=list)  # what is to be written
    waiting: list[Callable[[], None]] = field(
        default_factory=list
    )  # called once all before is on the disk
    fault: str = ""  # why nothing can be written
    since: int = 0  # when the oldest of the queue came
    anew: bool = False  # whether notes were let go, so that the file has to be written anew
    closed: bool = False

    def __post_init__(self) -> None:
        self.came = anyio.Event()  # there is something to write
        self.journal = AppendLog(self.spec.path, MAGIC)

    @property
    def size(self) -> int:
        return self.journal.size

    def open(self, memory: Memory[Any]) -> None:
        """Take up the file: what it knows comes into the memory, and what happens there goes into it.

        Raises AppendLogError where it cannot be used, or another process has it.
        """
        found = self.journal.open()
        try:
            self.load(memory, found)
        except AppendLogError:
            self.journal.close()
            raise
        if self.journal.torn_bytes:
            log.warning(
                "radius_cache_torn",
                file=self.spec.path,
                kept=self.size,
                cut=self.journal.torn_bytes,
            )
        memory.note = self.note

    def load(self, memory: Memory[Any], found: list[Any]) -> None:
        """What the file says, as entries that nobody waits for.

        Their time begins anew: whatever the clock did meanwhile, none is forgotten too soon.
        """
        now = self.clock()
        for kind, client, key, *more in found:
            if kind == NEW:
                memory.recall(client, key, more[0], more[1], now)
            elif kind in (ANSWERED, ENDED, GONE):
                if (entry := memory.find(client, key)) is None:
                    continue
                if kind == GONE:
                    memory.given_up(entry)
                elif kind == ANSWERED:
                    entry.answer = more[0]
            else:
                raise AppendLogError(
                    self.spec.path, f"a note of kind {kind!r}, which this version does not know"
                )
        if len(memory):
            log.info(
                "radius_cache_loaded", file=self.spec.path, remembered=len(memory), bytes=self.size
            )

    # While it serves.

    def note(self, kind: str, client: str, entry: Entry[Any]) -> None:
        """Something is to be remembered; it is on the disk after the next flush."""
        if kind == NEW:
            more: tuple[Any, ...] = (entry.record, entry.content)
        else:
            more = (entry.answer,) if kind == ANSWERED else ()
        if not self.queue:
            self.since = self.clock()
            self.came.set()
        elif len(self.queue) >= MOST:
            # Guards against a disk that stays full while records go on: what is live is written
            # anew later.
            self.queue.clear()
            self.anew = True
        self.queue.append(encode_record((kind, client, entry.key, *more)))

    def takes(self) -> bool:
        """Whether a new record may be taken: its note can be kept."""
        if not self.spec.refuse:
            return True
        return not self.fault and not (self.queue and self.clock() - self.since > BEHIND)

    def once_kept(self, then: Callable[[], None]) -> None:
        """Call once all that was noted up to now is on the disk; at once where that is not asked for."""
        if self.spec.first and (self.spec.refuse or not self.fault):
            self.waiting.append(then)
        else:
            then()

    def has_failed_writes(self) -> bool:
        """Tell whether the last write failed; its notes are in the queue or are being tried again."""
        return bool(self.fault)

    async def run(self, memory: Memory[Any]) -> None:
        """Write what there is to write, each `sync`, until the process ends; then what is left."""
        try:
            while True:
                await self.came.wait()
                await anyio.sleep((AGAIN if self.fault else self.spec.sync) / SECOND)
                self.came = anyio.Event()
                await self.flush()
                if not self.fault and (self.anew or self.size > LEAST + LIVE * USUAL * len(memory)):
                    await self.compact(memory)
        finally:
            self.close()

    async def flush(self) -> None:
        batch, waiting = self.queue, self.waiting
        self.queue, self.waiting = [], []
        try:
            # Shielded: a cancellation as the write begins would lose what was taken off the queue.
            with anyio.CancelScope(shield=True):
                await anyio.to_thread.run_sync(self.journal.append, b"".join(batch))
        except OSError as fault:
            # Nothing is let go: it stands before what comes, and is tried again.
            self.queue, self.waiting = batch + self.queue, waiting + self.waiting
            if not self.fault:
                log.warning("radius_cache_failed", file=self.spec.path, fault=fault)
            self.fault = str(fault)
            self.came.set()
            if not self.spec.refuse:
                waiting, self.waiting = self.waiting, []
                for then in waiting:
                    then()
            return
        if self.fault:
            log.info("radius_cache_recovered", file=self.spec.path)
            self.fault = ""
        self.since = self.clock()
        for then in waiting:
            then()

    async def compact(self, memory: Memory[Any]) -> None:
        """A new file with what is live takes the place of the old one in one step."""
        # What happens from here on is in the queue, and comes behind it.
        entries = [entry for part in memory.parts.values() for entry in part.entries.values()]
        try:
            await anyio.to_thread.run_sync(self.rewrite, entries)
            self.anew = False
        except OSError as fault:
            log.warning("radius_cache_failed", file=self.spec.path, fault=fault)

    def rewrite(self, entries: list[Entry[Any]]) -> None:
        self.journal.compact(note for entry in entries for note in said(entry))

    def close(self) -> None:
        """Write what is left, and let go of the file."""
        if self.closed:
            return
        self.closed = True
        try:
            self.journal.append(b"".join(self.queue))
        except OSError as fault:
            log.warning("radius_cache_failed", file=self.spec.path, fault=fault)
        self.journal.close()


def said(entry: Entry[Any]) -> Iterator[tuple[Any, ...]]:
    """The notes that say what is remembered of a request."""
    yield NEW, entry.part.name, entry.key, entry.record, entry.content
    if (answer := entry.answer) is not None:
        yield ANSWERED, entry.part.name, entry.key, answer
