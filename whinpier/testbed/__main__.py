"""`python -m whinpier.testbed NAME=PORT ...`: upstreams in a process of their own, told otherwise
over HTTP.

Prints one JSON line with the addresses once they listen; ends with standard input.
"""

from __future__ import annotations

import asyncio
import json
import sys

from whinpier.testbed.discovery import Discovery
from whinpier.testbed.upstream import Script, Upstream


async def serve(given: dict[str, dict[str, object]], seed: int, discovery: bool) -> None:
    upstreams = {}
    for name, script in given.items():
        port = int(str(script.pop("port", 0)))
        upstreams[name] = Upstream(name, Script(**script), seed)  # type: ignore[arg-type]
        await upstreams[name].start(port)
    addresses = {name: upstream.address for name, upstream in upstreams.items()}
    if discovery:
        lists = Discovery(*(upstream.entry() for upstream in upstreams.values()))
        await lists.start()
        addresses["discovery"] = lists.address
    print(json.dumps(addresses), flush=True)
    # Ends with whoever started it, also when that is killed.
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> int:
    """Reads one line of JSON: the scripts by name, `seed`, and whether a discovery lists them all."""
    given = json.loads(sys.stdin.readline())
    asyncio.run(serve(given["upstreams"], int(given.get("seed", 0)), bool(given.get("discovery"))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
