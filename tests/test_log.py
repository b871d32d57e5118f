"""Tests of the log client against the fake log server."""

import asyncio
import socket
import unittest
from typing import Any

import aiohttp

from lacewinghub.errors import LogUnavailable, LogUncertain
from lacewinghub.fake_log import LogServer, MemoryLog
from lacewinghub.log import HttpLog
from tests.clock import simulate, wall


class HttpLogTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that reports an append with a lost reply as without effect."""

    async def asyncSetUp(self) -> None:
        self.memory = MemoryLog(retention_s=60.0)
        self.server = LogServer(self.memory)
        self.log = HttpLog(await self.server.start(), timeout_s=0.5)
        self.addAsyncCleanup(self.server.stop)
        self.addAsyncCleanup(self.log.close)

    async def _set_faults(self, **members: Any) -> int:
        url = f"http://{self.server.address}/faults"
        async with aiohttp.ClientSession() as session, session.post(url, json=members) as resp:
            return resp.status

    async def test_appended_records_are_read_with_offsets(self) -> None:
        self.assertEqual(await self.log.append("s", [{"n": 1}, {"n": 2}]), [0, 1])
        self.assertEqual(await self.log.append("s", [{"n": 3}]), [2])
        page = await self.log.read("s", 1, limit=1)
        self.assertEqual([(r.offset, r.data) for r in page.records], [(1, {"n": 2})])
        self.assertEqual((page.first, page.next, page.retention_s), (0, 3, 60.0))

    async def test_read_waits_for_a_record(self) -> None:
        task = asyncio.ensure_future(self.log.read("s", 0, wait_s=5.0))
        await asyncio.sleep(0.05)
        await self.log.append("s", [{"n": 1}])
        self.assertEqual(len((await asyncio.wait_for(task, 2.0)).records), 1)

    async def test_faults_map_to_errors_by_effect(self) -> None:
        cases = [
            ("unavailable", {"unavailable": True}, LogUnavailable, 0),
            ("lost reply", {"lose_replies": 1}, LogUncertain, 1),
            ("lost append", {"lose_appends": 1}, LogUncertain, 0),
            ("late", {"late_appends": 1, "late_s": 0.2}, LogUncertain, 1),
            ("slow", {"slow_s": 0.7}, LogUncertain, 1),
        ]
        for name, faults, error, effect in cases:
            with self.subTest(name):
                self.assertEqual(await self._set_faults(**faults), 200)
                with self.assertRaises(error):
                    await self.log.append(name.replace(" ", "-"), [{"n": 1}])
                await asyncio.sleep(0.5)
                kept = self.memory.records(name.replace(" ", "-"))
                self.assertEqual(len(kept), effect)

    async def test_unknown_fault_is_refused(self) -> None:
        self.assertEqual(await self._set_faults(nonsense=1), 400)

    async def test_stopped_server_means_no_effect(self) -> None:
        await self.server.stop()
        with self.assertRaises(LogUnavailable):
            await self.log.append("s", [{}])
        with self.assertRaises(LogUnavailable):
            await self.log.read("s", 0)

    async def test_reply_that_is_not_a_page_is_a_failed_read(self) -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            body = b'{"records": 1}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, sock=socket.create_server(("127.0.0.1", 0)))
        host, port = server.sockets[0].getsockname()
        log = HttpLog(f"{host}:{port}", timeout_s=0.5)
        try:
            with self.assertRaises(LogUnavailable):
                await log.read("s", 0)
            with self.assertRaises(LogUncertain):
                await log.append("s", [{}])
        finally:
            await log.close()
            server.close()


class MemoryLogTest(unittest.TestCase):
    """Guards against a fake log that is more reliable than the platform's log."""

    def test_records_expire(self) -> None:
        async def main() -> None:
            log = MemoryLog(retention_s=10.0, clock=wall)
            await log.append("s", [{"n": 1}])
            await asyncio.sleep(6.0)
            await log.append("s", [{"n": 2}])
            await asyncio.sleep(6.0)
            page = await log.read("s", 0)
            self.assertEqual(([r.offset for r in page.records], page.first, page.next), ([1], 1, 2))
            await asyncio.sleep(6.0)
            page = await log.read("s", 0)
            self.assertEqual((page.records, page.first, page.next), ([], 2, 2))

        simulate(main)

    def test_appends_beyond_the_limit_are_refused(self) -> None:
        async def main() -> None:
            log = MemoryLog(append_limit=5.0, clock=wall)
            for _ in range(5):
                await log.append("s", [{}])
            with self.assertRaises(LogUnavailable):
                await log.append("s", [{}])
            await asyncio.sleep(0.3)
            await log.append("s", [{}])

        simulate(main)
