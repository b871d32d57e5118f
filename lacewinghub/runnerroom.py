"""Whether a runner has a free place, by the load that it stated and by what was sent since.

A request that a full runner refuses has lost time, one of its attempts and a part of the retry
budget. While a runner is full its requests therefore wait at the node, in the order of their tiers.
This answers demand beyond the slots of the runners, and many nodes before runners with few slots.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

from .selection import LoadReports
from .tables import Endpoint

# An older report says nothing about the load now.
REPORT_AGE_S = 1.0


class RunnerRoom:
    """Estimates the places that are taken at each runner.

    Args:
        reports: Loads that the runners stated.
    """

    def __init__(self, reports: LoadReports) -> None:
        self._reports = reports
        # Loop times at which this node sent requests, by endpoint.
        self._sent: dict[str, deque[float]] = {}

    def sent(self, endpoint: str) -> None:
        """Note that a request goes to a runner."""
        self._sent.setdefault(endpoint, deque()).append(_now())

    def is_free(self, item: Endpoint, in_flight: Mapping[str, int]) -> bool:
        """Tell whether a runner has a free slot.

        Args:
            item: The runner.
            in_flight: This node's requests by endpoint name.
        """
        return self.taken(item, in_flight) < item.slots

    def taken(self, item: Endpoint, in_flight: Mapping[str, int]) -> int:
        """Return the estimated number of requests at a runner."""
        report = self._reports.get(item.name)
        sent = self._sent.get(item.name, deque())
        while sent and sent[0] < _now() - REPORT_AGE_S:
            sent.popleft()
        own = in_flight.get(item.name, 0)
        if _now() - report.time > REPORT_AGE_S:
            return own
        since = sum(at > report.time for at in sent)
        return max(own, report.running + report.waiting + since)


def _now() -> float:
    return asyncio.get_running_loop().time()
