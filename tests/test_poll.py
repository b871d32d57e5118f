"""Tests of polling endpoints, against stand-ins."""

import asyncio
import unittest

import aiohttp

from lacewinghub.fake_runner import FakeRunner
from lacewinghub.fake_service import FakeService
from lacewinghub.health import EndpointHealth
from lacewinghub.poll import MAX_POLLED, EndpointPoller
from lacewinghub.prefix import PrefixMap
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables


def _endpoint(name: str, address: str) -> Endpoint:
    return Endpoint(name, address, "z")


class EndpointPollerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against loads, leaving states and cache events that are missed or mixed up."""

    async def asyncSetUp(self) -> None:
        self.reports, self.health = LoadReports(), EndpointHealth()
        self.prefixes = PrefixMap()
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
        self.assertEqual(self.prefixes.matched("r0", (1, 2)), 0)
        self.assertEqual(self.prefixes.matched("r0", (2,)), 1)

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
