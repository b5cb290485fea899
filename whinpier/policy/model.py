"""Plain types shared by the decisions and whatever hosts them, and the Host they call. No decisions
here.

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
    NOT_SENT = "moot"


NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class WireError(Exception):
    """What came in cannot be understood; the text says what and where."""


@dataclass(slots=True, eq=False)
class RequestClass:
    """One kind of request, with what its users expect of it."""

    name: str
    kind: Effect
    latency_objective: int
    timeout: int
    priority_weight: float
    late_priority_weight: float = 0.0
    group: str = "all"
    window: int = 0
    streamed: bool = False
    stretch: float = 0.0
    statistics: Any = None  # what the decisions have observed of it
    max_attempts: int = 1  # attempts of one request, by the settings it came under
    hedging: bool = False  # whether a second one may be sent while the first is out
    cancellation: bool = False  # whether one that is out may be called off


@dataclass(slots=True, eq=False)
class Upstream:
    """One run of an upstream: a restart makes a new object."""

    id: int
    state: UpstreamState
    zone: int
    cell: int
    started: int  # 0: long ago
    size: float = 1.0
    shape: int = 0
    statistics: Any = None  # what the decisions have observed of it
    warm_up_pacer: Any = (
        None  # when it is due a request while cold, where other pools of this process list it too
    )
    spare: float = inf  # how many more it may be sent just now, by limits beside the decisions' own


@dataclass(slots=True, eq=False)
class Request:
    """What a client asked for once; a client's next try is another request."""

    id: int
    request_class: RequestClass
    arrived_at: int
    deadline: int  # the client gives up then
    key: int = 0
    tenant: int = 0
    work_hint: int | None = None
    repeat: bool = False
    write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False
    queued_until: int = 0  # by the decisions, at the latest


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an upstream; `outcome` is None while it is out."""

    request: Request
    upstream: Upstream
    number: int
    sent_at: int
    outcome: Outcome | None = None
    duration: int = 0
    expected_rate: float = 0.0  # answers due of it in a nanosecond, by the decisions' count


class Host(Protocol):
    """What the decisions may ask of the program around them."""

    now: int

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        """Send the request; 0 as `stop_at` means until the client gives up."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its outcome still comes back."""

    def reject(self, request: Request, wait: int = 0) -> None:
        """Final answer: not done, trying again is harmless, best after `wait`."""

    def fail(self, request: Request) -> None:
        """Final answer: not fulfilled, nothing promised."""

    def set_timer(self, at: int, token: int = 0) -> None:
        """Call `Choice.bell(token)` at or soon after `at`."""

    def probe(self, upstream: Upstream) -> None:
        """Ask an upstream for its load; what it says comes as `Choice.reported`."""

    def close_idle(self, upstream: Upstream) -> None:
        """Close idle connections to an upstream."""

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """Send a few bytes to one other balancer, or to all (None); they come as `Choice.told`."""

    def follow_endpoint_list(self, on: bool) -> None:
        """Ask for changes of the upstream list from now on, or no longer."""

    def fetch_endpoint_list(self) -> None:
        """Ask once for the whole list."""

    def log(self, text: str) -> None:
        """Leave a line for the people on call."""
