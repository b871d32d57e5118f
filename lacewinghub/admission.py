"""Decides which requests may wait and which are refused."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .queue import Waiter, WaitQueue
from .request import Request
from .tables import Pool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on an arriving request.

    Attributes:
        admitted: True if it may wait.
        displaced: Waiter to refuse in its place, or None.
        quota: True if admitted because its tier was starving.
        reason: Why it is refused.
        retry_after_s: When a retry makes sense, in seconds.
    """

    admitted: bool
    displaced: Waiter | None = None
    quota: bool = False
    reason: str = ""
    retry_after_s: float = 1.0


class Admission(ABC):
    """Rules for accepting, displacing and expiring requests."""

    @abstractmethod
    def decide(self, pool: Pool, queue: WaitQueue, req: Request, now: float) -> Verdict:
        """Decide on an arriving request.

        Args:
            pool: Its pool.
            queue: The pool's queue at this node.
            req: The request.
            now: Loop time, in seconds.

        Returns:
            The verdict. If it admits the request, the admission is on record.
        """

    @abstractmethod
    def may_shed(self, req: Request, now: float) -> bool:
        """Tell whether a queued request may be displaced or expire."""

    def served(self, pool: str, tier: int, now: float) -> None:  # noqa: B027
        """Note that a request got a slot."""

    def update(self, pool: Pool, queue: WaitQueue, now: float) -> None:  # noqa: B027
        """Adapt to the state of a queue; called several times per second."""


class NaiveAdmission(Admission):
    """A queue limit and expiry after the patience, without regard to other nodes.

    Args:
        displace: True to refuse the lowest waiting tier instead of a higher one that arrives.
    """

    def __init__(self, displace: bool = False) -> None:
        self._displace = displace

    def decide(self, pool: Pool, queue: WaitQueue, req: Request, now: float) -> Verdict:
        """Admit below the queue limit."""
        if len(queue) < pool.queue_limit:
            return Verdict(True)
        lowest = queue.lowest() if self._displace else None
        if lowest is not None and lowest.req.tier > req.tier:
            return Verdict(True, displaced=lowest)
        return Verdict(False, reason=f"the queue of pool {pool.name!r} is full")

    def may_shed(self, req: Request, now: float) -> bool:
        """Every request may expire."""
        return True
