"""A balancer as a process of its own, started with a configuration, watched and stopped.

Owns the process, its log and what it cost; ends only what it has started.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from functools import cache
from itertools import cycle, islice
from pathlib import Path
from typing import Any

MEMORY_INTERVAL_S = 0.02  # between two looks at a process's memory
LIMIT = 20.0  # seconds that a start or an end may take
PORTS = range(10_000, 32_000, 500)  # blocks, below what the system gives to who asks for any port


class Ports:
    """A block of ports that is this process's own, from which `free` picks.

    A socket on the first of them holds the block for as long as the process lives. So nobody who picks
    ports here, and no connection that starts, takes one between its being picked and its being bound, nor
    while the process that has it is down for a while.
    """

    def __init__(self) -> None:
        for first in PORTS:
            self.held = socket.socket()
            try:
                self.held.bind(("127.0.0.1", first))
            except OSError:
                self.held.close()
            else:
                self.turn = cycle(range(first + 1, first + PORTS.step))
                return
        raise OSError("each block of ports is another process's")

    def free(self, kind: socket.SocketKind, host: str) -> tuple[str, int]:
        """The next one that nobody has."""
        for port in islice(self.turn, PORTS.step):
            with socket.socket(socket.AF_INET, kind) as probe, suppress(OSError):
                probe.bind((host, port))
                return host, port
        raise OSError("each port of this process's block is taken")


@cache
def own_ports(process: int) -> Ports:
    return Ports()


def free(kind: socket.SocketKind = socket.SOCK_DGRAM, host: str = "127.0.0.1") -> tuple[str, int]:
    """A port that nobody has, and that nobody else picks."""
    return own_ports(os.getpid()).free(kind, host)


def free_address(host: str = "127.0.0.2") -> str:
    return "%s:%d" % free(socket.SOCK_STREAM, host)


class Balancer:
    """One process of `python -m whinpier`."""

    def __init__(
        self,
        folder: Path,
        operator: str = "",
        platform: dict[str, Any] | None = None,
        listen: str = "",
        root: Path | None = None,
        optimised: bool = True,
        cores: set[int] | None = None,
        wall: float = 0.0,
        dies: Path | None = None,
        fault: str = "",
    ) -> None:
        """Start it. `operator` is the text of an operator's file, `platform` the platform's configuration.

        `wall`: by how many seconds its wall clock is wrong. `dies`: a file that says at which
        point it does. `fault`: a known one that is put back.
        """
        module = (
            ["whinpier.testbed.crash_points", str(dies)]
            if dies
            else (
                ["whinpier.testbed.shifted", str(wall)]
                if wall
                else ["whinpier.testbed.faulty", fault]
                if fault
                else ["whinpier"]
            )
        )
        self.folder, self.listen = folder, listen
        folder.mkdir(parents=True, exist_ok=True)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")
        }
        self.file = folder / ("operator.toml" if operator else "config.json")
        self.file.write_text(operator or json.dumps(platform))
        environment["BALANCER_OPERATOR" if operator else "BALANCER_CONFIG"] = str(self.file)
        self.log_file = folder / "log"
        with self.log_file.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, *(["-O"] if optimised else []), "-m", *module],
                env=environment,
                stderr=errors,
                stdout=subprocess.DEVNULL,
                cwd=root,
            )
        if cores:
            os.sched_setaffinity(self.process.pid, cores)

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def log(self) -> str:
        return self.log_file.read_text()

    def wait_ready(self) -> None:
        """Until it says that it can serve; raises RuntimeError with its log if it does not."""
        ends = time.monotonic() + LIMIT
        while time.monotonic() < ends and self.process.poll() is None:
            try:
                with socket.create_connection(self.address, 1.0) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    if sock.recv(100).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError(f"not ready: {self.log()}")

    def reload(self, operator: str) -> None:
        """Put another file in its place and say so; returns once the process has read it."""
        before = self.said("event=configuration_applied ") + self.said(
            "event=configuration_rejected "
        )
        other = self.file.with_suffix(".new")
        other.write_text(operator)
        other.replace(self.file)
        self.process.send_signal(signal.SIGHUP)
        ends = time.monotonic() + LIMIT
        while (
            self.said("event=configuration_applied ") + self.said("event=configuration_rejected ")
            <= before
        ):
            if time.monotonic() > ends or self.process.poll() is not None:
                raise RuntimeError(f"no word of the new file: {self.log()}")
            time.sleep(0.01)

    def said(self, text: str) -> int:
        return self.log().count(text)

    def cpu(self) -> float:
        """Seconds of CPU since its start."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> int:
        """Bytes it holds now."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self, wait: bool = True) -> int | None:
        """SIGTERM, and SIGKILL if it does not end; its exit code."""
        if self.process.poll() is None:
            self.process.terminate() if wait else self.process.kill()
            try:
                self.process.wait(LIMIT)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        return self.process.returncode


class MemoryWatch:
    """The most memory that a balancer holds while the block lasts."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.peak = 0  # bytes
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        while not self.over.wait(MEMORY_INTERVAL_S) and self.balancer.process.poll() is None:
            with suppress(OSError, IndexError):  # it has just ended
                self.peak = max(self.peak, self.balancer.memory())

    def __enter__(self) -> MemoryWatch:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.over.set()
        self.thread.join()
