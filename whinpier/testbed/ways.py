"""Stands in for bad ways from one process to upstreams: each byte that it sends there comes late.

`python -m whinpier.testbed.ways` reads one JSON line (names with addresses), answers with the
addresses to use instead, then takes one line for each change of the delay. Must never lose or
reorder what it passes on.
"""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import suppress

from whinpier.testbed.child import Child


class Way:
    """The way to one upstream."""

    def __init__(self, delay: dict[str, float], name: str, host: str, port: int) -> None:
        self.delay, self.name, self.host, self.port = delay, name, host, port

    async def taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            there, towards = await asyncio.open_connection(self.host, self.port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pass_on(reader, towards, True))
                group.create_task(self.pass_on(there, writer, False))

    async def pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                if late and (wait := self.delay.get(self.name, 0.0)):
                    await asyncio.sleep(wait)
                writer.write(data)
                await writer.drain()
        with suppress(OSError):
            writer.close()


async def serve(addresses: dict[str, str]) -> None:
    delay: dict[str, float] = {}
    told = {}
    for name, address in addresses.items():
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(Way(delay, name, host, int(port)).taken, "127.0.0.1", 0)
        told[name] = "%s:%d" % server.sockets[0].getsockname()[:2]
    print(json.dumps(told), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        delay.update(json.loads(line))
        print(json.dumps(delay), flush=True)


class Ways(Child):
    """The relay in a process of its own."""

    def __init__(self, addresses: dict[str, str]) -> None:
        super().__init__("whinpier.testbed.ways", addresses)
        self.addresses: dict[str, str] = self.begun

    def late(self, names: list[str], seconds: float) -> None:
        """From now on what is sent to these comes so much later."""
        self.ask({name: seconds for name in names})


if __name__ == "__main__":
    asyncio.run(serve(json.loads(sys.stdin.readline())))
