"""Baseline scheduler: each node for itself, first come, first served."""

from .admission import NaiveAdmission
from .history import History
from .local import DirectScheduler
from .queue import FifoQueue
from .scheduler import PoolView
from .selection import LeastReportedLoad, LoadReports

IN_FLIGHT_LIMIT = 8  # The default number of slots of an endpoint.


class NaiveScheduler(DirectScheduler):
    """Uses one FIFO queue per pool and the endpoint with the least reported load.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads.
        in_flight_limit: Maximum number of this node's requests in flight at one endpoint.
        history: Receives the events ``admitted`` and ``shed``.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        in_flight_limit: int = IN_FLIGHT_LIMIT,
        history: History | None = None,
    ) -> None:
        super().__init__(
            view,
            FifoQueue,
            NaiveAdmission(),
            LeastReportedLoad(reports),
            lambda endpoint: in_flight_limit,
            history,
        )
