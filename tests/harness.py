"""What tests share that run a balancer in their own event loop, with plain sockets around it.

Nothing else runs between two awaits of such a test, so that each order of events is forced.
"""

import socket
from contextlib import asynccontextmanager

import anyio

from tests.waiting import LIMIT
from whinpier.runtime.process import Process


def fail(*_):
    """Fail as code with a fault does."""
    raise LookupError("for the test")


class ProcessHarness:
    """One balancer in the test's event loop; a subclass makes its process and the sockets."""

    process: Process
    sockets: list[socket.socket]  # closed at the end of the test

    @asynccontextmanager
    async def serving(self, listener):
        """Run the process until the end of the block."""
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.process.serve, [listener])
                try:
                    yield
                finally:
                    task_group.cancel_scope.cancel()
        finally:
            for sock in self.sockets:
                sock.close()

    async def until(self, condition):
        """Run the event loop until a condition holds."""
        with anyio.fail_after(LIMIT):
            while not condition():
                await anyio.sleep(0)

    async def run_loop(self, count=50):
        """Run the event loop so often that all that is ready is done."""
        for _ in range(count):
            await anyio.sleep(0)

    def has_ended(self):
        """Tell whether the process has ended by itself."""
        return self.process.loop.task_group.cancel_scope.cancel_called
