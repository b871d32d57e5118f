"""Tests of the gate that holds back long prompts beyond the capacity of their runners."""

import unittest

from lacewinghub.promptgate import PromptGate
from lacewinghub.request import Request
from lacewinghub.tables import Endpoint, Target

from .test_promptsplit import prompt

TARGET = Target(first_token_s=2.0, between_tokens_s=0.8)


def long_request(expires: float = 15.0):  # type: ignore[no-untyped-def]
    """Return a request with a long prompt that expires at a loop time."""
    req = prompt(12_000)
    req.target = TARGET
    assert req.proxy is not None
    req.proxy.deadline = expires
    return req


def is_open(gate: PromptGate, name: str, req: Request, now: float) -> bool:
    """Return whether a runner, as the only one for long prompts, may receive one."""
    return bool(gate.open_runners([Endpoint(name, "127.0.0.1:1", "z")], req, now))


class TestPromptGate(unittest.TestCase):
    def test_prompts_waiting_for_prefill_are_limited(self) -> None:
        # A runner that has not prefilled the previous prompts must not receive more of them.
        cases = [
            ("idle", 0, 0.1, True),
            ("one prefill", 1, 0.1, True),
            ("two prefills", 2, 0.1, False),
            ("one prefill, slow", 1, 4.0, False),
            ("no prefill, slow", 0, 4.0, True),
        ]
        for name, prefills, first_s, expected in cases:
            with self.subTest(name):
                gate = PromptGate()
                for _ in range(20):
                    gate.on_sent("r")
                    gate.on_answer_began("r", first_s)
                for _ in range(prefills):
                    gate.on_sent("r")
                self.assertEqual(is_open(gate, "r", long_request(), 0.0), expected)

    def test_speed_against_the_time_left(self) -> None:
        # If too many answers share a runner, none of them finishes in time.
        cases = [
            ("fast", 0.05, 15.0, True),
            ("too slow", 0.2, 15.0, False),
            ("too slow for a retry", 0.12, 9.0, False),
            ("enough time", 0.12, 15.0, True),
        ]
        for name, gap_s, expires, expected in cases:
            with self.subTest(name):
                gate = PromptGate()
                gate.record_length("c", 76)
                for _ in range(40):
                    gate.on_answer_event("r", gap_s, 0.0)
                self.assertEqual(is_open(gate, "r", long_request(expires), 0.0), expected)
                self.assertTrue(is_open(gate, "other", long_request(expires), 0.0))

    def test_one_pause_of_many_answers_holds_nothing_back(self) -> None:
        # A single pause under low load must not move prompts away from the runner that has cached
        # their shared part.
        gate = PromptGate()
        gate.record_length("c", 76)
        for _ in range(200):
            gate.on_answer_event("r", 0.06, 0.0)
        for _ in range(8):
            gate.on_answer_event("r", 0.5, 0.0)
        self.assertTrue(is_open(gate, "r", long_request(), 0.0))

    def test_a_slower_runner_is_used_while_its_side_is_fast(self) -> None:
        # Prompts must not leave the runner that has cached their shared part too early.
        cases = [("a little slower", 0.17, True), ("much slower", 0.3, False)]
        for name, gap_s, used in cases:
            with self.subTest(name):
                gate = PromptGate()
                gate.record_length("c", 76)
                for fast in ("a", "b", "c"):
                    gate.on_answer_event(fast, 0.05, 0.0)
                gate.on_answer_event("r", gap_s, 0.0)
                runners = [Endpoint(item, "127.0.0.1:1", "z") for item in "abcr"]
                names = [item.name for item in gate.open_runners(runners, long_request(), 0.0)]
                self.assertEqual(names, list("abcr" if used else "abc"))

    def test_an_old_measurement_holds_nothing_back(self) -> None:
        gate = PromptGate()
        gate.record_length("c", 76)
        gate.on_answer_event("r", 5.0, 0.0)
        self.assertFalse(is_open(gate, "r", long_request(), 0.5))
        self.assertTrue(is_open(gate, "r", long_request(), 2.0))
