"""HTTP/1.1 connections to endpoints, for requests that are passed on unchanged.

A connection carries one request at a time. It is not reused after surplus bytes from the endpoint.
"""

import asyncio
import contextlib
import socket
import weakref
from dataclasses import dataclass
from typing import cast

import httptools

from .client_sockets import limit_receive_buffer
from .connector import ConnectionFailed, ConnectionProtocol, Connector, DirectConnector
from .errors import LacewingError
from .httpmessage import Incoming, MessageReceiver
from .tunnel import StatementSender, TunnelLost

__all__ = [
    "ConnectLimits",
    "ConnectionBroken",
    "ConnectionFailed",
    "ConnectionPool",
    "HttpConnection",
    "enable_dead_host_detection",
]

# With this many unread bytes the connection pauses reading, which slows the endpoint down.
HIGH_WATER_BYTES = 64 * 1024
# Size of the receive buffer in the kernel, which would grow to megabytes while nothing is read.
RECEIVE_BYTES = 64 * 1024
# A connection on which more responses than this wait to be read is closed.
MAX_RESPONSES = 4
# Largest number of interim responses (1xx) to one request.
MAX_INTERIM = 8
# Interim statuses in use; 101 would answer a request to change the protocol, which is never sent.
INTERIM_STATUSES = frozenset((100, 102, 103))
# Keep-alive probes detect a dead host within about four seconds.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 3
USER_TIMEOUT_MS = 4_000
# A connection without a byte for this long is given up while the links are known to be silent.
SILENT_S = 0.3
# An idle connection is reused only in this share of the time after which its endpoint closes it.
IDLE_SHARE = 0.5
# For endpoints that do not state for how long they keep an idle connection.
DEFAULT_IDLE_S = 1.0
MAX_IDLE_S = 10.0


class ConnectionBroken(LacewingError):
    """The connection ended early or carried an invalid response.

    ``details`` may contain ``ended`` (the endpoint or its host ended it), ``lost`` (it was not this
    node that ended it) and ``lost_tunnel`` (the tunnel broke that carried it).
    """

    code, status = "connection_broken", 502


class HttpConnection(ConnectionProtocol):
    """One connection to an endpoint.

    Attributes:
        idle_until: Loop time until which it may be reused, in seconds.
        reused: True if earlier requests were sent on it.
        expects_body: False if the current request is HEAD, whose response has no body.
        via: Node through which it goes; empty if it is direct.
        may_give_up: True while another endpoint may take over the request.
    """

    def __init__(self) -> None:
        self.idle_until = 0.0
        self.reused = False
        self.expects_body = True
        self.via = ""
        self.may_give_up = False
        self._active_at = 0.0
        self._transport: asyncio.Transport | None = None
        self._receiver = MessageReceiver()
        self._parser = httptools.HttpResponseParser(self)
        self._changed = asyncio.Event()
        self._ended = False
        self._broken: str | None = None
        self._invalid_status: int | None = None
        self._peer_ended = False
        self._was_lost = self._lost_tunnel = False
        self._reading_paused = False
        self._closed = False
        self._pooled = False

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self._receiver.on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        last = self._receiver.messages[-1]
        last.status = self._parser.get_status_code()
        if last.status not in INTERIM_STATUSES and not 200 <= last.status < 600:
            self._invalid_status = last.status
            return  # The message stays without its headers, so that nobody reads it.
        last.headers_complete = True
        last.keep_alive = self._parser.should_keep_alive()
        names = {name for name, _ in last.headers}
        empty = last.status in (204, 304) or last.status < 200
        last.framed = empty or bool(names & {b"content-length", b"transfer-encoding"})
        if not self.expects_body:
            # The parser does not know the method and waits for the body that a length announces.
            last.complete = last.framed = True
            last.keep_alive = False

    def on_body(self, data: bytes) -> None:
        self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        self._receiver.on_message_complete()

    # Callbacks of the transport.
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of uvloop is not a subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.via = transport.get_extra_info("via", "")
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_dead_host_detection(sock)
            limit_receive_buffer(sock, RECEIVE_BYTES)

    def data_received(self, data: bytes) -> None:
        self._active_at = asyncio.get_running_loop().time()
        if self._broken is None:
            self._broken = "bytes without a request" if self._pooled else self._parse(data)
        if self._broken is not None:
            self.close()
        elif self._receiver.buffered > HIGH_WATER_BYTES:
            self._pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        """Close the connection when the endpoint closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # The parser and this object refer to each other, and cycles are collected rarely.
        del self._parser
        self._ended = True
        self._was_lost = self._was_lost or not self._closed
        self._lost_tunnel = isinstance(exc, TunnelLost)
        self._peer_ended = not self._closed and not isinstance(exc, TimeoutError | TunnelLost)
        if exc is None and not self._closed and self._broken is None and self._ends_with_connection:
            self._receiver.messages[-1].complete = True
        elif self._broken is None:
            self._broken = f"connection ended: {exc}" if exc else "connection ended"
        self._changed.set()

    @property
    def _ends_with_connection(self) -> bool:
        """True if the endpoint shows the end of the last response by closing the connection."""
        messages = self._receiver.messages
        return bool(messages) and messages[-1].headers_complete and not messages[-1].framed

    @property
    def is_open(self) -> bool:
        """True if neither side has ended the connection."""
        return not self._ended and not self._closed and self._broken is None

    @property
    def shows_end(self) -> bool:
        """True if the connection is open and would show at once that its endpoint has ended.

        Through a tunnel the end may come late, and while nothing is read it stays unnoticed.
        """
        return self.is_open and not self.via and not self._reading_paused

    @property
    def is_idle(self) -> bool:
        """True if the connection is open and has no unread messages."""
        return self.is_open and not self._receiver.messages

    @property
    def flushed(self) -> bool:
        """True if all bytes of the request were passed to the operating system."""
        return self._transport is not None and self._transport.get_write_buffer_size() == 0

    def send(self, data: bytes | bytearray) -> None:
        """Send a request or a part of it; the data must not change afterwards."""
        assert self._transport is not None
        self._active_at = asyncio.get_running_loop().time()
        self._transport.write(data)

    async def read_head(self) -> Incoming:
        """Wait for the headers of the next response; interim responses (1xx) are skipped.

        Raises:
            ConnectionBroken: If the connection ended early or carried an invalid response.
        """
        interim = 0
        while interim <= MAX_INTERIM:
            messages = self._receiver.messages
            first = messages[0] if messages else None
            if first is not None and first.headers_complete:
                if first.status >= 200:
                    return first
                if first.complete:
                    messages.popleft()
                    interim += 1
                    continue
            await self._wait()
        raise ConnectionBroken("too many interim responses")

    async def read_body(self, incoming: Incoming) -> bytes:
        """Wait for the next bytes of the body.

        Returns:
            The bytes, or empty bytes after the end of a complete body.

        Raises:
            ConnectionBroken: If the body ended early.
        """
        while True:
            data = incoming.take_body()
            if data:
                self._resume_reading()
                return data
            if incoming.complete:
                return b""
            await self._wait()

    def park(self, idle_until: float) -> None:
        """Keep the connection for another request; until ``unpark`` the endpoint may send nothing.

        Args:
            idle_until: Loop time until which it may be reused, in seconds.
        """
        self.idle_until = idle_until
        self._pooled = True

    def unpark(self) -> None:
        """Prepare the connection for the next request."""
        self._pooled = False

    def discard(self, response: Incoming) -> bool:
        """Remove a response that was read to its end.

        Returns:
            False if a part of its body was not read.
        """
        if response.body or not self._receiver.messages:
            return False
        self._receiver.messages.popleft()
        return True

    def give_up_if_silent(self) -> None:
        """Break the connection if its request can go on elsewhere and it has been silent."""
        silent_s = asyncio.get_running_loop().time() - self._active_at
        if not self.may_give_up or self._closed or self._ended or silent_s < SILENT_S:
            return
        self._broken = self._broken or "the connection is silent"
        self._was_lost = True
        self.close()
        self._changed.set()

    @property
    def tunnel(self) -> StatementSender | None:
        """What tells the node through which the connection goes; None if it is direct."""
        return None if self._transport is None else self._transport.get_extra_info("tunnel")

    def close(self) -> None:
        """Close the connection, so that the endpoint cancels its request."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _parse(self, data: bytes) -> str | None:
        """Parse received bytes; return why they are no valid response, or None."""
        self._receiver.count(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            return f"invalid response: {exc}"
        if self._invalid_status is not None:
            return f"invalid status {self._invalid_status}"
        self._receiver.settle()
        if len(self._receiver.messages) > MAX_RESPONSES:
            return "more responses than requests"
        if self._receiver.has_excessive_framing:
            return "headers, chunk extensions or trailers are too large"
        return None

    async def _wait(self) -> None:
        if self._broken is not None:
            raise ConnectionBroken(
                self._broken,
                ended=self._peer_ended,
                lost=self._was_lost,
                lost_tunnel=self._lost_tunnel,
            )
        self._changed.clear()
        await self._changed.wait()

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None and not self._ended:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None and not self._ended:
            self._reading_paused = False
            self._transport.resume_reading()


@dataclass(frozen=True, slots=True)
class ConnectLimits:
    """Limits on the connections to endpoints.

    Attributes:
        connect_s: Connect timeout in seconds.
        idle_per_endpoint: Largest number of idle connections per address.
    """

    connect_s: float = 0.3
    idle_per_endpoint: int = 4


class ConnectionPool:
    """Opens connections and keeps idle ones for repeatable requests.

    A request that may run only once always gets a new connection: the endpoint may close an idle
    one just when the request is sent, and it would be unknown whether it was executed.

    Args:
        limits: Limits on the connections.
        connector: Opens the connections.

    Attributes:
        opened: Number of connections that were opened.
        connector: Opens the connections.
    """

    def __init__(
        self, limits: ConnectLimits | None = None, connector: Connector | None = None
    ) -> None:
        self.connector = connector or DirectConnector()
        self._limits = limits or ConnectLimits()
        self._idle: dict[str, list[HttpConnection]] = {}
        self._direct: weakref.WeakSet[HttpConnection] = weakref.WeakSet()
        self.opened = 0

    async def get(self, address: str, fresh: bool, endpoint: str = "") -> HttpConnection:
        """Return a connection to an address.

        Args:
            address: ``IP:port``.
            fresh: True to open a new one.
            endpoint: Name of the endpoint; without it the connection is direct.

        Raises:
            ConnectionFailed: If no connection could be opened.
        """
        if not fresh:
            idle = self._take_idle(address)
            if idle is not None:
                return idle
        conn = await self.connector.connect(
            HttpConnection, address, endpoint, self._limits.connect_s
        )
        self.opened += 1
        if not conn.via:
            self._direct.add(conn)
        return conn

    async def is_reachable(
        self, address: str, endpoint: str = "", if_unknown: bool = False
    ) -> bool:
        """Return whether an address accepts a connection, which is closed again.

        Args:
            address: ``IP:port``.
            endpoint: Name of the endpoint; without it the connection is direct.
            if_unknown: Result if the links of this node explain that it was not reached.
        """
        try:
            conn = await self.get(address, fresh=True, endpoint=endpoint)
        except ConnectionFailed as exc:
            return if_unknown and bool(exc.details.get("blameless"))
        conn.close()
        return True

    def put(self, address: str, conn: HttpConnection, response: Incoming) -> None:
        """Keep a connection after its response was read, or close it if it is not reusable."""
        idle = self._idle.setdefault(address, [])
        if (
            not response.keep_alive
            or not response.framed
            or not conn.is_idle
            or not conn.flushed
            or not self.connector.is_usable(address, conn.via)
            or len(idle) >= self._limits.idle_per_endpoint
        ):
            conn.close()
            return
        conn.park(asyncio.get_running_loop().time() + _idle_s(response))
        idle.append(conn)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address, which another endpoint may use now."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close_unusable(self) -> None:
        """Close the idle connections that may not be used again."""
        for address, idle in self._idle.items():
            kept = [conn for conn in idle if self.connector.is_usable(address, conn.via)]
            for conn in idle:
                if conn not in kept:
                    conn.close()
            self._idle[address] = kept

    def give_up_silent(self) -> None:
        """Break the direct connections that are silent, if their requests can go on elsewhere."""
        for conn in list(self._direct):
            conn.give_up_if_silent()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _take_idle(self, address: str) -> HttpConnection | None:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            conn = idle.pop()
            usable = conn.is_idle and self.connector.is_usable(address, conn.via)
            if usable and now < conn.idle_until:
                conn.unpark()
                conn.reused = True
                return conn
            conn.close()
        return None


def _idle_s(response: Incoming) -> float:
    """Return for how long a connection may be reused after a response, in seconds."""
    value = response.header(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, number = item.partition(b"=")
        if name.strip().lower() == b"timeout":
            with contextlib.suppress(ValueError):
                return min(MAX_IDLE_S, float(number) * IDLE_SHARE)
    return DEFAULT_IDLE_S


def enable_dead_host_detection(sock: socket.socket, user_timeout_ms: int | None = None) -> None:
    """Set the socket options that detect a dead host, which sends no reset.

    Args:
        sock: The socket.
        user_timeout_ms: Time for which the other side may leave sent bytes unacknowledged, or read
            nothing while there are unsent ones; None stands for ``USER_TIMEOUT_MS``.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms or USER_TIMEOUT_MS)
