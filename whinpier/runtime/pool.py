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
from whinpier.runtime.event_loop import Loop
from whinpier.runtime.resource_budget import Budget, Part

START = SECOND  # to be told the list before the one that was known must do


class AttemptObserver(Protocol):
    """Observes how upstreams answer."""

    def on_attempt_started(self, sent: Sent) -> None:
        """Note an attempt that was sent."""

    def on_attempt_finished(self, sent: Sent) -> None:
        """Note an attempt that has its outcome."""


class Passed(Protocol):
    """What a limit gave to one that passed it."""

    def give(self, now: int, ran: bool) -> None:
        """It is over; `ran`: some of it may have been done."""


class Gate(Protocol):
    """A limit that requests pass at the door, or attempts at an upstream."""

    def enter(self, now: int, ends: int) -> Passed | None:
        """What one more is given, which is over by `ends`; None if it may not pass."""

    def wait(self, now: int) -> int:
        """Nanoseconds after which one that may not may come again."""


class PendingRequest(Request):
    """A request with whoever waits for its answer; a protocol says how the answer is written."""

    __slots__ = ("id_given", "pool", "gates")
    id_given: bytes  # the id its client gave it, empty if none: no two requests have the same
    pool: Pool
    gates: tuple[Passed, ...]  # what limits gave it

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


class Sent(Attempt):
    """An attempt with its upstream; `settled` once its outcome is told, or about to be."""

    def __init__(self, request: PendingRequest, peer: Peer, now: int) -> None:
        super().__init__(request, peer, len(request.attempts), now)
        self.peer, self.settled = peer, False
        self.gates: tuple[Passed, ...] = ()  # what limits at its upstream gave it


class Peer(Upstream):
    """An upstream with what a protocol keeps for it, such as connections."""

    pool: Pool
    host: str
    address: Address
    listed_as: UpstreamState = UpstreamState.READY  # by its list
    passes: tuple[Gate, ...] = ()  # limits that whatever is sent there passes
    most_links: int | None = None  # connections to it at once, by a limit beside the process's own

    def hand(self, request: PendingRequest) -> Sent:
        """Send a request, and settle the attempt with the pool once its outcome is known."""
        raise NotImplementedError

    def stop(self, sent: Sent) -> None:
        """Wait no longer for an attempt; whoever stops it tells its outcome."""
        raise NotImplementedError

    def unsent(self, sent: Sent) -> bool:
        """Whether nothing of an attempt has gone out yet, so that it can be left unsent."""
        return False

    def moved(self, dial: Address) -> None:
        """It is met at this address from now on."""

    def close_idle(self) -> None:
        """Let go of what is idle."""

    def retire(self) -> None:
        """It is to get nothing new: what is not sent yet is not sent, and is moot."""

    def configured(self) -> None:
        """Its pool goes on by another configuration."""

    def sweep(self) -> None:
        """Let go of what has been idle for too long."""

    def unused(self) -> Iterator[tuple[int, Callable[[], None]]]:
        """What is idle: since when, and how to let go of it."""
        return iter(())

    def out(self) -> int:
        """How many attempts are out, counted anew on the wire."""
        raise NotImplementedError


class Watch(Protocol):
    """Whatever tells a pool its list."""

    async def run(self) -> None: ...

    def follow(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def end(self) -> None: ...


class House(Protocol):
    """What a pool needs of the process around it."""

    loop: Loop
    budget: Budget
    ids: dict[bytes | int, PendingRequest]

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer: ...

    def watch(self, pool: Pool) -> Watch | None: ...

    def shared(self, entry: Entry) -> Any: ...

    def since(self, dial: Address) -> int: ...


def hashed(text: bytes) -> int:
    """The same number for the same text at every balancer."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Pool:
    """Some upstreams, and the decisions on what goes to them."""

    def __init__(self, house: House, spec: PoolSpec, seed: int, counts: Counter[str]) -> None:
        self.house, self.loop, self.spec, self.name, self.counts = (
            house,
            house.loop,
            spec,
            spec.name,
            counts,
        )
        self.part = Part(house.budget, spec.limits)
        self.now = self.loop.clock()
        self.began = self.now
        self.held: dict[str, Peer] = {}  # the list as last told
        self.draining: dict[Peer, None] = {}  # no longer listed, with attempts still out
        self.out = 0  # requests without an answer
        self.told_once, self.leaving, self.ended = False, False, False
        self.on_end: Callable[[], None] = lambda: None
        self.gates: tuple[Gate, ...] = ()  # limits that requests of this pool pass at the door
        # By route, tenant, ticket, and whether it is a repeat.
        self.further: Callable[[str, bytes, bytes, bool], Iterable[Gate]] | None = None
        self.through: tuple[Passed, ...] = ()  # what the request at the door was given
        self.closed: Gate | None = None  # that was last met closed
        self.met: Callable[[Peer], None] | None = None  # called with each upstream that is new
        self.attempt_observer: AttemptObserver | None = None
        self.rested: set[str] = set()  # upstreams that get nothing new, whatever the list says
        self.drained: frozenset[str] = frozenset()  # the same, over restarts of theirs
        self.judge: Callable[[PendingRequest, str], None] | None = None  # told of each final answer
        self.listings = 0  # how often the list has changed
        self.wait = 0  # what the gate that was last closed says; 0: none was
        self.speaks: Callable[[bytes], None] | None = None  # to the other balancers of this pool
        self.counted: dict[str, Any] = {}  # settings that stand in for those of the file
        self.settle_names(spec)
        self.policy = Policy(self, spec.settings, list(spec.request_classes), seed)
        self.source = house.watch(self)

    def settle_names(self, spec: PoolSpec) -> None:
        self.spec = spec
        self.columns: list[str] = spec.settings["report.columns"]
        self.request_classes: dict[bytes, RequestClass] = {
            w.name.encode(): w for w in spec.request_classes
        }
        self.tenants = {name.encode(): index for index, name in enumerate(spec.tenants)}

    def start(self) -> None:
        """Take up the list: what is known, then what is told."""
        if self.spec.known:
            self.told(self.spec.known, True, cached=self.source is not None)
        if self.source:
            self.loop.spawn(self.source.run, lambda: None)
            self.source.follow(self.spec.settings.get("discovery") != "subscribe")

    def change(self, spec: PoolSpec) -> None:
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
        self.settle_names(spec)
        self.part.change(spec.limits)
        for peer in self.peers():
            peer.configured()
        self.recount()
        if spec.discovery is None:
            if self.source:
                self.source.end()
                self.source = None
            self.told(spec.known, True)
        elif self.source is None:
            self.source = self.house.watch(self)
            self.start()
        else:
            if (spec.discovery, spec.zones, spec.kinds) != (
                before.discovery,
                before.zones,
                before.kinds,
            ):
                self.source.move(spec.discovery)  # other zones have other places in the whole list
            if spec.settings.get("discovery") != "subscribe":
                self.source.follow(True)

    # What the decisions ask for.

    def start_attempt(self, request: Request, upstream: Upstream, stop_at: int = 0) -> Attempt:
        assert isinstance(request, PendingRequest) and isinstance(upstream, Peer)
        log.invariant(not request.ended, "nothing is sent for a task that has its answer")
        log.invariant(
            upstream.state == UpstreamState.READY, "nothing new is sent to what drains or is gone"
        )
        # Guards against attempts for nobody: a late loop decides before it reads that the client
        # has left.
        gates = () if request.client_disconnected() else upstream.passes
        given = self.given(gates, self.now, request.deadline) if gates else ()
        if given is None or request.ended:
            # What was free has ended meanwhile: it is not sent, and the decisions hear so at once.
            sent = Sent(request, upstream, self.now)
            request.attempts.append(sent)
            self.settle(sent, Outcome.NOT_SENT)
            return sent
        self.counts["attempts"] += 1
        sent = upstream.hand(request)
        if sent.settled:  # as it was handed over: nothing was sent
            for gate in given:
                gate.give(self.now, False)
        else:
            sent.gates = given
        if self.attempt_observer:
            self.attempt_observer.on_attempt_started(sent)
        if stop_at and stop_at < request.deadline:
            self.loop.at(stop_at, self, self.stop_waiting, sent, Outcome.TIMED_OUT)
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
        if not self.ended:
            self.loop.at(max(at, self.now + 1), self, self.on_timer, token)

    def on_timer(self, token: int) -> None:
        if not self.ended:
            self.policy.on_timer(token)

    def probe(self, upstream: Upstream) -> None:
        """Nothing carries a probe on this protocol: what asks for one does without."""

    def close_idle(self, upstream: Upstream) -> None:
        assert isinstance(upstream, Peer)
        upstream.close_idle()

    def send_peer_message(self, balancer: int | None, contents: bytes) -> None:
        """No protocol of clients and upstreams carries a message; where there is a fleet, that does."""
        if self.speaks:
            self.speaks(contents)

    def shared(self, balancers: int, number: int) -> None:
        """So many balancers share this pool, and this one is that one of them."""
        self.counted = {"balancers": balancers, "slot_no": number, "limits.peers": True}
        self.recount()

    def alone(self) -> None:
        """From now on the file says how many share it."""
        if self.counted:
            self.counted = {}
            self.recount()

    def recount(self) -> None:
        self.loop.enter(
            self,
            self.policy.reconfigure,
            self.spec.settings | self.counted,
            list(self.spec.request_classes),
        )

    def hears(self, balancer: int, contents: bytes) -> None:
        """What another balancer's decisions tell this one's."""
        self.loop.enter(self, self.policy.on_peer_message, balancer, contents)

    def follow_endpoint_list(self, on: bool) -> None:
        if self.source:
            self.source.follow(on)

    def fetch_endpoint_list(self) -> None:
        if self.source:
            self.source.fetch()

    def log(self, text: str) -> None:
        log.info("decisions", pool=self.name, text=text)

    # What comes in.

    def passes(self, route: str, tenant: bytes, ticket: bytes, again: bool) -> bool:
        """Whether one more request passes all gates; what closes them says when to come back."""
        now, self.wait = self.loop.clock(), 0
        ends = now + max(request_class.timeout for request_class in self.spec.request_classes)
        gates = self.gates
        if self.further is not None:
            gates = (*gates, *self.further(route, tenant, ticket, again))
        given = self.given(gates, now, ends)
        self.through = given or ()
        if given is None:
            assert self.closed
            self.wait = self.closed.wait(now)
        return given is not None

    def given(self, gates: tuple[Gate, ...], now: int, ends: int) -> tuple[Passed, ...] | None:
        """What one gets that passes all of these; None, and nothing is taken, where one is closed."""
        found: list[Passed] = []
        for gate in gates:
            one = gate.enter(now, ends)
            if one is None:
                self.closed = gate
                for passed in found:
                    passed.give(now, False)
                return None
            found.append(one)
        return tuple(found)

    def take(self, request: PendingRequest, gates: tuple[Passed, ...] = ()) -> None:
        """A client's request, and what limits at the door gave it."""
        request.gates = gates
        self.out += 1
        self.counts["tasks"] += 1
        request.pool = self
        self.house.ids[request.id_given or request.id] = request
        self.loop.at(request.deadline, self, self.time_up, request)
        self.loop.enter(self, self.policy.on_request, request)

    def finish(self, request: PendingRequest, how: str) -> bool:
        """Whether a request, which has no answer yet, is to have its final one now."""
        log.invariant(not request.ended and request.is_awaited(), "a task has one final answer")
        if request.ended or not request.is_awaited():
            return False
        self.end_request(request)
        self.counts[how] += 1
        if self.judge:
            self.judge(request, how)
        return True

    def end_request(self, request: PendingRequest) -> None:
        request.ended = True
        self.out -= 1
        self.part.requests.give()
        if request.gates:
            ran = any(sent.outcome not in NEVER_RAN for sent in request.attempts)
            for gate in request.gates:
                gate.give(self.now, ran)
        for sent in request.attempts:
            # Guards against an attempt that waits for a connection and would begin for nobody. To
            # call off what is out is the decisions' matter, and not allowed everywhere; this has
            # not begun.
            if isinstance(sent, Sent) and not sent.settled and sent.peer.unsent(sent):
                self.stop_waiting(sent, Outcome.NOT_SENT)
        if self.leaving:
            self.check_end()

    def time_up(self, request: PendingRequest) -> None:
        """Its client gives up now: what is still out has timed out, and an answer goes in any case."""
        for attempt in list(request.attempts):
            self.stop_waiting(attempt, Outcome.TIMED_OUT)
        self.loop.todo.append((self, self.last_word, (request,)))

    def last_word(self, request: PendingRequest) -> None:
        # Guards against a fault in a decision: even then a request has its answer in time.
        if not request.ended:
            log.invariant(False, "the decisions end a task by its patience")
            self.fail(request)
        # Guards against long stops of the loop: requests and attempts point to each other, so that
        # without this they would pile up, of an age that only a full collection looks at.
        request.attempts.clear()
        self.house.ids.pop(request.id_given or request.id, None)

    def shorten(self, request: PendingRequest, ends: int) -> None:
        """A request is over sooner than its client thinks, as the process is."""
        if request.deadline > ends:
            request.deadline = ends
            self.loop.at(ends, self, self.time_up, request)

    def stop_waiting(self, attempt: Attempt, outcome: Outcome) -> None:
        assert isinstance(attempt, Sent)
        if not attempt.settled:
            attempt.peer.stop(attempt)
            self.settle(attempt, outcome)

    def settle(
        self, sent: Sent, outcome: Outcome, answer: Any = None, load: dict[str, float] | None = None
    ) -> None:
        """An attempt has its outcome, once; `answer` is what a fulfilled request is given."""
        log.invariant(not sent.settled, "a hand-off has one outcome")
        if not sent.settled:
            sent.settled = True
            for gate in sent.gates:
                gate.give(self.loop.clock(), outcome not in NEVER_RAN)
            self.loop.enter(self, self.on_attempt_finished, sent, outcome, answer, load)

    def on_attempt_finished(
        self, sent: Sent, outcome: Outcome, answer: Any, load: dict[str, float] | None
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
                upstream=sent.peer.host,
                outcome=outcome,
                lane=request.request_class.name,
            )
        first = outcome == Outcome.SUCCEEDED and not request.ended
        if first and self.finish(request, "fulfilled"):
            request.respond(answer)
        self.policy.on_attempt_finished(sent, load, first)

    def client_left(self, request: PendingRequest) -> None:
        if not request.ended:
            self.end_request(request)
            self.counts["clients_left"] += 1
            self.loop.enter(self, self.policy.on_client_disconnected, request)

    # The list.

    def told(self, entries: Iterable[Entry], whole: bool, cached: bool = False) -> None:
        """Follow what a list says; a restart of an upstream is a new one in its place."""
        entries = list(entries)
        fresh = self.told_once and not self.source and bool(self.spec.settings.get("rules.cold"))
        self.told_once = self.told_once or not cached
        if not entries and not whole:
            return  # nothing has changed
        held = {} if whole else dict(self.held)
        for entry in entries:
            peer = self.held.get(entry.host)
            if entry.state == UpstreamState.REMOVED:
                held.pop(entry.host, None)
                continue
            if peer is None or (entry.started and entry.started != peer.started):
                if peer is None and fresh and not entry.started:
                    # Guards against pushing over what the operator has only just started and
                    # listed.
                    entry = replace(entry, started=self.house.since(entry.dial))
                peer = self.house.peer(self, entry, hashed(entry.host.encode()))
                self.rested.discard(entry.host)  # another run, of which nothing is known
                peer.warm_up_pacer = self.house.shared(entry)
                if self.met:
                    self.met(peer)
            peer.listed_as, peer.cell, peer.size = entry.state, entry.cell, entry.size
            peer.state = self.state_of(peer)
            peer.zone = self.place(self.spec.zones, entry.zone)
            peer.shape = self.place(self.spec.kinds, entry.shape)
            peer.moved(entry.dial)
            held[entry.host] = peer
        before, self.held = self.held, held
        self.listings += 1
        for host, peer in before.items():
            if held.get(host) is not peer:
                peer.state = UpstreamState.REMOVED
                self.draining[peer] = None
        for peer in dict.fromkeys(
            (*before.values(), *held.values())
        ):  # in an order that does not change
            if peer.state != UpstreamState.READY:
                peer.retire()
        states = Counter(peer.state for peer in held.values())
        by_state = {str(state): count for state, count in states.items()}
        log.info("endpoints_updated", **self.tag(), whole=whole, cached=cached, **by_state)
        self.tell_list()

    def tell_list(self) -> None:
        usable = [
            peer
            for peer in self.held.values()
            if peer.state in (UpstreamState.READY, UpstreamState.DRAINING)
        ]
        self.loop.enter(self, self.policy.on_endpoints_updated, usable)

    def state_of(self, peer: Peer) -> UpstreamState:
        """As its list has it, but that one that rests drains."""
        aside = peer.host in self.rested or peer.host in self.drained
        return (
            UpstreamState.DRAINING
            if peer.listed_as == UpstreamState.READY and aside
            else peer.listed_as
        )

    def rest(self, host: str, on: bool) -> bool:
        """An upstream is to get nothing new for a while, or what its list allows; whether it is there."""
        peer = self.held.get(host)
        if peer is None or (host in self.rested) == on:
            return peer is not None
        (self.rested.add if on else self.rested.discard)(host)
        self.restate([peer])
        return True

    def drain(self, hosts: frozenset[str]) -> None:
        """These are to get nothing new from now on, whichever run of theirs is listed."""
        if hosts == self.drained:
            return
        self.drained = hosts
        self.restate(self.held.values())

    def restate(self, peers: Iterable[Peer]) -> None:
        """What these may get has changed, by other than the list."""
        for peer in peers:
            peer.state = self.state_of(peer)
            if peer.state != UpstreamState.READY:
                peer.retire()
        self.tell_list()

    def out_at(self, host: str) -> int:
        """How many attempts are out at an upstream, over all its runs."""
        return sum(peer.out() for peer in self.peers() if peer.host == host)

    def tag(self) -> dict[str, str]:
        """What a line of the log says of this pool: nothing where there is only one."""
        return (
            {"pool": self.name}
            if self.house.budget.isolate and len(self.house.budget.parts) > 1
            else {}
        )

    @staticmethod
    def place(names: list[str], name: str) -> int:
        return names.index(name) if name in names else len(names)

    def ready(self) -> bool:
        """Whether it can serve: it was told its list, or the known one must do, and something is ready."""
        told = self.told_once or self.loop.clock() > self.began + START
        return told and any(peer.state == UpstreamState.READY for peer in self.held.values())

    def peers(self) -> Iterator[Peer]:
        yield from self.held.values()
        yield from self.draining

    def sweep(self) -> None:
        """Let go of what has been idle for long, and of upstreams that have gone."""
        for peer in self.held.values():
            peer.sweep()
        for peer in [peer for peer in self.draining if not peer.out()]:
            self.draining.pop(peer, None)

    # The end.

    def leave(self, then: Callable[[], None]) -> None:
        """Take nothing new, finish what is out, then end."""
        self.leaving, self.on_end = True, then
        self.check_end()

    def check_end(self) -> None:
        # Not from inside a call of the decisions, which may go on with what would be ended here.
        if not self.out and not self.ended:
            self.loop.at(self.loop.clock(), self, self.end)

    def end(self) -> None:
        if self.ended or self.out:
            return
        self.ended = True
        if self.source:
            self.source.end()
        for peer in self.peers():
            peer.state = UpstreamState.REMOVED
            peer.retire()
        self.part.end()
        log.info("pool_removed", pool=self.name)
        self.on_end()

    def on_wire(self) -> int:
        """How many attempts are out, counted on the wire: what the decisions' own count must be."""
        return sum(peer.out() for peer in self.peers())
