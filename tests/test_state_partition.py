"""Model checking of partitioned claims: the steps of ``test_state`` plus faults between nodes."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from lacewinghub import forward, partition
from tests import test_state
from tests.claim_variants import NoReadBack
from tests.partition_cluster import PartitionedCluster

NODES = st.integers(0, 4)


class _Deployment(test_state.Deployment, PartitionedCluster):
    """Nodes with partitioned claims and forwarding."""


class PartitionedMachine(test_state.StateMachine):
    """Several partitions, differing views of the live nodes, and lost messages."""

    DEPLOYMENT = _Deployment
    START_NODES = 5
    PATCHES = (
        *test_state.StateMachine.PATCHES,
        (partition, "CHECK_S", 2.0),
        (forward, "WATCH_S", 2.0),
    )

    @rule(viewer=NODES, node=NODES)
    def hide(self, viewer: int, node: int) -> None:
        self.cluster.hidden.add((self._node(viewer).name, self._node(node).name))

    @rule()
    def show_all(self) -> None:
        self.cluster.hidden.clear()

    @rule(sender=NODES, receiver=NODES)
    def cut(self, sender: int, receiver: int) -> None:
        self.cluster.network.cut(self._node(sender).name, self._node(receiver).name)

    @rule()
    def heal(self) -> None:
        self.cluster.network.heal()

    def _check_end(self) -> None:
        self.cluster.hidden.clear()
        self.cluster.network.heal()
        super()._check_end()

    async def _check_service(self) -> None:
        if all(node.claimer.ready for node in self.cluster.alive()):
            await super()._check_service()


class PartitionedStateTest(unittest.TestCase):
    """Guards against failing interleavings that no example test of partitions covers."""

    def test_partitioned_claims_follow_the_model(self) -> None:
        run_state_machine_as_test(
            PartitionedMachine, settings=settings(test_state.SETTINGS, max_examples=40)
        )

    def test_model_finds_a_missing_read_back(self) -> None:
        machine = type("Broken", (PartitionedMachine,), {"KIND": NoReadBack})
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(
                machine,
                settings=settings(
                    test_state.SETTINGS, max_examples=200, phases=test_state.GENERATE
                ),
            )


if __name__ == "__main__":
    unittest.main()
