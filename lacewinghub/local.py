"""Schedulers that need no other node: the common queueing part and the local version."""

import asyncio
import random
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .admission import Admission, NaiveAdmission
from .errors import Overloaded
from .history import EventKind, History
from .queue import TierQueue, Waiter, WaitQueue
from .request import AttemptResult, Grant, Request
from .scheduler import PoolView, Scheduler
from .selection import LoadReports, Selection, TwoChoices
from .tables import Endpoint, Pool

SHED_RETRY_AFTER_S = 1.0
SHED_RETRY_S = 0.25  # How often an overdue request that may not be shed yet is looked at again.


@dataclass(slots=True)
class PoolState:
    """What a node keeps for one pool."""

    queue: WaitQueue
    in_flight: Counter[str] = field(default_factory=Counter)


class QueueScheduler(Scheduler):
    """Admission, waiting, expiry and withdrawal; subclasses say when a waiter gets a slot.

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
            UnknownPool: If its pool does not exist.
        """
        pool = self.view.pool(req.pool)
        state = self.state(pool.name)
        loop = asyncio.get_running_loop()
        waiter = self.make_waiter(req, loop.create_future())
        waiter.since = loop.time()
        if not waiter.resumed:
            self._admit(pool, state, waiter)
        state.queue.push(waiter)
        self.entered(waiter)
        if waiter.fut.done():
            return waiter.fut.result()
        timer = loop.call_at(req.arrived + req.patience_s, self._expire, waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        finally:
            timer.cancel()

    def make_waiter(self, req: Request, fut: asyncio.Future[Grant]) -> Waiter:
        """Build the queue entry of a request."""
        return Waiter(req, fut, resumed=req.sent_tokens > 0 or bool(req.excluded_endpoints))

    @abstractmethod
    def pump(self, pool: str) -> None:
        """Hand free slots of a pool to its waiters."""

    def entered(self, waiter: Waiter) -> None:
        """React to a request that was queued."""
        self.pump(waiter.req.pool)

    def left(self, waiter: Waiter) -> None:
        """React to a request that left its queue without a slot."""
        return None

    def retry_after_s(self, waiter: Waiter) -> float:
        """Return when a request that is shed should come back, in seconds."""
        return SHED_RETRY_AFTER_S

    def state(self, pool: str) -> PoolState:
        """Return the state of a pool."""
        found = self._pools.get(pool)
        if found is None:
            found = self._pools[pool] = PoolState(self._new_queue())
        return found

    def release(self, grant: Grant, seen: AttemptResult) -> None:
        """Return a slot and hand it to the next waiter."""
        in_flight = self.state(grant.pool).in_flight
        if in_flight[grant.endpoint] > 0:
            in_flight[grant.endpoint] -= 1
        self.pump(grant.pool)

    def give(self, waiter: Waiter, grant: Grant) -> None:
        """Resolve a waiter that was taken off its queue."""
        self.state(grant.pool).in_flight[grant.endpoint] += 1
        waiter.fut.set_result(grant)
        loop = asyncio.get_running_loop()
        self.admission.served(waiter, loop.time())

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

    def _withdraw(self, waiter: Waiter) -> None:
        self._remove(waiter)
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result(), AttemptResult(ok=False))

    def _remove(self, waiter: Waiter) -> None:
        if self.state(waiter.req.pool).queue.remove(waiter):
            self.left(waiter)

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


class DirectScheduler(QueueScheduler):
    """Dispatches by the node's own knowledge, up to an in-flight limit per endpoint.

    Args:
        view: Pools and usable endpoints.
        queue: Creates the queue of a pool.
        admission: Admission rules.
        selection: Chooses the endpoint.
        limit: Returns the largest number of this node's requests at an endpoint.
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

    def pump(self, pool: str) -> None:
        """Dispatch waiters while an endpoint is below the limit."""
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
            better = [item for item in free if item.name not in waiter.req.excluded_endpoints]
            chosen = self._selection.choose(waiter.req, better or free, state.in_flight)
            self.give(waiter, Grant(self.next_grant(), pool, chosen.name, brokered=False))

    def free(self, pool: str, state: PoolState) -> list[Endpoint]:
        """Return the usable endpoints of a pool that are below the limit."""
        return [
            item
            for item in self.view.usable(pool)
            if state.in_flight[item.name] < self._limit(item)
        ]

    async def run(self) -> None:
        """Look for endpoints that became usable, once per ``SHED_RETRY_S``."""
        while True:
            await asyncio.sleep(SHED_RETRY_S)
            for pool in list(self._pools):
                self.pump(pool)


class LocalScheduler(DirectScheduler):
    """Tier queues and two random choices over own requests plus reported load.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        nodes: Returns the number of live nodes, which share the slots of each endpoint equally.
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
