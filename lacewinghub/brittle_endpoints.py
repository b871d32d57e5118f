"""Keeps the requests that all nodes send to brittle endpoints within the room there.

A brittle endpoint falls over if it must refuse more than some number of requests within a second.
The nodes divide its slots, and a few requests more than that, by a hash: together they never have
more requests at it, so that it need not refuse any. The nodes lie on a ring of their own for each
endpoint. What remains after an equal division goes to the nodes that follow a point on the ring,
which moves slowly, so that with more nodes than slots each has its turn. Requests without room wait
at the nodes, in the order of their tiers.

A refusal shows that there is less room. Its node then replaces only the requests that it has at
the endpoint, and tries one more after a pause that is long enough for the refusals of all nodes
together to stay far below what the endpoint bears.
"""

import asyncio
import bisect
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from .brittle_statements import BrittleStatements
from .membership import Members, live_or_all

RING_SIZE = 1 << 64
# Requests beyond the slots, as a share of the refusals that an endpoint bears per second. If each
# of them is refused at once, three quarters are left.
SURPLUS_SHARE = 0.25
# Share of these refusals that may follow from requests of nodes whose turn has come while those of
# the nodes before still run.
TURN_SHARE = 0.25
# Share of these refusals that may follow from requests that test for more room.
TEST_SHARE = 0.5
# Shortest time in which all nodes have their turn, in seconds. Longer ones are this one times a
# power of two, so that nodes which see different numbers of nodes mostly agree.
MIN_CYCLE_S = 16.0
# Range of the pause after a refusal, in seconds.
MIN_PAUSE_S, MAX_PAUSE_S = 0.4, 60.0
PAUSE_SPREAD = (0.8, 1.3)
# Below this number an endpoint falls over with the first refusal, and one slot is left free.
FIRST_FALLS = 1.0
# Time after its first request for which a node has one request at most at a brittle endpoint, in
# seconds: it does not know all other nodes yet, and would take their parts.
START_S = 2.0
# Time after its first request for which a node that starts beside others does the same at endpoints
# of pools of which it has no answer yet, in seconds.
FIRST_ANSWER_S = 1.0
# Time between two looks at which nodes there are, in seconds.
NAMES_S = 0.1
# Assumed in place of smaller numbers where something is divided by it.
MIN_BEARS_PER_S = 0.25


@dataclass(slots=True)
class _Cap:
    """What a node may have at an endpoint since a refusal.

    Attributes:
        limit: Number of requests.
        grows_at: Loop time at which it grows by one, in seconds.
    """

    limit: int
    grows_at: float


@dataclass(slots=True)
class _Ring:
    """The nodes on the ring of one endpoint.

    Attributes:
        points: Places of all nodes, in order.
        own: Place of this node.
    """

    points: list[int]
    own: int

    def place_after(self, point: int) -> int:
        """Return how many nodes lie between a point and this node."""
        before = bisect.bisect_left(self.points, self.own) - bisect.bisect_left(self.points, point)
        return before % len(self.points)


class BrittleEndpoints:
    """How many requests this node may have at each brittle endpoint.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        statements: What the endpoints state.
        wall: Returns the time that all nodes share, in seconds.
        rng: Source of randomness.
        is_first_start: True if all nodes start for the first time.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        statements: BrittleStatements,
        wall: Callable[[], float] = time.time,
        rng: random.Random | None = None,
        is_first_start: bool = True,
    ) -> None:
        self.statements = statements
        self._is_first_start = is_first_start
        self._node = node
        self._members = members
        self._wall = wall
        self._rng = rng or random.Random()
        self._names: list[str] = []
        self._names_until = float("-inf")
        self._rings: dict[str, _Ring] = {}
        self._caps: dict[str, _Cap] = {}
        self._first_use: float | None = None

    def has_room(self, pool: str, endpoint: str, slots: int, in_flight: int) -> bool:
        """Return whether this node may send an endpoint another request.

        Args:
            pool: Name of the endpoint's pool.
            endpoint: Name of the endpoint.
            slots: Its slots.
            in_flight: Number of requests that this node has there.
        """
        bears_per_s = self.statements.bears_per_s(pool, endpoint)
        if bears_per_s is not None:
            return in_flight < self._limit(endpoint, slots, bears_per_s)
        if self._is_first_start or self.statements.is_known(pool):
            return True
        return in_flight < 1 or self._used_for_s() > FIRST_ANSWER_S

    def is_brittle(self, pool: str, endpoint: str) -> bool:
        """Return whether an endpoint falls over if it refuses many requests."""
        return self.statements.bears_per_s(pool, endpoint) is not None

    def on_refused(self, pool: str, endpoint: str, slots: int, in_flight: int) -> None:
        """Record that an endpoint refused a request of this node for want of room.

        Args:
            pool: Name of the endpoint's pool.
            endpoint: Name of the endpoint.
            slots: Its slots.
            in_flight: Number of other requests that this node has there.
        """
        bears_per_s = self.statements.bears_per_s(pool, endpoint)
        if bears_per_s is None:
            return
        limit = min(in_flight, self._limit(endpoint, slots, bears_per_s))
        self._caps[endpoint] = _Cap(limit, _now() + self._pause_s(slots, bears_per_s))

    def forget(self, endpoint: str) -> None:
        """Forget the refusals of an endpoint that has restarted; it is brittle as before."""
        self._caps.pop(endpoint, None)

    def _used_for_s(self) -> float:
        """Return the time since the first request of this node, in seconds."""
        if self._first_use is None:
            self._first_use = _now()
        return _now() - self._first_use

    def _limit(self, endpoint: str, slots: int, bears_per_s: float) -> int:
        """Return how many requests this node may have at an endpoint."""
        share = self._share(endpoint, slots, bears_per_s)
        if self._used_for_s() < START_S:
            share = min(share, 1)
        cap = self._caps.get(endpoint)
        if cap is None:
            return share
        if cap.grows_at <= _now():
            cap.limit += 1
            cap.grows_at = _now() + self._pause_s(slots, bears_per_s)
        if cap.limit >= share > 0:
            del self._caps[endpoint]
        return min(cap.limit, share)

    def _share(self, endpoint: str, slots: int, bears_per_s: float) -> int:
        """Return this node's part of the requests that all nodes may have at an endpoint."""
        ring = self._ring(endpoint)
        count = len(ring.points)
        each, rest = divmod(total_room(slots, bears_per_s), count)
        cycle_s = MIN_CYCLE_S
        while cycle_s * TURN_SHARE * max(bears_per_s, MIN_BEARS_PER_S) < count:
            cycle_s *= 2
        point = int((self._wall() / cycle_s) % 1.0 * RING_SIZE)
        return each + (ring.place_after(point) < rest)

    def _pause_s(self, slots: int, bears_per_s: float) -> float:
        """Return how long after a refusal this node tests for more room, in seconds."""
        senders = min(max(1, len(self._names)), total_room(slots, bears_per_s))
        pause_s = senders / (TEST_SHARE * max(bears_per_s, MIN_BEARS_PER_S))
        return min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s)) * self._rng.uniform(*PAUSE_SPREAD)

    def _ring(self, endpoint: str) -> _Ring:
        if _now() >= self._names_until:
            self._update_names()
        ring = self._rings.get(endpoint)
        if ring is None:
            points = sorted(_point(endpoint, name) for name in {*self._names, self._node})
            ring = self._rings[endpoint] = _Ring(points, _point(endpoint, self._node))
        return ring

    def _update_names(self) -> None:
        self._names_until = _now() + NAMES_S
        names = live_or_all(self._members)
        if names != self._names:
            self._names = names
            self._rings.clear()


def total_room(slots: int, bears_per_s: float) -> int:
    """Return how many requests all nodes together may have at an endpoint.

    Args:
        slots: Its slots.
        bears_per_s: Refusals per second that it bears.
    """
    if bears_per_s < FIRST_FALLS:
        return max(1, slots - 1)
    return slots + int(min(float(slots), SURPLUS_SHARE * bears_per_s))


def _point(endpoint: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}|{node}".encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
