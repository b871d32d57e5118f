"""One connection of a client to an HTTP server.

One task serves each connection. When the client disconnects, its request is cancelled. Each read is
checked as it is parsed: an event loop may pass on many reads before it runs a task, so that a
refusal by the task alone would come after megabytes.
"""

import asyncio
import socket
import struct
import time
from abc import ABC
from enum import IntFlag
from typing import cast

import httptools
from loguru import logger

from .client_bounds import (
    CONNECTION_BYTES,
    ENDPOINT_BYTES,
    IDLE_BEFORE_CLOSE_S,
    OpenConnection,
    Turn,
    is_too_slow,
)
from .client_registry import ClientRegistry, GuardedConnection, until_client_stops
from .client_sockets import SentBytes
from .httphandler import HttpHandler, HttpLimits, error_status
from .httpmessage import (
    EXPENSIVE_FRAMING_BYTES,
    Headers,
    Incoming,
    MessageReceiver,
    held_by,
)
from .memory_budget import Holding
from .responder import Responder, ResponseConnection

HTTP_1_0 = "1.0"
# While more pipelined requests than this wait, nothing more is read from the connection.
MAX_PIPELINED = 2
HIGH_WATER_BYTES = 64 * 1024
# So much is parsed at once where requests may follow each other, and within a body in chunks. The
# shortest request has 18 bytes.
SLICE_BYTES = 1024
BODY_SLICE_BYTES = 4096
# Statuses that state that a request was not run, and tell the client to try again.
UNAVAILABLE = 503
RETRY_HEADERS: Headers = [(b"retry-after", b"1")]


class ConnectionOwner(ABC):
    """What a connection needs of its server.

    Attributes:
        handler: Handles the requests.
        registry: Admits the connections.
        buffer: Buffer into which the connections read.
    """

    handler: HttpHandler
    registry: "ClientRegistry[ClientConnection]"
    buffer: memoryview


class _Pause(IntFlag):
    """Reasons for which nothing is read from a connection."""

    PIPELINED = 1  # Further requests wait behind the one that is being served.
    EXPENSIVE = 2  # The last read was expensive to parse.
    REFUSED = 4  # The client goes on sending after a refusal.


class ClientConnection(asyncio.BufferedProtocol, ResponseConnection, GuardedConnection):
    """One connection of a client.

    Attributes:
        server: The server.
        guard: Limits the clients.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.guard = server.registry.guard
        self.transport: asyncio.Transport | None = None
        self.address = ""
        self._receiver = MessageReceiver()
        self.on_body = self._receiver.on_body  # Saves a call per piece.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._lost = False
        self._malformed = False
        self._response: Responder | None = None
        self._resets_on_close = False
        self._last_used = 0.0
        self._message_started = 0.0
        self._unread_since = 0.0
        self._pauses = _Pause(0)
        self._awaits_continue: Incoming | None = None
        self._refused: Incoming | None = None
        self._refusal = 0
        self._discarded = 0
        self._close_timer: asyncio.TimerHandle | None = None
        self._sent = SentBytes()
        # Received bytes behind more requests than may wait; nothing is read meanwhile.
        self._unparsed = b""

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self._message_started = asyncio.get_running_loop().time()
        self._receiver.on_message_begin()

    def on_url(self, data: bytes) -> None:
        self._receiver.on_url(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        parser = self._parser
        if parser is None:
            return  # Refused during this read.
        last = self._receiver.messages[-1]
        last.headers_complete = True
        last.method = parser.get_method()
        last.keep_alive = parser.should_keep_alive()
        last.takes_chunks = parser.get_http_version() != HTTP_1_0
        expects_continue = False
        # One pass costs less than a search for each name.
        for name, value in last.headers:
            if name == b"content-length":
                last.announced = int(value) if value else 0
            elif name == b"expect":
                expects_continue = value.lower() == b"100-continue"
        if last.announced > self.server.handler.limits().body_bytes:
            return  # Refused after this read.
        if expects_continue:
            self._awaits_continue = last
            self._send_continue()

    def _send_continue(self) -> None:
        """Tell a client that waits for it to send the body, if it is the turn of its request."""
        if self._response is None and self._receiver.messages[0] is self._awaits_continue:
            if not self._awaits_continue.complete:
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._awaits_continue = None

    def on_message_complete(self) -> None:
        self._receiver.on_message_complete()

    # Callbacks of the transport.
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of uvloop is not a subclass of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if isinstance(peer, tuple) else ""
        if not self.server.registry.admit(self):
            self._refuse_connection()
            return
        loop = asyncio.get_running_loop()
        self._last_used = loop.time()
        self._task = loop.create_task(self._serve())

    def _refuse_connection(self) -> None:
        assert self.transport is not None
        self._malformed = True
        self._send_refusal(UNAVAILABLE)
        if self.server.registry.lingers(self) and self.transport.can_write_eof():
            self._task = asyncio.get_running_loop().create_task(self._linger())
        else:
            self.transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        # The bytes are parsed before any connection reads again.
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._last_used = asyncio.get_running_loop().time()
        if self._malformed or self._refused is not None or self._parser is None:
            self._discarded += nbytes
            if self._discarded > self.server.handler.limits().body_bytes:
                self._pause_reading(_Pause.REFUSED)
            return
        self._parse(self.server.buffer[:nbytes])
        self._charge()
        self._changed.set()

    def _parse(self, data: memoryview) -> None:
        """Parse received bytes until more requests wait than are served ahead."""
        started = time.perf_counter()
        framing = start = 0
        while start < len(data) and self._takes_more():
            if len(self._receiver.messages) > MAX_PIPELINED:
                self._unparsed = bytes(data[start:])
                self._pause_reading(_Pause.PIPELINED)
                break
            end = start + self._slice_bytes(len(data) - start)
            self._parse_slice(data[start:end])
            framing += self._receiver.framing
            start = end
        if framing > EXPENSIVE_FRAMING_BYTES:
            self._read_more_slowly(started)

    def _takes_more(self) -> bool:
        return self._parser is not None and not self._malformed and self._refused is None

    def _slice_bytes(self, available: int) -> int:
        """Return how many bytes may be parsed before the waiting requests are counted again."""
        messages = self._receiver.messages
        if messages and messages[-1].headers_complete and not messages[-1].complete:
            return max(BODY_SLICE_BYTES, min(available, messages[-1].announced - messages[-1].size))
        return SLICE_BYTES

    def _parse_slice(self, data: memoryview) -> None:
        assert self._parser is not None
        receiver = self._receiver
        receiver.count(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._malformed = True
        receiver.settle()
        if receiver.messages:
            self._check_last(receiver.messages[-1])

    def _parse_rest(self) -> None:
        """Parse what was left behind requests that have been served by now."""
        rest, self._unparsed = self._unparsed, b""
        if rest and self._takes_more():
            self._parse(memoryview(rest))
            self._charge()
        if not self._unparsed:
            self._resume_reading(_Pause.PIPELINED)

    def _check_last(self, last: Incoming) -> None:
        """Refuse the message that is arriving if it breaks a limit, or pause reading."""
        limits = self.server.handler.limits()
        status = error_status(last, self._receiver, limits, self._malformed)
        if status is not None:
            self._refuse_from(last, status)
            return
        if len(self._receiver.messages) > 1 and last.size > HIGH_WATER_BYTES:
            self._pause_reading(_Pause.PIPELINED)

    def _read_more_slowly(self, started: float) -> None:
        """Let a body whose last read was expensive rest."""
        last = self._receiver.messages[-1] if self._receiver.messages else None
        # A head has a time-out of its own, within which the node has to read it.
        if last is None or not last.headers_complete or last.complete:
            return
        loop = asyncio.get_running_loop()
        spent_s = time.perf_counter() - started
        resume_at = self.guard.pacer.resume_at(loop.time(), spent_s)
        self._pause_reading(_Pause.EXPENSIVE)
        loop.call_at(resume_at, self._resume_reading, _Pause.EXPENSIVE)

    def _refuse_from(self, message: Incoming, status: int) -> None:
        """Refuse a message that is not served yet, and drop it with all that follows."""
        self._refused, self._refusal = message, status
        dropped = False
        for item in self._receiver.messages:
            dropped = dropped or item is message
            if dropped:
                item.drop()
        self._parser = None  # It holds an unfinished header.
        self._unparsed = b""
        self._charge()
        self._changed.set()

    def _charge(self) -> None:
        """Charge to the budget what this connection holds."""
        if self in self.server.registry.connections:
            self.guard.budget.charge(self, self._held())

    def _held(self) -> int:
        """Return what this connection holds, in bytes."""
        held = 0 if self._refused is not None and not self._response else self._receiver.held
        held += len(self._unparsed) + self._sent.unsent
        if not self._writable.is_set() and self.transport is not None:
            held += self.transport.get_write_buffer_size()
            if self._response is not None and not self._response.finished:
                held += ENDPOINT_BYTES
        return CONNECTION_BYTES + held

    def reserve(self, size: int) -> bool:
        """Count memory that the request being served takes; see ``ResponseConnection``."""
        if self not in self.server.registry.connections:
            return False
        current = self._receiver.messages[0]
        current.decoded_size += size
        if self.guard.budget.reserve(self, self._held()):
            return True
        current.decoded_size -= size
        return False

    def holding(self) -> Holding:
        """Return what a refusal would release; a request that is being served is kept."""
        now = asyncio.get_running_loop().time()
        if not self._writable.is_set() and self.transport is not None:
            return Holding(self.charged - CONNECTION_BYTES, now - self._unread_since)
        if self._refused is not None:
            return Holding(0, 0.0)
        if not self._receiver.messages:
            return Holding(self._sent.unsent, now - self._last_used)
        messages = self._receiver.messages
        served = held_by(messages[0]) if self._response else 0
        held = self.charged - CONNECTION_BYTES - served
        return Holding(max(0, held), now - self._message_started)

    def refuse_for_memory(self) -> None:
        """Refuse the requests that are not served yet, or end an answer that is not read."""
        is_unread = not self._writable.is_set() or not self._receiver.messages
        reason = "closed_answer_not_read" if is_unread else "refused_for_memory"
        held, held_s = self.holding().refusable, round(self.holding().held_s, 3)
        self.guard.refusals.add(reason, self.address, held=held, held_s=held_s)
        if is_unread:
            self.abort()
            self.server.registry.forget(self)
            return
        index = 1 if self._response else 0
        if index < len(self._receiver.messages):
            self._refuse_from(self._receiver.messages[index], UNAVAILABLE)

    def refuse_if_slow(self, now: float) -> None:
        """Refuse a body that arrives too slowly for a strained process."""
        messages = self._receiver.messages
        if len(messages) != 1 or self._refused is not None:
            return
        last = messages[0]
        if last.complete or not last.headers_complete:
            return
        if is_too_slow(last.size, now - self._message_started):
            self.guard.refusals.add("refused_slow_body", self.address, size=last.size)
            self._refuse_from(last, 408)

    def end_if_stalled(self, now: float) -> None:
        """Count what the kernel keeps of answers; other stalls end by the timers of the task."""
        if self._sent.refresh(self.transport):
            self._charge()

    def state(self, now: float) -> OpenConnection:
        """Return what decides whether the connection is closed in favour of a new one."""
        messages = self._receiver.messages
        # An answer that the client is still reading belongs to its request, and a request that has
        # arrived is about to be served.
        served = (
            self._response is not None
            or not self._writable.is_set()
            or bool(messages and messages[0].complete)
        )
        return OpenConnection(self.address, now - self._last_used, served, bool(messages))

    def make_room(self) -> None:
        """Close the connection in favour of a new one; a request that is arriving is refused."""
        self.guard.refusals.add("closed_for_new_connection", self.address)
        self.server.registry.forget(self)
        if self._receiver.messages and not self._malformed and self._refused is None:
            self._refuse_from(self._receiver.messages[0], UNAVAILABLE)
        if self._refused is not None:
            if self.server.registry.lingers(self):
                return  # The task sends the refusal and gives the client time to read it.
            if not self._malformed:
                self._malformed = True
                self._send_refusal(self._refusal)
        self.close()

    def _pause_reading(self, reason: _Pause) -> None:
        if not self._pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self._pauses |= reason

    def _resume_reading(self, reason: _Pause) -> None:
        if not self._pauses & reason:
            return
        self._pauses &= ~reason
        if not self._pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Close the connection: a client that closes its side has disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._writable.set()
        self._changed.set()
        self.server.registry.forget(self)
        # The parser and this object refer to each other, and cycles are collected rarely.
        self._parser = None
        for item in self._receiver.messages:
            item.drop()
        if self._close_timer is not None:
            self._close_timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()
        self._unread_since = asyncio.get_running_loop().time()
        self._charge()

    def resume_writing(self) -> None:
        self._writable.set()
        self._charge()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is being closed or was lost.

        Unsent bytes keep a closing connection open, and end it in order. A response that began on
        it without framing would look whole wherever it was cut off.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            self._sent.add(len(data))
            if not self._writable.is_set():
                self._charge()

    async def drain(self) -> None:
        """Wait while the client does not read."""
        if not self._writable.is_set():
            await self._writable.wait()

    def reset_on_close(self, enabled: bool) -> None:
        """Choose whether closing resets the connection, also if the process dies.

        With a linger time of 0 s, the operating system sends a reset whoever closes the socket.
        """
        self._resets_on_close = enabled
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0))

    def closes_after_response(self) -> bool:
        """Return whether the node stops and no further request has arrived behind this one."""
        return self.server.handler.is_closing() and not self._has_next_request()

    def _has_next_request(self) -> bool:
        """Return whether a request or a part of it has arrived behind the one being served."""
        return len(self._receiver.messages) > 1 or bool(self._unparsed)

    def close_if_idle(self) -> None:
        """Close the connection if it has been idle for ``IDLE_BEFORE_CLOSE_S``."""
        idle_s = asyncio.get_running_loop().time() - self._last_used
        if self._response is not None or self._receiver.messages or idle_s < IDLE_BEFORE_CLOSE_S:
            return
        self.close()

    def close(self) -> None:
        """Close the connection so that a response that is not finished does not look whole.

        The buffered bytes are sent before, unless the end of the connection has to be a reset.
        """
        if self._resets_on_close:
            self.abort()
        elif self.transport is not None:
            if self._close_timer is None and not self._lost:
                self._abort_if_not_read(None)
            self.transport.close()

    def _abort_if_not_read(self, unread: int | None) -> None:
        """Abort a closing connection whose client reads nothing for the idle time-out.

        Such a client would keep the connection for good.

        Args:
            unread: Number of bytes that were not read one idle time-out ago; None at the start.
        """
        assert self.transport is not None
        left = self.transport.get_write_buffer_size()
        if unread is not None and left >= unread:
            self.abort()
        elif left:
            loop = asyncio.get_running_loop()
            idle_s = self.server.handler.limits().idle_s
            self._close_timer = loop.call_later(idle_s, self._abort_if_not_read, left)

    def abort(self) -> None:
        """Close the connection without sending the buffered bytes."""
        if self.transport is not None and not self._lost:
            self.transport.abort()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception("unexpected error in a client connection")
        finally:
            self.close()

    async def _serve_one(self) -> bool:
        """Serve the next request; return whether the connection stays open."""
        incoming = await self._next_request()
        if incoming is None:
            return False
        keep_alive = incoming.keep_alive and incoming.takes_chunks and not self._malformed
        head_only = incoming.method == b"HEAD"
        out = self._response = Responder(self, keep_alive, incoming.takes_chunks, head_only)
        turn = self._start_turn()
        await self.server.handler.handle(incoming, out)
        self._receiver.messages.popleft()
        if not out.finished:
            return False
        if not out.framed:
            if not await self._flush():
                return False
            self.reset_on_close(False)
        self._response = None
        self._last_used = asyncio.get_running_loop().time()
        self._charge()
        if not await self._is_read():
            return False
        self._parse_rest()
        if turn is not None:
            await asyncio.sleep(self.guard.pacer.rest_s(turn.spent_s()))
        return out.keep_alive

    def _start_turn(self) -> Turn | None:
        """Return the turn of a request that others follow, which were sent ahead of its answer."""
        return Turn() if self._has_next_request() else None

    async def _is_read(self) -> bool:
        """Wait while the client does not read; False if it reads nothing for the idle time-out."""
        assert self.transport is not None
        while not self._writable.is_set() and not self._lost:
            unread = self.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self.server.handler.limits().idle_s):
                    await self._writable.wait()
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= unread:
                    refusals = self.guard.refusals
                    refusals.add("closed_answer_not_read", self.address, held=unread)
                    self.abort()
                    return False
            # The client used the connection until now.
            self._last_used = asyncio.get_running_loop().time()
        return True

    async def _flush(self) -> bool:
        """Wait until all bytes were passed to the operating system, which delivers them.

        Returns:
            False if the client reads nothing for the idle time-out.
        """
        assert self.transport is not None
        self.transport.set_write_buffer_limits(0)
        return await self._is_read()

    async def _next_request(self) -> Incoming | None:
        """Wait for a complete request; refuse one that is malformed, too large or too slow."""
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        while True:
            limits = self.server.handler.limits()
            messages = self._receiver.messages
            current = messages[0] if messages else None
            if self._lost or self.transport.is_closing():
                return None
            if current is not None:
                status = self._refusal if current is self._refused else None
                status = status or error_status(current, self._receiver, limits, self._malformed)
                if status is not None:
                    await self._refuse(status)
                    return None
                if current.complete:
                    return current
                if self._awaits_continue is not None:
                    self._send_continue()
            elif self._malformed:
                await self._refuse(400)
                return None
            self._changed.clear()
            deadline = self._deadline(current, limits)
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                if loop.time() < self._deadline(current, self.server.handler.limits()):
                    continue  # The limits were raised in the meantime.
                if current is not None:
                    await self._refuse(408)
                return None

    def _deadline(self, current: Incoming | None, limits: HttpLimits) -> float:
        if current is not None and not current.headers_complete:
            return self._message_started + limits.header_s
        return self._last_used + limits.idle_s

    def _send_refusal(self, status: int) -> None:
        headers = RETRY_HEADERS if status == UNAVAILABLE else []
        Responder(self, keep_alive=False).send(status, headers, b"")

    async def _refuse(self, status: int) -> None:
        if status != UNAVAILABLE:
            self.server.handler.on_malformed_request(status)
        self._malformed = True  # Whatever else arrives is dropped, which takes no time.
        self._resume_reading(_Pause.PIPELINED | _Pause.EXPENSIVE)
        if self._receiver.messages:
            self._refuse_from(self._receiver.messages[0], status)
        self._send_refusal(status)
        if self.transport is not None and self.transport.can_write_eof():
            await self._linger()

    async def _linger(self) -> None:
        """Close the connection once the client has stopped sending."""
        assert self.transport is not None
        self.transport.write_eof()
        await until_client_stops(lambda: self._discarded)
        self.abort()
