"""Endpoints that fail a share of the requests of all nodes.

An endpoint that fails some requests and serves others seldom fails several in a row, and each node
sees only a few of its answers. The nodes therefore add up what they see: every node ejects an
endpoint whose share of failures over all nodes is far above that of the rest of its pool.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .dependencies import EndpointMonitor
from .health import EndpointHealth
from .membership import HeartbeatContributor
from .message import EndpointOutcomes, Heartbeat
from .request import AttemptResult
from .tables import Pool

# Outcomes that are older say little about the endpoint now.
WINDOW_S = 6.0
# Fewer failures may be the fault of the network or of single requests.
MIN_FAILED = 4
MIN_SHARE = 0.2
# A pool in which most endpoints fail has another trouble than these endpoints.
FACTOR = 3.0
NEWS_AGE_S = 1.0


@dataclass(slots=True)
class _Outcome:
    time: float
    endpoint: str
    ok: bool


@dataclass(slots=True)
class _News:
    heard: float
    items: list[EndpointOutcomes]


class FailureOutlierDetector(HeartbeatContributor):
    """Counts outcomes by endpoint over all nodes, and ejects the outliers.

    Args:
        health: Ejects endpoints.
        pools: Returns the pools in force.
    """

    def __init__(self, health: EndpointHealth, pools: Callable[[], Iterable[Pool]]) -> None:
        self._health = health
        self._pools = pools
        self._own: deque[_Outcome] = deque()
        self._news: dict[str, _News] = {}

    def record_outcome(self, endpoint: str, ok: bool) -> None:
        """Note how a request at an endpoint ended."""
        self._own.append(_Outcome(_now(), endpoint, ok))
        if not ok:
            self.evaluate()

    def forget(self, endpoint: str) -> None:
        """Drop the outcomes of an endpoint that has started anew."""
        self._own = deque(item for item in self._own if item.endpoint != endpoint)
        for news in self._news.values():
            news.items = [item for item in news.items if item.endpoint != endpoint]

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write what this node saw lately, and judge the endpoints."""
        heartbeat.outcomes.extend(self._counted().values())
        self.evaluate()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over what a peer saw lately."""
        self._news[heartbeat.node] = _News(_now(), heartbeat.outcomes)

    def evaluate(self) -> None:
        """Eject the endpoints that fail far more often than the rest of their pool."""
        total = self._total()
        for pool in self._pools():
            members = [total[item.name] for item in pool.endpoints if item.name in total]
            for outcomes in members:
                if _is_outlier(outcomes, members) and not self._health.is_ejected(
                    outcomes.endpoint
                ):
                    share = f"{outcomes.failed} of {outcomes.failed + outcomes.succeeded}"
                    self._health.eject(outcomes.endpoint, f"failed {share} requests of all nodes")

    def _counted(self) -> dict[str, EndpointOutcomes]:
        limit = _now() - WINDOW_S
        while self._own and self._own[0].time < limit:
            self._own.popleft()
        found: dict[str, EndpointOutcomes] = {}
        for item in self._own:
            count = found.setdefault(item.endpoint, EndpointOutcomes(item.endpoint))
            _add(count, int(item.ok), int(not item.ok))
        return found

    def _total(self) -> dict[str, EndpointOutcomes]:
        limit = _now() - NEWS_AGE_S
        total = self._counted()
        for news in self._news.values():
            if news.heard < limit:
                continue
            for item in news.items:
                count = total.setdefault(item.endpoint, EndpointOutcomes(item.endpoint))
                _add(count, item.succeeded, item.failed)
        return total


class FailureMonitor(EndpointMonitor):
    """Passes the outcomes of requests on to a board.

    Args:
        board: Receives the outcomes.
    """

    def __init__(self, board: FailureOutlierDetector) -> None:
        self._board = board

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Note how one attempt ended."""
        self._board.record_outcome(endpoint, seen.ok)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Ignore an endpoint that leaves; it does not fail."""
        return None


def _add(count: EndpointOutcomes, succeeded: int, failed: int) -> None:
    count.succeeded += succeeded
    count.failed += failed


def _share(items: Iterable[EndpointOutcomes]) -> float:
    failed = answered = 0
    for item in items:
        failed += item.failed
        answered += item.failed + item.succeeded
    return failed / answered if answered else 0.0


def _is_outlier(outcomes: EndpointOutcomes, members: list[EndpointOutcomes]) -> bool:
    share = _share([outcomes])
    if outcomes.failed < MIN_FAILED or share < MIN_SHARE:
        return False
    return share > FACTOR * _share(item for item in members if item is not outcomes)


def _now() -> float:
    return asyncio.get_running_loop().time()
