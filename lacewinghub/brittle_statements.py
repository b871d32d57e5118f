"""Which endpoints state that they fall over if they refuse too many requests, as all nodes know it.

Of the statements about an endpoint the newest counts. Nodes pass them on in their heartbeats, so
that nodes which do not use an endpoint know of it, too. An endpoint that nobody has an answer of,
such as one that has just started, is assumed to state what was stated last in its pool.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from .freshness import NewsFilter, random_source
from .membership import HeartbeatContributor, Members
from .message import BrittleStatement, Heartbeat

NEWS_S = 1.0  # How long a changed statement is part of every heartbeat.
RENEW_EVERY = 8  # Number of heartbeats after which one contains all statements again.
# How long the end of the state is told to peers, so that no older news of it lives on.
ENDED_S = 5.0
# An endpoint of which no node has an answer for this long is probably gone.
FORGET_S = 60.0
NONE = -1.0  # Stands for the end of the state in a heartbeat.


@dataclass(slots=True)
class _Statement:
    """The newest statement about an endpoint.

    Attributes:
        pool: Name of its pool.
        bears_per_s: Refusals per second that it bears; None if it no longer states any.
        at: Loop time of the answer, in seconds.
        source: Identifier of the node that received the answer.
        number: Number of the answer among those of its source.
        changed_at: Loop time at which this node learned of the number, in seconds.
    """

    pool: str
    bears_per_s: float | None
    at: float
    source: int
    number: int
    changed_at: float = 0.0


class BrittleStatements(HeartbeatContributor):
    """The newest statements of all endpoints that state, or have just ceased to state, a number.

    Args:
        members: View of the live nodes.
        forward: Passes news of a peer on without waiting for the next heartbeat.
        rng: Source of the identifier under which this node's statements are known.
    """

    def __init__(
        self,
        members: Members,
        forward: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
    ) -> None:
        self._members = members
        self._forward = forward
        self._source = random_source(rng or random.Random())
        self._count = 0
        self._filter = NewsFilter()
        self._by_endpoint: dict[str, _Statement] = {}
        self._newest: dict[str, _Statement] = {}
        self._answered: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._heartbeat_count = 0
        self._full_due = False

    def record(self, pool: str, endpoint: str, bears_per_s: float | None) -> None:
        """Record what an answer states.

        Args:
            pool: Name of the endpoint's pool.
            endpoint: Name of the endpoint.
            bears_per_s: Refusals per second beyond which it falls over; None if it states none.
        """
        self._answered.add(pool)
        if bears_per_s is None and pool not in self._newest:
            return
        self._count += 1
        self._update(endpoint, _Statement(pool, bears_per_s, _now(), self._source, self._count))

    def bears_per_s(self, pool: str, endpoint: str) -> float | None:
        """Return how many refusals per second an endpoint bears; None if any number."""
        if not self._newest:
            return None
        found = self._by_endpoint.get(endpoint) or self._newest.get(pool)
        return None if found is None else found.bears_per_s

    def is_known(self, pool: str) -> bool:
        """Return whether this node knows if the endpoints of a pool state a number."""
        return pool in self._answered or pool in self._newest

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add changed statements; all of them every ``RENEW_EVERY`` times or for a new peer."""
        now = _now()
        self._forget_old(now)
        self._heartbeat_count += 1
        full = self._full_due or self._heartbeat_count % RENEW_EVERY == 0
        self._full_due = False
        for endpoint, item in self._by_endpoint.items():
            if full or now - item.changed_at <= NEWS_S:
                bears_per_s = NONE if item.bears_per_s is None else item.bears_per_s
                age_ms = int((now - item.at) * 1000)
                heartbeat.brittle.append(
                    BrittleStatement(
                        item.pool, endpoint, bears_per_s, age_ms, item.source, item.number
                    )
                )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the statements that a peer knows, if they are newer."""
        now, changed = _now(), False
        if self._incarnations.get(heartbeat.node) != heartbeat.incarnation:
            self._incarnations[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        for item in heartbeat.brittle:
            own = item.source == self._source
            if own or not self._filter.is_first((item.endpoint, item.source), item.number):
                continue
            bears_per_s = item.bears_per_s if item.bears_per_s >= 0 else None
            at = now - max(0, item.age_ms) / 1000
            statement = _Statement(item.pool, bears_per_s, at, item.source, item.number)
            changed |= self._update(item.endpoint, statement)
        if changed and self._members.is_partial_mesh():
            self._forward()

    def _update(self, endpoint: str, new: _Statement) -> bool:
        """Store a statement unless a newer one is known; return whether the number changed."""
        newest = self._newest.get(new.pool)
        if newest is None or new.at >= newest.at:
            self._newest[new.pool] = new
        old = self._by_endpoint.get(endpoint)
        # The numbers of one source are exact, times from different ways are not.
        if old is not None and new.source != old.source and new.at <= old.at:
            return False
        self._by_endpoint[endpoint] = new
        changed = (None if old is None else old.bears_per_s) != new.bears_per_s
        new.changed_at = _now() if changed or old is None else old.changed_at
        if changed:
            log = logger.bind(endpoint=endpoint, bears_per_s=new.bears_per_s)
            log.info("the refusals that the endpoint bears changed")
        return changed

    def _forget_old(self, now: float) -> None:
        for endpoint, item in list(self._by_endpoint.items()):
            if now - item.at > FORGET_S or (
                item.bears_per_s is None and now - item.changed_at > ENDED_S
            ):
                del self._by_endpoint[endpoint]
        if not self._newest:
            return
        pools = {item.pool for item in self._by_endpoint.values()}
        for pool in [item for item in self._newest if item not in pools]:
            del self._newest[pool]


def _now() -> float:
    return asyncio.get_running_loop().time()
