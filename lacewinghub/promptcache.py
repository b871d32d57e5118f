"""Estimates which prompt parts each runner has in its prefix cache.

A runner does not prefill a cached part again if all parts before it are cached too. The nodes
announce in their heartbeats which parts they sent to which runner, so that a request finds the
runner that has cached its parts even if another node sent them. This matters under load, when
requests with a shared part do not all go to the same runner.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

from .membership import HeartbeatContributor
from .message import EndpointPromptParts, Heartbeat
from .request import PromptPart

# A part that was not used for this long has probably been evicted.
CACHED_S = 30.0
MAX_PARTS = 4096  # Per runner.
# Maximum number of parts per runner in one heartbeat; further ones are not announced.
MAX_SHARED = 512


class PromptCacheIndex:
    """Prompt parts that each runner has probably cached, in the order of their last use."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, float]] = {}

    def record(self, endpoint: str, part: str) -> None:
        """Record that a part was sent to a runner."""
        cached = self._parts.setdefault(endpoint, OrderedDict())
        cached[part] = _now()
        cached.move_to_end(part)
        if len(cached) > MAX_PARTS:
            cached.popitem(last=False)

    def forget(self, endpoint: str) -> None:
        """Remove all parts of a runner that has restarted."""
        self._parts.pop(endpoint, None)

    def cached_tokens(self, endpoint: str, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt a runner has probably cached."""
        cached = self._parts.get(endpoint)
        if not cached:
            return 0
        limit, tokens = _now() - CACHED_S, 0
        for part in parts:
            if cached.get(part.id, float("-inf")) < limit:
                break
            tokens += part.tokens
        return tokens


class PromptCacheSync(HeartbeatContributor):
    """Announces to the other nodes which parts were sent to which runner.

    Attributes:
        cache: Stores the parts that this node and its peers sent.
    """

    def __init__(self, cache: PromptCacheIndex) -> None:
        self.cache = cache
        self._new: dict[str, set[str]] = {}

    def on_sent(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Record that this node sends a prompt to a runner."""
        new = self._new.setdefault(endpoint, set())
        for part in parts:
            self.cache.record(endpoint, part.id)
            if len(new) < MAX_SHARED:
                new.add(part.id)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the parts that were sent since the previous heartbeat."""
        for endpoint, parts in self._new.items():
            heartbeat.parts.append(EndpointPromptParts(endpoint, sorted(parts)))
        self._new = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the parts that a peer sent."""
        for item in heartbeat.parts:
            for part in item.parts:
                self.cache.record(item.endpoint, part)


def _now() -> float:
    return asyncio.get_running_loop().time()
