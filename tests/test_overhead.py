"""Tests of the measurement of the overhead of a node."""

import argparse
import contextlib
import io
import json
import unittest

from lacewinghub.overhead import quantiles, run


class OverheadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a measurement that loses tokens or confuses its paths."""

    async def test_each_way_relays_all_tokens(self) -> None:
        args = argparse.Namespace(
            streams=[3], seconds=0.4, interval=0.02, flood=False, profile="", serve=None, source=""
        )
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            found = await run(args)
        self.assertEqual([item.via for item in found], ["direct", "relay", "node"])
        for item in found:
            self.assertEqual((item.tokens, item.complete), (60, True))
            self.assertGreater(item.first_ms["p50"], 0)
            self.assertLess(item.token_ms["p50"], 1000)
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        self.assertEqual([line["via"] for line in lines], ["direct", "relay", "node"])

    def test_quantiles_are_in_milliseconds(self) -> None:
        found = quantiles([n / 1000 for n in range(100)])
        self.assertEqual(found, {"p50": 50.0, "p95": 95.0, "p99": 99.0})
        self.assertEqual(quantiles([]), {"p50": 0.0, "p95": 0.0, "p99": 0.0})
