"""The worlds in which the record is explored, and each fault has to be found."""

from __future__ import annotations

from whinpier.model_checking import scenarios
from whinpier.model_checking.consensus import FAULTS, Coarse, Recording
from whinpier.model_checking.scenarios import Days

WHOLE = (
    Days(
        "3 voters without a leader, a command, a crash, late disks",
        lambda cls: Recording(3, 4, 6, 1, 0, 1, make=cls),
        9,
    ),
    Days(
        "3 voters, one leads, 2 commands, a crash, late disks",
        lambda cls: Recording(3, 4, 4, 1, 0, 2, led=True, make=cls),
        8,
    ),
    Days(
        "3 voters, one leads, a read, doubled talks",
        lambda cls: Recording(3, 4, 5, 0, 1, 1, 1, led=True, disks=False, make=cls),
        8,
    ),
)
WALKS = (
    Days(
        "large steps: 3 voters, 2 commands, crashes, late disks",
        length=40,
        fair=True,
        make=lambda cls: Coarse(3, 3, 20, 2, 0, 2, make=cls),
    ),
    Days(
        "large steps: 3 voters, 2 commands, one line a talk",
        length=40,
        fair=True,
        make=lambda cls: Coarse(3, 2, 20, 0, 0, 2, disks=False, lines=1, make=cls),
    ),
    Days(
        "large steps: 3 voters, reads, late talks",
        length=40,
        fair=True,
        make=lambda cls: Coarse(3, 4, 20, 0, 1, 2, 2, disks=False, make=cls),
    ),
    Days(
        "large steps: 2 voters and 2 who learn, voters change, states are learned",
        length=60,
        fair=True,
        make=lambda cls: Coarse(4, 2, 30, 1, 0, 4, 0, 2, 3, 3, disks=False, make=cls),
    ),
    Days(
        "large steps: 5 voters, crashes",
        length=60,
        fair=True,
        make=lambda cls: Coarse(5, 3, 30, 2, 2, 3, disks=False, make=cls),
    ),
    Days(
        "large steps: 3 voters, crashes, late talks",
        length=16,
        make=lambda cls: Coarse(3, 4, 8, 2, 0, 0, disks=False, make=cls),
    ),
    Days(
        "large steps: 3 voters and 1 who learns, voters change",
        length=20,
        fair=True,
        make=lambda cls: Coarse(4, 1, 12, 0, 0, 2, 0, 1, 2, 0, disks=False, make=cls),
    ),
    Days(
        "3 voters, one leads, a command, a crash, late disks",
        length=60,
        fair=True,
        make=lambda cls: Recording(3, 8, 8, 1, 0, 1, led=True, losing=False, make=cls),
    ),
    Days(
        "3 voters, one leads, 2 commands, a crash, one line a talk",
        length=80,
        fair=True,
        make=lambda cls: Recording(
            3, 8, 10, 1, 0, 2, led=True, disks=False, losing=False, lines=1, make=cls
        ),
    ),
    Days(
        "3 voters, one leads, reads",
        length=60,
        fair=True,
        make=lambda cls: Recording(
            3, 8, 8, 0, 0, 1, 2, led=True, disks=False, losing=False, make=cls
        ),
    ),
    Days(
        "3 voters without a leader, crashes, late disks",
        length=60,
        fair=True,
        make=lambda cls: Recording(3, 8, 10, 2, 0, 0, losing=False, make=cls),
    ),
    Days(
        "3 voters, 2 commands, crashes, late disks, losses",
        length=120,
        make=lambda cls: Recording(3, 6, 16, 2, 1, 2, make=cls),
    ),
    Days(
        "3 voters, one leads, crashes, doubled talks",
        length=140,
        fair=True,
        make=lambda cls: Recording(3, 6, 14, 2, 2, 3, led=True, disks=False, make=cls),
    ),
    Days(
        "5 voters, crashes",
        length=200,
        make=lambda cls: Recording(5, 10, 14, 2, 0, 2, led=True, disks=False, make=cls),
    ),
    Days(
        "3 voters and 2 who learn, voters change, states are learned",
        length=160,
        fair=True,
        make=lambda cls: Recording(
            5, 8, 12, 1, 0, 3, 0, 2, 3, 2, led=True, disks=False, losing=False, make=cls
        ),
    ),
    Days(
        "2 voters and 1 who learns, voters change, late disks",
        length=120,
        fair=True,
        make=lambda cls: Recording(3, 6, 14, 1, 1, 3, 0, 1, 2, 3, led=True, make=cls),
    ),
    Days(
        "1 voter and 2 who learn, voters change",
        length=80,
        fair=True,
        make=lambda cls: Recording(
            3, 6, 10, 0, 0, 2, 0, 2, 4, 2, led=True, disks=False, losing=False, make=cls
        ),
    ),
)


# Faults that take walks of a million steps and more to show.
SLOW = {
    "CountsAVoteAgain",
    "GoesByAgreedVotersOnly",
    "ForgetsVotersWhenItCompacts",
    "VotesWithoutNote",
    "ReadsBeforeItsOwnLine",
    "TakesWordOfOtherTerms",
    "NotesNoTerm",
    "CountsOlderTerms",
}


def found(name: str, steps: int = 800_000) -> tuple[Days, str, list[str]] | None:
    # Each kind of world a little first: most faults show within that, each in another.
    return scenarios.found(WALKS, FAULTS[name], steps // 20) or scenarios.found(
        WALKS, FAULTS[name], steps
    )
