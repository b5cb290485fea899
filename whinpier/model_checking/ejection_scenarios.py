"""The worlds in which votes are explored, and each fault has to be found."""

from __future__ import annotations

from whinpier.model_checking import scenarios
from whinpier.model_checking.ejection import FAULTS, Voting
from whinpier.model_checking.scenarios import Days

WHOLE = (
    Days(
        "3 members, 2 judges' wishes, to 9 steps",
        lambda cls: Voting(3, 2, 5, 3, 6, 0, 0, make=cls),
        9,
    ),
    Days("2 members, a crash, to 9 steps", lambda cls: Voting(2, 2, 5, 3, 6, 1, 0, make=cls), 9),
)
WALKS = (
    Days(
        "3 members, 1 slot, crashes", lambda cls: Voting(3, 2, 5, 6, 14, 2, 3, make=cls), length=80
    ),
    Days(
        "3 members, 1 slot, no crash", lambda cls: Voting(3, 2, 5, 6, 14, 0, 2, make=cls), length=60
    ),
    Days(
        "2 members, 1 slot, copies", lambda cls: Voting(2, 2, 5, 4, 14, 1, 4, make=cls), length=60
    ),
    Days("4 members, 1 slot", lambda cls: Voting(4, 2, 5, 8, 12, 0, 2, make=cls), length=80),
    Days(
        "3 members, 2 slots, 2 zones with one each",
        lambda cls: Voting(3, 2, 10, 6, 10, 0, 1, zones=2, make=cls),
        length=80,
    ),
    Days(
        "3 members, one has asked already, nothing is lost",
        length=60,
        make=lambda cls: Voting(3, 2, 5, 3, 8, 0, 0, make=cls, wishes=((0, 0), (2, 1))).narrow(),
    ),
)


# Faults that take long walks to show: the benchmark looks for them.
SLOW = {"CountsFromItsVote", "CountsAVoteAgain"}


def found(name: str, steps: int = 800_000) -> tuple[Days, str, list[str]] | None:
    # Each kind of world a little first: most faults show within that, each in another.
    return scenarios.found(WALKS, FAULTS[name], steps // 20) or scenarios.found(
        WALKS, FAULTS[name], steps
    )
