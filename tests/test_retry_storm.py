"""A retry storm: every runner fails for some seconds while the callers repeat their requests."""

import asyncio
import time
import unittest
from collections import Counter

from lacewinghub.evidence import CallEnd, CallRecord
from lacewinghub.history import EventKind

from .cluster import Cluster, FailureCase

NODES, RUNNERS, CALLERS = 3, 4, 48
STORM_S = 6.0
PAUSE_S = 0.05  # Between the repeats of one caller.
RECOVERY_S = 30.0
# The retry budget of each node: share of its requests, retries per second and size of the bucket.
SHARE, PER_S, BURST = 0.1, 1.0, 10.0


class TestRetryStorm(FailureCase):
    """Guards against retries that multiply the load of runners that fail already."""

    async def test_attempts_stay_within_the_budget_and_service_recovers(self) -> None:
        attempts, permitted, requests = await self._storm("")
        print(f"{attempts} attempts for {requests} requests; {permitted:.0f} permitted")
        self.assertLessEqual(attempts, permitted)

    async def test_counterpart(self) -> None:
        """Without the budget the attempts exceed it."""
        attempts, permitted, requests = await self._storm("retry-budget")
        print(f"without the budget {attempts} for {requests} requests; {permitted:.0f} permitted")
        self.assertGreater(attempts, permitted)

    async def _storm(self, without: str) -> tuple[int, float, int]:
        """Return attempts that reached the runners, the permitted number, and the requests."""
        cluster = await self.open(nodes=NODES, runners=RUNNERS, without=without)
        await cluster.until_live(NODES)
        begin = time.time()
        storm = asyncio.Event()
        await self._fail(cluster, True)
        callers = [asyncio.create_task(self._repeat(cluster, i, storm)) for i in range(CALLERS)]
        await asyncio.sleep(STORM_S)
        stats = [await cluster.get(item, "/stats") for item in cluster.deployment.runners]
        ended = time.time()
        await self._fail(cluster, False)
        storm.set()
        async with asyncio.timeout(RECOVERY_S):
            last = await asyncio.gather(*callers)
        recovered = time.time() - ended
        self.assertEqual({call.end for call in last}, {CallEnd.FINISHED})
        self.assertTrue(all(call.answer == call.expected for call in last))
        await cluster.check()
        attempts = sum(item["requests"] for item in stats)
        codes = Counter(call.code for call in cluster.evidence.calls)
        self.assertLessEqual(set(codes), {"", "endpoint_failed"}, codes)
        arrived = cluster.evidence.events_of(EventKind.ARRIVED)
        requests = sum(event.time <= ended for event in arrived)
        permitted = requests * (1 + SHARE) + NODES * (BURST + PER_S * (ended - begin))
        print(f"all callers answered {recovered:.1f} s after the runners")
        await cluster.close()
        return attempts, permitted, requests

    async def _fail(self, cluster: Cluster, fail: bool) -> None:
        """Let all runners refuse every request with status 500, or serve again."""
        for runner in cluster.deployment.runners:
            await cluster.control(runner, "faults", fail=1.0 if fail else 0.0)

    async def _repeat(self, cluster: Cluster, number: int, over: asyncio.Event) -> CallRecord:
        """Send requests until the storm is over, then until one is answered."""
        turn = 0
        while True:
            turn += 1
            node = cluster.names[(number + turn) % NODES]
            last = over.is_set()
            call = await cluster.chat(node, f"{number} {turn}", 5)
            if last and call.end is CallEnd.FINISHED:
                return call
            await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    unittest.main()
