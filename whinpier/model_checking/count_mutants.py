"""Faults put into the counting of calendar windows, one by one: each must be found, with a path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from whinpier.fleet.messages import UNITS_GRANT, QuotaMessage
from whinpier.fleet.quotas.calendar_quota import WindowQuota, WindowRecord
from whinpier.model_checking.counts import Wishful


class SendsBeforeItIsWritten(Wishful):
    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        super().on_request(deal, other, now)
        self.out += [(to, held) for _, to, held in self.held_grants]
        self.held_grants = []


class SendsWithWhateverIsWritten(Wishful):
    def on_records_written(self, said: int, notes: Iterable[WindowRecord]) -> None:
        super().on_records_written(said + len(self.held_grants), notes)


class HandsOverWithoutTakingOff(Wishful):
    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        for slot in self.windows:
            if (
                slot.start == deal.sequence
                and (spare := min(deal.amount, slot.remaining - self.wish)) > 0
            ):
                self.out.append(
                    (other, QuotaMessage(UNITS_GRANT, deal.limit, deal.nonce, spare, deal.sequence))
                )


class AddsWhatItAskedFor(Wishful):
    def request_from_members(
        self, slot: WindowQuota, now: int, lacking: int, there: Iterable[int]
    ) -> None:
        super().request_from_members(slot, now, lacking, there)
        slot.transferred += sum(ask.amount for ask in self.pending.values() if ask.sent_at == now)


class AddsTwice(Wishful):
    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        ask = self.pending.get(deal.nonce)
        super().on_grant(deal, other, now)
        if ask is not None:
            self.pending[deal.nonce] = ask


class TakesUnitsOfAnotherWindow(Wishful):
    def update_windows(self, now: int) -> None:
        kept = dict(self.pending)
        super().update_windows(now)
        for ask in kept.values():
            ask.start = self.windows[-1].start
        self.pending = kept

    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        start = self.windows[-1].start
        super().on_grant(
            QuotaMessage(deal.kind, deal.limit, deal.nonce, deal.amount, start), other, now
        )


class TakesAnybodysUnits(Wishful):
    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        for slot in self.windows:
            if slot.start == deal.sequence:
                slot.transferred += deal.amount
        self.pending.pop(deal.nonce, None)


class UsesBeforeItIsWritten(Wishful):
    def write_ahead(self, slot: WindowQuota, now: int) -> None:
        super().write_ahead(slot, now)
        slot.durable_used = slot.pending_used


class WritesWhatIsUsedNow(Wishful):
    def queue_record(self, slot: WindowQuota) -> None:
        super().queue_record(slot)
        self.pending_records[slot.start] = (*self.pending_records[slot.start][:5], slot.used)

    def on_records_written(self, said: int, notes: Iterable[WindowRecord]) -> None:
        super().on_records_written(said, notes)
        for slot in self.windows:
            slot.durable_used = slot.pending_used


class BelievesAllIsWritten(Wishful):
    def on_records_written(self, said: int, notes: Iterable[WindowRecord]) -> None:
        super().on_records_written(said, notes)
        for slot in self.windows:
            slot.durable_used = slot.pending_used


class TakesAFailureForDone(Wishful):
    def on_write_failed(self, notes: Iterable[WindowRecord]) -> None:
        self.on_records_written(self.records_issued, notes)


class ForgetsWhatFailed(Wishful):
    """What could not be written is not tried again, and counts as if it had been."""

    def on_write_failed(self, notes: Iterable[WindowRecord]) -> None:
        for slot in self.windows:
            slot.durable_used = slot.pending_used


class ForgetsWhatWasUsed(Wishful):
    def restore(self, notes: Iterable[WindowRecord], since: int) -> None:
        super().restore([(*note[:5], 0) for note in notes], since)


class ForgetsWhatItHandedOver(Wishful):
    def restore(self, notes: Iterable[WindowRecord], since: int) -> None:
        super().restore([(*note[:4], 0, note[5]) for note in notes], since)


class TakesNoDiskForAnUnusedWindow(Wishful):
    def restore(self, notes: Iterable[WindowRecord], since: int) -> None:
        super().restore(notes, 0)


class CountsOneWindowOfTwo(Wishful):
    def update_windows(self, now: int) -> None:
        super().update_windows(now)
        self.windows = self.windows[:1]


class CountsTheLaterOfTwo(Wishful):
    def update_windows(self, now: int) -> None:
        super().update_windows(now)
        self.windows = self.windows[-1:]


class GivesBackInAnyWindow(Wishful):
    """What never ran is counted off in the window that is on by then."""

    def acquire(self, now: int, ends: int = 0) -> Any:
        return self if self.try_acquire(now, ends) else None

    def release(self, now: int, ran: bool = True) -> None:
        self.windows[-1].used = max(0, self.windows[-1].used - 1)


class GivesBackWhatRan(Wishful):
    """What a window has counted is counted off again when it closes for a while, as clocks are unsure."""

    def update_windows(self, now: int) -> None:
        super().update_windows(now)
        if len(self.windows) > 1:
            self.windows[0].used = max(0, self.windows[0].used - 1)


class RoundsItsHomeUp(Wishful):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.home_quota += 1


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
