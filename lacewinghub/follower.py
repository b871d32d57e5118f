"""Follows a topic of the platform's log that keeps the newest record of each key."""

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
    """Records between the requested offset and the oldest available one have been removed."""

    code, status = "log_expired", 410


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; None means that the key was deleted."""

    key: str
    value: bytes | None
    offset: int = 0


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in offset order, and the offset after the last one.

    Attributes:
        records: The records.
        end: Offset after the last record.
        after_outage: True if they come from a peer that lost the topic and has just regained it.
        era: Number of times the log came back from an older copy of itself; offsets of different
            eras cannot be compared.
        rewound: True if this is the first page of a new era.
    """

    records: list[KeyedRecord] = field(default_factory=list)
    end: int = 0
    after_outage: bool = False
    era: int = 0
    rewound: bool = False


class KeyedTopic(ABC):
    """A topic of the log that keeps the newest record of each key (a compacted topic)."""

    @abstractmethod
    async def newest(self) -> KeyedPage:
        """Read the newest record of each key.

        Returns:
            The records of all keys, and the offset from which to call ``read`` to miss no change.

        Raises:
            LogUnavailable: If the log did not answer.
        """

    @abstractmethod
    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on.

        Args:
            start: First offset to read.
            wait_s: Longest time to wait for a record if there is none yet, in seconds.

        Raises:
            RecordsExpired: If records from this offset on have been removed.
            LogUnavailable: If the log did not answer.
        """


class KeyedSink(ABC):
    """Receives the records that a follower reads."""

    @abstractmethod
    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Replace the records of all keys; keys that are missing here were deleted."""

    @abstractmethod
    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one changed record."""

    def on_topic_lost(self) -> None:  # noqa: B027
        """Handle that the topic cannot be read; called after each failed read."""

    def on_topic_restored(self) -> None:  # noqa: B027
        """Handle that the topic can be read again."""

    def on_topic_rewound(self) -> None:  # noqa: B027
        """Handle that the topic comes from an older copy; called before its records are replaced.

        Records may be missing or older than known ones until their writers have written them again.
        """


@dataclass(frozen=True, slots=True)
class ReadTiming:
    """Wait and pause of the reads of a topic.

    Attributes:
        wait_s: Longest time that a read waits for a record, in seconds.
        pause_s: Pause after a read, in seconds; the next read of a busy topic then gets several
            records at once.
    """

    wait_s: float
    pause_s: float = 0.0


class Follower:
    """Reads a topic and passes its records to a sink.

    Args:
        name: Name used in log lines.
        topic: The topic.
        sink: Receives the records.
        pace: Returns the current wait and pause of reads.
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
        """Follow the topic until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._read_once()
                backoff_s = MIN_BACKOFF_S
            except RecordsExpired as exc:
                logger.bind(topic=self.name).info("records expired: {}", exc.message)
                self._next = None
            except LogUnavailable as exc:
                self._on_failure(exc)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _read_once(self) -> None:
        if self._next is None:
            page = await self._topic.newest()
            self._on_success(page)
            self._sink.replace_all(page.records)
        else:
            page = await self._topic.read(self._next, self._pace().wait_s)
            self._on_success(page)
            for record in page.records:
                self._sink.apply_record(record)
        self._next = page.end
        pause_s = self._pace().pause_s
        if pause_s:
            await asyncio.sleep(pause_s)

    def _on_failure(self, exc: LacewingError) -> None:
        if self.reachable:
            logger.bind(topic=self.name, reason=exc.message).warning("topic lost")
            self.reachable = False
        self._sink.on_topic_lost()

    def _on_success(self, page: KeyedPage) -> None:
        if page.after_outage or page.rewound:
            self._sink.on_topic_lost()
            self._sink.on_topic_restored()
        if page.rewound:
            self._sink.on_topic_rewound()
        if not self.reachable:
            logger.bind(topic=self.name).info("topic readable")
            self.reachable = True
            self._sink.on_topic_restored()
