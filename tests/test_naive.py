"""Tests of the schedulers that need no other node."""

import asyncio
import random
import unittest
from collections.abc import Callable
from typing import Any

import looptime

from lacewinghub.errors import Overloaded
from lacewinghub.history import EventKind, History
from lacewinghub.local import DirectScheduler, LocalScheduler
from lacewinghub.naive import NaiveScheduler
from lacewinghub.request import AttemptResult, Request
from lacewinghub.scheduler import TablesView
from lacewinghub.selection import LoadReports
from lacewinghub.tables import Endpoint, Pool, Tables, Target


def _view(endpoints: int = 2, slots: int = 1, limit: int = 4) -> TablesView:
    items = [Endpoint(f"r{n}", f"127.0.0.1:{9000 + n}", "a", slots) for n in range(endpoints)]
    tables = Tables(pools=[Pool("chat", items, queue_limit=limit)])
    return TablesView(lambda: tables)


def _request(number: int, tier: int = 1, **members: Any) -> Request:
    now = asyncio.get_running_loop().time()
    values = {"arrived": now, "patience_s": 5.0, "target": Target()} | members
    return Request(f"q{number}", "w", "c", tier, "chat", {}, **values)


def _make(kind: str, history: History | None = None, **view: int) -> DirectScheduler:
    if kind == "naive":
        return NaiveScheduler(_view(**view), LoadReports(), 1, history)
    return LocalScheduler(_view(**view), LoadReports(), lambda: 1, history, random.Random(1))


class DirectTest(unittest.TestCase):
    """Guards against lost slots, wrong order and missing refusals."""

    def _run(self, make: Callable[[], Any]) -> Any:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(make())

    def test_order_of_service(self) -> None:
        for kind, expected in [("naive", ["q1", "q2", "q3"]), ("local", ["q3", "q2", "q1"])]:

            async def case(kind: str = kind) -> list[str]:
                scheduler = _make(kind, endpoints=1)
                first = await scheduler.acquire(_request(0))
                served: list[str] = []

                async def one(req: Request) -> None:
                    grant = await scheduler.acquire(req)
                    served.append(req.id)
                    scheduler.release(grant, AttemptResult(ok=True))

                tasks = [asyncio.create_task(one(_request(n, tier=4 - n))) for n in (1, 2, 3)]
                await asyncio.sleep(0)
                scheduler.release(first, AttemptResult(ok=True))
                await asyncio.gather(*tasks)
                return served

            with self.subTest(kind):
                self.assertEqual(self._run(case), expected)

    def test_full_queue(self) -> None:
        for kind, refused in [("naive", "q9"), ("local", "q2")]:

            async def case(kind: str = kind) -> list[str]:
                history = History(keep=True)
                scheduler = _make(kind, history, endpoints=1, limit=2)
                await scheduler.acquire(_request(0))
                tasks = [
                    asyncio.create_task(scheduler.acquire(_request(n, tier=5))) for n in (1, 2)
                ]
                await asyncio.sleep(0)
                tasks.append(asyncio.create_task(scheduler.acquire(_request(9, tier=1))))
                done, _ = await asyncio.wait(tasks, timeout=1)
                self.assertEqual([type(task.exception()) for task in done], [Overloaded])
                for task in tasks:
                    task.cancel()
                return [item.request for item in history.events if item.kind is EventKind.SHED]

            with self.subTest(kind):
                self.assertEqual(self._run(case), [refused])

    def test_patience_and_withdrawal_leak_no_slot(self) -> None:
        for kind in ("naive", "local"):

            async def case(kind: str = kind) -> None:
                scheduler = _make(kind, endpoints=1)
                held = await scheduler.acquire(_request(0))
                with self.assertRaises(Overloaded):
                    await scheduler.acquire(_request(1, patience_s=1.0))
                task = asyncio.create_task(scheduler.acquire(_request(2)))
                await asyncio.sleep(0)
                scheduler.release(held, AttemptResult(ok=True))
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                async with asyncio.timeout(1):
                    await scheduler.acquire(_request(3))

            with self.subTest(kind):
                self._run(case)

    def test_failed_endpoints_are_avoided_while_another_is_usable(self) -> None:
        for kind in ("naive", "local"):

            async def case(kind: str = kind) -> list[str]:
                scheduler = _make(kind)
                first = await scheduler.acquire(_request(0, excluded_endpoints={"r0"}))
                second = await scheduler.acquire(_request(1, excluded_endpoints={"r0", "r1"}))
                return [first.endpoint, second.endpoint]

            with self.subTest(kind):
                self.assertEqual(self._run(case), ["r1", "r0"])
