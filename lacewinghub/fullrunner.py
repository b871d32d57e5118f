"""Runners that recently refused a request of any node because they were full.

A refusal by a full runner costs the request time, one of its attempts and a part of the retry
budget. For a short time after a refusal no node sends further prompts to that runner; they wait at
the nodes in the order of their tiers. Load reports cannot replace this: they are outdated when they
arrive, and a runner that is skipped needlessly loses the requests whose prompts it has cached. This
helps when demand exceeds the slots, and when many nodes share runners with few slots.
"""

import asyncio

from .membership import HeartbeatContributor
from .message import Heartbeat

# How long a runner counts as full after a refusal: about the time until one of its slots is free.
FULL_S = 0.4


class FullRunners(HeartbeatContributor):
    """Records refusals by full runners and shares them with the other nodes."""

    def __init__(self) -> None:
        self._full_until: dict[str, float] = {}
        self._new: set[str] = set()

    def record_refusal(self, endpoint: str) -> None:
        """Record that a runner refused a request of this node because it is full."""
        self._full_until[endpoint] = _now() + FULL_S
        self._new.add(endpoint)

    def is_full(self, endpoint: str) -> bool:
        """Return whether a runner refused a request of any node within ``FULL_S``."""
        return self._full_until.get(endpoint, 0.0) > _now()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the runners that refused a request since the previous heartbeat."""
        heartbeat.full.extend(sorted(self._new))
        self._new.clear()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the refusals that a peer received."""
        until = _now() + FULL_S
        for endpoint in heartbeat.full:
            self._full_until[endpoint] = until


def _now() -> float:
    return asyncio.get_running_loop().time()
