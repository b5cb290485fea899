"""An append-only log of checksummed records in a file that outlives its process.

Owns how records lie in the file, the lock that gives the file to one process, recovery from a torn
tail, and compaction. Callers decide what a record means. Layout: a magic line, then each record as
its length, its CRC-32 and its MessagePack body.

Invariants: two processes never share a log; a record is returned only if its checksum fits and all
records before it are intact; a call that writes returns only after the data is on the disk.

Every method of `AppendLog` may wait for the disk, so none is called on the event loop.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from whinpier.config.model import ConfigFault

HEADER = struct.Struct("!II")  # length of the body in bytes, CRC-32 of the body
MAX_RECORD_BYTES = 8192  # of a body, unless the log is opened with another bound
FILE_MODE = 0o600
NOT_OPEN = -1  # in place of a file descriptor

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class AppendLogError(ConfigFault):
    """A log cannot be used; `reason` says why and what the operator can do."""

    def __init__(self, path: str, reason: object) -> None:
        """Name the file and the reason."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = str(reason)


class Record(NamedTuple):
    """One intact record of a log."""

    end: int  # offset of the first byte behind it
    value: Any


def encode_record(value: Any) -> bytes:
    """Encode one record as it lies in the file."""
    body = _encode(value)
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def read_records(
    path: str, data: bytes, magic: bytes, max_record_bytes: int = MAX_RECORD_BYTES
) -> Iterator[Record]:
    """Yield the intact records of a file's `data`, up to a torn tail if there is one.

    A write that was cut short leaves a last record shorter than its header says, or one whose bytes
    never came (some file systems leave zeros). A bad record with data behind it was not torn but
    changed: that raises AppendLogError, as does a file with another magic.
    """
    if not data.startswith(magic):
        if magic.startswith(data):
            return  # the write of the magic itself was cut short
        raise AppendLogError(
            path, "is no state file of this version; move it away to begin without"
        )
    start = len(magic)
    while len(data) - start >= HEADER.size:
        length, checksum = HEADER.unpack_from(data, start)
        end = start + HEADER.size + length
        if end > len(data) and length <= max_record_bytes:
            return
        body = data[start + HEADER.size : end]
        if not 0 < length <= max_record_bytes or zlib.crc32(body) != checksum:
            if end == len(data) or not any(data[start:]):
                return
            raise _damaged(path, start, len(data))
        yield Record(end, _decode_body(path, start, body))
        start = end


def _damaged(path: str, offset: int, size: int) -> AppendLogError:
    """Describe a record that was changed after it was written."""
    return AppendLogError(
        path,
        f"is damaged at byte {offset} of {size}, with more behind it; what it says after it would "
        "be forgotten, and could be done twice: move it away to begin without",
    )


def _decode_body(path: str, offset: int, body: bytes) -> Any:
    """Decode the body of the record at `offset`; raise AppendLogError if it is no MessagePack."""
    try:
        return _decode(body)
    except msgspec.DecodeError as error:
        raise AppendLogError(path, f"byte {offset}: {error}") from None


class AppendLog:
    """A log file, open and locked by this process from `open` to `close`."""

    def __init__(self, path: str, magic: bytes, max_record_bytes: int = MAX_RECORD_BYTES) -> None:
        """Name the file; nothing is opened yet."""
        self.path = path
        self.magic = magic
        self.max_record_bytes = max_record_bytes
        self.size = 0  # bytes of the magic and the intact records
        self.torn_bytes = 0  # bytes of the torn tail that `open` cut off
        self._file = NOT_OPEN
        self._lock = NOT_OPEN

    def open(self) -> list[Any]:
        """Lock the file, cut off a torn tail and return the values of its records, oldest first.

        Raises AppendLogError if another process has the file, or if it cannot be read or trusted.
        """
        try:
            self._acquire_lock()
            return self._recover()
        except OSError as error:
            self.close()
            raise AppendLogError(self.path, error) from None
        except AppendLogError:
            self.close()
            raise

    def _acquire_lock(self) -> None:
        """Lock a file beside the log, since compaction replaces the log itself."""
        try:
            self._lock = os.open(
                self.path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE
            )
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise AppendLogError(self.path, "another process has it") from None

    def _recover(self) -> list[Any]:
        """Read the file, begin it if it is empty and cut off a torn tail."""
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        data = Path(self.path).read_bytes()
        values = []
        if data.startswith(self.magic):
            self.size = len(self.magic)
        for record in read_records(self.path, data, self.magic, self.max_record_bytes):
            self.size = record.end
            values.append(record.value)
        if not self.size:
            os.ftruncate(self._file, 0)
            self.append(self.magic)
        elif self.size < len(data):
            self.torn_bytes = len(data) - self.size
            os.ftruncate(self._file, self.size)
        return values

    def append(self, data: bytes) -> None:
        """Write encoded records at the end and wait until they are on the disk; raise OSError."""
        try:
            _write_and_sync(self._file, data, self.size)
        except OSError:
            # Part of the data may be there: the next append writes over it, and a reader that comes
            # first finds a torn tail.
            os.ftruncate(self._file, self.size)
            raise
        self.size += len(data)

    def compact(self, values: Iterable[Any]) -> None:
        """Replace the file, in one step, by one with only these records; raise OSError."""
        new_path = self.path + ".new"
        data = self.magic + b"".join(map(encode_record, values))
        new_file = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            _write_and_sync(new_file, data, 0)
            os.replace(new_path, self.path)
            _sync_directory(self.path)
        except OSError:
            os.close(new_file)
            raise
        os.close(self._file)
        self._file = new_file
        self.size = len(data)

    def close(self) -> None:
        """Close the file and release its lock; do nothing if it is not open."""
        for descriptor in (self._file, self._lock):
            if descriptor != NOT_OPEN:
                os.close(descriptor)
        self._file = NOT_OPEN
        self._lock = NOT_OPEN


def _write_and_sync(file: int, data: bytes, offset: int) -> None:
    """Write all of `data` at `offset` and wait until it is on the disk."""
    written = 0
    while written < len(data):
        written += os.pwrite(file, data[written:], offset + written)
    os.fdatasync(file)


def _sync_directory(path: str) -> None:
    """Wait until the name of the file at `path` is on the disk."""
    directory = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
