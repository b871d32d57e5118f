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

# A shorter pause may be below the resolution of the clock.
MIN_PAUSE_S = 0.001
BATCH_RECORDS = 200
BATCH_BYTES = 512 * 1024
# After a failed append the next batch is small, since its outcome may be unknown as well.
SMALL_BATCH_RECORDS = 20


@dataclass(slots=True, eq=False)
class PendingRecord:
    """A record that waits to be appended.

    Attributes:
        data: The record as a JSON object.
        size: Approximate size in bytes.
        confirmed: Done once the log confirmed the record.
        sends: Number of appends that contained it and may have taken effect.
        dropped: True if it must no longer be appended.
    """

    data: dict[str, Any]
    size: int
    confirmed: asyncio.Future[None]
    sends: int = 0
    dropped: bool = False


class AppendPacer:
    """Limits the rate of the appends of one node to all its streams.

    Args:
        interval: Returns the minimum time between the starts of two appends, in seconds. The first
            append after a pause does not wait.
    """

    def __init__(self, interval: Callable[[], float] = lambda: 0.0) -> None:
        self._interval = interval
        self._started = float("-inf")
        self._waiting = 0

    @property
    def max_delay_s(self) -> float:
        """Longest delay of a record that is queued now, in seconds."""
        return self._interval() * max(1, self._waiting)

    async def wait_turn(self) -> None:
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


class AppendQueue:
    """Queue of the records that one node appends to a stream.

    If an append was not confirmed, its records are appended again. Readers must therefore ignore
    duplicates.

    Args:
        log: The platform's log.
        stream: Name of the stream.
        rng: Source of the jitter.
        pacer: Limits the rate of the appends.
    """

    def __init__(
        self, log: Log, stream: str, rng: random.Random, pacer: AppendPacer | None = None
    ) -> None:
        self._pacer = pacer or AppendPacer()
        self._log = log
        self._stream = stream
        self._random = rng
        self._items: deque[PendingRecord] = deque()
        self._in_flight: list[PendingRecord] = []
        self._not_empty = asyncio.Event()
        self._append_lock = asyncio.Lock()
        self._last_append_ok = True

    @property
    def idle(self) -> bool:
        """True if no record waits or is in flight."""
        return not self._in_flight and all(item.dropped for item in self._items)

    def add(self, data: dict[str, Any], size: int = 256) -> PendingRecord:
        """Queue a record.

        Args:
            data: The record as a JSON object.
            size: Approximate size in bytes.
        """
        item = PendingRecord(data, size, asyncio.get_running_loop().create_future())
        self._items.append(item)
        self._not_empty.set()
        return item

    async def run(self) -> None:
        """Append the queued records until cancelled."""
        backoff = Backoff(self._random)
        while True:
            await self._not_empty.wait()
            await self._pacer.wait_turn()
            batch = self._next_batch()
            if not batch:
                self._not_empty.clear()
                continue
            if await self._append(batch):
                backoff.reset()
                continue
            await backoff.pause()

    async def append_now(self, data: dict[str, Any], attempts: int = 5) -> bool:
        """Append a record at once, without the queue.

        Args:
            data: The record as a JSON object.
            attempts: Largest number of attempts.

        Returns:
            True if the log confirmed it.
        """
        for _ in range(attempts):
            try:
                async with self._append_lock:
                    await self._log.append(self._stream, [data])
                return True
            except (LogUnavailable, LogUncertain):
                await asyncio.sleep(BACKOFF_MAX_S * self._random.uniform(0.2, 1.0))
        return False

    def _next_batch(self) -> list[PendingRecord]:
        limit = BATCH_RECORDS if self._last_append_ok else SMALL_BATCH_RECORDS
        batch: list[PendingRecord] = []
        size = 0
        while self._items and len(batch) < limit and size < BATCH_BYTES:
            item = self._items.popleft()
            if not item.dropped:
                batch.append(item)
                size += item.size
        return batch

    async def _append(self, batch: list[PendingRecord]) -> bool:
        self._in_flight = batch
        for item in batch:
            item.sends += 1
        try:
            async with self._append_lock:
                await self._log.append(self._stream, [item.data for item in batch])
            for item in batch:
                item.confirmed.set_result(None)
            batch = []
            self._last_append_ok = True
            return True
        except LogUnavailable:
            for item in batch:
                item.sends -= 1
        except LogUncertain as exc:
            logger.debug("append of {} records is uncertain: {}", len(batch), exc)
        finally:
            self._in_flight = []
            self._items.extendleft(reversed(batch))
        self._last_append_ok = False
        return False
