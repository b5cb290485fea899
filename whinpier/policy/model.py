"""Types shared by the policy and its hosts, and the Host that the policy calls; no decisions.

All times are whole nanoseconds on the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Any, Protocol


class Effect(StrEnum):
    """Whether a request may run more than once; the values are those of an operator's file."""

    IDEMPOTENT = "rerunnable"  # may run any number of times
    KEYED = "ticketed"  # upstreams drop repeats that carry the same idempotency key, for a while
    NON_IDEMPOTENT = "exclusive"  # must not run twice


class UpstreamState(StrEnum):
    """What the list of endpoints says of an upstream."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(StrEnum):
    """How an attempt ended."""

    SUCCEEDED = "fulfilled"
    FAILED = "error"
    TIMED_OUT = "timed out"
    RESET = "reset"
    CANCELLED = "withdrawn"
    OVERLOADED = "full"  # rejected by the upstream before it ran
    CONNECT_FAILED = "no connection"
    NOT_SENT = "moot"  # no longer needed before anything of it was sent


# Outcomes after which a request has certainly not run.
NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class WireError(Exception):
    """Input that can't be understood; the text says what was got and what is allowed."""


@dataclass(slots=True, eq=False)
class RequestClass:
    """One kind of request, with what its users expect of it."""

    name: str
    kind: Effect
    latency_objective: int
    timeout: int
    priority_weight: float
    late_priority_weight: float = 0.0  # of an answer after the latency objective
    # Which upstreams recognise each other's idempotency keys: "all", those of a "zone" or "cell".
    group: str = "all"
    window: int = 0  # how long upstreams remember an idempotency key
    streamed: bool = False
    stretch: float = 0.0  # not used by the policy
    statistics: Any = None  # RequestClassStatistics of the policy
    # Set by the policy from the settings that were in force when the request arrived.
    max_attempts: int = 1  # of one request
    hedging: bool = False  # whether a second attempt may be sent while the first is in flight
    cancellation: bool = False  # whether an attempt in flight may be cancelled


@dataclass(slots=True, eq=False)
class Upstream:
    """One run of an upstream: a restart makes a new object."""

    id: int
    state: UpstreamState
    zone: int
    cell: int
    started: int  # 0: long ago, so it is warm
    size: float = 1.0
    shape: int = 0  # number of its kind of machine
    statistics: Any = None  # UpstreamStatistics of the policy
    # Pacer while it warms up, shared with the other pools of this process that list it.
    warm_up_pacer: Any = None
    spare: float = inf  # how many more attempts limits outside the policy allow just now


@dataclass(slots=True, eq=False)
class Request:
    """What a client asked for once; a retry by the client is another request."""

    id: int
    request_class: RequestClass
    arrived_at: int
    deadline: int  # the client gives up then
    key: int = 0
    tenant: int = 0
    work_hint: int | None = None
    repeat: bool = False  # a retry by the client
    write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False
    queued_until: int = 0  # at the latest, by the policy


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an upstream; `outcome` is None while it is in flight."""

    request: Request
    upstream: Upstream
    number: int
    sent_at: int
    outcome: Outcome | None = None
    duration: int = 0
    expected_rate: float = 0.0  # answers per nanosecond, if it takes the mean latency


class Host(Protocol):
    """What the policy may ask of the program around it."""

    now: int

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        """Send the request; 0 as `stop_at` means until the client gives up."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its outcome is still reported."""

    def reject(self, request: Request, wait: int = 0) -> None:
        """Give the final answer: not done, a retry is harmless, best after `wait` nanoseconds."""

    def fail(self, request: Request) -> None:
        """Give the final answer: failed, and it may have run."""

    def set_timer(self, at: int, token: int = 0) -> None:
        """Call `Policy.on_timer(token)` at or soon after `at`."""

    def probe(self, upstream: Upstream) -> None:
        """Ask an upstream for its load, to be passed to `Policy.on_load_report`."""

    def close_idle(self, upstream: Upstream) -> None:
        """Close idle connections to an upstream."""

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """Send a message to `Policy.on_peer_message` of one other balancer, or of all (None)."""

    def follow_endpoint_list(self, on: bool) -> None:
        """Subscribe to changes of the endpoint list, or unsubscribe."""

    def fetch_endpoint_list(self) -> None:
        """Ask once for the whole endpoint list."""

    def log(self, text: str) -> None:
        """Write a line to the log for operators."""
