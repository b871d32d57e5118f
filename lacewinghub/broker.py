"""Hands out the slots of runner groups to the nodes."""

import asyncio
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from .drain import DrainRate
from .group import Group, Groups
from .lease import LEASE_S, Lease, Leases
from .limit import ConcurrencyLimit
from .membership import Member, Members
from .message import GRANT_REFUSED, Demand, GrantItem, Grants, GroupFreeSlots, Release, ReleaseItem
from .reserve import HIGH_TIER, Headroom, TrunkReservation
from .scheduler import PoolView
from .selection import AFFINITY_BOUND
from .tables import MAX_TIER, Endpoint
from .transport import Transport

START_S = 0.5  # A new broker waits this long for the demands of all nodes.
SWEEP_S = 0.1
IDLE_S = 10.0  # A group without demands for this long is dropped.
OPEN_EVERY_S = 0.5
FORECAST_EVERY_S = 0.02
ANSWER_EVERY_S = 0.1  # Smallest interval between empty answers to a node.
# The same for a node without waiters while the group has none either. Admission uses a forecast for
# 1 s, so every second renewal is answered.
QUIET_ANSWER_EVERY_S = 0.45
MIN_SHARE = 0.02
EARNED_SHARE = 0.03  # Of every grant; above the minimum, since a tier earns only while it waits.
# Of a high tier that starves behind a higher one. The quota of nine nodes admits about 4% of the
# grants; with 3% earned, tier 2 waited 2.2 s (median) in a burst of tier 1, over its target of 2 s.
HIGH_EARNED_SHARE = 0.08
MAX_CREDIT = 1.0
CRASH_REST_S = 1.0  # First pause after a crash; doubles up to MAX_REST_S.
MAX_REST_S = 8.0
SLOW_FACTOR = 2.0  # Against the group's median time between tokens.
# With a slot becoming free at least this often, a runner gets one request more than it has slots:
# its own queue then refills a slot at once, while a new grant would miss a step of the batch.
TURNOVER_S = 0.15
PROBE_EVERY_S = 2.0
REFUSAL_S = 1.0  # How long a node is not offered an endpoint that it gave back.
SPEED_WEIGHT = 0.3
USE_WEIGHT = 0.05  # Of the latest use of a slot in the mean time that a slot is in use.


@dataclass(slots=True)
class _Node:
    """Demand of one node."""

    seq: int = -1
    seen: float = 0.0
    answered: float = 0.0
    waiting: Counter[tuple[int, str]] = field(default_factory=Counter)
    oldest_ms: list[int] = field(default_factory=list)
    refused: dict[str, float] = field(default_factory=dict)
    listed: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class _Runner:
    """Slots and speed of one endpoint."""

    limit: ConcurrencyLimit
    granted: int = 0
    between_tokens_s: float | None = None
    rests_until: float = 0.0
    rest_s: float = CRASH_REST_S
    probed: float = 0.0


@dataclass(slots=True)
class _State:
    """What the broker keeps for one group."""

    group: Group
    started: float
    seen: float
    headroom: Headroom
    nodes: dict[str, _Node] = field(default_factory=dict)
    leases: Leases = field(default_factory=Leases)
    runners: dict[str, _Runner] = field(default_factory=dict)
    drain: DrainRate = field(default_factory=lambda: DrainRate(MIN_SHARE))
    waits: list[int] = field(default_factory=list)
    forecast: float = -math.inf
    use_s: float = 0.0
    credit: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))


class Broker:
    """Broker of every group that some node asks this node for.

    All state is soft: it is rebuilt from the demands of the nodes.

    Args:
        transport: Connects the nodes.
        members: View of the live nodes.
        view: Pools and usable endpoints.
        rng: Source of randomness.
        groups: The groups of the pools, if another part of the node uses them too.
        headroom: Creates the headroom of a group.
    """

    def __init__(
        self,
        transport: Transport,
        members: Members,
        view: PoolView,
        rng: random.Random | None = None,
        groups: Groups | None = None,
        headroom: Callable[[], Headroom] = TrunkReservation,
    ) -> None:
        self._transport = transport
        self._members = members
        self._view = view
        self._rng = rng or random.Random()
        self._headroom = headroom
        self._last_id = self._rng.getrandbits(24) << 8
        self._groups = groups or Groups(view, members)
        self._searched: tuple[list[Member], dict[str, list[Group]]] = ([], {})
        self._own: list[Group] = []
        self._states: dict[str, _State] = {}
        transport.subscribe(Demand, self._on_demand)
        transport.subscribe(Release, self._on_release)

    def endpoints(self) -> set[str]:
        """Return the names of the endpoints whose slots this node hands out."""
        groups = (self._groups.find(name) for name in self._states)
        return {item.name for group in groups if group for item in group.endpoints}

    def free(self) -> list[GroupFreeSlots]:
        """Return the free slots of each group that this node is broker of."""
        now = _now()
        return [
            GroupFreeSlots(name, sum(self._room(state, item, now) for item in self._usable(state)))
            for name, state in self._states.items()
        ]

    async def run(self) -> None:
        """Free expired leases and drop idle groups until cancelled."""
        opened = -math.inf
        while True:
            now = _now()
            if now - opened >= OPEN_EVERY_S:
                opened = now
                self._open_own(now)
            for state in list(self._states.values()):
                self._expire(state, now)
                if now - state.seen > IDLE_S:
                    del self._states[state.group.name]
                else:
                    self._grant(state, now)
            await asyncio.sleep(SWEEP_S)

    def _open_own(self, now: float) -> None:
        """Open this node's groups ahead of demand; the first request would wait START_S."""
        live = self._members.live()
        pools = {name: self._groups.for_pool(name) for name in self._view.names()}
        known_live, known_pools = self._searched
        if live != known_live or not _same_lists(pools, known_pools):
            self._searched = list(live), pools
            self._own = [
                group
                for groups in pools.values()
                for group in groups
                if self._groups.broker(group) == self._transport.node
            ]
        for group in self._own:
            state = self._open(group.name, now)
            if state is not None:
                state.seen = now

    def _on_demand(self, sender: str, demand: Demand) -> None:
        now = _now()
        state = self._open(demand.group, now)
        if state is None:
            return
        state.seen = now
        node = state.nodes.setdefault(sender, _Node())
        if demand.seq <= node.seq and now - node.seen < LEASE_S:
            return
        node.seq, node.seen = demand.seq, now
        if not self._take_held(state, sender, demand, now):
            resend = Grants(state.group.name, [], state.waits, demand.seq)
            self._transport.send(sender, resend)
        node.oldest_ms = demand.oldest_ms
        node.waiting, node.listed = Counter(), Counter()
        for item in demand.waiting:
            node.waiting[item.tier, item.preferred] += item.count
            node.listed[item.tier] += item.count
        for tier in state.leases.offered_tiers(sender):
            _subtract(node.waiting, tier)
        self._grant(state, now)
        pause = ANSWER_EVERY_S if demand.waiting or state.waits else QUIET_ANSWER_EVERY_S
        if now - state.started >= START_S and now - node.answered >= pause:
            self._answer(state, sender, [], now)

    def _on_release(self, sender: str, release: Release) -> None:
        state = self._states.get(release.group)
        if state is None:
            return
        now = _now()
        for item in release.items:
            lease = state.leases.find(sender, item.id)
            if lease is None:
                continue
            if item.tokens != GRANT_REFUSED:
                self._learn(state, lease, item, now)
            elif sender in state.nodes:
                state.nodes[sender].refused[item.endpoint] = now + REFUSAL_S
            state.leases.end(sender, item.id)
            self._count(state)
        self._grant(state, now)

    def _open(self, name: str, now: float) -> _State | None:
        state = self._states.get(name)
        group = self._groups.find(name)
        if group is None:
            return None
        if state is None:
            state = self._states[name] = _State(group, now, now, self._headroom())
            asyncio.get_running_loop().call_later(START_S, self._start, state)
        state.group = group
        return state

    def _start(self, state: _State) -> None:
        self._grant(state, _now())

    def _take_held(self, state: _State, sender: str, demand: Demand, now: float) -> bool:
        agreed = state.leases.take(sender, demand, now)
        self._count(state)
        return agreed

    def _count(self, state: _State) -> None:
        """Take over changes of the leases into the numbers of granted slots."""
        for endpoint, change in state.leases.changes().items():
            self._runner(state, endpoint).granted += change

    def _learn(self, state: _State, lease: Lease, item: ReleaseItem, now: float) -> None:
        runner = self._runner(state, lease.endpoint)
        if item.crashed:
            if now >= runner.rests_until:
                runner.rests_until = now + runner.rest_s
                runner.rest_s = min(MAX_REST_S, 2 * runner.rest_s)
            return
        if item.ok:
            runner.rest_s = CRASH_REST_S
            used = now - lease.granted
            state.use_s += USE_WEIGHT * (used - state.use_s) if state.use_s else used
        first = item.first_token_ms / 1000 if item.first_token_ms >= 0 else None
        between = item.between_tokens_us / 1e6 if item.between_tokens_us >= 0 else None
        if between is not None and item.tokens > 1:
            old = runner.between_tokens_s
            change = SPEED_WEIGHT * (between - old) if old is not None else 0.0
            runner.between_tokens_s = between if old is None else old + change
        target = self._view.target(state.group.pool, lease.tier)
        runner.limit.observe(first, between, target, runner.granted, now)

    def _expire(self, state: _State, now: float) -> None:
        state.leases.expire(now)
        self._count(state)
        for name in [name for name, node in state.nodes.items() if now - node.seen > LEASE_S]:
            del state.nodes[name]

    def _grant(self, state: _State, now: float) -> None:
        if now - state.started < START_S:
            return
        state.drain.advance(now, state.drain.busy)
        made: dict[str, list[GrantItem]] = {}
        endpoints = self._usable(state)
        slow = self._slow(state, endpoints)
        kept = False
        while waiting := _by_tier(state):
            free = [item for item in endpoints if self._room(state, item, now) > 0]
            tier, only = self._next_tier(state, waiting)
            kept = not only and self._reserves(state, tier, free, now)
            if kept:
                break
            free, tier = self._without_slow(state, free, slow, tier, waiting, now)
            if not free:
                break
            name = _next_node(state, tier, now)
            node = state.nodes[name]
            free = [item for item in free if node.refused.get(item.name, 0.0) <= now]
            preferred = _take_waiting(node, tier)
            if not free:
                continue
            chosen = self._choose(state, free, preferred, endpoints)
            item = self._lease(state, name, chosen.name, tier, now)
            item.only = only
            made.setdefault(name, []).append(item)
            _pay(state, waiting, tier)
            state.drain.served(tier, 1.0)
            state.headroom.granted(tier, now)
        # Time in which slots are kept free says nothing about how fast the group drains. Counted,
        # it made the expected waits of the high tiers too long, and floors refused tier 2.
        state.drain.advance(now, bool(waiting) and not kept)
        if now - state.forecast >= FORECAST_EVERY_S:
            state.forecast = now
            state.waits = _forecast(state, waiting, now)
            self._adapt(state, now)
        for name, items in made.items():
            self._answer(state, name, items, now)

    def _reserves(self, state: _State, tier: int, free: list[Endpoint], now: float) -> bool:
        """Tell whether the free slots are kept for higher tiers than this one."""
        reserved = state.headroom.reserved(tier, now)
        return reserved > 0 and sum(self._room(state, item, now) for item in free) <= reserved

    def _adapt(self, state: _State, now: float) -> None:
        targets = [self._view.target(state.group.pool, tier) for tier in range(1, MAX_TIER + 1)]
        slots = sum(runner.limit.value for runner in state.runners.values())
        ages = _oldest_ms(state, now)
        state.headroom.expect(state.waits, ages, targets, slots, state.use_s, now)

    def _lease(self, state: _State, node: str, endpoint: str, tier: int, now: float) -> GrantItem:
        self._last_id += 1
        state.leases.offer(node, self._last_id, endpoint, tier, now)
        self._count(state)
        return GrantItem(self._last_id, endpoint, tier)

    def _answer(self, state: _State, node: str, items: list[GrantItem], now: float) -> None:
        state.nodes[node].answered = now
        self._transport.send(node, Grants(state.group.name, items, state.waits))

    def _next_tier(self, state: _State, waiting: Counter[int]) -> tuple[int, bool]:
        starving = [tier for tier in waiting if state.credit[tier] >= MAX_CREDIT]
        highest = min(waiting)
        if not starving or highest in starving:
            return highest, False
        return min(starving), True

    def _without_slow(
        self,
        state: _State,
        free: list[Endpoint],
        slow: set[str],
        tier: int,
        waiting: Counter[int],
        now: float,
    ) -> tuple[list[Endpoint], int]:
        """Keep slow endpoints for a probe now and then, with a request of the lowest tier."""
        fast = [item for item in free if item.name not in slow]
        if fast or not slow:
            return fast, tier
        for item in free:
            runner = self._runner(state, item.name)
            if runner.granted == 0 and now - runner.probed >= PROBE_EVERY_S:
                runner.probed = now
                return [item], max(waiting)
        return [], tier

    def _slow(self, state: _State, endpoints: list[Endpoint]) -> set[str]:
        speeds: dict[str, float] = {}
        for item in endpoints:
            speed = self._runner(state, item.name).between_tokens_s
            if speed is not None:
                speeds[item.name] = speed
        if len(speeds) < 2:
            return set()
        median = sorted(speeds.values())[(len(speeds) - 1) // 2]
        return {name for name, speed in speeds.items() if speed > SLOW_FACTOR * median}

    def _choose(
        self, state: _State, free: list[Endpoint], preferred: str, endpoints: list[Endpoint]
    ) -> Endpoint:
        if preferred:
            mean = sum(self._load(state, item) for item in endpoints) / len(endpoints)
            for item in free:
                if item.name == preferred and self._load(state, item) <= AFFINITY_BOUND * mean:
                    return item
        if len(free) == 1:
            return free[0]
        return min(self._rng.sample(free, 2), key=lambda item: self._load(state, item))

    def _load(self, state: _State, item: Endpoint) -> float:
        runner = self._runner(state, item.name)
        return (runner.granted + 1) / runner.limit.value

    def _room(self, state: _State, item: Endpoint, now: float) -> int:
        runner = self._runner(state, item.name)
        if runner.limit.slots != item.slots:
            runner.limit = ConcurrencyLimit(item.slots)
        if runner.rests_until > now:
            return 0
        limit = runner.limit.value
        if runner.rest_s > CRASH_REST_S:
            limit = 1  # Probed with one request until it has served one.
        elif 0.0 < state.use_s < TURNOVER_S * limit:
            limit += 1
        return max(0, limit - runner.granted)

    def _usable(self, state: _State) -> list[Endpoint]:
        return self._groups.usable(state.group)

    def _runner(self, state: _State, endpoint: str) -> _Runner:
        found = state.runners.get(endpoint)
        if found is None:
            item = next((item for item in state.group.endpoints if item.name == endpoint), None)
            found = _Runner(ConcurrencyLimit(item.slots if item else 1))
            state.runners[endpoint] = found
        return found


def _same_lists(left: dict[str, list[Group]], right: dict[str, list[Group]]) -> bool:
    """Compare by identity; a pool whose groups did not change keeps its list."""
    return left.keys() == right.keys() and all(right[key] is item for key, item in left.items())


def _by_tier(state: _State) -> Counter[int]:
    found: Counter[int] = Counter()
    for node in state.nodes.values():
        for (tier, _), count in node.waiting.items():
            found[tier] += count
    return found


def _next_node(state: _State, tier: int, now: float) -> str:
    """Choose the node whose next request of a tier has probably waited longest.

    A demand tells the age of the oldest request only; those behind it are taken as evenly spaced.
    """
    best, best_age = "", -1.0
    for name, node in state.nodes.items():
        count = sum(count for (number, _), count in node.waiting.items() if number == tier)
        if not count:
            continue
        oldest = node.oldest_ms[tier - 1] if tier <= len(node.oldest_ms) else 0
        age = (now - node.seen) + oldest / 1000 * count / max(count, node.listed[tier])
        if age > best_age:
            best, best_age = name, age
    return best


def _take_waiting(node: _Node, tier: int) -> str:
    options = [(count, name) for (number, name), count in node.waiting.items() if number == tier]
    _, preferred = max(options)
    _subtract(node.waiting, tier, preferred)
    return preferred


def _pay(state: _State, waiting: Counter[int], served: int) -> None:
    """Every waiting tier earns its minimum share of a slot; the served one pays for it."""
    for tier in waiting:
        earned = HIGH_EARNED_SHARE if tier <= HIGH_TIER else EARNED_SHARE
        state.credit[tier] = min(MAX_CREDIT, state.credit[tier] + earned)
    state.credit[served] = max(0.0, state.credit[served] - 1.0)


def _forecast(state: _State, waiting: Counter[int], now: float) -> list[int]:
    """Return the expected wait of a new request by tier, in milliseconds."""
    if not waiting:
        return []
    waits: list[int] = []
    ahead = 1
    slots = sum(runner.limit.value for runner in state.runners.values())
    prior = slots / state.use_s if state.use_s else None
    oldest = _oldest_ms(state, now)
    for tier in range(1, MAX_TIER + 1):
        ahead += waiting.get(tier, 0)
        rate = state.drain.rate(tier, prior)
        expected = int(1000 * ahead / rate) if rate else 0
        waits.append(max(expected, oldest.get(tier, 0)))
    return waits


def _oldest_ms(state: _State, now: float) -> dict[int, int]:
    """Return the age of the oldest waiting request by tier, averaged over the nodes."""
    ages: dict[int, list[int]] = {}
    for node in state.nodes.values():
        since = int(1000 * (now - node.seen))
        for tier in {number for number, _ in node.waiting}:
            if tier <= len(node.oldest_ms):
                ages.setdefault(tier, []).append(node.oldest_ms[tier - 1] + since)
    return {tier: sum(found) // len(found) for tier, found in ages.items()}


def _subtract(waiting: Counter[tuple[int, str]], tier: int, preferred: str | None = None) -> None:
    """Count one waiting request of a tier off; without a preference, any of them."""
    for key in waiting:
        if key[0] == tier and preferred in (None, key[1]):
            waiting[key] -= 1
            if waiting[key] <= 0:
                del waiting[key]
            return


def _now() -> float:
    return asyncio.get_running_loop().time()
