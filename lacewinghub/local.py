"""Queueing that all schedulers share, and schedulers that need no other node."""

import asyncio
import random
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from loguru import logger

from .admission import Admission, NaiveAdmission
from .errors import LacewingError, NotRun, Overloaded, UnknownPool
from .history import EventKind, History
from .queue import TierQueue, Waiter, WaitQueue
from .request import AttemptResult, Grant, Request
from .scheduler import PoolView, Scheduler
from .selection import LoadReports, Selection, TwoChoices
from .tables import Endpoint, Pool

SHED_RETRY_AFTER_S = 1.0  # Retry-after of requests that are displaced or expire.
SHED_RETRY_S = 0.25  # Interval of the checks whether an overdue request may be shed.


@dataclass(slots=True)
class PoolState:
    """Queue of one pool and this node's requests in flight by endpoint name."""

    queue: WaitQueue
    in_flight: Counter[str] = field(default_factory=Counter)


class QueueScheduler(Scheduler):
    """Admits, queues, expires and cancels requests; subclasses decide who gets a slot, and when.

    Args:
        view: Pools and usable endpoints.
        queue: Creates the queue of a pool.
        admission: Admission rules.
        history: Receives the events ``admitted`` and ``shed``.
    """

    def __init__(
        self,
        view: PoolView,
        queue: Callable[[], WaitQueue],
        admission: Admission,
        history: History | None = None,
    ) -> None:
        self.view = view
        self.admission = admission
        self._new_queue = queue
        self._history = history or History()
        self._pools: dict[str, PoolState] = {}
        self._last_grant = 0

    async def acquire(self, req: Request) -> Grant:
        """Queue the request and wait for a slot.

        Raises:
            Overloaded: If the request is shed.
            UnknownPool: If the pool of the request does not exist.
        """
        pool = self.view.pool(req.pool)
        state = self.state(pool.name)
        loop = asyncio.get_running_loop()
        waiter = self.make_waiter(req, loop.create_future())
        waiter.since = loop.time()
        if not waiter.resumed:
            self._admit(pool, state, waiter)
        state.queue.push(waiter)
        self.on_queued(waiter)
        if waiter.fut.done():
            return waiter.fut.result()
        timer = loop.call_at(req.arrived + req.patience_s, self._expire, waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._cancel(waiter)
            raise
        finally:
            timer.cancel()

    def make_waiter(self, req: Request, fut: asyncio.Future[Grant]) -> Waiter:
        """Return the queue entry of a request."""
        return Waiter(req, fut, resumed=req.sent_tokens > 0 or bool(req.excluded_endpoints))

    @abstractmethod
    def dispatch(self, pool: str) -> None:
        """Assign free slots of a pool to its waiters."""

    def pump(self, pool: str) -> None:
        """Assign free slots of a pool to its waiters, after any change.

        Whoever caused the change has nothing to do with the waiters; their errors do not reach it.
        """
        try:
            self.dispatch(pool)
        except UnknownPool as exc:
            self._refuse_all(pool, exc)
        except Exception:
            logger.bind(pool=pool).exception("unexpected error while requests were dispatched")

    def on_queued(self, waiter: Waiter) -> None:
        """Handle a request that was just queued."""
        self.pump(waiter.req.pool)

    def on_removed(self, waiter: Waiter) -> None:
        """Handle a request that was removed from its queue without a slot."""
        return None

    def retry_after_s(self, waiter: Waiter) -> float:
        """Return after how many seconds the client of a shed request should retry."""
        return SHED_RETRY_AFTER_S

    def state(self, pool: str) -> PoolState:
        """Return the state of a pool."""
        found = self._pools.get(pool)
        if found is None:
            found = self._pools[pool] = PoolState(self._new_queue())
        return found

    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Return a slot and assign it to the next waiter."""
        in_flight = self.state(grant.pool).in_flight
        if in_flight[grant.endpoint] > 0:
            in_flight[grant.endpoint] -= 1
        self.pump(grant.pool)

    def assign(self, waiter: Waiter, grant: Grant) -> None:
        """Hand a grant to a waiter that was removed from its queue."""
        self.state(grant.pool).in_flight[grant.endpoint] += 1
        waiter.fut.set_result(grant)
        loop = asyncio.get_running_loop()
        self.admission.on_slot_granted(waiter, loop.time())

    def next_grant(self) -> int:
        """Return a new grant identifier."""
        self._last_grant += 1
        return self._last_grant

    def _admit(self, pool: Pool, state: PoolState, waiter: Waiter) -> None:
        req = waiter.req
        now = asyncio.get_running_loop().time()
        verdict = self.admission.decide(pool, state.queue, waiter, now)
        if not verdict.admitted:
            self._record(EventKind.SHED, req, floor=verdict.floor)
            raise Overloaded(verdict.reason, retry_after_s=verdict.retry_after_s)
        if verdict.displaced is not None:
            self._shed(verdict.displaced, "displaced by a request of a higher tier")
        waiter.quota = verdict.quota
        self._record(EventKind.ADMITTED, req, quota=verdict.quota)

    def _expire(self, waiter: Waiter) -> None:
        if not waiter.queued or waiter.protected:
            return
        loop = asyncio.get_running_loop()
        if not self.admission.may_shed(waiter.req, loop.time()):
            loop.call_later(SHED_RETRY_S, self._expire, waiter)
            return
        self._shed(waiter, f"no slot became free within {waiter.req.patience_s:g} s")

    def _shed(self, waiter: Waiter, reason: str) -> None:
        self._remove(waiter)
        if not waiter.fut.done():
            self._record(EventKind.SHED, waiter.req)
            error = Overloaded(reason, retry_after_s=self.retry_after_s(waiter))
            waiter.fut.set_exception(error)

    def _cancel(self, waiter: Waiter) -> None:
        self._remove(waiter)
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result(), AttemptResult(ok=False))

    def _refuse_all(self, pool: str, exc: UnknownPool) -> None:
        """Refuse the waiters of a pool that was removed."""
        for waiter in self.state(pool).queue:
            self.refuse(waiter, NotRun(f"the pool was removed: {exc.message}", retry_after_s=0.0))

    def refuse(self, waiter: Waiter, error: LacewingError) -> None:
        """Remove a waiter from its queue and hand it an error."""
        self._remove(waiter)
        _refuse(waiter, error)

    def _remove(self, waiter: Waiter) -> None:
        if self.state(waiter.req.pool).queue.remove(waiter):
            self.on_removed(waiter)

    def _record(self, kind: EventKind, req: Request, quota: bool = False, floor: int = 0) -> None:
        waited = asyncio.get_running_loop().time() - req.arrived
        self._history.record(
            kind,
            request=req.id,
            tier=req.tier,
            pool=req.pool,
            workspace=req.workspace,
            request_class=req.request_class,
            arrived=self._history.now() - waited if kind is EventKind.SHED else 0.0,
            code=Overloaded.code if kind is EventKind.SHED else "",
            quota=quota,
            floor=floor,
        )


def _refuse(waiter: Waiter, error: LacewingError) -> None:
    if not waiter.fut.done():
        waiter.fut.set_exception(error)


class DirectScheduler(QueueScheduler):
    """Assigns slots without asking other nodes, up to an in-flight limit per endpoint.

    Args:
        view: Pools and usable endpoints.
        queue: Creates the queue of a pool.
        admission: Admission rules.
        selection: Chooses the endpoint.
        limit: Returns the maximum number of this node's requests in flight at an endpoint.
        history: Receives the events ``admitted`` and ``shed``.
    """

    def __init__(
        self,
        view: PoolView,
        queue: Callable[[], WaitQueue],
        admission: Admission,
        selection: Selection,
        limit: Callable[[Endpoint], int],
        history: History | None = None,
    ) -> None:
        super().__init__(view, queue, admission, history)
        self._selection = selection
        self._limit = limit

    def dispatch(self, pool: str) -> None:
        """Dispatch waiters as long as an endpoint is below its limit."""
        state = self.state(pool)
        while len(state.queue):
            free = self.free(pool, state)
            if not free:
                return
            waiter = state.queue.pop()
            if waiter is None:
                return
            if waiter.fut.done():
                continue
            allowed = [item for item in free if item.name not in waiter.req.excluded_endpoints]
            self.assign_chosen(
                waiter,
                pool,
                partial(self._selection.choose, waiter.req, allowed or free, state.in_flight),
            )

    def assign_chosen(self, waiter: Waiter, pool: str, choose: Callable[[], Endpoint]) -> None:
        """Choose the endpoint of a waiter that was removed from its queue, and hand it the grant.

        An error in the choice refuses this waiter only.
        """
        try:
            endpoint = choose()
        except Exception:
            logger.bind(request_id=waiter.req.id).exception("no endpoint could be chosen")
            _refuse(waiter, NotRun("no endpoint could be chosen", retry_after_s=SHED_RETRY_AFTER_S))
            return
        self.assign(waiter, Grant(self.next_grant(), pool, endpoint.name, brokered=False))

    def free(self, pool: str, state: PoolState) -> list[Endpoint]:
        """Return the usable endpoints of a pool that are below their limit."""
        return [
            item
            for item in self.view.usable(pool)
            if state.in_flight[item.name] < self._limit(item)
        ]

    async def run(self) -> None:
        """Dispatch to endpoints that became usable again, every ``SHED_RETRY_S``."""
        while True:
            await asyncio.sleep(SHED_RETRY_S)
            for pool in list(self._pools):
                self.pump(pool)


class LocalScheduler(DirectScheduler):
    """Uses tier queues, and the less loaded of two random endpoints.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        nodes: Returns the number of live nodes; each gets an equal share of an endpoint's slots.
        history: Receives the events ``admitted`` and ``shed``.
        rng: Source of randomness.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        nodes: Callable[[], int],
        history: History | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(
            view,
            TierQueue,
            NaiveAdmission(displace=True),
            TwoChoices(reports, rng),
            lambda endpoint: max(1, -(-endpoint.slots // max(1, nodes()))),
            history,
        )
