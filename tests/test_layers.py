"""Imports run one way: decisions, runtime, protocols, operation; nobody imports what stands aside."""

import ast
from pathlib import Path

LAYERS = [  # from below; a module may import from its own layer and from those before it
    (
        "decay",
        "model",
        "log",
        "spec",
        "settings",
        "files",
        "durable",
        "tables",
        "routing",
        "observed",
        "peers",
    ),
    ("choice",),
    ("runtime",),
    ("net", "simhost"),
    ("radius", "bank"),
    ("config",),
    ("__main__",),
    ("standin", "lab", "check", "cli"),
]


def layer(name):
    return next(place for place, parts in enumerate(LAYERS) if name in parts)


def test_what_lies_below_a_protocol_does_not_name_it():
    """A protocol beside HTTP brings its own tables, spec, front and peers; RADIUS came, others will."""
    for file in ("spec.py", "tables.py", "runtime/life.py", "runtime/pool.py", "runtime/budget.py"):
        assert "radius" not in Path("whinpier", file).read_text().lower(), file


def test_imports_run_downward():
    for file in Path("whinpier").rglob("*.py"):
        own = file.relative_to("whinpier").with_suffix("").parts[0]
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
                    assert layer(parts[1]) <= layer(own), f"{file} imports {name}"
