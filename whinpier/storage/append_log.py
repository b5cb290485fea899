"""A file of notes that outlives its process: appended to, checksummed, read back as far as it is
good.

Owns how notes lie in the file, its lock, and the steps by which a new file takes the place of an
old one; who uses it says what a note means. Every call here may wait for the disk: none is made
on the loop. Must never be shared by two processes, be taken for good where it is not, or say
that something is on the disk before it is.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from whinpier.config.model import ConfigFault

HEAD = struct.Struct("!II")  # bytes of a note, CRC-32 over them
LONGEST = 8192  # bytes of a note, if nothing else is said

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder().decode


class Torn(ConfigFault):
    """A file of notes that cannot be used; the text names it and says what to do."""


def framed(note: Any) -> bytes:
    """A note as it lies in the file."""
    body = pack(note)
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def notes(
    path: str, data: bytes, magic: bytes, longest: int = LONGEST
) -> Iterator[tuple[int, Any]]:
    """Each good note with where it ends. Stops at a tear at the end; raises Torn for anything else.

    A write that was cut short leaves less at the end than its head says, or a last note whose bytes
    never came (zeros, by some file systems). A bad note with more behind it was not cut, but
    changed.
    """
    if data[: len(magic)] != magic:
        if magic.startswith(data):
            return  # not even its first line had come
        raise Torn(f"{path}: is no state file of this version; move it away to begin without")
    at = len(magic)
    while at < len(data):
        if len(data) - at < HEAD.size:
            return
        size, proof = HEAD.unpack_from(data, at)
        ends = at + HEAD.size + size
        body = data[at + HEAD.size : ends]
        if ends > len(data) and size <= longest:
            return
        good = 0 < size <= longest and zlib.crc32(body) == proof
        if not good:
            if ends == len(data) or not any(data[at:]):
                return
            raise Torn(
                f"{path}: is damaged at byte {at} of {len(data)}, with more behind it; what it says "
                "after it would be forgotten, and could be done twice: move it away to begin without"
            )
        try:
            note = unpack(body)
        except msgspec.DecodeError as fault:
            raise Torn(f"{path}: byte {at}: {fault}") from None
        at = ends
        yield at, note


class Journal:
    """One such file, open and locked."""

    def __init__(self, path: str, magic: bytes, longest: int = LONGEST) -> None:
        self.path, self.magic, self.longest = path, magic, longest
        self.size = 0  # bytes of it that are good
        self.cut = 0  # bytes behind them that were there when it was opened, and are no notes
        self.file, self.lock = -1, -1

    def open(self) -> list[Any]:
        """Its notes in order; from then on it is this process's. Raises Torn where it cannot be used."""
        path = self.path
        try:
            self.lock = os.open(path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise Torn(f"{path}: another process has it") from None
        except OSError as fault:
            self.close()
            raise Torn(f"{path}: {fault}") from None
        try:
            self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            data, found = Path(path).read_bytes(), []
            for self.size, note in notes(path, data, self.magic, self.longest):
                found.append(note)
            self.size = max(self.size, len(self.magic) if data.startswith(self.magic) else 0)
            if not self.size:
                os.ftruncate(self.file, 0)
                self.append(self.magic)
            elif self.size < len(data):
                self.cut = len(data) - self.size
                os.ftruncate(self.file, self.size)
        except OSError as fault:
            self.close()
            raise Torn(f"{path}: {fault}") from None
        except Torn:
            self.close()
            raise
        return found

    def append(self, data: bytes) -> None:
        """Write framed notes behind what is good, and see that they are on the disk. Raises OSError."""
        try:
            put(self.file, data, self.size)
        except OSError:
            # A part of it may be there: the next try writes over it, and a reader finds a tear.
            os.ftruncate(self.file, self.size)
            raise
        self.size += len(data)

    def rewrite(self, those: Iterable[Any]) -> None:
        """A new file with these notes takes the place of the old one in one step. Raises OSError."""
        path, other = self.path, self.path + ".new"
        data = self.magic + b"".join(map(framed, those))
        new = os.open(other, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            put(new, data, 0)
            os.replace(other, path)
            sync_folder(path)
        except OSError:
            os.close(new)
            raise
        os.close(self.file)
        self.file, self.size = new, len(data)

    def close(self) -> None:
        """Let go of it."""
        for file in (self.file, self.lock):
            if file >= 0:
                os.close(file)
        self.file = self.lock = -1


def put(file: int, data: bytes, at: int) -> None:
    """All of it, and on the disk."""
    written = 0
    while written < len(data):
        written += os.pwrite(file, data[written:], at + written)
    os.fdatasync(file)


def sync_folder(path: str) -> None:
    """See that a file's name is on the disk too."""
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
