"""Nodes that claim keys on one log in simulated time, and the service that they call."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from lacewinghub.claim import Claimer
from lacewinghub.dependencies import Check
from lacewinghub.endpoint import Reply
from lacewinghub.errors import LacewingError
from lacewinghub.fake_log import MemoryLog
from lacewinghub.log import Log, Page
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.request import Request
from lacewinghub.tables import Target
from tests.clock import wall

Hook = Callable[[], Awaitable[None]]


async def stop_forever() -> None:
    """Wait without end, as a killed process does."""
    await asyncio.Event().wait()


class NodeLog(Log):
    """The log as one node reaches it.

    Attributes:
        running: Cleared while the node is frozen or killed.
        cut: True while the node cannot reach the log.
        before_append: Awaited before an append with these record kinds reaches the log.
        after_append: Awaited after it took effect, before the node gets the reply.
    """

    def __init__(self, log: MemoryLog) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.before_append: dict[str, Hook] = {}
        self.after_append: dict[str, Hook] = {}
        self._log = log

    async def append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        kinds = {record["kind"] for record in records}
        await self.running.wait()
        await self._run(self.before_append, kinds)
        offsets = await self._log.append(stream, records)
        await self._run(self.after_append, kinds)
        await self.running.wait()
        return offsets

    async def read(self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0) -> Page:
        await self.running.wait()
        page = await self._log.read(stream, start, limit, wait_s)
        await self.running.wait()
        return page

    async def _run(self, hooks: dict[str, Hook], kinds: set[str]) -> None:
        for kind in kinds & set(hooks):
            await hooks.pop(kind)()


class Service:
    """Counts executions by key and by request."""

    def __init__(self) -> None:
        self.by_key: Counter[str] = Counter()
        self.by_request: Counter[str] = Counter()
        self.delay_s = 0.01

    async def run(self, req: Request) -> Reply:
        self.by_key[req.key or ""] += 1
        self.by_request[req.id] += 1
        await asyncio.sleep(self.delay_s)
        return Reply(200, {"slot": f"{req.key}/{req.id}"})


class Node:
    """One node with hooks at the steps of an execution."""

    def __init__(self, name: str, cluster: "Cluster", kind: type[Claimer], **options: Any) -> None:
        self.name = name
        self.log = NodeLog(cluster.log)
        self.held: list[Callable[[], Any]] = []
        self._loop = asyncio.get_running_loop()
        self.before_use: Hook | None = None
        self.after_use: Hook | None = None
        self.after_run: Hook | None = None
        self.dead = False
        self._cluster = cluster
        self.claimer = cluster.build(self, kind, **options)
        self._task = asyncio.ensure_future(self.claimer.run())

    async def ask(self, req: Request) -> str:
        """Execute a request; the code of the error, or ``ok`` with the answer."""
        task = asyncio.ensure_future(self._ask(req))
        self._cluster.asked.append((req, task))
        return await asyncio.shield(task)

    async def _ask(self, req: Request) -> str:
        try:
            reply = await self.claimer.execute(req, lambda check: self.send(check, req))
        except LacewingError as exc:
            if self.dead:
                await stop_forever()
            return exc.code
        if self.dead:
            await stop_forever()
        return f"ok {reply.body['slot']}"

    async def serve(self, req: Request) -> Reply:
        """Execute a call that another node forwarded."""
        return await self.claimer.execute(req, lambda check: self.send(check, req))

    async def send(self, check: Check, req: Request) -> Reply:
        """Call the service, as the router does."""
        await _run(self.before_use)
        await self.log.running.wait()
        check()
        await _run(self.after_use)
        reply = await self._cluster.service.run(req)
        await _run(self.after_run)
        await self.log.running.wait()
        return reply

    def freeze(self) -> None:
        self.log.running.clear()

    def thaw(self) -> None:
        self.log.running.set()
        held, self.held = self.held, []
        for work in held:
            self._loop.call_soon(work)

    async def kill(self) -> None:
        """Stop for good, at once; nothing of this node has an effect after the call."""
        self.dead = True
        self.freeze()
        self._task.cancel()
        self._cluster.detach(self)

    async def die(self) -> None:
        """Kill the node from one of its own steps, which never ends."""
        await self.kill()
        await stop_forever()


class Cluster(Members):
    """A log, a service and nodes."""

    def __init__(self, kind: type[Claimer] = Claimer, **log_options: Any) -> None:
        self.log = MemoryLog(clock=wall, **log_options)
        self.service = Service()
        self.nodes: list[Node] = []
        self.asked: list[tuple[Request, asyncio.Future[str]]] = []
        self.tasks: list[asyncio.Future[str]] = []
        self._kind = kind
        self._requests = 0

    def build(self, node: Node, kind: type[Claimer], **options: Any) -> Any:
        """Build the part of a node that executes requests under claims."""
        return kind(node.name, node.log, self, clock=wall, **options)

    def detach(self, node: Node) -> None:
        """End the connections of a node that was killed."""

    def add(self, kind: type[Claimer] | None = None, **options: Any) -> Node:
        """Start a node."""
        name = f"n{len(self.nodes) + 1}"
        node = Node(name, self, kind or self._kind, **options)
        self.nodes.append(node)
        return node

    async def add_ready(self, count: int, **options: Any) -> list[Node]:
        """Start nodes and wait until they are ready."""
        nodes = [self.add(**options) for _ in range(count)]
        while not all(node.claimer.ready for node in nodes):
            await asyncio.sleep(0.01)
        return nodes

    def request(self, key: str, patience_s: float = 5.0, body: Any = None) -> Request:
        """Build a request; its identifier is unique."""
        self._requests += 1
        return Request(
            id=f"r{self._requests}",
            workspace="trust",
            request_class="booking",
            tier=1,
            pool="booking",
            body=body or {"kitchen": key},
            arrived=asyncio.get_running_loop().time(),
            patience_s=patience_s,
            target=Target(),
            key=key,
        )

    def faults(self) -> list[str]:
        """Return the violations of the guarantees seen so far."""
        found = [f"{key} ran {n} times" for key, n in self.service.by_key.items() if n > 1]
        for req, task in self.asked:
            if not task.done() or task.cancelled():
                continue
            ran = self.service.by_request[req.id]
            if task.result() in ("not_run", "not_ready") and ran:
                found.append(f"{req.id} ran but was answered {task.result()}")
        return found

    def live(self) -> list[Member]:
        return [
            Member(node.name, "", "", 0, MemberState.LIVE) for node in self.nodes if not node.dead
        ]

    def state(self, node: str) -> MemberState:
        alive = any(item.name == node and not item.dead for item in self.nodes)
        return MemberState.LIVE if alive else MemberState.DEAD


def die_at(point: str, node: Node) -> None:
    """Kill a node at a step of its next execution."""
    stop_at(point, node, node.die)


def stop_at(point: str, node: Node, stop: Hook) -> None:
    """Run a hook at a step of a node's next execution."""
    if point == "before append":
        node.log.before_append["claim"] = stop
    elif point == "after append":
        node.log.after_append["claim"] = stop
        node.before_use = stop
    elif point == "after read-back":
        node.before_use = stop
    elif point == "after dispatch":
        node.after_run = stop
    elif point == "before result":
        node.log.before_append["result"] = stop
    elif point == "before answer":
        node.log.after_append["result"] = stop


async def race(
    make: Callable[[], Cluster], faults: dict[str, Any], step: str, count: int = 3, hooked: int = 1
) -> tuple[Cluster, list[str]]:
    """Repeat a request at all nodes while the log fails from a step on, then without.

    Args:
        make: Returns a cluster without nodes.
        faults: Faults of the log.
        step: ``arrival``, ``dispatch`` or ``result``.
        count: Number of nodes.
        hooked: Number of nodes that break the log at the step.
    """
    cluster = make()
    nodes = await cluster.add_ready(count)

    async def break_log() -> None:
        cluster.log.set_faults(**faults)

    if step == "arrival":
        await break_log()
    for node in nodes[:hooked]:
        node.before_use = break_log if step == "dispatch" else None
        node.after_run = break_log if step == "result" else None
    for pause in (0.0, 1.0, 8.0):
        await asyncio.sleep(pause)
        await asyncio.gather(*(node.ask(cluster.request("k")) for node in nodes))
    cluster.log.set_faults()
    await asyncio.sleep(20.0)
    last = await asyncio.gather(*(node.ask(cluster.request("k")) for node in nodes))
    return cluster, last


async def _run(hook: Hook | None) -> None:
    if hook is not None:
        await hook()
