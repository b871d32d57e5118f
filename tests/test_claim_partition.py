"""Proofs of at-most-once execution with several partitions and forwarding, in simulated time.

Each proof of a mechanism is run a second time without it, and must then fail.
"""

import asyncio
import unittest
from collections import Counter
from functools import partial
from typing import Any

from lacewinghub.claim import Claimer
from lacewinghub.claim_index import key_hash, partition_of
from lacewinghub.errors import NotReady, OutcomeUnknown
from lacewinghub.forward import Forwarder
from lacewinghub.membership import Member, MemberState
from lacewinghub.message import ForwardRequest
from lacewinghub.partition import GRACE_S, OWNERS, Owners
from tests import test_claim
from tests.claim_cluster import Node, die_at, race, stop_at, stop_forever
from tests.claim_variants import NoReplay
from tests.clock import simulate
from tests.partition_cluster import ZONES, PartitionedCluster


def _members(count: int) -> list[Member]:
    return [Member(f"n{n}", "", ZONES[n % len(ZONES)], 0, MemberState.LIVE) for n in range(count)]


async def _entry_and_owner(cluster: PartitionedCluster) -> tuple[Node, Node]:
    """Start six nodes; return an entry node for the key ``k`` and the owner that it tries first."""
    await cluster.add_ready(6)
    entry = cluster.entry("k")
    return entry, cluster.owners("k", entry)[0]


class SecondOwner(Forwarder):
    """Lets a call be made at a second owner after the connection to the first one broke."""

    async def call(self, owner: str, req: Any) -> Any:
        try:
            return await super().call(owner, req)
        except OutcomeUnknown as exc:
            raise NotReady(exc.message) from exc


class OwnersTest(unittest.TestCase):
    """Guards against nodes that disagree on owners, and owners that one zone's failure takes."""

    def test_owners_are_alike_everywhere_spread_and_stable(self) -> None:
        live = _members(12)
        owners = Owners(64)
        found = [[item.node for item in owners.of(number, live)] for number in range(64)]
        self.assertEqual(
            found, [[item.node for item in Owners(64).of(n, live[::-1])] for n in range(64)]
        )
        for number in range(64):
            zones = {item.availability_zone for item in owners.of(number, live)}
            self.assertEqual(zones, set(ZONES))
        counts = Counter(node for nodes in found for node in nodes)
        self.assertEqual(sum(counts.values()), 64 * OWNERS)
        self.assertGreater(min(counts.values()), 4)
        for number, nodes in enumerate(found):
            rest = [item.node for item in owners.of(number, live[1:])]
            if "n0" not in nodes:
                self.assertEqual(rest, nodes)

    def test_owned_partitions_equal_the_single_answers(self) -> None:
        async def main() -> None:
            for count in (1, 3, 4, 12):
                live = _members(count)
                owners = Owners(64)
                for member in live:
                    expected = {n for n in range(64) if member in Owners(64).of(n, live)}
                    self.assertEqual(await owners.owned_by(member.node, live), expected)
                self.assertEqual(await owners.owned_by("gone", live), set())

        simulate(main)


class ForwardingTest(unittest.TestCase):
    """Guards against calls that run twice or are answered wrongly on their way to an owner."""

    def test_one_partition_sends_no_messages_and_uses_the_stream_claims(self) -> None:
        async def main() -> PartitionedCluster:
            cluster = PartitionedCluster(partitions=1)
            nodes = await cluster.add_ready(6)
            for n, node in enumerate(nodes):
                self.assertTrue((await node.ask(cluster.request(f"k{n}"))).startswith("ok"))
            claimants = [item.data["node"] for item in cluster.log.records("claims")]
            self.assertEqual(set(claimants), {node.name for node in nodes})
            return cluster

        cluster = simulate(main)
        for transport in cluster.network._transports.values():
            self.assertEqual(transport.traffic.of("ForwardRequest").sent, 0)

    def test_only_owners_read_and_repeats_get_the_stored_answer(self) -> None:
        async def main() -> PartitionedCluster:
            cluster = PartitionedCluster()
            nodes = await cluster.add_ready(6)
            for key in ("a", "b", "c", "d", "e"):
                answers = {await node.ask(cluster.request(key)) for node in nodes}
                self.assertEqual(len(answers), 1)
                self.assertTrue(answers.pop().startswith("ok"))
            for number in range(cluster.partitions):
                reading = [node for node in nodes if node.claimer.claimer(number) is not None]
                self.assertEqual(sum(number in node.claimer.owned for node in nodes), OWNERS)
                self.assertLessEqual(OWNERS, len(reading))
            self.assertEqual(cluster.log.records("claims"), [])
            return cluster

        cluster = simulate(main)
        self.assertEqual(cluster.faults(), [])
        self.assertEqual(set(cluster.service.by_key.values()), {1})

    def test_claimers_follow_the_ownership_and_stay_for_the_grace(self) -> None:
        async def main() -> None:
            cluster = PartitionedCluster(partitions=16)
            nodes = await cluster.add_ready(3)
            self.assertEqual(nodes[0].claimer.owned, list(range(16)))
            nodes += await cluster.add_ready(3)
            await asyncio.sleep(1.0)
            owned = nodes[0].claimer.owned
            self.assertLess(len(owned), 16)
            self.assertTrue(all(nodes[0].claimer.claimer(number) for number in range(16)))
            await asyncio.sleep(GRACE_S)
            kept = [number for number in range(16) if nodes[0].claimer.claimer(number)]
            self.assertEqual(kept, owned)

        simulate(main)

    def test_errors_of_owners_keep_code_run_and_details(self) -> None:
        async def main() -> None:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            cases: list[tuple[Exception, str]] = [
                (test_claim.Overloaded("full", retry_after_s=2.0, queue=7), "overloaded"),
                (test_claim.ConnectFailed("refused"), "not_run"),
                (RuntimeError("fault"), "not_run"),
            ]
            for error, code in cases:

                async def fail(error: Exception = error) -> None:
                    raise error

                owner.before_use = fail
                with self.subTest(code), self.assertRaises(Exception) as caught:
                    await entry.serve(cluster.request("k"))
                self.assertEqual(caught.exception.code, code)
                self.assertEqual(caught.exception.run, "not_run")
                if code == "overloaded":
                    self.assertIs(type(caught.exception), test_claim.Overloaded)
                    self.assertEqual(caught.exception.details, {"queue": 7})
                    self.assertEqual(caught.exception.retry_after_s, 2.0)
            owner.before_use = None
            self.assertTrue((await entry.ask(cluster.request("k"))).startswith("ok"))
            other = cluster.request("k", body={"kitchen": "other"})
            self.assertEqual(await entry.ask(other), "key_reused")

        simulate(main)

    def test_owner_that_is_not_ready_is_passed_over(self) -> None:
        async def main() -> None:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            number = partition_of(key_hash("trust", "k"), cluster.partitions)
            owner.claimer.claimer(number).ready = False
            self.assertTrue((await entry.ask(cluster.request("k"))).startswith("ok"))
            for item in cluster.owners("k"):
                item.claimer.claimer(number).ready = False
            self.assertEqual(await entry.ask(cluster.request("k")), "key_unverified")

        simulate(main)

    def test_lost_and_late_replies_are_outcome_unknown_and_repeats_are_safe(self) -> None:
        async def main(late: bool) -> PartitionedCluster:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            if late:
                cluster.service.delay_s = 30.0
            else:
                cluster.network.cut(owner.name, entry.name)
            answer = await entry.ask(cluster.request("k", patience_s=1.0))
            self.assertEqual(answer, "outcome_unknown")
            cluster.network.heal()
            await asyncio.sleep(30.0)
            for node in cluster.nodes:
                self.assertEqual(await node.ask(cluster.request("k")), "ok k/r1")
            return cluster

        for late in (False, True):
            with self.subTest(late=late):
                self.assertEqual(simulate(lambda late=late: main(late)).faults(), [])

    def test_connection_that_opens_late_is_waited_for(self) -> None:
        """Guards against a refusal while the transport opens a connection, in both directions."""

        async def main() -> None:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            refused = Counter[str]()

            def late(name: str, send: Any, receiver: str, message: Any) -> bool:
                refused[name] += 1
                return refused[name] > 3 and send(receiver, message)

            for node in (entry, owner):
                transport = cluster.network._transports[node.name]
                transport.send = partial(late, node.name, transport.send)  # type: ignore
            self.assertEqual(await entry.ask(cluster.request("k")), "ok k/r1")
            self.assertEqual(dict(refused), {entry.name: 4, owner.name: 4})

        simulate(main)

    def test_planned_stop_completes_forwarded_calls(self) -> None:
        async def main() -> None:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            cluster.service.delay_s = 2.0
            asked = asyncio.ensure_future(entry.ask(cluster.request("k")))
            await asyncio.sleep(0.1)
            closing = asyncio.ensure_future(owner.claimer._forwarder.close())
            await asyncio.sleep(0.1)
            other = await entry.ask(cluster.request("k"))
            self.assertEqual(other, await asked)
            await closing
            self.assertEqual(cluster.service.by_key["k"], 1)

        simulate(main)

    def test_number_of_forwarded_calls_is_bounded(self) -> None:
        async def main() -> None:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            owner.before_use = stop_forever
            for other in cluster.owners("k"):
                other.before_use = stop_forever
            asks = [asyncio.ensure_future(entry.ask(cluster.request("k"))) for _ in range(300)]
            await asyncio.sleep(0.5)
            refused = [task.result() for task in asks if task.done()]
            self.assertEqual(refused, ["key_unverified"] * 44)
            large = cluster.request("k", body={"text": "x" * 5_000_000})
            self.assertEqual(await entry.ask(large), "too_large")

        simulate(main)

    def test_duplicate_and_foreign_messages_change_nothing(self) -> None:
        async def main() -> PartitionedCluster:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            transport = cluster.network._transports[owner.name]
            deliver = transport.deliver

            def twice(sender: str, message: Any) -> None:
                deliver(sender, message)
                if isinstance(message, ForwardRequest):
                    deliver(sender, message)

            transport.deliver = twice  # type: ignore[method-assign]
            self.assertTrue((await entry.ask(cluster.request("k"))).startswith("ok"))
            return cluster

        cluster = simulate(main)
        self.assertEqual(cluster.service.by_key["k"], 1)


class SpacingTest(unittest.TestCase):
    """Guards against more appends than the log takes, and against owners that cannot keep up."""

    def test_all_streams_of_a_node_share_its_spacing(self) -> None:
        async def main(partitions: int, count: int) -> tuple[int, float, list[float]]:
            cluster = PartitionedCluster(partitions=partitions, append_limit=1e6)
            nodes = await cluster.add_ready(count)
            await asyncio.sleep(1.0)
            keys = [f"k{n}" for n in range(150)]
            appends, start = cluster.log.appends, asyncio.get_running_loop().time()
            await asyncio.gather(
                *(nodes[n % count].ask(cluster.request(key)) for n, key in enumerate(keys))
            )
            self.assertEqual(set(cluster.service.by_key.values()), {1})
            self.assertEqual(cluster.faults(), [])
            spent = asyncio.get_running_loop().time() - start
            intervals = [node.claimer._append_interval() for node in nodes]
            return cluster.log.appends - appends, spent, intervals

        for partitions, count in ((1, 6), (8, 3), (32, 6), (64, 9)):
            with self.subTest(partitions=partitions, nodes=count):
                appends, spent, intervals = simulate(lambda p=partitions, n=count: main(p, n))
                # The first append of each node does not wait, the last one ends the time.
                self.assertLessEqual(appends, 2 * count + 200.0 * spent)
                self.assertAlmostEqual(sum(1 / item for item in intervals), 200.0)
                if partitions == 1:
                    self.assertEqual(set(intervals), {count / 200.0})

    def test_leaving_node_still_appends_its_results(self) -> None:
        """Guards against results that are lost because a node that owns nothing may not append."""

        async def main() -> None:
            cluster = PartitionedCluster(partitions=64)
            node = (await cluster.add_ready(6))[0]
            before = node.claimer._append_interval()
            cluster.hidden.add((node.name, node.name))
            await asyncio.sleep(1.0)
            self.assertEqual(node.claimer.owned, [])
            self.assertLessEqual(node.claimer._append_interval(), before)

        simulate(main)


class FaultTest(unittest.TestCase):
    """Guards against a second execution when owners, nodes or the log fail at any step."""

    def test_racing_repeats_under_each_log_fault(self) -> None:
        for faults in test_claim.LogFaultTest.FAULTS:
            for step in ("arrival", "dispatch", "result"):
                with self.subTest(step=step, **faults):
                    cluster, last = simulate(
                        lambda f=faults, s=step: race(PartitionedCluster, f, s, 6, 6)
                    )
                    self.assertEqual(cluster.faults(), [])
                    self.assertEqual(cluster.service.by_key["k"], 1)
                    self.assertEqual(len(set(last)), 1)
                    self.assertTrue(last[0].startswith("ok"), last)

    def test_owner_stops_at_each_step(self) -> None:
        async def main(point: str, freeze: bool, pause: float) -> PartitionedCluster:
            cluster = PartitionedCluster()
            entry, owner = await _entry_and_owner(cluster)
            if freeze:
                _freeze_at(point, owner)
            else:
                die_at(point, owner)
            first = asyncio.ensure_future(entry.ask(cluster.request("k")))
            await asyncio.sleep(pause)
            others = [node for node in cluster.nodes if node is not owner]
            for _ in range(2):
                await asyncio.gather(*(node.ask(cluster.request("k")) for node in others))
                await asyncio.sleep(5.0)
            owner.thaw()
            await asyncio.sleep(20.0)
            codes.add((freeze, pause, (await first).split()[0]))
            await asyncio.gather(*(node.ask(cluster.request("k")) for node in others))
            return cluster

        codes: set[tuple[bool, float, str]] = set()
        for point, runs, _ in test_claim.CrashPointTest.CASES:
            for freeze in (False, True):
                for pause in (0.0, 0.5, 60.0):
                    with self.subTest(point, freeze=freeze, pause=pause):
                        cluster = simulate(lambda p=point, f=freeze, s=pause: main(p, f, s))
                        self.assertEqual(cluster.faults(), [])
                        # Without a pause another owner may claim the key first.
                        if pause and not freeze:
                            self.assertEqual(cluster.service.by_key["k"], runs)
        killed = {code for freeze, pause, code in codes if pause and not freeze}
        self.assertEqual(killed, {"outcome_unknown"})

    def test_all_nodes_are_replaced(self) -> None:
        async def main() -> PartitionedCluster:
            cluster = PartitionedCluster(retention_s=600.0)
            nodes = await cluster.add_ready(6)
            for n in range(20):
                await nodes[n % 6].ask(cluster.request(f"k{n}"))
            for turn in range(40):
                await nodes.pop(0).kill()
                nodes += await cluster.add_ready(1)
                await asyncio.sleep(60.0)
                answer = await nodes[turn % 6].ask(cluster.request(f"k{turn % 20}"))
                self.assertTrue(answer.startswith("ok"), answer)
            return cluster

        cluster = simulate(main)
        self.assertEqual(cluster.faults(), [])
        self.assertEqual(set(cluster.service.by_key.values()), {1})


class MechanismTest(unittest.TestCase):
    """Guards against a mechanism that is lost or that no test needs."""

    def test_call_is_not_sent_to_a_second_owner_after_the_connection_broke(self) -> None:
        """Without this, "not run" is answered for a call that the first owner executes later."""

        async def main(kind: type[Forwarder]) -> list[str]:
            cluster = PartitionedCluster(forwarder=kind)
            entry, owner = await _entry_and_owner(cluster)
            second = cluster.owners("k", entry)[1]

            async def refuse() -> None:
                raise test_claim.ConnectFailed("refused")

            # The message waits in the connection to a frozen owner, which reads it when it wakes.
            owner.freeze()
            second.before_use = refuse
            asked = asyncio.ensure_future(entry.ask(cluster.request("k", patience_s=1.0)))
            await asyncio.sleep(10.0)
            owner.thaw()
            await asyncio.sleep(10.0)
            return [await asked, *cluster.faults()]

        self.assertEqual(simulate(lambda: main(Forwarder)), ["outcome_unknown"])
        self.assertEqual(
            simulate(lambda: main(SecondOwner)), ["not_run", "r1 ran but was answered not_run"]
        )

    def test_number_of_partitions_never_changes(self) -> None:
        async def main(later: int) -> list[str]:
            cluster = PartitionedCluster(partitions=4)
            await cluster.add_ready(4)
            for n in range(8):
                await cluster.nodes[n % 4].ask(cluster.request(f"k{n}"))
            cluster.partitions = later
            fresh = await cluster.add_ready(1)
            await cluster.nodes[0].kill()
            await asyncio.sleep(1.0)
            for n in range(8):
                await fresh[0].ask(cluster.request(f"k{n}"))
            return cluster.faults()

        self.assertEqual(simulate(lambda: main(4)), [])
        self.assertTrue(any("ran 2 times" in item for item in simulate(lambda: main(5))))

    def test_new_owner_reads_the_partition_first(self) -> None:
        async def main(kind: type[Claimer]) -> list[str]:
            cluster = PartitionedCluster(kind)
            nodes = await cluster.add_ready(6)
            for n in range(8):
                await nodes[n % 6].ask(cluster.request(f"k{n}"))
            for node in nodes[:3]:
                await node.kill()
            await asyncio.sleep(1.0)
            for n in range(8):
                await nodes[3 + n % 3].ask(cluster.request(f"k{n}"))
            return cluster.faults()

        self.assertEqual(simulate(lambda: main(Claimer)), [])
        self.assertNotEqual(simulate(lambda: main(NoReplay)), [])


def _freeze_at(point: str, node: Node) -> None:
    """Freeze a node once, at a step of its next execution."""
    frozen = False

    async def freeze() -> None:
        nonlocal frozen
        if not frozen:
            frozen = True
            node.freeze()

    stop_at(point, node, freeze)


if __name__ == "__main__":
    unittest.main()
