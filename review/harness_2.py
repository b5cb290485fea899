"""What the cases 6 to 10 share: balancers as separate processes, small clients, and the record.

The balancers are started by the `run` line of deploy/balancer.toml, each with a temporary folder, on
free ports of 127.0.0.1, and are ended by their process ids. The stand-ins run in the script itself.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT = 110.0  # seconds for a whole case
_ports: set[int] = set()


def port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody has just now, below those that the system gives to clients."""
    for number in range(20_000 + os.getpid() * 131 % 11_000, 32_000):
        if number in _ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe, suppress(OSError):
            probe.bind(("127.0.0.1", number))
            _ports.add(number)
            return number
    raise RuntimeError("no port is free")


class CouldNotRunError(Exception):
    """The case says nothing about the rule: something that it needs was not there."""


class Record:
    """A case's record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.begun = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.begun

    def say(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def conclude(self, text: str) -> None:
        self.say(text)
        print(text)


class Balancer:
    """One balancer, over all its runs."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.folder, self.record = name, folder / name, record
        self.folder.mkdir()
        self.runs = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, variable: str, text: str) -> None:
        """Start a run; `variable` names the configuration file, which is given this text."""
        self.runs += 1
        self.file = self.folder / (
            "operator.toml" if variable == "BALANCER_OPERATOR" else "config.json"
        )
        self.file.write_text(text)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")
        }
        environment |= {variable: str(self.file), "TMPDIR": str(self.folder)}
        with (self.folder / f"log.{self.runs}").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.say(f"{self.name}: run {self.runs} started")

    def log(self) -> str:
        return "".join(
            (self.folder / f"log.{run}").read_text(errors="replace")
            for run in range(1, self.runs + 1)
        )

    def reload(self, text: str) -> None:
        """Put another file in the place of the present one by a rename, and send SIGHUP."""
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)
        self.signal(signal.SIGHUP)

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.process and self.alive():
            self.record.say(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process and self.alive():
            self.process.kill()
        if self.process:
            self.process.wait()


async def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 5.0,
) -> tuple[int, bytes]:
    """One request on a connection of its own; status 0 where there was no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [
                f"{method} {path} HTTP/1.1",
                *(f"{key}: {value}" for key, value in headers.items()),
            ]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            return int(head.split(b" ")[1]), await reader.readexactly(length)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer:
            writer.close()


async def until(holds: Callable[[], Any], seconds: float, what: str) -> None:
    """Wait until something holds; a case in which it does not come could not run."""
    ends = time.monotonic() + seconds
    while True:
        found = holds()
        if isinstance(found, Awaitable):
            found = await found
        if found:
            return
        if time.monotonic() > ends:
            raise CouldNotRunError(f"not within {seconds:g} s: {what}")
        await asyncio.sleep(0.02)


async def ready(address: tuple[str, int]) -> None:
    """Wait until a balancer says that it can serve."""

    async def is_up() -> bool:
        return (await ask(address, "GET", "/up", {"Host": "a"}, timeout=1.0))[0] == 200

    await until(is_up, 20.0, "GET /up is answered with 200")


def main(path: Path, play: Callable[[Record, Path, list[Balancer]], Awaitable[int]]) -> None:
    """Play a case and exit with what it came to; all balancers are ended whatever happens.

    Anything but a verdict, an unforeseen error of the script among it, ends with 2.
    """
    record, balancers = Record(path), list[Balancer]()
    code = COULD_NOT_RUN
    record.say(f"TROUBLE={int(TROUBLE)}")

    def give_up(why: str) -> None:
        record.say(f"could not run: {why}")
        for balancer in balancers:
            balancer.end()
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, lambda *_: give_up("told to end"))
    watchdog = threading.Timer(LIMIT + 5.0, give_up, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory(prefix="whinpier-case-", ignore_cleanup_errors=True) as name:
        try:

            async def bounded() -> int:
                async with asyncio.timeout(LIMIT):
                    return await play(record, Path(name), balancers)

            code = asyncio.run(bounded())
        except Exception as fault:
            record.conclude(f"could not run: {type(fault).__name__}: {fault}")
        finally:
            for balancer in balancers:
                balancer.end()
            if os.environ.get("KEEP_LOGS"):
                for balancer in balancers:
                    record.say(f"log of {balancer.name}:\n{balancer.log()}")
    record.say(f"exit {code}")
    sys.exit(code)
