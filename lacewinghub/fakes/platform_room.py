"""Slots and queue of a fake runner, and its fall after too many refusals."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

WINDOW_S = 1.0  # Span in which the refusals of a brittle runner are counted.


class RoomFull(Exception):
    """The runner has neither a free slot nor room in its queue."""


class RunnerRoom:
    """The requests that a runner processes and those that wait for a slot.

    Args:
        slots: Number of requests that are processed at once.

    Attributes:
        slots: Number of requests that are processed at once.
        max_waiting: Number of requests that may wait; None to process any number at once.
        brittle: Refusals within ``WINDOW_S`` beyond which the runner falls over; None if any
            number does it no harm.
        running: Number of requests that are processed.
        refused_at: Loop times of all refusals for want of room, in seconds.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.max_waiting: int | None = None
        self.brittle: float | None = None
        self.running = 0
        self.refused_at: list[float] = []
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def load(self) -> bytes:
        """Running requests, waiting requests and slots, as the runner states them."""
        return b"%d,%d,%d" % (self.running, len(self._waiting), self.slots)

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it.

        Raises:
            RoomFull: If the queue is full.
        """
        if self.max_waiting is not None and self.running >= self.slots:
            await self._wait(self.max_waiting)
        else:
            self.running += 1
        try:
            yield
        finally:
            self._hand_on()

    def is_too_much(self) -> bool:
        """Return whether the runner has refused more than it bears."""
        now = asyncio.get_running_loop().time()
        recent = sum(at > now - WINDOW_S for at in self.refused_at)
        return self.brittle is not None and recent > self.brittle

    async def _wait(self, max_waiting: int) -> None:
        loop = asyncio.get_running_loop()
        if len(self._waiting) >= max_waiting:
            self.refused_at.append(loop.time())
            raise RoomFull
        fut: asyncio.Future[None] = loop.create_future()
        self._waiting.append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            if fut in self._waiting:
                self._waiting.remove(fut)
            elif fut.done() and not fut.cancelled():
                self._hand_on()
            raise

    def _hand_on(self) -> None:
        """Give a slot to the first waiting request, or free it."""
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
