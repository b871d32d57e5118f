"""Interfaces of the objects that a router depends on."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from .demand import DemandMeter
from .endpoint import EndpointClient, Reply, StallPolicy
from .history import History
from .limit import RetryBudget
from .request import AttemptResult, Request
from .scheduler import Scheduler
from .stream_origins import OriginTable
from .tables import Tables
from .usage import UsageMeter

BeforeSend = Callable[[], None]
SendCall = Callable[[BeforeSend], Awaitable[Reply]]


class RetryBudgets(ABC):
    """Limits the retries of each pool to a share of its requests."""

    @abstractmethod
    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""

    @abstractmethod
    def try_spend(self, pool: str) -> bool:
        """Take one retry from the budget; False if none is left."""


class PoolBudgets(RetryBudgets):
    """A retry budget per pool, local to this node.

    Args:
        make: Creates the budget of a pool.
    """

    def __init__(self, make: Callable[[], RetryBudget] = RetryBudget) -> None:
        self._make = make
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""
        self._budget_of(pool).note_request()

    def try_spend(self, pool: str) -> bool:
        """Take one retry from the budget; False if none is left."""
        return self._budget_of(pool).try_spend(asyncio.get_running_loop().time())

    def _budget_of(self, pool: str) -> RetryBudget:
        return self._budgets.setdefault(pool, self._make())


class PoisonRequestGuard(ABC):
    """Tracks the requests that are in flight when endpoints crash, and refuses poison requests."""

    @abstractmethod
    def check(self, req: Request) -> None:
        """Check a request before it is queued or retried.

        Raises:
            Quarantined: If identical requests crashed several endpoints.
        """

    async def wait_if_suspect(self, req: Request, endpoints: Iterable[str]) -> None:
        """Wait until a request may be queued, and add endpoints to ``req.excluded_endpoints``.

        Args:
            req: The request.
            endpoints: Names of the endpoints of its pool.

        Raises:
            Quarantined: If identical requests crashed several endpoints.
        """
        return None

    @abstractmethod
    def on_dispatched(self, req: Request, endpoint: str) -> None:
        """Record that the request is being sent to an endpoint."""

    def on_answer_began(self, req: Request, endpoint: str) -> None:  # noqa: B027
        """Record that the first bytes of an answer have arrived."""

    @abstractmethod
    def on_attempt_ended(self, req: Request, endpoint: str, seen: AttemptResult) -> None:
        """Record that an attempt at an endpoint has ended."""

    def on_request_done(self, req: Request) -> None:  # noqa: B027
        """Record that the request failed or was cancelled, possibly while it was queued."""


class EndpointMonitor(ABC):
    """Receives the results of attempts, to judge the endpoints."""

    @abstractmethod
    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Record the result of an attempt."""

    @abstractmethod
    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Record that the endpoint announced that it is leaving."""


class Claims(ABC):
    """Executes keyed calls at most once."""

    @abstractmethod
    async def execute(self, req: Request, send: SendCall) -> Reply:
        """Execute a keyed call, or return the stored reply of an earlier one.

        Args:
            req: The request with its key.
            send: Sends the call. It calls its argument directly before anything is sent, which
                raises ``NotRun`` if sending is no longer permitted. It raises an error with ``run``
                equal to ``not_run`` if nothing was sent, otherwise ``OutcomeUnknown``.

        Returns:
            The reply.

        Raises:
            LacewingError: ``KeyReused``, ``InProgress``, ``OutcomeUnknown``, ``NotRun``,
                ``NotReady`` or the error of ``send``.
        """


@dataclass(slots=True, kw_only=True)
class DispatcherDependencies:
    """The objects that all routers use; those that are None are not used."""

    scheduler: Scheduler
    tables: Callable[[], Tables]
    history: History
    budget: RetryBudgets | None = None
    guard: PoisonRequestGuard | None = None
    monitors: list[EndpointMonitor] = field(default_factory=list)
    usage: UsageMeter | None = None
    demand: DemandMeter | None = None
    origins: OriginTable | None = None


@dataclass(slots=True, kw_only=True)
class RouterDependencies(DispatcherDependencies):
    """The objects that ``Router`` uses; those that are None are not used.

    ``stall_policy`` creates the policy that decides when an endpoint is stalled. Its arguments are
    the name of the pool and a function that returns whether a failover is permitted, and charges
    the budget for it.
    """

    client: EndpointClient
    claims: Claims | None = None
    stall_policy: Callable[[str, Callable[[], bool]], StallPolicy] | None = None
