"""Identifiers of attempts: 256 for each socket, given out, taken back, and kept apart after a
time-out.

Must never give out one that an earlier request may still be answered on: a late answer would pass
for another's.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from whinpier.policy.decaying_sum import SECOND

EACH = 256  # RFC 2865, section 3: one octet


@dataclass
class Idents:
    """The identifiers of all sockets towards one upstream.

    `sockets` grows up to `most` as they are needed. `quarantine` is nanoseconds that one is kept
    back after a time-out: the longest that an answer may be on its way.
    """

    most: int = 4
    quarantine: int = 30 * SECOND
    sockets: int = 0
    free: deque[tuple[int, int]] = field(default_factory=deque)
    resting: deque[tuple[int, int, int]] = field(
        default_factory=deque
    )  # until when, socket, identifier
    out: set[tuple[int, int]] = field(default_factory=set)

    def take(self, now: int) -> tuple[int, int] | None:
        """A socket's number and an identifier that nothing waits on; None where all are in use or resting."""
        while self.resting and self.resting[0][0] <= now:
            _, socket, ident = self.resting.popleft()
            self.free.append((socket, ident))
        if not self.free:
            if self.sockets >= self.most:
                return None
            self.free.extend((self.sockets, ident) for ident in range(EACH))
            self.sockets += 1
        # The one that was free longest: a duplicate of an old answer has had the most time to pass.
        found = self.free.popleft()
        self.out.add(found)
        return found

    def give(self, socket: int, ident: int, answered: bool, now: int) -> None:
        """One is not waited on any more; after an answer it is free at once, else it rests."""
        if (socket, ident) not in self.out:
            return
        self.out.discard((socket, ident))
        if answered:
            self.free.append((socket, ident))
        else:
            self.resting.append((now + self.quarantine, socket, ident))
