"""Every event and counter of the code stands on the page for those who alert on them."""

import ast
import re
from pathlib import Path

import pytest

PAGE = Path("docs/operate/log-events.md")
LOG_CALLS = {"info", "warning", "warning_uncounted", "exception"}
EVENT_CALLS = {"event", "Event", "add_event", "emit_event", "tell", "say_event"}
# State machines and tools beside the balancer, which write no log of its own.
ASIDE = ("testbed", "simulation", "model_checking", "cli")


def constants(node):
    """The strings that an expression may come to."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return [*constants(node.body), *constants(node.orelse)]
    return []


def names_in(tree):
    """Names of events that are logged or told, and of counters."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args:
            function = node.func
            called = getattr(function, "attr", getattr(function, "id", ""))
            is_log = getattr(getattr(function, "value", None), "id", "") == "log"
            if (is_log and called in LOG_CALLS) or (not is_log and called in EVENT_CALLS):
                yield from constants(node.args[0])
            if called == "append" and getattr(function.value, "attr", "") == "events":
                first = node.args[0]
                if isinstance(first, ast.Tuple) and first.elts:
                    yield from constants(first.elts[0])
        if isinstance(node, ast.Subscript):
            owner = getattr(node.value, "attr", getattr(node.value, "id", ""))
            if owner in ("counts", "counters"):
                yield from constants(node.slice)


def names_of_the_code():
    found = set()
    for file in Path("whinpier").rglob("*.py"):
        if file.parts[1] not in ASIDE:
            found |= set(names_in(ast.parse(file.read_text())))
    return sorted(name for name in found if name)


def names_on_the_page():
    rows = re.findall(r"^\| `([a-z0-9_]+)` \|", PAGE.read_text(), re.MULTILINE)
    assert len(rows) == len(set(rows)), "a name stands twice"
    return set(rows)


@pytest.mark.parametrize("name", names_of_the_code())
def test_an_event_or_counter_of_the_code_stands_on_the_page(name):
    assert name in names_on_the_page()


def test_the_page_names_nothing_that_the_code_does_not_have():
    text = "\n".join(file.read_text() for file in Path("whinpier").rglob("*.py"))
    composed = ("member_", "radius_", "came_back_", "unread_")
    missing = [
        name
        for name in names_on_the_page()
        if f'"{name}"' not in text and not name.startswith(composed)
    ]
    assert not missing
