"""Admission control: decides which requests may wait and which are refused.

The floor of a pool is the largest tier number that is admitted. Tier 1 has the highest priority and
``MAX_TIER`` the lowest: floor 3 admits tiers 1 to 3, and a smaller floor is stricter.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .drain import DrainRate
from .membership import HeartbeatContributor, Members, MemberState
from .message import Heartbeat, Pressure
from .queue import Waiter, WaitQueue
from .request import Request
from .share import ServedShares
from .tables import MAX_TIER, Pool

# Upper bound on the propagation delay between nodes. Guarantee 1 does not cover decisions that were
# taken before a floor or admission could be known.
PROPAGATION_BOUND_S = 1.0
# In a partial mesh a floor reaches all nodes within the propagation bound, but the age of the last
# admission at a distant node takes up to 5 hops of one heartbeat period (0.4 s) each, plus network
# delays.
RELAYED_AGE_DELAY_S = 2.5
MIN_SHARE = 0.02  # A tier starves below this share of the admissions.
# Share that the quota admits for a starving tier; above MIN_SHARE, so that MIN_SHARE of the
# finished requests is reached although some admitted requests do not finish.
QUOTA_SHARE = 0.035
# A node's quota is a whole number of requests. Over a window of 10 s a node admits so few requests
# that rounding up matters: with a quota of 3%, the low tiers had 4 to 7% of the finished requests
# in overload and took slots from higher tiers.
SHARE_WINDOW_S = 30.0
RAISE_AFTER_S = 2.0  # Hysteresis: time without pressure before the floor rises by one tier.
# A tier becomes the floor when it and the higher tiers occupy this share of the queue limit.
FILL_LIMIT = 0.75
FORECAST_S = 1.0  # Maximum age of a broker's forecast.
AGE_LIMIT_MS = 60_000  # Admissions that are older are reported as -1.


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on an arriving request.

    Attributes:
        admitted: True if the request may wait.
        displaced: Queued request to shed in its place, or None.
        quota: True if the request is admitted because its tier was starving.
        reason: Why the request is refused.
        retry_after_s: Suggested delay before a retry, in seconds.
        floor: Effective floor if the request is refused because of it, otherwise 0.
    """

    admitted: bool
    displaced: Waiter | None = None
    quota: bool = False
    reason: str = ""
    retry_after_s: float = 1.0
    floor: int = 0


class Admission(ABC):
    """Rules for admitting, displacing and expiring requests."""

    @abstractmethod
    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Decide on an arriving request.

        Args:
            pool: Pool of the request.
            queue: Queue of the pool at this node.
            waiter: The request, not queued yet.
            now: Loop time, in seconds.

        Returns:
            The verdict. If it admits the request, the admission is already counted.
        """

    @abstractmethod
    def may_shed(self, req: Request, now: float) -> bool:
        """Return whether a queued request may be displaced or expire."""

    def on_slot_granted(self, waiter: Waiter, now: float) -> None:  # noqa: B027
        """Record that a request received a slot."""

    def update(self, pool: Pool, queue: WaitQueue, now: float) -> None:  # noqa: B027
        """Adapt to the state of the queue; called several times per second."""


class NaiveAdmission(Admission):
    """Limits the queue length and expires requests after their patience; ignores other nodes.

    Args:
        displace: True to shed a queued request of a lower tier when a higher one arrives at a
            full queue.
    """

    def __init__(self, displace: bool = False) -> None:
        self._displace = displace

    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Admit the request if the queue is below its limit or may displace a lower tier."""
        if len(queue) < pool.queue_limit:
            return Verdict(True)
        lowest = queue.lowest() if self._displace else None
        if lowest is not None and lowest.req.tier > waiter.req.tier:
            return Verdict(True, displaced=lowest)
        return Verdict(False, reason=f"the queue of pool {pool.name!r} is full")

    def may_shed(self, req: Request, now: float) -> bool:
        """Return True; any request may expire."""
        return True


@dataclass(frozen=True, slots=True)
class _Forecast:
    """Expected waits in a runner group by tier, in seconds, reported by its broker."""

    time: float
    waits: list[float]


@dataclass(slots=True)
class _PoolAdmission:
    """Admission state of this node for one pool. Lists are indexed by tier; times are loop times.

    Attributes:
        floor: Floor of this node.
        pressed_at: Last time at which the queue or the expected waits kept the floor from rising.
        strict_since: Since when the floor has admitted nothing below the tier.
        patience: Patience of the last request of each tier, infinite if none was seen.
        admitted: Time and tier of the admissions within ``SHARE_WINDOW_S``.
        last_admitted: Time of the last admission of each tier.
        drain: Rate at which the queue is drained.
        forecasts: Last forecast of each runner group, by group name.
        shares: Work admitted by workspace, for each tier.
    """

    floor: int = MAX_TIER
    pressed_at: float = -math.inf
    strict_since: list[float] = field(default_factory=lambda: [math.inf] * MAX_TIER + [-math.inf])
    patience: list[float] = field(default_factory=lambda: [math.inf] * (MAX_TIER + 1))
    admitted: deque[tuple[float, int]] = field(default_factory=deque)
    last_admitted: list[float] = field(default_factory=lambda: [-math.inf] * (MAX_TIER + 1))
    drain: DrainRate = field(default_factory=lambda: DrainRate(MIN_SHARE))
    forecasts: dict[str, _Forecast] = field(default_factory=dict)
    shares: dict[int, ServedShares] = field(default_factory=dict)

    def lower_floor(self, tier: int, now: float) -> None:
        for number in range(tier, self.floor):
            self.strict_since[number] = now
        self.floor = tier

    def raise_floor(self, now: float) -> None:
        """Raise the floor to the next lower tier of which requests have been seen."""
        while True:
            self.strict_since[self.floor] = math.inf
            self.floor += 1
            if self.floor == MAX_TIER or self.patience[self.floor] < math.inf:
                break
        self.pressed_at = now

    def strict_for(self, tier: int, now: float) -> float:
        """Return for how long the floor has admitted nothing below the tier, in seconds."""
        return now - self.strict_since[tier]


@dataclass(slots=True)
class _PeerPressure:
    """Floor of a peer and the loop times of its last admissions by tier, for one pool."""

    floor: int
    last_admitted: list[float]


class FloorAdmission(Admission, HeartbeatContributor):
    """Admission floors that the nodes share through heartbeats.

    Each node derives its floor from its queue and the expected waits, and applies the strictest
    floor of all live nodes, so that no node admits a low tier while another one sheds a higher
    one. Heartbeats also carry the age of the last admission of each tier: a queued request is shed
    only if no node admitted a lower tier after the request arrived.

    Args:
        members: View of the live nodes.
        clock: Returns the loop time, in seconds.
    """

    def __init__(self, members: Members, clock: Callable[[], float]) -> None:
        self._members = members
        self._clock = clock
        self._floors: dict[str, _PoolAdmission] = {}
        self._peers: dict[str, dict[str, _PeerPressure]] = {}

    def floor(self, pool: str) -> int:
        """Return this node's own floor for a pool."""
        return self._state_of(pool).floor

    def effective_floor(self, pool: str) -> int:
        """Return the strictest floor of this node and its live peers."""
        floors = [self._state_of(pool).floor]
        for node, pressure in self._peers.items():
            if pool in pressure and self._members.state(node) is MemberState.LIVE:
                floors.append(pressure[pool].floor)
        return min(floors)

    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Apply rules 1 to 3 of the design, section 2.2: floor, full queue, predicted wait."""
        req, own = waiter.req, self._state_of(pool.name)
        own.patience[req.tier] = req.patience_s
        own.shares.setdefault(req.tier, ServedShares()).add(req.workspace, 0.0, now)
        self.update(pool, queue, now)
        refusal = self._refusal(pool, queue, req, now)
        if refusal is None:
            return self._admit(pool, waiter, now)
        above = req.tier > self.effective_floor(pool.name)
        lowest = queue.lowest()
        if not above and lowest is not None and lowest.req.tier > req.tier:
            displaced = lowest if self.may_shed(lowest.req, now) else None
            return self._admit(pool, waiter, now, displaced=displaced)
        if (above or len(queue) < pool.queue_limit) and self.starving(pool.name, req.tier, now):
            return self._admit(pool, waiter, now, quota=True)
        return refusal

    def _refusal(self, pool: Pool, queue: WaitQueue, req: Request, now: float) -> Verdict | None:
        """Return a verdict that refuses the request, or None if the pool can admit it."""
        own, floor = self._state_of(pool.name), self.effective_floor(pool.name)
        if req.tier > floor:
            reason = f"pool {pool.name!r} admits tiers 1 to {floor}"
            return Verdict(False, reason=reason, floor=floor)
        full = len(queue) >= pool.queue_limit
        if own.strict_for(req.tier, now) < PROPAGATION_BOUND_S:
            lowest = queue.lowest()
            if full and lowest is not None and lowest.req.tier > req.tier:
                return Verdict(False, reason=f"the queue of pool {pool.name!r} is full")
            return None
        if full:
            return Verdict(False, reason=f"the queue of pool {pool.name!r} is full")
        wait = self.predicted_wait(pool.name, queue, req.tier)
        if wait > req.patience_s:
            reason = f"the predicted wait of {wait:.1f} s exceeds {req.patience_s:g} s"
            return Verdict(False, reason=reason, retry_after_s=wait - req.patience_s)
        if wait * own.shares[req.tier].excess(req.workspace, now) > req.patience_s:
            return Verdict(False, reason="the workspace used more than its share of the pool")
        return None

    def may_shed(self, req: Request, now: float) -> bool:
        """Apply rule 4: shed only if no node admitted a lower tier after the propagation bound.

        The admission ages of the peers are up to one heartbeat old. That they have admitted no
        lower tier since then is certain only if this node's floor has forbidden it for the
        propagation bound. Otherwise the floor is lowered now, and the request is kept for the time
        being.
        """
        limit, own = req.arrived + PROPAGATION_BOUND_S, self._state_of(req.pool)
        if now <= limit:
            return True
        # Relayed admission ages arrive later than the floors.
        known_after_s = PROPAGATION_BOUND_S + (
            RELAYED_AGE_DELAY_S if self._members.is_partial_mesh() else 0.0
        )
        if own.strict_for(req.tier, now) < known_after_s:
            own.lower_floor(min(own.floor, req.tier), now)
            own.pressed_at = now
            return False
        if max(own.last_admitted[req.tier + 1 :], default=-math.inf) > limit:
            return False
        return all(
            max(pressure[req.pool].last_admitted[req.tier + 1 :], default=-math.inf) <= limit
            for pressure in self._peers.values()
            if req.pool in pressure
        )

    def starving(self, pool: str, tier: int, now: float) -> bool:
        """Return whether the tier's share of the pool's admissions is below the minimum.

        A node with enough admissions uses its own share. Otherwise it estimates the admissions of
        the pool as its own times the number of live nodes, and those of the tier as its own plus
        one for each peer that reported one within the window. In a partial mesh the reports do
        not say how many nodes admitted one. The tier then starves if no node reported one within
        the window, or if this node's last admission of the tier is so long ago that its share is
        due.
        """
        own, start = self._state_of(pool), now - SHARE_WINDOW_S
        while own.admitted and own.admitted[0][0] < start:
            own.admitted.popleft()
        count = sum(1 for _, number in own.admitted if number == tier)
        total = len(own.admitted)
        if QUOTA_SHARE * total >= 1.0:
            return count < QUOTA_SHARE * total
        known = [
            pressure[pool].last_admitted[tier]
            for pressure in self._peers.values()
            if pool in pressure
        ]
        count += sum(1 for last in known if last >= start)
        if self._members.is_partial_mesh() and count:
            due_s = SHARE_WINDOW_S / (QUOTA_SHARE * max(total, 1))
            return now - own.last_admitted[tier] >= due_s
        return count == 0 or count < QUOTA_SHARE * total * len(self._members.live())

    def predicted_wait(self, pool: str, queue: WaitQueue, tier: int) -> float:
        """Return the expected wait of a new request of a tier, in seconds.

        The forecasts of the brokers cover the waiting requests of all nodes. Without a recent
        forecast, the wait is estimated from this node's queue and drain rate.
        """
        own, now = self._state_of(pool), self._clock()
        known = [item.waits for item in own.forecasts.values() if now - item.time <= FORECAST_S]
        if known:
            return min(waits[tier] for waits in known)
        rate = own.drain.rate(tier)
        return 0.0 if rate is None else queue.work(tier) / rate

    def forecast(self, pool: str, group: str, wait_ms: list[int], now: float) -> None:
        """Store the expected waits of a runner group that its broker reported.

        Args:
            pool: Name of the pool.
            group: Name of the group.
            wait_ms: Expected waits by tier, from tier 1, in milliseconds.
            now: Loop time, in seconds.
        """
        waits = [0.0] * (MAX_TIER + 1)
        for tier, wait in enumerate(wait_ms[:MAX_TIER], start=1):
            waits[tier] = wait / 1000
        self._state_of(pool).forecasts[group] = _Forecast(now, waits)

    def on_slot_granted(self, waiter: Waiter, now: float) -> None:
        """Count the work that left the queue in the drain rate."""
        self._state_of(waiter.req.pool).drain.record_served(waiter.req.tier, waiter.cost)

    def update(self, pool: Pool, queue: WaitQueue, now: float) -> None:
        """Adjust the floor: lower it at once, raise it by one tier after ``RAISE_AFTER_S``."""
        own = self._state_of(pool.name)
        own.drain.advance(now, len(queue) > 0)
        wanted = min(
            self._floor_by_queue_fill(pool, queue), self._floor_by_wait(pool.name, queue, own)
        )
        if wanted <= own.floor:
            if wanted < MAX_TIER:
                own.pressed_at = now
            own.lower_floor(wanted, now)
        elif now - own.pressed_at >= RAISE_AFTER_S:
            own.raise_floor(now)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the floors and admission ages of this node."""
        now = self._clock()
        for name, own in self._floors.items():
            ages = [_age_ms(now, time) for time in own.last_admitted[1:]]
            while ages and ages[-1] < 0:
                ages.pop()
            heartbeat.pressure.append(Pressure(name, own.floor, ages))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the floors and admission ages of a peer."""
        now = self._clock()
        known: dict[str, _PeerPressure] = {}
        for item in heartbeat.pressure:
            last = [-math.inf] * (MAX_TIER + 1)
            for tier, age in enumerate(item.admit_age_ms[:MAX_TIER], start=1):
                if age >= 0:
                    last[tier] = now - age / 1000
            known[item.pool] = _PeerPressure(item.floor, last)
        if heartbeat.node not in self._peers:
            self._forget_dead()
        self._peers[heartbeat.node] = known

    def _forget_dead(self) -> None:
        for node in list(self._peers):
            if self._members.state(node) is MemberState.DEAD:
                del self._peers[node]

    def _admit(
        self,
        pool: Pool,
        waiter: Waiter,
        now: float,
        displaced: Waiter | None = None,
        quota: bool = False,
    ) -> Verdict:
        own, tier = self._state_of(pool.name), waiter.req.tier
        own.last_admitted[tier] = now
        own.admitted.append((now, tier))
        own.shares[tier].add(waiter.req.workspace, waiter.cost / waiter.req.weight, now)
        return Verdict(True, displaced=displaced, quota=quota)

    def _floor_by_queue_fill(self, pool: Pool, queue: WaitQueue) -> int:
        """Return the first tier that together with the higher ones fills most of the queue.

        Lower tiers do not count: they can be displaced and must not shut out higher ones.
        """
        filled = 0
        counts = queue.counts()
        for tier in range(1, MAX_TIER):
            filled += counts.get(tier, 0)
            if filled >= FILL_LIMIT * pool.queue_limit:
                return tier
        return MAX_TIER

    def _floor_by_wait(self, pool: str, queue: WaitQueue, own: _PoolAdmission) -> int:
        for tier in range(1, MAX_TIER + 1):
            patience = own.patience[tier]
            if patience < math.inf and self.predicted_wait(pool, queue, tier) > patience:
                return tier
        return MAX_TIER

    def _state_of(self, pool: str) -> _PoolAdmission:
        found = self._floors.get(pool)
        if found is None:
            found = self._floors[pool] = _PoolAdmission()
        return found


def _age_ms(now: float, time: float) -> int:
    age = (now - time) * 1000
    return int(age) if age < AGE_LIMIT_MS else -1
