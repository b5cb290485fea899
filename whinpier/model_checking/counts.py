"""The world of one count of calendar windows: messages in any order, lost, doubled; disks, crashes,
clocks.

A window lasts three steps of time. Each member has a disk that holds what it was given before a
crash, and may fail; its clock may be unsure by a step to either side. What passes is counted by the
true time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from typing import Any

from whinpier.fleet.quotas.calendar_quota import (
    Calendar,
    CalendarQuota,
    MultiWindowAdmission,
    WindowQuota,
    WindowRecord,
)
from whinpier.fleet.quotas.leases import COUNT, Limit
from whinpier.model_checking.network import Named, Network
from whinpier.policy.decaying_sum import SECOND

STEP = 20 * SECOND
BEGUN = 10_000 * 60  # seconds since the epoch: the start of a window
CALENDAR = Calendar("minute")


class Wishful(CalendarQuota):
    """The real part, but for what is needed: that is the world's choice."""

    wish = 0
    min_write_ahead = 1
    clock = (0, 0)

    def estimate_rate(self, now: int) -> int:
        return 1 if self.wish else 0

    def forecast_demand(self, slot: WindowQuota, now: int, span: int) -> int:
        return self.wish


class Counting(Network):
    """Members, the network between them, their disks, and what has passed."""

    def __init__(
        self,
        members: int = 2,
        amount: int = 2,
        messages: int = 3,
        times: int = 5,
        crashes: int = 1,
        copies: int = 1,
        make: type[Wishful] = Wishful,
        unsure: int = 0,
        failures: int = 0,
        lasting: bool = True,
        ahead: int = 1,
    ) -> None:
        super().__init__(members, messages, crashes, copies)
        self.limit = Limit("x", COUNT, amount, tuple(f"m{n}" for n in range(members)))
        self.make, self.left, self.unsure, self.failures = make, times, unsure, failures
        self.lasting, self.ahead = lasting, ahead
        self.disks: list[dict[int, WindowRecord]] = [{} for _ in range(members)]
        self.writing: list[tuple[int, list[WindowRecord]] | None] = [None] * members
        self.passed: Counter[int] = Counter()  # by window
        self.out: list[list[tuple[int, WindowQuota | MultiWindowAdmission]]] = [
            [] for _ in range(members)
        ]  # window, what took it
        self.parts: list[Wishful] = [self.started(place, False) for place in range(members)]

    def party(self, place: int) -> Wishful:
        return self.parts[place]

    def deliver(self, place: int, message: Any, sender: int) -> None:
        self.parts[place].on_message(message, sender, self.now)

    def between(self, now: int) -> tuple[int, int]:
        wall = BEGUN * SECOND + now
        return wall - self.unsure * STEP, wall + self.unsure * STEP

    def started(self, place: int, again: bool) -> Wishful:
        part = self.make(
            self.limit, CALENDAR, f"m{place}", self.now, self.chance(), self.between, self.lasting
        )
        part.min_write_ahead = self.ahead
        if again:
            since = 0 if self.lasting else self.between(self.now)[1] // SECOND + 1
            part.restore(list(self.disks[place].values()), since)
        part.update_windows(self.now)
        return part

    def steps(self) -> list[tuple[str, Hashable]]:
        found: list[tuple[str, Hashable]] = []
        for place, part in enumerate(self.parts):
            found.append((f"m{place} takes a task", ("take", place)))
            for wish in (0, self.limit.amount):
                if wish != part.wish:
                    found.append((f"m{place} needs {wish}", ("wish", place, wish)))
            if len(self.network) < self.messages:
                found.append((f"m{place} looks round", ("turn", place)))
            if self.out[place]:
                found.append((f"a task of m{place} never ran", ("back", place)))
            if self.writing[place]:
                found.append((f"m{place} has it on its disk", ("written", place)))
                if self.failures:
                    found.append((f"the disk of m{place} fails", ("fail", place)))
            elif part.pending_records:
                found.append((f"m{place} begins to write", ("write", place)))
            if self.crashes:
                found.append((f"m{place} dies and starts", ("crash", place)))
        return found + self.usual_steps()

    def do_take(self, place: int) -> None:
        if (given := self.parts[place].acquire(self.now)) is not None:
            self.passed[self.window()] += 1
            self.out[place].append((self.window(), given))

    def do_back(self, place: int) -> None:
        window, given = self.out[place].pop(0)
        self.passed[window] -= 1
        given.release(self.now, False)

    def do_wish(self, place: int, wish: int) -> None:
        self.parts[place].wish = wish

    def do_turn(self, place: int) -> None:
        self.parts[place].on_timer(self.now, self.others(place))
        self.send(place)

    def do_write(self, place: int) -> None:
        self.writing[place] = self.parts[place].take_records()

    def do_written(self, place: int) -> None:
        batch, self.writing[place] = self.writing[place], None
        assert batch is not None
        self.disks[place] |= {note[2]: note for note in batch[1]}
        self.parts[place].on_records_written(*batch)
        self.send(place)

    def do_fail(self, place: int) -> None:
        self.failures -= 1
        batch, self.writing[place] = self.writing[place], None
        assert batch is not None
        self.parts[place].on_write_failed(batch[1])

    def do_crash(self, place: int) -> None:
        self.crashes -= 1
        self.runs[place] += 100
        self.writing[place], self.out[place] = None, []
        self.parts[place] = self.started(place, True)

    def do_time(self) -> None:
        self.left -= 1
        self.now += STEP
        for part in self.parts:
            part.windows_valid_until = 0  # it looks at its clock before it does anything

    def window(self) -> int:
        return CALENDAR.bounds(BEGUN + self.now // SECOND)[0]

    def broken(self) -> str:
        for start, passed in self.passed.items():
            if passed > self.limit.amount:
                return f"{passed} passed of {self.limit.amount}"
        start = self.window()
        may = self.passed[start]
        for part in self.parts:
            slot = part.known_windows.get(start)
            may += (
                slot.remaining if slot else part.home_quota if start >= part.unknown_before else 0
            )
        if may > self.limit.amount:
            return f"{may} have passed or may pass, of {self.limit.amount}"
        return ""

    def mark(self) -> Hashable:
        name = Named()
        parts = tuple(
            (
                part.wish,
                part.unknown_before,
                tuple(
                    (
                        slot.start,
                        slot.home_quota,
                        slot.transferred,
                        slot.used,
                        slot.durable_used,
                        slot.pending_used,
                    )
                    for slot in part.known_windows.values()
                ),
                tuple(
                    (
                        name(nonce),
                        ask.member,
                        ask.amount,
                        ask.start,
                        self.now - ask.sent_at,
                        ask.attempts,
                    )
                    for nonce, ask in part.pending.items()
                ),
                tuple((name(nonce), amount) for nonce, amount in part.grants.items()),
                tuple(
                    (said - part.records_issued, other, name(deal.nonce), deal.amount)
                    for said, other, deal in part.held_grants
                ),
                tuple(part.pending_records.values()),
                tuple(sorted(who for who, at in part.declined_at.items() if at == self.now)),
            )
            for part in self.parts
        )
        network = tuple(
            sorted(
                (sender, to, deal.kind, name(deal.nonce), deal.amount, deal.sequence)
                for sender, to, deal in self.network
            )
        )
        disks = tuple(
            (tuple(disk.values()), batch and (part.records_issued - batch[0], tuple(batch[1])))
            for disk, batch, part in zip(self.disks, self.writing, self.parts)
        )
        out = tuple(
            tuple(
                (window, tuple(slot.start for slot in getattr(given, "windows", [given])))
                for window, given in those
            )
            for those in self.out
        )
        return (
            parts,
            network,
            disks,
            out,
            tuple(sorted(self.passed.items())),
            tuple(self.runs),
            self.left,
            self.crashes,
            self.copies,
            self.failures,
        )
