"""Model-based tests of claims and tables, with faults in any order and combination.

Each example is a sequence of steps in simulated time. After each step the nodes are compared with a
sequential model: the result of reading the complete history of the log.
"""

import asyncio
import unittest
from typing import Any, ClassVar
from unittest import mock

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

from lacewinghub import claim, config
from lacewinghub.claim import Claimer
from lacewinghub.config import CONFIG_STREAM, ConfigReplica, ConfigState
from lacewinghub.errors import LogUnavailable, LogUncertain, PublishLost
from lacewinghub.fake_log import MemoryLog
from lacewinghub.log import Record
from lacewinghub.publish import publish
from tests.claim_cluster import Cluster, Node, die_at
from tests.claim_variants import NoReadBack, ReadyAtOnce
from tests.clock import wall
from tests.test_config import AnyBase, tables_document, weights_of

KEYS = ("a", "b")
POINTS = (
    "before append",
    "after append",
    "after read-back",
    "after dispatch",
    "before result",
    "before answer",
)
FAULTS: tuple[dict[str, Any], ...] = (
    {"unavailable": True},
    {"slow_s": 0.2},
    {"slow_s": 4.0},
    {"lose_replies": 2},
    {"lose_appends": 2},
    {"lose_share": 0.5},
    {"late_appends": 2, "late_s": 0.3},
    {"late_appends": 3, "late_s": 5.0},
    {"late_appends": 1, "late_s": 100.0},
)
NODES = st.integers(0, 3)
# Simulated steps are few and long; shorter waits would only increase the run time.
READ_WAIT_S = 20.0
# Failures that are expected need not be shrunk.
GENERATE = (Phase.generate,)


class _RememberingLog(MemoryLog):
    """Keeps all records for the model, including expired ones."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.history: dict[str, list[Record]] = {}

    def _append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        offsets = super()._append(stream, records)
        kept = self.history.setdefault(stream, [])
        kept += [Record(at, self._clock(), data) for at, data in zip(offsets, records, strict=True)]
        return offsets


class Deployment(Cluster):
    """Nodes with claims and tables, and operators that publish."""

    def __init__(
        self, kind: type[Claimer], state: type[ConfigState], retention_s: float, window_s: float
    ) -> None:
        super().__init__(kind)
        self.log = _RememberingLog(clock=wall, retention_s=retention_s, append_limit=1e6, seed=1)
        self.window_s = window_s
        self.runs: list[tuple[str, float]] = []
        self.replicas: dict[str, ConfigReplica] = {}
        self.versions: dict[str, list[int]] = {}
        self.published: dict[str, asyncio.Task[Any]] = {}
        self._state = state
        self._tasks: list[asyncio.Task[None]] = []
        run = self.service.run

        async def run_and_note(req: Any) -> Any:
            self.runs.append((req.key, asyncio.get_running_loop().time()))
            return await run(req)

        self.service.run = run_and_note  # type: ignore[method-assign]

    def start(self) -> None:
        node = self.add(window_s=self.window_s)
        replica = ConfigReplica(node.name, node.log)
        replica._state = self._state()
        seen: list[int] = []
        replica.subscribe(lambda tables: seen.append(tables.version))
        self.replicas[node.name] = replica
        self.versions[node.name] = seen
        self._tasks.append(asyncio.ensure_future(replica.run()))

    def alive(self) -> list[Node]:
        return [node for node in self.nodes if not node.dead]

    def publish(self, weight: float, base: int | None) -> None:
        author = f"op{len(self.published)}"
        document = tables_document({"trust": weight})
        self.published[author] = asyncio.ensure_future(
            publish(self.log, document, author, base=base, timeout_s=5.0)
        )


class StateMachine(RuleBasedStateMachine):
    """Steps and faults; subclasses set the retention and the implementations under test."""

    KIND: ClassVar[type[Claimer]] = Claimer
    STATE: ClassVar[type[ConfigState]] = ConfigState
    RETENTION_S: ClassVar[float] = 600.0
    WINDOW_S: ClassVar[float] = 1e6
    DEPLOYMENT: ClassVar[type[Deployment]] = Deployment
    START_NODES: ClassVar[int] = 3
    PATCHES: ClassVar[tuple[Any, ...]] = (
        (claim, "READ_WAIT_S", READ_WAIT_S),
        (config, "READ_WAIT_S", READ_WAIT_S),
    )

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0, end=1e7)
        asyncio.set_event_loop(self.loop)
        self.patches = [
            mock.patch.object(module, name, value) for module, name, value in self.PATCHES
        ]
        for patch in self.patches:
            patch.start()

    def teardown(self) -> None:
        try:
            if hasattr(self, "cluster"):
                self._check_end()
        finally:
            for patch in self.patches:
                patch.stop()
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            asyncio.set_event_loop(None)
            self.loop.close()

    @initialize()
    def start(self) -> None:
        async def main() -> None:
            self.cluster = self.DEPLOYMENT(self.KIND, self.STATE, self.RETENTION_S, self.WINDOW_S)
            for _ in range(self.START_NODES):
                self.cluster.start()
            await asyncio.sleep(0.1)

        self._run(main())

    @rule(n=NODES, key=st.sampled_from(KEYS), patience=st.sampled_from([0.5, 5.0]))
    def ask(self, n: int, key: str, patience: float) -> None:
        self._run(self._ask([n], key, patience))

    @rule(key=st.sampled_from(KEYS))
    def ask_all(self, key: str) -> None:
        self._run(self._ask(range(4), key, 5.0))

    @rule(duration=st.sampled_from([0.001, 0.02, 0.3, 2.0, 10.0]))
    def wait(self, duration: float) -> None:
        self._run(asyncio.sleep(duration))

    @rule(share=st.sampled_from([0.4, 0.9, 1.1]))
    def wait_long(self, share: float) -> None:
        self._run(asyncio.sleep(share * self.RETENTION_S))

    @rule(faults=st.sampled_from(FAULTS))
    def break_log(self, faults: dict[str, Any]) -> None:
        self.cluster.log.set_faults(**faults)

    @rule()
    def repair_log(self) -> None:
        self.cluster.log.set_faults()

    @rule(n=NODES)
    def freeze(self, n: int) -> None:
        self._node(n).freeze()

    @rule(n=NODES)
    def thaw(self, n: int) -> None:
        self._node(n).thaw()

    @rule(n=NODES, point=st.sampled_from(POINTS))
    def crash_at(self, n: int, point: str) -> None:
        die_at(point, self._node(n))

    @rule(n=NODES)
    def replace(self, n: int) -> None:
        async def main() -> None:
            await self._node(n).kill()
            self.cluster.start()
            await asyncio.sleep(0.0)

        self._run(main())

    @rule(weight=st.sampled_from([1.0, 2.0, 3.0]), base=st.sampled_from([None, 0, 1, 2]))
    def publish(self, weight: float, base: int | None) -> None:
        async def main() -> None:
            self.cluster.publish(weight, base)
            await asyncio.sleep(0.001)

        self._run(main())

    @invariant()
    def nothing_runs_twice(self) -> None:
        if not hasattr(self, "cluster"):
            return
        last: dict[str, float] = {}
        for key, time in self.cluster.runs:
            # A claimed call may be dispatched up to a quarter of the retention period after its
            # claim was appended.
            gap = self.WINDOW_S - self.RETENTION_S / 4
            assert key not in last or time - last[key] >= gap, f"{key} ran twice"
            last[key] = time

    @invariant()
    def answers_are_true(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for req, task in self.cluster.calls:
            if not task.done():
                continue
            answer, ran = task.result(), self.cluster.service.by_request[req.id]
            assert not (ran and answer in ("not_run", "not_ready")), f"{req.id}: {answer} but ran"
            if answer == "not_run":
                # A run matters until its key may be free again; the refusal takes up to 20 s.
                start = req.arrived + 20.0 - self.WINDOW_S + self.RETENTION_S / 4
                earlier = [t for key, t in self.cluster.runs if key == req.key and t > start]
                assert not any(t < req.arrived for t in earlier), f"{req.id}: {req.key} had run"
            if answer.startswith("ok"):
                slot = answer.split("/")
                assert slot[0] == f"ok {req.key}"
                assert self.cluster.service.by_request[slot[1]] == 1

    @invariant()
    def tables_equal_the_model(self) -> None:
        if not hasattr(self, "cluster"):
            return
        expected = self._model()
        for name, replica in self.cluster.replicas.items():
            seen = self.cluster.versions[name]
            assert seen == sorted(set(seen)), f"{name} went back: {seen}"
            version = replica.tables.version
            found = weights_of(replica.tables)
            assert version == 0 or version in expected, f"{name} has version {version}"
            assert version == 0 or expected[version][1] == found, f"{name} differs at {version}"
        authors = {author: version for version, (author, _) in expected.items()}
        for author, task in self.cluster.published.items():
            if task.done():
                self._check_publish(author, task, authors.get(author))

    def _check_publish(self, author: str, task: asyncio.Task[Any], version: int | None) -> None:
        exc = task.exception()
        if exc is None:
            done = task.result()
            assert not done.change_id or done.version == version, f"{author} is not in force"
        elif isinstance(exc, PublishLost | LogUnavailable):
            assert version is None, f"{author} received {exc!r} but is in force"
        else:
            assert isinstance(exc, LogUncertain), repr(exc)

    def _model(self) -> dict[int, tuple[str, dict[str, float]]]:
        """Return author and weights by version, from all records ever appended."""
        found: dict[int, tuple[str, dict[str, float]]] = {}
        version, weights = 0, dict[str, float]()
        for record in self.cluster.log.history.get(CONFIG_STREAM, ()):
            data = record.data
            if data["kind"] != "change" or data["base"] != version:
                continue
            version += 1
            weights = dict(weights)
            for change in data["changes"]:
                if change["table"] == "workspaces":
                    weights[change["name"]] = change["value"]["weight"]
            found[version] = (data["author"], weights)
        return found

    def _check_end(self) -> None:
        """Check answers and tables some time after all faults have ended."""
        cluster = self.cluster
        cluster.log.set_faults()
        for node in cluster.alive():
            node.thaw()
            node.log.before_append.clear()
            node.log.after_append.clear()
            node.before_use = node.after_run = None
        self._run(asyncio.sleep(30.0))
        self.nothing_runs_twice()
        self.answers_are_true()
        self.tables_equal_the_model()
        self._run(self._check_service())

    async def _check_service(self) -> None:
        for node in self.cluster.alive():
            if node.claimer.ready:
                answer = await node.ask(self.cluster.request(f"last-{node.name}"))
                assert answer.startswith("ok"), f"{node.name} answers {answer}"

    def _node(self, n: int) -> Node:
        alive = self.cluster.alive()
        return alive[n % len(alive)] if alive else self.cluster.nodes[0]

    async def _ask(self, nodes: Any, key: str, patience_s: float) -> None:
        for n in nodes:
            node = self._node(n)
            self.cluster.tasks.append(
                asyncio.ensure_future(node.ask(self.cluster.request(key, patience_s)))
            )
        await asyncio.sleep(0.001)

    def _run(self, main: Any) -> None:
        self.loop.run_until_complete(main)


class CarriedMachine(StateMachine):
    """Retention shorter than the key window: the index is carried over in the log."""


class TimedMachine(StateMachine):
    """Retention longer than the key window: new nodes read from the oldest record."""

    RETENTION_S = 2000.0
    WINDOW_S = 1500.0


SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class StateTest(unittest.TestCase):
    """Guards against interleavings that no example-based test covers."""

    def test_claims_and_tables_match_the_model(self) -> None:
        for machine in (CarriedMachine, TimedMachine):
            with self.subTest(machine.__name__):
                run_state_machine_as_test(machine, settings=SETTINGS)

    def test_model_finds_missing_mechanisms(self) -> None:
        cases: list[dict[str, Any]] = [
            {"KIND": NoReadBack},
            {"KIND": ReadyAtOnce},
            {"STATE": AnyBase},
        ]
        for members in cases:
            machine = type("Broken", (CarriedMachine,), members)
            with self.subTest(**members), self.assertRaises(AssertionError):
                run_state_machine_as_test(
                    machine, settings=settings(SETTINGS, max_examples=200, phases=GENERATE)
                )
