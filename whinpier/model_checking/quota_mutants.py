"""Faults put into the sharing of a limit, one by one: each must be found, with a path that replays."""

from __future__ import annotations

from whinpier.fleet.messages import LEASE_GRANT, LEASE_RETURN, QuotaMessage
from whinpier.fleet.quotas.leases import Lease
from whinpier.model_checking.quotas import Wishing


class AddsBeforeTheLenderTookOff(Wishing):
    def send_request(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        super().send_request(now, other, amount, nonce, turn)
        self.borrowed[nonce] = Lease(other, amount, now + self.limit.lease_duration, turn)
        self.on_leases_changed(now)


class LendsWithoutTakingOff(Wishing):
    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        amount = min(deal.amount, self.compute_spare(now))
        self.out.append(
            (other, QuotaMessage(LEASE_GRANT, deal.limit, deal.nonce, amount, deal.sequence))
        )


class LendsForTooShort(Wishing):
    def on_request(self, deal: QuotaMessage, other: int, now: int) -> None:
        super().on_request(deal, other, now)
        if (lease := self.lent.get(deal.nonce)) is not None:
            lease.expires_at = now + self.limit.lease_duration // 2


class CountsFromWhenItCame(Wishing):
    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        if (asked := self.pending.get(deal.nonce)) is not None:
            asked.requested_at = now
        super().on_grant(deal, other, now)


class ComparesNoTurn(Wishing):
    def on_grant(self, deal: QuotaMessage, other: int, now: int) -> None:
        if (asked := self.pending.get(deal.nonce)) is not None:
            asked.renewal = deal.sequence
        super().on_grant(deal, other, now)


class AsksAgainInTheSameTurn(Wishing):
    """As it was written first: the turn is raised by an answer, not by asking."""

    def send_request(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        super().send_request(now, other, amount, nonce, turn)
        if (lease := self.borrowed.get(nonce)) is not None:
            lease.renewal -= 1


class RenewsWithoutTheLender(Wishing):
    def on_timer(self, now: int, there: object) -> None:
        for lease in self.borrowed.values():
            if lease.expires_at - now < self.renewal_threshold:
                lease.expires_at = now + self.limit.lease_duration
        super().on_timer(now, there)  # type: ignore[arg-type]


class StartsWithoutAFence(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.fenced_until = given[2]  # type: ignore[assignment]


class StartsAfterTooShortAFence(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.fenced_until -= self.limit.lease_duration * (self.fenced_until > given[2])  # type: ignore[operator]


class GivesBackWhatItGoesOnUsing(Wishing):
    def on_timer(self, now: int, there: object) -> None:
        before = dict(self.borrowed)
        super().on_timer(now, there)  # type: ignore[arg-type]
        self.borrowed |= {nonce: lease for nonce, lease in before.items() if lease.expires_at > now}
        self.on_leases_changed(now)


class GivesBackWhatTasksHold(Wishing):
    def fits_without(self, lease: Lease, now: int) -> bool:
        return True

    def compute_need(self, now: int) -> int:
        return self.wish


class LendsWhatTasksHold(Wishing):
    def compute_spare(self, now: int) -> int:
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return max(0, self.home_quota - lent - self.wish) if now >= self.fenced_until else 0


class LendsWhatIsBorrowed(Wishing):
    def compute_spare(self, now: int) -> int:
        return max(0, self.compute_available(now) - max(self.compute_need(now), self.in_flight))


class LendsTheSameTwice(Wishing):
    def compute_spare(self, now: int) -> int:
        return max(0, self.home_quota - self.compute_need(now)) if now >= self.fenced_until else 0


class TakesUnderWhatEndsSooner(Wishing):
    def try_acquire(self, now: int, ends: int = 0) -> bool:
        return super().try_acquire(now, 0)


class TakesOneMore(Wishing):
    def try_acquire(self, now: int, ends: int = 0) -> bool:
        self.in_flight -= 1
        good = super().try_acquire(now, ends)
        self.in_flight += 1
        return good


class UsesWhatHasEnded(Wishing):
    def compute_available(self, now: int, ends: int = 0) -> int:
        home = self.home_quota if now >= self.fenced_until else 0
        lent = sum(lease.amount for lease in self.lent.values() if lease.expires_at > now)
        return max(0, home - lent) + sum(lease.amount for lease in self.borrowed.values())

    def refill(self, now: int) -> None:
        kept = dict(self.borrowed)
        super().refill(now)
        self.borrowed |= kept


class RoundsItsHomeUp(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.home_quota = -(-self.limit.amount // len(self.limit.homes)) + (
            self.limit.amount % 2 == 0
        )


class TakesBackTooSoon(Wishing):
    """The lender forgets a loan when it needs it itself."""

    def try_acquire(self, now: int, ends: int = 0) -> bool:
        if not super().try_acquire(now, ends) and self.lent:
            self.lent.clear()
            self.on_leases_changed(now)
            return super().try_acquire(now, ends)
        return True


class AnswersForAnybodysReturn(Wishing):
    """Any return ends the first loan that is out."""

    def on_message(self, deal: QuotaMessage, other: int, now: int) -> None:
        if deal.kind == LEASE_RETURN and self.lent:
            deal = QuotaMessage(
                LEASE_RETURN, deal.limit, next(iter(self.lent)), deal.amount, deal.sequence
            )
            other = self.lent[deal.nonce].member
        super().on_message(deal, other, now)


FAULTS: dict[str, type[Wishing]] = {
    fault.__name__: fault
    for fault in (
        AddsBeforeTheLenderTookOff,
        LendsWithoutTakingOff,
        LendsForTooShort,
        CountsFromWhenItCame,
        ComparesNoTurn,
        AsksAgainInTheSameTurn,
        RenewsWithoutTheLender,
        StartsWithoutAFence,
        StartsAfterTooShortAFence,
        GivesBackWhatItGoesOnUsing,
        GivesBackWhatTasksHold,
        LendsWhatTasksHold,
        LendsWhatIsBorrowed,
        LendsTheSameTwice,
        TakesUnderWhatEndsSooner,
        TakesOneMore,
        UsesWhatHasEnded,
        RoundsItsHomeUp,
        TakesBackTooSoon,
        AnswersForAnybodysReturn,
    )
}
