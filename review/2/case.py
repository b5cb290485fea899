"""Planned restarts of a balancer that takes RADIUS records, with the state file that
docs/operate/radius.md recommends. Clients send each record again until it is answered.
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
CLIENTS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
RATE = 80.0  # records a second of each client
RESTARTS = tuple(3.0 + 3.0 * n for n in range(10))  # seconds after the first record
SECONDS = 33.0
WORK = 0.002  # seconds that a server takes for a record
WAITS = [1.0, 2.0, 4.0, 8.0]  # of a client, between its sends: 15 s in all, half of `kept`
SIGKILL_AFTER = 6.0  # the pages: no sooner than the longest patience, here 3 s, and 0.7 s more
SECRET, SERVER_SECRET = b"only-for-a-trial-too", b"only-for-a-trial"

FILE = """
version = 1
name = "b1"
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


def play(record, folder, stop):
    servers = [RadiusServer(f"acct-{n}", SERVER_SECRET, WORK, record) for n in (1, 2)]
    stop += [server.close for server in servers]
    http, radius = free_port(), free_port(socket.SOCK_DGRAM)
    path = folder / "operator.toml"
    path.write_text(
        FILE.format(
            http=http,
            radius=radius,
            acct1=servers[0].port,
            acct2=servers[1].port,
            secret=SECRET.decode(),
            server_secret=SERVER_SECRET.decode(),
            state=folder / "radius.state",
        )
    )
    balancer = Balancer(record, {"BALANCER_OPERATOR": str(path), "TMPDIR": str(folder)}, http)
    stop.append(balancer.stop)
    balancer.start()
    clients = [RadiusClient(address, radius, SECRET, WAITS, record) for address in CLIENTS]
    stop += [client.close for client in clients]
    began, sent, restarts = time.monotonic(), 0, list(RESTARTS if TROUBLE else ())
    terminated = 0.0
    while (passed := time.monotonic() - began) < SECONDS:
        if terminated:
            assert balancer.process is not None
            late = time.monotonic() - terminated > SIGKILL_AFTER
            if balancer.process.poll() is not None or late:
                if balancer.wait_ended(0.01 if late else 1.0) != 0:
                    raise CannotRun(f"the balancer did not end in order: {balancer.log()[-1500:]}")
                terminated = 0.0
                balancer.start(ready=False)
        elif restarts and passed >= restarts[0]:
            restarts.pop(0)
            terminated = time.monotonic()
            balancer.signal(signal.SIGTERM)
        if passed * RATE * len(clients) >= sent:
            client = clients[sent % len(clients)]
            client.send_new(f"{client.address}-{sent}", int(time.time()))
            sent += 1
        time.sleep(0.001)
    if terminated:
        raise CannotRun("the last restart came too late")
    time.sleep(sum(WAITS) + 1.0)
    balancer.wait_ready()
    records = [one for client in clients for one in client.records]
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
