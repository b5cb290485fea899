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
from whinpier.runtime.event_loop import MS, Loop
from whinpier.runtime.pool import Peer, PendingRequest, Pool, Watch
from whinpier.runtime.resource_budget import Budget, Part, spare

STILL_COMING = 6 * SECOND // 10  # after SIGTERM new connections go on coming for up to 0.4 s
# After SIGTERM nothing ends the process sooner than the longest timeout and 0.7 s more. The last
# tenth of that is for a late loop, and what comes before it for answering what is out, with no more
# taken.
LONGEST = 3 * SECOND  # of a timeout, as it counts for that
AFTERWARDS, CLOSING = 6 * SECOND // 10, 4 * SECOND // 10
SWEEP = (
    SECOND // 4
)  # between looks at what waits too long: what is owed within 3 s is given after 2
FIGURES = 10 * SECOND  # between lines of figures


class Front(Protocol):
    """A protocol's side towards clients."""

    def start(self, listeners: list[socket.socket]) -> None: ...

    def sweep(self) -> None: ...

    def anyone(self) -> bool: ...

    def close_idle(self) -> None: ...

    def has_pending_responses(self) -> bool: ...

    def figures(self) -> dict[str, int]: ...


class Fleet(Protocol):
    """What knows the other processes; pools are told of them by it."""

    def start(self) -> None: ...

    def follow(self, spec: Any) -> None: ...

    def leave(self) -> None: ...

    def announce_leave(self) -> None: ...


class Wire(Protocol):
    """A protocol, as the life of the process puts it together."""

    def fronts(self, life: Life) -> list[Front]:
        """The first of them takes the listeners of the process."""

    def reroute(self, fronts: list[Front], life: Life) -> None: ...

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer: ...

    def watch(self, pool: Pool) -> Watch: ...


class Life:
    """One process."""

    def __init__(
        self,
        spec: Spec,
        wire: Wire,
        reread: Callable[[], Spec],
        changed: Callable[[Spec, Spec], Iterable[str]],
    ) -> None:
        self.spec, self.wire, self.reread, self.changed = spec, wire, reread, changed
        self.budget = Budget(spec.sockets, spec.memory, spec.isolate, spare(spec))
        self.loop = Loop(self.budget.judge)
        self.ids: dict[
            bytes | int, PendingRequest
        ] = {}  # of requests till the end of their timeout, answered or not
        self.cold: dict[
            tuple[Address, int], Pacer
        ] = {}  # when a run of an upstream is due one, of all pools
        self.stopping, self.closing, self.stop_by = False, False, 0
        self.aside = False  # its front is to send nobody, though it serves who comes
        self.stopped, self.collect_from = 0, 0
        self.chance = Random(spec.seed)
        self.pools: dict[str, Pool] = {}
        self.say_not_honoured()
        self.going: set[Pool] = set()  # pools that finish what they have
        for pool in spec.pools.values():
            self.add(pool)
        first = next(iter(self.pools.values()))
        self.random = self.chance.random if spec.routed else first.policy.selector.random
        self.budget.idle = self.idle
        self.fronts = wire.fronts(self)
        self.fleet: Fleet | None = None

    def add(self, spec: PoolSpec) -> Pool:
        seed = self.chance.getrandbits(64) if self.spec.routed else self.spec.seed
        pool = Pool(self, spec, seed, Counter() if self.spec.routed else log.counters)
        self.pools[spec.name] = pool
        return pool

    # What pools ask for.

    def peer(self, pool: Pool, entry: Entry, number: int) -> Peer:
        return self.wire.peer(pool, entry, number)

    def watch(self, pool: Pool) -> Watch | None:
        return self.wire.watch(pool) if pool.spec.discovery else None

    def shared(self, entry: Entry) -> Pacer | None:
        """When one run of an upstream is due a request while it is cold, for all pools that list it."""
        # Guards against two pools that each keep a cold upstream's bound, and together push it
        # over.
        if not self.spec.routed:
            return None
        return self.cold.setdefault((entry.dial, entry.started), Pacer(self.loop.clock()))

    def since(self, dial: Address) -> int:
        """Since when an upstream that a file newly names counts as started: now, or as another pool says."""
        known = (
            peer.started
            for pool in self.pools.values()
            for peer in pool.held.values()
            if peer.address == dial
        )
        return next(known, self.loop.clock())

    def idle(self) -> Iterable[tuple[int, Part, Callable[[], None]]]:
        for pool in (*self.pools.values(), *self.going):
            for peer in pool.peers():
                for since, close in peer.unused():
                    yield since, pool.part, close

    def ready(self) -> bool:
        """Whether the front may send clients."""
        return not (self.stopping or self.aside) and any(
            pool.ready() for pool in self.pools.values()
        )

    # What fronts ask for.

    def no_room(
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
        shed = pool.part.shed
        turned_back = self.closing or pool.leaving or bool(shed and self.random() < shed)
        if turned_back or not pool.part.requests.take():
            return True
        if (pool.gates or pool.further) and not pool.passes(route, tenant, ticket, again):
            pool.part.requests.give()
            return True
        return False

    def ends(self, came: int, timeout: int) -> int:
        """When a request is over here: its client must have the answer, and the process must
        still be there.
        """
        margin = self.loop.margin()
        return min(came + timeout, self.stop_by or came + timeout) - margin

    # A new configuration.

    async def configure(self) -> None:
        """SIGHUP: read the configuration again; a faulty one changes nothing."""
        log.counters["reloads"] += 1
        try:
            # Guards against the loop standing still while a file of thousands of routes is read and
            # checked.
            new = await anyio.to_thread.run_sync(self.reread) if self.spec.routed else self.reread()
        except ConfigFault as fault:
            log.warning("configuration_rejected", fault=fault)
            return
        except Exception:  # a fault of ours must not end the process either
            log.exception("configuration_rejected")
            return
        kept = ",".join(self.changed(self.spec, new))
        if new.routed:
            self.apply(self.as_run(new))
        else:
            self.follow(new)
        discovery = (
            {}
            if new.routed
            else {"discovery": "%s:%d" % (pool.discovery or ("", 0)) for pool in new.pools.values()}
        )
        log.info("configuration_applied", **discovery, kept_till_restart=kept)

    def follow(self, new: Spec) -> None:
        """The platform's way: its one pool goes on by the new settings, in one step between two events."""
        before, self.spec = self.spec, self.as_run(new)
        self.say_not_honoured()
        for name, pool in self.pools.items():
            # `known` is the list for a start; from then on discovery tells it.
            spec = replace(
                new.pools[name], known=before.pools[name].known, seq=before.pools[name].seq
            )
            if keys := differs(before.pools[name], spec):
                old, now = before.pools[name].settings, spec.settings
                keys += [key for key in sorted({*old, *now}) if old.get(key) != now.get(key)]
                pool.change(spec)
                log.info(
                    "settings_changed", keys=",".join(key for key in keys if key != "settings")
                )

    def say_not_honoured(self) -> None:
        if self.spec.not_honoured:
            log.warning("settings_ignored", keys=",".join(self.spec.not_honoured))

    def as_run(self, new: Spec) -> Spec:
        """A new file as it can be run by: what waits for a restart is as it was."""
        old = self.spec
        beside = {name: new.beside.get(name, kept) for name, kept in old.beside.items()}
        fleet = new.fleet.kept(old.fleet) if new.fleet and old.fleet else old.fleet
        return replace(
            new, beside=beside, fleet=fleet, **{key: getattr(old, key) for key in KEPT_TILL_RESTART}
        )

    def apply(self, new: Spec) -> None:
        """Pools and routes as the new file has them, in one step between two events of the loop."""
        before, self.spec = self.spec, new
        self.budget.resize(spare(new))
        leaving = [
            self.pools.pop(name)
            for name in list(self.pools)
            if name not in new.pools or new.pools[name].protocol != before.pools[name].protocol
        ]
        for name, spec in new.pools.items():
            if name not in self.pools:
                self.add(spec).start()
                log.info("pool_added", pool=name)
            elif keys := differs(before.pools[name], spec):
                self.pools[name].change(spec)
                log.info("pool_changed", pool=name, keys=",".join(keys))
        self.wire.reroute(self.fronts, self)
        if self.fleet:
            self.fleet.follow(new.fleet)
        for pool in leaving:
            self.going.add(pool)
            log.info("pool_draining", pool=pool.name, out=pool.out)
            pool.leave(lambda pool=pool: self.going.discard(pool))  # type: ignore[misc]

    # The process.

    def sweep(self) -> None:
        """Every wait has an end."""
        self.loop.at(self.loop.clock() + SWEEP, self.loop, self.sweep)
        for pool in (*self.pools.values(), *self.going):
            pool.sweep()
        for front in self.fronts:
            front.sweep()

    def collecting(self, phase: str, _: dict[str, int]) -> None:
        """Note how long a garbage collection stops the loop."""
        if phase == "start":
            self.collect_from = time.monotonic_ns()
        else:
            self.stopped = max(self.stopped, time.monotonic_ns() - self.collect_from)

    def figures(self) -> None:
        self.loop.at(self.loop.clock() + FIGURES, self.loop, self.figures)
        pools = (*self.pools.values(), *self.going)
        for pool in pools:
            log.invariant(
                pool.on_wire() == pool.policy.selector.in_flight,
                "what is counted as out is out on a socket",
            )
            if self.spec.routed:
                log.info("pool", pool=pool.name, **pool.part.figures(), **pool.counts)
        log.info(
            "figures",
            out=sum(pool.out for pool in pools),
            **self.told(),
            links=self.budget.links.used,
            timers=len(self.loop.timers),
            lag_ms=self.loop.lag // MS,
            collect_ms=self.stopped // MS,
            cpu_s=round(time.process_time(), 2),
            **log.counters,
        )
        self.loop.lag = self.stopped = 0
        used = {(peer.address, peer.started) for pool in pools for peer in pool.held.values()}
        self.cold = {run: sent for run, sent in self.cold.items() if run in used}

    async def heed(self) -> None:
        """Signals, until the end: none of them may fall back to ending the process at once."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    await self.configure()
                else:
                    self.stop()

    def stop(self) -> None:
        """End in order, once."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.terminate, self.loop.task_group.cancel_scope.cancel)

    def out(self) -> int:
        return sum(pool.out for pool in (*self.pools.values(), *self.going))

    async def terminate(self) -> None:
        """SIGTERM: serve those who are connected for as long as may be, then close behind each answer.

        Guards against clients with nobody to serve them: they stay with the connections they
        have, the next run does not start sooner for an early end, and there may be no other
        balancer.
        """
        loop = self.loop
        log.info("stopping", out=self.out(), **self.told())
        longest = max(
            request_class.timeout
            for spec in self.spec.pools.values()
            for request_class in spec.request_classes
        )
        self.stop_by = loop.clock() + min(longest, LONGEST) + AFTERWARDS
        if self.fleet:
            self.fleet.leave()
        for request in list(self.ids.values()):
            request.pool.shorten(request, self.stop_by - loop.margin())
        await anyio.sleep(STILL_COMING / SECOND)
        while (
            any(front.anyone() for front in self.fronts) and loop.clock() < self.stop_by - CLOSING
        ):
            await anyio.sleep(0.01)
        self.closing = True
        for front in self.fronts:
            front.close_idle()
        while self.out() or any(front.has_pending_responses() for front in self.fronts):
            if loop.clock() > self.stop_by:
                break
            await anyio.sleep(0.01)
        if self.fleet:
            self.fleet.announce_leave()
        log.info("stopped", out=self.out(), **self.total())
        loop.task_group.cancel_scope.cancel()

    def told(self) -> dict[str, int]:
        return {name: count for front in self.fronts for name, count in front.figures().items()}

    def total(self) -> dict[str, Any]:
        """All counters, those of the pools added up."""
        counts = Counter(log.counters)
        if self.spec.routed:
            for pool in (*self.pools.values(), *self.going):
                counts.update(pool.counts)
        return dict(counts)

    async def serve(self, listeners: list[socket.socket]) -> None:
        """Run until told to stop."""
        loop = self.loop
        async with anyio.create_task_group() as loop.task_group:
            loop.spawn(self.heed, loop.task_group.cancel_scope.cancel)
            for pool in self.pools.values():
                pool.start()
            if self.fleet:
                self.fleet.start()
            loop.at(loop.clock() + SWEEP, loop, self.sweep)
            for front in self.fronts:
                front.start(listeners if front is self.fronts[0] else [])
            loop.at(loop.clock() + FIGURES, loop, self.figures)
            # What is there by now stays: collecting it over and over would only stop the loop.
            gc.callbacks.append(self.collecting)
            gc.freeze()
            gc.set_threshold(10_000, 20, 50)
            loop.task_group.start_soon(loop.ring)
