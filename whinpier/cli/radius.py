"""`whinpier radius`: reads a packet aloud, sends records and floods, and says what came back."""

from __future__ import annotations

import asyncio
import json
import sys
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Any

import click

from whinpier.cli.tables import FILE, fail, show
from whinpier.config.model import ConfigFault, address


@click.group()
def radius() -> None:
    """Packets read aloud, records sent, load."""


def packet_of(text: str) -> bytes:
    """The bytes of a packet: hexadecimal, @FILE as it is, - for hexadecimal on standard input."""
    try:
        if text.startswith("@"):
            return Path(text[1:]).read_bytes()
        given = sys.stdin.read() if text == "-" else text
        return bytes.fromhex("".join(given.split()).replace(":", ""))
    except OSError as fault:
        fail(str(fault))
    except ValueError:
        fail("the packet is not hexadecimal; @FILE reads bytes as they are")


@radius.command()
@click.argument("file", type=FILE)
@click.argument("packet")
@click.option(
    "--source", default="127.0.0.1", show_default=True, help="The address that it comes from."
)
@click.option("--json", "as_json", is_flag=True)
def explain(file: Path, packet: str, source: str, as_json: bool) -> None:
    """Say what PACKET (hexadecimal, @FILE or -) is, and what becomes of it by the operator's FILE.

    Exits with 1 where it is refused.
    """
    from whinpier.config import operator
    from whinpier.radius.explain import explain as explained
    from whinpier.radius.spec import RadiusSpec

    data = packet_of(packet)
    try:
        IPv4Address(source)
        spec = operator.read(str(file)).beside.get("radius")
    except AddressValueError:
        fail(f"--source: {source!r} is no IPv4 address")
    except ConfigFault as fault:
        fail(str(fault))
    if not isinstance(spec, RadiusSpec):
        fail(f"{file}: has no [radius]")
    found = explained(spec, data, source)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        show(
            [{"attribute": name, "value": value} for name, value in found["attributes"]],
            "attributes",
        )
        show(found["steps"], "steps")
        click.echo(f"refused: {found['refused']}" if found["refused"] else "taken")
    sys.exit(1 if found["refused"] else 0)


SECRET = click.option("--secret-file", type=FILE, required=True, help="Only its owner may read it.")


def asked(target: str, secret_file: Path) -> tuple[tuple[str, int], bytes]:
    from whinpier.config.fields import kept_secret

    try:
        return address(target, "TARGET"), kept_secret(str(secret_file), "--secret-file")
    except ConfigFault as fault:
        fail(str(fault))


def tell(rows: list[dict[str, Any]], as_json: bool, title: str) -> None:
    if as_json:
        click.echo(json.dumps(rows[0], indent=1))
    else:
        show(rows, title)


@radius.command()
@click.argument("target")
@SECRET
@click.option("--rate", default=10.0, show_default=True, type=click.FloatRange(0.1, 5000.0))
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(0.1, 3600.0))
@click.option(
    "--timeout",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.05, 30.0),
    help="Until the first retransmission; doubled each time (RFC 5080).",
)
@click.option(
    "--tries", default=4, show_default=True, type=click.IntRange(0, 10), help="Retransmissions."
)
@click.option("--realm", default="home.example", show_default=True)
@click.option("--nas", default="whinpier", show_default=True)
@click.option(
    "--bind", default="0.0.0.0", show_default=True, help="The address that it sends from."
)
@click.option("--json", "as_json", is_flag=True)
def send(
    target: str,
    secret_file: Path,
    rate: float,
    seconds: float,
    timeout: float,
    tries: int,
    realm: str,
    nas: str,
    bind: str,
    as_json: bool,
) -> None:
    """Send records to TARGET, each until it is answered. Exits with 1 if one was not, or in two ways."""
    from whinpier.testbed.ledger import percentile
    from whinpier.testbed.radius import Client

    where, secret = asked(target, secret_file)

    async def whole() -> Client:
        client = Client(
            nas, where, secret, rate, first=timeout, tries=tries, realm=realm, bind=bind
        )
        await client.start()
        await client.run(seconds)
        client.transport.close()
        return client

    try:
        client = asyncio.run(whole())
    except OSError as fault:
        fail(f"{target}: {fault}", 1)
    times = [1000 * one.latency for one in client.told if one.answers]
    two_ways = sum(len(set(one.answers)) > 1 for one in client.told)
    row = {
        "records": len(client.told),
        "answered": len(times),
        "two_ways": two_ways,
        "packets": sum(one.sent for one in client.told),
        "not_sent": client.not_sent,
        "median_ms": round(percentile(times, 0.5), 2),
        "p99_ms": round(percentile(times, 0.99), 2),
    }
    tell([row], as_json, f"records sent to {target}")
    sys.exit(1 if len(times) < len(client.told) or two_ways or client.not_sent else 0)


@radius.command()
@click.argument("target")
@SECRET
@click.option("--records", default=1000, show_default=True, type=click.IntRange(1, 200_000))
@click.option("--rate", default=500.0, show_default=True, type=click.FloatRange(1.0, 20_000.0))
@click.option(
    "--copies", default=1, show_default=True, type=click.IntRange(1, 10), help="Of each record."
)
@click.option("--nas", default="whinpier", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def flood(
    target: str, secret_file: Path, records: int, rate: float, copies: int, nas: str, as_json: bool
) -> None:
    """Send RECORDS to TARGET at a rate whatever comes back, then each again byte for byte."""
    from whinpier.testbed.radius import Burst, record

    where, secret = asked(target, secret_file)

    async def whole() -> Burst:
        burst = Burst(where, secret)
        packets = [record(number, secret, nas) for number in range(records)]
        try:
            for _ in range(copies):
                await burst.send(packets, rate)
            await asyncio.sleep(1.0)
        finally:
            burst.close()
        return burst

    try:
        burst = asyncio.run(whole())
    except OSError as fault:
        fail(f"{target}: {fault}", 1)
    row = {
        "records": records,
        "packets": records * copies,
        "answered": len(burst.answers),
        "answers": sum(map(len, burst.answers.values())),
        "two_ways": sum(len(set(one)) > 1 for one in burst.answers.values()),
    }
    tell([row], as_json, f"flood of {target}")
    sys.exit(1 if row["two_ways"] else 0)
