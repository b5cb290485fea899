"""One balancer on the wire: turns events into calls on its decisions and their answers into actions."""

from __future__ import annotations

from typing import Any

from whinpier.policy.policy import Choice
from whinpier.policy.model import DRAINING, ERROR, GONE, READY, HandOff, Task, Upstream
from whinpier.settings import US, workloads
from whinpier.simhost import wire

ALL = 0xFFFFFFFF
U32 = 0xFFFFFFFF


class Instance:
    """Holds what one instance was told, by id, and is the Host of its decisions."""

    def __init__(self, who: int, seed: int, text: str, now: int) -> None:
        self.who, self.now = who, now
        self.out = bytearray()
        self.actions = 0
        found = wire.settings(text)
        self.workloads = workloads(found)
        self.columns: list[str] = found["report.columns"]
        self.tasks: dict[int, Task] = {}
        self.listed: dict[int, Upstream] = {}
        self.known: dict[
            int, Upstream
        ] = {}  # also those no longer listed: their outcomes still come
        self.choice = Choice(self, found, self.workloads, seed)

    # What the decisions ask for.

    def _put(self, packed: bytes) -> None:
        self.out += packed
        self.actions += 1

    def hand_off(self, task: Task, upstream: Upstream, stop_at: int = 0) -> HandOff:
        made = HandOff(task, upstream, len(task.hand_offs), self.now)
        task.hand_offs.append(made)
        self._put(wire.ISSUE.pack(60, 20, self.who, task.id, upstream.id, stop_at // US))
        return made

    def withdraw(self, hand_off: HandOff) -> None:
        self._put(wire.WITHDRAW.pack(120, 10, self.who, hand_off.task.id, hand_off.number))

    def turn_back(self, task: Task, wait: int = 0) -> None:
        self._put(wire.PUSH_BACK.pack(80, 12, self.who, task.id, min(wait // US, U32)))
        self._end(task)

    def scrap(self, task: Task) -> None:
        self._put(wire.GIVE_UP.pack(110, 8, self.who, task.id))
        self._end(task)

    def alarm(self, at: int, token: int = 0) -> None:
        self._put(wire.SET_ALARM.pack(10, 20, self.who, token, -(-at // US)))

    def probe(self, upstream: Upstream) -> None:
        self._put(wire.SOUND_OUT.pack(100, 8, self.who, upstream.id))

    def close_idle(self, upstream: Upstream) -> None:
        self._put(wire.DROP_CONNS.pack(30, 8, self.who, upstream.id))

    def tell(self, balancer: int | None, contents: bytes) -> None:
        target = ALL if balancer is None else balancer
        self._put(
            wire.SIGNAL.pack(40, 10 + len(contents), self.who, target, len(contents)) + contents
        )

    def follow_list(self, on: bool) -> None:
        self._put(wire.STREAM_CHANGES.pack(20, 5, self.who, on))

    def fetch_list(self) -> None:
        self._put(wire.SNAPSHOT.pack(70, 4, self.who))

    def log(self, text: str) -> None:
        self._put(text_record(wire.EMIT_CODE, self.who, text))

    # What comes in.

    def _end(self, task: Task) -> None:
        task.ended = True
        self._forget(task)

    def _forget(self, task: Task) -> None:
        if task.ended and all(hand_off.outcome for hand_off in task.hand_offs):
            self.tasks.pop(task.id, None)

    def targets(self, scope: int, entries: list[tuple[Any, ...]]) -> None:
        if scope == wire.SCOPE_FAILED:
            self.choice.list_lost()
            return
        held = {} if scope in (wire.SCOPE_FULL, wire.SCOPE_CACHED) else dict(self.listed)
        for state, number, zone, started, size, cell, shape in entries:
            state, started = wire.STATES.get(state, GONE), started * US
            upstream = self.known.get(number)
            if upstream is None or (started and started != upstream.started and state != GONE):
                if upstream is not None:
                    upstream.state = GONE  # the run before this one
                upstream = self.known[number] = Upstream(number, state, zone, cell, started)
            upstream.state, upstream.zone, upstream.cell = state, zone, cell
            upstream.size, upstream.shape = size, shape
            if state == GONE:
                held.pop(number, None)
            else:
                held[number] = upstream
        for number, upstream in self.listed.items():
            if number not in held:
                upstream.state = GONE
        self.listed = held
        self.choice.listed([up for up in held.values() if up.state in (READY, DRAINING)])

    def ingress(
        self, number: int, bits: int, key: int, tenant: int, ends: int, lane: int, hint: int
    ) -> None:
        if lane >= len(self.workloads) or number in self.tasks:
            return
        task = Task(
            number,
            self.workloads[lane],
            self.now,
            ends * US,
            key,
            tenant,
            hint * US if bits & 1 else None,
            bool(bits & 2),
            bool(bits & 4),
        )
        self.tasks[number] = task
        self.choice.arrive(task)

    def _hand_off(self, number: int, trial: int) -> HandOff | None:
        task = self.tasks.get(number)
        if task is None or trial >= len(task.hand_offs):
            return None
        return task.hand_offs[trial]

    def resolved(
        self,
        number: int,
        trial: int,
        reason: int,
        took: int,
        over: int,
        load: dict[str, float] | None,
    ) -> None:
        hand_off = self._hand_off(number, trial)
        if hand_off is None or hand_off.outcome:
            return
        hand_off.outcome, hand_off.took = wire.OUTCOMES.get(reason, ERROR), took * US
        task = hand_off.task
        first = bool(over) and not task.ended
        task.ended = task.ended or bool(over)
        self.choice.came_back(hand_off, load, first)
        self._forget(task)

    def sampled(self, number: int, load: dict[str, float] | None) -> None:
        upstream = self.known.get(number)
        if upstream is not None:
            self.choice.reported(upstream, load)

    def client_left(self, number: int) -> None:
        task = self.tasks.get(number)
        if task is not None and not task.ended:
            self._end(task)
            self.choice.left(task)


def text_record(code: int, who: int, text: str) -> bytes:
    """A record that carries a line of text."""
    line = text.encode("utf-8", "replace")[:0xFFFF]
    return wire.TEXT.pack(code, 6 + len(line), who, len(line)) + line
