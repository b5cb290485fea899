"""The control socket: a Unix socket on which operators query and command a running process.

Requests and answers are JSON objects, one a line; an answer repeats the id of its request.

Invariant: no caller can hold the process up. Lines and the queues of watchers are bounded, and each
read and write has a deadline.
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
from whinpier.fleet.spec import MAX_CONTROL_CALLERS

if TYPE_CHECKING:
    from whinpier.fleet.service import Link

MAX_LINE_BYTES = 4_096  # of a request
MAX_QUEUED_EVENTS = 1_000  # for a watcher that reads slowly; later ones are dropped and counted
WRITE_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60.0
# How long, and for how many reads, a caller whose line is too long is still read from.
LINGER_SECONDS = 0.5
MAX_LINGER_READS = 64

# Requests about the replicated state, which control_commands answers.
CONSENSUS_REQUESTS = frozenset(
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
)
# What a write to a caller raises, or a read, when it has gone or does not answer in time.
DISCONNECT_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class ControlRequest(Struct, forbid_unknown_fields=True):
    """One request, as a line of JSON."""

    ask: str  # what is requested
    id: int | str = 0
    name: str = ""
    value: dict[str, str | float | int] = {}
    life_ms: int = 0  # lifetime of a registry entry


class RequestError(Exception):
    """A request that can't be served; the text tells the caller why."""


def remove_stale_socket(path: str) -> None:
    """Remove the socket of a process that has ended.

    Raises OSError where a process still listens on it, or the path is not a socket.
    """
    try:
        mode = os.stat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise OSError(f"{path} exists and is not a socket")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
    raise OSError(f"{path} is in use by another process")


class ControlSocket:
    """The control socket of one process."""

    def __init__(self, link: Link) -> None:
        """Name the process's socket; `run` opens it."""
        self.link = link
        self.path = link.spec.control
        self.callers = 0  # connected now

    async def run(self) -> None:
        """Serve until the process ends; where the socket can't be opened, log that and return."""
        try:
            remove_stale_socket(self.path)
            listener = await anyio.create_unix_listener(self.path, mode=0o600)
        except OSError as error:
            log.warning("control_socket_failed", path=self.path, fault=error)
            return
        try:
            async with listener:
                await listener.serve(self.serve)
        finally:
            with suppress(OSError):
                os.unlink(self.path)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one caller until it disconnects."""
        async with stream:
            if self.callers >= MAX_CONTROL_CALLERS:
                log.warning_uncounted("control_socket_full", callers=self.callers)
                return
            self.callers += 1
            try:
                async for line in lines(stream):
                    if not await self.answer(line, stream):
                        return
            except DISCONNECT_ERRORS:
                return  # the caller has disconnected or does not read
            except Exception:  # an error in this process ends the call, but not the listener
                log.exception("control_call_failed")
            finally:
                self.callers -= 1

    async def answer(self, line: bytes, stream: anyio.abc.SocketStream) -> bool:
        """Answer one line; return whether the caller may send more."""
        request: ControlRequest | None = None
        try:
            request = msgspec.json.decode(line, type=ControlRequest)
            if request.ask == "watch":
                await self.watch(request, stream)
                return False
            answer: dict[str, Any] = {
                "id": request.id,
                "ok": True,
                "result": self.result_of(request),
            }
        except (msgspec.DecodeError, ValueError, RecursionError, RequestError) as error:
            answer = {"id": request.id if request else 0, "ok": False, "fault": str(error)}
        await send(stream, answer)
        return True

    def result_of(self, request: ControlRequest) -> Any:
        """Carry a request out and return its result. Raises RequestError."""
        link = self.link
        members = link.members
        members.advance_clock(link.loop.clock())
        if request.ask == "members":
            return {
                "self": link.spec.name,
                "position": members.position,
                "here": members.count(),
                "unheard": members.reachability_counts[UNREACHABLE],
                "shares": {
                    name: {"balancers": size.balancers, "number": size.number}
                    for name, size in link.fleet_sizes.pools.items()
                },
                "members": list(members.rows()),
            }
        if request.ask == "links":
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
        if request.ask == "figures":
            return link.figures()
        if request.ask == "verdicts":
            return link.outlier_monitor.rows() if link.outlier_monitor else []
        if request.ask == "limits":
            return link.limits()
        if request.ask == "begin":
            return self.begin(request.name)
        if request.ask in CONSENSUS_REQUESTS:
            return self.answer_from_consensus(request)
        if request.ask == "register":
            return link.register()
        if request.ask == "say":
            return self.say(request)
        if request.ask == "strike":
            struck = link.strike(request.name)
            if not struck:
                raise RequestError(f"no member {request.name!r} is lost by silence alone")
            log.info("member_removed_by_operator", member=request.name)
            return {"struck": struck}
        raise RequestError(
            f"{request.ask!r} is none of members, links, limits, figures, watch, strike, begin, "
            "register, say, " + ", ".join(sorted(CONSENSUS_REQUESTS))
        )

    def answer_from_consensus(self, request: ControlRequest) -> Any:
        """Carry out a request about the replicated state. Raises RequestError."""
        if self.link.agreed is None:
            raise RequestError("bank.agreement is not in this file, so that nothing is agreed")
        # Imported only where consensus is configured.
        from whinpier.fleet.control_commands import CommandError, answer_request

        try:
            return answer_request(self.link.agreed, request.ask, request.name, request.value)
        except CommandError as error:
            raise RequestError(str(error)) from None

    def say(self, request: ControlRequest) -> Any:
        """Set a registry entry for the whole fleet. Raises RequestError."""
        kind, _, name = request.name.partition("/")
        if not 1_000 <= request.life_ms <= MAX_LIFETIME_MS:
            raise RequestError(
                f"life_ms: {request.life_ms} is not between 1,000 and {MAX_LIFETIME_MS}; what is to stay "
                "belongs into the files"
            )
        self.check_entry(kind, name, request.value)
        if not self.link.say(request.name, dict(request.value), request.life_ms * MS):
            raise RequestError("the table of what operators said is full, or the word too long")
        return self.link.register()

    def check_entry(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Raise RequestError for a registry entry about what this process does not know."""
        link = self.link
        if kind == "limit":
            if name not in {config.limit.name for config in link.spec.limits}:
                raise RequestError(f"{name!r} is no limit of this file")
            amount = value.get("amount")
            if value and not (isinstance(amount, (int, float)) and 0 < amount <= 1e9):
                raise RequestError(f"amount: {amount!r} is none")
        elif kind == "route":
            table = link.process.spec.table
            if table is None or name not in {route.name for route in table.routes}:
                raise RequestError(f"{name!r} is no route of this file")
        elif kind == "rest":
            pool, _, host = name.partition("/")
            if link.outlier_monitor is None:
                raise RequestError("bank.verdicts is not in this file, so that nobody votes")
            if pool not in link.process.pools or host not in link.process.pools[pool].endpoints:
                raise RequestError(f"{host!r} is no upstream of a pool {pool!r}")
        elif kind != "tenant" or not name:
            raise RequestError(f"{kind}/{name}: nothing of this kind is said to the bank")

    def begin(self, name: str) -> Any:
        """Record that nothing was used of a limit's current window. Raises RequestError.

        For the first start of a member, or after its disk was lost.
        """
        link = self.link
        if not link.begin(name):
            raise RequestError(f"{name!r} is no count of windows that is never over")
        log.info("quota_window_opened", limit=name)
        return {"begun": name}

    async def watch(self, request: ControlRequest, stream: anyio.abc.SocketStream) -> None:
        """Send events as they happen; a caller that reads too slowly gets the number it missed."""
        queue: deque[dict[str, Any]] = deque()
        queued = anyio.Event()
        missed = 0

        def enqueue(event: dict[str, Any]) -> None:
            nonlocal missed
            if len(queue) >= MAX_QUEUED_EVENTS:
                missed += 1
            else:
                queue.append(event)
                queued.set()

        self.link.watchers.append(enqueue)
        try:
            await send(
                stream, {"id": request.id, "ok": True, "result": {"watching": self.link.spec.name}}
            )
            async with anyio.create_task_group() as group:
                # Without it a watcher that disconnected while no event happens would count
                # against MAX_CONTROL_CALLERS for ever.
                group.start_soon(cancel_on_disconnect, stream, group.cancel_scope)
                with suppress(*DISCONNECT_ERRORS):
                    while True:
                        while queue:
                            await send(stream, {"id": request.id, "event": queue.popleft()})
                        if missed:
                            reported = missed
                            missed = 0
                            await send(stream, {"id": request.id, "missed": reported})
                        queued = anyio.Event()
                        await queued.wait()
                group.cancel_scope.cancel()
        finally:
            self.link.watchers.remove(enqueue)


async def lines(stream: anyio.abc.SocketStream) -> AsyncIterator[bytes]:
    """Yield a caller's lines that are not empty.

    A line that is too long ends them. Raises TimeoutError for a caller that sends nothing for
    IDLE_TIMEOUT_SECONDS.
    """
    data = b""
    while True:
        while (end := data.find(b"\n")) >= 0:
            line = data[:end]
            data = data[end + 1 :]
            if line.strip():
                yield line
        if len(data) > MAX_LINE_BYTES:
            answer = {"id": 0, "ok": False, "fault": f"a line of over {MAX_LINE_BYTES} bytes"}
            await send(stream, answer)
            # Closing a socket with unread data resets the connection, and the answer would be lost.
            with anyio.move_on_after(LINGER_SECONDS):
                for _ in range(MAX_LINGER_READS):
                    await stream.receive(MAX_LINE_BYTES)
            return
        with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
            data += await stream.receive(MAX_LINE_BYTES)


async def cancel_on_disconnect(stream: anyio.abc.SocketStream, scope: anyio.CancelScope) -> None:
    """Cancel a scope once the caller has closed its side; ignore what it still sends."""
    with suppress(*DISCONNECT_ERRORS):
        while True:
            await stream.receive(MAX_LINE_BYTES)
    scope.cancel()


async def send(stream: anyio.abc.SocketStream, message: dict[str, Any]) -> None:
    """Send one message as a line of JSON. Raises TimeoutError where the caller does not read."""
    with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
        await stream.send(msgspec.json.encode(message, enc_hook=str) + b"\n")
