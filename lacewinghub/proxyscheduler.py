"""Scheduler of proxied requests, which are forwarded to endpoints unchanged.

Runners are chosen by the prompt of the request, services by their load.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from .admission import NaiveAdmission
from .answer_time import AnswerTimes
from .brittle_endpoints import BrittleEndpoints
from .continuation import beginning, check_origin, continues_stream, continuing, may_move
from .endpoint_pause import EndpointPauses
from .endpoint_quota import EndpointQuotas
from .errors import StreamVersionGone, UnknownPool
from .fullrunner import FullRunners
from .history import EventKind, History
from .local import DirectScheduler, PoolState
from .promptcache import PromptCacheIndex, PromptCacheSync
from .promptgate import PromptGate
from .promptsplit import PromptSplit, is_long, is_urgent
from .queue import Fits, Waiter
from .request import AttemptResult, Grant, ProxyState, Request
from .runner_allocation import FixedAllocation, RunnerAllocation
from .scheduler import PoolView
from .selection import LoadReports, TwoChoices
from .tables import Endpoint, Pool
from .traffic_class_queue import TrafficClassQueue

# A node sends each endpoint up to this many times its slots. Requests beyond the slots wait at the
# endpoint, which orders those of all nodes by urgency.
LIMIT_FACTOR = 2
# Maximum wait of a long prompt before it is refused, as a share of the first-token target: short
# for a new request, so that its client can retry in time, and long for a retry.
LONG_FIRST_WAIT_SHARE = 0.25
LONG_RETRY_WAIT_SHARE = 1.0
# A request counts as a retry if its client has less than this share of the route's time left.
RETRY_TIME_SHARE = 0.95
# Range of the random retry-after of refused requests, in seconds; it spreads the retries.
LONG_RETRY_AFTER_S = (1.5, 4.0)
# The same for short prompts, whose runners have a free slot again sooner.
SHORT_RETRY_AFTER_S = (0.4, 1.5)
# Maximum wait of a short prompt before it is refused, as a share of the first-token target. A retry
# waits long, since its client will not try again: for it a late answer is better than none.
SHORT_FIRST_WAIT_SHARE = 0.5
SHORT_RETRY_WAIT_SHARE = 4.0


@dataclass(slots=True)
class _Attempt:
    """A request that was sent to a runner.

    Attributes:
        req: The request.
        sent_at: Loop time at which it was sent, in seconds.
        last_event: Loop time of the last event of its answer, in seconds.
        events: Number of events received.
    """

    req: Request
    sent_at: float
    last_event: float = 0.0
    events: int = 0


class ProxyScheduler(DirectScheduler):
    """Queues proxied requests by tier and assigns them to endpoints.

    The runners of a pool are divided into those for long and those for short prompts. Long prompts
    wait while their runners are too slow to answer another one in time.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        history: Receives the events ``admitted`` and ``shed``.
        rng: Source of randomness.
        allocation: Decides how many runners serve long prompts.
        cached: Prompt parts that the runners have cached.
        full: Runners that recently refused a request because they were full.
        quotas: Rates of requests that endpoints state; None if they state none.
        pauses: Endpoints that want no requests of this node for some time.
        is_new: Tells whether the software version of a pool's endpoint is new beside others; None
            if versions do not matter.
        brittle: Limits the requests at endpoints that fall over if they refuse many; None if there
            are none.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        history: History | None = None,
        rng: random.Random | None = None,
        allocation: RunnerAllocation | None = None,
        cached: PromptCacheSync | None = None,
        full: FullRunners | None = None,
        quotas: EndpointQuotas | None = None,
        pauses: EndpointPauses | None = None,
        is_new: Callable[[str, Endpoint], bool] | None = None,
        brittle: BrittleEndpoints | None = None,
    ) -> None:
        self._cached = cached or PromptCacheSync(PromptCacheIndex())
        self._allocation = allocation or FixedAllocation()
        self._split = PromptSplit(reports, self._allocation, self._cached.cache)
        self._reports = reports
        self._gate = PromptGate()
        self._full = full or FullRunners()
        self._quotas = quotas
        self._pauses = pauses or EndpointPauses()
        self._is_new = is_new
        self._brittle = brittle
        # Plain requests at brittle endpoints: how long answers take, and those under way.
        self._answer_times = AnswerTimes()
        self._plain_attempts: dict[int, _Attempt] = {}
        self._pump_timers: dict[str, asyncio.TimerHandle] = {}
        self._rng = rng or random.Random()
        self._attempts: dict[int, _Attempt] = {}
        # Pools whose current endpoints have the versions of all waiters.
        self._checked_pools: dict[str, Pool] = {}
        super().__init__(
            view,
            lambda: TrafficClassQueue(lambda req: int(is_long(req))),
            NaiveAdmission(displace=True),
            TwoChoices(reports, rng),
            lambda endpoint: endpoint.slots * LIMIT_FACTOR,
            history,
        )

    async def acquire(self, req: Request) -> Grant:
        """Queue the request and wait for an endpoint.

        Raises:
            Overloaded: If the request is shed.
            StreamVersionGone: If it continues a stream, and the last endpoint is gone at which that
                may go on.
            UnknownPool: If the pool of the request does not exist.
        """
        check_origin(req, self.view.pool(req.pool))
        if req.proxy is not None and req.proxy.is_take_up and not req.proxy.sent:
            # Nothing refuses it, as if it had been admitted with the earlier attempt.
            self._record(EventKind.ADMITTED, req)
        if req.proxy is not None and req.proxy.prompt_tokens:
            if not req.proxy.sent:
                self.record_arrival(req)
            req.patience_s = self.patience_s(req, asyncio.get_running_loop().time())
        elif req.proxy is not None and self._is_brittle(req.pool, ""):
            self._limit_patience(req, req.proxy)
        return await super().acquire(req)

    def _limit_patience(self, req: Request, proxy: ProxyState) -> None:
        """Let a plain request wait only while its answer can be complete in time.

        Others would take the slots of brittle endpoints, which do not let any wait, in vain.
        """
        answer_s = self._answer_times.expected_s(req.request_class)
        if answer_s < float("inf"):
            limit_s = proxy.deadline - req.arrived - answer_s
            req.patience_s = min(req.patience_s, max(0.0, limit_s))

    def record_arrival(self, req: Request) -> None:
        """Record the arrival of a prompt."""
        self._split.on_arrival(req)

    def patience_s(self, req: Request, now: float) -> float:
        """Return how long after its arrival a prompt may wait for a runner, in seconds."""
        assert req.proxy is not None
        return _patience_s(req, req.proxy, now)

    def make_waiter(self, req: Request, fut: asyncio.Future[Grant]) -> Waiter:
        """Return the queue entry of a request.

        A request is never shed if it may have run, or continues a stream: its client may have
        received a part of the answer and will not return. One that runners refused can still return
        in time.
        """
        waiter = super().make_waiter(req, fut)
        if req.proxy is not None and req.proxy.prompt_tokens:
            waiter.resumed = waiter.resumed and req.proxy.may_have_run
        waiter.continues = continues_stream(req)
        waiter.resumed = waiter.resumed or waiter.continues
        return waiter

    def on_endpoint_full(self, grant: Grant) -> None:
        """Send no further prompts to a full runner for a short time."""
        self._full.record_refusal(grant.endpoint)
        endpoint = self._endpoint(grant.pool, grant.endpoint)
        if self._brittle is not None and endpoint is not None:
            others = self.state(grant.pool).in_flight[grant.endpoint] - 1
            self._brittle.on_refused(grant.pool, grant.endpoint, endpoint.slots, max(0, others))

    def retry_after_s(self, waiter: Waiter) -> float:
        """Return after how many seconds the client of a shed request should retry."""
        return self._rng.uniform(
            *(LONG_RETRY_AFTER_S if is_long(waiter.req) else SHORT_RETRY_AFTER_S)
        )

    def free(self, pool: str, state: PoolState) -> list[Endpoint]:
        """Return the usable endpoints of a pool at which there is room for a request."""
        return [item for item in super().free(pool, state) if self._has_room(pool, item)]

    def _endpoint(self, pool: str, name: str) -> Endpoint | None:
        """Return an endpoint; None if it or its pool is gone."""
        try:
            return self.view.pool(pool).endpoint(name)
        except UnknownPool:
            return None

    def _just_refused(self, pool: str, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has just refused a request of any node.

        The requests at a brittle one are bounded in any case. Refusals of single requests beyond
        its room, which are expected, must not stop all others.
        """
        return not self._is_brittle(pool, endpoint.name) and self._full.is_full(endpoint.name)

    def _is_brittle(self, pool: str, endpoint: str) -> bool:
        """Return whether an endpoint is brittle; the empty name stands for one without answers."""
        return self._brittle is not None and self._brittle.is_brittle(pool, endpoint)

    def _has_room(self, pool: str, endpoint: Endpoint, more: int = 0) -> bool:
        """Return whether a brittle endpoint has room; others refuse without harm.

        Args:
            pool: Name of the endpoint's pool.
            endpoint: The endpoint.
            more: Number of requests that will be there beside those in flight.
        """
        if self._brittle is None:
            return True
        in_flight = self.state(pool).in_flight[endpoint.name] + more
        return self._brittle.has_room(pool, endpoint.name, endpoint.slots, in_flight)

    def dispatch(self, pool: str) -> None:
        """Dispatch waiters as long as an endpoint may receive one."""
        state = self.state(pool)
        self._refuse_without_version(pool, state)
        self._dispatch_waiters(pool, state)
        if len(state.queue):
            self._pump_when_permitted(pool)

    def _refuse_without_version(self, name: str, state: PoolState) -> None:
        """Refuse the waiters whose streams can go on nowhere since the endpoints have changed."""
        pool = self.view.pool(name)
        if self._checked_pools.get(name) is pool:
            return
        self._checked_pools[name] = pool
        for waiter in state.queue:
            try:
                check_origin(waiter.req, pool)
            except StreamVersionGone as exc:
                self.refuse(waiter, exc)

    def _dispatch_waiters(self, pool: str, state: PoolState) -> None:
        while len(state.queue):
            free = self.free(pool, state)
            if not free:
                return
            waiter = state.queue.pop(self._fits(free))
            if waiter is None:
                return
            if waiter.fut.done():
                continue
            self.assign_chosen(
                waiter, pool, partial(self._choose_endpoint, waiter.req, free, state)
            )

    def _pump_when_permitted(self, pool: str) -> None:
        """Dispatch waiters again once an endpoint permits another request."""
        waits = [self._wait_s(item) for item in self.view.usable(pool)]
        wait_s = min((item for item in waits if item > 0.0), default=float("inf"))
        if wait_s == float("inf") or pool in self._pump_timers:
            return
        loop = asyncio.get_running_loop()
        self._pump_timers[pool] = loop.call_later(wait_s, self._on_pump_timer, pool)

    def _on_pump_timer(self, pool: str) -> None:
        del self._pump_timers[pool]
        self.pump(pool)

    def assign(self, waiter: Waiter, grant: Grant) -> None:
        """Hand a grant to a waiter that was removed from its queue."""
        req = waiter.req
        if self._quotas is not None:
            self._quotas.on_sent(grant.endpoint)
        self._pauses.on_sent(grant.endpoint)
        if req.proxy is not None and req.proxy.prompt_tokens:
            now = asyncio.get_running_loop().time()
            self._attempts[grant.id] = _Attempt(req, now)
            self._split.on_sent(grant.endpoint, req)
            self._cached.on_sent(grant.endpoint, req.proxy.parts)
            if is_long(req):
                self._gate.on_sent(grant.endpoint)
        elif self._is_brittle(grant.pool, grant.endpoint):
            self._plain_attempts[grant.id] = _Attempt(req, asyncio.get_running_loop().time())
        super().assign(waiter, grant)

    def on_answer_event(self, grant: Grant) -> None:
        """Update the measured speed of the runner with an event of an answer."""
        attempt = self._attempts.get(grant.id)
        if attempt is None:
            return
        now = asyncio.get_running_loop().time()
        if attempt.events == 0:
            self._on_answer_began(grant.endpoint, attempt, now - attempt.sent_at)
            self.pump(grant.pool)
        else:
            self._gate.on_answer_event(grant.endpoint, now - attempt.last_event, now)
        attempt.events += 1
        attempt.last_event = now

    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Return a slot and dispatch the next waiter."""
        attempt = self._attempts.pop(grant.id, None)
        if attempt is not None and attempt.events == 0:
            self._on_answer_began(grant.endpoint, attempt, None)
        elif attempt is not None and result.ok:
            self._gate.record_length(attempt.req.request_class, attempt.events)
        plain = self._plain_attempts.pop(grant.id, None)
        if plain is not None and result.ok:
            answer_s = asyncio.get_running_loop().time() - plain.sent_at
            self._answer_times.record(plain.req.request_class, answer_s)
        super().release(grant, result)

    def move_target(
        self, req: Request, source: Endpoint, excluded: Collection[str], moving: Mapping[str, int]
    ) -> Endpoint | None:
        """Choose the endpoint to which a run is moved, or None if there is none.

        Endpoints with a free slot come first, then those of the source's availability zone: a run
        at an endpoint without one would wait in its queue.

        Args:
            req: The request.
            source: Endpoint that executes it.
            excluded: Names of endpoints that are not chosen.
            moving: Number of runs that this node is moving to an endpoint, by name.
        """
        in_flight = self.state(req.pool).in_flight
        loads = {name: in_flight[name] + moving.get(name, 0) for name in {*in_flight, *moving}}
        candidates = [
            item
            for item in self._permitted(continuing(req, self.view.usable(req.pool)))
            if item.name != source.name
            and may_move(source, item)
            and item.name not in excluded
            and loads.get(item.name, 0) < self._limit(item)
            and self._has_room(req.pool, item, moving.get(item.name, 0))
        ]
        with_room = [
            item
            for item in candidates
            if not self._just_refused(req.pool, item)
            and max(self._reports.load(item.name), loads.get(item.name, 0)) < item.slots
        ]
        candidates = with_room or candidates
        zone = source.availability_zone
        near = [item for item in candidates if item.availability_zone == zone]
        if not candidates:
            return None
        return self._selection.choose(req, near or candidates, loads)

    def may_occupy(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be sent another request now."""
        if not self._permitted([endpoint]):
            return False
        pools = [pool for pool in self.view.names() if self._endpoint(pool, endpoint.name)]
        return all(self._has_room(pool, endpoint) for pool in pools)

    def occupy(self, req: Request, endpoint: Endpoint, events: int) -> Grant:
        """Take a slot for a run that continues at an endpoint, without waiting.

        Its prompt is not prefilled again, so that it adds nothing to the prefill backlog.

        Args:
            req: The request.
            endpoint: The endpoint.
            events: Number of events received before.
        """
        grant = Grant(self.next_grant(), req.pool, endpoint.name, brokered=False)
        if self._quotas is not None:
            self._quotas.on_sent(endpoint.name)
        self._pauses.on_sent(endpoint.name)
        self.state(req.pool).in_flight[endpoint.name] += 1
        if req.proxy is not None and req.proxy.prompt_tokens:
            now = asyncio.get_running_loop().time()
            self._attempts[grant.id] = _Attempt(req, now, now, max(1, events))
        return grant

    def _on_answer_began(self, endpoint: str, attempt: _Attempt, first_s: float | None) -> None:
        self._split.on_answer_began(endpoint, attempt.req)
        if is_long(attempt.req):
            self._gate.on_answer_began(endpoint, first_s)

    def _eligible(self, req: Request, free: Sequence[Endpoint]) -> list[Endpoint]:
        """Return those of the free endpoints at which a stream may begin or go on."""
        found = continuing(req, free)
        if not found and continues_stream(req):
            return self._ejected_of_version(req)
        is_new = self._is_new
        if is_new is None or not any(is_new(req.pool, item) for item in found):
            return found
        return beginning(req, found, partial(is_new, req.pool))

    def _ejected_of_version(self, req: Request) -> list[Endpoint]:
        """Return ejected endpoints at which a stream may go on, if it may at no usable one.

        Of a pool at most half is ejected, of a version perhaps all. New requests go elsewhere, but
        this one would wait until its deadline.
        """
        if continuing(req, self.view.usable(req.pool)):
            return []
        in_flight = self.state(req.pool).in_flight
        return [
            item
            for item in continuing(req, self.view.ejected(req.pool))
            if item.name not in req.excluded_endpoints
            and in_flight[item.name] < self._limit(item)
            and self._has_room(req.pool, item)
        ]

    def _open_endpoints(self, req: Request, free: Sequence[Endpoint]) -> list[Endpoint]:
        """Return those of the free endpoints that may receive a request now."""
        # The endpoints at which a stream may go on are divided into sides of their own: it may use
        # each of them if they are few.
        free = self._eligible(req, free)
        permitted = self._permitted(free)
        if req.proxy is None or not req.proxy.prompt_tokens:
            return permitted
        side = self._split.side(req, free)
        own_side = [item for item in side if item in permitted]
        not_full = [item for item in own_side if not self._just_refused(req.pool, item)]
        others = [item for item in permitted if item not in side]
        if not is_long(req) or req.proxy.is_take_up:
            # A short prompt may go to a runner of long ones: its answer is slower there, but that
            # is better than a refusal. A client in the middle of an answer does not wait for
            # runners that are merely slow.
            return not_full or [item for item in others if not self._just_refused(req.pool, item)]
        if req.proxy.may_have_run:
            # The client has already waited and may have received a part of the answer.
            return not_full or others or own_side
        now = asyncio.get_running_loop().time()
        found = self._gate.open_runners(not_full, req, now)
        if not found and len(own_side) < len(side):
            # The rates that its runners state leave no other place for it.
            found = self._gate.open_runners(others, req, now)
        if not found and is_urgent(req):
            # The request would expire while it waits for less urgent ones that have more time.
            return others or own_side
        return found

    def _not_excluded(
        self, req: Request, candidates: list[Endpoint], free: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the candidates that have not failed the request, or all if there is no other way.

        A request whose client has waited, and perhaps has a part of the answer, goes to an endpoint
        of the other side rather than once more to one that failed it.
        """
        found = [item for item in candidates if item.name not in req.excluded_endpoints]
        in_progress = req.proxy is not None and req.proxy.may_have_run
        if not found and (in_progress or continues_stream(req) or not is_long(req)):
            others = self._permitted(self._eligible(req, free))
            found = [item for item in others if item.name not in req.excluded_endpoints]
        return found or candidates

    def _permitted(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that permit a request now, by what they state in their answers."""
        return [item for item in endpoints if not self._wait_s(item)]

    def _wait_s(self, endpoint: Endpoint) -> float:
        """Return how long until an endpoint permits a request, in seconds; infinite if never."""
        quota_s = 0.0 if self._quotas is None else self._quotas.wait_s(endpoint.name)
        return max(quota_s, self._pauses.wait_s(endpoint.name))

    def _fits(self, free: Sequence[Endpoint]) -> Fits:
        return lambda waiter: int(bool(self._open_endpoints(waiter.req, free)))

    def _choose_endpoint(
        self, req: Request, free: Sequence[Endpoint], state: PoolState
    ) -> Endpoint:
        candidates = self._not_excluded(req, self._open_endpoints(req, free), free)
        if req.proxy is not None and req.proxy.prompt_tokens:
            return self._split.choose(req, candidates, state.in_flight)
        return self._selection.choose(req, candidates, state.in_flight)


def _patience_s(req: Request, proxy: ProxyState, now: float) -> float:
    """Return how long after its arrival a request may wait for a runner, in seconds.

    A request whose answer was interrupted waits as long as its client does.
    """
    limit_s = proxy.deadline - req.arrived
    if proxy.may_have_run or continues_stream(req) or req.target.first_token_s is None:
        return limit_s
    left_s = proxy.client_deadline - req.arrived
    # A request that runners refused counts as a retry: it has used up a part of its time.
    is_retry = proxy.sent > 0 or left_s < RETRY_TIME_SHARE * proxy.route_timeout_s
    if is_long(req):
        share = LONG_RETRY_WAIT_SHARE if is_retry else LONG_FIRST_WAIT_SHARE
    else:
        share = SHORT_RETRY_WAIT_SHARE if is_retry else SHORT_FIRST_WAIT_SHARE
    return min(limit_s, now - req.arrived + req.target.first_token_s * share)
