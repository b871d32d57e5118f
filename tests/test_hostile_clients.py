"""Tests of clients that keep no limits, against a node process with a small machine's settings.

Each case starts a node, opens a crowd and keeps it open, and then checks what does not depend on
the speed of the machine. The bounds are those of the settings, not measured ones.
"""

import asyncio
import sys
import unittest
from collections import Counter

from lacewinghub.httpmessage import chunk

from .hostile import (
    BODY_BYTES,
    FILLER,
    PlatformHostileCase,
    Send,
    body_case,
    head,
    repeat,
    small_chunks,
)

# What a node may keep of the memory that a crowd made it use.
KEPT_MB = 8
CROWD = 100
CONNECTIONS = 600
# Clients that do not read; the rest of an answer is held by the kernel, a few MB per connection.
NON_READERS = 40
PIPELINED = 60
PROMISED_NOT_RUN = (408, 421, 429, 503)
CHUNKED = head("Transfer-Encoding: chunked")
WHOLE = head(f"Content-Length: {BODY_BYTES}")
HUGE = 64 * BODY_BYTES
# Name, number of clients, what each sends.
BODIES: list[tuple[str, int, Send]] = [
    ("whole bodies short of their end", CROWD, body_case(WHOLE, repeat(FILLER[10:], BODY_BYTES))),
    ("pieces of 16 KB", CROWD, body_case(WHOLE, repeat(FILLER[:16384], BODY_BYTES - 16384))),
    ("chunks of 64 KB", CROWD, body_case(CHUNKED, repeat(chunk(FILLER[:65536]), BODY_BYTES))),
    ("chunks of 1 byte", CROWD, body_case(CHUNKED, small_chunks(1))),
    ("chunks of 3 bytes", CROWD, body_case(CHUNKED, small_chunks(3))),
    ("announced far over", CROWD, body_case(head(f"Content-Length: {HUGE}"), repeat(FILLER, HUGE))),
    ("sent far over", CROWD, body_case(CHUNKED, repeat(chunk(FILLER[:65536]), 8 * BODY_BYTES))),
]


class TestBodies(PlatformHostileCase):
    """Guards against bodies that exhaust the memory of a node."""

    async def test_bodies_that_do_not_end_or_are_far_too_large(self) -> None:
        for name, size, send in BODIES:
            with self.subTest(name):
                await self.run_case(name, size, send)

    async def test_whole_legal_bodies_at_once_are_served_or_refused_truly(self) -> None:
        # Guards against a refusal that states that a request did not run although it did.
        await self.start_node()

        async def client(number: int) -> int:
            length = f"Content-Length: {BODY_BYTES}"
            request = head(length, "/once/a", f"whole-{number}") + FILLER
            return await self.exchange(request, number)

        statuses = await asyncio.gather(*(client(number) for number in range(CROWD)))
        name = f"whole legal bodies {dict(sorted(Counter(statuses).items()))}"
        await self.check(name)
        runs = sum((service.counts for service in self.services), Counter[str]())
        for number, status in enumerate(statuses):
            with self.subTest(number=number, status=status):
                self.assertIn(status, (0, 200, 502, 504, *PROMISED_NOT_RUN))
                count = runs[f"whole-{number}"]
                if status in PROMISED_NOT_RUN:
                    self.assertEqual(count, 0)
                elif status == 200:
                    self.assertEqual(count, 1)

    async def test_memory_is_given_back(self) -> None:
        # Guards against a node that stays as large as its worst moment.
        await self.start_node()
        before = self.memory_mb("VmRSS:")
        await self.crowd(CROWD, BODIES[1][2])
        self.close_crowd()
        after = 0.0
        for _ in range(100):
            await asyncio.sleep(0.1)
            after = self.memory_mb("VmRSS:")
            if after < before + KEPT_MB:
                break
        print(f"memory: {before:.0f} MB at first, {after:.0f} MB in the end", file=sys.stderr)
        self.assertLess(after, before + KEPT_MB)

    async def test_one_request_of_the_largest_size_is_served(self) -> None:
        # Guards against limits that a client inside the stated ones meets.
        await self.start_node()
        for framing, body in (
            (f"Content-Length: {BODY_BYTES}", FILLER),
            ("Transfer-Encoding: chunked", chunk(FILLER) + b"0\r\n\r\n"),
            ("Transfer-Encoding: chunked", chunk(FILLER[:4096]) * 1024 + b"0\r\n\r\n"),
        ):
            with self.subTest(framing):
                self.assertEqual(await self.exchange(head(framing) + body, 0), 200)
        self.assertLess(self.memory_mb(), self.memory_limit_mb)


class TestConnections(PlatformHostileCase):
    """Guards against connections that exhaust the descriptors or the memory of a node."""

    async def test_connections_that_bring_no_request(self) -> None:
        async def idle(writer: asyncio.StreamWriter) -> None:
            return None

        async def unfinished_head(writer: asyncio.StreamWriter) -> None:
            writer.write(head("") + b"X-Filler: " + b"y" * 15_000)
            await writer.drain()

        async def after_one_request(writer: asyncio.StreamWriter) -> None:
            writer.write(head("Content-Length: 4") + b"body")
            await writer.drain()

        async def many_headers(writer: asyncio.StreamWriter) -> None:
            # Each takes far more memory than its five bytes on the wire.
            writer.write(head("Content-Length: 4\r\n" + "ab:c\r\n" * 1800))
            await writer.drain()

        for name, send in (
            ("heads with many small headers", many_headers),
            ("idle connections", idle),
            ("heads that never end", unfinished_head),
            ("idle after one request", after_one_request),
        ):
            with self.subTest(name):
                await self.run_case(name, CONNECTIONS, send)

    async def test_clients_that_do_not_read_their_answers(self) -> None:
        request = head("Content-Length: 4", "/lookup/large") + b"body"

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(request * PIPELINED)
            await writer.drain()
            await asyncio.sleep(8.0)

        await self.run_case("clients that do not read", NON_READERS, send)


if __name__ == "__main__":
    unittest.main()
