"""Chooses the runner of a request so that long prompts do not delay the tokens of short answers.

A runner prefills a long prompt in chunks between the tokens of its other requests, whose pauses
grow with each chunk. Under a load of long and short prompts the runners of a pool are therefore
divided: long prompts go to one side, short ones to the other. All nodes order the runners alike by
a hash of their names, and agree on their numbers by the news of ``runner_allocation``. This answers
bursts of long prompts beside interactive traffic.
"""

import asyncio
from collections.abc import Mapping, Sequence

import xxhash

from .promptcache import PromptCacheIndex
from .request import Request
from .runner_allocation import FixedAllocation, RunnerAllocation
from .selection import LoadReports, Selection
from .tables import Endpoint

LONG_PROMPT_TOKENS = 4_000
# Longest time of a route whose requests cannot wait for several long prompts to be read.
HURRY_S = 5.0
# A report is older than the requests that this node sent since; it is then ignored.
REPORT_AGE_S = 1.0
# Cost of a running request, in prompt tokens: it slows the prefill of others a little.
RUNNING_COST_TOKENS = 150.0
# Costs by which the first and the second runner of a shared part may exceed the least one, in
# prompt tokens. While no runner keeps the part, they make all nodes choose the same one.
FIRST_BONUS_TOKENS = 4_500.0
SECOND_BONUS_TOKENS = 2_000.0


class PromptSplit(Selection):
    """Divides the runners between long and short prompts; prefers runners that cache a shared part.

    ``side`` returns the runners for a request, ``choose`` one of those that may receive it now.

    Args:
        reports: Reported loads.
        boundary: Divides the runners between long and short prompts.
        cache: Parts of prompts that the runners keep.
    """

    def __init__(
        self,
        reports: LoadReports,
        boundary: RunnerAllocation | None = None,
        cache: PromptCacheIndex | None = None,
    ) -> None:
        self._reports = reports
        self._cache = cache or PromptCacheIndex()
        self._boundary = boundary or FixedAllocation()
        # Prompt tokens of requests whose answers have not begun, by endpoint.
        self._unread: dict[str, int] = {}

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose among the runners of one side by kept parts and by work under way."""
        if len(candidates) == 1:
            return candidates[0]
        key = affinity_key(req)
        ranked = sorted(candidates, key=lambda item: _rank(key, item.name))
        bonus = {ranked[0].name: FIRST_BONUS_TOKENS, ranked[1].name: SECOND_BONUS_TOKENS}
        return min(
            ranked,
            key=lambda item: self._cost(req, item, in_flight) - bonus.get(item.name, 0.0),
        )

    def arrived(self, req: Request) -> None:
        """Note a request that asks for a runner."""
        self._boundary.arrived(is_long(req), prompt_tokens(req), req.max_tokens)

    def sent(self, endpoint: str, req: Request) -> None:
        """Note that a request goes to an endpoint."""
        self._unread[endpoint] = self._unread.get(endpoint, 0) + prompt_tokens(req)

    def began(self, endpoint: str, req: Request) -> None:
        """Note that its prompt was read, or that it ended before."""
        self._unread[endpoint] = self._unread.get(endpoint, 0) - prompt_tokens(req)

    def side(self, req: Request, candidates: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the runners that serve prompts of the request's kind."""
        if len(candidates) < 2:
            return candidates
        ordered = sorted(candidates, key=lambda item: _rank("side", item.name))
        count = self._boundary.long_count(len(ordered))
        return ordered[:count] if is_long(req) else ordered[count:]

    def _cost(self, req: Request, item: Endpoint, in_flight: Mapping[str, int]) -> float:
        """Return what a runner reads before its answer begins, in prompt tokens."""
        report = self._reports.get(item.name)
        running = in_flight.get(item.name, 0)
        if asyncio.get_running_loop().time() - report.time < REPORT_AGE_S:
            running = max(running, report.running + report.waiting)
        kept = self._cache.kept_tokens(item.name, req.proxy.parts) if req.proxy else 0
        unread = self._unread.get(item.name, 0) + prompt_tokens(req) - kept
        return unread + RUNNING_COST_TOKENS * running


def prompt_tokens(req: Request) -> int:
    """Return the length of a request's prompt, in tokens."""
    return req.proxy.prompt_tokens if req.proxy is not None else 0


def is_long(req: Request) -> bool:
    """Tell whether a request's prompt delays the tokens of other requests."""
    return prompt_tokens(req) > LONG_PROMPT_TOKENS


def is_hurried(req: Request) -> bool:
    """Tell whether a request has too little time to wait for several long prompts to be read."""
    return req.proxy is not None and req.proxy.route_timeout_s <= HURRY_S


def affinity_key(req: Request) -> str:
    """Return the id of the last part that other requests share."""
    parts = req.proxy.parts if req.proxy is not None else ()
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else req.id


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())
