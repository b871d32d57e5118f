"""Serves tunnels: connects other nodes to endpoints over the links of this node; see ``tunnel``."""

import asyncio
import os
from abc import ABC, abstractmethod
from typing import cast

from loguru import logger

from .client_sockets import bind, limit_receive_buffer
from .connector import ConnectionFailed, ConnectionProtocol, Connector
from .httpclient import RECEIVE_BYTES, enable_dead_host_detection
from .tunnel import (
    HANDSHAKE_S,
    HIGH_WATER_BYTES,
    MAGIC,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    NONCE_BYTES,
    Frame,
    FrameDecoder,
    FrameKind,
    OpenRequest,
    RefusalReason,
    Statement,
    TunnelError,
    TunnelRefusal,
    encode_data,
    encode_frame,
    parse_open,
    parse_statement,
)

MAX_TUNNELS = 256
# Share of the process's descriptors that tunnels may use, with two of them each.
DESCRIPTOR_SHARE = 0.2
DESCRIPTORS_PER_TUNNEL = 2
# Connections in their handshake, beside the tunnels.
MAX_HANDSHAKES = 64
CONNECT_S = 0.3
BACKLOG = 256
# The other node reads nothing while its caller does not read; the system's time-out for a dead host
# counts this time, too.
UNREAD_TIMEOUT_MS = 60_000


class TunnelTargets(ABC):
    """The endpoints to which this node opens tunnels."""

    @abstractmethod
    def refusal(self, endpoint: str, address: str) -> TunnelRefusal | None:
        """Return why no tunnel to an endpoint may be opened now, or None."""

    @abstractmethod
    def explain(self, address: str, exc: ConnectionFailed) -> RefusalReason:
        """Return why the endpoint at an address was not reached directly."""

    @abstractmethod
    def on_statement(self, endpoint: str, statement: Statement) -> None:
        """Take over what an endpoint stated to another node."""


class TunnelServer:
    """Listens for other nodes and opens tunnels for them.

    Args:
        key: Shared secret of the nodes.
        targets: The endpoints.
        connector: Opens direct connections, so that a tunnel never leads through another one.
        max_descriptors: Descriptors that the process may have; None if unknown.

    Attributes:
        limit: Largest number of tunnels at a time.
        served: Number of tunnels that were opened since the start.
    """

    def __init__(
        self,
        key: bytes,
        targets: TunnelTargets,
        connector: Connector,
        max_descriptors: int | None = None,
    ) -> None:
        self.limit = MAX_TUNNELS
        if max_descriptors is not None:
            share = int(DESCRIPTOR_SHARE * max_descriptors) // DESCRIPTORS_PER_TUNNEL
            self.limit = min(MAX_TUNNELS, share)
        self.served = 0
        self._key = key
        self._targets = targets
        self._connector = connector
        self._connections: set[_ServerConnection] = set()
        self._stopping = False
        self._server: asyncio.Server | None = None

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels that are open or being opened."""
        return sum(conn.is_tunnel for conn in self._connections)

    @property
    def room(self) -> int:
        """Number of further tunnels that this node would open."""
        return 0 if self._stopping else max(0, self.limit - self.open_tunnels)

    async def start(self, host: str, port: int) -> int:
        """Listen on an address; port 0 stands for a free one.

        Returns:
            The port.

        Raises:
            OSError: If the address cannot be bound.
        """
        sock = bind(host, port, None)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(self), sock=sock, backlog=BACKLOG
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_accepting(self) -> None:
        """Open no further tunnels; open ones go on to their ends."""
        self._stopping = True

    async def close(self) -> None:
        """Stop listening and break all tunnels."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.abort()

    def admit(self, conn: "_ServerConnection") -> bool:
        """Add a connection, unless too many are in their handshake."""
        handshakes = sum(not item.is_tunnel for item in self._connections)
        if handshakes >= MAX_HANDSHAKES:
            return False
        self._connections.add(conn)
        return True

    def remove(self, conn: "_ServerConnection") -> None:
        """Remove a connection that has ended."""
        self._connections.discard(conn)

    def parse_request(self, nonce: bytes, frame: Frame) -> OpenRequest:
        """Decode a request; see ``tunnel.parse_open``."""
        return parse_open(self._key, nonce, frame)

    def refusal(self, req: OpenRequest) -> TunnelRefusal | None:
        """Return why a tunnel is refused, or None."""
        if self._stopping:
            return TunnelRefusal(reason=RefusalReason.STOPPING)
        if not self.room:
            return TunnelRefusal(reason=RefusalReason.NO_ROOM)
        return self._targets.refusal(req.endpoint, req.address)

    def explain(self, address: str, exc: ConnectionFailed) -> RefusalReason:
        """Return why an endpoint was not reached; see ``TunnelTargets``."""
        return self._targets.explain(address, exc)

    def on_statement(self, endpoint: str, statement: Statement) -> None:
        """Take over what an endpoint stated; see ``TunnelTargets``."""
        self._targets.on_statement(endpoint, statement)

    async def connect(self, req: OpenRequest, tunnel: "_ServerConnection") -> "_EndpointSide":
        """Connect to the endpoint of a tunnel.

        Raises:
            ConnectionFailed: If it accepts no connection.
        """
        return await self._connector.connect(
            lambda: _EndpointSide(tunnel), req.address, req.endpoint, CONNECT_S
        )


class _EndpointSide(ConnectionProtocol):
    """The connection to the endpoint of a tunnel."""

    def __init__(self, tunnel: "_ServerConnection") -> None:
        self.tcp: asyncio.Transport
        self._tunnel = tunnel
        self._aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.tcp = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_dead_host_detection(sock)
            limit_receive_buffer(sock, RECEIVE_BYTES)
        self.tcp.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        # Nothing is read before the other node knows that the tunnel is open.
        self.tcp.pause_reading()

    def data_received(self, data: bytes) -> None:
        self._tunnel.send(encode_data(data))

    def eof_received(self) -> bool:
        """Close the connection when the endpoint closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._aborted:
            return
        kind = FrameKind.ENDED if exc is None else FrameKind.BROKEN
        if isinstance(exc, TimeoutError):
            kind = FrameKind.SILENT
        self._tunnel.finish(kind)

    def pause_writing(self) -> None:
        self._tunnel.set_reading(False)

    def resume_writing(self) -> None:
        self._tunnel.set_reading(True)

    def set_reading(self, reading: bool) -> None:
        """Read from the endpoint, or pause."""
        if not self.tcp.is_closing():
            self.tcp.resume_reading() if reading else self.tcp.pause_reading()

    def close(self) -> None:
        """Close the connection, so that the endpoint cancels its request."""
        self._aborted = True
        self.tcp.abort()


class _ServerConnection(asyncio.Protocol):
    """The tunnel's own connection, at the node that serves it."""

    def __init__(self, server: TunnelServer) -> None:
        self.is_tunnel = False
        self._server = server
        self._tcp: asyncio.Transport
        self._nonce = os.urandom(NONCE_BYTES)
        self._decoder = FrameDecoder(MAX_HANDSHAKE_BYTES)
        self._req: OpenRequest | None = None
        self._opening: asyncio.Task[None] | None = None
        self._endpoint: _EndpointSide | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._tcp = cast(asyncio.Transport, transport)
        if not self._server.admit(self):
            self._tcp.abort()
            return
        sock = transport.get_extra_info("socket")
        enable_dead_host_detection(sock, UNREAD_TIMEOUT_MS)
        limit_receive_buffer(sock, RECEIVE_BYTES)
        self._tcp.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._timer = asyncio.get_running_loop().call_later(HANDSHAKE_S, self.abort)
        self._tcp.write(MAGIC + self._nonce)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self._decoder.feed(data):
                if self._ended:
                    return
                self._on_frame(frame)
        except TunnelError as exc:
            peer = self._tcp.get_extra_info("peername")
            logger.bind(peer=str(peer)).warning("tunnel refused: {}", exc.message)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()
        self._server.remove(self)

    def pause_writing(self) -> None:
        if self._endpoint is not None:
            self._endpoint.set_reading(False)

    def resume_writing(self) -> None:
        if self._endpoint is not None:
            self._endpoint.set_reading(True)

    def set_reading(self, reading: bool) -> None:
        """Read from the other node, or pause."""
        if not self._ended and not self._tcp.is_closing():
            self._tcp.resume_reading() if reading else self._tcp.pause_reading()

    def send(self, frames: list[bytes]) -> None:
        """Send frames to the other node."""
        if not self._ended:
            self._tcp.writelines(frames)

    def finish(self, kind: FrameKind, data: bytes = b"") -> None:
        """Send a last frame and close once it is sent."""
        if self._ended:
            return
        self._tcp.write(encode_frame(kind, data))
        self._end()
        self._tcp.close()

    def abort(self) -> None:
        """Close both sides at once."""
        self._end()
        self._tcp.abort()

    def _end(self) -> None:
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._endpoint is not None:
            self._endpoint.close()

    def _on_frame(self, frame: Frame) -> None:
        if self._req is None:
            self._on_request(self._server.parse_request(self._nonce, frame))
        elif self._endpoint is None:
            raise TunnelError(f"a frame of kind {frame.kind.name} before the tunnel is open")
        elif frame.kind is FrameKind.DATA:
            self._endpoint.tcp.write(frame.data)
        elif frame.kind is FrameKind.STATEMENT:
            self._server.on_statement(self._req.endpoint, parse_statement(frame))
        else:
            raise TunnelError(f"an unexpected frame of kind {frame.kind.name}")

    def _on_request(self, req: OpenRequest) -> None:
        self._req = req
        refusal = self._server.refusal(req)
        if refusal is not None:
            self._refuse(refusal)
            return
        self.is_tunnel = True
        self._decoder.limit = MAX_FRAME_BYTES
        self._opening = asyncio.get_running_loop().create_task(self._open(req))

    async def _open(self, req: OpenRequest) -> None:
        try:
            endpoint = await self._server.connect(req, self)
        except ConnectionFailed as exc:
            self._opening = None
            self._refuse(TunnelRefusal(reason=self._server.explain(req.address, exc)))
            return
        self._opening = None
        if self._ended:
            endpoint.close()
            return
        if self._timer is not None:
            self._timer.cancel()
        self._endpoint = endpoint
        self._server.served += 1
        logger.bind(node=req.node, endpoint=req.endpoint).debug("tunnel opened")
        self.send([encode_frame(FrameKind.OPENED)])
        endpoint.set_reading(True)

    def _refuse(self, refusal: TunnelRefusal) -> None:
        self.finish(FrameKind.REFUSED, refusal.model_dump_json().encode())
