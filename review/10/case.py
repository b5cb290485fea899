"""RADIUS is added to a member of a bank by a planned restart: does it still act by what was agreed?"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness
from http_2 import Upstream

RECORD = Path(__file__).resolve().parent / "record.txt"
NAMES = ["m0", "m1", "m2", "m3", "m4"]  # of which one is restarted: 20% of 24%
GRACE = 2.0  # seconds that new work may still come after a drain was told
RATE = 50.0  # tasks a second
WORK = 0.02
AFTER = 8.0  # seconds of tasks after its return

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

RADIUS = """
[pools.acct]
protocol = "radius"
upstreams = [{{ name = "acct-1", address = "127.0.0.1:{server}" }}]

[pools.acct.radius]
secret = "only-for-a-trial"

[pools.acct.workloads.record]
kind = "exclusive"
agreed_time = "500ms"
patience = "3s"

[radius]
listen = ["127.0.0.1:{radius}"]

[radius.clients.partner]
networks = ["127.0.0.0/8"]
secrets = ["only-for-a-trial-too"]

[[radius.routes]]
name = "all"
pool = "acct"
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
            await asyncio.sleep(len(NAMES) / RATE)
        await asyncio.gather(*asked)

    control = folder / "m0" / "bank.sock"

    async def has_begun() -> bool:
        return bool((await status(control))["line"] >= 3)

    await harness.until(has_begun, 20.0, "the record has begun")
    member = balancers[-1]
    at_member = asyncio.Event()
    loads = [asyncio.create_task(load(name, done)) for name in NAMES[:-1]]
    loads.append(asyncio.create_task(load(member.name, at_member)))
    await asyncio.sleep(2.0)
    if await bank(record, control, "drain", "upstream", "t/s-0", "--why", "a new disk"):
        raise harness.CouldNotRunError("the upstream could not be drained")
    await asyncio.sleep(GRACE)
    if harness.TROUBLE:
        at_member.set()
        await asyncio.sleep(0.5)
        member.signal(signal.SIGTERM)
        await asyncio.to_thread(member.process.wait)
        if member.process.returncode:
            raise harness.CouldNotRunError("it did not end with 0 after SIGTERM")
        member.start(
            "BALANCER_OPERATOR",
            files[member.name] + RADIUS.format(server=harness.port(2), radius=harness.port(2)),
        )
        await harness.ready(http[member.name])
        known = await status(folder / member.name / "bank.sock")
        record.say(
            f"{member.name} says that it can serve; it knows line {known['line']} of the record"
        )
        at_member.clear()
        loads.append(asyncio.create_task(load(member.name, at_member)))
    await asyncio.sleep(GRACE)
    before = upstreams[0].ran.total()
    record.say(f"from here on what comes to s-0 is counted; it has run {before}")
    await asyncio.sleep(AFTER)
    done.set()
    at_member.set()
    await asyncio.gather(*loads)
    await bank(record, folder / member.name / "bank.sock", "members")
    if not all(balancer.alive() for balancer in balancers):
        raise harness.CouldNotRunError("a balancer has ended")
    others = sum(upstream.ran.total() for upstream in upstreams[1:])
    if not others or not all(answers[f"{name} 200"] for name in NAMES):
        raise harness.CouldNotRunError(f"answers: {dict(answers)}")
    late = upstreams[0].ran.total() - before
    record.conclude(
        f"answers by balancer: {dict(sorted(answers.items()))}; s-0 was drained at all balancers and got "
        f"{late} new tasks in the last {AFTER:g} s"
    )
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    harness.main(RECORD, play)
