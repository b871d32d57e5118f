"""Chooses the runner of a request so that long prompts do not delay answers to short ones.

A runner prefills a long prompt in chunks between the tokens of its other requests, and each chunk
delays their next tokens. The runners of a pool are therefore divided into two sides: one serves
long prompts, the other short ones. All nodes order the runners in the same way, by a hash of their
names, and agree on the size of the sides through ``runner_allocation``. This protects interactive
traffic from bursts of long prompts.
"""

from collections.abc import Mapping, Sequence

import xxhash

from .promptcache import PromptCacheIndex
from .request import Request
from .runner_allocation import FixedAllocation, RunnerAllocation
from .selection import LoadReports, Selection
from .tables import Endpoint

LONG_PROMPT_TOKENS = 4_000  # A prompt with more tokens is long.
# Requests of routes that allow at most this time cannot wait until several long prompts have been
# prefilled.
URGENT_ROUTE_S = 5.0
# Cost of a running request, in prompt tokens: it slows down the prefill of others a little.
RUNNING_COST_TOKENS = 150.0
# The first and the second runner in the hash order of a shared prompt part are chosen even if they
# cost this much more than the cheapest one, in prompt tokens. As long as no runner has cached the
# part, this makes all nodes choose the same one.
FIRST_BONUS_TOKENS = 4_500.0
SECOND_BONUS_TOKENS = 2_000.0


class PromptSplit(Selection):
    """Divides the runners between long and short prompts and prefers runners with a cached part.

    ``side`` returns the runners that serve a request's kind of prompt, ``choose`` one of those of
    them that may receive the request now.

    Args:
        reports: Reported loads.
        allocation: Decides how many runners serve long prompts.
        cache: Prompt parts that the runners have cached.
    """

    def __init__(
        self,
        reports: LoadReports,
        allocation: RunnerAllocation | None = None,
        cache: PromptCacheIndex | None = None,
    ) -> None:
        self._reports = reports
        self._cache = cache or PromptCacheIndex()
        self._allocation = allocation or FixedAllocation()
        # Prefill backlog: prompt tokens of requests whose answers have not begun, by endpoint.
        self._backlog: dict[str, int] = {}

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose the runner with the lowest cost: prefill backlog, uncached tokens and load."""
        if len(candidates) == 1:
            return candidates[0]
        key = affinity_key(req)
        ranked = sorted(candidates, key=lambda item: rendezvous_rank(key, item.name))
        bonus = {ranked[0].name: FIRST_BONUS_TOKENS, ranked[1].name: SECOND_BONUS_TOKENS}
        return min(
            ranked,
            key=lambda item: self._cost(req, item, in_flight) - bonus.get(item.name, 0.0),
        )

    def on_arrival(self, req: Request) -> None:
        """Record the arrival of a request."""
        self._allocation.record_arrival(is_long(req), prompt_tokens(req), req.max_tokens)

    def on_sent(self, endpoint: str, req: Request) -> None:
        """Record that a request is sent to an endpoint."""
        self._backlog[endpoint] = self._backlog.get(endpoint, 0) + prompt_tokens(req)

    def on_answer_began(self, endpoint: str, req: Request) -> None:
        """Record that the answer of a request began, or that the attempt ended before."""
        self._backlog[endpoint] = self._backlog.get(endpoint, 0) - prompt_tokens(req)

    def side(self, req: Request, candidates: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the candidates that serve prompts of the request's length."""
        if len(candidates) < 2:
            return candidates
        ordered = sorted(candidates, key=lambda item: rendezvous_rank("side", item.name))
        count = self._allocation.long_prompt_runners(len(ordered))
        return ordered[:count] if is_long(req) else ordered[count:]

    def _cost(self, req: Request, item: Endpoint, in_flight: Mapping[str, int]) -> float:
        """Return the estimated delay before the answer of a runner begins, in prompt tokens."""
        report = self._reports.get(item.name)
        running = max(in_flight.get(item.name, 0), report.running + report.waiting)
        cached = self._cache.cached_tokens(item.name, req.proxy.parts) if req.proxy else 0
        backlog = self._backlog.get(item.name, 0) + prompt_tokens(req) - cached
        return (backlog + RUNNING_COST_TOKENS * running) * (report.slowness or 1.0)


def prompt_tokens(req: Request) -> int:
    """Return the length of a request's prompt, in tokens."""
    return req.proxy.prompt_tokens if req.proxy is not None else 0


def is_long(req: Request) -> bool:
    """Return whether a request's prompt is so long that it delays other requests."""
    return prompt_tokens(req) > LONG_PROMPT_TOKENS


def is_urgent(req: Request) -> bool:
    """Return whether a request has too little time to wait for the prefill of long prompts."""
    return req.proxy is not None and req.proxy.route_timeout_s <= URGENT_ROUTE_S


def affinity_key(req: Request) -> str:
    """Return the id of the last prompt part that other requests may share."""
    parts = req.proxy.parts if req.proxy is not None else ()
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else req.id


def rendezvous_rank(key: str, name: str) -> int:
    """Return the place of a runner in the order of rendezvous hashing; low is preferred.

    It does not depend on the speed of the runner, of which the nodes see different averages: each
    would keep a shared part at other runners.
    """
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())
