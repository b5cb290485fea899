"""The command line as it stands: all verbs, their options and arguments, as click holds them."""

import json
from pathlib import Path

import click
import pytest

from whinpier.cli.main import cli

DATA = Path(__file__).parent / "data" / "kept"
KEPT = json.loads((DATA / "verbs.json").read_text("utf-8"))


def choices(kind):
    return list(kind.choices) if isinstance(kind, click.Choice) else None


def bounds(kind):
    if not isinstance(kind, (click.IntRange, click.FloatRange)):
        return None
    return [kind.min, kind.max, kind.min_open, kind.max_open]


def parameter_form(one):
    """What a caller can write for one option or argument."""
    default = one.default
    if callable(default):
        default = "worked out"
    elif not isinstance(default, (bool, int, float, str)):
        default = None
    return {
        "kind": one.param_type_name,
        "names": [*one.opts, *one.secondary_opts],
        "type": one.type.name,
        "choices": choices(one.type),
        "bounds": bounds(one.type),
        "required": one.required,
        "many": one.nargs,
        "multiple": one.multiple,
        "flag": getattr(one, "is_flag", False),
        "default": default,
        "environment": one.envvar,
    }


def forms(command, path=()):
    """Each verb by its full path, with what can be written after it; groups are verbs too."""
    group = isinstance(command, click.Group)
    found = {
        " ".join(path): {
            "group": group,
            "alone": getattr(command, "invoke_without_command", False),
            "parameters": [parameter_form(one) for one in command.params],
        }
    }
    if group:
        for name, one in command.commands.items():
            found |= forms(one, (*path, name))
    return found


FOUND = forms(cli)


def is_new(verb):
    """Whether this is a new name of a verb that keeps its old one."""
    return verb.split()[:1] == ["fleet"]


def test_no_verb_is_gone_or_has_come():
    assert [verb for verb in FOUND if not is_new(verb)] == list(KEPT)


def test_fleet_takes_every_verb_that_bank_takes():
    new = {verb.replace("fleet", "bank", 1): form for verb, form in FOUND.items() if is_new(verb)}
    assert new == {verb: form for verb, form in FOUND.items() if verb.split()[:1] == ["bank"]}


@pytest.mark.parametrize("verb", KEPT)
def test_a_verb_takes_the_same_options_and_arguments(verb):
    assert json.loads(json.dumps(FOUND[verb])) == KEPT[verb]


def test_many_verbs_and_options_are_kept():
    assert len(KEPT) > 40 and sum(len(one["parameters"]) for one in KEPT.values()) > 150
