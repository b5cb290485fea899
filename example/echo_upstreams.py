"""`python -m example.echo_upstreams`: three upstreams and a discovery here, for
example/config.json.

Plain threads from the standard library, made to be read and changed, not to carry load. The
tests use the same servers and make them misbehave.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qs, urlsplit


class Handler(BaseHTTPRequestHandler):
    """Reads a request whole and leaves the answer to its server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    body = b""
    gone = False  # whether whoever asked was seen to leave, by a behaviour that waits for it

    def setup(self) -> None:
        super().setup()
        self.server.opened += 1

    def do_GET(self) -> None:
        self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.serve(self)

    do_POST = do_GET

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        pass


class Toy(ThreadingHTTPServer):
    """A server with a thread for each connection; started when it is made."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, port: int = 0) -> None:
        super().__init__(("127.0.0.1", port), Handler)
        self.opened = 0
        Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def serve(self, request: Handler) -> None:
        raise NotImplementedError

    def handle_error(self, *_: Any) -> None:
        pass  # whoever asked has gone

    @property
    def dial(self) -> str:
        return "%s:%d" % self.server_address

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


def echo(request: Handler) -> None:
    """The ordinary behaviour: some milliseconds of work, then an answer that says who did it."""
    time.sleep(random.uniform(0.005, 0.05))
    request.reply(200, f"{request.server.dial} did {request.path}\n".encode())


class Upstream(Toy):
    """Behaves as it is told, and remembers what it was sent."""

    def __init__(self, behave: Callable[[Handler], None] = echo, port: int = 0) -> None:
        self.behave = behave
        self.met: list[Handler] = []
        super().__init__(port)

    def serve(self, request: Handler) -> None:
        self.met.append(request)
        self.behave(request)

    def entry(self, host: str, health: str = "up", born_ms: int = 0) -> dict[str, Any]:
        """Its line of the list."""
        return {
            "host": host,
            "dial": self.dial,
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }


class Discovery(Toy):
    """Tells the list of upstreams and its changes."""

    beat = 2.0  # seconds between empty lines while nothing changes

    def __init__(self, *entries: dict[str, Any], port: int = 0) -> None:
        self.hosts = {entry["host"]: entry for entry in entries}
        self.seq, self.asked = 1, list[str]()
        self.lines: list[tuple[int, bytes]] = []  # what changed, by number
        self.hung_up = 0
        self.news = Condition()
        super().__init__(port)

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        with self.news:
            self.hosts |= {entry["host"]: entry for entry in entries}
            self.seq += 1
            self.say(json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode())

    def say(self, line: bytes) -> None:
        """Send any line to those who watch."""
        with self.news:
            self.lines.append((self.seq, line))
            self.news.notify_all()

    def hang_up(self) -> None:
        """End all watches."""
        with self.news:
            self.hung_up += 1
            self.news.notify_all()

    def serve(self, request: Handler) -> None:
        self.asked.append(request.path)
        query = parse_qs(urlsplit(request.path).query)
        if "watch" not in query:
            request.reply(200, json.dumps(self.whole()).encode())
            return
        request.send_response(200)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        with self.news:
            told, hung_up = len(self.lines), self.hung_up
            now = self.whole() if int(query["from"][0]) != self.seq else None
        piece = json.dumps(now).encode() + b"\n" if now else b"\n"
        while self.hung_up == hung_up:
            request.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            with self.news:
                self.news.wait_for(
                    lambda: len(self.lines) > told or self.hung_up != hung_up, self.beat
                )
                piece = b"".join(line + b"\n" for _, line in self.lines[told:]) or b"\n"
                told = len(self.lines)
        request.close_connection = True


def main() -> None:
    upstreams = [Upstream(port=port) for port in (9101, 9102, 9103)]
    Discovery(
        *(upstream.entry(f"toy-{number}") for number, upstream in enumerate(upstreams)), port=8500
    )
    print("three toy upstreams and discovery are up; Ctrl-C ends them", flush=True)
    try:
        while True:
            time.sleep(3600)
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
