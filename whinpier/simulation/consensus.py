"""The fleet's record on simulated time: voters agree, hundreds learn, over the model of the
network.

Each node is the lab's, with the real state machine of the record beside the real members, and a
disk that takes a while. Owns what is counted of it. Must never hand the record anything that a
process would not.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from typing import Any

from whinpier.fleet.consensus import node as raft
from whinpier.fleet.consensus.node import LEADER, PersistentState, RaftNode, unpack
from whinpier.fleet.membership.membership import Address
from whinpier.fleet.messages import LOG_PROGRESS_CHANNEL
from whinpier.fleet.rollouts.commands import (
    BudgetRule,
    CommandHeader,
    DrainCommand,
    EntryKind,
    SetBudget,
    encode,
)
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.simulation.clock import MS, SECOND
from whinpier.simulation.fleet import Fleet, Node
from whinpier.testbed.faults import Fault, Schedule
from whinpier.testbed.referee import Bounds

SYNC = 3 * MS  # until a disk has what it was given
TURN = SECOND // 4  # between looks, as processes have it


class RecordNode(Node):
    """One process that keeps or learns the record."""

    def __init__(
        self,
        fleet: RecordFleet,
        number: int,
        name: str,
        address: Address,
        recalled: list[Address] | None,
    ) -> None:
        self.record_fleet, self.machine = fleet, RolloutStateMachine()
        chance = Random(f"record/{fleet.schedule.seed}/{name}")
        self.agreement = RaftNode(
            name,
            PersistentState(disk_id=chance.getrandbits(62) | 1),
            self.machine,
            fleet.clock.now,
            chance,
        )
        self.agreement.add_record(raft.IDENTITY_RECORD, 0, self.agreement.disk_id)
        self.told: dict[str, tuple[int, int]] = {}
        self.syncing = False
        self.learned: dict[int, int] = {}  # when it had applied each line
        super().__init__(fleet, number, name, address, recalled)
        fleet.clock.after(int(chance.random() * TURN), self.turn)

    def turn(self) -> None:
        if not self.alive:
            return
        now = self.fleet.clock.now
        self.fleet.clock.after(TURN, self.turn)
        self.members.publish(LOG_PROGRESS_CHANNEL, self.agreement.announcement(0))
        if self.agreement.next_deadline() <= now:
            self.agreement.tick(now)
        self.begin()
        self.pass_on()

    def begin(self) -> None:
        voters = self.record_fleet.voters
        if self.agreement.cluster_id or self.name != voters[0]:
            return
        disks = {self.name: self.agreement.disk_id}
        for name in voters[1:]:
            disk, record = self.told.get(name, (0, 1))
            if record or not disk:
                return
            disks[name] = disk
        rules = SetBudget(CommandHeader(1, "model"), [BudgetRule("all", "balancers", 9)])
        self.agreement.bootstrap(
            raft.CLUSTER_ID_STRIDE, disks, [(EntryKind.SET_BUDGET, encode(rules))]
        )

    def pass_on(self) -> None:
        agreement, now = self.agreement, self.fleet.clock.now
        by_id = {one.id: one.metadata.name for one in self.members.members.values()}
        heard, self.members.received_consensus_messages = (
            self.members.received_consensus_messages,
            [],
        )
        for sender, talk in heard:
            if sender in by_id:
                agreement.receive(talk, by_id[sender], now)
        for sender, mark, contents in self.members.received_payloads:
            if mark == LOG_PROGRESS_CHANNEL and sender in by_id:
                record, disk, term, commit, leader, _ = unpack(contents)
                self.told[by_id[sender]] = disk, record
                agreement.now = max(agreement.now, now)
                agreement.on_commit_announced(by_id[sender], record, commit, term, leader)
        if agreement.next_deadline() <= now:
            agreement.tick(now)
        names = {
            one.metadata.name: one.id for one in self.members.members.values() if one.connected
        }
        talks = [(names[to], talk) for to, talk in agreement.take_messages() if to in names]
        if talks:
            self.members.send_consensus_messages(talks, now)
        if agreement.pending_records and not self.syncing:
            self.syncing = True
            self.fleet.clock.after(
                SYNC, self.synced, len(agreement.pending_records), agreement.records_issued
            )
        for index in range(len(self.learned) + 1, agreement.last_applied + 1):
            self.learned[index] = now
            self.members.publish(LOG_PROGRESS_CHANNEL, agreement.announcement(0))
        agreement.events = []
        super().pass_on()

    def synced(self, count: int, noted: int) -> None:
        self.syncing = False
        if self.alive:
            del self.agreement.pending_records[:count]
            self.agreement.on_records_synced(noted)
            self.pass_on()


class RecordFleet(Fleet):
    """A fleet whose first members vote."""

    def __init__(self, schedule: Schedule, voters: int) -> None:
        self.voters = [f"m{number}" for number in range(voters)]
        self.bytes: dict[int, Counter[int]] = defaultdict(Counter)  # by node: sent in each second
        super().__init__(schedule, bounds=Bounds(agree=5.0))

    def made(
        self, number: int, name: str, address: Address, recalled: list[Address] | None
    ) -> Node:
        return RecordNode(self, number, name, address, recalled)

    def carry(self, node: Node, address: Address, data: bytes) -> None:
        self.bytes[node.number][(self.clock.now - self.clock.start) // SECOND] += len(data)
        super().carry(node, address, data)

    def record_nodes(self) -> list[RecordNode]:
        return [node for node in self.nodes.values() if isinstance(node, RecordNode)]

    def leader(self) -> RecordNode:
        return next(node for node in self.record_nodes() if node.agreement.role == LEADER)

    def until(self, seconds: float) -> None:
        self.clock.run(self.clock.start + int(seconds * SECOND))


def play(members: int, voters: int, seed: int) -> dict[str, Any]:
    """All begin, agree on a record; a command goes to all; a tenth come late and learn all there is."""
    late = tuple(range(members - members // 10, members))
    fleet = RecordFleet(Schedule(members, 60.0, (Fault(32.0, "join", late),), seed), voters)
    fleet.until(20.0)
    nodes, leader = fleet.record_nodes(), fleet.leader()
    idle = max(fleet.bytes[number][second] for number in range(voters) for second in (16, 17, 18))
    others = max(
        fleet.bytes[number][second]
        for number in range(voters, members // 2)
        for second in (16, 17, 18)
    )
    begun, size = fleet.clock.now, 0
    for number in range(60):
        data = encode(
            DrainCommand(CommandHeader(100 + number, "model", "w" * 200), "n" * 100 + str(number))
        )
        size = len(data)
        leader.agreement.propose(EntryKind.DRAIN, data)
        leader.pass_on()
        if number == 0:
            first = leader.agreement.last_index
            fleet.until(24.0)
    fleet.until(32.0)
    agreed = (leader.learned[first] - begun) / SECOND
    everywhere = max(node.learned[first] for node in nodes) - begun
    last = leader.agreement.commit_index
    fleet.until(58.0)
    came = [node for node in fleet.record_nodes() if node.number in late]
    learned = max(node.learned.get(last, 10**18) for node in came) - fleet.clock.start

    def most(numbers: list[int]) -> int:
        return max(fleet.bytes[number][second] for number in numbers for second in range(20, 58))

    return {
        "bytes": size,
        "agreed": agreed,
        "all": everywhere / SECOND,
        "late": len(came),
        "late_all": learned / SECOND - 32.0,
        "leader_bytes": most([leader.number]),
        "voter_bytes": most([number for number in range(voters) if number != leader.number]),
        "idle_bytes": idle,
        "other_bytes": others,
    }
