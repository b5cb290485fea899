"""An HTTP upstream for the cases: it answers every task, and its ledger says what came and when."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable


class Upstream:
    """One upstream; a task has run once its last byte has come."""

    def __init__(self, name: str, port: int, work: float, say: Callable[[str], None]) -> None:
        self.name, self.port, self.work, self.say = name, port, work, say
        self.ran: Counter[str] = Counter()
        self.busy, self.most = 0, 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = {
                    key.strip().lower(): value.strip()
                    for key, _, value in (
                        line.partition(":") for line in head.decode().split("\r\n")[1:]
                    )
                }
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.do(fields["x-txn"])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def do(self, task: str) -> None:
        self.ran[task] += 1
        self.busy += 1
        self.most = max(self.most, self.busy)
        self.say(f"{self.name}: ran {task}" + " AGAIN" * (self.ran[task] > 1))
        await asyncio.sleep(self.work)
        self.busy -= 1
