"""Asks endpoints for their load and their cache events."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import aiohttp

from .health import EndpointHealth
from .prefix import PrefixCacheIndex
from .selection import LoadReports
from .tables import Endpoint, Pool, Tables

POLL_S = 1.0
# Beyond MAX_POLLED endpoints. A leaving endpoint must be known within 3 s (guarantee 6).
SPREAD_POLL_S = 2.5
SPREAD_STEP_S = 0.1  # How often the endpoints whose turn it is are looked for.
EVENTS_EVERY = 2  # Beyond MAX_POLLED, cache events are asked for with every second load report.
REQUEST_TIMEOUT_S = 1.0
CONCURRENT_POLLS = 8
# With more endpoints, a node asks only those whose slots it hands out, spread over a longer period:
# the work of a node must not grow with the deployment.
MAX_POLLED = 36


@dataclass(slots=True)
class _Turn:
    """When an endpoint is asked next, and how often it was asked."""

    due: float
    polls: int = 0
    asking: bool = False


class EndpointPoller:
    """Polls load reports and, from runners, cache events. Both lag and may fail; neither is needed.

    Args:
        tables: Returns the tables in force.
        reports: Receives the loads.
        health: Receives whether an endpoint is leaving.
        prefixes: Receives evicted blocks, or None.
        brokered: Returns the names of the endpoints whose slots this node hands out.
        poll_s: Time between two polls of one endpoint, in seconds.
        spread_s: The same beyond ``MAX_POLLED`` endpoints.
    """

    def __init__(
        self,
        tables: Callable[[], Tables],
        reports: LoadReports,
        health: EndpointHealth,
        prefixes: PrefixCacheIndex | None = None,
        brokered: Callable[[], set[str]] = set,
        poll_s: float = POLL_S,
        spread_s: float = SPREAD_POLL_S,
    ) -> None:
        self._tables = tables
        self._reports = reports
        self._health = health
        self._prefixes = prefixes
        self._brokered = brokered
        self._poll_s = poll_s
        self._spread_s = spread_s
        self._known: Tables | None = None
        self._endpoints: dict[str, tuple[Pool, Endpoint]] = {}
        self._turns: dict[str, _Turn] = {}
        self._next_event: dict[str, int] = {}
        self._gate = asyncio.Semaphore(CONCURRENT_POLLS)

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            asyncio.TaskGroup() as asking,
        ):
            while True:
                if len(self._all()) <= MAX_POLLED:
                    await self.poll(http)
                    await asyncio.sleep(self._poll_s * random.uniform(0.8, 1.2))
                    continue
                for name, turn in self._due():
                    asking.create_task(self._ask_next(http, name, turn))
                await asyncio.sleep(SPREAD_STEP_S)

    async def poll(self, http: aiohttp.ClientSession) -> None:
        """Ask every chosen endpoint once."""
        async with asyncio.TaskGroup() as group:
            for pool, endpoint in self._chosen():
                group.create_task(self._ask(http, pool, endpoint))

    def _all(self) -> dict[str, tuple[Pool, Endpoint]]:
        tables = self._tables()
        if tables is not self._known:
            self._known = tables
            pools = tables.pools.values()
            self._endpoints = {item.name: (pool, item) for pool in pools for item in pool.endpoints}
        return self._endpoints

    def _chosen(self) -> list[tuple[Pool, Endpoint]]:
        found = self._all()
        if len(found) <= MAX_POLLED:
            return list(found.values())
        return [found[name] for name in self._brokered() if name in found]

    def _due(self) -> list[tuple[str, _Turn]]:
        """Return the endpoints whose turn it is; new ones start at a random time of the period."""
        now, spread = asyncio.get_running_loop().time(), self._spread_s
        names = sorted(name for name in self._brokered() if name in self._endpoints)
        self._turns = {
            name: self._turns.get(name) or _Turn(now + spread * random.random()) for name in names
        }
        found = [(name, turn) for name, turn in self._turns.items() if turn.due <= now]
        for _, turn in found:
            turn.due = max(turn.due + spread, now + spread / 2)
        return [(name, turn) for name, turn in found if not turn.asking]

    async def _ask_next(self, http: aiohttp.ClientSession, name: str, turn: _Turn) -> None:
        pool, endpoint = self._endpoints[name]
        turn.asking = True
        await self._ask(http, pool, endpoint, events=turn.polls % EVENTS_EVERY == 0)
        turn.polls += 1
        turn.asking = False

    async def _ask(
        self, http: aiohttp.ClientSession, pool: Pool, endpoint: Endpoint, events: bool = True
    ) -> None:
        async with self._gate:
            try:
                await self._ask_load(http, endpoint)
                if events and pool.kind == "model" and self._prefixes is not None:
                    await self._ask_events(http, endpoint, self._prefixes)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
                return

    async def _ask_load(self, http: aiohttp.ClientSession, endpoint: Endpoint) -> None:
        asked = asyncio.get_running_loop().time()
        load = await _get(http, endpoint, "/load")
        running, waiting = int(load["running"]), int(load["waiting"])
        self._reports.update(endpoint.name, running, waiting, asked)
        self._health.apply_load_report(endpoint.name, load.get("state") == "leaving")

    async def _ask_events(
        self, http: aiohttp.ClientSession, endpoint: Endpoint, prefixes: PrefixCacheIndex
    ) -> None:
        start = self._next_event.get(endpoint.name, 0)
        reply = await _get(http, endpoint, f"/cache_events?from={start}")
        prefixes.evict(endpoint.name, _evicted(reply["events"]))
        following = int(reply["next"])
        if following < start:
            # The runner has restarted and its cache is empty.
            prefixes.forget(endpoint.name)
        self._next_event[endpoint.name] = following


def _evicted(events: Iterable[dict[str, Any]]) -> list[int]:
    return [int(event["block"]) for event in events if event["op"] == "evict"]


async def _get(http: aiohttp.ClientSession, endpoint: Endpoint, path: str) -> dict[str, Any]:
    async with http.get(f"http://{endpoint.address}{path}") as resp:
        resp.raise_for_status()
        reply = await resp.json()
        if not isinstance(reply, dict):
            raise ValueError(f"endpoint {endpoint.name!r} did not answer with an object")
        return reply
