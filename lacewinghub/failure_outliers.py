"""Outlier detection by the failure rate of endpoints over all nodes.

An endpoint that fails only some of its requests seldom fails several in a row, and each node sees
only a few of its answers. The nodes therefore add up their counts: every node ejects an endpoint
whose failure rate over all nodes is far above that of the rest of its pool.
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

# Older outcomes say little about the present state of the endpoint.
WINDOW_S = 6.0
# Fewer failures may be caused by the network or by single requests.
MIN_FAILED = 4
MIN_SHARE = 0.2  # Minimum failure rate of an outlier.
# Minimum failure rate of an outlier, relative to the rest of the pool. If most endpoints of a pool
# fail, the cause is not in single endpoints.
FACTOR = 3.0
REPORT_AGE_S = 1.0  # Reports of peers that are older are ignored.


@dataclass(slots=True)
class _Outcome:
    time: float
    endpoint: str
    ok: bool


@dataclass(slots=True)
class _PeerReport:
    """Counts that a peer reported, and the loop time at which they were received."""

    received: float
    items: list[EndpointOutcomes]


class FailureOutlierDetector(HeartbeatContributor):
    """Counts outcomes by endpoint over all nodes and ejects the outliers.

    Args:
        health: Ejects endpoints.
        pools: Returns the current pools.
    """

    def __init__(self, health: EndpointHealth, pools: Callable[[], Iterable[Pool]]) -> None:
        self._health = health
        self._pools = pools
        self._outcomes: deque[_Outcome] = deque()
        self._reports: dict[str, _PeerReport] = {}

    def record_outcome(self, endpoint: str, ok: bool) -> None:
        """Record whether a request at an endpoint succeeded."""
        self._outcomes.append(_Outcome(_now(), endpoint, ok))
        if not ok:
            self.evaluate()

    def forget(self, endpoint: str) -> None:
        """Remove the outcomes of an endpoint that has restarted."""
        self._outcomes = deque(item for item in self._outcomes if item.endpoint != endpoint)
        for report in self._reports.values():
            report.items = [item for item in report.items if item.endpoint != endpoint]

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the recent outcomes of this node, and eject outliers."""
        heartbeat.outcomes.extend(self._own_counts().values())
        self.evaluate()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the recent outcomes of a peer."""
        self._reports[heartbeat.node] = _PeerReport(_now(), heartbeat.outcomes)

    def evaluate(self) -> None:
        """Eject the endpoints with a far higher failure rate than the rest of their pool."""
        total = self._total_counts()
        for pool in self._pools():
            members = [total[item.name] for item in pool.endpoints if item.name in total]
            for outcomes in members:
                if _is_outlier(outcomes, members) and not self._health.is_ejected(
                    outcomes.endpoint
                ):
                    share = f"{outcomes.failed} of {outcomes.failed + outcomes.succeeded}"
                    self._health.eject(outcomes.endpoint, f"failed {share} requests of all nodes")

    def _own_counts(self) -> dict[str, EndpointOutcomes]:
        limit = _now() - WINDOW_S
        while self._outcomes and self._outcomes[0].time < limit:
            self._outcomes.popleft()
        found: dict[str, EndpointOutcomes] = {}
        for item in self._outcomes:
            count = found.setdefault(item.endpoint, EndpointOutcomes(item.endpoint))
            _add(count, int(item.ok), int(not item.ok))
        return found

    def _total_counts(self) -> dict[str, EndpointOutcomes]:
        limit = _now() - REPORT_AGE_S
        total = self._own_counts()
        for report in self._reports.values():
            if report.received < limit:
                continue
            for item in report.items:
                count = total.setdefault(item.endpoint, EndpointOutcomes(item.endpoint))
                _add(count, item.succeeded, item.failed)
        return total


class FailureMonitor(EndpointMonitor):
    """Passes the outcomes of requests on to the outlier detection.

    Args:
        detector: Receives the outcomes.
    """

    def __init__(self, detector: FailureOutlierDetector) -> None:
        self._detector = detector

    def on_attempt_ended(self, pool: str, endpoint: str, result: AttemptResult) -> None:
        """Record how an attempt ended."""
        self._detector.record_outcome(endpoint, result.ok)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Ignore an endpoint that is leaving, which is not a failure."""
        return None


def _add(count: EndpointOutcomes, succeeded: int, failed: int) -> None:
    count.succeeded += succeeded
    count.failed += failed


def _failure_rate(items: Iterable[EndpointOutcomes]) -> float:
    failed = answered = 0
    for item in items:
        failed += item.failed
        answered += item.failed + item.succeeded
    return failed / answered if answered else 0.0


def _is_outlier(outcomes: EndpointOutcomes, members: list[EndpointOutcomes]) -> bool:
    share = _failure_rate([outcomes])
    if outcomes.failed < MIN_FAILED or share < MIN_SHARE:
        return False
    return share > FACTOR * _failure_rate(item for item in members if item is not outcomes)


def _now() -> float:
    return asyncio.get_running_loop().time()
