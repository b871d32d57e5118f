"""Tests of the limits on the silence of endpoints."""

import unittest

from lacewinghub.request import AttemptResult
from lacewinghub.stall import (
    BETWEEN_TOKENS_FLOOR_S,
    FIRST_TOKEN_FLOOR_S,
    MIN_SAMPLES,
    SAMPLES,
    UNKNOWN_S,
    StallLimits,
    StallWatch,
)


class StallLimitsTest(unittest.TestCase):
    """Guards against limits that leave slow runners, or that never leave silent ones."""

    def test_limits_follow_the_largest_recent_times(self) -> None:
        cases: list[tuple[str, list[tuple[float | None, float | None]], float, float]] = [
            ("nothing known", [], UNKNOWN_S, BETWEEN_TOKENS_FLOOR_S),
            ("few", [(0.1, 0.01)] * (MIN_SAMPLES - 1), UNKNOWN_S, BETWEEN_TOKENS_FLOOR_S),
            ("fast", [(0.1, 0.01)] * 8, FIRST_TOKEN_FLOOR_S, BETWEEN_TOKENS_FLOOR_S),
            ("slow", [(0.1, 0.01)] * 8 + [(6.0, 0.1)], 12.0, 4.0),
            ("slow long ago", [(6.0, 0.1)] + [(0.1, 0.01)] * SAMPLES, 5.0, 2.0),
            ("without tokens", [(None, None)] * 20, UNKNOWN_S, BETWEEN_TOKENS_FLOOR_S),
        ]
        for name, times, first_s, between_s in cases:
            with self.subTest(name):
                limits = StallLimits()
                for first, between in times:
                    limits.on_attempt_ended("p", "x", AttemptResult(True, first, between, 10))
                watch = StallWatch(limits, "p", lambda: True)
                self.assertEqual(
                    (watch.timeout_s(False), watch.timeout_s(True)), (first_s, between_s)
                )

    def test_pools_are_apart_and_forgotten(self) -> None:
        limits = StallLimits()
        for _ in range(MIN_SAMPLES):
            limits.on_attempt_ended("p", "x", AttemptResult(True, 9.0, 1.0, 10))
        self.assertEqual((limits.first_token_s("p"), limits.first_token_s("q")), (18.0, UNKNOWN_S))
        limits.retain(["q"])
        self.assertEqual(limits.first_token_s("p"), UNKNOWN_S)


if __name__ == "__main__":
    unittest.main()
