"""A keyed topic to which records are appended only if nobody else has appended meanwhile."""

from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .errors import LacewingError
from .follower import KeyedTopic


class AppendConflict(LacewingError):
    """The topic does not end where the append expected it; nothing was appended."""

    code, status = "append_conflict", 412


@dataclass(frozen=True, slots=True)
class Appended:
    """Result of an append.

    Attributes:
        end: Offset after the last of the records.
        era: Number of times the log had come back from an older copy of itself; see ``KeyedPage``.
    """

    end: int
    era: int


class ConditionalTopic(KeyedTopic):
    """A keyed topic with compare-and-set appends."""

    @abstractmethod
    async def append_at(self, end: int, records: Sequence[tuple[str, bytes]]) -> Appended:
        """Append records if the topic ends at an offset; all of them or none.

        Args:
            end: Offset at which the topic has to end.
            records: Keys and values.

        Returns:
            The offset after the last of the records, the first of which is at ``end``, and the era.
            In another era than that of the read which told ``end``, the offset may be the end again
            by chance.

        Raises:
            AppendConflict: If the topic ends elsewhere.
            LogUnavailable: If the log refused or did not answer. Without an answer the records may
                have been appended, or may be appended later if the condition still holds.
        """
