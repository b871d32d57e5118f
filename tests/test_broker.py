"""Tests of grants by brokers to several nodes, in simulated time."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghub.broker import LEASE_S, MIN_SHARE
from lacewinghub.brokered import BrokeredScheduler
from lacewinghub.errors import Overloaded
from lacewinghub.footprint import FixedMembers
from lacewinghub.grant import SILENCE_S
from lacewinghub.group import GROUP_SIZE, Groups, broker_of, split_pool
from lacewinghub.request import AttemptResult, Grant, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.sim_components import SimMembers, SimNetwork, new_loop
from lacewinghub.tables import Endpoint, Pool, Tables, Target

DONE = AttemptResult(ok=True, first_token_s=0.1, between_tokens_s=0.02, tokens=10)
START_S = 1.0


def _endpoints(count: int, slots: int) -> list[Endpoint]:
    return [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", f"z{n % 3}", slots) for n in range(count)]


class _Cluster:
    """Nodes with a pool ``chat``, connected by a simulated network."""

    def __init__(self, nodes: int = 9, endpoints: int = 3, slots: int = 2) -> None:
        self.slots = endpoints * slots
        self.tables = Tables(pools=[Pool("chat", _endpoints(endpoints, slots))])
        self.network = SimNetwork(0.0005, 0.001, random.Random(1))
        self.members: dict[str, SimMembers] = {}
        self.schedulers: dict[str, BrokeredScheduler] = {}
        self.tasks: dict[str, list[asyncio.Task[None]]] = {}
        self.number = 0
        view = TablesView(lambda: self.tables)
        for number in range(nodes):
            name = f"n{number}"
            transport = self.network.join(name, f"z{number % 3}")
            members = SimMembers(transport, self.network)
            scheduler = BrokeredScheduler(
                view, LoadReports(), transport, members, rng=random.Random(number)
            )
            members.contributors.append(scheduler)
            self.members[name], self.schedulers[name] = members, scheduler
        for name, members in self.members.items():
            members.start()
            self.tasks[name] = [
                asyncio.create_task(members.run()),
                asyncio.create_task(self.schedulers[name].run()),
            ]

    def broker(self, view: str = "n0") -> str:
        group = split_pool(self.tables.pool("chat"))[0]
        return broker_of(group, self.members[view]) or ""

    def others(self) -> list[str]:
        return [name for name in self.schedulers if name != self.broker()]

    def kill(self, node: str) -> None:
        self.network.down.add(node)
        for task in self.tasks[node]:
            task.cancel()

    def cut(self, side: list[str]) -> None:
        rest = [name for name in self.schedulers if name not in side]
        self.network.blocked_pairs = {frozenset((a, b)) for a in side for b in rest}

    def request(self, tier: int = 1, **members: Any) -> Request:
        self.number += 1
        now = asyncio.get_running_loop().time()
        values = {"patience_s": 1000.0, "target": Target()} | members
        return Request(f"q{self.number}", "w", "c", tier, "chat", {}, now, **values)

    async def acquire(self, node: str, tier: int = 1, **members: Any) -> Grant:
        return await self.schedulers[node].acquire(self.request(tier, **members))

    async def use(self, node: str, seconds: float, tier: int = 1) -> Grant:
        grant = await self.acquire(node, tier)
        await asyncio.sleep(seconds)
        self.schedulers[node].release(grant, DONE)
        return grant

    async def fill(self, node: str) -> list[Grant]:
        return [await self.acquire(node) for _ in range(self.slots)]

    def leased(self) -> int:
        """Return the number of leases of the live brokers."""
        return sum(
            len(state.leases)
            for name, scheduler in self.schedulers.items()
            if name not in self.network.down
            for state in scheduler.broker._states.values()
        )


def _run(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main())


class GrantTest(unittest.TestCase):
    """Requests of all nodes are served in tier order, and no slot is lost or used twice."""

    def test_highest_tier_of_all_nodes_goes_first(self) -> None:
        async def main() -> list[str]:
            cluster = _Cluster()
            await asyncio.sleep(START_S)
            held = await cluster.fill("n0")
            order: list[str] = []

            async def one(node: str, tier: int) -> None:
                grant = await cluster.acquire(node, tier)
                order.append(node)
                await asyncio.sleep(1.0)
                cluster.schedulers[node].release(grant, DONE)

            tasks = []
            for node, tier in [("n1", 6), ("n2", 4), ("n3", 2), ("n4", 1)]:
                tasks.append(asyncio.create_task(one(node, tier)))
                await asyncio.sleep(0.5)
            cluster.schedulers["n0"].release(held[0], DONE)
            await asyncio.gather(*tasks)
            return order

        self.assertEqual(_run(main), ["n4", "n3", "n2", "n1"])

    def test_no_runner_receives_more_than_its_slots(self) -> None:
        async def main() -> tuple[int, int]:
            cluster = _Cluster(endpoints=2, slots=3)
            await asyncio.sleep(START_S)
            in_use: Counter[str] = Counter()
            most = 0

            async def one(number: int) -> None:
                nonlocal most
                node = f"n{number % 9}"
                grant = await cluster.acquire(node)
                in_use[grant.endpoint] += 1
                most = max(most, *in_use.values())
                await asyncio.sleep(2.0)
                in_use[grant.endpoint] -= 1
                cluster.schedulers[node].release(grant, DONE)

            await asyncio.gather(*(one(number) for number in range(60)))
            await asyncio.sleep(LEASE_S + 1)
            return most, cluster.leased()

        self.assertEqual(_run(main), (3, 0))

    def test_minimum_share_of_a_low_tier_at_another_node(self) -> None:
        async def main() -> Counter[int]:
            cluster = _Cluster(nodes=3, endpoints=1, slots=1)
            await asyncio.sleep(START_S)
            served: Counter[int] = Counter()

            async def client(node: str, tier: int) -> None:
                while True:
                    await cluster.use(node, 1.0, tier)
                    served[tier] += 1

            tasks = [asyncio.create_task(client("n0", 1)) for _ in range(4)]
            tasks += [asyncio.create_task(client("n1", tier)) for tier in (5, 7)]
            await asyncio.sleep(600)
            for task in tasks:
                task.cancel()
            return served

        served = _run(main)
        for tier in (5, 7):
            self.assertGreaterEqual(served[tier], MIN_SHARE * served.total() - 1)
            self.assertLessEqual(served[tier], 2 * MIN_SHARE * served.total())

    def test_failed_endpoint_is_avoided_while_others_are_usable(self) -> None:
        async def main() -> set[str]:
            cluster = _Cluster(endpoints=3, slots=2)
            await asyncio.sleep(START_S)
            return {
                (
                    await cluster.acquire("n1", excluded_endpoints={"r0", "r1"}, sent_tokens=1)
                ).endpoint
                for _ in range(2)
            }

        self.assertEqual(_run(main), {"r2"})

    def test_crashed_endpoint_is_paused_and_then_probed_with_one_request(self) -> None:
        async def main() -> list[int]:
            cluster = _Cluster(nodes=3, endpoints=1, slots=4)
            await asyncio.sleep(START_S)
            grant = await cluster.acquire("n1")
            cluster.schedulers["n1"].release(grant, AttemptResult(ok=False, crashed=True))
            tasks = [asyncio.create_task(cluster.acquire("n2")) for _ in range(3)]
            counts = []
            for wait in (0.8, 0.6, 0.1):
                await asyncio.sleep(wait)
                done = [task.result() for task in tasks if task.done()]
                counts.append(len(done))
                if len(counts) == 2:
                    cluster.schedulers["n2"].release(done[0], DONE)
            return counts

        self.assertEqual(_run(main), [0, 1, 3])

    def test_cancelled_request_returns_its_slot(self) -> None:
        async def main() -> int:
            cluster = _Cluster()
            await asyncio.sleep(START_S)
            held = await cluster.fill("n0")
            tasks = [asyncio.create_task(cluster.acquire(f"n{n}")) for n in range(1, 9)]
            await asyncio.sleep(0.1)
            for task in tasks:
                task.cancel()
            for grant in held:
                cluster.schedulers["n0"].release(grant, DONE)
            await asyncio.sleep(0.1)
            return cluster.leased()

        self.assertEqual(_run(main), 0)


class FailureTest(unittest.TestCase):
    """When nodes or links fail, requests do not hang and no slot is lost."""

    async def _traffic(self, cluster: _Cluster, nodes: list[str], count: int) -> list[Any]:
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(cluster.use(nodes[number % len(nodes)], 0.5)))
            await asyncio.sleep(0.1)
        return await asyncio.wait_for(asyncio.gather(*tasks, return_exceptions=True), 120)

    def test_slots_of_a_killed_node_are_free_after_the_lease(self) -> None:
        async def main() -> float:
            cluster = _Cluster()
            await asyncio.sleep(START_S)
            victim, other = cluster.others()[:2]
            await cluster.fill(victim)
            cluster.kill(victim)
            began = asyncio.get_running_loop().time()
            grant = await asyncio.wait_for(cluster.acquire(other), 10)
            self.assertTrue(grant.brokered)
            return asyncio.get_running_loop().time() - began

        self.assertLessEqual(_run(main), LEASE_S + 0.5)

    def test_broker_killed(self) -> None:
        async def main() -> None:
            cluster = _Cluster()
            await asyncio.sleep(START_S)
            broker, others = cluster.broker(), cluster.others()
            traffic = asyncio.create_task(self._traffic(cluster, others, 120))
            await asyncio.sleep(3)
            cluster.kill(broker)
            began = asyncio.get_running_loop().time()
            first = await asyncio.wait_for(cluster.use(others[0], 0.1), 2)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.0 + SILENCE_S)
            self.assertFalse(first.brokered)
            results = await traffic
            self.assertEqual([item for item in results if not isinstance(item, Grant)], [])
            await asyncio.sleep(LEASE_S + 1)
            self.assertEqual(cluster.leased(), 0)
            again = await asyncio.wait_for(cluster.fill(others[1]), 1)
            self.assertTrue(all(grant.brokered for grant in again))

        _run(main)

    def test_two_brokers_during_a_partition(self) -> None:
        async def main() -> None:
            cluster = _Cluster()
            await asyncio.sleep(START_S)
            side = [cluster.broker(), *cluster.others()[:3]]
            nodes = list(cluster.schedulers)
            traffic = asyncio.create_task(self._traffic(cluster, nodes, 200))
            await asyncio.sleep(3)
            cluster.cut(side)
            await asyncio.sleep(8)
            far = next(name for name in nodes if name not in side)
            self.assertNotEqual(cluster.broker(side[0]), cluster.broker(far))
            cluster.network.blocked_pairs = set()
            results = await traffic
            self.assertEqual([item for item in results if not isinstance(item, Grant)], [])
            await asyncio.sleep(LEASE_S + 1)
            self.assertEqual(cluster.leased(), 0)

        _run(main)

    def test_partitioned_node_dispatches_directly_within_its_share(self) -> None:
        async def main() -> list[bool]:
            cluster = _Cluster(nodes=3, endpoints=2, slots=6)
            await asyncio.sleep(START_S)
            alone = cluster.others()[0]
            cluster.cut([alone])
            await asyncio.sleep(0.1)
            tasks = [asyncio.create_task(cluster.acquire(alone)) for _ in range(8)]
            done, _ = await asyncio.wait(tasks, timeout=0.6)
            return [task.result().brokered for task in done]

        # With 3 live nodes, a node may send 6 // 3 = 2 requests to each endpoint.
        self.assertEqual(_run(main), [False] * 4)

    def test_lost_messages_lose_no_slot(self) -> None:
        async def main() -> int:
            cluster = _Cluster()
            cluster.network.loss = 0.3
            await asyncio.sleep(START_S)
            results = await self._traffic(cluster, list(cluster.schedulers), 150)
            self.assertEqual([item for item in results if not isinstance(item, Grant)], [])
            cluster.network.loss = 0.0
            await asyncio.sleep(LEASE_S + 1)
            return cluster.leased()

        self.assertEqual(_run(main), 0)


class DifferentialTest(unittest.TestCase):
    """With one slot, random arrivals are served in the order of a sorted list."""

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 8)), min_size=1, max_size=12))
    def test_one_slot_serves_like_a_sorted_list(self, arrivals: list[tuple[int, int]]) -> None:
        async def main() -> list[int]:
            cluster = _Cluster(nodes=3, endpoints=1, slots=1)
            await asyncio.sleep(START_S)
            held = await cluster.acquire("n0")
            tiers: list[int] = []

            async def one(node: str, tier: int) -> None:
                try:
                    grant = await cluster.acquire(node, tier)
                except Overloaded:
                    return
                tiers.append(tier)
                await asyncio.sleep(0.5)
                cluster.schedulers[node].release(grant, DONE)

            tasks = []
            for node, tier in arrivals:
                tasks.append(asyncio.create_task(one(f"n{node}", tier)))
            await asyncio.sleep(0.5)
            cluster.schedulers["n0"].release(held, DONE)
            await asyncio.wait_for(asyncio.gather(*tasks), 60)
            return tiers

        # There are fewer than 1 / MIN_SHARE grants, so the minimum share does not change the order.
        self.assertEqual(_run(main), sorted(tier for _, tier in arrivals))


class GroupTest(unittest.TestCase):
    """Groups are the same at all nodes, within their size limit, and share the load."""

    def test_split(self) -> None:
        for count, groups in [(1, 1), (18, 1), (19, 2), (100, 6)]:
            with self.subTest(count=count):
                items = _endpoints(count, 1)
                found = split_pool(Pool("chat", items))
                self.assertEqual(len(found), groups)
                self.assertLessEqual(max(len(item.endpoints) for item in found), GROUP_SIZE)
                self.assertEqual(sum(len(item.endpoints) for item in found), count)
                again = split_pool(Pool("chat", list(reversed(items))))
                self.assertEqual(found, again)

    def test_unknown_group(self) -> None:
        tables = Tables(pools=[Pool("chat", _endpoints(2, 1))])
        groups = Groups(TablesView(lambda: tables), FixedMembers(3))
        for name, known in [("chat/0", True), ("chat/7", False), ("gone/0", False)]:
            with self.subTest(name):
                self.assertEqual(groups.find(name) is not None, known)

    def test_several_groups_share_the_load(self) -> None:
        async def main() -> int:
            cluster = _Cluster(nodes=3, endpoints=40, slots=1)
            await asyncio.sleep(START_S)
            tasks = [asyncio.create_task(cluster.acquire(f"n{n % 3}")) for n in range(40)]
            done = await asyncio.wait_for(asyncio.gather(*tasks), 10)
            return len({grant.endpoint for grant in done})

        self.assertEqual(_run(main), 40)
