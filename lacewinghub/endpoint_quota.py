"""Keeps the rates of requests that endpoints state in their answers, over all nodes together.

A few of the nodes, chosen by hash, divide an endpoint's rate equally; the others send it nothing.
How many depends on the rate: each may send one request at once, and with many nodes these bursts
would exceed the rate by far. Nodes that disagree for a moment about who is alive choose almost the
same ones. Nodes tell each other what endpoints state, so that those that send nothing know it, too.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash
from loguru import logger

from .freshness import NewsFilter, random_source
from .membership import HeartbeatContributor, Members, live_or_all
from .message import Heartbeat, StatedRate

# Number of nodes that divide a rate: a part that does not depend on it and one per request/s.
FIXED_SENDERS = 3.0
SENDERS_PER_RATE = 1.2
BURST = 1.0  # Requests that a node may send at once.
# An endpoint that takes no requests at all could not state any more that it takes them again.
MIN_PER_S = 0.2
NEWS_S = 1.0  # How long a changed rate is part of every heartbeat.
RENEW_EVERY = 8  # Number of heartbeats after which one contains all rates again.
EPSILON = 1e-9
# How long the end of a limit is told to peers, so that no older news of it lives on.
ENDED_S = 5.0


@dataclass(slots=True)
class _Quota:
    """The rate of an endpoint and this node's part of it.

    Attributes:
        per_s: Stated rate in requests per second, or None if the endpoint states none.
        stated_at: Loop time of the newest answer that stated it, in seconds.
        source: Identifier of the node that received that answer.
        number: Number of that answer among those of its source.
        changed_at: Loop time at which this node learned of the rate, in seconds.
        share: Part of the rate that this node may use, in requests per second.
        tokens: Requests that this node may send now.
        filled_at: Loop time up to which tokens were added, in seconds.
    """

    per_s: float | None
    stated_at: float
    source: int = 0
    number: int = 0
    changed_at: float = 0.0
    share: float = 0.0
    tokens: float = 0.0
    filled_at: float = 0.0

    def fill(self, now: float) -> None:
        """Add the tokens since the last call."""
        self.tokens = min(BURST, self.tokens + self.share * (now - self.filled_at))
        self.filled_at = now


@dataclass(frozen=True, slots=True)
class _Statement:
    """An answer that stated a rate: when it came, which node received it, and its number there."""

    at: float
    source: int
    number: int


class EndpointQuotas(HeartbeatContributor):
    """The stated rates by endpoint, and what this node may send.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        forward: Passes news of a peer on without waiting for the next heartbeat.
        rng: Source of the identifier under which this node's statements are known.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        forward: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._members = members
        self._forward = forward
        self._source = random_source(rng or random.Random())
        self._statements = 0
        self._filter = NewsFilter()
        self._quotas: dict[str, _Quota] = {}
        self._senders: list[str] = []
        self._incarnations: dict[str, int] = {}
        self._heartbeat_count = 0
        self._full_due = False

    def record(self, endpoint: str, per_s: float | None) -> None:
        """Record what an answer states.

        Args:
            endpoint: Name of the endpoint.
            per_s: Requests per second that it takes from all nodes together; None if it states no
                limit.
        """
        if per_s is not None or endpoint in self._quotas:
            self._statements += 1
            self._update(endpoint, per_s, _Statement(_now(), self._source, self._statements))

    def forget(self, endpoint: str) -> None:
        """End the limit of an endpoint that has restarted or is gone."""
        self.record(endpoint, None)

    def may_send(self, endpoint: str) -> bool:
        """Return whether this node may send a request to an endpoint now."""
        return self.wait_s(endpoint) <= 0.0

    def wait_s(self, endpoint: str) -> float:
        """Return how long until this node may send a request, in seconds; infinite if never."""
        quota = self._quotas.get(endpoint)
        if quota is None or quota.per_s is None:
            return 0.0
        quota.fill(_now())
        if quota.tokens >= 1.0 - EPSILON:
            return 0.0
        return (1.0 - quota.tokens) / quota.share if quota.share else float("inf")

    def on_sent(self, endpoint: str) -> None:
        """Record that a request is sent to an endpoint."""
        quota = self._quotas.get(endpoint)
        if quota is not None and quota.per_s is not None:
            quota.fill(_now())
            quota.tokens -= 1.0

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add changed rates; all of them every ``RENEW_EVERY`` times or for a new peer."""
        now = _now()
        self._divide(now)
        self._heartbeat_count += 1
        full = self._full_due or self._heartbeat_count % RENEW_EVERY == 0
        self._full_due = False
        for endpoint, quota in list(self._quotas.items()):
            age_s = now - quota.stated_at
            if quota.per_s is None and age_s > ENDED_S:
                del self._quotas[endpoint]
            elif full or now - quota.changed_at <= NEWS_S:
                per_s = -1.0 if quota.per_s is None else quota.per_s
                age_ms = int(age_s * 1000)
                heartbeat.rates.append(
                    StatedRate(endpoint, per_s, age_ms, quota.source, quota.number)
                )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store what endpoints stated to a peer, if it is newer."""
        now, changed = _now(), False
        if self._incarnations.get(heartbeat.node) != heartbeat.incarnation:
            self._incarnations[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        for item in heartbeat.rates:
            own = item.source == self._source
            if own or not self._filter.is_first((item.endpoint, item.source), item.number):
                continue
            per_s = item.per_s if item.per_s >= 0 else None
            at = now - max(0, item.age_ms) / 1000
            changed |= self._update(item.endpoint, per_s, _Statement(at, item.source, item.number))
        if changed and self._members.is_partial_mesh():
            self._forward()

    def _update(self, endpoint: str, per_s: float | None, statement: _Statement) -> bool:
        """Store a stated rate unless a newer one is known; return whether the rate changed."""
        quota = self._quotas.get(endpoint)
        if quota is None:
            quota = self._quotas[endpoint] = _Quota(None, float("-inf"))
        # The numbers of one source are exact, times from different ways are not.
        if statement.source != quota.source and statement.at <= quota.stated_at:
            return False
        quota.stated_at, quota.source = statement.at, statement.source
        quota.number = statement.number
        if quota.per_s == per_s:
            return False
        quota.per_s, quota.changed_at = per_s, _now()
        logger.bind(endpoint=endpoint, per_s=per_s).info("the endpoint's stated limit changed")
        self._divide(_now(), (endpoint,))
        return True

    def _divide(self, now: float, endpoints: Iterable[str] | None = None) -> None:
        """Determine this node's part of the rate of some endpoints.

        Args:
            now: Loop time, in seconds.
            endpoints: Names of the endpoints; None for all, if the senders have changed.
        """
        limited = [item for item in self._quotas.items() if item[1].per_s is not None]
        names = live_or_all(self._members) if limited else []
        if endpoints is None and names == self._senders:
            return
        if endpoints is None:
            self._senders = names
        for endpoint, quota in limited:
            if endpoints is None or endpoint in endpoints:
                quota.fill(now)
                quota.share = self._share(endpoint, max(MIN_PER_S, quota.per_s or 0.0), names)

    def _share(self, endpoint: str, per_s: float, names: list[str]) -> float:
        """Return this node's part of a rate, in requests per second."""
        count = int(min(len(names), FIXED_SENDERS + SENDERS_PER_RATE * per_s))
        own = _rank(endpoint, self._node)
        before = sum(_rank(endpoint, name) < own for name in names if name != self._node)
        return per_s / count if before < count else 0.0


def _rank(endpoint: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}|{node}".encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
