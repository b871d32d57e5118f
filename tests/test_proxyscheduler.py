"""Queueing, refusing and placing of raw requests under a burst of long prompts."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Sequence

from lacewinghub.errors import Overloaded
from lacewinghub.promptgate import PromptGate
from lacewinghub.proxyscheduler import LaneQueue, ProxyScheduler
from lacewinghub.request import AttemptResult, Grant, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables, Target

from .clock import simulate
from .test_promptsplit import RUNNERS, prompt

# A runner that prefills without pause needs 40 ms for each token of an answer.
READ_S_PER_TOKEN = 1 / 66_000
FAST_GAP_S, BUSY_GAP_S = 0.03, 0.2
EVENTS = 76
AIM_S, DEADLINE_S = 2.0, 15.0


class FakeEngines:
    """Runners that read one prompt after the other and generate slowly meanwhile."""

    def __init__(self) -> None:
        self.free_at = Counter[str]()

    async def serve(self, scheduler: ProxyScheduler, grant: Grant, req: Request) -> bool:
        """Serve a request; return whether it ended in time."""
        assert req.proxy is not None
        loop = asyncio.get_running_loop()
        start = max(loop.time(), self.free_at[grant.endpoint])
        self.free_at[grant.endpoint] = start + req.proxy.prompt_tokens * READ_S_PER_TOKEN
        try:
            async with asyncio.timeout_at(req.proxy.deadline):
                await asyncio.sleep(self.free_at[grant.endpoint] - loop.time())
                for _ in range(EVENTS):
                    scheduler.on_answer_event(grant)
                    busy = self.free_at[grant.endpoint] > loop.time()
                    await asyncio.sleep(BUSY_GAP_S if busy else FAST_GAP_S)
        except TimeoutError:
            scheduler.release(grant, AttemptResult(ok=False))
            return False
        scheduler.release(grant, AttemptResult(ok=True))
        return True


class OpenGate(PromptGate):
    """The naive version: every runner may always receive a prompt."""

    def open_runners(
        self, endpoints: Sequence[Endpoint], req: Request, now: float
    ) -> list[Endpoint]:
        return list(endpoints)


class ClosedGate(PromptGate):
    """No runner may receive a long prompt."""

    def open_runners(
        self, endpoints: Sequence[Endpoint], req: Request, now: float
    ) -> list[Endpoint]:
        return []


class TestBurst(unittest.TestCase):
    def play(self, per_s: float, nodes: int = 3, gate: bool = True) -> Counter[str]:
        """Send long prompts for 20 s through several nodes; count the outcomes."""

        async def main() -> Counter[str]:
            tables = Tables(version=1)
            tables.pools = {"p": Pool("p", RUNNERS, queue_limit=1000)}
            engines = FakeEngines()
            schedulers = [
                ProxyScheduler(TablesView(lambda: tables), LoadReports(), rng=random.Random(n))
                for n in range(nodes)
            ]
            if not gate:
                for scheduler in schedulers:
                    scheduler._gate = OpenGate()
            outcomes = Counter[str]()

            async def one(number: int) -> None:
                req = prompt(30_000, f"s-{number % 20}", f"x-{number}")
                req.max_tokens = 380
                now = asyncio.get_running_loop().time()
                req.arrived, req.patience_s, req.target = now, DEADLINE_S, Target(AIM_S, 0.8)
                assert req.proxy is not None
                req.proxy.deadline = req.proxy.caller_expires = now + DEADLINE_S
                req.proxy.route_timeout_s = DEADLINE_S
                try:
                    grant = await schedulers[number % nodes].acquire(req)
                except Overloaded as exc:
                    outcomes["refused"] += 1
                    waited = asyncio.get_running_loop().time() - now
                    outcomes["refused late"] += waited > AIM_S / 3
                    assert exc.retry_after_s is not None and exc.retry_after_s > 1.0
                    return
                done = await engines.serve(schedulers[number % nodes], grant, req)
                outcomes["served" if done else "too late"] += 1

            async with asyncio.TaskGroup() as group:
                for number in range(int(20 * per_s)):
                    group.create_task(one(number))
                    await asyncio.sleep(1 / per_s)
            return outcomes

        return simulate(main)

    def test_within_capacity_nothing_is_refused(self) -> None:
        outcomes = self.play(per_s=2.0)
        self.assertEqual((outcomes["refused"], outcomes["too late"]), (0, 0))

    def test_beyond_capacity_most_of_what_is_taken_ends_in_time(self) -> None:
        # Guards against the collapse in which all long prompts are taken and none ends in time.
        outcomes = self.play(per_s=16.0)
        self.assertGreater(outcomes["refused"], 0)
        self.assertEqual(outcomes["refused late"], 0)
        self.assertGreater(outcomes["served"], 3 * outcomes["too late"])
        self.assertGreater(outcomes["served"], 2 * self.play(16.0, gate=False)["served"])


class TestHurry(unittest.TestCase):
    def test_a_request_in_a_hurry_leaves_slow_runners_of_long_prompts(self) -> None:
        # Guards against urgent requests of middle size that are refused because the runners of long
        # prompts are slow, while less urgent ones with more time are still sent there (hunt on
        # awa-respray, scale-1 --seed 509761676256).
        cases = [
            ("hurried, runners fast", 3.0, True, "long"),
            ("hurried, runners slow", 3.0, False, "short"),
            ("patient, runners slow", 15.0, False, "refused"),
        ]
        for name, route_s, is_open, expected in cases:
            with self.subTest(name):
                self.assertEqual(simulate(lambda r=route_s, o=is_open: self.play(r, o)), expected)

    async def play(self, route_s: float, is_open: bool) -> str:
        """Return the side that a request gets."""
        tables = Tables(version=1)
        tables.pools = {"p": Pool("p", RUNNERS)}
        scheduler = ProxyScheduler(TablesView(lambda: tables), LoadReports())
        scheduler._gate = OpenGate() if is_open else ClosedGate()
        req = prompt(6_000)
        assert req.proxy is not None
        req.target, req.proxy.route_timeout_s = Target(1.2), route_s
        req.proxy.deadline = req.proxy.caller_expires = route_s
        try:
            grant = await scheduler.acquire(req)
        except Overloaded:
            return "refused"
        long_side = {item.name for item in scheduler._split.side(req, RUNNERS)}
        return "long" if grant.endpoint in long_side else "short"


class TestLaneQueue(unittest.TestCase):
    def test_a_kind_that_must_wait_does_not_hold_up_the_others(self) -> None:
        from lacewinghub.queue import Waiter

        async def main() -> list[str]:
            queue = LaneQueue(lambda req: int(req.proxy.prompt_tokens > 4000))  # type: ignore[union-attr]
            loop = asyncio.get_running_loop()
            for name, tokens, tier in [
                ("l1", 9000, 1),
                ("s1", 10, 1),
                ("s2", 10, 2),
                ("l2", 9000, 2),
            ]:
                req = prompt(tokens, name=name)
                req.tier = tier
                queue.push(Waiter(req, loop.create_future()))
            short = lambda item: int(item.req.proxy.prompt_tokens <= 4000)  # noqa: E731
            first = [queue.pop(short), queue.pop(short), queue.pop(short)]
            rest = [queue.pop(), queue.pop(), queue.pop()]
            return [item.req.id if item else "-" for item in first + rest]

        self.assertEqual(simulate(main), ["s1", "s2", "-", "l1", "l2", "-"])
