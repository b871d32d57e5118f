"""Tests of the fake platform runner's versions and early ends, which other tests build on."""

import asyncio
import base64
import unittest

import aiohttp

from lacewinghub.fakes.platform_runner import (
    DOWN_S,
    RUNNERS_TOPIC,
    EarlyEnd,
    EndForm,
    FakeRunner,
    event,
    response_seal,
)
from lacewinghub.fakes.platform_store import FakeStore


class TestFakeRunner(unittest.IsolatedAsyncioTestCase):
    """Guards against joined or broken streams that a test takes for whole ones."""

    async def asyncSetUp(self) -> None:
        self.runner = FakeRunner("m-1", "models", events=4)
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)

    async def test_falls_over_after_more_refusals_than_it_bears(self) -> None:
        runner = self.runner
        runner.room.slots, runner.room.max_waiting, runner.room.brittle = 1, 1, 2.0
        runner.work_s = 0.3
        store, born = FakeStore(), runner.born
        runner.announce(store)

        async def ask(session: aiohttp.ClientSession) -> tuple[int, str]:
            try:
                async with session.post(f"http://{runner.address}/x") as resp:
                    await resp.read()
                    return resp.status, resp.headers["Lacewinghub-Server-Load"]
            except aiohttp.ClientError:
                return 0, ""

        async with aiohttp.ClientSession() as session:
            found = await asyncio.gather(*(ask(session) for _ in range(4)))
            self.assertEqual([status for status, _ in found], [200, 200, 503, 503])
            self.assertEqual(found[2][1].partition(",")[2], "1,1")
            self.assertEqual(runner.falls, 0)
            await asyncio.sleep(1.0)
            found = await asyncio.gather(*(ask(session) for _ in range(5)))
            self.assertEqual([status for status, _ in found].count(200), 0)
            self.assertEqual(runner.falls, 1)
            self.assertEqual((await ask(session))[0], 0)
            await asyncio.sleep(DOWN_S + 0.2)
            self.assertEqual((await ask(session))[0], 200)
            self.assertGreater(runner.born, born)

    async def read(
        self, attempt: str, after: int = 0
    ) -> tuple[bytes, bool, aiohttp.ClientResponse]:
        """Read a stream; return its body, whether its form is whole, and its head."""
        headers = {"Lacewinghub-Attempt-Id": attempt, "Lacewinghub-Token-Count": "10,4"}
        if after:
            headers["Last-Event-Id"] = str(after)
        body = b""
        url = f"http://{self.runner.address}/x"
        async with aiohttp.ClientSession() as session, session.post(url, headers=headers) as resp:
            try:
                async for piece in resp.content.iter_any():
                    body += piece
            except aiohttp.ClientPayloadError:
                return body, False, resp
            return body, True, resp

    async def test_events_name_the_version_that_wrote_them(self) -> None:
        for version, tag in (("v1", ""), ("v2", " of v2")):
            with self.subTest(version):
                self.runner.version = version
                body, whole, resp = await self.read("a")
                self.assertTrue(whole)
                self.assertEqual(body, b"".join(event(number, tag) for number in range(1, 5)))
                self.assertEqual(resp.headers["Lacewinghub-Response-Seal"], response_seal(body))
                self.assertEqual((await self.read("a", after=3))[0], event(4, tag))

    async def test_the_record_states_the_version(self) -> None:
        store = FakeStore()
        self.runner.version = "v2"
        self.runner.announce(store)
        found = store.newest(RUNNERS_TOPIC, "")["items"][0]["value"]
        self.assertIn('"version": "v2"', base64.b64decode(found).decode())

    async def test_early_ends(self) -> None:
        whole = b"".join(event(number) for number in range(1, 5))
        cases = [
            ("chunks", EarlyEnd(2), 0, event(1) + event(2), False),
            ("unframed", EarlyEnd(2, EndForm.UNFRAMED), 0, event(1) + event(2), True),
            ("before the first event", EarlyEnd(0), 0, b"", False),
            ("continued", EarlyEnd(1), 2, event(3), False),
            ("after the last event", EarlyEnd(4), 0, whole, True),
        ]
        for name, end, after, expected, looks_whole in cases:
            with self.subTest(name):
                self.runner.early_ends = {"a": end}
                body, is_whole, resp = await self.read("a", after)
                self.assertEqual((body, is_whole), (expected, looks_whole))
                is_chunked = resp.headers.get("Transfer-Encoding") == "chunked"
                self.assertEqual(is_chunked, end.form is EndForm.CHUNKS)
                self.assertEqual((await self.read("a"))[:2], (whole, True))
