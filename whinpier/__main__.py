"""`python -m whinpier`: one balancer, as the environment and its configuration file say."""

from __future__ import annotations

import os
import signal
import socket
import sys

import anyio

from whinpier.net import log
from whinpier.net.balancer import BACKLOG, Balancer
from whinpier.net.config import Config, ConfigFault, read


async def run(listener: socket.socket, config: Config) -> None:
    await Balancer(config).serve(listener)


def main() -> int:
    """0 after an ordered end, 1 where the address can't be had, 2 for a faulty configuration."""
    log.set_up()
    # Until the loop takes it over: a reload before that would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = read(os.environ)
    except ConfigFault as fault:
        log.warn("configuration_fault", fault=fault)
        return 2
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as listener:
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(config.listen)
            listener.listen(BACKLOG)
        except OSError as fault:
            log.warn("cannot_listen", address="%s:%d" % config.listen, fault=fault)
            return 1
        anyio.run(run, listener, config)
    return 0


if __name__ == "__main__":
    sys.exit(main())
