"""Fake of a platform runner: response seals, refusals, and malformed or surplus responses."""

import asyncio
import hashlib
import json
import time
from collections import Counter, deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ..httpmessage import CRLF, Headers, Incoming, chunk, encode_headers
from ..httpserver import HttpHandler, HttpServer
from ..responder import Responder
from .platform_moves import LiveRun, RunMoves
from .platform_room import RoomFull, RunnerRoom
from .platform_store import FakeStore

RUNNERS_TOPIC = "keyed.servers"
REPORT_PATH = b"/v1/report"
SLOTS = 8
DEFAULT_VERSION = "v1"
PIECE_BYTES = 300 * 1024
# Time after which a runner that fell over listens again, in seconds.
DOWN_S = 2.0


class RunnerFault(StrEnum):
    """Fault that a runner injects into its response to one request."""

    FULL = "full"  # 503 with the statement that the request was not executed.
    ERROR = "error"  # 500 after execution.
    CUT = "cut"  # Closes the connection in the middle of the response.
    RESET = "reset"  # Resets the connection after execution, before the response.
    GARBLE = "garble"  # Bytes that are not an HTTP response.
    EXTRA = "extra"  # A surplus response after the first one.
    FOREIGN = "foreign"  # A response with another attempt id before the right one.
    UNSEALED = "unsealed"  # No response seal.
    ENCODED = "encoded"  # Claims a content encoding.
    UNFRAMED = "unframed"  # No content length; the end of the connection ends the body.
    UNFRAMED_ERROR = "unframed-error"  # 500 without content length.
    UNFRAMED_RESET = "unframed-reset"  # The same, but the connection is reset.
    UNFRAMED_SHORT = "unframed-short"  # A plain answer that ends in order in its middle.
    UNFRAMED_CUT = "unframed-cut"  # An unframed stream that ends inside an event.
    UNFRAMED_EMPTY = "unframed-empty"  # An unframed stream that ends before its first event.
    FALSE_PROMISE = "false-promise"  # 503 without the statement that it was not executed.
    HEAD_CUT = "head-cut"  # Closes the connection in the middle of the head.
    EVENT_CUT = "event-cut"  # A stream in chunks that ends inside an event, with the last chunk.
    HANG = "hang"  # Never responds.
    EMPTY_LINES = "empty-lines"  # A stream of empty lines without end.


# Faults of streams whose end the connection shows.
UNFRAMED_STREAMS = (RunnerFault.UNFRAMED, RunnerFault.UNFRAMED_CUT, RunnerFault.UNFRAMED_EMPTY)
# Faults of streams that end in order inside an event.
INSIDE_AN_EVENT = (RunnerFault.UNFRAMED_CUT, RunnerFault.EVENT_CUT)


class EndForm(StrEnum):
    """How a stream ends that a runner breaks off between two events."""

    CHUNKS = "chunks"  # Chunks without the last one; the connection is closed in order.
    UNFRAMED = "unframed"  # No content length and no chunks; the connection is closed in order.


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """The end of a stream that a runner breaks off between two events.

    Attributes:
        events_before_end: Number of events that this runner sends before it.
        form: Its form.
    """

    events_before_end: int
    form: EndForm = EndForm.CHUNKS


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request whose execution began."""

    attempt: str
    target: str
    body: bytes
    headers: dict[str, str]


def response_seal(body: bytes) -> str:
    """Return the ``Lacewinghub-Response-Seal`` of a complete body."""
    return hashlib.sha256(body).hexdigest()[:16]


class FakeRunner(HttpHandler):
    """Fake runner (streams of events) or service (plain calls).

    Args:
        name: Instance id, and key of its record in the store.
        service: Name of its service.
        events: Number of events per stream.
        work_s: Time between two events, or until the response to a plain call, in seconds.

    Attributes:
        version: Version of its software, as its record states it.
        early_ends: Streams that it breaks off, by attempt id; each entry is used once. Runners that
            share them break each of the streams off once.
        deadly_part: Part of a prompt that crashes this runner when it begins to answer.
        crashed: Set once the runner has crashed.
        spoilt_load: Load that it states in its answers in place of the true one, or None.
        limit_per_s: Requests per second that it states in its answers, or None.
        leaving: True if it states in its answers that it leaves.
        resume_fault: Fault that it injects into each request that continues a stream, or None.
        refuse_for_s: Time for which its refusals ask for no further requests, or None.
        refuse_until: Loop time until which it refuses requests and asks for no further ones, in
            seconds.
        more_pieces: Number of pieces of ``PIECE_BYTES`` that follow the body of an unframed answer.
        arrivals: Loop times at which requests arrived, in seconds.
        queue_s: Time that a request waits before its execution begins, in seconds.
        first_s: Time from the beginning of a run to the head of its stream, in seconds.
        has_ids: False to send events without ids.
        room: Its slots and queue.
        falls: Number of times that it fell over.
        moves: Moves of its runs to other runners.
        reports: Number of reports about itself that it was asked for.
        is_report_silent: True to leave these calls without an answer.
        runs: Executed requests, in order.
        continued: Requests that continued a moved run, in order.
        cancelled: Ids of attempts whose client disconnected during execution.
    """

    def __init__(self, name: str, service: str, events: int = 4, work_s: float = 0.002) -> None:
        self.name = name
        self.service = service
        self.events = events
        self.work_s = work_s
        self.runs: list[ReceivedRequest] = []
        self.cancelled: list[str] = []
        self.address = ""
        self.version = DEFAULT_VERSION
        self.early_ends: dict[str, EarlyEnd] = {}
        self.born = int(time.time() * 1000)
        self.draining = False
        self.deadly_part = ""
        self.crashed = asyncio.Event()
        self.spoilt_load: bytes | None = None
        self.limit_per_s: float | None = None
        self.leaving = False
        self.refuse_for_s: float | None = None
        self.refuse_until = float("-inf")
        self.resume_fault: RunnerFault | None = None
        self.more_pieces = 0
        self.arrivals: list[float] = []
        self.queue_s = 0.0
        self.first_s = 0.0
        self.has_ids = True
        self.room = RunnerRoom(SLOTS)
        self.falls = 0
        self.moves = RunMoves(name)
        self.reports = 0
        self.is_report_silent = False
        self.continued: list[ReceivedRequest] = []
        self._faults: deque[RunnerFault] = deque()
        self._server = HttpServer(self)
        self._sequence = 0
        self._store: FakeStore | None = None
        self._fall: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address and serve."""
        self.address = f"{host}:{await self._server.start(host, port)}"
        self.moves.listen(self.address)

    async def stop(self) -> None:
        """Stop listening and abort all connections, for good."""
        if self._fall is not None:
            self._fall.cancel()
        await self._close()

    async def _close(self) -> None:
        self.moves.close(self.address)
        for conn in list(self._server.connections):
            conn.abort()
        await self._server.close()

    async def crash(self) -> None:
        """End like a process that dies: connections break, and the record stays."""
        self.crashed.set()
        await self.stop()

    async def fall_over(self) -> None:
        """End like a process that dies, and start again at the same address after ``DOWN_S``."""
        host, _, port = self.address.rpartition(":")
        await self._close()
        await asyncio.sleep(DOWN_S)
        self.room.refused_at.clear()
        self.born = int(time.time() * 1000)
        await self.start(host, int(port))
        if self._store is not None:
            self.announce(self._store)

    async def leave(self, store: FakeStore, notice_s: float) -> None:
        """Announce that the runner leaves, and end after that time."""
        self.draining = True
        self.announce(store, leaves_ms=notice_s * 1000)
        await asyncio.sleep(notice_s)
        await self.stop()

    def fail(self, *faults: RunnerFault) -> None:
        """Inject faults into the next requests, one fault per request."""
        self._faults.extend(faults)

    def announce(self, store: FakeStore, **members: Any) -> None:
        """Publish the record of this runner; members override the default ones."""
        self._store = store
        self._sequence += 1
        record = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.room.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        store.put(RUNNERS_TOPIC, self.name, record | members)

    @property
    def tag(self) -> str:
        """Text in each event that names the version of its writer; empty for the default one."""
        return "" if self.version == DEFAULT_VERSION else f" of {self.version}"

    @property
    def counts(self) -> Counter[str]:
        """Number of executions by attempt id."""
        return Counter(run.attempt for run in self.runs)

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Serve one request, with the next fault if there is one."""
        if await self.moves.handle(incoming, out):
            return
        if incoming.target == REPORT_PATH:
            await self._report(out)
            return
        self.arrivals.append(asyncio.get_running_loop().time())
        attempt = _header_text(incoming, b"lacewinghub-attempt-id")
        wanted = _header_text(incoming, b"lacewinghub-expect-instance")
        if wanted and wanted != self.name:
            out.send(421, [(b"lacewinghub-instance-id", self.name.encode())], b"")
            return
        fault = self._faults.popleft() if self._faults else None
        if self.resume_fault and _header_text(incoming, b"last-event-id"):
            fault = self.resume_fault
        base_headers: Headers = [
            (b"lacewinghub-attempt-id", attempt.encode()),
            (
                b"lacewinghub-server-load",
                self.spoilt_load or self.room.load,
            ),
            (b"keep-alive", b"timeout=4"),
        ]
        if self.limit_per_s is not None:
            base_headers.append((b"server-limit", f"{self.limit_per_s:g}".encode()))
        if self.room.brittle is not None:
            base_headers.append((b"server-brittle", f"{self.room.brittle:g}".encode()))
        if self.leaving:
            base_headers.append((b"server-leaving", b"1"))
        pause_s = self._pause_s()
        if fault is RunnerFault.FULL or pause_s is not None:
            refusal: Headers = [*base_headers, (b"lacewinghub-not-executed", b"1")]
            if pause_s is not None:
                refusal.append((b"retry-after", f"{pause_s:g}".encode()))
            out.send(503, refusal, b"")
            return
        kv_from = _header_text(incoming, b"kv-from")
        if kv_from and self.moves.take(kv_from) is None:
            out.send(503, [*base_headers, (b"lacewinghub-not-executed", b"1")], b"")
            return
        try:
            async with self.room.slot():
                await self._execute(incoming, out, base_headers, fault)
        except RoomFull:
            out.send(503, [*base_headers, (b"lacewinghub-not-executed", b"1")], b"")
            if self.room.is_too_much() and (self._fall is None or self._fall.done()):
                self.falls += 1
                self._fall = asyncio.get_running_loop().create_task(self.fall_over())

    async def _execute(
        self, incoming: Incoming, out: Responder, base_headers: Headers, fault: RunnerFault | None
    ) -> None:
        attempt = _header_text(incoming, b"lacewinghub-attempt-id")
        kv_from = _header_text(incoming, b"kv-from")
        if self.queue_s:
            await asyncio.sleep(self.queue_s)
        (self.continued if kv_from else self.runs).append(_received_request(incoming, attempt))
        if self.deadly_part and self.deadly_part in _part_ids(incoming):
            await asyncio.sleep(self.work_s)
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.Event().wait()
        try:
            await self._run(incoming, out, base_headers, fault)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise

    async def _report(self, out: Responder) -> None:
        """Answer what a runner says of itself, also while it is full."""
        self.reports += 1
        if self.is_report_silent:
            await asyncio.Event().wait()
        runs = [[attempt, 0, run.events, 1] for attempt, run in self.moves.live.items()]
        body = json.dumps({"born": self.born, "state": "ready", "runs": runs}).encode()
        out.send(200, [(b"content-type", b"application/json")], body)

    def _pause_s(self) -> float | None:
        """Return for how long a refusal asks for no requests, in seconds; None to refuse none."""
        left_s = self.refuse_until - asyncio.get_running_loop().time()
        return left_s if left_s > 0.0 else self.refuse_for_s

    async def _run(
        self, incoming: Incoming, out: Responder, base_headers: Headers, fault: RunnerFault | None
    ) -> None:
        if fault is RunnerFault.HANG:
            await asyncio.Event().wait()
        if fault is RunnerFault.RESET:
            out.conn.abort()
            return
        if fault is RunnerFault.GARBLE:
            out.conn.write(b"\x00\x01 no answer\r\n\r\n")
            return
        if fault is RunnerFault.HEAD_CUT:
            sealed = [*base_headers, (b"lacewinghub-response-seal", b"seal")]
            out.conn.write(b"HTTP/1.1 200 OK\r\n" + encode_headers(sealed))
            return
        if fault is RunnerFault.FALSE_PROMISE:
            out.send(503, base_headers, b"")
            return
        if _header_text(incoming, b"lacewinghub-token-count"):
            await self._stream(incoming, out, base_headers, fault)
        else:
            await self._answer(incoming, out, base_headers, fault)

    async def _answer(
        self, incoming: Incoming, out: Responder, base_headers: Headers, fault: RunnerFault | None
    ) -> None:
        await asyncio.sleep(self.work_s)
        body = b"done:" + incoming.target
        sealed = [*base_headers, (b"lacewinghub-response-seal", response_seal(body).encode())]
        if fault is RunnerFault.ERROR:
            out.send(500, sealed, body)
        elif fault is RunnerFault.UNSEALED:
            out.send(200, base_headers, body)
        elif fault is RunnerFault.ENCODED:
            out.send(200, [*sealed, (b"content-encoding", b"gzip")], body)
        elif fault is RunnerFault.CUT:
            out.conn.write(_encode_head(sealed, len(body)) + body[:2])
        elif fault is RunnerFault.UNFRAMED_SHORT:
            out.conn.write(_encode_head(sealed) + body[:2])
        elif fault in (RunnerFault.UNFRAMED, RunnerFault.UNFRAMED_RESET):
            out.conn.write(_encode_head(sealed) + body)
            for _ in range(self.more_pieces):
                out.conn.write(bytes(PIECE_BYTES))
                await out.conn.drain()
                await asyncio.sleep(self.work_s)
            await asyncio.sleep(self.work_s)
            if fault is RunnerFault.UNFRAMED_RESET:
                out.conn.reset_on_close(True)
        elif fault is RunnerFault.FOREIGN:
            other = [(b"lacewinghub-attempt-id", b"another"), *sealed[1:]]
            out.conn.write(_encode_head(other, len(body)) + body)
            out.send(200, sealed, body)
        else:
            out.send(200, sealed, body)
            if fault is RunnerFault.EXTRA:
                out.conn.write(_encode_head(sealed, len(body)) + body)

    async def _stream(
        self, incoming: Incoming, out: Responder, base_headers: Headers, fault: RunnerFault | None
    ) -> None:
        if fault in (RunnerFault.ERROR, RunnerFault.UNFRAMED_ERROR):
            text = b"error: the runner failed"
            if fault is RunnerFault.ERROR:
                out.send(500, base_headers, text)
            else:
                out.conn.write(
                    b"HTTP/1.1 500 Failed\r\n" + encode_headers(base_headers) + CRLF + text
                )
            return
        attempt = _header_text(incoming, b"lacewinghub-attempt-id")
        after = int(_header_text(incoming, b"last-event-id") or 0)
        body = b"".join(event(number, self.tag) for number in range(1, self.events + 1))
        sealed = [*base_headers, (b"lacewinghub-response-seal", response_seal(body).encode())]
        end = self.early_ends.pop(attempt, None)
        framed = fault not in UNFRAMED_STREAMS and (end is None or end.form is EndForm.CHUNKS)
        run = self.moves.live[attempt] = LiveRun(attempt, after)
        try:
            if after or not self.first_s or not await run.is_stopped_within(self.first_s):
                head = [*sealed, (b"content-type", b"text/event-stream")]
                out.start(200, head, framed)
                await self._send_events(run, out, fault, end)
        finally:
            if self.moves.live.get(attempt) is run:
                del self.moves.live[attempt]

    async def _send_events(
        self, run: LiveRun, out: Responder, fault: RunnerFault | None, end: EarlyEnd | None
    ) -> None:
        while fault is RunnerFault.EMPTY_LINES:
            await out.write(b"\n" * 65536)
            await asyncio.sleep(0)
        after = run.events
        for number in range(after + 1, self.events + 1):
            if await run.is_stopped_within(self.work_s):
                if run.stays_open:
                    await asyncio.Event().wait()
                # The server closes the connection, because the stream has no end.
                out.conn.reset_on_close(False)
                return
            if fault is RunnerFault.UNFRAMED_EMPTY:
                break
            if end is not None and number > after + end.events_before_end:
                if end.form is EndForm.UNFRAMED:
                    break
                return
            data = event(number, self.tag)
            if fault in INSIDE_AN_EVENT and number == after + 3:
                await out.write(data[:5])
                break
            if fault is RunnerFault.CUT and number == after + 3:
                out.conn.write(chunk(data[:5]))
                return
            await out.write(data if self.has_ids else data.partition(b"\n")[2])
            run.events = number
        out.finish()


def event(number: int, tag: str = "") -> bytes:
    """Return the server-sent event with a number, and with the tag of its writer."""
    return f"id: {number}\ndata: piece {number}{tag}\n\n".encode()


def _received_request(incoming: Incoming, attempt: str) -> ReceivedRequest:
    headers = {name.decode(): value.decode() for name, value in incoming.headers}
    return ReceivedRequest(attempt, incoming.target.decode(), incoming.take_body(), headers)


def _encode_head(headers: Headers, length: int | None = None) -> bytes:
    framing = [] if length is None else [(b"content-length", str(length).encode())]
    return b"HTTP/1.1 200 OK\r\n" + encode_headers([*headers, *framing]) + CRLF


def _part_ids(incoming: Incoming) -> list[str]:
    text = _header_text(incoming, b"lacewinghub-prompt-prefix")
    return [item.strip().partition(":")[0] for item in text.split(",")]


def _header_text(incoming: Incoming, name: bytes) -> str:
    return (incoming.header(name) or b"").decode("latin-1")
