"""Tests of membership without a full mesh, with many nodes on a simulated network."""

import asyncio
import statistics
import unittest

from lacewinghub.membership import Member, MemberState
from lacewinghub.overlay import DEGREE, MESH_LIMIT, Overlay, choose_peers
from lacewinghub.peer import PeerServer
from lacewinghub.transport import Peer

from .overlay_cluster import Cluster, SimulatedCase, zone


class TestOverlay(SimulatedCase):
    def test_number_of_connections_is_bounded(self) -> None:
        """Guards against seeds, or all nodes, that end up connected to everybody."""

        async def test(cluster: Cluster) -> None:
            degrees = [len(cluster.network.others(name)) for name in cluster.members]
            self.assertLessEqual(statistics.mean(degrees), DEGREE)
            self.assertLessEqual(max(degrees), 2 * DEGREE)
            self.assertTrue(cluster.agree(set(cluster.members)))

        self.run_simulated(test, size=60)

    def test_killed_node_is_dead_everywhere(self) -> None:
        """Guards against a killed node that those without a connection to it keep as live."""

        async def test(cluster: Cluster) -> None:
            cluster.kill("n017")
            names = set(cluster.members)
            await cluster.until(lambda: cluster.agree(names), 3)
            states = {member.state("n017") for member in cluster.members.values()}
            self.assertEqual(states, {MemberState.SUSPECT})
            await asyncio.sleep(6)
            states = {member.state("n017") for member in cluster.members.values()}
            self.assertEqual(states, {MemberState.DEAD})
            cluster.start("n017", 2)
            await cluster.until(lambda: cluster.agree(names | {"n017"}), 10)

        self.run_simulated(test)

    def test_killed_zone_is_dead_everywhere(self) -> None:
        """Guards against dead nodes whose peers all died with them."""

        async def test(cluster: Cluster) -> None:
            for name in [name for name in cluster.members if zone(name) == "zone-1"]:
                cluster.kill(name)
            await cluster.until(lambda: cluster.agree(set(cluster.members)), 20)

        self.run_simulated(test)

    def test_live_nodes_are_not_suspected_when_messages_are_lost(self) -> None:
        """Guards against rumours that remove live nodes."""

        async def test(cluster: Cluster) -> None:
            missing = 0
            for _ in range(100):
                await asyncio.sleep(0.2)
                missing += sum(len(item.live()) < 40 for item in cluster.members.values())
            self.assertLess(missing, 40)

        self.run_simulated(test, loss=0.02)

    def test_leaving_node_is_known_everywhere_at_once(self) -> None:
        """Guards against a planned stop that distant nodes learn late."""

        async def test(cluster: Cluster) -> None:
            cluster.members["n005"].leave()
            names = set(cluster.members) - {"n005"}
            await cluster.until(lambda: cluster.agree(names), 0.5)
            states = {member.state("n005") for member in cluster.members.values()}
            self.assertEqual(states, {MemberState.LEAVING})

        self.run_simulated(test)

    def test_pair_that_cannot_connect_is_not_accused_again_and_again(self) -> None:
        """Guards against rumours without end about two live nodes that do not hear each other."""

        async def test(cluster: Cluster) -> None:
            peer = cluster.network.others("n005")[0].node
            cluster.network.partition(["n005"], [peer])
            await asyncio.sleep(3)
            transports = [member._transport for member in cluster.members.values()]
            before = sum(item.traffic.of("MembershipGossip").sent for item in transports)
            missing = 0
            for _ in range(100):
                await asyncio.sleep(0.2)
                missing += sum(len(item.live()) < 40 for item in cluster.members.values())
            after = sum(item.traffic.of("MembershipGossip").sent for item in transports)
            # Both ends accuse at most every 5 s; accusation and answer pass each connection.
            self.assertLess(after - before, 2 * 5 * 2 * 40 * DEGREE)
            self.assertLess(missing, 0.1 * 100 * 40)

        self.run_simulated(test)

    def test_partition_heals(self) -> None:
        """Guards against two parts that stay apart because all are dead for each other."""

        async def test(cluster: Cluster) -> None:
            left = {name for name in cluster.members if zone(name) in ("zone-0", "zone-1")}
            right = set(cluster.members) - left
            cluster.network.partition(left, right)
            await cluster.until(lambda: cluster.agree(left, left), 30)
            await cluster.until(lambda: cluster.agree(right, right), 30)
            await asyncio.sleep(60)
            cluster.network.heal()
            await cluster.until(lambda: cluster.agree(left | right), 30)

        self.run_simulated(test)

    def test_floor_reaches_all_nodes_within_the_propagation_delay(self) -> None:
        """Guards against nodes that admit low tiers while a distant node sheds high ones."""

        async def test(cluster: Cluster) -> None:
            floors = list(cluster.floors.values())
            cluster.floors["n009"].own = 3
            took = await cluster.until(
                lambda: all(item.lowest() == 3 for item in floors if item.own == 8), 2
            )
            self.assertLessEqual(took, 1.0)
            cluster.floors["n009"].own = 8
            await cluster.until(lambda: all(item.lowest() == 8 for item in floors), 4)

        self.run_simulated(test, size=80)


class TestChoice(unittest.TestCase):
    def test_small_deployment_is_a_full_mesh(self) -> None:
        """Guards against fewer connections where all fit the budget."""
        members = [member(index) for index in range(MESH_LIMIT)]
        for own in members:
            self.assertEqual(len(choose_peers(own, members)), MESH_LIMIT - 1)

    def test_graph_is_connected(self) -> None:
        """Guards against choices that split the nodes into parts."""
        for size in (13, 14, 30, 330):
            with self.subTest(size):
                members = [member(index) for index in range(size)]
                links: dict[str, set[str]] = {item.node: set() for item in members}
                for own in members:
                    for other in choose_peers(own, members[::-1]):
                        links[own.node].add(other)
                        links[other].add(own.node)
                reached, rest = set(), {members[0].node}
                while rest:
                    reached |= rest
                    rest = {other for node in rest for other in links[node]} - reached
                self.assertEqual(len(reached), size)
                self.assertLessEqual(max(map(len, links.values())), 3 * DEGREE)


class TestSockets(unittest.IsolatedAsyncioTestCase):
    async def test_nodes_agree_over_real_connections(self) -> None:
        """Guards against a closed connection that passes for a silent node, again and again."""
        servers = [
            PeerServer(Peer(f"n{i:03}", 1, f"zone-{i % 3}", "127.0.0.1:0"), b"key")
            for i in range(16)
        ]
        for item in servers:
            await item.start()
        seeds = [item.identity.address for item in servers[:2]]
        members = [Overlay(item.identity, item, seeds, period_s=0.1) for item in servers]
        tasks = [asyncio.create_task(item.run()) for item in [*servers, *members]]
        try:
            async with asyncio.timeout(15):
                while any(len(item.live()) < 16 for item in members):
                    await asyncio.sleep(0.05)
                while max(len(item.peers()) for item in servers) > 12:
                    await asyncio.sleep(0.05)
            # Suspicions would come 1.5 s after the first connections were closed.
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.assertEqual({len(item.live()) for item in members}, {16})
            rumours = sum(item.traffic.of("MembershipGossip").sent for item in servers)
            await asyncio.sleep(1)
            after = sum(item.traffic.of("MembershipGossip").sent for item in servers)
            self.assertLess(after - rumours, 16)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def member(index: int) -> Member:
    """Build a live member."""
    name = f"n{index:03}"
    return Member(name, f"10.0.0.1:{index + 1}", zone(name), 1, MemberState.LIVE)


if __name__ == "__main__":
    unittest.main()
