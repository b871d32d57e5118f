"""Tests of membership in a full mesh, on a simulated clock."""

import asyncio
import unittest
import unittest.mock

import looptime

from lacewinghub.membership import HeartbeatContributor, Membership, rendezvous
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.message import Heartbeat
from lacewinghub.transport import Peer


def peer(index: int, incarnation: int = 1) -> Peer:
    """Build the identity of a node."""
    return Peer(f"n{index}", incarnation, "zone", f"127.0.0.1:{9000 + index}")


class Version(HeartbeatContributor):
    """Shares a version and stores those of the peers."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.seen: dict[str, int] = {}

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        heartbeat.config_version = self.version

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.seen[heartbeat.node] = heartbeat.config_version


class Failing(HeartbeatContributor):
    """A component with an error."""

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        raise OverflowError("a number without sense")

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        raise OverflowError("a number without sense")


class MembershipCase(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = looptime.new_event_loop(end=600)
        self.network = MemoryNetwork(delay_s=0.001)
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def tearDown(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*self.tasks.values(), return_exceptions=True))
        self.loop.close()

    def node(self, identity: Peer) -> Membership:
        member = Membership(identity, self.network.transport(identity))
        self.tasks[f"{identity.node}/{identity.incarnation}"] = self.loop.create_task(member.run())
        return member

    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def states(self, member: Membership, *nodes: str) -> list[str]:
        async def read() -> list[str]:
            return [str(member.state(node)) for node in nodes]

        return self.loop.run_until_complete(read())

    def incarnations(self, member: Membership) -> list[int]:
        async def read() -> list[int]:
            return [item.incarnation for item in member.members()]

        return self.loop.run_until_complete(read())

    def kill(self, name: str) -> None:
        self.tasks[name].cancel()
        self.network.detach(name.partition("/")[0])

    def live(self, member: Membership) -> list[str]:
        async def read() -> list[str]:
            return [item.node for item in member.live()]

        return self.loop.run_until_complete(read())

    def test_silent_node_is_suspect_and_then_dead(self) -> None:
        """Guards against a killed node that stays a broker or is never declared dead."""
        one, _ = self.node(peer(1)), self.node(peer(2))
        self.pass_time(1)
        self.assertEqual(self.live(one), ["n1", "n2"])
        self.kill("n2/1")
        for after_s, expected in ((1.2, "live"), (0.6, "suspect"), (2.6, "suspect"), (1, "dead")):
            with self.subTest(after_s):
                self.pass_time(after_s)
                self.assertEqual(self.states(one, "n2"), [expected])
        self.assertEqual(self.live(one), ["n1"])
        self.assertEqual(self.states(one, "unknown"), ["dead"])

    def test_partition_heals(self) -> None:
        """Guards against nodes that still see each other as dead after a partition has ended."""
        members = [self.node(peer(i)) for i in range(3)]
        self.pass_time(1)
        self.network.partition(["n0"], ["n1", "n2"])
        self.pass_time(6)
        self.assertEqual(self.states(members[0], "n1", "n2"), ["dead", "dead"])
        self.assertEqual(self.live(members[1]), ["n1", "n2"])
        self.network.heal()
        self.pass_time(0.6)
        self.assertTrue(all(self.live(item) == ["n0", "n1", "n2"] for item in members))

    def test_restarted_node_replaces_its_earlier_incarnation(self) -> None:
        """Guards against late heartbeats of a dead process that are taken for its successor's."""
        one = self.node(peer(1))
        self.node(peer(2, 10))
        self.pass_time(1)
        self.kill("n2/10")
        self.node(peer(2, 11))
        self.pass_time(0.5)
        late = Heartbeat("n2", 10, 10_000, "leaving")
        self.loop.call_soon(one._on_heartbeat, "n2", late)
        self.pass_time(0.1)
        self.assertEqual(self.states(one, "n2"), ["live"])
        self.assertEqual(self.incarnations(one), [1, 11])

    def test_earlier_incarnation_is_accepted_after_its_predecessor_died(self) -> None:
        """Guards against a replacement host that is ignored because its clock is behind."""
        one = self.node(peer(1))
        self.node(peer(2, 10))
        self.pass_time(1)
        self.kill("n2/10")
        self.node(peer(2, 9))
        self.pass_time(1)
        self.assertEqual(self.incarnations(one), [1, 10])
        self.pass_time(5)
        self.assertEqual(self.incarnations(one), [1, 9])
        self.assertEqual(self.states(one, "n2"), ["live"])

    def test_leaving_node_is_not_live(self) -> None:
        """Guards against a node that is stopping and still chosen as broker."""
        members = [self.node(peer(i)) for i in range(3)]
        self.pass_time(1)
        self.loop.call_soon(members[0].leave)
        self.pass_time(0.01)
        self.assertEqual(self.states(members[1], "n0"), ["leaving"])
        self.assertEqual(self.live(members[0]), ["n1", "n2"])
        self.kill("n0/1")
        self.pass_time(1.6)
        self.assertEqual(self.states(members[1], "n0"), ["dead"])

    def test_heartbeats_carry_state_once_and_in_order(self) -> None:
        """Guards against an old heartbeat that overwrites newer state, and against loss."""
        self.network.loss = 0.3
        versions = [Version(i) for i in range(4)]
        members = [self.node(peer(i)) for i in range(4)]
        for member, version in zip(members, versions, strict=True):
            member.add(version)
        self.pass_time(3)
        self.assertEqual(versions[0].seen, {"n1": 1, "n2": 2, "n3": 3})
        versions[1].version = 7
        self.pass_time(3)
        self.assertEqual(versions[0].seen["n1"], 7)
        self.loop.call_soon(members[0]._on_heartbeat, "n1", Heartbeat("n1", 1, 1, "live", 3))
        self.loop.call_soon(members[0]._on_heartbeat, "n2", Heartbeat("n1", 1, 10**6, "live", 3))
        self.pass_time(0.001)
        self.assertEqual(versions[0].seen["n1"], 7)

    def test_a_component_that_fails_stops_no_other_one(self) -> None:
        # Guards against one error that silences all components of a node towards all others.
        members = [self.node(peer(i)) for i in range(2)]
        versions = [Version(i) for i in range(2)]
        for member, version in zip(members, versions, strict=True):
            member.add(Failing())
            member.add(version)
        self.pass_time(3)
        self.assertEqual([versions[0].seen, versions[1].seen], [{"n1": 1}, {"n0": 0}])


class TestPause(unittest.IsolatedAsyncioTestCase):
    async def test_resumed_node_does_not_send_the_missed_heartbeats(self) -> None:
        """Guards against a burst of heartbeats after a process was paused for minutes."""
        loop = asyncio.get_running_loop()
        member = Membership(peer(1), MemoryNetwork().transport(peer(1)), period_s=0.05)
        task = asyncio.create_task(member.run())
        await asyncio.sleep(0.12)
        before, real_time = member._seq, loop.time
        with unittest.mock.patch.object(loop, "time", lambda: real_time() + 60):
            await asyncio.sleep(0.2)
            self.assertIn(member._seq - before, range(2, 7))
            task.cancel()


class TestRendezvous(unittest.TestCase):
    def test_choice_depends_only_on_the_candidates(self) -> None:
        """Guards against nodes with the same view that choose different brokers for a group."""
        nodes = [f"n{i}" for i in range(9)]
        chosen = {key: rendezvous(key, nodes) for key in map(str, range(300))}
        for key, node in chosen.items():
            self.assertEqual(rendezvous(key, reversed(nodes)), node)
            rest = [item for item in nodes if item != "n3"]
            if node != "n3":
                self.assertEqual(rendezvous(key, rest), node)
        self.assertGreater(min(list(chosen.values()).count(node) for node in nodes), 15)
        self.assertIsNone(rendezvous("key", []))


if __name__ == "__main__":
    unittest.main()
