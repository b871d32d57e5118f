"""Tests of network partitions between nodes, with real processes and the checker."""

import asyncio
import unittest

from lacewinghub.history import EventKind

from .cluster import FailureCase
from .processes import free_port
from .relay import TcpProxy


class TestPartition(FailureCase):
    async def test_peers_are_partitioned(self) -> None:
        """Guards against nodes that depend on each other for correct keys, tables or answers."""
        cluster = await self.open(nodes=0, service_args=["--delay_s", "0.02"], ready=False)
        targets = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        relays = [TcpProxy(target) for target in targets]
        for relay in relays:
            await relay.start()
            self.addCleanup(relay.close)
        peers = [relay.address for relay in relays]
        for index, (relay, target) in enumerate(zip(relays, targets, strict=True)):
            members = {"peer_listen": target, "peer_address": relay.address, "peers": peers}
            cluster.deployment.add_node(f"n{index}", **members)
        await cluster.start()
        await cluster.until_live(3)
        for relay in relays:
            relay.cut()
        await asyncio.sleep(0.2)
        document = cluster.deployment.document()
        document["routes"].append(
            {"name": "late", "pool": "prices", "tier": 5, "model": "prices", "request_class": "x"}
        )
        await cluster.deployment.publish(document)
        cluster.note(EventKind.PUBLISHED, version=2)
        for number in range(25):
            calls = [cluster.book(name, f"k{number}") for name in cluster.names]
            chats = [cluster.chat(name, f"q{number}", 10) for name in cluster.names]
            books = await asyncio.gather(*calls)
            answers = await asyncio.gather(*chats)
            self.assertEqual({call.code for call in answers}, {""})
            self.assertIn("", {call.code for call in books})
            await asyncio.sleep(0.1)
        await cluster.until_live(1)
        for relay in relays:
            relay.heal()
        await cluster.until_live(3)
        await self.assert_kept(cluster)


if __name__ == "__main__":
    unittest.main()
