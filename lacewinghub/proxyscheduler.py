"""Scheduler of raw requests: runners by prompt, plain services by load."""

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from .admission import NaiveAdmission
from .fullrunner import FullRunners
from .history import History
from .local import DirectScheduler, PoolState
from .promptcache import PromptCacheIndex, PromptCacheSync
from .promptgate import PromptGate
from .promptsplit import PromptSplit, is_hurried, is_long
from .queue import Fits, TierQueue, Waiter, WaitQueue
from .request import AttemptResult, Grant, ProxyState, Request
from .runner_allocation import RunnerAllocation
from .scheduler import PoolView
from .selection import LoadReports, TwoChoices
from .tables import Endpoint

# Several nodes share an endpoint; what exceeds its slots waits there, ordered by urgency.
LIMIT_FACTOR = 2
# Share of the target to the first token that a held-back prompt waits before it is refused: early
# for one that just arrived, so that its caller can come back in time, late for one that came back.
FIRST_WAIT_SHARE = 0.25
RETURN_WAIT_SHARE = 1.0
# A caller that has less than this share of its route's time left was refused before.
RETURNED_SHARE = 0.95
# Refused callers come back spread over this time, in seconds.
RETRY_SPREAD_S = (1.5, 4.0)
# The same for short prompts, whose runners have a free slot again sooner.
SHORT_SPREAD_S = (0.4, 1.5)
# Share of the target to the first token that a short prompt waits before it is refused; an answer
# that is late is worth more than none to a caller that will not come back.
SHORT_FIRST_SHARE = 0.5
SHORT_RETURN_SHARE = 4.0


class LaneQueue(WaitQueue):
    """Tier queues for several kinds of requests; a kind that must wait does not hold up the others.

    Args:
        lane: Returns the kind of a request.
    """

    def __init__(self, lane: Callable[[Request], int]) -> None:
        self._lane = lane
        self._lanes: dict[int, TierQueue] = {}

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to its lane."""
        self._lanes.setdefault(self._lane(waiter.req), TierQueue()).push(waiter)

    def pop(self, fits: Fits | None = None, tier: int | None = None) -> Waiter | None:
        """Remove the next waiter of the highest tier that has one."""
        tiers = [tier] if tier is not None else sorted(self.counts())
        for wanted in tiers:
            for lane in self._lanes.values():
                waiter = lane.pop(fits, wanted)
                if waiter is not None:
                    return waiter
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Withdraw a waiter."""
        lane = self._lanes.get(self._lane(waiter.req))
        return lane is not None and lane.remove(waiter)

    def lowest(self) -> Waiter | None:
        """Return the waiter to displace first."""
        found = [item for lane in self._lanes.values() if (item := lane.lowest()) is not None]
        return max(found, key=lambda item: item.req.tier, default=None)

    def counts(self) -> dict[int, int]:
        """Return the number of waiters by tier."""
        found: dict[int, int] = {}
        for lane in self._lanes.values():
            for tier, count in lane.counts().items():
                found[tier] = found.get(tier, 0) + count
        return found

    def work(self, tier: int) -> float:
        """Return the estimated tokens in this and all higher tiers."""
        return sum(lane.work(tier) for lane in self._lanes.values())

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiters."""
        for lane in self._lanes.values():
            yield from lane

    def __len__(self) -> int:
        """Return the number of waiters."""
        return sum(len(lane) for lane in self._lanes.values())


@dataclass(slots=True)
class _Use:
    """A request at a runner; times are loop times in seconds."""

    req: Request
    sent: float
    last: float = 0.0
    events: int = 0


class ProxyScheduler(DirectScheduler):
    """Queues raw requests by tier and hands out endpoints.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        history: Receives the events ``admitted`` and ``shed``.
        rng: Source of randomness.
        boundary: Divides the runners between long and short prompts.
        cached: Parts of prompts that the runners keep.
        full: Runners that refused a request lately.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        history: History | None = None,
        rng: random.Random | None = None,
        boundary: RunnerAllocation | None = None,
        cached: PromptCacheSync | None = None,
        full: FullRunners | None = None,
    ) -> None:
        self._cached = cached or PromptCacheSync(PromptCacheIndex())
        self._split = PromptSplit(reports, boundary, self._cached.cache)
        self._gate = PromptGate()
        self._full = full or FullRunners()
        self._rng = rng or random.Random()
        self._uses: dict[int, _Use] = {}
        super().__init__(
            view,
            lambda: LaneQueue(lambda req: int(is_long(req))),
            NaiveAdmission(displace=True),
            TwoChoices(reports, rng),
            lambda endpoint: endpoint.slots * LIMIT_FACTOR,
            history,
        )

    async def acquire(self, req: Request) -> Grant:
        """Queue the request and wait for an endpoint."""
        if req.proxy is not None and req.proxy.prompt_tokens:
            if not req.proxy.sent:
                self._split.arrived(req)
            req.patience_s = _patience_s(req, req.proxy, asyncio.get_running_loop().time())
        return await super().acquire(req)

    def on_endpoint_full(self, grant: Grant) -> None:
        """Leave a runner that is full to those it serves, for a moment."""
        self._full.record_refusal(grant.endpoint)

    def retry_after_s(self, waiter: Waiter) -> float:
        """Return when a request that is shed should come back, in seconds."""
        return self._rng.uniform(*(RETRY_SPREAD_S if is_long(waiter.req) else SHORT_SPREAD_S))

    def pump(self, pool: str) -> None:
        """Dispatch waiters while an endpoint may receive them."""
        state = self.state(pool)
        while len(state.queue):
            free = self.free(pool, state)
            if not free:
                return
            waiter = state.queue.pop(self._fits(free))
            if waiter is None:
                return
            if waiter.fut.done():
                continue
            chosen = self._choose(waiter.req, self._open(waiter.req, free), state)
            self.give(waiter, Grant(self.next_grant(), pool, chosen.name, brokered=False))

    def give(self, waiter: Waiter, grant: Grant) -> None:
        """Resolve a waiter that was taken off its queue."""
        req = waiter.req
        if req.proxy is not None and req.proxy.prompt_tokens:
            now = asyncio.get_running_loop().time()
            self._uses[grant.id] = _Use(req, now)
            self._split.sent(grant.endpoint, req)
            self._cached.sent(grant.endpoint, req.proxy.parts)
            if is_long(req):
                self._gate.sent(grant.endpoint)
        super().give(waiter, grant)

    def on_answer_event(self, grant: Grant) -> None:
        """Learn the pace of a runner from a piece of an answer."""
        use = self._uses.get(grant.id)
        if use is None:
            return
        now = asyncio.get_running_loop().time()
        if use.events == 0:
            self._read(grant.endpoint, use, now - use.sent)
            self.pump(grant.pool)
        else:
            self._gate.advanced(grant.endpoint, now - use.last, now)
        use.events += 1
        use.last = now

    def release(self, grant: Grant, seen: AttemptResult) -> None:
        """Return a slot and hand it to the next waiter."""
        use = self._uses.pop(grant.id, None)
        if use is not None and use.events == 0:
            self._read(grant.endpoint, use, None)
        elif use is not None and seen.ok:
            self._gate.ended(use.req.request_class, use.events)
        super().release(grant, seen)

    def _read(self, endpoint: str, use: _Use, first_s: float | None) -> None:
        self._split.began(endpoint, use.req)
        if is_long(use.req):
            self._gate.read(endpoint, first_s)

    def _open(self, req: Request, free: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may receive a request now."""
        if req.proxy is None or not req.proxy.prompt_tokens:
            return list(free)
        side = self._split.side(req, free)
        roomy = [item for item in side if not self._full.is_full(item.name)]
        others = [item for item in free if item not in side]
        if not is_long(req):
            # Beside long prompts its answer may be late, but it is not refused for their sake.
            return roomy or [item for item in others if not self._full.is_full(item.name)]
        if req.proxy.may_have_run:
            # Its caller has waited and holds a part of the answer.
            return roomy or others or list(side)
        now = asyncio.get_running_loop().time()
        found = self._gate.open_runners(roomy, req, now)
        if not found and is_hurried(req):
            # Waiting would lose the request, while less urgent ones with more time go on.
            return others or list(side)
        return found

    def _fits(self, free: Sequence[Endpoint]) -> Fits:
        return lambda waiter: int(bool(self._open(waiter.req, free)))

    def _choose(self, req: Request, candidates: list[Endpoint], state: PoolState) -> Endpoint:
        candidates = [
            item for item in candidates if item.name not in req.excluded_endpoints
        ] or candidates
        if req.proxy is not None and req.proxy.prompt_tokens:
            return self._split.choose(req, candidates, state.in_flight)
        return self._selection.choose(req, candidates, state.in_flight)


def _patience_s(req: Request, raw: ProxyState, now: float) -> float:
    """Return how long after its arrival a prompt may wait for a runner, in seconds.

    An answer that was interrupted waits as long as its caller does.
    """
    limit_s = raw.deadline - req.arrived
    if raw.may_have_run or req.target.first_token_s is None:
        return limit_s
    left_s = raw.caller_expires - req.arrived
    returned = left_s < RETURNED_SHARE * raw.route_timeout_s
    if is_long(req):
        share = RETURN_WAIT_SHARE if returned else FIRST_WAIT_SHARE
    else:
        share = SHORT_RETURN_SHARE if returned else SHORT_FIRST_SHARE
    return min(limit_s, now - req.arrived + req.target.first_token_s * share)
