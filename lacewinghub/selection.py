"""Chooses the endpoint of a request among those with a free slot."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .request import Request
from .tables import Endpoint


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
