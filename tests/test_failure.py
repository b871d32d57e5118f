"""Failures of nodes, with real processes; every history goes through the checker."""

import asyncio
import random
import unittest
from collections import Counter

from lacewinghub.evidence import CallEnd
from lacewinghub.history import EventKind

from .cluster import Cluster, FailureCase


class TestNodes(FailureCase):
    async def test_same_key_at_all_nodes_while_nodes_are_killed_and_frozen(self) -> None:
        """Guards against a booking that runs twice, whatever its node was doing when it stopped."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                chance = random.Random(seed)
                cluster = await self.open(service_args=["--delay_s", "0.03"])

                async def book(key: str, name: str, delay_s: float, cluster: Cluster = cluster):
                    await asyncio.sleep(delay_s)
                    return await cluster.book(name, key)

                calls = [
                    asyncio.create_task(book(f"k{number}", name, number * 0.05))
                    for number in range(30)
                    for name in cluster.names
                ]
                await asyncio.sleep(chance.uniform(0.2, 0.7))
                cluster.kill("n0")
                await asyncio.sleep(chance.uniform(0.0, 0.4))
                cluster.freeze("n1")
                await asyncio.sleep(0.3)
                cluster.restart("n0")
                await cluster.deployment.wait_up("n0")
                await asyncio.sleep(chance.uniform(0.5, 1.5))
                cluster.wake("n1")
                await asyncio.gather(*calls)
                await cluster.deployment.wait_ready()
                again = await asyncio.gather(*(cluster.book("n0", f"k{i}") for i in range(30)))
                ends = Counter(call.code for call in again)
                self.assertLessEqual(set(ends), {"", "outcome_unknown", "in_progress"}, ends)
                self.assertGreaterEqual(ends[""], 15, ends)
                await self.assert_kept(cluster)

    async def test_frozen_node_wakes_with_a_claim_and_old_tables(self) -> None:
        """Guards against a node that serves with old tables or ends a call that others gave up."""
        cluster = await self.open(service_args=["--delay_s", "0.5"])
        first = asyncio.create_task(cluster.book("n1", "frozen"))
        await asyncio.sleep(0.3)
        cluster.freeze("n1")
        document = cluster.deployment.document()
        document["routes"].append(
            {"name": "late", "pool": "prices", "tier": 5, "model": "prices", "request_class": "x"}
        )
        await cluster.deployment.publish(document)
        cluster.note(EventKind.PUBLISHED, version=2)
        others = await asyncio.gather(cluster.book("n0", "frozen"), cluster.book("n2", "frozen"))
        await asyncio.sleep(5.5)
        cluster.wake("n1")
        await first
        await asyncio.sleep(4.2)
        self.assertEqual((await cluster.status("n1"))["config_version"], 2)
        self.assertLessEqual({call.code for call in others}, {"", "outcome_unknown", "in_progress"})
        chats = await asyncio.gather(*(cluster.chat(name, "after") for name in cluster.names))
        self.assertEqual({call.code for call in chats}, {""})
        await self.assert_kept(cluster)

    async def test_planned_stop_under_load(self) -> None:
        """Guards against a stop that cuts streams, refuses early or never ends."""
        cluster = await self.open()
        long = [asyncio.create_task(cluster.chat("n0", f"history {i}", 400)) for i in range(4)]
        stopping = asyncio.Event()

        async def load(name: str) -> None:
            for index in range(60):
                if stopping.is_set() and name == "n0":
                    return
                await cluster.chat(name, f"question {index} {name}", 8)

        loads = [asyncio.create_task(load(name)) for name in cluster.names for _ in range(3)]
        books = [asyncio.create_task(cluster.book("n0", f"b{i}")) for i in range(5)]
        await asyncio.sleep(0.5)
        stop = asyncio.create_task(cluster.stop("n0"))
        await asyncio.sleep(0.25)
        stopping.set()
        self.assertEqual(await stop, 0)
        calls = await asyncio.gather(*long, *books)
        await asyncio.gather(*loads)
        self.assertEqual([call.end for call in calls], [CallEnd.FINISHED] * 9)
        self.assertEqual({call.end for call in cluster.evidence.calls}, {CallEnd.FINISHED})
        await self.assert_kept(cluster)


if __name__ == "__main__":
    unittest.main()
