"""What the nodes together have sent to each endpoint.

An endpoint's own reports come with its answers, when they are already old, and a node sees only its
own requests. Nodes therefore tell each other with their heartbeats what each has under way. This
answers bursts of long prompts that reach many nodes at once.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .membership import Contributor, Members
from .message import EndpointLoad, Heartbeat

# News of a node that was not heard for this long says nothing any more; four heartbeats.
NEWS_AGE_S = 1.0


@dataclass(slots=True)
class _News:
    heard: float
    loads: dict[str, EndpointLoad]


class LoadBoard(Contributor):
    """Sums the loads of the other nodes by endpoint.

    Beyond a full mesh a node hears only some of the others; their sum then stands for all.

    Args:
        members: View of the live nodes.
        own: Returns what this node has under way.
    """

    def __init__(self, members: Members, own: Callable[[], Iterable[EndpointLoad]]) -> None:
        self._members = members
        self._own = own
        self._news: dict[str, _News] = {}
        self._sums: dict[str, EndpointLoad] = {}

    def fill(self, heartbeat: Heartbeat) -> None:
        """Write what this node has under way, and drop what the silent nodes said."""
        heartbeat.loads.extend(self._own())
        self._sum()

    def observe(self, heartbeat: Heartbeat) -> None:
        """Take over what a peer has under way."""
        loads = {item.endpoint: item for item in heartbeat.loads}
        self._news[heartbeat.node] = _News(asyncio.get_running_loop().time(), loads)
        self._sum()

    def others(self, endpoint: str) -> EndpointLoad:
        """Return what the other nodes have under way at an endpoint."""
        return self._sums.get(endpoint) or EndpointLoad(endpoint)

    def _sum(self) -> None:
        limit = asyncio.get_running_loop().time() - NEWS_AGE_S
        self._news = {node: item for node, item in self._news.items() if item.heard >= limit}
        sums: dict[str, EndpointLoad] = {}
        for news in self._news.values():
            for load in news.loads.values():
                found = sums.setdefault(load.endpoint, EndpointLoad(load.endpoint))
                found.in_flight += load.in_flight
                found.unread_tokens += load.unread_tokens
                found.unread_long += load.unread_long
        others = len(self._members.live()) - 1
        if len(self._news) < others:
            _scale(sums.values(), others / max(1, len(self._news)))
        self._sums = sums


def _scale(loads: Iterable[EndpointLoad], factor: float) -> None:
    for load in loads:
        load.in_flight = round(load.in_flight * factor)
        load.unread_tokens = round(load.unread_tokens * factor)
        load.unread_long = round(load.unread_long * factor)
