"""A scripted discovery of the platform: the list of upstreams, a watch of its changes, garbled
lines.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from whinpier.testbed.upstream import CONTROL, whole


class Discovery:
    """Tells a list. Runs on the asyncio loop it is started on."""

    def __init__(self, *entries: dict[str, Any], beat: float = 2.0) -> None:
        self.hosts = {entry["host"]: entry for entry in entries}
        self.seq, self.beat = 1, beat  # seconds between empty lines
        self.asked: list[str] = []
        self.watches: set[Watch] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Watch(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def whole(self) -> bytes:
        hosts = list(self.hosts.values())
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}).encode()

    def change(self, *entries: dict[str, Any]) -> None:
        """Put in, change or (by `removed`) take out upstreams, and tell whoever watches."""
        for entry in entries:
            if entry["health"] == "removed":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
        self.seq += 1
        told = {"seq": self.seq, "whole": False, "hosts": entries}
        self.say(json.dumps(told).encode())

    def say(self, line: bytes) -> None:
        """Send any line to those who watch."""
        for watch in list(self.watches):
            watch.line(line)

    def hang_up(self) -> None:
        """End all watches."""
        for watch in list(self.watches):
            watch.transport.abort()

    def stop(self) -> None:
        if self.server:
            self.server.close()
            self.server = None
        self.hang_up()

    def control(self, body: bytes) -> bytes:
        """Told otherwise while it runs: `change`, `say`, `hang_up`, `beat`; answered with what was asked."""
        given = json.loads(body) if body else {}
        if "change" in given:
            self.change(*given["change"])
        if "say" in given:
            self.say(given["say"].encode("latin-1"))
        if given.get("hang_up"):
            self.hang_up()
        self.beat = float(given.get("beat", self.beat))
        return json.dumps(
            {"seq": self.seq, "asked": self.asked, "watches": len(self.watches)}
        ).encode()


class Watch(asyncio.Protocol):
    """One connection: a question for the whole list, or a watch of changes."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self.data, self.over = discovery, b"", False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while found := whole(self.data):
            head, body, self.data = found
            path = head.split(b" ", 2)[1].decode("latin-1")
            if path.encode() == CONTROL:
                self.reply(self.discovery.control(body))
                continue
            self.discovery.asked.append(path)
            query = parse_qs(urlsplit(path).query)
            if "watch" not in query:
                self.reply(self.discovery.whole())
                continue
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.discovery.watches.add(self)
            self.line(
                self.discovery.whole() if int(query["from"][0]) != self.discovery.seq else b""
            )
            self.beat()

    def reply(self, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def line(self, line: bytes) -> None:
        if not self.over:
            self.transport.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def beat(self) -> None:
        if not self.over:
            asyncio.get_running_loop().call_later(self.discovery.beat, self.pulse)

    def pulse(self) -> None:
        self.line(b"")
        self.beat()
