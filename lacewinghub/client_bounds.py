"""Bounds on the connections of clients and on how slowly or expensively they send."""

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from loguru import logger

from .allocator import map_large_blocks, release_free_memory
from .client_sockets import receive_buffer_bytes
from .httpclient import RECEIVE_BYTES as ENDPOINT_RECEIVE_BYTES
from .memory_budget import MB, MemoryBudget, budget_bytes

# Descriptors of a process that are kept for files.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for connections of clients. Each may have a connection to an
# endpoint, too; the rest is for idle connections to endpoints (4 each), the store and the peers.
CLIENT_SHARE = 0.4
MIN_CONNECTIONS = 16
# Connections to a server for readiness checks or metrics.
INTERNAL_CONNECTIONS = 32
# Share of the connections that one address may have. A load balancer may pass on all clients under
# one address, so that this only keeps an address from taking all of them.
ADDRESS_SHARE = 0.75
# Refused connections stay open until their clients have read the refusal, up to this share of the
# connections; more of them are closed at once, which resets those whose request has arrived.
LINGER_SHARE = 0.25
# Memory of an idle connection with its parser and its task is about 12 KB. The connections
# may use this share of the memory budget.
CONNECTION_BYTES = 16 * 1024
CONNECTION_MEMORY_SHARE = 0.25
# While a client does not read, the connection to the endpoint holds up to its high-water mark, one
# read of the event loop, and its receive buffer, which the kernel doubles.
ENDPOINT_BYTES = 64 * 1024 + 256 * 1024 + 2 * ENDPOINT_RECEIVE_BYTES
# A request may already be on the network for a connection that was opened or used this recently.
IDLE_BEFORE_CLOSE_S = 0.5
# Largest number of connections that are closed at once when there are too many, so that a crowd of
# new ones does not cost a search each. Of few connections only this share is closed, at least one.
CLOSED_AT_ONCE = 16
CLOSED_SHARE = 1 / 16
# Above this share of the largest number of connections, bodies that arrive slowly are refused.
CROWDED_SHARE = 0.5
# While the process is strained or crowded, a body must come within this time, and after the first
# seconds with this rate on average. At other times only the idle time-out applies.
BODY_TOTAL_S = 60.0
BODY_GRACE_S = 5.0
BODY_BYTES_PER_S = 4096
# After an expensive read, all such connections rest for this multiple of its time.
REST_FACTOR = 2.0
# Longest rest. Where so many connections take part that they would rest longer, they read again at
# the same time. It is well below the default idle time-out of 15 s: no client is late because the
# node does not read. A shorter idle time-out may end bodies that rest.
MAX_REST_S = 5.0
LOG_INTERVAL_S = 1.0
# Free memory is returned when this much less is held than before, and only so often: it stops the
# process while the allocator looks through the whole heap.
RELEASED_BYTES = 4 * MB
RELEASE_INTERVAL_S = 5.0
# Reasons for which clients are refused or their connections closed.
REASONS = (
    "refused_for_memory",
    "refused_slow_body",
    "refused_no_connection",
    "closed_answer_not_read",
    "closed_for_new_connection",
)


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Largest numbers of open connections of clients; None for no limit.

    Attributes:
        total: Of all clients.
        per_address: Of the clients with one address.
    """

    total: int | None = None
    per_address: int | None = None


def connection_bounds(max_descriptors: int | None, budget: int | None) -> ConnectionBounds:
    """Return the bounds of a process.

    Args:
        max_descriptors: Descriptors that the process may have, or None if unknown.
        budget: Size of the memory budget in bytes, or None.
    """
    totals: list[int] = []
    if max_descriptors is not None:
        files = min(FILE_DESCRIPTORS, max_descriptors // 2)
        totals.append(int((max_descriptors - files) * CLIENT_SHARE))
    if budget is not None:
        totals.append(int(budget * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES))
    if not totals:
        return ConnectionBounds()
    total = max(MIN_CONNECTIONS, min(totals))
    return ConnectionBounds(total, max(1, int(total * ADDRESS_SHARE)))


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """A connection that may be closed in favour of a new one.

    Attributes:
        address: IP address of the client.
        idle_s: Time since the last byte or response, in seconds.
        served: True while a request of it is being served or an answer is not read.
        started: True if a request has arrived in part.
    """

    address: str
    idle_s: float
    served: bool
    started: bool = False


def closed_at_once(count: int) -> int:
    """Return how many connections may be closed at once.

    Args:
        count: Number of open connections among which they are chosen.
    """
    return max(1, min(CLOSED_AT_ONCE, int(count * CLOSED_SHARE)))


def choose_closed(connections: Sequence[OpenConnection], number: int, address: str) -> list[int]:
    """Choose the connections to close when there are too many.

    Connections of the address that has most of them go first, among these the ones without a part
    of a request, and among these the longest idle. Each address loses ``closed_at_once`` of its
    connections at most, and one with less than half as many as the first loses none. Connections
    in use stay: those that are served, and those used within ``IDLE_BEFORE_CLOSE_S``.

    Args:
        connections: The open connections.
        number: Largest number of connections to close.
        address: Address to which the choice is limited; empty for all.

    Returns:
        Indexes of the chosen connections.
    """
    counts = Counter(item.address for item in connections)
    closable = [
        index
        for index, item in enumerate(connections)
        if not item.served and item.idle_s >= IDLE_BEFORE_CLOSE_S and address in ("", item.address)
    ]
    closable.sort(
        key=lambda index: (
            -counts[connections[index].address],
            connections[index].started,
            -connections[index].idle_s,
        )
    )
    chosen: list[int] = []
    closed: Counter[str] = Counter()
    for index in closable:
        owner = connections[index].address
        if len(chosen) == number or 2 * counts[owner] < counts[connections[closable[0]].address]:
            break
        if closed[owner] < closed_at_once(counts[owner]):
            closed[owner] += 1
            chosen.append(index)
    return chosen


def is_too_slow(size: int, elapsed_s: float) -> bool:
    """Tell whether a body arrives too slowly for a strained or crowded process.

    Args:
        size: Number of bytes that have arrived.
        elapsed_s: Time since the start of the request, in seconds.
    """
    if elapsed_s > BODY_TOTAL_S:
        return True
    return elapsed_s > BODY_GRACE_S and size < BODY_BYTES_PER_S * (elapsed_s - BODY_GRACE_S)


class Turn:
    """Measures the work that a request makes of the event loop without giving way to others.

    Attributes:
        has_ended: True once others had a turn.
    """

    def __init__(self) -> None:
        self.has_ended = False
        self._started = time.perf_counter()
        asyncio.get_running_loop().call_soon(self._give_way)

    def spent_s(self) -> float:
        """Return the time since the start, in seconds; 0 if others had a turn meanwhile."""
        return 0.0 if self.has_ended else time.perf_counter() - self._started

    def _give_way(self) -> None:
        self.has_ended = True


class ParsePacer:
    """Spreads expensive work, so that it leaves time for other clients.

    Bodies in tiny chunks are such work, and many requests that are sent ahead of their answers.
    """

    def __init__(self) -> None:
        self._free_at = 0.0

    def resume_at(self, now: float, spent_s: float) -> float:
        """Return the time at which a connection may read again.

        Args:
            now: Current time in seconds.
            spent_s: Time that its last read took, in seconds.
        """
        self._free_at = max(now, self._free_at) + REST_FACTOR * spent_s
        self._free_at = min(self._free_at, now + MAX_REST_S)
        return self._free_at

    def rest_s(self, spent_s: float) -> float:
        """Return for how long a connection rests after some work, in seconds.

        Args:
            spent_s: Time that its work took, in seconds; 0 for work that gave way to others.
        """
        if not spent_s:
            return 0.0
        now = asyncio.get_running_loop().time()
        return self.resume_at(now, spent_s) - now


class Refusals:
    """Counts refused clients, and logs them at most once per ``LOG_INTERVAL_S`` and reason.

    Attributes:
        counts: Number of refused clients by reason.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._logged: dict[str, tuple[float, int]] = {}

    def add(self, reason: str, address: str, **details: object) -> None:
        """Count a refused client.

        Args:
            reason: Why it was refused.
            address: Its IP address.
            details: Further fields of the log line.
        """
        self.counts[reason] += 1
        logged_at, logged_count = self._logged.get(reason, (float("-inf"), 0))
        now = time.monotonic()
        if now - logged_at < LOG_INTERVAL_S:
            return
        count = self.counts[reason]
        self._logged[reason] = now, count
        log = logger.bind(reason=reason, client=address, refused=count - logged_count, **details)
        log.warning("client refused")


class FreeMemory:
    """Decides when the process returns free memory to the operating system."""

    def __init__(self) -> None:
        self._peak = 0
        self._released_at = float("-inf")

    def should_release(self, held: int, now: float) -> bool:
        """Tell whether much less is held than before; the caller then releases free memory.

        Args:
            held: Number of bytes that are held.
            now: Current time in seconds.
        """
        self._peak = max(self._peak, held)
        if self._peak - held <= RELEASED_BYTES or now - self._released_at < RELEASE_INTERVAL_S:
            return False
        self._peak, self._released_at = held, now
        return True


@dataclass(slots=True)
class ClientGuard:
    """What limits the clients of all servers of a process; by default nothing does.

    Attributes:
        budget: Memory that the clients may make the process hold.
        bounds: Bounds on the connections to one server.
        pacer: Spreads expensive reads.
        refusals: Counts refused clients.
        free_memory: Decides when free memory is returned.
        receive_bytes: Size of the receive buffer of each connection; None for the one that the
            kernel chooses.
        connections: Number of open connections of clients; those of servers that are not for
            clients are not counted.
    """

    budget: MemoryBudget = field(default_factory=MemoryBudget)
    bounds: ConnectionBounds = field(default_factory=ConnectionBounds)
    pacer: ParsePacer = field(default_factory=ParsePacer)
    refusals: Refusals = field(default_factory=Refusals)
    free_memory: FreeMemory = field(default_factory=FreeMemory)
    receive_bytes: int | None = None
    connections: int = 0

    def for_server(self, public: bool) -> "ClientGuard":
        """Return the guard of a server; one that is not for clients needs few connections."""
        if public:
            return self
        limited = self.bounds.total is not None
        bounds = ConnectionBounds(INTERNAL_CONNECTIONS) if limited else ConnectionBounds()
        return replace(self, bounds=bounds, connections=0)

    def release_memory(self) -> None:
        """Return memory to the operating system if much less is held than before."""
        if self.free_memory.should_release(self.budget.held, time.monotonic()):
            release_free_memory()

    def gauges(self) -> dict[str, float]:
        """Return what the metrics page shows."""
        found = {f"clients_{reason}": 0.0 for reason in REASONS}
        found |= {f"clients_{reason}": float(n) for reason, n in self.refusals.counts.items()}
        found["client_bytes_held"] = float(self.budget.held)
        return found | {"client_connections": float(self.connections)}


def client_guard(memory_bytes: int | None, max_descriptors: int | None) -> ClientGuard:
    """Return what limits the clients of a process.

    Args:
        memory_bytes: Memory above which the process is killed; None if unknown.
        max_descriptors: Descriptors that the process may have; None if unknown.
    """
    if memory_bytes is not None:
        map_large_blocks()
    budget = MemoryBudget(budget_bytes(memory_bytes))
    bounds = connection_bounds(max_descriptors, budget.capacity)
    most = int(bounds.total * (1 + LINGER_SHARE)) if bounds.total is not None else None
    receive_bytes = receive_buffer_bytes(budget.capacity, most)
    return ClientGuard(budget, bounds, receive_bytes=receive_bytes)
