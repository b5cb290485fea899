"""Faults put into the sharing of a limit, one by one: each must be found, with a path that replays."""

from __future__ import annotations

from whinpier.fleet.messages import LEASE_GRANT, LEASE_RETURN, QuotaMessage
from whinpier.fleet.quotas.leases import Loan
from whinpier.model_checking.quotas import Wishing


class AddsBeforeTheLenderTookOff(Wishing):
    def ask(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        super().ask(now, other, amount, nonce, turn)
        self.borrowed[nonce] = Loan(other, amount, now + self.limit.span, turn)
        self.changed(now)


class LendsWithoutTakingOff(Wishing):
    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        amount = min(deal.amount, self.spare(now))
        self.out.append(
            (other, QuotaMessage(LEASE_GRANT, deal.limit, deal.nonce, amount, deal.turn))
        )


class LendsForTooShort(Wishing):
    def asked_for(self, deal: QuotaMessage, other: int, now: int) -> None:
        super().asked_for(deal, other, now)
        if (loan := self.lent.get(deal.nonce)) is not None:
            loan.until = now + self.limit.span // 2


class CountsFromWhenItCame(Wishing):
    def lent_to_us(self, deal: QuotaMessage, other: int, now: int) -> None:
        if (asked := self.asked.get(deal.nonce)) is not None:
            asked.at = now
        super().lent_to_us(deal, other, now)


class ComparesNoTurn(Wishing):
    def lent_to_us(self, deal: QuotaMessage, other: int, now: int) -> None:
        if (asked := self.asked.get(deal.nonce)) is not None:
            asked.turn = deal.turn
        super().lent_to_us(deal, other, now)


class AsksAgainInTheSameTurn(Wishing):
    """As it was written first: the turn is raised by an answer, not by asking."""

    def ask(self, now: int, other: int, amount: int, nonce: int, turn: int) -> None:
        super().ask(now, other, amount, nonce, turn)
        if (loan := self.borrowed.get(nonce)) is not None:
            loan.turn -= 1


class RenewsWithoutTheLender(Wishing):
    def turn(self, now: int, there: object) -> None:
        for loan in self.borrowed.values():
            if loan.until - now < self.renew:
                loan.until = now + self.limit.span
        super().turn(now, there)  # type: ignore[arg-type]


class StartsWithoutAFence(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.fenced_till = given[2]  # type: ignore[assignment]


class StartsAfterTooShortAFence(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.fenced_till -= self.limit.span * (self.fenced_till > given[2])  # type: ignore[operator]


class GivesBackWhatItGoesOnUsing(Wishing):
    def turn(self, now: int, there: object) -> None:
        before = dict(self.borrowed)
        super().turn(now, there)  # type: ignore[arg-type]
        self.borrowed |= {nonce: loan for nonce, loan in before.items() if loan.until > now}
        self.changed(now)


class GivesBackWhatTasksHold(Wishing):
    def fits_without(self, loan: Loan, now: int) -> bool:
        return True

    def need(self, now: int) -> int:
        return self.wish


class LendsWhatTasksHold(Wishing):
    def spare(self, now: int) -> int:
        lent = sum(loan.amount for loan in self.lent.values() if loan.until > now)
        return max(0, self.home - lent - self.wish) if now >= self.fenced_till else 0


class LendsWhatIsBorrowed(Wishing):
    def spare(self, now: int) -> int:
        return max(0, self.count(now) - max(self.need(now), self.used))


class LendsTheSameTwice(Wishing):
    def spare(self, now: int) -> int:
        return max(0, self.home - self.need(now)) if now >= self.fenced_till else 0


class TakesUnderWhatEndsSooner(Wishing):
    def take(self, now: int, ends: int = 0) -> bool:
        return super().take(now, 0)


class TakesOneMore(Wishing):
    def take(self, now: int, ends: int = 0) -> bool:
        self.used -= 1
        good = super().take(now, ends)
        self.used += 1
        return good


class UsesWhatHasEnded(Wishing):
    def count(self, now: int, ends: int = 0) -> int:
        home = self.home if now >= self.fenced_till else 0
        lent = sum(loan.amount for loan in self.lent.values() if loan.until > now)
        return max(0, home - lent) + sum(loan.amount for loan in self.borrowed.values())

    def settle(self, now: int) -> None:
        kept = dict(self.borrowed)
        super().settle(now)
        self.borrowed |= kept


class RoundsItsHomeUp(Wishing):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.home = -(-self.limit.amount // len(self.limit.homes)) + (self.limit.amount % 2 == 0)


class TakesBackTooSoon(Wishing):
    """The lender forgets a loan when it needs it itself."""

    def take(self, now: int, ends: int = 0) -> bool:
        if not super().take(now, ends) and self.lent:
            self.lent.clear()
            self.changed(now)
            return super().take(now, ends)
        return True


class AnswersForAnybodysReturn(Wishing):
    """Any return ends the first loan that is out."""

    def deal(self, deal: QuotaMessage, other: int, now: int) -> None:
        if deal.kind == LEASE_RETURN and self.lent:
            deal = QuotaMessage(
                LEASE_RETURN, deal.limit, next(iter(self.lent)), deal.amount, deal.turn
            )
            other = self.lent[deal.nonce].other
        super().deal(deal, other, now)


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
