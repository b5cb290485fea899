"""Selects the members of a rollout and divides them into waves."""

from __future__ import annotations

from math import ceil

from whinpier.fleet.rollouts.model import MemberView
from whinpier.fleet.rollouts.releases import ALL_MEMBERS

ZONE_PREFIX = "zone="


def select_members(selector: str, views: dict[str, MemberView]) -> list[str]:
    """Return the sorted names of the present members that match a selector.

    A selector is ALL_MEMBERS, a zone after ZONE_PREFIX, or comma-separated names.
    """
    present = sorted(name for name, view in views.items() if view.is_present)
    if selector == ALL_MEMBERS:
        return present
    if selector.startswith(ZONE_PREFIX):
        zone = selector.removeprefix(ZONE_PREFIX)
        return [name for name in present if views[name].zone == zone]
    wanted = {name.strip() for name in selector.split(",")}
    return [name for name in present if name in wanted]


def split_into_waves(names: list[str], sizes: list[str]) -> list[list[str]]:
    """Divide names into waves of these sizes; names left over form the last wave.

    A size is a number of names, or a percentage of all names, rounded up.
    """
    waves = []
    start = 0
    for text in sizes:
        size = int(text.removesuffix("%"))
        if text.endswith("%"):
            size = ceil(size * len(names) / 100)
        if start < len(names):
            waves.append(names[start : start + size])
            start += size
    if start < len(names):
        waves.append(names[start:])
    return waves
