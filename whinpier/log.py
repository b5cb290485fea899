"""Owns what the balancer tells its operators: key=value lines, bounded in rate, and counters.

Must never raise into its caller, or let one repeated trouble flood the log.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter
from typing import Any

LINES = 5  # a second for one event: enough to see what it is; the counters say how often

counters: Counter[str] = Counter()
_logger = logging.getLogger("whinpier")


class KeyValue(logging.Formatter):
    """One line of key=value; a value with spaces or quotes in it is quoted."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {"at": f"{record.created:.3f}", "level": record.levelname.lower()}
        pairs |= {"event": record.getMessage()} | getattr(record, "pairs", {})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={self.plain(value)}" for name, value in pairs.items())

    @staticmethod
    def plain(value: Any) -> str:
        text = str(value)
        whole = text and text.isprintable() and not any(mark in text for mark in ' "=')
        return (
            text
            if whole
            else '"' + text.encode("unicode_escape").decode().replace('"', '\\"') + '"'
        )


class Bounded(logging.Filter):
    """Lets a few lines of each event through in a second and says with the next one how many it
    kept back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.second, self.passed, self.kept_back = 0, Counter[str](), Counter[str]()

    def filter(self, record: logging.LogRecord) -> bool:
        event, second = record.getMessage(), int(time.monotonic())
        if second != self.second:
            self.second = second
            self.passed.clear()
        self.passed[event] += 1
        if self.passed[event] > LINES:
            self.kept_back[event] += 1
            return False
        if kept_back := self.kept_back.pop(event, 0):
            record.pairs = getattr(record, "pairs", {}) | {"kept_back": kept_back}
        return True


def set_up() -> None:
    """Send all lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    handler.addFilter(Bounded())
    _logger.handlers = [handler]
    _logger.setLevel(logging.INFO)
    _logger.propagate = False
    logging.raiseExceptions = False  # a log that can't be written is no reason to fail


def info(event: str, **pairs: Any) -> None:
    _logger.info(event, extra={"pairs": pairs})


def warning_uncounted(event: str, **pairs: Any) -> None:
    """What is counted elsewhere: a few lines that say where it happens."""
    _logger.warning(event, extra={"pairs": pairs})


def warning(event: str, **pairs: Any) -> None:
    counters[event] += 1
    _logger.warning(event, extra={"pairs": pairs})


def exception(event: str, **pairs: Any) -> None:
    """A fault of ours, with the trace of the exception being handled."""
    counters[event] += 1
    _logger.error(event, exc_info=True, extra={"pairs": pairs})


def invariant(holds: bool, what: str) -> None:
    """What must hold: asserted in debug builds, counted and logged in release builds (`python -O`)."""
    if not holds:
        assert not __debug__, what
        warning("invariant_violated", what=what)
