"""Tests of the adaptive limits, estimators and endpoint selection."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghub.drain import DrainRate
from lacewinghub.length import DEFAULT_TOKENS, MIN_SAMPLES, WINDOW, LengthEstimator
from lacewinghub.limit import ConcurrencyLimit, RetryBudget, RetryRule
from lacewinghub.prefix import BLOCK_WORDS, PrefixCacheIndex, prefix_hashes
from lacewinghub.request import Request
from lacewinghub.selection import (
    REPORT_AGE_S,
    Affinity,
    LeastReportedLoad,
    LoadReports,
    Selection,
    TwoChoices,
)
from lacewinghub.share import MAX_EXCESS, MIN_EXCESS, ServedShares
from lacewinghub.tables import Endpoint, Target

TARGET = Target(first_token_s=1.0, between_tokens_s=0.06)


class ConcurrencyLimitTest(unittest.TestCase):
    """The limit falls when targets are missed and recovers afterwards."""

    def test_direction(self) -> None:
        cases = [
            ("targets met", 0.5, 0.03, 8, 8),
            ("first token late", 1.5, 0.03, 8, 6),
            ("tokens late", 0.5, 0.09, 8, 6),
            ("late with little in use", 1.5, 0.03, 2, 1),
            ("nothing measured", None, None, 8, 8),
        ]
        for name, first, between, in_use, expected in cases:
            with self.subTest(name):
                limit = ConcurrencyLimit(8)
                limit.adapt(first, between, TARGET, in_use, 0.0)
                self.assertEqual(limit.value, expected)

    def test_several_late_answers_of_one_overload_count_once(self) -> None:
        limit = ConcurrencyLimit(8)
        for number in range(6):
            limit.adapt(2.0, 0.03, TARGET, 8, number * 0.1)
        self.assertEqual(limit.value, 6)

    def test_limit_stays_above_zero_and_recovers(self) -> None:
        limit = ConcurrencyLimit(8)
        for number in range(50):
            limit.adapt(9.0, 0.5, TARGET, limit.value, 2.0 * number)
        self.assertEqual(limit.value, 1)
        for number in range(60):
            limit.adapt(0.1, 0.02, TARGET, limit.value, 200.0 + number)
        self.assertEqual(limit.value, 8)


class RetryBudgetTest(unittest.TestCase):
    """Retries are limited to a share of the requests, but possible when traffic is low."""

    def test_share_of_requests(self) -> None:
        budget = RetryBudget(share=0.1, min_per_s=0.0, burst=10.0)
        while budget.try_spend(0.0):
            pass
        for _ in range(50):
            budget.note_request()
        self.assertEqual(sum(budget.try_spend(0.0) for _ in range(50)), 5)

    def test_minimum_rate(self) -> None:
        budget = RetryBudget(min_per_s=1.0, burst=2.0)
        self.assertEqual([budget.try_spend(0.0) for _ in range(3)], [True, True, False])
        self.assertEqual([budget.try_spend(1.0), budget.try_spend(1.0)], [True, False])


class RetryRuleTest(unittest.TestCase):
    """The retries of all nodes together stay within the rule, also in a retry storm."""

    def test_sum_over_the_nodes_in_every_window(self) -> None:
        rule = RetryRule(ratio=0.2, minimum=58, window_s=10.0)
        loads = [("calm", 1.0, 1.0), ("storm", 40.0, 40.0), ("after a pause", 0.0, 40.0)]
        for name, before_per_s, per_s in loads:
            for nodes in (1, 9, 12):
                with self.subTest(name, nodes=nodes):
                    retries, requests = self.retry_all(rule, nodes, before_per_s, per_s)
                    for start in range(len(retries) - 100):
                        window = slice(start, start + 100)
                        earlier = slice(max(0, start - 100), start)
                        counted = max(sum(requests[window]), sum(requests[earlier]))
                        allowed = rule.ratio * counted + rule.minimum
                        self.assertLessEqual(sum(retries[window]), allowed)

    def retry_all(
        self, rule: RetryRule, nodes: int, before_per_s: float, per_s: float
    ) -> tuple[list[int], list[int]]:
        """Retry every request for 40 s; return retries and requests by tenth of a second."""
        budgets = [rule.for_node(12) for _ in range(nodes)]
        rng = random.Random(3)
        retries, requests = [0] * 400, [0] * 400
        for tick in range(400):
            rate = before_per_s if tick < 150 else per_s
            requests[tick] = int(rate / 10 + rng.random())
            for _ in range(requests[tick]):
                budget = rng.choice(budgets)
                budget.note_request(tick / 10)
                retries[tick] += budget.try_spend(tick / 10)
        return retries, requests


class LengthTest(unittest.TestCase):
    """Estimates come from the right class and workspace and from recent answers."""

    def test_sources(self) -> None:
        lengths = LengthEstimator()
        self.assertEqual(lengths.quantile("c", "w", 0.5), DEFAULT_TOKENS)
        for number in range(MIN_SAMPLES):
            lengths.add("c", "w", 100)
            lengths.add("c", f"other-{number}", 900)
        self.assertEqual(lengths.quantile("c", "w", 0.5), 100)
        self.assertEqual(lengths.quantile("c", "new", 0.9), 900)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.integers(1, 5000), min_size=MIN_SAMPLES, max_size=2 * WINDOW))
    def test_quantiles_equal_those_of_the_latest_window(self, tokens: list[int]) -> None:
        lengths = LengthEstimator()
        for value in tokens:
            lengths.add("c", "w", value)
        window = sorted(tokens[-WINDOW:])
        for fraction in (0.5, 0.9):
            expected = window[min(len(window) - 1, int(fraction * len(window)))]
            self.assertEqual(lengths.quantile("c", "w", fraction), expected)


class PrefixTest(unittest.TestCase):
    """Only runners that can have cached a prefix are preferred."""

    def test_hashes_cover_the_prompt_up_to_each_block(self) -> None:
        words = [f"w{number}" for number in range(3 * BLOCK_WORDS)]
        whole = prefix_hashes(" ".join(words))
        self.assertEqual(len(whole), 3)
        self.assertEqual(prefix_hashes(" ".join(words[: 2 * BLOCK_WORDS + 5])), whole[:2])
        changed = ["x", *words[1:]]
        self.assertFalse(set(prefix_hashes(" ".join(changed))) & set(whole))
        self.assertEqual(prefix_hashes("short"), ())

    def test_best(self) -> None:
        prefixes = PrefixCacheIndex()
        prefixes.record("a", (1, 2), 10)
        prefixes.record("b", (1, 2, 3), 10)
        cases = [
            ((1, 2, 3, 4), ["a", "b"], "b"),
            ((1, 2, 3, 4), ["a"], "a"),
            ((2, 3), ["a", "c"], "a"),
            ((9, 1), ["a", "b"], ""),
            ((), ["a"], ""),
        ]
        for prefix, endpoints, expected in cases:
            with self.subTest(prefix=prefix):
                self.assertEqual(prefixes.best(prefix, endpoints), expected)

    def test_limited_by_the_cache_and_corrected_by_events(self) -> None:
        prefixes = PrefixCacheIndex()
        prefixes.record("a", range(10), 4)
        self.assertEqual(prefixes.matching_blocks("a", range(10)), 0)
        self.assertEqual(prefixes.matching_blocks("a", (6, 7, 8, 9)), 4)
        prefixes.evict("a", [8])
        self.assertEqual(prefixes.matching_blocks("a", (6, 7, 8, 9)), 2)
        prefixes.forget("a")
        self.assertEqual(prefixes.matching_blocks("a", (6, 7)), 0)


class DrainRateTest(unittest.TestCase):
    """Idle time does not change the rate."""

    def test_rate(self) -> None:
        drain = DrainRate(0.02)
        self.assertIsNone(drain.rate(1))
        self.assertEqual(drain.rate(1, prior=5.0), 5.0)
        now = 0.0
        for number in range(400):
            drain.advance(now, True)
            drain.record_served(1 if number % 2 else 2, 1.0)
            now += 0.1
        drain.advance(now, False)
        top, low = drain.rate(1) or 0.0, drain.rate(3) or 0.0
        self.assertAlmostEqual(top, 10.0, delta=1.0)
        self.assertLess(low, 1.0)
        drain.advance(now + 3600, False)
        self.assertAlmostEqual(drain.rate(1) or 0.0, top, delta=0.1)


class ServedSharesTest(unittest.TestCase):
    """The excess of a workspace follows its share of the recent work."""

    def test_excess(self) -> None:
        shares = ServedShares()
        self.assertEqual(shares.excess("a", 0.0), 1.0)
        shares.add("a", 900.0, 0.0)
        shares.add("b", 90.0, 0.0)
        shares.add("c", 10.0, 0.0)
        self.assertEqual(shares.excess("a", 0.0), MAX_EXCESS)
        self.assertEqual(shares.excess("c", 0.0), MIN_EXCESS)
        shares.add("b", 0.0, 1000.0)
        self.assertEqual(shares.excess("new", 1000.0), 1.0)


class SelectionTest(unittest.IsolatedAsyncioTestCase):
    """Load is spread over the endpoints, and affinity ends at a load limit."""

    async def asyncSetUp(self) -> None:
        self.now = asyncio.get_running_loop().time()
        self.items = [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", "z", 4) for n in range(3)]
        self.reports = LoadReports()
        self.prefixes = PrefixCacheIndex()
        self.req = Request("q", "w", "c", 1, "p", {}, 0.0, 1.0, Target(), prefix=(1, 2))

    def _choose(self, selection: Selection, **in_flight: int) -> str:
        return selection.choose(self.req, self.items, in_flight).name

    async def test_least_reported_ignores_own_requests(self) -> None:
        self.reports.update("r0", 1, 0, self.now)
        self.assertEqual(self._choose(LeastReportedLoad(self.reports), r1=9), "r1")

    async def test_older_report_does_not_replace_a_newer_one(self) -> None:
        self.reports.update("r0", 3, 1, self.now)
        self.reports.update("r0", 0, 0, self.now - 0.5)
        self.assertEqual(self.reports.load("r0"), 4)

    async def test_an_old_report_is_ignored(self) -> None:
        # Guards against an endpoint that is avoided for good because of a load that it once stated.
        self.reports.update("r0", 10**9, 0, self.now - REPORT_AGE_S - 0.1)
        self.assertEqual(self.reports.load("r0"), 0)

    async def test_two_choices_never_takes_the_most_loaded_of_three(self) -> None:
        self.reports.update("r0", 4, 4, self.now)
        selection = TwoChoices(self.reports, random.Random(1))
        self.assertNotIn("r0", {self._choose(selection, r1=1) for _ in range(50)})

    async def test_affinity_within_its_bound(self) -> None:
        self.prefixes.record("r2", (1, 2), 10)
        fallback = LeastReportedLoad(self.reports)
        selection = Affinity(self.prefixes, fallback, self.reports)
        cases = [("equal load", {"r0": 2, "r1": 2, "r2": 2}, "r2"), ("too loaded", {"r2": 4}, "r0")]
        for name, in_flight, expected in cases:
            with self.subTest(name):
                self.assertEqual(self._choose(selection, **in_flight), expected)
