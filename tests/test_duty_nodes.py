"""Tests of the duty lease and of the reports to its holder with real nodes."""

import asyncio
import unittest

from loguru import logger

from lacewinghub.conditional_topic import AppendConflict, Appended
from lacewinghub.duties import ReceivedReport
from lacewinghub.errors import LogUnavailable
from lacewinghub.fakes.platform_store import FakeStore, StoreFault
from lacewinghub.platform.store import StoreClient, StoreTopic
from lacewinghub.proxynode import ProxyNode

from .platform_cluster import PlatformCase

TOPIC = "keyed.duties"
LEASE_MS = 1500
DUTIES = {
    "bounds": {"budget_min_retries": 1200, "lease_ms": LEASE_MS},
    "cloud_api": {"address": "127.0.0.1:9", "duties": ["usage_report"]},
}


class TestDutyNodes(PlatformCase):
    nodes = 2
    settings = DUTIES

    async def holder(self) -> ProxyNode:
        """Wait until one node holds the lease, and return it."""
        await self.until(self.is_held, 8.0)
        return next(node for node in self.members if node._duties.lease.held_token())

    async def is_held(self) -> bool:
        return any(node._duties.lease.held_token() for node in self.members)

    async def test_the_other_node_takes_over_from_a_stopped_holder(self) -> None:
        # Guards against a planned stop that leaves the duties undone until the lease has expired.
        first = await self.holder()
        other = next(node for node in self.members if node is not first)
        token = first._duties.lease.held_token()
        self.assertIsNone(other._duties.lease.held_token())

        async def both_report() -> bool:
            found = {item.report.node for item in first._duties.reports.reports() if item.live}
            return found == {node.cfg.node for node in self.members}

        await self.until(both_report)
        first.request_stop()
        # Less than the time for which a lease that was not given up must be seen unchanged.
        await self.until(lambda: _holds(other), 1.0 + 1.0 + 0.5)
        self.assertGreater(other._duties.lease.held_token(), token)
        self.assertFalse(await _holds(first))
        # The stopped node goes on reporting while it drains, for the last time when it ends.
        await self.until(lambda: _has_report(other, first.cfg.node))
        at_the_end = [first._duties.reports._seq]
        send = first._duties.reports.send

        def send_last() -> None:
            at_the_end.append(first._duties.reports._seq + 1)
            send()

        first._duties.reports.send = send_last
        await asyncio.wait([self.tasks[self.members.index(first)]])
        found = {item.report.node: item.report.seq for item in other._duties.reports.reports()}
        # A periodic report may follow the last one before the process ends, with the same counts.
        self.assertGreaterEqual(found[first.cfg.node], at_the_end[-1])
        self.assertEqual(len(at_the_end), 2)


async def _holds(node: ProxyNode) -> bool:
    return node._duties.lease.held_token() is not None


async def _has_report(node: ProxyNode, sender: str) -> bool:
    found: list[ReceivedReport] = node._duties.reports.reports()
    return any(item.report.node == sender for item in found)


class TestWithoutDuties(PlatformCase):
    nodes = 2

    async def test_nothing_is_started_and_nothing_written(self) -> None:
        # Guards against calls and traffic of deployments whose platform has no duties.
        for node in self.members:
            self.assertIsNone(node._duties)
            names = {part.get_name() for part in node._supervisor._parts if hasattr(part, "cancel")}
            self.assertFalse([name for name in names if "lease" in name or "leader" in name])
        self.assertNotIn(TOPIC, self.store._topics)


class TestShortLease(PlatformCase):
    nodes = 1
    settings = DUTIES | {"bounds": {"budget_min_retries": 1200, "lease_ms": LEASE_MS - 10}}

    async def asyncSetUp(self) -> None:
        self.lines: list[str] = []
        logger.enable("lacewinghub")
        sink = logger.add(lambda line: self.lines.append(str(line)), level="ERROR")
        self.addCleanup(logger.remove, sink)
        self.addCleanup(logger.disable, "lacewinghub")
        await super().asyncSetUp()

    async def test_duties_are_off_and_the_reason_is_logged(self) -> None:
        # Guards against a lease that is held without ever leaving time for a call.
        self.assertIsNone(self.members[0]._duties)
        self.assertEqual(sum("singleton duties are off" in line for line in self.lines), 1)
        self.assertNotIn(TOPIC, self.store._topics)


class TestStoreTopic(unittest.IsolatedAsyncioTestCase):
    async def test_conditional_appends(self) -> None:
        # Guards against records that are appended although another node has appended meanwhile, or
        # only in part, and against an append whose era is not known.
        store = FakeStore()
        listener = await store.open_listener()
        client = StoreClient(listener.address)
        topic = StoreTopic(client, TOPIC)
        try:
            self.assertEqual(await topic.append_at(0, [("a", b"1"), ("b", b"2")]), Appended(2, 0))
            with self.assertRaises(AppendConflict):
                await topic.append_at(1, [("a", b"3"), ("c", b"4")])
            page = await topic.newest()
            self.assertEqual(
                {item.key: item.value for item in page.records}, {"a": b"1", "b": b"2"}
            )
            self.assertEqual((page.end, page.era), (2, 0))
            store.restore(store.copy())
            self.assertEqual(await topic.append_at(2, [("a", b"5")]), Appended(3, 1))
            listener.fail(StoreFault.BUSY)
            with self.assertRaises(LogUnavailable):
                await topic.append_at(3, [("a", b"6")])
        finally:
            await client.close()
            await store.stop()
