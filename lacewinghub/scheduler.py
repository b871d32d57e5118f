"""Decides when a request gets a slot, and of which endpoint."""

from abc import ABC, abstractmethod

from .request import Grant, Observation, Request


class Scheduler(ABC):
    """Queues the requests of one node and hands out slots of endpoints."""

    @abstractmethod
    async def acquire(self, req: Request) -> Grant:
        """Wait until the request may use a slot.

        Cancelling the call withdraws the request. Endpoints in ``req.avoid`` are chosen only when
        no other endpoint of the pool is usable.

        Args:
            req: The request; ``req.pool`` names its pool.

        Returns:
            A grant, which the caller must release.

        Raises:
            Overloaded: If the request is shed. It was not sent to any endpoint.
        """

    @abstractmethod
    def release(self, grant: Grant, seen: Observation) -> None:
        """Return a slot.

        Args:
            grant: The grant from ``acquire``.
            seen: What was measured while it was used.
        """

    async def run(self) -> None:
        """Run background work until cancelled; the supervisor restarts it on failure."""
        return None
