"""The tiny fake host that the stories are told against."""

from __future__ import annotations

from whinpier.policy.model import Attempt, Outcome, Request, RequestClass, Upstream, UpstreamState
from whinpier.policy.policy import SECOND, Policy

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
        self.sent: list[Attempt] = []
        self.answers: dict[int, str] = {}
        self.withdrawn: list[Attempt] = []
        self.timers: list[tuple[int, int]] = []
        self.waits: list[int] = []  # that clients were told
        self.peer_messages: list[bytes] = []
        self.probed: list[Upstream] = []
        self.asked: list[int] = []  # when the list was asked for
        self.requests = 0
        group = settings.pop("group", "all")
        self.request_class = RequestClass(
            "any", kind, 800 * MS, 3000 * MS, 5.0, group=group, window=2 * SECOND
        )
        self.policy = Policy(
            self, SETTINGS | settings, [self.request_class], settings.pop("seed", 7)
        )
        self.upstreams = [Upstream(n, UpstreamState.READY, n % 2, 0, 0) for n in range(count)]
        if count:
            self.policy.on_endpoints_updated(self.upstreams)

    # What the decisions ask for.

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
        self.withdrawn.append(attempt)

    def set_timer(self, at, token=0):
        self.timers.append((max(at, self.now + 1), token))

    def follow_endpoint_list(self, on):
        self.asked.append(self.now)

    def send_peer_message(self, balancer, contents):
        self.peer_messages.append(contents)

    def probe(self, upstream):
        self.probed.append(upstream)

    def close_idle(self, upstream):
        pass

    # What the story tells.

    def request(self, timeout: int = 3000 * MS) -> Request:
        self.requests += 1
        made = Request(self.requests, self.request_class, self.now, self.now + timeout)
        self.policy.on_request(made)
        return made

    def finish_attempt(self, attempt, outcome=Outcome.SUCCEEDED, load=None):
        attempt.outcome, attempt.duration = outcome, self.now - attempt.sent_at
        first = outcome == Outcome.SUCCEEDED and not attempt.request.ended
        if first:
            self._answer(attempt.request, "fulfilled")
        self.policy.on_attempt_finished(attempt, load, first)

    def out(self):
        return [attempt for attempt in self.sent if not attempt.outcome]

    def wait(self, span: int) -> None:
        """Let time pass, ringing what falls due."""
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            self.policy.on_timer(due[1])
        self.now = until

    def traffic(
        self, span: int, every: int = 20 * MS, takes=lambda upstream: 50 * MS, load=None
    ) -> None:
        """Steady requests; each upstream answers after what `takes` says, or never where that is None."""
        until, next_request = self.now + span, self.now
        while self.now < until:
            if self.now >= next_request:
                self.request()
                next_request += every
            for attempt in self.out():
                time = takes(attempt.upstream)
                if attempt.sent_at + 3000 * MS <= self.now:
                    self.finish_attempt(attempt, "timed out")
                elif time is not None and attempt.sent_at + time <= self.now:
                    self.finish_attempt(attempt, load=load)
            self.wait(5 * MS)
