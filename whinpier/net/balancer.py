"""Is the host of the decisions on sockets: one module, one clock, one alarm heap, one way in.

Owns the list of upstreams with their identity, the count of descriptors, and the end of the process. Must
never call the decisions from inside one of their calls, decide anything, or leave a task without an answer.
"""

from __future__ import annotations

import gc
import heapq
import os
import signal
import socket
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from itertools import count as numbers, takewhile
from typing import Any

import anyio
import anyio.abc

from whinpier.choice import Choice
from whinpier.decay import SECOND
from whinpier.model import (DRAINING, FULFILLED, GONE, READY, TIMED_OUT, WITHDRAWN, HandOff, Task, Upstream)
from whinpier.net import log
from whinpier.net.clients import Asked, Client, hashed, retry_after
from whinpier.net.config import Config, ConfigFault, Entry, changes, read
from whinpier.net.discovery import Discovery
from whinpier.net.upstreams import HOP, Answer, Link, Sending, Server

STILL_COMING = 6 * SECOND // 10  # after SIGTERM new connections go on coming for up to 0.4 s
# After SIGTERM nothing ends the process sooner than the longest patience and 0.7 s more. The last tenth of
# that is for a late loop, and what comes before it for answering what is out, with no more taken.
LONGEST = 3 * SECOND  # of a patience, as it counts for that
AFTERWARDS, CLOSING = 6 * SECOND // 10, 4 * SECOND // 10
START = SECOND  # to be told the list before the one that was known must do
SWEEP = SECOND // 4  # between looks at what waits too long: what is owed within 3 s is given after 2
FIGURES = 10 * SECOND  # between lines of figures
SPARE = 24  # descriptors kept back: the standard ones, listener, discovery, the loop's own; a dozen in all
DOOR, MOST_DOOR = 8, 64  # one in so many, and the most, for clients turned back at the door: short bursts
PART = 0.6  # of the rest for clients: each task needs one descriptor, and one more while it is out
CROWD = 4  # clients that asked hold one descriptor in so many before they are let go early; they get a third
UNUSED = SECOND // 10  # a connection idle for less may be about to be used again
SILENT = SECOND // 20  # who has come asks at once: the way from a client, many times over
BODIES = 16  # one part in so many of the memory is for bodies; usual ones are a hundredth of that
BACKLOG = 1024
MARGIN = SECOND // 200  # a way to the client, five times over, where the loop is in time
MOST_LATE = SECOND // 10  # a fifth of the agreed times that deployments have had
JUDGED = SECOND // 20  # between looks at it; a late loop looks once a turn
MORE, LESS, MOST_SHED = 0.1, 0.02, 0.95  # steps of the part turned back at the door: down slower than up
FORGET = 5 * SECOND  # a burst of work comes back within seconds, or is over
MS = SECOND // 1000


class Balancer:
    """One balancer."""

    def __init__(self, config: Config) -> None:
        self.config = config
        # One clock on the scale of born_ms: set by the wall clock once, so that no step of that disturbs it.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.now = self.clock()
        self.next_id, self.next_alarm = numbers(1).__next__, numbers().__next__
        self.alarms: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sooner, self.ring_at = anyio.Event(), 0
        self.todo: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.inside = False
        self.held: dict[str, Server] = {}  # the list as last told
        self.clients: set[Client] = set()
        self.strangers: dict[Client, None] = {}  # those that have asked for nothing yet, the oldest first
        self.ids: dict[bytes, Asked] = {}  # of tasks till the end of their patience, answered or not
        self.bodies, self.most_bodies = 0, config.memory // BODIES  # bytes
        self.links: set[Link] = set()
        self.out = 0  # tasks without an answer
        self.columns: list[str] = config.settings["report.columns"]
        self.lanes = {workload.name.encode(): workload for workload in config.workloads}
        self.tenants = {name.encode(): index for index, name in enumerate(config.tenants)}
        self.stopping, self.told_once, self.began = False, False, self.now
        self.stop_by, self.closing = 0, False  # by when it has to be gone; whether nothing more is taken
        self.space = anyio.Event()
        self.door = min(config.sockets // DOOR, MOST_DOOR)
        self.connections = config.sockets - SPARE - self.door
        self.most_clients = int(PART * self.connections)
        self.lag, self.late, self.late_at = 0, 0, self.now  # since the last figures; of late
        self.shed, self.judged = 0.0, self.now  # the part of tasks turned back at the door; when last judged
        self.stopped, self.collect_from = 0, 0
        self.choice = Choice(self, config.settings, config.workloads, config.seed)
        self.discovery = Discovery(config, self.told, self.choice.split.random)

    def clock(self) -> int:
        return time.monotonic_ns() + self.offset

    # The one way in.

    def enter(self, call: Callable[..., None], *args: Any) -> None:
        """Call the decisions, or have them called when the call that is on has ended."""
        self.todo.append((call, args))
        if self.inside:
            return
        self.inside = True
        try:
            while self.todo:
                call, args = self.todo.popleft()
                self.now = self.clock()
                try:
                    call(*args)
                except Exception:  # one fault must not end the process: the task's end answers it
                    log.fault("decision_fault", call=getattr(call, "__name__", call))
        finally:
            self.inside = False

    def at(self, at: int, call: Callable[..., None], *args: Any) -> None:
        """Have something called at a time."""
        heapq.heappush(self.alarms, (at, self.next_alarm(), call, args))
        if at < self.ring_at:
            self.ring_at = at
            self.sooner.set()

    async def ring(self) -> None:
        """Call what falls due."""
        begun = self.clock()  # what was due before is late by the start, not by the loop
        while True:
            now = self.clock()
            self.behind(max(0, now - max(begun, self.alarms[0][0])) if self.alarms else 0)
            while self.alarms and self.alarms[0][0] <= now:
                _, _, call, args = heapq.heappop(self.alarms)
                self.enter(call, *args)
            self.sooner = anyio.Event()
            self.ring_at = self.alarms[0][0] if self.alarms else now + SECOND
            with anyio.move_on_after((self.ring_at - self.clock()) / SECOND):
                await self.sooner.wait()

    def behind(self, lag: int) -> None:
        """Note how late the loop is: the most of it, forgotten over some seconds."""
        self.lag = max(self.lag, lag)
        now = self.clock()
        self.late = max(lag, self.late * max(0, FORGET - (now - self.late_at)) // FORGET)
        self.late_at = now
        if now - self.judged >= JUDGED:
            # Guards against a core that is full: were all turned back while the loop is late, those that come
            # again at once would keep it late, and nothing would be served.
            self.judged = now
            self.shed = min(self.shed + MORE, MOST_SHED) if lag > MOST_LATE else max(self.shed - LESS, 0.0)

    def margin(self) -> int:
        """How long before its client gives up a task is over here."""
        # Guards against a loop that is late under load: it has read the task late, and rings its end late.
        return MARGIN + 2 * min(self.late, 2 * MOST_LATE)

    def spawn(self, run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        """Run a network task; its fault ends what it served, never the process."""
        self.tasks.start_soon(self.guarded, run, end)

    @staticmethod
    async def guarded(run: Callable[[], Awaitable[None]], end: Callable[[], None]) -> None:
        try:
            await run()
        except Exception:
            log.fault("network_fault")
            end()

    # What the decisions ask for.

    def hand_off(self, task: Task, upstream: Upstream, stop_at: int = 0) -> HandOff:
        assert isinstance(task, Asked) and isinstance(upstream, Server)
        log.must(not task.ended, "nothing is sent for a task that has its answer")
        log.must(upstream.state == READY, "nothing new is sent to what drains or is gone")
        sending = Sending(task, upstream, self.now)
        task.hand_offs.append(sending)
        log.counts["handed_off"] += 1
        upstream.send(sending)
        if stop_at and stop_at < task.ends:
            self.at(stop_at, self.stop_waiting, sending, TIMED_OUT)
        return sending

    def withdraw(self, hand_off: HandOff) -> None:
        self.stop_waiting(hand_off, WITHDRAWN)

    def turn_back(self, task: Task, wait: int = 0) -> None:
        self.finish(task, "turned_back", 503, b"turned back\n", retry_after(wait))

    def scrap(self, task: Task) -> None:
        self.finish(task, "scrapped", 502, b"not fulfilled\n")

    def alarm(self, at: int, token: int = 0) -> None:
        self.at(max(at, self.now + 1), self.choice_bell, token)

    def choice_bell(self, token: int) -> None:
        self.choice.bell(token)

    def probe(self, upstream: Upstream) -> None:
        """Room for it: nothing decides on findings yet."""

    def close_idle(self, upstream: Upstream) -> None:
        assert isinstance(upstream, Server)
        upstream.close_idle()

    def tell(self, balancer: int | None, contents: bytes) -> None:
        """Room for it: balancers share nothing."""

    def follow_list(self, on: bool) -> None:
        self.discovery.follow(on)

    def fetch_list(self) -> None:
        self.discovery.fetch()

    def log(self, text: str) -> None:
        log.say("decisions", text=text)

    # What comes in.

    def take(self, task: Asked) -> None:
        """A client's task."""
        self.out += 1
        log.counts["tasks"] += 1
        self.ids[task.txn] = task
        self.at(task.ends, self.time_up, task)
        self.enter(self.choice.arrive, task)

    def finish(self, task: Task, how: str, status: int, body: bytes,
               headers: list[tuple[bytes, bytes]] | None = None) -> None:
        """The one final answer of a task."""
        assert isinstance(task, Asked)
        log.must(not task.ended and task.client.task is task, "a task has one final answer")
        if task.ended or task.client.task is not task:
            return
        task.ended = True
        self.out -= 1
        log.counts[how] += 1
        task.client.answer(status, body, headers)

    def time_up(self, task: Asked) -> None:
        """Its client gives up now: what is still out has timed out, and an answer goes in any case."""
        for hand_off in list(task.hand_offs):
            self.stop_waiting(hand_off, TIMED_OUT)
        self.todo.append((self.last_word, (task,)))

    def last_word(self, task: Asked) -> None:
        # Guards against a fault in a decision: even then a task has its answer in time.
        if not task.ended:
            log.must(False, "the decisions end a task by its patience")
            self.scrap(task)
        # Guards against long stops of the loop: tasks and hand-offs point to each other, so that without this
        # they would pile up, of an age that only a full collection looks at.
        task.hand_offs.clear()
        self.ids.pop(task.txn, None)

    def stop_waiting(self, hand_off: HandOff, outcome: str) -> None:
        assert isinstance(hand_off, Sending)
        if hand_off.settled:
            return
        if hand_off.link:
            hand_off.link.give_up()
        elif hand_off in hand_off.server.waiting:
            hand_off.server.waiting.remove(hand_off)
        self.settle(hand_off, outcome)

    def settle(self, sending: Sending, outcome: str, answer: Answer | None = None) -> None:
        """A hand-off has its outcome, once."""
        log.must(not sending.settled, "a hand-off has one outcome")
        if not sending.settled:
            sending.settled = True
            self.enter(self.came_back, sending, outcome, answer)

    def came_back(self, sending: Sending, outcome: str, answer: Answer | None) -> None:
        sending.outcome, sending.took = outcome, self.now - sending.sent
        log.counts["came_back_" + outcome.replace(" ", "_")] += 1
        if outcome not in (FULFILLED, WITHDRAWN):
            lane = sending.task.workload.name
            log.note("not_fulfilled", upstream=sending.server.host, outcome=outcome, lane=lane)
        first = outcome == FULFILLED and not sending.task.ended
        if first and answer:
            headers = [pair for pair in answer.headers if pair[0] not in HOP]
            self.finish(sending.task, "fulfilled", 200, b"".join(answer.parts), headers)
        self.choice.came_back(sending, answer.load(self.columns) if answer else None, first)

    def client_left(self, task: Asked) -> None:
        if not task.ended:
            task.ended = True
            self.out -= 1
            log.counts["clients_left"] += 1
            self.enter(self.choice.left, task)

    # The list.

    def told(self, entries: list[Entry], whole: bool, cached: bool = False) -> None:
        """Follow what discovery says; a restart of an upstream is a new one in its place."""
        self.told_once = self.told_once or not cached
        if not entries and not whole:
            return  # nothing has changed
        held = {} if whole else dict(self.held)
        for entry in entries:
            server = self.held.get(entry.host)
            if entry.state == GONE:
                held.pop(entry.host, None)
                continue
            if server is None or (entry.started and entry.started != server.started):
                number = hashed(entry.host.encode())
                server = Server(self, entry.host, number, entry.state, entry.started, entry.dial)
            server.state, server.cell, server.size = entry.state, entry.cell, entry.size
            server.zone = self.place(self.config.zones, entry.zone)
            server.shape = self.place(self.config.kinds, entry.shape)
            server.moved(entry.dial)
            held[entry.host] = server
        before, self.held = self.held, held
        for host, server in before.items():
            if held.get(host) is not server:
                server.state = GONE
        for server in {*before.values(), *held.values()}:
            if server.state != READY:
                server.retire()
        states = Counter(server.state for server in held.values())
        log.say("list", whole=whole, cached=cached, **states)
        usable = [server for server in held.values() if server.state in (READY, DRAINING)]
        self.enter(self.choice.listed, usable)

    @staticmethod
    def place(names: list[str], name: str) -> int:
        return names.index(name) if name in names else len(names)

    def ready(self) -> bool:
        """Whether the front may send clients."""
        told = self.told_once or self.clock() > self.began + START
        return not self.stopping and told and any(server.state == READY for server in self.held.values())

    # Descriptors.

    def crowded(self) -> bool:
        """Whether clients had better not keep their connections: then room comes with every answer."""
        # Guards against clients that ask once and stay: they may hold a third of the descriptors in all, and
        # while they do others have no connection left to ask on.
        return len(self.clients) - len(self.strangers) > self.config.sockets // CROWD

    def no_room(self) -> bool:
        """Whether a task is turned back at the door: too many clients, the core is full, or it is the end."""
        if self.closing or self.shed and self.choice.split.random() < self.shed:
            return True
        return len(self.clients) > self.most_clients and self.out >= self.connections - self.most_clients

    def make_room(self) -> bool:
        """Whether one more connection may be opened: the longest idle ones make way, clients' first."""
        if self.full():
            self.let_go()
        if self.full():
            idle = [link for server in self.held.values() for link in server.idle]
            if idle:
                min(idle, key=lambda link: link.since).close()
        return not self.full()

    def full(self) -> bool:
        return len(self.links) + min(len(self.clients), self.most_clients) >= self.connections

    def let_go(self) -> None:
        """Close a client that is not in use: one that has had its last answer, has asked nothing, or is idle.

        Guards against ending one whose task is here already and only not read yet: that task would be lost.
        """
        now = self.clock()
        done = (client for client in self.clients if client.last)
        silent = takewhile(lambda client: client.since < now - SILENT, self.strangers)
        for group in (done, silent, self.longest_idle(now - UNUSED)):
            if client := next((client for client in group if client.unused()), None):
                client.close()
                return

    def longest_idle(self, since: int) -> Iterator[Client]:
        """Clients that have asked before and are idle since then or longer; sorted once one is wanted."""
        yield from sorted((client for client in self.clients if client.idle() and client.since < since
                           and client not in self.strangers), key=lambda client: client.since)

    def welcome(self, listener: socket.socket) -> bool:
        """Take one client in. One too many is only turned back: what waits unseen is lost in time."""
        if len(self.clients) >= self.most_clients:
            self.let_go()
        most = min(self.most_clients, self.connections - len(self.links)) + self.door
        if not self.make_room() and len(self.clients) >= most:
            return False
        sock, _ = listener.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(self, sock)
        self.clients.add(client)
        self.strangers[client] = None
        client.watch()
        return True

    def roomier(self) -> None:
        self.space.set()

    # The process.

    async def accept(self, listener: socket.socket) -> None:
        """Take clients in while there are descriptors; at the limit accepting waits."""
        while True:
            await anyio.wait_readable(listener)
            try:
                while self.welcome(listener):
                    pass
                log.warn("descriptors_used_up", clients=len(self.clients), links=len(self.links))
                self.space = anyio.Event()
                with anyio.move_on_after(0.1):
                    await self.space.wait()
            except BlockingIOError:
                pass
            except Exception:  # whatever it was: nobody else takes clients in
                log.fault("accept_failed")
                await anyio.sleep(0.01)

    def sweep(self) -> None:
        """Every wait has an end."""
        now = self.clock()
        self.at(now + SWEEP, self.sweep)
        for client in list(self.clients):
            client.sweep(now)
        longest = self.longest_idle(now - SWEEP)
        while self.crowded() and (idle := next(longest, None)):
            idle.read_last()
        for server in self.held.values():
            server.close_idle(server.oldest())

    def collecting(self, phase: str, _: dict[str, int]) -> None:
        """Note how long a garbage collection stops the loop."""
        if phase == "start":
            self.collect_from = time.monotonic_ns()
        else:
            self.stopped = max(self.stopped, time.monotonic_ns() - self.collect_from)

    def on_sockets(self) -> int:
        """How many hand-offs are out, by the sockets: written, or waiting for a connection."""
        return (sum(link.sending is not None for link in self.links)
                + sum(len(server.waiting) for server in self.held.values()))

    def figures(self) -> None:
        self.at(self.clock() + FIGURES, self.figures)
        log.must(self.on_sockets() == self.choice.split.total, "what is counted as out is out on a socket")
        log.say("figures", out=self.out, clients=len(self.clients), links=len(self.links),
                alarms=len(self.alarms), lag_ms=self.lag // MS, collect_ms=self.stopped // MS,
                cpu_s=round(time.process_time(), 2), **log.counts)
        self.lag = self.stopped = 0

    async def heed(self) -> None:
        """Signals, until the end: none of them may fall back to ending the process at once."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.configure()
                elif not self.stopping:
                    self.stopping = True
                    self.spawn(self.terminate, self.tasks.cancel_scope.cancel)

    def configure(self) -> None:
        """SIGHUP: read the configuration again; a faulty one changes nothing."""
        log.counts["reloads"] += 1
        try:
            new = read(os.environ)
        except ConfigFault as fault:
            log.warn("configuration_fault", fault=fault)
            return
        changed = changes(self.config, new)
        till_restart = ",".join(key for key in changed if key != "discovery")
        log.say("configured", discovery="%s:%d" % new.discovery, kept_till_restart=till_restart)
        if "discovery" in changed:
            self.config = replace(self.config, discovery=new.discovery)
            self.discovery.move(new.discovery)

    async def terminate(self) -> None:
        """SIGTERM: serve those who are connected for as long as may be, then close behind each answer.

        Guards against clients with nobody to serve them: they stay with the connections they have, the next
        run does not start sooner for an early end, and there may be no other balancer.
        """
        log.say("stopping", out=self.out, clients=len(self.clients))
        longest = max(workload.patience for workload in self.config.workloads)
        self.stop_by = self.clock() + min(longest, LONGEST) + AFTERWARDS
        for task in list(self.ids.values()):
            if task.ends > self.stop_by - self.margin():
                task.ends = self.stop_by - self.margin()
                self.at(task.ends, self.time_up, task)
        await anyio.sleep(STILL_COMING / SECOND)
        while self.clients and self.clock() < self.stop_by - CLOSING:
            await anyio.sleep(0.01)
        self.closing = True
        for client in list(self.clients):
            if client.idle():
                client.read_last()
        while self.out or any(client.left or client.reading for client in self.clients):
            if self.clock() > self.stop_by:
                break
            await anyio.sleep(0.01)
        log.say("stopped", out=self.out, **log.counts)
        self.tasks.cancel_scope.cancel()

    async def serve(self, listener: socket.socket) -> None:
        """Run until told to stop."""
        async with anyio.create_task_group() as self.tasks:
            if self.config.known:
                self.told(self.config.known, True, cached=True)
            self.spawn(self.heed, self.tasks.cancel_scope.cancel)
            self.spawn(self.discovery.run, lambda: None)
            self.discovery.follow(self.config.settings.get("discovery") != "subscribe")
            self.at(self.clock() + SWEEP, self.sweep)
            self.at(self.clock() + FIGURES, self.figures)
            # What is there by now stays: collecting it over and over would only stop the loop.
            gc.callbacks.append(self.collecting)
            gc.freeze()
            gc.set_threshold(10_000, 20, 50)
            self.tasks.start_soon(self.ring)
            self.tasks.start_soon(self.accept, listener)
            log.say("listening", address="%s:%d" % self.config.listen, debug=__debug__)
