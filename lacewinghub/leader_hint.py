"""Tells all nodes through heartbeats which node holds the singleton duties.

The holder numbers what it tells; other nodes pass each number on once, in a partial mesh. What is
not told any more is forgotten.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from .freshness import NewsFilter
from .membership import HeartbeatContributor, Members
from .message import Heartbeat, LeaderHint

# The holder tells that it is alive this often. Each time the news, about 45 bytes, crosses each
# connection once; in each heartbeat it would be 900 bytes/s per node.
ADVERTISE_INTERVAL_S = 1.0
# A holder of which nothing was heard for this long is forgotten. The news of a live one may be late
# by a few heartbeats in a partial mesh.
FORGET_S = 5.0


class LeaderHints(HeartbeatContributor):
    """The node that holds the singleton duties, as far as this node knows.

    Args:
        node: Identifier of this node.
        address: Returns the address on which it accepts peers.
        held_token: Returns the fencing token while this node holds the lease.
        members: View of the live nodes.
        forward: Passes news of a new holder on without waiting for the next heartbeat.
    """

    def __init__(
        self,
        node: str,
        address: Callable[[], str],
        held_token: Callable[[], int | None],
        members: Members,
        forward: Callable[[], None] = lambda: None,
    ) -> None:
        self._node = node
        self._address = address
        self._held_token = held_token
        self._members = members
        self._forward = forward
        self._filter = NewsFilter()
        self._known: LeaderHint | None = None
        self._heard_at = float("-inf")
        self._number = 0
        self._advertised_at = float("-inf")
        self._advertised_token = 0
        self._pending = False

    def leader(self) -> LeaderHint | None:
        """Return the holder, or None if no node is known to hold the lease."""
        token = self._held_token()
        if token is not None:
            return LeaderHint(self._node, self._address(), token, self._number)
        known = self._known
        return known if known is not None and _now() - self._heard_at < FORGET_S else None

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the holder if it is this node, or if it is news to be passed on."""
        token, now = self._held_token(), _now()
        if token is not None:
            if token == self._advertised_token and now - self._advertised_at < ADVERTISE_INTERVAL_S:
                return
            self._number += 1
            self._advertised_token, self._advertised_at = token, now
            heartbeat.leaders.append(LeaderHint(self._node, self._address(), token, self._number))
        elif self._pending and self._known is not None:
            heartbeat.leaders.append(self._known)
        self._pending = False

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the holder that a peer tells of, if it is news."""
        for item in heartbeat.leaders:
            if item.node != self._node and self._filter.is_first(
                (item.node, item.token), item.number
            ):
                self._learn(item)

    def _learn(self, item: LeaderHint) -> None:
        known = self.leader()
        if known is not None and item.token < known.token:
            return
        changed = known is None or item.token != known.token
        self._known, self._heard_at = item, _now()
        if changed:
            logger.bind(holder=item.node, token=item.token).info("the holder of the duties changed")
        if self._members.is_partial_mesh():
            self._pending = True
            if changed:
                self._forward()


def _now() -> float:
    return asyncio.get_running_loop().time()
