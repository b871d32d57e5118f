"""Test of a deployment beyond a full mesh, with processes; its history is checked afterwards."""

import asyncio
import statistics
from collections.abc import Callable
from typing import Any

from lacewinghub.history import EventKind
from lacewinghub.overlay import DEGREE, MESH_LIMIT
from lacewinghub.transport import MAX_ON_DEMAND

from .cluster import Cluster, FailureCase

NODES = 16
RUNNERS = 4
FORM_S = 20.0
LEAVING_BOUND_S = 3.0
# A dead node is suspect after 1.5 s, and the gossip about it takes up to 5 hops.
SUSPECT_BOUND_S = 4.0


class TestSixteenNodes(FailureCase):
    async def test_requests_a_killed_node_and_a_leaving_runner(self) -> None:
        """Guards against nodes that cannot serve, or miss updates, for lack of a connection."""
        cluster = await self.open(nodes=NODES, runners=RUNNERS, ready=False)
        # The time limit of a configuration change holds for running nodes; starting this many
        # takes longer.
        await cluster.deployment.wait_up()
        await cluster.start()
        await self.until(cluster, FORM_S, lambda item: live(item) == NODES)
        await self.until(cluster, FORM_S, lambda item: item["connections"]["peers"] <= MESH_LIMIT)
        await self.assert_served(cluster)
        found = [item["connections"] for item in await self.statuses(cluster)]
        self.assertTrue(any(item["on_demand"] for item in found))
        # Unneeded connections are closed one after the other while the choices settle.
        async with asyncio.timeout(FORM_S):
            while statistics.mean(item["peers"] for item in found) > DEGREE:
                await asyncio.sleep(0.1)
                found = [item["connections"] for item in await self.statuses(cluster)]
        self.assertLessEqual(max(item["on_demand"] for item in found), MAX_ON_DEMAND)

        cluster.kill("n5")
        cluster.deployment.nodes.pop("n5")
        await self.until(cluster, SUSPECT_BOUND_S, lambda item: live(item) == NODES - 1)
        await self.assert_served(cluster)

        cluster.note(EventKind.LEAVING, endpoint="r0")
        await cluster.control(cluster.deployment.runners[0], "leave")
        await self.until(
            cluster, LEAVING_BOUND_S, lambda item: item["endpoints"]["assistant"]["leaving"] == 1
        )
        await asyncio.sleep(LEAVING_BOUND_S)
        await self.assert_served(cluster)
        await self.assert_kept(cluster)

    async def statuses(self, cluster: Cluster) -> list[dict[str, Any]]:
        return await asyncio.gather(*(cluster.status(name) for name in cluster.names))

    async def until(
        self, cluster: Cluster, timeout_s: float, check: Callable[[dict[str, Any]], bool]
    ) -> None:
        """Wait until the status of every node passes a check."""
        async with asyncio.timeout(timeout_s):
            while not all(check(item) for item in await self.statuses(cluster)):
                await asyncio.sleep(0.1)

    async def assert_served(self, cluster: Cluster) -> None:
        """Send two chats to every node, all at once."""
        calls = await asyncio.gather(
            *(cluster.chat(name, f"{name} {i}", 10) for name in cluster.names for i in range(2))
        )
        self.assertEqual({call.code for call in calls}, {""})
        self.assertTrue(all(call.answer == call.expected for call in calls))


def live(status: dict[str, Any]) -> int:
    """Return the number of live nodes in a status."""
    return list(status["members"].values()).count("live")
