"""What a look-up in the table of routes costs at 10, 1,000 and 10,000 routes, beside a plain scan
of all.

Each table is asked for the same mix: exact hosts, suffixes, templates, prefixes, and what no route
takes. The bound is that the cost does not grow with the routes of other hosts. See
docs/design/pools.md.
"""

from __future__ import annotations

import time
from random import Random

from benchmarks.common import Report, main
from whinpier.routing import normalization
from whinpier.routing.table import NoRoute, Route, RouteQuery, RoutingTable, find_by_scan

SIZES = (10, 1_000, 10_000)
PER_HOST = 10


def routes(count: int) -> list[Route]:
    """So many routes, ten to a host: exact paths, templates, prefixes, methods."""
    found = []
    for number in range(count):
        host, kind = number // PER_HOST, number % PER_HOST
        name = f"*.h{host}.example" if host % 5 == 4 else f"h{host}.example"
        path, prefix = [
            (f"/exact/{kind}", False),
            (f"/networks/{{n}}/kind{kind}", False),
            (f"/under/{kind}", True),
        ][kind % 3]
        methods = frozenset(["POST"]) if kind % 2 else frozenset[str]()
        found.append(Route(f"r{number}", name, path, prefix, methods))
    return found


def questions(count: int, number: int, chance: Random) -> list[tuple[str, str, str]]:
    """What clients ask for, as it comes on the wire: method, host, path."""
    found = []
    for _ in range(number):
        host, kind = chance.randrange(max(1, count // PER_HOST)), chance.randrange(PER_HOST)
        name = f"x.H{host}.example:80" if host % 5 == 4 else f"h{host}.example"
        path = [
            f"/exact/{kind}",
            f"/networks/{chance.randrange(10**6)}/kind{kind}",
            f"/under/{kind}/a/b",
            "/nowhere/at/all",
        ][kind % 4]
        found.append(("POST" if chance.random() < 0.7 else "GET", name, path))
    return found


def timed(asked: list[tuple[str, str, str]], table: RoutingTable, rounds: int) -> float:
    """Microseconds of a look-up, names put in their one form and all; the least of some rounds."""
    best = float("inf")
    for _ in range(rounds):
        begun = time.perf_counter_ns()
        for method, host, path in asked:
            table.find(
                RouteQuery(
                    method, normalization.normalize_host(host), normalization.normalize_path(path)
                )
            )
        best = min(best, (time.perf_counter_ns() - begun) / len(asked) / 1000)
    return best


def bench() -> int:
    report = Report("routing", __doc__ or "")
    given = report.options()
    number, rounds = (2_000, 5) if given.short else (20_000, 10)
    costs: dict[int, float] = {}
    for count in SIZES:
        chance = Random(given.seed)
        found = routes(count)
        begun = time.perf_counter()
        table = RoutingTable(found)
        built = 1000 * (time.perf_counter() - begun)
        asked = questions(count, number, chance)
        costs[count] = timed(asked, table, rounds)
        few = [
            RouteQuery(
                method, normalization.normalize_host(host), normalization.normalize_path(path)
            )
            for method, host, path in asked[:50]
        ]
        begun = time.perf_counter()
        scanned = [find_by_scan(found, one) for one in few]
        plain = 1e6 * (time.perf_counter() - begun) / len(few)
        differ = sum(
            (None if isinstance(got := table.find(one), NoRoute) else got) is not other
            for one, other in zip(few, scanned)
        )
        report.say(
            f"     {count} routes: {costs[count]:.2f} us a look-up, {plain:.0f} us by a plain scan; "
            f"compiled in {built:.0f} ms"
        )
        report.bound(f"{count} routes: answers other than a plain scan's", differ, most=0)
        report.figure(f"us_{count}", costs[count])
        report.figure(f"scan_us_{count}", plain)
    report.bound(
        "10,000 routes: cost of a look-up over that at 10", costs[10_000] / costs[10], most=1.5
    )
    return report.close()


if __name__ == "__main__":
    main(bench)
