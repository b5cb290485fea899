"""Waiting for what a program does in its own time."""

import time

LIMIT = 10.0  # seconds that anything may take; what is waited for comes much sooner


def until(holds):
    """Wait for something that the program does in its own time."""
    ends = time.monotonic() + LIMIT
    while not (found := holds()):
        assert time.monotonic() < ends, "it did not come"
        time.sleep(0.005)
    return found
