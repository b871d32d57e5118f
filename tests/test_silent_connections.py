"""Tests of connections that fall silent for good, to the store or between nodes."""

import asyncio

from .platform_cluster import ROUTES, PlatformCase, config

CONFIG_S = 2.0  # Time within which a change must be in force, the platform's default.
DRAIN_S = 2.0  # Time within which a runner that is gone must receive nothing, its default.
# Time after such a disruption from which on both hold, the platform's default.
SETTLE_S = 3.0


class TestSilentConnections(PlatformCase):
    """Guards against waiting for an answer on a connection whose other end is gone for good."""

    nodes = 3

    async def test_changes_are_in_force_in_time(self) -> None:
        for version, silence in enumerate((self.sever_store, self.sever_peers, self.sever_all), 2):
            with self.subTest(silence.__name__):
                silence()
                await asyncio.sleep(SETTLE_S)
                self.store.put("keyed.op", "config", config(version, ROUTES))
                await self.until_version(version, CONFIG_S)

    async def test_a_runner_that_is_gone_receives_nothing(self) -> None:
        self.sever_all()
        await asyncio.sleep(SETTLE_S)
        gone = self.apps[0]
        self.store.put("keyed.servers", gone.name, None)
        await asyncio.sleep(DRAIN_S)
        gone.arrivals.clear()
        answers = [await self.ask("/once/a", node=number % 3) for number in range(30)]
        self.assertEqual({item.status for item in answers}, {200})
        self.assertEqual(len(gone.arrivals), 0)

    def sever_store(self) -> None:
        """Let the open connections of all nodes to the store fall silent."""
        for listener in self.listeners:
            listener.sever()

    def sever_peers(self) -> None:
        """Let the open connections between the nodes fall silent."""
        for node in self.members:
            for link in node._peers._links.values():
                link._conn.transport.pause_reading()

    def sever_all(self) -> None:
        """Let all open connections of the nodes fall silent."""
        self.sever_store()
        self.sever_peers()
