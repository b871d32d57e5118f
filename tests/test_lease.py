"""Tests that brokers and nodes agree on the held grants when messages are lost or delayed."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from lacewinghub.brokered import BrokeredScheduler
from lacewinghub.codec import encode
from lacewinghub.footprint import FixedMembers
from lacewinghub.grant import RENEW_S
from lacewinghub.group import broker_of, split_pool
from lacewinghub.lease import LEASE_S, GrantSetDigest, Leases
from lacewinghub.memory_transport import MemoryNetwork, MemoryTransport
from lacewinghub.message import Demand, Grants, GroupFreeSlots, Heartbeat, HeldGrant, Message
from lacewinghub.request import AttemptResult, Grant, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables, Target

from .clock import simulate

NODES = 4
START_S = 1.0
DELAY_S = 0.02
DONE = AttemptResult(True, 0.1, 0.02, 10)


class _Network(MemoryNetwork):
    """Repeats and reorders messages, and holds back those of frozen nodes."""

    def __init__(self, delay_s: float = DELAY_S) -> None:
        super().__init__(delay_s)
        self.repeats = 0.0
        self.reorders = 0.0
        self.frozen: set[str] = set()
        self.late: list[tuple[MemoryTransport, str, Message]] = []
        self.seen: list[tuple[str, Message]] = []
        self._rng = random.Random(5)

    def schedule_delivery(self, sender: MemoryTransport, node: str, message: Message) -> bool:
        self.seen.append((sender.node, message))
        if {sender.node, node} & self.frozen:
            self.late.append((sender, node, message))
            return True
        done = super().schedule_delivery(sender, node, message)
        if self._rng.random() < self.repeats:
            asyncio.get_running_loop().call_later(
                0.3 * self._rng.random(), super().schedule_delivery, sender, node, message
            )
        return done

    def thaw(self) -> None:
        self.frozen.clear()
        late, self.late = self.late, []
        for sender, node, message in late:
            super().schedule_delivery(sender, node, message)

    def _due_at(self, sender: str, node: str) -> float:
        due = super()._due_at(sender, node)
        return due + 0.2 * self._rng.random() if self._rng.random() < self.reorders else due

    def resends(self) -> int:
        return sum(isinstance(item, Grants) and item.resend > 0 for _, item in self.seen)


class _Cluster:
    """Nodes with one pool of three groups, whose brokers are the nodes."""

    def __init__(self, network: _Network, endpoints: int = 54, slots: int = 2) -> None:
        items = [Endpoint(f"r{n}", "127.0.0.1:9", f"z{n % 3}", slots) for n in range(endpoints)]
        self.tables = Tables(pools=[Pool("chat", items)])
        self.slots = endpoints * slots
        self.network, self.members = network, FixedMembers(NODES)
        self.names = [item.node for item in self.members.live()]
        self.schedulers: dict[str, BrokeredScheduler] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.number = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        transport = self.network.transport(name)
        view = TablesView(lambda: self.tables)
        self.schedulers[name] = BrokeredScheduler(
            view, LoadReports(), transport, self.members, rng=random.Random(name)
        )
        self.resume(name)

    def resume(self, name: str) -> None:
        self.tasks[name] = asyncio.create_task(self.schedulers[name].run())

    async def acquire(self, node: str, tier: int = 1) -> Grant:
        self.number += 1
        now = asyncio.get_running_loop().time()
        req = Request(f"q{self.number}", "w", "c", tier, "chat", {}, now, 1000.0, Target())
        return await self.schedulers[node].acquire(req)

    async def use(self, node: str, seconds: float) -> None:
        grant = await self.acquire(node)
        await asyncio.sleep(seconds)
        self.schedulers[node].release(grant, DONE)

    def held(self) -> set[tuple[str, str, int]]:
        """Return group, node and number of every grant in use."""
        return {
            (group, node, number)
            for node, scheduler in self.schedulers.items()
            for group, state in scheduler._client._demands.items()
            for number in state.held
        }

    def leased(self) -> set[tuple[str, str, int]]:
        """Return group, node and number of every lease of a broker."""
        return {
            (group, node, number)
            for scheduler in self.schedulers.values()
            for group, state in scheduler.broker._states.items()
            for node, number in state.leases
        }

    def free(self) -> int:
        brokers = [scheduler.broker for scheduler in self.schedulers.values()]
        return sum(item.free for broker in brokers for item in broker.free())


Fault = Callable[[_Cluster], Coroutine[Any, Any, None]]


async def _lossy(cluster: _Cluster) -> None:
    cluster.network.loss = 0.4
    await asyncio.sleep(20)
    cluster.network.loss = 0.0


async def _repeated_and_reordered(cluster: _Cluster) -> None:
    cluster.network.repeats = cluster.network.reorders = cluster.network.loss = 0.2
    await asyncio.sleep(20)
    cluster.network.repeats = cluster.network.reorders = cluster.network.loss = 0.0
    await asyncio.sleep(0.5)  # Until the last repeated message has arrived.


async def _frozen(cluster: _Cluster) -> None:
    name = cluster.names[1]
    cluster.network.frozen.add(name)
    cluster.tasks[name].cancel()
    await asyncio.sleep(3 * LEASE_S)
    cluster.network.thaw()
    cluster.resume(name)


async def _cut_off(cluster: _Cluster) -> None:
    cluster.network.partition([cluster.names[2]], cluster.names[:2])
    await asyncio.sleep(3 * LEASE_S)
    cluster.network.heal()


class AgreementTest(unittest.TestCase):
    """After messages were lost, no slot remains lost or is counted twice."""

    def test_brokers_and_nodes_agree_within_the_lease_time(self) -> None:
        for fault in (_lossy, _repeated_and_reordered, _frozen, _cut_off):
            with self.subTest(fault.__name__):
                simulate(lambda fault=fault: self._check(fault))

    async def _check(self, fault: Fault) -> None:
        cluster, rng = _Cluster(_Network()), random.Random(3)
        await asyncio.sleep(START_S)
        kept = [(name, await cluster.acquire(name)) for name in 5 * cluster.names]

        async def traffic() -> None:
            async with asyncio.TaskGroup() as tasks:
                for _ in range(800):
                    use = cluster.use(rng.choice(cluster.names), rng.choice((0.01, 0.3, 3.0)))
                    tasks.create_task(use)
                    await asyncio.sleep(0.03)

        load = asyncio.create_task(traffic())
        await fault(cluster)
        await asyncio.wait_for(load, 120)
        await asyncio.sleep(LEASE_S + RENEW_S)
        self.assertEqual(cluster.leased(), cluster.held())
        self.assertEqual(len(cluster.held()), len(kept))
        resends = cluster.network.resends()
        await asyncio.sleep(LEASE_S)
        self.assertEqual(cluster.network.resends(), resends)
        for name, grant in kept:
            cluster.schedulers[name].release(grant, DONE)
        await asyncio.sleep(LEASE_S + RENEW_S)
        self.assertEqual(cluster.leased(), set())
        self.assertEqual(cluster.free(), cluster.slots)

    def test_brokers_learn_of_held_grants_after_an_outage_and_a_restart(self) -> None:
        """A broker learns of held grants that it did not grant itself or has forgotten."""

        async def main() -> None:
            cluster = _Cluster(_Network())
            await asyncio.sleep(START_S)
            for name in 10 * cluster.names:
                await cluster.acquire(name)
            cluster.network.loss = 1.0
            await asyncio.sleep(LEASE_S + RENEW_S)
            cluster.network.loss = 0.0
            await asyncio.sleep(RENEW_S + 0.2)
            self.assertEqual(cluster.leased(), cluster.held())
            cluster.tasks["node-000"].cancel()
            lost = {item for item in cluster.held() if item[1] == "node-000"}
            cluster.start("node-000")
            await asyncio.sleep(LEASE_S + RENEW_S)
            self.assertTrue(lost)
            self.assertEqual(cluster.leased(), cluster.held())
            self.assertEqual(len(cluster.held()), 10 * NODES - len(lost))

        simulate(main)

    def test_grants_in_transit_cause_no_mismatch(self) -> None:
        """The broker does not ask for the full list while grants and demands are in transit.

        The network delay is longer than the time between two grants.
        """

        async def main() -> tuple[int, int]:
            cluster = _Cluster(_Network(0.1))
            await asyncio.sleep(START_S)
            uses = [cluster.use(name, 0.05 * n) for n in range(20) for name in cluster.names]
            await asyncio.gather(*uses)
            full = [
                item for _, item in cluster.network.seen if isinstance(item, Demand) and item.full
            ]
            return cluster.network.resends(), len(full)

        resends, full = simulate(main)
        self.assertEqual(resends, 0)
        self.assertLessEqual(full, 3 * NODES)


class DemandTest(unittest.TestCase):
    """Demands are sent only to groups that a change concerns, and do not grow needlessly."""

    def test_only_changed_groups_get_demands(self) -> None:
        async def main() -> None:
            cluster = _Cluster(_Network())
            node = cluster.schedulers["node-000"]
            demanded: list[str] = []
            send = node._client._transport.send

            def record(receiver: str, message: Message) -> bool:
                if isinstance(message, Demand):
                    demanded.append(message.group)
                return send(receiver, message)

            node._client._transport.send = record  # type: ignore[method-assign]
            await asyncio.sleep(START_S)
            self.assertEqual(demanded, [])
            grant = await cluster.acquire("node-000")
            first = set(demanded)
            self.assertEqual(len(first), 1)
            await asyncio.sleep(1)
            self.assertEqual(set(demanded), first)
            node.release(grant, DONE)
            await asyncio.sleep(1)
            demanded.clear()
            await asyncio.sleep(1)
            self.assertEqual(demanded, [])
            for _ in range(cluster.slots):
                await cluster.acquire("node-001")
            waiting = asyncio.create_task(cluster.acquire("node-000"))
            await asyncio.sleep(0.2)
            waiter = next(iter(node.state("chat").queue))
            old = waiter.group
            new = next(item.name for item in node._groups.for_pool("chat") if item.name != old)
            demanded.clear()
            node._move(waiter, new)
            await asyncio.sleep(0.01)
            self.assertEqual(set(demanded), {old, new})
            demanded.clear()
            waiting.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(demanded, [new])

        simulate(main)

    def test_groups_of_the_own_zone_come_first(self) -> None:
        """Groups of the own zone are preferred, since grants in each further group need renewals.

        A group of another zone is chosen if it has more than twice the free slots.
        """

        async def main() -> None:
            cluster = _Cluster(_Network())
            node = next(
                item
                for name, item in cluster.schedulers.items()
                if len(item._groups.in_zone_of("chat", name)) == 1
            )
            near = {item.name for item in node._groups.in_zone_of("chat", node._node)}
            far = {item.name for item in node._groups.for_pool("chat")} - near
            for own, other, expected in [(0, 0, near), (1, 2, near), (1, 3, far), (0, 1, far)]:
                with self.subTest(own=own, other=other):
                    free = dict.fromkeys(near, own) | dict.fromkeys(far, other)
                    slots = [GroupFreeSlots(name, count) for name, count in free.items()]
                    node.on_heartbeat(Heartbeat("peer", 1, 1, "live", free=slots))
                    chosen = {node._choose_group("chat").name for _ in range(40)}
                    self.assertEqual(chosen, expected)

        simulate(main)

    def test_first_demand_to_each_broker_lists_all_held_grants(self) -> None:
        """A new broker receives the full list of held grants without asking for it."""

        async def main() -> None:
            cluster = _Cluster(_Network(), endpoints=18, slots=8)
            await asyncio.sleep(START_S)
            group = split_pool(cluster.tables.pool("chat"))[0]
            live, broker = cluster.members.live(), broker_of(group, cluster.members)
            rest = [item for item in live if item.node != broker]
            cluster.members.replace(rest)
            node = next(x.node for x in rest if x.node != broker_of(group, cluster.members))
            cluster.members.replace(live)
            for _ in range(10):
                await cluster.acquire(node)
            await asyncio.sleep(1)
            cluster.members.replace(rest)
            cluster.network.seen.clear()
            await asyncio.sleep(1)
            demands = [item for _, item in cluster.network.seen if isinstance(item, Demand)]
            self.assertEqual((demands[0].full, len(demands[0].taken)), (True, 10))
            self.assertFalse(any(item.full for item in demands[1:]))
            self.assertEqual(cluster.network.resends(), 0)

        simulate(main)

    def test_renewal_does_not_grow_with_the_held_grants(self) -> None:
        async def main() -> list[int]:
            sizes = []
            for count in (1, 100):
                cluster = _Cluster(_Network(), endpoints=18, slots=8)
                await asyncio.sleep(START_S)
                for _ in range(count):
                    await cluster.acquire("node-000")
                await asyncio.sleep(1)
                cluster.network.seen.clear()
                await asyncio.sleep(1)
                demands = [item for _, item in cluster.network.seen if isinstance(item, Demand)]
                self.assertGreaterEqual(len(demands), 3)
                sizes.append(max(len(encode(item)) for item in demands))
            return sizes

        one, hundred = simulate(main)
        # The number of held grants and the number of the demand each take one byte more.
        self.assertLessEqual(hundred, one + 2)


def _demand(held: list[int], taken: list[int], full: bool = False) -> Demand:
    summary = GrantSetDigest()
    for number in held:
        summary.add(number)
    items = [HeldGrant(number, "r0", 1) for number in taken]
    return Demand("chat/0", 1, [], [], items, summary.count, summary.digest, full)


class LeasesTest(unittest.TestCase):
    """A demand renews exactly the leases that the node holds."""

    def test_comparison(self) -> None:
        cases = [
            # Demand, whether it matches, and leases afterwards. Before, 1 and 2 are held and 3 is
            # offered.
            ("unchanged", _demand([1, 2], []), True, {1, 2, 3}),
            ("offer confirmed", _demand([1, 2, 3], [3]), True, {1, 2, 3}),
            ("direct slot", _demand([1, 2, -1], [-1]), True, {1, 2, 3, -1}),
            ("release lost", _demand([2], []), False, {1, 2, 3}),
            ("confirmation lost", _demand([1, 2, 3], []), False, {1, 2, 3}),
            ("other grant, same number", _demand([1, 4], []), False, {1, 2, 3}),
            ("confirmed twice", _demand([1, 2], [2]), True, {1, 2, 3}),
            ("full after a lost release", _demand([2], [2], True), True, {2, 3}),
            ("full with a lost one", _demand([1, 2, 4], [1, 2, 4], True), True, {1, 2, 3, 4}),
            ("full and empty", _demand([], [], True), True, {3}),
        ]
        for name, demand, matches, left in cases:
            with self.subTest(name):
                leases = Leases()
                self.assertTrue(leases.apply_demand("n", _demand([1, 2], [1, 2], True), 0.0))
                leases.offer("n", 3, "r0", 1, 0.0)
                self.assertEqual(leases.apply_demand("n", demand, 1.0), matches)
                self.assertEqual({number for _, number in leases}, left)
                self.assertEqual(leases.pop_changes(), {"r0": len(left)})
                leases.expire(LEASE_S + 0.5)
                renewed = {number for number in left if number in {x.id for x in demand.taken}}
                kept = (left - {3}) | renewed if matches else renewed - {1, 2}
                self.assertEqual({number for _, number in leases}, kept)
                leases.expire(1.0 + LEASE_S)
                self.assertEqual(len(leases), 0)
                self.assertEqual(leases.pop_changes(), {"r0": -len(left)})


if __name__ == "__main__":
    unittest.main()
