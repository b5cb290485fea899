"""Plain types of what is configured for the fleet. Reads no file."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from whinpier.fleet.membership.membership import Address, MembershipTiming
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.quotas.allocation import LimitConfig
from whinpier.fleet.rollouts.commands import BudgetRule
from whinpier.policy.decaying_sum import SECOND

RELEASED = "released.toml"  # the file's name in the folder of what is agreed
CALLERS = 16  # on the control socket at once
TILL_RESTART = (
    "name",
    "listen",
    "advertise",
    "control",
    "recall",
    "state",
    "verdicts",
    "agreement",
)


@dataclass(frozen=True)
class AgreementSpec:
    """How this process takes part in the fleet's record."""

    voters: tuple[str, ...]  # who votes where a record begins; the first begins it
    folder: str  # where the record and the released file lie
    permits: tuple[BudgetRule, ...] = ()  # how many may be out, where a record begins
    wait: int = 5 * SECOND  # for the record, till it serves by what it has
    write_off: int = 600 * SECOND  # after which one that is lost is reckoned with no more
    cut_off: int = 15 * SECOND  # after a release that cuts this process off it takes it back itself
    build: str = ""  # what this build is called


@dataclass(frozen=True)
class FleetSpec:
    """How this process takes part in the fleet."""

    name: str
    listen: Address
    advertise: Address  # where the others reach it
    keys: tuple[bytes, ...]  # the first seals, each opens
    seeds: tuple[Address, ...] = ()
    control: str = ""  # path of a Unix socket; empty: none
    recall: str = ""  # path of a file by which the next run finds the others again; empty: none
    state: str = ""  # path of a file of what must outlive the process; empty: none
    zone: str = ""
    times: MembershipTiming = MembershipTiming()
    pools: tuple[str, ...] = ()  # that are shared by as many as the fleet says
    limits: tuple[LimitConfig, ...] = ()
    verdicts: EjectionConfig | None = None  # None: nothing rests by what the fleet says
    agreement: AgreementSpec | None = None  # None: nothing is agreed

    @property
    def descriptors(self) -> int:
        """What it may hold: its datagrams' socket, the control socket and who calls there, the state file."""
        return (
            1
            + (1 + CALLERS if self.control else 0)
            + (3 if self.state else 0)
            + (5 if self.agreement else 0)
        )

    @property
    def till_restart(self) -> dict[str, object]:
        return {key: getattr(self, key) for key in TILL_RESTART}

    def kept(self, old: object) -> FleetSpec:
        """This one as it can be run by a process that was started by an old one."""
        assert isinstance(old, FleetSpec)
        return replace(self, **{key: getattr(old, key) for key in TILL_RESTART})

    def differs(self, other: FleetSpec) -> list[str]:
        return [
            one.name
            for one in fields(FleetSpec)
            if getattr(self, one.name) != getattr(other, one.name)
        ]
