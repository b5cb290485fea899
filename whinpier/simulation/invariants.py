"""The referee: the four rules, checked on every event by what happened, not by what a balancer says."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from whinpier.simulation.clock import MS, SECOND
from whinpier.policy.model import EXCLUSIVE, RERUNNABLE, TICKETED

if TYPE_CHECKING:
    from whinpier.simulation.balancers import Asked, Attempt, Balancer
    from whinpier.simulation.environment import Ground
    from whinpier.simulation.servers import Server

SLACK = 50 * MS  # past the end of a task's patience, for the way to the client
KEPT = 20  # breaches that are told one by one; all are counted

ANSWER, EFFECT, DRAIN, COLD, PICTURE = "one answer", "no second effect", "drain", "cold", "picture"
RULES = (ANSWER, EFFECT, DRAIN, COLD, PICTURE)


class Referee:
    """Keeps what the rules are about, for tasks that are not over."""

    def __init__(self, ground: Ground, grace: int) -> None:
        self.ground, self.clock, self.grace = ground, ground.clock, grace
        self.breaches: Counter[str] = Counter()
        self.told: list[dict[str, object]] = []
        self.runs: dict[int, list[tuple[int, Server]]] = {}  # task: when and where it ran
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

    def asked(self, task: Asked) -> None:
        self.clock.at(task.ends + SLACK, self.over, task)

    def sent(self, attempt: Attempt, balancer: Balancer, server: Server) -> None:
        """The third rule: nothing new to what drains or has gone, past the grace."""
        self.checked += 1
        state, at = balancer.told_at.get(server.name, ("gone", 0))
        if state != "ready" and self.clock.now > at + self.grace:
            self.breach(
                DRAIN, f"sent to {server.name}, which was told as {state}", task=attempt.asked.id
            )
        if self.answers[attempt.asked.id]:
            self.breach(
                ANSWER, f"task {attempt.asked.id} sent after its answer", task=attempt.asked.id
            )

    def ran(self, attempt: Attempt, server: Server) -> None:
        """The second rule: no effect twice."""
        task, now = attempt.asked, self.clock.now
        before = self.runs.setdefault(task.id, [])
        if before and task.workload.kind == EXCLUSIVE:
            self.breach(
                EFFECT, f"exclusive task {task.id} ran again at {server.name}", task=task.id
            )
        elif before and task.workload.kind == TICKETED:
            first, where = before[0]
            group = task.workload.group
            known = group == "all" or where.zone == server.zone
            # Counted from when the first one came: what was sent within the window has come soon after.
            if not known or now > first + task.workload.window + SECOND // 4:
                self.breach(
                    EFFECT,
                    f"ticketed task {task.id} ran again where its ticket is not known",
                    task=task.id,
                )
        before.append((now, server))

    def answered(self, task: Asked, how: str) -> None:
        """The first rule: one final answer, within its patience."""
        self.answers[task.id] += 1
        if self.answers[task.id] > 1:
            self.breach(ANSWER, f"task {task.id} had another answer: {how}", task=task.id)
        if self.clock.now > task.ends + SLACK:
            self.breach(ANSWER, f"task {task.id} answered after its patience: {how}", task=task.id)
        if how == "turned back" and task.workload.kind != RERUNNABLE:
            ran = self.runs.get(task.id)
            if ran and task.workload.kind == EXCLUSIVE:
                self.breach(
                    EFFECT,
                    f"exclusive task {task.id} turned back as harmless, and it ran",
                    task=task.id,
                )

    def given_up(self, task: Asked) -> None:
        """Nobody waits for it any more: its client has left, or its balancer died with it."""
        self.unheard.add(task.id)

    def over(self, task: Asked) -> None:
        """Its patience has ended: it must have its answer, and is forgotten a while later."""
        if not self.answers[task.id] and task.id not in self.unheard:
            self.breach(
                ANSWER, f"task {task.id} without an answer at the end of its patience", task=task.id
            )
        self.past.append((self.clock.now + SECOND, task.id))
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
            if balancer.up and balancer.out != balancer.pool.choice.split.total:
                self.breach(
                    PICTURE,
                    f"balancer {balancer.number} counts {balancer.pool.choice.split.total} "
                    f"out, {balancer.out} are",
                )
