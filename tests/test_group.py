"""Tests of runner groups and the choice of their brokers."""

import asyncio
import random
import unittest
from unittest import mock

from lacewinghub import group as group_module
from lacewinghub.broker import Broker
from lacewinghub.footprint import FixedMembers
from lacewinghub.group import Brokers, Groups, PoolSplit, broker_of, split_pool
from lacewinghub.membership import Member, MemberState
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.scheduler import TablesView
from lacewinghub.tables import Endpoint, Pool, Tables


def _pool(numbers: set[int], slots: int = 1) -> Pool:
    zones = {n: "z0" if n < 20 else f"z{n % 3}" for n in numbers}
    items = [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", zones[n], slots) for n in numbers]
    return Pool("chat", items)


def _members(nodes: dict[int, int]) -> list[Member]:
    """Return members by number and zone."""
    return [
        Member(f"node-{n:03}", "", f"z{zone}", 1, MemberState.LIVE)
        for n, zone in sorted(nodes.items())
    ]


class SplitTest(unittest.TestCase):
    """Guards against groups that depend on the history of a node, and against needless hashing."""

    def test_any_history_ends_like_a_fresh_split(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            kept, numbers = PoolSplit(), set(range(rng.choice((5, 40, 200))))
            for step in range(30):
                for _ in range(rng.choice((1, 1, 5, 60))):
                    numbers ^= {rng.randrange(260)}
                pool = _pool(numbers, rng.randint(1, 2))
                with self.subTest(seed=seed, step=step):
                    self.assertEqual(kept.update(pool), split_pool(pool))

    def test_only_new_endpoints_are_hashed(self) -> None:
        kept, numbers = PoolSplit(), set(range(100))
        before = kept.update(_pool(numbers))
        cases = [
            # Endpoints, largest number of hashes: 6 groups, and 7 beyond 108 endpoints.
            ("same", numbers, 0),
            ("one gone", numbers - {7}, 0),
            ("one new", numbers - {7} | {200}, 6),
            ("another group", set(range(109)), 100 * 4 + 9 * 7),
            ("a group less", numbers, 0),
        ]
        for name, endpoints, most in cases:
            with (
                self.subTest(name),
                mock.patch.object(group_module, "_order", wraps=group_module._order) as order,
            ):
                kept.update(_pool(endpoints))
                self.assertLessEqual(order.call_count, most)
        after = kept.update(_pool(numbers))
        self.assertEqual(after, before)


class BrokersTest(unittest.TestCase):
    """Guards against a broker that differs from the one that a new node chooses."""

    def test_any_history_ends_like_a_fresh_choice(self) -> None:
        rng = random.Random(1)
        members = FixedMembers(0)
        brokers = Brokers(members)
        nodes: dict[int, int] = {}
        for step in range(300):
            number = rng.randrange(12)
            if nodes.pop(number, None) is None or rng.random() < 0.2:
                nodes[number] = rng.randrange(3)
            members.replace(_members(nodes))
            limit = rng.choice((60, 80))
            for item in split_pool(_pool(set(range(limit)) if step % 3 else set(range(18)))):
                with self.subTest(step=step, group=item.name):
                    self.assertEqual(brokers.of(item), broker_of(item, members))

    def test_own_groups_are_searched_after_changes_only(self) -> None:
        async def main() -> None:
            tables = Tables(pools=[_pool(set(range(100)))])
            members = FixedMembers(3)
            view = TablesView(lambda: tables)
            groups = Groups(view, members)
            broker = Broker(
                MemoryNetwork().transport("node-000"), members, view, random.Random(1), groups
            )
            changes = [
                ("first", lambda: None, True),
                ("none", lambda: None, False),
                ("equal tables", lambda: _replace(_pool(set(range(100)))), False),
                ("a new endpoint", lambda: _replace(_pool(set(range(101)))), True),
                ("a node less", lambda: members.replace(_members({0: 0, 2: 2})), True),
                ("alone", lambda: members.replace(_members({0: 0})), True),
            ]

            def _replace(pool: Pool) -> None:
                nonlocal tables
                tables = Tables(pools=[pool])

            for name, change, searched in changes:
                with self.subTest(name), mock.patch.object(groups, "broker", wraps=groups.broker):
                    change()
                    broker._open_own(0.0)
                    self.assertEqual(bool(groups.broker.call_count), searched)  # type: ignore[attr-defined]
                    own = {
                        x.name
                        for x in groups.for_pool("chat")
                        if broker_of(x, members) == "node-000"
                    }
                    self.assertEqual({item.name for item in broker._own}, own)
            self.assertEqual(len(broker._own), 6)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
