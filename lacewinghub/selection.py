"""Chooses an endpoint for a request among those with a free slot."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from .prefix import PrefixCacheIndex
from .request import Request
from .tables import Endpoint

# Older load reports of answers are ignored: they do not include the requests that this node sent
# since, and an endpoint that is avoided because of its report would never send another one.
REPORT_AGE_S = 1.0
AFFINITY_BOUND = 1.25  # Maximum load of a preferred endpoint, relative to the mean load.

# Receives endpoint, running, waiting, loop time and slowness of a report.
LoadListener = Callable[[str, int, int, float, float | None], None]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reported.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its own queue.
        time: Loop time of the report, in seconds.
        slowness: Time that work takes on its host now, relative to the usual time; None if it does
            not say.
    """

    running: int = 0
    waiting: int = 0
    time: float = 0.0
    slowness: float | None = None


class LoadReports:
    """Latest load report of each endpoint, by name.

    Args:
        max_age_s: Older reports are ignored, in seconds.
    """

    def __init__(self, max_age_s: float = REPORT_AGE_S) -> None:
        self._max_age_s = max_age_s
        self._reports: dict[str, LoadReport] = {}
        self._listeners: list[LoadListener] = []

    def listen(self, listener: LoadListener) -> None:
        """Register a function that is called with the arguments of each ``update``."""
        self._listeners.append(listener)

    def update(
        self,
        endpoint: str,
        running: int,
        waiting: int,
        time: float,
        slowness: float | None = None,
    ) -> None:
        """Store a report unless a newer one is known.

        Args:
            endpoint: Name of the endpoint.
            running: Requests in its batch.
            waiting: Requests in its own queue.
            time: Loop time of the report, in seconds.
            slowness: Time that work takes on its host now, relative to the usual time, or None.
        """
        known = self._reports.get(endpoint)
        if known is None or known.time <= time:
            self._reports[endpoint] = LoadReport(running, waiting, time, slowness)
        for listener in self._listeners:
            listener(endpoint, running, waiting, time, slowness)

    def get(self, endpoint: str) -> LoadReport:
        """Return the latest report of an endpoint, or one with zero load if it is too old."""
        report = self._reports.get(endpoint)
        if report is None or asyncio.get_running_loop().time() - report.time > self._max_age_s:
            return LoadReport()
        return report

    def load(self, endpoint: str) -> int:
        """Return the sum of running and waiting requests in the latest report."""
        report = self.get(endpoint)
        return report.running + report.waiting


class Selection(ABC):
    """Chooses one of several endpoints."""

    @abstractmethod
    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose an endpoint.

        Args:
            req: The request.
            candidates: At least one endpoint with a free slot.
            in_flight: Number of this node's requests in flight, by endpoint name.

        Returns:
            One of the candidates.
        """


class LeastReportedLoad(Selection):
    """Chooses the endpoint with the least reported load per slot; ties go to the first one."""

    def __init__(self, reports: LoadReports) -> None:
        self._reports = reports

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose the endpoint with the least reported load per slot."""
        return min(candidates, key=lambda item: self._reports.load(item.name) / item.slots)


class TwoChoices(Selection):
    """Chooses the less loaded of two random endpoints.

    The load is the reported one plus this node's requests in flight, per slot.

    Args:
        reports: Reported loads.
        rng: Source of randomness.
    """

    def __init__(self, reports: LoadReports, rng: random.Random | None = None) -> None:
        self._reports = reports
        self._rng = rng or random.Random()

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose the less loaded of two."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda item: self._load(item, in_flight))

    def _load(self, item: Endpoint, in_flight: Mapping[str, int]) -> float:
        return (self._reports.load(item.name) + in_flight.get(item.name, 0)) / item.slots


class Affinity(Selection):
    """Chooses the endpoint with the longest cached prefix, if its load is within a bound.

    Args:
        prefixes: Prompt prefixes that the endpoints have probably cached.
        fallback: Chooses if there is no match or all matching endpoints are too loaded.
        reports: Reported loads.
    """

    def __init__(
        self, prefixes: PrefixCacheIndex, fallback: Selection, reports: LoadReports
    ) -> None:
        self._prefixes = prefixes
        self._fallback = fallback
        self._reports = reports

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose by cached prefix, otherwise with the fallback."""
        loads = {
            item.name: (self._reports.load(item.name) + in_flight.get(item.name, 0)) / item.slots
            for item in candidates
        }
        bound = AFFINITY_BOUND * sum(loads.values()) / len(loads)
        within_bound = [item for item in candidates if loads[item.name] <= bound]
        name = self._prefixes.best(req.prefix, [item.name for item in within_bound])
        found = next((item for item in within_bound if item.name == name), None)
        return found or self._fallback.choose(req, candidates, in_flight)
