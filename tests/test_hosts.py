"""Tests of the client of the host list."""

import asyncio
import contextlib
import unittest

from lacewinghub.errors import Unreachable
from lacewinghub.fake_hosts import FakeHosts
from lacewinghub.hosts import Host, HostList


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that loses its peers while the host list is unavailable."""

    async def asyncSetUp(self) -> None:
        self.now = 0.0
        self.fake = FakeHosts(lag_s=10.0, clock=lambda: self.now)
        await self.fake.start()
        self.seen: list[list[str]] = []
        self.hosts = HostList(self.fake.address, self.seen.append, poll_s=0.02)
        self.addAsyncCleanup(self.fake.stop)
        self.addAsyncCleanup(self.hosts.close)

    async def test_changes_show_after_the_lag(self) -> None:
        self.fake.put("10.0.0.1:80")
        self.assertEqual(await self.hosts.fetch(), [])
        self.now = 11.0
        self.assertEqual(await self.hosts.fetch(), [Host("10.0.0.1:80", "live")])
        self.fake.put("10.0.0.1:80", "leaving")
        self.now = 15.0
        self.assertEqual(await self.hosts.fetch(), [Host("10.0.0.1:80", "live")])
        self.now = 22.0
        self.assertEqual(await self.hosts.fetch(), [Host("10.0.0.1:80", "leaving")])

    async def test_last_answer_stays_in_use_while_the_list_is_unavailable(self) -> None:
        self.fake.put("10.0.0.1:80")
        self.fake.put("10.0.0.2:80", "leaving")
        self.now = 11.0
        task = asyncio.ensure_future(self.hosts.run())
        while not self.seen:
            await asyncio.sleep(0.01)
        self.fake.crash()
        await asyncio.sleep(0.2)
        self.assertEqual(self.seen[-1], ["10.0.0.1:80"])
        self.assertEqual(len(self.hosts.hosts), 2)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def test_answer_in_another_format_is_an_error(self) -> None:
        self.fake.put("host.example:80")
        self.now = 11.0
        with self.assertRaises(Unreachable):
            await self.hosts.fetch()
