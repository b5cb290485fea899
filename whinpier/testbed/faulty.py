"""`python -m whinpier.testbed.faulty NAME`: one balancer with a known fault put back into the real
code.

Owns the list of faults that a campaign of bad days has to find. Must never be what a service runs.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any


def swapped(module: Any, name: str, fault: type) -> None:
    setattr(module, name, fault)


def record_fault(name: str) -> None:
    """One of those that the explorer puts into the record's voters."""
    from whinpier.fleet.consensus import service
    from whinpier.model_checking.consensus import FAULTS

    swapped(service, "RaftNode", FAULTS[name])


def vote_fault(name: str) -> None:
    from whinpier.fleet.outliers import monitor
    from whinpier.model_checking.ejection import FAULTS

    swapped(monitor, "EjectionCoordinator", FAULTS[name])


def share_fault(name: str) -> None:
    from whinpier.fleet.quotas import allocation
    from whinpier.fleet.quotas.leases import LeasedQuota
    from whinpier.model_checking.quota_mutants import FAULTS

    swapped(
        allocation,
        "LeasedQuota",
        type(name, (FAULTS[name],), {"compute_need": LeasedQuota.compute_need}),
    )


def permits_without_end() -> None:
    """No rule holds anybody back."""
    from whinpier.fleet.rollouts import disruption_budget

    disruption_budget.find_violation = lambda state, key="", zone="", pool="": ""


def done_at_once() -> None:
    """A drain is called done before anybody has confirmed it."""
    from whinpier.fleet.rollouts.controller import RolloutController

    RolloutController.find_unconfirmed = lambda self, key, drain, views: {}  # type: ignore[method-assign]  # a fault


def drains_nothing() -> None:
    """What is drained goes on getting requests."""
    from whinpier.runtime.pool import Pool

    Pool.set_drained = lambda self, hosts: None  # type: ignore[method-assign]


def sends_again() -> None:
    """An exclusive request whose connection broke is sent once more (a fault of the early module)."""
    from whinpier.policy import policy

    policy.EXCLUSIVE = "none"  # type: ignore[attr-defined]


def never_lost() -> None:
    """Whoever does not answer is suspected for good."""
    from whinpier.fleet.membership.membership import Membership

    Membership.on_suspicion_timeout = lambda self, *given: None  # type: ignore[method-assign]


def never_answers_for_itself() -> None:
    """Who is suspected does not refute it."""
    from whinpier.fleet.membership.membership import Membership

    Membership.refute = lambda self, update, sender: None  # type: ignore[method-assign]


def own_file_refused() -> None:
    """A release could not be taken back to each one's own file (mended in this project)."""
    from whinpier.fleet.consensus.service import ConsensusService

    apply_orders = ConsensusService.apply_orders

    def obeyed(self: ConsensusService) -> None:
        if self.refused_content is None:
            self.refused_content = ""
        apply_orders(self)

    ConsensusService.apply_orders = obeyed  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    "permits_without_end": permits_without_end,
    "done_at_once": done_at_once,
    "drains_nothing": drains_nothing,
    "sends_again": sends_again,
    "never_lost": never_lost,
    "never_answers_for_itself": never_answers_for_itself,
    "own_file_refused": own_file_refused,
    "lends_without_taking_off": lambda: share_fault("LendsWithoutTakingOff"),
    "starts_without_a_fence": lambda: share_fault("StartsWithoutAFence"),
    "takes_any_slot": lambda: vote_fault("TakesAnySlot"),
    "rests_without_its_vote": lambda: vote_fault("RestsWithoutItsVote"),
    "half_is_most": lambda: record_fault("HalfIsMost"),
    "votes_for_any_log": lambda: record_fault("VotesForAnyLog"),
    "leads_on_in_later_terms": lambda: record_fault("LeadsOnInLaterTerms"),
}


def main() -> int:
    from whinpier.__main__ import main as start

    FAULTS[sys.argv[1]]()
    return start()


if __name__ == "__main__":
    sys.exit(main())
