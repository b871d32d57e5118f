"""Decides which requests may wait and which are refused."""

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

PROPAGATION_BOUND_S = 1.0  # Propagation delay between nodes that guarantee 1 excludes.
# Beyond a full mesh a floor is known everywhere after the news bound, but the age of an admission
# at a distant node takes 5 hops of one heartbeat period each (0.4 s) and their delays to arrive.
RELAYED_AGE_DELAY_S = 2.5
MIN_SHARE = 0.02  # Share of a tier below which it counts as starving.
QUOTA_SHARE = 0.035  # Admitted by the quota; above the minimum, so that the share completes.
# A node's quota is a whole number of requests. Within 10 s a node admits few requests, so that the
# quota was rounded up: with 3%, the low tiers had 4 to 7% of the finished requests in overload and
# took slots from higher tiers.
SHARE_WINDOW_S = 30.0
RAISE_AFTER_S = 2.0  # Hysteresis: time without pressure before a floor rises by one tier.
FILL_LIMIT = 0.75  # Fill of the queue by a tier and the higher ones at which it becomes the floor.
FORECAST_S = 1.0  # How long the forecast of a broker is used.
AGE_LIMIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on an arriving request.

    Attributes:
        admitted: True if it may wait.
        displaced: Waiter to refuse in its place, or None.
        quota: True if admitted because its tier was starving.
        reason: Why it is refused.
        retry_after_s: When a retry makes sense, in seconds.
        floor: Effective floor if it is the reason, otherwise 0.
    """

    admitted: bool
    displaced: Waiter | None = None
    quota: bool = False
    reason: str = ""
    retry_after_s: float = 1.0
    floor: int = 0


class Admission(ABC):
    """Rules for accepting, displacing and expiring requests."""

    @abstractmethod
    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Decide on an arriving request.

        Args:
            pool: Its pool.
            queue: The pool's queue at this node.
            waiter: The request, not queued yet.
            now: Loop time, in seconds.

        Returns:
            The verdict. If it admits the request, the admission is on record.
        """

    @abstractmethod
    def may_shed(self, req: Request, now: float) -> bool:
        """Tell whether a queued request may be displaced or expire."""

    def served(self, waiter: Waiter, now: float) -> None:  # noqa: B027
        """Note that a request got a slot."""

    def update(self, pool: Pool, queue: WaitQueue, now: float) -> None:  # noqa: B027
        """Adapt to the state of a queue; called several times per second."""


class NaiveAdmission(Admission):
    """A queue limit and expiry after the patience, without regard to other nodes.

    Args:
        displace: True to refuse the lowest waiting tier instead of a higher one that arrives.
    """

    def __init__(self, displace: bool = False) -> None:
        self._displace = displace

    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Admit below the queue limit."""
        if len(queue) < pool.queue_limit:
            return Verdict(True)
        lowest = queue.lowest() if self._displace else None
        if lowest is not None and lowest.req.tier > waiter.req.tier:
            return Verdict(True, displaced=lowest)
        return Verdict(False, reason=f"the queue of pool {pool.name!r} is full")

    def may_shed(self, req: Request, now: float) -> bool:
        """Every request may expire."""
        return True


@dataclass(frozen=True, slots=True)
class _Forecast:
    """Expected waits of a group by tier, in seconds, as its broker sees them."""

    time: float
    waits: list[float]


@dataclass(slots=True)
class _Floor:
    """This node's floor for one pool."""

    tier: int = MAX_TIER
    pressed: float = -math.inf
    since: list[float] = field(default_factory=lambda: [math.inf] * MAX_TIER + [-math.inf])
    patience: list[float] = field(default_factory=lambda: [math.inf] * (MAX_TIER + 1))
    admitted: deque[tuple[float, int]] = field(default_factory=deque)
    last: list[float] = field(default_factory=lambda: [-math.inf] * (MAX_TIER + 1))
    drain: DrainRate = field(default_factory=lambda: DrainRate(MIN_SHARE))
    forecasts: dict[str, _Forecast] = field(default_factory=dict)
    shares: dict[int, ServedShares] = field(default_factory=dict)

    def lower(self, tier: int, now: float) -> None:
        for number in range(tier, self.tier):
            self.since[number] = now
        self.tier = tier

    def rise(self, now: float) -> None:
        """Admit the next lower tier that has been seen."""
        while True:
            self.since[self.tier] = math.inf
            self.tier += 1
            if self.tier == MAX_TIER or self.patience[self.tier] < math.inf:
                break
        self.pressed = now

    def strict_for(self, tier: int, now: float) -> float:
        """Return for how long the floor has been at the tier or stricter, in seconds."""
        return now - self.since[tier]


@dataclass(slots=True)
class _PeerPressure:
    floor: int
    last: list[float]


class FloorAdmission(Admission, HeartbeatContributor):
    """Floors and admission evidence shared through heartbeats.

    Args:
        members: View of the live nodes.
        clock: Returns the loop time, in seconds.
    """

    def __init__(self, members: Members, clock: Callable[[], float]) -> None:
        self._members = members
        self._clock = clock
        self._floors: dict[str, _Floor] = {}
        self._peers: dict[str, dict[str, _PeerPressure]] = {}

    def floor(self, pool: str) -> int:
        """Return this node's own floor for a pool."""
        return self._own(pool).tier

    def effective_floor(self, pool: str) -> int:
        """Return the smallest floor of this node and its live peers."""
        floors = [self._own(pool).tier]
        for node, pressure in self._peers.items():
            if pool in pressure and self._members.state(node) is MemberState.LIVE:
                floors.append(pressure[pool].floor)
        return min(floors)

    def decide(self, pool: Pool, queue: WaitQueue, waiter: Waiter, now: float) -> Verdict:
        """Apply rules 1 to 3 of the design, section 2.2."""
        req, own = waiter.req, self._own(pool.name)
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
        """Return the refusal that the state of the pool calls for, or None."""
        own, floor = self._own(pool.name), self.effective_floor(pool.name)
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
        """Apply rule 4: no node admitted a lower tier after the news bound.

        The evidence of the peers is up to a heartbeat old. What they admitted since is known only
        if this node's floor has kept them from it for the news bound; otherwise it does from now.
        """
        limit, own = req.arrived + PROPAGATION_BOUND_S, self._own(req.pool)
        if now <= limit:
            return True
        # Relayed evidence arrives later than the floors that keep it from growing.
        known_after_s = PROPAGATION_BOUND_S + (
            RELAYED_AGE_DELAY_S if self._members.is_partial_mesh() else 0.0
        )
        if own.strict_for(req.tier, now) < known_after_s:
            own.lower(min(own.tier, req.tier), now)
            own.pressed = now
            return False
        if max(own.last[req.tier + 1 :], default=-math.inf) > limit:
            return False
        return all(
            max(pressure[req.pool].last[req.tier + 1 :], default=-math.inf) <= limit
            for pressure in self._peers.values()
            if req.pool in pressure
        )

    def starving(self, pool: str, tier: int, now: float) -> bool:
        """Tell whether the tier's share of the pool's admissions is below the minimum.

        A node with enough admissions counts its own share. Otherwise the pool's admissions are
        taken as the node's own times the live nodes, and those of the tier as its own and one for
        each peer with evidence of one in the window. Beyond a full mesh the evidence does not tell
        how many nodes admitted one; there the tier is starving if no node did in the window, or if
        the own last admission is so long ago that the node's share is due.
        """
        own, start = self._own(pool), now - SHARE_WINDOW_S
        while own.admitted and own.admitted[0][0] < start:
            own.admitted.popleft()
        count = sum(1 for _, number in own.admitted if number == tier)
        total = len(own.admitted)
        if QUOTA_SHARE * total >= 1.0:
            return count < QUOTA_SHARE * total
        known = [pressure[pool].last[tier] for pressure in self._peers.values() if pool in pressure]
        count += sum(1 for last in known if last >= start)
        if self._members.is_partial_mesh() and count:
            due_s = SHARE_WINDOW_S / (QUOTA_SHARE * max(total, 1))
            return now - own.last[tier] >= due_s
        return count == 0 or count < QUOTA_SHARE * total * len(self._members.live())

    def predicted_wait(self, pool: str, queue: WaitQueue, tier: int) -> float:
        """Return the expected wait of a new request of a tier, in seconds.

        The brokers' forecasts count the waiting requests of all nodes. Without a recent one, this
        node's own queue and drain rate are used.
        """
        own, now = self._own(pool), self._clock()
        known = [item.waits for item in own.forecasts.values() if now - item.time <= FORECAST_S]
        if known:
            return min(waits[tier] for waits in known)
        rate = own.drain.rate(tier)
        return 0.0 if rate is None else queue.work(tier) / rate

    def forecast(self, pool: str, group: str, wait_ms: list[int], now: float) -> None:
        """Take over the expected waits of a group from its broker.

        Args:
            pool: Name of the pool.
            group: Name of the group.
            wait_ms: Waits by tier, from tier 1, in milliseconds.
            now: Loop time, in seconds.
        """
        waits = [0.0] * (MAX_TIER + 1)
        for tier, wait in enumerate(wait_ms[:MAX_TIER], start=1):
            waits[tier] = wait / 1000
        self._own(pool).forecasts[group] = _Forecast(now, waits)

    def served(self, waiter: Waiter, now: float) -> None:
        """Count the work that left the queue."""
        self._own(waiter.req.pool).drain.served(waiter.req.tier, waiter.cost)

    def update(self, pool: Pool, queue: WaitQueue, now: float) -> None:
        """Move the floor; lower at once, raise step by step."""
        own = self._own(pool.name)
        own.drain.advance(now, len(queue) > 0)
        wanted = min(self._by_fill(pool, queue), self._by_wait(pool.name, queue, own))
        if wanted <= own.tier:
            if wanted < MAX_TIER:
                own.pressed = now
            own.lower(wanted, now)
        elif now - own.pressed >= RAISE_AFTER_S:
            own.rise(now)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write floors and admission ages."""
        now = self._clock()
        for name, own in self._floors.items():
            ages = [_age_ms(now, time) for time in own.last[1:]]
            while ages and ages[-1] < 0:
                ages.pop()
            heartbeat.pressure.append(Pressure(name, own.tier, ages))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over floors and admission ages of a peer."""
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
        own, tier = self._own(pool.name), waiter.req.tier
        own.last[tier] = now
        own.admitted.append((now, tier))
        own.shares[tier].add(waiter.req.workspace, waiter.cost / waiter.req.weight, now)
        return Verdict(True, displaced=displaced, quota=quota)

    def _by_fill(self, pool: Pool, queue: WaitQueue) -> int:
        """Return the first tier that, with all higher ones, fills most of the queue.

        Lower tiers do not count: they are displaced and must not close the pool to higher ones.
        """
        filled = 0
        counts = queue.counts()
        for tier in range(1, MAX_TIER):
            filled += counts.get(tier, 0)
            if filled >= FILL_LIMIT * pool.queue_limit:
                return tier
        return MAX_TIER

    def _by_wait(self, pool: str, queue: WaitQueue, own: _Floor) -> int:
        for tier in range(1, MAX_TIER + 1):
            patience = own.patience[tier]
            if patience < math.inf and self.predicted_wait(pool, queue, tier) > patience:
                return tier
        return MAX_TIER

    def _own(self, pool: str) -> _Floor:
        found = self._floors.get(pool)
        if found is None:
            found = self._floors[pool] = _Floor()
        return found


def _age_ms(now: float, time: float) -> int:
    age = (now - time) * 1000
    return int(age) if age < AGE_LIMIT_MS else -1
