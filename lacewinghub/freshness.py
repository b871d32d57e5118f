"""Age of what a node knows of a topic, from its own reads and from those that peers tell of.

Peers state ages, so that their clocks need not agree; the time that a message takes is not part of
them. A read counts only when a node first hears of it: if it counted again each time, nodes that
tell each other of it would make it younger on each way.
"""

import asyncio
import random
from collections.abc import Hashable
from dataclasses import dataclass

SOURCE_BITS = 32
MAX_SOURCES = 4096  # Number of sources of news above which the oldest is forgotten.


def random_source(rng: random.Random) -> int:
    """Return an identifier, other than 0, under which a node numbers its news."""
    return rng.getrandbits(SOURCE_BITS) or 1


class NewsFilter:
    """Tells news that is heard for the first time from news that peers pass on again."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}

    def is_first(self, source: Hashable, number: int) -> bool:
        """Record a piece of news; return False if it or a later one was heard before.

        Args:
            source: Where it comes from.
            number: Its number among the news of its source; they start at 1.
        """
        heard = self._numbers.get(source, 0)
        if number <= heard:
            return False
        self._numbers.pop(source, None)
        self._numbers[source] = number
        if len(self._numbers) > MAX_SOURCES:
            del self._numbers[next(iter(self._numbers))]
        return True


@dataclass(frozen=True, slots=True)
class LogRead:
    """One read of the log by one node.

    Attributes:
        reader: Identifier that the reader chose at its start; 0 for no read at all.
        number: Number of the read among those of its reader.
    """

    reader: int = 0
    number: int = 0


class Freshness:
    """The newest read of a topic that a node knows the result of.

    Args:
        rng: Source of the identifier under which this node's reads are known.

    Attributes:
        read: The read.
        read_at: Loop time of the read, in seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self.read = LogRead()
        self.read_at = float("-inf")
        self._own = random_source(rng)
        self._own_reads = 0
        self._filter = NewsFilter()

    @property
    def age_s(self) -> float:
        """Time since the read, in seconds; infinite if there was none."""
        return _now() - self.read_at

    @property
    def age_ms(self) -> int:
        """Time since the read in milliseconds, or -1 if there was none."""
        return -1 if self.read_at == float("-inf") else max(0, round(self.age_s * 1000))

    def on_read(self) -> None:
        """Record a read of the log by this node."""
        self._own_reads += 1
        self.read, self.read_at = LogRead(self._own, self._own_reads), _now()

    def on_news(self, read: LogRead, age_ms: int) -> bool:
        """Record that this node knows the result of a peer's read.

        Args:
            read: The read.
            age_ms: Its age as the sender of the news states it, in milliseconds.

        Returns:
            False if the read says nothing new.
        """
        if read.reader in (0, self._own) or not self._filter.is_first(read.reader, read.number):
            return False
        read_at = _now() - age_ms / 1000
        if read_at <= self.read_at:
            return False
        self.read, self.read_at = read, read_at
        return True

    def on_resume(self, suspended_s: float) -> None:
        """Count the time for which the host was suspended; the loop's clock stood still."""
        self.read_at -= suspended_s


def _now() -> float:
    return asyncio.get_running_loop().time()
