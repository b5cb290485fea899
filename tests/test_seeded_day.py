"""A seeded run of every host gives the same actions before and after a change.

Each run, called a day, is scripted by `random.Random(seed)` alone, and its actions are digested
with SHA-256: wire bytes, numbers and the external names of settings, so that renaming identifiers
leaves every digest as it is. Outcomes are digested as the integers of OUTCOME_CODES, other words
by the order in which they first occur. Each day is compared with its entry in
tests/data/kept/seeded_day.json; the counts beside a digest show where a difference began. After an
intended change of behaviour, `python -m tests.test_seeded_day` prints the new entries.
"""

import hashlib
import heapq
import io
import json
import struct
import sys
import tomllib
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import pytest

from whinpier.fleet.consensus.node import RaftNode
from whinpier.fleet.outliers.config import EjectionConfig
from whinpier.fleet.outliers.ejection import EjectionCoordinator
from whinpier.fleet.quotas.calendar_quota import MIN_WRITE_AHEAD
from whinpier.fleet.rollouts.commands import CommandHeader, DrainCommand, EntryKind, encode
from whinpier.model_checking import (
    consensus_scenarios,
    count_scenarios,
    ejection_scenarios,
    quota_scenarios,
)
from whinpier.model_checking.consensus import FAULTS as RECORD_FAULTS
from whinpier.model_checking.consensus import Recording
from whinpier.model_checking.count_mutants import FAULTS as COUNT_FAULTS
from whinpier.model_checking.counts import Counting, Wishful
from whinpier.model_checking.ejection import FAULTS as VOTE_FAULTS
from whinpier.model_checking.ejection import Voting
from whinpier.model_checking.explore import every
from whinpier.model_checking.quota_mutants import FAULTS as SHARE_FAULTS
from whinpier.model_checking.quotas import Sharing, Wishing
from whinpier.policy.model import Attempt, Host, Outcome, Request, Upstream, UpstreamState
from whinpier.policy.policy import Policy
from whinpier.policy.rate_gossip import PeerRates
from whinpier.settings import REPORT_COLUMNS, request_classes
from whinpier.simhost import wire
from whinpier.simhost.__main__ import Process, main
from whinpier.simulation.clock import Clock
from whinpier.simulation.consensus import RecordFleet
from whinpier.simulation.experiment import checked
from whinpier.simulation.fleet import Fleet
from whinpier.simulation.invariants import Referee
from whinpier.simulation.metrics import Measure
from whinpier.simulation.world import World
from whinpier.testbed.faults import Fault, Schedule, draw

KEPT = Path(__file__).parent / "data" / "kept" / "seeded_day.json"
US, MS, SECOND = 1_000, 1_000_000, 1_000_000_000
OUTCOME_CODES = {
    Outcome.SUCCEEDED: 0,
    Outcome.FAILED: 5,
    Outcome.OVERLOADED: 11,
    Outcome.RESET: 104,
    Outcome.TIMED_OUT: 110,
    Outcome.CONNECT_FAILED: 111,
    Outcome.NOT_SENT: 114,
    Outcome.CANCELLED: 125,
}
START, CANCEL, REJECT, FAIL, SET_TIMER, PROBE, CLOSE_IDLE, SEND, FOLLOW, FETCH, LOG = range(1, 12)


class ActionLog:
    """Digests and counts actions in the order in which they happen."""

    def __init__(self):
        self.sha, self.counts = hashlib.sha256(), Counter()

    def note(self, code, *values):
        """Digest an action: numbers and bytes only, which no rename changes."""
        assert all(type(value) in (int, float, bytes) for value in values), values
        self.sha.update(repr((code, *values)).encode())

    def count(self, **more):
        self.counts.update(more)

    def result(self):
        return {"digest": self.sha.hexdigest()} | dict(sorted(self.counts.items()))


class EventQueue:
    """Events by time, and in the order of insertion at the same time."""

    def __init__(self):
        self.queue, self.number = [], 0

    def put(self, at, *what):
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, what))

    def pop(self):
        at, _, what = heapq.heappop(self.queue)
        return at, what


# The policy, on a host that records its calls.

WORKLOADS = """workloads.count=5
workloads.0.semantics=once
workloads.0.agreed_time_us=300000
workloads.0.patience_us=1500000
workloads.0.payoff=5.0
workloads.1.semantics=by_key
workloads.1.agreed_time_us=400000
workloads.1.patience_us=2000000
workloads.1.payoff=3.0
workloads.1.window_us=1200000
workloads.1.key_scope=zone
workloads.2.semantics=repeatable
workloads.2.agreed_time_us=200000
workloads.2.patience_us=1000000
workloads.3.semantics=repeatable
workloads.3.agreed_time_us=800000
workloads.3.patience_us=3000000
workloads.3.payoff=0.5
workloads.4.semantics=by_key
workloads.4.agreed_time_us=500000
workloads.4.patience_us=2500000
workloads.4.payoff=2.0
workloads.4.window_us=2000000
"""
COMMON = """limits.max_hand_offs=3
limits.cancelling=true
rules.cold_us=8000000
rules.cold_from=0.2
rules.fall_us=1000000
rules.fall_multiple=2.0
rules.ask_within_us=4000000
report.columns=busy_reqs,cpu_share,served_ps
zone=0
"""
ALONE = COMMON + "balancers=1\nlimits.second_copies=true\ngoal.worst_class=0.3\nlimits.held=40\n"
MANY = (
    COMMON
    + """balancers=4
slot_no=2
limits.second_copies=true
limits.peers=true
limits.probes=true
report.source=on_probe
discovery=subscribe
prices.cross_zone=0.02
"""
)
PLAIN = (
    COMMON
    + """balancers=3
limits.second_copies=false
limits.retry_after=false
report.source=on_probe
discovery=subscribe
"""
)


def parsed(text):
    """Settings and request classes of a text with external names."""
    found = wire.settings(text + WORKLOADS)
    return found, request_classes(found)


class RecordingHost(Host):
    """Scripted upstreams, clients and peers around the policy; digests every call of the policy."""

    def __init__(self, seed, texts, requests, rate, upstreams):
        self.now, self.generator = 100 * SECOND, Random(seed)
        self.actions, self.events = ActionLog(), EventQueue()
        self.texts, self.requests, self.rate = texts, requests, rate
        self.number, self.next_id = 0, upstreams
        found, self.request_classes = parsed(texts[0])
        self.behaviour = {}
        self.upstreams = []
        self.policy = Policy(self, found, self.request_classes, seed)
        for number in range(upstreams):
            self.join(number, 0)
        self.policy.on_endpoints_updated(list(self.upstreams))

    def join(self, number, started):
        upstream = Upstream(number, UpstreamState.READY, number % 2, number % 3, started)
        self.upstreams.append(upstream)
        self.behaviour[upstream] = 0
        return upstream

    # Calls of the policy.

    def start_attempt(self, request, upstream, stop_at=0):
        made = Attempt(request, upstream, len(request.attempts), self.now)
        hedged = any(not other.outcome for other in request.attempts)
        request.attempts.append(made)
        self.actions.note(START, self.now, request.id, upstream.id, made.number, stop_at)
        self.actions.count(
            attempts=1, hedged=int(hedged), retries=int(made.number > 0 and not hedged)
        )
        self.events.put(*self.plan(made))
        return made

    def plan(self, attempt):
        """When an attempt finishes, and with which outcome."""
        random, behaviour = self.generator.random, self.behaviour[attempt.upstream]
        at, ends = self.now + int(MS * (4 + 60 * random() ** 3)), attempt.request.deadline
        outcome = Outcome.SUCCEEDED
        if behaviour == 1:
            at = self.now + int(MS * (200 + 900 * random()))
        elif behaviour == 2:
            at = ends
        elif behaviour == 3 and random() < 0.8:
            outcome = Outcome.FAILED
        elif behaviour == 4 and random() < 0.7:
            outcome = Outcome.RESET
        elif behaviour == 5:
            at, outcome = self.now + MS, Outcome.CONNECT_FAILED
        elif behaviour == 6 and random() < 0.6:
            at, outcome = self.now + 2 * MS, Outcome.OVERLOADED
        elif random() < 0.004:
            outcome = Outcome.NOT_SENT
        if at >= ends:
            at, outcome = max(ends, self.now), Outcome.TIMED_OUT
        return at, self.finish_attempt, attempt, outcome

    def cancel(self, attempt):
        request, upstream = attempt.request, attempt.upstream
        self.actions.note(CANCEL, self.now, request.id, upstream.id, attempt.number)
        self.actions.count(withdrawn=1)
        self.events.put(self.now + MS, self.finish_attempt, attempt, Outcome.CANCELLED)

    def reject(self, request, wait=0):
        assert not request.ended, "two final answers"
        request.ended = True
        self.actions.note(REJECT, self.now, request.id, wait)
        self.actions.count(rejections=1)

    def fail(self, request):
        assert not request.ended, "two final answers"
        request.ended = True
        self.actions.note(FAIL, self.now, request.id)
        self.actions.count(failures=1)

    def set_timer(self, at, token=0):
        self.actions.note(SET_TIMER, self.now, at, token)
        self.actions.count(alarms=1)
        self.events.put(max(at, self.now + 1), self.expire_timer, token)

    def probe(self, upstream):
        self.actions.note(PROBE, self.now, upstream.id)
        self.actions.count(probes=1)
        if self.generator.random() < 0.9:
            self.events.put(self.now + 2 * MS, self.report, upstream)

    def close_idle(self, upstream):
        self.actions.note(CLOSE_IDLE, self.now, upstream.id)
        self.actions.count(closed=1)

    def send_peer_message(self, balancer, contents):
        self.actions.note(SEND, self.now, -1 if balancer is None else balancer, bytes(contents))
        self.actions.count(told=1)

    def follow_endpoint_list(self, on):
        self.actions.note(FOLLOW, self.now, int(on))
        self.actions.count(list_calls=1)
        if self.generator.random() < 0.6:
            self.events.put(self.now + 100 * MS, self.update_endpoints)
        else:
            self.events.put(self.now + 50 * MS, self.lose_endpoint_list)

    def fetch_endpoint_list(self):
        self.actions.note(FETCH, self.now)

    def log(self, text):
        self.actions.note(LOG, self.now)

    # Events of the script.

    def load(self):
        random = self.generator.random
        return {
            REPORT_COLUMNS["busy_reqs"]: float(int(8 * random())),
            REPORT_COLUMNS["cpu_share"]: 1.2 * random(),
            REPORT_COLUMNS["served_ps"]: 40 + 40 * random(),
        }

    def expire_timer(self, token):
        self.policy.on_timer(token)

    def report(self, upstream):
        self.policy.on_load_report(upstream, self.load())

    def update_endpoints(self):
        self.policy.on_endpoints_updated(
            [one for one in self.upstreams if one.state != UpstreamState.REMOVED]
        )

    def lose_endpoint_list(self):
        self.policy.on_endpoint_list_lost()

    def finish_attempt(self, attempt, outcome):
        if attempt.outcome:
            return
        request = attempt.request
        attempt.outcome, attempt.duration = outcome, self.now - attempt.sent_at
        first = outcome == Outcome.SUCCEEDED and not request.ended
        request.ended = request.ended or first
        self.actions.count(fulfilled=int(first), **{f"outcome_{OUTCOME_CODES[outcome]}": 1})
        load = (
            self.load() if outcome == Outcome.SUCCEEDED and self.generator.random() < 0.5 else None
        )
        self.policy.on_attempt_finished(attempt, load, first)

    def arrive(self):
        self.number += 1
        random = self.generator.random
        request_class = self.request_classes[int(len(self.request_classes) * random())]
        request = Request(self.number, request_class, self.now, self.now + request_class.timeout)
        self.actions.count(requests=1)
        if random() < 0.02:
            self.events.put(self.now + int(300 * MS * random()), self.leave, request)
        self.policy.on_request(request)
        if self.number < self.requests:
            surge = 4.0 if self.number // 500 % 7 == 6 else 1.0
            self.events.put(
                self.now + int(self.generator.expovariate(self.rate * surge) * SECOND) + 1,
                self.arrive,
            )

    def leave(self, request):
        if not request.ended:
            request.ended = True
            self.actions.count(departures=1)
            self.policy.on_client_disconnected(request)

    def disturb(self):
        """Change an upstream, the endpoint list or the settings, or send a peer message."""
        random = self.generator.random
        here = [one for one in self.upstreams if one.state == UpstreamState.READY]
        one = here[int(len(here) * random())] if here else None
        kind = int(16 * random())
        if kind < 7 and one:
            self.behaviour[one] = kind
            self.events.put(self.now + int((1 + 4 * random()) * SECOND), self.recover, one)
        elif kind == 7 and len(here) > 3:
            one.state = UpstreamState.DRAINING
            self.events.put(self.now + 2 * SECOND, self.remove, one)
            self.update_endpoints()
        elif kind == 8 and len(here) > 3:  # restarts cold, as another run of the upstream
            self.remove(one)
            self.events.put(self.now + SECOND, self.restart, one.id)
        elif kind == 9:
            self.restart(self.next_id)
            self.next_id += 1
        elif kind == 10:
            self.lose_endpoint_list()
        elif kind == 11 and one:
            one.spare = 0
            self.events.put(self.now + SECOND // 2, self.lift_limit, one)
        elif kind == 12:
            text = self.texts[int(len(self.texts) * random())]
            found, request_classes_now = parsed(text)
            if random() < 0.5:
                request_classes_now = (
                    self.request_classes
                )  # only settings change, not request classes
            self.request_classes = request_classes_now
            self.policy.reconfigure(found, request_classes_now)
        elif kind == 13 and one:
            self.report(one)
        else:
            contents = PeerRates.pack(50 + 200 * random()) if random() < 0.9 else b"other"
            self.policy.on_peer_message(int(5 * random()), contents)
        if self.number < self.requests:
            self.events.put(self.now + int(250 * MS * (0.2 + random())), self.disturb)

    def recover(self, upstream):
        self.behaviour[upstream] = 0

    def lift_limit(self, upstream):
        upstream.spare = float("inf")

    def remove(self, upstream):
        upstream.state = UpstreamState.REMOVED
        self.behaviour[upstream] = 5
        self.upstreams = [one for one in self.upstreams if one is not upstream]
        self.update_endpoints()

    def restart(self, number):
        self.join(number, self.now)
        self.update_endpoints()

    def play(self):
        self.events.put(self.now, self.arrive)
        self.events.put(self.now + SECOND, self.disturb)
        after = 0
        while not after or self.events.queue[0][0] < after:
            self.now, (call, *args) = self.events.pop()
            call(*args)
            if self.number >= self.requests and not after:
                after = self.now + 6 * SECOND
        return self.actions.result()


def day_of_decisions(texts, seed, requests=9_000, rate=250.0):
    return RecordingHost(seed, texts, requests, rate, 14).play()


# The wire protocol of the simulator.

WIRE_SETTINGS = MANY + WORKLOADS


def record(code, fields):
    return struct.pack("<BI", code, len(fields)) + fields


class WireDay:
    """Two instances in one process that are fed frames; their replies decide the next frames."""

    def __init__(self, seed, requests):
        self.generator, self.events, self.process = Random(seed), EventQueue(), Process()
        self.now, self.number, self.frames = 5_000_000, 0, 0  # in microseconds
        self.requests = requests
        self.given, self.replies, self.actions = bytearray(), bytearray(), ActionLog()
        self.attempts, self.states, self.started_at = Counter(), [1] * 14, [0] * 14
        self.over, self.ends = set(), {}

    def settings(self, who):
        text = WIRE_SETTINGS.replace("slot_no=2", f"slot_no={who}").encode()
        return record(90, struct.pack("<IQI", who, 70 + who, len(text)) + text)

    def roster(self, who):
        entries = b""
        for number, state in enumerate(self.states):
            if state:
                entries += struct.pack(
                    "<BIHQfHH",
                    2 if state == 2 else 1,
                    500 + number,
                    number % 2,
                    self.started_at[number],
                    1.0,
                    number % 3,
                    0,
                )
        count = len(entries) // 23
        roster = record(10, struct.pack("<II", self.frames, count) + entries)
        return roster + record(100, struct.pack("<IBII", who, 2, 1, self.frames)), 2

    def feed(self, body, count):
        self.frames += 1
        frame = struct.pack("<IIIQ", self.frames, count, 8 + len(body), self.now) + body
        reply = self.process.batch(self.frames, count, self.now * US, bytes(body))
        self.given += frame
        self.replies += reply
        at = 12
        while at < len(reply):
            code, size = struct.unpack_from("<BI", reply, at)
            self.acted(code, reply[at + 5 : at + 5 + size])
            at += 5 + size

    def acted(self, code, fields):
        random = self.generator.random
        self.actions.count(**{f"action_{code}": 1})
        if code == 10:
            who, token, at = struct.unpack("<IQQ", fields)
            self.events.put(max(at, self.now + 1), record(60, struct.pack("<IQ", who, token)), 1)
        elif code == 60:
            who, number, upstream, _ = struct.unpack("<IIIQ", fields)
            trial = self.attempts[who, number]
            self.attempts[who, number] += 1
            self.actions.count(attempts=1, retries=int(trial > 0))
            reason = (5, 11, 104, 111, 114)[int(5 * random())] if random() < 0.08 else 0
            took = int(5_000 + 60_000 * random() ** 3)
            if random() < 0.01 or self.now + took > self.ends[who, number]:
                reason, took = 110, max(0, self.ends[who, number] - self.now)
            at = self.now + max(1, took)
            self.events.put(at, self.resolved, who, number, trial, reason, took)
        elif code == 120:
            who, number, trial = struct.unpack("<IIH", fields)
            self.events.put(self.now + 500, self.resolved, who, number, trial, 125, 500)
        elif code in (80, 110):
            self.over.add(struct.unpack_from("<II", fields))
            self.actions.count(**{"rejections" if code == 80 else "failures": 1})
        elif code == 40:
            who, _, size = struct.unpack_from("<IIH", fields)
            told = struct.pack("<IHH", 3 - who, who, size) + fields[10:]
            self.events.put(self.now + 700, record(20, told), 1)
        elif code == 100:
            who, upstream = struct.unpack("<II", fields)
            load = struct.pack("<3f", int(6 * random()), random(), 50 * random())
            found = struct.pack("<IHIIB", who, 0, 900, upstream, 3) + load
            self.events.put(self.now + 900, record(30, found), 1)
        elif code == 20 and random() < 0.7:
            self.events.put(self.now + 90_000, self.listed, fields[0])
        elif code == 20:
            lost = struct.pack("<IBII", fields[0], 1, 0, 0)
            self.events.put(self.now + 40_000, record(100, lost), 1)

    def resolved(self, who, number, trial, reason, took):
        over = reason == 0 and (who, number) not in self.over
        if over:
            self.over.add((who, number))
            self.actions.count(fulfilled=1)
        load = struct.pack("<3f", 2.0, self.generator.random(), 30.0)
        n = 3 if reason == 0 else 0
        return record(
            70,
            struct.pack("<IIHIHIBB", who, number, trial, 0, reason, took, over, n) + load[: 4 * n],
        ), 1

    def listed(self, who):
        return self.roster(who)

    def arrive(self):
        self.number += 1
        random = self.generator.random
        who, lane = 1 + int(2 * random()), int(6 * random())
        # The last lane does not exist.
        timeout = (1_500_000, 2_000_000, 1_000_000, 3_000_000, 2_500_000, 1)[lane]
        self.ends[who, self.number] = self.now + timeout
        self.actions.count(requests=1)
        if random() < 0.03:
            self.events.put(
                self.now + int(200_000 * random()),
                record(40, struct.pack("<II", who, self.number)),
                1,
            )
        if self.number < self.requests:
            self.events.put(self.now + 1 + int(10_000 * random()), self.arrive)
        return record(
            50,
            struct.pack(
                "<IIBQIQBI",
                who,
                self.number,
                int(8 * random()),
                self.number % 50,
                1,
                self.now + timeout,
                lane,
                900,
            ),
        ), 1

    def disturb(self):
        """Drain, remove or restart an upstream and tell both instances; seldom restart one of them."""
        random = self.generator.random
        which, kind = int(len(self.states) * random()), (0, 1, 1, 1, 2, 3, 3)[int(7 * random())]
        self.states[which] = kind  # 0: not listed, 1: ready, 2: draining, 3: restarted, cold
        self.started_at[which] = self.now if kind == 3 else self.started_at[which]
        first, second = self.roster(1), self.roster(2)
        body, count = first[0] + second[0], 4
        if random() < 0.03:
            body, count = body + self.settings(2) + self.roster(2)[0], count + 3
            self.over |= {key for key in self.ends if key[0] == 2}
        if self.number < self.requests:
            self.events.put(self.now + int(1_500_000 * (0.3 + random())), self.disturb)
        return body, count

    def play(self):
        first, second = self.roster(1), self.roster(2)
        self.feed(self.settings(1) + self.settings(2) + first[0] + second[0], 6)
        self.events.put(self.now, self.arrive)
        self.events.put(self.now + 900_000, self.disturb)
        last = 0
        while not last or self.now < last:
            self.now, (what, *args) = self.events.pop()
            if self.number >= self.requests and not last:
                last = max(self.ends.values()) + 100_000
            self.feed(*(what(*args) if callable(what) else (what, *args)))
        self.actions.count(frames=self.frames, bytes=len(self.replies))
        self.actions.sha.update(self.replies)
        return self.actions.result()


def read_loop(frames):
    """Exit code and replies of the program's read loop for a stream of frames."""
    sink, before = io.BytesIO(), (sys.stdin, sys.stdout)
    sys.stdin, sys.stdout = io.TextIOWrapper(io.BytesIO(frames)), io.TextIOWrapper(sink)
    try:
        code = main()
        sys.stdout.flush()
        return code, sink.getvalue()
    finally:
        sys.stdin, sys.stdout = before


# The simulator.

FLEET = """name = "seeded"
seconds = 14.0
warm = 2.0
[fleet]
balancers = 3
zones = 2
machines = [{ count = 8, cores = 2, queue = 16, warm_up = 4.0, cold_from = 0.3, topple = 4.0 }]
[[streams]]
name = "one"
rate = 90.0
work = 0.03
agreed_time = 0.3
patience = 1.5
payoff = 5.0
[[streams]]
name = "two"
kind = "ticketed"
group = "zone"
window = 1.2
rate = 70.0
work = 0.03
agreed_time = 0.4
patience = 2.0
[[streams]]
name = "three"
kind = "rerunnable"
rate = 110.0
work = 0.02
agreed_time = 0.2
patience = 1.0
retries = 1
surges = [[6.0, 7.0, 3.0]]
[policy]
second_copies = true
[chance]
count = 7
longest = 4.0
"""


class Numbering:
    """Numbers words in the order in which they first occur, so that renaming a word changes none."""

    def __init__(self):
        self.numbers = {}

    def __call__(self, word):
        return self.numbers.setdefault(word, len(self.numbers))

    def values(self, value):
        """A value of an event as numbers."""
        if isinstance(value, (bool, int, float)):
            return [float(value)]
        if isinstance(value, (list, tuple)):
            return [len(value), *(one for part in value for one in self.values(part))]
        return [self(str(value))]


class RecordingMeasure(Measure):
    """Digests what each client sees."""

    actions: ActionLog
    numbering: Numbering
    clock: Clock

    def asked(self, request):
        self.actions.note(1, self.clock.now, request.id, request.tries)
        self.actions.count(requests=1)
        super().asked(request)

    def answered(self, request, how, took):
        word = self.numbering(how)
        self.actions.note(2, self.clock.now, request.id, word, took)
        self.actions.count(**{f"answers_{word}": 1})
        super().answered(request, how, took)


class RecordingReferee(Referee):
    """Digests each attempt, and where it ran."""

    actions: ActionLog

    def sent(self, attempt, balancer, server):
        number = len(attempt.asked.attempts)
        self.actions.note(
            3, self.clock.now, attempt.asked.id, number, balancer.number, server.number
        )
        self.actions.count(attempts=1, retries=int(number > 1))
        super().sent(attempt, balancer, server)

    def ran(self, attempt, server):
        self.actions.note(4, self.clock.now, attempt.asked.id, server.number)
        self.actions.count(ran=1)
        super().ran(attempt, server)


def day_of_fleet(seed):
    world, actions = World(checked(tomllib.loads(FLEET)), seed), ActionLog()
    world.measure.__class__, world.referee.__class__ = RecordingMeasure, RecordingReferee
    world.measure.actions = world.referee.actions = actions
    world.measure.numbering, world.measure.clock = Numbering(), world.clock
    world.play()
    actions.note(
        5,
        world.clock.events,
        world.clock.now,
        sum(world.referee.breaches.values()),
        world.measure.total_time,
        world.measure.ended,
    )
    actions.count(events=world.clock.events, breaches=sum(world.referee.breaches.values()))
    return actions.result()


def digest_of_members(fleet, actions):
    """Digest the events that members have reported in a run."""
    numbering = Numbering()
    for said in fleet.said:
        values = [number for value in said.pairs.values() for number in numbering.values(value)]
        actions.note(2, said.at, numbering(said.process), numbering(said.event), *values)
    actions.note(3, fleet.clock.events)
    actions.count(events=len(fleet.said), steps=fleet.clock.events)
    return actions.result()


class RecordingFleet(Fleet):
    """Digests each datagram that a member sends."""

    def __init__(self, schedule, actions):
        self.actions = actions
        super().__init__(schedule)

    def carry(self, node, address, data):
        self.actions.note(1, self.clock.now, node.number, address[1], data)
        self.actions.count(datagrams=1, bytes=len(data))
        super().carry(node, address, data)


class RecordingReplicatedFleet(RecordFleet):
    """The same for members with a replicated log."""

    def __init__(self, schedule, voters, actions):
        self.actions = actions
        super().__init__(schedule, voters)

    def carry(self, node, address, data):
        self.actions.note(1, self.clock.now, node.number, address[1], data)
        self.actions.count(datagrams=1, bytes=len(data))
        super().carry(node, address, data)


def day_of_members(seed):
    actions = ActionLog()
    fleet = RecordingFleet(draw(seed, 9, 40.0, 8), actions)
    fleet.play()
    return digest_of_members(fleet, actions)


def day_of_record(seed):
    """Commands are replicated through a restart, loss, a partition, a join and a pause."""
    actions = ActionLog()
    faults = (
        Fault(22.0, "restart", (1,), span=2.0),
        Fault(26.0, "lossy", span=4.0, amount=0.1),
        Fault(28.0, "cut", parts=((0, 3, 5), (1, 2, 4, 6, 7)), span=3.0),
        Fault(30.0, "join", (7,)),
        Fault(33.0, "stop", (0,), span=2.0),
    )
    fleet = RecordingReplicatedFleet(Schedule(8, 45.0, faults, seed), 5, actions)
    for number, at in enumerate((18.0, 20.0, 20.5, 27.0, 36.0, 40.0)):
        fleet.until(at)
        leader = fleet.leader()
        data = encode(DrainCommand(CommandHeader(100 + number, "seeded", "w" * 20), f"n{number}"))
        leader.agreement.propose(EntryKind.DRAIN, data)
        leader.pass_on()
    fleet.until(45.0)
    for node in fleet.record_nodes():
        agreement = node.agreement
        actions.note(
            4,
            node.number,
            agreement.term,
            agreement.last_index,
            agreement.commit_index,
            agreement.last_applied,
        )
    return digest_of_members(fleet, actions)


# Model checking, and the state machines that it explores.


def walked(make, seed, steps, length):
    """Digest each step of random walks, and the last message in the network."""
    actions, chance, taken = ActionLog(), Random(seed), 0
    while taken < steps:
        world = make()
        for _ in range(length):
            choices = world.steps()
            if not choices:
                break
            at = int(chance.random() * len(choices))
            world.do(choices[at][1])
            taken += 1
            broken = int(bool(world.broken()))
            actions.note(1, world.now, len(choices), at, len(world.network), broken)
            if world.network:
                sender, to, message = world.network[-1]
                actions.note(2, sender, to, msgspec.msgpack.encode(message))
            actions.count(steps=1, messages=len(world.network), broken=broken)
    return actions.result()


def seeded(world):
    """The same world with members that draw from seeded generators."""

    class Seeded(world):
        def chance(self):
            self.numbers += 1
            return Random(self.numbers)

    return Seeded


def day_of_limits(seed):
    world = seeded(Sharing)
    return walked(lambda: world(4, 8, 12, 2_000, 3, 40, Wishing), seed, 5_000, 1_000)


def day_of_windows(seed):
    world = seeded(Counting)
    return walked(
        lambda: world(4, 90, 12, 2_000, 3, 40, Wishful, failures=5, ahead=MIN_WRITE_AHEAD),
        seed,
        5_000,
        500,
    )


def day_of_verdicts(seed):
    world = seeded(Voting)
    return walked(
        lambda: world(5, 3, 20, 12, 2_000, 3, 40, make=EjectionCoordinator), seed, 5_000, 500
    )


def day_of_hearings(seed):
    """Six members observe ten upstreams, one of them slow at times, and vote on ejections."""
    actions, chance, pool, usual = ActionLog(), Random(seed), 7, 1e7
    config = EjectionConfig(
        base_ejection_ns=6 * SECOND, lease_ns=3 * SECOND, return_spread_ns=2 * SECOND
    )
    coordinators = [EjectionCoordinator(config, own, 0, Random(seed + own)) for own in range(1, 7)]
    upstreams, slow = range(20, 30), set()
    for coordinator in coordinators:
        coordinator.update_endpoints(pool, {key: 0 for key in upstreams})
    for step in range(600):
        now = step * SECOND // 10
        if step % 40 == 0:
            slow = {chance.choice(upstreams)} if chance.random() < 0.8 else set()
        for coordinator in coordinators:
            for number in range(3):
                key = chance.choice(upstreams)
                ratio = 9.0 * chance.random() if key in slow else 0.5 + chance.random()
                coordinator.on_attempt_started(pool, key, 3 * step + number, now)
                coordinator.on_attempt_finished(pool, key, 3 * step + number, ratio, now)
                actions.count(answers=1)
            coordinator.on_timer(
                now, lambda pool: usual, lambda pool: (len(coordinators), len(coordinators))
            )
        for _ in range(10):
            messages = [
                (coordinator.own_id, to, plea)
                for coordinator in coordinators
                for to, plea in coordinator.out
            ]
            for coordinator in coordinators:
                coordinator.out = []
            for sender, to, plea in messages:
                actions.note(1, now, sender, to, msgspec.msgpack.encode(plea))
                actions.count(messages=1)
                for coordinator in coordinators:
                    if (
                        coordinator.own_id == to
                        or not to
                        and coordinator.own_id != sender
                        and chance.random() < 0.95
                    ):
                        coordinator.on_message(plea, sender, usual, now)
        for coordinator in coordinators:
            for rest, until in coordinator.ejected_until.items():
                actions.note(2, now, coordinator.own_id, rest[1], until)
                actions.count(rests=1)
    return actions.result()


def day_of_agreement(seed):
    world = seeded(Recording)
    return walked(lambda: world(5, 12, 2_000, 3, 20, 40, 10, 2, 4, 3, led=True), seed, 4_000, 400)


def explored(days, party, faults, depth):
    """Digest the states of exhaustive searches, the lengths of walks, and where mutants fail."""
    actions = ActionLog()
    for world in days.WHOLE:
        found = every(world.make(party), depth)
        actions.note(1, found.states, found.steps, found.deepest, int(bool(found.broken)))
        actions.count(states=found.states, steps=found.steps)
    for world in days.WALKS:
        found = world.gone_through(party, 600, 3)
        actions.note(2, found.steps, found.deepest, int(bool(found.broken)))
        actions.count(walked=found.steps)
    for fault in faults.values():
        found = days.WALKS[0].gone_through(fault, 1_000, 5)
        actions.note(3, found.steps, found.deepest, len(found.path), int(bool(found.broken)))
        actions.count(faults=1, found=int(bool(found.broken)), walked=found.steps)
    return actions.result()


DAYS = {
    "decisions, alone": lambda: day_of_decisions([ALONE, PLAIN], 11),
    "decisions, one of four": lambda: day_of_decisions([MANY, PLAIN, ALONE], 12),
    "decisions, without copies": lambda: day_of_decisions([PLAIN, MANY], 13),
    "decisions, little traffic": lambda: day_of_decisions([PLAIN, ALONE], 14, 3_000, 25.0),
    "wire": lambda: WireDay(21, 4_000).play(),
    "fleet": lambda: day_of_fleet(31),
    "members": lambda: day_of_members(32),
    "members, other faults": lambda: day_of_members(34),
    "record": lambda: day_of_record(33),
    "limits": lambda: day_of_limits(41),
    "windows": lambda: day_of_windows(42),
    "verdicts": lambda: day_of_verdicts(43),
    "hearings": lambda: day_of_hearings(45),
    "agreement": lambda: day_of_agreement(44),
    "explored limits": lambda: explored(quota_scenarios, Wishing, SHARE_FAULTS, 5),
    "explored windows": lambda: explored(count_scenarios, Wishful, COUNT_FAULTS, 4),
    "explored verdicts": lambda: explored(ejection_scenarios, EjectionCoordinator, VOTE_FAULTS, 4),
    "explored agreement": lambda: explored(consensus_scenarios, RaftNode, RECORD_FAULTS, 3),
}


def test_expected_data_has_an_entry_for_each_day():
    assert set(json.loads(KEPT.read_text())) == set(DAYS)


@pytest.mark.parametrize("name", DAYS)
def test_same_seed_gives_the_expected_actions(name):
    assert DAYS[name]() == json.loads(KEPT.read_text())[name]


def test_read_loop_gives_the_same_replies_as_direct_calls():
    day = WireDay(22, 400)
    day.play()
    assert read_loop(bytes(day.given)) == (0, bytes(day.replies))


if __name__ == "__main__":
    print(json.dumps({name: play() for name, play in DAYS.items()}, indent=1))
