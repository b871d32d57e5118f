"""Queues of the waiting requests of one pool at one node."""

import asyncio
import heapq
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .request import Grant, Request

MATCH_DEPTH = 8  # Number of workspaces whose next requests are rated for a free slot.


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        req: The request.
        fut: Receives the grant or the refusal.
        cost: Estimated work, in tokens.
        preferred: Name of the endpoint with the longest cached prefix, or empty.
        resumed: True for a request that was already dispatched once, also in an earlier attempt of
            its client; it is never shed.
        quota: True for a request that was admitted to keep the minimum share of its tier; it is
            never shed, since the tier would starve if its few requests expired or were displaced.
        queued: True while the request is in a queue.
        since: Loop time at which it was queued; later than its arrival for a resumed request.
        group: Name of the runner group whose broker is asked for a slot, or empty.
        late: True for a request that can no longer begin within its target and yields to others.
        late_at: Loop time from which on that is so, in seconds.
        continues: True for a request whose client has already received a part of its stream.
    """

    req: Request
    fut: asyncio.Future[Grant]
    cost: float = 1.0
    preferred: str = ""
    resumed: bool = False
    quota: bool = False
    queued: bool = False
    group: str = ""
    since: float = 0.0
    late: bool = False
    late_at: float = float("inf")
    continues: bool = False

    @property
    def protected(self) -> bool:
        """Return whether the request is served first in its tier and never shed."""
        return self.resumed or self.quota


Fits = Callable[[Waiter], int]


class WaitQueue(ABC):
    """Holds the waiting requests of a pool and defines the order in which they are served."""

    @abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""

    @abstractmethod
    def pop(self, fits: Fits | None = None, tier: int | None = None) -> Waiter | None:
        """Remove and return the next waiter.

        Args:
            fits: Rates how well a waiter matches the free slot; 0 excludes it. A waiter with a
                better rating may overtake up to ``MATCH_DEPTH - 1`` others.
            tier: Tier to serve; None for any.

        Returns:
            The waiter, or None if there is none.
        """

    @abstractmethod
    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return False if it is not queued."""

    @abstractmethod
    def lowest(self) -> Waiter | None:
        """Return the waiter to displace first: the newest one of the lowest tier."""

    @abstractmethod
    def counts(self) -> dict[int, int]:
        """Return the number of waiters by tier."""

    @abstractmethod
    def work(self, tier: int) -> float:
        """Return the estimated tokens of the waiters in this and all higher tiers."""

    @abstractmethod
    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiters in any order."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiters."""


class FifoQueue(WaitQueue):
    """Serves requests in order of arrival."""

    def __init__(self) -> None:
        self._waiters: dict[Waiter, None] = {}

    def push(self, waiter: Waiter) -> None:
        """Add a waiter at the end."""
        waiter.queued = True
        self._waiters[waiter] = None

    def pop(self, fits: Fits | None = None, tier: int | None = None) -> Waiter | None:
        """Remove and return the oldest waiter, of the given tier if any."""
        found = next((item for item in self._waiters if tier in (None, item.req.tier)), None)
        if found is not None:
            self.remove(found)
        return found

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return False if it is not queued."""
        if not waiter.queued:
            return False
        waiter.queued = False
        del self._waiters[waiter]
        return True

    def lowest(self) -> Waiter | None:
        """Return the newest waiter."""
        return next(reversed(self._waiters), None)

    def counts(self) -> dict[int, int]:
        """Return the number of waiters by tier."""
        found: dict[int, int] = {}
        for waiter in self._waiters:
            found[waiter.req.tier] = found.get(waiter.req.tier, 0) + 1
        return found

    def work(self, tier: int) -> float:
        """Return the work of all waiters, since a new one is served after all of them."""
        return sum(waiter.cost for waiter in self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate in order of arrival."""
        return iter(list(self._waiters))

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)


@dataclass(slots=True)
class _Tier:
    """Start-time fair queueing between the workspaces of one tier.

    Attributes:
        protected: Resumed and quota requests, which are served first.
        waiters: Other requests in order of arrival, by workspace.
        heads: Heap of (start tag, sequence number, workspace) with one entry for each workspace
            in ``waiters``.
        finish: Finish tag of the last served request, by workspace.
        virtual: Virtual time: the start tag of the last served request.
        seq: Last sequence number; breaks ties between equal start tags.
        count: Number of requests.
        work: Estimated tokens of all requests.
    """

    protected: deque[Waiter] = field(default_factory=deque)
    waiters: dict[str, deque[Waiter]] = field(default_factory=dict)
    heads: list[tuple[float, int, str]] = field(default_factory=list)
    finish: dict[str, float] = field(default_factory=dict)
    virtual: float = 0.0
    seq: int = 0
    count: int = 0
    work: float = 0.0

    def push(self, waiter: Waiter) -> None:
        self.count += 1
        self.work += waiter.cost
        if waiter.protected:
            self.protected.append(waiter)
            return
        workspace = waiter.req.workspace
        fifo = self.waiters.get(workspace)
        if fifo is None:
            fifo = self.waiters[workspace] = deque()
            self._push_head(workspace)
        fifo.append(waiter)

    def pop(self, fits: Fits | None) -> Waiter | None:
        if not self.count:
            return None
        for waiter in self.protected:
            if fits is None or fits(waiter):
                self.protected.remove(waiter)
                return self._uncount(waiter)
        if not self.heads:
            return None
        if fits is None:
            return self._pop_head(heapq.heappop(self.heads))
        window = heapq.nsmallest(MATCH_DEPTH, self.heads)
        ratings = [fits(self.waiters[name][0]) for _, _, name in window]
        best = max(ratings)
        if best == 0:
            return None
        entry = window[ratings.index(best)]
        self.heads.remove(entry)
        heapq.heapify(self.heads)
        return self._pop_head(entry)

    def remove(self, waiter: Waiter) -> None:
        self._uncount(waiter)
        if waiter.protected:
            self.protected.remove(waiter)
            return
        workspace = waiter.req.workspace
        fifo = self.waiters[workspace]
        fifo.remove(waiter)
        if not fifo:
            del self.waiters[workspace]
            self.heads = [entry for entry in self.heads if entry[2] != workspace]
            heapq.heapify(self.heads)

    def latest(self) -> Waiter | None:
        """Return the newest waiter of the workspace with the most waiters, or None."""
        if not self.heads:
            return None
        longest = max(self.waiters.values(), key=lambda fifo: (len(fifo), fifo[-1].req.arrived))
        return longest[-1]

    def _uncount(self, waiter: Waiter) -> Waiter:
        self.count -= 1
        self.work = self.work - waiter.cost if self.count else 0.0
        return waiter

    def _push_head(self, workspace: str) -> None:
        start = max(self.virtual, self.finish.get(workspace, 0.0))
        self.seq += 1
        heapq.heappush(self.heads, (start, self.seq, workspace))

    def _pop_head(self, entry: tuple[float, int, str]) -> Waiter:
        start, _, workspace = entry
        fifo = self.waiters[workspace]
        waiter = self._uncount(fifo.popleft())
        self.virtual = max(self.virtual, start)
        self.finish[workspace] = start + waiter.cost / waiter.req.weight
        if fifo:
            self._push_head(workspace)
        else:
            del self.waiters[workspace]
        if len(self.finish) > 2 * len(self.waiters) + 64:
            self.finish = {name: tag for name, tag in self.finish.items() if tag > self.virtual}
        return waiter


class TierQueue(WaitQueue):
    """Serves higher tiers first, and the workspaces of a tier fairly.

    Within a tier each workspace gets a share of the estimated tokens in proportion to its weight.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, _Tier] = {}
        self._count = 0

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to its tier."""
        tier = self._tiers.get(waiter.req.tier)
        if tier is None:
            tier = self._tiers[waiter.req.tier] = _Tier()
            self._tiers = dict(sorted(self._tiers.items()))
        waiter.queued = True
        tier.push(waiter)
        self._count += 1

    def pop(self, fits: Fits | None = None, tier: int | None = None) -> Waiter | None:
        """Remove and return the next waiter of the highest tier, or of the given one."""
        if tier is not None:
            queues = [self._tiers[tier]] if tier in self._tiers else []
        else:
            queues = list(self._tiers.values())
        for fifo in queues:
            waiter = fifo.pop(fits)
            if waiter is not None:
                waiter.queued = False
                self._count -= 1
                return waiter
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return False if it is not queued."""
        if not waiter.queued:
            return False
        waiter.queued = False
        self._tiers[waiter.req.tier].remove(waiter)
        self._count -= 1
        return True

    def lowest(self) -> Waiter | None:
        """Return the newest waiter of the workspace with the most waiters in the lowest tier."""
        for tier in reversed(self._tiers.values()):
            waiter = tier.latest()
            if waiter is not None:
                return waiter
        return None

    def counts(self) -> dict[int, int]:
        """Return the number of waiters by tier, in tier order."""
        return {number: tier.count for number, tier in self._tiers.items() if tier.count}

    def work(self, tier: int) -> float:
        """Return the estimated tokens in this and all higher tiers."""
        return sum(fifo.work for number, fifo in self._tiers.items() if number <= tier)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiters."""
        for tier in list(self._tiers.values()):
            yield from list(tier.protected)
            for fifo in list(tier.waiters.values()):
                yield from list(fifo)

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._count
