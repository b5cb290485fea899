"""Faults put into the counting of calendar windows, one by one: each must be found, with a path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from whinpier.fleet.messages import UNITS_GRANT, QuotaMessage
from whinpier.fleet.quotas.calendar_quota import Note, Slot
from whinpier.model_checking.counts import Wishful


class SendsBeforeItIsWritten(Wishful):
    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        super().asked_for(deal, other, now)
        self.out += [(to, held) for _, to, held in self.held]
        self.held = []


class SendsWithWhateverIsWritten(Wishful):
    def written(self, said: int, notes: Iterable[Note]) -> None:
        super().written(said + len(self.held), notes)


class HandsOverWithoutTakingOff(Wishful):
    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        for slot in self.slots:
            if slot.start == deal.turn and (spare := min(deal.amount, slot.left - self.wish)) > 0:
                self.out.append(
                    (other, QuotaMessage(UNITS_GRANT, deal.limit, deal.nonce, spare, deal.turn))
                )


class AddsWhatItAskedFor(Wishful):
    def look_for(self, slot: Slot, now: int, lacking: int, there: Iterable[int]) -> None:
        super().look_for(slot, now, lacking, there)
        slot.moved += sum(ask.amount for ask in self.asks.values() if ask.at == now)


class AddsTwice(Wishful):
    def received(self, deal: QuotaMessage, other: int, now: int) -> None:
        ask = self.asks.get(deal.nonce)
        super().received(deal, other, now)
        if ask is not None:
            self.asks[deal.nonce] = ask


class TakesUnitsOfAnotherWindow(Wishful):
    def settle(self, now: int) -> None:
        kept = dict(self.asks)
        super().settle(now)
        for ask in kept.values():
            ask.start = self.slots[-1].start
        self.asks = kept

    def received(self, deal: QuotaMessage, other: int, now: int) -> None:
        start = self.slots[-1].start
        super().received(
            QuotaMessage(deal.kind, deal.limit, deal.nonce, deal.amount, start), other, now
        )


class TakesAnybodysUnits(Wishful):
    def received(self, deal: QuotaMessage, other: int, now: int) -> None:
        for slot in self.slots:
            if slot.start == deal.turn:
                slot.moved += deal.amount
        self.asks.pop(deal.nonce, None)


class UsesBeforeItIsWritten(Wishful):
    def ahead(self, slot: Slot, now: int) -> None:
        super().ahead(slot, now)
        slot.kept = slot.asked


class WritesWhatIsUsedNow(Wishful):
    def write(self, slot: Slot) -> None:
        super().write(slot)
        self.notes[slot.start] = (*self.notes[slot.start][:5], slot.used)

    def written(self, said: int, notes: Iterable[Note]) -> None:
        super().written(said, notes)
        for slot in self.slots:
            slot.kept = slot.asked


class BelievesAllIsWritten(Wishful):
    def written(self, said: int, notes: Iterable[Note]) -> None:
        super().written(said, notes)
        for slot in self.slots:
            slot.kept = slot.asked


class TakesAFailureForDone(Wishful):
    def not_written(self, notes: Iterable[Note]) -> None:
        self.written(self.said, notes)


class ForgetsWhatFailed(Wishful):
    """What could not be written is not tried again, and counts as if it had been."""

    def not_written(self, notes: Iterable[Note]) -> None:
        for slot in self.slots:
            slot.kept = slot.asked


class ForgetsWhatWasUsed(Wishful):
    def recall(self, notes: Iterable[Note], since: int) -> None:
        super().recall([(*note[:5], 0) for note in notes], since)


class ForgetsWhatItHandedOver(Wishful):
    def recall(self, notes: Iterable[Note], since: int) -> None:
        super().recall([(*note[:4], 0, note[5]) for note in notes], since)


class TakesNoDiskForAnUnusedWindow(Wishful):
    def recall(self, notes: Iterable[Note], since: int) -> None:
        super().recall(notes, 0)


class CountsOneWindowOfTwo(Wishful):
    def settle(self, now: int) -> None:
        super().settle(now)
        self.slots = self.slots[:1]


class CountsTheLaterOfTwo(Wishful):
    def settle(self, now: int) -> None:
        super().settle(now)
        self.slots = self.slots[-1:]


class GivesBackInAnyWindow(Wishful):
    """What never ran is counted off in the window that is on by then."""

    def enter(self, now: int, ends: int = 0) -> Any:
        return self if self.take(now, ends) else None

    def give(self, now: int, ran: bool = True) -> None:
        self.slots[-1].used = max(0, self.slots[-1].used - 1)


class GivesBackWhatRan(Wishful):
    """What a window has counted is counted off again when it closes for a while, as clocks are unsure."""

    def settle(self, now: int) -> None:
        super().settle(now)
        if len(self.slots) > 1:
            self.slots[0].used = max(0, self.slots[0].used - 1)


class RoundsItsHomeUp(Wishful):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.home += 1


FAULTS: dict[str, type[Wishful]] = {
    fault.__name__: fault
    for fault in (
        SendsBeforeItIsWritten,
        SendsWithWhateverIsWritten,
        HandsOverWithoutTakingOff,
        AddsWhatItAskedFor,
        AddsTwice,
        TakesUnitsOfAnotherWindow,
        TakesAnybodysUnits,
        UsesBeforeItIsWritten,
        WritesWhatIsUsedNow,
        BelievesAllIsWritten,
        TakesAFailureForDone,
        ForgetsWhatFailed,
        ForgetsWhatWasUsed,
        ForgetsWhatItHandedOver,
        TakesNoDiskForAnUnusedWindow,
        CountsOneWindowOfTwo,
        CountsTheLaterOfTwo,
        GivesBackInAnyWindow,
        GivesBackWhatRan,
        RoundsItsHomeUp,
    )
}
