"""Follows the endpoint list of a discovery service: the whole list first, then a watch of changes.

Invariant: only complete, well-formed documents are passed on; until one arrives the last list stays
in use.
"""

from __future__ import annotations

import json
import re
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import anyio
import h11

from whinpier import log
from whinpier.config.model import Address, ConfigFault, Entry, entries
from whinpier.http import buffers

# Seconds without a whole document on a watch: one, or an empty line, is sent at least every 2 s.
MAX_SILENCE_S = 2.5
# Seconds to connect, and as long until the response begins: the service is on the same machine.
RESPONSE_TIMEOUT_S = 1.0
# Seconds between tries. A change is in force 4 s after its announcement at the latest, whether or
# not it was received.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# Enough for thousands of upstreams; parsing a document of this size fits in 32 MB of memory.
MAX_DOCUMENT_BYTES = 1024 * 1024
# A string within a line of JSON; a string can't contain a line feed.
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonStreamSplitter:
    """Splits a byte stream into JSON objects, each on one line or indented over several."""

    def __init__(self) -> None:
        """Start with an empty stream."""
        self.data = bytearray()
        self.depth = 0  # of brackets that are open
        self.line_start = 0  # of the line that is incomplete

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the documents that are complete; an empty line between two yields an empty one.

        Raise ConfigFault for a document larger than `MAX_DOCUMENT_BYTES`.
        """
        search_start = len(self.data)
        self.data += data
        while (end := self.data.find(b"\n", search_start)) >= 0:
            line = JSON_STRING.sub(b"", bytes(self.data[self.line_start : end]))
            self.depth += line.count(b"{") + line.count(b"[") - line.count(b"}") - line.count(b"]")
            search_start = self.line_start = end + 1
            if self.depth <= 0:
                document = bytes(self.data[:end])
                del self.data[: self.line_start]
                search_start = self.line_start = self.depth = 0
                yield document
        if len(self.data) > MAX_DOCUMENT_BYTES:
            raise ConfigFault("a piece of the list without end")

    def remainder(self) -> bytes:
        """Return what follows the last complete document."""
        return bytes(self.data)


class DiscoveryClient:
    """Follows the endpoint list, and reconnects after errors."""

    def __init__(
        self,
        address: Address,
        seq: int | None,
        on_entries: Callable[[list[Entry], bool], None],
        random: Callable[[], float],
        log_fields: Callable[[], dict[str, str]],
    ) -> None:
        """Create an idle client.

        `seq` is the sequence number of the list that is known, None if none is. `on_entries` gets
        the entries and whether they are the whole list. `random` draws from [0, 1).
        """
        self.address = address
        self.seq = seq
        self.on_entries = on_entries
        self.random = random
        self.log_fields = log_fields
        self.closed = False
        self.wake_event = anyio.Event()
        self.watching = False
        self.fetch_requested = False
        self.retry_delay = MIN_RETRY_DELAY_S
        self.sock: socket.socket | None = None

    def set_watching(self, on: bool) -> None:
        """Start or stop following the list."""
        self.watching = on
        if on:
            self.wake()
        else:
            self.disconnect()

    def fetch(self) -> None:
        """Fetch the whole list once, whether or not the list is being followed."""
        self.fetch_requested = True
        self.wake()

    def wake(self) -> None:
        """Make `run` check what it has to do."""
        self.wake_event.set()

    def disconnect(self) -> None:
        """Abort the current exchange, if there is one."""
        if self.sock:
            anyio.notify_closing(self.sock)

    def set_address(self, address: Address) -> None:
        """Follow the list at another address; known entries stay until its list arrives."""
        # Sequence numbers of two services need not agree, so that changes could be missed.
        self.address = address
        self.seq = None
        self.retry_delay = MIN_RETRY_DELAY_S
        self.disconnect()

    def close(self) -> None:
        """Stop following the list and end `run`."""
        self.closed = True
        self.set_watching(False)
        self.wake()

    async def run(self) -> None:
        """Follow the list until `close`; log errors, and retry with back-off."""
        while not self.closed:
            if not (self.watching or self.fetch_requested):
                self.wake_event = anyio.Event()
                await self.wake_event.wait()
                continue
            why: object = "ended"
            try:
                if self.fetch_requested or self.seq is None:
                    await self.query("")
                    if self.seq is None:
                        raise ConfigFault("an answer without a list")
                    self.fetch_requested = False
                    continue
                await self.query(f"?watch=1&from={self.seq}")
            except ConfigFault as error:
                # Changes may have been missed: the whole list is fetched.
                self.seq = None
                why = error
            except (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError) as error:
                why = repr(error)
            except Exception as error:  # if this task ended, no list would ever be received again
                log.exception("discovery_failed")
                why = repr(error)
            if self.closed:
                return
            log.warning("discovery_disconnected", **self.log_fields(), why=why)
            await anyio.sleep(self.retry_delay * (0.5 + self.random()))
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY_S)

    async def query(self, query: str) -> None:
        """Send one request, and process the documents of the response as they arrive.

        Without a query string the response is one document, the whole list. Raise ConfigFault for
        an invalid document, and OSError, RemoteProtocolError or ClosedResourceError for a lost
        connection.
        """
        parser, splitter = h11.Connection(h11.CLIENT), JsonStreamSplitter()
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as self.sock:
            try:
                # One time-out for every wait. Only whole documents extend it: a stream of bytes
                # that never completes one counts as silence.
                with anyio.fail_after(RESPONSE_TIMEOUT_S) as timeout:
                    await self.connect(parser, query)
                    timeout.deadline = anyio.current_time() + RESPONSE_TIMEOUT_S
                    async for event in self.events(parser):
                        if isinstance(event, h11.Response):
                            if event.status_code != 200:
                                raise ConfigFault(f"status {event.status_code}")
                            timeout.deadline = anyio.current_time() + MAX_SILENCE_S
                        elif isinstance(event, h11.Data):
                            for document in splitter.feed(bytes(event.data)):
                                self.process_document(document)
                                timeout.deadline = anyio.current_time() + MAX_SILENCE_S
                if not query:
                    self.process_document(splitter.remainder())
            except TimeoutError:
                if splitter.remainder():
                    raise ConfigFault("a piece of the list that does not end") from None
                raise
            finally:
                self.sock = None

    async def connect(self, parser: h11.Connection, query: str) -> None:
        """Connect, and send the request."""
        assert self.sock
        await buffers.connect(self.sock, self.address)
        request = h11.Request(
            method="GET",
            target="/discovery/hosts" + query,
            headers=[("host", "discovery"), ("accept", "application/json")],
        )
        head = (parser.send(request) or b"") + (parser.send(h11.EndOfMessage()) or b"")
        await buffers.send_all(self.sock, head)

    async def events(self, parser: h11.Connection) -> AsyncIterator[h11.Event]:
        """Yield the parsed events of the response up to its end."""
        assert self.sock
        address = self.address
        while not isinstance(
            event := parser.next_event(), (h11.EndOfMessage, h11.ConnectionClosed)
        ):
            if event is h11.NEED_DATA:
                await anyio.wait_readable(self.sock)
                if self.address != address:
                    raise ConnectionAbortedError("discovery has moved")
                try:
                    data = buffers.receive(self.sock)
                except OSError as error:
                    if error.errno in buffers.TRANSIENT_ERRORS:
                        continue
                    raise
                parser.receive_data(data)
            elif isinstance(event, h11.Event):
                yield event

    def process_document(self, document: bytes) -> None:
        """Pass on the entries of one document; an empty document is a keep-alive."""
        if not document.strip():
            return
        try:
            parsed = json.loads(document)
            seq, whole, hosts = parsed["seq"], parsed["whole"], parsed["hosts"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise ConfigFault(f"{type(error).__name__}: {error}") from None
        if not (isinstance(seq, int) and isinstance(whole, bool) and isinstance(hosts, list)):
            raise ConfigFault("seq, whole or hosts are of another kind")
        if not whole and (self.seq is None or seq < self.seq):
            raise ConfigFault(f"changes up to {seq} do not join what is known up to {self.seq}")
        listed = entries(hosts)
        self.seq = seq
        self.retry_delay = MIN_RETRY_DELAY_S
        self.on_entries(listed, whole)
