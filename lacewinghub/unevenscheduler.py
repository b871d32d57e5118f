"""Scheduler of proxied requests for pools whose runners state how fast they are now.

Such pools are served by the state that all nodes share: ``placement`` chooses the runner, and
``latecomers`` decides what becomes of requests for which there is too little room. All other pools
are served by ``ProxyScheduler`` alone.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from .continuation import continuing
from .latecomers import is_hopeless, late_at, patience_s, retry_after_s
from .local import PoolState
from .placement import Candidate, Placement, ZoneCost
from .prediction import Prediction
from .promptsplit import is_long
from .proxyscheduler import ProxyScheduler
from .queue import Fits, Waiter
from .request import AttemptResult, Grant, Request
from .runner_state import RunnerStates
from .scheduler import PoolView
from .selection import LoadReports
from .tables import Endpoint

HOPELESS = "no runner can complete the answer before the deadline"


@dataclass(slots=True)
class _Sent:
    """A request that was sent to a runner.

    Attributes:
        new_tokens: Prompt tokens that the runner has probably not cached.
        sent_at: Loop time at which it was sent, in seconds.
        predicted: The predicted outcome without correction, or None.
        first_s: Time from sending to the first event, in seconds; None before it.
    """

    new_tokens: int
    sent_at: float
    predicted: Prediction | None
    first_s: float | None = None


class UnevenScheduler(ProxyScheduler):
    """Serves pools whose runners state their speed by the state that all nodes share.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        states: State of the runners.
        zone: Availability zone of this node.
        zone_cost: Price of other availability zones; None if they cost nothing.
        kwargs: Further arguments of ``ProxyScheduler``.

    Attributes:
        errors: Errors of the predicted outcomes.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        *,
        states: RunnerStates,
        zone: str = "",
        zone_cost: ZoneCost | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(view, reports, **kwargs)
        reports.listen(states.on_report)
        self._placement = Placement(
            states, self._cached.cache, self._allocation, self._rng, zone, zone_cost
        )
        self._sent: dict[int, _Sent] = {}
        self._chosen: tuple[Request, Candidate] | None = None
        self.errors = self._placement.errors
        # The last request whose runners were determined, for its choice in the same dispatch.
        self._last_placed: tuple[Request, list[Candidate], list[Candidate]] | None = None

    def record_arrival(self, req: Request) -> None:
        """Record the arrival of a prompt."""
        if self._is_placed(req, self.view.usable(req.pool)):
            self._placement.on_arrival(req)
        else:
            super().record_arrival(req)

    def patience_s(self, req: Request, now: float) -> float:
        """Return how long after its arrival a prompt may wait: as long as it could still finish."""
        usable = self.view.usable(req.pool)
        if not self._is_placed(req, usable):
            return super().patience_s(req, now)
        least = self._placement.least(req, usable, self._gate.expected_events(req))
        return patience_s(req, least.finish_s, now)

    def make_waiter(self, req: Request, fut: asyncio.Future[Grant]) -> Waiter:
        """Return the queue entry of a request."""
        waiter = super().make_waiter(req, fut)
        usable = self.view.usable(req.pool)
        if self._is_placed(req, usable) and not waiter.resumed:
            least = self._placement.least(req, usable, 1.0)
            waiter.late_at = late_at(req, least.first_s)
        return waiter

    def retry_after_s(self, waiter: Waiter) -> float:
        """Return after how many seconds the client of a shed request should retry."""
        if not self._is_placed(waiter.req, self.view.usable(waiter.req.pool)):
            return super().retry_after_s(waiter)
        return retry_after_s(waiter.req, asyncio.get_running_loop().time(), self._rng)

    def on_endpoint_full(self, grant: Grant) -> None:
        """Send no further prompts to a full runner for a short time."""
        super().on_endpoint_full(grant)
        self._placement.states.on_refused(grant.endpoint)

    def assign(self, waiter: Waiter, grant: Grant) -> None:
        """Hand a grant to a waiter that was removed from its queue."""
        req = waiter.req
        if req.proxy is not None and req.proxy.prompt_tokens:
            new_tokens = self._placement.new_tokens(grant.endpoint, req)
            chosen, self._chosen = self._chosen, None
            raw = chosen[1].raw if chosen is not None and chosen[0] is req else None
            sent_at = self._placement.on_sent(grant.endpoint, req, new_tokens)
            self._sent[grant.id] = _Sent(new_tokens, sent_at, raw)
        super().assign(waiter, grant)

    def on_answer_event(self, grant: Grant) -> None:
        """Update the measured speed of the runner with an event of an answer."""
        attempt = self._attempts.get(grant.id)
        sent = self._sent.get(grant.id)
        now = asyncio.get_running_loop().time()
        if attempt is not None and sent is not None and attempt.events == 0:
            sent.first_s = now - attempt.sent_at
            self._placement.states.on_answer_began(grant.endpoint, sent.new_tokens, sent.first_s)
            if sent.predicted is not None:
                self.errors.on_first_event(sent.predicted, is_long(attempt.req), sent.first_s)
        elif attempt is not None:
            self._placement.states.on_gap(grant.endpoint, now - attempt.last_event)
        super().on_answer_event(grant)

    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Return a slot and dispatch the next waiter."""
        attempt = self._attempts.get(grant.id)
        sent = self._sent.pop(grant.id, None)
        if attempt is not None and sent is not None:
            held_s = asyncio.get_running_loop().time() - attempt.sent_at
            self._placement.states.on_ended(grant.endpoint, sent.new_tokens, sent.sent_at)
            if sent.first_s is None:
                self._placement.states.on_answer_began(grant.endpoint, sent.new_tokens, None)
            elif result.ok:
                self._placement.on_finished(grant.endpoint, attempt.req, held_s)
                if sent.predicted is not None:
                    self.errors.on_finished(
                        sent.predicted, is_long(attempt.req), sent.first_s, held_s
                    )
        super().release(grant, result)

    def _dispatch_waiters(self, pool: str, state: PoolState) -> None:
        if not self._placement.is_active(self.view.usable(pool)):
            super()._dispatch_waiters(pool, state)
            return
        self._set_late(state)
        hopeless: list[Waiter] = []
        closed: set[tuple[str, int, str | None]] = set()
        while len(state.queue):
            free = self.free(pool, state)
            waiter = state.queue.pop(self._fits_placed(free, closed, hopeless)) if free else None
            if waiter is None:
                break
            if not waiter.fut.done():
                self.assign_chosen(
                    waiter,
                    pool,
                    partial(self._choose_endpoint, waiter.req, free, state),
                )
        for waiter in hopeless:
            if waiter.queued and not waiter.protected:
                self._shed(waiter, HOPELESS)

    def _set_late(self, state: PoolState) -> None:
        """Let the waiters that can no longer begin in time yield to the others of their tier."""
        now = asyncio.get_running_loop().time()
        for waiter in [item for item in state.queue if not item.late and item.late_at <= now]:
            state.queue.remove(waiter)
            waiter.late = True
            state.queue.push(waiter)

    def _fits_placed(
        self,
        free: Sequence[Endpoint],
        closed: set[tuple[str, int, str | None]],
        hopeless: list[Waiter],
    ) -> Fits:
        """Return the rating of waiters; it collects the hopeless ones.

        Args:
            free: Endpoints below the limit of this node.
            closed: Classes, tiers and versions of requests for which no runner was found in this
                dispatch; others of them are not tried, since each trial takes half a millisecond.
            hopeless: Receives the waiters that cannot finish before their deadlines.
        """

        def fits(waiter: Waiter) -> int:
            req = waiter.req
            version = req.proxy.required_version if req.proxy is not None else None
            key = (req.request_class, req.tier, version)
            if key in closed and not waiter.resumed:
                return 0
            if self._open_endpoints(req, free):
                return 1
            closed.add(key)
            if self._is_hopeless(req, free):
                hopeless.append(waiter)
            return 0

        return fits

    def _is_hopeless(self, req: Request, free: Sequence[Endpoint]) -> bool:
        if req.proxy is None or not req.proxy.prompt_tokens:
            return False
        permitted = self._permitted(continuing(req, free))
        if not permitted:
            return False
        now = asyncio.get_running_loop().time()
        found = self._candidates(req, permitted, now, other_side=False)
        if any(item.load.free_slots >= 1.0 for item in found):
            return False
        return is_hopeless(
            min(item.prediction.finish_s for item in found), req.proxy.deadline - now
        )

    def _open_endpoints(self, req: Request, free: Sequence[Endpoint]) -> list[Endpoint]:
        if not self._is_placed(req, free):
            return super()._open_endpoints(req, free)
        own, others = self._open_candidates(req, free)
        self._last_placed = (req, own, others)
        return [item.endpoint for item in own or others]

    def _choose_endpoint(
        self, req: Request, free: Sequence[Endpoint], state: PoolState
    ) -> Endpoint:
        placed, self._last_placed = self._last_placed, None
        if not self._is_placed(req, free):
            return super()._choose_endpoint(req, free, state)
        if placed is not None and placed[0] is req:
            _, own, others = placed
        else:
            own, others = self._open_candidates(req, free)
        found = self._placement.choose(req, own or others, others if own else ())
        self._chosen = (req, found)
        return found.endpoint

    def _is_placed(self, req: Request, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether a request is placed by the state of the runners."""
        has_prompt = req.proxy is not None and req.proxy.prompt_tokens > 0
        return has_prompt and self._placement.is_active(endpoints)

    def _open_candidates(
        self, req: Request, free: Sequence[Endpoint]
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the runners that may receive a request now: those of its side, and the others."""
        assert req.proxy is not None
        now = asyncio.get_running_loop().time()
        all_free, free = free, self._eligible(req, free)
        names = {item.name for item in self._permitted(free)}
        side = self._placement.side(req, free)
        side_names = {item.name for item in side}
        rest = [item for item in free if item.name not in side_names]
        opened: list[list[Candidate]] = []
        closed: list[Candidate] = []
        for group, other_side in ((side, False), (rest, True)):
            found = self._candidates(req, group, now, other_side)
            reserves = other_side and not req.proxy.is_take_up
            if not other_side and free == all_free:
                # The node's share is that of a whole side, not of one software version.
                self._placement.refill(req, found, now)
            found = [item for item in found if item.endpoint.name in names]
            usable = [item for item in found if not self._is_full(item.endpoint.name)]
            fresh = [item for item in usable if item.endpoint.name not in req.excluded_endpoints]
            opened.append(
                self._placement.open(req, fresh, now, reserves)
                or self._placement.open(req, usable, now, reserves)
            )
            closed += usable if req.proxy.is_take_up else usable or found
        if not opened[0] and not opened[1] and (req.proxy.may_have_run or req.proxy.is_take_up):
            # The client of an interrupted answer has already waited and will not return.
            return closed, []
        return opened[0], opened[1]

    def _candidates(
        self, req: Request, group: Sequence[Endpoint], now: float, other_side: bool
    ) -> list[Candidate]:
        if not group:
            return []
        in_flight = self.state(req.pool).in_flight
        events = self._gate.expected_events(req)
        return self._placement.candidates(req, group, in_flight, events, now, other_side)

    def _is_full(self, endpoint: str) -> bool:
        return self._full.is_full(endpoint) or self._placement.states.is_full(endpoint)
