"""Makes a failing run smaller while it fails the same way: fewer troubles, servers, balancers,
requests.

Greedy, with larger steps first; each step is kept only if the same rule is still broken (or what
must hold still does not). The result is an experiment file of its own and a seed.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Callable, Iterator
from typing import Any

from whinpier.config.model import ConfigFault
from whinpier.simulation.experiment import checked, encoded
from whinpier.simulation.faults import by_chance
from whinpier.simulation.world import World
from whinpier.testbed.files import document

Given = dict[str, Any]


def failing(given: Given, seed: int) -> set[str]:
    """What fails in a run: rules that are broken, or `holds`."""
    found = World(checked(given), seed).play()
    broken = {rule for rule, count in found["breaches"].items() if count}
    return broken or (set() if found["holds"] else {"holds"})


def spelled_out(given: Given, seed: int) -> Given:
    """The same run with its troubles by chance written down, so that they can be left out one by one."""
    experiment = checked(given)
    drawn = by_chance(
        experiment.chance,
        experiment.seconds,
        experiment.warm,
        experiment.upstream_fleet.zones,
        seed,
    )
    found: Given = encoded(experiment)
    found["troubles"] = [*found["troubles"], *(encoded(trouble) for trouble in drawn)]
    found["chance"], found["vary"], found["seeds"] = {"count": 0}, {}, 1
    return found


def smaller(given: Given) -> Iterator[tuple[str, Given]]:
    """Runs that are a step smaller, the largest steps first."""

    def without(change: Callable[[Given], None], what: str) -> tuple[str, Given]:
        other = copy.deepcopy(given)
        change(other)
        return what, other

    troubles = given["troubles"]
    if len(troubles) > 3:
        half = len(troubles) // 2
        yield without(
            lambda one: one.update(troubles=troubles[:half]), "the first half of the troubles"
        )
        yield without(
            lambda one: one.update(troubles=troubles[half:]), "the second half of the troubles"
        )
    for index, trouble in enumerate(troubles):
        yield without(
            lambda one, index=index: one["troubles"].pop(index),  # type: ignore[misc]
            f"without {trouble['kind']} at {trouble['at']:g}",
        )
    if len(given["streams"]) > 1:
        for index, stream in enumerate(given["streams"]):
            yield without(
                lambda one, index=index: one["streams"].pop(index),  # type: ignore[misc]
                f"without {stream['name']}",
            )
    upstream_fleet = given["fleet"]
    if upstream_fleet["balancers"] > 1:
        for count in {1, upstream_fleet["balancers"] // 2, upstream_fleet["balancers"] - 1}:
            yield without(
                lambda one, count=count: one["fleet"].update(balancers=count),  # type: ignore[misc]
                f"{count} balancers",
            )
    for index, machine in enumerate(upstream_fleet["machines"]):
        if machine["count"] > 1:
            for count in sorted({1, machine["count"] // 2, machine["count"] - 1}):
                yield without(
                    lambda one, index=index, count=count:  # type: ignore[misc]
                    one["fleet"]["machines"][index].update(count=count),
                    f"{count} of machines {index}",
                )
    for times in (0.25, 0.5, 0.8):
        other = copy.deepcopy(given)
        for stream in other["streams"]:
            stream["rate"] *= times
        yield f"{times:g} of the tasks", other
        if given["seconds"] * times > given["warm"] + 1.0:
            yield without(
                lambda one, times=times:  # type: ignore[misc]
                one.update(seconds=round(one["seconds"] * times, 3)),
                f"{times:g} of the seconds",
            )


def shrink(
    given: Given, seed: int, tell: Callable[[str], None] = lambda text: None, most: int = 300
) -> tuple[Given, str, int]:
    """The smallest run found, what fails in it, how many runs it took. Raises ConfigFault if
    none fails.
    """
    whole = spelled_out(given, seed)
    broken = failing(whole, seed)
    if not broken:
        raise ConfigFault(f"seed {seed}: nothing fails, so there is nothing to shrink")
    rule, tried = sorted(broken)[0], 0
    known: set[str] = set()
    again = True
    while again and tried < most:
        again = False
        for what, other in smaller(whole):
            mark = json.dumps(other, sort_keys=True)
            if mark in known or tried >= most:
                continue
            known.add(mark)
            tried += 1
            try:
                still = rule in failing(other, seed)
            except ConfigFault:
                continue  # too small to be a run
            if still:
                tell(f"{what}: still broken ({rule})")
                whole, again = other, True
                break
    return whole, rule, tried


def toml(given: Given) -> str:
    """An experiment file, with what is at its default left out."""
    usual: Given = encoded(
        checked(
            {
                "name": "x",
                "fleet": {"machines": [{"count": 1}]},
                "streams": [{"name": "x", "rate": 1.0}],
            }
        )
    )
    whole = pruned(given, usual)
    for name in ("fleet", "policy", "holds"):
        whole[name] = pruned(given[name], usual[name])
    machine = usual["fleet"]["machines"][0]
    whole["fleet"]["machines"] = [pruned(one, machine) for one in given["fleet"]["machines"]]
    whole["streams"] = [pruned(one, usual["streams"][0]) for one in given["streams"]]
    whole["troubles"] = [pruned(one, {"amount": 0.0, "zone": 0}) for one in given["troubles"]]
    return document({name: value for name, value in whole.items() if value not in ({}, [])})


def pruned(table: Given, usual: Given) -> Given:
    return {
        name: value
        for name, value in table.items()
        if value != usual.get(name, object()) or name in ("name", "count", "rate")
    }
