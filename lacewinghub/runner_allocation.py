"""Allocates the runners of a pool to long and short prompts in proportion to the demand.

Each node reports the work of its requests with long and with short prompts in its heartbeats, so
that all nodes compute nearly the same allocation. It follows changes of the mix of requests in
the course of a day, and bursts of long or of short prompts.
"""

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .membership import HeartbeatContributor, Members
from .message import Heartbeat, PromptTokenRate

# Share of the runners for long prompts while there is too little work to measure the demand.
DEFAULT_SHARE = 0.5
# Limits of that share. Each kind of prompt keeps some runners even without demand, since requests
# of that kind may arrive at any time.
MIN_SHARE = 0.34
MAX_SHARE = 0.75
# Cost of one output token, in prompt tokens: runners generate far more slowly than they prefill.
OUTPUT_COST = 30.0
# Time constant of the exponential decay with which the work is averaged, in seconds.
WINDOW_S = 6.0
# With less work per second of all nodes than this, in prompt tokens, the default share is used.
MIN_WORK = 2_000.0
# The allocation changes once the computed number of runners differs from it by more than this.
HYSTERESIS = 0.7
REPORT_AGE_S = 1.5  # Older reports of peers are ignored.
# Weight of a node's own work in the average that it tells its peers, against the mean of theirs. A
# node hears only some peers, so that a small weight of its own averages over heartbeats that reach
# all nodes.
OWN_WEIGHT = 0.08
AVERAGED_S = 20.0  # How long the average is used after the last request for it.


class RunnerAllocation(ABC):
    """Decides how many runners of a pool serve long prompts; the others serve short ones."""

    @abstractmethod
    def long_prompt_runners(self, runners: int) -> int:
        """Return how many of a number of runners serve long prompts; at least 1, not all."""

    def share(self) -> float:
        """Return the share of the capacity for long prompts."""
        return DEFAULT_SHARE

    def long_prompt_split(self, capacities: Sequence[float]) -> int:
        """Return how many of the first runners serve long prompts; at least 1, not all.

        Args:
            capacities: Capacity of each runner, in the order that all nodes agree on.
        """
        return _bounded(round(self.wanted(capacities)), len(capacities))

    def wanted(self, capacities: Sequence[float]) -> float:
        """Return how many of the first runners have the share of the capacity, as a fraction."""
        left = self.share() * sum(capacities)
        for count, capacity in enumerate(capacities):
            if left <= capacity:
                return count + left / capacity
            left -= capacity
        return len(capacities)

    def use_average(self) -> None:  # noqa: B027
        """Base the share on an average over all nodes for some time."""

    def record_arrival(  # noqa: B027
        self, is_long: bool, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Record the arrival of a request."""


class FixedAllocation(RunnerAllocation):
    """Allocates half of the runners to long prompts."""

    def long_prompt_runners(self, runners: int) -> int:
        """Return half of the number of runners."""
        return _bounded(round(runners * DEFAULT_SHARE), runners)


@dataclass(slots=True)
class _PeerReport:
    """Work that a peer reported, and the loop time at which the report was received.

    ``average`` is the average over all nodes as that peer sees it.
    """

    received: float
    work: PromptTokenRate
    average: PromptTokenRate | None = None


class DemandAllocation(RunnerAllocation, HeartbeatContributor):
    """Allocates the runners in proportion to the work that arrives at all nodes.

    Args:
        members: View of the live nodes.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._long = 0.0
        self._short = 0.0
        self._time: float | None = None
        self._reports: dict[str, _PeerReport] = {}
        self._counts: dict[int, int] = {}
        self._average: PromptTokenRate | None = None
        self._average_until = 0.0

    def use_average(self) -> None:
        """Base the share on an average over all nodes for some time."""
        self._average_until = _now() + AVERAGED_S

    def record_arrival(self, is_long: bool, prompt_tokens: int, output_tokens: int) -> None:
        """Record the arrival of a request at this node."""
        self._decay()
        work = prompt_tokens + OUTPUT_COST * output_tokens
        if is_long:
            self._long += work
        else:
            self._short += work

    def long_prompt_runners(self, runners: int) -> int:
        """Return how many runners serve long prompts; small changes of the work do not matter."""
        return self._count(runners, runners * self.share())

    def long_prompt_split(self, capacities: Sequence[float]) -> int:
        """Return how many of the first runners serve long prompts, with the same hysteresis."""
        return self._count(len(capacities), self.wanted(capacities))

    def share(self) -> float:
        """Return the share of runners for long prompts: their share of the work, within limits."""
        average = self._average if self._average_until > _now() else None
        long, short = self._total() if average is None else (average.long, average.short)
        if average is not None and long + short > 0:
            return min(MAX_SHARE, max(MIN_SHARE, long / (long + short)))
        if long + short < MIN_WORK:
            return DEFAULT_SHARE
        return min(MAX_SHARE, max(MIN_SHARE, long / (long + short)))

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the work per second of this node."""
        self._decay()
        heartbeat.work.append(
            PromptTokenRate(round(self._long / WINDOW_S), round(self._short / WINDOW_S))
        )
        if self._average_until > _now():
            self._average = self._new_average(heartbeat.work[-1])
            heartbeat.work.append(self._average)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the work of a peer."""
        if heartbeat.work:
            average = heartbeat.work[1] if len(heartbeat.work) > 1 else None
            self._reports[heartbeat.node] = _PeerReport(_now(), heartbeat.work[0], average)

    def _new_average(self, own: PromptTokenRate) -> PromptTokenRate:
        """Return the average work of a node, from this node's work and the averages of peers."""
        limit = _now() - REPORT_AGE_S
        peers = [
            item.average
            for item in self._reports.values()
            if item.average is not None and item.received >= limit
        ]
        if not peers:
            return own
        long = sum(item.long for item in peers) / len(peers)
        short = sum(item.short for item in peers) / len(peers)
        return PromptTokenRate(
            round(long + OWN_WEIGHT * (own.long - long)),
            round(short + OWN_WEIGHT * (own.short - short)),
        )

    def _count(self, runners: int, wanted: float) -> int:
        count = self._counts.get(runners)
        if count is None or abs(wanted - count) > HYSTERESIS:
            count = self._counts[runners] = _bounded(round(wanted), runners)
        return count

    def _total(self) -> tuple[float, float]:
        """Return the work per second of all nodes for long and for short prompts.

        Nodes without a recent report count with the average of the others.
        """
        self._decay()
        limit = _now() - REPORT_AGE_S
        peers = [item.work for item in self._reports.values() if item.received >= limit]
        scale = max(1.0, len(self._members.live()) / (len(peers) + 1))
        long = self._long / WINDOW_S + sum(item.long for item in peers)
        short = self._short / WINDOW_S + sum(item.short for item in peers)
        return long * scale, short * scale

    def _decay(self) -> None:
        now = _now()
        if self._time is not None:
            factor = math.exp((self._time - now) / WINDOW_S)
            self._long *= factor
            self._short *= factor
        self._time = now


def _bounded(count: int, runners: int) -> int:
    return min(runners - 1, max(1, count))


def _now() -> float:
    return asyncio.get_running_loop().time()
