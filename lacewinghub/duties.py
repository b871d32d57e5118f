"""Interfaces between the lease of the singleton duties and the components that perform them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from .control_api import ControlApi
from .message import LeaderReport

# Time for a call that timed out to be closed, and for clocks that do not run at the same rate.
CALL_SLACK_S = 0.2
# Shortest validity of the lease with which a call to the control API may start: it is longer than
# the call can take, so that none arrives after another node has taken over.
CALL_MARGIN_S = ControlApi.CALL_TIMEOUT_S + CALL_SLACK_S


@dataclass(frozen=True, slots=True)
class LeaseTaken:
    """What a node finds when it takes the lease.

    Attributes:
        token: Its fencing token.
        records: Newest records of the duties by key, as the previous holder left them.
        rewound: True if the log came back from an older copy since the last record of the lease,
            so that later records of the duties may be missing.
    """

    token: int
    records: Mapping[str, bytes]
    rewound: bool = False


class DutyRecords(ABC):
    """A duty that keeps records under the lease."""

    @abstractmethod
    def pending_records(self) -> list[tuple[str, bytes]]:
        """Return keys and values to append together with the next renewal of the lease."""

    @abstractmethod
    def on_taken(self, taken: LeaseTaken) -> None:
        """Handle that this node took the lease."""

    def on_lost(self) -> None:  # noqa: B027
        """Handle that this node no longer holds the lease."""


class DutyHolder(ABC):
    """The lease, as the components that perform duties see it."""

    @abstractmethod
    def token(self, margin_s: float = CALL_MARGIN_S) -> int | None:
        """Return the fencing token, or None if the lease ends within ``margin_s``."""

    @abstractmethod
    def attach(self, duty: DutyRecords) -> None:
        """Add a duty whose records are appended with the renewals."""

    @abstractmethod
    async def commit(self) -> bool:
        """Append the pending records now, which also renews the lease.

        Returns:
            True if the log has confirmed them; False if this is not known, or the lease is lost.
        """


class ReportContributor(ABC):
    """A component that adds its figures to the reports to the holder of the duties."""

    @abstractmethod
    def fill_report(self, report: LeaderReport) -> None:
        """Write figures into an outgoing report."""

    def on_sent(self) -> None:  # noqa: B027
        """Handle that the report filled last was sent to the holder of the duties."""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The newest report of one incarnation of a node, and the loop time of its arrival, in seconds.

    Attributes:
        report: The report.
        received: Loop time of its arrival, in seconds.
        live: True if this incarnation of the node is alive.
    """

    report: LeaderReport
    received: float
    live: bool


class NodeReports(ABC):
    """The reports that this node has received while it holds the duties."""

    @abstractmethod
    def reports(self) -> list[ReceivedReport]:
        """Return the newest report of each incarnation of each node, this one included."""

    @abstractmethod
    def live_nodes(self) -> int:
        """Return the number of nodes that are alive, this one included."""
