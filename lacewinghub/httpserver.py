"""HTTP/1.1 server for requests that are passed on unchanged."""

import asyncio

from . import client_sockets
from .client_bounds import ClientGuard
from .client_registry import ClientRegistry
from .clientconnection import ClientConnection, ConnectionOwner
from .httphandler import HttpHandler, HttpLimits

__all__ = ["ClientConnection", "HttpHandler", "HttpLimits", "HttpServer"]

BACKLOG = 1024
# Size of the buffer into which all connections of a server read.
READ_BYTES = 64 * 1024


class HttpServer(ConnectionOwner):
    """Listens on one address and passes the requests to a handler.

    Args:
        handler: Handles the requests.
        guard: Limits the clients, together with those of other servers.

    Attributes:
        registry: Admits the connections.
        buffer: Buffer into which the connections read.
    """

    def __init__(self, handler: HttpHandler, guard: ClientGuard | None = None) -> None:
        self.handler = handler
        self.registry: ClientRegistry[ClientConnection] = ClientRegistry(guard or ClientGuard())
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._server: asyncio.Server | None = None

    @property
    def guard(self) -> ClientGuard:
        """Limits the clients."""
        return self.registry.guard

    @property
    def connections(self) -> set[ClientConnection]:
        """Open connections."""
        return self.registry.connections

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
        sock = client_sockets.bind(host, port, self.guard.receive_bytes)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self), sock=sock, backlog=BACKLOG
        )
        self.registry.start()
        return self._server.sockets[0].getsockname()[1]

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in list(self.connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self.registry.stop()
        self._server.close()
        self._server = None
        for conn in list(self.connections):
            conn.close()
