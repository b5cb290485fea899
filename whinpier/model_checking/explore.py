"""Goes through every order of events of a small world, or walks it at random; a breach is a list of
steps.

A world is copied, never undone. Two worlds with one mark are taken for one: a mark must hold all
that decides what can happen from there. Must never draw from chance that is not seeded, or keep
more than `most` states.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol


class World(Protocol):
    """What is explored."""

    def steps(self) -> list[tuple[str, Hashable]]:
        """What can happen now: as people read it, and as `do` takes it."""

    def do(self, step: Hashable) -> None:
        """Have it happen."""

    def broken(self) -> str:
        """Which property does not hold, empty if all do."""

    def mark(self) -> Hashable:
        """The same for worlds from which the same can happen."""


@dataclass
class Found:
    """What an exploration came to."""

    states: int = 0
    steps: int = 0
    deepest: int = 0
    whole: bool = True  # every order was gone through
    broken: str = ""
    path: list[str] = field(default_factory=list)  # the shortest found that leads to what broke


def copied(world: World) -> World:
    found: World = pickle.loads(pickle.dumps(world, pickle.HIGHEST_PROTOCOL))
    return found


def every(world: World, depth: int, most: int = 2_000_000) -> Found:
    """Breadth first, so that the first breach is among the shortest."""
    found = Found()
    seen = {world.mark()}
    edge: list[tuple[World, tuple[str, ...]]] = [(world, ())]
    while edge and found.deepest < depth:
        following: list[tuple[World, tuple[str, ...]]] = []
        for here, path in edge:
            for name, step in here.steps():
                there = copied(here)
                there.do(step)
                found.steps += 1
                if broken := there.broken():
                    found.broken, found.path, found.states = broken, [*path, name], len(seen)
                    return found
                mark = there.mark()
                if mark in seen:
                    continue
                if len(seen) >= most:
                    found.whole, found.states = False, len(seen)
                    return found
                seen.add(mark)
                following.append((there, (*path, name)))
        edge = following
        found.deepest += 1
    found.states, found.whole = len(seen), not edge
    return found


def walk(
    make: Callable[[int], World], seed: int, steps: int, length: int = 400, fair: bool = False
) -> Found:
    """At random, in walks of so many steps, each from a world of its own.

    `fair`: first what kind of step, then which: many messages do not crowd out what happens seldom.
    """
    chance, found = Random(f"walk/{seed}"), Found(whole=False)
    while found.steps < steps:
        world, path = make(chance.getrandbits(32)), list[str]()
        for _ in range(length):
            choices = world.steps()
            if not choices:
                break
            if fair:
                kinds: dict[Hashable, list[tuple[str, Hashable]]] = {}
                for choice in choices:
                    kinds.setdefault(
                        choice[1][0] if isinstance(choice[1], tuple) else "", []
                    ).append(choice)
                choices = list(kinds.values())[int(chance.random() * len(kinds))]
            name, step = choices[int(chance.random() * len(choices))]
            world.do(step)
            path.append(name)
            found.steps += 1
            if broken := world.broken():
                found.broken, found.path = broken, path
                return found
        found.deepest = max(found.deepest, len(path))
    return found


def replay(world: World, path: list[str]) -> str:
    """What breaks when the steps of a path are taken again; raises KeyError for one that can't be."""
    for name in path:
        world.do(dict(world.steps())[name])
        if broken := world.broken():
            return broken
    return ""


def breaks(make: Callable[[], World], path: list[str]) -> list[str]:
    """As much of a path as can be taken, up to what breaks; empty where nothing does."""
    world, taken = make(), list[str]()
    for name in path:
        step = dict(world.steps()).get(name)
        if step is None:
            continue  # it hung on a step that was left out
        world.do(step)
        taken.append(name)
        if world.broken():
            return taken
    return []


def shorter(make: Callable[[], World], path: list[str]) -> list[str]:
    """A path without the steps that it breaks without: many at a time first, then one by one."""
    size = len(path) // 2
    while size:
        at, before = 0, len(path)
        while at < len(path):
            if found := breaks(make, path[:at] + path[at + size :]):
                path = found
            else:
                at += size
        if len(path) == before:
            size //= 2
    return path
