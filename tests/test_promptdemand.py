"""The boundary between runners of long and short prompts, free places and shared load reports."""

import asyncio
import unittest
from collections.abc import Sequence

from lacewinghub.errors import Overloaded
from lacewinghub.message import EndpointReport, Heartbeat
from lacewinghub.promptdemand import LEAST_SHARE, MOST_SHARE, DemandBoundary
from lacewinghub.rawscheduler import RawScheduler
from lacewinghub.reportshare import MAX_HOPS, ReportShare
from lacewinghub.runnerroom import RunnerRoom
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables, Target

from .clock import simulate
from .test_promptsplit import RUNNERS, prompt
from .test_shared_news import FixedMembers

DRAFT = (True, 12_000, 380)
CHAT = (False, 800, 290)


def beat(boundaries: Sequence[DemandBoundary]) -> None:
    """Exchange one heartbeat among all nodes."""
    for number, boundary in enumerate(boundaries):
        heartbeat = Heartbeat(f"n{number}", 1, 1, "live")
        boundary.fill(heartbeat)
        for other in boundaries:
            if other is not boundary:
                other.observe(heartbeat)


class TestDemandBoundary(unittest.TestCase):
    """Guards against a side that is full while runners of the other side idle."""

    def play(self, drafts: int, chats: int, nodes: int = 9, runners: int = 56) -> set[int]:
        """Send requests per second for 20 s; return the counts that the nodes agree on."""

        async def main() -> set[int]:
            boundaries = [DemandBoundary(FixedMembers(nodes)) for _ in range(nodes)]
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
            boundary = DemandBoundary(FixedMembers(1))
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


class TestRunnerRoom(unittest.TestCase):
    """Guards against requests that full runners refuse, at the cost of attempts and budget."""

    def test_taken(self) -> None:
        item = Endpoint("r1", "127.0.0.1:1", "z", 12)
        # Report (running, waiting) and its age, requests sent since, own requests; expected.
        cases = [
            ("nothing known", None, 0.0, 0, 3, 3),
            ("report", (8, 2), 0.2, 0, 1, 10),
            ("report and sent since", (8, 2), 0.2, 3, 4, 13),
            ("old report", (12, 4), 5.0, 0, 2, 2),
            ("own count larger", (1, 0), 0.2, 0, 7, 7),
        ]
        for name, report, age_s, sent, own, expected in cases:
            with self.subTest(name):

                async def main(
                    report: tuple[int, int] | None = report,
                    age_s: float = age_s,
                    sent: int = sent,
                    own: int = own,
                ) -> int:
                    await asyncio.sleep(10.0)
                    reports = LoadReports()
                    now = asyncio.get_running_loop().time()
                    if report is not None:
                        reports.update("r1", *report, now - age_s)
                    room = RunnerRoom(reports)
                    for _ in range(sent):
                        room.sent("r1")
                    return room.taken(item, {"r1": own})

                self.assertEqual(simulate(main), expected)


class TestFullRunners(unittest.TestCase):
    """The load: every runner of one side, or of both, has stated that its slots are taken."""

    async def play(self, full: str, tokens: int, interrupted: bool = False) -> str:
        """Return where a request goes, or how it is refused."""
        await asyncio.sleep(10.0)
        loop = asyncio.get_running_loop()
        tables, reports = Tables(version=1), LoadReports()
        tables.pools = {"p": Pool("p", RUNNERS)}
        scheduler = RawScheduler(TablesView(lambda: tables), reports)
        sides = {
            "long": {item.name for item in scheduler._split.side(prompt(9_000), RUNNERS)},
            "short": {item.name for item in scheduler._split.side(prompt(800), RUNNERS)},
        }
        req = prompt(tokens)
        assert req.raw is not None
        req.target, req.arrived = Target(0.6), loop.time()
        req.raw.route_s = 15.0
        req.raw.expires = req.raw.caller_expires = req.arrived + 15.0
        req.raw.may_have_run = interrupted

        async def keep_full() -> None:
            while True:
                for side, names in sides.items():
                    for name in names if full in (side, "both") else ():
                        reports.update(name, 64, 3, loop.time())
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
            scheduler = RawScheduler(TablesView(lambda: tables), LoadReports())
            req = prompt(9_000)
            assert req.raw is not None
            req.target = Target(0.6)
            req.raw.may_have_run, req.raw.expires = True, 15.0
            loop = asyncio.get_running_loop()
            try:
                await scheduler.acquire(req)
            except Overloaded:
                return loop.time()
            return 0.0

        self.assertAlmostEqual(simulate(main), 15.0, places=1)


class TestReportShare(unittest.TestCase):
    """Guards against nodes that know only the runners which they used last."""

    async def _chain(self, nodes: int, hops: int) -> list[int]:
        """Pass a report along a line of nodes; return what each of them knows."""
        boards, reports = [], []
        for _ in range(nodes):
            reports.append(LoadReports())
            members = FixedMembers(100)
            members.beyond_mesh = lambda: hops > 1  # type: ignore[method-assign]
            boards.append(ReportShare(members, reports[-1]))
        await asyncio.sleep(1.0)
        reports[0].update("r1", 7, 1, asyncio.get_running_loop().time())
        for _ in range(nodes):
            heartbeats = []
            for number, board in enumerate(boards):
                heartbeat = Heartbeat(f"n{number}", 1, 1, "live")
                board.fill(heartbeat)
                heartbeats.append(heartbeat)
            await asyncio.sleep(0.01)
            for number in range(nodes - 1):
                boards[number + 1].observe(heartbeats[number])
                boards[number].observe(heartbeats[number + 1])
        return [item.load("r1") for item in reports]

    def test_reports_travel(self) -> None:
        cases = [("full mesh", 1, [8, 8, 0, 0]), ("overlay", 4, [8, 8, 8, 8])]
        for name, hops, expected in cases:
            with self.subTest(name):
                self.assertEqual(simulate(lambda h=hops: self._chain(4, h)), expected)

    def test_a_report_does_not_circulate(self) -> None:
        async def main() -> int:
            board = ReportShare(FixedMembers(2), LoadReports())
            await asyncio.sleep(1.0)
            heartbeat = Heartbeat("n1", 1, 1, "live")
            heartbeat.reports.append(EndpointReport("r1", 1, 0, 0, MAX_HOPS))
            board.observe(heartbeat)
            own = Heartbeat("n0", 1, 1, "live")
            board.fill(own)
            return len(own.reports)

        self.assertEqual(simulate(main), 0)


if __name__ == "__main__":
    unittest.main()
