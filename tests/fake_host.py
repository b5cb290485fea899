"""The tiny fake host that the stories are told against."""

from __future__ import annotations

from whinpier.policy.policy import SECOND, Choice
from whinpier.policy.model import FULFILLED, READY, HandOff, Task, Upstream, Workload

MS = SECOND // 1000
SETTINGS = {
    "balancers": 1,
    "limits.max_hand_offs": 3,
    "limits.second_copies": True,
    "limits.cancelling": True,
    "rules.cold": 10 * SECOND,
    "rules.cold_from": 0.2,
    "rules.drain_grace": SECOND,
}


class FakeHost:
    """Keeps what the decisions ask for and lets a story say what happens next."""

    def __init__(self, kind: str = "exclusive", count: int = 3, **settings) -> None:
        self.now = 100 * SECOND
        self.sent: list[HandOff] = []
        self.answers: dict[int, str] = {}
        self.withdrawn: list[HandOff] = []
        self.alarms: list[tuple[int, int]] = []
        self.waits: list[int] = []  # that clients were told
        self.told: list[bytes] = []
        self.probed: list[Upstream] = []
        self.asked: list[int] = []  # when the list was asked for
        self.tasks = 0
        group = settings.pop("group", "all")
        self.workload = Workload(
            "any", kind, 800 * MS, 3000 * MS, 5.0, group=group, window=2 * SECOND
        )
        self.choice = Choice(self, SETTINGS | settings, [self.workload], settings.pop("seed", 7))
        self.upstreams = [Upstream(n, READY, n % 2, 0, 0) for n in range(count)]
        if count:
            self.choice.listed(self.upstreams)

    # What the decisions ask for.

    def hand_off(self, task, upstream, stop_at=0):
        assert not task.ended and upstream.state == READY
        task.hand_offs.append(HandOff(task, upstream, len(task.hand_offs), self.now))
        self.sent.append(task.hand_offs[-1])
        return task.hand_offs[-1]

    def _answer(self, task, how):
        assert task.id not in self.answers, "two final answers"
        self.answers[task.id], task.ended = how, True

    def turn_back(self, task, wait=0):
        self.waits.append(wait)
        self._answer(task, "turned back")

    def scrap(self, task):
        self._answer(task, "scrapped")

    def withdraw(self, hand_off):
        self.withdrawn.append(hand_off)

    def alarm(self, at, token=0):
        self.alarms.append((max(at, self.now + 1), token))

    def follow_list(self, on):
        self.asked.append(self.now)

    def tell(self, balancer, contents):
        self.told.append(contents)

    def probe(self, upstream):
        self.probed.append(upstream)

    def close_idle(self, upstream):
        pass

    # What the story tells.

    def task(self, patience: int = 3000 * MS) -> Task:
        self.tasks += 1
        made = Task(self.tasks, self.workload, self.now, self.now + patience)
        self.choice.arrive(made)
        return made

    def came_back(self, hand_off, outcome=FULFILLED, load=None):
        hand_off.outcome, hand_off.took = outcome, self.now - hand_off.sent
        first = outcome == FULFILLED and not hand_off.task.ended
        if first:
            self._answer(hand_off.task, "fulfilled")
        self.choice.came_back(hand_off, load, first)

    def out(self):
        return [hand_off for hand_off in self.sent if not hand_off.outcome]

    def wait(self, span: int) -> None:
        """Let time pass, ringing what falls due."""
        until = self.now + span
        while self.alarms and min(self.alarms)[0] <= until:
            due = min(self.alarms)
            self.alarms.remove(due)
            self.now = due[0]
            self.choice.bell(due[1])
        self.now = until

    def traffic(
        self, span: int, every: int = 20 * MS, takes=lambda upstream: 50 * MS, load=None
    ) -> None:
        """Steady tasks; each upstream answers after what `takes` says, or never where that is None."""
        until, next_task = self.now + span, self.now
        while self.now < until:
            if self.now >= next_task:
                self.task()
                next_task += every
            for hand_off in self.out():
                time = takes(hand_off.upstream)
                if hand_off.sent + 3000 * MS <= self.now:
                    self.came_back(hand_off, "timed out")
                elif time is not None and hand_off.sent + time <= self.now:
                    self.came_back(hand_off, load=load)
            self.wait(5 * MS)
