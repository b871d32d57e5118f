"""Pools of the scheduler, built from the endpoints that announce themselves.

An endpoint is used while its announcement exists and is not leaving. After an outage of the source
of the announcements, missing endpoints have a grace period in which to return, because
announcements expire during the outage if they cannot be renewed.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Literal

from loguru import logger

from ._recent import remember
from .scaling import EngineSpec, RunnerInfo, ScalingRule
from .tables import Endpoint, Pool, Tables

# Time after an outage in which missing endpoints may return.
RETURN_GRACE_S = 2.0
QUEUE_LIMIT = 1024
# Longer than the announcements of silent endpoints last.
REWIND_HOLD_S = 5.0
# Loop times are rounded, so that a timer may seem to fire this much too early.
TIMER_ERROR_S = 0.002
MAX_REMEMBERED = 4096  # Number of endpoints that left.


@dataclass(frozen=True, slots=True)
class Announcement:
    """The announcement of an endpoint by itself.

    Attributes:
        endpoint: The endpoint; its name is unique.
        pool: Name of the pool that it serves.
        leaving: True if it accepts no new requests.
        started: Start time by its own clock; a change means that it restarted and lost its state.
        spot: True if it costs less and may be reclaimed.
        leaves_s: Time until it ends, in seconds; None if unknown. It shrinks with each renewal, so
            that it does not count when two announcements are compared.
    """

    endpoint: Endpoint
    pool: str
    leaving: bool = False
    started: float = 0.0
    spot: bool = False
    leaves_s: float | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool without its endpoints.

    Attributes:
        name: Name of the pool.
        kind: Kind of its endpoints.
        scaling: Limits and prices, if its endpoints can be ordered.
        engine: What its runners can do.
    """

    name: str
    kind: Literal["model", "service"] = "service"
    scaling: ScalingRule | None = None
    engine: EngineSpec = field(default_factory=EngineSpec)


class EndpointDirectory:
    """Combines configured pools with announced endpoints.

    Attributes:
        tables: Tables with the pools and their endpoints that can receive requests.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self._specs: dict[str, PoolSpec] = {}
        self._known: dict[str, Announcement] = {}
        self._missing: set[str] = set()
        # Endpoints that announced or stated in their answers that they leave, with their start
        # times; also removed ones, whose announcements may return.
        self._leaving: dict[str, float] = {}
        # Removed endpoints, with their start times.
        self._removed: dict[str, float] = {}
        # Endpoints that are not used before a loop time, in seconds.
        self._held_until: dict[str, float] = {}
        # Loop times at which leaving endpoints end, in seconds.
        self._ends_at: dict[str, float] = {}
        self._source_unavailable = False
        self._returned_at = float("-inf")
        self._rewound_until = float("-inf")
        self._listeners: list[Callable[[Tables], None]] = []
        self._reset_listeners: list[Callable[[Endpoint], None]] = []

    def listen(self, listener: Callable[[Tables], None]) -> None:
        """Register a function that is called with the tables after each change."""
        self._listeners.append(listener)

    def on_endpoint_reset(self, listener: Callable[[Endpoint], None]) -> None:
        """Register a function that is called with each endpoint that is new, restarted or gone."""
        self._reset_listeners.append(listener)

    @property
    def size(self) -> int:
        """Number of known endpoints."""
        return len(self._known)

    def started(self, name: str) -> float | None:
        """Return the start time of an endpoint that accepts requests, in seconds, or None."""
        item = self._known.get(name)
        return item.started if item is not None and self._accepts_requests(item) else None

    def announced_start(self, name: str) -> float | None:
        """Return the start time of a known endpoint, in seconds, or None; leaving ones have one."""
        item = self.announcement(name)
        return item.started if item is not None else None

    def announcement(self, name: str) -> Announcement | None:
        """Return the announcement of a known endpoint, leaving ones included, or None."""
        return self._known.get(name)

    def address(self, name: str) -> str | None:
        """Return the address of a known endpoint, or None."""
        item = self._known.get(name)
        return item.endpoint.address if item is not None else None

    def configure(self, specs: Iterable[PoolSpec]) -> None:
        """Replace the configured pools."""
        self._specs = {item.name: item for item in specs}
        self._rebuild()

    def announce(self, item: Announcement) -> None:
        """Add an endpoint or replace its announcement."""
        name = item.endpoint.name
        old = self._known.get(name)
        if old is not None and item.started < old.started:
            return  # Announced before the endpoint restarted.
        self._missing.discard(name)
        self._record_end(item)
        if old == item:
            return
        self._known[name] = item
        if old is None or old.started != item.started or old.endpoint != item.endpoint:
            logger.bind(endpoint=name, pool=item.pool, address=item.endpoint.address).info(
                "endpoint announced" if old is None else "endpoint restarted"
            )
            self._notify_reset(item.endpoint)
        if item.leaving and item.started:
            remember(self._leaving, name, item.started, MAX_REMEMBERED)
        if old is None:
            self._hold_if_removed(item)
        if item.leaving and not (old is not None and old.leaving):
            logger.bind(endpoint=name, pool=item.pool).info("endpoint is leaving")
        self._rebuild()

    def specs(self) -> tuple[PoolSpec, ...]:
        """Return the configured pools."""
        return tuple(self._specs.values())

    def inventory(self, pool: str) -> list[RunnerInfo]:
        """Return the announced endpoints of a pool, leaving ones included, ordered by name."""
        return [
            RunnerInfo(
                name,
                item.endpoint.address,
                item.endpoint.availability_zone,
                item.endpoint.slots,
                item.spot,
                not self._accepts_requests(item),
                self._ends_at.get(name),
            )
            for name, item in sorted(self._known.items())
            if item.pool == pool
        ]

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of the known endpoints by pool, leaving ones included."""
        found: dict[str, set[str]] = {}
        for item in self._known.values():
            found.setdefault(item.pool, set()).add(item.endpoint.version)
        return found

    def version_started(self, pool: str, version: str) -> float:
        """Return when the first known endpoint of a version started by its own clock.

        Returns:
            Seconds since the epoch, 0 if it is unknown.
        """
        found = (item for item in self._known.values() if item.pool == pool)
        starts = (item.started for item in found if item.endpoint.version == version)
        return min(starts, default=0.0)

    def ends_at(self, name: str) -> float | None:
        """Return the loop time at which a leaving endpoint ends, in seconds; None if unknown."""
        return self._ends_at.get(name)

    def is_leaving(self, name: str) -> bool:
        """Return whether a known endpoint announced or stated that it leaves."""
        item = self._known.get(name)
        return item is not None and (item.leaving or self._leaving.get(name) == item.started)

    def _record_end(self, item: Announcement) -> None:
        """Record when an endpoint ends; the earliest of its statements holds."""
        name = item.endpoint.name
        if not item.leaving or item.leaves_s is None:
            self._ends_at.pop(name, None)
            return
        at = asyncio.get_running_loop().time() + item.leaves_s
        self._ends_at[name] = min(at, self._ends_at.get(name, at))

    def mark_leaving(self, name: str) -> None:
        """Use an endpoint no longer because its answers state that it leaves, until it restarts.

        Its announcement may say so later, or never.
        """
        item = self._known.get(name)
        if item is None or not self._accepts_requests(item):
            return
        remember(self._leaving, name, item.started, MAX_REMEMBERED)
        logger.bind(endpoint=name, pool=item.pool).info("endpoint states that it is leaving")
        self._rebuild()

    def withdraw(self, name: str) -> None:
        """Remove an endpoint whose announcement is gone, after an outage with a grace period."""
        if name not in self._known or name in self._missing:
            return
        now = asyncio.get_running_loop().time()
        if self._source_unavailable or now - self._returned_at < RETURN_GRACE_S:
            self._missing.add(name)
            logger.bind(endpoint=name).info(
                "endpoint expired during an outage; kept for a grace period"
            )
            if not self._source_unavailable:
                self._schedule_expiry()
            return
        self._remove(name)

    def retain(self, names: Iterable[str]) -> None:
        """Withdraw every known endpoint that is missing in a complete list."""
        for name in set(self._known) - set(names):
            self.withdraw(name)

    def source_lost(self) -> None:
        """Handle that the source of the announcements cannot be read."""
        self._source_unavailable = True

    def source_returned(self) -> None:
        """Handle that the source can be read again."""
        if self._source_unavailable:
            self._source_unavailable = False
            self._returned_at = asyncio.get_running_loop().time()
            self._schedule_expiry()

    def _accepts_requests(self, item: Announcement) -> bool:
        name = item.endpoint.name
        if item.leaving or self._leaving.get(name) == item.started:
            return False
        until = self._held_until.get(name)
        return until is None or until <= asyncio.get_running_loop().time()

    def source_rewound(self) -> None:
        """Handle that the announcements come from an older copy of their source.

        Endpoints that left since then may be announced in it; those that are still there after
        ``REWIND_HOLD_S`` have renewed their announcements.
        """
        self._rewound_until = asyncio.get_running_loop().time() + REWIND_HOLD_S

    def _hold_if_removed(self, item: Announcement) -> None:
        """Wait before using an endpoint that was removed and returns with an older copy."""
        name = item.endpoint.name
        if self._removed.get(name) != item.started:
            return
        loop = asyncio.get_running_loop()
        if loop.time() >= self._rewound_until:
            return
        logger.bind(endpoint=name).info("endpoint is back from an older copy; not used yet")
        self._held_until[name] = self._rewound_until
        loop.call_at(self._rewound_until, self._release_held)

    def _release_held(self) -> None:
        now = asyncio.get_running_loop().time() + TIMER_ERROR_S
        self._held_until = {name: at for name, at in self._held_until.items() if at > now}
        self._rebuild()

    def _schedule_expiry(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(self._returned_at + RETURN_GRACE_S, self._remove_missing)

    def _remove_missing(self) -> None:
        if self._source_unavailable:
            return
        if asyncio.get_running_loop().time() < self._returned_at + RETURN_GRACE_S - TIMER_ERROR_S:
            return  # The source was lost again meanwhile; there is a later timer.
        for name in list(self._missing):
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._missing.discard(name)
        item = self._known.pop(name, None)
        self._ends_at.pop(name, None)
        if item is None:
            return
        remember(self._removed, name, item.started, MAX_REMEMBERED)
        logger.bind(endpoint=name, pool=item.pool).info("endpoint is gone")
        self._notify_reset(item.endpoint)
        self._rebuild()

    def _notify_reset(self, endpoint: Endpoint) -> None:
        for listener in self._reset_listeners:
            listener(endpoint)

    def _rebuild(self) -> None:
        members: dict[str, list[Endpoint]] = {name: [] for name in self._specs}
        for item in self._known.values():
            if item.pool in members and self._accepts_requests(item):
                members[item.pool].append(item.endpoint)
        pools = [
            Pool(spec.name, members[spec.name], spec.kind, queue_limit=QUEUE_LIMIT)
            for spec in self._specs.values()
        ]
        # The entries are not checked again: they come from a checked source, and an address may
        # belong to two endpoints for a moment.
        self.tables = Tables(version=self.tables.version + 1)
        self.tables.pools = {item.name: item for item in pools}
        for listener in self._listeners:
            listener(self.tables)
