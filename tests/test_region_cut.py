"""Test of a partition between two regions with nine node processes, the log on one side."""

import asyncio
import os
import time
import unittest
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from lacewinghub.checker import GuaranteeBounds
from lacewinghub.evidence import CallRecord
from lacewinghub.history import EventKind

from .cluster import Cluster, FailureCase
from .processes import descriptors, free_port
from .relay import TcpProxy

SERVICE = ["--delay_s", "0.05"]
KEYS = 20


class TestRegionCut(FailureCase):
    """Guards against regions that fail without each other, or that both run one key."""

    async def test_two_groups_with_the_log_on_one_side(self) -> None:
        cluster, relays, near, far = await self._open("")
        for relay in relays:
            relay.cut()
        await cluster.until_live(len(near), near)
        await cluster.until_live(len(far), far)
        document = cluster.deployment.document()
        document["workspaces"].append({"name": "late"})
        published = time.time()
        await cluster.deployment.publish(document)
        chats, books = await self._use_both(cluster, near, far)
        self.assertEqual({call.code for call in chats}, {""})
        self.assertEqual({call.code for call in books if call.node in near}, {""})
        apart = Counter(call.code for call in books if call.node in far)
        self.assertEqual(set(apart), {"key_unverified"}, apart)
        await self._until_version(cluster, near, 2)
        self.assertEqual({(await cluster.status(name))["config_version"] for name in far}, {1})
        for relay in relays:
            relay.heal()
        # For nodes that could reach neither the log nor a node with the change, the time limit
        # starts here.
        cluster.note(EventKind.PUBLISHED, version=2)
        await cluster.until_live(9)
        await self._until_version(cluster, cluster.names, 2)
        again = await asyncio.gather(*(cluster.book(far[i % 4], f"both{i}") for i in range(KEYS)))
        self.assertEqual({call.code for call in again}, {""})
        await asyncio.sleep(GuaranteeBounds().config_s)
        await self.assert_kept(cluster)
        in_force = [
            event.time
            for event in cluster.evidence.events_of(EventKind.CONFIG)
            if event.node in near and event.version == 2
        ]
        self.assertEqual(len(in_force), len(near))
        self.assertLessEqual(max(in_force) - published, GuaranteeBounds().config_s)

    async def test_counterpart(self) -> None:
        """Without claims, both sides run the same keys."""
        cluster, relays, near, far = await self._open("claims")
        for relay in relays:
            relay.cut()
        await self._use_both(cluster, near, far)
        self.assertIn("at_most_once", {item.rule for item in await cluster.check()})

    async def _open(self, without: str) -> tuple[Cluster, list[TcpProxy], list[str], list[str]]:
        """Start five nodes near the log and four that reach them and the log through proxies."""
        cluster = await self.open(
            nodes=0, services=2, ready=False, service_args=SERVICE, without=without
        )
        near, far = [f"near-{i}" for i in range(5)], [f"far-{i}" for i in range(4)]
        targets = {name: f"127.0.0.1:{free_port()}" for name in [*near, *far]}
        peers = {
            name: TcpProxy(target, _other_side(cluster, far if name in near else near))
            for name, target in targets.items()
        }
        log = TcpProxy(cluster.deployment.log.address)
        for relay in [*peers.values(), log]:
            await relay.start()
            self.addCleanup(relay.close)
        for name, relay in peers.items():
            cluster.deployment.add_node(
                name,
                availability_zone=name.split("-")[0],
                peer_listen=targets[name],
                peer_address=relay.address,
                peers=[item.address for item in peers.values()],
                log=cluster.deployment.log.address if name in near else log.address,
            )
        await cluster.start()
        await cluster.until_live(9)
        return cluster, [*peers.values(), log], near, far

    async def _use_both(
        self, cluster: Cluster, near: list[str], far: list[str]
    ) -> tuple[list[CallRecord], list[CallRecord]]:
        """Send chats to all nodes, and each key to both sides at the same time."""
        chats = [cluster.chat(name, f"q{i}", 10) for i in range(3) for name in [*near, *far]]
        books = [
            cluster.book(side[i % len(side)], f"both{i}")
            for i in range(KEYS)
            for side in (near, far)
        ]
        return await asyncio.gather(*chats), await asyncio.gather(*books)

    async def _until_version(self, cluster: Cluster, names: list[str], version: int) -> None:
        async with asyncio.timeout(20):
            for name in names:
                while (await cluster.status(name))["config_version"] != version:
                    await asyncio.sleep(0.05)


def _other_side(cluster: Cluster, names: list[str]) -> Callable[[int], bool]:
    """Return a function that tells whether a local port belongs to one of these nodes."""

    def crosses(port: int) -> bool:
        sockets = _sockets(port)
        nodes = cluster.deployment.nodes
        pids = [nodes[name].pid for name in names if name in nodes]
        return any(sockets & set(_open_files(pid)) for pid in pids)

    return crosses


def _sockets(port: int) -> set[str]:
    """Return the sockets on a local port, named as in /proc/PID/fd.

    Closed connections to other addresses may use the same port; they have no inode.
    """
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = [line.split() for line in lines]
    return {f"socket:[{row[9]}]" for row in rows if int(row[1].rpartition(":")[2], 16) == port}


def _open_files(pid: int) -> list[str]:
    return descriptors(pid) if os.path.exists(f"/proc/{pid}/fd") else []


if __name__ == "__main__":
    unittest.main()
