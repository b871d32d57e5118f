"""Tests of grants from brokers that are not peers, with simulated nodes."""

import asyncio
import itertools
import random
import unittest

from lacewinghub.brokered import BrokeredScheduler
from lacewinghub.footprint import sample_tables
from lacewinghub.group import broker_of, split_pool
from lacewinghub.message import Heartbeat
from lacewinghub.ondemand import OnDemandTransport
from lacewinghub.overlay import MESH_LIMIT, Overlay
from lacewinghub.request import AttemptResult, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Tables, Target
from lacewinghub.transport import MAX_ON_DEMAND, ON_DEMAND_IDLE_S

from .overlay_cluster import Cluster, SimulatedCase

POOL = "model-0"


def request(number: int, fingerprint: int = 0) -> Request:
    """Build a request."""
    now = asyncio.get_running_loop().time()
    return Request(
        f"q{number}", "workspace-0", "c", 1, POOL, {}, now, 30.0, Target(), None, fingerprint
    )


class BrokerCluster(Cluster):
    """Nodes that ask the brokers of one pool for slots."""

    groups = 20

    def __init__(self, size: int, loss: float = 0.0) -> None:
        document = sample_tables(1, 18 * self.groups, "127.0.0.1:9")
        first = document["pools"][0]
        first["endpoints"] = [item for pool in document["pools"] for item in pool["endpoints"]]
        document["pools"] = [first]
        self.tables = Tables.parse(document, 1)
        self.schedulers: dict[str, BrokeredScheduler] = {}
        self.running: list[asyncio.Task[None]] = []
        self.numbers = itertools.count()
        super().__init__(size, loss)

    def attach(self, name: str, member: Overlay) -> None:
        transport = OnDemandTransport(member._transport, member)
        scheduler = BrokeredScheduler(
            TablesView(lambda: self.tables), LoadReports(), transport, member, rng=random.Random(1)
        )
        member.add(scheduler)
        self.schedulers[name] = scheduler
        self.running.append(asyncio.create_task(scheduler.run()))

    async def serve(self, name: str) -> bool:
        """Serve a request and return whether a broker granted its slot."""
        scheduler = self.schedulers[name]
        grant = await scheduler.acquire(request(next(self.numbers)))
        await asyncio.sleep(0.05)
        scheduler.release(grant, AttemptResult(True, 0.02, 0.01, 10))
        return grant.brokered

    async def stop(self) -> None:
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
        await super().stop()


class TestBrokers(SimulatedCase):
    cluster = BrokerCluster

    def test_grants_from_brokers_beyond_the_peers(self) -> None:
        """Guards against demands without a connection, and connections that are never closed."""

        async def test(cluster: BrokerCluster) -> None:
            names = list(cluster.members)
            before = {name: len(cluster.network.others(name)) for name in names}
            brokered = 0
            for _ in range(20):
                brokered += sum(await asyncio.gather(*(cluster.serve(name) for name in names)))
            # Only the first request to a broker may be dispatched without a grant.
            self.assertGreater(brokered, 0.9 * 20 * len(names))
            opened = [cluster.network.on_demand(name) for name in names]
            self.assertGreater(sum(opened), len(names))
            self.assertLessEqual(max(opened), MAX_ON_DEMAND)
            self.assertEqual({name: len(cluster.network.others(name)) for name in names}, before)
            await asyncio.sleep(ON_DEMAND_IDLE_S + 1)
            self.assertEqual(sum(cluster.network.on_demand(name) for name in names), 0)
            self.assertTrue(cluster.agree(set(names)))

        self.run_simulated(test, size=40)

    def test_free_slots_reach_all_nodes(self) -> None:
        """Guards against a choice of groups that knows only those of the peers."""

        async def test(cluster: BrokerCluster) -> None:
            groups = split_pool(cluster.tables.pools[POOL])
            self.assertEqual(len(groups), cluster.groups)
            for name, scheduler in cluster.schedulers.items():
                for group in groups:
                    if broker_of(group, cluster.members[name]) != name:
                        self.assertGreater(
                            scheduler._free.free_slots(group.name), 0, (name, group.name)
                        )

        self.run_simulated(test, size=40)


class TestMeshOfTwelve(SimulatedCase):
    cluster = BrokerCluster

    def test_twelve_nodes_relay_nothing(self) -> None:
        """Guards against a small deployment that behaves unlike a full mesh."""

        async def test(cluster: BrokerCluster) -> None:
            seen: list[Heartbeat] = []
            for name, member in cluster.members.items():
                self.assertEqual(len(cluster.network.others(name)), MESH_LIMIT - 1)
                member._transport.subscribe(Heartbeat, lambda _, item: seen.append(item))
            await asyncio.gather(*(cluster.serve(name) for name in cluster.members))
            await asyncio.sleep(3)
            self.assertTrue(all(len(item.pressure) == 2 for item in seen))
            self.assertFalse(any(x.relayed or x.free_elsewhere or x.trials for x in seen))
            self.assertEqual(sum(map(cluster.network.on_demand, cluster.members)), 0)

        self.run_simulated(test, size=MESH_LIMIT)


if __name__ == "__main__":
    unittest.main()
