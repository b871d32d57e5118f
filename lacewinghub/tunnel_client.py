"""Opens tunnels: connections to endpoints through other nodes; see ``tunnel``."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from loguru import logger

from .client_sockets import limit_receive_buffer
from .connector import ProtocolT
from .errors import LacewingError
from .httpclient import RECEIVE_BYTES, enable_dead_host_detection
from .tunnel import (
    HANDSHAKE_S,
    HELLO_BYTES,
    MAGIC,
    Frame,
    FrameDecoder,
    FrameKind,
    RefusalReason,
    Statement,
    StatementSender,
    TunnelError,
    TunnelLost,
    TunnelRefusal,
    encode_body,
    encode_data,
    parse_refusal,
    sign,
)

# An endpoint to which the other node connects for longer than this counts as not reached, and so
# does a node that does not answer for that long.
OPEN_S = 0.6


class TunnelRefused(LacewingError):
    """The other node opened no tunnel, or could not be reached; nothing was sent.

    Attributes:
        reason: What the other node answered; None if it did not answer.
        refusal: Its whole answer.
    """

    code, status = "tunnel_refused", 502

    def __init__(self, node: str, refusal: TunnelRefusal | None) -> None:
        self.refusal = refusal
        self.reason: RefusalReason | None = None if refusal is None else refusal.reason
        super().__init__(f"no tunnel through node {node!r}: {self.reason or 'no answer'}")


class TunnelTransport(asyncio.Transport, StatementSender):
    """The tunnel as its protocol sees it: a connection to the endpoint.

    Args:
        conn: The tunnel's own connection.
        node: Node through which it goes.
    """

    def __init__(self, conn: "_ClientConnection", node: str) -> None:
        super().__init__({"via": node, "tunnel": self})
        self._conn = conn

    def write(self, data: Any) -> None:
        """Send data to the endpoint."""
        self._conn.send_data(data)

    def abort(self) -> None:
        """Close the tunnel, and with it the connection of the endpoint."""
        self._conn.abort()

    def close(self) -> None:
        """Close the tunnel; HTTP connections do not need their data to be flushed."""
        self._conn.abort()

    def is_closing(self) -> bool:
        """Return whether the tunnel has ended."""
        return self._conn.has_ended

    def pause_reading(self) -> None:
        """Receive nothing until ``resume_reading``; the endpoint is slowed down."""
        if not self._conn.has_ended:
            self._conn.tcp.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        if not self._conn.has_ended:
            self._conn.tcp.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return self._conn.tcp.get_write_buffer_size()

    def send_statement(self, statement: Statement) -> None:
        """Tell the other node what the endpoint stated."""
        self._conn.send_statement(statement)


class _ClientConnection(asyncio.Protocol):
    """The tunnel's own connection, at the node that opens it."""

    def __init__(self, key: bytes, own: str, node: str, endpoint: str, address: str) -> None:
        self.tcp: asyncio.Transport
        self.has_ended = False
        self.answer: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        self._key = key
        self._own, self._node = own, node
        self._endpoint, self._address = endpoint, address
        self._hello = bytearray()
        self._decoder = FrameDecoder()
        self._protocol: asyncio.Protocol | None = None
        # Frames that came together with the answer, before there was a protocol.
        self._early: list[Frame] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.tcp = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        enable_dead_host_detection(sock)
        limit_receive_buffer(sock, RECEIVE_BYTES)

    def data_received(self, data: bytes) -> None:
        try:
            if len(self._hello) < HELLO_BYTES:
                data = self._read_hello(data)
            for frame in self._decoder.feed(data):
                self._on_frame(frame)
                if self.has_ended:
                    return
        except TunnelError as exc:
            logger.bind(via=self._node).warning("tunnel closed: {}", exc.message)
            self._end(TunnelLost(exc.message))

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(TunnelLost(f"the tunnel through node {self._node!r} ended: {exc or 'closed'}"))

    def attach(self, protocol: asyncio.Protocol) -> None:
        """Give the open tunnel to a protocol."""
        self._protocol = protocol
        protocol.connection_made(TunnelTransport(self, self._node))
        early, self._early = self._early, []
        for frame in early:
            if not self.has_ended:
                self._on_frame(frame)
        if not self.has_ended:
            self.tcp.resume_reading()

    def send_data(self, data: bytes | bytearray) -> None:
        if not self.has_ended:
            self.tcp.writelines(encode_data(data))

    def send_statement(self, statement: Statement) -> None:
        if not self.has_ended:
            self.tcp.write(encode_body(FrameKind.STATEMENT, statement))

    def abort(self) -> None:
        """Close at once; the protocol is told in the next loop iteration, as by any transport."""
        if not self.has_ended:
            asyncio.get_running_loop().call_soon(self._tell_end, self._take_protocol(), None)
        self._end(None)

    def _read_hello(self, data: bytes) -> bytes:
        """Answer the nonce; return the bytes that follow it."""
        missing = HELLO_BYTES - len(self._hello)
        self._hello += data[:missing]
        if len(self._hello) == HELLO_BYTES:
            if not self._hello.startswith(MAGIC):
                raise TunnelError("no tunnel port")
            nonce = bytes(self._hello[len(MAGIC) :])
            request = sign(self._key, nonce, self._own, self._endpoint, self._address)
            self.tcp.write(encode_body(FrameKind.OPEN, request))
        return data[missing:]

    def _on_frame(self, frame: Frame) -> None:
        if not self.answer.done():
            if frame.kind not in (FrameKind.OPENED, FrameKind.REFUSED):
                raise TunnelError(f"a frame of kind {frame.kind.name} in place of an answer")
            self.answer.set_result(frame)
            # Nothing may arrive before the protocol is attached.
            self.tcp.pause_reading()
        elif self._protocol is None:
            self._early.append(frame)
        elif frame.kind is FrameKind.DATA:
            self._protocol.data_received(frame.data)
        elif frame.kind is FrameKind.ENDED:
            self._end(None)
        elif frame.kind is FrameKind.BROKEN:
            self._end(ConnectionResetError("the endpoint's connection was reset"))
        elif frame.kind is FrameKind.SILENT:
            self._end(TimeoutError("the endpoint's connection timed out"))
        else:
            raise TunnelError(f"an unexpected frame of kind {frame.kind.name}")

    def _end(self, exc: Exception | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.tcp.abort()
        if not self.answer.done():
            self.answer.cancel()
        self._tell_end(self._take_protocol(), exc)

    def _take_protocol(self) -> asyncio.Protocol | None:
        protocol, self._protocol = self._protocol, None
        return protocol

    @staticmethod
    def _tell_end(protocol: asyncio.Protocol | None, exc: Exception | None) -> None:
        if protocol is not None:
            protocol.connection_lost(exc)


class TunnelClient:
    """Opens tunnels.

    Args:
        key: Shared secret of the nodes.
        node: Name of this node.

    Attributes:
        opened: Number of tunnels that were opened.
    """

    def __init__(self, key: bytes, node: str) -> None:
        self.opened = 0
        self._key = key
        self._node = node
        self._open: set[_ClientConnection] = set()

    @property
    def open_tunnels(self) -> int:
        """Number of open tunnels."""
        self._open = {conn for conn in self._open if not conn.has_ended}
        return len(self._open)

    async def open(
        self,
        factory: Callable[[], ProtocolT],
        via: str,
        tunnel_address: str,
        endpoint: str,
        address: str,
        timeout_s: float = OPEN_S,
    ) -> ProtocolT:
        """Open a tunnel.

        Args:
            factory: Creates the protocol that uses the tunnel.
            via: Name of the other node.
            tunnel_address: Address of its tunnel port, ``IP:port``.
            endpoint: Name of the endpoint.
            address: Address of the endpoint, ``IP:port``.
            timeout_s: Time for all of it, in seconds.

        Raises:
            TunnelRefused: If there is no tunnel; nothing was sent to the endpoint.
        """
        host, _, port = tunnel_address.rpartition(":")
        conn = _ClientConnection(self._key, self._node, via, endpoint, address)
        try:
            async with asyncio.timeout(min(timeout_s, HANDSHAKE_S)):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: conn, host.strip("[]"), int(port))
                answer = await _answer_of(conn)
            if answer.kind is FrameKind.REFUSED:
                raise TunnelRefused(via, parse_refusal(answer))
            if conn.has_ended:
                raise TunnelRefused(via, None)
        except (OSError, TimeoutError, TunnelError) as exc:
            _discard(conn)
            raise TunnelRefused(via, None) from exc
        except BaseException:
            _discard(conn)
            raise
        protocol = factory()
        conn.attach(protocol)
        self.opened += 1
        self._open.add(conn)
        return protocol


async def _answer_of(conn: _ClientConnection) -> Frame:
    """Wait for the answer to the request for a tunnel.

    Raises:
        TunnelError: If the connection ended without one.
    """
    await asyncio.wait((conn.answer,))
    if conn.answer.cancelled():
        raise TunnelError("the connection ended during the handshake")
    return conn.answer.result()


def _discard(conn: _ClientConnection) -> None:
    if hasattr(conn, "tcp"):
        conn.abort()
