"""Tests of the slots that are kept free for the highest tiers."""

import asyncio
import random
import unittest
from collections import defaultdict
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghub.broker import MIN_SHARE
from lacewinghub.brokered import BrokeredScheduler
from lacewinghub.errors import Overloaded
from lacewinghub.request import AttemptResult, Request
from lacewinghub.reserve import (
    HIGH_TIER,
    HOLD_S,
    MAX_SHARE,
    WINDOW_S,
    Headroom,
    NoHeadroom,
    TrunkReservation,
)
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.sim_components import SimMembers, SimNetwork
from lacewinghub.tables import MAX_TIER, Endpoint, Pool, Route, Tables, Target
from tests.clock import simulate

SLOTS = 16
LOW, HIGH = 6, 2
LOW_USE_S, HIGH_USE_S = 8.0, 1.0
PATIENCE_S = 1.0
TARGETS = [Target(1.0)] * 2 + [Target(20.0)] * (MAX_TIER - 2)


class _Cluster:
    """Three nodes in front of one group of 16 slots."""

    def __init__(self, headroom: Callable[[], Headroom]) -> None:
        items = [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", "z", 8) for n in range(SLOTS // 8)]
        routes = [
            Route(f"t{tier}", "chat", tier, request_class=f"t{tier}", target=target)
            for tier, target in enumerate(TARGETS, start=1)
        ]
        tables = Tables(routes, [Pool("chat", items)])
        network = SimNetwork(0.0005, 0.001, random.Random(1))
        self.schedulers: list[BrokeredScheduler] = []
        self.waits: dict[int, list[float]] = defaultdict(list)
        self.refused: dict[int, int] = defaultdict(int)
        self.tasks: list[asyncio.Task[None]] = []
        joined = [network.join(f"n{number}", "z") for number in range(3)]
        for number, transport in enumerate(joined):
            members = SimMembers(transport, network)
            scheduler = BrokeredScheduler(
                TablesView(lambda: tables),
                LoadReports(),
                transport,
                members,
                rng=random.Random(number),
                headroom=headroom,
            )
            members.contributors.append(scheduler)
            members.start()
            self.schedulers.append(scheduler)
            self.tasks += [asyncio.create_task(part.run()) for part in (members, scheduler)]

    async def use(self, tier: int, seconds: float, patience_s: float, sent: int = 0) -> None:
        now = asyncio.get_running_loop().time()
        number = sum(map(len, self.waits.values())) + sum(self.refused.values())
        target, name = TARGETS[tier - 1], f"t{tier}"
        req = Request(f"q{now}", "w", name, tier, "chat", {}, now, patience_s, target=target)
        req.sent_tokens = sent
        scheduler = self.schedulers[number % 3]
        try:
            grant = await scheduler.acquire(req)
        except Overloaded:
            self.refused[tier] += 1
            return
        self.waits[tier].append(asyncio.get_running_loop().time() - now)
        await asyncio.sleep(seconds)
        scheduler.release(grant, AttemptResult(True, 0.1, 0.02, 10))

    async def offer(self, until: float, *flows: tuple[int, float, float, float]) -> None:
        """Offer Poisson flows of (tier, requests per second, mean use, patience)."""

        async def one(tier: int, rate: float, use_s: float, patience_s: float) -> None:
            rng = random.Random(tier)
            while asyncio.get_running_loop().time() < until:
                await asyncio.sleep(rng.expovariate(rate))
                use = self.use(tier, rng.uniform(0.5, 1.5) * use_s, patience_s)
                self.tasks.append(asyncio.create_task(use))

        await asyncio.gather(*(one(*flow) for flow in flows))


def _served(headroom: Callable[[], Headroom], high_rate: float, low_clients: int) -> _Cluster:
    """Offer a Poisson flow of the high tier beside clients that keep the low tier waiting."""

    async def main() -> _Cluster:
        cluster = _Cluster(headroom)
        await asyncio.sleep(1.0)

        async def client() -> None:
            while True:
                await cluster.use(LOW, LOW_USE_S, 1000.0, sent=1)

        cluster.tasks += [asyncio.create_task(client()) for _ in range(low_clients)]
        await cluster.offer(150.0, (HIGH, high_rate, HIGH_USE_S, PATIENCE_S))
        return cluster

    found = simulate(main)
    assert isinstance(found, _Cluster)
    return found


def _share_in_time(cluster: _Cluster, tier: int) -> float:
    waits, limit = cluster.waits[tier], TARGETS[tier - 1].first_token_s or 0.0
    return sum(wait <= limit for wait in waits) / (len(waits) + cluster.refused[tier])


class LoadTest(unittest.TestCase):
    """Guards against low tiers that hold the slots for which a high tier waits."""

    def test_high_tier_finds_a_slot_in_time_under_load(self) -> None:
        # The high tier needs half of the slots; the low tier would take all of them.
        rate, missed = 0.5 * SLOTS / HIGH_USE_S, {}
        for version in (NoHeadroom, TrunkReservation):
            cluster = _served(version, rate, 12)
            missed[version] = 1.0 - _share_in_time(cluster, HIGH)
            total = len(cluster.waits[HIGH]) + len(cluster.waits[LOW])
            self.assertGreaterEqual(len(cluster.waits[LOW]), MIN_SHARE * total)
        self.assertLessEqual(missed[TrunkReservation], 0.5 * missed[NoHeadroom])

    def test_starving_tier_gets_its_share_under_an_endless_burst(self) -> None:
        # The high tier alone asks for three times the slots.
        cluster = _served(TrunkReservation, 3.0 * SLOTS / HIGH_USE_S, 4)
        total = len(cluster.waits[HIGH]) + len(cluster.waits[LOW])
        self.assertGreaterEqual(len(cluster.waits[LOW]), MIN_SHARE * total)

    def test_no_slot_stays_empty_when_only_low_tiers_wait(self) -> None:
        async def main() -> tuple[float, int]:
            cluster = _Cluster(TrunkReservation)
            await asyncio.sleep(1.0)
            await cluster.offer(30.0, (HIGH, 2.0 * SLOTS / HIGH_USE_S, HIGH_USE_S, PATIENCE_S))
            # Resumed requests, which the floor after the burst does not refuse.
            uses = [cluster.use(LOW, 100.0, 1000.0, sent=1) for _ in range(SLOTS)]
            tasks = [asyncio.create_task(use) for use in uses]
            await asyncio.sleep(HOLD_S + WINDOW_S + 2 * HIGH_USE_S)
            cluster.tasks += tasks
            return max(cluster.waits[LOW]), len(cluster.waits[LOW])

        longest, served = simulate(main)
        self.assertEqual(served, SLOTS)
        self.assertLess(longest, HOLD_S + WINDOW_S)


class SizeTest(unittest.TestCase):
    """Guards against a reservation that costs goodput without need or starves low tiers."""

    def _size(self, wait_ms: int, demand: int, tier: int = LOW, age_ms: int = 0) -> int:
        headroom = TrunkReservation()
        for _ in range(demand):
            headroom.granted(HIGH, 10.0)
        headroom.expect([0, wait_ms], {LOW: age_ms}, TARGETS, SLOTS, HIGH_USE_S, 10.0)
        return headroom.reserved(tier, 10.0)

    def test_cases(self) -> None:
        most = int(MAX_SHARE * SLOTS)
        cases = [
            ("high tiers meet their targets", self._size(100, 100), 0),
            ("a high tier is at risk", self._size(900, 100), most),
            ("at risk without demand", self._size(900, 0), 0),
            ("a high tier may use it", self._size(900, 100, HIGH_TIER), 0),
            ("a low tier is late", self._size(900, 100, age_ms=19_000), 0),
        ]
        for name, found, expected in cases:
            with self.subTest(name):
                self.assertEqual(found, expected)

    def test_ends_after_the_last_risk(self) -> None:
        headroom = TrunkReservation()
        for _ in range(100):
            headroom.granted(1, 0.0)
        headroom.expect([900], {}, TARGETS, SLOTS, HIGH_USE_S, 0.0)
        sizes = [headroom.reserved(LOW, now) > 0 for now in (0.0, HOLD_S - 0.1, HOLD_S)]
        self.assertEqual(sizes, [True, True, False])


class DifferentialTest(unittest.TestCase):
    """Guards against a reservation that changes decisions while nothing is at risk."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, MAX_TIER), st.floats(0.1, 3.0)), max_size=SLOTS))
    def test_same_as_without_when_slots_suffice(self, uses: list[tuple[int, float]]) -> None:
        def waits(headroom: Callable[[], Headroom]) -> dict[int, list[float]]:
            async def main() -> dict[int, list[float]]:
                cluster = _Cluster(headroom)
                await asyncio.sleep(1.0)
                await asyncio.gather(*(cluster.use(tier, use, 30.0) for tier, use in uses))
                return dict(cluster.waits)

            found = simulate(main)
            assert isinstance(found, dict)
            return found

        self.assertEqual(waits(TrunkReservation), waits(NoHeadroom))
