"""The referee: the four rules, checked on every event by what happened, not by what a balancer
says.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from whinpier.policy.model import Effect, UpstreamState
from whinpier.simulation.clock import MS, SECOND

if TYPE_CHECKING:
    from whinpier.simulation.balancers import Balancer, SimulatedAttempt, SimulatedRequest
    from whinpier.simulation.environment import Ground
    from whinpier.simulation.servers import Server

SLACK = 50 * MS  # past the end of a request's timeout, for the way to the client
KEPT = 20  # breaches that are told one by one; all are counted

ANSWER, EFFECT, DRAIN, COLD, PICTURE = "one answer", "no second effect", "drain", "cold", "picture"
RULES = (ANSWER, EFFECT, DRAIN, COLD, PICTURE)


class Referee:
    """Keeps what the rules are about, for requests that are not over."""

    def __init__(self, ground: Ground, grace: int) -> None:
        self.ground, self.clock, self.grace = ground, ground.clock, grace
        self.breaches: Counter[str] = Counter()
        self.told: list[dict[str, object]] = []
        self.runs: dict[int, list[tuple[int, Server]]] = {}  # request: when and where it ran
        self.answers: Counter[int] = Counter()
        self.unheard: set[int] = set()  # those that no answer is due to
        self.past: deque[tuple[int, int]] = deque()  # when to forget which
        self.checked = 0

    def breach(self, rule: str, what: str, **more: object) -> None:
        self.breaches[rule] += 1
        if len(self.told) < KEPT:
            self.told.append(
                {"rule": rule, "at": round(self.clock.seconds(), 6), "what": what} | more
            )

    # What happens.

    def asked(self, request: SimulatedRequest) -> None:
        self.clock.at(request.deadline + SLACK, self.over, request)

    def sent(self, attempt: SimulatedAttempt, balancer: Balancer, server: Server) -> None:
        """The third rule: nothing new to what drains or has gone, past the grace."""
        self.checked += 1
        state, at = balancer.told_at.get(server.name, (UpstreamState.REMOVED, 0))
        if state != UpstreamState.READY and self.clock.now > at + self.grace:
            self.breach(
                DRAIN, f"sent to {server.name}, which was told as {state}", request=attempt.asked.id
            )
        if self.answers[attempt.asked.id]:
            self.breach(
                ANSWER, f"task {attempt.asked.id} sent after its answer", request=attempt.asked.id
            )

    def ran(self, attempt: SimulatedAttempt, server: Server) -> None:
        """The second rule: no effect twice."""
        request, now = attempt.asked, self.clock.now
        before = self.runs.setdefault(request.id, [])
        if before and request.request_class.kind == Effect.NON_IDEMPOTENT:
            self.breach(
                EFFECT,
                f"exclusive task {request.id} ran again at {server.name}",
                request=request.id,
            )
        elif before and request.request_class.kind == Effect.KEYED:
            first, where = before[0]
            group = request.request_class.group
            known = group == "all" or where.zone == server.zone
            # Counted from when the first one came: what was sent within the window has come soon
            # after.
            if not known or now > first + request.request_class.window + SECOND // 4:
                self.breach(
                    EFFECT,
                    f"ticketed task {request.id} ran again where its ticket is not known",
                    request=request.id,
                )
        before.append((now, server))

    def answered(self, request: SimulatedRequest, how: str) -> None:
        """The first rule: one final answer, within its timeout."""
        self.answers[request.id] += 1
        if self.answers[request.id] > 1:
            self.breach(ANSWER, f"task {request.id} had another answer: {how}", request=request.id)
        if self.clock.now > request.deadline + SLACK:
            self.breach(
                ANSWER, f"task {request.id} answered after its patience: {how}", request=request.id
            )
        if how == "turned back" and request.request_class.kind != Effect.IDEMPOTENT:
            ran = self.runs.get(request.id)
            if ran and request.request_class.kind == Effect.NON_IDEMPOTENT:
                self.breach(
                    EFFECT,
                    f"exclusive task {request.id} turned back as harmless, and it ran",
                    request=request.id,
                )

    def given_up(self, request: SimulatedRequest) -> None:
        """Nobody waits for it any more: its client has left, or its balancer died with it."""
        self.unheard.add(request.id)

    def over(self, request: SimulatedRequest) -> None:
        """Its timeout has ended: it must have its answer, and is forgotten a while later."""
        if not self.answers[request.id] and request.id not in self.unheard:
            self.breach(
                ANSWER,
                f"task {request.id} without an answer at the end of its patience",
                request=request.id,
            )
        self.past.append((self.clock.now + SECOND, request.id))
        while self.past[0][0] <= self.clock.now:
            number = self.past.popleft()[1]
            self.runs.pop(number, None)
            self.answers.pop(number, None)
            self.unheard.discard(number)

    def fell(self, server: Server) -> None:
        """The fourth rule: a cold upstream was pushed over."""
        self.breach(COLD, f"{server.name} was pushed over at {server.warmth():.2f} of its capacity")

    def pictures(self, balancers: list[Balancer]) -> None:
        """What decisions count as out is out on the wire."""
        for balancer in balancers:
            if balancer.up and balancer.out != balancer.pool.policy.selector.in_flight:
                self.breach(
                    PICTURE,
                    f"balancer {balancer.number} counts "
                    f"{balancer.pool.policy.selector.in_flight} out, {balancer.out} are",
                )
