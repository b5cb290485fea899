"""Owns the life of the process: its pools, its fronts, signals, reload and the end.

Must never let a signal or a faulty file end the process, or leave a request without an answer at
the end.
"""

from __future__ import annotations

import gc
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Any, Protocol

import anyio

from whinpier import log
from whinpier.config.model import (
    KEPT_TILL_RESTART,
    Address,
    ConfigFault,
    Entry,
    PoolSpec,
    Spec,
    differs,
)
from whinpier.policy.decaying_sum import SECOND, Pacer
from whinpier.runtime.event_loop import MS, EventLoop
from whinpier.runtime.pool import Endpoint, EndpointWatch, PendingRequest, Pool
from whinpier.runtime.resource_budget import Budget, PoolBudget, reserved_descriptors

ACCEPT_AFTER_SIGTERM = (
    6 * SECOND // 10
)  # after SIGTERM new connections go on coming for up to 0.4 s
# After SIGTERM nothing ends the process sooner than the longest timeout and 0.7 s more. The last
# tenth of that is for a late loop, and what comes before it for answering what is out, with no more
# taken.
MAX_DRAIN_TIMEOUT = 3 * SECOND  # of a timeout, as it counts for that
SHUTDOWN_MARGIN, CLOSING_TIME = 6 * SECOND // 10, 4 * SECOND // 10
SWEEP_INTERVAL = (
    SECOND // 4
)  # between looks at what waits too long: what is owed within 3 s is given after 2
METRICS_INTERVAL = 10 * SECOND  # between lines of figures


class Frontend(Protocol):
    """A protocol's side towards clients."""

    def start(self, listeners: list[socket.socket]) -> None: ...

    def close_expired(self) -> None: ...

    def has_clients(self) -> bool: ...

    def close_idle(self) -> None: ...

    def has_pending_responses(self) -> bool: ...

    def metrics(self) -> dict[str, int]: ...


class Fleet(Protocol):
    """What knows the other processes; pools are told of them by it."""

    def start(self) -> None: ...

    def reconfigure(self, spec: Any) -> None: ...

    def leave(self) -> None: ...

    def announce_leave(self) -> None: ...


class Transport(Protocol):
    """A protocol, as the life of the process puts it together."""

    def create_frontends(self, life: Process) -> list[Frontend]:
        """The first of them takes the listeners of the process."""

    def update_routes(self, fronts: list[Frontend], life: Process) -> None: ...

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint: ...

    def create_watch(self, pool: Pool) -> EndpointWatch: ...


class Process:
    """One process."""

    def __init__(
        self,
        spec: Spec,
        wire: Transport,
        reread: Callable[[], Spec],
        changed: Callable[[Spec, Spec], Iterable[str]],
    ) -> None:
        self.spec, self.transport, self.read_config, self.restart_keys = spec, wire, reread, changed
        self.budget = Budget(spec.sockets, spec.memory, spec.isolate, reserved_descriptors(spec))
        self.loop = EventLoop(self.budget.update_shedding)
        self.ids: dict[
            bytes | int, PendingRequest
        ] = {}  # of requests till the end of their timeout, answered or not
        self.warm_up_turns: dict[
            tuple[Address, int], Pacer
        ] = {}  # when a run of an upstream is due one, of all pools
        self.stopping, self.closing, self.stop_deadline = False, False, 0
        self.out_of_rotation = False  # its front is to send nobody, though it serves who comes
        self.longest_gc_pause, self.gc_started_at = 0, 0
        self.seed_source = Random(spec.seed)
        self.pools: dict[str, Pool] = {}
        self.warn_ignored_settings()
        self.draining_pools: set[Pool] = set()  # pools that finish what they have
        for pool in spec.pools.values():
            self.add_pool(pool)
        first = next(iter(self.pools.values()))
        self.random = self.seed_source.random if spec.routed else first.policy.selector.random
        self.budget.list_idle = self.idle_connections
        self.frontends = wire.create_frontends(self)
        self.fleet: Fleet | None = None

    def add_pool(self, spec: PoolSpec) -> Pool:
        seed = self.seed_source.getrandbits(64) if self.spec.routed else self.spec.seed
        pool = Pool(self, spec, seed, Counter() if self.spec.routed else log.counters)
        self.pools[spec.name] = pool
        return pool

    # What pools ask for.

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        return self.transport.create_endpoint(pool, entry, number)

    def create_watch(self, pool: Pool) -> EndpointWatch | None:
        return self.transport.create_watch(pool) if pool.spec.discovery else None

    def shared_warm_up_turn(self, entry: Entry) -> Pacer | None:
        """When one run of an upstream is due a request while it is cold, for all pools that list it."""
        # Guards against two pools that each keep a cold upstream's bound, and together push it
        # over.
        if not self.spec.routed:
            return None
        return self.warm_up_turns.setdefault((entry.dial, entry.started), Pacer(self.loop.clock()))

    def first_seen_at(self, dial: Address) -> int:
        """Since when an upstream that a file newly names counts as started: now, or as another pool says."""
        known = (
            peer.started
            for pool in self.pools.values()
            for peer in pool.endpoints.values()
            if peer.address == dial
        )
        return next(known, self.loop.clock())

    def idle_connections(self) -> Iterable[tuple[int, PoolBudget, Callable[[], None]]]:
        for pool in (*self.pools.values(), *self.draining_pools):
            for peer in pool.all_endpoints():
                for since, close in peer.idle_connections():
                    yield since, pool.budget, close

    def ready(self) -> bool:
        """Whether the front may send clients."""
        return not (self.stopping or self.out_of_rotation) and any(
            pool.ready() for pool in self.pools.values()
        )

    # What fronts ask for.

    def rejects(
        self,
        pool: Pool,
        route: str = "",
        tenant: bytes = b"",
        ticket: bytes = b"",
        again: bool = False,
    ) -> bool:
        """Whether a pool takes no request at the door; if it does the request counts among its own
        from now on.

        `again`: its client says that it is a repeat.
        """
        shed = pool.budget.shed_ratio
        turned_back = self.closing or pool.closing or bool(shed and self.random() < shed)
        if turned_back or not pool.budget.requests.acquire():
            return True
        if (pool.limiters or pool.request_limiters) and not pool.admit(
            route, tenant, ticket, again
        ):
            pool.budget.requests.release()
            return True
        return False

    def deadline(self, came: int, timeout: int) -> int:
        """When a request is over here: its client must have the answer, and the process must
        still be there.
        """
        margin = self.loop.deadline_margin()
        return min(came + timeout, self.stop_deadline or came + timeout) - margin

    # A new configuration.

    async def reload(self) -> None:
        """SIGHUP: read the configuration again; a faulty one changes nothing."""
        log.counters["reloads"] += 1
        try:
            # Guards against the loop standing still while a file of thousands of routes is read and
            # checked.
            new = (
                await anyio.to_thread.run_sync(self.read_config)
                if self.spec.routed
                else self.read_config()
            )
        except ConfigFault as fault:
            log.warning("configuration_rejected", fault=fault)
            return
        except Exception:  # a fault of ours must not end the process either
            log.exception("configuration_rejected")
            return
        kept = ",".join(self.restart_keys(self.spec, new))
        if new.routed:
            self.apply_operator_config(self.keep_until_restart(new))
        else:
            self.apply_platform_settings(new)
        discovery = (
            {}
            if new.routed
            else {"discovery": "%s:%d" % (pool.discovery or ("", 0)) for pool in new.pools.values()}
        )
        log.info("configuration_applied", **discovery, kept_till_restart=kept)

    def apply_platform_settings(self, new: Spec) -> None:
        """The platform's way: its one pool goes on by the new settings, in one step between two events."""
        before, self.spec = self.spec, self.keep_until_restart(new)
        self.warn_ignored_settings()
        for name, pool in self.pools.items():
            # `known` is the list for a start; from then on discovery tells it.
            spec = replace(
                new.pools[name], known=before.pools[name].known, seq=before.pools[name].seq
            )
            if keys := differs(before.pools[name], spec):
                old, now = before.pools[name].settings, spec.settings
                keys += [key for key in sorted({*old, *now}) if old.get(key) != now.get(key)]
                pool.reconfigure(spec)
                log.info(
                    "settings_changed", keys=",".join(key for key in keys if key != "settings")
                )

    def warn_ignored_settings(self) -> None:
        if self.spec.not_honoured:
            log.warning("settings_ignored", keys=",".join(self.spec.not_honoured))

    def keep_until_restart(self, new: Spec) -> Spec:
        """A new file as it can be run by: what waits for a restart is as it was."""
        old = self.spec
        beside = {name: new.beside.get(name, kept) for name, kept in old.beside.items()}
        fleet = new.fleet.kept(old.fleet) if new.fleet and old.fleet else old.fleet
        return replace(
            new, beside=beside, fleet=fleet, **{key: getattr(old, key) for key in KEPT_TILL_RESTART}
        )

    def apply_operator_config(self, new: Spec) -> None:
        """Pools and routes as the new file has them, in one step between two events of the loop."""
        before, self.spec = self.spec, new
        self.budget.resize(reserved_descriptors(new))
        leaving = [
            self.pools.pop(name)
            for name in list(self.pools)
            if name not in new.pools or new.pools[name].protocol != before.pools[name].protocol
        ]
        for name, spec in new.pools.items():
            if name not in self.pools:
                self.add_pool(spec).start()
                log.info("pool_added", pool=name)
            elif keys := differs(before.pools[name], spec):
                self.pools[name].reconfigure(spec)
                log.info("pool_changed", pool=name, keys=",".join(keys))
        self.transport.update_routes(self.frontends, self)
        if self.fleet:
            self.fleet.reconfigure(new.fleet)
        for pool in leaving:
            self.draining_pools.add(pool)
            log.info("pool_draining", pool=pool.name, out=pool.in_flight)
            pool.close(lambda pool=pool: self.draining_pools.discard(pool))  # type: ignore[misc]

    # The process.

    def close_expired(self) -> None:
        """Every wait has an end."""
        self.loop.call_at(self.loop.clock() + SWEEP_INTERVAL, self.loop, self.close_expired)
        for pool in (*self.pools.values(), *self.draining_pools):
            pool.close_expired()
        for front in self.frontends:
            front.close_expired()

    def on_gc(self, phase: str, _: dict[str, int]) -> None:
        """Note how long a garbage collection stops the loop."""
        if phase == "start":
            self.gc_started_at = time.monotonic_ns()
        else:
            self.longest_gc_pause = max(
                self.longest_gc_pause, time.monotonic_ns() - self.gc_started_at
            )

    def log_figures(self) -> None:
        self.loop.call_at(self.loop.clock() + METRICS_INTERVAL, self.loop, self.log_figures)
        pools = (*self.pools.values(), *self.draining_pools)
        for pool in pools:
            log.invariant(
                pool.count_in_flight() == pool.policy.selector.in_flight,
                "what is counted as out is out on a socket",
            )
            if self.spec.routed:
                log.info("pool", pool=pool.name, **pool.budget.metrics(), **pool.counts)
        log.info(
            "figures",
            out=sum(pool.in_flight for pool in pools),
            **self.frontend_metrics(),
            links=self.budget.connections.used,
            timers=len(self.loop.timers),
            lag_ms=self.loop.max_lag // MS,
            collect_ms=self.longest_gc_pause // MS,
            cpu_s=round(time.process_time(), 2),
            **log.counters,
        )
        self.loop.max_lag = self.longest_gc_pause = 0
        used = {(peer.address, peer.started) for pool in pools for peer in pool.endpoints.values()}
        self.warm_up_turns = {run: sent for run, sent in self.warm_up_turns.items() if run in used}

    async def handle_signals(self) -> None:
        """Signals, until the end: none of them may fall back to ending the process at once."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    await self.reload()
                else:
                    self.stop()

    def stop(self) -> None:
        """End in order, once."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.terminate, self.loop.task_group.cancel_scope.cancel)

    def in_flight(self) -> int:
        return sum(pool.in_flight for pool in (*self.pools.values(), *self.draining_pools))

    async def terminate(self) -> None:
        """SIGTERM: serve those who are connected for as long as may be, then close behind each answer.

        Guards against clients with nobody to serve them: they stay with the connections they
        have, the next run does not start sooner for an early end, and there may be no other
        balancer.
        """
        loop = self.loop
        log.info("stopping", out=self.in_flight(), **self.frontend_metrics())
        longest = max(
            request_class.timeout
            for spec in self.spec.pools.values()
            for request_class in spec.request_classes
        )
        self.stop_deadline = loop.clock() + min(longest, MAX_DRAIN_TIMEOUT) + SHUTDOWN_MARGIN
        if self.fleet:
            self.fleet.leave()
        for request in list(self.ids.values()):
            request.pool.shorten_deadline(request, self.stop_deadline - loop.deadline_margin())
        await anyio.sleep(ACCEPT_AFTER_SIGTERM / SECOND)
        while (
            any(front.has_clients() for front in self.frontends)
            and loop.clock() < self.stop_deadline - CLOSING_TIME
        ):
            await anyio.sleep(0.01)
        self.closing = True
        for front in self.frontends:
            front.close_idle()
        while self.in_flight() or any(front.has_pending_responses() for front in self.frontends):
            if loop.clock() > self.stop_deadline:
                break
            await anyio.sleep(0.01)
        if self.fleet:
            self.fleet.announce_leave()
        log.info("stopped", out=self.in_flight(), **self.counters())
        loop.task_group.cancel_scope.cancel()

    def frontend_metrics(self) -> dict[str, int]:
        return {name: count for front in self.frontends for name, count in front.metrics().items()}

    def counters(self) -> dict[str, Any]:
        """All counters, those of the pools added up."""
        counts = Counter(log.counters)
        if self.spec.routed:
            for pool in (*self.pools.values(), *self.draining_pools):
                counts.update(pool.counts)
        return dict(counts)

    async def serve(self, listeners: list[socket.socket]) -> None:
        """Run until told to stop."""
        loop = self.loop
        async with anyio.create_task_group() as loop.task_group:
            loop.spawn(self.handle_signals, loop.task_group.cancel_scope.cancel)
            for pool in self.pools.values():
                pool.start()
            if self.fleet:
                self.fleet.start()
            loop.call_at(loop.clock() + SWEEP_INTERVAL, loop, self.close_expired)
            for front in self.frontends:
                front.start(listeners if front is self.frontends[0] else [])
            loop.call_at(loop.clock() + METRICS_INTERVAL, loop, self.log_figures)
            # What is there by now stays: collecting it over and over would only stop the loop.
            gc.callbacks.append(self.on_gc)
            gc.freeze()
            gc.set_threshold(10_000, 20, 50)
            loop.task_group.start_soon(loop.run_timers)
