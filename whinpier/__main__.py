"""`python -m whinpier`: one balancer, as the environment and its configuration file say."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable, Iterable

import anyio
import h11  # noqa: F401

# From below upwards: imports that nest leave 0.7 MB more behind than those that do not (measured, of 27).
from whinpier import log
from whinpier.spec import ConfigFault, Spec
from whinpier.choice import Choice  # noqa: F401
from whinpier.runtime.life import Life
from whinpier.config.platform import changes, read
from whinpier.net.wire import Http1

BACKLOG = 1024


async def run(listeners: list[socket.socket], life: Life) -> None:
    await life.serve(listeners)


def start(reread: Callable[[], Spec], changed: Callable[[Spec, Spec], Iterable[str]]) -> int:
    """0 after an ordered end, 1 where an address can't be had, 2 for a faulty configuration."""
    log.set_up()
    # Until the loop takes it over: a reload before that would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        spec = reread()
    except ConfigFault as fault:
        log.warn("configuration_fault", fault=fault)
        return 2
    listeners: list[socket.socket] = []
    try:
        for address in spec.listen:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            listeners.append(listener)
            try:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(address)
                listener.listen(BACKLOG)
            except OSError as fault:
                log.warn("cannot_listen", address="%s:%d" % address, fault=fault)
                return 1
        wire = Http1()
        if spec.radius:
            from whinpier.radius.wire import Taken, WithRadius, bound  # only where a file has it
            try:
                wire = WithRadius(bound(spec.radius))
            except Taken as fault:
                log.warn("cannot_listen", address="%s:%d" % fault.address, fault=fault)
                return 1
        anyio.run(run, listeners, Life(spec, wire, reread, changed))
    finally:
        for listener in listeners:
            listener.close()
    return 0


def main() -> int:
    if os.environ.get("BALANCER_OPERATOR"):
        # Only here: the platform sets no such file, and pays nothing for what reads it.
        from whinpier.config import operator
        return start(operator.reader(os.environ["BALANCER_OPERATOR"]), operator.changes)
    return start(lambda: read(os.environ), changes)


if __name__ == "__main__":
    sys.exit(main())
