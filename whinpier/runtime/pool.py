"""Hosts the policy of one pool: its endpoints, its requests and the outcome of each attempt.

Protocols are behind two interfaces: a `PendingRequest` writes its final response to the client, an
`Endpoint` sends attempts to one upstream and reports their outcomes.

Invariants: a request has exactly one final response; the policy learns of each outcome once. All
decisions are the policy's.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from typing import Any, Protocol

from whinpier import log
from whinpier.config.model import Address, Entry, PoolSpec
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import (
    NEVER_RAN,
    Attempt,
    Outcome,
    Request,
    RequestClass,
    Upstream,
    UpstreamState,
)
from whinpier.policy.policy import Policy
from whinpier.runtime.event_loop import MS, EventLoop
from whinpier.runtime.resource_budget import Budget, PoolBudget

# If discovery sends no list for so long after the start, the last known one is used.
LIST_TIMEOUT = SECOND


class AttemptObserver(Protocol):
    """Observes how upstreams answer."""

    def on_attempt_started(self, sent: PoolAttempt) -> None:
        """Note an attempt that was sent."""

    def on_attempt_finished(self, sent: PoolAttempt) -> None:
        """Note an attempt that has its outcome."""


class Permit(Protocol):
    """What a limiter granted to one request or attempt."""

    def release(self, now: int, ran: bool) -> None:
        """End the use of the permit; `ran` tells whether it may have been executed in part."""


class Limiter(Protocol):
    """A limit on the requests of a pool, or on the attempts at one upstream."""

    def acquire(self, now: int, deadline: int) -> Permit | None:
        """Grant a permit for use until `deadline` at the latest, or None if the limit is reached."""

    def retry_after(self, now: int) -> int:
        """Return the nanoseconds after which a refused request may try again."""


class PendingRequest(Request):
    """A request whose client waits; each protocol implements how the response is written."""

    __slots__ = ("abandoned", "client_id", "permits", "pool", "started")
    abandoned: bool  # its client left without knowing whether it has run
    client_id: bytes  # the id its client gave it, unique among pending requests; empty if none
    pool: Pool
    permits: tuple[Permit, ...]
    started: bool  # whether the policy has it

    def release_payload(self) -> None:
        """Drop what only attempts need: it has ended, and is remembered until its deadline."""

    def on_forgotten(self) -> None:
        """Note that its id is no longer known."""

    def is_awaited(self) -> bool:
        """Tell whether the client still waits for the response to this request."""
        raise NotImplementedError

    def log_id(self) -> str:
        """Return the id that names this request in the log."""
        return self.client_id.decode("latin-1") or str(self.id)

    def client_disconnected(self) -> bool:
        """Check the connection for a disconnect not yet noticed; if there is one, tell the pool."""
        return False

    def is_client_hidden(self, now: int) -> bool:
        """Tell whether its client may have left for some time, and that could not be seen."""
        return False

    def respond(self, answer: Any) -> None:
        """Write the final response: the one of the upstream."""
        raise NotImplementedError

    def respond_rejected(self, wait: int) -> None:
        """Write the final response: not executed, safe to retry, best after `wait` nanoseconds."""
        raise NotImplementedError

    def respond_failed(self) -> None:
        """Write the final response: failed, and may have been executed."""
        raise NotImplementedError


class PoolAttempt(Attempt):
    """An attempt at an endpoint."""

    def __init__(self, request: PendingRequest, endpoint: Endpoint, now: int) -> None:
        """Start at `now`, without an outcome."""
        super().__init__(request, endpoint, len(request.attempts), now)
        self.endpoint = endpoint
        self.settled = False  # whether the policy knows the outcome, or is about to
        self.permits: tuple[Permit, ...] = ()  # of the endpoint's limiters


class Endpoint(Upstream):
    """An upstream with the state that a protocol keeps for it, such as connections."""

    pool: Pool
    host: str
    address: Address
    listed_state: UpstreamState = UpstreamState.READY  # as the endpoint list has it
    limiters: tuple[Limiter, ...] = ()  # for each attempt at it
    address_since = 0  # the change of the list that gave it its address
    is_superseded = False  # another process has its address
    max_connections: int | None = None  # by a limit of the fleet, beside the process's own

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        """Send a request, and call `Pool.settle` once the outcome is known."""
        raise NotImplementedError

    def abandon(self, sent: PoolAttempt) -> None:
        """Stop waiting for an attempt; the caller settles it."""
        raise NotImplementedError

    def is_unsent(self, sent: PoolAttempt) -> bool:
        """Tell whether no byte of an attempt has been sent, so that it can be dropped."""
        return False

    def set_address(self, dial: Address) -> None:
        """Use this address from now on."""

    def close_idle(self) -> None:
        """Close idle connections."""

    def drain(self) -> None:
        """Send nothing new, and settle unsent attempts as not sent."""

    def on_configuration_changed(self) -> None:
        """Take over another configuration of the pool."""

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""

    def idle_connections(self) -> Iterator[tuple[int, Callable[[], None]]]:
        """Yield for each idle connection since when it is idle, and how to close it."""
        return iter(())

    def in_flight(self) -> int:
        """Count the attempts in flight from the state of the connections."""
        raise NotImplementedError


class EndpointWatch(Protocol):
    """Receives a pool's endpoint list from discovery."""

    async def run(self) -> None:
        """Receive the list and its changes until closed."""

    def set_watching(self, on: bool) -> None:
        """Start or stop watching for changes."""

    def fetch(self) -> None:
        """Ask once for the whole list."""

    def set_address(self, address: Address) -> None:
        """Change the address of discovery, and ask there for the whole list."""

    def close(self) -> None:
        """Stop for good."""


class PoolContext(Protocol):
    """What a pool needs from its process."""

    loop: EventLoop
    budget: Budget
    ids: dict[bytes | int, PendingRequest]

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        """Make an endpoint of the pool's protocol."""

    def create_watch(self, pool: Pool) -> EndpointWatch | None:
        """Make the pool's connection to discovery; None if its endpoints are configured."""

    def shared_warm_up_pacer(self, entry: Entry) -> Any:
        """Return the warm-up schedule that all pools with this upstream share; None if none."""

    def first_seen_at(self, dial: Address) -> int:
        """Return the start time of an upstream that is new in a file."""


def stable_hash(text: bytes) -> int:
    """Hash to 64 bits, with the same result in every process."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Pool:
    """A set of endpoints for the same requests, with its policy."""

    def __init__(
        self, context: PoolContext, spec: PoolSpec, seed: int, counts: Counter[str]
    ) -> None:
        """Create a pool without endpoints; `seed` is for the policy's random numbers."""
        self.context = context
        self.loop = context.loop
        self.spec = spec
        self.name = spec.name
        self.counts = counts
        self.budget = PoolBudget(context.budget, spec.limits)
        self.now = self.loop.clock()
        self.created_at = self.now
        self.endpoints: dict[str, Endpoint] = {}  # by host, as in the last list
        self.draining: dict[Endpoint, None] = {}  # no longer listed, with attempts in flight
        self.in_flight = 0  # requests without a final response
        self.list_received = False
        self.closing = False
        self.closed = False
        self.on_closed: Callable[[], None] = lambda: None
        self.limiters: tuple[Limiter, ...] = ()  # for each request of this pool
        # More limiters for a request, by its route, tenant, ticket and whether it is a repeat.
        self.request_limiters: Callable[[str, bytes, bytes, bool], Iterable[Limiter]] | None = None
        self.granted_permits: tuple[Permit, ...] = ()  # of the request last admitted
        self.refusing_limiter: Limiter | None = None  # the one that refused last
        self.on_endpoint_added: Callable[[Endpoint], None] | None = None
        self.attempt_observer: AttemptObserver | None = None
        # Hosts that get no new requests, whatever the list says: the first until they restart, the
        # second also after that.
        self.ejected_hosts: set[str] = set()
        self.drained_hosts: frozenset[str] = frozenset()
        # Called with each request that has its final response, and the name of that.
        self.on_request_finished: Callable[[PendingRequest, str], None] | None = None
        self.list_changes = 0
        self.retry_after = 0  # nanoseconds, of the limiter that refused last; 0 if none did
        self.broadcast: Callable[[bytes], None] | None = None  # to the pool's other balancers
        self.fleet_settings: dict[str, Any] = {}  # replace those of the file
        self.apply_names(spec)
        self.policy = Policy(self, spec.settings, list(spec.request_classes), seed)
        self.endpoint_watch = context.create_watch(self)

    def apply_names(self, spec: PoolSpec) -> None:
        """Take over a configuration, with its names of request classes and tenants."""
        self.spec = spec
        self.columns: list[str] = spec.settings["report.columns"]
        self.request_classes: dict[bytes, RequestClass] = {
            request_class.name.encode(): request_class for request_class in spec.request_classes
        }
        self.tenants = {name.encode(): index for index, name in enumerate(spec.tenants)}

    def start(self) -> None:
        """Use the last known endpoint list, and start receiving it from discovery."""
        if self.spec.known:
            self.update_endpoints(self.spec.known, True, cached=self.endpoint_watch is not None)
        if self.endpoint_watch:
            self.loop.spawn(self.endpoint_watch.run, lambda: None)
            self.endpoint_watch.set_watching(self.spec.settings.get("discovery") != "subscribe")

    def reconfigure(self, spec: PoolSpec) -> None:
        """Take over a configuration; requests, connections and statistics of upstreams stay."""
        before = self.spec
        old_classes = {
            request_class.name: request_class for request_class in before.request_classes
        }
        for new in spec.request_classes:
            # Pending requests keep their old request class, with its rules for retries, so that
            # they never follow a mixture of two files; only its statistics go to the new one.
            old = old_classes.get(new.name)
            if old and (old.kind, old.group, old.streamed) == (new.kind, new.group, new.streamed):
                new.statistics = old.statistics
        self.apply_names(spec)
        self.budget.reconfigure(spec.limits)
        for endpoint in self.all_endpoints():
            endpoint.on_configuration_changed()
        self.update_policy_settings()
        if spec.discovery is None:
            if self.endpoint_watch:
                self.endpoint_watch.close()
                self.endpoint_watch = None
            self.update_endpoints(spec.known, True)
        elif self.endpoint_watch is None:
            self.endpoint_watch = self.context.create_watch(self)
            self.start()
        else:
            if (spec.discovery, spec.zones, spec.kinds) != (
                before.discovery,
                before.zones,
                before.kinds,
            ):
                # With other zones or kinds, the indexes of all endpoints change: fetch them anew.
                self.endpoint_watch.set_address(spec.discovery)
            if spec.settings.get("discovery") != "subscribe":
                self.endpoint_watch.set_watching(True)

    # Called by the policy: the methods of its `Host`.

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        """Send a request to an upstream; `stop_at` is when to stop waiting, 0 for its deadline."""
        assert isinstance(request, PendingRequest)
        assert isinstance(upstream, Endpoint)
        log.invariant(
            not request.ended, "no attempt starts after the final response of its request"
        )
        log.invariant(
            upstream.state == UpstreamState.READY, "an attempt starts only at a ready endpoint"
        )
        # A late loop decides before it reads that the client has disconnected.
        self.end_without_client(request)
        limiters = () if request.ended else upstream.limiters
        permits = self.acquire_permits(limiters, self.now, request.deadline) if limiters else ()
        if permits is None or request.ended or request.is_client_hidden(self.now):
            # A limit has been reached, or the request has ended, since the policy decided.
            sent = PoolAttempt(request, upstream, self.now)
            request.attempts.append(sent)
            self.settle(sent, Outcome.NOT_SENT)
            return sent
        self.counts["attempts"] += 1
        sent = upstream.start_attempt(request)
        if sent.settled:  # at once, since nothing could be sent
            for permit in permits:
                permit.release(self.now, False)
        else:
            sent.permits = permits
        if self.attempt_observer:
            self.attempt_observer.on_attempt_started(sent)
        if stop_at and stop_at < request.deadline:
            self.loop.call_at(stop_at, self, self.stop_waiting, sent, Outcome.TIMED_OUT)
        return sent

    def end_without_client(self, request: PendingRequest) -> None:
        """End a request for which no attempt may begin, as its client has left or may have."""
        if request.client_disconnected() or request.ended:
            return
        if not request.is_client_hidden(self.now):
            return
        if any(sent.outcome is None for sent in request.attempts):
            return  # it ends with the one in flight
        if all(sent.outcome in NEVER_RAN for sent in request.attempts):
            self.reject(request)
        else:
            self.fail(request)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        self.stop_waiting(attempt, Outcome.CANCELLED)

    def reject(self, request: Request, wait: int = 0) -> None:
        """Respond that the request was not executed and may be retried after `wait`."""
        assert isinstance(request, PendingRequest)
        if self.finish(request, "turned_back"):
            self.log_unserved("request_refused", request, wait)
            request.respond_rejected(wait)

    def fail(self, request: Request) -> None:
        """Respond that the request failed and may have been executed."""
        assert isinstance(request, PendingRequest)
        if self.finish(request, "scrapped"):
            self.log_unserved("request_failed", request)
            request.respond_failed()

    def log_unserved(self, event: str, request: PendingRequest, wait: int = 0) -> None:
        """Log why a request is not served: the outcomes of its attempts, and the time it had."""
        log.info(
            event,
            id=request.log_id(),
            lane=request.request_class.name,
            outcomes=",".join(str(sent.outcome) for sent in request.attempts),
            ms=(self.now - request.arrived_at) // MS,
            allowed_ms=(request.deadline - request.arrived_at) // MS,
            wait_ms=wait // MS,
        )

    def set_timer(self, at: int, token: int = 0) -> None:
        """Call the policy's `on_timer` at the time `at`."""
        if not self.closed:
            self.loop.call_at(max(at, self.now + 1), self, self.on_timer, token)

    def on_timer(self, token: int) -> None:
        """Call the policy, unless the pool has been closed."""
        if not self.closed:
            self.policy.on_timer(token)

    def probe(self, upstream: Upstream) -> None:
        """Do nothing: none of the protocols carries probes."""

    def close_idle(self, upstream: Upstream) -> None:
        """Close idle connections to an upstream."""
        assert isinstance(upstream, Endpoint)
        upstream.close_idle()

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """Send a message to the pool's other balancers, if there is a fleet to carry it."""
        if self.broadcast:
            self.broadcast(contents)

    def set_fleet_size(self, balancers: int, number: int) -> None:
        """Use the fleet's count of balancers that share this pool, and the index of this one."""
        self.fleet_settings = {"balancers": balancers, "slot_no": number, "limits.peers": True}
        self.update_policy_settings()

    def clear_fleet_size(self) -> None:
        """Use the file's count of balancers again."""
        if self.fleet_settings:
            self.fleet_settings = {}
            self.update_policy_settings()

    def update_policy_settings(self) -> None:
        """Give the policy its present settings."""
        self.loop.dispatch(
            self,
            self.policy.reconfigure,
            self.spec.settings | self.fleet_settings,
            list(self.spec.request_classes),
        )

    def receive_peer_message(self, balancer: int, contents: bytes) -> None:
        """Pass on a message from another balancer's policy."""
        self.loop.dispatch(self, self.policy.on_peer_message, balancer, contents)

    def follow_endpoint_list(self, on: bool) -> None:
        """Start or stop watching for changes of the endpoint list."""
        if self.endpoint_watch:
            self.endpoint_watch.set_watching(on)

    def fetch_endpoint_list(self) -> None:
        """Ask discovery once for the whole list."""
        if self.endpoint_watch:
            self.endpoint_watch.fetch()

    def log(self, text: str) -> None:
        """Log a line of the policy."""
        log.info("decisions", pool=self.name, text=text)

    # Requests and outcomes.

    def admit(self, route: str, tenant: bytes, ticket: bytes, again: bool) -> bool:
        """Acquire the permits of a new request; without them `retry_after` says when to retry."""
        now, self.retry_after = self.loop.clock(), 0
        deadline = now + max(request_class.timeout for request_class in self.spec.request_classes)
        limiters = self.limiters
        if self.request_limiters is not None:
            limiters = (*limiters, *self.request_limiters(route, tenant, ticket, again))
        permits = self.acquire_permits(limiters, now, deadline)
        self.granted_permits = permits or ()
        if permits is None:
            assert self.refusing_limiter
            self.retry_after = self.refusing_limiter.retry_after(now)
        return permits is not None

    def acquire_permits(
        self, limiters: tuple[Limiter, ...], now: int, deadline: int
    ) -> tuple[Permit, ...] | None:
        """Acquire a permit of each limiter, or of none and return None."""
        permits: list[Permit] = []
        for limiter in limiters:
            permit = limiter.acquire(now, deadline)
            if permit is None:
                self.refusing_limiter = limiter
                for granted in permits:
                    granted.release(now, False)
                return None
            permits.append(permit)
        return tuple(permits)

    def accept(self, request: PendingRequest, permits: tuple[Permit, ...] = ()) -> None:
        """Register an admitted request of a client, with its permits, and start it."""
        self.register(request, permits)
        self.start_request(request)

    def register(self, request: PendingRequest, permits: tuple[Permit, ...] = ()) -> None:
        """Take an admitted request: from here on it counts as in flight and is owed a response.

        It is rejected at its deadline, or at the end of the process, unless `start_request` is called.
        """
        request.permits = permits
        request.started = False
        request.abandoned = False
        self.in_flight += 1
        self.counts["tasks"] += 1
        request.pool = self
        self.context.ids[request.client_id or request.id] = request
        self.loop.call_at(request.deadline, self, self.on_deadline, request)

    def start_request(self, request: PendingRequest) -> None:
        """Pass a registered request to the policy, unless it has ended meanwhile."""
        if not request.ended:
            request.started = True
            self.loop.dispatch(self, self.policy.on_request, request)

    def finish(self, request: PendingRequest, how: str) -> bool:
        """End a request as `how`; return whether its final response is to be written now."""
        log.invariant(
            not request.ended and request.is_awaited(), "a request has one final response"
        )
        if request.ended or not request.is_awaited():
            return False
        self.counts[how] += 1
        try:
            self.end_request(request)
            if self.on_request_finished:
                self.on_request_finished(request, how)
        except Exception:  # the response is owed all the same
            self.loop.on_call_failed(self.end_request)
        return True

    def respond(self, request: PendingRequest, answer: Any) -> None:
        """Write an upstream's response; if that can't be done, respond that the request failed."""
        try:
            request.respond(answer)
        except Exception:
            self.loop.on_call_failed(request.respond)
            request.respond_failed()

    def end_request(self, request: PendingRequest) -> None:
        """Release what a request holds, and drop its unsent attempts."""
        request.ended = True
        self.in_flight -= 1
        self.budget.requests.release()
        if request.permits:
            ran = any(sent.outcome not in NEVER_RAN for sent in request.attempts)
            for permit in request.permits:
                permit.release(self.now, ran)
        for sent in request.attempts:
            # An attempt that waits for a connection would start for a request that has ended. To
            # cancel attempts in flight is up to the policy, and not allowed for every pool.
            if isinstance(sent, PoolAttempt) and not sent.settled and sent.endpoint.is_unsent(sent):
                self.stop_waiting(sent, Outcome.NOT_SENT)
        request.release_payload()
        if self.closing:
            self.check_closed()

    def on_deadline(self, request: PendingRequest) -> None:
        """Time out the attempts of a request at its deadline, and make sure of its response."""
        for attempt in list(request.attempts):
            self.stop_waiting(attempt, Outcome.TIMED_OUT)
        self.loop.pending_calls.append((self, self.ensure_answered, (request,)))

    def ensure_answered(self, request: PendingRequest) -> None:
        """End a request that is still open at its deadline, and forget it."""
        # Even after an exception in the policy, a request has its response in time.
        is_overdue = request.started and not request.ended
        if is_overdue:
            self.fail(request)
        elif not request.ended:
            self.reject(request)  # it never ran
        # Requests and attempts refer to each other: without this they would pile up until a full
        # garbage collection, which stops the loop for long.
        request.attempts.clear()
        known_until = request.arrived_at + request.request_class.timeout
        if request.abandoned and known_until > self.now:
            # Its client may send it again, and what is out may run for as long as its class waits.
            self.loop.call_at(known_until, self, self.forget, request)
        else:
            self.forget(request)
        log.invariant(not is_overdue, "the policy ends each request by its deadline")

    def forget(self, request: PendingRequest) -> None:
        """Let another request have its id."""
        key = request.client_id or request.id
        if self.context.ids.get(key) is request:
            del self.context.ids[key]
            request.on_forgotten()

    def shorten_deadline(self, request: PendingRequest, deadline: int) -> None:
        """End a request earlier than its client's deadline, since the process stops then."""
        if request.deadline > deadline:
            request.deadline = deadline
            self.loop.call_at(deadline, self, self.on_deadline, request)

    def stop_waiting(self, attempt: Attempt, outcome: Outcome) -> None:
        """Abandon an attempt and settle it, unless it is settled."""
        assert isinstance(attempt, PoolAttempt)
        if not attempt.settled:
            attempt.endpoint.abandon(attempt)
            self.settle(attempt, outcome)

    def settle(
        self,
        sent: PoolAttempt,
        outcome: Outcome,
        answer: Any = None,
        load: dict[str, float] | None = None,
    ) -> None:
        """Record the outcome of an attempt, once.

        `answer` is the response for the client, `load` the upstream's load report.
        """
        log.invariant(not sent.settled, "an attempt has one outcome")
        if not sent.settled:
            sent.settled = True
            for permit in sent.permits:
                permit.release(self.loop.clock(), outcome not in NEVER_RAN)
            self.loop.dispatch(self, self.finish_attempt, sent, outcome, answer, load)

    def finish_attempt(
        self, sent: PoolAttempt, outcome: Outcome, answer: Any, load: dict[str, float] | None
    ) -> None:
        """Respond to the client if the attempt is its request's first success; tell the policy."""
        sent.outcome = outcome
        sent.duration = self.now - sent.sent_at
        if self.attempt_observer:
            self.attempt_observer.on_attempt_finished(sent)
        request = sent.request
        assert isinstance(request, PendingRequest)
        self.counts["came_back_" + outcome.replace(" ", "_")] += 1
        if outcome not in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            log.warning_uncounted(
                "not_fulfilled",
                upstream=sent.endpoint.host,
                outcome=outcome,
                lane=request.request_class.name,
                id=request.log_id(),
                attempt=sent.number + 1,
                ms=sent.duration // MS,
                ended=request.ended,
            )
        first = outcome == Outcome.SUCCEEDED and not request.ended
        if first and self.finish(request, "fulfilled"):
            self.respond(request, answer)
        self.policy.on_attempt_finished(sent, load, first)

    def on_client_disconnected(self, request: PendingRequest) -> None:
        """End a request whose client no longer waits."""
        if not request.ended:
            request.abandoned = any(self.may_have_begun(sent) for sent in request.attempts)
            self.end_request(request)
            if not request.abandoned:
                self.forget(request)
            self.counts["clients_left"] += 1
            self.loop.dispatch(self, self.policy.on_client_disconnected, request)

    @staticmethod
    def may_have_begun(attempt: Attempt) -> bool:
        """Tell whether an attempt may run or have run at its upstream."""
        assert isinstance(attempt, PoolAttempt)
        if attempt.outcome is None:
            return not attempt.endpoint.is_unsent(attempt)
        return attempt.outcome not in NEVER_RAN

    # Endpoints.

    def update_endpoints(self, entries: Iterable[Entry], whole: bool, cached: bool = False) -> None:
        """Take over a list or, unless `whole`, a change of it; `cached` if from before the start.

        A restarted upstream gets a new endpoint.
        """
        entries = list(entries)
        fresh = (
            self.list_received
            and not self.endpoint_watch
            and bool(self.spec.settings.get("rules.cold"))
        )
        self.list_received = self.list_received or not cached
        if not entries and not whole:
            return  # nothing has changed
        listed = {} if whole else dict(self.endpoints)
        for entry in entries:
            endpoint = self.endpoints.get(entry.host)
            if entry.state == UpstreamState.REMOVED:
                listed.pop(entry.host, None)
                continue
            if endpoint is None or (entry.started and entry.started != endpoint.started):
                if endpoint is None and fresh and not entry.started:
                    # Warm up an upstream that the operator has just started and added to the file.
                    entry = replace(entry, started=self.context.first_seen_at(entry.dial))
                endpoint = self.context.create_endpoint(
                    self, entry, stable_hash(entry.host.encode())
                )
                self.ejected_hosts.discard(entry.host)  # it was for an earlier run of the upstream
                endpoint.warm_up_pacer = self.context.shared_warm_up_pacer(entry)
                endpoint.address_since = self.list_changes
                if self.on_endpoint_added:
                    self.on_endpoint_added(endpoint)
            endpoint.listed_state = entry.state
            endpoint.cell = entry.cell
            endpoint.size = entry.size
            endpoint.state = self.state_of(endpoint)
            endpoint.zone = self.position(self.spec.zones, entry.zone)
            endpoint.shape = self.position(self.spec.kinds, entry.shape)
            if endpoint.address != entry.dial:
                endpoint.address_since = self.list_changes
            endpoint.set_address(entry.dial)
            listed[entry.host] = endpoint
        before, self.endpoints = self.endpoints, listed
        self.list_changes += 1
        self.mark_superseded()
        for host, endpoint in before.items():
            if listed.get(host) is not endpoint:
                endpoint.state = UpstreamState.REMOVED
                self.draining[endpoint] = None
        # Without duplicates, in an order that does not depend on hashes.
        for endpoint in dict.fromkeys((*before.values(), *listed.values())):
            if endpoint.state != UpstreamState.READY:
                endpoint.drain()
        states = Counter(endpoint.state for endpoint in listed.values())
        by_state = {str(state): count for state, count in states.items()}
        log.info("endpoints_updated", **self.log_fields(), whole=whole, cached=cached, **by_state)
        self.notify_policy()

    def mark_superseded(self) -> None:
        """Remove endpoints whose address another process has: the list does not know yet."""
        latest: dict[Address, Endpoint] = {}
        for endpoint in self.endpoints.values():
            other = latest.setdefault(endpoint.address, endpoint)
            if self.is_later(endpoint, other):
                latest[endpoint.address] = endpoint
        for endpoint in self.endpoints.values():
            superseded = self.is_later(latest[endpoint.address], endpoint)
            if superseded and not endpoint.is_superseded:
                log.warning(
                    "endpoint_superseded",
                    **self.log_fields(),
                    upstream=endpoint.host,
                    by=latest[endpoint.address].host,
                )
            endpoint.is_superseded = superseded
            endpoint.state = self.state_of(endpoint)

    @staticmethod
    def is_later(endpoint: Endpoint, other: Endpoint) -> bool:
        """Tell whether an endpoint came to its address after another: by its start, or by the list."""
        if endpoint.started and other.started and endpoint.started != other.started:
            return endpoint.started > other.started
        return endpoint.address_since > other.address_since

    def notify_policy(self) -> None:
        """Give the policy the ready and draining endpoints."""
        usable = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.state in (UpstreamState.READY, UpstreamState.DRAINING)
        ]
        self.loop.dispatch(self, self.policy.on_endpoints_updated, usable)

    def state_of(self, endpoint: Endpoint) -> UpstreamState:
        """Return the listed state, or draining for a ready one that is ejected or drained.

        One whose address another process has is removed.
        """
        if endpoint.is_superseded:
            return UpstreamState.REMOVED
        aside = endpoint.host in self.ejected_hosts or endpoint.host in self.drained_hosts
        return (
            UpstreamState.DRAINING
            if endpoint.listed_state == UpstreamState.READY and aside
            else endpoint.listed_state
        )

    def set_ejected(self, host: str, on: bool) -> bool:
        """Eject a host or end its ejection; return whether the host is listed."""
        endpoint = self.endpoints.get(host)
        if endpoint is None or (host in self.ejected_hosts) == on:
            return endpoint is not None
        (self.ejected_hosts.add if on else self.ejected_hosts.discard)(host)
        self.update_states([endpoint])
        return True

    def set_drained(self, hosts: frozenset[str]) -> None:
        """Replace the set of drained hosts; it holds for later runs of them too."""
        if hosts == self.drained_hosts:
            return
        self.drained_hosts = hosts
        self.update_states(self.endpoints.values())

    def update_states(self, endpoints: Iterable[Endpoint]) -> None:
        """Recompute the states of endpoints after a change other than of the list."""
        for endpoint in endpoints:
            endpoint.state = self.state_of(endpoint)
            if endpoint.state != UpstreamState.READY:
                endpoint.drain()
        self.notify_policy()

    def in_flight_at(self, host: str) -> int:
        """Count the attempts in flight at a host, over all its runs."""
        return sum(
            endpoint.in_flight() for endpoint in self.all_endpoints() if endpoint.host == host
        )

    def log_fields(self) -> dict[str, str]:
        """Return the log fields that name this pool; none if it is the only one."""
        return (
            {"pool": self.name}
            if self.context.budget.isolate and len(self.context.budget.pools) > 1
            else {}
        )

    @staticmethod
    def position(names: list[str], name: str) -> int:
        """Return the index of a name; the length of the list if it is not in it."""
        return names.index(name) if name in names else len(names)

    def ready(self) -> bool:
        """Tell whether an endpoint is ready, by a list of discovery or after LIST_TIMEOUT."""
        list_known = self.list_received or self.loop.clock() > self.created_at + LIST_TIMEOUT
        return list_known and any(
            endpoint.state == UpstreamState.READY for endpoint in self.endpoints.values()
        )

    def all_endpoints(self) -> Iterator[Endpoint]:
        """Yield the listed endpoints and those that drain."""
        yield from self.endpoints.values()
        yield from self.draining

    def close_expired(self) -> None:
        """Close connections idle for too long, and forget endpoints that have drained."""
        for endpoint in self.endpoints.values():
            endpoint.close_expired()
        for endpoint in [endpoint for endpoint in self.draining if not endpoint.in_flight()]:
            self.draining.pop(endpoint, None)

    # Removal of the pool.

    def close(self, then: Callable[[], None]) -> None:
        """Accept no new requests, and call `then` once those in flight have ended."""
        self.closing, self.on_closed = True, then
        self.check_closed()

    def check_closed(self) -> None:
        """Finish closing soon if nothing is in flight."""
        # By a timer: the policy, if it is the caller, may still use what is closed.
        if not self.in_flight and not self.closed:
            self.loop.call_at(self.loop.clock(), self, self.finish_closing)

    def finish_closing(self) -> None:
        """Close the endpoints and the budget."""
        if self.closed or self.in_flight:
            return
        self.closed = True
        if self.endpoint_watch:
            self.endpoint_watch.close()
        for endpoint in self.all_endpoints():
            endpoint.state = UpstreamState.REMOVED
            endpoint.drain()
        self.budget.close()
        log.info("pool_removed", pool=self.name)
        self.on_closed()

    def count_in_flight(self) -> int:
        """Count the attempts in flight on the connections; the policy's count must be the same."""
        return sum(endpoint.in_flight() for endpoint in self.all_endpoints())
