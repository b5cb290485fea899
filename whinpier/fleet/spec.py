"""Configuration of a fleet member, as plain types; whinpier.fleet.config reads the file."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from whinpier.fleet.membership.membership import Address, MembershipTiming
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.quotas.allocation import LimitConfig
from whinpier.fleet.rollouts.commands import BudgetRule
from whinpier.policy.decaying_sum import SECOND

RELEASE_FILE_NAME = "released.toml"  # in the folder of the replicated state
MAX_CONTROL_CALLERS = 16  # connected to the control socket at once
# Fields that a running process keeps until it is restarted.
KEPT_TILL_RESTART = (
    "name",
    "listen",
    "advertise",
    "control",
    "recall",
    "state",
    "verdicts",
    "agreement",
)


# File descriptors of the parts of a member.
_DATAGRAM_SOCKET_DESCRIPTORS = 1
_CONTROL_SOCKET_DESCRIPTORS = 1 + MAX_CONTROL_CALLERS
_STATE_FILE_DESCRIPTORS = 3
_CONSENSUS_DESCRIPTORS = 7


@dataclass(frozen=True)
class AgreementSpec:
    """How this process takes part in the consensus of the fleet; durations are nanoseconds."""

    voters: tuple[str, ...]  # of a new replicated log, which the first of them bootstraps
    folder: str  # of the replicated state and the released file
    permits: tuple[BudgetRule, ...] = ()  # disruption budgets that a new log begins with
    wait: int = 5 * SECOND  # at start, for the current state; then it serves by what it has stored
    write_off: int = 600 * SECOND  # after which a lost member is no longer waited for
    # A release that has cut this process off for so long is taken back by the process itself.
    cut_off: int = 15 * SECOND
    build: str = ""  # name of the build that runs


@dataclass(frozen=True)
class FleetSpec:
    """How this process takes part in the fleet."""

    name: str
    listen: Address
    advertise: Address  # at which the other members reach it
    keys: tuple[bytes, ...]  # the first signs datagrams, each one verifies them
    seeds: tuple[Address, ...] = ()
    control: str = ""  # path of the control socket; empty: none
    recall: str = ""  # path of the peer cache; empty: none
    state: str = ""  # path of the state file; empty: none
    zone: str = ""
    times: MembershipTiming = MembershipTiming()
    pools: tuple[str, ...] = ()  # whose number of balancers the fleet finds out
    limits: tuple[LimitConfig, ...] = ()
    verdicts: EjectionConfig | None = None  # None: the fleet ejects no upstreams
    agreement: AgreementSpec | None = None  # None: no consensus

    @property
    def descriptors(self) -> int:
        """Return how many file descriptors the fleet's part of the process may hold."""
        count = _DATAGRAM_SOCKET_DESCRIPTORS
        if self.control:
            count += _CONTROL_SOCKET_DESCRIPTORS
        if self.state:
            count += _STATE_FILE_DESCRIPTORS
        if self.agreement:
            count += _CONSENSUS_DESCRIPTORS
        return count

    @property
    def till_restart(self) -> dict[str, object]:
        """Return the fields that a reload leaves as they are, by name."""
        return {key: getattr(self, key) for key in KEPT_TILL_RESTART}

    def kept(self, old: object) -> FleetSpec:
        """Return this configuration as a process that was started with an old one can run it."""
        assert isinstance(old, FleetSpec)
        return replace(self, **{key: getattr(old, key) for key in KEPT_TILL_RESTART})

    def differs(self, other: FleetSpec) -> list[str]:
        """Return the names of the fields in which another configuration differs."""
        return [
            field.name
            for field in fields(FleetSpec)
            if getattr(self, field.name) != getattr(other, field.name)
        ]
