"""Tests of the quarantine of poison requests, with nodes on a simulated clock and network."""

import asyncio
import unittest
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import looptime

from lacewinghub.errors import ExecutionStatus, Quarantined
from lacewinghub.membership import Membership
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.quarantine import CRASH_LIMIT, MAX_CASES, Quarantine
from lacewinghub.request import AttemptResult, Request
from lacewinghub.tables import Target
from lacewinghub.transport import Peer

POISON = 666
RUNNERS = [f"r{i}" for i in range(12)]
CRASHED = AttemptResult(ok=False, crashed=True)


def request(fingerprint: int, number: int = 0) -> Request:
    """Return a request with a fingerprint."""
    return Request(
        f"q{fingerprint}-{number}", "w", "c", 1, "p", {}, 0.0, 30.0, Target(), None, fingerprint
    )


class Cluster:
    """Nodes with a quarantine each, and runners that a poison request crashes after ``crash_s``."""

    def __init__(self, size: int, crash_s: float = 0.05, loss: float = 0.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.network = MemoryNetwork(delay_s=0.001, loss=loss)
        self.nodes = [self._start(f"n{i}", 1) for i in range(size)]
        self.crash_s = crash_s
        self.crashes: list[str] = []
        self.runs: Counter[int] = Counter()
        self.at: dict[str, list[asyncio.Future[None]]] = {name: [] for name in RUNNERS}

    def _start(self, name: str, incarnation: int) -> Quarantine:
        identity = Peer(name, incarnation, "a", f"memory:{name}")
        member = Membership(identity, self.network.transport(identity))
        quarantine = Quarantine(
            name, member, member.send_heartbeat, wall=lambda: 1e9 + self.loop.time()
        )
        member.add(quarantine)
        self.tasks = [*getattr(self, "tasks", []), asyncio.create_task(member.run())]
        return quarantine

    def restart(self, index: int) -> None:
        self.nodes[index] = self._start(f"n{index}", 2)

    async def serve(self, index: int, req: Request, first: str | None = None) -> str:
        """Serve a request as the router does; return ``finished`` or ``refused``."""
        guard = self.nodes[index]
        wanted = first
        while True:
            try:
                await guard.wait_if_suspect(req, RUNNERS)
            except Quarantined:
                return "refused"
            choice = [name for name in RUNNERS if name not in req.excluded_endpoints] or RUNNERS
            runner = wanted or choice[(index + len(self.crashes)) % len(choice)]
            wanted = None
            guard.on_dispatched(req, runner)
            if await self.run(req, runner):
                guard.on_attempt_ended(req, runner, AttemptResult(ok=True))
                return "finished"
            guard.on_attempt_ended(req, runner, CRASHED)
            req.excluded_endpoints.add(runner)

    async def run(self, req: Request, runner: str) -> bool:
        """Run a request at a runner; return False if the runner crashed before the end."""
        broken: asyncio.Future[None] = self.loop.create_future()
        self.at[runner].append(broken)
        self.runs[req.fingerprint] += 1
        if req.fingerprint == POISON:
            self.loop.call_later(self.crash_s, self.crash, runner)
        done, _ = await asyncio.wait([broken], timeout=2.0)
        if not done:
            self.at[runner].remove(broken)
        return not done

    def crash(self, runner: str) -> None:
        waiting, self.at[runner] = self.at[runner], []
        if waiting:
            self.crashes.append(runner)
        for broken in waiting:
            broken.set_result(None)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class QuarantineCase(unittest.TestCase):
    def run_simulated(
        self, test: Callable[[Cluster], Coroutine[Any, Any, None]], size: int = 9, **options: Any
    ) -> None:
        async def main() -> None:
            cluster = Cluster(size, **options)
            await asyncio.sleep(1)
            try:
                await test(cluster)
            finally:
                await cluster.stop()

        loop = looptime.new_event_loop(end=100_000)
        try:
            loop.run_until_complete(main())
        finally:
            loop.close()

    def test_poison_repeated_at_nine_nodes_one_after_the_other(self) -> None:
        """A client that repeats a poison request at each node crashes two runners in total."""

        async def test(cluster: Cluster) -> None:
            for index in range(9):
                got = await cluster.serve(index, request(POISON, index))
                self.assertEqual(got, "refused")
            self.assertEqual(len(cluster.crashes), CRASH_LIMIT)

        self.run_simulated(test)

    def test_poison_repeated_by_a_client_that_does_not_wait(self) -> None:
        """The same holds if the client goes to the next node after each crash without waiting."""

        async def test(cluster: Cluster) -> None:
            tasks = []
            for index in range(9):
                tasks.append(asyncio.create_task(cluster.serve(index, request(POISON, index))))
                await asyncio.sleep(cluster.crash_s + 0.01)
            await asyncio.gather(*tasks)
            self.assertEqual(len(cluster.crashes), CRASH_LIMIT)

        self.run_simulated(test)

    def test_poison_at_nine_nodes_at_the_same_moment(self) -> None:
        """After the simultaneous first crashes every node refuses; there are no further crashes."""

        async def test(cluster: Cluster) -> None:
            copies = [cluster.serve(i, request(POISON, i), RUNNERS[i]) for i in range(9)]
            self.assertEqual(set(await asyncio.gather(*copies)), {"refused"})
            self.assertEqual(len(cluster.crashes), 9)

        self.run_simulated(test)

    def test_poison_at_the_same_moment_on_few_runners(self) -> None:
        """Copies that crashed the same runner are not all resumed at the same time."""
        for first, expected in ((1, CRASH_LIMIT), (2, 2), (3, 3)):
            with self.subTest(first=first):

                async def test(cluster: Cluster, first: int = first, expected: int = expected):
                    copies = [
                        cluster.serve(i, request(POISON, i), RUNNERS[i % first]) for i in range(9)
                    ]
                    self.assertEqual(set(await asyncio.gather(*copies)), {"refused"})
                    self.assertEqual(len(cluster.crashes), expected)

                self.run_simulated(test)

    def test_lost_heartbeats(self) -> None:
        """With 10% of the heartbeats lost, at most one more runner crashes."""

        async def test(cluster: Cluster) -> None:
            copies = [cluster.serve(i, request(POISON, i), RUNNERS[0]) for i in range(9)]
            await asyncio.gather(*copies)
            self.assertLessEqual(len(cluster.crashes), CRASH_LIMIT + 1)

        self.run_simulated(test, loss=0.1)

    def test_innocent_requests_finish(self) -> None:
        """Requests that shared a runner with a poison request are resumed and then cleared."""

        async def test(cluster: Cluster) -> None:
            innocent = [cluster.serve(i % 9, request(i + 1), RUNNERS[0]) for i in range(7)]
            bad = cluster.serve(3, request(POISON), RUNNERS[0])
            got = await asyncio.gather(*innocent, bad)
            self.assertEqual(got, ["finished"] * 7 + ["refused"])
            self.assertEqual(len(cluster.crashes), CRASH_LIMIT)
            await asyncio.sleep(6)
            for node in cluster.nodes:
                self.assertEqual(node.status(), {"suspects": 0, "quarantined": 1})

        self.run_simulated(test)

    def test_suspects_get_a_runner_each(self) -> None:
        """Two suspects never run on one runner, where a crash would count for both."""

        async def test(cluster: Cluster) -> None:
            together: list[int] = []

            async def watch() -> None:
                while True:
                    together.append(max(len(waiting) for waiting in cluster.at.values()))
                    await asyncio.sleep(0.01)

            tasks = [
                asyncio.create_task(cluster.serve(0, request(i + 1), RUNNERS[0])) for i in range(20)
            ]
            await asyncio.sleep(0.1)
            cluster.crash(RUNNERS[0])
            watcher = asyncio.create_task(watch())
            self.assertEqual(set(await asyncio.gather(*tasks)), {"finished"})
            watcher.cancel()
            self.assertEqual(max(together), 1)

        self.run_simulated(test, size=3)

    def test_wait_for_an_endpoint_of_its_own_is_bounded(self) -> None:
        """With few runners left, suspects do not wait long for one of their own."""

        async def test(cluster: Cluster) -> None:
            cluster.nodes[0].record_crash("r1", range(1, 9))

            async def resume(number: int) -> float:
                start = cluster.loop.time()
                await cluster.nodes[0].wait_if_suspect(request(number), ["r1", "r2"])
                cluster.nodes[0].on_dispatched(request(number), "r2")
                return cluster.loop.time() - start

            waits = sorted(await asyncio.gather(*(resume(number) for number in range(1, 9))))
            self.assertLess(waits[0], 0.8)
            self.assertLess(waits[-1], 3.2)

        self.run_simulated(test, size=1)

    def test_restarted_node_refuses(self) -> None:
        """A restarted node learns from its peers which requests are refused."""

        async def test(cluster: Cluster) -> None:
            await cluster.serve(0, request(POISON))
            await asyncio.sleep(30)
            cluster.restart(5)
            await asyncio.sleep(1)
            with self.assertRaises(Quarantined):
                cluster.nodes[5].check(request(POISON))

        self.run_simulated(test)

    def test_one_crash_seen_by_all_nodes_counts_once(self) -> None:
        """Reports of one crash by several nodes are one count, so that nothing is refused yet."""

        async def test(cluster: Cluster) -> None:
            for node in cluster.nodes:
                node.record_crash("r1", [5, 6])
                await asyncio.sleep(0.1)
            await asyncio.sleep(1)
            self.assertEqual([node.count(5) for node in cluster.nodes], [1] * 9)
            cluster.nodes[3].clear_crashes(5)
            await asyncio.sleep(1)
            self.assertEqual([node.count(5) for node in cluster.nodes], [0] * 9)
            self.assertEqual([node.count(6) for node in cluster.nodes], [1] * 9)
            await asyncio.sleep(10)
            cluster.nodes[0].record_crash("r1", [6])
            await asyncio.sleep(1)
            self.assertEqual([node.count(6) for node in cluster.nodes], [2] * 9)
            self.assertEqual([node.count(5) for node in cluster.nodes], [0] * 9)

        self.run_simulated(test)

    def test_refusal_says_whether_the_request_ran(self) -> None:
        """A request that crashed a runner itself is not refused as "not run"; its copies are."""

        async def test(cluster: Cluster) -> None:
            guard, ran, copy = cluster.nodes[0], request(POISON, 1), request(POISON, 2)
            for runner in ("r1", "r2"):
                guard.on_dispatched(ran, runner)
                guard.on_attempt_ended(ran, runner, CRASHED)
            for req, expected in ((ran, ExecutionStatus.UNKNOWN), (copy, ExecutionStatus.NOT_RUN)):
                with self.assertRaises(Quarantined) as caught:
                    guard.check(req)
                self.assertEqual(caught.exception.run, expected)

        self.run_simulated(test, size=1)

    def test_cases_expire_and_are_bounded(self) -> None:
        """Old cases expire, and the number of cases is limited."""

        async def test(cluster: Cluster) -> None:
            node = cluster.nodes[0]
            node.record_crash("r1", [0, 7])
            self.assertEqual(node.count(0), 0)
            node.record_crash("r1", [8])
            node.record_crash("r2", [8])
            await asyncio.sleep(700)
            self.assertEqual([(n.count(7), n.count(8)) for n in cluster.nodes], [(0, 2)] * 2)
            node.record_crash("r3", range(1000, 1000 + 2 * MAX_CASES))
            self.assertLessEqual(len(node._cases), MAX_CASES)
            self.assertEqual(node.count(8), 2)

        self.run_simulated(test, size=2)

    def test_request_without_suspicion_does_not_wait(self) -> None:
        """Requests that are not suspected are not delayed."""

        async def test(cluster: Cluster) -> None:
            cluster.nodes[0].record_crash("r1", [7])
            before = cluster.loop.time()
            await cluster.nodes[0].wait_if_suspect(request(9), RUNNERS)
            self.assertEqual(cluster.loop.time(), before)

        self.run_simulated(test, size=2)


if __name__ == "__main__":
    unittest.main()
