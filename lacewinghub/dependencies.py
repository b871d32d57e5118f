"""The parts that a router works with, behind abstract base classes."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from .endpoint import EndpointClient, Reply, StallPolicy
from .history import History
from .limit import RetryBudget
from .request import AttemptResult, Request
from .scheduler import Scheduler
from .tables import Tables

Check = Callable[[], None]
Send = Callable[[Check], Awaitable[Reply]]


class RetryBudgets(ABC):
    """Limits the retries of a pool to a share of its requests."""

    @abstractmethod
    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""

    @abstractmethod
    def try_spend(self, pool: str) -> bool:
        """Take one retry; False if none is left."""


class PoolBudgets(RetryBudgets):
    """A retry budget for each pool.

    Args:
        make: Creates the budget of a pool.
    """

    def __init__(self, make: Callable[[], RetryBudget] = RetryBudget) -> None:
        self._make = make
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""
        self._of(pool).note_request()

    def try_spend(self, pool: str) -> bool:
        """Take one retry; False if none is left."""
        return self._of(pool).try_spend(asyncio.get_running_loop().time())

    def _of(self, pool: str) -> RetryBudget:
        return self._budgets.setdefault(pool, self._make())


class PoisonRequestGuard(ABC):
    """Learns which requests were in flight when endpoints crashed, and refuses poison requests."""

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
        """Note that the request is being sent to an endpoint."""

    @abstractmethod
    def on_attempt_ended(self, req: Request, endpoint: str, seen: AttemptResult) -> None:
        """Note that the request no longer is at the endpoint."""

    def on_request_done(self, req: Request) -> None:  # noqa: B027
        """Note that the request is given up, possibly while it was waiting."""


class EndpointMonitor(ABC):
    """Learns how endpoints behave."""

    @abstractmethod
    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Note what was measured during one attempt."""

    @abstractmethod
    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Note that the endpoint announced that it is leaving."""


class Claims(ABC):
    """Lets a keyed call be executed at most once."""

    @abstractmethod
    async def execute(self, req: Request, send: Send) -> Reply:
        """Execute a keyed call, or return the stored reply of an earlier one.

        Args:
            req: The request with its key.
            send: Sends the call. Its argument is called directly before anything is sent and raises
                ``NotRun`` if sending is no longer permitted. It raises an error with ``run`` equal
                to ``not_run`` if nothing was sent, otherwise ``OutcomeUnknown``.

        Returns:
            The reply.

        Raises:
            LacewingError: ``KeyReused``, ``InProgress``, ``OutcomeUnknown``, ``NotRun``,
                ``NotReady`` or the error of ``send``.
        """


@dataclass(slots=True, kw_only=True)
class DispatcherDependencies:
    """What every way of answering a request works with; parts that are None are left out."""

    scheduler: Scheduler
    tables: Callable[[], Tables]
    history: History
    budget: RetryBudgets | None = None
    guard: PoisonRequestGuard | None = None
    monitors: list[EndpointMonitor] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class RouterDependencies(DispatcherDependencies):
    """What a router works with; parts that are None are left out.

    ``watch`` returns what decides when a silent endpoint is given up, from the name of the pool and
    a function that takes one move to another endpoint if it is permitted.
    """

    client: EndpointClient
    claims: Claims | None = None
    stall_policy: Callable[[str, Callable[[], bool]], StallPolicy] | None = None
