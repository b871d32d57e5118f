"""Tests of leaving the zone, on a model of three zones against simpler rules."""

import heapq
import itertools
import random
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from lacewinghub.zone_cost import ZoneBalance, ZoneState

ZONES = ("a", "b", "c")
NODES = (24, 110)  # Per zone.
SLOTS = 200.0
SERVICE_S = 1.5
STATE_S = 1.0  # Interval of the states, and their age when they arrive.
STEP_S = 0.02
STALE_S = 3  # A zone whose state is older gets nothing.
BYTES = (40_000, 10_000)
END_S = 60

Choose = Callable[[ZoneBalance, str, dict[str, ZoneState], float], str]


@dataclass
class Result:
    """What happened to the requests: waits by arrival, and those that left zone a per second."""

    waits: list[tuple[float, float]] = field(default_factory=list)
    left: list[int] = field(default_factory=lambda: [0] * END_S)
    to: dict[str, list[int]] = field(default_factory=lambda: {z: [0] * END_S for z in ZONES})

    def mean_wait(self, start: float = 5.0, end: float = END_S) -> float:
        """Return the mean wait of the requests that arrived in a period, in seconds."""
        found = [wait for arrived, wait in self.waits if start <= arrived < end]
        return sum(found) / len(found)

    def swing(self) -> float:
        """Return how far the requests that leave per second vary around their mean."""
        late = self.left[15:50]
        mean = sum(late) / len(late)
        return max(abs(item - mean) for item in late) / mean if mean else 0.0

    @property
    def gigabytes(self) -> float:
        """Bytes between zones."""
        return sum(map(sum, self.to.values())) * sum(BYTES) / 1e9


class Model:
    """Zones with slots and a queue each; every node decides with the same late state.

    Args:
        load: Demand of each zone relative to its slots.
        slots: Returns the slots of a zone at a time.
        cut_off: Returns whether zone c is cut off at a time.
        nodes: Number of nodes in each zone.
    """

    def __init__(
        self,
        load: dict[str, float],
        slots: Callable[[str, float], float] = lambda zone, now: SLOTS,
        cut_off: Callable[[float], bool] = lambda now: False,
        nodes: int = NODES[0],
    ) -> None:
        self.load = load
        self.slots = slots
        self.cut_off = cut_off
        self.rng = random.Random(3)
        self.queues: dict[str, deque[tuple[float, ZoneBalance, str]]] = {z: deque() for z in ZONES}
        self.running: dict[str, int] = dict.fromkeys(ZONES, 0)
        self.rate = {zone: load[zone] * SLOTS / SERVICE_S for zone in ZONES}
        self.ends: list[tuple[float, int, ZoneBalance, str]] = []
        self.nodes = {
            z: [ZoneBalance(z, position=(n + 0.5) / nodes) for n in range(nodes)] for z in ZONES
        }
        self.result = Result()

    def play(self, choose: Choose) -> Result:
        """Let the nodes choose with a rule until the end."""
        states: dict[str, ZoneState] = {}
        late: dict[str, ZoneState] = {}
        for step in range(int(END_S / STEP_S)):
            now = step * STEP_S
            if step % int(STATE_S / STEP_S) == 0:
                states, late = {zone: self.state(zone, now) for zone in ZONES}, states
                for zone, nodes in self.nodes.items():
                    for node in nodes:
                        for state in late.values():
                            if state.zone == zone or not self.is_cut(state.zone, zone, now):
                                node.update(state)
            self.end_requests(now)
            for zone in ZONES:
                if self.rng.random() < self.rate[zone] * STEP_S % 1:
                    self.arrive(zone, choose, late, now)
                for _ in range(int(self.rate[zone] * STEP_S)):
                    self.arrive(zone, choose, late, now)
                self.start_requests(zone, now)
        return self.result

    def is_cut(self, one: str, other: str, now: float) -> bool:
        return "c" in (one, other) and self.cut_off(now)

    def state(self, zone: str, now: float) -> ZoneState:
        slots = self.slots(zone, now)
        excess = len(self.queues[zone]) + max(0.0, self.running[zone] - slots)
        wait_s = excess * SERVICE_S / slots if slots else float("inf")
        return ZoneState(
            zone, wait_s, slots, self.rate[zone] * SERVICE_S, len(self.nodes[zone]), now
        )

    def arrive(self, zone: str, choose: Choose, late: dict[str, ZoneState], now: float) -> None:
        node = self.rng.choice(self.nodes[zone])
        target = choose(node, zone, late, now) if late else zone
        if target != zone:
            self.result.to[target][int(now)] += 1
            self.result.left[int(now)] += zone == "a"
        node.on_sent(target, now)
        self.queues[target].append((now, node, target))

    def start_requests(self, zone: str, now: float) -> None:
        queue = self.queues[zone]
        while queue and self.running[zone] < self.slots(zone, now):
            arrived, node, target = queue.popleft()
            self.result.waits.append((arrived, now - arrived))
            self.running[zone] += 1
            end = now + self.rng.expovariate(1 / SERVICE_S)
            heapq.heappush(self.ends, (end, len(self.result.waits), node, target))

    def end_requests(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, _, node, target = heapq.heappop(self.ends)
            self.running[target] -= 1
            node.on_done(target, now)


def never(node: ZoneBalance, zone: str, late: dict[str, ZoneState], now: float) -> str:
    """Stay in the zone."""
    return zone


def cheapest(node: ZoneBalance, zone: str, late: dict[str, ZoneState], now: float) -> str:
    """Go wherever the wait and the round trip are shortest."""
    return min(late, key=lambda item: late[item].wait_s + node.extra_s(item, *BYTES))


def weighed(node: ZoneBalance, zone: str, late: dict[str, ZoneState], now: float) -> str:
    """Go where the rule under test permits it and the wait is shortest."""
    options = node.options(*BYTES, now)
    return min(options, key=lambda item: late[item].expected_s + options[item])


UNEVEN = {"a": 1.3, "b": 0.6, "c": 0.5}


class TestLoad(unittest.TestCase):
    """Compares the rule with never leaving the zone and with always taking the shortest wait."""

    def test_uneven_demand_is_spread_without_oscillation(self) -> None:
        # Guards against nodes that all leave for the same zone, and all return, at once.
        loads = (UNEVEN, {"a": 1.3, "b": 1.1, "c": 0.4})
        for load, nodes in itertools.product(loads, NODES):
            with self.subTest(load=load, nodes=nodes):
                rules = (never, cheapest, weighed)
                stay, herd, found = (Model(load, nodes=nodes).play(rule) for rule in rules)
                self.assertLess(found.mean_wait(), 0.1 * stay.mean_wait())
                self.assertLess(found.mean_wait(), 0.25 * herd.mean_wait())
                self.assertLess(found.gigabytes, 0.5 * herd.gigabytes)
                self.assertEqual(min(herd.left[15:50]), 0, "the model must show the oscillation")
                self.assertLess(found.swing(), 0.6)

    def test_nothing_leaves_without_need(self) -> None:
        found = Model(dict.fromkeys(ZONES, 0.8)).play(weighed)
        self.assertEqual(found.gigabytes, 0.0)

    def test_a_zone_that_is_cut_off_gets_nothing(self) -> None:
        found = Model(UNEVEN, cut_off=lambda now: 20 <= now < 40).play(weighed)
        self.assertEqual(sum(found.to["c"][20 + STALE_S : 40]), 0)
        self.assertGreater(sum(found.to["c"][:20]), 0)
        self.assertLess(found.mean_wait(23, 40), 0.5)

    def test_requests_stay_again_once_the_own_runners_are_back(self) -> None:
        # The state is up to two seconds old when it is used.
        load = {**UNEVEN, "a": 0.9}
        for left in (0.3, 0.0):
            with self.subTest(left=left):
                found = Model(load, partial(_lose, left)).play(weighed)
                self.assertGreater(min(found.left[12:29]), 0)
                self.assertEqual(sum(found.left[33:]), 0)


def _lose(left: float, zone: str, now: float) -> float:
    return SLOTS * left if zone == "a" and 10 <= now < 30 else SLOTS


class TestRule(unittest.TestCase):
    def states(self, **changes: ZoneState) -> ZoneBalance:
        """Return the rule at a node of zone a, which has a wait of a second."""
        cost = ZoneBalance("a", position=0.5)
        found = {
            "a": ZoneState("a", 1.0, 100.0, 140.0, 10, 0.0),
            "b": ZoneState("b", 0.0, 100.0, 50.0, 10, 0.0),
            **changes,
        }
        for state in found.values():
            cost.update(state)
        return cost

    def test_where_a_request_may_go(self) -> None:
        own, other = self.states()._states.values()
        cases: list[tuple[str, dict[str, ZoneState], float, bool]] = [
            ("gains", {}, 0.0, True),
            ("state too old", {}, STALE_S + 0.1, False),
            ("own state too old", {"b": replace(other, time=4.0)}, 4.0, False),
            ("no spare slots", {"b": replace(other, demand=96.0)}, 0.0, False),
            ("no gain", {"b": replace(other, wait_s=2.0)}, 0.0, False),
            ("no runners there", {"b": replace(other, slots=0.0)}, 0.0, False),
            (
                "no runners anywhere",
                {"a": replace(own, slots=0.0), "b": replace(other, slots=0.0)},
                0.0,
                False,
            ),
        ]
        for name, changes, now, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.states(**changes).may_leave("b", now), expected)
        cost = self.states()
        cost.set_reachable("b", False)
        self.assertFalse(cost.may_leave("b", 0.0))

    def test_nodes_together_send_no_more_than_the_other_zone_has_room_for(self) -> None:
        for spare, nodes in ((45.0, 10), (45.0, 200), (3.0, 73)):
            sent = 0
            for number in range(nodes):
                cost = ZoneBalance("a", position=(number + 0.5) / nodes)
                cost.update(ZoneState("a", 5.0, 100.0, 300.0, nodes, 0.0))
                cost.update(ZoneState("b", 0.0, 100.0, 95.0 - spare, nodes, 0.0))
                while cost.may_leave("b", 0.0):
                    cost.on_sent("b", 0.0)
                    sent += 1
            self.assertEqual(sent, spare)

    def test_hysteresis(self) -> None:
        # A small gain keeps requests leaving, but does not make them leave.
        cost = self.states()
        other = ZoneState("b", 1.37, 100.0, 50.0, 10, 0.0)  # Zone a expects 1.4 s.
        self.assertFalse(self.states(b=other).may_leave("b", 0.0))
        self.assertTrue(cost.may_leave("b", 0.0))
        cost.update(other)
        self.assertTrue(cost.may_leave("b", 0.0))

    def test_size_counts(self) -> None:
        cost = self.states()
        self.assertAlmostEqual(cost.extra_s("b", 40_000, 10_000), 0.0028 + 0.001)
        self.assertEqual(set(cost.options(40_000, 10_000, 0.0)), {"a", "b"})
        self.assertEqual(set(cost.options(10**9, 0, 0.0)), {"a"})

    def test_without_a_place_at_home_any_zone_is_better_than_none(self) -> None:
        cost = self.states(c=ZoneState("c", 0.0, 9.0, 0.0, 10, -9.0))
        self.assertEqual(set(cost.options(1, 1, 0.0, has_home=False)), {"b"})
        cost.set_reachable("b", False)
        self.assertEqual(set(cost.options(1, 1, 0.0, has_home=False)), {"b", "c"})
        self.assertEqual(set(cost.options(1, 1, 0.0)), {"a"})


if __name__ == "__main__":
    unittest.main()
