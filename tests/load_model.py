"""Load model of many nodes in front of runners of uneven speed, on a simulated clock.

A node sees only its own answers and the heartbeats of a few peers.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from lacewinghub.errors import LacewingError
from lacewinghub.fullrunner import FullRunners
from lacewinghub.membership import HeartbeatContributor, Member, MemberState
from lacewinghub.message import Heartbeat
from lacewinghub.overlay import choose_peers
from lacewinghub.promptcache import PromptCacheIndex, PromptCacheSync
from lacewinghub.proxyscheduler import ProxyScheduler
from lacewinghub.request import AttemptResult, Grant, HttpRequest, PromptPart, ProxyState, Request
from lacewinghub.runner_allocation import DemandAllocation
from lacewinghub.runner_state import RunnerStates
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables, Target
from lacewinghub.unevenscheduler import UnevenScheduler

from .test_shared_news import FixedMembers

SLOTS, EVENT_S, TOKENS_PER_S, CHUNK = 12, 0.024, 60_000, 4_096.0
PERIOD_S, LINK_S = 0.4, 0.002


@dataclass(frozen=True)
class Kind:
    """A class of requests; targets, timeout and rates per second as in the deployments."""

    name: str
    shared: int
    own: tuple[int, int]
    events: int
    target: Target
    timeout_s: float
    tier: int
    per_s: float


KINDS = (
    Kind("long", 5_382, (6_610, 54_600), 48, Target(2.045, 0.8), 12.0, 3, 27.0),
    Kind("chat", 198, (400, 900), 36, Target(0.269, 0.2), 12.0, 1, 50.0),
    Kind("tag", 568, (1_500, 2_100), 3, Target(0.422, 0.3), 3.0, 2, 25.0),
)


@dataclass(eq=False)
class Run:
    """A request at a runner."""

    req: Request
    unread: float
    events: int
    signal: asyncio.Queue[float] = field(default_factory=asyncio.Queue)


class Engine:
    """A runner with continuous batching; prompts are prefilled in chunks between the events."""

    def __init__(self, slowness: float, rng: random.Random) -> None:
        self.usual = slowness
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.cached: dict[str, None] = {}
        self.served = 0
        self._rng = rng
        self._wake = asyncio.Event()

    @property
    def slowness(self) -> float:
        return self.usual * self._rng.uniform(0.85, 1.15)

    def submit(self, req: Request) -> Run:
        assert req.proxy is not None
        unread, parts = float(req.proxy.prompt_tokens), req.proxy.parts
        for part in parts:
            if part.id not in self.cached:
                break
            unread -= part.tokens
        self.cached |= dict.fromkeys(part.id for part in parts[:-1])
        run = Run(req, max(1.0, unread), req.max_tokens)
        self.waiting.append(run)
        self.waiting.sort(key=lambda item: item.req.tier)
        self.served += 1
        self._wake.set()
        return run

    def cancel(self, run: Run) -> None:
        for group in (self.running, self.waiting):
            if run in group:
                group.remove(run)

    async def work(self) -> None:
        while True:
            while self.waiting and len(self.running) < SLOTS:
                self.running.append(self.waiting.pop(0))
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                continue
            decoding = [run for run in self.running if run.unread <= 0]
            budget = CHUNK
            for run in self.running:
                tokens = min(budget, run.unread)
                run.unread -= tokens
                budget -= tokens
            step_s = (CHUNK - budget) / TOKENS_PER_S + EVENT_S * (1 + 0.02 * len(decoding))
            await asyncio.sleep(step_s * self.slowness)
            for run in decoding:
                run.events -= 1
                run.signal.put_nowait(asyncio.get_running_loop().time())
                if run.events <= 0 and run in self.running:
                    self.running.remove(run)


class MeshMembers(FixedMembers):
    def is_partial_mesh(self) -> bool:
        return True


class Node:
    """The parts of a node that choose runners."""

    def __init__(self, number: int, members: MeshMembers, tables: Tables, states: bool) -> None:
        rng = random.Random(number)
        self.name = f"n{number}"
        self.reports = LoadReports()
        self.states = RunnerStates(members, rng)
        self.full = FullRunners()
        self.allocation = DemandAllocation(members)
        self.cache = PromptCacheSync(PromptCacheIndex())
        self.peers: set[Node] = set()
        self.items = 0
        parts = [self.states, self.full, self.allocation, self.cache]
        self.contributors: list[HeartbeatContributor] = list(parts)  # type: ignore[arg-type]
        create: Callable[..., ProxyScheduler]
        create = partial(UnevenScheduler, states=self.states) if states else ProxyScheduler
        self.scheduler: ProxyScheduler = create(
            TablesView(lambda: tables),
            self.reports,
            rng=rng,
            allocation=self.allocation,
            cached=self.cache,
            full=self.full,
        )

    async def beat(self) -> None:
        await asyncio.sleep(random.Random(self.name).uniform(0, PERIOD_S))
        while True:
            heartbeat = Heartbeat(self.name, 1, 1, "live")
            for item in self.contributors:
                item.fill_heartbeat(heartbeat)
            self.items += len(heartbeat.runners)
            loop = asyncio.get_running_loop()
            for peer in self.peers:
                loop.call_later(LINK_S, peer.hear, heartbeat)
            await asyncio.sleep(PERIOD_S)

    def hear(self, heartbeat: Heartbeat) -> None:
        for item in self.contributors:
            item.on_heartbeat(heartbeat)


class LoadModel:
    """Nodes, runners and the outcomes of requests.

    Args:
        states: True if the nodes place requests by the shared state.
        nodes: Number of nodes.
        runners: Number of runners.
        load: Factor of the rates of all classes.
        stated: True if the runners state their speed.

    Attributes:
        counts: Requests by class and outcome; ``ok`` started and ended in time, ``late`` only
            ended in time.
        ages: Ages of what nodes knew of the runners, in seconds.
    """

    def __init__(
        self,
        states: bool,
        nodes: int = 40,
        runners: int = 28,
        load: float = 1.0,
        stated: bool = True,
    ) -> None:
        self.rng = random.Random(1)
        self.load, self.stated, self.use_states = load, stated, states
        self.counts: dict[str, Counter[str]] = {kind.name: Counter() for kind in KINDS}
        self.endpoints = [Endpoint(f"r-{n}", f"h:{n + 1}", "z", SLOTS) for n in range(runners)]
        self.tables = Tables(version=1)
        self.tables.pools = {"p": Pool("p", self.endpoints, queue_limit=1000)}
        members = MeshMembers(nodes)
        self.nodes = [Node(n, members, self.tables, states) for n in range(nodes)]
        everyone = [Member(item.name, item.name, "z", 1, MemberState.LIVE) for item in self.nodes]
        by_name = {item.name: item for item in self.nodes}
        for node, member in zip(self.nodes, everyone, strict=True):
            for name in choose_peers(member, everyone):
                node.peers.add(by_name[name])
                by_name[name].peers.add(node)
        self.engines: dict[str, Engine] = {}
        self.ages: list[float] = []

    async def run(self, seconds: float = 15.0) -> None:
        """Send requests for some seconds and wait for their outcomes."""
        loop = asyncio.get_running_loop()
        speeds = random.Random(2)
        self.engines = {
            item.name: Engine(speeds.uniform(0.7, 1.7), self.rng) for item in self.endpoints
        }
        tasks = [loop.create_task(item.work()) for item in self.engines.values()]
        tasks += [loop.create_task(item.beat()) for item in self.nodes]
        calls: list[asyncio.Task[None]] = []
        end = loop.time() + seconds
        per_s = sum(kind.per_s for kind in KINDS) * self.load
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(per_s))
            kind = self.rng.choices(KINDS, [item.per_s for item in KINDS])[0]
            calls.append(loop.create_task(self._call(kind, len(calls))))
            if len(calls) % 50 == 0 and loop.time() > 5.0:
                known = self.rng.choice(self.nodes).states._runners.values()
                self.ages += [loop.time() - item.at for item in known]
        await asyncio.gather(*calls)
        for task in tasks:
            task.cancel()

    def busiest(self) -> float:
        """Return the requests of the busiest runner relative to the mean."""
        served = [item.served for item in self.engines.values()]
        return max(served) * len(served) / sum(served)

    def share(self, outcome: str, name: str) -> float:
        """Return the share of the requests of a class with an outcome."""
        return self.counts[name][outcome] / max(1, self.counts[name].total())

    def _request(self, kind: Kind, number: int, now: float) -> Request:
        rng = self.rng
        low, high = kind.own
        own = (
            int(min(high, low + rng.expovariate(1 / 1_500)))
            if kind.name == "long"
            else (rng.randint(low, high))
        )
        req = Request(str(number), "w", kind.name, kind.tier, "p", {}, now, 10.0, kind.target)
        req.max_tokens = kind.events
        part = f"{kind.name}-{min(11, int(rng.expovariate(0.35)))}"
        parts = (PromptPart(part, kind.shared), PromptPart(f"x{number}", own))
        call = HttpRequest(b"POST", b"/", [], b"")
        req.proxy = ProxyState(call, streaming=True, parts=parts, prompt_tokens=kind.shared + own)
        req.proxy.deadline = req.proxy.client_deadline = now + kind.timeout_s
        req.proxy.route_timeout_s = kind.timeout_s
        return req

    async def _call(self, kind: Kind, number: int) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        req = self._request(kind, number, started)
        assert req.proxy is not None
        node = self.nodes[number % len(self.nodes)]
        outcome = "refused"
        try:
            async with asyncio.timeout_at(req.proxy.deadline):
                while True:
                    try:
                        grant = await node.scheduler.acquire(req)
                        break
                    except LacewingError as exc:
                        node = self.rng.choice(self.nodes)
                        await asyncio.sleep(exc.retry_after_s or 0.1)
            outcome = await self._serve(node, grant, req, started)
        except TimeoutError:
            pass
        self.counts[kind.name][outcome] += 1

    async def _serve(self, node: Node, grant: Grant, req: Request, started: float) -> str:
        engine = self.engines[grant.endpoint]
        assert req.proxy is not None
        req.proxy.sent += 1
        run = engine.submit(req)
        first_s: float | None = None
        ok = False
        try:
            async with asyncio.timeout_at(req.proxy.deadline):
                for _ in range(req.max_tokens):
                    at = await run.signal.get()
                    if first_s is None:
                        first_s = at - started
                        self._report(node, grant.endpoint, engine)
                    node.scheduler.on_answer_event(grant)
            ok = True
        except TimeoutError:
            engine.cancel(run)
        node.scheduler.release(grant, AttemptResult(ok=ok))
        if not ok or first_s is None:
            return "expired"
        return "ok" if first_s <= (req.target.first_token_s or 0.0) else "late"

    def _report(self, node: Node, endpoint: str, engine: Engine) -> None:
        now = asyncio.get_running_loop().time()
        slowness = engine.slowness if self.stated else None
        node.reports.update(endpoint, len(engine.running), len(engine.waiting), now, slowness)
