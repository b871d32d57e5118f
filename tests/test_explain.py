"""Tests that ``explain`` finds the cause of a failed request in the logs of real nodes."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from loguru import logger

from lacewinghub.cli import run_command
from lacewinghub.errors import BadRequest
from lacewinghub.explain import explain
from lacewinghub.fakes.platform_runner import RunnerFault
from lacewinghub.logs import format_line

from .platform_cluster import PlatformCase


class TestExplain(PlatformCase):
    """Guards against a failed request whose cause does not appear in the logs."""

    async def asyncSetUp(self) -> None:
        self.lines: list[str] = []
        logger.enable("lacewinghub")
        self.sink = logger.add(
            lambda message: self.lines.append(format_line(message.record)), format="{message}"
        )
        await super().asyncSetUp()

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        logger.remove(self.sink)
        logger.disable("lacewinghub")

    async def test_three_kinds_of_failed_request(self) -> None:
        cases = [
            ("refused-1", "/once/a", RunnerFault.FULL, 503, "endpoint_busy"),
            ("broken-1", "/chat/a", RunnerFault.CUT, 200, "endpoint_crashed"),
            ("failed-1", "/once/a", RunnerFault.RESET, 502, "endpoint_crashed"),
        ]
        for attempt, path, fault, status, code in cases:
            with self.subTest(attempt):
                for runner in self.models + self.apps:
                    runner.fail(*[fault] * 4)
                answer = await self.ask(path, attempt=attempt)
                self.assertEqual((answer.status, answer.complete), (status, status != 200))
                await asyncio.sleep(0.1)
                found = explain(attempt, self.lines)
                self.assertTrue(found.lines[0].message.startswith("request received"))
                codes = [item.members.get("code") for item in found.lines]
                self.assertIn(code, codes, found.text())
                for runner in self.models + self.apps:
                    runner._faults.clear()

    async def test_lost_topic_appears_in_the_context(self) -> None:
        logger.bind(topic="config", reason="no answer").warning("topic lost")
        await self.ask("/once/a", attempt="after-1")
        found = explain("after-1", self.lines)
        self.assertIn("topic lost", [item.message for item in found.context])
        self.assertEqual(found.cause, "It was answered completely.")


class TestCommand(unittest.TestCase):
    def test_explain_reads_a_log_file(self) -> None:
        line = {
            "time": "2026-01-01T00:00:00.000+00:00",
            "node": "n1",
            "message": "request shed",
            "request_id": "r-1",
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.log"
            path.write_text("no log line\n" + json.dumps(line) + "\n")
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                known = run_command(["explain", "r-1", str(path)])
                unknown = run_command(["explain", "r-2", str(path)])
                missing = run_command(["explain", "r-1", str(path) + "-gone"])
        self.assertEqual((known, unknown, missing), (0, 1, 2))
        self.assertIn("did not run", out.getvalue())

    def test_unknown_requests(self) -> None:
        with self.assertRaises(BadRequest):
            explain("r-1", ["", "{}", '{"time": "x"}'])


if __name__ == "__main__":
    unittest.main()
