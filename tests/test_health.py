"""Tests of the choice of usable endpoints, on a simulated clock."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

import looptime

from lacewinghub.health import EndpointHealth
from lacewinghub.message import Heartbeat
from lacewinghub.request import AttemptResult
from lacewinghub.tables import Endpoint, Pool

FAILED = AttemptResult(ok=False, crashed=True)


def pool(size: int, name: str = "p") -> Pool:
    """Build a pool with endpoints e0, e1 and so on."""
    return Pool(name, [Endpoint(f"e{i}", f"10.0.0.{i + 1}:80", "a") for i in range(size)])


def names(health: EndpointHealth, wanted: Pool) -> list[str]:
    """Return the names of the usable endpoints."""
    return [item.name for item in health.usable(wanted)]


class HealthCase(unittest.TestCase):
    def run_simulated(self, test: Coroutine[Any, Any, None]) -> None:
        loop = looptime.new_event_loop(end=10_000)
        try:
            loop.run_until_complete(test)
        finally:
            loop.close()

    def test_three_consecutive_failures_eject_for_doubling_times(self) -> None:
        """Guards against an endpoint that fails for ever and gets every tenth request."""

        async def test() -> None:
            health, five = EndpointHealth(), pool(5)
            for expected_s in (5, 10, 20, 40, 60, 60):
                health.observe("e1", FAILED)
                health.observe("e1", FAILED)
                self.assertIn("e1", names(health, five))
                health.observe("e1", FAILED)
                self.assertNotIn("e1", names(health, five))
                await asyncio.sleep(expected_s - 0.1)
                self.assertNotIn("e1", names(health, five))
                await asyncio.sleep(0.3)
                self.assertIn("e1", names(health, five))
            await asyncio.sleep(121)
            for _ in range(3):
                health.observe("e1", FAILED)
            await asyncio.sleep(5.2)
            self.assertIn("e1", names(health, five))

        self.run_simulated(test())

    def test_success_between_failures_keeps_the_endpoint(self) -> None:
        """Guards against ejection by failures that are not consecutive."""

        async def test() -> None:
            health, five = EndpointHealth(), pool(5)
            for _ in range(10):
                health.observe("e1", FAILED)
                health.observe("e1", FAILED)
                health.observe("e1", AttemptResult(ok=True))
            self.assertEqual(len(names(health, five)), 5)

        self.run_simulated(test())

    def test_never_more_than_half_of_a_pool_is_ejected(self) -> None:
        """Guards against a pool that loses all its capacity to ejection."""
        for size, left in ((1, 1), (2, 1), (3, 2), (4, 2), (9, 5)):
            with self.subTest(size):

                async def test(size: int = size, left: int = left) -> None:
                    health, all_bad = EndpointHealth(), pool(size)
                    for endpoint in all_bad.endpoints:
                        for _ in range(3):
                            health.observe(endpoint.name, FAILED)
                    self.assertEqual(len(health.usable(all_bad)), left)
                    self.assertEqual(len(health.usable(pool(size, "same-endpoints"))), left)

                self.run_simulated(test())

    def test_slow_endpoint_is_ejected(self) -> None:
        """Guards against a straggling engine that keeps its share of the requests."""
        cases = {
            "first token": (AttemptResult(True, 0.2, 0.03), AttemptResult(True, 0.9, 0.03), True),
            "between tokens": (AttemptResult(True, 0.2, 0.03), AttemptResult(True, 0.2, 0.2), True),
            "within the factor": (
                AttemptResult(True, 0.2, 0.03),
                AttemptResult(True, 0.5, 0.08),
                False,
            ),
            "noise": (AttemptResult(True, 0.002, 0.0001), AttemptResult(True, 0.02, 0.001), False),
        }
        for label, (normal, slow, ejected) in cases.items():
            with self.subTest(label):

                async def test(
                    normal: AttemptResult = normal,
                    slow: AttemptResult = slow,
                    ejected: bool = ejected,
                ) -> None:
                    health, five = EndpointHealth(), pool(5)
                    for _ in range(8):
                        for endpoint in five.endpoints:
                            health.observe(endpoint.name, slow if endpoint.name == "e3" else normal)
                    self.assertEqual("e3" not in names(health, five), ejected)
                    await asyncio.sleep(5.2)
                    self.assertIn("e3", names(health, five))

                self.run_simulated(test())

    def test_whole_slow_pool_is_kept(self) -> None:
        """Guards against ejection when all endpoints are slow because of load."""

        async def test() -> None:
            health, five = EndpointHealth(), pool(5)
            for time_s in (0.2, 2.0):
                for _ in range(16):
                    for endpoint in five.endpoints:
                        health.observe(endpoint.name, AttemptResult(True, time_s, time_s / 10))
                await asyncio.sleep(1)
                self.assertEqual(len(names(health, five)), 5)

        self.run_simulated(test())

    def test_leaving_endpoint_is_used_again_only_after_it_returned(self) -> None:
        """Guards against new work for a leaving endpoint, and against one that is never reused."""

        async def test() -> None:
            health, three = EndpointHealth(), pool(3)
            health.mark_leaving("e0")
            self.assertEqual(names(health, three), ["e1", "e2"])
            health.apply_load_report("e0", leaving=False)
            health.apply_host_list({"e0": "live"})
            self.assertEqual(names(health, three), ["e1", "e2"])
            await asyncio.sleep(5.1)
            health.apply_host_list({"e0": "live"})
            self.assertEqual(names(health, three), ["e1", "e2"])
            health.apply_load_report("e0", leaving=False)
            self.assertEqual(names(health, three), ["e0", "e1", "e2"])
            health.mark_leaving("e0")
            self.assertEqual(names(health, three), ["e1", "e2"])
            await asyncio.sleep(60.1)
            health.apply_host_list({"e0": "live", "e1": "leaving"})
            self.assertEqual(names(health, three), ["e0", "e2"])
            await asyncio.sleep(601)
            self.assertEqual(names(health, three), ["e0", "e1", "e2"])

        self.run_simulated(test())

    def test_all_leaving(self) -> None:
        """Guards against the half rule being applied to leaving endpoints."""

        async def test() -> None:
            health, two = EndpointHealth(), pool(2)
            health.apply_load_report("e0", leaving=True)
            health.apply_host_list({"e1": "leaving"})
            self.assertEqual(names(health, two), [])

        self.run_simulated(test())

    def test_marks_travel_with_their_age(self) -> None:
        """Guards against an old mark of a peer that keeps a returned endpoint out."""

        async def test() -> None:
            one, two, three = EndpointHealth(), EndpointHealth(), pool(3)
            one.mark_leaving("e0")
            await asyncio.sleep(0.25)
            exchange(one, two)
            self.assertEqual(names(two, three), ["e1", "e2"])
            await asyncio.sleep(6)
            two.apply_load_report("e0", leaving=False)
            self.assertEqual(names(two, three), ["e0", "e1", "e2"])
            for _ in range(40):
                exchange(one, two)
            self.assertEqual(names(two, three), ["e0", "e1", "e2"])
            one.mark_leaving("e0")
            exchange(one, two)
            self.assertEqual(names(two, three), ["e1", "e2"])

        self.run_simulated(test())

    def test_restarted_peer_learns_old_marks(self) -> None:
        """Guards against a restarted node that sends new work to endpoints that leave."""

        async def test() -> None:
            one, two, three = EndpointHealth(), EndpointHealth(), pool(3)
            one.mark_leaving("e2")
            await asyncio.sleep(60)
            exchange(one, EndpointHealth())
            one.contributor.on_heartbeat(Heartbeat("n2", 2, 1, "live"))
            exchange(one, two)
            self.assertEqual(names(two, three), ["e0", "e1"])

        self.run_simulated(test())

    def test_retain_forgets_removed_endpoints(self) -> None:
        """Guards against memory that grows with every endpoint ever published."""

        async def test() -> None:
            health = EndpointHealth()
            for index in range(100):
                health.mark_leaving(f"e{index}")
            health.retain({"e1"})
            self.assertEqual([mark.endpoint for mark in health.marks(full=True)], ["e1"])

        self.run_simulated(test())


def exchange(sender: EndpointHealth, receiver: EndpointHealth) -> None:
    """Send one heartbeat."""
    heartbeat = Heartbeat("n1", 1, 1, "live")
    sender.contributor.fill_heartbeat(heartbeat)
    receiver.contributor.on_heartbeat(heartbeat)


if __name__ == "__main__":
    unittest.main()
