"""`python -m whinpier`: one balancer, as the environment and its configuration file say."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable, Iterable

import anyio
import h11  # noqa: F401 (imported here for its place in the order, see below)

# Imports from below upwards, which the sorter would undo: imports that nest leave 0.7 MB more behind
# than those that do not (measured, of 27).
# isort: off
from whinpier import log
from whinpier.config.model import Address, ConfigFault, Spec, kept_till_restart
from whinpier.policy.policy import Policy  # noqa: F401 (imported here for its place in the order)
from whinpier.runtime.process import Process
from whinpier.config.platform import read
from whinpier.http.transport import Http1Transport
# isort: on

BACKLOG = 1024


async def run(listeners: list[socket.socket], process: Process) -> None:
    await process.serve(listeners)


def bound(kind: socket.SocketKind, address: Address) -> socket.socket:
    """A socket at an address, listening if it is for streams. Raises OSError if it can't be had."""
    sock = socket.socket(socket.AF_INET, kind | socket.SOCK_NONBLOCK)
    try:
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        if kind == socket.SOCK_STREAM:
            sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def start(reread: Callable[[], Spec], changed: Callable[[Spec, Spec], Iterable[str]]) -> int:
    """0 after an ordered end, 1 where an address can't be had, 2 for a faulty configuration."""
    log.set_up()
    # Until the loop takes it over: a reload before that would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        spec = reread()
    except ConfigFault as fault:
        log.warning("configuration_rejected", fault=fault)
        return 2
    streams: list[socket.socket] = []
    datagrams: list[socket.socket] = []
    further: list[socket.socket] = []  # streams of protocols beside HTTP
    try:
        asked = [(streams, socket.SOCK_STREAM, address) for address in spec.listen]
        for beside in spec.beside.values():
            asked += [(datagrams, socket.SOCK_DGRAM, address) for address in beside.listen]
            asked += [(further, socket.SOCK_STREAM, one.listen) for one in beside.streams]
        for sockets, kind, address in asked:
            try:
                sockets.append(bound(kind, address))
            except OSError as fault:
                log.warning("listen_failed", address="%s:%d" % address, fault=fault)
                return 1
        wire = Http1Transport()
        if spec.beside:
            from whinpier.radius.transport import WithRadius  # only where a file has it

            wire = WithRadius(datagrams, further)
        try:
            process = Process(spec, wire, reread, changed)
        except ConfigFault as fault:
            log.warning("configuration_rejected", fault=fault)
            return 2
        if spec.fleet:
            from whinpier.fleet import bootstrap as fleet  # only where a file has it

            try:
                process.fleet = fleet.start(process, datagrams)
            except OSError as fault:
                log.warning("listen_failed", address="bank.listen", fault=fault)
                return 1
            except ConfigFault as fault:
                log.warning("configuration_rejected", fault=fault)
                return 2
        anyio.run(run, streams, process)
    finally:
        for sock in (*streams, *datagrams, *further):
            sock.close()
    return 0


def main() -> int:
    if os.environ.get("BALANCER_OPERATOR"):
        # Only here: the platform sets no such file, and pays nothing for what reads it.
        from whinpier.config import operator

        return start(operator.reader(os.environ["BALANCER_OPERATOR"]), operator.changes)
    return start(lambda: read(os.environ), kept_till_restart)


if __name__ == "__main__":
    sys.exit(main())
