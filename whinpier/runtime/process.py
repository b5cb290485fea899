"""Runs the process: its pools and frontends, signals, reload and graceful shutdown.

Invariants: no signal and no invalid file ends the process at once, and no request is left without a
response at shutdown.
"""

from __future__ import annotations

import gc
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import StrEnum
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
from whinpier.runtime.memory import resident_bytes
from whinpier.runtime.pool import Endpoint, EndpointWatch, PendingRequest, Pool
from whinpier.runtime.resource_budget import Budget, PoolBudget, reserved_descriptors

# All durations are in nanoseconds.
# New connections arrive for up to 0.4 s after SIGTERM.
ACCEPT_AFTER_SIGTERM = 6 * SECOND // 10
# Who sends SIGTERM waits for the longest timeout of a request, at most MAX_DRAIN_TIMEOUT, and 0.7 s
# more. The last 0.1 s of that is left for a late loop; in CLOSING_TIME before it, requests are
# answered and none is accepted.
MAX_DRAIN_TIMEOUT = 3 * SECOND
SHUTDOWN_MARGIN = 6 * SECOND // 10
CLOSING_TIME = 4 * SECOND // 10
# Between checks for expired connections, so that what is due within 3 s is done after 2.
SWEEP_INTERVAL = SECOND // 4
METRICS_INTERVAL = 10 * SECOND  # between metrics in the log


def address_text(address: Address | None) -> str:
    """Format an address as `host:port`; `:0` without one."""
    host, port = address or ("", 0)
    return f"{host}:{port}"


class RejectionReason(StrEnum):
    """Why a request is rejected on arrival; part of a counter's name and a field of the log."""

    CLIENTS = "clients"  # more are connected than may send requests
    STOPPING = "stopping"
    LATE = "late"  # the event loop is late, so a part of the requests is shed
    IN_FLIGHT = "in_flight"  # the pool has as many as it may have
    REMEMBERED = (
        "remembered"  # as many ids are known as memory allows, or its client's part of them
    )
    LIMIT = "limit"  # of a rate, quota or tenant


class Frontend(Protocol):
    """The side of a protocol that faces clients."""

    def start(self, listeners: list[socket.socket]) -> None:
        """Accept clients."""

    def close_expired(self) -> None:
        """Close connections that have waited for too long."""

    def has_clients(self) -> bool:
        """Tell whether a client is connected."""

    def close_idle(self) -> None:
        """Close idle connections, as no further request is accepted."""

    def has_pending_responses(self) -> bool:
        """Tell whether a response is not written whole, or a request not read whole."""

    def metrics(self) -> dict[str, int]:
        """Return fields for the metrics in the log."""


class Fleet(Protocol):
    """The other balancers, as the process uses them."""

    def start(self) -> None:
        """Join the fleet."""

    def reconfigure(self, spec: Any) -> None:
        """Take over another configuration."""

    def leave(self) -> None:
        """Tell the fleet that this process is shutting down."""

    def announce_leave(self) -> None:
        """Tell the fleet that this process has finished its requests."""


class Transport(Protocol):
    """Creates the parts of the process that depend on the protocol."""

    def create_frontends(self, process: Process) -> list[Frontend]:
        """Make the frontends; the first of them gets the listeners of the process."""

    def update_routes(self, frontends: list[Frontend], process: Process) -> None:
        """Give the frontends the routes of the present configuration."""

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        """Make an endpoint of the pool's protocol."""

    def create_watch(self, pool: Pool) -> EndpointWatch:
        """Make a pool's connection to discovery."""


class Process:
    """One process with its configuration, pools and frontends."""

    def __init__(
        self,
        spec: Spec,
        transport: Transport,
        read_config: Callable[[], Spec],
        restart_keys: Callable[[Spec, Spec], Iterable[str]],
    ) -> None:
        """Create pools and frontends; nothing is accepted yet.

        `restart_keys(old, new)` names the changed keys that take effect at the next start only.
        """
        self.spec = spec
        self.transport = transport
        self.read_config = read_config
        self.restart_keys = restart_keys
        self.budget = Budget(spec.sockets, spec.memory, spec.isolate, reserved_descriptors(spec))
        self.loop = EventLoop(self.budget.update_shedding)
        # Requests by their id, until their deadline, with or without a final response.
        self.ids: dict[bytes | int, PendingRequest] = {}
        # Of upstreams that warm up, by address and start time; shared by all pools.
        self.warm_up_pacers: dict[tuple[Address, int], Pacer] = {}
        self.stopping = False
        self.closing = False
        self.stop_deadline = 0
        self.rejection_reason = RejectionReason.LATE  # of the request rejected last
        self.out_of_rotation = False  # not ready for new clients, though requests are served
        self.longest_gc_pause = 0  # nanoseconds, since the last metrics
        self.gc_started_at = 0
        self.seed_source = Random(spec.seed)
        self.pools: dict[str, Pool] = {}
        self.warn_ignored_settings()
        self.draining_pools: set[Pool] = set()  # removed, with requests in flight
        for pool in spec.pools.values():
            self.add_pool(pool)
        first = next(iter(self.pools.values()))
        self.random = self.seed_source.random if spec.routed else first.policy.selector.random
        self.budget.list_idle = self.idle_connections
        self.frontends = transport.create_frontends(self)
        self.fleet: Fleet | None = None

    def add_pool(self, spec: PoolSpec) -> Pool:
        """Create a pool; it is not started yet."""
        seed = self.seed_source.getrandbits(64) if self.spec.routed else self.spec.seed
        pool = Pool(self, spec, seed, Counter() if self.spec.routed else log.counters)
        self.pools[spec.name] = pool
        return pool

    # For pools: the methods of their `PoolContext`.

    def create_endpoint(self, pool: Pool, entry: Entry, number: int) -> Endpoint:
        """Make an endpoint of the pool's protocol."""
        return self.transport.create_endpoint(pool, entry, number)

    def create_watch(self, pool: Pool) -> EndpointWatch | None:
        """Make the pool's connection to discovery; None if its endpoints are configured."""
        return self.transport.create_watch(pool) if pool.spec.discovery else None

    def shared_warm_up_pacer(self, entry: Entry) -> Pacer | None:
        """Return the warm-up schedule of an upstream for all pools, or None if there is one pool."""
        # Two pools that each keep to the bound of an upstream that warms up overload it together.
        if not self.spec.routed:
            return None
        return self.warm_up_pacers.setdefault((entry.dial, entry.started), Pacer(self.loop.clock()))

    def first_seen_at(self, dial: Address) -> int:
        """Return the start time of an upstream that is new in a file: another pool's, or now."""
        known = (
            endpoint.started
            for pool in self.pools.values()
            for endpoint in pool.endpoints.values()
            if endpoint.address == dial
        )
        return next(known, self.loop.clock())

    def idle_connections(self) -> Iterable[tuple[int, PoolBudget, Callable[[], None]]]:
        """Yield for each idle upstream connection since when, its pool, and how to close it."""
        for pool in (*self.pools.values(), *self.draining_pools):
            for endpoint in pool.all_endpoints():
                for since, close in endpoint.idle_connections():
                    yield since, pool.budget, close

    def ready(self) -> bool:
        """Tell whether new clients may be sent here."""
        return not (self.stopping or self.out_of_rotation) and any(
            pool.ready() for pool in self.pools.values()
        )

    # For frontends.

    def rejects(
        self,
        pool: Pool,
        route: str = "",
        tenant: bytes = b"",
        ticket: bytes = b"",
        again: bool = False,
    ) -> bool:
        """Tell whether a new request is rejected; if not, it counts as one of the pool's.

        `again` means that its client says it is a repeat.
        """
        shed = pool.budget.shed_ratio
        if self.closing or pool.closing:
            return self.reject_because(RejectionReason.STOPPING)
        if shed and self.random() < shed:
            return self.reject_because(RejectionReason.LATE)
        if not self.budget.may_remember(len(self.ids), 0):
            return self.reject_because(RejectionReason.REMEMBERED)
        if not pool.budget.requests.acquire():
            return self.reject_because(RejectionReason.IN_FLIGHT)
        if (pool.limiters or pool.request_limiters) and not pool.admit(
            route, tenant, ticket, again
        ):
            pool.budget.requests.release()
            return self.reject_because(RejectionReason.LIMIT)
        return False

    def reject_because(self, reason: RejectionReason) -> bool:
        """Count a rejection and keep its reason for the log; return True."""
        self.rejection_reason = reason
        log.counters[f"rejected_{reason}"] += 1
        return True

    def deadline(self, arrived_at: int, timeout: int) -> int:
        """Return when a request must end, so that its client has the response in time.

        No request outlives the process.
        """
        margin = self.loop.deadline_margin()
        return min(arrived_at + timeout, self.stop_deadline or arrived_at + timeout) - margin

    # Reload.

    async def reload(self) -> None:
        """Read the configuration again and apply it; an invalid one changes nothing."""
        log.counters["reloads"] += 1
        try:
            # In a thread: a file with thousands of routes takes long to read and check.
            new = (
                await anyio.to_thread.run_sync(self.read_config)
                if self.spec.routed
                else self.read_config()
            )
        except ConfigFault as fault:
            log.warning("configuration_rejected", fault=fault)
            return
        except Exception:  # a bug in reading it must not end the process
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
            else {"discovery": address_text(pool.discovery) for pool in new.pools.values()}
        )
        log.info("configuration_applied", **discovery, kept_till_restart=kept)

    def apply_platform_settings(self, new: Spec) -> None:
        """Apply a platform's file to its one pool, without returning to the event loop between."""
        before, self.spec = self.spec, self.keep_until_restart(new)
        self.warn_ignored_settings()
        for name, pool in self.pools.items():
            # `known` is used at the start only; from then on discovery sends the list.
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
        """Log the settings that this build does not implement."""
        if self.spec.not_honoured:
            log.warning("settings_ignored", keys=",".join(self.spec.not_honoured))

    def keep_until_restart(self, new: Spec) -> Spec:
        """Return the new configuration with the old values of keys that need a restart."""
        old = self.spec
        beside = {name: new.beside.get(name, kept) for name, kept in old.beside.items()}
        fleet = new.fleet.kept(old.fleet) if new.fleet and old.fleet else old.fleet
        return replace(
            new, beside=beside, fleet=fleet, **{key: getattr(old, key) for key in KEPT_TILL_RESTART}
        )

    def apply_operator_config(self, new: Spec) -> None:
        """Apply an operator's file, without returning to the event loop between."""
        before, self.spec = self.spec, new
        self.budget.resize(reserved_descriptors(new))
        removed = [
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
        for pool in removed:
            self.draining_pools.add(pool)
            log.info("pool_draining", pool=pool.name, out=pool.in_flight)
            pool.close(lambda pool=pool: self.draining_pools.discard(pool))  # type: ignore[misc]

    # Periodic work.

    def close_expired(self) -> None:
        """Close expired connections everywhere, every SWEEP_INTERVAL."""
        self.loop.call_at(self.loop.clock() + SWEEP_INTERVAL, self.loop, self.close_expired)
        for pool in (*self.pools.values(), *self.draining_pools):
            pool.close_expired()
        for frontend in self.frontends:
            frontend.close_expired()

    def on_gc(self, phase: str, _: dict[str, int]) -> None:
        """Measure how long a garbage collection stops the loop."""
        if phase == "start":
            self.gc_started_at = time.monotonic_ns()
        else:
            self.longest_gc_pause = max(
                self.longest_gc_pause, time.monotonic_ns() - self.gc_started_at
            )

    def log_figures(self) -> None:
        """Log the metrics of the process and its pools, and check the count of attempts."""
        self.loop.call_at(self.loop.clock() + METRICS_INTERVAL, self.loop, self.log_figures)
        pools = (*self.pools.values(), *self.draining_pools)
        for pool in pools:
            log.invariant(
                pool.count_in_flight() == pool.policy.selector.in_flight,
                "the policy's count of attempts is that of the connections",
            )
            if self.spec.routed:
                log.info("pool", pool=pool.name, **pool.budget.metrics(), **pool.counts)
        log.info(
            "figures",
            out=sum(pool.in_flight for pool in pools),
            **self.frontend_metrics(),
            links=self.budget.connections.used,
            timers=len(self.loop.timers),
            ids=len(self.ids),
            memory_mb=resident_bytes() >> 20,
            request_kb=self.budget.request_bytes.used >> 10,
            response_kb=self.budget.bodies.used >> 10,
            lag_ms=self.loop.max_lag // MS,
            collect_ms=self.longest_gc_pause // MS,
            cpu_s=round(time.process_time(), 2),
            **log.counters,
        )
        self.loop.max_lag = self.longest_gc_pause = 0
        used = {
            (endpoint.address, endpoint.started)
            for pool in pools
            for endpoint in pool.endpoints.values()
        }
        self.warm_up_pacers = {
            run: sent for run, sent in self.warm_up_pacers.items() if run in used
        }

    # Signals and shutdown.

    async def handle_signals(self) -> None:
        """Reload on SIGHUP and shut down on SIGTERM or SIGINT.

        Runs until the end: a signal without a handler would end the process at once.
        """
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    await self.reload()
                else:
                    self.stop()

    def stop(self) -> None:
        """Begin the graceful shutdown, once."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.terminate, self.loop.task_group.cancel_scope.cancel)

    def in_flight(self) -> int:
        """Count the requests without a final response."""
        return sum(pool.in_flight for pool in (*self.pools.values(), *self.draining_pools))

    async def terminate(self) -> None:
        """Shut down: serve connected clients for as long as possible, then close them.

        Clients keep to the connections they have, the next process does not start earlier if this
        one ends early, and there may be no other balancer to serve them meanwhile.
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
            any(frontend.has_clients() for frontend in self.frontends)
            and loop.clock() < self.stop_deadline - CLOSING_TIME
        ):
            await anyio.sleep(0.01)
        self.closing = True
        for frontend in self.frontends:
            frontend.close_idle()
        while self.in_flight() or any(
            frontend.has_pending_responses() for frontend in self.frontends
        ):
            if loop.clock() > self.stop_deadline:
                break
            await anyio.sleep(0.01)
        if self.fleet:
            self.fleet.announce_leave()
        log.info("stopped", out=self.in_flight(), **self.counters())
        loop.task_group.cancel_scope.cancel()

    def frontend_metrics(self) -> dict[str, int]:
        """Return the metrics of all frontends."""
        return {
            name: count for frontend in self.frontends for name, count in frontend.metrics().items()
        }

    def counters(self) -> dict[str, Any]:
        """Return all counters, with those of the pools added up."""
        counts = Counter(log.counters)
        if self.spec.routed:
            for pool in (*self.pools.values(), *self.draining_pools):
                counts.update(pool.counts)
        return dict(counts)

    async def serve(self, listeners: list[socket.socket]) -> None:
        """Run until `terminate` has finished."""
        loop = self.loop
        async with anyio.create_task_group() as loop.task_group:
            loop.spawn(self.handle_signals, loop.task_group.cancel_scope.cancel)
            for pool in self.pools.values():
                pool.start()
            if self.fleet:
                self.fleet.start()
            loop.call_at(loop.clock() + SWEEP_INTERVAL, loop, self.close_expired)
            for frontend in self.frontends:
                frontend.start(listeners if frontend is self.frontends[0] else [])
            loop.call_at(loop.clock() + METRICS_INTERVAL, loop, self.log_figures)
            # What exists now stays: collecting it again and again would only stop the loop.
            gc.callbacks.append(self.on_gc)
            gc.freeze()
            gc.set_threshold(10_000, 20, 50)
            loop.task_group.start_soon(loop.run_timers)
