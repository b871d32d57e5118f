"""Tests of failing owners of claim partitions, with real processes and the checker."""

import asyncio
import random
import unittest
from collections import Counter

from .cluster import Cluster, FailureCase

NODES = 6
PARTITIONS = 8


class TestOwners(FailureCase):
    async def test_same_key_at_several_nodes_while_owners_are_killed_and_frozen(self) -> None:
        """Guards against bookings that are executed twice when their owner fails or changes."""
        rng = random.Random(1)
        cluster = await self.open(
            nodes=NODES,
            service_args=["--delay_s", "0.03"],
            tables={"claims": {"partitions": PARTITIONS}},
        )
        owned = await self._until_owned(cluster)
        self.assertEqual(Counter(n for found in owned for n in found), dict.fromkeys(range(8), 3))

        async def book(key: str, name: str, delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            await cluster.book(name, key)

        calls = [
            asyncio.create_task(book(f"k{number}", name, number * 0.1))
            for number in range(40)
            for name in rng.sample(cluster.names, 4)
        ]
        await asyncio.sleep(0.5)
        cluster.kill("n0")
        await asyncio.sleep(0.4)
        cluster.freeze("n1")
        await asyncio.sleep(0.6)
        cluster.restart("n0")
        await cluster.deployment.wait_up("n0")
        await asyncio.sleep(0.5)
        cluster.kill("n2")
        await asyncio.sleep(1.0)
        cluster.wake("n1")
        cluster.restart("n2")
        await asyncio.gather(*calls)
        await cluster.deployment.wait_ready()
        await self._until_owned(cluster)
        again = await asyncio.gather(*(cluster.book("n5", f"k{i}") for i in range(40)))
        ends = Counter(call.code for call in again)
        self.assertLessEqual(set(ends), {"", "outcome_unknown", "in_progress"}, ends)
        self.assertGreaterEqual(ends[""], 20, ends)
        self.assertEqual(await cluster.stop("n3"), 0)
        await self.assert_kept(cluster)

    async def _until_owned(self, cluster: Cluster) -> list[list[int]]:
        """Wait until each partition has three owners with complete claims; return them by node."""
        for _ in range(200):
            found = [await cluster.status(name) for name in cluster.names]
            owned = [item["claim_partitions"] for item in found]
            ready = all(item["claims_ready"] for item in found)
            if ready and sum(map(len, owned)) == 3 * PARTITIONS:
                return owned
            await asyncio.sleep(0.1)
        raise AssertionError(f"owners did not settle: {owned}")


if __name__ == "__main__":
    unittest.main()
