"""Reads of files that operators and the platform name.

Invariants: a read never waits (for the writer of a pipe, say), never takes more bytes than its
bound, reads regular files only, and takes a private file only if none but its owner may read it.
"""

from __future__ import annotations

import os
import stat

# Ten times what a list of thousands of upstreams and the settings come to.
MAX_FILE_BYTES = 8 * 1024 * 1024
OTHERS_MAY_ACCESS = stat.S_IRWXG | stat.S_IRWXO


class UnsuitableFileError(ValueError):
    """A file is not regular, is larger than its bound, or others may read what is private."""


def read_bounded(path: str, max_bytes: int = MAX_FILE_BYTES, private: bool = False) -> bytes:
    """Return what a file holds, if it is a regular one of at most `max_bytes`.

    With `private`, only its owner may have access to it. Raises OSError and UnsuitableFileError.
    """
    # Without O_NONBLOCK the open of a pipe waits for its writer.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(descriptor, "rb") as file:
        mode = os.fstat(descriptor).st_mode
        if not stat.S_ISREG(mode):
            raise UnsuitableFileError("is no plain file")
        if private and mode & OTHERS_MAY_ACCESS:
            raise UnsuitableFileError(
                f"may be read by others (mode {stat.S_IMODE(mode):o}, not 600)"
            )
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise UnsuitableFileError(f"is larger than {max_bytes} bytes")
    return data
