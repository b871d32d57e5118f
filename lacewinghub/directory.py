"""Endpoints that announce themselves, as the pools that the scheduler works with.

An endpoint is used while its announcement stands and says that it serves. After an outage of the
source of the announcements, endpoints that are missing get a grace period to come back, because
announcements lapse while nobody can renew them.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

from loguru import logger

from .tables import Endpoint, Pool, Tables

RETURN_GRACE_S = 2.0
QUEUE_LIMIT = 1024


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an endpoint says of itself.

    Attributes:
        endpoint: The endpoint; its name is unique.
        pool: Name of the pool that it serves.
        leaving: True if it takes no new requests.
        started: When it started, by its own clock; a change means that its state is lost.
    """

    endpoint: Endpoint
    pool: str
    leaving: bool = False
    started: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool without its endpoints."""

    name: str
    kind: Literal["model", "service"] = "service"


class EndpointDirectory:
    """Joins configured pools with announced endpoints.

    Attributes:
        tables: Tables with the pools and the endpoints that may receive requests.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self._specs: dict[str, PoolSpec] = {}
        self._known: dict[str, Announcement] = {}
        self._missing: set[str] = set()
        self._away = False
        self._returned = float("-inf")
        self._listeners: list[Callable[[Tables], None]] = []
        self._restarts: list[Callable[[Endpoint], None]] = []

    def listen(self, listener: Callable[[Tables], None]) -> None:
        """Call a function with the tables after each change."""
        self._listeners.append(listener)

    def on_endpoint_reset(self, listener: Callable[[Endpoint], None]) -> None:
        """Call a function with each endpoint that is new, restarted or gone."""
        self._restarts.append(listener)

    @property
    def size(self) -> int:
        """Number of known endpoints."""
        return len(self._known)

    def configure(self, specs: Iterable[PoolSpec]) -> None:
        """Replace the configured pools."""
        self._specs = {item.name: item for item in specs}
        self._rebuild()

    def announce(self, item: Announcement) -> None:
        """Take over what an endpoint says of itself."""
        name = item.endpoint.name
        old = self._known.get(name)
        if old is not None and item.started < old.started:
            return  # From before its restart.
        self._missing.discard(name)
        if old == item:
            return
        self._known[name] = item
        if old is None or old.started != item.started or old.endpoint != item.endpoint:
            logger.bind(endpoint=name, pool=item.pool, address=item.endpoint.address).info(
                "endpoint announced" if old is None else "endpoint restarted"
            )
            self._tell_restart(item.endpoint)
        if item.leaving and not (old is not None and old.leaving):
            logger.bind(endpoint=name, pool=item.pool).info("endpoint is leaving")
        self._rebuild()

    def withdraw(self, name: str) -> None:
        """Note that the announcement of an endpoint is gone."""
        if name not in self._known or name in self._missing:
            return
        now = asyncio.get_running_loop().time()
        if self._away or now - self._returned < RETURN_GRACE_S:
            self._missing.add(name)
            logger.bind(endpoint=name).info("endpoint lapsed during an outage; grace period")
            if not self._away:
                self._expire_later()
            return
        self._remove(name)

    def retain(self, names: Iterable[str]) -> None:
        """Withdraw every endpoint that a complete listing does not name."""
        for name in set(self._known) - set(names):
            self.withdraw(name)

    def source_lost(self) -> None:
        """Note that the source of the announcements cannot be read."""
        self._away = True

    def source_returned(self) -> None:
        """Note that the source can be read again."""
        if self._away:
            self._away = False
            self._returned = asyncio.get_running_loop().time()
            self._expire_later()

    def _expire_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(self._returned + RETURN_GRACE_S, self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._away or now - self._returned < RETURN_GRACE_S:
            return
        for name in list(self._missing):
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._missing.discard(name)
        item = self._known.pop(name, None)
        if item is None:
            return
        logger.bind(endpoint=name, pool=item.pool).info("endpoint is gone")
        self._tell_restart(item.endpoint)
        self._rebuild()

    def _tell_restart(self, endpoint: Endpoint) -> None:
        for listener in self._restarts:
            listener(endpoint)

    def _rebuild(self) -> None:
        members: dict[str, list[Endpoint]] = {name: [] for name in self._specs}
        for item in self._known.values():
            if not item.leaving and item.pool in members:
                members[item.pool].append(item.endpoint)
        pools = [
            Pool(spec.name, members[spec.name], spec.kind, queue_limit=QUEUE_LIMIT)
            for spec in self._specs.values()
        ]
        # The entries come from a checked source; an address may be listed twice for a moment.
        self.tables = Tables(version=self.tables.version + 1)
        self.tables.pools = {item.name: item for item in pools}
        for listener in self._listeners:
            listener(self.tables)
