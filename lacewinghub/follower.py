"""Follows the newest record of each key of a topic in the platform's log."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from .errors import LacewingError, LogUnavailable

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.6


class RecordsExpired(LacewingError):
    """Records between the wanted offset and the oldest kept one are gone."""

    code, status = "log_expired", 410


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; None means that the key was dropped."""

    key: str
    value: bytes | None
    offset: int = 0


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in offset order and the offset that follows them."""

    records: list[KeyedRecord] = field(default_factory=list)
    end: int = 0


class KeyedTopic(ABC):
    """A topic of the log that keeps the newest record of each key."""

    @abstractmethod
    async def newest(self) -> KeyedPage:
        """Read the newest record of each key.

        Returns:
            All keys, and an offset from which ``read`` misses no later record.

        Raises:
            LogUnavailable: If the log did not answer.
        """

    @abstractmethod
    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on.

        Args:
            start: First offset wanted.
            wait_s: How long to wait for a record if there is none yet, in seconds.

        Raises:
            Expired: If records from this offset on are gone.
            LogUnavailable: If the log did not answer.
        """


class KeyedSink(ABC):
    """Receives what a follower reads."""

    @abstractmethod
    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Take over all keys; keys that are not named are gone."""

    @abstractmethod
    def apply_record(self, record: KeyedRecord) -> None:
        """Take over one change."""

    def on_topic_lost(self) -> None:  # noqa: B027
        """Note that the topic cannot be read."""

    def on_topic_restored(self) -> None:  # noqa: B027
        """Note that the topic can be read again."""


@dataclass(frozen=True, slots=True)
class ReadTiming:
    """How often a topic is read.

    Attributes:
        wait_s: Longest wait of a read for a record, in seconds.
        pause_s: Pause after a read, in seconds; collects the records of a busy topic.
    """

    wait_s: float
    pause_s: float = 0.0


class Follower:
    """Reads a topic until cancelled.

    Args:
        name: Name used in log lines.
        topic: The topic.
        sink: Receives the records.
        pace: Returns how often to read.
    """

    def __init__(
        self, name: str, topic: KeyedTopic, sink: KeyedSink, pace: Callable[[], ReadTiming]
    ) -> None:
        self.name = name
        self.reachable = False
        self._topic = topic
        self._sink = sink
        self._pace = pace
        self._next: int | None = None

    async def run(self) -> None:
        """Follow the topic."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._step()
                backoff_s = MIN_BACKOFF_S
            except RecordsExpired as exc:
                logger.bind(topic=self.name).info("records expired: {}", exc.message)
                self._next = None
            except LogUnavailable as exc:
                self._note_lost(exc)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _step(self) -> None:
        if self._next is None:
            page = await self._topic.newest()
            self._note_returned()
            self._sink.replace_all(page.records)
        else:
            page = await self._topic.read(self._next, self._pace().wait_s)
            self._note_returned()
            for record in page.records:
                self._sink.apply_record(record)
        self._next = page.end
        pause_s = self._pace().pause_s
        if pause_s:
            await asyncio.sleep(pause_s)

    def _note_lost(self, exc: LacewingError) -> None:
        if self.reachable:
            logger.bind(topic=self.name, reason=exc.message).warning("topic lost")
            self.reachable = False
        self._sink.on_topic_lost()

    def _note_returned(self) -> None:
        if not self.reachable:
            logger.bind(topic=self.name).info("topic readable")
            self.reachable = True
            self._sink.on_topic_restored()
