"""Reads the files that are named by operators and the platform, and waits for none.

Must never read what is no regular file, more than it is told, or a private file that others can
read.
"""

from __future__ import annotations

import os
import stat

LARGEST = (
    8 * 1024 * 1024
)  # of the file: a list of thousands of upstreams and the settings are a tenth of it


def contents(path: str, largest: int = LARGEST, private: bool = False) -> bytes:
    """What a file holds. Guards against one that never ends, or keeps whoever opens it waiting.

    Raises OSError, and ValueError for one that is none, is larger, or, if it is to be `private`,
    may be read by others than its owner.
    """
    file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(file, "rb") as opened:
        mode = os.fstat(file).st_mode
        if not stat.S_ISREG(mode):
            raise ValueError("is no plain file")
        if private and mode & 0o077:
            raise ValueError(f"may be read by others (mode {stat.S_IMODE(mode):o}, not 600)")
        text = opened.read(largest + 1)
    if len(text) > largest:
        raise ValueError(f"is larger than {largest} bytes")
    return text
