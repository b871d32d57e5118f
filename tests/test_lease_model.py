"""Stateful property test of the leases of brokers, with faults in any order and combination.

Each example is a sequence of steps in simulated time. Nodes demand and hold slots through
``GrantClient``, and the brokers are compared with a sequential model: which node holds which slots,
when a demand of the node or a grant to it was last seen, and how many slots a runner has.
"""

import asyncio
import random
import unittest
from collections.abc import Collection
from typing import Any, ClassVar

import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lacewinghub.broker import LEASE_S, SWEEP_S, Broker
from lacewinghub.grant import GrantClient
from lacewinghub.group import Groups
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.memory_transport import MemoryNetwork, MemoryTransport
from lacewinghub.message import Demand, GrantItem, Message
from lacewinghub.queue import Waiter
from lacewinghub.request import AttemptResult, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.tables import Endpoint, Pool, Tables, Target

GROUP = "chat/0"
SLOTS = 2
TABLES = Tables(
    pools=[Pool("chat", [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", "z", SLOTS) for n in range(2)])]
)
ALL_SLOTS = 4
NAMES = ("n0", "n1", "n2", "n3")
NODES = st.sampled_from(NAMES)
DELAY_S = 0.002
TICK_S = 0.05
# A fast runner gets one request more than it has slots, see ``broker.TURNOVER_S``.
EXTRA_ON_FAST = 1
# Before a request is served, the lease of a lost holder may have to expire and a new broker start.
SETTLE_S = 3 * LEASE_S
DONE = AttemptResult(ok=True)


class _Network(MemoryNetwork):
    """Delivers a share of the messages twice."""

    repeats = 0.0

    def schedule_delivery(self, sender: MemoryTransport, node: str, message: Message) -> bool:
        found = super().schedule_delivery(sender, node, message)
        if self.repeats and self._random.random() < self.repeats:
            super().schedule_delivery(sender, node, message)
        return found


class _View(Members):
    """The live nodes as one node sees them."""

    def __init__(self) -> None:
        self.names = set(NAMES)

    def live(self) -> list[Member]:
        return [
            Member(name, name, "z", 1, MemberState.LIVE) for name in NAMES if name in self.names
        ]

    def state(self, node: str) -> MemberState:
        return MemberState.LIVE if node in self.names else MemberState.DEAD


class _CheckedBroker(Broker):
    """Checks at each grant that the runner has a free slot."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.last_contact: dict[str, float] = {}
        self.faults: list[str] = []

    def leases(self) -> list[tuple[str, str]]:
        """Return holder and endpoint of each lease."""
        return [
            (holder, lease.endpoint)
            for state in self._states.values()
            for holder, number in state.leases
            if (lease := state.leases.find(holder, number))
        ]

    def _lease(self, state: Any, node: str, endpoint: str, *rest: Any) -> GrantItem:
        used = sum(1 for _, name in self.leases() if name == endpoint)
        if used >= SLOTS + EXTRA_ON_FAST or (used >= SLOTS and not state.use_s):
            self.faults.append(f"{endpoint} got a request beside {used}")
        self.last_contact[node] = asyncio.get_running_loop().time()
        return super()._lease(state, node, endpoint, *rest)


class _NoExpiry(_CheckedBroker):
    """Does not end the leases of nodes that are gone."""

    def _expire(self, *args: Any) -> None:
        return None


class _NoLimit(_CheckedBroker):
    """Ignores how many requests a runner already has."""

    def _free_slots(self, *args: Any) -> int:
        return 1


class _NoRepeat(GrantClient):
    """Never repeats a demand."""

    def tick(self, waiting: Collection[str]) -> None:
        return None


class _Node:
    """One node: a client of the brokers, and a broker."""

    def __init__(
        self, name: str, network: _Network, kinds: tuple[type[_CheckedBroker], type[GrantClient]]
    ) -> None:
        self.name = name
        self.members = _View()
        self.waiting: list[Waiter] = []
        self.held: list[tuple[int, str]] = []
        self.serves_at_once = False
        self._frozen: list[tuple[Any, ...]] | None = None
        self._transport = network.transport(name)
        self._deliver, self._send = self._transport.deliver, self._transport.send
        self._transport.deliver = self._on_message  # type: ignore[method-assign]
        self._transport.send = self._on_send  # type: ignore[method-assign]
        view = TablesView(lambda: TABLES)
        rng = random.Random(name)
        groups = Groups(view, self.members)
        self.broker = kinds[0](self._transport, self.members, view, rng, groups)
        self.client = kinds[1](
            self._transport,
            groups,
            lambda group: self.waiting,
            self._on_grant,
            lambda group, waits: None,
        )
        self.tasks = [asyncio.ensure_future(work()) for work in (self.broker.run, self._tick)]

    def ask(self, tier: int) -> None:
        now = asyncio.get_running_loop().time()
        req = Request("q", "w", "c", tier, "chat", {}, now, 1000.0, Target())
        self.waiting.append(Waiter(req, asyncio.get_running_loop().create_future(), since=now))
        self.client.schedule_demand(GROUP)

    def take_directly(self) -> None:
        if self.waiting and self.client.is_broker_silent(GROUP):
            tier = self.waiting.pop(0).req.tier
            self.held.append((self.client.hold_direct(GROUP, "r0", tier), "r0"))

    def release(self) -> None:
        if self.held:
            number, endpoint = self.held.pop(0)
            self.client.release(GROUP, number, endpoint, DONE)
            self.client.schedule_demand(GROUP)

    def freeze(self) -> None:
        if self._frozen is None:
            self._frozen = []

    def thaw(self) -> None:
        late, self._frozen = self._frozen or [], None
        for call, *args in late:
            call(*args)

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        self._transport.send = lambda node, message: False  # type: ignore[method-assign]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self._frozen is None:
                self.client.tick({GROUP} if self.waiting else set())
                if self.serves_at_once:
                    self.release()

    def _on_grant(self, group: str, item: GrantItem) -> None:
        if not self.waiting:
            self.client.release(group, item.id, item.endpoint, AttemptResult(ok=False))
            return
        waiter = self.waiting.pop(0)
        self.client.hold(group, item, waiter.req.tier)
        self.held.append((item.id, item.endpoint))

    def _on_message(self, sender: str, message: Message) -> None:
        if self._frozen is not None:
            self._frozen.append((self._on_message, sender, message))
            return
        if isinstance(message, Demand):
            self.broker.last_contact[sender] = asyncio.get_running_loop().time()
        self._deliver(sender, message)

    def _on_send(self, node: str, message: Message) -> bool:
        if self._frozen is not None:
            self._frozen.append((self._on_send, node, message))
            return True
        return self._send(node, message)


class LeaseMachine(RuleBasedStateMachine):
    """Steps and faults; subclasses disable mechanisms of broker or client."""

    BROKER: ClassVar[type[_CheckedBroker]] = _CheckedBroker
    CLIENT: ClassVar[type[GrantClient]] = GrantClient

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0, end=1e7)
        asyncio.set_event_loop(self.loop)
        self.nodes: dict[str, _Node] = {}
        self.sides: tuple[set[str], set[str]] = (set(NAMES), set())

    def teardown(self) -> None:
        try:
            if self.nodes:
                self._check_end()
        finally:
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            asyncio.set_event_loop(None)
            self.loop.close()

    @initialize()
    def start(self) -> None:
        self.network = _Network(DELAY_S)
        for name in NAMES:
            self._start(name)
        self._wait(1.0)

    @rule(name=NODES, tier=st.integers(1, 8), count=st.integers(1, 4))
    def ask(self, name: str, tier: int, count: int) -> None:
        for _ in range(count):
            self._in_loop(lambda: name in self.nodes and self.nodes[name].ask(tier))

    @rule(name=NODES)
    def release(self, name: str) -> None:
        self._in_loop(lambda: name in self.nodes and self.nodes[name].release())

    @rule(name=NODES)
    def take_directly(self, name: str) -> None:
        self._in_loop(lambda: name in self.nodes and self.nodes[name].take_directly())

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.2, 0.6, 1.9, 2.2, 6.0]))
    def wait(self, seconds: float) -> None:
        self._wait(seconds)

    @rule(name=NODES)
    def freeze(self, name: str) -> None:
        if name in self.nodes:
            self.nodes[name].freeze()

    @rule(name=NODES)
    def thaw(self, name: str) -> None:
        self._in_loop(lambda: name in self.nodes and self.nodes[name].thaw())

    @rule(name=NODES, noticed=st.booleans())
    def kill(self, name: str, noticed: bool) -> None:
        if name in self.nodes:
            self.nodes.pop(name).kill()
            self.network.detach(name)
        if noticed:
            self._update_views()

    @rule(name=NODES)
    def come_back(self, name: str) -> None:
        if name not in self.nodes:
            self._start(name)
            self._update_views()

    @rule(side=st.sets(NODES, min_size=1, max_size=3))
    def partition(self, side: set[str]) -> None:
        """Split the network; each side sees the other as dead, so that a group has two brokers."""
        self.sides = (side, set(NAMES) - side)
        self.network.heal()
        self.network.partition(*self.sides)
        self._update_views()

    @rule()
    def heal(self) -> None:
        self.sides = (set(NAMES), set())
        self.network.heal()
        self._update_views()

    @rule(loss=st.sampled_from([0.0, 0.3, 1.0]), repeats=st.sampled_from([0.0, 0.5]))
    def disturb(self, loss: float, repeats: float) -> None:
        self.network.loss, self.network.repeats = loss, repeats

    @invariant()
    def no_runner_is_granted_beyond_its_slots(self) -> None:
        for node in self.nodes.values():
            assert not node.broker.faults, f"{node.name}: {node.broker.faults}"

    @invariant()
    def leases_end_after_the_last_renewal(self) -> None:
        limit = LEASE_S + SWEEP_S + 2 * DELAY_S
        for node in self.nodes.values():
            for holder, endpoint in node.broker.leases():
                age = self.loop.time() - node.broker.last_contact[holder]
                assert age <= limit, f"{node.name} keeps {endpoint} for {holder} after {age} s"

    def _check_end(self) -> None:
        """Check that every request is served and every slot is free after all faults have ended."""
        self.disturb(0.0, 0.0)
        for name in NAMES:
            self.thaw(name)
            self.come_back(name)
        self.heal()
        for node in self.nodes.values():
            node.serves_at_once = True
        requests = sum(len(node.waiting) + len(node.held) for node in self.nodes.values())
        self._wait(SETTLE_S + TICK_S * requests * 2)
        self.no_runner_is_granted_beyond_its_slots()
        self.leases_end_after_the_last_renewal()
        for node in self.nodes.values():
            assert not node.waiting, f"{len(node.waiting)} requests wait at {node.name}"
            assert not node.broker.leases(), f"{node.name} keeps {node.broker.leases()}"
        for name in NAMES:
            self.nodes[name].serves_at_once = False
        self.ask("n0", 1, ALL_SLOTS)
        self._wait(1.0)
        served = len(self.nodes["n0"].held)
        assert served == ALL_SLOTS, f"{ALL_SLOTS - served} slots are lost"

    def _start(self, name: str) -> None:
        self._in_loop(
            lambda: self.nodes.update({name: _Node(name, self.network, (self.BROKER, self.CLIENT))})
        )

    def _update_views(self) -> None:
        for name, node in self.nodes.items():
            side = next(part for part in self.sides if name in part)
            node.members.names = side & set(self.nodes)

    def _wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def _in_loop(self, call: Any) -> None:
        async def main() -> None:
            call()

        self.loop.run_until_complete(main())


SETTINGS = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class LeaseModelTest(unittest.TestCase):
    """No sequence of faults loses slots or grants them twice."""

    def test_leases_follow_the_model(self) -> None:
        run_state_machine_as_test(LeaseMachine, settings=SETTINGS)

    def test_model_finds_missing_mechanisms(self) -> None:
        cases: list[dict[str, Any]] = [
            {"BROKER": _NoExpiry},
            {"BROKER": _NoLimit},
            {"CLIENT": _NoRepeat},
        ]
        for members in cases:
            machine = type("Broken", (LeaseMachine,), members)
            with self.subTest(**members), self.assertRaises(AssertionError):
                run_state_machine_as_test(
                    machine, settings=settings(SETTINGS, max_examples=300, phases=(Phase.generate,))
                )
