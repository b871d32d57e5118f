"""Tests of the orders to a control API that is slow, down, refuses, or answers late."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

from lacewinghub.autoscaler import (
    ANNOUNCE_S,
    REFUSED_PAUSE_S,
    Group,
    GroupState,
    Learnt,
    Sample,
)
from lacewinghub.control_api import CallOutcome, RunnerOrder
from lacewinghub.duties import LeaseTaken
from lacewinghub.scaler import CALLS_SHARE, FIRST_ORDER_S, Scaler
from lacewinghub.scaling_record import decode_pool, encode_pool

from .clock import simulate, wall
from .runner_market import POOL, RULE, FakeHolder, Market

CALLS_PER_S = 50.0


class Run:
    """A scaler and a market for some seconds.

    Args:
        market: The market.
        length_s: Length of the run, in seconds.
        events: Functions to call at loop times, in seconds.
    """

    def __init__(
        self,
        market: Market,
        length_s: float,
        events: dict[float, Callable[["Run"], None]] | None = None,
        calls_per_s: float = CALLS_PER_S,
    ) -> None:
        self.market, self.length_s, self.events = market, length_s, events or {}
        self.calls_per_s = calls_per_s
        self.gauges: dict[str, float] = {}
        self.holder = FakeHolder()
        simulate(self._run)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        for at, event in self.events.items():
            loop.call_at(at, event, self)
        self.start()
        await self.market.run(self.length_s)
        self.task.cancel()

    def start(self) -> None:
        """Start the scaler of a node."""
        market = self.market
        self.scaler = Scaler(
            self.holder,
            market,
            market,  # type: ignore[arg-type]
            market,
            self.calls_per_s,
            self.gauges.__setitem__,
            wall,
        )
        self.task = asyncio.create_task(self.scaler.run())

    def lose(self) -> None:
        """Stop the node that holds the duties."""
        self.records = dict(self.scaler.pending_records())
        self.holder.held = None
        self.task.cancel()

    def take(self, token: int, records: dict[str, bytes], rewound: bool = False) -> None:
        """Give the duties to another node."""
        self.start()
        self.holder.held = token
        self.scaler.on_taken(LeaseTaken(token, records, rewound))

    def times(self, outcome: CallOutcome | None = None) -> list[float]:
        """Return when orders were sent, in seconds."""
        return [at for at, _, seen in self.market.orders if outcome in (None, seen)]


def answering(outcome: CallOutcome, since: float, until: float) -> Market:
    """Return a market whose control API gives an answer for some time."""
    return Market(
        answer=lambda order, now: outcome if since <= now < until else CallOutcome.ACCEPTED
    )


class TestOutcomes(unittest.TestCase):
    def test_orders_follow_when_the_api_is_back(self) -> None:
        # Guards against orders that are forgotten, or sent in masses, while the API is down.
        for late_s in (None, 2.0):
            with self.subTest(late_s=late_s):
                market = answering(CallOutcome.UNANSWERED, 0.0, 12.0)
                market.late_s = late_s
                run = Run(market, 40.0)
                self.assertLessEqual(len(run.times(CallOutcome.UNANSWERED)), 10)
                self.assertGreater(sum(r.spot for r in market.runners), 30)
                self.assertLess(sum(not r.spot for r in market.runners), 20)

    def test_unanswered_shrink_is_repeated_with_the_same_number(self) -> None:
        # Guards against runners that are ordered again because an order was executed unnoticed.
        market = Market(late_s=0.0)
        market.answer = lambda order, now: (
            CallOutcome.UNANSWERED if not order.spot and now < 12 else CallOutcome.ACCEPTED
        )
        Run(market, 30.0)
        last: dict[str, int] = {}
        for _, order, _ in market.orders:
            if not order.spot:
                self.assertLessEqual(order.desired, last.get(order.availability_zone, 19))
                last[order.availability_zone] = order.desired

    def test_unavailable_group_is_left_alone(self) -> None:
        # Guards against an order per second for runners that are not to be had.
        market = Market()
        market.unavailable = {("a", True): 30.0}
        Run(market, 29.0)
        refused = [at for at, _, seen in market.orders if seen is CallOutcome.UNAVAILABLE]
        self.assertTrue(refused)
        for first, second in itertools.pairwise(refused):
            self.assertGreaterEqual(second - first, REFUSED_PAUSE_S)
        self.assertGreater(sum(r.spot and r.zone != "a" for r in market.runners), 20)

    def test_limited_order_is_repeated(self) -> None:
        # Guards against orders that are lost when all nodes together call too often.
        run = Run(answering(CallOutcome.LIMITED, 0.0, 5.0), 20.0)
        self.assertTrue(run.times(CallOutcome.LIMITED))
        self.assertGreater(sum(r.spot for r in run.market.runners), 30)
        self.assertEqual(run.gauges["scale_refused"], len(run.times(CallOutcome.LIMITED)))

    def test_rate_of_calls(self) -> None:
        # Guards against orders that take the calls of the other duties.
        run = Run(Market(), 20.0, calls_per_s=2.0)
        times = run.times()
        self.assertGreater(len(times), 5)
        for start in times:
            count = sum(start <= at < start + 1.0 for at in times)
            self.assertLessEqual(count, 1 + 2.0 * CALLS_SHARE)

    def test_lost_runners_are_ordered_again(self) -> None:
        # Guards against runners that were ordered, never came, and are counted for ever.
        def lose(run: Run) -> None:
            run.market.runners = [r for r in run.market.runners if not r.spot or r.zone != "c"]

        run = Run(Market(), 45.0, {20.0: lose})
        self.assertGreater(sum(r.spot and r.zone == "c" for r in run.market.runners), 10)


class TestLease(unittest.TestCase):
    def test_no_call_after_the_lease_is_lost(self) -> None:
        # Guards against calls of a node that lost the lease between the plan and the call.
        market = Market()
        run = Run.__new__(Run)

        def lose(order: RunnerOrder, now: float) -> CallOutcome:
            run.holder.held = None
            return CallOutcome.ACCEPTED

        market.answer = lose
        run.__init__(market, 10.0)  # type: ignore[misc]
        self.assertEqual(len(market.orders), 1)

    def test_new_holder_waits_and_starts_from_what_it_sees(self) -> None:
        # Guards against orders of a holder that knows neither the demand nor the runners yet.
        def take(run: Run) -> None:
            run.holder.held = 7

        run = Run(Market(), 60.0, {30.0: take})
        before = run.times()
        self.assertGreaterEqual(before[0], FIRST_ORDER_S)
        taken = [at for at in before if at >= 30.0]
        for at in taken:
            self.assertGreaterEqual(at, 30.0 + FIRST_ORDER_S)
        self.assertLess(len(taken), 10)

    def test_a_short_gap_of_the_token(self) -> None:
        # Guards against a holder that forgets its orders while a renewal is late, and then cancels
        # runners that still boot.
        for token, forgets in ((1, False), (2, True)):
            with self.subTest(token=token):
                market = Market(factor=lambda kind, now: 1.0 if now < 40.0 else 2.2)

                def give(run: Run, token: int | None) -> None:
                    run.holder.held = token

                run = Run(
                    market,
                    55.0,
                    {43.2: lambda run: give(run, None), 44.1: lambda run, t=token: give(run, t)},
                )
                since = run.scaler._pools[POOL].since
                self.assertEqual(since > 40.0, forgets)
                # Spot runners ordered for the burst, 3 s before the gap at the most.
                grown: dict[str, int] = {}
                for at, order, outcome in market.orders:
                    if outcome is not CallOutcome.ACCEPTED or not order.spot:
                        continue
                    if not forgets and 43.2 <= at < 48.0:
                        least = grown.get(order.availability_zone, 0)
                        self.assertGreaterEqual(order.desired, least)
                    grown[order.availability_zone] = order.desired

    def test_new_holder_continues_from_the_record(self) -> None:
        # Guards against a new holder that cancels runners that boot, and orders others instead.
        def burst(kind: object, now: float) -> float:
            return 1.0 if now < 40.0 else 2.2

        calm = Run(Market(factor=burst), 70.0).market
        for taken_at in (43.7, 46.2, 48.2):
            with self.subTest(taken_at=taken_at):
                run = Run(
                    Market(factor=burst),
                    70.0,
                    {42.2: Run.lose, taken_at: lambda run: run.take(2, run.records)},
                )
                self.assertLess(run.market.cost, 1.03 * calm.cost)
                self.assertGreater(run.market.good, 0.97 * calm.good)
                last: dict[str, int] = {}
                for at, order, outcome in run.market.orders:
                    if order.spot and outcome is CallOutcome.ACCEPTED:
                        if 42.2 < at < 42.2 + RULE.boot_s + ANNOUNCE_S:
                            self.assertGreaterEqual(order.desired, last[order.availability_zone])
                        last[order.availability_zone] = order.desired

    def test_new_holder_without_a_record_only_grows_at_first(self) -> None:
        # Guards against a holder that trusts a record that is malformed or older than another one.
        cases: list[tuple[str, Callable[[bytes], bytes], bool]] = [
            ("rewound", lambda record: record, True),
            ("no JSON", lambda record: b"{", False),
            ("not an object", lambda record: b"[]", False),
            (
                "negative",
                lambda record: record.replace(b'"good_tokens":', b'"good_tokens":-'),
                False,
            ),
            ("not a number", lambda record: record.replace(b'"at":', b'"at":"x","a":'), False),
            ("infinite", lambda record: record.replace(b'"at":', b'"at":Infinity,"a":'), False),
        ]
        for name, change, rewound in cases:
            with self.subTest(name):

                def take(run: Run, change=change, rewound=rewound) -> None:
                    records = {key: change(value) for key, value in run.records.items()}
                    run.take(2, records, rewound)
                    run.found = dict(run.scaler._pools)
                    if rewound:
                        # Another holder that takes over at once does not trust it either.
                        run.lose()
                        run.take(3, records | run.records)
                        run.found = run.found | run.scaler._pools

                def fall(kind: object, now: float) -> float:
                    return 1.0 if now < 40.0 else 0.3

                run = Run(Market(factor=fall), 60.0, {42.2: Run.lose, 43.7: take})
                self.assertEqual(run.found, {})
                shrinks = []
                last: dict[tuple[str, bool], int] = {}
                for at, order, _ in run.market.orders:
                    group = (order.availability_zone, order.spot)
                    if at > 43.7 and order.desired < last.get(group, 0):
                        shrinks.append(at)
                    last[group] = order.desired
                self.assertTrue(shrinks)
                self.assertGreaterEqual(min(shrinks), 43.7 + RULE.boot_s + ANNOUNCE_S)

    def test_record_is_bounded_and_exact(self) -> None:
        # Guards against a record that grows with time, and orders that are dated wrongly.
        groups = {
            Group("a", True): GroupState(ordered=5, ordered_at=90.0, unconfirmed=7),
            Group("b", False): GroupState(ordered=2, backoff_until=106.0),
        }
        samples = tuple(Sample(50.0 + at / 10, at % 31, at % 17, at % 7) for at in range(501))
        learnt = Learnt(60.0, 9, samples, 0.4, 0.01, 3.0, 9.0, 95.0, 97.0)
        record = encode_pool(groups, learnt, 100.0, 1e9)
        self.assertLess(len(record), 2000)
        for skew_s, age_s in ((2.0, 2.0), (-50.0, 0.0)):
            with self.subTest(skew_s=skew_s):
                found, known = decode_pool(record, 500.0, 1e9 + skew_s)
                then = 500.0 - age_s
                self.assertEqual(
                    found[Group("a", True)],
                    GroupState(ordered=5, ordered_at=then - 10.0, unconfirmed=7),
                )
                self.assertEqual(found[Group("b", False)].backoff_until, then + 6.0)
                self.assertEqual((known.since, known.lost_at), (then - 40.0, then - 3.0))
                self.assertEqual(max(item.busy for item in known.samples), 30)
                self.assertEqual(known.samples[-1].time, then)
                self.assertEqual(known.late_tokens, 9.0)

    def test_no_order_before_most_nodes_have_reported(self) -> None:
        # Guards against a demand that is computed from the reports of few nodes.
        self.assertEqual(Run(Market(live=2), 20.0).market.orders, [])

    def test_age_of_the_demand(self) -> None:
        # Guards against demand that is taken for current although its reports are seconds old.
        for age_s in (0.0, 1.5, 2.9):
            with self.subTest(age_s=age_s):
                run = Run(Market(age_s=age_s), 10.5)
                self.assertAlmostEqual(run.scaler._pools[POOL].load_at, 10.0 - age_s, 1)

    def test_no_scale_in_without_reports(self) -> None:
        # Guards against runners that leave while the demand is unknown.
        def silence(run: Run) -> None:
            run.market.silent = True

        run = Run(Market(), 40.0, {5.0: silence})
        left = sum(not r.spot for r in run.market.runners)
        self.assertGreater(left, 12)
        self.assertLess(max(run.times()), 13.0 + RULE.boot_s + ANNOUNCE_S)
