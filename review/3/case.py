"""Clients of the platform ask with a query that has percent-encoded characters beyond ASCII, as a
place's or a person's name has.
"""

from __future__ import annotations

import json
import socket
import socketserver
import threading
import time
import uuid
from pathlib import Path

from common import TROUBLE, Balancer, CannotRun, free_port, run_case, write_json

RECORD = Path(__file__).resolve().parent / "record.txt"
# The first three hold ASCII only; the others are the UTF-8 of two names and of a sign.
PLAIN = ("obj=Ulaanbaatar", "obj=a%20b", "note=50%25")
ENCODED = ("obj=%D0%A3%D0%BB%D0%B0%D0%B0%D0%BD", "obj=Gas%C3%B3leo", "note=%E2%82%AC")
REQUESTS = 20  # of each lane and query
PATIENCE = 2.0  # seconds
ENDED, LATE, FOREIGN = "no answer: the connection was ended", "no answer in time", "a foreign answer"
LANES = {
    "look": ("GET", "repeatable"),
    "settle": ("POST", "by_key"),
    "charge": ("POST", "once"),
}


class Http(socketserver.ThreadingTCPServer):
    allow_reuse_address = daemon_threads = True
    block_on_close = False

    def __init__(self, handler) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.port = self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()


def read_message(file) -> tuple[str, dict[str, str], bytes] | None:
    line = file.readline().decode("latin-1")
    if not line:
        return None
    headers = {}
    while (text := file.readline().decode("latin-1").strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    return line.strip(), headers, file.read(int(headers.get("content-length", 0)))


def upstream(name: str, record, ran: dict[str, int]):
    """A sound upstream: runs what comes and answers 200 with a body that names the request."""

    class Handler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            while (found := read_message(self.rfile)) is not None:
                line, headers, _ = found
                txn = headers.get("x-txn", "")
                ran[txn] = ran.get(txn, 0) + 1
                record.write(f"run       {txn} at {name}: {line}")
                time.sleep(0.02)
                body = f"done {txn}".encode()
                self.wfile.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )

    return Handler


def discovery(hosts: list[dict[str, object]]):
    """The platform's discovery, as the agent on the balancer's machine; the list does not change."""
    whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()

    class Handler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            while (found := read_message(self.rfile)) is not None:
                if "watch=1" not in found[0]:
                    self.wfile.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole)
                    )
                    continue
                self.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                first = whole + b"\n"
                if "from=1" in found[0]:
                    first = b"\n"
                try:
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(first), first))
                    while True:
                        time.sleep(2.0)
                        self.wfile.write(b"1\r\n\n\r\n")
                except OSError:
                    return

    return Handler


def message(lane: str, query: str, txn: str) -> bytes:
    """A whole request."""
    method = LANES[lane][0]
    body = b"" if method == "GET" else b"{}"
    head = f"{method} /{lane}?{query} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
    head += f"X-Remaining: {PATIENCE:.3f}\r\n"
    if lane == "settle":
        head += f"Idempotency-Key: {txn}{txn}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def exchange(sock: socket.socket, file, lane: str, query: str, txn: str, record) -> str:
    """Send one request on a connection; its status, or what came instead of an answer."""
    record.write(f"sent      {txn}: {LANES[lane][0]} /{lane}?{query}")
    try:
        sock.sendall(message(lane, query, txn))
        found = read_message(file)
    except ConnectionError as why:
        # What was sent may not have been read.
        came = f"no answer: the connection was reset ({type(why).__name__})"
    except TimeoutError:
        came = LATE
    else:
        # An end without a reset: the balancer had read all that was sent.
        came = ENDED if found is None else found[0].split(" ")[1]
        if came == "200" and found[2] != f"done {txn}".encode():
            came = FOREIGN
    record.write(f"answered  {txn}: {came}")
    return came


def connect(port: int):
    sock = socket.create_connection(("127.0.0.1", port), 2.0)
    sock.settimeout(PATIENCE + 0.5)  # up to half a second late an answer is not lost
    return sock, sock.makefile("rb")


def ask(port: int, lane: str, query: str, record) -> tuple[str, str]:
    """Ask as a client of the platform does: on a connection that it keeps, behind a request that was
    answered there, and, where the connection ends instead, once more on a new one.
    """
    sock, file = connect(port)
    with sock, file:
        before = exchange(sock, file, "look", "obj=before", uuid.uuid4().hex[:16], record)
        if before != "200":
            raise CannotRun(f"an ordinary request came back with {before}")
        txn = uuid.uuid4().hex[:16]
        came = exchange(sock, file, lane, query, txn, record)
    if came.startswith("no answer:"):
        sock, file = connect(port)
        with sock, file:
            came = exchange(sock, file, lane, query, txn, record)
    return txn, came


def play(record, folder, stop):
    ran: dict[str, int] = {}
    servers = [Http(upstream(f"s-{n}", record, ran)) for n in (1, 2, 3)]
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"127.0.0.1:{server.port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        }
        for n, server in enumerate(servers, 1)
    ]
    told = Http(discovery(hosts))
    stop += [server.shutdown for server in (*servers, told)]
    port = free_port()
    config = folder / "config.json"
    write_json(
        config,
        {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{told.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": {
                "balancers": 1,
                "slot_no": 0,
                "zone": 0,
                "discovery": "automatic",
                "failure_domains": ["a"],
                "kinds": ["m"],
                "limits": {
                    "max_hand_offs": 3,
                    "second_copies": True,
                    "cancelling": True,
                    "retry_after": True,
                    "connect_timeout_us": 250000,
                    "keepalive_us": 60000000,
                },
                "rules": {"cold_from": 0.2, "cold_us": 10000000, "drain_grace_us": 2000000},
                "goal": {"whole": 1.0},
                "workloads": [
                    {
                        "name": name,
                        "semantics": semantics,
                        "key_scope": "all",
                        "window_us": 8000000 if semantics == "by_key" else 0,
                        "agreed_time_us": 750000,
                        "patience_us": 3000000,
                        "payoff": 1.0,
                    }
                    for name, (_, semantics) in LANES.items()
                ],
            },
        },
    )
    balancer = Balancer(record, {"BALANCER_CONFIG": str(config), "TMPDIR": str(folder)}, port)
    stop.append(balancer.stop)
    balancer.start()
    breaks, answers = [], {}
    for number in range(REQUESTS):
        for lane in LANES:
            for query in (*PLAIN, *ENCODED) if TROUBLE else PLAIN:
                try:
                    txn, came = ask(port, lane, query, record)
                except OSError as why:
                    raise CannotRun(f"no connection to the balancer: {why}") from None
                answers[query, came] = answers.get((query, came), 0) + 1
                # A request on a connection that is reset may not have been read, and isn't counted.
                if came in (ENDED, LATE, FOREIGN):
                    breaks.append(f"{LANES[lane][0]} /{lane}?{query}, {txn}: {came}")
        time.sleep(0.01)
    for (query, came), times in sorted(answers.items()):
        record.write(f"query {query}: {came}, {times} times")
    if not any(came == "200" for _, came in answers):
        raise CannotRun("the fleet did not serve")
    return breaks


run_case("queries with percent-encoded characters beyond ASCII", RECORD, play)
