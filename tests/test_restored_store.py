"""Tests of a store that comes back from a copy: records are lost, offsets are given out again."""

import asyncio

from lacewinghub.fakes.platform_runner import FakeRunner
from lacewinghub.fakes.platform_store import StoreFault

from .platform_cluster import ROUTES, PlatformCase, config, route

IN_FORCE_S = 2.0
NODES_TOPIC = "keyed.nodes"
NEW_ROUTE = [*ROUTES, route("new", "apps", "idempotent")]
# Longer than a read of the configuration waits, so that each node reads again.
READ_AGAIN_S = 2.5


class RestoredCase(PlatformCase):
    nodes = 2

    async def lose(
        self, lost_s: float, outage_s: float, fault: StoreFault, written_again: int
    ) -> None:
        """Lose version 2 and other records, with an outage; then the operator writes again.

        Args:
            lost_s: Time between the copy and the outage, in seconds.
            outage_s: Duration of the outage, in seconds.
            fault: Fault of the store during the outage.
            written_again: Number of further records of the operator before nodes can read.
        """
        saved = self.store.copy()
        self.store.put("keyed.op", "config", config(2, ROUTES))
        for number in range(4):
            self.store.put("keyed.op", f"note-{number}", number)
        await self.until_version(2)
        await asyncio.sleep(lost_s)
        for listener in self.listeners:
            listener.fail(fault)
        await asyncio.sleep(outage_s)
        self.store.restore(saved)
        self.store.put("keyed.op", "config", config(2, ROUTES))
        self.store.put("keyed.op", "config", config(3, NEW_ROUTE))
        for number in range(written_again):
            self.store.put("keyed.op", f"note-{number}", number)
        for listener in self.listeners:
            listener.fail(StoreFault.NONE)


class TestConfiguration(RestoredCase):
    async def test_a_change_after_the_return_is_in_force_in_time(self) -> None:
        # More records than were lost: the offset at which a node reads on is there again.
        cases = [
            ("fewer offsets", 0.3, 1.0, StoreFault.RESET, 0),
            ("as many offsets", 0.3, 1.0, StoreFault.BUSY, 3),
            ("more offsets", 0.3, 1.0, StoreFault.BUSY, 8),
            ("more offsets, silent", 0.3, 1.0, StoreFault.SILENT, 8),
            ("an outage that nobody notices", 0.0, 0.0, StoreFault.NONE, 8),
        ]
        for name, lost_s, outage_s, fault, written_again in cases:
            with self.subTest(name):
                await self.asyncTearDown()
                self.tasks.clear()
                await self.asyncSetUp()
                await self.lose(lost_s, outage_s, fault, written_again)
                await self.until_version(3, READ_AGAIN_S)
                for node in range(self.nodes):
                    self.assertEqual((await self.ask("/new/a", node=node)).status, 200)

    async def test_a_node_that_the_store_refuses_learns_of_the_change(self) -> None:
        await self.lose(0.3, 0.5, StoreFault.BUSY, 0)
        self.listeners[1].fail(StoreFault.BUSY)
        await self.until_version(3, READ_AGAIN_S)
        # Records after the return have offsets that the other node knew with other contents.
        self.store.put("keyed.op", "config", config(4, ROUTES))
        await self.until_version(4, IN_FORCE_S)

    async def test_a_version_does_not_go_back_before_it_is_written_again(self) -> None:
        saved = self.store.copy()
        self.store.put("keyed.op", "config", config(2, NEW_ROUTE))
        await self.until_version(2)
        self.store.restore(saved)
        for _ in range(10):
            self.store.put("keyed.op", "note", 1)
        await asyncio.sleep(READ_AGAIN_S)
        for node in range(self.nodes):
            self.assertEqual((await self.ask("/new/a", node=node)).status, 200)


class TestRunners(RestoredCase):
    async def test_a_runner_that_drains_does_not_come_back(self) -> None:
        for name, restored in (("its record says ready again", 0), ("offsets have grown", 20)):
            with self.subTest(name):
                runner = self.apps[0]
                runner.draining = False
                runner.born += 1000
                runner.announce(self.store)
                await asyncio.sleep(1.0)
                saved = self.store.copy()
                runner.draining = True
                runner.announce(self.store)
                await asyncio.sleep(1.5)
                self.store.restore(saved)
                for _ in range(restored):
                    self.models[0].announce(self.store)
                await asyncio.sleep(1.0)
                runner.arrivals.clear()
                for _ in range(20):
                    await self.ask("/lookup/a")
                self.assertEqual(runner.arrivals, [])

    async def test_a_removed_runner_is_used_again_only_if_it_stays(self) -> None:
        runner = self.apps[0]
        saved = self.store.copy()
        self.store.put("keyed.servers", runner.name, None)
        await asyncio.sleep(1.5)
        self.store.restore(saved)
        self.models[0].announce(self.store)
        await asyncio.sleep(1.5)
        runner.arrivals.clear()
        for _ in range(20):
            await self.ask("/lookup/a")
        self.assertEqual(runner.arrivals, [])

    async def test_a_runner_whose_record_was_lost_is_used_until_it_can_write_again(self) -> None:
        saved = self.store.copy()
        new = FakeRunner("a-new", "apps")
        await new.start()
        self.apps.append(new)
        new.announce(self.store)
        await asyncio.sleep(1.5)
        self.store.restore(saved)
        for number in range(20):
            self.models[number % 2].announce(self.store)
        await asyncio.sleep(1.0)
        for _ in range(20):
            self.assertEqual((await self.ask("/lookup/a")).status, 200)
        self.assertTrue(new.arrivals)
        new.announce(self.store)
        await asyncio.sleep(2.5)
        new.arrivals.clear()
        for _ in range(20):
            await self.ask("/lookup/a")
        self.assertTrue(new.arrivals)


class TestOwnRecords(RestoredCase):
    async def test_nodes_write_their_records_again(self) -> None:
        names = {node.cfg.node for node in self.members}

        async def all_written() -> bool:
            page = self.store.newest(NODES_TOPIC, "")
            return {item["key"] for item in page["items"]} == names

        await self.until(all_written)
        saved = self.store.copy()
        saved.pop(NODES_TOPIC)
        self.store.restore(saved)
        await self.until(all_written, 4.0)
