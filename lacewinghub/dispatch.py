"""Base class of the routers: acquires slots, records events and reports how attempts end."""

import asyncio
from dataclasses import dataclass, replace

from .continuation import may_continue_at
from .dependencies import DispatcherDependencies
from .endpoint import EndpointCrashed, EndpointError, EndpointLeaving, EndpointRejected
from .errors import LacewingError, NotRun, Overloaded
from .history import EventKind
from .request import AttemptResult, Grant, Request
from .tables import Endpoint

MAX_ATTEMPTS = 6
# Statuses that reject the request itself; every other endpoint would reject it as well.
REJECTION_STATUSES = (400, 404, 405, 413, 415, 422)


@dataclass(slots=True)
class AttemptTimer:
    """Measurements of one attempt at an endpoint; times are loop times in seconds."""

    endpoint: Endpoint
    started: float
    first: float | None = None
    last: float = 0.0
    tokens: int = 0

    def record_tokens(self, now: float, tokens: int) -> None:
        """Record the arrival of tokens."""
        if self.first is None:
            self.first = now
        self.last = now
        self.tokens += tokens

    def result(self, ok: bool, crashed: bool) -> AttemptResult:
        """Return the measurements of the attempt."""
        if self.first is None:
            return AttemptResult(ok, tokens=self.tokens, crashed=crashed)
        between = (self.last - self.first) / (self.tokens - 1) if self.tokens > 1 else None
        return AttemptResult(ok, self.first - self.started, between, self.tokens, crashed)


class Dispatcher:
    """Acquires slots for requests and reports the start and end of attempts.

    Args:
        dependencies: Scheduler, tables and the objects that receive the reports.
    """

    def __init__(self, dependencies: DispatcherDependencies) -> None:
        self._dispatch_deps = dependencies
        self._history = dependencies.history

    async def _acquire(self, req: Request) -> tuple[Grant, Endpoint]:
        """Wait for a slot of an endpoint that the current tables still contain."""
        while True:
            await self._wait_if_suspect(req)
            grant = await self._dispatch_deps.scheduler.acquire(req)
            pool = self._dispatch_deps.tables().pools.get(req.pool)
            endpoint = pool.endpoint(grant.endpoint) if pool else None
            try:
                # Identical requests may have crashed endpoints while this one waited in the queue.
                self._check_quarantine(req)
            except LacewingError:
                self._dispatch_deps.scheduler.release(grant, AttemptResult(ok=True))
                raise
            # The endpoint may have restarted with other software since the grant.
            if endpoint is not None and may_continue_at(req, endpoint):
                await self._wait_until_usable(endpoint, req)
                return grant, endpoint
            self._dispatch_deps.scheduler.release(grant, AttemptResult(ok=False))
            if pool is None:
                raise NotRun(f"pool {req.pool!r} was removed")
            await asyncio.sleep(0.01)

    async def _wait_until_usable(self, endpoint: Endpoint, req: Request) -> None:
        """Wait until an endpoint may receive the request."""
        return None

    def _spend_retry(self, req: Request) -> bool:
        return self._dispatch_deps.budget is None or self._dispatch_deps.budget.try_spend(req.pool)

    def _check_quarantine(self, req: Request) -> None:
        if self._dispatch_deps.guard is not None:
            self._dispatch_deps.guard.check(req)

    async def _wait_if_suspect(self, req: Request) -> None:
        pool = self._dispatch_deps.tables().pools.get(req.pool)
        if self._dispatch_deps.guard is not None and pool is not None:
            await self._dispatch_deps.guard.wait_if_suspect(
                req, [item.name for item in pool.endpoints]
            )

    def _report_arrival(self, req: Request) -> None:
        self._record(EventKind.ARRIVED, req)
        if self._dispatch_deps.budget is not None:
            self._dispatch_deps.budget.count_request(req.pool)

    def _report_start(self, req: Request, endpoint: Endpoint, resumed: bool) -> None:
        kind = EventKind.RESUMED if resumed else EventKind.DISPATCHED
        self._record(
            kind,
            req,
            endpoint=endpoint.name,
            tokens=req.sent_tokens,
            software_version=endpoint.version,
        )
        if self._dispatch_deps.guard is not None:
            self._dispatch_deps.guard.on_dispatched(req, endpoint.name)

    def _report_answer(self, req: Request, endpoint: Endpoint) -> None:
        if self._dispatch_deps.guard is not None:
            self._dispatch_deps.guard.on_answer_began(req, endpoint.name)

    def _report_end(
        self,
        req: Request,
        grant: Grant,
        timer: AttemptTimer,
        ok: bool,
        failure: BaseException | None,
    ) -> None:
        """Return the slot and report to guard, history and monitors how the attempt ended."""
        endpoint = timer.endpoint.name
        blameless = isinstance(failure, EndpointError) and bool(
            failure.neutral or failure.details.get("blameless")
        )
        crashed = isinstance(failure, EndpointCrashed) and not (
            failure.details.get("timeout") or blameless
        )
        seen = timer.result(ok, crashed)
        if isinstance(failure, EndpointError):
            seen = replace(seen, ended=crashed and bool(failure.details.get("ended")))
        self._dispatch_deps.scheduler.release(grant, seen)
        if self._dispatch_deps.guard is not None:
            self._dispatch_deps.guard.on_attempt_ended(req, endpoint, seen)
        if crashed:
            self._record(EventKind.CRASHED, req, endpoint=endpoint, tokens=seen.tokens)
        # A disconnect of the client or an invalid request says nothing about the endpoint.
        if client_disconnected(failure) or is_request_rejection(failure):
            return
        if blameless:
            return
        for monitor in self._dispatch_deps.monitors:
            if isinstance(failure, EndpointLeaving):
                monitor.on_endpoint_leaving(endpoint)
            else:
                monitor.on_attempt_ended(req.pool, endpoint, seen)

    def _report_dropped(self, req: Request) -> None:
        if self._dispatch_deps.guard is not None:
            self._dispatch_deps.guard.on_request_done(req)

    def _report_failure(self, req: Request, exc: LacewingError, tokens: int) -> None:
        self._report_dropped(req)
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


def client_disconnected(failure: BaseException | None) -> bool:
    """Tell whether an attempt was cancelled, as happens when its client disconnects."""
    return isinstance(failure, asyncio.CancelledError | GeneratorExit)


def is_request_rejection(failure: BaseException | None) -> bool:
    """Tell whether an endpoint rejected the request itself, as any other endpoint would."""
    return (
        isinstance(failure, EndpointRejected)
        and failure.details.get("status") in REJECTION_STATUSES
    )
