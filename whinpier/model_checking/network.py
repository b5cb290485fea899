"""What worlds of members that send each other deals have in common: messages in any order, lost,
doubled.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any, Protocol

KINDS = ("ask", "loan", "return", "ask for units", "units")


class Party(Protocol):
    """One member's state machine; what it sends goes to a run, or to all (0)."""

    out: list[tuple[int, Any]]


class Plain:
    """Chance that draws nothing: each number is new, nothing is mixed."""

    def __init__(self, first: int) -> None:
        self.next = first

    def getrandbits(self, bits: int) -> int:
        self.next += 2
        return self.next

    def random(self) -> float:
        return 0.0

    def sample(self, those: list[Any], count: int) -> list[Any]:
        return those[:count]

    def shuffle(self, those: list[Any]) -> None:
        """All are asked in any case."""


class Network:
    """Members by place, their runs, and what is on its way between them."""

    def __init__(self, members: int, messages: int, crashes: int, copies: int) -> None:
        self.now, self.numbers = 0, 1
        self.losing = True  # else what is lost is only late for good
        self.left = 0  # how often time may go by
        self.messages, self.crashes, self.copies = messages, crashes, copies
        self.network: list[tuple[int, int, Any]] = []  # from, to (as runs), what
        self.runs = list(range(1, members + 1))  # who is there now, by place

    def party(self, place: int) -> Party:
        raise NotImplementedError

    def deliver(self, place: int, message: Any, sender: int) -> None:
        raise NotImplementedError

    def describe(self, message: Any) -> str:
        return f"{KINDS[message.kind]} of {message.amount}"

    def chance(self) -> Any:
        """For one more run."""
        self.numbers += 1_000
        return Plain(self.numbers)

    def others(self, place: int) -> list[int]:
        return [run for run in self.runs if run != self.runs[place]]

    def message_steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        for index, (sender, to, message) in enumerate(self.network):
            what = f"{self.describe(message)}, run {sender} to {to} ({index})"
            found.append((f"comes: {what}", ("come", index)))
            if self.losing:
                found.append((f"lost: {what}", ("lose", index)))
            if self.copies and len(self.network) < self.messages:
                found.append((f"again: {what}", ("copy", index)))
        return found

    def usual_steps(self) -> list[tuple[str, Hashable]]:
        """What may happen to messages, and to time."""
        return self.message_steps() + ([("time goes by", ("time",))] if self.left else [])

    def do(self, step: Any) -> None:
        kind, *rest = step
        getattr(self, f"do_{kind}")(*rest)

    def do_come(self, index: int) -> None:
        sender, to, message = self.network.pop(index)
        if to in self.runs:
            place = self.runs.index(to)
            self.deliver(place, message, sender)
            self.send(place)

    def do_lose(self, index: int) -> None:
        self.network.pop(index)

    def do_copy(self, index: int) -> None:
        self.copies -= 1
        self.network.append(self.network[index])

    def send(self, place: int) -> None:
        party = self.party(place)
        for to, message in party.out:
            for other in [to] if to else self.others(place):
                if len(self.network) < self.messages + 1:
                    self.network.append((self.runs[place], other, message))
        party.out = []


class Named:
    """Numbers of loans in the order in which they are met: what they are does not matter."""

    def __init__(self) -> None:
        self.names: dict[int, int] = {}

    def __call__(self, nonce: int) -> int:
        return self.names.setdefault(nonce, len(self.names))
