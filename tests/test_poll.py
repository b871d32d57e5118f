"""Tests of polling endpoints, against stand-ins."""

import asyncio
import unittest
from collections import Counter
from itertools import pairwise

import aiohttp

from lacewinghub.fake_runner import FakeRunner
from lacewinghub.fake_service import FakeService
from lacewinghub.health import EndpointHealth
from lacewinghub.poll import MAX_POLLED, POLL_S, SPREAD_POLL_S, EndpointPoller
from lacewinghub.prefix import PrefixCacheIndex
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables

from .clock import simulate


def _endpoint(name: str, address: str) -> Endpoint:
    return Endpoint(name, address, "z")


class EndpointPollerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against loads, leaving states and cache events that are missed or mixed up."""

    async def asyncSetUp(self) -> None:
        self.reports, self.health = LoadReports(), EndpointHealth()
        self.prefixes = PrefixCacheIndex()
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    def _poller(self, *pools: Pool, brokered: set[str] | None = None) -> EndpointPoller:
        tables = Tables((), pools, (), 1)
        return EndpointPoller(
            lambda: tables, self.reports, self.health, self.prefixes, lambda: brokered or set()
        )

    async def test_load_and_state_of_endpoints(self) -> None:
        runner, service = FakeRunner("r0"), FakeService("s0")
        for server in (runner, service):
            await server.start()
            self.addAsyncCleanup(server.stop)
        for number in range(3):
            runner.engine.submit({"messages": [], "metadata": {"output_tokens": 999 + number}})
        await asyncio.sleep(0.02)
        service.leave()
        poller = self._poller(
            Pool("a", [_endpoint("r0", runner.address), _endpoint("gone", "127.0.0.1:1")]),
            Pool("b", [_endpoint("s0", service.address)], "service"),
        )
        await poller.poll(self.http)
        self.assertEqual(self.reports.load("r0"), 3)
        self.assertEqual(self.reports.load("gone"), 0)
        self.assertFalse(self.health.is_leaving("r0"))
        self.assertTrue(self.health.is_leaving("s0"))

    async def test_evicted_blocks_are_forgotten(self) -> None:
        runner = FakeRunner("r0")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        poller = self._poller(Pool("a", [_endpoint("r0", runner.address)]))
        self.prefixes.record("r0", (1, 2), 100)
        limit = runner.engine.cfg.cache_blocks
        runner.engine.cache.store([1, 2, *range(10, limit + 9)])
        await poller.poll(self.http)
        self.assertEqual(self.prefixes.matching_blocks("r0", (1, 2)), 0)
        self.assertEqual(self.prefixes.matching_blocks("r0", (2,)), 1)

    async def test_beyond_the_limit_only_brokered_endpoints_are_asked(self) -> None:
        runner = FakeRunner("r0")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        runner.leave()
        others = [_endpoint(f"x{n}", "127.0.0.1:1") for n in range(MAX_POLLED)]
        pool = Pool("a", [_endpoint("r0", runner.address), *others])
        await self._poller(pool).poll(self.http)
        self.assertFalse(self.health.is_leaving("r0"))
        await self._poller(pool, brokered={"r0", "unknown"}).poll(self.http)
        self.assertTrue(self.health.is_leaving("r0"))


class _Recorder(EndpointPoller):
    """Records when each endpoint is asked, and whether for events."""

    def __init__(self, endpoints: int, brokered: set[str], answer_s: float = 0.01) -> None:
        names = [f"r{n}" for n in range(endpoints)]
        pool = Pool("a", [_endpoint(name, "127.0.0.1:1") for name in names])
        tables = Tables((), [pool], (), 1)
        super().__init__(
            lambda: tables, LoadReports(), EndpointHealth(), PrefixCacheIndex(), lambda: brokered
        )
        self.asked: list[tuple[float, str, bool]] = []
        self.most = 0
        self._answer_s = answer_s
        self._open = 0

    async def _ask(
        self, http: aiohttp.ClientSession, pool: Pool, endpoint: Endpoint, events: bool = True
    ) -> None:
        self.asked.append((asyncio.get_running_loop().time(), endpoint.name, events))
        self._open += 1
        self.most = max(self.most, self._open)
        await asyncio.sleep(self._answer_s)
        self._open -= 1

    async def watch(self, seconds: float) -> None:
        task = asyncio.create_task(self.run())
        await asyncio.sleep(seconds)
        task.cancel()


class ScheduleTest(unittest.TestCase):
    """Guards against polls that come too late for guarantee 6, or all at once."""

    def test_few_endpoints_are_all_polled_with_events(self) -> None:
        poller = _Recorder(MAX_POLLED, set())
        simulate(lambda: poller.watch(20 * POLL_S))
        counts = Counter(name for _, name, events in poller.asked if events)
        self.assertEqual(len(counts), MAX_POLLED)
        self.assertGreaterEqual(min(counts.values()), 15)

    def test_many_endpoints_are_polled_spread_over_the_period(self) -> None:
        own = {f"r{n}" for n in range(18)}
        poller = _Recorder(MAX_POLLED + 1, own)
        simulate(lambda: poller.watch(20 * SPREAD_POLL_S))
        self.assertEqual({name for _, name, _ in poller.asked}, own)
        for name in own:
            times = [time for time, asked, _ in poller.asked if asked == name]
            events = [events for _, asked, events in poller.asked if asked == name]
            self.assertLessEqual(times[0], SPREAD_POLL_S + 0.2)
            gaps = [b - a for a, b in pairwise(times)]
            self.assertLessEqual(max(gaps), SPREAD_POLL_S + 0.2)
            self.assertGreaterEqual(sum(gaps) / len(gaps), SPREAD_POLL_S - 0.1)
            self.assertEqual(events, [n % 2 == 0 for n in range(len(events))])
        self.assertLessEqual(poller.most, 9)

    def test_endpoints_that_do_not_answer_do_not_pile_up(self) -> None:
        poller = _Recorder(MAX_POLLED + 1, {"r1"}, answer_s=60.0)
        simulate(lambda: poller.watch(50.0))
        self.assertEqual(len(poller.asked), 1)

    def test_new_group_is_polled_within_a_period(self) -> None:
        own = {"r1"}
        poller = _Recorder(MAX_POLLED + 1, own)

        async def main() -> None:
            watching = asyncio.create_task(poller.watch(20.0))
            await asyncio.sleep(10.0)
            own.add("r2")
            await watching

        simulate(main)
        first = next(time for time, name, _ in poller.asked if name == "r2")
        self.assertLessEqual(first, 10.0 + SPREAD_POLL_S + 0.2)
