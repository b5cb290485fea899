"""A stand-in in a process of its own, told by lines of JSON on its standard input, each answered
with one.

Owns the process, and ends it. Must never wait for one that has ended.
"""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any


class Child:
    """One such process of `python -m MODULE`."""

    def __init__(self, module: str, first: dict[str, Any]) -> None:
        """`first` is its first line; what it answers is kept as `begun`."""
        self.module = module
        self.process = subprocess.Popen(
            [sys.executable, "-m", module], text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.begun = self.ask(first)

    def ask(self, line: dict[str, Any]) -> dict[str, Any]:
        """Tell it one line; its answer. Raises RuntimeError once it has ended."""
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(json.dumps(line) + "\n")
        self.process.stdin.flush()
        answer = self.process.stdout.readline()
        if not answer:
            raise RuntimeError(f"{self.module} has ended")
        found: dict[str, Any] = json.loads(answer)
        return found

    def stop(self) -> None:
        if self.process.stdin:
            self.process.stdin.close()
        self.process.wait(10.0)
