"""Tests of the division of an endpoint's stated rate between nodes on a simulated clock."""

import asyncio
import unittest
from dataclasses import dataclass

from lacewinghub.endpoint_quota import EndpointQuotas
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.overlay import Overlay
from lacewinghub.transport import Peer

from .clock import simulate

ENDPOINT = "r1"
WINDOW_S = 4.0
STEP_S = 0.02  # Interval in which each node would like to send a request.


@dataclass
class Load:
    """A number of nodes, the rate of the endpoint, and nodes that stop, freeze or are cut off."""

    nodes: int
    per_s: float
    restarted: int = 0
    frozen: int = 0
    cut: int = 0


LOADS = [
    Load(1, 2.0),
    Load(3, 0.0),
    Load(3, 0.5),
    Load(3, 5.0),
    Load(9, 0.5),
    Load(9, 1.9),
    Load(9, 5.2, restarted=3),
    Load(9, 5.2, frozen=3),
    Load(9, 30.0, restarted=2, frozen=2),
    Load(40, 0.5),
    Load(40, 3.0, restarted=8),
    Load(40, 8.0, frozen=8),
    Load(9, 5.2, cut=1),
]


class Node:
    """A node that sends as many requests as it is permitted to."""

    def __init__(self, network: MemoryNetwork, name: str, incarnation: int, load: Load) -> None:
        self.name, self.load, self.sent = name, load, list[float]()
        self.frozen = False
        identity = Peer(name, incarnation, "z", f"memory:{name}")
        seeds = [f"memory:n{number}" for number in range(3)]
        self.member = Overlay(identity, network.transport(identity), seeds)
        self.quotas = EndpointQuotas(name, self.member, self.member.schedule_relay)
        self.member.add(self.quotas)
        self.tasks = [asyncio.create_task(self.heartbeats()), asyncio.create_task(self.send())]

    async def heartbeats(self) -> None:
        while True:
            if not self.frozen:
                self.member.tick()
            await asyncio.sleep(0.25)

    async def send(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.frozen and self.quotas.may_send(ENDPOINT):
                self.quotas.on_sent(ENDPOINT)
                self.sent.append(loop.time())
                loop.call_later(STEP_S, self.quotas.record, ENDPOINT, self.load.per_s)
            await asyncio.sleep(STEP_S)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


async def play(load: Load, seconds: float) -> tuple[list[float], float]:
    """Play a load; return when undisturbed nodes sent requests, and the begin of the judged time.

    The limit is judged from 3 s after it was stated first.
    """
    network = MemoryNetwork(delay_s=0.001)
    loop = asyncio.get_running_loop()
    nodes = [Node(network, f"n{number}", 1, load) for number in range(load.nodes)]
    nodes[0].quotas.record(ENDPOINT, load.per_s)
    await asyncio.sleep(3.0)
    begin = loop.time()
    await asyncio.sleep(2.0)
    paused = load.frozen + load.cut
    disturbed = nodes[load.nodes - load.restarted - paused :]
    for node in disturbed[:paused]:
        node.frozen = True
    for node in disturbed[paused:]:
        node.stop()
        await asyncio.sleep(0.3)
        nodes.append(Node(network, node.name, 2, load))
    await asyncio.sleep(4.0)
    for node in disturbed[: load.frozen]:
        node.frozen = False
    await asyncio.sleep(seconds)
    excused = {node.name for node in disturbed}
    sent = [at for node in nodes if node.name not in excused for at in node.sent]
    return sorted(at for at in sent if at >= begin), begin


def busiest_window(sent: list[float]) -> int:
    """Return the largest number of requests within ``WINDOW_S``."""
    return max((sum(at <= x < at + WINDOW_S for x in sent) for at in sent), default=0)


class FixedMembers(Members):
    """Nodes in fixed states."""

    def __init__(self, live: int, dead: int) -> None:
        states = [MemberState.LIVE] * live + [MemberState.DEAD] * dead
        self.all = [Member(f"n{i}", "a", "z", 1, state) for i, state in enumerate(states)]

    def live(self) -> list[Member]:
        return [item for item in self.all if item.state is MemberState.LIVE]

    def members(self) -> list[Member]:
        return self.all

    def state(self, node: str) -> MemberState:
        return next(item.state for item in self.all if item.node == node)


class TestEndpointQuotas(unittest.TestCase):
    def test_a_node_that_sees_a_minority_does_not_take_the_parts_of_the_others(self) -> None:
        cases = [("all", 4, 0, 4), ("one lost", 3, 1, 3), ("cut off", 1, 3, 4), ("alone", 1, 0, 1)]
        for name, live, dead, parts in cases:
            with self.subTest(name):

                async def main(live: int = live, dead: int = dead) -> float:
                    quotas = EndpointQuotas("n0", FixedMembers(live, dead))
                    quotas.record(ENDPOINT, 8.0)
                    quotas.on_sent(ENDPOINT)
                    return quotas.wait_s(ENDPOINT)

                self.assertAlmostEqual(simulate(main), 2 * parts / 8.0)

    def test_nodes_keep_a_stated_rate_together(self) -> None:
        for load in LOADS:
            with self.subTest(load):
                sent, begin = simulate(lambda load=load: play(load, 14.0))
                allowed = 1.5 * load.per_s * WINDOW_S + 5
                self.assertLessEqual(busiest_window(sent), allowed)
                if not (load.restarted or load.frozen or load.cut):
                    # All nodes always have requests, so that the rate can be used up.
                    self.assertGreater(len(sent) / (sent[-1] - begin), 0.8 * load.per_s)

    def test_a_limit_that_has_ended_is_not_revived_by_news_that_comes_around(self) -> None:
        async def main(delay_s: float, ended_s: float) -> int:
            load = Load(24, 0.5)
            network = MemoryNetwork(delay_s=delay_s)
            nodes = [Node(network, f"n{number}", 1, load) for number in range(load.nodes)]
            for node in nodes:
                node.tasks[1].cancel()
            await asyncio.sleep(3.0)
            nodes[0].quotas.record(ENDPOINT, 0.5)
            await asyncio.sleep(ended_s)
            nodes[0].quotas.record(ENDPOINT, None)
            await asyncio.sleep(4.0)
            return sum(not node.quotas.may_send(ENDPOINT) for node in nodes)

        for delay_s, ended_s in ((0.001, 0.02), (0.05, 0.02), (0.05, 0.1)):
            with self.subTest(delay_s=delay_s, ended_s=ended_s):
                limited = simulate(lambda d=delay_s, e=ended_s: main(d, e))
                self.assertEqual(limited, 0)

    def test_the_end_of_a_limit_reaches_nodes_that_may_not_send(self) -> None:
        async def main() -> bool:
            load = Load(9, 0.5)
            network = MemoryNetwork(delay_s=0.001)
            nodes = [Node(network, f"n{number}", 1, load) for number in range(load.nodes)]
            nodes[0].quotas.record(ENDPOINT, 0.5)
            await asyncio.sleep(5.0)
            barred = [node for node in nodes if node.quotas.wait_s(ENDPOINT) == float("inf")]
            for node in nodes:
                node.tasks[1].cancel()
            await asyncio.sleep(0.1)
            nodes[0].quotas.record(ENDPOINT, None)
            await asyncio.sleep(1.0)
            return bool(barred) and all(node.quotas.may_send(ENDPOINT) for node in nodes)

        self.assertTrue(simulate(main))
