"""Tests of clients whose requests cost a node far more work than their bytes.

The crowd goes on while another client asks. That client states a deadline of one second, as its
route does; the node answers it as long as the crowd leaves it a turn.
"""

import asyncio
import contextlib
import unittest

from .hostile import HOLD_S, HOST, KEY, OTHER_CLIENT, PlatformHostileCase, Send

SLASHES = 15_000
SLASH_CROWD = 60
PIPELINED = 2000
PIPELINING_CROWD = 100
# Number of requests of the other client, of which one is answered.
ASKED = 10
DEADLINE_MS = 1000
# The other client closes its connection then, like the ones of the platform.
GIVE_UP_S = 4.0
READ_BYTES = 64 * 1024


async def discard(reader: asyncio.StreamReader) -> None:
    """Read all answers and throw them away."""
    while await reader.read(READ_BYTES):
        pass


class TestTurns(PlatformHostileCase):
    """Guards against requests that keep a node from serving other clients."""

    memory_limit_mb = 160
    descriptor_limit = 1638

    async def press(self, name: str, size: int, send: Send) -> None:
        """Check the node while a crowd sends without a pause and reads all answers."""

        async def client(number: int) -> None:
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await self.connect(number)
                    reading = asyncio.create_task(discard(reader))
                    try:
                        await send(writer)
                    finally:
                        reading.cancel()
                        writer.transport.abort()
                        with contextlib.suppress(asyncio.CancelledError, OSError):
                            await reading

        await self.start_node()
        clients = [asyncio.create_task(client(number)) for number in range(size)]
        try:
            await asyncio.sleep(HOLD_S)
            await self.check(name)
        finally:
            for task in clients:
                task.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def ask(self) -> int:
        """Send a number of small requests, each with a deadline, until one is answered with 200."""
        request = (
            f"POST /lookup/b HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
            f"Lacewinghub-Attempt-Id: ordinary\r\nLacewinghub-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Content-Length: 4\r\n\r\nbody"
        ).encode()
        for _ in range(ASKED):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GIVE_UP_S):
                    if await self.exchange(request, OTHER_CLIENT) == 200:
                        return 200
        return 0

    async def test_paths_of_many_slashes(self) -> None:
        request = f"GET {'/' * SLASHES}x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()

        async def send(writer: asyncio.StreamWriter) -> None:
            while True:
                writer.write(request * 4)
                await writer.drain()
                await asyncio.sleep(0)

        await self.press("paths of slashes", SLASH_CROWD, send)

    async def test_requests_sent_ahead_of_their_answers(self) -> None:
        request = f"GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()

        async def send(writer: asyncio.StreamWriter) -> None:
            while True:
                writer.write(request * PIPELINED)
                await writer.drain()
                await asyncio.sleep(0)

        await self.press("requests sent ahead", PIPELINING_CROWD, send)


if __name__ == "__main__":
    unittest.main()
