"""Events of requests and nodes, written as JSON lines for the history checker."""

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import TextIO


class EventKind(StrEnum):
    """Kind of an event.

    About themselves nodes record ``started``, ``stopping`` (a graceful stop begins) and
    ``stopped``. The test harness adds what nodes cannot observe: ``killed``, ``frozen`` and
    ``woken`` (suspended and resumed) of nodes, ``leaving`` and ``returned`` of endpoints, and
    ``published`` with the version of an accepted change.
    """

    ARRIVED = "arrived"
    ADMITTED = "admitted"
    SHED = "shed"
    DISPATCHED = "dispatched"
    RESUMED = "resumed"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    STALLED = "stalled"
    LEAVING = "leaving"
    CONFIG = "config"
    CLAIMED = "claimed"
    STOPPED = "stopped"
    STARTED = "started"
    STOPPING = "stopping"
    KILLED = "killed"
    FROZEN = "frozen"
    WOKEN = "woken"
    RETURNED = "returned"
    PUBLISHED = "published"


@dataclass(frozen=True, slots=True)
class Event:
    """One event; members that do not apply keep their defaults.

    Attributes:
        kind: Kind of the event.
        time: Wall time in seconds since the epoch.
        node: Identifier of the node.
        request: Request identifier.
        tier: Tier of the request.
        pool: Name of the pool.
        endpoint: Name of the endpoint.
        key: Idempotency key.
        code: Error code of a refusal or failure.
        arrived: Wall time at which the request arrived, for ``shed``.
        tokens: Number of tokens.
        version: Version of the tables, for ``config``.
        request_class: Class of the request.
        workspace: Workspace that sent the request.
        quota: True if admitted through the starvation quota.
        floor: For ``shed``, the admission threshold of the pool if it refused the request on
            arrival, otherwise 0.
        first_token_s: Time from arrival to the first token, in seconds; -1 if unknown.
        between_tokens_s: Mean time between tokens, in seconds; -1 if unknown.
        completion_s: Time from arrival to the end, in seconds; -1 if unknown.
        met: For ``finished``, whether all latency targets were met; None if there are none.
        software_version: For ``dispatched`` and ``resumed``, that of the endpoint, or empty.
    """

    kind: EventKind
    time: float
    node: str = ""
    request: str = ""
    tier: int = 0
    pool: str = ""
    endpoint: str = ""
    key: str = ""
    code: str = ""
    arrived: float = 0.0
    tokens: int = 0
    version: int = 0
    request_class: str = ""
    workspace: str = ""
    quota: bool = False
    floor: int = 0
    first_token_s: float = -1.0
    between_tokens_s: float = -1.0
    completion_s: float = -1.0
    met: bool | None = None
    software_version: str = ""


class History:
    """Records events: keeps them in memory, writes them as JSON lines and notifies listeners.

    Args:
        node: Identifier of the node.
        out: Text stream that receives the JSON lines, or None.
        keep: True to keep the events in ``events``.
    """

    def __init__(self, node: str = "", out: TextIO | None = None, keep: bool = False) -> None:
        self.node = node
        self.events: list[Event] = []
        self._out = out
        self._keep = keep
        self._listeners: list[Callable[[Event], None]] = []

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Register a function that is called with every subsequent event."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the wall time in seconds since the epoch; overridden by simulations."""
        return time.time()

    def record(self, kind: EventKind, **members: object) -> None:
        """Record an event with the current wall time.

        Args:
            kind: Kind of the event.
            members: Other fields of ``Event``.
        """
        if not self._keep and self._out is None and not self._listeners:
            return
        event = Event(kind=kind, time=self.now(), node=self.node, **members)  # type: ignore[arg-type]
        if self._keep:
            self.events.append(event)
        for listener in self._listeners:
            listener(event)
        if self._out is not None:
            self._out.write(json.dumps(asdict(event)) + "\n")
            self._out.flush()
