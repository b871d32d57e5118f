"""Calls to the platform's control API: singleton duties, which one node at a time performs."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class CallOutcome(StrEnum):
    """Result of a call to the control API.

    ``UNANSWERED`` means that nothing is known of it: it may have been executed, or may be later.
    """

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"  # None of the ordered runners are to be had at the moment.
    LIMITED = "limited"  # Too many calls of all nodes together; it was not executed.
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests that began in one window of the wall clock.

    Attributes:
        window: Number of the window, counted from the Unix epoch.
        counts: Requests by workspace.
    """

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class RunnerOrder:
    """The number of runners of one kind that a pool should have in an availability zone.

    Attributes:
        pool: Name of the pool.
        availability_zone: The zone.
        desired: Number of runners.
        spot: True for runners that cost less and may be reclaimed.
    """

    pool: str
    availability_zone: str
    desired: int
    spot: bool = False


class ControlApi(ABC):
    """Sends the calls. No call takes longer than ``CALL_TIMEOUT_S``."""

    CALL_TIMEOUT_S = 0.8

    @abstractmethod
    async def report_usage(self, token: int, report: UsageReport) -> CallOutcome:
        """Report the usage of one window.

        The same report is sent as the same bytes, which the platform ignores if it has them.

        Args:
            token: Fencing token under which this node holds the duty.
            report: The report.
        """

    @abstractmethod
    async def order_runners(self, token: int, order: RunnerOrder) -> CallOutcome:
        """Order runners.

        Args:
            token: Fencing token under which this node holds the duty.
            order: The order.
        """
