"""Is the host of one pool's decisions: its list and upstreams, its requests, what became of each
attempt.

Knows protocols by two interfaces only: a `PendingRequest` request writes its one final answer to
whoever asked, a `Peer` sends attempts to one upstream and tells the one outcome of each. Must never
decide anything, give a request two final answers or none, or tell the decisions of an outcome
twice.
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
from whinpier.runtime.event_loop import EventLoop
from whinpier.runtime.resource_budget import Budget, PoolBudget

LIST_TIMEOUT = SECOND  # to be told the list before the one that was known must do


class AttemptObserver(Protocol):
    """Observes how upstreams answer."""

    def on_attempt_started(self, sent: PoolAttempt) -> None:
        """Note an attempt that was sent."""

    def on_attempt_finished(self, sent: PoolAttempt) -> None:
        """Note an attempt that has its outcome."""


class Permit(Protocol):
    """What a limit gave to one that passed it."""

    def release(self, now: int, ran: bool) -> None:
        """It is over; `ran`: some of it may have been done."""


class Limiter(Protocol):
    """A limit that requests pass at the door, or attempts at an upstream."""

    def acquire(self, now: int, ends: int) -> Permit | None:
        """What one more is given, which is over by `ends`; None if it may not pass."""

    def retry_after(self, now: int) -> int:
        """Nanoseconds after which one that may not may come again."""


class PendingRequest(Request):
    """A request with whoever waits for its answer; a protocol says how the answer is written."""

    __slots__ = ("client_id", "pool", "permits")
    client_id: bytes  # the id its client gave it, empty if none: no two requests have the same
    pool: Pool
    permits: tuple[Permit, ...]  # what limits gave it

    def is_awaited(self) -> bool:
        """Whether its client still waits for this request's answer."""
        raise NotImplementedError

    def client_disconnected(self) -> bool:
        """Whether its client has left, noticed or not; if so the pool has been told by now."""
        return False

    def respond(self, answer: Any) -> None:
        """Final answer: what the upstream made."""
        raise NotImplementedError

    def respond_rejected(self, wait: int) -> None:
        """Final answer: not done, trying again is harmless, best after `wait` nanoseconds."""
        raise NotImplementedError

    def respond_failed(self) -> None:
        """Final answer: not fulfilled, nothing promised."""
        raise NotImplementedError


class PoolAttempt(Attempt):
    """An attempt with its upstream; `settled` once its outcome is told, or about to be."""

    def __init__(self, request: PendingRequest, peer: Endpoint, now: int) -> None:
        super().__init__(request, peer, len(request.attempts), now)
        self.endpoint, self.settled = peer, False
        self.permits: tuple[Permit, ...] = ()  # what limits at its upstream gave it


class Endpoint(Upstream):
    """An upstream with what a protocol keeps for it, such as connections."""

    pool: Pool
    host: str
    address: Address
    listed_state: UpstreamState = UpstreamState.READY  # by its list
    limiters: tuple[Limiter, ...] = ()  # limits that whatever is sent there passes
    max_connections: int | None = (
        None  # connections to it at once, by a limit beside the process's own
    )

    def start_attempt(self, request: PendingRequest) -> PoolAttempt:
        """Send a request, and settle the attempt with the pool once its outcome is known."""
        raise NotImplementedError

    def abandon(self, sent: PoolAttempt) -> None:
        """Wait no longer for an attempt; whoever stops it tells its outcome."""
        raise NotImplementedError

    def is_unsent(self, sent: PoolAttempt) -> bool:
        """Whether nothing of an attempt has gone out yet, so that it can be left unsent."""
        return False

    def set_address(self, dial: Address) -> None:
        """It is met at this address from now on."""

    def close_idle(self) -> None:
        """Let go of what is idle."""

    def drain(self) -> None:
        """It is to get nothing new: what is not sent yet is not sent, and is moot."""

    def on_configuration_changed(self) -> None:
        """Its pool goes on by another configuration."""

    def close_expired(self) -> None:
        """Let go of what has been idle for too long."""

    def idle_connections(self) -> Iterator[tuple[int, Callable[[], None]]]:
        """What is idle: since when, and how to let go of it."""
        return iter(())

    def in_flight(self) -> int:
        """How many attempts are out, counted anew on the wire."""
        raise NotImplementedError


class EndpointWatch(Protocol):
    """Whatever tells a pool its list."""

    async def run(self) -> None: ...

    def set_watching(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def set_address(self, address: Address) -> None: ...

    def close(self) -> None: ...


class PoolContext(Protocol):
    """What a pool needs of the process around it."""

    loop: EventLoop
    budget: Budget
    ids: dict[bytes | int, PendingRequest]

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint: ...

    def create_watch(self, pool: Pool) -> EndpointWatch | None: ...

    def shared_warm_up_turn(self, entry: Entry) -> Any: ...

    def first_seen_at(self, dial: Address) -> int: ...


def stable_hash(text: bytes) -> int:
    """The same number for the same text at every balancer."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Pool:
    """Some upstreams, and the decisions on what goes to them."""

    def __init__(self, house: PoolContext, spec: PoolSpec, seed: int, counts: Counter[str]) -> None:
        self.context, self.loop, self.spec, self.name, self.counts = (
            house,
            house.loop,
            spec,
            spec.name,
            counts,
        )
        self.budget = PoolBudget(house.budget, spec.limits)
        self.now = self.loop.clock()
        self.created_at = self.now
        self.endpoints: dict[str, Endpoint] = {}  # the list as last told
        self.draining: dict[Endpoint, None] = {}  # no longer listed, with attempts still out
        self.in_flight = 0  # requests without an answer
        self.list_received, self.closing, self.closed = False, False, False
        self.on_closed: Callable[[], None] = lambda: None
        self.limiters: tuple[
            Limiter, ...
        ] = ()  # limits that requests of this pool pass at the door
        # By route, tenant, ticket, and whether it is a repeat.
        self.request_limiters: Callable[[str, bytes, bytes, bool], Iterable[Limiter]] | None = None
        self.granted_permits: tuple[Permit, ...] = ()  # what the request at the door was given
        self.refusing_limiter: Limiter | None = None  # that was last met closed
        self.on_endpoint_added: Callable[[Endpoint], None] | None = (
            None  # called with each upstream that is new
        )
        self.attempt_observer: AttemptObserver | None = None
        self.ejected_hosts: set[str] = (
            set()
        )  # upstreams that get nothing new, whatever the list says
        self.drained_hosts: frozenset[str] = frozenset()  # the same, over restarts of theirs
        self.on_request_finished: Callable[[PendingRequest, str], None] | None = (
            None  # told of each final answer
        )
        self.list_changes = 0  # how often the list has changed
        self.retry_after = 0  # what the gate that was last closed says; 0: none was
        self.broadcast: Callable[[bytes], None] | None = None  # to the other balancers of this pool
        self.fleet_settings: dict[str, Any] = {}  # settings that stand in for those of the file
        self.apply_names(spec)
        self.policy = Policy(self, spec.settings, list(spec.request_classes), seed)
        self.endpoint_watch = house.create_watch(self)

    def apply_names(self, spec: PoolSpec) -> None:
        self.spec = spec
        self.columns: list[str] = spec.settings["report.columns"]
        self.request_classes: dict[bytes, RequestClass] = {
            w.name.encode(): w for w in spec.request_classes
        }
        self.tenants = {name.encode(): index for index, name in enumerate(spec.tenants)}

    def start(self) -> None:
        """Take up the list: what is known, then what is told."""
        if self.spec.known:
            self.update_endpoints(self.spec.known, True, cached=self.endpoint_watch is not None)
        if self.endpoint_watch:
            self.loop.spawn(self.endpoint_watch.run, lambda: None)
            self.endpoint_watch.set_watching(self.spec.settings.get("discovery") != "subscribe")

    def reconfigure(self, spec: PoolSpec) -> None:
        """Go on by another configuration; requests, connections and what is known of upstreams stay."""
        before, kept = (
            self.spec,
            {request_class.name: request_class for request_class in self.spec.request_classes},
        )
        for new in spec.request_classes:
            # Guards against a mixture of two files: a request that is here keeps the request class
            # it came with, with all that says how it may be repeated; only what was measured goes
            # on under the new one.
            old = kept.get(new.name)
            if old and (old.kind, old.group, old.streamed) == (new.kind, new.group, new.streamed):
                new.statistics = old.statistics
        self.apply_names(spec)
        self.budget.reconfigure(spec.limits)
        for peer in self.all_endpoints():
            peer.on_configuration_changed()
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
                self.endpoint_watch.set_address(
                    spec.discovery
                )  # other zones have other places in the whole list
            if spec.settings.get("discovery") != "subscribe":
                self.endpoint_watch.set_watching(True)

    # What the decisions ask for.

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        assert isinstance(request, PendingRequest) and isinstance(upstream, Endpoint)
        log.invariant(not request.ended, "nothing is sent for a task that has its answer")
        log.invariant(
            upstream.state == UpstreamState.READY, "nothing new is sent to what drains or is gone"
        )
        # Guards against attempts for nobody: a late loop decides before it reads that the client
        # has left.
        gates = () if request.client_disconnected() else upstream.limiters
        given = self.acquire_permits(gates, self.now, request.deadline) if gates else ()
        if given is None or request.ended:
            # What was free has ended meanwhile: it is not sent, and the decisions hear so at once.
            sent = PoolAttempt(request, upstream, self.now)
            request.attempts.append(sent)
            self.settle(sent, Outcome.NOT_SENT)
            return sent
        self.counts["attempts"] += 1
        sent = upstream.start_attempt(request)
        if sent.settled:  # as it was handed over: nothing was sent
            for gate in given:
                gate.release(self.now, False)
        else:
            sent.permits = given
        if self.attempt_observer:
            self.attempt_observer.on_attempt_started(sent)
        if stop_at and stop_at < request.deadline:
            self.loop.call_at(stop_at, self, self.stop_waiting, sent, Outcome.TIMED_OUT)
        return sent

    def cancel(self, attempt: Attempt) -> None:
        self.stop_waiting(attempt, Outcome.CANCELLED)

    def reject(self, request: Request, wait: int = 0) -> None:
        assert isinstance(request, PendingRequest)
        if self.finish(request, "turned_back"):
            request.respond_rejected(wait)

    def fail(self, request: Request) -> None:
        assert isinstance(request, PendingRequest)
        if self.finish(request, "scrapped"):
            request.respond_failed()

    def set_timer(self, at: int, token: int = 0) -> None:
        if not self.closed:
            self.loop.call_at(max(at, self.now + 1), self, self.on_timer, token)

    def on_timer(self, token: int) -> None:
        if not self.closed:
            self.policy.on_timer(token)

    def probe(self, upstream: Upstream) -> None:
        """Nothing carries a probe on this protocol: what asks for one does without."""

    def close_idle(self, upstream: Upstream) -> None:
        assert isinstance(upstream, Endpoint)
        upstream.close_idle()

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """No protocol of clients and upstreams carries a message; where there is a fleet, that does."""
        if self.broadcast:
            self.broadcast(contents)

    def set_fleet_size(self, balancers: int, number: int) -> None:
        """So many balancers share this pool, and this one is that one of them."""
        self.fleet_settings = {"balancers": balancers, "slot_no": number, "limits.peers": True}
        self.update_policy_settings()

    def clear_fleet_size(self) -> None:
        """From now on the file says how many share it."""
        if self.fleet_settings:
            self.fleet_settings = {}
            self.update_policy_settings()

    def update_policy_settings(self) -> None:
        self.loop.dispatch(
            self,
            self.policy.reconfigure,
            self.spec.settings | self.fleet_settings,
            list(self.spec.request_classes),
        )

    def receive_peer_message(self, balancer: int, contents: bytes) -> None:
        """What another balancer's decisions tell this one's."""
        self.loop.dispatch(self, self.policy.on_peer_message, balancer, contents)

    def follow_endpoint_list(self, on: bool) -> None:
        if self.endpoint_watch:
            self.endpoint_watch.set_watching(on)

    def fetch_endpoint_list(self) -> None:
        if self.endpoint_watch:
            self.endpoint_watch.fetch()

    def log(self, text: str) -> None:
        log.info("decisions", pool=self.name, text=text)

    # What comes in.

    def admit(self, route: str, tenant: bytes, ticket: bytes, again: bool) -> bool:
        """Whether one more request passes all gates; what closes them says when to come back."""
        now, self.retry_after = self.loop.clock(), 0
        ends = now + max(request_class.timeout for request_class in self.spec.request_classes)
        gates = self.limiters
        if self.request_limiters is not None:
            gates = (*gates, *self.request_limiters(route, tenant, ticket, again))
        given = self.acquire_permits(gates, now, ends)
        self.granted_permits = given or ()
        if given is None:
            assert self.refusing_limiter
            self.retry_after = self.refusing_limiter.retry_after(now)
        return given is not None

    def acquire_permits(
        self, gates: tuple[Limiter, ...], now: int, ends: int
    ) -> tuple[Permit, ...] | None:
        """What one gets that passes all of these; None, and nothing is taken, where one is closed."""
        found: list[Permit] = []
        for gate in gates:
            one = gate.acquire(now, ends)
            if one is None:
                self.refusing_limiter = gate
                for passed in found:
                    passed.release(now, False)
                return None
            found.append(one)
        return tuple(found)

    def accept(self, request: PendingRequest, gates: tuple[Permit, ...] = ()) -> None:
        """A client's request, and what limits at the door gave it."""
        request.permits = gates
        self.in_flight += 1
        self.counts["tasks"] += 1
        request.pool = self
        self.context.ids[request.client_id or request.id] = request
        self.loop.call_at(request.deadline, self, self.on_deadline, request)
        self.loop.dispatch(self, self.policy.on_request, request)

    def finish(self, request: PendingRequest, how: str) -> bool:
        """Whether a request, which has no answer yet, is to have its final one now."""
        log.invariant(not request.ended and request.is_awaited(), "a task has one final answer")
        if request.ended or not request.is_awaited():
            return False
        self.end_request(request)
        self.counts[how] += 1
        if self.on_request_finished:
            self.on_request_finished(request, how)
        return True

    def end_request(self, request: PendingRequest) -> None:
        request.ended = True
        self.in_flight -= 1
        self.budget.requests.release()
        if request.permits:
            ran = any(sent.outcome not in NEVER_RAN for sent in request.attempts)
            for gate in request.permits:
                gate.release(self.now, ran)
        for sent in request.attempts:
            # Guards against an attempt that waits for a connection and would begin for nobody. To
            # call off what is out is the decisions' matter, and not allowed everywhere; this has
            # not begun.
            if isinstance(sent, PoolAttempt) and not sent.settled and sent.endpoint.is_unsent(sent):
                self.stop_waiting(sent, Outcome.NOT_SENT)
        if self.closing:
            self.check_closed()

    def on_deadline(self, request: PendingRequest) -> None:
        """Its client gives up now: what is still out has timed out, and an answer goes in any case."""
        for attempt in list(request.attempts):
            self.stop_waiting(attempt, Outcome.TIMED_OUT)
        self.loop.pending_calls.append((self, self.ensure_answered, (request,)))

    def ensure_answered(self, request: PendingRequest) -> None:
        # Guards against a fault in a decision: even then a request has its answer in time.
        if not request.ended:
            log.invariant(False, "the decisions end a task by its patience")
            self.fail(request)
        # Guards against long stops of the loop: requests and attempts point to each other, so that
        # without this they would pile up, of an age that only a full collection looks at.
        request.attempts.clear()
        self.context.ids.pop(request.client_id or request.id, None)

    def shorten_deadline(self, request: PendingRequest, ends: int) -> None:
        """A request is over sooner than its client thinks, as the process is."""
        if request.deadline > ends:
            request.deadline = ends
            self.loop.call_at(ends, self, self.on_deadline, request)

    def stop_waiting(self, attempt: Attempt, outcome: Outcome) -> None:
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
        """An attempt has its outcome, once; `answer` is what a fulfilled request is given."""
        log.invariant(not sent.settled, "a hand-off has one outcome")
        if not sent.settled:
            sent.settled = True
            for gate in sent.permits:
                gate.release(self.loop.clock(), outcome not in NEVER_RAN)
            self.loop.dispatch(self, self.finish_attempt, sent, outcome, answer, load)

    def finish_attempt(
        self, sent: PoolAttempt, outcome: Outcome, answer: Any, load: dict[str, float] | None
    ) -> None:
        sent.outcome, sent.duration = outcome, self.now - sent.sent_at
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
            )
        first = outcome == Outcome.SUCCEEDED and not request.ended
        if first and self.finish(request, "fulfilled"):
            request.respond(answer)
        self.policy.on_attempt_finished(sent, load, first)

    def on_client_disconnected(self, request: PendingRequest) -> None:
        if not request.ended:
            self.end_request(request)
            self.counts["clients_left"] += 1
            self.loop.dispatch(self, self.policy.on_client_disconnected, request)

    # The list.

    def update_endpoints(self, entries: Iterable[Entry], whole: bool, cached: bool = False) -> None:
        """Follow what a list says; a restart of an upstream is a new one in its place."""
        entries = list(entries)
        fresh = (
            self.list_received
            and not self.endpoint_watch
            and bool(self.spec.settings.get("rules.cold"))
        )
        self.list_received = self.list_received or not cached
        if not entries and not whole:
            return  # nothing has changed
        held = {} if whole else dict(self.endpoints)
        for entry in entries:
            peer = self.endpoints.get(entry.host)
            if entry.state == UpstreamState.REMOVED:
                held.pop(entry.host, None)
                continue
            if peer is None or (entry.started and entry.started != peer.started):
                if peer is None and fresh and not entry.started:
                    # Guards against pushing over what the operator has only just started and
                    # listed.
                    entry = replace(entry, started=self.context.first_seen_at(entry.dial))
                peer = self.context.create_endpoint(self, entry, stable_hash(entry.host.encode()))
                self.ejected_hosts.discard(entry.host)  # another run, of which nothing is known
                peer.warm_up_pacer = self.context.shared_warm_up_turn(entry)
                if self.on_endpoint_added:
                    self.on_endpoint_added(peer)
            peer.listed_state, peer.cell, peer.size = entry.state, entry.cell, entry.size
            peer.state = self.state_of(peer)
            peer.zone = self.position(self.spec.zones, entry.zone)
            peer.shape = self.position(self.spec.kinds, entry.shape)
            peer.set_address(entry.dial)
            held[entry.host] = peer
        before, self.endpoints = self.endpoints, held
        self.list_changes += 1
        for host, peer in before.items():
            if held.get(host) is not peer:
                peer.state = UpstreamState.REMOVED
                self.draining[peer] = None
        for peer in dict.fromkeys(
            (*before.values(), *held.values())
        ):  # in an order that does not change
            if peer.state != UpstreamState.READY:
                peer.drain()
        states = Counter(peer.state for peer in held.values())
        by_state = {str(state): count for state, count in states.items()}
        log.info("endpoints_updated", **self.log_fields(), whole=whole, cached=cached, **by_state)
        self.notify_policy()

    def notify_policy(self) -> None:
        usable = [
            peer
            for peer in self.endpoints.values()
            if peer.state in (UpstreamState.READY, UpstreamState.DRAINING)
        ]
        self.loop.dispatch(self, self.policy.on_endpoints_updated, usable)

    def state_of(self, peer: Endpoint) -> UpstreamState:
        """As its list has it, but that one that rests drains."""
        aside = peer.host in self.ejected_hosts or peer.host in self.drained_hosts
        return (
            UpstreamState.DRAINING
            if peer.listed_state == UpstreamState.READY and aside
            else peer.listed_state
        )

    def set_ejected(self, host: str, on: bool) -> bool:
        """An upstream is to get nothing new for a while, or what its list allows; whether it is there."""
        peer = self.endpoints.get(host)
        if peer is None or (host in self.ejected_hosts) == on:
            return peer is not None
        (self.ejected_hosts.add if on else self.ejected_hosts.discard)(host)
        self.update_states([peer])
        return True

    def set_drained(self, hosts: frozenset[str]) -> None:
        """These are to get nothing new from now on, whichever run of theirs is listed."""
        if hosts == self.drained_hosts:
            return
        self.drained_hosts = hosts
        self.update_states(self.endpoints.values())

    def update_states(self, peers: Iterable[Endpoint]) -> None:
        """What these may get has changed, by other than the list."""
        for peer in peers:
            peer.state = self.state_of(peer)
            if peer.state != UpstreamState.READY:
                peer.drain()
        self.notify_policy()

    def in_flight_at(self, host: str) -> int:
        """How many attempts are out at an upstream, over all its runs."""
        return sum(peer.in_flight() for peer in self.all_endpoints() if peer.host == host)

    def log_fields(self) -> dict[str, str]:
        """What a line of the log says of this pool: nothing where there is only one."""
        return (
            {"pool": self.name}
            if self.context.budget.isolate and len(self.context.budget.pools) > 1
            else {}
        )

    @staticmethod
    def position(names: list[str], name: str) -> int:
        return names.index(name) if name in names else len(names)

    def ready(self) -> bool:
        """Whether it can serve: it was told its list, or the known one must do, and something is ready."""
        told = self.list_received or self.loop.clock() > self.created_at + LIST_TIMEOUT
        return told and any(peer.state == UpstreamState.READY for peer in self.endpoints.values())

    def all_endpoints(self) -> Iterator[Endpoint]:
        yield from self.endpoints.values()
        yield from self.draining

    def close_expired(self) -> None:
        """Let go of what has been idle for long, and of upstreams that have gone."""
        for peer in self.endpoints.values():
            peer.close_expired()
        for peer in [peer for peer in self.draining if not peer.in_flight()]:
            self.draining.pop(peer, None)

    # The end.

    def close(self, then: Callable[[], None]) -> None:
        """Take nothing new, finish what is out, then end."""
        self.closing, self.on_closed = True, then
        self.check_closed()

    def check_closed(self) -> None:
        # Not from inside a call of the decisions, which may go on with what would be ended here.
        if not self.in_flight and not self.closed:
            self.loop.call_at(self.loop.clock(), self, self.finish_closing)

    def finish_closing(self) -> None:
        if self.closed or self.in_flight:
            return
        self.closed = True
        if self.endpoint_watch:
            self.endpoint_watch.close()
        for peer in self.all_endpoints():
            peer.state = UpstreamState.REMOVED
            peer.drain()
        self.budget.close()
        log.info("pool_removed", pool=self.name)
        self.on_closed()

    def count_in_flight(self) -> int:
        """How many attempts are out, counted on the wire: what the decisions' own count must be."""
        return sum(peer.in_flight() for peer in self.all_endpoints())
