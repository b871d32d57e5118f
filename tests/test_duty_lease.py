"""Tests of the duty lease on a simulated clock, with a topic in memory."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from lacewinghub.conditional_topic import AppendConflict, Appended, ConditionalTopic
from lacewinghub.duties import CALL_MARGIN_S, DutyRecords, LeaseTaken
from lacewinghub.duty_lease import CANDIDATES, DutyLease
from lacewinghub.duty_lease_state import (
    LATER_READ_EVERY_S,
    RANK_DELAY_S,
    READ_EVERY_S,
    SETTLE_S,
    WAIT_SLACK_S,
    LeaseRecord,
    LeaseState,
    Step,
)
from lacewinghub.errors import LogUnavailable
from lacewinghub.follower import KeyedPage, KeyedRecord
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.transport import Peer

from .clock import simulate

LEASE_S = 3.0
CALL_S = 0.004
TIMEOUT_S = 0.8
FIRST_TAKE_S = SETTLE_S + CANDIDATES * RANK_DELAY_S + 0.3


class View(Members):
    """The nodes that are alive, the same for all."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def live(self) -> list[Member]:
        return [Member(name, "", "z", 1, MemberState.LIVE) for name in self.names]

    def state(self, node: str) -> MemberState:
        return MemberState.LIVE if node in self.names else MemberState.DEAD


class Log:
    """The records of the topic; can be restored from a copy."""

    def __init__(self) -> None:
        self.end, self.era = 0, 0
        self.newest: dict[str, tuple[int, bytes]] = {}

    def append(self, end: int, records: Sequence[tuple[str, bytes]]) -> None:
        if end != self.end:
            raise AppendConflict("at")
        for key, value in records:
            self.newest[key] = (self.end, value)
            self.end += 1

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]]]:
        return self.end, dict(self.newest)

    def restore(self, copy: tuple[int, dict[str, tuple[int, bytes]]]) -> None:
        self.end, self.newest = copy[0], dict(copy[1])
        self.era += 1

    def lease(self) -> LeaseRecord:
        return LeaseRecord.decode(self.newest["lease"][1])


class Topic(ConditionalTopic):
    """The topic as one node reaches it.

    ``faults`` are taken by the next appends in order: "refused" (not executed), "lost" (executed,
    no answer), "late" (no answer, executed 0.4 s after the time-out).
    """

    def __init__(self, log: Log) -> None:
        self.log, self.is_down = log, False
        self.faults: list[str] = []
        self.reads = self.appends = self.conflicts = 0

    async def newest(self) -> KeyedPage:
        self.reads += 1
        await self._answer()
        log = self.log
        records = [KeyedRecord(key, value, at) for key, (at, value) in log.newest.items()]
        return KeyedPage(records, log.end, era=log.era)

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        raise NotImplementedError

    async def append_at(self, end: int, records: Sequence[tuple[str, bytes]]) -> Appended:
        self.appends += 1
        fault = self.faults.pop(0) if self.faults else ""
        await self._answer()
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(TIMEOUT_S + 0.4, self._append_late, end, records)
        if fault in ("", "lost"):
            try:
                self.log.append(end, records)
            except AppendConflict:
                self.conflicts += 1
                raise
        if fault in ("late", "lost"):
            await asyncio.sleep(TIMEOUT_S)
        if fault:
            raise LogUnavailable(fault)
        return Appended(end + len(records), self.log.era)

    def _append_late(self, end: int, records: Sequence[tuple[str, bytes]]) -> None:
        if self.log.end == end:
            self.log.append(end, records)

    async def _answer(self) -> None:
        if self.is_down:
            await asyncio.sleep(TIMEOUT_S)
            raise LogUnavailable("no answer")
        await asyncio.sleep(CALL_S)


class Duty(DutyRecords):
    """Keeps a number, which it appends with each renewal."""

    def __init__(self) -> None:
        self.number, self.fails = 0, False
        self.taken: list[LeaseTaken] = []
        self.lost = 0

    def pending_records(self) -> list[tuple[str, bytes]]:
        if self.fails:
            raise ValueError("no records")
        return [("number", b"%d" % self.number)]

    def on_taken(self, taken: LeaseTaken) -> None:
        self.taken.append(taken)
        self.number = int(taken.records.get("number", b"0"))

    def on_lost(self) -> None:
        self.lost += 1


@dataclass
class Node:
    """One node; ``suspended_s`` is how far its clock is ahead of that of the loop."""

    name: str
    cluster: "Cluster"
    incarnation: int = 1
    suspended_s: float = 0.0

    def __post_init__(self) -> None:
        cluster = self.cluster
        self.topic, self.duty = Topic(cluster.log), Duty()
        identity = Peer(self.name, self.incarnation, "z", "")
        rng = random.Random(f"{self.name}/{self.incarnation}")
        self.lease = DutyLease(identity, cluster.view, self.topic, LEASE_S, self.clock, rng)
        self.lease.attach(self.duty)
        self.task = asyncio.create_task(self.lease.run())

    def clock(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s

    def kill(self) -> None:
        self.task.cancel()
        self.cluster.nodes.remove(self)
        self.cluster.view.names.remove(self.name)


class Cluster:
    """Nodes that share a log and agree on who is alive."""

    def __init__(self, names: Sequence[str]) -> None:
        self.log, self.view = Log(), View()
        self.nodes: list[Node] = []
        for name in names:
            self.start(name)

    def start(self, name: str, incarnation: int = 1) -> Node:
        self.view.names.append(name)
        self.nodes.append(Node(name, self, incarnation))
        return self.nodes[-1]

    def holders(self) -> list[Node]:
        return [node for node in self.nodes if node.lease.held_token() is not None]

    async def holder(self, within_s: float, other_than: Node | None = None) -> Node:
        """Wait until a node holds the lease, and check that no other one does meanwhile."""
        async with asyncio.timeout(within_s):
            while True:
                found = self.holders()
                assert len(found) <= 1, [node.name for node in found]
                if found and found[0] is not other_than:
                    return found[0]
                await asyncio.sleep(0.01)


class LeaseCase(unittest.TestCase):
    def simulate(
        self, test: Callable[[Cluster], Coroutine[Any, Any, None]], names: Sequence[str] = "abc"
    ) -> None:
        async def main() -> None:
            await test(Cluster(names))

        simulate(main, 1000.0)


class TestHolding(LeaseCase):
    def test_one_node_holds_it_with_few_calls(self) -> None:
        # Guards against two holders, a token that changes without need, and costly calls.
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            token = first.lease.token()
            await asyncio.sleep(READ_EVERY_S)  # The other candidates have found the record.
            for node in cluster.nodes:
                node.topic.reads = node.topic.appends = 0
            for _ in range(600):
                await asyncio.sleep(0.05)
                self.assertEqual(cluster.holders(), [first])
                self.assertEqual(first.lease.token(), token)
            others = [node.topic for node in cluster.nodes if node is not first]
            self.assertLessEqual(first.topic.appends, 31)
            self.assertEqual(first.topic.reads, 0)
            self.assertEqual(sum(topic.appends for topic in others), 0)
            self.assertLessEqual(max(topic.reads for topic in others), 31)
            self.assertLessEqual(sum(topic.reads > 0 for topic in others), CANDIDATES)

        self.simulate(test, [f"n{at}" for at in range(12)])

    def test_reads_of_each_rank(self) -> None:
        # Guards against reads of nodes that have just started, and know too few others to tell
        # whether they are candidates, and against frequent reads of the later candidates.
        for rank, every_s in ((0, READ_EVERY_S), (1, LATER_READ_EVERY_S), (2, LATER_READ_EVERY_S)):
            with self.subTest(rank=rank):
                state = LeaseState("a", 1, LEASE_S, 100.0)
                other = LeaseRecord("b", 1, 1, 0, "0")
                page = KeyedPage([KeyedRecord("lease", other.encode(), 0)], 1)
                self.assertEqual(state.plan(100.0, rank).due, 100.0 + SETTLE_S)
                state.on_page(page, 102.0)
                step = state.plan(102.0, rank)
                self.assertEqual((step.step, step.due), (Step.READ, 102.0 + every_s))

    def test_takeover_from_a_killed_holder(self) -> None:
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            token = first.lease.held_token()
            first.duty.number = 7
            await asyncio.sleep(5.0)
            first.kill()
            other = await cluster.holder(LEASE_S + WAIT_SLACK_S + READ_EVERY_S + RANK_DELAY_S)
            self.assertGreater(other.lease.held_token(), token)
            self.assertEqual(other.duty.taken[-1].records, {"number": b"7"})
            self.assertFalse(other.duty.taken[-1].rewound)

        self.simulate(test)

    def test_suspended_holder_gives_out_no_token(self) -> None:
        # Guards against a holder that counts its lease by a clock that stands still meanwhile.
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            first.suspended_s = 1.0 + LEASE_S - CALL_MARGIN_S
            self.assertIsNone(first.lease.token())
            first.suspended_s = 10.0
            self.assertIsNone(first.lease.token(margin_s=0.0))
            await asyncio.sleep(2.0)
            self.assertEqual(first.duty.lost, 1)

        self.simulate(test)

    def test_a_failing_duty_keeps_neither_the_lease_nor_others_from_renewing(self) -> None:
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            failing = Duty()
            failing.fails = True
            first.lease.attach(failing)
            first.duty.number = 3
            await asyncio.sleep(10.0)
            self.assertEqual(cluster.holders(), [first])
            self.assertEqual(cluster.log.newest["number"][1], b"3")

        self.simulate(test)

    def test_unanswered_appends(self) -> None:
        # Guards against a lease that is lost with one call, or counted from its answer.
        cases = [["refused"], ["lost"], ["late"], ["refused", "lost"], ["late", "refused"]]
        for faults in cases:
            with self.subTest(faults):

                async def test(cluster: Cluster, faults: list[str] = faults) -> None:
                    first = await cluster.holder(FIRST_TAKE_S)
                    token = first.lease.held_token()
                    first.topic.faults = list(faults)
                    for _ in range(100):
                        await asyncio.sleep(0.1)
                        self.assertEqual([n.lease.held_token() for n in cluster.holders()], [token])
                    self.assertLessEqual(first.topic.reads, 2 + 2 * len(faults))

                self.simulate(test)

    def test_lease_of_a_holder_cut_off_from_the_log_ends_in_time(self) -> None:
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            loop = asyncio.get_running_loop()
            first.topic.is_down = True
            cut = loop.time()
            while first.lease.token() is not None:
                await asyncio.sleep(0.01)
            self.assertLess(loop.time() - cut, LEASE_S - CALL_MARGIN_S + 0.02)
            other = await cluster.holder(LEASE_S + 1.0, other_than=first)
            first.topic.is_down = False
            await asyncio.sleep(5.0)
            self.assertEqual(cluster.holders(), [other])

        self.simulate(test)

    def test_appends_of_others_end_the_lease_at_once(self) -> None:
        for holder in ("x", ""):
            with self.subTest(holder):

                async def test(cluster: Cluster, holder: str = holder) -> None:
                    first = await cluster.holder(FIRST_TAKE_S)
                    # A node that has acted does not take the lease again for some time.
                    self.assertIsNotNone(first.lease.token())
                    record = LeaseRecord(holder, 1, 1000, 0, "0")
                    cluster.log.append(cluster.log.end, [("lease", record.encode())])
                    await asyncio.sleep(LEASE_S / 3 + 3 * CALL_S + 0.01)
                    self.assertIsNone(first.lease.held_token())
                    self.assertEqual(first.duty.lost, 1)

                self.simulate(test, "a")

    def test_malformed_record_is_waited_for(self) -> None:
        async def test(cluster: Cluster) -> None:
            cluster.log.append(0, [("lease", b"[]")])
            with self.assertRaises(TimeoutError):
                await cluster.holder(SETTLE_S + LEASE_S + WAIT_SLACK_S)
            self.assertEqual((await cluster.holder(2.0)).lease.held_token(), 2)

        self.simulate(test)


class TestResigning(LeaseCase):
    def test_next_node_takes_over_at_once(self) -> None:
        # Guards against duties that rest for the length of a lease at each planned stop, and
        # against a call of the holder that arrives after one of its successor.
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            await asyncio.sleep(LEASE_S)  # The others have started long enough ago.
            self.assertIsNotNone(first.lease.token())
            acted = asyncio.get_running_loop().time()
            cluster.view.names.remove(first.name)
            resigning = asyncio.create_task(first.lease.resign())
            await asyncio.sleep(0.01)
            first.duty.number = 9
            self.assertIsNone(first.lease.token())
            await resigning
            self.assertGreaterEqual(asyncio.get_running_loop().time(), acted + CALL_MARGIN_S)
            self.assertEqual(cluster.log.lease().holder, "")
            other = await cluster.holder(READ_EVERY_S + RANK_DELAY_S + 0.1)
            self.assertIsNot(other, first)
            self.assertEqual(other.duty.taken[-1].records["number"], b"9")
            await asyncio.sleep(10.0)
            self.assertEqual((first.duty.lost, cluster.holders()), (1, [other]))

        self.simulate(test)

    def test_unanswered_calls(self) -> None:
        for faults in (["refused"], ["lost"], ["late"], ["refused", "refused"]):
            with self.subTest(faults):

                async def test(cluster: Cluster, faults: list[str] = faults) -> None:
                    first = await cluster.holder(FIRST_TAKE_S)
                    first.topic.faults = list(faults)
                    await first.lease.resign()
                    self.assertEqual(cluster.log.lease().holder, "")

                self.simulate(test, "a")

    def test_lease_does_not_return_to_a_host_within_its_length(self) -> None:
        # Guards against the order A, B, A, also if A is a new process of the host.
        for name, restarts in (("the same process", False), ("a restarted process", True)):
            with self.subTest(name):

                async def test(cluster: Cluster, restarts: bool = restarts) -> None:
                    loop = asyncio.get_running_loop()
                    first = await cluster.holder(FIRST_TAKE_S)
                    await asyncio.sleep(LEASE_S)
                    self.assertIsNotNone(first.lease.token())
                    acted = loop.time()
                    if restarts:
                        first.kill()
                        cluster.start(first.name, 2)
                    record = LeaseRecord("", 1, 1000, 0, "0")  # Another node has resigned.
                    cluster.log.append(cluster.log.end, [("lease", record.encode())])
                    if not restarts:
                        await asyncio.sleep(1.5)
                        self.assertEqual(cluster.holders(), [])
                    await cluster.holder(2 * LEASE_S)
                    self.assertGreaterEqual(loop.time() - acted, LEASE_S)

                self.simulate(test, "a")


class TestRestoredLog(LeaseCase):
    def test_holder_takes_the_lease_anew_with_its_records(self) -> None:
        # Guards against actions with a token of the era before, and against lost records.
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            await asyncio.sleep(2.0)
            copy = cluster.log.copy()
            first.duty.number = 5
            await asyncio.sleep(2.0)
            token = first.lease.held_token()
            cluster.log.restore(copy)
            await asyncio.sleep(1.2)
            self.assertEqual(cluster.holders(), [first])
            self.assertEqual(first.lease.held_token() >> 32, 1)
            self.assertGreater(first.lease.held_token(), token)
            self.assertEqual(cluster.log.newest["number"][1], b"5")
            self.assertFalse(first.duty.taken[-1].rewound)

        self.simulate(test)

    def test_others_wait_and_learn_that_records_may_be_missing(self) -> None:
        # Guards against a second holder if the copy says that nobody holds the lease.
        free = LeaseRecord("", 1, 1, 0, "0").encode()
        for name, copy in (("no record", (0, {})), ("resigned", (1, {"lease": (0, free)}))):
            with self.subTest(name):

                async def test(cluster: Cluster, copy: Any = copy) -> None:
                    first = await cluster.holder(FIRST_TAKE_S)
                    await asyncio.sleep(5.0)
                    first.topic.is_down = True
                    cluster.log.restore(copy)
                    other = await cluster.holder(8.0, other_than=first)
                    self.assertTrue(other.duty.taken[-1].rewound)
                    self.assertTrue(cluster.log.lease().rewound)
                    await asyncio.sleep(LEASE_S)
                    self.assertFalse(cluster.log.lease().rewound)

                self.simulate(test)

    def test_append_that_by_chance_fits_the_new_era_counts_for_nothing(self) -> None:
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            token = first.lease.held_token()
            cluster.log.restore(cluster.log.copy())
            self.assertFalse(await first.lease.commit())
            self.assertNotEqual(first.lease.token(), token)
            await asyncio.sleep(CALL_MARGIN_S + 0.1)
            self.assertEqual((first.lease.token() or 0) >> 32, 1)

        self.simulate(test)


class TestCommit(LeaseCase):
    def test_results(self) -> None:
        cases: list[tuple[list[str], bool]] = [
            ([], True),
            (["refused"], True),
            (["lost"], True),
            (["refused", "refused"], False),
        ]
        for faults, expected in cases:
            with self.subTest(faults):

                async def test(cluster: Cluster, faults=faults, expected=expected) -> None:
                    first = await cluster.holder(FIRST_TAKE_S)
                    first.duty.number, first.topic.faults = 4, list(faults)
                    self.assertEqual(await first.lease.commit(), expected)
                    if expected:
                        self.assertEqual(cluster.log.newest["number"][1], b"4")

                self.simulate(test, "a")

    def test_only_the_holder_can_commit(self) -> None:
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            end = cluster.log.end
            found = [await node.lease.commit() for node in cluster.nodes if node is not first]
            self.assertEqual((found, cluster.log.end), ([False, False], end))

        self.simulate(test)

    def test_commits_at_the_same_time_share_one_append(self) -> None:
        # Guards against calls to the log that say nothing new.
        async def test(cluster: Cluster) -> None:
            first = await cluster.holder(FIRST_TAKE_S)
            first.topic.appends = 0
            commits = [asyncio.create_task(first.lease.commit()) for _ in range(4)]
            self.assertEqual(await asyncio.gather(*commits), [True] * 4)
            self.assertLessEqual(first.topic.appends, 2)

        self.simulate(test, "a")
