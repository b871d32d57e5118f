"""Nodes with ``Overlay`` membership on a simulated clock and network."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

import looptime

from lacewinghub.membership import HeartbeatContributor
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.message import Heartbeat, Pressure
from lacewinghub.overlay import Overlay
from lacewinghub.transport import Peer

ZONES = 4
ZONE_DELAY_S = {True: 0.0005, False: 0.02}


class FloorContributor(HeartbeatContributor):
    """Shares the admission floor of one pool and stores those of the other nodes."""

    def __init__(self) -> None:
        self.own = 8
        self.seen: dict[str, int] = {}

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.pressure.append(Pressure("p", self.own, [100] * 8))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.seen.pop(heartbeat.node, None)
        for item in heartbeat.pressure:
            self.seen[heartbeat.node] = item.floor

    def lowest(self) -> int:
        return min(self.seen.values(), default=8)


class Cluster:
    """Nodes of a few zones on a network in which only dialled nodes are connected."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.network = MemoryNetwork(self._delay, loss, encode_messages=False, mesh=False)
        self.members: dict[str, Overlay] = {}
        self.floors: dict[str, FloorContributor] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for index in range(size):
            self.start(f"n{index:03}", 1)

    def _delay(self, sender: str, receiver: str) -> float:
        return ZONE_DELAY_S[zone(sender) == zone(receiver)]

    def start(self, name: str, incarnation: int) -> None:
        identity = Peer(name, incarnation, zone(name), f"memory:{name}")
        seeds = ["memory:n000", "memory:n001", "memory:n002"]
        member = Overlay(identity, self.network.transport(identity), seeds)
        self.floors[name] = FloorContributor()
        member.add(self.floors[name])
        self.members[name] = member
        self.attach(name, member)
        self.tasks[name] = asyncio.create_task(member.run())

    def attach(self, name: str, member: Overlay) -> None:
        """Add further components to a node; for subclasses."""

    def kill(self, name: str) -> None:
        self.tasks.pop(name).cancel()
        self.members.pop(name)
        self.floors.pop(name)
        self.network.detach(name)

    def agree(self, names: set[str], seen_by: set[str] | None = None) -> bool:
        return all(
            {item.node for item in member.live()} == names
            for name, member in self.members.items()
            if seen_by is None or name in seen_by
        )

    async def until(self, check: Callable[[], bool], timeout_s: float) -> float:
        """Wait for a condition and return how long it took, in seconds."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not check():
            if loop.time() - start > timeout_s:
                raise AssertionError(f"not within {timeout_s} s")
            await asyncio.sleep(0.05)
        return loop.time() - start

    async def stop(self) -> None:
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def zone(name: str) -> str:
    """Return the zone of a node."""
    return f"zone-{int(name[1:]) % ZONES}"


class SimulatedCase(unittest.TestCase):
    """Runs tests with a cluster in which all nodes see each other as live."""

    cluster: ClassVar[type[Cluster]] = Cluster

    def run_simulated(
        self, test: Callable[[Any], Coroutine[Any, Any, None]], size: int = 40, **options: Any
    ) -> None:
        async def main() -> None:
            cluster = self.cluster(size, **options)
            try:
                await cluster.until(lambda: cluster.agree(set(cluster.members)), 15)
                await asyncio.sleep(8)
                await test(cluster)
            finally:
                await cluster.stop()

        loop = looptime.new_event_loop(end=10_000)
        try:
            loop.run_until_complete(main())
        finally:
            loop.close()
