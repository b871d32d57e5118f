"""One connection between two nodes, and its TLS certificates."""

import asyncio
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from .errors import SettingsInvalid
from .message import MAX_MESSAGE_BYTES
from .transport import Peer

QUEUE_MESSAGES = 1024
QUEUE_BYTES = 2 * MAX_MESSAGE_BYTES


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Certificate files in PEM format; both ends present a certificate signed by ``ca``."""

    certificate: str
    key: str
    ca: str

    def context(self, server: bool) -> ssl.SSLContext:
        """Build the TLS context of one end.

        Args:
            server: True for the accepting end.

        Returns:
            A context that requires a certificate of the other end. Host names are not checked,
            because nodes are addressed by IP address and the certificate authority is private.

        Raises:
            SettingsInvalid: If a file cannot be read or is not a valid certificate or key.
        """
        ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        ctx.minimum_version = ssl.TLSVersion.TLSv1_3
        ctx.check_hostname = False
        ctx.verify_mode = ssl.CERT_REQUIRED
        try:
            ctx.load_cert_chain(self.certificate, self.key)
            ctx.load_verify_locations(self.ca)
        except OSError as exc:
            files = f"{self.certificate!r}, {self.key!r}, {self.ca!r}"
            raise SettingsInvalid(
                f"peer_tls: {exc}: one of {files}",
                key="peer_tls",
                allowed="a certificate, its key and the authority's certificate in PEM format",
            ) from exc
        return ctx


class PeerLink:
    """An authenticated connection to a peer, with a bounded send queue.

    Args:
        conn: Connection after the handshake.
        peer: The other end.
        dialler: Identifier of the node that opened the connection.
        on_demand: True for a connection that is closed when it is idle.

    Attributes:
        heartbeat_fields: Number of fields in the heartbeats of the peer; None before the first one.
    """

    def __init__(self, conn: Connection, peer: Peer, dialler: str, on_demand: bool = False) -> None:
        self.heartbeat_fields: int | None = None
        self.peer = peer
        self.dialler = dialler
        self.on_demand = on_demand
        self.closed = asyncio.Event()
        self._conn = conn
        self._loop = asyncio.get_running_loop()
        self.last_received = self.last_used = self._loop.time()
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._finishing = False

    @property
    def subprotocol(self) -> str | None:
        """WebSocket subprotocol that both ends know."""
        return self._conn.subprotocol

    def push(self, data: bytes) -> bool:
        """Queue an encoded message.

        Returns:
            False if the queue is full or the connection is closed; the message is dropped.
        """
        size = self._queued_bytes + len(data)
        if self.closed.is_set() or len(self._queue) >= QUEUE_MESSAGES or size > QUEUE_BYTES:
            return False
        self._queue.append(data)
        self._queued_bytes = size
        self.last_used = self._loop.time()
        self._wake.set()
        return True

    async def run(self, receive: Callable[["PeerLink", bytes], None]) -> None:
        """Send and receive messages until the connection is closed.

        Args:
            receive: Called with this object and the bytes of each received message.

        Raises:
            PeerRejected: If ``receive`` raised it.
        """
        writer = asyncio.create_task(self._write())
        try:
            while True:
                data = await self._conn.recv(decode=False)
                self.last_received = self.last_used = self._loop.time()
                receive(self, bytes(data))
        except ConnectionClosed:
            return
        finally:
            writer.cancel()
            self.abort()

    def finish(self) -> None:
        """Close the connection after the queued messages have been sent."""
        self._finishing = True
        self._wake.set()

    def abort(self) -> None:
        """Close the connection at once, without waiting for the other end, which may be frozen."""
        self.closed.set()
        self._conn.transport.abort()

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    data = self._queue.popleft()
                    self._queued_bytes -= len(data)
                    await self._conn.send(data)
                if self._finishing:
                    await self._conn.close()
        except ConnectionClosed:
            self.abort()
