"""Failures of runners, with real processes; every history goes through the checker."""

import asyncio
import signal
import unittest

from lacewinghub.history import EventKind

from .cluster import POISON, FailureCase


class TestRunners(FailureCase):
    async def test_runner_killed_in_mid_stream(self) -> None:
        """Guards against an answer that ends, repeats or loses tokens when its runner dies."""
        cluster = await self.open(nodes=1, runners=3)
        node = cluster.names[0]
        chats = [asyncio.create_task(cluster.chat(node, f"wall {i}", 150)) for i in range(9)]
        await asyncio.sleep(0.6)
        cluster.deployment.runners[0].kill()
        calls = await asyncio.gather(*chats)
        self.assertEqual([call.code for call in calls], [""] * 9)
        self.assertEqual([call.answer == call.expected for call in calls], [True] * 9)
        resumed = [
            event
            for event in cluster.deployment.history(node)
            if event["kind"] == EventKind.RESUMED and event["tokens"] > 0
        ]
        self.assertTrue(resumed)
        await self.assert_kept(cluster)

    async def test_runner_frozen_in_mid_stream(self) -> None:
        """Guards against answers that wait for a runner whose host is gone without a reset."""
        cluster = await self.open(nodes=1, runners=3)
        node = cluster.names[0]
        chats = [asyncio.create_task(cluster.chat(node, f"door {i}", 150)) for i in range(9)]
        await asyncio.sleep(0.6)
        frozen = cluster.deployment.runners[0].popen
        frozen.send_signal(signal.SIGSTOP)
        self.addCleanup(frozen.send_signal, signal.SIGCONT)
        calls = await asyncio.gather(*chats)
        self.assertEqual([call.code for call in calls], [""] * 9)
        self.assertEqual([call.answer == call.expected for call in calls], [True] * 9)
        history = cluster.deployment.history(node)
        self.assertIn(EventKind.STALLED, [event["kind"] for event in history])
        # Half of the idle timeout of 30 s, which answers had to wait for before.
        self.assertLess(max(call.ended - call.sent for call in calls), 15.0)
        frozen.send_signal(signal.SIGCONT)
        await self.assert_kept(cluster)

    async def test_leaving_runners_and_a_host_list_that_lags(self) -> None:
        """Guards against new work for a runner that refuses it, or that the host list names.

        The list goes on to show the first runner as live; the second one knows of nothing.
        """
        cluster = await self.open(nodes=0, ready=False)
        hosts = cluster.deployment.add_hosts()
        runners = cluster.deployment.runners
        for runner in runners:
            await cluster.control(hosts, "put", address=runner.address)
        for index in range(3):
            cluster.deployment.add_node(f"n{index}", hosts=hosts.address)
        await cluster.start()
        running = [asyncio.create_task(cluster.chat("n0", f"long {i}", 300)) for i in range(6)]
        await asyncio.sleep(0.3)
        cluster.note(EventKind.LEAVING, endpoint="r0")
        await cluster.control(runners[0], "leave")
        cluster.note(EventKind.LEAVING, endpoint="r1")
        await cluster.control(hosts, "put", address=runners[1].address, state="leaving")
        for index in range(70):
            node = cluster.names[index % 3]
            running.append(asyncio.create_task(cluster.chat(node, f"short {index}", 5)))
            await asyncio.sleep(0.08)
        calls = await asyncio.gather(*running)
        self.assertEqual({call.code for call in calls}, {""})
        await self.assert_kept(cluster)
        used = [event.endpoint for event in cluster.evidence.events_of(EventKind.DISPATCHED)]
        self.assertEqual(set(used[-10:]), {"r2"})

    async def test_poison_request_at_all_nodes(self) -> None:
        """Guards against one caller that crashes every runner."""
        for label, pause_s, limit in (("in turn", None, 2), ("at once", 0.0, 3)):
            with self.subTest(label):
                cluster = await self.open(nodes=3, runners=5)
                innocent = [
                    asyncio.create_task(cluster.chat(cluster.names[i % 3], f"fence {i}", 120))
                    for i in range(6)
                ]
                await asyncio.sleep(0.3)
                poison = [cluster.chat(name, f"{POISON} {label}") for name in cluster.names]
                if pause_s is None:
                    bad = [await item for item in poison]
                else:
                    bad = await asyncio.gather(*poison)
                self.assertEqual({call.code for call in bad}, {"quarantined"})
                good = await asyncio.gather(*innocent)
                self.assertEqual({call.code for call in good}, {""})
                self.assertLessEqual(await cluster.crashes(), limit)
                await self.assert_kept(cluster)


if __name__ == "__main__":
    unittest.main()
