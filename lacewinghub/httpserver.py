"""HTTP/1.1 server for requests that are passed on unchanged.

A connection is served by one task. The end of a connection cancels the request that it carries.
"""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import httptools
from loguru import logger

from .httpmessage import CRLF, LAST_CHUNK, Headers, Incoming, MessageReceiver, chunk, encode_headers

BACKLOG = 1024
# A caller that pipelines more than this is not read until its requests were answered.
READ_AHEAD = 2
HIGH_WATER_BYTES = 256 * 1024
# A connection that was just made or used may carry a request that is on its way.
IDLE_BEFORE_CLOSE_S = 0.5
# Time for a caller to read the answer to a request that was refused before it was read whole.
LINGER_S = 0.5


@dataclass(slots=True)
class HttpLimits:
    """Limits on what a caller sends.

    Attributes:
        header_bytes: Largest size of target and headers.
        body_bytes: Largest size of a body.
        header_s: Longest time from the first byte of a request to the end of its headers, in
            seconds.
        idle_s: Longest time between two requests or two pieces of a body, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class HttpHandler(ABC):
    """Answers the requests of a server."""

    @abstractmethod
    async def handle(self, incoming: Incoming, out: "Responder") -> None:
        """Answer one request.

        The call is cancelled when the caller leaves. An answer that is not finished when the call
        ends makes the connection end, so that it cannot pass for a complete one.
        """

    def limits(self) -> HttpLimits:
        """Return the limits in force."""
        return HttpLimits()

    def is_closing(self) -> bool:
        """Tell whether connections are to end with their next answer."""
        return False

    def on_malformed_request(self, status: int) -> None:  # noqa: B027
        """Note a request that was refused for its form."""


@dataclass(slots=True)
class Responder:
    """Writes the answer to one request.

    Attributes:
        started: True once a part of the answer was sent.
        finished: True once the whole answer was sent.
        framed: False for a body that ends with the connection.
    """

    conn: "CallerConnection"
    keep_alive: bool
    started: bool = False
    finished: bool = False
    framed: bool = True

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer with its length."""
        length = (b"content-length", str(len(body)).encode())
        self.conn.write(self._head(status, [*headers, length]) + body)
        self.finished = True

    def start(self, status: int, headers: Headers, framed: bool = True) -> None:
        """Send the head of an answer whose body follows in pieces.

        Args:
            status: HTTP status.
            headers: Headers without those that frame the body.
            framed: False to end the body with the connection, so that nothing says it is whole.
        """
        self.framed = framed
        if framed:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        else:
            self.keep_alive = False
        self.conn.write(self._head(status, headers))

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; waits while the caller does not read."""
        if data:
            self.conn.write(chunk(data) if self.framed else data)
            await self.conn.drain()

    def finish(self) -> None:
        """End a body that was sent in pieces."""
        if self.framed:
            self.conn.write(LAST_CHUNK)
        self.finished = True

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self.conn.server.handler.is_closing():
            self.keep_alive = False
        phrase = _PHRASES.get(status, b"Unknown")
        line = b"HTTP/1.1 %d %b\r\n" % (status, phrase)
        if not self.keep_alive:
            headers = [*headers, (b"connection", b"close")]
        return line + encode_headers(headers) + CRLF


_PHRASES = {int(item): item.phrase.encode() for item in HTTPStatus}


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._receiver = MessageReceiver()
        self._parser = httptools.HttpRequestParser(self)
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._lost = False
        self._malformed = False
        self._serving = False
        self._last_data = 0.0
        self._begun = 0.0

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self._begun = asyncio.get_running_loop().time()
        self._receiver.on_message_begin()

    def on_url(self, data: bytes) -> None:
        self._receiver.on_url(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        last = self._receiver.messages[-1]
        last.headed = True
        last.method = self._parser.get_method()
        last.keep_alive = self._parser.should_keep_alive()
        expect = last.header(b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        self._receiver.on_message_complete()

    # Callbacks of the transport.
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of uvloop is no subclass of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        loop = asyncio.get_running_loop()
        self._last_data = loop.time()
        self._task = loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        if self._malformed:
            return
        self._last_data = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._malformed = True
        if len(self._receiver.messages) > READ_AHEAD and self.transport is not None:
            self.transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        """End the connection: a caller that ends its side has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._writable.set()
        self._changed.set()
        self.server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection ended."""
        if self.transport is not None and not self._lost:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait while the caller does not read."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close_if_idle(self) -> None:
        """End the connection if it has carried no request for ``IDLE_BEFORE_CLOSE_S``."""
        quiet_s = asyncio.get_running_loop().time() - self._last_data
        if self._serving or self._receiver.messages or quiet_s < IDLE_BEFORE_CLOSE_S:
            return
        self.close()

    def close(self) -> None:
        """Send what is buffered, then end the connection."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End the connection without sending what is buffered."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """End the connection with a reset."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception("a connection of a caller failed")
        finally:
            self.close()

    async def _serve_one(self) -> bool:
        """Answer the next request; return whether the connection goes on."""
        incoming = await self._next()
        if incoming is None:
            return False
        out = Responder(self, incoming.keep_alive and not self._malformed)
        self._serving = True
        try:
            await self.server.handler.handle(incoming, out)
        finally:
            self._serving = False
        self._receiver.messages.popleft()
        if self.transport is not None and not self._lost:
            self.transport.resume_reading()
        if not out.finished:
            # A framed answer lacks its end; of others only a reset shows that they are not whole.
            if out.framed:
                self.close()
            else:
                self.reset()
            return False
        return out.keep_alive

    async def _next(self) -> Incoming | None:
        """Wait for a whole request; refuse one that is malformed, too large or too slow."""
        loop = asyncio.get_running_loop()
        while True:
            limits = self.server.handler.limits()
            messages = self._receiver.messages
            current = messages[0] if messages else None
            if self._lost:
                return None
            if current is not None:
                status = self._refusal(current, limits)
                if status is not None:
                    await self._refuse(status)
                    return None
                if current.complete:
                    return current
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
                    continue  # The limits in force were raised meanwhile.
                if current is not None:
                    await self._refuse(408)
                return None

    def _refusal(self, current: Incoming, limits: HttpLimits) -> int | None:
        if current.head_size > limits.header_bytes:
            return 431
        if current.size > limits.body_bytes:
            return 413
        if self._malformed and not current.complete:
            return 400
        return None

    def _deadline(self, current: Incoming | None, limits: HttpLimits) -> float:
        if current is not None and not current.headed:
            return self._begun + limits.header_s
        return self._last_data + limits.idle_s

    async def _refuse(self, status: int) -> None:
        self.server.handler.on_malformed_request(status)
        out = Responder(self, keep_alive=False)
        out.send(status, [], b"")
        if self.transport is not None and self.transport.can_write_eof():
            # Closing with unread bytes would reset the connection before the answer is read.
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)


class HttpServer:
    """Serves a handler on one address.

    Args:
        handler: Answers the requests.

    Attributes:
        connections: Open connections.
    """

    def __init__(self, handler: HttpHandler) -> None:
        self.handler = handler
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Serve on an address.

        Args:
            host: IP address.
            port: Port, or 0 for a free one.

        Returns:
            The port.

        Raises:
            OSError: If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        return self._server.sockets[0].getsockname()[1]

    def close_idle(self) -> None:
        """End the connections that carry no request."""
        for conn in list(self.connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for conn in list(self.connections):
            conn.close()
