"""Polls endpoints for their load and their cache events."""

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
# Poll period beyond MAX_POLLED endpoints. A leaving endpoint must be known within 3 s (guarantee
# 6).
SPREAD_POLL_S = 2.5
DUE_CHECK_S = 0.1  # Time between two searches for endpoints that are due.
EVENTS_EVERY = 2  # Beyond MAX_POLLED, cache events are polled with every second load report.
REQUEST_TIMEOUT_S = 1.0
# A report is replaced by a poll well before; a later one says that the polls fail.
POLLED_REPORT_AGE_S = 3 * SPREAD_POLL_S
CONCURRENT_POLLS = 8
# With more endpoints, a node polls only those for which it is the broker, spread over a longer
# period: the work of a node must not grow with the deployment.
MAX_POLLED = 36


@dataclass(slots=True)
class _PollState:
    """When an endpoint is due, how often it was polled, and whether a poll is in progress."""

    due: float
    polls: int = 0
    in_progress: bool = False


class EndpointPoller:
    """Polls load reports and, from runners, cache events.

    Both are delayed and may be missing; the scheduler works without them.

    Args:
        tables: Returns the tables in force.
        reports: Updated with the loads.
        health: Updated with whether an endpoint is leaving.
        prefixes: Updated with evicted blocks, or None to poll no cache events.
        brokered: Returns the names of the endpoints whose slots this node grants.
        poll_s: Time between two polls of one endpoint, in seconds.
        spread_s: The same, for more than ``MAX_POLLED`` endpoints.
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
        self._known_tables: Tables | None = None
        self._endpoints: dict[str, tuple[Pool, Endpoint]] = {}
        self._poll_states: dict[str, _PollState] = {}
        self._next_event: dict[str, int] = {}
        self._semaphore = asyncio.Semaphore(CONCURRENT_POLLS)

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            asyncio.TaskGroup() as group,
        ):
            while True:
                if len(self._all()) <= MAX_POLLED:
                    await self.poll(http)
                    await asyncio.sleep(self._poll_s * random.uniform(0.8, 1.2))
                    continue
                for name, state in self._due():
                    group.create_task(self._poll_due(http, name, state))
                await asyncio.sleep(DUE_CHECK_S)

    async def poll(self, http: aiohttp.ClientSession) -> None:
        """Poll every selected endpoint once."""
        async with asyncio.TaskGroup() as group:
            for pool, endpoint in self._selected():
                group.create_task(self._ask(http, pool, endpoint))

    def _all(self) -> dict[str, tuple[Pool, Endpoint]]:
        tables = self._tables()
        if tables is not self._known_tables:
            self._known_tables = tables
            pools = tables.pools.values()
            self._endpoints = {item.name: (pool, item) for pool in pools for item in pool.endpoints}
        return self._endpoints

    def _selected(self) -> list[tuple[Pool, Endpoint]]:
        found = self._all()
        if len(found) <= MAX_POLLED:
            return list(found.values())
        return [found[name] for name in self._brokered() if name in found]

    def _due(self) -> list[tuple[str, _PollState]]:
        """Return the endpoints that are due; new ones start at a random time within the period."""
        now, spread = asyncio.get_running_loop().time(), self._spread_s
        names = sorted(name for name in self._brokered() if name in self._endpoints)
        self._poll_states = {
            name: self._poll_states.get(name) or _PollState(now + spread * random.random())
            for name in names
        }
        found = [(name, state) for name, state in self._poll_states.items() if state.due <= now]
        for _, state in found:
            state.due = max(state.due + spread, now + spread / 2)
        return [(name, state) for name, state in found if not state.in_progress]

    async def _poll_due(self, http: aiohttp.ClientSession, name: str, state: _PollState) -> None:
        pool, endpoint = self._endpoints[name]
        state.in_progress = True
        await self._ask(http, pool, endpoint, events=state.polls % EVENTS_EVERY == 0)
        state.polls += 1
        state.in_progress = False

    async def _ask(
        self, http: aiohttp.ClientSession, pool: Pool, endpoint: Endpoint, events: bool = True
    ) -> None:
        async with self._semaphore:
            try:
                await self._poll_load(http, endpoint)
                if events and pool.kind == "model" and self._prefixes is not None:
                    await self._poll_events(http, endpoint, self._prefixes)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
                return

    async def _poll_load(self, http: aiohttp.ClientSession, endpoint: Endpoint) -> None:
        asked_at = asyncio.get_running_loop().time()
        load = await _get(http, endpoint, "/load")
        running, waiting = int(load["running"]), int(load["waiting"])
        self._reports.update(endpoint.name, running, waiting, asked_at)
        self._health.apply_load_report(endpoint.name, load.get("state") == "leaving")

    async def _poll_events(
        self, http: aiohttp.ClientSession, endpoint: Endpoint, prefixes: PrefixCacheIndex
    ) -> None:
        start = self._next_event.get(endpoint.name, 0)
        reply = await _get(http, endpoint, f"/cache_events?from={start}")
        prefixes.evict(endpoint.name, _evicted(reply["events"]))
        following = int(reply["next"])
        if following < start:
            # The runner has restarted, so its cache is empty.
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
