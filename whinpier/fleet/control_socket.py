"""Owns the control socket: what the process knows of the fleet can be asked while it serves.

One JSON object a line each way, with the id that the caller gave. Must never let a caller hold the
process: a line is bounded, so is what waits to be read, and each write has a deadline.
"""

from __future__ import annotations

import os
import socket
import stat
from collections import deque
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import msgspec
from msgspec import Struct

from whinpier import log
from whinpier.fleet.membership.membership import MS, UNREACHABLE
from whinpier.fleet.registry import MAX_LIFETIME_MS
from whinpier.fleet.spec import CALLERS

if TYPE_CHECKING:
    from whinpier.fleet.service import Link

LINE = 4_096  # bytes of what is asked
WAITING = 1_000  # events that wait for a watcher; then it is told how many it missed
TIMEOUT = 5.0  # seconds for a caller to take what it asked for, or to ask
IDLE = 60.0
LINGER, AFTER = (
    0.5,
    64,
)  # seconds, and pieces, for which a caller whose line is too long is still read


ASKS = frozenset(
    (
        "status",
        "command",
        "outcome",
        "put",
        "has",
        "history",
        "file",
        "permits",
        "read",
        "voters",
        "recover",
    )
)  # about the fleet's record
GONE_CALLER = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class ControlRequest(Struct, forbid_unknown_fields=True):
    """One request."""

    ask: str
    id: int | str = 0
    name: str = ""
    value: dict[str, str | float | int] = {}
    life_ms: int = 0


class Refused(Exception):
    """What is asked can't be done; the text says why."""


def prepare(path: str) -> None:
    """Take away the socket of a process that is gone. Raises OSError where one is still there."""
    try:
        mode = os.stat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise OSError(f"{path} is there and is no socket")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
    raise OSError(f"{path} is another process's")


class Control:
    """The control socket of one process."""

    def __init__(self, link: Link) -> None:
        self.link, self.path = link, link.spec.control
        self.callers = 0

    async def run(self) -> None:
        """Serve until the process ends. What can't be had is said, and the process goes on without it."""
        try:
            prepare(self.path)
            listener = await anyio.create_unix_listener(self.path, mode=0o600)
        except OSError as fault:
            log.warning("control_socket_failed", path=self.path, fault=fault)
            return
        try:
            async with listener:
                await listener.serve(self.serve)
        finally:
            with suppress(OSError):
                os.unlink(self.path)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if self.callers >= CALLERS:
                log.warning_uncounted("control_socket_full", callers=self.callers)
                return
            self.callers += 1
            try:
                async for line in lines(stream):
                    if not await self.answer(line, stream):
                        return
            except GONE_CALLER:
                return  # a caller that goes, or does not read, is its own trouble
            except Exception:  # a fault of ours ends this call, and not the listener
                log.exception("control_call_failed")
            finally:
                self.callers -= 1

    async def answer(self, line: bytes, stream: anyio.abc.SocketStream) -> bool:
        """Answer one line; whether the caller may ask more."""
        asked: ControlRequest | None = None
        try:
            asked = msgspec.json.decode(line, type=ControlRequest)
            if asked.ask == "watch":
                await self.watch(asked, stream)
                return False
            whole: dict[str, Any] = {"id": asked.id, "ok": True, "result": self.found(asked)}
        except (msgspec.DecodeError, ValueError, RecursionError, Refused) as fault:
            whole = {"id": asked.id if asked else 0, "ok": False, "fault": str(fault)}
        await say(stream, whole)
        return True

    def found(self, asked: ControlRequest) -> Any:
        link = self.link
        members = link.members
        members.advance_clock(link.loop.clock())
        if asked.ask == "members":
            return {
                "self": link.spec.name,
                "position": members.position,
                "here": members.count(),
                "unheard": members.reachability_counts[UNREACHABLE],
                "shares": {
                    name: {"balancers": one.balancers, "number": one.number}
                    for name, one in link.counting.pools.items()
                },
                "members": list(members.rows()),
            }
        if asked.ask == "links":
            return [
                {
                    "to": row["name"],
                    "state": row["state"],
                    "way": row["way"],
                    "heard_ms": row["heard_ms"],
                    "address": row["address"],
                    "disputed_by": row["disputed_by"],
                }
                for row in list(members.rows())[1:]
            ]
        if asked.ask == "figures":
            return link.figures()
        if asked.ask == "verdicts":
            return link.outlier_monitor.rows() if link.outlier_monitor else []
        if asked.ask == "limits":
            return link.limits()
        if asked.ask == "begin":
            return self.begin(asked.name)
        if asked.ask in ASKS:
            return self.of_record(asked)
        if asked.ask == "register":
            return link.register()
        if asked.ask == "say":
            return self.say(asked)
        if asked.ask == "strike":
            struck = link.strike(asked.name)
            if not struck:
                raise Refused(f"no member {asked.name!r} is lost by silence alone")
            log.info("member_removed_by_operator", member=asked.name)
            return {"struck": struck}
        raise Refused(
            f"{asked.ask!r} is none of members, links, limits, figures, watch, strike, begin, "
            "register, say, " + ", ".join(sorted(ASKS))
        )

    def of_record(self, asked: ControlRequest) -> Any:
        """What is about the fleet's record."""
        if self.link.agreed is None:
            raise Refused("bank.agreement is not in this file, so that nothing is agreed")
        from whinpier.fleet.control_commands import Fault, found  # only where a file has it

        try:
            return found(self.link.agreed, asked.ask, asked.name, asked.value)
        except Fault as fault:
            raise Refused(str(fault)) from None

    def say(self, asked: ControlRequest) -> Any:
        """An operator's word to the whole fleet."""
        kind, _, name = asked.name.partition("/")
        if not 1_000 <= asked.life_ms <= MAX_LIFETIME_MS:
            raise Refused(
                f"life_ms: {asked.life_ms} is not between 1,000 and {MAX_LIFETIME_MS}; what is to stay "
                "belongs into the files"
            )
        self.check(kind, name, asked.value)
        if not self.link.say(asked.name, dict(asked.value), asked.life_ms * MS):
            raise Refused("the table of what operators said is full, or the word too long")
        return self.link.register()

    def check(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Whether this process knows what is meant. Raises Refused."""
        link = self.link
        if kind == "limit":
            if name not in {said.limit.name for said in link.spec.limits}:
                raise Refused(f"{name!r} is no limit of this file")
            amount = value.get("amount")
            if value and not (isinstance(amount, (int, float)) and 0 < amount <= 1e9):
                raise Refused(f"amount: {amount!r} is none")
        elif kind == "route":
            table = link.process.spec.table
            if table is None or name not in {route.name for route in table.routes}:
                raise Refused(f"{name!r} is no route of this file")
        elif kind == "rest":
            pool, _, host = name.partition("/")
            if link.outlier_monitor is None:
                raise Refused("bank.verdicts is not in this file, so that nobody votes")
            if pool not in link.process.pools or host not in link.process.pools[pool].endpoints:
                raise Refused(f"{host!r} is no upstream of a pool {pool!r}")
        elif kind != "tenant" or not name:
            raise Refused(f"{kind}/{name}: nothing of this kind is said to the bank")

    def begin(self, name: str) -> Any:
        """An operator says that nothing was used of the window that is on: for a first start, a lost disk."""
        link = self.link
        if not link.begin(name):
            raise Refused(f"{name!r} is no count of windows that is never over")
        log.info("quota_window_opened", limit=name)
        return {"begun": name}

    async def watch(self, asked: ControlRequest, stream: anyio.abc.SocketStream) -> None:
        """Tell events as they come; one that reads too slowly is told how many it missed."""
        queue: deque[dict[str, Any]] = deque()
        came, missed = anyio.Event(), 0

        def heard(event: dict[str, Any]) -> None:
            nonlocal missed
            if len(queue) >= WAITING:
                missed += 1
            else:
                queue.append(event)
                came.set()

        self.link.watchers.append(heard)
        try:
            await say(
                stream, {"id": asked.id, "ok": True, "result": {"watching": self.link.spec.name}}
            )
            async with anyio.create_task_group() as group:
                # Guards against watchers that went long ago and still hold the places of others.
                group.start_soon(until_gone, stream, group.cancel_scope)
                with suppress(*GONE_CALLER):
                    while True:
                        while queue:
                            await say(stream, {"id": asked.id, "event": queue.popleft()})
                        if missed:
                            lost, missed = missed, 0
                            await say(stream, {"id": asked.id, "missed": lost})
                        came = anyio.Event()
                        await came.wait()
                group.cancel_scope.cancel()
        finally:
            self.link.watchers.remove(heard)


async def lines(stream: anyio.abc.SocketStream) -> AsyncIterator[bytes]:
    """Lines of a caller; one that is too long, or says nothing for long, ends it."""
    data = b""
    while True:
        while (end := data.find(b"\n")) >= 0:
            line, data = data[:end], data[end + 1 :]
            if line.strip():
                yield line
        if len(data) > LINE:
            await say(stream, {"id": 0, "ok": False, "fault": f"a line of over {LINE} bytes"})
            # Guards against the answer being lost with what is unread: that resets the connection.
            with anyio.move_on_after(LINGER):
                for _ in range(AFTER):
                    await stream.receive(LINE)
            return
        with anyio.fail_after(IDLE):
            data += await stream.receive(LINE)


async def until_gone(stream: anyio.abc.SocketStream, scope: anyio.CancelScope) -> None:
    """Wait until a caller has closed its side; what it still says is passed over."""
    with suppress(*GONE_CALLER):
        while True:
            await stream.receive(LINE)
    scope.cancel()


async def say(stream: anyio.abc.SocketStream, whole: dict[str, Any]) -> None:
    with anyio.fail_after(TIMEOUT):
        await stream.send(msgspec.json.encode(whole, enc_hook=str) + b"\n")
