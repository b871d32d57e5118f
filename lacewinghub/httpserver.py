"""HTTP/1.1 server for requests that are passed on unchanged."""

import asyncio
from collections import Counter

from .client_bounds import (
    CONNECTION_BYTES,
    CROWDED_SHARE,
    LINGER_SHARE,
    ClientGuard,
    choose_closed,
    closed_at_once,
)
from .clientconnection import ClientConnection, ConnectionOwner
from .httphandler import HttpHandler, HttpLimits

__all__ = ["ClientConnection", "HttpHandler", "HttpLimits", "HttpServer"]

BACKLOG = 1024
# Size of the buffer into which all connections of a server read.
READ_BYTES = 64 * 1024
# Interval of the search for bodies that arrive too slowly, in seconds.
SWEEP_S = 1.0
# After a search for connections to close that found few, the next one waits this long.
SEARCH_PAUSE_S = 0.1


class HttpServer(ConnectionOwner):
    """Listens on one address and passes the requests to a handler.

    Args:
        handler: Handles the requests.
        guard: Limits the clients, together with those of other servers.

    Attributes:
        connections: Open connections.
        buffer: Buffer into which the connections read.
    """

    def __init__(self, handler: HttpHandler, guard: ClientGuard | None = None) -> None:
        self.handler = handler
        self.guard = guard or ClientGuard()
        self.connections: set[ClientConnection] = set()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._addresses: Counter[str] = Counter()
        self._lingering: set[ClientConnection] = set()
        self._search_after = float("-inf")
        self._sweep_timer: asyncio.TimerHandle | None = None
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
        self.guard.budget.add_holders(lambda: self.connections)
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)
        return self._server.sockets[0].getsockname()[1]

    def admit(self, conn: ClientConnection) -> bool:
        """Add a new connection; others may be closed in its favour. See ``ConnectionOwner``."""
        bounds = self.guard.bounds
        if self._is_address_full(conn.address):
            self._make_room(conn.address)
        elif bounds.total is not None and len(self.connections) >= bounds.total:
            self._make_room("")
        is_full = bounds.total is not None and len(self.connections) >= bounds.total
        if is_full or self._is_address_full(conn.address):
            self.guard.refusals.add("refused_no_connection", conn.address)
            return False
        self.connections.add(conn)
        self.guard.connections += 1
        self._addresses[conn.address] += 1
        self.guard.budget.charge(conn, CONNECTION_BYTES)
        return True

    def lingers(self, conn: ClientConnection) -> bool:
        """Tell whether a refused connection stays open; see ``ConnectionOwner``."""
        total = self.guard.bounds.total or 0
        if len(self._lingering) >= LINGER_SHARE * total:
            return False
        self._lingering.add(conn)
        return True

    def forget(self, conn: ClientConnection) -> None:
        """Remove a connection and release what it holds."""
        self._lingering.discard(conn)
        if conn not in self.connections:
            return
        self.guard.budget.charge(conn, 0)
        self.connections.discard(conn)
        self.guard.connections -= 1
        self._addresses[conn.address] -= 1
        if not self._addresses[conn.address]:
            del self._addresses[conn.address]

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in list(self.connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._server.close()
        self._server = None
        for conn in list(self.connections):
            conn.close()

    def _is_address_full(self, address: str) -> bool:
        """Tell whether an address has all the connections that it may have beside others."""
        limit = self.guard.bounds.per_address
        # A single address, as that of a balancer, takes nothing from others.
        return limit is not None and len(self._addresses) > 1 and self._addresses[address] >= limit

    def _make_room(self, address: str) -> None:
        """Close connections that are not in use, of one address or of all."""
        now = asyncio.get_running_loop().time()
        if now < self._search_after:
            return
        conns = list(self.connections)
        number = closed_at_once(self._addresses[address] if address else len(conns))
        chosen = choose_closed([conn.state(now) for conn in conns], number, address)
        if 2 * len(chosen) < number:
            self._search_after = now + SEARCH_PAUSE_S
        for index in chosen:
            conns[index].make_room()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)
        total = self.guard.bounds.total
        crowded = total is not None and len(self.connections) > total * CROWDED_SHARE
        if crowded or self.guard.budget.strained:
            for conn in list(self.connections):
                conn.refuse_if_slow(loop.time())
        self.guard.release_memory()
