"""`python -m whinpier.testbed.crash_points FILE`: one balancer that dies at a counted point that
FILE says.

Points are just before and after each write of the record's file, and each time talks about it are
sent. FILE holds the number of the point; how many have come is written beside it, in FILE.count.
Nothing is counted while FILE is not there.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any


class Points:
    """Counts points, and dies at one of them."""

    def __init__(self, path: Path) -> None:
        self.path, self.counter = path, path.with_suffix(".count")
        self.count = 0

    def come(self) -> None:
        try:
            wanted = int(self.path.read_text())
        except (OSError, ValueError):
            self.count = 0
            return
        self.count += 1
        self.counter.write_text(str(self.count))
        if self.count == wanted:
            os.kill(os.getpid(), signal.SIGKILL)

    def around(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def done(*args: Any, **more: Any) -> Any:
            self.come()
            found = call(*args, **more)
            self.come()
            return found

        return done


def main() -> int:
    from whinpier.__main__ import main as start
    from whinpier.fleet.consensus.service import ConsensusService
    from whinpier.fleet.membership.membership import Membership

    points = Points(Path(sys.argv[1]))
    Membership.send_consensus_messages = points.around(Membership.send_consensus_messages)  # type: ignore[method-assign]
    write = ConsensusService.write_pending_records

    async def write_pending_records(self: ConsensusService) -> bool:
        points.come()
        found = await write(self)
        points.come()
        return found

    ConsensusService.write_pending_records = write_pending_records  # type: ignore[method-assign]
    return start()


if __name__ == "__main__":
    sys.exit(main())
