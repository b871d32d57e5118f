"""Tests of prompt parts that crash the runners that begin to answer them."""

import asyncio
import itertools

from lacewinghub.fakes.platform_runner import FakeRunner

from .platform_cluster import ROUTES, ClientResponse, PlatformCase, config, route

RESTART_S = 0.3
CRASHES = 5  # So many crashes are enough for the nodes to know the part.
SETTLE_S = 3.0  # The platform's stability window.
MORE = 12  # Requests with the part, and without it, after that.
LATE_LIMIT = 3  # Requests with a known part that may still reach runners.


class CrashCase(PlatformCase):
    """Nodes and runners that crash on a part of a prompt and start again under new names."""

    nodes = 3
    runners = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.numbers = itertools.count(1)
        self.crashes = 0
        self.restarts = {asyncio.create_task(self._restart(item)) for item in self.models}
        for item in self.models:
            item.deadly_part = "dead"

    async def asyncTearDown(self) -> None:
        for task in self.restarts:
            task.cancel()
        await super().asyncTearDown()

    async def _restart(self, runner: FakeRunner) -> None:
        await runner.crashed.wait()
        self.crashes += 1
        await asyncio.sleep(RESTART_S)
        new = FakeRunner(f"m-new-{next(self.numbers)}", "models")
        new.deadly_part = "dead"
        await new.start()
        new.announce(self.store)
        self.store.put("keyed.servers", runner.name, None)
        self.models.append(new)
        self.restarts.add(asyncio.create_task(self._restart(new)))

    async def ask_with(self, parts: str, node: int, name: str) -> ClientResponse:
        """Send a draft whose prompt has some shared parts and one of its own."""
        number = next(self.numbers)
        headers = {"Lacewinghub-Prompt-Prefix": f"{parts},own{number}:40"}
        attempt = f"{name}-{number}"
        return await self.ask(
            "/draft/a", node=node, attempt=attempt, headers=headers, data=attempt.encode()
        )

    def reached(self, name: str) -> int:
        """Return how many requests of a kind reached runners, repeats included."""
        runs = [run for item in self.models for run in item.runs]
        return sum(run.attempt.startswith(name) for run in runs)

    async def crash_runners(self, parts: str) -> None:
        """Send requests with the deadly part until enough runners crashed or none does."""
        for number in range(4 * CRASHES):
            if self.crashes >= CRASHES:
                break
            await self.ask_with(parts, number % len(self.members), "early")
            await self.ask_with("first:60,usual:20", number % len(self.members), "before")
            await asyncio.sleep(RESTART_S)


class TestPromptPartsThatCrashRunners(CrashCase):
    async def test_requests_with_the_part_stop_reaching_runners_and_others_are_served(self) -> None:
        for parts in ("first:60,also:10,dead:20", "dead:60,usual:20"):
            with self.subTest(parts):
                self.crashes = 0
                await self.crash_runners(parts)
                await asyncio.sleep(SETTLE_S)
                before, served = self.reached("late"), 0
                for number in range(MORE):
                    await self.ask_with(parts, number % len(self.members), "late")
                    sound = await self.ask_with("first:60,also:10", number % 3, "sound")
                    served += sound.status == 200 and sound.complete
                    await asyncio.sleep(RESTART_S)
                self.assertLessEqual(self.reached("late") - before, LATE_LIMIT)
                self.assertEqual(served, MORE)


class TestBrokenConnections(PlatformCase):
    nodes = 2
    runners = 6

    async def test_requests_are_served_after_a_network_reset_their_connections(self) -> None:
        # Guards against taking resets for crashes while no runner answers anything else.
        routes = [item for item in ROUTES if item["name"] != "draft"]
        draft = route("draft", "models", "streaming", resumable=True, timeout_ms=9000)
        self.store.put("keyed.op", "config", config(2, [*routes, draft]))
        await self.until_version(2)
        for item in self.models:
            item.events, item.work_s = 1, 1.5
        waiting = [asyncio.create_task(self.ask_long(0, number)) for number in range(6)]
        await asyncio.sleep(0.4)
        for item in self.models:
            for conn in list(item._server.connections)[:1]:
                conn.reset_on_close(True)
                conn.close()
        await asyncio.sleep(1.0)
        waiting += [asyncio.create_task(self.ask_long(node, 9)) for node in range(self.nodes)]
        answers = await asyncio.gather(*waiting)
        self.assertTrue(all(item.status == 200 and item.complete for item in answers))

    async def ask_long(self, node: int, number: int) -> ClientResponse:
        """Send a draft with a prompt so long that the runners share the load equally."""
        headers = {
            "Lacewinghub-Prompt-Prefix": f"first:60,own{number}:49940",
            "Lacewinghub-Deadline-Ms": "9000",
        }
        return await self.ask(
            "/draft/a", node=node, tokens="50000,40", headers=headers, data=b"%d" % number
        )
