"""Tests of runners that state how many requests per second they take from all nodes together."""

import asyncio

from lacewinghub.fakes.platform_runner import FakeRunner

from .platform_cluster import PlatformCase

LIMIT_PER_S = 3.0
SETTLE_S = 3.0  # The platform's stability window.
WINDOW_S = 4.0
WINDOW_LIMIT = 1.5 * LIMIT_PER_S * WINDOW_S + 5
ASKED_PER_S = 50.0


def busiest_window(arrivals: list[float]) -> int:
    """Return the largest number of requests within ``WINDOW_S``."""
    return max((sum(at <= x < at + WINDOW_S for x in arrivals) for at in arrivals), default=0)


class LimitCase(PlatformCase):
    nodes = 3
    runners = 4

    async def ask_for(self, seconds: float) -> list[int]:
        """Send requests to all nodes in turn; return their statuses."""
        tasks = []
        for number in range(int(seconds * ASKED_PER_S)):
            path = "/chat/a" if number % 2 else "/lookup/a"
            headers = {"Lacewinghub-Prompt-Prefix": f"part{number}:60,own:40"}
            request = self.ask(path, node=number % len(self.members), headers=headers)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / ASKED_PER_S)
        return [(await task).status for task in tasks]

    async def busiest(self) -> list[FakeRunner]:
        """Send requests; return the runner and the service that received the most of them."""
        await self.ask_for(1.0)
        groups = (self.models, self.apps)
        return [max(group, key=lambda item: len(item.arrivals)) for group in groups]

    def limit(self, runner: FakeRunner, per_s: float | None) -> None:
        """Let a runner state a limit from now on."""
        runner.limit_per_s = per_s
        runner.arrivals.clear()


class TestStatedLimits(LimitCase):
    async def test_all_nodes_together_keep_the_limit_that_a_runner_states(self) -> None:
        limited = await self.busiest()
        for runner in limited:
            self.limit(runner, LIMIT_PER_S)
        await self.ask_for(SETTLE_S)
        for runner in limited:
            runner.arrivals.clear()
        statuses = await self.ask_for(2 * WINDOW_S)
        for runner in limited:
            with self.subTest(runner.service):
                self.assertLessEqual(busiest_window(runner.arrivals), WINDOW_LIMIT)
                self.assertGreater(len(runner.arrivals), LIMIT_PER_S * WINDOW_S)
        self.assertEqual(set(statuses), {200})

    async def test_a_limit_that_is_no_longer_stated_ends(self) -> None:
        runner = (await self.busiest())[0]
        self.limit(runner, LIMIT_PER_S)
        await self.ask_for(SETTLE_S)
        self.limit(runner, None)
        await self.ask_for(1.5)
        runner.arrivals.clear()
        await self.ask_for(WINDOW_S)
        self.assertGreater(busiest_window(runner.arrivals), WINDOW_LIMIT)
