"""What queueing theory says of plain cases: the yardstick that the model must meet.

Erlang's C formula: L. Kleinrock, Queueing Systems, volume 1 (1975), section 3.5.
"""

from __future__ import annotations


def erlang_c(servers: int, load: float) -> float:
    """The probability that a request waits at M/M/n; `load` is the offered load in erlangs, below
    `servers`.

    Raises ValueError where the queue would grow without end.
    """
    if not 0.0 <= load < servers:
        raise ValueError(f"a load of {load} erlangs at {servers} servers has no steady state")
    blocking = 1.0  # Erlang's B by its recursion, which does not overflow
    for number in range(1, servers + 1):
        blocking = load * blocking / (number + load * blocking)
    use = load / servers
    return blocking / (1.0 - use * (1.0 - blocking))


def mean_wait(servers: int, rate: float, work: float) -> float:
    """Mean seconds that a request waits before its work begins at M/M/n, of mean work `work` seconds."""
    load = rate * work
    return erlang_c(servers, load) * work / (servers - load)


def mean_time(servers: int, rate: float, work: float) -> float:
    """Mean seconds from arrival to end at M/M/n."""
    return mean_wait(servers, rate, work) + work
