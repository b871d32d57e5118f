"""Appends records to a stream with one append in flight, until the log confirms them."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from ._backoff import BACKOFF_MAX_S, Backoff
from .errors import LogUnavailable, LogUncertain
from .log import Log

# A shorter pause can be below the resolution of the clock.
MIN_PAUSE_S = 0.001
BATCH_RECORDS = 200
BATCH_BYTES = 512 * 1024
# After a failed append few records are put at risk of an unknown fate by the next one.
PROBE_RECORDS = 20


@dataclass(slots=True, eq=False)
class Item:
    """A record that waits to be appended.

    Attributes:
        data: The record as a JSON object.
        size: Approximate size in bytes.
        confirmed: Done when the record is in the log.
        sends: Number of appends that contained it and may have taken effect.
        dropped: True if it must not be appended any more.
    """

    data: dict[str, Any]
    size: int
    confirmed: asyncio.Future[None]
    sends: int = 0
    dropped: bool = False


class Pace:
    """Spaces the appends that one node makes to all its streams.

    Args:
        interval: Returns the shortest time between the starts of two appends, in seconds. The
            first one after a pause does not wait.
    """

    def __init__(self, interval: Callable[[], float] = lambda: 0.0) -> None:
        self._interval = interval
        self._started = float("-inf")
        self._waiting = 0

    @property
    def longest_s(self) -> float:
        """Longest time until a record that is queued now is appended, in seconds."""
        return self._interval() * max(1, self._waiting)

    async def turn(self) -> None:
        """Wait until the next append may start."""
        loop = asyncio.get_running_loop()
        left = self._started + self._interval() - loop.time()
        self._started = max(loop.time(), self._started + self._interval())
        if left <= 0:
            return
        self._waiting += 1
        try:
            await asyncio.sleep(max(MIN_PAUSE_S, left))
        finally:
            self._waiting -= 1


class Outbox:
    """Records of one node on their way to a stream.

    A record whose append was not confirmed is appended again, so that readers must ignore
    duplicates.

    Args:
        log: The platform's log.
        stream: Name of the stream.
        rng: Source of the jitter.
        pace: Spaces the appends.
    """

    def __init__(self, log: Log, stream: str, rng: random.Random, pace: Pace | None = None) -> None:
        self._pace = pace or Pace()
        self._log = log
        self._stream = stream
        self._random = rng
        self._items: deque[Item] = deque()
        self._in_flight: list[Item] = []
        self._filled = asyncio.Event()
        self._appending = asyncio.Lock()
        self._log_works = True

    @property
    def idle(self) -> bool:
        """True if no record waits or is in flight."""
        return not self._in_flight and all(item.dropped for item in self._items)

    def add(self, data: dict[str, Any], size: int = 256) -> Item:
        """Queue a record.

        Args:
            data: The record as a JSON object.
            size: Approximate size in bytes.
        """
        item = Item(data, size, asyncio.get_running_loop().create_future())
        self._items.append(item)
        self._filled.set()
        return item

    async def run(self) -> None:
        """Append the queued records until cancelled."""
        backoff = Backoff(self._random)
        while True:
            await self._filled.wait()
            await self._pace.turn()
            batch = self._batch()
            if not batch:
                self._filled.clear()
                continue
            if await self._append(batch):
                backoff.reset()
                continue
            await backoff.pause()

    async def append_now(self, data: dict[str, Any], attempts: int = 5) -> bool:
        """Append a record between the queued ones.

        Args:
            data: The record as a JSON object.
            attempts: How often to try.

        Returns:
            True if the log confirmed it.
        """
        for _ in range(attempts):
            try:
                async with self._appending:
                    await self._log.append(self._stream, [data])
                return True
            except (LogUnavailable, LogUncertain):
                await asyncio.sleep(BACKOFF_MAX_S * self._random.uniform(0.2, 1.0))
        return False

    def _batch(self) -> list[Item]:
        limit = BATCH_RECORDS if self._log_works else PROBE_RECORDS
        batch: list[Item] = []
        size = 0
        while self._items and len(batch) < limit and size < BATCH_BYTES:
            item = self._items.popleft()
            if not item.dropped:
                batch.append(item)
                size += item.size
        return batch

    async def _append(self, batch: list[Item]) -> bool:
        self._in_flight = batch
        for item in batch:
            item.sends += 1
        try:
            async with self._appending:
                await self._log.append(self._stream, [item.data for item in batch])
            for item in batch:
                item.confirmed.set_result(None)
            batch = []
            self._log_works = True
            return True
        except LogUnavailable:
            for item in batch:
                item.sends -= 1
        except LogUncertain as exc:
            logger.debug("append of {} records is uncertain: {}", len(batch), exc)
        finally:
            self._in_flight = []
            self._items.extendleft(reversed(batch))
        self._log_works = False
        return False
