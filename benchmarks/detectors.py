"""Three ways to know who is there, on one simulated network: what each costs, when it knows, how it
errs.

All-to-all heartbeats, gossip of counters (each sends its whole table of beats to one other, van
Renesse 1998) and the fleet's own machine. A tenth of all datagrams is lost; one member dies in
silence. The first two are models of their rules alone, with the bytes that their tables need, each
with the least time-out that keeps what the fleet promises: nobody lost for a pause of a second, nor
by a tenth of the datagrams lost.
"""

from __future__ import annotations

import numpy

from benchmarks.common import Report, main
from whinpier.policy.decaying_sum import SECOND
from whinpier.simulation.fleet import Fleet
from whinpier.testbed.faults import Fault, Schedule

BEAT, PAUSE = 0.25, 1.25  # seconds between beats; that a time-out must last in any case
ENTRY, HEAD = (
    14,
    75,
)  # bytes of one member's beat in a table, and of a datagram besides: as the fleet's own
LOSS = 0.1
HOUR = 3600.0


def heartbeats(count: int) -> tuple[float, float]:
    """Bytes a second and member; seconds until all know, at under one false loss an hour in all."""
    missed = int(PAUSE / BEAT)
    while count * (count - 1) / BEAT * LOSS**missed * HOUR >= 1.0:
        missed += 1
    return HEAD * (count - 1) / BEAT, (missed + 1) * BEAT


def counters(count: int, seed: int, rounds: int = 120) -> tuple[float, float]:
    """The same of tables of counters, played round by round; none lost falsely in those rounds."""
    chance = numpy.random.default_rng(seed)
    beats = numpy.zeros(
        (count, count), dtype=numpy.int64
    )  # whose view, of whom: its newest beat known
    changed = numpy.zeros((count, count), dtype=numpy.int64)  # in which round it became known
    oldest, need, dead_at = 0, 0, 0
    for now in range(1, 4 * rounds):
        if now == rounds:
            need, dead_at = (
                max(oldest + 1, int(PAUSE / BEAT)),
                now,
            )  # from here on the first member is dead
        alive = numpy.arange(1 if dead_at else 0, count)
        beats[alive, alive] = changed[alive, alive] = now
        to = (alive + chance.integers(1, count, len(alive))) % count
        heard = chance.random(len(alive)) >= LOSS
        for sender, target in zip(alive[heard], to[heard]):
            newer = beats[sender] > beats[target]
            beats[target][newer] = beats[sender][newer]
            changed[target][newer] = now
        silent = now - changed
        if not dead_at and now > rounds // 3:
            oldest = max(oldest, int(silent.max()))
        if dead_at and (silent[1:, 0] > need).all():
            pages = -(-ENTRY * count // 1_100)
            return (ENTRY * count + HEAD * pages) / BEAT, (now - dead_at) * BEAT
    return 0.0, float("inf")


def own(count: int, seed: int, loss: bool) -> tuple[float, float, int]:
    """The fleet's machine: bytes at rest, seconds to know, false losses in 18 s of a tenth lost."""
    # A large fleet that starts at once needs some seconds until all know all.
    at = 8.0 + count / 50
    quiet = Fleet(Schedule(count, at + 7.0, (Fault(at, "vanish", (count - 1,)),), seed))
    quiet.clock.run(quiet.clock.start + int((at - 3.0) * SECOND))
    before = quiet.counts["bytes"]
    quiet.clock.run(quiet.clock.start + int((at - 0.01) * SECOND))
    rest = (quiet.counts["bytes"] - before) / count / 3.0
    lost = 0
    if loss:
        fleet = Fleet(Schedule(count, 25.0, (Fault(5.0, "lossy", amount=LOSS, span=18.0),), seed))
        fleet.play()
        lost = fleet.counts["member_lost"]
    return rest, quiet.play()["slowest"].get("dead", float("inf")), lost


def bench() -> int:
    report = Report("detectors", __doc__ or "")
    given = report.options()
    for count in (10, 60) if given.short else (10, 200, 500):
        ways = {"heartbeats": heartbeats(count), "counters": counters(count, given.seed)}
        for name, (size, know) in ways.items():
            report.say(
                f"     {count} members, {name}: {size:.0f} bytes/s, all know after {know:.2f} s"
            )
            report.figure(f"{name}_{count}", [round(size), round(know, 2)])
        size, know, lost = own(count, given.seed, count <= 200)
        report.say(
            f"     {count} members, the bank: {size:.0f} bytes/s, all know after {know:.2f} s"
        )
        report.figure(f"bank_{count}", [round(size), round(know, 2)])
        report.bound(f"{count} members, the bank: seconds until all know", know, most=3.0)
        report.bound(f"{count} members, the bank: bytes a second and member", size, most=10_000.0)
        if count <= 200:
            report.bound(f"{count} members, the bank: false losses", lost, most=0)
    return report.close()


if __name__ == "__main__":
    main(bench)
