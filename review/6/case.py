"""An accounting server dies and comes back while records are out at it: does a charge run twice?"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

REVIEW = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(REVIEW), str(REVIEW.parent)]

import harness_2 as harness
import radius_2 as radius
from whinpier.testbed.discovery import Discovery

RECORD = Path(__file__).resolve().parent / "record.txt"
SERVERS, RATE, SECONDS = 3, 90.0, 9.0  # of which one dies: 33%
WORK = 0.16  # seconds to an answer: mean work of settle-batch is 88 to 160 ms
DIES_AT, AWAY = 4.0, 1.8  # seconds; it is away for 1.2 to 4 s
TOLD = 0.7  # seconds after its return that the list says so: seconds late
SERVER_SECRET, CLIENT_SECRET = b"only-for-a-trial", b"only-for-a-trial-too"

FILE = """
version = 1
name = "b1"
listen = ["127.0.0.1:{http}"]

[pools.roaming]
protocol = "radius"
discovery = "127.0.0.1:{discovery}"

[pools.roaming.radius]
secret = "only-for-a-trial"
retransmit = "500ms"
retransmissions = 3

[pools.roaming.workloads.record]
kind = "exclusive"
agreed_time = "500ms"
patience = "4s"

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


def entry(server: radius.Server, born_ms: int = 0) -> dict[str, object]:
    """What the list says of a server."""
    dial = f"127.0.0.1:{server.port}"
    return {
        "host": server.name, "dial": dial, "site": "a", "class": "m", "block": 0,
        "health": "up", "share": 1.0, "born_ms": born_ms,
    }  # fmt: skip


async def play(record: harness.Record, folder: Path, balancers: list[harness.Balancer]) -> int:
    ran: Counter[str] = Counter()
    servers = [
        radius.Server(f"acct-{n}", harness.port(2), SERVER_SECRET, WORK, record.say, ran)
        for n in range(1, SERVERS + 1)
    ]
    for server in servers:
        await server.start()
    http, listen = harness.port(), harness.port(2)
    discovery = Discovery(*(entry(server) for server in servers))
    await discovery.start(harness.port())
    balancer = harness.Balancer("b1", folder, record)
    balancers.append(balancer)
    balancer.start(
        "BALANCER_OPERATOR", FILE.format(http=http, radius=listen, discovery=discovery.port)
    )
    await harness.ready(("127.0.0.1", http))
    client = radius.Client(
        "nas-1",
        ("127.0.0.1", listen),
        CLIENT_SECRET,
        record.say,
        wait=1.5,
        tries=3,  # 37% of the patience each
    )
    await client.start()

    async def trouble() -> None:
        await asyncio.sleep(DIES_AT)
        record.say(f"{servers[0].name}: its process dies")
        servers[0].crash()
        await asyncio.sleep(AWAY)
        await servers[0].start()
        born_ms = time.time_ns() // 1_000_000
        record.say(f"{servers[0].name}: is there again, as a new process")
        await asyncio.sleep(TOLD)
        discovery.change(entry(servers[0], born_ms))
        record.say(f"the list tells that {servers[0].name} was started anew")

    async def one(number: int) -> None:
        await asyncio.sleep(number / RATE)
        session = f"s-{number}"
        pairs = [
            (radius.NAS, b"nas-1"),
            (radius.SESSION, session.encode()),
            (radius.STATUS, radius.START.to_bytes(4, "big")),
        ]
        await client.report(f"{session}/{radius.START}", pairs)

    work = [one(number) for number in range(int(RATE * SECONDS))]
    if harness.TROUBLE:
        work.append(trouble())
    await asyncio.gather(*work)
    await asyncio.sleep(0.5)
    client.close()
    discovery.stop()
    for server in servers:
        server.crash()
    if not balancer.alive():
        raise harness.CouldNotRunError("the balancer has ended")
    if len(client.answered) < 0.5 * RATE * SECONDS:
        raise harness.CouldNotRunError(f"only {len(client.answered)} records were answered")
    twice = sorted(record for record, count in ran.items() if count > 1)
    record.conclude(
        f"{len(client.sent)} exclusive records sent, {len(client.answered)} answered, {len(ran)} run, "
        f"{len(twice)} run more than once: {', '.join(twice[:8]) or 'none'}"
    )
    return harness.BROKEN if twice else harness.HELD


if __name__ == "__main__":
    harness.main(RECORD, play)
