"""Tests of the evidence on what crashes endpoints, and of its exchange between nodes."""

import asyncio
import functools
import random
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from lacewinghub.crash_evidence import CrashEvidence
from lacewinghub.crash_guard import CONFIRM_S, CrashGuard, part_traits
from lacewinghub.crash_records import CrashRecords
from lacewinghub.crash_trial import LONGEST_PAUSE_S, MAX_FAILURES, CrashTrials
from lacewinghub.errors import CrashesEndpoints, LogUnavailable
from lacewinghub.follower import KeyedPage, KeyedRecord
from lacewinghub.membership import Membership
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.nodelist import WritableKeyedTopic
from lacewinghub.request import AttemptResult, HttpRequest, PromptPart, ProxyState, Request
from lacewinghub.tables import Target
from lacewinghub.transport import Peer

from .clock import simulate

ENDED = AttemptResult(ok=False, crashed=True, ended=True)
ANSWERED = AttemptResult(ok=True)
SETTLE_S = CONFIRM_S + 0.5

FIRST, ALSO, DEAD, OTHER, SESSION = 1, 2, 3, 4, 5
Suspect = tuple[str, int, tuple[int, ...]]


@dataclass(frozen=True)
class Case:
    """Suspects, cleared traits, and the refused traits that follow."""

    name: str
    suspects: list[Suspect]
    refused: list[set[int]]
    cleared: tuple[tuple[int, str], ...] = ()
    refuted: tuple[str, ...] = ()


CASES = [
    Case(
        "a part of different requests",
        [("a", 10, (FIRST, DEAD)), ("b", 11, (FIRST, DEAD)), ("c", 12, (OTHER, DEAD))],
        [{DEAD}],
    ),
    Case(
        "parts that always occur together are refused together",
        [(crash, number, (FIRST, DEAD)) for number, crash in enumerate("abc", 10)],
        [{FIRST, DEAD}],
    ),
    Case(
        "a cleared part that occurs with it does not narrow the refusal",
        [(crash, number, (FIRST, ALSO, DEAD)) for number, crash in enumerate("abc", 10)],
        [{ALSO, DEAD}],
        cleared=((FIRST, "a"),),
    ),
    Case(
        "a part of all requests is not blamed for that of some",
        [
            *[(crash, number, (FIRST, DEAD)) for number, crash in enumerate("abc", 10)],
            *[(crash, number, (FIRST, number)) for number, crash in enumerate("abc", 20)],
        ],
        [{FIRST, DEAD}],
    ),
    Case(
        "who is merely nearby is explained by the cause",
        [
            *[(crash, number, (FIRST, DEAD)) for number, crash in enumerate("abcd", 10)],
            *[(crash, number, (OTHER, SESSION)) for number, crash in enumerate("abc", 20)],
        ],
        [{FIRST, DEAD}],
    ),
    Case("two crashes", [("a", 10, (FIRST, DEAD)), ("b", 11, (FIRST, DEAD))], []),
    Case("one request, three times", [(crash, 10, (FIRST, DEAD)) for crash in "abc"], [{10}]),
    Case("a request without parts", [(crash, 10, ()) for crash in "abc"], [{10}]),
    Case(
        "connections that broke without a crash",
        [(crash, number, (FIRST, DEAD)) for number, crash in enumerate("abc", 10)],
        [],
        refuted=("b",),
    ),
    Case(
        "two causes",
        [
            *[(crash, number, (FIRST, DEAD)) for number, crash in enumerate("abc", 10)],
            *[(crash, number, (OTHER, SESSION)) for number, crash in enumerate("defg", 20)],
        ],
        [{OTHER, SESSION}, {FIRST, DEAD}],
    ),
]


def evidence_of(case: Case, rng: random.Random) -> CrashEvidence:
    """Return the evidence of a case, with its facts added in random order and twice."""
    evidence = CrashEvidence()
    facts = [lambda item=item: evidence.add_suspect(*item, 0.0) for item in case.suspects]
    facts += [lambda item=item: evidence.clear(item[0], [item[1]]) for item in case.cleared]
    facts += [lambda item=item: evidence.refute(item) for item in case.refuted]
    facts *= 2
    rng.shuffle(facts)
    for add in facts:
        add()
    return evidence


class TestCauses(unittest.TestCase):
    def test_causes_follow_from_the_facts_in_any_order(self) -> None:
        for case in CASES:
            for seed in range(5):
                with self.subTest(case.name, seed=seed):
                    found = evidence_of(case, random.Random(seed)).causes(1.0, 0.5)
                    self.assertEqual([set(item.refused) for item in found], case.refused)

    def test_memory_is_bounded(self) -> None:
        evidence = CrashEvidence()
        for number in range(3000):
            evidence.add_suspect(f"c{number}", number, (number,), 0.0)
            evidence.clear(number, [f"c{number}"])
        self.assertLess(len(evidence.crashes_since(-1.0)), 600)
        self.assertLess(len(list(evidence.cleared(f"c{n}" for n in range(3000)))), 600)


def request(number: int, *parts: str) -> Request:
    """Return a request with shared parts and one of its own."""
    state = ProxyState(
        HttpRequest(b"POST", b"/a", [], b"%d" % number),
        parts=tuple(PromptPart(part, 10) for part in (*parts, f"own{number}")),
    )
    req = Request(f"q{number}", "w", "c", 1, "p", {}, 0.0, 30.0, Target())
    req.proxy = state
    return req


class Topic(WritableKeyedTopic):
    """A topic in memory that is unavailable while ``down`` is set."""

    def __init__(self) -> None:
        self.down = False
        self.records: dict[str, bytes | None] = {}

    async def newest(self) -> KeyedPage:
        self._check()
        return KeyedPage([KeyedRecord(key, value) for key, value in self.records.items()])

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        return KeyedPage()

    async def put(self, key: str, value: bytes | None) -> None:
        self._check()
        self.records[key] = value

    def _check(self) -> None:
        if self.down:
            raise LogUnavailable("down")


class Node:
    """A node with a guard, in a simulated network."""

    def __init__(self, network: MemoryNetwork, name: str, incarnation: int, topic: Topic) -> None:
        identity = Peer(name, incarnation, "z", f"memory:{name}")
        member = self.member = Membership(
            identity, network.transport(identity), ["memory:n0", "memory:n1"]
        )
        self.started = 1.0
        self.reachable: set[str] = set()
        self.guard = CrashGuard(
            name,
            member,
            lambda _: self.started,
            member.send_heartbeat,
            lambda: None,
            self._is_reachable,
        )
        member.add(self.guard)
        records = CrashRecords(name, member, topic, self.guard)
        self.tasks = [asyncio.create_task(member.run()), asyncio.create_task(records.run())]

    async def _is_reachable(self, endpoint: str) -> bool:
        return endpoint in self.reachable

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def run(self, req: Request, endpoint: str, result: AttemptResult) -> None:
        """Record an attempt that ends at once."""
        self.guard.on_dispatched(req, endpoint)
        assert req.proxy is not None
        if result.ok:
            req.proxy.answering_since = asyncio.get_running_loop().time()
            self.guard.on_answer_began(req, endpoint)
        self.guard.on_attempt_ended(req, endpoint, result)

    def refuses(self, req: Request) -> bool:
        try:
            self.guard.check(req)
        except CrashesEndpoints:
            return True
        return False


Scenario = Callable[["TestCrashGuard"], Coroutine[Any, Any, None]]


def simulated(scenario: Scenario) -> Callable[["TestCrashGuard"], None]:
    """Run a test with three nodes on a simulated clock."""

    @functools.wraps(scenario)
    def run(case: "TestCrashGuard") -> None:
        async def main() -> None:
            case.network, case.topic = MemoryNetwork(delay_s=0.001), Topic()
            case.nodes = [Node(case.network, f"n{i}", 1, case.topic) for i in range(3)]
            await asyncio.sleep(1.0)
            await scenario(case)

        simulate(main)

    return run


class TestCrashGuard(unittest.TestCase):
    network: MemoryNetwork
    topic: Topic
    nodes: list[Node]

    async def crash(self, number: int, *parts: str) -> None:
        """Let a request crash a runner at one of the nodes."""
        self.nodes[number % 3].run(request(number, *parts), f"r{number}", ENDED)

    @simulated
    async def test_all_nodes_refuse_what_crashed_runners_at_several_nodes(self) -> None:
        for number in range(3):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(SETTLE_S)
        for node in self.nodes:
            self.assertTrue(node.refuses(request(9, "first", "dead")))
            self.assertFalse(node.refuses(request(9, "first", "usual")))

    @simulated
    async def test_parts_of_answered_requests_are_not_refused(self) -> None:
        self.nodes[0].run(request(50, "first"), "r50", ANSWERED)
        for number in range(6):
            await self.crash(number, "first")
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(any(node.refuses(request(9, "first")) for node in self.nodes))

    @simulated
    async def test_broken_connections_of_live_endpoints_are_no_crashes(self) -> None:
        for number in range(6):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(0.2)
        for number in range(6):
            self.nodes[0].run(request(60 + number, "else"), f"r{number}", ANSWERED)
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(any(node.refuses(request(9, "first", "dead")) for node in self.nodes))

    @simulated
    async def test_reset_connections_of_endpoints_that_can_be_reached_are_no_crashes(self) -> None:
        # Guards against a verdict from connections that a network reset, without other requests
        # that could show that the endpoints are alive.
        for node in self.nodes:
            node.reachable = {f"r{number}" for number in range(6)}
        for number in range(6):
            await self.crash(number, "first", "dead")
        for _ in range(20):
            await asyncio.sleep(0.1)
            self.assertFalse(any(node.refuses(request(9, "first", "dead")) for node in self.nodes))

    @simulated
    async def test_endpoints_that_restart_at_once_have_crashed(self) -> None:
        # Guards against taking the process that follows a crashed one for proof of its life.
        for node in self.nodes:
            node.reachable = {f"r{number}" for number in range(3)}
        for number in range(3):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(SETTLE_S)
        for node in self.nodes:
            node.started = 2.0
            for number in range(3):
                node.guard.on_endpoint_reset(f"r{number}")
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(all(node.refuses(request(9, "first", "dead")) for node in self.nodes))

    @simulated
    async def test_a_wrong_verdict_is_taken_back_after_a_trial(self) -> None:
        # Guards against a verdict that only the requests which it refuses could refute.
        for number in range(3):
            await self.crash(number, "first", "dead")
        trials = await self.trials(30.0, ANSWERED)
        self.assertEqual(len(trials), 1)
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(any(node.refuses(request(9, "first", "dead")) for node in self.nodes))

    @simulated
    async def test_few_trials_of_requests_that_do_crash_endpoints(self) -> None:
        for number in range(3):
            await self.crash(number, "first", "dead")
        trials = await self.trials(100.0, ENDED)
        self.assertEqual(len(trials), 2)  # After 10 s, and after another 60 s.
        self.assertTrue(all(node.refuses(request(9, "first", "dead")) for node in self.nodes))

    @simulated
    async def test_a_verdict_that_trials_have_confirmed_is_final(self) -> None:
        for node in self.nodes:
            await node.stop()  # Their heartbeats would make the simulated hours slow.
        loop = asyncio.get_running_loop()
        trials = CrashTrials("n0", self.nodes[0].member, lambda _: None)
        for _ in range(MAX_FAILURES):
            await asyncio.sleep(LONGEST_PAUSE_S + 3.0)
            self.assertTrue(trials.try_start(1, "q", loop.time() - LONGEST_PAUSE_S))
            trials.record_failure(1)
        await asyncio.sleep(10 * LONGEST_PAUSE_S)
        self.assertFalse(trials.try_start(1, "q", 0.0))

    async def trials(self, for_s: float, result: AttemptResult) -> list[float]:
        """Ask all nodes for a long time, and return when a request was let through."""
        loop, found = asyncio.get_running_loop(), []
        await asyncio.sleep(SETTLE_S)
        end = loop.time() + for_s
        number = 100
        while loop.time() < end:
            for node in self.nodes:
                number += 1
                req = request(number, "first", "dead")
                if node.refuses(req):
                    continue
                node.run(req, f"r{number}", result)
                found.append(loop.time())
                if result.ok:
                    return found
            await asyncio.sleep(0.5)
        return found

    @simulated
    async def test_attempts_that_wait_for_an_answer_are_withdrawn(self) -> None:
        waiting = request(70, "first", "dead")
        assert waiting.proxy is not None
        aborted: list[int] = []
        waiting.proxy.abort = lambda: aborted.append(1)
        self.nodes[1].guard.on_dispatched(waiting, "r70")
        for number in range(3):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(aborted and waiting.proxy.withdrawn)

    @simulated
    async def test_a_node_that_starts_learns_from_its_peers(self) -> None:
        self.topic.down = True
        for number in range(3):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(SETTLE_S)
        await self.nodes[2].stop()
        self.nodes[2] = Node(self.network, "n2", 2, self.topic)
        await asyncio.sleep(1.5)
        self.assertTrue(self.nodes[2].refuses(request(9, "first", "dead")))

    @simulated
    async def test_nodes_that_all_start_again_learn_from_the_log(self) -> None:
        self.topic.down = True
        for number in range(3):
            await self.crash(number, "first", "dead")
        await asyncio.sleep(SETTLE_S)
        self.topic.down = False
        await asyncio.sleep(4.0)
        for node in self.nodes:
            await node.stop()
        self.nodes = [Node(MemoryNetwork(delay_s=0.001), "n5", 3, self.topic)]
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(self.nodes[0].refuses(request(9, "first", "dead")))
        self.topic.records = {"bad": b"{", "old": b'{"recorded": 0, "suspects": []}'}
        self.nodes.append(Node(MemoryNetwork(delay_s=0.001), "n6", 4, self.topic))
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(self.nodes[1].refuses(request(9, "first", "dead")))

    def test_the_own_part_of_a_prompt_is_no_trait(self) -> None:
        self.assertEqual(part_traits(request(1, "first")), part_traits(request(2, "first")))
