"""Request rates that balancers send each other: encoded, decoded and added up; no decisions."""

from __future__ import annotations

from struct import Struct

from whinpier.policy.decaying_sum import SECOND

FORMAT_VERSION = 1
MESSAGE = Struct("<Bf")  # format version, the sender's requests per second
# Nanoseconds that a received rate stays valid: messages get lost, and in a large fleet each
# balancer sends seldom.
RATE_LIFETIME = 30 * SECOND
MAX_RATE = 1e9  # requests per second; a higher rate or NaN is invalid


class PeerRates:
    """The last rate of each other balancer that has been heard of recently."""

    def __init__(self) -> None:
        """Start without any."""
        self.received: dict[int, tuple[int, float]] = {}  # by balancer: time, rate
        # Messages in another format, perhaps of another build, or with an invalid rate or sender.
        self.invalid_messages = 0

    @staticmethod
    def pack(rate: float) -> bytes:
        """Encode a message with this balancer's rate."""
        return MESSAGE.pack(FORMAT_VERSION, rate)

    def receive(self, balancer: int, contents: bytes, balancers: int, now: int) -> None:
        """Take in a message of balancer number `balancer` of `balancers`, or count it as invalid."""
        if (
            len(contents) == MESSAGE.size
            and contents[0] == FORMAT_VERSION
            and 0 <= balancer < balancers
        ):
            rate: float = MESSAGE.unpack(contents)[1]
            if 0.0 <= rate < MAX_RATE:
                self.received[balancer] = now, rate
                return
        self.invalid_messages += 1

    def fleet_rate(self, own: float, balancers: int, now: int) -> float:
        """Return the rate of all balancers; those not heard of recently count as the mean."""
        self.received = {
            balancer: (at, rate)
            for balancer, (at, rate) in self.received.items()
            if at > now - RATE_LIFETIME
        }
        known = own + sum(rate for _, rate in self.received.values())
        return known * balancers / (1 + len(self.received))
