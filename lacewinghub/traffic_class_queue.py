"""Queue of proxied requests by traffic class, such as long and short prompts."""

from collections.abc import Callable, Iterator
from enum import IntEnum

from .queue import Fits, TierQueue, Waiter, WaitQueue
from .request import Request


class _Turn(IntEnum):
    """Order in which the waiters of one tier are served."""

    CONTINUED = 0
    ON_TIME = 1
    LATE = 2


class TrafficClassQueue(WaitQueue):
    """One tier queue for each traffic class, such as long and short prompts.

    A traffic class of which no request can be served at the moment does not block the others.
    Waiters that continue a stream are served before all others of their tier, since their clients
    are in the middle of an answer. Waiters that are late are served after all others.

    Args:
        traffic_class: Returns the traffic class of a request.
    """

    def __init__(self, traffic_class: Callable[[Request], int]) -> None:
        self._traffic_class = traffic_class
        self._queues: dict[tuple[_Turn, int], TierQueue] = {}

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to the queue of its traffic class."""
        key = self._key(waiter)
        if key not in self._queues:
            self._queues[key] = TierQueue()
            # The sort is stable: within a turn, the queues keep their order.
            self._queues = dict(sorted(self._queues.items(), key=lambda item: item[0][0]))
        self._queues[key].push(waiter)

    def pop(self, fits: Fits | None = None, tier: int | None = None) -> Waiter | None:
        """Remove and return the next waiter of the highest tier that has a fitting one."""
        tiers = [tier] if tier is not None else sorted(self.counts())
        for wanted in tiers:
            for queue in self._queues.values():
                waiter = queue.pop(fits, wanted)
                if waiter is not None:
                    return waiter
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return False if it is not queued."""
        queue = self._queues.get(self._key(waiter))
        return queue is not None and queue.remove(waiter)

    def lowest(self) -> Waiter | None:
        """Return the waiter to displace first: one of the lowest tier."""
        found = [item for queue in self._queues.values() if (item := queue.lowest()) is not None]
        return max(found, key=lambda item: item.req.tier, default=None)

    def counts(self) -> dict[int, int]:
        """Return the number of waiters by tier."""
        found: dict[int, int] = {}
        for queue in self._queues.values():
            for tier, count in queue.counts().items():
                found[tier] = found.get(tier, 0) + count
        return found

    def work(self, tier: int) -> float:
        """Return the estimated tokens of the waiters in this and all higher tiers."""
        return sum(queue.work(tier) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiters."""
        for queue in self._queues.values():
            yield from queue

    def _key(self, waiter: Waiter) -> tuple[_Turn, int]:
        turn = _Turn.LATE if waiter.late else _Turn.ON_TIME
        if waiter.continues:
            turn = _Turn.CONTINUED
        return turn, self._traffic_class(waiter.req)

    def __len__(self) -> int:
        """Return the number of waiters."""
        return sum(len(queue) for queue in self._queues.values())
