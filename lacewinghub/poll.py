"""Asks endpoints for their load and their cache events."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp

from .health import EndpointHealth
from .prefix import PrefixMap
from .selection import LoadReports
from .tables import Endpoint, Pool, Tables

POLL_S = 1.0
REQUEST_TIMEOUT_S = 1.0
CONCURRENT_POLLS = 8
# With more endpoints, a node asks only those whose slots it hands out: the work of a node must not
# grow with the deployment.
MAX_POLLED = 36


class EndpointPoller:
    """Polls load reports and, from runners, cache events. Both lag and may fail; neither is needed.

    Args:
        tables: Returns the tables in force.
        reports: Receives the loads.
        health: Receives whether an endpoint is leaving.
        prefixes: Receives evicted blocks, or None.
        brokered: Returns the names of the endpoints whose slots this node hands out.
        poll_s: Time between two polls of one endpoint, in seconds.
    """

    def __init__(
        self,
        tables: Callable[[], Tables],
        reports: LoadReports,
        health: EndpointHealth,
        prefixes: PrefixMap | None = None,
        brokered: Callable[[], set[str]] = set,
        poll_s: float = POLL_S,
    ) -> None:
        self._tables = tables
        self._reports = reports
        self._health = health
        self._prefixes = prefixes
        self._brokered = brokered
        self._poll_s = poll_s
        self._next_event: dict[str, int] = {}
        self._gate = asyncio.Semaphore(CONCURRENT_POLLS)

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                await self.poll(http)
                await asyncio.sleep(self._poll_s * random.uniform(0.8, 1.2))

    async def poll(self, http: aiohttp.ClientSession) -> None:
        """Ask every chosen endpoint once."""
        async with asyncio.TaskGroup() as group:
            for pool, endpoint in self._chosen():
                group.create_task(self._ask(http, pool, endpoint))

    def _chosen(self) -> list[tuple[Pool, Endpoint]]:
        pools = self._tables().pools.values()
        found = {item.name: (pool, item) for pool in pools for item in pool.endpoints}
        if len(found) <= MAX_POLLED:
            return list(found.values())
        return [found[name] for name in self._brokered() if name in found]

    async def _ask(self, http: aiohttp.ClientSession, pool: Pool, endpoint: Endpoint) -> None:
        async with self._gate:
            try:
                await self._ask_load(http, endpoint)
                if pool.kind == "model" and self._prefixes is not None:
                    await self._ask_events(http, endpoint, self._prefixes)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
                return

    async def _ask_load(self, http: aiohttp.ClientSession, endpoint: Endpoint) -> None:
        asked = asyncio.get_running_loop().time()
        load = await _get(http, endpoint, "/load")
        running, waiting = int(load["running"]), int(load["waiting"])
        self._reports.update(endpoint.name, running, waiting, asked)
        self._health.reported(endpoint.name, load.get("state") == "leaving")

    async def _ask_events(
        self, http: aiohttp.ClientSession, endpoint: Endpoint, prefixes: PrefixMap
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
