"""Connects outlier ejection to the pools: feeds it their attempts, and applies its ejections.

Owns the mapping between the two names of an upstream: its host in a pool, and its key in the fleet,
which changes when the upstream restarts. Renews what operators ejected. Invariants: a pool ejects only
what the coordinator has ejected; an attempt that says nothing about its upstream is not counted.
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
from whinpier.fleet.outliers.ejection import ALL_MEMBERS, LEASE_MARGIN_NS, EjectionCoordinator
from whinpier.fleet.outliers.model import Event, MemberCounts, UpstreamKey
from whinpier.policy.decaying_sum import SECOND
from whinpier.policy.model import Outcome
from whinpier.runtime.pool import Endpoint, Pool, PoolAttempt

if TYPE_CHECKING:
    from whinpier.runtime.event_loop import EventLoop

FAILURES = frozenset((Outcome.FAILED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT))
NOT_OBSERVED = -1.0  # latency ratio of an attempt that says nothing about the upstream
KEY_SIZE_BYTES = 4
NS_PER_MS = 1_000_000


class UpstreamState(StrEnum):
    """Progress of an ejection, as the control socket reports it."""

    EJECTED = "rests"
    RETURNING = "comes back"
    PROPOSED = "voted on"
    SUSPECTED = "heard"


def upstream_key(endpoint: Endpoint) -> int:
    """Return the key of one incarnation of an upstream, the same at every member."""
    text = f"{endpoint.host}/{endpoint.started}".encode()
    digest = hashlib.blake2b(text, digest_size=KEY_SIZE_BYTES, person=b"upstream").digest()
    return int.from_bytes(digest, "big")


class PoolObserver:
    """Reports the endpoints and attempts of one pool to the coordinator."""

    def __init__(self, coordinator: EjectionCoordinator, pool: Pool, loop: EventLoop) -> None:
        """Start without endpoints; `update_endpoints` reads them."""
        self.coordinator = coordinator
        self.pool = pool
        self.loop = loop
        self.pool_id = pool_hash(pool.name)
        self.keys: dict[str, int] = {}
        self.hosts: dict[int, str] = {}
        self.endpoints_version = -1

    def update_endpoints(self) -> None:
        """Pass the pool's endpoints to the coordinator, if they have changed."""
        if self.endpoints_version == self.pool.list_changes:
            return
        self.endpoints_version = self.pool.list_changes
        self.keys = {host: upstream_key(endpoint) for host, endpoint in self.pool.endpoints.items()}
        self.hosts = {key: host for host, key in self.keys.items()}
        zones = {
            self.keys[host]: self.zone_id(endpoint)
            for host, endpoint in self.pool.endpoints.items()
        }
        self.coordinator.update_endpoints(self.pool_id, zones)

    def zone_id(self, endpoint: Endpoint) -> int:
        """Return the id of an endpoint's zone in the fleet; 0: it is in none."""
        names = self.pool.spec.zones
        return pool_hash("zone/" + names[endpoint.zone]) if endpoint.zone < len(names) else 0

    def usual_ns(self) -> float:
        """Return the highest mean latency of the pool's request classes, in nanoseconds."""
        latencies = [
            request_class.statistics.mean_latency
            for request_class in self.pool.spec.request_classes
        ]
        return float(max(latencies))

    def on_attempt_started(self, attempt: PoolAttempt) -> None:
        """Report an attempt that was sent."""
        key = self.keys.get(attempt.endpoint.host)
        if key is not None:
            self.coordinator.on_attempt_started(self.pool_id, key, id(attempt), self.loop.clock())

    def on_attempt_finished(self, attempt: PoolAttempt) -> None:
        """Report an attempt that has its outcome."""
        key = self.keys.get(attempt.endpoint.host)
        if key is None:
            return
        ratio = self.latency_ratio(attempt)
        self.coordinator.on_attempt_finished(
            self.pool_id, key, id(attempt), ratio, self.loop.clock()
        )

    def latency_ratio(self, attempt: PoolAttempt) -> float:
        """Return the latency in multiples of the usual one; a failure counts as MAX_LATENCY_RATIO."""
        if attempt.outcome in FAILURES:
            return MAX_LATENCY_RATIO
        ratio: float = attempt.duration / attempt.request.request_class.statistics.mean_latency
        # A cancelled attempt says something about the upstream only if it took longer than usual.
        is_late_cancel = attempt.outcome == Outcome.CANCELLED and ratio > 1.0
        if attempt.outcome == Outcome.SUCCEEDED or is_late_cancel:
            return ratio
        return NOT_OBSERVED


class OutlierMonitor:
    """Runs outlier ejection for all pools that the fleet shares."""

    def __init__(
        self,
        config: EjectionConfig,
        members: Membership,
        loop: EventLoop,
        rng: Any,
        on_event: Callable[[str, dict[str, Any]], None],
    ) -> None:
        """`on_event` is called with the name and fields of each event, for log and observers."""
        self.members = members
        self.loop = loop
        self.on_event = on_event
        fencing_interval_ns = config.lease_ns + LEASE_MARGIN_NS
        self.coordinator = EjectionCoordinator(
            config, members.metadata.id, loop.clock(), rng, fencing_interval_ns
        )
        self.observers: dict[int, PoolObserver] = {}
        # End times of the ejections that operators asked for, by pool and host.
        self.operator_ejections: dict[tuple[str, ...], int] = {}
        # For those not ejected at this member: the time from which it proposes them.
        self.propose_from: dict[tuple[str, ...], int] = {}

    def update_pools(self, pools: Iterable[Pool], shared: tuple[str, ...]) -> None:
        """Observe those of the given pools whose names are in `shared`; drop all others."""
        observers: dict[int, PoolObserver] = {}
        for pool in pools:
            if pool.name not in shared:
                pool.attempt_observer = None
                continue
            pool_id = pool_hash(pool.name)
            observer = self.observers.get(pool_id)
            if observer is None or observer.pool is not pool:
                observer = PoolObserver(self.coordinator, pool, self.loop)
            observers[pool_id] = observer
            pool.attempt_observer = observer
        for pool_id in self.observers.keys() - observers.keys():
            self.coordinator.update_endpoints(pool_id, {})
        self.observers = observers

    def member_counts(self, pool: int) -> MemberCounts:
        """Return how many members share a pool, this one included."""
        sharing = [
            member for member in self.members.members.values() if pool in member.metadata.pools
        ]
        reachable = 1 + sum(member.connected for member in sharing)
        unreachable = sum(member.unreachable for member in sharing)
        return MemberCounts(reachable + unreachable, reachable)

    def usual_ns(self, pool: int) -> float:
        """Return the usual latency of a pool, in nanoseconds."""
        return self.observers[pool].usual_ns()

    def on_message(self, sender: int, packed: EjectionMessage) -> None:
        """Handle a message of another member, unless its pool is not observed here."""
        observer = self.observers.get(packed.pool)
        if observer is not None:
            observer.update_endpoints()
            self.coordinator.on_message(packed, sender, observer.usual_ns(), self.loop.clock())
            self.apply_events()

    def on_timer(self, now: int) -> None:
        """Refresh endpoints, advance the coordinator and apply its events."""
        self.coordinator.own_id = self.members.metadata.id
        for observer in self.observers.values():
            observer.update_endpoints()
        self.propose_operator_ejections(now)
        self.cancel_lifted_ejections()
        self.coordinator.on_timer(now, self.usual_ns, self.member_counts)
        self.apply_events()

    def propose_operator_ejections(self, now: int) -> None:
        """Propose the ejections of operators that are not in effect here and not yet proposed."""
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
            self.propose_operator_ejection(name, UpstreamKey(observer.pool_id, key), until, now)

    def propose_operator_ejection(
        self, name: tuple[str, ...], upstream: UpstreamKey, until: int, now: int
    ) -> None:
        """Propose one ejection after a random wait, so that not all members propose at once."""
        if upstream in self.coordinator.proposals:
            return
        if upstream in self.coordinator.ejected_until:
            self.propose_from.pop(name, None)
            return
        # Drawn even if the wait has begun already, to keep the order of draws in seeded runs.
        wait = int(self.coordinator.random() * SECOND)
        if now < self.propose_from.setdefault(name, now + wait):
            return
        if not self.coordinator.propose_ejection(*upstream, now, until - now, True):
            self.propose_from[name] = now + SECOND

    def cancel_lifted_ejections(self) -> None:
        """Stop renewing ejections that operators have lifted."""
        for upstream, proposal in list(self.coordinator.proposals.items()):
            observer = self.observers.get(upstream.pool)
            if observer is None or not proposal.is_operator_request:
                continue
            host = observer.hosts.get(upstream.key, "")
            if (observer.pool.name, host) not in self.operator_ejections:
                self.coordinator.cancel_proposal(*upstream)

    def apply_events(self) -> None:
        """Apply the coordinator's events to the pools and pass them to the log."""
        events = self.coordinator.events
        self.coordinator.events = []
        for event in events:
            self.apply_event(event)

    def apply_event(self, event: Event) -> None:
        """Eject an upstream from its pool or take it back, and pass the event on with names."""
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
        self.on_event(event.name, fields)

    def take_messages(self) -> list[tuple[int, EjectionMessage]]:
        """Return and clear the messages to send, each after its recipient's id."""
        queued = self.coordinator.out
        self.coordinator.out = []
        addressed: list[tuple[int, EjectionMessage]] = []
        for recipient, packed in queued:
            if recipient == ALL_MEMBERS:
                addressed += [(member, packed) for member in self.members_sharing(packed.pool)]
            else:
                addressed.append((recipient, packed))
        return addressed

    def members_sharing(self, pool: int) -> list[int]:
        """Return the ids of the reachable other members that share a pool."""
        return [
            member.id
            for member in self.members.members.values()
            if member.connected and pool in member.metadata.pools
        ]

    def rows(self) -> list[dict[str, Any]]:
        """Return the upstreams that are ejected, returning, proposed or suspected, as rows."""
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
        """Return an upstream's row, with the keys of the control socket."""
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
        """Return the progress of an upstream's ejection."""
        if upstream in self.coordinator.ejected_until:
            return UpstreamState.EJECTED
        if upstream in self.coordinator.returning_at:
            return UpstreamState.RETURNING
        if upstream in self.coordinator.proposals:
            return UpstreamState.PROPOSED
        return UpstreamState.SUSPECTED
