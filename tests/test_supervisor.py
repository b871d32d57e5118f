"""Tests of the supervisor."""

import asyncio
import itertools
import unittest

import looptime

from lacewinghub.supervisor import MAX_BACKOFF_S, Supervisor


class SupervisorTest(unittest.TestCase):
    """Guards against tasks that are not restarted after a failure and a wrong order of stops."""

    def _run(self, coro: object) -> None:
        loop = looptime.new_event_loop()
        try:
            loop.run_until_complete(coro)
        finally:
            loop.close()

    def test_failed_task_is_restarted_with_exponential_backoff(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            starts: list[float] = []

            async def work() -> None:
                starts.append(loop.time())
                raise ValueError("fault of the test")

            sup = Supervisor("root")
            sup.start("work", work)
            await asyncio.sleep(60)
            await sup.stop()
            pauses = [after - before for before, after in itertools.pairwise(starts)]
            self.assertLess(pauses[0], 0.2)
            self.assertTrue(all(pause <= MAX_BACKOFF_S for pause in pauses))
            self.assertGreater(max(pauses[-5:]), 2.0)
            self.assertEqual(sup.restarts, len(starts))
            await asyncio.sleep(60)
            self.assertEqual(sup.restarts, len(starts))

        self._run(check())

    def test_task_that_returns_is_not_restarted(self) -> None:
        async def check() -> None:
            starts = []

            async def work() -> None:
                starts.append(1)

            sup = Supervisor("root")
            await sup.start("work", work)
            await sup.stop()
            self.assertEqual(starts, [1])

        self._run(check())

    def test_parts_stop_in_reverse_order_even_if_one_fails(self) -> None:
        async def check() -> None:
            stopped: list[str] = []

            def work(name: str, fail: bool = False) -> object:
                async def run() -> None:
                    try:
                        await asyncio.sleep(3600)
                    finally:
                        await asyncio.sleep(1)
                        stopped.append(name)
                        if fail:
                            raise ValueError("fault of the test")

                return run

            async def close() -> None:
                stopped.append("close")
                raise ValueError("fault of the test")

            sup = Supervisor("root")
            sup.start("first", work("first"))  # type: ignore[arg-type]
            child = sup.child("child")
            child.start("second", work("second"))  # type: ignore[arg-type]
            child.start("third", work("third", fail=True))  # type: ignore[arg-type]
            sup.on_stop(close)
            await asyncio.sleep(1)
            await sup.stop()
            self.assertEqual(stopped, ["close", "third", "second", "first"])
            with self.assertRaises(RuntimeError):
                sup.start("late", work("late"))  # type: ignore[arg-type]

        self._run(check())
