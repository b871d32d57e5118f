"""Asks an endpoint for its incarnation once for all requests that ask at about the same time."""

import asyncio

from .proxyclient import Incarnation, ProxyClient
from .tables import Endpoint

# Requests that ask within this time share a call, which begins after it: what it says is later than
# all of their questions.
GATHER_S = 0.02
CALL_S = 1.7


class SharedReports:
    """Calls of endpoints for their incarnation.

    Args:
        client: Asks the endpoints.
    """

    def __init__(self, client: ProxyClient) -> None:
        self._client = client
        # Calls that have not begun, by name and address of the endpoint.
        self._gathering: dict[tuple[str, str], asyncio.Task[Incarnation | None]] = {}
        self._calls: set[asyncio.Task[Incarnation | None]] = set()

    async def ask(self, endpoint: Endpoint, limit_s: float) -> Incarnation | None:
        """Return what an endpoint says of its process from now on.

        Args:
            endpoint: The endpoint.
            limit_s: Longest time to wait for the answer, in seconds.

        Returns:
            What it says, or None if it is not reached or does not say it in time.
        """
        if limit_s <= 2 * GATHER_S:
            return await self._client.incarnation(endpoint, limit_s)
        key = (endpoint.name, endpoint.address)
        call = self._gathering.get(key)
        if call is None:
            call = self._gathering[key] = asyncio.create_task(self._call(endpoint, key))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        # Unlike a direct wait, this does not cancel the call if the request is cancelled.
        done, _ = await asyncio.wait([call], timeout=limit_s)
        return call.result() if done else None

    async def _call(self, endpoint: Endpoint, key: tuple[str, str]) -> Incarnation | None:
        await asyncio.sleep(GATHER_S)
        del self._gathering[key]
        return await self._client.incarnation(endpoint, CALL_S)
