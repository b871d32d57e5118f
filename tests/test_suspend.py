"""Tests of a suspended host: deadlines include the time that the loop's clock missed."""

import asyncio
import unittest

from lacewinghub.proxygateway import _ActiveRequest
from lacewinghub.suspend import CHECK_INTERVAL_S, SuspendWatch, suspended_s

from .clock import simulate
from .platform_cluster import PlatformCase


class TestSuspendWatch(unittest.TestCase):
    def test_lengths(self) -> None:
        cases = [("awake", 0.0, []), ("noise", 0.01, []), ("suspended", 4.0, [4.0])]
        for name, suspended, expected in cases:
            with self.subTest(name):

                async def main(suspended: float = suspended) -> list[float]:
                    total, suspensions = [100.0], []
                    watch = SuspendWatch(lambda: total[0])
                    watch.listen(suspensions.append)
                    task = asyncio.create_task(watch.run())
                    await asyncio.sleep(2 * CHECK_INTERVAL_S)
                    total[0] += suspended
                    await asyncio.sleep(4 * CHECK_INTERVAL_S)
                    task.cancel()
                    return suspensions

                self.assertEqual(simulate(main), expected)

    def test_suspended_time_of_this_host(self) -> None:
        self.assertGreaterEqual(suspended_s(), -0.1)


class TestDeadlines(PlatformCase):
    async def test_a_request_expires_by_the_time_of_its_client(self) -> None:
        # Guards against an answer that is late by the time that the host was suspended.
        node = self.members[0]
        for runner in self.models:
            runner.work_s = 5.0
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asked = asyncio.create_task(self.ask("/chat/a"))
        await self.until(self._under_way)
        node._gateway.on_resume(10.0)
        answer = await asked
        self.assertLess(loop.time() - begun, 1.0)
        self.assertFalse(answer.status == 200 and answer.complete)

    async def _under_way(self) -> bool:
        live: set[_ActiveRequest] = self.members[0]._gateway._active
        return any(item.req.proxy is not None and item.req.proxy.sent for item in live)


if __name__ == "__main__":
    unittest.main()
