"""What balancers tell one another of their rates: packed, read and added up. Decides nothing."""

from __future__ import annotations

from struct import Struct

from whinpier.policy.decaying_sum import SECOND

FORM, MESSAGE = 1, Struct("<Bf")  # which build's form it is, the sender's rate of requests a second
HEARD = 30 * SECOND  # for which a rate holds: some messages are lost, and large fleets speak seldom
MOST = 1e9  # requests a second: what is beyond, or no number, is not believed


class PeerRates:
    """The other balancers, as far as they have been heard; at most one entry for each."""

    def __init__(self) -> None:
        self.received: dict[int, tuple[int, float]] = {}  # by whom: when, and what rate
        self.invalid_messages = 0  # messages that could not be read: perhaps another build's

    @staticmethod
    def pack(rate: float) -> bytes:
        return MESSAGE.pack(FORM, rate)

    def receive(self, balancer: int, contents: bytes, balancers: int, now: int) -> None:
        """Take in a message, or count that it can't be read."""
        if len(contents) == MESSAGE.size and contents[0] == FORM and 0 <= balancer < balancers:
            rate: float = MESSAGE.unpack(contents)[1]
            if 0.0 <= rate < MOST:
                self.received[balancer] = now, rate
                return
        self.invalid_messages += 1

    def rate(self, own: float, balancers: int, now: int) -> float:
        """Of all balancers: who has not said its own of late counts as the others do."""
        self.received = {who: said for who, said in self.received.items() if said[0] > now - HEARD}
        return (
            (own + sum(rate for _, rate in self.received.values()))
            * balancers
            / (1 + len(self.received))
        )
