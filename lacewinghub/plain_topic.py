"""A topic of the platform's log that keeps all records of the last minutes, without keys."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .conditional_topic import Appended


@dataclass(frozen=True, slots=True)
class PlainPage:
    """Records in offset order.

    Attributes:
        records: The records.
        next: Offset after the last of these records.
        end: Offset after the last record of the topic.
        era: Number of times the log came back from an older copy of itself; offsets of different
            eras cannot be compared.
    """

    records: list[bytes]
    next: int
    end: int
    era: int = 0


class PlainTopic(ABC):
    """A topic of the log without keys, whose oldest records expire."""

    @abstractmethod
    async def append(self, records: Sequence[bytes]) -> Appended:
        """Append records; all of them or none.

        Returns:
            The offset after the last of the records, and the era.

        Raises:
            LogRefused: If the log refused, or was not reached; nothing was appended.
            LogUnavailable: If it did not answer; the records may have been appended.
        """

    @abstractmethod
    async def read(self, start: int, timeout_s: float, max_kb: int) -> PlainPage:
        """Read the records from an offset on that there are now.

        Args:
            start: First offset to read.
            timeout_s: Longest time to wait for the answer, in seconds.
            max_kb: Largest size of the page, in units of 1,024 bytes.

        Raises:
            RecordsExpired: If the topic does not have this offset; ``first`` in its details is the
                first one that it has.
            LogUnavailable: If the log refused or did not answer.
        """
