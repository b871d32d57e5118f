"""Tests of the admission floor of one node."""

import asyncio
import unittest

from lacewinghub.admission import PROPAGATION_BOUND_S, FloorAdmission
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.queue import TierQueue, Waiter
from lacewinghub.request import Grant, Request
from lacewinghub.tables import MAX_TIER, Pool, Target

LIMIT = 8


class _Alone(Members):
    def live(self) -> list[Member]:
        return [Member("n1", "127.0.0.1:1", "north-a", 1, MemberState.LIVE)]

    def state(self, node: str) -> MemberState:
        return MemberState.DEAD


class FloorTest(unittest.TestCase):
    """Guards against a queue of low tiers that closes the pool to higher ones."""

    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.now = 100.0
        self.pool = Pool("assistant", [], queue_limit=LIMIT)
        self.queue = TierQueue()
        self.admission = FloorAdmission(_Alone(), lambda: self.now)

    def _waiter(self, tier: int) -> Waiter:
        req = Request(
            f"r{tier}", "w", "c", tier, "assistant", {}, self.now, patience_s=1e6, target=Target()
        )
        fut: asyncio.Future[Grant] = self.loop.create_future()
        return Waiter(req, fut)

    def _fill(self, tier: int, count: int) -> None:
        for _ in range(count):
            self.queue.push(self._waiter(tier))

    def test_full_queue_of_one_tier_decides_by_tier_of_the_arrival(self) -> None:
        cases = [
            ("higher arrival displaces", 8, 2, True),
            ("one tier higher displaces", 6, 5, True),
            ("lower arrival is refused", 2, 6, False),
            ("same tier is refused", 8, 8, False),
            ("same middle tier is refused", 5, 5, False),
            ("top tier meets top tier", 1, 1, False),
        ]
        for name, waiting, arriving, admitted in cases:
            with self.subTest(name):
                self.setUp()
                self._fill(waiting, LIMIT)
                self.admission.update(self.pool, self.queue, self.now)
                for _ in range(100):  # The tier of the arrival is not starving.
                    self.admission._own("assistant").admitted.append((self.now + 2, arriving))
                self.now += PROPAGATION_BOUND_S + 0.1
                verdict = self.admission.decide(
                    self.pool, self.queue, self._waiter(arriving), self.now
                )
                self.assertEqual(verdict.admitted, admitted)
                if admitted:
                    assert verdict.displaced is not None
                    self.assertEqual(verdict.displaced.req.tier, waiting)

    def test_floor_is_the_tier_that_fills_the_queue(self) -> None:
        cases = [
            ({8: LIMIT}, MAX_TIER),
            ({1: LIMIT}, 1),
            ({1: 2, 4: 4, 8: 2}, 4),
            ({1: 2, 8: 6}, MAX_TIER),
            ({}, MAX_TIER),
        ]
        for counts, floor in cases:
            with self.subTest(counts):
                self.setUp()
                for tier, count in counts.items():
                    self._fill(tier, count)
                self.admission.update(self.pool, self.queue, self.now)
                self.assertEqual(self.admission.floor("assistant"), floor)
