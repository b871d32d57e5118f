"""Tests of the plan on traces of load and of lost runners, against simpler policies.

Each trace is as long as a run of the deployments in docs/design/hard-load.md. The load model is
small: it shows that the plan reacts in time and what it costs, not what real runners achieve.
"""

import asyncio
import math
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, NamedTuple

from lacewinghub.autoscaler import GroupState, PoolLoad, ScalingState, all_groups, plan
from lacewinghub.control_api import CallOutcome, RunnerOrder
from lacewinghub.scaler import Scaler

from .clock import simulate
from .runner_market import CHAT, DRAFT, POOL, RULE, SLOTS, FakeHolder, Kind, Market

LENGTH_S = 84.0
# Acceptance threshold of the page, as a share of the cost of a fixed number of runners.
COST_SHARE = 0.6
# Shares of requests within their target differ by chance by less than this.
NOISE = 0.001

Policy = Callable[[Market], Coroutine[Any, Any, None]]


def wave(kind: Kind, now: float) -> float:
    """Swing by a third."""
    return 1.0 + math.sin(now * 2 * math.pi / 11.0) / 3


def burst(kind: Kind, now: float) -> float:
    """Send bursts of long drafts and of chats twice a minute."""
    if kind is DRAFT and 20 <= now % 30 < 27:
        return 2.5
    return 2.4 if kind is CHAT and 10 <= now % 30 < 15 else 1.0


def dead_for_ten_seconds(order: RunnerOrder, now: float) -> CallOutcome:
    """Answer nothing while most orders are sent."""
    return CallOutcome.UNANSWERED if 5 <= now < 15 else CallOutcome.ACCEPTED


class Trace(NamedTuple):
    name: str
    factor: Callable[[Kind, float], float] = wave
    events: tuple[tuple[float, Callable[[Market], None]], ...] = ()
    answer: Callable[[RunnerOrder, float], CallOutcome] = lambda order, now: CallOutcome.ACCEPTED


TRACES = [
    Trace("wave"),
    Trace("burst", burst),
    Trace("bursts in waves", lambda kind, now: wave(kind, now) * burst(kind, now)),
    Trace("reclaim", events=((25, lambda m: m.reclaim("a", 0.0)),)),
    Trace("reclaim, none available", events=((25, lambda m: m.reclaim("b", 15.0, (True, False))),)),
    Trace(
        "two zones reclaimed",
        events=((25, lambda m: m.reclaim("a")), (25.8, lambda m: m.reclaim("b"))),
    ),
    Trace("release", events=((25, lambda m: m.release()),)),
    Trace("crash", events=((25, lambda m: m.crash(0.2, 4.0)),)),
    Trace("control API dead", answer=dead_for_ten_seconds),
]


async def fixed(market: Market) -> None:
    """Order nothing."""
    return None


async def planned(market: Market) -> None:
    """Order what the plan says."""
    await Scaler(FakeHolder(), market, market, market, 50.0).run()  # type: ignore[arg-type]


async def target_utilisation(market: Market) -> None:
    """Order ordinary runners in proportion to the requests in flight."""
    while True:
        await asyncio.sleep(1.0)
        busy = sum(len(runner.ends) for runner in market.runners) + len(market.waiting)
        count = math.ceil(busy / 0.6 / SLOTS / 3)
        for zone in "abc":
            await market.order_runners(1, RunnerOrder(POOL, zone, max(1, min(38, count))))


def play(trace: Trace, policy: Policy) -> Market:
    """Run a policy on a trace."""

    async def run() -> Market:
        market = Market(trace.factor, trace.answer)
        loop = asyncio.get_running_loop()
        for at, event in trace.events:
            loop.call_at(at, event, market)
        task = asyncio.create_task(policy(market))
        await market.run(LENGTH_S)
        task.cancel()
        return market

    result = simulate(run)
    assert isinstance(result, Market)
    return result


class TestTraces(unittest.TestCase):
    def test_serves_as_many_for_less(self) -> None:
        # Guards against a plan that saves runners at the expense of callers, or does not save.
        for trace in TRACES:
            with self.subTest(trace.name):
                own, before = play(trace, planned), play(trace, fixed)
                simple = play(trace, target_utilisation)
                for name, market in (("plan", own), ("fixed", before), ("utilisation", simple)):
                    print(f"{trace.name}, {name}: {market.on_time:.4f}, {market.cost:.0f}")
                self.assertEqual(own.beyond_limits, 0)
                self.assertGreaterEqual(own.on_time, before.on_time - NOISE)
                self.assertGreaterEqual(own.on_time, simple.on_time - NOISE)
                self.assertLessEqual(own.cost, COST_SHARE * before.cost)


LOAD = PoolLoad(300, 0, 140, 4e5, 139, 0, 0)


def planned_state(load: PoolLoad, spot: int, age_s: float = 0.0) -> ScalingState:
    """Return the state after a minute of a constant load with 4 ordinary runners per zone."""
    groups = {
        group: GroupState(spot if group.spot else 4, 0, spot if group.spot else 4)
        for group in all_groups("abc")
    }
    state = ScalingState(0.0, RULE, SLOTS, groups, load, 0.0)
    for now in range(60):
        state = ScalingState(now, RULE, SLOTS, groups, load, 0.0, plan(state).learnt)
    learnt = replace(state.learnt, shrunk_at=0.0)
    return ScalingState(60.0 + age_s, RULE, SLOTS, groups, load, age_s, learnt)


class TestPlan(unittest.TestCase):
    def test_target_bears_the_loss_of_two_zones(self) -> None:
        # Guards against spot runners that are so few or so unevenly spread that a reclaim of two
        # zones leaves too little for the average demand.
        decision = plan(planned_state(LOAD, 10))
        spot = sorted(count for group, count in decision.target.items() if group.spot)
        ordinary = sum(decision.target.values()) - sum(spot)
        self.assertGreaterEqual((ordinary + spot[0]) * SLOTS, LOAD.busy)

    def test_old_data_shrink_nothing(self) -> None:
        # Guards against scale-in while the reports of the nodes are missing.
        self.assertTrue(plan(planned_state(LOAD, 34)).orders)
        self.assertFalse(plan(planned_state(LOAD, 34, age_s=4.0)).orders)

    def test_never_below_the_minimum(self) -> None:
        idle = PoolLoad(0, 0, 0, 0, 0, 0, 0)
        decision = plan(planned_state(idle, 1))
        for zone in "abc":
            total = sum(n for g, n in decision.target.items() if g.availability_zone == zone)
            self.assertGreaterEqual(total, RULE.minimum)

    def test_late_first_events_add_runners(self) -> None:
        # Guards against a fixed utilisation at which the callers of this engine wait too long.
        late = PoolLoad(300, 0, 140, 4e5, 110, 29, 0)
        before, after = plan(planned_state(LOAD, 10)), plan(planned_state(late, 10))
        self.assertGreater(sum(after.target.values()), 1.2 * sum(before.target.values()))
