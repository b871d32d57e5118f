"""Chooses runners that differ in speed by the predicted outcome of a request.

It serves the pools whose runners state their speed; ``promptsplit`` and ``promptgate`` decide for
all others. All nodes see nearly the same state. So that they do not all choose the same runner, a
node compares only a few: two random ones, weighted by speed and free slots, and the two which the
hash order prefers for the last shared part of the prompt.
"""

import heapq
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from .prediction import Prediction, RunnerLoad, UsualWork, loss_s, predict
from .prediction_error import PredictionErrors
from .promptcache import PromptCacheIndex
from .promptsplit import affinity_key, is_long, prompt_tokens
from .request import Request
from .runner_allocation import RunnerAllocation
from .runner_state import RunnerStates
from .tables import Endpoint

# Requests in a runner's own queue, as a share of its slots, beyond which it gets no further ones.
# Some must wait there, since no node knows at once when a slot becomes free. Each lower tier has a
# smaller share: the first divided by one and this figure for each higher tier.
QUEUE_SHARE = 0.25
TIER_SHARE = 0.5
# Requests that a node may send at once to runners without a free slot.
QUEUE_BURST = 2.0
# A request is sent only where it is predicted to end within this share of the time left, or within
# that of the second figure if a slot is free there: the prediction may be wrong.
TIME_SHARE = 0.9
FREE_TIME_SHARE = 1.3
# Runners that are drawn at random.
CHOICES = 2
# Smallest number of free slots that counts when runners are drawn.
MIN_FREE = 0.5
# The second runner in the hash order of a shared part is preferred by this share of the bonus.
SECOND_SHARE = 0.45
# Assumed size of an event, in bytes.
EVENT_BYTES = 200
# A smaller bonus is ignored, since all nodes that choose the same runners would overload them.
MIN_BONUS_S = 0.05
# A runner of the other side is chosen if it is better by more than this, in seconds, and by the
# time to prefill a long prompt: the request may meet one there, or hold up short ones.
SIDE_COST_S = 0.2
LONG_SIDE_FACTOR = 4.0
# A long prompt goes to a runner of short ones only if this share of its slots is free, before and
# after its target for the first event has passed.
LONG_RESERVE_SHARE = 0.5
LATE_RESERVE_SHARE = 0.25
# Work of a second in a slot, in the unit in which the nodes report their demand.
WORK_PER_S = 10_000
# Weight of the newest value in averages over requests.
WEIGHT = 0.05
# Assumed until requests were measured: time in a slot, and uncached prompt tokens.
DEFAULT_HOLD_S = {True: 2.0, False: 0.8}
DEFAULT_TOKENS = {True: 8_000.0, False: 800.0}


class ZoneCost(ABC):
    """The price of sending requests to other availability zones."""

    @abstractmethod
    def extra_s(self, zone: str, request_bytes: int, response_bytes: int) -> float:
        """Return the price of sending a request to a zone, in seconds of waiting."""

    @abstractmethod
    def may_leave(self, zone: str, now: float) -> bool:
        """Return whether a request may be sent to a zone now."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A runner that may receive a request, with the predicted outcome.

    Attributes:
        endpoint: The runner.
        load: Its estimated state.
        prediction: What becomes of the request there.
        loss_s: Cost of that, in seconds of waiting.
        new_tokens: Prompt tokens that it has probably not cached.
        raw: The prediction without correction.
    """

    endpoint: Endpoint
    load: RunnerLoad
    prediction: Prediction
    loss_s: float
    new_tokens: int
    raw: Prediction


class QueuePermits:
    """Limits what a node sends to runners without a free slot to its share of what they complete.

    Otherwise all nodes would send their waiting requests to the few runners that seem least loaded,
    whose queues would grow until the next observation.
    """

    def __init__(self) -> None:
        self._permits = QUEUE_BURST
        self._per_s = 0.0
        self._at = 0.0

    def refill(self, per_s: float, now: float) -> None:
        """Add the permits since the last call.

        Args:
            per_s: Requests per second that the runners complete, divided by the number of nodes.
            now: Loop time, in seconds.
        """
        self._permits = min(QUEUE_BURST, self._permits + self._per_s * (now - self._at))
        self._per_s, self._at = per_s, now

    def is_available(self) -> bool:
        """Return whether a request may be sent to a runner without a free slot."""
        return self._permits >= 1.0

    def spend(self) -> None:
        """Record that a request is sent to any runner."""
        self._permits = max(-QUEUE_BURST, self._permits - 1.0)


class Placement:
    """Chooses runners by the predicted outcome.

    Attributes:
        states: State of the runners.
        errors: Errors of the predictions.

    Args:
        states: State of the runners.
        cache: Prompt parts that the runners have cached.
        allocation: Decides which share of the capacity serves long prompts.
        rng: Source of randomness.
        zone: Availability zone of this node.
        zone_cost: Price of other availability zones; None if they cost nothing.
    """

    def __init__(
        self,
        states: RunnerStates,
        cache: PromptCacheIndex,
        allocation: RunnerAllocation,
        rng: random.Random | None = None,
        zone: str = "",
        zone_cost: ZoneCost | None = None,
    ) -> None:
        self.states = states
        self.errors = PredictionErrors()
        self._cache = cache
        self._allocation = allocation
        self._rng = rng or random.Random()
        self._zone = zone
        self._zone_cost = zone_cost
        self._permits = {True: QueuePermits(), False: QueuePermits()}
        self._hold_s = dict(DEFAULT_HOLD_S)
        self._tokens = dict(DEFAULT_TOKENS)

    def is_active(self, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether some runners of a pool are to be chosen by their state."""
        return self.states.is_stated(endpoints)

    def side(self, req: Request, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the runners that serve prompts of the request's length.

        The order is that of weighted rendezvous hashing, so that fast runners tend to serve long
        prompts and a change of speed moves few runners.
        """
        if len(endpoints) < 2:
            return list(endpoints)
        ordered = sorted(endpoints, key=lambda item: self._rank("side", item.name))
        capacities = [item.slots / self.states.rank_slowness(item.name) for item in ordered]
        count = self._allocation.long_prompt_split(capacities)
        return ordered[:count] if is_long(req) else ordered[count:]

    def candidates(
        self,
        req: Request,
        endpoints: Sequence[Endpoint],
        in_flight: Mapping[str, int],
        events: float,
        now: float,
        other_side: bool = False,
    ) -> list[Candidate]:
        """Predict the outcome of a request at some runners of one side.

        Args:
            req: The request.
            endpoints: The runners.
            in_flight: Number of this node's requests in flight, by endpoint name.
            events: Expected number of events of the answer.
            now: Loop time, in seconds.
            other_side: True if they serve prompts of the other length.
        """
        usual = self._usual(req, endpoints)
        loads = self.states.estimate(
            endpoints, in_flight, self._tokens[is_long(req) is not other_side]
        )
        left_s = _left_s(req, now)
        found = []
        for item in endpoints:
            new_tokens = self.new_tokens(item.name, req)
            raw = predict(loads[item.name], usual, new_tokens, events)
            prediction = self.errors.correct(raw, is_long(req))
            loss = loss_s(prediction, req.target, left_s, now - req.arrived)
            loss += self._zone_s(item, req, events)
            found.append(Candidate(item, loads[item.name], prediction, loss, new_tokens, raw))
        return found

    def refill(self, req: Request, candidates: Sequence[Candidate], now: float) -> None:
        """Determine how many requests this node may send to runners without a free slot.

        Args:
            req: The request.
            candidates: All runners of its side.
            now: Loop time, in seconds.
        """
        kind = is_long(req)
        slots = sum(item.load.slots / item.load.slowness for item in candidates)
        self._permits[kind].refill(slots / self._hold_s[kind] / self.states.nodes(), now)

    def open(
        self, req: Request, candidates: Sequence[Candidate], now: float, other_side: bool = False
    ) -> list[Candidate]:
        """Return the candidates to which a request may be sent now.

        Args:
            req: The request.
            candidates: Runners.
            now: Loop time, in seconds.
            other_side: True if they serve prompts of the other length.
        """
        left_s = _left_s(req, now)
        if other_side:
            reserve = self._reserve(req, now)
            candidates = [
                item
                for item in candidates
                if item.load.free_slots >= max(1.0, reserve * item.load.slots)
            ]
        found = [item for item in candidates if self._is_open(item, req, left_s)]
        if self._zone_cost is None:
            return found
        # Another zone is better than none.
        return [item for item in found if self._may_enter(item.endpoint, now)] or found

    def choose(
        self, req: Request, candidates: Sequence[Candidate], others: Sequence[Candidate] = ()
    ) -> Candidate:
        """Choose one of the open candidates.

        Args:
            req: The request.
            candidates: Runners of its side; at least one.
            others: Runners of the other side.
        """
        found = self._choose(req, candidates)
        if not others:
            return found
        other = self._draw(others, 1)[0]
        tokens = LONG_SIDE_FACTOR * other.new_tokens if is_long(req) else self._tokens[True]
        prefill_s = tokens / 1000 * self.states.prefill_s([other.endpoint]) * other.load.slowness
        return other if other.loss_s + SIDE_COST_S + prefill_s < found.loss_s else found

    def _draw(self, candidates: Sequence[Candidate], count: int) -> list[Candidate]:
        weights = [max(MIN_FREE, item.load.free_slots) / item.load.slowness for item in candidates]
        return self._rng.choices(candidates, weights, k=count)

    def _choose(self, req: Request, candidates: Sequence[Candidate]) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        drawn = self._draw(candidates, CHOICES)
        bonus_s = self._bonus_s(req, candidates)
        if bonus_s < MIN_BONUS_S:
            return min(drawn, key=lambda item: item.loss_s)
        shared = sum(part.tokens for part in req.proxy.shared_parts) if req.proxy else 0
        holders = [item for item in candidates if prompt_tokens(req) - item.new_tokens >= shared]
        if len(holders) >= CHOICES:
            # The more requests have the part, the more runners hold it.
            return min(
                [*self._draw(holders, CHOICES), *drawn],
                key=lambda item: item.loss_s - (bonus_s if item in holders else 0.0),
            )
        key = affinity_key(req)
        first, second = heapq.nsmallest(
            2, candidates, key=lambda item: self._rank(key, item.endpoint.name)
        )
        bonus = {
            first.endpoint.name: bonus_s,
            second.endpoint.name: SECOND_SHARE * bonus_s,
            **{item.endpoint.name: bonus_s for item in holders},
        }
        return min(
            [first, second, *holders, *drawn],
            key=lambda item: item.loss_s - bonus.get(item.endpoint.name, 0.0),
        )

    def new_tokens(self, endpoint: str, req: Request) -> int:
        """Return how many prompt tokens of a request a runner has probably not cached."""
        parts = req.proxy.parts if req.proxy is not None else ()
        return max(1, prompt_tokens(req) - self._cache.cached_tokens(endpoint, parts))

    def least(self, req: Request, endpoints: Sequence[Endpoint], events: float) -> Prediction:
        """Return the outcome of a request at the fastest of some runners if it is idle."""
        usual = self._usual(req, endpoints)
        loads = self.states.estimate(endpoints, {}, 0.0)
        outcomes = [
            predict(
                RunnerLoad(load.slots, 0.0, 0.0, load.slowness, load.gap_s),
                usual,
                self.new_tokens(name, req),
                events,
            )
            for name, load in loads.items()
        ]
        return min(outcomes, key=lambda item: item.finish_s)

    def on_arrival(self, req: Request) -> None:
        """Record the arrival of a request: the sides are divided by the time in slots."""
        kind = is_long(req)
        self._allocation.use_average()
        work = self._hold_s[kind] * WORK_PER_S
        self._allocation.record_arrival(kind, round(work), 0)

    def on_sent(self, endpoint: str, req: Request, new_tokens: int) -> float:
        """Record that a request is sent to a runner; return the loop time."""
        kind = is_long(req)
        self._permits[kind].spend()
        self._tokens[kind] += WEIGHT * (new_tokens - self._tokens[kind])
        return self.states.on_sent(endpoint, new_tokens)

    def on_finished(self, endpoint: str, req: Request, held_s: float) -> None:
        """Record for how long an answer that is complete occupied a slot."""
        kind = is_long(req)
        usual_s = held_s / self.states.rank_slowness(endpoint)
        self._hold_s[kind] += WEIGHT * (usual_s - self._hold_s[kind])

    def _reserve(self, req: Request, now: float) -> float:
        """Return the share of free slots that a runner of the other side keeps."""
        if not is_long(req):
            return 0.0
        target_s = req.target.first_token_s
        is_late = target_s is not None and now - req.arrived > target_s
        return LATE_RESERVE_SHARE if is_late else LONG_RESERVE_SHARE

    def _usual(self, req: Request, endpoints: Sequence[Endpoint]) -> UsualWork:
        return UsualWork(self.states.prefill_s(endpoints), self._hold_s[is_long(req)])

    def _is_open(self, item: Candidate, req: Request, left_s: float) -> bool:
        free = item.load.free_slots
        # Higher tiers find a place first, also before requests that other nodes hold back.
        if free <= -QUEUE_SHARE * item.load.slots / (1.0 + TIER_SHARE * (req.tier - 1)):
            return False
        if free < 1.0 and not self._permits[is_long(req)].is_available():
            return False
        share = FREE_TIME_SHARE if free >= 1.0 else TIME_SHARE
        return item.prediction.finish_s <= share * left_s

    def _bonus_s(self, req: Request, candidates: Sequence[Candidate]) -> float:
        """Return what it costs to prefill the shared parts at one more runner, in seconds."""
        shared = sum(part.tokens for part in req.proxy.shared_parts) if req.proxy else 0
        slowness = sum(item.load.slowness for item in candidates) / len(candidates)
        prefill_s = self.states.prefill_s([item.endpoint for item in candidates])
        return shared / 1000 * prefill_s * slowness

    def _may_enter(self, item: Endpoint, now: float) -> bool:
        zone = item.availability_zone
        return self._zone_cost is None or zone == self._zone or self._zone_cost.may_leave(zone, now)

    def _zone_s(self, item: Endpoint, req: Request, events: float) -> float:
        """Return the price of the runner's availability zone, in seconds of waiting."""
        zone = item.availability_zone
        if self._zone_cost is None or zone == self._zone or req.proxy is None:
            return 0.0
        response_bytes = int(events * EVENT_BYTES)
        return self._zone_cost.extra_s(zone, len(req.proxy.request.body), response_bytes)

    def _rank(self, key: str, name: str) -> float:
        """Return the place in the order of weighted rendezvous hashing; low is preferred."""
        place = (xxhash.xxh3_64_intdigest(f"{key}|{name}".encode()) + 1) / 2**64
        return -math.log(min(1.0, place)) * self.states.rank_slowness(name)


def _left_s(req: Request, now: float) -> float:
    return req.proxy.deadline - now if req.proxy is not None else math.inf
