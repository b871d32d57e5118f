"""Tests of endpoints that fall over if they have to refuse many requests."""

import asyncio
import collections

from loguru import logger

from .platform_cluster import PlatformCase, config, route

logger.disable("lacewinghub")

BRITTLE = 3.0  # Refusals per second that a runner of the tests bears.
SLOTS = 4
WORK_S = 0.4
ASKED_SHARE = 2.5  # Demand as a multiple of what the slots give.
ROUTES = [
    route("first", "apps", "idempotent", priority=1),
    route("last", "apps", "idempotent", priority=5),
    route("draft", "models", "streaming", resumable=True),
]


class TestBrittleRunners(PlatformCase):
    """Guards against nodes that together send brittle runners far more than they have room for."""

    nodes = 3
    runners = 3
    configuration = config(1, ROUTES)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for runner in self.apps + self.models:
            runner.room.slots = SLOTS
            runner.room.max_waiting = 1
            runner.work_s = WORK_S if runner in self.apps else WORK_S / runner.events
            runner.announce(self.store)
        await asyncio.sleep(1.0)  # Until all nodes know the slots.

    async def overload(self, paths: list[str], seconds: float) -> dict[str, collections.Counter]:
        """Send more requests than the runners can process; return the statuses by path."""
        per_s = ASKED_SHARE * SLOTS * self.runners / WORK_S
        found = {path: collections.Counter[int]() for path in paths}

        async def ask(number: int) -> None:
            path = paths[number % len(paths)]
            found[path][(await self.ask(path, node=number % self.nodes)).status] += 1

        async with asyncio.TaskGroup() as group:
            for number in range(int(per_s * seconds)):
                group.create_task(ask(number))
                await asyncio.sleep(1 / per_s)
        return found

    async def test_overloaded_brittle_runners_do_not_fall_over(self) -> None:
        for runners, paths in (
            (self.apps, ["/first/a", "/last/a"]),
            (self.models, ["/draft/a"]),
        ):
            with self.subTest(runners[0].service):
                for runner in runners:
                    runner.room.brittle = BRITTLE
                await self.overload(paths, 3.0)  # The platform's stability window.
                for runner in runners:
                    runner.falls, runner.room.max_waiting = 0, 0
                    runner.runs.clear()
                began = asyncio.get_running_loop().time()
                found = await self.overload(paths, 4.0)
                lasted_s = asyncio.get_running_loop().time() - began
                falls = sum(runner.falls for runner in runners)
                self.assertLessEqual(falls, 2 + len(runners) / 10)
                possible = lasted_s * SLOTS * self.runners / WORK_S
                served = [found[path][200] for path in paths]
                self.assertGreater(sum(served), 0.6 * possible, found)
                self.assertEqual(set().union(*found.values()) - {200, 503}, set(), found)
                self.assertEqual(served, sorted(served, reverse=True))

    async def test_all_nodes_follow_what_the_newest_answers_state(self) -> None:
        runners = self.apps

        async def brittle_nodes(stated: float | None) -> int:
            for runner in runners:
                runner.room.brittle = stated
            # A load with which every runner answers, of one node only.
            await asyncio.gather(*(self.ask("/first/a") for _ in range(2 * SLOTS)))
            await asyncio.sleep(0.6)  # Two heartbeats.
            return sum(
                all(node._brittle.is_brittle("apps", runner.name) for runner in runners)
                for node in self.members
            )

        for stated, expected in ((None, 0), (2.0, 3), (float("nan"), 3), (0.0, 3), (None, 0)):
            with self.subTest(stated):
                self.assertEqual(await brittle_nodes(stated), expected)
