"""Run one simulated balancer: pass its events to its policy and encode the policy's calls as actions."""

from __future__ import annotations

from typing import Any

from whinpier.policy.model import Attempt, Outcome, Request, Upstream, UpstreamState
from whinpier.policy.policy import Policy
from whinpier.settings import NS_PER_US, request_classes
from whinpier.simhost import wire

ALL_BALANCERS = 0xFFFFFFFF
MAX_U32 = 0xFFFFFFFF

# Flag bits of an INGRESS event.
HAS_WORK_HINT = 1
IS_CLIENT_RETRY = 2
IS_WRITE = 4


class Instance:
    """Keeps the requests and upstreams of one balancer by id and is the `Host` of its policy.

    Times are in nanoseconds here and in microseconds on the wire.
    """

    def __init__(self, instance_id: int, seed: int, text: str, now: int) -> None:
        """Start a policy with the settings in `text`, one path=value on each line."""
        self.instance_id = instance_id
        self.now = now
        self.output = bytearray()  # encoded actions that have not been collected yet
        self.action_count = 0  # actions in `output`
        settings = wire.settings(text)
        self.request_classes = request_classes(settings)
        self.columns: list[str] = settings["report.columns"]
        self.requests: dict[int, Request] = {}
        self.listed: dict[int, Upstream] = {}
        # Includes upstreams that are no longer listed, because outcomes of their attempts still arrive.
        self.known: dict[int, Upstream] = {}
        self.policy = Policy(self, settings, self.request_classes, seed)

    # Calls by the policy (the `Host` protocol).

    def _append_action(self, packed: bytes) -> None:
        self.output += packed
        self.action_count += 1

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        """Send the request to an upstream; a `stop_at` of 0 sets no time limit."""
        attempt = Attempt(request, upstream, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self._append_action(
            wire.ISSUE.pack(60, 20, self.instance_id, request.id, upstream.id, stop_at // NS_PER_US)
        )
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its outcome is still reported."""
        self._append_action(
            wire.WITHDRAW.pack(120, 10, self.instance_id, attempt.request.id, attempt.number)
        )

    def reject(self, request: Request, wait: int = 0) -> None:
        """End the request unexecuted and suggest a retry after `wait`."""
        wait_us = min(wait // NS_PER_US, MAX_U32)
        self._append_action(wire.PUSH_BACK.pack(80, 12, self.instance_id, request.id, wait_us))
        self._end(request)

    def fail(self, request: Request) -> None:
        """End the request as failed; it may have been executed."""
        self._append_action(wire.GIVE_UP.pack(110, 8, self.instance_id, request.id))
        self._end(request)

    def set_timer(self, at: int, token: int = 0) -> None:
        """Request a timer event at `at`, rounded up to a microsecond."""
        self._append_action(
            wire.SET_ALARM.pack(10, 20, self.instance_id, token, -(-at // NS_PER_US))
        )

    def probe(self, upstream: Upstream) -> None:
        """Ask an upstream for a load report."""
        self._append_action(wire.SOUND_OUT.pack(100, 8, self.instance_id, upstream.id))

    def close_idle(self, upstream: Upstream) -> None:
        """Close idle connections to an upstream."""
        self._append_action(wire.DROP_CONNS.pack(30, 8, self.instance_id, upstream.id))

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """Send a message to one other balancer, or to all if `balancer` is None."""
        target = ALL_BALANCERS if balancer is None else balancer
        header = wire.SIGNAL.pack(40, 10 + len(contents), self.instance_id, target, len(contents))
        self._append_action(header + contents)

    def follow_endpoint_list(self, on: bool) -> None:
        """Subscribe to changes of the endpoint list, or unsubscribe."""
        self._append_action(wire.STREAM_CHANGES.pack(20, 5, self.instance_id, on))

    def fetch_endpoint_list(self) -> None:
        """Request the whole endpoint list once."""
        self._append_action(wire.SNAPSHOT.pack(70, 4, self.instance_id))

    def log(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self._append_action(text_record(wire.EMIT_CODE, self.instance_id, text))

    def _end(self, request: Request) -> None:
        request.ended = True
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: Request) -> None:
        if request.ended and all(attempt.outcome for attempt in request.attempts):
            self.requests.pop(request.id, None)

    # Events from the simulator.

    def targets(self, scope: int, entries: list[tuple[Any, ...]]) -> None:
        """Apply an endpoint list, or a change of it, and pass the usable upstreams to the policy."""
        if scope == wire.SCOPE_FAILED:
            self.policy.on_endpoint_list_lost()
            return
        is_whole_list = scope in (wire.SCOPE_FULL, wire.SCOPE_CACHED)
        listed = {} if is_whole_list else dict(self.listed)
        for state_code, number, zone, started_us, size, cell, shape in entries:
            state = wire.STATES.get(state_code, UpstreamState.REMOVED)
            started = started_us * NS_PER_US
            upstream = self.known.get(number)
            if upstream is None or (
                started and started != upstream.started and state != UpstreamState.REMOVED
            ):
                if upstream is not None:
                    upstream.state = UpstreamState.REMOVED  # it has restarted since
                upstream = self.known[number] = Upstream(number, state, zone, cell, started)
            upstream.state = state
            upstream.zone = zone
            upstream.cell = cell
            upstream.size = size
            upstream.shape = shape
            if state == UpstreamState.REMOVED:
                listed.pop(number, None)
            else:
                listed[number] = upstream
        for number, upstream in self.listed.items():
            if number not in listed:
                upstream.state = UpstreamState.REMOVED
        self.listed = listed
        usable_states = (UpstreamState.READY, UpstreamState.DRAINING)
        self.policy.on_endpoints_updated(
            [upstream for upstream in listed.values() if upstream.state in usable_states]
        )

    def ingress(
        self,
        number: int,
        flags: int,
        key: int,
        tenant: int,
        deadline_us: int,
        class_index: int,
        work_hint_us: int,
    ) -> None:
        """Pass a new request to the policy; ignore an unknown request class or an id in use."""
        if class_index >= len(self.request_classes) or number in self.requests:
            return
        request = Request(
            number,
            self.request_classes[class_index],
            self.now,
            deadline_us * NS_PER_US,
            key,
            tenant,
            work_hint_us * NS_PER_US if flags & HAS_WORK_HINT else None,
            bool(flags & IS_CLIENT_RETRY),
            bool(flags & IS_WRITE),
        )
        self.requests[number] = request
        self.policy.on_request(request)

    def _attempt(self, number: int, attempt_number: int) -> Attempt | None:
        request = self.requests.get(number)
        if request is None or attempt_number >= len(request.attempts):
            return None
        return request.attempts[attempt_number]

    def resolved(
        self,
        number: int,
        attempt_number: int,
        reason: int,
        duration_us: int,
        ends_request: int,
        load: dict[str, float] | None,
    ) -> None:
        """Pass the outcome of an attempt to the policy; ignore unknown and finished attempts."""
        attempt = self._attempt(number, attempt_number)
        if attempt is None or attempt.outcome:
            return
        attempt.outcome = wire.OUTCOMES.get(reason, Outcome.FAILED)
        attempt.duration = duration_us * NS_PER_US
        request = attempt.request
        answered_now = bool(ends_request) and not request.ended
        request.ended = request.ended or bool(ends_request)
        self.policy.on_attempt_finished(attempt, load, answered_now)
        self._remove_if_finished(request)

    def sampled(self, number: int, load: dict[str, float] | None) -> None:
        """Pass the load report that a probe returned to the policy."""
        upstream = self.known.get(number)
        if upstream is not None:
            self.policy.on_load_report(upstream, load)

    def client_left(self, number: int) -> None:
        """End a request whose client disconnected and notify the policy."""
        request = self.requests.get(number)
        if request is not None and not request.ended:
            self._end(request)
            self.policy.on_client_disconnected(request)


def text_record(code: int, instance_id: int, text: str) -> bytes:
    """Encode an action that carries text, cut off after 65535 bytes of UTF-8."""
    line = text.encode("utf-8", "replace")[:0xFFFF]
    return wire.TEXT.pack(code, 6 + len(line), instance_id, len(line)) + line
