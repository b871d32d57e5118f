"""How many runners of a pool serve long prompts, by what all nodes are asked for.

The runners are divided in proportion to the work of long prompts and of all others. Each node
states its part of that work with its heartbeats, so that all nodes draw nearly the same boundary.
This answers mixes of requests that change through the day, and bursts of one kind.
"""

import asyncio
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from .membership import HeartbeatContributor, Members
from .message import Heartbeat, PromptTokenRate

# Share of the runners for long prompts until there is enough work to judge by.
FIRST_SHARE = 0.5
# Neither side gives up its last runners, whatever the work: the other kind may come at any moment.
LEAST_SHARE = 0.34
MOST_SHARE = 0.75
# Work of one output token, in prompt tokens: a batch of requests generates far more slowly than a
# runner reads.
OUTPUT_COST = 30.0
# Time over which the work is averaged, in seconds.
WINDOW_S = 6.0
# Work per second of all nodes below which the shares are guesswork, in prompt tokens.
MIN_WORK = 2_000.0
# The boundary moves once the wanted number of runners differs by more than this.
HYSTERESIS = 0.7
NEWS_AGE_S = 1.5


class RunnerAllocation(ABC):
    """Divides the runners of a pool between long and short prompts."""

    @abstractmethod
    def long_count(self, runners: int) -> int:
        """Return how many of several runners serve long prompts; from 1 to all but one."""

    def arrived(self, is_long: bool, prompt_tokens: int, output_tokens: int) -> None:  # noqa: B027
        """Note a request."""


class FixedAllocation(RunnerAllocation):
    """Gives half of the runners to long prompts."""

    def long_count(self, runners: int) -> int:
        """Return half of the number."""
        return _bounded(round(runners * FIRST_SHARE), runners)


@dataclass(slots=True)
class _News:
    heard: float
    work: PromptTokenRate


class DemandAllocation(RunnerAllocation, HeartbeatContributor):
    """Divides the runners by the work that all nodes are asked for.

    Args:
        members: View of the live nodes.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._long = 0.0
        self._short = 0.0
        self._time: float | None = None
        self._news: dict[str, _News] = {}
        self._counts: dict[int, int] = {}

    def arrived(self, is_long: bool, prompt_tokens: int, output_tokens: int) -> None:
        """Note a request of this node."""
        self._fade()
        work = prompt_tokens + OUTPUT_COST * output_tokens
        if is_long:
            self._long += work
        else:
            self._short += work

    def long_count(self, runners: int) -> int:
        """Return how many runners serve long prompts; small changes of the work do not move it."""
        wanted = runners * self.share()
        count = self._counts.get(runners)
        if count is None or abs(wanted - count) > HYSTERESIS:
            count = self._counts[runners] = _bounded(round(wanted), runners)
        return count

    def share(self) -> float:
        """Return the share of the work that long prompts make up, within its bounds."""
        long, short = self._total()
        if long + short < MIN_WORK:
            return FIRST_SHARE
        return min(MOST_SHARE, max(LEAST_SHARE, long / (long + short)))

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """State the work of this node."""
        self._fade()
        heartbeat.work.append(
            PromptTokenRate(round(self._long / WINDOW_S), round(self._short / WINDOW_S))
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over the work of a peer."""
        for work in heartbeat.work:
            self._news[heartbeat.node] = _News(_now(), work)

    def _total(self) -> tuple[float, float]:
        """Return the work per second of all nodes, those that are not heard included."""
        self._fade()
        limit = _now() - NEWS_AGE_S
        heard = [item.work for item in self._news.values() if item.heard >= limit]
        nodes = max(1.0, len(self._members.live()) / (len(heard) + 1))
        long = self._long / WINDOW_S + sum(item.long for item in heard)
        short = self._short / WINDOW_S + sum(item.short for item in heard)
        return long * nodes, short * nodes

    def _fade(self) -> None:
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
