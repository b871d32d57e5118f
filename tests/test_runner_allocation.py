"""Long and short prompts: the boundary between their runners, full runners, kept parts."""

import asyncio
import unittest
from collections.abc import Sequence

from lacewinghub.errors import Overloaded
from lacewinghub.fullrunner import FULL_S, FullRunners
from lacewinghub.message import Heartbeat
from lacewinghub.promptcache import KEPT_S, PromptCacheIndex, PromptCacheSync
from lacewinghub.promptsplit import PromptSplit
from lacewinghub.proxyscheduler import ProxyScheduler
from lacewinghub.request import PromptPart
from lacewinghub.runner_allocation import LEAST_SHARE, MOST_SHARE, DemandAllocation
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Pool, Tables, Target

from .clock import simulate
from .test_promptsplit import RUNNERS, prompt
from .test_shared_news import FixedMembers

DRAFT = (True, 12_000, 380)
CHAT = (False, 800, 290)


def beat(boundaries: Sequence[DemandAllocation]) -> None:
    """Exchange one heartbeat among all nodes."""
    for number, boundary in enumerate(boundaries):
        heartbeat = Heartbeat(f"n{number}", 1, 1, "live")
        boundary.fill_heartbeat(heartbeat)
        for other in boundaries:
            if other is not boundary:
                other.on_heartbeat(heartbeat)


class TestDemandBoundary(unittest.TestCase):
    """Guards against a side that is full while runners of the other side idle."""

    def play(self, drafts: int, chats: int, nodes: int = 9, runners: int = 56) -> set[int]:
        """Send requests per second for 20 s; return the counts that the nodes agree on."""

        async def main() -> set[int]:
            boundaries = [DemandAllocation(FixedMembers(nodes)) for _ in range(nodes)]
            for step in range(80):
                for kind, per_s in ((DRAFT, drafts), (CHAT, chats)):
                    for number in range(step * per_s // 4, (step + 1) * per_s // 4):
                        boundaries[number % nodes].arrived(*kind)
                beat(boundaries)
                await asyncio.sleep(0.25)
            return {item.long_count(runners) for item in boundaries}

        return simulate(main)

    def test_runners_follow_the_work(self) -> None:
        cases = [
            ("nothing known", 0, 0, 28, 28),
            ("chats only", 0, 200, int(56 * LEAST_SHARE), round(56 * LEAST_SHARE)),
            ("drafts only", 100, 0, round(56 * MOST_SHARE), round(56 * MOST_SHARE)),
            ("more work in drafts", 93, 120, 34, 42),
            ("more work in chats", 40, 200, 19, 28),
        ]
        for name, drafts, chats, least, most in cases:
            with self.subTest(name):
                counts = self.play(drafts, chats)
                self.assertGreaterEqual(min(counts), least)
                self.assertLessEqual(max(counts), most)

    def test_all_nodes_draw_the_same_boundary(self) -> None:
        # Guards against runners in the middle that some nodes send long prompts and others short.
        counts = self.play(93, 120)
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_each_side_keeps_a_runner(self) -> None:
        for drafts, chats in ((100, 0), (0, 100)):
            with self.subTest(drafts=drafts):
                self.assertEqual(self.play(drafts, chats, runners=2), {1})

    def test_small_changes_do_not_move_it(self) -> None:
        async def main() -> set[int]:
            boundary = DemandAllocation(FixedMembers(1))
            seen = set()
            for step in range(400):
                boundary.arrived(*DRAFT)
                for _ in range(2 + step % 2):
                    boundary.arrived(*CHAT)
                await asyncio.sleep(0.1)
                if step > 100:
                    seen.add(boundary.long_count(6))
            return seen

        self.assertEqual(len(simulate(main)), 1)


class TestFullRunners(unittest.TestCase):
    """The load: every runner of one side, or of both, refuses requests because it is full."""

    async def play(self, full: str, tokens: int, interrupted: bool = False) -> str:
        """Return where a request goes, or how it is refused."""
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
        req.proxy.deadline = req.proxy.caller_expires = req.arrived + 15.0
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
            ("room for short", "long", 800, False, "short"),
            ("short side full", "short", 800, False, "long"),
            ("all full", "both", 800, False, "refused after 0.30 s"),
            ("long side full", "long", 9_000, False, "refused after 0.15 s"),
        ]
        for name, full, tokens, interrupted, expected in cases:
            with self.subTest(name):
                found = simulate(lambda f=full, t=tokens, i=interrupted: self.play(f, t, i))
                self.assertEqual(found, expected)

    def test_an_interrupted_answer_is_not_refused(self) -> None:
        # Guards against streams that break off because their next runner must be free at once.
        for tokens in (800, 9_000):
            with self.subTest(tokens):
                found = simulate(lambda t=tokens: self.play("long", t, interrupted=True))
                self.assertIn(found, ("long", "short"))

    def test_an_interrupted_answer_waits_for_its_callers_time(self) -> None:
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


class TestFullNews(unittest.TestCase):
    """Guards against requests that every node offers to the same full runner."""

    def test_a_refusal_is_told_and_forgotten(self) -> None:
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
    """Guards against parts of prompts that are read again because another node sent them before."""

    PARTS = (PromptPart("sys", 10), PromptPart("shared", 5_000), PromptPart("own", 900))

    def test_kept_tokens(self) -> None:
        cases = [
            ("nothing", (), 0.0, 0),
            ("all", ("sys", "shared", "own"), 0.0, 5_910),
            ("shared parts", ("sys", "shared"), 0.0, 5_010),
            ("a part without those before it", ("shared",), 0.0, 0),
            ("too long ago", ("sys", "shared"), 2 * KEPT_S, 0),
        ]
        for name, parts, age_s, expected in cases:
            with self.subTest(name):

                async def main(parts: tuple[str, ...] = parts, age_s: float = age_s) -> int:
                    cache = PromptCacheIndex()
                    for part in parts:
                        cache.note("r1", part)
                    await asyncio.sleep(age_s)
                    return cache.kept_tokens("r1", self.PARTS)

                self.assertEqual(simulate(main), expected)

    def test_a_request_finds_what_another_node_sent(self) -> None:
        async def main() -> tuple[str, str]:
            shares = [PromptCacheSync(PromptCacheIndex()) for _ in range(2)]
            splits = [PromptSplit(LoadReports(), cache=item.cache) for item in shares]
            req = prompt(9_000, "shared")
            assert req.proxy is not None
            req.proxy.parts = (
                PromptPart("sys", 10),
                PromptPart("s", 6_000),
                PromptPart("x", 2_990),
            )
            preferred = splits[1].choose(req, RUNNERS, {}).name
            keeper = next(item.name for item in RUNNERS if item.name != preferred)
            shares[0].sent(keeper, req.proxy.parts)
            heartbeat = Heartbeat("n0", 1, 1, "live")
            shares[0].fill_heartbeat(heartbeat)
            shares[1].on_heartbeat(heartbeat)
            return splits[1].choose(req, RUNNERS, {}).name, keeper

        found, keeper = simulate(main)
        self.assertEqual(found, keeper)

    def test_a_restarted_runner_keeps_nothing(self) -> None:
        async def main() -> int:
            cache = PromptCacheIndex()
            cache.note("r1", "sys")
            cache.forget("r1")
            return cache.kept_tokens("r1", self.PARTS)

        self.assertEqual(simulate(main), 0)


if __name__ == "__main__":
    unittest.main()
