"""Run one balancer process, configured by the environment and a file: `python -m whinpier`."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable, Iterable

import anyio
import h11  # noqa: F401 (imported here for its place in the order, see below)

# Lower layers are imported first, so that imports do not nest: nested imports use 0.7 MB more memory
# (of 27 MB). The import sorter would undo this order.
# isort: off
from whinpier import log
from whinpier.config.model import Address, ConfigFault, Spec, kept_till_restart
from whinpier.policy.policy import Policy  # noqa: F401 (imported here for its place in the order)
from whinpier.runtime.process import Process
from whinpier.config.platform import read
from whinpier.http.transport import Http1Transport
# isort: on

LISTEN_BACKLOG = 1024  # connections


async def run(listeners: list[socket.socket], process: Process) -> None:
    """Serve on the listeners until the process is told to stop."""
    await process.serve(listeners)


def bind_socket(kind: socket.SocketKind, address: Address) -> socket.socket:
    """Bind a non-blocking socket to an address; a stream socket also listens. Raises OSError."""
    sock = socket.socket(socket.AF_INET, kind | socket.SOCK_NONBLOCK)
    try:
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        if kind == socket.SOCK_STREAM:
            sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def start(
    read_spec: Callable[[], Spec], restart_keys: Callable[[Spec, Spec], Iterable[str]]
) -> int:
    """Run a balancer with the spec that `read_spec` returns and return the exit status.

    0 after an orderly shutdown, 1 if an address cannot be bound, 2 for an invalid configuration.
    `read_spec` is called again on a reload; `restart_keys` lists the changed keys that need a restart.
    """
    log.set_up()
    # Ignored until the event loop handles it: by default the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        spec = read_spec()
    except ConfigFault as error:
        log.warning("configuration_rejected", fault=error)
        return 2
    streams: list[socket.socket] = []
    datagrams: list[socket.socket] = []
    other_streams: list[socket.socket] = []  # of protocols other than HTTP
    # Apart from those that a frontend reads: the fleet has a reader of its own.
    fleet_datagrams: list[socket.socket] = []
    try:
        addresses = [(streams, socket.SOCK_STREAM, address) for address in spec.listen]
        for protocol in spec.beside.values():
            addresses += [(datagrams, socket.SOCK_DGRAM, address) for address in protocol.listen]
            addresses += [
                (other_streams, socket.SOCK_STREAM, stream.listen) for stream in protocol.streams
            ]
        for sockets, kind, address in addresses:
            try:
                sockets.append(bind_socket(kind, address))
            except OSError as error:
                log.warning("listen_failed", address="%s:%d" % address, fault=error)
                return 1
        transport = Http1Transport()
        if spec.beside:
            from whinpier.radius.transport import WithRadius  # imported only if configured

            transport = WithRadius(datagrams, other_streams)
        try:
            process = Process(spec, transport, read_spec, restart_keys)
        except ConfigFault as error:
            log.warning("configuration_rejected", fault=error)
            return 2
        if spec.fleet:
            from whinpier.fleet import bootstrap as fleet  # imported only if configured

            try:
                process.fleet = fleet.start(process, fleet_datagrams)
            except OSError as error:
                log.warning("listen_failed", address="bank.listen", fault=error)
                return 1
            except ConfigFault as error:
                log.warning("configuration_rejected", fault=error)
                return 2
        anyio.run(run, streams, process)
    finally:
        for sock in (*streams, *datagrams, *other_streams, *fleet_datagrams):
            sock.close()
    return 0


def main() -> int:
    """Run with the operator's file if BALANCER_OPERATOR names one, else with the platform's."""
    if os.environ.get("BALANCER_OPERATOR"):
        # Imported here so that the platform, which does not set this variable, pays nothing for it.
        from whinpier.config import operator

        return start(operator.reader(os.environ["BALANCER_OPERATOR"]), operator.changes)
    return start(lambda: read(os.environ), kept_till_restart)


if __name__ == "__main__":
    sys.exit(main())
