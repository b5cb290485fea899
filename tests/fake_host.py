"""A minimal host of the policy for tests: records its calls, and plays upstreams and time."""

from __future__ import annotations

from whinpier.policy.model import Attempt, Outcome, Request, RequestClass, Upstream, UpstreamState
from whinpier.policy.policy import SECOND, Policy

MS = SECOND // 1000
TIMEOUT = 3000 * MS
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
    """Records what the policy asks for; a test says what happens next."""

    def __init__(self, kind: str = "exclusive", count: int = 3, **settings) -> None:
        self.now = 100 * SECOND
        self.sent: list[Attempt] = []
        self.answers: dict[int, str] = {}
        self.cancelled: list[Attempt] = []
        self.timers: list[tuple[int, int]] = []
        self.waits: list[int] = []  # of rejections, as clients are told
        self.peer_messages: list[bytes] = []
        self.probed: list[Upstream] = []
        self.list_requests: list[int] = []  # times at which the endpoint list was asked for
        self.requests = 0
        group = settings.pop("group", "all")
        self.request_class = RequestClass(
            "any", kind, 800 * MS, TIMEOUT, 5.0, group=group, window=2 * SECOND
        )
        self.policy = Policy(
            self, SETTINGS | settings, [self.request_class], settings.pop("seed", 7)
        )
        self.upstreams = [Upstream(n, UpstreamState.READY, n % 2, 0, 0) for n in range(count)]
        if count:
            self.policy.on_endpoints_updated(self.upstreams)

    # Calls of the policy.

    def start_attempt(self, request, upstream, stop_at=0):
        assert not request.ended and upstream.state == UpstreamState.READY
        request.attempts.append(Attempt(request, upstream, len(request.attempts), self.now))
        self.sent.append(request.attempts[-1])
        return request.attempts[-1]

    def _answer(self, request, how):
        assert request.id not in self.answers, "two final answers"
        self.answers[request.id], request.ended = how, True

    def reject(self, request, wait=0):
        self.waits.append(wait)
        self._answer(request, "turned back")

    def fail(self, request):
        self._answer(request, "scrapped")

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def set_timer(self, at, token=0):
        self.timers.append((max(at, self.now + 1), token))

    def follow_endpoint_list(self, on):
        self.list_requests.append(self.now)

    def send_peer_message(self, balancer, contents):
        self.peer_messages.append(contents)

    def probe(self, upstream):
        self.probed.append(upstream)

    def close_idle(self, upstream):
        pass

    # Calls of tests.

    def request(self, timeout: int = TIMEOUT) -> Request:
        """A new request arrives."""
        self.requests += 1
        request = Request(self.requests, self.request_class, self.now, self.now + timeout)
        self.policy.on_request(request)
        return request

    def finish_attempt(self, attempt, outcome=Outcome.SUCCEEDED, load=None):
        attempt.outcome, attempt.duration = outcome, self.now - attempt.sent_at
        first = outcome == Outcome.SUCCEEDED and not attempt.request.ended
        if first:
            self._answer(attempt.request, "fulfilled")
        self.policy.on_attempt_finished(attempt, load, first)

    def in_flight(self):
        return [attempt for attempt in self.sent if not attempt.outcome]

    def wait(self, span: int) -> None:
        """Let time pass, with the timers that expire."""
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            self.policy.on_timer(due[1])
        self.now = until

    def traffic(
        self, span: int, every: int = 20 * MS, latency=lambda upstream: 50 * MS, load=None
    ) -> None:
        """Send requests steadily; an upstream whose `latency` is None never answers."""
        until, next_request = self.now + span, self.now
        while self.now < until:
            if self.now >= next_request:
                self.request()
                next_request += every
            for attempt in self.in_flight():
                time = latency(attempt.upstream)
                if attempt.sent_at + TIMEOUT <= self.now:
                    self.finish_attempt(attempt, "timed out")
                elif time is not None and attempt.sent_at + time <= self.now:
                    self.finish_attempt(attempt, load=load)
            self.wait(5 * MS)
