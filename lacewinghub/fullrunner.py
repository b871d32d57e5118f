"""Runners that refused a request lately because they were full, as seen by all nodes.

A request that a full runner refuses has lost time, one of its attempts and a part of the retry
budget. For a moment after a refusal the nodes send no further prompts to that runner; these wait at
the node, in the order of their tiers. Loads that runners state are no substitute: they are old when
they arrive, and a runner that is left out without need loses the requests whose prompts it keeps.
This answers demand beyond the slots, and many nodes before runners with few slots.
"""

import asyncio

from .membership import HeartbeatContributor
from .message import Heartbeat

# A slot becomes free about this often, in seconds, on a full runner.
FULL_S = 0.4


class FullRunners(HeartbeatContributor):
    """Remembers refusals, and exchanges them with the other nodes."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._new: set[str] = set()

    def record_refusal(self, endpoint: str) -> None:
        """Note that a runner refused a request of this node because it is full."""
        self._until[endpoint] = _now() + FULL_S
        self._new.add(endpoint)

    def is_full(self, endpoint: str) -> bool:
        """Tell whether a runner refused a request of any node a moment ago."""
        return self._until.get(endpoint, 0.0) > _now()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write the runners that refused since the heartbeat before."""
        heartbeat.full.extend(sorted(self._new))
        self._new.clear()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over the refusals that a peer received."""
        until = _now() + FULL_S
        for endpoint in heartbeat.full:
            self._until[endpoint] = until


def _now() -> float:
    return asyncio.get_running_loop().time()
