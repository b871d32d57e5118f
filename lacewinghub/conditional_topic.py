"""A keyed topic to which records are appended only if nobody else has appended meanwhile."""

from abc import abstractmethod
from collections.abc import Sequence

from .errors import LacewingError
from .follower import KeyedTopic


class AppendConflict(LacewingError):
    """The topic does not end where the append expected it; nothing was appended."""

    code, status = "append_conflict", 412


class ConditionalTopic(KeyedTopic):
    """A keyed topic with compare-and-set appends."""

    @abstractmethod
    async def append_at(self, end: int, records: Sequence[tuple[str, bytes]]) -> int:
        """Append records if the topic ends at an offset; all of them or none.

        Args:
            end: Offset at which the topic has to end.
            records: Keys and values.

        Returns:
            The offset after the last of the records. The first one is at ``end``.

        Raises:
            AppendConflict: If the topic ends elsewhere.
            LogUnavailable: If the log refused or did not answer. Without an answer the records may
                have been appended, or may be appended later if the condition still holds.
        """
