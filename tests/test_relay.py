"""Tests of state that is relayed to nodes that are not peers of its origin, simulated."""

import asyncio
import random
import unittest

from lacewinghub.admission import PROPAGATION_BOUND_S, RELAYED_AGE_DELAY_S, FloorAdmission
from lacewinghub.config import ConfigReplica
from lacewinghub.document import pack_document
from lacewinghub.errors import Quarantined
from lacewinghub.fake_log import MemoryLog
from lacewinghub.footprint import sample_tables
from lacewinghub.health import RENEW_MARK_S, EndpointHealth, LeaveStateSync
from lacewinghub.message import (
    ConfigReply,
    GroupFreeSlots,
    Heartbeat,
    Pressure,
    RelayedFreeSlots,
    RelayedPressure,
)
from lacewinghub.overlay import MESH_LIMIT, Overlay
from lacewinghub.quarantine import CRASH_LIMIT, RELAYED_PROPAGATION_S, Quarantine
from lacewinghub.queue import TierQueue, Waiter
from lacewinghub.relay import (
    FREE_REPORTS_PER_HEARTBEAT,
    MAX_HOPS,
    FreeSlotRelay,
    PressureRelay,
    TrialRelay,
)
from lacewinghub.request import AttemptResult, Request
from lacewinghub.tables import Pool, Tables, Target

from .overlay_cluster import Cluster, FloorContributor, SimulatedCase

POOL = "model-0"
RUNNERS = [f"r{i}" for i in range(100)]
POISON = 666
LEAVING_BOUND_S = 3.0


def request(number: int, fingerprint: int = 0) -> Request:
    """Build a request."""
    now = asyncio.get_running_loop().time()
    return Request(
        f"q{number}", "workspace-0", "c", 1, POOL, {}, now, 30.0, Target(), None, fingerprint
    )


class HealthCluster(Cluster):
    """Nodes that share which endpoints are leaving."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.health: dict[str, EndpointHealth] = {}
        super().__init__(size, loss)

    def attach(self, name: str, member: Overlay) -> None:
        self.health[name] = EndpointHealth()
        member.add(LeaveStateSync(self.health[name], member.schedule_relay))

    def all_leaving(self, wanted: bool) -> bool:
        return all(item.is_leaving("e0") is wanted for item in self.health.values())

    def states_sent(self) -> int:
        return sum(len(item.marks(full=False)) for item in self.health.values())


class TestLeaving(SimulatedCase):
    cluster = HealthCluster

    def test_leaving_endpoint_is_known_everywhere_and_forgotten_after_its_return(self) -> None:
        """Guards against leave states that do not reach distant nodes or circulate endlessly."""

        async def test(cluster: HealthCluster) -> None:
            first = cluster.health["n007"]
            first.mark_leaving("e0")
            await cluster.until(lambda: cluster.all_leaving(True), LEAVING_BOUND_S)
            await asyncio.sleep(6)
            self.assertEqual(cluster.states_sent(), 0)
            first.apply_load_report("e0", leaving=False)
            await cluster.until(lambda: cluster.all_leaving(False), LEAVING_BOUND_S)
            for _ in range(20):
                await asyncio.sleep(1)
                self.assertTrue(cluster.all_leaving(False))
            self.assertEqual(cluster.states_sent(), 0)
            cluster.health["n020"].mark_leaving("e0")
            await cluster.until(lambda: cluster.all_leaving(True), LEAVING_BOUND_S)

        for size, loss in ((40, 0.0), (40, 0.1), (80, 0.0)):
            with self.subTest(size=size, loss=loss):
                self.run_simulated(test, size=size, loss=loss)

    def test_own_evidence_contradicts_a_return(self) -> None:
        """Guards against a late report at one node that clears the state of a leaving endpoint."""

        async def test(cluster: HealthCluster) -> None:
            cluster.health["n007"].mark_leaving("e0")
            await asyncio.sleep(5.5)
            cluster.health["n007"].mark_leaving("e0")
            cluster.health["n020"].apply_load_report("e0", leaving=False)
            await cluster.until(lambda: cluster.all_leaving(True), LEAVING_BOUND_S)

        self.run_simulated(test)

    def test_restarted_node_learns_and_contradicts_old_states(self) -> None:
        """Guards against a restarted node whose new state has a lower version than the lost one."""

        async def test(cluster: HealthCluster) -> None:
            for _ in range(2):
                cluster.health["n007"].mark_leaving("e0")
                await asyncio.sleep(6)
                cluster.health["n007"].apply_load_report("e0", leaving=False)
                await asyncio.sleep(4)
            await asyncio.sleep(700)
            cluster.kill("n007")
            cluster.health.pop("n007")
            await asyncio.sleep(8)
            cluster.start("n007", 2)
            await asyncio.sleep(1)
            cluster.health["n007"].mark_leaving("e0")
            await asyncio.sleep(1)
            cluster.health["n007"].mark_leaving("e0")
            await cluster.until(lambda: cluster.all_leaving(True), LEAVING_BOUND_S)

        self.run_simulated(test, size=MESH_LIMIT + 1)

    def test_lasting_state_is_renewed(self) -> None:
        """Guards against a state that expires while the endpoint still reports that it leaves."""

        async def test(cluster: HealthCluster) -> None:
            for _ in range(int(650 / 2.5)):
                cluster.health["n007"].apply_load_report("e0", leaving=True)
                await asyncio.sleep(2.5)
            self.assertTrue(cluster.all_leaving(True))
            versions = {item.marks(full=True)[0].version for item in cluster.health.values()}
            self.assertLess(max(versions), 3 + 650 / RENEW_MARK_S)

        self.run_simulated(test, size=MESH_LIMIT + 1)


class PoisonCluster(Cluster):
    """Nodes with a quarantine each; the poison request crashes its runner after ``crash_s``."""

    crash_s = 0.05

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.quarantines: dict[str, Quarantine] = {}
        self.crashes: list[str] = []
        super().__init__(size, loss)

    def attach(self, name: str, member: Overlay) -> None:
        loop = asyncio.get_running_loop()
        quarantine = Quarantine(
            name,
            member,
            member.send_heartbeat,
            lambda: 1e9 + loop.time(),
            forward=member.schedule_relay,
        )
        self.quarantines[name] = quarantine
        member.add(quarantine)

    async def serve(self, node: str, number: int, after_s: float = 0.0) -> None:
        """Serve the poison request as the router does, until it is refused."""
        await asyncio.sleep(after_s)
        quarantine, req = self.quarantines[node], request(number, POISON)
        while True:
            try:
                await quarantine.wait_if_suspect(req, RUNNERS)
            except Quarantined:
                return
            free = [name for name in RUNNERS if name not in req.excluded_endpoints]
            runner = free[number % len(free)]
            quarantine.on_dispatched(req, runner)
            await asyncio.sleep(self.crash_s)
            self.crashes.append(runner)
            quarantine.on_attempt_ended(req, runner, AttemptResult(ok=False, crashed=True))


class TestPoison(SimulatedCase):
    cluster = PoisonCluster

    def test_crash_is_known_everywhere_and_crashes_are_bounded(self) -> None:
        """Guards against copies of a request at distant nodes that each crash another runner.

        The bound is ``max(CRASH_LIMIT, w)``, with ``w`` copies sent before the report of the first
        crash can have arrived.
        """
        late_s = PoisonCluster.crash_s + RELAYED_PROPAGATION_S
        cases = (
            # copies that start at once, copies after the report of the first crash, bound
            (1, 0, CRASH_LIMIT),
            (1, 39, CRASH_LIMIT),
            (5, 35, 5),
            (40, 0, 40),
        )
        for early, late, bound in cases:

            async def test(
                cluster: PoisonCluster, early: int = early, late: int = late, bound: int = bound
            ) -> None:
                nodes = random.Random(1).sample(list(cluster.members), early + late)
                starts = [0.0] * early + [late_s] * late
                await asyncio.gather(
                    *(
                        cluster.serve(n, i, s)
                        for i, (n, s) in enumerate(zip(nodes, starts, strict=True))
                    )
                )
                self.assertLessEqual(len(cluster.crashes), bound)
                self.assertGreaterEqual(len(cluster.crashes), min(bound, CRASH_LIMIT))
                await asyncio.sleep(RELAYED_PROPAGATION_S)
                counts = {quarantine.count(POISON) for quarantine in cluster.quarantines.values()}
                self.assertEqual(len(counts), 1)
                self.assertGreaterEqual(min(counts), CRASH_LIMIT)

            with self.subTest(early=early, late=late):
                self.run_simulated(test, size=40)

    def test_one_crash_is_known_everywhere(self) -> None:
        """Guards against a report of a crash that takes longer than a suspect request waits."""

        async def test(cluster: PoisonCluster) -> None:
            cluster.quarantines["n011"].record_crash("r1", [5])
            await cluster.until(
                lambda: all(
                    quarantine.count(5) == 1 for quarantine in cluster.quarantines.values()
                ),
                RELAYED_PROPAGATION_S,
            )
            cluster.quarantines["n033"].clear_crashes(5)
            await cluster.until(
                lambda: all(
                    quarantine.count(5) == 0 for quarantine in cluster.quarantines.values()
                ),
                3,
            )

        self.run_simulated(test, size=80)


class ConfigCluster(Cluster):
    """Nodes with tables; the log is unavailable."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.replicas: dict[str, ConfigReplica] = {}
        super().__init__(size, loss)

    def attach(self, name: str, member: Overlay) -> None:
        log = MemoryLog()
        log.faults.unavailable = True
        replica = self.replicas[name] = ConfigReplica(name, log, member._transport)
        member.add(replica)
        self.tasks[f"{name}/config"] = asyncio.create_task(replica.run())


class TestConfig(SimulatedCase):
    cluster = ConfigCluster

    def test_tables_reach_nodes_that_are_cut_off_from_the_log(self) -> None:
        """Guards against asking a node that is not a peer, or one that cannot answer."""

        async def test(cluster: ConfigCluster) -> None:
            tables = Tables.parse(sample_tables(3, 9, "127.0.0.1:9"), 5)
            reply = ConfigReply(5, pack_document(tables), 9, 1.0)
            cluster.members["n004"]._transport.deliver("n005", reply)
            # Half a second of lag and one heartbeat per hop, 5 hops, and one lost request.
            await cluster.until(
                lambda: all(item.tables.version == 5 for item in cluster.replicas.values()), 8
            )

        self.run_simulated(test, size=60)


class TestParts(unittest.TestCase):
    def test_pools_without_pressure_are_left_out(self) -> None:
        """Guards against heartbeats that grow with the pools, and missing ages under pressure."""
        relay = PressureRelay("n1")
        for now, floor, expected in (
            (0.0, 8, []),
            (1.0, 6, [Pressure("p", 6, [-1] * 6 + [70, 80])]),
            (3.0, 8, [Pressure("p", 8, [])]),
            (4.5, 8, []),
        ):
            with self.subTest(now):
                heartbeat = Heartbeat("n1", 1, 1, "live")
                heartbeat.pressure = [Pressure("p", floor, [10, 20, 30, 40, 50, 60, 70, 80])]
                relay.fill_heartbeat(heartbeat, now)
                self.assertEqual(heartbeat.pressure, expected)

    def test_relayed_floor_expires(self) -> None:
        """Guards against two nodes that keep renewing the floor of a dead node."""
        relays, now = [PressureRelay("n1"), PressureRelay("n2")], 0.0
        first = Heartbeat("n0", 1, 1, "live", pressure=[Pressure("p", 2, [-1, -1, 0])])
        self.assertTrue(relays[0].merge_heartbeat(first, now))
        for turn in range(60):
            sender, receiver = relays[turn % 2], relays[1 - turn % 2]
            heartbeat = Heartbeat(f"n{1 + turn % 2}", 1, turn, "live")
            sender.fill_heartbeat(heartbeat, now)
            if turn == 0:
                self.assertEqual(
                    heartbeat.relayed, [RelayedPressure("p", 2, "n0", 0, 1, [-1, -1, 100])]
                )
            # Without an increment per hop, a delay equal to the period would keep the age constant.
            now += 0.1
            receiver.merge_heartbeat(heartbeat, now)
        for relay in relays:
            (found,) = relay.pressure_of_others(now)
            self.assertEqual(found.floor, 8)
            self.assertGreater(found.admit_age_ms[2], 1000 * now - 500)

    def test_free_slots_are_relayed_once(self) -> None:
        """Guards against reports that circulate or exceed the limit per heartbeat."""
        free = FreeSlotRelay()
        groups = [GroupFreeSlots(f"g{i}", 5) for i in range(2 * FREE_REPORTS_PER_HEARTBEAT)]
        free.merge_heartbeat(Heartbeat("n1", 1, 1, "live", free=groups), 0.0)
        sent = []
        for now in (0.1, 0.2, 0.3):
            heartbeat = Heartbeat("n2", 1, 1, "live")
            free.fill_heartbeat(heartbeat, [GroupFreeSlots("g0", 5)], now)
            sent.append(len(heartbeat.free_elsewhere))
            # The same reports come back.
            free.merge_heartbeat(heartbeat, now + 0.1)
        self.assertEqual(sent, [FREE_REPORTS_PER_HEARTBEAT, FREE_REPORTS_PER_HEARTBEAT - 1, 0])
        late = [RelayedFreeSlots("g1", 0, 0, MAX_HOPS), RelayedFreeSlots("g2", 0, 0, 1)]
        free.merge_heartbeat(Heartbeat("n1", 1, 2, "live", free_elsewhere=late), 2.0)
        heartbeat = Heartbeat("n2", 1, 2, "live")
        free.fill_heartbeat(heartbeat, [GroupFreeSlots("g0", 5)], 2.1)
        self.assertEqual(heartbeat.free_elsewhere, [RelayedFreeSlots("g2", 0, 100, 2)])
        self.assertEqual([free.free_slots(name) for name in ("g1", "g2", "g3", "x")], [0, 0, 5, 0])

    def test_trials_are_accepted_once_and_expire(self) -> None:
        """Guards against trials of a dead node that block all other copies of a request."""
        relay = TrialRelay()
        self.assertTrue(relay.store_trials("n1", 1, 5, {7: "r1"}, 0.0))
        self.assertFalse(relay.store_trials("n1", 1, 6, {7: "r1"}, 0.5))
        self.assertFalse(relay.store_trials("n1", 1, 6, {7: "r2"}, 2.0))
        self.assertEqual(relay.active_trials(3.4), [("n1", {7: "r1"})])
        self.assertEqual(relay.active_trials(3.6), [])
        heartbeat = Heartbeat("n2", 1, 1, "live")
        relay.fill_heartbeat(heartbeat, 3.6)
        self.assertEqual(heartbeat.trials, [])
        self.assertFalse(relay.store_trials("n1", 1, 6, {7: "r1"}, 4.0))
        self.assertEqual(relay.active_trials(4.0), [])
        self.assertTrue(relay.store_trials("n1", 2, 1, {}, 5.0))


class TestPropagationBound(SimulatedCase):
    def test_stricter_floor_is_known_within_the_bound_without_earlier_pressure(self) -> None:
        """Guards against a first floor that waits for the regular heartbeat at each hop."""

        async def test(cluster: Cluster) -> None:
            for node, floor in (("n009", 5), ("n030", 2)):
                cluster.floors[node].own = floor
                await cluster.until(
                    lambda floor=floor: all(  # type: ignore[misc]
                        item.lowest() == floor for item in cluster.floors.values() if item.own == 8
                    ),
                    PROPAGATION_BOUND_S,
                )

        self.run_simulated(test, size=80)

    def test_floor_of_a_former_peer_ends(self) -> None:
        """Guards against a floor that stays because the connection it arrived on was closed."""

        async def test(cluster: Cluster) -> None:
            for how in ("closed", "silent"):
                cluster.floors["n009"].own = 3
                await cluster.until(
                    lambda: all(item.lowest() == 3 for name, item in others(cluster)),
                    PROPAGATION_BOUND_S,
                )
                peers = [item.node for item in cluster.network.others("n009")]
                for peer in peers[1:]:
                    if how == "closed":
                        cluster.members[peer]._mark_disconnected("n009")
                        cluster.network.disconnect("n009", peer)
                    else:
                        cluster.network.partition(["n009"], [peer])
                cluster.floors["n009"].own = 8
                await cluster.until(
                    lambda: all(item.lowest() == 8 for name, item in others(cluster)), 6
                )
                cluster.network.heal()
                await asyncio.sleep(10)

        def others(cluster: Cluster) -> list[tuple[str, FloorContributor]]:
            return [item for item in cluster.floors.items() if item[0] != "n009"]

        self.run_simulated(test, size=40)

    def test_admission_ages_reach_distant_nodes(self) -> None:
        """Guards against admission ages that are missing or larger than the real age."""

        async def test(cluster: Cluster) -> None:
            loop = asyncio.get_running_loop()
            far = {
                name: FloorAdmission(member, loop.time) for name, member in cluster.members.items()
            }
            for name, admission in far.items():
                cluster.members[name].add(admission)
            own, pool, queue = far["n009"], Pool("q", [], queue_limit=4), TierQueue()
            own.decide(pool, queue, self.waiter(8), loop.time())
            admitted = loop.time()
            sheds = far["n030"]
            req = self.waiter(2).req
            req.arrived = admitted - PROPAGATION_BOUND_S - 0.1
            while not sheds.may_shed(req, loop.time()):
                await asyncio.sleep(0.1)
                if loop.time() - admitted > PROPAGATION_BOUND_S + RELAYED_AGE_DELAY_S + 1:
                    break
            self.assertFalse(sheds.may_shed(req, loop.time()))
            self.assertEqual({item.effective_floor("q") for item in far.values()}, {2})
            req.arrived = admitted + 0.6
            self.assertTrue(sheds.may_shed(req, loop.time()))

        self.run_simulated(test, size=80)

    def waiter(self, tier: int) -> Waiter:
        """Build a waiting request of a pool with its own name."""
        req = request(tier)
        req.tier, req.pool = tier, "q"
        return Waiter(req, asyncio.get_running_loop().create_future())


if __name__ == "__main__":
    unittest.main()
