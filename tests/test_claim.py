"""Proofs of at-most-once execution in simulated time.

Each proof is run a second time against a claimer without the mechanism that it is about, and must
then fail.
"""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from lacewinghub.claim import Claimer
from lacewinghub.dependencies import Check
from lacewinghub.endpoint import ConnectFailed, EndpointCrashed, Reply
from lacewinghub.errors import NotRun, OutcomeUnknown, Overloaded
from lacewinghub.permit import Permit
from tests.claim_cluster import Cluster, die_at, race, stop_forever
from tests.claim_variants import (
    HandsOver,
    NoCopies,
    NoReadBack,
    NoReplay,
    NoTimeLimit,
    NoTombstones,
    ReadyAtOnce,
    ReleaseThenSend,
)
from tests.clock import simulate

Scenario = Callable[[type[Claimer]], Coroutine[Any, Any, Cluster]]


def _run(scenario: Scenario, kind: type[Claimer] = Claimer) -> Cluster:
    return simulate(lambda: scenario(kind))


async def _racing_repeats(kind: type[Claimer]) -> Cluster:
    cluster = Cluster(kind)
    nodes = await cluster.add_ready(3)
    for turn in range(20):
        asks = [node.ask(cluster.request(f"k{turn}")) for node in nodes for _ in range(2)]
        await asyncio.gather(*asks)
    return cluster


async def _frozen_winner(kind: type[Claimer]) -> Cluster:
    """A winner freezes before it sends, until its claim and all nodes that knew it are gone."""
    cluster = Cluster(kind, retention_s=3600.0)
    options = {"window_s": 3000.0, "claim_timeout_s": 1e6}
    (frozen,) = await cluster.add_ready(1, **options)

    async def freeze() -> None:
        frozen.freeze()

    frozen.before_use = freeze
    task = asyncio.ensure_future(frozen.ask(cluster.request("k")))
    await asyncio.sleep(4000.0)
    (fresh,) = await cluster.add_ready(1, **options)
    await fresh.ask(cluster.request("k"))
    frozen.thaw()
    await task
    return cluster


async def _fresh_after_expiry(kind: type[Claimer]) -> Cluster:
    """An outage outlasts the retention; then a fresh node gets the key before the old one."""
    cluster = Cluster(kind, retention_s=600.0)
    (old,) = await cluster.add_ready(1)
    assert (await old.ask(cluster.request("k"))).startswith("ok")
    cluster.log.set_faults(unavailable=True)
    await asyncio.sleep(2000.0)
    cluster.log.set_faults()
    fresh = cluster.add()
    for _ in range(20):
        await fresh.ask(cluster.request("k"))
        await asyncio.sleep(0.5)
    return cluster


async def _late_claim_after_release(kind: type[Claimer]) -> Cluster:
    """A claim takes effect after its release and another node's claim; the key is free at last."""
    cluster = Cluster(kind)
    first, second = await cluster.add_ready(2)
    cluster.log.set_faults(late_appends=100, late_s=30.0)
    await first.ask(cluster.request("k", patience_s=1.0))
    cluster.log.set_faults()
    await asyncio.sleep(60.0)
    await second.ask(cluster.request("k"))
    return cluster


async def _released_and_repeated(kind: type[Claimer]) -> Cluster:
    """A claim whose reply is late is refused; the caller repeats the request at another node."""
    cluster = Cluster(kind)
    first, second = await cluster.add_ready(2)

    async def hang() -> None:
        await asyncio.sleep(20.0)

    first.log.before_append["claim"] = hang
    await first.ask(cluster.request("k"))
    await second.ask(cluster.request("k"))
    await asyncio.sleep(60.0)
    return cluster


async def _restart_and_repeat(kind: type[Claimer]) -> Cluster:
    cluster = Cluster(kind)
    (old,) = await cluster.add_ready(1)
    await old.ask(cluster.request("k"))
    await old.kill()
    (fresh,) = await cluster.add_ready(1)
    await fresh.ask(cluster.request("k"))
    return cluster


class MechanismTest(unittest.TestCase):
    """Guards against a mechanism that is lost or that no test needs."""

    def test_every_mechanism_is_needed(self) -> None:
        cases: list[tuple[Scenario, type[Claimer]]] = [
            (_racing_repeats, NoReadBack),
            (_frozen_winner, NoTimeLimit),
            (_fresh_after_expiry, ReadyAtOnce),
            (_released_and_repeated, ReleaseThenSend),
            (_restart_and_repeat, NoReplay),
        ]
        for scenario, naive in cases:
            with self.subTest(scenario.__name__, kind="current"):
                self.assertEqual(_run(scenario).faults(), [])
            with self.subTest(scenario.__name__, kind=naive.__name__):
                self.assertNotEqual(_run(scenario, naive).faults(), [])

    def test_late_claim_does_not_block_its_key(self) -> None:
        codes = []
        for kind in (Claimer, NoTombstones):
            cluster = _run(_late_claim_after_release, kind)
            self.assertEqual(cluster.faults(), [])
            codes.append([task.result()[:2] for _, task in cluster.asked])
        self.assertEqual(codes[0], ["no", "ok"])
        self.assertNotEqual(codes[1], ["no", "ok"])


class CrashPointTest(unittest.TestCase):
    """Guards against a second execution, or a wrong answer, after the claimant stopped."""

    # Point at which the claimant stops, executions, and what repeats are answered.
    CASES = (
        ("before append", 1, "ok"),
        ("after append", 0, "outcome_unknown"),
        ("after read-back", 0, "outcome_unknown"),
        ("after dispatch", 1, "outcome_unknown"),
        ("before result", 1, "outcome_unknown"),
        ("before answer", 1, "ok"),
    )

    def test_takeover_of_a_dead_claimant_runs_twice(self) -> None:
        async def main(kind: type[Claimer]) -> list[str]:
            cluster = Cluster(kind)
            first, second = await cluster.add_ready(2)
            die_at("after dispatch", first)
            task = asyncio.ensure_future(first.ask(cluster.request("k")))
            await asyncio.sleep(1.0)
            await second.ask(cluster.request("k"))
            self.assertFalse(task.done())
            return cluster.faults()

        self.assertEqual(simulate(lambda: main(Claimer)), [])
        self.assertNotEqual(simulate(lambda: main(HandsOver)), [])

    def test_repeats_after_each_crash_point(self) -> None:
        async def main(point: str, pause: float, restart: bool) -> Cluster:
            cluster = Cluster()
            nodes = await cluster.add_ready(3)
            die_at(point, nodes[0])
            task = asyncio.ensure_future(nodes[0].ask(cluster.request("k")))
            await asyncio.sleep(pause)
            if restart:
                await nodes[1].kill()
                nodes[1:2] = await cluster.add_ready(1)
            for turn in range(2):
                asks = [node.ask(cluster.request("k")) for node in nodes[1:]]
                answers.append([answer.split()[0] for answer in await asyncio.gather(*asks)])
                await asyncio.sleep(10.0 * turn)
            self.assertFalse(task.done())
            return cluster

        for point, runs, expected in self.CASES:
            for pause in (0.0, 0.5, 60.0):
                for restart in (False, True):
                    with self.subTest(point, pause=pause, restart=restart):
                        answers: list[list[str]] = []
                        cluster = simulate(lambda p=point, s=pause, r=restart: main(p, s, r))
                        self.assertEqual(cluster.faults(), [])
                        self.assertEqual(cluster.service.by_key["k"], runs)
                        self.assertEqual(answers, [[expected, expected]] * 2)


class LogFaultTest(unittest.TestCase):
    """Guards against a second execution when the log fails at any step."""

    FAULTS: tuple[dict[str, Any], ...] = (
        {},
        {"unavailable": True},
        {"slow_s": 0.3},
        {"slow_s": 5.0},
        {"lose_replies": 1},
        {"lose_replies": 6},
        {"lose_appends": 3},
        {"late_appends": 1, "late_s": 0.2},
        {"late_appends": 3, "late_s": 5.0},
        {"late_appends": 2, "lose_replies": 2, "late_s": 2.0},
        {"lose_share": 0.5},
    )

    def test_racing_repeats_under_each_log_fault(self) -> None:
        for faults in self.FAULTS:
            for step in ("arrival", "dispatch", "result"):
                with self.subTest(step=step, **faults):
                    cluster, last = simulate(lambda f=faults, s=step: race(Cluster, f, s))
                    self.assertEqual(cluster.faults(), [])
                    self.assertEqual(cluster.service.by_key["k"], 1)
                    self.assertEqual(len(set(last)), 1)
                    self.assertTrue(last[0].startswith("ok"), last)

    def test_without_read_back_the_log_faults_cause_double_runs(self) -> None:
        failed = [
            faults
            for faults in self.FAULTS
            if simulate(lambda f=faults: race(lambda: Cluster(NoReadBack), f, "arrival"))[
                0
            ].faults()
        ]
        self.assertGreater(len(failed), len(self.FAULTS) // 2)

    def test_log_down_is_refused_without_a_statement_about_the_key(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster()
            (node,) = await cluster.add_ready(1)
            cluster.log.set_faults(unavailable=True)
            self.assertEqual(await node.ask(cluster.request("k")), "key_unverified")
            cluster.log.set_faults()
            await asyncio.sleep(5.0)
            self.assertEqual(cluster.log.records("claims"), [])
            self.assertTrue((await node.ask(cluster.request("k"))).startswith("ok"))
            return cluster

        self.assertEqual(simulate(main).faults(), [])

    def test_answer_survives_a_log_that_fails_after_the_execution(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster()
            nodes = await cluster.add_ready(2)

            async def break_log() -> None:
                cluster.log.set_faults(unavailable=True)

            nodes[0].after_run = break_log
            answer = await nodes[0].ask(cluster.request("k"))
            self.assertTrue(answer.startswith("ok"))
            self.assertEqual(await nodes[0].ask(cluster.request("k")), answer)
            self.assertEqual(await nodes[1].ask(cluster.request("k")), "in_progress")
            cluster.log.set_faults()
            self.assertTrue(await nodes[0].claimer.flush(10.0))
            await asyncio.sleep(3.0)
            self.assertEqual(await nodes[1].ask(cluster.request("k")), answer)
            return cluster

        self.assertEqual(simulate(main).faults(), [])


class ExpiryTest(unittest.TestCase):
    """Guards against a key that is forgotten when its records expire."""

    def test_key_outlives_its_records_while_all_nodes_are_replaced(self) -> None:
        async def main(kind: type[Claimer]) -> tuple[Cluster, list[str]]:
            cluster = Cluster(kind, retention_s=600.0)
            nodes = await cluster.add_ready(3)
            for n in range(30):
                await nodes[n % 3].ask(cluster.request(f"k{n}"))
            answers = []
            for turn in range(60):
                await nodes.pop(0).kill()
                nodes += await cluster.add_ready(1)
                answers.append(await nodes[-1].ask(cluster.request(f"k{turn % 30}")))
                await asyncio.sleep(100.0)
            return cluster, answers

        cluster, answers = simulate(lambda: main(Claimer))
        self.assertEqual(cluster.faults(), [])
        self.assertTrue(all(answer.startswith("ok") for answer in answers))
        self.assertEqual(set(cluster.service.by_key.values()), {1})
        cluster, _ = simulate(lambda: main(NoCopies))
        self.assertNotEqual(cluster.faults(), [])

    def test_all_replaced_in_an_outage_beyond_the_retention_refuses_for_the_window(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster(retention_s=600.0)
            (old,) = await cluster.add_ready(1, window_s=3600.0)
            await old.ask(cluster.request("k"))
            cluster.log.set_faults(unavailable=True)
            await old.kill()
            fresh = cluster.add(window_s=3600.0)
            await asyncio.sleep(700.0)
            cluster.log.set_faults()
            await asyncio.sleep(10.0)
            self.assertEqual(await fresh.ask(cluster.request("k2")), "not_ready")
            await asyncio.sleep(3600.0)
            self.assertTrue((await fresh.ask(cluster.request("k2"))).startswith("ok"))
            return cluster

        self.assertEqual(simulate(main).faults(), [])

    def test_key_is_free_after_the_window(self) -> None:
        async def main() -> int:
            cluster = Cluster(retention_s=50.0)
            nodes = await cluster.add_ready(2, window_s=100.0)
            await nodes[0].ask(cluster.request("k"))
            await asyncio.sleep(95.0)
            await nodes[1].ask(cluster.request("k"))
            before = cluster.service.by_key["k"]
            await asyncio.sleep(200.0)
            await nodes[1].ask(cluster.request("k"))
            await asyncio.sleep(200.0)
            self.assertEqual([len(node.claimer.index.entries) for node in nodes], [0, 0])
            return before * 10 + cluster.service.by_key["k"]

        self.assertEqual(simulate(main), 12)

    def test_node_that_missed_expired_records_replays_before_it_accepts(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster(retention_s=300.0)
            awake, frozen = await cluster.add_ready(2)
            frozen.freeze()
            for n in range(5):
                await awake.ask(cluster.request(f"k{n}"))
            await asyncio.sleep(1000.0)
            frozen.thaw()
            for _ in range(10):
                for n in range(5):
                    codes.add((await frozen.ask(cluster.request(f"k{n}"))).split()[0])
                await asyncio.sleep(1.0)
            return cluster

        codes: set[str] = set()
        self.assertEqual(simulate(main).faults(), [])
        self.assertIn("ok", codes)


class ClaimerTest(unittest.TestCase):
    """Guards against wrong answers to repeats and failed calls."""

    def test_calls_that_fail_are_settled_by_what_is_known(self) -> None:
        # Error of the call, whether it comes after the permit was used, codes of first and repeat.
        cases: list[tuple[Exception, bool, str, str]] = [
            (ConnectFailed("refused"), True, "not_run", "ok"),
            (EndpointCrashed("reset"), True, "outcome_unknown", "outcome_unknown"),
            (RuntimeError("fault"), True, "outcome_unknown", "outcome_unknown"),
            (Overloaded("full"), False, "overloaded", "ok"),
            (Overloaded("full"), True, "overloaded", "ok"),
            (OutcomeUnknown("lost"), True, "outcome_unknown", "outcome_unknown"),
            (RuntimeError("fault"), False, "not_run", "ok"),
        ]

        async def main(error: Exception, used: bool) -> list[str]:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)

            async def fail() -> None:
                raise error

            if used:
                first.after_use = fail
            else:
                first.before_use = fail
            answers = [await first.ask(cluster.request("k"))]
            answers.append(await second.ask(cluster.request("k")))
            self.assertEqual(cluster.faults(), [])
            return [answer.split()[0] for answer in answers]

        for error, used, *expected in cases:
            with self.subTest(repr(error), used=used):
                self.assertEqual(simulate(lambda e=error, u=used: main(e, u)), expected)

    def test_other_body_is_refused(self) -> None:
        async def main() -> None:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)
            await first.ask(cluster.request("k"))
            for node in (first, second):
                answer = await node.ask(cluster.request("k", body={"kitchen": "other"}))
                self.assertEqual(answer, "key_reused")
            self.assertEqual(cluster.service.by_key["k"], 1)

        simulate(main)

    def test_repeat_waits_for_the_result_of_another_node(self) -> None:
        async def main() -> None:
            cluster = Cluster()
            nodes = await cluster.add_ready(3)
            cluster.service.delay_s = 4.0
            first = asyncio.ensure_future(nodes[0].ask(cluster.request("k")))
            await asyncio.sleep(0.1)
            short = await nodes[1].ask(cluster.request("k", patience_s=1.0))
            self.assertEqual(short, "in_progress")
            self.assertEqual(await nodes[2].ask(cluster.request("k")), await first)

        simulate(main)

    def test_large_answer_is_not_kept_and_not_truncated(self) -> None:
        async def main() -> None:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)

            async def send(check: Check) -> Reply:
                check()
                return Reply(200, "x" * 20_000)

            reply = await first.claimer.execute(cluster.request("k"), send)
            self.assertEqual(len(reply.body), 20_000)
            with self.assertRaises(OutcomeUnknown) as caught:
                await second.claimer.execute(cluster.request("k"), send)
            self.assertTrue(caught.exception.details["executed"])

        simulate(main)

    def test_caller_that_goes_away_loses_nothing(self) -> None:
        async def main(sent: bool) -> str:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)
            cluster.service.delay_s = 2.0
            if not sent:
                first.before_use = stop_forever
            req = cluster.request("k")
            task = asyncio.ensure_future(
                first.claimer.execute(req, lambda check: first.send(check, req))
            )
            await asyncio.sleep(0.5)
            task.cancel()
            answer = await second.ask(cluster.request("k"))
            self.assertEqual(cluster.service.by_key["k"], 1)
            return answer

        self.assertEqual(simulate(lambda: main(True)), "ok k/r1")
        self.assertEqual(simulate(lambda: main(False)), "ok k/r2")

    def test_permit_is_refused_after_a_sleep_that_only_the_wall_clock_shows(self) -> None:
        clocks = {"loop": 0.0, "wall": 0.0}
        permit = Permit(lambda: max(clocks["loop"], clocks["wall"]), lambda: 10.0)
        clocks["wall"] = 11.0
        with self.assertRaises(NotRun):
            permit.use()
        self.assertFalse(permit.used)

    def test_claims_that_arrive_during_an_append_share_the_next_one(self) -> None:
        async def main() -> int:
            cluster = Cluster()
            (node,) = await cluster.add_ready(1)
            cluster.log.set_faults(slow_s=0.05)
            await asyncio.gather(*(node.ask(cluster.request(f"k{n}")) for n in range(100)))
            self.assertEqual(cluster.faults(), [])
            return cluster.log.appends

        self.assertLess(simulate(main), 8)
