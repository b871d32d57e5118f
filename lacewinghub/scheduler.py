"""Interfaces of the schedulers, which assign waiting requests to slots of endpoints."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from .request import AttemptResult, Grant, Request
from .tables import Endpoint, Pool, Tables, Target


class PoolView(ABC):
    """The pools as a scheduler sees them: configuration and usable endpoints."""

    @abstractmethod
    def pool(self, name: str) -> Pool:
        """Return a pool of the current tables.

        Raises:
            UnknownPool: If the pool does not exist.
        """

    @abstractmethod
    def usable(self, name: str) -> list[Endpoint]:
        """Return the endpoints of a pool that are neither leaving nor ejected."""

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return which of the given endpoints of a pool are usable.

        Subclasses override this so that it does not iterate over the whole pool.
        """
        usable = {item.name for item in self.usable(name)}
        return [item for item in endpoints if item.name in usable]

    def ejected(self, name: str) -> list[Endpoint]:
        """Return the endpoints of a pool that are not usable only since they are ejected."""
        return []

    def names(self) -> list[str]:
        """Return the names of all pools."""
        return []

    def target(self, pool: str, tier: int) -> Target:
        """Return the least strict latency targets of the routes to a pool at a tier."""
        return Target()


class TablesView(PoolView):
    """View of the current tables, which may be replaced at any time.

    Args:
        tables: Returns the current tables.
        is_usable: Returns whether an endpoint may receive requests; by default all may.
    """

    def __init__(
        self,
        tables: Callable[[], Tables],
        is_usable: Callable[[str], bool] = lambda endpoint: True,
    ) -> None:
        self._tables = tables
        self._is_usable = is_usable
        self._indexed: Tables | None = None
        self._targets: dict[tuple[str, int], Target] = {}

    def pool(self, name: str) -> Pool:
        """Return a pool of the current tables."""
        return self._tables().pool(name)

    def usable(self, name: str) -> list[Endpoint]:
        """Return the endpoints that pass ``is_usable``."""
        return [item for item in self.pool(name).endpoints if self._is_usable(item.name)]

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return which of the given endpoints pass ``is_usable``."""
        return [item for item in endpoints if self._is_usable(item.name)]

    def names(self) -> list[str]:
        """Return the names of all pools."""
        return list(self._tables().pools)

    def target(self, pool: str, tier: int) -> Target:
        """Return the least strict latency targets of the routes to a pool at a tier."""
        tables = self._tables()
        if tables is not self._indexed:
            self._indexed, self._targets = tables, _targets(tables)
        return self._targets.get((pool, tier), Target())


def _targets(tables: Tables) -> dict[tuple[str, int], Target]:
    found: dict[tuple[str, int], list[Target]] = {}
    for route in tables.routes.values():
        found.setdefault((route.pool, route.tier), []).append(route.target)
    return {
        key: Target(
            _least_strict(item.first_token_s for item in items),
            _least_strict(item.between_tokens_s for item in items),
        )
        for key, items in found.items()
    }


def _least_strict(values: Iterable[float | None]) -> float | None:
    known = list(values)
    return None if None in known else max(value for value in known if value is not None)


class Scheduler(ABC):
    """Queues the requests of one node and assigns them to slots of endpoints."""

    @abstractmethod
    async def acquire(self, req: Request) -> Grant:
        """Wait until the request may use a slot.

        Cancelling the call removes the request from its queue. Endpoints in
        ``req.excluded_endpoints`` are chosen only if no other endpoint of the pool is usable.

        Args:
            req: The request; ``req.pool`` names its pool.

        Returns:
            A grant that must be passed to ``release``.

        Raises:
            Overloaded: If the request is shed. It was not sent to any endpoint.
        """

    @abstractmethod
    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Return a slot.

        Args:
            grant: The grant from ``acquire``.
            result: Outcome and latencies of the request.
        """

    def may_occupy(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be sent another request now."""
        return True

    def occupy(self, req: Request, endpoint: Endpoint, events: int) -> Grant:
        """Take a slot for a run that goes on at an endpoint, without waiting.

        Args:
            req: The request.
            endpoint: The endpoint.
            events: Number of events received before.
        """
        return Grant(0, req.pool, endpoint.name, brokered=False)

    def on_endpoint_full(self, grant: Grant) -> None:
        """Record that the endpoint refused the request because it had no free slot.

        Args:
            grant: The grant with which the request was sent.
        """
        return None

    def on_answer_event(self, grant: Grant) -> None:
        """Record that an event of the answer arrived.

        Args:
            grant: The grant with which the request was sent.
        """
        return None

    async def run(self) -> None:
        """Run background work until cancelled; the supervisor restarts it after a failure."""
        return None
