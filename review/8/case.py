"""Most voters are gone for good and an operator recovers: is what was agreed still there?"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness
from http_2 import Upstream

RECORD = Path(__file__).resolve().parent / "record.txt"
NAMES = ["m0", "m1", "m2"]  # of which two die at once, for good: 67% of 70%
GRACE = 2.0  # seconds that new work may still come after a drain was told
RATE = 30.0  # tasks a second
WORK = 0.02

FILE = """
version = 1
name = "{name}"
listen = ["127.0.0.1:{http}"]

[pools.t]
upstreams = [{upstreams}]

[pools.t.workloads.charge]
kind = "exclusive"
agreed_time = "750ms"
patience = "3s"

[[routes]]
name = "charge"
prefix = "/charge"
methods = ["POST"]
pool = "t"

[bank]
listen = "127.0.0.1:{bank}"
seeds = [{seeds}]
key_files = ["{key}"]
control = "{control}"
recall = "{folder}/recall"

[bank.agreement]
voters = ["m0", "m1", "m2"]
folder = "{folder}/record"

[bank.agreement.permits.t]
of = "upstreams"
pool = "t"
out = 1
"""


async def bank(record: harness.Record, control: Path, *words: str) -> int:
    """One command of an operator; its exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "whinpier.cli", "bank", *words, "--socket", str(control),
        cwd=harness.ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    said, _ = await process.communicate()
    record.say(
        f"whinpier bank {' '.join(words)}: exit {process.returncode}, {said.decode().strip()}"
    )
    return process.returncode or 0


async def status(control: Path) -> dict[str, Any]:
    """What a balancer knows of the record."""
    reader, writer = await asyncio.open_unix_connection(str(control))
    writer.write(b'{"ask": "status", "id": 1}\n')
    answer = json.loads(await reader.readline())
    writer.close()
    found: dict[str, Any] = answer["result"]
    return found


async def history(control: Path) -> list[str]:
    """What operators have said, as the record has it."""
    reader, writer = await asyncio.open_unix_connection(str(control), limit=1 << 20)
    writer.write(b'{"ask": "history", "id": 1}\n')
    answer = json.loads(await reader.readline())
    writer.close()
    return [json.dumps(row) for row in answer["result"]["items"]]


async def play(record: harness.Record, folder: Path, balancers: list[harness.Balancer]) -> int:
    upstreams = [Upstream(f"s-{n}", harness.port(), WORK, record.say) for n in range(3)]
    for upstream in upstreams:
        await upstream.start()
    key = folder / "key"
    key.write_text("a key for a trial, not a secret")
    key.chmod(0o600)
    listed = ", ".join(f'{{ name = "{one.name}", address = "{one.address}" }}' for one in upstreams)
    banks = {name: harness.port(2) for name in NAMES}
    http = {name: ("127.0.0.1", harness.port()) for name in NAMES}
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in banks.values())
    files = {
        name: FILE.format(
            name=name, http=http[name][1], bank=banks[name], seeds=seeds, upstreams=listed, key=key,
            control=folder / name / "bank.sock", folder=folder / name,
        )
        for name in NAMES
    }  # fmt: skip
    for name in NAMES:
        balancer = harness.Balancer(name, folder, record)
        balancers.append(balancer)
        balancer.start("BALANCER_OPERATOR", files[name])
    for name in NAMES:
        await harness.ready(http[name])
    answers: Counter[str] = Counter()
    done = asyncio.Event()
    number = 0

    async def one(name: str, task: str) -> None:
        headers = {"Host": "charge.example", "X-Txn": task, "X-Remaining": "3.000"}
        status, _ = await harness.ask(http[name], "POST", "/charge", headers, b"{}", 3.5)
        answers[f"{name} {status}"] += 1
        record.say(f"client: {task} by {name}: {status or 'no answer'}")

    async def load(name: str, until: asyncio.Event) -> None:
        """Tasks that the front deals to one balancer."""
        nonlocal number
        asked = []
        while not until.is_set():
            number += 1
            asked.append(asyncio.create_task(one(name, f"{number:08x}")))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*asked)

    control = folder / "m0" / "bank.sock"

    async def has_begun() -> bool:
        return bool((await status(control))["line"] >= 3)

    await harness.until(has_begun, 20.0, "the record has begun")
    loads = [asyncio.create_task(load("m0", done))]
    await asyncio.sleep(1.0)
    if await bank(record, control, "drain", "upstream", "t/s-0", "--why", "a new disk"):
        raise harness.CouldNotRunError("the upstream could not be drained")
    known = await status(control)
    record.say(
        f"m0 knows line {known['line']}, revision {known['revision']}, digest {known['digest']}"
    )
    if not any("drain t/s-0" in line for line in await history(control)):
        raise harness.CouldNotRunError("m0 does not know the drain that it said was done")
    await asyncio.sleep(GRACE)
    done.set()
    await asyncio.gather(*loads)
    before = upstreams[0].ran.total()
    record.say(f"s-0 is drained at all balancers; it has run {before}")
    if harness.TROUBLE:
        for balancer in balancers[1:]:
            balancer.signal(signal.SIGKILL)
            await asyncio.to_thread(balancer.process.wait)
            shutil.rmtree(balancer.folder / "record")
            record.say(f"{balancer.name} and its disk are gone for good")
        await asyncio.sleep(2.0)
        balancers[0].signal(signal.SIGTERM)
        await asyncio.to_thread(balancers[0].process.wait)
        if balancers[0].process.returncode:
            raise harness.CouldNotRunError("m0 did not end with 0 after SIGTERM")
        balancers[0].start("BALANCER_OPERATOR", files["m0"])
        await harness.ready(http["m0"])
        found = await status(control)
        record.say(f"after its restart m0 shows line {found['line']}, voters {found['voters']}")
        if await bank(record, control, "recover", "--yes"):
            raise harness.CouldNotRunError("m0 could not recover")
        for balancer in balancers[1:]:
            balancer.start("BALANCER_OPERATOR", files[balancer.name])
        for name in NAMES[1:]:
            await harness.ready(http[name])

        async def is_whole() -> bool:
            return len((await status(control))["voters"]) == len(NAMES)

        await harness.until(is_whole, 20.0, "the new voters vote")
    await asyncio.sleep(GRACE)
    begun = upstreams[0].ran.total()
    done.clear()
    loads = [asyncio.create_task(load(name, done)) for name in NAMES]
    await asyncio.sleep(4.0)
    done.set()
    await asyncio.gather(*loads)
    if not all(balancer.alive() for balancer in balancers):
        raise harness.CouldNotRunError("a balancer has ended")
    await bank(record, control, "status")
    await bank(record, control, "permits")
    kept = await history(control)
    record.say(f"the history that m0 shows: {kept}")
    has_drain = any("drain t/s-0" in line for line in kept)
    late = upstreams[0].ran.total() - begun
    record.conclude(
        f"answers by balancer: {dict(sorted(answers.items()))}; the drain that was done everywhere is "
        f"{'known' if has_drain else 'NOT known'} to the record, and s-0 got {late} new tasks after it"
    )
    return harness.HELD if has_drain and not late else harness.BROKEN


if __name__ == "__main__":
    harness.main(RECORD, play)
