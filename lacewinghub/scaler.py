"""Orders runners while this node holds the duties; see ``autoscaler`` for what it orders."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from loguru import logger

from ._token_bucket import TokenBucket
from .autoscaler import (
    ANNOUNCE_S,
    REFUSED_PAUSE_S,
    Group,
    GroupState,
    Learnt,
    Plan,
    PoolLoad,
    ScalingState,
    all_groups,
    plan,
)
from .control_api import CallOutcome, ControlApi, RunnerOrder
from .directory import EndpointDirectory, PoolSpec
from .duties import DutyHolder, DutyRecords, LeaseTaken, NodeReports, ReceivedReport
from .message import PoolDemand
from .scaling import RunnerInfo, ScalingRule
from .scaling_record import (
    KEY_PREFIX,
    MALFORMED,
    MAX_RECORD_BYTES,
    VOID,
    decode_pool,
    encode_pool,
)

INTERVAL_S = 1.0
# A new holder waits for this long and for the reports of this share of the live nodes.
FIRST_ORDER_S = 2.0
REPORTED_SHARE = 0.7
REPORT_AGE_S = 3.0
# Share of the permitted calls that orders may use; the rest is for the other duties.
CALLS_SHARE = 0.5

SetGauge = Callable[[str, float], None]


@dataclass(slots=True)
class _PoolOrders:
    """What this holder knows of the orders of one pool.

    Attributes:
        since: Loop time at which it began to see the pool, in seconds.
        restored: True if it knows the orders of the previous holder.
        groups: Number of runners and the last order, by group.
        learnt: What the plans have learnt.
        load: Newest demand; None before enough nodes have reported.
        load_at: Loop time at which the oldest report in it arrived, in seconds.
        slots: Slots of a runner on average; 0 before any was seen.
    """

    since: float
    restored: bool = False
    groups: dict[Group, GroupState] = field(default_factory=dict)
    learnt: Learnt = field(default_factory=Learnt)
    load: PoolLoad | None = None
    load_at: float = float("-inf")
    slots: float = 0.0


class Scaler(DutyRecords):
    """Plans once per second, and sends what has changed.

    Args:
        holder: The lease of the duties.
        reports: Reports of the nodes.
        directory: Configured pools and announced runners.
        api: The control API.
        calls_per_s: Calls per second that the platform accepts from all nodes together.
        set_gauge: Receives the metrics.
        wall: Returns the wall time, in seconds since the epoch.
    """

    def __init__(
        self,
        holder: DutyHolder,
        reports: NodeReports,
        directory: EndpointDirectory,
        api: ControlApi,
        calls_per_s: float,
        set_gauge: SetGauge = lambda name, value: None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._holder = holder
        self._reports = reports
        self._directory = directory
        self._api = api
        per_s = max(1.0, calls_per_s * CALLS_SHARE)
        self._budget = TokenBucket(per_s, burst=per_s)
        self._set_gauge = set_gauge
        self._wall = wall
        self._token: int | None = None
        self._pools: dict[str, _PoolOrders] = {}
        self._void: set[str] = set()
        self._sent = 0
        self._refused = 0
        holder.attach(self)

    def pending_records(self) -> list[tuple[str, bytes]]:
        """Return the orders of each pool and what was learnt."""
        now, wall_s = asyncio.get_running_loop().time(), self._wall()
        records: list[tuple[str, bytes]] = []
        for name, pool in self._pools.items():
            if not pool.restored and pool.learnt.since is None:
                continue  # Nothing is planned yet.
            record = encode_pool(pool.groups, pool.learnt, now, wall_s)
            if len(record) <= MAX_RECORD_BYTES:
                records.append((KEY_PREFIX + name, record))
            else:
                logger.bind(pool=name).error("orders not recorded: too many availability zones")
        written = {key for key, _ in records}
        return [*records, *((key, VOID) for key in sorted(self._void - written))]

    def on_taken(self, taken: LeaseTaken) -> None:
        """Continue from the orders of the previous holder."""
        self._token = taken.token
        self._pools.clear()
        self._void.clear()
        now, wall_s = asyncio.get_running_loop().time(), self._wall()
        for key, value in taken.records.items():
            if not key.startswith(KEY_PREFIX) or value == VOID:
                continue
            if taken.rewound:
                self._void.add(key)
                logger.bind(key=key).warning("orders not taken over: the log lost records")
                continue
            try:
                groups, learnt = decode_pool(value, now, wall_s)
            except MALFORMED as exc:
                logger.bind(key=key).error("record holds no orders: {!r}", exc)
                continue
            name = key.removeprefix(KEY_PREFIX)
            self._pools[name] = _PoolOrders(now, True, groups, learnt)
            logger.bind(
                pool=name, ordered=_text((group, item.ordered) for group, item in groups.items())
            ).info("orders taken over")

    def on_lost(self) -> None:
        """Forget the orders, since the next holder may change them."""
        self._token = None
        self._pools.clear()
        self._set_gauge("runners_desired", 0)
        self._set_gauge("runners_ready", 0)

    async def run(self) -> None:
        """Plan and order once per second while this node holds the duties."""
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await self.step()
            except Exception:
                logger.exception("unexpected error while runners were ordered")
            await asyncio.sleep(max(0.0, started + INTERVAL_S - loop.time()))

    async def step(self) -> None:
        """Plan once for each pool and send the orders."""
        token = self._holder.token()
        if token is None:
            # The same token may come back, for example after a renewal that was late.
            return
        if token != self._token:
            # Another holder may have ordered something else meanwhile.
            self._token = token
            self._pools.clear()
        specs = [(spec, spec.scaling) for spec in self._directory.specs()]
        scaled = [(spec, rule) for spec, rule in specs if rule is not None]
        for name in set(self._pools) - {spec.name for spec, _ in scaled}:
            del self._pools[name]
        desired = ready = 0
        for spec, rule in scaled:
            pool = await self._scale(token, spec, rule)
            desired += sum(item.ordered for item in pool.groups.values())
            ready += sum(item.serving for item in pool.groups.values())
        self._set_gauge("runners_desired", desired)
        self._set_gauge("runners_ready", ready)
        self._set_gauge("scale_orders", self._sent)
        self._set_gauge("scale_refused", self._refused)

    async def _scale(self, token: int, spec: PoolSpec, rule: ScalingRule) -> _PoolOrders:
        now = asyncio.get_running_loop().time()
        pool = self._pools.get(spec.name)
        if pool is None:
            pool = self._pools[spec.name] = _PoolOrders(now)
        runners = self._directory.inventory(spec.name)
        self._update_groups(pool, runners, rule, now)
        found = self._sum_load(spec.name, now)
        if found is not None:
            pool.load, pool.load_at = found
        if runners:
            pool.slots = sum(item.slots for item in runners) / len(runners)
        if now < pool.since + FIRST_ORDER_S or pool.load is None or not pool.slots:
            return pool
        state = ScalingState(
            now,
            rule,
            pool.slots,
            dict(pool.groups),
            pool.load,
            now - pool.load_at,
            pool.learnt,
            # Runners that the previous holder ordered may still boot.
            not pool.restored and now < pool.since + rule.boot_s + ANNOUNCE_S,
        )
        decision = plan(state)
        pool.learnt = decision.learnt
        for group in decision.lost:
            item = pool.groups[group]
            logger.bind(
                pool=spec.name, availability_zone=group.availability_zone, runners=item.ordered
            ).warning("spot runners were reclaimed")
            until = decision.backoff_until
            pool.groups[group] = replace(item, ordered=0, unconfirmed=None, backoff_until=until)
        outcomes = await self._send(token, spec.name, pool, decision)
        _log_decision(spec.name, state, decision, outcomes)
        return pool

    def _update_groups(
        self, pool: _PoolOrders, runners: Sequence[RunnerInfo], rule: ScalingRule, now: float
    ) -> None:
        """Count the runners of each group."""
        serving: Counter[Group] = Counter()
        leaving: Counter[Group] = Counter()
        for runner in runners:
            group = Group(runner.availability_zone, runner.spot)
            if not runner.leaving:
                serving[group] += 1
            elif runner.leaves_at is None or runner.leaves_at > now:
                leaving[group] += 1
        zones = set(rule.zone_prices) | {item.availability_zone for item in runners}
        for group in all_groups(zones):
            item = pool.groups.get(group, GroupState())
            ordered = item.ordered
            if now >= item.ordered_at + rule.boot_s + ANNOUNCE_S and item.unconfirmed is None:
                # Runners that the previous holder ordered, or that were thought to be lost.
                ordered = max(ordered, serving[group])
            pool.groups[group] = replace(
                item, serving=serving[group], leaving=leaving[group], ordered=ordered
            )

    def _sum_load(self, pool: str, now: float) -> tuple[PoolLoad, float] | None:
        """Add up the newest reports, and scale the sum to the live nodes.

        Returns:
            The demand, and when the oldest report in it arrived; None with too few reports.
        """
        fresh = [
            item
            for item in self._reports.reports()
            if item.live and item.received >= now - REPORT_AGE_S
        ]
        live = max(1, self._reports.live_nodes())
        if not fresh or len(fresh) < REPORTED_SHARE * live:
            return None
        total = _total(_demand_of(pool, fresh), max(1.0, live / len(fresh)))
        return total, min(item.received for item in fresh)

    async def _send(
        self, token: int, name: str, pool: _PoolOrders, decision: Plan
    ) -> dict[Group, CallOutcome]:
        """Send orders; if the first one is not answered, the others wait for the next second."""
        # Orders that add runners come first.
        orders = sorted(
            decision.orders.items(), key=lambda item: pool.groups[item[0]].ordered - item[1]
        )
        outcomes: dict[Group, CallOutcome] = {}
        if not orders:
            return outcomes
        await self._order(token, name, pool, *orders[0], outcomes)
        if outcomes.get(orders[0][0]) in (CallOutcome.UNANSWERED, CallOutcome.LIMITED, None):
            return outcomes
        await asyncio.gather(
            *(self._order(token, name, pool, *item, outcomes) for item in orders[1:])
        )
        return outcomes

    async def _order(
        self,
        token: int,
        name: str,
        pool: _PoolOrders,
        group: Group,
        count: int,
        outcomes: dict[Group, CallOutcome],
    ) -> None:
        """Send one order, unless the lease or the budget of calls has run out."""
        loop = asyncio.get_running_loop()
        if self._holder.token() != token or not self._budget.try_spend(loop.time()):
            return
        # Set before the call, since a cancelled call may have been executed.
        pool.groups[group] = replace(pool.groups[group], unconfirmed=count)
        order = RunnerOrder(name, group.availability_zone, count, group.spot)
        self._sent += 1
        outcome = outcomes[group] = await self._api.order_runners(token, order)
        item = pool.groups[group]
        if outcome is CallOutcome.ACCEPTED:
            item = replace(item, ordered=count, ordered_at=loop.time(), unconfirmed=None)
        elif outcome is not CallOutcome.UNANSWERED:
            self._refused += 1
            item = replace(item, unconfirmed=None)
            if outcome is not CallOutcome.LIMITED:
                item = replace(item, backoff_until=loop.time() + REFUSED_PAUSE_S)
        pool.groups[group] = item


def _demand_of(pool: str, reports: Iterable[ReceivedReport]) -> list[PoolDemand]:
    return [demand for item in reports for demand in item.report.demand if demand.pool == pool]


def _total(items: Sequence[PoolDemand], scale: float) -> PoolLoad:
    return PoolLoad(
        in_flight=scale * sum(item.in_flight for item in items),
        queued=scale * sum(item.queued for item in items),
        arrivals_per_s=scale * sum(item.arrivals_per_s for item in items),
        prompt_tokens_per_s=scale * sum(item.prompt_tokens_per_s for item in items),
        on_time_per_s=scale * sum(item.on_time_per_s for item in items),
        late_per_s=scale * sum(item.late_per_s for item in items),
        refused_per_s=scale * sum(item.refused_per_s for item in items),
    )


def _text(counts: Iterable[tuple[Group, object]]) -> str:
    return " ".join(
        f"{group.availability_zone}{'/spot' if group.spot else ''}={value}"
        for group, value in sorted(counts)
    )


def _log_decision(
    pool: str, state: ScalingState, decision: Plan, outcomes: dict[Group, CallOutcome]
) -> None:
    load, learnt = state.load, decision.learnt
    assert load is not None
    logger.bind(
        pool=pool,
        age_s=round(state.load_age_s, 1),
        busy=round(load.busy),
        in_flight=round(load.in_flight),
        queued=round(load.queued),
        prompt_tokens_per_s=round(load.prompt_tokens_per_s),
        on_time=None if load.on_time_share is None else round(load.on_time_share, 3),
        refused_per_s=round(load.refused_per_s, 2),
        utilisation=round(learnt.utilisation, 3),
        late_tokens=round(min(learnt.late_tokens, 1e9)),
        needed=[round(item, 1) for item in decision.needed],
        serving=_text((group, item.serving) for group, item in state.groups.items()),
        ordered=_text((group, item.ordered) for group, item in state.groups.items()),
        orders=_text(decision.orders.items()),
        outcomes=_text(outcomes.items()),
        wait=decision.reason,
    ).info("runners planned")
