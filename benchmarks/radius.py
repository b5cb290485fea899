"""RADIUS records on a network that loses, doubles and delays datagrams, with silent and late
servers.

Counts by the stand-ins' ledgers: executions and answers' contents for each record. A run without
faults gives the on-time share to compare with, and CPU a packet; HTTP requests in the same
process are held against HTTP alone.
"""

from __future__ import annotations

import asyncio
import os
import ssl
import tempfile
import time
from collections import Counter
from ipaddress import IPv4Network
from pathlib import Path
from random import Random
from typing import Any

import trustme

from benchmarks.common import Report, apart, main
from whinpier.radius.client_table import Clients, Routes
from whinpier.radius.packet import Packet
from whinpier.radius.spec import ClientSpec, RouteSpec
from whinpier.testbed import files
from whinpier.testbed.clients import Asks, Gateway
from whinpier.testbed.files import Plain
from whinpier.testbed.load import Load
from whinpier.testbed.process import Balancer, free_address
from whinpier.testbed.radius import Behaviour, Burst, Caller, Client, Server, Weather, record
from whinpier.testbed.upstream import Script
from whinpier.testbed.upstream_fleet import UpstreamFleet

CLIENTS, RATE, AGREED = 4, 100.0, 1.5  # seconds: one retransmission of a client is in time
HTTP_RATE = 150.0


def operator(listen: str, radius: str, servers: list[Server], upstream_fleet: UpstreamFleet) -> str:
    addresses = {server.name: f"127.0.0.1:{server.port}" for server in servers}
    whole = files.records(radius, addresses, ["partner"], agreed=1.0)
    whole["pools"]["charges"] = files.service(
        "charge", "exclusive", upstream_fleet.addresses, 0.25, 1.5
    )
    return files.document(
        {
            "version": 1,
            "listen": [listen],
            **whole,
            "routes": [{"name": "charge", "pool": "charges"}],
        }
    )


async def run(
    seed: int,
    span: float,
    weather: Weather,
    behaviours: list[Behaviour],
    records: bool,
    folder: Path,
) -> dict[str, Any]:
    """One run: what records and HTTP requests came to."""
    servers = [
        Server(f"r{number}", b"server", how, weather, seed + number)
        for number, how in enumerate(behaviours)
    ]
    for server in servers:
        await server.start()
    upstream_fleet = UpstreamFleet({f"s-{number}": Script(work=0.02) for number in range(3)}, seed)
    listen, radius = free_address(), free_address()
    balancer = Balancer(
        folder,
        operator=operator(listen, radius, servers, upstream_fleet),
        listen=listen,
        cores={apart()[0]},
    )
    try:
        await asyncio.to_thread(balancer.wait_ready)
        host, _, port = radius.rpartition(":")
        load = Load(
            balancer.address,
            Asks("charge", HTTP_RATE, "/x", timeout=1.5, agreed=0.25),
            seed,
            time.monotonic() + 0.7,
            span,
        )
        await asyncio.sleep(0.7)
        clients = [
            Client(
                f"nas{number}",
                (host, int(port)),
                b"partner",
                RATE if records else 0.01,
                seed + number,
                weather,
                first=0.6,
            )
            for number in range(CLIENTS)
        ]
        for client in clients:
            await client.start()
        before, memory = balancer.cpu(), [balancer.memory()]

        async def watch() -> None:
            while True:
                await asyncio.sleep(span / 8)
                memory.append(balancer.memory())

        watching = asyncio.create_task(watch())
        await asyncio.gather(*(client.run(span) for client in clients))
        watching.cancel()
        http: Gateway = await asyncio.to_thread(load.result)
        cpu = balancer.cpu() - before
        told = [record for client in clients for record in client.told]
        ran: Counter[str] = Counter()
        for server in servers:
            ran.update(server.ran)
        return {
            "told": told,
            "ran": ran,
            "http": http,
            "cpu": cpu,
            "memory": memory,
            "packets": sum(server.met for server in servers) + sum(record.sent for record in told),
            "strange": sum(client.strange for client in clients),
            "log": balancer.log(),
            "twice_http": upstream_fleet.ledger().twice(),
        }
    finally:
        await asyncio.to_thread(balancer.stop)
        await asyncio.to_thread(upstream_fleet.stop)
        for server in servers:
            server.stop()


async def full(seed: int, records: int, most: int, folder: Path) -> dict[str, Any]:
    """A memory smaller than what comes: every record once, then each again byte for byte."""
    server = Server("r0", b"server", Behaviour(delay=0.002, forgets=True), Weather(), seed)
    await server.start()
    listen, radius = free_address(), free_address()
    whole = files.records(
        radius, {"r0": f"127.0.0.1:{server.port}"}, ["partner"], most=most, kept="30s"
    )
    balancer = Balancer(
        folder,
        operator=files.document({"version": 1, "listen": [listen], **whole}),
        listen=listen,
        cores={apart()[0]},
    )
    try:
        await asyncio.to_thread(balancer.wait_ready)
        host, _, port = radius.rpartition(":")
        burst = Burst((host, int(port)), b"partner")
        packets = [record(number, b"partner") for number in range(records)]
        for _ in range(2):
            await burst.send(packets, 600.0)
            await asyncio.sleep(0.5)
        burst.close()
        return {
            "ran": server.ran,
            "answered": len(burst.answers),
            "contents": max((len(set(one)) for one in burst.answers.values()), default=0),
        }
    finally:
        await asyncio.to_thread(balancer.stop)
        server.stop()


EACH, BURST = 60, 400.0  # records of a round, and a second


async def killed(seed: int, rounds: int, state: Plain | None, folder: Path) -> dict[str, Any]:
    """kill -9 at random moments under load; after each the next run gets all of the round again."""
    server = Server("r0", b"server", Behaviour(delay=0.01, forgets=True), Weather(), seed)
    chance = Random(seed)
    await server.start()
    listen, radius = free_address(), free_address()
    more: Plain = {"state": {"file": str(folder / "state")} | state} if state is not None else {}
    whole = files.records(
        radius, {"r0": f"127.0.0.1:{server.port}"}, ["partner"], kept="60s", **more
    )
    text = files.document({"version": 1, "listen": [listen], **whole})
    host, _, port = radius.rpartition(":")
    burst = Burst((host, int(port)), b"partner")
    packets = [record(number, b"partner") for number in range(EACH * rounds)]
    starts, lost = list[float](), 0
    for turn in range(rounds):
        first = turn * EACH
        for again in (False, True):
            begun = time.monotonic()
            balancer = Balancer(
                folder / f"{turn}{again}", operator=text, listen=listen, cores={apart()[0]}
            )
            await asyncio.to_thread(balancer.wait_ready)
            starts.append(time.monotonic() - begun)
            sending = asyncio.create_task(burst.send(packets[first : first + EACH], BURST, first))
            await asyncio.sleep(
                EACH / BURST * chance.uniform(0.1, 1.1) if not again else EACH / BURST + 0.3
            )
            await asyncio.to_thread(balancer.stop, again)
            lost += balancer.log().count("level=error") + balancer.log().count(
                "event=invariant_violated"
            )
            await sending
    burst.close()
    server.stop()
    return {
        "ran": server.ran,
        "answered": len(burst.answers),
        "sent": len(packets),
        "start": max(starts),
        "faults": lost,
        "size": (folder / "state").stat().st_size if state is not None else 0,
    }


def look_up(realms: int) -> float:
    """Microseconds to find client and route of a record, among so many realms, NAS prefixes and
    networks.
    """
    routes = Routes(
        [RouteSpec(f"r{number}", "p", "w", f"n{number}.example") for number in range(realms)]
        + [RouteSpec(f"s{number}", "p", "w", nas=f"bsc-{number}-*") for number in range(realms)]
    )
    clients = Clients(
        [
            ClientSpec(f"c{number}", (IPv4Network((167772160 + 256 * number, 24)),), (b"s",))
            for number in range(realms)
        ]
    )
    asked = [
        (
            f"10.{number // 256 % 256}.{number % 256}.7",
            Packet(
                4,
                1,
                attributes=[
                    (1, b"u@n%d.example" % number if number % 2 else b"u"),
                    (32, b"bsc-%d-9" % number),
                    (40, b"\0\0\0\1"),
                ],
            ),
        )
        for number in (turn * realms // 1000 for turn in range(1000))
    ]
    best = float("inf")
    for _ in range(7):
        begun = time.perf_counter()
        for address, packet in asked:
            client = clients.of(address)
            if client is None or routes.of(packet, client.name) is None:
                raise RuntimeError(f"{address}: not found")
        best = min(best, time.perf_counter() - begun)
    return 1e6 * best / len(asked)


async def transport(over: str, count: int, peers: int, folder: Path) -> dict[str, float]:
    """What a record costs the balancer by UDP, TCP or TLS: CPU, and memory for each connection."""
    server = Server("r0", b"server", Behaviour(delay=0.002), Weather(), 1)
    await server.start()
    listen, radius, stream = free_address(), free_address(), free_address()
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    certificate = authority.issue_cert("server")
    (folder / "server.pem").write_bytes(
        b"".join(part.bytes() for part in certificate.cert_chain_pems)
    )
    (folder / "server.key").write_bytes(certificate.private_key_pem.bytes())
    (folder / "server.key").chmod(0o600)
    files_of = {
        name: str(folder / file)
        for name, file in (
            ("certificate", "server.pem"),
            ("key", "server.key"),
            ("authorities", "ca.pem"),
        )
    }
    more: Plain = (
        {
            "streams": [{"listen": stream, **(files_of if over == "TLS" else {})}],
            "connections": peers + 8,
        }
        if over != "UDP"
        else {}
    )
    whole = files.records(radius, {"r0": f"127.0.0.1:{server.port}"}, ["partner"], **more)
    whole["radius"]["clients"]["partner"]["names"] = ["nas.example"]
    balancer = Balancer(
        folder / over,
        operator=files.document({"version": 1, "listen": [listen], **whole}),
        listen=listen,
        cores={apart()[0]},
    )
    context = None
    if over == "TLS":
        context = ssl.create_default_context(cafile=str(folder / "ca.pem"))
        own = authority.issue_cert("nas.example")
        own.configure_cert(context)
    try:
        await asyncio.to_thread(balancer.wait_ready)
        host, _, port = (radius if over == "UDP" else stream).rpartition(":")
        secret = b"radsec" if over == "TLS" else b"partner"
        before = balancer.memory()
        callers = [
            Caller((host, int(port)), secret, context) for _ in range(peers if over != "UDP" else 0)
        ]
        for caller in callers:
            await caller.open()
        held = (balancer.memory() - before) / max(1, peers)
        packets = [record(number, secret) for number in range(count)]
        burst, cpu, rate = Burst((host, int(port)), secret), balancer.cpu(), 300.0
        begun = time.monotonic()
        if over == "UDP":
            await burst.send(packets, rate)
        else:
            for index, data in enumerate(packets):
                await asyncio.sleep(max(0.0, begun + index / rate - time.monotonic()))
                callers[index // 256 % peers].send(data)
        await asyncio.sleep(0.3)
        cpu = balancer.cpu() - cpu
        answered = len(burst.answers) + sum(len(caller.answers) for caller in callers)
        burst.close()
        for caller in callers:
            caller.close()
        return {"cpu_ms": 1000 * cpu / count, "kb": held / 1024, "answered": answered / count}
    finally:
        await asyncio.to_thread(balancer.stop)
        server.stop()


def share(told: list[Any]) -> float:
    return sum(bool(one.answers) and one.latency <= AGREED for one in told) / max(1, len(told))


def bench() -> int:
    report = Report("radius", __doc__ or "")
    given = report.options()
    span = 2.0 if given.short else 60.0
    os.sched_setaffinity(0, apart()[1])
    bad = Weather(lost=0.05, doubled=0.05, late=0.1, by=0.1)
    well = [Behaviour() for _ in range(4)]
    ill = [
        Behaviour(),
        Behaviour(twice=0.2),
        Behaviour(late=0.1, late_by=1.2),
        Behaviour(deaf=True),
    ]
    with tempfile.TemporaryDirectory() as folder:
        where = Path(folder)
        alone = asyncio.run(run(given.seed, span, Weather(), well, False, where / "alone"))
        calm = asyncio.run(run(given.seed, span, Weather(), well, True, where / "calm"))
        lossy = asyncio.run(run(given.seed, span, bad, well, True, where / "lossy"))
        faulty = asyncio.run(run(given.seed, span, bad, ill, True, where / "faulty"))
    for name, seen in (("calm", calm), ("lossy", lossy), ("faulty", faulty)):
        told = seen["told"]
        answered = [one for one in told if one.answers]
        report.say(
            f"     {name}: {len(told)} records, {len(answered)} answered, on time {share(told):.4f}, "
            f"{sum(one.sent for one in told)} packets of clients, HTTP on time "
            f"{seen['http'].share_on_time():.4f} (alone {alone['http'].share_on_time():.4f})"
        )
        report.bound(
            f"{name}: records that ran twice", sum(n > 1 for n in seen["ran"].values()), most=0
        )
        report.bound(
            f"{name}: records with two contents of answers",
            sum(len(set(one.answers)) > 1 for one in told),
            most=0,
        )
        report.bound(
            f"{name}: answered and never ran",
            sum(not seen["ran"][one.record] for one in answered),
            most=0,
        )
        report.bound(
            f"{name}: HTTP tasks unanswered, or run twice",
            len(seen["http"].unanswered()) + len(seen["twice_http"]),
            most=0,
        )
        report.bound(
            f"{name}: points that HTTP lost on time beside HTTP alone",
            100 * (alone["http"].share_on_time() - seen["http"].share_on_time()),
            most=2,
        )
        report.bound(
            f"{name}: lines that say a rule or the program is broken",
            seen["log"].count("event=invariant_violated") + seen["log"].count("level=error"),
            most=0,
        )
    most, records = (300, 600) if given.short else (3000, 6000)
    with tempfile.TemporaryDirectory() as folder:
        met = asyncio.run(full(given.seed, records, most, Path(folder)))
    report.say(
        f"     full memory: {records} records and as many retransmissions, room for {most}; "
        f"{met['answered']} answered"
    )
    report.bound(
        "full memory: records that ran twice", sum(n > 1 for n in met["ran"].values()), most=0
    )
    report.bound("full memory: records with two answers", max(0, met["contents"] - 1), most=0)
    report.bound("full memory: part of the room that was used", met["answered"] / most, least=0.95)
    few, many = look_up(10), look_up(10_000)
    report.say(
        f"     client and route among 10 realms, NAS prefixes and networks: {few:.1f} us, "
        f"among 10,000: {many:.1f} us"
    )
    # Trying each would be a thousand times as much; what is left is the memory that more entries
    # lie in.
    report.bound("look-up among 10,000 over that among 10", many / few, most=4.0)
    costs = {}
    for over in ("UDP", "TCP", "TLS"):
        with tempfile.TemporaryDirectory() as folder:
            costs[over] = asyncio.run(
                transport(over, 384 if given.short else 7680, 30, Path(folder))
            )
        report.say(
            f"     over {over}: {costs[over]['cpu_ms']:.2f} ms of CPU a record, "
            f"{costs[over]['kb']:.0f} KB a connection, answered {costs[over]['answered']:.3f}"
        )
        report.bound(f"over {over}: part answered", costs[over]["answered"], least=0.98)
        report.figure(f"cpu_ms_{over}", costs[over]["cpu_ms"])
    report.bound(
        "CPU of a record over TLS beside UDP",
        costs["TLS"]["cpu_ms"] / costs["UDP"]["cpu_ms"],
        most=2.0,
    )
    rounds = 2 if given.short else 50
    for name, state in (("no state file", None), ("state file", {})):
        with tempfile.TemporaryDirectory() as folder:
            turns = min(rounds - 1, 10) if state is None else rounds
            met = asyncio.run(killed(given.seed, turns, state, Path(folder)))
        twice = sum(n > 1 for n in met["ran"].values())
        report.say(
            f"     killed, {name}: {met['sent']} records, {len(met['ran'])} ran, {twice} twice, "
            f"{met['answered']} answered, slowest start {met['start']:.2f} s, {met['size']} bytes"
        )
        report.figure(f"twice_with_{name.replace(' ', '_')}", twice)
        if state is not None:
            report.bound(f"kill -9 in {rounds} rounds: records that ran twice", twice, most=0)
            report.bound("kill -9: faults in the log", met["faults"], most=0)
            report.bound(
                "kill -9: part of the records that ran", len(met["ran"]) / met["sent"], least=0.9
            )
    report.bound(
        "lossy: answered",
        sum(bool(one.answers) for one in lossy["told"]) / len(lossy["told"]),
        least=0.99,
    )
    packets = calm["packets"]
    report.figure("on_time_calm", share(calm["told"]))
    report.figure("on_time_lossy", share(lossy["told"]))
    report.figure("on_time_faulty", share(faulty["told"]))
    report.figure("cpu_ms_a_packet", 1000 * max(0.0, calm["cpu"] - alone["cpu"]) / max(1, packets))
    grown = (max(faulty["memory"][-2:]) - max(faulty["memory"][2:4])) / 2**20
    report.bound("faulty: MB that memory grew in its second half", grown, most=4.0)
    return report.close()


if __name__ == "__main__":
    main(bench)
