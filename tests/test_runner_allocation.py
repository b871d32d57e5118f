"""Tests of the allocation of runners to long and short prompts, full runners, cached parts."""

import asyncio
import unittest
from collections.abc import Sequence

from lacewinghub.errors import Overloaded
from lacewinghub.fullrunner import FULL_S, FullRunners
from lacewinghub.message import Heartbeat
from lacewinghub.promptcache import CACHED_S, PromptCacheIndex, PromptCacheSync
from lacewinghub.promptsplit import PromptSplit
from lacewinghub.proxyscheduler import ProxyScheduler
from lacewinghub.request import PromptPart
from lacewinghub.runner_allocation import MAX_SHARE, MIN_SHARE, DemandAllocation
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Pool, Tables, Target

from .clock import simulate
from .test_promptsplit import RUNNERS, prompt
from .test_shared_news import FixedMembers

LONG_PROMPT = (True, 12_000, 380)
SHORT_PROMPT = (False, 800, 290)


def exchange_heartbeats(allocations: Sequence[DemandAllocation]) -> None:
    """Exchange one heartbeat among all nodes."""
    for number, allocation in enumerate(allocations):
        heartbeat = Heartbeat(f"n{number}", 1, 1, "live")
        allocation.fill_heartbeat(heartbeat)
        for other in allocations:
            if other is not allocation:
                other.on_heartbeat(heartbeat)


class TestDemandAllocation(unittest.TestCase):
    """The runners for one kind of prompts are not full while those for the other are idle."""

    def simulate_requests(
        self, long_per_s: int, short_per_s: int, nodes: int = 9, runners: int = 56
    ) -> set[int]:
        """Send requests per second for 20 s; return the numbers of runners that nodes computed."""

        async def main() -> set[int]:
            allocations = [DemandAllocation(FixedMembers(nodes)) for _ in range(nodes)]
            for step in range(80):
                for kind, per_s in ((LONG_PROMPT, long_per_s), (SHORT_PROMPT, short_per_s)):
                    for number in range(step * per_s // 4, (step + 1) * per_s // 4):
                        allocations[number % nodes].record_arrival(*kind)
                exchange_heartbeats(allocations)
                await asyncio.sleep(0.25)
            return {item.long_prompt_runners(runners) for item in allocations}

        return simulate(main)

    def test_runners_follow_the_work(self) -> None:
        cases = [
            ("no requests", 0, 0, 28, 28),
            ("short only", 0, 200, int(56 * MIN_SHARE), round(56 * MIN_SHARE)),
            ("long only", 100, 0, round(56 * MAX_SHARE), round(56 * MAX_SHARE)),
            ("more work in long prompts", 93, 120, 34, 42),
            ("more work in short prompts", 40, 200, 19, 28),
        ]
        for name, long_per_s, short_per_s, least, most in cases:
            with self.subTest(name):
                counts = self.simulate_requests(long_per_s, short_per_s)
                self.assertGreaterEqual(min(counts), least)
                self.assertLessEqual(max(counts), most)

    def test_all_nodes_compute_the_same_allocation(self) -> None:
        # Otherwise some nodes send long prompts and others short ones to the same runner.
        counts = self.simulate_requests(93, 120)
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_each_side_keeps_a_runner(self) -> None:
        for long_per_s, short_per_s in ((100, 0), (0, 100)):
            with self.subTest(long_per_s=long_per_s):
                self.assertEqual(self.simulate_requests(long_per_s, short_per_s, runners=2), {1})

    def test_small_changes_do_not_move_it(self) -> None:
        async def main() -> set[int]:
            allocation = DemandAllocation(FixedMembers(1))
            seen = set()
            for step in range(400):
                allocation.record_arrival(*LONG_PROMPT)
                for _ in range(2 + step % 2):
                    allocation.record_arrival(*SHORT_PROMPT)
                await asyncio.sleep(0.1)
                if step > 100:
                    seen.add(allocation.long_prompt_runners(6))
            return seen

        self.assertEqual(len(simulate(main)), 1)


class TestFullRunners(unittest.TestCase):
    """Every runner of one side, or of both, refuses requests because it is full."""

    async def send_request(self, full: str, tokens: int, interrupted: bool = False) -> str:
        """Return the side of the runner that a request gets, or after which time it is refused."""
        await asyncio.sleep(10.0)
        loop = asyncio.get_running_loop()
        tables, runners = Tables(version=1), FullRunners()
        tables.pools = {"p": Pool("p", RUNNERS)}
        scheduler = ProxyScheduler(TablesView(lambda: tables), LoadReports(), full=runners)
        sides = {
            "long": {item.name for item in scheduler._split.side(prompt(9_000), RUNNERS)},
            "short": {item.name for item in scheduler._split.side(prompt(800), RUNNERS)},
        }
        req = prompt(tokens)
        assert req.proxy is not None
        req.target, req.arrived = Target(0.6), loop.time()
        req.proxy.route_timeout_s = 15.0
        req.proxy.deadline = req.proxy.client_deadline = req.arrived + 15.0
        req.proxy.may_have_run = interrupted

        async def keep_full() -> None:
            while True:
                for side, names in sides.items():
                    for name in names if full in (side, "both") else ():
                        runners.record_refusal(name)
                await asyncio.sleep(0.2)

        task = asyncio.create_task(keep_full())
        await asyncio.sleep(0)
        try:
            grant = await scheduler.acquire(req)
        except Overloaded:
            waited = loop.time() - req.arrived
            return f"refused after {waited:.2f} s"
        finally:
            task.cancel()
        return next(side for side, names in sides.items() if grant.endpoint in names)

    def test_where_requests_go(self) -> None:
        cases = [
            ("short side free", "long", 800, False, "short"),
            ("short side full", "short", 800, False, "long"),
            ("all full", "both", 800, False, "refused after 0.30 s"),
            ("long side full", "long", 9_000, False, "refused after 0.15 s"),
        ]
        for name, full, tokens, interrupted, expected in cases:
            with self.subTest(name):
                found = simulate(lambda f=full, t=tokens, i=interrupted: self.send_request(f, t, i))
                self.assertEqual(found, expected)

    def test_an_interrupted_answer_is_not_refused(self) -> None:
        # A stream must not break off because no runner for its rest is free at once.
        for tokens in (800, 9_000):
            with self.subTest(tokens):
                found = simulate(lambda t=tokens: self.send_request("long", t, interrupted=True))
                self.assertIn(found, ("long", "short"))

    def test_an_interrupted_answer_waits_as_long_as_its_client(self) -> None:
        async def main() -> float:
            tables = Tables(version=1)
            tables.pools = {"p": Pool("p", [])}
            scheduler = ProxyScheduler(TablesView(lambda: tables), LoadReports())
            req = prompt(9_000)
            assert req.proxy is not None
            req.target = Target(0.6)
            req.proxy.may_have_run, req.proxy.deadline = True, 15.0
            loop = asyncio.get_running_loop()
            try:
                await scheduler.acquire(req)
            except Overloaded:
                return loop.time()
            return 0.0

        self.assertAlmostEqual(simulate(main), 15.0, places=1)


class TestSharedRefusals(unittest.TestCase):
    """A request is not offered to the same full runner by every node."""

    def test_a_refusal_is_shared_and_expires(self) -> None:
        async def main() -> list[bool]:
            await asyncio.sleep(10.0)
            own, other = FullRunners(), FullRunners()
            own.record_refusal("r1")
            heartbeat = Heartbeat("n1", 1, 1, "live")
            own.fill_heartbeat(heartbeat)
            other.on_heartbeat(heartbeat)
            seen = [own.is_full("r1"), other.is_full("r1"), other.is_full("r2")]
            await asyncio.sleep(2 * FULL_S)
            later = Heartbeat("n1", 1, 2, "live")
            own.fill_heartbeat(later)
            return [*seen, own.is_full("r1"), other.is_full("r1"), bool(later.full)]

        self.assertEqual(simulate(main), [True, True, False, False, False, False])


class TestPromptCache(unittest.TestCase):
    """Prompts go to the runner that has cached their parts, also if another node sent these."""

    PARTS = (PromptPart("sys", 10), PromptPart("shared", 5_000), PromptPart("own", 900))

    def test_cached_tokens(self) -> None:
        cases = [
            ("nothing", (), 0.0, 0),
            ("all", ("sys", "shared", "own"), 0.0, 5_910),
            ("shared parts", ("sys", "shared"), 0.0, 5_010),
            ("a part without those before it", ("shared",), 0.0, 0),
            ("too long ago", ("sys", "shared"), 2 * CACHED_S, 0),
        ]
        for name, parts, age_s, expected in cases:
            with self.subTest(name):

                async def main(parts: tuple[str, ...] = parts, age_s: float = age_s) -> int:
                    cache = PromptCacheIndex()
                    for part in parts:
                        cache.record("r1", part)
                    await asyncio.sleep(age_s)
                    return cache.cached_tokens("r1", self.PARTS)

                self.assertEqual(simulate(main), expected)

    def test_a_request_finds_parts_that_another_node_sent(self) -> None:
        async def main() -> tuple[str, str]:
            syncs = [PromptCacheSync(PromptCacheIndex()) for _ in range(2)]
            splits = [PromptSplit(LoadReports(), cache=item.cache) for item in syncs]
            req = prompt(9_000, "shared")
            assert req.proxy is not None
            req.proxy.parts = (
                PromptPart("sys", 10),
                PromptPart("s", 6_000),
                PromptPart("x", 2_990),
            )
            preferred = splits[1].choose(req, RUNNERS, {}).name
            cached_at = next(item.name for item in RUNNERS if item.name != preferred)
            syncs[0].on_sent(cached_at, req.proxy.parts)
            heartbeat = Heartbeat("n0", 1, 1, "live")
            syncs[0].fill_heartbeat(heartbeat)
            syncs[1].on_heartbeat(heartbeat)
            return splits[1].choose(req, RUNNERS, {}).name, cached_at

        found, cached_at = simulate(main)
        self.assertEqual(found, cached_at)

    def test_a_restarted_runner_has_nothing_cached(self) -> None:
        async def main() -> int:
            cache = PromptCacheIndex()
            cache.record("r1", "sys")
            cache.forget("r1")
            return cache.cached_tokens("r1", self.PARTS)

        self.assertEqual(simulate(main), 0)


if __name__ == "__main__":
    unittest.main()
