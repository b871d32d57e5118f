"""Which parts of prompts each runner has read lately, as far as all nodes know.

A part that a runner keeps is not read again if all parts before it are kept too. Nodes tell each
other with their heartbeats which parts they have sent where, so that a request finds the runner
that keeps its parts although another node sent them. This answers shared prompts under load, when
they do not always reach the same runner.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

from .membership import HeartbeatContributor
from .message import EndpointPromptParts, Heartbeat
from .request import PromptPart

# A part that was not used for this long has probably given way to others.
KEPT_S = 30.0
MAX_PARTS = 4096
# Parts of one heartbeat; the rest is not told.
MAX_SHARED = 512


class PromptCacheIndex:
    """Parts by runner, in the order of their last use."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, float]] = {}

    def note(self, endpoint: str, part: str) -> None:
        """Note that a runner reads a part."""
        known = self._parts.setdefault(endpoint, OrderedDict())
        known[part] = _now()
        known.move_to_end(part)
        if len(known) > MAX_PARTS:
            known.popitem(last=False)

    def forget(self, endpoint: str) -> None:
        """Drop all parts of a runner, which has started anew."""
        self._parts.pop(endpoint, None)

    def kept_tokens(self, endpoint: str, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt a runner probably keeps."""
        known = self._parts.get(endpoint)
        if not known:
            return 0
        limit, tokens = _now() - KEPT_S, 0
        for part in parts:
            if known.get(part.id, float("-inf")) < limit:
                break
            tokens += part.tokens
        return tokens


class PromptCacheSync(HeartbeatContributor):
    """Exchanges with the other nodes which parts were sent where.

    Attributes:
        cache: Where the parts are kept.
    """

    def __init__(self, cache: PromptCacheIndex) -> None:
        self.cache = cache
        self._new: dict[str, set[str]] = {}

    def sent(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Note that this node sends a prompt to a runner."""
        new = self._new.setdefault(endpoint, set())
        for part in parts:
            self.cache.note(endpoint, part.id)
            if len(new) < MAX_SHARED:
                new.add(part.id)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write what was sent since the heartbeat before."""
        for endpoint, parts in self._new.items():
            heartbeat.parts.append(EndpointPromptParts(endpoint, sorted(parts)))
        self._new = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over what a peer sent."""
        for item in heartbeat.parts:
            for part in item.parts:
                self.cache.note(item.endpoint, part)


def _now() -> float:
    return asyncio.get_running_loop().time()
