"""What the cases share: the record, ports, the balancer as the deploy file starts it, RADIUS packets.

Standard library only. Everything runs on loopback addresses and ends by itself.
"""

from __future__ import annotations

import hashlib
import heapq
import hmac
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The record of a case: what was sent, answered and run, a line for each, with its time."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
            self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that is free just now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Balancer:
    """The balancer: `run` of the deploy file, from the root, by /bin/sh -c."""

    def __init__(self, record: Record, environment: dict[str, str], http_port: int) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command = deploy["run"]
        self.record, self.http_port = record, http_port
        self.folder = Path(environment["TMPDIR"])
        self.environment = {**os.environ, **environment}
        # Of the script's own variables the balancer gets none.
        for name in ("BALANCER_CONFIG", "BALANCER_OPERATOR", "PYTHONPATH", "TROUBLE"):
            if name not in environment:
                self.environment.pop(name, None)
        self.log_path = self.folder / "balancer.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, ready: bool = True) -> None:
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.write(f"balancer started, process {self.process.pid}")
        if ready:
            self.wait_ready()

    def wait_ready(self, limit: float = 20.0) -> None:
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun(f"the balancer ended: {self.log()[-2000:]}")
            try:
                with socket.create_connection(("127.0.0.1", self.http_port), 0.5) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record.write("balancer ready: /up answered 200")
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"the balancer was not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.write(f"balancer gets {number.name}")
        self.process.send_signal(number)

    def wait_ended(self, limit: float) -> int | None:
        """Its exit code; SIGKILL after `limit` seconds."""
        assert self.process is not None
        try:
            code = self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            code = self.process.wait(5)
        self.record.write(f"balancer ended with {code}")
        return code

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)


def run_case(name: str, path: Path, play, limit: float = 115.0) -> None:
    """Run a case and exit with its result.

    `path` is its record; `play(record, folder, stop)` returns the text of each break of the rule.
    """
    here = path.parent
    record = Record(path)
    record.write(f"case {here.name}: {name}; TROUBLE={int(TROUBLE)}")
    stop: list = []

    def give_up() -> None:
        record.write(f"COULD NOT RUN: not done after {limit:.0f} s")
        try:
            for end in stop:
                end()
        finally:
            os._exit(COULD_NOT_RUN)

    timer = threading.Timer(limit, give_up)
    timer.daemon = True
    timer.start()
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            try:
                breaks = play(record, Path(folder), stop)
            finally:
                for end in stop:
                    end()
    except Exception as why:  # CannotRun, or a fault of the script: neither speaks of the rule
        if not isinstance(why, CannotRun):
            traceback.print_exc()
        record.write(f"COULD NOT RUN: {why!r}")
        print(f"case {here.name}: could not run: {why!r}")
        sys.stdout.flush()
        os._exit(COULD_NOT_RUN)
    for text in breaks:
        record.write(f"BROKEN: {text}")
    verdict = f"rule broken {len(breaks)} times" if breaks else "rule held"
    record.write(verdict)
    print(f"case {here.name}, TROUBLE={int(TROUBLE)}: {verdict}")
    for text in breaks[:3]:
        print(f"  {text}")
    sys.stdout.flush()
    os._exit(BROKEN if breaks else HELD)


# RADIUS accounting (RFC 2866), with the Message-Authenticator of RFC 2869.

REQUEST, RESPONSE = 4, 5
USER_NAME, NAS_IP, PROXY_STATE, STATUS_TYPE = 1, 4, 33, 40
DELAY_TIME, SESSION_ID, EVENT_TIMESTAMP, MESSAGE_AUTHENTICATOR = 41, 44, 55, 80


def attribute(kind: int, value: bytes) -> bytes:
    return bytes((kind, len(value) + 2)) + value


def accounting_request(number: int, secret: bytes, attributes: list[tuple[int, bytes]]) -> bytes:
    """A whole packet, signed."""
    body = attribute(MESSAGE_AUTHENTICATOR, bytes(16))
    body += b"".join(attribute(kind, value) for kind, value in attributes)
    head = struct.pack("!BBH", REQUEST, number, 20 + len(body))
    proof = hmac.new(secret, head + bytes(16) + body, "md5").digest()
    body = attribute(MESSAGE_AUTHENTICATOR, proof) + body[18:]
    return head + hashlib.md5(head + bytes(16) + body + secret).digest() + body


def attributes_of(data: bytes) -> list[tuple[int, bytes]]:
    found, at, end = [], 20, struct.unpack_from("!H", data, 2)[0]
    while at + 2 <= end:
        kind, size = data[at], data[at + 1]
        found.append((kind, data[at + 2 : at + size]))
        at += size
    return found


def accounting_response(request: bytes, secret: bytes) -> bytes:
    """The answer to a request: its identifier, its Proxy-States, and the proofs."""
    states = [value for kind, value in attributes_of(request) if kind == PROXY_STATE]
    rest = b"".join(attribute(PROXY_STATE, value) for value in states)
    body = attribute(MESSAGE_AUTHENTICATOR, bytes(16)) + rest
    head = struct.pack("!BBH", RESPONSE, request[1], 20 + len(body))
    proof = hmac.new(secret, head + request[4:20] + body, "md5").digest()
    body = attribute(MESSAGE_AUTHENTICATOR, proof) + rest
    return head + hashlib.md5(head + request[4:20] + body + secret).digest() + body


def is_answer(data: bytes, request: bytes, secret: bytes) -> bool:
    """Whether an answer is proved and is one to this request."""
    if len(data) < 20 or data[0] != RESPONSE or data[1] != request[1]:
        return False
    due = hashlib.md5(data[:4] + request[4:20] + data[20:] + secret).digest()
    return hmac.compare_digest(due, data[4:20])


class Later:
    """Calls at their times, on one thread."""

    def __init__(self) -> None:
        self.due: list[tuple[float, int, object, tuple]] = []
        self.number = 0
        self.changed = threading.Condition()
        threading.Thread(target=self.run, daemon=True).start()

    def call(self, wait: float, what, *args) -> None:
        with self.changed:
            self.number += 1
            heapq.heappush(self.due, (time.monotonic() + wait, self.number, what, args))
            self.changed.notify()

    def run(self) -> None:
        while True:
            with self.changed:
                while not self.due or (rest := self.due[0][0] - time.monotonic()) > 0:
                    self.changed.wait(rest if self.due else None)
                _, _, what, args = heapq.heappop(self.due)
            what(*args)


LATER = Later()


class RadiusServer:
    """A sound accounting server over UDP: a packet that comes again is known by its source,
    identifier and authenticator (RFC 5080, 2.2.2) and answered again; each other one is a charge.
    """

    def __init__(self, name: str, secret: bytes, work: float, record: Record) -> None:
        self.name, self.secret, self.work, self.record = name, secret, work, record
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.met: dict[tuple, bytes | None] = {}
        self.ran: list[tuple[str, float]] = []  # session, when
        self.lock = threading.Lock()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        while True:
            try:
                data, source = self.sock.recvfrom(4097)
            except OSError:
                return
            head = data[:4] + bytes(16) + data[20:]
            if len(data) < 20 or hashlib.md5(head + self.secret).digest() != data[4:20]:
                continue
            key = (source, data[1], data[4:20])
            with self.lock:
                if key in self.met:
                    if answer := self.met[key]:
                        self.sock.sendto(answer, source)
                    continue
                self.met[key] = None
                session = dict(attributes_of(data))[SESSION_ID].decode()
                self.ran.append((session, time.monotonic()))
            self.record.write(f"run       {session} at {self.name}")
            LATER.call(self.work, self.finish, key, data, source)

    def finish(self, key: tuple, data: bytes, source: tuple) -> None:
        answer = accounting_response(data, self.secret)
        with self.lock:
            self.met[key] = answer
        try:
            self.sock.sendto(answer, source)
        except OSError:
            pass

    def close(self) -> None:
        self.sock.close()


class RadiusRecord:
    """One accounting record of a client: its packet, and what became of it."""

    def __init__(self, session: str, packet: bytes) -> None:
        self.session, self.packet = session, packet
        self.sent: list[float] = []
        self.answered_at: float | None = None


class RadiusClient:
    """A sound client over UDP: each record is sent again, unchanged, until it is answered or the
    client gives up. `waits` are the seconds between its sends.
    """

    def __init__(
        self, address: str, port: int, secret: bytes, waits: list[float], record: Record
    ) -> None:
        self.server, self.secret, self.waits, self.record = ("127.0.0.1", port), secret, waits, record
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((address, 0))
        self.address = address
        self.records: list[RadiusRecord] = []
        self.out: dict[int, RadiusRecord] = {}  # by identifier
        self.free = list(range(256))
        self.lock = threading.Lock()
        threading.Thread(target=self.read, daemon=True).start()

    def send_new(self, session: str, stamp: int) -> RadiusRecord | None:
        """Begin a record; None where all identifiers are in use."""
        with self.lock:
            if not self.free:
                return None
            number = self.free.pop(0)
        packet = accounting_request(
            number,
            self.secret,
            [
                (USER_NAME, b"someone@partner.example"),
                (NAS_IP, bytes((127, 0, 0, 1))),
                (STATUS_TYPE, (2).to_bytes(4, "big")),  # Stop
                (SESSION_ID, session.encode()),
                (EVENT_TIMESTAMP, stamp.to_bytes(4, "big")),
            ],
        )
        found = RadiusRecord(session, packet)
        with self.lock:
            self.records.append(found)
            self.out[number] = found
        self.send(number, found, 0)
        return found

    def send(self, number: int, found: RadiusRecord, tries: int) -> None:
        with self.lock:
            if found.answered_at is not None or self.out.get(number) is not found:
                return
            found.sent.append(time.monotonic())
        self.record.write(f"sent      {found.session} id {number} try {tries + 1}")
        try:
            self.sock.sendto(found.packet, self.server)
        except OSError:
            pass  # nobody listens just now: sent again later
        if tries < len(self.waits):
            LATER.call(self.waits[tries], self.send, number, found, tries + 1)

    def read(self) -> None:
        while True:
            try:
                data = self.sock.recv(4097)
            except ConnectionError:
                continue
            except OSError:
                return
            with self.lock:
                found = self.out.get(data[1]) if len(data) >= 20 else None
                if found is None or not is_answer(data, found.packet, self.secret):
                    continue
                if found.answered_at is None:
                    found.answered_at = time.monotonic()
                    del self.out[data[1]]
                    self.free.append(data[1])
            self.record.write(f"answered  {found.session}")

    def close(self) -> None:
        self.sock.close()


def write_json(path: Path, value: object) -> None:
    path.write_text(json.dumps(value))
