"""Test case of a node that is out of step while runners of a new software version join."""

import asyncio
import itertools
import threading
import time
from dataclasses import dataclass
from typing import Any

from lacewinghub.fakes.platform_runner import EarlyEnd, FakeRunner
from lacewinghub.fakes.platform_store import StoreFault
from lacewinghub.platform.boot import Boot
from lacewinghub.platform.node import PlatformAdapter
from lacewinghub.proxynode import ProxyNode

from .test_software_versions import (
    EVENTS_BEFORE_END,
    HISTORY_WRITTEN_S,
    SINGLE,
    V1,
    V2,
    BrokenStream,
    VersionCase,
    code_of,
    versions_in,
)

# The node that is out of step runs in a thread of its own, so that its event loop can stand still.
OUT_OF_STEP = 2
DRAIN_MS = 1000
# Streams begin at a new version after 2.5 s with this bound.
HEARTBEAT_S = 0.1
JOINS_AFTER_S = 0.3
AFTERWARDS_S = 1.5
# A read that the freeze interrupts is sent within the first time, and answered after the second.
SENT_S = 0.03
ANSWER_S = 0.2
BATCH = 6
_numbers = itertools.count(1)
_running: set[asyncio.Task[None]] = set()


@dataclass(frozen=True, slots=True)
class Fault:
    """What happens to the node that is out of step.

    Attributes:
        name: Name of the case.
        frozen_s: Time for which its event loop stands still, in seconds.
        suspended: True if its clock stands still as well.
        reads: True if it has just sent a read of the endpoints, whose answer waits for it.
        peers_s: Time for which it is cut from the other nodes, in seconds.
        store_s: Time for which it is cut from the store, in seconds.
        store: How the store fails for it.
        cut_after_s: Time from the beginning of the freeze to that of the cuts, in seconds.
        replaces: True if the runners of the first version announce that they leave.
        restarts: True if another node starts anew once the second version is announced.
    """

    name: str
    frozen_s: float = 0.0
    suspended: bool = False
    reads: bool = False
    peers_s: float = 0.0
    store_s: float = 0.0
    store: StoreFault = StoreFault.SILENT
    cut_after_s: float = 0.0
    replaces: bool = False
    restarts: bool = False


class NodeThread:
    """Runs a node on an event loop in a thread of its own.

    Attributes:
        loop: The event loop.
        node: The node.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.node: ProxyNode | None = None
        self._missed_s = 0.0
        self._thread = threading.Thread(target=loop.run_forever, daemon=True)
        self._thread.start()

    def freeze(self, duration_s: float, suspended: bool) -> None:
        """Let the event loop stand still, and its clock too if the host is suspended."""
        self.loop.call_soon_threadsafe(self._stand_still, duration_s, suspended)

    def call(self, function: Any, *args: Any) -> None:
        """Call a function in the thread."""
        self.loop.call_soon_threadsafe(function, *args)

    def stop(self) -> None:
        """Stop the event loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def _stand_still(self, duration_s: float, suspended: bool) -> None:
        time.sleep(duration_s)
        if suspended:
            self._missed_s += duration_s
            missed_s = self._missed_s
            self.loop.time = lambda: time.monotonic() - missed_s  # type: ignore[method-assign]
            assert self.node is not None
            self.node._suspend._total = lambda: missed_s


class OutOfStepCase(VersionCase):
    """Three nodes, of which the last one can be out of step."""

    nodes = 3
    versions = (V1,)
    settings = {"bounds": {"budget_min_retries": 12_000, "drain_ms": DRAIN_MS}}  # noqa: RUF012

    async def asyncSetUp(self) -> None:
        self.thread = NodeThread(asyncio.new_event_loop())
        self.begun = asyncio.Event()
        await super().asyncSetUp()
        self.added = [FakeRunner(f"new-{number}", "models") for number in range(4)]
        for runner in self.added:
            runner.version, runner.early_ends = V2, self.early_ends
        self.heartbeats = asyncio.create_task(self.announce_runners())
        await asyncio.sleep(HISTORY_WRITTEN_S)

    async def asyncTearDown(self) -> None:
        self.heartbeats.cancel()
        for runner in self.added:
            await runner.stop()
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(_cancel_all(), self.thread.loop))
        await super().asyncTearDown()
        self.thread.stop()

    async def start_node(self, fault: StoreFault = StoreFault.NONE) -> ProxyNode:
        """Start a node, the one that is to be out of step in its own thread."""
        if len(self.listeners) != OUT_OF_STEP:
            return await super().start_node(fault)
        boot = await self.new_boot(fault)
        self.thread.node = await asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(_start(boot), self.thread.loop)
        )
        return self.thread.node

    async def announce_runners(self) -> None:
        """Renew the records of all runners that serve."""
        while True:
            for runner in self.models + self.apps:
                runner.announce(self.store)
            for runner in self.added:
                if runner.address:
                    runner.announce(self.store)
            await asyncio.sleep(HEARTBEAT_S)

    def cut_peers(self, is_cut: bool) -> None:
        """Drop all messages between the node and the others, or deliver them again."""
        peers: Any = self.members[OUT_OF_STEP]._peers
        if is_cut:
            peers.deliver = lambda node, message: None
            peers._send_encoded = lambda node, name, data: True
        else:
            del peers.deliver, peers._send_encoded

    async def inject(self, fault: Fault) -> None:
        """Let a fault begin and end."""
        if fault.reads:
            await self.until_read_sent()
        if fault.frozen_s:
            self.thread.freeze(fault.frozen_s, fault.suspended)
        self.begun.set()
        await asyncio.sleep(fault.cut_after_s)
        await asyncio.gather(self.cut_for(fault), self.fail_store_for(fault))
        await asyncio.sleep(max(0.0, fault.frozen_s - fault.cut_after_s))

    async def until_read_sent(self) -> None:
        """Wait until the node has sent a read of the endpoints; its answer comes a little later."""
        self.listeners[OUT_OF_STEP].slow_s = ANSWER_S / 2  # Before the read and after it.
        self.listeners[OUT_OF_STEP].fail(StoreFault.SLOW)
        loop, sent = asyncio.get_running_loop(), asyncio.Event()
        topic: Any = self.members[OUT_OF_STEP]._endpoints_topic._topic
        read = topic.read

        async def read_and_tell(start: int, wait_s: float) -> Any:
            del topic.read
            asyncio.get_running_loop().call_later(SENT_S, loop.call_soon_threadsafe, sent.set)
            return await read(start, wait_s)

        topic.read = read_and_tell
        await sent.wait()
        loop.call_later(ANSWER_S, self.listeners[OUT_OF_STEP].fail, StoreFault.NONE)

    async def cut_for(self, fault: Fault) -> None:
        """Cut the node from the others for the time of a fault."""
        if fault.peers_s:
            self.thread.call(self.cut_peers, True)
            await asyncio.sleep(fault.peers_s)
            self.thread.call(self.cut_peers, False)

    async def fail_store_for(self, fault: Fault) -> None:
        """Cut the node from the store for the time of a fault."""
        if fault.store_s:
            listener = self.listeners[OUT_OF_STEP]
            listener.fail(fault.store)
            await asyncio.sleep(fault.store_s)
            listener.fail(StoreFault.NONE)

    async def join_runners(self, fault: Fault) -> None:
        """Let the runners of the second version join."""
        await asyncio.sleep(JOINS_AFTER_S)
        for runner in self.added:
            await runner.start()
            runner.announce(self.store)
        if fault.replaces:
            for runner in self.models:
                runner.draining = True
                runner.announce(self.store)
        if fault.restarts:
            self.settings = self.settings | {"bootstrap": False}
            self.members.append(await self.start_node())
            await self.until_ready_at(len(self.members) - 1)

    async def until_ready_at(self, node: int) -> None:
        """Wait until a node is ready."""
        await self.until(lambda: self.is_ready(self.members[node]))

    async def check(self, fault: Fault) -> None:
        """Take streams of the second version up at the node during a fault and after it."""
        under_way = asyncio.create_task(self.inject(fault))
        await self.begun.wait()
        await self.join_runners(fault)
        taken_up: list[asyncio.Task[tuple[BrokenStream, Any]]] = []
        ends_at = float("inf")
        loop = asyncio.get_running_loop()
        began = 0
        while loop.time() < ends_at:
            begun = await self.begin_some(len(self.members) - 1 if fault.restarts else 0)
            streams = [item for item in begun if item.version == V2]
            began += len(streams)
            taken_up += [asyncio.create_task(self.take_up_there(item)) for item in streams]
            if under_way.done() and began and ends_at == float("inf"):
                ends_at = loop.time() + AFTERWARDS_S
            await asyncio.sleep(0.1)
        self.assertGreater(began, 2)
        joined = 0
        went_on = 0
        for stream, answer in await asyncio.gather(*taken_up):
            joined += len(versions_in(stream.body + answer.body)) > 1
            went_on += answer.status == 200
        self.assertEqual(joined, 0, f"{fault.name}: of {began}, {went_on} went on")
        self.assertGreater(went_on, 0, "no stream went on, also afterwards")

    async def begin_some(self, node: int) -> list[BrokenStream]:
        """Begin streams that break off; none may begin while a new version has to wait."""
        attempts = [f"some-{next(_numbers)}" for _ in range(BATCH)]
        self.early_ends |= {item: EarlyEnd(EVENTS_BEFORE_END) for item in attempts}
        answers = await asyncio.gather(
            *(self.ask_stream(f"{SINGLE}{item}", item, node=node) for item in attempts)
        )
        for answer in answers:
            if answer.status != 200:
                self.assertEqual(answer.status, 503)
                self.assertIn(code_of(answer), {"overloaded", "deadline_exceeded"})
        return [
            BrokenStream(item, answer.body)
            for item, answer in zip(attempts, answers, strict=True)
            if answer.status == 200
        ]

    async def take_up_there(self, stream: BrokenStream) -> tuple[BrokenStream, Any]:
        """Take a stream up at the node that is out of step."""
        return stream, await self.take_up(stream, node=OUT_OF_STEP)


async def _start(boot: Boot) -> ProxyNode:
    """Start a node on the running loop."""
    node = ProxyNode(PlatformAdapter(boot, metrics_port=0))
    _running.add(asyncio.create_task(node.run()))
    await node.started.wait()
    return node


async def _cancel_all() -> None:
    """Cancel all other tasks of the running loop."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def add_cases(case: type[OutOfStepCase], faults: list[Fault]) -> None:
    """Add a test for each fault to a test case."""
    for fault in faults:

        async def test(self: OutOfStepCase, fault: Fault = fault) -> None:
            await self.check(fault)

        name = "".join(char if char.isalnum() else "_" for char in fault.name)
        setattr(case, f"test_{name}", test)
