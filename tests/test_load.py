"""Tests of the load tool and of the client of a node."""

import asyncio
import unittest
from typing import Any

from lacewinghub import load
from lacewinghub.errors import BadRequest, ExecutionStatus, Unreachable
from lacewinghub.fake_runner import EngineConfig, FakeRunner, expected_text
from lacewinghub.load import LoadRun, LoadScenario, parse_scenario
from lacewinghub.node_client import (
    CONNECTION_REFUSED,
    DISCONNECTED,
    OUTCOME_OK,
    CallResult,
    NodeClient,
)
from lacewinghub.tables import Target

SCENARIO = """
{
  // Two classes, the second one with a burst.
  "name": "mixed", "seed": 3, "duration_s": 1, "check_answers": true,
  "workspaces": [{"name": "large", "key": "k1", "share": 4}, {"name": "small", "key": "k2"}],
  "classes": [
    {"name": "quote", "model": "m", "rate_s": 20, "output_tokens": [3, 9],
     "target": {"first_token_s": 5}},
    {"name": "draft", "model": "m", "rate_s": 10, "output_tokens": [3, 9], "prefix_words": 64,
     "bursts": [{"at_s": 0.5, "length_s": 0.5, "factor": 5}], "stream": false},
  ],
}
"""


def _scenario(**members: Any) -> LoadScenario:
    scenario = parse_scenario(SCENARIO)
    for name, value in members.items():
        setattr(scenario, name, value)
    return scenario


class PlanTest(unittest.TestCase):
    """Guards against a plan that is not repeatable, unbounded or of a wrong rate."""

    def test_same_seed_gives_the_same_requests(self) -> None:
        first, second = load.plan_requests(_scenario()), load.plan_requests(_scenario())
        self.assertEqual(first, second)
        self.assertNotEqual(first, load.plan_requests(_scenario(seed=4)))

    def test_rates_bursts_and_shares(self) -> None:
        shots = load.plan_requests(_scenario(duration_s=100.0))
        quotes = [shot for shot in shots if shot.load.name == "quote"]
        drafts = [shot for shot in shots if shot.load.name == "draft"]
        self.assertAlmostEqual(len(quotes), 2_000, delta=200)
        self.assertAlmostEqual(len(drafts), 1_020, delta=150)
        large = sum(shot.caller.name == "large" for shot in shots)
        self.assertAlmostEqual(large / len(shots), 0.8, delta=0.05)
        self.assertEqual(len(load.plan_requests(_scenario(duration_s=100.0, max_requests=50))), 50)

    def test_repeats_share_key_and_body_but_not_the_node(self) -> None:
        scenario = parse_scenario(
            '{"name": "b", "duration_s": 5, "workspaces": [{"name": "w", "key": "k"}],'
            '"classes": [{"name": "book", "service": "s", "rate_s": 10, "repeat": 1}]}'
        )
        by_key: dict[str, list[load.PlannedRequest]] = {}
        for shot in load.plan_requests(scenario):
            by_key.setdefault(shot.key, []).append(shot)
        for pair in by_key.values():
            self.assertEqual(len(pair), 2)
            self.assertEqual(pair[0].body, pair[1].body)
            self.assertEqual(abs(pair[1].node - pair[0].node), 1)

    def test_wrong_scenarios_are_refused_with_their_place(self) -> None:
        cases = [
            ('"rate_s": 20', '"rate_s": 0', "classes.0.rate_s"),
            ('"duration_s": 1', '"duration_s": 90000', "duration_s"),
            ('"output_tokens": [3, 9]', '"output_tokens": [9, 3]', "classes.0.output_tokens"),
            ('"stream": false', '"flow": 1', "classes.1.flow"),
            ('"model": "m", "rate_s": 20', '"rate_s": 20', "classes.0"),
            ("{\n  //", "[", "not JSON"),
        ]
        for old, new, place in cases:
            with self.subTest(new), self.assertRaises(BadRequest) as caught:
                parse_scenario(SCENARIO.replace(old, new))
            self.assertIn(place, caught.exception.message)
        with self.assertRaises(BadRequest):
            load.read_scenario("missing.json")

    def test_addresses(self) -> None:
        found = load.check_addresses("127.0.0.1:80, [::1]:81")
        self.assertEqual(found, ["127.0.0.1:80", "[::1]:81"])
        self.assertEqual(load.check_addresses("10.0.0.1:80", remote=True), ["10.0.0.1:80"])
        for text in ("10.0.0.1:80", "localhost:80", "127.0.0.1", ""):
            with self.subTest(text), self.assertRaises(BadRequest):
                load.check_addresses(text)

    def test_targets(self) -> None:
        result = CallResult(OUTCOME_OK, first_token_s=0.5, between_tokens_s=0.02, completion_s=3.0)
        cases = [
            (Target(), True),
            (Target(first_token_s=0.5), True),
            (Target(first_token_s=0.4), False),
            (Target(between_tokens_s=0.01), False),
            (Target(completion_s=2.9), False),
        ]
        for target, expected in cases:
            with self.subTest(target):
                self.assertEqual(load.meets_targets(target, result), expected)


class RunTest(unittest.IsolatedAsyncioTestCase):
    """Guards against results that miss requests or take wrong answers for right ones.

    A stand-in runner serves in place of a node: both speak the same protocol.
    """

    async def asyncSetUp(self) -> None:
        self.runner = FakeRunner("r1", EngineConfig(step_s=0.001), poison_down_s=None)
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)

    async def test_every_request_is_counted_and_compared(self) -> None:
        run = LoadRun(_scenario(), [self.runner.address])
        found = await run.run(drain_s=10)
        planned = load.plan_requests(_scenario())
        self.assertEqual(found["requests"], len(planned))
        self.assertEqual(found["answered"], len(planned))
        self.assertEqual(found["wrong"], 0)
        self.assertEqual(found["attainment"], {"quote": 1.0, "draft": 1.0})
        tokens = sum(shot.body["metadata"]["output_tokens"] for shot in planned)
        self.assertEqual(found["tokens"], tokens)
        self.assertGreater(found["classes"]["quote"]["first_token_ms"]["p99"], 0)

    async def test_duplicated_chunks_count_as_wrong(self) -> None:
        self.runner.set_faults(duplicate=1.0)
        found = await LoadRun(_scenario(), [self.runner.address]).run(drain_s=10)
        quote = found["classes"]["quote"]
        self.assertEqual(quote["wrong"], quote["requests"])
        self.assertEqual(found["classes"]["draft"]["wrong"], 0)

    async def test_callers_leave_and_the_run_ends(self) -> None:
        self.runner.freeze()
        scenario = _scenario()
        for item in scenario.classes:
            item.disconnect = 0.5
        found = await LoadRun(scenario, [self.runner.address]).run(drain_s=0.5)
        self.assertGreater(found["left"], 0)
        self.assertEqual(found["answered"], 0)
        self.assertEqual(found["requests"] + found["left"], len(load.plan_requests(scenario)))
        self.assertEqual(found["unknown"], found["requests"])

    async def test_outcomes_of_a_broken_node(self) -> None:
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": "a"}],
            "metadata": {"output_tokens": 5},
            "stream": True,
        }
        async with NodeClient() as client:
            good = await client.chat(self.runner.address, "k", body)
            self.runner.set_faults(truncate=0.5)
            truncated = [await client.chat(self.runner.address, "k", body) for _ in range(10)]
            self.runner.crash()
            # A kept connection whose end the client has not seen yet gives ``disconnected``.
            await asyncio.sleep(0.05)
            refused = await client.chat(self.runner.address, "k", body)
            with self.assertRaises(Unreachable):
                await client.status(self.runner.address, "k")
        self.assertEqual((good.outcome, good.text), (OUTCOME_OK, expected_text(body)))
        self.assertEqual(
            (refused.outcome, refused.run), (CONNECTION_REFUSED, ExecutionStatus.NOT_RUN)
        )
        for result in truncated:
            complete = result.text == expected_text(body)
            self.assertEqual(result.outcome, OUTCOME_OK if complete else DISCONNECTED)
