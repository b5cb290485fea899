"""Imports run one way: decisions, runtime, protocols, operation; nobody imports what stands aside."""

import ast
from pathlib import Path

LAYERS = [  # from below; a module may import from its own layer and from those before it
    (
        "log",
        "settings",
        "storage",
        "routing",
        "config.fields",
        "config.model",
        "policy.model",
        "policy.decaying_sum",
        "policy.statistics",
        "policy.rate_gossip",
    ),
    ("policy",),
    ("runtime",),
    ("http", "simhost"),
    ("radius", "fleet"),
    ("config",),
    ("__main__",),
    ("testbed", "simulation", "model_checking", "cli"),
]


def layer(name):
    """The layer of a module, named below `whinpier`, or of the package it is in."""
    whole = ".".join(name.split(".")[:2])
    places = {part: place for place, parts in enumerate(LAYERS) for part in parts}
    return places[whole] if whole in places else places[name.split(".")[0]]


def test_what_lies_below_a_protocol_does_not_name_it():
    """A protocol beside HTTP brings its own tables, spec, front and peers; RADIUS came, others will."""
    for file in (
        "config/model.py",
        "config/fields.py",
        "runtime/process.py",
        "runtime/pool.py",
        "runtime/resource_budget.py",
    ):
        assert "radius" not in Path("whinpier", file).read_text().lower(), file


def test_imports_run_downward():
    for file in Path("whinpier").rglob("*.py"):
        own = ".".join(file.relative_to("whinpier").with_suffix("").parts)
        if own == "__init__":
            continue
        tree = ast.parse(file.read_text())
        typed = {
            inner
            for node in ast.walk(tree)
            if isinstance(node, ast.If) and getattr(node.test, "id", "") == "TYPE_CHECKING"
            for inner in ast.walk(node)
        }
        for node in set(ast.walk(tree)) - typed:
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [f"{node.module}.{alias.name}" for alias in node.names]
            for name in names:
                parts = name.split(".")
                if parts[0] == "whinpier" and len(parts) > 1:
                    assert layer(".".join(parts[1:])) <= layer(own), f"{file} imports {name}"
