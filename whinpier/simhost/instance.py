"""One balancer on the wire: turns events into calls on its decisions and their answers into
actions.
"""

from __future__ import annotations

from typing import Any

from whinpier.policy.model import Attempt, Outcome, Request, Upstream, UpstreamState
from whinpier.policy.policy import Policy
from whinpier.settings import NS_PER_US, request_classes
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
        self.request_classes = request_classes(found)
        self.columns: list[str] = found["report.columns"]
        self.requests: dict[int, Request] = {}
        self.listed: dict[int, Upstream] = {}
        self.known: dict[
            int, Upstream
        ] = {}  # also those no longer listed: their outcomes still come
        self.policy = Policy(self, found, self.request_classes, seed)

    # What the decisions ask for.

    def _put(self, packed: bytes) -> None:
        self.out += packed
        self.actions += 1

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        made = Attempt(request, upstream, len(request.attempts), self.now)
        request.attempts.append(made)
        self._put(wire.ISSUE.pack(60, 20, self.who, request.id, upstream.id, stop_at // NS_PER_US))
        return made

    def cancel(self, attempt: Attempt) -> None:
        self._put(wire.WITHDRAW.pack(120, 10, self.who, attempt.request.id, attempt.number))

    def reject(self, request: Request, wait: int = 0) -> None:
        self._put(wire.PUSH_BACK.pack(80, 12, self.who, request.id, min(wait // NS_PER_US, U32)))
        self._end(request)

    def fail(self, request: Request) -> None:
        self._put(wire.GIVE_UP.pack(110, 8, self.who, request.id))
        self._end(request)

    def set_timer(self, at: int, token: int = 0) -> None:
        self._put(wire.SET_ALARM.pack(10, 20, self.who, token, -(-at // NS_PER_US)))

    def probe(self, upstream: Upstream) -> None:
        self._put(wire.SOUND_OUT.pack(100, 8, self.who, upstream.id))

    def close_idle(self, upstream: Upstream) -> None:
        self._put(wire.DROP_CONNS.pack(30, 8, self.who, upstream.id))

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        target = ALL if balancer is None else balancer
        self._put(
            wire.SIGNAL.pack(40, 10 + len(contents), self.who, target, len(contents)) + contents
        )

    def follow_endpoint_list(self, on: bool) -> None:
        self._put(wire.STREAM_CHANGES.pack(20, 5, self.who, on))

    def fetch_endpoint_list(self) -> None:
        self._put(wire.SNAPSHOT.pack(70, 4, self.who))

    def log(self, text: str) -> None:
        self._put(text_record(wire.EMIT_CODE, self.who, text))

    # What comes in.

    def _end(self, request: Request) -> None:
        request.ended = True
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.ended and all(attempt.outcome for attempt in request.attempts):
            self.requests.pop(request.id, None)

    def targets(self, scope: int, entries: list[tuple[Any, ...]]) -> None:
        if scope == wire.SCOPE_FAILED:
            self.policy.on_endpoint_list_lost()
            return
        held = {} if scope in (wire.SCOPE_FULL, wire.SCOPE_CACHED) else dict(self.listed)
        for state, number, zone, started, size, cell, shape in entries:
            state, started = wire.STATES.get(state, UpstreamState.REMOVED), started * NS_PER_US
            upstream = self.known.get(number)
            if upstream is None or (
                started and started != upstream.started and state != UpstreamState.REMOVED
            ):
                if upstream is not None:
                    upstream.state = UpstreamState.REMOVED  # the run before this one
                upstream = self.known[number] = Upstream(number, state, zone, cell, started)
            upstream.state, upstream.zone, upstream.cell = state, zone, cell
            upstream.size, upstream.shape = size, shape
            if state == UpstreamState.REMOVED:
                held.pop(number, None)
            else:
                held[number] = upstream
        for number, upstream in self.listed.items():
            if number not in held:
                upstream.state = UpstreamState.REMOVED
        self.listed = held
        self.policy.on_endpoints_updated(
            [
                up
                for up in held.values()
                if up.state in (UpstreamState.READY, UpstreamState.DRAINING)
            ]
        )

    def ingress(
        self, number: int, bits: int, key: int, tenant: int, ends: int, lane: int, hint: int
    ) -> None:
        if lane >= len(self.request_classes) or number in self.requests:
            return
        request = Request(
            number,
            self.request_classes[lane],
            self.now,
            ends * NS_PER_US,
            key,
            tenant,
            hint * NS_PER_US if bits & 1 else None,
            bool(bits & 2),
            bool(bits & 4),
        )
        self.requests[number] = request
        self.policy.on_request(request)

    def _attempt(self, number: int, trial: int) -> Attempt | None:
        request = self.requests.get(number)
        if request is None or trial >= len(request.attempts):
            return None
        return request.attempts[trial]

    def resolved(
        self,
        number: int,
        trial: int,
        reason: int,
        took: int,
        over: int,
        load: dict[str, float] | None,
    ) -> None:
        attempt = self._attempt(number, trial)
        if attempt is None or attempt.outcome:
            return
        attempt.outcome, attempt.duration = (
            wire.OUTCOMES.get(reason, Outcome.FAILED),
            took * NS_PER_US,
        )
        request = attempt.request
        first = bool(over) and not request.ended
        request.ended = request.ended or bool(over)
        self.policy.on_attempt_finished(attempt, load, first)
        self._forget(request)

    def sampled(self, number: int, load: dict[str, float] | None) -> None:
        upstream = self.known.get(number)
        if upstream is not None:
            self.policy.on_load_report(upstream, load)

    def client_left(self, number: int) -> None:
        request = self.requests.get(number)
        if request is not None and not request.ended:
            self._end(request)
            self.policy.on_client_disconnected(request)


def text_record(code: int, who: int, text: str) -> bytes:
    """A record that carries a line of text."""
    line = text.encode("utf-8", "replace")[:0xFFFF]
    return wire.TEXT.pack(code, 6 + len(line), who, len(line)) + line
