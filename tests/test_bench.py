"""Tests of the benchmark."""

import contextlib
import io
import json
import time
import unittest

from lacewinghub import bench

QUICK_LIMIT_S = 60.0  # The target is 20 s on an idle machine; test modules run in parallel.


class BenchTest(unittest.TestCase):
    """Guards against unreadable output and against regressions of the scheduling decisions."""

    def test_quick(self) -> None:
        out = io.StringIO()
        began = time.perf_counter()
        with contextlib.redirect_stdout(out):
            self.assertEqual(bench.main(["--quick"]), 0)
        self.assertLess(time.perf_counter() - began, QUICK_LIMIT_S)
        rows = [json.loads(line) for line in out.getvalue().splitlines()]
        found = {(row["scenario"], row["version"]): row for row in rows}
        self.assertEqual(len(found), 8)
        for scenario in ("overload", "crashes"):
            naive, current = found[scenario, "naive"], found[scenario, "current"]
            self.assertGreaterEqual(current["top_tier"], 0.98)
            self.assertGreaterEqual(current["top_tier"], naive["top_tier"])
        self.assertGreater(
            found["overload", "current"]["goodput"], found["overload", "naive"]["goodput"]
        )

    def test_jain(self) -> None:
        for values, expected in [([1, 1, 1], 1.0), ([1, 0, 0, 0], 0.25), ([], 1.0)]:
            with self.subTest(values=values):
                self.assertAlmostEqual(bench.jain(values), expected)

    def test_fair_shares(self) -> None:
        cases = [
            ({"a": 10, "b": 10}, 10, {"a": 5, "b": 5}),
            ({"a": 1, "b": 10}, 8, {"a": 1, "b": 7}),
            ({"a": 1, "b": 2}, 9, {"a": 1, "b": 2}),
        ]
        for demands, total, expected in cases:
            with self.subTest(demands=demands):
                self.assertEqual(bench.fair_shares(demands, total), expected)
