"""Tests of the demo and the embedded deployment."""

import asyncio
import json
import os
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from lacewinghub import demo, load
from lacewinghub.embedded import EmbeddedDeployment, EmbeddedSettings, workspace_key
from lacewinghub.errors import LacewingError, Unauthorized
from lacewinghub.fake_runner import EngineConfig, expected_text
from lacewinghub.node_client import OUTCOME_OK, NodeClient

ROOT = Path(__file__).resolve().parent.parent


class DemoTest(unittest.TestCase):
    """Guards against a demo that hangs, fails or hides a violated guarantee."""

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
        planned = len(load.plan_requests(demo.scenario(demo.example_tables())))
        self.assertEqual(result["requests"], planned)
        self.assertGreater(result["answered"], 0)
        platform = result["platform"]
        self.assertEqual((platform["double_runs"], platform["wrong"]), (0, 0))
        self.assertGreater(platform["answered"], 0.9 * platform["requests"])
        other = sum(sum(codes.values()) for codes in result["errors"].values())
        self.assertEqual(result["answered"] + other, result["requests"])

    def test_broken_guarantees_fail(self) -> None:
        demo.check({"wrong": 0, "double_runs": 0})
        for result in ({"wrong": 1, "double_runs": 0}, {"wrong": 0, "double_runs": 1}):
            with self.subTest(result), self.assertRaises(LacewingError):
                demo.check(result)


class EmbeddedTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are missing in the node status and the burn-rate report."""

    async def asyncSetUp(self) -> None:
        engine = EngineConfig(slots=4, step_s=0.002)
        self.deployment = EmbeddedDeployment(EmbeddedSettings(demo.example_tables(), engine=engine))
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        await self.deployment.publish("test")

    async def _command(self, *argv: str) -> dict[str, Any]:
        process = await asyncio.create_subprocess_exec(
            *[sys.executable, "-m", "lacewinghub", *argv],
            cwd=ROOT,
            env=os.environ | {"LACEWINGHUB_KEY": self.deployment.operator_key},
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        self.assertEqual(process.returncode, 0)
        found = json.loads(out)
        assert isinstance(found, dict)
        return found

    async def test_status_and_report_count_the_requests_of_all_nodes(self) -> None:
        key = workspace_key("te-awa-office")
        body = {
            "model": "kitchen-assistant",
            "messages": [{"role": "user", "content": "two coats?"}],
            "metadata": {"output_tokens": 5},
            "stream": True,
        }
        addresses = self.deployment.addresses
        async with NodeClient() as client:
            for address in addresses:
                result = await client.chat(address, key, body, "quote")
                self.assertEqual((result.outcome, result.text), (OUTCOME_OK, expected_text(body)))
            calls = [
                await client.call(address, key, "bookings", {"slot": 3}, "family-114")
                for address in addresses
            ]
            with self.assertRaises(Unauthorized):
                await client.status(addresses[0], "wrong")
        self.assertEqual([call.outcome for call in calls], [OUTCOME_OK, OUTCOME_OK, OUTCOME_OK])
        self.assertEqual(len({json.dumps(call.body) for call in calls}), 1)
        self.assertEqual(self.deployment.double_runs(), 0)
        status = await self._command("status", addresses[0])
        self.assertEqual(status["config_version"], 1)
        found = await self._command("report", "--status", ",".join(addresses), "--json")
        counts = {name: item["requests"] for name, item in found["classes"].items()}
        self.assertEqual(counts, {"quote": 3, "default": 3})
        self.assertEqual(found["classes"]["quote"]["attainment"], 1.0)
