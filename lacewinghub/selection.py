"""Chooses the endpoint of a request among those with a free slot."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .prefix import PrefixCacheIndex
from .request import Request
from .tables import Endpoint

AFFINITY_BOUND = 1.25  # Load of a preferred endpoint, relative to the mean, that is tolerated.


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reported.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its own queue.
        time: Loop time of the report, in seconds.
    """

    running: int = 0
    waiting: int = 0
    time: float = 0.0


class LoadReports:
    """Latest load report of each endpoint, by name."""

    def __init__(self) -> None:
        self._reports: dict[str, LoadReport] = {}

    def update(self, endpoint: str, running: int, waiting: int, time: float) -> None:
        """Keep a report unless a newer one is known.

        Args:
            endpoint: Name of the endpoint.
            running: Requests in its batch.
            waiting: Requests in its own queue.
            time: Loop time of the report, in seconds.
        """
        known = self._reports.get(endpoint)
        if known is None or known.time <= time:
            self._reports[endpoint] = LoadReport(running, waiting, time)

    def get(self, endpoint: str) -> LoadReport:
        """Return the latest report, or an empty one."""
        return self._reports.get(endpoint, LoadReport())

    def load(self, endpoint: str) -> int:
        """Return running plus waiting requests as last reported."""
        report = self.get(endpoint)
        return report.running + report.waiting


class Selection(ABC):
    """Chooses one endpoint of several."""

    @abstractmethod
    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose an endpoint.

        Args:
            req: The request.
            candidates: At least one endpoint with a free slot.
            in_flight: This node's requests by endpoint name.

        Returns:
            One of the candidates.
        """


class LeastReported(Selection):
    """The endpoint with the least reported load per slot; ties go to the first one."""

    def __init__(self, reports: LoadReports) -> None:
        self._reports = reports

    def choose(
        self, req: Request, candidates: Sequence[Endpoint], in_flight: Mapping[str, int]
    ) -> Endpoint:
        """Choose by the reports alone."""
        return min(candidates, key=lambda item: self._reports.load(item.name) / item.slots)


class TwoChoices(Selection):
    """The less loaded of two random endpoints by own requests plus reported load.

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
    """The endpoint with the longest cached prefix unless its load exceeds a bound.

    Args:
        prefixes: Which endpoints probably hold which prompt prefixes.
        fallback: Chooses when there is no match or the matching endpoint is too loaded.
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
        """Choose by prefix, then by load."""
        loads = {
            item.name: (self._reports.load(item.name) + in_flight.get(item.name, 0)) / item.slots
            for item in candidates
        }
        bound = AFFINITY_BOUND * sum(loads.values()) / len(loads)
        near = [item for item in candidates if loads[item.name] <= bound]
        name = self._prefixes.best(req.prefix, [item.name for item in near])
        found = next((item for item in near if item.name == name), None)
        return found or self._fallback.choose(req, candidates, in_flight)
