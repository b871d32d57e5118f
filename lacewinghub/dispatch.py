"""What all ways of answering a request have in common: slot, endpoint, records and retries."""

import asyncio
from dataclasses import dataclass

from .dependencies import DispatcherDependencies
from .endpoint import EndpointCrashed, EndpointError, EndpointLeaving, EndpointRejected
from .errors import LacewingError, NotRun, Overloaded
from .history import EventKind
from .request import AttemptResult, Grant, Request
from .tables import Endpoint

MAX_ATTEMPTS = 6
# Statuses with which an endpoint refuses the request itself; another endpoint would do the same.
REFUSAL_STATUSES = (400, 404, 405, 413, 415, 422)


@dataclass(slots=True)
class Attempt:
    """Measurements of one use of a grant; times are loop times in seconds."""

    endpoint: Endpoint
    started: float
    first: float | None = None
    last: float = 0.0
    tokens: int = 0

    def take(self, now: float, tokens: int) -> None:
        """Note that tokens arrived."""
        if self.first is None:
            self.first = now
        self.last = now
        self.tokens += tokens

    def observation(self, ok: bool, crashed: bool) -> AttemptResult:
        """Return what was measured."""
        if self.first is None:
            return AttemptResult(ok, tokens=self.tokens, crashed=crashed)
        between = (self.last - self.first) / (self.tokens - 1) if self.tokens > 1 else None
        return AttemptResult(ok, self.first - self.started, between, self.tokens, crashed)


class Dispatcher:
    """Acquires slots for requests, and tells the other parts what happens to them.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: DispatcherDependencies) -> None:
        self._dispatch = parts
        self._history = parts.history

    async def _acquire(self, req: Request) -> tuple[Grant, Endpoint]:
        """Wait for a slot of an endpoint that the tables in force still name."""
        while True:
            await self._hold(req)
            grant = await self._dispatch.scheduler.acquire(req)
            pool = self._dispatch.tables().pools.get(req.pool)
            endpoint = pool.endpoint(grant.endpoint) if pool else None
            try:
                # Identical requests may have crashed endpoints while this one was queued.
                self._check(req)
            except LacewingError:
                self._dispatch.scheduler.release(grant, AttemptResult(ok=True))
                raise
            if endpoint is not None:
                await self._prepare(endpoint, req)
                return grant, endpoint
            self._dispatch.scheduler.release(grant, AttemptResult(ok=False))
            if pool is None:
                raise NotRun(f"pool {req.pool!r} was removed")
            await asyncio.sleep(0.01)

    async def _prepare(self, endpoint: Endpoint, req: Request) -> None:
        """Wait until an endpoint may receive the request."""
        return None

    def _spend(self, req: Request) -> bool:
        return self._dispatch.budget is None or self._dispatch.budget.try_spend(req.pool)

    def _check(self, req: Request) -> None:
        if self._dispatch.guard is not None:
            self._dispatch.guard.check(req)

    async def _hold(self, req: Request) -> None:
        pool = self._dispatch.tables().pools.get(req.pool)
        if self._dispatch.guard is not None and pool is not None:
            await self._dispatch.guard.wait_if_suspect(req, [item.name for item in pool.endpoints])

    def _arrive(self, req: Request) -> None:
        self._record(EventKind.ARRIVED, req)
        if self._dispatch.budget is not None:
            self._dispatch.budget.count_request(req.pool)

    def _start(self, req: Request, endpoint: Endpoint, resumed: bool) -> None:
        kind = EventKind.RESUMED if resumed else EventKind.DISPATCHED
        self._record(kind, req, endpoint=endpoint.name, tokens=req.sent_tokens)
        if self._dispatch.guard is not None:
            self._dispatch.guard.on_dispatched(req, endpoint.name)

    def _end(
        self,
        req: Request,
        grant: Grant,
        attempt: Attempt,
        ok: bool,
        failure: BaseException | None,
    ) -> None:
        """Return the slot and tell the other parts how the attempt ended."""
        endpoint = attempt.endpoint.name
        crashed = isinstance(failure, EndpointCrashed) and not failure.details.get("timeout")
        seen = attempt.observation(ok, crashed)
        self._dispatch.scheduler.release(grant, seen)
        if self._dispatch.guard is not None:
            self._dispatch.guard.on_attempt_ended(req, endpoint, seen)
        if crashed:
            self._record(EventKind.CRASHED, req, endpoint=endpoint, tokens=seen.tokens)
        if caller_left(failure) or refused(failure):
            return
        if isinstance(failure, EndpointError) and failure.neutral:
            return
        for monitor in self._dispatch.monitors:
            if isinstance(failure, EndpointLeaving):
                monitor.on_endpoint_leaving(endpoint)
            else:
                monitor.on_attempt_ended(req.pool, endpoint, seen)

    def _drop(self, req: Request) -> None:
        if self._dispatch.guard is not None:
            self._dispatch.guard.on_request_done(req)

    def _fail(self, req: Request, exc: LacewingError, tokens: int) -> None:
        self._drop(req)
        # The scheduler records the requests that it sheds.
        if not isinstance(exc, Overloaded):
            self._record(EventKind.FAILED, req, code=exc.code, tokens=tokens)

    def _record(self, kind: EventKind, req: Request, **members: object) -> None:
        self._history.record(
            kind,
            request=req.id,
            tier=req.tier,
            pool=req.pool,
            key=req.key or "",
            request_class=req.request_class,
            workspace=req.workspace,
            **members,
        )


def caller_left(failure: BaseException | None) -> bool:
    """Tell whether an attempt ended because its caller left."""
    return isinstance(failure, asyncio.CancelledError | GeneratorExit)


def refused(failure: BaseException | None) -> bool:
    """Tell whether an endpoint refused the request itself."""
    return (
        isinstance(failure, EndpointRejected) and failure.details.get("status") in REFUSAL_STATUSES
    )
