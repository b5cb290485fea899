"""Decides what the lines of the fleet's record come to: permits, drains, releases, what each member
is to do.

A pure function of the lines: every member that has learned the same lines holds the same, and finds
in it its own orders. Being out (drained, switching to a release) takes a permit, given where a line
is applied; who failed without asking counts as out. Free of I/O, time and chance; wall clocks are
carried for people to read only. Must never let more be out by permit than the rules allow, free a
permit before its holder is known to be back or written off, answer one command twice in two ways,
or hold more than its bounds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec

from whinpier.fleet.messages import Line
from whinpier.fleet.rollouts.commands import (
    BACK,
    BALANCERS,
    CLOSED,
    CONFIRMED,
    DRAIN,
    FAILED,
    LEFT,
    LOST,
    MOST_CONTENTS,
    MOST_DRAINS,
    MOST_GONE,
    MOST_HISTORY,
    MOST_MEMBERS,
    MOST_RESULTS,
    MOST_TEXT,
    OBSERVED,
    PLAN,
    PUT,
    RELEASE,
    RULES,
    SAID,
    UNDRAIN,
    UPSTREAMS,
    WRITTEN_OFF,
    About,
    Drain,
    Judged,
    Plan,
    Put,
    Release,
    Rule,
    Rules,
    Seen,
    _decoders,
    encode,
)
from whinpier.fleet.rollouts.model import (
    BANK,
    DONE,
    DRAINING,
    GATED,
    HALTED,
    PLANNING,
    RELEASED,
    UNDOING,
    UNDONE,
    UNDRAINING,
    WAVES,
    Drained,
    Item,
    Orders,
    Out,
    Refused,
    Rollout,
    Whole,
    key_of,
    shown,
)


class Record:
    """What all lines so far come to."""

    def __init__(self) -> None:
        self.whole = Whole()
        self.changes = 0  # for whoever acts on it
        self.unread = 0  # lines that this build does not know

    # As a machine of the record.

    def freeze(self) -> bytes:
        return encode(self.whole)

    def thaw(self, data: bytes) -> None:
        self.whole = msgspec.msgpack.decode(data, type=Whole) if data else Whole()
        self.changes += 1

    def knows(self, data: bytes) -> bool:
        try:
            said = msgspec.msgpack.decode(data)[0]
            return isinstance(said, list) and said[0] in self.whole.results
        except (msgspec.DecodeError, IndexError, TypeError, KeyError):
            return False

    def apply(self, index: int, line: Line) -> None:
        """One more line is agreed."""
        self.changes += 1
        self.whole.applied = index
        decoder = _decoders.get(line.kind)
        try:
            if decoder is None:
                raise msgspec.DecodeError(f"kind {line.kind}")
            given: Any = decoder.decode(line.data)
        except (msgspec.DecodeError, ValueError):
            self.unread += 1  # a later build's: all of this build pass over it alike
            return
        if line.kind in SAID:
            self.command(index, line.kind, given)
        elif line.kind == OBSERVED:
            for seen in given.seen:
                self.observed(index, seen)
        elif line.kind == PUT:
            self.put(given)
        elif line.kind == PLAN:
            self.plan(given)
        else:
            self.judged(given)
        self.go_on(index)

    # Commands.

    def command(self, index: int, kind: int, given: Any) -> None:
        """Done once for each id; who asks again is given the same answer."""
        whole, said = self.whole, given.said
        if said.id in whole.results:
            return
        what = SAID[kind]
        try:
            if 0 <= said.based < whole.revision:
                raise Refused(self.changed_since(said.based))
            text, good = getattr(self, "do_" + what)(index, given), True
            whole.revision = index
        except Refused as fault:
            text, good = str(fault), False
        whole.results[said.id] = (index, good, text[:MOST_TEXT])
        while len(whole.results) > MOST_RESULTS:
            del whole.results[next(iter(whole.results))]
        about = f"{what} {self.about(kind, given)}".strip()
        self.note(index, said.wall, said.who, about, said.why, good, text)

    @staticmethod
    def about(kind: int, given: Any) -> str:
        if kind in (DRAIN, UNDRAIN):
            return shown(key_of(given.name, given.pool))
        if kind == RULES:
            return ", ".join(f"{rule.name}={rule.out}" for rule in given.rules)[:MOST_TEXT]
        if kind == RELEASE:
            return f"{given.content or given.build} to {given.selector}"
        return str(given.name)

    def changed_since(self, based: int) -> str:
        later = [
            item
            for item in self.whole.history
            if item.number > based and item.good and item.who != BANK
        ]
        if not later:
            return f"it has changed since {based}: it is at {self.whole.revision} now"
        item = later[-1]
        return f"changed since {based}: at {item.number} {item.who} said {item.what}"

    def note(
        self, index: int, wall: int, who: str, what: str, why: str, good: bool, text: str
    ) -> None:
        """One more line of the history, each bound to all before it."""
        history = self.whole.history
        plain = (index, wall, who, what, why, good, text)
        history.append(Item(*plain, chained(history[-1].chain if history else b"", plain)))
        if len(history) > MOST_HISTORY:
            del history[0]

    def do_permits(self, index: int, given: Rules) -> str:
        names = [rule.name for rule in given.rules]
        if len(set(names)) < len(names):
            raise Refused("a rule's name stands there twice")
        for rule in given.rules:
            if rule.of not in (BALANCERS, UPSTREAMS):
                raise Refused(f"{rule.name}: {rule.of!r} is neither {BALANCERS} nor {UPSTREAMS}")
        self.whole.rules = given.rules
        return f"{len(names)} rules"

    def do_drain(self, index: int, given: Drain) -> str:
        whole, key = self.whole, key_of(given.name, given.pool)
        if (drain := whole.drains.get(key)) is not None:
            if drain.state != UNDRAINING:
                raise Refused(
                    f"{shown(key)} is {drain.state} already, since {drain.number} by {drain.who}"
                )
        elif len(whole.drains) >= MOST_DRAINS:
            raise Refused(f"{MOST_DRAINS} are drained already")
        out = whole.outs.get(key)
        if out is not None and out.why == "release":
            raise Refused(f"{shown(key)} is being switched by release {self.release_number()}")
        # Who is out already, as it is lost, counts once, and no less.
        if why := self.over(key, given.zone, given.pool):
            raise Refused(why)
        whole.permits += 1
        whole.outs[key] = Out(whole.permits, index, "drain", given.zone, given.pool)
        whole.drains[key] = Drained(
            whole.permits, DRAINING, given.said.who, given.said.why, given.said.wall, index
        )
        return f"permit {whole.permits}"

    def do_undrain(self, index: int, given: Drain) -> str:
        drain = self.whole.drains.get(key_of(given.name, given.pool))
        if drain is None:
            raise Refused(f"{shown(key_of(given.name, given.pool))} is not drained")
        if drain.state == UNDRAINING:
            raise Refused("it is on its way back already")
        drain.state, drain.changed = UNDRAINING, index
        return f"permit {drain.number} is free once it is back"

    def do_strike(self, index: int, given: About) -> str:
        if given.name not in self.whole.lost:
            raise Refused(f"{given.name!r} is not lost")
        self.write_off(given.name)
        return "written off"

    # Permits.

    def outside(self) -> dict[str, tuple[str, str]]:
        """All that are out, by permit or without having asked: zone and pool."""
        found = {key_of(name): (zone, "") for name, zone in self.whole.lost.items()}
        return found | {key: (out.zone, out.pool) for key, out in self.whole.outs.items()}

    def over(self, key: str = "", zone: str = "", pool: str = "") -> str:
        """Which rule would be broken with one more out, or is broken now; empty if none is."""
        those = self.outside()
        if key:
            those[key] = zone, pool
        for rule in self.whole.rules:
            if key and not self.holds(rule, key, zone, pool):
                continue
            count = sorted(one for one, (at, of) in those.items() if self.holds(rule, one, at, of))
            if len(count) > rule.out:
                others = [shown(one) for one in count if one != key]
                return (
                    f"{rule.name}: {rule.out} may be out; out are {', '.join(others[:6]) or 'none'}"
                )
        return ""

    @staticmethod
    def holds(rule: Rule, key: str, zone: str, pool: str) -> bool:
        """Whether a rule is about this one."""
        of = UPSTREAMS if pool else BALANCERS
        return rule.of == of and rule.pool in ("", pool) and rule.zone in ("", zone)

    def write_off(self, name: str) -> None:
        """It is reckoned with no more: it holds no permit, and counts as out no longer."""
        whole = self.whole
        whole.lost.pop(name, None)
        whole.outs.pop(key_of(name), None)
        whole.gone[name] = whole.applied
        while len(whole.gone) > MOST_GONE:
            del whole.gone[next(iter(whole.gone))]

    # What the leader has seen.

    def observed(self, index: int, seen: Seen) -> None:
        whole = self.whole
        if seen.what == LOST:
            if len(whole.lost) < MOST_MEMBERS and shown(seen.key) not in whole.gone:
                whole.lost[shown(seen.key)] = seen.text
        elif seen.what == BACK:
            self.back(seen)
        elif seen.what == CONFIRMED:
            drain = whole.drains.get(seen.key)
            if drain is not None and drain.number == seen.number and drain.state == DRAINING:
                drain.state, drain.changed, drain.left = DONE, index, ""
        elif seen.what == LEFT:
            if (drain := whole.drains.get(seen.key)) is not None and drain.number == seen.number:
                drain.left = seen.text
        elif seen.what == WRITTEN_OFF:
            if shown(seen.key) in whole.lost:
                self.write_off(shown(seen.key))
                self.note(index, 0, BANK, f"written off {shown(seen.key)}", seen.text, True, "")
        elif whole.release is not None:
            self.switched(seen, whole.release)

    def back(self, seen: Seen) -> None:
        """One that was lost is heard, or one that was drained serves again."""
        whole = self.whole
        if seen.number == 0:
            whole.lost.pop(shown(seen.key), None)
            whole.gone.pop(shown(seen.key), None)
            return
        drain, out = whole.drains.get(seen.key), whole.outs.get(seen.key)
        if drain is not None and drain.number == seen.number and drain.state == UNDRAINING:
            del whole.drains[seen.key]
            if out is not None and out.number == seen.number:
                del whole.outs[seen.key]

    def switched(self, seen: Seen, release: Rollout) -> None:
        """One that was told to run something does so, or will not."""
        out, name = self.whole.outs.get(seen.key), shown(seen.key)
        if out is None or out.number != seen.number or out.why != "release":
            return
        if seen.what == FAILED:
            release.failed[name] = seen.text
            if release.phase == WAVES:
                self.halt(release, f"{name}: {seen.text}")
            elif release.phase == UNDOING:
                # It is not known to be back, so that it counts as out: by its drain or loss, or by
                # this.
                release.todo = [one for one in release.todo if one != name]
            return
        del self.whole.outs[seen.key]
        release.failed.pop(name, None)
        if release.phase in (UNDOING, UNDONE) or release.undoing:
            release.met = [one for one in release.met if one != name]
        elif name not in release.met:
            release.met.append(name)

    # Releases.

    def put(self, given: Put) -> None:
        whole = self.whole
        parts = whole.contents.get(given.content)
        if parts is None:
            self.make_room()
            if len(whole.contents) >= MOST_CONTENTS:
                return
            parts = whole.contents[given.content] = {}
            whole.sizes[given.content] = given.size
        if given.at + len(given.data) <= whole.sizes[given.content]:
            parts[given.at] = given.data

    def make_room(self) -> None:
        """Let go of files that nobody is told to run, the oldest first."""
        whole = self.whole
        used = {whole.good, *whole.told.values()}  # what is being put is the last
        for release in [*([whole.release] if whole.release else []), *whole.closed[-1:]]:
            used |= {release.given.content, release.good, *release.before.values()}
        for content in list(whole.contents):
            if len(whole.contents) < MOST_CONTENTS:
                return
            if content not in used:
                del whole.contents[content], whole.sizes[content]

    def content(self, name: str) -> bytes | None:
        """A file as it was put, still compressed; None while it is not whole."""
        parts = self.whole.contents.get(name)
        if parts is None or sum(map(len, parts.values())) < self.whole.sizes[name]:
            return None
        return b"".join(data for _, data in sorted(parts.items()))

    def release_number(self) -> int:
        return self.whole.release.number if self.whole.release else 0

    def do_release(self, index: int, given: Release) -> str:
        whole = self.whole
        if whole.release is not None:
            raise Refused(f"release {whole.release.number} is {whole.release.phase}")
        if bool(given.content) == bool(given.build):
            raise Refused("either a file or a build is released")
        if given.content:
            data = self.content(given.content)
            if data is None or hash_of(data) != given.content:
                raise Refused(f"the file {given.content} is not whole in the record")
        for wave in given.waves:
            if (
                not wave.removesuffix("%").isdigit()
                or not 0 < int(wave.removesuffix("%")) <= MOST_MEMBERS
            ):
                raise Refused(f"{wave!r} is no wave: a number, or a part of all as 25%")
        good = whole.good if given.content else whole.good_build or given.before
        whole.release = Rollout(index, given, good=good)
        return f"release {index}"

    def plan(self, given: Plan) -> None:
        release = self.whole.release
        if release is None or release.number != given.number or release.phase != PLANNING:
            return
        while len(release.waves) <= given.wave:
            release.waves.append([])
        release.waves[given.wave] += [
            name for name in given.names if not any(name in wave for wave in release.waves)
        ]
        for name, zone in zip(given.names, given.zones):
            release.zones[name] = zone
        if given.last:
            release.waves = [wave for wave in release.waves if wave]
            if not release.waves:
                release.reason = "it is for nobody who is here"
                self.close(release, UNDONE)
                return
            release.phase, release.todo = WAVES, list(release.waves[0])

    def judged(self, given: Judged) -> None:
        release = self.whole.release
        if (
            release is None
            or release.number != given.number
            or release.phase != GATED
            or release.wave != given.wave
        ):
            return
        if not given.good:
            self.halt(release, f"gate of wave {given.wave + 1}: {given.text}")
            return
        release.wave += 1
        if release.wave < len(release.waves):
            release.phase, release.todo = WAVES, list(release.waves[release.wave])
        else:
            self.close(release, RELEASED)

    def halt(self, release: Rollout, reason: str) -> None:
        """No more is told; what has it goes back, or is held, as the release says."""
        release.reason = reason[:MOST_TEXT]
        self.note(
            self.whole.applied, 0, BANK, f"halted {release.number}", reason[:MOST_TEXT], True, ""
        )
        if release.given.gate.hold:
            release.phase, release.undoing = HALTED, False
        else:
            self.undo(release)

    def do_halt(self, index: int, given: About) -> str:
        release = self.whole.release
        if release is None:
            raise Refused("no release is on")
        if release.phase == HALTED:
            raise Refused(f"release {release.number} is halted already: {release.reason}")
        release.undoing = release.phase == UNDOING
        release.reason = f"halted by {given.said.who}"
        release.phase = HALTED
        return f"release {release.number} is halted"

    def do_resume(self, index: int, given: About) -> str:
        release = self.whole.release
        if release is None or release.phase != HALTED:
            raise Refused("no release is halted")
        release.phase = UNDOING if release.undoing else PLANNING if not release.waves else WAVES
        release.reason = ""
        return f"release {release.number} goes on"

    def do_undo(self, index: int, given: About) -> str:
        whole = self.whole
        if whole.release is not None:
            if whole.release.undoing or whole.release.phase == UNDOING:
                raise Refused(f"release {whole.release.number} is being undone")
            self.undo(whole.release)
            return f"release {whole.release.number} is undone"
        done = next((one for one in reversed(whole.closed) if one.phase == RELEASED), None)
        if done is None:
            raise Refused("no release is left that could be undone")
        whole.closed.remove(done)
        whole.release = done
        for name in done.met:
            self.told(done).setdefault(name, done.given.content or done.given.build)
        if done.given.selector == "all":
            self.be_good(done, done.good)
        self.undo(done)
        return f"release {done.number} is undone"

    def told(self, release: Rollout) -> dict[str, str]:
        """Who is told to run what, of the kind that this release is of."""
        return self.whole.told if release.given.content else self.whole.told_build

    def be_good(self, release: Rollout, what: str) -> None:
        if release.given.content:
            self.whole.good = what
        else:
            self.whole.good_build = what

    def undo(self, release: Rollout) -> None:
        """Who has it is told what it had before, the last first."""
        release.phase, release.undoing, release.failed = UNDOING, True, {}
        # Who is out by this release already is told at once.
        out = [shown(key) for key, one in self.whole.outs.items() if one.why == "release"]
        release.todo = [*out, *(name for name in reversed(release.met) if name not in out)]

    def go_on(self, index: int) -> None:
        """Tell as many as permits allow; end a wave that is through."""
        release = self.whole.release
        if release is None:
            return
        if release.phase in (WAVES, GATED) and (why := self.over()):
            self.halt(release, f"too many are out: {why}")
        if release.phase == WAVES:
            what = release.given.content or release.given.build
            release.todo = self.tell(index, release, release.todo, what)
            if not release.todo and not self.switching():
                release.phase = GATED
        elif release.phase == UNDOING:
            release.todo = self.tell(index, release, release.todo, None)
            if not release.todo and not self.switching(release.failed):
                self.close(release, UNDONE)

    def switching(self, but: Any = ()) -> list[str]:
        return [
            key
            for key, out in self.whole.outs.items()
            if out.why == "release" and shown(key) not in but
        ]

    def tell(self, index: int, release: Rollout, names: list[str], what: str | None) -> list[str]:
        """Who of these may be out now is told what to run; who may not yet is left."""
        whole, told, left = self.whole, self.told(release), []
        for name in names:
            key, out = key_of(name), whole.outs.get(key_of(name))
            if what is not None and name in whole.lost:
                release.failed[name] = "was lost when its turn came"
                continue
            if what is not None:
                release.before.setdefault(name, told.get(name, release.good))
            if out is not None and out.why == "drain":
                # It is out already, and switches as it is: it takes no permit, and nobody waits for
                # it.
                told[name] = release.before.get(name, release.good) if what is None else what
                release.met = [one for one in release.met if one != name] + [name] * (
                    what is not None
                )
                continue
            if out is None and self.over(key, release.zones.get(name, "")):
                left.append(name)
                continue
            whole.permits += 1
            whole.outs[key] = Out(whole.permits, index, "release", release.zones.get(name, ""))
            told[name] = release.before.get(name, release.good) if what is None else what
        return left

    def close(self, release: Rollout, phase: str) -> None:
        whole = self.whole
        release.phase = phase
        if phase == RELEASED and release.given.selector == "all":
            self.be_good(release, release.given.content or release.given.build)
        if phase == UNDONE:
            # A member that was lost meanwhile takes up what is good when it comes back.
            for key in self.switching():
                del whole.outs[key]
        told, good = self.told(release), whole.good if release.given.content else whole.good_build
        for name in release.before:
            if told.get(name) == good:
                del told[name]
        whole.release = None
        whole.closed = [*whole.closed[1 - CLOSED :], release]
        self.note(
            whole.applied,
            0,
            BANK,
            f"{phase} {release.number}",
            release.reason,
            not release.failed,
            ", ".join(f"{name}: {why}" for name, why in release.failed.items())[:MOST_TEXT],
        )

    # What follows for members.

    def orders(self, name: str) -> Orders:
        """What one member is to do."""
        whole = self.whole
        drain = whole.drains.get(key_of(name))
        return Orders(
            drain is not None and drain.state != UNDRAINING,
            whole.told.get(name, whole.good),
            whole.told_build.get(name, whole.good_build),
        )

    def upstreams(self, pool: str) -> dict[str, int]:
        """Which upstreams of a pool are to get nothing new, with the line that says so."""
        start = f"u/{pool}/"
        return {
            key[len(start) :]: drain.number
            for key, drain in self.whole.drains.items()
            if key.startswith(start) and drain.state != UNDRAINING
        }

    def waiting(self) -> Iterator[tuple[str, Drained]]:
        """Drains that are not through, one way or the other."""
        return ((key, drain) for key, drain in self.whole.drains.items() if drain.state != DONE)

    def tried(self, index: int, kind: int, data: bytes) -> tuple[bool, str]:
        """What a command would come to, were it the next line; nothing is changed."""
        other = Record()
        other.thaw(self.freeze())
        before = set(other.whole.results)
        other.apply(index, Line(0, kind, data))
        found = [result for key, result in other.whole.results.items() if key not in before]
        return found[0][1:] if found else (False, "it was said before, or can't be read")


def hash_of(data: bytes) -> str:
    """A file's name in the record."""
    return hashlib.blake2b(data, digest_size=10, person=b"release").hexdigest()


def chained(before: bytes, plain: Any) -> bytes:
    """What binds a line of the history to all before it."""
    return hashlib.blake2b(before + encode(plain), digest_size=16, person=b"history").digest()


def checked(history: list[Item]) -> bool:
    """Whether each line of a history follows from the one before it."""
    for before, item in zip(history, history[1:]):
        plain = (item.number, item.wall, item.who, item.what, item.why, item.good, item.text)
        if chained(before.chain, plain) != item.chain:
            return False
    return True
