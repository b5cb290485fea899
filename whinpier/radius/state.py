"""Owns the state file: which records may have run and how they were answered, over restarts of the process.

An append-only file of checksummed notes, MessagePack each; compacted into a new one that takes its place in
one step. Written in batches beside the loop. Must never be shared by two processes, be taken for good where
it is not, grow without bound, or say that something is on the disk before it is.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec

from whinpier import log
from whinpier.decay import SECOND
from whinpier.radius.keys import Entry, Memory
from whinpier.spec import ConfigFault

MAGIC = b"whinpier radius state 1\n"
HEAD = struct.Struct("!II")  # bytes of a note, CRC-32 over them
LONGEST = 8192  # bytes of a note: an answer has 4,096 at most
LEAST = 1 << 20  # bytes below which a file is not compacted
LIVE = 3.0  # times what is live that a file may hold: it is written anew once in so many times its size
USUAL = 200  # bytes of the notes on one request, with its answer
AGAIN = SECOND // 2  # until what could not be written is tried again
MOST = 65_536  # notes that wait to be written: some 10 MB, or 30 s of two thousand a second
BEHIND = 2 * SECOND  # after which notes that are on no disk count as a fault
NEW, ANSWERED, ENDED, GONE = "n", "a", "e", "g"

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder().decode


@dataclass(frozen=True)
class StateSpec:
    """What the operator's file says of it; times in nanoseconds."""

    path: str
    sync: int = 5_000_000
    first: bool = True  # a record goes out only once its note is on the disk
    refuse: bool = True  # where notes can't be written, nothing new is taken


class Torn(ConfigFault):
    """A state file that cannot be used; the text names it and says what to do."""


def framed(note: tuple[Any, ...]) -> bytes:
    body = pack(note)
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def notes(path: str, data: bytes) -> Iterator[tuple[int, list[Any]]]:
    """Each good note with where it ends. Stops at a tear at the end; raises Torn for anything else.

    A write that was cut short leaves less at the end than its head says, or a last note whose bytes never
    came (zeros, by some file systems). A bad note with more behind it was not cut, but changed.
    """
    if data[:len(MAGIC)] != MAGIC:
        if MAGIC.startswith(data):
            return  # not even its first line had come
        raise Torn(f"{path}: is no state file of this version; move it away to begin without")
    at = len(MAGIC)
    while at < len(data):
        if len(data) - at < HEAD.size:
            return
        size, proof = HEAD.unpack_from(data, at)
        ends = at + HEAD.size + size
        body = data[at + HEAD.size:ends]
        if ends > len(data) and size <= LONGEST:
            return
        good = 0 < size <= LONGEST and zlib.crc32(body) == proof
        if not good:
            if ends == len(data) or not any(data[at:]):
                return
            raise Torn(f"{path}: is damaged at byte {at} of {len(data)}, with more behind it; records "
                       "after it would be forgotten and could run twice: move it away to begin without")
        try:
            note = unpack(body)
        except msgspec.DecodeError as fault:
            raise Torn(f"{path}: byte {at}: {fault}") from None
        at = ends
        yield at, note


@dataclass
class State:
    """One state file, open and locked."""

    spec: StateSpec
    clock: Callable[[], int]
    queue: list[bytes] = field(default_factory=list)  # what is to be written
    waiting: list[Callable[[], None]] = field(default_factory=list)  # called once all before is on the disk
    size: int = 0  # bytes of the file that are good
    fault: str = ""  # why nothing can be written
    since: int = 0  # when the oldest of the queue came
    anew: bool = False  # whether notes were let go, so that the file has to be written anew
    closed: bool = False

    def __post_init__(self) -> None:
        self.came = anyio.Event()  # there is something to write

    def open(self, memory: Memory[Any]) -> None:
        """Take up the file: what it knows comes into the memory, and what happens there goes into it.

        Raises Torn where it cannot be used, or another process has it.
        """
        path = self.spec.path
        try:
            self.lock = os.open(path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock)
            raise Torn(f"{path}: another process has it") from None
        except OSError as fault:
            raise Torn(f"{path}: {fault}") from None
        try:
            self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            data = Path(path).read_bytes()
            self.load(memory, data)
            if not self.size:
                os.ftruncate(self.file, 0)
                self.append(MAGIC)
            elif self.size < len(data):
                log.warn("radius_state_torn", file=path, kept=self.size, cut=len(data) - self.size)
                os.ftruncate(self.file, self.size)
        except OSError as fault:
            raise Torn(f"{path}: {fault}") from None
        memory.note = self.note

    def load(self, memory: Memory[Any], data: bytes) -> None:
        """What the file says, as entries that nobody waits for.

        Their time begins anew: whatever the clock did meanwhile, none is forgotten too soon.
        """
        now = self.clock()
        for ends, note in notes(self.spec.path, data):
            self.size = ends
            kind, client, key, *more = note
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
                raise Torn(f"{self.spec.path}: a note of kind {kind!r}, which this version does not know")
        self.size = max(self.size, len(MAGIC) if data.startswith(MAGIC) else 0)
        if len(memory):
            log.say("radius_state", file=self.spec.path, remembered=len(memory), bytes=self.size)

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
            # Guards against a disk that stays full while records go on: what is live is written anew later.
            self.queue.clear()
            self.anew = True
        self.queue.append(framed((kind, client, entry.key, *more)))

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
            await anyio.to_thread.run_sync(self.append, b"".join(batch))
        except OSError as fault:
            # Nothing is let go: it stands before what comes, and is tried again.
            self.queue, self.waiting = batch + self.queue, waiting + self.waiting
            if not self.fault:
                log.warn("radius_state_fault", file=self.spec.path, fault=fault)
            self.fault = str(fault)
            self.came.set()
            if not self.spec.refuse:
                waiting, self.waiting = self.waiting, []
                for then in waiting:
                    then()
            return
        if self.fault:
            log.say("radius_state_well", file=self.spec.path)
            self.fault = ""
        self.since = self.clock()
        for then in waiting:
            then()

    def append(self, data: bytes) -> None:
        """Write behind what is good, and see that it is on the disk."""
        try:
            put(self.file, data, self.size)
        except OSError:
            # A part of it may be there: the next try writes over it, and a reader finds a tear.
            os.ftruncate(self.file, self.size)
            raise
        self.size += len(data)

    async def compact(self, memory: Memory[Any]) -> None:
        """A new file with what is live takes the place of the old one in one step."""
        # What happens from here on is in the queue, and comes behind it.
        entries = [entry for part in memory.parts.values() for entry in part.entries.values()]
        try:
            self.file, self.size = await anyio.to_thread.run_sync(self.rewrite, entries)
            self.anew = False
        except OSError as fault:
            log.warn("radius_state_fault", file=self.spec.path, fault=fault)

    def rewrite(self, entries: list[Entry[Any]]) -> tuple[int, int]:
        path, other = self.spec.path, self.spec.path + ".new"
        data = MAGIC + b"".join(framed(note) for entry in entries for note in said(entry))
        new = os.open(other, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            put(new, data, 0)
            os.replace(other, path)
            folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError:
            os.close(new)
            raise
        os.close(self.file)
        return new, len(data)

    def close(self) -> None:
        """Write what is left, and let go of the file."""
        if self.closed:
            return
        self.closed = True
        try:
            self.append(b"".join(self.queue))
        except OSError as fault:
            log.warn("radius_state_fault", file=self.spec.path, fault=fault)
        os.close(self.file)
        os.close(self.lock)


def put(file: int, data: bytes, at: int) -> None:
    """All of it, and on the disk."""
    written = 0
    while written < len(data):
        written += os.pwrite(file, data[written:], at + written)
    os.fdatasync(file)


def said(entry: Entry[Any]) -> Iterator[tuple[Any, ...]]:
    """The notes that say what is remembered of a request."""
    yield NEW, entry.part.name, entry.key, entry.record, entry.content
    if (answer := entry.answer) is not None:
        yield ANSWERED, entry.part.name, entry.key, answer
