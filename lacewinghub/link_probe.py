"""Probes the direct way to endpoints while it is in doubt."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

from .connector import ConnectionFailed, ConnectionProtocol, Connector
from .link_state import LinkState
from .tables import Endpoint

PROBE_S = 0.5  # Mean time between two probes of cut links.
RETURN_PROBE_S = 0.15  # The same, while direct connections succeed again.
DOUBT_PROBE_S = 0.1  # The same, while it is unknown whose fault a failure is.
CONNECT_S = 0.3
JITTER = 0.25


class _Probe(ConnectionProtocol):
    """A connection that is closed at once."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class LinkProber:
    """Opens a connection to one endpoint after the other, and closes it at once.

    Args:
        link: State of the links.
        direct: Opens direct connections and records how that went.
        both: Opens a connection in the way that works, to compare.
        endpoints: Returns the known endpoints.
        rng: Source of randomness.
    """

    def __init__(
        self,
        link: LinkState,
        direct: Connector,
        both: Connector,
        endpoints: Callable[[], list[Endpoint]],
        rng: random.Random | None = None,
    ) -> None:
        self._link = link
        self._direct = direct
        self._both = both
        self._endpoints = endpoints
        self._rng = rng or random.Random()
        self._wake = asyncio.Event()
        link.on_failure(self._wake.set)

    async def run(self) -> None:
        """Probe until cancelled; without any doubt nothing happens."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._is_needed():
                await self._probe()
                pause_s = self._pause_s()
                await asyncio.sleep(pause_s * self._rng.uniform(1.0 - JITTER, 1.0 + JITTER))

    def _is_needed(self) -> bool:
        link = self._link
        return link.is_cut or link.is_in_doubt() or bool(link.unreached_here())

    def _pause_s(self) -> float:
        if self._link.is_returning:
            return RETURN_PROBE_S
        return DOUBT_PROBE_S if not self._link.is_cut and self._link.is_in_doubt() else PROBE_S

    async def _probe(self) -> None:
        endpoint = self._choose()
        if endpoint is None:
            return
        compares = not self._link.is_cut and not self._link.is_unreached_here(endpoint.address)
        connector = self._both if compares else self._direct
        try:
            conn = await connector.connect(_Probe, endpoint.address, endpoint.name, CONNECT_S)
        except ConnectionFailed:
            return
        conn.close()

    def _choose(self) -> Endpoint | None:
        """Return the endpoint to probe: in doubt another one than those that failed."""
        endpoints = self._endpoints()
        if not endpoints:
            return None
        link = self._link
        if link.is_cut:
            # Those that were not reached since the cut may all be down.
            wanted = endpoints
        elif link.is_in_doubt():
            wanted = [item for item in endpoints if not link.has_failed(item.address)]
        else:
            unreached = set(link.unreached_here())
            wanted = [item for item in endpoints if item.address in unreached]
        return self._rng.choice(wanted or endpoints)
