"""Owns which entries of pools have sockets to the same RADIUS server, and tells all when its run ends.

A run is the life of one process of a server. Its memory of packets ends with it (RFC 5080, section
2.2.2), so that what was sent to one run is a new request to the next. Several pools may list one
server, and a list may have replaced its entry: a sign that one of them sees holds for all.
"""

from __future__ import annotations

from typing import Protocol

from whinpier.config.model import Address


class ServerEntry(Protocol):
    """An entry of a pool with packets out at a server."""

    started: int  # nanoseconds; 0: its list does not say

    def end_run(self) -> None:
        """Take note that the process that has the packets has ended."""


class ServerRuns:
    """The entries with open sockets, by the address that these are connected to."""

    def __init__(self) -> None:
        """Start without any."""
        self._entries: dict[Address, set[ServerEntry]] = {}

    def add(self, address: Address, entry: ServerEntry) -> None:
        """Take up an entry that has opened a socket to an address."""
        self._entries.setdefault(address, set()).add(entry)

    def remove(self, address: Address, entry: ServerEntry) -> None:
        """Forget an entry that has closed its sockets to an address."""
        entries = self._entries.get(address, set())
        entries.discard(entry)
        if not entries:
            self._entries.pop(address, None)

    def end(self, address: Address) -> None:
        """Tell all entries that the process at an address has ended: its port refuses."""
        for entry in tuple(self._entries.get(address, ())):
            entry.end_run()

    def begin(self, address: Address, started: int) -> None:
        """Tell the entries of other runs that the process at an address started at another time."""
        for entry in tuple(self._entries.get(address, ())):
            if entry.started != started:
                entry.end_run()
