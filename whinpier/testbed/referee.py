"""The referee of a fleet: from what was done to it and what its processes said, which property
broke, when.

Reads facts (what really happened to processes and ways) and events (what each process said),
both with times of the machine's one monotonic clock, in seconds. Knows nothing of how members
find out. Must never count on what a process says of itself where a fact is there.

Properties of membership, each with its bound:

  dead      whom the facts call dead is no longer taken for reachable, by any member that is connected to all
  false     nobody is called lost who was alive, awake and reachable by all for a while before, nor by the
            word of one that stood still and has not listened yet
  position  once ways have been as they are for long enough each names its own position truly
  agree     once all is quiet for long enough all who are connected hold the same members, those who are there
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Fact:
    """Something that was done: `started`, `dead`, `left`, `stopped`, `goes_on`, `ways` or `weather`.

    `member` is name and run. `ways` has the parts in which members now are (by name; none: all
    together); `weather` says whether datagrams get lost or late just now; of one that is `dead`,
    whether silently so.
    """

    at: float
    kind: str
    member: tuple[str, str] = ("", "")
    parts: tuple[frozenset[str], ...] = ()
    bad: bool = False


@dataclass(frozen=True)
class Said:
    """One event of one process."""

    at: float
    process: tuple[str, str]  # name and run
    event: str
    pairs: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Breach:
    """A property that broke."""

    rule: str
    at: float
    who: str
    what: str

    def __str__(self) -> str:
        return f"{self.at:.2f} s: {self.rule}: {self.who}: {self.what}"


@dataclass
class Bounds:
    """Seconds."""

    dead: float = 3.0
    position: float = 3.0
    agree: float = 3.0
    awake: float = 4.0  # that somebody must have been reachable by all for a loss to be false
    waking: float = 0.5  # after which one that stood still has heard what came meanwhile
    calm: float = (
        1.0  # that the network must have been sound before a death, for `dead` to be exact
    )


REACHABLE, LOSING = ("member_here", "member_leaving", "member_suspect"), "member_lost"
OUT = ("member_left", "member_replaced", "member_forgotten")


class Referee:
    """Goes through one history."""

    def __init__(
        self, facts: Iterable[Fact], said: Iterable[Said], ends: float, bounds: Bounds
    ) -> None:
        self.bounds, self.ends = bounds, ends
        self.facts = sorted(facts, key=lambda fact: fact.at)
        self.said = sorted(said, key=lambda one: one.at)
        self.views: dict[tuple[str, str], dict[tuple[str, str], str]] = defaultdict(dict)
        self.positions: dict[tuple[str, str], str] = {}
        self.alive: dict[tuple[str, str], float] = {}  # since when it is there, awake
        self.asleep: set[tuple[str, str]] = set()
        self.woke: dict[tuple[str, str], float] = {}  # when it last went on
        self.died: dict[tuple[str, str], float] = {}
        self.silent: set[tuple[str, str]] = set()  # of those who died without anything that says so
        self.unsure = False  # somebody died where some could not see the evidence
        self.quiet = 0.0  # since when nothing was done to ways and weather, and nobody stopped
        self.parts: tuple[frozenset[str], ...] = ()
        self.weather = False
        self.names: dict[
            tuple[str, str], tuple[str, str]
        ] = {}  # a run that was taken up anew: its first
        self.breaches: list[Breach] = []
        self.slowest: dict[str, float] = defaultdict(float)  # how near each bound came, in seconds
        self.checked: dict[str, int] = defaultdict(int)

    def judge(self) -> list[Breach]:
        """All breaches. `slowest` then says how near the bounds came, `checked` how often each was held."""
        moments = [(one.at, 1, one) for one in self.said if one.at <= self.ends]
        moments += [(fact.at, 0, fact) for fact in self.facts if fact.at <= self.ends]  # type: ignore[misc]
        due: list[tuple[float, str]] = []
        for at, _, moment in sorted(moments, key=lambda one: one[:2]):
            while due and due[0][0] <= at:
                self.check(*due.pop(0))
            if isinstance(moment, Fact):
                if self.fact(moment):
                    due = [one for one in due if one[0] <= at]
                    due += [
                        (at + self.bounds.position, "position"),
                        (at + self.bounds.agree, "agree"),
                    ]
                    due.sort()
            else:
                self.event(moment)
        for one in due:
            if one[0] <= self.ends:
                self.check(*one)
        self.check_dead(self.ends)
        return self.breaches

    def fact(self, fact: Fact) -> bool:
        """Take up what was done; whether the bounds of the whole fleet run anew from here."""
        who = fact.member
        if fact.kind == "started":
            self.alive[who] = fact.at
            # A new run of its name says of one that died in silence that it is gone.
            self.silent = {one for one in self.silent if one[0] != who[0]}
        elif fact.kind in ("dead", "left"):
            self.alive.pop(who, None)
            self.asleep.discard(who)
            self.died[who] = fact.at
            if fact.bad:
                self.silent.add(who)
            self.unsure = self.unsure or bool(self.parts or self.weather)
        elif fact.kind == "stopped":
            self.asleep.add(who)
        elif fact.kind == "goes_on":
            self.asleep.discard(who)
            self.woke[who] = fact.at
            if who in self.alive:
                self.alive[who] = fact.at
        elif fact.kind == "ways":
            self.parts = fact.parts
        elif fact.kind == "weather":
            self.weather = fact.bad
        if fact.kind not in ("left", "dead", "started"):
            self.quiet = fact.at
        return True

    def event(self, said: Said) -> None:
        process, member = said.process, (said.pairs.get("member", ""), said.pairs.get("run", ""))
        view = self.views[process]
        if said.event == "partition_state_changed":
            self.positions[process] = said.pairs["position"]
        elif said.event == "member_renewed":
            before = (process[0], said.pairs["before"])
            self.alive[(process[0], member[1])] = said.at
            self.alive.pop(before, None)
        elif said.event in REACHABLE:
            view[member] = "here" if said.event != "member_suspect" else "suspect"
        elif said.event in OUT:
            if view.pop(member, "lost") != "lost":
                self.note_dead(process, member, said.at)
        elif said.event == LOSING:
            if view.get(member) != "lost":
                self.note_dead(process, member, said.at)
            view[member] = "lost"
            self.check_false(said, process, member)

    def note_dead(self, process: tuple[str, str], member: tuple[str, str], at: float) -> None:
        if (
            member in self.died
            and self.whole_since(process) + self.bounds.calm <= self.died[member]
        ):
            took = at - self.died[member]
            self.checked["dead"] += 1
            self.slowest["dead"] = max(self.slowest["dead"], took)
            if took > self.bounds.dead:
                self.breaches.append(
                    Breach("dead", at, process[0], f"took {took:.2f} s to lose {member[0]}")
                )

    def whole_since(self, process: tuple[str, str]) -> float:
        """Since when a process is awake and the network sound."""
        if process not in self.alive or process in self.asleep or self.parts or self.weather:
            return float("inf")
        return max(self.alive[process], self.quiet)

    def check_false(self, said: Said, process: tuple[str, str], member: tuple[str, str]) -> None:
        if member not in self.alive or member in self.asleep or self.parts or self.weather:
            return
        self.checked["false"] += 1
        if (
            said.at - self.woke.get(process, -1e9) < self.bounds.waking
            and said.pairs.get("by") == process[0]
        ):
            if said.at - self.alive[member] > self.bounds.waking:
                self.breaches.append(
                    Breach(
                        "false",
                        said.at,
                        process[0],
                        (
                            f"has just gone on, and calls {member[0]} lost, which it did not listen to"
                        ),
                    )
                )
        since = max(self.alive[member], self.whole_since(process))
        if said.at - since > self.bounds.awake and said.pairs.get("by") in {
            name for name, _ in self.alive
        }:
            self.breaches.append(
                Breach(
                    "false",
                    said.at,
                    process[0],
                    (f"calls {member[0]} lost, which was reachable by all since {since:.2f} s"),
                )
            )

    def check(self, at: float, what: str) -> None:
        if self.weather or self.asleep or at < self.quiet:
            return
        if what == "position":
            self.check_position(at)
        elif not self.parts:
            self.check_agree(at)

    def check_position(self, at: float) -> None:
        there = set(self.alive)
        if self.unsure:
            return  # some dead are silent to some, and none of them can know it
        for process in sorted(there):
            if at - self.alive[process] < self.bounds.position:
                continue
            part = next(
                (part for part in self.parts if process[0] in part), frozenset({process[0]})
            )
            mine = there if not self.parts else {who for who in there if who[0] in part}
            self.checked["position"] += 1
            rest = len(there) - len(mine) + len(self.silent)
            true = (
                "whole"
                if not rest
                else "alone"
                if len(mine) == 1
                else ("larger" if len(mine) > rest else "smaller")
            )
            if self.positions.get(process) != true:
                self.breaches.append(
                    Breach(
                        "position",
                        at,
                        process[0],
                        f"says {self.positions.get(process)}, and is in the {true}",
                    )
                )

    def check_agree(self, at: float) -> None:
        there = {who for who, since in self.alive.items() if at - since >= self.bounds.agree}
        fresh = set(self.alive) - there
        self.checked["agree"] += 1
        for process in sorted(there):
            view = {who for who, state in self.views[process].items() if state != "lost"} - fresh
            gone = {
                who for who in view if who in self.died and at - self.died[who] < self.bounds.dead
            }
            missing, wrong = there - view - {process}, view - there - gone
            if missing or wrong:
                self.breaches.append(
                    Breach(
                        "agree",
                        at,
                        process[0],
                        (
                            f"misses {sorted(who[0] for who in missing)[:5]}, "
                            f"holds {sorted(who[0] for who in wrong)[:5]}"
                        ),
                    )
                )

    def check_dead(self, at: float) -> None:
        """Nobody holds a dead member for good."""
        for process in sorted(self.alive):
            if process in self.asleep:
                continue
            for member, state in self.views[process].items():
                died = self.died.get(member)
                if (
                    state != "lost"
                    and died is not None
                    and at - max(died, self.quiet) > self.bounds.dead
                ):
                    self.breaches.append(
                        Breach(
                            "dead",
                            at,
                            process[0],
                            f"still holds {member[0]}, dead since {died:.2f} s",
                        )
                    )
