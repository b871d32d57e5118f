"""Open connections of the clients of one server, kept within the bounds of the process.

Each server of the process has a registry; all registries share one ``ClientGuard``. What a
connection speaks, and which library carries its bytes, makes no difference here.
"""

import asyncio
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

from .client_bounds import (
    CONNECTION_BYTES,
    CROWDED_SHARE,
    LINGER_SHARE,
    ClientGuard,
    OpenConnection,
    choose_closed,
    closed_at_once,
)
from .memory_budget import Holder

# Interval of the search for clients that send too slowly, in seconds.
SWEEP_S = 1.0
# Time for a client to read the error response to a request that was refused before its end: since
# it last sent something, and at most in all.
LINGER_S = 0.5
MAX_LINGER_S = 3.0
# After a search for connections to close that found few, the next one waits this long.
SEARCH_PAUSE_S = 0.1


class GuardedConnection(Holder):
    """Connection of a client, as its registry sees it.

    Attributes:
        address: IP address of the client.
    """

    address: str = ""

    @abstractmethod
    def state(self, now: float) -> OpenConnection:
        """Return what decides whether the connection is closed in favour of a new one."""

    @abstractmethod
    def make_room(self) -> None:
        """Close the connection in favour of a new one; a request that is arriving is refused."""

    @abstractmethod
    def refuse_if_slow(self, now: float) -> None:
        """Refuse a body that arrives too slowly for a strained or crowded process."""

    def end_if_stalled(self, now: float) -> None:
        """End a request or an answer whose client does nothing; for those without own timers."""


async def until_client_stops(discarded: Callable[[], int]) -> None:
    """Wait until a refused client has stopped sending, ``MAX_LINGER_S`` at most.

    Closing with unread bytes would reset the connection before the client reads the response.

    Args:
        discarded: Returns the number of bytes that were thrown away.
    """
    loop = asyncio.get_running_loop()
    latest, seen = loop.time() + MAX_LINGER_S, -1
    while discarded() != seen and loop.time() < latest:
        seen = discarded()
        await asyncio.sleep(LINGER_S)


Conn = TypeVar("Conn", bound=GuardedConnection)


class ClientRegistry(Generic[Conn]):
    """Admits the connections of one server and closes some when there are too many.

    Args:
        guard: Limits the clients of all servers of the process.

    Attributes:
        guard: The same.
        connections: Open connections.
    """

    def __init__(self, guard: ClientGuard) -> None:
        self.guard = guard
        self.connections: set[Conn] = set()
        self._addresses: Counter[str] = Counter()
        self._lingering: set[Conn] = set()
        self._search_after = float("-inf")
        self._sweep_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look for slow clients, and offer the connections to the memory budget."""
        self.guard.budget.add_holders(lambda: self.connections)
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_S, self._on_sweep_timer)

    def stop(self) -> None:
        """Look for slow clients no longer; open connections stay open."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None

    def admit(self, conn: Conn) -> bool:
        """Add a new connection; others may be closed in its favour.

        Returns:
            False if there is no room for it.
        """
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

    def lingers(self, conn: Conn) -> bool:
        """Tell whether a refused connection stays open until its client has read the refusal."""
        total = self.guard.bounds.total or 0
        if len(self._lingering) >= LINGER_SHARE * total:
            return False
        self._lingering.add(conn)
        return True

    def forget(self, conn: Conn) -> None:
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

    def sweep(self) -> None:
        """End stalled requests, refuse slow clients of a strained process, and give memory back."""
        now = asyncio.get_running_loop().time()
        for conn in list(self.connections):
            conn.end_if_stalled(now)
        total = self.guard.bounds.total
        crowded = total is not None and len(self.connections) > total * CROWDED_SHARE
        if crowded or self.guard.budget.strained:
            for conn in list(self.connections):
                conn.refuse_if_slow(now)
        self.guard.release_memory()

    def _on_sweep_timer(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_S, self._on_sweep_timer)
        self.sweep()

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
