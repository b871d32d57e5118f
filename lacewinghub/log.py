"""The platform's append-only log, as the nodes see it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    Attributes:
        offset: Position in the stream, growing by one.
        time: Wall time at which the log took the record, in seconds since the epoch.
        data: JSON object.
    """

    offset: int
    time: float
    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: Records in offset order; may be empty.
        first: Offset of the oldest record that the stream still keeps.
        next: Offset that the next appended record will get.
        time: Wall time of the log, in seconds since the epoch.
        retention_s: How long the log keeps a record, in seconds.
    """

    records: list[Record]
    first: int
    next: int
    time: float
    retention_s: float


PAGE = TypeAdapter(Page)


class Log(ABC):
    """Client of an append-only log with named streams."""

    @abstractmethod
    async def append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        """Append records as one operation.

        Args:
            stream: Name of the stream.
            records: JSON objects.

        Returns:
            The offset of each record.

        Raises:
            LogUnavailable: If the append certainly had no effect.
            LogUncertain: If the reply was lost and the append may have taken effect, also later.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0) -> Page:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset wanted; an expired offset starts at the oldest kept record.
            limit: Largest number of records.
            wait_s: How long to wait for a record if there is none yet, in seconds.

        Returns:
            A page, empty if no record came in time.

        Raises:
            LogUnavailable: If the log did not answer.
        """

    async def close(self) -> None:
        """Release the connections."""
        return None
