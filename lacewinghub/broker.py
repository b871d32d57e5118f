"""Grants the slots of runner groups to the nodes that demand them."""

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

START_S = 0.5  # A new broker waits this long for the demands of all nodes before it grants.
SWEEP_S = 0.1
IDLE_S = 10.0  # The state of a group without demands for this long is removed.
OPEN_EVERY_S = 0.5
FORECAST_EVERY_S = 0.02
ANSWER_EVERY_S = 0.1  # Minimum interval between answers to a node that contain no grants.
# The same if neither the node nor the group has waiting requests. Admission uses a forecast for
# 1 s, so it is enough to answer every second renewal.
QUIET_ANSWER_EVERY_S = 0.45
MIN_SHARE = 0.02  # Minimum share of the grants that every waiting tier gets.
# Credit that each waiting tier earns with every grant; a tier with MAX_CREDIT is served before the
# higher ones. It is above MIN_SHARE, since a tier earns credit only while it has waiting requests.
CREDIT_PER_GRANT = 0.03
# The same for the high tiers, which may starve behind a higher one. The quota of nine nodes admits
# about 4% of the grants. With a credit of 3%, tier 2 waited 2.2 s (median) in a burst of tier 1,
# longer than its target of 2 s.
HIGH_CREDIT_PER_GRANT = 0.08
MAX_CREDIT = 1.0
CRASH_PAUSE_S = 1.0  # First pause of a runner after a crash; doubles up to MAX_CRASH_PAUSE_S.
MAX_CRASH_PAUSE_S = 8.0
SLOW_FACTOR = 2.0  # A runner is slow above this multiple of the group's median time between tokens.
# If a runner frees a slot more often than this, it gets one request more than it has slots: the
# queue of the runner then refills the slot at once, while a new grant would miss a batch step.
TURNOVER_S = 0.15
PROBE_EVERY_S = 2.0  # Interval at which a slow runner gets a request.
REFUSAL_S = 1.0  # How long a node is not granted an endpoint that it returned unused.
SPEED_WEIGHT = 0.3  # Weight of the latest time between tokens in the moving average.
USE_WEIGHT = 0.05  # Weight of the latest use in the moving average of the time a slot is in use.


@dataclass(slots=True)
class _NodeDemand:
    """Latest demand of one node; times are loop times in seconds.

    Attributes:
        seq: Number of the demand.
        received: Time at which it was received.
        answered: Time of the last message to the node.
        waiting: Waiting requests without a grant, by tier and preferred endpoint.
        oldest_ms: Age of the oldest waiting request by tier, from tier 1, in milliseconds.
        refused_until: Until when an endpoint that the node returned unused is not granted to it.
        listed: Waiting requests in the demand, by tier.
    """

    seq: int = -1
    received: float = 0.0
    answered: float = 0.0
    waiting: Counter[tuple[int, str]] = field(default_factory=Counter)
    oldest_ms: list[int] = field(default_factory=list)
    refused_until: dict[str, float] = field(default_factory=dict)
    listed: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class _RunnerState:
    """Slots and speed of one endpoint; times are in seconds.

    Attributes:
        limit: Adaptive limit of concurrent requests.
        granted: Number of leased slots.
        between_tokens_s: Moving average of the time between tokens, or None if unknown.
        paused_until: Loop time until which the runner gets no requests after a crash.
        pause_s: Length of the next pause after a crash.
        probed: Loop time of the last probe of the runner while it was slow.
    """

    limit: ConcurrencyLimit
    granted: int = 0
    between_tokens_s: float | None = None
    paused_until: float = 0.0
    pause_s: float = CRASH_PAUSE_S
    probed: float = 0.0


@dataclass(slots=True)
class _GroupState:
    """State of one group; times are loop times in seconds.

    Attributes:
        group: The group.
        started: Time at which this node became its broker.
        last_demand: Time of the last demand.
        headroom: Decides how many slots are reserved for the high tiers.
        nodes: Demands by node.
        leases: Leases on the slots of the group.
        runners: Slots and speed by endpoint name.
        drain: Rate at which waiting requests get slots.
        waits: Expected waits by tier, from tier 1, in milliseconds; empty if no request waits.
        forecast_at: Time at which ``waits`` was computed.
        use_s: Moving average of the time that a slot is in use, in seconds; 0 if unknown.
        credit: Credit by tier.
    """

    group: Group
    started: float
    last_demand: float
    headroom: Headroom
    nodes: dict[str, _NodeDemand] = field(default_factory=dict)
    leases: Leases = field(default_factory=Leases)
    runners: dict[str, _RunnerState] = field(default_factory=dict)
    drain: DrainRate = field(default_factory=lambda: DrainRate(MIN_SHARE))
    waits: list[int] = field(default_factory=list)
    forecast_at: float = -math.inf
    use_s: float = 0.0
    credit: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))


class Broker:
    """Broker of each group for which this node receives demands.

    The state is not persistent: a new broker rebuilds it from the demands of the nodes.

    Args:
        transport: Sends messages to other nodes.
        members: View of the live nodes.
        view: Pools and usable endpoints.
        rng: Source of randomness.
        groups: Groups of the pools, to share them with other parts of the node.
        headroom: Creates the slot reservation of a group.
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
        self._own_groups_inputs: tuple[list[Member], dict[str, list[Group]]] = ([], {})
        self._own_groups: list[Group] = []
        self._states: dict[str, _GroupState] = {}
        transport.subscribe(Demand, self._on_demand)
        transport.subscribe(Release, self._on_release)

    def endpoints(self) -> set[str]:
        """Return the names of the endpoints whose slots this node grants."""
        groups = (self._groups.find(name) for name in self._states)
        return {item.name for group in groups if group for item in group.endpoints}

    def free(self) -> list[GroupFreeSlots]:
        """Return the number of free slots of each group of which this node is the broker."""
        now = _now()
        return [
            GroupFreeSlots(
                name, sum(self._free_slots(state, item, now) for item in self._usable(state))
            )
            for name, state in self._states.items()
        ]

    async def run(self) -> None:
        """End expired leases and remove idle groups until cancelled."""
        opened = -math.inf
        while True:
            now = _now()
            if now - opened >= OPEN_EVERY_S:
                opened = now
                self._open_own(now)
            for state in list(self._states.values()):
                self._expire(state, now)
                if now - state.last_demand > IDLE_S:
                    del self._states[state.group.name]
                else:
                    self._grant(state, now)
            await asyncio.sleep(SWEEP_S)

    def _open_own(self, now: float) -> None:
        """Create the state of this node's groups before the first demand arrives.

        Otherwise the first request to a group would have to wait for ``START_S``.
        """
        live = self._members.live()
        pools = {name: self._groups.for_pool(name) for name in self._view.names()}
        known_live, known_pools = self._own_groups_inputs
        if live != known_live or not _same_lists(pools, known_pools):
            self._own_groups_inputs = list(live), pools
            self._own_groups = [
                group
                for groups in pools.values()
                for group in groups
                if self._groups.broker(group) == self._transport.node
            ]
        for group in self._own_groups:
            state = self._open_group(group.name, now)
            if state is not None:
                state.last_demand = now

    def _on_demand(self, sender: str, demand: Demand) -> None:
        now = _now()
        state = self._open_group(demand.group, now)
        if state is None:
            return
        state.last_demand = now
        node = state.nodes.setdefault(sender, _NodeDemand())
        if demand.seq <= node.seq and now - node.received < LEASE_S:
            return
        node.seq, node.received = demand.seq, now
        if not self._update_leases(state, sender, demand, now):
            resend = Grants(state.group.name, [], state.waits, demand.seq)
            self._transport.send(sender, resend)
        node.oldest_ms = demand.oldest_ms
        node.waiting, node.listed = Counter(), Counter()
        for item in demand.waiting:
            node.waiting[item.tier, item.preferred] += item.count
            node.listed[item.tier] += item.count
        for tier in state.leases.offered_tiers(sender):
            _remove_waiting(node.waiting, tier)
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
                self._record_release(state, lease, item, now)
            elif sender in state.nodes:
                state.nodes[sender].refused_until[item.endpoint] = now + REFUSAL_S
            state.leases.end(sender, item.id)
            self._update_granted(state)
        self._grant(state, now)

    def _open_group(self, name: str, now: float) -> _GroupState | None:
        state = self._states.get(name)
        group = self._groups.find(name)
        if group is None:
            return None
        if state is None:
            state = self._states[name] = _GroupState(group, now, now, self._headroom())
            asyncio.get_running_loop().call_later(START_S, self._start, state)
        state.group = group
        return state

    def _start(self, state: _GroupState) -> None:
        self._grant(state, _now())

    def _update_leases(self, state: _GroupState, sender: str, demand: Demand, now: float) -> bool:
        match = state.leases.apply_demand(sender, demand, now)
        self._update_granted(state)
        return match

    def _update_granted(self, state: _GroupState) -> None:
        """Update the numbers of granted slots with the changes of the leases."""
        for endpoint, change in state.leases.pop_changes().items():
            self._runner(state, endpoint).granted += change

    def _record_release(
        self, state: _GroupState, lease: Lease, item: ReleaseItem, now: float
    ) -> None:
        runner = self._runner(state, lease.endpoint)
        if item.crashed:
            if now >= runner.paused_until:
                runner.paused_until = now + runner.pause_s
                runner.pause_s = min(MAX_CRASH_PAUSE_S, 2 * runner.pause_s)
            return
        if item.ok:
            runner.pause_s = CRASH_PAUSE_S
            used = now - lease.granted
            state.use_s += USE_WEIGHT * (used - state.use_s) if state.use_s else used
        first = item.first_token_ms / 1000 if item.first_token_ms >= 0 else None
        between = item.between_tokens_us / 1e6 if item.between_tokens_us >= 0 else None
        if between is not None and item.tokens > 1:
            old = runner.between_tokens_s
            change = SPEED_WEIGHT * (between - old) if old is not None else 0.0
            runner.between_tokens_s = between if old is None else old + change
        target = self._view.target(state.group.pool, lease.tier)
        runner.limit.adapt(first, between, target, runner.granted, now)

    def _expire(self, state: _GroupState, now: float) -> None:
        state.leases.expire(now)
        self._update_granted(state)
        for name in [name for name, node in state.nodes.items() if now - node.received > LEASE_S]:
            del state.nodes[name]

    def _grant(self, state: _GroupState, now: float) -> None:
        """Grant free slots to waiting requests until no request or suitable slot is left."""
        if now - state.started < START_S:
            return
        state.drain.advance(now, state.drain.busy)
        made: dict[str, list[GrantItem]] = {}
        endpoints = self._usable(state)
        slow = self._slow_endpoints(state, endpoints)
        reserved = False
        while waiting := _by_tier(state):
            free = [item for item in endpoints if self._free_slots(state, item, now) > 0]
            tier, only = self._next_tier(state, waiting)
            reserved = not only and self._reserves(state, tier, free, now)
            if reserved:
                break
            free, tier = self._exclude_slow(state, free, slow, tier, waiting, now)
            if not free:
                break
            name = _next_node(state, tier, now)
            node = state.nodes[name]
            free = [item for item in free if node.refused_until.get(item.name, 0.0) <= now]
            preferred = _take_waiting(node, tier)
            if not free:
                continue
            chosen = self._choose(state, free, preferred, endpoints)
            item = self._lease(state, name, chosen.name, tier, now)
            item.only = only
            made.setdefault(name, []).append(item)
            _update_credit(state, waiting, tier)
            state.drain.record_served(tier, 1.0)
            state.headroom.record_grant(tier, now)
        # While reserved slots are kept free, the queue does not count as busy. Otherwise the drain
        # rate would be too low and the expected waits of the high tiers too long, so that the
        # admission floors would refuse tier 2.
        state.drain.advance(now, bool(waiting) and not reserved)
        if now - state.forecast_at >= FORECAST_EVERY_S:
            state.forecast_at = now
            state.waits = _forecast(state, waiting, now)
            self._update_headroom(state, now)
        for name, items in made.items():
            self._answer(state, name, items, now)

    def _reserves(self, state: _GroupState, tier: int, free: list[Endpoint], now: float) -> bool:
        """Return whether the free slots are reserved for higher tiers than this one."""
        reserved = state.headroom.reserved(tier, now)
        return reserved > 0 and sum(self._free_slots(state, item, now) for item in free) <= reserved

    def _update_headroom(self, state: _GroupState, now: float) -> None:
        targets = [self._view.target(state.group.pool, tier) for tier in range(1, MAX_TIER + 1)]
        slots = sum(runner.limit.value for runner in state.runners.values())
        ages = _oldest_ms(state, now)
        state.headroom.update(state.waits, ages, targets, slots, state.use_s, now)

    def _lease(
        self, state: _GroupState, node: str, endpoint: str, tier: int, now: float
    ) -> GrantItem:
        self._last_id += 1
        state.leases.offer(node, self._last_id, endpoint, tier, now)
        self._update_granted(state)
        return GrantItem(self._last_id, endpoint, tier)

    def _answer(self, state: _GroupState, node: str, items: list[GrantItem], now: float) -> None:
        """Send grants and the expected waits to a node."""
        state.nodes[node].answered = now
        self._transport.send(node, Grants(state.group.name, items, state.waits))

    def _next_tier(self, state: _GroupState, waiting: Counter[int]) -> tuple[int, bool]:
        """Return the tier to serve next, and whether it overtakes a higher one by its credit."""
        starving = [tier for tier in waiting if state.credit[tier] >= MAX_CREDIT]
        highest = min(waiting)
        if not starving or highest in starving:
            return highest, False
        return min(starving), True

    def _exclude_slow(
        self,
        state: _GroupState,
        free: list[Endpoint],
        slow: set[str],
        tier: int,
        waiting: Counter[int],
        now: float,
    ) -> tuple[list[Endpoint], int]:
        """Exclude slow endpoints, except for a probe with a request of the lowest waiting tier."""
        fast = [item for item in free if item.name not in slow]
        if fast or not slow:
            return fast, tier
        for item in free:
            runner = self._runner(state, item.name)
            if runner.granted == 0 and now - runner.probed >= PROBE_EVERY_S:
                runner.probed = now
                return [item], max(waiting)
        return [], tier

    def _slow_endpoints(self, state: _GroupState, endpoints: list[Endpoint]) -> set[str]:
        """Return the endpoints whose time between tokens is far above the group's median."""
        gaps_s: dict[str, float] = {}
        for item in endpoints:
            gap_s = self._runner(state, item.name).between_tokens_s
            if gap_s is not None:
                gaps_s[item.name] = gap_s
        if len(gaps_s) < 2:
            return set()
        median = sorted(gaps_s.values())[(len(gaps_s) - 1) // 2]
        return {name for name, gap_s in gaps_s.items() if gap_s > SLOW_FACTOR * median}

    def _choose(
        self, state: _GroupState, free: list[Endpoint], preferred: str, endpoints: list[Endpoint]
    ) -> Endpoint:
        """Choose the preferred endpoint if its load is low, else the better of two random ones."""
        if preferred:
            mean = sum(self._load(state, item) for item in endpoints) / len(endpoints)
            for item in free:
                if item.name == preferred and self._load(state, item) <= AFFINITY_BOUND * mean:
                    return item
        if len(free) == 1:
            return free[0]
        return min(self._rng.sample(free, 2), key=lambda item: self._load(state, item))

    def _load(self, state: _GroupState, item: Endpoint) -> float:
        runner = self._runner(state, item.name)
        return (runner.granted + 1) / runner.limit.value

    def _free_slots(self, state: _GroupState, item: Endpoint, now: float) -> int:
        """Return how many more requests may be granted at an endpoint."""
        runner = self._runner(state, item.name)
        if runner.limit.slots != item.slots:
            runner.limit = ConcurrencyLimit(item.slots)
        if runner.paused_until > now:
            return 0
        limit = runner.limit.value
        if runner.pause_s > CRASH_PAUSE_S:
            limit = 1  # After a crash, one request at a time until one has succeeded.
        elif 0.0 < state.use_s < TURNOVER_S * limit:
            limit += 1
        return max(0, limit - runner.granted)

    def _usable(self, state: _GroupState) -> list[Endpoint]:
        return self._groups.usable(state.group)

    def _runner(self, state: _GroupState, endpoint: str) -> _RunnerState:
        found = state.runners.get(endpoint)
        if found is None:
            item = next((item for item in state.group.endpoints if item.name == endpoint), None)
            found = _RunnerState(ConcurrencyLimit(item.slots if item else 1))
            state.runners[endpoint] = found
        return found


def _same_lists(left: dict[str, list[Group]], right: dict[str, list[Group]]) -> bool:
    """Compare by identity, since a pool whose groups did not change keeps its list object."""
    return left.keys() == right.keys() and all(right[key] is item for key, item in left.items())


def _by_tier(state: _GroupState) -> Counter[int]:
    found: Counter[int] = Counter()
    for node in state.nodes.values():
        for (tier, _), count in node.waiting.items():
            found[tier] += count
    return found


def _next_node(state: _GroupState, tier: int, now: float) -> str:
    """Choose the node whose next request of a tier has probably waited longest.

    A demand contains the age of the oldest request only. The ages of the others are estimated as
    evenly distributed.
    """
    best, best_age = "", -1.0
    for name, node in state.nodes.items():
        count = sum(count for (number, _), count in node.waiting.items() if number == tier)
        if not count:
            continue
        oldest = node.oldest_ms[tier - 1] if tier <= len(node.oldest_ms) else 0
        age = (now - node.received) + oldest / 1000 * count / max(count, node.listed[tier])
        if age > best_age:
            best, best_age = name, age
    return best


def _take_waiting(node: _NodeDemand, tier: int) -> str:
    options = [(count, name) for (number, name), count in node.waiting.items() if number == tier]
    _, preferred = max(options)
    _remove_waiting(node.waiting, tier, preferred)
    return preferred


def _update_credit(state: _GroupState, waiting: Counter[int], served: int) -> None:
    """Add the credit of one grant to each waiting tier, and subtract 1 from that of the served."""
    for tier in waiting:
        credit = HIGH_CREDIT_PER_GRANT if tier <= HIGH_TIER else CREDIT_PER_GRANT
        state.credit[tier] = min(MAX_CREDIT, state.credit[tier] + credit)
    state.credit[served] = max(0.0, state.credit[served] - 1.0)


def _forecast(state: _GroupState, waiting: Counter[int], now: float) -> list[int]:
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


def _oldest_ms(state: _GroupState, now: float) -> dict[int, int]:
    """Return the age of the oldest waiting request by tier, averaged over the nodes."""
    ages: dict[int, list[int]] = {}
    for node in state.nodes.values():
        since = int(1000 * (now - node.received))
        for tier in {number for number, _ in node.waiting}:
            if tier <= len(node.oldest_ms):
                ages.setdefault(tier, []).append(node.oldest_ms[tier - 1] + since)
    return {tier: sum(found) // len(found) for tier, found in ages.items()}


def _remove_waiting(
    waiting: Counter[tuple[int, str]], tier: int, preferred: str | None = None
) -> None:
    """Remove one waiting request of a tier; None as ``preferred`` matches any preference."""
    for key in waiting:
        if key[0] == tier and preferred in (None, key[1]):
            waiting[key] -= 1
            if waiting[key] <= 0:
                del waiting[key]
            return


def _now() -> float:
    return asyncio.get_running_loop().time()
