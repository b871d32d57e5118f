"""Tests of the queues of waiting requests."""

import asyncio
import unittest
from collections import Counter
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghub.queue import FifoQueue, TierQueue, Waiter, WaitQueue
from lacewinghub.request import Request
from lacewinghub.tables import Target


def waiter(
    number: int,
    tier: int = 1,
    workspace: str = "w",
    cost: float = 1.0,
    weight: float = 1.0,
    **members: Any,
) -> Waiter:
    """Return a waiter; ``number`` is both its request id and its time of arrival."""
    req = Request(
        str(number), workspace, "c", tier, "p", {}, float(number), 9.0, Target(), weight=weight
    )
    return Waiter(req, asyncio.Future(loop=_LOOP), cost, **members)


_LOOP = asyncio.new_event_loop()


def tearDownModule() -> None:
    """Close the loop of the futures."""
    _LOOP.close()


def _drain(queue: WaitQueue) -> list[str]:
    found = []
    while (item := queue.pop()) is not None:
        found.append(item.req.id)
    return found


class OrderTest(unittest.TestCase):
    """Waiters are served in the right order, and none is lost."""

    def test_order(self) -> None:
        cases = [
            ("fifo ignores tiers", FifoQueue, [(1, 3, "a"), (2, 1, "a")], ["1", "2"]),
            ("higher tier first", TierQueue, [(1, 3, "a"), (2, 1, "a"), (3, 2, "a")], list("231")),
            ("arrival within a tier", TierQueue, [(1, 1, "a"), (2, 1, "a")], ["1", "2"]),
            (
                "workspaces take turns",
                TierQueue,
                [(1, 1, "a"), (2, 1, "a"), (3, 1, "a"), (4, 1, "b")],
                ["1", "4", "2", "3"],
            ),
        ]
        for name, kind, items, expected in cases:
            with self.subTest(name):
                queue = kind()
                for number, tier, workspace in items:
                    queue.push(waiter(number, tier, workspace))
                self.assertEqual(_drain(queue), expected)

    def test_resumed_requests_go_first_in_their_tier_and_are_never_displaced(self) -> None:
        queue = TierQueue()
        queue.push(waiter(1, 2))
        queue.push(waiter(2, 2, resumed=True))
        queue.push(waiter(3, 1))
        queue.push(waiter(4, 3, resumed=True))
        lowest = queue.lowest()
        self.assertEqual(lowest.req.id if lowest else "", "1")
        self.assertEqual(_drain(queue), ["3", "2", "1", "4"])

    def test_fitting_waiter_is_preferred_and_unfit_one_skipped(self) -> None:
        cases = [
            ("best rating", {"1": 1, "2": 2}, "2"),
            ("first of equals", {"1": 1, "2": 1}, "1"),
            ("unfit is skipped", {"1": 0, "2": 1}, "2"),
            ("lower tier when the higher one is unfit", {"1": 0, "2": 0, "3": 1}, "3"),
            ("none fits", {}, None),
        ]
        for name, ratings, expected in cases:
            with self.subTest(name):
                queue = TierQueue()
                queue.push(waiter(1, 1, "a"))
                queue.push(waiter(2, 1, "b"))
                queue.push(waiter(3, 2, "a"))
                found = queue.pop(lambda item, ratings=ratings: ratings.get(item.req.id, 0))
                self.assertEqual(found.req.id if found else None, expected)
                self.assertEqual(len(queue), 3 - (expected is not None))

    def test_displaced_first_is_the_newest_of_the_largest_workspace_of_the_lowest_tier(
        self,
    ) -> None:
        queue = TierQueue()
        for number, tier, workspace in [(1, 1, "a"), (2, 4, "b"), (3, 4, "a"), (4, 4, "b")]:
            queue.push(waiter(number, tier, workspace))
        found = queue.lowest()
        self.assertEqual(found.req.id if found else "", "4")

    def test_weighted_shares(self) -> None:
        queue = TierQueue()
        for number in range(60):
            queue.push(waiter(number, 1, "heavy", weight=2.0))
            queue.push(waiter(100 + number, 1, "light"))
        served: Counter[str] = Counter()
        for _ in range(60):
            item = queue.pop()
            assert item is not None
            served[item.req.workspace] += 1
        self.assertAlmostEqual(served["heavy"], 40, delta=1)

    def test_idle_workspace_accumulates_no_credit(self) -> None:
        queue = TierQueue()
        for number in range(100):
            queue.push(waiter(number, 1, "busy"))
            queue.pop()
        for number in range(10):
            queue.push(waiter(200 + number, 1, "busy"))
            queue.push(waiter(300 + number, 1, "new"))
        first = [queue.pop() for _ in range(10)]
        served = Counter(item.req.workspace for item in first if item)
        self.assertAlmostEqual(served["busy"], 5, delta=1)


_OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(1, 4), st.sampled_from("abc")),
        st.tuples(st.just("pop"), st.just(0), st.just("")),
        st.tuples(st.just("remove"), st.integers(0, 30), st.just("")),
    ),
    max_size=60,
)


class DifferentialTest(unittest.TestCase):
    """Random operations give the same results as a plain list."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_OPERATIONS)
    def test_one_workspace_equals_a_sorted_list(self, operations: list[tuple]) -> None:
        queue, plain = TierQueue(), []
        for number, (kind, value, _) in enumerate(operations):
            if kind == "push":
                item = waiter(number, value)
                queue.push(item)
                plain.append(item)
            elif kind == "pop":
                plain.sort(key=lambda item: (item.req.tier, item.req.arrived))
                expected = plain.pop(0) if plain else None
                self.assertIs(queue.pop(), expected)
            elif value < len(plain):
                self.assertTrue(queue.remove(plain.pop(value)))
            self.assertEqual(len(queue), len(plain))
            self.assertEqual(queue.counts(), Counter(item.req.tier for item in plain))
            self.assertEqual(set(queue), set(plain))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_OPERATIONS)
    def test_several_workspaces_keep_tier_order_and_lose_nothing(
        self, operations: list[tuple]
    ) -> None:
        queue, plain = TierQueue(), []
        for number, (kind, value, workspace) in enumerate(operations):
            if kind == "push":
                item = waiter(number, value, workspace, cost=1 + number % 5)
                queue.push(item)
                plain.append(item)
            elif kind == "pop":
                found = queue.pop()
                if not plain:
                    self.assertIsNone(found)
                    continue
                best = min(item.req.tier for item in plain)
                own = [
                    item
                    for item in plain
                    if item.req.tier == best and item.req.workspace == found.req.workspace
                ]
                self.assertIs(found, own[0])
                plain.remove(found)
            elif value < len(plain):
                queue.remove(plain.pop(value))
            self.assertEqual(queue.work(4), sum(item.cost for item in plain))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.integers(1, 50), min_size=2, max_size=60))
    def test_backlogged_workspaces_differ_by_at_most_two_requests(self, costs: list[int]) -> None:
        queue = TierQueue()
        for number, cost in enumerate(costs):
            queue.push(waiter(number, 1, "a", cost))
            queue.push(waiter(1000 + number, 1, "b", costs[-1 - number]))
        served: Counter[str] = Counter()
        while len({item.req.workspace for item in queue}) == 2:
            item = queue.pop()
            assert item is not None
            served[item.req.workspace] += int(item.cost)
            self.assertLessEqual(abs(served["a"] - served["b"]), 2 * max(costs))
