"""Two records of one session in one second, and a slow server: does a client's repeat run as new?"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness
import radius_2 as radius

RECORD = Path(__file__).resolve().parent / "record.txt"
SERVERS, RATE, SECONDS = 4, 12.0, 16.0  # sessions a second; of the servers one is slow: 25%
WORK, SLOWER = 0.16, 7.3  # seconds to an answer, and how many times longer at the slow one
SLOW_AT = 2.0
TRY = 1.05  # seconds until a client sends a record again: 35% of the workload's patience: 30 to 55%
SERVER_SECRET, CLIENT_SECRET = b"only-for-a-trial", b"only-for-a-trial-too"

FILE = """
version = 1
name = "b1"
listen = ["127.0.0.1:{http}"]

[pools.roaming]
protocol = "radius"
upstreams = [{upstreams}]

[pools.roaming.radius]
secret = "only-for-a-trial"
retransmit = "500ms"
retransmissions = 3

[pools.roaming.workloads.record]
kind = "exclusive"
agreed_time = "500ms"
patience = "3s"

[radius]
listen = ["127.0.0.1:{radius}"]
kept = "30s"

[radius.clients.partner]
networks = ["127.0.0.0/8"]
secrets = ["only-for-a-trial-too"]

[[radius.routes]]
name = "roaming"
pool = "roaming"
"""


async def play(record: harness.Record, folder: Path, balancers: list[harness.Balancer]) -> int:
    ran: Counter[str] = Counter()
    servers = [
        radius.Server(f"acct-{n}", harness.port(2), SERVER_SECRET, WORK, record.say, ran)
        for n in range(1, SERVERS + 1)
    ]
    for server in servers:
        await server.start()
    http, listen = harness.port(), harness.port(2)
    listed = ", ".join(
        f'{{ name = "{server.name}", address = "127.0.0.1:{server.port}" }}' for server in servers
    )
    balancer = harness.Balancer("b1", folder, record)
    balancers.append(balancer)
    balancer.start("BALANCER_OPERATOR", FILE.format(http=http, radius=listen, upstreams=listed))
    await harness.ready(("127.0.0.1", http))
    client = radius.Client(
        "nas-1",
        ("127.0.0.1", listen),
        CLIENT_SECRET,
        record.say,
        wait=TRY,
        tries=3,
        raises_delay=True,
    )
    await client.start()

    async def trouble() -> None:
        await asyncio.sleep(SLOW_AT)
        record.say(f"{servers[0].name}: {SLOWER} times slower from now on")
        servers[0].work = SLOWER * WORK

    async def session(number: int) -> None:
        """Two interim updates of one moment, of 1,000 and of 2,000 octets."""
        await asyncio.sleep(number / RATE)
        name, moment = f"s-{number}", int(time.time()).to_bytes(4, "big")
        for octets in (1000, 2000):
            pairs = [
                (radius.NAS, b"nas-1"),
                (radius.SESSION, name.encode()),
                (radius.STATUS, radius.INTERIM.to_bytes(4, "big")),
                (radius.OCTETS, octets.to_bytes(4, "big")),
                (radius.MOMENT, moment),
            ]
            reports.append(
                asyncio.create_task(
                    client.report(f"{name}/{radius.INTERIM}/{octets} octets", pairs)
                )
            )
            await asyncio.sleep(0.05)

    reports: list[asyncio.Task[bool]] = []
    work = [session(number) for number in range(int(RATE * SECONDS))]
    if harness.TROUBLE:
        work.append(trouble())
    await asyncio.gather(*work)
    await asyncio.gather(*reports)
    await asyncio.sleep(1.5)
    client.close()
    for server in servers:
        server.crash()
    if not balancer.alive():
        raise harness.CouldNotRunError("the balancer has ended")
    if len(client.answered) < 0.5 * len(reports):
        raise harness.CouldNotRunError(f"only {len(client.answered)} records were answered")
    twice = sorted(record for record, count in ran.items() if count > 1)
    again = Counter(record.rpartition("/")[2] for record, count in client.sent.items() if count > 1)
    runs = Counter(record.rpartition("/")[2] for record in twice)
    record.conclude(
        f"{len(client.sent)} exclusive records sent, {len(client.answered)} answered, {len(ran)} run; "
        f"sent again by their client: {dict(again)}; run more than once: {dict(runs)}, as {twice[:4]}"
    )
    return harness.BROKEN if twice else harness.HELD


if __name__ == "__main__":
    harness.main(RECORD, play)
