"""Tests of the division of brittle endpoints' room between many nodes, on a simulated clock."""

import asyncio
import random
import unittest
from collections import Counter, deque
from dataclasses import dataclass

from lacewinghub.brittle_endpoints import START_S, BrittleEndpoints
from lacewinghub.brittle_statements import BrittleStatements
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.overlay import Overlay
from lacewinghub.transport import Peer

from .clock import simulate, wall

POOL = "apps"
DELAY_S = 0.002  # From a node to an endpoint, and back.
WORK_MS = (100, 300)
STEP_S = 0.01  # Interval in which requests arrive.
MEAN_WORK_S = 0.2
PATIENCE_S = 1.0
SETTLE_S = 3.0  # The platform's stability window.
END_S = 11.0
DISTURBED_S = 5.0  # Time at which nodes restart or an endpoint falls over.
LIMIT_FACTOR = 2  # As in the scheduler.


@dataclass
class Load:
    """A number of nodes and endpoints, and the demand as a multiple of what these can serve.

    Attributes:
        served: Least share of the capacity that must be used.
        restarted: Number of nodes that restart and know nothing.
        falls: True if an endpoint falls over, and comes back empty.
    """

    nodes: int
    endpoints: int
    slots: int
    bears_per_s: float
    demand: float
    served: float = 0.9
    restarted: int = 0
    falls: bool = False


LOADS = [
    Load(1, 3, 6, 0.0, 3.0, 0.75),
    Load(1, 3, 6, 1.0, 3.0),
    Load(9, 6, 6, 0.0, 3.0, 0.75),
    Load(9, 6, 6, 1.0, 1.5, 0.85),
    Load(9, 6, 6, 2.5, 3.0, 0.8),
    Load(9, 6, 6, 10.0, 3.0),
    Load(9, 6, 6, 1e9, 3.0),
    Load(9, 6, 6, 4.0, 3.0, 0.75, restarted=3),
    Load(9, 6, 6, 4.0, 3.0, 0.65, falls=True),
    Load(9, 2, 64, 2.0, 3.0),
    Load(9, 2, 64, 4.0, 1.5),
    # With far fewer slots than nodes, a node often has no requests when it has a slot.
    Load(87, 4, 6, 2.0, 3.0, 0.55),
]


class Endpoint:
    """An endpoint that refuses what exceeds its slots and a queue that vanishes."""

    def __init__(self, name: str, slots: int) -> None:
        self.name, self.slots = name, slots
        self.running, self.waiting = 0, deque[asyncio.Future[None]]()
        self.is_down = False
        self.refused: list[float] = []
        self.served: list[float] = []

    async def serve(self, work_s: float) -> bool | None:
        """Serve a request; return False for a refusal, and None if it has fallen over."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(DELAY_S)
        if self.is_down:
            return None
        if self.running < self.slots:
            self.running += 1
        else:
            if len(self.waiting) >= (self.slots if loop.time() < SETTLE_S else 0):
                self.refused.append(loop.time())
                await asyncio.sleep(DELAY_S)
                return False
            fut: asyncio.Future[None] = loop.create_future()
            self.waiting.append(fut)
            await fut
        await asyncio.sleep(work_s)
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1
        self.served.append(loop.time())
        await asyncio.sleep(DELAY_S)
        return True


class Node:
    """A node with a queue of requests that wait for room."""

    def __init__(self, model: "Model", name: str, incarnation: int) -> None:
        self.model, self.name = model, name
        identity = Peer(name, incarnation, "z", f"memory:{name}")
        seeds = [f"memory:n{number}" for number in range(3)]
        self.member = Overlay(identity, model.network.transport(identity), seeds)
        self.statements = BrittleStatements(self.member, self.member.schedule_relay)
        self.member.add(self.statements)
        self.brittle = BrittleEndpoints(
            name, self.member, self.statements, wall, model.rng, is_first_start=incarnation == 1
        )
        self.in_flight = Counter[str]()
        self.queue = deque[float]()
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        while True:
            self.member.tick()
            for _ in range(5):
                self.pump()
                await asyncio.sleep(0.05)

    def pump(self) -> None:
        """Send waiting requests to random endpoints with room."""
        now = asyncio.get_running_loop().time()
        while self.queue:
            if self.queue[0] + PATIENCE_S < now:
                self.queue.popleft()
                continue
            free = [item for item in self.model.endpoints if self.has_room(item)]
            if not free:
                return
            endpoint = self.model.rng.choice(free)
            self.in_flight[endpoint.name] += 1
            self.model.start(self.send(endpoint, self.queue.popleft()))

    def has_room(self, endpoint: Endpoint) -> bool:
        in_flight = self.in_flight[endpoint.name]
        return (
            not endpoint.is_down
            and in_flight < LIMIT_FACTOR * endpoint.slots
            and self.brittle.has_room(POOL, endpoint.name, endpoint.slots, in_flight)
        )

    async def send(self, endpoint: Endpoint, arrived: float) -> None:
        accepted = await endpoint.serve(self.model.rng.randint(*WORK_MS) / 1000)
        self.in_flight[endpoint.name] -= 1
        if accepted is not None:
            self.statements.record(POOL, endpoint.name, self.model.states_per_s)
        if accepted is False:
            others = self.in_flight[endpoint.name]
            self.brittle.on_refused(POOL, endpoint.name, endpoint.slots, others)
            self.queue.appendleft(arrived)
        self.pump()


class Model:
    """Nodes and endpoints with random demand.

    Attributes:
        states_per_s: Number that the endpoints state; None if they state none any more.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load, self.rng = load, random.Random(seed)
        self.network = MemoryNetwork(delay_s=0.001)
        self.states_per_s: float | None = load.bears_per_s
        self.endpoints = [Endpoint(f"e{i}", load.slots) for i in range(load.endpoints)]
        self.nodes = [Node(self, f"n{number}", 1) for number in range(load.nodes)]
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coro) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def play(self) -> None:
        """Send requests to random nodes until ``END_S``."""
        load = self.load
        per_s = load.demand * load.endpoints * load.slots / MEAN_WORK_S
        loop, disturbed = asyncio.get_running_loop(), False
        while (now := loop.time()) < END_S:
            if now > DISTURBED_S and not disturbed:
                disturbed = True
                self.start(self.disturb())
            for _ in range(self.rng.randint(0, round(2 * per_s * STEP_S))):
                node = self.rng.choice(self.nodes)
                node.queue.append(now)
                node.pump()
            await asyncio.sleep(STEP_S)

    async def disturb(self) -> None:
        for number in range(self.load.restarted):
            self.nodes[number].task.cancel()
            self.nodes[number].queue.clear()
            self.nodes[number] = Node(self, f"n{number}", 2)
            await asyncio.sleep(0.3)
        if self.load.falls:
            first = self.endpoints[0]
            first.is_down = True
            await asyncio.sleep(2.0)
            first.is_down = False
            for node in self.nodes:
                node.brittle.forget(first.name)

    def most_refused(self) -> int:
        """Return the largest number of refusals of one endpoint within a second."""
        return max(
            (
                sum(at <= x < at + 1.0 for x in item.refused)
                for item in self.endpoints
                for at in item.refused
                if at >= SETTLE_S
            ),
            default=0,
        )

    def served_share(self) -> float:
        """Return which share of their capacity the endpoints used."""
        served = sum(at >= SETTLE_S for item in self.endpoints for at in item.served)
        capacity = self.load.endpoints * self.load.slots / MEAN_WORK_S * (END_S - SETTLE_S)
        return served / capacity


class TestBrittleRoom(unittest.TestCase):
    """Guards against nodes that each fill an endpoint, so that it must refuse the others."""

    def test_all_nodes_together_make_an_endpoint_refuse_less_than_it_bears(self) -> None:
        for seed, load in enumerate(LOADS):
            with self.subTest(load):

                async def main(load: Load = load, seed: int = seed) -> Model:
                    model = Model(load, seed)
                    await model.play()
                    return model

                model = simulate(main)
                self.assertLessEqual(model.most_refused(), load.bears_per_s)
                self.assertGreater(model.served_share(), load.served)


class ManyMembers(Members):
    """Live nodes of which one has the view."""

    def __init__(self, count: int) -> None:
        self.all = [Member(f"n{i}", "a", "z", 1, MemberState.LIVE) for i in range(count)]

    def live(self) -> list[Member]:
        return self.all

    def state(self, node: str) -> MemberState:
        return MemberState.LIVE


def limits(nodes: list[BrittleEndpoints], endpoint: str, slots: int) -> list[int]:
    """Return how many requests each node may have at an endpoint."""
    found = []
    for node in nodes:
        count = 0
        while node.has_room(POOL, endpoint, slots, count):
            count += 1
        found.append(count)
    return found


async def new_nodes(count: int, endpoint: str, bears_per_s: float) -> list[BrittleEndpoints]:
    """Return nodes beyond their start that know what an endpoint states."""
    members = ManyMembers(count)
    nodes = []
    for member in members.all:
        statements = BrittleStatements(members)
        statements.record(POOL, endpoint, bears_per_s)
        nodes.append(BrittleEndpoints(member.node, members, statements, wall))
        nodes[-1].has_room(POOL, endpoint, 1, 0)
    await asyncio.sleep(START_S)
    return nodes


class TestDivision(unittest.TestCase):
    """Guards against parts that exceed the room together, and against nodes without a turn."""

    def test_the_parts_of_all_nodes_make_up_the_room(self) -> None:
        for count, slots, bears_per_s, room in (
            (1, 6, 0.0, 5),
            (1, 1, 0.5, 1),
            (9, 6, 0.9, 5),
            (9, 6, 1.0, 6),
            (9, 6, 2.5, 6),
            (9, 64, 8.0, 66),
            (87, 6, 4.0, 7),
            (195, 64, 2.0, 64),
            (195, 6, 1e12, 12),
        ):
            with self.subTest(nodes=count, slots=slots, bears_per_s=bears_per_s):

                async def main(
                    count: int = count, slots: int = slots, bears_per_s: float = bears_per_s
                ) -> tuple[list[int], list[int]]:
                    nodes = await new_nodes(count, "e", bears_per_s)
                    now = limits(nodes, "e", slots)
                    had = now
                    for _ in range(200 if count < 20 else 1):
                        await asyncio.sleep(1.0)
                        later = limits(nodes, "e", slots)
                        had = [max(pair) for pair in zip(had, later, strict=True)]
                    return now, had

                now, had = simulate(main)
                self.assertEqual(sum(now), room)
                self.assertLessEqual(max(now) - min(now), 1)
                if count < 20:
                    self.assertGreater(min(had), 0)

    def test_a_refusal_caps_a_node_until_a_pause_has_passed(self) -> None:
        async def main() -> list[int]:
            node = (await new_nodes(1, "e", 2.0))[0]
            node.on_refused(POOL, "e", 6, 2)
            found = limits([node], "e", 6)
            await asyncio.sleep(1.0)
            found += limits([node], "e", 6)
            node.forget("e")
            return found + limits([node], "e", 6)

        # One node tests for more room after 0.8 to 1.3 times a second.
        first, second, restarted = simulate(main)
        self.assertEqual((first, restarted), (2, 6))
        self.assertIn(second, (2, 3))

    def test_what_one_node_hears_reaches_all_and_holds_for_new_endpoints(self) -> None:
        async def main() -> list[int]:
            model = Model(Load(24, 1, 6, 2.0, 1.0), 1)
            await asyncio.sleep(3.0)
            found = []
            first = model.nodes[0].statements
            for stated in (2.0, None, 0.0):
                first.record(POOL, "e0", stated)
                await asyncio.sleep(0.6)
                for endpoint in ("e0", "new"):
                    nodes = model.nodes
                    found.append(sum(n.brittle.is_brittle(POOL, endpoint) for n in nodes))
            return found

        self.assertEqual(simulate(main), [24, 24, 0, 0, 24, 24])
