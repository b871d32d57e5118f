"""Decides when a request gets a slot, and of which endpoint."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from .request import AttemptResult, Grant, Request
from .tables import Endpoint, Pool, Tables, Target


class PoolView(ABC):
    """What a scheduler needs to know of the pools at any moment."""

    @abstractmethod
    def pool(self, name: str) -> Pool:
        """Return a pool of the tables in force.

        Raises:
            UnknownPool: If it does not exist.
        """

    @abstractmethod
    def usable(self, name: str) -> list[Endpoint]:
        """Return the endpoints of a pool that are neither leaving nor ejected."""

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints of a pool that are usable.

        Subclasses do so without a walk over the whole pool.
        """
        usable = {item.name for item in self.usable(name)}
        return [item for item in endpoints if item.name in usable]

    def names(self) -> list[str]:
        """Return the names of all pools."""
        return []

    def target(self, pool: str, tier: int) -> Target:
        """Return the loosest latency targets of the routes to a pool at a tier."""
        return Target()


class TablesView(PoolView):
    """View of tables that may be replaced.

    Args:
        tables: Returns the tables in force.
        is_usable: Tells whether an endpoint may receive requests; by default each may.
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
        """Return a pool of the tables in force."""
        return self._tables().pool(name)

    def usable(self, name: str) -> list[Endpoint]:
        """Return the endpoints that pass ``is_usable``."""
        return [item for item in self.pool(name).endpoints if self._is_usable(item.name)]

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints that pass ``is_usable``."""
        return [item for item in endpoints if self._is_usable(item.name)]

    def names(self) -> list[str]:
        """Return the names of all pools."""
        return list(self._tables().pools)

    def target(self, pool: str, tier: int) -> Target:
        """Return the loosest latency targets of the routes to a pool at a tier."""
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
            _loosest(item.first_token_s for item in items),
            _loosest(item.between_tokens_s for item in items),
        )
        for key, items in found.items()
    }


def _loosest(values: Iterable[float | None]) -> float | None:
    known = list(values)
    return None if None in known else max(value for value in known if value is not None)


class Scheduler(ABC):
    """Queues the requests of one node and hands out slots of endpoints."""

    @abstractmethod
    async def acquire(self, req: Request) -> Grant:
        """Wait until the request may use a slot.

        Cancelling the call withdraws the request. Endpoints in ``req.excluded_endpoints`` are
        chosen only when no other endpoint of the pool is usable.

        Args:
            req: The request; ``req.pool`` names its pool.

        Returns:
            A grant, which the caller must release.

        Raises:
            Overloaded: If the request is shed. It was not sent to any endpoint.
        """

    @abstractmethod
    def release(self, grant: Grant, seen: AttemptResult) -> None:
        """Return a slot.

        Args:
            grant: The grant from ``acquire``.
            seen: What was measured while it was used.
        """

    def on_endpoint_full(self, grant: Grant) -> None:
        """Note that the endpoint had no place for the request.

        Args:
            grant: The grant with which the request was sent.
        """
        return None

    def on_answer_event(self, grant: Grant) -> None:
        """Note that a piece of an answer arrived.

        Args:
            grant: The grant with which the request was sent.
        """
        return None

    async def run(self) -> None:
        """Run background work until cancelled; the supervisor restarts it on failure."""
        return None
