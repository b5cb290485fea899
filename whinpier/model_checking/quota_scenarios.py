"""The worlds in which sharing a limit is explored, whole or by walks, and each fault has to be
found.
"""

from __future__ import annotations

from whinpier.model_checking import scenarios
from whinpier.model_checking.quota_mutants import FAULTS
from whinpier.model_checking.quotas import Sharing
from whinpier.model_checking.scenarios import Days

WHOLE = (
    Days(
        "renewing: 2 members, limit 2, every order of messages, losses and times",
        lambda cls: Sharing(2, 2, 2, 18, 0, 0, cls, requests=False).lent(),
        60,
    ),
    Days(
        "messages: 2 members, limit 2, needs that change, to 9 steps",
        lambda cls: Sharing(2, 2, 2, 4, 0, 1, cls, requests=False),
        9,
    ),
    Days(
        "2 members, limit 2, tasks, a crash, to 7 steps",
        lambda cls: Sharing(2, 2, 2, 3, 1, 0, cls),
        7,
    ),
)
WALKS = (
    Days("2 members, limit 2, tasks, crashes", lambda cls: Sharing(2, 2, 4, 160, 2, 20, cls)),
    Days("3 members, limit 3, tasks, crashes", lambda cls: Sharing(3, 3, 6, 160, 2, 20, cls)),
    Days(
        "2 members, limit 4, messages alone",
        lambda cls: Sharing(2, 4, 5, 200, 0, 40, cls, requests=False),
    ),
    Days(
        "3 members, limit 3, messages alone",
        lambda cls: Sharing(3, 3, 6, 200, 0, 40, cls, requests=False),
    ),
)


def found(name: str, steps: int = 100_000) -> tuple[Days, str, list[str]] | None:
    # Walks find most of them sooner; what hangs on one order of many is left to the whole
    # exploration.
    return scenarios.found((WALKS[0], WALKS[3], WALKS[2], WALKS[1], WHOLE[0]), FAULTS[name], steps)
