"""Tests of nodes whose links to all endpoints are cut, while other nodes still reach them."""

import asyncio
import time
import unittest
from typing import Any

from lacewinghub.fakes.platform_runner import RunnerFault
from lacewinghub.proxynode import ProxyNode

from .cut_links import FaultyLinks, LinkFault, install
from .platform_cluster import ROUTES, ClientResponse, LoggedPlatformCase, config

FAULTS = (LinkFault.HANG, LinkFault.REFUSE, LinkFault.RESET)
# Time after the beginning of a cut from which on requests must be served.
SETTLE_S = 3.0
CANCEL_S = 0.5
# All nodes and endpoints share one event loop, in debug mode.
GAP_S = 0.12
REQUESTS = 16
PATHS = ("/once/a", "/lookup/a", "/draft/a", "/chat/a")


class StrandedCase(LoggedPlatformCase):
    """Three nodes; the links of each can be cut."""

    nodes = 3
    runners = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.links: list[FaultyLinks] = [install(node) for node in self.members]
        await self.until(self._peers_are_known)
        # Each node has reached endpoints before.
        await self.load(range(len(self.members)), 8)

    async def _peers_are_known(self) -> bool:
        wanted = len(self.members) - 1
        return all(len(node._reach.peers._offers) == wanted for node in self.members)

    async def load(
        self, nodes: Any, count: int, gap_s: float = GAP_S
    ) -> dict[int, list[ClientResponse]]:
        """Send each node requests of all kinds; return the answers by node."""

        async def one(node: int, number: int) -> ClientResponse:
            await asyncio.sleep(number * gap_s)
            return await self.ask(PATHS[number % len(PATHS)], node=node)

        found = {}
        calls = [(node, number) for node in nodes for number in range(count)]
        answers = await asyncio.gather(*(one(*call) for call in calls))
        for (node, _), answer in zip(calls, answers, strict=True):
            found.setdefault(node, []).append(answer)
        return found

    async def until_cut(self, node: int) -> None:
        """Send requests until a node knows that its links are cut."""
        link = self.members[node]._reach.link
        async with asyncio.timeout(SETTLE_S):
            while not link.is_cut:
                await self.load([node], 4)

    async def _links_are_back(self) -> bool:
        return not any(node._reach.link.is_cut for node in self.members)

    def served(self, answers: list[ClientResponse]) -> int:
        """Return how many requests were served."""
        return sum(item.status == 200 and item.complete for item in answers)

    def assert_nobody_blamed(self) -> None:
        """Check that no node ejected an endpoint or took one for crashed."""
        for node in self.members:
            names = [item.name for item in self.models + self.apps]
            ejected = [name for name in names if node._health.is_ejected(name)]
            self.assertEqual(ejected, [], node.cfg.node)
            self.assertEqual(node._crash_guard.causes, [])
        lines = [line for line in self.lines if " ejected for " in line]
        self.assertEqual(lines, [])


class TestCut(StrandedCase):
    """Guards against a node that blames endpoints for its own links, and fails its callers."""

    async def test_requests_are_served_as_at_other_nodes(self) -> None:
        for fault in FAULTS:
            with self.subTest(fault):
                started = time.monotonic()
                self.links[0].cut(fault)
                while time.monotonic() - started < SETTLE_S:
                    await self.load(range(3), 4)
                found = await self.load(range(3), REQUESTS)
                self.assertTrue(self.members[0]._reach.link.is_cut)
                self.assertEqual([self.served(found[node]) for node in range(3)], [REQUESTS] * 3)
                self.assert_nobody_blamed()
                self.links[0].heal()
                await self.until(self._links_are_back, 6.0)

    async def test_most_nodes_are_cut(self) -> None:
        for fault in FAULTS:
            with self.subTest(fault):
                started = time.monotonic()
                for node in (0, 1):
                    self.links[node].cut(fault)
                while time.monotonic() - started < SETTLE_S:
                    await self.load(range(3), 4)
                found = await self.load(range(3), REQUESTS)
                self.assertEqual([self.served(found[node]) for node in range(3)], [REQUESTS] * 3)
                self.assert_nobody_blamed()
                for links in self.links:
                    links.heal()
                await self.until(self._links_are_back, 6.0)

    async def test_no_retry_budget_is_spent(self) -> None:
        self.links[0].cut(LinkFault.REFUSE)
        await self.until_cut(0)
        budgets = self.members[0]._gateway._router._dispatch_deps.budget
        before = {name: len(item._retries) for name, item in budgets._budgets.items()}
        await self.load([0], REQUESTS)
        after = {name: len(item._retries) for name, item in budgets._budgets.items()}
        self.assertEqual(before, after)

    async def test_all_nodes_are_cut(self) -> None:
        for links in self.links:
            links.cut(LinkFault.HANG)
        for node in range(3):
            await self.until_cut(node)
        await asyncio.sleep(0.5)
        started = time.monotonic()
        for node in range(3):
            answer = await self.ask("/once/a", node=node)
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
        # The route allows 1.5 s.
        self.assertLess(time.monotonic() - started, 1.5)
        self.assert_nobody_blamed()
        # Nobody knows whether an endpoint lives: that proves neither a crash nor a whole stream.
        node, runner = self.members[0], self.models[0]
        self.assertTrue(await node._is_reachable(runner.name))
        self.assertFalse(await node._connections.is_reachable(runner.address, runner.name))

    async def test_direct_connections_return_after_the_cut(self) -> None:
        self.links[0].cut(LinkFault.HANG)
        await self.until_cut(0)
        self.links[0].heal()
        await self.until(self._links_are_back, 6.0)
        opened = self.members[0]._reach.client.opened
        found = await self.load([0], 20)
        self.assertEqual(self.served(found[0]), 20)
        self.assertEqual(self.members[0]._reach.client.opened, opened)

    async def test_a_single_endpoint_that_fails_is_no_cut(self) -> None:
        await self.apps[0].stop()
        await self.load(range(3), REQUESTS)
        self.assertFalse(any(node._reach.link.is_cut for node in self.members))


class TestPromises(StrandedCase):
    """Guards against promises to callers that hold on direct connections only."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.links[0].cut(LinkFault.REFUSE)
        await self.until_cut(0)
        # Only new connections go through other nodes.
        self.members[0]._connections.close()

    async def test_a_client_that_leaves_cancels_its_run(self) -> None:
        for runner in self.models:
            runner.work_s = 1.0
        call = asyncio.create_task(self.ask("/chat/a", attempt="leaves"))
        await self.until(self._runs("leaves"))
        call.cancel()
        await self.until(self._is_cancelled, CANCEL_S)

    async def _is_cancelled(self) -> bool:
        return any("leaves" in runner.cancelled for runner in self.models)

    async def test_an_answer_without_framing_ends_as_its_runner_ends_it(self) -> None:
        cases = ((RunnerFault.UNFRAMED, True), (RunnerFault.UNFRAMED_RESET, False))
        for fault, whole in cases:
            with self.subTest(fault):
                for runner in self.apps:
                    runner.fail(fault)
                self.assertEqual(await self.looks_whole("/once/a"), whole)
                for runner in self.apps:
                    runner._faults.clear()

    async def test_a_runner_that_leaves_gets_nothing_new(self) -> None:
        # The stranded node learns it from an answer, the neighbours only from the stranded node.
        leaving = self.apps[0]
        leaving.leaving = True
        while not leaving.runs or not self.members[0]._directory.is_leaving(leaving.name):
            await self.ask("/once/a")
        await asyncio.sleep(0.1)
        knowing = [n for n in self.members[1:] if n._directory.is_leaving(leaving.name)]
        self.assertTrue(knowing)
        before = len(leaving.arrivals)
        await self.load([0], 20)
        self.assertEqual(len(leaving.arrivals), before)

    async def test_the_other_node_dies_in_mid_answer(self) -> None:
        for path, attempt, expected in (
            ("/draft/a", "resumable", (200, True)),
            ("/chat/a", "not-resumable", (200, False)),
            ("/once/a", "plain", (502, True)),
        ):
            with self.subTest(path):
                for runner in self.models + self.apps:
                    runner.work_s = 0.2
                call = asyncio.create_task(self.ask(path, attempt=attempt))
                await self.until(self._runs(attempt))
                await asyncio.sleep(0.1 if path == "/once/a" else 0.5)
                for node in self.members[1:]:
                    break_tunnels(node)
                answer = await call
                self.assertEqual((answer.status, answer.complete), expected)
                runs = sum(item.counts[attempt] for item in self.models + self.apps)
                self.assertEqual(runs, 2 if path == "/draft/a" else 1)
                if path == "/draft/a":
                    self.assertEqual(answer.body.count(b"data: piece"), 4)
        self.assert_nobody_blamed()

    def _runs(self, attempt: str) -> Any:
        async def check() -> bool:
            return any(item.counts[attempt] for item in self.models + self.apps)

        return check


class TestCutInMidStream(StrandedCase):
    """Guards against streams that are lost, or look whole, when the links are cut."""

    # Less than probes need to break a silent connection.
    configuration = config(1, [item | {"timeout_ms": 3000} for item in ROUTES])

    async def test_streams_under_way(self) -> None:
        for runner in self.models:
            runner.work_s = 0.1
            runner.events = 8
        for path, complete in (("/draft/a", True), ("/chat/a", False)):
            with self.subTest(path):
                call = asyncio.create_task(self.ask(path))
                await self.until(self._is_under_way)
                self.links[0].cut(LinkFault.RESET)
                answer = await call
                self.assertEqual((answer.status, answer.complete), (200, complete))
                if complete:
                    numbers = [b"piece %d\n" % number for number in range(1, 9)]
                    self.assertEqual([answer.body.count(item) for item in numbers], [1] * 8)
                self.links[0].heal()
                await self.until(self._links_are_back, 6.0)
        self.assert_nobody_blamed()

    async def _is_under_way(self) -> bool:
        return any(run.events >= 3 for item in self.models for run in item.moves.live.values())

    async def test_streams_whose_links_fall_silent(self) -> None:
        for runner in self.models:
            runner.work_s = 0.1
            runner.events = 8
        call = asyncio.create_task(self.ask("/draft/a"))
        await self.until(self._is_under_way)
        self.links[0].cut(LinkFault.HANG)
        await self.until_cut(0)
        answer = await call
        self.assertEqual((answer.status, answer.complete), (200, True))
        numbers = [b"piece %d\n" % number for number in range(1, 9)]
        self.assertEqual([answer.body.count(item) for item in numbers], [1] * 8)
        self.assert_nobody_blamed()

    async def test_open_connections_live_on(self) -> None:
        for runner in self.models:
            runner.work_s = 0.1
        call = asyncio.create_task(self.ask("/chat/a"))
        await asyncio.sleep(0.15)
        self.links[0].cut(LinkFault.REFUSE)
        answer = await call
        self.assertEqual((answer.status, answer.complete), (200, True))


def break_tunnels(node: ProxyNode) -> None:
    """Break all tunnels that a node serves, as its death does."""
    for conn in list(node._reach.server._connections):
        conn.abort()


if __name__ == "__main__":
    unittest.main()
