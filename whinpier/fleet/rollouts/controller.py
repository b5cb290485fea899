"""Decides what the leader of the record puts into it of its own: who is out, back, done; how gates
went.

Handed time, who is there, what each member reports, what is agreed; gives commands for the record.
All that it keeps is measured anew by whoever leads next. Free of I/O. Must never call a drain done
that one of the members has not confirmed, a member back by another run's word, or a gate good that
has nothing to judge by.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil
from typing import Annotated

from msgspec import Meta, Struct

from whinpier.fleet.rollouts.commands import (
    BACK,
    CONFIRMED,
    FAILED,
    GATE,
    LEFT,
    LOST,
    OBSERVED,
    PLAN,
    SWITCHED,
    WRITTEN_OFF,
    Judged,
    Observed,
    Plan,
    Release,
    Seen,
    encode,
)
from whinpier.fleet.rollouts.model import (
    DRAINING,
    GATED,
    PLANNING,
    UNDRAINING,
    Drained,
    Rollout,
    key_of,
    shown,
)
from whinpier.fleet.rollouts.state_machine import Record
from whinpier.policy.decaying_sum import SECOND

MS = SECOND // 1000
GRACE = 3 * SECOND  # of a new leader, till whoever it has not heard of counts as lost
AGAIN = 2 * SECOND  # till what was proposed and is not agreed is proposed anew
EACH = 24  # things seen, or names of a plan, in one line
PATIENT = 3  # windows that a gate without traffic waits before it fails
LATE = SECOND  # after a window, for the last reports of it to come

Command = tuple[int, bytes]
Count = Annotated[int, Meta(ge=0)]


class Report(Struct, frozen=True, array_like=True):
    """What a member tells the leader of itself. Counts are since its start."""

    applied: Count = 0  # up to which line it has learned the record
    content: Annotated[str, Meta(max_length=64)] = ""  # the released file that it goes by
    build: Annotated[str, Meta(max_length=64)] = ""
    ready: bool = False
    draining: bool = False
    drained: bool = False  # and nothing is out, nobody is owed an answer
    refused: Annotated[str, Meta(max_length=64)] = ""  # a file that it does not take
    fault: Annotated[str, Meta(max_length=200)] = ""
    clean: Annotated[
        tuple[int, ...], Meta(max_length=64)
    ] = ()  # drains of upstreams where nothing is out
    ended: Count = 0  # requests with their answer
    on_time: Count = 0
    scrapped: Count = 0
    turned_back: Count = 0
    memory: Count = 0  # bytes


@dataclass(frozen=True)
class Seat:
    """One member as the leader's process sees it."""

    name: str
    id: int
    zone: str
    here: bool  # heard, and not on its way out
    unheard: bool = False  # lost by silence alone: it may go on sending


@dataclass
class Share:
    """What requests came to in a group of members over a window, as parts of all that ended."""

    ended: int = 0
    on_time: float = 1.0
    errors: float = 0.0
    turned_back: float = 0.0
    memory: float = 0.0


@dataclass
class Window:
    """A gate that is being measured."""

    number: int
    wave: int
    began: int
    first: dict[str, Report] = field(default_factory=dict)


def share(pairs: list[tuple[Report, Report]]) -> Share:
    """From two reports of each of some members."""

    def total(key: str) -> int:
        return sum(max(0, getattr(last, key) - getattr(first, key)) for first, last in pairs)

    ended = total("ended")
    if not pairs or not ended:
        return Share(0, memory=sum(last.memory for _, last in pairs) / max(1, len(pairs)))
    return Share(
        ended,
        total("on_time") / ended,
        total("scrapped") / ended,
        total("turned_back") / ended,
        sum(last.memory for _, last in pairs) / len(pairs),
    )


class Conduct:
    """One leader's part, for as long as it leads."""

    def __init__(self, now: int, write_off: int) -> None:
        self.began, self.write_off = now, write_off
        self.reports: dict[str, tuple[int, int, Report]] = {}  # by name: whose run, when, what
        self.known: dict[str, str] = {}  # zone of whoever was here since this one leads
        self.lost_at: dict[str, int] = {}
        self.switch_at: dict[int, int] = {}  # by permit: since when one is to switch
        self.said_at: dict[str, int] = {}  # by drain: when it was last said who is left
        self.planned = (0, 0)  # which release, when
        self.window: Window | None = None
        self.usual = Share()  # what requests came to while no release was on
        self.usual_first: dict[str, Report] = {}
        self.usual_at = now

    def report(self, name: str, member: int, report: Report, now: int) -> None:
        """What a member says of itself."""
        if len(self.reports) < 4_096 or name in self.reports:
            self.reports[name] = member, now, report

    def turn(self, now: int, seats: dict[str, Seat], record: Record) -> list[Command]:
        """What is to be put into the record now."""
        self.reports = {name: told for name, told in self.reports.items() if name in seats}
        seen = [*self.who_is_out(now, seats, record), *self.drains(now, seats, record)]
        found: list[Command] = []
        release = record.whole.release
        if release is None:
            self.window, self.switch_at = None, {}
            self.measure_usual(now)
        else:
            seen += self.switches(now, seats, record, release)
            if release.phase == PLANNING:
                found += self.plan(now, seats, release)
            elif release.phase == GATED:
                found += self.gate(now, seats, release)
        for start in range(0, len(seen), EACH):
            found.append((OBSERVED, encode(Observed(0, seen[start : start + EACH]))))
        return found

    def of(self, seat: Seat | None) -> Report | None:
        """What this run of a member last said."""
        if seat is None or not seat.here:
            return None
        member, _, report = self.reports.get(seat.name, (0, 0, None))
        return report if member == seat.id else None

    # Who is out.

    def who_is_out(self, now: int, seats: dict[str, Seat], record: Record) -> list[Seen]:
        whole, found = record.whole, list[Seen]()
        holders = {shown(key) for key in whole.outs if key.startswith("b/")}
        for name, seat in seats.items():
            if seat.here:
                self.known[name] = seat.zone
                self.lost_at.pop(name, None)
                report = self.of(seat)
                away = name in whole.lost or name in whole.gone
                if away and report is not None and (report.ready or report.draining):
                    found.append(Seen(BACK, key_of(name)))
        for name in sorted({*self.known, *holders, *whole.lost, *seats} - whole.gone.keys()):
            gone = seats.get(name)
            if gone is not None and gone.here:
                continue
            if gone is None and name not in self.known and now - self.began < GRACE:
                continue  # it may not have been met yet
            since = self.lost_at.setdefault(name, now)
            if name not in whole.lost:
                found.append(
                    Seen(LOST, key_of(name), 0, gone.zone if gone else self.known.get(name, ""))
                )
            elif now - since >= self.write_off:
                found.append(
                    Seen(WRITTEN_OFF, key_of(name), 0, f"lost for {self.write_off // SECOND} s")
                )
                self.known.pop(name, None)
        return found

    # Drains.

    def drains(self, now: int, seats: dict[str, Seat], record: Record) -> list[Seen]:
        found = []
        for key, drain in record.waiting():
            if drain.state == DRAINING:
                left = self.unconfirmed(key, drain, seats)
                if not left:
                    found.append(Seen(CONFIRMED, key, drain.number))
                elif (text := worded(left)) != drain.left and self.may_say(key, now):
                    found.append(Seen(LEFT, key, drain.number, text))
            elif drain.state == UNDRAINING and self.is_back(key, drain, seats):
                found.append(Seen(BACK, key, drain.number))
        return found

    def may_say(self, key: str, now: int) -> bool:
        """Who is left is said once a second at most."""
        since = self.said_at.setdefault(key, now)
        if now - since < SECOND:
            return False
        self.said_at[key] = now
        while len(self.said_at) > 256:
            del self.said_at[next(iter(self.said_at))]
        return True

    def unconfirmed(self, key: str, drain: Drained, seats: dict[str, Seat]) -> dict[str, str]:
        """Who has not confirmed a drain yet, and why."""
        found: dict[str, str] = {}
        if key.startswith("b/"):
            name = shown(key)
            report = self.of(seats.get(name))
            if report is None:
                found[name] = (
                    "is not heard" if name in seats and not seats[name].here else "has not said"
                )
            elif report.applied < drain.changed or not report.drained:
                found[name] = "still has something out"
            return found
        for name, seat in seats.items():
            report = self.of(seat)
            if seat.unheard:
                found[name] = "is not heard, and may go on sending"
            elif seat.here and report is None:
                found[name] = "has not said"
            elif report is not None and (
                report.applied < drain.changed or drain.number not in report.clean
            ):
                found[name] = "still has something out"
        return found

    def is_back(self, key: str, drain: Drained, seats: dict[str, Seat]) -> bool:
        """Whether what was drained serves again: the balancer, or at all who are heard the upstream."""
        if key.startswith("b/"):
            report = self.of(seats.get(shown(key)))
            return (
                report is not None
                and report.applied >= drain.changed
                and report.ready
                and not report.draining
            )
        reports = [self.of(seat) for seat in seats.values() if seat.here]
        return all(report is not None and report.applied >= drain.changed for report in reports)

    # Releases.

    def plan(self, now: int, seats: dict[str, Seat], release: Rollout) -> list[Command]:
        """Who is in which wave, of those who are here."""
        if self.planned[0] == release.number and now - self.planned[1] < AGAIN:
            return []
        self.planned = release.number, now
        # Those with traffic come first: what a canary does is nothing to judge by where it does
        # nothing.
        names = sorted(
            chosen(release.given.selector, seats),
            key=lambda name: (self.requests_of(name) < release.given.gate.least, name),
        )
        waves = split(names, release.given.waves)
        found: list[Plan] = []
        for number, wave in enumerate(waves):
            for start in range(0, len(wave), EACH):
                names = wave[start : start + EACH]
                found.append(
                    Plan(release.number, number, names, [seats[name].zone for name in names])
                )
        found.append(Plan(release.number, max(0, len(waves) - 1), [], [], True))
        return [(PLAN, encode(plan)) for plan in found]

    def requests_of(self, name: str) -> int:
        """Requests that ended at a member of late."""
        report = self.reports[name][2] if name in self.reports else Report()
        first = self.usual_first.get(name)
        return report.ended - first.ended if first else report.ended

    def switches(
        self, now: int, seats: dict[str, Seat], record: Record, release: Rollout
    ) -> list[Seen]:
        """Who runs what it was told to, and who will not."""
        found = []
        whole, file = record.whole, bool(release.given.content)
        for key, out in whole.outs.items():
            if out.why != "release":
                continue
            name = shown(key)
            since = self.switch_at.setdefault(out.number, now)
            orders, report = record.orders(name), self.of(seats.get(name))
            if report is not None and report.applied >= out.line:
                runs = report.content == orders.content if file else report.build == orders.build
                if runs and (report.ready or report.draining):
                    found.append(Seen(SWITCHED, key, out.number))
                    continue
                if file and orders.content and report.refused == orders.content:
                    if name not in release.failed:
                        found.append(
                            Seen(FAILED, key, out.number, f"refuses the file: {report.fault}"[:200])
                        )
                    continue
            if now - since > release.given.gate.back_ms * MS and name not in release.failed:
                found.append(Seen(FAILED, key, out.number, "did not come back"))
        return found

    def since(self, first: dict[str, Report]) -> dict[str, tuple[Report, Report]]:
        """Earlier reports with the last ones of the same members; who has started anew since counts not."""
        return {
            name: (report, self.reports[name][2])
            for name, report in first.items()
            if name in self.reports and self.reports[name][2].ended >= report.ended
        }

    def measure_usual(self, now: int) -> None:
        """What is usual while no release is on: what a wave is held against that leaves no rest."""
        if now - self.usual_at < 5 * SECOND:
            return
        found = share(list(self.since(self.usual_first).values()))
        if found.ended:
            self.usual = found
        self.usual_first = {name: told[2] for name, told in self.reports.items()}
        self.usual_at = now

    def gate(self, now: int, seats: dict[str, Seat], release: Rollout) -> list[Command]:
        """Measure the released beside the rest, in the same seconds."""
        window = self.window
        if window is None or (window.number, window.wave) != (release.number, release.wave):
            window = self.window = Window(release.number, release.wave, now)
        for name, (_, at, report) in self.reports.items():
            if at >= window.began and seats[name].here:
                window.first.setdefault(name, report)
        told = self.verdict(now, seats, release, window)
        if told is None:
            return []
        return [(GATE, encode(Judged(release.number, release.wave, told == "", told[:200])))]

    def verdict(
        self, now: int, seats: dict[str, Seat], release: Rollout, window: Window
    ) -> str | None:
        """None: it is not over; empty: good; else what is not."""
        gate, met = release.given.gate, set(release.met)
        gone = sorted(name for name in met if name not in seats or not seats[name].here)
        if gone:
            return f"{', '.join(gone[:5])} did not stay"
        span = gate.window_ms * MS
        if now - window.began < span + min(LATE, span // 2):
            return None
        late = [
            name
            for name in met
            if self.reports.get(name, (0, 0, None))[1] < window.began + span // 2
        ]
        if late and now - window.began < PATIENT * span + LATE:
            return None
        pairs = self.since(window.first)
        new = share([pair for name, pair in pairs.items() if name in met])
        rest = share([pair for name, pair in pairs.items() if name not in met])
        if new.ended < gate.least:
            if now - window.began < PATIENT * span + LATE:
                return None
            return f"{new.ended} tasks ended at who has it: nothing to judge by"
        if rest.ended < gate.least:
            rest = self.usual
        return compared(new, rest, release.given)


def worded(left: dict[str, str]) -> str:
    """Who is left and why, in a line."""
    shown = [f"{name} {why}" for name, why in sorted(left.items())]
    return f"{'; '.join(shown[:3])}{f'; and {len(shown) - 3} more' if len(shown) > 3 else ''}"[:200]


def compared(new: Share, rest: Share, given: Release) -> str:
    """What of the released is worse than the rest by more than its gate lets it be."""
    gate = given.gate
    if rest.on_time - new.on_time > gate.on_time:
        return f"on time {new.on_time:.3f}, the rest {rest.on_time:.3f}"
    if new.errors - rest.errors > gate.errors:
        return f"scrapped {new.errors:.3f}, the rest {rest.errors:.3f}"
    if new.turned_back - rest.turned_back > gate.turned_back:
        return f"turned back {new.turned_back:.3f}, the rest {rest.turned_back:.3f}"
    if rest.memory and new.memory > gate.memory * rest.memory:
        return f"memory {new.memory / 1e6:.1f} MB, the rest {rest.memory / 1e6:.1f} MB"
    return ""


def chosen(selector: str, seats: dict[str, Seat]) -> list[str]:
    """Who is meant, of those who are here."""
    here = sorted(name for name, seat in seats.items() if seat.here)
    if selector == "all":
        return here
    if selector.startswith("zone="):
        return [name for name in here if seats[name].zone == selector[5:]]
    wanted = {one.strip() for one in selector.split(",")}
    return [name for name in here if name in wanted]


def split(names: list[str], waves: list[str]) -> list[list[str]]:
    """Names in waves: numbers, or parts of all; what is left is the last one."""
    found, at = [], 0
    for wave in waves:
        size = int(wave.removesuffix("%"))
        if wave.endswith("%"):
            size = ceil(size * len(names) / 100)
        if at < len(names):
            found.append(names[at : at + size])
            at += size
    if at < len(names):
        found.append(names[at:])
    return found
