"""Tests of the demonstration."""

import json
import subprocess
import sys
import unittest
from pathlib import Path

from lacewinghub import demo, load
from lacewinghub.errors import LacewingError

ROOT = Path(__file__).resolve().parent.parent


class DemoTest(unittest.TestCase):
    """Guards against a demonstration that hangs, fails or hides a broken guarantee."""

    def test_ends_by_itself_with_a_result(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "lacewinghub", "demo"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        result = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual((result["double_runs"], result["wrong"]), (0, 0))
        classes = ["booking", "draft", "painter-question", "quote"]
        self.assertEqual(sorted(result["attainment"]), classes)
        planned = len(load.plan(demo.scenario(demo.example_tables())))
        self.assertEqual(result["requests"], planned)
        self.assertGreater(result["answered"], 0)
        other = sum(sum(codes.values()) for codes in result["errors"].values())
        self.assertEqual(result["answered"] + other, result["requests"])

    def test_broken_guarantees_fail(self) -> None:
        demo.check({"wrong": 0, "double_runs": 0})
        for result in ({"wrong": 1, "double_runs": 0}, {"wrong": 0, "double_runs": 1}):
            with self.subTest(result), self.assertRaises(LacewingError):
                demo.check(result)
