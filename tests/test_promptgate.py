"""Long prompts beyond the capacity of their runners."""

import unittest

from lacewinghub.promptgate import PromptGate
from lacewinghub.request import Request
from lacewinghub.tables import Endpoint, Target

from .test_promptsplit import prompt

TARGET = Target(first_token_s=2.0, between_tokens_s=0.8)


def draft(expires: float = 15.0):  # type: ignore[no-untyped-def]
    """Return a request with a long prompt that expires at a loop time."""
    req = prompt(12_000)
    req.target = TARGET
    assert req.proxy is not None
    req.proxy.deadline = expires
    return req


def is_open(gate: PromptGate, name: str, req: Request, now: float) -> bool:
    """Tell whether the only runner of a side may receive a prompt."""
    return bool(gate.open_runners([Endpoint(name, "127.0.0.1:1", "z")], req, now))


class TestPromptGate(unittest.TestCase):
    def test_unread_prompts_are_bounded(self) -> None:
        # Guards against prompts that queue at one runner while it has not read those before.
        cases = [
            ("idle", 0, 0.1, True),
            ("one unread", 1, 0.1, True),
            ("two unread", 2, 0.1, False),
            ("one unread, slow", 1, 4.0, False),
            ("none unread, slow", 0, 4.0, True),
        ]
        for name, unread, first_s, expected in cases:
            with self.subTest(name):
                gate = PromptGate()
                for _ in range(20):
                    gate.sent("r")
                    gate.read("r", first_s)
                for _ in range(unread):
                    gate.sent("r")
                self.assertEqual(is_open(gate, "r", draft(), 0.0), expected)

    def test_pace_against_the_time_left(self) -> None:
        # Guards against answers of which none ends in time, because too many share a runner.
        cases = [
            ("fast", 0.05, 15.0, True),
            ("too slow", 0.2, 15.0, False),
            ("too slow for what came back", 0.12, 9.0, False),
            ("enough time", 0.12, 15.0, True),
        ]
        for name, gap_s, expires, expected in cases:
            with self.subTest(name):
                gate = PromptGate()
                gate.ended("c", 76)
                for _ in range(40):
                    gate.advanced("r", gap_s, 0.0)
                self.assertEqual(is_open(gate, "r", draft(expires), 0.0), expected)
                self.assertTrue(is_open(gate, "other", draft(expires), 0.0))

    def test_one_pause_of_many_answers_holds_nothing_back(self) -> None:
        # Guards against prompts that leave the runner which caches their shared part because of one
        # pause on a calm day.
        gate = PromptGate()
        gate.ended("c", 76)
        for _ in range(200):
            gate.advanced("r", 0.06, 0.0)
        for _ in range(8):
            gate.advanced("r", 0.5, 0.0)
        self.assertTrue(is_open(gate, "r", draft(), 0.0))

    def test_a_slower_runner_is_used_while_its_side_is_fast(self) -> None:
        # Guards against prompts that leave the runner which caches their shared part too early.
        sides = [("a little slower", 0.17, True), ("much slower", 0.3, False)]
        for name, gap_s, used in sides:
            with self.subTest(name):
                gate = PromptGate()
                gate.ended("c", 76)
                for fast in ("a", "b", "c"):
                    gate.advanced(fast, 0.05, 0.0)
                gate.advanced("r", gap_s, 0.0)
                runners = [Endpoint(item, "127.0.0.1:1", "z") for item in "abcr"]
                names = [item.name for item in gate.open_runners(runners, draft(), 0.0)]
                self.assertEqual(names, list("abcr" if used else "abc"))

    def test_an_old_pace_holds_nothing_back(self) -> None:
        gate = PromptGate()
        gate.ended("c", 76)
        gate.advanced("r", 5.0, 0.0)
        self.assertFalse(is_open(gate, "r", draft(), 0.5))
        self.assertTrue(is_open(gate, "r", draft(), 2.0))
