"""Planned restarts of a small fleet that takes RADIUS records, one balancer after another and each
once, with the state file that docs/operate/radius.md recommends. Clients send each record again
until it is answered.
"""

from __future__ import annotations

import signal
import socket
import time
from collections import Counter
from pathlib import Path

from common import (
    TROUBLE,
    Balancer,
    CannotRun,
    RadiusClient,
    RadiusServer,
    free_port,
    run_case,
)

RECORD = Path(__file__).resolve().parent / "record.txt"
BALANCERS = 10  # one of them at a time is restarted: a tenth
CLIENTS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")  # of each balancer
RATE = 80.0  # records a second of each client, 240 for a balancer
TURN = 2.5  # seconds from one balancer's restart to the next one's
BEFORE, AFTER = 1.5, 2.5  # seconds that a balancer gets records before and after its SIGTERM
WORK = 0.002  # seconds that a server takes for a record
WAITS = [2.0, 4.0, 8.0]  # of a client, between its sends, as RFC 5080 has them
SIGKILL_AFTER = 3.75  # the pages: no sooner than the longest patience, here 3 s, and 0.7 s more
SECRET, SERVER_SECRET = b"only-for-a-trial-too", b"only-for-a-trial"

FILE = """
version = 1
name = "{name}"
listen = ["127.0.0.1:{http}"]

[pools.roaming]
protocol = "radius"
upstreams = [
  {{ name = "acct-1", address = "127.0.0.1:{acct1}" }},
  {{ name = "acct-2", address = "127.0.0.1:{acct2}" }},
]

[pools.roaming.radius]
secret = "{server_secret}"

[pools.roaming.workloads.record]
kind = "exclusive"
agreed_time = "500ms"
patience = "3s"

[radius]
listen = ["127.0.0.1:{radius}"]
kept = "30s"
state = {{ file = "{state}" }}

[radius.clients.partner]
networks = ["127.0.0.0/8"]
secrets = ["{secret}"]

[[radius.routes]]
name = "roaming"
pool = "roaming"
"""


class Member:
    """One balancer of the fleet, its clients, and its restart."""

    def __init__(self, number: int, servers, record, folder: Path, stop: list) -> None:
        self.name = f"b{number + 1}"
        http, radius = free_port(), free_port(socket.SOCK_DGRAM)
        own = folder / self.name
        own.mkdir()
        path = own / "operator.toml"
        path.write_text(
            FILE.format(
                name=self.name,
                http=http,
                radius=radius,
                acct1=servers[0].port,
                acct2=servers[1].port,
                secret=SECRET.decode(),
                server_secret=SERVER_SECRET.decode(),
                state=own / "radius.state",
            )
        )
        environment = {"BALANCER_OPERATOR": str(path), "TMPDIR": str(own)}
        self.balancer = Balancer(record, environment, http)
        stop.append(self.balancer.stop)
        self.balancer.start(ready=False)
        self.clients = [RadiusClient(address, radius, SECRET, WAITS, record) for address in CLIENTS]
        stop += [client.close for client in self.clients]
        self.begins = number * TURN
        self.restart_at = self.begins + BEFORE if TROUBLE else float("inf")
        self.ends = self.begins + BEFORE + AFTER
        self.sent = 0
        self.terminated = 0.0

    def step(self, passed: float) -> None:
        """What is due for this balancer by now."""
        balancer = self.balancer
        if self.terminated:
            assert balancer.process is not None
            late = time.monotonic() - self.terminated > SIGKILL_AFTER
            if balancer.process.poll() is not None or late:
                if (code := balancer.wait_ended(0.01 if late else 1.0)) != 0:
                    raise CannotRun(f"{self.name} ended with {code}: {balancer.log()[-1500:]}")
                self.terminated = 0.0
                balancer.start(ready=False)
        elif passed >= self.restart_at:
            self.restart_at = float("inf")
            self.terminated = time.monotonic()
            balancer.record.write(f"{self.name} is told to end")
            balancer.signal(signal.SIGTERM)
        due = (min(passed, self.ends) - self.begins) * RATE * len(self.clients)
        while due > self.sent:
            client = self.clients[self.sent % len(self.clients)]
            client.send_new(f"{self.name}-{self.sent}", int(time.time()))
            self.sent += 1


def play(record, folder, stop):
    servers = [RadiusServer(f"acct-{n}", SERVER_SECRET, WORK, record) for n in (1, 2)]
    stop += [server.close for server in servers]
    fleet = [Member(number, servers, record, folder, stop) for number in range(BALANCERS)]
    for member in fleet:
        member.balancer.wait_ready()
    began = time.monotonic()
    while (passed := time.monotonic() - began) < fleet[-1].ends:
        for member in fleet:
            member.step(passed)
        time.sleep(0.001)
    if any(member.terminated for member in fleet):
        raise CannotRun("a restart came too late")
    time.sleep(sum(WAITS) + 1.0)
    for member in fleet:
        member.balancer.wait_ready()
    records = [one for member in fleet for client in member.clients for one in client.records]
    ran = Counter(session for server in servers for session, _ in server.ran)
    answered = sum(one.answered_at is not None for one in records)
    unanswered = [one for one in records if one.answered_at is None]
    never_run = sum(not ran[one.session] for one in unanswered)
    record.write(
        f"{len(records)} records, {answered} answered, {len(unanswered)} never answered, of which "
        f"{never_run} reached no server and {len(unanswered) - never_run} were run; "
        f"run: {dict(Counter(ran.values()))} (times: records)"
    )
    if answered < 0.9 * len(records):
        raise CannotRun("the fleet did not serve")
    for one in unanswered:
        record.write(f"never answered: {one.session}, sent {len(one.sent)} times, run {ran[one.session]} times")
    # What the ending process had not read is new to the next one, which serves it. So a record that
    # is never served was taken, and is lost. RADIUS tells a failure by silence: a record that a
    # server has run may have failed so, and is not counted.
    return [
        f"record {one.session} was sent {len(one.sent)} times in {one.sent[-1] - one.sent[0]:.1f} s, "
        "never answered, and no server was ever sent it"
        for one in unanswered
        if len(one.sent) == len(WAITS) + 1 and not ran[one.session]
    ]


run_case("planned restarts with RADIUS records coming in", RECORD, play)
