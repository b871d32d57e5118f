"""Takes slots of endpoints for streams whose software version is recorded before they begin.

What two software versions write does not fit together. The version at which a stream began, its
origin, is looked up if a client takes the stream up, and recorded before the stream may begin.
"""

import asyncio
from collections.abc import Awaitable, Callable

from .dependencies import DispatcherDependencies
from .errors import OriginNotRecorded, OriginUncertain, StreamVersionGone
from .request import AttemptResult, Grant, Request, proxy_state
from .tables import Endpoint

# Longer waits are left to the client, whose next attempt may begin at any version.
PROMISED_SLOT_LIMIT_S = 0.2

Acquire = Callable[[Request], Awaitable[tuple[Grant, Endpoint]]]


class RecordedSlots:
    """Slots of endpoints for requests, with the origins of their streams.

    Args:
        dependencies: Scheduler, tables, and the origins if they are kept.
        acquire: Waits for a slot.
    """

    def __init__(self, dependencies: DispatcherDependencies, acquire: Acquire) -> None:
        self._deps = dependencies
        self._acquire = acquire

    async def find_origin(self, req: Request) -> None:
        """Learn at which software version the stream began that the client continues.

        Raises:
            StreamOriginUnknown: If that is not known; the stream goes on nowhere.
        """
        state = proxy_state(req)
        if state.is_take_up and self._deps.origins is not None:
            state.origin = await self._deps.origins.find(req)

    async def acquire(self, req: Request) -> tuple[Grant, Endpoint]:
        """Wait for a slot, and record at which software version the stream will begin.

        Raises:
            OriginNotRecorded: If the stream may not begin at another version than it was to, and no
                endpoint of that one accepts it.
        """
        origins, state = self._deps.origins, proxy_state(req)
        if state.unrecorded is not None and state.origin is None:
            raise state.unrecorded  # A new attempt of the client may begin at any version.
        while True:
            grant, endpoint = await self._acquire(req)
            if origins is None:
                return grant, endpoint
            try:
                await origins.promise(req, endpoint)
            except OriginNotRecorded as exc:
                self._release(grant)
                if isinstance(exc, OriginUncertain):
                    raise
                return await self._acquire_promised(req, exc)
            except BaseException:
                self._release(grant)
                raise
            # The endpoint may have restarted with other software while the record was written.
            pool = self._deps.tables().pools.get(req.pool)
            if pool is not None and pool.endpoint(endpoint.name) == endpoint:
                return grant, endpoint
            self._release(grant)

    def on_begun(self, req: Request, endpoint: Endpoint) -> None:
        """Handle that a stream began at an endpoint: it goes on at no other software version."""
        state = proxy_state(req)
        if self._deps.origins is not None:
            self._deps.origins.began(req, endpoint)
        elif state.origin is None:
            state.origin = endpoint.version

    def on_broken_off(self, req: Request) -> None:
        """Handle that a stream broke off after it began: its client may take it up at once."""
        if self._deps.origins is not None:
            self._deps.origins.renew(req)

    async def _acquire_promised(
        self, req: Request, unrecorded: OriginNotRecorded
    ) -> tuple[Grant, Endpoint]:
        """Take a slot of an endpoint whose version the store has recorded for the stream.

        Raises:
            OriginNotRecorded: The given one, if none is free.
        """
        proxy_state(req).unrecorded = unrecorded
        try:
            async with asyncio.timeout(PROMISED_SLOT_LIMIT_S):
                return await self._acquire(req)
        except (StreamVersionGone, TimeoutError):
            raise unrecorded from None

    def _release(self, grant: Grant) -> None:
        """Return a slot that no request has used."""
        self._deps.scheduler.release(grant, AttemptResult(ok=True))
