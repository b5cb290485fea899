"""What all commands share: how a fault ends one, what kinds of paths they take, how rows are shown.

Must import no command, so that each can import this.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NoReturn

import click

FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)

Row = dict[str, Any]


def fail(text: str, code: int = 2) -> NoReturn:
    """End the command with one line on standard error."""
    click.echo(f"whinpier: {text}", err=True)
    sys.exit(code)


def show(rows: list[Row], title: str, naming: int = 1) -> None:
    """Tables for people, of columns that fit side by side; the first `naming` columns stand in each."""
    from rich import box
    from rich.console import Console
    from rich.table import Table

    console = Console()
    keys = list(rows[0]) if rows else []
    texts = {key: [key.replace("_", " "), *(cell(row[key]) for row in rows)] for key in keys}
    words = {
        key: max(len(word) for text in texts[key] for word in [*text.split(), ""]) for key in keys
    }
    longest = {key: max(map(len, texts[key])) for key in keys}
    least = words | {key: max(words[key], min(longest[key], 24)) for key in keys[:naming]}
    for number, columns in enumerate(side_by_side(least, naming, console.width)):
        table = Table(title=title if number == 0 else None, title_justify="left", box=box.SIMPLE)
        for key, width in shared_out(columns, least, longest, console.width).items():
            table.add_column(key.replace("_", " "), overflow="fold", width=width)
        for row in rows:
            table.add_row(*(cell(row[key]) for key in columns))
        console.print(table)


def cell(value: Any) -> str:
    return "" if value is None else str(value)


def taken(widths: Iterable[int]) -> int:
    """Characters of a line with columns of these widths: three between two, two on each side."""
    return 1 + sum(width + 3 for width in widths)


def side_by_side(least: dict[str, int], naming: int, width: int) -> list[list[str]]:
    """Columns in groups that fit into `width` characters with no word broken, the first few in each."""
    keys = list(least)
    groups: list[list[str]] = []
    for key in keys[naming:]:
        if not groups or taken(least[one] for one in [*groups[-1], key]) > width:
            groups.append(keys[:naming])
        groups[-1].append(key)
    return groups or [keys]


def shared_out(
    columns: list[str], least: dict[str, int], longest: dict[str, int], width: int
) -> dict[str, int]:
    """The width of each column of a group: what is left over goes to those with longer texts, evenly."""
    widths = {key: least[key] for key in columns}
    while taken(widths.values()) < width:
        shortest = min(
            (key for key in columns if widths[key] < longest[key]),
            key=widths.__getitem__,
            default=None,
        )
        if shortest is None:
            break
        widths[shortest] += 1
    while taken(widths.values()) > width and (widest := max(widths, key=widths.__getitem__)):
        if widths[widest] <= 1:
            break
        widths[widest] -= 1  # a word longer than a line has to be broken
    return widths
