"""Keeps failures that the own links explain from counting against endpoints."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from .dependencies import EndpointMonitor
from .link_state import LinkState
from .request import AttemptResult

# Time after a connection broke in which it is found out whether the own links were cut.
JUDGE_S = 0.4


class LinkAwareMonitor(EndpointMonitor):
    """Passes results on to other monitors; those of broken connections once the cause is known.

    The first connections that break when the links are cut would otherwise count as failures of
    their endpoints.

    Args:
        monitors: Receive the results.
        link: State of the links.
        address: Returns the address of a known endpoint.
        is_reachable: Tries whether an endpoint accepts connections, which the state learns.
    """

    def __init__(
        self,
        monitors: list[EndpointMonitor],
        link: LinkState,
        address: Callable[[str], str | None],
        is_reachable: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._monitors = monitors
        self._link = link
        self._address = address
        self._is_reachable = is_reachable
        self._waiting: dict[str, list[tuple[str, AttemptResult]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Pass a result on, now or later."""
        if not seen.crashed:
            self._deliver(pool, endpoint, seen)
            return
        waiting = self._waiting.get(endpoint)
        if waiting is not None:
            waiting.append((pool, seen))
            return
        self._waiting[endpoint] = [(pool, seen)]
        task = asyncio.get_running_loop().create_task(self._judge(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Pass on that an endpoint leaves."""
        for monitor in self._monitors:
            monitor.on_endpoint_leaving(endpoint)

    async def _judge(self, endpoint: str) -> None:
        loop = asyncio.get_running_loop()
        broke_at = loop.time()
        was_cut = self._link.is_cut
        try:
            await self._is_reachable(endpoint)
            await asyncio.sleep(max(0.0, broke_at + JUDGE_S - loop.time()))
        finally:
            results = self._waiting.pop(endpoint)
        address = self._address(endpoint)
        if self._is_explained(address, broke_at, was_cut):
            logger.bind(endpoint=endpoint, count=len(results)).info(
                "broken connections are not blamed on the endpoint"
            )
            return
        for pool, seen in results:
            self._deliver(pool, endpoint, seen)

    def _is_explained(self, address: str | None, broke_at: float, was_cut: bool) -> bool:
        """Return whether the own links explain that connections broke.

        Args:
            address: Address of the endpoint; None if it is unknown.
            broke_at: Loop time at which the first one broke, in seconds.
            was_cut: True if the links were known to be cut then.
        """
        if was_cut and address is not None and self._link.has_verdict(address):
            # Another node does not reach the endpoint, either. When the links are just being cut,
            # that node may lose its own as well.
            return False
        is_unreached_here = address is not None and self._link.is_unreached_here(address)
        return is_unreached_here or self._link.was_cut_since(broke_at)

    def _deliver(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        for monitor in self._monitors:
            monitor.on_attempt_ended(pool, endpoint, seen)
