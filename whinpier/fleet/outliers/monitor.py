"""Ties outlier ejection to the pools: attempts go in, ejections come out.

Owns the two names of an upstream: its host in a pool, and its key in the fleet, which a restart of the
upstream changes. Keeps up what operators ejected. Ejects nothing in a pool that the coordinator has not
ejected, and reports no answers that no upstream gave.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from whinpier.fleet.membership.membership import Membership
from whinpier.fleet.messages import EjectionMessage, pool_hash
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.detector import MAX_LATENCY_RATIO
from whinpier.fleet.outliers.ejection import ALL_MEMBERS, LEASE_MARGIN, EjectionCoordinator
from whinpier.fleet.outliers.model import Event, MemberCounts, UpstreamKey
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome
from whinpier.runtime.pool import Endpoint, Pool, PoolAttempt

if TYPE_CHECKING:
    from whinpier.runtime.event_loop import EventLoop

FAILURES = frozenset((Outcome.FAILED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT))
NOT_OBSERVED = -1.0  # in the place of a latency ratio: the attempt says nothing of the upstream
KEY_SIZE = 4  # bytes
NS_PER_MS = 1_000_000


class UpstreamState(StrEnum):
    """How far an ejection is, as the control socket tells it."""

    EJECTED = "rests"
    RETURNING = "comes back"
    PROPOSED = "voted on"
    SUSPECTED = "heard"


def upstream_key(endpoint: Endpoint) -> int:
    """Return the key of one run of an upstream, the same at every member."""
    text = f"{endpoint.host}/{endpoint.started}".encode()
    digest = hashlib.blake2b(text, digest_size=KEY_SIZE, person=b"upstream").digest()
    return int.from_bytes(digest, "big")


class PoolObserver:
    """Observes the attempts of one pool for the coordinator."""

    def __init__(self, coordinator: EjectionCoordinator, pool: Pool, loop: EventLoop) -> None:
        """Start with no endpoints; `update_endpoints` reads them."""
        self.coordinator = coordinator
        self.pool = pool
        self.loop = loop
        self.mark = pool_hash(pool.name)
        self.keys: dict[str, int] = {}
        self.hosts: dict[int, str] = {}
        self.endpoints_version = -1

    def update_endpoints(self) -> None:
        """Tell the coordinator the pool's endpoints, if they have changed."""
        if self.endpoints_version == self.pool.list_changes:
            return
        self.endpoints_version = self.pool.list_changes
        self.keys = {host: upstream_key(endpoint) for host, endpoint in self.pool.endpoints.items()}
        self.hosts = {key: host for host, key in self.keys.items()}
        zones = {
            self.keys[host]: self.zone_mark(endpoint)
            for host, endpoint in self.pool.endpoints.items()
        }
        self.coordinator.update_endpoints(self.mark, zones)

    def zone_mark(self, endpoint: Endpoint) -> int:
        """Return the fleet's number for an upstream's zone; 0: it is in none."""
        names = self.pool.spec.zones
        return pool_hash("zone/" + names[endpoint.zone]) if endpoint.zone < len(names) else 0

    def usual_ns(self) -> float:
        """Return the usual latency of the pool, the longest of its request classes."""
        known = [
            request_class.statistics.mean_latency
            for request_class in self.pool.spec.request_classes
        ]
        return float(max(known))

    def on_attempt_started(self, sent: PoolAttempt) -> None:
        """Note an attempt that was sent."""
        key = self.keys.get(sent.endpoint.host)
        if key is not None:
            self.coordinator.on_attempt_started(self.mark, key, id(sent), self.loop.clock())

    def on_attempt_finished(self, sent: PoolAttempt) -> None:
        """Note an attempt that has its outcome."""
        key = self.keys.get(sent.endpoint.host)
        if key is None:
            return
        ratio = self.latency_ratio(sent)
        self.coordinator.on_attempt_finished(self.mark, key, id(sent), ratio, self.loop.clock())

    def latency_ratio(self, sent: PoolAttempt) -> float:
        """Return how late an attempt ended; a failure is as bad as the latest answer."""
        if sent.outcome in FAILURES:
            return MAX_LATENCY_RATIO
        ratio: float = sent.duration / sent.request.request_class.statistics.mean_latency
        # A cancelled attempt says something only where it had taken longer than usual.
        is_late_cancel = sent.outcome == Outcome.CANCELLED and ratio > 1.0
        if sent.outcome == Outcome.SUCCEEDED or is_late_cancel:
            return ratio
        return NOT_OBSERVED


class OutlierMonitor:
    """Runs outlier ejection for all pools that the fleet shares."""

    def __init__(
        self,
        config: EjectionConfig,
        members: Membership,
        loop: EventLoop,
        chance: Any,
        tell: Callable[[str, dict[str, Any]], None],
    ) -> None:
        """`tell` takes what has happened, for the log and for whoever watches."""
        self.members = members
        self.loop = loop
        self.tell = tell
        fencing_interval_ns = config.lease_ns + LEASE_MARGIN
        self.coordinator = EjectionCoordinator(
            config, members.metadata.id, loop.clock(), chance, fencing_interval_ns
        )
        self.observers: dict[int, PoolObserver] = {}
        # What operators ejected, by pool and host: until when.
        self.operator_ejections: dict[tuple[str, ...], int] = {}
        # Of these, what is not ejected here: from when on this member proposes it.
        self.propose_from: dict[tuple[str, ...], int] = {}

    def update_pools(self, pools: Iterable[Pool], shared: tuple[str, ...]) -> None:
        """Observe these pools, as far as the fleet shares them."""
        found: dict[int, PoolObserver] = {}
        for pool in pools:
            if pool.name not in shared:
                pool.attempt_observer = None
                continue
            mark = pool_hash(pool.name)
            observer = self.observers.get(mark)
            if observer is None or observer.pool is not pool:
                observer = PoolObserver(self.coordinator, pool, self.loop)
            found[mark] = observer
            pool.attempt_observer = observer
        for mark in self.observers.keys() - found.keys():
            self.coordinator.update_endpoints(mark, {})
        self.observers = found

    def member_counts(self, pool: int) -> MemberCounts:
        """Return how many members share a pool, this one among them."""
        sharing = [
            member for member in self.members.members.values() if pool in member.metadata.pools
        ]
        reachable = 1 + sum(member.connected for member in sharing)
        unreachable = sum(member.unreachable for member in sharing)
        return MemberCounts(reachable + unreachable, reachable)

    def usual_ns(self, pool: int) -> float:
        """Return the usual latency of a pool."""
        return self.observers[pool].usual_ns()

    def on_message(self, sender: int, packed: EjectionMessage) -> None:
        """Take a message of another member."""
        observer = self.observers.get(packed.pool)
        if observer is not None:
            observer.update_endpoints()
            self.coordinator.on_message(packed, sender, observer.usual_ns(), self.loop.clock())
            self.apply_events()

    def on_timer(self, now: int) -> None:
        """Let time pass."""
        self.coordinator.own_id = self.members.metadata.id
        for observer in self.observers.values():
            observer.update_endpoints()
        self.propose_operator_ejections(now)
        self.cancel_lifted_ejections()
        self.coordinator.on_timer(now, self.usual_ns, self.member_counts)
        self.apply_events()

    def propose_operator_ejections(self, now: int) -> None:
        """Propose what operators ejected and no member keeps up."""
        self.propose_from = {
            name: since
            for name, since in self.propose_from.items()
            if name in self.operator_ejections
        }
        for name, until in self.operator_ejections.items():
            observer = self.observers.get(pool_hash(name[0]))
            key = observer.keys.get(name[1]) if observer else None
            if observer is None or key is None:
                continue
            self.propose_operator_ejection(name, UpstreamKey(observer.mark, key), until, now)

    def propose_operator_ejection(
        self, name: tuple[str, ...], upstream: UpstreamKey, until: int, now: int
    ) -> None:
        """Propose one ejection after a wait drawn by chance, so that not all members ask at once."""
        if upstream in self.coordinator.proposals:
            return
        if upstream in self.coordinator.ejected_until:
            self.propose_from.pop(name, None)
            return
        # Drawn also where the wait has begun: the order of draws is part of a seeded run.
        wait = int(self.coordinator.random() * SECOND)
        if now < self.propose_from.setdefault(name, now + wait):
            return
        if not self.coordinator.propose_ejection(*upstream, now, until - now, True):
            self.propose_from[name] = now + SECOND

    def cancel_lifted_ejections(self) -> None:
        """Stop renewing what operators have lifted."""
        for upstream, proposal in list(self.coordinator.proposals.items()):
            observer = self.observers.get(upstream.pool)
            if observer is None or not proposal.is_operator_request:
                continue
            host = observer.hosts.get(upstream.key, "")
            if (observer.pool.name, host) not in self.operator_ejections:
                self.coordinator.cancel_proposal(*upstream)

    def apply_events(self) -> None:
        """Pass on what the coordinator decided, to pools and to the log."""
        events = self.coordinator.events
        self.coordinator.events = []
        for event in events:
            self.apply_event(event)

    def apply_event(self, event: Event) -> None:
        """Eject an upstream from its pool or take it back, and tell of it by its names."""
        observer = self.observers.get(event.fields["pool"])
        host = observer.hosts.get(event.fields["key"], "") if observer else ""
        if observer and host and event.name in ("ejection_started", "ejection_returning"):
            observer.pool.set_ejected(host, event.name == "ejection_started")
        fields = dict(event.fields)
        if "by" in fields:
            fields["by"] = self.members.name_of(fields["by"])
        fields["pool"] = observer.pool.name if observer else ""
        fields["upstream"] = host
        fields["key"] = f"{event.fields['key']:08x}"
        self.tell(event.name, fields)

    def take_messages(self) -> list[tuple[int, EjectionMessage]]:
        """Return the messages to be sent, each with its recipient."""
        queued = self.coordinator.out
        self.coordinator.out = []
        found: list[tuple[int, EjectionMessage]] = []
        for recipient, packed in queued:
            if recipient == ALL_MEMBERS:
                found += [(member, packed) for member in self.members_sharing(packed.pool)]
            else:
                found.append((recipient, packed))
        return found

    def members_sharing(self, pool: int) -> list[int]:
        """Return the other members that share a pool and are reachable."""
        return [
            member.id
            for member in self.members.members.values()
            if member.connected and pool in member.metadata.pools
        ]

    def rows(self) -> list[dict[str, Any]]:
        """Return what is ejected, or is about to be, for the control socket."""
        coordinator = self.coordinator
        known = {
            *coordinator.ejected_until,
            *coordinator.returning_at,
            *coordinator.proposals,
            *coordinator.observation_rounds,
        }
        now = self.loop.clock()
        rows = [self.row(upstream, now) for upstream in known]
        return sorted(rows, key=lambda row: (row["pool"], row["upstream"]))

    def row(self, upstream: UpstreamKey, now: int) -> dict[str, Any]:
        """Return one row; its keys are those of the control socket."""
        coordinator = self.coordinator
        observer = self.observers.get(upstream.pool)
        until = coordinator.ejected_until.get(upstream) or coordinator.returning_at.get(upstream, 0)
        count = coordinator.ejection_counts.get(upstream)
        return {
            "pool": observer.pool.name if observer else "",
            "upstream": observer.hosts.get(upstream.key, "") if observer else "",
            "state": self.state_of(upstream).value,
            "left_ms": max(0, until - now) // NS_PER_MS,
            "kept_up_here": upstream in coordinator.proposals,
            "times": count.times if count else 0,
            "slots": coordinator.slot_count(upstream.pool),
        }

    def state_of(self, upstream: UpstreamKey) -> UpstreamState:
        """Return how far the ejection of an upstream is."""
        if upstream in self.coordinator.ejected_until:
            return UpstreamState.EJECTED
        if upstream in self.coordinator.returning_at:
            return UpstreamState.RETURNING
        if upstream in self.coordinator.proposals:
            return UpstreamState.PROPOSED
        return UpstreamState.SUSPECTED
