"""Reads how much memory the process holds, as the platform counts it."""

from __future__ import annotations

import os
from pathlib import Path

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages, the second one is what is resident
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, or 0 where the system does not tell."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
