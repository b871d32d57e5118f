"""Decides when a node reads a shared topic from the log itself instead of hearing of it from peers.

In a large deployment it is enough that a few nodes read a topic: they hand its changes on, and
every heartbeat tells how old the sender's knowledge of the log is. Every node ranks itself among
the live nodes by a hash. The first few ranks read all the time. Any other node reads only once its
knowledge is too old, later the lower it ranks, so that one of them reads and the others hear of it.
There is no election and no state to repair: if the readers are lost, cut off or turned away by the
log, the knowledge of all nodes becomes old and the next ranks read. This bounds the calls to the
log, which would otherwise grow with the number of nodes.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from .membership import Members

# Number of nodes that read a topic all the time: two may be lost without a pause.
READERS = 3
# With at most this many live nodes each one reads for itself.
MANY_NODES = 20
# The ranks after the readers take over one after the other, at this distance and up to this limit.
RANK_STEP_S = 0.02
MAX_RANK_DELAY_S = 0.8
# Mean pause of a node after a failed read: all nodes together then try about 30 times per second.
RETRY_S_PER_NODE = 0.03
MIN_RETRY_S = 0.6
MAX_RETRY_S = 5.0
# A node that is connected to fewer than this share of the nodes has not found its peers yet. It
# cannot know its rank, since all nodes that start together would be among the first.
FOUND_SHARE = 0.5
RANK_AGE_S = 1.0  # The rank is computed again after this time.


@dataclass(frozen=True, slots=True)
class TurnTiming:
    """Timing of the reads of one topic, in seconds.

    Attributes:
        wait_s: Longest time that a read waits for a record.
        interval_s: Pause of the readers after a read.
        takeover_s: Age of a node's knowledge at which it reads although it is not a reader.
    """

    wait_s: float
    interval_s: float
    takeover_s: float


class ReadTurns:
    """The turns of one node to read one topic.

    Args:
        topic: Name of the topic.
        node: Name of this node.
        members: View of the live nodes.
        announced: Returns the number of nodes that announced themselves in the log.
        timing: Returns the timing.
        rng: Source of randomness.

    Attributes:
        fresh_at: Loop time of the state of the log that this node knows, in seconds.
    """

    def __init__(
        self,
        topic: str,
        node: str,
        members: Members,
        announced: Callable[[], int],
        timing: Callable[[], TurnTiming],
        rng: random.Random | None = None,
    ) -> None:
        self.fresh_at = float("-inf")
        self._topic = topic
        self._node = node
        self._members = members
        self._announced = announced
        self._timing = timing
        self._rng = rng or random.Random()
        self._start_delay_s = self._rng.uniform(0.0, MAX_RANK_DELAY_S)
        self._last_read = float("-inf")
        self._retry_at = float("-inf")
        self._rank = 0
        self._ranked_at = float("-inf")

    @property
    def wait_s(self) -> float:
        """Longest time that a read waits for a record, in seconds."""
        return self._timing().wait_s

    def are_shared(self) -> bool:
        """Return whether there are so many nodes that only some of them read."""
        return max(len(self._members.live()), self._announced()) > MANY_NODES

    def due(self) -> float:
        """Return the loop time at which this node reads next unless it hears of the log before."""
        timing = self._timing()
        if not self._has_found_peers():
            delay_s = self._start_delay_s
        elif (rank := self._current_rank()) < READERS:
            return max(self._last_read + timing.interval_s, self._retry_at)
        else:
            delay_s = min(MAX_RANK_DELAY_S, (rank - READERS) * RANK_STEP_S)
        return max(self.fresh_at + timing.takeover_s + delay_s, self._retry_at)

    def is_reader(self) -> bool:
        """Return whether this node reads all the time."""
        return self._has_found_peers() and self._current_rank() < READERS

    def may_read(self) -> bool:
        """Return whether this node may read out of turn, because it knows that it is outdated."""
        return _now() >= self._retry_at

    def on_read(self) -> None:
        """Record that this node read the log."""
        self._last_read = self.fresh_at = _now()
        self._retry_at = float("-inf")

    def on_failure(self) -> None:
        """Record that the log did not answer this node."""
        nodes = len(self._members.live())
        mean_s = min(MAX_RETRY_S, max(MIN_RETRY_S, nodes * RETRY_S_PER_NODE))
        self._retry_at = _now() + mean_s * self._rng.uniform(0.5, 1.5)

    def on_news(self, read_at: float) -> None:
        """Record that this node knows the state of the log of a loop time, from a peer."""
        self.fresh_at = max(self.fresh_at, read_at)

    def on_resume(self, suspended_s: float) -> None:
        """Count the time for which the host was suspended; the loop's clock stood still."""
        self.fresh_at -= suspended_s
        self._last_read -= suspended_s

    def age_s(self) -> float:
        """Return the age of this node's knowledge of the log, in seconds."""
        return _now() - self.fresh_at

    def _has_found_peers(self) -> bool:
        return len(self._members.live()) >= FOUND_SHARE * self._announced()

    def _current_rank(self) -> int:
        now = _now()
        if now - self._ranked_at > RANK_AGE_S:
            self._ranked_at = now
            own = self._order(self._node)
            self._rank = sum(self._order(item.node) < own for item in self._members.live())
        return self._rank

    def _order(self, node: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._topic}|{node}".encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
