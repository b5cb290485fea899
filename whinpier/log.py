"""The log: key=value lines on standard error, bounded in rate, and counters of events.

Owns the format, the bound, and the counters that the balancer reports. Invariants: a call never
raises into its caller because a line cannot be written, and one event that repeats never floods the
log. `docs/operate/log-events.md` lists each event and counter.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter
from typing import Any

# Of each event: enough to see what happens; the counters say how often.
MAX_LINES_PER_SECOND = 5

counters: Counter[str] = Counter()
_logger = logging.getLogger("whinpier")


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the time, the level, the event, its pairs and the trace, if there is one."""
        pairs = {"at": f"{record.created:.3f}", "level": record.levelname.lower()}
        pairs |= {"event": record.getMessage()} | getattr(record, "pairs", {})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self.quoted(value)}" for key, value in pairs.items())

    @staticmethod
    def quoted(value: Any) -> str:
        """Return a value as text, in quotes and escaped unless it is one plain word."""
        text = str(value)
        if text and text.isprintable() and not any(mark in text for mark in ' "='):
            return text
        escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
        return f'"{escaped}"'


class RateLimitFilter(logging.Filter):
    """Lets a few lines of each event through in a second and counts those that it holds back."""

    def __init__(self) -> None:
        """Begin with nothing held back."""
        super().__init__()
        self.second = 0  # of the monotonic clock, which `passed` counts
        self.passed: Counter[str] = Counter()
        self.kept_back: Counter[str] = Counter()

    def holds_back(self, event: str) -> bool:
        """Count a line of an event that has had its lines in this second; building it costs more."""
        if self.passed[event] < MAX_LINES_PER_SECOND or int(time.monotonic()) != self.second:
            return False
        self.kept_back[event] += 1
        return True

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may pass; the first to pass tells how many before it did not."""
        event = record.getMessage()
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.passed.clear()
        self.passed[event] += 1
        if self.passed[event] > MAX_LINES_PER_SECOND:
            self.kept_back[event] += 1
            return False
        if kept_back := self.kept_back.pop(event, 0):
            record.pairs = getattr(record, "pairs", {}) | {"kept_back": kept_back}
        return True


_rate_limit = RateLimitFilter()


def set_up() -> None:
    """Send all lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(_rate_limit)
    _logger.handlers = [handler]
    _logger.setLevel(logging.INFO)
    _logger.propagate = False
    logging.raiseExceptions = False  # a log that can't be written is no reason to fail


def info(event: str, **pairs: Any) -> None:
    """Log an event of normal operation."""
    if _rate_limit.holds_back(event):
        return
    _logger.info(event, extra={"pairs": pairs})


def warning_uncounted(event: str, **pairs: Any) -> None:
    """Log a warning of what is counted elsewhere, to show where it happens."""
    if _rate_limit.holds_back(event):
        return
    _logger.warning(event, extra={"pairs": pairs})


def warning(event: str, **pairs: Any) -> None:
    """Count and log an event that an operator may have to act on."""
    counters[event] += 1
    _logger.warning(event, extra={"pairs": pairs})


def exception(event: str, **pairs: Any) -> None:
    """Count and log a fault of the balancer, with the trace of the exception being handled."""
    counters[event] += 1
    _logger.error(event, exc_info=True, extra={"pairs": pairs})


def invariant(holds: bool, what: str) -> None:
    """Assert an invariant in debug builds; count and log its violation under `python -O`."""
    if not holds:
        assert not __debug__, what
        warning("invariant_violated", what=what)
