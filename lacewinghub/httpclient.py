"""HTTP/1.1 connections to endpoints, for requests that are passed on unchanged.

A connection carries one request at a time. What an endpoint sends beyond the answer that it owes
makes the connection unfit for another request.
"""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import cast

import httptools

from .errors import LacewingError
from .httpmessage import Incoming, MessageReceiver

# An answer that is not read stops its endpoint.
HIGH_WATER_BYTES = 1024 * 1024
# An endpoint that sends more answers than this to one request is not read on.
MAX_ANSWERS = 4
# Keep-alive probes show within about four seconds that a silent host is gone.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 3
USER_TIMEOUT_MS = 4_000
# A kept connection is not used in the last part of the time after which its endpoint closes it.
IDLE_SHARE = 0.5
# Used for endpoints that do not state how long they keep a connection.
DEFAULT_IDLE_S = 1.0
MAX_IDLE_S = 10.0


class ConnectionFailed(LacewingError):
    """No connection was made; nothing was sent."""

    code, status = "connection_failed", 502


class ConnectionBroken(LacewingError):
    """The connection ended or carried bytes that are no answer."""

    code, status = "connection_broken", 502


class HttpConnection(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        idle_until: Loop time until which it may be kept without a request, in seconds.
    """

    def __init__(self) -> None:
        self.idle_until = 0.0
        self._transport: asyncio.Transport | None = None
        self._receiver = MessageReceiver()
        self._parser = httptools.HttpResponseParser(self)
        self._changed = asyncio.Event()
        self._ended = False
        self._broken: str | None = None
        self._paused = False
        self._closed = False

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self._receiver.on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        last = self._receiver.messages[-1]
        last.headed = True
        last.status = self._parser.get_status_code()
        last.keep_alive = self._parser.should_keep_alive()
        names = {name for name, _ in last.headers}
        empty = last.status in (204, 304) or last.status < 200
        last.framed = empty or bool(names & {b"content-length", b"transfer-encoding"})

    def on_body(self, data: bytes) -> None:
        self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        self._receiver.on_message_complete()

    # Callbacks of the transport.
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of uvloop is no subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _watch_host(sock)

    def data_received(self, data: bytes) -> None:
        if self._broken is None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as exc:
                self._broken = f"bytes that are no answer: {exc}"
        messages = self._receiver.messages
        if len(messages) > MAX_ANSWERS and self._broken is None:
            self._broken = "more answers than requests"
            self.close()
        if messages and sum(map(len, messages[0].body)) > HIGH_WATER_BYTES:
            self._pause()
        self._changed.set()

    def eof_received(self) -> bool:
        """Close the connection when the endpoint ends it."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        messages = self._receiver.messages
        last = messages[-1] if messages else None
        if exc is None and self._broken is None and last and last.headed and not last.framed:
            last.complete = True
        elif self._broken is None:
            self._broken = f"connection ended: {exc}" if exc else "connection ended"
        self._changed.set()

    @property
    def clean(self) -> bool:
        """True if nothing arrived that was not taken, and the connection is open."""
        open_ = not self._ended and not self._closed
        return open_ and self._broken is None and not self._receiver.messages

    @property
    def flushed(self) -> bool:
        """True if all bytes of the request were handed to the system."""
        return self._transport is not None and self._transport.get_write_buffer_size() == 0

    def send(self, data: bytes) -> None:
        """Send a whole request."""
        assert self._transport is not None
        self._transport.write(data)

    async def head(self) -> Incoming:
        """Wait for the head of the next answer; interim answers are skipped.

        Raises:
            ConnectionBroken: If the connection ended or carried no answer.
        """
        while True:
            messages = self._receiver.messages
            first = messages[0] if messages else None
            if first is not None and first.headed:
                if first.status >= 200:
                    return first
                if first.complete:
                    messages.popleft()
                    continue
            await self._wait()

    async def read(self, incoming: Incoming) -> bytes:
        """Wait for the next bytes of a body.

        Returns:
            The bytes, empty at the end of a complete body.

        Raises:
            ConnectionBroken: If the body ended early.
        """
        while True:
            data = incoming.take_body()
            if data:
                self._resume()
                return data
            if incoming.complete:
                return b""
            await self._wait()

    def done(self, answer: Incoming) -> bool:
        """Drop an answer that was read to its end.

        Returns:
            False if bytes of it were not taken.
        """
        if answer.body or not self._receiver.messages:
            return False
        self._receiver.messages.popleft()
        return True

    def close(self) -> None:
        """End the connection; the endpoint then stops working on its request."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self) -> None:
        if self._broken is not None:
            raise ConnectionBroken(self._broken)
        self._changed.clear()
        await self._changed.wait()

    def _pause(self) -> None:
        if not self._paused and self._transport is not None and not self._ended:
            self._paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._paused and self._transport is not None and not self._ended:
            self._paused = False
            self._transport.resume_reading()


@dataclass(frozen=True, slots=True)
class ConnectLimits:
    """Limits on the connections to endpoints.

    Attributes:
        connect_s: Longest wait for a connection, in seconds.
        idle_per_endpoint: Largest number of idle connections kept to one address.
    """

    connect_s: float = 0.3
    idle_per_endpoint: int = 4


class ConnectionPool:
    """Makes connections and keeps idle ones for requests that may be repeated.

    A request that may run only once gets a new connection: a kept one may end at the moment at
    which the request is sent, and nobody then knows whether it ran.

    Args:
        limits: Limits on the connections.
    """

    def __init__(self, limits: ConnectLimits | None = None) -> None:
        self._limits = limits or ConnectLimits()
        self._idle: dict[str, list[HttpConnection]] = {}
        self.opened = 0

    async def get(self, address: str, fresh: bool) -> HttpConnection:
        """Return a connection to an address.

        Args:
            address: ``IP:port``.
            fresh: True to make a new one.

        Raises:
            ConnectionFailed: If none was made.
        """
        if not fresh:
            kept = self._take(address)
            if kept is not None:
                return kept
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._limits.connect_s):
                _, conn = await loop.create_connection(HttpConnection, host.strip("[]"), int(port))
        except (OSError, TimeoutError) as exc:
            reason = str(exc) or f"no answer within {self._limits.connect_s:g} s"
            raise ConnectionFailed(f"cannot connect to {address}: {reason}") from exc
        self.opened += 1
        return conn

    def put(self, address: str, conn: HttpConnection, answer: Incoming) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        kept = self._idle.setdefault(address, [])
        if (
            not answer.keep_alive
            or not answer.framed
            or not conn.clean
            or not conn.flushed
            or len(kept) >= self._limits.idle_per_endpoint
        ):
            conn.close()
            return
        conn.idle_until = asyncio.get_running_loop().time() + _idle_s(answer)
        kept.append(conn)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address, which now may be another endpoint's."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _take(self, address: str) -> HttpConnection | None:
        kept = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while kept:
            conn = kept.pop()
            if conn.clean and now < conn.idle_until:
                return conn
            conn.close()
        return None


def _idle_s(answer: Incoming) -> float:
    """Return how long a connection may be kept after an answer, in seconds."""
    value = answer.header(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, number = item.partition(b"=")
        if name.strip().lower() == b"timeout":
            with contextlib.suppress(ValueError):
                return min(MAX_IDLE_S, float(number) * IDLE_SHARE)
    return DEFAULT_IDLE_S


def _watch_host(sock: socket.socket) -> None:
    """Set the options that show a host which is gone without a reset."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
