"""Tests of the hints to the holder of the duties and the reports to it, on a simulated clock."""

import asyncio
from typing import Any, ClassVar

from lacewinghub.duties import ReportContributor
from lacewinghub.leader_hint import ADVERTISE_INTERVAL_S, FORGET_S, LeaderHints
from lacewinghub.leader_reports import (
    REPORT_EVERY_S,
    SPREAD_NODES,
    SPREAD_S,
    TICK_S,
    LeaderReports,
)
from lacewinghub.message import Heartbeat, LeaderHint, LeaderReport, WindowUsage
from lacewinghub.overlay import Overlay

from .overlay_cluster import Cluster, SimulatedCase

# News crosses a partial mesh of 40 nodes in a few hops, with a delay of 20 ms and a relay of 50 ms.
NEWS_S = 0.5


class Usage(ReportContributor):
    """Counts requests of one workspace; fails if ``requests`` is negative."""

    def __init__(self) -> None:
        self.requests = 0

    def fill_report(self, report: LeaderReport) -> None:
        if self.requests < 0:
            raise ValueError("no count")
        report.usage.append(WindowUsage(1, {"w": self.requests}))


class ReportCluster(Cluster):
    """Nodes that report to the holder; ``tokens`` says which nodes hold the lease."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.tokens: dict[str, int] = {}
        self.hints: dict[str, LeaderHints] = {}
        self.reports: dict[str, LeaderReports] = {}
        self.usage: dict[str, Usage] = {}
        self.heartbeats: list[Heartbeat] = []
        super().__init__(size, loss)

    def attach(self, name: str, member: Overlay) -> None:
        own, transport = member.identity, member._transport
        self.hints[name] = hints = LeaderHints(
            name,
            lambda: own.address,
            lambda: self.tokens.get(name) if name in self.members else None,
            member,
            member.schedule_relay,
        )
        member.add(hints)
        self.reports[name] = LeaderReports(own, member, transport, hints.leader)
        self.usage[name] = Usage()
        self.reports[name].add(self.usage[name])
        transport.subscribe(Heartbeat, lambda _, item: self.heartbeats.append(item))
        self.tasks[f"{name}/reports"] = asyncio.create_task(self.reports[name].run())

    def kill(self, name: str) -> None:
        super().kill(name)
        self.tasks.pop(f"{name}/reports").cancel()

    def known(self) -> set[str | None]:
        """Return the holders that nodes know."""
        found = [self.hints[name].leader() for name in self.members]
        return {item.node if item is not None else None for item in found}

    def counts(self, holder: str) -> dict[str, int]:
        return {
            item.report.node: item.report.usage[0].requests["w"] if item.report.usage else -1
            for item in self.reports[holder].reports()
        }


class TestLeaders(SimulatedCase):
    cluster: ClassVar[type[Cluster]] = ReportCluster

    def test_nodes_without_a_holder_send_nothing(self) -> None:
        # Guards against traffic of deployments whose platform has no duties.
        async def test(cluster: Any) -> None:
            cluster.heartbeats.clear()
            await asyncio.sleep(5.0)
            self.assertTrue(cluster.heartbeats)
            self.assertFalse([item for item in cluster.heartbeats if item.leaders])
            self.assertEqual(cluster.known(), {None})
            self.assertEqual(set(cluster.counts("n000")), {"n000"})

        self.run_simulated(test, 16)

    def test_all_nodes_report_to_each_holder(self) -> None:
        # Guards against nodes that go on reporting to a holder that is dead, or has resigned.
        for size in (5, 40):
            for ends in ("killed", "resigned"):
                with self.subTest(f"{size} nodes, {ends}"):

                    async def test(cluster: Any, ends: str = ends) -> None:
                        names = set(cluster.members)
                        for number, name in enumerate(sorted(names)):
                            cluster.usage[name].requests = number
                        cluster.tokens = {"n001": 10}
                        await cluster.until(
                            lambda: cluster.known() == {"n001"}, ADVERTISE_INTERVAL_S + NEWS_S
                        )
                        await cluster.until(lambda: set(cluster.counts("n001")) == names, 1.0)
                        self.assertEqual(
                            cluster.counts("n001"),
                            {name: number for number, name in enumerate(sorted(names))},
                        )
                        if ends == "killed":
                            cluster.kill("n001")
                        cluster.tokens = {"n003": 25}
                        names = set(cluster.members)
                        await cluster.until(lambda: cluster.known() == {"n003"}, 2.0)
                        await cluster.until(lambda: set(cluster.counts("n003")) >= names, 1.0)

                    self.run_simulated(test, size)

    def test_hint_that_is_not_renewed_is_forgotten(self) -> None:
        # Guards against peers that keep a dead holder known by telling each other of it.
        async def test(cluster: Any) -> None:
            cluster.tokens = {"n001": 1000}
            await cluster.until(lambda: cluster.known() == {"n001"}, 2.0)
            await asyncio.sleep(5.0)
            self.assertEqual(cluster.known(), {"n001"})
            cluster.kill("n001")
            cluster.tokens = {}
            await cluster.until(lambda: cluster.known() == {None}, FORGET_S + NEWS_S)
            cluster.tokens = {"n002": 10}  # A lower token than that of the dead holder.
            await cluster.until(lambda: cluster.known() == {"n002"}, 2.0)

        self.run_simulated(test, 40)

    def test_highest_token_wins(self) -> None:
        async def test(cluster: Any) -> None:
            hints = cluster.hints["n000"]
            steps = [("n001", 5, "n001"), ("n002", 4, "n001"), ("n003", 6, "n003")]
            for node, token, expected in steps:
                heartbeat = Heartbeat(node, 1, 1, "live")
                heartbeat.leaders.append(LeaderHint(node, f"memory:{node}", token, 1))
                hints.on_heartbeat(heartbeat)
                self.assertEqual(hints.leader().node, expected)

        self.run_simulated(test, 5)

    def test_each_number_crosses_a_connection_about_once(self) -> None:
        # Guards against hints in every heartbeat, which would cost 900 bytes/s of each node.
        async def test(cluster: Any) -> None:
            cluster.tokens = {"n001": 10}
            await asyncio.sleep(5.0)
            cluster.heartbeats.clear()
            await asyncio.sleep(10.0)
            told = sum(bool(item.leaders) for item in cluster.heartbeats)
            self.assertLess(told, 0.55 * len(cluster.heartbeats))

        self.run_simulated(test, 40)


class TestReports(SimulatedCase):
    cluster: ClassVar[type[Cluster]] = ReportCluster

    def test_reports_of_dead_nodes_are_kept_for_a_while(self) -> None:
        # Guards against counts that are lost with a node although the holder had them.
        async def test(cluster: Any) -> None:
            cluster.tokens = {"n001": 10}
            cluster.usage["n002"].requests = 7
            await cluster.until(lambda: cluster.counts("n001").get("n002") == 7, 3.0)
            cluster.kill("n002")
            await asyncio.sleep(8.0)
            found = {item.report.node: item for item in cluster.reports["n001"].reports()}
            self.assertFalse(found["n002"].live)
            self.assertTrue(found["n003"].live)
            self.assertEqual(cluster.reports["n001"].live_nodes(), 4)
            cluster.start("n002", 2)
            await asyncio.sleep(5.0)
            found = {
                (item.report.node, item.report.incarnation): item.live
                for item in cluster.reports["n001"].reports()
            }
            self.assertEqual((found["n002", 1], found["n002", 2]), (False, True))
            await asyncio.sleep(7.0)  # 20 s after the death.
            self.assertEqual(len(cluster.reports["n001"].reports()), 6)
            await asyncio.sleep(12.0)
            self.assertEqual(len(cluster.reports["n001"].reports()), 5)

        self.run_simulated(test, 5)

    def test_first_reports_of_many_nodes_are_spread(self) -> None:
        # Guards against a new holder to which hundreds of nodes connect at the same moment.
        for nodes, is_spread in ((SPREAD_NODES, False), (SPREAD_NODES + 1, True)):
            with self.subTest(nodes):

                async def test(cluster: Any, nodes: int = nodes, is_spread: bool = is_spread):
                    first: dict[str, float] = {}
                    loop = asyncio.get_running_loop()
                    for name, reports in cluster.reports.items():
                        reports.live_nodes = lambda: nodes

                        def record(leader: LeaderHint, name: str = name) -> bool:
                            first.setdefault(name, loop.time())
                            return True

                        reports._send_to = record
                    hint = LeaderHint("n001", "memory:n001", 10, 1)
                    started = loop.time()
                    for reports in cluster.reports.values():
                        reports._leader = lambda: hint
                    await asyncio.sleep(SPREAD_S + 2 * TICK_S)
                    self.assertEqual(set(first), set(cluster.members))
                    spread_s = max(first.values()) - started
                    self.assertEqual(spread_s > 2 * TICK_S, is_spread)
                    self.assertLessEqual(spread_s, SPREAD_S + 2 * TICK_S)

                self.run_simulated(test, 12)

    def test_last_reports_of_nodes_that_leave_say_so(self) -> None:
        # Guards against a holder that waits for the counts of nodes that have ended.
        async def test(cluster: Any) -> None:
            cluster.tokens = {"n001": 10}
            await cluster.until(lambda: len(cluster.counts("n001")) == 5, 3.0)
            cluster.members["n002"].leave()
            cluster.reports["n002"].send()
            await asyncio.sleep(0.1)
            found = {item.report.node: item.report for item in cluster.reports["n001"].reports()}
            leaving = [node for node, report in found.items() if report.leaving]
            self.assertEqual(leaving, ["n002"])

        self.run_simulated(test, 5)

    def test_holder_keeps_the_reports_if_it_loses_the_lease_for_a_moment(self) -> None:
        async def test(cluster: Any) -> None:
            cluster.tokens = {"n001": 10}
            await cluster.until(lambda: len(cluster.counts("n001")) == 5, 3.0)
            cluster.tokens = {}
            await asyncio.sleep(2.0)
            self.assertEqual(len(cluster.counts("n001")), 5)

        self.run_simulated(test, 5)

    def test_older_and_false_reports_are_ignored(self) -> None:
        async def test(cluster: Any) -> None:
            reports = cluster.reports["n001"]
            steps = [("a", "a", 2, 2), ("a", "a", 1, 2), ("b", "a", 3, 2), ("a", "a", 4, 4)]
            for sender, node, seq, expected in steps:
                reports._on_report(sender, LeaderReport(node, 1, seq, -1))
                found = [item.report.seq for item in reports.reports() if item.report.node == "a"]
                self.assertEqual(found, [expected])

        self.run_simulated(test, 5)

    def test_a_failing_component_does_not_keep_others_from_reporting(self) -> None:
        async def test(cluster: Any) -> None:
            cluster.usage["n002"].requests = -1
            second = Usage()
            second.requests = 3
            cluster.reports["n002"].add(second)
            cluster.tokens = {"n001": 10}
            await cluster.until(lambda: cluster.counts("n001").get("n002") == 3, 3.0)

        self.run_simulated(test, 5)

    def test_period(self) -> None:
        # Guards against a holder that many nodes overload.
        for nodes, expected in ((1, REPORT_EVERY_S), (150, 0.5), (330, 1.1)):
            with self.subTest(nodes):

                async def test(cluster: Any, nodes: int = nodes, expected: float = expected):
                    reports = cluster.reports["n001"]
                    reports.live_nodes = lambda: nodes
                    self.assertAlmostEqual(reports._period_s(), expected)

                self.run_simulated(test, 2)
