"""The worlds in which counting calendar windows is explored, and each fault has to be found."""

from __future__ import annotations

from whinpier.model_checking import scenarios
from whinpier.model_checking.count_mutants import FAULTS
from whinpier.model_checking.counts import Counting
from whinpier.model_checking.scenarios import Days

WHOLE = (
    Days("2 members, limit 2, a crash, to 8 steps", lambda cls: Counting(2, 2, 2, 3, 1, 0, cls), 8),
    Days(
        "2 members, limit 2, a disk that fails, to 7 steps",
        lambda cls: Counting(2, 2, 2, 3, 1, 1, cls, failures=1),
        7,
    ),
    Days(
        "2 members, limit 2, clocks unsure, to 8 steps",
        lambda cls: Counting(2, 2, 2, 4, 0, 0, cls, unsure=1),
        8,
    ),
    Days(
        "2 members, limit 2, no disk, to 8 steps",
        lambda cls: Counting(2, 2, 2, 4, 1, 0, cls, lasting=False),
        8,
    ),
)
WALKS = (
    Days("2 members, limit 4, a crash", lambda cls: Counting(2, 4, 2, 0, 1, 0, cls), length=25),
    Days(
        "1 member, limit 6, written two ahead",
        lambda cls: Counting(1, 6, 1, 0, 1, 0, cls, ahead=2),
        length=20,
    ),
    Days(
        "2 members, limit 2, crashes, disks that fail",
        lambda cls: Counting(2, 2, 4, 2, 3, 9, cls, failures=5),
        length=120,
    ),
    Days(
        "2 members, limit 4, clocks unsure",
        lambda cls: Counting(2, 4, 4, 9, 0, 2, cls, unsure=1, failures=5),
        length=120,
    ),
    Days(
        "2 members, limit 4, no disk",
        lambda cls: Counting(2, 4, 4, 9, 3, 9, cls, lasting=False),
        length=120,
    ),
    Days(
        "3 members, limit 4, crashes, disks that fail",
        lambda cls: Counting(3, 4, 6, 9, 3, 9, cls, failures=5),
        length=120,
    ),
)


def found(name: str, steps: int = 400_000) -> tuple[Days, str, list[str]] | None:
    # Each kind of world a little first: most faults show within that, each in another.
    return scenarios.found(WALKS, FAULTS[name], steps // 10) or scenarios.found(
        WALKS, FAULTS[name], steps
    )
