"""HTTP/1.1 server for requests that are passed on unchanged.

One task serves each connection. When the client disconnects, its request is cancelled.
"""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import cast

import httptools
from loguru import logger

from .httpmessage import Incoming, MessageReceiver
from .responder import Responder, ResponseConnection

BACKLOG = 1024
HTTP_1_0 = "1.0"
# While more pipelined requests than this wait, nothing more is read from the connection.
MAX_PIPELINED = 2
HIGH_WATER_BYTES = 64 * 1024
# Method, version and separators, which the limit on target and headers does not include.
REQUEST_LINE_BYTES = 1024
# A request may already be on the network for a connection that was opened or used this recently.
IDLE_BEFORE_CLOSE_S = 0.5
# Time for a client to read the error response to a request that was refused before its end.
LINGER_S = 0.5


@dataclass(slots=True)
class HttpLimits:
    """Limits on the requests of clients.

    Attributes:
        header_bytes: Largest size of target and headers.
        body_bytes: Largest size of a body.
        header_s: Longest time from the first byte of a request to the end of its headers, in
            seconds.
        idle_s: Longest time between requests or between pieces of a body, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class HttpHandler(ABC):
    """Handles the requests of a server."""

    @abstractmethod
    async def handle(self, incoming: Incoming, out: "Responder") -> None:
        """Handle one request.

        The call is cancelled when the client disconnects. If the response is not finished when the
        call ends, the connection is closed, so that the client does not take it for complete.
        """

    def limits(self) -> HttpLimits:
        """Return the current limits."""
        return HttpLimits()

    def is_closing(self) -> bool:
        """Tell whether connections are to be closed after their next response."""
        return False

    def on_malformed_request(self, status: int) -> None:  # noqa: B027
        """Called when the server refused a request that is malformed, too large or too slow."""


class ClientConnection(asyncio.Protocol, ResponseConnection):
    """One connection of a client."""

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
        self._response: Responder | None = None
        self._resets_on_close = False
        self._last_used = 0.0
        self._message_started = 0.0

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self._message_started = asyncio.get_running_loop().time()
        self._receiver.on_message_begin()

    def on_url(self, data: bytes) -> None:
        self._receiver.on_url(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        last = self._receiver.messages[-1]
        last.headers_complete = True
        last.method = self._parser.get_method()
        last.keep_alive = self._parser.should_keep_alive()
        last.takes_chunks = self._parser.get_http_version() != HTTP_1_0
        expect = last.header(b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._receiver.on_body(data)

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
        self.server.connections.add(self)
        loop = asyncio.get_running_loop()
        self._last_used = loop.time()
        self._task = loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        if self._malformed:
            return
        self._last_used = asyncio.get_running_loop().time()
        self._receiver.count(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._malformed = True
        self._receiver.settle()
        if len(self._receiver.messages) > MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        """Close the connection: a client that closes its side has disconnected."""
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
        """Send bytes unless the connection was lost."""
        if self.transport is not None and not self._lost:
            self.transport.write(data)

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
        has_next_request = len(self._receiver.messages) > 1
        return self.server.handler.is_closing() and not has_next_request

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
            self.transport.close()

    def abort(self) -> None:
        """Close the connection without sending the buffered bytes."""
        if self.transport is not None:
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
        out = self._response = Responder(self, keep_alive, incoming.takes_chunks)
        await self.server.handler.handle(incoming, out)
        self._receiver.messages.popleft()
        if not out.finished:
            return False
        if not out.framed:
            await self._flush()
            self.reset_on_close(False)
        self._response = None
        self._last_used = asyncio.get_running_loop().time()
        if self.transport is not None and not self._lost:
            self.transport.resume_reading()
        return out.keep_alive

    async def _flush(self) -> None:
        """Wait until all bytes were passed to the operating system, which delivers them."""
        assert self.transport is not None
        self.transport.set_write_buffer_limits(0)
        await self.drain()

    async def _next_request(self) -> Incoming | None:
        """Wait for a complete request; refuse one that is malformed, too large or too slow."""
        loop = asyncio.get_running_loop()
        while True:
            limits = self.server.handler.limits()
            messages = self._receiver.messages
            current = messages[0] if messages else None
            if self._lost:
                return None
            if current is not None:
                status = self._error_status(current, limits)
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
                    continue  # The limits were raised in the meantime.
                if current is not None:
                    await self._refuse(408)
                return None

    def _error_status(self, current: Incoming, limits: HttpLimits) -> int | None:
        if current.head_size > limits.header_bytes:
            return 431
        if current.size > limits.body_bytes:
            return 413
        if current.complete:
            return None
        if self._malformed:
            return 400
        # The message is the last one of the connection, since it is incomplete.
        overhead = self._receiver.overhead
        if not current.headers_complete and overhead > limits.header_bytes + REQUEST_LINE_BYTES:
            return 431
        return 400 if self._receiver.has_excessive_framing else None

    def _deadline(self, current: Incoming | None, limits: HttpLimits) -> float:
        if current is not None and not current.headers_complete:
            return self._message_started + limits.header_s
        return self._last_used + limits.idle_s

    async def _refuse(self, status: int) -> None:
        self.server.handler.on_malformed_request(status)
        self._malformed = True  # Whatever else arrives is dropped.
        out = Responder(self, keep_alive=False)
        out.send(status, [], b"")
        if self.transport is not None and self.transport.can_write_eof():
            # Closing with unread bytes would reset the connection before the client reads the
            # response.
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)


class HttpServer:
    """Listens on one address and passes the requests to a handler.

    Args:
        handler: Handles the requests.

    Attributes:
        connections: Open connections.
    """

    def __init__(self, handler: HttpHandler) -> None:
        self.handler = handler
        self.connections: set[ClientConnection] = set()
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
            lambda: ClientConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        return self._server.sockets[0].getsockname()[1]

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in list(self.connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for conn in list(self.connections):
            conn.close()
